#include "promote_priv.h"

#include "log.h"

#include <string.h>

/* Orders to replicas that may still be carried out, see promote.h. */

/* True once the stage is recorded; else it is proposed. A later proposal waits
 * until the one before is recorded, so that what is recorded then is true. */
static bool pro_reach_stage(struct pro *p, struct pro_group *g,
			    enum orders_stage stage, clk_ms now)
{
	enum orders_stage have = state_orders(p->state, g->name);

	if (g->stage_pending && have == g->proposed_stage)
		g->stage_pending = false;
	if (!g->stage_pending && have == stage)
		return true;
	if (!g->stage_pending)
		g->proposed_stage = stage;
	else if (now - g->stage_proposed_at < PRO_REPROPOSE_MS)
		return false;
	g->stage_pending = true;
	g->stage_proposed_at = now;
	pro_queue_act(p, g, PRO_RECORD_ORDERS)->stage = g->proposed_stage;
	return false;
}

bool pro_may_order(struct pro *p, struct pro_group *g, clk_ms now)
{
	return pro_reach_stage(p, g, ORDERS_UNDER_WAY, now);
}

bool pro_may_order_pauses(struct pro *p, struct pro_group *g, clk_ms now)
{
	if (!g->stage_pending &&
	    state_orders(p->state, g->name) == ORDERS_UNDER_WAY)
		return true;
	return pro_reach_stage(p, g, ORDERS_PAUSING, now);
}

static void pro_extend(clk_ms *until, clk_ms to)
{
	if (to > *until)
		*until = to;
}

static void pro_note_late_order(struct pro_group *g, struct pro_member *m)
{
	clk_ms until = m->request_sent_at + PRO_LATE_CALL_MS;

	if (m->request_type == PRO_RESUME)
		pro_extend(&m->late_resume_until, until);
	if (m->request_type == PRO_PAUSE)
		pro_extend(&m->late_pause_until, until);
	if (m->request_type == PRO_RESUME || m->request_type == PRO_PAUSE) {
		pro_extend(&g->orders_until, until);
		log_info("promote",
			 "event=order_unanswered group=%s member=%s resume=%d",
			 g->name, m->id, m->request_type == PRO_RESUME);
	}
}

void pro_note_unanswered_order(struct pro_group *g, struct pro_member *m)
{
	if (m->awaiting_reply)
		pro_note_late_order(g, m);
}

static void pro_check_all_receive(struct pro_group *g, clk_ms now)
{
	/* A member that registers now must not receive. */
	if (pro_late_call_pending(g, now))
		return;
	for (int i = 0; i < g->nmembers; i++)
		if (!pro_is_primary(&g->members[i]) && !g->members[i].receives)
			return;
	g->maybe_paused = false;
	g->next_change_at = now;
}

void pro_note_order_answer(struct pro_group *g, struct pro_member *m,
			   clk_ms now)
{
	if (m->reply == PRO_FAILED)
		pro_note_late_order(g, m);
	if (m->request_type != PRO_RESUME || m->reply != PRO_OK)
		return;
	m->receives = now >= m->late_pause_until && now >= g->inherited_until &&
		      now >= g->newcomers_until;
	pro_check_all_receive(g, now);
}

bool pro_may_resume_late(const struct pro_group *g, const struct pro_member *m,
			 clk_ms now)
{
	return now < m->late_resume_until ||
	       (g->inherited_resumes && now < g->inherited_until);
}

bool pro_resume(struct pro *p, struct pro_group *g, clk_ms now)
{
	bool needed = false;

	for (int i = 0; i < g->nmembers; i++)
		needed |= pro_is_replica(&g->members[i]) &&
			  !g->members[i].receives;
	if (!g->maybe_paused)
		return true;
	g->resume_wanted = needed && !pro_may_order(p, g, now);
	if (g->resume_wanted)
		return false;
	for (int i = 0; i < g->nmembers; i++) {
		struct pro_member *m = &g->members[i];

		if (pro_is_replica(m) && !m->receives)
			pro_send_command(p, g, m, PRO_RESUME, 0, now);
	}
	if (needed)
		log_info("promote", "event=resume group=%s", g->name);
	pro_check_all_receive(g, now);
	return true;
}

bool pro_poll_late_receivers(struct pro *p, struct pro_group *g, clk_ms now)
{
	bool found = false;

	for (int i = 0; i < g->nmembers; i++) {
		struct pro_member *m = &g->members[i];

		if (!pro_is_replica(m) || !pro_may_resume_late(g, m, now))
			continue;
		found = true;
		if (now - m->request_sent_at >= PRO_DRAIN_POLL_MS)
			pro_request_status(p, g, m, now);
	}
	return found;
}

void pro_start_orders(const struct pro *p, struct pro_group *g, clk_ms now)
{
	enum orders_stage stage = state_orders(p->state, g->name);

	/* An earlier leader may have left replicas paused. */
	g->maybe_paused = g->sync_replicas > 0 && stage != ORDERS_SETTLED;
	g->inherited_resumes = stage == ORDERS_UNDER_WAY;
	g->inherited_until = g->inherited_resumes || stage == ORDERS_PAUSING
				     ? now + PRO_LATE_CALL_MS
				     : 0;
}

static bool pro_orders_are_over(const struct pro_group *g, clk_ms now)
{
	for (int i = 0; i < g->nmembers; i++) {
		const struct pro_member *m = &g->members[i];

		if (m->awaiting_reply && (m->request_type == PRO_PAUSE ||
					  m->request_type == PRO_RESUME))
			return false;
	}
	return now >= g->orders_until && now >= g->inherited_until &&
	       now >= g->newcomers_until && !pro_late_call_pending(g, now);
}

void pro_tick_orders(struct pro *p, struct pro_group *g, clk_ms now)
{
	enum orders_stage stage = state_orders(p->state, g->name);

	if (g->resume_wanted)
		pro_resume(p, g, now);
	if (!pro_orders_are_over(g, now))
		return;
	if (!g->maybe_paused)
		pro_reach_stage(p, g, ORDERS_SETTLED, now);
	else if (g->primary_kept && stage != ORDERS_UNKNOWN)
		pro_reach_stage(p, g, ORDERS_UNKNOWN, now);
}
