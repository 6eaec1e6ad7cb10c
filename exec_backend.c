#include "exec_priv.h"

#include "counter.h"
#include "log.h"
#include "once.h"
#include "rng.h"
#include "settings.h"
#include "view.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- suspicion ---- */

static bool exec_is_primary(const struct exec_backend *b, int64_t *term)
{
	const struct group_info *g = view_group(b->x->view, b->group);

	if (!g || !g->term || strcmp(g->primary, b->id))
		return false;
	*term = g->term;
	return true;
}

/* Two refusals in a row tell a stopped server from one bad moment. */
enum { EXEC_REFUSALS = 2 };

static enum suspect_reason exec_suspicion(const struct exec_backend *b,
					  int64_t term, clk_ms now)
{
	clk_ms limit = b->x->set->suspect_ms;

	if (now - probe_heard(b->probe) > limit ||
	    probe_failures(b->probe) >= EXEC_REFUSALS)
		return SUSPECT_UNREACHABLE;
	/* Restarted as a replica, or not promoted: nobody leads the group. A
	 * status from before the view named this primary tells nothing. */
	if (b->hint.heard > b->led_since &&
	    (!b->status.primary || b->status.log_term < term))
		return SUSPECT_UNREACHABLE;
	if (b->status.majority_age_ms > limit)
		return SUSPECT_NO_MAJORITY;
	return 0;
}

static void exec_update_suspicion(struct exec_backend *b)
{
	enum suspect_reason reason = 0;
	bool was = b->suspect;
	int64_t term;

	if (b->owned && b->probe && exec_is_primary(b, &term)) {
		if (b->led_term != term)
			b->led_since = clk_now();
		b->led_term = term;
		reason = exec_suspicion(b, term, clk_now());
	}
	b->suspect = reason != 0;
	b->reason = reason;
	if (!b->suspect || was)
		return;
	log_warn("exec", "backend=%s group=%s suspect=%s", b->id, b->group,
		 reason == SUSPECT_NO_MAJORITY ? "no-majority" : "unreachable");
	if (b->x->on_suspect)
		b->x->on_suspect(b->x->suspect_arg);
}

int64_t exec_suspects(struct exec *x, struct suspect *out, int64_t max,
		      clk_ms now)
{
	struct exec_backend *b, *next;
	int64_t n = 0;

	(void)now;
	for (b = x->backends; b; b = next) {
		next = b->hh.next;
		int64_t term;

		exec_update_suspicion(b);
		if (!b->suspect || n == max || !exec_is_primary(b, &term))
			continue;
		out[n] = (struct suspect){.term = term, .reason = b->reason};
		memcpy(out[n].group, b->group, sizeof(out[n].group));
		n++;
	}
	return n;
}

/* ---- what is heard of a backend ---- */

void exec_heard(struct exec_backend *b, const struct backend_status *st)
{
	b->status = *st;
	b->hint.log_term = st->log_term;
	b->hint.applied = st->applied;
	b->hint.age_ms = st->primary ? st->majority_age_ms : st->age_ms;
	b->hint.heard = clk_now();
}

void exec_failed(struct exec_backend *b)
{
	health_failure(&b->health, b->x->rng, clk_now());
}

static int exec_compare_us(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/* Median poll round trip of the group's other members polled from here; only
 * looked for if this one could count as slow. */
static int64_t exec_others_us(const struct exec_backend *b, int64_t own_us)
{
	int64_t us[16];
	size_t n = 0;

	if (own_us <= HEALTH_SLOW_MIN_US &&
	    b->health.round_trip_us <= HEALTH_SLOW_MIN_US)
		return 0;
	for (const struct exec_backend *o = b->x->backends; o; o = o->hh.next) {
		if (o == b || strcmp(o->group, b->group) || !o->probe ||
		    !o->health.round_trip_us || n == sizeof(us) / sizeof(us[0]))
			continue;
		us[n++] = o->health.round_trip_us;
	}
	if (!n)
		return 0;
	qsort(us, n, sizeof(us[0]), exec_compare_us);
	return us[n / 2];
}

static void exec_prune_data(void *arg, const char *bytes, size_t len)
{
	(void)arg;
	(void)bytes;
	(void)len;
}

static void exec_prune_end(void *arg, const struct msg_end *end)
{
	(void)arg;
	(void)end;
}

/* Deletes a few request rows that are too old to be asked for. */
static void exec_prune(struct exec_backend *b, int64_t term)
{
	struct exec_sink sink = {.on_data = exec_prune_data,
				 .on_end = exec_prune_end};
	char before[24];
	struct run_param param = {.value = {.data = before}};
	struct msg_run run = {
		.kind = RUN_WRITE,
		.priority = 100,
		.weight = 1,
		.term = term,
		.max_age_ms = -1,
		.wait_ms = 1000,
		.limit_ms = 5000,
		.sql = {ONCE_PRUNE, strlen(ONCE_PRUNE)},
		.params = &param,
		.nparams = 1,
	};

	b->pruned = clk_now();
	param.value.len = (size_t)snprintf(before, sizeof(before), "%lld",
					   (long long)clk_wall() -
						   (long long)ONCE_KEEP_MS);
	memcpy(run.group, b->group, sizeof(run.group));
	memcpy(run.backend, b->id, sizeof(run.backend));
	exec_start(b->x, &run, &sink);
}

static void exec_drop_lost(struct exec_backend *b)
{
	struct exec_req *r, *next;

	for (r = b->x->reqs; r; r = next) {
		next = r->hh.next;
		if (r->b == b)
			exec_local_lost(r, b->silent_since);
	}
}

static void exec_on_poll(void *arg, const struct backend_status *st,
			 int64_t round_trip_us)
{
	struct exec_backend *b = arg;
	clk_ms now = clk_now();
	int64_t term;

	exec_heard(b, st);
	health_measure(&b->health, round_trip_us,
		       exec_others_us(b, round_trip_us), b->x->rng, now);
	if (b->silent_since) {
		exec_drop_lost(b);
		log_info("exec", "backend=%s answers again after_ms=%lld",
			 b->id, (long long)(now - b->silent_since));
		b->silent_since = 0;
		health_success(&b->health);
	}
	exec_update_suspicion(b);
	if (b->status.primary && now - b->pruned > EXEC_PRUNE_MS &&
	    exec_is_primary(b, &term))
		exec_prune(b, term);
	/* Requests may wait for this replica to catch up. */
	if (b->behind)
		exec_recheck_behind(b);
}

static void exec_on_silent(void *arg)
{
	struct exec_backend *b = arg;
	struct exec_req *r, *next;

	if (!b->silent_since)
		b->silent_since = clk_now();
	cnt_add(CNT_backend_silent, 1);
	/* What is as old as the silent connection may be forgotten as well. */
	pool_drop_idle(b->pool, clk_now());
	health_down(&b->health, b->x->rng, clk_now());
	exec_update_suspicion(b);
	for (r = b->x->reqs; r; r = next) {
		next = r->hh.next;
		/* A second silence was on a new connection. */
		if (r->b == b)
			exec_local_silent(r, probe_failures(b->probe) > 1);
	}
}

static void exec_on_refused(void *arg)
{
	struct exec_backend *b = arg;

	if (!b->silent_since)
		b->silent_since = clk_now();
	exec_failed(b);
	exec_update_suspicion(b);
}

/* ---- the table ---- */

static int64_t exec_pool_limit(const struct exec *x,
			       const struct backend_info *info)
{
	int64_t limit = info->connections - EXEC_RESERVE;
	size_t n;

	if (x->set->scheduling == SET_POOLS) {
		view_proxies(x->view, &n);
		limit /= n ? (int64_t)n : 1;
	}
	return limit > 0 ? limit : 1;
}

static void exec_backend_clear(struct exec_backend *b)
{
	struct exec_req *r, *next_r;
	struct exec_pin *p, *next_p;

	for (r = b->x->reqs; r; r = next_r) {
		next_r = r->hh.next;
		if (r->b == b)
			exec_local_expire(r);
	}
	for (p = b->x->pins; p; p = next_p) {
		next_p = p->hh.next;
		if (p->b == b)
			exec_pin_close(p);
	}
	probe_free(b->probe);
	b->probe = NULL;
	pool_free(b->pool);
	b->pool = NULL;
}

static void exec_backend_free(struct exec_backend *b)
{
	exec_backend_clear(b);
	sched_free(b->sched);
	cost_free(b->cost);
	HASH_DEL(b->x->backends, b);
	free(b);
}

static struct exec_backend *exec_backend_new(struct exec *x,
					     const struct backend_info *info)
{
	struct exec_backend *b = calloc(1, sizeof(*b));
	bool shared = x->set->scheduling == SET_OWNER;

	if (!b)
		abort();
	b->x = x;
	memcpy(b->id, info->id, sizeof(b->id));
	memcpy(b->group, info->group, sizeof(b->group));
	b->cost = cost_new(COST_TABLE);
	b->sched = sched_new(info->slots, shared && x->set->short_first,
			     x->set->admission);
	b->hint.age_ms = -1;
	HASH_ADD_STR(x->backends, id, b);
	return b;
}

static void exec_backend_open(struct exec_backend *b,
			      const struct backend_info *info)
{
	struct exec *x = b->x;

	if (b->pool && strcmp(b->addr, info->addr))
		exec_backend_clear(b);
	memcpy(b->addr, info->addr, sizeof(b->addr));
	if (!b->pool)
		b->pool = pool_new(x->loop, x->set, b->addr, b->group,
				   exec_pool_limit(x, info));
	pool_set_limit(b->pool, exec_pool_limit(x, info));
	/* Without an owner each proxy may use all its connections. */
	sched_set_slots(b->sched, x->set->scheduling == SET_OWNER
					  ? info->slots
					  : exec_pool_limit(x, info));
	if (b->incarnation != info->incarnation) {
		pool_drop_idle(b->pool, clk_now());
		b->incarnation = info->incarnation;
	}
}

static void exec_backend_update(struct exec_backend *b,
				const struct backend_info *info)
{
	struct exec *x = b->x;
	struct probe_user user = {.arg = b,
				  .on_status = exec_on_poll,
				  .on_silent = exec_on_silent,
				  .on_refused = exec_on_refused};
	bool owned = x->set->scheduling == SET_POOLS ||
		     !strcmp(view_owner(x->view, info), x->set->id);

	exec_backend_open(b, info);
	if (owned && !b->probe) {
		b->pruned = clk_now();
		b->probe = probe_new(x->loop, x->set, b->addr, b->group, &user);
	}
	if (!owned && b->probe) {
		probe_free(b->probe);
		b->probe = NULL;
		b->silent_since = 0;
	}
	b->owned = owned;
	exec_update_suspicion(b);
}

struct exec_backend *exec_backend_get(struct exec *x, const char *id)
{
	const struct backend_info *info = view_backend(x->view, id);
	struct exec_backend *b;

	if (!info)
		return NULL;
	HASH_FIND_STR(x->backends, id, b);
	if (!b) {
		b = exec_backend_new(x, info);
		exec_backend_update(b, info);
	}
	return b;
}

void exec_backends_update(struct exec *x)
{
	struct exec_backend *b, *next;
	size_t n;
	const struct backend_info *infos = view_backends(x->view, &n);

	for (size_t i = 0; i < n; i++) {
		b = exec_backend_get(x, infos[i].id);
		if (b)
			exec_backend_update(b, &infos[i]);
	}
	for (b = x->backends; b; b = next) {
		next = b->hh.next;
		if (view_backend(x->view, b->id))
			continue;
		exec_backend_free(b);
	}
}

void exec_backends_free(struct exec *x)
{
	struct exec_backend *b, *next;

	for (b = x->backends; b; b = next) {
		next = b->hh.next;
		exec_backend_free(b);
	}
}

/* ---- what others may know ---- */

struct exec_hint exec_hint_of(const struct exec *x, const char *backend,
			      clk_ms now)
{
	struct exec_hint hint = {.age_ms = -1, .healthy = true};
	const struct exec_backend *b;

	HASH_FIND_STR(x->backends, backend, b);
	if (!b)
		return hint;
	hint = b->hint;
	hint.healthy = !b->health.aside || now >= b->health.retry_at;
	hint.queue_ms = b->owned ? sched_wait_ms(b->sched, INT64_MAX)
				 : b->waited_us / 1000;
	return hint;
}

void exec_each_backend(const struct exec *x, clk_ms now,
		       void (*fn)(void *arg,
				  const struct exec_backend_stats *s),
		       void *arg)
{
	for (const struct exec_backend *b = x->backends; b; b = b->hh.next) {
		struct exec_backend_stats s = {
			.id = b->id,
			.connections = pool_open(b->pool),
			.idle = pool_idle(b->pool),
			.running = (int64_t)sched_running(b->sched),
			.waiting = (int64_t)sched_waiting(b->sched),
			.hint = exec_hint_of(x, b->id, now),
		};

		if (b->owned)
			fn(arg, &s);
	}
}
