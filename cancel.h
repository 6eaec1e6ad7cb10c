#ifndef CANCEL_H
#define CANCEL_H

/*
 * Cancels statements that run on backend servers.
 *
 * libpq 15 sends the protocol's cancel request only over a blocking connect,
 * and does not expose the secret key that the request needs. A statement is
 * therefore canceled with pg_cancel_backend() over a separate connection, which
 * runs non-blocking on the event loop. Each backend has at most one such
 * connection, which is closed when no request is left. Requests beyond
 * CANCEL_QUEUE_MAX are dropped; this is harmless because the connections of
 * their statements are closed anyway.
 */

#include <ev.h>
#include <stdbool.h>

struct cancel_conn;
struct settings;

enum {
	CANCEL_QUEUE_MAX = 64, /* queued requests per backend */
	/* Time allowed to connect, and to answer each request. */
	CANCEL_TIMEOUT_MS = 1000
};

/* The cancel connection of one backend; NULL if none is open. */
struct cancel_sender {
	struct cancel_conn *conn;
};

/*
 * Cancels the statement of the server process pid. Returns false if the request
 * was dropped.
 */
bool cancel_send(struct cancel_sender *sender, struct ev_loop *loop,
		 const struct settings *set, const char *addr,
		 const char *dbname, int pid);

/* Drops all queued requests and closes the connection. */
void cancel_drop_all(struct cancel_sender *sender);

#endif
