#include "admit.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>

#define ADMIT_INITIAL_SERVICE_MS 5.0 /* estimate before the first request */
#define ADMIT_NEW_WEIGHT 0.1 /* weight of the newest service time */

struct admit_slot {
	struct admit_customer customer; /* its name is the key */
	UT_hash_handle hh;
};

struct admit {
	struct admit_slot *slots;
};

struct admit *admit_new(void)
{
	struct admit *a = calloc(1, sizeof(*a));

	if (!a)
		abort();
	return a;
}

void admit_free(struct admit *a)
{
	struct admit_slot *s;
	struct admit_slot *next;

	if (!a)
		return;
	HASH_ITER (hh, a->slots, s, next) {
		HASH_DEL(a->slots, s);
		free(s);
	}
	free(a);
}

struct admit_customer *admit_customer(struct admit *a, const char *name)
{
	struct admit_slot *s;

	HASH_FIND_STR(a->slots, name, s);
	if (s)
		return &s->customer;
	s = calloc(1, sizeof(*s));
	if (!s)
		abort();
	snprintf(s->customer.name, sizeof(s->customer.name), "%s", name);
	s->customer.service_ms = ADMIT_INITIAL_SERVICE_MS;
	s->customer.budget = retry_budget_init();
	HASH_ADD_STR(a->slots, customer.name, s);
	return &s->customer;
}

clk_ms admit_estimate(const struct admit_customer *c, int64_t units)
{
	/* The wait then depends on when the control leader grants units, not
	 * on the queue. */
	if (units <= 0)
		return 0;
	return (clk_ms)((double)c->queued * c->service_ms / (double)units);
}

enum admit_decision admit_enter(struct admit_customer *c, struct admit_entry *e,
				int64_t units, clk_ms wait_ms, bool bounded)
{
	if (!c->first && c->in_use < units) {
		c->in_use++;
		return ADMIT_RUN;
	}
	if (bounded && admit_estimate(c, units) > wait_ms)
		return ADMIT_REFUSED;
	*e = (struct admit_entry){.prev = c->last, .queued = true};
	if (c->last)
		c->last->next = e;
	else
		c->first = e;
	c->last = e;
	c->queued++;
	return ADMIT_QUEUED;
}

void admit_release(struct admit_customer *c, clk_ms held_ms)
{
	c->in_use--;
	c->service_ms += ADMIT_NEW_WEIGHT * ((double)held_ms - c->service_ms);
}

void admit_remove(struct admit_customer *c, struct admit_entry *e)
{
	if (!e->queued)
		return;
	if (e->prev)
		e->prev->next = e->next;
	else
		c->first = e->next;
	if (e->next)
		e->next->prev = e->prev;
	else
		c->last = e->prev;
	c->queued--;
	*e = (struct admit_entry){.queued = false};
}

struct admit_entry *admit_next(struct admit_customer *c, int64_t units)
{
	struct admit_entry *e = c->first;

	if (!e || c->in_use >= units)
		return NULL;
	admit_remove(c, e);
	c->in_use++;
	return e;
}

void admit_each(struct admit *a,
		void (*fn)(void *arg, struct admit_customer *c), void *arg)
{
	struct admit_slot *s;
	struct admit_slot *next;

	HASH_ITER (hh, a->slots, s, next)
		if (s->customer.in_use || s->customer.queued)
			fn(arg, &s->customer);
}
