#ifndef REQUEST_H
#define REQUEST_H

/*
 * Runs requests of callers: drives the filter chain with exec and the loop's
 * timers. Answers come through a struct exec_sink as with exec_start().
 */

#include "exec.h"
#include "filter.h"

struct req_engine;

struct req_engine *req_new(struct ev_loop *loop, struct flt *flt,
			   struct exec *exec);
void req_free(struct req_engine *q);

/* Starts a request and returns its id; on_end is never called from inside. */
int64_t req_start(struct req_engine *q, const struct flt_request *rq,
		  const struct exec_sink *sink);

/*
 * Where the request whose on_end is running was last sent, for its pin; "" and
 * 0 if it was sent nowhere.
 */
const char *req_backend(const struct req_engine *q);
int64_t req_term(const struct req_engine *q);

/* Asks the backend to cancel; on_end still follows. */
void req_cancel(struct req_engine *q, int64_t id);

/* The caller has gone: no more calls of its sink. */
void req_abandon(struct req_engine *q, int64_t id);

/* Gives up the pinned connection of a caller that leaves. */
void req_unpin(struct req_engine *q, const char *customer, const char *backend,
	       int64_t pin);

/* Requests that have not ended. */
size_t req_running(const struct req_engine *q);

/* Lets waiting requests see a new view or new quota. */
void req_kick(struct req_engine *q);

/* Calls fn when a request found its customer without free units. */
void req_on_quota(struct req_engine *q, void (*fn)(void *arg), void *arg);

#endif
