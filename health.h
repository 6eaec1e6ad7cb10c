#ifndef HEALTH_H
#define HEALTH_H

/*
 * Outlier detection for one backend server.
 *
 * A server that failed HEALTH_FAILURES times in a row, or that is much slower
 * than the others of its group, is ejected: it gets no more requests, except
 * single trial requests. The intervals between these double up to
 * HEALTH_MAX_RETRY_MS, with jitter; the first success ends the ejection. The
 * module does no I/O; the caller passes the time in.
 */

#include "clock.h"

#include <stdbool.h>
#include <stdint.h>

struct rng;

enum {
	HEALTH_FAILURES = 3,
	HEALTH_MIN_RETRY_MS = 250, /* first interval between trial requests */
	HEALTH_MAX_RETRY_MS = 5000,
	HEALTH_SLOW_FACTOR = 8, /* times the median round trip of the others */
	HEALTH_SLOW_MIN_US = 50000 /* less never counts as slow */
};

struct health {
	int64_t consecutive_failures; /* consecutive */
	bool is_ejected; /* ejected */
	bool trial_pending; /* a trial request is in progress */
	clk_ms retry_interval; /* between trial requests */
	clk_ms retry_at; /* when the next trial request is allowed */
	int64_t mean_round_trip_us; /* moving average over status polls */
};

/* A request or poll succeeded. */
void health_success(struct health *h);

/* A request or poll failed. */
void health_failure(struct health *h, struct rng *rng, clk_ms now);

/* The server does not answer status polls: ejects it at once. */
void health_unresponsive(struct health *h, struct rng *rng, clk_ms now);

/* Takes the round trip of a status poll, and the median round trip of the
 * group's other servers (0 if unknown). */
void health_on_round_trip(struct health *h, int64_t us, int64_t others_us,
			  struct rng *rng, clk_ms now);

/* Whether a request may be sent. For an ejected server this is true once per
 * interval, and the request is taken as sent. */
bool health_allows_request(struct health *h, clk_ms now);

#endif
