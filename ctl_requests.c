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

void ctl_announce(struct ctl *c, int64_t ticket, const struct backend_info *b,
		  int64_t sequence, clk_ms wall, clk_ms now)
{
	bool goes_on;
	int64_t index;

	if (!ticket_check_leader(c, ticket))
		return;
	if (!ctl_announcement_possible(c, b, sequence, wall)) {
		cnt_add(CNT_bad_input, 1);
		log_warn("control",
			 "event=announcement_refused id=%s group=%s "
			 "incarnation=%lld sequence=%lld",
			 b->id, b->group, (long long)b->incarnation,
			 (long long)sequence);
		ticket_done(c, ticket, RES_BAD_LIST);
		return;
	}
	if (!ctl_announcement_counts(c, b, sequence, &goes_on, now)) {
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
