#include "lib_promote.h"

TEST_F(Promote, RecordsTheFirstMemberThatLeads)
{
	run(100);
	EXPECT_EQ(recorded, std::vector<std::string>{"a"});
	EXPECT_TRUE(calls.empty());
}

/* Guards against a promotion at startup because a replica announced itself
 * before the primary did. */
TEST_F(Promote, WaitsForAnnouncementsBeforeItMissesAPrimary)
{
	announce_member("a", false);
	run(PRO_ANNOUNCE_WAIT_MS - 100);
	EXPECT_TRUE(requests.empty());
	announce_member("a", true);
	run(100);
	EXPECT_EQ(recorded, std::vector<std::string>{"a"});
}

TEST_F(Promote, PromotesTheReplicaThatHoldsMost)
{
	run(300);
	suspect(4, "a");
	run(40);
	answer("b", false, 10);
	answer("c", false, 12);
	run(PRO_STATUS_TIMEOUT_MS + 40);
	ASSERT_EQ(calls.size(), 1u);
	EXPECT_STREQ(calls[0].member, "c");
	pro_on_promoter_reply(pro, calls[0].action_id, 200, now);
	announce_member("c", true);
	run(40);
	EXPECT_EQ(recorded.back(), "c");
}

TEST_F(Promote, LeavesAPrimaryThatAnswersAlone)
{
	run(300);
	suspect(6, "a");
	run(40);
	answer("a", true, 10);
	answer("b", false, 10);
	answer("c", false, 10);
	run(200);
	EXPECT_TRUE(calls.empty());
}

/* Guards against a change of a reachable primary because of proxies that were
 * partitioned from it and have not reconnected yet. */
TEST_F(Promote, ChangesAReachablePrimaryOnlyAfterLastingReports)
{
	run(300);
	for (clk_ms end = now + PRO_LASTING_REPORTS_MS + 400;
	     now < end && !requests.count("never");) {
		suspect(2, "a");
		run(100);
		for (const char *id : {"a", "b", "c"})
			if (requests.count(id) &&
			    requests[id].type == PRO_GET_STATUS)
				answer(id, id[0] == 'a', 10);
	}
	ASSERT_TRUE(requests.count("a"));
	EXPECT_EQ(requests["a"].type, PRO_STEP_DOWN);
	EXPECT_TRUE(calls.empty());
}

/* Guards against losing commits that a leaving primary has acknowledged. The
 * primary steps down first, and a replica is promoted once it holds them all.
 */
TEST_F(Promote, DrainsAPrimaryThatLeaves)
{
	run(300);
	announce_member("a", true, true);
	run(40);
	answer("a", true, 20);
	answer("b", false, 18);
	answer("c", false, 19);
	run(40);
	ASSERT_EQ(requests["a"].type, PRO_STEP_DOWN);
	EXPECT_GT(requests["a"].term, 1);
	answer("a", false, 21, 2);
	run(100);
	EXPECT_TRUE(calls.empty());
	answer("c", false, 21);
	run(40);
	ASSERT_EQ(calls.size(), 1u);
	EXPECT_STREQ(calls[0].member, "c");
}

/* Guards against two faults of calls that the promoter carries out late. A call
 * for a member that is no longer chosen must have a lower fencing token, so
 * that it is refused. A call for the member that is still chosen must not be
 * refused because of a retry, so retries repeat its token. */
TEST_F(Promote, CallsForOneMemberShareATokenOthersHaveHigherOnes)
{
	run(300);
	lose_primary(10, 12);
	for (size_t i = 1; i < PRO_MAX_UNANSWERED_CALLS; i++) {
		ASSERT_EQ(calls.size(), i);
		pro_on_promoter_reply(pro, calls.back().action_id, 0, now);
		take_actions();
		EXPECT_STREQ(calls.back().member, "c");
		EXPECT_EQ(calls.back().promoter_token, calls[0].promoter_token);
	}
	ASSERT_EQ(calls.size(), (size_t)PRO_MAX_UNANSWERED_CALLS);
	pro_on_promoter_reply(pro, calls.back().action_id, 0, now);
	suspect(6, "a");
	run(PRO_RETRY_MS + 60);
	answer("b", false, 13);
	answer("c", false, 12);
	suspect(6, "a");
	run(PRO_STATUS_TIMEOUT_MS + 40);
	EXPECT_STREQ(calls.back().member, "b");
	EXPECT_GT(calls.back().promoter_token, calls[0].promoter_token);
	int64_t before = calls.back().promoter_token;
	pro_start_leading(pro, 8, now);
	lose_primary(13);
	EXPECT_GT(calls.back().promoter_token, before);
}

/* Guards against a change that never ends: the result of a call comes while
 * this instance can't act, and is dropped. */
TEST_F(Promote, ACallWhoseResultIsDroppedIsMadeAgain)
{
	run(300);
	lose_primary(10);
	ASSERT_EQ(1u, calls.size());
	run(2 * PRO_CALL_TIMEOUT_MS + 40);
	ASSERT_EQ(2u, calls.size());
	EXPECT_EQ(calls[0].promoter_token, calls[1].promoter_token);
	pro_on_promoter_reply(pro, calls[0].action_id, 409, now);
	pro_on_promoter_reply(pro, calls[1].action_id, 200, now);
	announce_member("b", true);
	run(40);
	EXPECT_EQ("b", recorded.back());
}

/* The first call is carried out late, while a retry waits for its answer. */
TEST_F(Promote, TakesAPromotionThatComesLate)
{
	run(300);
	lose_primary(10);
	ASSERT_EQ(calls.size(), 1u);
	pro_on_promoter_reply(pro, calls[0].action_id, 0, now);
	take_actions();
	announce_member("b", true);
	run(40);
	EXPECT_EQ(recorded.back(), "b");
}

/* Guards against a group without a primary for good: the recorded one has
 * stepped down, the change was given up, and since nobody leads no proxy
 * reports anything (review/9). */
TEST_F(Promote, ARecordedPrimaryThatSaysItIsAReplicaIsReplaced)
{
	run(300);
	announce_member("a", false);
	pro_start_leading(pro, 8, now);
	run(40);
	answer("a", false, 10);
	answer("b", false, 10);
	answer("c", false, 9);
	run(40);
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("b", calls[0].member);
}

/* Guards against trusting an announcement that a deposed primary sent before a
 * partition and that arrives after it. For a second, proxies on the primary's
 * side of the partition sent their writes to it (Threlfall trouble-1 at
 * 39.96 s). */
TEST_F(Promote, DoesNotBelieveALateAnnouncement)
{
	run(300);
	lose_primary(10);
	pro_on_promoter_reply(pro, calls[0].action_id, 200, now);
	announce_member("b", true);
	run(300);
	ASSERT_EQ(recorded.back(), "b");
	announce_member("a", true);
	run(300);
	answer("a", false, 10, 2);
	answer("b", true, 11, 2);
	run(PRO_STATUS_TIMEOUT_MS + 40);
	EXPECT_EQ(recorded.back(), "b");
	EXPECT_EQ(calls.size(), 1u);
}

/* Guards against taking the last announcement of an earlier lead for that of
 * the new one: "b" led, was replaced while it was dark, and is called before it
 * announces itself again. */
TEST_F(Promote, AnOldAnnouncementOfTheTargetIsNoPromotion)
{
	run(300);
	lose_primary(10);
	pro_on_promoter_reply(pro, calls[0].action_id, 200, now);
	announce_member("a", false);
	announce_member("b", true);
	run(40);
	suspect(6, "b");
	run(PRO_RETRY_MS + 40);
	answer("a", false, 12, 2);
	answer("c", false, 11, 2);
	suspect(6, "b");
	run(PRO_STATUS_TIMEOUT_MS + 40);
	ASSERT_EQ(2u, calls.size());
	pro_on_promoter_reply(pro, calls[1].action_id, 200, now);
	announce_member("a", true);
	run(40);
	ASSERT_EQ("a", recorded.back());
	suspect(6, "a");
	run(PRO_RETRY_MS + 40);
	answer("b", false, 13, 3);
	answer("c", false, 12, 3);
	suspect(6, "a");
	run(PRO_STATUS_TIMEOUT_MS + 40);
	ASSERT_EQ(3u, calls.size());
	ASSERT_STREQ("b", calls[2].member);
	run(40);
	EXPECT_EQ("a", recorded.back());
	pro_on_promoter_reply(pro, calls[2].action_id, 200, now);
	run(100);
	answer("b", true, 13, 4);
	run(40);
	EXPECT_EQ("b", recorded.back());
}

/* The promoter carried out a call late and its answer was lost: the member is
 * the primary, but control got no confirmation. */
TEST_F(Promote, RecordsAMemberThatLeadsWithAHigherTerm)
{
	run(300);
	announce_member("b", true);
	run(300);
	answer("a", false, 10, 2);
	answer("b", true, 11, 2);
	answer("c", false, 10, 2);
	run(100);
	EXPECT_EQ(recorded.back(), "b");
}

/* The promoter refuses to promote a member that isn't running. */
TEST_F(Promote, ChoosesAnotherMemberAfterARefusal)
{
	run(300);
	lose_primary(10, 12);
	pro_on_promoter_reply(pro, calls[0].action_id, 409, now);
	suspect(6, "a");
	run(PRO_RETRY_MS + 60);
	answer("b", false, 10);
	answer("c", false, 12);
	suspect(6, "a");
	run(PRO_STATUS_TIMEOUT_MS + 40);
	ASSERT_EQ(calls.size(), 2u);
	EXPECT_STREQ(calls[1].member, "b");
}

/* Guards against a long time without a primary in a group that few proxies use.
 * Only one of seven proxies had a statement to run, and control waited 1.2 s
 * longer for reports of other proxies (incident of Threlfall,
 * docs/incidents). */
TEST_F(Promote, OneReportIsEnoughForAPrimaryThatAnswersNobody)
{
	run(PRO_NO_PROXY_ANSWER_MS);
	pro_on_primary_answer(pro, "orders", now - PRO_NO_PROXY_ANSWER_MS);
	suspect(1, "a");
	run(40);
	answer("b", false, 10);
	answer("c", false, 9);
	run(PRO_STATUS_TIMEOUT_MS + 40);
	ASSERT_EQ(calls.size(), 1u);
	EXPECT_STREQ(calls[0].member, "b");
}

/* Guards against a change because control and one proxy are partitioned from a
 * primary that serves all other proxies. */
TEST_F(Promote, APrimaryThatServesOthersStays)
{
	run(300);
	for (int i = 0; i < 10; i++) {
		pro_on_primary_answer(pro, "orders", now);
		suspect(1, "a");
		run(40);
		for (const char *id : {"b", "c"})
			if (requests.count(id))
				answer(id, false, 10);
		pro_on_primary_answer(pro, "orders", now);
		run(PRO_STATUS_TIMEOUT_MS + PRO_RETRY_MS);
	}
	EXPECT_TRUE(calls.empty());
}

/* Guards against a pause and a second status request of 400 ms after the first
 * one found the primary unresponsive and too few proxies had reported it yet.
 * When a zone was cut off, its groups had no primary for 0.5 s longer
 * (Threlfall grown, trouble-3 at 34.3 s). Of the replicas, the one that holds
 * the newest log at the time of the decision is promoted. */
TEST_F(Promote, DecidesAsSoonAsEnoughProxiesMissASilentPrimary)
{
	find_primary_unresponsive();
	ASSERT_TRUE(calls.empty());
	pro_on_primary_answer(pro, "orders", now);
	run(PRO_RETRY_MS);
	suspect(6, "a");
	run(40);
	for (const char *id : {"b", "c"})
		if (requests.count(id))
			answer(id, false, id[0] == 'b' ? 12 : 13);
	run(40);
	ASSERT_EQ(calls.size(), 1u);
	EXPECT_STREQ(calls[0].member, "c");
}

/* The primary answers a repeated status request before enough proxies have
 * reported it. */
TEST_F(Promote, AWatchedPrimaryThatAnswersStays)
{
	find_primary_unresponsive();
	ASSERT_TRUE(requests.count("a")) << "it is asked again";
	answer("a", true, 12);
	suspect(6, "a");
	run(100);
	EXPECT_TRUE(calls.empty());
}

struct PromoteFew : Promote {
	PromoteFew()
	{
		proxy_count = 2;
	}
};

/* Guards against a change because of one lost answer. With two proxies, one is
 * more than a third of them, and it reports the primary until it stops waiting
 * for the answer and closes the connection. So one report is not enough. */
TEST_F(PromoteFew, OneOfTwoProxiesIsNotMany)
{
	struct pro_action a;

	run(100);
	ASSERT_EQ(std::vector<std::string>{"a"}, recorded);
	for (int i = 0; i < 200; i++, now += 20) {
		suspect(1, "a");
		pro_tick(pro, now);
		while (pro_next_action(pro, &a)) {
			struct pro_status s = {};

			ASSERT_EQ(PRO_GET_STATUS, a.type)
				<< "step down or call";
			s.primary = a.member[0] == 'a';
			s.term = 1;
			pro_on_status(pro, a.action_id, &s, now);
		}
	}
}

/* With one synchronous replica, at least one of the two replicas holds each
 * acknowledged commit. */
struct PromoteSync : Promote {
	void SetUp() override
	{
		pro_set_sync_replicas(pro, "orders", 1);
		Promote::SetUp();
		answer_first_requests();
	}

	/* Answers the status requests that follow the start, so that the
	 * replicas end up receiving. */
	void answer_first_requests()
	{
		for (int i = 0; i < 10; i++) {
			run(100);
			for (const char *id : {"a", "b", "c"})
				if (requests.count(id))
					answer(id, id[0] == 'a', 10);
		}
		EXPECT_TRUE(requests.empty());
	}

	/* The next questions find that "a" leads, until the replicas are told
	 * what to do. */
	void leave_primary_answering()
	{
		requests.clear();
		for (int i = 0; i < 200 && !requests.count("c"); i++) {
			run(20);
			for (const char *id : {"a", "b", "c"})
				if (requests.count(id) &&
				    requests[id].type == PRO_GET_STATUS)
					answer(id, id[0] == 'a', 14);
		}
	}

	/* All members answer, and none is asked any more once the orders that
	 * got no answer can't be carried out. */
	void expect_rest_once_orders_are_over()
	{
		for (clk_ms end =
			     now + PRO_LATE_CALL_MS + 2 * PRO_HOLD_CHECK_MS;
		     now < end; run(20))
			for (const char *id : {"a", "b", "c"})
				if (requests.count(id))
					answer(id, id[0] == 'a', 14);
		EXPECT_EQ(ORDERS_SETTLED, state_orders(state, "orders"));
		requests.clear();
		run(3000);
		EXPECT_TRUE(requests.empty());
	}

	void expect_only_b_receives()
	{
		EXPECT_EQ(PRO_RESUME, requests["b"].type);
		EXPECT_EQ(PRO_PAUSE, requests["c"].type);
	}
};

/* Guards against the loss of an acknowledged commit that only the unresponsive
 * replica may hold. */
TEST_F(PromoteSync, WaitsForAllReplicasThatMayHoldACommit)
{
	lose_primary(10);
	run(2000);
	EXPECT_TRUE(calls.empty());
}

/* Guards against the loss of a commit that is acknowledged after the replicas'
 * positions were compared. Therefore they are paused before that. */
TEST_F(PromoteSync, PausesReplicasBeforeItComparesThem)
{
	lose_primary(10, 12);
	EXPECT_TRUE(calls.empty());
	ASSERT_EQ(requests["b"].type, PRO_PAUSE);
	ASSERT_EQ(requests["c"].type, PRO_PAUSE);
	EXPECT_GT(requests["b"].term, 1);
	answer("b", false, 14);
	answer("c", false, 12);
	run(40);
	ASSERT_EQ(calls.size(), 1u);
	EXPECT_STREQ(calls[0].member, "b");
}

/* Guards against a member that lacks commits and is promoted because the log of
 * the only other one counts as discarded (review/10): "b" is promoted and
 * fails, "a" is back with a commit that "b" did not have, and "c" has received
 * nothing for a while. */
TEST_F(PromoteSync, ALogThatEndsTooEarlyIsNotTheOnlyOneKept)
{
	lose_primary(192, 97);
	answer("b", false, 192);
	answer("c", false, 97);
	run(40);
	ASSERT_EQ(1u, calls.size());
	pro_on_promoter_reply(pro, calls[0].action_id, 200, now);
	announce_member("a", false);
	announce_member("b", true);
	run(PRO_RETRY_MS + 40);
	suspect(6, "b");
	for (int i = 0; i < 200 && calls.size() < 2; i++) {
		suspect(6, "b");
		run(20);
		if (requests.count("a"))
			answer("a", false, 193);
		if (requests.count("c"))
			answer("c", false, 97);
	}
	ASSERT_EQ(2u, calls.size());
	EXPECT_STREQ("a", calls[1].member);
}

/* Guards against taking a refused pause for one: the replica has heard of a new
 * term since it was asked, and goes on receiving. */
TEST_F(PromoteSync, ARefusedPauseIsNoPause)
{
	lose_primary(10, 12);
	int64_t term = requests["b"].term;
	answer("b", false, 14, term);
	answer("c", false, 15);
	run(40);
	EXPECT_TRUE(calls.empty());
	suspect(6, "a");
	run(PRO_RETRY_MS + 40);
	answer("b", false, 16, term);
	answer("c", false, 15);
	suspect(6, "a");
	run(PRO_STATUS_TIMEOUT_MS + 40);
	EXPECT_GT(requests["b"].term, term);
	answer("b", false, 17, term);
	answer("c", false, 15);
	run(40);
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("b", calls[0].member);
}

TEST_F(PromoteSync, DoesNotCallWithHalfOfThemPaused)
{
	lose_primary(10, 12);
	answer("b", false, 14);
	run(PRO_STATUS_TIMEOUT_MS + 100);
	EXPECT_TRUE(calls.empty());
}

/* Guards against the loss of commits that only a leaving replica has received,
 * because the other one does not leave (review/6). */
TEST_F(PromoteSync, ALeavingMemberLeadsIfOnlyItHoldsAllCommits)
{
	announce_member("c", false, true);
	lose_primary(10, 70);
	answer("b", false, 10);
	answer("c", false, 70);
	run(40);
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("c", calls[0].member);
}

/* A leaving primary whose replica "c" is silent. */
struct PromoteHandOver : PromoteSync {
	void SetUp() override
	{
		PromoteSync::SetUp();
		announce_member("a", true, true);
	}

	/* Answers probes with what "a" and "b" hold, until "a" steps down. */
	bool steps_down(int64_t held, int64_t held_b, clk_ms ms)
	{
		for (clk_ms end = now + ms; now < end; run(20)) {
			for (const char *id : {"a", "b", "c"}) {
				if (!requests.count(id))
					continue;
				if (requests[id].type == PRO_STEP_DOWN)
					return true;
				if (id[0] == 'c')
					fail(id);
				else
					answer(id, id[0] == 'a',
					       id[0] == 'a' ? held : held_b);
			}
		}
		return false;
	}
};

/* Guards against a primary that steps down for nobody: the only replica that
 * answers receives nothing, and no member leads for as long. */
TEST_F(PromoteHandOver, WaitsForAReplicaThatReceives)
{
	EXPECT_FALSE(steps_down(20, 15, 3000));
	EXPECT_TRUE(calls.empty());
}

/* Guards against a primary that ends without a successor, since not all others
 * answer: what it holds itself is known once it has stepped down. */
TEST_F(PromoteHandOver, HandsOverToTheReplicaThatReceives)
{
	ASSERT_FALSE(steps_down(20, 15, 1000));
	ASSERT_TRUE(steps_down(24, 22, 1000));
	answer("a", false, 25);
	run(100);
	answer("b", false, 25);
	run(40);
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("b", calls[0].member);
}

/* Guards against a group without a primary after a step down, if the replica
 * does not catch up after all: the old primary leads again. */
TEST_F(PromoteHandOver, TheOldPrimaryLeadsAgainIfNoneCatchesUp)
{
	ASSERT_TRUE(steps_down(20, 20, 1000));
	answer("a", false, 25);
	for (int i = 0; i < 300 && calls.empty(); i++) {
		run(20);
		for (const char *id : {"a", "b", "c"})
			if (requests.count(id) && id[0] != 'c')
				answer(id, false, id[0] == 'a' ? 25 : 20);
	}
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("a", calls[0].member);
}

/* "c" leaves, has ended, and its successor has not registered yet (review/7).
 */
struct PromoteEnded : PromoteSync {
	void SetUp() override
	{
		PromoteSync::SetUp();
		announce_member("c", false, true);
		run(100);
		remove_member("c", true);
	}

	/* Answers what control asks of the primary and of "b". */
	void answer_all(clk_ms ms, int64_t held, int64_t held_b)
	{
		for (clk_ms end = now + ms; now < end; run(20))
			for (const char *id : {"a", "b"})
				if (requests.count(id))
					answer(id, id[0] == 'a',
					       id[0] == 'a' ? held : held_b);
	}

	/* "a" is silent from now on; "b" and members at the place of "c"
	 * answer. */
	void lose_the_primary(clk_ms ms, int64_t held_b, int64_t held_c)
	{
		for (clk_ms end = now + ms; now < end && calls.empty();
		     run(20)) {
			suspect(6, "a");
			for (const char *id : {"b", "c2", "d"})
				if (requests.count(id))
					answer(id, false,
					       id[0] == 'b' ? held_b : held_c);
		}
	}
};

/* Guards against the loss of commits that only the ended member has received:
 * its successor, which has its log, is waited for. */
TEST_F(PromoteEnded, ItsSuccessorIsWaitedFor)
{
	lose_the_primary(10000, 12, 0);
	EXPECT_TRUE(calls.empty());
	announce_member("c2", false, false, 1);
	lose_the_primary(2000, 12, 20);
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("c2", calls[0].member);
}

/* The same where its successor has registered before it is removed. */
TEST_F(PromoteSync, ASuccessorThatIsThereAlreadyHasTheLog)
{
	announce_member("c", false, true);
	announce_member("c2", false, false, 1);
	lose_primary(12);
	answer("c2", false, 20);
	run(100);
	remove_member("c", true);
	for (int i = 0; i < 100 && calls.empty(); i++) {
		suspect(6, "a");
		run(20);
		for (const char *id : {"b", "c2"})
			if (requests.count(id))
				answer(id, false, id[0] == 'b' ? 12 : 20);
	}
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("c2", calls[0].member);
}

/* Guards against waiting for a member whose DELETE never came, though its
 * successor, which has its log, has registered at its address. */
TEST_F(PromoteSync, AMemberThatWasSucceededIsNotWaitedFor)
{
	announce_member("c2", false, false, 1);
	for (int i = 0; i < 200 && calls.empty(); i++) {
		suspect(6, "a");
		run(20);
		for (const char *id : {"b", "c2"})
			if (requests.count(id))
				answer(id, false, id[0] == 'b' ? 12 : 20);
	}
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("c2", calls[0].member);
}

/* A later control leader must know of the log, too. */
TEST_F(PromoteEnded, ANewLeaderWaitsForItsSuccessor)
{
	pro_start_leading(pro, 8, now);
	lose_the_primary(10000, 12, 0);
	EXPECT_TRUE(calls.empty());
}

/* Another member is no successor: it does not have the log. */
TEST_F(PromoteEnded, AMemberAtAnotherAddressHasNotItsLog)
{
	announce_member("d", false, false, 1);
	lose_the_primary(10000, 12, 11);
	EXPECT_TRUE(calls.empty());
}

/* Guards against a service without a primary for good: the successor never
 * comes, but the other replica has received what the primary held after the
 * member had ended. */
TEST_F(PromoteEnded, ACoveredLogIsNotWaitedForLong)
{
	answer_all(PRO_ENDED_MS + 1000, 20, 20);
	lose_the_primary(PRO_SUCCESSOR_WAIT_MS, 22, 0);
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("b", calls[0].member);
}

/* Guards against covering it too early: commits that the member received while
 * it was ending are not held by the other replica. */
TEST_F(PromoteEnded, ALogIsNotCoveredByAReplicaThatReceivesNothing)
{
	answer_all(PRO_ENDED_MS + 4000, 20, 15);
	lose_the_primary(10000, 15, 0);
	EXPECT_TRUE(calls.empty());
}

/* Guards against a log that was covered before its member had really ended. */
TEST_F(PromoteEnded, WhatThePrimaryHeldBeforeTheEndIsNotEnough)
{
	answer_all(PRO_ENDED_MS - 300, 15, 15);
	lose_the_primary(10000, 15, 0);
	EXPECT_TRUE(calls.empty());
}

/* A member that was removed for its silence may go on for a while. */
TEST_F(PromoteSync, ASilentMemberMayStillReceive)
{
	announce_member("c", false, true);
	run(100);
	remove_member("c", true, true);
	for (clk_ms end = now + 10000; now < end; run(20))
		for (const char *id : {"a", "b"})
			if (requests.count(id))
				answer(id, id[0] == 'a', 20);
	size_t n;
	const struct ended_log *l = state_ended_logs(state, &n);
	ASSERT_EQ(1u, n);
	EXPECT_FALSE(l[0].covered);
}

/* Guards against commits that a successor receives while the other replica is
 * paused: it has started, but control had not heard of it when it paused. */
TEST_F(PromoteEnded, ASuccessorThatStartsDuringThePauseIsPausedToo)
{
	answer_all(PRO_ENDED_MS + PRO_SUCCESSOR_WAIT_MS + 1000, 20, 20);
	lose_primary(22);
	ASSERT_EQ(PRO_PAUSE, requests["b"].type);
	announce_member("c2", false, false, 1);
	answer("b", false, 22);
	run(40);
	EXPECT_TRUE(calls.empty());
	lose_the_primary(2000, 22, 24);
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("c2", calls[0].member);
}

/* Without synchronous replicas nothing is waited for, nor kept. */
TEST_F(Promote, EndedLogsAreForgottenWithoutSynchronousReplicas)
{
	run(300);
	remove_member("c", true);
	run(100);
	size_t n;
	state_ended_logs(state, &n);
	EXPECT_EQ(0u, n);
}

/* Guards against replicas that stay paused after a change was abandoned because
 * the primary answered. */
TEST_F(PromoteSync, ResumesReplicasWhenThePrimaryAnswers)
{
	lose_primary(10, 12);
	answer("b", false, 14);
	run(PRO_STATUS_TIMEOUT_MS + 40);
	requests.clear();
	run(PRO_RETRY_MS + 80);
	ASSERT_TRUE(requests.count("a"));
	answer("a", true, 15);
	answer("b", false, 14);
	answer("c", false, 14);
	run(40);
	EXPECT_EQ(requests["b"].type, PRO_RESUME);
	EXPECT_EQ(requests["c"].type, PRO_RESUME);
}

/* Guards against a replica that stays paused because the order to receive again
 * was lost: commits would wait for ever once the other replica fails. */
TEST_F(PromoteSync, AnOrderToReceiveIsRepeatedUntilItIsConfirmed)
{
	lose_primary(10, 12);
	answer("b", false, 14);
	run(PRO_STATUS_TIMEOUT_MS + 40);
	leave_primary_answering();
	ASSERT_EQ(PRO_RESUME, requests["c"].type);
	answer("b", false, 14);
	fail("c");
	leave_primary_answering();
	ASSERT_EQ(PRO_RESUME, requests["c"].type);
	expect_rest_once_orders_are_over();
}

/* A change was given up, and the order to "c" to receive again got no answer,
 * so that it may still be carried out (review/8). */
struct PromoteOrders : PromoteSync {
	void SetUp() override
	{
		PromoteSync::SetUp();
		lose_primary(10, 12);
		answer("b", false, 14);
		answer("c", false, 14);
		ASSERT_EQ(0u, calls.size());
		run(20);
		ASSERT_EQ(1u, calls.size());
		pro_on_promoter_reply(pro, calls[0].action_id, 409, now);
		calls.clear();
		leave_primary_answering();
		ASSERT_EQ(PRO_RESUME, requests["c"].type);
		answer("b", false, 14);
		fail("c");
		leave_primary_answering();
		ASSERT_EQ(PRO_RESUME, requests["c"].type);
		answer("c", false, 14);
		run(100);
		requests.clear();
	}

	/* "a" is lost, and all orders are answered. */
	void lose_the_primary(clk_ms ms, int64_t held_b, int64_t held_c)
	{
		for (clk_ms end = now + ms; now < end && calls.empty();
		     run(20)) {
			suspect(6, "a");
			for (const char *id : {"b", "c"})
				if (requests.count(id))
					answer(id, false,
					       id[0] == 'b' ? held_b : held_c);
		}
	}
};

/* Guards against a pause that the earlier order ends: commits that "c" then
 * receives would be lost with the promotion of "b". */
TEST_F(PromoteOrders, APauseThatMayEndDoesNotCount)
{
	lose_the_primary(PRO_LATE_CALL_MS - 4000, 20, 18);
	EXPECT_TRUE(calls.empty());
	lose_the_primary(6000, 20, 18);
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("b", calls[0].member);
}

/* Guards against a long time without a primary: "c" may lead, since it receives
 * whatever is acknowledged until then. It is not told to pause. */
TEST_F(PromoteOrders, TheMemberThatMayReceiveIsPromotedOnceItHoldsAsMuch)
{
	run(PRO_RETRY_MS);
	for (int i = 0; i < 100 && calls.empty(); i++) {
		suspect(6, "a");
		run(20);
		if (requests.count("c")) {
			EXPECT_NE(PRO_PAUSE, requests["c"].type);
			answer("c", false, 18 + i);
		}
		if (requests.count("b"))
			answer("b", false, 20);
	}
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("c", calls[0].member);
}

/* A later control leader does not know which orders were given, but that some
 * may be under way. */
TEST_F(PromoteOrders, ANewLeaderKnowsThatOrdersMayBeUnderWay)
{
	EXPECT_EQ(ORDERS_UNDER_WAY, state_orders(state, "orders"));
	pro_start_leading(pro, 8, now);
	clk_ms since = now;
	lose_the_primary(PRO_LATE_CALL_MS + 4000, 20, 18);
	ASSERT_EQ(1u, calls.size());
	EXPECT_GE(now - since, PRO_LATE_CALL_MS);
}

/* Guards against a wait after a change of the leader in the middle of a change
 * of primary: an order to pause that is carried out late loses no commit. */
TEST_F(PromoteSync, ANewLeaderNeedNotWaitForPauses)
{
	lose_primary(10, 12);
	EXPECT_EQ(ORDERS_PAUSING, state_orders(state, "orders"));
	pro_start_leading(pro, 8, now);
	requests.clear();
	lose_primary(10, 12);
	ASSERT_EQ(PRO_PAUSE, requests["b"].type);
	answer("b", false, 14);
	answer("c", false, 12);
	run(40);
	EXPECT_EQ(1u, calls.size());
}

/* Guards against a wait that nothing calls for: no order is under way. */
TEST_F(PromoteSync, ANewLeaderOfASettledGroupDoesNotWait)
{
	run(100);
	ASSERT_EQ(ORDERS_SETTLED, state_orders(state, "orders"));
	pro_start_leading(pro, 8, now);
	run(100);
	EXPECT_TRUE(requests.empty()) << "nor are members asked";
	lose_primary(10, 12);
	answer("b", false, 14);
	answer("c", false, 12);
	run(40);
	EXPECT_EQ(1u, calls.size());
}

/* Guards against a replica that stays paused by an order that is carried out
 * after the one that ended the pause. */
TEST_F(PromoteSync, AMemberThatMayStillBePausedIsToldAgain)
{
	lose_primary(10, 12);
	answer("b", false, 14);
	fail("c");
	run(100);
	clk_ms since = now;
	clk_ms last = now;
	for (; now < since + PRO_LATE_CALL_MS + 4000; run(20))
		for (const char *id : {"a", "b", "c"})
			if (requests.count(id)) {
				if (id[0] == 'c' &&
				    requests[id].type == PRO_RESUME)
					last = now;
				answer(id, id[0] == 'a', 14);
			}
	EXPECT_GE(last - since, PRO_LATE_CALL_MS - 2 * PRO_HOLD_CHECK_MS);
	EXPECT_EQ(ORDERS_SETTLED, state_orders(state, "orders"));
}

/* A call for "b" got no answer, and "a" leads again. Its commits are
 * acknowledged by whichever replica receives them. */
struct PromoteLate : PromoteSync {
	void SetUp() override
	{
		PromoteSync::SetUp();
		call_without_answer();
		leave_primary_answering();
	}

	/* "b" is called as often as a change calls, without an answer. */
	void call_without_answer()
	{
		lose_primary(10, 12);
		answer("b", false, 14);
		answer("c", false, 12);
		run(100);
		for (int i = 1; i <= PRO_MAX_UNANSWERED_CALLS; i++) {
			ASSERT_EQ((size_t)i, calls.size());
			EXPECT_STREQ("b", calls.back().member);
			pro_on_promoter_reply(pro, calls.back().action_id, 0,
					      now);
			take_actions();
		}
	}
};

/* Guards against the loss of acknowledged commits by a call that was given up
 * and is carried out late: the member called for must hold each commit that is
 * acknowledged until then, so no other replica may receive one in its place. */
TEST_F(PromoteLate, OnlyTheMemberThatWasCalledForReceives)
{
	expect_only_b_receives();
	for (clk_ms end = now + PRO_LATE_CALL_MS - 4000; now < end;) {
		leave_primary_answering();
		expect_only_b_receives();
	}
	EXPECT_EQ((size_t)PRO_MAX_UNANSWERED_CALLS, calls.size());
}

/* Guards against replicas that stay paused once the call can't be carried out
 * any more. */
TEST_F(PromoteLate, AllReceiveOnceTheCallIsOver)
{
	run(PRO_LATE_CALL_MS);
	leave_primary_answering();
	EXPECT_EQ(PRO_RESUME, requests["b"].type);
	EXPECT_EQ(PRO_RESUME, requests["c"].type);
	expect_rest_once_orders_are_over();
}

/* The same where another control instance leads now: it knows of the call from
 * the record that was made before it. */
TEST_F(PromoteLate, ANewLeaderKnowsOfTheCall)
{
	pro_start_leading(pro, 8, now);
	for (int i = 0; i < 3; i++) {
		leave_primary_answering();
		expect_only_b_receives();
	}
	run(PRO_LATE_CALL_MS);
	leave_primary_answering();
	EXPECT_EQ(PRO_RESUME, requests["c"].type);
}

/* The same where the leader changed while its first call was under way. */
TEST_F(PromoteSync, ANewLeaderKnowsOfACallUnderWay)
{
	lose_primary(10, 12);
	answer("b", false, 14);
	answer("c", false, 12);
	run(100);
	ASSERT_EQ(1u, calls.size());
	pro_start_leading(pro, 8, now);
	leave_primary_answering();
	expect_only_b_receives();
}

/* Guards against a second member that is called while the call for the first
 * may be carried out: no single replica could then hold all commits. The other
 * one, which holds more, is called once that is over. */
TEST_F(PromoteLate, NoOtherMemberIsCalledForMeanwhile)
{
	clk_ms over = now + PRO_LATE_CALL_MS;
	size_t before = calls.size();

	requests.clear();
	while (now < over + 4000 && calls.size() == before) {
		suspect(6, "a");
		run(100);
		for (const char *id : {"b", "c"})
			if (requests.count(id))
				answer(id, false, id[0] == 'b' ? 16 : 18);
	}
	ASSERT_EQ(before + 1, calls.size());
	EXPECT_GE(now, over - 4000); /* the calls were made before the test */
	EXPECT_STREQ("c", calls.back().member);
	EXPECT_GT(calls.back().promoter_token, calls[0].promoter_token);
}

/* A late call that is carried out ends the wait. */
TEST_F(PromoteLate, TheMemberIsRecordedWhenItLeads)
{
	announce_member("a", false);
	announce_member("b", true);
	for (int i = 0; i < 100 && recorded.back() != "b"; i++) {
		run(20);
		for (const char *id : {"a", "b", "c"})
			if (requests.count(id) &&
			    requests[id].type == PRO_GET_STATUS)
				answer(id, id[0] == 'b', 15, 2);
	}
	EXPECT_EQ("b", recorded.back());
	/* Until the other calls are over, it is not asked to step down: one of
	 * them could make it lead again beside its successor. */
	EXPECT_STREQ("b", state_group(state, "orders")->late_call);
	requests.clear();
	bool paused = false;
	auto asked = [&](const char *id, enum pro_action_type type) {
		return requests.count(id) && requests[id].type == type;
	};
	for (clk_ms end = now + PRO_LASTING_REPORTS_MS + 2000; now < end;) {
		suspect(2, "b");
		run(100);
		EXPECT_FALSE(asked("b", PRO_STEP_DOWN));
		paused |= asked("a", PRO_PAUSE) && asked("c", PRO_PAUSE);
		for (const char *id : {"a", "b", "c"})
			if (asked(id, PRO_GET_STATUS) || asked(id, PRO_RESUME))
				answer(id, id[0] == 'b', 15, 2);
	}
	EXPECT_TRUE(paused) << "replaced without a step down";
}

/* The record of the call goes once none can come any more. */
TEST_F(PromoteLate, TheCallIsForgotten)
{
	run(PRO_LATE_CALL_MS + 100);
	leave_primary_answering();
	run(400);
	EXPECT_STREQ("", state_group(state, "orders")->late_call);
	EXPECT_STREQ("a", state_group(state, "orders")->primary);
}

/* Guards against a change of a primary that serves other proxies, because a new
 * control leader has not been told yet when proxies heard it: the first reports
 * to a new leader hold no positions. */
TEST_F(Promote, ANewControlLeaderWaitsForWhatProxiesHeard)
{
	run(300);
	pro_on_primary_answer(pro, "orders", now);
	pro_start_leading(pro, 8, now);
	suspect(1, "a");
	run(40);
	answer("b", false, 12);
	answer("c", false, 10);
	suspect(1, "a");
	run(PRO_STATUS_TIMEOUT_MS + 60);
	pro_on_primary_answer(pro, "orders", now);
	suspect(1, "a");
	run(100);
	EXPECT_TRUE(calls.empty());
}

/*
 * Guards against a member that was deposed while it was cut off, and that is
 * promoted again before it has heard of the new term: what the first promotion
 * discarded came back, and all that was acknowledged in the new term was lost
 * (STALE and lost commits on Threlfall: the primary cut from its replicas, then
 * both of these silent).
 */
struct PromoteAgain : Promote {
	/* "a" is cut off with commits that "b" lacks, and "b" replaces it. */
	void replace_a_by_b()
	{
		run(300);
		lose_primary(10);
		ASSERT_EQ(calls.size(), 1u);
		EXPECT_STREQ(calls[0].member, "b");
		pro_on_promoter_reply(pro, calls[0].action_id, 200, now);
		announce_member("a", false);
		announce_member("b", true);
		run(40);
		ASSERT_EQ(recorded.back(), "b");
	}

	/* Control asks the new primary for its term. */
	void tell_term()
	{
		if (requests.count("b"))
			answer("b", true, 12, 2);
	}

	struct Answer {
		const char *id;
		int64_t held;
		int64_t term;
	};

	/* All proxies miss the primary, which does not answer control. The
	 * replicas named answer. */
	void lose(const char *primary, const std::vector<Answer> &answers)
	{
		run(PRO_RETRY_MS);
		suspect(6, primary);
		run(40);
		for (const Answer &a : answers)
			answer(a.id, false, a.held, a.term);
		suspect(6, primary);
		run(PRO_STATUS_TIMEOUT_MS + 40);
	}

	/* Only "a" answers; the status questions to the others fail. */
	void lose_b()
	{
		run(PRO_RETRY_MS);
		suspect(6, "b");
		run(40);
		answer("a", false, 20, 1);
		fail("b");
		fail("c");
		suspect(6, "b");
		run(PRO_STATUS_TIMEOUT_MS + 40);
	}

	/* "c", which has heard of the term of "b", replaces it. */
	void replace_b_by_c()
	{
		lose("b", {{"c", 11, 2}});
		ASSERT_EQ(calls.size(), 2u);
		pro_on_promoter_reply(pro, calls[1].action_id, 200, now);
		announce_member("b", false);
		announce_member("c", true);
		run(40);
		ASSERT_EQ(recorded.back(), "c");
	}
};

/* A promoted member leads in a later term than it had, told or not. */
TEST_F(PromoteAgain, TheNewTermNeedNotBeTold)
{
	replace_a_by_b();
	lose_b();
	EXPECT_EQ(calls.size(), 1u);
}

TEST_F(PromoteAgain, AMemberThatMissedTheNewTermIsNotPromoted)
{
	replace_a_by_b();
	tell_term();
	lose_b();
	EXPECT_EQ(calls.size(), 1u);
	for (int i = 0; i < 100 && calls.size() < 2; i++) {
		suspect(6, "b");
		run(20);
		if (requests.count("a"))
			answer("a", false, 20, 1);
		if (requests.count("b"))
			fail("b");
		if (requests.count("c"))
			answer("c", false, 11, 2);
	}
	ASSERT_EQ(calls.size(), 2u);
	EXPECT_STREQ(calls[1].member, "c");
}

/* The term must be known to a control leader that was elected later. */
TEST_F(PromoteAgain, ANewControlLeaderKnowsTheTerm)
{
	replace_a_by_b();
	tell_term();
	pro_start_leading(pro, 8, now);
	lose_b();
	EXPECT_EQ(calls.size(), 1u);
}

/* The term stays known over a change whose new primary never tells its own. */
TEST_F(PromoteAgain, ATermStaysKnownOverAnotherChange)
{
	replace_a_by_b();
	tell_term();
	replace_b_by_c();
	pro_start_leading(pro, 8, now);
	lose("c", {{"a", 20, 1}});
	EXPECT_EQ(calls.size(), 2u);
}

/* The same for the second term that a member did not hear of. */
TEST_F(PromoteAgain, AMemberThatMissedTheNextTermIsNotPromoted)
{
	replace_a_by_b();
	tell_term();
	replace_b_by_c();
	lose("c", {{"b", 15, 2}});
	EXPECT_EQ(calls.size(), 2u);
}

/* A member that answers with the new term shows it, too, where the new primary
 * has not told its term yet. */
TEST_F(PromoteAgain, AnotherMembersTermShowsThatItWasMissed)
{
	replace_a_by_b();
	lose("b", {{"a", 20, 1}, {"c", 11, 2}});
	ASSERT_EQ(calls.size(), 2u);
	EXPECT_STREQ(calls[1].member, "c");
}

/* A member that was cut off before the change, and lacks what came after, may
 * lead: its log was not discarded. */
TEST_F(PromoteAgain, AMemberWhoseLogWasKeptIsPromoted)
{
	replace_a_by_b();
	tell_term();
	lose("b", {{"a", 20, 1}, {"c", 10, 1}});
	ASSERT_EQ(calls.size(), 2u);
	EXPECT_STREQ(calls[1].member, "c");
}

/* If the members of the new term are gone, a log that was kept goes before one
 * that holds more. */
TEST_F(PromoteAgain, AKeptLogGoesBeforeALongerOne)
{
	replace_a_by_b();
	tell_term();
	remove_member("b");
	run(PRO_RETRY_MS + 40);
	answer("a", false, 20, 1);
	answer("c", false, 10, 1);
	run(PRO_STATUS_TIMEOUT_MS + 40);
	ASSERT_EQ(calls.size(), 2u);
	EXPECT_STREQ(calls[1].member, "c");
}

/* Guards against a group without a primary for good, because the members of the
 * new term never come back and nobody takes them out. */
TEST_F(PromoteAgain, ADiscardedLogLeadsIfNoOtherComesBack)
{
	replace_a_by_b();
	tell_term();
	clk_ms since = now;
	while (now < since + 2 * PRO_DISCARDED_LOG_WAIT_MS &&
	       calls.size() < 2) {
		suspect(6, "b");
		run(200);
		if (requests.count("a"))
			answer("a", false, 20, 1);
		for (const char *id : {"b", "c"})
			if (requests.count(id))
				fail(id);
	}
	ASSERT_EQ(calls.size(), 2u);
	EXPECT_STREQ(calls[1].member, "a");
	EXPECT_GE(now - since, PRO_DISCARDED_LOG_WAIT_MS);
}

/* If no member of the new term is left, its commits are lost anyway. */
TEST_F(PromoteAgain, AMemberOfAnOlderTermIsPromotedOnceTheOthersAreGone)
{
	replace_a_by_b();
	tell_term();
	remove_member("b");
	remove_member("c");
	run(PRO_RETRY_MS + 40);
	answer("a", false, 20, 1);
	run(PRO_STATUS_TIMEOUT_MS + 40);
	ASSERT_EQ(calls.size(), 2u);
	EXPECT_STREQ(calls[1].member, "a");
}
