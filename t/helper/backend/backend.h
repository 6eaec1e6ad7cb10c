#ifndef BACKEND_H
#define BACKEND_H

/*
 * Stand-in for one member of a database group, for tests only.
 *
 * One process, one libev loop, one embedded SQLite database. Connections speak
 * PostgreSQL protocol 3; statements wait for the writer lock and for a slot
 * without blocking the loop. Replicas pull the primary's log over an ordinary
 * connection as user "replica".
 */

#include "buf.h"
#include "clock.h"
#include "cluster.h"
#include "pgwire.h"

#include <ev.h>
#include <sqlite3.h>

enum {
	MAX_MEMBERS = 16,
	MAX_ARGS = 8, /* arguments of a marjoramlatch_ function */
	ARG_LEN = 64,
	STATE_LEN = 6 /* SQLSTATE with the final zero */
};

enum role { ROLE_REPLICA, ROLE_PRIMARY };

struct options {
	char id[ID_LEN];
	char group[ID_LEN];
	char zone[ID_LEN];
	char listen[ADDR_LEN];
	char advertise[ADDR_LEN];
	char data[256];
	char password[64];
	char announce[512];
	char announce_password[64];
	int slots;
	int connections;
	int members;
	int connect_ms;
	int64_t cost_us;
	int ship_ms;
	int lag_ms;
};

/* What this member is and holds. store.c keeps it durable. */
struct member {
	enum role role;
	int64_t incarnation;
	int64_t fence;
	int64_t term; /* led or followed; 0 before the first */
	char primary[ADDR_LEN]; /* followed; empty for none */
	int64_t log_term; /* matched up to its start at least */
	int64_t held;
	int64_t held_term; /* term of the entry at held */
	int64_t applied;
	int64_t start; /* where the term that is led started */
};

struct backend {
	struct options opt;
	struct ev_loop *loop;
	struct member m;
	sqlite3 *db; /* for the log and for applying entries */
	bool stopping;
};

extern struct backend be;

/* An SQL error on its way to a client. */
struct sqlerr {
	char state[STATE_LEN];
	char text[320];
};

bool sql_fail(struct sqlerr *e, const char *state, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* ---- sqltext.c: statement texts ---- */

enum kind {
	K_EMPTY,
	K_SQL, /* run by SQLite */
	K_BEGIN,
	K_COMMIT,
	K_ROLLBACK,
	K_SAVEPOINT, /* SAVEPOINT, RELEASE, ROLLBACK TO */
	K_SET,
	K_SHOW,
	K_RESET, /* RESET, DISCARD, DEALLOCATE */
	K_CALL, /* a marjoramlatch_ function */
	K_REFUSED /* COPY and others that have no meaning here */
};

enum fn {
	FN_STATUS,
	FN_FENCE,
	FN_PROMOTE,
	FN_FOLLOW,
	FN_AWAIT,
	FN_CANCEL,
	FN_PULL
};

struct call {
	enum fn fn;
	int nargs;
	char args[MAX_ARGS][ARG_LEN]; /* "$1" for a parameter */
};

struct text {
	enum kind kind;
	char word[16]; /* first word in upper case */
	int64_t cost_us; /* from a comment; -1 if there is none */
	bool locks; /* SELECT ... FOR UPDATE */
	struct call call;
	char *sql; /* translated for SQLite; malloc'ed */
};

/* Length of the first statement of a text, with its semicolon. */
size_t text_split(const char *sql);
void text_parse(struct text *t, const char *sql, size_t len);
void text_free(struct text *t);
void text_tag(const struct text *t, int64_t rows, char *out, size_t len);

/* ---- store.c: SQLite and the durable state ---- */

void store_open(void);
void store_close(void);
void store_wipe(void);
void store_save_state(void);
sqlite3 *store_handle(void);
bool store_exec(sqlite3 *db, const char *sql);
void store_error(sqlite3 *db, struct sqlerr *e);

/* Adds a log entry inside the transaction open on db. */
bool store_append(sqlite3 *db, int64_t pos, int64_t term, const char *sql);

/* Stores an entry that a replica received. */
bool store_receive(int64_t pos, int64_t term, const char *sql);
bool store_set_log_term(int64_t term, int64_t start);

/* Applies held entries up to pos. */
bool store_apply(int64_t pos);

/* Term of a log entry; 0 for position 0, -1 if there is none. */
int64_t store_entry_term(int64_t pos);
void store_entries(int64_t after, int64_t upto,
		   void (*fn)(void *arg, int64_t pos, int64_t term,
			      const char *sql),
		   void *arg);

/* ---- sched.c: slots and the writer lock ---- */

struct wait {
	struct wait *next;
	bool queued;
	bool held;
	int64_t due_us;
	int64_t cost_us;
	void (*fn)(void *arg); /* lock: granted; slot: the cost has passed */
	void *arg;
};

void sched_init(void);
void slot_take(struct wait *w, int64_t cost_us);
void slot_drop(struct wait *w);
bool lock_take(struct wait *w); /* true if granted at once */
void lock_drop(struct wait *w);

/* ---- conn.c: connections ---- */

struct conn;

void conn_accept(void *arg, int fd);
void conn_close_all(void);
void conn_abort_writers(void);
bool conn_any_busy(void);

/* Cancels what the session with this process id runs; false if there is none.
 */
bool conn_cancel(int32_t pid);

/* ---- session.c: statements of one connection ---- */

struct session;

struct session *ses_new(struct conn *owner, struct buf *out);
void ses_free(struct session *s);
void ses_redirect(struct session *s, struct buf *out);

/* Each starts a step; the session is busy until it has ended. ses_step()
 * continues a step after conn_wake(). */
void ses_step(struct session *s);
void ses_simple(struct session *s, const char *sql);
void ses_message(struct session *s, const struct pgw_msg *m);
void ses_cancel(struct session *s);
bool ses_busy(const struct session *s);
bool ses_in_transaction(const struct session *s);

/* Rolls back a write transaction because the primary was replaced. */
void ses_abort_writer(struct session *s);

/* Called by the session when ses_step() has something to do or when it is not
 * busy any more. */
void conn_wake(struct conn *c);

/* ---- func.c: the marjoramlatch_ functions ---- */

enum fn_result { FN_DONE, FN_FAILED, FN_WAIT };

/* State of a function that waits. */
struct fn_wait {
	struct fn_wait *next;
	bool active;
	enum fn fn;
	int64_t pos; /* await: position; pull: held by the replica */
	clk_ms due; /* pull: when to answer anyway */
	void (*done)(void *arg, const struct sqlerr *e);
	void *arg;
};

int fn_columns(enum fn fn, const char *const **names);
enum fn_result fn_call(const struct call *call, int64_t seen, struct buf *out,
		       int64_t *rows, struct fn_wait *w, struct sqlerr *e);
int64_t fn_finish(struct fn_wait *w, struct buf *out);
void fn_cancel(struct fn_wait *w);

/* Looks at the functions that wait after a commit or an acknowledgement. */
void fn_progress(void);
void fn_init(void);

/* ---- repl.c: the log between members ---- */

void repl_init(void);

/* Primary. */
void repl_committed(void);
void repl_acknowledge(const char *id, int64_t held, int64_t log_term);
int64_t repl_shippable(void);
int64_t repl_majority_position(void);
clk_ms repl_majority_age(void);

/* Role changes; false with e set if refused. */
void repl_fence(int64_t term);
bool repl_promote(int64_t term, struct sqlerr *e);
bool repl_follow(int64_t term, const char *addr, struct sqlerr *e);
clk_ms repl_age(void);

/* ---- client.c: asynchronous libpq client ---- */

struct client;
typedef struct pg_result PGresult;

struct client_handler {
	void *arg;
	void (*on_up)(void *arg);
	void (*on_result)(void *arg, PGresult *r); /* freed by the client */
	void (*on_down)(void *arg, const char *reason);
};

/* on_down may come at any time but not from inside a call. */
struct client *client_open(const char *addr, const char *user,
			   const char *password, clk_ms timeout,
			   const struct client_handler *h);
void client_query(struct client *c, const char *sql);
bool client_idle(const struct client *c);
void client_free(struct client *c);

/* ---- announce.c ---- */

void announce_init(void);

/* Announces the leaving; announce_left() tells when that is done. */
void announce_leave(void);
bool announce_left(void);

#endif
