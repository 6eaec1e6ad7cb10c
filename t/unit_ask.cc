#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

extern "C" {
#include "ask.h"
}

struct Ask : testing::Test {
	struct settings set = {};
	struct ask_schedule *a = nullptr;
	clk_ms now = 1000;
	int64_t seq = 0, newest_answer_seq = 0;

	void SetUp() override
	{
		set.ncontrols = 3;
		set.ask_ms = 400;
		for (int i = 0; i < 3; i++)
			snprintf(set.controls[i].id, ID_LEN, "c%d", i + 1);
		a = ask_new(&set, 0);
		for (int i = 0; i < 3; i++)
			ask_on_link_up(a, i, now);
	}
	void TearDown() override
	{
		ask_free(a);
	}
	/* Advances the time to the next ask and returns the index of the
	 * control instance that gets it, or -1 if none is due. */
	int send_next_ask()
	{
		int control = -1;

		while (control < 0 && ask_next_due(a) != CLK_NEVER) {
			now = std::max(now, ask_next_due(a));
			control = ask_pick_control(a, now, &seq,
						   &newest_answer_seq);
		}
		return control;
	}
	bool answer(int control, enum res res = RES_OK, const char *leader = "",
		    int64_t ask_number = 0)
	{
		struct msg_answer m = {};
		clk_ms sent_at;

		m.ask_seq = ask_number ? ask_number : seq;
		m.answer_seq = 100 + m.ask_seq;
		m.res = res;
		snprintf(m.leader, ID_LEN, "%s", leader);
		return ask_on_answer(a, control, &m, now, &sent_at);
	}
};

TEST_F(Ask, SearchesInTurnUntilALeaderAnswers)
{
	std::vector<int> asked;

	for (int i = 0; i < 3; i++) {
		asked.push_back(send_next_ask());
		EXPECT_FALSE(answer(asked.back(), RES_NOT_LEADER));
	}
	std::sort(asked.begin(), asked.end());
	EXPECT_EQ((std::vector<int>{0, 1, 2}), asked);
	EXPECT_LE(now, 1000 + 3 * ASK_SEARCH_INTERVAL_MS);
	int leader = send_next_ask();
	EXPECT_TRUE(answer(leader));
	EXPECT_EQ(leader, ask_leader(a));
	clk_ms before = now;
	EXPECT_EQ(leader, send_next_ask());
	EXPECT_EQ(before + set.ask_ms, now);
	EXPECT_EQ(100 + seq - 1, newest_answer_seq);
}

TEST_F(Ask, FollowsHints)
{
	int first = send_next_ask();
	clk_ms before = now;

	EXPECT_FALSE(answer(first, RES_NOT_LEADER, "c3"));
	EXPECT_EQ(2, send_next_ask());
	EXPECT_LE(now, before + ASK_MIN_INTERVAL_MS);
}

/* Guards against a lease that expires because an unresponsive leader is asked
 * repeatedly while the other instances still name it as the leader. */
TEST_F(Ask, LeavesASilentLeader)
{
	ASSERT_EQ(0, send_next_ask());
	ASSERT_TRUE(answer(0));
	ASSERT_EQ(0, send_next_ask());
	clk_ms unresponsive_since = now;
	std::vector<int> asked;
	for (int i = 0; i < 4; i++) {
		int c = send_next_ask();

		asked.push_back(c);
		if (c != 0) {
			EXPECT_FALSE(answer(c, RES_NOT_LEADER, "c1"));
		}
	}
	EXPECT_LE(now, unresponsive_since + ASK_UNRESPONSIVE_MS +
			       4 * ASK_SEARCH_INTERVAL_MS);
	EXPECT_NE(asked.end(), std::find(asked.begin(), asked.end(), 1));
	EXPECT_NE(asked.end(), std::find(asked.begin(), asked.end(), 2));
	EXPECT_EQ(-1, ask_leader(a));
}

/* Guards against a flood of asks while many requests wait for quota:
 * ask_set_due_now() must not cause an ask earlier than ASK_MIN_INTERVAL_MS
 * after the previous one. */
TEST_F(Ask, WakesAtOnceButNotTooOften)
{
	ASSERT_EQ(0, send_next_ask());
	ASSERT_TRUE(answer(0));
	clk_ms last = now;
	now += 5;
	ask_set_due_now(a, now);
	EXPECT_EQ(last + ASK_MIN_INTERVAL_MS, ask_next_due(a));
	ASSERT_EQ(0, send_next_ask());
	ASSERT_TRUE(answer(0));
	now += 100;
	ask_set_due_now(a, now);
	EXPECT_EQ(now, ask_next_due(a));
}

/* Guards against an outdated or duplicate answer that extends a lease. */
TEST_F(Ask, IgnoresAnswersThatMatchNoAsk)
{
	ASSERT_EQ(0, send_next_ask());
	int64_t first = seq;
	EXPECT_FALSE(answer(1));
	EXPECT_FALSE(answer(0, RES_OK, "", first + 1));
	EXPECT_TRUE(answer(0));
	EXPECT_FALSE(answer(0));
	ASSERT_EQ(0, send_next_ask());
	ask_on_link_down(a, 0, now);
	EXPECT_FALSE(answer(0));
	EXPECT_NE(0, send_next_ask());
}
