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
	free(f->retained);
	free(f);
}

void flt_set_hints(struct flt *f,
		   struct exec_routing_info (*fn)(void *arg,
						  const char *backend,
						  clk_ms now),
		   void *arg)
{
	f->hint = fn;
	f->hint_arg = arg;
}

struct flt_action *flt_add_action(struct flt *f, enum flt_action_kind kind,
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
	return phase == FLT_QUEUED || phase == FLT_DELAYED ||
	       phase == FLT_AWAITING_LEASE;
}

void flt_set_phase(struct flt *f, struct flt_record *r, enum flt_phase phase)
{
	f->waiting += flt_waits(phase) - flt_waits(r->phase);
	r->phase = phase;
}

static void flt_remove_record(struct flt *f, struct flt_record *r)
{
	flt_set_phase(f, r, FLT_ENDED);
	admit_remove(r->customer, &r->entry);
	HASH_DEL(f->records, r);
	free(r);
}

static void flt_start_admitted(struct flt *f, struct flt_record *r, clk_ms now);

static struct flt_record *flt_of_entry(struct admit_entry *e)
{
	return (struct flt_record *)e;
}

/* Starts queued requests of a customer as far as units are free. */
static void flt_start_queued(struct flt *f, struct admit_customer *c,
			     clk_ms now)
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

static void flt_release_unit(struct flt *f, struct flt_record *r, clk_ms now)
{
	if (!r->has_unit)
		return;
	r->has_unit = false;
	admit_release(r->customer, now - r->unit_since);
	flt_start_queued(f, r->customer, now);
}

/* Keeps the unit occupied for a statement that may still run at its backend. */
static void flt_retain_unit(struct flt *f, struct flt_record *r, clk_ms now)
{
	if (!r->has_unit)
		return;
	r->has_unit = false;
	f->retained =
		realloc(f->retained, (f->nretained + 1) * sizeof(*f->retained));
	if (!f->retained)
		abort();
	f->retained[f->nretained++] =
		(struct flt_retained_unit){.customer = r->customer,
					   .since = r->unit_since,
					   .until = now + FLT_RETAIN_UNIT_MS};
}

static void flt_release_retained_units(struct flt *f, clk_ms now)
{
	size_t n = 0;

	while (n < f->nretained && f->retained[n].until <= now) {
		admit_release(f->retained[n].customer,
			      now - f->retained[n].since);
		n++;
	}
	f->nretained -= n;
	if (n && f->nretained)
		memmove(f->retained, f->retained + n,
			f->nretained * sizeof(*f->retained));
}

/* Ends a request with a result from exec or from flt_refuse(). */
static void flt_end_request(struct flt *f, struct flt_record *r,
			    const struct msg_end *end, clk_ms now)
{
	struct flt_action *a = flt_add_action(f, FLT_DONE, r->id);

	a->u.end = *end;
	if (end->text.len) {
		size_t len = end->text.len < sizeof(a->text) - 1
				     ? end->text.len
				     : sizeof(a->text) - 1;

		memcpy(a->text, end->text.data, len);
		a->u.end.text = (struct blob){.data = a->text, .len = len};
	}
	if (end->res)
		cnt_add_refusal((enum res)end->res);
	if (end->pinned_conn_id)
		r->has_unit = false; /* released by flt_release_pinned_unit() */
	if (res_ran((enum res)end->res) == RES_RAN_MAYBE)
		flt_retain_unit(f, r, now);
	flt_release_unit(f, r, now);
	flt_remove_record(f, r);
}

/*
 * Ends a request with an error of the filter chain. A transaction keeps its
 * pinned connection if the statement was not run.
 */
static void flt_refuse(struct flt *f, struct flt_record *r, enum res res,
		       const char *detail, clk_ms now)
{
	struct msg_end end = {.res = res, .txn_status_char = 'I'};
	char text[256];
	int n = snprintf(text, sizeof(text), "%s%s%s", res_text(res),
			 detail ? ": " : "", detail ? detail : "");

	if (r->rq.pin && res_ran(res) == RES_RAN_NOT_RUN) {
		end.pinned_conn_id = r->rq.pin;
		end.txn_status_char = 'T';
	}
	snprintf(end.sqlstate, sizeof(end.sqlstate), "%s", res_sqlstate(res));
	end.text = (struct blob){.data = text, .len = (size_t)n};
	flt_end_request(f, r, &end, now);
}

/* Filter "plan": sets the bounds of the request. The caller's own bounds count
 * only if they are stricter than those of the customer's plan. */
static enum res flt_plan(struct flt *f, struct flt_record *r, clk_ms now)
{
	const struct flt_request *rq = &r->rq;
	const struct lists *lists = view_lists(f->view);
	const struct customer *c;
	const struct plan *p;
	clk_ms wait;

	if (!lists)
		return RES_NO_CONFIG;
	c = lst_find_customer(lists, rq->customer);
	if (!c)
		return RES_AUTH;
	p = lst_customer_plan(lists, c);
	wait = p->max_wait_ms;
	if (rq->max_wait_ms >= 0 && rq->max_wait_ms < wait)
		wait = rq->max_wait_ms;
	r->deadline = now + wait;
	r->max_age_ms = p->max_age_ms;
	if (rq->max_age_ms >= 0 && rq->max_age_ms < r->max_age_ms)
		r->max_age_ms = rq->max_age_ms;
	r->must_be_current = r->max_age_ms == 0 || rq->session_unknown;
	r->priority = p->priority;
	r->weight = p->weight;
	r->retry_percent = p->retry_percent;
	r->majority = p->durability == LST_DURABILITY_MAJORITY;
	return RES_OK;
}

/* Filter "token": refuses a token whose write was lost in a change of
 * primary. */
static enum res flt_token(struct flt *f, struct flt_record *r)
{
	const struct group_info *g = view_group(f->view, r->rq.group);
	const struct tok_entry *e = NULL;

	if (!g)
		return RES_NO_DATABASE;
	if (r->rq.token)
		e = tok_find(r->rq.token, r->rq.group);
	if (e && !tok_contained(g->term_starts, g->nterm_starts, e->term,
				e->position, g->term)) {
		cnt_add(CNT_token_lost, 1);
		return RES_TOKEN_LOST;
	}
	return RES_OK;
}

void flt_delay(struct flt *f, struct flt_record *r, enum res why, clk_ms pause,
	       clk_ms now)
{
	flt_set_phase(f, r, FLT_DELAYED);
	r->last_result = why;
	r->next_attempt = now + pause;
	if (r->next_attempt > r->deadline)
		r->next_attempt = r->deadline;
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

/* Filter "admit": runs, queues or refuses the request, see admit.h. */
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
		flt_set_phase(f, r, FLT_QUEUED);
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
	retry_budget_deposit(&r->customer->budget, r->retry_percent);
	if (rq->pin) /* the transaction already has a unit */
		flt_route(f, r, now);
	else
		flt_admit(f, r, now);
	return id;
}

/* True if the retry takes no token. That includes the first retry of a read
 * whose connection broke: a member that fails breaks all its reads at once,
 * which are more than a budget allows for. Retrying them doesn't add to an
 * overload, since overload does not break connections. */
static bool flt_retry_takes_no_token(const struct flt_record *r, enum res res)
{
	if (res == RES_READ_FAILED && r->rq.kind == RUN_READ && !r->retries)
		return true;
	return retry_takes_no_token(res);
}

static void flt_retry(struct flt *f, struct flt_record *r, enum res res,
		      const char *backend, clk_ms now)
{
	clk_ms pause = FLT_REROUTE_MS;

	if (!flt_retry_takes_no_token(r, res) &&
	    !retry_budget_withdraw(&r->customer->budget)) {
		cnt_add(CNT_retry_denied, 1);
		flt_refuse(f, r,
			   res_ran(res) == RES_RAN_NOT_RUN ? RES_RETRY_BUDGET
							   : res,
			   res_text(res), now);
		return;
	}
	if (!retry_waits_for_primary(res))
		pause = retry_backoff_ms(f->rng, r->retries++);
	retry_count(res);
	if (r->rq.kind == RUN_READ && !r->must_be_current && backend[0]) {
		/* Another member can be tried at once. */
		if (r->ntried == FLT_MAX_TRIED)
			r->ntried = 0;
		snprintf(r->tried[r->ntried++], ID_LEN, "%s", backend);
		pause = retry_takes_no_token(res) ? 0 : pause;
	}
	if (now + pause >= r->deadline) {
		flt_refuse(f, r, res, NULL, now);
		return;
	}
	flt_delay(f, r, res, pause, now);
	if (!pause)
		flt_route(f, r, now);
}

/*
 * Acknowledges a write to the caller if this proxy's lease is valid for the
 * term of the write. The owner of the backend checked its own lease when it
 * sent the result, but the result may have been delayed on its way, so the
 * primary that ran the write may have been replaced since.
 */
static void flt_acknowledge(struct flt *f, struct flt_record *r,
			    const struct msg_end *end, clk_ms now)
{
	const struct group_info *g = view_group(f->view, r->rq.group);

	if (view_lease_valid(f->view, r->rq.group, end->write_term, now)) {
		flt_end_request(f, r, end, now);
		return;
	}
	if ((g && g->term > end->write_term) || now >= r->deadline) {
		flt_refuse(f, r, RES_UNKNOWN, "no lease for the write's term",
			   now);
		return;
	}
	r->held_end = *end;
	r->held_end.text = (struct blob){.data = NULL, .len = 0};
	flt_set_phase(f, r, FLT_AWAITING_LEASE);
}

void flt_attempt_ended(struct flt *f, int64_t id, const char *backend,
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
			r->on_primary && r->counted_eligible);
	}
	/* The statement that ends a transaction releases the transaction's
	 * unit. */
	if (r->rq.pin && !end->pinned_conn_id) {
		r->has_unit = true;
		r->unit_since = r->submitted;
	}
	if (!end->res && end->write_term)
		flt_acknowledge(f, r, end, now);
	else
		flt_end_request(f, r, end, now);
}

void flt_abandon(struct flt *f, int64_t id, clk_ms now)
{
	struct flt_record *r;

	HASH_FIND(hh, f->records, &id, sizeof(id), r);
	if (!r)
		return;
	if (r->phase == FLT_RUNNING)
		flt_retain_unit(f, r, now);
	flt_release_unit(f, r, now);
	flt_remove_record(f, r);
}

void flt_release_pinned_unit(struct flt *f, const char *customer)
{
	admit_customer(f->admit, customer)->in_use--;
}

static void flt_expire(struct flt *f, struct flt_record *r, clk_ms now)
{
	enum res res = r->phase == FLT_QUEUED ? RES_PLAN_LIMIT : r->last_result;

	flt_refuse(f, r, res ? res : RES_WAIT_EXCEEDED, NULL, now);
}

struct flt_start_queued_args {
	struct flt *f;
	clk_ms now;
};

static void flt_start_queued_of(void *arg, struct admit_customer *c)
{
	struct flt_start_queued_args *args = arg;

	flt_start_queued(args->f, c, args->now);
}

static bool flt_is_due(const struct flt_record *r, clk_ms now)
{
	if (!flt_waits(r->phase))
		return false;
	return r->phase == FLT_AWAITING_LEASE || now >= r->deadline ||
	       (r->phase == FLT_DELAYED && now >= r->next_attempt);
}

/* Returns the ids of the records that are due. Ids and not pointers, because
 * handling one record may end and free another. */
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

/* Cancels all running statements when the grants expire because contact with
 * the control leader is lost: the leader grants their units to other proxies
 * soon after. */
static void flt_cancel_without_grant(struct flt *f, clk_ms now)
{
	clk_ms until = quota_client_expiry(f->quota);
	const struct flt_record *r;

	if (!until || now < until || f->cancelled_expiry == until)
		return;
	f->cancelled_expiry = until;
	for (r = f->records; r; r = r->hh.next)
		if (r->phase == FLT_RUNNING)
			flt_add_action(f, FLT_CANCEL, r->id);
}

void flt_tick(struct flt *f, clk_ms now)
{
	struct flt_start_queued_args args = {.f = f, .now = now};
	size_t n;
	int64_t *ids = flt_collect_due(f, now, &n);

	f->last_tick = now;
	for (size_t i = 0; i < n; i++) {
		struct flt_record *r;

		HASH_FIND(hh, f->records, &ids[i], sizeof(ids[i]), r);
		if (!r || !flt_is_due(r, now))
			continue;
		if (r->phase == FLT_AWAITING_LEASE)
			flt_acknowledge(f, r, &r->held_end, now);
		else if (now >= r->deadline)
			flt_expire(f, r, now);
		else
			flt_route(f, r, now);
	}
	free(ids);
	flt_release_retained_units(f, now);
	flt_cancel_without_grant(f, now);
	admit_each(f->admit, flt_start_queued_of, &args);
}

clk_ms flt_due(const struct flt *f)
{
	clk_ms until = quota_client_expiry(f->quota);
	clk_ms due = CLK_NEVER;

	if (f->waiting)
		return f->last_tick + FLT_TICK_MS;
	if (f->nretained)
		due = f->retained[0].until;
	if (f->records && f->cancelled_expiry != until && until < due)
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
	d->held_units =
		quota_client_granted_units(l->f->quota, c->name, l->now);
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
