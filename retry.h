#ifndef RETRY_H
#define RETRY_H

/*
 * Retry budgets and backoff.
 *
 * A budget is a token bucket per customer and group. Each request adds
 * retry_percent / 100 tokens, each retry takes one. So retries stay a bounded
 * share of requests, however many fail, and cannot feed an overload.
 */

#include "clock.h"

#include <stdbool.h>
#include <stdint.h>

struct rng;

enum {
	RETRY_BURST = 10, /* tokens at most, and at the start */
	RETRY_BASE_MS = 10, /* upper bound of the first pause */
	RETRY_CAP_MS = 500 /* upper bound of every pause */
};

struct retry_budget {
	double tokens;
};

struct retry_budget retry_new(void);

/* Counts a request that is sent for the first time. */
void retry_earn(struct retry_budget *b, int64_t percent);

/* Takes a token; false if the budget is used up. */
bool retry_spend(struct retry_budget *b);

/* Pause before retry number n (from 0): uniform in [0, min(cap, base 2^n)]. */
clk_ms retry_pause(struct rng *r, int n);

#endif
