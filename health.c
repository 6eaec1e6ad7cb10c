#include "health.h"
#include "rng.h"

/* A new round trip has a weight of 1/8 in the average. */
#define HEALTH_DECAY_SHIFT 3

void health_success(struct health *h)
{
	h->consecutive_failures = 0;
	h->is_ejected = false;
	h->trial_pending = false;
	h->retry_interval = 0;
}

/* Jitter keeps several proxies from sending trial requests at the same time. */
static void health_eject(struct health *h, struct rng *rng, clk_ms now)
{
	if (h->retry_interval < HEALTH_MIN_RETRY_MS)
		h->retry_interval = HEALTH_MIN_RETRY_MS;
	else
		h->retry_interval *= 2;
	if (h->retry_interval > HEALTH_MAX_RETRY_MS)
		h->retry_interval = HEALTH_MAX_RETRY_MS;
	h->is_ejected = true;
	h->trial_pending = false;
	h->retry_at = now + h->retry_interval / 2 +
		      (clk_ms)rng_uniform_int(
			      rng, (uint64_t)h->retry_interval / 2 + 1);
}

void health_failure(struct health *h, struct rng *rng, clk_ms now)
{
	h->consecutive_failures++;
	if (h->consecutive_failures < HEALTH_FAILURES)
		return;
	if (!h->is_ejected || h->trial_pending || now >= h->retry_at)
		health_eject(h, rng, now);
}

void health_unresponsive(struct health *h, struct rng *rng, clk_ms now)
{
	if (!h->is_ejected || now >= h->retry_at)
		health_eject(h, rng, now);
}

void health_on_round_trip(struct health *h, int64_t us, int64_t others_us,
			  struct rng *rng, clk_ms now)
{
	if (!h->mean_round_trip_us)
		h->mean_round_trip_us = us;
	h->mean_round_trip_us +=
		(us - h->mean_round_trip_us) >> HEALTH_DECAY_SHIFT;
	if (others_us && h->mean_round_trip_us > HEALTH_SLOW_MIN_US &&
	    h->mean_round_trip_us > HEALTH_SLOW_FACTOR * others_us &&
	    !h->is_ejected)
		health_eject(h, rng, now);
}

bool health_allows_request(struct health *h, clk_ms now)
{
	if (!h->is_ejected)
		return true;
	if (now < h->retry_at)
		return false;
	h->trial_pending = true;
	/* If no result comes until then, the trial counts as failed and the
	 * next one is allowed. */
	h->retry_at = now + h->retry_interval;
	return true;
}
