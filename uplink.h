#ifndef UPLINK_H
#define UPLINK_H

/*
 * A proxy's links to the control instances.
 *
 * A proxy reports to the control leader, and gets its lease and state, with
 * ASK messages: an ASK carries what the proxy observed (demands, suspected
 * primaries, announcements of backends, positions), its ANSWER carries the
 * lease, quota grants and all records that are newer than those the proxy
 * holds. This module opens a link to each control instance, sends an ASK when
 * the schedule in ask.h says so, and passes the answers on to the view, to
 * the quota client and to the callbacks of struct uplink_config.
 *
 * It also forwards QUERY and APPLY requests of operators to the leader. Both
 * are sent again if no answer comes or the leader changes, which is safe
 * because the request id makes an APPLY idempotent.
 *
 * Names shared by uplink.c and uplink_answer.c begin with upl_.
 */

#include "clock.h"
#include "cluster.h"
#include "msg.h"

#include <stdbool.h>

struct ev_loop;
struct exec;
struct flt;
struct quota_client;
struct route_table;
struct settings;
struct uplink;
struct view;

enum {
	UPL_REQUEST_TIMEOUT_MS = 5000, /* timeout of a forwarded request */
	UPL_REQUEST_RETRY_MS =
		300, /* a request without an answer is sent again */
	/* An announcement that no leader has acknowledged is dropped after: */
	UPL_ANNOUNCE_VALID_MS = 1000,
	UPL_LEAVE_VALID_MS = 10000 /* if it says that the backend is leaving */
};

/*
 * Settings and callbacks of an uplink. A proxy that serves the line protocol
 * differs from one that serves PostgreSQL: it has no quota, flt and exec, and
 * uses collect_suspects(), collect_samples(), on_peer_sample(),
 * append_wanted_groups() and on_new_routes() instead of on_lists_changed().
 * What isn't used is NULL.
 */
struct uplink_config {
	struct ev_loop *loop;
	const struct settings *set;
	struct view *view;
	struct quota_client *quota;
	struct flt *flt;
	struct exec *exec;
	int64_t uuid;
	void *arg;
	void (*on_view_changed)(
		void *arg); /* groups, backends or proxies changed */

	void (*on_leader_answer)(
		void *arg); /* lease and quota may have changed */

	/* NULL where the line protocol is served. */
	void (*on_lists_changed)(void *arg); /* newer lists are in force */

	/*
	 * Fills in up to max groups whose primary can't be reached from here,
	 * and returns their number. Needed if exec is NULL.
	 */
	int64_t (*collect_suspects)(void *arg, struct suspect_report *out,
				    int64_t max, clk_ms now);
	/*
	 * Fills in up to max positions of primaries, and returns their number.
	 * The time of each is local: the primary answered to something that was
	 * sent then or later.
	 */
	int64_t (*collect_samples)(void *arg, struct pos_sample *out,
				   int64_t max);

	/* A position that another proxy reported, with a local time. */
	void (*on_peer_sample)(void *arg, const struct pos_sample *s);

	/* Appends the bits of the groups whose positions this proxy needs, see
	 * struct msg_ask. */
	void (*append_wanted_groups)(void *arg, struct buf *out, clk_ms now);

	/* A grant of the leader for an ask of uplink_ask_rate(). */
	void (*on_rate_grant)(void *arg, const struct msg_rate_grant *g);

	/* Receives a published configuration that is newer than the one held.
	 */
	void (*on_new_routes)(void *arg, struct route_table *r);

	/*
	 * A control leader that may act answered an ask, which was sent at
	 * asked_at, and named this version as the newest configuration. Called
	 * after on_new_routes(). Answers sent on the leader's own initiative
	 * prove nothing and are not reported.
	 */
	void (*on_config_confirmed)(void *arg, int64_t version,
				    clk_ms asked_at);
};

struct uplink *uplink_new(const struct uplink_config *cfg);
void uplink_free(struct uplink *u);

/*
 * Sends the next ASK as soon as its schedule allows. To be called when
 * suspects, quota demand or the state of this proxy changed.
 */
void uplink_report_soon(struct uplink *u);

/* Makes all further ASK messages say that this proxy is stopping. */
void uplink_set_stopping(struct uplink *u);

/*
 * Opens links to control instances in the settings that aren't known yet. Does
 * nothing if the settings at the start did not come from seeds.
 */
void uplink_add_controls(struct uplink *u, const struct settings *set);

/* Sends an ask for tokens (ratelim.h) to the control instance that last
 * answered as the leader; false if there is none. */
bool uplink_ask_rate(struct uplink *u, const struct msg_rate_ask *ask);

/* Reports to the leader that a backend announced itself or that it leaves. */
void uplink_announce(struct uplink *u, const struct backend_info *b);

/*
 * Forwards a QUERY or APPLY to the leader. on_reply is called once, from the
 * event loop, with the ROWS or APPLIED message, or with NULL if no leader
 * answered within UPL_REQUEST_TIMEOUT_MS. Returns an id for
 * uplink_cancel_request().
 */
int64_t uplink_request(struct uplink *u, const struct msg *m,
		       void (*on_reply)(void *arg, const struct msg *m),
		       void *arg);

/* Forgets a request; its on_reply is not called any more. */
void uplink_cancel_request(struct uplink *u, int64_t id);

/* Id of the control leader, or "" while none is known. */
const char *uplink_leader_id(const struct uplink *u);

/*
 * True if a majority of the control instances sent something within the last
 * ms milliseconds. Unlike the answers of the leader, this also shows contact
 * while no leader is elected.
 */
bool uplink_majority_heard(const struct uplink *u, clk_ms ms, clk_ms now);

/* Milliseconds since the last answer of a leader, or -1 before the first. */
clk_ms uplink_answer_age(const struct uplink *u, clk_ms now);

#endif
