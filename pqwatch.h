#ifndef PQWATCH_H
#define PQWATCH_H

/*
 * Watches the socket of a libpq connection on a libev loop.
 *
 * libpq closes its socket by itself when it finds the connection broken, also
 * while it sends. Starting a watcher on the missing descriptor would abort in
 * libev, so its callback is made to run once instead, where the next call to
 * libpq reports the failure.
 */

#include <ev.h>
#include <libpq-fe.h>

/* Sets the events to wait for; 0 stops the watcher. */
void pqw_watch(struct ev_loop *loop, ev_io *io, const PGconn *pg, int events);

#endif
