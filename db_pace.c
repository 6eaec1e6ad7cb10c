#include "db_priv.h"

#include "log.h"
#include "settings.h"

#include <ev.h>
#include <stdlib.h>

/* The struct pace of a member is told of all events, also while the fixed rule
 * applies, so that its counts are right whenever it is used. */

static void db_on_pace_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	db_dispatch(w->data, clk_now());
}

void db_pace_init(struct db_member *m, clk_ms now)
{
	m->paced = m->db->set->pacing;
	pace_init(&m->pace, m->info.slots, now);
	m->pace_timer = calloc(1, sizeof(*m->pace_timer));
	if (!m->pace_timer)
		abort();
	ev_timer_init(m->pace_timer, db_on_pace_timer, 0, 0);
	m->pace_timer->data = m;
}

void db_pace_free(struct db_member *m)
{
	ev_timer_stop(m->db->loop, m->pace_timer);
	free(m->pace_timer);
}

static void db_log_paced_anew(const struct db_member *m, const char *reason)
{
	if (m->paced)
		log_info("db",
			 "event=paced_anew member=%s reason=%s limit=%.2f "
			 "senders=%d rank=%d",
			 m->info.id, reason, pace_limit(&m->pace),
			 m->pace.senders, m->pace.rank);
}

void db_pace_restart(struct db_member *m, clk_ms now)
{
	pace_on_start(&m->pace, now);
	db_log_paced_anew(m, "start");
}

void db_pace_take_slots(struct db_member *m, int64_t slots)
{
	if (slots != m->info.slots)
		pace_set_slots(&m->pace, slots);
}

void db_set_senders(struct db_member *m, const struct db_senders *s, clk_ms now)
{
	bool promoted = s->primary && !m->is_primary;

	/* An unchanged number would raise a limit that has shrunk. */
	if (s->n != m->pace.senders || s->rank != m->pace.rank)
		pace_set_senders(&m->pace, s->n, s->rank);
	m->sharing_proxies = s->n;
	m->is_primary = s->primary;
	m->paced = m->db->set->pacing && s->hold_connections &&
		   (s->are_runners || s->n < DB_PACE_SENDERS);
	if (!promoted)
		return;
	pace_on_promotion(&m->pace, now);
	db_log_paced_anew(m, "promotion");
}

static void db_log_pace_change(const struct db_member *m, enum pace_change c,
			       clk_ms now)
{
	if (!m->paced)
		return;
	switch (c) {
	case PACE_UNCHANGED:
		break;
	case PACE_FAILS:
		log_info("db",
			 "event=member_fails id=%s failures=%d ms=%lld "
			 "unreachable=%d",
			 m->info.id, m->pace.failures,
			 (long long)(m->pace.failures
					     ? now - m->pace.failed_first
					     : 0),
			 m->pace.state == PACE_UNREACHABLE);
		break;
	case PACE_RECOVERED:
		log_info("db", "event=member_recovered id=%s limit=%.2f",
			 m->info.id, pace_limit(&m->pace));
		break;
	}
}

void db_pace_open_started(struct db_conn *c, clk_ms now)
{
	c->pace_counts_open = true;
	pace_open_started(&c->member->pace, now);
}

void db_pace_open_ended(struct db_conn *c, enum pace_open_result r, clk_ms now)
{
	struct db_member *m = c->member;

	if (!c->pace_counts_open)
		return;
	c->pace_counts_open = false;
	db_log_pace_change(m, pace_open_ended(&m->pace, r, now), now);
}

void db_pace_sent(struct db_conn *c, clk_ms now)
{
	c->pace_counts_statement = true;
	c->paced_at = now;
	pace_sent(&c->member->pace, now);
}

static enum pace_outcome db_pace_refusal(enum line_error error)
{
	switch (error) {
	case LINE_E_BUSY:
		return PACE_BUSY;
	case LINE_E_OTHER:
		return PACE_ERROR;
	case LINE_E_NO_STATEMENT:
	case LINE_E_BEHIND:
	case LINE_E_NOT_PRIMARY:
	case LINE_E_WRONG_BACKEND:
	case LINE_E_CONN_LIMIT:
	case LINE_E_KEY_EXPIRED:
	case LINE_E_OVERLOAD:
		break;
	}
	return PACE_NOT_SERVED;
}

/* A statement that was not sent tells nothing but that no slot was free. */
static enum pace_outcome db_pace_outcome(const struct db_result *r)
{
	if (!r->sent)
		return r->status == DB_REFUSED && r->error == LINE_E_BUSY
			       ? PACE_BUSY
			       : PACE_CANCELED;
	switch (r->status) {
	case DB_DONE:
		return PACE_DONE;
	case DB_REFUSED:
		return db_pace_refusal(r->error);
	case DB_LOST:
		break;
	}
	return PACE_LOST;
}

void db_pace_ended(struct db_conn *c, const struct db_result *r, clk_ms now)
{
	struct db_member *m = c->member;
	/* The usual time of a route also contains the wait at the member, so
	 * it is no measure of the cost. */
	struct pace_end e = {.outcome = r ? db_pace_outcome(r) : PACE_CANCELED,
			     .sent_at = c->paced_at,
			     .response_ms = (double)(now - c->sent_at),
			     .expected = 1,
			     .limit_in_use = m->limit_in_use};

	if (!c->pace_counts_statement)
		return;
	c->pace_counts_statement = false;
	db_log_pace_change(m, pace_ended(&m->pace, &e, now), now);
}

void db_pace_dispatched(struct db_member *m, clk_ms now)
{
	clk_ms at;

	m->limit_in_use = db_waiting(m) && !pace_may_send(&m->pace, now);
	ev_timer_stop(m->db->loop, m->pace_timer);
	if (!m->paced || !m->limit_in_use)
		return;
	at = pace_next_at(&m->pace, now);
	if (at == CLK_NEVER)
		return;
	ev_timer_set(m->pace_timer, (double)(at - now) / 1000, 0);
	ev_timer_start(m->db->loop, m->pace_timer);
}

bool db_pace_fails_queue(const struct db_member *m, clk_ms now)
{
	return m->paced && !m->opening &&
	       pace_state(&m->pace, now) != PACE_OPEN &&
	       !pace_may_send(&m->pace, now);
}

bool db_may_connect(const struct db_member *m, clk_ms now)
{
	return m->paced ? pace_may_open(&m->pace, now) : now >= m->fail_until;
}

bool db_is_usable(const struct db_member *m, clk_ms now)
{
	if (m->paced)
		return pace_is_usable(&m->pace, now);
	return now >= m->fail_until && now >= m->busy_until;
}

bool db_is_trial_due(const struct db_member *m, clk_ms now)
{
	if (m->paced)
		return pace_state(&m->pace, now) == PACE_UNREACHABLE &&
		       now >= pace_trial_at(&m->pace, now);
	return m->down && now >= m->fail_until;
}

double db_metric_limit(const struct db_member *m, clk_ms now)
{
	return m->paced ? pace_limit(&m->pace) : db_limit(m, now);
}
