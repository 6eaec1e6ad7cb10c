#ifndef CANCEL_H
#define CANCEL_H

/*
 * Cancel requests to backend servers.
 *
 * libpq 15 can only send a cancel request with a blocking connect, and keeps
 * the secret key to itself. A short-lived thread therefore runs PQcancel(),
 * which is safe to call from one; it shares nothing with the loop. At most
 * CANCEL_MAX run at a time, since an unreachable server holds its thread until
 * the connect times out; further requests are dropped.
 */

#include <libpq-fe.h>
#include <stdbool.h>

enum { CANCEL_MAX = 16 };

/* Returns false if the request was dropped. */
bool cancel_send(PGconn *pg);

#endif
