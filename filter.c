#include "filter.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#include "admit.h"
#include "counter.h"
#include "exec.h"
#include "lists.h"
#include "quota.h"
#include "retry.h"
#include "rng.h"
#include "route.h"
#include "settings.h"
#include "view.h"

enum {
	FLT_TICK_MS = 5, /* how often waiting requests are looked at */
	FLT_PARK_MS = 20, /* pause before looking again for a primary */
	FLT_STATEMENT_MS = 30000, /* bound of one statement's run time */
	FLT_MAX_TRIED = 8
};

enum flt_phase {
	FLT_NEW,
	FLT_QUEUED, /* waits for a unit of the customer's limit */
	FLT_PARKED, /* holds a unit; waits for a primary or a retry pause */
	FLT_RUNNING, /* handed to exec */
	FLT_ENDED /* its FLT_DONE is in the action queue */
};

struct flt_record {
	struct admit_entry entry; /* must be first: see flt_of_entry() */
	int64_t id;
	struct flt_request rq;
	enum flt_phase phase;
	struct admit_customer *customer;
	clk_ms submitted;
	clk_ms unit_since; /* when the unit was taken */
	clk_ms deadline; /* the request may wait until then */
	clk_ms due; /* FLT_PARKED: when to look again */
	clk_ms max_age_ms; /* 0: must be current */
	int64_t priority;
	int64_t weight;
	int64_t retry_percent;
	bool majority;
	bool has_unit;
	bool current; /* read on the primary under the lease */
	bool counted; /* in the share of reads served by replicas */
	bool on_primary; /* the attempt that runs */
	int retries;
	enum res last; /* why the last attempt did not run */
	char tried[FLT_MAX_TRIED][ID_LEN];
	int ntried;
	UT_hash_handle hh;
};

struct flt {
	const struct settings *set;
	struct view *view;
	struct quota_client *quota;
	struct admit *admit;
	struct rng *rng;
	struct flt_record *records;
	int64_t next_id;
	struct flt_action *actions; /* ring */
	size_t first, count, cap;
	bool wants_quota;
	int64_t waiting; /* records in FLT_QUEUED or FLT_PARKED */
	clk_ms ticked;
	struct exec_hint (*hint)(void *arg, const char *backend, clk_ms now);
	void *hint_arg;
};

struct flt *flt_new(const struct settings *set, struct view *view,
		    struct quota_client *quota, uint64_t seed)
{
	struct flt *f = calloc(1, sizeof(*f));

	if (!f)
		abort();
	f->set = set;
	f->view = view;
	f->quota = quota;
	f->admit = admit_new();
	f->rng = rng_new(seed);
	f->next_id = 1;
	return f;
}

void flt_free(struct flt *f)
{
	struct flt_record *r;
	struct flt_record *next;

	if (!f)
		return;
	HASH_ITER (hh, f->records, r, next) {
		HASH_DEL(f->records, r);
		free(r);
	}
	admit_free(f->admit);
	rng_free(f->rng);
	free(f->actions);
	free(f);
}

void flt_set_hints(struct flt *f,
		   struct exec_hint (*fn)(void *arg, const char *backend,
					  clk_ms now),
		   void *arg)
{
	f->hint = fn;
	f->hint_arg = arg;
}

static struct flt_action *flt_push(struct flt *f, enum flt_action_kind kind,
				   int64_t id)
{
	struct flt_action *a;

	if (f->count == f->cap) {
		size_t cap = f->cap ? f->cap * 2 : 16;
		struct flt_action *ring = malloc(cap * sizeof(*ring));

		if (!ring)
			abort();
		for (size_t i = 0; i < f->count; i++)
			ring[i] = f->actions[(f->first + i) % f->cap];
		free(f->actions);
		f->actions = ring;
		f->first = 0;
		f->cap = cap;
	}
	a = &f->actions[(f->first + f->count++) % f->cap];
	memset(a, 0, sizeof(*a));
	a->kind = kind;
	a->id = id;
	return a;
}

bool flt_poll(struct flt *f, struct flt_action *out)
{
	if (!f->count)
		return false;
	*out = f->actions[f->first];
	if (out->kind == FLT_DONE && out->u.end.text.data)
		out->u.end.text.data = out->text;
	f->first = (f->first + 1) % f->cap;
	f->count--;
	return true;
}

static int64_t flt_units(struct flt *f, const char *customer, clk_ms now)
{
	return quota_client_units(f->quota, customer, now);
}

static bool flt_waits(enum flt_phase phase)
{
	return phase == FLT_QUEUED || phase == FLT_PARKED;
}

static void flt_enter(struct flt *f, struct flt_record *r, enum flt_phase phase)
{
	f->waiting += flt_waits(phase) - flt_waits(r->phase);
	r->phase = phase;
}

static void flt_forget(struct flt *f, struct flt_record *r)
{
	flt_enter(f, r, FLT_ENDED);
	admit_remove(r->customer, &r->entry);
	HASH_DEL(f->records, r);
	free(r);
}

static void flt_start_admitted(struct flt *f, struct flt_record *r, clk_ms now);

static struct flt_record *flt_of_entry(struct admit_entry *e)
{
	return (struct flt_record *)e;
}

/* Lets queued requests of a customer take units that became free. */
static void flt_pump(struct flt *f, struct admit_customer *c, clk_ms now)
{
	int64_t units = flt_units(f, c->name, now);
	struct admit_entry *e;

	while ((e = admit_next(c, units)) != NULL) {
		struct flt_record *r = flt_of_entry(e);

		r->has_unit = true;
		r->unit_since = now;
		flt_start_admitted(f, r, now);
	}
	if (c->queued)
		f->wants_quota = true;
}

static void flt_give_back(struct flt *f, struct flt_record *r, clk_ms now)
{
	if (!r->has_unit)
		return;
	r->has_unit = false;
	admit_release(r->customer, now - r->unit_since);
	flt_pump(f, r->customer, now);
}

/* Ends a request with an end that came from exec or was made here. */
static void flt_done(struct flt *f, struct flt_record *r,
		     const struct msg_end *end, clk_ms now)
{
	struct flt_action *a = flt_push(f, FLT_DONE, r->id);

	a->u.end = *end;
	if (end->text.len) {
		size_t len = end->text.len < sizeof(a->text) - 1
				     ? end->text.len
				     : sizeof(a->text) - 1;

		memcpy(a->text, end->text.data, len);
		a->u.end.text = (struct blob){.data = a->text, .len = len};
	}
	if (end->res)
		cnt_refusal((enum res)end->res);
	if (end->pin)
		r->has_unit = false; /* the pin keeps it, see flt_unpin() */
	flt_give_back(f, r, now);
	flt_forget(f, r);
}

static void flt_refuse(struct flt *f, struct flt_record *r, enum res res,
		       const char *detail, clk_ms now)
{
	struct msg_end end = {.res = res, .txn = 'I', .pin = r->rq.pin};
	char text[256];
	int n = snprintf(text, sizeof(text), "%s%s%s", res_text(res),
			 detail ? ": " : "", detail ? detail : "");

	if (r->rq.pin)
		end.txn = 'T';
	snprintf(end.sqlstate, sizeof(end.sqlstate), "%s", res_sqlstate(res));
	end.text = (struct blob){.data = text, .len = (size_t)n};
	flt_done(f, r, &end, now);
}

/* Filter "plan": bounds of the request from the customer's plan. */
static enum res flt_plan(struct flt *f, struct flt_record *r, clk_ms now)
{
	const struct flt_request *rq = &r->rq;
	const struct lists *lists = view_lists(f->view);
	const struct customer *c;
	const struct plan *p;
	clk_ms wait;

	if (!lists)
		return RES_NO_CONFIG;
	c = lst_customer(lists, rq->customer);
	if (!c)
		return RES_AUTH;
	p = lst_plan_of(lists, c);
	wait = p->max_wait_ms;
	if (rq->max_wait_ms >= 0 && rq->max_wait_ms < wait)
		wait = rq->max_wait_ms;
	r->deadline = now + wait;
	r->max_age_ms = p->max_age_ms;
	if (rq->max_age_ms >= 0 && rq->max_age_ms < r->max_age_ms)
		r->max_age_ms = rq->max_age_ms;
	r->current = r->max_age_ms == 0 || rq->session_unknown;
	r->priority = p->priority;
	r->weight = p->weight;
	r->retry_percent = p->retry_percent;
	r->majority = p->durability == LST_MAJORITY;
	return RES_OK;
}

/* Filter "token": a token whose write a change of primary has lost. */
static enum res flt_token(struct flt *f, struct flt_record *r)
{
	const struct group_info *g = view_group(f->view, r->rq.group);
	const struct tok_entry *e = NULL;

	if (!g)
		return RES_NO_DATABASE;
	if (r->rq.token)
		e = tok_find(r->rq.token, r->rq.group);
	if (e && !tok_contained(g->starts, g->nstarts, e->term, e->position,
				g->term)) {
		cnt_add(CNT_token_lost, 1);
		return RES_TOKEN_LOST;
	}
	return RES_OK;
}

static void flt_park(struct flt *f, struct flt_record *r, enum res why,
		     clk_ms pause, clk_ms now)
{
	flt_enter(f, r, FLT_PARKED);
	r->last = why;
	r->due = now + pause;
	if (r->due > r->deadline)
		r->due = r->deadline;
}

static bool flt_was_tried(const struct flt_record *r, const char *backend)
{
	for (int i = 0; i < r->ntried; i++)
		if (!strcmp(r->tried[i], backend))
			return true;
	return false;
}

static struct exec_hint flt_hint(struct flt *f, const char *backend, clk_ms now)
{
	if (!f->hint)
		return (struct exec_hint){.age_ms = -1, .healthy = true};
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
	for (size_t i = 0; i < n && count < ROUTE_MAX; i++) {
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

	if (r->current && r->rq.kind == RUN_READ)
		flags |= RUN_CURRENT;
	if (r->majority && r->rq.kind != RUN_READ)
		flags |= RUN_MAJORITY;
	if (r->rq.request_id && r->rq.request_id[0] &&
	    (r->rq.kind == RUN_WRITE || r->rq.kind == RUN_BEGIN))
		flags |= RUN_ONCE;
	return flags;
}

static void flt_run(struct flt *f, struct flt_record *r, const char *backend,
		    clk_ms now)
{
	const struct group_info *g = view_group(f->view, r->rq.group);
	const struct flt_request *rq = &r->rq;
	struct flt_action *a = flt_push(f, FLT_RUN, r->id);
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
		.need_term = e ? e->term : 0,
		.need_position = e ? e->position : 0,
		.max_age_ms = r->max_age_ms,
		.wait_ms = r->deadline > now ? r->deadline - now : 0,
		.limit_ms = FLT_STATEMENT_MS,
		.fingerprint = rq->fingerprint,
		.pin = rq->pin,
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
	flt_enter(f, r, FLT_RUNNING);
}

/* Filter "route" for what only the primary may serve. */
static void flt_route_primary(struct flt *f, struct flt_record *r, clk_ms now)
{
	const struct group_info *g = view_group(f->view, r->rq.group);
	const struct backend_info *b = NULL;

	if (g && g->primary[0])
		b = view_backend(f->view, g->primary);
	if (!b) {
		flt_park(f, r, RES_NO_PRIMARY, FLT_PARK_MS, now);
		return;
	}
	if (!view_lease_valid(f->view, g->name, g->term, now)) {
		flt_park(f, r, RES_NO_LEASE, FLT_PARK_MS, now);
		return;
	}
	r->on_primary = true;
	flt_run(f, r, b->id, now);
}

static struct route_need flt_need(const struct flt_record *r)
{
	const struct tok_entry *e = NULL;

	if (r->rq.token)
		e = tok_find(r->rq.token, r->rq.group);
	return (struct route_need){.term = e ? e->term : 0,
				   .position = e ? e->position : 0,
				   .since = e ? r->rq.token_since : 0,
				   .max_age_ms = r->max_age_ms};
}

/* Filter "route" for reads that a replica may serve. */
static void flt_route_read(struct flt *f, struct flt_record *r, clk_ms now)
{
	struct route_candidate c[ROUTE_MAX];
	struct route_need need = flt_need(r);
	int n = flt_candidates(f, r, c, now);
	int pick = route_read(c, n, &need, now, rng_unit(f->rng));

	if (!r->counted && route_eligible(c, n, &need, now)) {
		cnt_add(CNT_reads_replica_eligible, 1);
		r->counted = true;
	}
	if (pick < 0) {
		/* Every member refused; after a pause they may have caught up
		 * or a primary may be known. */
		r->ntried = 0;
		flt_park(f, r, r->last ? r->last : RES_NO_REPLICA, FLT_PARK_MS,
			 now);
		return;
	}
	r->on_primary = c[pick].primary;
	flt_run(f, r, c[pick].backend->id, now);
}

static void flt_route(struct flt *f, struct flt_record *r, clk_ms now)
{
	if (r->rq.pin) {
		r->on_primary = true;
		flt_run(f, r, r->rq.pin_backend, now);
		return;
	}
	switch (r->rq.kind) {
	case RUN_READ:
	case RUN_DESCRIBE:
		if (!r->current || r->rq.kind == RUN_DESCRIBE) {
			flt_route_read(f, r, now);
			return;
		}
		break;
	case RUN_WRITE:
	case RUN_TXN:
	case RUN_BEGIN:
		break;
	}
	flt_route_primary(f, r, now);
}

static void flt_start_admitted(struct flt *f, struct flt_record *r, clk_ms now)
{
	enum res res = flt_token(f, r);

	if (res) {
		flt_refuse(f, r, res, NULL, now);
		return;
	}
	flt_route(f, r, now);
}

/* Filter "admit". */
static void flt_admit(struct flt *f, struct flt_record *r, clk_ms now)
{
	int64_t units = flt_units(f, r->rq.customer, now);

	switch (admit_enter(r->customer, &r->entry, units, r->deadline - now,
			    f->set->admission)) {
	case ADMIT_RUN:
		r->has_unit = true;
		r->unit_since = now;
		flt_start_admitted(f, r, now);
		break;
	case ADMIT_QUEUED:
		flt_enter(f, r, FLT_QUEUED);
		f->wants_quota = true;
		break;
	case ADMIT_REFUSED:
		f->wants_quota = true;
		flt_refuse(f, r, RES_OVERLOAD, "customer's limit", now);
		break;
	}
}

int64_t flt_submit(struct flt *f, const struct flt_request *rq, clk_ms now)
{
	struct flt_record *r = calloc(1, sizeof(*r));
	int64_t id = f->next_id++;
	enum res res;

	if (!r)
		abort();
	r->id = id;
	r->rq = *rq;
	r->submitted = now;
	r->customer = admit_customer(f->admit, rq->customer);
	HASH_ADD(hh, f->records, id, sizeof(r->id), r);
	cnt_add(CNT_statements, 1);
	if (rq->kind == RUN_WRITE)
		cnt_add(CNT_writes, 1);
	res = flt_plan(f, r, now);
	if (res) {
		flt_refuse(f, r, res, NULL, now);
		return id;
	}
	retry_earn(&r->customer->budget, r->retry_percent);
	if (rq->pin) /* the transaction holds its unit already */
		flt_route(f, r, now);
	else
		flt_admit(f, r, now);
	return id;
}

/* The first time that a connection breaks under a read, another member may be
 * tried: a member that fails breaks all its reads at once, more than a budget
 * holds. Overload does not break connections. */
static bool flt_retry_is_free(const struct flt_record *r, enum res res)
{
	if (res == RES_READ_FAILED && r->rq.kind == RUN_READ && !r->retries)
		return true;
	return retry_is_free(res);
}

static void flt_retry(struct flt *f, struct flt_record *r, enum res res,
		      const char *backend, clk_ms now)
{
	clk_ms pause = FLT_PARK_MS;

	if (!flt_retry_is_free(r, res) && !retry_spend(&r->customer->budget)) {
		cnt_add(CNT_retry_denied, 1);
		flt_refuse(f, r,
			   res_ran(res) == RES_RAN_NOT_RUN ? RES_RETRY_BUDGET
							   : res,
			   res_text(res), now);
		return;
	}
	if (!retry_is_waiting(res))
		pause = retry_pause(f->rng, r->retries++);
	retry_count(res);
	if (r->rq.kind == RUN_READ && !r->current && backend[0]) {
		/* Another member can be tried at once. */
		if (r->ntried == FLT_MAX_TRIED)
			r->ntried = 0;
		snprintf(r->tried[r->ntried++], ID_LEN, "%s", backend);
		pause = retry_is_free(res) ? 0 : pause;
	}
	if (now + pause >= r->deadline) {
		flt_refuse(f, r, res, NULL, now);
		return;
	}
	flt_park(f, r, res, pause, now);
	if (!pause)
		flt_route(f, r, now);
}

void flt_ended(struct flt *f, int64_t id, const char *backend,
	       const struct msg_end *end, bool answered, clk_ms now)
{
	struct flt_record *r;

	HASH_FIND(hh, f->records, &id, sizeof(id), r);
	if (!r)
		return;
	if (end->res && !answered &&
	    retry_allowed((enum res)end->res, r->rq.kind, r->rq.pin,
			  r->rq.repeatable)) {
		flt_retry(f, r, (enum res)end->res, backend, now);
		return;
	}
	if (!end->res && r->rq.kind == RUN_READ) {
		cnt_add(r->on_primary ? CNT_reads_primary : CNT_reads_replica,
			1);
		cnt_add(CNT_reads_eligible_primary,
			r->on_primary && r->counted);
	}
	/* The statement that ends a transaction gives its unit back. */
	if (r->rq.pin && !end->pin) {
		r->has_unit = true;
		r->unit_since = r->submitted;
	}
	flt_done(f, r, end, now);
}

void flt_abandon(struct flt *f, int64_t id)
{
	struct flt_record *r;

	HASH_FIND(hh, f->records, &id, sizeof(id), r);
	if (!r)
		return;
	if (r->has_unit)
		r->customer->in_use--;
	flt_forget(f, r);
}

void flt_unpin(struct flt *f, const char *customer)
{
	admit_customer(f->admit, customer)->in_use--;
}

static void flt_expire(struct flt *f, struct flt_record *r, clk_ms now)
{
	enum res res = r->phase == FLT_QUEUED ? RES_PLAN_LIMIT : r->last;

	flt_refuse(f, r, res ? res : RES_WAIT_EXCEEDED, NULL, now);
}

struct flt_pump_args {
	struct flt *f;
	clk_ms now;
};

static void flt_pump_one(void *arg, struct admit_customer *c)
{
	struct flt_pump_args *args = arg;

	flt_pump(args->f, c, args->now);
}

static bool flt_is_due(const struct flt_record *r, clk_ms now)
{
	if (!flt_waits(r->phase))
		return false;
	return now >= r->deadline || (r->phase == FLT_PARKED && now >= r->due);
}

/* Ids of the records that are due; handling one may end another. */
static int64_t *flt_collect_due(const struct flt *f, clk_ms now, size_t *n)
{
	int64_t *ids = calloc((size_t)f->waiting + 1, sizeof(*ids));
	const struct flt_record *r;

	if (!ids)
		abort();
	*n = 0;
	for (r = f->records; r; r = r->hh.next)
		if (flt_is_due(r, now))
			ids[(*n)++] = r->id;
	return ids;
}

void flt_tick(struct flt *f, clk_ms now)
{
	struct flt_pump_args args = {.f = f, .now = now};
	size_t n;
	int64_t *ids = flt_collect_due(f, now, &n);

	f->ticked = now;
	for (size_t i = 0; i < n; i++) {
		struct flt_record *r;

		HASH_FIND(hh, f->records, &ids[i], sizeof(ids[i]), r);
		if (!r || !flt_is_due(r, now))
			continue;
		if (now >= r->deadline)
			flt_expire(f, r, now);
		else
			flt_route(f, r, now);
	}
	free(ids);
	admit_each(f->admit, flt_pump_one, &args);
}

clk_ms flt_due(const struct flt *f)
{
	return f->waiting ? f->ticked + FLT_TICK_MS : CLK_NEVER;
}

struct flt_demand_list {
	struct flt *f;
	struct quota_demand *out;
	int64_t n;
	int64_t max;
	clk_ms now;
};

static void flt_demand_add(void *arg, struct admit_customer *c)
{
	struct flt_demand_list *l = arg;
	struct quota_demand *d;

	if (l->n == l->max)
		return;
	d = &l->out[l->n++];
	memset(d, 0, sizeof(*d));
	snprintf(d->customer, sizeof(d->customer), "%s", c->name);
	d->in_use = c->in_use;
	d->queued = c->queued;
	d->held = quota_client_held(l->f->quota, c->name, l->now);
}

int64_t flt_demands(struct flt *f, struct quota_demand *out, int64_t max,
		    clk_ms now)
{
	struct flt_demand_list l = {.f = f, .out = out, .max = max, .now = now};

	admit_each(f->admit, flt_demand_add, &l);
	return l.n;
}

bool flt_wants_quota(struct flt *f)
{
	bool wants = f->wants_quota;

	f->wants_quota = false;
	return wants;
}
