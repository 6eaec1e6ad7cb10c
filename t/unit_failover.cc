#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "failover.h"
#include "rng.h"
#include "token.h"
}

/* Simulates a group of three members that replicate, a replicated control state
 * that applies each commit after 10 ms, and control leaders that grant leases
 * while the primary of the group is not being changed. */
struct Failover {
	struct Member {
		std::string id;
		bool up = true, disconnected = false, rejects_promotion = false;
		bool unresponsive = false; /* calls to it time out */
		/* as primary, it reaches no replica */
		bool replication_cut = false;
		fo_status st = {};
		int64_t followed_term = 0; /* term of its primary */
	};
	struct Call {
		clk_ms answered_at;
		fo_action act;
	};
	struct state *state = state_new();
	struct fo *fo;
	struct rng *rng;
	std::vector<Member> members;
	std::vector<Call> pending_calls;
	std::vector<std::pair<clk_ms, std::string>> pending_commits;
	std::map<int64_t, std::string> primary_by_term;
	clk_ms now = 50000, lease_end = 0, elected_at = 0;
	/* last position that a majority held and that was acknowledged */
	int64_t acked_pos = 0;
	int promotions = 0;
	std::vector<int64_t> promotion_terms;

	Failover(uint64_t seed = 1) : rng(rng_new(seed))
	{
		struct fo_config cfg = {1000, 500};

		fo = fo_new(&cfg, state);
		for (auto *id : {"m1", "m2", "m3"}) {
			Member m;

			m.id = id;
			m.st.incarnation = 1;
			members.push_back(m);
			announce(m, false);
		}
	}
	~Failover()
	{
		fo_free(fo);
		state_free(state);
		rng_free(rng);
	}
	void apply_command(struct buf *b)
	{
		struct blob cmd = {buf_data(b), buf_len(b)};
		const struct state_request_result *done;

		state_apply(state, &cmd, &done, nullptr);
		buf_free(b);
	}
	void announce(const Member &m, bool leaving)
	{
		struct backend_info x = {};
		struct buf b = BUF_INIT;

		strcpy(x.id, m.id.c_str());
		strcpy(x.group, "orders");
		strcpy(x.addr, ("10.0.0.1:" + m.id).c_str());
		x.leaving = leaving;
		state_cmd_backend(&b, &x);
		apply_command(&b);
	}
	void start_leader()
	{
		fo_stop_leading(fo);
		pending_commits.clear();
		elected_at = now;
		fo_start_leading(fo, now, now);
	}
	Member &member(const std::string &id)
	{
		for (auto &m : members)
			if (m.id == id)
				return m;
		abort();
	}
	const struct group_info *group()
	{
		return state_group(state, "orders");
	}
	Member *primary()
	{
		return group() && group()->primary[0]
			       ? &member(group()->primary)
			       : nullptr;
	}
	void promote(Member &m, int64_t term, fo_answer &a)
	{
		promotion_terms.push_back(term);
		if (term < m.st.fence_term)
			return;
		EXPECT_GE(now, lease_end) << "a lease was valid";
		EXPECT_GE(m.st.received_pos, acked_pos)
			<< "acknowledged writes lost";
		auto it = primary_by_term.emplace(term, m.id).first;
		EXPECT_EQ(it->second, m.id) << "two primaries in a term";
		if (m.rejects_promotion)
			return;
		m.st.primary = true;
		m.st.fence_term = m.st.log_term = term;
		a.term_start_pos = m.st.received_pos;
		a.ok = true;
		promotions++;
	}
	void answer(const fo_action &act)
	{
		Member &m = member(act.member);
		fo_answer a = {act.group, act.member, act.call_id};

		if (m.up && !m.disconnected && !m.unresponsive) {
			a.ok = act.type != FO_PROMOTE;
			if (act.type == FO_FENCE &&
			    act.term > m.st.fence_term) {
				m.st.fence_term = act.term;
				m.st.primary = false;
			}
			if (act.type == FO_PROMOTE)
				promote(m, act.term, a);
			if (act.type == FO_FOLLOW)
				follow(m, act, a);
			a.status = m.st;
		}
		fo_on_answer(fo, &a, now);
	}
	void follow(Member &m, const fo_action &act, fo_answer &a)
	{
		a.ok = act.term >= m.st.fence_term;
		if (!a.ok)
			return;
		m.st.fence_term = m.followed_term = act.term;
		m.st.primary = false;
	}
	/* Writes on the primary while its lease is valid, and copies the log to
	 * the members that follow it. */
	void replicate()
	{
		Member *p = primary();
		size_t n = 1;

		if (!p || !p->up || p->unresponsive || !p->st.primary)
			return;
		p->st.received_pos += now < lease_end;
		for (auto &m : members) {
			if (&m == p || !m.up || m.disconnected ||
			    p->disconnected || p->replication_cut ||
			    m.st.fence_term > p->st.log_term ||
			    m.followed_term != p->st.log_term ||
			    rng_uniform_int(rng, 3) == 0)
				continue;
			m.st.received_pos = p->st.received_pos;
			m.st.log_term = p->st.log_term;
			n++;
		}
		p->st.majority_age_ms = n >= 2 ? 0 : p->st.majority_age_ms + 10;
		if (n >= 2 && now < lease_end &&
		    p->st.log_term == group()->term)
			acked_pos = p->st.received_pos;
	}
	void execute_actions()
	{
		fo_action a;

		while (fo_next_action(fo, &a)) {
			if (a.type != FO_COMMIT) {
				int delay =
					member(a.member).unresponsive ? 400 : 1;

				pending_calls.push_back(
					{now + delay +
						 (clk_ms)rng_uniform_int(rng,
									 20),
					 a});
				continue;
			}
			struct buf b = BUF_INIT;

			state_cmd_group(&b, &a.record);
			pending_commits.push_back(
				{now + 10,
				 std::string(buf_data(&b), buf_len(&b))});
			buf_free(&b);
		}
	}
	void step()
	{
		now += 10;
		while (!pending_commits.empty() &&
		       pending_commits[0].first <= now) {
			struct buf b = BUF_INIT;

			buf_add(&b, pending_commits[0].second.data(),
				pending_commits[0].second.size());
			apply_command(&b);
			pending_commits.erase(pending_commits.begin());
		}
		for (size_t i = 0; i < pending_calls.size();)
			if (pending_calls[i].answered_at <= now) {
				fo_action act = pending_calls[i].act;

				pending_calls.erase(pending_calls.begin() +
						    (long)i);
				answer(act);
			} else {
				i++;
			}
		/* A lease counts from the time of the ask. The ask that is
		 * answered now was sent just before. */
		if (group() && group()->term && !group()->changing_primary)
			lease_end = now + 1000;
		replicate();
		fo_tick(fo, now);
		execute_actions();
	}
	bool step_until(int ms, const std::function<bool()> &f)
	{
		for (int i = 0; i < ms / 10 && !f(); i++)
			step();
		return f();
	}
	bool primary_settled(int64_t after)
	{
		return group() && group()->term > after &&
		       !group()->changing_primary;
	}
	void start()
	{
		start_leader();
		ASSERT_TRUE(
			step_until(3000, [&] { return primary_settled(0); }));
		ASSERT_TRUE(step_until(2000, [&] { return acked_pos > 10; }));
	}
};

/* Guards against a new group that gets no primary until a proxy suspects one,
 * and against choosing a first primary that lacks data. */
TEST(Fo, FreshGroupGetsItsNewestMember)
{
	Failover f;

	f.member("m2").st.log_term = 4;
	f.member("m3").st.log_term = 4;
	f.member("m3").st.received_pos = 7;
	f.member("m1").st.received_pos = 9;
	f.member("m1").st.fence_term = 5;
	f.start_leader();
	ASSERT_TRUE(f.step_until(3000, [&] { return f.primary_settled(0); }));
	EXPECT_STREQ("m3", f.group()->primary);
	EXPECT_EQ(6, f.group()->term) << "above every term a member knows";
	EXPECT_TRUE(f.step_until(1000, [&] {
		return f.member("m1").followed_term == 6 &&
		       f.member("m2").followed_term == 6;
	}));
}

/* Guards against a new primary that stays without replicas because a proxy
 * suspects it before all members were told to follow it. */
TEST(Fo, SuspicionDoesNotKeepReplicasFromFollowing)
{
	Failover f;

	f.start_leader();
	ASSERT_TRUE(f.step_until(3000, [&] { return f.primary_settled(0); }));
	fo_on_suspicion(f.fo, "orders", 1, f.now);
	EXPECT_TRUE(f.step_until(300, [&] {
		int n = 0;

		for (auto &m : f.members)
			n += m.followed_term == 1;
		return n == 2;
	}));
	EXPECT_FALSE(f.step_until(4000,
				  [&] { return f.group()->changing_primary; }));
}

/* Guards against an interruption longer than the lease requires, and against a
 * promotion before the lease has expired. */
TEST(Fo, KilledPrimaryIsReplacedAfterOneLease)
{
	Failover f;

	f.start();
	std::string old = f.group()->primary;
	f.member(old).up = false;
	fo_on_suspicion(f.fo, "orders", f.group()->term, f.now);
	f.execute_actions();
	clk_ms began = f.now;
	ASSERT_TRUE(f.step_until(3000, [&] { return f.primary_settled(1); }));
	EXPECT_LE(f.now - began, 1100 + 200);
	EXPECT_NE(old, f.group()->primary);
	f.member(old).up = true;
	f.member(old).st.incarnation++;
	EXPECT_TRUE(f.step_until(
		3000, [&] { return f.member(old).followed_term == 2; }));
}

/* Guards against endless probing of a primary that accepts calls but answers
 * none of them, so that each call ends by its timeout. */
TEST(Fo, FrozenPrimaryIsReplaced)
{
	Failover f;

	f.start();
	std::string old = f.group()->primary;
	f.member(old).unresponsive = true;
	fo_on_suspicion(f.fo, "orders", f.group()->term, f.now);
	f.execute_actions();
	clk_ms began = f.now;
	ASSERT_TRUE(f.step_until(5000, [&] { return f.primary_settled(1); }));
	EXPECT_LE(f.now - began, 400 + 1100 + 200);
	EXPECT_NE(old, f.group()->primary);
}

/* Guards against promoting a primary again that reaches no replica, because it
 * has the longest log. */
TEST(Fo, PrimaryWithoutReplicasIsReplacedByOne)
{
	Failover f;

	f.start();
	std::string old = f.group()->primary;
	f.member(old).replication_cut = true;
	ASSERT_TRUE(f.step_until(
		1000, [&] { return f.member(old).st.majority_age_ms > 500; }));
	fo_on_suspicion(f.fo, "orders", 1, f.now);
	f.execute_actions();
	ASSERT_TRUE(f.step_until(5000, [&] { return f.primary_settled(1); }));
	EXPECT_NE(old, f.group()->primary);
	/* The same must hold if the control leader fails during the change. */
	f.member(old).replication_cut = false;
	ASSERT_TRUE(f.step_until(
		3000, [&] { return f.member(old).followed_term == 2; }));
	old = f.group()->primary;
	f.member(old).replication_cut = true;
	ASSERT_TRUE(f.step_until(
		1000, [&] { return f.member(old).st.majority_age_ms > 500; }));
	fo_on_suspicion(f.fo, "orders", 2, f.now);
	f.execute_actions();
	ASSERT_TRUE(f.step_until(1000,
				 [&] { return f.group()->changing_primary; }));
	f.start_leader();
	ASSERT_TRUE(f.step_until(5000, [&] { return f.primary_settled(2); }));
	EXPECT_NE(old, f.group()->primary);
}

/* Guards against replacing a healthy primary only because a proxy suspects it,
 * and against changing the primary without a majority of the members. */
TEST(Fo, NoChangeWithoutNeedOrMajority)
{
	Failover f;

	f.start();
	fo_on_suspicion(f.fo, "orders", 1, f.now);
	EXPECT_FALSE(f.step_until(4000,
				  [&] { return f.group()->changing_primary; }));
	for (auto &m : f.members)
		m.disconnected = m.id != "m2";
	EXPECT_FALSE(f.step_until(5000,
				  [&] { return f.group()->changing_primary; }));
}

/* Guards against a group that is blocked by a promotion without a successful
 * answer, and against promoting two members in the same term. */
TEST(Fo, FailedPromotionIsRetriedThenGetsAHigherTerm)
{
	Failover f;

	f.start();
	for (auto &m : f.members)
		m.rejects_promotion = true;
	f.primary()->up = false;
	f.promotion_terms.clear();
	ASSERT_TRUE(f.step_until(
		6000, [&] { return f.promotion_terms.size() >= 5; }));
	EXPECT_EQ(2, f.promotion_terms[0]);
	EXPECT_EQ(2, f.promotion_terms[2]);
	EXPECT_EQ(3, f.promotion_terms[3]);
	for (auto &m : f.members)
		m.rejects_promotion = false;
	EXPECT_TRUE(f.step_until(3000, [&] { return f.primary_settled(2); }));
}

/* Guards against a change of primary that stays unfinished because the control
 * leader failed during it. */
TEST(Fo, NewLeaderEndsAnUnfinishedChangeWithAHigherTerm)
{
	Failover f;

	f.start();
	f.primary()->up = false;
	ASSERT_TRUE(f.step_until(3000,
				 [&] { return f.group()->changing_primary; }));
	int64_t term = f.group()->change_term;
	f.start_leader();
	clk_ms elected_at = f.now;
	ASSERT_TRUE(f.step_until(5000, [&] { return f.primary_settled(1); }));
	EXPECT_GT(f.group()->term, term);
	EXPECT_GE(f.now, elected_at + 1100);
}

/* Guards against losing writes when a primary leaves the group as planned. */
TEST(Fo, LeavingPrimaryHandsOverToACaughtUpReplica)
{
	Failover f;

	f.start();
	std::string old = f.group()->primary;
	f.announce(f.member(old), true);
	ASSERT_TRUE(f.step_until(5000, [&] { return f.primary_settled(1); }));
	EXPECT_NE(old, f.group()->primary);
	EXPECT_GE(f.primary()->st.received_pos, f.acked_pos);
}

/* Guards against a deadlock: a leaving primary waits for its replicas to catch
 * up, while the replicas were restarted and wait to be told which primary to
 * follow. */
TEST(Fo, LeavingPrimaryWaitsForReplicasThatReturn)
{
	Failover f;

	f.start();
	std::string old = f.group()->primary;
	for (auto &m : f.members)
		m.up = m.id == old;
	f.announce(f.member(old), true);
	EXPECT_FALSE(f.step_until(3000, [&] { return f.primary_settled(1); }));
	for (auto &m : f.members)
		if (m.id != old) {
			m.up = true;
			m.followed_term = 0;
			m.st.incarnation++;
		}
	EXPECT_TRUE(f.step_until(5000, [&] { return f.primary_settled(1); }));
	EXPECT_NE(old, f.group()->primary);
	EXPECT_GE(f.primary()->st.received_pos, f.member(old).st.received_pos)
		<< "writes that only the primary held were left behind";
}

/* Guards against promoting a member because of the log position that it
 * reported when it was fenced, if it was rebuilt without data since then. */
TEST(Fo, MemberRebuiltAfterItsFenceIsNotChosen)
{
	Failover f;

	f.start();
	std::string old = f.group()->primary;
	f.member(old).up = false;
	for (auto &m : f.members) {
		m.st.received_pos = f.member(old).st.received_pos;
		m.st.log_term = 1;
	}
	f.acked_pos = f.member(old).st.received_pos;
	ASSERT_TRUE(f.step_until(3000,
				 [&] { return f.group()->changing_primary; }));
	f.step_until(500, [] { return false; });
	std::string first = old == "m1" ? "m2" : "m1";
	f.member(first).st.received_pos = f.member(first).st.log_term = 0;
	f.member(first).st.incarnation++;
	ASSERT_TRUE(f.step_until(3000, [&] { return f.primary_settled(1); }));
	EXPECT_NE(first, f.group()->primary);
}

/* Guards against a session that silently misses its own write, because a log
 * without it, whose end a change of primary has discarded, leads again. */
TEST(Fo, TokenIsLostWhenADiscardedLogLeads)
{
	Failover f;
	auto &m1 = f.member("m1"), &m2 = f.member("m2"), &m3 = f.member("m3");
	auto contained = [&](int64_t term, int64_t position) {
		return tok_contained(f.group()->term_starts,
				     f.group()->nterm_starts, term, position,
				     f.group()->term);
	};

	f.start();
	ASSERT_EQ(&m1, f.primary());
	ASSERT_TRUE(f.step_until(2000, [&] {
		return m2.st.received_pos == m1.st.received_pos &&
		       m3.st.received_pos == m1.st.received_pos;
	}));
	/* m1 goes on alone; m2 leads, and no replica gets its writes. */
	int64_t start = m2.st.received_pos;
	m1.disconnected = m2.replication_cut = true;
	ASSERT_TRUE(f.step_until(5000, [&] { return f.primary_settled(1); }));
	ASSERT_EQ(&m2, f.primary());
	int64_t term = f.group()->term;
	ASSERT_TRUE(f.step_until(
		300, [&] { return m2.st.received_pos >= start + 6; }));
	int64_t own = m2.st.received_pos;
	ASSERT_LT(own, m1.st.received_pos);
	m2.up = m1.disconnected = false;
	ASSERT_TRUE(
		f.step_until(5000, [&] { return f.primary_settled(term); }));
	EXPECT_FALSE(contained(term, own))
		<< f.group()->primary << " leads term " << f.group()->term
		<< " and lacks write " << term << "." << own;
	EXPECT_TRUE(contained(term, start)) << "all members held this position";
}

class FoSeeds : public testing::TestWithParam<int>
{
};

/* Guards against the loss of acknowledged writes, a promotion while a lease is
 * valid, and two primaries in one term, under random failures in random
 * order. */
TEST_P(FoSeeds, PromotionsAreSafe)
{
	Failover f((uint64_t)GetParam());

	f.start();
	for (int i = 0; i < 30000 && !HasFailure(); i++) {
		auto &m = f.members[rng_uniform_int(f.rng, 3)];

		if (rng_uniform_int(f.rng, 150) == 0)
			m.disconnected = !m.disconnected;
		if (rng_uniform_int(f.rng, 200) == 0) {
			m.up = !m.up;
			m.st.incarnation++;
		}
		if (rng_uniform_int(f.rng, 300) == 0)
			m.rejects_promotion = !m.rejects_promotion;
		if (rng_uniform_int(f.rng, 1000) == 0)
			f.start_leader();
		if (rng_uniform_int(f.rng, 50) == 0)
			fo_on_suspicion(f.fo, "orders", f.group()->term, f.now);
		f.step();
	}
	for (auto &m : f.members) {
		m.up = true;
		m.disconnected = m.rejects_promotion = false;
	}
	EXPECT_TRUE(f.step_until(10000, [&] {
		return f.primary_settled(0) && f.primary()->st.primary;
	}));
	EXPECT_GT(f.promotions, 2);
}

static int fo_seeds()
{
	const char *n = getenv("SEEDS");

	return n ? atoi(n) : 20;
}

INSTANTIATE_TEST_SUITE_P(Seeds, FoSeeds, testing::Range(1, 1 + fo_seeds()));
