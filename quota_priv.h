#ifndef QUOTA_PRIV_H
#define QUOTA_PRIV_H

/* Shared by the files of quota_. */

#include "quota.h"

/* Units of a limit that are divided over the proxies as floors. */
int64_t quota_half(int64_t limit);

/* Floors of a customer at all proxies, in their order. */
void quota_floors(const char *customer, int64_t limit,
		  const struct proxy_info *proxies, size_t nproxies,
		  int64_t *out);

#endif
