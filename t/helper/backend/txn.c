#include "session.h"

#include <string.h>

/*
 * A session opens SQLite's transaction only at its first write. An earlier read
 * in the same transaction would fix a snapshot in SQLite, and the write would
 * fail if another session had committed since. This way the reads before the
 * first write see the newest data and can't make the write fail.
 */

char txn_status(const struct session *s)
{
	if (!s->in_block)
		return 'I';
	return s->failed ? 'E' : 'T';
}

bool txn_check_primary(struct sqlerr *e)
{
	const struct member *m = &be.m;

	if (m->role == ROLE_PRIMARY && m->fence <= m->term)
		return true;
	return sql_fail(e, "25006", "this member is not the primary");
}

bool txn_begin_write(struct session *s, struct sqlerr *e)
{
	if (s->write_txn_open)
		return true;
	if (!txn_check_primary(e))
		return false;
	if (!store_exec(s->db, "BEGIN IMMEDIATE")) {
		store_error(s->db, e);
		return false;
	}
	s->write_txn_open = true;
	return true;
}

static void end_transaction(struct session *s)
{
	s->in_block = false;
	s->failed = false;
	s->primary_replaced = false;
	s->savepoints = false;
	s->write_txn_open = false;
	buf_free(&s->entry_sql);
	lock_release(&s->lock);
}

void txn_rollback(struct session *s)
{
	if (s->write_txn_open && !sqlite3_get_autocommit(s->db))
		store_exec(s->db, "ROLLBACK");
	end_transaction(s);
}

static bool commit_entry(struct session *s, struct sqlerr *e)
{
	struct member *m = &be.m;

	if (!txn_check_primary(e))
		return false;
	if (!store_append(s->db, m->last_pos + 1, m->term,
			  buf_str(&s->entry_sql)) ||
	    !store_exec(s->db, "COMMIT")) {
		store_error(s->db, e);
		return false;
	}
	m->last_pos++;
	m->last_term = m->term;
	m->applied_pos = m->last_pos;
	return true;
}

bool txn_commit(struct session *s, struct sqlerr *e)
{
	bool logged = s->write_txn_open && buf_len(&s->entry_sql);

	if (s->primary_replaced) {
		txn_rollback(s);
		return sql_fail(e, "25006", "the primary was replaced");
	}
	if (logged && !commit_entry(s, e)) {
		txn_rollback(s);
		return false;
	}
	if (s->write_txn_open && !logged)
		store_exec(s->db, "COMMIT");
	end_transaction(s);
	s->commit_pos = be.m.last_pos;
	if (logged)
		repl_committed();
	return true;
}

void txn_failed(struct session *s)
{
	bool in_block = s->in_block;
	bool replaced = s->primary_replaced;

	if (in_block && s->savepoints && !replaced) {
		s->failed = true;
		return;
	}
	txn_rollback(s);
	s->in_block = in_block;
	s->failed = in_block;
	s->primary_replaced = in_block && replaced;
}
