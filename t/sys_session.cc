#include "lib_load.h"

#include <gtest/gtest.h>

using namespace cluster;
using namespace load;

namespace
{

constexpr int PRIMARY_CHANGE_MS = 7000; /* limit for a change of primary */

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
			g.log_apply_delay_ms = lag;
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
	/* Number of orders with this key that a session sees; -1 if the
	 * read was refused. */
	static int count_visible_orders(const std::string &proxy,
					const std::string &group,
					const std::string &session,
					const std::string &key,
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
	/* Retries an order until it is confirmed; returns the session
	 * token. */
	static std::string place_order(const std::string &proxy,
				       const std::string &group,
				       const std::string &key,
				       const std::string &customer = "shop")
	{
		std::string token;

		wait_until(2 * PRIMARY_CHANGE_MS, [&] {
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
	/* Checks that the session sees its order. The read may be refused,
	 * and is then retried, but must not miss the order. */
	static bool expect_order_visible(const std::string &proxy,
					 const std::string &group,
					 const std::string &token,
					 const std::string &key)
	{
		int n = -1;

		EXPECT_TRUE(wait_until(2 * PRIMARY_CHANGE_MS,
				       [&] {
					       n = count_visible_orders(
						       proxy, group, token,
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

/* Guards against a session that doesn't see its own order after it moved to
 * another proxy; run at each replication lag. */
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
				std::string token =
					place_order(proxy(0), group, key);

				for (int n = 1; n <= 3; n++)
					expect_order_visible(proxy(n), group,
							     token, key);
			}
		});
	for (std::thread &t : threads)
		t.join();
}

/* Guards against a read that a replica which is behind serves to a session
 * that has lost its token and gives only its id. */
TEST_F(Session, IdWithoutTokenReadsAtThePrimary)
{
	for (int i = 0; i < 12; i++) {
		std::string key = "id" + std::to_string(i);

		place_order("p1", "lag2000", key);
		expect_order_visible(i % 2 ? "p2" : "p3", "lag2000", "web-42",
				     key);
	}
}

/* Guards against a replica that, while it is rebuilt, serves a session
 * before it has the session's orders again. */
TEST_F(Session, ReadsWhileAReplicaIsRebuilt)
{
	std::string token = place_order("p1", "lag200", "kept");
	std::string wiped_replica = replica("lag200");
	bool rebuilt = false;

	c->kill_and_delete_data(wiped_replica);
	c->start(wiped_replica);
	EXPECT_TRUE(wait_until(
		20000,
		[&] {
			for (const char *p : {"p1", "p2", "p3"})
				expect_order_visible(p, "lag200", token,
						     "kept");
			Result r = c->member(wiped_replica)
					   .exec("SELECT count(*) FROM " +
						 std::string(TABLE) +
						 " WHERE k = 'kept'");
			rebuilt = r.ok && r.value() == "1";
			return rebuilt || HasFailure();
		},
		1));
	EXPECT_TRUE(rebuilt) << wiped_replica << " did not get its data back";
}

/* Guards against reads at a new primary or its replicas that miss the
 * session's orders. */
TEST_F(Session, ChangeOfPrimary)
{
	for (const char *group : {"lag20", "lag200", "lag2000"}) {
		std::string old = c->primary(group);
		std::string token = place_order("p1", group, "changed");

		c->process(old).kill();
		for (int i = 0; i < 9; i++)
			expect_order_visible("p" + std::to_string(i % 3 + 1),
					     group, token, "changed");
		ASSERT_TRUE(wait_until(2 * PRIMARY_CHANGE_MS, [&] {
			std::string now = c->primary(group);

			return !now.empty() && now != old;
		}));
		for (int i = 0; i < 9; i++)
			expect_order_visible("p" + std::to_string(i % 3 + 1),
					     group, token, "changed");
		c->start(old);
		token = place_order("p2", group, "changed-again");
		expect_order_visible("p3", group, token, "changed-again");
	}
}

/* Guards against a session that reads older data without an error after a
 * change of primary lost its order, as durability "primary" allows. */
TEST_F(Session, LostTokenIsReported)
{
	const std::string group = "lag200";
	std::string old, token, state;

	ASSERT_TRUE(wait_until(2 * PRIMARY_CHANGE_MS, [&] {
		old = c->primary(group);
		return !old.empty();
	}));
	place_order("p1", group, "before-the-cut", "quick");
	c->relay_command("cut " + group + "-*>" + old);
	token = place_order("p1", group, "lost", "quick");
	ASSERT_TRUE(wait_until(2 * PRIMARY_CHANGE_MS, [&] {
		std::string now =
			shown_value(*c, "p2", "GROUPS", group, "primary");

		return !now.empty() && now != old;
	}));
	for (const char *p : {"p1", "p2", "p3"}) {
		EXPECT_TRUE(wait_until(PRIMARY_CHANGE_MS, [&] {
			int n = count_visible_orders(p, group, token, "lost",
						     &state);

			EXPECT_TRUE(n != 0) << "went back in time at " << p;
			return state == "ML001" || n == 0;
		})) << state;
		EXPECT_EQ("ML001", state) << p;
	}
	/* A new session, without a token, is served the data that was kept. */
	EXPECT_EQ(0, count_visible_orders("p2", group, "", "lost"));
	c->relay_command("heal *");
}

} // namespace
