#ifndef CALLER_H
#define CALLER_H

/*
 * Connections of callers, in PostgreSQL protocol 3.
 *
 * A caller has one request in flight; what it sends meanwhile stays in its
 * input buffer, whose reading is paused when it grows. So answers are always
 * in order. Prepared statements and portals are kept here as text, because
 * each execution may run on another connection. An explicit transaction pins
 * a connection until it ends; a statement that changes the session's state
 * pins it until the caller leaves.
 *
 * An idle caller owns no buffers: its cost is struct caller, its socket's
 * struct net_conn, its session token and its prepared statements.
 */

#include <stddef.h>
#include <stdint.h>

struct adm;
struct callers;
struct ev_loop;
struct req_engine;
struct settings;
struct view;

struct callers_config {
	struct ev_loop *loop;
	const struct settings *set;
	struct view *view;
	struct req_engine *req;
	struct adm *adm; /* may be NULL: no admin database */
};

struct callers *callers_new(const struct callers_config *cfg);
void callers_free(struct callers *all);

/* For net_listen(): arg is the struct callers. */
void callers_accept(void *arg, int fd);

/* Closes idle callers with 57P01, the others once they are idle. */
void callers_stop(struct callers *all);

size_t callers_count(const struct callers *all);

/* Callers with a request in flight or an open transaction. */
size_t callers_busy(const struct callers *all);

#endif
