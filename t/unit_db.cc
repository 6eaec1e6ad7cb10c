#include <gtest/gtest.h>

extern "C" {
#include "db_priv.h"
}

/* How many statements a proxy gives a member at a time. */
struct DbLoad : testing::Test {
	struct db_member m = {};
	clk_ms now = 100000;

	void SetUp() override
	{
		m.users = 8;
		m.info.slots = 6;
		m.response_ms = 10;
		m.quiet_ms = 10;
	}

	int at_most()
	{
		for (m.running = 0; m.running < 100; m.running++)
			if (!db_may_run(&m, now))
				break;
		return m.running;
	}
};

/* Guards against a queue at the member while nothing tells yet that it is
 * pressed: less urgent statements stand before urgent ones there (Threlfall
 * grown, trouble-2 and scale-2). */
TEST_F(DbLoad, HoldsWithoutPressureWhereEachMayRunOne)
{
	EXPECT_EQ(2, at_most());
	m.users = 12;
	EXPECT_EQ(1, at_most());
	m.users = 2;
	EXPECT_EQ(DB_LOAD * m.info.slots / 2, at_most());
}

/* Guards against slots that stay free because each of many proxies may run one
 * statement only (Barfani, quiet-1). */
TEST_F(DbLoad, HoldsUnderPressureOnlyWhereItIsLessThanOne)
{
	m.users = 13;
	EXPECT_EQ(100, at_most());
	m.pressed_until = now + 1;
	EXPECT_EQ(1, at_most());
	m.pressed_until = 0;
	m.response_ms = DB_PRESSED_TIMES * m.quiet_ms + 1;
	EXPECT_EQ(1, at_most());
}
