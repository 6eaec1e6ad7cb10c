#ifndef POOL_H
#define POOL_H

/*
 * A pool of libpq connections to one backend server.
 *
 * A connection is opened on demand, up to the pool's limit, and lent to one
 * user at a time. The user returns it with pool_release(). It is reused only if
 * the user calls it clean; one with an unanswered statement, an open
 * transaction or changed session state is closed, so that no other user meets
 * the leftovers.
 *
 * While a connection is lent, its user gets its I/O events through the handler
 * set with pool_set_io_handler(). Idle connections are watched by the pool
 * itself and closed after POOL_IDLE_TIMEOUT_MS without use.
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
	POOL_CONNECT_TIMEOUT_MS = 1000, /* time allowed to open a connection */
	POOL_IDLE_TIMEOUT_MS = 30000, /* longest time a connection stays idle */
	POOL_RETRY_DELAY_MS = 100 /* delay after a failed connection attempt */
};

/* A queued request for a connection. The caller owns the memory. */
struct pool_request {
	void *arg;
	/* Exactly one of the two callbacks is called. error is never NULL. */
	void (*on_conn)(void *arg, struct pool_conn *c);
	void (*on_fail)(void *arg, const char *error);
	struct pool_request *next;
	bool queued;
};

struct pool *pool_new(struct ev_loop *loop, const struct settings *set,
		      const char *addr, const char *dbname, int64_t limit);

/* Closes all connections, including those that are lent to a user. */
void pool_free(struct pool *p);

void pool_set_limit(struct pool *p, int64_t limit);

/*
 * Requests a connection; the callback may run before this function returns. If
 * an attempt to connect fails and no other connection is open or being opened,
 * all queued requests fail. The exception is a server that has no connection
 * slot left (SQLSTATE 53300): then they stay queued.
 */
void pool_acquire(struct pool *p, struct pool_request *w);

/* Removes a request from the queue; does nothing if it was answered already. */
void pool_withdraw_request(struct pool *p, struct pool_request *w);

/* Returns a connection to the pool, which closes it unless it is clean. */
void pool_release(struct pool_conn *c, bool clean);

/* Asks the backend to cancel the statement that runs on the connection. */
void pool_cancel(struct pool_conn *c);

/* Marks a connection to be closed when it is returned, even as clean. */
void pool_close_on_release(struct pool_conn *c);

/* Closes the idle connections that were opened before the given time. */
void pool_close_idle(struct pool *p, clk_ms opened_before);

/*
 * Sets the handler for I/O events of a lent connection. Also resets the libpq
 * notice receiver to one that ignores notices, until the user sets its own.
 */
void pool_set_io_handler(struct pool_conn *c,
			 void (*fn)(void *arg, int revents), void *arg);

/* Sets the events to watch for, a combination of EV_READ and EV_WRITE. */
void pool_watch(struct pool_conn *c, int events);

PGconn *pool_conn_pg(struct pool_conn *c);

int64_t pool_count_open(const struct pool *p);
int64_t pool_count_idle(const struct pool *p);

/*
 * Starts to connect with the password from the settings, outside any pool.
 * Returns NULL if addr is invalid or memory is short.
 */
PGconn *pool_start_connect(const struct settings *set, const char *addr,
			   const char *dbname);

#endif
