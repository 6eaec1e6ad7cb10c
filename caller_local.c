#include "caller_priv.h"

#include <stdio.h>
#include <strings.h>

/* Statements that are answered or refused without a backend. */

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
		r = ses_set(&c->ses, s->name, s->value, e);
		break;
	case CLS_SET_LOCAL:
		if (c->txn == 'I')
			local_warning(c, "25P01",
				      "SET LOCAL can only be used in "
				      "transaction blocks");
		else
			r = ses_set_local(&c->ses, s->name, s->value, e);
		break;
	case CLS_RESET:
		r = ses_reset(&c->ses, s->name, e);
		break;
	case CLS_SHOW:
		break;
	}
	if (r != RES_OK)
		return NULL;
	return s->op == CLS_RESET ? "RESET" : "SET";
}

static void local_columns(struct caller *c, const char *setting)
{
	char name[CLS_NAME_LEN + 16];
	const char *columns[] = {name};

	snprintf(name, sizeof(name), "marjoramlatch.%s", setting);
	pgw_put_text_columns(caller_out(c), columns, 1);
}

static void local_show(struct caller *c, const struct caller_run *run,
		       const struct cls_setting *s)
{
	char text[TOK_TEXT_LEN];
	const char *values[] = {text};
	struct err e = ERR_INIT;

	if (ses_show(&c->ses, s->name, text, &e) != RES_OK) {
		caller_refuse(c, e.code, e.text);
		return;
	}
	if (run->simple || run->describe)
		local_columns(c, s->name);
	pgw_put_text_row(caller_out(c), values, 1);
	pgw_put_complete(caller_out(c), "SHOW");
}

static void local_setting(struct caller *c, const struct caller_run *run)
{
	const char *sql = run->simple ? run->own_sql : run->prep->sql;
	struct cls_setting s;
	struct err e = ERR_INIT;
	const char *tag;

	if (cls_parse_setting(sql, &s, &e) != RES_OK) {
		caller_refuse(c, e.code, e.text);
		return;
	}
	if (s.op == CLS_SHOW) {
		local_show(c, run, &s);
		return;
	}
	tag = local_set(c, &s, &e);
	if (!tag) {
		caller_refuse(c, e.code, e.text);
		return;
	}
	if (run->describe)
		pgw_put_empty(caller_out(c), 'n');
	pgw_put_complete(caller_out(c), tag);
	if (!strcasecmp(s.name, "session"))
		caller_report_session(c);
}

static void local_complete(struct caller *c, const struct caller_run *run,
			   const char *tag)
{
	if (run->describe)
		pgw_put_empty(caller_out(c), 'n');
	pgw_put_complete(caller_out(c), tag);
}

/* COMMIT and ROLLBACK with no transaction at a backend. */
static void local_end(struct caller *c, const struct caller_run *run)
{
	const char *tag = "ROLLBACK";

	if (c->txn == 'I') {
		local_warning(c, "25P01",
			      "there is no transaction in progress");
		if (run->cls.kind == CLS_COMMIT)
			tag = "COMMIT";
	}
	c->txn = 'I';
	c->failed = false;
	ses_end_transaction(&c->ses);
	local_complete(c, run, tag);
}

static void local_unsupported(struct caller *c, const char *text)
{
	caller_refuse(c, RES_UNSUPPORTED, text);
}

/* In a failed transaction only its end may run. */
static bool local_blocked(struct caller *c, const struct caller_run *run)
{
	if (!c->failed)
		return false;
	switch (run->cls.kind) {
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

bool caller_answer_locally(struct caller *c, struct caller_run *run)
{
	if (local_blocked(c, run))
		return true;
	switch (run->cls.kind) {
	case CLS_EMPTY:
		if (run->describe)
			pgw_put_empty(caller_out(c), 'n');
		pgw_put_empty(caller_out(c), 'I');
		return true;
	case CLS_SETTING:
		local_setting(c, run);
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
		if (c->txn != 'I' && c->pin)
			return false;
		local_end(c, run);
		return true;
	case CLS_SAVEPOINT:
		if (c->txn != 'I')
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
		local_columns(c, s.name);
	else
		pgw_put_empty(caller_out(c), 'n');
	return true;
}
