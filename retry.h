#ifndef RETRY_H
#define RETRY_H

/*
 * Retry policy: which results allow a retry, retry budgets and backoff.
 *
 * A retry budget is a token bucket per customer and group. Each request adds
 * retry_percent / 100 tokens and each retry takes one, so retries remain a
 * bounded share of the requests however many of them fail, and can't make an
 * overload worse.
 */

#include "clock.h"
#include "msg.h"

#include <stdbool.h>
#include <stdint.h>

struct rng;

enum {
	RETRY_MAX_TOKENS = 10, /* maximum and initial number of tokens */
	RETRY_BASE_MS = 10, /* upper bound of the first backoff */
	RETRY_CAP_MS = 500 /* upper bound of every backoff */
};

struct retry_budget {
	double tokens;
};

/* Returns a full budget. */
struct retry_budget retry_budget_init(void);

/* Adds the tokens of a request that is sent for the first time. */
void retry_budget_deposit(struct retry_budget *b, int64_t percent);

/* Takes a token; false if the budget is used up. */
bool retry_budget_withdraw(struct retry_budget *b);

/* Backoff in ms before retry number n (from 0): a uniformly distributed random
 * value in [0, min(RETRY_CAP_MS, RETRY_BASE_MS * 2^n)]. */
clk_ms retry_backoff_ms(struct rng *r, int n);

/*
 * True if a request may be retried after this result. A request that certainly
 * did not run may be retried whatever its kind; one that may have run only if
 * it is repeatable. Overload never leads to a retry, and neither does a
 * statement of a transaction, which can't move to another connection.
 */
bool retry_allowed(enum res res, enum run_kind kind, int64_t pin,
		   bool repeatable);

/*
 * True if a retry after this result takes no token from the budget. These are
 * the results that cost no backend server any work: the request was rejected
 * before it ran, and now waits for a primary or goes to another member of the
 * group, with a pause. A budget would refuse reads that other members can
 * serve.
 */
bool retry_takes_no_token(enum res res);

/* True if the request now waits until a change of primary, or the departure of
 * a leaving member, is complete. The pause between its retries is then
 * constant, since exponential backoff would only lengthen the wait. */
bool retry_waits_for_primary(enum res res);

/* Increments the retry counter for this result. */
void retry_count(enum res res);

#endif
