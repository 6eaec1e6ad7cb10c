#ifndef JOBQ_H
#define JOBQ_H

/*
 * The jobs (db.h) that wait at this proxy for one member, line protocol: which
 * one runs next, and which ones are refused because they can't end in time.
 * Does no I/O and reads no clock.
 *
 * The load it answers: a burst of one class at a primary with few slots, one
 * tenant at many times its usual load, and all callers coming back at once.
 *
 * Order:
 *   - by priority, 0 first;
 *   - among tenants of one priority, the one that had the least of the member's
 *     time recently (decayed by half every JOBQ_USAGE_HALF_MS);
 *   - among jobs of one tenant and priority, the oldest. Once the oldest has
 *     waited for half of its objective, the newest: in the order of arrival all
 *     of them would miss the objective.
 * A class of priority from which no job ran for JOBQ_STARVED_TIMES the
 * objective of its next job, while more urgent ones ran, is served next if that
 * job can still end in time. This holds only once service times are known.
 *
 * Refusal: a job is late if it would miss its deadline even with service
 * shorter than expected by the mean deviation:
 *
 *   wait + mean - sqrt(dev^2 + dev_wait^2) > deadline - now
 *
 * where wait is the work ahead of it by the order above, divided by the limit
 * of statements in progress, and by the share of the member that is left beside
 * the jobs which, at the recent rate, arrive later and overtake it: those of
 * more urgent classes and, where the newest run first, of its own tenant.
 * dev_wait is the spread of the work ahead, and twice the error of the mean,
 * which is large after few answers and would refuse many jobs at once. A job
 * is checked again while it waits. With log-normal service times of spread 0.7,
 * a job that is refused with nothing ahead of it would have ended in time with
 * a chance of a fifth at most.
 *
 * Service times run from the moment a statement is sent to its answer, so they
 * contain the time it waits inside the member. Until JOBQ_MIN_ANSWERS answers
 * are known, and JOBQ_ESTIMATE_AGE_MS after the last one, nothing is refused
 * but what has passed its deadline. Neither is a job that finds the member
 * idle: an estimate that is too high would otherwise never be corrected.
 */

#include "clock.h"
#include "cluster.h"
#include "result.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	JOBQ_USAGE_HALF_MS = 2000,
	JOBQ_STARVED_TIMES = 4,
	JOBQ_MIN_ANSWERS = 8,
	JOBQ_ESTIMATE_AGE_MS = 2000,
	/* Weight of an answer in the estimate is 1 / JOBQ_ESTIMATE_ANSWERS: the
	 * mean of log-normal times of spread 0.7 is then known to 15%. */
	JOBQ_ESTIMATE_ANSWERS = 32,
	/* Arrivals are counted in intervals of this length. */
	JOBQ_RATE_INTERVAL_MS = 200,
	/*
	 * Share of the member that jobs which arrive later and overtake a
	 * waiting one are assumed to take at most, when it is checked. With
	 * 90%, two thirds of the refused jobs of the least urgent class would
	 * have ended in time, with 50% at most 1 in 25 (trials of
	 * docs/design/job-queue.md).
	 */
	JOBQ_LATER_MAX_PERCENT = 50,
	/* The same in the time to come back: jobs that come back too early
	 * overtake others, though they have missed their objective. */
	JOBQ_LATER_RETRY_PERCENT = 90,
	/* Answers count at most as mean + JOBQ_CLIP_DEVS * mean deviation, so
	 * that a single outlier does not refuse many jobs. */
	JOBQ_CLIP_DEVS = 4,
	/* Bounds of the time to come back, before it is spread. The upper one
	 * limits the effect of a wrong estimate. */
	JOBQ_RETRY_MIN_MS = 10,
	JOBQ_RETRY_MAX_MS = 2000
};

struct jobq;
struct jobq_flow;
struct rng;

/* A job. The caller owns the memory, which is zero before the first use, and
 * keeps it valid while the job waits. */
struct jobq_job {
	int64_t priority; /* 0 is the most urgent */
	const char *tenant; /* name; "" where there are no tenants */
	clk_ms objective_ms; /* latency objective; 0 for none */
	/* When the answer must be at this proxy; 0 if unknown. For a job of
	 * another proxy it leaves out the way back (RELAY_RETURN_MARGIN_MS). */
	clk_ms deadline;

	/* Used inside the module. */
	struct jobq_flow *flow; /* NULL if it does not wait */
	struct jobq_job *prev;
	struct jobq_job *next;
	clk_ms arrived;
	double charged_ms;
	bool refused; /* waits for jobq_pop_refused() */
};

/* The random numbers spread the times to come back; rng must outlive the queue.
 */
struct jobq *jobq_new(struct rng *rng);

/* Forgets the jobs that still wait. */
void jobq_free(struct jobq *q);

/* Sets how many statements this proxy may have in progress at the member, and
 * how many it has. To be called before jobs are added, chosen or checked
 * whenever one of the two has changed. */
void jobq_set_load(struct jobq *q, int limit, int running);

/* Queues a job. Returns RES_OVERLOAD without queueing it if it would be late;
 * retry_ms is then the time after which its caller should come back. */
enum res jobq_add(struct jobq *q, struct jobq_job *j, clk_ms now,
		  clk_ms *retry_ms);

/* Removes a waiting or refused job, whose caller gave up. Does nothing for
 * other jobs. */
void jobq_remove(struct jobq *q, struct jobq_job *j, clk_ms now);

/*
 * Choice of jobs to run, in rounds:
 *
 *	jobq_start_round(q);
 *	while (may run one more && (j = jobq_next(q, now)))
 *		if (there is a connection for j)
 *			jobq_take(q, j, now) and run it;
 *		else
 *			jobq_skip_tenant(q, j);
 *
 * jobq_next() leaves out the tenants skipped in this round, and refuses jobs
 * that became late. A round costs the number of tenants plus that of the jobs
 * taken times the number of tenants.
 */
void jobq_start_round(struct jobq *q);
struct jobq_job *jobq_next(struct jobq *q, clk_ms now);
void jobq_skip_tenant(struct jobq *q, const struct jobq_job *j);

/* Removes the job from the queue and counts it as run for its tenant. */
void jobq_take(struct jobq *q, struct jobq_job *j, clk_ms now);

/* Refuses all waiting jobs that became late. To be called every 10 ms. */
void jobq_expire(struct jobq *q, clk_ms now);

/* Returns a job that was refused while it waited, with the time to come back;
 * NULL if there is none. It is not in the queue any more. */
struct jobq_job *jobq_pop_refused(struct jobq *q, clk_ms now, clk_ms *retry_ms);

/* Learns from the answer to a job, ms after it was sent, and counts its time
 * for its tenant. The job was taken, or has passed the queue and is zero but
 * for its priority and tenant. */
void jobq_answered(struct jobq *q, const struct jobq_job *j, clk_ms ms,
		   clk_ms now);

/* Learns from the answer to a statement whose job is gone. */
void jobq_learn(struct jobq *q, int64_t priority, clk_ms ms, clk_ms now);

/* Time that the work ahead of a new job of this priority needs beside later
 * arrivals, within the bounds above, plus a random part of up to the same
 * length. */
clk_ms jobq_retry_ms(struct jobq *q, int64_t priority, clk_ms now);

/* Jobs that wait, without the refused ones. */
size_t jobq_waiting(const struct jobq *q);

/* The oldest of the most urgent jobs that wait, of the tenant that is served
 * first; NULL if none waits. */
const struct jobq_job *jobq_oldest(const struct jobq *q);

/* The waiting jobs of the tenant of a job that waits. */
struct jobq_tenant_jobs {
	int n;
	clk_ms waited_ms; /* by the oldest of them */
};

struct jobq_tenant_jobs jobq_jobs_of_tenant(const struct jobq_job *j,
					    clk_ms now);

/* True if a job of a tenant waits. */
bool jobq_has_tenants(const struct jobq *q);

/* Mean service time in ms of a class, for metrics; 0 if unknown. */
double jobq_service_ms(const struct jobq *q, int64_t priority, clk_ms now);

#endif
