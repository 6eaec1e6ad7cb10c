#ifndef SCHED_H
#define SCHED_H

/*
 * Scheduler of one backend server: decides which waiting request (job) gets
 * the next free slot, a slot being the right to run one statement there. The
 * module does no I/O and reads no clock; callers pass in the time.
 *
 * Short jobs are served by priority class; class 0 is the highest. A customer
 * whose jobs wait without being served is raised by one class every
 * SCHED_AGEING_MS, which prevents starvation. Inside a class, customers share
 * the slots in proportion to their weights, by start-time fair queueing over
 * estimated cost.
 *
 * Long jobs occupy at most half of the slots, rounded down, but may always use
 * one. They start when no short job waits. If no long job is running, the
 * first one also starts ahead of short jobs once it has waited
 * SCHED_LONG_MAX_WAIT_MS, so that one slot always makes progress on long jobs.
 *
 * A job whose cost was never measured is queued with the short jobs, but
 * counts towards the limit on long jobs while it runs, because it may turn out
 * to be long.
 *
 * A job that was queued by sched_add() leaves the queue through
 * sched_start_next(), sched_remove_expired() or sched_remove().
 */

#include "clock.h"
#include "cluster.h"
#include "result.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	/* A customer is raised by one priority class each time its jobs have
	 * waited this long. */
	SCHED_AGEING_MS = 1000,
	/* After this wait a long job may start ahead of short ones. */
	SCHED_LONG_MAX_WAIT_MS = 100,
	SCHED_LONG_MAX_WAIT_ONE_SLOT_MS =
		1000 /* the same if there is only one slot */
};

struct sched;
struct sched_flow;

/* A request. The caller owns the memory and keeps it valid while the job
 * waits or runs. */
struct sched_job {
	char customer[ID_LEN];
	int64_t priority;
	int64_t weight;
	int64_t cost_us; /* estimate */
	bool is_long;
	bool cost_unmeasured; /* its cost was never measured */
	clk_ms start_deadline; /* latest time at which it may start */

	/* Set by the scheduler. */
	clk_ms arrived;
	uint64_t order;
	struct sched_flow *flow;
	struct sched_job *next;
	struct sched_job *prev;
	bool running;
};

struct sched *sched_new(int64_t slots, bool short_first, bool admission);
void sched_free(struct sched *s);
void sched_set_slots(struct sched *s, int64_t slots);

/* Queues a job. Returns RES_OVERLOAD without queueing it if admission control
 * is on and its estimated start is later than start_deadline, else RES_OK. */
enum res sched_add(struct sched *s, struct sched_job *j, clk_ms now);

/* Chooses the next job that may start, removes it from the queue and marks it
 * as running. Returns NULL if there is none. */
struct sched_job *sched_start_next(struct sched *s, clk_ms now);

/* Starts a job at once, even if no slot is free. Meant for the statements of a
 * transaction: it may hold locks that running statements wait for. */
void sched_start_now(struct sched *s, struct sched_job *j, clk_ms now);

/* Removes a job whose start_deadline has passed from the queue and returns it;
 * NULL if there is none. */
struct sched_job *sched_remove_expired(struct sched *s, clk_ms now);

/* Removes a waiting job from the queue. */
void sched_remove(struct sched *s, struct sched_job *j);

/* Reports that a running job has ended; us is its measured cost. */
void sched_finish(struct sched *s, struct sched_job *j, int64_t us);

/* Changes the class of a job after it turned out to be long, or a waiting one
 * to be short. The cost then counts as measured. */
void sched_reclassify(struct sched *s, struct sched_job *j, bool is_long);

/* Estimated wait of a new short job of a priority class. */
clk_ms sched_wait_ms(const struct sched *s, int64_t priority);

size_t sched_waiting(const struct sched *s);
size_t sched_running(const struct sched *s);

#endif
