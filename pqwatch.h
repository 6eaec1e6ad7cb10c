#ifndef PQWATCH_H
#define PQWATCH_H

/*
 * Watches the socket of a libpq connection (pqw_) on a libev loop.
 *
 * libpq closes its socket by itself when it finds the connection broken, even
 * while sending. libev aborts when a watcher is started on a missing
 * descriptor. In that case the watcher's callback is scheduled once instead,
 * and its next call to libpq reports the failure.
 */

#include <ev.h>
#include <libpq-fe.h>

/* Sets the events to watch for; 0 stops the watcher. */
void pqw_watch(struct ev_loop *loop, ev_io *io, const PGconn *pg, int events);

#endif
