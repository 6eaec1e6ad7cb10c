#ifndef UPLINK_H
#define UPLINK_H

/*
 * A proxy's links to the control instances.
 *
 * Sends asks when ask.h says so and hands the answers to the view, the quota
 * and the users of both. Forwards QUERY and APPLY of operators to the leader;
 * both are sent again when the leader changes, which is safe because the
 * request id of an APPLY makes it idempotent.
 */

#include "clock.h"
#include "cluster.h"
#include "msg.h"

#include <stdbool.h>

struct ev_loop;
struct exec;
struct flt;
struct quota_client;
struct routes;
struct settings;
struct uplink;
struct view;

enum {
	UPL_REQUEST_MS = 5000, /* bound of a forwarded request */
	UPL_RESEND_MS = 300, /* without an answer */
	UPL_ANNOUNCE_MS = 1000, /* an announcement that was not passed on */
	UPL_LEAVE_MS = 10000 /* the same for a leaving backend */
};

/* quota, flt and exec are NULL where the line protocol is served. */
struct uplink_config {
	struct ev_loop *loop;
	const struct settings *set;
	struct view *view;
	struct quota_client *quota;
	struct flt *flt;
	struct exec *exec;
	int64_t uuid;
	void *arg;
	void (*on_view)(void *arg); /* groups, backends or proxies changed */

	/* NULL where the line protocol is served. */
	void (*on_answer)(void *arg); /* lease and quota may have changed */
	void (*on_lists)(void *arg); /* newer lists are in force */

	/* Without exec: groups whose primary can't be reached from here. */
	int64_t (*suspects)(void *arg, struct suspect *out, int64_t max,
			    clk_ms now);
	/* Positions of primaries, with the local time that each answers to. */
	int64_t (*samples)(void *arg, struct pos_sample *out, int64_t max);
	void (*on_sample)(void *arg, const struct pos_sample *s);

	/* Appends which groups' positions are needed, as in struct msg_ask. */
	void (*wants)(void *arg, struct buf *out, clk_ms now);

	/* A published configuration that is newer than the one held. */
	void (*on_routes)(void *arg, struct routes *r);
};

struct uplink *uplink_new(const struct uplink_config *cfg);
void uplink_free(struct uplink *u);

/* Tells the leader soon; for suspects, quota demand and own changes. */
void uplink_wake(struct uplink *u);

/* From now on asks say that this proxy stops. */
void uplink_stopping(struct uplink *u);

/* Control instances to try, besides those known. */
void uplink_try(struct uplink *u, const struct settings *set);

/* A backend announced itself or its leaving. */
void uplink_announce(struct uplink *u, const struct backend_info *b);

/*
 * Forwards a QUERY or APPLY. on_reply is called once, from the loop, with
 * ROWS or APPLIED, or with NULL if no leader answered in time. Returns an id
 * for uplink_abandon().
 */
int64_t uplink_request(struct uplink *u, const struct msg *m,
		       void (*on_reply)(void *arg, const struct msg *m),
		       void *arg);
void uplink_abandon(struct uplink *u, int64_t id);

/* Id of the control leader, "" while none is known. */
const char *uplink_leader(const struct uplink *u);

/* Whether most of the control instances were heard within the last ms; this
 * tells more than the leader's answers where none is elected. */
bool uplink_heard_most(const struct uplink *u, clk_ms ms, clk_ms now);

/* Time since the last answer of a leader, -1 before the first. */
clk_ms uplink_age(const struct uplink *u, clk_ms now);

#endif
