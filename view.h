#ifndef VIEW_H
#define VIEW_H

/*
 * A proxy's copy of what control decided: lists, groups, backend servers,
 * proxies, the lease and the groups it does not cover. No I/O; the time is
 * passed in. Records are found by name and are valid until the next
 * view_take().
 */

#include "clock.h"
#include "cluster.h"
#include "lists.h"
#include "msg.h"

struct view;

/* self_id and self_zone are those of the own proxy. */
struct view *view_new(const char *self_id, const char *self_zone);
void view_free(struct view *v);

/*
 * Takes over an answer of the control leader to an ask that was sent at
 * asked. Lists and records older than what is held are ignored. Returns true
 * if groups, backends or proxies changed.
 */
bool view_take(struct view *v, const struct msg_answer *a, clk_ms asked);

/* Takes lists of a version; returns false if a newer one is held. */
bool view_take_lists(struct view *v, struct lists *l);

/* The lists in force, or NULL before the first. Not a new reference. */
struct lists *view_lists(const struct view *v);

int64_t view_version(const struct view *v);

const struct group_info *view_group(const struct view *v, const char *name);
const struct backend_info *view_backend(const struct view *v, const char *id);
const struct proxy_info *view_proxy(const struct view *v, const char *id);

/* All records, for iteration. */
const struct group_info *view_groups(const struct view *v, size_t *n);
const struct backend_info *view_backends(const struct view *v, size_t *n);
const struct proxy_info *view_proxies(const struct view *v, size_t *n);

/*
 * True if writes of the group may be acknowledged under term and current
 * reads served: term is the group's current one, the lease has not run out
 * and covers the group.
 */
bool view_lease_valid(const struct view *v, const char *group, int64_t term,
		      clk_ms now);

/*
 * Marks another proxy as unreachable from here (its link broke) or reachable.
 * The owner of a backend is then chosen among the others.
 */
void view_mark_link(struct view *v, const char *proxy, bool up);

/*
 * Id of the proxy that owns a backend: highest rendezvous hash among the
 * proxies of the backend's zone that are alive and reachable, or among all of
 * those if the zone has none. Falls back to the own id.
 */
const char *view_owner(const struct view *v, const struct backend_info *b);

#endif
