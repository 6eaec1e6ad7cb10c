#ifndef RUNNER_H
#define RUNNER_H

/*
 * Runs one request on one connection of a backend server.
 *
 * A request is sent as one or more libpq pipelines. The status row in front of
 * a read, or behind a write, is checked against what the request needs before
 * any byte of the answer is released. on_end is called once with the result;
 * the connection may still have to deliver results that are discarded. Then
 * on_done is called and the runner is gone.
 */

#include "msg.h"
#include "pool.h"
#include "status.h"

struct runner;
struct view;

struct runner_user {
	void *arg;
	void (*on_data)(void *arg, const char *bytes, size_t len);

	/* Bytes of the answer that its receiver has not taken yet. */
	size_t (*backlog)(void *arg);

	/* A status row, also one that does not satisfy the request. */
	void (*on_status)(void *arg, const struct backend_status *st);

	/* The statement no longer executes; its slot is free. May be called
	 * more than once. */
	void (*on_executed)(void *arg);

	/* end->pin is 1 if the connection may be kept for the caller. */
	void (*on_end)(void *arg, const struct msg_end *end);

	/* clean: the connection may be given to another caller. txn is its
	 * transaction state, 'I', 'T' or 'E'. */
	void (*on_done)(void *arg, bool clean, char txn);
};

/* run must stay valid until on_done. Callbacks are not called from inside. */
struct runner *runner_start(struct ev_loop *loop, struct view *view,
			    const struct msg_run *run, struct pool_conn *c,
			    const struct runner_user *user);

/* Asks the backend to cancel the statement. */
void runner_cancel(struct runner *r);

/* The time limit is over: cancels, ends the request, gives the connection up.
 * on_end (if still due) and on_done are called from inside. */
void runner_expire(struct runner *r);

/* The connection can't be used any more, for the reason given. */
void runner_break(struct runner *r, const char *why);

/* A status row that was sent ahead of the statement is overdue: the connection
 * no longer delivers data. */
bool runner_stalled(const struct runner *r, clk_ms limit);

/* A write has executed, but its majority or lease did not come within what its
 * caller may wait. */
bool runner_unconfirmed(const struct runner *r);

/* The view changed: requests on a replaced primary end at once. */
void runner_view_changed(struct runner *r);

#endif
