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
	ANSWER_LOST_AFTER_WAIT_MS = 6000, /* added to the longest wait */
	DEFAULT_WAIT_MS = 5000 /* without --max-wait-ms */
};

static void caller_on_done(void *arg, enum load_conn_outcome outcome,
			   const PGresult *r, const char *text);
static void caller_start_request(struct load_caller *c, enum load_kind kind,
				 int64_t intended_us);

/* Chooses a kind at random by the weights of the mix. */
static enum load_kind load_pick_kind(struct load *l)
{
	int sum = 0;
	int64_t x;

	for (int k = 0; k < LOAD_MIX_KINDS; k++)
		sum += l->opt.weights[k];
	x = (int64_t)rng_uniform_int(l->rng, (uint64_t)sum);
	for (int k = 0; k < LOAD_MIX_KINDS; k++) {
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

/* Counts a success whose latency is measured from intended_us. */
static void load_record_success(struct load *l, enum load_kind kind,
				int64_t intended_us)
{
	struct load_stats *s = &l->stats[kind];
	int64_t now = clk_now_us();
	int64_t second = (now - l->start_us) / 1000000;

	s->ok++;
	hist_add(s->latency, now - intended_us);
	if (now > l->end_us)
		return;
	s->ok_before_end++;
	l->ok_per_s[second]++;
	if (!is_order(kind))
		return;
	l->orders_per_s[second]++;
	if (now - l->last_order_us > l->longest_gap_us)
		l->longest_gap_us = now - l->last_order_us;
	l->last_order_us = now;
}

/* Waits for a random time between min and max seconds. */
static void caller_start_pause(struct load_caller *c, double min, double max)
{
	double s = min + rng_uniform_unit(c->load->rng) * (max - min);

	ev_timer_set(&c->pause, s, 0);
	ev_timer_start(c->load->loop, &c->pause);
}

/* Selects another proxy for the next connection, after one has failed. */
static void caller_next_proxy(struct load_caller *c)
{
	if (c->reading_own_order) {
		c->other_offset++;
		return;
	}
	c->home_proxy = (c->home_proxy + 1) % c->load->opt.nproxies;
	load_conn_close(&c->other_conn); /* it may be to the new home proxy */
}

/*
 * Removes the next request from the open loop's queue. Requests that have
 * waited for too long are counted as given up. Returns false if none is left.
 */
static bool load_dequeue(struct load *l, struct load_arrival *out)
{
	int64_t wait =
		l->opt.max_wait_ms >= 0 ? l->opt.max_wait_ms : DEFAULT_WAIT_MS;

	while (l->queue_head < l->queue_tail) {
		*out = l->queue[l->queue_head++];
		if (clk_now_us() - out->intended_us <= wait * 1000)
			return true;
		l->stats[out->kind].sent++;
		l->stats[out->kind].given_up++;
	}
	l->queue_head = 0;
	l->queue_tail = 0;
	return false;
}

/* Ends the run once it is stopping and all callers are idle. */
static void load_check_settled(struct load *l)
{
	if (l->stopping && l->nidle == l->opt.ncallers)
		ev_break(l->loop, EVBREAK_ALL);
}

/* Starts the caller's next request or makes the caller idle. */
static void caller_finish_request(struct load_caller *c)
{
	struct load *l = c->load;
	struct load_arrival a;

	c->busy = false;
	if (!l->stopping && l->opt.rate <= 0) {
		caller_start_request(c, load_pick_kind(l), clk_now_us());
	} else if (!l->stopping && load_dequeue(l, &a)) {
		caller_start_request(c, a.kind, a.intended_us);
	} else {
		l->idle[l->nidle++] = c;
		load_check_settled(l);
	}
}

/* Without this pause a closed loop would follow refusals without any delay. */
static void caller_pause_after_failure(struct load_caller *c)
{
	caller_start_pause(c, 0.01, 0.05);
}

/* Seconds after which an answer counts as lost. */
static double load_answer_timeout(const struct load *l, enum load_kind k)
{
	int64_t ms =
		l->opt.max_wait_ms >= 0 ? l->opt.max_wait_ms : DEFAULT_WAIT_MS;

	if (k == LOAD_LONG)
		ms += l->opt.long_cost_us / 1000;
	return (double)(ms + ANSWER_LOST_AFTER_WAIT_MS) / 1000;
}

/*
 * Writes the sum of zeros that is added to a long read. Its operators are part
 * of the statement's fingerprint, unlike its constants, so each combination of
 * + and - gives another fingerprint.
 */
static const char *load_shape_expression(struct load *l, char *text)
{
	uint32_t shape = l->nlong_sent++ % (uint32_t)l->opt.long_shapes;
	char *at = text;

	for (int bit = 0; shape >> bit; bit++)
		at += sprintf(at, "%c0", shape >> bit & 1 ? '-' : '+');
	*at = '\0';
	return text;
}

/*
 * Writes the SQL comment that sets the cost of a short read at the tests'
 * stand-in for a backend server.
 */
static const char *load_short_cost_comment(const struct load *l, char *text)
{
	*text = '\0';
	if (l->opt.short_cost_us >= 0)
		snprintf(text, COST_LEN, "/* cost_us=%" PRId64 " */ ",
			 l->opt.short_cost_us);
	return text;
}

static void caller_build_sql(const struct load_caller *c, char *sql)
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
			 l->run_id, c->id, n, t, l->run_id, c->id, n);
		break;
	case LOAD_TICKET:
		snprintf(sql, SQL_LEN,
			 "/* marjoramlatch.max_age_ms=0 */ %sSELECT count(*) "
			 "FROM %s WHERE run = '%s' AND caller = %d AND n = %d",
			 load_short_cost_comment(l, cost), t, l->run_id, c->id,
			 n);
		break;
	case LOAD_LONG:
		snprintf(sql, SQL_LEN,
			 "/* marjoramlatch.max_age_ms=%" PRId64 " */ "
			 "/* cost_us=%" PRId64 " */ SELECT max(n%s) FROM %s "
			 "WHERE run = '%s' AND caller = %d",
			 l->opt.max_age_ms, l->opt.long_cost_us,
			 load_shape_expression(l, shape), t, l->run_id, c->id);
		break;
	default:
		snprintf(sql, SQL_LEN,
			 "/* marjoramlatch.max_age_ms=%" PRId64 " */ "
			 "%sSELECT n FROM %s WHERE run = '%s' AND caller = %d "
			 "AND n = %d",
			 l->opt.max_age_ms, load_short_cost_comment(l, cost), t,
			 l->run_id, c->id, n);
	}
}

static void caller_send(struct load_caller *c)
{
	char sql[SQL_LEN];

	caller_build_sql(c, sql);
	load_conn_run(&c->conn, c->load->opt.proxies[c->home_proxy], sql,
		      load_answer_timeout(c->load, c->kind));
}

static void caller_add_order(struct load_caller *c)
{
	if (c->norders == c->orders_cap) {
		int cap = c->orders_cap ? c->orders_cap * 2 : 16;
		uint8_t *o = realloc(c->orders, (size_t)cap);

		if (!o)
			abort();
		c->orders = o;
		c->orders_cap = cap;
	}
	c->orders[c->norders++] = ORDER_PENDING;
}

/*
 * Returns whether a replica with the lag of --lag-ms may serve a browse read
 * now: the lag must be within the allowed age, and the replica must have the
 * session's last write.
 */
static bool caller_replica_eligible(const struct load_caller *c)
{
	const struct load_options *o = &c->load->opt;

	return o->replica_lag_ms >= 0 && o->replica_lag_ms <= o->max_age_ms &&
	       clk_now_us() - c->last_ack_us > o->replica_lag_ms * 1000;
}

static void caller_start_request(struct load_caller *c, enum load_kind kind,
				 int64_t intended_us)
{
	c->load->replica_eligible +=
		kind == LOAD_BROWSE && caller_replica_eligible(c);
	c->busy = true;
	c->reading_own_order = false;
	c->may_have_run = false;
	c->kind = kind;
	c->intended_us = intended_us;
	c->load->stats[kind].sent++;
	if (is_order(kind))
		caller_add_order(c);
	caller_send(c);
}

/* Index of a proxy other than the home proxy, if there is one. */
static int caller_other_proxy(const struct load_caller *c)
{
	int n = c->load->opt.nproxies;

	return n > 1 ? (c->home_proxy + 1 + c->other_offset % (n - 1)) % n : 0;
}

/*
 * Reads the caller's order through another proxy, with the session token that
 * the write returned.
 */
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
		caller_pause_after_failure(c);
		return;
	}
	c->reading_own_order = true;
	c->own_read_start_us = clk_now_us();
	snprintf(sql, sizeof(sql),
		 "/* marjoramlatch.session=%s */ SELECT count(*) FROM %s "
		 "WHERE run = '%s' AND caller = %d AND n = %d",
		 token, l->opt.table, l->run_id, c->id, c->norders - 1);
	load_conn_run(&c->other_conn, l->opt.proxies[caller_other_proxy(c)],
		      sql, load_answer_timeout(l, LOAD_OWN_READ));
}

static void caller_read_done(struct load_caller *c, const PGresult *r)
{
	struct load *l = c->load;

	if (PQntuples(r) != 1 || strcmp(PQgetvalue(r, 0, 0), "1") != 0) {
		l->stale_own_reads++;
		fprintf(stderr,
			"marjoramlatch: stale own read: order %s-%d-%d\n",
			l->run_id, c->id, c->norders - 1);
	}
	load_record_success(l, LOAD_OWN_READ, c->own_read_start_us);
	caller_finish_request(c);
}

static void caller_succeeded(struct load_caller *c, const PGresult *r)
{
	if (c->reading_own_order) {
		caller_read_done(c, r);
		return;
	}
	load_record_success(c->load, c->kind, c->intended_us);
	if (is_order(c->kind)) {
		c->orders[c->norders - 1] = ORDER_ACKED;
		c->last_ack_us = clk_now_us();
	}
	if (c->kind == LOAD_ORDER_READ)
		caller_read_own(c);
	else
		caller_finish_request(c);
}

/*
 * Returns whether a request that failed was run. A proxy states this in the
 * detail of the error; without one, the SQLSTATE decides.
 */
static enum res_ran error_outcome(const PGresult *r)
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

/*
 * Sends an order whose outcome is unknown again after a pause, through another
 * proxy and with the same request id.
 */
static void caller_retry(struct load_caller *c)
{
	caller_next_proxy(c);
	load_conn_close(&c->conn);
	caller_start_pause(c, 0.05, 0.2);
}

/*
 * Counts a failure. An order of which an attempt may have run is sent again,
 * whatever the last error was.
 */
static void caller_failed(struct load_caller *c, bool unknown,
			  const char *state, const char *text)
{
	struct load *l = c->load;
	enum load_kind kind = c->reading_own_order ? LOAD_OWN_READ : c->kind;

	load_count_reason(l, kind, state, text);
	if (is_order(kind) && unknown) {
		l->stats[kind].unknown++;
		c->may_have_run = true;
	}
	if (is_order(kind) && c->may_have_run) {
		caller_retry(c);
		return;
	}
	if (unknown)
		l->stats[kind].failed++;
	else
		l->stats[kind].refused++;
	if (is_order(kind))
		c->orders[c->norders - 1] = ORDER_NOT_RUN;
	caller_pause_after_failure(c);
}

static void caller_on_error(struct load_caller *c, const PGresult *r,
			    const char *state)
{
	const char *text = PQresultErrorField(r, PG_DIAG_MESSAGE_PRIMARY);
	enum res_ran ran = error_outcome(r);

	if (ran == RES_RAN_RAN && is_order(c->kind) && !c->reading_own_order)
		caller_succeeded(c, r);
	else
		caller_failed(c, ran == RES_RAN_MAYBE, state, text ? text : "");
}

static void caller_on_done(void *arg, enum load_conn_outcome outcome,
			   const PGresult *r, const char *text)
{
	struct load_caller *c = arg;
	const char *state;

	(void)text;
	if (outcome == LOAD_CONN_NOT_SENT) {
		caller_next_proxy(c);
		caller_failed(c, false, "08001", "can't connect");
		return;
	}
	if (outcome == LOAD_CONN_ANSWER_LOST) {
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
	if (!c->reading_own_order && is_order(c->kind) && c->may_have_run &&
	    c->orders[c->norders - 1] == ORDER_PENDING)
		caller_send(c);
	else
		caller_finish_request(c);
}

/* Rate at a time, with the swings applied. */
static double load_rate_at(const struct load *l, int64_t us)
{
	double t = (double)(us - l->start_us) / 1e6;
	double rate = l->opt.rate;

	for (int i = 0; i < l->opt.nswings; i++) {
		const struct load_swing *s = &l->opt.swings[i];

		if (t >= s->start_s && t < s->start_s + s->length_s)
			rate *= s->factor;
	}
	return rate;
}

/* Starts a request at an idle caller, or queues it if there is none. */
static void load_start_or_enqueue(struct load *l, int64_t intended_us)
{
	struct load_arrival a = {load_pick_kind(l), intended_us};

	if (l->nidle) {
		caller_start_request(l->idle[--l->nidle], a.kind, intended_us);
		return;
	}
	if (l->queue_tail == l->queue_cap) {
		l->queue_cap = l->queue_cap ? l->queue_cap * 2 : 1024;
		l->queue = realloc(l->queue, l->queue_cap * sizeof(*l->queue));
		if (!l->queue)
			abort();
	}
	l->queue[l->queue_tail++] = a;
}

/*
 * Starts the requests that are due. The times between arrivals are distributed
 * exponentially.
 */
static void load_on_arrival(struct ev_loop *loop, struct ev_timer *w,
			    int events)
{
	struct load *l = w->data;
	int64_t now = clk_now_us();

	(void)events;
	while (l->next_arrival_us <= now && !l->stopping) {
		double rate = load_rate_at(l, l->next_arrival_us);

		load_start_or_enqueue(l, l->next_arrival_us);
		l->next_arrival_us +=
			(int64_t)(-log(1 - rng_uniform_unit(l->rng)) * 1e6 /
				  (rate > 0.001 ? rate : 0.001));
	}
	if (l->stopping)
		return;
	ev_timer_set(w, (double)(l->next_arrival_us - now) / 1e6, 0);
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

static void load_on_settle_timeout(struct ev_loop *loop, struct ev_timer *w,
				   int events)
{
	(void)w;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

static void load_create_callers(struct load *l)
{
	int n = l->opt.ncallers;
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
		c->home_proxy = i % l->opt.nproxies;
		ev_init(&c->pause, caller_on_pause);
		c->pause.data = c;
		load_conn_init(&c->conn, &l->opt, l->loop, caller_on_done, c);
		load_conn_init(&c->other_conn, &l->opt, l->loop, caller_on_done,
			       c);
		l->idle[l->nidle++] = c;
	}
}

static void load_start_timer(struct load *l, struct ev_timer *t,
			     void (*fn)(struct ev_loop *, struct ev_timer *,
					int),
			     double s)
{
	ev_timer_init(t, fn, s, 0);
	t->data = l;
	ev_timer_start(l->loop, t);
}

void load_run(struct load *l)
{
	load_create_callers(l);
	l->start_us = clk_now_us();
	l->end_us = l->start_us + (int64_t)(l->opt.seconds * 1e6);
	l->next_arrival_us = l->start_us;
	l->last_order_us = l->start_us;
	load_start_timer(l, &l->stop_timer, load_on_stop, l->opt.seconds);
	load_start_timer(l, &l->settle_timer, load_on_settle_timeout,
			 l->opt.seconds + LOAD_SETTLE_MS / 1000.0);
	if (l->opt.rate > 0)
		load_start_timer(l, &l->arrival_timer, load_on_arrival, 0);
	else
		while (l->nidle)
			caller_start_request(l->idle[--l->nidle],
					     load_pick_kind(l), l->start_us);
	ev_run(l->loop, 0);
	if (l->end_us - l->last_order_us > l->longest_gap_us)
		l->longest_gap_us = l->end_us - l->last_order_us;
	for (int i = 0; i < l->opt.ncallers; i++) {
		load_conn_close(&l->callers[i].conn);
		load_conn_close(&l->callers[i].other_conn);
	}
}
