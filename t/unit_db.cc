#include <gtest/gtest.h>

extern "C" {
#include "db_priv.h"
}

/* Tests how many statements a proxy runs on a member at the same time. */
struct DbLoad : testing::Test {
	struct db_member m = {};
	clk_ms now = 100000;

	void SetUp() override
	{
		m.sharing_proxies = 8;
		m.info.slots = 6;
		m.response_ms = 10;
		m.unloaded_response_ms = 10;
	}

	int max_running()
	{
		for (m.running = 0; m.running < 100; m.running++)
			if (!db_may_run(&m, now))
				break;
		return m.running;
	}
};

/* Guards against a queue at the member before the proxy can detect that the
 * member is overloaded: in this queue, statements of low priority are ahead of
 * urgent ones (enlarged Threlfall deployment, runs trouble-2 and scale-2). */
TEST_F(DbLoad, HoldsWithoutPressureWhereEachMayRunOne)
{
	EXPECT_EQ(2, max_running());
	m.sharing_proxies = 12;
	EXPECT_EQ(1, max_running());
	m.sharing_proxies = 2;
	EXPECT_EQ(DB_STATEMENTS_PER_SLOT * m.info.slots / 2, max_running());
}

/* Guards against idle slots when each of many proxies may run only one
 * statement: below one statement for each proxy, the limit applies only while
 * the member is overloaded (Barfani deployment, run quiet-1). */
TEST_F(DbLoad, HoldsUnderPressureOnlyWhereItIsLessThanOne)
{
	m.sharing_proxies = 13;
	EXPECT_EQ(100, max_running());
	m.overloaded_until = now + 1;
	EXPECT_EQ(1, max_running());
	m.overloaded_until = 0;
	m.response_ms = DB_OVERLOADED_FACTOR * m.unloaded_response_ms + 1;
	EXPECT_EQ(1, max_running());
}

/* Tests for how long a replica is avoided after it refused a read because it
 * had not reached the required log position. */
struct DbBehind : testing::Test {
	struct db_member m = {};
	struct db_job job = {};
	clk_ms now = 100000;

	void finish_job(enum db_status status, int64_t wait)
	{
		struct db_result r = {};

		job.required_pos = {1, wait};
		r.status = status;
		r.sent = true;
		r.error = LINE_E_BEHIND;
		r.sent_at = now;
		m.running = 1;
		db_record_relayed_end(&m, &job, &r, now);
	}

	bool behind(int64_t need)
	{
		return db_is_behind(&m, {1, need}, now);
	}
};

/* Guards against reads that try every replica first while all of them lag. Each
 * read then reached the primary only after two refusals (Barfani deployment,
 * run trouble-1, 6 to 24 s). */
TEST_F(DbBehind, TriesAReplicaThatLagsLessAndLessOften)
{
	for (clk_ms pause = DB_BEHIND_PAUSE_MS; pause < DB_BEHIND_PAUSE_MAX_MS;
	     pause *= 2) {
		finish_job(DB_REFUSED, 10);
		now += pause - 1;
		EXPECT_TRUE(behind(10)) << pause;
		now++;
		EXPECT_FALSE(behind(10)) << pause;
	}
	for (int i = 0; i < 3; i++)
		finish_job(DB_REFUSED, 10);
	now += DB_BEHIND_PAUSE_MAX_MS;
	EXPECT_FALSE(behind(10));
	finish_job(DB_DONE, 10);
	finish_job(DB_REFUSED, 11);
	now += DB_BEHIND_PAUSE_MS;
	EXPECT_FALSE(behind(11)) << "a success starts anew";
}

/* Reads that need an earlier position, or none because their session wrote
 * nothing, still go to a replica that refused a later position. */
TEST_F(DbBehind, HoldsForReadsThatNeedAsMuch)
{
	finish_job(DB_REFUSED, 10);
	EXPECT_TRUE(behind(10));
	EXPECT_TRUE(behind(12));
	EXPECT_FALSE(behind(9));
	EXPECT_FALSE(behind(0));
}
