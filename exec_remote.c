#include "exec_priv.h"

#include "counter.h"
#include "link.h"
#include "peers.h"
#include "settings.h"
#include "view.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- routes: which proxy holds a pinned connection ---- */

static struct exec_route *exec_route_find(struct exec *x, int64_t pin)
{
	struct exec_route *t;

	HASH_FIND(hh, x->routes, &pin, sizeof(pin), t);
	return t;
}

static void exec_route_remove(struct exec *x, int64_t pin)
{
	struct exec_route *t = exec_route_find(x, pin);

	if (!t)
		return;
	HASH_DEL(x->routes, t);
	free(t);
}

static void exec_route_add(struct exec *x, int64_t pin, const char *owner)
{
	struct exec_route *t = exec_route_find(x, pin);

	if (t)
		return;
	t = calloc(1, sizeof(*t));
	if (!t)
		abort();
	t->pin = pin;
	snprintf(t->owner, sizeof(t->owner), "%s", owner);
	HASH_ADD(hh, x->routes, pin, sizeof(t->pin), t);
}

void exec_routes_free(struct exec *x)
{
	struct exec_route *t, *next;

	for (t = x->routes; t; t = next) {
		next = t->hh.next;
		HASH_DEL(x->routes, t);
		free(t);
	}
}

/* ---- origin side ---- */

bool exec_is_local(struct exec *x, const struct msg_run *run,
		   const struct backend_info *b, const char **owner)
{
	const struct exec_route *t;

	*owner = x->set->id;
	if (x->set->scheduling == SETTINGS_SCHEDULING_POOLS)
		return true;
	if (run->pinned_conn_id) {
		t = exec_route_find(x, run->pinned_conn_id);
		if (t)
			*owner = t->owner;
	} else {
		*owner = view_backend_owner(x->view, b);
	}
	return !strcmp(*owner, x->set->id);
}

static struct link *exec_link_to(struct exec *x, const char *proxy)
{
	struct link *l = x->peers ? peers_find_link(x->peers, proxy) : NULL;

	return l && link_is_up(l) ? l : NULL;
}

void exec_forward(struct exec_req *r, const char *owner)
{
	struct link *l = exec_link_to(r->x, owner);
	struct msg m = {.type = MSG_RUN, .u.run = r->run};
	clk_ms limit = r->run.answer_timeout_ms + EXEC_OWNER_GRACE_MS;

	if (!l) {
		exec_end(r, RES_UNREACHABLE, "no link to the owner");
		return;
	}
	m.u.run.run_id = r->id;
	r->owner_link = l;
	r->state = EXEC_FORWARDED;
	ev_timer_stop(r->x->loop, &r->limit_timer);
	ev_timer_set(&r->limit_timer, (double)limit / 1000.0, 0.);
	ev_timer_start(r->x->loop, &r->limit_timer);
	cnt_add(CNT_forwarded, 1);
	link_send(l, &m);
}

void exec_remote_cancel(struct exec_req *r)
{
	struct msg m = {.type = MSG_CANCEL, .u.cancel = {.run_id = r->id}};

	link_send(r->owner_link, &m);
}

/*
 * The request is kept until its end arrives, which may name a pin that has to
 * be released.
 */
void exec_remote_abandon(struct exec_req *r)
{
	r->abandoned = true;
	if (r->run.kind == RUN_READ || r->run.kind == RUN_DESCRIBE)
		exec_remote_cancel(r);
}

static enum res exec_lost_result(const struct exec_req *r)
{
	if (r->run.kind == RUN_WRITE || r->run.kind == RUN_IN_TXN)
		return RES_UNKNOWN;
	return RES_READ_FAILED;
}

void exec_remote_expire(struct exec_req *r)
{
	enum res res = exec_lost_result(r);

	exec_remote_cancel(r);
	r->owner_link = NULL;
	r->state = EXEC_FINISHED;
	exec_end(r, res == RES_READ_FAILED ? RES_CANCELED : res,
		 "time limit reached");
}

static void exec_send_unpin(struct exec *x, const char *owner, int64_t pin)
{
	struct link *l = exec_link_to(x, owner);
	struct msg m = {.type = MSG_UNPIN, .u.unpin = {.pinned_conn_id = pin}};

	if (l)
		link_send(l, &m);
}

/* Releases a pinned connection at the owner because its caller is gone. */
static void exec_release_orphaned_pin(struct exec *x, struct link *from,
				      int64_t pin)
{
	exec_send_unpin(x, link_peer_id(from), pin);
	exec_route_remove(x, pin);
}

static void exec_got_end(struct exec *x, struct link *from,
			 const struct msg_end *end)
{
	struct exec_backend *b;
	struct exec_req *r;

	HASH_FIND(hh, x->reqs, &end->run_id, sizeof(end->run_id), r);
	if (!r || r->state != EXEC_FORWARDED || r->owner_link != from) {
		cnt_add(CNT_late_answers, 1);
		if (end->pinned_conn_id)
			exec_release_orphaned_pin(x, from, end->pinned_conn_id);
		return;
	}
	if (r->run.pinned_conn_id &&
	    r->run.pinned_conn_id != end->pinned_conn_id)
		exec_route_remove(x, r->run.pinned_conn_id);
	if (end->pinned_conn_id && r->abandoned)
		exec_release_orphaned_pin(x, from, end->pinned_conn_id);
	else if (end->pinned_conn_id)
		exec_route_add(x, end->pinned_conn_id, link_peer_id(from));
	b = exec_backend_get(x, r->run.backend);
	if (b && end->log_term) {
		b->hint.log_term = end->log_term;
		b->hint.applied = end->applied_position;
		b->hint.applied_age_ms = end->data_age_plus_1_ms - 1;
		b->hint.info_received_at = clk_now();
	}
	if (b)
		exec_update_health(b, (enum res)end->res);
	if (b)
		b->forwarded_wait_us +=
			(end->waited_us - b->forwarded_wait_us) / 8;
	r->owner_link = NULL;
	r->state = EXEC_FINISHED;
	exec_set_end(r, end);
	exec_free_if_finished(r);
}

static void exec_got_data(struct exec *x, struct link *from,
			  const struct msg_data *d)
{
	struct exec_req *r;

	HASH_FIND(hh, x->reqs, &d->run_id, sizeof(d->run_id), r);
	if (!r || r->state != EXEC_FORWARDED || r->owner_link != from) {
		cnt_add(CNT_late_answers, 1);
		return;
	}
	exec_deliver_data(r, d->bytes.data, d->bytes.len);
}

/* ---- owner side ---- */

static void exec_got_run(struct exec *x, struct link *from,
			 const struct msg_run *run)
{
	struct exec_req *r = exec_req_new(x, run);

	r->origin_link = from;
	r->origin_run_id = run->run_id;
	exec_local_start(r);
}

static void exec_got_cancel(struct exec *x, struct link *from, int64_t run_id)
{
	struct exec_req *r, *next;

	for (r = x->reqs; r; r = next) {
		next = r->hh.next;
		if (r->origin_link != from || r->origin_run_id != run_id ||
		    r->ended)
			continue;
		exec_local_cancel(r);
		return;
	}
}

static void exec_close_pin(struct exec *x, struct link *from, int64_t pin)
{
	struct exec_req *busy;
	struct exec_pin *p;

	HASH_FIND(hh, x->pins, &pin, sizeof(pin), p);
	if (!p || p->origin_link != from)
		return;
	busy = p->running_req;
	if (busy)
		exec_local_abandon(busy);
	else
		exec_pin_close(p);
}

void exec_handle_message(struct exec *x, struct link *from, const struct msg *m)
{
	switch (m->type) {
	case MSG_RUN:
		exec_got_run(x, from, &m->u.run);
		break;
	case MSG_DATA:
		exec_got_data(x, from, &m->u.data);
		break;
	case MSG_END:
		exec_got_end(x, from, &m->u.end);
		break;
	case MSG_CANCEL:
		exec_got_cancel(x, from, m->u.cancel.run_id);
		break;
	case MSG_UNPIN:
		exec_close_pin(x, from, m->u.unpin.pinned_conn_id);
		break;
	default:
		break;
	}
}

void exec_release_pin(struct exec *x, const char *backend, int64_t pin)
{
	struct exec_route *t = exec_route_find(x, pin);

	(void)backend;
	if (!t) {
		exec_close_pin(x, NULL, pin);
		return;
	}
	exec_send_unpin(x, t->owner, pin);
	exec_route_remove(x, pin);
}

static void exec_remove_routes_to(struct exec *x, const char *owner)
{
	struct exec_route *t, *next;

	for (t = x->routes; t; t = next) {
		next = t->hh.next;
		if (strcmp(t->owner, owner))
			continue;
		HASH_DEL(x->routes, t);
		free(t);
	}
}

static void exec_end_requests_from(struct exec *x, struct link *l)
{
	struct exec_req *r, *next_r;
	struct exec_pin *p, *next_p;

	for (r = x->reqs; r; r = next_r) {
		next_r = r->hh.next;
		if (r->origin_link == l)
			exec_local_abandon(r);
	}
	for (p = x->pins; p; p = next_p) {
		next_p = p->hh.next;
		if (p->origin_link == l)
			exec_pin_close(p);
	}
}

static void exec_end_requests_to(struct exec *x, struct link *l)
{
	struct exec_req *r, *next;

	for (r = x->reqs; r; r = next) {
		next = r->hh.next;
		if (r->owner_link != l)
			continue;
		r->owner_link = NULL;
		r->state = EXEC_FINISHED;
		exec_end(r, exec_lost_result(r), "link to the owner was lost");
	}
}

void exec_link_down(struct exec *x, struct link *link)
{
	exec_end_requests_from(x, link);
	exec_end_requests_to(x, link);
	/*
	 * Forwarded requests use the link that this proxy opened, so the routes
	 * stay valid when only the link opened by the other proxy goes down.
	 */
	if (!x->peers ||
	    peers_find_link(x->peers, link_peer_id(link)) == link ||
	    !exec_link_to(x, link_peer_id(link)))
		exec_remove_routes_to(x, link_peer_id(link));
}
