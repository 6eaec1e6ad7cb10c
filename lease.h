#ifndef LEASE_H
#define LEASE_H

/*
 * Leases that allow proxies to use the primaries of groups: which ones may
 * still be valid, from the view of the control leader that wants to have
 * another member promoted, and how long voters without a leader keep one valid.
 *
 * The leader grants a lease with each answer to an ask. A lease allows a proxy
 * to use the primaries of all groups, except those whose record says that the
 * primary is being changed. Before another member is promoted, no lease may
 * cover the group any more.
 *
 * A lease ends for a group as soon as the proxy holds the record of the change,
 * which it proves by the view version in its next ask. Proxies that can't be
 * reached are waited for until their lease has expired. Leases that earlier
 * leaders granted, or that voters supported while they had no leader, are not
 * known; they are waited for in full.
 *
 * While there is no leader, a lease goes on as long as a majority of the voters
 * supports it. A change of primary needs a majority, too, so one of these
 * voters would know of it, and it supports no lease any more.
 *
 * Free of I/O; the time is passed in. Names begin with lse_.
 */

#include "clock.h"
#include "cluster.h"

#include <stddef.h>

/* The newest lease of a proxy. */
struct lse_grant {
	char proxy[ID_LEN];
	clk_ms granted_at;
	int64_t view_version; /* that the proxy held when it asked */
};

struct lse_table {
	struct lse_grant *grants; /* sorted by proxy */
	size_t n;
	clk_ms longest_ms; /* after which a lease has surely expired */
	clk_ms unknown_until; /* when those of earlier leaders have expired */
};

/*
 * Forgets all grants: this instance has just become the leader. An earlier
 * leader may have granted leases until overlap_ms after now.
 */
void lse_start(struct lse_table *t, clk_ms lease_ms, clk_ms overlap_ms,
	       clk_ms now);
void lse_free(struct lse_table *t);

/* A voter may have supported leases of proxies until a time, since it heard no
 * leader before. */
void lse_note_support(struct lse_table *t, clk_ms until);

/* A proxy whose view has a version was granted a lease. */
void lse_record(struct lse_table *t, const char *proxy, int64_t view_version,
		clk_ms now);

/*
 * Returns the time when no lease can cover a group any more, which may be in
 * the past. change_version is the view version of the record of the change, and
 * since when this leader grants no leases for the group.
 */
clk_ms lse_over_at(const struct lse_table *t, int64_t change_version,
		   clk_ms since);

/* A control instance, as a proxy knows it. */
struct lse_supporter {
	bool voter;
	clk_ms supports_until; /* 0 if it never supported a lease */
};

/* Returns the time until which a majority of the voters supports the lease. */
clk_ms lse_majority_supports_until(const struct lse_supporter *list, int n);

#endif
