#include "filter_priv.h"

#include "counter.h"
#include "lists.h"
#include "quota.h"
#include "retry.h"
#include "rng.h"
#include "settings.h"
#include "view.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

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
	free(f->doubts);
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

struct flt_action *flt_push(struct flt *f, enum flt_action_kind kind,
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
	return phase == FLT_QUEUED || phase == FLT_PARKED || phase == FLT_HELD;
}

void flt_enter(struct flt *f, struct flt_record *r, enum flt_phase phase)
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

/* Keeps the unit of a statement that may still run at its backend. */
static void flt_doubt(struct flt *f, struct flt_record *r, clk_ms now)
{
	if (!r->has_unit)
		return;
	r->has_unit = false;
	f->doubts = realloc(f->doubts, (f->ndoubts + 1) * sizeof(*f->doubts));
	if (!f->doubts)
		abort();
	f->doubts[f->ndoubts++] =
		(struct flt_doubt){.customer = r->customer,
				   .since = r->unit_since,
				   .until = now + FLT_DOUBT_MS};
}

static void flt_settle_doubts(struct flt *f, clk_ms now)
{
	size_t n = 0;

	while (n < f->ndoubts && f->doubts[n].until <= now) {
		admit_release(f->doubts[n].customer, now - f->doubts[n].since);
		n++;
	}
	f->ndoubts -= n;
	if (n && f->ndoubts)
		memmove(f->doubts, f->doubts + n,
			f->ndoubts * sizeof(*f->doubts));
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
	if (res_ran((enum res)end->res) == RES_RAN_MAYBE)
		flt_doubt(f, r, now);
	flt_give_back(f, r, now);
	flt_forget(f, r);
}

/*
 * Ends a request with a result made here. A transaction keeps its pin if the
 * statement was not run.
 */
static void flt_refuse(struct flt *f, struct flt_record *r, enum res res,
		       const char *detail, clk_ms now)
{
	struct msg_end end = {.res = res, .txn = 'I'};
	char text[256];
	int n = snprintf(text, sizeof(text), "%s%s%s", res_text(res),
			 detail ? ": " : "", detail ? detail : "");

	if (r->rq.pin && res_ran(res) == RES_RAN_NOT_RUN) {
		end.pin = r->rq.pin;
		end.txn = 'T';
	}
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

void flt_park(struct flt *f, struct flt_record *r, enum res why, clk_ms pause,
	      clk_ms now)
{
	flt_enter(f, r, FLT_PARKED);
	r->last = why;
	r->due = now + pause;
	if (r->due > r->deadline)
		r->due = r->deadline;
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

/*
 * The owner checked its lease when it released the answer. The answer may have
 * been on its way for long, so the own lease decides whether the write is
 * still acknowledged by the present primary.
 */
static void flt_acknowledge(struct flt *f, struct flt_record *r,
			    const struct msg_end *end, clk_ms now)
{
	const struct group_info *g = view_group(f->view, r->rq.group);

	if (view_lease_valid(f->view, r->rq.group, end->write_term, now)) {
		flt_done(f, r, end, now);
		return;
	}
	if ((g && g->term > end->write_term) || now >= r->deadline) {
		flt_refuse(f, r, RES_UNKNOWN, "no lease for the write's term",
			   now);
		return;
	}
	r->end = *end;
	r->end.text = (struct blob){.data = NULL, .len = 0};
	flt_enter(f, r, FLT_HELD);
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
	if (!end->res && end->write_term)
		flt_acknowledge(f, r, end, now);
	else
		flt_done(f, r, end, now);
}

void flt_abandon(struct flt *f, int64_t id, clk_ms now)
{
	struct flt_record *r;

	HASH_FIND(hh, f->records, &id, sizeof(id), r);
	if (!r)
		return;
	if (r->phase == FLT_RUNNING)
		flt_doubt(f, r, now);
	flt_give_back(f, r, now);
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
	return r->phase == FLT_HELD || now >= r->deadline ||
	       (r->phase == FLT_PARKED && now >= r->due);
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

/* Stops what runs when the grants end because contact with control is lost;
 * control gives their units to other proxies soon after. */
static void flt_stop_ungranted(struct flt *f, clk_ms now)
{
	clk_ms until = quota_client_until(f->quota);
	const struct flt_record *r;

	if (!until || now < until || f->stopped == until)
		return;
	f->stopped = until;
	for (r = f->records; r; r = r->hh.next)
		if (r->phase == FLT_RUNNING)
			flt_push(f, FLT_STOP, r->id);
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
		if (r->phase == FLT_HELD)
			flt_acknowledge(f, r, &r->end, now);
		else if (now >= r->deadline)
			flt_expire(f, r, now);
		else
			flt_route(f, r, now);
	}
	free(ids);
	flt_settle_doubts(f, now);
	flt_stop_ungranted(f, now);
	admit_each(f->admit, flt_pump_one, &args);
}

clk_ms flt_due(const struct flt *f)
{
	clk_ms until = quota_client_until(f->quota);
	clk_ms due = CLK_NEVER;

	if (f->waiting)
		return f->ticked + FLT_TICK_MS;
	if (f->ndoubts)
		due = f->doubts[0].until;
	if (f->records && f->stopped != until && until < due)
		due = until;
	return due;
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
