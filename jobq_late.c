#include "jobq_priv.h"

#include "rng.h"

#include <math.h>

bool jobq_est_is_known(const struct jobq_estimate *e, clk_ms now)
{
	return e->n >= JOBQ_MIN_ANSWERS && now - e->at < JOBQ_ESTIMATE_AGE_MS;
}

void jobq_est_learn(struct jobq_estimate *e, clk_ms ms, clk_ms now)
{
	double x = (double)ms;
	double weight;

	if (e->n && now - e->at >= JOBQ_ESTIMATE_AGE_MS)
		e->n = 0;
	e->at = now;
	if (!e->n) {
		*e = (struct jobq_estimate){
			.mean = x, .dev = x / 2, .n = 1, .at = now};
		return;
	}
	/* The lower bounds let the mean grow where all answers were alike. */
	if (e->n >= JOBQ_MIN_ANSWERS)
		x = fmin(x,
			 e->mean + JOBQ_CLIP_DEVS *
					   fmax(1, fmax(e->dev, e->mean / 4)));
	if (e->n < JOBQ_ESTIMATE_ANSWERS)
		e->n++;
	weight = 1.0 / e->n;
	e->dev += weight * (fabs(x - e->mean) - e->dev);
	e->mean += weight * (x - e->mean);
}

const struct jobq_estimate *jobq_estimate(const struct jobq *q,
					  const struct jobq_class *c,
					  clk_ms now)
{
	return jobq_est_is_known(&c->service, now) ? &c->service : &q->service;
}

/* Moves on to the interval of now. */
static void rate_shift(struct jobq_rate *r, clk_ms now)
{
	clk_ms interval = now / JOBQ_RATE_INTERVAL_MS;

	if (interval == r->interval)
		return;
	r->count[2] = interval == r->interval + 1 ? r->count[1] : 0;
	r->count[1] = 0;
	if (interval == r->interval + 1)
		r->count[1] = r->count[0];
	else if (interval == r->interval + 2)
		r->count[2] = r->count[0];
	r->count[0] = 0;
	r->interval = interval;
}

void jobq_rate_add(struct jobq_rate *r, clk_ms now)
{
	rate_shift(r, now);
	r->count[0]++;
}

/* The lower rate of the last two intervals: a crowd that comes at once, as
 * after a loss of power, does not go on. */
static double rate_per_ms(const struct jobq_rate *r, clk_ms now)
{
	struct jobq_rate shifted = *r;

	rate_shift(&shifted, now);
	return fmin(shifted.count[1], shifted.count[2]) / JOBQ_RATE_INTERVAL_MS;
}

bool jobq_newest_first(const struct jobq_flow *f, clk_ms now)
{
	const struct jobq_job *oldest = f->jobs;

	return oldest && oldest->objective_ms &&
	       now - oldest->arrived >= oldest->objective_ms / 2;
}

struct jobq_ahead jobq_urgent_ahead(const struct jobq *q,
				    const struct jobq_class *c, clk_ms now)
{
	struct jobq_ahead a = {0};

	for (const struct jobq_class *u = q->classes; u != c; u = u->next) {
		double service = jobq_estimate(q, u, now)->mean;

		a.ms += (double)u->n * service;
		a.later += rate_per_ms(&u->rate, now) * service / q->limit;
	}
	return a;
}

double jobq_jobs_ahead(const struct jobq *q, const struct jobq_flow *f,
		       size_t n, clk_ms now)
{
	double service = jobq_estimate(q, f->class, now)->mean;
	double one = fmax(service, 0.1) * jobq_usage_scale(q, now);
	double ahead = (double)n;

	for (const struct jobq_flow *g = f->class->flows; g; g = g->next) {
		double turns =
			(f->tenant->usage - g->tenant->usage) / one + (double)n;

		if (g != f)
			ahead += fmin(fmax(turns, 0), (double)g->n);
	}
	return ahead;
}

/* Time until the protection against starvation serves a job of the class that
 * has some jobs ahead; INFINITY if it does not apply. */
static double jobq_starved_wait(const struct jobq_class *c,
				const struct jobq_job *j, double ahead,
				clk_ms now)
{
	double interval = (double)(JOBQ_STARVED_TIMES * j->objective_ms);
	double passed = c->passed_since ? (double)(now - c->passed_since) : 0;

	if (!j->objective_ms || !jobq_est_is_known(&c->service, now))
		return INFINITY;
	return fmax(0, interval - passed) + ahead * interval;
}

/* Expected time until a job with this work and so many jobs of its class ahead
 * is run. */
static double jobq_wait(const struct jobq *q, const struct jobq_job *j,
			const struct jobq_class *c, double jobs,
			const struct jobq_ahead *a, clk_ms now)
{
	double wait = a->ms + (q->running + 1 - q->limit) * q->service.mean;
	double left = 1 - fmin(a->later, JOBQ_LATER_MAX_PERCENT / 100.0);

	if (wait <= 0)
		return 0;
	return fmin(wait / q->limit / left, jobq_starved_wait(c, j, jobs, now));
}

bool jobq_is_late(const struct jobq *q, const struct jobq_job *j,
		  const struct jobq_flow *f, const struct jobq_ahead *urgent,
		  double jobs, bool newest_first, clk_ms now)
{
	const struct jobq_estimate *own = &f->class->service;
	const struct jobq_estimate *all = &q->service;
	double service = jobq_estimate(q, f->class, now)->mean;
	double left = (double)(j->deadline - now);
	struct jobq_ahead a = *urgent;
	double wait;
	double spread;
	double var; /* of wait, as the square of its mean deviation */

	if (!j->deadline)
		return false;
	if (left <= 0)
		return true;
	if (!jobq_est_is_known(all, now) || (!q->running && q->n <= !!j->flow))
		return false;
	a.ms += jobs * service;
	if (newest_first)
		a.later += rate_per_ms(&f->rate, now) * service / q->limit;
	wait = jobq_wait(q, j, f->class, jobs, &a, now);
	spread = all->dev / fmax(all->mean, 0.1);
	var = spread * spread *
	      (a.ms * all->mean / ((double)q->limit * q->limit) +
	       4 * wait * wait / all->n);
	if (!jobq_est_is_known(own, now))
		return wait - sqrt(var) > left;
	return wait + own->mean - sqrt(own->dev * own->dev + var) > left;
}

clk_ms jobq_retry_ms(struct jobq *q, int64_t priority, clk_ms now)
{
	struct jobq_class *c = jobq_class_of(q, priority);
	struct jobq_ahead a = jobq_urgent_ahead(q, c->next, now);
	double ms = 0;
	clk_ms drain;

	if (jobq_est_is_known(&q->service, now))
		ms = a.ms + q->running * q->service.mean;
	ms /= 1 - fmin(a.later, JOBQ_LATER_RETRY_PERCENT / 100.0);
	ms = fmin(fmax(ms / q->limit, JOBQ_RETRY_MIN_MS), JOBQ_RETRY_MAX_MS);
	drain = (clk_ms)ms;
	return drain + (clk_ms)rng_uniform_int(q->rng, (uint64_t)drain + 1);
}
