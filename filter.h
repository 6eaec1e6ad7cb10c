#ifndef FILTER_H
#define FILTER_H

/*
 * The filter chain (prefix flt_) that every request passes at its origin
 * proxy, which is the proxy that received it from the caller.
 *
 * The filters:
 *  plan   sets the bounds of the request, such as its longest wait and the
 *         allowed age of the data, from the customer's plan
 *  admit  gives the request a unit of the customer's limit, queues it, or
 *         refuses it if the estimated wait is too long (admit.h)
 *  token  refuses a session token whose write was lost in a change of primary
 *  route  chooses the backend server (route.h)
 *  retry  decides about another attempt after a failed one (retry.h)
 *
 * The chain does no I/O and reads no clock. Requests and the results of their
 * attempts are passed in with the time. What the caller of this module is to
 * do is returned by flt_poll() as a queue of actions.
 */

#include "clock.h"
#include "msg.h"
#include "token.h"

#include <stdbool.h>

struct exec_routing_info;
struct flt;
struct quota_client;
struct rng;
struct settings;
struct view;

/* A request as it was received from the caller. The pointers must stay valid
 * until the request has ended. */
struct flt_request {
	char customer[ID_LEN];
	char group[ID_LEN];
	enum run_kind kind;
	int64_t flags; /* RUN_SIMPLE_QUERY, RUN_PIN_CONN, RUN_ROW_DESCRIPTION */
	const struct token *token;
	clk_ms token_first_seen; /* when this proxy first saw its entry */
	bool session_unknown; /* names a session whose token is not known here
			       */
	clk_ms max_age_ms; /* -1: as the plan says */
	clk_ms max_wait_ms; /* -1: as the plan says */
	bool repeatable; /* may run twice; reads may, writes only if marked */
	const char *request_id; /* "" for none */
	int64_t fingerprint;
	struct blob sql;
	struct run_param *params;
	int64_t nparams;
	int64_t result_format;
	int64_t pin; /* pinned connection of a transaction; 0 is none */
	char pin_backend[ID_LEN];
	int64_t pin_term; /* term in which the transaction began */
};

enum flt_action_kind {
	FLT_RUN, /* pass u.run to exec and its result to flt_attempt_ended() */
	FLT_CANCEL, /* cancel the running statement: its grant has ended */
	FLT_DONE /* the request has ended; pass u.end to the caller */
};

struct flt_action {
	enum flt_action_kind kind;
	int64_t id;
	union {
		struct msg_run run;
		struct msg_end end; /* its text points into the action */
	} u;
	char text[320];
};

struct flt *flt_new(const struct settings *set, struct view *view,
		    struct quota_client *quota, uint64_t seed);
void flt_free(struct flt *f);

/* Sets the function that returns what exec knows of a backend. */
void flt_set_hints(struct flt *f,
		   struct exec_routing_info (*fn)(void *arg,
						  const char *backend,
						  clk_ms now),
		   void *arg);

/* Passes a request into the chain; returns its id, which is never 0. */
int64_t flt_submit(struct flt *f, const struct flt_request *rq, clk_ms now);

/* Passes in the result of a request's last FLT_RUN, which ran on backend.
 * answered is true if part of the answer was already sent to the caller, so
 * that the request can't be retried. */
void flt_attempt_ended(struct flt *f, int64_t id, const char *backend,
		       const struct msg_end *end, bool answered, clk_ms now);

/* Drops a request whose caller has disconnected. flt_attempt_ended() must not
 * be called for it any more, and no FLT_DONE follows. */
void flt_abandon(struct flt *f, int64_t id, clk_ms now);

/* Releases the customer's unit that a transaction's pinned connection occupied.
 * To be called when the connection is given up. */
void flt_release_pinned_unit(struct flt *f, const char *customer);

/* Writes the next action into out; false if there is none. */
bool flt_poll(struct flt *f, struct flt_action *out);

/* Handles everything that is due by now: starts queued requests, retries, lets
 * requests time out. */
void flt_tick(struct flt *f, clk_ms now);

/* When flt_tick() must be called next; CLK_NEVER if nothing waits. */
clk_ms flt_due(const struct flt *f);

/* Writes the demand of each customer for the next request to the control leader
 * (struct msg_ask); returns how many were written. */
int64_t flt_demands(struct flt *f, struct quota_demand *out, int64_t max,
		    clk_ms now);

/* True once after a request found no free unit of its customer. The proxy then
 * sends its next request to the control leader at once. */
bool flt_wants_quota(struct flt *f);

#endif
