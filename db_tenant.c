#include "db_priv.h"

#include "conn_choice.h"
#include "counter.h"

#include <stdlib.h>
#include <string.h>

/* A connection without a transaction that is in use becomes free with the
 * answer. */
static enum cch_state tenant_conn_state(const struct db_conn *c)
{
	switch (c->phase) {
	case DB_CONNECTING:
		return CCH_OPENING;
	case DB_IDLE:
		return CCH_IDLE;
	case DB_KEPT:
		return CCH_IN_TXN;
	case DB_PREPARING:
	case DB_RUNNING:
		if (c->job && !c->job->rollback &&
		    (c->txn != 'I' || c->job->begin))
			return CCH_IN_TXN;
		return CCH_BUSY;
	case DB_ENDING:
		break;
	}
	return CCH_BUSY;
}

static enum cch_values tenant_values(const struct db_conn *c,
				     const struct db_job *j)
{
	if (!j || (c->context.known &&
		   c->context.values_hash == j->ctx->session_values_hash))
		return CCH_VALUES_SAME;
	return c->context.known && !c->context.values_hash ? CCH_VALUES_NONE
							   : CCH_VALUES_OTHER;
}

/* Returns the table of the member's connections, in their order, to be freed;
 * j may be NULL. */
static struct cch_conn *tenant_list_conns(const struct db_member *m,
					  const struct db_job *j)
{
	struct cch_conn *list = calloc((size_t)m->nconns + 1, sizeof(*list));

	if (!list)
		abort();
	for (int i = 0; i < m->nconns; i++) {
		const struct db_conn *c = m->conns[i];

		list[i] = (struct cch_conn){.tenant = c->tenant,
					    .state = tenant_conn_state(c),
					    .idle_since = c->phase_since,
					    .used = c->used,
					    .values = tenant_values(c, j)};
	}
	return list;
}

/* A member that has refused a connection gets a new one only in the place of
 * another, if one is idle, and one at a time. */
static struct cch_pool tenant_pool(const struct db_member *m,
				   const struct cch_conn *conns, clk_ms now)
{
	int own = db_own_connections(m);
	bool may_open = now >= m->conn_limit_until && now >= m->fail_until;

	return (struct cch_pool){
		.conns = conns,
		.n = m->nconns,
		.share = m->conn_limit_reached && m->nconns < own ? m->nconns
								  : own,
		.extra = DB_EXTRA_CONNS,
		.opening_max = !may_open	       ? 0
			       : m->conn_limit_reached ? 1
						       : CCH_OPENING_MAX,
		.slots_busy = m->running >= m->info.slots};
}

static struct cch_choice tenant_choose(const struct db_member *m,
				       const struct db_job *j, clk_ms now)
{
	struct cch_conn *conns = tenant_list_conns(m, j);
	struct cch_pool pool = tenant_pool(m, conns, now);
	struct jobq_tenant_jobs all = jobq_jobs_of_tenant(&j->queued, now);
	struct cch_job job = {.tenant = j->tenant,
			      .waiting = all.n,
			      .waited_ms = all.waited_ms};
	struct cch_choice choice = cch_choose(&pool, &job, now);

	free(conns);
	return choice;
}

bool db_uses_tenants(const struct db_member *m)
{
	if (m->by_tenant)
		return true;
	for (int i = 0; i < m->nconns; i++)
		if (m->conns[i]->tenant[0])
			return true;
	return jobq_has_tenants(m->queue);
}

/* Runs the job or opens a connection for it. The jobs of a tenant that must
 * wait for a connection are left out of this round, so that they don't hold up
 * those of other tenants. Returns false if the member can't be reached. */
static bool tenant_advance(struct db_member *m, struct db_job *j, clk_ms now)
{
	struct cch_choice choice = tenant_choose(m, j, now);

	switch (choice.action) {
	case CCH_USE:
		if (!j->opened_conn)
			cnt_add(CNT_backend_conn_found, 1);
		db_run_queued(m->conns[choice.conn], j, now);
		return true;
	case CCH_REPLACE:
		/* The member counts both, so the old one is closed first. */
		cnt_add(CNT_backend_conn_replaced, 1);
		db_conn_free(m->conns[choice.conn]);
		break;
	case CCH_OPEN:
		break;
	case CCH_WAIT:
		jobq_skip_tenant(m->queue, &j->queued);
		return true;
	}
	j->opened_conn = true;
	jobq_skip_tenant(m->queue, &j->queued);
	/* If this fails, it ends all waiting jobs. */
	return db_open(m, j->tenant, now) != NULL;
}

void db_dispatch_tenants(struct db_member *m, clk_ms now)
{
	struct db_job *j;
	bool reachable = true;

	jobq_start_round(m->queue);
	while (reachable && db_may_run(m, now) &&
	       (j = db_next_job(m, now)) != NULL) {
		if (db_has_lease(m, j, now))
			reachable = tenant_advance(m, j, now);
		else
			db_refuse_queued(j, now);
	}
}

void db_close_extra(struct db_member *m, clk_ms now)
{
	int spare = 0;

	while (spare >= 0 && m->nconns > db_own_connections(m)) {
		struct cch_conn *conns = tenant_list_conns(m, NULL);
		struct cch_pool pool = tenant_pool(m, conns, now);

		spare = cch_find_spare(&pool, NULL, DB_EXTRA_IDLE_MS, now);
		if (spare >= 0)
			db_conn_free(m->conns[spare]);
		free(conns);
	}
}

static bool tenant_is_first(const struct db_member *m, int i)
{
	for (int k = 0; k < i; k++)
		if (!strcmp(m->conns[k]->tenant, m->conns[i]->tenant))
			return false;
	return true;
}

struct db_conn_counts db_count_conns(const struct db_member *m)
{
	struct db_conn_counts n = {0};

	for (int i = 0; i < m->nconns; i++) {
		n.tenants += tenant_is_first(m, i);
		switch (tenant_conn_state(m->conns[i])) {
		case CCH_OPENING:
			n.opening++;
			break;
		case CCH_IDLE:
			n.idle++;
			break;
		case CCH_BUSY:
			n.busy++;
			break;
		case CCH_IN_TXN:
			n.in_txn++;
			break;
		}
	}
	return n;
}
