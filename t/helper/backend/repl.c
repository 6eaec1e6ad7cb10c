#include "backend.h"

#include <libpq-fe.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "marks.h"

enum {
	PULL_TIMEOUT_MS = 500,
	PULL_RETRY_MS = 50,
	FRESH_STEP_MS = 5 /* between two marks of freshness */
};

/* What the primary knows of a replica. */
struct ack {
	char id[ID_LEN];
	int64_t held;
	int64_t log_term;
	clk_ms heard;
};

static struct ack acks[MAX_MEMBERS];
static int nacks;
static clk_ms promoted_at;

/* Primary: commits that are not shipped yet. */
static struct marks unshipped;
static int64_t shipped;
static ev_timer ship_timer;

/* Replica: entries that are not applied yet, and when the end of the primary's
 * log was asked for. */
static struct marks unapplied;
static struct marks fresh_marks;
static clk_ms fresh; /* the applied data is as of then; 0 unknown */
static ev_timer apply_timer;
static ev_timer pull_timer;
static struct client *puller;
static clk_ms pull_sent;

static void arm(ev_timer *t, clk_ms ms)
{
	ev_timer_stop(be.loop, t);
	ev_timer_set(t, ms > 0 ? (double)ms / 1000.0 : 0, 0);
	ev_timer_start(be.loop, t);
}

/* ---- primary ---- */

static void on_ship(struct ev_loop *loop, ev_timer *t, int events)
{
	clk_ms due;

	(void)loop;
	(void)events;
	marks_take(&unshipped, clk_now() - be.opt.ship_ms, &shipped);
	due = marks_first(&unshipped);
	if (due)
		arm(t, due + be.opt.ship_ms - clk_now());
	fn_progress();
}

void repl_committed(void)
{
	clk_ms now = clk_now();

	if (!be.opt.ship_ms) {
		shipped = be.m.held;
		fn_progress();
		return;
	}
	marks_add(&unshipped, be.m.held, now);
	if (!ev_is_active(&ship_timer))
		arm(&ship_timer, be.opt.ship_ms);
	/* A group of one member awaits nobody. */
	fn_progress();
}

int64_t repl_shippable(void)
{
	return shipped;
}

void repl_acknowledge(const char *id, int64_t held, int64_t log_term)
{
	int i;

	for (i = 0; i < nacks && strcmp(acks[i].id, id); i++)
		;
	if (i == MAX_MEMBERS)
		return;
	if (i == nacks)
		nacks++;
	snprintf(acks[i].id, sizeof(acks[i].id), "%s", id);
	acks[i].held = held;
	acks[i].log_term = log_term;
	acks[i].heard = clk_now();
	fn_progress();
}

static int descending(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x < y) - (x > y);
}

/* The value that a majority reaches, given those of the other members. */
static int64_t majority_of(int64_t *values, int n, int64_t own)
{
	int others = be.opt.members / 2;

	if (!others)
		return own;
	if (n < others)
		return -1;
	qsort(values, (size_t)n, sizeof(*values), descending);
	return values[others - 1] < own ? values[others - 1] : own;
}

int64_t repl_majority_position(void)
{
	int64_t v[MAX_MEMBERS];
	int n = 0;

	for (int i = 0; i < nacks; i++)
		if (acks[i].log_term == be.m.term)
			v[n++] = acks[i].held;
	return majority_of(v, n, be.m.held);
}

clk_ms repl_majority_age(void)
{
	clk_ms now = clk_now();
	int64_t v[MAX_MEMBERS];
	clk_ms heard;

	if (be.m.role != ROLE_PRIMARY)
		return -1;
	for (int i = 0; i < nacks; i++)
		v[i] = acks[i].heard;
	heard = majority_of(v, nacks, now);
	return now - (heard > promoted_at ? heard : promoted_at);
}

/* ---- replica ---- */

clk_ms repl_age(void)
{
	if (be.m.role == ROLE_PRIMARY)
		return 0;
	return fresh ? clk_now() - fresh : -1;
}

static void stop_pull(void)
{
	client_free(puller);
	puller = NULL;
	ev_timer_stop(be.loop, &pull_timer);
}

static void pull_later(clk_ms ms)
{
	stop_pull();
	arm(&pull_timer, ms);
}

static void clear_replica(void)
{
	stop_pull();
	marks_clear(&unapplied);
	marks_clear(&fresh_marks);
	ev_timer_stop(be.loop, &apply_timer);
}

/* The log does not continue the primary's: starts from nothing. */
static void rebuild(void)
{
	log_warn("repl", "rebuilding held=%lld term=%lld", (long long)be.m.held,
		 (long long)be.m.term);
	clear_replica();
	fresh = 0;
	conn_close_all();
	store_wipe();
	pull_later(0);
}

static void apply_due(void)
{
	int64_t pos = be.m.applied;

	marks_take(&unapplied, clk_now() - be.opt.lag_ms, &pos);
	if (!store_apply(pos)) {
		rebuild();
		return;
	}
	marks_reach(&fresh_marks, be.m.applied, &fresh);
	if (marks_first(&unapplied))
		arm(&apply_timer,
		    marks_first(&unapplied) + be.opt.lag_ms - clk_now());
}

static void on_apply(struct ev_loop *loop, ev_timer *t, int events)
{
	(void)loop;
	(void)t;
	(void)events;
	apply_due();
}

static void send_pull(void)
{
	const struct member *m = &be.m;
	char sql[320];

	snprintf(sql, sizeof(sql),
		 "SELECT * FROM marjoramlatch_pull('%s', %lld, %lld, %lld, "
		 "%lld, %lld)",
		 be.opt.id, (long long)m->held, (long long)m->held_term,
		 (long long)m->log_term, (long long)m->fence,
		 (long long)m->term);
	pull_sent = clk_now();
	client_query(puller, sql);
}

static int64_t field(PGresult *r, int row, int col)
{
	return strtoll(PQgetvalue(r, row, col), NULL, 10);
}

/* Makes the received entries durable before they are acknowledged. */
static bool store_rows(PGresult *r, int64_t start)
{
	int n = PQntuples(r);

	if (n == 1 && be.m.log_term == be.m.term)
		return true;
	if (!store_exec(be.db, "BEGIN IMMEDIATE"))
		return false;
	for (int i = 1; i < n; i++)
		if (!store_receive(field(r, i, 0), field(r, i, 1),
				   PQgetvalue(r, i, 2)))
			return false;
	if (be.m.held >= start && be.m.log_term != be.m.term &&
	    !store_set_log_term(be.m.term, start))
		return false;
	return store_exec(be.db, "COMMIT");
}

static void on_pulled(void *arg, PGresult *r)
{
	clk_ms now = clk_now();
	int64_t end;

	(void)arg;
	if (PQresultStatus(r) != PGRES_TUPLES_OK || PQntuples(r) < 1 ||
	    field(r, 0, 1) != be.m.term) {
		pull_later(PULL_RETRY_MS);
		return;
	}
	end = field(r, 0, 0);
	if (end < 0) {
		rebuild();
		return;
	}
	if (!store_rows(r, field(r, 0, 2))) {
		log_error("repl", "storing entries failed error=\"%s\"",
			  sqlite3_errmsg(be.db));
		exit(1);
	}
	if (PQntuples(r) > 1)
		marks_add(&unapplied, be.m.held, now);
	if (pull_sent - marks_last(&fresh_marks) >= FRESH_STEP_MS)
		marks_add(&fresh_marks, end, pull_sent);
	send_pull();
	apply_due();
}

static void on_pull_up(void *arg)
{
	(void)arg;
	send_pull();
}

static void on_pull_down(void *arg, const char *reason)
{
	(void)arg;
	(void)reason;
	pull_later(PULL_RETRY_MS);
}

static void on_pull_timer(struct ev_loop *loop, ev_timer *t, int events)
{
	struct client_handler h = {
		.on_up = on_pull_up,
		.on_result = on_pulled,
		.on_down = on_pull_down,
	};
	const struct member *m = &be.m;

	(void)loop;
	(void)t;
	(void)events;
	if (puller || m->role != ROLE_REPLICA || !m->primary[0] ||
	    m->term < m->fence)
		return;
	puller = client_open(m->primary, "replica", be.opt.password,
			     PULL_TIMEOUT_MS, &h);
}

/* ---- role changes ---- */

static void step_down(void)
{
	if (be.m.role != ROLE_PRIMARY)
		return;
	be.m.role = ROLE_REPLICA;
	be.m.primary[0] = '\0';
	fresh = 0;
	marks_clear(&unshipped);
	ev_timer_stop(be.loop, &ship_timer);
	conn_abort_writers();
}

void repl_fence(int64_t term)
{
	if (term <= be.m.fence)
		return;
	be.m.fence = term;
	if (be.m.term < term) {
		step_down();
		stop_pull();
	}
	store_save_state();
	log_info("repl", "fenced term=%lld held=%lld", (long long)term,
		 (long long)be.m.held);
	fn_progress();
}

static bool check_term(int64_t term, struct sqlerr *e)
{
	if (term > 0 && term >= be.m.fence)
		return true;
	return sql_fail(e, "55000", "term %lld is below the fence %lld",
			(long long)term, (long long)be.m.fence);
}

static void become_primary(int64_t term)
{
	be.m.role = ROLE_PRIMARY;
	be.m.term = term;
	be.m.primary[0] = '\0';
	store_save_state();
	nacks = 0;
	promoted_at = clk_now();
	shipped = be.m.held;
	log_info("repl", "promoted term=%lld start=%lld", (long long)term,
		 (long long)be.m.start);
}

bool repl_promote(int64_t term, struct sqlerr *e)
{
	if (!check_term(term, e))
		return false;
	if (be.m.role == ROLE_PRIMARY && be.m.term == term)
		return true;
	if (be.m.term == term)
		return sql_fail(e, "55000", "another member leads term %lld",
				(long long)term);
	repl_fence(term);
	clear_replica();
	if (!store_apply(be.m.held) || !store_set_log_term(term, be.m.held))
		return sql_fail(e, "58000", "applying the log failed");
	become_primary(term);
	return true;
}

bool repl_follow(int64_t term, const char *addr, struct sqlerr *e)
{
	struct member *m = &be.m;

	if (!check_term(term, e))
		return false;
	if (m->role == ROLE_PRIMARY && m->term == term)
		return sql_fail(e, "55000", "this member leads term %lld",
				(long long)term);
	if (m->term == term && !strcmp(m->primary, addr))
		return true;
	repl_fence(term);
	m->term = term;
	snprintf(m->primary, sizeof(m->primary), "%s", addr);
	store_save_state();
	marks_clear(&fresh_marks);
	log_info("repl", "following term=%lld primary=%s", (long long)term,
		 addr);
	pull_later(0);
	return true;
}

void repl_init(void)
{
	ev_init(&ship_timer, on_ship);
	ev_init(&apply_timer, on_apply);
	ev_init(&pull_timer, on_pull_timer);
	promoted_at = clk_now();
	shipped = be.m.held;
	arm(&pull_timer, 0);
}
