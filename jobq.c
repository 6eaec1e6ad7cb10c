#include "jobq_priv.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <utlist.h>

/* The usage of all tenants is rescaled after so many half-lives, before the
 * growing scale exceeds the range of a double. */
enum { JOBQ_RESCALE_HALVES = 64 };

/* A tenant without waiting jobs is forgotten when its usage is below this. */
#define JOBQ_FORGET_USAGE_MS 0.01

struct jobq *jobq_new(struct rng *rng)
{
	struct jobq *q = calloc(1, sizeof(*q));

	if (!q)
		abort();
	q->limit = 1;
	q->round = 1;
	q->rng = rng;
	return q;
}

static void jobq_free_tenant(struct jobq *q, struct jobq_tenant *t)
{
	HASH_DEL(q->tenants, t);
	while (t->flows) {
		struct jobq_flow *f = t->flows;

		t->flows = f->tenant_next;
		free(f);
	}
	free(t);
}

void jobq_free(struct jobq *q)
{
	if (!q)
		return;
	while (q->tenants)
		jobq_free_tenant(q, q->tenants);
	while (q->classes) {
		struct jobq_class *c = q->classes;

		q->classes = c->next;
		free(c);
	}
	free(q);
}

void jobq_set_load(struct jobq *q, int limit, int running)
{
	q->limit = limit > 0 ? limit : 1;
	q->running = running;
}

size_t jobq_waiting(const struct jobq *q)
{
	return q->n;
}

const struct jobq_job *jobq_oldest(const struct jobq *q)
{
	for (const struct jobq_class *c = q->classes; c; c = c->next)
		if (c->n)
			return c->flows->jobs;
	return NULL;
}

struct jobq_tenant_jobs jobq_jobs_of_tenant(const struct jobq_job *j,
					    clk_ms now)
{
	const struct jobq_tenant *t = j->flow->tenant;
	struct jobq_tenant_jobs out = {.n = (int)t->nwaiting};

	for (const struct jobq_flow *f = t->flows; f; f = f->tenant_next)
		if (f->n && now - f->jobs->arrived > out.waited_ms)
			out.waited_ms = now - f->jobs->arrived;
	return out;
}

bool jobq_has_tenants(const struct jobq *q)
{
	for (const struct jobq_tenant *t = q->tenants; t; t = t->hh.next)
		if (t->nwaiting && t->name[0])
			return true;
	return false;
}

/* Returns the class, and makes it if it is new. */
struct jobq_class *jobq_class_of(struct jobq *q, int64_t priority)
{
	struct jobq_class **p = &q->classes;
	struct jobq_class *c = *p;

	while (c && c->priority < priority) {
		p = &c->next;
		c = *p;
	}
	if (c && c->priority == priority)
		return c;
	c = calloc(1, sizeof(*c));
	if (!c)
		abort();
	c->priority = priority;
	c->next = *p;
	*p = c;
	return c;
}

void jobq_learn(struct jobq *q, int64_t priority, clk_ms ms, clk_ms now)
{
	jobq_est_learn(&jobq_class_of(q, priority)->service, ms, now);
	jobq_est_learn(&q->service, ms, now);
}

double jobq_service_ms(const struct jobq *q, int64_t priority, clk_ms now)
{
	for (const struct jobq_class *c = q->classes; c; c = c->next)
		if (c->priority == priority &&
		    jobq_est_is_known(&c->service, now))
			return c->service.mean;
	return 0;
}

/* Usage of tenants. */

double jobq_usage_scale(const struct jobq *q, clk_ms now)
{
	return exp2((double)(now - q->usage_since) / JOBQ_USAGE_HALF_MS);
}

static void jobq_rescale_usage(struct jobq *q, clk_ms now)
{
	double scale = jobq_usage_scale(q, now);
	struct jobq_tenant *next;

	for (struct jobq_tenant *t = q->tenants; t; t = next) {
		next = t->hh.next;
		t->usage /= scale;
		if (!t->nwaiting && t->usage < JOBQ_FORGET_USAGE_MS)
			jobq_free_tenant(q, t);
	}
	q->usage_since = now;
}

static struct jobq_tenant *jobq_find_tenant(struct jobq *q, const char *name)
{
	struct jobq_tenant *t;

	HASH_FIND_STR(q->tenants, name, t);
	return t;
}

/* Adds the flow to its class, behind the tenants that used as much. */
static void jobq_link_flow(struct jobq_flow *f)
{
	struct jobq_class *c = f->class;
	struct jobq_flow *at = c->flows;

	c->resume_round = 0;
	while (at && at->tenant->usage <= f->tenant->usage)
		at = at->next;
	if (at)
		DL_PREPEND_ELEM(c->flows, at, f);
	else
		DL_APPEND(c->flows, f);
}

static void jobq_unlink_flow(struct jobq_flow *f)
{
	f->class->resume_round = 0;
	DL_DELETE(f->class->flows, f);
}

static void jobq_charge(struct jobq *q, struct jobq_tenant *t, double ms,
			clk_ms now)
{
	t->usage = fmax(0, t->usage + ms * jobq_usage_scale(q, now));
	for (struct jobq_flow *f = t->flows; f; f = f->tenant_next) {
		if (!f->n)
			continue;
		jobq_unlink_flow(f);
		jobq_link_flow(f);
	}
}

void jobq_answered(struct jobq *q, const struct jobq_job *j, clk_ms ms,
		   clk_ms now)
{
	struct jobq_tenant *t = jobq_find_tenant(q, j->tenant);

	if (t)
		jobq_charge(q, t, (double)ms - j->charged_ms, now);
	jobq_learn(q, j->priority, ms, now);
}

/* Returns the flow of a job, and makes it if it is new. */
static struct jobq_flow *jobq_flow_of(struct jobq *q, const struct jobq_job *j,
				      struct jobq_class *c)
{
	struct jobq_tenant *t = jobq_find_tenant(q, j->tenant);
	struct jobq_flow *f;

	if (!t) {
		t = calloc(1, sizeof(*t));
		if (!t)
			abort();
		memcpy(t->name, j->tenant, strnlen(j->tenant, ID_LEN - 1));
		HASH_ADD_STR(q->tenants, name, t);
	}
	for (f = t->flows; f; f = f->tenant_next)
		if (f->class == c)
			return f;
	f = calloc(1, sizeof(*f));
	if (!f)
		abort();
	f->tenant = t;
	f->class = c;
	f->tenant_next = t->flows;
	t->flows = f;
	return f;
}

/* The queue. */

static void jobq_unlink(struct jobq *q, struct jobq_job *j, clk_ms now)
{
	struct jobq_flow *f = j->flow;

	DL_DELETE(f->jobs, j);
	if (!--f->n)
		jobq_unlink_flow(f);
	f->class->n--;
	f->class->last_waiting = now;
	f->tenant->nwaiting--;
	q->n--;
	j->flow = NULL;
}

static void jobq_link(struct jobq *q, struct jobq_job *j, struct jobq_flow *f,
		      clk_ms now)
{
	DL_APPEND(f->jobs, j);
	if (!f->n++)
		jobq_link_flow(f);
	f->class->n++;
	jobq_rate_add(&f->rate, now);
	jobq_rate_add(&f->class->rate, now);
	f->tenant->nwaiting++;
	q->n++;
	j->flow = f;
}

static void jobq_refuse(struct jobq *q, struct jobq_job *j, clk_ms now)
{
	jobq_unlink(q, j, now);
	j->refused = true;
	DL_APPEND(q->refused, j);
}

enum res jobq_add(struct jobq *q, struct jobq_job *j, clk_ms now,
		  clk_ms *retry_ms)
{
	struct jobq_class *c = jobq_class_of(q, j->priority);
	struct jobq_ahead urgent = jobq_urgent_ahead(q, c, now);
	struct jobq_flow *f;
	bool newest_first;

	if (now - q->usage_since >= JOBQ_RESCALE_HALVES * JOBQ_USAGE_HALF_MS)
		jobq_rescale_usage(q, now);
	f = jobq_flow_of(q, j, c);
	newest_first = jobq_newest_first(f, now);
	if (!c->n &&
	    now - c->last_waiting >= JOBQ_STARVED_TIMES * j->objective_ms)
		c->passed_since = 0;
	j->refused = false;
	j->flow = NULL;
	j->arrived = now;
	j->charged_ms = 0;
	if (jobq_is_late(q, j, f, &urgent,
			 jobq_jobs_ahead(q, f, newest_first ? 0 : f->n, now),
			 newest_first, now)) {
		if (!c->passed_since && urgent.ms > 0)
			c->passed_since = now;
		c->last_waiting = now;
		*retry_ms = jobq_retry_ms(q, j->priority, now);
		return RES_OVERLOAD;
	}
	jobq_link(q, j, f, now);
	return RES_OK;
}

void jobq_remove(struct jobq *q, struct jobq_job *j, clk_ms now)
{
	if (j->flow)
		jobq_unlink(q, j, now);
	else if (j->refused)
		DL_DELETE(q->refused, j);
	j->refused = false;
}

void jobq_start_round(struct jobq *q)
{
	q->round++;
}

void jobq_skip_tenant(struct jobq *q, const struct jobq_job *j)
{
	j->flow->tenant->skipped_round = q->round;
}

/* The job of the class that runs first; NULL if all tenants are skipped. */
static struct jobq_job *jobq_class_next(struct jobq *q, struct jobq_class *c,
					clk_ms now)
{
	struct jobq_flow *f = c->flows;

	if (c->resume_round == q->round)
		f = c->resume;
	while (f && f->tenant->skipped_round == q->round)
		f = f->next;
	c->resume = f;
	c->resume_round = q->round;
	if (!f)
		return NULL;
	/* the first element of a utlist refers to the last one */
	return jobq_newest_first(f, now) ? f->jobs->prev : f->jobs;
}

/* The same, after those that are late were refused. */
static struct jobq_job *jobq_class_next_in_time(struct jobq *q,
						struct jobq_class *c,
						clk_ms now)
{
	struct jobq_ahead none = {0};
	struct jobq_job *j;

	while ((j = jobq_class_next(q, c, now)) &&
	       jobq_is_late(q, j, j->flow, &none, 0, false, now))
		jobq_refuse(q, j, now);
	return j;
}

static bool jobq_is_starved(const struct jobq_class *c,
			    const struct jobq_job *j, clk_ms now)
{
	return c->passed_since && j->objective_ms &&
	       jobq_est_is_known(&c->service, now) &&
	       now - c->passed_since >= JOBQ_STARVED_TIMES * j->objective_ms;
}

struct jobq_job *jobq_next(struct jobq *q, clk_ms now)
{
	struct jobq_job *first = NULL;

	for (struct jobq_class *c = q->classes; c; c = c->next) {
		struct jobq_job *j = NULL;

		if (c->n && (!first || c->passed_since))
			j = jobq_class_next_in_time(q, c, now);
		if (j && jobq_is_starved(c, j, now))
			return j;
		if (!first)
			first = j;
	}
	return first;
}

void jobq_take(struct jobq *q, struct jobq_job *j, clk_ms now)
{
	struct jobq_class *c = j->flow->class;
	struct jobq_tenant *t = j->flow->tenant;
	double ms = jobq_est_is_known(&q->service, now)
			    ? jobq_estimate(q, c, now)->mean
			    : 1;

	jobq_unlink(q, j, now);
	j->charged_ms = ms;
	jobq_charge(q, t, ms, now);
	c->passed_since = 0;
	for (c = c->next; c; c = c->next)
		if (c->n && !c->passed_since)
			c->passed_since = now;
}

static void jobq_expire_flow(struct jobq *q, struct jobq_flow *f,
			     const struct jobq_ahead *urgent, clk_ms now)
{
	bool newest_first = jobq_newest_first(f, now);
	struct jobq_job *j = newest_first ? f->jobs->prev : f->jobs;
	size_t left = f->n;
	size_t ahead = 0;

	while (left--) {
		struct jobq_job *next = newest_first ? j->prev : j->next;

		/* With all of its class ahead is the worst case, which is
		 * checked first because it is cheap. */
		if (jobq_is_late(q, j, f, urgent, (double)f->class->n,
				 newest_first, now) &&
		    jobq_is_late(q, j, f, urgent,
				 jobq_jobs_ahead(q, f, ahead, now),
				 newest_first && ahead, now))
			jobq_refuse(q, j, now);
		else
			ahead++;
		j = next;
	}
}

void jobq_expire(struct jobq *q, clk_ms now)
{
	for (struct jobq_class *c = q->classes; c; c = c->next) {
		struct jobq_ahead urgent = jobq_urgent_ahead(q, c, now);
		struct jobq_flow *next;

		for (struct jobq_flow *f = c->flows; f; f = next) {
			next = f->next;
			jobq_expire_flow(q, f, &urgent, now);
		}
	}
}

struct jobq_job *jobq_pop_refused(struct jobq *q, clk_ms now, clk_ms *retry_ms)
{
	struct jobq_job *j = q->refused;

	if (!j)
		return NULL;
	DL_DELETE(q->refused, j);
	j->refused = false;
	*retry_ms = jobq_retry_ms(q, j->priority, now);
	return j;
}
