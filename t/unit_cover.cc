#include <gtest/gtest.h>

#include <vector>

extern "C" {
#include "cover.h"
}

/* Logs that are known and may lead, unless a test changes one. */
struct Cover : testing::Test {
	std::vector<struct cov_log> logs;

	void add(int64_t term, int64_t number)
	{
		logs.push_back({.end = {term, number},
				.known = true,
				.may_lead = true,
				.last_resort = 0});
	}

	void add_silent()
	{
		logs.push_back({});
	}

	int choose(int64_t sync = 1)
	{
		struct cov_group g = {.logs = logs.data(),
				      .n = (int)logs.size(),
				      .sync_replicas = sync};

		return cov_choose(&g);
	}
};

TEST_F(Cover, TheNewestOfAllButOneIsChosen)
{
	add_silent();
	add(1, 10);
	add(1, 12);
	EXPECT_EQ(2, choose());
}

/* A log of a later term ends later than a longer one of an earlier term. */
TEST_F(Cover, TheTermOfTheLastCommitGoesFirst)
{
	add_silent();
	add(1, 20);
	add(2, 12);
	EXPECT_EQ(2, choose());
}

/* Guards against a choice among too few: a log that is not known may be the
 * only other one with a commit. */
TEST_F(Cover, NoneIsChosenWhileTwoAreUnknown)
{
	add_silent();
	add_silent();
	add(1, 12);
	EXPECT_EQ(COV_NONE, choose());
	EXPECT_EQ(2, choose(2));
}

/* A log that was read need not be covered if enough others are. */
TEST_F(Cover, OneLogMayEndLater)
{
	add(1, 13);
	add(1, 12);
	add(1, 11);
	logs[0].may_lead = false;
	EXPECT_EQ(1, choose());
	logs[1].may_lead = false;
	EXPECT_EQ(COV_NONE, choose());
}

/* Guards against a group that waits for logs although that of its primary,
 * which holds all acknowledged commits, is known. */
TEST_F(Cover, ThePrimarysLogIsEnough)
{
	add_silent();
	add_silent();
	add(1, 12);
	add(1, 11);
	logs[2].complete = true;
	EXPECT_EQ(2, choose());
	logs[2].may_lead = false;
	EXPECT_EQ(COV_NONE, choose());
	logs[3].end.number = 12;
	EXPECT_EQ(3, choose());
	logs[2].known = false;
	EXPECT_EQ(COV_NONE, choose());
}

/* Guards against a primary that starts again with nothing, and whose log then
 * counts as the whole one. */
TEST_F(Cover, ThePrimarysLogIsNotEnoughIfAnotherEndsLater)
{
	add_silent();
	add_silent();
	add(1, 0);
	add(1, 11);
	logs[2].complete = true;
	EXPECT_EQ(COV_NONE, choose());
}

/* Guards against a preference that costs commits (review/6). */
TEST_F(Cover, AMemberOfLastResortLeadsIfOnlyItHoldsAll)
{
	add_silent();
	add(1, 10);
	add(1, 12);
	logs[2].last_resort = 1;
	EXPECT_EQ(2, choose());
	logs[1].end.number = 12;
	EXPECT_EQ(1, choose());
}
