#ifndef CANCEL_H
#define CANCEL_H

/*
 * Cancel requests to backend servers.
 *
 * libpq 15 sends the protocol's cancel request only with a blocking connect,
 * and keeps the secret key that it needs to itself. So a statement is canceled
 * by pg_cancel_backend() on a connection of its own, which the loop drives.
 * At most CANCEL_MAX run at a time for a backend; further ones are dropped,
 * since the connection of the statement is closed anyway.
 */

#include <ev.h>
#include <stdbool.h>

struct cancel;
struct settings;

enum {
	CANCEL_MAX = 2, /* connections kept free for it, see exec_backend.c */
	CANCEL_MS = 1000 /* until the backend must have answered */
};

/* Cancels that run on one backend. */
struct cancel_list {
	struct cancel *first;
	int n;
};

/* Cancels what the server process pid runs; false if it was dropped. */
bool cancel_send(struct cancel_list *list, struct ev_loop *loop,
		 const struct settings *set, const char *addr,
		 const char *dbname, int pid);

/* Gives up those that run. */
void cancel_stop(struct cancel_list *list);

#endif
