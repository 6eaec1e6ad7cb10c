#include "lib_load.h"

#include <gtest/gtest.h>

using namespace cluster;
using namespace load;

namespace
{

constexpr int MAX_PRIMARY_CHANGE_MS = 7000; /* limit for a change of primary */

/* A session that can send a statement and wait for its answer later. It has run
 * one statement before, so that its route is in use. */
struct Pending {
	Caller caller;

	Pending(Cluster &c, const std::string &proxy)
	    : caller(c.customer(proxy, "orders"))
	{
		EXPECT_TRUE(caller.exec("SELECT 1").ok) << caller.error();
	}
	void send(const std::string &sql)
	{
		EXPECT_TRUE(PQsendQuery(caller.raw(), sql.c_str()));
		EXPECT_EQ(0, PQflush(caller.raw()));
	}
	/* Waits for the answer and returns its SQLSTATE, "" for success or
	 * "TIMEOUT"; 08006 if the connection was lost. */
	std::string wait_sqlstate(int ms = MAX_PRIMARY_CHANGE_MS)
	{
		std::string out = "TIMEOUT";

		wait_until(ms, [&] {
			if (!PQconsumeInput(caller.raw())) {
				out = "08006";
				return true;
			}
			if (PQisBusy(caller.raw()))
				return false;
			PGresult *r = PQgetResult(caller.raw());
			const char *s = PQresultErrorField(r, PG_DIAG_SQLSTATE);
			if (s)
				out = s;
			else if (PQresultStatus(r) == PGRES_FATAL_ERROR)
				out = "08006";
			else
				out = "";
			PQclear(r);
			return true;
		});
		return out;
	}
};

struct Once : testing::Test {
	static Spec spec()
	{
		Spec s;

		s.relay = true;
		return s;
	}
	Cluster c{spec()};
	std::string primary;
	std::string owner; /* proxy that owns the primary */
	std::string other; /* proxy that forwards to the owner */

	void SetUp() override
	{
		ASSERT_TRUE(c.start());
		ASSERT_TRUE(create_table(c));
		/* This also creates the table of request ids. */
		ASSERT_EQ("INSERT 0 1",
			  send_request("p1", "first").statement_tag);
		find_primary_and_owner();
	}
	void find_primary_and_owner()
	{
		ASSERT_TRUE(wait_until(MAX_PRIMARY_CHANGE_MS, [&] {
			primary = c.primary("orders");
			return !primary.empty() &&
			       primary == shown_value(c, "p1", "GROUPS",
						      "orders", "primary");
		}));
		owner = shown_value(c, "p1", "BACKENDS", primary, "owner");
		other = owner == "p1" ? "p2" : "p1";
	}
	static std::string insert_sql(const std::string &key)
	{
		return "/* marjoramlatch.request_id=" + key +
		       " */ INSERT INTO " + TABLE + " VALUES ('" + key +
		       "', 's')";
	}
	Result send_request(const std::string &proxy, const std::string &key)
	{
		return c.customer(proxy, "orders").exec(insert_sql(key));
	}
	/* Returns how many copies of an order a member holds, by a query to the
	 * member itself; -1 if it fails. */
	int count(const std::string &member, const std::string &key)
	{
		Result r = c.member(member).exec("SELECT count(*) FROM " +
						 std::string(TABLE) +
						 " WHERE k = '" + key + "'");

		return r.ok ? atoi(r.value().c_str()) : -1;
	}
	/* Sends a request and returns when it is committed on the primary but
	 * still waits for the majority, because no replica receives the log. */
	void send_and_block_replication(Pending &p, const std::string &key)
	{
		c.relay_command("freeze orders-*>" + primary);
		p.send(insert_sql(key));
		EXPECT_TRUE(wait_until(MAX_PRIMARY_CHANGE_MS, [&] {
			return count(primary, key) == 1;
		})) << key;
	}
	/* Lets the replicas receive the log again and waits until a majority
	 * holds the order. */
	void resume_replication(const std::string &key)
	{
		c.relay_command("heal orders-*>" + primary);
		EXPECT_TRUE(wait_until(MAX_PRIMARY_CHANGE_MS, [&] {
			int n = 0;

			for (const std::string &m : c.members("orders"))
				n += count(m, key) == 1;
			return n >= 2;
		})) << key;
	}
	/* Sends the request again until it succeeds. */
	Result retry_until_success(const std::string &proxy,
				   const std::string &key)
	{
		Result r;

		wait_until(2 * MAX_PRIMARY_CHANGE_MS, [&] {
			r = send_request(proxy, key);
			EXPECT_NE("23505", r.sqlstate) << r.message;
			EXPECT_NE("42601", r.sqlstate) << r.message;
			return r.ok;
		});
		return r;
	}
	/* Sends the request again at each proxy: every answer must be that of
	 * the first run, and each member must hold the order exactly once. */
	void expect_once(const std::string &key)
	{
		for (const char *p : {"p1", "p2", "p3"})
			EXPECT_EQ("INSERT 0 1",
				  retry_until_success(p, key).statement_tag)
				<< key << " at " << p;
		for (const std::string &m : c.members("orders"))
			EXPECT_TRUE(
				wait_until(2 * MAX_PRIMARY_CHANGE_MS,
					   [&] { return count(m, key) == 1; }))
				<< key << " is held " << count(m, key)
				<< " times by " << m;
	}
	void fail_over()
	{
		std::string old = primary;

		c.process(old).kill();
		ASSERT_TRUE(wait_until(MAX_PRIMARY_CHANGE_MS, [&] {
			std::string now = c.primary("orders");
			return !now.empty() && now != old;
		}));
		find_primary_and_owner();
		c.start(old);
	}
};

/* Guards against a request that is run twice, or is reported as not run, after
 * its answer was lost on one of the links between member and caller. */
TEST_F(Once, AnswerLostOnAnyLink)
{
	struct {
		const char *key;
		std::string proxy;
		std::string link;
	} cases[] = {
		{"lost-member", owner, owner + ">" + primary},
		{"lost-proxies", other, other + ">" + owner + "-link"},
		{"lost-caller", owner, "test>" + owner},
	};

	for (auto &k : cases) {
		Pending p(c, k.proxy);

		send_and_block_replication(p, k.key);
		c.relay_command("drop " + k.link + " down");
		resume_replication(k.key);
		c.relay_command("cut " + k.link);
		std::string state = p.wait_sqlstate();
		EXPECT_TRUE(state == "08007" || state == "08006")
			<< k.key << ": " << state;
		c.relay_command("heal *");
		expect_once(k.key);
		find_primary_and_owner();
	}
}

/* Guards against a request that is run again because a proxy on its path was
 * killed. */
TEST_F(Once, ProxyKilledInTheMiddle)
{
	for (const std::string &victim : {owner, other}) {
		std::string key = "killed-" + victim;
		Pending p(c, other);

		send_and_block_replication(p, key);
		c.process(victim).kill();
		EXPECT_EQ(victim == owner ? "08007" : "08006",
			  p.wait_sqlstate())
			<< key;
		c.relay_command("heal *");
		c.start(victim);
		expect_once(key);
		find_primary_and_owner();
	}
}

/* Guards against a commit that is lost, or made again, because its primary was
 * killed before it sent the answer. One case has the commit on a replica, the
 * other on none. */
TEST_F(Once, PrimaryKilledBetweenCommitAndAnswer)
{
	for (bool replicated : {true, false}) {
		std::string key = replicated ? "died" : "died-alone";
		std::string old = primary;
		Pending p(c, other);

		send_and_block_replication(p, key);
		c.relay_command("drop " + owner + ">" + primary + " down");
		if (replicated)
			resume_replication(key);
		c.process(old).kill();
		/* Closing the connection discards the answer that the relay
		 * holds back. */
		c.relay_command("cut " + owner + ">" + old);
		c.relay_command("heal *");
		EXPECT_EQ("08007", p.wait_sqlstate()) << key;
		EXPECT_EQ("INSERT 0 1",
			  retry_until_success(other, key).statement_tag);
		c.start(old);
		expect_once(key);
		find_primary_and_owner();
	}
}

/* Guards against the result of a request id that is lost when the primary
 * fails, and against a request that is run more than once because many callers
 * send it with one request id. */
TEST_F(Once, ManyCallersBeforeAndAfterAChangeOfPrimary)
{
	auto send_concurrently = [&](const std::string &key) {
		std::vector<std::thread> threads;
		std::atomic<int> good{0};

		for (int i = 0; i < 12; i++)
			threads.emplace_back([&, i] {
				std::string at =
					"p" + std::to_string(i % 3 + 1);

				good += retry_until_success(at, key)
						.statement_tag == "INSERT 0 1";
			});
		for (std::thread &t : threads)
			t.join();
		EXPECT_EQ(12, good) << key;
	};

	send_concurrently("before");
	fail_over();
	expect_once("before");
	send_concurrently("after");
	expect_once("after");
	std::thread during([&] { send_concurrently("during"); });
	fail_over();
	during.join();
	expect_once("during");
}

} // namespace
