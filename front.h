#ifndef FRONT_H
#define FRONT_H

/*
 * Sessions of callers that speak the line protocol (the proxy's front end).
 * Each connection is one session.
 *
 * A session itself answers what needs no backend: session values, prepared
 * statements, the begin of a transaction, and the end of one that sent no
 * statement. Everything else becomes a job (db.h) on a member of the database's
 * group. A transaction is begun on a member together with its first statement
 * and stays on that connection.
 *
 * Reads that must be current, and reads for which no recent enough position is
 * known, run on the primary inside a transaction that is rolled back. A member
 * that is no longer primary refuses statements in a transaction, so such a read
 * is never served by a replaced primary.
 */

#include "clock.h"
#include "error.h"
#include "msg.h"
#include "route_table.h"

#include <stdbool.h>

struct db;
struct ev_loop;
struct front_server;
struct settings;
struct view;

struct front_server *front_new(struct ev_loop *loop,
			       const struct settings *set);
void front_free(struct front_server *f);

/* Starts to accept connections of callers. */
enum res front_listen(struct front_server *f, struct err *e);

/* Takes a configuration; one that is not newer than the current one is
 * ignored. */
void front_take_routes(struct front_server *f, struct route_table *r);
const struct route_table *front_routes(const struct front_server *f);

/*
 * Tells that a control leader that may act answered an ask, which was sent at
 * asked_at, and named this version as the newest configuration. Where there are
 * tenants and key_lease_ms is set, API keys are used only while such an answer
 * is recent enough, see apikey.h.
 */
void front_confirm_config(struct front_server *f, int64_t version,
			  clk_ms asked_at);

/* How much longer API keys may be used, negative if they may not be any more;
 * CLK_NEVER without a limit. */
clk_ms front_key_lease_left(const struct front_server *f, clk_ms now);

/* Starts to run jobs for other proxies, on the link address. */
enum res front_link(struct front_server *f, int64_t uuid, struct err *e);

/* Take the roster of backends, and the proxies that share their connections. */
void front_take_backends(struct front_server *f,
			 const struct backend_info *list, size_t n);
void front_take_proxies(struct front_server *f, const struct proxy_info *list,
			size_t n);

/* Takes which member is the primary of each group. */
void front_take_groups(struct front_server *f, const struct group_info *list,
		       size_t n);

/*
 * Takes the leases of the groups. Where the promoter does not depose the old
 * primary, statements go to a primary as such only under a lease, and a commit
 * is acknowledged only under one. The latter also holds for all groups with
 * synchronous replicas.
 */
void front_take_leases(struct front_server *f, const struct view *v);

/* Lists the groups whose primary can't be reached from here. */
int64_t front_suspected_primaries(struct front_server *f,
				  struct suspect_report *out, int64_t max,
				  clk_ms now);

/*
 * Lists, for each group, the newest position of the primary that this proxy
 * learned itself, if it is newer than those received from other proxies.
 * front_take_sample() takes one that another proxy learned.
 */
int64_t front_own_samples(const struct front_server *f, struct pos_sample *out,
			  int64_t max);

/* Appends a bitmap of the groups that were recently read with bounded staleness
 * and whose position this proxy does not learn itself; see struct msg_ask. */
void front_put_wanted_groups(const struct front_server *f, struct buf *out,
			     clk_ms now);
void front_take_sample(struct front_server *f, const struct pos_sample *s);

/* Sets the callback that is called when control should be asked at once: a
 * group's primary is suspected to have failed, or the group's first position is
 * missing or was just learned. */
void front_on_urgent(struct front_server *f, void (*fn)(void *arg), void *arg);

/*
 * Rate limits of tenants (ratelim.h). Sets the function that sends an ask to
 * the control leader and returns false if none is known, and takes the leader's
 * grant.
 */
void front_on_rate_ask(struct front_server *f,
		       bool (*send)(void *arg, const struct msg_rate_ask *ask),
		       void *arg);
void front_take_rate_grant(struct front_server *f,
			   const struct msg_rate_grant *g);

/* Appends the metrics of the tenants. */
void front_put_tenant_metrics(struct front_server *f, struct buf *text);

/* Closes each session once it is idle, until called with false. */
void front_drain(struct front_server *f, bool drain);

/* Sets whether statements that wait for a member are refused at once. */
void front_refuse_waiting(struct front_server *f, bool refuse);

/* Sets whether statements that need a lease are refused at once while there is
 * none: it will not be renewed soon, and another proxy can run them. */
void front_refuse_without_lease(struct front_server *f, bool refuse);

/*
 * Ends all transactions, also those run for other proxies, and refuses all
 * further statements. A statement that is under way still gets its member's
 * answer. The caller of an ended transaction is told with its next statement.
 */
void front_end_transactions(struct front_server *f);

/* Answers the statements that are still under way, whose outcome may be
 * unknown, and closes all sessions. */
void front_close_rest(struct front_server *f);
struct hist;
/* Latency of statements that succeeded. */
const struct hist *front_latency(const struct front_server *f);
size_t front_count(const struct front_server *f);

/* Number of sessions, plus jobs and transactions run for other proxies. */
size_t front_load(const struct front_server *f);
size_t front_connections(const struct front_server *f);

/* Appends metrics of the connections to members, for at most
 * FRONT_LISTED_MEMBERS members that have any. */
void front_put_connections(const struct front_server *f, struct buf *text);

#endif
