#ifndef READ_FALLBACK_H
#define READ_FALLBACK_H

/*
 * Decides about reads for which all replicas lag too far (prefix rdf_), line
 * protocol: run on the primary, wait, or refuse. Does no I/O and keeps no state
 * but the measured lag of a replica.
 *
 * The load it answers: replicas 60 to 110 times as far behind as usual, so that
 * all reads of a group turn to its primary, which alone can serve writes. Of
 * the statements that this proxy may have at the primary, a part of
 * 1 / RDF_PRIMARY_PART, but at least one, may be such reads. Others wait if the
 * position that they need is about to reach a replica, and are refused
 * otherwise, as RES_NO_REPLICA.
 */

#include "clock.h"

struct rng;

enum {
	RDF_PRIMARY_PART = 4,
	/* longest time that a read waits for a position, from its arrival */
	RDF_WAIT_MS = 100,
	/* A measured lag is used for so long. */
	RDF_LAG_AGE_MS = 2000,
	/* time to come back where it is unknown when the position arrives; the
	 * longest pause of a replica that was behind (DB_BEHIND_PAUSE_MAX_MS)
	 */
	RDF_RETRY_MS = 160,
	/* bounds of the time to come back, before it is spread */
	RDF_RETRY_MIN_MS = 20,
	RDF_RETRY_MAX_MS = 2000
};

/* How far a replica's log is behind the primary's. */
struct rdf_lag {
	clk_ms ms;
	clk_ms measured_at; /* 0 if never */
};

enum rdf_action {
	RDF_PRIMARY, /* run it on the primary */
	RDF_WAIT, /* decide again after the given time */
	RDF_REFUSE /* not run; come back after the given time */
};

struct rdf_decision {
	enum rdf_action action;
	clk_ms ms;
};

/* A read, and what is known of its group. */
struct rdf_read {
	clk_ms arrived;
	clk_ms deadline; /* when its answer must be here; 0 if unknown */
	int primary_limit; /* statements that this proxy may have there */
	int primary_reads; /* such reads that wait or run there */
	/* when the first replica has the position it needs; 0 if unknown */
	clk_ms expected_at;
	clk_ms response_ms; /* usual response time of that replica */
};

/* Records that a replica answered now with a position that the primary had at
 * the given time. */
void rdf_record_lag(struct rdf_lag *l, clk_ms primary_had_it, clk_ms now);

/* Returns when the replica has a position that the primary had at the given
 * time; 0 if this is unknown, or should have been the case already. */
clk_ms rdf_expected_at(const struct rdf_lag *l, clk_ms primary_had_it,
		       clk_ms now);

/* Number of such reads that this proxy may have at the primary. */
int rdf_primary_share(int primary_limit);

struct rdf_decision rdf_decide(const struct rdf_read *r, struct rng *rng,
			       clk_ms now);

#endif
