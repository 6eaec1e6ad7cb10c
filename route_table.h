#ifndef ROUTE_TABLE_H
#define ROUTE_TABLE_H

/*
 * Routing table of the line protocol, made from the published configuration:
 * the databases that callers may name, the group that serves each database, the
 * limits of databases and groups, and the tenants with the hashes of their API
 * keys. A table does not change after it was
 * filled in and sorted, and is shared by reference count.
 *
 * Names begin with rt_, for routing table.
 */

#include "buf.h"
#include "clock.h"
#include "cluster.h"
#include "error.h"

#include <stdbool.h>
#include <stddef.h>

struct blob;

enum {
	RT_DATABASE_NAME_LEN =
		64, /* bytes of a database name, with the final zero */
	RT_KEY_HASH_LEN = 16, /* bytes of the hash of an API key */
	RT_KEY_HASH_HEX = 2 * RT_KEY_HASH_LEN + 1,
	RT_NO_RATE = -1 /* rate of a tenant without a limit */
};

/* How old the data that a read sees may be. */
enum rt_read_freshness {
	RT_READS_CURRENT, /* the read sees every acknowledged commit */
	RT_READS_BOUNDED, /* data up to max_age_ms old */
	RT_READS_OWN_COMMITS /* as BOUNDED, but it sees the session's own
				commits */
};

struct rt_database {
	char name[RT_DATABASE_NAME_LEN];
	char group[ID_LEN];
	int64_t read_freshness; /* enum rt_read_freshness */
	clk_ms max_age_ms;
	clk_ms statement_timeout_ms; /* timeout of one statement */
	clk_ms objective_ms; /* latency objective of an operation, 0 for none */
	int64_t priority; /* 0 is the most urgent */
	bool is_public; /* callers need no API key */
};

/* A tenant: who the callers with certain API keys act for. */
struct rt_tenant {
	char name[ID_LEN];
	int64_t rate_milli; /* operations in 1,000 s; RT_NO_RATE: no limit */
	int64_t burst_milli; /* thousandths of an operation */
	int64_t priority; /* 0 is the most urgent */
};

/* Keyed hash of an API key. */
struct rt_api_key {
	char hash[RT_KEY_HASH_HEX]; /* hexadecimal, with the final zero */
	int64_t tenant; /* index in route_table.tenants */
};

struct rt_group {
	char name[ID_LEN];
	int64_t max_connections; /* to one backend, from all proxies together */
	/* Replicas that must hold a commit before it is acknowledged. */
	int64_t sync_replicas;
};

struct route_table {
	int refs;
	int64_t version;
	struct rt_database *databases; /* sorted by name */
	int64_t ndatabases;
	struct rt_group *groups; /* sorted by name */
	int64_t ngroups;
	clk_ms txn_idle_ms; /* how long a caller may idle in a transaction */
	/* Callers need an API key, except for public databases. */
	bool has_tenants;
	struct rt_tenant *tenants; /* sorted by name */
	int64_t ntenants;
	struct rt_api_key *api_keys; /* sorted by hash */
	int64_t napi_keys;
};

/* Returns an empty table with one reference. */
struct route_table *rt_new(void);
struct route_table *rt_ref(struct route_table *r);
void rt_unref(struct route_table *r);

/* Sorts databases, groups, tenants and API keys for the lookups; call once they
 * are filled in. */
void rt_sort(struct route_table *r);

/*
 * Encodes a table for messages, and decodes it. The encoding is compressed,
 * since the names of many databases are similar. size is the number of bytes
 * before compression, which rt_decode() needs. rt_decode() returns NULL, with e
 * set, if the bytes are invalid.
 */
void rt_encode(const struct route_table *r, struct buf *out, int64_t *size);
struct route_table *rt_decode(const struct blob *packed, int64_t size,
			      struct err *e);

/* An entry by name, or NULL; r may be NULL. */
const struct rt_database *rt_find_database(const struct route_table *r,
					   const char *name);
const struct rt_group *rt_find_group(const struct route_table *r,
				     const char *name);
const struct rt_tenant *rt_find_tenant(const struct route_table *r,
				       const char *name);

/* The tenant that holds the API key with a hash (RT_KEY_HASH_HEX), or NULL. */
const struct rt_tenant *rt_find_key(const struct route_table *r,
				    const char *hash);

#endif
