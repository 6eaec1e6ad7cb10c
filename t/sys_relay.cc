#include <gtest/gtest.h>

#include <csignal>
#include <thread>

#include "lib_platform.h"

using namespace platform;
using cluster::wait_until;

namespace
{

int metric(const std::string &addr, const std::string &name)
{
	std::string m = "\n" + http(addr, "GET", "/").body;
	size_t at = m.find("\n" + name + " ");

	return at == std::string::npos
		       ? -1
		       : std::stoi(m.substr(at + name.size() + 2));
}

/* Tests the relaying of jobs between proxies (relay.h). Four proxies use
 * members that accept five connections each. p0 and p2 are in the zone of the
 * members; p0 is the runner, which runs the jobs of all proxies. */
struct Relay : testing::Test {
	static constexpr int CONNECTIONS = 5;
	Deployment d{3, 4};

	void SetUp() override
	{
		d.limit_member_connections(CONNECTIONS);
		ASSERT_TRUE(d.start());
		/* Wait until each proxy has a link to its runner. */
		for (int i = 1; i < 4; i++)
			ASSERT_TRUE(wait_until(5000, [&] {
				Session s;
				s.open(d.client_addr(i), "orders");
				s.query("WRITE warm 1");
				return metric(d.metrics_http_addr(i),
					      "forwarded") > 0;
			})) << i;
	}
};

} // namespace

TEST_F(Relay, RunsSessionsOfOtherProxies)
{
	for (int i = 1; i < 4; i++) {
		Session s;
		std::string item = "a" + std::to_string(i);

		ASSERT_TRUE(s.open(d.client_addr(i), "tickets"));
		EXPECT_TRUE(statement_succeeded(s.query("SET v0 abc")));
		EXPECT_TRUE(
			statement_succeeded(s.query("PREPARE s1 WRITE q1")));
		std::string w = s.query("EXECUTE s1 " + item + " first");
		EXPECT_NE(std::string::npos, w.find("." + s.last_id() + "|"))
			<< w;
		EXPECT_EQ(0u,
			  s.query("READ " + item).rfind("DATAROW first|", 0));
		EXPECT_TRUE(statement_succeeded(s.query("BEGIN")));
		EXPECT_TRUE(statement_succeeded(
			s.query("WRITE " + item + " second")));
		EXPECT_EQ(0u,
			  s.query("ROLLBACK").rfind("COMPLETE -|READY I", 0));
		EXPECT_TRUE(statement_succeeded(s.query("BEGIN")));
		EXPECT_TRUE(statement_succeeded(
			s.query("WRITE " + item + " third")));
		EXPECT_EQ(0u, s.query("READ " + item).rfind("DATAROW", 0));
		EXPECT_TRUE(statement_succeeded(s.query("COMMIT")));
		EXPECT_EQ(0u,
			  s.query("READ " + item).rfind("DATAROW third|", 0));
		EXPECT_TRUE(statement_succeeded(s.query("BEGIN READ")));
		EXPECT_EQ(0u,
			  s.query("READ " + item).rfind("DATAROW third|", 0));
		EXPECT_TRUE(statement_succeeded(s.query("COMMIT")));
		EXPECT_EQ("2", d.send_platform_command("count " + item));
	}
}

/* Guards against proxies that together open more connections than a member
 * accepts, and so take them from each other: 24 sessions over all proxies must
 * stay within the members' limit. */
TEST_F(Relay, KeepsTheLimitOfConnections)
{
	std::vector<std::thread> threads;
	std::atomic<int> failed{0};

	for (int i = 0; i < 24; i++)
		threads.emplace_back([&, i] {
			Session s;

			failed += !s.open(d.client_addr(i % 4), "orders");
			for (int n = 0; n < 40; n++)
				failed += !statement_succeeded(
					s.query("WRITE many 1"));
		});
	for (std::thread &t : threads)
		t.join();
	EXPECT_EQ(0, failed);
	EXPECT_EQ(std::to_string(24 * 40),
		  d.send_platform_command("count many"));
	EXPECT_LE(std::stoi(d.send_platform_command("connections m0")),
		  CONNECTIONS);
	for (int i = 1; i < 4; i++)
		EXPECT_EQ(0,
			  metric(d.metrics_http_addr(i), "backend_connections"))
			<< i;
}

/* When a runner is killed, the transactions that it ran are aborted without a
 * commit, and other proxies serve without it until it is started again. */
TEST_F(Relay, ATransactionEndsWithItsRunner)
{
	Session s;

	ASSERT_TRUE(s.open(d.client_addr(1), "orders"));
	ASSERT_TRUE(statement_succeeded(s.query("BEGIN")));
	ASSERT_TRUE(statement_succeeded(s.query("WRITE gone 1")));
	d.proxy(0).kill();
	EXPECT_TRUE(wait_until(2000, [&] {
		return s.query("READ gone").rfind("ERROR ABORTED", 0) == 0;
	}));
	EXPECT_TRUE(statement_succeeded(s.query("ROLLBACK")));
	EXPECT_EQ("0", d.send_platform_command("ever gone"));
	EXPECT_TRUE(d.wait_until_serving(1, 3000));
	d.proxy(0).start();
	EXPECT_TRUE(wait_until(5000, [&] {
		int before = metric(d.metrics_http_addr(1), "forwarded");

		return d.wait_until_serving(1, 1000) &&
		       metric(d.metrics_http_addr(1), "forwarded") > before;
	})) << "not used again";
}

/* Guards against a runner whose stop leaves the outcome of other proxies'
 * transactions unknown: in the second half of stop_ms (6000) it has ended them,
 * and their callers are told so. */
TEST_F(Relay, AStopEndsTheTransactionsOfOtherProxies)
{
	Session idle;
	Session busy;
	std::string a;

	for (Session *s : {&idle, &busy}) {
		ASSERT_TRUE(s->open(d.client_addr(1), "orders"));
		ASSERT_TRUE(statement_succeeded(s->query("BEGIN")));
		ASSERT_TRUE(statement_succeeded(s->query("WRITE early 1")));
	}
	int64_t stopped = cluster::now_ms();
	d.proxy(0).send_sigterm();
	for (int i = 0; i < 14; i++) {
		usleep(200000);
		EXPECT_TRUE(statement_succeeded(busy.query("READ early"))) << i;
		if (i % 5 == 4) {
			EXPECT_TRUE(
				statement_succeeded(idle.query("READ early")));
		}
	}
	do
		a = busy.query("READ early");
	while (statement_succeeded(a));
	EXPECT_EQ(0u, a.rfind("ERROR ABORTED", 0)) << a;
	EXPECT_LT(cluster::now_ms() - stopped, 4500);
	a = idle.query("COMMIT");
	EXPECT_EQ(0u, a.rfind("ERROR ABORTED", 0)) << a;
	EXPECT_EQ("0", d.send_platform_command("ever early"));
	EXPECT_EQ(0, d.proxy(0).wait(4000));
}

/* A write that an unresponsive runner may have sent to the member is reported
 * as of unknown outcome; while the runner is unresponsive, other statements
 * don't use it. */
TEST_F(Relay, ASilentRunnerIsPassedBy)
{
	Session s;

	ASSERT_TRUE(s.open(d.client_addr(1), "orders"));
	kill(d.proxy(0).pid(), SIGSTOP);
	std::string a = s.query("WRITE stuck 1");
	EXPECT_TRUE(a.rfind("ERROR INDOUBT", 0) == 0) << a;
	EXPECT_TRUE(d.wait_until_serving(1, 2000));
	kill(d.proxy(0).pid(), SIGCONT);
	EXPECT_TRUE(d.wait_until_serving(1, 2000));
	EXPECT_LE(std::stoi(d.send_platform_command("count stuck")), 1);
}

/* When the proxy of a caller is killed, the runner rolls back the transaction
 * that the caller left open. */
TEST_F(Relay, EndsTheTransactionsOfALostOrigin)
{
	Session s;

	ASSERT_TRUE(s.open(d.client_addr(1), "orders"));
	ASSERT_TRUE(statement_succeeded(s.query("BEGIN")));
	ASSERT_TRUE(statement_succeeded(s.query("WRITE left 1")));
	d.proxy(1).kill();
	EXPECT_TRUE(wait_until(3000, [&] {
		std::string log = d.proxy(0).log();
		return log.find("event=origin_down id=p1") != std::string::npos;
	}));
	EXPECT_EQ("0", d.send_platform_command("ever left"));
	EXPECT_TRUE(d.wait_until_serving(0, 1000));
}

TEST_F(Relay, SaysWhatIsTrueOfLostAnswers)
{
	Session s;

	ASSERT_TRUE(s.open(d.client_addr(1), "orders"));
	d.send_platform_command("busy m0 1000000");
	std::string a = s.query("WRITE full 1");
	EXPECT_EQ(0u, a.rfind("ERROR BUSY", 0)) << a;
	EXPECT_EQ("0", d.send_platform_command("ever full"));
	d.send_platform_command("busy m0 0");
	d.send_platform_command("lose m0 1");
	a = s.query("WRITE once 1");
	EXPECT_EQ(0u, a.rfind("ERROR INDOUBT", 0)) << a;
	EXPECT_EQ("1", d.send_platform_command("count once"));
	ASSERT_TRUE(statement_succeeded(s.query("BEGIN")));
	ASSERT_TRUE(statement_succeeded(s.query("WRITE cut 2")));
	d.send_platform_command("cut m0");
	a = s.query("COMMIT");
	EXPECT_EQ(0u, a.rfind("ERROR INDOUBT", 0)) << a;
	EXPECT_EQ("1", d.send_platform_command("count cut"));
	EXPECT_TRUE(d.wait_until_serving(1, 1000));
}

TEST_F(Relay, ATransactionEndsWithItsMember)
{
	Session s;

	ASSERT_TRUE(s.open(d.client_addr(1), "orders"));
	ASSERT_TRUE(statement_succeeded(s.query("BEGIN")));
	ASSERT_TRUE(statement_succeeded(s.query("WRITE gone 1")));
	d.send_platform_command("crash m0");
	usleep(100000);
	std::string a = s.query("COMMIT");
	EXPECT_EQ(0u, a.rfind("ERROR ABORTED", 0)) << a;
	EXPECT_EQ("0", d.send_platform_command("ever gone"));
	EXPECT_TRUE(d.wait_until_serving(1, 7000));
}

/* A planned stop of a runner does not break off the transactions that it runs
 * for other proxies. */
TEST_F(Relay, ARunnerStopsGracefully)
{
	Session s;

	ASSERT_TRUE(s.open(d.client_addr(1), "orders"));
	ASSERT_TRUE(statement_succeeded(s.query("BEGIN")));
	ASSERT_TRUE(statement_succeeded(s.query("WRITE stop 1")));
	d.proxy(0).send_sigterm();
	for (int i = 0; i < 3; i++) {
		usleep(900000);
		EXPECT_TRUE(statement_succeeded(s.query("READ stop"))) << i;
		EXPECT_TRUE(d.wait_until_serving(3, 1000)) << i;
	}
	EXPECT_TRUE(statement_succeeded(s.query("COMMIT")));
	EXPECT_EQ("1", d.send_platform_command("count stop"));
	EXPECT_EQ(0, d.proxy(0).wait(6000));
}
