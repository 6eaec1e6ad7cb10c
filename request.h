#ifndef REQUEST_H
#define REQUEST_H

/*
 * Runs the requests of callers.
 *
 * A request first passes the filter chain (filter.h), which decides when and on
 * which backend it runs, and whether it is retried. This module carries out the
 * chain's actions with exec (exec.h) and drives the chain's timers from the
 * event loop. The answer arrives through a struct exec_sink, as described at
 * exec_start().
 */

#include "exec.h"
#include "filter.h"

struct req_engine;

struct req_engine *req_new(struct ev_loop *loop, struct flt *flt,
			   struct exec *exec);
void req_free(struct req_engine *q);

/*
 * Starts a request and returns its id. on_end is never called before this
 * function returns.
 */
int64_t req_start(struct req_engine *q, const struct flt_request *rq,
		  const struct exec_sink *sink);

/*
 * The backend and the term to which the request was last sent; the caller needs
 * them for a pinned connection. Valid only inside on_end of that request. ""
 * and 0 if it was not sent to any backend.
 */
const char *req_last_backend(const struct req_engine *q);
int64_t req_last_term(const struct req_engine *q);

/* Asks the backend to cancel the request; on_end is still called. */
void req_cancel(struct req_engine *q, int64_t id);

/* The caller has disconnected: its sink is not called any more. */
void req_abandon(struct req_engine *q, int64_t id);

/* Releases the pinned connection of a caller that disconnects. */
void req_release_pin(struct req_engine *q, const char *customer,
		     const char *backend, int64_t pin);

/* Number of requests that have not ended. */
size_t req_count_running(const struct req_engine *q);

/* Makes waiting requests check again, after a new view or quota arrived. */
void req_recheck_waiting(struct req_engine *q);

/*
 * Sets a function that is called when a request has to wait because its
 * customer has no quota units left.
 */
void req_on_quota_exhausted(struct req_engine *q, void (*fn)(void *arg),
			    void *arg);

#endif
