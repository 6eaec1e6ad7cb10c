#include "relay_priv.h"

#include "counter.h"
#include "log.h"
#include "settings.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static void relay_forget_job(struct relay_forwarded_job *job)
{
	job->job->relay = NULL;
	job->runner->load--;
	HASH_DEL(job->runner->jobs, job);
	free(job);
}

static void relay_forget_pin(struct relay_pin *p)
{
	p->runner->load--;
	HASH_DEL(p->runner->pins, p);
	free(p);
}

static void relay_end_pin(struct relay_runner *g, int64_t pin)
{
	struct msg m = {.type = MSG_PIN_END};

	m.u.pin_end.kept_conn_id = pin;
	link_send(g->link, &m);
}

static void relay_end_job(struct relay_forwarded_job *job,
			  struct db_result *res)
{
	struct db_job *j = job->job;
	struct db_member *m = job->member;

	res->sent_at = job->sent;
	if (job->pin && !res->pin)
		relay_forget_pin(job->pin);
	relay_forget_job(job);
	db_record_relayed_end(m, j, res, clk_now());
	j->done(j, res);
}

/* Returns the kept connection on which the transaction continues; NULL if it is
 * over. */
static struct relay_pin *relay_pin(struct relay_forwarded_job *job,
				   int64_t number)
{
	struct relay_pin *p = job->pin;

	if (p)
		p->busy = false;
	if (!number || p)
		return number ? p : NULL;
	p = calloc(1, sizeof(*p));
	if (!p)
		abort();
	p->runner = job->runner;
	p->number = number;
	p->member = job->member;
	p->runner->load++;
	HASH_ADD(hh, p->runner->pins, number, sizeof(p->number), p);
	return p;
}

static void relay_handle_job_end(struct relay_runner *g,
				 const struct msg_job_end *m)
{
	bool known = m->status == DB_DONE || m->status == DB_REFUSED;
	struct db_result res = {.status = known ? (enum db_status)m->status
						: DB_LOST,
				.sent = m->sent,
				.error = (enum line_error)m->error,
				.code = relay_span(&m->member_error_code),
				.text = relay_span(&m->member_error_text),
				.answer = relay_span(&m->answer),
				.pos = {.term = m->term, .number = m->position},
				.txn = (char)m->txn_status_char,
				.retry_ms = m->retry_ms};
	struct relay_forwarded_job *job;

	HASH_FIND(hh, g->jobs, &m->job_number, sizeof(m->job_number), job);
	if (!job) {
		/* The job was canceled here while it ended at the runner. */
		if (m->kept_conn_id)
			relay_end_pin(g, m->kept_conn_id);
		return;
	}
	res.pin = relay_pin(job, m->kept_conn_id);
	relay_end_job(job, &res);
}

static void relay_lose_pin(struct relay_pin *p)
{
	void (*lost)(void *arg) = p->lost;
	void *arg = p->arg;

	relay_forget_pin(p);
	if (lost)
		lost(arg);
}

static void relay_handle_pin_lost(struct relay_runner *g,
				  const struct msg_pin_lost *m)
{
	struct relay_pin *p;

	HASH_FIND(hh, g->pins, &m->kept_conn_id, sizeof(m->kept_conn_id), p);
	/* If a job is under way, the connection was lost before the runner got
	 * the job, and the job's result will say so. */
	if (p && !p->busy)
		relay_lose_pin(p);
}

static void relay_on_link_up(void *arg, struct link *l)
{
	struct relay_runner *g = arg;

	if (strcmp(link_peer_id(l), g->id) != 0) {
		log_warn("relay", "event=wrong_peer expected=%s found=%s",
			 g->id, link_peer_id(l));
		return;
	}
	g->up = true;
	log_info("relay", "event=runner_up id=%s", g->id);
}

static void relay_on_message(void *arg, struct link *l, const struct msg *m)
{
	struct relay_runner *g = arg;

	if (!g->up)
		return;
	switch (m->type) {
	case MSG_JOB_END:
		relay_handle_job_end(g, &m->u.job_end);
		break;
	case MSG_PIN_LOST:
		relay_handle_pin_lost(g, &m->u.pin_lost);
		break;
	default:
		cnt_add(CNT_bad_input, 1);
		log_warn("relay", "event=unexpected_message type=%s from=%s",
			 msg_name(m->type), link_peer_id(l));
	}
}

/*
 * Fails everything at a runner whose link is down. Its jobs count as sent: they
 * may have run and their answers may have been on the way. The callbacks may
 * end other work at the runner, so each round begins anew. A pin that a job
 * used ends with the job.
 */
static void relay_fail_runner(struct relay_runner *g)
{
	while (g->jobs || g->pins) {
		struct db_result res = {.status = DB_LOST, .sent = true};

		if (g->jobs)
			relay_end_job(g->jobs, &res);
		else
			relay_lose_pin(g->pins);
	}
}

static void relay_on_link_down(void *arg, struct link *l)
{
	struct relay_runner *g = arg;

	(void)l;
	log_info("relay", "event=runner_down id=%s load=%zu", g->id, g->load);
	g->up = false;
	relay_fail_runner(g);
}

static struct relay_runner *relay_open(struct relay *r,
				       const struct relay_candidate *p)
{
	struct relay_runner *g = calloc(1, sizeof(*g));
	struct link_handler h = {.arg = g,
				 .on_up = relay_on_link_up,
				 .on_message = relay_on_message,
				 .on_down = relay_on_link_down};

	if (!g)
		abort();
	g->relay = r;
	memcpy(g->id, p->id, ID_LEN);
	memcpy(g->addr, p->addr, ADDR_LEN);
	g->next = r->runners;
	r->runners = g;
	g->link = link_open(r->loop, r->set, "proxy", g->addr, r->uuid, &h);
	return g;
}

static void relay_close(struct relay *r, struct relay_runner *g)
{
	struct relay_runner **p = &r->runners;

	while (*p != g)
		p = &(*p)->next;
	*p = g->next;
	link_free(g->link);
	free(g);
}

/* of: id of the sender, or name of the tenant */
static uint64_t relay_rendezvous_hash(const char *of, const char *runner)
{
	char both[2 * ID_LEN];
	int len = snprintf(both, sizeof(both), "%s %s", of, runner);

	return XXH3_64bits(both, (size_t)len);
}

static struct relay_runner *relay_find_runner(struct relay *r,
					      const struct relay_candidate *p)
{
	for (struct relay_runner *g = r->runners; g; g = g->next)
		if (!strcmp(g->id, p->id) && !strcmp(g->addr, p->addr))
			return g;
	return relay_open(r, p);
}

static struct relay_slice_zone *relay_find_slice_zone(const struct relay *r,
						      const char *zone,
						      int slice)
{
	for (size_t i = 0; i < r->nslice_zones; i++)
		if (r->slice_zones[i].slice == slice &&
		    !strcmp(r->slice_zones[i].zone, zone))
			return &r->slice_zones[i];
	return NULL;
}

static struct relay_slice_zone *relay_add_slice_zone(struct relay *r,
						     const char *zone,
						     int slice)
{
	struct relay_slice_zone *p = relay_find_slice_zone(r, zone, slice);

	if (p)
		return p;
	r->slice_zones = realloc(r->slice_zones, (r->nslice_zones +
						  1) * sizeof(*r->slice_zones));
	if (!r->slice_zones)
		abort();
	p = &r->slice_zones[r->nslice_zones++];
	memset(p, 0, sizeof(*p));
	memcpy(p->zone, zone, ID_LEN);
	p->slice = slice;
	return p;
}

/* Returns the live runner with the highest rendezvous hash, or NULL. */
static const struct relay_candidate *relay_choose_runner(
	const struct relay_slice_zone *p, const char *of)
{
	const struct relay_candidate *best = NULL;
	uint64_t best_weight = 0;

	for (int i = 0; i < p->live_runners; i++) {
		uint64_t weight = relay_rendezvous_hash(of, p->live[i].id);

		if (best && weight <= best_weight)
			continue;
		best = &p->live[i];
		best_weight = weight;
	}
	return best;
}

static void relay_add_live(struct relay_slice_zone *p,
			   const struct proxy_info *x)
{
	struct relay_candidate *c;

	p->live = realloc(p->live,
			  (size_t)(p->live_runners + 1) * sizeof(*p->live));
	if (!p->live)
		abort();
	c = &p->live[p->live_runners++];
	memcpy(c->id, x->id, ID_LEN);
	memcpy(c->addr, x->addr, ADDR_LEN);
}

static void relay_clear_slice_zones(struct relay *r)
{
	for (size_t i = 0; i < r->nslice_zones; i++)
		free(r->slice_zones[i].live);
	r->nslice_zones = 0;
}

/* Assigns proxy i of the list to a slice: the proxies of a zone are distributed
 * over the slices in the order of their ids. Proxies that are down keep their
 * slice. */
static void relay_assign_proxy(struct relay *r, const struct proxy_info *list,
			       size_t i, int slices)
{
	const struct proxy_info *x = &list[i];
	struct relay_slice_zone *p;
	int before = 0;

	for (size_t j = 0; j < i; j++)
		before += !strcmp(list[j].zone, x->zone);
	p = relay_add_slice_zone(r, x->zone, before % slices);
	p->runners++;
	if (x->alive)
		relay_add_live(p, x);
	p->runs_here |= !strcmp(x->id, r->set->id);
}

void relay_take_proxies(struct relay *r, const struct proxy_info *list,
			size_t n, int slices)
{
	for (struct relay_runner *g = r->runners; g; g = g->next)
		g->in_use = false;
	relay_clear_slice_zones(r);
	for (size_t i = 0; slices && i < n; i++)
		relay_assign_proxy(r, list, i, slices);
	for (size_t i = 0; i < r->nslice_zones; i++) {
		struct relay_slice_zone *p = &r->slice_zones[i];

		if (!p->live_runners || p->runs_here)
			continue;
		p->runner = relay_find_runner(
			r, relay_choose_runner(p, r->set->id));
		p->runner->in_use = true;
	}
}

int relay_count_runners(const struct relay *r, const char *zone, int slice)
{
	const struct relay_slice_zone *p =
		relay_find_slice_zone(r, zone, slice);

	return p ? p->runners : 0;
}

int relay_count_live_runners(const struct relay *r, const char *zone, int slice)
{
	const struct relay_slice_zone *p =
		relay_find_slice_zone(r, zone, slice);

	return p ? p->live_runners : 0;
}

bool relay_runs_here(const struct relay *r, const char *zone, int slice)
{
	const struct relay_slice_zone *p =
		relay_find_slice_zone(r, zone, slice);

	return p && p->runs_here;
}

static void relay_put_values(const struct sctx *ctx, struct msg_job *m)
{
	m->session_settings =
		calloc(ctx->nvalues + 1, sizeof(*m->session_settings));
	if (!m->session_settings)
		abort();
	m->nsession_settings = (int64_t)ctx->nvalues;
	for (size_t i = 0; i < ctx->nvalues; i++) {
		const struct sctx_value *v = &ctx->values[i];

		m->session_settings[i].name =
			(struct blob){v->name, strlen(v->name)};
		m->session_settings[i].value =
			(struct blob){v->value, strlen(v->value)};
	}
}

/* Milliseconds until a time; negative if it has come. */
static int64_t relay_ms_left(clk_ms until, clk_ms now)
{
	return until > now ? until - now : -1;
}

static void relay_send(struct relay_runner *g, struct relay_pin *p,
		       struct db_member *m, struct db_job *j, clk_ms limit,
		       clk_ms now)
{
	struct relay *r = g->relay;
	struct relay_forwarded_job *job = calloc(1, sizeof(*job));
	struct msg msg = {.type = MSG_JOB};
	struct msg_job *out = &msg.u.job;

	if (!job)
		abort();
	*job = (struct relay_forwarded_job){.number = ++r->last_number,
					    .runner = g,
					    .pin = p,
					    .job = j,
					    .member = m,
					    .sent = now};
	HASH_ADD(hh, g->jobs, number, sizeof(job->number), job);
	g->load++;
	out->job_number = job->number;
	memcpy(out->member, m->info.id, ID_LEN);
	out->kept_conn_id = p ? p->number : 0;
	out->begin_txn = j->begin;
	out->begin_read_only = j->begin_read_only;
	out->rollback_after = j->rollback;
	out->needs_lease = j->needs_lease;
	out->min_term = j->required_pos.term;
	out->min_position = j->required_pos.number;
	out->priority = j->priority;
	out->objective_ms = j->objective_ms;
	out->send_timeout_ms = limit - now - RELAY_RETURN_MARGIN_MS;
	memcpy(out->tenant, j->tenant, ID_LEN);
	out->authorized_ms = j->authorized_until
				     ? relay_ms_left(j->authorized_until, now)
				     : 0;
	out->answer_timeout_ms =
		j->deadline ? relay_ms_left(
				      j->deadline - RELAY_RETURN_MARGIN_MS, now)
			    : 0;
	out->fallback = j->fallback;
	out->job_request_id = relay_blob(j->id);
	out->text = relay_blob(j->text);
	out->prepared = j->prepared;
	if (j->prepared) {
		out->prepared_writes = j->prepared->writes;
		out->prepared_text =
			(struct blob){j->prepared->statement_text,
				      strlen(j->prepared->statement_text)};
	}
	out->arguments = relay_blob(j->arguments);
	relay_put_values(j->ctx, out);
	j->relay = job;
	j->member = m;
	j->conn = NULL;
	j->started_at = now;
	j->sent = true;
	db_statement_started(m, now);
	db_begin_fallback(m, j);
	cnt_add(CNT_forwarded, 1);
	link_send(g->link, &msg);
	free(out->session_settings);
}

static bool relay_is_reachable(const struct relay_runner *g, clk_ms now)
{
	return g && g->up &&
	       now - link_last_received(g->link) < RELAY_RUNNER_SILENT_MS;
}

/* Returns the runner of a job; NULL if it is to be run here. */
static struct relay_runner *relay_place_job(struct relay *r,
					    const struct relay_slice_zone *p,
					    const char *tenant, clk_ms now)
{
	const struct relay_candidate *c =
		tenant[0] ? relay_choose_runner(p, tenant) : NULL;
	struct relay_runner *g;

	if (c && !strcmp(c->id, r->set->id))
		return NULL;
	g = c ? relay_find_runner(r, c) : NULL;
	if (g)
		g->keep_until = now + RELAY_LINK_IDLE_MS;
	if (relay_is_reachable(g, now))
		return g;
	return relay_is_reachable(p->runner, now) ? p->runner : NULL;
}

bool relay_start(struct relay *r, struct db_member *m, int slice,
		 struct db_job *j, clk_ms limit, clk_ms now)
{
	const struct relay_slice_zone *p =
		relay_find_slice_zone(r, m->info.zone, slice);
	struct relay_runner *g =
		p ? relay_place_job(r, p, j->tenant, now) : NULL;

	if (!g)
		return false;
	relay_send(g, NULL, m, j, limit, now);
	return true;
}

void relay_continue(struct relay_pin *p, struct db_job *j, clk_ms limit,
		    clk_ms now)
{
	p->lost = NULL;
	p->busy = true;
	relay_send(p->runner, p, p->member, j, limit, now);
}

void relay_cancel(struct db_job *j)
{
	struct relay_forwarded_job *job = j->relay;
	struct msg m = {.type = MSG_JOB_CANCEL};

	m.u.job_cancel.job_number = job->number;
	link_send(job->runner->link, &m);
	db_statement_ended(job->member);
	db_end_fallback(job->member, j);
	if (job->pin)
		relay_forget_pin(job->pin);
	relay_forget_job(job);
}

void relay_release(struct relay_pin *p)
{
	relay_end_pin(p->runner, p->number);
	relay_forget_pin(p);
}

struct db_member *relay_member_of(const struct relay_pin *p)
{
	return p->member;
}

void relay_on_lost(struct relay_pin *p, void (*lost)(void *arg), void *arg)
{
	p->lost = lost;
	p->arg = arg;
}

size_t relay_load(const struct relay *r)
{
	return r->remote_work;
}

static void relay_on_tick(struct ev_loop *loop, ev_timer *w, int events)
{
	struct relay *r = w->data;
	struct relay_runner *next;
	clk_ms now = clk_now();

	(void)loop;
	(void)events;
	relay_serve_tick(r, now);
	for (struct relay_runner *g = r->runners; g; g = next) {
		next = g->next;
		if (!g->in_use && !g->load && now >= g->keep_until)
			relay_close(r, g);
	}
}

enum res relay_new(struct relay **out, struct ev_loop *loop,
		   const struct settings *set, struct db *db, int64_t uuid,
		   struct err *e)
{
	struct relay *r = calloc(1, sizeof(*r));
	enum res res;

	if (!r)
		abort();
	r->loop = loop;
	r->set = set;
	r->db = db;
	r->uuid = uuid;
	res = relay_serve(r, e);
	if (res) {
		free(r);
		return res;
	}
	ev_timer_init(&r->tick, relay_on_tick, RELAY_CHECK_INTERVAL_MS / 1000.0,
		      RELAY_CHECK_INTERVAL_MS / 1000.0);
	r->tick.data = r;
	ev_timer_start(loop, &r->tick);
	*out = r;
	return RES_OK;
}

void relay_free(struct relay *r)
{
	if (!r)
		return;
	ev_timer_stop(r->loop, &r->tick);
	relay_serve_end(r);
	while (r->runners) {
		relay_fail_runner(r->runners);
		relay_close(r, r->runners);
	}
	relay_clear_slice_zones(r);
	free(r->slice_zones);
	free(r);
}
