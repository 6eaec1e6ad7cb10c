#ifndef COST_H
#define COST_H

/*
 * Learned cost of statements on one backend server, by fingerprint.
 *
 * The estimate of a fingerprint is an exponentially decaying mean of its
 * measured costs. The table is bounded; the fingerprint that was used least
 * recently makes room. An unknown fingerprint is estimated at the median cost
 * of the backend's recent statements, that is, as short. No I/O, no clock.
 */

#include <stdbool.h>
#include <stdint.h>

struct cost;

enum {
	COST_TABLE = 2048, /* fingerprints kept */
	COST_FIRST_US = 1000, /* median before the first statement */
	COST_LONG_FACTOR = 10, /* times the median; above it is long */
	COST_LONG_MIN_US = 10000, /* below it is never long */
	COST_OVERRUN = 4 /* times the estimate; then it runs as long */
};

/* max is the number of fingerprints kept. */
struct cost *cost_new(int max);
void cost_free(struct cost *c);

int64_t cost_estimate(struct cost *c, int64_t fingerprint);
/* False: the estimate is the median. */
bool cost_is_known(struct cost *c, int64_t fingerprint);

/* A cost that is long counts in full at once, so that a statement that became
 * long is not taken for a short one several times; others by decay. */
void cost_learn(struct cost *c, int64_t fingerprint, int64_t us);

int64_t cost_median(const struct cost *c);
bool cost_is_long(const struct cost *c, int64_t us);

/* A statement that still runs has taken us: its estimate is at least that. */
void cost_raise(struct cost *c, int64_t fingerprint, int64_t us);

/* A statement estimated at estimate that has run for us is to be treated as
 * long from now on. */
bool cost_overruns(const struct cost *c, int64_t estimate, int64_t us);

#endif
