#ifndef QUOTA_PRIV_H
#define QUOTA_PRIV_H

/* Shared by the files of quota_. */

#include "quota.h"

struct floor_zone {
	size_t first; /* its proxies in floor_map.proxies */
	size_t n;
	uint64_t hash; /* for the customer at hand */
};

/* Proxies by zone. */
struct floor_map {
	const struct proxy_info *base;
	const struct proxy_info **proxies;
	size_t n;
	struct floor_zone *zones;
	size_t nzones;
};

void floor_map_init(struct floor_map *m, const struct proxy_info *proxies,
		    size_t n);
void floor_map_free(struct floor_map *m);

/* Units of a limit that are divided over the proxies as floors. */
int64_t quota_half(int64_t limit);

/* Floors of a customer at all proxies, in the order of the roster. */
void quota_floors(const struct floor_map *m, const char *customer,
		  int64_t limit, int64_t *out);

#endif
