#ifndef PROMOTE_H
#define PROMOTE_H

/*
 * Changes of primary for backends whose primary is appointed by a promoter, a
 * service outside this system. The leader of the control instances decides when
 * a change is needed and which member the promoter is asked to promote. Names
 * begin with pro_ for promotion. failover.h is for backends that control
 * promotes itself.
 *
 * The module does no I/O. Calls to members and to the promoter are queued as
 * actions, which the caller takes with pro_next_action() and carries out.
 * Results come back through pro_on_status() and pro_on_promoter_reply().
 *
 * Commits that the old primary acknowledged and the new one has not received
 * are lost. A change goes through these phases:
 *   probing   members are asked for their status; a primary that does not
 *             answer is asked again until enough proxies report it
 *   draining  a reachable primary that leaves, or that many proxies can't
 *             reach, steps down, and a replica receives the rest of its log
 *   waiting   only with leases: proxies may still use the old primary
 *   comparing only with synchronous replicas: all members are asked again, and
 *             the candidate is chosen by what they hold
 *   naming    only with leases: the candidate is being recorded
 *   calling   the promoter is asked to promote the member with the newest log
 *             that is still part of the history, see below
 *   settling  the new primary has not yet announced that it leads
 *
 * Some promoters appoint the new primary and depose the old one in one step.
 * With others the old one goes on until it learns of the change, so that
 * proxies which reach it would go on, too. Then proxies use a primary only
 * under a lease (lease.h). In a group with synchronous replicas, whatever the
 * promoter, they acknowledge commits only under a lease. In such groups and
 * under such promoters (pro_has_leases()) a change takes these steps:
 *  - The record of the group says that its primary is being changed. From then
 *    on no lease covers the group.
 *  - The promoter is called once the old primary has confirmed that it stepped
 *    down, or no lease covers the group any more.
 *  - A call without an answer may be carried out later. Before the first
 *    call the member is recorded as the candidate, so that a later leader
 *    calls it again. Another candidate is chosen only once no call for this
 *    one can be carried out any more.
 *  - The new primary is recorded when it says that it leads with a term above
 *    that of the old one. Its record ends the change.
 *  - A change is given up if the old primary leads on and no member was called.
 *    If one was called, and the promoter deposes the old primary, the change is
 *    given up once no call can be carried out any more, and only after as many
 *    calls as PRO_MAX_UNANSWERED_CALLS got no answer.
 *
 * A member that was cut off during a promotion, and has not heard of it, may
 * hold commits that this promotion discarded. Without synchronous replicas,
 * unless its log ends before the new term began, the discarded commits would
 * come back with it, and those of the new term would be lost. It is promoted
 * only if no other member is left that may have joined the new term, or if none
 * came back for PRO_DISCARDED_LOG_WAIT_MS. To know such a member, the record of
 * a group has the term that its primary counts, or an earlier bound, and how
 * many commits the log had when that term began. Terms are those of the
 * members; control's record has a term of its own.
 *
 * With synchronous replicas (pro_set_sync_replicas()), a commit is acknowledged
 * once that many replicas hold it, and the promoted member must hold every
 * acknowledged commit. cover.h tells which member does, from the positions of
 * all members: those that don't answer count as missing. Only proxies can tell
 * a caller that a commit is done. So once no lease covers the group, nothing is
 * acknowledged until the change ends, whoever leads or receives meanwhile, and
 * positions that members are asked for from then on cover all that was. They
 * count once PRO_JOIN_MS has passed and no member has registered: one that
 * received before, or that answered after it had started again with nothing,
 * has registered by then. None of this needs an order to a member that could
 * get lost or be carried out late.
 *
 * The rule on discarded logs does not apply with synchronous replicas: a member
 * that is known to hold all acknowledged commits may lead, whatever else it
 * holds. If none is known, the group waits for the members that don't answer,
 * and the log names them (event=waits_for). Nothing less is safe: each of them
 * may hold the only copy of a commit beside the primary's. The wait ends when
 * one of them answers, or the old primary, whose log is enough.
 *
 * Two kinds of logs are waited for, too, until they are covered: that of a
 * member that has ended, unless its successor has registered at its address,
 * which has the log; and the former log of a replica that has started again
 * under its id. Control asks the primary what it holds PRO_ENDED_MS after the
 * end, and the log is covered once as many replicas as a commit needs hold as
 * much. Until then it is recorded (struct ended_log), so that each later leader
 * knows of it. So a member that left for good, or a successor that never comes,
 * matters only if the primary fails within about a second of its end.
 *
 * Control records which member is the primary. A member's own announcement
 * decides only in a group without a record, since it may arrive late, after its
 * sender was deposed. If a member other than the recorded one claims to be the
 * primary, the members are asked for their status, and the one with the higher
 * term is recorded.
 *
 * A call to the promoter has a fencing token: the term of the control leader
 * and a number within the term. A call for another member has a higher token
 * than all calls before, so the promoter refuses an earlier one that reaches it
 * late. Retries for the same member repeat the token, since it does not matter
 * which of them is carried out.
 */

#include "clock.h"
#include "state.h"
#include "stmt.h"

enum {
	/* How long a proxy's report is valid: two of its report intervals. */
	PRO_REPORT_VALID_MS = 800,
	/* Members announce themselves about every second, so all have done so
	 * this long after a start. */
	PRO_ANNOUNCE_WAIT_MS = 3000,
	/* A primary that answers control is replaced only if proxies have
	 * failed to reach it for this long, which is longer than their pauses
	 * between two connection attempts. */
	PRO_LASTING_REPORTS_MS = 1500,
	/* A primary that has answered no proxy for this long, while at least
	 * one reports it, counts as failed if control can't reach it either.
	 * Each proxy reports every 400 ms what it heard. */
	PRO_NO_PROXY_ANSWER_MS = 1000,
	PRO_STATUS_TIMEOUT_MS =
		400, /* timeout, equal to MEMBER_CALL_TIMEOUT_MS */
	/* How long an unresponsive primary is asked again before the change is
	 * given up. By then either enough proxies have reported it or one has
	 * had an answer. */
	PRO_UNRESPONSIVE_PROBE_MS = 2000,
	PRO_CALL_TIMEOUT_MS =
		500, /* timeout; the promoter answers in about 10 ms */
	/* A call without any result by then: the result came while this leader
	 * could not act for the cluster, and was dropped. */
	PRO_CALL_DROPPED_MS = 2 * PRO_CALL_TIMEOUT_MS,
	/* Calls without an answer, before members are asked again. */
	PRO_MAX_UNANSWERED_CALLS = 6,
	PRO_DRAIN_TIMEOUT_MS =
		1500, /* for a replica to receive the rest of the log */
	PRO_DRAIN_POLL_MS = 50, /* between status requests while draining */
	/* Longer than any change of primary takes on the backend platforms. */
	PRO_SETTLE_TIMEOUT_MS = 3000,
	PRO_RETRY_MS = 200, /* before the next change or status request */
	/* How long a group without a primary waits for a member whose log no
	 * promotion has discarded; a server that starts again is back by
	 * then. */
	PRO_DISCARDED_LOG_WAIT_MS = 60000,
	/* A call to the promoter that got no answer may be carried out for so
	 * long; the platform's limit is 12 s. */
	PRO_LATE_CALL_MS = 13000,
	/* A member announces itself when it starts and about every second, each
	 * time at another control instance if it got no answer. So one that
	 * started or started again earlier than this has registered. */
	PRO_JOIN_MS = 1200,
	/* Between orders to replicas that earlier versions may have paused. */
	PRO_RESUME_INTERVAL_MS = 1000,
	/* A member that says that it has ended receives nothing more after this
	 * time: it waits so long for the answer before it exits. */
	PRO_ENDED_MS = 1000,
	/* The same for a leaving member that is removed since it is silent.
	 * Backends go on for some seconds after they should have ended. */
	PRO_SILENT_ENDED_MS = 60000
};

enum pro_action_type {
	PRO_GET_STATUS, /* ask a member for its status */
	PRO_STEP_DOWN, /* turn the primary into a replica; returns its status */
	PRO_RESUME, /* let a replica receive again */
	PRO_CALL_PROMOTER, /* ask the promoter to promote the member */
	PRO_RECORD_PRIMARY, /* commit that the member is the primary of term */
	/* Commit that the primary is being changed in term, to the member if it
	 * is not empty. */
	PRO_RECORD_CHANGE,
	PRO_RECORD_ENDED, /* commit the record of an ended member's log */
	PRO_RECORD_ORDERS /* commit the stage of the group's orders */
};

struct pro_action {
	enum pro_action_type type;
	int64_t action_id; /* id of the action, passed back with its result */
	char group[ID_LEN];
	char member[ID_LEN];
	char addr[ADDR_LEN];
	/* STEP_DOWN: term of the backends; RECORD: term of control's record of
	 * the group. */
	int64_t term;
	int64_t member_term; /* RECORD_PRIMARY: the member's own term, or 0 */
	int64_t member_term_start; /* RECORD_PRIMARY, see struct group_info */
	char late_call[ID_LEN]; /* RECORD: member for which an earlier call may
				 * still be carried out, or empty */
	int64_t promoter_token; /* CALL: fencing token */
	struct ended_log ended_log; /* RECORD_ENDED */
	enum orders_stage stage; /* RECORD_ORDERS */
};

enum pro_reply { PRO_OK, PRO_BUSY, PRO_FAILED };

struct pro_status {
	enum pro_reply reply;
	bool primary;
	int64_t term;
	struct pos
		received_pos; /* position up to which it has received the log */
};

struct pro;

struct pro *pro_new(const struct state *state);
void pro_free(struct pro *p);

/* Sets how many replicas of a group must hold a commit before it is
 * acknowledged; 0 if it does not wait for replicas. */
void pro_set_sync_replicas(struct pro *p, const char *group, int64_t replicas);

/* Which groups are changed with leases. */
enum pro_leased { PRO_LEASED_SYNC, PRO_LEASED_ALL };

/*
 * Proxies hold leases of lease_ms. With PRO_LEASED_ALL they use the primary of
 * any group only under a lease: the promoter does not depose the old one. With
 * PRO_LEASED_SYNC this is only so for the commits of groups with synchronous
 * replicas. overlap_ms is how long an earlier leader may go on granting leases
 * beside this one.
 */
void pro_use_leases(struct pro *p, enum pro_leased groups, clk_ms lease_ms,
		    clk_ms overlap_ms);

/* A voter may have supported leases of proxies until a time. */
void pro_on_lease_support(struct pro *p, clk_ms until);

/* A proxy whose view has a version was granted a lease. */
void pro_on_lease(struct pro *p, const char *proxy, int64_t view_version,
		  clk_ms now);

/* This instance became the control leader of a term. */
void pro_start_leading(struct pro *p, int64_t term, clk_ms now);

/* Stops acting and forgets all but the groups' settings. */
void pro_stop_leading(struct pro *p);

/* A proxy reported that it can't reach a backend, a group's primary. */
void pro_on_suspicion(struct pro *p, const char *group, const char *backend,
		      const char *proxy, clk_ms now);

/* The group's primary answered a request that a proxy had sent at a time. */
void pro_on_primary_answer(struct pro *p, const char *group, clk_ms at);

/* Result of a status, step-down or resume request. */
void pro_on_status(struct pro *p, int64_t number, const struct pro_status *s,
		   clk_ms now);

/* HTTP status of a call to the promoter; 0 if there was no answer. */
void pro_on_promoter_reply(struct pro *p, int64_t number, int status,
			   clk_ms now);

/* To be called regularly, and when the replicated state has changed. */
void pro_tick(struct pro *p, clk_ms now);

/* Takes the next queued action; false if there is none. */
bool pro_next_action(struct pro *p, struct pro_action *a);

#endif
