#include <gtest/gtest.h>

#include <cstdlib>
#include <deque>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "lib_loopback.h"

extern "C" {
#include "db_priv.h"
#include "settings.h"
}

namespace
{

/* A member with session values and prepared statements, which notes with which
 * of them each statement ran. */
struct Member {
	struct Conn {
		Member *member;
		struct net_conn *net;
		std::map<std::string, std::string> values, prepared;
		/* As of the BEGIN; a rollback restores them if
		 * rollback_restores. */
		std::map<std::string, std::string> values_before,
			prepared_before;
		char txn = 'I';
	};

	std::string addr = loopback::free_addr();
	struct ev_loop *loop = nullptr;
	struct net_listener *listener = nullptr;
	std::deque<Conn> conns;
	bool rollback_restores = false;
	/* Returns the error for a statement of this connection, "lost" to
	 * close the connection without an answer, or "". */
	std::function<std::string(const Conn &, const std::string &)> fail =
		[](const Conn &, const std::string &) { return ""; };
	std::vector<std::string> received;
	int statements = 0; /* that ran */
	std::vector<std::string> wrong; /* those that ran with another value */

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

	static void close(Conn *c)
	{
		net_free(c->net);
		c->net = nullptr;
	}

	static void on_close(void *arg)
	{
		close((Conn *)arg);
	}

	void answer(Conn &c, const std::string &text)
	{
		buf_addf(net_output(c.net), "%s\r\nREADY %c 1.1\r\n",
			 text.c_str(), c.txn);
		net_flush(c.net);
	}

	void end_txn(Conn &c, bool rollback)
	{
		if (rollback && rollback_restores && c.txn != 'I') {
			c.values = c.values_before;
			c.prepared = c.prepared_before;
		}
		c.txn = 'I';
	}

	/* The item names the value that the session was told it has. */
	void run(Conn &c, const std::string &item, const std::string &text)
	{
		statements++;
		if (c.values["tag"] != (item == "none" ? "" : item))
			wrong.push_back(text + " with tag \"" +
					c.values["tag"] + "\"");
		answer(c, "COMPLETE 1");
	}

	void take(Conn &c, const std::string &line)
	{
		std::string text = line.substr(line.find(' ', 6) + 1);
		std::string word = text.substr(0, text.find(' '));
		std::string rest = text.size() > word.size()
					   ? text.substr(word.size() + 1)
					   : "";
		std::string first = rest.substr(0, rest.find(' '));
		std::string second = rest.size() > first.size()
					     ? rest.substr(first.size() + 1)
					     : "";
		std::string error = fail(c, text);

		received.push_back(text);
		if (error == "lost") {
			close(&c);
			return;
		}
		if (c.txn == 'E' && word != "ROLLBACK" && word != "COMMIT")
			error = "MALFORMED failed";
		if (!error.empty()) {
			if (word == "ROLLBACK" || word == "COMMIT")
				end_txn(c, true);
			else if (c.txn == 'T')
				c.txn = 'E';
			answer(c, "ERROR " + error);
			return;
		}
		if (word == "RESET") {
			c.values.clear();
			c.prepared.clear();
		} else if (word == "SET") {
			c.values[first] = second;
		} else if (word == "PREPARE") {
			c.prepared[first] = second;
		} else if (word == "BEGIN") {
			c.values_before = c.values;
			c.prepared_before = c.prepared;
			c.txn = 'T';
		} else if (word == "COMMIT" || word == "ROLLBACK") {
			end_txn(c, word == "ROLLBACK" || c.txn == 'E');
		} else if (word == "EXECUTE" && !c.prepared.count(first)) {
			if (c.txn == 'T')
				c.txn = 'E';
			wrong.push_back(text + " is unknown");
			answer(c, "ERROR NOSTMT unknown");
			return;
		} else {
			run(c, word == "EXECUTE" ? second : first, text);
			return;
		}
		answer(c, "COMPLETE -");
	}

	static void on_read(void *arg)
	{
		Conn *c = (Conn *)arg;
		struct buf *in = net_input(c->net);
		std::string all(buf_data(in), buf_len(in));
		size_t end;

		for (size_t at = 0; c->net && (end = all.find("\r\n", at)) !=
						      std::string::npos;
		     at = end + 2) {
			std::string line = all.substr(at, end - at);

			buf_consume(in, line.size() + 2);
			if (line.rfind("STARTUP ", 0) == 0) {
				buf_addstr(net_output(c->net),
					   "READY I 1.1\r\n");
				net_flush(c->net);
			} else {
				c->member->take(*c, line);
			}
		}
	}
};

/* A caller with its own value, as the proxy keeps it. */
struct Session {
	struct sctx ctx = {};
	struct db_job job = {};
	std::string tag = "none", text, arguments;
	bool running = false;
	struct db_result result = {};
	struct db_conn *kept = nullptr; /* its open transaction */

	~Session()
	{
		sctx_free(&ctx);
	}

	void set(const std::string &value)
	{
		tag = value;
		sctx_set(&ctx, {"tag", 3}, {tag.data(), tag.size()});
	}

	void prepare(const std::string &name, const std::string &shape)
	{
		sctx_prepare(&ctx, {name.data(), name.size()}, false,
			     {shape.data(), shape.size()});
	}

	static void lost(void *arg)
	{
		((Session *)arg)->kept = nullptr;
	}

	static void done(struct db_job *j, const struct db_result *r)
	{
		Session *s = (Session *)j->arg;

		s->running = false;
		s->result = *r;
		s->kept = r->conn;
		if (s->kept)
			db_on_lost(s->kept, lost, s);
	}
};

} // namespace

struct DbContext : testing::Test {
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	Member member;
	struct settings set = {};
	struct db *db = db_new(loop, &set);
	struct db_member *m = nullptr;
	Session s, other;

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
		m->own_conns_percent = 100;
	}

	void TearDown() override
	{
		db_free(db);
		member.stop();
		ev_loop_destroy(loop);
	}

	/* Starts a read of the session's value, or of a prepared name. */
	void start(Session &x, bool begin, const char *name = nullptr)
	{
		x.text = "READ " + x.tag;
		x.arguments = x.tag;
		x.job = {};
		x.job.ctx = &x.ctx;
		x.job.id = {"1", 1};
		x.job.text = {x.text.data(), x.text.size()};
		if (name) {
			x.job.prepared =
				sctx_find(&x.ctx, {name, strlen(name)});
			x.job.arguments = {x.arguments.data(),
					   x.arguments.size()};
		}
		x.job.begin = begin && !x.kept;
		x.job.done = Session::done;
		x.job.arg = &x;
		x.running = true;
		if (x.kept)
			db_continue(x.kept, &x.job, clk_now());
		else
			db_start(m, &x.job, clk_now());
	}

	bool wait(Session &x)
	{
		return loopback::run_until(loop, [&] {
			db_tick(db, clk_now());
			return !x.running;
		});
	}

	enum db_status read(Session &x, bool begin = false,
			    const char *name = nullptr)
	{
		start(x, begin, name);
		EXPECT_TRUE(wait(x));
		return x.result.status;
	}

	void roll_back(Session &x)
	{
		if (x.kept)
			db_roll_back_kept(x.kept);
		x.kept = nullptr;
	}

	/* The next statement that begins so gets an error. */
	void fail_once(const std::string &word, const std::string &error)
	{
		member.fail = [=](const Member::Conn &,
				  const std::string &text) -> std::string {
			std::string answer = error;

			if (text.rfind(word, 0) != 0)
				return "";
			member.fail = [](const Member::Conn &,
					 const std::string &) { return ""; };
			return answer;
		};
	}

	void expect_right_values()
	{
		EXPECT_EQ(std::vector<std::string>{}, member.wrong);
	}
};

/* Guards against a read that runs with another value than was acknowledged to
 * its session: the SET got an error, whatever its code (review/15). */
TEST_F(DbContext, ARefusedSetDoesNotCount)
{
	for (const char *code :
	     {"READONLY i-2", "BUSY 5", "MALFORMED x", "FAILED x", "LAGGING x",
	      "CONNLIMIT x", "WRONGNODE x", "UNHEARD x"}) {
		s.set("one");
		ASSERT_EQ(DB_DONE, read(s, true)) << code;
		s.set(std::string("two-") + code[0]);
		fail_once("SET", code);
		EXPECT_EQ(DB_REFUSED, read(s)) << code;
		roll_back(s);
		EXPECT_EQ(DB_DONE, read(s)) << code;
		EXPECT_EQ(DB_DONE, read(s, true)) << code;
		roll_back(s);
	}
	expect_right_values();
}

/* Guards against a prepared name that a member does not know. */
TEST_F(DbContext, ARefusedPrepareDoesNotCount)
{
	for (const char *code : {"READONLY i-2", "BUSY 5", "MALFORMED x"}) {
		s.prepare("q", code);
		fail_once("PREPARE", code);
		EXPECT_EQ(DB_REFUSED, read(s, true, "q")) << code;
		roll_back(s);
		EXPECT_EQ(DB_DONE, read(s, true, "q")) << code;
		roll_back(s);
	}
	expect_right_values();
}

/* Guards against the values of another session: the RESET was refused. */
TEST_F(DbContext, ARefusedResetDoesNotCount)
{
	other.set("theirs");
	ASSERT_EQ(DB_DONE, read(other));
	fail_once("RESET", "BUSY 5");
	EXPECT_EQ(DB_REFUSED, read(s));
	EXPECT_EQ(DB_DONE, read(s));
	EXPECT_EQ(DB_DONE, read(other));
	s.set("mine");
	fail_once("RESET", "BUSY 5");
	EXPECT_EQ(DB_REFUSED, read(s));
	EXPECT_EQ(DB_DONE, read(other));
	EXPECT_EQ(DB_DONE, read(s));
	expect_right_values();
}

/* A member may take back at a rollback what it was told in the transaction. */
TEST_F(DbContext, WhatWasPutInATransactionEndsWithItsRollback)
{
	member.rollback_restores = true;
	s.prepare("q", "shape");
	s.set("one");
	ASSERT_EQ(DB_DONE, read(s, true));
	s.set("two");
	ASSERT_EQ(DB_DONE, read(s));
	ASSERT_EQ(DB_DONE, read(s, false, "q"));
	roll_back(s);
	EXPECT_EQ(DB_DONE, read(s));
	EXPECT_EQ(DB_DONE, read(s, false, "q"));
	expect_right_values();
}

/* Guards against commands that nothing calls for: a refused BEGIN leaves what
 * was confirmed before it. */
TEST_F(DbContext, WhatWasConfirmedIsNotSentAgain)
{
	s.set("one");
	s.prepare("q", "shape");
	fail_once("BEGIN", "LAGGING x");
	EXPECT_EQ(DB_REFUSED, read(s, true, "q"));
	EXPECT_EQ(DB_DONE, read(s, true, "q"));
	roll_back(s);
	EXPECT_EQ(DB_DONE, read(s, false, "q"));
	EXPECT_EQ(1, std::count(member.received.begin(), member.received.end(),
				"SET tag one"));
	EXPECT_EQ(0, std::count(member.received.begin(), member.received.end(),
				"RESET"));
}

/* A canceled job's answers still come, and tell what the connection has. */
TEST_F(DbContext, AnswersToACanceledJobCount)
{
	s.set("one");
	ASSERT_EQ(DB_DONE, read(s));
	for (const char *error : {"", "READONLY i-2", "BUSY 5"}) {
		other.set("two");
		fail_once("SET", error);
		start(other, false);
		ev_run(loop, EVRUN_NOWAIT);
		db_cancel(&other.job);
		other.running = false;
		EXPECT_EQ(DB_DONE, read(other)) << error;
		EXPECT_EQ(DB_DONE, read(s)) << error;
	}
	expect_right_values();
}

/*
 * Sessions that set values and prepare names at random, in and outside of
 * transactions, on a few connections, while any command may be refused with any
 * code or lose its connection, and jobs are canceled. No statement may run with
 * other values than its session was told, and no name may be unknown. SEEDS
 * sets how many runs are made.
 */
TEST_F(DbContext, RandomErrorsNeverLeaveOtherValues)
{
	static const char *const codes[] = {
		"READONLY i-2", "BUSY 5",      "MALFORMED x", "FAILED x",
		"LAGGING x",	"CONNLIMIT x", "UNHEARD x",   "lost"};
	const char *n = getenv("SEEDS");
	int seeds = n ? atoi(n) : 6;
	std::deque<Session> sessions(6);
	std::mt19937_64 rng;
	auto pick = [&](int k) { return (int)(rng() % (uint64_t)k); };

	m->own_conns_percent = 200;
	member.fail = [&](const Member::Conn &,
			  const std::string &) -> std::string {
		return pick(12) ? "" : codes[pick(8)];
	};
	for (int seed = 1; seed <= seeds && member.wrong.empty(); seed++) {
		rng.seed((uint64_t)seed);
		member.rollback_restores = seed % 2;
		for (int i = 0; i < 150; i++) {
			Session &x = sessions[(size_t)pick(6)];
			int what = pick(10);

			if (what < 2)
				x.set("v" + std::to_string(pick(5)));
			if (what == 2)
				x.prepare("q",
					  "shape" + std::to_string(pick(3)));
			if (what == 3)
				roll_back(x);
			const char *name =
				what > 6 && sctx_find(&x.ctx, {"q", 1})
					? "q"
					: nullptr;
			/* Others must find a connection. */
			int open = 0;
			for (const Session &y : sessions)
				open += y.kept != nullptr;
			bool begin = pick(2) && open < 2;
			start(x, begin, name);
			if (pick(10) == 0) {
				ev_run(loop, EVRUN_NOWAIT);
				if (x.running) {
					db_cancel(&x.job);
					x.running = false;
					x.kept = nullptr;
				}
			} else if (!wait(x)) {
				FAIL() << "no answer, seed " << seed;
			}
		}
		for (Session &x : sessions)
			roll_back(x);
		EXPECT_EQ(std::vector<std::string>{}, member.wrong)
			<< "seed " << seed;
	}
	EXPECT_GT(member.statements, 50 * seeds / 2);
}
