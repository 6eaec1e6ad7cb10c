#include "ctl_priv.h"

#include "log.h"

#include <string.h>

/*
 * Which announcements of backends count. They are ordered by numbers that they
 * carry: the incarnation, which is when the backend started, and a sequence
 * number within it. An announcement may be late, and an entry of another writer
 * may look like one.
 */

bool ctl_announcement_possible(const struct ctl *c,
			       const struct backend_info *b, int64_t sequence,
			       clk_ms wall)
{
	const struct backend_info *have = state_backend(c->state, b->id);
	clk_ms age = wall - b->incarnation;

	if (age < -CTL_CLOCK_TOLERANCE_MS)
		return false;
	/* A backend announces itself at most once in a millisecond. */
	if (sequence > (age > 0 ? age : 0) + CTL_CLOCK_TOLERANCE_MS)
		return false;
	return !have || !c->routes || !strcmp(have->group, b->group) ||
	       rt_find_group(c->routes, b->group);
}

/* True if a newer announcement of this backend is known. One of the same
 * incarnation with another group or address is not its own. */
static bool announce_is_old(const struct ctl *c,
			    const struct ctl_backend *known,
			    const struct backend_info *b, int64_t sequence)
{
	const struct backend_info *have = state_backend(c->state, b->id);

	if (known->incarnation != b->incarnation)
		return known->incarnation > b->incarnation;
	return known->newest_sequence >= sequence ||
	       (b->incarnation && have && have->incarnation == b->incarnation &&
		(strcmp(have->group, b->group) != 0 ||
		 strcmp(have->addr, b->addr) != 0));
}

/*
 * Takes note of an announcement that counts as late. Returns true if the
 * backend has gone on announcing itself for as long as its rival, the writer of
 * the newer announcement, has been silent: then that one was not its own. What
 * a partition held back comes all at once.
 */
static bool announce_outlives(const struct ctl *c, struct ctl_backend *known,
			      const struct ctl_backend *rival,
			      const struct backend_info *b, int64_t sequence,
			      clk_ms now)
{
	clk_ms silent = c->settings->silent_ms;

	if (!known->late_count || known->late_incarnation != b->incarnation ||
	    sequence <= known->late_sequence) {
		known->late_count = 0;
		known->late_since_ms = now;
	}
	known->late_incarnation = b->incarnation;
	known->late_sequence = sequence;
	known->late_count++;
	return !known->left && known->late_count >= CTL_OUTLIVE_ANNOUNCEMENTS &&
	       now - known->late_since_ms >= silent &&
	       now - rival->accepted_ms >= silent;
}

static void announce_accept(struct ctl *c, struct ctl_backend *known,
			    const struct backend_info *b, int64_t sequence,
			    clk_ms now)
{
	known->incarnation = b->incarnation;
	known->newest_sequence = sequence;
	known->accepted_ms = now;
	known->left = false;
	known->late_count = 0;
	ctl_record_addr(c, b);
}

bool ctl_announcement_counts(struct ctl *c, const struct backend_info *b,
			     int64_t sequence, bool *goes_on, clk_ms now)
{
	struct ctl_backend *known = ctl_find_or_add_backend(c, b->id, now);
	struct ctl_backend *rival = known;
	bool late = announce_is_old(c, known, b, sequence);
	const char *replaced_by = late ? NULL : ctl_replaced_by(c, b);

	if (replaced_by) {
		rival = ctl_find_or_add_backend(c, replaced_by, now);
		/* Adding the rival may have moved the array. */
		known = ctl_find_or_add_backend(c, b->id, now);
		late = true;
	}
	*goes_on = late && announce_outlives(c, known, rival, b, sequence, now);
	if (late && !*goes_on)
		return false;
	if (*goes_on) {
		log_warn("control",
			 "event=announcement_outlived id=%s incarnation=%lld "
			 "sequence=%lld rival=%s",
			 b->id, (long long)b->incarnation, (long long)sequence,
			 rival->id);
		ctl_assign_addr(c, b);
	}
	announce_accept(c, known, b, sequence, now);
	return true;
}
