#include "rotation.h"

enum rot_event rot_look(struct rotation *r, const struct rot_seen *l,
			clk_ms now)
{
	if (!l->doubtful)
		r->doubt = 0;
	else if (!r->doubt)
		r->doubt = now;
	r->lost = l->lost ? r->lost + 1 : 0;
	if (r->cut_off) {
		if (l->lost || !l->leader)
			return ROT_NOTHING;
		r->cut_off = 0;
		r->doubt = 0;
		return ROT_CONNECTED;
	}
	if (r->lost < ROT_LOOKS || !l->misses_primary)
		return ROT_NOTHING;
	r->cut_off = now;
	/* If control has been unheard for longer than a probe interval, only
	 * every second probe was refused, so two consecutive refusals can only
	 * begin now. */
	r->leaves = r->doubt && now - r->doubt < ROT_PROBE_MS ? r->doubt : now;
	return ROT_CUT_OFF;
}

bool rot_probe(struct rotation *r)
{
	if (r->cut_off)
		return false;
	r->warned = r->doubt && !r->warned;
	return !r->warned;
}

bool rot_is_out(const struct rotation *r, clk_ms now)
{
	return r->cut_off && now - r->leaves >= ROT_NOTICE_MS;
}
