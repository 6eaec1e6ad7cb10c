#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <string>

extern "C" {
#include "ctl_core.h"
}

/*
 * Control instances that are configured only with seeds and exchange messages
 * through an in-memory network. c0 to c2 are the seeds; c3 and c4 may join.
 */
struct Seeded : testing::Test {
	struct Packet {
		clk_ms at;
		int from, to;
		std::string bytes;
	};
	static constexpr int INSTANCES = 5;
	struct settings instance_settings[INSTANCES] = {};
	struct ctl *c[INSTANCES] = {};
	int64_t uuid[INSTANCES] = {};
	struct rng *rng = rng_new(5);
	std::deque<Packet> queue;
	bool cut[INSTANCES] = {};
	clk_ms now = 1000;
	int64_t last_ticket = 0;
	int64_t sync_replicas = 0; /* of group "g1" */
	int64_t backend_records_sent = 0;
	std::map<int64_t, enum res> results;

	void SetUp() override
	{
		for (int i = 0; i < INSTANCES; i++) {
			struct settings &s = instance_settings[i];

			snprintf(s.id, ID_LEN, "c%d", i);
			for (int j = 0; j < 3; j++)
				snprintf(s.controls[j].id, ID_LEN, "c%d", j);
			s.ncontrols = 3;
			s.controls_from_seeds = true;
			s.bootstrap = true;
			s.silent_ms = 3600;
			s.heartbeat_ms = 60;
			s.election_min_ms = 300;
			s.replace_ms = SETTINGS_REPLACE_MS;
		}
		for (int i = 0; i < 3; i++)
			start(i);
		ASSERT_TRUE(run_until(5000, [&] { return leader() >= 0; }));
		run(300); /* until its first entry is committed */
	}

	void TearDown() override
	{
		for (auto *x : c)
			ctl_free(x);
		rng_free(rng);
	}

	/* Starts an instance with an empty disk. */
	void start(int i)
	{
		ctl_free(c[i]);
		uuid[i] += 100 + i;
		c[i] = ctl_new(&instance_settings[i], uuid[i], rng, now);
		cut[i] = false;
	}

	/* Tells both sides of each link the identity of the other, as the links
	 * themselves do. */
	void exchange_identities()
	{
		for (int i = 0; i < INSTANCES; i++)
			for (int j = 0; j < INSTANCES; j++)
				if (i != j && c[i] && c[j] && !cut[i] &&
				    !cut[j])
					ctl_on_peer_linked(
						c[i], instance_settings[j].id,
						uuid[j], now);
	}

	void handle_actions(int i)
	{
		struct ctl_action a;

		while (ctl_next_action(c[i], &a, now)) {
			struct buf b = BUF_INIT;

			if (a.type == CTL_ANSWER_REQUEST)
				results[a.link_or_ticket] = a.res;
			if (a.type == CTL_REPLY && a.msg.type == MSG_ANSWER)
				backend_records_sent +=
					a.msg.u.answer.nbackends;
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
		exchange_identities();
		while (!queue.empty() && queue.front().at <= now) {
			Packet p = queue.front();
			struct msg m;

			queue.pop_front();
			if (cut[p.from] || cut[p.to] || !c[p.to] ||
			    msg_decode(&m, p.bytes.data(), p.bytes.size(),
				       nullptr))
				continue;
			ctl_receive(c[p.to], instance_settings[p.from].id, &m,
				    now);
			handle_actions(p.to);
			msg_free(&m);
		}
		for (int i = 0; i < INSTANCES; i++)
			if (c[i] && !cut[i]) {
				ctl_tick(c[i], now);
				handle_actions(i);
			}
	}

	template <class F> bool run_until(clk_ms ms, F f)
	{
		for (clk_ms end = now + ms; now < end; step())
			if (f())
				return true;
		return f();
	}

	void run(clk_ms ms)
	{
		run_until(ms, [] { return false; });
	}

	int leader()
	{
		for (int i = 0; i < INSTANCES; i++)
			if (c[i] && !cut[i] &&
			    raft_role(ctl_raft(c[i])) == RAFT_LEADER)
				return i;
		return -1;
	}

	enum res publish(int i, int64_t version)
	{
		std::string text = "v" + std::to_string(version);
		struct route_table *r = rt_new();
		struct msg_publish p = {.version = version};
		struct buf packed = BUF_INIT;
		int64_t t = ++last_ticket;

		r->version = version;
		r->ngroups = 2;
		r->groups = (struct rt_group *)calloc(2, sizeof(*r->groups));
		strcpy(r->groups[0].name, "g0");
		strcpy(r->groups[1].name, "g1");
		r->groups[1].sync_replicas = sync_replicas;
		rt_encode(r, &packed, &p.unpacked_routes_size);
		rt_unref(r);
		p.config_text = {text.data(), text.size()};
		p.packed_routes = {buf_data(&packed), buf_len(&packed)};
		ctl_publish(c[i], t, &p, now);
		buf_free(&packed);
		handle_actions(i);
		run_until(CTL_REQUEST_TIMEOUT_MS + 100,
			  [&] { return results.count(t); });
		return results.count(t) ? results[t] : RES_IN_PROGRESS;
	}

	enum res confirm(int i)
	{
		int64_t t = ++last_ticket;

		ctl_confirm_leadership(c[i], t, now);
		handle_actions(i);
		run_until(CTL_REQUEST_TIMEOUT_MS + 100,
			  [&] { return results.count(t); });
		return results.count(t) ? results[t] : RES_IN_PROGRESS;
	}

	int voters()
	{
		return raft_voters(ctl_raft(c[leader()]))->n;
	}

	struct msg_answer ask(int i, int64_t doc_version = 0,
			      const std::vector<pos_sample> &samples = {},
			      const std::string &wants = "")
	{
		struct msg_ask a = {};
		struct msg answer;

		strcpy(a.addr, "10.0.0.2:1");
		a.seq = 1;
		a.published_version = doc_version;
		a.samples = const_cast<pos_sample *>(samples.data());
		a.nsamples = (int64_t)samples.size();
		a.wanted_groups = {wants.data(), wants.size()};
		ctl_answer_ask(c[i], 1, "p1", "za", &a, now, &answer);
		struct msg_answer copy = answer.u.answer;
		handle_actions(i);
		return copy;
	}
};

TEST_F(Seeded, AcknowledgesTheNewestAndIgnoresOlder)
{
	EXPECT_EQ(RES_OK, publish(leader(), 5));
	EXPECT_EQ(RES_OK, publish(leader(), 3));
	EXPECT_EQ(RES_OK, publish(leader(), 5));
	EXPECT_EQ(5, state_published(ctl_state(c[leader()]))->version);
	EXPECT_EQ(RES_NOT_LEADER, publish((leader() + 1) % 3, 9));
}

/* Guards against a leader that answers a read after it was replaced. It must
 * get the confirmation of a majority after the read arrived. */
TEST_F(Seeded, AReadIsConfirmedByAMajority)
{
	int old = leader();

	EXPECT_EQ(RES_OK, confirm(old));
	EXPECT_EQ(RES_NOT_LEADER, confirm((old + 1) % 3));
	cut[(old + 1) % 3] = true;
	cut[(old + 2) % 3] = true;
	EXPECT_NE(RES_OK, confirm(old));
	EXPECT_NE(RES_OK, publish(old, 7));
}

/* A proxy may know no seed that leads, so each answer names the members. */
TEST_F(Seeded, AnswersNameTheMembersWhoeverGivesThem)
{
	for (int i = 0; i < 3; i++) {
		struct msg_answer a = ask(i);

		EXPECT_EQ(i == leader() ? RES_OK : RES_NOT_LEADER, a.res);
		EXPECT_EQ(3, a.ncontrols) << i;
	}
}

/* Guards against waiting for a whole election timeout after all instances were
 * down. A pre-vote is repeated within half of that timeout, and the election
 * is then decided in two round trips. */
TEST_F(Seeded, AMajorityThatMeetsAgainElectsSoon)
{
	for (int round = 0; round < 10; round++) {
		for (int i = 0; i < 3; i++)
			cut[i] = true;
		for (int i = 0; i < 300; i++) {
			now += 10;
			for (int j = 0; j < 3; j++) {
				ctl_tick(c[j], now);
				handle_actions(j);
			}
		}
		queue.clear();
		for (int i = 0; i < 3; i++)
			cut[i] = false;
		EXPECT_TRUE(
			run_until(instance_settings[0].election_min_ms / 2 + 40,
				  [&] { return leader() >= 0; }))
			<< round;
		run(1000);
	}
}

TEST_F(Seeded, AnInstanceThatIsNoSeedBecomesAVoter)
{
	start(3);
	EXPECT_TRUE(run_until(5000, [&] { return voters() == 4; }));
	EXPECT_EQ(RES_OK, publish(leader(), 4));
	EXPECT_TRUE(run_until(1000, [&] {
		return state_published(ctl_state(c[3]))->version == 4;
	}));
}

/* A voter is lost permanently and an empty instance joins at another address.
 * The cluster must then tolerate the loss of a second voter. */
TEST_F(Seeded, ANewInstanceTakesThePlaceOfASilentOne)
{
	int gone = (leader() + 1) % 3;

	cut[gone] = true;
	start(3);
	EXPECT_TRUE(run_until(instance_settings[0].replace_ms + 6000, [&] {
		if (leader() < 0 || voters() != 3)
			return false;
		const struct raft_members *m =
			raft_voters(ctl_raft(c[leader()]));
		for (int i = 0; i < m->n; i++)
			if (!strcmp(m->list[i].id, instance_settings[gone].id))
				return false;
		return true;
	}));
	run(300); /* until the change of members is committed */
	cut[leader()] = true;
	ASSERT_TRUE(run_until(5000, [&] { return leader() >= 0; }));
	run(300);
	EXPECT_EQ(RES_OK, publish(leader(), 6));
}

/* Instances are replaced in turn, each loss as early as the platform allows:
 * CATCHUP_MS after the successor of the last one was started. */
struct SeededInTurn : Seeded, testing::WithParamInterface<int> {
	static constexpr clk_ms CATCHUP_MS = 4000;
	static constexpr clk_ms RECOVERY_MS = 4000;

	SeededInTurn()
	{
		rng_free(rng);
		rng = rng_new((uint64_t)GetParam());
	}

	/* The instance that the next disruption takes: with odd parameters the
	 * leader, else a follower. */
	int victim()
	{
		int lead = leader();

		EXPECT_GE(lead, 0);
		if (GetParam() % 2)
			return lead < 0 ? 0 : lead;
		for (int i = 0; i < INSTANCES; i++)
			if (c[i] && !cut[i] && i != lead)
				return i;
		return 0;
	}

	void expect_service(int64_t version)
	{
		run(1000); /* a leader without a majority has stepped down */
		ASSERT_TRUE(run_until(RECOVERY_MS - 1000, [&] {
			return leader() >= 0 &&
			       raft_has_leader_lease(ctl_raft(c[leader()]),
						     now);
		}));
		EXPECT_EQ(RES_OK, publish(leader(), version));
		EXPECT_EQ(RES_OK, confirm(leader()));
	}
};

/* Guards against a control that never has a leader again: a voter is lost for
 * good, and a second one once the successor of the first has had its time. */
TEST_P(SeededInTurn, ASecondLossLeavesALeader)
{
	cut[victim()] = true;
	run(500);
	start(3);
	run(CATCHUP_MS);
	cut[victim()] = true;
	run(500);
	start(4);
	expect_service(6);
}

/* The same where the second instance loses its disk. */
TEST_P(SeededInTurn, ALostDiskAfterALossLeavesALeader)
{
	int wiped;

	cut[victim()] = true;
	run(200);
	start(3);
	run(CATCHUP_MS);
	wiped = victim();
	cut[wiped] = true;
	run(1000);
	start(wiped);
	expect_service(6);
}

/* The same where the successor starts before the instance that it replaces
 * leaves, and so votes beside it for a while. */
TEST_P(SeededInTurn, ASecondLossAfterAPlannedReplacementLeavesALeader)
{
	start(3);
	run(1000);
	cut[victim()] = true;
	run(CATCHUP_MS - 1000);
	cut[victim()] = true;
	expect_service(6);
}

/* Guards against a successor that dies before it votes and takes the votes
 * that its predecessor left with it: the two that are left go on, and the next
 * successor takes the place. */
TEST_P(SeededInTurn, ASuccessorThatDiesEarlyLeavesALeader)
{
	cut[victim()] = true;
	run(500);
	start(3);
	run(100);
	cut[3] = true;
	run(500);
	start(4);
	run(CATCHUP_MS);
	cut[victim()] = true;
	expect_service(6);
}

INSTANTIATE_TEST_SUITE_P(Seeds, SeededInTurn, testing::Range(1, 21));

/* Guards against a cluster that shrinks until the loss of one voter stops it.
 */
TEST_F(Seeded, ThreeVotersStayThreeWhileOneIsSilent)
{
	cut[(leader() + 1) % 3] = true;
	run(instance_settings[0].replace_ms + 4000);
	EXPECT_EQ(3, voters());
}

TEST_F(Seeded, AnInstanceThatLostItsDiskDoesNotVoteForLessThanWasAcknowledged)
{
	EXPECT_EQ(RES_OK, publish(leader(), 8));
	for (int k = 0; k < 4; k++) {
		int i = leader();

		start(i);
		ASSERT_TRUE(run_until(
			5000, [&] { return leader() >= 0 && leader() != i; }));
		run(300); /* until its first entry is committed */
		EXPECT_EQ(8, state_published(ctl_state(c[leader()]))->version)
			<< k;
		ASSERT_TRUE(run_until(5000, [&] {
			return leader() >= 0 && voters() == 3 &&
			       state_published(ctl_state(c[i]))->version == 8;
		}));
		run(1000);
	}
}

/* Guards against a leader that runs out of memory because it buffers a large
 * configuration for each ask of each proxy with a slow link (Barfani grown,
 * fresh-48ae). */
TEST_F(Seeded, AConfigurationOnItsWayIsNotSentAgain)
{
	ASSERT_EQ(RES_OK, publish(leader(), 2));
	EXPECT_GT(ask(leader()).packed_routes.len, 0u);
	for (int i = 0; i < 10; i++) {
		struct msg_answer a = ask(leader());

		EXPECT_EQ(0u, a.packed_routes.len);
		EXPECT_EQ(2, a.published_version);
	}
	run(CTL_CONFIG_RESEND_MS);
	EXPECT_GT(ask(leader()).packed_routes.len, 0u);
	EXPECT_EQ(0u, ask(leader(), 2).packed_routes.len);
}

TEST_F(Seeded, SharesTheNewestPositionOfAGroup)
{
	struct pos_sample s = {};

	ASSERT_EQ(RES_OK, publish(leader(), 2));
	strcpy(s.group, "g1");
	s.term = 1;
	s.number = 50;
	s.sent_at_leader_ms = now - 100;
	ask(leader(), 0, {s});
	s.number = 40;
	s.sent_at_leader_ms = now - 200;
	ask(leader(), 0, {s});
	s.sent_at_leader_ms =
		now + 50; /* invalid: ahead of the leader's clock */
	s.number = 90;
	struct msg_answer a = ask(leader(), 2, {s}, "\x02");
	ASSERT_EQ(1, a.nsamples);
	EXPECT_EQ(50, a.samples[0].number);
	EXPECT_EQ(now, a.leader_clock);
}

/* Guards against answers that hold the positions of all groups for all proxies.
 * With 100 instances and 250 groups, they were most of the traffic between
 * zones. */
TEST_F(Seeded, SendsPositionsToThoseWhoWantThem)
{
	struct pos_sample s = {};

	ASSERT_EQ(RES_OK, publish(leader(), 2));
	strcpy(s.group, "g1");
	s.term = 1;
	s.number = 50;
	s.sent_at_leader_ms = now - 100;
	EXPECT_EQ(0, ask(leader(), 2, {s}).nsamples);
	EXPECT_EQ(0, ask(leader(), 2, {}, "\x01").nsamples);
	EXPECT_EQ(1, ask(leader(), 2, {}, "\x03").nsamples);
	/* The bits refer to the groups of another configuration. */
	EXPECT_EQ(0, ask(leader(), 1, {}, "\x03").nsamples);
}

struct Announced : Seeded {
	/* Wall-clock time when now is 0. */
	static constexpr clk_ms WALL = 1000000;
	static constexpr clk_ms HEARTBEAT_MS = 1200;

	enum res announce(const char *id, int64_t incarnation, int64_t seq,
			  bool leaving = false, const char *addr = "10.0.0.5:1",
			  const char *group = "g1")
	{
		struct backend_info b = {};
		int64_t t = ++last_ticket;
		int i = leader();

		strcpy(b.id, id);
		strcpy(b.group, group);
		strcpy(b.addr, addr);
		b.incarnation = incarnation;
		b.leaving = leaving;
		ctl_announce(c[i], t, &b, seq, WALL + now, now);
		handle_actions(i);
		run_until(1000, [&] { return results.count(t); });
		return results.count(t) ? results[t] : RES_IN_PROGRESS;
	}

	const struct backend_info *record(const char *id)
	{
		return state_backend(ctl_state(c[leader()]), id);
	}
};

/* Guards against a disk sync and a message for each of many proposals. A leader
 * that recorded 400 primaries that way sent nothing for 2 s and lost its
 * leadership before it had finished. */
TEST_F(Announced, ManyProposalsGoOutTogether)
{
	int i = leader();
	size_t most = 0;

	for (int n = 0; n < 200; n++) {
		struct backend_info b = {};

		snprintf(b.id, ID_LEN, "m%d", n);
		snprintf(b.group, ID_LEN, "g%d", n);
		snprintf(b.addr, ADDR_LEN, "10.0.1.%d:1", n);
		b.incarnation = 1;
		b.announced_primary = true;
		ctl_announce(c[i], ++last_ticket, &b, 1, WALL, now);
	}
	handle_actions(i);
	EXPECT_LE(queue.size(), 8u) << "announcements";
	/* Next, the announced members are recorded as primaries. */
	for (int n = 0; n < 100; n++) {
		size_t before = queue.size();

		step();
		if (queue.size() > before)
			most = std::max(most, queue.size() - before);
	}
	EXPECT_LE(most, 16u);
	size_t groups;
	state_groups(ctl_state(c[i]), &groups);
	EXPECT_EQ(200u, groups);
}

/* Guards against pushing records to proxies that were pushed before. While 750
 * members started, control did nothing else (sweep of 100 instances). */
TEST_F(Announced, PushesARecordOnce)
{
	ask(leader());
	backend_records_sent = 0;
	for (int i = 0; i < 20; i++) {
		std::string id = "m" + std::to_string(i);
		std::string addr = "10.0.0." + std::to_string(i) + ":1";

		EXPECT_EQ(RES_OK,
			  announce(id.c_str(), 1, 1, false, addr.c_str()));
		run(50);
	}
	EXPECT_EQ(20, backend_records_sent);
}

/* Guards against a late announcement that revokes the record that a member is
 * leaving. */
TEST_F(Announced, LateOnesChangeNothing)
{
	EXPECT_EQ(RES_OK, announce("m1", 10, 5));
	EXPECT_EQ(RES_OK, announce("m1", 10, 6, true));
	EXPECT_TRUE(record("m1")->leaving);
	EXPECT_EQ(RES_OK, announce("m1", 10, 4));
	EXPECT_EQ(RES_OK, announce("m1", 10, 7));
	EXPECT_TRUE(record("m1")->leaving);
	EXPECT_EQ(RES_OK, announce("m1", 20, 1));
	EXPECT_FALSE(record("m1")->leaving) << "it started again";
	EXPECT_EQ(RES_OK, announce("m1", 10, 9, true));
	EXPECT_FALSE(record("m1")->leaving) << "of the incarnation before";
}

/* Guards against keeping the record of a crashed member whose address another
 * member uses now. */
TEST_F(Announced, ALaterMemberOwnsItsAddress)
{
	EXPECT_EQ(RES_OK, announce("m2", 20, 1));
	EXPECT_EQ(RES_OK, announce("m1", 10, 3));
	EXPECT_EQ(nullptr, record("m1"));
}

/* Guards against losing an acknowledged announcement that a member is leaving
 * when the leader that acknowledged it fails. */
TEST_F(Announced, ALeavingIsCommittedBeforeItIsAcknowledged)
{
	EXPECT_EQ(RES_OK, announce("m1", 10, 1));
	EXPECT_EQ(RES_OK, announce("m1", 10, 2, true));
	cut[leader()] = true;
	ASSERT_TRUE(run_until(5000, [&] { return leader() >= 0; }));
	run(200);
	ASSERT_NE(nullptr, record("m1"));
	EXPECT_TRUE(record("m1")->leaving);
}

/* Guards against the log of a member that has ended being forgotten with the
 * control leader that was told of it (review/7). */
TEST_F(Announced, TheLogOfAnEndedMemberOutlivesTheLeader)
{
	sync_replicas = 1;
	EXPECT_EQ(RES_OK, publish(leader(), 2));
	EXPECT_EQ(RES_OK, announce("m1", 10, 1));
	EXPECT_EQ(RES_OK, announce("m1", 10, 2, true));
	ctl_remove_backend(c[leader()], ++last_ticket, "m1", now);
	handle_actions(leader());
	run(100);
	cut[leader()] = true;
	ASSERT_TRUE(run_until(5000, [&] { return leader() >= 0; }));
	run(200);
	size_t n;
	const struct ended_log *l =
		state_ended_logs(ctl_state(c[leader()]), &n);
	ASSERT_EQ(1u, n);
	EXPECT_STREQ("m1", l[0].id);
	EXPECT_TRUE(l[0].moves);
	EXPECT_FALSE(l[0].silent);
	EXPECT_EQ(RES_OK, announce("m2", 20, 1));
	state_ended_logs(ctl_state(c[leader()]), &n);
	EXPECT_EQ(0u, n);
}

/* A member "m1" that announces itself every HEARTBEAT_MS, and entries of
 * another writer that look like its own. */
struct OddEntries : Announced {
	int64_t sequence = 0;

	void SetUp() override
	{
		Announced::SetUp();
		EXPECT_EQ(RES_OK, announce("m1", 10, ++sequence));
		go_on(2 * HEARTBEAT_MS);
	}

	/* The member's own announcements for some time. */
	void go_on(clk_ms ms, int64_t born = 10)
	{
		for (clk_ms end = now + ms; now < end;) {
			run(HEARTBEAT_MS);
			EXPECT_EQ(RES_OK, announce("m1", born, ++sequence));
		}
	}

	/* Longer than it takes until the writer of an entry counts as silent,
	 * and three announcements. */
	clk_ms healing_ms()
	{
		return instance_settings[0].silent_ms + 3 * HEARTBEAT_MS;
	}

	void expect_in_use()
	{
		ASSERT_NE(nullptr, record("m1"));
		EXPECT_EQ(10, record("m1")->incarnation);
		EXPECT_STREQ("10.0.0.5:1", record("m1")->addr);
		EXPECT_STREQ("g1", record("m1")->group);
		EXPECT_FALSE(record("m1")->leaving);
		EXPECT_FALSE(record("m1")->announcements_stopped);
	}
};

/* Guards against a member that is out of use for good after one entry with a
 * number that no member can have: all its own announcements counted as late. */
TEST_F(OddEntries, ANumberThatCannotBeIsRefused)
{
	EXPECT_EQ(RES_BAD_LIST, announce("m1", INT64_MAX - 1, 1));
	EXPECT_EQ(RES_BAD_LIST, announce("m1", 10, INT64_MAX - 1, true));
	EXPECT_EQ(RES_BAD_LIST, announce("m1", 0, INT64_MAX - 1, true));
	EXPECT_EQ(RES_BAD_LIST, announce("m2", INT64_MAX - 1, 1));
	expect_in_use();
	EXPECT_EQ(nullptr, record("m2"));
	EXPECT_EQ(RES_OK, announce("m1", 10, ++sequence, true));
	EXPECT_TRUE(record("m1")->leaving) << "its own still count";
}

/* A member changes neither its service nor its address while it runs, and no
 * member belongs to a service that no configuration names. */
TEST_F(OddEntries, AnotherServiceOrAddressDoesNotCount)
{
	ASSERT_EQ(RES_OK, publish(leader(), 3));
	announce("m1", 10, sequence + 1, false, "10.0.0.6:1");
	expect_in_use();
	announce("m1", 10, sequence + 1, false, "10.0.0.5:1", "g0");
	expect_in_use();
	EXPECT_EQ(RES_BAD_LIST,
		  announce("m1", 20, 1, false, "10.0.0.5:1", "g9"));
	expect_in_use();
}

/* Guards against the same by numbers that a member could have: a later start
 * than that of the member, which goes on. */
TEST_F(OddEntries, AMemberOutlivesALaterStart)
{
	EXPECT_EQ(RES_OK, announce("m1", 500, 1, false, "10.0.0.6:1"));
	go_on(healing_ms());
	expect_in_use();
	go_on(3 * HEARTBEAT_MS);
	expect_in_use();
	EXPECT_EQ(RES_OK, announce("m1", 10, ++sequence, true));
	EXPECT_TRUE(record("m1")->leaving);
}

/* The same by a higher sequence number, which says that it leaves. */
TEST_F(OddEntries, AMemberOutlivesAHigherSequence)
{
	EXPECT_EQ(RES_OK, announce("m1", 10, 1000, true));
	go_on(healing_ms());
	expect_in_use();
}

/* The same by another member that claims its address. */
TEST_F(OddEntries, AMemberOutlivesAnotherAtItsAddress)
{
	EXPECT_EQ(RES_OK, announce("m2", 500, 1));
	go_on(healing_ms());
	expect_in_use();
	EXPECT_TRUE(record("m2")->announcements_stopped);
}

/* The same where the leader changes meanwhile, which keeps only records. */
TEST_F(OddEntries, ANewLeaderLetsTheMemberOutliveIt)
{
	EXPECT_EQ(RES_OK, announce("m1", 500, 1, false, "10.0.0.6:1"));
	cut[leader()] = true;
	ASSERT_TRUE(run_until(5000, [&] { return leader() >= 0; }));
	run(200);
	go_on(healing_ms());
	expect_in_use();
}

/* Guards against late announcements of an earlier start that take the place of
 * the member that goes on, or of one that has left. */
TEST_F(OddEntries, LateAnnouncementsOfAnEarlierStartStayLate)
{
	int64_t late = sequence;

	for (int i = 1; i <= 5; i++) {
		EXPECT_EQ(RES_OK, announce("m1", 20, i));
		run(HEARTBEAT_MS / 2);
		EXPECT_EQ(RES_OK, announce("m1", 10, late + i));
		run(HEARTBEAT_MS / 2);
		EXPECT_EQ(20, record("m1")->incarnation);
	}
	ctl_remove_backend(c[leader()], ++last_ticket, "m1", now);
	handle_actions(leader());
	run(200);
	ASSERT_EQ(nullptr, record("m1"));
	for (int i = 6; i <= 12; i++) {
		announce("m1", 10, late + i);
		run(HEARTBEAT_MS);
		EXPECT_EQ(nullptr, record("m1"));
	}
}

/* Guards against a member that is revived by what a partition held back: these
 * arrive at once. */
TEST_F(OddEntries, HeldBackAnnouncementsStayLate)
{
	int64_t late = sequence;

	EXPECT_EQ(RES_OK, announce("m1", 20, 1, true));
	run(2 * instance_settings[0].silent_ms);
	for (int i = 1; i <= 6; i++)
		announce("m1", 10, late + i);
	EXPECT_EQ(20, record("m1")->incarnation);
	EXPECT_TRUE(record("m1")->leaving);
}
