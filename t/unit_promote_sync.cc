#include "lib_promote.h"

/*
 * With one synchronous replica, at least one of the two replicas holds each
 * acknowledged commit. The promoter deposes the old primary. The proxies p0 to
 * p5 hold leases, and acknowledge commits only under them.
 */
struct PromoteSync : Promote {
	/* Longer than PRO_JOIN_MS, so that a wait for the one does not stand in
	 * for the other. */
	static constexpr clk_ms LEASE_MS = 3000;
	static constexpr clk_ms LONGEST_MS = 3300;
	static constexpr clk_ms OVERLAP_MS = 300;

	bool in_contact = true; /* the proxies ask control all the time */

	void SetUp() override
	{
		pro_use_leases(pro, PRO_LEASED_SYNC, LEASE_MS, OVERLAP_MS);
		pro_set_sync_replicas(pro, "orders", 1);
		Promote::SetUp();
		rest(LONGEST_MS + OVERLAP_MS);
		EXPECT_EQ(ORDERS_SETTLED, state_orders(state, "orders"));
		EXPECT_TRUE(requests.empty());
	}

	/* All members answer; "a" leads. */
	void rest(clk_ms ms, int64_t held = 10)
	{
		for (clk_ms end = now + ms; now < end;) {
			if (in_contact)
				grant_leases(6);
			run(20);
			for (const char *id : {"a", "b", "c"})
				if (requests.count(id))
					answer(id, id[0] == 'a', held);
		}
	}

	struct Held {
		const char *id;
		int64_t number;
	};

	/* "a" is silent and missed by all proxies; the given members answer.
	 * Ends with the first call. */
	void lose_a(clk_ms ms, const std::vector<Held> &members)
	{
		size_t before = calls.size();

		for (clk_ms end = now + ms;
		     now < end && calls.size() == before;) {
			suspect(6, "a");
			if (in_contact)
				grant_leases(6);
			run(20);
			for (const Held &m : members)
				if (requests.count(m.id))
					answer(m.id, false, m.number);
		}
	}

	bool changing()
	{
		return state_group(state, "orders")->changing_primary;
	}
};

/* Guards against the loss of an acknowledged commit that only the unresponsive
 * replica may hold. */
TEST_F(PromoteSync, WaitsForAllReplicasThatMayHoldACommit)
{
	lose_a(5000, {{"b", 10}});
	EXPECT_TRUE(calls.empty());
}

/* Guards against the loss of a commit that a proxy acknowledges after the
 * replicas' positions were compared (review/13): while one may, none is called,
 * and what the replicas held meanwhile does not count. */
TEST_F(PromoteSync, ComparesMembersOnceNoProxyAcknowledges)
{
	in_contact = false;
	grant_leases(6);
	clk_ms granted = now;
	for (int64_t n = 10; now < granted + LONGEST_MS; n++) {
		grant_leases(5);
		lose_a(20, {{"b", n + 5}, {"c", n}});
		ASSERT_TRUE(calls.empty()) << now - granted;
	}
	EXPECT_TRUE(changing());
	lose_a(5000, {{"b", 70}, {"c", 90}});
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("c", calls[0].member);
}

/* Guards against orders to members that could get lost or be carried out late,
 * in a change that relies on them (review/8, review/13). */
TEST_F(PromoteSync, NoReplicaGetsAnOrder)
{
	struct pro_action a;

	for (clk_ms end = now + 10000; now < end; now += 20) {
		suspect(6, "a");
		grant_leases(6);
		pro_tick(pro, now);
		while (pro_next_action(pro, &a)) {
			struct pro_status s = {.reply = PRO_OK,
					       .primary = false,
					       .term = 1,
					       .received_pos = {1, 10}};

			switch (a.type) {
			case PRO_RECORD_PRIMARY:
				record(a);
				break;
			case PRO_RECORD_CHANGE:
				record_change(a);
				break;
			case PRO_CALL_PROMOTER:
				pro_on_promoter_reply(pro, a.action_id, 0, now);
				calls.push_back(a);
				break;
			default:
				if (a.member[0] == 'a')
					break;
				ASSERT_EQ(PRO_GET_STATUS, a.type);
				pro_on_status(pro, a.action_id, &s, now);
			}
		}
	}
	EXPECT_FALSE(calls.empty());
}

/* Guards against a member that lacks commits and is promoted because the log of
 * the only other one counts as discarded (review/10): "b" is promoted and
 * fails, "a" is back with a commit that "b" did not have, and "c" has received
 * nothing for a while. */
TEST_F(PromoteSync, ALogThatEndsTooEarlyIsNotTheOnlyOneKept)
{
	lose_a(5000, {{"b", 192}, {"c", 97}});
	ASSERT_EQ(1u, calls.size());
	ASSERT_STREQ("b", calls[0].member);
	pro_on_promoter_reply(pro, calls[0].action_id, 200, now);
	run(100);
	answer("b", true, 192, 2);
	ASSERT_EQ("b", recorded.back());
	announce_member("a", false);
	announce_member("b", true);
	for (int i = 0; i < 400 && calls.size() < 2; i++) {
		suspect(6, "b");
		grant_leases(6);
		run(20);
		if (requests.count("a"))
			answer("a", false, 193);
		if (requests.count("c"))
			answer("c", false, 97);
	}
	ASSERT_EQ(2u, calls.size());
	EXPECT_STREQ("a", calls[1].member);
}

/* Guards against the loss of commits that only a leaving replica has received,
 * because the other one does not leave (review/6). */
TEST_F(PromoteSync, ALeavingMemberLeadsIfOnlyItHoldsAllCommits)
{
	announce_member("c", false, true);
	lose_a(5000, {{"b", 10}, {"c", 70}});
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("c", calls[0].member);
}

/* Guards against a group without a primary after a false alarm: the primary
 * answers again before the promoter was called. */
TEST_F(PromoteSync, APrimaryThatComesBackInTimeStays)
{
	lose_a(PRO_STATUS_TIMEOUT_MS + 300, {{"b", 14}, {"c", 14}});
	ASSERT_TRUE(changing());
	ASSERT_TRUE(calls.empty());
	pro_start_leading(pro, 8, now);
	requests.clear();
	rest(500, 15);
	EXPECT_TRUE(calls.empty());
	EXPECT_FALSE(changing());
	EXPECT_STREQ("a", state_group(state, "orders")->primary);
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
	for (int i = 0; i < 400 && calls.empty(); i++) {
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
		rest(100);
		remove_member("c", true);
		requests.erase("c");
	}

	/* Answers what control asks of the primary and of "b". */
	void answer_all(clk_ms ms, int64_t held, int64_t held_b)
	{
		for (clk_ms end = now + ms; now < end; run(20)) {
			grant_leases(6);
			for (const char *id : {"a", "b"})
				if (requests.count(id))
					answer(id, id[0] == 'a',
					       id[0] == 'a' ? held : held_b);
		}
	}
};

/* Guards against the loss of commits that only the ended member has received:
 * its successor, which has its log, is waited for. */
TEST_F(PromoteEnded, ItsSuccessorIsWaitedFor)
{
	lose_a(10000, {{"b", 12}});
	EXPECT_TRUE(calls.empty());
	announce_member("c2", false, false, 1);
	lose_a(3000, {{"b", 12}, {"c2", 20}});
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("c2", calls[0].member);
}

/* The same where its successor has registered before it is removed. */
TEST_F(PromoteSync, ASuccessorThatIsThereAlreadyHasTheLog)
{
	announce_member("c", false, true);
	announce_member("c2", false, false, 1);
	lose_a(300, {{"b", 12}, {"c2", 20}});
	remove_member("c", true);
	lose_a(5000, {{"b", 12}, {"c2", 20}});
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("c2", calls[0].member);
}

/* Guards against waiting for a member whose DELETE never came, though its
 * successor, which has its log, has registered at its address. */
TEST_F(PromoteSync, AMemberThatWasSucceededIsNotWaitedFor)
{
	announce_member("c2", false, false, 1);
	lose_a(5000, {{"b", 12}, {"c2", 20}});
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("c2", calls[0].member);
}

/* A later control leader must know of the log, too. */
TEST_F(PromoteEnded, ANewLeaderWaitsForItsSuccessor)
{
	pro_start_leading(pro, 8, now);
	lose_a(10000, {{"b", 12}});
	EXPECT_TRUE(calls.empty());
}

/* Another member is no successor: it does not have the log. */
TEST_F(PromoteEnded, AMemberAtAnotherAddressHasNotItsLog)
{
	announce_member("d", false, false, 1);
	lose_a(10000, {{"b", 12}, {"d", 11}});
	EXPECT_TRUE(calls.empty());
}

/* Guards against a service without a primary for good, or for a while: the
 * successor never comes, but the other replica has received what the primary
 * held after the member had ended. */
TEST_F(PromoteEnded, ACoveredLogIsNotWaitedFor)
{
	answer_all(PRO_ENDED_MS + 1000, 20, 20);
	lose_a(4000, {{"b", 22}});
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("b", calls[0].member);
}

/* Guards against covering it too early: commits that the member received while
 * it was ending are not held by the other replica. */
TEST_F(PromoteEnded, ALogIsNotCoveredByAReplicaThatReceivesNothing)
{
	answer_all(PRO_ENDED_MS + 4000, 20, 15);
	lose_a(10000, {{"b", 15}});
	EXPECT_TRUE(calls.empty());
}

/* Guards against a log that was covered before its member had really ended. */
TEST_F(PromoteEnded, WhatThePrimaryHeldBeforeTheEndIsNotEnough)
{
	answer_all(PRO_ENDED_MS - 300, 15, 15);
	lose_a(10000, {{"b", 15}});
	EXPECT_TRUE(calls.empty());
}

/* Guards against an empty log that is taken for one that holds all there was:
 * "c" starts again under its id, with nothing of before, while only it and "a"
 * held some commits (review/14). */
TEST_F(PromoteSync, AMemberThatStartsAgainMayHoldNothing)
{
	announce_member("c", false, false, 1);
	lose_a(10000, {{"b", 12}, {"c", 0}});
	EXPECT_TRUE(calls.empty());
	rest(1000, 20);
	EXPECT_FALSE(changing());
	EXPECT_STREQ("a", state_group(state, "orders")->primary);
}

/* The same where control hears of it during the change. */
TEST_F(PromoteSync, AMemberThatStartsAgainDuringAChangeMayHoldNothing)
{
	lose_a(PRO_STATUS_TIMEOUT_MS + 200, {{"b", 12}, {"c", 0}});
	ASSERT_TRUE(changing());
	lose_a(PRO_JOIN_MS - 100, {{"b", 12}, {"c", 0}});
	ASSERT_TRUE(calls.empty());
	announce_member("c", false, false, 1);
	lose_a(10000, {{"b", 12}, {"c", 0}});
	EXPECT_TRUE(calls.empty());
}

/* Guards against a service without a primary for good: once it has received
 * what the primary held after its start, its former log is not waited for. Nor
 * is that of the primary, which comes back with its log. */
TEST_F(PromoteSync, TheFormerLogOfAMemberIsCovered)
{
	announce_member("a", true, false, 1);
	announce_member("c", false, false, 1);
	rest(PRO_ENDED_MS + 1000, 20);
	lose_a(5000, {{"b", 22}, {"c", 21}});
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("b", calls[0].member);
}

/* Guards against a group without a primary for good: both replicas start again
 * when the primary has just stepped down. */
TEST_F(PromoteSync, ThePrimaryLeadsAgainIfOnlyItsLogIsKnown)
{
	announce_member("a", false);
	announce_member("b", false, false, 1);
	announce_member("c", false, false, 1);
	for (int i = 0; i < 400 && calls.empty(); i++) {
		grant_leases(6);
		run(20);
		for (const char *id : {"a", "b", "c"})
			if (requests.count(id))
				answer(id, false, id[0] == 'a' ? 20 : 5);
	}
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("a", calls[0].member);
}

/* Guards against a group without a primary for good: the primary ends, and its
 * successor leads on in the same term, while the former log of a replica is not
 * covered (the soak, seed 1). */
TEST_F(PromoteSync, TheSuccessorOfThePrimaryIsRecorded)
{
	announce_member("c", false, false, 1);
	announce_member("a", true, true);
	remove_member("a", true);
	requests.clear();
	announce_member("a2", true, false, 1);
	for (int i = 0; i < 400 && recorded.back() != "a2"; i++) {
		grant_leases(6);
		run(20);
		for (const char *id : {"a2", "b", "c"})
			if (requests.count(id))
				answer(id, id[0] == 'a', id[0] == 'c' ? 5 : 20);
	}
	EXPECT_EQ("a2", recorded.back());
	EXPECT_FALSE(changing());
}

/* A member that was removed for its silence may go on for a while. */
TEST_F(PromoteSync, ASilentMemberMayStillReceive)
{
	announce_member("c", false, true);
	run(100);
	remove_member("c", true, true);
	requests.erase("c");
	rest(10000, 20);
	size_t n;
	const struct ended_log *l = state_ended_logs(state, &n);
	ASSERT_EQ(1u, n);
	EXPECT_FALSE(l[0].covered);
}

/*
 * Guards against the loss of commits that a successor has received, whose
 * predecessor has ended long ago (review/13). It receives before control hears
 * of it, and control may hear of it at any time of a change.
 */
TEST_F(PromoteEnded, ASuccessorThatComesDuringAChangeIsCompared)
{
	answer_all(PRO_ENDED_MS + 10000, 20, 20);
	lose_a(PRO_STATUS_TIMEOUT_MS + 200, {{"b", 22}});
	ASSERT_TRUE(changing());
	clk_ms began = now;
	/* The last moment at which one that received can be unknown. */
	while (now < began + PRO_JOIN_MS - 100)
		lose_a(20, {{"b", 22}});
	ASSERT_TRUE(calls.empty());
	announce_member("c2", false, false, 1);
	lose_a(5000, {{"b", 22}, {"c2", 24}});
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("c2", calls[0].member);
}

/* The same where it comes while the members are compared, or later. */
TEST_F(PromoteEnded, ASuccessorThatComesBeforeTheCallIsCompared)
{
	answer_all(PRO_ENDED_MS + 10000, 20, 20);
	for (int i = 0; i < 400 && !requests.count("b"); i++) {
		suspect(6, "a");
		grant_leases(6);
		run(20);
	}
	answer("b", false, 22);
	requests.clear();
	for (int i = 0; i < 400 && !requests.count("b"); i++) {
		suspect(6, "a");
		grant_leases(6);
		run(20);
	}
	ASSERT_TRUE(changing());
	announce_member("c2", false, false, 1);
	lose_a(5000, {{"b", 22}, {"c2", 24}});
	ASSERT_EQ(1u, calls.size());
	EXPECT_STREQ("c2", calls[0].member);
}

/* Guards against a replica that stays paused by a leader of an earlier version:
 * commits would wait for ever once the other replica fails. The order to
 * receive again may get lost, and an order to pause may be carried out after
 * it. */
TEST_F(PromoteSync, APauseOfAnEarlierVersionIsEnded)
{
	for (enum orders_stage stage :
	     {ORDERS_UNKNOWN, ORDERS_UNDER_WAY, ORDERS_PAUSING}) {
		struct pro_action a = {};
		clk_ms last = 0;

		strcpy(a.group, "orders");
		a.stage = stage;
		record_orders(a);
		pro_start_leading(pro, 8 + stage, now);
		requests.clear();
		clk_ms since = now;
		for (clk_ms end = now + PRO_LATE_CALL_MS + 3000; now < end;
		     run(20))
			for (const char *id : {"b", "c"}) {
				if (!requests.count(id))
					continue;
				EXPECT_EQ(PRO_RESUME, requests[id].type);
				last = now;
				if (now < since + 2000)
					fail(id);
				else
					answer(id, false, 10);
			}
		EXPECT_GE(last - since,
			  stage == ORDERS_UNKNOWN ? 2000 : PRO_LATE_CALL_MS);
		EXPECT_EQ(ORDERS_SETTLED, state_orders(state, "orders"));
	}
}

/* Guards against questions and waits that nothing calls for. */
TEST_F(PromoteSync, ANewLeaderOfASettledGroupDoesNotWait)
{
	pro_start_leading(pro, 8, now);
	run(100);
	EXPECT_TRUE(requests.empty());
	clk_ms since = now;
	lose_a(10000, {{"b", 14}, {"c", 12}});
	ASSERT_EQ(1u, calls.size());
	/* Beside the leases that the leader before may have granted: */
	EXPECT_LT(now - since, OVERLAP_MS + LONGEST_MS + PRO_JOIN_MS +
				       2 * PRO_STATUS_TIMEOUT_MS + 200);
}

/* The calls for "b" got no answer, and "a" leads on. */
struct PromoteLate : PromoteSync {
	clk_ms called_at = 0;

	void SetUp() override
	{
		PromoteSync::SetUp();
		lose_a(5000, {{"b", 14}, {"c", 12}});
		for (size_t i = 1; i <= PRO_MAX_UNANSWERED_CALLS; i++) {
			ASSERT_EQ(i, calls.size());
			EXPECT_STREQ("b", calls.back().member);
			pro_on_promoter_reply(pro, calls.back().action_id, 0,
					      now);
			take_actions();
			if (i == PRO_MAX_UNANSWERED_CALLS)
				break;
			answer("b", false, 14);
			run(20);
		}
		called_at = now;
		run(PRO_REPORT_VALID_MS);
		requests.clear();
	}
};

/* Guards against a call that is repeated for a member which has started again
 * with nothing since the one before. */
TEST_F(PromoteSync, ACandidateThatHasStartedAgainIsNotCalledAgain)
{
	lose_a(5000, {{"b", 14}, {"c", 12}});
	ASSERT_EQ(1u, calls.size());
	pro_on_promoter_reply(pro, calls[0].action_id, 0, now);
	take_actions();
	for (int i = 0; i < 100; i++) {
		run(20);
		for (const char *id : {"b", "c"})
			if (requests.count(id))
				answer(id, false, id[0] == 'b' ? 0 : 12);
	}
	EXPECT_EQ(1u, calls.size());
}

/* Guards against the loss of commits that are acknowledged after a call was
 * given up, and before it is carried out late. */
TEST_F(PromoteLate, NothingIsAcknowledgedWhileACallMayBeCarriedOut)
{
	while (now < called_at + PRO_LATE_CALL_MS - 100) {
		rest(100, 15);
		ASSERT_TRUE(changing()) << now - called_at;
	}
	EXPECT_EQ((size_t)PRO_MAX_UNANSWERED_CALLS, calls.size());
}

/* Guards against a group without a primary for good, or as long as the promoter
 * is down, while the old primary leads on. */
TEST_F(PromoteLate, TheOldPrimaryGoesOnOnceNoCallCanBeCarriedOut)
{
	rest(PRO_LATE_CALL_MS + 1000, 15);
	EXPECT_FALSE(changing());
	EXPECT_STREQ("a", state_group(state, "orders")->primary);
	EXPECT_STREQ("", state_group(state, "orders")->late_call);
	EXPECT_EQ((size_t)PRO_MAX_UNANSWERED_CALLS, calls.size());
}

/* A later leader knows of the call from the record that was made before it. It
 * calls again, since an answer is the fastest way to end the change. */
TEST_F(PromoteLate, ANewLeaderKnowsOfTheCall)
{
	size_t before = calls.size();

	pro_start_leading(pro, 8, now);
	for (int i = 0; i < 300 && calls.size() == before; i++) {
		rest(20, 15);
		ASSERT_TRUE(changing());
	}
	ASSERT_EQ(before + 1, calls.size());
	EXPECT_STREQ("b", calls.back().member);
	EXPECT_GT(calls.back().promoter_token, calls[0].promoter_token);
}

/* Guards against a second member that is called while the call for the first
 * may be carried out: the first one would lead after the second one was
 * recorded. The other one, which holds more, is called once that is over. */
TEST_F(PromoteLate, NoOtherMemberIsCalledForMeanwhile)
{
	size_t before = calls.size();

	lose_a(PRO_LATE_CALL_MS + 8000, {{"b", 16}, {"c", 18}});
	ASSERT_EQ(before + 1, calls.size());
	EXPECT_GE(now, called_at + PRO_LATE_CALL_MS);
	EXPECT_STREQ("c", calls.back().member);
	EXPECT_GT(calls.back().promoter_token, calls[0].promoter_token);
}

/* A late call that is carried out ends the change. Until the other calls are
 * over, a step down of the member does not count: one of them could make it
 * lead again, and proxies that were not told yet would use it. */
TEST_F(PromoteLate, TheMemberIsRecordedWhenItLeads)
{
	announce_member("a", false);
	announce_member("b", true);
	for (int i = 0; i < 100 && recorded.back() != "b"; i++) {
		run(20);
		for (const char *id : {"a", "b", "c"})
			if (requests.count(id))
				answer(id, id[0] == 'b', 15, 2);
	}
	ASSERT_EQ("b", recorded.back());
	EXPECT_STREQ("b", state_group(state, "orders")->late_call);
	requests.clear();
	calls.clear();
	in_contact = false;
	grant_leases(6);
	announce_member("b", true, true);
	clk_ms granted = now;
	for (int i = 0; i < 400 && calls.empty(); i++) {
		run(20);
		for (const char *id : {"a", "b", "c"})
			if (requests.count(id))
				answer(id,
				       id[0] == 'b' && requests[id].type !=
							       PRO_STEP_DOWN,
				       15, 2);
	}
	ASSERT_EQ(1u, calls.size());
	EXPECT_GE(now, granted + LONGEST_MS);
}

/* The record of the call goes once none can come any more. */
TEST_F(PromoteLate, TheCallIsForgotten)
{
	announce_member("a", false);
	announce_member("b", true);
	for (clk_ms end = now + PRO_LATE_CALL_MS + 2000; now < end;) {
		run(20);
		for (const char *id : {"a", "b", "c"})
			if (requests.count(id))
				answer(id, id[0] == 'b', 15, 2);
	}
	EXPECT_STREQ("", state_group(state, "orders")->late_call);
	EXPECT_STREQ("b", state_group(state, "orders")->primary);
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
