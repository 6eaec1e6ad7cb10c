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
	free(r);
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

void rt_sort(struct route_table *r)
{
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

void rt_encode(const struct route_table *r, struct buf *out, int64_t *size)
{
	struct msg m = {.type = MSG_ROUTES};
	struct buf plain = BUF_INIT;

	m.u.routes = (struct msg_routes){.version = r->version,
					 .txn_idle_ms = r->txn_idle_ms,
					 .databases = r->databases,
					 .ndatabases = r->ndatabases,
					 .groups = r->groups,
					 .ngroups = r->ngroups};
	msg_encode(&m, &plain);
	*size = (int64_t)buf_len(&plain);
	compress_text(buf_data(&plain), buf_len(&plain), out);
	buf_free(&plain);
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
	else
		err_set(e, RES_CORRUPT, "%s in place of routes",
			msg_name(m.type));
	msg_free(&m);
	buf_free(&plain);
	return r;
}
