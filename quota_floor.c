#include "quota_priv.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

static uint64_t floor_hash(const char *customer, int64_t unit, const char *name)
{
	XXH64_hash_t seed = XXH3_64bits(customer, strlen(customer));

	return XXH3_64bits_withSeed(name, strlen(name),
				    seed + (uint64_t)unit *
						    0x9e3779b97f4a7c15u);
}

/* Zones in the order of their hash for the customer. */
struct floor_zone {
	const char *name;
	uint64_t hash;
};

static int floor_zone_order(const void *a, const void *b)
{
	const struct floor_zone *x = a;
	const struct floor_zone *y = b;

	if (x->hash != y->hash)
		return x->hash > y->hash ? -1 : 1;
	return strcmp(x->name, y->name);
}

static size_t floor_zones(const char *customer, const struct proxy_info *p,
			  size_t n, struct floor_zone *out)
{
	size_t nz = 0;

	for (size_t i = 0; i < n; i++) {
		size_t z = 0;

		while (z < nz && strcmp(out[z].name, p[i].zone))
			z++;
		if (z < nz)
			continue;
		out[nz].name = p[i].zone;
		out[nz++].hash = floor_hash(customer, -1, p[i].zone);
	}
	qsort(out, nz, sizeof(*out), floor_zone_order);
	return nz;
}

static size_t floor_owner(const char *customer, int64_t unit, const char *zone,
			  const struct proxy_info *p, size_t n)
{
	uint64_t best_hash = 0;
	size_t best = n;

	for (size_t i = 0; i < n; i++) {
		uint64_t hash;

		if (strcmp(p[i].zone, zone) != 0)
			continue;
		hash = floor_hash(customer, unit, p[i].id);
		if (best == n || hash > best_hash ||
		    (hash == best_hash && strcmp(p[i].id, p[best].id) < 0)) {
			best = i;
			best_hash = hash;
		}
	}
	return best;
}

int64_t quota_half(int64_t limit)
{
	return (limit + 1) / 2;
}

void quota_floors(const char *customer, int64_t limit,
		  const struct proxy_info *proxies, size_t nproxies,
		  int64_t *out)
{
	struct floor_zone *zones;
	size_t nz;

	memset(out, 0, nproxies * sizeof(*out));
	if (!nproxies)
		return;
	zones = calloc(nproxies, sizeof(*zones));
	if (!zones)
		abort();
	nz = floor_zones(customer, proxies, nproxies, zones);
	for (int64_t u = 0; u < quota_half(limit); u++)
		out[floor_owner(customer, u, zones[(size_t)u % nz].name,
				proxies, nproxies)]++;
	free(zones);
}

int64_t quota_floor(const char *customer, int64_t limit, const char *proxy,
		    const struct proxy_info *proxies, size_t nproxies)
{
	int64_t *floors = calloc(nproxies + 1, sizeof(*floors));
	int64_t result = 0;

	if (!floors)
		abort();
	quota_floors(customer, limit, proxies, nproxies, floors);
	for (size_t i = 0; i < nproxies; i++)
		if (!strcmp(proxies[i].id, proxy))
			result = floors[i];
	free(floors);
	return result;
}
