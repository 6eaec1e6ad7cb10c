#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "failover.h"
#include "rng.h"
}

/* Members that replicate, a state that commits after a while, and leaders
 * that grant leases while the group is not changing. */
struct Failover {
	struct Member {
		std::string id;
		bool up = true, cut = false, mute = false; /* no promotions */
		bool frozen = false; /* calls end after their time limit */
		bool alone = false; /* replicates with nobody */
		fo_status st = {};
		int64_t follows = 0;
	};
	struct Call {
		clk_ms at;
		fo_act act;
	};
	struct state *state = state_new();
	struct fo *fo;
	struct rng *rng;
	std::vector<Member> members;
	std::vector<Call> calls;
	std::vector<std::pair<clk_ms, std::string>> commits;
	std::map<int64_t, std::string> primaries; /* promoted, by term */
	clk_ms now = 50000, lease_end = 0, led = 0;
	int64_t acked = 0; /* held by a majority and acknowledged */
	int promotions = 0;
	std::vector<int64_t> tried;

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
	void run(struct buf *b)
	{
		struct blob cmd = {buf_data(b), buf_len(b)};
		const struct state_request *done;

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
		run(&b);
	}
	void lead()
	{
		fo_stop(fo);
		commits.clear();
		led = now;
		fo_lead(fo, now, now);
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
		tried.push_back(term);
		if (term < m.st.fence_term)
			return;
		EXPECT_GE(now, lease_end) << "a lease was valid";
		EXPECT_GE(m.st.held, acked) << "acknowledged writes lost";
		auto it = primaries.emplace(term, m.id).first;
		EXPECT_EQ(it->second, m.id) << "two primaries in a term";
		if (m.mute)
			return;
		m.st.primary = true;
		m.st.fence_term = m.st.log_term = term;
		a.start = m.st.held;
		a.ok = true;
		promotions++;
	}
	void answer(const fo_act &act)
	{
		Member &m = member(act.member);
		fo_answer a = {act.group, act.member, act.call};

		if (m.up && !m.cut && !m.frozen) {
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
	void follow(Member &m, const fo_act &act, fo_answer &a)
	{
		a.ok = act.term >= m.st.fence_term;
		if (!a.ok)
			return;
		m.st.fence_term = m.follows = act.term;
		m.st.primary = false;
	}
	/* Writes at the primary, copied to those that follow it. */
	void replicate()
	{
		Member *p = primary();
		size_t n = 1;

		if (!p || !p->up || p->frozen || !p->st.primary)
			return;
		p->st.held += now < lease_end;
		for (auto &m : members) {
			if (&m == p || !m.up || m.cut || p->cut || p->alone ||
			    m.st.fence_term > p->st.log_term ||
			    m.follows != p->st.log_term ||
			    rng_below(rng, 3) == 0)
				continue;
			m.st.held = p->st.held;
			m.st.log_term = p->st.log_term;
			n++;
		}
		p->st.majority_age_ms = n >= 2 ? 0 : p->st.majority_age_ms + 10;
		if (n >= 2 && now < lease_end &&
		    p->st.log_term == group()->term)
			acked = p->st.held;
	}
	void drain()
	{
		fo_act a;

		while (fo_next(fo, &a)) {
			if (a.type != FO_COMMIT) {
				int delay = member(a.member).frozen ? 400 : 1;

				calls.push_back(
					{now + delay +
						 (clk_ms)rng_below(rng, 20),
					 a});
				continue;
			}
			struct buf b = BUF_INIT;

			state_cmd_group(&b, &a.record);
			commits.push_back({now + 10, std::string(buf_data(&b),
								 buf_len(&b))});
			buf_free(&b);
		}
	}
	void step()
	{
		now += 10;
		while (!commits.empty() && commits[0].first <= now) {
			struct buf b = BUF_INIT;

			buf_add(&b, commits[0].second.data(),
				commits[0].second.size());
			run(&b);
			commits.erase(commits.begin());
		}
		for (size_t i = 0; i < calls.size();)
			if (calls[i].at <= now) {
				fo_act act = calls[i].act;

				calls.erase(calls.begin() + (long)i);
				answer(act);
			} else {
				i++;
			}
		/* An ask that is answered now was sent just before. */
		if (group() && group()->term && !group()->changing)
			lease_end = now + 1000;
		replicate();
		fo_tick(fo, now);
		drain();
	}
	bool until(int ms, const std::function<bool()> &f)
	{
		for (int i = 0; i < ms / 10 && !f(); i++)
			step();
		return f();
	}
	bool settled(int64_t after)
	{
		return group() && group()->term > after && !group()->changing;
	}
	void start()
	{
		lead();
		ASSERT_TRUE(until(3000, [&] { return settled(0); }));
		ASSERT_TRUE(until(2000, [&] { return acked > 10; }));
	}
};

/* Guards against a fresh group waiting for a suspicion, or starting with a
 * member that lacks data. */
TEST(Fo, FreshGroupGetsItsNewestMember)
{
	Failover f;

	f.member("m2").st.log_term = 4;
	f.member("m3").st.log_term = 4;
	f.member("m3").st.held = 7;
	f.member("m1").st.held = 9;
	f.member("m1").st.fence_term = 5;
	f.lead();
	ASSERT_TRUE(f.until(3000, [&] { return f.settled(0); }));
	EXPECT_STREQ("m3", f.group()->primary);
	EXPECT_EQ(6, f.group()->term) << "above every term a member knows";
	EXPECT_TRUE(f.until(1000, [&] {
		return f.member("m1").follows == 6 &&
		       f.member("m2").follows == 6;
	}));
}

/* Guards against a new primary without replicas, because somebody suspects it
 * before it is known to all. */
TEST(Fo, SuspicionDoesNotKeepReplicasFromFollowing)
{
	Failover f;

	f.lead();
	ASSERT_TRUE(f.until(3000, [&] { return f.settled(0); }));
	fo_suspect(f.fo, "orders", 1, f.now);
	EXPECT_TRUE(f.until(300, [&] {
		int n = 0;

		for (auto &m : f.members)
			n += m.follows == 1;
		return n == 2;
	}));
	EXPECT_FALSE(f.until(4000, [&] { return f.group()->changing; }));
}

/* Guards against an interruption longer than the lease asks for, and against
 * one shorter. */
TEST(Fo, KilledPrimaryIsReplacedAfterOneLease)
{
	Failover f;

	f.start();
	std::string old = f.group()->primary;
	f.member(old).up = false;
	fo_suspect(f.fo, "orders", f.group()->term, f.now);
	f.drain();
	clk_ms began = f.now;
	ASSERT_TRUE(f.until(3000, [&] { return f.settled(1); }));
	EXPECT_LE(f.now - began, 1100 + 200);
	EXPECT_NE(old, f.group()->primary);
	f.member(old).up = true;
	f.member(old).st.incarnation++;
	EXPECT_TRUE(f.until(3000, [&] { return f.member(old).follows == 2; }));
}

/* Guards against a primary that answers no call, but refuses none, being
 * probed for ever. */
TEST(Fo, FrozenPrimaryIsReplaced)
{
	Failover f;

	f.start();
	std::string old = f.group()->primary;
	f.member(old).frozen = true;
	fo_suspect(f.fo, "orders", f.group()->term, f.now);
	f.drain();
	clk_ms began = f.now;
	ASSERT_TRUE(f.until(5000, [&] { return f.settled(1); }));
	EXPECT_LE(f.now - began, 400 + 1100 + 200);
	EXPECT_NE(old, f.group()->primary);
}

/* Guards against a primary that reaches no replica being promoted again, as
 * the one with the longest log. */
TEST(Fo, PrimaryWithoutReplicasIsReplacedByOne)
{
	Failover f;

	f.start();
	std::string old = f.group()->primary;
	f.member(old).alone = true;
	ASSERT_TRUE(f.until(
		1000, [&] { return f.member(old).st.majority_age_ms > 500; }));
	fo_suspect(f.fo, "orders", 1, f.now);
	f.drain();
	ASSERT_TRUE(f.until(5000, [&] { return f.settled(1); }));
	EXPECT_NE(old, f.group()->primary);
	/* Also if the leader is lost in the middle. */
	f.member(old).alone = false;
	ASSERT_TRUE(f.until(3000, [&] { return f.member(old).follows == 2; }));
	old = f.group()->primary;
	f.member(old).alone = true;
	ASSERT_TRUE(f.until(
		1000, [&] { return f.member(old).st.majority_age_ms > 500; }));
	fo_suspect(f.fo, "orders", 2, f.now);
	f.drain();
	ASSERT_TRUE(f.until(1000, [&] { return f.group()->changing; }));
	f.lead();
	ASSERT_TRUE(f.until(5000, [&] { return f.settled(2); }));
	EXPECT_NE(old, f.group()->primary);
}

/* Guards against a healthy primary being replaced on a proxy's word, and
 * against a change that a minority decides. */
TEST(Fo, NoChangeWithoutNeedOrMajority)
{
	Failover f;

	f.start();
	fo_suspect(f.fo, "orders", 1, f.now);
	EXPECT_FALSE(f.until(4000, [&] { return f.group()->changing; }));
	for (auto &m : f.members)
		m.cut = m.id != "m2";
	EXPECT_FALSE(f.until(5000, [&] { return f.group()->changing; }));
}

/* Guards against a promotion that got no answer blocking the group, and
 * against one term being given to two members. */
TEST(Fo, FailedPromotionIsRetriedThenGetsAHigherTerm)
{
	Failover f;

	f.start();
	for (auto &m : f.members)
		m.mute = true;
	f.primary()->up = false;
	f.tried.clear();
	ASSERT_TRUE(f.until(6000, [&] { return f.tried.size() >= 5; }));
	EXPECT_EQ(2, f.tried[0]);
	EXPECT_EQ(2, f.tried[2]);
	EXPECT_EQ(3, f.tried[3]);
	for (auto &m : f.members)
		m.mute = false;
	EXPECT_TRUE(f.until(3000, [&] { return f.settled(2); }));
}

/* Guards against a change that its leader left behind. */
TEST(Fo, NewLeaderEndsAnUnfinishedChangeWithAHigherTerm)
{
	Failover f;

	f.start();
	f.primary()->up = false;
	ASSERT_TRUE(f.until(3000, [&] { return f.group()->changing; }));
	int64_t term = f.group()->next_term;
	f.lead();
	clk_ms led = f.now;
	ASSERT_TRUE(f.until(5000, [&] { return f.settled(1); }));
	EXPECT_GT(f.group()->term, term);
	EXPECT_GE(f.now, led + 1100);
}

/* Guards against losing writes when a primary leaves as planned. */
TEST(Fo, LeavingPrimaryHandsOverToACaughtUpReplica)
{
	Failover f;

	f.start();
	std::string old = f.group()->primary;
	f.announce(f.member(old), true);
	ASSERT_TRUE(f.until(5000, [&] { return f.settled(1); }));
	EXPECT_NE(old, f.group()->primary);
	EXPECT_GE(f.primary()->st.held, f.acked);
}

/* Guards against a leaving primary that waits forever for replicas that were
 * restarted and wait to be told whom to follow. */
TEST(Fo, LeavingPrimaryWaitsForReplicasThatReturn)
{
	Failover f;

	f.start();
	std::string old = f.group()->primary;
	for (auto &m : f.members)
		m.up = m.id == old;
	f.announce(f.member(old), true);
	EXPECT_FALSE(f.until(3000, [&] { return f.settled(1); }));
	for (auto &m : f.members)
		if (m.id != old) {
			m.up = true;
			m.follows = 0;
			m.st.incarnation++;
		}
	EXPECT_TRUE(f.until(5000, [&] { return f.settled(1); }));
	EXPECT_NE(old, f.group()->primary);
	EXPECT_GE(f.primary()->st.held, f.member(old).st.held)
		<< "writes that only the primary held were left behind";
}

/* Guards against promoting a member for the log that it reported before it
 * was rebuilt. */
TEST(Fo, MemberRebuiltAfterItsFenceIsNotChosen)
{
	Failover f;

	f.start();
	std::string old = f.group()->primary;
	f.member(old).up = false;
	for (auto &m : f.members) {
		m.st.held = f.member(old).st.held;
		m.st.log_term = 1;
	}
	f.acked = f.member(old).st.held;
	ASSERT_TRUE(f.until(3000, [&] { return f.group()->changing; }));
	f.until(500, [] { return false; });
	std::string first = old == "m1" ? "m2" : "m1";
	f.member(first).st.held = f.member(first).st.log_term = 0;
	f.member(first).st.incarnation++;
	ASSERT_TRUE(f.until(3000, [&] { return f.settled(1); }));
	EXPECT_NE(first, f.group()->primary);
}

class FoSeeds : public testing::TestWithParam<int>
{
};

/* Guards against acknowledged writes being lost, a promotion under a valid
 * lease, and two primaries of one term, whatever fails in which order. */
TEST_P(FoSeeds, PromotionsAreSafe)
{
	Failover f((uint64_t)GetParam());

	f.start();
	for (int i = 0; i < 30000 && !HasFailure(); i++) {
		auto &m = f.members[rng_below(f.rng, 3)];

		if (rng_below(f.rng, 150) == 0)
			m.cut = !m.cut;
		if (rng_below(f.rng, 200) == 0) {
			m.up = !m.up;
			m.st.incarnation++;
		}
		if (rng_below(f.rng, 300) == 0)
			m.mute = !m.mute;
		if (rng_below(f.rng, 1000) == 0)
			f.lead();
		if (rng_below(f.rng, 50) == 0)
			fo_suspect(f.fo, "orders", f.group()->term, f.now);
		f.step();
	}
	for (auto &m : f.members) {
		m.up = true;
		m.cut = m.mute = false;
	}
	EXPECT_TRUE(f.until(10000, [&] {
		return f.settled(0) && f.primary()->st.primary;
	}));
	EXPECT_GT(f.promotions, 2);
}

static int fo_seeds()
{
	const char *n = getenv("SEEDS");

	return n ? atoi(n) : 20;
}

INSTANTIATE_TEST_SUITE_P(Seeds, FoSeeds, testing::Range(1, 1 + fo_seeds()));
