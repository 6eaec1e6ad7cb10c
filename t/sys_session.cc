#include "lib_load.h"

#include <gtest/gtest.h>

using namespace cluster;
using namespace load;

namespace
{

constexpr int CHANGE_MS = 7000; /* bound of a change of primary */

std::string lists()
{
	const std::string rest = "\"connections\": 30, \"max_age_ms\": 5000, "
				 "\"max_wait_ms\": 5000";

	return "{\"plans\": [{\"name\": \"safe\", " + rest +
	       "}, {\"name\": \"fast\", \"durability\": \"primary\", " + rest +
	       "}],\n\"customers\": [" +
	       customer_json("shop", "safe", "shop-password") + ",\n" +
	       customer_json("quick", "fast", "quick-password") + "]}\n";
}

struct Session : testing::Test {
	static std::unique_ptr<Cluster> c;

	static void SetUpTestSuite()
	{
		Spec s;

		s.relay = true;
		s.lists = lists();
		s.groups.clear();
		for (int lag : {20, 200, 2000}) {
			GroupSpec g;

			g.name = "lag" + std::to_string(lag);
			g.lag_ms = lag;
			s.groups.push_back(g);
		}
		c = std::make_unique<Cluster>(s);
		ASSERT_TRUE(c->start(30000));
		for (const GroupSpec &g : s.groups)
			ASSERT_TRUE(create_table(*c, g.name));
	}
	static void TearDownTestSuite()
	{
		c.reset();
	}
	/* Number of orders with a key that a session sees; -1 if refused. */
	static int seen(const std::string &proxy, const std::string &group,
			const std::string &session, const std::string &key,
			std::string *state = nullptr)
	{
		std::string options =
			session.empty() ? ""
					: "-c marjoramlatch.session=" + session;
		Result r = c->customer(proxy, group, options)
				   .exec("SELECT count(*) FROM " +
					 std::string(TABLE) + " WHERE k = '" +
					 key + "'");

		if (state)
			*state = r.sqlstate;
		return r.ok ? atoi(r.value().c_str()) : -1;
	}
	/* Places an order until it is answered; returns the token. */
	static std::string place(const std::string &proxy,
				 const std::string &group,
				 const std::string &key,
				 const std::string &customer = "shop")
	{
		std::string token;

		wait_until(2 * CHANGE_MS, [&] {
			Caller x = c->customer(proxy, group, "", customer);
			Result r = x.exec("/* marjoramlatch.request_id=" + key +
					  " */ INSERT INTO " + TABLE +
					  " VALUES ('" + key + "', 's')");

			token = x.parameter("marjoramlatch.session");
			return r.ok;
		});
		EXPECT_NE("", token) << key;
		return token;
	}
	/* A read that may be refused but must not miss the order. */
	static bool sees(const std::string &proxy, const std::string &group,
			 const std::string &token, const std::string &key)
	{
		int n = -1;

		EXPECT_TRUE(wait_until(2 * CHANGE_MS,
				       [&] {
					       n = seen(proxy, group, token,
							key);
					       return n >= 0;
				       }))
			<< "no answer at " << proxy;
		EXPECT_EQ(1, n) << key << " with " << token << " at " << proxy;
		return n == 1;
	}
	static std::string replica(const std::string &group)
	{
		std::string primary = c->primary(group);

		for (const std::string &id : c->members(group))
			if (id != primary)
				return id;
		return "";
	}
};

std::unique_ptr<Cluster> Session::c;

/* Guards against a session that misses its own order after it moved to
 * another proxy, at each lag. */
TEST_F(Session, MovesBetweenProxiesWithItsToken)
{
	std::vector<std::thread> threads;

	for (const char *group : {"lag20", "lag200", "lag2000"})
		threads.emplace_back([group] {
			for (int i = 0; i < 24; i++) {
				std::string key = "move" + std::to_string(i);
				auto proxy = [&](int n) {
					return "p" +
					       std::to_string((i + n) % 3 + 1);
				};
				std::string token = place(proxy(0), group, key);

				for (int n = 1; n <= 3; n++)
					sees(proxy(n), group, token, key);
			}
		});
	for (std::thread &t : threads)
		t.join();
}

/* Guards against a read at a replica that is behind, by a session that has
 * lost its token and gives its id only. */
TEST_F(Session, IdWithoutTokenReadsAtThePrimary)
{
	for (int i = 0; i < 12; i++) {
		std::string key = "id" + std::to_string(i);

		place("p1", "lag2000", key);
		sees(i % 2 ? "p2" : "p3", "lag2000", "web-42", key);
	}
}

/* Guards against a rebuilt replica that serves a session before it has the
 * session's orders again. */
TEST_F(Session, ReadsWhileAReplicaIsRebuilt)
{
	std::string token = place("p1", "lag200", "kept");
	std::string victim = replica("lag200");
	bool rebuilt = false;

	c->wipe(victim);
	c->start(victim);
	EXPECT_TRUE(wait_until(
		20000,
		[&] {
			for (const char *p : {"p1", "p2", "p3"})
				sees(p, "lag200", token, "kept");
			Result r = c->member(victim).exec(
				"SELECT count(*) FROM " + std::string(TABLE) +
				" WHERE k = 'kept'");
			rebuilt = r.ok && r.value() == "1";
			return rebuilt || HasFailure();
		},
		1));
	EXPECT_TRUE(rebuilt) << victim << " did not get its data back";
}

/* Guards against a new primary, or its replicas, without the session's
 * orders. */
TEST_F(Session, ChangeOfPrimary)
{
	for (const char *group : {"lag20", "lag200", "lag2000"}) {
		std::string old = c->primary(group);
		std::string token = place("p1", group, "changed");

		c->process(old).kill();
		for (int i = 0; i < 9; i++)
			sees("p" + std::to_string(i % 3 + 1), group, token,
			     "changed");
		ASSERT_TRUE(wait_until(2 * CHANGE_MS, [&] {
			std::string now = c->primary(group);

			return !now.empty() && now != old;
		}));
		for (int i = 0; i < 9; i++)
			sees("p" + std::to_string(i % 3 + 1), group, token,
			     "changed");
		c->start(old);
		token = place("p2", group, "changed-again");
		sees("p3", group, token, "changed-again");
	}
}

/* Guards against a session that silently goes back in time when a change of
 * primary lost its order, as durability "primary" allows. */
TEST_F(Session, LostTokenIsReported)
{
	const std::string group = "lag200";
	std::string old, token, state;

	ASSERT_TRUE(wait_until(2 * CHANGE_MS, [&] {
		old = c->primary(group);
		return !old.empty();
	}));
	place("p1", group, "before-the-cut", "quick");
	c->fault("cut " + group + "-*>" + old);
	token = place("p1", group, "lost", "quick");
	ASSERT_TRUE(wait_until(2 * CHANGE_MS, [&] {
		std::string now = show(*c, "p2", "GROUPS", group, "primary");

		return !now.empty() && now != old;
	}));
	for (const char *p : {"p1", "p2", "p3"}) {
		EXPECT_TRUE(wait_until(CHANGE_MS, [&] {
			int n = seen(p, group, token, "lost", &state);

			EXPECT_TRUE(n != 0) << "went back in time at " << p;
			return state == "ML001" || n == 0;
		})) << state;
		EXPECT_EQ("ML001", state) << p;
	}
	/* A new session goes on from what is there. */
	EXPECT_EQ(0, seen("p2", group, "", "lost"));
	c->fault("heal *");
}

} // namespace
