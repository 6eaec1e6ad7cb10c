#include "load.h"
#include "token.h"

#include <inttypes.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	SQL_LEN = TOK_TEXT_LEN + 512,
	COST_LEN = 48,
	ANSWER_EXTRA_MS = 6000, /* over the wait, until an answer is lost */
	DEFAULT_WAIT_MS = 5000
};

static void caller_on_done(void *arg, enum lconn_end end, const PGresult *r,
			   const char *text);
static void caller_begin(struct load_caller *c, enum load_kind kind,
			 int64_t intended_us);

static enum load_kind load_pick(struct load *l)
{
	int sum = 0;
	int64_t x;

	for (int k = 0; k < LOAD_MIX; k++)
		sum += l->opt.weights[k];
	x = (int64_t)rng_below(l->rng, (uint64_t)sum);
	for (int k = 0; k < LOAD_MIX; k++) {
		x -= l->opt.weights[k];
		if (x < 0)
			return (enum load_kind)k;
	}
	return LOAD_BROWSE;
}

static bool is_order(enum load_kind k)
{
	return k == LOAD_ORDER || k == LOAD_ORDER_READ;
}

/* Counts a failure under its SQLSTATE and the fixed part of its message. */
static void load_count_reason(struct load *l, enum load_kind kind,
			      const char *state, const char *text)
{
	char key[LOAD_REASON_LEN];
	int i;

	snprintf(key, sizeof(key), "%s %.*s", state, (int)strcspn(text, ":\n"),
		 text);
	for (i = 0; i < l->nreasons; i++)
		if (l->reasons[i].kind == kind &&
		    !strcmp(l->reasons[i].text, key))
			break;
	if (i == LOAD_MAX_REASONS)
		return;
	if (i == l->nreasons) {
		l->reasons[i].kind = kind;
		strcpy(l->reasons[i].text, key);
		l->nreasons++;
	}
	l->reasons[i].count++;
}

/* Counts a success that counts from intended_us. */
static void load_success(struct load *l, enum load_kind kind,
			 int64_t intended_us)
{
	struct load_stats *s = &l->stats[kind];
	int64_t now = clk_now_us();
	int64_t second = (now - l->start_us) / 1000000;

	s->ok++;
	hist_add(s->latency, now - intended_us);
	if (now > l->end_us)
		return;
	s->in_time++;
	l->ok_per_s[second]++;
	if (!is_order(kind))
		return;
	l->orders_per_s[second]++;
	if (now - l->last_order_us > l->longest_gap_us)
		l->longest_gap_us = now - l->last_order_us;
	l->last_order_us = now;
}

static void caller_pause(struct load_caller *c, double min, double max)
{
	double s = min + rng_unit(c->load->rng) * (max - min);

	ev_timer_set(&c->pause, s, 0);
	ev_timer_start(c->load->loop, &c->pause);
}

/* The next connection goes to another proxy than the one that failed. */
static void caller_next_proxy(struct load_caller *c)
{
	if (c->reading) {
		c->away_shift++;
		return;
	}
	c->home = (c->home + 1) % c->load->opt.nto;
	lconn_close(&c->away); /* it may lead to the new proxy */
}

/* Takes the next request of the open loop that is not too old. */
static bool load_take(struct load *l, struct load_arrival *out)
{
	int64_t wait =
		l->opt.max_wait_ms >= 0 ? l->opt.max_wait_ms : DEFAULT_WAIT_MS;

	while (l->head < l->tail) {
		*out = l->queue[l->head++];
		if (clk_now_us() - out->intended_us <= wait * 1000)
			return true;
		l->stats[out->kind].sent++;
		l->stats[out->kind].given_up++;
	}
	l->head = 0;
	l->tail = 0;
	return false;
}

static void load_check_settled(struct load *l)
{
	if (l->stopping && l->nidle == l->opt.callers)
		ev_break(l->loop, EVBREAK_ALL);
}

static void caller_free_for_next(struct load_caller *c)
{
	struct load *l = c->load;
	struct load_arrival a;

	c->busy = false;
	if (!l->stopping && l->opt.rate <= 0) {
		caller_begin(c, load_pick(l), clk_now_us());
	} else if (!l->stopping && load_take(l, &a)) {
		caller_begin(c, a.kind, a.intended_us);
	} else {
		l->idle[l->nidle++] = c;
		load_check_settled(l);
	}
}

/* A closed loop would send refused requests again without any delay. */
static void caller_ended_badly(struct load_caller *c)
{
	caller_pause(c, 0.01, 0.05);
}

static double load_answer_timeout(const struct load *l, enum load_kind k)
{
	int64_t ms =
		l->opt.max_wait_ms >= 0 ? l->opt.max_wait_ms : DEFAULT_WAIT_MS;

	if (k == LOAD_LONG)
		ms += l->opt.long_us / 1000;
	return (double)(ms + ANSWER_EXTRA_MS) / 1000;
}

/* A sum whose operators, unlike its constants, are part of the fingerprint. */
static const char *load_shape(struct load *l, char *text)
{
	uint32_t shape = l->nlong++ % (uint32_t)l->opt.long_shapes;
	char *at = text;

	for (int bit = 0; shape >> bit; bit++)
		at += sprintf(at, "%c0", shape >> bit & 1 ? '-' : '+');
	*at = '\0';
	return text;
}

/* A comment that tells the stand-in what a short read costs. */
static const char *load_short_cost(const struct load *l, char *text)
{
	*text = '\0';
	if (l->opt.short_us >= 0)
		snprintf(text, COST_LEN, "/* cost_us=%" PRId64 " */ ",
			 l->opt.short_us);
	return text;
}

static void caller_sql(const struct load_caller *c, char *sql)
{
	struct load *l = c->load;
	char shape[2 * LOAD_SHAPE_BITS + 1];
	char cost[COST_LEN];
	const char *t = l->opt.table;
	int n = c->norders - 1;

	switch (c->kind) {
	case LOAD_ORDER:
	case LOAD_ORDER_READ:
		snprintf(sql, SQL_LEN,
			 "/* marjoramlatch.request_id=%s-%d-%d */ "
			 "INSERT INTO %s (run, caller, n) "
			 "VALUES ('%s', %d, %d)",
			 l->run, c->id, n, t, l->run, c->id, n);
		break;
	case LOAD_TICKET:
		snprintf(sql, SQL_LEN,
			 "/* marjoramlatch.max_age_ms=0 */ %sSELECT count(*) "
			 "FROM %s WHERE run = '%s' AND caller = %d AND n = %d",
			 load_short_cost(l, cost), t, l->run, c->id, n);
		break;
	case LOAD_LONG:
		snprintf(sql, SQL_LEN,
			 "/* marjoramlatch.max_age_ms=%" PRId64 " */ "
			 "/* cost_us=%" PRId64 " */ SELECT max(n%s) FROM %s "
			 "WHERE run = '%s' AND caller = %d",
			 l->opt.max_age_ms, l->opt.long_us,
			 load_shape(l, shape), t, l->run, c->id);
		break;
	default:
		snprintf(sql, SQL_LEN,
			 "/* marjoramlatch.max_age_ms=%" PRId64 " */ "
			 "%sSELECT n FROM %s WHERE run = '%s' AND caller = %d "
			 "AND n = %d",
			 l->opt.max_age_ms, load_short_cost(l, cost), t, l->run,
			 c->id, n);
	}
}

static void caller_send(struct load_caller *c)
{
	char sql[SQL_LEN];

	caller_sql(c, sql);
	lconn_run(&c->conn, c->load->opt.to[c->home], sql,
		  load_answer_timeout(c->load, c->kind));
}

static void caller_add_order(struct load_caller *c)
{
	if (c->norders == c->cap) {
		int cap = c->cap ? c->cap * 2 : 16;
		uint8_t *o = realloc(c->orders, (size_t)cap);

		if (!o)
			abort();
		c->orders = o;
		c->cap = cap;
	}
	c->orders[c->norders++] = ORDER_PENDING;
}

/* May a replica serve a browse read now? The session must see its own writes.
 */
static bool caller_eligible(const struct load_caller *c)
{
	const struct load_options *o = &c->load->opt;

	return o->lag_ms >= 0 && o->lag_ms <= o->max_age_ms &&
	       clk_now_us() - c->wrote_us > o->lag_ms * 1000;
}

static void caller_begin(struct load_caller *c, enum load_kind kind,
			 int64_t intended_us)
{
	c->load->eligible += kind == LOAD_BROWSE && caller_eligible(c);
	c->busy = true;
	c->reading = false;
	c->was_unknown = false;
	c->kind = kind;
	c->intended_us = intended_us;
	c->load->stats[kind].sent++;
	if (is_order(kind))
		caller_add_order(c);
	caller_send(c);
}

/* A proxy other than the one the caller is connected to, if there is one. */
static int caller_away(const struct load_caller *c)
{
	int n = c->load->opt.nto;

	return n > 1 ? (c->home + 1 + c->away_shift % (n - 1)) % n : 0;
}

/* Reads the own order through another proxy, with the token of the write. */
static void caller_read_own(struct load_caller *c)
{
	struct load *l = c->load;
	const char *token =
		PQparameterStatus(c->conn.pg, "marjoramlatch.session");
	char sql[SQL_LEN];

	l->stats[LOAD_OWN_READ].sent++;
	if (!token || !*token) {
		l->stats[LOAD_OWN_READ].refused++;
		load_count_reason(l, LOAD_OWN_READ, "-----",
				  "no token after the write");
		caller_ended_badly(c);
		return;
	}
	c->reading = true;
	c->read_us = clk_now_us();
	snprintf(sql, sizeof(sql),
		 "/* marjoramlatch.session=%s */ SELECT count(*) FROM %s "
		 "WHERE run = '%s' AND caller = %d AND n = %d",
		 token, l->opt.table, l->run, c->id, c->norders - 1);
	lconn_run(&c->away, l->opt.to[caller_away(c)], sql,
		  load_answer_timeout(l, LOAD_OWN_READ));
}

static void caller_read_done(struct load_caller *c, const PGresult *r)
{
	struct load *l = c->load;

	if (PQntuples(r) != 1 || strcmp(PQgetvalue(r, 0, 0), "1") != 0) {
		l->stale_reads++;
		fprintf(stderr,
			"marjoramlatch: stale own read: order %s-%d-%d\n",
			l->run, c->id, c->norders - 1);
	}
	load_success(l, LOAD_OWN_READ, c->read_us);
	caller_free_for_next(c);
}

static void caller_succeeded(struct load_caller *c, const PGresult *r)
{
	if (c->reading) {
		caller_read_done(c, r);
		return;
	}
	load_success(c->load, c->kind, c->intended_us);
	if (is_order(c->kind)) {
		c->orders[c->norders - 1] = ORDER_ACKED;
		c->wrote_us = clk_now_us();
	}
	if (c->kind == LOAD_ORDER_READ)
		caller_read_own(c);
	else
		caller_free_for_next(c);
}

/*
 * What an error says about the request: a proxy states it in the detail.
 * Without one, the SQLSTATE decides.
 */
static enum res_ran error_ran(const PGresult *r)
{
	static const char *const unknown[] = {"08007", "08006", "57014",
					      "XX000", "XX001", "58030"};
	const char *state = PQresultErrorField(r, PG_DIAG_SQLSTATE);
	const char *detail = PQresultErrorField(r, PG_DIAG_MESSAGE_DETAIL);

	if (detail && strstr(detail, "was not run"))
		return RES_RAN_NOT_RUN;
	if (detail && strstr(detail, "may have run"))
		return RES_RAN_MAYBE;
	if (detail && strstr(detail, "request ran"))
		return RES_RAN_RAN;
	for (size_t i = 0; i < sizeof(unknown) / sizeof(unknown[0]); i++)
		if (!strcmp(state, unknown[i]))
			return RES_RAN_MAYBE;
	return RES_RAN_NOT_RUN;
}

/* An order whose outcome is unknown is sent again with its request id. */
static void caller_retry(struct load_caller *c)
{
	caller_next_proxy(c);
	lconn_close(&c->conn);
	caller_pause(c, 0.05, 0.2);
}

static void caller_failed(struct load_caller *c, bool unknown,
			  const char *state, const char *text)
{
	struct load *l = c->load;
	enum load_kind kind = c->reading ? LOAD_OWN_READ : c->kind;

	load_count_reason(l, kind, state, text);
	if (is_order(kind) && unknown) {
		l->stats[kind].unknown++;
		c->was_unknown = true;
	}
	if (is_order(kind) && c->was_unknown) {
		caller_retry(c);
		return;
	}
	if (unknown)
		l->stats[kind].failed++;
	else
		l->stats[kind].refused++;
	if (is_order(kind))
		c->orders[c->norders - 1] = ORDER_NOT_RUN;
	caller_ended_badly(c);
}

static void caller_on_error(struct load_caller *c, const PGresult *r,
			    const char *state)
{
	const char *text = PQresultErrorField(r, PG_DIAG_MESSAGE_PRIMARY);
	enum res_ran ran = error_ran(r);

	if (ran == RES_RAN_RAN && is_order(c->kind) && !c->reading)
		caller_succeeded(c, r);
	else
		caller_failed(c, ran == RES_RAN_MAYBE, state, text ? text : "");
}

static void caller_on_done(void *arg, enum lconn_end end, const PGresult *r,
			   const char *text)
{
	struct load_caller *c = arg;
	const char *state;

	(void)text;
	if (end == LCONN_NOT_SENT) {
		caller_next_proxy(c);
		caller_failed(c, false, "08001", "can't connect");
		return;
	}
	if (end == LCONN_LOST) {
		caller_next_proxy(c);
		caller_failed(c, true, "08006", "connection lost");
		return;
	}
	state = PQresultErrorField(r, PG_DIAG_SQLSTATE);
	if (state)
		caller_on_error(c, r, state);
	else
		caller_succeeded(c, r);
}

static void caller_on_pause(struct ev_loop *loop, struct ev_timer *w,
			    int events)
{
	struct load_caller *c = w->data;

	(void)loop;
	(void)events;
	if (!c->reading && is_order(c->kind) && c->was_unknown &&
	    c->orders[c->norders - 1] == ORDER_PENDING)
		caller_send(c);
	else
		caller_free_for_next(c);
}

static double load_rate_at(const struct load *l, int64_t us)
{
	double t = (double)(us - l->start_us) / 1e6;
	double rate = l->opt.rate;

	for (int i = 0; i < l->opt.nswings; i++) {
		const struct load_swing *s = &l->opt.swings[i];

		if (t >= s->at && t < s->at + s->len)
			rate *= s->factor;
	}
	return rate;
}

static void load_arrive(struct load *l, int64_t intended_us)
{
	struct load_arrival a = {load_pick(l), intended_us};

	if (l->nidle) {
		caller_begin(l->idle[--l->nidle], a.kind, intended_us);
		return;
	}
	if (l->tail == l->cap) {
		l->cap = l->cap ? l->cap * 2 : 1024;
		l->queue = realloc(l->queue, l->cap * sizeof(*l->queue));
		if (!l->queue)
			abort();
	}
	l->queue[l->tail++] = a;
}

/* Starts the requests that are due; gaps between them are exponential. */
static void load_on_tick(struct ev_loop *loop, struct ev_timer *w, int events)
{
	struct load *l = w->data;
	int64_t now = clk_now_us();

	(void)events;
	while (l->next_us <= now && !l->stopping) {
		double rate = load_rate_at(l, l->next_us);

		load_arrive(l, l->next_us);
		l->next_us += (int64_t)(-log(1 - rng_unit(l->rng)) * 1e6 /
					(rate > 0.001 ? rate : 0.001));
	}
	if (l->stopping)
		return;
	ev_timer_set(w, (double)(l->next_us - now) / 1e6, 0);
	ev_timer_start(loop, w);
}

static void load_on_stop(struct ev_loop *loop, struct ev_timer *w, int events)
{
	struct load *l = w->data;

	(void)loop;
	(void)events;
	l->stopping = true;
	load_check_settled(l);
}

static void load_on_settle(struct ev_loop *loop, struct ev_timer *w, int events)
{
	(void)w;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void load_prepare(struct load *l)
{
	int n = l->opt.callers;
	size_t seconds = (size_t)l->opt.seconds + 2;

	l->loop = ev_loop_new(EVFLAG_AUTO);
	l->callers = calloc((size_t)n, sizeof(*l->callers));
	l->idle = calloc((size_t)n, sizeof(struct load_caller *));
	l->ok_per_s = calloc(seconds, sizeof(*l->ok_per_s));
	l->orders_per_s = calloc(seconds, sizeof(*l->orders_per_s));
	if (!l->loop || !l->callers || !l->idle || !l->ok_per_s ||
	    !l->orders_per_s)
		abort();
	for (int i = 0; i < n; i++) {
		struct load_caller *c = &l->callers[i];

		c->load = l;
		c->id = i;
		c->home = i % l->opt.nto;
		ev_init(&c->pause, caller_on_pause);
		c->pause.data = c;
		lconn_init(&c->conn, &l->opt, l->loop, caller_on_done, c);
		lconn_init(&c->away, &l->opt, l->loop, caller_on_done, c);
		l->idle[l->nidle++] = c;
	}
}

static void load_timer(struct load *l, struct ev_timer *t,
		       void (*fn)(struct ev_loop *, struct ev_timer *, int),
		       double s)
{
	ev_timer_init(t, fn, s, 0);
	t->data = l;
	ev_timer_start(l->loop, t);
}

void load_run(struct load *l)
{
	load_prepare(l);
	l->start_us = clk_now_us();
	l->end_us = l->start_us + (int64_t)(l->opt.seconds * 1e6);
	l->next_us = l->start_us;
	l->last_order_us = l->start_us;
	load_timer(l, &l->stop, load_on_stop, l->opt.seconds);
	load_timer(l, &l->settle, load_on_settle,
		   l->opt.seconds + LOAD_SETTLE_MS / 1000.0);
	if (l->opt.rate > 0)
		load_timer(l, &l->tick, load_on_tick, 0);
	else
		while (l->nidle)
			caller_begin(l->idle[--l->nidle], load_pick(l),
				     l->start_us);
	ev_run(l->loop, 0);
	if (l->end_us - l->last_order_us > l->longest_gap_us)
		l->longest_gap_us = l->end_us - l->last_order_us;
	for (int i = 0; i < l->opt.callers; i++) {
		lconn_close(&l->callers[i].conn);
		lconn_close(&l->callers[i].away);
	}
}
