#include "view.h"
#include "id_array.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

/*
 * Entry of an index from the id of a record to its position in the array. The
 * index is sorted by id, since each statement looks records up and a view of
 * the target size holds thousands of them.
 */
struct view_index_entry {
	char id[ID_LEN];
	size_t position;
};

struct view_index {
	struct view_index_entry *entries;
	size_t n;
};

/* Cached result of view_backend_owner(). */
struct view_cached_owner {
	const char *id; /* of the proxy that owns the backend */
	uint64_t epoch; /* valid if equal to that of the view */
};

struct view {
	char self_id[ID_LEN];
	char self_zone[ID_LEN];
	struct lists *lists;
	int64_t version; /* see view_version() */
	clk_ms lease_expires_at;
	struct group_info *groups;
	bool *uncovered; /* not covered by the lease; by index of groups */
	size_t ngroups;
	struct view_index group_index;
	struct backend_info *backends;
	size_t nbackends;
	struct view_index backend_index;
	struct proxy_info *proxies;
	bool *unreachable; /* the link is down; by index of proxies */
	size_t nproxies;
	struct view_index proxy_index;

	/*
	 * Cached owners, by index of backends, valid until the proxies change:
	 * each statement needs an owner, and finding it computes a hash for
	 * each proxy.
	 */
	struct view_cached_owner *owner_cache;
	uint64_t owner_epoch; /* raised when a proxy changes */
};

struct view *view_new(const char *self_id, const char *self_zone)
{
	struct view *v = calloc(1, sizeof(*v));

	if (!v)
		abort();
	v->owner_epoch = 1;
	snprintf(v->self_id, sizeof(v->self_id), "%s", self_id);
	snprintf(v->self_zone, sizeof(v->self_zone), "%s", self_zone);
	return v;
}

void view_free(struct view *v)
{
	if (!v)
		return;
	for (size_t i = 0; i < v->ngroups; i++)
		free(v->groups[i].term_starts);
	free(v->groups);
	free(v->uncovered);
	free(v->backends);
	free(v->proxies);
	free(v->unreachable);
	free(v->owner_cache);
	free(v->group_index.entries);
	free(v->backend_index.entries);
	free(v->proxy_index.entries);
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

static const struct view_index_entry *index_find(const struct view_index *k,
						 const char *id)
{
	return id_array_find(k->entries, k->n, sizeof(*k->entries), id);
}

static void index_add(struct view_index *k, const char *id, size_t at)
{
	void *base = k->entries;
	struct view_index_entry *key =
		id_array_insert(&base, &k->n, sizeof(*key), id);

	k->entries = base;
	key->position = at;
}

static struct group_info *group_find(const struct view *v, const char *name)
{
	const struct view_index_entry *k = index_find(&v->group_index, name);

	return k ? &v->groups[k->position] : NULL;
}

static struct backend_info *backend_find(const struct view *v, const char *id)
{
	const struct view_index_entry *k = index_find(&v->backend_index, id);

	return k ? &v->backends[k->position] : NULL;
}

static struct proxy_info *proxy_find(const struct view *v, const char *id)
{
	const struct view_index_entry *k = index_find(&v->proxy_index, id);

	return k ? &v->proxies[k->position] : NULL;
}

static struct group_info *group_add(struct view *v, const char *name)
{
	index_add(&v->group_index, name, v->ngroups);
	v->groups = view_grow(v->groups, v->ngroups, sizeof(*v->groups));
	v->uncovered =
		view_grow(v->uncovered, v->ngroups, sizeof(*v->uncovered));
	return &v->groups[v->ngroups++];
}

static bool group_apply(struct view *v, const struct group_info *in)
{
	struct group_info *g = group_find(v, in->name);
	size_t size = (size_t)in->nterm_starts * sizeof(*in->term_starts);

	if (g && g->version >= in->version)
		return false;
	if (!g)
		g = group_add(v, in->name);
	/* The lease was granted for the group's records at that time; it covers
	 * this one unless the primary is being changed. */
	v->uncovered[g - v->groups] = in->changing_primary;
	free(g->term_starts);
	*g = *in;
	g->term_starts = malloc(size ? size : 1);
	if (!g->term_starts)
		abort();
	if (size)
		memcpy(g->term_starts, in->term_starts, size);
	return true;
}

static bool backend_apply(struct view *v, const struct backend_info *in)
{
	struct backend_info *b = backend_find(v, in->id);

	if (b && b->version >= in->version)
		return false;
	if (!b) {
		index_add(&v->backend_index, in->id, v->nbackends);
		v->backends = view_grow(v->backends, v->nbackends,
					sizeof(*v->backends));
		v->owner_cache = view_grow(v->owner_cache, v->nbackends,
					   sizeof(*v->owner_cache));
		b = &v->backends[v->nbackends++];
	}
	v->owner_cache[b - v->backends].epoch = 0;
	*b = *in;
	return true;
}

static bool proxy_apply(struct view *v, const struct proxy_info *in)
{
	struct proxy_info *p = proxy_find(v, in->id);

	if (p && p->version >= in->version)
		return false;
	if (!p) {
		index_add(&v->proxy_index, in->id, v->nproxies);
		v->proxies =
			view_grow(v->proxies, v->nproxies, sizeof(*v->proxies));
		v->unreachable = view_grow(v->unreachable, v->nproxies,
					   sizeof(*v->unreachable));
		p = &v->proxies[v->nproxies++];
	}
	v->owner_epoch++;
	*p = *in;
	return true;
}

static bool view_apply_records(struct view *v, const struct msg_answer *a)
{
	bool changed = false;

	for (int64_t i = 0; i < a->ngroups; i++)
		changed |= group_apply(v, &a->groups[i]);
	for (int64_t i = 0; i < a->nbackends; i++)
		changed |= backend_apply(v, &a->backends[i]);
	for (int64_t i = 0; i < a->nproxies; i++)
		changed |= proxy_apply(v, &a->proxies[i]);
	if (a->view_version > v->version)
		v->version = a->view_version;
	return changed;
}

static void view_apply_uncovered(struct view *v, const struct msg_answer *a)
{
	for (size_t g = 0; g < v->ngroups; g++) {
		/* An earlier leader may have answered before it knew of a
		 * change that is recorded here already. */
		v->uncovered[g] = v->groups[g].changing_primary;
		for (int64_t i = 0; i < a->nchanging_groups; i++)
			if (!strcmp(v->groups[g].name,
				    a->changing_groups[i].text))
				v->uncovered[g] = true;
	}
}

static void view_apply_lists(struct view *v, const struct msg_answer *a)
{
	struct lists *l;

	if (!a->lists_text.len)
		return;
	l = lst_parse(a->lists_text.data, a->lists_text.len,
		      a->current_lists_version, NULL);
	if (!l)
		return;
	view_set_lists(v, l);
	lst_unref(l);
}

bool view_apply_answer(struct view *v, const struct msg_answer *a,
		       clk_ms ask_sent_at)
{
	bool changed;

	if (a->res)
		return false;
	changed = view_apply_records(v, a);
	/*
	 * An answer to an earlier ASK that arrives late must not change which
	 * groups the newer lease covers.
	 */
	if (a->lease_ms && ask_sent_at + a->lease_ms >= v->lease_expires_at) {
		v->lease_expires_at = ask_sent_at + a->lease_ms;
		view_apply_uncovered(v, a);
	}
	view_apply_lists(v, a);
	return changed;
}

bool view_set_lists(struct view *v, struct lists *l)
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

	return g && g->term == term && term != 0 &&
	       now < view_lease_until(v, group);
}

clk_ms view_lease_until(const struct view *v, const char *group)
{
	const struct group_info *g = group_find(v, group);

	return g && !v->uncovered[g - v->groups] ? v->lease_expires_at : 0;
}

void view_extend_lease(struct view *v, clk_ms until)
{
	if (until > v->lease_expires_at)
		v->lease_expires_at = until;
}

clk_ms view_lease_expires_at(const struct view *v)
{
	return v->lease_expires_at;
}

void view_set_reachable(struct view *v, const char *proxy, bool up)
{
	const struct proxy_info *p = proxy_find(v, proxy);

	if (!p || v->unreachable[p - v->proxies] == !up)
		return;
	v->unreachable[p - v->proxies] = !up;
	v->owner_epoch++;
}

static uint64_t view_weight(const char *backend, const char *proxy)
{
	return XXH3_64bits_withSeed(backend, strlen(backend),
				    XXH3_64bits(proxy, strlen(proxy)));
}

static bool view_is_owner_candidate(const struct view *v, size_t i)
{
	if (!strcmp(v->proxies[i].id, v->self_id))
		return true;
	return v->proxies[i].alive && !v->unreachable[i];
}

static const char *view_highest_weight_proxy(const struct view *v,
					     const struct backend_info *b,
					     const char *zone)
{
	const char *best = NULL;
	uint64_t best_weight = 0;

	for (size_t i = 0; i < v->nproxies; i++) {
		const struct proxy_info *p = &v->proxies[i];
		uint64_t w;

		if (!view_is_owner_candidate(v, i) ||
		    (zone && strcmp(p->zone, zone)))
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
	const char *id = view_highest_weight_proxy(v, b, b->zone);

	if (!id)
		id = view_highest_weight_proxy(v, b, NULL);
	return id ? id : v->self_id;
}

const char *view_backend_owner(const struct view *v,
			       const struct backend_info *b)
{
	const struct view_index_entry *k = index_find(&v->backend_index, b->id);
	struct view_cached_owner *o = k ? &v->owner_cache[k->position] : NULL;

	if (!o)
		return view_find_owner(v, b);
	if (o->epoch != v->owner_epoch) {
		o->id = view_find_owner(v, b);
		o->epoch = v->owner_epoch;
	}
	return o->id;
}
