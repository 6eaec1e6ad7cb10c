#include "runner_priv.h"

#include "answer.h"
#include "counter.h"
#include "pgwire.h"
#include "view.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	/* Bytes of the answer that are collected before they are released. */
	RUNNER_FLUSH_BYTES = 32 << 10,
	/* Reading stops while the receiver has more unread bytes than this. */
	RUNNER_BACKLOG_MAX = 256 << 10,
	RUNNER_CONFIRM_MIN_MS =
		1000 /* least wait for the majority to confirm */
};

/* Time between checks of the lease or of the backlog. */
#define RUNNER_RECHECK_S 0.005

static void runner_conn_lost(struct runner *r, const char *why);

static bool runner_can_stream(const struct runner *r)
{
	return r->run->kind != RUN_WRITE && !r->commits && !r->batch;
}

static char runner_txn(const struct runner *r)
{
	switch (PQtransactionStatus(r->pg)) {
	case PQTRANS_INTRANS:
		return 'T';
	case PQTRANS_INERROR:
		return 'E';
	default:
		return 'I';
	}
}

static void runner_watch(struct runner *r)
{
	int events = r->delivery_paused && !r->conn_lost ? 0 : EV_READ;

	if (r->conn_lost)
		return;
	switch (PQflush(r->pg)) {
	case 0:
		break;
	case 1:
		events |= EV_WRITE;
		break;
	default:
		runner_conn_lost(r, "sending to the backend server failed");
		return;
	}
	pool_watch(r->conn, events);
}

/*
 * Reports the result. The connection may still deliver results, which are then
 * discarded.
 */
static void runner_end(struct runner *r, enum res res)
{
	struct msg_end end = {
		.res = res,
		.txn_status_char = r->conn_lost || r->conn_not_reusable
					   ? 'I'
					   : runner_txn(r),
		.pinned_conn_id = !r->conn_lost && !r->conn_not_reusable,
		.log_term = r->status.log_term,
		.applied_position = r->status.applied_pos,
		.cost_us = r->executed_us ? r->executed_us - r->start_us : 0,
	};

	if (r->ended)
		return;
	r->ended = true;
	if (r->delivery_paused) {
		r->delivery_paused = false;
		ev_timer_stop(r->loop, &r->timer);
	}
	memcpy(end.sqlstate, r->sqlstate, sizeof(end.sqlstate));
	end.text.len = buf_len(&r->text);
	end.text.data = buf_str(&r->text);
	if (guard_reports_commit(r) &&
	    (res == RES_OK || res == RES_ANSWER_LOST)) {
		end.write_position = r->run->flags & RUN_WAIT_MAJORITY
					     ? r->position
					     : r->status.received_pos;
		/*
		 * Position 0 means that the session has committed nothing yet.
		 */
		if (end.write_position)
			end.write_term = r->status.log_term;
	}
	r->user.on_end(r->user.arg, &end);
}

static void runner_set_text(struct runner *r, const char *text)
{
	buf_free(&r->text);
	buf_add(&r->text, text, strcspn(text, "\n"));
}

static void runner_done(struct runner *r)
{
	struct runner_user user = r->user;
	bool clean = !r->conn_not_reusable && !r->conn_lost;
	char txn = clean ? runner_txn(r) : 'I';

	if (clean && r->pipelined)
		clean = PQexitPipelineMode(r->pg);
	ev_timer_stop(r->loop, &r->timer);
	pool_set_io_handler(r->conn, NULL, NULL);
	buf_free(&r->out);
	buf_free(&r->text);
	free(r);
	user.on_done(user.arg, clean, txn);
}

static void runner_conn_lost(struct runner *r, const char *why)
{
	r->conn_lost = true;
	if (!r->ended) {
		if (!buf_len(&r->text))
			runner_set_text(r, why);
		runner_end(r, guard_lost_result(r));
	}
}

static void runner_take_status(struct runner *r, PGresult *res)
{
	enum res checked;

	if (PQresultStatus(res) != PGRES_TUPLES_OK)
		return;
	if (!status_parse(&r->status, res))
		return;
	r->have_status = true;
	r->user.on_status(r->user.arg, &r->status);
	if (r->run->kind != RUN_READ && r->run->kind != RUN_BEGIN)
		return;
	if (r->run->kind == RUN_BEGIN && r->status_satisfies)
		return;
	checked = guard_check_status(r);
	if (checked == RES_OK) {
		r->status_satisfies = true;
		return;
	}
	/*
	 * The transaction that was opened here is rolled back when its
	 * connection is closed.
	 */
	if (r->run->kind == RUN_BEGIN)
		r->conn_not_reusable = true;
	runner_end(r, checked);
}

static void runner_pause(struct runner *r)
{
	if (r->delivery_paused)
		return;
	r->delivery_paused = true;
	ev_timer_again(r->loop, &r->timer);
}

/* Ends the request without its answer because the lease is not valid. */
static void runner_end_no_lease(struct runner *r)
{
	if (r->run->kind == RUN_IN_TXN || r->run->kind == RUN_BEGIN)
		r->conn_not_reusable = true;
	runner_end(r, guard_no_lease_result(r));
}

/*
 * Passes the collected answer on if the lease allows it. Returns false if it
 * has to wait.
 */
static bool runner_release(struct runner *r)
{
	if (r->ended) {
		buf_free(&r->out);
		return true;
	}
	switch (guard_may_release(r)) {
	case RELEASE_NOW:
		break;
	case RELEASE_WAIT:
		/* An expired lease is often renewed within milliseconds. */
		if (!r->lease_wait_until)
			r->lease_wait_until = clk_now() + r->run->wait_limit_ms;
		if (guard_reports_commit(r) ||
		    clk_now() < r->lease_wait_until) {
			runner_pause(r);
			return false;
		}
		runner_end_no_lease(r);
		return true;
	case RELEASE_NEVER:
		runner_end_no_lease(r);
		return true;
	}
	r->bytes_released = true;
	if (buf_len(&r->out))
		r->user.on_data(r->user.arg, buf_data(&r->out),
				buf_len(&r->out));
	buf_free(&r->out);
	if (r->user.backlog(r->user.arg) > RUNNER_BACKLOG_MAX)
		runner_pause(r);
	return true;
}

static void runner_sql_error(struct runner *r, PGresult *res)
{
	const char *state = ans_sqlstate(res);
	const char *message = PQresultErrorField(res, PG_DIAG_MESSAGE_PRIMARY);

	if (r->failed_result)
		return;
	snprintf(r->sqlstate, sizeof(r->sqlstate), "%s", state);
	runner_set_text(r, message ? message : PQresultErrorMessage(res));
	/* SQLSTATE class 08 and 40003 mean that the outcome is unknown. */
	if (!strncmp(state, "08", 2) || !strcmp(state, "40003")) {
		r->failed_result = r->commits ? RES_UNKNOWN : RES_READ_FAILED;
		return;
	}
	if (!strcmp(state, "25006") && r->run->kind != RUN_READ) {
		r->failed_result = RES_NO_PRIMARY;
		return;
	}
	r->failed_result = RES_SQL_ERROR;
	ans_error(&r->out, res);
}

/*
 * Handles an error result. Returns false if it means that the connection is
 * lost.
 */
static bool runner_error(struct runner *r, enum run_step step, PGresult *res)
{
	const char *state = ans_sqlstate(res);

	if (PQstatus(r->pg) == CONNECTION_BAD || !*state) {
		runner_set_text(r, PQresultErrorMessage(res));
		return false;
	}
	switch (step) {
	case STEP_CLAIM:
		if (!strcmp(state, "23505")) {
			r->request_id_used = true;
			cnt_add(CNT_dedup_hits, 1);
		} else if (!strcmp(state, "42P01") &&
			   !r->created_request_table) {
			r->request_table_missing = true;
		} else if (!strcmp(state, "55P03")) {
			r->failed_result = RES_IN_PROGRESS;
		} else {
			runner_sql_error(r, res);
		}
		break;
	case STEP_AWAIT:
		r->await_failed = true;
		runner_set_text(r, PQresultErrorMessage(res));
		break;
	case STEP_STATUS:
		/*
		 * Without a status row, no freshness requirement counts as
		 * satisfied.
		 */
		if (r->run->kind == RUN_READ)
			runner_end(r, RES_BEHIND);
		break;
	case STEP_ROLLBACK:
		r->conn_not_reusable = true;
		break;
	default:
		runner_sql_error(r, res);
	}
	return true;
}

/*
 * Session state outlives a transaction, so the connection must not be reused
 * for another caller.
 */
static void runner_check_session_state(struct runner *r)
{
	static const char *const tags[] = {
		"SET",	  "RESET",	    "PREPARE",
		"LISTEN", "DECLARE CURSOR", "DISCARD ALL"};

	for (size_t i = 0; i < sizeof(tags) / sizeof(tags[0]); i++)
		if (!strcmp(r->command_tag, tags[i]))
			pool_close_on_release(r->conn);
}

static void runner_executed(struct runner *r)
{
	if (r->executed)
		return;
	r->executed = true;
	r->executed_us = clk_now_us();
	/* For a write only the status row that follows the commit counts. */
	if (r->commits)
		r->have_status = false;
	r->user.on_executed(r->user.arg);
}

static void runner_rows(struct runner *r, PGresult *res)
{
	bool describe =
		r->run->flags & (RUN_ROW_DESCRIPTION | RUN_SIMPLE_QUERY);

	if (describe && !r->described && PQnfields(res))
		ans_row_description(&r->out, res);
	r->described = true;
	ans_rows(&r->out, res);
}

static void runner_statement(struct runner *r, PGresult *res)
{
	if (r->ended || r->failed_result)
		return;
	switch (PQresultStatus(res)) {
	case PGRES_SINGLE_TUPLE:
		runner_rows(r, res);
		break;
	case PGRES_TUPLES_OK:
		runner_rows(r, res);
		/* fall through */
	case PGRES_COMMAND_OK:
	case PGRES_EMPTY_QUERY:
		ans_command_complete(&r->out, res);
		snprintf(r->command_tag, sizeof(r->command_tag), "%s",
			 PQcmdStatus(res));
		runner_check_session_state(r);
		/* Each statement of a batch has its own row description. */
		r->described = false;
		break;
	default:
		/* COPY is not supported; closing the connection ends it. */
		r->failed_result = RES_UNSUPPORTED;
		r->conn_not_reusable = true;
		r->conn_lost = true;
		runner_end(r, RES_UNSUPPORTED);
		return;
	}
	if (runner_can_stream(r) && buf_len(&r->out) >= RUNNER_FLUSH_BYTES)
		runner_release(r);
}

static void runner_replay(struct runner *r, PGresult *res)
{
	buf_free(&r->out);
	if (PQntuples(res) != 1) {
		/* The first attempt is still running, or was rolled back. */
		r->failed_result = RES_IN_PROGRESS;
		return;
	}
	r->replay_has_answer =
		outcome_decode(PQgetvalue(res, 0, 0), r->command_tag, &r->out);
	if (!r->replay_has_answer)
		buf_free(&r->out);
}

/*
 * The stored answer begins with a row description. Removes it unless the caller
 * asked for one.
 */
static void runner_trim_replay(struct runner *r)
{
	const unsigned char *p;
	size_t len;

	if (r->run->flags & (RUN_ROW_DESCRIPTION | RUN_SIMPLE_QUERY) ||
	    buf_len(&r->out) < 5 || *buf_data(&r->out) != 'T')
		return;
	p = (const unsigned char *)buf_data(&r->out);
	len = (size_t)p[1] << 24 | (size_t)p[2] << 16 | (size_t)p[3] << 8 |
	      (size_t)p[4];
	if (len < buf_len(&r->out))
		buf_consume(&r->out, len + 1);
}

static void runner_success(struct runner *r, enum run_step step, PGresult *res)
{
	switch (step) {
	case STEP_STATUS:
		runner_take_status(r, res);
		break;
	case STEP_STATEMENT:
		runner_statement(r, res);
		break;
	case STEP_REPLAY:
		runner_replay(r, res);
		break;
	case STEP_AWAIT:
		r->position = strtoll(PQgetvalue(res, 0, 0), NULL, 10);
		break;
	case STEP_DESCRIBE:
		if (!r->ended)
			ans_statement_description(&r->out, res);
		break;
	default:
		break;
	}
}

/*
 * After the first sync, nothing can change the result of a failed autocommit
 * statement, so it is reported at once.
 */
static void runner_synced(struct runner *r)
{
	bool single = r->run->kind == RUN_WRITE && r->phase == PHASE_LAST &&
		      !(r->run->flags & RUN_PIN_CONN);

	if (single && r->failed_result && !r->ended) {
		runner_release(r);
		if (!r->delivery_paused)
			runner_end(r, r->failed_result);
	}
}

/*
 * Reads the rows of an answer one by one if they are passed on before the end.
 */
static void runner_single_row(struct runner *r)
{
	if (r->next_step < r->nsteps && r->pipelined && runner_can_stream(r) &&
	    r->steps[r->next_step] == STEP_STATEMENT)
		PQsetSingleRowMode(r->pg);
}

static void runner_next_step(struct runner *r)
{
	enum run_step step = r->steps[r->next_step++];

	if (step == STEP_STATEMENT || step == STEP_DESCRIBE)
		runner_executed(r);
	runner_single_row(r);
}

static void runner_result(struct runner *r, PGresult *res)
{
	enum run_step step = r->steps[r->next_step];

	r->got_first_result = true;
	switch (PQresultStatus(res)) {
	case PGRES_PIPELINE_SYNC:
		r->next_step++;
		runner_synced(r);
		runner_single_row(r);
		break;
	case PGRES_PIPELINE_ABORTED:
		break;
	case PGRES_FATAL_ERROR:
	case PGRES_BAD_RESPONSE:
		if (!runner_error(r, step, res))
			runner_conn_lost(r, PQresultErrorMessage(res));
		break;
	default:
		runner_success(r, step, res);
	}
	/*
	 * In a batch, each result except those of the statements belongs to one
	 * step.
	 */
	if (!r->pipelined && r->next_step + 1 < r->nsteps)
		r->next_step++;
	PQclear(res);
}

static void runner_check_commit(struct runner *r)
{
	/*
	 * The batch left its transaction open, or COMMIT ended a failed
	 * transaction, so nothing was committed.
	 */
	if (r->run->kind == RUN_IN_TXN &&
	    (runner_txn(r) != 'I' || !strcmp(r->command_tag, "ROLLBACK")))
		r->commits = false;
}

/*
 * Called when all results have arrived: decides the result and releases the
 * answer.
 */
static void runner_finish(struct runner *r)
{
	enum res res =
		r->failed_result ? r->failed_result : guard_final_result(r);

	if (res && res != RES_SQL_ERROR)
		buf_free(&r->out);
	if (!res && r->phase == PHASE_REPLAY) {
		if (r->replay_has_answer)
			runner_trim_replay(r);
		else
			res = RES_ANSWER_LOST;
	}
	if (res == RES_ANSWER_LOST)
		runner_set_text(r,
				r->command_tag[0] ? r->command_tag : "COMMIT");
	if (res && res != RES_SQL_ERROR && res != RES_ANSWER_LOST) {
		runner_end(r, res);
		return;
	}
	/*
	 * runner_release() may end the request itself, or return false to wait.
	 */
	if (runner_release(r))
		runner_end(r, res);
}

/*
 * Called when all results of a phase have arrived. Returns true if another
 * phase was started.
 */
static bool runner_next_phase(struct runner *r)
{
	bool ok;

	if (r->ended)
		return false;
	if (plan_next(r, &ok)) {
		if (!ok)
			runner_conn_lost(r, PQerrorMessage(r->pg));
		return ok;
	}
	runner_check_commit(r);
	runner_finish(r);
	return false;
}

static void runner_read_results(struct runner *r)
{
	while (r->next_step < r->nsteps && !r->delivery_paused &&
	       !r->conn_lost) {
		PGresult *res;

		if (PQisBusy(r->pg))
			return;
		res = PQgetResult(r->pg);
		if (res) {
			runner_result(r, res);
		} else if (!r->pipelined) {
			r->next_step = r->nsteps;
			runner_executed(r);
		} else {
			runner_next_step(r);
		}
	}
}

static void runner_process(struct runner *r)
{
	r->processing = true;
	do {
		runner_read_results(r);
	} while (!r->conn_lost && !r->delivery_paused &&
		 r->next_step >= r->nsteps && runner_next_phase(r));
	r->processing = false;
	if (r->pending_failure && !r->conn_lost)
		runner_conn_lost(r, r->pending_failure);
	if (r->expire_pending && !r->conn_lost) {
		runner_expire(r);
		return;
	}
	runner_watch(r);
	if (r->conn_lost || (r->ended && r->next_step >= r->nsteps))
		runner_done(r);
}

static void runner_io(void *arg, int revents)
{
	struct runner *r = arg;

	if (revents & EV_READ && !PQconsumeInput(r->pg) &&
	    PQstatus(r->pg) != CONNECTION_BAD)
		runner_conn_lost(r, PQerrorMessage(r->pg));
	runner_process(r);
}

static void runner_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct runner *r = t->data;

	(void)revents;
	r->delivery_paused = false;
	ev_timer_stop(loop, t);
	if (!r->ended && r->bytes_released &&
	    r->user.backlog(r->user.arg) > RUNNER_BACKLOG_MAX) {
		runner_pause(r);
		return;
	}
	runner_process(r);
}

static void runner_notice(void *arg, const PGresult *res)
{
	struct runner *r = arg;

	if (!r->ended && r->next_step < r->nsteps &&
	    r->steps[r->next_step] == STEP_STATEMENT)
		ans_notice(&r->out, res);
}

struct runner *runner_start(struct ev_loop *loop, struct view *view,
			    const struct msg_run *run, struct pool_conn *c,
			    const struct runner_user *user)
{
	struct runner *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->loop = loop;
	r->view = view;
	r->run = run;
	r->user = *user;
	r->conn = c;
	r->pg = pool_conn_pg(c);
	r->start_us = clk_now_us();
	ev_init(&r->timer, runner_timer);
	r->timer.repeat = RUNNER_RECHECK_S;
	r->timer.data = r;
	pool_set_io_handler(c, runner_io, r);
	PQsetNoticeReceiver(r->pg, runner_notice, r);
	if (!plan_start(r)) {
		r->pending_failure = "cannot send to the backend server";
		runner_pause(r);
	}
	r->sent = r->nsteps > 0;
	runner_single_row(r);
	/* The first I/O event flushes what could not be sent yet. */
	pool_watch(c, PQflush(r->pg) ? EV_READ | EV_WRITE : EV_READ);
	return r;
}

void runner_cancel(struct runner *r)
{
	if (r->ended || r->conn_lost)
		return;
	/*
	 * The cancel request may reach the backend after the statement has
	 * ended, and must not cancel a statement of another caller.
	 */
	pool_close_on_release(r->conn);
	pool_cancel(r->conn);
}

void runner_expire(struct runner *r)
{
	if (r->processing) {
		r->expire_pending = true;
		return;
	}
	if (!r->conn_lost && r->next_step < r->nsteps)
		pool_cancel(r->conn);
	if (!r->ended) {
		enum res res = guard_expired_result(r);

		r->conn_lost = true;
		runner_set_text(r, "time limit reached");
		runner_end(r, res);
	}
	r->conn_lost = true;
	runner_done(r);
}

bool runner_status_overdue(const struct runner *r, clk_ms limit)
{
	if (r->got_first_result || r->conn_lost || r->next_step >= r->nsteps ||
	    (r->steps[0] != STEP_STATUS && r->steps[0] != STEP_BEGIN))
		return false;
	return clk_now_us() - r->start_us > limit * 1000;
}

bool runner_confirm_overdue(const struct runner *r)
{
	clk_ms limit = r->run->wait_limit_ms;

	if (!r->commits || !r->executed || r->ended)
		return false;
	if (limit < RUNNER_CONFIRM_MIN_MS)
		limit = RUNNER_CONFIRM_MIN_MS;
	return clk_now_us() - r->executed_us > limit * 1000;
}

void runner_fail_connection(struct runner *r, const char *why)
{
	if (r->processing) {
		r->pending_failure = why;
		return;
	}
	runner_conn_lost(r, why);
	runner_done(r);
}

void runner_view_changed(struct runner *r)
{
	const struct group_info *g = view_group(r->view, r->run->group);

	if (r->ended || !g || g->term <= r->run->term ||
	    !guard_needs_primary(r))
		return;
	r->conn_lost = true;
	runner_set_text(r, "primary was replaced");
	if (guard_reports_commit(r))
		runner_end(r, RES_UNKNOWN);
	else if (r->bytes_released && r->run->kind == RUN_READ)
		runner_end(r, RES_READ_FAILED);
	else
		runner_end(r, r->run->kind == RUN_READ ? RES_NO_PRIMARY
						       : RES_PRIMARY_CHANGED);
	runner_done(r);
}
