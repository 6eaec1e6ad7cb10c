#ifndef RUNNER_PRIV_H
#define RUNNER_PRIV_H

/* Internals of the runner, shared by runner.c and runner_plan.c only. */

#include "once.h"
#include "runner.h"

/* What the results that are still due belong to, in the order sent. */
enum run_step {
	STEP_SYNC,
	STEP_STATUS,
	STEP_STATEMENT,
	STEP_BEGIN,
	STEP_CLAIM,
	STEP_OUTCOME,
	STEP_COMMIT,
	STEP_ROLLBACK,
	STEP_CREATE,
	STEP_REPLAY,
	STEP_AWAIT,
	STEP_PREPARE,
	STEP_DESCRIBE
};

/* What has been sent; decides what follows when all results are there. */
enum run_phase {
	PHASE_ONLY, /* nothing follows */
	PHASE_CLAIM, /* transaction with a request id, before its commit */
	PHASE_CREATE, /* request table is being created */
	PHASE_REPLAY, /* first outcome of a request id is being read */
	PHASE_BATCH /* simple query, status and await still to be sent */
};

enum { RUNNER_STEPS = 16 };

struct runner {
	struct ev_loop *loop;
	struct view *view;
	const struct msg_run *run;
	struct runner_user user;
	struct pool_conn *conn;
	PGconn *pg;
	enum run_step steps[RUNNER_STEPS];
	int nsteps;
	int head;
	enum run_phase phase;
	bool batch; /* several statements in one simple query */
	bool pipelined;
	bool commits; /* the statement ends a transaction, or is one itself */
	bool sent; /* bytes may have left */
	bool created; /* the request table was created by this request */

	struct buf out; /* answer that was not released yet */
	bool heard; /* the first result is in */
	bool described; /* the row description is written */
	bool guarded; /* the status row satisfies the request */
	bool released; /* bytes went out; the lease was checked */
	bool executed;
	bool claim_taken; /* the request id was used before */
	bool claim_missing; /* the request table is missing */
	bool replay_kept; /* out holds the first answer */

	enum res failed; /* result that is known before all results are in */
	char sqlstate[MSG_STATE_LEN];
	struct buf text;
	char tag[ONCE_TAG_LEN];
	bool have_status;
	struct backend_status status;
	bool await_failed;
	int64_t position; /* confirmed by the majority */

	bool ended;
	bool dirty; /* must not go to another caller */
	bool gone; /* the connection is lost */
	bool pumping;
	bool expire_asked;
	const char *break_asked;
	bool holding; /* waits for the lease or for the receiver */
	clk_ms hold_until;
	ev_timer timer;
	int64_t start_us;
	int64_t executed_us;
};

/* Sends what the request needs first; false if libpq refused. */
bool plan_start(struct runner *r);

/* Sends what follows the current phase; false if nothing does, with *ok unset
 * if libpq refused. */
bool plan_next(struct runner *r, bool *ok);

/* The answer tells of a commit, now or by the first attempt. */
bool guard_writes(const struct runner *r);

/* Result of a request whose connection was lost. */
enum res guard_lost(const struct runner *r);

/* Does the status row satisfy what the request needs? */
enum res guard_status(const struct runner *r);

enum release { RELEASE_NOW, RELEASE_LATER, RELEASE_NEVER };

/* May bytes of the answer go to the caller, by the lease? */
enum release guard_release(const struct runner *r);

/* Result of a request whose answer may not be released. */
enum res guard_no_lease(const struct runner *r);

/* Result of a request of which all results are in. */
enum res guard_verdict(const struct runner *r);

/* Result of a request whose time limit is over. */
enum res guard_expired(const struct runner *r);

bool guard_needs_primary(const struct runner *r);

#endif
