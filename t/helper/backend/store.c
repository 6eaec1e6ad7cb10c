#include "backend.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "log.h"

/*
 * Durable state is kept in two places. The database contains the data, the log,
 * the newest term that the log has reached with its start, and the last applied
 * position, so that one transaction changes them together. The file "state"
 * contains what must survive a rebuild of the database: incarnation, fence,
 * term, role and the address of the primary.
 */

static const char schema[] =
	"CREATE TABLE IF NOT EXISTS marjoramlatch_log("
	" position INTEGER PRIMARY KEY, term INTEGER, sql TEXT);"
	"CREATE TABLE IF NOT EXISTS marjoramlatch_meta("
	" one INTEGER PRIMARY KEY, log_term INTEGER, start INTEGER,"
	" applied INTEGER);"
	"INSERT OR IGNORE INTO marjoramlatch_meta VALUES (1, 0, 0, 0);";

static void fail(const char *what, const char *detail)
{
	log_error("store", "%s failed error=\"%s\"", what, detail);
	exit(1);
}

static void data_path(char *out, size_t len, const char *name)
{
	snprintf(out, len, "%s/%s", be.opt.data, name);
}

static void load_state(void)
{
	struct member *m = &be.m;
	long long inc = 0, fence = 0, term = 0;
	char primary[ADDR_LEN] = "";
	char path[300];
	int role = 0;
	FILE *f;

	data_path(path, sizeof(path), "state");
	f = fopen(path, "r");
	if (f) {
		if (fscanf(f, "%lld %lld %lld %d %47s", &inc, &fence, &term,
			   &role, primary) < 4)
			fail("reading", path);
		fclose(f);
	}
	m->incarnation = inc + 1 > clk_wall() ? inc + 1 : clk_wall();
	m->fence = fence;
	m->term = term;
	m->role = role ? ROLE_PRIMARY : ROLE_REPLICA;
	snprintf(m->primary, sizeof(m->primary), "%s", primary);
}

void store_save_state(void)
{
	const struct member *m = &be.m;
	char path[300];
	char new_path[300];
	FILE *f;

	data_path(path, sizeof(path), "state");
	data_path(new_path, sizeof(new_path), "state.new");
	f = fopen(new_path, "w");
	if (!f)
		fail("opening", new_path);
	fprintf(f, "%lld %lld %lld %d %s\n", (long long)m->incarnation,
		(long long)m->fence, (long long)m->term,
		m->role == ROLE_PRIMARY, m->primary);
	if (fflush(f) || fsync(fileno(f)) || fclose(f) ||
	    rename(new_path, path))
		fail("writing", path);
}

/* SQL function: microseconds of a clock that all processes of a machine share,
 * so that a test can tell which statements ran at the same time. */
static void clock_timestamp(sqlite3_context *ctx, int n, sqlite3_value **args)
{
	(void)n;
	(void)args;
	sqlite3_result_int64(ctx, clk_now_us());
}

/* SQL function: the address of the member that a statement runs on. */
static void server_addr(sqlite3_context *ctx, int n, sqlite3_value **args)
{
	(void)n;
	(void)args;
	sqlite3_result_text(ctx, be.opt.listen, -1, SQLITE_STATIC);
}

sqlite3 *store_handle(void)
{
	char path[300];
	sqlite3 *db;

	data_path(path, sizeof(path), "data.db");
	if (sqlite3_open(path, &db))
		fail("opening", path);
	sqlite3_busy_timeout(db, 2000);
	sqlite3_create_function(db, "clock_timestamp", 0, SQLITE_UTF8, NULL,
				clock_timestamp, NULL, NULL);
	sqlite3_create_function(db, "inet_server_addr", 0, SQLITE_UTF8, NULL,
				server_addr, NULL, NULL);
	if (!store_exec(db, "PRAGMA journal_mode=WAL;"
			    "PRAGMA synchronous=NORMAL"))
		fail("opening", sqlite3_errmsg(db));
	return db;
}

bool store_exec(sqlite3 *db, const char *sql)
{
	if (!sqlite3_exec(db, sql, NULL, NULL, NULL))
		return true;
	log_warn("store", "statement failed error=\"%s\" sql=\"%.200s\"",
		 sqlite3_errmsg(db), sql);
	return false;
}

/* Runs a query and copies the integers of its first row; returns whether there
 * was a row. arg is bound to the parameter, if the query has one. */
static int query_first_row(const char *sql, int64_t arg, int64_t *out, int n)
{
	sqlite3_stmt *st;
	int got = 0;
	int i;

	if (sqlite3_prepare_v2(be.db, sql, -1, &st, NULL))
		fail("preparing", sqlite3_errmsg(be.db));
	if (sqlite3_bind_parameter_count(st))
		sqlite3_bind_int64(st, 1, arg);
	if (sqlite3_step(st) == SQLITE_ROW) {
		for (i = 0; i < n; i++)
			out[i] = sqlite3_column_int64(st, i);
		got = 1;
	}
	sqlite3_finalize(st);
	return got;
}

static void load_log_positions(void)
{
	struct member *m = &be.m;
	int64_t v[3] = {0};

	query_first_row(
		"SELECT log_term, start, applied FROM marjoramlatch_meta", 0, v,
		3);
	m->log_term = v[0];
	m->term_start = v[1];
	m->applied_pos = v[2];
	v[0] = v[1] = 0;
	query_first_row("SELECT position, term FROM marjoramlatch_log"
			" ORDER BY position DESC LIMIT 1",
			0, v, 2);
	m->last_pos = v[0];
	m->last_term = v[1];
}

void store_open(void)
{
	mkdir(be.opt.data, 0700);
	load_state();
	be.db = store_handle();
	if (!store_exec(be.db, schema))
		fail("creating tables", sqlite3_errmsg(be.db));
	load_log_positions();
	if (be.m.role == ROLE_PRIMARY && be.m.fence > be.m.term)
		be.m.role = ROLE_REPLICA;
	if (!store_apply(be.m.last_pos))
		fail("applying", sqlite3_errmsg(be.db));
	store_save_state();
}

void store_close(void)
{
	sqlite3_close(be.db);
	be.db = NULL;
}

void store_wipe(void)
{
	static const char *const names[] = {"data.db", "data.db-wal",
					    "data.db-shm"};
	char path[300];

	store_close();
	for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		data_path(path, sizeof(path), names[i]);
		unlink(path);
	}
	be.db = store_handle();
	if (!store_exec(be.db, schema))
		fail("creating tables", sqlite3_errmsg(be.db));
	be.m.incarnation++;
	load_log_positions();
	store_save_state();
}

void store_error(sqlite3 *db, struct sqlerr *e)
{
	const char *text = sqlite3_errmsg(db);
	int code = sqlite3_extended_errcode(db);
	const char *state = "XX000";

	switch (code & 0xff) {
	case SQLITE_CONSTRAINT:
		state = code == SQLITE_CONSTRAINT_UNIQUE ||
					code == SQLITE_CONSTRAINT_PRIMARYKEY ||
					code == SQLITE_CONSTRAINT_ROWID
				? "23505"
				: "23000";
		break;
	case SQLITE_ERROR:
		state = strstr(text, "no such table")	 ? "42P01"
			: strstr(text, "no such column") ? "42703"
							 : "42601";
		break;
	case SQLITE_BUSY:
		state = "55P03";
		break;
	case SQLITE_MISMATCH:
		state = "22P02";
		break;
	case SQLITE_INTERRUPT:
		state = "57014";
		break;
	}
	sql_fail(e, state, "%s", text);
}

static bool insert_entry(sqlite3 *db, int64_t pos, int64_t term,
			 const char *sql)
{
	sqlite3_stmt *st;
	int rc;

	if (sqlite3_prepare_v2(db,
			       "INSERT INTO marjoramlatch_log VALUES (?, ?, ?)",
			       -1, &st, NULL))
		return false;
	sqlite3_bind_int64(st, 1, pos);
	sqlite3_bind_int64(st, 2, term);
	sqlite3_bind_text(st, 3, sql, -1, SQLITE_STATIC);
	rc = sqlite3_step(st);
	sqlite3_finalize(st);
	return rc == SQLITE_DONE;
}

static bool set_applied(sqlite3 *db, int64_t pos)
{
	char sql[96];

	snprintf(sql, sizeof(sql),
		 "UPDATE marjoramlatch_meta SET applied = %lld",
		 (long long)pos);
	return store_exec(db, sql);
}

bool store_append(sqlite3 *db, int64_t pos, int64_t term, const char *sql)
{
	return insert_entry(db, pos, term, sql) && set_applied(db, pos);
}

bool store_receive(int64_t pos, int64_t term, const char *sql)
{
	if (pos != be.m.last_pos + 1 || !insert_entry(be.db, pos, term, sql))
		return false;
	be.m.last_pos = pos;
	be.m.last_term = term;
	return true;
}

bool store_set_log_term(int64_t term, int64_t start)
{
	char sql[120];

	snprintf(sql, sizeof(sql),
		 "UPDATE marjoramlatch_meta SET log_term = %lld, start = %lld",
		 (long long)term, (long long)start);
	if (!store_exec(be.db, sql))
		return false;
	be.m.log_term = term;
	be.m.term_start = start;
	return true;
}

int64_t store_entry_term(int64_t pos)
{
	int64_t term = -1;

	if (!pos)
		return 0;
	query_first_row("SELECT term FROM marjoramlatch_log WHERE position = ?",
			pos, &term, 1);
	return term;
}

void store_entries(int64_t after, int64_t upto,
		   void (*fn)(void *arg, int64_t pos, int64_t term,
			      const char *sql),
		   void *arg)
{
	sqlite3_stmt *st;

	if (sqlite3_prepare_v2(be.db,
			       "SELECT position, term, sql FROM"
			       " marjoramlatch_log WHERE position > ? AND"
			       " position <= ? ORDER BY position",
			       -1, &st, NULL))
		fail("preparing", sqlite3_errmsg(be.db));
	sqlite3_bind_int64(st, 1, after);
	sqlite3_bind_int64(st, 2, upto);
	while (sqlite3_step(st) == SQLITE_ROW)
		fn(arg, sqlite3_column_int64(st, 0),
		   sqlite3_column_int64(st, 1),
		   (const char *)sqlite3_column_text(st, 2));
	sqlite3_finalize(st);
}

static void append_sql(void *arg, int64_t pos, int64_t term, const char *sql)
{
	(void)pos;
	(void)term;
	buf_addstr(arg, sql);
}

/* The entries are collected first: SQLite refuses to drop a table while a
 * query of the same handle is open. */
bool store_apply(int64_t pos)
{
	struct buf sql = BUF_INIT;
	bool ok;

	if (pos <= be.m.applied_pos)
		return true;
	store_entries(be.m.applied_pos, pos, append_sql, &sql);
	ok = store_exec(be.db, "BEGIN IMMEDIATE") &&
	     store_exec(be.db, buf_str(&sql)) && set_applied(be.db, pos) &&
	     store_exec(be.db, "COMMIT");
	buf_free(&sql);
	if (!ok)
		store_exec(be.db, "ROLLBACK");
	else
		be.m.applied_pos = pos;
	return ok;
}
