#ifndef CTL_CORE_H
#define CTL_CORE_H

/*
 * The logic of one control instance (prefix ctl_). It passes events, such as a
 * message or a timer tick, to the replicated log (raft.h), the replicated state
 * (state.h), the changes of primary (failover.h, promote.h) and the quota
 * leases (quota.h), and collects the actions that follow.
 *
 * It does no I/O, and the time is passed in. After one or more events the
 * daemon fetches the actions with ctl_next_action() until it returns false and
 * executes them in order. It must do so before it calls ctl_receive() or
 * ctl_tick(), since both may free what actions point to.
 *
 * Persistence: CTL_SAVE_HARD_STATE, CTL_STORE_ENTRY and CTL_SAVE_SNAPSHOT must
 * be durable before a later action of another type is executed.
 *
 * A cluster is "seeded" if its settings name seeds, that is, the first control
 * instances to contact. Its members may change, and promoters (promote.h)
 * change primaries. Otherwise the settings list all control instances, and
 * control itself changes primaries (failover.h).
 */

#include "failover.h"
#include "promote.h"
#include "raft.h"
#include "settings.h"

enum {
	/* Until an empty instance asks the others again if they are empty. */
	CTL_BOOTSTRAP_ASK_MS = 200,
	/* An answer to that question is valid for this long. */
	CTL_BOOTSTRAP_REPLY_VALID_MS = 1000,
	/* Interval of the check for unresponsive proxies and backends. */
	CTL_LIVENESS_CHECK_MS = 100,
	/* A proxy that sent no ASK for this long is recorded as not alive. */
	CTL_PROXY_TIMEOUT_MS = 2000,
	/* A proxy or backend not heard from for this long is removed, unless it
	 * is the primary of its group. */
	CTL_REMOVE_UNRESPONSIVE_MS = 24 * 3600 * 1000,
	/* The same for a backend that announced its leaving. */
	CTL_REMOVE_LEAVING_MS = 10000,
	/* A proposal that has not been applied is repeated after this time. */
	CTL_REPROPOSE_MS = 1000,
	/* The published configuration is not sent again on a link before this
	 * time, as it may still be on its way. */
	CTL_CONFIG_RESEND_MS = 2000,
	/* A request fails with RES_NO_QUORUM if no majority answers in time. */
	CTL_REQUEST_TIMEOUT_MS = 3000,
	/* A snapshot is taken after this many entries, or this many bytes of
	 * entries. */
	CTL_COMPACT_ENTRIES = 2000,
	CTL_COMPACT_BYTES = 4 << 20,
	/* Most by which the clocks of a backend and of this instance differ. An
	 * announcement that can't be true even so is refused. */
	CTL_CLOCK_TOLERANCE_MS = 24 * 3600 * 1000,
	/* Announcements in a row that show that a backend goes on, although a
	 * newer one that was taken for its own says otherwise. */
	CTL_OUTLIVE_ANNOUNCEMENTS = 3,
	/* Lists are sent in one frame with other fields, so they must be
	 * smaller than a frame. */
	CTL_MAX_LISTS_BYTES = 3 << 20
};

enum ctl_action_type {
	CTL_SAVE_HARD_STATE, /* save raft.term and raft.to, the id that got the
				vote */
	CTL_STORE_ENTRY, /* store raft.entry */
	CTL_SAVE_SNAPSHOT, /* save the snapshot in raft */
	CTL_SEND, /* send msg to the control instance with the id in `to` */
	CTL_REPLY, /* send msg on the link with number client */
	CTL_FAILOVER_CALL, /* call a backend as described by call (failover.h)
			    */
	CTL_ANSWER_REQUEST, /* answer the request whose ticket is in client with
			       res */
	CTL_PROMOTION_CALL, /* execute promoter (promote.h) */
	CTL_KEEP_LINK /* keep a link to the control instance with the id in
		       * `to`, which is or was a member */
};

struct ctl_action {
	enum ctl_action_type type;
	struct raft_action raft;
	char to[ID_LEN];
	int64_t link_or_ticket;
	struct msg msg;
	struct fo_action call;
	enum res res;
	struct pro_action promoter;
};

struct ctl;

struct ctl *ctl_new(const struct settings *set, int64_t uuid, struct rng *rng,
		    clk_ms now);
void ctl_free(struct ctl *c);

/* The log, to load what was stored into it before the first event. */
struct raft *ctl_raft(struct ctl *c);

const struct state *ctl_state(const struct ctl *c);

/* A link to another control instance was opened; uuid is what it sent. */
void ctl_on_peer_linked(struct ctl *c, const char *id, int64_t uuid,
			clk_ms now);

/* Handles a message of another control instance. */
void ctl_receive(struct ctl *c, const char *from, const struct msg *m,
		 clk_ms now);

/*
 * Answers the periodic MSG_ASK of a proxy on the link with number client. now
 * must be read after the ask was received, and the answer must be sent at once:
 * the lease that it grants is safe only because this instance was the leader
 * at now (see raft_has_leader_lease()). The answer is valid until the next
 * call.
 */
void ctl_answer_ask(struct ctl *c, int64_t client, const char *proxy,
		    const char *zone, const struct msg_ask *ask, clk_ms now,
		    struct msg *answer);

/*
 * Answers an ask for tokens (ratelim.h) of the proxy process with a uuid. As
 * above, now must be read after the ask was received. Returns false if there is
 * no answer. The answer is valid until the next call.
 */
bool ctl_answer_rate_ask(struct ctl *c, int64_t uuid,
			 const struct msg_rate_ask *ask, clk_ms now,
			 struct msg *answer);

/* Operators' requests, answered by CTL_REPLY. wall is the wall-clock time that
 * is recorded for a new version of the lists. */
void ctl_apply(struct ctl *c, int64_t client, const struct msg_apply *m,
	       int64_t wall, clk_ms now);
void ctl_query(struct ctl *c, int64_t client, const struct msg_query *m,
	       clk_ms now);

/* The link with number client was closed. */
void ctl_on_client_closed(struct ctl *c, int64_t client);

/*
 * Requests from outside of the system. The daemon chooses a number for each,
 * its ticket, and CTL_ANSWER_REQUEST returns the result under that number:
 *  - RES_OK: committed; or, if it changes nothing, a majority confirmed that
 *    this instance is the leader,
 *  - RES_NOT_LEADER,
 *  - RES_NO_QUORUM: no majority answered; it may still be committed.
 */

/* Replaces the published configuration if the version is higher. */
void ctl_publish(struct ctl *c, int64_t ticket, const struct msg_publish *p,
		 clk_ms now);

/* Confirms by a majority that this instance is the leader, before the published
 * configuration is read. */
void ctl_confirm_leadership(struct ctl *c, int64_t ticket, clk_ms now);

/*
 * A backend's announcement with its sequence number, and the wall-clock time.
 * One that can't be true is refused with RES_BAD_LIST. One that is older than
 * what is known is answered with RES_OK and ignored, unless the backend goes on
 * announcing itself while nothing newer comes: what was taken for newer was not
 * its own.
 */
void ctl_announce(struct ctl *c, int64_t ticket, const struct backend_info *b,
		  int64_t sequence, clk_ms wall, clk_ms now);

/* A backend has left; its record is removed. */
void ctl_remove_backend(struct ctl *c, int64_t ticket, const char *backend,
			clk_ms now);

/* Results of CTL_PROMOTION_CALL actions; number is that of the action. */
void ctl_on_backend_status(struct ctl *c, int64_t number,
			   const struct pro_status *s, clk_ms now);
void ctl_on_promoter_reply(struct ctl *c, int64_t number, int status,
			   clk_ms now);

/* Result of a CTL_FAILOVER_CALL action. */
void ctl_on_failover_reply(struct ctl *c, const struct fo_answer *a,
			   clk_ms now);

/* Runs the timers; to be called regularly. */
void ctl_tick(struct ctl *c, clk_ms now);

/* Transfers leadership to another instance; true if this one was the leader. */
bool ctl_transfer_leadership(struct ctl *c, clk_ms now);

/* Returns the next action; false if there is none. The pointers in a are valid
 * until the next call. */
bool ctl_next_action(struct ctl *c, struct ctl_action *a, clk_ms now);

#endif
