#ifndef FILTER_H
#define FILTER_H

/*
 * The filter chain that a request passes at its origin proxy.
 *
 * Filters, in order: plan (needs and bounds from the customer's plan), token
 * (was the token lost in a change of primary), admit (units of the customer's
 * limit, queue bounded by the wait), route (choice of a backend) and, on the
 * way back, retry. The chain is free of I/O: requests and results go in with
 * the time, actions come out of flt_poll().
 */

#include "clock.h"
#include "msg.h"
#include "token.h"

#include <stdbool.h>

struct exec_hint;
struct flt;
struct quota_client;
struct rng;
struct settings;
struct view;

/* A request as its caller states it. The pointers must stay valid until the
 * request has ended. */
struct flt_request {
	char customer[ID_LEN];
	char group[ID_LEN];
	enum run_kind kind;
	int64_t flags; /* RUN_SIMPLE, RUN_PIN, RUN_DESCRIBED */
	const struct token *token;
	clk_ms token_since; /* when its entry was first seen here */
	bool session_unknown; /* names a session but has no token */
	clk_ms max_age_ms; /* -1: as the plan says */
	clk_ms max_wait_ms; /* -1: as the plan says */
	bool repeatable; /* reads are; writes only if marked */
	const char *request_id; /* "" for none */
	int64_t fingerprint;
	struct blob sql;
	struct run_param *params;
	int64_t nparams;
	int64_t result_format;
	int64_t pin; /* of a running transaction; 0 is none */
	char pin_backend[ID_LEN];
	int64_t pin_term; /* term in which the transaction began */
};

enum flt_action_kind {
	FLT_RUN, /* hand run to exec; its end goes to flt_ended() */
	FLT_STOP, /* cancel what runs: its unit is no longer this proxy's */
	FLT_DONE /* the request has ended; tell the caller */
};

struct flt_action {
	enum flt_action_kind kind;
	int64_t id;
	union {
		struct msg_run run;
		struct msg_end end; /* text points into the action */
	} u;
	char text[320];
};

struct flt *flt_new(const struct settings *set, struct view *view,
		    struct quota_client *quota, uint64_t seed);
void flt_free(struct flt *f);

/* How the chain learns what exec knows of backends. */
void flt_set_hints(struct flt *f,
		   struct exec_hint (*fn)(void *arg, const char *backend,
					  clk_ms now),
		   void *arg);

/* Admits a request; returns its id, never 0. */
int64_t flt_submit(struct flt *f, const struct flt_request *rq, clk_ms now);

/* Result of the last FLT_RUN of a request, on backend. answered says that bytes
 * of the answer already went to the caller, so that it can't be retried. */
void flt_ended(struct flt *f, int64_t id, const char *backend,
	       const struct msg_end *end, bool answered, clk_ms now);

/* The caller has gone: the request is forgotten, flt_ended() is not to be
 * called for it and no FLT_DONE follows. */
void flt_abandon(struct flt *f, int64_t id, clk_ms now);

/* A transaction's pinned connection counts against the customer's units until
 * it is given up. */
void flt_unpin(struct flt *f, const char *customer);

/* Next action; false if there is none. */
bool flt_poll(struct flt *f, struct flt_action *out);

/* Lets queued requests run, time out or retry. */
void flt_tick(struct flt *f, clk_ms now);

/* When flt_tick() is due; CLK_NEVER if nothing waits. */
clk_ms flt_due(const struct flt *f);

/* Demand of each customer for the next ask; returns how many were written. */
int64_t flt_demands(struct flt *f, struct quota_demand *out, int64_t max,
		    clk_ms now);

/* True once after a request found its customer without free units, so that
 * an ask can be sent at once. */
bool flt_wants_quota(struct flt *f);

#endif
