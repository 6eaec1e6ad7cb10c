#include "route.h"

static bool route_usable(const struct route_candidate *c)
{
	return !c->backend->leaving && !c->backend->announcements_stopped &&
	       !c->tried;
}

static bool route_has_recent_hint(const struct route_candidate *c, clk_ms now)
{
	return c->hint.info_received_at &&
	       now - c->hint.info_received_at <= ROUTE_MAX_HINT_AGE_MS;
}

/*
 * True if the replica has probably applied the write that the token names:
 * either its last report says so, or the write is older than the replica's
 * data. A replica whose data is age_ms old contains all writes made before
 * that. The second rule is needed because reports are only renewed by reads: a
 * replica whose report is outdated would get no read and so no new report.
 */
static bool route_has_token_write(const struct route_candidate *c,
				  const struct route_requirement *need,
				  clk_ms now)
{
	if (!need->term)
		return true;
	if (c->hint.log_term < need->term)
		return false;
	return c->hint.applied >= need->position ||
	       (need->token_seen && c->hint.applied_age_ms >= 0 &&
		now - need->token_seen >=
			c->hint.applied_age_ms + ROUTE_AGE_SLACK_MS);
}

static bool route_within_max_age(const struct route_candidate *c,
				 const struct route_requirement *need)
{
	if (need->max_age_ms < 0)
		return true;
	return c->hint.applied_age_ms >= 0 &&
	       c->hint.applied_age_ms <= need->max_age_ms;
}

/* Estimated cost of a read there in ms, or -1 if it would be refused. */
static clk_ms route_cost(const struct route_candidate *c,
			 const struct route_requirement *need, clk_ms now)
{
	clk_ms cost = c->local ? 0 : ROUTE_CROSS_ZONE_MS;

	if (!route_usable(c))
		return -1;
	cost += c->hint.slot_wait_ms;
	if (c->primary)
		return cost + ROUTE_PRIMARY_PENALTY_MS;
	if (!route_has_recent_hint(c, now))
		return cost; /* only a read there brings a new hint */
	if (!c->hint.healthy || !route_within_max_age(c, need))
		return -1;
	if (route_has_token_write(c, need, now))
		return cost;
	/* The data is age_ms old, so the replica applies the token's write in
	 * about age_ms from now. */
	if (c->hint.log_term < need->term || c->hint.applied_age_ms < 0 ||
	    c->hint.applied_age_ms > ROUTE_PRIMARY_PENALTY_MS)
		return -1;
	return cost + c->hint.applied_age_ms;
}

int route_choose_read(const struct route_candidate *c, int n,
		      const struct route_requirement *need, clk_ms now,
		      double random)
{
	clk_ms costs[ROUTE_MAX_CANDIDATES];
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

bool route_replica_eligible(const struct route_candidate *c, int n,
			    const struct route_requirement *need, clk_ms now)
{
	for (int i = 0; i < n; i++) {
		if (c[i].primary || c[i].backend->leaving ||
		    c[i].backend->announcements_stopped ||
		    !route_has_recent_hint(&c[i], now))
			continue;
		if (c[i].hint.healthy && route_within_max_age(&c[i], need) &&
		    route_has_token_write(&c[i], need, now))
			return true;
	}
	return false;
}
