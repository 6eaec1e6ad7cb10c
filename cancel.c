#include "cancel.h"

#include "log.h"
#include "pool.h"
#include "pqwatch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct cancel {
	struct cancel_list *list;
	struct ev_loop *loop;
	PGconn *pg;
	ev_io io;
	ev_timer timer;
	int pids[CANCEL_QUEUE]; /* the first is asked for, the rest wait */
	int n;
	bool connected;
};

static void cancel_end(struct cancel *c)
{
	c->list->open = NULL;
	pqw_watch(c->loop, &c->io, c->pg, 0);
	ev_timer_stop(c->loop, &c->timer);
	PQfinish(c->pg);
	free(c);
}

static void cancel_fail(struct cancel *c, const char *why)
{
	log_warn("cancel", "pids=%d failed: %.*s", c->n,
		 (int)strcspn(why, "\n"), why);
	cancel_end(c);
}

static void cancel_ask(struct cancel *c)
{
	char sql[64];

	snprintf(sql, sizeof(sql), "SELECT pg_cancel_backend(%d)", c->pids[0]);
	ev_timer_again(c->loop, &c->timer);
	if (!PQsendQuery(c->pg, sql))
		cancel_fail(c, PQerrorMessage(c->pg));
	else
		pqw_watch(c->loop, &c->io, c->pg,
			  PQflush(c->pg) ? EV_READ | EV_WRITE : EV_READ);
}

static void cancel_connect(struct cancel *c)
{
	switch (PQconnectPoll(c->pg)) {
	case PGRES_POLLING_READING:
		pqw_watch(c->loop, &c->io, c->pg, EV_READ);
		break;
	case PGRES_POLLING_WRITING:
		pqw_watch(c->loop, &c->io, c->pg, EV_WRITE);
		break;
	case PGRES_POLLING_OK:
		PQsetnonblocking(c->pg, 1);
		c->connected = true;
		cancel_ask(c);
		break;
	default:
		cancel_fail(c, PQerrorMessage(c->pg));
	}
}

/* Takes the results of one request and goes on with the next. */
static void cancel_answered(struct cancel *c)
{
	while (!PQisBusy(c->pg)) {
		PGresult *res = PQgetResult(c->pg);

		PQclear(res);
		if (res)
			continue;
		c->n--;
		memmove(c->pids, c->pids + 1, (size_t)c->n * sizeof(*c->pids));
		if (c->n)
			cancel_ask(c);
		else
			cancel_end(c);
		return;
	}
}

static void cancel_io(struct ev_loop *loop, ev_io *w, int revents)
{
	struct cancel *c = w->data;

	(void)loop;
	if (!c->connected) {
		cancel_connect(c);
		return;
	}
	if (revents & EV_WRITE && PQflush(c->pg) == 0)
		pqw_watch(c->loop, &c->io, c->pg, EV_READ);
	if (!(revents & EV_READ))
		return;
	if (!PQconsumeInput(c->pg))
		cancel_fail(c, PQerrorMessage(c->pg));
	else
		cancel_answered(c);
}

static void cancel_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	(void)loop;
	(void)revents;
	cancel_fail(t->data, "no answer in time");
}

static struct cancel *cancel_open(struct ev_loop *loop,
				  const struct settings *set, const char *addr,
				  const char *dbname)
{
	PGconn *pg = pool_connect(set, addr, dbname);
	struct cancel *c;

	if (!pg || PQstatus(pg) == CONNECTION_BAD) {
		PQfinish(pg);
		return NULL;
	}
	c = calloc(1, sizeof(*c));
	if (!c)
		abort();
	c->loop = loop;
	c->pg = pg;
	ev_init(&c->io, cancel_io);
	c->io.data = c;
	ev_init(&c->timer, cancel_timer);
	c->timer.repeat = CANCEL_MS / 1000.0;
	c->timer.data = c;
	ev_timer_again(loop, &c->timer);
	pqw_watch(loop, &c->io, pg, EV_WRITE);
	return c;
}

bool cancel_send(struct cancel_list *list, struct ev_loop *loop,
		 const struct settings *set, const char *addr,
		 const char *dbname, int pid)
{
	struct cancel *c = list->open;

	if (!c)
		c = cancel_open(loop, set, addr, dbname);
	if (!c || c->n == CANCEL_QUEUE)
		return false;
	c->list = list;
	list->open = c;
	c->pids[c->n++] = pid;
	return true;
}

void cancel_stop(struct cancel_list *list)
{
	if (list->open)
		cancel_end(list->open);
}
