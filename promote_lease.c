#include "promote_priv.h"

#include "log.h"

#include <stdio.h>
#include <string.h>

/* Changes of primary where proxies hold leases, see promote.h. */

void pro_use_leases(struct pro *p, enum pro_leased groups, clk_ms lease_ms,
		    clk_ms overlap_ms)
{
	p->leased_groups = groups;
	p->lease_ms = lease_ms;
	p->overlap_ms = overlap_ms;
}

void pro_on_lease(struct pro *p, const char *proxy, int64_t view_version,
		  clk_ms now)
{
	if (p->lease_ms)
		lse_record(&p->leases, proxy, view_version, now);
}

void pro_on_lease_support(struct pro *p, clk_ms until)
{
	lse_note_support(&p->leases, until);
}

static const struct group_info *pro_info(const struct pro *p,
					 const struct pro_group *g)
{
	return state_group(p->state, g->name);
}

/* The member that the promoter was or may have been asked to promote. */
static bool pro_is_named(const struct pro *p, const struct pro_group *g)
{
	const struct group_info *info = pro_info(p, g);

	return info && info->changing_primary && info->candidate[0];
}

/* Proposes that the group's primary is being changed, to a candidate if it is
 * not empty. */
static void pro_record_change(struct pro *p, struct pro_group *g,
			      const char *candidate, clk_ms now)
{
	const struct group_info *info = pro_info(p, g);
	struct pro_action *a = pro_queue_act(p, g, PRO_RECORD_CHANGE);
	int64_t term = info ? info->change_term : 0;

	if (info && info->term > term)
		term = info->term;
	a->term = term + 1;
	snprintf(a->member, ID_LEN, "%s", candidate);
	if (now < g->late_call_until)
		memcpy(a->late_call, g->called_member, ID_LEN);
}

/* Asks the old primary to step down, since its leases needn't be waited for
 * once it has. */
static void pro_ask_to_step_down(struct pro *p, struct pro_group *g, clk_ms now)
{
	struct pro_member *m = pro_find_member(g, g->old_primary);

	if (m)
		pro_send_command(p, g, m, PRO_STEP_DOWN, g->newest_term + 1,
				 now);
}

void pro_begin_change(struct pro *p, struct pro_group *g, clk_ms now)
{
	const struct group_info *info = pro_info(p, g);

	if (!info || !info->changing_primary) {
		pro_record_change(p, g, "", now);
		g->uncovered_since = 0;
		g->unused_since = 0;
	}
	log_info("promote",
		 "event=change_begins group=%s primary=%s reports=%d", g->name,
		 g->old_primary, g->nreports);
	pro_set_phase(g, PRO_WAITING, now);
	pro_ask_to_step_down(p, g, now);
}

/* True if the member leads, or believes so, for another reason than that this
 * change named it. It steps down first: another member may have been promoted
 * since, and its lead could be taken for that of the call. */
static bool pro_must_step_down_first(const struct pro *p,
				     const struct pro_group *g,
				     const struct pro_member *m)
{
	return pro_is_primary(m) &&
	       !(pro_is_named(p, g) &&
		 !strcmp(pro_info(p, g)->candidate, m->id));
}

struct pro_member *pro_next_candidate(struct pro *p, struct pro_group *g,
				      clk_ms now)
{
	struct pro_member *m;

	pro_note_earlier_calls(p, g);
	m = pro_late_call_pending(p, g, now)
		    ? pro_find_member(g, g->called_member)
		    : pro_best_candidate(p, g, now);
	if (!pro_may_be_promoted(g, m))
		return NULL;
	if (!pro_must_step_down_first(p, g, m))
		return m;
	pro_send_command(p, g, m, PRO_STEP_DOWN, g->newest_term + 1, now);
	return NULL;
}

void pro_name_candidate(struct pro *p, struct pro_group *g,
			struct pro_member *m, clk_ms now)
{
	if (strcmp(g->target, m->id) != 0)
		g->fencing_token = 0;
	memcpy(g->target, m->id, ID_LEN);
	g->candidate_end = m->status.received_pos;
	pro_record_change(p, g, m->id, now);
	pro_set_phase(g, PRO_NAMING, now);
}

/* True if the candidate still holds what it was chosen for. */
static bool pro_keeps_its_log(const struct pro_group *g,
			      const struct pro_member *m)
{
	return !g->sync_replicas ||
	       (m->reply == PRO_OK &&
		pos_cmp(m->status.received_pos, g->candidate_end) >= 0);
}

void pro_tick_naming(struct pro *p, struct pro_group *g, clk_ms now)
{
	const struct group_info *info = pro_info(p, g);
	struct pro_member *m = pro_find_member(g, g->target);
	bool named = info && info->changing_primary &&
		     !strcmp(info->candidate, g->target);

	if (g->sync_replicas && pro_logs_changed(p, g))
		pro_back_off(g, now, "members have come or gone");
	else if (m && named && !m->awaiting_reply && !pro_keeps_its_log(g, m))
		pro_back_off(g, now, "the candidate does not hold its log");
	else if (m && named && !(g->sync_replicas && m->awaiting_reply))
		pro_call_promoter(p, g, m, now);
	else if (now - g->phase_since >= PRO_SETTLE_TIMEOUT_MS)
		pro_back_off(g, now, "the candidate was not recorded");
}

static bool pro_answers(const struct pro_member *m)
{
	return m && !m->awaiting_reply && m->reply == PRO_OK;
}

/* Asks the members again whose last answers are old, so that the candidate is
 * chosen by what they hold now. */
static void pro_poll_members(struct pro *p, struct pro_group *g, clk_ms now)
{
	for (int i = 0; i < g->nmembers; i++) {
		struct pro_member *m = &g->members[i];
		clk_ms pause = m->awaiting_reply ? PRO_STATUS_TIMEOUT_MS
						 : PRO_DRAIN_POLL_MS;

		if (now - m->request_sent_at < pause)
			continue;
		if (!strcmp(m->id, g->old_primary))
			pro_ask_to_step_down(p, g, now);
		else
			pro_request_status(p, g, m, now);
	}
}

/* True once no proxy uses the old primary any more. */
static bool pro_is_unused(const struct pro *p, struct pro_group *g, clk_ms now)
{
	clk_ms at = lse_over_at(&p->leases, pro_info(p, g)->version,
				g->uncovered_since);

	if (!g->unused_since && now >= at)
		g->unused_since = now;
	return g->unused_since != 0;
}

/* True if the old primary has confirmed that it stepped down, and replicas can
 * receive the rest of its log. */
static bool pro_may_drain(const struct pro *p, const struct pro_group *g,
			  const struct pro_member *primary)
{
	return pro_is_replica(primary) &&
	       primary->request_type == PRO_STEP_DOWN && !g->drain_failed &&
	       !pro_is_named(p, g);
}

static void pro_end_waiting(struct pro *p, struct pro_group *g, clk_ms now)
{
	struct pro_member *best;

	log_info("promote", "event=leases_over group=%s waited_ms=%lld",
		 g->name, (long long)(now - g->phase_since));
	if (g->sync_replicas) {
		pro_compare(p, g, now);
		return;
	}
	best = pro_next_candidate(p, g, now);
	if (best)
		pro_name_candidate(p, g, best, now);
	else
		pro_back_off(g, now, pro_why_no_candidate(g));
}

/* True if an old primary that stepped down at a time stays so: a late call
 * could make it lead again. */
static bool pro_step_down_counts(const struct pro_group *g, clk_ms at)
{
	return at >= g->late_call_until;
}

void pro_tick_waiting(struct pro *p, struct pro_group *g, clk_ms now)
{
	const struct group_info *info = pro_info(p, g);
	const struct pro_member *primary = pro_find_member(g, g->old_primary);
	bool deposed = pro_answers(primary) && !primary->status.primary &&
		       pro_step_down_counts(g, primary->request_sent_at);

	if (!info || !info->changing_primary) {
		if (now - g->phase_since >= PRO_SETTLE_TIMEOUT_MS)
			pro_back_off(g, now, "the change was not recorded");
		return;
	}
	if (!g->uncovered_since)
		g->uncovered_since = now;
	if (deposed && pro_may_drain(p, g, primary)) {
		log_info("promote", "event=stepped_down group=%s member=%s",
			 g->name, primary->id);
		g->drain_position = primary->status.received_pos;
		pro_set_phase(g, PRO_DRAINING, now);
	} else if (!(deposed && !g->sync_replicas) &&
		   !pro_is_unused(p, g, now)) {
		pro_poll_members(p, g, now);
	} else {
		pro_end_waiting(p, g, now);
	}
}

/* True if the member leads since a promotion that followed the recorded
 * primary's: a member may still believe in one before that. */
static bool pro_leads_newly(const struct pro *p, const struct pro_group *g,
			    const struct pro_member *m)
{
	const struct group_info *info = pro_info(p, g);

	return pro_is_primary(m) && m->status.term > info->member_term;
}

bool pro_check_leased_target(struct pro *p, struct pro_group *g, clk_ms now)
{
	struct pro_member *m = pro_find_member(g, g->target);

	if (!m)
		return false;
	if (pro_leads_newly(p, g, m)) {
		pro_record_primary(p, g, m->id, m->status.term, now);
		return true;
	}
	if (now - m->request_sent_at >=
	    (m->awaiting_reply ? PRO_STATUS_TIMEOUT_MS : PRO_DRAIN_POLL_MS))
		pro_request_status(p, g, m, now);
	return false;
}

bool pro_waits_to_give_up(const struct pro *p, const struct pro_group *g)
{
	return pro_deposes(p) && pro_has_leases(p, g) &&
	       g->unanswered_calls >= PRO_MAX_UNANSWERED_CALLS;
}

/* True if a change may end with the old primary, which answers that it leads. A
 * member that was called may lead in its place. Only a promoter that deposes
 * makes the answer of the old one tell. */
static bool pro_may_give_up(const struct pro *p, const struct pro_group *g,
			    const struct pro_member *primary)
{
	return !pro_is_named(p, g) ||
	       (pro_waits_to_give_up(p, g) &&
		primary->request_sent_at >= g->late_call_until);
}

void pro_decide_leased(struct pro *p, struct pro_group *g, clk_ms now)
{
	const struct group_info *info = pro_info(p, g);
	struct pro_member *primary = pro_find_member(g, g->old_primary);
	struct pro_member *other = pro_other_primary(g);
	bool named = pro_is_named(p, g);
	bool changing = info && info->changing_primary;
	struct pro_member *candidate =
		named ? pro_find_member(g, info->candidate) : NULL;
	struct pro_member *best = pro_next_candidate(p, g, now);
	bool lasting = pro_many_suspect(p, g, PRO_LASTING_REPORTS_MS, now);

	pro_note_primary_end(g, g->planned || lasting);
	pro_check_covered(p, g, now);
	if (candidate && pro_leads_newly(p, g, candidate)) {
		pro_record_primary(p, g, candidate->id, candidate->status.term,
				   now);
	} else if (pro_is_primary(primary) && !g->planned && !lasting &&
		   pro_may_give_up(p, g, primary)) {
		/* No call can be carried out any more, so it still leads. */
		if (changing)
			pro_record_primary(p, g, primary->id,
					   primary->status.term, now);
		else
			pro_back_off(g, now, "primary answers");
	} else if (named && pro_is_primary(primary) && !g->planned &&
		   !lasting && pro_waits_to_give_up(p, g)) {
		pro_back_off(g, now, "an earlier call may be carried out");
	} else if (other && pro_deposes(p) && !pro_is_primary(primary) &&
		   !pro_late_call_pending(p, g, now)) {
		/* Such as the successor of the primary, in the same term. */
		pro_record_primary(p, g, other->id, other->status.term, now);
	} else if (!best) {
		pro_rest_without_candidate(p, g, now);
	} else if (!named && pro_is_primary(primary) &&
		   pro_step_down_counts(g, now)) {
		pro_step_down(p, g, primary, now);
	} else if (!named && !changing && primary && !primary->awaiting_reply &&
		   primary->reply == PRO_BUSY) {
		pro_back_off(g, now, "primary is busy");
	} else if (changing || !primary || pro_answers(primary) || g->planned ||
		   pro_primary_failed(p, g, now)) {
		pro_begin_change(p, g, now);
	} else {
		pro_keep_probing(p, g, now);
	}
}
