#include "failover_priv.h"

#include "counter.h"
#include "log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	FO_CALL_TIMEOUT_MS = 800, /* a later answer counts as none */
	FO_IDLE_PROBE_MS = 1000, /* between probes of a healthy group */
	FO_RETRY_MS = 100, /* between calls to a member during a change */
	FO_SUSPICION_MS = 3000, /* probing goes on after a report */
	FO_CATCH_UP_MS = 2000, /* planned change: longest wait for a replica */
	FO_RECOVERY_MS = 1000, /* a returned member has this long to follow */
	FO_FOLLOW_CONFIRM_MS = 250, /* follow call to confirming writes */
	FO_PROMOTE_TRIES = 3
};

struct fo *fo_new(const struct fo_config *cfg, const struct state *state)
{
	struct fo *f = calloc(1, sizeof(*f));

	if (!f)
		abort();
	f->cfg = *cfg;
	f->state = state;
	return f;
}

static void fo_clear(struct fo *f)
{
	for (size_t i = 0; i < f->ngroups; i++)
		free(f->groups[i].members);
	free(f->groups);
	f->groups = NULL;
	f->ngroups = 0;
	f->view_version = -1;
	f->nacts = 0;
	f->next_act = 0;
}

void fo_free(struct fo *f)
{
	if (!f)
		return;
	fo_clear(f);
	free(f->acts);
	free(f);
}

bool fo_next_action(struct fo *f, struct fo_action *a)
{
	if (f->next_act == f->nacts) {
		f->next_act = 0;
		f->nacts = 0;
		return false;
	}
	*a = f->acts[f->next_act++];
	a->record.term_starts = &a->start_record;
	return true;
}

static struct fo_action *fo_queue_act(struct fo *f, enum fo_action_type type,
				      const struct fo_group *g)
{
	struct fo_action *a;

	f->acts = realloc(f->acts, (f->nacts + 1) * sizeof(*f->acts));
	if (!f->acts)
		abort();
	a = &f->acts[f->nacts++];
	memset(a, 0, sizeof(*a));
	a->type = type;
	memcpy(a->group, g->name, ID_LEN);
	return a;
}

/* How long leases of the old term may still last, with a margin of 10%. */
static clk_ms fo_lease_wait(const struct fo *f)
{
	return f->cfg.lease_ms + f->cfg.lease_ms / 10;
}

static struct fo_action *fo_queue_call(struct fo *f, struct fo_group *g,
				       struct fo_member *m,
				       enum fo_action_type kind, int64_t term,
				       clk_ms now)
{
	struct fo_action *a = fo_queue_act(f, kind, g);

	memcpy(a->member, m->id, ID_LEN);
	memcpy(a->addr, m->addr, ADDR_LEN);
	a->term = term;
	a->call_id = ++f->last_call_id;
	m->pending_call = a->call_id;
	m->pending_type = kind;
	m->pending_term = term;
	m->last_call_at = now;
	return a;
}

static bool fo_may_call(const struct fo_member *m, clk_ms pause, clk_ms now)
{
	return !m->pending_call && now - m->last_call_at >= pause;
}

static void fo_call_all(struct fo *f, struct fo_group *g,
			enum fo_action_type kind, clk_ms pause, clk_ms now)
{
	for (size_t i = 0; i < g->nmembers; i++) {
		struct fo_member *m = &g->members[i];

		if (fo_may_call(m, pause, now))
			fo_queue_call(f, g, m, kind, g->term, now);
	}
}

/* Begins a change to a term above those that the group or any member knows. */
static void fo_begin_change(struct fo *f, struct fo_group *g)
{
	const struct group_info *info = fo_group_info(f, g);
	struct fo_action *a = fo_queue_act(f, FO_COMMIT, g);
	int64_t term = info ? info->change_term : 0;

	if (info && info->term > term)
		term = info->term;
	for (size_t i = 0; i < g->nmembers; i++)
		if (g->members[i].status.fence_term > term)
			term = g->members[i].status.fence_term;
	g->term = term + 1;
	g->phase = FO_BEGINNING;
	g->promote_attempts = 0;
	memcpy(a->record.name, g->name, ID_LEN);
	a->record.changing_primary = true;
	a->record.change_term = g->term;
	log_info("failover", "event=begin group=%s term=%lld planned=%d",
		 g->name, (long long)g->term, g->planned);
}

static bool fo_is_primary(const struct fo_member *p)
{
	return p && p->responsive && p->status.primary;
}

static bool fo_primary_works(const struct fo *f, const struct fo_member *p)
{
	return fo_is_primary(p) &&
	       p->status.majority_age_ms < f->cfg.max_majority_age_ms;
}

static bool fo_follows(const struct fo_member *m, const struct group_info *info,
		       const char *addr)
{
	return m->follows_term == info->term &&
	       m->follows_incarnation == m->status.incarnation &&
	       !strcmp(m->follows_addr, addr);
}

/* Tells members to follow the current primary, unless they are known to. */
static void fo_send_follow(struct fo *f, struct fo_group *g,
			   const struct group_info *info, clk_ms now)
{
	const struct fo_member *p = fo_find_member(g, info->primary);

	if (!p)
		return;
	for (size_t i = 0; i < g->nmembers; i++) {
		struct fo_member *m = &g->members[i];

		if (m == p || !m->responsive || fo_follows(m, info, p->addr) ||
		    !fo_may_call(m, FO_RETRY_MS, now))
			continue;
		m->follows_term = 0;
		m->follows_incarnation = m->status.incarnation;
		memcpy(m->follows_addr, p->addr, ADDR_LEN);
		memcpy(fo_queue_call(f, g, m, FO_FOLLOW, info->term, now)
			       ->primary,
		       p->addr, ADDR_LEN);
	}
}

static void fo_probing_new_group(struct fo *f, struct fo_group *g)
{
	size_t n = fo_count_answered(g, g->probing_since);

	if (n == g->nmembers && n >= fo_majority(g))
		fo_begin_change(f, g);
}

/*
 * True if a primary without a majority may regain it from replicas that have
 * just come back. Without this wait, a restart of all replicas would lead to a
 * change of primary, which loses writes that only the primary holds.
 */
static bool fo_may_recover(const struct fo_group *g,
			   const struct group_info *info,
			   const struct fo_member *p, clk_ms now)
{
	if (!fo_is_primary(p))
		return false;
	for (size_t i = 0; i < g->nmembers; i++) {
		const struct fo_member *m = &g->members[i];

		if (m == p || !m->responsive ||
		    now - m->recovered_at >= FO_RECOVERY_MS)
			continue;
		if (!fo_follows(m, info, p->addr) ||
		    now - m->follow_confirmed_at < FO_FOLLOW_CONFIRM_MS)
			return true;
	}
	return false;
}

static void fo_probing_with_primary(struct fo *f, struct fo_group *g,
				    const struct group_info *info, clk_ms now)
{
	const struct fo_member *p = fo_find_member(g, info->primary);
	/* A member that does not answer always has a call outstanding, so wait
	 * until one has ended since probing began. */
	bool done = !p || p->checked_at >= g->probing_since;
	bool majority =
		fo_count_answered(g, g->probing_since) >= fo_majority(g);

	if (!done)
		return;
	if (!fo_primary_works(f, p)) {
		if (majority && !fo_may_recover(g, info, p, now)) {
			g->planned = false;
			/* It has the longest log, but it can't reach its
			 * replicas and would fail again as the primary. */
			if (p && p->responsive && p->status.primary)
				memcpy(g->avoided_member, p->id, ID_LEN);
			fo_begin_change(f, g);
		}
	} else if (p->leaving) {
		g->planned = true;
		if (majority && fo_has_successor(g, info->term, 0))
			fo_begin_change(f, g);
	} else if (now - g->suspected_at > FO_SUSPICION_MS) {
		g->phase = FO_IDLE;
	}
}

static void fo_probing(struct fo *f, struct fo_group *g, clk_ms now)
{
	const struct group_info *info = fo_group_info(f, g);

	/* Replicas that came back may restore the primary's majority, or be
	 * promoted. A primary that was suspected too early needs them. */
	if (info && info->term > 0)
		fo_send_follow(f, g, info, now);
	fo_call_all(f, g, FO_PROBE, FO_RETRY_MS, now);
	if (info && info->term > 0)
		fo_probing_with_primary(f, g, info, now);
	else
		fo_probing_new_group(f, g);
}

static void fo_beginning(struct fo *f, struct fo_group *g, clk_ms now)
{
	const struct group_info *info = fo_group_info(f, g);

	if (!info || !info->changing_primary || info->change_term != g->term)
		return;
	if (g->no_grants_since == CLK_NEVER)
		g->no_grants_since = now;
	g->phase = FO_FENCING;
}

/*
 * True when no lease of the old term is valid any more. A new group has no
 * leases, but its members get the same time to answer, since a member without
 * data must not be promoted only because it answered first.
 */
static bool fo_leases_expired(const struct fo *f, const struct fo_group *g,
			      clk_ms now)
{
	const struct group_info *info = fo_group_info(f, g);

	if ((!info || info->term == 0) &&
	    fo_count_fenced(g, true) == g->nmembers)
		return true;
	return now >= g->no_grants_since + fo_lease_wait(f);
}

/* In a planned change, a replica first catches up with the last acknowledged
 * write: fencing stops replication. */
static bool fo_may_fence(struct fo *f, struct fo_group *g, clk_ms now)
{
	const struct group_info *info = fo_group_info(f, g);
	clk_ms over = g->no_grants_since + fo_lease_wait(f);
	struct fo_member *p;

	if (!g->planned || !info)
		return true;
	fo_send_follow(f, g, info, now);
	fo_call_all(f, g, FO_PROBE, FO_RETRY_MS, now);
	if (now < over)
		return false;
	p = fo_find_member(g, info->primary);
	if (!fo_primary_works(f, p) || now >= over + FO_CATCH_UP_MS)
		g->planned = false;
	else if (p->checked_at - over >= FO_RETRY_MS &&
		 fo_has_successor(g, p->status.log_term,
				  p->status.received_pos))
		g->planned = false;
	return !g->planned;
}

static void fo_fencing(struct fo *f, struct fo_group *g, clk_ms now)
{
	const struct fo_member *c;

	if (!fo_may_fence(f, g, now))
		return;
	if (fo_term_outdated(g)) {
		fo_begin_change(f, g);
		return;
	}
	/* Fence again those that are fenced: a member that is rebuilt before
	 * the promotion must not be chosen for the log that it had before. */
	fo_call_all(f, g, FO_FENCE, FO_RETRY_MS, now);
	if (fo_count_fenced(g, true) < fo_majority(g) ||
	    !fo_leases_expired(f, g, now))
		return;
	c = fo_choose_candidate(g);
	memcpy(g->candidate, c->id, ID_LEN);
	g->phase = FO_PROMOTING;
	g->promote_attempts = 0;
}

static void fo_promoting(struct fo *f, struct fo_group *g, clk_ms now)
{
	struct fo_member *m = fo_find_member(g, g->candidate);

	if (m && m->pending_call && m->pending_type == FO_PROMOTE)
		return;
	if (!m || g->promote_attempts == FO_PROMOTE_TRIES) {
		log_warn("failover",
			 "event=promote_failed group=%s member=%s term=%lld",
			 g->name, g->candidate, (long long)g->term);
		fo_begin_change(f, g);
		return;
	}
	if (!fo_may_call(m, g->promote_attempts ? FO_RETRY_MS : 0, now))
		return;
	g->promote_attempts++;
	fo_queue_call(f, g, m, FO_PROMOTE, g->term, now);
}

static void fo_commit_primary(struct fo *f, struct fo_group *g, int64_t start)
{
	struct fo_action *a = fo_queue_act(f, FO_COMMIT, g);

	g->phase = FO_COMMITTING;
	g->start_position = start;
	memcpy(a->record.name, g->name, ID_LEN);
	memcpy(a->record.primary, g->candidate, ID_LEN);
	a->record.term = g->term;
	a->record.nterm_starts = 1;
	a->start_record = (struct term_start){g->term, start};
}

static void fo_committing(struct fo *f, struct fo_group *g)
{
	const struct group_info *info = fo_group_info(f, g);

	if (!info || info->term != g->term || info->changing_primary)
		return;
	log_info("failover",
		 "event=promoted group=%s primary=%s term=%lld start=%lld",
		 g->name, info->primary, (long long)info->term,
		 (long long)g->start_position);
	cnt_add(CNT_promotions, 1);
	g->phase = FO_IDLE;
	g->planned = false;
	g->no_grants_since = CLK_NEVER;
	g->suspected_at = INT64_MIN / 2;
}

static void fo_start_probing(struct fo_group *g, clk_ms now)
{
	g->phase = FO_PROBING;
	g->planned = false;
	g->avoided_member[0] = '\0';
	g->no_grants_since = CLK_NEVER;
	g->probing_since = now;
}

static void fo_idle(struct fo *f, struct fo_group *g, clk_ms now)
{
	const struct group_info *info = fo_group_info(f, g);
	const struct fo_member *p;

	if (!info || info->term == 0) {
		fo_start_probing(g, now);
		return;
	}
	fo_send_follow(f, g, info, now);
	fo_call_all(f, g, FO_PROBE, FO_IDLE_PROBE_MS, now);
	p = fo_find_member(g, info->primary);
	if (!p || p->leaving ||
	    (p->checked_at > 0 && !fo_primary_works(f, p)) ||
	    now - g->suspected_at <= FO_SUSPICION_MS)
		fo_start_probing(g, now);
}

static void fo_run_phase(struct fo *f, struct fo_group *g, clk_ms now)
{
	switch (g->phase) {
	case FO_IDLE:
		fo_idle(f, g, now);
		break;
	case FO_PROBING:
		fo_probing(f, g, now);
		break;
	case FO_BEGINNING:
		fo_beginning(f, g, now);
		break;
	case FO_FENCING:
		fo_fencing(f, g, now);
		break;
	case FO_PROMOTING:
		fo_promoting(f, g, now);
		break;
	case FO_COMMITTING:
		fo_committing(f, g);
		break;
	}
}

static void fo_advance(struct fo *f, struct fo_group *g, clk_ms now)
{
	enum fo_phase before;

	do {
		before = g->phase;
		fo_run_phase(f, g, now);
	} while (g->phase != before);
}

/* Treats calls that were not answered in time as failed. */
static void fo_expire_calls(struct fo_group *g, clk_ms now)
{
	for (size_t i = 0; i < g->nmembers; i++) {
		struct fo_member *m = &g->members[i];

		if (!m->pending_call ||
		    now - m->last_call_at < FO_CALL_TIMEOUT_MS)
			continue;
		m->pending_call = 0;
		m->responsive = false;
		m->checked_at = now;
	}
}

void fo_tick(struct fo *f, clk_ms now)
{
	if (!f->leading)
		return;
	fo_sync_roster(f);
	for (size_t i = 0; i < f->ngroups; i++) {
		fo_expire_calls(&f->groups[i], now);
		fo_advance(f, &f->groups[i], now);
	}
}

void fo_start_leading(struct fo *f, clk_ms led, clk_ms now)
{
	fo_clear(f);
	f->leading = true;
	fo_sync_roster(f);
	for (size_t i = 0; i < f->ngroups; i++) {
		struct fo_group *g = &f->groups[i];
		const struct group_info *info = fo_group_info(f, g);

		g->no_grants_since = CLK_NEVER;
		if (!info || !info->changing_primary)
			continue;
		/* This leader has never granted a lease for the group, so none
		 * was granted after its election. */
		g->no_grants_since = led;
		/* It is unknown why the change began, so another member is
		 * preferred to the old primary. */
		memcpy(g->avoided_member, info->primary, ID_LEN);
		fo_begin_change(f, g);
	}
	fo_tick(f, now);
}

void fo_stop_leading(struct fo *f)
{
	f->leading = false;
	fo_clear(f);
}

void fo_on_suspicion(struct fo *f, const char *group, int64_t term, clk_ms now)
{
	struct fo_group *g = fo_find_group(f, group);
	const struct group_info *info;

	if (!f->leading || !g)
		return;
	info = fo_group_info(f, g);
	if (!info || info->term != term || info->changing_primary)
		return;
	g->suspected_at = now;
	if (g->phase == FO_IDLE)
		fo_start_probing(g, now);
	fo_advance(f, g, now);
}

static void fo_take_status(struct fo_member *m, const struct fo_answer *a,
			   clk_ms now)
{
	if (a->ok &&
	    (!m->responsive || m->status.incarnation != a->status.incarnation))
		m->recovered_at = now;
	m->responsive = a->ok;
	m->checked_at = now;
	if (a->ok)
		m->status = a->status;
	else
		m->follows_term = 0;
}

void fo_on_answer(struct fo *f, const struct fo_answer *a, clk_ms now)
{
	struct fo_group *g = fo_find_group(f, a->group);
	struct fo_member *m = g ? fo_find_member(g, a->member) : NULL;

	if (!f->leading || !m || !m->pending_call ||
	    m->pending_call != a->call_id)
		return;
	m->pending_call = 0;
	switch (m->pending_type) {
	case FO_PROBE:
		fo_take_status(m, a, now);
		break;
	case FO_FENCE:
		fo_take_status(m, a, now);
		if (a->ok && g->phase == FO_FENCING &&
		    a->status.fence_term == g->term)
			m->fenced_term = g->term;
		break;
	case FO_PROMOTE:
		if (a->ok && g->phase == FO_PROMOTING &&
		    !strcmp(g->candidate, m->id))
			fo_commit_primary(f, g, a->term_start_pos);
		break;
	case FO_FOLLOW:
		if (a->ok) {
			m->follows_term = m->pending_term;
			m->follow_confirmed_at = now;
		}
		break;
	case FO_COMMIT:
		break;
	}
	fo_advance(f, g, now);
}
