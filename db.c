#include "db_priv.h"

#include "counter.h"
#include "log.h"
#include "rng.h"
#include "settings.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

/* response time assumed before the first answer */
enum { DB_FIRST_RESPONSE_MS = 10 };

/* Weight of the newest answer in the moving average of response times. */
#define DB_RESPONSE_WEIGHT 0.1

/* Weight by which the response time without load follows a higher average: half
 * of the difference in about 700 answers. */
#define DB_QUIET_WEIGHT 0.001

struct db *db_new(struct ev_loop *loop, const struct settings *set)
{
	struct db *d = calloc(1, sizeof(*d));
	uint64_t seed = (uint64_t)set->seed;

	if (!d)
		abort();
	if (!seed)
		randombytes_buf(&seed, sizeof(seed));
	d->loop = loop;
	d->set = set;
	d->rng = rng_new(seed);
	return d;
}

void db_free(struct db *d)
{
	if (!d)
		return;
	for (size_t i = 0; i < d->nmembers; i++) {
		struct db_member *m = d->members[i];

		while (m->nconns)
			db_conn_free(m->conns[m->nconns - 1]);
		free(m->conns);
		jobq_free(m->queue);
		free(m);
	}
	rng_free(d->rng);
	free(d->members);
	free(d);
}

size_t db_members(const struct db *d, struct db_member ***out)
{
	*out = d->members;
	return d->nmembers;
}

struct db_member *db_find(const struct db *d, const char *id)
{
	for (size_t i = 0; i < d->nmembers; i++)
		if (!strcmp(d->members[i]->info.id, id))
			return d->members[i];
	return NULL;
}

size_t db_connections(const struct db *d)
{
	size_t n = 0;

	for (size_t i = 0; i < d->nmembers; i++)
		n += (size_t)d->members[i]->nconns;
	return n;
}

static void db_log_member(const struct backend_info *b)
{
	log_info("db",
		 "event=member id=%s group=%s addr=%s primary=%d leaving=%d "
		 "silent=%d version=%lld",
		 b->id, b->group, b->addr, b->announced_primary, b->leaving,
		 b->announcements_stopped, (long long)b->version);
}

static struct db_member *db_add(struct db *d, const struct backend_info *b)
{
	struct db_member *m = calloc(1, sizeof(*m));

	d->members =
		realloc(d->members, (d->nmembers + 1) * sizeof(*d->members));
	if (!m || !d->members)
		abort();
	m->db = d;
	m->info = *b;
	m->queue = jobq_new(d->rng);
	db_log_member(b);
	m->own_conns_percent = 100;
	m->sharing_proxies = 1;
	m->lease_until = CLK_NEVER;
	m->response_ms = DB_FIRST_RESPONSE_MS;
	m->unloaded_response_ms = DB_FIRST_RESPONSE_MS;
	m->backoff = DB_BACKOFF_MS;
	d->members[d->nmembers++] = m;
	return m;
}

/* Closes idle connections, which belong to an earlier incarnation of the member
 * and can't be used any more. */
static void db_close_idle(struct db_member *m)
{
	for (int i = m->nconns - 1; i >= 0; i--)
		if (m->conns[i]->phase == DB_IDLE)
			db_conn_free(m->conns[i]);
}

void db_update(struct db *d, const struct backend_info *list, size_t n)
{
	for (size_t i = 0; i < d->nmembers; i++)
		d->members[i]->in_roster = false;
	for (size_t i = 0; i < n; i++) {
		struct db_member *m = db_find(d, list[i].id);

		if (!m)
			m = db_add(d, &list[i]);
		if (m->info.version != list[i].version)
			db_log_member(&list[i]);
		if (m->info.incarnation != list[i].incarnation ||
		    strcmp(m->info.addr, list[i].addr) != 0) {
			db_close_idle(m);
			m->fail_until = 0;
		}
		m->info = list[i];
		m->in_roster = true;
		if (!m->info.leaving)
			m->leaving_since = 0;
		else if (!m->leaving_since)
			m->leaving_since = clk_now();
	}
}

struct db_member *db_member_of(const struct db_conn *c)
{
	return c->member;
}

void db_note_received(struct db_member *m, clk_ms now)
{
	m->last_received = now;
	m->down = false;
	m->waiting_since = m->running ? now : 0;
}

bool db_is_unresponsive(const struct db_member *m, clk_ms now)
{
	return m->waiting_since && now - m->waiting_since >= DB_SUSPECT_MS;
}

bool db_is_failing(const struct db_member *m, clk_ms now)
{
	return m->failures >= DB_FAILURES &&
	       m->failed_last - m->failed_first >= DB_SUSPECT_MS &&
	       now - m->failed_last < DB_FAILURES_EXPIRE_MS;
}

static void db_count_failure(struct db_member *m, clk_ms now)
{
	if (!m->failures || now - m->failed_last >= DB_FAILURES_EXPIRE_MS) {
		m->failures = 0;
		m->failed_first = now;
	}
	m->failures++;
	m->failed_last = now;
	if (!db_is_failing(m, now))
		return;
	if (now >= m->fail_until)
		log_info("db", "event=member_fails id=%s failures=%d ms=%lld",
			 m->info.id, m->failures,
			 (long long)(now - m->failed_first));
	m->fail_until = now + DB_FAILING_RETRY_MS;
}

bool db_is_behind(const struct db_member *m, struct pos need, clk_ms now)
{
	return now < m->behind_until && pos_cmp(need, m->missing_pos) >= 0;
}

static void db_record_behind(struct db_member *m, const struct db_job *j,
			     const struct db_result *r, clk_ms now)
{
	if (r->status == DB_DONE &&
	    pos_cmp(j->required_pos, m->missing_pos) >= 0)
		m->behind_pause = 0;
	if (r->status != DB_REFUSED || r->error != LINE_E_BEHIND)
		return;
	m->behind_pause =
		m->behind_pause ? 2 * m->behind_pause : DB_BEHIND_PAUSE_MS;
	if (m->behind_pause > DB_BEHIND_PAUSE_MAX_MS)
		m->behind_pause = DB_BEHIND_PAUSE_MAX_MS;
	m->behind_until = now + m->behind_pause;
	m->missing_pos = j->required_pos;
}

/* Counts success or failure of a statement that was sent. A refusal because
 * of the member's state (busy, behind, not primary) says nothing about its
 * health. */
static void db_record_outcome(struct db_member *m, const struct db_result *r,
			      clk_ms now)
{
	if (!r->sent)
		return;
	switch (r->status) {
	case DB_DONE:
		m->failures = 0;
		break;
	case DB_REFUSED:
		if (r->error == LINE_E_OTHER)
			db_count_failure(m, now);
		break;
	case DB_LOST:
		db_count_failure(m, now);
		break;
	}
}

static void db_record_busy(struct db_member *m, const struct db_result *r,
			   clk_ms now)
{
	if (r->status != DB_REFUSED || r->error != LINE_E_BUSY)
		return;
	m->busy_until = now + DB_BUSY_PAUSE_MS;
	m->overloaded_until = now + DB_OVERLOADED_MS;
}

static void db_record_result(struct db_member *m, const struct db_job *j,
			     const struct db_result *r, clk_ms now)
{
	db_record_outcome(m, r, now);
	db_record_busy(m, r, now);
	db_record_behind(m, j, r, now);
}

void db_end_job(struct db_job *j, struct db_result *r)
{
	struct db_member *m = j->member;

	j->member = NULL;
	j->conn = NULL;
	db_end_fallback(m, j);
	db_record_result(m, j, r, clk_now());
	j->done(j, r);
}

void db_statement_started(struct db_member *m, clk_ms now)
{
	if (!m->running++)
		m->waiting_since = now;
}

void db_statement_ended(struct db_member *m)
{
	if (!--m->running)
		m->waiting_since = 0;
}

void db_record_response_time(struct db_member *m, clk_ms ms)
{
	m->response_ms += ((double)ms - m->response_ms) * DB_RESPONSE_WEIGHT;
	if (m->response_ms < m->unloaded_response_ms)
		m->unloaded_response_ms = m->response_ms;
	else
		m->unloaded_response_ms +=
			(m->response_ms - m->unloaded_response_ms) *
			DB_QUIET_WEIGHT;
}

void db_record_relayed_end(struct db_member *m, struct db_job *j,
			   const struct db_result *r, clk_ms now)
{
	db_statement_ended(m);
	db_end_fallback(m, j);
	db_record_result(m, j, r, now);
	if (r->status == DB_LOST) {
		if (!r->sent)
			db_connect_failed(m, now);
		return;
	}
	db_note_received(m, now);
	m->pos = pos_max(m->pos, r->pos);
	if (r->status == DB_DONE)
		db_record_response_time(m, now - r->sent_at);
}

void db_connect_failed(struct db_member *m, clk_ms now)
{
	cnt_add(CNT_backend_connect_failures, 1);
	m->down = true;
	m->fail_until = now + m->backoff;
	m->backoff *= 2;
	if (m->backoff > DB_BACKOFF_MAX_MS)
		m->backoff = DB_BACKOFF_MAX_MS;
	db_fail_queue(m, (struct db_result){.status = DB_LOST}, now);
}

void db_forget_conn(struct db_conn *c)
{
	struct db_member *m = c->member;

	for (int i = 0; i < m->nconns; i++) {
		if (m->conns[i] != c)
			continue;
		m->conns[i] = m->conns[--m->nconns];
		return;
	}
}

int db_own_connections(const struct db_member *m)
{
	return m->own_conns_percent >= 100 ? m->own_conns_percent / 100 : 1;
}

static bool db_is_overloaded(const struct db_member *m, clk_ms now)
{
	return now < m->overloaded_until ||
	       m->response_ms > DB_OVERLOADED_FACTOR * m->unloaded_response_ms;
}

/* True if a limit would be less than one statement for each proxy, so that none
 * applies now. */
static bool db_is_unlimited(const struct db_member *m, clk_ms now)
{
	return DB_STATEMENTS_PER_SLOT * m->info.slots < m->sharing_proxies &&
	       !db_is_overloaded(m, now);
}

int db_limit(const struct db_member *m, clk_ms now)
{
	int slots = (int)m->info.slots;
	int all = DB_STATEMENTS_PER_SLOT * slots;
	int equal = (all + m->sharing_proxies - 1) / m->sharing_proxies;
	int tenants = DB_TENANT_STATEMENTS_PER_SLOT * slots;

	if (db_is_unlimited(m, now))
		return slots;
	if (m->by_tenant && !db_is_overloaded(m, now) && equal < tenants)
		return tenants;
	return equal > 0 ? equal : 1;
}

bool db_may_run(const struct db_member *m, clk_ms now)
{
	/* Where tenants share connections, many are opened anew, and each
	 * occupies a slot meanwhile. */
	int used = m->running + (m->by_tenant ? m->opening : 0);

	return db_is_unlimited(m, now) || !m->running ||
	       used < db_limit(m, now);
}

bool db_has_lease(const struct db_member *m, const struct db_job *j, clk_ms now)
{
	return !j->needs_lease || now < m->lease_until;
}

void db_on_lost(struct db_conn *c, void (*lost)(void *arg), void *arg)
{
	c->on_lost = lost;
	c->lost_arg = arg;
}

/* A failed member is also tried without a waiting job, so that the failure
 * which this proxy reports does not outlast the actual one. */
static bool db_should_test(const struct db_member *m, clk_ms now)
{
	return m->down && m->in_roster && !m->info.leaving &&
	       !m->info.announcements_stopped && !m->opening &&
	       now >= m->fail_until && now >= m->conn_limit_until;
}

static void db_tick_member(struct db_member *m, clk_ms now)
{
	for (int i = m->nconns - 1; i >= 0; i--)
		if (i < m->nconns)
			db_conn_tick(m->conns[i], now);
	if (m->by_tenant)
		db_close_extra(m, now);
	db_queue_tick(m, now);
	if (db_should_test(m, now))
		db_open(m, "", now);
}

void db_tick(struct db *d, clk_ms now)
{
	for (size_t i = 0; i < d->nmembers; i++)
		db_tick_member(d->members[i], now);
}
