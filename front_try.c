#include "front_priv.h"

#include "counter.h"
#include "settings.h"

#include <string.h>

/* Notes whether a try is sent to the primary under a lease, and of which term.
 */
static void try_note_lease(struct front_session *s, const struct db_member *m,
			   clk_ms now)
{
	const struct front_group *g = front_find_group(s->server, s->group);

	s->run.lease_term = front_leased_primary(g, now) == m ? g->term : 0;
	s->run.lease_checked_at = now;
}

static bool try_needs_primary(const struct front_session *s)
{
	return s->route.read_freshness == RT_READS_CURRENT;
}

/* Returns in need the position that a read on a replica has to wait for; false
 * if no recent enough one is known. */
static bool try_required_position(struct front_session *s, struct pos *need)
{
	struct front_group *g = front_find_group(s->server, s->group);
	clk_ms since =
		s->txn == FRONT_BEGUN ? s->txn_since : s->run.received_at;
	const struct freshness_sample *sample;

	g->pos_needed_at = clk_now();
	if (!g->min_age_ms || s->route.max_age_ms < g->min_age_ms)
		g->min_age_ms = s->route.max_age_ms;
	sample = frs_required_sample(&g->fresh, since, s->route.max_age_ms);
	if (!sample)
		return false;
	s->run.required = *sample;
	s->run.required_age_ms = since - sample->sent;
	*need = sample->pos;
	if (s->route.read_freshness == RT_READS_OWN_COMMITS)
		*need = pos_max(*need, s->own_writes_pos);
	return true;
}

/* Lets a statement wait for a lease, or refuses it if there will be none. */
static void try_without_lease(struct front_session *s,
			      const struct db_member *m)
{
	cnt_add(CNT_retry_no_lease, 1);
	if (!s->server->refuse_without_lease || s->run.sent) {
		front_run_retry(s, FRONT_RETRY_PAUSE_MS, RES_NO_LEASE);
		return;
	}
	if (s->txn == FRONT_OPEN)
		front_release_kept(s);
	front_run_refuse(s, RES_NO_LEASE, m->info.id);
}

/* True if the statement could not be acknowledged as things are: it commits
 * writes, and no lease covers the group. */
static bool try_lacks_commit_lease(const struct front_session *s, clk_ms now)
{
	const struct front_group *g = front_find_group(s->server, s->group);
	bool commits = s->txn == FRONT_NONE
			       ? s->run.writes
			       : s->run.commits && s->txn_has_writes;

	return commits && now >= g->lease_until &&
	       front_commits_need_lease(s->server, g);
}

static void try_on_primary(struct front_session *s, clk_ms now)
{
	struct front_group *g = front_find_group(s->server, s->group);
	struct db_member *m = front_primary(g);

	s->job.required_pos = (struct pos){0};
	s->run.required.sent = 0;
	s->job.needs_lease = true;
	s->run.primary_read = s->run.is_read;
	s->job.begin = s->txn == FRONT_BEGUN || s->run.is_read;
	s->job.begin_read_only = false;
	s->job.rollback = s->run.is_read && s->txn == FRONT_NONE;
	if (!m) {
		front_run_retry(s, FRONT_RETRY_PAUSE_MS, RES_NO_PRIMARY);
		return;
	}
	if (m->leaving_since &&
	    now - m->leaving_since >= DB_LEAVING_PRIMARY_MS) {
		front_run_retry(s, FRONT_RETRY_PAUSE_MS, RES_LEAVING);
		return;
	}
	if (now >= m->lease_until || try_lacks_commit_lease(s, now)) {
		try_without_lease(s, m);
		return;
	}
	if (now < m->fail_until || now < m->busy_until ||
	    (now < m->conn_limit_until && !m->nconns)) {
		front_run_retry(s, FRONT_RETRY_PAUSE_MS, RES_UNREACHABLE);
		return;
	}
	try_note_lease(s, m, now);
	front_send(s, m, now);
}

static void try_on_replica(struct front_session *s, struct db_member *m,
			   struct pos need, clk_ms now)
{
	s->job.required_pos = need;
	s->job.needs_lease = false;
	s->run.lease_term = 0;
	s->run.primary_read = false;
	s->job.begin = s->txn == FRONT_BEGUN;
	s->job.begin_read_only = s->job.begin;
	s->job.rollback = false;
	front_send(s, m, now);
}

/* Runs a read for which no recent enough position is known. One read at a time
 * goes to the primary to learn one. If all did so, as after a start, the
 * primary would have to serve what its replicas could. */
static void try_without_position(struct front_session *s, struct front_group *g,
				 clk_ms now)
{
	if (!g->fresh.n)
		front_ask_early(s->server, now);
	if (now - g->primary_read_at < FRONT_POSITION_WAIT_MS) {
		front_run_retry(s, FRONT_RETRY_PAUSE_MS, RES_NO_REPLICA);
		return;
	}
	if (!front_admit_without_position(s, now))
		return;
	g->primary_read_at = now;
	try_on_primary(s, now);
}

/* Runs a read on any member whose log has reached the required position. */
static void try_read(struct front_session *s, clk_ms now)
{
	struct front_group *g = front_find_group(s->server, s->group);
	struct pos need = {0};
	bool known = try_required_position(s, &need);
	struct db_member *m = front_place_read(s->server, s, need, now);
	const struct db_member *primary = front_leased_primary(g, now);

	s->run.placed = true;
	if (s->run.nrefused && (!m || !known))
		front_run_refuse_retry(s, RES_OVERLOAD, "", s->run.retry_ms);
	else if (!known && (!m || m != primary))
		try_without_position(s, g, now);
	else if (!m)
		front_run_retry(s, FRONT_RETRY_PAUSE_MS, RES_NO_REPLICA);
	else if (m != primary)
		try_on_replica(s, m, need, now);
	else if (front_admit_fallback(s, need, now))
		try_on_primary(s, now);
}

/* Runs a statement of an open transaction, at the member that has it. */
static void try_in_txn(struct front_session *s, clk_ms now)
{
	const struct front_group *g = front_find_group(s->server, s->group);
	const struct db_member *m = front_kept_member(s);
	bool must_lead = !s->server->set->promoter_deposes && !s->txn_read_only;

	s->job.begin = false;
	s->job.rollback = false;
	s->job.required_pos = (struct pos){0};
	s->job.needs_lease = s->run.commits && s->txn_has_writes;
	if (must_lead && m != front_primary(g)) {
		front_release_kept(s);
		front_run_refuse(s, RES_PRIMARY_CHANGED, m->info.id);
		return;
	}
	if ((s->job.needs_lease && now >= m->lease_until) ||
	    try_lacks_commit_lease(s, now)) {
		try_without_lease(s, m);
		return;
	}
	try_note_lease(s, m, now);
	front_send_kept(s, now);
}

/* Checks the caller's API key for one more try; refuses the statement if it may
 * not be used any more. */
static bool try_key_is_valid(struct front_session *s, clk_ms now)
{
	enum res r = front_check_key(s, now);

	if (!r)
		return true;
	front_release_kept(s);
	front_run_refuse(s, s->run.sent ? front_run_lost_reason(s) : r, "");
	return false;
}

void front_try(struct front_session *s, clk_ms now)
{
	bool read_only =
		s->txn == FRONT_BEGUN ? s->txn_read_only : s->run.is_read;

	s->run.retry_at = 0;
	s->run.placed = false;
	s->job.fallback = false;
	if (!try_key_is_valid(s, now))
		return;
	if (s->txn == FRONT_OPEN) {
		try_in_txn(s, now);
	} else if (!read_only || try_needs_primary(s)) {
		try_on_primary(s, now);
	} else {
		try_read(s, now);
	}
}
