#include "front_priv.h"

#include "relay.h"
#include "settings.h"

#include <string.h>

int front_slice(const struct front_server *f, const char *group)
{
	const struct rt_group *g = rt_find_group(f->routes, group);

	return g && f->slice_count
		       ? (int)(g - f->routes->groups) % f->slice_count
		       : 0;
}

/* Number of connections to a member that proxies may use. */
static int send_connections(const struct front_server *f, const char *group)
{
	const struct rt_group *g = rt_find_group(f->routes, group);

	return g ? (int)g->max_connections - FRONT_SPARE_CONNECTIONS : 0;
}

/* Number of slices that gives each runner the connections it should have to a
 * member with n connections. Where there are tenants, only the part of them
 * that runners may use counts. */
static int send_needed_slices(const struct front_server *f, int n,
			      int largest_zone)
{
	int need = FRONT_RUNNER_CONNECTIONS * largest_zone;

	if (f->routes->has_tenants) {
		need = FRONT_TENANT_RUNNER_CONNECTIONS * largest_zone * 100;
		n *= FRONT_RUNNER_PERCENT;
	}
	return (need + n - 1) / n;
}

int front_count_slices(const struct front_server *f, int largest_zone)
{
	int slices = 0;

	for (int64_t i = 0; f->routes && i < f->routes->ngroups; i++) {
		int n = send_connections(f, f->routes->groups[i].name);
		int needed;

		if (n <= 0 || n >= FRONT_OWN_CONNECTIONS * f->proxies)
			continue;
		needed = send_needed_slices(f, n, largest_zone);
		if (needed > slices)
			slices = needed;
	}
	return slices < largest_zone ? slices : largest_zone;
}

static int send_share(const struct front_server *f,
		      const struct backend_info *b, bool primary)
{
	int max = send_connections(f, b->group);
	int slice = front_slice(f, b->group);

	if (f->slice_count && relay_runs_here(f->relay, b->zone, slice))
		return max * FRONT_RUNNER_PERCENT /
		       relay_count_runners(f->relay, b->zone, slice);
	if (!f->slice_count && !primary && !strcmp(b->zone, f->set->zone) &&
	    f->zone_proxies > 0)
		return max * FRONT_ZONE_PERCENT / f->zone_proxies;
	return max * 100 / (f->proxies > 0 ? f->proxies : 1);
}

/*
 * Counts the proxies whose statements a member serves. Those that are down or
 * cut off send none: if they counted, the proxies that take over their callers
 * would leave slots of the member idle.
 */
static int send_users(const struct front_server *f,
		      const struct backend_info *b, bool primary)
{
	int users = 0;

	if (f->slice_count)
		users = relay_count_live_runners(f->relay, b->zone,
						 front_slice(f, b->group));
	for (size_t i = 0; !f->slice_count && i < f->nlist; i++)
		users += f->proxy_list[i].alive &&
			 (primary ||
			  !strcmp(f->proxy_list[i].zone, f->set->zone));
	return users > 0 ? users : 1;
}

void front_assign_shares(struct front_server *f)
{
	for (size_t i = 0; i < f->ngroups; i++) {
		const struct front_group *g = &f->groups[i];

		for (size_t j = 0; j < g->nmembers; j++) {
			struct db_member *m = g->members[j];
			bool primary = !strcmp(g->primary, m->info.id);

			m->own_conns_percent = send_share(f, &m->info, primary);
			m->sharing_proxies = send_users(f, &m->info, primary);
			m->by_tenant = f->routes && f->routes->has_tenants;
		}
	}
}

void front_send(struct front_session *s, struct db_member *m, clk_ms now)
{
	struct front_server *f = s->server;

	if (!front_cap_take(s, now))
		return;
	memcpy(s->job_member, m->info.id, ID_LEN);
	s->job_runs = true;
	s->run.tries++;
	if (f->slice_count && !s->run.bypass_runner &&
	    relay_start(f->relay, m, front_slice(f, s->group), &s->job,
			s->run.deadline, now))
		return;
	db_start(m, &s->job, now);
}

const struct db_member *front_kept_member(const struct front_session *s)
{
	switch (s->kept.by) {
	case FRONT_KEPT_LOCAL:
		return db_member_of(s->kept.u.conn);
	case FRONT_KEPT_BY_RUNNER:
		return relay_member_of(s->kept.u.pin);
	case FRONT_NOT_KEPT:
		break;
	}
	return NULL;
}

void front_send_kept(struct front_session *s, clk_ms now)
{
	memcpy(s->job_member, front_kept_member(s)->info.id, ID_LEN);
	s->job_runs = true;
	s->run.tries++;
	switch (s->kept.by) {
	case FRONT_KEPT_LOCAL:
		db_continue(s->kept.u.conn, &s->job, now);
		break;
	case FRONT_KEPT_BY_RUNNER:
		relay_continue(s->kept.u.pin, &s->job, s->run.deadline, now);
		break;
	case FRONT_NOT_KEPT:
		break;
	}
}

bool front_result_keeps_conn(const struct db_result *r)
{
	return r->conn || r->pin;
}

bool front_keep(struct front_session *s, const struct db_result *r,
		void (*lost)(void *arg))
{
	front_forget_kept(s);
	if (r->conn) {
		s->kept.by = FRONT_KEPT_LOCAL;
		s->kept.u.conn = r->conn;
		db_on_lost(r->conn, lost, s);
	} else if (r->pin) {
		s->kept.by = FRONT_KEPT_BY_RUNNER;
		s->kept.u.pin = r->pin;
		relay_on_lost(r->pin, lost, s);
	}
	return s->kept.by != FRONT_NOT_KEPT;
}

void front_forget_kept(struct front_session *s)
{
	memset(&s->kept, 0, sizeof(s->kept));
}

void front_release_result(const struct db_result *r)
{
	if (r->conn)
		db_roll_back_kept(r->conn);
	else if (r->pin)
		relay_release(r->pin);
}

void front_release_kept(struct front_session *s)
{
	switch (s->kept.by) {
	case FRONT_KEPT_LOCAL:
		db_roll_back_kept(s->kept.u.conn);
		break;
	case FRONT_KEPT_BY_RUNNER:
		relay_release(s->kept.u.pin);
		break;
	case FRONT_NOT_KEPT:
		break;
	}
	front_forget_kept(s);
}

void front_cancel(struct front_session *s)
{
	if (s->job.sent)
		front_cap_sent(s);
	if (s->job.relay)
		relay_cancel(&s->job);
	else
		db_cancel(&s->job);
	s->job_runs = false;
}

void front_give_up_kept(struct front_session *s)
{
	if (!s->job_runs) {
		front_release_kept(s);
		return;
	}
	front_cancel(s);
	if (s->kept.by == FRONT_KEPT_LOCAL)
		db_close_kept(s->kept.u.conn);
	front_forget_kept(s);
}
