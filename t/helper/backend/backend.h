#ifndef BACKEND_H
#define BACKEND_H

/*
 * A database server for tests, which stands in for one member of a PostgreSQL
 * replication group.
 *
 * A member is one process with one libev loop and one embedded SQLite database.
 * Clients connect with PostgreSQL protocol 3. A statement that writes first
 * waits for the writer lock, because SQLite admits one writer at a time. Then
 * every SQL statement waits for one of a fixed number of slots and holds it for
 * the statement's simulated cost. Neither wait blocks the loop.
 *
 * The primary logs the SQL of each committed write transaction as one entry
 * with a position and a term. A term is the period in which one member is the
 * primary; the caller of marjoramlatch_promote() chooses it. Replicas poll the
 * primary for new entries by calling marjoramlatch_pull() on an ordinary
 * connection as user "replica", store the entries durably and apply them. A
 * member refuses terms below its fence, so a primary that was replaced stops
 * accepting writes.
 *
 * Prefixes: ses_ for the session of a connection (session.c, query.c), ps_ for
 * prepared statements, txn_ for transactions, fn_ for the marjoramlatch_ SQL
 * functions, and repl_ for replication.
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
	char announce[512]; /* addresses, separated by commas */
	char announce_password[64];
	int slots; /* statements that run at the same time */
	int connections; /* limit, without those of replicas */
	int members; /* in the group, this one included */
	int connect_ms; /* delay of each login */
	int64_t cost_us; /* time that a statement holds its slot */
	int ship_ms; /* delay before the primary hands out an entry */
	int lag_ms; /* delay before a replica applies an entry */
};

/* Role, terms and log positions of this member. store.c makes them durable. */
struct member {
	enum role role;
	int64_t incarnation;
	int64_t fence; /* lower terms are refused */
	int64_t term; /* in which it is primary or follows one; 0 for none */
	char primary[ADDR_LEN]; /* that it follows; empty for none */
	int64_t log_term; /* newest whose start position the log has reached */
	int64_t last_pos; /* position of the last log entry */
	int64_t last_term; /* term of that entry */
	int64_t applied_pos; /* position of the last applied entry */
	int64_t term_start; /* last position before log_term began */
};

struct backend {
	struct options opt;
	struct ev_loop *loop;
	struct member m;
	sqlite3 *db; /* for the log and for applying entries */
	bool stopping;
};

extern struct backend be;

/* An SQL error to be sent to a client. */
struct sqlerr {
	char state[STATE_LEN];
	char text[320];
};

/* Fills in e; always returns false. */
bool sql_fail(struct sqlerr *e, const char *state, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));

/* ---- sqltext.c: classifies statements and translates them for SQLite ---- */

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
	K_UNSUPPORTED /* not supported, such as COPY and VACUUM */
};

/* The marjoramlatch_ functions and pg_cancel_backend(). */
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
	int64_t cost_us; /* from "cost_us=" in the text; -1 if absent */
	bool locks; /* SELECT ... FOR UPDATE */
	struct call call;
	char *sql; /* translated for SQLite; malloc'ed */
};

/* Length of the first statement of a text, with its semicolon. */
size_t text_split(const char *sql);
void text_parse(struct text *t, const char *sql, size_t len);
void text_free(struct text *t);

/* Writes the tag of CommandComplete. */
void text_tag(const struct text *t, int64_t rows, char *out, size_t len);

/* ---- store.c: SQLite and the durable state ---- */

void store_open(void);
void store_close(void);

/* Deletes the data and the log and starts a new incarnation. */
void store_wipe(void);
void store_save_state(void);

/* Opens another connection to the database. */
sqlite3 *store_handle(void);
bool store_exec(sqlite3 *db, const char *sql);
void store_error(sqlite3 *db, struct sqlerr *e);

/* Adds a log entry inside the transaction open on db. */
bool store_append(sqlite3 *db, int64_t pos, int64_t term, const char *sql);

/* Stores an entry that a replica received. */
bool store_receive(int64_t pos, int64_t term, const char *sql);

/* Records that the log has reached the start of a term. */
bool store_set_log_term(int64_t term, int64_t start);

/* Applies stored entries up to pos. */
bool store_apply(int64_t pos);

/* Term of a log entry; 0 for position 0, -1 if there is none. */
int64_t store_entry_term(int64_t pos);
void store_entries(int64_t after, int64_t upto,
		   void (*fn)(void *arg, int64_t pos, int64_t term,
			      const char *sql),
		   void *arg);

/* ---- sched.c: slots and the writer lock ---- */

/* A request for a slot or for the writer lock. */
struct wait {
	struct wait *next;
	bool queued;
	bool held;
	int64_t due_us; /* slot: when the cost has passed */
	int64_t cost_us;
	/* Lock: called when it is granted after a wait. Slot: called when the
	 * cost has passed and the slot has been released. */
	void (*fn)(void *arg);
	void *arg;
};

void sched_init(void);
void slot_acquire(struct wait *w, int64_t cost_us);
void slot_release(struct wait *w);
bool lock_acquire(struct wait *w); /* true if granted at once */
void lock_release(struct wait *w);

/* ---- conn.c: connections ---- */

struct conn;

void conn_accept(void *arg, int fd);
void conn_close_all(void);
void conn_abort_writers(void);
bool conn_any_busy(void);

/* Cancels the statement of the session with this process id; false if there is
 * no such session. */
bool conn_cancel(int32_t pid);

/* ---- session.c: statements of one connection ---- */

struct session;

struct session *ses_new(struct conn *conn, struct buf *out);
void ses_free(struct session *s);

/* Sends further output to another buffer. */
void ses_set_output(struct session *s, struct buf *out);

/* ses_simple() starts a simple query, and ses_message() handles a message of
 * the extended protocol. Both may return before the statement has ended; until
 * then the session is busy, and ses_step() continues it after conn_wake(). */
void ses_step(struct session *s);
void ses_simple(struct session *s, const char *sql);
void ses_message(struct session *s, const struct pgw_msg *m);
void ses_cancel(struct session *s);
bool ses_busy(const struct session *s);
bool ses_in_transaction(const struct session *s);

/* Rolls back a write transaction because the primary was replaced. */
void ses_abort_writer(struct session *s);

/* The session calls this when ses_step() can continue or when the session is
 * no longer busy. The connection runs soon after, from the event loop. */
void conn_wake(struct conn *c);

/* ---- func.c: the marjoramlatch_ functions ---- */

enum fn_result { FN_DONE, FN_FAILED, FN_WAIT };

/* A function call that waits before it answers. */
struct fn_wait {
	struct fn_wait *next;
	bool active;
	enum fn fn;
	/* await: position that a majority must store; pull: position of the
	 * last entry that the replica has */
	int64_t pos;
	clk_ms due; /* pull: when to answer even without new entries */
	void (*done)(void *arg, const struct sqlerr *e);
	void *arg;
};

int fn_columns(enum fn fn, const char *const **names);

/* commit_pos is the position that await waits for. After FN_WAIT, w->done is
 * called when the function is ready; then fn_finish() writes the rows and
 * returns their number. */
enum fn_result fn_call(const struct call *call, int64_t commit_pos,
		       struct buf *out, int64_t *rows, struct fn_wait *w,
		       struct sqlerr *e);
int64_t fn_finish(struct fn_wait *w, struct buf *out);
void fn_cancel(struct fn_wait *w);

/* Completes the waiting functions that have become ready, for example after a
 * commit or an acknowledgement. */
void fn_complete_ready(void);
void fn_init(void);

/* ---- repl.c: replication of the log between members ---- */

void repl_init(void);

/* On the primary. */
void repl_committed(void);
void repl_acknowledge(const char *id, int64_t last_pos, int64_t log_term);

/* Last position that replicas may receive (see ship_ms). */
int64_t repl_visible_position(void);

/* Last position that a majority of the group has stored durably. */
int64_t repl_majority_position(void);

/* Time since a majority of the group was last in contact; -1 on a replica. */
clk_ms repl_majority_age(void);

/* Role changes; false with e set if refused. */
void repl_fence(int64_t term);
bool repl_promote(int64_t term, struct sqlerr *e);
bool repl_follow(int64_t term, const char *addr, struct sqlerr *e);

/* Staleness of the applied data; 0 on the primary, -1 if it is not known. */
clk_ms repl_data_age(void);

/* ---- client.c: asynchronous libpq client ---- */

struct client;
typedef struct pg_result PGresult;

struct client_handler {
	void *arg;
	void (*on_up)(void *arg);
	void (*on_result)(void *arg, PGresult *r); /* freed by the client */
	void (*on_down)(void *arg, const char *reason);
};

/* on_down is called at most once, and never from inside client_open() or
 * client_query(). It is called for a timeout of the connection or of a query,
 * too. */
struct client *client_open(const char *addr, const char *user,
			   const char *password, clk_ms timeout,
			   const struct client_handler *h);
void client_query(struct client *c, const char *sql);
bool client_idle(const struct client *c);
void client_free(struct client *c);

/* ---- announce.c: announces this member to the entry instances ---- */

void announce_init(void);

/* Announces that this member leaves the group; announce_left() tells whether
 * that was answered, or whether there is nobody to tell. */
void announce_leave(void);
bool announce_left(void);

#endif
