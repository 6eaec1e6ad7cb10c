#include "control.h"

#include "control_api.h"
#include "counter.h"
#include "ctl_core.h"
#include "http.h"
#include "link.h"
#include "log.h"
#include "member.h"
#include "platform/calls.h"
#include "status_call.h"
#include "store.h"

#include <ev.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A link that a proxy or another control instance opened to this one. */
struct control_client {
	struct control_client *next;
	int64_t number; /* id of the client towards struct ctl */
	struct link *link;
};

/* A link that this instance opened to another one. */
struct control_peer {
	char id[ID_LEN];
	struct link *link;
};

/*
 * Most links to other control instances. Links to former members are kept, so
 * that one which comes back is connected. There are never more members and
 * former members than this at a time.
 */
enum { CONTROL_MAX_PEERS = 32 };

struct control {
	struct ev_loop *loop;
	const struct settings *set;
	struct store *store;
	struct rng *rng;
	struct ctl *ctl;
	struct member_conns *members;
	struct link_server *server;
	struct control_peer peers[CONTROL_MAX_PEERS];
	int npeers;
	struct control_api *api; /* NULL without the line protocol */
	struct control_client *clients;
	int64_t last_client_number;
	ev_timer tick;
	ev_timer drain_timer; /* executes the queued actions */
	bool sync_pending; /* log records were written but not synced yet */
	bool draining; /* in control_drain(), which must not run twice */
	bool was_leader; /* at the last tick */
	clk_ms stop_at; /* CLK_NEVER until the daemon stops */
};

static struct link *control_find_peer_link(const struct control *c,
					   const char *id)
{
	for (int i = 0; i < c->npeers; i++)
		if (!strcmp(c->peers[i].id, id))
			return c->peers[i].link;
	return NULL;
}

static void control_schedule_drain(struct control *c);
static void control_link_control(struct control *c, const char *id);

static struct control_client *control_find_client(const struct control *c,
						  int64_t number)
{
	for (struct control_client *x = c->clients; x; x = x->next)
		if (x->number == number)
			return x;
	return NULL;
}

static void control_sync(struct control *c)
{
	if (c->sync_pending)
		store_sync(c->store);
	c->sync_pending = false;
}

static void control_send(struct control *c, const struct ctl_action *a)
{
	struct link *l = control_find_peer_link(c, a->to);

	if (l && link_unsent_bytes(l) < MSG_MAX_FRAME)
		link_send(l, &a->msg);
}

static void control_reply(struct control *c, const struct ctl_action *a)
{
	struct control_client *x = control_find_client(c, a->link_or_ticket);

	if (x)
		link_send(x->link, &a->msg);
}

static void control_on_status(void *arg, int64_t number,
			      const struct pro_status *s)
{
	struct control *c = arg;

	ctl_on_backend_status(c->ctl, number, s, clk_now());
	control_schedule_drain(c);
}

/* Argument of the callback with the result of a call to the promoter. */
struct promoter_call {
	struct control *control;
	int64_t number;
};

static void control_on_promoter(void *arg, int status)
{
	struct promoter_call *call = arg;
	struct control *c = call->control;

	ctl_on_promoter_reply(c->ctl, call->number, status, clk_now());
	free(call);
	control_schedule_drain(c);
}

static void control_call_promoter(struct control *c, const struct pro_action *a)
{
	struct promoter_call *call = malloc(sizeof(*call));
	struct buf text = BUF_INIT;

	if (!call)
		abort();
	call->control = c;
	call->number = a->action_id;
	call_put_promote_request(&text, c->set->promoter, c->set->name,
				 a->promoter_token, a->group, a->member);
	if (!http_client_send(c->loop, c->set->promoter, &text,
			      PRO_CALL_TIMEOUT_MS, control_on_promoter, call)) {
		ctl_on_promoter_reply(c->ctl, a->action_id, 0, clk_now());
		free(call);
	}
	buf_free(&text);
}

static void control_execute_promotion(struct control *c,
				      const struct pro_action *a)
{
	struct pro_status failed = {.reply = PRO_FAILED};

	switch (a->type) {
	case PRO_CALL_PROMOTER:
		control_call_promoter(c, a);
		break;
	case PRO_RECORD_PRIMARY: /* struct ctl itself proposes the records */
	case PRO_RECORD_CHANGE:
	case PRO_RECORD_ENDED:
	case PRO_RECORD_ORDERS:
		break;
	case PRO_GET_STATUS:
	case PRO_STEP_DOWN:
	case PRO_RESUME:
		if (!status_call_start(c->loop, a, control_on_status, c))
			ctl_on_backend_status(c->ctl, a->action_id, &failed,
					      clk_now());
		break;
	}
}

static void control_execute(struct control *c, const struct ctl_action *a)
{
	switch (a->type) {
	case CTL_SAVE_HARD_STATE:
		store_save_hard_state(c->store, a->raft.term, a->raft.to);
		break;
	case CTL_STORE_ENTRY:
		store_append_entry(c->store, a->raft.entry);
		c->sync_pending = true;
		break;
	case CTL_SAVE_SNAPSHOT:
		control_sync(c);
		store_save_snapshot(c->store, a->raft.index, a->raft.term,
				    &a->raft.data,
				    a->raft.discard_later_entries);
		break;
	case CTL_SEND:
		control_sync(c);
		control_send(c, a);
		break;
	case CTL_REPLY:
		control_sync(c);
		control_reply(c, a);
		break;
	case CTL_FAILOVER_CALL:
		control_sync(c);
		member_call(c->members, &a->call);
		break;
	case CTL_ANSWER_REQUEST:
		control_sync(c);
		capi_finish_request(c->api, a->link_or_ticket, a->res);
		break;
	case CTL_PROMOTION_CALL:
		control_sync(c);
		control_execute_promotion(c, &a->promoter);
		break;
	case CTL_KEEP_LINK:
		control_link_control(c, a->to);
		break;
	}
}

static void control_drain(struct control *c)
{
	struct ctl_action a;

	if (c->draining)
		return;
	c->draining = true;
	while (ctl_next_action(c->ctl, &a, clk_now()))
		control_execute(c, &a);
	control_sync(c);
	c->draining = false;
}

/*
 * Has the actions executed once for all events of one iteration of the loop:
 * when a thousand backends announce themselves at once, this takes a few disk
 * syncs instead of a thousand.
 */
static void control_schedule_drain(struct control *c)
{
	if (ev_is_active(&c->drain_timer))
		return;
	ev_timer_set(&c->drain_timer, 0.0, 0.0);
	ev_timer_start(c->loop, &c->drain_timer);
}

static void control_on_drain_timer(struct ev_loop *loop, ev_timer *w,
				   int events)
{
	(void)loop;
	(void)events;
	control_drain(w->data);
}

static void control_on_member_answer(void *arg, const struct fo_answer *a)
{
	struct control *c = arg;

	ctl_on_failover_reply(c->ctl, a, clk_now());
	control_schedule_drain(c);
}

/*
 * Closes the connections to backends when this instance stops being the leader:
 * only the leader needs them.
 */
static void control_check_role(struct control *c)
{
	bool leads = raft_role(ctl_raft(c->ctl)) == RAFT_LEADER;

	if (c->was_leader && !leads)
		member_conns_close(c->members);
	c->was_leader = leads;
}

static void control_on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	struct control *c = w->data;
	clk_ms now = clk_now();

	(void)events;
	control_drain(c);
	ctl_tick(c->ctl, now);
	control_drain(c);
	control_check_role(c);
	if (now >= c->stop_at || (c->stop_at != CLK_NEVER && !c->was_leader))
		ev_break(loop, EVBREAK_ALL);
}

/*
 * Answers at once, not through an action: the lease rests on the authority of
 * this instance at the time of the call.
 */
static void control_on_ask(struct control *c, const struct control_client *x,
			   const struct msg_ask *ask)
{
	struct msg answer;

	ctl_answer_ask(c->ctl, x->number, link_peer_id(x->link),
		       link_peer_zone(x->link), ask, clk_now(), &answer);
	link_send(x->link, &answer);
}

/* At once, as above: the tokens rest on that authority, too. */
static void control_on_rate_ask(struct control *c,
				const struct control_client *x,
				const struct msg_rate_ask *ask)
{
	struct msg answer;

	if (ctl_answer_rate_ask(c->ctl, link_peer_uuid(x->link), ask, clk_now(),
				&answer))
		link_send(x->link, &answer);
}

static void control_on_proxy_message(struct control *c,
				     const struct control_client *x,
				     const struct msg *m)
{
	switch (m->type) {
	case MSG_ASK:
		control_on_ask(c, x, &m->u.ask);
		break;
	case MSG_RATE_ASK:
		control_on_rate_ask(c, x, &m->u.rate_ask);
		break;
	case MSG_APPLY:
		ctl_apply(c->ctl, x->number, &m->u.apply, clk_wall(),
			  clk_now());
		break;
	case MSG_QUERY:
		ctl_query(c->ctl, x->number, &m->u.query, clk_now());
		break;
	default:
		cnt_add(CNT_bad_input, 1);
		log_warn("control", "event=unexpected_message type=%s from=%s",
			 msg_name(m->type), link_peer_id(x->link));
	}
}

static bool control_is_control(const struct link *l)
{
	return !strcmp(link_peer_role(l), "control");
}

static void control_on_client_up(void *arg, struct link *l)
{
	struct control *c = arg;
	struct control_client *x = calloc(1, sizeof(*x));

	if (!x)
		abort();
	x->number = ++c->last_client_number;
	x->link = l;
	x->next = c->clients;
	c->clients = x;
	link_set_user_data(l, x);
	if (control_is_control(l)) {
		struct link *peer_link =
			control_find_peer_link(c, link_peer_id(l));

		if (peer_link)
			link_connect_now(peer_link);
		ctl_on_peer_linked(c->ctl, link_peer_id(l), link_peer_uuid(l),
				   clk_now());
	}
	control_schedule_drain(c);
}

static void control_on_client_message(void *arg, struct link *l,
				      const struct msg *m)
{
	struct control *c = arg;

	if (control_is_control(l)) {
		control_drain(c);
		ctl_receive(c->ctl, link_peer_id(l), m, clk_now());
	} else {
		control_on_proxy_message(c, link_user_data(l), m);
	}
	control_schedule_drain(c);
}

static void control_on_client_down(void *arg, struct link *l)
{
	struct control *c = arg;
	struct control_client *x = link_user_data(l);
	struct control_client **p = &c->clients;

	while (*p != x)
		p = &(*p)->next;
	*p = x->next;
	ctl_on_client_closed(c->ctl, x->number);
	free(x);
	control_schedule_drain(c);
}

/*
 * Callbacks of the links that this instance opened. It only sends messages on
 * them; those of the other instances come over the links that they opened.
 */
static void control_on_peer_up(void *arg, struct link *l)
{
	struct control *c = arg;

	ctl_on_peer_linked(c->ctl, link_peer_id(l), link_peer_uuid(l),
			   clk_now());
	control_schedule_drain(c);
}

static void control_on_peer_message(void *arg, struct link *l,
				    const struct msg *m)
{
	(void)arg;
	cnt_add(CNT_bad_input, 1);
	log_warn("control", "event=unexpected_message type=%s from=%s",
		 msg_name(m->type), link_peer_id(l));
}

static void control_on_peer_down(void *arg, struct link *l)
{
	(void)arg;
	log_info("control", "event=peer_down id=%s", link_peer_id(l));
}

static void control_open_peer(struct control *c, const char *id,
			      const char *addr)
{
	struct link_handler out = {.arg = c,
				   .on_up = control_on_peer_up,
				   .on_message = control_on_peer_message,
				   .on_down = control_on_peer_down};
	struct control_peer *p = &c->peers[c->npeers++];

	snprintf(p->id, sizeof(p->id), "%s", id);
	p->link = link_open(c->loop, c->set, "control", addr,
			    store_uuid(c->store), &out);
}

static void control_link_control(struct control *c, const char *id)
{
	char addr[ADDR_LEN];

	if (control_find_peer_link(c, id))
		return;
	settings_control_addr(c->set, id, addr);
	if (c->npeers == CONTROL_MAX_PEERS ||
	    settings_check_addr(addr, "id", NULL)) {
		log_warn("control", "event=peer_not_linked id=%s peers=%d", id,
			 c->npeers);
		return;
	}
	control_open_peer(c, id, addr);
}

static void control_on_api_event(void *arg)
{
	control_schedule_drain(arg);
}

static enum res control_load(struct control *c, struct err *e)
{
	enum res r = store_open(&c->store, c->set->data, e);

	if (r)
		return r;
	c->ctl = ctl_new(c->set, store_uuid(c->store), c->rng, clk_now());
	return store_recover(c->store, ctl_raft(c->ctl), e);
}

/*
 * Goes on with empty data after the old ones were found damaged. Ending the
 * process at each start would leave the cluster without this instance until
 * somebody emptied the folder; now it gets all from the other instances.
 */
static enum res control_replace_damaged(struct control *c, struct err *e)
{
	struct err cause = *e;
	int64_t number;
	enum res r;

	ctl_free(c->ctl);
	store_close(c->store);
	c->ctl = NULL;
	c->store = NULL;
	r = store_set_aside(c->set->data, &number, e);
	if (r)
		return r;
	cnt_add(CNT_data_damaged, 1);
	log_error("control",
		  "event=data_damaged error=\"%s\" moved_to=%s/damaged-%lld "
		  "action=\"rejoins with a new uuid; needs a majority of the "
		  "other control instances\"",
		  cause.text, c->set->data, (long long)number);
	return control_load(c, e);
}

static enum res control_recover(struct control *c, struct err *e)
{
	uint64_t seed = (uint64_t)c->set->seed;
	enum res r;

	if (!seed)
		randombytes_buf(&seed, sizeof(seed));
	c->rng = rng_new(seed);
	r = control_load(c, e);
	if (r == RES_CORRUPT)
		r = control_replace_damaged(c, e);
	if (r)
		return r;
	log_info("control", "event=recovered term=%lld last=%lld snapshot=%lld",
		 (long long)raft_term(ctl_raft(c->ctl)),
		 (long long)raft_last_index(ctl_raft(c->ctl)),
		 (long long)raft_snapshot_index(ctl_raft(c->ctl)));
	c->members =
		member_conns_new(c->loop, c->set, control_on_member_answer, c);
	control_schedule_drain(c);
	return RES_OK;
}

static enum res control_serve(struct control *c, struct err *e)
{
	int64_t uuid = store_uuid(c->store);
	struct link_handler in = {.arg = c,
				  .on_up = control_on_client_up,
				  .on_message = control_on_client_message,
				  .on_down = control_on_client_down};
	enum res r = RES_OK;

	for (int64_t i = 0; i < c->set->ncontrols; i++)
		if (strcmp(c->set->controls[i].id, c->set->id) != 0 &&
		    !control_find_peer_link(c, c->set->controls[i].id))
			control_open_peer(c, c->set->controls[i].id,
					  c->set->controls[i].addr);
	if (c->set->protocol == SETTINGS_PROTOCOL_LINE)
		r = capi_new(&c->api, c->loop, c->set, c->ctl,
			     control_on_api_event, c, e);
	if (r)
		return r;
	return link_listen(&c->server, c->loop, c->set, "control", uuid, &in,
			   e);
}

enum res control_new(struct control **out, struct ev_loop *loop,
		     const struct settings *set, struct err *e)
{
	struct control *c = calloc(1, sizeof(*c));
	enum res r;

	if (!c)
		abort();
	c->loop = loop;
	c->set = set;
	c->stop_at = CLK_NEVER;
	ev_timer_init(&c->tick, control_on_tick, 0.0, CONTROL_TICK_MS / 1000.0);
	c->tick.data = c;
	ev_timer_init(&c->drain_timer, control_on_drain_timer, 0.0, 0.0);
	c->drain_timer.data = c;
	r = control_recover(c, e);
	if (!r)
		r = control_serve(c, e);
	if (r) {
		control_free(c);
		return r;
	}
	ev_timer_start(loop, &c->tick);
	*out = c;
	return RES_OK;
}

void control_add_controls(struct control *c, const struct settings *set)
{
	for (int64_t i = 0; c->set->controls_from_seeds && i < set->ncontrols;
	     i++)
		if (strcmp(set->controls[i].id, c->set->id) != 0)
			control_link_control(c, set->controls[i].id);
}

void control_stop(struct control *c)
{
	clk_ms now = clk_now();

	if (c->stop_at != CLK_NEVER)
		return;
	log_info("control", "event=stopping");
	c->stop_at = ctl_transfer_leadership(c->ctl, now)
			     ? now + CONTROL_LEADER_TRANSFER_MS
			     : now;
	control_schedule_drain(c);
}

void control_free(struct control *c)
{
	if (!c)
		return;
	ev_timer_stop(c->loop, &c->tick);
	ev_timer_stop(c->loop, &c->drain_timer);
	for (int i = 0; i < c->npeers; i++)
		link_free(c->peers[i].link);
	capi_free(c->api);
	if (c->server)
		link_server_free(c->server);
	member_conns_free(c->members);
	while (c->clients) {
		struct control_client *x = c->clients;

		c->clients = x->next;
		free(x);
	}
	ctl_free(c->ctl);
	rng_free(c->rng);
	store_close(c->store);
	free(c);
}
