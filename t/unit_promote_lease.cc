#include "lib_promote.h"

/*
 * The same with a promoter that neither deposes the old primary nor checks
 * tokens. The proxies p0 to p5 hold leases.
 */
struct PromoteLeased : Promote {
	static constexpr clk_ms LEASE_MS = 1000;
	static constexpr clk_ms LONGEST_MS = 1100;

	void SetUp() override
	{
		pro_use_leases(pro, PRO_LEASED_ALL, LEASE_MS, 300);
		Promote::SetUp();
		run(2000);
		grant_leases(6);
	}

	/* Members that are asked answer until the given time has passed; "a" is
	 * unreachable unless a_primary is set. */
	void run_members(clk_ms ms, bool a_answers = false,
			 bool a_primary = true)
	{
		for (clk_ms end = now + ms; now < end;) {
			suspect(6, "a");
			run(20);
			for (const char *id : {"b", "c"})
				if (requests.count(id))
					answer(id, id == leads, 10,
					       id == leads ? 2 : 1);
			if (a_answers && requests.count("a"))
				answer("a",
				       a_primary && requests["a"].type !=
							    PRO_STEP_DOWN,
				       10);
		}
	}

	std::string leads; /* the member that was promoted */
};

/* Guards against two primaries at the same time: the old one goes on, and a
 * proxy that can't hear of the change sends writes there until its lease has
 * expired (Bung trouble-1 at 35.0 s: writes were acknowledged by a replaced
 * primary). */
TEST_F(PromoteLeased, WaitsForTheLeaseOfAProxyThatCantBeReached)
{
	clk_ms granted = now;

	run_members(PRO_STATUS_TIMEOUT_MS + 100);
	grant_leases(5);
	run_members(granted + LONGEST_MS - 60 - now);
	EXPECT_TRUE(calls.empty());
	EXPECT_TRUE(state_group(state, "orders")->changing_primary);
	run_members(200);
	ASSERT_EQ(calls.size(), 1u);
	EXPECT_STREQ(calls[0].member, "b");
}

/* Guards against waiting for leases that all proxies have given back. */
TEST_F(PromoteLeased, CallsAtOnceWhenAllProxiesKnowOfTheChange)
{
	run_members(PRO_STATUS_TIMEOUT_MS + 100);
	grant_leases(6);
	run_members(100);
	EXPECT_EQ(calls.size(), 1u);
}

/* Guards against waiting for leases after the old primary has confirmed that
 * it accepts no more writes. */
TEST_F(PromoteLeased, CallsAtOnceWhenTheOldPrimaryHasSteppedDown)
{
	announce_member("a", true, true);
	run_members(200, true);
	EXPECT_EQ(calls.size(), 1u);
}

/* Guards against recording a replaced primary, which still believes that it
 * leads, while the new one is unreachable for control. */
TEST_F(PromoteLeased, DoesNotRecordAReplacedPrimary)
{
	run_members(PRO_STATUS_TIMEOUT_MS + 100);
	grant_leases(6);
	run_members(100);
	ASSERT_EQ(calls.size(), 1u);
	pro_on_promoter_reply(pro, calls[0].action_id, 200, now);
	leads = "b";
	run_members(200);
	ASSERT_EQ(recorded.back(), "b");
	announce_member("b", false);
	grant_leases(6);
	bool stepped_down = false;
	for (int i = 0; i < 100; i++) {
		suspect(6, "b");
		run(20);
		if (requests.count("a")) {
			stepped_down |= requests["a"].type == PRO_STEP_DOWN;
			answer("a", !stepped_down, 12);
		}
		if (requests.count("c"))
			answer("c", false, 12, 2);
		grant_leases(6);
	}
	EXPECT_NE(recorded.back(), "a");
	/* No result of the second call comes, so it is repeated. */
	ASSERT_GE(calls.size(), 2u);
	ASSERT_LE(calls.size(), 3u);
	for (size_t i = 1; i < calls.size(); i++) {
		EXPECT_STREQ(calls[i].member, "c");
		EXPECT_EQ(calls[i].promoter_token, calls[1].promoter_token);
	}
}

/* Guards against taking a lead that a member believes in for that of the new
 * call: it must step down before it is called, and then lead with a new term.
 */
TEST_F(PromoteLeased, TheTargetMustLeadWithANewTerm)
{
	run_members(PRO_STATUS_TIMEOUT_MS + 100);
	grant_leases(6);
	run_members(100);
	pro_on_promoter_reply(pro, calls[0].action_id, 200, now);
	leads = "b";
	run_members(200);
	ASSERT_EQ(recorded.back(), "b");
	size_t before = recorded.size();
	/* "b" is replaced by "a", which has not noticed that it was replaced,
	 * but holds nothing that "b" lacks. "c" does not answer. Requests of
	 * the change before don't count. */
	bool stepped_down = false;
	requests.clear();
	for (int i = 0; i < 100 && calls.size() < 2; i++) {
		suspect(6, "b");
		run(20);
		if (requests.count("a")) {
			stepped_down |= requests["a"].type == PRO_STEP_DOWN;
			answer("a", !stepped_down, 10, 1);
		}
		grant_leases(6);
	}
	ASSERT_EQ(calls.size(), 2u);
	ASSERT_STREQ(calls[1].member, "a");
	EXPECT_TRUE(stepped_down);
	pro_on_promoter_reply(pro, calls[1].action_id, 200, now);
	run(100);
	answer("a", true, 12, 1);
	run(60);
	EXPECT_EQ(recorded.size(), before);
	answer("a", true, 12, 3);
	EXPECT_EQ(recorded.back(), "a");
}

/* Guards against two calls for different members of which the older one is
 * carried out last: without tokens it would replace the member that proxies
 * use. */
TEST_F(PromoteLeased, ChoosesNoOtherMemberWhileACallMayBeCarriedOut)
{
	run_members(PRO_STATUS_TIMEOUT_MS + 100);
	grant_leases(6);
	run_members(100);
	ASSERT_EQ(calls.size(), 1u);
	clk_ms called = now;
	for (size_t i = 1; i <= PRO_MAX_UNANSWERED_CALLS; i++) {
		ASSERT_STREQ(calls.back().member, "b");
		pro_on_promoter_reply(pro, calls.back().action_id, 0, now);
		take_actions();
	}
	/* "b" is gone; "c" answers. */
	while (now < called + PRO_LATE_CALL_MS - 100) {
		size_t n = calls.size();

		run(20);
		if (requests.count("c"))
			answer("c", false, 10);
		requests.erase("b");
		EXPECT_EQ(calls.size(), n);
	}
	for (int i = 0; i < 100 && calls.back().member[0] == 'b'; i++) {
		run(20);
		if (requests.count("c"))
			answer("c", false, 10);
		grant_leases(6);
	}
	EXPECT_STREQ(calls.back().member, "c");
}

/* Guards against a new leader that leaves the old primary in place or chooses
 * another member, while the former leader's call is carried out late. */
TEST_F(PromoteLeased, ANewLeaderCallsTheSameMemberAgain)
{
	run_members(PRO_STATUS_TIMEOUT_MS + 100);
	grant_leases(6);
	run_members(100);
	ASSERT_STREQ(calls.back().member, "b");
	calls.clear();
	requests.clear();
	pro_start_leading(pro, 8, now);
	for (int i = 0; i < 120 && calls.empty(); i++) {
		run(20);
		if (requests.count("a"))
			answer("a", requests["a"].type != PRO_STEP_DOWN, 10);
		if (requests.count("b"))
			answer("b", false, 10);
		if (requests.count("c"))
			answer("c", false, 30);
	}
	ASSERT_EQ(calls.size(), 1u);
	EXPECT_STREQ(calls[0].member, "b");
}

/* Guards against a group without a primary after a false alarm: the primary
 * answers again before the promoter was called. */
TEST_F(PromoteLeased, APrimaryThatComesBackInTimeStays)
{
	run_members(PRO_STATUS_TIMEOUT_MS + 100);
	ASSERT_TRUE(state_group(state, "orders")->changing_primary);
	pro_start_leading(pro, 8, now);
	requests.clear();
	run(40);
	for (const char *id : {"a", "b", "c"})
		answer(id, id[0] == 'a', 10);
	run(40);
	EXPECT_TRUE(calls.empty());
	EXPECT_EQ(recorded.back(), "a");
	EXPECT_FALSE(state_group(state, "orders")->changing_primary);
}

/* Guards against a call for the present primary that got no answer and is
 * carried out after this primary was replaced in turn: a leader that did not
 * make the call must know of it. */
TEST_F(PromoteLeased, ANewLeaderKnowsOfACallForThePresentPrimary)
{
	run_members(PRO_STATUS_TIMEOUT_MS + 100);
	grant_leases(6);
	run_members(100);
	ASSERT_STREQ(calls.back().member, "b");
	pro_on_promoter_reply(pro, calls.back().action_id, 0, now);
	leads = "b";
	run_members(300);
	ASSERT_EQ(recorded.back(), "b");
	EXPECT_STREQ(state_group(state, "orders")->late_call, "b");
	calls.clear();
	requests.clear();
	pro_start_leading(pro, 8, now);
	clk_ms since = now;
	while (now < since + PRO_LATE_CALL_MS + 3000 && calls.empty()) {
		suspect(6, "b");
		run(20);
		if (requests.count("a"))
			answer("a", false, 12);
		if (requests.count("c"))
			answer("c", false, 12, 2);
		grant_leases(6);
	}
	ASSERT_EQ(calls.size(), 1u);
	EXPECT_STREQ(calls[0].member, "c");
	EXPECT_GE(now, since + PRO_LATE_CALL_MS);
}

/* Guards against waiting for such a call for ever. */
TEST_F(PromoteLeased, ALateCallIsForgotten)
{
	run_members(PRO_STATUS_TIMEOUT_MS + 100);
	grant_leases(6);
	run_members(100);
	pro_on_promoter_reply(pro, calls.back().action_id, 0, now);
	leads = "b";
	run_members(300);
	ASSERT_EQ(recorded.back(), "b");
	run(PRO_LATE_CALL_MS + 1000);
	EXPECT_STREQ(state_group(state, "orders")->late_call, "");
	EXPECT_EQ(recorded.back(), "b");
}

/* Guards against a member that is promoted with a discarded log: the log that a
 * term began with was that of a candidate which the promoter had refused. */
TEST_F(PromoteLeased, TheSecondCandidatesLogBeginsTheTerm)
{
	size_t answered = 0; /* calls */
	bool c_leads = false;

	for (int i = 0; i < 300 && recorded.size() < 2; i++) {
		suspect(6, "a");
		run(20);
		grant_leases(6);
		if (requests.count("b") && calls.empty())
			answer("b", false, 12);
		if (requests.count("c"))
			answer("c", c_leads, 10, c_leads ? 2 : 1);
		if (calls.size() == answered)
			continue;
		answered = calls.size();
		c_leads = !strcmp(calls.back().member, "c");
		pro_on_promoter_reply(pro, calls.back().action_id,
				      c_leads ? 200 : 409, now);
		take_actions();
	}
	ASSERT_EQ(recorded.back(), "c");
	EXPECT_EQ(10, state_group(state, "orders")->member_term_start);
}
