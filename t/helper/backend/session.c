#include "session.h"

#include <stdlib.h>
#include <string.h>

/* Commits the implicit transaction of statements outside a block. */
static bool commit_implicit(struct session *s)
{
	struct sqlerr e = {0};

	if (s->in_block || txn_commit(s, &e))
		return true;
	ses_put_error(s, &e);
	return false;
}

static void run_next_simple(struct session *s)
{
	const char *p = s->simple_sql + s->simple_offset;
	size_t len = text_split(p);
	struct sqlerr e = {0};

	ps_free(s->simple_stmt);
	s->simple_stmt = NULL;
	s->simple_offset += len;
	if (!len) {
		if (!s->simple_has_statement)
			pgw_put_bodyless_message(s->out, 'I');
		commit_implicit(s);
		ses_simple_end(s);
		return;
	}
	s->simple_stmt = ps_new(s, "", p, len, &e);
	if (!s->simple_stmt) {
		ses_failed(s, &e);
		return;
	}
	if (s->simple_stmt->t.kind == K_EMPTY)
		return;
	s->simple_has_statement = true;
	ses_run(s, s->simple_stmt, NULL);
}

void ses_step(struct session *s)
{
	if (s->state == S_LOCK && s->lock.held)
		ses_start_slot(s);
	while (s->simple_sql && s->state == S_IDLE)
		run_next_simple(s);
}

void ses_simple(struct session *s, const char *sql)
{
	s->simple_sql = strdup(sql);
	s->simple_offset = 0;
	s->simple_has_statement = false;
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
	ps_close(s, name);
	ps = ps_new(s, name, sql, len, e);
	if (!ps)
		return false;
	ps->next = s->stmts;
	s->stmts = ps;
	pgw_put_bodyless_message(s->out, '1');
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
		ps_put_row_description(s, p->ps);
	return true;
}

static bool do_execute(struct session *s, struct pgw_reader *r,
		       struct sqlerr *e)
{
	struct portal *p = portal_find(s, pgw_get_string(r));

	if (!p)
		return sql_fail(e, "34000", "no such portal");
	ses_run(s, p->ps, p);
	return true;
}

static void do_close(struct session *s, struct pgw_reader *r)
{
	char what = pgw_get_byte(r);
	const char *name = pgw_get_string(r);

	if (what == 'S')
		ps_close(s, name);
	else
		portal_close(s, name);
	pgw_put_bodyless_message(s->out, '3');
}

static void do_sync(struct session *s)
{
	/* After an error the implicit transaction is rolled back already. */
	if (!s->skip_until_sync)
		commit_implicit(s);
	s->skip_until_sync = false;
	pgw_put_ready_for_query(s->out, txn_status(s));
}

void ses_message(struct session *s, const struct pgw_msg *m)
{
	struct pgw_reader r;
	struct sqlerr e = {0};
	bool ok = true;

	if (m->type == 'S') {
		do_sync(s);
		return;
	}
	if (s->skip_until_sync)
		return;
	pgw_reader_init(&r, m);
	switch (m->type) {
	case 'P':
		ok = do_parse(s, &r, &e);
		break;
	case 'B':
		ok = portal_bind(s, &r, &e);
		if (ok)
			pgw_put_bodyless_message(s->out, '2');
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
		ses_failed(s, &e);
}

/* ---- creation, cancellation and end ---- */

static void cancel_waits(struct session *s)
{
	switch (s->state) {
	case S_IDLE:
		break;
	case S_LOCK:
		lock_release(&s->lock);
		break;
	case S_SLOT:
		slot_release(&s->slot);
		break;
	case S_CALL:
		fn_cancel(&s->call);
		break;
	}
}

void ses_cancel(struct session *s)
{
	struct sqlerr e = {0};

	if (s->state == S_IDLE)
		return;
	cancel_waits(s);
	sql_fail(&e, "57014", "canceling statement");
	ses_failed(s, &e);
}

void ses_abort_writer(struct session *s)
{
	bool in_block = s->in_block;
	struct sqlerr e = {0};

	if (!s->write_txn_open && !s->lock.held && !s->lock.queued)
		return;
	if (s->state != S_IDLE) {
		s->primary_replaced = in_block;
		cancel_waits(s);
		sql_fail(&e, "25006", "the primary was replaced");
		ses_failed(s, &e);
		return;
	}
	txn_rollback(s);
	s->in_block = in_block;
	s->failed = in_block;
	s->primary_replaced = true;
}

static void on_timeout(struct ev_loop *loop, ev_timer *t, int events)
{
	(void)loop;
	(void)events;
	ses_cancel(t->data);
}

static void on_lock(void *arg)
{
	struct session *s = arg;

	conn_wake(s->conn);
}

struct session *ses_new(struct conn *conn, struct buf *out)
{
	struct session *s = calloc(1, sizeof(*s));

	s->conn = conn;
	s->out = out;
	s->db = store_handle();
	s->lock.fn = on_lock;
	s->lock.arg = s;
	s->slot.fn = ses_cost_passed;
	s->slot.arg = s;
	ev_init(&s->timeout, on_timeout);
	s->timeout.data = s;
	return s;
}

void ses_set_output(struct session *s, struct buf *out)
{
	s->out = out;
}

void ses_free(struct session *s)
{
	if (!s)
		return;
	cancel_waits(s);
	ev_timer_stop(be.loop, &s->timeout);
	txn_rollback(s);
	ps_close_all(s);
	ps_free(s->simple_stmt);
	free(s->simple_sql);
	sqlite3_close(s->db);
	free(s);
}

bool ses_busy(const struct session *s)
{
	return s->state != S_IDLE || s->simple_sql;
}

bool ses_in_transaction(const struct session *s)
{
	return s->in_block || s->write_txn_open;
}
