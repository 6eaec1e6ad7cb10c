#include "load.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
	VERIFY_TIMEOUT_MS = 30000,
	VERIFY_BATCH_ORDERS = 4000, /* looked up in one query */
	VERIFY_SQL_LEN = 512,
	VERIFY_RETRY_MS = 200
};

/*
 * Runs a statement that may safely run more than once, at one proxy after the
 * other until it succeeds. Returns NULL with e set after VERIFY_TIMEOUT_MS.
 */
static PGresult *load_exec_until_success(const struct load *l, const char *sql,
					 struct err *e)
{
	clk_ms deadline = clk_now() + VERIFY_TIMEOUT_MS;
	struct timespec pause = {.tv_nsec = VERIFY_RETRY_MS * 1000000L};

	err_set(e, RES_UNREACHABLE, "no proxy can be reached");
	for (int to = 0; clk_now() < deadline; to++) {
		PGconn *c = load_connect(&l->opt, to);
		PGresult *r = c ? PQexec(c, sql) : NULL;
		ExecStatusType status = PQresultStatus(r);

		if (status == PGRES_TUPLES_OK || status == PGRES_COMMAND_OK) {
			PQfinish(c);
			return r;
		}
		if (c)
			err_set(e, RES_SQL_ERROR, "%.*s",
				(int)strcspn(PQerrorMessage(c), "\n"),
				PQerrorMessage(c));
		PQclear(r);
		PQfinish(c);
		nanosleep(&pause, NULL);
	}
	return NULL;
}

/*
 * Creates the table of orders. The index on (run, caller, n) isn't unique, so
 * that an order that was applied twice shows as two rows.
 */
enum res load_setup(struct load *l, struct err *e)
{
	char sql[VERIFY_SQL_LEN];
	PGresult *r;

	snprintf(sql, sizeof(sql),
		 "CREATE TABLE IF NOT EXISTS %s (run text, caller integer, "
		 "n integer)",
		 l->opt.table);
	r = load_exec_until_success(l, sql, e);
	PQclear(r);
	if (!r)
		return e->code;
	snprintf(sql, sizeof(sql),
		 "CREATE INDEX IF NOT EXISTS %s_key ON %s (run, caller, n)",
		 l->opt.table, l->opt.table);
	r = load_exec_until_success(l, sql, e);
	PQclear(r);
	return r ? RES_OK : e->code;
}

/* Adds an order that was found in rows rows to the verdict. */
static void verify_count_order(struct load_verdict *v,
			       enum load_order_state state, int rows)
{
	v->acked += state == ORDER_ACKED;
	v->lost += state == ORDER_ACKED && rows == 0;
	v->doubled += rows > 1;
	v->not_run_but_present += state == ORDER_NOT_RUN && rows > 0;
	v->unresolved += state == ORDER_PENDING;
}

/*
 * Verifies the orders of one caller. *row is the first row of the caller in r
 * and is moved to that of the next caller.
 */
static void verify_caller(struct load *l, const struct load_caller *c,
			  const PGresult *r, int *row)
{
	int *rows = calloc((size_t)c->norders + 1, sizeof(*rows));

	if (!rows)
		abort();
	while (*row < PQntuples(r) && atoi(PQgetvalue(r, *row, 0)) == c->id) {
		int n = atoi(PQgetvalue(r, *row, 1));

		if (n >= 0 && n < c->norders)
			rows[n]++;
		(*row)++;
	}
	for (int n = 0; n < c->norders; n++) {
		verify_count_order(&l->verdict,
				   (enum load_order_state)c->orders[n],
				   rows[n]);
		if ((c->orders[n] == ORDER_ACKED && rows[n] != 1) ||
		    rows[n] > 1 || (c->orders[n] == ORDER_NOT_RUN && rows[n]))
			fprintf(stderr,
				"marjoramlatch: order %s-%d-%d: %s, found %d "
				"times\n",
				l->run_id, c->id, n,
				c->orders[n] == ORDER_ACKED ? "acknowledged"
				: c->orders[n] == ORDER_NOT_RUN
					? "reported as not run"
					: "outcome unknown",
				rows[n]);
	}
	free(rows);
}

/*
 * Verifies the orders of callers from to to - 1 with one query. A maximum age
 * of 0 makes the result current. Returns false if the query failed.
 */
static bool verify_callers(struct load *l, int from, int to)
{
	char sql[VERIFY_SQL_LEN];
	struct err e = ERR_INIT;
	PGresult *r;
	int row = 0;

	snprintf(sql, sizeof(sql),
		 "/* marjoramlatch.max_age_ms=0 */ SELECT caller, n FROM %s "
		 "WHERE run = '%s' AND caller >= %d AND caller < %d "
		 "ORDER BY caller, n",
		 l->opt.table, l->run_id, from, to);
	r = load_exec_until_success(l, sql, &e);
	if (!r) {
		fprintf(stderr, "marjoramlatch: can't verify orders: %s\n",
			e.text);
		return false;
	}
	for (int i = from; i < to; i++)
		verify_caller(l, &l->callers[i], r, &row);
	PQclear(r);
	return true;
}

void load_verify(struct load *l)
{
	int from = 0;
	int orders = 0;

	l->verdict.complete = true;
	for (int i = 0; i < l->opt.ncallers; i++) {
		orders += l->callers[i].norders;
		if (orders < VERIFY_BATCH_ORDERS && i + 1 < l->opt.ncallers)
			continue;
		if (orders && !verify_callers(l, from, i + 1)) {
			l->verdict.complete = false;
			return;
		}
		from = i + 1;
		orders = 0;
	}
}
