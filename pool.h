#ifndef POOL_H
#define POOL_H

/*
 * Connections to one backend server.
 *
 * A connection is opened on demand, up to the pool's limit, and handed out to
 * one user at a time. The user gives it back as clean, or it is closed: one
 * with an unanswered statement, an open transaction or changed session state
 * is never handed out again.
 *
 * While a connection is handed out, its user gets its I/O events by
 * pool_on_io(). Idle connections are watched by the pool; those above need
 * are closed after POOL_IDLE_MS.
 */

#include "clock.h"
#include "cluster.h"

#include <ev.h>
#include <libpq-fe.h>
#include <stdbool.h>

struct pool;
struct pool_conn;
struct settings;

enum {
	POOL_CONNECT_MS = 1000, /* until a connection must be open */
	POOL_IDLE_MS = 30000, /* an idle connection is kept at most */
	POOL_RETRY_MS = 100 /* pause after a failed connection attempt */
};

/* A pending wish for a connection. Lives in the user's memory. */
struct pool_want {
	void *arg;
	/* Exactly one of them is called. error is never NULL. */
	void (*on_conn)(void *arg, struct pool_conn *c);
	void (*on_fail)(void *arg, const char *error);
	struct pool_want *next;
	bool queued;
};

struct pool *pool_new(struct ev_loop *loop, const struct settings *set,
		      const char *addr, const char *dbname, int64_t limit);

/* Closes all connections, also those handed out. */
void pool_free(struct pool *p);

void pool_set_limit(struct pool *p, int64_t limit);

/*
 * Asks for a connection; the answer may come at once. Wishes fail when an
 * attempt to connect fails and no other connection is open or being opened,
 * unless the server only had no connection left (SQLSTATE 53300).
 */
void pool_acquire(struct pool *p, struct pool_want *w);

/* Takes back a wish that was not yet answered. */
void pool_forget(struct pool *p, struct pool_want *w);

/* Gives back a connection; it is closed unless clean. */
void pool_release(struct pool_conn *c, bool clean);

/* Asks the backend to cancel what the connection runs. */
void pool_cancel(struct pool_conn *c);

/* Lets a connection be closed when it is given back. */
void pool_taint(struct pool_conn *c);

/* Closes idle connections opened before a time. */
void pool_drop_idle(struct pool *p, clk_ms opened_before);

/* Sets the receiver of I/O events of a connection that is handed out; notices
 * are ignored from then on, until its user sets a receiver. */
void pool_on_io(struct pool_conn *c, void (*fn)(void *arg, int revents),
		void *arg);

/* Sets the events that are watched, EV_READ and EV_WRITE. */
void pool_watch(struct pool_conn *c, int events);

PGconn *pool_pg(struct pool_conn *c);

int64_t pool_open(const struct pool *p);
int64_t pool_idle(const struct pool *p);

/* Starts a connection with the settings' password, or NULL. */
PGconn *pool_connect(const struct settings *set, const char *addr,
		     const char *dbname);

#endif
