#include <gtest/gtest.h>

#include <algorithm>

extern "C" {
#include "ratelim.h"
}

namespace
{

constexpr int64_t OPERATION = 1000000;

/* A proxy alone, whose leader is played by the test. */
struct RateLimClient : testing::Test {
	struct rl_client *c = rl_client_new(1);
	clk_ms now = 1000;
	struct rl_token token = {};
	clk_ms retry_ms = 0;

	void SetUp() override
	{
		limit(10000, 1);
	}
	void TearDown() override
	{
		rl_client_free(c);
	}
	void limit(int64_t rate_milli, int64_t version)
	{
		struct route_table *r = rt_new();

		r->version = version;
		r->has_tenants = true;
		r->ntenants = 1;
		r->tenants =
			(struct rt_tenant *)calloc(1, sizeof(struct rt_tenant));
		strcpy(r->tenants[0].name, "t");
		r->tenants[0].rate_milli = rate_milli;
		r->tenants[0].burst_milli = 10000;
		rl_client_set_limits(c, r, now);
		rt_unref(r);
	}
	enum rl_verdict take()
	{
		return rl_client_take(c, "t", now, &token, &retry_ms);
	}
	/* Sends an ask for an operation that waits; returns its number. */
	int64_t ask(struct rate_demand *d = nullptr)
	{
		struct msg_rate_ask a = {};

		now += RL_ASK_MIN_MS;
		rl_client_count_asked(c, "t", now);
		rl_client_wait(c, "t");
		take();
		EXPECT_TRUE(rl_client_next_ask(c, now, &a));
		rl_client_end_wait(c, "t");
		if (d && a.ndemands)
			*d = a.demands[0];
		return a.seq;
	}
	bool grant(int64_t seq, int64_t tokens, int64_t wait_ms = 0,
		   int64_t share = 0, int64_t burst = 0)
	{
		struct rate_grant g = {};
		struct msg_rate_grant m = {seq, RES_OK, &g, 1};

		strcpy(g.tenant, "t");
		g.tokens = tokens;
		g.wait_ms = wait_ms;
		g.valid_ms = RL_TOKEN_MS;
		g.share_milli = share;
		g.share_burst = burst;
		return rl_client_take_grant(c, &m, now);
	}
};

} // namespace

/* Guards against limits for callers that have none. */
TEST_F(RateLimClient, LimitsOnlyTenantsWithARate)
{
	struct msg_rate_ask a;

	EXPECT_EQ(RL_GO, rl_client_take(c, "", now, &token, &retry_ms));
	EXPECT_EQ(RL_GO, rl_client_take(c, "x", now, &token, &retry_ms));
	EXPECT_FALSE(token.held);
	EXPECT_FALSE(rl_client_next_ask(c, now, &a));
	EXPECT_EQ(RL_WAIT, take());
	limit(RT_NO_RATE, 2);
	EXPECT_EQ(RL_GO, take());
	EXPECT_FALSE(token.held);
}

/* Guards against tokens of a grant that came late, came twice or belongs to an
 * older ask: the leader counts them as lost. */
TEST_F(RateLimClient, TakesAGrantOnceAndInTime)
{
	int64_t first = ask();

	now += RL_ASK_LOST_MS;
	EXPECT_FALSE(grant(first, 1));
	EXPECT_EQ(RL_WAIT, take());
	int64_t second = ask();
	EXPECT_FALSE(grant(first, 1));
	EXPECT_TRUE(grant(second, 1));
	EXPECT_FALSE(grant(second, 1));
	EXPECT_EQ(RL_GO, take());
	EXPECT_EQ(RL_WAIT, take());
}

/* Guards against a token that is used after its validity, also one that came
 * back, and against one that comes back under a lower limit. */
TEST_F(RateLimClient, TokensEnd)
{
	clk_ms sent = now + RL_ASK_MIN_MS;

	ASSERT_TRUE(grant(ask(), 3));
	ASSERT_EQ(RL_GO, take());
	EXPECT_EQ(sent + RL_TOKEN_MS, token.until);
	rl_client_return(c, "t", &token, now);
	now = sent + RL_TOKEN_MS - 100;
	ASSERT_EQ(RL_GO, take());
	struct rl_token other = token;
	ASSERT_EQ(RL_GO, take());
	rl_client_return(c, "t", &other, now);
	now = sent + RL_TOKEN_MS;
	EXPECT_EQ(RL_WAIT, take());
	rl_client_return(c, "t", &token, now);
	EXPECT_EQ(RL_WAIT, take());
	ASSERT_TRUE(grant(ask(), 2));
	ASSERT_EQ(RL_GO, take());
	limit(5000, 2);
	EXPECT_EQ(RL_WAIT, take());
	rl_client_return(c, "t", &token, now);
	EXPECT_EQ(RL_WAIT, take());
}

/* Guards against a grant for a higher limit that comes after the lower one. */
TEST_F(RateLimClient, IgnoresAGrantFromBeforeALowerLimit)
{
	int64_t seq = ask();

	limit(5000, 2);
	EXPECT_TRUE(grant(seq, 5, 0, 5000, 2 * OPERATION));
	EXPECT_EQ(RL_WAIT, take());
	now += 1000;
	EXPECT_EQ(RL_WAIT, take());
}

/* Guards against a share that is used after its end, or reported shortly before
 * it: a new leader could renew it when others have it already. */
TEST_F(RateLimClient, AShareEnds)
{
	struct rate_demand d = {};
	clk_ms sent = now + RL_ASK_MIN_MS;

	ASSERT_TRUE(grant(ask(), 0, 0, 5000, OPERATION));
	now = sent + 1000;
	EXPECT_EQ(RL_GO, take());
	ask(&d);
	EXPECT_EQ(5000, d.share_milli);
	now = sent + RL_SHARE_MS - 1;
	EXPECT_EQ(RL_GO, take());
	now = sent + RL_SHARE_MS;
	EXPECT_EQ(RL_WAIT, take());
	now += 1000;
	EXPECT_EQ(RL_WAIT, take());
	sent = now + RL_ASK_MIN_MS;
	ASSERT_TRUE(grant(ask(), 0, 0, 5000, OPERATION));
	now = sent + RL_SHARE_MS - RL_ASK_LOST_MS;
	ask(&d);
	EXPECT_EQ(0, d.share_milli);
}

/* Guards against a caller that is told to come back before there can be tokens,
 * or against all callers that come back at once. */
TEST_F(RateLimClient, SpreadsTheTimeToRetry)
{
	clk_ms least = CLK_NEVER;
	clk_ms most = 0;

	ASSERT_TRUE(grant(ask(), 0, 1000));
	for (int i = 0; i < 100; i++) {
		ASSERT_EQ(RL_REFUSE, take());
		least = std::min(least, retry_ms);
		most = std::max(most, retry_ms);
	}
	EXPECT_GE(least, 1000);
	EXPECT_LE(most, 2000);
	EXPECT_GE(most - least, 500);
	now += 1000;
	EXPECT_EQ(RL_WAIT, take());
}

/* Guards against a log without a line at the time when a tenant reaches its
 * limit, and against a line for each refusal. */
TEST_F(RateLimClient, TellsWhenALimitIsReachedAndOver)
{
	struct rl_change ch;

	ASSERT_TRUE(grant(ask(), 0, 1000));
	take();
	take();
	ASSERT_TRUE(rl_client_next_change(c, now, &ch));
	EXPECT_TRUE(ch.limited);
	EXPECT_FALSE(rl_client_next_change(c, now, &ch));
	now += RL_LIMIT_OVER_MS;
	ASSERT_TRUE(rl_client_next_change(c, now, &ch));
	EXPECT_FALSE(ch.limited);
	EXPECT_EQ(2u, ch.refused);
	EXPECT_FALSE(rl_client_next_change(c, now, &ch));
}
