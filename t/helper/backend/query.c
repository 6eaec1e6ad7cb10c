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

static void put_error(struct session *s, const struct sqlerr *e)
{
	struct pgw_error pe = {
		.severity = "ERROR",
		.sqlstate = e->state,
		.message = e->text,
	};

	pgw_put_error(s->out, &pe);
}

static void simple_end(struct session *s)
{
	free(s->simple);
	s->simple = NULL;
	ps_free(s->simple_stmt);
	s->simple_stmt = NULL;
	pgw_put_ready(s->out, txn_status(s));
}

/* The current statement or message has failed. */
static void failed(struct session *s, const struct sqlerr *e)
{
	s->state = S_IDLE;
	ev_timer_stop(be.loop, &s->timeout);
	put_error(s, e);
	txn_failed(s);
	if (s->simple)
		simple_end(s);
	else
		s->skip = true;
	conn_wake(s->owner);
}

static void done(struct session *s, const char *tag)
{
	s->state = S_IDLE;
	ev_timer_stop(be.loop, &s->timeout);
	pgw_put_complete(s->out, tag);
	conn_wake(s->owner);
}

/* ---- settings ---- */

/* "1500", "1500ms" or "2s" */
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
	const char *p = strcasestr(s->cur->t.sql, "statement_timeout");

	if (p) {
		p += strlen("statement_timeout");
		p += strspn(p, " =\t'");
		if (!strncasecmp(p, "TO ", 3))
			p += 3;
		p += strspn(p, " '");
		s->timeout_s = parse_duration(p);
	}
	done(s, "SET");
}

static void run_show(struct session *s)
{
	char value[32] = "";
	const char *v = value;

	if (strcasestr(s->cur->t.sql, "statement_timeout"))
		snprintf(value, sizeof(value), "%.0fms", s->timeout_s * 1000);
	else if (strcasestr(s->cur->t.sql, "transaction_read_only"))
		v = be.m.role == ROLE_PRIMARY ? "off" : "on";
	else if (strcasestr(s->cur->t.sql, "server_version"))
		v = "15.0";
	if (s->simple)
		ps_put_columns(s, s->cur);
	pgw_put_text_row(s->out, &v, 1);
	done(s, "SHOW");
}

static void run_reset(struct session *s)
{
	const struct text *t = &s->cur->t;

	if (strcmp(t->word, "DEALLOCATE"))
		s->timeout_s = 0;
	if (!strcmp(t->word, "DISCARD")) {
		done(s, "DISCARD ALL");
		if (s->simple)
			ps_drop_all(s);
		return;
	}
	done(s, t->word);
}

/* ---- transactions ---- */

static void run_begin(struct session *s)
{
	s->in_block = true;
	done(s,
	     strcmp(s->cur->t.word, "START") ? "BEGIN" : "START TRANSACTION");
}

static void run_commit(struct session *s)
{
	struct sqlerr e;

	if (s->failed && !s->replaced) {
		txn_rollback(s);
		done(s, "ROLLBACK");
	} else if (txn_commit(s, &e)) {
		done(s, "COMMIT");
	} else {
		failed(s, &e);
	}
}

static void run_rollback(struct session *s)
{
	txn_rollback(s);
	done(s, "ROLLBACK");
}

/* ---- statements of SQLite ---- */

static void note_written(struct session *s, const char *sql)
{
	buf_addstr(&s->written, sql);
	buf_addstr(&s->written, ";\n");
}

static void run_savepoint(struct session *s)
{
	const char *word = s->cur->t.word;
	struct sqlerr e;

	if (!store_exec(s->db, s->cur->t.sql)) {
		store_error(s->db, &e);
		failed(s, &e);
		return;
	}
	s->savepoints = true;
	if (!strcmp(word, "ROLLBACK"))
		s->failed = false;
	note_written(s, s->cur->t.sql);
	done(s, word);
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
	size_t mark = pgw_begin_row(s->out, n);

	for (int i = 0; i < n; i++) {
		const char *v = (const char *)sqlite3_column_text(st, i);

		if (v)
			pgw_put_value(s->out, v, sqlite3_column_bytes(st, i));
		else
			pgw_put_null(s->out);
	}
	pgw_end_row(s->out, mark);
}

static bool step_rows(struct session *s, sqlite3_stmt *st, int64_t *rows)
{
	int rc = sqlite3_step(st);

	if (s->simple && (rc == SQLITE_ROW || rc == SQLITE_DONE) &&
	    sqlite3_column_count(st))
		ps_put_columns(s, s->cur);
	for (; rc == SQLITE_ROW; rc = sqlite3_step(st)) {
		put_row(s, st);
		(*rows)++;
	}
	return rc == SQLITE_DONE;
}

static void run_sql(struct session *s)
{
	sqlite3_stmt *st = s->cur->st;
	bool write = !sqlite3_stmt_readonly(st);
	int64_t rows = 0;
	struct sqlerr e;
	char tag[64];

	bind_values(s, st);
	if (!step_rows(s, st, &rows)) {
		store_error(s->db, &e);
		sqlite3_reset(st);
		failed(s, &e);
		return;
	}
	if (write) {
		char *sql = sqlite3_expanded_sql(st);

		note_written(s, sql);
		sqlite3_free(sql);
		rows = sqlite3_changes(s->db);
	}
	sqlite3_reset(st);
	sqlite3_clear_bindings(st);
	text_tag(&s->cur->t, rows, tag, sizeof(tag));
	done(s, tag);
}

/* The statement's cost has passed while it held a slot. */
static void on_cost(void *arg)
{
	struct session *s = arg;

	if (s->cur->t.kind == K_SAVEPOINT)
		run_savepoint(s);
	else
		run_sql(s);
}

static bool needs_lock(const struct session *s)
{
	const struct text *t = &s->cur->t;

	return t->kind == K_SAVEPOINT || t->locks ||
	       !sqlite3_stmt_readonly(s->cur->st);
}

static void start_slot(struct session *s)
{
	int64_t cost = s->cur->t.cost_us;
	struct sqlerr e;

	if (needs_lock(s) && !txn_begin_write(s, &e)) {
		failed(s, &e);
		return;
	}
	s->state = S_SLOT;
	slot_take(&s->slot, cost >= 0 ? cost : be.opt.cost_us);
}

static void start_sql(struct session *s)
{
	bool savepoint = s->cur->t.kind == K_SAVEPOINT;
	struct sqlerr e;

	if (savepoint && !s->in_block) {
		sql_fail(&e, "25P01", "no transaction in progress");
		failed(s, &e);
		return;
	}
	if (needs_lock(s) && !txn_check_primary(&e)) {
		failed(s, &e);
		return;
	}
	s->state = S_LOCK;
	if (needs_lock(s) && !lock_take(&s->lock))
		return;
	start_slot(s);
}

/* ---- marjoramlatch_ functions ---- */

static void on_call_done(void *arg, const struct sqlerr *e)
{
	struct session *s = arg;
	char tag[32];

	if (e) {
		failed(s, e);
		return;
	}
	snprintf(tag, sizeof(tag), "SELECT %lld",
		 (long long)fn_finish(&s->call, s->out));
	done(s, tag);
}

/* Arguments with the values of parameters in place. */
static bool fill_args(struct session *s, struct call *c, struct sqlerr *e)
{
	const struct portal *p = s->cur_portal;

	*c = s->cur->t.call;
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
	struct sqlerr e;
	struct call c;
	int64_t rows = 0;
	char tag[32];

	if (!fill_args(s, &c, &e)) {
		failed(s, &e);
		return;
	}
	/* The writes pipelined in front of an await are what it waits for. */
	if (c.fn == FN_AWAIT && !s->in_block && !txn_commit(s, &e)) {
		failed(s, &e);
		return;
	}
	if (s->simple)
		ps_put_columns(s, s->cur);
	s->state = S_CALL;
	s->call.done = on_call_done;
	s->call.arg = s;
	switch (fn_call(&c, s->seen, s->out, &rows, &s->call, &e)) {
	case FN_WAIT:
		return;
	case FN_FAILED:
		failed(s, &e);
		return;
	case FN_DONE:
		snprintf(tag, sizeof(tag), "SELECT %lld", (long long)rows);
		done(s, tag);
	}
}

/* ---- running ---- */

static void on_timeout(struct ev_loop *loop, ev_timer *t, int events)
{
	(void)loop;
	(void)events;
	ses_cancel(t->data);
}

static bool allowed_in_failed(const struct session *s)
{
	const struct text *t = &s->cur->t;

	return t->kind == K_COMMIT || t->kind == K_ROLLBACK ||
	       (t->kind == K_SAVEPOINT && !strcmp(t->word, "ROLLBACK"));
}

static void run(struct session *s, struct pstmt *ps, struct portal *portal)
{
	struct sqlerr e;

	s->cur = ps;
	s->cur_portal = portal;
	if (s->timeout_s > 0) {
		ev_timer_set(&s->timeout, s->timeout_s, 0);
		ev_timer_start(be.loop, &s->timeout);
	}
	if (s->failed && !allowed_in_failed(s)) {
		sql_fail(&e, "25P02", "current transaction is aborted");
		failed(s, &e);
		return;
	}
	switch (ps->t.kind) {
	case K_EMPTY:
		ev_timer_stop(be.loop, &s->timeout);
		pgw_put_empty(s->out, 'I');
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
	case K_REFUSED:
		sql_fail(&e, "0A000", "%s is not supported", ps->t.word);
		failed(s, &e);
	}
}

/* Commits what was done outside a transaction block. */
static bool finish_implicit(struct session *s)
{
	struct sqlerr e;

	if (s->in_block || txn_commit(s, &e))
		return true;
	put_error(s, &e);
	return false;
}

static void simple_next(struct session *s)
{
	const char *p = s->simple + s->simple_off;
	size_t len = text_split(p);
	struct sqlerr e;

	ps_free(s->simple_stmt);
	s->simple_stmt = NULL;
	s->simple_off += len;
	if (!len) {
		if (!s->simple_any)
			pgw_put_empty(s->out, 'I');
		finish_implicit(s);
		simple_end(s);
		return;
	}
	s->simple_stmt = ps_new(s, "", p, len, &e);
	if (!s->simple_stmt) {
		failed(s, &e);
		return;
	}
	if (s->simple_stmt->t.kind == K_EMPTY)
		return;
	s->simple_any = true;
	run(s, s->simple_stmt, NULL);
}

void ses_step(struct session *s)
{
	if (s->state == S_LOCK && s->lock.held)
		start_slot(s);
	while (s->simple && s->state == S_IDLE)
		simple_next(s);
}

void ses_simple(struct session *s, const char *sql)
{
	s->simple = strdup(sql);
	s->simple_off = 0;
	s->simple_any = false;
	ses_step(s);
}

/* ---- extended query ---- */

static bool do_parse(struct session *s, struct pgw_reader *r, struct sqlerr *e)
{
	const char *name = pgw_get_string(r);
	const char *sql = pgw_get_string(r);
	size_t len = text_split(sql);
	struct pstmt *ps;

	if (sql[len] && sql[len + strspn(sql + len, " \t\r\n;")])
		return sql_fail(e, "42601", "more than one statement");
	if (*name && ps_find(s, name))
		return sql_fail(e, "42P05", "prepared statement exists");
	ps_drop(s, name);
	ps = ps_new(s, name, sql, len, e);
	if (!ps)
		return false;
	ps->next = s->stmts;
	s->stmts = ps;
	pgw_put_empty(s->out, '1');
	return true;
}

static bool do_describe(struct session *s, struct pgw_reader *r,
			struct sqlerr *e)
{
	char what = pgw_get_byte(r);
	const char *name = pgw_get_string(r);
	struct pstmt *ps = what == 'S' ? ps_find(s, name) : NULL;
	struct portal *p = what == 'P' ? portal_find(s, name) : NULL;

	if (!ps && !p)
		return sql_fail(e, "26000", "nothing to describe");
	if (ps)
		ps_describe(s, ps);
	else
		ps_put_columns(s, p->ps);
	return true;
}

static bool do_execute(struct session *s, struct pgw_reader *r,
		       struct sqlerr *e)
{
	struct portal *p = portal_find(s, pgw_get_string(r));

	if (!p)
		return sql_fail(e, "34000", "no such portal");
	run(s, p->ps, p);
	return true;
}

static void do_close(struct session *s, struct pgw_reader *r)
{
	char what = pgw_get_byte(r);
	const char *name = pgw_get_string(r);

	if (what == 'S')
		ps_drop(s, name);
	else
		portal_drop(s, name);
	pgw_put_empty(s->out, '3');
}

static void do_sync(struct session *s)
{
	/* After an error everything outside a block is rolled back already. */
	if (!s->skip)
		finish_implicit(s);
	s->skip = false;
	pgw_put_ready(s->out, txn_status(s));
}

void ses_message(struct session *s, const struct pgw_msg *m)
{
	struct pgw_reader r;
	struct sqlerr e;
	bool ok = true;

	if (m->type == 'S') {
		do_sync(s);
		return;
	}
	if (s->skip)
		return;
	pgw_read(&r, m);
	switch (m->type) {
	case 'P':
		ok = do_parse(s, &r, &e);
		break;
	case 'B':
		ok = portal_bind(s, &r, &e);
		if (ok)
			pgw_put_empty(s->out, '2');
		break;
	case 'D':
		ok = do_describe(s, &r, &e);
		break;
	case 'E':
		ok = do_execute(s, &r, &e);
		break;
	case 'C':
		do_close(s, &r);
		break;
	case 'H':
		break;
	default:
		ok = sql_fail(&e, "0A000", "message '%c'", m->type);
	}
	if (!ok)
		failed(s, &e);
}

/* ---- life ---- */

static void drop_waits(struct session *s)
{
	switch (s->state) {
	case S_IDLE:
		break;
	case S_LOCK:
		lock_drop(&s->lock);
		break;
	case S_SLOT:
		slot_drop(&s->slot);
		break;
	case S_CALL:
		fn_cancel(&s->call);
		break;
	}
}

void ses_cancel(struct session *s)
{
	struct sqlerr e;

	if (s->state == S_IDLE)
		return;
	drop_waits(s);
	sql_fail(&e, "57014", "canceling statement");
	failed(s, &e);
}

void ses_abort_writer(struct session *s)
{
	bool in_block = s->in_block;
	struct sqlerr e;

	if (!s->writing && !s->lock.held && !s->lock.queued)
		return;
	if (s->state != S_IDLE) {
		s->replaced = in_block;
		drop_waits(s);
		sql_fail(&e, "25006", "the primary was replaced");
		failed(s, &e);
		return;
	}
	txn_rollback(s);
	s->in_block = in_block;
	s->failed = in_block;
	s->replaced = true;
}

static void on_lock(void *arg)
{
	struct session *s = arg;

	conn_wake(s->owner);
}

struct session *ses_new(struct conn *owner, struct buf *out)
{
	struct session *s = calloc(1, sizeof(*s));

	s->owner = owner;
	s->out = out;
	s->db = store_handle();
	s->lock.fn = on_lock;
	s->lock.arg = s;
	s->slot.fn = on_cost;
	s->slot.arg = s;
	ev_init(&s->timeout, on_timeout);
	s->timeout.data = s;
	return s;
}

void ses_redirect(struct session *s, struct buf *out)
{
	s->out = out;
}

void ses_free(struct session *s)
{
	if (!s)
		return;
	drop_waits(s);
	ev_timer_stop(be.loop, &s->timeout);
	txn_rollback(s);
	ps_drop_all(s);
	ps_free(s->simple_stmt);
	free(s->simple);
	sqlite3_close(s->db);
	free(s);
}

bool ses_busy(const struct session *s)
{
	return s->state != S_IDLE || s->simple;
}

bool ses_in_transaction(const struct session *s)
{
	return s->in_block || s->writing;
}
