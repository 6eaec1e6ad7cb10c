#include "caller_priv.h"

#include <stdio.h>
#include <strings.h>

/* Statements that the proxy answers or refuses without a backend. */

static void local_warning(struct caller *c, const char *state, const char *text)
{
	struct pgw_error notice = {
		.severity = "WARNING", .sqlstate = state, .message = text};

	pgw_put_notice(caller_out(c), &notice);
}

static const char *local_set(struct caller *c, const struct cls_setting *s,
			     struct err *e)
{
	enum res r = RES_OK;

	switch (s->op) {
	case CLS_SET:
		r = ses_set(&c->session, s->name, s->value, e);
		break;
	case CLS_SET_LOCAL:
		if (c->txn_state == 'I')
			local_warning(c, "25P01",
				      "SET LOCAL can only be used in "
				      "transaction blocks");
		else
			r = ses_set_local(&c->session, s->name, s->value, e);
		break;
	case CLS_RESET:
		r = ses_reset(&c->session, s->name, e);
		break;
	case CLS_SHOW:
		break;
	}
	if (r != RES_OK)
		return NULL;
	return s->op == CLS_RESET ? "RESET" : "SET";
}

static void local_put_column(struct caller *c, const char *setting)
{
	char name[CLS_NAME_LEN + 16];
	const char *columns[] = {name};

	snprintf(name, sizeof(name), "marjoramlatch.%s", setting);
	pgw_put_text_row_description(caller_out(c), columns, 1);
}

static void local_show(struct caller *c, const struct caller_request *req,
		       const struct cls_setting *s)
{
	char text[TOK_TEXT_LEN];
	const char *values[] = {text};
	struct err e = ERR_INIT;

	if (ses_show(&c->session, s->name, text, &e) != RES_OK) {
		caller_refuse(c, e.code, e.text);
		return;
	}
	if (req->is_simple_query || req->row_description_due)
		local_put_column(c, s->name);
	pgw_put_text_data_row(caller_out(c), values, 1);
	pgw_put_command_complete(caller_out(c), "SHOW");
}

static void local_run_setting(struct caller *c,
			      const struct caller_request *req)
{
	const char *sql =
		req->is_simple_query ? req->simple_sql : req->prep->sql;
	struct cls_setting s;
	struct err e = ERR_INIT;
	const char *tag;

	if (cls_parse_setting(sql, &s, &e) != RES_OK) {
		caller_refuse(c, e.code, e.text);
		return;
	}
	if (s.op == CLS_SHOW) {
		local_show(c, req, &s);
		return;
	}
	tag = local_set(c, &s, &e);
	if (!tag) {
		caller_refuse(c, e.code, e.text);
		return;
	}
	if (req->row_description_due)
		pgw_put_bodyless_message(caller_out(c), 'n');
	pgw_put_command_complete(caller_out(c), tag);
	if (!strcasecmp(s.name, "session"))
		caller_report_session(c);
}

static void local_complete(struct caller *c, const struct caller_request *req,
			   const char *tag)
{
	if (req->row_description_due)
		pgw_put_bodyless_message(caller_out(c), 'n');
	pgw_put_command_complete(caller_out(c), tag);
}

/* COMMIT or ROLLBACK while no transaction is open on a backend. */
static void local_end_transaction(struct caller *c,
				  const struct caller_request *req)
{
	const char *tag = "ROLLBACK";

	if (c->txn_state == 'I') {
		local_warning(c, "25P01",
			      "there is no transaction in progress");
		if (req->stmt_class.kind == CLS_COMMIT)
			tag = "COMMIT";
	}
	c->txn_state = 'I';
	c->txn_failed = false;
	ses_end_transaction(&c->session);
	local_complete(c, req, tag);
}

static void local_unsupported(struct caller *c, const char *text)
{
	caller_refuse(c, RES_UNSUPPORTED, text);
}

/* Refuses a statement in a failed transaction, which accepts only COMMIT and
 * ROLLBACK, and savepoint commands while it has a backend connection. Returns
 * true if the statement was refused. */
static bool local_refuse_if_failed(struct caller *c,
				   const struct caller_request *req)
{
	if (!c->txn_failed)
		return false;
	switch (req->stmt_class.kind) {
	case CLS_COMMIT:
	case CLS_ROLLBACK:
		return false;
	case CLS_SAVEPOINT:
		if (c->pin)
			return false;
		break;
	default:
		break;
	}
	caller_error(c, RES_UNSUPPORTED, "25P02",
		     "current transaction is aborted, commands ignored until "
		     "end of transaction block");
	return true;
}

bool caller_answer_locally(struct caller *c, struct caller_request *req)
{
	if (local_refuse_if_failed(c, req))
		return true;
	switch (req->stmt_class.kind) {
	case CLS_EMPTY:
		if (req->row_description_due)
			pgw_put_bodyless_message(caller_out(c), 'n');
		pgw_put_bodyless_message(caller_out(c), 'I');
		return true;
	case CLS_SETTING:
		local_run_setting(c, req);
		return true;
	case CLS_COPY:
		local_unsupported(c, "COPY is not supported");
		return true;
	case CLS_REPLICATION:
		local_unsupported(c, "replication commands are not supported");
		return true;
	case CLS_TWO_PHASE:
		local_unsupported(c, "two-phase commit is not supported");
		return true;
	case CLS_MIXED:
		local_unsupported(c,
				  "transaction control and marjoramlatch "
				  "settings can't be combined with other "
				  "statements in one query; send them one by "
				  "one");
		return true;
	case CLS_COMMIT:
	case CLS_ROLLBACK:
		if (c->txn_state != 'I' && c->pin)
			return false;
		local_end_transaction(c, req);
		return true;
	case CLS_SAVEPOINT:
		if (c->txn_state != 'I')
			return false;
		caller_error(c, RES_UNSUPPORTED, "25P01",
			     "savepoints can only be used in transaction "
			     "blocks");
		return true;
	case CLS_READ:
	case CLS_WRITE:
	case CLS_BEGIN:
	case CLS_SESSION:
		break;
	}
	return false;
}

bool caller_describe_locally(struct caller *c, const struct cls *cls,
			     const char *sql, bool parameters)
{
	struct cls_setting s;

	switch (cls->kind) {
	case CLS_READ:
	case CLS_WRITE:
	case CLS_SESSION:
		return false;
	default:
		break;
	}
	if (parameters)
		pgw_put_parameter_description(caller_out(c), NULL, 0);
	if (cls->kind == CLS_SETTING &&
	    cls_parse_setting(sql, &s, NULL) == RES_OK && s.op == CLS_SHOW)
		local_put_column(c, s.name);
	else
		pgw_put_bodyless_message(caller_out(c), 'n');
	return true;
}
