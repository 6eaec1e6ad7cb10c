#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "raft.h"
}

/* Runs a few instances that exchange messages through a queue, which loses and
 * reorders them as a random generator with a given seed decides. Checks each
 * action of the instances. */
struct Cluster {
	struct Node {
		std::string id;
		int64_t uuid = 0;
		struct raft *r = nullptr;
		clk_ms down_until = 0;
		/* On its disk: term to log. */
		int64_t term = 0;
		std::string vote, snap;
		int64_t snap_index = 0, snap_term = 0;
		std::map<int64_t, std::pair<raft_entry, std::string>> log;
		int64_t applied = 0;
		uint64_t state = 0; /* hash of all applied entries */
	};
	struct Packet {
		clk_ms at;
		int from, to;
		std::string bytes;
	};
	std::vector<Node> nodes;
	std::vector<Packet> queue;
	std::map<std::pair<int, int>, clk_ms> cut_until; /* (from, to) */
	std::map<int64_t, std::string> leaders; /* ids by term */
	std::map<int64_t, uint64_t> history; /* state by log index */
	struct rng *rng;
	clk_ms now = 10000;
	double loss = 0;
	int64_t next_uuid = 1;
	int authorities = 0;

	Cluster(int n, uint64_t seed) : nodes(n), rng(rng_new(seed))
	{
		struct raft_members m = {};

		for (int i = 0; i < n; i++) {
			nodes[i].id = "c" + std::to_string(i);
			nodes[i].uuid = next_uuid++;
			snprintf(m.list[i].id, ID_LEN, "c%d", i);
			m.list[i].uuid = nodes[i].uuid;
			m.n++;
			start(i);
		}
		exchange_identities();
		raft_bootstrap(nodes[0].r, &m, now);
		handle_actions(0);
	}
	~Cluster()
	{
		for (auto &n : nodes)
			raft_free(n.r);
		rng_free(rng);
	}
	void start(int i)
	{
		Node &n = nodes[i];
		struct raft_config c = {};

		snprintf(c.id, ID_LEN, "%s", n.id.c_str());
		c.uuid = n.uuid;
		c.election_min_ms = 500;
		c.refuse_votes_after_start = true;
		c.heartbeat_ms = 100;
		c.rng = rng;
		raft_free(n.r);
		n.r = raft_new(&c, now);
		n.applied = 0;
		n.state = 0;
		raft_load_hard_state(n.r, n.term, n.vote.c_str());
		if (!n.snap.empty()) {
			struct blob b = {n.snap.data(), n.snap.size()};
			ASSERT_EQ(RES_OK,
				  raft_load_snapshot(n.r, n.snap_index,
						     n.snap_term, &b, nullptr));
		}
		for (auto &x : n.log) {
			raft_entry e = x.second.first;
			e.data = {x.second.second.data(),
				  x.second.second.size()};
			raft_load_entry(n.r, &e);
		}
		handle_actions(i);
	}
	void exchange_identities()
	{
		for (auto &a : nodes)
			for (auto &b : nodes)
				raft_register_peer(a.r, b.id.c_str(), b.uuid,
						   now);
	}
	void send(int from, const raft_action &a)
	{
		struct buf b = BUF_INIT;

		msg_encode(&a.msg, &b);
		if (rng_uniform_unit(rng) >= loss)
			queue.push_back(
				{now + 1 +
					 (clk_ms)rng_uniform_int(
						 rng, loss > 0 ? 60 : 3),
				 from, atoi(a.to + 1),
				 std::string(buf_data(&b), buf_len(&b))});
		buf_free(&b);
	}
	void check_applied(Node &n, int64_t index, uint64_t state)
	{
		n.applied = index;
		n.state = state;
		auto it = history.emplace(index, state).first;
		ASSERT_EQ(it->second, state) << "entry changed " << index;
	}
	void handle_action(int i, const raft_action &a)
	{
		Node &n = nodes[i];

		switch (a.type) {
		case RAFT_ACTION_SAVE_HARD_STATE:
			n.term = a.term;
			n.vote = a.to;
			break;
		case RAFT_ACTION_STORE_ENTRY:
			n.log.erase(n.log.lower_bound(a.index), n.log.end());
			n.log[a.index] = {*a.entry,
					  std::string(a.entry->data.data,
						      a.entry->data.len)};
			break;
		case RAFT_ACTION_SAVE_SNAPSHOT:
			n.snap.assign(a.data.data, a.data.len);
			n.snap_index = a.index;
			n.snap_term = a.term;
			n.log.erase(n.log.begin(),
				    a.discard_later_entries
					    ? n.log.end()
					    : n.log.upper_bound(a.index));
			break;
		case RAFT_ACTION_SEND:
			send(i, a);
			break;
		case RAFT_ACTION_APPLY:
			ASSERT_EQ(n.applied + 1, a.index);
			check_applied(
				n, a.index,
				n.state * 31 +
					std::hash<std::string>()(std::string(
						a.entry->data.data,
						a.entry->data.len)) +
					(uint64_t)a.entry->term);
			break;
		case RAFT_ACTION_RESTORE_STATE:
			check_applied(n, a.index,
				      std::stoull(std::string(a.data.data,
							      a.data.len)));
			break;
		case RAFT_ACTION_ROLE_CHANGED:
			if (raft_role(n.r) != RAFT_LEADER)
				break;
			ASSERT_EQ(leaders.emplace(raft_term(n.r), n.id)
					  .first->second,
				  n.id)
				<< "two leaders in term " << raft_term(n.r);
			break;
		}
	}
	void handle_actions(int i)
	{
		struct raft_action a;

		while (raft_next_action(nodes[i].r, &a))
			handle_action(i, a);
	}
	void step()
	{
		std::vector<Packet> due;

		now += 5;
		for (size_t i = 0; i < queue.size();)
			if (queue[i].at <= now) {
				due.push_back(queue[i]);
				queue.erase(queue.begin() + (long)i);
			} else {
				i++;
			}
		for (auto &p : due) {
			struct msg m;

			if (nodes[p.to].down_until > now ||
			    cut_until[{p.from, p.to}] > now ||
			    msg_decode(&m, p.bytes.data(), p.bytes.size(),
				       nullptr))
				continue;
			raft_receive(nodes[p.to].r, nodes[p.from].id.c_str(),
				     &m, now);
			handle_actions(p.to);
			msg_free(&m);
		}
		int n = 0;
		for (size_t i = 0; i < nodes.size(); i++) {
			if (nodes[i].down_until > now)
				continue;
			raft_tick(nodes[i].r, now);
			handle_actions((int)i);
			n += raft_has_leader_lease(nodes[i].r, now);
		}
		ASSERT_LE(n, 1) << "two leaders with authority";
		authorities += n;
	}
	int leader()
	{
		for (size_t i = 0; i < nodes.size(); i++)
			if (nodes[i].down_until <= now &&
			    raft_has_leader_lease(nodes[i].r, now))
				return (int)i;
		return -1;
	}
	bool wait_for_leader(clk_ms limit)
	{
		clk_ms end = now + limit;

		do
			step();
		while (leader() < 0 && now < end);
		return leader() >= 0;
	}
	bool all_voters(int at)
	{
		if (at < 0)
			return false;
		const raft_members *m = raft_voters(nodes[at].r);
		size_t n = 0;

		for (int i = 0; i < m->n; i++)
			for (auto &x : nodes)
				n += x.id == m->list[i].id &&
				     x.uuid == m->list[i].uuid;
		return n == nodes.size() &&
		       raft_commit_index(nodes[at].r) ==
			       raft_last_index(nodes[at].r);
	}
	void restart(int i, bool lose_disk)
	{
		Node &n = nodes[i];

		if (lose_disk) {
			n.uuid = next_uuid++;
			n.term = n.snap_index = n.snap_term = 0;
			n.vote.clear();
			n.snap.clear();
			n.log.clear();
		}
		start(i);
		n.down_until = now + (clk_ms)rng_uniform_int(rng, 2000);
		exchange_identities();
	}
	void propose(const std::string &text)
	{
		int at = leader();

		if (at < 0)
			return;
		raft_propose(nodes[at].r, text.data(), text.size());
		raft_send_proposals(nodes[at].r, now);
		handle_actions(at);
	}
	void compact(int i)
	{
		std::string s = std::to_string(nodes[i].state);

		raft_compact(nodes[i].r, s.data(), s.size());
		handle_actions(i);
	}
};

class RaftSeeds : public testing::TestWithParam<int>
{
};

/* Guards against two leaders in one term, two leaders with authority at the
 * same time, and committed entries that change. Messages are lost and
 * reordered, and instances restart, some with an empty disk. */
TEST_P(RaftSeeds, CommittedEntriesNeverChange)
{
	Cluster c(GetParam() % 2 ? 3 : 5, (uint64_t)GetParam());

	c.loss = 0.15;
	for (int i = 0; i < 8000 && !HasFailure(); i++) {
		int n = (int)rng_uniform_int(c.rng, c.nodes.size());

		c.step();
		/* Nothing is proposed in every other period of 500 steps, so
		 * that a follower that misses heartbeats has a log that is
		 * recent enough to win an election. */
		if (i % 10 == 0 && i / 500 % 2 == 0)
			c.propose("entry " + std::to_string(i));
		if (rng_uniform_int(c.rng, 400) == 0)
			c.restart(n, false);
		if (rng_uniform_int(c.rng, 300) == 0)
			c.compact(n);
		if (rng_uniform_int(c.rng, 80) == 0)
			c.cut_until[{n, (int)rng_uniform_int(c.rng,
							     c.nodes.size())}] =
				c.now + (clk_ms)rng_uniform_int(c.rng, 2500);
		if (c.leader() >= 0 && c.all_voters(c.leader()) &&
		    rng_uniform_int(c.rng, 300) == 0)
			c.restart(n, true);
	}
	c.loss = 0;
	c.cut_until.clear();
	ASSERT_TRUE(c.wait_for_leader(10000)) << "seed " << GetParam();
	for (int i = 0; i < 2000 && !c.all_voters(c.leader()); i++)
		c.step();
	ASSERT_TRUE(c.all_voters(c.leader()));
	c.restart((c.leader() + 1) % 3, true);
	for (int i = 0; i < 2000 && !c.all_voters(c.leader()); i++)
		c.step();
	EXPECT_TRUE(c.all_voters(c.leader())) << "lost disk not replaced";
	for (int i = 0; i < 50; i++) {
		c.propose("last " + std::to_string(i));
		c.step();
	}
	for (int i = 0; i < 1000; i++)
		c.step();
	for (auto &n : c.nodes)
		EXPECT_EQ(c.history.rbegin()->first, n.applied) << n.id;
	EXPECT_GT(c.history.size(), 50u);
}

static int seed_count()
{
	const char *n = getenv("SEEDS");

	return n ? atoi(n) : 12;
}

INSTANTIATE_TEST_SUITE_P(Seeds, RaftSeeds, testing::Range(1, 1 + seed_count()));

/* Guards against an instance that lost its disk and is still counted as the
 * voter that it was before. */
TEST(Raft, StaleVoterIdentityNeverCounts)
{
	Cluster c(3, 7);
	struct msg m = {};

	ASSERT_TRUE(c.wait_for_leader(3000));
	int lead = c.leader();
	int other = (lead + 1) % 3, third = (lead + 2) % 3;
	c.nodes[other].down_until = c.nodes[third].down_until = INT64_MAX;
	c.propose("x");
	int64_t last = raft_last_index(c.nodes[lead].r);
	m.type = MSG_APPENDED;
	m.u.appended.term = raft_term(c.nodes[lead].r);
	m.u.appended.uuid = 999;
	m.u.appended.entries_matched = true;
	m.u.appended.match_index_or_hint = last;
	raft_receive(c.nodes[lead].r, c.nodes[other].id.c_str(), &m, c.now);
	EXPECT_LT(raft_commit_index(c.nodes[lead].r), last);
	raft_register_peer(c.nodes[lead].r, c.nodes[other].id.c_str(), 999,
			   c.now);
	raft_receive(c.nodes[lead].r, c.nodes[other].id.c_str(), &m, c.now);
	EXPECT_LT(raft_commit_index(c.nodes[lead].r), last);
	c.handle_actions(lead);
	for (int i = 0; i < 120; i++)
		c.step();
	EXPECT_EQ(-1, c.leader()) << "authority without a majority";
}

/* Guards against an election timeout after a planned stop of the leader. */
TEST(Raft, HandsOverWithinOneRound)
{
	Cluster c(3, 11);

	ASSERT_TRUE(c.wait_for_leader(3000));
	int lead = c.leader();
	for (int i = 0; i < 40; i++)
		c.step();
	raft_transfer_leadership(c.nodes[lead].r, c.now);
	c.handle_actions(lead);
	EXPECT_TRUE(c.wait_for_leader(300));
	EXPECT_NE(lead, c.leader());
}

/* One instance of three; the test plays the other two. */
struct Single : testing::Test {
	struct rng *rng = rng_new(1);
	struct raft *r = nullptr;
	clk_ms now = 10000;
	struct msg_voted voted = {};

	void SetUp() override
	{
		const char members[] = "c0 1\nc1 2\nc2 3\n";
		struct raft_entry e = {1, 1, RAFT_MEMBERS, {members, 15}};
		struct raft_config c = {"c0", 1, 500, 100, rng, true};

		r = raft_new(&c, now);
		raft_load_hard_state(r, 2, "");
		raft_load_entry(r, &e);
		e = {2, 2, RAFT_COMMAND, {"x", 1}};
		raft_load_entry(r, &e);
		raft_register_peer(r, "c1", 2, now);
		raft_register_peer(r, "c2", 3, now);
	}
	void TearDown() override
	{
		raft_free(r);
		rng_free(rng);
	}
	void handle_actions()
	{
		struct raft_action a;

		while (raft_next_action(r, &a))
			if (a.type == RAFT_ACTION_SEND &&
			    a.msg.type == MSG_VOTED)
				voted = a.msg.u.voted;
	}
	void receive(const char *from, const struct msg &m)
	{
		raft_receive(r, from, &m, now);
		handle_actions();
	}
	bool request_vote(const char *from, int64_t uuid, bool pre)
	{
		struct msg m = {};

		voted = {};
		m.type = MSG_VOTE;
		m.u.vote = {raft_term(r) + 1, uuid, pre, 9, 9};
		receive(from, m);
		return voted.granted;
	}
	void send_heartbeat(const char *from, int64_t uuid)
	{
		struct msg m = {};

		m.type = MSG_APPEND;
		m.u.append.term = raft_term(r);
		m.u.append.uuid = uuid;
		receive(from, m);
	}
	void answer(int64_t match, bool ok)
	{
		struct msg m = {};

		m.type = MSG_APPENDED;
		m.u.appended = {raft_term(r), 2, 1, ok, match};
		receive("c1", m);
	}
	void elect()
	{
		struct msg m = {};

		now += 1100;
		raft_tick(r, now);
		m.type = MSG_VOTED;
		m.u.voted = {raft_term(r) + 1, 2, true, true};
		receive("c1", m);
		m.u.voted = {raft_term(r), 2, false, true};
		receive("c1", m);
		ASSERT_EQ(RAFT_LEADER, raft_role(r));
	}
};

/* Guards against an election while the old leader may still grant leases. A
 * voter that has just restarted must not vote either. */
TEST_F(Single, RefusesVotesWhileALeaderWasHeard)
{
	now += 499;
	EXPECT_FALSE(request_vote("c1", 2, true)) << "just started";
	EXPECT_FALSE(request_vote("c1", 2, false));
	EXPECT_EQ(2, raft_term(r)) << "its term may not rise either";
	send_heartbeat("c2", 3);
	now += 499;
	EXPECT_FALSE(request_vote("c1", 2, true));
	EXPECT_FALSE(request_vote("c1", 2, false));
	now += 1;
	EXPECT_TRUE(request_vote("c1", 2, true));
	EXPECT_TRUE(request_vote("c1", 2, false));
	EXPECT_FALSE(request_vote("c1", 9, false)) << "unknown uuid";
}

/* Guards against counting an entry of an earlier term as committed, since a
 * later leader may replace it, and against granting leases before the leader
 * knows all that its predecessors committed. */
TEST_F(Single, CommitsAndActsByEntriesOfItsOwnTerm)
{
	elect();
	answer(2, true);
	EXPECT_LT(raft_commit_index(r), 2);
	EXPECT_FALSE(raft_has_leader_lease(r, now));
	answer(3, true);
	EXPECT_EQ(3, raft_commit_index(r));
	EXPECT_TRUE(raft_has_leader_lease(r, now + 449));
	EXPECT_FALSE(raft_has_leader_lease(r, now + 450));
}
