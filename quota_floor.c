#include "quota_priv.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static uint64_t floor_hash(uint64_t seed, int64_t unit, const char *name)
{
	return XXH3_64bits_withSeed(name, strlen(name),
				    seed + (uint64_t)unit *
						    0x9e3779b97f4a7c15u);
}

static int floor_order(const void *a, const void *b)
{
	const struct proxy_info *x = *(const struct proxy_info *const *)a;
	const struct proxy_info *y = *(const struct proxy_info *const *)b;
	int zones = strcmp(x->zone, y->zone);

	return zones ? zones : strcmp(x->id, y->id);
}

void floor_map_init(struct floor_map *m, const struct proxy_info *proxies,
		    size_t n)
{
	m->roster = proxies;
	m->n = n;
	m->proxies = calloc(n + 1, sizeof(*m->proxies));
	m->zones = calloc(n + 1, sizeof(*m->zones));
	m->nzones = 0;
	if (!m->proxies || !m->zones)
		abort();
	for (size_t i = 0; i < n; i++)
		m->proxies[i] = &proxies[i];
	if (n)
		qsort(m->proxies, n, sizeof(*m->proxies), floor_order);
	for (size_t i = 0; i < n; i++) {
		if (!i || strcmp(m->proxies[i]->zone, m->proxies[i - 1]->zone))
			m->zones[m->nzones++].first = i;
		m->zones[m->nzones - 1].n++;
	}
}

void floor_map_free(struct floor_map *m)
{
	free(m->proxies);
	free(m->zones);
}

static int floor_zone_order(const void *a, const void *b)
{
	const struct floor_zone *x = a;
	const struct floor_zone *y = b;

	if (x->hash != y->hash)
		return x->hash > y->hash ? -1 : 1;
	return x->first < y->first ? -1 : 1;
}

static const struct proxy_info *floor_proxy_of_unit(const struct floor_map *m,
						    const struct floor_zone *z,
						    uint64_t seed, int64_t unit)
{
	const struct proxy_info *best = NULL;
	uint64_t best_hash = 0;

	for (size_t i = z->first; i < z->first + z->n; i++) {
		uint64_t hash = floor_hash(seed, unit, m->proxies[i]->id);

		if (best && hash <= best_hash)
			continue;
		best = m->proxies[i];
		best_hash = hash;
	}
	return best;
}

int64_t quota_floor_total(int64_t limit)
{
	return (limit + 1) / 2;
}

void quota_floors(const struct floor_map *m, const char *customer,
		  int64_t limit, int64_t *out)
{
	uint64_t seed = XXH3_64bits(customer, strlen(customer));
	struct floor_zone *z = m->zones;

	memset(out, 0, m->n * sizeof(*out));
	if (!m->n)
		return;
	for (size_t i = 0; i < m->nzones; i++)
		z[i].hash = floor_hash(seed, -1, m->proxies[z[i].first]->zone);
	qsort(z, m->nzones, sizeof(*z), floor_zone_order);
	for (int64_t u = 0; u < quota_floor_total(limit); u++)
		out[floor_proxy_of_unit(m, &z[(size_t)u % m->nzones], seed, u) -
		    m->roster]++;
}

int64_t quota_floor(const char *customer, int64_t limit, const char *proxy,
		    const struct proxy_info *proxies, size_t nproxies)
{
	int64_t *floors = calloc(nproxies + 1, sizeof(*floors));
	struct floor_map m;
	int64_t result = 0;

	if (!floors)
		abort();
	floor_map_init(&m, proxies, nproxies);
	quota_floors(&m, customer, limit, floors);
	for (size_t i = 0; i < nproxies; i++)
		if (!strcmp(proxies[i].id, proxy))
			result = floors[i];
	floor_map_free(&m);
	free(floors);
	return result;
}
