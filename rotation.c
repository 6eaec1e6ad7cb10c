#include "rotation.h"

enum rot_event rot_update(struct rotation *r, const struct rot_connectivity *l,
			  clk_ms now)
{
	if (!l->control_doubtful)
		r->control_doubtful_since = 0;
	else if (!r->control_doubtful_since)
		r->control_doubtful_since = now;
	r->lost_checks = l->control_lost ? r->lost_checks + 1 : 0;
	if (r->cut_off_since) {
		if (l->control_lost || !l->leader_answers)
			return ROT_UNCHANGED;
		r->cut_off_since = 0;
		r->control_doubtful_since = 0;
		return ROT_CONNECTED;
	}
	if (r->lost_checks < ROT_LOST_CHECKS ||
	    (!l->primary_unusable && !l->key_lease_ending))
		return ROT_UNCHANGED;
	r->cut_off_since = now;
	/* If control has been unheard for longer than a probe interval, only
	 * every second probe was refused, so two consecutive refusals can only
	 * begin now. */
	r->refusing_since =
		r->control_doubtful_since && now - r->control_doubtful_since <
						     ROT_PROBE_INTERVAL_MS
			? r->control_doubtful_since
			: now;
	return ROT_CUT_OFF;
}

bool rot_answer_probe(struct rotation *r)
{
	if (r->cut_off_since)
		return false;
	r->probe_refused_in_advance =
		r->control_doubtful_since && !r->probe_refused_in_advance;
	return !r->probe_refused_in_advance;
}

bool rot_removed_by_balancer(const struct rotation *r, clk_ms now)
{
	return r->cut_off_since &&
	       now - r->refusing_since >= ROT_BALANCER_REMOVAL_MS;
}
