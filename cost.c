#include "cost.h"

#include <stdlib.h>

enum {
	COST_MEDIAN_SAMPLES = 255, /* statements that the median covers */
	COST_MEDIAN_INTERVAL = 16, /* statements until it is computed again */
	COST_INITIAL_SIZE = 16, /* allocated entries of a new table */
	COST_NONE = -1
};

/* Weight of a new measurement in the moving average. */
#define COST_NEW_WEIGHT 0.2

struct cost_entry {
	int64_t fingerprint;
	double us;
	int next_in_bucket; /* index of the next entry of the bucket */
	int newer;
	int older;
};

struct cost {
	struct cost_entry *entries;
	int *buckets;
	int max;
	int size; /* allocated entries and buckets */
	int used;
	int newest;
	int oldest;
	int64_t recent[COST_MEDIAN_SAMPLES];
	int64_t nrecorded; /* costs recorded since the start */
	int64_t median;
};

static int *cost_bucket(struct cost *c, int64_t fingerprint);

/* Grows the table to size entries and rebuilds the buckets. Tables grow with
 * use because a proxy has one for each backend server that it knows, and most
 * of them stay empty. */
static void cost_resize(struct cost *c, int size)
{
	c->entries = realloc(c->entries, (size_t)size * sizeof(*c->entries));
	c->buckets = realloc(c->buckets, (size_t)size * sizeof(*c->buckets));
	if (!c->entries || !c->buckets)
		abort();
	c->size = size;
	for (int i = 0; i < size; i++)
		c->buckets[i] = COST_NONE;
	for (int i = 0; i < c->used; i++) {
		int *bucket = cost_bucket(c, c->entries[i].fingerprint);

		c->entries[i].next_in_bucket = *bucket;
		*bucket = i;
	}
}

struct cost *cost_new(int max)
{
	struct cost *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->max = max;
	c->newest = COST_NONE;
	c->oldest = COST_NONE;
	c->median = COST_INITIAL_MEDIAN_US;
	cost_resize(c, max < COST_INITIAL_SIZE ? max : COST_INITIAL_SIZE);
	return c;
}

void cost_free(struct cost *c)
{
	if (!c)
		return;
	free(c->entries);
	free(c->buckets);
	free(c);
}

/* Fingerprints are hash values, so they select the bucket directly. */
static int *cost_bucket(struct cost *c, int64_t fingerprint)
{
	return &c->buckets[(uint64_t)fingerprint % (uint64_t)c->size];
}

static int cost_find(struct cost *c, int64_t fingerprint)
{
	int i = *cost_bucket(c, fingerprint);

	while (i != COST_NONE && c->entries[i].fingerprint != fingerprint)
		i = c->entries[i].next_in_bucket;
	return i;
}

static void cost_unlink(struct cost *c, int i)
{
	struct cost_entry *e = &c->entries[i];

	if (e->newer == COST_NONE)
		c->newest = e->older;
	else
		c->entries[e->newer].older = e->older;
	if (e->older == COST_NONE)
		c->oldest = e->newer;
	else
		c->entries[e->older].newer = e->newer;
}

static void cost_link_newest(struct cost *c, int i)
{
	struct cost_entry *e = &c->entries[i];

	e->newer = COST_NONE;
	e->older = c->newest;
	if (c->newest == COST_NONE)
		c->oldest = i;
	else
		c->entries[c->newest].newer = i;
	c->newest = i;
}

/* Removes the least recently used entry from the table and returns its index
 * for reuse. */
static int cost_evict(struct cost *c)
{
	int i = c->oldest;
	int *link = cost_bucket(c, c->entries[i].fingerprint);

	while (*link != i)
		link = &c->entries[*link].next_in_bucket;
	*link = c->entries[i].next_in_bucket;
	cost_unlink(c, i);
	return i;
}

static int cost_add(struct cost *c, int64_t fingerprint, double us)
{
	int *bucket;
	int i;

	if (c->used == c->size && c->size < c->max)
		cost_resize(c, 2 * c->size < c->max ? 2 * c->size : c->max);
	i = c->used < c->max ? c->used++ : cost_evict(c);
	bucket = cost_bucket(c, fingerprint);

	c->entries[i] = (struct cost_entry){.fingerprint = fingerprint,
					    .us = us,
					    .next_in_bucket = *bucket};
	*bucket = i;
	cost_link_newest(c, i);
	return i;
}

int64_t cost_estimate(struct cost *c, int64_t fingerprint)
{
	int i = cost_find(c, fingerprint);

	if (i == COST_NONE)
		return c->median;
	cost_unlink(c, i);
	cost_link_newest(c, i);
	return (int64_t)c->entries[i].us;
}

static int cost_compare(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

static void cost_refresh_median(struct cost *c)
{
	int64_t sorted[COST_MEDIAN_SAMPLES] = {0};
	size_t n = c->nrecorded < COST_MEDIAN_SAMPLES ? (size_t)c->nrecorded
						      : COST_MEDIAN_SAMPLES;

	for (size_t i = 0; i < n; i++)
		sorted[i] = c->recent[i];
	qsort(sorted, n, sizeof(sorted[0]), cost_compare);
	c->median = sorted[n / 2];
}

void cost_record(struct cost *c, int64_t fingerprint, int64_t us)
{
	int i = cost_find(c, fingerprint);

	if (i == COST_NONE)
		cost_add(c, fingerprint, (double)us);
	else if (cost_is_long(c, us) && (double)us > c->entries[i].us)
		c->entries[i].us = (double)us;
	else
		c->entries[i].us +=
			COST_NEW_WEIGHT * ((double)us - c->entries[i].us);
	c->recent[c->nrecorded++ % COST_MEDIAN_SAMPLES] = us;
	if (c->nrecorded < COST_MEDIAN_INTERVAL ||
	    c->nrecorded % COST_MEDIAN_INTERVAL == 0)
		cost_refresh_median(c);
}

bool cost_is_known(struct cost *c, int64_t fingerprint)
{
	return cost_find(c, fingerprint) != COST_NONE;
}

void cost_raise_estimate(struct cost *c, int64_t fingerprint, int64_t us)
{
	int i = cost_find(c, fingerprint);

	if (i == COST_NONE)
		cost_add(c, fingerprint, (double)us);
	else if ((double)us > c->entries[i].us)
		c->entries[i].us = (double)us;
}

int64_t cost_median(const struct cost *c)
{
	return c->median;
}

bool cost_is_long(const struct cost *c, int64_t us)
{
	return us > COST_LONG_MIN_US && us > COST_LONG_FACTOR * c->median;
}

bool cost_exceeds_estimate(const struct cost *c, int64_t estimate, int64_t us)
{
	return us > COST_OVERRUN_FACTOR * estimate && cost_is_long(c, us);
}
