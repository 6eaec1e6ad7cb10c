#ifndef MSG_H
#define MSG_H

/*
 * Messages that proxies and control instances exchange, and their encoding.
 *
 * struct msg is a tagged union. On the wire a message is a msgpack array: the
 * type number, then the fields in the order of the tables in msg.c. Field
 * names are not sent. msg_decode() checks every type and length; it refuses
 * strings that do not fit their field and lists of more than MSG_MAX_LIST
 * entries. A decoded message owns the memory that its blobs and lists point
 * to; msg_free() releases it.
 *
 * A receiver ignores extra fields at the end of a message and sets missing
 * ones to zero, so processes of different versions can talk to each other
 * during an upgrade. New fields are therefore added only at the end.
 */

#include "buf.h"
#include "cluster.h"
#include "error.h"
#include "route_table.h"

#include <stddef.h>

enum {
	MSG_VERSION = 1, /* protocol version; both sides must have it */
	MSG_MAX_FRAME = 4 << 20, /* bytes of one frame */
	MSG_MAX_LIST = 65536, /* entries of one list */
	MSG_NONCE_LEN = 32, /* bytes */
	MSG_MAC_LEN = 32, /* bytes */
	MSG_ROLE_LEN = 16,
	MSG_SQLSTATE_LEN = 6, /* SQLSTATE with the final zero */
	REQUEST_ID_LEN = 65 /* bytes of a request id with the final zero */
};

/* Bytes that someone else owns; not zero-terminated in general. */
struct blob {
	const char *data;
	size_t len;
};

/*
 * Type numbers on the wire. msg_name() returns the name without MSG_.
 */
enum msg_type {
	/* handshake of a link, see link.h */
	MSG_HELLO = 1,
	MSG_PROOF = 2,
	/* proxies and operators to control, and its answers */
	MSG_ASK = 10,
	MSG_ANSWER = 11,
	MSG_APPLY = 12,
	MSG_APPLIED = 13,
	MSG_QUERY = 14,
	MSG_ROWS = 15,
	/* Raft between control instances */
	MSG_VOTE = 20,
	MSG_VOTED = 21,
	MSG_APPEND = 22,
	MSG_APPENDED = 23,
	MSG_SNAPSHOT = 24,
	MSG_INSTALLED = 25,
	/* first start of the control instances, see ctl_bootstrap.c */
	MSG_FORM = 26,
	MSG_FORMED = 27,
	/* statements that a proxy has another proxy run, see exec.h */
	MSG_RUN = 30,
	MSG_DATA = 31,
	MSG_END = 32,
	MSG_CANCEL = 33,
	MSG_UNPIN = 34,
	/* configuration */
	MSG_FETCH = 40,
	MSG_CONFIG = 41,
	MSG_PUBLISH = 42,
	MSG_ROUTES = 43,
	/* jobs that a proxy has another proxy run, see relay.h */
	MSG_JOB = 44,
	MSG_JOB_END = 45,
	MSG_JOB_CANCEL = 46,
	MSG_PIN_END = 47,
	MSG_PIN_LOST = 48,
	/* rate limits of tenants, see ratelim.h */
	MSG_RATE_ASK = 49,
	MSG_RATE_GRANT = 50
};

/* First message that each side of a link sends. */
struct msg_hello {
	int64_t version; /* MSG_VERSION */
	char role[MSG_ROLE_LEN]; /* "proxy" or "control" */
	char id[ID_LEN];
	char zone[ID_LEN];
	int64_t uuid; /* of a proxy's process or a control instance's state */
	struct blob nonce; /* MSG_NONCE_LEN random bytes */
	bool can_decompress; /* the sender takes compressed frames, see link.h
			      */
};

/*
 * HMAC over the nonce that the receiver sent and the sender's role and id,
 * with the shared key.
 */
struct msg_proof {
	struct blob mac;
};

/*
 * Demand of one customer at one proxy. A unit of quota is one connection to a
 * backend.
 */
struct quota_demand {
	char customer[ID_LEN];
	int64_t in_use; /* units that running requests occupy */
	int64_t queued; /* requests that wait for a unit */
	int64_t held_units; /* units of grants that have not expired */
};

/* Units of quota that the control leader leases to a proxy. */
struct quota_grant {
	char customer[ID_LEN];
	int64_t units;
	int64_t floor; /* units that the proxy may use while it cannot reach
			* the control leader, see quota.h */
};

enum suspect_reason { SUSPECT_UNREACHABLE = 1, SUSPECT_NO_MAJORITY = 2 };

/* A proxy's report that the primary of a group seems to have failed. */
struct suspect_report {
	char group[ID_LEN];
	int64_t term;
	int64_t reason; /* enum suspect_reason */
	char backend[ID_LEN]; /* primary that the proxy tried to use */
};

/*
 * A log position observed at a group's primary. The primary returned it in the
 * answer to a request that was sent at the time at, or later.
 */
struct pos_sample {
	char group[ID_LEN];
	int64_t term;
	int64_t number;
	int64_t sent_at_leader_ms; /* ms of the control leader's clock */
};

/*
 * Request of a proxy to the control leader for its lease and grants, and its
 * report. It is sent every 400 ms and when something changed.
 */
struct msg_ask {
	int64_t seq;
	int64_t last_answer_seq; /* answer_seq of the newest answer received */
	int64_t known_lists_version; /* of the lists that the proxy has */
	char lists_digest[ID_LEN];
	int64_t view_version; /* of the proxy's view of the deployment */
	char addr[ADDR_LEN]; /* link address of this proxy */
	bool stopping; /* this proxy is shutting down */
	struct quota_demand *demands;
	int64_t ndemands;
	struct suspect_report *suspects;
	int64_t nsuspects;
	struct backend_info
		*backend_announcements; /* announcements of backends that were
					 * received since the last ask */
	int64_t nbackend_announcements;
	int64_t published_version; /* of the published configuration that the
				    * proxy has */
	struct pos_sample *samples; /* newer than those of the last answer */
	int64_t nsamples;
	/* Groups whose positions this proxy needs from other proxies, as a
	 * bitmap over the groups of the configuration that it has, starting
	 * with the lowest bit of the first byte. */
	struct blob wanted_groups;
};

/* Entry of a list of names or ids. */
struct name_entry {
	char text[ID_LEN];
};

/*
 * Answer of a control instance to MSG_ASK. An instance that is not the leader
 * answers RES_NOT_LEADER and names the leader if it knows it; the other fields
 * are then empty.
 */
struct msg_answer {
	int64_t ask_seq; /* seq of the request */
	int64_t answer_seq;
	int64_t res; /* enum res */
	char leader[ID_LEN];
	int64_t lease_ms; /* duration of the lease, counted from when the
			   * request was sent; 0 if there is no lease */
	int64_t grant_ms; /* the same for the quota grants */
	struct name_entry
		*changing_groups; /* groups whose primary is being changed; the
				   * lease does not cover them */
	int64_t nchanging_groups;
	struct quota_grant *grants; /* replaces all earlier grants */
	int64_t ngrants;
	int64_t current_lists_version; /* of the lists in force */
	char lists_digest[ID_LEN];
	struct blob
		lists_text; /* the lists, if newer than those of the proxy */
	int64_t view_version;
	/* Groups, backends and proxies that changed since the view_version of
	 * the request. */
	struct group_info *groups;
	int64_t ngroups;
	struct backend_info *backends;
	int64_t nbackends;
	struct proxy_info *proxies;
	int64_t nproxies;
	int64_t published_version;
	struct blob packed_routes; /* compressed routes of the published
				    * configuration, if newer than those of the
				    * proxy; see rt_encode() */
	int64_t unpacked_routes_size; /* bytes before compression */
	struct name_entry *controls; /* current control instances */
	int64_t ncontrols;
	int64_t leader_clock; /* leader's clock when it answered, in ms; not 0
			       */
	struct pos_sample *samples; /* newest of each group in wants */
	int64_t nsamples;
	/* With RES_NOT_LEADER: the sender is a voter without a leader. Leases
	 * that a majority of the voters supports go on for lease_ms. */
	bool supports_lease;
	/* In commands and snapshots of the replicated state only. */
	struct ended_log *ended_logs;
	int64_t nended_logs;
	struct group_orders *orders;
	int64_t norders;
};

/* Request of an operator to replace the lists of plans and customers. */
struct msg_apply {
	int64_t seq;
	char request_id[REQUEST_ID_LEN];
	char operator_name[ID_LEN];
	int64_t base_version; /* version that the operator edited */
	struct blob lists;
};

/* Result of MSG_APPLY. */
struct msg_applied {
	int64_t seq;
	int64_t res; /* enum res */
	int64_t version; /* of the lists in force after the request */
	char digest[ID_LEN];
	char version_operator[ID_LEN]; /* operator who applied that version */
	int64_t version_written_at; /* when it was applied, in wall-clock ms */
	struct blob text; /* differences, or why the request was refused */
};

/* Request of an operator for a report. */
struct msg_query {
	int64_t seq;
	struct blob report_name; /* "status", "log", "counters", "config" */
};

/* One value of a report. */
struct report_cell {
	struct blob text;
};

/*
 * Answer to MSG_QUERY. The cells are ncols column names, then the rows of ncols
 * cells each.
 */
struct msg_rows {
	int64_t seq;
	int64_t res; /* enum res */
	int64_t ncols;
	struct report_cell *cells;
	int64_t ncells;
};

/*
 * Raft messages between control instances. In all of them uuid identifies the
 * sender and term is its Raft term; only a pre-vote, and an answer that grants
 * it, have the term that the candidate would start.
 */

/* Request for a vote. */
struct msg_vote {
	int64_t term;
	int64_t uuid;
	bool pre_vote; /* pre-vote: asks without starting the term */
	int64_t last_index;
	int64_t last_term;
	bool leadership_transfer; /* the leader asked the sender to replace it
				   */
};

struct msg_voted {
	int64_t term;
	int64_t uuid;
	bool pre_vote;
	bool granted;
};

struct raft_entry {
	int64_t index;
	int64_t term;
	int64_t kind; /* enum raft_entry_kind */
	struct blob data;
};

struct msg_append {
	int64_t term;
	int64_t uuid;
	int64_t heartbeat_round; /* heartbeat round; the answer returns it */
	int64_t prev_index;
	int64_t prev_term;
	int64_t commit; /* highest committed index */
	struct raft_entry *entries;
	int64_t nentries;
	bool start_election_now; /* the receiver must start an election at once
				  */
};

struct msg_appended {
	int64_t term;
	int64_t uuid;
	int64_t heartbeat_round;
	bool entries_matched; /* the log matched at prev_index and took the
				 entries */
	int64_t match_index_or_hint; /* ok: last index known to equal the
				      * leader's; else a hint after which index
				      * to send again */
};

/* A part of a snapshot. */
struct msg_snapshot {
	int64_t term;
	int64_t uuid;
	int64_t heartbeat_round;
	int64_t last_index;
	int64_t last_term;
	int64_t offset; /* of data in the snapshot */
	int64_t snapshot_size; /* bytes of the snapshot */
	struct blob data;
};

/* Answer to MSG_SNAPSHOT. */
struct msg_installed {
	int64_t term;
	int64_t uuid;
	int64_t heartbeat_round;
	int64_t last_index;
	int64_t received_bytes; /* bytes received so far */
	bool snapshot_installed; /* the whole snapshot is installed */
};

/*
 * Bootstrap of the control instances: one whose data directory is empty asks
 * the others whether theirs are empty too, see ctl_bootstrap.c.
 */
struct msg_form {
	int64_t uuid;
	bool data_dir_empty; /* the sender's data directory has no state */
};

struct msg_formed {
	int64_t uuid;
	bool data_dir_empty;
	struct name_entry *controls; /* members that the sender knows */
	int64_t ncontrols;
};

enum run_kind {
	RUN_READ = 1, /* on any backend that has the position and the age that
		       * the request needs */
	RUN_WRITE = 2, /* one statement or batch on the primary */
	RUN_IN_TXN =
		3, /* statement of a transaction with a pinned connection */
	RUN_DESCRIBE = 4, /* parameter and row types only */
	RUN_BEGIN = 5 /* statement that opens a transaction and pins its
		       * connection */
};

enum run_flag {
	RUN_SIMPLE_QUERY = 1 << 0, /* simple query protocol; may contain several
				    * statements */
	RUN_REQUIRE_LEASE =
		1 << 1, /* on the primary, only while the lease holds */
	RUN_WAIT_MAJORITY =
		1 << 2, /* acknowledge when a majority has the commit */
	RUN_RECORD_REQUEST_ID = 1 << 3, /* record the request id in the group */
	RUN_PIN_CONN = 1 << 4, /* keep the connection for this caller */
	RUN_EXPECT_LONG = 1 << 5, /* the sender expects a long statement */
	RUN_ROW_DESCRIPTION = 1
			      << 6 /* send a row description before the rows */
};

/* Parameter of a statement. */
struct run_param {
	bool null;
	int64_t format; /* as in PostgreSQL: 0 is text, 1 is binary */
	int64_t type; /* OID, 0 if unspecified */
	struct blob value;
};

/*
 * A request that another proxy runs on one of its backends. Durations count
 * from when the message is received.
 */
struct msg_run {
	int64_t run_id; /* chosen by the sender; the answers return it */
	int64_t kind; /* enum run_kind */
	int64_t flags; /* enum run_flag */
	char group[ID_LEN];
	char backend[ID_LEN];
	char customer[ID_LEN];
	int64_t priority; /* 0 is served first */
	int64_t weight; /* share among customers of the same priority */
	int64_t term; /* current term of the group as the sender knows it */
	int64_t min_term; /* position that the session token requires of the
			   * backend; 0 if none */
	int64_t min_position;
	int64_t max_age_ms; /* of the data read; -1 if any age will do */
	int64_t wait_limit_ms; /* longest wait for a slot and for a replica */
	int64_t answer_timeout_ms; /* until the answer must be complete */
	int64_t fingerprint; /* of the statement, to estimate its cost */
	int64_t pinned_conn_id; /* pinned connection at the receiver; 0 if none
				 */
	char request_id[REQUEST_ID_LEN];
	struct blob sql;
	struct run_param *params;
	int64_t nparams;
	int64_t result_format; /* as run_param.format */
};

/* Part of the answer to MSG_RUN: whole PostgreSQL messages for the caller. */
struct msg_data {
	int64_t run_id;
	struct blob bytes;
};

/* End of the answer to MSG_RUN. */
struct msg_end {
	int64_t run_id;
	int64_t res; /* enum res */
	char sqlstate[MSG_SQLSTATE_LEN]; /* of an error from the backend */
	struct blob text;
	int64_t txn_status_char; /* PostgreSQL transaction status: 'I', 'T' or
				    'E' */
	int64_t pinned_conn_id; /* pinned connection; 0 if it went back to the
				   pool */
	int64_t log_term; /* position that the backend had applied */
	int64_t applied_position;
	int64_t write_term; /* position of the write; 0 if nothing was
			     * written */
	int64_t write_position;
	int64_t waited_us; /* until the statement started */
	int64_t cost_us; /* time on the backend */
	int64_t data_age_plus_1_ms; /* age of the applied data in ms, plus 1; 0
				     * if unknown */
};

/* Cancels a request that MSG_RUN started. */
struct msg_cancel {
	int64_t run_id;
};

/* Releases a pinned connection. */
struct msg_unpin {
	int64_t pinned_conn_id;
};

/* Asks another proxy for its lists, which it sends if they are newer. */
struct msg_fetch {
	int64_t known_lists_version; /* that the sender has */
};

/* A version of the lists: answer to MSG_FETCH, and a record of snapshots. */
struct msg_config {
	int64_t version;
	char digest[ID_LEN];
	char version_operator[ID_LEN]; /* operator who applied it */
	int64_t version_written_at; /* when, in wall-clock ms */
	struct blob lists;
};

/* A configuration that an operator publishes as a whole. */
struct msg_publish {
	int64_t version;
	struct blob config_text; /* text as the operator wrote it */
	struct blob packed_routes; /* the routes that it defines, compressed;
				    * see rt_encode() */
	int64_t unpacked_routes_size; /* bytes before compression */
};

/* A table of routes (struct route_table); rt_encode() compresses this message.
 */
struct msg_routes {
	int64_t version;
	int64_t txn_idle_ms;
	struct rt_database *databases;
	int64_t ndatabases;
	struct rt_group *groups;
	int64_t ngroups;
	bool has_tenants;
	struct rt_tenant *tenants;
	int64_t ntenants;
	struct rt_api_key *api_keys;
	int64_t napi_keys;
};

/* A setting of a session. */
struct session_setting {
	struct blob name;
	struct blob value;
};

/*
 * A job (one statement of a session, see struct db_job) that the receiver is to
 * run on a member, that is, a backend of a group.
 */
struct msg_job {
	int64_t job_number; /* chosen by the sender; the answer returns it */
	char member[ID_LEN];
	int64_t kept_conn_id; /* connection kept for its transaction; 0 if none
			       */
	bool begin_txn; /* open a transaction first */
	bool begin_read_only; /* as a read-only one */
	bool rollback_after; /* roll back right after the statement */
	int64_t min_term; /* position that the member's log must have */
	int64_t min_position;
	int64_t priority; /* 0 is served first */
	int64_t objective_ms; /* latency objective; 0 if none */
	int64_t send_timeout_ms; /* the job fails if it is not sent to the
				  * member in this time */
	struct blob job_request_id; /* request id */
	struct blob text; /* of the statement */
	bool prepared; /* runs a prepared statement */
	bool prepared_writes; /* the prepared statement writes */
	struct blob prepared_text; /* text of the prepared statement */
	struct blob arguments; /* of the prepared statement */
	struct session_setting *session_settings; /* settings of the session */
	int64_t nsession_settings;
	bool needs_lease; /* see struct db_job */
	char tenant[ID_LEN]; /* see struct db_job; empty if there is none */
	int64_t authorized_ms; /* how much longer the tenant's API key may be
				* used; 0 without a limit, negative if it may
				* not */
	/* how much longer its answer is of use; 0 if this is not known, and
	 * then send_timeout_ms counts */
	int64_t answer_timeout_ms;
	bool fallback; /* see struct db_job */
};

/* Result of a job; see struct db_result. */
struct msg_job_end {
	int64_t job_number;
	int64_t status; /* enum db_status */
	bool sent; /* the statement was sent to the member */
	int64_t error; /* enum line_error */
	struct blob member_error_code; /* error code as the member sent it */
	struct blob member_error_text; /* of the error */
	struct blob answer; /* rows and completion for the caller */
	int64_t term; /* position of the member's log */
	int64_t position;
	int64_t txn_status_char; /* transaction status: 'I', 'T' or 'E' */
	int64_t kept_conn_id; /* connection kept for the transaction; 0 if none
			       */
	int64_t retry_ms; /* with LINE_E_OVERLOAD: when to come back */
};

/*
 * The sender no longer waits for the result of the job. A connection that was
 * kept for its transaction is closed.
 */
struct msg_job_cancel {
	int64_t job_number;
};

/* Ends the transaction of a kept connection by a rollback. */
struct msg_pin_end {
	int64_t kept_conn_id;
};

/* Reports that a kept connection failed while no job ran on it. */
struct msg_pin_lost {
	int64_t kept_conn_id;
};

/* What a proxy needs for a tenant and what it has, see ratelim.h. */
struct rate_demand {
	char tenant[ID_LEN];
	int64_t tokens; /* wanted, those for the waiting operations included */
	int64_t waiting; /* operations that wait for a token */
	int64_t demand_milli; /* thousandths of an operation a second; 0 if the
			       * proxy needs no share */
	int64_t share_milli; /* share that the proxy has, likewise */
	int64_t share_burst; /* capacity of its local bucket, millionths of an
			      * operation */
};

/* Request of a proxy to the control leader for tokens and shares. */
struct msg_rate_ask {
	int64_t seq;
	struct rate_demand *demands;
	int64_t ndemands;
};

/* Tokens and the share of a tenant for a proxy. */
struct rate_grant {
	char tenant[ID_LEN];
	int64_t tokens;
	int64_t wait_ms; /* until more can be had; 0 if all were given */
	int64_t valid_ms; /* of the tokens, counted from when the ask was sent;
			   * 0 if the tenant has no limit */
	int64_t share_milli; /* replaces the share that the proxy had */
	int64_t share_burst;
};

/* Answer to MSG_RATE_ASK. */
struct msg_rate_grant {
	int64_t seq; /* of the request */
	int64_t res; /* enum res: OK or NOT_LEADER */
	struct rate_grant *grants;
	int64_t ngrants;
	int64_t ask_interval_ms; /* least time between two asks of a proxy */
};

struct msg {
	enum msg_type type;
	union {
		struct msg_hello hello;
		struct msg_proof proof;
		struct msg_ask ask;
		struct msg_answer answer;
		struct msg_apply apply;
		struct msg_applied applied;
		struct msg_query query;
		struct msg_rows rows;
		struct msg_vote vote;
		struct msg_voted voted;
		struct msg_append append;
		struct msg_appended appended;
		struct msg_snapshot snapshot;
		struct msg_installed installed;
		struct msg_form form;
		struct msg_formed formed;
		struct msg_run run;
		struct msg_data data;
		struct msg_end end;
		struct msg_cancel cancel;
		struct msg_unpin unpin;
		struct msg_fetch fetch;
		struct msg_config config;
		struct msg_publish publish;
		struct msg_routes routes;
		struct msg_job job;
		struct msg_job_end job_end;
		struct msg_job_cancel job_cancel;
		struct msg_pin_end pin_end;
		struct msg_pin_lost pin_lost;
		struct msg_rate_ask rate_ask;
		struct msg_rate_grant rate_grant;
	} u;
	void *decode_memory; /* msgpack_zone with the memory of a decoded
				message */
};

/* The contents of a buffer; valid until the buffer changes. */
static inline struct blob blob_from_buf(const struct buf *b)
{
	return (struct blob){buf_data(b), buf_len(b)};
}

/* Appends the encoded message, without a frame header, to out. */
void msg_encode(const struct msg *m, struct buf *out);

/* Appends the encoded message with its 4-byte length in front. */
void msg_encode_frame(const struct msg *m, struct buf *out);

/*
 * Decodes exactly one message from the len bytes at data. On an error nothing
 * is left to free.
 */
enum res msg_decode(struct msg *m, const char *data, size_t len, struct err *e);
void msg_free(struct msg *m);

/* Name of a type, such as "HELLO", for logs and errors. */
const char *msg_name(enum msg_type type);

#endif
