#ifndef LISTS_H
#define LISTS_H

/*
 * The two lists that operators edit: plans and customers.
 *
 * Their text is one JSON document with comments:
 *
 *   {
 *     "plans": [ { "name": "checkout", "connections": 10, ... } ],
 *     "customers": [ { "name": "shop", "plan": "checkout", ... } ]
 *   }
 *
 * or two documents, one for each list, which lst_merge() joins. A parsed
 * struct lists never changes and is shared by reference count.
 */

#include "clock.h"
#include "cluster.h"
#include "error.h"

#include <stddef.h>

enum {
	LST_MAX_PLANS = 1000,
	LST_MAX_CUSTOMERS = 100000,
	LST_HASH_LEN = 128, /* bytes of a password hash, with final zero */
	LST_MAX_DATABASES = 16
};

enum lst_durability { LST_MAJORITY, LST_PRIMARY };

struct plan {
	char name[ID_LEN];
	int64_t connections; /* server connections in use over all proxies */
	clk_ms max_age_ms; /* how old the data of its reads may be */
	clk_ms max_wait_ms; /* how long a request may wait */
	int64_t weight; /* share against customers of its priority */
	int64_t priority; /* 0 is served first */
	int64_t retry_percent; /* retries allowed per 100 requests */
	enum lst_durability durability;
};

struct customer {
	char name[ID_LEN];
	char password_hash[LST_HASH_LEN];
	char databases[LST_MAX_DATABASES][ID_LEN];
	int64_t ndatabases; /* 0 allows every database */
	int64_t plan; /* index into plans */
};

struct lists {
	int refs;
	int64_t version;
	char digest[ID_LEN]; /* XXH3 of the text, in hex */
	char *text; /* as accepted */
	size_t len;
	struct plan *plans; /* sorted by name */
	int64_t nplans;
	struct customer *customers; /* sorted by name */
	int64_t ncustomers;
};

/*
 * Parses and checks the lists. An error names the file or list, the line or
 * entry and key, and what was expected: unknown key, wrong type, number out
 * of range, unknown plan, duplicate name, missing key. Returns a struct with
 * one reference, or NULL.
 */
struct lists *lst_parse(const char *text, size_t len, int64_t version,
			struct err *e);
struct lists *lst_ref(struct lists *l);
void lst_unref(struct lists *l);

const struct customer *lst_customer(const struct lists *l, const char *name);
const struct plan *lst_plan_of(const struct lists *l, const struct customer *c);

/* The digest of a list text, ID_LEN bytes with the final zero. */
void lst_digest(const char *text, size_t len, char *out);

/* Salted password hash for the customers' list (LST_HASH_LEN bytes). */
enum res lst_hash_password(const char *password, char *out, struct err *e);
bool lst_check_password(const struct customer *c, const char *password);

/*
 * Joins two files, one with "plans" and one with "customers" (either may hold
 * both), into the canonical text of one document. second is NULL for a single
 * file that holds both. The result is malloc'ed.
 */
char *lst_merge(const char *first, const char *first_name, const char *second,
		const char *second_name, struct err *e);

/* The canonical text: no comments, every value, sorted by name. Appends. */
struct buf;
void lst_canonical(const struct lists *l, struct buf *out);

/* Differences between two lists, one line each: "+ plan x", "- customer y",
 * "~ plan x connections 5 -> 8". Appends to out. */
void lst_diff(const struct lists *from, const struct lists *to,
	      struct buf *out);

#endif
