#include "lists.h"
#include "buf.h"
#include "json.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
	LST_MAX_CONNECTIONS = 100000,
	LST_MAX_AGE_MS = 3600000,
	LST_MAX_WAIT_MS = 600000,
	LST_MAX_WEIGHT = 1000,
	LST_MAX_PRIORITY = 9,
	LST_MAX_RETRY_PERCENT = 100,
	LST_MAX_DOCS = 2 /* documents that lst_merge_texts() joins */
};

#define LST_ADMIN_DATABASE "marjoramlatch"

/* The documents that together hold the lists, and the arrays "plans" and
 * "customers" of each. */
struct lst_docs {
	struct js_doc *docs[LST_MAX_DOCS];
	struct js_node plans[LST_MAX_DOCS];
	struct js_node customers[LST_MAX_DOCS];
	size_t nplans[LST_MAX_DOCS];
	size_t ncustomers[LST_MAX_DOCS];
	size_t n;
};

static int lst_compare_plans(const void *a, const void *b)
{
	return strcmp(((const struct plan *)a)->name,
		      ((const struct plan *)b)->name);
}

static int lst_compare_customers(const void *a, const void *b)
{
	return strcmp(((const struct customer *)a)->name,
		      ((const struct customer *)b)->name);
}

static void *lst_alloc_zeroed(size_t n, size_t size)
{
	void *p = calloc(n ? n : 1, size);

	if (!p)
		abort();
	return p;
}

/* Finds the second entry with the name and reports its place in the file. */
static enum res lst_duplicate_error(const struct js_node *lists,
				    const size_t *lens, size_t n,
				    const char *name, struct err *e)
{
	bool seen = false;

	for (size_t d = 0; d < n; d++) {
		for (size_t i = 0; i < lens[d]; i++) {
			char other[ID_LEN] = "";
			struct js_node at;

			if (js_get_object_at(&lists[d], i, &at, e) ||
			    js_get_name(&at, "name", other, sizeof(other), e))
				return RES_BAD_LIST;
			if (strcmp(name, other))
				continue;
			if (seen)
				return js_fail_key(&at, "name", e,
						   "\"%s\" is listed twice, "
						   "expected each name once",
						   name);
			seen = true;
		}
	}
	return RES_INTERNAL;
}

static enum res lst_parse_plan(struct plan *p, const struct js_node *n,
			       struct err *e)
{
	static const char *const keys[] = {
		"name",		 "connections", "max_age_ms",
		"max_wait_ms",	 "weight",	"priority",
		"retry_percent", "durability",	NULL};
	static const char *const durabilities[] = {"majority", "primary", NULL};
	int durability = LST_DURABILITY_MAJORITY;

	*p = (struct plan){.weight = 1, .priority = 5, .retry_percent = 10};
	if (js_check_keys(n, keys, e) || js_require_key(n, "name", e) ||
	    js_require_key(n, "connections", e) ||
	    js_require_key(n, "max_age_ms", e) ||
	    js_require_key(n, "max_wait_ms", e) ||
	    js_get_name(n, "name", p->name, sizeof(p->name), e) ||
	    js_get_int(n, "connections", &p->connections, 1,
		       LST_MAX_CONNECTIONS, "", e) ||
	    js_get_int(n, "max_age_ms", &p->max_age_ms, 0, LST_MAX_AGE_MS, "ms",
		       e) ||
	    js_get_int(n, "max_wait_ms", &p->max_wait_ms, 1, LST_MAX_WAIT_MS,
		       "ms", e) ||
	    js_get_int(n, "weight", &p->weight, 1, LST_MAX_WEIGHT, "", e) ||
	    js_get_int(n, "priority", &p->priority, 0, LST_MAX_PRIORITY, "",
		       e) ||
	    js_get_int(n, "retry_percent", &p->retry_percent, 0,
		       LST_MAX_RETRY_PERCENT, "", e) ||
	    js_get_choice(n, "durability", durabilities, &durability, e))
		return RES_BAD_LIST;
	p->durability = (enum lst_durability)durability;
	return RES_OK;
}

static enum res lst_parse_plans(struct lists *l, const struct lst_docs *s,
				struct err *e)
{
	l->plans = lst_alloc_zeroed(s->nplans[0] + s->nplans[1],
				    sizeof(*l->plans));
	for (size_t d = 0; d < s->n; d++) {
		for (size_t i = 0; i < s->nplans[d]; i++) {
			struct js_node n;

			if (js_get_object_at(&s->plans[d], i, &n, e) ||
			    lst_parse_plan(&l->plans[l->nplans], &n, e))
				return RES_BAD_LIST;
			l->nplans++;
		}
	}
	qsort(l->plans, (size_t)l->nplans, sizeof(*l->plans),
	      lst_compare_plans);
	for (int64_t i = 1; i < l->nplans; i++)
		if (!strcmp(l->plans[i - 1].name, l->plans[i].name))
			return lst_duplicate_error(s->plans, s->nplans, s->n,
						   l->plans[i].name, e);
	return RES_OK;
}

static enum res lst_parse_databases(struct customer *c, const struct js_node *n,
				    struct err *e)
{
	struct js_node list;
	size_t len;

	if (js_get_array(n, "databases", &list, LST_MAX_DATABASES, &len, e))
		return RES_BAD_LIST;
	if (js_has_key(n, "databases") && !len)
		return js_fail_key(
			n, "databases", e,
			"found no entry, expected 1 to %d names, or no "
			"such key to allow every database",
			LST_MAX_DATABASES);
	for (size_t i = 0; i < len; i++) {
		char *name = c->databases[i];

		if (js_get_name_at(&list, i, name, ID_LEN, e))
			return RES_BAD_LIST;
		if (!strcmp(name, LST_ADMIN_DATABASE))
			return js_fail_key(n, "databases", e,
					   "found \"%s\", which is the admin "
					   "database, expected database groups",
					   name);
		for (size_t j = 0; j < i; j++)
			if (!strcmp(c->databases[j], name))
				return js_fail_key(n, "databases", e,
						   "\"%s\" is listed twice, "
						   "expected each name once",
						   name);
	}
	c->ndatabases = (int64_t)len;
	return RES_OK;
}

static enum res lst_parse_plan_name(const struct lists *l, struct customer *c,
				    const struct js_node *n, struct err *e)
{
	struct plan key = {0};
	const struct plan *p;

	if (js_get_name(n, "plan", key.name, sizeof(key.name), e))
		return RES_BAD_LIST;
	p = bsearch(&key, l->plans, (size_t)l->nplans, sizeof(*l->plans),
		    lst_compare_plans);
	if (!p)
		return js_fail_key(n, "plan", e,
				   "found \"%s\", expected the name of a plan",
				   key.name);
	c->plan_index = p - l->plans;
	return RES_OK;
}

/*
 * Accepts only hashes with the minimum limits of libsodium. One with higher
 * limits would block every caller of a proxy while one password is checked.
 */
static bool lst_hash_has_min_limits(const char *hash)
{
	return crypto_pwhash_str_needs_rehash(hash, crypto_pwhash_OPSLIMIT_MIN,
					      crypto_pwhash_MEMLIMIT_MIN) == 0;
}

static enum res lst_parse_customer(const struct lists *l, struct customer *c,
				   const struct js_node *n, struct err *e)
{
	static const char *const keys[] = {"name", "password_hash", "plan",
					   "databases", NULL};

	if (js_check_keys(n, keys, e) || js_require_key(n, "name", e) ||
	    js_require_key(n, "password_hash", e) ||
	    js_require_key(n, "plan", e) ||
	    js_get_name(n, "name", c->name, sizeof(c->name), e) ||
	    js_get_string(n, "password_hash", c->password_hash, LST_HASH_LEN,
			  e))
		return RES_BAD_LIST;
	if (!lst_hash_has_min_limits(c->password_hash))
		return js_fail_key(
			n, "password_hash", e,
			"not a usable hash, expected one that "
			"marjoramlatch check --hash-password prints");
	if (lst_parse_plan_name(l, c, n, e))
		return RES_BAD_LIST;
	return lst_parse_databases(c, n, e);
}

static enum res lst_parse_customers(struct lists *l, const struct lst_docs *s,
				    struct err *e)
{
	l->customers = lst_alloc_zeroed(s->ncustomers[0] + s->ncustomers[1],
					sizeof(*l->customers));
	for (size_t d = 0; d < s->n; d++) {
		for (size_t i = 0; i < s->ncustomers[d]; i++) {
			struct customer *c = &l->customers[l->ncustomers];
			struct js_node n;

			if (js_get_object_at(&s->customers[d], i, &n, e) ||
			    lst_parse_customer(l, c, &n, e))
				return RES_BAD_LIST;
			l->ncustomers++;
		}
	}
	qsort(l->customers, (size_t)l->ncustomers, sizeof(*l->customers),
	      lst_compare_customers);
	for (int64_t i = 1; i < l->ncustomers; i++)
		if (!strcmp(l->customers[i - 1].name, l->customers[i].name))
			return lst_duplicate_error(s->customers, s->ncustomers,
						   s->n, l->customers[i].name,
						   e);
	return RES_OK;
}

static enum res lst_open_doc(struct lst_docs *s, size_t d, struct js_node *root,
			     struct err *e)
{
	static const char *const keys[] = {"plans", "customers", NULL};

	if (js_get_root(s->docs[d], root, e) || js_check_keys(root, keys, e) ||
	    js_get_array(root, "plans", &s->plans[d], LST_MAX_PLANS,
			 &s->nplans[d], e) ||
	    js_get_array(root, "customers", &s->customers[d], LST_MAX_CUSTOMERS,
			 &s->ncustomers[d], e))
		return RES_BAD_LIST;
	return RES_OK;
}

static enum res lst_open_docs(struct lst_docs *s, struct err *e)
{
	struct js_node root[LST_MAX_DOCS];
	bool plans = false;
	bool customers = false;

	for (size_t d = 0; d < s->n; d++) {
		if (lst_open_doc(s, d, &root[d], e))
			return RES_BAD_LIST;
		plans |= js_has_key(&root[d], "plans");
		customers |= js_has_key(&root[d], "customers");
	}
	if (!plans)
		return js_require_key(&root[0], "plans", e);
	if (!customers)
		return js_require_key(&root[s->n - 1], "customers", e);
	if (s->nplans[0] + s->nplans[1] > LST_MAX_PLANS ||
	    s->ncustomers[0] + s->ncustomers[1] > LST_MAX_CUSTOMERS)
		return js_fail_key(&root[1], NULL, e,
				   "too many entries in both files together, "
				   "expected at most %d plans and %d customers",
				   LST_MAX_PLANS, LST_MAX_CUSTOMERS);
	return RES_OK;
}

static struct lists *lst_parse_docs(struct lst_docs *s, struct err *e)
{
	struct lists *l;

	if (sodium_init() < 0) {
		err_set(e, RES_INTERNAL, "libsodium could not be initialised");
		return NULL;
	}
	if (lst_open_docs(s, e))
		return NULL;
	l = lst_alloc_zeroed(1, sizeof(*l));
	l->ref_count = 1;
	if (!lst_parse_plans(l, s, e) && !lst_parse_customers(l, s, e))
		return l;
	lst_unref(l);
	return NULL;
}

struct lists *lst_parse(const char *text, size_t len, int64_t version,
			struct err *e)
{
	struct lst_docs s = {.n = 1};
	struct lists *l;

	s.docs[0] = js_parse("lists", text, len, e);
	if (!s.docs[0])
		return NULL;
	l = lst_parse_docs(&s, e);
	js_free_doc(s.docs[0]);
	if (!l)
		return NULL;
	l->version = version;
	l->text = lst_alloc_zeroed(len + 1, 1);
	memcpy(l->text, text, len);
	l->len = len;
	lst_digest(text, len, l->digest);
	return l;
}

char *lst_merge_texts(const char *first, const char *first_name,
		      const char *second, const char *second_name,
		      struct err *e)
{
	struct lst_docs s = {.n = second ? 2 : 1};
	struct lists *l = NULL;
	struct buf out = BUF_INIT;
	char *text;

	s.docs[0] = js_parse(first_name, first, strlen(first), e);
	if (second && s.docs[0])
		s.docs[1] = js_parse(second_name, second, strlen(second), e);
	if (s.docs[0] && (!second || s.docs[1]))
		l = lst_parse_docs(&s, e);
	js_free_doc(s.docs[0]);
	js_free_doc(s.docs[1]);
	if (!l)
		return NULL;
	lst_append_canonical(l, &out);
	lst_unref(l);
	text = strdup(buf_str(&out));
	buf_free(&out);
	return text;
}

struct lists *lst_ref(struct lists *l)
{
	l->ref_count++;
	return l;
}

void lst_unref(struct lists *l)
{
	if (!l || --l->ref_count)
		return;
	free(l->text);
	free(l->plans);
	free(l->customers);
	free(l);
}

const struct customer *lst_find_customer(const struct lists *l,
					 const char *name)
{
	struct customer key = {0};

	if (strlen(name) >= sizeof(key.name))
		return NULL;
	strcpy(key.name, name);
	return bsearch(&key, l->customers, (size_t)l->ncustomers,
		       sizeof(*l->customers), lst_compare_customers);
}

const struct plan *lst_customer_plan(const struct lists *l,
				     const struct customer *c)
{
	return &l->plans[c->plan_index];
}

void lst_digest(const char *text, size_t len, char *out)
{
	snprintf(out, ID_LEN, "%016" PRIx64, (uint64_t)XXH3_64bits(text, len));
}

/*
 * Uses the minimum limits of libsodium: a proxy has one thread, which serves
 * all callers, and a more costly hash would block them at each login. The hash
 * is therefore weak against guessing, and passwords of customers should be long
 * random strings.
 */
enum res lst_hash_password(const char *password, char *out, struct err *e)
{
	if (sodium_init() < 0)
		return err_set(e, RES_INTERNAL,
			       "libsodium could not be initialised");
	if (crypto_pwhash_str(out, password, strlen(password),
			      crypto_pwhash_OPSLIMIT_MIN,
			      crypto_pwhash_MEMLIMIT_MIN))
		return err_set(e, RES_INTERNAL,
			       "out of memory for the password hash");
	return RES_OK;
}

bool lst_check_password(const struct customer *c, const char *password)
{
	return crypto_pwhash_str_verify(c->password_hash, password,
					strlen(password)) == 0;
}

_Static_assert(LST_HASH_LEN >= crypto_pwhash_STRBYTES,
	       "LST_HASH_LEN is shorter than a hash of libsodium");
