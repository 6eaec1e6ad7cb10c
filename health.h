#ifndef HEALTH_H
#define HEALTH_H

/*
 * Outlier detection for one backend server.
 *
 * A server that failed HEALTH_FAILURES times in a row, or that is much slower
 * than the others of its group, is put aside. It is then tried with one
 * request at a time, at intervals that double up to HEALTH_MAX_MS, with
 * jitter, until one succeeds. No I/O; the time is passed in.
 */

#include "clock.h"

#include <stdbool.h>
#include <stdint.h>

struct rng;

enum {
	HEALTH_FAILURES = 3,
	HEALTH_MIN_MS = 250, /* first interval */
	HEALTH_MAX_MS = 5000,
	HEALTH_SLOW_FACTOR = 8, /* times the others' median round trip */
	HEALTH_SLOW_MIN_US = 50000 /* faster is never slow */
};

struct health {
	int64_t failures; /* in a row */
	bool aside;
	bool trying; /* one request is on its way */
	clk_ms interval;
	clk_ms retry_at;
	int64_t round_trip_us; /* decaying mean of status polls */
};

/* A request or poll succeeded. */
void health_success(struct health *h);

/* One failed. */
void health_failure(struct health *h, struct rng *rng, clk_ms now);

/* It does not answer status polls. */
void health_down(struct health *h, struct rng *rng, clk_ms now);

/* Round trip of a status poll, and the median of the group's others (0 is
 * unknown). */
void health_measure(struct health *h, int64_t us, int64_t others_us,
		    struct rng *rng, clk_ms now);

/* May a request be sent? If the server is aside, the answer is yes once per
 * interval. */
bool health_allow(struct health *h, clk_ms now);

#endif
