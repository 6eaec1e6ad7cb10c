#include "runner_priv.h"

#include "answer.h"
#include "cancel.h"
#include "counter.h"
#include "pgwire.h"
#include "view.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	RUNNER_FLUSH = 32 << 10, /* bytes of answer passed on at a time */
	RUNNER_BACKLOG = 256 << 10, /* untaken bytes that stop reading */
	RUNNER_CONFIRM_MS = 1000 /* least time for the majority to confirm */
};

#define RUNNER_HOLD_S 0.005 /* between checks of the lease or backlog */

static void runner_broken(struct runner *r, const char *why);

static bool runner_streams(const struct runner *r)
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
	int events = r->holding && !r->gone ? 0 : EV_READ;

	if (r->gone)
		return;
	switch (PQflush(r->pg)) {
	case 0:
		break;
	case 1:
		events |= EV_WRITE;
		break;
	default:
		runner_broken(r, "send failed");
		return;
	}
	pool_watch(r->conn, events);
}

/* Reports the result; the connection may still have results to discard. */
static void runner_end(struct runner *r, enum res res)
{
	struct msg_end end = {
		.res = res,
		.txn = r->gone || r->dirty ? 'I' : runner_txn(r),
		.pin = !r->gone && !r->dirty,
		.log_term = r->status.log_term,
		.applied = r->status.applied,
		.cost_us = r->executed_us ? r->executed_us - r->start_us : 0,
	};

	if (r->ended)
		return;
	r->ended = true;
	if (r->holding) {
		r->holding = false;
		ev_timer_stop(r->loop, &r->timer);
	}
	memcpy(end.sqlstate, r->sqlstate, sizeof(end.sqlstate));
	end.text.len = buf_len(&r->text);
	end.text.data = buf_str(&r->text);
	if (guard_writes(r) && (res == RES_OK || res == RES_ANSWER_LOST)) {
		end.write_position = r->run->flags & RUN_MAJORITY
					     ? r->position
					     : r->status.held;
		/* Position 0: the session has committed nothing yet. */
		if (end.write_position)
			end.write_term = r->status.log_term;
	}
	r->user.on_end(r->user.arg, &end);
}

static void runner_text(struct runner *r, const char *text)
{
	buf_free(&r->text);
	buf_add(&r->text, text, strcspn(text, "\n"));
}

static void runner_done(struct runner *r)
{
	struct runner_user user = r->user;
	bool clean = !r->dirty && !r->gone;
	char txn = clean ? runner_txn(r) : 'I';

	if (clean && r->pipelined)
		clean = PQexitPipelineMode(r->pg);
	ev_timer_stop(r->loop, &r->timer);
	pool_on_io(r->conn, NULL, NULL);
	buf_free(&r->out);
	buf_free(&r->text);
	free(r);
	user.on_done(user.arg, clean, txn);
}

static void runner_broken(struct runner *r, const char *why)
{
	r->gone = true;
	if (!r->ended) {
		if (!buf_len(&r->text))
			runner_text(r, why);
		runner_end(r, guard_lost(r));
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
	if (r->run->kind == RUN_BEGIN && r->guarded)
		return;
	checked = guard_status(r);
	if (checked == RES_OK) {
		r->guarded = true;
		return;
	}
	/* A transaction that was opened here ends with its connection. */
	if (r->run->kind == RUN_BEGIN)
		r->dirty = true;
	runner_end(r, checked);
}

static void runner_hold(struct runner *r)
{
	if (r->holding)
		return;
	r->holding = true;
	ev_timer_again(r->loop, &r->timer);
}

/* Gives up the answer because its lease is not valid. */
static void runner_refuse(struct runner *r)
{
	if (r->run->kind == RUN_TXN || r->run->kind == RUN_BEGIN)
		r->dirty = true;
	runner_end(r, guard_no_lease(r));
}

/* Passes the collected answer on if that is allowed now. */
static bool runner_release(struct runner *r)
{
	if (r->ended) {
		buf_free(&r->out);
		return true;
	}
	switch (guard_release(r)) {
	case RELEASE_NOW:
		break;
	case RELEASE_LATER:
		/* A lapsed lease is often renewed within milliseconds. */
		if (!r->hold_until)
			r->hold_until = clk_now() + r->run->wait_ms;
		if (guard_writes(r) || clk_now() < r->hold_until) {
			runner_hold(r);
			return false;
		}
		runner_refuse(r);
		return true;
	case RELEASE_NEVER:
		runner_refuse(r);
		return true;
	}
	r->released = true;
	if (buf_len(&r->out))
		r->user.on_data(r->user.arg, buf_data(&r->out),
				buf_len(&r->out));
	buf_free(&r->out);
	if (r->user.backlog(r->user.arg) > RUNNER_BACKLOG)
		runner_hold(r);
	return true;
}

static void runner_sql_error(struct runner *r, PGresult *res)
{
	const char *state = ans_sqlstate(res);
	const char *message = PQresultErrorField(res, PG_DIAG_MESSAGE_PRIMARY);

	if (r->failed)
		return;
	snprintf(r->sqlstate, sizeof(r->sqlstate), "%s", state);
	runner_text(r, message ? message : PQresultErrorMessage(res));
	/* Class 08 and 40003 state that the outcome is not known. */
	if (!strncmp(state, "08", 2) || !strcmp(state, "40003")) {
		r->failed = r->commits ? RES_UNKNOWN : RES_READ_FAILED;
		return;
	}
	if (!strcmp(state, "25006") && r->run->kind != RUN_READ) {
		r->failed = RES_NO_PRIMARY;
		return;
	}
	r->failed = RES_SQL_ERROR;
	ans_error(&r->out, res);
}

/* An error result; false if it tells of the connection's end. */
static bool runner_error(struct runner *r, enum run_step step, PGresult *res)
{
	const char *state = ans_sqlstate(res);

	if (PQstatus(r->pg) == CONNECTION_BAD || !*state) {
		runner_text(r, PQresultErrorMessage(res));
		return false;
	}
	switch (step) {
	case STEP_CLAIM:
		if (!strcmp(state, "23505")) {
			r->claim_taken = true;
			cnt_add(CNT_dedup_hits, 1);
		} else if (!strcmp(state, "42P01") && !r->created) {
			r->claim_missing = true;
		} else if (!strcmp(state, "55P03")) {
			r->failed = RES_IN_PROGRESS;
		} else {
			runner_sql_error(r, res);
		}
		break;
	case STEP_AWAIT:
		r->await_failed = true;
		runner_text(r, PQresultErrorMessage(res));
		break;
	case STEP_STATUS:
		/* Missing status is treated as not satisfying anything. */
		if (r->run->kind == RUN_READ)
			runner_end(r, RES_BEHIND);
		break;
	case STEP_ROLLBACK:
		r->dirty = true;
		break;
	default:
		runner_sql_error(r, res);
	}
	return true;
}

/* Session state outlives a transaction, so the connection is not reused. */
static void runner_check_state(struct runner *r)
{
	static const char *const tags[] = {
		"SET",	  "RESET",	    "PREPARE",
		"LISTEN", "DECLARE CURSOR", "DISCARD ALL"};

	for (size_t i = 0; i < sizeof(tags) / sizeof(tags[0]); i++)
		if (!strcmp(r->tag, tags[i]))
			pool_taint(r->conn);
}

static void runner_executed(struct runner *r)
{
	if (r->executed)
		return;
	r->executed = true;
	r->executed_us = clk_now_us();
	/* For a write the status that follows counts. */
	if (r->commits)
		r->have_status = false;
	r->user.on_executed(r->user.arg);
}

static void runner_rows(struct runner *r, PGresult *res)
{
	bool describe = r->run->flags & (RUN_DESCRIBED | RUN_SIMPLE);

	if (describe && !r->described && PQnfields(res))
		ans_row_description(&r->out, res);
	r->described = true;
	ans_rows(&r->out, res);
}

static void runner_statement(struct runner *r, PGresult *res)
{
	if (r->ended || r->failed)
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
		ans_complete(&r->out, res);
		snprintf(r->tag, sizeof(r->tag), "%s", PQcmdStatus(res));
		runner_check_state(r);
		/* Each statement of a batch has its own description. */
		r->described = false;
		break;
	default:
		/* COPY can't be relayed; closing the connection ends it. */
		r->failed = RES_UNSUPPORTED;
		r->dirty = true;
		r->gone = true;
		runner_end(r, RES_UNSUPPORTED);
		return;
	}
	if (runner_streams(r) && buf_len(&r->out) >= RUNNER_FLUSH)
		runner_release(r);
}

static void runner_replay(struct runner *r, PGresult *res)
{
	buf_free(&r->out);
	if (PQntuples(res) != 1) {
		/* The first attempt has not ended, or was rolled back. */
		r->failed = RES_IN_PROGRESS;
		return;
	}
	r->replay_kept = once_decode(PQgetvalue(res, 0, 0), r->tag, &r->out);
	if (!r->replay_kept)
		buf_free(&r->out);
}

/* The row description in front of a kept answer is for those who ask. */
static void runner_trim_replay(struct runner *r)
{
	const unsigned char *p;
	size_t len;

	if (r->run->flags & (RUN_DESCRIBED | RUN_SIMPLE) ||
	    buf_len(&r->out) < 5 || *buf_data(&r->out) != 'T')
		return;
	p = (const unsigned char *)buf_data(&r->out);
	len = (size_t)p[1] << 24 | (size_t)p[2] << 16 | (size_t)p[3] << 8 |
	      (size_t)p[4];
	if (len < buf_len(&r->out))
		buf_consume(&r->out, len + 1);
}

static void runner_good(struct runner *r, enum run_step step, PGresult *res)
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
			ans_describe(&r->out, res);
		break;
	default:
		break;
	}
}

/* After the first sync of an autocommitted statement that failed nothing else
 * can change the result. */
static void runner_synced(struct runner *r)
{
	bool single = r->run->kind == RUN_WRITE && r->phase == PHASE_ONLY &&
		      !(r->run->flags & RUN_PIN);

	if (single && r->failed && !r->ended) {
		runner_release(r);
		if (!r->holding)
			runner_end(r, r->failed);
	}
}

/* Rows of an answer that is streamed are taken one by one. */
static void runner_single_row(struct runner *r)
{
	if (r->head < r->nsteps && r->pipelined && runner_streams(r) &&
	    r->steps[r->head] == STEP_STATEMENT)
		PQsetSingleRowMode(r->pg);
}

static void runner_advance(struct runner *r)
{
	enum run_step step = r->steps[r->head++];

	if (step == STEP_STATEMENT || step == STEP_DESCRIBE)
		runner_executed(r);
	runner_single_row(r);
}

static void runner_result(struct runner *r, PGresult *res)
{
	enum run_step step = r->steps[r->head];

	r->heard = true;
	switch (PQresultStatus(res)) {
	case PGRES_PIPELINE_SYNC:
		r->head++;
		runner_synced(r);
		runner_single_row(r);
		break;
	case PGRES_PIPELINE_ABORTED:
		break;
	case PGRES_FATAL_ERROR:
	case PGRES_BAD_RESPONSE:
		if (!runner_error(r, step, res))
			runner_broken(r, PQresultErrorMessage(res));
		break;
	default:
		runner_good(r, step, res);
	}
	/* In a batch each result but the statements' belongs to one step. */
	if (!r->pipelined && r->head + 1 < r->nsteps)
		r->head++;
	PQclear(res);
}

static void runner_settle_txn(struct runner *r)
{
	/* A batch left its transaction open, or COMMIT ended a failed one:
	 * nothing was committed. */
	if (r->run->kind == RUN_TXN &&
	    (runner_txn(r) != 'I' || !strcmp(r->tag, "ROLLBACK")))
		r->commits = false;
}

/* All results are in: decides the result and releases the answer. */
static void runner_finish(struct runner *r)
{
	enum res res = r->failed ? r->failed : guard_verdict(r);

	if (res && res != RES_SQL_ERROR)
		buf_free(&r->out);
	if (!res && r->phase == PHASE_REPLAY) {
		if (r->replay_kept)
			runner_trim_replay(r);
		else
			res = RES_ANSWER_LOST;
	}
	if (res == RES_ANSWER_LOST)
		runner_text(r, r->tag[0] ? r->tag : "COMMIT");
	if (res && res != RES_SQL_ERROR && res != RES_ANSWER_LOST) {
		runner_end(r, res);
		return;
	}
	/* runner_release() may also end the request, or hold it. */
	if (runner_release(r))
		runner_end(r, res);
}

/* Returns true if more was sent. */
static bool runner_phase_over(struct runner *r)
{
	bool ok;

	if (r->ended)
		return false;
	if (plan_next(r, &ok)) {
		if (!ok)
			runner_broken(r, PQerrorMessage(r->pg));
		return ok;
	}
	runner_settle_txn(r);
	runner_finish(r);
	return false;
}

static void runner_drain(struct runner *r)
{
	while (r->head < r->nsteps && !r->holding && !r->gone) {
		PGresult *res;

		if (PQisBusy(r->pg))
			return;
		res = PQgetResult(r->pg);
		if (res) {
			runner_result(r, res);
		} else if (!r->pipelined) {
			r->head = r->nsteps;
			runner_executed(r);
		} else {
			runner_advance(r);
		}
	}
}

static void runner_pump(struct runner *r)
{
	r->pumping = true;
	do {
		runner_drain(r);
	} while (!r->gone && !r->holding && r->head >= r->nsteps &&
		 runner_phase_over(r));
	r->pumping = false;
	if (r->break_asked && !r->gone)
		runner_broken(r, r->break_asked);
	if (r->expire_asked && !r->gone) {
		runner_expire(r);
		return;
	}
	runner_watch(r);
	if (r->gone || (r->ended && r->head >= r->nsteps))
		runner_done(r);
}

static void runner_io(void *arg, int revents)
{
	struct runner *r = arg;

	if (revents & EV_READ && !PQconsumeInput(r->pg) &&
	    PQstatus(r->pg) != CONNECTION_BAD)
		runner_broken(r, PQerrorMessage(r->pg));
	runner_pump(r);
}

static void runner_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct runner *r = t->data;

	(void)revents;
	r->holding = false;
	ev_timer_stop(loop, t);
	if (!r->ended && r->released &&
	    r->user.backlog(r->user.arg) > RUNNER_BACKLOG) {
		runner_hold(r);
		return;
	}
	runner_pump(r);
}

static void runner_notice(void *arg, const PGresult *res)
{
	struct runner *r = arg;

	if (!r->ended && r->head < r->nsteps &&
	    r->steps[r->head] == STEP_STATEMENT)
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
	r->pg = pool_pg(c);
	r->start_us = clk_now_us();
	ev_init(&r->timer, runner_timer);
	r->timer.repeat = RUNNER_HOLD_S;
	r->timer.data = r;
	pool_on_io(c, runner_io, r);
	PQsetNoticeReceiver(r->pg, runner_notice, r);
	if (!plan_start(r)) {
		r->break_asked = "can't send";
		runner_hold(r);
	}
	r->sent = r->nsteps > 0;
	runner_single_row(r);
	/* The first event flushes what was not sent yet. */
	pool_watch(c, PQflush(r->pg) ? EV_READ | EV_WRITE : EV_READ);
	return r;
}

void runner_cancel(struct runner *r)
{
	if (r->ended || r->gone)
		return;
	/* The request may reach the backend after the statement has ended and
	 * must not hit one of another caller. */
	pool_taint(r->conn);
	cancel_send(r->pg);
}

void runner_expire(struct runner *r)
{
	if (r->pumping) {
		r->expire_asked = true;
		return;
	}
	if (!r->gone && r->head < r->nsteps)
		cancel_send(r->pg);
	if (!r->ended) {
		enum res res = guard_expired(r);

		r->gone = true;
		runner_text(r, "time limit reached");
		runner_end(r, res);
	}
	r->gone = true;
	runner_done(r);
}

bool runner_stalled(const struct runner *r, clk_ms limit)
{
	if (r->heard || r->gone || r->head >= r->nsteps ||
	    (r->steps[0] != STEP_STATUS && r->steps[0] != STEP_BEGIN))
		return false;
	return clk_now_us() - r->start_us > limit * 1000;
}

bool runner_unconfirmed(const struct runner *r)
{
	clk_ms limit = r->run->wait_ms;

	if (!r->commits || !r->executed || r->ended)
		return false;
	if (limit < RUNNER_CONFIRM_MS)
		limit = RUNNER_CONFIRM_MS;
	return clk_now_us() - r->executed_us > limit * 1000;
}

void runner_break(struct runner *r, const char *why)
{
	if (r->pumping) {
		r->break_asked = why;
		return;
	}
	runner_broken(r, why);
	runner_done(r);
}

void runner_view_changed(struct runner *r)
{
	const struct group_info *g = view_group(r->view, r->run->group);

	if (r->ended || !g || g->term <= r->run->term ||
	    !guard_needs_primary(r))
		return;
	r->gone = true;
	runner_text(r, "primary was replaced");
	if (guard_writes(r))
		runner_end(r, RES_UNKNOWN);
	else if (r->released && r->run->kind == RUN_READ)
		runner_end(r, RES_READ_FAILED);
	else
		runner_end(r, r->run->kind == RUN_READ ? RES_NO_PRIMARY
						       : RES_PRIMARY_CHANGED);
	runner_done(r);
}
