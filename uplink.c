#include "uplink_priv.h"

#include "ask.h"
#include "counter.h"
#include "exec.h"
#include "filter.h"
#include "link.h"
#include "log.h"
#include "quota.h"
#include "settings.h"
#include "view.h"

#include <ev.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

/* Time between checks of the forwarded requests. */
#define UPL_REQUEST_CHECK_S 0.05

static void upl_on_link_up(void *arg, struct link *l);
static void upl_on_link_down(void *arg, struct link *l);
static void upl_on_message(void *arg, struct link *l, const struct msg *m);

void upl_open_link(struct uplink *u, int index)
{
	struct upl_control *c = &u->controls[index];
	struct link_handler h = {.arg = c,
				 .on_up = upl_on_link_up,
				 .on_message = upl_on_message,
				 .on_down = upl_on_link_down};

	c->uplink = u;
	c->index = index;
	c->supports_until = 0;
	c->link = link_open(u->cfg.loop, u->cfg.set, "proxy",
			    u->live_settings.controls[index].addr, u->cfg.uuid,
			    &h);
}

static void upl_set_ask_timer(struct uplink *u)
{
	clk_ms due = ask_next_due(u->ask);
	clk_ms now = clk_now();

	ev_timer_stop(u->cfg.loop, &u->ask_timer);
	if (due == CLK_NEVER)
		return;
	ev_now_update(u->cfg.loop);
	ev_timer_set(&u->ask_timer,
		     due > now ? (double)(due - now) / 1000.0 : 0.0, 0.0);
	ev_timer_start(u->cfg.loop, &u->ask_timer);
}

/* Drops announcements that are too old to show that the backend is alive. */
static void upl_expire_announces(struct uplink *u, clk_ms now)
{
	struct upl_announce *a;
	struct upl_announce *next;

	for (a = u->announces; a; a = next) {
		clk_ms keep = a->info.leaving ? UPL_LEAVE_VALID_MS
					      : UPL_ANNOUNCE_VALID_MS;

		next = a->hh.next;
		if (now - a->received_at <= keep)
			continue;
		HASH_DEL(u->announces, a);
		free(a);
	}
}

static void upl_collect_announces(struct uplink *u, struct msg_ask *ask,
				  clk_ms now)
{
	struct upl_announce *a;
	size_t n;

	upl_expire_announces(u, now);
	n = HASH_COUNT(u->announces);
	ask->backend_announcements =
		calloc(n + 1, sizeof(*ask->backend_announcements));
	if (!ask->backend_announcements)
		abort();
	for (a = u->announces; a; a = a->hh.next) {
		ask->backend_announcements[ask->nbackend_announcements++] =
			a->info;
		a->ask_seq = ask->seq;
	}
}

/* Drops the announcements that the answered ASK or an earlier one carried. */
static void upl_drop_acknowledged_announces(struct uplink *u, int64_t seq)
{
	struct upl_announce *a;
	struct upl_announce *next;

	for (a = u->announces; a; a = next) {
		next = a->hh.next;
		if (!a->ask_seq || a->ask_seq > seq)
			continue;
		HASH_DEL(u->announces, a);
		free(a);
	}
}

static void upl_collect_demands(struct uplink *u, struct msg_ask *ask,
				clk_ms now)
{
	const struct lists *l = view_lists(u->cfg.view);
	int64_t max = l ? l->ncustomers : 0;

	if (max > UPL_MAX_DEMANDS)
		max = UPL_MAX_DEMANDS;
	ask->demands = calloc((size_t)max + 1, sizeof(*ask->demands));
	if (!ask->demands)
		abort();
	if (!u->cfg.flt)
		return;
	ask->ndemands = flt_demands(u->cfg.flt, ask->demands, max, now);
}

static void upl_collect_suspects(struct uplink *u, struct msg_ask *ask,
				 clk_ms now)
{
	ask->suspects = calloc(UPL_MAX_SUSPECTS, sizeof(*ask->suspects));
	if (!ask->suspects)
		abort();
	if (u->cfg.exec)
		ask->nsuspects = exec_list_suspected_primaries(
			u->cfg.exec, ask->suspects, UPL_MAX_SUSPECTS, now);
	else
		ask->nsuspects = u->cfg.collect_suspects(
			u->cfg.arg, ask->suspects, UPL_MAX_SUSPECTS, now);
}

static void upl_send_ask(struct uplink *u, int control, int64_t seq,
			 int64_t answer_seen, clk_ms now)
{
	const struct lists *l = view_lists(u->cfg.view);
	struct msg m = {.type = MSG_ASK};
	struct msg_ask *ask = &m.u.ask;
	struct buf wants = BUF_INIT;

	ask->seq = seq;
	ask->last_answer_seq = answer_seen;
	ask->view_version = view_version(u->cfg.view);
	ask->stopping = u->stopping;
	ask->published_version = u->doc_version;
	snprintf(ask->addr, sizeof(ask->addr), "%s",
		 u->cfg.set->link_advertise);
	if (l) {
		ask->known_lists_version = l->version;
		snprintf(ask->lists_digest, ID_LEN, "%s", l->digest);
	}
	upl_collect_demands(u, ask, now);
	upl_collect_suspects(u, ask, now);
	upl_collect_announces(u, ask, now);
	upl_collect_samples(u, control, ask);
	if (u->cfg.append_wanted_groups)
		u->cfg.append_wanted_groups(u->cfg.arg, &wants, now);
	ask->wanted_groups = blob_from_buf(&wants);
	link_send(u->controls[control].link, &m);
	buf_free(&wants);
	free(ask->demands);
	free(ask->suspects);
	free(ask->backend_announcements);
	free(ask->samples);
}

static void upl_on_ask_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct uplink *u = w->data;
	clk_ms now = clk_now();
	int64_t seq;
	int64_t seen;
	int control;

	(void)loop;
	(void)events;
	control = ask_pick_control(u->ask, now, &seq, &seen);
	if (control >= 0)
		upl_send_ask(u, control, seq, seen, now);
	upl_set_ask_timer(u);
}

void uplink_report_soon(struct uplink *u)
{
	ask_set_due_now(u->ask, clk_now());
	upl_set_ask_timer(u);
}

static int64_t upl_lists_version(const struct uplink *u)
{
	const struct lists *l = view_lists(u->cfg.view);

	return l ? l->version : 0;
}

/* True if the lease no longer covers a group because of these records. The
 * leader promotes another member once all proxies have told that they know. */
static bool upl_ends_lease(const struct msg_answer *a)
{
	for (int64_t i = 0; i < a->ngroups; i++)
		if (a->groups[i].changing_primary)
			return true;
	return false;
}

/* Applies an answer of the leader to the ASK that was sent at ask_sent_at. */
static void upl_apply_answer(struct uplink *u, int control,
			     const struct msg_answer *a, clk_ms ask_sent_at)
{
	int64_t lists = upl_lists_version(u);
	bool changed;

	u->last_answer_at = clk_now();
	upl_drop_acknowledged_announces(u, a->ask_seq);
	if (a->lease_ms)
		cnt_add(CNT_lease_granted, 1);
	changed = view_apply_answer(u->cfg.view, a, ask_sent_at);
	if (u->cfg.quota)
		quota_client_apply_answer(u->cfg.quota, a, ask_sent_at);
	upl_apply_routes(u, a);
	upl_confirm_config(u, a, ask_sent_at);
	upl_apply_samples(u, control, a, ask_sent_at);
	if (upl_lists_version(u) != lists) {
		cnt_add(CNT_config_applied, 1);
		log_info("uplink", "event=lists_taken version=%lld",
			 (long long)upl_lists_version(u));
		if (u->cfg.on_lists_changed)
			u->cfg.on_lists_changed(u->cfg.arg);
	}
	if (changed)
		u->cfg.on_view_changed(u->cfg.arg);
	if (upl_ends_lease(a))
		uplink_report_soon(u);
	if (u->cfg.on_leader_answer)
		u->cfg.on_leader_answer(u->cfg.arg);
}

/*
 * Applies changed records that a leader sent on its own initiative. There is no
 * ASK to count a lease from, so such an answer extends no lease; whether the
 * lease covers the change is known after the next ASK. A newer configuration
 * also comes only with the next answer, so that is requested at once.
 */
static void upl_apply_push(struct uplink *u, const struct msg_answer *a)
{
	struct msg_answer records = *a;

	records.lease_ms = 0;
	if (view_apply_answer(u->cfg.view, &records, 0))
		u->cfg.on_view_changed(u->cfg.arg);
	if (!u->live_settings.controls_from_seeds ||
	    a->published_version > u->doc_version || upl_ends_lease(a))
		uplink_report_soon(u);
}

static void upl_on_answer(struct uplink *u, int control,
			  const struct msg_answer *a)
{
	int before = ask_leader(u->ask);
	clk_ms ask_sent_at;
	bool accepted =
		ask_on_answer(u->ask, control, a, clk_now(), &ask_sent_at);

	if (ask_leader(u->ask) != before)
		log_info("uplink", "event=leader id=%s", uplink_leader_id(u));
	if (accepted)
		upl_apply_answer(u, control, a, ask_sent_at);
	upl_apply_controls(u, a);
	if (!accepted && a->supports_lease && ask_sent_at != CLK_NEVER)
		upl_take_support(u, control, a, ask_sent_at);
	upl_set_ask_timer(u);
}

static struct upl_request *upl_find_request(struct uplink *u, int64_t id)
{
	struct upl_request *r;

	HASH_FIND(hh, u->requests, &id, sizeof(id), r);
	return r;
}

static void upl_free_request(struct uplink *u, struct upl_request *r)
{
	HASH_DEL(u->requests, r);
	free(r->text);
	free(r);
}

static void upl_finish_request(struct uplink *u, int64_t id, enum res res,
			       const struct msg *m)
{
	struct upl_request *r = upl_find_request(u, id);
	void (*on_reply)(void *arg, const struct msg *m);
	void *arg;

	if (!r)
		return;
	if (res == RES_NOT_LEADER) {
		/* The timer sends the request again, to the next leader. */
		r->sent_at = 0;
		uplink_report_soon(u);
		return;
	}
	/* Newer lists are not pushed: they come with the answer to an ASK. */
	if (m && m->type == MSG_APPLIED)
		uplink_report_soon(u);
	on_reply = r->on_reply;
	arg = r->arg;
	upl_free_request(u, r);
	on_reply(arg, m);
}

static void upl_on_message(void *arg, struct link *l, const struct msg *m)
{
	struct upl_control *c = arg;

	(void)l;
	switch (m->type) {
	case MSG_ANSWER:
		if (m->u.answer.ask_seq)
			upl_on_answer(c->uplink, c->index, &m->u.answer);
		else if (m->u.answer.res == RES_OK)
			upl_apply_push(c->uplink, &m->u.answer);
		break;
	case MSG_RATE_GRANT:
		if (c->uplink->cfg.on_rate_grant)
			c->uplink->cfg.on_rate_grant(c->uplink->cfg.arg,
						     &m->u.rate_grant);
		break;
	case MSG_ROWS:
		upl_finish_request(c->uplink, m->u.rows.seq,
				   (enum res)m->u.rows.res, m);
		break;
	case MSG_APPLIED:
		upl_finish_request(c->uplink, m->u.applied.seq,
				   (enum res)m->u.applied.res, m);
		break;
	default:
		cnt_add(CNT_bad_input, 1);
		log_warn("uplink", "event=unexpected_message type=%s",
			 msg_name(m->type));
	}
}

static void upl_on_link_up(void *arg, struct link *l)
{
	struct upl_control *c = arg;

	if (strcmp(link_peer_role(l), "control") != 0) {
		log_warn("uplink", "event=wrong_role id=%s role=%s",
			 link_peer_id(l), link_peer_role(l));
		return;
	}
	log_info("uplink", "event=control_up id=%s index=%d", link_peer_id(l),
		 c->index);
	ask_on_link_up(c->uplink->ask, c->index, clk_now());
	upl_set_ask_timer(c->uplink);
}

static void upl_on_link_down(void *arg, struct link *l)
{
	struct upl_control *c = arg;

	log_info("uplink", "event=control_down id=%s index=%d", link_peer_id(l),
		 c->index);
	upl_forget_clock(c->uplink, c->index);
	ask_on_link_down(c->uplink->ask, c->index, clk_now());
	upl_set_ask_timer(c->uplink);
}

static void upl_send_request(struct uplink *u, struct upl_request *r,
			     clk_ms now)
{
	int leader = ask_leader(u->ask);

	if (leader < 0)
		return;
	r->sent_at = now;
	link_send(u->controls[leader].link, &r->msg);
}

static void upl_check_requests(struct ev_loop *loop, ev_timer *w, int events)
{
	struct uplink *u = w->data;
	struct upl_request *r;
	struct upl_request *next;
	clk_ms now = clk_now();

	(void)loop;
	(void)events;
	for (r = u->requests; r; r = next) {
		next = r->hh.next;
		if (now >= r->deadline)
			upl_finish_request(u, r->id, RES_TIMEOUT, NULL);
		else if (now - r->sent_at >= UPL_REQUEST_RETRY_MS)
			upl_send_request(u, r, now);
	}
	if (!u->requests)
		ev_timer_stop(u->cfg.loop, &u->request_timer);
}

struct uplink *uplink_new(const struct uplink_config *cfg)
{
	struct uplink *u = calloc(1, sizeof(*u));
	uint64_t spread;

	if (!u)
		abort();
	u->cfg = *cfg;
	u->live_settings = *cfg->set;
	u->last_answer_at = -1;
	u->clock.control = UPL_NO_CONTROL;
	spread = XXH3_64bits(cfg->set->id, strlen(cfg->set->id));
	u->ask = ask_new(&u->live_settings,
			 (int)(spread % (uint64_t)cfg->set->ncontrols));
	ev_timer_init(&u->ask_timer, upl_on_ask_timer, 0.0, 0.0);
	u->ask_timer.data = u;
	ev_timer_init(&u->request_timer, upl_check_requests,
		      UPL_REQUEST_CHECK_S, UPL_REQUEST_CHECK_S);
	u->request_timer.data = u;
	for (int i = 0; i < (int)u->live_settings.ncontrols; i++)
		upl_open_link(u, i);
	return u;
}

void uplink_free(struct uplink *u)
{
	struct upl_announce *a;
	struct upl_announce *next_a;
	struct upl_request *r;
	struct upl_request *next_r;

	if (!u)
		return;
	ev_timer_stop(u->cfg.loop, &u->ask_timer);
	ev_timer_stop(u->cfg.loop, &u->request_timer);
	for (int i = 0; i < (int)u->live_settings.ncontrols; i++)
		link_free(u->controls[i].link);
	for (a = u->announces; a; a = next_a) {
		next_a = a->hh.next;
		HASH_DEL(u->announces, a);
		free(a);
	}
	for (r = u->requests; r; r = next_r) {
		next_r = r->hh.next;
		upl_free_request(u, r);
	}
	ask_free(u->ask);
	free(u);
}

void uplink_set_stopping(struct uplink *u)
{
	u->stopping = true;
	uplink_report_soon(u);
}

bool uplink_ask_rate(struct uplink *u, const struct msg_rate_ask *ask)
{
	int leader = ask_leader(u->ask);
	struct msg m = {.type = MSG_RATE_ASK, .u.rate_ask = *ask};

	if (leader < 0)
		return false;
	link_send(u->controls[leader].link, &m);
	return true;
}

void uplink_announce(struct uplink *u, const struct backend_info *b)
{
	const struct backend_info *known = view_backend(u->cfg.view, b->id);
	struct upl_announce *a;

	HASH_FIND_STR(u->announces, b->id, a);
	if (!a) {
		if (HASH_COUNT(u->announces) >= UPL_MAX_ANNOUNCES)
			return;
		a = calloc(1, sizeof(*a));
		if (!a)
			abort();
		a->info = *b;
		HASH_ADD_STR(u->announces, info.id, a);
	}
	a->info = *b;
	a->received_at = clk_now();
	a->ask_seq = 0;
	if (!known || known->leaving != b->leaving ||
	    known->incarnation != b->incarnation ||
	    known->announcements_stopped)
		uplink_report_soon(u);
}

/* Copies a message, with the text that its blob points to, into a request. */
static void upl_copy_message(struct upl_request *r, const struct msg *m)
{
	const struct blob *b = m->type == MSG_APPLY ? &m->u.apply.lists
						    : &m->u.query.report_name;
	struct blob copy;

	r->msg = *m;
	r->msg.decode_memory = NULL;
	r->text = malloc(b->len + 1);
	if (!r->text)
		abort();
	memcpy(r->text, b->data, b->len);
	copy = (struct blob){.data = r->text, .len = b->len};
	if (m->type == MSG_APPLY) {
		r->msg.u.apply.lists = copy;
		r->msg.u.apply.seq = r->id;
	} else {
		r->msg.u.query.report_name = copy;
		r->msg.u.query.seq = r->id;
	}
}

int64_t uplink_request(struct uplink *u, const struct msg *m,
		       void (*on_reply)(void *arg, const struct msg *m),
		       void *arg)
{
	struct upl_request *r = calloc(1, sizeof(*r));
	clk_ms now = clk_now();

	if (!r)
		abort();
	r->id = ++u->next_request;
	r->deadline = now + UPL_REQUEST_TIMEOUT_MS;
	r->on_reply = on_reply;
	r->arg = arg;
	upl_copy_message(r, m);
	HASH_ADD(hh, u->requests, id, sizeof(r->id), r);
	upl_send_request(u, r, now);
	if (!ev_is_active(&u->request_timer))
		ev_timer_again(u->cfg.loop, &u->request_timer);
	return r->id;
}

void uplink_cancel_request(struct uplink *u, int64_t id)
{
	struct upl_request *r = upl_find_request(u, id);

	if (r)
		upl_free_request(u, r);
}

const char *uplink_leader_id(const struct uplink *u)
{
	int leader = ask_leader(u->ask);

	return leader < 0 ? "" : u->live_settings.controls[leader].id;
}

bool uplink_majority_heard(const struct uplink *u, clk_ms ms, clk_ms now)
{
	int members = 0;
	int heard = 0;

	for (int i = 0; i < (int)u->live_settings.ncontrols; i++) {
		const struct link *l = u->controls[i].link;

		if (u->live_settings.controls_from_seeds &&
		    !u->controls[i].is_member)
			continue;
		members++;
		heard += link_is_up(l) && now - link_last_received(l) < ms;
	}
	return heard * 2 > members;
}

clk_ms uplink_answer_age(const struct uplink *u, clk_ms now)
{
	return u->last_answer_at < 0 ? -1 : now - u->last_answer_at;
}
