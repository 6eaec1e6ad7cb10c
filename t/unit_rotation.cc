#include <gtest/gtest.h>

extern "C" {
#include "rotation.h"
}

/* Each check advances the clock by 100 ms, the interval at which the proxy
 * calls rot_update(). */
struct Rotation : testing::Test {
	struct rotation r = {};
	clk_ms now = 100000;

	enum rot_event check(bool doubtful, bool lost, bool misses_primary,
			     bool leader = false, bool keys_end = false)
	{
		struct rot_connectivity l = {doubtful, lost, misses_primary,
					     leader, keys_end};

		now += 100;
		return rot_update(&r, &l, now);
	}
};

/* Guards against an instance that leaves the rotation because the control
 * instances are unresponsive for a short time. The balancer removes it only
 * after two consecutive refusals. */
TEST_F(Rotation, DoubtAloneNeverRefusesTwoProbesInARow)
{
	bool before = true;

	for (int i = 0; i < 30; i++) {
		bool ok;

		check(true, true, false);
		ok = rot_answer_probe(&r);
		EXPECT_TRUE(ok || before);
		before = ok;
		EXPECT_FALSE(rot_removed_by_balancer(&r, now));
	}
	check(false, false, false, true);
	EXPECT_TRUE(rot_answer_probe(&r));
}

/* Guards against a zone that stays in the rotation for a second longer because
 * a probe was answered with 200 before the proxies knew that they were cut off
 * (Threlfall grown, trouble-3: the last instance of a cut-off zone left 3.1 s
 * after the cut). */
TEST_F(Rotation, RefusesFromTheFirstDoubtOnIfItIsCutOff)
{
	clk_ms doubt_began;

	check(true, false, false);
	doubt_began = now;
	EXPECT_FALSE(rot_answer_probe(&r));
	EXPECT_EQ(ROT_UNCHANGED, check(true, true, false));
	EXPECT_EQ(ROT_CUT_OFF, check(true, true, true));
	EXPECT_FALSE(rot_answer_probe(&r));
	while (now < doubt_began + ROT_BALANCER_REMOVAL_MS - 100) {
		check(true, true, true);
		EXPECT_FALSE(rot_removed_by_balancer(&r, now));
	}
	check(true, true, true);
	EXPECT_TRUE(rot_removed_by_balancer(&r, now));
}

/* While an instance was only doubtful, every second probe was accepted. Once it
 * is cut off, two refused probes are needed from then on. */
TEST_F(Rotation, CountsAgainAfterADoubtThatLasted)
{
	clk_ms cut_off_at;

	for (int i = 0; i < 20; i++)
		check(true, true, false);
	EXPECT_EQ(ROT_CUT_OFF, check(true, true, true));
	cut_off_at = now;
	while (now < cut_off_at + ROT_BALANCER_REMOVAL_MS - 100) {
		check(true, true, true);
		EXPECT_FALSE(rot_removed_by_balancer(&r, now));
	}
	check(true, true, true);
	EXPECT_TRUE(rot_removed_by_balancer(&r, now));
}

/* An instance whose links work again counts as connected only after the control
 * leader has answered. */
TEST_F(Rotation, ComesBackWithTheLeader)
{
	check(true, true, true);
	EXPECT_EQ(ROT_CUT_OFF, check(true, true, true));
	EXPECT_EQ(ROT_UNCHANGED, check(false, false, false, false));
	EXPECT_FALSE(rot_answer_probe(&r));
	EXPECT_EQ(ROT_CONNECTED, check(false, false, false, true));
	EXPECT_TRUE(rot_answer_probe(&r));
	EXPECT_FALSE(rot_removed_by_balancer(&r, now));
}

/* A process that was paused finds all links unresponsive at its first check,
 * before it has read what arrived meanwhile. */
TEST_F(Rotation, OneLookIsNotEnough)
{
	EXPECT_EQ(ROT_UNCHANGED, check(true, true, true));
	EXPECT_EQ(ROT_UNCHANGED, check(false, false, false, true));
	EXPECT_EQ(ROT_UNCHANGED, check(true, true, true));
}

/* Guards against callers that are sent to an instance which refuses their keys:
 * its lease of API keys is about to end, and control is silent. */
TEST_F(Rotation, LeavesBeforeItMayNotUseKeysAnyMore)
{
	EXPECT_EQ(ROT_UNCHANGED, check(true, true, false));
	EXPECT_EQ(ROT_UNCHANGED, check(true, true, false));
	EXPECT_EQ(ROT_CUT_OFF, check(true, true, false, false, true));
	EXPECT_FALSE(rot_answer_probe(&r));
	EXPECT_EQ(ROT_CONNECTED, check(false, false, false, true));
}

/* Guards against all instances leaving at once because there is no leader. */
TEST_F(Rotation, StaysWhileControlIsHeardWithoutALeader)
{
	for (int i = 0; i < 50; i++) {
		EXPECT_EQ(ROT_UNCHANGED,
			  check(false, false, false, false, true));
		EXPECT_TRUE(rot_answer_probe(&r));
	}
}
