#include "session.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

bool sql_fail(struct sqlerr *e, const char *state, const char *fmt, ...)
{
	va_list ap;

	snprintf(e->state, sizeof(e->state), "%s", state);
	va_start(ap, fmt);
	vsnprintf(e->text, sizeof(e->text), fmt, ap);
	va_end(ap);
	return false;
}

void ses_put_error(struct session *s, const struct sqlerr *e)
{
	struct pgw_error pe = {
		.severity = "ERROR",
		.sqlstate = e->state,
		.message = e->text,
	};

	pgw_put_error(s->out, &pe);
}

void ses_simple_end(struct session *s)
{
	free(s->simple_sql);
	s->simple_sql = NULL;
	ps_free(s->simple_stmt);
	s->simple_stmt = NULL;
	pgw_put_ready_for_query(s->out, txn_status(s));
}

void ses_failed(struct session *s, const struct sqlerr *e)
{
	s->state = S_IDLE;
	ev_timer_stop(be.loop, &s->timeout);
	ses_put_error(s, e);
	txn_failed(s);
	if (s->simple_sql)
		ses_simple_end(s);
	else
		s->skip_until_sync = true;
	conn_wake(s->conn);
}

static void statement_done(struct session *s, const char *tag)
{
	s->state = S_IDLE;
	ev_timer_stop(be.loop, &s->timeout);
	pgw_put_command_complete(s->out, tag);
	conn_wake(s->conn);
}

/* ---- settings ---- */

/* Parses "1500", "1500ms" or "2s"; returns seconds. */
static double parse_duration(const char *v)
{
	char *end;
	double n = strtod(v, &end);

	if (!strncmp(end, "ms", 2))
		return n / 1000;
	return *end == 's' ? n : n / 1000;
}

static void run_set(struct session *s)
{
	const char *p = strcasestr(s->cur_stmt->t.sql, "statement_timeout");

	if (p) {
		p += strlen("statement_timeout");
		p += strspn(p, " =\t'");
		if (!strncasecmp(p, "TO ", 3))
			p += 3;
		p += strspn(p, " '");
		s->statement_timeout_s = parse_duration(p);
	}
	statement_done(s, "SET");
}

static void run_show(struct session *s)
{
	char value[32] = "";
	const char *v = value;

	if (strcasestr(s->cur_stmt->t.sql, "statement_timeout"))
		snprintf(value, sizeof(value), "%.0fms",
			 s->statement_timeout_s * 1000);
	else if (strcasestr(s->cur_stmt->t.sql, "transaction_read_only"))
		v = be.m.role == ROLE_PRIMARY ? "off" : "on";
	else if (strcasestr(s->cur_stmt->t.sql, "server_version"))
		v = "15.0";
	if (s->simple_sql)
		ps_put_row_description(s, s->cur_stmt);
	pgw_put_text_data_row(s->out, &v, 1);
	statement_done(s, "SHOW");
}

static void run_reset(struct session *s)
{
	const struct text *t = &s->cur_stmt->t;

	if (strcmp(t->word, "DEALLOCATE"))
		s->statement_timeout_s = 0;
	if (!strcmp(t->word, "DISCARD")) {
		statement_done(s, "DISCARD ALL");
		if (s->simple_sql)
			ps_close_all(s);
		return;
	}
	statement_done(s, t->word);
}

/* ---- transactions ---- */

static void run_begin(struct session *s)
{
	s->in_block = true;
	statement_done(s, strcmp(s->cur_stmt->t.word, "START")
				  ? "BEGIN"
				  : "START TRANSACTION");
}

static void run_commit(struct session *s)
{
	struct sqlerr e = {0};

	if (s->failed && !s->primary_replaced) {
		txn_rollback(s);
		statement_done(s, "ROLLBACK");
	} else if (txn_commit(s, &e)) {
		statement_done(s, "COMMIT");
	} else {
		ses_failed(s, &e);
	}
}

static void run_rollback(struct session *s)
{
	txn_rollback(s);
	statement_done(s, "ROLLBACK");
}

/* ---- statements that SQLite runs ---- */

static void append_to_log_entry(struct session *s, const char *sql)
{
	buf_addstr(&s->entry_sql, sql);
	buf_addstr(&s->entry_sql, ";\n");
}

static void run_savepoint(struct session *s)
{
	const char *word = s->cur_stmt->t.word;
	struct sqlerr e = {0};

	if (!store_exec(s->db, s->cur_stmt->t.sql)) {
		store_error(s->db, &e);
		ses_failed(s, &e);
		return;
	}
	s->savepoints = true;
	if (!strcmp(word, "ROLLBACK"))
		s->failed = false;
	append_to_log_entry(s, s->cur_stmt->t.sql);
	statement_done(s, word);
}

static void bind_values(struct session *s, sqlite3_stmt *st)
{
	const struct portal *p = s->cur_portal;

	for (int i = 1; i <= sqlite3_bind_parameter_count(st); i++) {
		const char *name = sqlite3_bind_parameter_name(st, i);
		int n = name ? atoi(name + 1) : i;

		if (p && n >= 1 && n <= p->n && p->values[n - 1])
			sqlite3_bind_text(st, i, p->values[n - 1], -1,
					  SQLITE_STATIC);
		else
			sqlite3_bind_null(st, i);
	}
}

static void put_row(struct session *s, sqlite3_stmt *st)
{
	int n = sqlite3_column_count(st);
	size_t mark = pgw_begin_data_row(s->out, n);

	for (int i = 0; i < n; i++) {
		const char *v = (const char *)sqlite3_column_text(st, i);

		if (v)
			pgw_put_value(s->out, v, sqlite3_column_bytes(st, i));
		else
			pgw_put_null(s->out);
	}
	pgw_end_data_row(s->out, mark);
}

static bool step_rows(struct session *s, sqlite3_stmt *st, int64_t *rows)
{
	int rc = sqlite3_step(st);

	if (s->simple_sql && (rc == SQLITE_ROW || rc == SQLITE_DONE) &&
	    sqlite3_column_count(st))
		ps_put_row_description(s, s->cur_stmt);
	for (; rc == SQLITE_ROW; rc = sqlite3_step(st)) {
		put_row(s, st);
		(*rows)++;
	}
	return rc == SQLITE_DONE;
}

static void run_sql(struct session *s)
{
	sqlite3_stmt *st = s->cur_stmt->st;
	bool write = !sqlite3_stmt_readonly(st);
	int64_t rows = 0;
	struct sqlerr e = {0};
	char tag[64];

	bind_values(s, st);
	if (!step_rows(s, st, &rows)) {
		store_error(s->db, &e);
		sqlite3_reset(st);
		ses_failed(s, &e);
		return;
	}
	if (write) {
		char *sql = sqlite3_expanded_sql(st);

		append_to_log_entry(s, sql);
		sqlite3_free(sql);
		rows = sqlite3_changes(s->db);
	}
	sqlite3_reset(st);
	sqlite3_clear_bindings(st);
	text_tag(&s->cur_stmt->t, rows, tag, sizeof(tag));
	statement_done(s, tag);
}

void ses_cost_passed(void *arg)
{
	struct session *s = arg;

	if (s->cur_stmt->t.kind == K_SAVEPOINT)
		run_savepoint(s);
	else
		run_sql(s);
}

static bool needs_lock(const struct session *s)
{
	const struct text *t = &s->cur_stmt->t;

	return t->kind == K_SAVEPOINT || t->locks ||
	       !sqlite3_stmt_readonly(s->cur_stmt->st);
}

void ses_start_slot(struct session *s)
{
	int64_t cost = s->cur_stmt->t.cost_us;
	struct sqlerr e = {0};

	if (needs_lock(s) && !txn_begin_write(s, &e)) {
		ses_failed(s, &e);
		return;
	}
	s->state = S_SLOT;
	slot_acquire(&s->slot, cost >= 0 ? cost : be.opt.cost_us);
}

static void start_sql(struct session *s)
{
	bool savepoint = s->cur_stmt->t.kind == K_SAVEPOINT;
	struct sqlerr e = {0};

	if (savepoint && !s->in_block) {
		sql_fail(&e, "25P01", "no transaction in progress");
		ses_failed(s, &e);
		return;
	}
	if (needs_lock(s) && !txn_check_primary(&e)) {
		ses_failed(s, &e);
		return;
	}
	s->state = S_LOCK;
	if (needs_lock(s) && !lock_acquire(&s->lock))
		return;
	ses_start_slot(s);
}

/* ---- marjoramlatch_ functions ---- */

static void on_call_done(void *arg, const struct sqlerr *e)
{
	struct session *s = arg;
	char tag[32];

	if (e) {
		ses_failed(s, e);
		return;
	}
	snprintf(tag, sizeof(tag), "SELECT %lld",
		 (long long)fn_finish(&s->call, s->out));
	statement_done(s, tag);
}

/* Copies the arguments of a call, with parameters replaced by their values. */
static bool substitute_args(struct session *s, struct call *c, struct sqlerr *e)
{
	const struct portal *p = s->cur_portal;

	*c = s->cur_stmt->t.call;
	for (int i = 0; i < c->nargs; i++) {
		int n = c->args[i][0] == '$' ? atoi(c->args[i] + 1) : 0;

		if (!n)
			continue;
		if (!p || n > p->n || !p->values[n - 1])
			return sql_fail(e, "42P02", "no parameter $%d", n);
		snprintf(c->args[i], ARG_LEN, "%s", p->values[n - 1]);
	}
	return true;
}

static void run_call(struct session *s)
{
	struct sqlerr e = {0};
	struct call c;
	int64_t rows = 0;
	char tag[32];

	if (!substitute_args(s, &c, &e)) {
		ses_failed(s, &e);
		return;
	}
	/* Writes that were pipelined before an await are committed first,
	 * because it waits until a majority has stored them. */
	if (c.fn == FN_AWAIT && !s->in_block && !txn_commit(s, &e)) {
		ses_failed(s, &e);
		return;
	}
	if (s->simple_sql)
		ps_put_row_description(s, s->cur_stmt);
	s->state = S_CALL;
	s->call.done = on_call_done;
	s->call.arg = s;
	switch (fn_call(&c, s->commit_pos, s->out, &rows, &s->call, &e)) {
	case FN_WAIT:
		return;
	case FN_FAILED:
		ses_failed(s, &e);
		return;
	case FN_DONE:
		snprintf(tag, sizeof(tag), "SELECT %lld", (long long)rows);
		statement_done(s, tag);
	}
}

/* ---- running ---- */

static bool allowed_in_failed(const struct session *s)
{
	const struct text *t = &s->cur_stmt->t;

	return t->kind == K_COMMIT || t->kind == K_ROLLBACK ||
	       (t->kind == K_SAVEPOINT && !strcmp(t->word, "ROLLBACK"));
}

void ses_run(struct session *s, struct pstmt *ps, struct portal *portal)
{
	struct sqlerr e = {0};

	s->cur_stmt = ps;
	s->cur_portal = portal;
	if (s->statement_timeout_s > 0) {
		ev_timer_set(&s->timeout, s->statement_timeout_s, 0);
		ev_timer_start(be.loop, &s->timeout);
	}
	if (s->failed && !allowed_in_failed(s)) {
		sql_fail(&e, "25P02", "current transaction is aborted");
		ses_failed(s, &e);
		return;
	}
	switch (ps->t.kind) {
	case K_EMPTY:
		ev_timer_stop(be.loop, &s->timeout);
		pgw_put_bodyless_message(s->out, 'I');
		return;
	case K_SQL:
	case K_SAVEPOINT:
		start_sql(s);
		return;
	case K_BEGIN:
		run_begin(s);
		return;
	case K_COMMIT:
		run_commit(s);
		return;
	case K_ROLLBACK:
		run_rollback(s);
		return;
	case K_SET:
		run_set(s);
		return;
	case K_SHOW:
		run_show(s);
		return;
	case K_RESET:
		run_reset(s);
		return;
	case K_CALL:
		run_call(s);
		return;
	case K_UNSUPPORTED:
		sql_fail(&e, "0A000", "%s is not supported", ps->t.word);
		ses_failed(s, &e);
	}
}
