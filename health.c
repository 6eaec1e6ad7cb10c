#include "health.h"
#include "rng.h"

/* A new round trip has a weight of 1/8 in the average. */
#define HEALTH_DECAY_SHIFT 3

void health_success(struct health *h)
{
	h->failures = 0;
	h->aside = false;
	h->trying = false;
	h->interval = 0;
}

/* Jitter keeps several proxies from sending trial requests at the same time. */
static void health_eject(struct health *h, struct rng *rng, clk_ms now)
{
	if (h->interval < HEALTH_MIN_MS)
		h->interval = HEALTH_MIN_MS;
	else
		h->interval *= 2;
	if (h->interval > HEALTH_MAX_MS)
		h->interval = HEALTH_MAX_MS;
	h->aside = true;
	h->trying = false;
	h->retry_at = now + h->interval / 2 +
		      (clk_ms)rng_below(rng, (uint64_t)h->interval / 2 + 1);
}

void health_failure(struct health *h, struct rng *rng, clk_ms now)
{
	h->failures++;
	if (h->failures < HEALTH_FAILURES)
		return;
	if (!h->aside || h->trying || now >= h->retry_at)
		health_eject(h, rng, now);
}

void health_down(struct health *h, struct rng *rng, clk_ms now)
{
	if (!h->aside || now >= h->retry_at)
		health_eject(h, rng, now);
}

void health_measure(struct health *h, int64_t us, int64_t others_us,
		    struct rng *rng, clk_ms now)
{
	if (!h->round_trip_us)
		h->round_trip_us = us;
	h->round_trip_us += (us - h->round_trip_us) >> HEALTH_DECAY_SHIFT;
	if (others_us && h->round_trip_us > HEALTH_SLOW_MIN_US &&
	    h->round_trip_us > HEALTH_SLOW_FACTOR * others_us && !h->aside)
		health_eject(h, rng, now);
}

bool health_allow(struct health *h, clk_ms now)
{
	if (!h->aside)
		return true;
	if (now < h->retry_at)
		return false;
	h->trying = true;
	/* If no result comes until then, the trial counts as failed and the
	 * next one is allowed. */
	h->retry_at = now + h->interval;
	return true;
}
