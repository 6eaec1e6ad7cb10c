#include "front_priv.h"

#include "settings.h"

#include <string.h>

struct db_member *front_primary(const struct front_group *g)
{
	for (size_t i = 0; i < g->nmembers; i++)
		if (!strcmp(g->members[i]->info.id, g->primary))
			return g->members[i]->in_roster ? g->members[i] : NULL;
	return NULL;
}

struct db_member *front_leased_primary(const struct front_group *g, clk_ms now)
{
	struct db_member *m = front_primary(g);

	return m && now < m->lease_until ? m : NULL;
}

bool front_commits_need_lease(const struct front_server *f,
			      const struct front_group *g)
{
	const struct rt_group *r =
		f->routes ? rt_find_group(f->routes, g->name) : NULL;

	return !f->set->promoter_deposes || (r && r->sync_replicas > 0);
}

static bool place_has_refused(const struct db_member *m,
			      const struct front_session *s)
{
	for (int i = 0; i < s->run.nrefused; i++)
		if (!strcmp(s->run.refused_by[i], m->info.id))
			return true;
	return false;
}

/* True if a read that was refused elsewhere could not end there in time. */
static bool place_is_late(const struct db_member *m,
			  const struct front_session *s, clk_ms now)
{
	return s->run.nrefused &&
	       now + (clk_ms)m->response_ms > s->run.deadline;
}

static bool place_is_usable(const struct db_member *m,
			    const struct front_session *s, bool primary,
			    struct pos need, clk_ms now)
{
	if (!primary && db_is_behind(m, need, now))
		return false;
	if (place_has_refused(m, s) || place_is_late(m, s, now))
		return false;
	return m->in_roster && !m->info.leaving && now >= m->fail_until &&
	       now >= m->busy_until && !db_is_unresponsive(m, now) &&
	       (m->nconns || now >= m->conn_limit_until) &&
	       strcmp(m->info.group, s->group) == 0;
}

static double place_other_zone_cost(const struct front_session *s)
{
	clk_ms part = s->route.objective_ms / FRONT_OTHER_ZONE_OBJECTIVE_PART;

	return part > FRONT_OTHER_ZONE_COST_MS
		       ? (double)part
		       : (double)FRONT_OTHER_ZONE_COST_MS;
}

/* Cost of a read on a member: the expected time until the answer in ms, plus
 * penalties for other zones, for the primary, and for members that may not
 * answer. */
static double place_cost(const struct front_server *f,
			 const struct front_session *s,
			 const struct db_member *m, bool primary)
{
	double cost = m->response_ms * (1 + (double)db_waiting(m));

	if (m->running > 1)
		cost += m->response_ms * 0.5 * (m->running - 1);
	if (strcmp(m->info.zone, f->set->zone) != 0)
		cost += place_other_zone_cost(s);
	if (primary)
		cost += (double)FRONT_PRIMARY_COST_MS /
			(double)(m->info.slots > 0 ? m->info.slots : 1);
	if (m->info.announcements_stopped)
		cost += 10 * FRONT_OTHER_ZONE_COST_MS;
	if (!strcmp(s->run.avoid_member, m->info.id))
		cost += 100 * FRONT_OTHER_ZONE_COST_MS;
	return cost;
}

struct db_member *front_place_read(struct front_server *f,
				   const struct front_session *s,
				   struct pos need, clk_ms now)
{
	struct front_group *g = front_find_group(f, s->group);
	const struct db_member *primary = front_leased_primary(g, now);
	struct db_member **list = g->members;
	struct db_member *best = NULL;
	double best_cost = 0;

	for (size_t i = 0; i < g->nmembers; i++) {
		double cost;

		if (!place_is_usable(list[i], s, list[i] == primary, need, now))
			continue;
		cost = place_cost(f, s, list[i], list[i] == primary);
		if (!best || cost < best_cost) {
			best = list[i];
			best_cost = cost;
		}
	}
	return best;
}

bool front_is_fallback(struct front_server *f, const struct front_session *s,
		       struct pos need, clk_ms now)
{
	const struct front_group *g = front_find_group(f, s->group);
	const struct db_member *primary = front_leased_primary(g, now);
	bool lacking = false;

	for (size_t i = 0; i < g->nmembers; i++) {
		const struct db_member *m = g->members[i];

		if (m == primary)
			continue;
		if (place_is_usable(m, s, false, need, now))
			return false;
		lacking |= m->in_roster && (db_is_behind(m, need, now) ||
					    place_has_refused(m, s));
	}
	return lacking;
}
