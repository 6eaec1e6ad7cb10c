#include "promote_priv.h"

#include <string.h>

/*
 * Earlier versions paused replicas during a change of primary, and recorded in
 * which stage their orders were (enum orders_stage). This one pauses none, but
 * a leader that takes over from an earlier version ends what that one began.
 */

static bool pro_receives(const struct pro_group *g, const struct pro_member *m,
			 clk_ms since)
{
	return !strcmp(m->id, g->old_primary) ||
	       (m->request_type == PRO_RESUME && !m->awaiting_reply &&
		m->reply == PRO_OK && m->request_sent_at >= since);
}

static bool pro_all_receive(const struct pro_group *g, clk_ms since)
{
	for (int i = 0; i < g->nmembers; i++)
		if (!pro_receives(g, &g->members[i], since))
			return false;
	return g->nmembers > 0;
}

void pro_tick_resume(struct pro *p, struct pro_group *g, clk_ms now)
{
	enum orders_stage stage = state_orders(p->state, g->name);
	const struct group_info *info = state_group(p->state, g->name);
	/* An order to pause may be carried out until then. */
	clk_ms over = stage == ORDERS_UNKNOWN
			      ? p->leading_since
			      : p->leading_since + PRO_LATE_CALL_MS;

	if (stage == ORDERS_SETTLED || !info || now < g->next_resume_at)
		return;
	g->next_resume_at = now + PRO_RESUME_INTERVAL_MS;
	if (pro_all_receive(g, over)) {
		pro_queue_act(p, g, PRO_RECORD_ORDERS)->stage = ORDERS_SETTLED;
		return;
	}
	memcpy(g->old_primary, info->primary, ID_LEN);
	pro_load_members(p, g);
	for (int i = 0; i < g->nmembers; i++)
		if (strcmp(g->members[i].id, g->old_primary) != 0)
			pro_send_command(p, g, &g->members[i], PRO_RESUME, 0,
					 now);
}
