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
#include "msg.h"

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

/*
 * May a request be tried again after this result? What was certainly not run
 * may, whatever it is; what may have run only if it is repeatable. Overload is
 * never answered with a retry, and a statement of a transaction never moves to
 * another connection.
 */
bool retry_allowed(enum res res, enum run_kind kind, int64_t pin,
		   bool repeatable);

/*
 * Does a retry need no token? So it is after a result that cost no backend
 * server any work: the request was turned away before it ran, and waits for a
 * primary or goes to another member, with a pause. A budget would refuse reads
 * that other members can serve.
 */
bool retry_is_free(enum res res);

/* Only a change of primary or a leaving member can end the wait, so that a
 * growing pause would only add to it. */
bool retry_is_waiting(enum res res);

/* Counts a retry by its reason. */
void retry_count(enum res res);

#endif
