#include <gtest/gtest.h>

#include <map>
#include <string>

extern "C" {
#include "promote.h"
}

/* A group of three members and the control leader of term 7. requests holds the
 * last request to each member, calls the calls to the promoter, and recorded
 * the members recorded as primary. */
struct Promote : testing::Test {
	struct state *state = state_new();
	struct pro *pro = pro_new(state);
	clk_ms now = 100000;
	std::map<std::string, pro_action> requests; /* by member id */
	std::vector<pro_action> calls;
	std::vector<std::string> recorded;
	int proxy_count = 6;

	void SetUp() override
	{
		pro_start_leading(pro, 7, now);
		announce_member("a", true);
		announce_member("b", false);
		announce_member("c", false);
		add_proxies(proxy_count);
	}

	void TearDown() override
	{
		pro_free(pro);
		state_free(state);
	}

	void apply(struct buf *cmd)
	{
		const struct state_request_result *done;
		struct blob b = {buf_data(cmd), buf_len(cmd)};

		ASSERT_EQ(RES_OK, state_apply(state, &b, &done, NULL));
		buf_free(cmd);
	}

	void announce_member(const char *id, bool primary, bool leaving = false)
	{
		struct backend_info b = {};
		struct buf cmd = BUF_INIT;

		strcpy(b.id, id);
		strcpy(b.group, "orders");
		strcpy(b.addr, "10.0.0.1:1");
		b.announced_primary = primary;
		b.leaving = leaving;
		state_cmd_backend(&cmd, &b);
		apply(&cmd);
	}

	void add_proxies(int n)
	{
		for (int i = 0; i < n; i++) {
			struct proxy_info p = {};
			struct buf cmd = BUF_INIT;

			snprintf(p.id, ID_LEN, "p%d", i);
			strcpy(p.addr, "10.0.0.2:1");
			p.alive = true;
			state_cmd_proxy(&cmd, &p);
			apply(&cmd);
		}
	}

	void record(const pro_action &a)
	{
		struct group_info g = {};
		struct buf cmd = BUF_INIT;

		strcpy(g.name, a.group);
		strcpy(g.primary, a.member);
		g.term = a.term;
		g.member_term = a.member_term;
		strcpy(g.late_call, a.late_call);
		state_cmd_group(&cmd, &g);
		apply(&cmd);
		recorded.push_back(a.member);
	}

	void record_change(const pro_action &a)
	{
		struct group_info g = {};
		struct buf cmd = BUF_INIT;

		strcpy(g.name, a.group);
		strcpy(g.candidate, a.member);
		g.changing_primary = true;
		g.change_term = a.term;
		strcpy(g.late_call, a.late_call);
		state_cmd_group(&cmd, &g);
		apply(&cmd);
	}

	void take_actions()
	{
		struct pro_action a;

		while (pro_next_action(pro, &a)) {
			if (a.type == PRO_CALL_PROMOTER)
				calls.push_back(a);
			else if (a.type == PRO_RECORD_PRIMARY)
				record(a);
			else if (a.type == PRO_RECORD_CHANGE)
				record_change(a);
			else
				requests[a.member] = a;
		}
	}

	void run(clk_ms ms)
	{
		for (clk_ms end = now + ms; now < end; now += 20) {
			pro_tick(pro, now);
			take_actions();
		}
	}

	void suspect(int nproxies, const char *member)
	{
		for (int i = 0; i < nproxies; i++)
			pro_on_suspicion(pro, "orders", member,
					 ("p" + std::to_string(i)).c_str(),
					 now);
	}

	/* All proxies report "a" as unreachable, and it does not answer
	 * control, so the promoter is called for one of the others. */
	void lose_primary(int64_t held_b, int64_t held_c = -1)
	{
		suspect(6, "a");
		run(40);
		answer("b", false, held_b);
		if (held_c >= 0)
			answer("c", false, held_c);
		suspect(6, "a");
		run(PRO_STATUS_TIMEOUT_MS + 40);
	}

	/* One proxy reports "a" as unreachable, and it does not answer control
	 * in time. */
	void find_primary_unresponsive()
	{
		run(300);
		pro_on_primary_answer(pro, "orders", now);
		suspect(1, "a");
		run(40);
		answer("b", false, 12);
		answer("c", false, 10);
		run(PRO_STATUS_TIMEOUT_MS + 60);
	}

	void answer(const char *id, bool primary, int64_t held,
		    int64_t term = 1)
	{
		struct pro_status s = {};

		ASSERT_TRUE(requests.count(id)) << id << " was not asked";
		s.primary = primary;
		s.term = term;
		s.received_pos = {1, held};
		int64_t number = requests[id].action_id;
		requests.erase(id);
		pro_on_status(pro, number, &s, now);
		take_actions();
	}
};

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
	run(300);
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
		run(300);
		for (const char *id : {"a", "b", "c"})
			if (requests.count(id))
				answer(id, id[0] == 'a', 10);
		run(300);
		requests.clear();
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

TEST_F(PromoteSync, DoesNotCallWithHalfOfThemPaused)
{
	lose_primary(10, 12);
	answer("b", false, 14);
	run(PRO_STATUS_TIMEOUT_MS + 100);
	EXPECT_TRUE(calls.empty());
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

/*
 * The same with a promoter that neither deposes the old primary nor checks
 * tokens. The proxies p0 to p5 hold leases.
 */
struct PromoteLeased : Promote {
	static constexpr clk_ms LEASE_MS = 1000;
	static constexpr clk_ms LONGEST_MS = 1100;

	void SetUp() override
	{
		pro_use_leases(pro, LEASE_MS, 300);
		Promote::SetUp();
		run(2000);
		grant_leases(6);
	}

	void grant_leases(int nproxies)
	{
		for (int i = 0; i < nproxies; i++)
			pro_on_lease(pro, ("p" + std::to_string(i)).c_str(),
				     state_view_version(state), now);
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
			answer("c", false, 12);
		grant_leases(6);
	}
	EXPECT_NE(recorded.back(), "a");
	ASSERT_EQ(calls.size(), 2u);
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
	/* "b" is replaced by "a", which has not noticed that it was replaced.
	 */
	bool stepped_down = false;
	for (int i = 0; i < 100 && calls.size() < 2; i++) {
		suspect(6, "b");
		run(20);
		if (requests.count("a")) {
			stepped_down |= requests["a"].type == PRO_STEP_DOWN;
			answer("a", !stepped_down, 12, 1);
		}
		if (requests.count("c"))
			answer("c", false, 11, 2);
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
		for (const char *id : {"a", "c"})
			if (requests.count(id))
				answer(id, false, 12);
		grant_leases(6);
	}
	ASSERT_EQ(calls.size(), 1u);
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
