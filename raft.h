#ifndef RAFT_H
#define RAFT_H

/*
 * The replicated log of the control instances: a Raft implementation with
 * pre-vote, check-quorum, leadership transfer, learners, snapshots and
 * membership changes of one voter at a time.
 *
 * It does no I/O and reads no clock. Every call may queue actions, such as
 * "store this entry" or "send this message". After each event and before the
 * next one, the caller fetches the actions with raft_next_action() until it
 * returns false, and executes them in that order.
 *
 * Persistence is synchronous: the caller executes RAFT_ACTION_SAVE_HARD_STATE,
 * RAFT_ACTION_STORE_ENTRY and RAFT_ACTION_SAVE_SNAPSHOT durably before it
 * executes a later RAFT_ACTION_SEND or RAFT_ACTION_APPLY of the queue. So
 * nothing is acknowledged that a restart could lose.
 *
 * A voter is identified by its id and its uuid. An instance that lost its disk
 * has a new uuid. The leader first replicates to it as a learner (a member
 * without a vote), then removes the voter with the old uuid and adds the one
 * with the new uuid. These are two consecutive membership changes of one voter
 * each, so the majorities before and after each change overlap even if the old
 * voter still runs somewhere. Another instance may fail as soon as the second
 * change is committed.
 *
 * An instance with a new id becomes a voter, too. While a voter is silent it
 * takes that one's place in the same way, so that the number of voters that may
 * fail is never smaller than before.
 */

#include "clock.h"
#include "msg.h"
#include "rng.h"

enum {
	RAFT_MAX_MEMBERS = 9,
	RAFT_MIN_VOTERS = 3, /* unless a learner takes the place of a voter */
	RAFT_SNAPSHOT_CHUNK_BYTES = 256 << 10, /* data of one MSG_SNAPSHOT */
	RAFT_BATCH_ENTRIES = 64, /* entries in one MSG_APPEND */
	RAFT_BATCH_BYTES = 1 << 20 /* unless a single entry is larger */
};

enum raft_entry_kind { RAFT_NOOP = 1, RAFT_COMMAND = 2, RAFT_MEMBERS = 3 };

enum raft_role { RAFT_FOLLOWER, RAFT_PREVOTE, RAFT_CANDIDATE, RAFT_LEADER };

struct raft_member {
	char id[ID_LEN];
	int64_t uuid;
};

/* The voters. */
struct raft_members {
	struct raft_member list[RAFT_MAX_MEMBERS];
	int n;
};

struct raft_config {
	char id[ID_LEN];
	int64_t uuid;
	clk_ms election_min_ms; /* lower bound of the election timeout */
	clk_ms heartbeat_ms;
	struct rng *rng; /* for election timeouts; not owned */
	/* The leader grants leases to proxies. They are safe only because the
	 * voters refuse to vote for another leader for election_min_ms after
	 * they heard from this one. If set, a voter also refuses votes for that
	 * long after its restart, as it may have heard the leader before. */
	bool refuse_votes_after_start;
	/* A voter that has not answered for this long, and for at least two
	 * election timeouts, is removed if a learner is ready to replace it or
	 * RAFT_MIN_VOTERS voters remain without it; 0 disables the removal. */
	clk_ms replace_ms;
};

enum raft_action_type {
	RAFT_ACTION_SAVE_HARD_STATE, /* save the "hard state": term and vote */
	RAFT_ACTION_STORE_ENTRY, /* store entry and drop all stored from its
				    index on */
	RAFT_ACTION_SAVE_SNAPSHOT, /* save a snapshot; entries up to index may
				    * be deleted */
	RAFT_ACTION_SEND, /* send msg to the instance with the id in `to` */
	RAFT_ACTION_APPLY, /* entry is committed: apply it to the state machine
			    */
	RAFT_ACTION_RESTORE_STATE, /* replace the state machine's content by
				      data */
	RAFT_ACTION_ROLE_CHANGED /* the role or the known leader changed */
};

/* Pointers are valid until the next call other than raft_next_action(). */
struct raft_action {
	enum raft_action_type type;
	int64_t index;
	int64_t term;
	bool discard_later_entries; /* SNAPSHOT: delete the later entries too */
	char to[ID_LEN]; /* SEND: receiver; HARD: id that got the vote */
	const struct raft_entry *entry; /* WRITE, APPLY */
	struct blob data; /* SNAPSHOT, RESTORE */
	struct msg msg;
};

struct raft;

struct raft *raft_new(const struct raft_config *cfg, clk_ms now);
void raft_free(struct raft *r);

/* Loads what was stored before a restart. Called in this order, before the
 * first event. */
void raft_load_hard_state(struct raft *r, int64_t term, const char *vote);
enum res raft_load_snapshot(struct raft *r, int64_t index, int64_t term,
			    const struct blob *data, struct err *e);

/*
 * Loads one of the entries that were stored, in the order in which they were.
 * It replaces all that were loaded from its index on, also if the snapshot
 * covers it: what was stored after an index that was written again is void.
 */
void raft_load_entry(struct raft *r, const struct raft_entry *entry);

/* True if nothing was ever stored: no term, no entry and no snapshot. */
bool raft_is_empty(const struct raft *r);

/* Bootstraps a new cluster with these voters, on one instance that is empty. */
void raft_bootstrap(struct raft *r, const struct raft_members *m, clk_ms now);

/* Registers an instance to replicate to, with the id and the uuid that it sent
 * on its link. A changed uuid replaces what was known of the id. */
void raft_register_peer(struct raft *r, const char *id, int64_t uuid,
			clk_ms now);

void raft_tick(struct raft *r, clk_ms now);
void raft_receive(struct raft *r, const char *from, const struct msg *m,
		  clk_ms now);

/* Whether there are actions that raft_next_action() has not returned yet. They
 * may point to entries, which raft_receive() and raft_compact() can free. */
bool raft_has_actions(const struct raft *r);

/* Appends a command; returns its index, or 0 if this is not the leader. */
int64_t raft_propose(struct raft *r, const char *data, size_t len);

/* Sends the entries proposed since the last call. Calling it once for many
 * proposals lets each instance sync its disk once for all of them. */
void raft_send_proposals(struct raft *r, clk_ms now);

/*
 * Replaces the applied part of the log by a snapshot. state is the encoded
 * state machine as of the last applied entry.
 */
void raft_compact(struct raft *r, const char *state, size_t len);

/* Transfers leadership: takes no more proposals and asks the up to date voter
 * that answered last to start an election at once. */
void raft_transfer_leadership(struct raft *r, clk_ms now);

/* Returns the next queued action; false if there is none. */
bool raft_next_action(struct raft *r, struct raft_action *a);

/*
 * True while this leader may act for the cluster: it committed an entry of
 * its term, and a majority answered a heartbeat round that was sent within nine
 * tenths of election_min_ms, so no other leader can have been elected.
 */
bool raft_has_leader_lease(const struct raft *r, clk_ms now);

/*
 * For linearizable reads: raft_start_leader_check() starts a heartbeat round at
 * now, to learn whether this is still the leader. Once
 * raft_leader_check_passed() is true for that time, no other leader had
 * committed anything before it.
 */
void raft_start_leader_check(struct raft *r, clk_ms now);
bool raft_leader_check_passed(const struct raft *r, clk_ms since);

/*
 * True if this is a voter that neither leads nor has heard from a leader for
 * election_min_ms, counted from its start at the earliest.
 */
bool raft_is_leaderless(const struct raft *r, clk_ms now);

/*
 * When a voter last answered this leader after a silence in which it may have
 * been leaderless. The first answer of each voter counts, too.
 */
clk_ms raft_voter_back_at(const struct raft *r);

enum raft_role raft_role(const struct raft *r);
const char *raft_leader(const struct raft *r); /* "" if unknown */
int64_t raft_term(const struct raft *r);
int64_t raft_last_index(const struct raft *r);
int64_t raft_commit_index(const struct raft *r);
int64_t raft_applied_index(const struct raft *r);
int64_t raft_snapshot_index(const struct raft *r);
const struct raft_members *raft_voters(const struct raft *r);
const struct raft_entry *raft_entry_at(const struct raft *r, int64_t index);

/* When this instance became leader; CLK_NEVER if it does not lead. */
clk_ms raft_leader_since(const struct raft *r);

#endif
