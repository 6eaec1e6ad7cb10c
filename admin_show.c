#include "admin.h"

#include "buf.h"
#include "counter.h"
#include "exec.h"
#include "lists.h"
#include "pgwire.h"
#include "settings.h"
#include "uplink.h"
#include "version.h"
#include "view.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The tables of SHOW that a proxy answers from its own state. */

#define SHOW_MAX_COLUMNS 20
#define SHOW_MAX_CELL_LEN 512

/* The row that is being built. */
struct show_row {
	char cells[SHOW_MAX_COLUMNS][SHOW_MAX_CELL_LEN];
	int n;
};

/* The answer that is being built. */
struct show {
	const struct adm_config *cfg;
	struct buf *out;
	int64_t rows;
};

__attribute__((format(printf, 2, 3))) static void show_cell(struct show_row *r,
							    const char *fmt,
							    ...)
{
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(r->cells[r->n++], SHOW_MAX_CELL_LEN, fmt, ap);
	va_end(ap);
}

static void show_bool(struct show_row *r, bool flag)
{
	show_cell(r, "%s", flag ? "true" : "false");
}

static void show_number(struct show_row *r, int64_t n)
{
	show_cell(r, "%" PRId64, n);
}

static void show_end_row(struct show *s, const struct show_row *r)
{
	const char *values[SHOW_MAX_COLUMNS];

	for (int i = 0; i < r->n; i++)
		values[i] = r->cells[i];
	pgw_put_text_data_row(s->out, values, r->n);
	s->rows++;
}

static void show_counter(void *arg, const char *name, uint64_t value)
{
	struct show *s = arg;
	struct show_row r = {.n = 0};

	show_cell(&r, "%s", name);
	show_cell(&r, "%" PRIu64, value);
	show_end_row(s, &r);
}

static void show_counters(struct show *s)
{
	static const char *const columns[] = {"name", "value"};

	pgw_put_text_row_description(s->out, columns, 2);
	cnt_each(show_counter, s);
}

/* Search for the statistics of one backend. */
struct show_backend_lookup {
	const char *id;
	struct exec_backend_stats stats;
	bool found;
};

static void show_match_backend(void *arg,
			       const struct exec_backend_stats *stats)
{
	struct show_backend_lookup *f = arg;

	if (strcmp(f->id, stats->id) != 0)
		return;
	f->stats = *stats;
	f->found = true;
}

static void show_backend(struct show *s, const struct backend_info *b,
			 clk_ms now)
{
	struct show_backend_lookup f = {.id = b->id};
	struct exec_routing_info hint =
		exec_routing_info_of(s->cfg->exec, b->id, now);
	struct show_row r = {.n = 0};

	exec_each_backend(s->cfg->exec, now, show_match_backend, &f);
	show_cell(&r, "%s", b->id);
	show_cell(&r, "%s", b->group);
	show_cell(&r, "%s", b->addr);
	show_cell(&r, "%s", b->zone);
	show_number(&r, b->incarnation);
	show_number(&r, b->slots);
	show_number(&r, b->connection_limit);
	show_bool(&r, b->leaving);
	show_bool(&r, b->announcements_stopped);
	show_cell(&r, "%s", view_backend_owner(s->cfg->view, b));
	show_number(&r, f.found ? f.stats.connections : 0);
	show_number(&r, f.found ? f.stats.idle : 0);
	show_number(&r, f.found ? f.stats.running : 0);
	show_number(&r, f.found ? f.stats.waiting : 0);
	show_bool(&r, hint.healthy);
	show_number(&r, hint.log_term);
	show_number(&r, hint.applied);
	show_number(&r, hint.applied_age_ms);
	show_number(&r,
		    hint.info_received_at ? now - hint.info_received_at : -1);
	show_number(&r, hint.slot_wait_ms);
	show_end_row(s, &r);
}

static void show_backends(struct show *s)
{
	static const char *const columns[SHOW_MAX_COLUMNS] = {
		"id",	    "group",	   "address", "zone",	  "incarnation",
		"slots",    "connections", "leaving", "silent",	  "owner",
		"open",	    "idle",	   "running", "waiting",  "healthy",
		"log_term", "applied",	   "age_ms",  "heard_ms", "queue_ms"};
	size_t n;
	const struct backend_info *b = view_backends(s->cfg->view, &n);
	clk_ms now = clk_now();

	pgw_put_text_row_description(s->out, columns, SHOW_MAX_COLUMNS);
	for (size_t i = 0; i < n; i++)
		show_backend(s, &b[i], now);
}

static void show_group(struct show *s, const struct group_info *g, clk_ms now)
{
	struct show_row r = {.n = 0};
	struct buf starts = BUF_INIT;

	for (int64_t i = 0; i < g->nterm_starts; i++)
		buf_addf(&starts, "%s%" PRId64 "/%" PRId64, i ? "," : "",
			 g->term_starts[i].term,
			 g->term_starts[i].start_position);
	show_cell(&r, "%s", g->name);
	show_number(&r, g->term);
	show_cell(&r, "%s", g->primary);
	show_bool(&r, g->changing_primary);
	show_bool(&r, view_lease_valid(s->cfg->view, g->name, g->term, now));
	show_cell(&r, "%s", buf_str(&starts));
	show_end_row(s, &r);
	buf_free(&starts);
}

static void show_groups(struct show *s)
{
	static const char *const columns[] = {"group",	  "term",  "primary",
					      "changing", "lease", "starts"};
	size_t n;
	const struct group_info *g = view_groups(s->cfg->view, &n);
	clk_ms now = clk_now();

	pgw_put_text_row_description(s->out, columns, 6);
	for (size_t i = 0; i < n; i++)
		show_group(s, &g[i], now);
}

static void show_proxies(struct show *s)
{
	static const char *const columns[] = {"id", "address", "zone", "alive",
					      "self"};
	size_t n;
	const struct proxy_info *p = view_proxies(s->cfg->view, &n);

	pgw_put_text_row_description(s->out, columns, 5);
	for (size_t i = 0; i < n; i++) {
		struct show_row r = {.n = 0};

		show_cell(&r, "%s", p[i].id);
		show_cell(&r, "%s", p[i].addr);
		show_cell(&r, "%s", p[i].zone);
		show_bool(&r, p[i].alive);
		show_bool(&r, !strcmp(p[i].id, s->cfg->set->id));
		show_end_row(s, &r);
	}
}

static void show_config(struct show *s)
{
	static const char *const columns[] = {"version", "digest", "lists"};
	const struct lists *l = view_lists(s->cfg->view);
	char version[24];
	const char *values[] = {version, l ? l->digest : "", l ? l->text : ""};

	snprintf(version, sizeof(version), "%" PRId64, l ? l->version : 0);
	pgw_put_text_row_description(s->out, columns, 3);
	pgw_put_text_data_row(s->out, values, 3);
	s->rows = 1;
}

static void show_version(struct show *s)
{
	static const char *const columns[] = {"version", "id", "zone", "leader",
					      "leader_age_ms"};
	struct show_row r = {.n = 0};

	pgw_put_text_row_description(s->out, columns, 5);
	show_cell(&r, "%s", MARJORAMLATCH_VERSION);
	show_cell(&r, "%s", s->cfg->set->id);
	show_cell(&r, "%s", s->cfg->set->zone);
	show_cell(&r, "%s", uplink_leader_id(s->cfg->up));
	show_number(&r, uplink_answer_age(s->cfg->up, clk_now()));
	show_end_row(s, &r);
}

bool adm_append_table(const struct adm_config *cfg, const char *what,
		      struct buf *out)
{
	struct show s = {.cfg = cfg, .out = out};
	char tag[32];

	if (!strcmp(what, "counters"))
		show_counters(&s);
	else if (!strcmp(what, "backends"))
		show_backends(&s);
	else if (!strcmp(what, "groups"))
		show_groups(&s);
	else if (!strcmp(what, "proxies"))
		show_proxies(&s);
	else if (!strcmp(what, "config"))
		show_config(&s);
	else if (!strcmp(what, "version"))
		show_version(&s);
	else
		return false;
	snprintf(tag, sizeof(tag), "SELECT %" PRId64, s.rows);
	pgw_put_command_complete(out, tag);
	return true;
}
