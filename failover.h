#ifndef FAILOVER_H
#define FAILOVER_H

/*
 * Failover: decides when a group of backends gets a new primary, and which
 * member that is. Runs on the leader of the control instances; for backends
 * that accept fence, promote and follow calls (promote.h is for those with a
 * promoter outside the system). Names begin with fo_ for failover.
 *
 * The module does no I/O. Calls to members and records to commit are queued as
 * actions, which the caller takes with fo_next_action() and carries out. Their
 * results come back through fo_on_answer() and through the replicated state.
 *
 * A change of primary goes through these phases:
 *   probing     members are asked for their status; the change begins when a
 *               majority answers and the primary does not answer, has no
 *               majority, is no primary any more, or is leaving
 *   beginning   the record that the group changes to a new term is being
 *               committed
 *   fencing     all members are asked to refuse lower terms
 *   promoting   the member with the newest log of those fenced is promoted,
 *               after the leases of the old term have run out
 *   committing  the new primary is being committed
 *
 * A new control leader that finds a group in the middle of a change starts the
 * change again with a higher term. Members that are not known to follow the
 * current primary in their current incarnation are told to follow it.
 */

#include "clock.h"
#include "state.h"

enum fo_action_type {
	FO_PROBE, /* read a member's status */
	FO_FENCE, /* make a member refuse lower terms; returns its status */
	FO_PROMOTE, /* make a member the primary of a term */
	FO_FOLLOW, /* make a member a replica of a primary */
	FO_COMMIT /* commit a record about the group */
};

struct fo_action {
	enum fo_action_type type;
	char group[ID_LEN];
	char member[ID_LEN];
	char addr[ADDR_LEN]; /* address of the member */
	int64_t term;
	char primary[ADDR_LEN]; /* FO_FOLLOW: address to follow */
	int64_t call_id; /* id of the call, repeated in its answer */
	struct group_info record; /* FO_COMMIT */
	struct term_start
		start_record; /* FO_COMMIT: record.starts points here */
};

/* Status of a member, as probes and fences return it; struct backend_status
 * explains the fields. */
struct fo_status {
	int64_t incarnation;
	bool primary;
	int64_t fence_term;
	int64_t log_term;
	int64_t received_pos;
	int64_t applied_pos;
	int64_t data_age_ms;
	int64_t majority_age_ms;
};

struct fo_answer {
	const char *group;
	const char *member;
	int64_t call_id;
	bool ok;
	struct fo_status status; /* result of a probe or fence */
	int64_t term_start_pos; /* promotion: log position at which its term
				   starts */
};

struct fo_config {
	clk_ms lease_ms;
	/* A primary without a majority for this long is replaced. */
	clk_ms max_majority_age_ms;
};

struct fo;

struct fo *fo_new(const struct fo_config *cfg, const struct state *state);
void fo_free(struct fo *f);

/* Starts to act: this instance was elected control leader at the time led and
 * has applied all earlier log entries. */
void fo_start_leading(struct fo *f, clk_ms led, clk_ms now);

/* Stops acting and forgets all groups: this instance leads no longer. */
void fo_stop_leading(struct fo *f);

/* A proxy reported that it can't use the group's primary of a term. */
void fo_on_suspicion(struct fo *f, const char *group, int64_t term, clk_ms now);

/* Takes the result of a call, or its failure. */
void fo_on_answer(struct fo *f, const struct fo_answer *a, clk_ms now);

/* To be called regularly, and when the replicated state has changed. */
void fo_tick(struct fo *f, clk_ms now);

/* Takes the next queued action; false if there is none. */
bool fo_next_action(struct fo *f, struct fo_action *a);

#endif
