#include "db_priv.h"

#include "counter.h"
#include "log.h"
#include "settings.h"

#include <stddef.h>

size_t db_waiting(const struct db_member *m)
{
	return jobq_waiting(m->queue);
}

static bool db_is_paced(const struct db_member *m)
{
	return m->db->set->pacing;
}

/* Statements that this proxy itself runs on the member. Those that other
 * proxies run for it wait and are counted there. */
static int db_count_running(const struct db_member *m)
{
	int n = 0;

	for (int i = 0; i < m->nconns; i++)
		n += m->conns[i]->phase == DB_PREPARING ||
		     m->conns[i]->phase == DB_RUNNING;
	return n;
}

void db_begin_fallback(struct db_member *m, struct db_job *j)
{
	j->counts_as_fallback = j->fallback;
	m->fallback_reads += j->fallback;
}

void db_end_fallback(struct db_member *m, struct db_job *j)
{
	m->fallback_reads -= j->counts_as_fallback;
	j->counts_as_fallback = false;
}

static void db_set_load(struct db_member *m, clk_ms now)
{
	jobq_set_load(m->queue, db_limit(m, now), db_count_running(m));
}

static struct db_job *db_job_of(struct jobq_job *q)
{
	return (struct db_job *)((char *)q - offsetof(struct db_job, queued));
}

struct db_job *db_next_job(struct db_member *m, clk_ms now)
{
	struct jobq_job *q;

	db_set_load(m, now);
	q = jobq_next(m->queue, now);
	return q ? db_job_of(q) : NULL;
}

void db_run_queued(struct db_conn *c, struct db_job *j, clk_ms now)
{
	jobq_take(c->member->queue, &j->queued, now);
	db_run(c, j, now);
}

/* Ends a job that waited until the lease of its member had ended. */
void db_refuse_queued(struct db_job *j, clk_ms now)
{
	struct db_result r = {.status = DB_REFUSED,
			      .error = LINE_E_NOT_PRIMARY};

	jobq_remove(j->member->queue, &j->queued, now);
	db_log_without_lease(j->member, j, now);
	db_end_job(j, &r);
}

static void db_end_refusal(struct db_job *j, clk_ms retry_ms)
{
	struct db_result r = {.status = DB_REFUSED,
			      .error = LINE_E_OVERLOAD,
			      .retry_ms = retry_ms};

	db_end_job(j, &r);
}

/* Ends a job that can't end in time. */
static void db_refuse_late(struct db_member *m, struct db_job *j,
			   clk_ms retry_ms, clk_ms now)
{
	if (!m->refusals++) {
		m->refused_first = now;
		log_info("db",
			 "event=overload_begins member=%s priority=%lld "
			 "waiting=%zu running=%d limit=%d service_ms=%.1f",
			 m->info.id, (long long)j->priority, db_waiting(m),
			 db_count_running(m), db_limit(m, now),
			 jobq_service_ms(m->queue, j->priority, now));
	}
	m->refused_last = now;
	db_end_refusal(j, retry_ms);
}

/* The callback of a refused job may start or cancel others, so that each round
 * begins anew. */
static void db_end_refused(struct db_member *m, clk_ms now)
{
	struct jobq_job *q;
	clk_ms retry_ms;

	while ((q = jobq_pop_refused(m->queue, now, &retry_ms)) != NULL) {
		cnt_add(CNT_queue_refused_waiting, 1);
		db_refuse_late(m, db_job_of(q), retry_ms, now);
	}
}

void db_fail_queue(struct db_member *m, struct db_result r, clk_ms now)
{
	size_t n = db_waiting(m);
	struct db_job *j;

	/* Jobs that the callbacks add are left. */
	jobq_start_round(m->queue);
	while (n-- && (j = db_next_job(m, now)) != NULL) {
		jobq_remove(m->queue, &j->queued, now);
		db_end_job(j, &r);
	}
	db_end_refused(m, now);
}

/* Returns an idle connection, preferably one that already has the session
 * values of the job, or else one without any; NULL if none is idle. */
static struct db_conn *db_choose_idle(struct db_member *m,
				      const struct db_job *j)
{
	struct db_conn *best = NULL;
	int best_cost = 0;

	for (int i = 0; i < m->nconns; i++) {
		struct db_conn *c = m->conns[i];
		int cost = 0;

		if (c->phase != DB_IDLE)
			continue;
		if (!c->context.known)
			cost = 2;
		else if (c->context.values_hash != j->ctx->session_values_hash)
			cost = c->context.values_hash ? 2 : 1;
		/* Prefer the one used last, so that surplus connections stay
		 * idle and are closed. */
		if (!best || cost < best_cost ||
		    (cost == best_cost && c->phase_since > best->phase_since)) {
			best = c;
			best_cost = cost;
		}
	}
	return best;
}

/* Returns whether a connection may be opened. After a refusal, only one at a
 * time is tried. */
static bool db_may_open(const struct db_member *m, clk_ms now)
{
	int wanted = m->conn_limit_reached ? 1 : (int)jobq_waiting(m->queue);
	clk_ms waited = now - jobq_oldest(m->queue)->arrived;

	/*
	 * A busy connection often becomes free before a new one is established.
	 * A new one occupies a slot for some ms, and if this proxy keeps all
	 * slots busy already, no statement is served sooner by it.
	 */
	if (m->nconns &&
	    (waited < DB_OPEN_DELAY_MS || m->running >= m->info.slots))
		return false;
	return m->nconns < db_own_connections(m) + DB_EXTRA_CONNS &&
	       m->opening < wanted && now >= m->conn_limit_until &&
	       now >= m->fail_until;
}

/* Assigns idle connections to waiting jobs and opens missing connections. */
static void db_dispatch_any(struct db_member *m, clk_ms now)
{
	struct db_job *j;

	jobq_start_round(m->queue);
	while (db_may_run(m, now) && (j = db_next_job(m, now)) != NULL) {
		bool refused = !db_has_lease(m, j, now);
		struct db_conn *c = refused ? NULL : db_choose_idle(m, j);

		if (!c && !refused)
			break;
		if (refused)
			db_refuse_queued(j, now);
		else
			db_run_queued(c, j, now);
	}
	while (db_waiting(m) && db_may_run(m, now) && db_may_open(m, now))
		if (!db_open(m, "", now))
			return;
}

void db_dispatch(struct db_member *m, clk_ms now)
{
	if (!db_waiting(m))
		return;
	if (db_uses_tenants(m))
		db_dispatch_tenants(m, now);
	else
		db_dispatch_any(m, now);
	db_end_refused(m, now);
	if (db_waiting(m) && !m->nconns && now < m->conn_limit_until)
		db_fail_queue(m,
			      (struct db_result){.status = DB_REFUSED,
						 .error = LINE_E_CONN_LIMIT},
			      now);
}

/* Bounds the reads that no replica can serve, also those of other proxies. */
static enum res db_admit_fallback(struct db_member *m, const struct db_job *j,
				  clk_ms now, clk_ms *retry_ms)
{
	struct rdf_read read = {.arrived = now,
				.deadline = j->deadline,
				.primary_limit = db_limit(m, now),
				.primary_reads = m->fallback_reads};
	struct rdf_decision d;

	if (!j->fallback || !db_is_paced(m))
		return RES_OK;
	d = rdf_decide(&read, m->db->rng, now);
	*retry_ms = d.ms;
	return d.action == RDF_PRIMARY ? RES_OK : RES_NO_REPLICA;
}

void db_start(struct db_member *m, struct db_job *j, clk_ms now)
{
	clk_ms retry_ms = 0;

	j->member = m;
	j->conn = NULL;
	j->opened_conn = false;
	j->sent = false;
	j->queued =
		(struct jobq_job){.priority = j->priority,
				  .tenant = j->tenant,
				  .objective_ms = j->objective_ms,
				  .deadline = db_is_paced(m) ? j->deadline : 0};
	db_set_load(m, now);
	if (db_admit_fallback(m, j, now, &retry_ms)) {
		cnt_add(CNT_queue_refused_fallback, 1);
		db_end_refusal(j, retry_ms);
		return;
	}
	if (jobq_add(m->queue, &j->queued, now, &retry_ms)) {
		cnt_add(CNT_queue_refused_arrived, 1);
		db_refuse_late(m, j, retry_ms, now);
		return;
	}
	db_begin_fallback(m, j);
	db_dispatch(m, now);
}

void db_continue(struct db_conn *c, struct db_job *j, clk_ms now)
{
	c->on_lost = NULL;
	j->queued =
		(struct jobq_job){.priority = j->priority, .tenant = j->tenant};
	db_run(c, j, now);
}

void db_cancel(struct db_job *j)
{
	if (j->member)
		db_end_fallback(j->member, j);
	if (j->conn) {
		j->conn->job = NULL;
		j->conn->phase_since = clk_now();
	} else if (j->member) {
		jobq_remove(j->member->queue, &j->queued, clk_now());
	}
	j->member = NULL;
	j->conn = NULL;
}

void db_learn(const struct db_conn *c, const struct db_job *j, clk_ms now)
{
	const struct db_member *m = c->member;

	/* Without tenants and pacing, the order does not depend on it. */
	if (!db_is_paced(m) && !m->by_tenant && !c->tenant[0])
		return;
	if (j)
		jobq_answered(m->queue, &j->queued, now - c->sent_at, now);
	else
		jobq_learn(m->queue, c->priority, now - c->sent_at, now);
}

static void db_log_refusals_over(struct db_member *m, clk_ms now)
{
	if (!m->refusals || now - m->refused_last < DB_REFUSALS_OVER_MS)
		return;
	log_info("db", "event=overload_over member=%s refused=%llu ms=%lld",
		 m->info.id, (unsigned long long)m->refusals,
		 (long long)(m->refused_last - m->refused_first));
	m->refusals = 0;
}

void db_queue_tick(struct db_member *m, clk_ms now)
{
	if (db_waiting(m) && db_is_paced(m)) {
		db_set_load(m, now);
		jobq_expire(m->queue, now);
		db_end_refused(m, now);
	}
	db_dispatch(m, now);
	db_log_refusals_over(m, now);
}
