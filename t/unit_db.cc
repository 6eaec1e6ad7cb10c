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

/* What a refused position tells of a replica. */
struct DbBehind : testing::Test {
	struct db_member m = {};
	struct db_job job = {};
	clk_ms now = 100000;

	void end(enum db_status status, int64_t wait)
	{
		struct db_result r = {};

		job.wait = {1, wait};
		r.status = status;
		r.sent = true;
		r.error = LINE_E_BEHIND;
		r.sent_at = now;
		m.running = 1;
		db_note_end(&m, &job, &r, now);
	}

	bool behind(int64_t need)
	{
		return db_is_behind(&m, {1, need}, now);
	}
};

/* Guards against reads that try each replica first while all of them lag: every
 * one took two refusals to get to the primary (Barfani, trouble-1, 6 to 24 s).
 */
TEST_F(DbBehind, TriesAReplicaThatLagsLessAndLessOften)
{
	for (clk_ms pause = DB_BEHIND_MS; pause < DB_BEHIND_MAX_MS;
	     pause *= 2) {
		end(DB_REFUSED, 10);
		now += pause - 1;
		EXPECT_TRUE(behind(10)) << pause;
		now++;
		EXPECT_FALSE(behind(10)) << pause;
	}
	for (int i = 0; i < 3; i++)
		end(DB_REFUSED, 10);
	now += DB_BEHIND_MAX_MS;
	EXPECT_FALSE(behind(10));
	end(DB_DONE, 10);
	end(DB_REFUSED, 11);
	now += DB_BEHIND_MS;
	EXPECT_FALSE(behind(11)) << "a success starts anew";
}

/* Reads that may be older, or of sessions that wrote nothing, go on there. */
TEST_F(DbBehind, HoldsForReadsThatNeedAsMuch)
{
	end(DB_REFUSED, 10);
	EXPECT_TRUE(behind(10));
	EXPECT_TRUE(behind(12));
	EXPECT_FALSE(behind(9));
	EXPECT_FALSE(behind(0));
}
