#ifndef APIKEY_H
#define APIKEY_H

/*
 * API keys of callers: their hashes, how long a proxy may rely on its
 * configuration for them, and the decision whether a statement of a session may
 * run and for which tenant. Does no I/O; the time is passed in. Names begin
 * with akey_.
 *
 * Load: one decision for each statement and each new try of it (about 1,100
 * operations per second over all proxies at the sizes of
 * docs/tenants-and-load.md, some 12,000 statements) with 84 tenants. A decision
 * is one binary search among the hashes of the keys.
 *
 * A key that was withdrawn must not be used for longer than a bound after the
 * configuration without it was acknowledged, by no proxy and whatever happens
 * to it. So a proxy uses keys only while it can prove that its configuration
 * was the newest one a short time ago (struct akey_lease). The proof is an
 * answer of a control leader that may act: at the time at which the ask was
 * sent, no configuration newer than the one that the answer names was
 * acknowledged. The time is that of the monotonic clock, which goes on while
 * the process or the machine is suspended.
 */

#include "clock.h"
#include "result.h"
#include "route_table.h"

enum {
	AKEY_SECRET_LEN = 32, /* bytes of the key of the hash */
	/* A proxy whose lease ends this soon while control is silent leaves the
	 * balancer's rotation, which takes about as long. */
	AKEY_ENDING_MS = 2000
};

/* Writes the keyed hash of an API key in hexadecimal (RT_KEY_HASH_HEX). */
void akey_hash(const unsigned char *secret, const char *key, size_t len,
	       char *out);

/* An answer of a control leader, seen as a proof. */
struct akey_proof {
	clk_ms asked_at; /* when the ask that it answers was sent */
	int64_t version; /* the newest configuration at that time */
};

struct akey_lease {
	clk_ms duration_ms; /* settings key_lease_ms; 0: no lease is needed */
	clk_ms until; /* when the lease ends; 0 before the first proof */
	/* newest proof of a version that is newer than the one held */
	struct akey_proof pending;
};

/*
 * Takes the answer to an ask, from a control leader that may act. held is the
 * version of the configuration that this proxy uses. An answer that names a
 * newer version counts once akey_on_config() tells that the proxy uses it.
 * Answers may come late and in any order.
 */
void akey_on_answer(struct akey_lease *l, struct akey_proof proof,
		    int64_t held);

/* To be called when the proxy begins to use a newer configuration. */
void akey_on_config(struct akey_lease *l, int64_t held);

/* True if keys may be used now. */
bool akey_is_valid(const struct akey_lease *l, clk_ms now);

/* What is to be decided about: a statement of a session. */
struct akey_request {
	const char *hash; /* of the session's key; empty if it has none */
	bool is_public; /* its database needs no key */
	/* the name under which its open transaction runs; NULL outside of a
	 * transaction */
	const char *txn_tenant;
};

struct akey_permit {
	/* RES_OK; RES_AUTH: the key is unknown, or the transaction belongs to
	 * another tenant; RES_KEY_UNCONFIRMED: there is no valid lease */
	enum res res;
	/* whom the statement runs for; empty for none. Valid as long as the
	 * table and the request. */
	const char *tenant;
	clk_ms until; /* until when it may be sent; 0 without a limit */
};

/*
 * Decides on a statement by the configuration in force (NULL before the first).
 * Without tenants everything is permitted. Without a lease it is not known
 * whether a key is unknown, so the answer is RES_KEY_UNCONFIRMED then. A caller
 * of a public database without a known key uses no key and needs no lease.
 */
struct akey_permit akey_check(const struct akey_lease *l,
			      const struct route_table *table,
			      const struct akey_request *q, clk_ms now);

#endif
