#ifndef RAFT_PRIV_H
#define RAFT_PRIV_H

/* Internal state of struct raft, shared by raft.c (roles and elections) and
 * raft_replication.c (replication and membership changes). */

#include "raft.h"
#include "raft_log.h"

enum {
	/* Newest heartbeat rounds whose sending time is kept. */
	RAFT_TRACKED_ROUNDS = 64,
	/* Enough for the few round trips that opening a link takes. */
	RAFT_CONNECT_MS = 20,
	/* A pre-vote is repeated after election_min_ms divided by this. */
	RAFT_PREVOTE_DIVISOR = 4
};

/* What this instance knows about another one. */
struct raft_peer_state {
	char id[ID_LEN];
	int64_t uuid;
	bool vote_granted; /* voted for this instance in this election */
	int64_t next_index; /* next entry to send */
	int64_t match_index; /* newest entry known to be stored there */
	clk_ms acked_round_ms; /* when the newest round it answered was sent */
	int64_t snapshot_offset; /* offset of the next snapshot chunk to send */
	clk_ms last_sent_ms; /* last MSG_APPEND or MSG_SNAPSHOT */
	clk_ms answered_ms; /* last answer to this leader; 0 if none */
};

/* What a voter must have done to be counted by raft_has_quorum(). */
enum raft_quorum_kind {
	RAFT_QUORUM_VOTES, /* voted for this instance */
	RAFT_QUORUM_MATCH, /* stored the entry with index arg */
	RAFT_QUORUM_ROUND /* answered a round that was sent after time arg */
};

struct raft {
	struct raft_config cfg;
	struct raft_log log;
	int64_t term;
	char voted_for[ID_LEN];
	enum raft_role role;
	char leader[ID_LEN];
	int64_t commit_index;
	int64_t applied_index;
	clk_ms started_ms;
	clk_ms leader_heard_ms; /* last message of a leader of this term */
	clk_ms voter_back_ms; /* see raft_voter_back_at() */
	clk_ms election_deadline; /* when to start the next election */
	clk_ms leader_since_ms; /* CLK_NEVER if not leader */
	int64_t noop_index; /* leader: the no-op entry of its term */
	int64_t round; /* number of the newest heartbeat round */
	clk_ms round_sent_ms[RAFT_TRACKED_ROUNDS];
	clk_ms next_heartbeat_ms; /* transferring: when to give up */
	bool transferring; /* leadership transfer in progress */
	struct raft_peer_state peers[RAFT_MAX_MEMBERS];
	int npeers;
	struct buf incoming_snapshot; /* received so far */
	int64_t incoming_index;
	int64_t incoming_term;
	struct raft_action
		*actions; /* those up to actions_taken were returned */
	size_t nactions;
	size_t actions_cap;
	size_t actions_taken;
};

struct raft_action *raft_queue_action(struct raft *r,
				      enum raft_action_type type);
struct msg *raft_queue_message(struct raft *r, const char *to,
			       enum msg_type type);
struct raft_peer_state *raft_find_peer(struct raft *r, const char *id);
/* Whether there is a voter with this id, of whatever uuid. */
bool raft_is_member(const struct raft *r, const char *id);
bool raft_has_quorum(const struct raft *r, enum raft_quorum_kind what,
		     int64_t arg);

/* Becomes a follower; a higher term is adopted and saved. leader is "" if
 * unknown. */
void raft_become_follower(struct raft *r, int64_t term, const char *leader,
			  clk_ms now);

/* Appends an entry of the current term to the own log. */
void raft_append_entry(struct raft *r, int64_t kind, const struct blob *data);

/* Raises the commit index and queues the newly committed entries to apply. */
void raft_set_commit(struct raft *r, int64_t commit);

/* Starts a pre-vote, or at once an election if forced, as a leadership transfer
 * requires. */
void raft_start_election(struct raft *r, bool forced, clk_ms now);

/* Replication on the leader. */
void raft_start_replication(struct raft *r, clk_ms now);
/* Starts a heartbeat round: sends to all peers, with entries if there are any
 * to send. */
void raft_broadcast(struct raft *r, clk_ms now);
void raft_replicate(struct raft *r, clk_ms now);
void raft_advance_commit(struct raft *r);
/* Starts the next membership change that is due, if none is in progress. */
void raft_update_voters(struct raft *r, clk_ms now);
void raft_on_appended(struct raft *r, struct raft_peer_state *p,
		      const struct msg_appended *m, clk_ms now);
void raft_on_installed(struct raft *r, struct raft_peer_state *p,
		       const struct msg_installed *m, clk_ms now);

/* Replication on a follower. */
void raft_on_append(struct raft *r, const char *from,
		    const struct msg_append *m, clk_ms now);
void raft_on_snapshot(struct raft *r, const char *from,
		      const struct msg_snapshot *m, clk_ms now);

#endif
