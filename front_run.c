#include "front_priv.h"

#include "counter.h"
#include "hist.h"
#include "log.h"
#include "settings.h"

#include <stdio.h>
#include <string.h>

static void run_done(struct db_job *j, const struct db_result *r);

static const char *run_required_from(const struct front_run *run)
{
	if (!run->required.sent)
		return "none";
	return run->required.remote ? "control" : "own";
}

static void run_log(const struct front_session *s, const char *outcome,
		    const char *member, enum res reason)
{
	const struct front_run *run = &s->run;

	log_info(
		"front",
		"event=statement id=%.*s database=%s group=%s member=%s "
		"writes=%d commits=%d txn=%d tries=%d sent=%d ms=%lld "
		"need=%lld.%lld need_age=%lld need_from=%s pos=%lld.%lld "
		"sampled=%d config=%lld outcome=%s reason=%s tenant=%s",
		(int)run->stmt.id.len, run->stmt.id.p, s->database, s->group,
		member, run->writes, run->commits, s->txn, run->tries,
		run->sent, (long long)(clk_now() - run->received_at),
		(long long)s->job.required_pos.term,
		(long long)s->job.required_pos.number,
		(long long)(run->required.sent ? run->required_age_ms : -1),
		run_required_from(run), (long long)run->answer_pos.term,
		(long long)run->answer_pos.number, run->answer_sampled,
		(long long)(s->server->routes ? s->server->routes->version : 0),
		outcome, res_name(reason), s->tenant);
}

static void run_end(struct front_session *s)
{
	front_cap_end(s, clk_now());
	s->run.active = false;
	s->job_runs = false;
	s->run.answer_held = false;
	buf_free(&s->run.held_answer);
	buf_free(&s->run.line);
	s->last_activity = clk_now();
}

static void run_clear_txn(struct front_session *s)
{
	s->txn = FRONT_NONE;
	front_forget_kept(s);
	s->txn_has_writes = false;
}

static void run_refuse_with(struct front_session *s, enum res r,
			    const char *member, const char *text)
{
	bool in_txn = s->txn != FRONT_NONE && !s->run.commits;

	run_log(s, "refused", member, r);
	cnt_add_refusal(r);
	if (s->run.commits)
		run_clear_txn(s);
	else if (in_txn)
		s->txn = FRONT_FAILED;
	front_refuse(s, r, text);
	run_end(s);
	front_process_input(s);
}

/* Answers the statement with an error of this proxy. */
void front_run_refuse(struct front_session *s, enum res r, const char *member)
{
	run_refuse_with(s, r, member, res_text(r));
}

/* Called when the connection of a transaction failed between two statements, or
 * before a statement that found no free slot was tried again. */
static void run_lost_kept(void *arg)
{
	struct front_session *s = arg;

	front_forget_kept(s);
	if (s->run.active) {
		front_run_refuse(s, RES_PRIMARY_CHANGED, s->job_member);
		return;
	}
	s->txn = FRONT_FAILED;
	s->txn_failure = RES_PRIMARY_CHANGED;
}

/* Returns the error for a statement that was sent and got no answer. */
enum res front_run_lost_reason(const struct front_session *s)
{
	if (s->run.answer_held)
		return RES_UNKNOWN;
	if (s->run.commits)
		return s->txn_has_writes ? RES_UNKNOWN : RES_PRIMARY_CHANGED;
	if (s->txn != FRONT_NONE)
		return RES_PRIMARY_CHANGED;
	return s->run.writes ? RES_UNKNOWN : RES_READ_FAILED;
}

void front_run_retry(struct front_session *s, clk_ms pause, enum res reason)
{
	s->job_runs = false;
	s->run.reason = reason;
	s->run.retry_at = clk_now() + pause;
}

/* Returns whether the statement may be tried again without the risk that it
 * runs twice. */
static bool run_may_repeat(const struct front_session *s,
			   const struct db_result *r)
{
	if (s->txn == FRONT_OPEN)
		return false;
	if (s->txn == FRONT_BEGUN)
		return !s->run.commits || !r->sent;
	return !r->sent || s->run.is_read;
}

static void run_lost(struct front_session *s, const struct db_result *r,
		     const char *member)
{
	s->run.bypass_runner = !r->sent;
	if (s->txn == FRONT_OPEN)
		front_forget_kept(s);
	if (run_may_repeat(s, r)) {
		snprintf(s->run.avoid_member, ID_LEN, "%s", member);
		cnt_add(CNT_retry_unreachable, 1);
		front_run_retry(s, r->sent ? 0 : FRONT_RETRY_PAUSE_MS,
				RES_UNREACHABLE);
		return;
	}
	front_run_refuse(
		s, r->sent ? front_run_lost_reason(s) : RES_PRIMARY_CHANGED,
		member);
}

/* Lets a transaction continue after a statement of it found no free slot. */
static bool run_retry_in_txn(struct front_session *s, const struct db_result *r)
{
	if (r->error != LINE_E_BUSY || !front_result_keeps_conn(r) ||
	    r->txn != 'T')
		return false;
	cnt_add(CNT_backend_full, 1);
	front_keep(s, r, run_lost_kept);
	front_run_retry(s, DB_BUSY_PAUSE_MS, RES_WAIT_EXCEEDED);
	return true;
}

/* Handles a statement that the member refused. Returns true if it will be tried
 * again. */
static bool run_retry_refused(struct front_session *s,
			      const struct db_result *r, const char *member)
{
	if (s->txn == FRONT_OPEN)
		return run_retry_in_txn(s, r);
	switch (r->error) {
	case LINE_E_BUSY:
		cnt_add(CNT_backend_full, 1);
		snprintf(s->run.avoid_member, ID_LEN, "%s", member);
		front_run_retry(s, s->run.is_read ? 0 : DB_BUSY_PAUSE_MS,
				RES_WAIT_EXCEEDED);
		return true;
	case LINE_E_BEHIND:
		cnt_add(CNT_retry_behind, 1);
		snprintf(s->run.avoid_member, ID_LEN, "%s", member);
		front_run_retry(s, 0, RES_BEHIND);
		return true;
	case LINE_E_NOT_PRIMARY:
		cnt_add(CNT_retry_no_primary, 1);
		front_run_retry(s, FRONT_RETRY_PAUSE_MS, RES_NO_PRIMARY);
		return true;
	case LINE_E_NO_STATEMENT:
	case LINE_E_WRONG_BACKEND:
	case LINE_E_CONN_LIMIT:
		front_run_retry(s, FRONT_RETRY_PAUSE_MS, RES_UNREACHABLE);
		return true;
	case LINE_E_KEY_EXPIRED:
		/* The key is checked again, and may be valid for longer now. */
		front_run_retry(s, 0, RES_KEY_UNCONFIRMED);
		return true;
	case LINE_E_OVERLOAD: /* see run_overloaded() */
	case LINE_E_OTHER:
		break;
	}
	if (!s->run.is_read || s->txn != FRONT_NONE || s->run.tries > 1)
		return false;
	cnt_add(CNT_retry_read_failed, 1);
	snprintf(s->run.avoid_member, ID_LEN, "%s", member);
	front_run_retry(s, 0, RES_READ_FAILED);
	return true;
}

/*
 * Handles that a member's queue refused the statement, which was not run. The
 * same member is not tried again: it would be refused again, or be late. A read
 * may go to another one.
 */
static void run_overloaded(struct front_session *s, const struct db_result *r,
			   const char *member)
{
	struct front_run *run = &s->run;
	clk_ms now = clk_now();
	bool may_move = run->placed && !s->job.fallback &&
			run->nrefused < FRONT_REFUSALS_MAX;

	if (!run->nrefused || r->retry_ms < run->retry_ms)
		run->retry_ms = r->retry_ms;
	if (may_move)
		snprintf(run->refused_by[run->nrefused++], ID_LEN, "%s",
			 member);
	if (may_move &&
	    front_place_read(s->server, s, s->job.required_pos, now)) {
		cnt_add(CNT_reads_moved, 1);
		front_run_retry(s, 0, RES_OVERLOAD);
		return;
	}
	if (s->job.fallback)
		front_count_fallback(front_find_group(s->server, s->group),
				     false, now);
	front_run_refuse_retry(s,
			       s->job.fallback && !run->nrefused
				       ? RES_NO_REPLICA
				       : RES_OVERLOAD,
			       member, run->retry_ms);
}

/* Handles a refused statement: it is tried again, or the caller gets the
 * backend's error. */
static void run_refused(struct front_session *s, const struct db_result *r,
			const char *member)
{
	bool commits = s->run.commits;

	if (s->txn == FRONT_OPEN && !r->sent &&
	    (r->error == LINE_E_NOT_PRIMARY ||
	     r->error == LINE_E_KEY_EXPIRED)) {
		/* It was not sent for want of a lease, and the transaction is
		 * rolled back. */
		front_forget_kept(s);
		front_run_refuse(s,
				 r->error == LINE_E_KEY_EXPIRED
					 ? RES_KEY_UNCONFIRMED
					 : RES_PRIMARY_CHANGED,
				 member);
		return;
	}
	if (s->txn != FRONT_OPEN && !r->sent && r->error == LINE_E_OVERLOAD) {
		run_overloaded(s, r, member);
		return;
	}
	if (run_retry_refused(s, r, member)) {
		/* A transaction that has to begin again does so on a newly
		 * chosen connection; release this one. */
		if (s->kept.by == FRONT_NOT_KEPT)
			front_release_result(r);
		return;
	}
	run_log(s, "error", member, RES_SQL_ERROR);
	cnt_add_refusal(RES_SQL_ERROR);
	front_keep(s, r, run_lost_kept);
	if (commits && r->txn == 'I')
		run_clear_txn(s);
	else if (s->txn != FRONT_NONE)
		s->txn = FRONT_FAILED;
	line_put_backend_error(net_output(s->conn), r->code, r->text);
	front_answer_ready(s);
	run_end(s);
	front_process_input(s);
}

/* True if the statement makes writes permanent. */
static bool run_commits_writes(const struct front_session *s)
{
	return (s->run.writes && s->txn == FRONT_NONE) ||
	       (s->run.commits && s->txn_has_writes);
}

/*
 * True if a commit that succeeded may be acknowledged. Where commits need a
 * lease, the primary under whose record it was sent must still have one.
 */
static bool run_may_acknowledge(const struct front_session *s, clk_ms now)
{
	const struct front_group *g = front_find_group(s->server, s->group);
	const struct db_member *m = front_primary(g);

	if (!s->run.commits_writes || !front_commits_need_lease(s->server, g))
		return true;
	return m && now < g->lease_until && g->term == s->run.lease_term &&
	       !strcmp(m->info.id, s->job_member);
}

/*
 * True if only the primary answers such a statement with success. A member that
 * lost the lead refuses writes, and all statements of a transaction that may
 * write, except the COMMIT of one that wrote nothing.
 */
static bool run_proves_lead(const struct front_session *s)
{
	if (s->run.commits)
		return s->txn_has_writes;
	return s->run.writes || s->run.primary_read ||
	       (s->txn == FRONT_OPEN && !s->txn_read_only);
}

/*
 * A time such that the position in an answer covers all commits acknowledged
 * before it: when the statement was sent or, if only a lease showed that the
 * member led, when that lease was checked, if that was earlier. Statements that
 * need the lease are checked again as they are sent.
 */
static clk_ms run_sample_time(const struct front_session *s,
			      const struct db_result *r)
{
	if (s->server->set->promoter_deposes || s->job.needs_lease)
		return r->sent_at;
	return r->sent_at < s->run.lease_checked_at ? r->sent_at
						    : s->run.lease_checked_at;
}

/* Records the position in an answer of the primary for the group, and in that
 * of a committed write for the session. A member that was not known to be the
 * primary when the statement was sent may lack newer commits. */
static void run_record_position(struct front_session *s,
				const struct db_result *r)
{
	struct front_group *g = front_find_group(s->server, s->group);

	s->run.answer_pos = r->pos;
	if (run_proves_lead(s) &&
	    (s->run.lease_term || s->server->set->promoter_deposes)) {
		struct freshness_sample sample = {.sent = run_sample_time(s, r),
						  .received = clk_now(),
						  .pos = r->pos};
		bool first = !g->fresh.n;

		s->run.answer_sampled = true;
		front_check_sample(g, s->job_member, &sample);
		frs_add_sample(&g->fresh, &sample);
		if (first)
			front_ask_early(s->server, clk_now());
	}
	if (r->txn == 'I' &&
	    (s->run.writes || (s->run.commits && s->txn_has_writes)))
		s->own_writes_pos = pos_max(s->own_writes_pos, r->pos);
}

/* Passes a member's answer on to the caller and ends the statement. */
static void run_deliver(struct front_session *s, struct pos pos,
			struct span answer)
{
	s->last_pos = pos;
	run_log(s, "ok", s->job_member, RES_OK);
	hist_add(s->server->latency, (clk_now() - s->run.received_at) * 1000);
	buf_add(net_output(s->conn), answer.p, answer.len);
	front_answer_ready(s);
	run_end(s);
	front_process_input(s);
}

static void run_hold_answer(struct front_session *s, const struct db_result *r)
{
	struct front_run *run = &s->run;

	run_log(s, "held", s->job_member, RES_NO_LEASE);
	run->sent = true;
	run->answer_held = true;
	run->held_pos = r->pos;
	buf_free(&run->held_answer);
	buf_add(&run->held_answer, r->answer.p, r->answer.len);
}

static void run_succeeded(struct front_session *s, const struct db_result *r)
{
	if (s->txn == FRONT_BEGUN)
		s->txn = FRONT_OPEN;
	s->run.commits_writes = run_commits_writes(s);
	run_record_position(s, r);
	if (s->run.writes && s->txn == FRONT_OPEN)
		s->txn_has_writes = true;
	if (!front_keep(s, r, run_lost_kept) && s->txn == FRONT_OPEN)
		run_clear_txn(s);
	if (!run_may_acknowledge(s, clk_now())) {
		run_hold_answer(s, r);
		return;
	}
	run_deliver(s, r->pos, r->answer);
}

/* Acknowledges a held commit once the lease holds again, and gives it up when
 * another primary is recorded: its commit may be lost then. */
static void run_check_held_answer(struct front_session *s, clk_ms now)
{
	const struct front_group *g = front_find_group(s->server, s->group);
	struct buf answer = s->run.held_answer;

	if (run_may_acknowledge(s, now)) {
		s->run.held_answer = (struct buf)BUF_INIT;
		run_deliver(s, s->run.held_pos,
			    (struct span){.p = buf_data(&answer),
					  .len = buf_len(&answer)});
		buf_free(&answer);
	} else if (g->term != s->run.lease_term) {
		front_run_refuse(s, RES_UNKNOWN, s->job_member);
	}
}

static void run_done(struct db_job *j, const struct db_result *r)
{
	struct front_session *s = j->arg;
	char member[ID_LEN];

	snprintf(member, sizeof(member), "%s", s->job_member);
	s->job_runs = false;
	/* A member that refused it for its own state has not run it. */
	if (r->sent && (r->status != DB_REFUSED || r->error == LINE_E_OTHER))
		front_cap_sent(s);
	front_record_lag(s, r);
	switch (r->status) {
	case DB_DONE:
		run_succeeded(s, r);
		break;
	case DB_REFUSED:
		run_refused(s, r, member);
		break;
	case DB_LOST:
		s->run.sent |= r->sent;
		run_lost(s, r, member);
		break;
	}
}

void front_start_statement(struct front_session *s, clk_ms now)
{
	struct front_run *run = &s->run;

	front_watch(s);
	front_cap_start(s);
	run->retry_at = 0;
	run->tries = 0;
	run->sent = false;
	run->primary_read = false;
	run->avoid_member[0] = '\0';
	run->nrefused = 0;
	run->bypass_runner = false;
	run->hedge_denied = false;
	run->answer_held = false;
	run->lease_term = 0;
	run->required.sent = 0;
	s->job.required_pos = (struct pos){0};
	run->answer_pos = (struct pos){0};
	run->answer_sampled = false;
	if (run->is_read)
		retry_budget_deposit(&s->server->hedge_budget,
				     FRONT_HEDGE_PERCENT);
	run->reason = RES_WAIT_EXCEEDED;
	run->received_at = now;
	run->deadline =
		now + s->route.statement_timeout_ms - FRONT_ANSWER_MARGIN_MS;
	s->job.ctx = &s->ctx;
	s->job.id = run->stmt.id;
	s->job.text = run->stmt.text;
	s->job.arguments = run->stmt.value;
	s->job.priority = s->route.priority;
	s->job.objective_ms = s->route.objective_ms;
	s->job.deadline = run->deadline;
	s->job.done = run_done;
	s->job.arg = s;
	front_try(s, now);
}

void front_run_on_token(struct front_session *s, clk_ms now)
{
	if (s->run.active && s->run.token_waits && !s->job_runs)
		front_try(s, now);
}

void front_run_refuse_retry(struct front_session *s, enum res r,
			    const char *member, clk_ms retry_ms)
{
	char text[64];

	if (s->run.sent) {
		front_run_refuse(s, front_run_lost_reason(s), s->job_member);
		return;
	}
	snprintf(text, sizeof(text), "retry after %lld ms",
		 (long long)retry_ms);
	run_refuse_with(s, r, member, text);
}

void front_run_refuse_rate(struct front_session *s, clk_ms retry_ms)
{
	front_run_refuse_retry(s, RES_RATE_LIMIT, "", retry_ms);
}

void front_run_expire(struct front_session *s)
{
	enum res r = s->run.reason;

	s->run.sent |= s->job_runs && s->job.sent;
	if (s->txn == FRONT_OPEN)
		front_give_up_kept(s);
	else if (s->job_runs)
		front_cancel(s);
	if (s->run.sent)
		r = front_run_lost_reason(s);
	front_run_refuse(s, r, s->job_member);
}

/*
 * Returns how long to wait before a read is hedged. A read that must run on the
 * primary would load the same member again, so it is sent only once more, and
 * not because the member has become slow: the upper bound does not apply to it.
 */
static clk_ms run_hedge_ms(const struct front_session *s,
			   const struct db_member *m)
{
	clk_ms ms = (clk_ms)(FRONT_HEDGE_TIMES * m->response_ms);

	if (ms < FRONT_HEDGE_MIN_MS)
		return FRONT_HEDGE_MIN_MS;
	return s->run.primary_read || ms < FRONT_HEDGE_MAX_MS
		       ? ms
		       : FRONT_HEDGE_MAX_MS;
}

static bool run_should_hedge(const struct front_session *s, clk_ms now)
{
	int tries = s->run.primary_read ? FRONT_HEDGE_TRIES_PRIMARY
					: FRONT_HEDGE_TRIES;

	return s->job_runs && s->txn != FRONT_OPEN && s->run.is_read &&
	       (s->job.conn || s->job.relay) && s->run.tries < tries &&
	       now - s->job.started_at >= run_hedge_ms(s, s->job.member);
}

static bool run_may_hedge(struct front_session *s)
{
	if (retry_budget_withdraw(&s->server->hedge_budget))
		return true;
	if (!s->run.hedge_denied)
		cnt_add(CNT_retry_denied, 1);
	s->run.hedge_denied = true;
	return false;
}

/* True if the statement should be refused because this instance is cut off: its
 * caller then tries an instance that can serve it. */
static bool run_is_hopeless(const struct front_session *s)
{
	return s->server->refuse_waiting && !s->run.sent &&
	       (!s->job_runs || !s->job.sent);
}

void front_run_tick(struct front_session *s, clk_ms now)
{
	struct front_run *run = &s->run;

	if (!run->active)
		return;
	if (now >= run->deadline || run_is_hopeless(s)) {
		front_run_expire(s);
	} else if (run->answer_held) {
		run_check_held_answer(s, now);
	} else if (!s->job_runs) {
		if (now >= run->retry_at)
			front_try(s, now);
	} else if (run_should_hedge(s, now) && front_cap_may_repeat(s, now) &&
		   run_may_hedge(s)) {
		cnt_add(CNT_retry_slow, 1);
		snprintf(run->avoid_member, ID_LEN, "%s", s->job_member);
		run->sent = true;
		front_cancel(s);
		front_try(s, now);
	}
}

void front_run_abort(struct front_session *s)
{
	/* A connection whose job is canceled is rolled back by db_conn.c. */
	if (s->job_runs)
		front_cancel(s);
	else
		front_release_kept(s);
	front_forget_kept(s);
	front_cap_end(s, clk_now());
	s->run.active = false;
	buf_free(&s->run.held_answer);
	buf_free(&s->run.line);
}
