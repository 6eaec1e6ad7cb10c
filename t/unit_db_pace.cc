#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <deque>
#include <functional>
#include <string>

#include "lib_loopback.h"

extern "C" {
#include "db_priv.h"
#include "settings.h"
}

namespace
{

/* A member of six slots that the test plays. It holds statements until
 * release(), or refuses them. */
struct Member {
	struct Conn {
		Member *member;
		struct net_conn *net;
		bool held = false, open = true;
	};

	std::string addr = loopback::free_addr();
	struct ev_loop *loop = nullptr;
	struct net_listener *listener = nullptr;
	std::deque<Conn> conns;
	const char *error = nullptr; /* sent instead of an answer */
	bool holds = false;
	int ran = 0;

	void listen()
	{
		struct err e = ERR_INIT;

		ASSERT_EQ(RES_OK, net_listen(&listener, loop, addr.c_str(),
					     on_accept, this, &e));
	}

	void stop()
	{
		for (Conn &c : conns)
			if (c.open)
				net_free(c.net);
		conns.clear();
		net_listener_free(listener);
		listener = nullptr;
	}

	int held() const
	{
		return (int)std::count_if(
			conns.begin(), conns.end(),
			[](const Conn &c) { return c.open && c.held; });
	}

	void release()
	{
		for (Conn &c : conns)
			if (c.open && c.held)
				answer(c, "COMPLETE -\r\n");
	}

	static void answer(Conn &c, const char *first)
	{
		c.held = false;
		buf_addf(net_output(c.net), "%sREADY I 1.1\r\n", first);
		net_flush(c.net);
	}

	static void on_accept(void *arg, int fd)
	{
		Member *m = (Member *)arg;
		struct net_handler h = {};

		m->conns.push_back({m, nullptr});
		h.arg = &m->conns.back();
		h.on_read = on_read;
		h.on_close = [](void *c) {
			((Conn *)c)->open = false;
			net_free(((Conn *)c)->net);
		};
		m->conns.back().net = net_from_accepted(m->loop, fd, &h);
	}

	static void on_read(void *arg)
	{
		Conn &c = *(Conn *)arg;
		struct buf *in = net_input(c.net);
		bool startup = !strncmp(buf_data(in), "STARTUP", 7);

		buf_consume(in, buf_len(in));
		if (startup) {
			answer(c, "");
			return;
		}
		c.member->ran++;
		if (c.member->error)
			answer(c, c.member->error);
		else if (c.member->holds)
			c.held = true;
		else
			answer(c, "COMPLETE -\r\n");
	}
};

struct Job {
	struct sctx ctx = {};
	struct db_job job = {};
	bool done = false;
	struct db_result result = {};

	Job()
	{
		job.ctx = &ctx;
		job.id = {"1", 1};
		job.text = {"READ x", 6};
		job.arg = this;
		job.done = [](struct db_job *j, const struct db_result *r) {
			Job *self = (Job *)j->arg;

			self->done = true;
			self->result = *r;
		};
	}
};

} // namespace

/* What a proxy that holds the connections, as the first of three, sends to a
 * member with the setting pacing. */
struct DbPace : testing::Test {
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct settings set = {};
	struct db *db = nullptr;
	Member member;
	struct backend_info info = {};
	struct db_member *m = nullptr;
	std::deque<Job> jobs;

	void SetUp() override
	{
		set.pacing = true;
		db = db_new(loop, &set);
		member.loop = loop;
		member.listen();
		strcpy(info.id, "m0");
		strcpy(info.group, "orders");
		snprintf(info.addr, ADDR_LEN, "%s", member.addr.c_str());
		info.slots = 6;
		db_update(db, &info, 1);
		m = db_find(db, "m0");
		m->own_conns_percent = 3000;
		set_senders(3);
	}

	void TearDown() override
	{
		db_free(db);
		member.stop();
		ev_loop_destroy(loop);
	}

	void set_senders(int n, bool runners = false, bool holds = true,
			 bool primary = false)
	{
		struct db_senders s = {n, 0, runners, holds, primary};

		db_set_senders(m, &s, clk_now());
	}

	void start(int n)
	{
		while (n--)
			db_start(m, &jobs.emplace_back().job, clk_now());
	}

	bool run_until(const std::function<bool()> &done)
	{
		return loopback::run_until(loop, [&] {
			db_tick(db, clk_now());
			return done();
		});
	}

	void run_for(clk_ms ms)
	{
		clk_ms end = clk_now() + ms;

		run_until([&] { return clk_now() >= end; });
	}

	bool all_done()
	{
		return std::all_of(jobs.begin(), jobs.end(),
				   [](const Job &j) { return j.done; });
	}

	/* Keeps jobs waiting and answers after 20 ms; returns the most that
	 * were in progress. */
	int serve(clk_ms ms)
	{
		clk_ms end = clk_now() + ms;
		int most = 0;

		while (clk_now() < end) {
			if (db_waiting(m) < 20)
				start(20);
			run_for(20);
			most = std::max(most, member.held());
			member.release();
		}
		return most;
	}
};

/* Guards against a member that gets all at once after a start, and against one
 * that is kept slow after it. */
TEST_F(DbPace, AMemberThatRestartsGetsItsStartLimitFirst)
{
	member.holds = true;
	EXPECT_GE(serve(1000), 4) << "its fair part is 4 of 12";
	member.stop();
	member.listen();
	info.incarnation++;
	db_update(db, &info, 1);
	EXPECT_DOUBLE_EQ(2, pace_limit(&m->pace));
	start(20);
	run_for(200);
	EXPECT_EQ(2, member.held()) << "six slots, three proxies";
	EXPECT_GT(db_waiting(m), 0u);
	member.release();
	EXPECT_GE(serve(1000), 4);
	EXPECT_EQ(m->running, m->pace.running);
}

/* Guards against a member that stays out of use after it was full, and against
 * one that is sent statements while it is. */
TEST_F(DbPace, AMemberThatRefusesIsUsedAgain)
{
	member.error = "ERROR BUSY full\r\n";
	start(1);
	ASSERT_TRUE(run_until([&] { return all_done(); }));
	EXPECT_EQ(LINE_E_BUSY, jobs[0].result.error);
	EXPECT_FALSE(db_is_usable(m, clk_now()));
	EXPECT_TRUE(db_is_usable(m, clk_now() + PACE_BUSY_PAUSE_MS));
	EXPECT_LT(pace_limit(&m->pace), 2);
	member.error = nullptr;
	member.holds = true;
	EXPECT_GE(serve(1000), 4);
}

/* Guards against a member that fails and gets more than one statement at a
 * time, against jobs that wait for it, and against a recovery that is not
 * noticed. */
TEST_F(DbPace, AFailingMemberIsTriedOneAtATime)
{
	member.error = "ERROR 58030 disk\r\n";
	ASSERT_TRUE(run_until([&] {
		if (all_done())
			start(1);
		return db_is_failing(m, clk_now());
	}));
	ASSERT_TRUE(run_until([&] { return all_done(); }));
	int before = member.ran;
	start(10);
	ASSERT_TRUE(run_until([&] { return all_done(); }));
	EXPECT_LE(member.ran, before + 1);
	EXPECT_EQ(DB_LOST, jobs.back().result.status);
	EXPECT_FALSE(jobs.back().result.sent);
	member.error = nullptr;
	ASSERT_TRUE(run_until([&] { return db_is_usable(m, clk_now()); }));
	start(1);
	ASSERT_TRUE(run_until([&] { return all_done(); }));
	EXPECT_FALSE(db_is_failing(m, clk_now()));
	EXPECT_DOUBLE_EQ(2, pace_limit(&m->pace));
}

/* Guards against a member that can't be reached and is never tried again for
 * want of a job. */
TEST_F(DbPace, AnUnreachableMemberIsTriedWithoutAJob)
{
	member.stop();
	start(1);
	ASSERT_TRUE(run_until([&] { return all_done(); }));
	EXPECT_FALSE(db_is_usable(m, clk_now()));
	member.listen();
	ASSERT_TRUE(run_until([&] { return m->nconns && !m->opening; }));
	EXPECT_TRUE(db_is_usable(m, clk_now()));
	EXPECT_EQ(0, m->pace.opening);
}

/* Guards against pacing at proxies that hold no connections, or where shares
 * are far below one; against a repeated number that undoes a shrunk limit; and
 * against a primary that starts with the limit it had before. */
TEST_F(DbPace, AppliesWhereThisProxyHoldsConnections)
{
	clk_ms now = clk_now();

	EXPECT_TRUE(m->paced);
	set_senders(DB_PACE_SENDERS - 1);
	EXPECT_TRUE(m->paced);
	set_senders(DB_PACE_SENDERS);
	EXPECT_FALSE(m->paced);
	set_senders(DB_PACE_SENDERS, true);
	EXPECT_TRUE(m->paced);
	set_senders(3, true, false);
	EXPECT_FALSE(m->paced);
	set_senders(3);
	m->pace.limit = 1;
	set_senders(3);
	EXPECT_DOUBLE_EQ(1, pace_limit(&m->pace));
	set_senders(3, false, true, true);
	EXPECT_DOUBLE_EQ(2, pace_limit(&m->pace));
	EXPECT_EQ(2, db_limit(m, now));
	set.pacing = false;
	set_senders(3);
	EXPECT_FALSE(m->paced);
	EXPECT_EQ(4, db_limit(m, now)) << "the fixed rule";
}
