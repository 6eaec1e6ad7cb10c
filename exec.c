#include "exec_priv.h"

#include "counter.h"
#include "link.h"
#include "rng.h"
#include "settings.h"
#include "view.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct exec_req *exec_find(struct exec *x, int64_t id)
{
	struct exec_req *r;

	HASH_FIND(hh, x->reqs, &id, sizeof(id), r);
	return r;
}

static char *exec_copy_blob(char *to, struct blob *b)
{
	if (b->len)
		memcpy(to, b->data, b->len);
	to[b->len] = '\0';
	b->data = to;
	return to + b->len + 1;
}

/*
 * Copies a request with everything it points to. Texts get a final zero byte.
 */
static void exec_copy_run(struct exec_req *r, const struct msg_run *run)
{
	size_t params = (size_t)run->nparams * sizeof(*run->params);
	size_t len = params + run->sql.len + 1;
	char *at;

	for (int64_t i = 0; i < run->nparams; i++)
		len += run->params[i].value.len + 1;
	r->run_mem = malloc(len);
	if (!r->run_mem)
		abort();
	r->run = *run;
	r->run.params = r->run_mem;
	if (params)
		memcpy(r->run.params, run->params, params);
	at = exec_copy_blob((char *)r->run_mem + params, &r->run.sql);
	for (int64_t i = 0; i < run->nparams; i++)
		at = exec_copy_blob(at, &r->run.params[i].value);
}

static void exec_limit_reached(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct exec_req *r = t->data;

	(void)loop;
	(void)revents;
	if (r->state == EXEC_FORWARDED)
		exec_remote_expire(r);
	else
		exec_local_expire(r);
}

struct exec_req *exec_req_new(struct exec *x, const struct msg_run *run)
{
	struct exec_req *r = calloc(1, sizeof(*r));
	clk_ms limit = run->answer_timeout_ms > 0 ? run->answer_timeout_ms : 1;

	if (!r)
		abort();
	r->x = x;
	r->id = x->next_id++;
	r->arrived_at = clk_now();
	r->arrived_us = clk_now_us();
	exec_copy_run(r, run);
	HASH_ADD(hh, x->reqs, id, sizeof(r->id), r);
	ev_now_update(x->loop);
	ev_timer_init(&r->limit_timer, exec_limit_reached,
		      (double)limit / 1000.0, 0.);
	r->limit_timer.data = r;
	ev_timer_start(x->loop, &r->limit_timer);
	if (!ev_is_active(&x->tick))
		ev_timer_again(x->loop, &x->tick);
	return r;
}

/*
 * Queues a request to be freed once it is finished, its end is delivered and no
 * runner uses it. It is freed later, from the event loop, so that loops over
 * the requests can keep a pointer to the next one.
 */
void exec_free_if_finished(struct exec_req *r)
{
	struct exec *x = r->x;

	if (r->free_pending || r->state != EXEC_FINISHED || !r->end_delivered ||
	    r->runner)
		return;
	r->free_pending = true;
	ev_timer_stop(x->loop, &r->limit_timer);
	r->next_to_free = x->reqs_to_free;
	x->reqs_to_free = r;
	ev_feed_event(x->loop, &x->flush, EV_CUSTOM);
}

static void exec_free_reqs(struct exec *x)
{
	while (x->reqs_to_free) {
		struct exec_req *r = x->reqs_to_free;

		x->reqs_to_free = r->next_to_free;
		HASH_DEL(x->reqs, r);
		free(r->text);
		free(r->run_mem);
		free(r);
	}
}

/* Ends a request without reporting a result to anyone. */
void exec_end_silently(struct exec_req *r)
{
	r->abandoned = true;
	if (!r->ended) {
		r->ended = true;
		r->end_delivered = true;
	}
	if (!r->runner)
		r->state = EXEC_FINISHED;
	exec_free_if_finished(r);
}

void exec_deliver_data(struct exec_req *r, const char *bytes, size_t len)
{
	if (r->abandoned)
		return;
	if (!r->origin_link) {
		r->sink.on_data(r->sink.arg, bytes, len);
		return;
	}
	while (len) {
		size_t part =
			len < EXEC_DATA_BYTES_MAX ? len : EXEC_DATA_BYTES_MAX;
		struct msg m = {.type = MSG_DATA,
				.u.data = {.run_id = r->origin_run_id,
					   .bytes = {bytes, part}}};

		link_send(r->origin_link, &m);
		bytes += part;
		len -= part;
	}
}

/*
 * Adds what the owner knows about the backend, so that the origin proxy can use
 * it for routing. This also applies to a request that was refused before it
 * ran.
 */
static void exec_add_hint(const struct exec_req *r, struct msg_end *end)
{
	const struct exec_routing_info *h = r->b ? &r->b->hint : NULL;

	if (!h || !h->info_received_at)
		return;
	end->log_term = h->log_term;
	end->applied_position = h->applied;
	if (h->applied_age_ms >= 0)
		end->data_age_plus_1_ms = h->applied_age_ms + 1;
}

static void exec_send_end(struct exec_req *r)
{
	struct msg m = {.type = MSG_END, .u.end = r->end};

	m.u.end.run_id = r->origin_run_id;
	exec_add_hint(r, &m.u.end);
	link_send(r->origin_link, &m);
	r->end_delivered = true;
}

/*
 * The end of a request that started here is reported from the event loop, never
 * from inside a call of this module.
 */
static void exec_queue_end(struct exec_req *r)
{
	struct exec *x = r->x;

	r->next_ended = NULL;
	*x->ended_queue_end = r;
	x->ended_queue_end = &r->next_ended;
	ev_feed_event(x->loop, &x->flush, EV_CUSTOM);
}

static void exec_flush(struct ev_loop *loop, ev_prepare *w, int revents)
{
	struct exec *x = w->data;

	(void)loop;
	(void)revents;
	while (x->ended_queue) {
		struct exec_req *r = x->ended_queue;

		x->ended_queue = r->next_ended;
		if (!x->ended_queue)
			x->ended_queue_end = &x->ended_queue;
		r->end_delivered = true;
		if (!r->abandoned)
			r->sink.on_end(r->sink.arg, &r->end);
		exec_free_if_finished(r);
	}
	exec_free_reqs(x);
}

void exec_set_end(struct exec_req *r, const struct msg_end *end)
{
	if (r->ended)
		return;
	r->ended = true;
	r->end = *end;
	r->end.run_id = r->id;
	r->text = malloc(end->text.len + 1);
	if (!r->text)
		abort();
	exec_copy_blob(r->text, &r->end.text);
	if (!r->runner)
		r->state = EXEC_FINISHED;
	if (r->abandoned)
		r->end_delivered = true;
	else if (r->origin_link)
		exec_send_end(r);
	else
		exec_queue_end(r);
}

void exec_end(struct exec_req *r, enum res res, const char *text)
{
	struct msg_end end = {
		.res = res,
		.text = {text ? text : "", text ? strlen(text) : 0},
		.txn_status_char = 'I',
		.waited_us = clk_now_us() - r->arrived_us,
	};

	exec_set_end(r, &end);
	exec_free_if_finished(r);
}

int64_t exec_start(struct exec *x, const struct msg_run *run,
		   const struct exec_sink *sink)
{
	struct exec_req *r = exec_req_new(x, run);
	const struct backend_info *b = view_backend(x->view, run->backend);
	int64_t id = r->id;
	const char *owner;

	r->sink = *sink;
	if (!b)
		exec_end(r, RES_NOT_OWNER, "backend server is not known");
	else if (exec_is_local(x, run, b, &owner))
		exec_local_start(r);
	else
		exec_forward(r, owner);
	return id;
}

void exec_cancel(struct exec *x, int64_t run_id)
{
	struct exec_req *r = exec_find(x, run_id);

	if (!r || r->ended)
		return;
	if (r->state == EXEC_FORWARDED)
		exec_remote_cancel(r);
	else
		exec_local_cancel(r);
}

void exec_abandon(struct exec *x, int64_t run_id)
{
	struct exec_req *r = exec_find(x, run_id);

	if (!r || r->abandoned)
		return;
	if (r->state == EXEC_FORWARDED)
		exec_remote_abandon(r);
	else
		exec_local_abandon(r);
}

static void exec_tick(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct exec *x = t->data;
	struct exec_backend *b, *next_b;
	struct exec_req *r, *next_r;
	clk_ms now = clk_now();

	(void)revents;
	for (r = x->reqs; r; r = next_r) {
		next_r = r->hh.next;
		exec_tick_req(r, now);
	}
	for (b = x->backends; b; b = next_b) {
		next_b = b->hh.next;
		exec_tick_backend(b, now);
	}
	if (!x->reqs)
		ev_timer_stop(loop, t);
}

struct exec *exec_new(struct ev_loop *loop, const struct settings *set,
		      struct view *view)
{
	struct exec *x = calloc(1, sizeof(*x));

	if (!x)
		abort();
	x->loop = loop;
	x->set = set;
	x->view = view;
	x->rng = rng_new(set->seed ? (uint64_t)set->seed
				   : (uint64_t)clk_now_us());
	x->next_id = 1;
	x->ended_queue_end = &x->ended_queue;
	ev_prepare_init(&x->flush, exec_flush);
	x->flush.data = x;
	ev_init(&x->tick, exec_tick);
	x->tick.repeat = EXEC_TICK_MS / 1000.0;
	x->tick.data = x;
	exec_backends_update(x);
	return x;
}

void exec_free(struct exec *x)
{
	struct exec_req *r, *next_r;
	struct exec_pin *p, *next_p;

	if (!x)
		return;
	/* runner_expire() calls back into exec, which frees the request. */
	for (r = x->reqs; r; r = next_r) {
		next_r = r->hh.next;
		r->abandoned = true;
		r->origin_link = NULL;
		if (r->runner)
			runner_expire(r->runner);
	}
	for (r = x->reqs; r; r = next_r) {
		next_r = r->hh.next;
		if (!r->ended)
			exec_end(r, RES_STOPPING, NULL);
	}
	exec_flush(x->loop, &x->flush, 0);
	for (p = x->pins; p; p = next_p) {
		next_p = p->hh.next;
		exec_pin_close(p);
	}
	exec_backends_free(x);
	exec_flush(x->loop, &x->flush, 0);
	exec_routes_free(x);
	ev_clear_pending(x->loop, &x->flush);
	ev_timer_stop(x->loop, &x->tick);
	rng_free(x->rng);
	free(x);
}

void exec_set_peers(struct exec *x, struct peers *p)
{
	x->peers = p;
}

void exec_view_changed(struct exec *x)
{
	struct exec_req *r, *next;

	for (r = x->reqs; r; r = next) {
		next = r->hh.next;
		if (r->runner)
			runner_view_changed(r->runner);
		else
			exec_local_recheck(r);
	}
	exec_backends_update(x);
}

void exec_on_primary_suspected(struct exec *x, void (*fn)(void *arg), void *arg)
{
	x->on_suspect = fn;
	x->suspect_arg = arg;
}

size_t exec_count_running(const struct exec *x)
{
	size_t n = 0;

	for (const struct exec_req *r = x->reqs; r; r = r->hh.next)
		n += !r->ended;
	return n;
}

size_t exec_count_pins(const struct exec *x)
{
	return HASH_COUNT(x->pins);
}

void exec_close_idle_remote_pins(struct exec *x)
{
	struct exec_pin *p, *next;

	for (p = x->pins; p; p = next) {
		next = p->hh.next;
		if (p->origin_link && !p->running_req)
			exec_pin_close(p);
	}
}
