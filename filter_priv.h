#ifndef FILTER_PRIV_H
#define FILTER_PRIV_H

/*
 * Shared by the files of the filter chain: filter.c keeps the requests and
 * passes them through the filters, filter_route.c chooses the backend servers
 * on which they run.
 */

#include "admit.h"
#include "exec.h"
#include "filter.h"
#include "link.h"

#include <uthash.h>

enum {
	FLT_TICK_MS = 5, /* interval of checks for waiting requests */
	FLT_REROUTE_MS = 20, /* pause before a new attempt to find a primary,
			      * a lease or a usable replica */
	FLT_STATEMENT_TIMEOUT_MS = 30000, /* longest run time of a statement */
	FLT_MAX_TRIED = 8, /* backends remembered as tried by a request */
	/* When the link to another proxy is lost, the requests sent over it
	 * end at once here, but that proxy notices the loss only after
	 * LINK_TIMEOUT_MS and then cancels them. Their units are not reused
	 * before. */
	FLT_RETAIN_UNIT_MS = 2 * LINK_TIMEOUT_MS
};

/* A unit of an ended request whose statement may still run at the backend. */
struct flt_retained_unit {
	struct admit_customer *customer;
	clk_ms since;
	clk_ms until;
};

enum flt_phase {
	FLT_NEW,
	FLT_QUEUED, /* waits for a unit of the customer's limit */
	FLT_DELAYED, /* has a unit; waits for a primary or for its backoff */
	FLT_RUNNING, /* handed to exec */
	FLT_AWAITING_LEASE, /* the write has ended; the caller is told only
			     * once this proxy's lease is valid again */
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
	clk_ms deadline; /* the request must have started by then */
	clk_ms next_attempt; /* FLT_DELAYED: when to route again */
	clk_ms max_age_ms; /* allowed age of the data; 0: must be current */
	int64_t priority;
	int64_t weight;
	int64_t retry_percent;
	bool majority; /* acknowledge when a majority holds the write */
	bool has_unit;
	bool must_be_current; /* read on the primary under the lease */
	bool counted_eligible; /* in CNT_reads_replica_eligible */
	bool on_primary; /* the running attempt is there */
	/* FLT_AWAITING_LEASE: the result, without its text. */
	struct msg_end held_end;
	int retries;
	enum res last_result; /* why the last attempt failed */
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
	struct flt_action *actions; /* ring buffer */
	size_t first, count, cap;
	struct flt_retained_unit *retained; /* ordered by until */
	size_t nretained;
	clk_ms cancelled_expiry; /* expiry of the grants whose statements were
				  * cancelled last */
	bool wants_quota;
	/* Records in FLT_QUEUED, FLT_DELAYED or FLT_AWAITING_LEASE. */
	int64_t waiting;
	clk_ms last_tick;
	struct exec_routing_info (*hint)(void *arg, const char *backend,
					 clk_ms now);
	void *hint_arg;
};

/* Appends an action and returns it. */
struct flt_action *flt_add_action(struct flt *f, enum flt_action_kind kind,
				  int64_t id);

/* Changes the phase of a record and updates flt.waiting. */
void flt_set_phase(struct flt *f, struct flt_record *r, enum flt_phase phase);

/* Delays a request that holds a unit by pause ms, but not beyond its deadline.
 * why is the result it ends with if it expires. */
void flt_delay(struct flt *f, struct flt_record *r, enum res why, clk_ms pause,
	       clk_ms now);

/* Chooses a backend and emits FLT_RUN, or delays the request. */
void flt_route(struct flt *f, struct flt_record *r, clk_ms now);

#endif
