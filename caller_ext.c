#include "caller_priv.h"

#include "counter.h"
#include "net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The extended protocol. After an error everything until Sync is skipped. */

static void ext_fail(struct caller *c, const char *state, const char *text)
{
	caller_error(c, RES_UNSUPPORTED, state, text);
}

static void ext_malformed(struct caller *c)
{
	cnt_add(CNT_bad_input, 1);
	caller_fatal(c, RES_BAD_MESSAGE, "malformed extended query message");
}

static struct prep *ext_new_prep(const char *sql, int ntypes)
{
	struct prep *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	p->refs = 1;
	p->sql = strdup(sql);
	p->ntypes = ntypes;
	p->types = calloc((size_t)ntypes + 1, sizeof(*p->types));
	if (!p->sql || !p->types)
		abort();
	return p;
}

static bool ext_check_text(struct caller *c, struct prep *p)
{
	struct err e = ERR_INIT;

	if (cls_get(c->all->cls, p->sql, &p->cls, &e) != RES_OK) {
		caller_refuse(c, e.code, e.text);
		return false;
	}
	if (p->cls.several) {
		ext_fail(c, "42601",
			 "cannot insert multiple commands into a prepared "
			 "statement");
		return false;
	}
	return true;
}

static void ext_parse(struct caller *c, const struct pgw_msg *m)
{
	struct pgw_reader r;
	struct err e = ERR_INIT;
	const char *name;
	const char *sql;
	struct prep *p;
	int n;

	pgw_read(&r, m);
	name = pgw_get_string(&r);
	sql = pgw_get_string(&r);
	n = pgw_get_int16(&r);
	if (r.bad || n < 0 || n > PGW_MAX_PARAMS) {
		ext_malformed(c);
		return;
	}
	if (*name && caller_prep_find(c, name)) {
		ext_fail(c, "42P05", "prepared statement already exists");
		return;
	}
	p = ext_new_prep(sql, n);
	for (int i = 0; i < n; i++)
		p->types[i] = pgw_get_int32(&r);
	if (r.bad) {
		caller_prep_unref(p);
		ext_malformed(c);
		return;
	}
	if (!ext_check_text(c, p)) {
		caller_prep_unref(p);
		return;
	}
	if (caller_prep_store(c, name, p, &e) != RES_OK) {
		caller_prep_unref(p);
		caller_refuse(c, e.code, e.text);
		return;
	}
	pgw_put_empty(caller_out(c), '1');
}

/* Format codes of Bind: none is text, one is for all. Returns the common
 * format, -1 if they differ; per is filled in if it is given. */
static int ext_formats(struct pgw_reader *r, int16_t *per, int nper)
{
	int n = pgw_get_int16(r);
	int first = 0;
	bool mixed = false;

	if (n < 0 || n > PGW_MAX_PARAMS)
		r->bad = true;
	for (int i = 0; i < n && !r->bad; i++) {
		int f = pgw_get_int16(r);

		if (f != 0 && f != 1)
			r->bad = true;
		if (i == 0)
			first = f;
		mixed |= f != first;
		if (per && i < nper)
			per[i] = (int16_t)f;
	}
	for (int i = 0; per && n <= 1 && i < nper; i++)
		per[i] = (int16_t)first;
	return mixed ? -1 : first;
}

static void ext_param(struct pgw_reader *r, struct run_param *p)
{
	int32_t len = pgw_get_int32(r);
	const char *bytes;
	char *copy;

	p->null = len < 0;
	if (len < 0)
		return;
	bytes = pgw_get_bytes(r, (size_t)len);
	if (!bytes)
		return;
	/* libpq takes text values as zero-terminated strings. */
	copy = malloc((size_t)len + 1);
	if (!copy)
		abort();
	memcpy(copy, bytes, (size_t)len);
	copy[len] = '\0';
	p->value = (struct blob){.data = copy, .len = (size_t)len};
}

static void ext_params(struct pgw_reader *r, struct portal *portal)
{
	int16_t formats[PGW_MAX_PARAMS] = {0};
	int n;

	ext_formats(r, formats, PGW_MAX_PARAMS);
	n = pgw_get_int16(r);
	if (r->bad || n < 0 || n > PGW_MAX_PARAMS) {
		r->bad = true;
		return;
	}
	portal->params = calloc((size_t)n + 1, sizeof(*portal->params));
	if (!portal->params)
		abort();
	portal->nparams = n;
	for (int i = 0; i < n; i++) {
		portal->params[i].format = formats[i];
		if (i < portal->prep->ntypes)
			portal->params[i].type = portal->prep->types[i];
		ext_param(r, &portal->params[i]);
	}
}

static struct portal *ext_new_portal(struct prep *prep, struct pgw_reader *r)
{
	struct portal *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	p->prep = prep;
	prep->refs++;
	ext_params(r, p);
	p->result_format = ext_formats(r, NULL, 0);
	return p;
}

static void ext_bind(struct caller *c, const struct pgw_msg *m)
{
	struct pgw_reader r;
	struct err e = ERR_INIT;
	const char *name;
	struct prep *prep;
	struct portal *p;

	pgw_read(&r, m);
	name = pgw_get_string(&r);
	prep = caller_prep_find(c, pgw_get_string(&r));
	if (r.bad) {
		ext_malformed(c);
		return;
	}
	if (!prep) {
		ext_fail(c, "26000", "prepared statement does not exist");
		return;
	}
	p = ext_new_portal(prep, &r);
	if (r.bad || r.p != r.end) {
		caller_portal_free(p);
		ext_malformed(c);
		return;
	}
	if (p->result_format < 0) {
		caller_portal_free(p);
		caller_refuse(
			c, RES_UNSUPPORTED,
			"result columns of both text and binary format in "
			"one portal are not supported");
		return;
	}
	if (!*name)
		caller_portal_close(c, name);
	if (caller_portal_find(c, name)) {
		caller_portal_free(p);
		ext_fail(c, "42P03", "portal already exists");
		return;
	}
	if (caller_portal_store(c, name, p, &e) != RES_OK) {
		caller_portal_free(p);
		caller_refuse(c, e.code, e.text);
		return;
	}
	pgw_put_empty(caller_out(c), '2');
}

/* Runs a description on a backend. */
static void ext_describe(struct caller *c, struct prep *prep,
			 struct portal *portal)
{
	struct caller_run *run;

	if (caller_describe_locally(c, &prep->cls, prep->sql, !portal))
		return;
	if (c->failed) {
		ext_fail(c, "25P02",
			 "current transaction is aborted, commands ignored "
			 "until end of transaction block");
		return;
	}
	run = caller_run_new();
	run->kind = RUN_DESCRIBE;
	run->cls = prep->cls;
	run->prep = prep;
	prep->refs++;
	run->portal = portal;
	run->strip = portal != NULL;
	caller_start(c, run);
}

/* Describe of a portal is left to the Execute that usually follows. If
 * something else follows, the answer is due before it. */
static bool ext_settle_describe(struct caller *c, const char *executed)
{
	struct portal *p = c->ext ? c->ext->describe : NULL;

	if (!p || (executed && !strcmp(p->name, executed)))
		return true;
	c->ext->describe = NULL;
	ext_describe(c, p->prep, p);
	return false;
}

/* Reads what a Describe or Close names: 'S' for a prepared statement, 'P' for a
 * portal; 0 if the message is malformed. */
static char ext_read_target(const struct pgw_msg *m, const char **name)
{
	struct pgw_reader r;
	char what;

	pgw_read(&r, m);
	what = pgw_get_byte(&r);
	*name = pgw_get_string(&r);
	return r.bad || (what != 'S' && what != 'P') ? '\0' : what;
}

static void ext_on_describe(struct caller *c, const struct pgw_msg *m)
{
	const char *name;
	char what = ext_read_target(m, &name);

	if (!what) {
		ext_malformed(c);
	} else if (what == 'S') {
		struct prep *prep = caller_prep_find(c, name);

		if (prep)
			ext_describe(c, prep, NULL);
		else
			ext_fail(c, "26000",
				 "prepared statement does not exist");
	} else {
		struct portal *p = caller_portal_find(c, name);

		if (!p)
			ext_fail(c, "34000", "portal does not exist");
		else if (p->ran)
			ext_describe(c, p->prep, p);
		else
			c->ext->describe = p;
	}
}

/* Sends rows that an earlier Execute left, up to its limit. */
static void ext_resume(struct caller *c, struct portal *p, int32_t limit)
{
	struct caller_run run = {.portal = p, .limit = limit, .answered = true};
	struct buf rest = p->rest;

	p->rest = (struct buf)BUF_INIT;
	p->suspended = false;
	caller_relay(c, &run, buf_data(&rest), buf_len(&rest));
	buf_free(&rest);
	if (p->suspended)
		pgw_put_empty(caller_out(c), 's');
}

static void ext_execute(struct caller *c, struct portal *p, int32_t limit)
{
	struct caller_run *run;

	if (p->suspended) {
		ext_resume(c, p, limit);
		return;
	}
	if (p->ran) {
		ext_fail(c, "55000", "portal cannot be run again");
		return;
	}
	run = caller_run_new();
	run->cls = p->prep->cls;
	run->prep = p->prep;
	run->prep->refs++;
	run->portal = p;
	run->limit = limit > 0 ? limit : 0;
	run->describe = c->ext->describe == p;
	c->ext->describe = NULL;
	p->ran = true;
	caller_start(c, run);
}

static bool ext_on_execute(struct caller *c, const struct pgw_msg *m)
{
	struct pgw_reader r;
	const char *name;
	int32_t limit;
	struct portal *p;

	pgw_read(&r, m);
	name = pgw_get_string(&r);
	limit = pgw_get_int32(&r);
	if (r.bad) {
		ext_malformed(c);
		return true;
	}
	if (!ext_settle_describe(c, name))
		return false;
	p = caller_portal_find(c, name);
	if (p)
		ext_execute(c, p, limit);
	else
		ext_fail(c, "34000", "portal does not exist");
	return true;
}

static void ext_on_close(struct caller *c, const struct pgw_msg *m)
{
	const char *name;
	char what = ext_read_target(m, &name);

	if (!what) {
		ext_malformed(c);
		return;
	}
	if (what == 'S')
		caller_prep_close(c, name);
	else
		caller_portal_close(c, name);
	pgw_put_empty(caller_out(c), '3');
}

static void ext_on_sync(struct caller *c)
{
	c->skipping = false;
	if (c->txn == 'I')
		caller_portals_free(c);
	else if (c->ext)
		c->ext->describe = NULL;
	caller_ready(c);
}

void caller_run_ended(struct caller *c, const struct caller_run *run, bool ok)
{
	if (!ok) {
		c->skipping = true;
		return;
	}
	if (run->portal && !run->strip && run->portal->suspended)
		pgw_put_empty(caller_out(c), 's');
}

static bool ext_dispatch(struct caller *c, const struct pgw_msg *m)
{
	switch (m->type) {
	case 'P':
		ext_parse(c, m);
		break;
	case 'B':
		ext_bind(c, m);
		break;
	case 'D':
		ext_on_describe(c, m);
		break;
	case 'E':
		return ext_on_execute(c, m);
	case 'C':
		ext_on_close(c, m);
		break;
	case 'H':
		break;
	case 'F':
		c->extended = false;
		caller_refuse(c, RES_UNSUPPORTED,
			      "function calls are not supported");
		caller_ready(c);
		break;
	default:
		cnt_add(CNT_bad_input, 1);
		caller_fatal(c, RES_BAD_MESSAGE, "unexpected message type");
	}
	return true;
}

bool caller_extended(struct caller *c, const struct pgw_msg *m)
{
	if (c->role != CALLER_CUSTOMER && !c->skipping && m->type != 'S')
		caller_refuse(c, RES_UNSUPPORTED,
			      "the admin database takes simple queries only");
	if (c->skipping && m->type != 'S')
		return true;
	if (m->type != 'E' && !c->skipping && !ext_settle_describe(c, NULL))
		return false;
	if (m->type == 'S') {
		ext_on_sync(c);
		return true;
	}
	return ext_dispatch(c, m);
}
