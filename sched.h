#ifndef SCHED_H
#define SCHED_H

/*
 * Slots of one backend server. Free of I/O; the time is passed in.
 *
 * Short jobs are served by priority class, 0 first; a customer that waits
 * without being served moves up one class every SCHED_AGEING_MS, so that none
 * starves. Inside a class customers share by weight (start-time fair queueing
 * over estimated cost).
 *
 * Long jobs hold at most half of the slots, rounded down, and at least one.
 * They start when no short job waits; the first of them also starts ahead of
 * short jobs once it has waited SCHED_PATIENCE_MS, so that long work always
 * progresses in one slot.
 *
 * A job whose cost was never measured is served like a short one, but counts
 * against the same half while it runs, as it may turn out to be long.
 *
 * A job ends its waiting by sched_take(), sched_expired() or sched_remove().
 */

#include "clock.h"
#include "cluster.h"
#include "result.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	SCHED_AGEING_MS = 1000, /* of waiting per priority class */
	SCHED_PATIENCE_MS = 100, /* long job ahead of short ones */
	SCHED_PATIENCE_ONE_MS = 1000 /* the same with a single slot */
};

struct sched;
struct sched_flow;

/* A request; lives in the user's memory. */
struct sched_job {
	char customer[ID_LEN];
	int64_t priority;
	int64_t weight;
	int64_t cost_us; /* estimate */
	bool is_long;
	bool unproven; /* its cost was never measured */
	clk_ms give_up; /* when its wait ends */

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

/* RES_OK, or RES_OVERLOAD if its estimated wait exceeds its wait. */
enum res sched_add(struct sched *s, struct sched_job *j, clk_ms now);

/* The next job that may start, now running; NULL if there is none. */
struct sched_job *sched_take(struct sched *s, clk_ms now);

/* Starts a job at once, even if no slot is free: a statement of a transaction
 * that holds locks which running statements may wait for. */
void sched_force(struct sched *s, struct sched_job *j, clk_ms now);

/* A job whose wait has ended, now removed; NULL if there is none. */
struct sched_job *sched_expired(struct sched *s, clk_ms now);

/* Withdraws a waiting job. */
void sched_remove(struct sched *s, struct sched_job *j);

/* A running job has ended; us is its measured cost. */
void sched_finish(struct sched *s, struct sched_job *j, int64_t us);

/* A job turned out to be long, or a waiting one to be short. */
void sched_reclassify(struct sched *s, struct sched_job *j, bool is_long);

/* Estimated wait of a new job of a priority class. */
clk_ms sched_wait_ms(const struct sched *s, int64_t priority);

size_t sched_waiting(const struct sched *s);
size_t sched_running(const struct sched *s);

#endif
