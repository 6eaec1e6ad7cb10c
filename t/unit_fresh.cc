#include <gtest/gtest.h>

extern "C" {
#include "freshness.h"
}

/* Guards against reads that are older than max_age: a position from a request
 * that was sent before now - max_age may lack commits that were acknowledged
 * between its sending and that time. */
TEST(Fresh, NeedsASampleSentWithinTheAge)
{
	struct freshness_samples f = {};
	struct pos p;

	EXPECT_FALSE(frs_required_position(&f, 5000, 1000, &p));
	frs_add_sample(&f, 3999, {1, 10});
	EXPECT_FALSE(frs_required_position(&f, 5000, 1000, &p));
	frs_add_sample(&f, 4200, {1, 12});
	frs_add_sample(&f, 4600, {1, 15});
	ASSERT_TRUE(frs_required_position(&f, 5000, 1000, &p));
	EXPECT_EQ(12, p.number);
	ASSERT_TRUE(frs_required_position(&f, 5300, 1000, &p));
	EXPECT_EQ(15, p.number);
	EXPECT_FALSE(frs_required_position(&f, 5601, 1000, &p));
}

TEST(Fresh, KeepsTheYoungestSampleWithinTheSpacing)
{
	struct freshness_samples f = {};
	struct pos p;

	for (int i = 0; i < 2000; i++)
		frs_add_sample(&f, 1000 + i, {1, i});
	ASSERT_TRUE(frs_required_position(&f, 3000, 5, &p));
	EXPECT_EQ(1999, p.number);
	ASSERT_TRUE(frs_required_position(&f, 3000, 1000, &p));
	EXPECT_LE(p.number, 1000 + 2 * FRS_SPACING_MS);
}

TEST(Fresh, IgnoresLateAnswersAndMissingPositions)
{
	struct freshness_samples f = {};
	struct pos p;

	frs_add_sample(&f, 2000, {2, 5});
	frs_add_sample(&f, 1900, {1, 900});
	frs_add_sample(&f, 2100, {0, 0});
	ASSERT_TRUE(frs_required_position(&f, 2500, 1000, &p));
	EXPECT_EQ(2, p.term);
	EXPECT_EQ(5, p.number);
}
