#include "exec_priv.h"

#include "counter.h"
#include "log.h"
#include "request_outcome.h"
#include "rng.h"
#include "settings.h"
#include "view.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* ---- suspected primaries ---- */

static bool exec_is_primary(const struct exec_backend *b, int64_t *term)
{
	const struct group_info *g = view_group(b->x->view, b->group);

	if (!g || !g->term || strcmp(g->primary, b->id))
		return false;
	*term = g->term;
	return true;
}

/* Two consecutive refusals distinguish a stopped server from a short glitch. */
enum { EXEC_SUSPECT_REFUSALS = 2 };

static enum suspect_reason exec_check_suspect(const struct exec_backend *b,
					      int64_t term, clk_ms now)
{
	clk_ms limit = b->x->set->suspect_ms;

	if (now - probe_last_status_at(b->probe) > limit ||
	    probe_failures(b->probe) >= EXEC_SUSPECT_REFUSALS)
		return SUSPECT_UNREACHABLE;
	/*
	 * The server restarted as a replica or was not promoted, so the group
	 * has no primary. A status received before the view named this primary
	 * proves nothing.
	 */
	if (b->hint.info_received_at > b->known_primary_since &&
	    (!b->status.primary || b->status.log_term < term))
		return SUSPECT_UNREACHABLE;
	if (b->status.majority_age_ms > limit)
		return SUSPECT_NO_MAJORITY;
	return 0;
}

static void exec_update_suspect(struct exec_backend *b)
{
	enum suspect_reason reason = 0;
	bool was = b->suspect;
	int64_t term;

	if (b->owned && b->probe && exec_is_primary(b, &term)) {
		if (b->known_primary_term != term)
			b->known_primary_since = clk_now();
		b->known_primary_term = term;
		reason = exec_check_suspect(b, term, clk_now());
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

int64_t exec_list_suspected_primaries(struct exec *x,
				      struct suspect_report *out, int64_t max,
				      clk_ms now)
{
	struct exec_backend *b, *next;
	int64_t n = 0;

	(void)now;
	for (b = x->backends; b; b = next) {
		next = b->hh.next;
		int64_t term;

		exec_update_suspect(b);
		if (!b->suspect || n == max || !exec_is_primary(b, &term))
			continue;
		out[n] = (struct suspect_report){.term = term,
						 .reason = b->reason};
		memcpy(out[n].group, b->group, sizeof(out[n].group));
		n++;
	}
	return n;
}

/* ---- status and health ---- */

void exec_record_status(struct exec_backend *b, const struct backend_status *st)
{
	b->status = *st;
	b->hint.log_term = st->log_term;
	b->hint.applied = st->applied_pos;
	b->hint.applied_age_ms =
		st->primary ? st->majority_age_ms : st->data_age_ms;
	b->hint.info_received_at = clk_now();
}

void exec_record_failure(struct exec_backend *b)
{
	health_failure(&b->health, b->x->rng, clk_now());
}

static int exec_compare_us(const void *a, const void *b)
{
	int64_t x = *(const int64_t *)a;
	int64_t y = *(const int64_t *)b;

	return (x > y) - (x < y);
}

/*
 * Median round trip time of the polls of the other members of the group that
 * this proxy polls. Computed only if this backend could count as slow;
 * otherwise 0.
 */
static int64_t exec_median_peer_us(const struct exec_backend *b, int64_t own_us)
{
	int64_t us[16];
	size_t n = 0;

	if (own_us <= HEALTH_SLOW_MIN_US &&
	    b->health.mean_round_trip_us <= HEALTH_SLOW_MIN_US)
		return 0;
	for (const struct exec_backend *o = b->x->backends; o; o = o->hh.next) {
		if (o == b || strcmp(o->group, b->group) || !o->probe ||
		    !o->health.mean_round_trip_us ||
		    n == sizeof(us) / sizeof(us[0]))
			continue;
		us[n++] = o->health.mean_round_trip_us;
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

/*
 * Deletes some rows of the request table that are older than
 * OUTCOME_RETENTION_MS, after which a request id is no longer looked up.
 */
static void exec_prune_requests(struct exec_backend *b, int64_t term)
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
		.wait_limit_ms = 1000,
		.answer_timeout_ms = 5000,
		.sql = {OUTCOME_DELETE_OLD_SQL, strlen(OUTCOME_DELETE_OLD_SQL)},
		.params = &param,
		.nparams = 1,
	};

	b->pruned_at = clk_now();
	param.value.len = (size_t)snprintf(
		before, sizeof(before), "%lld",
		(long long)clk_wall() - (long long)OUTCOME_RETENTION_MS);
	memcpy(run.group, b->group, sizeof(run.group));
	memcpy(run.backend, b->id, sizeof(run.backend));
	exec_start(b->x, &run, &sink);
}

static void exec_check_lost(struct exec_backend *b)
{
	struct exec_req *r, *next;

	for (r = b->x->reqs; r; r = next) {
		next = r->hh.next;
		if (r->b == b)
			exec_local_check_lost(r, b->unresponsive_since);
	}
}

static void exec_on_poll(void *arg, const struct backend_status *st,
			 int64_t round_trip_us)
{
	struct exec_backend *b = arg;
	clk_ms now = clk_now();
	int64_t term;

	exec_record_status(b, st);
	health_on_round_trip(&b->health, round_trip_us,
			     exec_median_peer_us(b, round_trip_us), b->x->rng,
			     now);
	if (b->unresponsive_since) {
		exec_check_lost(b);
		log_info("exec", "backend=%s answers again after_ms=%lld",
			 b->id, (long long)(now - b->unresponsive_since));
		b->unresponsive_since = 0;
		health_success(&b->health);
	}
	exec_update_suspect(b);
	if (b->status.primary && now - b->pruned_at > EXEC_PRUNE_INTERVAL_MS &&
	    exec_is_primary(b, &term))
		exec_prune_requests(b, term);
	/* Requests may be waiting for this replica to catch up. */
	if (b->catching_up)
		exec_recheck_catching_up(b);
}

static void exec_on_unresponsive(void *arg)
{
	struct exec_backend *b = arg;
	struct exec_req *r, *next;

	if (!b->unresponsive_since)
		b->unresponsive_since = clk_now();
	cnt_add(CNT_backend_silent, 1);
	/*
	 * Whatever cut off the poll connection (see exec_local_check_lost())
	 * may have cut off other connections that are open now, so idle ones
	 * are not reused.
	 */
	pool_close_idle(b->pool, clk_now());
	health_unresponsive(&b->health, b->x->rng, clk_now());
	exec_update_suspect(b);
	for (r = b->x->reqs; r; r = next) {
		next = r->hh.next;
		/*
		 * The second timeout occurred on a new connection, so it is the
		 * server that does not respond.
		 */
		if (r->b == b)
			exec_local_unresponsive(r,
						probe_failures(b->probe) > 1);
	}
}

static void exec_on_refused(void *arg)
{
	struct exec_backend *b = arg;

	if (!b->unresponsive_since)
		b->unresponsive_since = clk_now();
	exec_record_failure(b);
	exec_update_suspect(b);
}

/* ---- table of backends ---- */

static int64_t exec_pool_limit(const struct exec *x,
			       const struct backend_info *info)
{
	int64_t limit = info->connection_limit - EXEC_RESERVED_CONNS;
	size_t n;

	if (x->set->scheduling == SETTINGS_SCHEDULING_POOLS) {
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
	bool shared = x->set->scheduling == SETTINGS_SCHEDULING_OWNER;

	if (!b)
		abort();
	b->x = x;
	memcpy(b->id, info->id, sizeof(b->id));
	memcpy(b->group, info->group, sizeof(b->group));
	b->cost = cost_new(COST_MAX_FINGERPRINTS);
	b->sched = sched_new(info->slots, shared && x->set->short_first,
			     x->set->admission);
	b->hint.applied_age_ms = -1;
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
	/* Without an owner each proxy may use all connections of its share. */
	sched_set_slots(b->sched,
			x->set->scheduling == SETTINGS_SCHEDULING_OWNER
				? info->slots
				: exec_pool_limit(x, info));
	if (b->incarnation != info->incarnation) {
		pool_close_idle(b->pool, clk_now());
		b->incarnation = info->incarnation;
	}
}

static void exec_backend_update(struct exec_backend *b,
				const struct backend_info *info)
{
	struct exec *x = b->x;
	struct probe_callbacks user = {.arg = b,
				       .on_status = exec_on_poll,
				       .on_silent = exec_on_unresponsive,
				       .on_refused = exec_on_refused};
	bool owned = x->set->scheduling == SETTINGS_SCHEDULING_POOLS ||
		     !strcmp(view_backend_owner(x->view, info), x->set->id);

	exec_backend_open(b, info);
	if (owned && !b->probe) {
		b->pruned_at = clk_now();
		b->probe = probe_new(x->loop, x->set, b->addr, b->group, &user);
	}
	if (!owned && b->probe) {
		probe_free(b->probe);
		b->probe = NULL;
		b->unresponsive_since = 0;
	}
	b->owned = owned;
	exec_update_suspect(b);
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

/* ---- information for routing and SHOW BACKENDS ---- */

struct exec_routing_info exec_routing_info_of(const struct exec *x,
					      const char *backend, clk_ms now)
{
	struct exec_routing_info hint = {.applied_age_ms = -1, .healthy = true};
	const struct exec_backend *b;

	HASH_FIND_STR(x->backends, backend, b);
	if (!b)
		return hint;
	hint = b->hint;
	hint.healthy = !b->health.is_ejected || now >= b->health.retry_at;
	hint.slot_wait_ms = b->owned ? sched_wait_ms(b->sched, INT64_MAX)
				     : b->forwarded_wait_us / 1000;
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
			.connections = pool_count_open(b->pool),
			.idle = pool_count_idle(b->pool),
			.running = (int64_t)sched_running(b->sched),
			.waiting = (int64_t)sched_waiting(b->sched),
			.routing_info = exec_routing_info_of(x, b->id, now),
		};

		if (b->owned)
			fn(arg, &s);
	}
}
