#include "lib_orders.h"

#include <gtest/gtest.h>

using namespace cluster;
using history::Outcome;

/*
 * Orders placed while something fails. Each test guards against a lost, a
 * doubled or a wrongly refused order, and against a session that misses its
 * own order; the interruption of the service must stay below 7 s.
 */

namespace
{

constexpr int LIMIT_MS = 7000;
constexpr int SESSIONS = 4;
constexpr int QUIET_ORDERS = 40; /* answered before and after the fault */

struct Trial {
	Cluster c;
	Orders orders;

	static Spec spec()
	{
		Spec s;

		s.relay = true;
		return s;
	}

	Trial() : c(spec()), orders(c, {"p1", "p2", "p3"}, "orders", 1)
	{
	}

	bool more_orders(int n)
	{
		int64_t goal = orders.seen().count(Outcome::ANSWERED) + n;

		return wait_until(20000, [&] {
			return orders.seen().count(Outcome::ANSWERED) >= goal;
		});
	}

	/* The primary; a status that is asked during a change of primary may
	 * name none. */
	std::string primary()
	{
		std::string found;

		wait_until(5000, [&] {
			found = c.primary("orders");
			return !found.empty();
		});
		return found;
	}

	/* Places orders, injects the fault, waits until orders are answered
	 * again, repairs, and checks. */
	void run(const std::function<void()> &fault,
		 const std::function<void()> &repair)
	{
		int64_t t0;
		int64_t t1;

		ASSERT_TRUE(c.start());
		ASSERT_TRUE(orders.prepare());
		orders.start(SESSIONS);
		ASSERT_TRUE(more_orders(QUIET_ORDERS)) << orders.errors();
		t0 = now_ms();
		fault();
		EXPECT_TRUE(more_orders(QUIET_ORDERS)) << orders.errors();
		t1 = now_ms();
		repair();
		EXPECT_TRUE(more_orders(QUIET_ORDERS)) << orders.errors();
		orders.stop();
		ASSERT_TRUE(orders.collect(20000)) << orders.errors();
		for (const std::string &v : orders.seen().check())
			ADD_FAILURE() << v;
		EXPECT_LT(orders.seen().longest_gap(t0, t1), LIMIT_MS);
		printf("answered %d unknown %d not run %d interruption %d ms\n",
		       (int)orders.seen().count(Outcome::ANSWERED),
		       (int)orders.seen().count(Outcome::UNKNOWN),
		       (int)orders.seen().count(Outcome::NOT_RUN),
		       (int)orders.seen().longest_gap(t0, t1));
	}
};

} // namespace

TEST(Orders, NoFault)
{
	Trial r;

	r.run([] {}, [] {});
}

TEST(Orders, PrimaryKilled)
{
	Trial r;
	std::string victim;

	r.run(
		[&] {
			victim = r.primary();
			ASSERT_NE("", victim);
			r.c.process(victim).kill();
		},
		[&] { r.c.start(victim); });
}

TEST(Orders, PrimaryFrozen)
{
	Trial r;
	std::string victim;

	r.run(
		[&] {
			victim = r.primary();
			ASSERT_NE("", victim);
			r.c.process(victim).freeze();
		},
		[&] { r.c.process(victim).thaw(); });
}

/* The primary still talks to everyone but its replicas. */
TEST(Orders, PrimaryPartitionedFromReplicas)
{
	Trial r;
	std::string rule;

	r.run(
		[&] {
			std::string victim = r.primary();

			ASSERT_NE("", victim);
			rule = "orders-*>" + victim;
			r.c.fault("freeze " + rule);
		},
		[&] { r.c.fault("heal " + rule); });
}

TEST(Orders, ProxyKilled)
{
	Trial r;

	r.run([&] { r.c.process("p2").kill(); }, [&] { r.c.start("p2"); });
}
