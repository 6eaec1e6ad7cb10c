#include "session.h"

#include <string.h>

/*
 * A session opens SQLite's transaction at its first write, so that the reads
 * before it see the newest data and never make the write fail.
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
	if (s->writing)
		return true;
	if (!txn_check_primary(e))
		return false;
	if (!store_exec(s->db, "BEGIN IMMEDIATE")) {
		store_error(s->db, e);
		return false;
	}
	s->writing = true;
	return true;
}

static void end(struct session *s)
{
	s->in_block = false;
	s->failed = false;
	s->replaced = false;
	s->savepoints = false;
	s->writing = false;
	buf_free(&s->written);
	lock_drop(&s->lock);
}

void txn_rollback(struct session *s)
{
	if (s->writing && !sqlite3_get_autocommit(s->db))
		store_exec(s->db, "ROLLBACK");
	end(s);
}

static bool commit_entry(struct session *s, struct sqlerr *e)
{
	struct member *m = &be.m;

	if (!txn_check_primary(e))
		return false;
	if (!store_append(s->db, m->held + 1, m->term, buf_str(&s->written)) ||
	    !store_exec(s->db, "COMMIT")) {
		store_error(s->db, e);
		return false;
	}
	m->held++;
	m->held_term = m->term;
	m->applied = m->held;
	return true;
}

bool txn_commit(struct session *s, struct sqlerr *e)
{
	bool logged = s->writing && buf_len(&s->written);

	if (s->replaced) {
		txn_rollback(s);
		return sql_fail(e, "25006", "the primary was replaced");
	}
	if (logged && !commit_entry(s, e)) {
		txn_rollback(s);
		return false;
	}
	if (s->writing && !logged)
		store_exec(s->db, "COMMIT");
	end(s);
	s->seen = be.m.held;
	if (logged)
		repl_committed();
	return true;
}

void txn_failed(struct session *s)
{
	bool in_block = s->in_block;
	bool replaced = s->replaced;

	if (in_block && s->savepoints && !replaced) {
		s->failed = true;
		return;
	}
	txn_rollback(s);
	s->in_block = in_block;
	s->failed = in_block;
	s->replaced = in_block && replaced;
}
