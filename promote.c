#include "promote_priv.h"

#include "log.h"
#include "id_array.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct pro *pro_new(const struct state *state)
{
	struct pro *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	p->state = state;
	return p;
}

void pro_free(struct pro *p)
{
	if (!p)
		return;
	free(p->groups);
	free(p->ended);
	lse_free(&p->leases);
	free(p->acts);
	free(p);
}

void pro_stop_leading(struct pro *p)
{
	p->leading = false;
	/* Only the configured properties of a group are kept. */
	for (size_t i = 0; i < p->ngroups; i++) {
		struct pro_group fresh = {.sync_replicas =
						  p->groups[i].sync_replicas};

		memcpy(fresh.name, p->groups[i].name, ID_LEN);
		p->groups[i] = fresh;
	}
	p->nended = 0;
	p->nacts = 0;
	p->next_act = 0;
	p->scanned_view = -1;
}

void pro_start_leading(struct pro *p, int64_t term, clk_ms now)
{
	pro_stop_leading(p);
	lse_start(&p->leases, p->lease_ms, p->overlap_ms, now);
	p->leading = true;
	p->leading_since = now;
	p->term = term;
	p->last_token_number = 0;
}

bool pro_has_leases(const struct pro *p, const struct pro_group *g)
{
	return p->leased_groups == PRO_LEASED_ALL || g->sync_replicas > 0;
}

bool pro_deposes(const struct pro *p)
{
	return p->leased_groups != PRO_LEASED_ALL;
}

struct pro_action *pro_queue_act(struct pro *p, const struct pro_group *g,
				 enum pro_action_type type)
{
	struct pro_action *a;

	p->acts = realloc(p->acts, (p->nacts + 1) * sizeof(*p->acts));
	if (!p->acts)
		abort();
	a = &p->acts[p->nacts++];
	memset(a, 0, sizeof(*a));
	a->type = type;
	a->action_id = ++p->last_request_number;
	memcpy(a->group, g->name, ID_LEN);
	return a;
}

bool pro_next_action(struct pro *p, struct pro_action *a)
{
	if (p->next_act == p->nacts) {
		p->nacts = 0;
		p->next_act = 0;
		return false;
	}
	*a = p->acts[p->next_act++];
	return true;
}

struct pro_group *pro_get_group(struct pro *p, const char *name)
{
	struct pro_group *g =
		id_array_find(p->groups, p->ngroups, sizeof(*g), name);

	if (!g)
		g = id_array_insert((void **)&p->groups, &p->ngroups,
				    sizeof(*g), name);
	return g;
}

void pro_set_sync_replicas(struct pro *p, const char *group, int64_t replicas)
{
	pro_get_group(p, group)->sync_replicas = replicas;
}

struct pro_member *pro_find_member(struct pro_group *g, const char *id)
{
	for (int i = 0; i < g->nmembers; i++)
		if (!strcmp(g->members[i].id, id))
			return &g->members[i];
	return NULL;
}

void pro_set_phase(struct pro_group *g, enum pro_phase phase, clk_ms now)
{
	g->phase = phase;
	g->phase_since = now;
}

void pro_back_off(struct pro_group *g, clk_ms now, const char *why)
{
	log_info("promote", "event=rest group=%s reason=\"%s\"", g->name, why);
	g->next_change_at = now + PRO_RETRY_MS;
	pro_set_phase(g, PRO_IDLE, now);
}

void pro_request_status(struct pro *p, struct pro_group *g,
			struct pro_member *m, clk_ms now)
{
	struct pro_action *a = pro_queue_act(p, g, PRO_GET_STATUS);

	memcpy(a->member, m->id, ID_LEN);
	memcpy(a->addr, m->addr, ADDR_LEN);
	m->request_number = a->action_id;
	m->request_type = PRO_GET_STATUS;
	m->awaiting_reply = true;
	m->request_sent_at = now;
}

/* Keeps what does not come from the replicated state, nor with each answer. */
static void pro_keep_member(struct pro_member *m, const struct pro_member *old)
{
	m->rejected_by_promoter = old->rejected_by_promoter;
}

/* Reads the members from the replicated state. */
void pro_load_members(struct pro *p, struct pro_group *g)
{
	struct pro_member old[PRO_MAX_MEMBERS];
	int nold = g->nmembers;
	size_t n;
	const struct backend_info *b = state_backends(p->state, &n);

	memcpy(old, g->members, sizeof(old));
	g->nmembers = 0;
	for (size_t i = 0; i < n && g->nmembers < PRO_MAX_MEMBERS; i++) {
		struct pro_member *m = &g->members[g->nmembers];

		if (strcmp(b[i].group, g->name) != 0 ||
		    pro_is_succeeded(p, &b[i]))
			continue;
		memset(m, 0, sizeof(*m));
		memcpy(m->id, b[i].id, ID_LEN);
		memcpy(m->addr, b[i].addr, ADDR_LEN);
		m->leaving = b[i].leaving;
		for (int j = 0; j < nold; j++)
			if (!strcmp(old[j].id, m->id))
				pro_keep_member(m, &old[j]);
		g->nmembers++;
	}
	g->other_logs = g->sync_replicas ? pro_count_other_logs(p, g) : 0;
}

/* The member that control has recorded as the primary, or NULL if there is none
 * or it is no member any more. */
static const struct backend_info *pro_recorded_primary(
	const struct pro *p, const struct pro_group *g)
{
	const struct group_info *info = state_group(p->state, g->name);
	const struct backend_info *b =
		info ? state_backend(p->state, info->primary) : NULL;

	return b && !strcmp(b->group, g->name) ? b : NULL;
}

/* A member other than the recorded primary that claims to lead, or NULL. */
static const struct backend_info *pro_claimant(const struct pro *p,
					       const struct pro_group *g)
{
	return g->claimant[0] ? state_backend(p->state, g->claimant) : NULL;
}

/* Finds the groups and their claimants. This is done in one pass over all
 * members when they change, since each tick needs the claimants. */
static void pro_find_claimants(struct pro *p)
{
	size_t n;
	const struct backend_info *b = state_backends(p->state, &n);

	p->scanned_view = state_view_version(p->state);
	for (size_t i = 0; i < p->ngroups; i++) {
		p->groups[i].claimant[0] = '\0';
		p->groups[i].primary_succeeded = false;
	}
	for (size_t i = 0; i < n; i++) {
		struct pro_group *g = pro_get_group(p, b[i].group);
		const struct backend_info *primary = pro_recorded_primary(p, g);

		if (primary && primary != &b[i] &&
		    !strcmp(primary->addr, b[i].addr))
			g->primary_succeeded = pro_is_succeeded(p, primary);
		if (b[i].announced_primary && !b[i].announcements_stopped &&
		    !g->claimant[0] && &b[i] != primary)
			memcpy(g->claimant, b[i].id, ID_LEN);
	}
}

int64_t pro_propose_primary(struct pro *p, struct pro_group *g,
			    const char *member, int64_t member_term,
			    const char *late_call, clk_ms now)
{
	const struct group_info *info = state_group(p->state, g->name);
	struct pro_action *a = pro_queue_act(p, g, PRO_RECORD_PRIMARY);
	int64_t term = info ? info->term : 0;

	snprintf(a->member, ID_LEN, "%s", member);
	if (info && info->change_term > term)
		term = info->change_term;
	a->term = term + 1;
	pro_fill_member_term(p, g, member_term, a);
	g->recorded_at = now;
	snprintf(a->late_call, ID_LEN, "%s", late_call);
	return a->term;
}

void pro_record_primary(struct pro *p, struct pro_group *g, const char *member,
			int64_t member_term, clk_ms now)
{
	int64_t term;

	/* Any of the calls for it may be the one that was carried out. */
	if (g->phase == PRO_CALLING && pro_has_leases(p, g) &&
	    !strcmp(g->target, member))
		pro_note_unanswered_call(g, now);
	term = pro_propose_primary(
		p, g, member, member_term,
		now < g->late_call_until ? g->called_member : "", now);
	log_info("promote",
		 "event=primary group=%s member=%s term=%lld member_term=%lld",
		 g->name, member, (long long)term, (long long)member_term);
	for (int i = 0; i < g->nmembers; i++)
		g->members[i].rejected_by_promoter = false;
	g->nreports = 0;
	g->only_discarded_since = 0;
	g->uncovered_since = 0;
	g->unused_since = 0;
	g->drain_failed = false;
	g->unanswered_calls = 0;
	g->fencing_token = 0;
	g->next_change_at = now + PRO_RETRY_MS;
	pro_set_phase(g, PRO_IDLE, now);
}

static void pro_start_probing(struct pro *p, struct pro_group *g, clk_ms now)
{
	const struct backend_info *primary = pro_recorded_primary(p, g);

	snprintf(g->old_primary, ID_LEN, "%s", primary ? primary->id : "");
	g->planned = primary && primary->leaving;
	if (!pro_waits_to_give_up(p, g))
		g->unanswered_calls = 0;
	pro_load_members(p, g);
	for (int i = 0; i < g->nmembers; i++)
		pro_request_status(p, g, &g->members[i], now);
	pro_set_phase(g, PRO_PROBING, now);
	log_info("promote",
		 "event=probe group=%s primary=%s leaving=%d reports=%d "
		 "members=%d",
		 g->name, g->old_primary, g->planned, g->nreports, g->nmembers);
}

bool pro_is_primary(const struct pro_member *m)
{
	return m && !m->awaiting_reply && m->reply == PRO_OK &&
	       m->status.primary;
}

bool pro_is_replica(const struct pro_member *m)
{
	return m && !m->awaiting_reply && m->reply == PRO_OK &&
	       !m->status.primary;
}

static bool pro_answered(const struct pro_member *m)
{
	return m && !m->awaiting_reply && m->reply != PRO_FAILED;
}

struct pro_member *pro_other_primary(struct pro_group *g)
{
	for (int i = 0; i < g->nmembers; i++)
		if (strcmp(g->members[i].id, g->old_primary) != 0 &&
		    pro_is_primary(&g->members[i]))
			return &g->members[i];
	return NULL;
}

/*
 * The primary did not answer, but too few proxies have reported it so far. It
 * is asked again, and so are the replicas, so that a later decision is based on
 * their current positions.
 */
void pro_keep_probing(struct pro *p, struct pro_group *g, clk_ms now)
{
	if (!g->nreports) {
		pro_back_off(g, now, "no proxy reports the primary any more");
		return;
	}
	if (now - g->phase_since >= PRO_UNRESPONSIVE_PROBE_MS) {
		pro_back_off(g, now, "other proxies reach the primary");
		return;
	}
	for (int i = 0; i < g->nmembers; i++) {
		struct pro_member *m = &g->members[i];
		bool primary = !strcmp(m->id, g->old_primary);
		clk_ms pause = primary ? PRO_STATUS_TIMEOUT_MS : PRO_RETRY_MS;

		/* Replicas that don't answer either would delay the
		 * decision. */
		if (now - m->request_sent_at >= pause &&
		    (primary || (!m->awaiting_reply && m->reply == PRO_OK)))
			pro_request_status(p, g, m, now);
	}
}

/* No member can be promoted. */
void pro_rest_without_candidate(struct pro *p, struct pro_group *g, clk_ms now)
{
	for (int i = 0; i < g->nmembers; i++)
		g->members[i].rejected_by_promoter = false;
	pro_log_missing(p, g);
	pro_back_off(g, now, pro_why_no_candidate(g));
}

/* Decides what to do once all members have answered or timed out, in a group
 * without leases. */
static void pro_decide(struct pro *p, struct pro_group *g, clk_ms now)
{
	struct pro_member *primary = pro_find_member(g, g->old_primary);
	struct pro_member *best = pro_best_candidate(p, g, now);
	struct pro_member *other = pro_other_primary(g);
	bool replace = g->planned ||
		       pro_many_suspect(p, g, PRO_LASTING_REPORTS_MS, now);

	if (other && !(pro_is_primary(primary) &&
		       primary->status.term >= other->status.term)) {
		pro_record_primary(p, g, other->id, other->status.term, now);
	} else if (pro_is_primary(primary) && !replace) {
		pro_back_off(g, now, "primary answers");
	} else if (!best) {
		pro_rest_without_candidate(p, g, now);
	} else if (pro_is_primary(primary)) {
		pro_step_down(p, g, primary, now);
	} else if (pro_answered(primary) && primary->reply == PRO_BUSY) {
		pro_back_off(g, now, "primary is busy");
	} else if (!primary || pro_answered(primary) || g->planned ||
		   pro_primary_failed(p, g, now)) {
		/* The primary has left, was deposed, or is unreachable. */
		pro_start_promotion(p, g, best, now);
	} else {
		pro_keep_probing(p, g, now);
	}
}

bool pro_awaits_replies(const struct pro_group *g, clk_ms now)
{
	bool watched = g->phase == PRO_PROBING &&
		       now - g->phase_since >= PRO_STATUS_TIMEOUT_MS;

	for (int i = 0; i < g->nmembers; i++) {
		const struct pro_member *m = &g->members[i];

		if (m->awaiting_reply &&
		    now - m->request_sent_at < PRO_STATUS_TIMEOUT_MS &&
		    !(watched && !strcmp(m->id, g->old_primary)))
			return true;
	}
	return false;
}

/* Handles a group without a recorded primary: records a member that claims to
 * lead, or else returns true once the members must be probed. Members of a new
 * group first get time for their first announcements. */
static bool pro_needs_first_probe(struct pro *p, struct pro_group *g,
				  clk_ms now)
{
	const struct group_info *info = state_group(p->state, g->name);
	const struct backend_info *claimant = pro_claimant(p, g);

	if (claimant && (!info || !info->primary[0])) {
		pro_record_primary(p, g, claimant->id, 0, now);
		return false;
	}
	/* The recorded primary has left; otherwise, no member has ever led. */
	if (info && info->primary[0])
		return true;
	if (!g->no_primary_since)
		g->no_primary_since = now;
	return now - g->no_primary_since >= PRO_ANNOUNCE_WAIT_MS;
}

static bool pro_needs_probe(struct pro *p, struct pro_group *g, clk_ms now)
{
	const struct backend_info *primary = pro_recorded_primary(p, g);

	pro_expire_reports(g, now);
	if (now < g->next_change_at)
		return false;
	if (!primary)
		return pro_needs_first_probe(p, g, now);
	g->no_primary_since = 0;
	if (state_group(p->state, g->name)->changing_primary)
		return true;
	/* If the promoter does not depose the old primary, members that claim
	 * to lead are those that were replaced and don't know it yet. */
	if (pro_deposes(p) && pro_claimant(p, g))
		return true;
	if (primary->leaving || !primary->announced_primary ||
	    g->primary_succeeded || g->has_uncovered_logs)
		return true;
	return g->nreports > 0 && !strcmp(g->suspected_member, primary->id);
}

static void pro_tick_group(struct pro *p, struct pro_group *g, clk_ms now)
{
	switch (g->phase) {
	case PRO_IDLE:
		if (pro_has_leases(p, g))
			pro_forget_late_call(p, g, now);
		if (g->sync_replicas)
			pro_tick_resume(p, g, now);
		pro_learn_term(p, g, now);
		if (pro_needs_probe(p, g, now))
			pro_start_probing(p, g, now);
		else if (now >= g->next_change_at)
			g->only_discarded_since = 0;
		break;
	case PRO_PROBING:
		if (pro_awaits_replies(g, now))
			break;
		pro_expire_reports(g, now);
		if (pro_has_leases(p, g))
			pro_decide_leased(p, g, now);
		else
			pro_decide(p, g, now);
		break;
	case PRO_STEPPING_DOWN:
		pro_tick_step_down(p, g, now);
		break;
	case PRO_DRAINING:
		pro_tick_drain(p, g, now);
		break;
	case PRO_WAITING:
		pro_tick_waiting(p, g, now);
		break;
	case PRO_COMPARING:
		pro_tick_comparing(p, g, now);
		break;
	case PRO_NAMING:
		pro_tick_naming(p, g, now);
		break;
	case PRO_CALLING:
		/* An earlier call may have been carried out only now. */
		if (!pro_check_target(p, g, now) &&
		    now - g->phase_since >= PRO_CALL_DROPPED_MS)
			pro_on_promoter_reply(p, g->call_number, 0, now);
		break;
	case PRO_SETTLING:
		pro_tick_settle(p, g, now);
		break;
	}
}

void pro_tick(struct pro *p, clk_ms now)
{
	if (!p->leading)
		return;
	if (p->scanned_view != state_view_version(p->state))
		pro_find_claimants(p);
	pro_tick_ended(p, now);
	for (size_t i = 0; i < p->ngroups; i++)
		pro_tick_group(p, &p->groups[i], now);
}

void pro_on_status(struct pro *p, int64_t number, const struct pro_status *s,
		   clk_ms now)
{
	for (size_t i = 0; i < p->ngroups; i++) {
		struct pro_group *g = &p->groups[i];

		for (int j = 0; j < g->nmembers; j++) {
			struct pro_member *m = &g->members[j];

			if (!m->awaiting_reply || m->request_number != number)
				continue;
			m->awaiting_reply = false;
			m->reply = s->reply;
			m->status = *s;
			if (s->reply == PRO_OK && s->term > g->newest_term)
				g->newest_term = s->term;
			pro_tick_group(p, g, now);
			return;
		}
	}
}

void pro_on_promoter_reply(struct pro *p, int64_t number, int status,
			   clk_ms now)
{
	for (size_t i = 0; i < p->ngroups; i++) {
		struct pro_group *g = &p->groups[i];
		struct pro_member *m;

		if (g->phase != PRO_CALLING || g->call_number != number)
			continue;
		log_info("promote",
			 "event=call_answered group=%s member=%s "
			 "status=%d",
			 g->name, g->target, status);
		if (status == 200) {
			pro_set_phase(g, PRO_SETTLING, now);
			return;
		}
		m = pro_find_member(g, g->target);
		g->unanswered_calls = status ? 0 : g->unanswered_calls + 1;
		if (!status && pro_has_leases(p, g))
			pro_note_unanswered_call(g, now);
		if (m && !status &&
		    g->unanswered_calls < PRO_MAX_UNANSWERED_CALLS) {
			pro_call_again(p, g, m, now);
			return;
		}
		if (m && status == 409)
			m->rejected_by_promoter = true;
		pro_back_off(g, now, "the promoter did not confirm");
		return;
	}
}
