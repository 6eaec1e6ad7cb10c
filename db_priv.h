#ifndef DB_PRIV_H
#define DB_PRIV_H

/* Shared by db.c (members, queues) and db_conn.c (one connection). */

#include "db.h"
#include "net.h"

enum db_phase {
	DB_CONNECTING,
	DB_IDLE,
	DB_PREPARING, /* values, prepared statements, BEGIN were sent */
	DB_RUNNING, /* the statement was sent */
	DB_ENDING, /* a rollback was sent, nobody waits */
	DB_KEPT /* in a transaction, between two statements */
};

struct db_conn {
	struct db_member *member;
	struct net_conn *net;
	enum db_phase phase;
	struct db_job *job; /* NULL if it was given up */
	int expected; /* READY messages until the phase is over */
	char txn;
	struct pos pos;
	struct buf answer;
	bool failed; /* an error came in this phase */
	enum line_error error;
	char code[32];
	char text[160];
	bool rollback; /* the job's; kept for when the job is given up */
	clk_ms since; /* of the phase */
	clk_ms sent_at;
	uint64_t values; /* hash of the session values held */
	uint64_t *prepared; /* keys */
	size_t nprepared;
	void (*lost)(void *arg);
	void *lost_arg;
};

struct db {
	struct ev_loop *loop;
	struct db_member **members;
	size_t nmembers;
};

/* db_conn.c */
struct db_conn *db_open(struct db_member *m, clk_ms now);
void db_run(struct db_conn *c, struct db_job *j, clk_ms now);
void db_conn_free(struct db_conn *c);
void db_conn_tick(struct db_conn *c, clk_ms now);

/* db.c */
int db_own(const struct db_member *m); /* connections, at least one */
void db_next(struct db_member *m, clk_ms now);

/* Whether one more statement may run there. Those of transactions always may:
 * one holds up others as long as it waits. */
bool db_may_run(const struct db_member *m, clk_ms now);
void db_forget_conn(struct db_conn *c);
void db_failed(struct db_member *m, clk_ms now);
void db_heard(struct db_member *m, clk_ms now);
void db_learn_time(struct db_member *m, clk_ms ms);
void db_end_job(struct db_job *j, struct db_result *r);

#endif
