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

void pro_call_again(struct pro *p, struct pro_group *g, struct pro_member *m,
		    clk_ms now)
{
	if (!g->sync_replicas) {
		pro_call_promoter(p, g, m, now);
		return;
	}
	pro_request_status(p, g, m, now);
	pro_set_phase(g, PRO_NAMING, now);
}

void pro_promote(struct pro *p, struct pro_group *g, struct pro_member *m,
		 clk_ms now)
{
	if (pro_has_leases(p, g))
		pro_name_candidate(p, g, m, now);
	else
		pro_call_promoter(p, g, m, now);
}

void pro_send_command(struct pro *p, struct pro_group *g, struct pro_member *m,
		      enum pro_action_type type, int64_t term, clk_ms now)
{
	struct pro_action *a = pro_queue_act(p, g, type);

	memcpy(a->member, m->id, ID_LEN);
	memcpy(a->addr, m->addr, ADDR_LEN);
	a->term = term;
	m->request_number = a->action_id;
	m->request_type = type;
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

void pro_compare(struct pro *p, struct pro_group *g, clk_ms now)
{
	for (int i = 0; i < g->nmembers; i++)
		pro_request_status(p, g, &g->members[i], now);
	g->candidate_end = (struct pos){0};
	pro_set_phase(g, PRO_COMPARING, now);
}

/* Promotes the best member, once no lease covers the group any more if it has
 * any. */
void pro_start_promotion(struct pro *p, struct pro_group *g,
			 struct pro_member *best, clk_ms now)
{
	if (pro_has_leases(p, g))
		pro_begin_change(p, g, now);
	else
		pro_call_promoter(p, g, best, now);
}

static struct pro_member *pro_choose(struct pro *p, struct pro_group *g,
				     clk_ms now)
{
	return pro_has_leases(p, g) ? pro_next_candidate(p, g, now)
				    : pro_best_candidate(p, g, now);
}

void pro_tick_drain(struct pro *p, struct pro_group *g, clk_ms now)
{
	struct pro_member *best = pro_choose(p, g, now);

	/* Without synchronous replicas, commits that no replica has received in
	 * time may be lost. */
	if (best &&
	    (pos_cmp(best->status.received_pos, g->drain_position) >= 0 ||
	     (!g->sync_replicas &&
	      now - g->phase_since >= PRO_DRAIN_TIMEOUT_MS))) {
		pro_promote(p, g, best, now);
		return;
	}
	if (now - g->phase_since >= PRO_DRAIN_TIMEOUT_MS) {
		g->drain_failed = true;
		pro_back_off(g, now, "no replica caught up in time");
		return;
	}
	for (int i = 0; i < g->nmembers; i++) {
		struct pro_member *m = &g->members[i];

		if (strcmp(m->id, g->old_primary) != 0 &&
		    now - m->request_sent_at >= (m->awaiting_reply
							 ? PRO_STATUS_TIMEOUT_MS
							 : PRO_DRAIN_POLL_MS))
			pro_request_status(p, g, m, now);
	}
}

void pro_tick_comparing(struct pro *p, struct pro_group *g, clk_ms now)
{
	struct pro_member *best;

	if (pro_awaits_replies(g, now))
		return;
	if (pro_logs_changed(p, g)) {
		pro_back_off(g, now, "members have come or gone");
		return;
	}
	best = pro_next_candidate(p, g, now);
	if (!best) {
		pro_rest_without_candidate(p, g, now);
	} else if (now < g->phase_since + PRO_STATUS_TIMEOUT_MS + PRO_JOIN_MS) {
		return;
	} else if (pos_is_none(g->candidate_end)) {
		g->candidate_end = best->status.received_pos;
		pro_request_status(p, g, best, now);
	} else if (pos_cmp(best->status.received_pos, g->candidate_end) < 0) {
		pro_back_off(g, now, "the candidate has started again");
	} else {
		pro_name_candidate(p, g, best, now);
	}
}

void pro_tick_step_down(struct pro *p, struct pro_group *g, clk_ms now)
{
	struct pro_member *primary = pro_find_member(g, g->old_primary);
	struct pro_member *best;

	if (primary && primary->awaiting_reply &&
	    now - primary->request_sent_at < PRO_STATUS_TIMEOUT_MS)
		return;
	if (primary && primary->reply == PRO_OK && !primary->awaiting_reply) {
		g->drain_position = primary->status.received_pos;
		pro_set_phase(g, PRO_DRAINING, now);
		pro_tick_drain(p, g, now);
		return;
	}
	/* Control has no answer either, and proxies have reported the primary
	 * for a long time. */
	best = pro_best_candidate(p, g, now);
	if (!g->planned && best &&
	    pro_many_suspect(p, g, PRO_LASTING_REPORTS_MS, now))
		pro_start_promotion(p, g, best, now);
	else
		pro_back_off(g, now, "step down was not answered");
}

bool pro_claims_to_lead(const struct pro *p, const char *member)
{
	const struct backend_info *b = state_backend(p->state, member);

	return b && b->announced_primary;
}

bool pro_check_target(struct pro *p, struct pro_group *g, clk_ms now)
{
	struct pro_member *m = pro_find_member(g, g->target);

	if (pro_has_leases(p, g))
		return pro_check_leased_target(p, g, now);
	if (!pro_claims_to_lead(p, g->target)) {
		g->target_claimed = false;
		return false;
	}
	if (!g->target_claimed) {
		pro_record_primary(p, g, g->target, 0, now);
		return true;
	}
	if (pro_is_primary(m) && m->status.term > g->target_term) {
		pro_record_primary(p, g, g->target, m->status.term, now);
		return true;
	}
	if (m && now - m->request_sent_at >= (m->awaiting_reply
						      ? PRO_STATUS_TIMEOUT_MS
						      : PRO_DRAIN_POLL_MS))
		pro_request_status(p, g, m, now);
	return false;
}

void pro_tick_settle(struct pro *p, struct pro_group *g, clk_ms now)
{
	if (!pro_check_target(p, g, now) &&
	    now - g->phase_since >= PRO_SETTLE_TIMEOUT_MS)
		pro_back_off(g, now,
			     "the new primary has not announced itself");
}
