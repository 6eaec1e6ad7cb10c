#include "backend.h"

#include "pqwatch.h"

#include <libpq-fe.h>
#include <stdlib.h>
#include <string.h>

struct client {
	struct client_handler h;
	PGconn *pg;
	PGresult *result;
	ev_io io;
	ev_timer timer;
	clk_ms timeout;
	bool up;
	bool busy;
	bool down;
	bool freed;
	int depth; /* nested callbacks; client_free() waits for them */
};

static void stop_watchers(struct client *c)
{
	ev_io_stop(be.loop, &c->io);
	ev_timer_stop(be.loop, &c->timer);
}

static void destroy(struct client *c)
{
	PQclear(c->result);
	PQfinish(c->pg);
	free(c);
}

static void end_callback(struct client *c)
{
	c->depth--;
	if (c->freed && !c->depth)
		destroy(c);
}

static void watch(struct client *c, int events)
{
	pqw_watch(be.loop, &c->io, c->pg, events);
}

static void start_timer(struct client *c, clk_ms ms)
{
	ev_timer_stop(be.loop, &c->timer);
	ev_timer_set(&c->timer, (double)ms / 1000.0, 0);
	ev_timer_start(be.loop, &c->timer);
}

static void report_down(struct client *c, const char *reason)
{
	if (c->down || c->freed)
		return;
	c->down = true;
	stop_watchers(c);
	c->h.on_down(c->h.arg, reason);
}

static void on_timer(struct ev_loop *loop, ev_timer *t, int events)
{
	struct client *c = t->data;
	bool bad = PQstatus(c->pg) == CONNECTION_BAD;

	(void)loop;
	(void)events;
	c->depth++;
	report_down(c, bad ? PQerrorMessage(c->pg) : "timeout");
	end_callback(c);
}

static void poll_connect(struct client *c)
{
	switch (PQconnectPoll(c->pg)) {
	case PGRES_POLLING_READING:
		watch(c, EV_READ);
		break;
	case PGRES_POLLING_WRITING:
		watch(c, EV_WRITE);
		break;
	case PGRES_POLLING_OK:
		ev_timer_stop(be.loop, &c->timer);
		PQsetnonblocking(c->pg, 1);
		watch(c, EV_READ);
		c->up = true;
		c->h.on_up(c->h.arg);
		break;
	default:
		report_down(c, PQerrorMessage(c->pg));
	}
}

static void finish_query(struct client *c)
{
	PGresult *r = c->result;

	c->result = NULL;
	c->busy = false;
	ev_timer_stop(be.loop, &c->timer);
	c->h.on_result(c->h.arg, r);
	PQclear(r);
}

static void read_results(struct client *c)
{
	if (!PQconsumeInput(c->pg)) {
		report_down(c, PQerrorMessage(c->pg));
		return;
	}
	while (c->busy && !PQisBusy(c->pg)) {
		PGresult *r = PQgetResult(c->pg);

		if (!r) {
			finish_query(c);
			return;
		}
		PQclear(c->result);
		c->result = r;
	}
}

static void on_io(struct ev_loop *loop, ev_io *io, int events)
{
	struct client *c = io->data;

	(void)loop;
	c->depth++;
	if (!c->up) {
		poll_connect(c);
	} else {
		if (events & EV_WRITE)
			watch(c, PQflush(c->pg) > 0 ? EV_READ | EV_WRITE
						    : EV_READ);
		if (events & EV_READ)
			read_results(c);
	}
	end_callback(c);
}

struct client *client_open(const char *addr, const char *user,
			   const char *password, clk_ms timeout,
			   const struct client_handler *h)
{
	struct client *c = calloc(1, sizeof(*c));
	char ip[ADDR_LEN];
	char *colon;
	const char *keys[] = {"hostaddr", "port",    "user",	   "password",
			      "dbname",	  "sslmode", "gssencmode", NULL};
	const char *values[] = {
		ip,	   NULL,      user, password, "marjoramlatch",
		"disable", "disable", NULL};

	strncpy(ip, addr, sizeof(ip) - 1);
	ip[sizeof(ip) - 1] = '\0';
	colon = strrchr(ip, ':');
	if (colon) {
		*colon = '\0';
		values[1] = colon + 1;
	}
	c->h = *h;
	c->timeout = timeout;
	ev_init(&c->io, on_io);
	c->io.data = c;
	ev_init(&c->timer, on_timer);
	c->timer.data = c;
	c->pg = PQconnectStartParams(keys, values, 0);
	if (PQstatus(c->pg) == CONNECTION_BAD) {
		start_timer(c, 0);
		return c;
	}
	start_timer(c, timeout);
	watch(c, EV_WRITE);
	return c;
}

void client_query(struct client *c, const char *sql)
{
	c->busy = true;
	if (!PQsendQuery(c->pg, sql)) {
		start_timer(c, 0);
		return;
	}
	start_timer(c, c->timeout);
	if (PQflush(c->pg) > 0)
		watch(c, EV_READ | EV_WRITE);
}

bool client_idle(const struct client *c)
{
	return c->up && !c->busy && !c->down;
}

void client_free(struct client *c)
{
	if (!c || c->freed)
		return;
	stop_watchers(c);
	c->freed = true;
	if (!c->depth)
		destroy(c);
}
