#ifndef STATE_PRIV_H
#define STATE_PRIV_H

/* Internals of struct state, shared by state.c (commands and queries) and
 * state_snapshot.c (snapshots). */

#include "state.h"

struct state {
	int64_t version; /* of the lists; 0 if there are none */
	struct lists *lists;
	struct state_request_result *requests; /* oldest first */
	size_t nrequests;
	struct state_lists_revision *changes; /* oldest first */
	size_t nchanges;
	struct state_published_config published;
	int64_t view_version;
	struct group_info *groups;
	size_t ngroups;
	struct backend_info *backends;
	size_t nbackends;
	struct proxy_info *proxies;
	size_t nproxies;
	struct ended_log *ended_logs;
	size_t nended_logs;
	struct group_orders *orders;
	size_t norders;
	struct group_info
		*delta_groups; /* arrays filled by state_fill_newer_records() */
	struct backend_info *delta_backends;
	struct proxy_info *delta_proxies;
};

/* Frees the content and leaves an empty state. */
void state_clear(struct state *s);

/* Takes a published configuration if its version is higher. */
void state_set_published(struct state *s, const struct msg_publish *m);

/* Makes room for one more element in an array of n elements. */
void *state_grow_array(void *list, size_t n, size_t size);

/* Append a zeroed element; the oldest one is dropped at the maximum. */
struct state_request_result *state_add_request(struct state *s);
struct state_lists_revision *state_add_change(struct state *s);

/* To be called before a backend's record is removed or replaced: in is the
 * command. */
void state_note_end(struct state *s, const struct backend_info *have,
		    const struct backend_info *in);
void state_note_successor(struct state *s, const struct backend_info *in);
/* A backend that starts again may have nothing of its log, unless it is its
 * group's primary, which comes back with it. */
void state_note_restart(struct state *s, const struct backend_info *have,
			const struct backend_info *in);
void state_merge_orders(struct state *s, const struct group_orders *in);
void state_merge_ended_log(struct state *s, const struct ended_log *in);

struct group_info *state_find_or_add_group(struct state *s, const char *name);

#endif
