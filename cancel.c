#include "cancel.h"

#include "log.h"
#include "pool.h"
#include "pqwatch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct cancel {
	struct cancel *next;
	struct cancel_list *list;
	struct ev_loop *loop;
	PGconn *pg;
	ev_io io;
	ev_timer timer;
	int pid;
	bool sent;
};

static void cancel_end(struct cancel *c)
{
	struct cancel **p = &c->list->first;

	while (*p != c)
		p = &(*p)->next;
	*p = c->next;
	c->list->n--;
	pqw_watch(c->loop, &c->io, c->pg, 0);
	ev_timer_stop(c->loop, &c->timer);
	PQfinish(c->pg);
	free(c);
}

static void cancel_fail(struct cancel *c, const char *why)
{
	log_warn("cancel", "pid=%d failed: %.*s", c->pid,
		 (int)strcspn(why, "\n"), why);
	cancel_end(c);
}

static void cancel_ask(struct cancel *c)
{
	char sql[64];

	snprintf(sql, sizeof(sql), "SELECT pg_cancel_backend(%d)", c->pid);
	PQsetnonblocking(c->pg, 1);
	c->sent = true;
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
		cancel_ask(c);
		break;
	default:
		cancel_fail(c, PQerrorMessage(c->pg));
	}
}

static void cancel_io(struct ev_loop *loop, ev_io *w, int revents)
{
	struct cancel *c = w->data;

	(void)loop;
	if (!c->sent) {
		cancel_connect(c);
		return;
	}
	if (revents & EV_WRITE && PQflush(c->pg) == 0)
		pqw_watch(c->loop, &c->io, c->pg, EV_READ);
	if (!(revents & EV_READ))
		return;
	if (!PQconsumeInput(c->pg))
		cancel_fail(c, PQerrorMessage(c->pg));
	else if (!PQisBusy(c->pg))
		cancel_end(c);
}

static void cancel_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	(void)loop;
	(void)revents;
	cancel_fail(t->data, "no answer in time");
}

bool cancel_send(struct cancel_list *list, struct ev_loop *loop,
		 const struct settings *set, const char *addr,
		 const char *dbname, int pid)
{
	PGconn *pg;
	struct cancel *c;

	if (list->n >= CANCEL_MAX || !pid)
		return false;
	pg = pool_connect(set, addr, dbname);
	if (!pg || PQstatus(pg) == CONNECTION_BAD) {
		PQfinish(pg);
		return false;
	}
	c = calloc(1, sizeof(*c));
	if (!c)
		abort();
	c->next = list->first;
	c->list = list;
	list->first = c;
	list->n++;
	c->loop = loop;
	c->pg = pg;
	c->pid = pid;
	ev_init(&c->io, cancel_io);
	c->io.data = c;
	ev_timer_init(&c->timer, cancel_timer, CANCEL_MS / 1000.0, 0.);
	c->timer.data = c;
	ev_timer_start(loop, &c->timer);
	pqw_watch(loop, &c->io, pg, EV_WRITE);
	return true;
}

void cancel_stop(struct cancel_list *list)
{
	while (list->first)
		cancel_end(list->first);
}
