#include "ctl_priv.h"

#include "counter.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

static void ticket_done(struct ctl *c, int64_t ticket, enum res r)
{
	struct ctl_output *o = ctl_queue_output(c, CTL_ANSWER_REQUEST);

	o->client = ticket;
	o->res = r;
	if (r)
		cnt_add_refusal(r);
}

static void ticket_wait(struct ctl *c, int64_t ticket, int64_t index,
			clk_ms now)
{
	struct ctl_ticket *t;

	c->tickets =
		realloc(c->tickets, (c->ntickets + 1) * sizeof(*c->tickets));
	if (!c->tickets)
		abort();
	t = &c->tickets[c->ntickets++];
	t->ticket = ticket;
	t->term = raft_term(c->raft);
	t->index = index;
	t->requested_ms = now;
}

static bool ticket_check_leader(struct ctl *c, int64_t ticket)
{
	if (c->leading && raft_role(c->raft) == RAFT_LEADER)
		return true;
	ticket_done(c, ticket, RES_NOT_LEADER);
	return false;
}

void ctl_publish(struct ctl *c, int64_t ticket, const struct msg_publish *p,
		 clk_ms now)
{
	struct buf cmd = BUF_INIT;

	if (!ticket_check_leader(c, ticket))
		return;
	if (p->version <= state_published(c->state)->version) {
		log_info("control",
			 "event=publish_older version=%lld held=%lld",
			 (long long)p->version,
			 (long long)state_published(c->state)->version);
		ctl_confirm_leadership(c, ticket, now);
		return;
	}
	state_cmd_publish(&cmd, p);
	ticket_wait(c, ticket, ctl_propose(c, &cmd), now);
}

void ctl_confirm_leadership(struct ctl *c, int64_t ticket, clk_ms now)
{
	if (!ticket_check_leader(c, ticket))
		return;
	ticket_wait(c, ticket, 0, now);
	raft_start_leader_check(c->raft, now);
}

/* True unless the announcement holds numbers that no backend can have, or moves
 * a known backend to a group that no configuration names. */
static bool announce_is_possible(const struct ctl *c,
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

/* Returns whether the announcement counts; otherwise it is late. goes_on is set
 * if it counts although a newer one was accepted before. */
static bool announce_counts(struct ctl *c, const struct backend_info *b,
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

void ctl_announce(struct ctl *c, int64_t ticket, const struct backend_info *b,
		  int64_t sequence, clk_ms wall, clk_ms now)
{
	bool goes_on;
	int64_t index;

	if (!ticket_check_leader(c, ticket))
		return;
	if (!announce_is_possible(c, b, sequence, wall)) {
		cnt_add(CNT_bad_input, 1);
		log_warn("control",
			 "event=announcement_refused id=%s group=%s "
			 "incarnation=%lld sequence=%lld",
			 b->id, b->group, (long long)b->incarnation,
			 (long long)sequence);
		ticket_done(c, ticket, RES_BAD_LIST);
		return;
	}
	if (!announce_counts(c, b, sequence, &goes_on, now)) {
		log_info("control",
			 "event=announcement_late id=%s sequence=%lld", b->id,
			 (long long)sequence);
		ticket_done(c, ticket, RES_OK);
		return;
	}
	index = ctl_update_backend(c, b, goes_on, now);
	if (index)
		ticket_wait(c, ticket, index, now);
	else
		ticket_done(c, ticket,
			    ctl_may_act(c, now) ? RES_OK : RES_NO_QUORUM);
}

void ctl_remove_backend(struct ctl *c, int64_t ticket, const char *backend,
			clk_ms now)
{
	if (!ticket_check_leader(c, ticket))
		return;
	if (!state_backend(c->state, backend)) {
		ticket_done(c, ticket, RES_OK);
		return;
	}
	ctl_find_or_add_backend(c, backend, now)->left = true;
	ticket_wait(c, ticket, ctl_propose_removal(c, backend, now), now);
}

/* Result of a ticket; RES_IN_PROGRESS if it is not known yet. */
static enum res ticket_result(const struct ctl *c, const struct ctl_ticket *t,
			      clk_ms now)
{
	if (raft_role(c->raft) != RAFT_LEADER || raft_term(c->raft) != t->term)
		return t->index ? RES_NO_QUORUM : RES_NOT_LEADER;
	if (t->index ? raft_applied_index(c->raft) >= t->index
		     : raft_leader_check_passed(c->raft, t->requested_ms))
		return RES_OK;
	return now - t->requested_ms >= CTL_REQUEST_TIMEOUT_MS
		       ? RES_NO_QUORUM
		       : RES_IN_PROGRESS;
}

void ctl_finish_tickets(struct ctl *c, clk_ms now)
{
	size_t kept = 0;

	for (size_t i = 0; i < c->ntickets; i++) {
		struct ctl_ticket t = c->tickets[i];
		enum res r = ticket_result(c, &t, now);

		if (r == RES_IN_PROGRESS)
			c->tickets[kept++] = t;
		else
			ticket_done(c, t.ticket, r);
	}
	c->ntickets = kept;
}
