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
	LOG_END_MARK_INTERVAL_MS = 5 /* minimum, in log_end_marks */
};

/* Last acknowledgement that the primary received from a replica. */
struct ack {
	char id[ID_LEN];
	int64_t last_pos;
	int64_t log_term;
	clk_ms received_at;
};

static struct ack acks[MAX_MEMBERS];
static int nacks;
static clk_ms promoted_at;

/* Primary: commits that replicas may not receive before ship_ms has passed. */
static struct marks delayed_commits;
static int64_t visible_pos; /* last position that they may receive */
static ev_timer ship_timer;

/*
 * Replica. delayed_entries: received entries, which are applied after lag_ms,
 * and when they arrived. log_end_marks: the position at which the primary's log
 * ended according to an answer, and when the request was sent. Once all entries
 * up to that position are applied, the data is at least as new as that time.
 */
static struct marks delayed_entries;
static struct marks log_end_marks;
/* The applied data is at least as new as this time; 0 if that is not known. */
static clk_ms fresh_as_of;
static ev_timer apply_timer;
static ev_timer pull_timer;
static struct client *puller; /* connection to the primary */
static clk_ms pull_sent;

static void start_timer(ev_timer *t, clk_ms ms)
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
	marks_pop_until_time(&delayed_commits, clk_now() - be.opt.ship_ms,
			     &visible_pos);
	due = marks_first_time(&delayed_commits);
	if (due)
		start_timer(t, due + be.opt.ship_ms - clk_now());
	fn_complete_ready();
}

void repl_committed(void)
{
	clk_ms now = clk_now();

	if (!be.opt.ship_ms) {
		visible_pos = be.m.last_pos;
		fn_complete_ready();
		return;
	}
	marks_add(&delayed_commits, be.m.last_pos, now);
	if (!ev_is_active(&ship_timer))
		start_timer(&ship_timer, be.opt.ship_ms);
	/* In a group of one member no acknowledgement will follow, so waiting
	 * functions are completed here. */
	fn_complete_ready();
}

int64_t repl_visible_position(void)
{
	return visible_pos;
}

void repl_acknowledge(const char *id, int64_t last_pos, int64_t log_term)
{
	int i;

	for (i = 0; i < nacks && strcmp(acks[i].id, id); i++)
		;
	if (i == MAX_MEMBERS)
		return;
	if (i == nacks)
		nacks++;
	snprintf(acks[i].id, sizeof(acks[i].id), "%s", id);
	acks[i].last_pos = last_pos;
	acks[i].log_term = log_term;
	acks[i].received_at = clk_now();
	fn_complete_ready();
}

static int compare_descending(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x < y) - (x > y);
}

/* The highest value that a majority of the group has reached, where values are
 * those of the other members; -1 if too few members are known. */
static int64_t majority_of(int64_t *values, int n, int64_t own)
{
	int others = be.opt.members / 2;

	if (!others)
		return own;
	if (n < others)
		return -1;
	qsort(values, (size_t)n, sizeof(*values), compare_descending);
	return values[others - 1] < own ? values[others - 1] : own;
}

int64_t repl_majority_position(void)
{
	int64_t v[MAX_MEMBERS];
	int n = 0;

	for (int i = 0; i < nacks; i++)
		if (acks[i].log_term == be.m.term)
			v[n++] = acks[i].last_pos;
	return majority_of(v, n, be.m.last_pos);
}

clk_ms repl_majority_age(void)
{
	clk_ms now = clk_now();
	int64_t v[MAX_MEMBERS];
	clk_ms received_at;

	if (be.m.role != ROLE_PRIMARY)
		return -1;
	for (int i = 0; i < nacks; i++)
		v[i] = acks[i].received_at;
	received_at = majority_of(v, nacks, now);
	return now - (received_at > promoted_at ? received_at : promoted_at);
}

/* ---- replica ---- */

clk_ms repl_data_age(void)
{
	if (be.m.role == ROLE_PRIMARY)
		return 0;
	return fresh_as_of ? clk_now() - fresh_as_of : -1;
}

static void stop_pull(void)
{
	client_free(puller);
	puller = NULL;
	ev_timer_stop(be.loop, &pull_timer);
}

static void schedule_pull(clk_ms ms)
{
	stop_pull();
	start_timer(&pull_timer, ms);
}

static void reset_replica_state(void)
{
	stop_pull();
	marks_clear(&delayed_entries);
	marks_clear(&log_end_marks);
	ev_timer_stop(be.loop, &apply_timer);
}

/* Deletes the data and pulls the whole log again, because the log of this
 * member is not a prefix of the primary's or could not be applied. */
static void rebuild(void)
{
	log_warn("repl", "rebuilding held=%lld term=%lld",
		 (long long)be.m.last_pos, (long long)be.m.term);
	reset_replica_state();
	fresh_as_of = 0;
	conn_close_all();
	store_wipe();
	schedule_pull(0);
}

static void apply_due_entries(void)
{
	int64_t pos = be.m.applied_pos;

	marks_pop_until_time(&delayed_entries, clk_now() - be.opt.lag_ms, &pos);
	if (!store_apply(pos)) {
		rebuild();
		return;
	}
	marks_pop_until_pos(&log_end_marks, be.m.applied_pos, &fresh_as_of);
	if (marks_first_time(&delayed_entries))
		start_timer(&apply_timer, marks_first_time(&delayed_entries) +
						  be.opt.lag_ms - clk_now());
}

static void on_apply(struct ev_loop *loop, ev_timer *t, int events)
{
	(void)loop;
	(void)t;
	(void)events;
	apply_due_entries();
}

static void send_pull(void)
{
	const struct member *m = &be.m;
	char sql[320];

	snprintf(sql, sizeof(sql),
		 "SELECT * FROM marjoramlatch_pull('%s', %lld, %lld, %lld, "
		 "%lld, %lld)",
		 be.opt.id, (long long)m->last_pos, (long long)m->last_term,
		 (long long)m->log_term, (long long)m->fence,
		 (long long)m->term);
	pull_sent = clk_now();
	client_query(puller, sql);
}

static int64_t int_field(PGresult *r, int row, int col)
{
	return strtoll(PQgetvalue(r, row, col), NULL, 10);
}

/* Makes the received entries durable before they are acknowledged. */
static bool store_received_rows(PGresult *r, int64_t start)
{
	int n = PQntuples(r);

	if (n == 1 && be.m.log_term == be.m.term)
		return true;
	if (!store_exec(be.db, "BEGIN IMMEDIATE"))
		return false;
	for (int i = 1; i < n; i++)
		if (!store_receive(int_field(r, i, 0), int_field(r, i, 1),
				   PQgetvalue(r, i, 2)))
			return false;
	if (be.m.last_pos >= start && be.m.log_term != be.m.term &&
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
	    int_field(r, 0, 1) != be.m.term) {
		schedule_pull(PULL_RETRY_MS);
		return;
	}
	end = int_field(r, 0, 0);
	if (end < 0) {
		rebuild();
		return;
	}
	if (!store_received_rows(r, int_field(r, 0, 2))) {
		log_error("repl", "storing entries failed error=\"%s\"",
			  sqlite3_errmsg(be.db));
		exit(1);
	}
	if (PQntuples(r) > 1)
		marks_add(&delayed_entries, be.m.last_pos, now);
	if (pull_sent - marks_last_time(&log_end_marks) >=
	    LOG_END_MARK_INTERVAL_MS)
		marks_add(&log_end_marks, end, pull_sent);
	send_pull();
	apply_due_entries();
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
	schedule_pull(PULL_RETRY_MS);
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
	fresh_as_of = 0;
	marks_clear(&delayed_commits);
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
		 (long long)be.m.last_pos);
	fn_complete_ready();
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
	visible_pos = be.m.last_pos;
	log_info("repl", "promoted term=%lld start=%lld", (long long)term,
		 (long long)be.m.term_start);
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
	reset_replica_state();
	if (!store_apply(be.m.last_pos) ||
	    !store_set_log_term(term, be.m.last_pos))
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
	marks_clear(&log_end_marks);
	log_info("repl", "following term=%lld primary=%s", (long long)term,
		 addr);
	schedule_pull(0);
	return true;
}

void repl_init(void)
{
	ev_init(&ship_timer, on_ship);
	ev_init(&apply_timer, on_apply);
	ev_init(&pull_timer, on_pull_timer);
	promoted_at = clk_now();
	visible_pos = be.m.last_pos;
	start_timer(&pull_timer, 0);
}
