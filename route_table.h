#ifndef ROUTE_TABLE_H
#define ROUTE_TABLE_H

/*
 * Routing table of the line protocol, made from the published configuration:
 * the databases that callers may name, the group that serves each database, and
 * the limits of databases and groups. A table does not change after it was
 * filled in and sorted, and is shared by reference count.
 *
 * Names begin with rt_, for routing table.
 */

#include "buf.h"
#include "clock.h"
#include "cluster.h"
#include "error.h"

#include <stddef.h>

struct blob;

enum {
	RT_DATABASE_NAME_LEN =
		64 /* bytes of a database name, with the final zero */
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
};

/* Returns an empty table with one reference. */
struct route_table *rt_new(void);
struct route_table *rt_ref(struct route_table *r);
void rt_unref(struct route_table *r);

/* Sorts databases and groups for the lookups; call once they are filled in. */
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

#endif
