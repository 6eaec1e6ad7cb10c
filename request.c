#include "request.h"

#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "counter.h"

enum {
	/* Bytes held back from an answer in a transaction until it ends. */
	REQ_HOLD_BYTES_MAX = 1024
};

struct req_entry {
	int64_t id;
	int64_t run_id; /* exec run id, 0 while it is not handed to exec */
	char backend[ID_LEN];
	int64_t term; /* primary term of the run on that backend */
	struct req_engine *engine;
	struct exec_sink sink;
	enum run_kind kind;
	struct buf held; /* answer held back until the result is known */
	bool answer_started; /* part of the answer was sent to the caller */
	/* Canceled before it was handed to exec; req_idle_cb() ends it. */
	bool canceled;
	UT_hash_handle hh;
};

struct req_engine {
	struct ev_loop *loop;
	struct flt *flt;
	struct exec *exec;
	struct req_entry *runs;
	ev_timer timer; /* fires at flt_due() */
	clk_ms timer_at;
	/* Runs req_idle_cb(): pending cancels, and actions that the chain
	 * queued inside req_start(), such as FLT_DONE. */
	ev_idle idle;
	void (*on_quota)(void *arg);
	void *quota_arg;
	bool running_actions;
	bool has_canceled; /* some request has canceled set */
	char ended_backend[ID_LEN]; /* of the request whose on_end is running */
	int64_t ended_term;
};

static void req_run_actions(struct req_engine *q);

static struct req_entry *req_find(struct req_engine *q, int64_t id)
{
	struct req_entry *r;

	HASH_FIND(hh, q->runs, &id, sizeof(id), r);
	return r;
}

/*
 * The answer of a write acknowledges it, so it is held back until the filter
 * chain has processed the result and checked the lease. In a transaction the
 * answer to a commit is short and is held back too; a longer answer consists of
 * rows and is passed on.
 */
static bool req_must_hold(const struct req_entry *r, size_t len)
{
	switch (r->kind) {
	case RUN_WRITE:
		return true;
	case RUN_IN_TXN:
		return !r->answer_started &&
		       buf_len(&r->held) + len <= REQ_HOLD_BYTES_MAX;
	case RUN_READ:
	case RUN_DESCRIBE:
	case RUN_BEGIN:
		break;
	}
	return false;
}

static void req_send_held(struct req_entry *r)
{
	if (!buf_len(&r->held))
		return;
	r->answer_started = true;
	r->sink.on_data(r->sink.arg, buf_data(&r->held), buf_len(&r->held));
	buf_free(&r->held);
}

static void req_on_data(void *arg, const char *bytes, size_t len)
{
	struct req_entry *r = arg;

	if (req_must_hold(r, len)) {
		buf_add(&r->held, bytes, len);
		return;
	}
	req_send_held(r);
	r->answer_started = true;
	r->sink.on_data(r->sink.arg, bytes, len);
}

/* Frees a request; its sink is not called again. */
static void req_entry_free(struct req_engine *q, struct req_entry *r)
{
	HASH_DEL(q->runs, r);
	buf_free(&r->held);
	free(r);
}

static void req_on_end(void *arg, const struct msg_end *end)
{
	struct req_entry *r = arg;
	struct req_engine *q = r->engine;

	r->run_id = 0;
	flt_attempt_ended(q->flt, r->id, r->backend, end, r->answer_started,
			  clk_now());
	req_run_actions(q);
}

static size_t req_backlog(void *arg)
{
	const struct req_entry *r = arg;

	return r->sink.backlog ? r->sink.backlog(r->sink.arg) : 0;
}

static void req_start_run(struct req_engine *q, const struct flt_action *a)
{
	struct req_entry *r = req_find(q, a->id);
	struct exec_sink sink = {.arg = r,
				 .on_data = req_on_data,
				 .on_end = req_on_end,
				 .backlog = req_backlog};

	if (!r)
		return;
	snprintf(r->backend, sizeof(r->backend), "%s", a->u.run.backend);
	r->term = a->u.run.term;
	buf_free(&r->held);
	r->run_id = exec_start(q->exec, &a->u.run, &sink);
	if (r->canceled)
		exec_cancel(q->exec, r->run_id);
}

static void req_report_end(struct req_engine *q, const struct flt_action *a)
{
	struct req_entry *r = req_find(q, a->id);
	struct exec_sink sink;

	if (!r)
		return;
	if (a->u.end.res == RES_OK || a->u.end.res == RES_SQL_ERROR)
		req_send_held(r);
	sink = r->sink;
	snprintf(q->ended_backend, sizeof(q->ended_backend), "%s", r->backend);
	q->ended_term = r->term;
	req_entry_free(q, r);
	sink.on_end(sink.arg, &a->u.end);
}

static void req_arm_timer(struct req_engine *q)
{
	clk_ms due = flt_due(q->flt);
	clk_ms now;

	if (due == CLK_NEVER) {
		ev_timer_stop(q->loop, &q->timer);
		return;
	}
	if (ev_is_active(&q->timer) && q->timer_at == due)
		return;
	now = clk_now();
	ev_timer_stop(q->loop, &q->timer);
	ev_now_update(q->loop);
	ev_timer_set(&q->timer,
		     due > now ? (double)(due - now) / 1000.0 : 0.001, 0.);
	ev_timer_start(q->loop, &q->timer);
	q->timer_at = due;
}

/*
 * Carries out the actions that the filter chain has queued. The end of a
 * request is reported only from the event loop, never inside req_start(), so
 * that a caller has the request's id before it gets the answer.
 */
static void req_run_actions(struct req_engine *q)
{
	struct flt_action a;

	if (q->running_actions)
		return;
	q->running_actions = true;
	while (flt_poll(q->flt, &a)) {
		switch (a.kind) {
		case FLT_RUN:
			req_start_run(q, &a);
			break;
		case FLT_CANCEL:
			req_cancel(q, a.id);
			break;
		case FLT_DONE:
			req_report_end(q, &a);
			break;
		}
	}
	q->running_actions = false;
	if (flt_wants_quota(q->flt) && q->on_quota)
		q->on_quota(q->quota_arg);
	req_arm_timer(q);
}

/* Ends a request that was canceled before it was handed to exec. */
static void req_end_canceled(struct req_engine *q, struct req_entry *r)
{
	const char *text = res_text(RES_CANCELED);
	struct msg_end end = {.res = RES_CANCELED,
			      .txn_status_char = 'I',
			      .text = {.data = text, .len = strlen(text)}};
	struct exec_sink sink = r->sink;

	snprintf(end.sqlstate, sizeof(end.sqlstate), "%s",
		 res_sqlstate(RES_CANCELED));
	flt_abandon(q->flt, r->id, clk_now());
	req_entry_free(q, r);
	cnt_add_refusal(RES_CANCELED);
	sink.on_end(sink.arg, &end);
}

static void req_end_all_canceled(struct req_engine *q)
{
	struct req_entry *r = q->runs;

	while (q->has_canceled) {
		while (r && (!r->canceled || r->run_id))
			r = r->hh.next;
		q->has_canceled = r != NULL;
		if (r)
			req_end_canceled(q, r);
		r = q->runs;
	}
}

static void req_idle_cb(struct ev_loop *loop, ev_idle *w, int events)
{
	(void)events;
	ev_idle_stop(loop, w);
	req_end_all_canceled(w->data);
	req_run_actions(w->data);
}

static void req_timer_cb(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	req_recheck_waiting(w->data);
}

struct req_engine *req_new(struct ev_loop *loop, struct flt *flt,
			   struct exec *exec)
{
	struct req_engine *q = calloc(1, sizeof(*q));

	if (!q)
		abort();
	q->loop = loop;
	q->flt = flt;
	q->exec = exec;
	ev_init(&q->timer, req_timer_cb);
	q->timer.data = q;
	ev_idle_init(&q->idle, req_idle_cb);
	q->idle.data = q;
	return q;
}

void req_free(struct req_engine *q)
{
	if (!q)
		return;
	ev_timer_stop(q->loop, &q->timer);
	ev_idle_stop(q->loop, &q->idle);
	while (q->runs)
		req_entry_free(q, q->runs);
	free(q);
}

int64_t req_start(struct req_engine *q, const struct flt_request *rq,
		  const struct exec_sink *sink)
{
	struct req_entry *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->engine = q;
	r->sink = *sink;
	r->kind = rq->kind;
	r->id = flt_submit(q->flt, rq, clk_now());
	HASH_ADD(hh, q->runs, id, sizeof(r->id), r);
	ev_idle_start(q->loop, &q->idle);
	return r->id;
}

const char *req_last_backend(const struct req_engine *q)
{
	return q->ended_backend;
}

int64_t req_last_term(const struct req_engine *q)
{
	return q->ended_term;
}

void req_cancel(struct req_engine *q, int64_t id)
{
	struct req_entry *r = req_find(q, id);

	if (!r)
		return;
	if (r->run_id) {
		exec_cancel(q->exec, r->run_id);
		return;
	}
	r->canceled = true;
	q->has_canceled = true;
	ev_idle_start(q->loop, &q->idle);
}

void req_abandon(struct req_engine *q, int64_t id)
{
	struct req_entry *r = req_find(q, id);

	if (!r)
		return;
	if (r->run_id)
		exec_abandon(q->exec, r->run_id);
	flt_abandon(q->flt, id, clk_now());
	req_entry_free(q, r);
	ev_idle_start(q->loop, &q->idle);
}

void req_release_pin(struct req_engine *q, const char *customer,
		     const char *backend, int64_t pin)
{
	exec_release_pin(q->exec, backend, pin);
	flt_release_pinned_unit(q->flt, customer);
	ev_idle_start(q->loop, &q->idle);
}

size_t req_count_running(const struct req_engine *q)
{
	return HASH_COUNT(q->runs);
}

void req_recheck_waiting(struct req_engine *q)
{
	flt_tick(q->flt, clk_now());
	req_run_actions(q);
}

void req_on_quota_exhausted(struct req_engine *q, void (*fn)(void *arg),
			    void *arg)
{
	q->on_quota = fn;
	q->quota_arg = arg;
}
