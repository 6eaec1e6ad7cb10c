#include <gtest/gtest.h>

extern "C" {
#include "freshness.h"
}

static void add_sample(struct freshness_samples *f, clk_ms sent, struct pos pos)
{
	struct freshness_sample s = {
		.sent = sent, .received = sent + 10, .pos = pos};

	frs_add_sample(f, &s);
}

/* Guards against reads that are older than max_age: a position from a request
 * that was sent before now - max_age may lack commits that were acknowledged
 * between its sending and that time. */
TEST(Fresh, NeedsASampleSentWithinTheAge)
{
	struct freshness_samples f = {};
	const struct freshness_sample *s;

	EXPECT_EQ(nullptr, frs_required_sample(&f, 5000, 1000));
	add_sample(&f, 3999, {1, 10});
	EXPECT_EQ(nullptr, frs_required_sample(&f, 5000, 1000));
	add_sample(&f, 4200, {1, 12});
	add_sample(&f, 4600, {1, 15});
	s = frs_required_sample(&f, 5000, 1000);
	ASSERT_NE(nullptr, s);
	EXPECT_EQ(12, s->pos.number);
	s = frs_required_sample(&f, 5300, 1000);
	ASSERT_NE(nullptr, s);
	EXPECT_EQ(15, s->pos.number);
	EXPECT_EQ(nullptr, frs_required_sample(&f, 5601, 1000));
}

TEST(Fresh, KeepsTheYoungestSampleWithinTheSpacing)
{
	struct freshness_samples f = {};
	const struct freshness_sample *s;

	for (int i = 0; i < 2000; i++)
		add_sample(&f, 1000 + i, {1, i});
	s = frs_required_sample(&f, 3000, 5);
	ASSERT_NE(nullptr, s);
	EXPECT_EQ(1999, s->pos.number);
	s = frs_required_sample(&f, 3000, 1000);
	ASSERT_NE(nullptr, s);
	EXPECT_LE(s->pos.number, 1000 + 2 * FRS_SPACING_MS);
}

TEST(Fresh, IgnoresLateAnswersAndMissingPositions)
{
	struct freshness_samples f = {};
	const struct freshness_sample *s;

	add_sample(&f, 2000, {2, 5});
	add_sample(&f, 1900, {1, 900});
	add_sample(&f, 2100, {0, 0});
	s = frs_required_sample(&f, 2500, 1000);
	ASSERT_NE(nullptr, s);
	EXPECT_EQ(2, s->pos.term);
	EXPECT_EQ(5, s->pos.number);
}

/* Guards against logs that don't show that a position came from a member that
 * no longer leads: it was sent after a higher one had come in. An answer that
 * overtook another shows nothing. */
TEST(Fresh, NoticesPositionsThatContradictTheNewestOne)
{
	struct freshness_samples f = {};
	struct freshness_sample s = {.sent = 2000, .pos = {2, 4}};

	EXPECT_FALSE(frs_contradicts(&f, &s));
	add_sample(&f, 1985, {2, 5});
	EXPECT_TRUE(frs_contradicts(&f, &s));
	s.pos = {1, 9};
	EXPECT_TRUE(frs_contradicts(&f, &s));
	s.sent = 1994;
	EXPECT_FALSE(frs_contradicts(&f, &s));
	s.sent = 2000;
	s.pos = {2, 5};
	EXPECT_FALSE(frs_contradicts(&f, &s));
}
