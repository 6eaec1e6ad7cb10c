#include "filter_priv.h"

#include "counter.h"
#include "rng.h"
#include "route.h"
#include "settings.h"
#include "view.h"

#include <stdio.h>
#include <string.h>

static bool flt_was_tried(const struct flt_record *r, const char *backend)
{
	for (int i = 0; i < r->ntried; i++)
		if (!strcmp(r->tried[i], backend))
			return true;
	return false;
}

static struct exec_routing_info flt_hint(struct flt *f, const char *backend,
					 clk_ms now)
{
	if (!f->hint)
		return (struct exec_routing_info){.applied_age_ms = -1,
						  .healthy = true};
	return f->hint(f->hint_arg, backend, now);
}

static int flt_candidates(struct flt *f, const struct flt_record *r,
			  struct route_candidate *c, clk_ms now)
{
	const struct group_info *g = view_group(f->view, r->rq.group);
	const struct backend_info *b;
	size_t n;
	int count = 0;

	b = view_backends(f->view, &n);
	for (size_t i = 0; i < n && count < ROUTE_MAX_CANDIDATES; i++) {
		if (strcmp(b[i].group, r->rq.group))
			continue;
		c[count++] = (struct route_candidate){
			.backend = &b[i],
			.hint = flt_hint(f, b[i].id, now),
			.primary = g && !strcmp(g->primary, b[i].id),
			.local = !strcmp(b[i].zone, f->set->zone),
			.tried = flt_was_tried(r, b[i].id)};
	}
	return count;
}

static int64_t flt_kind_flags(const struct flt_record *r)
{
	int64_t flags = r->rq.flags;

	if (r->must_be_current && r->rq.kind == RUN_READ)
		flags |= RUN_REQUIRE_LEASE;
	if (r->majority && r->rq.kind != RUN_READ)
		flags |= RUN_WAIT_MAJORITY;
	if (r->rq.request_id && r->rq.request_id[0] &&
	    (r->rq.kind == RUN_WRITE || r->rq.kind == RUN_BEGIN))
		flags |= RUN_RECORD_REQUEST_ID;
	return flags;
}

static void flt_run(struct flt *f, struct flt_record *r, const char *backend,
		    clk_ms now)
{
	const struct group_info *g = view_group(f->view, r->rq.group);
	const struct flt_request *rq = &r->rq;
	struct flt_action *a = flt_add_action(f, FLT_RUN, r->id);
	struct msg_run *run = &a->u.run;
	const struct tok_entry *e = NULL;

	if (rq->token)
		e = tok_find(rq->token, rq->group);
	*run = (struct msg_run){
		.kind = rq->kind,
		.flags = flt_kind_flags(r),
		.priority = r->priority,
		.weight = r->weight,
		.term = rq->pin ? rq->pin_term : (g ? g->term : 0),
		.min_term = e ? e->term : 0,
		.min_position = e ? e->position : 0,
		.max_age_ms = r->max_age_ms,
		.wait_limit_ms = r->deadline > now ? r->deadline - now : 0,
		.answer_timeout_ms = FLT_STATEMENT_TIMEOUT_MS,
		.fingerprint = rq->fingerprint,
		.pinned_conn_id = rq->pin,
		.sql = rq->sql,
		.params = rq->params,
		.nparams = rq->nparams,
		.result_format = rq->result_format};
	snprintf(run->group, sizeof(run->group), "%s", rq->group);
	snprintf(run->backend, sizeof(run->backend), "%s", backend);
	snprintf(run->customer, sizeof(run->customer), "%s", rq->customer);
	if (rq->request_id)
		snprintf(run->request_id, sizeof(run->request_id), "%s",
			 rq->request_id);
	flt_set_phase(f, r, FLT_RUNNING);
}

/* Filter "route" for requests that only the primary may serve. */
static void flt_route_primary(struct flt *f, struct flt_record *r, clk_ms now)
{
	const struct group_info *g = view_group(f->view, r->rq.group);
	const struct backend_info *b = NULL;

	if (g && g->primary[0])
		b = view_backend(f->view, g->primary);
	if (!b) {
		flt_delay(f, r, RES_NO_PRIMARY, FLT_REROUTE_MS, now);
		return;
	}
	if (!view_lease_valid(f->view, g->name, g->term, now)) {
		flt_delay(f, r, RES_NO_LEASE, FLT_REROUTE_MS, now);
		return;
	}
	r->on_primary = true;
	flt_run(f, r, b->id, now);
}

static struct route_requirement flt_requirement(const struct flt_record *r)
{
	const struct tok_entry *e = NULL;

	if (r->rq.token)
		e = tok_find(r->rq.token, r->rq.group);
	return (struct route_requirement){
		.term = e ? e->term : 0,
		.position = e ? e->position : 0,
		.token_seen = e ? r->rq.token_first_seen : 0,
		.max_age_ms = r->max_age_ms};
}

/* Filter "route" for reads that a replica may serve. */
static void flt_route_read(struct flt *f, struct flt_record *r, clk_ms now)
{
	struct route_candidate c[ROUTE_MAX_CANDIDATES];
	struct route_requirement need = flt_requirement(r);
	int n = flt_candidates(f, r, c, now);
	int pick =
		route_choose_read(c, n, &need, now, rng_uniform_unit(f->rng));

	if (!r->counted_eligible && route_replica_eligible(c, n, &need, now)) {
		cnt_add(CNT_reads_replica_eligible, 1);
		r->counted_eligible = true;
	}
	if (pick < 0) {
		/* No member is usable or untried. After a pause, replicas may
		 * have caught up or a primary may be known. */
		r->ntried = 0;
		flt_delay(f, r,
			  r->last_result ? r->last_result : RES_NO_REPLICA,
			  FLT_REROUTE_MS, now);
		return;
	}
	r->on_primary = c[pick].primary;
	flt_run(f, r, c[pick].backend->id, now);
}

void flt_route(struct flt *f, struct flt_record *r, clk_ms now)
{
	if (r->rq.pin) {
		r->on_primary = true;
		flt_run(f, r, r->rq.pin_backend, now);
		return;
	}
	switch (r->rq.kind) {
	case RUN_READ:
	case RUN_DESCRIBE:
		if (!r->must_be_current || r->rq.kind == RUN_DESCRIBE) {
			flt_route_read(f, r, now);
			return;
		}
		break;
	case RUN_WRITE:
	case RUN_IN_TXN:
	case RUN_BEGIN:
		break;
	}
	flt_route_primary(f, r, now);
}
