#include "runner_priv.h"

#include "token.h"
#include "view.h"

/* The answer tells of a commit, now or by the first attempt. */
bool guard_writes(const struct runner *r)
{
	return r->commits || r->phase == PHASE_REPLAY;
}

/* Result of a request whose connection was lost after it was sent. */
enum res guard_lost(const struct runner *r)
{
	if (!r->sent)
		return RES_UNREACHABLE;
	return r->commits ? RES_UNKNOWN : RES_READ_FAILED;
}

/* What the status row must show before an answer may be used. */
enum res guard_status(const struct runner *r)
{
	const struct msg_run *run = r->run;
	const struct backend_status *st = &r->status;
	const struct group_info *g = view_group(r->view, run->group);
	clk_ms age = st->primary ? st->majority_age_ms : st->age_ms;

	if (run->kind == RUN_BEGIN || run->flags & RUN_CURRENT) {
		if (!st->primary || st->log_term != run->term)
			return RES_NO_PRIMARY;
	}
	if (run->need_term &&
	    (st->log_term < run->need_term || st->applied < run->need_position))
		return RES_BEHIND;
	/* Where a term started that the view does not know yet is unknown, so
	 * it can't be told whether the entry was lost in it. */
	if (run->need_term && g && st->log_term > g->term &&
	    st->log_term > run->need_term)
		return RES_BEHIND;
	if (run->need_term && g &&
	    !tok_contained(g->starts, g->nstarts, run->need_term,
			   run->need_position, st->log_term))
		return RES_BEHIND;
	if (run->flags & RUN_CURRENT || run->max_age_ms < 0)
		return RES_OK;
	if (st->primary &&
	    view_lease_valid(r->view, run->group, st->log_term, clk_now()))
		return RES_OK;
	return age >= 0 && age <= run->max_age_ms ? RES_OK : RES_BEHIND;
}

/* The term under which the lease must be valid, 0 if none is needed. */
static int64_t guard_lease_term(const struct runner *r)
{
	if (guard_writes(r))
		return r->status.log_term;
	switch ((enum run_kind)r->run->kind) {
	case RUN_READ:
		return r->run->flags & RUN_CURRENT ? r->run->term : 0;
	case RUN_WRITE:
	case RUN_TXN:
	case RUN_BEGIN:
		return r->run->term;
	case RUN_DESCRIBE:
		break;
	}
	return 0;
}

enum release guard_release(const struct runner *r)
{
	int64_t term = guard_lease_term(r);
	const struct group_info *g = view_group(r->view, r->run->group);

	if (!term || r->released || r->failed ||
	    view_lease_valid(r->view, r->run->group, term, clk_now()))
		return RELEASE_NOW;
	return g && g->term > term ? RELEASE_NEVER : RELEASE_LATER;
}

enum res guard_no_lease(const struct runner *r)
{
	const struct group_info *g = view_group(r->view, r->run->group);

	if (guard_writes(r))
		return RES_UNKNOWN;
	if (r->run->kind == RUN_TXN && g && g->term > r->run->term)
		return RES_PRIMARY_CHANGED;
	return RES_NO_LEASE;
}

/* Writes: what is known when the status and await rows are in. */
enum res guard_verdict(const struct runner *r)
{
	if (!guard_writes(r))
		return RES_OK;
	if (!r->have_status || !r->status.primary)
		return RES_UNKNOWN;
	if (r->run->flags & RUN_MAJORITY && r->await_failed)
		return RES_NOT_DURABLE;
	return RES_OK;
}

enum res guard_expired(const struct runner *r)
{
	if (guard_writes(r)) {
		if (r->executed && r->run->flags & RUN_MAJORITY && !r->failed)
			return RES_NOT_DURABLE;
		return RES_UNKNOWN;
	}
	return r->holding && !r->released ? guard_no_lease(r) : RES_CANCELED;
}

bool guard_needs_primary(const struct runner *r)
{
	return (r->run->kind != RUN_READ && r->run->kind != RUN_DESCRIBE) ||
	       r->run->flags & RUN_CURRENT;
}
