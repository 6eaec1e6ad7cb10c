/* Connections under failure: each answer reaches its own caller,
 * transactions stay separate, and new requests succeed after existing
 * connections stopped responding. */

#include <gtest/gtest.h>

#include <cstring>
#include <thread>
#include <unistd.h>

#include "lib_cluster.h"

using namespace cluster;

namespace
{

constexpr int BOUND_MS = 7000;

/* One deployment for all tests of this program. */
struct SysConn : testing::Test {
	static std::unique_ptr<Cluster> c;

	static void SetUpTestSuite()
	{
		Spec s;

		s.relay = true;
		s.zones = {"za", "zb", "za"};
		c = std::make_unique<Cluster>(s);
		ASSERT_TRUE(c->start());
	}
	static void TearDownTestSuite()
	{
		c.reset();
	}
	void TearDown() override
	{
		c->relay_command("heal *");
	}
	static std::string name(const char *prefix, int i)
	{
		return prefix + std::to_string(i);
	}
	/* Retries on new connections until the statement succeeds, as
	 * callers do. */
	Result retry_until_ok(const std::string &proxy, const std::string &sql)
	{
		int64_t end = now_ms() + BOUND_MS;
		Result r;

		while (now_ms() < end) {
			r = c->customer(proxy, "orders").exec(sql, 3000);
			if (r.ok)
				break;
			usleep(20000);
		}
		EXPECT_TRUE(r.ok) << proxy << ": " << sql << ": " << r.sqlstate
				  << " " << r.message;
		return r;
	}
	/* Checks that each proxy serves a write and a read of the current
	 * data that sees it, all within the bound. */
	void expect_all_proxies_serve(const char *what)
	{
		static int n;
		int64_t began = now_ms();

		for (int p = 1; p <= 3; p++) {
			std::string id = std::to_string(++n);

			retry_until_ok(name("p", p),
				       "INSERT INTO work VALUES (" + id + ")");
			EXPECT_NE("0",
				  retry_until_ok(
					  name("p", p),
					  "/* marjoramlatch.max_age_ms=0 */ "
					  "SELECT count(*) FROM work WHERE "
					  "n = " + id)
					  .value());
		}
		printf("%s: all proxies served after %lld ms\n", what,
		       (long long)(now_ms() - began));
		EXPECT_LT(now_ms() - began, BOUND_MS) << what;
	}
};

std::unique_ptr<Cluster> SysConn::c;

/* A caller that runs transactions, queries with long answers and cancels,
 * disconnects within transactions, and checks that each answer belongs to
 * its own request. */
struct Worker {
	Cluster &c;
	std::string tag, proxy;
	Caller caller;
	std::vector<std::string> mismatches;
	int committed = 0, unknown = 0, canceled = 0;

	void connect()
	{
		caller = c.customer(proxy, "orders");
	}
	void expect(bool good, const std::string &what, const Result &r)
	{
		if (!good)
			mismatches.push_back(tag + " " + what + ": " +
					     r.sqlstate + " " + r.message +
					     " " + r.value());
	}
	std::string insert(int i, const char *part)
	{
		return "INSERT INTO parts VALUES ('" + tag + "', " +
		       std::to_string(i) + ", '" + part + "')";
	}
	void transaction(int i)
	{
		if (!caller.exec("BEGIN").ok ||
		    !caller.exec(insert(i, "a")).ok) {
			connect();
			return;
		}
		Result r = caller.exec("SELECT count(*) FROM parts WHERE tag "
				       "= '" +
				       tag + "' AND i = " + std::to_string(i));
		expect(!r.ok || r.value() == "1", "own row", r);
		caller.exec(insert(i, "b"));
		r = caller.exec("COMMIT");
		committed += r.statement_tag == "COMMIT";
		unknown += r.sqlstate == "08007" || r.connection_failed;
		if (!r.ok)
			connect();
	}
	void disconnect_in_transaction(int i)
	{
		if (caller.exec("BEGIN").ok)
			caller.exec(insert(i, "left"));
		if (i % 2)
			PQsendQuery(caller.raw(), insert(i, "left").c_str());
		connect();
	}
	void long_answer()
	{
		Result r = caller.exec(
			"WITH RECURSIVE s(k) AS (SELECT 1 UNION ALL SELECT "
			"k + 1 FROM s WHERE k < 400) SELECT k, '" +
			tag + "' FROM s");
		bool own = r.rows.size() == 400;

		for (size_t k = 0; own && k < 400; k++)
			own = r.rows[k][0] == std::to_string(k + 1) &&
			      r.rows[k][1] == tag;
		expect(!r.ok || own, "long answer", r);
	}
	/* The answer to a canceled statement must not be taken for the
	 * answer to the next one. */
	void cancel(int i)
	{
		std::string own = tag + "-" + std::to_string(i);

		PQsendQuery(caller.raw(), "SELECT 'late' /* cost_us=400000 */");
		usleep(10000);
		caller.cancel();
		while (PGresult *r = PQgetResult(caller.raw())) {
			canceled += PQresultStatus(r) == PGRES_FATAL_ERROR;
			PQclear(r);
		}
		Result r = caller.exec("SELECT '" + own + "'");
		expect(!r.ok || r.value() == own, "after cancel", r);
	}
	void run()
	{
		connect();
		for (int i = 0; i < 8; i++) {
			transaction(i);
			long_answer();
			if (i % 3 == 1)
				disconnect_in_transaction(100 + i);
			if (i % 3 == 2)
				cancel(i);
		}
	}
};

/* Guards against statements of two transactions that mix on one connection,
 * and against an answer that reaches the wrong caller or is incomplete. */
TEST_F(SysConn, TransactionsStayApartAndAnswersFindTheirCallers)
{
	std::vector<std::unique_ptr<Worker>> workers;
	std::vector<std::thread> threads;
	int committed = 0, unknown = 0, canceled = 0;

	retry_until_ok("p1", "CREATE TABLE parts (tag text, i int, part text)");
	c->relay_command("delay p*>orders-* 4");
	c->relay_command("delay p*>p*-link 7");
	for (int i = 0; i < 9; i++)
		workers.push_back(std::unique_ptr<Worker>(new Worker{
			*c, name("w", i), name("p", i % 3 + 1), {}, {}}));
	for (auto &w : workers)
		threads.emplace_back([&w] { w->run(); });
	for (auto &t : threads)
		t.join();
	for (auto &w : workers) {
		for (auto &text : w->mismatches)
			ADD_FAILURE() << text;
		committed += w->committed;
		unknown += w->unknown;
		canceled += w->canceled;
	}
	c->relay_command("heal *");
	Result pairs = retry_until_ok(
		"p1", "/* marjoramlatch.max_age_ms=0 */ SELECT tag, i, "
		      "count(*), min(part), max(part) FROM parts GROUP BY "
		      "tag, i");
	for (auto &row : pairs.rows) {
		EXPECT_EQ("2", row[2]) << row[0] << " " << row[1];
		EXPECT_EQ("ab", row[3] + row[4]) << row[0] << " " << row[1];
	}
	EXPECT_GE((int)pairs.rows.size(), committed);
	EXPECT_LE((int)pairs.rows.size(), committed + unknown);
	EXPECT_GE(committed, 36) << "most of the 72 must pass";
	EXPECT_GE(canceled, 9);
}

/* Guards against requests that wait for connections which will never
 * respond again, although new connections work. */
TEST_F(SysConn, ForgottenConnectionsAreReplaced)
{
	retry_until_ok("p1", "CREATE TABLE work (n int)");
	expect_all_proxies_serve("before");
	for (auto *links :
	     {"p*>orders-*", "p*>p*-link", "p*>c*", "c*>c*", "c*>orders-*",
	      "orders-*>p*", "orders-*>orders-*", "test>p*", "*"}) {
		Caller caller = c->customer("p2", "orders");

		EXPECT_TRUE(caller.exec("SELECT 1").ok);
		c->relay_command(std::string("forget ") + links);
		expect_all_proxies_serve(links);
	}
	/* The backends also went on to announce themselves, over new
	 * connections. */
	for (auto &row : c->admin("p1").exec("SHOW BACKENDS").rows)
		EXPECT_EQ("false", row[8]) << row[0] << " is silent";
}

/* Guards against a failover that is held up by unresponsive connections
 * from the control instances to the backends. */
TEST_F(SysConn, PrimaryLostWhileControlsConnectionsAreSilent)
{
	std::string old = c->primary("orders");

	ASSERT_NE("", old);
	c->relay_command("forget c*>orders-*");
	c->process(old).kill();
	expect_all_proxies_serve("failover");
	c->start(old);
}

/* Guards against a transaction whose rows or writer lock remain after its
 * proxy was killed. */
TEST_F(SysConn, ProxyThatDiesLeavesNothingBehind)
{
	retry_until_ok("p1", "CREATE TABLE IF NOT EXISTS work (n int)");
	for (auto *id : {"p1", "p2", "p3"}) {
		Caller caller = c->customer(id, "orders");

		ASSERT_TRUE(wait_until(BOUND_MS, [&] {
			return caller.exec("BEGIN").ok &&
			       caller.exec("INSERT INTO work VALUES (-1)").ok;
		}));
		c->process(id).kill();
		std::string survivor = !strcmp(id, "p1") ? "p2" : "p1";
		int64_t began = now_ms();

		retry_until_ok(survivor, "INSERT INTO work VALUES (0)");
		printf("%s killed: lock free after %lld ms\n", id,
		       (long long)(now_ms() - began));
		EXPECT_EQ("0",
			  retry_until_ok(survivor,
					 "/* marjoramlatch.max_age_ms=0 */ "
					 "SELECT count(*) FROM work WHERE n = "
					 "-1")
				  .value());
		c->start(id);
		retry_until_ok(id, "SELECT 1");
	}
}

/* Guards against a transaction that keeps its writer lock after its
 * caller's connection stopped responding. */
TEST_F(SysConn, SilentCallerInATransactionFreesItsLock)
{
	retry_until_ok("p1", "CREATE TABLE IF NOT EXISTS work (n int)");
	Caller caller = c->customer("p1", "orders");

	ASSERT_TRUE(caller.exec("BEGIN").ok);
	ASSERT_TRUE(caller.exec("INSERT INTO work VALUES (-2)").ok);
	c->relay_command("forget test>p1");
	expect_all_proxies_serve("silent caller in a transaction");
}

} // namespace
