#ifndef COST_H
#define COST_H

/*
 * Estimates the cost (run time in us) of statements on one backend server from
 * the measured cost of earlier ones. Statements are told apart by fingerprint.
 *
 * The estimate for a fingerprint is an exponentially weighted moving average
 * of its measured costs. The number of fingerprints is bounded; a new one
 * replaces the least recently used. A fingerprint that is not in the table is
 * estimated at the median cost of the backend's recent statements, and so
 * counts as short.
 *
 * The module does no I/O and reads no clock.
 */

#include <stdbool.h>
#include <stdint.h>

struct cost;

enum {
	COST_MAX_FINGERPRINTS = 2048, /* fingerprints kept */
	COST_INITIAL_MEDIAN_US = 1000, /* median before the first statement */
	COST_LONG_FACTOR = 10, /* a long statement costs more than this many
				* times the median */
	COST_LONG_MIN_US = 10000, /* up to this cost none is long */
	/* A statement that runs longer than its estimate times this may be
	 * treated as long, see cost_exceeds_estimate(). */
	COST_OVERRUN_FACTOR = 4
};

/* max is the largest number of fingerprints kept. */
struct cost *cost_new(int max);
void cost_free(struct cost *c);

/* Estimated cost of a statement; marks its fingerprint as recently used. */
int64_t cost_estimate(struct cost *c, int64_t fingerprint);
/* True if the fingerprint was measured; else its estimate is the median. */
bool cost_is_known(struct cost *c, int64_t fingerprint);

/* Records a measured cost. A long cost above the estimate replaces it, so that
 * a statement that became long isn't treated as short several more times;
 * any other cost enters the moving average. */
void cost_record(struct cost *c, int64_t fingerprint, int64_t us);

int64_t cost_median(const struct cost *c);
bool cost_is_long(const struct cost *c, int64_t us);

/* Raises the estimate to at least us, the time that a running statement has
 * taken so far. */
void cost_raise_estimate(struct cost *c, int64_t fingerprint, int64_t us);

/* True if a statement with this estimate that has run for us is to be treated
 * as long from now on: it has run for more than COST_OVERRUN_FACTOR times the
 * estimate, and a cost of us is long. */
bool cost_exceeds_estimate(const struct cost *c, int64_t estimate, int64_t us);

#endif
