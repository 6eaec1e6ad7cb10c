#include "promote_priv.h"

#include "log.h"

#include <string.h>

/* Which member the promoter is asked to promote, see promote.h. */

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

struct pro_member *pro_best_candidate(const struct pro *p, struct pro_group *g)
{
	const struct group_info *info = state_group(p->state, g->name);
	int64_t newest = pro_known_term(info, g);
	bool any_log = pro_term_is_lost(g, newest);
	struct pro_member *best = NULL;

	for (int i = 0; i < g->nmembers; i++) {
		struct pro_member *m = &g->members[i];

		if (m->awaiting_reply || m->reply != PRO_OK ||
		    m->rejected_by_promoter || !strcmp(m->id, g->old_primary))
			continue;
		if (!any_log && !pro_log_is_kept(info, m, newest))
			continue;
		if (!best || (best->leaving && !m->leaving) ||
		    (best->leaving == m->leaving &&
		     pos_cmp(m->status.received_pos,
			     best->status.received_pos) > 0))
			best = m;
	}
	return best;
}

/* How many commits the log had at least when the member began to lead; 0 if
 * unknown. */
static int64_t pro_term_start(const struct group_info *info,
			      const struct pro_group *g, const char *member)
{
	if ((g->phase == PRO_CALLING || g->phase == PRO_SETTLING) &&
	    !strcmp(g->target, member))
		return g->target_held;
	if (info && !strcmp(info->primary, member))
		return info->member_term_start;
	return 0;
}

void pro_fill_member_term(const struct pro *p, const struct pro_group *g,
			  int64_t member_term, struct pro_action *a)
{
	const struct group_info *info = state_group(p->state, g->name);

	a->member_term = member_term;
	a->member_term_start = pro_term_start(info, g, a->member);
	if (member_term || !info)
		return;
	/* It is later than that of the primary before. */
	a->member_term = info->member_term;
	if (info->member_term && info->member_term_start < a->member_term_start)
		a->member_term_start = info->member_term_start;
}

/* The recorded primary, if its own term is to be asked for. */
static struct pro_member *pro_member_to_ask(struct pro *p, struct pro_group *g,
					    const struct group_info *info)
{
	/* Before the first change no promotion has discarded anything. */
	if (p->use_leases || !info || info->term <= 1 ||
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
	g->confirmed_term =
		pro_propose_primary(p, g, m->id, m->status.term, now);
	log_info("promote", "event=member_term group=%s member=%s term=%lld",
		 g->name, m->id, (long long)m->status.term);
}
