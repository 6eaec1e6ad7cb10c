#ifndef SESSION_H
#define SESSION_H

/* Statements, portals and the transaction of one connection. */

#include "backend.h"

enum { NAME_LEN = 64 };

struct pstmt {
	struct pstmt *next;
	char name[NAME_LEN];
	struct text t;
	sqlite3_stmt *st;
	int nparams;
};

struct portal {
	struct portal *next;
	char name[NAME_LEN];
	struct pstmt *ps;
	char **values; /* NULL entries are SQL nulls */
	int n;
};

enum ses_state {
	S_IDLE,
	S_LOCK, /* waits for the writer lock */
	S_SLOT, /* waits for a slot or holds one */
	S_CALL /* a function waits */
};

struct session {
	struct conn *owner;
	struct buf *out;
	sqlite3 *db;
	enum ses_state state;
	struct pstmt *stmts;
	struct portal *portals;

	bool in_block; /* after BEGIN */
	bool failed; /* an error inside the block */
	bool replaced; /* rolled back because the primary was replaced */
	bool writing; /* SQLite's transaction is open */
	bool savepoints;
	struct buf written; /* statements for the log */
	int64_t seen; /* log position after the last transaction */

	char *simple; /* text of a simple query; NULL outside one */
	size_t simple_off;
	struct pstmt *simple_stmt;
	bool simple_any;
	bool skip; /* until Sync */

	struct pstmt *cur;
	struct portal *cur_portal; /* NULL in a simple query */
	struct wait lock;
	struct wait slot;
	struct fn_wait call;
	ev_timer timeout;
	double timeout_s;
};

/* ---- prepared.c ---- */

struct pstmt *ps_new(struct session *s, const char *name, const char *sql,
		     size_t len, struct sqlerr *e);
void ps_free(struct pstmt *ps);
struct pstmt *ps_find(struct session *s, const char *name);
void ps_drop(struct session *s, const char *name);
void ps_drop_all(struct session *s);
void ps_describe(struct session *s, const struct pstmt *ps);
void ps_put_columns(struct session *s, const struct pstmt *ps);
struct portal *portal_find(struct session *s, const char *name);
void portal_drop(struct session *s, const char *name);
bool portal_bind(struct session *s, struct pgw_reader *r, struct sqlerr *e);

/* ---- query.c ---- */

/* Runs one statement; portal is NULL in a simple query. */
void ses_run(struct session *s, struct pstmt *ps, struct portal *portal);

/* Continues once the writer lock is held. */
void ses_start_slot(struct session *s);

/* The statement's cost has passed while it held a slot. */
void ses_cost_passed(void *arg);

/* The current statement or message has failed. */
void ses_failed(struct session *s, const struct sqlerr *e);
void ses_put_error(struct session *s, const struct sqlerr *e);
void ses_simple_end(struct session *s);

/* ---- txn.c ---- */

char txn_status(const struct session *s);
bool txn_check_primary(struct sqlerr *e);
bool txn_begin_write(struct session *s, struct sqlerr *e);
bool txn_commit(struct session *s, struct sqlerr *e);
void txn_rollback(struct session *s);

/* Ends what a failed statement leaves behind. */
void txn_failed(struct session *s);

#endif
