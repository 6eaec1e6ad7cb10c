#ifndef RUNNER_PRIV_H
#define RUNNER_PRIV_H

/* Internals of the runner, shared only by the runner*.c files. */

#include "request_outcome.h"
#include "runner.h"

/* What each expected result belongs to, in the order of sending. */
enum run_step {
	STEP_SYNC,
	STEP_STATUS,
	STEP_STATEMENT,
	STEP_BEGIN,
	STEP_CLAIM, /* inserts the request id into the request table */
	STEP_OUTCOME, /* stores the answer under the request id */
	STEP_COMMIT,
	STEP_ROLLBACK,
	STEP_CREATE, /* creates the request table */
	STEP_REPLAY, /* reads the stored answer of the first attempt */
	STEP_AWAIT, /* waits until the majority has confirmed the commit */
	STEP_PREPARE,
	STEP_DESCRIBE
};

/* What was sent last; decides what is sent when all its results are in. */
enum run_phase {
	PHASE_LAST, /* nothing follows */
	/* Transaction that inserted a request id, before its commit. */
	PHASE_CLAIM,
	PHASE_CREATE, /* the request table is being created */
	PHASE_REPLAY, /* the outcome of the first attempt is being read */
	PHASE_BATCH /* simple query; status and await are still to be sent */
};

enum { RUNNER_STEPS_MAX = 16 };

struct runner {
	struct ev_loop *loop;
	struct view *view;
	const struct msg_run *run;
	struct runner_user user;
	struct pool_conn *conn;
	PGconn *pg;
	enum run_step steps[RUNNER_STEPS_MAX];
	int nsteps;
	int next_step;
	enum run_phase phase;
	bool batch; /* several statements are sent as one simple query */
	bool pipelined;
	/* The statement ends its transaction, or is autocommitted. */
	bool commits;
	bool sent; /* bytes may have reached the backend */
	bool created_request_table; /* this request created the request table */

	struct buf out; /* collected answer that was not released yet */
	bool got_first_result; /* the first result has arrived */
	bool described; /* the row description was added to out */
	bool status_satisfies; /* the status row satisfies the request */
	/* Part of the answer was released after the lease was checked. */
	bool bytes_released;
	bool executed;
	bool request_id_used; /* by an earlier attempt */
	bool request_table_missing; /* the request table does not exist */
	bool replay_has_answer; /* out holds the answer of the first attempt */

	/* The error that is known before all results have arrived. */
	enum res failed_result;
	char sqlstate[MSG_SQLSTATE_LEN];
	struct buf text;
	char command_tag[OUTCOME_TAG_LEN];
	bool have_status;
	struct backend_status status;
	bool await_failed;
	int64_t position; /* log position that the majority has confirmed */

	bool ended;
	/* The connection must not be reused for another caller. */
	bool conn_not_reusable;
	bool conn_lost; /* the connection is lost or given up */
	bool processing;
	bool expire_pending;
	const char *pending_failure;
	/* Reading is stopped until the lease is valid or the receiver has read
	 * enough. */
	bool delivery_paused;
	clk_ms lease_wait_until;
	ev_timer timer;
	int64_t start_us;
	int64_t executed_us;
};

/* Sends the first statements of the request; false if libpq refused. */
bool plan_start(struct runner *r);

/*
 * Sends the statements that follow the current phase. Returns false if there
 * are none; *ok is false if libpq refused to send them.
 */
bool plan_next(struct runner *r, bool *ok);

/* True if the answer reports a commit, by this or by the first attempt. */
bool guard_reports_commit(const struct runner *r);

/* Result of a request whose connection was lost. */
enum res guard_lost_result(const struct runner *r);

/* Checks the status row against what the request requires. */
enum res guard_check_status(const struct runner *r);

enum release { RELEASE_NOW, RELEASE_WAIT, RELEASE_NEVER };

/* Decides by the lease whether the answer may be sent to the caller. */
enum release guard_may_release(const struct runner *r);

/* Result of a request whose answer may not be released. */
enum res guard_no_lease_result(const struct runner *r);

/* Result of a request when all results have arrived. */
enum res guard_final_result(const struct runner *r);

/* Result of a request that reached its time limit. */
enum res guard_expired_result(const struct runner *r);

bool guard_needs_primary(const struct runner *r);

#endif
