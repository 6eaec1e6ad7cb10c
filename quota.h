#ifndef QUOTA_H
#define QUOTA_H

/*
 * Distribution of the customers' limits over the proxies.
 *
 * A plan limits how many requests of a customer run at the same time over all
 * proxies. The control leader leases parts of this limit to the proxies. A part
 * is counted in units, one for each running request, and called a grant. A
 * proxy reports its demand in its periodic request to the leader (an ask,
 * struct msg_ask) and receives its grants in the answer (struct msg_answer).
 *
 * Each proxy also has a floor for each customer: units that it may use while it
 * has no contact with a leader. The leader may grant these units to other
 * proxies while the owner of the floor is in contact.
 *
 * These rules ensure that the units in use never exceed the limit of a plan:
 *  - A grant is valid for grant_ms from the time at which the proxy sent its
 *    ask. The proxy stops using it QUOTA_CANCEL_MARGIN_MS earlier and cancels
 * the statements that still run, so that no statement outlives its unit.
 *  - The sum of all grants that may still be valid is at most the limit.
 *  - Half of each limit, rounded up, is divided over the proxies as floors. A
 *    proxy without contact starts using its floor 2 * grant_ms after it sent
 *    the last ask that was answered.
 *  - An ask names the newest answer that the proxy has received, so the leader
 *    knows that the ask was sent after that answer. It grants units of the
 *    proxy's floor to others only until grant_ms after that answer; so these
 *    grants have expired when the proxy starts using its floor.
 *  - For grant_ms after its election a new leader only renews the units that
 *    proxies report as held; grants of its predecessor may still be valid.
 *
 * Both sides do no I/O and read no clock; the time is passed in.
 */

#include "clock.h"
#include "lists.h"
#include "msg.h"

/* How long before the end of its grants a proxy without contact starts to
 * cancel its statements. */
enum { QUOTA_CANCEL_MARGIN_MS = 200 };

/* Proxy side: the grants of this proxy. */
struct quota_client;

struct quota_client *quota_client_new(void);
void quota_client_free(struct quota_client *q);

/* Replaces the grants by those of the answer to an ask sent at ask_sent. */
void quota_client_apply_answer(struct quota_client *q,
			       const struct msg_answer *a, clk_ms ask_sent);

/* Units of a customer that this proxy may occupy now, by grant or by floor. */
int64_t quota_client_units(const struct quota_client *q, const char *customer,
			   clk_ms now);

/* Units of unexpired grants, to be reported in the next ask. */
int64_t quota_client_granted_units(const struct quota_client *q,
				   const char *customer, clk_ms now);

/* When the grants end if no further answer arrives; 0 before the first
 * answer. */
clk_ms quota_client_expiry(const struct quota_client *q);

/* Leader side: the grants and floors of all proxies. */
struct quota_server;

struct quota_server *quota_server_new(clk_ms grant_ms);
void quota_server_free(struct quota_server *q);

/* Starts a term of leadership at now. All earlier state is discarded, and for
 * grant_ms grants are only renewed. */
void quota_server_start_term(struct quota_server *q, clk_ms now);

/*
 * Processes the demands of an ask and fills in the grants of its answer. The
 * memory of the grants stays valid until the next call. proxies are all proxies
 * that the leader knows (the roster); the floors depend on their ids and zones
 * only.
 */
void quota_server_handle_ask(struct quota_server *q, const char *proxy,
			     const struct msg_ask *ask,
			     const struct lists *lists,
			     const struct proxy_info *proxies, size_t nproxies,
			     clk_ms now, struct msg_answer *answer);

/*
 * Floor of a customer at a proxy. The units of half the limit are assigned to
 * the zones round-robin, and inside a zone to the proxy with the highest hash
 * of customer, unit and proxy (rendezvous hashing).
 */
int64_t quota_floor(const char *customer, int64_t limit, const char *proxy,
		    const struct proxy_info *proxies, size_t nproxies);

#endif
