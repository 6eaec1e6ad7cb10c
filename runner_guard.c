#include "runner_priv.h"

#include "token.h"
#include "view.h"

/* True if the answer reports a commit, by this or by the first attempt. */
bool guard_reports_commit(const struct runner *r)
{
	return r->commits || r->phase == PHASE_REPLAY;
}

/*
 * Result of a request whose connection was lost; one that was not sent counts
 * as unreachable.
 */
enum res guard_lost_result(const struct runner *r)
{
	if (!r->sent)
		return RES_UNREACHABLE;
	return r->commits ? RES_UNKNOWN : RES_READ_FAILED;
}

/* Checks what the status row must show before an answer may be used. */
enum res guard_check_status(const struct runner *r)
{
	const struct msg_run *run = r->run;
	const struct backend_status *st = &r->status;
	const struct group_info *g = view_group(r->view, run->group);
	clk_ms age = st->primary ? st->majority_age_ms : st->data_age_ms;

	if (run->kind == RUN_BEGIN || run->flags & RUN_REQUIRE_LEASE) {
		if (!st->primary || st->log_term != run->term)
			return RES_NO_PRIMARY;
	}
	if (run->min_term && (st->log_term < run->min_term ||
			      st->applied_pos < run->min_position))
		return RES_BEHIND;
	/*
	 * The view does not know yet where a newer term started in the log, so
	 * it is unknown whether the required entry was discarded then.
	 */
	if (run->min_term && g && st->log_term > g->term &&
	    st->log_term > run->min_term)
		return RES_BEHIND;
	if (run->min_term && g &&
	    !tok_contained(g->term_starts, g->nterm_starts, run->min_term,
			   run->min_position, st->log_term))
		return RES_BEHIND;
	if (run->flags & RUN_REQUIRE_LEASE || run->max_age_ms < 0)
		return RES_OK;
	if (st->primary &&
	    view_lease_valid(r->view, run->group, st->log_term, clk_now()))
		return RES_OK;
	return age >= 0 && age <= run->max_age_ms ? RES_OK : RES_BEHIND;
}

/* The term in which the lease must be valid; 0 if no lease is needed. */
static int64_t guard_lease_term(const struct runner *r)
{
	if (guard_reports_commit(r))
		return r->status.log_term;
	switch ((enum run_kind)r->run->kind) {
	case RUN_READ:
		return r->run->flags & RUN_REQUIRE_LEASE ? r->run->term : 0;
	case RUN_WRITE:
	case RUN_IN_TXN:
	case RUN_BEGIN:
		return r->run->term;
	case RUN_DESCRIBE:
		break;
	}
	return 0;
}

enum release guard_may_release(const struct runner *r)
{
	int64_t term = guard_lease_term(r);
	const struct group_info *g = view_group(r->view, r->run->group);

	if (!term || r->bytes_released || r->failed_result ||
	    view_lease_valid(r->view, r->run->group, term, clk_now()))
		return RELEASE_NOW;
	return g && g->term > term ? RELEASE_NEVER : RELEASE_WAIT;
}

enum res guard_no_lease_result(const struct runner *r)
{
	const struct group_info *g = view_group(r->view, r->run->group);

	if (guard_reports_commit(r))
		return RES_UNKNOWN;
	if (r->run->kind == RUN_IN_TXN && g && g->term > r->run->term)
		return RES_PRIMARY_CHANGED;
	return RES_NO_LEASE;
}

/* The result of a write, from its status row and the majority confirmation. */
enum res guard_final_result(const struct runner *r)
{
	if (!guard_reports_commit(r))
		return RES_OK;
	if (!r->have_status || !r->status.primary)
		return RES_UNKNOWN;
	if (r->run->flags & RUN_WAIT_MAJORITY && r->await_failed)
		return RES_NOT_DURABLE;
	return RES_OK;
}

enum res guard_expired_result(const struct runner *r)
{
	if (guard_reports_commit(r)) {
		if (r->executed && r->run->flags & RUN_WAIT_MAJORITY &&
		    !r->failed_result)
			return RES_NOT_DURABLE;
		return RES_UNKNOWN;
	}
	return r->delivery_paused && !r->bytes_released
		       ? guard_no_lease_result(r)
		       : RES_CANCELED;
}

bool guard_needs_primary(const struct runner *r)
{
	return (r->run->kind != RUN_READ && r->run->kind != RUN_DESCRIBE) ||
	       r->run->flags & RUN_REQUIRE_LEASE;
}
