#include "lib_load.h"

#include <gtest/gtest.h>

using namespace cluster;
using namespace load;

namespace
{

constexpr int CHANGE_MS = 7000; /* bound of a change of primary */

/* A session that has run a statement before, so that its route is in use, and
 * whose next answer is not waited for yet. */
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
	/* SQLSTATE of the answer; "" for success. */
	std::string state(int ms = CHANGE_MS)
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
		/* Creates the table of request ids, too. */
		ASSERT_EQ("INSERT 0 1", ask("p1", "first").tag);
		look();
	}
	void look()
	{
		ASSERT_TRUE(wait_until(CHANGE_MS, [&] {
			primary = c.primary("orders");
			return !primary.empty() &&
			       primary == show(c, "p1", "GROUPS", "orders",
					       "primary");
		}));
		owner = show(c, "p1", "BACKENDS", primary, "owner");
		other = owner == "p1" ? "p2" : "p1";
	}
	static std::string sql(const std::string &key)
	{
		return "/* marjoramlatch.request_id=" + key +
		       " */ INSERT INTO " + TABLE + " VALUES ('" + key +
		       "', 's')";
	}
	Result ask(const std::string &proxy, const std::string &key)
	{
		return c.customer(proxy, "orders").exec(sql(key));
	}
	/* How often a member holds an order; the member is asked directly. */
	int count(const std::string &member, const std::string &key)
	{
		Result r = c.member(member).exec("SELECT count(*) FROM " +
						 std::string(TABLE) +
						 " WHERE k = '" + key + "'");

		return r.ok ? atoi(r.value().c_str()) : -1;
	}
	/* Returns when the request is committed at the primary, but awaits
	 * the majority, because no replica gets the log. */
	void send_and_hold(Pending &p, const std::string &key)
	{
		c.fault("freeze orders-*>" + primary);
		p.send(sql(key));
		EXPECT_TRUE(wait_until(CHANGE_MS, [&] {
			return count(primary, key) == 1;
		})) << key;
	}
	/* Lets the replicas have it. */
	void release(const std::string &key)
	{
		c.fault("heal orders-*>" + primary);
		EXPECT_TRUE(wait_until(CHANGE_MS, [&] {
			int n = 0;

			for (const std::string &m : c.members("orders"))
				n += count(m, key) == 1;
			return n >= 2;
		})) << key;
	}
	/* Asks until there is an outcome. */
	Result insist(const std::string &proxy, const std::string &key)
	{
		Result r;

		wait_until(2 * CHANGE_MS, [&] {
			r = ask(proxy, key);
			EXPECT_NE("23505", r.sqlstate) << r.message;
			EXPECT_NE("42601", r.sqlstate) << r.message;
			return r.ok;
		});
		return r;
	}
	/* Asked again anywhere: the first outcome, and one order everywhere. */
	void expect_once(const std::string &key)
	{
		for (const char *p : {"p1", "p2", "p3"})
			EXPECT_EQ("INSERT 0 1", insist(p, key).tag)
				<< key << " at " << p;
		for (const std::string &m : c.members("orders"))
			EXPECT_TRUE(
				wait_until(2 * CHANGE_MS,
					   [&] { return count(m, key) == 1; }))
				<< key << " is held " << count(m, key)
				<< " times by " << m;
	}
	void fail_over()
	{
		std::string old = primary;

		c.process(old).kill();
		ASSERT_TRUE(wait_until(CHANGE_MS, [&] {
			std::string now = c.primary("orders");
			return !now.empty() && now != old;
		}));
		look();
		c.start(old);
	}
};

/* Guards against a second run after the answer was lost on one of the links
 * that it passes, and against "not run" being said of it. */
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

		send_and_hold(p, k.key);
		c.fault("drop " + k.link + " down");
		release(k.key);
		c.fault("cut " + k.link);
		std::string state = p.state();
		EXPECT_TRUE(state == "08007" || state == "08006")
			<< k.key << ": " << state;
		c.fault("heal *");
		expect_once(k.key);
		look();
	}
}

/* Guards against a request that is run again because its proxy died. */
TEST_F(Once, ProxyKilledInTheMiddle)
{
	for (const std::string &victim : {owner, other}) {
		std::string key = "killed-" + victim;
		Pending p(c, other);

		send_and_hold(p, key);
		c.process(victim).kill();
		EXPECT_EQ(victim == owner ? "08007" : "08006", p.state())
			<< key;
		c.fault("heal *");
		c.start(victim);
		expect_once(key);
		look();
	}
}

/* Guards against a commit that is forgotten, or done again, because its
 * primary died before the answer left: once when a replica had it, and once
 * when none had. */
TEST_F(Once, PrimaryKilledBetweenCommitAndAnswer)
{
	for (bool replicated : {true, false}) {
		std::string key = replicated ? "died" : "died-alone";
		std::string old = primary;
		Pending p(c, other);

		send_and_hold(p, key);
		c.fault("drop " + owner + ">" + primary + " down");
		if (replicated)
			release(key);
		c.process(old).kill();
		/* What the relay holds back is lost with the connection. */
		c.fault("cut " + owner + ">" + old);
		c.fault("heal *");
		EXPECT_EQ("08007", p.state()) << key;
		EXPECT_EQ("INSERT 0 1", insist(other, key).tag);
		c.start(old);
		expect_once(key);
		look();
	}
}

/* Guards against a first outcome that is lost with the primary, and against
 * many callers with one request id running it more than once. */
TEST_F(Once, ManyCallersBeforeAndAfterAChangeOfPrimary)
{
	auto crowd = [&](const std::string &key) {
		std::vector<std::thread> threads;
		std::atomic<int> good{0};

		for (int i = 0; i < 12; i++)
			threads.emplace_back([&, i] {
				std::string at =
					"p" + std::to_string(i % 3 + 1);

				good += insist(at, key).tag == "INSERT 0 1";
			});
		for (std::thread &t : threads)
			t.join();
		EXPECT_EQ(12, good) << key;
	};

	crowd("before");
	fail_over();
	expect_once("before");
	crowd("after");
	expect_once("after");
	std::thread during([&] { crowd("during"); });
	fail_over();
	during.join();
	expect_once("during");
}

} // namespace
