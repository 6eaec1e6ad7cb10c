#include "lib_cluster.h"

#include <gtest/gtest.h>

#include <thread>

using namespace cluster;

namespace
{

std::string config_version(Cluster &c, const std::string &proxy)
{
	return c.admin(proxy).exec("SHOW CONFIG").value("version");
}

Spec two_proxies(int controls)
{
	Spec spec;

	spec.proxies = 2;
	spec.controls = controls;
	return spec;
}

/* The proxy that runs the statements of the group's primary. */
std::string owner_of_primary(Cluster &c)
{
	std::string primary =
		c.admin("p1").exec("SHOW GROUPS").value("primary");

	for (const auto &row : c.admin("p1").exec("SHOW BACKENDS").rows)
		if (row[0] == primary)
			return row[9];
	return "";
}

/* Guards against a proxy that keeps sending its requests to a frozen
 * control leader, so that its lease stays expired for longer than an
 * election takes. */
TEST(SysProxy, FindsTheNextControlLeader)
{
	Cluster c(two_proxies(3));

	ASSERT_TRUE(c.start());
	Caller a = c.customer("p1", "orders");
	ASSERT_TRUE(a.exec("CREATE TABLE t (a int)").ok);
	std::string leader = c.admin("p1").exec("SHOW VERSION").value("leader");
	ASSERT_NE("", leader);
	c.process(leader).suspend_process();
	int64_t began = now_ms();
	std::string next;
	EXPECT_TRUE(wait_until(7000, [&] {
		next = c.admin("p1").exec("SHOW VERSION").value("leader");
		return next != "" && next != leader;
	}));
	EXPECT_TRUE(wait_until(7000 - (int)(now_ms() - began), [&] {
		return a.exec("INSERT INTO t VALUES (1)").ok;
	}));
	printf("writes after %lld ms\n", (long long)(now_ms() - began));
	c.process(leader).resume_process();
	Caller x = c.admin("p2");
	EXPECT_TRUE(wait_until(7000, [&] { return x.exec("SHOW STATUS").ok; }));
}

/* Guards against a proxy that restarts in a partitioned zone, gets no lists
 * and therefore refuses every caller. */
TEST(SysProxy, RestartedProxyGetsTheListsFromAPeer)
{
	Cluster c(two_proxies(1));

	ASSERT_TRUE(c.start());
	ASSERT_EQ("1", config_version(c, "p2"));
	c.process("p2").kill();
	c.process("c1").kill();
	c.start("p2");
	EXPECT_TRUE(wait_until(10000,
			       [&] { return config_version(c, "p2") == "1"; }));
}

/* The same without another proxy: the lists come from the proxy's own disk. */
TEST(SysProxy, RestartedProxyHasItsListsFromDisk)
{
	TempDir data;
	Spec spec = two_proxies(1);

	spec.proxies = 1;
	spec.settings["data"] = "\"" + data.path() + "\"";
	Cluster c(spec);
	ASSERT_TRUE(c.start());
	c.process("p1").kill();
	c.process("c1").kill();
	c.start("p1");
	EXPECT_TRUE(wait_until(10000,
			       [&] { return config_version(c, "p1") == "1"; }));
}

/* Guards against the remaining statements of a transaction that run outside
 * of it after the proxy that held the transaction's connection failed. */
TEST(SysProxy, TransactionEndsWithItsOwner)
{
	Cluster c(two_proxies(1));

	ASSERT_TRUE(c.start());
	std::string owner = owner_of_primary(c);
	ASSERT_TRUE(owner == "p1" || owner == "p2") << owner;
	Caller a = c.customer(owner == "p1" ? "p2" : "p1", "orders");
	ASSERT_TRUE(a.exec("CREATE TABLE t (a int)").ok);
	ASSERT_TRUE(a.exec("BEGIN").ok);
	ASSERT_TRUE(a.exec("INSERT INTO t VALUES (1)").ok);
	c.process(owner).kill();
	EXPECT_FALSE(a.exec("INSERT INTO t VALUES (2)").ok);
	EXPECT_EQ(PQTRANS_INERROR, PQtransactionStatus(a.raw()));
	EXPECT_EQ("25P02", a.exec("INSERT INTO t VALUES (3)").sqlstate);
	EXPECT_EQ("ROLLBACK", a.exec("COMMIT").statement_tag);
	EXPECT_EQ(PQTRANS_IDLE, PQtransactionStatus(a.raw()));
	EXPECT_TRUE(wait_until(
		10000, [&] { return a.exec("INSERT INTO t VALUES (4)").ok; }));
	Result r = a.exec("SELECT a FROM t");
	ASSERT_EQ(1u, r.rows.size()) << r.message;
	EXPECT_EQ("4", r.value());
}

namespace
{

struct StopResult {
	std::string sqlstate; /* of the first error */
	std::string notice; /* messages that came between two statements */
	int64_t ms = 0; /* when it came, since SIGTERM */
};

void add_notice(void *arg, const char *text)
{
	*(std::string *)arg += text;
}

/* Repeats a statement until it fails. */
StopResult run_until_refused(Caller &x, const char *sql, int64_t stopped)
{
	StopResult s;
	Result r;

	PQsetNoticeProcessor(x.raw(), add_notice, &s.notice);
	do
		r = x.exec(sql);
	while (r.ok);
	s.sqlstate = r.sqlstate;
	s.ms = now_ms() - stopped;
	return s;
}

} // namespace

/* Guards against a stop of a proxy that cuts off statements which it has taken.
 * Transactions may go on for half of stop_ms (5000), also those that it runs
 * for another proxy. Then their callers are told, and none has an unknown
 * outcome. A statement that does not end in time is answered, too. */
TEST(SysProxy, AStopAnswersEachTransaction)
{
	Cluster c(two_proxies(1));

	ASSERT_TRUE(c.start());
	std::string owner = owner_of_primary(c);
	ASSERT_TRUE(owner == "p1" || owner == "p2") << owner;
	Caller own = c.customer(owner, "orders");
	Caller slow = c.customer(owner, "orders");
	Caller remote = c.customer(owner == "p1" ? "p2" : "p1", "orders");
	StopResult own_end, remote_end;
	Result slow_end;

	ASSERT_TRUE(own.exec("CREATE TABLE t (a int)").ok);
	for (Caller *x : {&own, &slow, &remote}) {
		ASSERT_TRUE(x->exec("BEGIN").ok);
		ASSERT_TRUE(x->exec("SELECT 1").ok);
	}
	int64_t stopped = now_ms();
	c.process(owner).terminate();
	std::thread slow_thread([&] {
		slow_end = slow.exec(
			"INSERT INTO t VALUES (1) /* cost_us=9000000 */");
	});
	std::thread remote_thread([&] {
		remote_end = run_until_refused(remote, "SELECT 2", stopped);
	});
	own_end = run_until_refused(own, "SELECT 2", stopped);
	remote_thread.join();
	slow_thread.join();
	EXPECT_NE(std::string::npos,
		  (own_end.sqlstate + own_end.notice)
			  .find(own_end.sqlstate == "57P01" ? "57P01"
							    : "stopping"))
		<< own_end.sqlstate << " " << own_end.notice;
	EXPECT_NE("08007", remote_end.sqlstate);
	EXPECT_NE("", remote_end.sqlstate);
	for (const StopResult *s : {&own_end, &remote_end}) {
		EXPECT_GE(s->ms, 2400);
		EXPECT_LE(s->ms, 4000);
	}
	EXPECT_EQ("ROLLBACK", remote.exec("COMMIT").statement_tag);
	EXPECT_EQ("08007", slow_end.sqlstate) << slow_end.message;
	EXPECT_EQ(0, c.process(owner).wait(3000));
}

/* Guards against an announcement of another writer under the name of a backend
 * that takes it out of use, or ends a process. What is well formed is overtaken
 * by the backend's next announcement. */
TEST(SysProxy, OddAnnouncementsChangeNothing)
{
	Cluster c(two_proxies(1));

	ASSERT_TRUE(c.start());
	Result groups = c.admin("p1").exec("SHOW GROUPS");
	std::string primary = groups.value("primary");
	Caller x = c.customer("p1", "orders");
	Caller writer;

	writer.connect(c.addr("p1"), "backend", BACKEND_PASSWORD,
		       "marjoramlatch");
	ASSERT_TRUE(x.exec("CREATE TABLE t (a int)").ok);
	std::string name = "ANNOUNCE 'orders' '" + primary + "' ";
	for (const char *rest :
	     {"'127.0.0.1:0' 'za' 1 4 100", "'127.0.0.1:70000' 'za' 1 4 100",
	      "'127.0.0.1:-1' 'za' 1 4 100", "'127.0.0.1' 'za' 1 4 100",
	      "'127.0.0.1:1' 'za' 99999999999999999999999 4 100",
	      "'127.0.0.1:1' 'za' 1e400 4 100", "'127.0.0.1:1' 'za' 1 0 100",
	      "'127.0.0.1:1' 'za' 1 4 1000000000"})
		EXPECT_FALSE(writer.exec(name + rest).ok) << rest;
	EXPECT_FALSE(writer.exec(name + std::string(100000, '(')).ok);
	EXPECT_TRUE(writer.exec(name + "'" + c.listen_addr_of(primary) +
				"' 'za' 9223372036854775807 4 100")
			    .ok);
	int64_t odd = now_ms();
	while (now_ms() < odd + 4000) {
		/* Connections are made anew for another incarnation. */
		bool ok = x.exec("INSERT INTO t VALUES (1)").ok;

		if (now_ms() > odd + 2000) {
			ASSERT_TRUE(ok);
		}
		usleep(20000);
	}
	EXPECT_EQ(primary, c.admin("p1").exec("SHOW GROUPS").value("primary"));
	for (const char *p : {"p1", "p2", "c1"})
		EXPECT_TRUE(c.process(p).running()) << p;
}

/* Guards against accepted lists that a proxy receives late or never. */
TEST(SysProxy, NewListsAreInForceEverywhere)
{
	Cluster c(two_proxies(3));

	ASSERT_TRUE(c.start());
	for (int version = 2; version <= 5; version++) {
		std::string lists = default_lists() + "// " +
				    std::to_string(version) + "\n";
		int64_t began = now_ms();
		Result r = c.apply("p1", lists, version - 1);

		ASSERT_TRUE(r.ok) << r.message;
		EXPECT_EQ(std::to_string(version), r.value("version"));
		for (const char *p : {"p1", "p2"})
			EXPECT_TRUE(wait_until(7000, [&] {
				return config_version(c, p) ==
				       std::to_string(version);
			})) << p;
		printf("in force after %lld ms\n",
		       (long long)(now_ms() - began));
	}
	EXPECT_EQ("40001", c.apply("p2", default_lists(), 2).sqlstate);
}

} // namespace
