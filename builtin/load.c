#include "load.h"
#include "settings.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	LOAD_MAX_CALLERS = 20000,
	LOAD_MAX_SECONDS = 3600,
	LOAD_DEFAULT_LONG_COST_US = 200000, /* also in the help text */
	LOAD_DEFAULT_MAX_AGE_MS = 2000 /* also in the help text */
};

struct load_args {
	struct arg_lit *help;
	struct arg_str *to;
	struct arg_str *user;
	struct arg_str *database;
	struct arg_file *password;
	struct arg_str *table;
	struct arg_int *callers;
	struct arg_dbl *seconds;
	struct arg_dbl *rate;
	struct arg_str *mix;
	struct arg_str *swings;
	struct arg_int *seed;
	struct arg_int *long_us;
	struct arg_int *long_shapes;
	struct arg_int *short_us;
	struct arg_int *max_age;
	struct arg_int *lag;
	struct arg_int *max_wait;
	struct arg_str *report;
	struct arg_end *end;
};

static struct load_args load_arguments(void)
{
	return (struct load_args){
		arg_lit0(NULL, "help", "show this text"),
		arg_strn(NULL, "to", "IP:PORT", 1, CMD_MAX_PROXIES,
			 "proxy; repeat it to spread the callers"),
		arg_str1(NULL, "user", "NAME", "customer"),
		arg_str1(NULL, "database", "NAME", "database group"),
		arg_file1(NULL, "password-file", "FILE", "customer's password"),
		arg_str0(NULL, "table", "NAME", "table to use (load_orders)"),
		arg_int0(NULL, "callers", "N", "callers (16)"),
		arg_dbl0(NULL, "seconds", "S", "length of the run (10)"),
		arg_dbl0(NULL, "rate", "R",
			 "requests per second; 0 is a closed loop (0)"),
		arg_str0(NULL, "mix", "KIND:W,...",
			 "browse, order, order_read, ticket, long with weights "
			 "(browse:7,order:2,ticket:1)"),
		arg_strn(NULL, "swing", "AT,FOR,FACTOR", 0, LOAD_MAX_SWINGS,
			 "multiply the rate from AT s for FOR s"),
		arg_int0(NULL, "seed", "N", "seed of the random choices (1)"),
		arg_int0(NULL, "long-us", "US",
			 "cost of a long read at the server (200000)"),
		arg_int0(NULL, "long-shapes", "N",
			 "long reads that differ in fingerprint (1)"),
		arg_int0(NULL, "short-us", "US",
			 "cost of browse and ticket reads at the server "
			 "(the server's default)"),
		arg_int0(NULL, "max-age-ms", "MS",
			 "allowed age of browse and long reads (2000)"),
		arg_int0(NULL, "lag-ms", "MS",
			 "lag of the replicas; counts the browse reads that "
			 "they may serve"),
		arg_int0(NULL, "max-wait-ms", "MS",
			 "longest wait of a request (the plan's limit)"),
		arg_str0(NULL, "report", "text|json", "format of the report"),
		arg_end(16)};
}

/* Parses --mix into the weights of the kinds. */
static enum res load_parse_mix(struct load_options *o, const char *mix,
			       struct err *e)
{
	int sum = 0;

	memset(o->weights, 0, sizeof(o->weights));
	while (*mix) {
		size_t len = strcspn(mix, ":");
		char *end;
		long w = mix[len] ? strtol(mix + len + 1, &end, 10) : -1;
		int k = 0;

		while (k < LOAD_MIX_KINDS &&
		       (strlen(load_kind_name((enum load_kind)k)) != len ||
			strncmp(load_kind_name((enum load_kind)k), mix, len)))
			k++;
		if (k == LOAD_MIX_KINDS || w < 0 || w > 1000000 ||
		    (*end && *end != ','))
			return err_set(e, RES_BAD_LIST,
				       "--mix: found \"%s\", expected "
				       "kind:weight with kind one of browse, "
				       "order, order_read, ticket, long",
				       mix);
		o->weights[k] = (int)w;
		sum += (int)w;
		mix = end + (*end == ',');
	}
	if (sum)
		return RES_OK;
	return err_set(e, RES_BAD_LIST, "--mix: expected a weight over 0");
}

/* Parses the values of --swing. */
static enum res load_parse_swings(struct load_options *o,
				  const struct arg_str *a, struct err *e)
{
	for (int i = 0; i < a->count; i++) {
		struct load_swing *s = &o->swings[i];
		int used = 0;

		if (sscanf(a->sval[i], "%lf,%lf,%lf%n", &s->start_s,
			   &s->length_s, &s->factor, &used) != 3 ||
		    a->sval[i][used] || s->start_s < 0 || s->length_s <= 0 ||
		    s->factor < 0)
			return err_set(e, RES_BAD_LIST,
				       "--swing: found \"%s\", expected "
				       "AT,FOR,FACTOR such as 5,10,5",
				       a->sval[i]);
	}
	o->nswings = a->count;
	if (a->count && o->rate <= 0)
		return err_set(e, RES_BAD_LIST, "--swing needs --rate");
	return RES_OK;
}

static bool load_is_name(const char *s)
{
	return *s && strlen(s) < ID_LEN &&
	       !s[strspn(s, "abcdefghijklmnopqrstuvwxyz0123456789_")];
}

static enum res load_check_options(const struct load_options *o, struct err *e)
{
	for (int i = 0; i < o->nproxies; i++)
		if (settings_check_addr(o->proxies[i], "--to", e))
			return RES_BAD_LIST;
	if (!load_is_name(o->table))
		return err_set(e, RES_BAD_LIST,
			       "--table: expected lower-case letters, digits "
			       "and '_'");
	if (o->ncallers < 1 || o->ncallers > LOAD_MAX_CALLERS)
		return err_set(e, RES_BAD_LIST,
			       "--callers: found %d, expected 1 to %d",
			       o->ncallers, LOAD_MAX_CALLERS);
	if (!(o->seconds > 0 && o->seconds <= LOAD_MAX_SECONDS))
		return err_set(e, RES_BAD_LIST,
			       "--seconds: expected over 0 to %d",
			       LOAD_MAX_SECONDS);
	if (!(o->rate >= 0 && o->rate <= 1e6))
		return err_set(e, RES_BAD_LIST,
			       "--rate: expected 0 to 1000000 per second");
	if (o->long_cost_us < 0 || o->max_age_ms < 0)
		return err_set(e, RES_BAD_LIST,
			       "--long-us and --max-age-ms: expected at least "
			       "0");
	if (o->long_shapes < 1 || o->long_shapes > LOAD_MAX_SHAPES)
		return err_set(e, RES_BAD_LIST,
			       "--long-shapes: found %d, expected 1 to %d",
			       o->long_shapes, LOAD_MAX_SHAPES);
	return RES_OK;
}

static int load_int(const struct arg_int *a, int default_value)
{
	return a->count ? a->ival[0] : default_value;
}

static enum res load_set_options(struct load_options *o,
				 const struct load_args *a, struct err *e)
{
	const char *report = a->report->count ? a->report->sval[0] : "text";

	*o = (struct load_options){
		.nproxies = a->to->count,
		.user = a->user->sval[0],
		.database = a->database->sval[0],
		.table = a->table->count ? a->table->sval[0] : "load_orders",
		.ncallers = load_int(a->callers, 16),
		.seconds = a->seconds->count ? a->seconds->dval[0] : 10,
		.rate = a->rate->count ? a->rate->dval[0] : 0,
		.seed = (uint64_t)load_int(a->seed, 1),
		.json = !strcmp(report, "json"),
		.long_cost_us = load_int(a->long_us, LOAD_DEFAULT_LONG_COST_US),
		.short_cost_us = load_int(a->short_us, -1),
		.long_shapes = load_int(a->long_shapes, 1),
		.max_age_ms = load_int(a->max_age, LOAD_DEFAULT_MAX_AGE_MS),
		.replica_lag_ms = load_int(a->lag, -1),
		.max_wait_ms = load_int(a->max_wait, -1),
	};
	for (int i = 0; i < o->nproxies; i++)
		o->proxies[i] = a->to->sval[i];
	if (!o->json && strcmp(report, "text") != 0)
		return err_set(e, RES_BAD_LIST,
			       "--report: found \"%s\", expected text or json",
			       report);
	if (load_check_options(o, e) ||
	    load_parse_mix(o,
			   a->mix->count ? a->mix->sval[0]
					 : "browse:7,order:2,ticket:1",
			   e) ||
	    load_parse_swings(o, a->swings, e))
		return RES_BAD_LIST;
	return cmd_read_password(a->password->filename[0], o->password,
				 sizeof(o->password), e);
}

static bool load_passed(const struct load *l)
{
	const struct load_verdict *v = &l->verdict;

	return v->complete && !v->lost && !v->doubled &&
	       !v->not_run_but_present && !l->stale_own_reads;
}

static void load_free(struct load *l)
{
	for (int i = 0; l->callers && i < l->opt.ncallers; i++)
		free(l->callers[i].orders);
	for (int k = 0; k < LOAD_KINDS; k++)
		hist_free(l->stats[k].latency);
	free(l->callers);
	free(l->idle);
	free(l->queue);
	free(l->ok_per_s);
	free(l->orders_per_s);
	rng_free(l->rng);
	if (l->loop)
		ev_loop_destroy(l->loop);
}

static int load_execute(struct load *l)
{
	struct err e = ERR_INIT;

	/*
	 * The seed makes the random choices repeatable, but rows and request
	 * ids must differ from run to run, so the run id has a random part.
	 */
	snprintf(l->run_id, sizeof(l->run_id), "s%" PRIu64 "-%08x", l->opt.seed,
		 randombytes_random());
	l->rng = rng_new(l->opt.seed);
	for (int k = 0; k < LOAD_KINDS; k++)
		l->stats[k].latency = hist_new();
	if (load_setup(l, &e))
		return cmd_fail(&e);
	load_run(l);
	load_verify(l);
	load_report(l);
	return load_passed(l) ? CMD_OK : CMD_FAILED;
}

int cmd_load(int argc, char **argv)
{
	struct load_args a = load_arguments();
	void **table = (void **)&a;
	size_t n = sizeof(a) / sizeof(void *);
	struct err e = ERR_INIT;
	static struct load l;
	int rc = cmd_parse(
		argc, argv, table, n,
		"Sends requests of several kinds as many callers, measures "
		"latencies and verifies\nthat each acknowledged order is "
		"there exactly once. Exit status 1 if an order was\nlost or "
		"doubled, or a session did not see its own write.");

	if (rc == CMD_CONTINUE && load_set_options(&l.opt, &a, &e)) {
		cmd_fail(&e);
		rc = CMD_USAGE;
	}
	if (rc == CMD_CONTINUE && sodium_init() < 0)
		abort();
	if (rc == CMD_CONTINUE) {
		rc = load_execute(&l);
		load_free(&l);
	}
	arg_freetable(table, n);
	return rc;
}
