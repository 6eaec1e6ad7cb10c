#ifndef FILTER_PRIV_H
#define FILTER_PRIV_H

/*
 * Shared by the parts of the filter chain: filter.c holds the requests and
 * passes them through the chain, filter_route.c chooses where they run.
 */

#include "admit.h"
#include "exec.h"
#include "filter.h"
#include "link.h"

#include <uthash.h>

enum {
	FLT_TICK_MS = 5, /* how often waiting requests are looked at */
	FLT_PARK_MS = 20, /* pause before looking again for a primary */
	FLT_STATEMENT_MS = 30000, /* bound of one statement's run time */
	FLT_MAX_TRIED = 8,
	/* A lost link ends its requests at once here, but the owner notices
	 * only after LINK_SILENT_MS and then cancels them. Their units are not
	 * used again before. */
	FLT_DOUBT_MS = 2 * LINK_SILENT_MS
};

/* A unit whose statement may still run at the backend. */
struct flt_doubt {
	struct admit_customer *customer;
	clk_ms since;
	clk_ms until;
};

enum flt_phase {
	FLT_NEW,
	FLT_QUEUED, /* waits for a unit of the customer's limit */
	FLT_PARKED, /* holds a unit; waits for a primary or a retry pause */
	FLT_RUNNING, /* handed to exec */
	FLT_HELD, /* written; its acknowledgement waits for the lease */
	FLT_ENDED /* its FLT_DONE is in the action queue */
};

struct flt_record {
	struct admit_entry entry; /* must be first: see flt_of_entry() */
	int64_t id;
	struct flt_request rq;
	enum flt_phase phase;
	struct admit_customer *customer;
	clk_ms submitted;
	clk_ms unit_since; /* when the unit was taken */
	clk_ms deadline; /* the request may wait until then */
	clk_ms due; /* FLT_PARKED: when to look again */
	clk_ms max_age_ms; /* 0: must be current */
	int64_t priority;
	int64_t weight;
	int64_t retry_percent;
	bool majority;
	bool has_unit;
	bool current; /* read on the primary under the lease */
	bool counted; /* in the share of reads served by replicas */
	bool on_primary; /* the attempt that runs */
	struct msg_end end; /* FLT_HELD: without its text */
	int retries;
	enum res last; /* why the last attempt did not run */
	char tried[FLT_MAX_TRIED][ID_LEN];
	int ntried;
	UT_hash_handle hh;
};

struct flt {
	const struct settings *set;
	struct view *view;
	struct quota_client *quota;
	struct admit *admit;
	struct rng *rng;
	struct flt_record *records;
	int64_t next_id;
	struct flt_action *actions; /* ring */
	size_t first, count, cap;
	struct flt_doubt *doubts; /* in order of their end */
	size_t ndoubts;
	clk_ms stopped; /* end of the grants whose statements were stopped */
	bool wants_quota;
	int64_t waiting; /* records in FLT_QUEUED or FLT_PARKED */
	clk_ms ticked;
	struct exec_hint (*hint)(void *arg, const char *backend, clk_ms now);
	void *hint_arg;
};

/* Appends an action. */
struct flt_action *flt_push(struct flt *f, enum flt_action_kind kind,
			    int64_t id);

/* Changes the phase and counts the records that wait. */
void flt_enter(struct flt *f, struct flt_record *r, enum flt_phase phase);

/* Lets a request that holds a unit wait for pause ms, because of why. */
void flt_park(struct flt *f, struct flt_record *r, enum res why, clk_ms pause,
	      clk_ms now);

/* Chooses a backend and emits FLT_RUN, or parks the request. */
void flt_route(struct flt *f, struct flt_record *r, clk_ms now);

#endif
