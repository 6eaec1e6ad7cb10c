#include "request.h"

#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "counter.h"

enum {
	REQ_HOLD = 1024 /* bytes of a transaction's answer kept until its end */
};

struct req_run {
	int64_t id;
	int64_t run_id; /* 0 while nothing runs */
	char backend[ID_LEN];
	int64_t term; /* of the run on that backend */
	struct req_engine *engine;
	struct exec_sink sink;
	enum run_kind kind;
	struct buf held; /* answer that may only go out with its end */
	bool answered; /* bytes went to the caller */
	bool canceled; /* while it waited; ends from the loop */
	UT_hash_handle hh;
};

struct req_engine {
	struct ev_loop *loop;
	struct flt *flt;
	struct exec *exec;
	struct req_run *runs;
	ev_timer timer; /* flt_due() */
	clk_ms timer_at;
	ev_idle later; /* FLT_DONE actions made inside req_start() */
	void (*on_quota)(void *arg);
	void *quota_arg;
	bool draining;
	bool cancels; /* some request is canceled */
	char ended_backend[ID_LEN]; /* of the request that ends now */
	int64_t ended_term;
};

static void req_drain(struct req_engine *q);

static struct req_run *req_find(struct req_engine *q, int64_t id)
{
	struct req_run *r;

	HASH_FIND(hh, q->runs, &id, sizeof(id), r);
	return r;
}

/*
 * The answer of a write acknowledges it, so it waits until the chain has seen
 * the end and checked the lease. A commit's answer is short; longer answers in
 * a transaction are rows, which are passed on.
 */
static bool req_holds(const struct req_run *r, size_t len)
{
	switch (r->kind) {
	case RUN_WRITE:
		return true;
	case RUN_TXN:
		return !r->answered && buf_len(&r->held) + len <= REQ_HOLD;
	case RUN_READ:
	case RUN_DESCRIBE:
	case RUN_BEGIN:
		break;
	}
	return false;
}

static void req_release(struct req_run *r)
{
	if (!buf_len(&r->held))
		return;
	r->answered = true;
	r->sink.on_data(r->sink.arg, buf_data(&r->held), buf_len(&r->held));
	buf_free(&r->held);
}

static void req_on_data(void *arg, const char *bytes, size_t len)
{
	struct req_run *r = arg;

	if (req_holds(r, len)) {
		buf_add(&r->held, bytes, len);
		return;
	}
	req_release(r);
	r->answered = true;
	r->sink.on_data(r->sink.arg, bytes, len);
}

/* Forgets a request; its sink is not called again. */
static void req_drop(struct req_engine *q, struct req_run *r)
{
	HASH_DEL(q->runs, r);
	buf_free(&r->held);
	free(r);
}

static void req_on_end(void *arg, const struct msg_end *end)
{
	struct req_run *r = arg;
	struct req_engine *q = r->engine;

	r->run_id = 0;
	flt_ended(q->flt, r->id, r->backend, end, r->answered, clk_now());
	req_drain(q);
}

static size_t req_backlog(void *arg)
{
	const struct req_run *r = arg;

	return r->sink.backlog ? r->sink.backlog(r->sink.arg) : 0;
}

static void req_run(struct req_engine *q, const struct flt_action *a)
{
	struct req_run *r = req_find(q, a->id);
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

static void req_done(struct req_engine *q, const struct flt_action *a)
{
	struct req_run *r = req_find(q, a->id);
	struct exec_sink sink;

	if (!r)
		return;
	if (a->u.end.res == RES_OK || a->u.end.res == RES_SQL_ERROR)
		req_release(r);
	sink = r->sink;
	snprintf(q->ended_backend, sizeof(q->ended_backend), "%s", r->backend);
	q->ended_term = r->term;
	req_drop(q, r);
	sink.on_end(sink.arg, &a->u.end);
}

static void req_arm(struct req_engine *q)
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
 * Carries out the chain's actions. Ends are only reported from the loop, never
 * from inside req_start(), so a caller never sees its answer before its id.
 */
static void req_drain(struct req_engine *q)
{
	struct flt_action a;

	if (q->draining)
		return;
	q->draining = true;
	while (flt_poll(q->flt, &a)) {
		switch (a.kind) {
		case FLT_RUN:
			req_run(q, &a);
			break;
		case FLT_STOP:
			req_cancel(q, a.id);
			break;
		case FLT_DONE:
			req_done(q, &a);
			break;
		}
	}
	q->draining = false;
	if (flt_wants_quota(q->flt) && q->on_quota)
		q->on_quota(q->quota_arg);
	req_arm(q);
}

/* Ends a request that was canceled before it was handed to exec. */
static void req_end_canceled(struct req_engine *q, struct req_run *r)
{
	const char *text = res_text(RES_CANCELED);
	struct msg_end end = {.res = RES_CANCELED,
			      .txn = 'I',
			      .text = {.data = text, .len = strlen(text)}};
	struct exec_sink sink = r->sink;

	snprintf(end.sqlstate, sizeof(end.sqlstate), "%s",
		 res_sqlstate(RES_CANCELED));
	flt_abandon(q->flt, r->id, clk_now());
	req_drop(q, r);
	cnt_refusal(RES_CANCELED);
	sink.on_end(sink.arg, &end);
}

static void req_end_all_canceled(struct req_engine *q)
{
	struct req_run *r = q->runs;

	while (q->cancels) {
		while (r && (!r->canceled || r->run_id))
			r = r->hh.next;
		q->cancels = r != NULL;
		if (r)
			req_end_canceled(q, r);
		r = q->runs;
	}
}

static void req_later(struct ev_loop *loop, ev_idle *w, int events)
{
	(void)events;
	ev_idle_stop(loop, w);
	req_end_all_canceled(w->data);
	req_drain(w->data);
}

static void req_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	req_kick(w->data);
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
	ev_init(&q->timer, req_timer);
	q->timer.data = q;
	ev_idle_init(&q->later, req_later);
	q->later.data = q;
	return q;
}

void req_free(struct req_engine *q)
{
	if (!q)
		return;
	ev_timer_stop(q->loop, &q->timer);
	ev_idle_stop(q->loop, &q->later);
	while (q->runs)
		req_drop(q, q->runs);
	free(q);
}

int64_t req_start(struct req_engine *q, const struct flt_request *rq,
		  const struct exec_sink *sink)
{
	struct req_run *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->engine = q;
	r->sink = *sink;
	r->kind = rq->kind;
	r->id = flt_submit(q->flt, rq, clk_now());
	HASH_ADD(hh, q->runs, id, sizeof(r->id), r);
	ev_idle_start(q->loop, &q->later);
	return r->id;
}

const char *req_backend(const struct req_engine *q)
{
	return q->ended_backend;
}

int64_t req_term(const struct req_engine *q)
{
	return q->ended_term;
}

void req_cancel(struct req_engine *q, int64_t id)
{
	struct req_run *r = req_find(q, id);

	if (!r)
		return;
	if (r->run_id) {
		exec_cancel(q->exec, r->run_id);
		return;
	}
	r->canceled = true;
	q->cancels = true;
	ev_idle_start(q->loop, &q->later);
}

void req_abandon(struct req_engine *q, int64_t id)
{
	struct req_run *r = req_find(q, id);

	if (!r)
		return;
	if (r->run_id)
		exec_abandon(q->exec, r->run_id);
	flt_abandon(q->flt, id, clk_now());
	req_drop(q, r);
	ev_idle_start(q->loop, &q->later);
}

void req_unpin(struct req_engine *q, const char *customer, const char *backend,
	       int64_t pin)
{
	exec_unpin(q->exec, backend, pin);
	flt_unpin(q->flt, customer);
	ev_idle_start(q->loop, &q->later);
}

size_t req_running(const struct req_engine *q)
{
	return HASH_COUNT(q->runs);
}

void req_kick(struct req_engine *q)
{
	flt_tick(q->flt, clk_now());
	req_drain(q);
}

void req_on_quota(struct req_engine *q, void (*fn)(void *arg), void *arg)
{
	q->on_quota = fn;
	q->quota_arg = arg;
}
