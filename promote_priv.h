#ifndef PROMOTE_PRIV_H
#define PROMOTE_PRIV_H

/*
 * What the files of promote.h share:
 *   promote.c            watches the groups and decides on changes
 *   promote_reports.c    what proxies report of the primaries
 *   promote_change.c     the steps of a change
 *   promote_candidate.c  which member is promoted
 *   promote_ended.c      logs of members that have ended
 *   promote_late.c       calls that may still be carried out
 *   promote_resume.c     replicas that earlier versions may have paused
 *   promote_lease.c      changes where proxies hold leases
 */

#include "cover.h"
#include "lease.h"
#include "promote.h"

enum {
	PRO_TOKEN_BITS = 20, /* low bits of a token: its number within a term */
	PRO_MAX_MEMBERS = 16, /* of a group */
	PRO_REPROPOSE_MS = 1000, /* until a record is proposed again */
	PRO_MAX_REPORTS = 64 /* of a group: a third of up to 192 proxies */
};

enum pro_phase {
	PRO_IDLE,
	PRO_PROBING,
	PRO_STEPPING_DOWN,
	PRO_DRAINING,
	PRO_WAITING,
	PRO_COMPARING,
	PRO_NAMING,
	PRO_CALLING,
	PRO_SETTLING
};

struct pro_member {
	char id[ID_LEN];
	char addr[ADDR_LEN];
	bool leaving;
	bool awaiting_reply; /* a request to it has no answer yet */
	bool rejected_by_promoter; /* the promoter refused it in this change */
	int64_t request_number; /* of the last request */
	enum pro_action_type request_type;
	clk_ms request_sent_at;
	enum pro_reply reply;
	struct pro_status status;
};

struct pro_report {
	char proxy[ID_LEN];
	clk_ms first_at; /* first of an unbroken series of reports */
	clk_ms last_at; /* newest report */
};

struct pro_group {
	char name[ID_LEN];
	enum pro_phase phase;
	clk_ms phase_since; /* when the phase began */
	clk_ms next_change_at; /* no change starts before */
	/* When a proxy sent the newest request that the primary answered. */
	clk_ms primary_heard_at;
	/* When the last primary or claimant was gone; 0 while there is one. */
	clk_ms no_primary_since;
	char claimant[ID_LEN]; /* unrecorded member that claims to lead */
	bool primary_succeeded; /* see pro_is_succeeded() */
	char suspected_member[ID_LEN]; /* member that the reports name */
	struct pro_report reports[PRO_MAX_REPORTS];
	int nreports;
	struct pro_member members[PRO_MAX_MEMBERS];
	int nmembers;
	int64_t newest_term; /* that any member has answered to this leader */
	int other_logs; /* that are not in members, see pro_count_other_logs()
			 */
	char old_primary[ID_LEN]; /* primary when the change started */
	char target[ID_LEN]; /* member to promote */
	int64_t target_held; /* commits that it held before the first call */
	int64_t target_term; /* its own term then */
	/* It was announced as primary when it was called, and is since; that is
	 * not due to the call. */
	bool target_claimed;
	/* since when a change finds only members whose log was discarded; 0
	 * while it finds others, or none is needed */
	clk_ms only_discarded_since;
	clk_ms recorded_at; /* when a primary was last proposed */
	/* Term of control's record of the primary whose own term is known. */
	int64_t confirmed_term;
	struct pos drain_position; /* position that a replica must reach */
	bool drain_failed; /* none did in time, in this change */
	/* What the candidate held when it was chosen. It is asked once more
	 * before it is called, since it may have started again with nothing. */
	struct pos candidate_end;
	/* What the primary held in the probe before this one, if it is to be
	 * replaced. A replica that holds as much by now receives. */
	struct pos primary_end;
	int64_t call_number;
	int64_t fencing_token; /* of the calls for target; 0 before the first */
	int unanswered_calls; /* in this change, since the last answer */
	bool planned;
	int64_t sync_replicas; /* replicas that must hold a commit */
	bool has_uncovered_logs; /* of ended members, see promote_ended.c */

	clk_ms next_resume_at; /* see promote_resume.c */

	/* With leases: */
	char called_member[ID_LEN]; /* of the last call without an answer */
	clk_ms late_call_until; /* when that call is not carried out any more */
	clk_ms uncovered_since; /* when this leader saw the record of the
				 * change; 0 before */
	clk_ms unused_since; /* when no lease covered the group any more; 0
			      * before */
};

/* What this leader knows of the log of a member that has ended. */
struct pro_ended {
	char id[ID_LEN]; /* of the member */
	clk_ms seen_at; /* it had ended by then */
	struct pos end; /* it ends no later; none if that is not known yet */
	clk_ms proposed_at; /* when a record was last proposed */
};

struct pro {
	const struct state *state;
	struct pro_group *groups;
	size_t ngroups;
	bool leading;
	enum pro_leased leased_groups;
	clk_ms lease_ms;
	clk_ms overlap_ms;
	struct lse_table leases;
	int64_t scanned_view; /* state version that claimants were found in */
	int64_t term;
	clk_ms leading_since;
	int64_t last_token_number; /* within this term */
	int64_t last_request_number;
	struct pro_ended *ended;
	size_t nended;
	struct pro_action *acts;
	size_t nacts;
	size_t next_act; /* first action not yet taken */
};

/* promote.c */
void pro_request_status(struct pro *p, struct pro_group *g,
			struct pro_member *m, clk_ms now);
void pro_load_members(struct pro *p, struct pro_group *g);

/* Proposes the record of a primary; returns its term. late_call is the member
 * for which a call may still be carried out, or empty. pro_record_primary()
 * also ends the change. */
int64_t pro_propose_primary(struct pro *p, struct pro_group *g,
			    const char *member, int64_t member_term,
			    const char *late_call, clk_ms now);
void pro_record_primary(struct pro *p, struct pro_group *g, const char *member,
			int64_t member_term, clk_ms now);
bool pro_is_primary(const struct pro_member *m);
/* True if changes of the group's primary wait for the leases of proxies. */
bool pro_has_leases(const struct pro *p, const struct pro_group *g);
/* True if the promoter deposes the old primary and checks tokens. */
bool pro_deposes(const struct pro *p);
/* True if the member answered and says that it does not lead. */
bool pro_is_replica(const struct pro_member *m);
/* A member other than the primary of the change that says that it leads, or
 * NULL. */
struct pro_member *pro_other_primary(struct pro_group *g);

/* Whether an answer may still come. After the first PRO_STATUS_TIMEOUT_MS of
 * probing, the primary's answer is not waited for. */
bool pro_awaits_replies(const struct pro_group *g, clk_ms now);

/* Gives up the change, since no member can be promoted. */
void pro_rest_without_candidate(struct pro *p, struct pro_group *g, clk_ms now);
void pro_keep_probing(struct pro *p, struct pro_group *g, clk_ms now);
struct pro_action *pro_queue_act(struct pro *p, const struct pro_group *g,
				 enum pro_action_type type);
struct pro_group *pro_get_group(struct pro *p, const char *name);
struct pro_member *pro_find_member(struct pro_group *g, const char *id);
void pro_set_phase(struct pro_group *g, enum pro_phase phase, clk_ms now);
void pro_back_off(struct pro_group *g, clk_ms now, const char *why);

/* promote_reports.c */
void pro_expire_reports(struct pro_group *g, clk_ms now);

/* True if at least a third of the live proxies have reported the primary for
 * long_ms: fewer may be cut off themselves. If there are several proxies, one
 * report is not enough, since that proxy may just wait for a lost answer. */
bool pro_many_suspect(const struct pro *p, const struct pro_group *g,
		      clk_ms long_ms, clk_ms now);

/* True if the proxies' reports show that the primary, which does not answer
 * control, has failed. */
bool pro_primary_failed(struct pro *p, struct pro_group *g, clk_ms now);

/* promote_candidate.c */

/* The member to promote. With synchronous replicas one that holds every
 * acknowledged commit (cover.h). Without, the reachable member with the newest
 * log of which no promotion has discarded anything; members that leave only if
 * there is no other. See promote.h for when others are taken. */
struct pro_member *pro_best_candidate(const struct pro *p, struct pro_group *g,
				      clk_ms now);

const char *pro_why_no_candidate(const struct pro_group *g);

/* Describes the group's logs; list has room for PRO_MAX_MEMBERS. */
struct cov_group pro_describe_logs(const struct pro_group *g,
				   struct cov_log *list);

/* To be called for each probe once its candidate was chosen; replace is true if
 * a primary that leads is to be replaced. See primary_end. */
void pro_note_primary_end(struct pro_group *g, bool replace);

/* True if the member, chosen before, can still be promoted. */
bool pro_may_be_promoted(const struct pro_group *g, const struct pro_member *m);

/* Fills in what a record of a primary tells of its own term; member_term is 0
 * if that is not known yet. */
void pro_fill_member_term(const struct pro *p, const struct pro_group *g,
			  int64_t member_term, struct pro_action *a);

/* Without leases a change is recorded before the new primary's term is known.
 * Asks for it and adds it to the record. */
void pro_learn_term(struct pro *p, struct pro_group *g, clk_ms now);

/* promote_ended.c */

/* Follows the logs of ended members; sets has_uncovered_logs of their groups.
 */
void pro_tick_ended(struct pro *p, clk_ms now);

/* Finds out whether ended logs are covered. To be called when the members of
 * the group have answered. */
void pro_check_covered(struct pro *p, struct pro_group *g, clk_ms now);

/* True if the backend is no member of its group any more, though it is still
 * registered: its successor has registered at its address. */
bool pro_is_succeeded(const struct pro *p, const struct backend_info *b);

/* Logs that may hold acknowledged commits beside those of the group's members:
 * of ended members, and of members beyond PRO_MAX_MEMBERS. */
int pro_count_other_logs(const struct pro *p, const struct pro_group *g);

/* Writes a log line with the members whose logs a change waits for. */
void pro_log_missing(const struct pro *p, const struct pro_group *g);

/* True if a log has been added to the group or taken from it since its members
 * were loaded. */
bool pro_logs_changed(const struct pro *p, const struct pro_group *g);

/* promote_change.c */
void pro_step_down(struct pro *p, struct pro_group *g, struct pro_member *m,
		   clk_ms now);

/* Asks all members for what they hold, to choose one that holds all
 * acknowledged commits. To be called when none is acknowledged any more. */
void pro_compare(struct pro *p, struct pro_group *g, clk_ms now);

/* Has the member promoted: calls the promoter, with leases after the member was
 * recorded as the candidate. */
void pro_promote(struct pro *p, struct pro_group *g, struct pro_member *m,
		 clk_ms now);
void pro_call_promoter(struct pro *p, struct pro_group *g, struct pro_member *m,
		       clk_ms now);

/* Repeats a call without an answer. With synchronous replicas the member is
 * asked for its status first: it may have started again since. */
void pro_call_again(struct pro *p, struct pro_group *g, struct pro_member *m,
		    clk_ms now);

/* True if the member's last announcement says that it is the primary. */
bool pro_claims_to_lead(const struct pro *p, const char *member);

/* Records the target as the primary if it leads; returns true if it does. The
 * announcement of an earlier lead, which the member has lost without hearing of
 * it, is no proof: then it is asked for its term. */
bool pro_check_target(struct pro *p, struct pro_group *g, clk_ms now);

/* One for each phase. */
void pro_tick_step_down(struct pro *p, struct pro_group *g, clk_ms now);
void pro_tick_drain(struct pro *p, struct pro_group *g, clk_ms now);
void pro_tick_comparing(struct pro *p, struct pro_group *g, clk_ms now);
void pro_tick_settle(struct pro *p, struct pro_group *g, clk_ms now);

void pro_start_promotion(struct pro *p, struct pro_group *g,
			 struct pro_member *best, clk_ms now);
void pro_send_command(struct pro *p, struct pro_group *g, struct pro_member *m,
		      enum pro_action_type type, int64_t term, clk_ms now);

/* promote_resume.c */

/* Tells replicas to receive again that a leader of an earlier version may have
 * paused, and records once all do. */
void pro_tick_resume(struct pro *p, struct pro_group *g, clk_ms now);

/* promote_late.c; all for groups with leases */

void pro_note_unanswered_call(struct pro_group *g, clk_ms now);

/* If an earlier leader called a member, its calls may still be carried out. */
void pro_note_earlier_calls(const struct pro *p, struct pro_group *g);

/* True if a call may still be carried out that a newer one does not prevent. A
 * promoter that deposes refuses one for the primary of the change. */
bool pro_late_call_pending(const struct pro *p, const struct pro_group *g,
			   clk_ms now);

/* Records that no call can be carried out any more, once that is true. */
void pro_forget_late_call(struct pro *p, struct pro_group *g, clk_ms now);

/* promote_lease.c */
void pro_begin_change(struct pro *p, struct pro_group *g, clk_ms now);
void pro_name_candidate(struct pro *p, struct pro_group *g,
			struct pro_member *m, clk_ms now);

/* The member to promote: the best one, or the one that must be called again
 * since an earlier call for it may still be carried out. NULL if none can be
 * promoted now; one that believes that it leads is asked to step down first. */
struct pro_member *pro_next_candidate(struct pro *p, struct pro_group *g,
				      clk_ms now);

void pro_tick_waiting(struct pro *p, struct pro_group *g, clk_ms now);
void pro_tick_naming(struct pro *p, struct pro_group *g, clk_ms now);

/* Records the target if it leads with a new term, and asks it otherwise;
 * returns true if it was recorded. */
bool pro_check_leased_target(struct pro *p, struct pro_group *g, clk_ms now);

/* True if the promoter is not called any more while the old primary leads: it
 * may have lost all calls, but each may be carried out. */
bool pro_waits_to_give_up(const struct pro *p, const struct pro_group *g);

/* pro_decide() with leases. */
void pro_decide_leased(struct pro *p, struct pro_group *g, clk_ms now);

#endif
