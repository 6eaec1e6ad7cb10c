#include "route.h"

static bool route_usable(const struct route_candidate *c)
{
	return !c->backend->leaving && !c->backend->silent && !c->tried;
}

static bool route_known(const struct route_candidate *c, clk_ms now)
{
	return c->hint.heard && now - c->hint.heard <= ROUTE_STALE_HINT_MS;
}

/*
 * By the last report, or because that was long enough ago: a replica whose data
 * is age_ms old holds what was written before that. Without the second rule a
 * report that is not renewed, since no read goes there, would keep reads away.
 */
static bool route_at_token(const struct route_candidate *c,
			   const struct route_need *need, clk_ms now)
{
	if (!need->term)
		return true;
	if (c->hint.log_term < need->term)
		return false;
	return c->hint.applied >= need->position ||
	       (need->since && c->hint.age_ms >= 0 &&
		now - need->since >= c->hint.age_ms + ROUTE_AGE_SLACK_MS);
}

static bool route_fresh(const struct route_candidate *c,
			const struct route_need *need)
{
	if (need->max_age_ms < 0)
		return true;
	return c->hint.age_ms >= 0 && c->hint.age_ms <= need->max_age_ms;
}

/* Estimated cost of a read there in ms, or -1 if it would be refused. */
static clk_ms route_cost(const struct route_candidate *c,
			 const struct route_need *need, clk_ms now)
{
	clk_ms cost = c->local ? 0 : ROUTE_CROSS_ZONE_MS;

	if (!route_usable(c))
		return -1;
	cost += c->hint.queue_ms;
	if (c->primary)
		return cost + ROUTE_PRIMARY_MS;
	if (!route_known(c, now))
		return cost; /* trying is the way to learn */
	if (!c->hint.healthy || !route_fresh(c, need))
		return -1;
	if (route_at_token(c, need, now))
		return cost;
	/* Its data is age_ms old, so the token is there about as much later. */
	if (c->hint.log_term < need->term || c->hint.age_ms < 0 ||
	    c->hint.age_ms > ROUTE_PRIMARY_MS)
		return -1;
	return cost + c->hint.age_ms;
}

int route_read(const struct route_candidate *c, int n,
	       const struct route_need *need, clk_ms now, double random)
{
	clk_ms costs[ROUTE_MAX];
	clk_ms best = -1;
	int equal = 0;
	int pick;

	for (int i = 0; i < n; i++) {
		costs[i] = route_cost(&c[i], need, now);
		if (costs[i] < 0)
			continue;
		if (best < 0 || costs[i] < best) {
			best = costs[i];
			equal = 0;
		}
		equal += costs[i] == best;
	}
	if (best < 0)
		return -1;
	pick = (int)(random * equal);
	for (int i = 0; i < n; i++)
		if (costs[i] == best && pick-- == 0)
			return i;
	return -1;
}

bool route_eligible(const struct route_candidate *c, int n,
		    const struct route_need *need, clk_ms now)
{
	for (int i = 0; i < n; i++) {
		if (c[i].primary || c[i].backend->leaving ||
		    c[i].backend->silent || !route_known(&c[i], now))
			continue;
		if (c[i].hint.healthy && route_fresh(&c[i], need) &&
		    route_at_token(&c[i], need, now))
			return true;
	}
	return false;
}
