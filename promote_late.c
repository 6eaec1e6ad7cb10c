#include "promote_priv.h"

#include <stdio.h>
#include <string.h>

/* Calls to the promoter that got no answer and may still be carried out, see
 * promote.h. */

void pro_note_unanswered_call(struct pro_group *g, clk_ms now)
{
	memcpy(g->called_member, g->target, ID_LEN);
	g->late_call_until = now + PRO_LATE_CALL_MS;
}

void pro_note_earlier_calls(const struct pro *p, struct pro_group *g)
{
	const struct group_info *info = state_group(p->state, g->name);
	const char *called = !info ? ""
			     : info->changing_primary && info->candidate[0]
				     ? info->candidate
				     : info->late_call;

	if (!called[0] || g->late_call_until || !strcmp(g->target, called))
		return;
	memcpy(g->called_member, called, ID_LEN);
	g->late_call_until = p->leading_since + PRO_LATE_CALL_MS;
}

bool pro_late_call_pending(const struct pro *p, const struct pro_group *g,
			   clk_ms now)
{
	return now < g->late_call_until &&
	       !(pro_deposes(p) && !strcmp(g->called_member, g->old_primary));
}

void pro_forget_late_call(struct pro *p, struct pro_group *g, clk_ms now)
{
	const struct group_info *info = state_group(p->state, g->name);

	if (!info || info->changing_primary || !info->late_call[0])
		return;
	pro_note_earlier_calls(p, g);
	if (now < g->late_call_until || now < g->next_change_at)
		return;
	pro_record_primary(p, g, info->primary, info->member_term, now);
}
