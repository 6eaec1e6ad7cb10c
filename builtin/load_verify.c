#include "load.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
	VERIFY_GIVE_UP_MS = 30000,
	VERIFY_BATCH = 4000, /* orders of one query */
	VERIFY_SQL_LEN = 512,
	RETRY_MS = 200
};

/* Runs a repeatable statement at any proxy until it succeeds. */
static PGresult *load_insist(const struct load *l, const char *sql,
			     struct err *e)
{
	clk_ms deadline = clk_now() + VERIFY_GIVE_UP_MS;
	struct timespec pause = {.tv_nsec = RETRY_MS * 1000000L};

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
 * The key (run, caller, n) is not declared unique, so that an order that was
 * applied twice shows as two rows.
 */
enum res load_setup(struct load *l, struct err *e)
{
	char sql[VERIFY_SQL_LEN];
	PGresult *r;

	snprintf(sql, sizeof(sql),
		 "CREATE TABLE IF NOT EXISTS %s (run text, caller integer, "
		 "n integer)",
		 l->opt.table);
	r = load_insist(l, sql, e);
	PQclear(r);
	if (!r)
		return e->code;
	snprintf(sql, sizeof(sql),
		 "CREATE INDEX IF NOT EXISTS %s_key ON %s (run, caller, n)",
		 l->opt.table, l->opt.table);
	r = load_insist(l, sql, e);
	PQclear(r);
	return r ? RES_OK : e->code;
}

static void verify_order(struct load_verdict *v, enum load_order_state state,
			 int rows)
{
	v->acked += state == ORDER_ACKED;
	v->lost += state == ORDER_ACKED && rows == 0;
	v->doubled += rows > 1;
	v->ghosts += state == ORDER_NOT_RUN && rows > 0;
	v->unresolved += state == ORDER_PENDING;
}

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
		verify_order(&l->verdict, (enum load_order_state)c->orders[n],
			     rows[n]);
		if ((c->orders[n] == ORDER_ACKED && rows[n] != 1) ||
		    rows[n] > 1 || (c->orders[n] == ORDER_NOT_RUN && rows[n]))
			fprintf(stderr,
				"marjoramlatch: order %s-%d-%d: %s, found %d "
				"times\n",
				l->run, c->id, n,
				c->orders[n] == ORDER_ACKED ? "acknowledged"
				: c->orders[n] == ORDER_NOT_RUN
					? "reported as not run"
					: "outcome unknown",
				rows[n]);
	}
	free(rows);
}

/* Callers [from, to) in one query, which must be current. */
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
		 l->opt.table, l->run, from, to);
	r = load_insist(l, sql, &e);
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
	for (int i = 0; i < l->opt.callers; i++) {
		orders += l->callers[i].norders;
		if (orders < VERIFY_BATCH && i + 1 < l->opt.callers)
			continue;
		if (orders && !verify_callers(l, from, i + 1)) {
			l->verdict.complete = false;
			return;
		}
		from = i + 1;
		orders = 0;
	}
}
