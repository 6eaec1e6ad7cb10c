#ifndef FAILOVER_PRIV_H
#define FAILOVER_PRIV_H

/* Groups and members as failover.c sees them; failover_group.c answers
 * questions about them. */

#include "failover.h"

enum { FO_EXPECTED = 3 /* members of a group, unless more announced */ };

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
	bool listed; /* still in the roster */
	int64_t call; /* outstanding; 0 if none */
	enum fo_act_type kind; /* of it */
	int64_t call_term;
	clk_ms called; /* when the last call was made */
	bool known; /* the last probe or fence was answered */
	clk_ms seen; /* when the last one ended */
	clk_ms returned; /* answered after a failure or in a new incarnation */
	clk_ms followed; /* when it was last told whom to follow */
	struct fo_status status;
	int64_t fenced; /* term of the last fence that was answered */
	int64_t follows_term; /* what it was last told, successfully */
	int64_t follows_incarnation;
	char follows[ADDR_LEN];
};

struct fo_group {
	char name[ID_LEN];
	enum fo_phase phase;
	bool planned; /* the primary is leaving and still works */
	int64_t term; /* being changed to */
	clk_ms listed; /* no lease of the old term was granted since */
	clk_ms since; /* start of the probing phase */
	clk_ms suspected; /* last report */
	char avoided[ID_LEN]; /* replaced because it reached no majority */
	char chosen[ID_LEN];
	int tries;
	int64_t start;
	struct fo_member *members;
	size_t nmembers;
};

struct fo {
	struct fo_config cfg;
	const struct state *state;
	bool leading;
	int64_t view; /* roster that groups and members reflect */
	int64_t calls;
	struct fo_group *groups;
	size_t ngroups;
	struct fo_act *acts;
	size_t nacts;
	size_t taken;
};

const struct group_info *fo_info(const struct fo *f, const struct fo_group *g);
struct fo_member *fo_member(struct fo_group *g, const char *id);
struct fo_group *fo_group(struct fo *f, const char *name);

/* Brings groups and members in line with the roster. */
void fo_update(struct fo *f);
size_t fo_majority(const struct fo_group *g);

/* Members that answered since a point in time. */
size_t fo_answered(const struct fo_group *g, clk_ms since);

/* True if a replica that stays has the log up to a position. */
bool fo_has_successor(const struct fo_group *g, int64_t log_term, int64_t held);
size_t fo_fenced(const struct fo_group *g, bool count_all);

/* The member to promote. A leaving or an avoided one only if the others may
 * lack entries that a majority holds. */
const struct fo_member *fo_choose(const struct fo_group *g);

/* True if a member knows a higher term and so would refuse ours. */
bool fo_outdated(const struct fo_group *g);

#endif
