#include "lib_orders.h"

#include <gtest/gtest.h>

using namespace cluster;
using history::Outcome;

/*
 * Callers place orders while a fault is injected. Each test guards against an
 * order that is lost, duplicated or wrongly reported as refused, and against a
 * session that can't read its own order. The interruption of the service must
 * stay below 7 s.
 */

namespace
{

constexpr int MAX_INTERRUPTION_MS = 7000;
constexpr int SESSIONS = 4;
constexpr int ORDERS_PER_PHASE = 40; /* answered in each phase of a test */

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

	/* Waits until n more orders have been answered. */
	bool wait_for_orders(int n)
	{
		int64_t goal =
			orders.recorded_history().count(Outcome::ANSWERED) + n;

		return wait_until(20000, [&] {
			return orders.recorded_history().count(
				       Outcome::ANSWERED) >= goal;
		});
	}

	/* Returns the primary. Tries for 5 s, because the status may name none
	 * during a change of primary. */
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
		int64_t fault_time_ms;
		int64_t repair_time_ms;

		ASSERT_TRUE(c.start());
		ASSERT_TRUE(orders.create_orders_table());
		orders.start(SESSIONS);
		ASSERT_TRUE(wait_for_orders(ORDERS_PER_PHASE))
			<< orders.errors();
		fault_time_ms = now_ms();
		fault();
		EXPECT_TRUE(wait_for_orders(ORDERS_PER_PHASE))
			<< orders.errors();
		repair_time_ms = now_ms();
		repair();
		EXPECT_TRUE(wait_for_orders(ORDERS_PER_PHASE))
			<< orders.errors();
		orders.stop();
		ASSERT_TRUE(orders.record_member_orders(20000))
			<< orders.errors();
		for (const std::string &v : orders.recorded_history().check())
			ADD_FAILURE() << v;
		EXPECT_LT(orders.recorded_history().longest_gap(fault_time_ms,
								repair_time_ms),
			  MAX_INTERRUPTION_MS);
		printf("answered %d unknown %d not run %d interruption %d ms\n",
		       (int)orders.recorded_history().count(Outcome::ANSWERED),
		       (int)orders.recorded_history().count(Outcome::UNKNOWN),
		       (int)orders.recorded_history().count(Outcome::NOT_RUN),
		       (int)orders.recorded_history().longest_gap(
			       fault_time_ms, repair_time_ms));
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
			r.c.process(victim).suspend_process();
		},
		[&] { r.c.process(victim).resume_process(); });
}

/* The primary stays connected to all processes except its replicas. */
TEST(Orders, PrimaryPartitionedFromReplicas)
{
	Trial r;
	std::string rule;

	r.run(
		[&] {
			std::string victim = r.primary();

			ASSERT_NE("", victim);
			rule = "orders-*>" + victim;
			r.c.relay_command("freeze " + rule);
		},
		[&] { r.c.relay_command("heal " + rule); });
}

TEST(Orders, ProxyKilled)
{
	Trial r;

	r.run([&] { r.c.process("p2").kill(); }, [&] { r.c.start("p2"); });
}
