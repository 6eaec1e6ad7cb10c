#ifndef SESSION_H
#define SESSION_H

/*
 * The session of one connection: its prepared statements, portals, transaction
 * and the statement that runs. Used by session.c (protocol messages),
 * prepared.c (statements and portals), query.c (execution) and txn.c only.
 */

#include "backend.h"

enum { NAME_LEN = 64 };

/* A prepared statement; the name is empty for the unnamed one. */
struct pstmt {
	struct pstmt *next;
	char name[NAME_LEN];
	struct text t;
	sqlite3_stmt *st; /* NULL unless SQLite runs it */
	int nparams;
};

/* A prepared statement with bound parameters. */
struct portal {
	struct portal *next;
	char name[NAME_LEN];
	struct pstmt *ps;
	char **values; /* NULL entries are SQL nulls */
	int n;
};

enum ses_state {
	S_IDLE,
	S_LOCK, /* a statement waits for the writer lock */
	S_SLOT, /* a statement waits for a slot or holds one */
	S_CALL /* a marjoramlatch_ function runs or waits */
};

struct session {
	struct conn *conn;
	struct buf *out;
	sqlite3 *db;
	enum ses_state state;
	struct pstmt *stmts;
	struct portal *portals;

	bool in_block; /* after BEGIN */
	bool failed; /* an error inside the block */
	bool primary_replaced; /* and the transaction was rolled back */
	bool write_txn_open; /* a write transaction is open in SQLite */
	bool savepoints; /* a savepoint statement ran in the block */
	struct buf entry_sql; /* SQL of the transaction, for its log entry */
	int64_t commit_pos; /* log position after the last transaction */

	char *simple_sql; /* text of a simple query; NULL outside one */
	size_t simple_offset;
	struct pstmt *simple_stmt;
	bool simple_has_statement; /* one that is not empty */
	bool skip_until_sync; /* ignore messages until Sync, after an error */

	struct pstmt *cur_stmt; /* statement that runs */
	struct portal *cur_portal; /* NULL in a simple query */
	struct wait lock;
	struct wait slot;
	struct fn_wait call;
	ev_timer timeout;
	double statement_timeout_s; /* statement_timeout; 0 for none */
};

/* ---- prepared.c ---- */

struct pstmt *ps_new(struct session *s, const char *name, const char *sql,
		     size_t len, struct sqlerr *e);
void ps_free(struct pstmt *ps);
struct pstmt *ps_find(struct session *s, const char *name);
void ps_close(struct session *s, const char *name);
void ps_close_all(struct session *s);
void ps_describe(struct session *s, const struct pstmt *ps);
void ps_put_row_description(struct session *s, const struct pstmt *ps);
struct portal *portal_find(struct session *s, const char *name);
void portal_close(struct session *s, const char *name);
bool portal_bind(struct session *s, struct pgw_reader *r, struct sqlerr *e);

/* ---- query.c ---- */

/* Runs one statement; portal is NULL in a simple query. */
void ses_run(struct session *s, struct pstmt *ps, struct portal *portal);

/* Queues the current statement for a slot. The writer lock must be held if the
 * statement needs it. */
void ses_start_slot(struct session *s);

/* Executes the current statement, after its cost has passed in a slot. */
void ses_cost_passed(void *arg);

/* Ends the current statement or message with an error. */
void ses_failed(struct session *s, const struct sqlerr *e);
void ses_put_error(struct session *s, const struct sqlerr *e);
void ses_simple_end(struct session *s);

/* ---- txn.c ---- */

char txn_status(const struct session *s);
bool txn_check_primary(struct sqlerr *e);
bool txn_begin_write(struct session *s, struct sqlerr *e);
bool txn_commit(struct session *s, struct sqlerr *e);
void txn_rollback(struct session *s);

/* Updates the transaction after a failed statement. A block with savepoints is
 * only marked as failed, so that ROLLBACK TO can continue it; otherwise the
 * transaction is rolled back. */
void txn_failed(struct session *s);

#endif
