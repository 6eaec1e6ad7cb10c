#ifndef CTL_PRIV_H
#define CTL_PRIV_H

/*
 * Internals of struct ctl, shared by ctl_core.c (events and actions),
 * ctl_proxy.c (answers to proxies, operators' lists), ctl_query.c (operators'
 * queries), ctl_registry.c (the registry of proxies and backends),
 * ctl_requests.c (requests from outside), ctl_announce.c (which announcements
 * of backends count) and ctl_bootstrap.c (bootstrap).
 */

#include "ctl_core.h"
#include "quota.h"
#include "ratelim.h"

#include <uthash.h>

/* What the leader knows about a proxy from its asks. */
struct ctl_proxy {
	char id[ID_LEN];
	int64_t client; /* number of its link; 0 if closed */
	clk_ms last_heard_ms;
	int64_t cfg_version;
	char cfg_digest[ID_LEN];
	int64_t view_version; /* newest that it has or that was pushed to it */
	struct proxy_info proposed; /* record proposed last */
	clk_ms proposed_ms;
	int64_t config_sent_version; /* published configuration sent last */
	int64_t config_sent_client; /* number of the link it was sent on */
	clk_ms config_sent_ms;
};

/* What the leader knows about a backend from its announcements. */
struct ctl_backend {
	char id[ID_LEN];
	clk_ms last_heard_ms;
	struct backend_info proposed; /* record proposed last */
	clk_ms proposed_ms;
	int64_t proposed_index; /* log index of that proposal */
	int64_t newest_sequence; /* of the announcements of incarnation */
	int64_t incarnation;
	clk_ms accepted_ms; /* last announcement that did not count as late */
	bool left; /* it has left since then */
	/* The last announcements, if they counted as late and are of one
	 * incarnation. */
	int64_t late_incarnation;
	int64_t late_sequence;
	int late_count;
	clk_ms late_since_ms;
};

/* The backend that started last at an address. */
struct ctl_addr {
	char addr[ADDR_LEN];
	char id[ID_LEN];
	int64_t incarnation;
	UT_hash_handle hh;
};

/* An operator's request whose entry is not committed yet. */
struct ctl_pending_apply {
	int64_t client;
	int64_t seq;
	char request_id[REQUEST_ID_LEN];
};

/* A queued action that is not returned by ctl_next_action() yet, with the
 * memory that its message points to. */
struct ctl_output {
	enum ctl_action_type type;
	char to[ID_LEN];
	int64_t client;
	struct msg msg;
	int64_t known_view_version; /* ANSWER: version that the proxy has */
	char *text; /* APPLIED, ROWS */
	struct report_cell *cells; /* ROWS */
	struct name_entry *names; /* FORMED, ANSWER */
	enum res res; /* DONE */
};

/* A request from outside that waits for a majority, see ctl_core.h. */
struct ctl_ticket {
	int64_t ticket;
	int64_t term; /* when the request came */
	int64_t index; /* entry that must be applied; 0 for none */
	clk_ms requested_ms;
};

/* A control instance that reported before the bootstrap that it is empty. */
struct ctl_empty_peer {
	int64_t uuid; /* 0 if it reported the opposite, or nothing yet */
	clk_ms answered_ms; /* last answer */
};

struct ctl {
	const struct settings *settings;
	int64_t uuid;
	struct raft *raft;
	struct state *state;
	struct fo *failover;
	struct pro *promotion;
	struct pos_sample *samples; /* newest position of each group */
	size_t nsamples;
	struct pos_sample *answer_samples; /* those in the last answer */
	struct route_table *routes; /* from the published configuration */
	struct ctl_ticket *tickets;
	size_t ntickets;
	struct quota_server *quota;
	struct rl_server *rates; /* NULL if there are no rate limits */
	bool leading; /* is leader and applied an entry of its term */
	clk_ms leader_since_ms;
	int64_t last_answer_seq;
	struct ctl_proxy *proxies;
	size_t nproxies;
	struct ctl_backend *backends;
	size_t nbackends;
	struct ctl_addr *newest_at_addr;
	struct ctl_pending_apply *waiters;
	size_t nwaiters;
	struct ctl_output *outputs;
	size_t noutputs;
	size_t outputs_taken;
	struct name_entry
		*answer_members; /* control members in the last answer */
	/* Groups whose primary is being changed, as of changing_view. */
	struct name_entry *changing_groups;
	int64_t nchanging_groups;
	int64_t changing_view;
	struct ctl_empty_peer empty_peers[SETTINGS_MAX_CONTROLS];
	clk_ms next_bootstrap_ms;
	clk_ms next_liveness_ms;
	bool unsent_proposals; /* entries were proposed but not sent yet */
	bool push_pending; /* records to push changed since the last tick */
	size_t applied_bytes; /* of entries since the last snapshot */
	int64_t applied_index; /* newest entry that state reflects */
	enum raft_role last_role; /* to log only changes to candidate */
};

/* True if this instance is the leader and may act for the cluster at now. */
bool ctl_may_act(const struct ctl *c, clk_ms now);

/* Queues an action for ctl_next_action(). */
struct ctl_output *ctl_queue_output(struct ctl *c, enum ctl_action_type type);

/* Proposes a command and frees the buffer; returns the entry's index, or 0 if
 * this is not the leader. */
int64_t ctl_propose(struct ctl *c, struct buf *cmd);

/*
 * The registry of proxies and backends: when the leader last heard from each,
 * and what it proposed to record about it. It is kept in memory only and built
 * anew by each leader.
 */
void ctl_registry_start(struct ctl *c, clk_ms now);
void ctl_registry_clear(struct ctl *c);
struct ctl_proxy *ctl_update_proxy(struct ctl *c, int64_t client,
				   const char *id, const char *zone,
				   const struct msg_ask *ask, clk_ms now);

/* True unless the announcement holds numbers that no backend can have, or moves
 * a known backend to a group that no configuration names. */
bool ctl_announcement_possible(const struct ctl *c,
			       const struct backend_info *b, int64_t sequence,
			       clk_ms wall);

/*
 * Takes note of an announcement. Returns whether it counts; otherwise it is
 * late. goes_on is set if it counts although a newer one was accepted before,
 * because that one was not the backend's own.
 */
bool ctl_announcement_counts(struct ctl *c, const struct backend_info *b,
			     int64_t sequence, bool *goes_on, clk_ms now);

/* Returns the index of the entry that records the backend; 0 if it is recorded
 * already. If goes_on is set, a record that it is leaving is revoked. */
int64_t ctl_update_backend(struct ctl *c, const struct backend_info *b,
			   bool goes_on, clk_ms now);

/* Proposes to remove a recorded backend; returns the index of the entry. */
int64_t ctl_propose_removal(struct ctl *c, const char *id, clk_ms now);
struct ctl_backend *ctl_find_or_add_backend(struct ctl *c, const char *id,
					    clk_ms now);

/* Records which backend announced an address; if several did, the one that
 * started last. ctl_assign_addr() records it even so. */
void ctl_record_addr(struct ctl *c, const struct backend_info *b);
void ctl_assign_addr(struct ctl *c, const struct backend_info *b);

/* The id of another backend that announced the same address and started later;
 * NULL if there is none. */
const char *ctl_replaced_by(const struct ctl *c, const struct backend_info *b);

/* Queues CTL_ANSWER_REQUEST for the tickets whose result is known. */
void ctl_finish_tickets(struct ctl *c, clk_ms now);

/* Returns a new array of the ids of the control members, to be sent to those
 * that only know the seeds. */
struct name_entry *ctl_member_names(const struct ctl *c, int64_t *n);

/* Removes or marks the proxies and backends that are unresponsive. */
void ctl_registry_tick(struct ctl *c, clk_ms now);

/* Replies to the operators' requests that wait for a result. */
void ctl_applied(struct ctl *c, const struct state_request_result *q);

/* Refuses all that wait, since this is not the leader any more. */
void ctl_refuse_waiters(struct ctl *c);

/* Sends changed records to the connected proxies without waiting for their
 * asks. */
void ctl_push_records(struct ctl *c);

/* Bootstrap of a new cluster, see ctl_bootstrap.c. */
void ctl_bootstrap_tick(struct ctl *c, clk_ms now);
void ctl_on_bootstrap_message(struct ctl *c, const char *from,
			      const struct msg *m, clk_ms now);

#endif
