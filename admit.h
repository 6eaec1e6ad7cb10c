#ifndef ADMIT_H
#define ADMIT_H

/*
 * Admission control for requests at the proxy that received them from the
 * caller (origin proxy).
 *
 * A plan limits how many requests of a customer may run at the same time over
 * all proxies. This proxy's share of the limit is counted in units, see
 * quota_client_units(); a request occupies one unit while it runs. A request
 * that finds no free unit waits in the customer's queue, in order of arrival.
 *
 * The wait is estimated as queue length * service time / units. If it exceeds
 * the time that the request may wait, the request is refused at once: the
 * caller learns early that it was not run, and the queue only holds requests
 * that can be served in time.
 */

#include "clock.h"

#include <stdbool.h>
#include <stdint.h>

#include "cluster.h"
#include "retry.h"

struct admit;

/* Queue link of a request; embedded in the request's record. */
struct admit_entry {
	struct admit_entry *next;
	struct admit_entry *prev;
	bool queued;
};

struct admit_customer {
	char name[ID_LEN];
	int64_t in_use; /* units occupied */
	int64_t queued;
	double service_ms; /* moving average of how long a unit is occupied */
	struct admit_entry *first;
	struct admit_entry *last;
	struct retry_budget budget;
};

enum admit_decision { ADMIT_RUN, ADMIT_QUEUED, ADMIT_REFUSED };

struct admit *admit_new(void);
void admit_free(struct admit *a);

/* Returns the record of a customer, creating it on first use. */
struct admit_customer *admit_customer(struct admit *a, const char *name);

/* Takes a unit for a request, queues the request or refuses it. If bounded is
 * false (admission control is off), the request is queued whatever the
 * estimated wait is. */
enum admit_decision admit_enter(struct admit_customer *c, struct admit_entry *e,
				int64_t units, clk_ms wait_ms, bool bounded);

/* Estimated wait of a request that queues now, in ms. */
clk_ms admit_estimate(const struct admit_customer *c, int64_t units);

/* Returns a unit that was occupied for held_ms. */
void admit_release(struct admit_customer *c, clk_ms held_ms);

/* Removes the first entry from the queue and takes a unit for it. Returns NULL
 * if the queue is empty or no unit is free. */
struct admit_entry *admit_next(struct admit_customer *c, int64_t units);

/* Removes an entry from the queue; does nothing if it isn't queued. */
void admit_remove(struct admit_customer *c, struct admit_entry *e);

/* Calls fn for every customer with units in use or requests queued. */
void admit_each(struct admit *a,
		void (*fn)(void *arg, struct admit_customer *c), void *arg);

#endif
