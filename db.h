#ifndef DB_H
#define DB_H

/*
 * Connections to backend servers that speak the line protocol, and the jobs
 * that run on them.
 *
 * A job is one statement of a session. It is started on a member of a group;
 * there it takes an idle connection, waits for one, or has one opened. The
 * connection is first given the session's values and prepared statements and
 * begins a transaction if the job asks for it; the statement is sent only
 * after all that succeeded. The answer is collected whole.
 *
 * A connection whose job was given up is used again only after its answers
 * came in, and is closed if they do not.
 */

#include "buf.h"
#include "clock.h"
#include "cluster.h"
#include "fresh.h"
#include "platform/line.h"
#include "sctx.h"

enum {
	DB_CONNECT_MS = 600, /* to connect and be admitted; opening takes a
			      * slot for some ms, which may be queued for */
	DB_ABANDONED_MS = 3000, /* for the answer of a job that was given up */
	DB_SUSPECT_MS = 500, /* as settings suspect_ms: nothing was heard */
	/* A member is failing after as many statements in a row without
	 * success, over DB_SUSPECT_MS or longer; one that is lost now and then
	 * is followed by others that succeed. */
	DB_FAILURES = 3,
	DB_FAILING_MS =
		2000, /* a row that has ended for longer tells nothing */
	DB_ASIDE_MS = 300, /* between two tries of a failing member; as
			    * DB_BACKOFF_MAX_MS */
	DB_IDLE_MS = 45000, /* backends close idle connections after 60 s */
	DB_KEEP = 1, /* idle connections kept for so long; others go after
		      * DB_SPARE_IDLE_MS, since those of a proxy that lost
		      * power fill their places for 3 s */
	DB_SPARE_IDLE_MS = 1000,
	/* Idle time of a connection where the share is one; it shrinks and
	 * grows with the share. With 64 proxies before a primary of 49
	 * connections that each use it 1.3 times a second, 40 hold one. */
	DB_TURN_MS = 1000,
	DB_PATIENCE_MS = 10, /* a job waits for a busy connection; opening one
			      * takes as long */
	DB_EXTRA = 2, /* connections beyond the own share */
	DB_EXTRA_IDLE_MS = 1000, /* until such a one is closed */
	DB_LEAVING_IDLE_MS = 1000, /* the same for one that leaves */
	DB_LEAVING_MS = 5000, /* a primary that leaves gets work for as long:
			       * brief of the users, 7 s at most */
	DB_BACKOFF_MS = 100, /* after a failed connection, doubled each time */
	DB_BACKOFF_MAX_MS = 300,
	DB_FULL_MS = 250, /* pause after a refused connection; others close
			   * their extra ones after DB_EXTRA_IDLE_MS */
	DB_TURN_FULL_MS = 60, /* the same where proxies take turns */
	DB_BUSY_MS = 20, /* pause after a full queue */
	/* Statements a slot that all proxies give a member at most, so that
	 * what waits does so here, in its order. With one, a slot is free while
	 * its next statement is on the way; with three, most waits there. */
	DB_LOAD = 2,
	/* Where that is less than one for each proxy, it holds only for a
	 * member that is pressed: for as long after it refused for want of a
	 * slot, or while answers take DB_PRESSED_TIMES as long as when it is
	 * quiet. */
	DB_PRESSED_MS = 500,
	DB_PRESSED_TIMES = 3,
	DB_BEHIND_MS = 20, /* pause after a replica lacked a position, for
			    * reads that need as much; doubled each time */
	DB_BEHIND_MAX_MS = 160, /* one that has caught up waits for as long */
	DB_USER_TIMEOUT_MS = 1500 /* unacknowledged data, TCP_USER_TIMEOUT */
};

struct db;
struct db_conn;
struct db_job;
struct relay_job;
struct relay_pin;
struct db_member;
struct ev_loop;

enum db_status {
	DB_DONE, /* the statement succeeded */
	DB_REFUSED, /* the backend returned an error */
	DB_LOST /* the connection failed or was never made */
};

struct db_result {
	enum db_status status;
	bool sent; /* the statement itself was sent */
	enum line_error error; /* REFUSED */
	struct span code; /* REFUSED: as the backend sent it */
	struct span text;
	struct span answer; /* DONE: rows and completion for the caller */
	struct pos pos;
	clk_ms sent_at; /* when the statement was sent */
	char txn; /* state of the connection's transaction */
	struct db_conn *conn; /* in a transaction: kept for its session */
	struct relay_pin *pin; /* the same where another proxy ran it */
};

struct db_job {
	/* Filled in by the user before db_start(). */
	const struct sctx *ctx;
	struct span id;
	struct span text;
	const struct sctx_prepared *prepared; /* EXECUTE, else NULL */
	struct span arguments; /* EXECUTE */
	bool begin; /* open a transaction first */
	bool begin_read; /* as a read-only one */
	bool rollback; /* end it right after the statement */
	struct pos wait; /* position that the log must hold */
	int64_t priority; /* 0 first */
	clk_ms objective_ms; /* latency objective; 0 for none */
	void (*done)(struct db_job *j, const struct db_result *r);
	void *arg;

	/* Of the module. */
	struct db_member *member;
	struct db_conn *conn;
	struct db_job *next; /* in the queue of the member */
	clk_ms queued; /* when */
	clk_ms started; /* when it got its connection */
	bool sent; /* the statement itself was sent */
	struct relay_job *relay; /* runs by another proxy, see relay.h */
};

struct db_member {
	struct db *db;
	struct backend_info info;
	bool known; /* in the roster */
	/* Set by the user: connections that are this proxy's own, in
	 * hundredths. Up to DB_EXTRA more are opened under load and soon closed
	 * again. With less than two, proxies take turns. */
	int share;
	int users; /* proxies that use it, this one included */
	struct db_conn **conns;
	int nconns;
	int opening;
	int running;
	struct db_job *queue;
	int nqueue;
	double response_ms; /* moving average */
	double quiet_ms; /* the same when little waits there */
	clk_ms pressed_until;
	struct pos pos; /* newest seen */
	clk_ms heard;
	clk_ms waiting_since; /* oldest unanswered statement; 0 for none */
	bool down; /* the last connection failed and nothing came since */
	int failures; /* statements in a row without success */
	clk_ms failed_first; /* when the first of them ended, and the last */
	clk_ms failed_last;
	clk_ms fail_until;
	clk_ms backoff;
	bool full; /* the last connection was refused for their number */
	clk_ms full_until;
	clk_ms busy_until;
	struct pos behind; /* position that it lacked last */
	clk_ms behind_pause; /* 0 after a success with that position */
	clk_ms behind_until;
	clk_ms leaving_since; /* 0 if it does not leave */
};

struct db *db_new(struct ev_loop *loop);
void db_free(struct db *d);

/* The roster changed. */
void db_update(struct db *d, const struct backend_info *list, size_t n);
size_t db_members(const struct db *d, struct db_member ***out);
struct db_member *db_find(const struct db *d, const char *id);

/* Runs the job on a member; done is called once, perhaps at once. */
void db_start(struct db_member *m, struct db_job *j, clk_ms now);

/* Runs it on a connection that a transaction keeps. */
void db_continue(struct db_conn *c, struct db_job *j, clk_ms now);

/* Gives a job up; done is not called. */
void db_cancel(struct db_job *j);

/* Ends a kept transaction by a rollback, or by closing the connection. */
void db_release(struct db_conn *c);
void db_close(struct db_conn *c);
struct db_member *db_member_of(const struct db_conn *c);

/* Tells of a kept connection that failed while no job ran on it. */
void db_on_lost(struct db_conn *c, void (*lost)(void *arg), void *arg);

/* True if statements wait there and nothing has been heard for a while. */
bool db_is_silent(const struct db_member *m, clk_ms now);

/* True if every statement fails there, whatever it says of itself. */
bool db_is_failing(const struct db_member *m, clk_ms now);

/* True if a replica lacked such a position a moment ago. */
bool db_is_behind(const struct db_member *m, struct pos need, clk_ms now);

/* A statement began or ended to run on the member. Those that another proxy
 * runs for this one count, too: their end is noted with its result, but for
 * those that are given up. */
void db_began(struct db_member *m, clk_ms now);
void db_ended(struct db_member *m);
void db_note_end(struct db_member *m, const struct db_job *j,
		 const struct db_result *r, clk_ms now);

void db_tick(struct db *d, clk_ms now);
size_t db_connections(const struct db *d);

#endif
