#include "load.h"

#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

static const double quantiles[] = {0.5, 0.9, 0.99};
static const char *const quantile_names[] = {"p50_us", "p90_us", "p99_us"};

const char *load_kind_name(enum load_kind k)
{
	static const char *const names[LOAD_KINDS] = {
		"browse", "order", "order_read", "ticket", "long", "own_read"};

	return names[k];
}

static void report_add_uint(struct json_object *o, const char *key,
			    uint64_t value)
{
	json_object_object_add(o, key, json_object_new_uint64(value));
}

static struct json_object *report_kind(const struct load *l, enum load_kind k)
{
	const struct load_stats *s = &l->stats[k];
	struct json_object *o = json_object_new_object();
	struct json_object *reasons = json_object_new_object();

	report_add_uint(o, "sent", s->sent);
	report_add_uint(o, "ok", s->ok);
	report_add_uint(o, "refused", s->refused);
	report_add_uint(o, "failed", s->failed);
	report_add_uint(o, "unknown", s->unknown);
	report_add_uint(o, "given_up", s->given_up);
	json_object_object_add(o, "goodput",
			       json_object_new_double((double)s->ok_before_end /
						      l->opt.seconds));
	for (int i = 0; i < 3; i++)
		report_add_uint(
			o, quantile_names[i],
			(uint64_t)hist_quantile(s->latency, quantiles[i]));
	report_add_uint(o, "max_us", (uint64_t)hist_max(s->latency));
	for (int i = 0; i < l->nreasons; i++)
		if (l->reasons[i].kind == k)
			report_add_uint(reasons, l->reasons[i].text,
					l->reasons[i].count);
	json_object_object_add(o, "reasons", reasons);
	return o;
}

static struct json_object *report_series(const uint64_t *series, int n)
{
	struct json_object *a = json_object_new_array();

	for (int i = 0; i < n; i++)
		json_object_array_add(a, json_object_new_uint64(series[i]));
	return a;
}

static void report_json(const struct load *l)
{
	struct json_object *o = json_object_new_object();
	struct json_object *kinds = json_object_new_object();
	const struct load_verdict *v = &l->verdict;
	int n = (int)(l->opt.seconds + 0.999);

	json_object_object_add(o, "run", json_object_new_string(l->run_id));
	report_add_uint(o, "seed", l->opt.seed);
	json_object_object_add(o, "seconds",
			       json_object_new_double(l->opt.seconds));
	for (int k = 0; k < LOAD_KINDS; k++)
		if (l->stats[k].sent)
			json_object_object_add(
				kinds, load_kind_name((enum load_kind)k),
				report_kind(l, (enum load_kind)k));
	json_object_object_add(o, "kinds", kinds);
	report_add_uint(o, "longest_gap_us", (uint64_t)l->longest_gap_us);
	if (l->opt.replica_lag_ms >= 0)
		report_add_uint(o, "replica_eligible", l->replica_eligible);
	report_add_uint(o, "stale_own_reads", l->stale_own_reads);
	json_object_object_add(o, "verified",
			       json_object_new_boolean(v->complete));
	report_add_uint(o, "acked", v->acked);
	report_add_uint(o, "lost", v->lost);
	report_add_uint(o, "doubled", v->doubled);
	report_add_uint(o, "not_run_but_present", v->not_run_but_present);
	report_add_uint(o, "unresolved", v->unresolved);
	json_object_object_add(o, "ok_per_s", report_series(l->ok_per_s, n));
	json_object_object_add(o, "orders_per_s",
			       report_series(l->orders_per_s, n));
	printf("%s\n",
	       json_object_to_json_string_ext(
		       o, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED));
	json_object_put(o);
}

static void report_kind_text(const struct load *l, enum load_kind k)
{
	const struct load_stats *s = &l->stats[k];

	printf("%-10s %8" PRIu64 " %8" PRIu64 " %8" PRIu64 " %7" PRIu64
	       " %7" PRIu64 " %8" PRIu64 " %9.1f",
	       load_kind_name(k), s->sent, s->ok, s->refused, s->failed,
	       s->unknown, s->given_up,
	       (double)s->ok_before_end / l->opt.seconds);
	for (int i = 0; i < 3; i++)
		printf(" %8.1f",
		       (double)hist_quantile(s->latency, quantiles[i]) / 1000);
	printf(" %8.1f\n", (double)hist_max(s->latency) / 1000);
}

static void report_text(const struct load *l)
{
	const struct load_verdict *v = &l->verdict;

	printf("%-10s %8s %8s %8s %7s %7s %8s %9s %8s %8s %8s %8s\n", "kind",
	       "sent", "ok", "refused", "failed", "unknown", "given_up", "ok/s",
	       "p50 ms", "p90 ms", "p99 ms", "max ms");
	for (int k = 0; k < LOAD_KINDS; k++)
		if (l->stats[k].sent)
			report_kind_text(l, (enum load_kind)k);
	for (int i = 0; i < l->nreasons; i++)
		printf("%8" PRIu64 " x %s: %s\n", l->reasons[i].count,
		       load_kind_name(l->reasons[i].kind), l->reasons[i].text);
	if (!l->stats[LOAD_ORDER].sent && !l->stats[LOAD_ORDER_READ].sent)
		return;
	printf("longest gap between orders: %.2f s\n",
	       (double)l->longest_gap_us / 1e6);
	printf("stale own reads: %" PRIu64 "\n", l->stale_own_reads);
	printf("orders: %" PRIu64 " acknowledged, %" PRIu64 " lost, %" PRIu64
	       " doubled, %" PRIu64 " not run but present, %" PRIu64
	       " unresolved%s\n",
	       v->acked, v->lost, v->doubled, v->not_run_but_present,
	       v->unresolved, v->complete ? "" : " (not all were verified)");
}

void load_report(const struct load *l)
{
	if (l->opt.json)
		report_json(l);
	else
		report_text(l);
}
