#ifndef ADMIT_H
#define ADMIT_H

/*
 * Admission of requests at their origin proxy: units of the customer's limit
 * and a queue that is bounded by the time its requests may wait.
 *
 * The units come from quota_client_units(). A request that finds no free unit
 * queues in order of arrival. If the estimate of queue length times service
 * time over units exceeds what the request may wait, it is refused at once,
 * so that a caller learns early that it was not run and the queue holds only
 * requests that can be served.
 */

#include "clock.h"

#include <stdbool.h>
#include <stdint.h>

#include "cluster.h"
#include "retry.h"

struct admit;

/* A request in the queue; embedded in the request's record. */
struct admit_entry {
	struct admit_entry *next;
	struct admit_entry *prev;
	bool queued;
};

struct admit_customer {
	char name[ID_LEN];
	int64_t in_use; /* units occupied */
	int64_t queued;
	double service_ms; /* how long a unit stays occupied, smoothed */
	struct admit_entry *first;
	struct admit_entry *last;
	struct retry_budget budget;
};

enum admit_verdict { ADMIT_RUN, ADMIT_QUEUED, ADMIT_REFUSED };

struct admit *admit_new(void);
void admit_free(struct admit *a);

/* The record of a customer, made on first use. */
struct admit_customer *admit_customer(struct admit *a, const char *name);

/* Takes a unit, queues or refuses. bounded is false without admission control:
 * the request then queues whatever the estimate says. */
enum admit_verdict admit_enter(struct admit_customer *c, struct admit_entry *e,
			       int64_t units, clk_ms wait_ms, bool bounded);

/* Estimated wait of a request that queues now, in ms. */
clk_ms admit_estimate(const struct admit_customer *c, int64_t units);

/* Gives a unit back after held_ms. */
void admit_release(struct admit_customer *c, clk_ms held_ms);

/* Takes the next queued entry and a unit for it, or returns NULL. */
struct admit_entry *admit_next(struct admit_customer *c, int64_t units);

/* Removes an entry that waits no longer. */
void admit_remove(struct admit_customer *c, struct admit_entry *e);

/* Calls fn for every customer with units in use or requests queued. */
void admit_each(struct admit *a,
		void (*fn)(void *arg, struct admit_customer *c), void *arg);

#endif
