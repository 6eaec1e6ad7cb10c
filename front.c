#include "front_priv.h"

#include "counter.h"
#include "hist.h"
#include "log.h"
#include "relay.h"
#include "rng.h"
#include "settings.h"

#include <sodium.h>
#include <stdlib.h>
#include <utlist.h>

void front_watch(struct front_session *s)
{
	if (s->busy)
		return;
	s->busy = true;
	DL_APPEND2(s->server->busy_sessions, s, busy_prev, busy_next);
}

static void front_unwatch(struct front_session *s)
{
	if (s->busy)
		DL_DELETE2(s->server->busy_sessions, s, busy_prev, busy_next);
	s->busy = false;
}

static void front_drop(struct front_session *s)
{
	struct front_server *f = s->server;

	front_run_abort(s);
	front_unwatch(s);
	if (s->prev)
		s->prev->next = s->next;
	else
		f->sessions = s->next;
	if (s->next)
		s->next->prev = s->prev;
	f->count--;
	cnt_add(CNT_callers_closed, 1);
	net_free(s->conn);
	sctx_free(&s->ctx);
	free(s);
}

static void front_on_read(void *arg)
{
	struct front_session *s = arg;

	if (buf_len(net_input(s->conn)) > STMT_MAX_MESSAGE_LEN)
		net_set_read_paused(s->conn, true);
	front_process_input(s);
}

static void front_on_close(void *arg)
{
	front_drop(arg);
}

static void front_accept(void *arg, int fd)
{
	struct front_server *f = arg;
	struct front_session *s = calloc(1, sizeof(*s));
	struct net_handler h = {
		.arg = s, .on_read = front_on_read, .on_close = front_on_close};

	if (!s)
		abort();
	s->server = f;
	s->last_activity = clk_now();
	s->conn = net_from_accepted(f->loop, fd, &h);
	net_set_peer_timeout(s->conn, FRONT_CALLER_TIMEOUT_MS);
	s->next = f->sessions;
	if (f->sessions)
		f->sessions->prev = s;
	f->sessions = s;
	f->count++;
	front_watch(s);
	cnt_add(CNT_callers_accepted, 1);
}

/* Ends a transaction whose caller was idle for too long. */
static void front_check_idle_txn(struct front_session *s, clk_ms now)
{
	clk_ms limit = s->server->routes ? s->server->routes->txn_idle_ms : 0;

	if (s->run.active || (s->txn != FRONT_OPEN && s->txn != FRONT_BEGUN) ||
	    !limit || now - s->last_activity < limit)
		return;
	log_info("front", "event=txn_idle database=%s group=%s ms=%lld",
		 s->database, s->group, (long long)(now - s->last_activity));
	cnt_add_refusal(RES_TXN_IDLE);
	front_release_kept(s);
	s->txn = FRONT_FAILED;
	s->txn_failure = RES_TXN_IDLE;
}

static void front_report_suspects(struct front_server *f, clk_ms now)
{
	struct suspect_report one;

	if (now - f->suspect_reported < DB_SUSPECT_MS / 2 ||
	    !front_suspected_primaries(f, &one, 1, now))
		return;
	f->suspect_reported = now;
	f->on_urgent(f->arg);
}

static void front_on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	struct front_server *f = w->data;
	struct front_session *next;
	clk_ms now = clk_now();

	(void)loop;
	(void)events;
	db_tick(f->db, now);
	for (struct front_session *s = f->busy_sessions; s; s = next) {
		next = s->busy_next;
		front_run_tick(s, now);
		front_check_idle_txn(s, now);
		if (!s->started && !s->closing &&
		    now - s->last_activity >= FRONT_STARTUP_MS)
			front_drop(s);
		else if (s->started && !s->run.active && s->txn == FRONT_NONE)
			front_unwatch(s);
	}
	front_report_suspects(f, now);
	front_cap_tick(f, now);
	front_fallback_tick(f, now);
}

struct front_server *front_new(struct ev_loop *loop, const struct settings *set)
{
	struct front_server *f = calloc(1, sizeof(*f));
	uint64_t seed = (uint64_t)set->seed;

	if (!f)
		abort();
	f->loop = loop;
	f->set = set;
	f->db = db_new(loop, set);
	if (!seed)
		randombytes_buf(&seed, sizeof(seed));
	f->rng = rng_new(seed);
	f->key_lease.duration_ms = set->key_lease_ms;
	f->latency = hist_new();
	f->hedge_budget.tokens = FRONT_HEDGES_INITIAL;
	ev_timer_init(&f->tick, front_on_tick, FRONT_TICK_MS / 1000.0,
		      FRONT_TICK_MS / 1000.0);
	f->tick.data = f;
	ev_timer_start(loop, &f->tick);
	front_cap_init(f);
	return f;
}

void front_free(struct front_server *f)
{
	if (!f)
		return;
	ev_timer_stop(f->loop, &f->tick);
	net_listener_free(f->listener);
	while (f->sessions)
		front_drop(f->sessions);
	relay_free(f->relay);
	db_free(f->db);
	for (size_t i = 0; i < f->ngroups; i++)
		free(f->groups[i].members);
	free(f->groups);
	free(f->proxy_list);
	rt_unref(f->routes);
	front_cap_free(f);
	rng_free(f->rng);
	hist_free(f->latency);
	free(f);
}

enum res front_link(struct front_server *f, int64_t uuid, struct err *e)
{
	return relay_new(&f->relay, f->loop, f->set, f->db, uuid, e);
}

enum res front_listen(struct front_server *f, struct err *e)
{
	return net_listen(&f->listener, f->loop, f->set->listen, front_accept,
			  f, e);
}

void front_on_urgent(struct front_server *f, void (*fn)(void *arg), void *arg)
{
	f->on_urgent = fn;
	f->arg = arg;
}

void front_drain(struct front_server *f, bool drain)
{
	struct front_session *next;

	f->draining = drain;
	for (struct front_session *s = f->sessions; s && drain; s = next) {
		next = s->next;
		front_process_input(s);
	}
}

void front_refuse_waiting(struct front_server *f, bool refuse)
{
	f->refuse_waiting = refuse;
}

void front_refuse_without_lease(struct front_server *f, bool refuse)
{
	f->refuse_without_lease = refuse;
}

void front_end_transactions(struct front_server *f)
{
	f->refuse_statements = true;
	for (struct front_session *s = f->sessions; s; s = s->next) {
		if (s->run.active ||
		    (s->txn != FRONT_OPEN && s->txn != FRONT_BEGUN))
			continue;
		log_info("front",
			 "event=txn_ended_at_stop database=%s group=%s",
			 s->database, s->group);
		front_release_kept(s);
		s->txn = FRONT_FAILED;
		s->txn_failure = RES_STOPPING;
	}
	relay_end_kept(f->relay);
}

void front_close_rest(struct front_server *f)
{
	struct front_session *next;

	net_listener_free(f->listener);
	f->listener = NULL;
	for (struct front_session *s = f->sessions; s; s = next) {
		next = s->next;
		if (s->run.active)
			front_run_expire(s);
		if (!s->closing) {
			log_info("front",
				 "event=closed_at_stop database=%s txn=%d "
				 "running=%d",
				 s->database, s->txn, s->run.active);
			s->closing = true;
			net_close_after_flush(s->conn);
		}
	}
}

const struct hist *front_latency(const struct front_server *f)
{
	return f->latency;
}

size_t front_count(const struct front_server *f)
{
	return f->count;
}

size_t front_load(const struct front_server *f)
{
	return f->count + relay_load(f->relay);
}

size_t front_connections(const struct front_server *f)
{
	return db_connections(f->db);
}

void front_put_connections(const struct front_server *f, struct buf *text)
{
	struct db_member **list;
	size_t n = db_members(f->db, &list);
	int listed = 0;

	for (size_t i = 0; i < n && listed < FRONT_LISTED_MEMBERS; i++) {
		const char *id = list[i]->info.id;
		struct db_conn_counts c = db_count_conns(list[i]);

		if (!list[i]->nconns && !db_waiting(list[i]))
			continue;
		listed++;
		buf_addf(
			text,
			"member_connections{member=\"%s\",state=\"opening\"} "
			"%d\n"
			"member_connections{member=\"%s\",state=\"idle\"} %d\n"
			"member_connections{member=\"%s\",state=\"busy\"} %d\n"
			"member_connections{member=\"%s\",state=\"in_txn\"} %d\n"
			"member_tenants{member=\"%s\"} %d\n"
			"member_waiting{member=\"%s\"} %zu\n",
			id, c.opening, id, c.idle, id, c.busy, id, c.in_txn, id,
			c.tenants, id, db_waiting(list[i]));
	}
}
