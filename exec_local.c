#include "exec_priv.h"

#include "counter.h"
#include "log.h"
#include "link.h"
#include "settings.h"
#include "token.h"
#include "view.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool exec_needs_primary(const struct msg_run *run)
{
	return run->kind == RUN_WRITE || run->kind == RUN_BEGIN ||
	       run->kind == RUN_IN_TXN || run->flags & RUN_REQUIRE_LEASE;
}

/* ---- slots ---- */

static void exec_release_slot(struct exec_req *r)
{
	int64_t us =
		r->started_us ? clk_now_us() - r->started_us : r->job.cost_us;

	if (!r->has_slot)
		return;
	r->has_slot = false;
	sched_finish(r->b->sched, &r->job, us);
	if (r->started_us && r->run.kind != RUN_DESCRIBE)
		cost_record(r->b->cost, r->run.fingerprint, us);
	exec_dispatch(r->b);
}

static struct exec_req *exec_req_of(struct sched_job *j)
{
	return (struct exec_req *)((char *)j - offsetof(struct exec_req, job));
}

static void exec_fill_job(struct exec_req *r)
{
	const struct msg_run *run = &r->run;
	struct sched_job *j = &r->job;
	struct cost *cost = r->b->cost;

	memcpy(j->customer, run->customer, sizeof(j->customer));
	j->priority = run->priority;
	j->weight = run->weight;
	j->cost_us = cost_estimate(cost, run->fingerprint);
	j->is_long =
		run->flags & RUN_EXPECT_LONG || cost_is_long(cost, j->cost_us);
	/*
	 * A request that describes a statement does not execute it, so its cost
	 * is not learned and it never counts as long.
	 */
	j->cost_unmeasured = !j->is_long && run->kind != RUN_DESCRIBE &&
			     !cost_is_known(cost, run->fingerprint);
	j->start_deadline = r->arrived_at + run->wait_limit_ms;
}

/* ---- running ---- */

static void exec_on_data(void *arg, const char *bytes, size_t len)
{
	exec_deliver_data(arg, bytes, len);
}

static size_t exec_backlog(void *arg)
{
	const struct exec_req *r = arg;

	if (r->abandoned)
		return 0;
	if (r->origin_link)
		return link_unsent_bytes(r->origin_link);
	return r->sink.backlog ? r->sink.backlog(r->sink.arg) : 0;
}

static void exec_on_status(void *arg, const struct backend_status *st)
{
	struct exec_req *r = arg;

	exec_record_status(r->b, st);
}

static void exec_on_executed(void *arg)
{
	exec_release_slot(arg);
}

void exec_update_health(struct exec_backend *b, enum res res)
{
	if (res == RES_READ_FAILED || res == RES_UNREACHABLE)
		exec_record_failure(b);
	else if (res == RES_OK || res == RES_SQL_ERROR || res == RES_BEHIND)
		health_success(&b->health);
}

static void exec_on_end(void *arg, const struct msg_end *end)
{
	struct exec_req *r = arg;
	struct msg_end full = *end;

	exec_update_health(r->b, (enum res)end->res);
	full.pinned_conn_id = exec_pin_update(r, end);
	full.waited_us = r->started_us - r->arrived_us;
	exec_set_end(r, &full);
}

static void exec_on_done(void *arg, bool clean, char txn)
{
	struct exec_req *r = arg;
	struct exec_pin *p = r->pin;
	struct pool_conn *c = r->conn;

	r->runner = NULL;
	r->conn = NULL;
	r->pin = NULL;
	r->state = EXEC_FINISHED;
	if (p && clean && !r->abandoned) {
		exec_pin_make_idle(p);
	} else {
		if (p)
			exec_pin_detach(p);
		pool_release(c, clean && txn == 'I' && !p);
	}
	exec_release_slot(r);
	exec_free_if_finished(r);
}

static void exec_run_on_conn(struct exec_req *r, struct pool_conn *c)
{
	struct runner_user user = {
		.arg = r,
		.on_data = exec_on_data,
		.backlog = exec_backlog,
		.on_status = exec_on_status,
		.on_executed = exec_on_executed,
		.on_end = exec_on_end,
		.on_done = exec_on_done,
	};

	r->conn = c;
	r->state = EXEC_RUNNING;
	r->started_us = clk_now_us();
	r->runner = runner_start(r->x->loop, r->x->view, &r->run, c, &user);
}

static void exec_on_conn(void *arg, struct pool_conn *c)
{
	exec_run_on_conn(arg, c);
}

static void exec_on_fail(void *arg, const char *error)
{
	struct exec_req *r = arg;

	exec_record_failure(r->b);
	r->state = EXEC_FINISHED;
	exec_release_slot(r);
	exec_end(r, RES_UNREACHABLE, error);
}

void exec_dispatch(struct exec_backend *b)
{
	struct sched_job *j;

	if (b->dispatching)
		return;
	b->dispatching = true;
	while ((j = sched_start_next(b->sched, clk_now()))) {
		struct exec_req *r = exec_req_of(j);

		r->has_slot = true;
		r->state = EXEC_CONNECTING;
		r->conn_request =
			(struct pool_request){.arg = r,
					      .on_conn = exec_on_conn,
					      .on_fail = exec_on_fail};
		pool_acquire(b->pool, &r->conn_request);
	}
	b->dispatching = false;
}

/* ---- arrival ---- */

static void exec_start_pinned(struct exec_req *r)
{
	struct exec_pin *p = exec_pin_find(r->x, r->run.pinned_conn_id);

	if (!p || p->b != r->b || p->origin_link != r->origin_link ||
	    strcmp(p->customer, r->run.customer)) {
		exec_end(r, RES_UNREACHABLE,
			 "the session's connection was closed");
		return;
	}
	if (p->running_req) {
		exec_end(r, RES_INTERNAL, "the session's connection is busy");
		return;
	}
	p->running_req = r;
	r->pin = p;
	exec_fill_job(r);
	sched_start_now(r->b->sched, &r->job, clk_now());
	r->has_slot = true;
	exec_run_on_conn(r, p->conn);
}

static void exec_queue(struct exec_req *r)
{
	enum res res;

	exec_fill_job(r);
	r->state = EXEC_WAITING;
	res = sched_add(r->b->sched, &r->job, clk_now());
	if (res) {
		exec_end(r, res, NULL);
		return;
	}
	exec_dispatch(r->b);
}

/* Whether the newest status meets the freshness that a read requires. */
enum exec_fresh { FRESH_ENOUGH, FRESH_WAIT, FRESH_TOO_OLD };

static enum exec_fresh exec_freshness(const struct exec_req *r, clk_ms now)
{
	const struct exec_routing_info *h = &r->b->hint;
	const struct msg_run *run = &r->run;
	clk_ms waited = now - r->arrived_at;

	if (!h->info_received_at || r->b->status.primary)
		return FRESH_ENOUGH;
	if (run->max_age_ms >= 0 && h->applied_age_ms > run->max_age_ms &&
	    now - h->info_received_at <= r->x->set->poll_ms * 2)
		return FRESH_TOO_OLD;
	if (!run->min_term ||
	    (h->log_term >= run->min_term && h->applied >= run->min_position))
		return FRESH_ENOUGH;
	/*
	 * The replica may have caught up since that status, so poll again
	 * before refusing the read.
	 */
	if (now - h->info_received_at > EXEC_STATUS_FRESH_MS &&
	    waited < EXEC_CATCH_UP_WAIT_MS)
		return FRESH_WAIT;
	if (h->log_term < run->min_term || h->applied_age_ms < 0 ||
	    h->applied_age_ms > EXEC_CATCH_UP_WAIT_MS ||
	    waited >= EXEC_CATCH_UP_WAIT_MS || waited >= run->wait_limit_ms)
		return FRESH_TOO_OLD;
	return FRESH_WAIT;
}

static void exec_check_freshness(struct exec_req *r)
{
	enum exec_fresh fresh = exec_freshness(r, clk_now());

	if (r->state == EXEC_CATCHING_UP)
		r->b->catching_up--;
	r->state = EXEC_FINISHED;
	switch (fresh) {
	case FRESH_ENOUGH:
		exec_queue(r);
		break;
	case FRESH_WAIT:
		r->state = EXEC_CATCHING_UP;
		r->b->catching_up++;
		if (r->b->probe)
			probe_poll_now(r->b->probe);
		break;
	case FRESH_TOO_OLD:
		exec_end(r, RES_BEHIND, NULL);
		break;
	}
}

static enum res exec_check_primary(const struct exec_req *r)
{
	const struct msg_run *run = &r->run;
	const struct group_info *g = view_group(r->x->view, run->group);

	if (g && g->term > run->term)
		return run->pinned_conn_id ? RES_PRIMARY_CHANGED
					   : RES_NO_PRIMARY;
	if (run->pinned_conn_id)
		return RES_OK;
	if (g && g->term == run->term && strcmp(g->primary, run->backend))
		return RES_NO_PRIMARY;
	if (!view_lease_valid(r->x->view, run->group, run->term, clk_now()))
		return RES_NO_LEASE;
	return RES_OK;
}

static enum res exec_check(const struct exec_req *r)
{
	const struct backend_info *b = view_backend(r->x->view, r->run.backend);

	if (!b)
		return RES_NOT_OWNER;
	if (!r->run.pinned_conn_id && (b->leaving || b->announcements_stopped))
		return RES_LEAVING;
	if (exec_needs_primary(&r->run))
		return exec_check_primary(r);
	return health_allows_request(&r->b->health, clk_now())
		       ? RES_OK
		       : RES_UNREACHABLE;
}

/*
 * The request can never use its pinned connection again; closing the connection
 * releases the locks of its transaction.
 */
static void exec_refuse(struct exec_req *r, enum res res)
{
	struct exec_pin *p = exec_pin_find(r->x, r->run.pinned_conn_id);

	if (p && !p->running_req && p->origin_link == r->origin_link)
		exec_pin_close(p);
	exec_end(r, res, NULL);
}

void exec_local_start(struct exec_req *r)
{
	enum res res;

	r->b = exec_backend_get(r->x, r->run.backend);
	if (!r->b) {
		exec_end(r, RES_NOT_OWNER, "backend server is not known");
		return;
	}
	res = exec_check(r);
	if (res)
		exec_refuse(r, res);
	else if (r->run.pinned_conn_id)
		exec_start_pinned(r);
	else if (r->run.kind == RUN_READ && !(r->run.flags & RUN_REQUIRE_LEASE))
		exec_check_freshness(r);
	else
		exec_queue(r);
}

/* ---- cancel, abandon, expire ---- */

/* Removes a request that does not run yet from the queue it waits in. */
static void exec_withdraw(struct exec_req *r)
{
	if (r->state == EXEC_CATCHING_UP)
		r->b->catching_up--;
	if (r->state == EXEC_WAITING)
		sched_remove(r->b->sched, &r->job);
	if (r->state == EXEC_CONNECTING)
		pool_withdraw_request(r->b->pool, &r->conn_request);
	r->state = EXEC_FINISHED;
	exec_release_slot(r);
}

void exec_local_cancel(struct exec_req *r)
{
	if (r->runner) {
		runner_cancel(r->runner);
		return;
	}
	exec_withdraw(r);
	exec_end(r, RES_CANCELED, "canceled before it ran");
}

void exec_local_abandon(struct exec_req *r)
{
	r->abandoned = true;
	r->origin_link = NULL;
	if (!r->runner) {
		if (!r->ended)
			exec_withdraw(r);
		exec_end_silently(r);
		return;
	}
	/* A write runs to completion, so that it is not left half done. */
	if (r->run.kind != RUN_WRITE || r->run.flags & RUN_PIN_CONN)
		runner_expire(r->runner);
}

void exec_local_expire(struct exec_req *r)
{
	bool connecting = r->state == EXEC_CONNECTING;

	if (r->runner) {
		runner_expire(r->runner);
		return;
	}
	if (r->ended)
		return;
	exec_withdraw(r);
	exec_end(r, connecting ? RES_UNREACHABLE : RES_WAIT_EXCEEDED,
		 "time limit reached");
}

/*
 * Reclassifies a statement as long when it has run much longer than its
 * estimate from similar statements.
 */
static void exec_check_overrun(struct exec_req *r)
{
	struct exec_backend *b = r->b;
	int64_t us = clk_now_us() - r->started_us;

	if (!r->has_slot || r->job.is_long ||
	    !cost_exceeds_estimate(b->cost, r->job.cost_us, us))
		return;
	sched_reclassify(b->sched, &r->job, true);
	cost_raise_estimate(b->cost, r->run.fingerprint, us);
}

/*
 * A middlebox that dropped the state of the poll connection has probably
 * dropped that of others too. A statement that was sent before that, and takes
 * much longer than estimated, would occupy its slot until its time limit of
 * 30 s; two such statements block all writes of their class.
 */
void exec_local_check_lost(struct exec_req *r, clk_ms silent_since)
{
	int64_t us = clk_now_us() - r->started_us;

	if (!r->runner || !r->started_us || r->run.flags & RUN_EXPECT_LONG ||
	    r->started_us / 1000 >= silent_since ||
	    !cost_exceeds_estimate(r->b->cost, r->job.cost_us, us))
		return;
	if (r->run.kind == RUN_READ && !r->run.pinned_conn_id)
		runner_fail_connection(r->runner,
				       "connection does not respond");
	else
		runner_expire(r->runner);
}

/* Applies cost estimates that were learned while the job was queued. */
static void exec_update_job_class(struct exec_req *r)
{
	struct cost *cost = r->b->cost;

	if (r->run.flags & RUN_EXPECT_LONG ||
	    !cost_is_known(cost, r->run.fingerprint))
		return;
	sched_reclassify(
		r->b->sched, &r->job,
		cost_is_long(cost, cost_estimate(cost, r->run.fingerprint)));
}

/* Ends a queued request that cannot run any more after the view changed. */
void exec_local_recheck(struct exec_req *r)
{
	enum res res;

	if (r->ended || r->runner || r->state == EXEC_FORWARDED || !r->b)
		return;
	res = exec_check(r);
	if (!res || res == RES_NO_LEASE || res == RES_UNREACHABLE)
		return;
	exec_withdraw(r);
	exec_end(r, res, NULL);
}

/*
 * Ends reads on an unresponsive server, because another server can run them.
 * Running reads are ended only if certain is set.
 */
void exec_local_unresponsive(struct exec_req *r, bool certain)
{
	if (r->ended || r->run.kind != RUN_READ ||
	    r->run.flags & RUN_REQUIRE_LEASE || r->run.pinned_conn_id)
		return;
	if (r->runner) {
		if (certain)
			runner_fail_connection(
				r->runner, "backend server does not respond");
		return;
	}
	exec_withdraw(r);
	exec_end(r, RES_UNREACHABLE, "backend server does not respond");
}

void exec_tick_req(struct exec_req *r, clk_ms now)
{
	switch (r->state) {
	case EXEC_WAITING:
		exec_update_job_class(r);
		break;
	case EXEC_CATCHING_UP:
		exec_check_freshness(r);
		break;
	case EXEC_CONNECTING:
		if (now - r->arrived_at <= r->run.wait_limit_ms)
			break;
		exec_withdraw(r);
		exec_end(r, RES_WAIT_EXCEEDED, "no connection in time");
		break;
	case EXEC_RUNNING:
		exec_check_overrun(r);
		if (runner_status_overdue(r->runner, r->x->set->suspect_ms))
			runner_fail_connection(r->runner,
					       "no status row in time");
		else if (runner_confirm_overdue(r->runner))
			runner_expire(r->runner);
		break;
	default:
		break;
	}
}

void exec_recheck_catching_up(struct exec_backend *b)
{
	struct exec_req *r, *next;

	for (r = b->x->reqs; r; r = next) {
		next = r->hh.next;
		if (r->b == b && r->state == EXEC_CATCHING_UP)
			exec_check_freshness(r);
	}
}

void exec_tick_backend(struct exec_backend *b, clk_ms now)
{
	struct sched_job *j;

	while ((j = sched_remove_expired(b->sched, now))) {
		struct exec_req *r = exec_req_of(j);

		r->state = EXEC_FINISHED;
		exec_end(r, RES_WAIT_EXCEEDED, NULL);
	}
	exec_dispatch(b);
}
