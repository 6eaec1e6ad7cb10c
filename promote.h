#ifndef PROMOTE_H
#define PROMOTE_H

/*
 * Changes of primary through a promoter outside the system, decided by the
 * control leader. Free of I/O: calls are queued as actions, their results
 * come back as events.
 *
 * The promoter names a group's new primary and deposes the old one at the
 * same moment, so no lease is needed; what the old primary acknowledged and
 * the new one has not received is lost. A group goes through these phases:
 *   probing   members are asked for their status, a silent primary until
 *             enough proxies miss it
 *   draining  a reachable primary steps down, and a replica receives what it
 *             held; for a primary that leaves or that many proxies can't reach
 *   pausing   replicas are kept from receiving, see below
 *   calling   the promoter is asked to promote the member that holds most
 *   settling  the new primary has not yet said that it leads
 *
 * Where a commit is acknowledged once some replicas hold it, the member that is
 * promoted must hold all that was acknowledged. Enough replicas must then
 * answer that one of them has every such commit, and they receive nothing more
 * from before their positions are compared until the promotion.
 *
 * Control records who leads. What a member says of itself counts only for a
 * group without a record: an announcement may come late, after its sender was
 * deposed. A member that claims to lead and is not the recorded one is asked,
 * and the one with the higher term is recorded.
 *
 * A call has a fencing token: the term of the control leader and a number
 * within the term. A call for another member has a higher token than all
 * before it, so an earlier one that is carried out late is refused. Calls for
 * the same member repeat the token: whichever of them is carried out, it does
 * what is wanted.
 */

#include "clock.h"
#include "state.h"
#include "stmt.h"

enum {
	PRO_SUSPECT_MS = 800, /* a report of a proxy counts for two asks */
	/* Members announce themselves about every second, so all have done so
	 * in this time after a start. */
	PRO_MISSING_MS = 3000,
	/* A primary that answers control is changed only if proxies miss it
	 * for longer than their pauses between two connections. */
	PRO_PERSIST_MS = 1500,
	/* A primary that answers no proxy for as long, although one of them
	 * tries, is taken as lost if control can't reach it either: each proxy
	 * tells what it heard every 400 ms. */
	PRO_QUIET_MS = 1000,
	PRO_STATUS_MS = 400, /* as long as failover.h gives a member */
	/* A silent primary is watched for as long before its group rests: until
	 * then enough proxies have missed it, or one has heard it. */
	PRO_WATCH_MS = 2000,
	PRO_CALL_MS = 500, /* the promoter answers in some 10 ms */
	PRO_CALL_TRIES = 6, /* without an answer, before members are asked
			     * again */
	PRO_DRAIN_MS = 1500, /* for a replica to receive the rest */
	PRO_POLL_MS = 50, /* between looks whether it has */
	PRO_SETTLE_MS = 3000, /* over the longest change of the platforms */
	PRO_RETRY_MS = 200
};

enum pro_act_type {
	PRO_STATUS, /* ask a member for its status */
	PRO_STEP_DOWN, /* make a primary a replica; returns its status */
	PRO_PAUSE, /* a replica receives nothing more; returns its status */
	PRO_RESUME, /* it receives again */
	PRO_CALL, /* ask the promoter */
	PRO_RECORD /* record the member as the primary of term */
};

struct pro_act {
	enum pro_act_type type;
	int64_t number; /* given back with the result */
	char group[ID_LEN];
	char member[ID_LEN];
	char addr[ADDR_LEN];
	int64_t term; /* STEP_DOWN, PAUSE: of the backends; RECORD: of control
		       */
	int64_t token; /* CALL */
};

enum pro_reply { PRO_OK, PRO_BUSY, PRO_FAILED };

struct pro_status {
	enum pro_reply reply;
	bool primary;
	int64_t term;
	struct pos held; /* received */
};

struct pro;

struct pro *pro_new(const struct state *state);
void pro_free(struct pro *p);

/* Replicas that hold a commit of the group before it is acknowledged. */
void pro_set_sync(struct pro *p, const char *group, int64_t replicas);

void pro_lead(struct pro *p, int64_t term);
void pro_stop(struct pro *p);

/* A proxy can't reach the primary of a group. */
void pro_suspect(struct pro *p, const char *group, const char *backend,
		 const char *proxy, clk_ms now);

/* A proxy got an answer of the group's primary to something sent at a time. */
void pro_heard(struct pro *p, const char *group, clk_ms at);
void pro_on_status(struct pro *p, int64_t number, const struct pro_status *s,
		   clk_ms now);

/* HTTP status of a call; 0 if there was no answer. */
void pro_on_call(struct pro *p, int64_t number, int status, clk_ms now);
void pro_tick(struct pro *p, clk_ms now);
bool pro_next(struct pro *p, struct pro_act *a);

#endif
