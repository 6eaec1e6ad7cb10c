#ifndef ROUTE_H
#define ROUTE_H

/*
 * Choice of a backend server for a request, from what the proxy knows. The
 * choice is only an estimate: the owner of the backend checks the token and
 * the age again on the connection that runs the statement.
 */

#include "exec.h"

enum {
	ROUTE_MAX = 16, /* members of a group */
	ROUTE_CROSS_ZONE_MS = 2, /* round trip to another zone */
	ROUTE_PRIMARY_MS = 50, /* what a read on the primary costs the
				* writes; a replica may be waited for as long */
	ROUTE_AGE_SLACK_MS = 10, /* by which a reported age may be too low */
	ROUTE_STALE_HINT_MS = 1000 /* older hints tell nothing */
};

struct route_candidate {
	const struct backend_info *backend;
	struct exec_hint hint;
	bool primary;
	bool local; /* in the own zone */
	bool tried; /* has already refused this request */
};

struct route_need {
	int64_t term; /* token entry; 0 is none */
	int64_t position;
	clk_ms since; /* the token entry existed by then; 0 is unknown */
	clk_ms max_age_ms; /* -1 is any */
};

/*
 * Index of the best candidate for a read that a replica may serve, or -1 if
 * all were tried or are not usable. Equal ones are chosen by the random
 * number (in [0, 1)), so that proxies do not all choose the same.
 */
int route_read(const struct route_candidate *c, int n,
	       const struct route_need *need, clk_ms now, double random);

/* True if a replica among the candidates may serve the read, by its last
 * report; such reads count for the share served by replicas. */
bool route_eligible(const struct route_candidate *c, int n,
		    const struct route_need *need, clk_ms now);

#endif
