#ifndef VIEW_H
#define VIEW_H

/*
 * A proxy's copy of the state that the control leader decided on: the lists
 * (plans and customers), groups, backend servers, proxies, and the proxy's
 * lease with the groups that it does not cover. Answers of the leader update
 * it; newer lists may also come from other proxies. Free of I/O; the time is
 * passed in. Pointers to records are valid until the next view_apply_answer().
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
 * Applies an answer of the control leader to the ASK message that was sent at
 * ask_sent_at, which is when the lease begins. Lists and records that are not
 * newer than those held are ignored. Returns true if groups, backends or
 * proxies changed.
 */
bool view_apply_answer(struct view *v, const struct msg_answer *a,
		       clk_ms ask_sent_at);

/* Replaces the lists; returns false if l is not newer than those held. */
bool view_set_lists(struct view *v, struct lists *l);

/*
 * The lists in force, or NULL before the first. The caller gets no reference
 * of its own.
 */
struct lists *view_lists(const struct view *v);

/* Newest version of the records that an answer had, 0 before the first. */
int64_t view_version(const struct view *v);

/* A record by name or id, or NULL. */
const struct group_info *view_group(const struct view *v, const char *name);
const struct backend_info *view_backend(const struct view *v, const char *id);
const struct proxy_info *view_proxy(const struct view *v, const char *id);

/* All records, for iteration. */
const struct group_info *view_groups(const struct view *v, size_t *n);
const struct backend_info *view_backends(const struct view *v, size_t *n);
const struct proxy_info *view_proxies(const struct view *v, size_t *n);

/*
 * True if the lease is valid for a group in a term: term is the group's current
 * one, and the lease has not expired and covers the group. Only then may writes
 * of the group be acknowledged under term and current reads be served.
 */
bool view_lease_valid(const struct view *v, const char *group, int64_t term,
		      clk_ms now);

/* Returns when the lease of a group ends; 0 if it does not cover the group. */
clk_ms view_lease_until(const struct view *v, const char *group);

/* Returns when the lease ends, whatever groups it covers. */
clk_ms view_lease_expires_at(const struct view *v);

/* Extends the lease to a time until which a majority of the voters supports
 * it. */
void view_extend_lease(struct view *v, clk_ms until);

/*
 * Marks another proxy as reachable (up) or unreachable from this proxy, because
 * the link to it broke. Owners of backends are chosen among reachable proxies.
 */
void view_set_reachable(struct view *v, const char *proxy, bool up);

/*
 * Id of the proxy that owns a backend: the one with the highest rendezvous hash
 * among the proxies of the backend's zone that are alive and reachable, or
 * among those of all zones if that zone has none. If there is none at all, the
 * id of this proxy. This proxy always counts as alive and reachable.
 */
const char *view_backend_owner(const struct view *v,
			       const struct backend_info *b);

#endif
