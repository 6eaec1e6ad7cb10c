#ifndef FAILOVER_PRIV_H
#define FAILOVER_PRIV_H

/*
 * What failover.c and failover_group.c share: the groups and members that the
 * control leader watches. failover.c runs the phases of a change,
 * failover_group.c keeps the lists of members and counts and compares them.
 */

#include "failover.h"

enum { FO_EXPECTED_MEMBERS = 3 /* of a group, unless more announced */ };

enum fo_phase {
	FO_IDLE,
	FO_PROBING,
	FO_BEGINNING,
	FO_FENCING,
	FO_PROMOTING,
	FO_COMMITTING
};

struct fo_member {
	char id[ID_LEN];
	char addr[ADDR_LEN];
	bool leaving;
	bool in_roster; /* still announced in the replicated state */
	int64_t pending_call; /* id of the outstanding call; 0 if none */
	enum fo_action_type pending_type; /* of the outstanding call */
	int64_t pending_term;
	clk_ms last_call_at; /* when the last call was sent */
	bool responsive; /* the last probe or fence was answered */
	clk_ms checked_at; /* when the last probe or fence ended or failed */
	clk_ms recovered_at; /* first answer after a failure or restart */
	clk_ms follow_confirmed_at; /* when it last accepted a follow call */
	struct fo_status status;
	int64_t fenced_term; /* term of the last fence that it answered */
	/* Term of the last follow call that it accepted; 0 if none. */
	int64_t follows_term;
	int64_t follows_incarnation;
	char follows_addr[ADDR_LEN];
};

struct fo_group {
	char name[ID_LEN];
	enum fo_phase phase;
	bool planned; /* the primary leaves but still works */
	int64_t term; /* term that the change in progress is for */
	/* No lease of the old term was granted after this time. */
	clk_ms no_grants_since;
	clk_ms probing_since; /* when the probing phase began */
	clk_ms suspected_at; /* when a proxy last reported the primary */
	/* Primary that is replaced because it reached no majority. */
	char avoided_member[ID_LEN];
	char candidate[ID_LEN]; /* member to promote */
	int promote_attempts;
	int64_t start_position; /* where the log of the new term starts */
	struct fo_member *members;
	size_t nmembers;
};

struct fo {
	struct fo_config cfg;
	const struct state *state;
	bool leading;
	int64_t view_version; /* of the state that groups reflect */
	int64_t last_call_id;
	struct fo_group *groups;
	size_t ngroups;
	struct fo_action *acts;
	size_t nacts;
	size_t next_act; /* first action not yet taken */
};

const struct group_info *fo_group_info(const struct fo *f,
				       const struct fo_group *g);
struct fo_member *fo_find_member(struct fo_group *g, const char *id);
struct fo_group *fo_find_group(struct fo *f, const char *name);

/* Adds and removes groups' members to match the replicated state. */
void fo_sync_roster(struct fo *f);

/* Number of members that is a majority of a group. */
size_t fo_majority(const struct fo_group *g);

/* Number of members whose last probe or fence was answered since a time. */
size_t fo_count_answered(const struct fo_group *g, clk_ms since);

/* True if a replica that isn't leaving has the log up to a position. */
bool fo_has_successor(const struct fo_group *g, int64_t log_term, int64_t held);

/* Number of members that are fenced for the group's new term; unless count_all,
 * without those that leave or are avoided. */
size_t fo_count_fenced(const struct fo_group *g, bool count_all);

/* Chooses the member to promote: the one with the newest log. A leaving or an
 * avoided member is chosen only if the others may lack entries that a majority
 * holds. */
const struct fo_member *fo_choose_candidate(const struct fo_group *g);

/* True if a member knows a higher term and would refuse the group's new one. */
bool fo_term_outdated(const struct fo_group *g);

#endif
