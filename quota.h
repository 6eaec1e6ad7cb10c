#ifndef QUOTA_H
#define QUOTA_H

/*
 * Shares of customers' limits, leased by the control leader to proxies.
 *
 * Rules, so that the units in use at any instant never exceed a plan:
 *  - A grant counts from when the proxy sent its ask and lasts grant_ms. The
 *    proxy stops using it QUOTA_STOP_MS earlier and cancels what still runs, so
 *    that a statement does not outlive its unit.
 *  - The sum of grants that may still be in force is at most the limit.
 *  - Half of each limit, rounded up, is divided over the proxies as floors. A
 *    proxy in contact lends its floor. Without contact it uses its floor from
 *    two grant lengths after its last answered ask was sent.
 *  - The leader knows that an ask was sent after the answer it names was
 *    sent. Units of a proxy's floor are granted to others only until one
 *    grant length after that answer, so those grants end before the proxy
 *    takes its floor back.
 *  - A new leader renews what proxies report as held and grants more only one
 *    grant length after its election.
 *
 * Both sides are free of I/O; the time is passed in.
 */

#include "clock.h"
#include "lists.h"
#include "msg.h"

enum { QUOTA_STOP_MS = 200 /* to cancel what runs when contact is lost */ };

/* Proxy side: what this proxy may use. */
struct quota_client;

struct quota_client *quota_client_new(void);
void quota_client_free(struct quota_client *q);

/* Takes the grants of an answer to an ask that was sent at asked. */
void quota_client_take(struct quota_client *q, const struct msg_answer *a,
		       clk_ms asked);

/* Units of a customer that this proxy may occupy now. */
int64_t quota_client_units(const struct quota_client *q, const char *customer,
			   clk_ms now);

/* Units held by unexpired grants, for the demand of the next ask. */
int64_t quota_client_held(const struct quota_client *q, const char *customer,
			  clk_ms now);

/* When the grants end without another answer; 0 before the first one. */
clk_ms quota_client_until(const struct quota_client *q);

/* Leader side: how the limits are shared out. */
struct quota_server;

struct quota_server *quota_server_new(clk_ms grant_ms);
void quota_server_free(struct quota_server *q);

/* Starts a reign at now: nothing but renewals for one grant length. */
void quota_server_lead(struct quota_server *q, clk_ms now);

/*
 * Handles the demands of an ask and fills in the grants of its answer. The
 * grants stay valid until the next call. proxies are all proxies of the
 * roster; only their ids and zones decide about floors.
 */
void quota_server_ask(struct quota_server *q, const char *proxy,
		      const struct msg_ask *ask, const struct lists *lists,
		      const struct proxy_info *proxies, size_t nproxies,
		      clk_ms now, struct msg_answer *answer);

/*
 * Floor of a customer at a proxy: its part of half the limit, by rendezvous
 * hashing of customer, unit and proxy, zones in turn.
 */
int64_t quota_floor(const char *customer, int64_t limit, const char *proxy,
		    const struct proxy_info *proxies, size_t nproxies);

#endif
