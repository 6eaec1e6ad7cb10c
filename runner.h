#ifndef RUNNER_H
#define RUNNER_H

/*
 * Runs one request on one connection to a backend server.
 *
 * A request is sent as one or more libpq pipelines. A status row (status.h) is
 * read from the backend before a read, or after a write, and checked against
 * what the request requires before any byte of the answer is released. on_end
 * is called once with the result. Results that the connection still has to
 * deliver after that are discarded. Then on_done is called and the runner is
 * freed.
 *
 * runner.c sends, receives and delivers; runner_plan.c (plan_) decides which
 * statements are sent, and runner_guard.c (guard_) whether the answer may be
 * released and what the result is.
 */

#include "msg.h"
#include "pool.h"
#include "status.h"

struct runner;
struct view;

struct runner_user {
	void *arg;
	void (*on_data)(void *arg, const char *bytes, size_t len);

	/*
	 * Returns the bytes of the answer that its receiver has not read yet.
	 */
	size_t (*backlog)(void *arg);

	/*
	 * Called for each status row, even if it does not satisfy the request.
	 */
	void (*on_status)(void *arg, const struct backend_status *st);

	/*
	 * The statement has finished executing, so its slot is free. May be
	 * called more than once.
	 */
	void (*on_executed)(void *arg);

	/* end->pin is 1 if the connection may stay reserved for the caller. */
	void (*on_end)(void *arg, const struct msg_end *end);

	/*
	 * clean means that the connection may be used for another caller. txn
	 * is its transaction status: 'I' (idle), 'T' (in a transaction) or 'E'
	 * (in a failed transaction).
	 */
	void (*on_done)(void *arg, bool clean, char txn);
};

/*
 * run must stay valid until on_done. No callback is called before this function
 * returns.
 */
struct runner *runner_start(struct ev_loop *loop, struct view *view,
			    const struct msg_run *run, struct pool_conn *c,
			    const struct runner_user *user);

/* Asks the backend to cancel the statement. */
void runner_cancel(struct runner *r);

/*
 * The time limit is reached: cancels the statement, ends the request and gives
 * up the connection. on_end (if not called yet) and on_done are called before
 * this function returns; while the runner processes results, all this is
 * deferred until it has done so.
 */
void runner_expire(struct runner *r);

/* Ends the request because the connection is unusable, for the given reason. */
void runner_fail_connection(struct runner *r, const char *why);

/*
 * True if a status row that was sent ahead of the statement is overdue, which
 * means that the connection no longer delivers data.
 */
bool runner_status_overdue(const struct runner *r, clk_ms limit);

/*
 * True if a write has executed, but the confirmation by the majority or the
 * lease did not come within the time that its caller may wait.
 */
bool runner_confirm_overdue(const struct runner *r);

/*
 * The view changed: a request that needs a primary ends at once if that primary
 * was replaced.
 */
void runner_view_changed(struct runner *r);

#endif
