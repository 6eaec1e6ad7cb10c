#include <gtest/gtest.h>

extern "C" {
#include "rotation.h"
}

/* Looks each 100 ms, as the proxy does. */
struct Rotation : testing::Test {
	struct rotation r = {};
	clk_ms now = 100000;

	enum rot_event look(bool doubtful, bool lost, bool misses,
			    bool leader = false)
	{
		struct rot_seen l = {doubtful, lost, misses, leader};

		now += 100;
		return rot_look(&r, &l, now);
	}
};

/* Guards against an instance that leaves for a short silence of control: the
 * balancer acts on two refusals in a row only. */
TEST_F(Rotation, DoubtAloneNeverRefusesTwoProbesInARow)
{
	bool before = true;

	for (int i = 0; i < 30; i++) {
		bool ok;

		look(true, true, false);
		ok = rot_probe(&r);
		EXPECT_TRUE(ok || before);
		before = ok;
		EXPECT_FALSE(rot_is_out(&r, now));
	}
	look(false, false, false, true);
	EXPECT_TRUE(rot_probe(&r));
}

/* Guards against a zone that stays in the rotation for a second longer: a
 * probe that came before the proxies were sure was answered with 200 (Threlfall
 * grown, trouble-3: the last of a cut zone left 3.1 s after the cut). */
TEST_F(Rotation, RefusesFromTheFirstDoubtOnIfItIsCutOff)
{
	clk_ms doubt;

	look(true, false, false);
	doubt = now;
	EXPECT_FALSE(rot_probe(&r));
	EXPECT_EQ(ROT_NOTHING, look(true, true, false));
	EXPECT_EQ(ROT_CUT_OFF, look(true, true, true));
	EXPECT_FALSE(rot_probe(&r));
	while (now < doubt + ROT_NOTICE_MS - 100) {
		look(true, true, true);
		EXPECT_FALSE(rot_is_out(&r, now));
	}
	look(true, true, true);
	EXPECT_TRUE(rot_is_out(&r, now));
}

/* An old doubt has refused every second probe only. */
TEST_F(Rotation, CountsAgainAfterADoubtThatLasted)
{
	clk_ms sure;

	for (int i = 0; i < 20; i++)
		look(true, true, false);
	EXPECT_EQ(ROT_CUT_OFF, look(true, true, true));
	sure = now;
	while (now < sure + ROT_NOTICE_MS - 100) {
		look(true, true, true);
		EXPECT_FALSE(rot_is_out(&r, now));
	}
	look(true, true, true);
	EXPECT_TRUE(rot_is_out(&r, now));
}

/* An instance that reads again is connected once the leader has answered. */
TEST_F(Rotation, ComesBackWithTheLeader)
{
	look(true, true, true);
	EXPECT_EQ(ROT_CUT_OFF, look(true, true, true));
	EXPECT_EQ(ROT_NOTHING, look(false, false, false, false));
	EXPECT_FALSE(rot_probe(&r));
	EXPECT_EQ(ROT_CONNECTED, look(false, false, false, true));
	EXPECT_TRUE(rot_probe(&r));
	EXPECT_FALSE(rot_is_out(&r, now));
}

/* A process that was held up finds all silent at its first look. */
TEST_F(Rotation, OneLookIsNotEnough)
{
	EXPECT_EQ(ROT_NOTHING, look(true, true, true));
	EXPECT_EQ(ROT_NOTHING, look(false, false, false, true));
	EXPECT_EQ(ROT_NOTHING, look(true, true, true));
}
