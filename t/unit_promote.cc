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
