#ifndef DB_H
#define DB_H

/*
 * Connection pools to backends that speak the line protocol, and the statements
 * (jobs) that run on them.
 *
 * A job is one statement of a session. It is started on a member (backend) of a
 * group, where it takes an idle connection, waits for one, or has one opened.
 * The connection first receives the session's values and prepared statements,
 * and begins a transaction if the job asks for it. The statement is sent only
 * after all of that succeeded. The whole answer is buffered before it is passed
 * on.
 *
 * Where there are tenants, a connection belongs to the tenant that it was
 * opened for and runs only jobs of that tenant (conn_choice.h).
 *
 * Jobs that wait for a member are kept by jobq.h. With the setting pacing, one
 * that can't end in time is refused at once, as not run (LINE_E_OVERLOAD).
 * Statements of open transactions never wait there.
 *
 * A connection whose job was canceled is reused only after the outstanding
 * answers have arrived; it is closed if they do not arrive in time.
 */

#include "buf.h"
#include "clock.h"
#include "cluster.h"
#include "freshness.h"
#include "jobq.h"
#include "platform/line.h"
#include "read_fallback.h"
#include "sctx.h"

enum {
	/* to connect and be accepted by the backend; opening a connection takes
	 * one of its slots for some ms and may have to wait for one */
	DB_CONNECT_TIMEOUT_MS = 600,
	DB_ABANDONED_TIMEOUT_MS = 3000, /* for the answer of a canceled job */
	/* a member with unanswered statements is unresponsive if nothing is
	 * received for so long; same as suspect_ms of the settings */
	DB_SUSPECT_MS = 500,
	/* A member counts as failing after DB_FAILURES statements in a row
	 * without success over DB_SUSPECT_MS or longer. After occasional lost
	 * statements, others succeed. */
	DB_FAILURES = 3,
	/* failures whose last one is older than this no longer count */
	DB_FAILURES_EXPIRE_MS = 2000,
	/* between two tries of a failing member; same as DB_BACKOFF_MAX_MS */
	DB_FAILING_RETRY_MS = 300,
	DB_IDLE_MS = 45000, /* backends close idle connections after 60 s */
	/* idle connections kept for DB_IDLE_MS. Others are closed after
	 * DB_SPARE_IDLE_MS, since the connections of a proxy that lost power
	 * occupy their places at the backend for 3 s. */
	DB_LONG_IDLE_CONNS = 1,
	DB_SPARE_IDLE_MS = 1000,
	/*
	 * Idle time after which a connection is closed where this proxy's share
	 * is one connection; it is proportional to the share. With 64 proxies
	 * for a primary with 49 connections, each using it 1.3 times a second,
	 * 40 proxies hold one.
	 */
	DB_SCARCE_IDLE_MS = 1000,
	/* how long a job waits for a busy connection before a new one is
	 * opened; opening takes as long */
	DB_OPEN_DELAY_MS = 10,
	DB_EXTRA_CONNS = 2, /* connections allowed beyond this proxy's share */
	/* idle time after which a connection beyond the share is closed */
	DB_EXTRA_IDLE_MS = 1000,
	DB_LEAVING_IDLE_MS = 1000, /* the same for a member that is leaving */
	/* a leaving primary is still sent statements for so long; the
	 * requirements allow 7 s at most */
	DB_LEAVING_PRIMARY_MS = 5000,
	/* after a failed connection attempt; doubled each time */
	DB_BACKOFF_MS = 100,
	DB_BACKOFF_MAX_MS = 300,
	/* pause after the backend's connection limit refused a connection;
	 * other proxies close theirs beyond their share after
	 * DB_EXTRA_IDLE_MS */
	DB_CONN_LIMIT_PAUSE_MS = 250,
	/* the same where the share is below two connections, or a tenant waits
	 * for a connection of its own */
	DB_SCARCE_CONN_LIMIT_PAUSE_MS = 60,
	/* pause after a member refused a statement because its queue was
	 * full */
	DB_BUSY_PAUSE_MS = 20,
	/*
	 * Statements per slot that all proxies together send to a member at
	 * most, so that others wait here, in the order of their priority. With
	 * one, a slot is idle while its next statement is on the way; with
	 * three, most statements wait at the member.
	 */
	DB_STATEMENTS_PER_SLOT = 2,
	/*
	 * The same for one proxy where there are tenants and the member is not
	 * overloaded. The proxies of a member are then used unevenly, since one
	 * tenant may cause 28% of the load, so none of them is bound to an
	 * equal part. See docs/design/tenant-connections.md.
	 */
	DB_TENANT_STATEMENTS_PER_SLOT = 1,
	/*
	 * Where that limit is less than one statement for each proxy, it
	 * applies only while the member is overloaded: for this long after it
	 * refused a statement for lack of a slot, or while answers take
	 * DB_OVERLOADED_FACTOR times as long as without load.
	 */
	DB_OVERLOADED_MS = 500,
	DB_OVERLOADED_FACTOR = 3,
	/* pause after a replica had not reached a position, for reads that need
	 * this position or a later one; doubled each time */
	DB_BEHIND_PAUSE_MS = 20,
	/* upper bound of that pause; a replica that has caught up stays unused
	 * for up to as long */
	DB_BEHIND_PAUSE_MAX_MS = 160,
	/* After so long without a refusal, the log tells that a member ceased
	 * to refuse jobs for overload. */
	DB_REFUSALS_OVER_MS = 1000,
	/* TCP_USER_TIMEOUT, for unacknowledged data */
	DB_USER_TIMEOUT_MS = 1500
};

struct db;
struct db_conn;
struct db_job;
struct relay_forwarded_job;
struct relay_pin;
struct db_member;
struct ev_loop;
struct settings;

enum db_status {
	DB_DONE, /* the statement succeeded */
	DB_REFUSED, /* the backend returned an error */
	DB_LOST /* the connection failed or was never made */
};

struct db_result {
	enum db_status status;
	bool sent; /* the statement itself was sent, not only its context */
	enum line_error error; /* with DB_REFUSED */
	/* with DB_REFUSED: error code, as the backend sent it */
	struct span code;
	struct span text;
	/* with DB_DONE: rows and completion for the caller */
	struct span answer;
	struct pos pos;
	clk_ms sent_at; /* when the statement was sent */
	/* transaction state of the connection: 'I' none, 'T' open, 'E'
	 * failed */
	char txn;
	/* in a transaction: the connection, kept for its session */
	struct db_conn *conn;
	struct relay_pin *pin; /* the same if another proxy ran the job */
	/* with LINE_E_OVERLOAD: after how long the caller should come back */
	clk_ms retry_ms;
};

struct db_job {
	/* Filled in by the caller before db_start(). */
	const struct sctx *ctx;
	struct span id;
	struct span text;
	const struct sctx_prepared *prepared; /* for EXECUTE, else NULL */
	struct span arguments; /* for EXECUTE */
	bool begin; /* open a transaction first */
	bool begin_read_only; /* begin it as read-only */
	bool rollback; /* roll the transaction back right after the statement */
	bool needs_lease; /* it is sent only while lease_until of the member
			   * lies ahead, else refused as not run */
	struct pos required_pos; /* position that the member's log must have
				    reached */
	int64_t priority; /* 0 is the most urgent */
	clk_ms objective_ms; /* latency objective; 0 for none */
	/* Name under which the member is told who is calling; empty where
	 * there are no tenants. */
	char tenant[ID_LEN];
	/* Until when the caller's API key may be used; 0 without a limit. It is
	 * checked when the statement is sent, and refused as not run after it
	 * (LINE_E_KEY_EXPIRED). */
	clk_ms authorized_until;
	/* When the answer must be there, or the job is of no use; 0 if unknown.
	 */
	clk_ms deadline;
	/* It runs on the primary only since no replica can serve it, so with
	 * the setting pacing it gets a bounded share (read_fallback.h). */
	bool fallback;
	void (*done)(struct db_job *j, const struct db_result *r);
	void *arg;

	/* Used inside the module. */
	struct db_member *member;
	struct db_conn *conn;
	struct jobq_job queued; /* in the member's queue */
	clk_ms started_at; /* when it got its connection */
	bool opened_conn; /* a connection was opened for it */
	bool counts_as_fallback; /* in fallback_reads of the member */
	bool sent; /* the statement itself was sent */
	/* set while another proxy runs it, see relay.h */
	struct relay_forwarded_job *relay;
};

struct db_member {
	struct db *db;
	struct backend_info info;
	/* listed in the roster, the list of backends from control */
	bool in_roster;
	/*
	 * Set by the user of this module: the number of connections that are
	 * this proxy's share, in hundredths. Up to DB_EXTRA_CONNS more are
	 * opened under load and soon closed again. With a share below two
	 * connections, proxies have to take turns.
	 */
	int own_conns_percent;
	/* Set by the user of this module: there are tenants, so connections
	 * are kept for each of them. */
	bool by_tenant;
	int sharing_proxies; /* proxies that use the member, this one included
			      */
	/* Set by the user of this module: until when it may be used as the
	 * primary; CLK_NEVER where no lease is needed. */
	clk_ms lease_until;
	struct db_conn **conns;
	int nconns;
	int opening;
	int running;
	struct jobq *queue;
	/* jobs refused for overload since the first one, with the times of the
	 * first and the last; 0 if none was for DB_REFUSALS_OVER_MS */
	uint64_t refusals;
	clk_ms refused_first;
	clk_ms refused_last;
	/* jobs with the mark fallback, here or at the proxies that run them */
	int fallback_reads;
	/* Set by the user of this module, see read_fallback.h. */
	struct rdf_lag lag;
	double response_ms; /* moving average */
	double unloaded_response_ms; /* the response time without load */
	clk_ms overloaded_until;
	struct pos pos; /* newest log position seen */
	clk_ms last_received;
	/* since when statements wait and nothing was received; 0 if none
	 * wait */
	clk_ms waiting_since;
	/* the last connection attempt failed and nothing was received since */
	bool down;
	int failures; /* statements in a row without success */
	clk_ms failed_first; /* when the first and the last of them ended */
	clk_ms failed_last;
	clk_ms fail_until;
	clk_ms backoff;
	/* the last connection was refused by the connection limit */
	bool conn_limit_reached;
	clk_ms conn_limit_until;
	clk_ms busy_until;
	/* position that it had not reached when last refused */
	struct pos missing_pos;
	/* 0 after a statement that needed this position succeeded */
	clk_ms behind_pause;
	clk_ms behind_until;
	clk_ms leaving_since; /* 0 if it is not leaving */
};

struct db *db_new(struct ev_loop *loop, const struct settings *set);
void db_free(struct db *d);

/* Takes a new roster (list of backends). */
void db_update(struct db *d, const struct backend_info *list, size_t n);
size_t db_members(const struct db *d, struct db_member ***out);
struct db_member *db_find(const struct db *d, const char *id);

/* Runs the job on a member. Its done callback is called once, perhaps before
 * this function returns. */
void db_start(struct db_member *m, struct db_job *j, clk_ms now);

/* Runs the job on a connection that a transaction keeps. */
void db_continue(struct db_conn *c, struct db_job *j, clk_ms now);

/* Cancels a job; its done callback is not called. */
void db_cancel(struct db_job *j);

/* The first ends a kept transaction by a rollback, the second by closing the
 * connection. */
void db_roll_back_kept(struct db_conn *c);
void db_close_kept(struct db_conn *c);
struct db_member *db_member_of(const struct db_conn *c);

/* Sets the callback for a kept connection that fails while no job runs on
 * it. */
void db_on_lost(struct db_conn *c, void (*lost)(void *arg), void *arg);

/* True if statements wait for answers and nothing was received for
 * DB_SUSPECT_MS. */
bool db_is_unresponsive(const struct db_member *m, clk_ms now);

/* True if every recent statement failed, whatever the member reports of its
 * health. */
bool db_is_failing(const struct db_member *m, clk_ms now);

/* True if a replica recently had not reached this position or an earlier
 * one. */
bool db_is_behind(const struct db_member *m, struct pos need, clk_ms now);

/* Count the statements that run on the member. Statements that another proxy
 * runs for this one count, too: db_record_relayed_end() records their end with
 * the result; for canceled ones the plain end is called. */
void db_statement_started(struct db_member *m, clk_ms now);
void db_statement_ended(struct db_member *m);
void db_record_relayed_end(struct db_member *m, struct db_job *j,
			   const struct db_result *r, clk_ms now);

/* Count a job with the mark fallback, and count it no more. */
void db_begin_fallback(struct db_member *m, struct db_job *j);
void db_end_fallback(struct db_member *m, struct db_job *j);

void db_tick(struct db *d, clk_ms now);
size_t db_connections(const struct db *d);

/* Number of jobs that wait at this proxy for the member. */
size_t db_waiting(const struct db_member *m);

/* Number of statements that this proxy may have in progress at the member. */
int db_limit(const struct db_member *m, clk_ms now);

/* Connections to a member by their state. */
struct db_conn_counts {
	int opening;
	int idle;
	int busy;
	int in_txn;
	int tenants; /* number of tenants that have one */
};

struct db_conn_counts db_count_conns(const struct db_member *m);

#endif
