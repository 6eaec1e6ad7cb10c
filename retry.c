#include "retry.h"

#include "rng.h"

struct retry_budget retry_new(void)
{
	return (struct retry_budget){.tokens = RETRY_BURST};
}

void retry_earn(struct retry_budget *b, int64_t percent)
{
	b->tokens += (double)percent / 100.0;
	if (b->tokens > RETRY_BURST)
		b->tokens = RETRY_BURST;
}

bool retry_spend(struct retry_budget *b)
{
	if (b->tokens < 1.0)
		return false;
	b->tokens -= 1.0;
	return true;
}

clk_ms retry_pause(struct rng *r, int n)
{
	clk_ms bound = RETRY_CAP_MS;

	/* 10 ms * 2^6 already exceeds the cap. */
	if (n < 6 && ((clk_ms)RETRY_BASE_MS << n) < bound)
		bound = (clk_ms)RETRY_BASE_MS << n;
	return (clk_ms)rng_below(r, (uint64_t)bound + 1);
}
