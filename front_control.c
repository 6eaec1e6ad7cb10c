#include "front_priv.h"

#include "counter.h"
#include "log.h"
#include "relay.h"
#include "settings.h"
#include "state.h"
#include "view.h"
#include "id_array.h"

#include <stdlib.h>
#include <string.h>

struct front_group *front_find_group(struct front_server *f, const char *name)
{
	struct front_group *g =
		id_array_find(f->groups, f->ngroups, sizeof(*g), name);

	if (g)
		return g;
	return id_array_insert((void **)&f->groups, &f->ngroups, sizeof(*g),
			       name);
}

static int front_compare_proxies(const void *a, const void *b)
{
	const struct proxy_info *x = a;
	const struct proxy_info *y = b;

	return strcmp(x->id, y->id);
}

/* Returns the number of proxies in the largest zone. */
static int front_largest_zone(const struct front_server *f)
{
	int largest = 0;

	for (size_t i = 0; i < f->nlist; i++) {
		int n = 0;

		for (size_t j = 0; j < f->nlist; j++)
			n += !strcmp(f->proxy_list[i].zone,
				     f->proxy_list[j].zone);
		if (n > largest)
			largest = n;
	}
	return largest;
}

static void front_assign_slices(struct front_server *f)
{
	int slices = front_count_slices(f, front_largest_zone(f));

	if (slices != f->slice_count)
		log_info("front", "event=slices count=%d proxies=%d", slices,
			 f->proxies);
	f->slice_count = slices;
	relay_take_proxies(f->relay, f->proxy_list, f->nlist, slices);
	front_assign_shares(f);
}

static bool front_knows_proxies(const struct front_server *f,
				const struct proxy_info *sorted, size_t n)
{
	if (n != f->nlist)
		return false;
	for (size_t i = 0; i < n; i++)
		if (strcmp(f->proxy_list[i].id, sorted[i].id) != 0 ||
		    !state_same_proxy(&f->proxy_list[i], &sorted[i]))
			return false;
	return true;
}

/* Called for each change of the view; most of them concern other records. */
void front_take_proxies(struct front_server *f, const struct proxy_info *list,
			size_t n)
{
	struct proxy_info *sorted = malloc((n + 1) * sizeof(*sorted));

	if (!sorted)
		abort();
	if (n)
		memcpy(sorted, list, n * sizeof(*sorted));
	qsort(sorted, n, sizeof(*sorted), front_compare_proxies);
	if (front_knows_proxies(f, sorted, n)) {
		free(sorted);
		return;
	}
	/* Proxies that are down count, too: they need their share when they are
	 * back. */
	f->proxies = (int)n;
	f->zone_proxies = 0;
	for (size_t i = 0; i < n; i++)
		f->zone_proxies += !strcmp(list[i].zone, f->set->zone);
	free(f->proxy_list);
	f->proxy_list = sorted;
	f->nlist = n;
	front_assign_slices(f);
}

void front_take_routes(struct front_server *f, struct route_table *r)
{
	if (f->routes && f->routes->version >= r->version)
		return;
	rt_unref(f->routes);
	f->routes = rt_ref(r);
	akey_on_config(&f->key_lease, r->version);
	front_end_withdrawn(f, clk_now());
	front_assign_slices(f);
	front_cap_take_routes(f);
}

const struct route_table *front_routes(const struct front_server *f)
{
	return f->routes;
}

/* Lists the members of each group, so that a statement does not search all
 * members. */
static void front_collect_members(struct front_server *f)
{
	struct db_member **list;
	size_t n = db_members(f->db, &list);

	for (size_t i = 0; i < f->ngroups; i++)
		f->groups[i].nmembers = 0;
	for (size_t i = 0; i < n; i++) {
		struct front_group *g =
			front_find_group(f, list[i]->info.group);

		g->members = realloc(g->members,
				     (g->nmembers + 1) * sizeof(*g->members));
		if (!g->members)
			abort();
		g->members[g->nmembers++] = list[i];
	}
}

void front_take_backends(struct front_server *f,
			 const struct backend_info *list, size_t n)
{
	db_update(f->db, list, n);
	front_collect_members(f);
	front_assign_shares(f);
}

void front_take_groups(struct front_server *f, const struct group_info *list,
		       size_t n)
{
	bool changed = false;

	for (size_t i = 0; i < n; i++) {
		struct front_group *g = front_find_group(f, list[i].name);

		g->term = list[i].term;
		if (!strcmp(g->primary, list[i].primary))
			continue;
		changed = true;
		log_info("front",
			 "event=primary group=%s member=%s term=%lld before=%s",
			 g->name, list[i].primary, (long long)list[i].term,
			 g->primary);
		memcpy(g->primary, list[i].primary, ID_LEN);
	}
	if (changed)
		front_assign_shares(f);
}

void front_take_leases(struct front_server *f, const struct view *v)
{
	for (size_t i = 0; i < f->ngroups; i++) {
		struct front_group *g = &f->groups[i];

		g->lease_until = view_lease_until(v, g->name);
		if (f->set->promoter_deposes)
			continue;
		for (size_t j = 0; j < g->nmembers; j++)
			g->members[j]->lease_until = 0;
		if (front_primary(g))
			front_primary(g)->lease_until = g->lease_until;
	}
}

int64_t front_suspected_primaries(struct front_server *f,
				  struct suspect_report *out, int64_t max,
				  clk_ms now)
{
	int64_t n = 0;

	for (size_t i = 0; i < f->ngroups && n < max; i++) {
		struct front_group *g = &f->groups[i];
		const struct db_member *m = front_primary(g);

		if (!m || (!db_is_unresponsive(m, now) && !m->down &&
			   !db_is_failing(m, now)))
			continue;
		memset(&out[n], 0, sizeof(out[n]));
		memcpy(out[n].group, g->name, ID_LEN);
		memcpy(out[n].backend, m->info.id, ID_LEN);
		out[n].reason = SUSPECT_UNREACHABLE;
		n++;
	}
	return n;
}

int64_t front_own_samples(const struct front_server *f, struct pos_sample *out,
			  int64_t max)
{
	int64_t n = 0;

	for (size_t i = 0; i < f->ngroups && n < max; i++) {
		const struct freshness_samples *fresh = &f->groups[i].fresh;
		const struct freshness_sample *s;

		if (!fresh->n)
			continue;
		s = &fresh->samples[fresh->n - 1];
		if (s->sent <= fresh->newest_remote)
			continue;
		memset(&out[n], 0, sizeof(out[n]));
		memcpy(out[n].group, f->groups[i].name, ID_LEN);
		out[n].term = s->pos.term;
		out[n].number = s->pos.number;
		out[n].sent_at_leader_ms = s->sent;
		n++;
	}
	return n;
}

void front_ask_early(struct front_server *f, clk_ms now)
{
	if (f->early_asks >= FRONT_EARLY_ASKS_MAX ||
	    now - f->early_ask_at < FRONT_EARLY_ASK_MS)
		return;
	f->early_asks++;
	f->early_ask_at = now;
	f->on_urgent(f->arg);
}

/* True if reads of the group may soon find no position that is young enough. A
 * new one is some hundred ms old when it comes, so it is asked for when the one
 * at hand has half of the allowed age. */
static bool front_group_needs_pos(const struct front_group *g, clk_ms now)
{
	const struct freshness_samples *f = g ? &g->fresh : NULL;

	return g && g->pos_needed_at &&
	       now - g->pos_needed_at < FRONT_GROUP_READ_MS &&
	       (!f->n || now - f->samples[f->n - 1].sent > g->min_age_ms / 2);
}

void front_put_wanted_groups(const struct front_server *f, struct buf *out,
			     clk_ms now)
{
	size_t n = f->routes ? (size_t)f->routes->ngroups : 0;

	for (size_t i = 0; i < n; i += 8) {
		char bits = 0;

		for (size_t j = i; j < n && j < i + 8; j++) {
			const struct front_group *g =
				id_array_find(f->groups, f->ngroups, sizeof(*g),
					      f->routes->groups[j].name);

			if (front_group_needs_pos(g, now))
				bits |= (char)(1 << (j - i));
		}
		buf_add(out, &bits, 1);
	}
}

void front_check_sample(const struct front_group *g, const char *from,
			const struct freshness_sample *s)
{
	const struct freshness_sample *last;

	if (!frs_contradicts(&g->fresh, s))
		return;
	last = &g->fresh.samples[g->fresh.n - 1];
	cnt_add(CNT_positions_contradicted, 1);
	log_warn("front",
		 "event=position_contradicted group=%s from=%s pos=%lld.%lld "
		 "known=%lld.%lld known_remote=%d sent_after_ms=%lld",
		 g->name, from, (long long)s->pos.term,
		 (long long)s->pos.number, (long long)last->pos.term,
		 (long long)last->pos.number, last->remote,
		 (long long)(s->sent - last->received));
}

void front_take_sample(struct front_server *f, const struct pos_sample *s)
{
	struct front_group *g = front_find_group(f, s->group);
	struct freshness_sample sample = {
		.sent = s->sent_at_leader_ms,
		.received = clk_now(),
		.pos = {.term = s->term, .number = s->number},
		.remote = true};

	front_check_sample(g, "control", &sample);
	frs_add_sample(&g->fresh, &sample);
}
