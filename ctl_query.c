#include "ctl_priv.h"

#include "counter.h"
#include "id_array.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { ROWS_MAX_CELLS = 60000 };

/* The cells of a table under construction, as zero-terminated strings in one
 * buffer. */
struct rows {
	struct buf text;
	int64_t ncells;
};

static void rows_add_cell(struct rows *r, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void rows_add_cell(struct rows *r, const char *fmt, ...)
{
	char cell[512];
	va_list ap;
	int n;

	if (r->ncells == ROWS_MAX_CELLS)
		return;
	va_start(ap, fmt);
	n = vsnprintf(cell, sizeof(cell), fmt, ap);
	va_end(ap);
	if (n >= (int)sizeof(cell))
		n = sizeof(cell) - 1;
	buf_add(&r->text, cell, (size_t)n + 1);
	r->ncells++;
}

static void rows_send(struct ctl *c, int64_t client, int64_t seq, enum res res,
		      struct rows *r, int64_t ncols)
{
	struct ctl_output *o = ctl_queue_output(c, CTL_REPLY);
	struct msg_rows *m = &o->msg.u.rows;
	const char *p;

	o->client = client;
	o->msg.type = MSG_ROWS;
	o->cells = calloc((size_t)r->ncells + 1, sizeof(*o->cells));
	o->text = malloc(buf_len(&r->text) + 1);
	if (!o->cells || !o->text)
		abort();
	if (buf_len(&r->text))
		memcpy(o->text, buf_data(&r->text), buf_len(&r->text));
	buf_free(&r->text);
	p = o->text;
	for (int64_t i = 0; i < r->ncells; i++) {
		o->cells[i].text.data = p;
		o->cells[i].text.len = strlen(p);
		p += strlen(p) + 1;
	}
	m->seq = seq;
	m->res = res;
	m->ncols = ncols;
	m->cells = o->cells;
	m->ncells = r->ncells;
}

/* Adds a row for each proxy; "lags" is whether it may use other lists than
 * those in force. */
static int64_t rows_status(const struct ctl *c, struct rows *r, clk_ms now)
{
	static const char *const names[] = {"proxy",   "zone",	 "alive",
					    "version", "digest", "age_ms",
					    "lags"};
	const struct lists *l = state_lists(c->state);
	const struct proxy_info *p;
	size_t n;

	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++)
		rows_add_cell(r, "%s", names[i]);
	p = state_proxies(c->state, &n);
	for (size_t i = 0; i < n; i++) {
		const struct ctl_proxy *h = id_array_find(
			c->proxies, c->nproxies, sizeof(*h), p[i].id);
		bool asked = h && h->client;
		bool lags = !asked || (l && (h->cfg_version != l->version ||
					     strcmp(h->cfg_digest, l->digest)));

		rows_add_cell(r, "%s", p[i].id);
		rows_add_cell(r, "%s", p[i].zone);
		rows_add_cell(r, "%s", p[i].alive ? "yes" : "no");
		rows_add_cell(r, "%" PRId64, h ? h->cfg_version : 0);
		rows_add_cell(r, "%s", h ? h->cfg_digest : "");
		rows_add_cell(r, "%" PRId64, h ? now - h->last_heard_ms : -1);
		rows_add_cell(r, "%s", lags ? "yes" : "no");
	}
	return sizeof(names) / sizeof(names[0]);
}

static int64_t rows_log(const struct ctl *c, struct rows *r)
{
	size_t n;
	const struct state_lists_revision *log =
		state_lists_history(c->state, &n);

	rows_add_cell(r, "version");
	rows_add_cell(r, "at_ms");
	rows_add_cell(r, "by");
	rows_add_cell(r, "digest");
	for (size_t i = n; i > 0; i--) {
		rows_add_cell(r, "%" PRId64, log[i - 1].version);
		rows_add_cell(r, "%" PRId64, log[i - 1].accepted_ms);
		rows_add_cell(r, "%s", log[i - 1].author);
		rows_add_cell(r, "%s", log[i - 1].digest);
	}
	return 4;
}

static int64_t rows_config(const struct ctl *c, struct rows *r)
{
	const struct lists *l = state_lists(c->state);

	rows_add_cell(r, "version");
	rows_add_cell(r, "digest");
	rows_add_cell(r, "lists");
	if (!l)
		return 3;
	rows_add_cell(r, "%" PRId64, l->version);
	rows_add_cell(r, "%s", l->digest);
	buf_add(&r->text, l->text, l->len);
	buf_add(&r->text, "", 1);
	r->ncells++;
	return 3;
}

static void rows_counter(void *arg, const char *name, uint64_t value)
{
	rows_add_cell(arg, "%s", name);
	rows_add_cell(arg, "%" PRIu64, value);
}

static bool query_is(const struct msg_query *m, const char *what)
{
	return m->report_name.len == strlen(what) &&
	       !memcmp(m->report_name.data, what, m->report_name.len);
}

void ctl_query(struct ctl *c, int64_t client, const struct msg_query *m,
	       clk_ms now)
{
	enum res res = RES_OK;
	struct rows r = {0};
	int64_t ncols = 0;

	if (query_is(m, "counters")) {
		rows_add_cell(&r, "counter");
		rows_add_cell(&r, "value");
		cnt_each(rows_counter, &r);
		ncols = 2;
	} else if (!ctl_may_act(c, now)) {
		res = RES_NOT_LEADER;
	} else if (query_is(m, "status")) {
		ncols = rows_status(c, &r, now);
	} else if (query_is(m, "log")) {
		ncols = rows_log(c, &r);
	} else if (query_is(m, "config")) {
		ncols = rows_config(c, &r);
	} else {
		res = RES_UNSUPPORTED;
	}
	if (res)
		cnt_add_refusal(res);
	rows_send(c, client, m->seq, res, &r, ncols);
}
