#include "promote_priv.h"

#include "counter.h"
#include "log.h"

#include <string.h>

void pro_call_promoter(struct pro *p, struct pro_group *g, struct pro_member *m,
		       clk_ms now)
{
	struct pro_action *a = pro_queue_act(p, g, PRO_CALL_PROMOTER);

	memcpy(a->member, m->id, ID_LEN);
	memcpy(a->addr, m->addr, ADDR_LEN);
	if (!g->fencing_token || strcmp(g->target, m->id) != 0) {
		g->fencing_token =
			(p->term << PRO_TOKEN_BITS) + ++p->last_token_number;
		/* Any of the calls may be the one that is carried out. */
		g->target_held = m->status.received_pos.number;
		g->target_term = m->status.term;
	}
	a->promoter_token = g->fencing_token;
	g->target_claimed = pro_claims_to_lead(p, m->id);
	g->call_number = a->action_id;
	memcpy(g->target, m->id, ID_LEN);
	pro_set_phase(g, PRO_CALLING, now);
	cnt_add(CNT_promotions, 1);
	log_warn("promote",
		 "event=promote group=%s member=%s held=%lld.%lld "
		 "old=%s planned=%d reports=%d token=%lld",
		 g->name, m->id, (long long)m->status.received_pos.term,
		 (long long)m->status.received_pos.number, g->old_primary,
		 g->planned, g->nreports, (long long)a->promoter_token);
}

void pro_promote(struct pro *p, struct pro_group *g, struct pro_member *m,
		 clk_ms now)
{
	if (p->use_leases)
		pro_name_candidate(p, g, m, now);
	else if (pro_tracks_late_calls(p, g))
		pro_record_call(p, g, m, now);
	else
		pro_call_promoter(p, g, m, now);
}

void pro_send_command(struct pro *p, struct pro_group *g, struct pro_member *m,
		      enum pro_action_type type, int64_t term, clk_ms now)
{
	struct pro_action *a = pro_queue_act(p, g, type);

	pro_note_unanswered_order(g, m);
	memcpy(a->member, m->id, ID_LEN);
	memcpy(a->addr, m->addr, ADDR_LEN);
	a->term = term;
	if (type == PRO_PAUSE)
		m->receives = false;
	m->request_number = a->action_id;
	m->request_type = type;
	m->request_term = term;
	m->awaiting_reply = true;
	m->request_sent_at = now;
}

void pro_step_down(struct pro *p, struct pro_group *g, struct pro_member *m,
		   clk_ms now)
{
	int64_t term = m->status.term + 1;

	pro_send_command(p, g, m, PRO_STEP_DOWN, term, now);
	pro_set_phase(g, PRO_STEPPING_DOWN, now);
	log_info("promote", "event=step_down group=%s member=%s term=%lld",
		 g->name, m->id, (long long)term);
}

void pro_pause(struct pro *p, struct pro_group *g, clk_ms now)
{
	int64_t term = g->newest_term + 1;

	g->maybe_paused = true;
	if (!pro_may_order_pauses(p, g, now)) {
		pro_set_phase(g, PRO_RECORDING_ORDERS, now);
		return;
	}
	for (int i = 0; i < g->nmembers; i++) {
		struct pro_member *m = &g->members[i];

		/* An old primary that has stepped down may receive, too. */
		if (!strcmp(m->id, g->old_primary) && !pro_is_replica(m))
			continue;
		if (pro_may_resume_late(g, m, now))
			pro_request_status(p, g, m, now);
		else
			pro_send_command(p, g, m, PRO_PAUSE, term, now);
	}
	pro_set_phase(g, PRO_PAUSING, now);
	log_info("promote", "event=pause group=%s term=%lld", g->name,
		 (long long)term);
}

/* Promotes the best member, with synchronous replicas only after a pause, in
 * which it is chosen again. With leases they are waited for first. */
void pro_start_promotion(struct pro *p, struct pro_group *g,
			 struct pro_member *best, clk_ms now)
{
	if (p->use_leases)
		pro_begin_change(p, g, now);
	else if (g->sync_replicas)
		pro_pause(p, g, now);
	else
		pro_call_promoter(p, g, best, now);
}
