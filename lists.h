#ifndef LISTS_H
#define LISTS_H

/*
 * The two lists that operators edit: plans, which hold the limits, and
 * customers, each of which has a plan. Names of this module start with "lst".
 *
 * The lists are written as one JSON document with comments:
 *
 *   {
 *     "plans": [ { "name": "checkout", "connections": 10, ... } ],
 *     "customers": [ { "name": "shop", "plan": "checkout", ... } ]
 *   }
 *
 * or as two documents, one for each list, which lst_merge_texts() joins. A
 * parsed struct lists is never modified; its users share it by a reference
 * count.
 */

#include "clock.h"
#include "cluster.h"
#include "error.h"

#include <stddef.h>

enum {
	LST_MAX_PLANS = 1000,
	LST_MAX_CUSTOMERS = 100000,
	LST_HASH_LEN = 128, /* bytes of a password hash, with final zero */
	LST_MAX_DATABASES = 16 /* of one customer */
};

/* Where a commit must be stored before it is acknowledged: on a majority of
 * the group's backends, or on the primary alone. */
enum lst_durability { LST_DURABILITY_MAJORITY, LST_DURABILITY_PRIMARY };

struct plan {
	char name[ID_LEN];
	int64_t connections; /* backend connections in use, over all proxies */
	clk_ms max_age_ms; /* upper bound of the age of data that is read */
	clk_ms max_wait_ms; /* upper bound of a request's wait to be run */
	int64_t weight; /* share among customers of the same priority */
	int64_t priority; /* 0 is served first */
	int64_t retry_percent; /* retries allowed per 100 requests */
	enum lst_durability durability;
};

struct customer {
	char name[ID_LEN];
	char password_hash[LST_HASH_LEN];
	char databases[LST_MAX_DATABASES][ID_LEN];
	int64_t ndatabases; /* 0 allows every database */
	int64_t plan_index; /* index into plans of struct lists */
};

struct lists {
	int ref_count;
	int64_t version; /* newer lists have a higher one */
	char digest[ID_LEN]; /* XXH3 of the text, in hex */
	char *text; /* the document as it was parsed */
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
 * one reference, or NULL on failure.
 */
struct lists *lst_parse(const char *text, size_t len, int64_t version,
			struct err *e);

/* Adds a reference, or drops one; the last one frees the lists. */
struct lists *lst_ref(struct lists *l);
void lst_unref(struct lists *l);

/* Finds a customer by name; NULL if there is none. */
const struct customer *lst_find_customer(const struct lists *l,
					 const char *name);
const struct plan *lst_customer_plan(const struct lists *l,
				     const struct customer *c);

/* Writes the digest of a lists' text to out (ID_LEN bytes). */
void lst_digest(const char *text, size_t len, char *out);

/* Writes a salted password hash for the customers' list to out (LST_HASH_LEN
 * bytes). */
enum res lst_hash_password(const char *password, char *out, struct err *e);
bool lst_check_password(const struct customer *c, const char *password);

/*
 * Joins the texts of two files, one with "plans" and one with "customers"
 * (either may hold both), into the canonical text of one document. second is
 * NULL for a single file that holds both. The names are those of the files, for
 * errors. Returns malloc'ed text, or NULL on failure.
 */
char *lst_merge_texts(const char *first, const char *first_name,
		      const char *second, const char *second_name,
		      struct err *e);

struct buf;

/* Appends the canonical text to out: without comments, with every value, also
 * defaults, and sorted by name. */
void lst_append_canonical(const struct lists *l, struct buf *out);

/* Appends the differences between two versions to out, one line each:
 * "+ plan x" (added), "- customer y" (removed),
 * "~ plan x connections 5 -> 8" (changed). */
void lst_append_diff(const struct lists *from, const struct lists *to,
		     struct buf *out);

#endif
