#include "promote_priv.h"

#include "log.h"

#include <string.h>

/* Which member the promoter is asked to promote, see promote.h. */

/* A primary that leads can step down, and then its position is known, too. What
 * it held before is used for it, since a replica never quite reaches what a
 * primary holds while it commits. */
static void pro_expect_step_down(const struct pro_group *g, struct cov_log *log)
{
	log->known = true;
	if (!pos_is_none(g->primary_end))
		log->end = g->primary_end;
}

struct cov_group pro_describe_logs(const struct pro_group *g,
				   struct cov_log *list)
{
	for (int i = 0; i < g->nmembers; i++) {
		const struct pro_member *m = &g->members[i];
		bool old = !strcmp(m->id, g->old_primary);

		list[i] = (struct cov_log){
			.end = m->status.received_pos,
			.known = pro_is_replica(m),
			.complete = old,
			/* The old primary is not asked again while others
			 * receive the rest of its log. */
			.may_lead = pro_is_replica(m) &&
				    !m->rejected_by_promoter &&
				    !(old && g->phase == PRO_DRAINING),
			.last_resort = 2 * old + m->leaving,
		};
		if (old && g->phase == PRO_PROBING && pro_is_primary(m))
			pro_expect_step_down(g, &list[i]);
	}
	return (struct cov_group){.logs = list,
				  .n = g->nmembers,
				  .others = g->other_logs,
				  .sync_replicas = g->sync_replicas};
}

void pro_note_primary_end(struct pro_group *g, bool replace)
{
	const struct pro_member *m = pro_find_member(g, g->old_primary);

	g->primary_end = replace && pro_is_primary(m) ? m->status.received_pos
						      : (struct pos){0};
}

static struct pro_member *pro_covering_candidate(struct pro_group *g)
{
	struct cov_log list[PRO_MAX_MEMBERS];
	struct cov_group logs = pro_describe_logs(g, list);
	int best = cov_choose(&logs);

	return best == COV_NONE ? NULL : &g->members[best];
}

/* True if the promotion of this member loses no acknowledged commit. */
static bool pro_covers(const struct pro_group *g, const struct pro_member *m)
{
	struct cov_log list[PRO_MAX_MEMBERS];
	struct cov_group logs = pro_describe_logs(g, list);

	return !g->sync_replicas || cov_holds_all(&logs, (int)(m - g->members));
}

/* The newest term of the members' own that control knows of. A former primary
 * may count its step down as a term. */
static int64_t pro_known_term(const struct group_info *info,
			      const struct pro_group *g)
{
	int64_t newest = info ? info->member_term : 0;

	for (int i = 0; i < g->nmembers; i++) {
		const struct pro_member *m = &g->members[i];

		if (!strcmp(m->id, g->old_primary) && !pro_is_primary(m))
			continue;
		if (m->status.term > newest)
			newest = m->status.term;
	}
	return newest;
}

/* True if the promotion that began the newest term discarded nothing of the
 * member's log. */
static bool pro_log_is_kept(const struct group_info *info,
			    const struct pro_member *m, int64_t newest)
{
	if (m->status.term >= newest)
		return true;
	return info && info->member_term == newest &&
	       m->status.term == newest - 1 &&
	       m->status.received_pos.number <= info->member_term_start;
}

/* True if no member is left that may have joined the newest term. */
static bool pro_term_is_lost(const struct pro_group *g, int64_t newest)
{
	for (int i = 0; i < g->nmembers; i++) {
		const struct pro_member *m = &g->members[i];

		if (m->awaiting_reply || m->reply != PRO_OK ||
		    m->status.term >= newest)
			return false;
	}
	return true;
}

/* An old primary that has stepped down may lead again if no other member holds
 * all acknowledged commits. */
static bool pro_may_be_called(const struct pro_group *g,
			      const struct pro_member *m)
{
	return !m->awaiting_reply && m->reply == PRO_OK &&
	       !m->rejected_by_promoter &&
	       (strcmp(m->id, g->old_primary) != 0 ||
		(g->sync_replicas && !m->status.primary));
}

static bool pro_is_better(const struct pro_member *m,
			  const struct pro_member *than)
{
	if (!than || m->leaving != than->leaving)
		return !than || than->leaving;
	return pos_cmp(m->status.received_pos, than->status.received_pos) > 0;
}

struct pro_member *pro_best_candidate(const struct pro *p, struct pro_group *g,
				      clk_ms now)
{
	const struct group_info *info = state_group(p->state, g->name);
	int64_t newest = pro_known_term(info, g);
	struct pro_member *kept = NULL;
	struct pro_member *discarded = NULL;

	if (g->sync_replicas)
		return pro_covering_candidate(g);
	for (int i = 0; i < g->nmembers; i++) {
		struct pro_member *m = &g->members[i];
		struct pro_member **best =
			pro_log_is_kept(info, m, newest) ? &kept : &discarded;

		if (pro_may_be_called(g, m) && pro_is_better(m, *best))
			*best = m;
	}
	if (kept || !discarded) {
		if (kept)
			g->only_discarded_since = 0;
		return kept;
	}
	if (!g->only_discarded_since)
		g->only_discarded_since = now;
	if (pro_term_is_lost(g, newest) ||
	    now - g->only_discarded_since >= PRO_DISCARDED_LOG_WAIT_MS)
		return discarded;
	return NULL;
}

bool pro_may_be_promoted(const struct pro_group *g, const struct pro_member *m)
{
	return m && pro_may_be_called(g, m) && pro_covers(g, m);
}

const char *pro_why_no_candidate(const struct pro_group *g)
{
	if (g->sync_replicas)
		return "no member is known to hold all commits";
	return g->only_discarded_since
		       ? "only members answer whose log was discarded"
		       : "no member can be promoted";
}

void pro_fill_member_term(const struct pro *p, const struct pro_group *g,
			  int64_t member_term, struct pro_action *a)
{
	const struct group_info *info = state_group(p->state, g->name);
	int64_t known = info ? info->member_term : 0;
	bool called = (g->phase == PRO_CALLING || g->phase == PRO_SETTLING) &&
		      !strcmp(g->target, a->member);

	a->member_term = member_term ? member_term : known;
	/* A promoted member leads in a later term than it counted before. */
	if (called && !member_term && g->target_term >= known)
		a->member_term = g->target_term + 1;
	/* Of other terms it is unknown with which log they began. */
	if (called && a->member_term == g->target_term + 1)
		a->member_term_start = g->target_held;
	else if (info && !strcmp(info->primary, a->member) &&
		 a->member_term == known)
		a->member_term_start = info->member_term_start;
}

/* The recorded primary, if its own term is to be asked for. */
static struct pro_member *pro_member_to_ask(struct pro *p, struct pro_group *g,
					    const struct group_info *info)
{
	/* Before the first change no promotion has discarded anything. */
	if (pro_has_leases(p, g) || !info || info->term <= 1 ||
	    info->term == g->confirmed_term)
		return NULL;
	if (!pro_find_member(g, info->primary))
		pro_load_members(p, g);
	return pro_find_member(g, info->primary);
}

void pro_learn_term(struct pro *p, struct pro_group *g, clk_ms now)
{
	const struct group_info *info = state_group(p->state, g->name);
	struct pro_member *m = pro_member_to_ask(p, g, info);

	if (!m)
		return;
	if (!pro_is_primary(m) || m->request_sent_at < g->recorded_at) {
		if (now - m->request_sent_at >=
		    (m->awaiting_reply ? PRO_STATUS_TIMEOUT_MS : PRO_RETRY_MS))
			pro_request_status(p, g, m, now);
		return;
	}
	g->confirmed_term = info->term;
	if (m->status.term <= info->member_term)
		return;
	g->confirmed_term = pro_propose_primary(p, g, m->id, m->status.term,
						info->late_call, now);
	log_info("promote", "event=member_term group=%s member=%s term=%lld",
		 g->name, m->id, (long long)m->status.term);
}
