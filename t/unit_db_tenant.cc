#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <deque>
#include <string>
#include <vector>

#include "lib_loopback.h"

extern "C" {
#include "counter.h"
#include "db_priv.h"
#include "settings.h"
}

namespace
{

/* A member that the test plays. It answers statements at once, unless it is
 * told to hold them. */
struct Member {
	struct Conn {
		Member *member;
		struct net_conn *net;
		std::string tenant;
		bool held = false; /* a statement awaits its answer */
		bool open = true;
		char txn = 'I';
	};

	std::string addr = loopback::free_addr();
	struct ev_loop *loop = nullptr;
	struct net_listener *listener = nullptr;
	std::deque<Conn> conns;
	std::vector<std::string> ran; /* "tenant text" of each statement */
	std::vector<std::string> startups;
	int limit = 100, most = 0, refused = 0;
	bool holds = false, holds_startup = false;

	int open() const
	{
		return (int)std::count_if(
			conns.begin(), conns.end(), [](const Conn &c) {
				return c.open && !c.tenant.empty();
			});
	}

	void listen(struct ev_loop *l)
	{
		struct err e = ERR_INIT;

		loop = l;
		ASSERT_EQ(RES_OK, net_listen(&listener, l, addr.c_str(),
					     on_accept, this, &e));
	}

	void stop()
	{
		for (Conn &c : conns)
			if (c.open)
				net_free(c.net);
		net_listener_free(listener);
	}

	static void on_accept(void *arg, int fd)
	{
		Member *m = (Member *)arg;
		struct net_handler h = {};

		m->conns.emplace_back();
		m->conns.back().member = m;
		h.arg = &m->conns.back();
		h.on_read = on_read;
		h.on_close = on_close;
		m->conns.back().net = net_from_accepted(m->loop, fd, &h);
	}

	static void on_close(void *arg)
	{
		Conn *c = (Conn *)arg;

		c->open = false;
		net_free(c->net);
	}

	void answer(Conn &c, const std::string &text)
	{
		if (!c.open)
			return;
		buf_addf(net_output(c.net), "%s\r\n", text.c_str());
		net_flush(c.net);
	}

	void ready(Conn &c)
	{
		answer(c, std::string("READY ") + c.txn + " 1.1");
	}

	void take_startup(Conn &c, const std::string &line)
	{
		size_t at = line.find(' ', 8) + 1;
		std::string tenant = line.substr(at, line.find(' ', at) - at);

		if (open() >= limit) {
			refused++;
			answer(c, "ERROR CONNLIMIT full");
			return;
		}
		c.tenant = tenant;
		startups.push_back(line);
		most = std::max(most, open());
		if (!holds_startup)
			ready(c);
	}

	void take_statement(Conn &c, const std::string &line)
	{
		std::string text = line.substr(line.find(' ', 6) + 1);

		if (text == "BEGIN") {
			c.txn = 'T';
			ready(c);
			return;
		}
		if (text == "ROLLBACK" || text == "COMMIT")
			c.txn = 'I';
		ran.push_back(c.tenant + " " + text);
		c.held = holds;
		if (!holds)
			finish(c);
	}

	void finish(Conn &c)
	{
		c.held = false;
		answer(c, "COMPLETE -");
		ready(c);
	}

	void release()
	{
		holds = holds_startup = false;
		for (Conn &c : conns)
			if (c.held)
				finish(c);
	}

	static void on_read(void *arg)
	{
		Conn *c = (Conn *)arg;
		struct buf *in = net_input(c->net);
		std::string all(buf_data(in), buf_len(in));
		size_t end;

		for (size_t at = 0;
		     (end = all.find("\r\n", at)) != std::string::npos;
		     at = end + 2) {
			std::string line = all.substr(at, end - at);

			buf_consume(in, line.size() + 2);
			if (line.rfind("STARTUP ", 0) == 0)
				c->member->take_startup(*c, line);
			else
				c->member->take_statement(*c, line);
		}
	}
};

struct Job {
	struct sctx ctx = {};
	struct db_job job = {};
	std::string text;
	bool done = false;
	enum db_status status = DB_LOST;
	clk_ms retry_ms = 0;
	struct db_conn *conn = nullptr;

	Job(const char *tenant, const char *what) : text(what)
	{
		job.ctx = &ctx;
		snprintf(job.tenant, ID_LEN, "%s", tenant);
		job.id = {"1", 1};
		job.text = {text.c_str(), text.size()};
		job.done = [](struct db_job *j, const struct db_result *r) {
			Job *self = (Job *)j->arg;

			self->done = true;
			self->status = r->status;
			self->retry_ms = r->retry_ms;
			self->conn = r->conn;
		};
		job.arg = this;
	}
};

uint64_t counted(const char *name)
{
	std::pair<const char *, uint64_t> p = {name, 0};

	cnt_each(
		[](void *arg, const char *n, uint64_t value) {
			auto *q = (std::pair<const char *, uint64_t> *)arg;

			if (!strcmp(n, q->first))
				q->second = value;
		},
		&p);
	return p.second;
}

} // namespace

/* A member with six slots, and a proxy whose share of its connections is two.
 */
struct DbTenant : testing::Test {
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	Member member;
	struct settings set = {};
	struct db *db = db_new(loop, &set);
	struct db_member *m = nullptr;
	std::deque<Job> jobs;

	void SetUp() override
	{
		struct backend_info b = {};

		member.listen(loop);
		strcpy(b.id, "m0");
		strcpy(b.group, "orders");
		snprintf(b.addr, ADDR_LEN, "%s", member.addr.c_str());
		b.slots = 6;
		db_update(db, &b, 1);
		m = db_find(db, "m0");
		m->by_tenant = true;
		m->own_conns_percent = 200;
	}

	void TearDown() override
	{
		db_free(db);
		member.stop();
		ev_loop_destroy(loop);
	}

	Job &start(const char *tenant, const char *text = "READ x",
		   bool begin = false, int64_t priority = 0)
	{
		jobs.emplace_back(tenant, text);
		jobs.back().job.begin = begin;
		jobs.back().job.priority = priority;
		db_start(m, &jobs.back().job, clk_now());
		return jobs.back();
	}

	bool run_until(const std::function<bool()> &done)
	{
		return loopback::run_until(loop, [&] {
			db_tick(db, clk_now());
			return done();
		});
	}

	Job &run(const char *tenant, const char *text = "READ x",
		 bool begin = false)
	{
		Job &j = start(tenant, text, begin);

		EXPECT_TRUE(run_until([&] { return j.done; })) << tenant;
		EXPECT_EQ(DB_DONE, j.status);
		return j;
	}

	void settle()
	{
		for (int i = 0; i < 40; i++) {
			ev_run(loop, EVRUN_NOWAIT);
			usleep(1000);
		}
	}
};

/* Guards against a statement that a member runs under another name than that of
 * its tenant, and against new connections where one is open. */
TEST_F(DbTenant, AConnectionRunsOnlyItsTenantsJobs)
{
	uint64_t found = counted("backend_conn_found");

	m->own_conns_percent = 400;
	for (const char *t : {"a", "b", "", "b", "a", "", "a"})
		run(t);
	std::vector<std::string> want = {"STARTUP orders a m0",
					 "STARTUP orders b m0",
					 "STARTUP orders marjoramlatch m0"};
	EXPECT_EQ(want, member.startups);
	want = {"a READ x", "b READ x", "marjoramlatch READ x",
		"b READ x", "a READ x", "marjoramlatch READ x",
		"a READ x"};
	EXPECT_EQ(want, member.ran);
	EXPECT_EQ(4u, counted("backend_conn_found") - found);
}

/* Guards against a tenant's job on any idle connection at a proxy that has not
 * heard yet that there are tenants, as the sender of the job has. */
TEST_F(DbTenant, ATenantCountsBeforeTheConfigurationCame)
{
	m->by_tenant = false;
	run("");
	run("a");
	run("");
	std::vector<std::string> want = {"marjoramlatch READ x", "a READ x",
					 "marjoramlatch READ x"};
	EXPECT_EQ(want, member.ran);
}

/* Without tenants, any idle connection serves, and no second one is kept. */
TEST_F(DbTenant, WithoutTenantsConnectionsAreKeptAsBefore)
{
	m->by_tenant = false;
	m->own_conns_percent = 400;
	member.holds = true;
	start("");
	start("");
	ASSERT_TRUE(run_until([&] { return member.ran.size() == 2; }));
	member.release();
	ASSERT_TRUE(run_until([&] { return jobs[0].done && jobs[1].done; }));
	run("");
	EXPECT_EQ(2u, member.startups.size());
	EXPECT_EQ("STARTUP orders marjoramlatch m0", member.startups[0]);
	db_tick(db, clk_now() + DB_SPARE_IDLE_MS);
	EXPECT_EQ(1, m->nconns);
	db_tick(db, clk_now() + DB_IDLE_MS);
	EXPECT_EQ(0, m->nconns);
}

/* Guards against a new connection that is opened before the old one is closed:
 * the member counts both. */
TEST_F(DbTenant, AReplacedConnectionIsClosedFirst)
{
	uint64_t replaced = counted("backend_conn_replaced");

	for (const char *t : {"a", "b", "c", "a", "c"})
		run(t);
	EXPECT_EQ(2, member.most);
	EXPECT_EQ(4u, member.startups.size()) << "c kept its connection";
	EXPECT_EQ(2u, counted("backend_conn_replaced") - replaced);
}

/* Guards against a transaction that loses its connection to another tenant. */
TEST_F(DbTenant, ATransactionKeepsItsConnection)
{
	Job &a = run("a", "WRITE x 1", true);
	Job &b = run("b", "WRITE y 1", true);

	ASSERT_NE(nullptr, a.conn);
	run("c");
	run("d");
	run("e");
	EXPECT_EQ(3, member.most) << "one beyond the share is passed on";
	jobs.emplace_back("a", "READ x");
	db_continue(a.conn, &jobs.back().job, clk_now());
	EXPECT_TRUE(run_until([&] { return jobs.back().done; }));
	EXPECT_EQ("a READ x", member.ran.back());
	EXPECT_NE(nullptr, jobs.back().conn);
	db_roll_back_kept(b.conn);
}

/* Guards against a job whose tenant has no connection that holds up all others,
 * and against another order of those than by priority. */
TEST_F(DbTenant, AJobThatWaitsHoldsUpNoOtherTenant)
{
	member.holds = true;
	Job &first = start("a");
	ASSERT_TRUE(run_until([&] { return member.ran.size() == 1; }));
	m->conn_limit_until = clk_now() + 60000; /* no connection can be had */
	Job &waits = start("b", "READ first");
	Job &low = start("a", "READ low", false, 2);
	Job &high = start("a", "READ high", false, 1);
	member.release();
	ASSERT_TRUE(run_until([&] { return first.done && low.done; }));
	EXPECT_TRUE(high.done);
	EXPECT_FALSE(waits.done);
	std::vector<std::string> want = {"a READ x", "a READ high",
					 "a READ low"};
	EXPECT_EQ(want, member.ran);
	m->conn_limit_until = 0;
	EXPECT_TRUE(run_until([&] { return waits.done; }));
	EXPECT_EQ("b READ first", member.ran.back());
}

/* The pattern of a runner's failure: all of its tenants come at once. Guards
 * against new connections that occupy all slots of the member, and against a
 * tenant that is not served. */
TEST_F(DbTenant, ManyTenantsAtOnceAreAllServed)
{
	m->own_conns_percent = 800;
	for (int i = 0; i < 24; i++)
		start(("t" + std::to_string(i)).c_str());
	EXPECT_TRUE(run_until([&] {
		EXPECT_LE(m->opening, 2);
		return std::all_of(jobs.begin(), jobs.end(),
				   [](const Job &j) { return j.done; });
	}));
	EXPECT_LE(member.most, 8 + DB_EXTRA_CONNS);
	EXPECT_EQ(24u, member.ran.size());
}

/* Guards against a tenant that waits in vain at a member that accepts no more
 * connections, although this proxy has one that it does not use. */
TEST_F(DbTenant, AtTheMembersLimitOneIsReplaced)
{
	m->own_conns_percent = 400;
	member.limit = 2;
	run("a");
	run("b");
	run("c");
	EXPECT_EQ(2, member.most);
	EXPECT_GE(member.refused, 1);
	EXPECT_LE(member.refused, 2);
}

/* Connections inside the share are kept for DB_IDLE_MS, those beyond it are
 * closed after DB_EXTRA_IDLE_MS, the least recently used first. */
TEST_F(DbTenant, IdleConnectionsOfTheShareAreKept)
{
	member.holds = true;
	for (const char *t : {"a", "b", "c"})
		start(t);
	ASSERT_TRUE(run_until([&] { return member.ran.size() == 3; }));
	member.release();
	ASSERT_TRUE(run_until(
		[&] { return jobs[0].done && jobs[1].done && jobs[2].done; }));
	settle();
	run("a");
	clk_ms now = clk_now();
	db_tick(db, now + DB_EXTRA_IDLE_MS - 100);
	EXPECT_EQ(3, m->nconns);
	db_tick(db, now + DB_EXTRA_IDLE_MS);
	EXPECT_EQ(2, m->nconns);
	db_tick(db, now + DB_IDLE_MS - 1000);
	EXPECT_EQ(2, m->nconns);
	struct db_conn_counts n = db_count_conns(m);
	EXPECT_EQ(2, n.idle);
	EXPECT_EQ(2, n.tenants);
	db_tick(db, now + DB_IDLE_MS);
	EXPECT_EQ(0, m->nconns);
}

/* A connection that is being opened occupies a slot like a statement. */
TEST_F(DbTenant, OpeningCountsAsAStatement)
{
	m->sharing_proxies = 4;
	m->running = 5;
	EXPECT_TRUE(db_may_run(m, clk_now()));
	m->opening = 1;
	EXPECT_FALSE(db_may_run(m, clk_now()));
	m->running = m->opening = 0;
}

/* Guards against idle slots where the tenants of one proxy cause most of the
 * load, and against proxies that together overload a member: while it is
 * overloaded, each has only its part. */
TEST_F(DbTenant, AProxyMayUseTheSlotsThatOthersLeave)
{
	auto max_running = [&] {
		int n = 0;

		for (m->running = 0; db_may_run(m, clk_now()); m->running++)
			n++;
		m->running = 0;
		return n;
	};

	m->sharing_proxies = 4;
	EXPECT_EQ(6, max_running());
	m->overloaded_until = clk_now() + 10000;
	EXPECT_EQ(3, max_running());
	m->overloaded_until = 0;
	m->by_tenant = false;
	EXPECT_EQ(3, max_running());
	m->by_tenant = true;
	m->sharing_proxies = 1;
	EXPECT_EQ(12, max_running()) << "alone it uses as much as before";
}

/* Guards against a tenant with many waiting jobs that holds up another one of
 * the same priority. */
TEST_F(DbTenant, TenantsTakeTurns)
{
	m->own_conns_percent = 800;
	m->sharing_proxies = 12; /* one statement at a time while overloaded */
	m->overloaded_until = clk_now() + 60000;
	run("b");
	member.holds = true;
	start("a", "READ first");
	ASSERT_TRUE(run_until([&] { return member.ran.size() == 2; }));
	for (int i = 0; i < 4; i++)
		start("a", "READ more");
	Job &b = start("b", "READ other");
	member.release();
	ASSERT_TRUE(run_until([&] { return b.done; }));
	EXPECT_LE(member.ran.size(), 4u) << "one of a's at most came before";
}

/* Guards against a job that waits for nothing until its limit: as soon as
 * answers are known to take longer, also those to canceled jobs, it is refused.
 * Without the setting, none is. */
TEST_F(DbTenant, AJobThatCannotEndInTimeIsRefused)
{
	m->sharing_proxies = 12;
	m->overloaded_until = clk_now() + 60000;
	for (bool pacing : {true, false}) {
		set.pacing = pacing;
		member.holds = true;
		Job &held = start("a");
		size_t n = member.ran.size();
		ASSERT_TRUE(run_until([&] { return member.ran.size() > n; }));
		jobs.emplace_back("a", "READ late");
		Job &waits = jobs.back();
		waits.job.deadline = clk_now() + 1000;
		db_start(m, &waits.job, clk_now());
		for (int i = 0; i < JOBQ_MIN_ANSWERS; i++)
			jobq_learn(m->queue, 0, 3000, clk_now());
		settle();
		db_tick(db, clk_now());
		EXPECT_EQ(pacing, waits.done);
		EXPECT_EQ(pacing, waits.retry_ms >= JOBQ_RETRY_MIN_MS);
		db_cancel(&held.job);
		member.release();
		EXPECT_TRUE(run_until([&] { return waits.done; }));
		EXPECT_EQ(pacing ? DB_REFUSED : DB_DONE, waits.status);
	}
	EXPECT_EQ(1, std::count(member.ran.begin(), member.ran.end(),
				"a READ late"));
}

/* Guards against an estimate without the long answers, whose callers gave up.
 */
TEST_F(DbTenant, AnswersToCanceledJobsCount)
{
	for (bool by_tenant : {false, true}) {
		m->by_tenant = by_tenant;
		for (int i = 0; i < JOBQ_MIN_ANSWERS; i++) {
			size_t n = member.ran.size();

			member.holds = true;
			start("");
			ASSERT_TRUE(run_until(
				[&] { return member.ran.size() > n; }));
			usleep(2000);
			db_cancel(&jobs.back().job);
			member.release();
			ASSERT_TRUE(run_until([&] { return !m->running; }));
		}
		EXPECT_EQ(by_tenant,
			  jobq_service_ms(m->queue, 0, clk_now()) > 1);
	}
}
