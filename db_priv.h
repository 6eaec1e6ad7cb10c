#ifndef DB_PRIV_H
#define DB_PRIV_H

/* Shared by db.c (members, their load and failures), db_queue.c (jobs that
 * wait), db_conn.c (one connection) and db_tenant.c (connections that belong to
 * tenants). */

#include "db.h"
#include "net.h"

enum db_phase {
	DB_CONNECTING,
	DB_IDLE,
	DB_PREPARING, /* values, prepared statements, BEGIN were sent */
	DB_RUNNING, /* the statement was sent */
	DB_ENDING, /* a rollback was sent; no job waits for it */
	DB_KEPT /* kept by a transaction, between two statements */
};

/*
 * The session values and prepared statements that a connection has, as far as
 * the backend's answers have confirmed them. After any other outcome they are
 * unknown, and a RESET precedes whatever is sent next.
 */
struct db_context {
	bool known;
	/* They were changed in the open transaction, so a rollback may take
	 * that back. */
	bool changed_in_txn;
	uint64_t values_hash; /* 0 if it has no values */
	uint64_t *prepared_keys; /* content hashes */
	size_t nprepared;

	/* What it will have once these answers have come without an error: */
	int answers_expected;
	uint64_t next_values_hash;
	bool next_is_prepared; /* also next_prepared_key */
	uint64_t next_prepared_key;
};

struct db_conn {
	struct db_member *member;
	char tenant[ID_LEN]; /* as in struct db_job; never changes */
	bool used; /* it has run a statement */
	struct net_conn *net;
	enum db_phase phase;
	struct db_job *job; /* NULL if it was canceled */
	int ready_expected; /* READY messages to come until the phase is over */
	char txn;
	struct pos pos;
	struct buf answer;
	bool failed; /* an error was received in this phase */
	enum line_error error;
	char code[32];
	char text[160];
	/* copy of the job's flag, needed after the job is canceled */
	bool rollback;
	clk_ms phase_since; /* start of the phase */
	clk_ms sent_at;
	int64_t priority; /* of the statement, also after its job was canceled
			   */
	struct db_context context;
	void (*on_lost)(void *arg);
	void *lost_arg;
};

struct db {
	struct ev_loop *loop;
	const struct settings *set;
	struct rng *rng;
	struct db_member **members;
	size_t nmembers;
};

/* db_conn.c */
struct db_conn *db_open(struct db_member *m, const char *tenant, clk_ms now);
void db_run(struct db_conn *c, struct db_job *j, clk_ms now);
void db_conn_free(struct db_conn *c);
void db_conn_tick(struct db_conn *c, clk_ms now);
void db_log_without_lease(const struct db_member *m, const struct db_job *j,
			  clk_ms now);

/* db.c */
/* this proxy's share of connections, at least one */
int db_own_connections(const struct db_member *m);

/* db_queue.c */
void db_dispatch(struct db_member *m, clk_ms now);

/* The job to run next in the round that jobq_start_round() began; NULL if there
 * is none. */
struct db_job *db_next_job(struct db_member *m, clk_ms now);

/* Takes the job out of the queue and runs it, or refuses it if the lease is
 * missing that it needs. */
void db_run_queued(struct db_conn *c, struct db_job *j, clk_ms now);
void db_refuse_queued(struct db_job *j, clk_ms now);

/* Fails all waiting jobs; their sessions can start them elsewhere. */
void db_fail_queue(struct db_member *m, struct db_result r, clk_ms now);

/* Learns the service time from the answer to a statement that the member ran;
 * j is NULL if it was canceled. */
void db_learn(const struct db_conn *c, const struct db_job *j, clk_ms now);

/* Refuses the jobs that became late, and logs when refusals are over. */
void db_queue_tick(struct db_member *m, clk_ms now);

/* db.c */

/* True if one more statement may run on the member. Statements of open
 * transactions are never held back, because a waiting transaction blocks
 * others. */
bool db_may_run(const struct db_member *m, clk_ms now);
/* False if the job may not be sent, for want of a lease. */
bool db_has_lease(const struct db_member *m, const struct db_job *j,
		  clk_ms now);
void db_forget_conn(struct db_conn *c);
void db_connect_failed(struct db_member *m, clk_ms now);
void db_note_received(struct db_member *m, clk_ms now);
void db_record_response_time(struct db_member *m, clk_ms ms);
void db_end_job(struct db_job *j, struct db_result *r);

/* db_tenant.c: the same as in db.c where connections belong to tenants. */
bool db_uses_tenants(const struct db_member *m);
void db_dispatch_tenants(struct db_member *m, clk_ms now);

/* Closes connections beyond this proxy's share that were idle for
 * DB_EXTRA_IDLE_MS, the least useful first. */
void db_close_extra(struct db_member *m, clk_ms now);

#endif
