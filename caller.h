#ifndef CALLER_H
#define CALLER_H

/*
 * Client connections of the proxy, in PostgreSQL protocol 3.
 *
 * A caller is a client that is connected to this proxy: a customer's program,
 * or a user of the admin database. Settings and metrics use the same word
 * (max_callers, callers_accepted).
 *
 * A caller has at most one request in flight. Messages that arrive meanwhile
 * stay in its input buffer, and reading from the socket pauses once that
 * buffer exceeds a limit. So responses are always sent in the order of the
 * requests. Prepared statements and portals are stored in the proxy (the
 * statement's text and the bound parameters), because each execution may run
 * on another backend connection. An explicit transaction pins a backend
 * connection, that is, reserves it for this caller, until the transaction
 * ends. A statement that changes the session's state on the backend pins the
 * connection until the caller disconnects.
 *
 * An idle caller holds no buffers. Its memory consists of struct caller, its
 * socket's struct net_conn, its session token and its prepared statements.
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
	struct req_engine *request_engine;
	struct adm *admin_database; /* NULL if there is no admin database */
};

struct callers *callers_new(const struct callers_config *cfg);
void callers_free(struct callers *callers);

/* Callback for net_listen(); arg is the struct callers. */
void callers_accept(void *arg, int fd);

/* Starts a graceful stop: closes idle callers with SQLSTATE 57P01 now, and the
 * others when their request or transaction has ended. */
void callers_start_stop(struct callers *callers);

/* During a stop: closes callers with an open transaction, which is rolled back,
 * with SQLSTATE 57P01; those with a request in flight after its answer. */
void callers_end_transactions(struct callers *callers);

/* During a stop: gives up the requests in flight, tells their callers that the
 * outcome is unknown, and closes them. */
void callers_end_requests(struct callers *callers);

size_t callers_count(const struct callers *callers);

/* Number of callers with a request in flight or an open transaction. */
size_t callers_count_busy(const struct callers *callers);

#endif
