#include "view.h"
#include "table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/* Where a record is, sorted by id: a view of the target size holds thousands
 * of records, which are looked up for each statement. */
struct view_key {
	char id[ID_LEN];
	size_t at;
};

struct view_keys {
	struct view_key *keys;
	size_t n;
};

struct view_owned {
	const char *id;
	uint64_t epoch;
};

struct view {
	char self[ID_LEN];
	char zone[ID_LEN];
	struct lists *lists;
	int64_t version;
	clk_ms lease_until;
	struct group_info *groups;
	bool *changing; /* by index of groups */
	size_t ngroups;
	struct view_keys group_keys;
	struct backend_info *backends;
	size_t nbackends;
	struct view_keys backend_keys;
	struct proxy_info *proxies;
	bool *down; /* by index of proxies: the link is broken */
	size_t nproxies;
	struct view_keys proxy_keys;

	/* Owners that were looked up since the proxies last changed, by index
	 * of backends: a lookup hashes with every proxy, and each statement
	 * needs one. */
	struct view_owned *owned;
	uint64_t epoch;
};

struct view *view_new(const char *self_id, const char *self_zone)
{
	struct view *v = calloc(1, sizeof(*v));

	if (!v)
		abort();
	v->epoch = 1;
	snprintf(v->self, sizeof(v->self), "%s", self_id);
	snprintf(v->zone, sizeof(v->zone), "%s", self_zone);
	return v;
}

void view_free(struct view *v)
{
	if (!v)
		return;
	for (size_t i = 0; i < v->ngroups; i++)
		free(v->groups[i].starts);
	free(v->groups);
	free(v->changing);
	free(v->backends);
	free(v->proxies);
	free(v->down);
	free(v->owned);
	free(v->group_keys.keys);
	free(v->backend_keys.keys);
	free(v->proxy_keys.keys);
	lst_unref(v->lists);
	free(v);
}

static void *view_grow(void *array, size_t n, size_t size)
{
	char *grown = realloc(array, (n + 1) * size);

	if (!grown)
		abort();
	memset(grown + n * size, 0, size);
	return grown;
}

static const struct view_key *key_find(const struct view_keys *k,
				       const char *id)
{
	return tab_find(k->keys, k->n, sizeof(*k->keys), id);
}

static void key_add(struct view_keys *k, const char *id, size_t at)
{
	void *base = k->keys;
	struct view_key *key = tab_insert(&base, &k->n, sizeof(*key), id);

	k->keys = base;
	key->at = at;
}

static struct group_info *group_find(const struct view *v, const char *name)
{
	const struct view_key *k = key_find(&v->group_keys, name);

	return k ? &v->groups[k->at] : NULL;
}

static struct backend_info *backend_find(const struct view *v, const char *id)
{
	const struct view_key *k = key_find(&v->backend_keys, id);

	return k ? &v->backends[k->at] : NULL;
}

static struct proxy_info *proxy_find(const struct view *v, const char *id)
{
	const struct view_key *k = key_find(&v->proxy_keys, id);

	return k ? &v->proxies[k->at] : NULL;
}

static struct group_info *group_add(struct view *v, const char *name)
{
	key_add(&v->group_keys, name, v->ngroups);
	v->groups = view_grow(v->groups, v->ngroups, sizeof(*v->groups));
	v->changing = view_grow(v->changing, v->ngroups, sizeof(*v->changing));
	return &v->groups[v->ngroups++];
}

static bool group_take(struct view *v, const struct group_info *in)
{
	struct group_info *g = group_find(v, in->name);
	size_t size = (size_t)in->nstarts * sizeof(*in->starts);

	if (g && g->version >= in->version)
		return false;
	if (!g)
		g = group_add(v, in->name);
	free(g->starts);
	*g = *in;
	g->starts = malloc(size ? size : 1);
	if (!g->starts)
		abort();
	if (size)
		memcpy(g->starts, in->starts, size);
	return true;
}

static bool backend_take(struct view *v, const struct backend_info *in)
{
	struct backend_info *b = backend_find(v, in->id);

	if (b && b->version >= in->version)
		return false;
	if (!b) {
		key_add(&v->backend_keys, in->id, v->nbackends);
		v->backends = view_grow(v->backends, v->nbackends,
					sizeof(*v->backends));
		v->owned = view_grow(v->owned, v->nbackends, sizeof(*v->owned));
		b = &v->backends[v->nbackends++];
	}
	v->owned[b - v->backends].epoch = 0;
	*b = *in;
	return true;
}

static bool proxy_take(struct view *v, const struct proxy_info *in)
{
	struct proxy_info *p = proxy_find(v, in->id);

	if (p && p->version >= in->version)
		return false;
	if (!p) {
		key_add(&v->proxy_keys, in->id, v->nproxies);
		v->proxies =
			view_grow(v->proxies, v->nproxies, sizeof(*v->proxies));
		v->down = view_grow(v->down, v->nproxies, sizeof(*v->down));
		p = &v->proxies[v->nproxies++];
	}
	v->epoch++;
	*p = *in;
	return true;
}

static bool view_take_records(struct view *v, const struct msg_answer *a)
{
	bool changed = false;

	for (int64_t i = 0; i < a->ngroups; i++)
		changed |= group_take(v, &a->groups[i]);
	for (int64_t i = 0; i < a->nbackends; i++)
		changed |= backend_take(v, &a->backends[i]);
	for (int64_t i = 0; i < a->nproxies; i++)
		changed |= proxy_take(v, &a->proxies[i]);
	if (a->view_version > v->version)
		v->version = a->view_version;
	return changed;
}

static void view_take_changing(struct view *v, const struct msg_answer *a)
{
	for (size_t g = 0; g < v->ngroups; g++) {
		v->changing[g] = false;
		for (int64_t i = 0; i < a->nchanging; i++)
			if (!strcmp(v->groups[g].name, a->changing[i].text))
				v->changing[g] = true;
	}
}

static void view_take_cfg(struct view *v, const struct msg_answer *a)
{
	struct lists *l;

	if (!a->cfg.len)
		return;
	l = lst_parse(a->cfg.data, a->cfg.len, a->cfg_version, NULL);
	if (!l)
		return;
	view_take_lists(v, l);
	lst_unref(l);
}

bool view_take(struct view *v, const struct msg_answer *a, clk_ms asked)
{
	bool changed;

	if (a->res)
		return false;
	changed = view_take_records(v, a);
	/*
	 * An answer to an earlier ask that was overtaken must not change which
	 * groups the newer lease covers.
	 */
	if (a->lease_ms && asked + a->lease_ms >= v->lease_until) {
		v->lease_until = asked + a->lease_ms;
		view_take_changing(v, a);
	}
	view_take_cfg(v, a);
	return changed;
}

bool view_take_lists(struct view *v, struct lists *l)
{
	if (v->lists && v->lists->version >= l->version)
		return false;
	lst_unref(v->lists);
	v->lists = lst_ref(l);
	return true;
}

struct lists *view_lists(const struct view *v)
{
	return v->lists;
}

int64_t view_version(const struct view *v)
{
	return v->version;
}

const struct group_info *view_group(const struct view *v, const char *name)
{
	return group_find(v, name);
}

const struct backend_info *view_backend(const struct view *v, const char *id)
{
	return backend_find(v, id);
}

const struct proxy_info *view_proxy(const struct view *v, const char *id)
{
	return proxy_find(v, id);
}

const struct group_info *view_groups(const struct view *v, size_t *n)
{
	*n = v->ngroups;
	return v->groups;
}

const struct backend_info *view_backends(const struct view *v, size_t *n)
{
	*n = v->nbackends;
	return v->backends;
}

const struct proxy_info *view_proxies(const struct view *v, size_t *n)
{
	*n = v->nproxies;
	return v->proxies;
}

bool view_lease_valid(const struct view *v, const char *group, int64_t term,
		      clk_ms now)
{
	const struct group_info *g = group_find(v, group);

	if (!g || g->term != term || term == 0 || now >= v->lease_until)
		return false;
	return !v->changing[g - v->groups];
}

void view_mark_link(struct view *v, const char *proxy, bool up)
{
	const struct proxy_info *p = proxy_find(v, proxy);

	if (!p || v->down[p - v->proxies] == !up)
		return;
	v->down[p - v->proxies] = !up;
	v->epoch++;
}

static uint64_t view_weight(const char *backend, const char *proxy)
{
	return XXH3_64bits_withSeed(backend, strlen(backend),
				    XXH3_64bits(proxy, strlen(proxy)));
}

static bool view_usable(const struct view *v, size_t i)
{
	if (!strcmp(v->proxies[i].id, v->self))
		return true;
	return v->proxies[i].alive && !v->down[i];
}

static const char *view_highest(const struct view *v,
				const struct backend_info *b, const char *zone)
{
	const char *best = NULL;
	uint64_t best_weight = 0;

	for (size_t i = 0; i < v->nproxies; i++) {
		const struct proxy_info *p = &v->proxies[i];
		uint64_t w;

		if (!view_usable(v, i) || (zone && strcmp(p->zone, zone)))
			continue;
		w = view_weight(b->id, p->id);
		if (!best || w > best_weight) {
			best = p->id;
			best_weight = w;
		}
	}
	return best;
}

static const char *view_find_owner(const struct view *v,
				   const struct backend_info *b)
{
	const char *id = view_highest(v, b, b->zone);

	if (!id)
		id = view_highest(v, b, NULL);
	return id ? id : v->self;
}

const char *view_owner(const struct view *v, const struct backend_info *b)
{
	const struct view_key *k = key_find(&v->backend_keys, b->id);
	struct view_owned *o = k ? &v->owned[k->at] : NULL;

	if (!o)
		return view_find_owner(v, b);
	if (o->epoch != v->epoch) {
		o->id = view_find_owner(v, b);
		o->epoch = v->epoch;
	}
	return o->id;
}
