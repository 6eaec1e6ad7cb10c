#include <gtest/gtest.h>

#include <sodium.h>

#include <deque>
#include <functional>
#include <string>
#include <vector>

#include "lib_loopback.h"

extern "C" {
#include "link.h"
#include "relay_priv.h"
#include "settings.h"
}

namespace
{

/* A runner that the test plays. */
struct Runner {
	struct settings settings = {};
	struct link_server *server = nullptr;
	struct link *proxy_link = nullptr;
	std::vector<struct msg_job> jobs; /* received; only numbers are valid */

	static void on_up(void *arg, struct link *l)
	{
		((Runner *)arg)->proxy_link = l;
	}

	static void on_down(void *arg, struct link *)
	{
		((Runner *)arg)->proxy_link = nullptr;
	}

	static void on_message(void *arg, struct link *, const struct msg *m)
	{
		if (m->type == MSG_JOB)
			((Runner *)arg)->jobs.push_back(m->u.job);
	}

	void listen(struct ev_loop *loop)
	{
		struct link_handler h = {};
		struct err e = ERR_INIT;

		h.arg = this;
		h.on_up = on_up;
		h.on_message = on_message;
		h.on_down = on_down;
		ASSERT_EQ(RES_OK, link_listen(&server, loop, &settings, "proxy",
					      2, &h, &e));
	}

	void stop()
	{
		link_server_free(server);
		server = nullptr;
	}

	/* Sends the result of a job. */
	void end_job(int64_t number, enum db_status status, int64_t pin)
	{
		struct msg m;
		struct msg_job_end *out = &m.u.job_end;

		memset(&m, 0, sizeof(m));
		m.type = MSG_JOB_END;
		out->job_number = number;
		out->status = status;
		out->sent = status == DB_DONE;
		out->txn_status_char = pin ? 'T' : 'I';
		out->kept_conn_id = pin;
		for (struct blob *b : {&out->member_error_code,
				       &out->member_error_text, &out->answer})
			*b = {"", 0};
		link_send(proxy_link, &m);
	}

	void lose_pin(int64_t number)
	{
		struct msg m = {};

		m.type = MSG_PIN_LOST;
		m.u.pin_lost.kept_conn_id = number;
		link_send(proxy_link, &m);
	}
};

/* A statement of a session: its job, and the transaction's connection. */
struct Statement {
	struct sctx ctx = {};
	struct db_job job = {};
	std::vector<struct db_result> results;
	struct relay_pin *pin = nullptr;
	int lost = 0; /* calls that said that the connection is lost */

	Statement()
	{
		job.ctx = &ctx;
		job.done = on_done;
		job.arg = this;
	}

	static void on_done(struct db_job *j, const struct db_result *r)
	{
		((Statement *)j->arg)->results.push_back(*r);
	}

	static void on_lost(void *arg)
	{
		((Statement *)arg)->pin = nullptr;
		((Statement *)arg)->lost++;
	}
};

} // namespace

/* A proxy "p1", its runner "p2" for members of its own zone, and its runner
 * "p3" for those of another zone. */
struct Relay : testing::Test {
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct settings proxy_settings = {};
	Runner near, far;
	struct db *db = nullptr;
	struct relay *relay = nullptr;
	std::deque<Statement> statements; /* relay_free() ends them */

	Statement &statement()
	{
		statements.emplace_back();
		return statements.back();
	}

	bool run_until(const std::function<bool()> &done)
	{
		return loopback::run_until(loop, done);
	}

	void set_identity(struct settings *s, const char *id, const char *zone)
	{
		snprintf(s->id, ID_LEN, "%s", id);
		snprintf(s->zone, ID_LEN, "%s", zone);
		snprintf(s->link, ADDR_LEN, "%s",
			 loopback::free_addr().c_str());
	}

	void SetUp() override
	{
		const struct settings *all[] = {&proxy_settings, &near.settings,
						&far.settings};
		struct backend_info b[2] = {};
		struct proxy_info list[3] = {};
		struct err e = ERR_INIT;

		ASSERT_GE(sodium_init(), 0);
		set_identity(&proxy_settings, "p1", "za");
		set_identity(&near.settings, "p2", "za");
		set_identity(&far.settings, "p3", "zb");
		db = db_new(loop, &proxy_settings);
		for (int i = 0; i < 2; i++) {
			snprintf(b[i].id, ID_LEN, "m%d", i);
			snprintf(b[i].zone, ID_LEN, i ? "zb" : "za");
			snprintf(b[i].addr, ADDR_LEN, "127.0.0.1:1");
		}
		db_update(db, b, 2);
		near.listen(loop);
		far.listen(loop);
		ASSERT_EQ(RES_OK,
			  relay_new(&relay, loop, &proxy_settings, db, 1, &e));
		for (int i = 0; i < 3; i++) {
			memcpy(list[i].id, all[i]->id, ID_LEN);
			memcpy(list[i].zone, all[i]->zone, ID_LEN);
			memcpy(list[i].addr, all[i]->link, ADDR_LEN);
			list[i].alive = true;
		}
		relay_take_proxies(relay, list, 3, 2);
		ASSERT_TRUE(run_until(
			[&] { return near.proxy_link && far.proxy_link; }));
	}

	void TearDown() override
	{
		relay_free(relay);
		link_server_free(near.server);
		link_server_free(far.server);
		db_free(db);
		ev_loop_destroy(loop);
	}

	/* Starts a job at a runner, which the member's zone and the slice
	 * select, and waits until the runner has it. */
	void start(Runner &runner, Statement &s)
	{
		bool is_near = &runner == &near;
		size_t had = runner.jobs.size();
		bool started = false;

		EXPECT_TRUE(run_until([&] {
			started =
				started ||
				relay_start(relay,
					    db_find(db, is_near ? "m0" : "m1"),
					    is_near, &s.job, clk_now() + 1000,
					    clk_now());
			return runner.jobs.size() > had;
		}));
	}

	/* Starts a job and ends it with a kept connection of that number. */
	void pin_connection(Runner &runner, Statement &s, int64_t number)
	{
		start(runner, s);
		ASSERT_FALSE(runner.jobs.empty());
		runner.end_job(runner.jobs.back().job_number, DB_DONE, number);
		ASSERT_TRUE(run_until([&] { return s.results.size() == 1; }));
		s.pin = s.results.back().pin;
		ASSERT_NE(nullptr, s.pin);
		relay_on_lost(s.pin, Statement::on_lost, &s);
	}

	/* Runs the transaction's next statement; returns the kept connection
	 * that the runner was asked to use. */
	int64_t continue_txn(Runner &runner, Statement &s)
	{
		size_t had = runner.jobs.size();

		if (!s.pin)
			return -1;
		relay_continue(s.pin, &s.job, clk_now() + 1000, clk_now());
		EXPECT_TRUE(
			run_until([&] { return runner.jobs.size() > had; }));
		return runner.jobs.back().kept_conn_id;
	}
};

/* Guards against a segmentation fault of the proxy. Its runner reported that
 * the connection of a transaction was lost while the transaction's next
 * statement was on its way to the runner. The proxy freed its record of the
 * connection at once, and again when the statement ended (Threlfall grown,
 * fresh-c88b). */
TEST_F(Relay, AStatementOutlivesThatItsConnectionWasLost)
{
	Statement &s = statement();

	pin_connection(near, s, 7);
	continue_txn(near, s);
	near.lose_pin(7);
	near.end_job(near.jobs.back().job_number, DB_LOST, 0);
	ASSERT_TRUE(run_until([&] { return s.results.size() == 2; }));
	EXPECT_EQ(DB_LOST, s.results.back().status);
	EXPECT_FALSE(s.results.back().sent);
	EXPECT_EQ(nullptr, s.results.back().pin);
}

/* If the connection is lost between two statements, the session is notified
 * immediately. */
TEST_F(Relay, ALostConnectionIsTold)
{
	Statement &s = statement();

	pin_connection(near, s, 7);
	near.lose_pin(7);
	EXPECT_TRUE(run_until([&] { return s.lost == 1; }));
}

/* Guards against a statement that runs in another caller's transaction. Each
 * runner numbers the connections that it keeps by itself; when one reports a
 * number as lost, the transaction of that number at another runner goes on. */
TEST_F(Relay, ALostConnectionOfOneRunnerIsNoneOfAnother)
{
	Statement &a = statement();
	Statement &b = statement();

	pin_connection(near, a, 7);
	pin_connection(far, b, 7);
	near.lose_pin(7);
	ASSERT_TRUE(run_until([&] { return a.lost + b.lost > 0; }));
	EXPECT_EQ(1, a.lost);
	EXPECT_EQ(0, b.lost);
	EXPECT_EQ(7, continue_txn(far, b));
}

/* The same where the link to a runner goes down. All transactions at that
 * runner end, and none elsewhere; the numbers of the runner are given anew
 * after its restart. Also guards against a use after free while the ended ones
 * are removed. */
TEST_F(Relay, ALostRunnerEndsItsOwnTransactionsOnly)
{
	static constexpr int N = 6;
	std::vector<Statement *> a, b;

	for (int i = 0; i < N; i++) {
		a.push_back(&statement());
		b.push_back(&statement());
		pin_connection(near, *a[i], 10 + i);
		pin_connection(far, *b[i], 10 + N - 1 - i);
	}
	near.stop();
	EXPECT_TRUE(run_until([&] {
		int lost = 0;

		for (int i = 0; i < N; i++)
			lost += a[i]->lost + b[i]->lost;
		return lost >= N;
	}));
	for (int i = 0; i < N; i++) {
		EXPECT_EQ(1, a[i]->lost) << i;
		EXPECT_EQ(0, b[i]->lost) << i;
		EXPECT_EQ(10 + N - 1 - i, continue_txn(far, *b[i])) << i;
	}
}

/* A job's result counts only if it comes from the runner that has the job. */
TEST_F(Relay, AnotherRunnersResultIsNoneOfTheJob)
{
	Statement &a = statement();
	Statement &b = statement();

	start(near, a);
	start(far, b);
	far.end_job(near.jobs.back().job_number, DB_DONE, 0);
	far.end_job(far.jobs.back().job_number, DB_DONE, 0);
	ASSERT_TRUE(run_until([&] { return b.results.size() == 1; }));
	EXPECT_TRUE(a.results.empty());
	near.end_job(near.jobs.back().job_number, DB_DONE, 0);
	EXPECT_TRUE(run_until([&] { return a.results.size() == 1; }));
}

/* Jobs of tenants, with one slice: "p1", which is this proxy, and "p2" run
 * those for members of the zone "za", "p3" and "p4" those for "zb". */
struct RelayTenants : Relay {
	static constexpr int TENANTS = 12;

	Runner fourth;
	struct proxy_info list[4] = {};

	void SetUp() override
	{
		const struct settings *all[] = {&proxy_settings, &near.settings,
						&far.settings,
						&fourth.settings};

		Relay::SetUp();
		set_identity(&fourth.settings, "p4", "zb");
		fourth.listen(loop);
		for (int i = 0; i < 4; i++) {
			memcpy(list[i].id, all[i]->id, ID_LEN);
			memcpy(list[i].zone, all[i]->zone, ID_LEN);
			memcpy(list[i].addr, all[i]->link, ADDR_LEN);
			list[i].alive = true;
		}
		relay_take_proxies(relay, list, 4, 1);
		ASSERT_TRUE(run_until([&] {
			return start("", "m1") &&
			       (far.jobs.size() || fourth.jobs.size());
		}));
	}

	void TearDown() override
	{
		fourth.stop();
		Relay::TearDown();
	}

	/* The runner that this proxy uses for jobs without a tenant, and the
	 * other one of the zone. */
	Runner &own()
	{
		return far.jobs.size() && !far.jobs[0].tenant[0] ? far : fourth;
	}

	Runner &other()
	{
		return &own() == &far ? fourth : far;
	}

	bool start(const std::string &tenant, const char *member)
	{
		Statement &s = statement();

		snprintf(s.job.tenant, ID_LEN, "%s", tenant.c_str());
		return relay_start(relay, db_find(db, member), 0, &s.job,
				   clk_now() + 1000, clk_now());
	}

	/* Starts a job and returns the runner that got it. */
	Runner *find(const std::string &tenant, const char *member)
	{
		std::vector<Runner *> all = {&near, &far, &fourth};
		std::vector<size_t> had;
		Runner *got = nullptr;

		for (Runner *r : all)
			had.push_back(r->jobs.size());
		if (!start(tenant, member))
			return nullptr;
		EXPECT_TRUE(run_until([&] {
			for (size_t i = 0; i < all.size(); i++)
				if (all[i]->jobs.size() > had[i])
					got = all[i];
			return got != nullptr;
		}));
		return got;
	}

	static std::string name(int i)
	{
		return "tenant" + std::to_string(i);
	}

	/* A tenant whose jobs for a member in "zb" the other runner gets. */
	std::string tenant_of_other()
	{
		for (int i = 0; i < TENANTS; i++)
			find(name(i), "m1");
		EXPECT_TRUE(run_until([&] { return other().proxy_link; }));
		settle();
		for (int i = 0; i < TENANTS; i++)
			if (find(name(i), "m1") == &other())
				return name(i);
		return "";
	}

	void settle()
	{
		for (int i = 0; i < 50; i++) {
			ev_run(loop, EVRUN_NOWAIT);
			usleep(1000);
		}
	}
};

/* Guards against connections of a tenant at several proxies of a slice and
 * zone, of which each has too few for all tenants, against a link to each proxy
 * from the start, and against jobs that wait until a link is up. */
TEST_F(RelayTenants, ATenantsJobsGoToOneRunner)
{
	int here = 0, at_other = 0;

	EXPECT_EQ(nullptr, other().proxy_link);
	for (int i = 0; i < TENANTS; i++)
		EXPECT_TRUE(start(name(i), "m1"));
	EXPECT_TRUE(run_until([&] { return own().jobs.size() > TENANTS; }))
		<< "no other link is up yet";
	ASSERT_NE("", tenant_of_other());
	for (int i = 0; i < TENANTS; i++) {
		Runner *r = find(name(i), "m1");

		at_other += r == &other();
		EXPECT_TRUE(r == &own() || r == &other());
		EXPECT_EQ(r, find(name(i), "m1")) << name(i);
		EXPECT_STREQ(name(i).c_str(), r->jobs.back().tenant);
	}
	EXPECT_GT(at_other, 0);
	EXPECT_LT(at_other, TENANTS);
	/* This proxy is one of the runners of its own zone. */
	for (int i = 0; i < TENANTS; i++)
		EXPECT_FALSE(start(name(i), "m0")) << "no link is up yet";
	EXPECT_TRUE(run_until([&] { return near.proxy_link; }));
	settle();
	for (int i = 0; i < TENANTS; i++) {
		Runner *r = find(name(i), "m0");

		here += !r;
		EXPECT_TRUE(!r || r == &near);
		EXPECT_EQ(r, find(name(i), "m0")) << name(i);
	}
	EXPECT_GT(here, 0);
	EXPECT_LT(here, TENANTS);
	EXPECT_EQ(nullptr, find("", "m0")) << "those without a tenant run here";
}

/* When a runner fails, the jobs under way there end, and its tenants' next jobs
 * go to another one at once; also after control has noticed. */
TEST_F(RelayTenants, AnotherRunnerTakesTheTenantsOfAFailedOne)
{
	std::string tenant = tenant_of_other();
	Statement &waits = statements.back();

	ASSERT_NE("", tenant);
	other().stop();
	EXPECT_TRUE(run_until([&] { return !waits.results.empty(); }));
	EXPECT_EQ(DB_LOST, waits.results.back().status);
	EXPECT_TRUE(waits.results.back().sent) << "it may have run";
	EXPECT_EQ(&own(), find(tenant, "m1"));
	list[&other() == &far ? 2 : 3].alive = false;
	relay_take_proxies(relay, list, 4, 1);
	EXPECT_EQ(&own(), find(tenant, "m1"));
	EXPECT_EQ(1, relay_count_live_runners(relay, "zb", 0));
}

/* Guards against links, and their pings, to the runners of all tenants that
 * were ever active here, and against a link that is closed while a job is under
 * way. */
TEST_F(RelayTenants, AnUnusedLinkIsClosed)
{
	std::string tenant = tenant_of_other();
	struct relay_runner *g = relay->runners;

	ASSERT_NE("", tenant);
	while (strcmp(g->id, other().settings.id) != 0)
		g = g->next;
	EXPECT_GT(g->keep_until, clk_now() + RELAY_LINK_IDLE_MS - 5000);
	g->keep_until = clk_now();
	settle();
	EXPECT_NE(nullptr, other().proxy_link) << "jobs are under way";
	for (const struct msg_job &j : other().jobs)
		other().end_job(j.job_number, DB_DONE, 0);
	EXPECT_TRUE(run_until([&] { return !other().proxy_link; }));
	EXPECT_NE(nullptr, own().proxy_link) << "its link is always open";
}
