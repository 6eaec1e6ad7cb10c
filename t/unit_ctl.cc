#include <gtest/gtest.h>

#include <deque>
#include <string>

extern "C" {
#include "ctl_core.h"
}

/* Three control instances on a simulated network that delivers each message
 * after 5 ms and can disconnect instances. */
struct Ctl : testing::Test {
	struct Packet {
		clk_ms arrives_at;
		int from, to;
		std::string bytes;
	};
	struct settings set[3] = {};
	struct ctl *c[3] = {};
	struct rng *rng = rng_new(3);
	std::deque<Packet> queue;
	bool disconnected[3] = {};
	clk_ms now = 1000;
	int64_t seq = 0, backend_calls = 0;
	bool seeded = false;
	clk_ms rate_window_ms = 0;
	bool supported = false; /* the last answer supported the lease */

	void SetUp() override
	{
		for (int i = 0; i < 3; i++) {
			struct settings &s = set[i];

			snprintf(s.id, ID_LEN, "c%d", i);
			for (int j = 0; j < 3; j++)
				snprintf(s.controls[j].id, ID_LEN, "c%d", j);
			s.ncontrols = 3;
			s.lease_ms = 1000;
			s.grant_ms = 2000;
			s.suspect_ms = 500;
			s.silent_ms = 2500;
			s.heartbeat_ms = 100;
			s.election_min_ms = 500;
			s.controls_from_seeds = seeded;
			s.bootstrap = seeded;
			s.promoter_deposes = !seeded;
			s.rate_window_ms = rate_window_ms;
			s.rate_slack = 20;
			c[i] = ctl_new(&s, 10 + i, rng, now);
		}
		announce_peers();
	}
	void TearDown() override
	{
		for (auto *x : c)
			ctl_free(x);
		rng_free(rng);
	}
	void announce_peers()
	{
		for (int i = 0; i < 3; i++)
			for (int j = 0; j < 3; j++)
				ctl_on_peer_linked(c[i], set[j].id, 10 + j,
						   now);
	}
	void execute_actions(int i)
	{
		struct ctl_action a;

		while (ctl_next_action(c[i], &a, now)) {
			struct buf b = BUF_INIT;

			backend_calls += a.type == CTL_FAILOVER_CALL;
			if (a.type != CTL_SEND)
				continue;
			msg_encode(&a.msg, &b);
			queue.push_back(
				{now + 5, i, atoi(a.to + 1),
				 std::string(buf_data(&b), buf_len(&b))});
			buf_free(&b);
		}
	}
	void step()
	{
		now += 10;
		while (!queue.empty() && queue.front().arrives_at <= now) {
			Packet p = queue.front();
			struct msg m;

			queue.pop_front();
			if (disconnected[p.from] || disconnected[p.to] ||
			    msg_decode(&m, p.bytes.data(), p.bytes.size(),
				       nullptr))
				continue;
			ctl_receive(c[p.to], set[p.from].id, &m, now);
			execute_actions(p.to);
			msg_free(&m);
		}
		for (int i = 0; i < 3; i++) {
			ctl_tick(c[i], now);
			execute_actions(i);
		}
	}
	/* Sends an ASK of proxy p1 to instance i, with the announcements of
	 * three backends if announce is set. Returns the duration of the
	 * granted lease, or 0, and in changing the group whose primary is
	 * being changed, if there is one. */
	clk_ms ask(int i, bool announce = false,
		   std::string *changing = nullptr)
	{
		struct backend_info b[3] = {};
		struct msg_ask a = {};
		struct msg answer;

		for (int k = 0; k < 3; k++) {
			snprintf(b[k].id, ID_LEN, "m%d", k);
			strcpy(b[k].group, "orders");
			strcpy(b[k].addr, "10.0.0.1:5");
		}
		a.seq = ++seq;
		strcpy(a.addr, "10.0.0.2:1");
		a.backend_announcements = b;
		a.nbackend_announcements = announce ? 3 : 0;
		ctl_answer_ask(c[i], 1, "p1", "za", &a, now, &answer);
		supported = answer.u.answer.supports_lease;
		if (changing && answer.u.answer.nchanging_groups)
			*changing = answer.u.answer.changing_groups[0].text;
		clk_ms lease =
			answer.u.answer.res ? 0 : answer.u.answer.lease_ms;
		execute_actions(i);
		return lease;
	}
	/* Proposes that the primary of the group "orders" is being changed. */
	void propose_change(int at)
	{
		struct group_info g = {};
		struct buf b = BUF_INIT;

		strcpy(g.name, "orders");
		g.changing_primary = true;
		g.change_term = 7;
		state_cmd_group(&b, &g);
		raft_propose(ctl_raft(c[at]), buf_data(&b), buf_len(&b));
		raft_send_proposals(ctl_raft(c[at]), now);
		buf_free(&b);
		execute_actions(at);
	}
	int leader()
	{
		int found = -1;

		for (int i = 0; i < 3; i++) {
			if (!ask(i))
				continue;
			EXPECT_EQ(-1, found) << "two instances grant leases";
			found = i;
		}
		return found;
	}
	int elect(int ms)
	{
		for (int i = 0; i < ms / 10 && leader() < 0; i++)
			step();
		return leader();
	}
};

/* Guards against instances that form a second cluster while they can't reach
 * another instance that may hold the state of the first. */
TEST_F(Ctl, FormsOnlyWhenAllAreReachable)
{
	disconnected[2] = true;
	EXPECT_EQ(-1, elect(3000));
	disconnected[2] = false;
	EXPECT_GE(elect(3000), 0);
}

/* Guards against an instance that lost its data and forms a new cluster beside
 * the existing one, even if it is the one with the lowest id, which creates
 * clusters (ctl_bootstrap.c). */
TEST_F(Ctl, EmptiedInstanceJoinsInsteadOfForming)
{
	ASSERT_GE(elect(3000), 0);
	for (int i = 0; i < 50; i++)
		step();
	ctl_free(c[0]);
	c[0] = ctl_new(&set[0], 99, rng, now);
	for (int i = 0; i < 3; i++)
		for (int j = 0; j < 3; j++)
			ctl_on_peer_linked(c[i], set[j].id, j ? 10 + j : 99,
					   now);
	for (int i = 0; i < 500; i++)
		step();
	int at = elect(3000);
	ASSERT_GE(at, 0);
	const struct raft_members *m = raft_voters(ctl_raft(c[at]));
	ASSERT_EQ(3, m->n);
	for (int i = 0; i < 3; i++)
		EXPECT_TRUE(strcmp(m->list[i].id, "c0") ||
			    m->list[i].uuid == 99);
	EXPECT_EQ(raft_commit_index(ctl_raft(c[at])),
		  raft_commit_index(ctl_raft(c[0])));
}

/* Guards against leases from a leader that is disconnected from the majority,
 * and against leases from two instances at the same time. */
TEST_F(Ctl, LeaderThatIsCutOffGrantsNoLease)
{
	int old = elect(3000);

	ASSERT_GE(old, 0);
	for (int round = 0; round < 5; round++) {
		clk_ms since = now;

		disconnected[old] = true;
		while (ask(old)) {
			step();
			ASSERT_LE(now - since, 500);
		}
		int next = elect(3000);
		ASSERT_GE(next, 0);
		EXPECT_NE(old, next);
		disconnected[old] = false;
		for (int i = 0; i < 100; i++) {
			step();
			leader();
		}
		old = elect(3000);
	}
}

/* Guards against a proxy that uses its lease for a group whose primary is being
 * changed: the answer must list this group. Also guards against members that
 * are announced but never probed. */
TEST_F(Ctl, ChangingGroupIsListedAndMembersAreProbed)
{
	int at = elect(3000);
	std::string changing;

	ASSERT_GE(at, 0);
	ask(at, true);
	for (int i = 0; i < 20; i++)
		step();
	EXPECT_GE(backend_calls, 3);
	propose_change(at);
	for (int i = 0; i < 20; i++)
		step();
	EXPECT_EQ(1000, ask(at, true, &changing));
	EXPECT_EQ("orders", changing);
	for (int i = 0; i < 600; i++)
		step();
	at = elect(3000);
	size_t n;
	EXPECT_FALSE(state_proxies(ctl_state(c[at]), &n)[0].alive)
		<< "an entry instance that does not ask is not alive";
	EXPECT_TRUE(
		state_backend(ctl_state(c[at]), "m0")->announcements_stopped);
}

/* Guards against records of ended members' logs that pile up where nobody reads
 * them. */
TEST_F(Ctl, EndedLogsAreNotKeptWhereControlChangesPrimaries)
{
	int at = elect(3000);
	struct backend_info gone = {};
	struct buf b = BUF_INIT;
	size_t n;

	ASSERT_GE(at, 0);
	ask(at, true);
	for (int i = 0; i < 20; i++)
		step();
	ASSERT_NE(nullptr, state_backend(ctl_state(c[at]), "m0"));
	strcpy(gone.id, "m0");
	gone.leaving = true;
	state_cmd_backend(&b, &gone);
	raft_propose(ctl_raft(c[at]), buf_data(&b), buf_len(&b));
	raft_send_proposals(ctl_raft(c[at]), now);
	buf_free(&b);
	execute_actions(at);
	for (int i = 0; i < 50; i++)
		step();
	EXPECT_EQ(nullptr, state_backend(ctl_state(c[at]), "m0"));
	state_ended_logs(ctl_state(c[at]), &n);
	EXPECT_EQ(0u, n);
}

/* The same where members come from seeds and a promoter does not depose the
 * primary that it replaces. */
struct CtlSeeded : Ctl {
	CtlSeeded()
	{
		seeded = true;
	}

	bool supports(int i)
	{
		ask(i);
		return supported;
	}

	void run(clk_ms ms)
	{
		for (clk_ms end = now + ms; now < end;)
			step();
	}

	/* Restarts an instance with its stored log. */
	void restart(int i)
	{
		struct raft *old = ctl_raft(c[i]);
		struct ctl *fresh = ctl_new(&set[i], 10 + i, rng, now);
		struct raft *r = ctl_raft(fresh);

		raft_load_hard_state(r, raft_term(old), "");
		for (int64_t k = 1; k <= raft_last_index(old); k++)
			raft_load_entry(r, raft_entry_at(old, k));
		ctl_free(c[i]);
		c[i] = fresh;
		execute_actions(i);
	}
};

/*
 * Guards against a deployment without service while control has no majority:
 * in Bung grown scale-1 the six instances were cut in two halves for 5 s, which
 * all proxies reached, and all leases expired.
 */
TEST_F(CtlSeeded, VotersWithoutALeaderSupportLeases)
{
	int at = elect(5000);

	ASSERT_GE(at, 0);
	run(300);
	for (int i = 0; i < 3; i++)
		EXPECT_FALSE(supports(i)) << "there is a leader";
	for (bool &d : disconnected)
		d = true;
	run(600);
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(i != at, supports(i)) << i;
	run(600);
	EXPECT_TRUE(supports(at)) << "it has stopped leading";
}

/* Guards against support by a voter that heard a leader just before it was
 * restarted: this leader does not expect it. */
TEST_F(CtlSeeded, ARestartedVoterSupportsNoLeaseAtOnce)
{
	int at = elect(5000);

	ASSERT_GE(at, 0);
	run(300);
	for (bool &d : disconnected)
		d = true;
	int i = (at + 1) % 3;
	restart(i);
	EXPECT_FALSE(supports(i));
	run(600);
	EXPECT_TRUE(supports(i));
}

/* Guards against a lease that a voter supports although its log holds a change
 * of primary, which may be committed without its knowledge. */
TEST_F(CtlSeeded, AVoterThatMayKnowOfAChangeSupportsNoLease)
{
	int at = elect(5000);

	ASSERT_GE(at, 0);
	run(300);
	propose_change(at);
	now += 5;
	for (bool &d : disconnected)
		d = false;
	/* The entry reaches the others, its commit does not. */
	step();
	for (bool &d : disconnected)
		d = true;
	run(1500);
	int without = 0;
	for (int i = 0; i < 3; i++)
		without += !supports(i);
	EXPECT_EQ(3, without);
}

/* Guards against a leader that does not notice that a voter was away and may
 * have supported leases meanwhile. */
TEST_F(CtlSeeded, TheLeaderNoticesAVoterThatComesBack)
{
	int at = elect(5000);

	ASSERT_GE(at, 0);
	int away = (at + 1) % 3;
	run(500);
	disconnected[away] = true;
	run(2000);
	clk_ms before = raft_voter_back_at(ctl_raft(c[at]));
	EXPECT_LT(before, now - 2000);
	EXPECT_TRUE(supports(away));
	disconnected[away] = false;
	run(300);
	EXPECT_GE(raft_voter_back_at(ctl_raft(c[at])), now - 300);
}

/* The same with rate limits of tenants. */
struct CtlRates : CtlSeeded {
	int64_t ask_seq = 0;

	CtlRates()
	{
		rate_window_ms = 5000;
	}

	void publish(int at)
	{
		struct route_table *r = rt_new();
		struct buf packed = BUF_INIT;
		struct msg_publish p = {};

		r->version = p.version = 1;
		r->has_tenants = true;
		r->ntenants = 1;
		r->tenants = (struct rt_tenant *)calloc(1, sizeof(rt_tenant));
		strcpy(r->tenants[0].name, "shop");
		r->tenants[0].rate_milli = 20000;
		r->tenants[0].burst_milli = 20000;
		rt_encode(r, &packed, &p.unpacked_routes_size);
		p.config_text = {"{}", 2};
		p.packed_routes = blob_from_buf(&packed);
		ctl_publish(c[at], 1, &p, now);
		execute_actions(at);
		buf_free(&packed);
		rt_unref(r);
		run(300);
	}

	/* Tokens that an instance grants for many operations; -1 if it answers
	 * that it does not lead. */
	int64_t tokens(int i)
	{
		struct rate_demand d = {"shop", 1000, 1000, 0, 0, 0};
		struct msg_rate_ask a = {++ask_seq, &d, 1};
		struct msg m;

		EXPECT_TRUE(ctl_answer_rate_ask(c[i], 7, &a, now, &m));
		EXPECT_EQ(MSG_RATE_GRANT, m.type);
		EXPECT_EQ(a.seq, m.u.rate_grant.seq);
		if (m.u.rate_grant.res)
			return -1;
		return m.u.rate_grant.ngrants ? m.u.rate_grant.grants[0].tokens
					      : 0;
	}
};

/*
 * Guards against tokens from an instance that may not act as the leader, and
 * against a new leader that starts with more than the time since its election
 * gives.
 */
TEST_F(CtlRates, OnlyTheLeaderGrantsTokensAndANewOneStartsEmpty)
{
	int at = elect(5000);

	ASSERT_GE(at, 0);
	publish(at);
	run(6000);
	for (int i = 0; i < 3; i++)
		if (i == at)
			EXPECT_GE(tokens(i), 10);
		else
			EXPECT_EQ(-1, tokens(i));
	disconnected[at] = true;
	clk_ms cut = now;
	while (tokens(at) >= 0) {
		step();
		ASSERT_LE(now - cut, 500);
	}
	int next = elect(5000);
	ASSERT_GE(next, 0);
	EXPECT_EQ(-1, tokens(at));
	/* Half of 20 operations a second, at most since the cut. */
	EXPECT_LE(tokens(next), (now - cut) / 100 + 1);
}

/* Guards against answers to rate asks in a deployment without rate limits. */
TEST_F(CtlSeeded, WithoutRateLimitsNobodyGrantsTokens)
{
	int at = elect(5000);
	struct rate_demand d = {"shop", 1, 1, 0, 0, 0};
	struct msg_rate_ask a = {1, &d, 1};
	struct msg m;

	ASSERT_GE(at, 0);
	EXPECT_TRUE(ctl_answer_rate_ask(c[at], 7, &a, now, &m));
	EXPECT_EQ(RES_NOT_LEADER, m.u.rate_grant.res);
}
