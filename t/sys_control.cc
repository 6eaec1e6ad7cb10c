/* Tests control instances that run as processes. The members are stand-ins, and
 * the test itself plays the only proxy. */

#include <gtest/gtest.h>

#include <ev.h>

#include "lib_cluster.h"

extern "C" {
#include "link.h"
#include "settings.h"
#include "view.h"
}

using namespace cluster;

/* The proxy p1 that the test plays: asks the control instances for the state of
 * the cluster and announces the members that run. */
struct ProxyStandIn {
	Cluster &cluster;
	struct settings set = {};
	struct ev_loop *loop = ev_loop_new(0);
	struct link *links[3] = {};
	struct view *view = view_new("p1", "za");
	int64_t seq = 0, answer_seq_seen[3] = {}, ask_sent_ms[64] = {};
	int leader = -1, refused_answers = 0;
	int64_t last_answer_ms = 0, next_ask_ms = 0;
	bool announce_members = true;
	msg_applied applied = {};
	std::string applied_text;
	std::vector<std::string> cells;

	ProxyStandIn(Cluster &c) : cluster(c)
	{
		struct err e = {};
		struct link_handler h = {this, ignore_link_change, message,
					 ignore_link_change};
		std::string file = c.dir().path() + "/c1.json";

		if (settings_load(&set, file.c_str(), SETTINGS_ROLE_CONTROL,
				  &e))
			throw std::runtime_error(e.text);
		strcpy(set.id, "p1");
		for (int i = 0; i < 3; i++)
			links[i] = link_open(
				loop, &set, "proxy",
				c.addr("c" + std::to_string(i + 1)).c_str(), 1,
				&h);
	}
	~ProxyStandIn()
	{
		for (auto *l : links)
			link_free(l);
		view_free(view);
		ev_loop_destroy(loop);
	}
	static void ignore_link_change(void *, struct link *)
	{
	}
	static void message(void *arg, struct link *l, const struct msg *m)
	{
		((ProxyStandIn *)arg)->on_message(l, m);
	}
	void on_message(struct link *l, const struct msg *m)
	{
		int i = 0;

		while (links[i] != l)
			i++;
		if (m->type == MSG_ANSWER && m->u.answer.res)
			refused_answers++;
		else if (m->type == MSG_ANSWER)
			on_answer(i, &m->u.answer);
		else if (m->type == MSG_APPLIED) {
			applied = m->u.applied;
			applied_text.assign(m->u.applied.text.data,
					    m->u.applied.text.len);
		} else if (m->type == MSG_ROWS) {
			cells.clear();
			for (int64_t c = 0; c < m->u.rows.ncells; c++)
				cells.push_back(m->u.rows.cells[c].text.data);
		}
	}
	void on_answer(int i, const struct msg_answer *a)
	{
		view_apply_answer(view, a, ask_sent_ms[a->ask_seq % 64]);
		if (!a->ask_seq)
			return;
		leader = i;
		last_answer_ms = clk_now();
		answer_seq_seen[i] = a->answer_seq;
	}
	void ask()
	{
		std::vector<struct backend_info> list;
		struct msg m = {};

		for (auto &id : cluster.members("orders")) {
			struct backend_info b = {};

			if (!cluster.process(id).running() || !announce_members)
				continue;
			strcpy(b.id, id.c_str());
			strcpy(b.group, "orders");
			strcpy(b.addr, cluster.addr(id).c_str());
			strcpy(b.zone, cluster.zone_of(id).c_str());
			b.slots = 5;
			b.connection_limit = 30;
			list.push_back(b);
		}
		m.type = MSG_ASK;
		m.u.ask.seq = ++seq;
		m.u.ask.view_version = view_version(view);
		strcpy(m.u.ask.addr, "127.0.0.1:1");
		if (view_lists(view))
			m.u.ask.known_lists_version = view_lists(view)->version;
		m.u.ask.backend_announcements = list.data();
		m.u.ask.nbackend_announcements = (int64_t)list.size();
		ask_sent_ms[seq % 64] = clk_now();
		for (int i = 0; i < 3; i++) {
			m.u.ask.last_answer_seq = answer_seq_seen[i];
			link_send(links[i], &m);
		}
	}
	bool run(int ms, const std::function<bool()> &done)
	{
		return wait_until(ms, [&] {
			if (clk_now() >= next_ask_ms) {
				next_ask_ms = clk_now() + 100;
				ask();
			}
			ev_run(loop, EVRUN_NOWAIT);
			return done();
		});
	}
	bool wait_for_leader_answer(int ms)
	{
		int64_t since = clk_now();

		return run(ms, [&] { return last_answer_ms > since; });
	}
	const struct group_info *group()
	{
		return view_group(view, "orders");
	}
	int64_t term()
	{
		return group() ? group()->term : 0;
	}
	bool lease_valid()
	{
		return view_lease_valid(view, "orders", term(), clk_now());
	}
	bool wait_for_new_primary(int64_t old, int ms)
	{
		return run(ms, [&] { return term() > old && lease_valid(); });
	}
	/* Sends a configuration to the leader, again every 500 ms, until an
	 * instance that leads replies; returns the result. */
	int64_t apply(const char *id, const char *by, int64_t base,
		      const std::string &lists)
	{
		struct msg m = {};
		int64_t due = 0;

		m.type = MSG_APPLY;
		m.u.apply.seq = ++seq;
		strcpy(m.u.apply.request_id, id);
		strcpy(m.u.apply.operator_name, by);
		m.u.apply.base_version = base;
		m.u.apply.lists = {lists.data(), lists.size()};
		applied = {};
		run(10000, [&] {
			if (clk_now() >= due && leader >= 0) {
				due = clk_now() + 500;
				link_send(links[leader], &m);
			}
			return applied.seq == m.u.apply.seq &&
			       applied.res != RES_NOT_LEADER;
		});
		return applied.res;
	}
	bool query(const char *what)
	{
		struct msg m = {};

		m.type = MSG_QUERY;
		m.u.query.report_name = {what, strlen(what)};
		cells.clear();
		link_send(links[leader], &m);
		return run(5000, [&] { return !cells.empty(); });
	}
	std::string leader_name()
	{
		return "c" + std::to_string(leader + 1);
	}
};

struct Control : testing::Test {
	static Spec spec()
	{
		Spec s;

		s.proxies = 0;
		return s;
	}
	Cluster c{spec()};
	ProxyStandIn e{c};

	void SetUp() override
	{
		for (auto *id : {"c1", "c2", "c3"})
			c.start(id);
		c.start_members();
		ASSERT_TRUE(e.wait_for_leader_answer(10000))
			<< c.process("c1").log();
		ASSERT_TRUE(e.wait_for_new_primary(0, 10000))
			<< c.process(e.leader_name()).log();
	}
	std::string role(const std::string &id)
	{
		auto m = c.member(id);

		return m.exec("SELECT * FROM marjoramlatch_status()")
			.value("role");
	}
};

/* Guards against an accepted configuration that is lost, and against a request
 * that gets a different result when it is sent again. */
TEST_F(Control, DecidesBetweenOperatorsAndKeepsItOverRestarts)
{
	std::string one = default_lists(), two = default_lists();

	EXPECT_EQ(RES_OK, e.apply("r1", "anna", 0, one));
	EXPECT_EQ(1, e.applied.version);
	EXPECT_EQ(RES_CONFLICT, e.apply("r2", "bert", 0, two));
	EXPECT_STREQ("anna", e.applied.version_operator);
	EXPECT_NE("", e.applied_text);
	EXPECT_EQ(RES_BAD_LIST, e.apply("r3", "bert", 1, "{"));
	for (auto *id : {"c1", "c2", "c3"})
		c.process(id).kill();
	for (auto *id : {"c1", "c2", "c3"})
		c.start(id);
	ASSERT_TRUE(e.wait_for_leader_answer(10000));
	EXPECT_EQ(RES_OK, e.apply("r1", "anna", 0, one)) << "resent";
	EXPECT_EQ(RES_CONFLICT, e.apply("r2", "bert", 0, two)) << "resent";
	EXPECT_EQ(RES_OK, e.apply("r4", "bert", 1, two));
	EXPECT_EQ(2, e.applied.version);
	ASSERT_TRUE(e.run(5000, [&] {
		return view_lists(e.view) && view_lists(e.view)->version == 2;
	}));
	ASSERT_TRUE(e.query("log"));
	EXPECT_EQ("2", e.cells[4]);
	ASSERT_TRUE(e.query("status"));
	EXPECT_EQ("p1", e.cells[7]);
}

/* Guards against a failed primary that is not replaced, and against one that
 * returns as a second primary. */
TEST_F(Control, ReplacesAKilledPrimaryAndItsOwnLeader)
{
	for (int round = 0; round < 2; round++) {
		std::string old = e.group()->primary;
		int64_t term = e.term(), began = clk_now();

		c.process(old).kill();
		if (round)
			c.process(e.leader_name()).kill();
		ASSERT_TRUE(e.wait_for_new_primary(term, 15000));
		printf("interruption %lld ms\n",
		       (long long)(clk_now() - began));
		EXPECT_LT(clk_now() - began, 7000);
		EXPECT_NE(old, e.group()->primary);
		c.start(old);
		EXPECT_TRUE(e.run(10000, [&] {
			return role(old) == "replica" &&
			       role(e.group()->primary) == "primary";
		}));
	}
}

/* Guards against a control instance that lost its disk but still counts as a
 * voter, and against a second failure right after the repair that stops the
 * cluster. */
TEST_F(Control, ReplacesALostDiskAndSurvivesTheNextFailure)
{
	int lost = (e.leader + 1) % 3;
	std::string id = "c" + std::to_string(lost + 1);

	ASSERT_EQ(RES_OK, e.apply("r1", "anna", 0, default_lists()));
	c.kill_and_delete_data(id);
	c.start(id);
	ASSERT_TRUE(e.run(10000, [&] {
		return c.process(e.leader_name())
			       .log()
			       .find("event=member_added") != std::string::npos;
	}));
	c.process(e.leader_name()).kill();
	ASSERT_TRUE(e.wait_for_leader_answer(10000));
	EXPECT_EQ(RES_OK, e.apply("r1", "anna", 0, default_lists()));
	EXPECT_EQ(1, e.applied.version);
}

/* Guards against a planned stop of the leader after which the others wait for
 * an election timeout. */
TEST_F(Control, StopsWithStatusZeroAndHandsOver)
{
	std::string old = e.leader_name();
	int64_t began = clk_now();

	c.process(old).terminate();
	EXPECT_EQ(0, c.process(old).wait(5000));
	ASSERT_TRUE(e.run(5000, [&] {
		return e.last_answer_ms > began + 10 && e.leader_name() != old;
	}));
	EXPECT_TRUE(e.lease_valid()) << "leases lapsed";
}

/* Guards against work that is lost when a primary announces that it leaves. */
TEST_F(Control, MovesAwayFromAPrimaryThatLeaves)
{
	std::string old = e.group()->primary;
	int64_t term = e.term();
	struct msg m = {};
	struct backend_info b = *view_backend(e.view, old.c_str());

	b.leaving = true;
	m.type = MSG_ASK;
	m.u.ask.seq = ++e.seq;
	strcpy(m.u.ask.addr, "127.0.0.1:1");
	m.u.ask.backend_announcements = &b;
	m.u.ask.nbackend_announcements = 1;
	link_send(e.links[e.leader], &m);
	ASSERT_TRUE(e.wait_for_new_primary(term, 10000));
	EXPECT_NE(old, e.group()->primary);
}
