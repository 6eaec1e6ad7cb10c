#ifndef FRESHNESS_H
#define FRESHNESS_H

/*
 * Log positions for reads with bounded staleness (prefix frs_, for freshness).
 *
 * If the primary reported a position in answer to a request sent at time s,
 * this position covers every commit that was acknowledged before s. So a read
 * that arrived at time t and may be max_age old is correct on any member whose
 * log has reached a position learned from a request sent at t - max_age or
 * later. The oldest such position is used, because a replica is most likely to
 * have reached it.
 *
 * The module does no I/O; the time is passed in.
 */

#include "clock.h"
#include "stmt.h"

enum {
	FRS_SAMPLES_MAX = 32,
	FRS_SPACING_MS = 100 /* 32 samples cover the ages that plans allow */
};

struct freshness_sample {
	clk_ms sent;
	clk_ms received; /* when the position became known here */
	struct pos pos;
	bool remote; /* another proxy learned it */
};

struct freshness_samples {
	/* sorted by sending time, oldest first */
	struct freshness_sample samples[FRS_SAMPLES_MAX];
	int n;
	/* sending time of the newest sample that another proxy learned */
	clk_ms newest_remote;
};

/* Records the position of an answer of the primary, or with "remote" one that
 * another proxy learned. */
void frs_add_sample(struct freshness_samples *f,
		    const struct freshness_sample *s);

/* True if a sample was sent after the newest one known had been received, but
 * has a lower position. Unless a promotion discarded commits in between, one of
 * the two did not come from a primary. */
bool frs_contradicts(const struct freshness_samples *f,
		     const struct freshness_sample *s);

/* Returns the sample with the position that a read which arrived at now must
 * see; NULL if no recent enough position is known. */
const struct freshness_sample *frs_required_sample(
	const struct freshness_samples *f, clk_ms now, clk_ms max_age);

#endif
