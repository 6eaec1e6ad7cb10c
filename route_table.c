#include "route_table.h"

#include "msg.h"
#include "compress.h"

#include <stdlib.h>
#include <string.h>

struct route_table *rt_new(void)
{
	struct route_table *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->refs = 1;
	return r;
}

struct route_table *rt_ref(struct route_table *r)
{
	if (r)
		r->refs++;
	return r;
}

void rt_unref(struct route_table *r)
{
	if (!r || --r->refs > 0)
		return;
	free(r->databases);
	free(r->groups);
	free(r->tenants);
	free(r->api_keys);
	free(r);
}

/* Copies an array of n entries; returns NULL if n is 0. */
static void *rt_copy_array(const void *list, int64_t n, size_t entry)
{
	void *copy = n ? malloc((size_t)n * entry) : NULL;

	if (n && !copy)
		abort();
	if (n)
		memcpy(copy, list, (size_t)n * entry);
	return copy;
}

static int rt_compare_databases(const void *a, const void *b)
{
	const struct rt_database *x = a;
	const struct rt_database *y = b;

	return strcmp(x->name, y->name);
}

static int rt_compare_groups(const void *a, const void *b)
{
	const struct rt_group *x = a;
	const struct rt_group *y = b;

	return strcmp(x->name, y->name);
}

static int rt_compare_tenants(const void *a, const void *b)
{
	const struct rt_tenant *x = a;
	const struct rt_tenant *y = b;

	return strcmp(x->name, y->name);
}

static int rt_compare_keys(const void *a, const void *b)
{
	const struct rt_api_key *x = a;
	const struct rt_api_key *y = b;

	return strcmp(x->hash, y->hash);
}

/* Sorts the tenants, and has the keys refer to their new places. */
static void rt_sort_tenants(struct route_table *r)
{
	struct rt_tenant *before =
		rt_copy_array(r->tenants, r->ntenants, sizeof(*before));

	if (r->ntenants)
		qsort(r->tenants, (size_t)r->ntenants, sizeof(*r->tenants),
		      rt_compare_tenants);
	for (int64_t i = 0; i < r->napi_keys; i++) {
		struct rt_api_key *k = &r->api_keys[i];

		k->tenant =
			rt_find_tenant(r, before[k->tenant].name) - r->tenants;
	}
	free(before);
	if (r->napi_keys)
		qsort(r->api_keys, (size_t)r->napi_keys, sizeof(*r->api_keys),
		      rt_compare_keys);
}

void rt_sort(struct route_table *r)
{
	rt_sort_tenants(r);
	if (r->ngroups)
		qsort(r->groups, (size_t)r->ngroups, sizeof(*r->groups),
		      rt_compare_groups);
	if (r->ndatabases)
		qsort(r->databases, (size_t)r->ndatabases,
		      sizeof(*r->databases), rt_compare_databases);
}

static int rt_compare_database_name(const void *name, const void *entry)
{
	const struct rt_database *d = entry;

	return strcmp(name, d->name);
}

const struct rt_database *rt_find_database(const struct route_table *r,
					   const char *name)
{
	if (!r || !r->ndatabases)
		return NULL;
	return bsearch(name, r->databases, (size_t)r->ndatabases,
		       sizeof(*r->databases), rt_compare_database_name);
}

static int rt_compare_group_name(const void *name, const void *entry)
{
	const struct rt_group *g = entry;

	return strcmp(name, g->name);
}

const struct rt_group *rt_find_group(const struct route_table *r,
				     const char *name)
{
	if (!r || !r->ngroups)
		return NULL;
	return bsearch(name, r->groups, (size_t)r->ngroups, sizeof(*r->groups),
		       rt_compare_group_name);
}

static int rt_compare_tenant_name(const void *name, const void *entry)
{
	const struct rt_tenant *t = entry;

	return strcmp(name, t->name);
}

const struct rt_tenant *rt_find_tenant(const struct route_table *r,
				       const char *name)
{
	if (!r || !r->ntenants)
		return NULL;
	return bsearch(name, r->tenants, (size_t)r->ntenants,
		       sizeof(*r->tenants), rt_compare_tenant_name);
}

static int rt_compare_key_hash(const void *hash, const void *entry)
{
	const struct rt_api_key *k = entry;

	return strcmp(hash, k->hash);
}

const struct rt_tenant *rt_find_key(const struct route_table *r,
				    const char *hash)
{
	const struct rt_api_key *k;

	if (!r || !r->napi_keys)
		return NULL;
	k = bsearch(hash, r->api_keys, (size_t)r->napi_keys,
		    sizeof(*r->api_keys), rt_compare_key_hash);
	return k ? &r->tenants[k->tenant] : NULL;
}

void rt_encode(const struct route_table *r, struct buf *out, int64_t *size)
{
	struct msg m = {.type = MSG_ROUTES};
	struct buf plain = BUF_INIT;

	m.u.routes = (struct msg_routes){.version = r->version,
					 .txn_idle_ms = r->txn_idle_ms,
					 .databases = r->databases,
					 .ndatabases = r->ndatabases,
					 .groups = r->groups,
					 .ngroups = r->ngroups,
					 .has_tenants = r->has_tenants,
					 .tenants = r->tenants,
					 .ntenants = r->ntenants,
					 .api_keys = r->api_keys,
					 .napi_keys = r->napi_keys};
	msg_encode(&m, &plain);
	*size = (int64_t)buf_len(&plain);
	compress_text(buf_data(&plain), buf_len(&plain), out);
	buf_free(&plain);
}

static struct route_table *rt_refuse(struct route_table *r)
{
	rt_unref(r);
	return NULL;
}

/* Returns NULL if a key belongs to no tenant. */
static struct route_table *rt_from_message(const struct msg_routes *m)
{
	struct route_table *r = rt_new();

	r->version = m->version;
	r->txn_idle_ms = m->txn_idle_ms;
	r->ndatabases = m->ndatabases;
	r->databases = rt_copy_array(m->databases, m->ndatabases,
				     sizeof(*r->databases));
	r->ngroups = m->ngroups;
	r->groups = rt_copy_array(m->groups, m->ngroups, sizeof(*r->groups));
	r->has_tenants = m->has_tenants;
	r->ntenants = m->ntenants;
	r->tenants =
		rt_copy_array(m->tenants, m->ntenants, sizeof(*r->tenants));
	for (int64_t i = 0; i < m->napi_keys; i++)
		if (m->api_keys[i].tenant < 0 ||
		    m->api_keys[i].tenant >= m->ntenants)
			return rt_refuse(r);
	r->napi_keys = m->napi_keys;
	r->api_keys =
		rt_copy_array(m->api_keys, m->napi_keys, sizeof(*r->api_keys));
	return r;
}

struct route_table *rt_decode(const struct blob *packed, int64_t size,
			      struct err *e)
{
	struct buf plain = BUF_INIT;
	struct route_table *r = NULL;
	struct msg m;

	if (decompress_text(packed, (size_t)size, &plain, e) ||
	    msg_decode(&m, buf_data(&plain), buf_len(&plain), e)) {
		buf_free(&plain);
		return NULL;
	}
	if (m.type == MSG_ROUTES)
		r = rt_from_message(&m.u.routes);
	if (!r)
		err_set(e, RES_CORRUPT, "%s in place of valid routes",
			msg_name(m.type));
	msg_free(&m);
	buf_free(&plain);
	return r;
}
