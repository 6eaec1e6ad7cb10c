#ifndef ROUTE_H
#define ROUTE_H

/*
 * Chooses the backend server for a read that a replica may serve, from what
 * this proxy knows of the group's members.
 *
 * That knowledge (struct exec_routing_info) comes from the last report of each
 * backend and may be out of date, so the choice is only an estimate. The owner
 * of the backend, which is the proxy that holds the connections to it, checks
 * the session token and the age of the data again on the connection that runs
 * the statement.
 */

#include "exec.h"

enum {
	ROUTE_MAX_CANDIDATES = 16, /* members of a group that are considered */
	ROUTE_CROSS_ZONE_MS = 2, /* round trip to another zone */
	/* Added to the cost of a read on the primary, because the read slows
	 * down the writes there; a read may wait as long for a replica. */
	ROUTE_PRIMARY_PENALTY_MS = 50,
	ROUTE_AGE_SLACK_MS = 10, /* a reported age may be too low by this */
	ROUTE_MAX_HINT_AGE_MS = 1000 /* older hints are ignored */
};

struct route_candidate {
	const struct backend_info *backend;
	struct exec_routing_info hint;
	bool primary;
	bool local; /* in the zone of this proxy */
	bool tried; /* has already refused this request */
};

/* What the data of a replica must satisfy to serve the read. */
struct route_requirement {
	int64_t term; /* of the session token's entry; 0 is no entry */
	int64_t position;
	clk_ms token_seen; /* the entry existed at this time; 0 is unknown */
	clk_ms max_age_ms; /* of the data; -1 is any age */
};

/*
 * Returns the index of the candidate with the lowest estimated cost, or -1 if
 * all were tried or are not usable. Among equal candidates the random number
 * (in [0, 1)) decides, so that the proxies don't all choose the same one.
 */
int route_choose_read(const struct route_candidate *c, int n,
		      const struct route_requirement *need, clk_ms now,
		      double random);

/* True if, by its last report, at least one replica among the candidates may
 * serve the read. Such reads are the base of the metric for the share of reads
 * that replicas serve. */
bool route_replica_eligible(const struct route_candidate *c, int n,
			    const struct route_requirement *need, clk_ms now);

#endif
