#include "caller_priv.h"

#include "counter.h"
#include "net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The extended query protocol. After an error, all messages up to the next Sync
 * are ignored. */

static void ext_error(struct caller *c, const char *state, const char *text)
{
	caller_error(c, RES_UNSUPPORTED, state, text);
}

static void ext_malformed(struct caller *c)
{
	cnt_add(CNT_bad_input, 1);
	caller_fatal(c, RES_BAD_MESSAGE, "malformed extended query message");
}

static struct prepared_statement *ext_new_prep(const char *sql, int ntypes)
{
	struct prepared_statement *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	p->refcount = 1;
	p->sql = strdup(sql);
	p->nparam_types = ntypes;
	p->param_types = calloc((size_t)ntypes + 1, sizeof(*p->param_types));
	if (!p->sql || !p->param_types)
		abort();
	return p;
}

static bool ext_check_text(struct caller *c, struct prepared_statement *p)
{
	struct err e = ERR_INIT;

	if (cls_classify(c->callers->class_table, p->sql, &p->stmt_class, &e) !=
	    RES_OK) {
		caller_refuse(c, e.code, e.text);
		return false;
	}
	if (p->stmt_class.multiple_statements) {
		ext_error(c, "42601",
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
	struct prepared_statement *p;
	int n;

	pgw_reader_init(&r, m);
	name = pgw_get_string(&r);
	sql = pgw_get_string(&r);
	n = pgw_get_int16(&r);
	if (r.bad || n < 0 || n > PGW_MAX_PARAMS) {
		ext_malformed(c);
		return;
	}
	if (*name && caller_statement_find(c, name)) {
		ext_error(c, "42P05", "prepared statement already exists");
		return;
	}
	p = ext_new_prep(sql, n);
	for (int i = 0; i < n; i++)
		p->param_types[i] = pgw_get_int32(&r);
	if (r.bad) {
		caller_statement_unref(p);
		ext_malformed(c);
		return;
	}
	if (!ext_check_text(c, p)) {
		caller_statement_unref(p);
		return;
	}
	if (caller_statement_store(c, name, p, &e) != RES_OK) {
		caller_statement_unref(p);
		caller_refuse(c, e.code, e.text);
		return;
	}
	pgw_put_bodyless_message(caller_out(c), '1');
}

/* Reads a list of format codes of Bind. An empty list means text for all; a
 * single code holds for all. Returns the common format, or -1 if the codes
 * differ. If per is not NULL, it receives the format of each of nper items. */
static int ext_read_formats(struct pgw_reader *r, int16_t *per, int nper)
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

static void ext_read_param(struct pgw_reader *r, struct run_param *p)
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
	/* libpq expects text values as zero-terminated strings. */
	copy = malloc((size_t)len + 1);
	if (!copy)
		abort();
	memcpy(copy, bytes, (size_t)len);
	copy[len] = '\0';
	p->value = (struct blob){.data = copy, .len = (size_t)len};
}

static void ext_read_params(struct pgw_reader *r, struct portal *portal)
{
	int16_t formats[PGW_MAX_PARAMS] = {0};
	int n;

	ext_read_formats(r, formats, PGW_MAX_PARAMS);
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
		if (i < portal->prep->nparam_types)
			portal->params[i].type = portal->prep->param_types[i];
		ext_read_param(r, &portal->params[i]);
	}
}

static struct portal *ext_new_portal(struct prepared_statement *prep,
				     struct pgw_reader *r)
{
	struct portal *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	p->prep = prep;
	prep->refcount++;
	ext_read_params(r, p);
	p->result_format = ext_read_formats(r, NULL, 0);
	return p;
}

static void ext_bind(struct caller *c, const struct pgw_msg *m)
{
	struct pgw_reader r;
	struct err e = ERR_INIT;
	const char *name;
	struct prepared_statement *prep;
	struct portal *p;

	pgw_reader_init(&r, m);
	name = pgw_get_string(&r);
	prep = caller_statement_find(c, pgw_get_string(&r));
	if (r.bad) {
		ext_malformed(c);
		return;
	}
	if (!prep) {
		ext_error(c, "26000", "prepared statement does not exist");
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
		ext_error(c, "42P03", "portal already exists");
		return;
	}
	if (caller_portal_store(c, name, p, &e) != RES_OK) {
		caller_portal_free(p);
		caller_refuse(c, e.code, e.text);
		return;
	}
	pgw_put_bodyless_message(caller_out(c), '2');
}

/* Answers a Describe of a portal, or of a statement if portal is NULL, locally
 * if possible and else by a request to a backend. */
static void ext_describe(struct caller *c, struct prepared_statement *prep,
			 struct portal *portal)
{
	struct caller_request *req;

	if (caller_describe_locally(c, &prep->stmt_class, prep->sql, !portal))
		return;
	if (c->txn_failed) {
		ext_error(c, "25P02",
			  "current transaction is aborted, commands ignored "
			  "until end of transaction block");
		return;
	}
	req = caller_request_new();
	req->kind = RUN_DESCRIBE;
	req->stmt_class = prep->stmt_class;
	req->prep = prep;
	prep->refcount++;
	req->portal = portal;
	req->portal_describe = portal != NULL;
	caller_start_request(c, req);
}

/*
 * Describe of a portal is normally answered by the Execute that follows it. If
 * another message follows, or an Execute of another portal, the Describe must
 * be answered first; this function then does so and returns false.
 */
static bool ext_answer_pending_describe(struct caller *c, const char *executed)
{
	struct portal *p =
		c->extended_state ? c->extended_state->pending_describe : NULL;

	if (!p || (executed && !strcmp(p->name, executed)))
		return true;
	c->extended_state->pending_describe = NULL;
	ext_describe(c, p->prep, p);
	return false;
}

/* Reads the target of a Describe or Close. Returns 'S' for a prepared
 * statement, 'P' for a portal, 0 if the message is malformed. */
static char ext_read_target(const struct pgw_msg *m, const char **name)
{
	struct pgw_reader r;
	char what;

	pgw_reader_init(&r, m);
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
		struct prepared_statement *prep =
			caller_statement_find(c, name);

		if (prep)
			ext_describe(c, prep, NULL);
		else
			ext_error(c, "26000",
				  "prepared statement does not exist");
	} else {
		struct portal *p = caller_portal_find(c, name);

		if (!p)
			ext_error(c, "34000", "portal does not exist");
		else if (p->executed)
			ext_describe(c, p->prep, p);
		else
			c->extended_state->pending_describe = p;
	}
}

/* Sends rows that remained after an earlier Execute, at most limit rows. */
static void ext_resume(struct caller *c, struct portal *p, int32_t limit)
{
	struct caller_request req = {
		.portal = p, .row_limit = limit, .response_started = true};
	struct buf rest = p->unfetched;

	p->unfetched = (struct buf)BUF_INIT;
	p->suspended = false;
	caller_relay_response(c, &req, buf_data(&rest), buf_len(&rest));
	buf_free(&rest);
	if (p->suspended)
		pgw_put_bodyless_message(caller_out(c), 's');
}

static void ext_execute(struct caller *c, struct portal *p, int32_t limit)
{
	struct caller_request *req;

	if (p->suspended) {
		ext_resume(c, p, limit);
		return;
	}
	if (p->executed) {
		ext_error(c, "55000", "portal cannot be run again");
		return;
	}
	req = caller_request_new();
	req->stmt_class = p->prep->stmt_class;
	req->prep = p->prep;
	req->prep->refcount++;
	req->portal = p;
	req->row_limit = limit > 0 ? limit : 0;
	req->row_description_due = c->extended_state->pending_describe == p;
	c->extended_state->pending_describe = NULL;
	p->executed = true;
	caller_start_request(c, req);
}

static bool ext_on_execute(struct caller *c, const struct pgw_msg *m)
{
	struct pgw_reader r;
	const char *name;
	int32_t limit;
	struct portal *p;

	pgw_reader_init(&r, m);
	name = pgw_get_string(&r);
	limit = pgw_get_int32(&r);
	if (r.bad) {
		ext_malformed(c);
		return true;
	}
	if (!ext_answer_pending_describe(c, name))
		return false;
	p = caller_portal_find(c, name);
	if (p)
		ext_execute(c, p, limit);
	else
		ext_error(c, "34000", "portal does not exist");
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
		caller_statement_close(c, name);
	else
		caller_portal_close(c, name);
	pgw_put_bodyless_message(caller_out(c), '3');
}

static void ext_on_sync(struct caller *c)
{
	c->skipping_until_sync = false;
	if (c->txn_state == 'I')
		caller_portals_free(c);
	else if (c->extended_state)
		c->extended_state->pending_describe = NULL;
	caller_send_ready(c);
}

void caller_extended_request_ended(struct caller *c,
				   const struct caller_request *req, bool ok)
{
	if (!ok) {
		c->skipping_until_sync = true;
		return;
	}
	if (req->portal && !req->portal_describe && req->portal->suspended)
		pgw_put_bodyless_message(caller_out(c), 's');
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
		c->in_extended_message = false;
		caller_refuse(c, RES_UNSUPPORTED,
			      "function calls are not supported");
		caller_send_ready(c);
		break;
	default:
		cnt_add(CNT_bad_input, 1);
		caller_fatal(c, RES_BAD_MESSAGE, "unexpected message type");
	}
	return true;
}

bool caller_handle_extended(struct caller *c, const struct pgw_msg *m)
{
	if (c->role != CALLER_CUSTOMER && !c->skipping_until_sync &&
	    m->type != 'S')
		caller_refuse(c, RES_UNSUPPORTED,
			      "the admin database takes simple queries only");
	if (c->skipping_until_sync && m->type != 'S')
		return true;
	if (m->type != 'E' && !c->skipping_until_sync &&
	    !ext_answer_pending_describe(c, NULL))
		return false;
	if (m->type == 'S') {
		ext_on_sync(c);
		return true;
	}
	return ext_dispatch(c, m);
}
