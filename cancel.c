#include "cancel.h"

#include "log.h"
#include "pool.h"
#include "pqwatch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct cancel_conn {
	struct cancel_sender *sender;
	struct ev_loop *loop;
	PGconn *pg;
	ev_io io;
	ev_timer timer;
	/* Server processes to cancel; the first request was sent. */
	int pids[CANCEL_QUEUE_MAX];
	int npids;
	bool connected;
};

static void cancel_close(struct cancel_conn *c)
{
	c->sender->conn = NULL;
	pqw_watch(c->loop, &c->io, c->pg, 0);
	ev_timer_stop(c->loop, &c->timer);
	PQfinish(c->pg);
	free(c);
}

static void cancel_fail(struct cancel_conn *c, const char *why)
{
	log_warn("cancel", "pids=%d failed: %.*s", c->npids,
		 (int)strcspn(why, "\n"), why);
	cancel_close(c);
}

static void cancel_send_next(struct cancel_conn *c)
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

static void cancel_connect_step(struct cancel_conn *c)
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
		cancel_send_next(c);
		break;
	default:
		cancel_fail(c, PQerrorMessage(c->pg));
	}
}

/* Reads the results of the current request, then sends the next one. */
static void cancel_read_result(struct cancel_conn *c)
{
	while (!PQisBusy(c->pg)) {
		PGresult *res = PQgetResult(c->pg);

		PQclear(res);
		if (res)
			continue;
		c->npids--;
		memmove(c->pids, c->pids + 1,
			(size_t)c->npids * sizeof(*c->pids));
		if (c->npids)
			cancel_send_next(c);
		else
			cancel_close(c);
		return;
	}
}

static void cancel_io(struct ev_loop *loop, ev_io *w, int revents)
{
	struct cancel_conn *c = w->data;

	(void)loop;
	if (!c->connected) {
		cancel_connect_step(c);
		return;
	}
	if (revents & EV_WRITE && PQflush(c->pg) == 0)
		pqw_watch(c->loop, &c->io, c->pg, EV_READ);
	if (!(revents & EV_READ))
		return;
	if (!PQconsumeInput(c->pg))
		cancel_fail(c, PQerrorMessage(c->pg));
	else
		cancel_read_result(c);
}

static void cancel_timed_out(struct ev_loop *loop, ev_timer *t, int revents)
{
	(void)loop;
	(void)revents;
	cancel_fail(t->data, "no answer in time");
}

static struct cancel_conn *cancel_open(struct ev_loop *loop,
				       const struct settings *set,
				       const char *addr, const char *dbname)
{
	PGconn *pg = pool_start_connect(set, addr, dbname);
	struct cancel_conn *c;

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
	ev_init(&c->timer, cancel_timed_out);
	c->timer.repeat = CANCEL_TIMEOUT_MS / 1000.0;
	c->timer.data = c;
	ev_timer_again(loop, &c->timer);
	pqw_watch(loop, &c->io, pg, EV_WRITE);
	return c;
}

bool cancel_send(struct cancel_sender *sender, struct ev_loop *loop,
		 const struct settings *set, const char *addr,
		 const char *dbname, int pid)
{
	struct cancel_conn *c = sender->conn;

	if (!c)
		c = cancel_open(loop, set, addr, dbname);
	if (!c || c->npids == CANCEL_QUEUE_MAX)
		return false;
	c->sender = sender;
	sender->conn = c;
	c->pids[c->npids++] = pid;
	return true;
}

void cancel_drop_all(struct cancel_sender *sender)
{
	if (sender->conn)
		cancel_close(sender->conn);
}
