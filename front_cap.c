/*
 * Rate limits of tenants in the proxy (prefix front_cap_): when a statement
 * takes a token of ratelim.h, waits for one or is refused. An operation takes
 * one token when its first statement is about to be sent to a member, and
 * another one for each further time that it is sent after it may have run.
 */

#include "front_priv.h"

#include "log.h"
#include "settings.h"

#include <inttypes.h>
#include <sodium.h>
#include <string.h>

/* Time between checks for tenants that reached their limit, for the log. */
enum { FRONT_CAP_LOG_MS = 100 };

static void front_cap_on_prepare(struct ev_loop *loop, ev_prepare *w,
				 int events)
{
	struct front_server *f = w->data;
	struct msg_rate_ask ask;

	(void)loop;
	(void)events;
	if (!rl_client_next_ask(f->caps, clk_now(), &ask))
		return;
	if (!f->on_rate_ask || !f->on_rate_ask(f->rate_arg, &ask))
		rl_client_ask_failed(f->caps, ask.seq);
}

void front_cap_init(struct front_server *f)
{
	uint64_t seed = (uint64_t)f->set->seed;

	if (!f->set->rate_window_ms)
		return;
	if (!seed)
		randombytes_buf(&seed, sizeof(seed));
	f->caps = rl_client_new(seed);
	ev_prepare_init(&f->caps_prepare, front_cap_on_prepare);
	f->caps_prepare.data = f;
	ev_prepare_start(f->loop, &f->caps_prepare);
}

void front_cap_free(struct front_server *f)
{
	if (!f->caps)
		return;
	ev_prepare_stop(f->loop, &f->caps_prepare);
	rl_client_free(f->caps);
	f->caps = NULL;
}

void front_cap_take_routes(struct front_server *f)
{
	if (f->caps)
		rl_client_set_limits(f->caps, f->routes, clk_now());
}

void front_on_rate_ask(struct front_server *f,
		       bool (*send)(void *arg, const struct msg_rate_ask *ask),
		       void *arg)
{
	f->on_rate_ask = send;
	f->rate_arg = arg;
}

void front_cap_start(struct front_session *s)
{
	s->run.token = (struct rl_token){.held = false};
	s->run.token_asked = false;
	s->run.token_waits = false;
}

static bool front_cap_is_limited(const struct front_session *s)
{
	return s->server->caps && s->job.tenant[0];
}

static void front_cap_end_wait(struct front_session *s)
{
	if (s->run.token_waits)
		rl_client_end_wait(s->server->caps, s->job.tenant);
	s->run.token_waits = false;
}

/* Lets the statement wait for a grant. Returns false if it has waited for long
 * enough. */
static bool front_cap_wait(struct front_session *s, clk_ms now)
{
	struct front_run *run = &s->run;

	if (!run->token_waits) {
		run->token_waits = true;
		run->token_wait_until = now + RL_MAX_WAIT_MS;
		if (run->token_wait_until > run->deadline - FRONT_TICK_MS)
			run->token_wait_until = run->deadline - FRONT_TICK_MS;
		rl_client_wait(s->server->caps, s->job.tenant);
	}
	if (now >= run->token_wait_until)
		return false;
	s->job_runs = false;
	run->reason = RES_RATE_LIMIT;
	run->retry_at = run->token_wait_until;
	return true;
}

bool front_cap_take(struct front_session *s, clk_ms now)
{
	struct rl_client *caps = s->server->caps;
	struct front_run *run = &s->run;
	clk_ms retry_ms = 0;

	if (!front_cap_is_limited(s) || run->token.held)
		return true;
	if (!run->token_asked)
		rl_client_count_asked(caps, s->job.tenant, now);
	run->token_asked = true;
	switch (rl_client_take(caps, s->job.tenant, now, &run->token,
			       &retry_ms)) {
	case RL_GO:
		front_cap_end_wait(s);
		return true;
	case RL_WAIT:
		if (front_cap_wait(s, now))
			return false;
		retry_ms = rl_client_refuse_waiting(caps, s->job.tenant, now);
		break;
	case RL_REFUSE:
		break;
	}
	front_cap_end_wait(s);
	front_run_refuse_rate(s, retry_ms);
	return false;
}

bool front_cap_may_repeat(const struct front_session *s, clk_ms now)
{
	return !front_cap_is_limited(s) ||
	       (s->run.token.held && !s->job.sent) ||
	       rl_client_has_token(s->server->caps, s->job.tenant, now);
}

void front_cap_sent(struct front_session *s)
{
	s->run.token.held = false;
}

void front_cap_end(struct front_session *s, clk_ms now)
{
	if (!front_cap_is_limited(s))
		return;
	front_cap_end_wait(s);
	rl_client_return(s->server->caps, s->job.tenant, &s->run.token, now);
}

void front_take_rate_grant(struct front_server *f,
			   const struct msg_rate_grant *g)
{
	struct front_session *next;
	clk_ms now = clk_now();

	if (!f->caps || !rl_client_take_grant(f->caps, g, now))
		return;
	for (struct front_session *s = f->busy_sessions; s; s = next) {
		next = s->busy_next;
		front_run_on_token(s, now);
	}
}

void front_cap_tick(struct front_server *f, clk_ms now)
{
	struct rl_change ch;

	if (!f->caps || now - f->caps_logged_at < FRONT_CAP_LOG_MS)
		return;
	f->caps_logged_at = now;
	while (rl_client_next_change(f->caps, now, &ch)) {
		if (ch.limited)
			log_info("front", "event=rate_limit_reached tenant=%s",
				 ch.tenant);
		else
			log_info("front",
				 "event=rate_limit_over tenant=%s "
				 "refused=%" PRIu64 " ms=%lld",
				 ch.tenant, ch.refused, (long long)ch.ms);
	}
}

static void front_cap_put(void *arg, const struct rl_stats *st)
{
	buf_addf(arg,
		 "tenant_asked{tenant=\"%s\"} %" PRIu64 "\n"
		 "tenant_served{tenant=\"%s\"} %" PRIu64 "\n"
		 "tenant_refused{tenant=\"%s\",reason=\"limit\"} %" PRIu64 "\n"
		 "tenant_refused{tenant=\"%s\",reason=\"no_answer\"} %" PRIu64
		 "\n"
		 "tenant_share_milli{tenant=\"%s\"} %" PRId64 "\n"
		 "tenant_left_milli{tenant=\"%s\"} %" PRId64 "\n",
		 st->tenant, st->asked, st->tenant, st->served, st->tenant,
		 st->refused_limit, st->tenant, st->refused_no_answer,
		 st->tenant, st->share_milli, st->tenant, st->left_milli);
}

void front_put_tenant_metrics(struct front_server *f, struct buf *text)
{
	if (f->caps)
		rl_client_each(f->caps, clk_now(), front_cap_put, text);
}
