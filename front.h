#ifndef FRONT_H
#define FRONT_H

/*
 * Callers that speak the line protocol: one session for each connection.
 *
 * A session answers by itself what needs no backend: session values, prepared
 * statements, the beginning of a transaction and the end of one that did
 * nothing. All else becomes a job on a member of the database's group. A
 * transaction begins at a member with its first statement and stays on that
 * connection.
 *
 * Reads that must be current, and those for which no position is known that
 * is young enough, run on the primary inside a transaction that is rolled
 * back: a member that lost the lead refuses statements of a transaction, so
 * such a read is never served by a replaced primary.
 */

#include "clock.h"
#include "error.h"
#include "msg.h"
#include "routes.h"

#include <stdbool.h>

struct db;
struct ev_loop;
struct fronts;
struct settings;

struct fronts *front_new(struct ev_loop *loop, const struct settings *set);
void front_free(struct fronts *f);

/* Starts to accept callers. */
enum res front_listen(struct fronts *f, struct err *e);

/* Takes a configuration; one that is not newer is ignored. */
void front_take_routes(struct fronts *f, struct routes *r);
const struct routes *front_routes(const struct fronts *f);

/* Starts to run jobs for proxies of other zones, on the link address. */
enum res front_link(struct fronts *f, int64_t uuid, struct err *e);

/* Takes the roster, and the proxies that share its connections. */
void front_take_backends(struct fronts *f, const struct backend_info *list,
			 size_t n);
void front_take_proxies(struct fronts *f, const struct proxy_info *list,
			size_t n);

/* Takes which member leads each group. */
void front_take_groups(struct fronts *f, const struct group_info *list,
		       size_t n);

/* Groups whose primary can't be reached from here. */
int64_t front_suspects(struct fronts *f, struct suspect *out, int64_t max,
		       clk_ms now);

/* Newest position of each group's primary that this proxy itself learned and
 * that is newer than what others told; and one that another proxy learned. */
int64_t front_samples(const struct fronts *f, struct pos_sample *out,
		      int64_t max);

/* Groups that were read with limited age a moment ago and whose position this
 * proxy does not learn itself; see struct msg_ask. */
void front_wants(const struct fronts *f, struct buf *out, clk_ms now);
void front_take_sample(struct fronts *f, const struct pos_sample *s);

/* Called when control should be asked at once: a group's primary is suspected,
 * or its first position is missed or known. */
void front_on_urgent(struct fronts *f, void (*fn)(void *arg), void *arg);

/* Closes sessions as they are idle, until it is called with false. */
void front_drain(struct fronts *f, bool drain);

/* Whether statements that wait for a member are refused at once. */
void front_refuse_waiting(struct fronts *f, bool refuse);

/* Ends what is left, transactions included. */
void front_close_rest(struct fronts *f);
struct hist;
/* Times of statements that succeeded. */
const struct hist *front_latency(const struct fronts *f);
size_t front_count(const struct fronts *f);

/* Sessions, and jobs and transactions of other proxies. */
size_t front_load(const struct fronts *f);
size_t front_connections(const struct fronts *f);

#endif
