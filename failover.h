#ifndef FAILOVER_H
#define FAILOVER_H

/*
 * Changes of primary, decided by the control leader. Free of I/O: calls to
 * members and commands to commit are queued as actions, their results come
 * back as events.
 *
 * A change of a group goes through these phases:
 *   probing     members are asked for their status; the change begins when a
 *               majority answers and the primary does not, has no majority,
 *               is no primary any more, or is leaving
 *   beginning   "changing to term" is being committed
 *   fencing     all members are asked to refuse lower terms
 *   promoting   the member with the newest log of those fenced is promoted,
 *               after the leases of the old term have run out
 *   committing  the new primary is being committed
 *
 * A leader that finds a group changing when it takes over begins with a
 * higher term. Members that are not known to follow the current primary in
 * their current incarnation are told to.
 */

#include "clock.h"
#include "state.h"

enum fo_act_type {
	FO_PROBE, /* read a member's status */
	FO_FENCE,
	FO_PROMOTE,
	FO_FOLLOW,
	FO_COMMIT /* commit the record in group */
};

struct fo_act {
	enum fo_act_type type;
	char group[ID_LEN];
	char member[ID_LEN];
	char addr[ADDR_LEN]; /* of the member */
	int64_t term;
	char primary[ADDR_LEN]; /* FOLLOW: address to follow */
	int64_t call; /* given back in the answer */
	struct group_info record; /* COMMIT */
	struct term_start start; /* COMMIT: record.starts points here */
};

/* Status of a member, as probes and fences return it. */
struct fo_status {
	int64_t incarnation;
	bool primary;
	int64_t fence_term;
	int64_t log_term;
	int64_t held;
	int64_t applied;
	int64_t age_ms;
	int64_t majority_age_ms;
};

struct fo_answer {
	const char *group;
	const char *member;
	int64_t call;
	bool ok;
	struct fo_status status; /* of a probe or fence */
	int64_t start; /* of a promotion */
};

struct fo_config {
	clk_ms lease_ms;
	clk_ms no_majority_ms; /* primary without a majority for this long */
};

struct fo;

struct fo *fo_new(const struct fo_config *cfg, const struct state *state);
void fo_free(struct fo *f);

/* Starts to act for a leader that was elected at led and has applied all
 * earlier entries. */
void fo_lead(struct fo *f, clk_ms led, clk_ms now);
void fo_stop(struct fo *f);

/* A proxy can't use the primary of a term. */
void fo_suspect(struct fo *f, const char *group, int64_t term, clk_ms now);
void fo_on_answer(struct fo *f, const struct fo_answer *a, clk_ms now);

/* Time passed or the state changed. */
void fo_tick(struct fo *f, clk_ms now);

bool fo_next(struct fo *f, struct fo_act *a);

#endif
