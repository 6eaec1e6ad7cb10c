#ifndef CANCEL_H
#define CANCEL_H

/*
 * Cancel requests to backend servers.
 *
 * libpq 15 sends the protocol's cancel request only with a blocking connect,
 * and keeps the secret key that it needs to itself. So a statement is canceled
 * by pg_cancel_backend() on a connection of its own, which the loop drives.
 * A backend has one such connection at a time, which is closed when nothing is
 * left to cancel. More than CANCEL_QUEUE waiting requests are dropped; the
 * connections of their statements are closed anyway.
 */

#include <ev.h>
#include <stdbool.h>

struct cancel;
struct settings;

enum {
	CANCEL_QUEUE = 64, /* waiting requests of one backend */
	CANCEL_MS = 1000 /* until the backend must have answered each */
};

/* Cancels for one backend; NULL while there are none. */
struct cancel_list {
	struct cancel *open;
};

/* Cancels what the server process pid runs; false if it was dropped. */
bool cancel_send(struct cancel_list *list, struct ev_loop *loop,
		 const struct settings *set, const char *addr,
		 const char *dbname, int pid);

/* Gives up those that wait. */
void cancel_stop(struct cancel_list *list);

#endif
