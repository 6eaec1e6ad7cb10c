#ifndef QUOTA_PRIV_H
#define QUOTA_PRIV_H

/*
 * Shared by the leader side of the quota module: quota.c keeps the grants,
 * quota_floor.c divides the floors over the proxies.
 */

#include "quota.h"

struct floor_zone {
	size_t first; /* index of its first proxy in floor_map.proxies */
	size_t n;
	uint64_t hash; /* for the current customer; sets the order of zones */
};

/* The proxies of the roster, sorted by zone. */
struct floor_map {
	const struct proxy_info *roster;
	const struct proxy_info **proxies;
	size_t n;
	struct floor_zone *zones;
	size_t nzones;
};

void floor_map_init(struct floor_map *m, const struct proxy_info *proxies,
		    size_t n);
void floor_map_free(struct floor_map *m);

/* Units of a limit that are divided over the proxies as floors. */
int64_t quota_floor_total(int64_t limit);

/* Computes the floors of a customer at all proxies, in the order of the
 * roster. */
void quota_floors(const struct floor_map *m, const char *customer,
		  int64_t limit, int64_t *out);

#endif
