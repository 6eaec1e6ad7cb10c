#include "load.h"

#include "pqwatch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LCONN_CONNECT_S 3.0

void load_params(struct load_params *p, const struct load_options *opt,
		 const char *addr)
{
	const char *const keys[] = {"hostaddr",	  "port",
				    "user",	  "dbname",
				    "password",	  "sslmode",
				    "gssencmode", "connect_timeout",
				    "options",	  "application_name"};
	size_t n = sizeof(keys) / sizeof(keys[0]);
	char *port;

	*p = (struct load_params){0};
	snprintf(p->host, sizeof(p->host), "%s", addr);
	port = strrchr(p->host, ':');
	*port = '\0';
	if (opt->max_wait_ms >= 0)
		snprintf(p->options, sizeof(p->options),
			 "-c marjoramlatch.max_wait_ms=%lld",
			 (long long)opt->max_wait_ms);
	memcpy(p->keys, keys, sizeof(keys));
	const char *const values[] = {p->host,	     port + 1,
				      opt->user,     opt->database,
				      opt->password, "disable",
				      "disable",     "3",
				      p->options,    "marjoramlatch load"};
	memcpy(p->values, values, n * sizeof(values[0]));
}

PGconn *load_connect(const struct load_options *opt, int to)
{
	struct load_params p;
	PGconn *c;

	load_params(&p, opt, opt->to[to % opt->nto]);
	c = PQconnectdbParams(p.keys, p.values, 0);
	if (PQstatus(c) == CONNECTION_OK)
		return c;
	PQfinish(c);
	return NULL;
}

/* Notices would mix with the report; failures are counted by their state. */
static void lconn_ignore_notice(void *arg, const char *text)
{
	(void)arg;
	(void)text;
}

void lconn_close(struct lconn *l)
{
	ev_io_stop(l->loop, &l->io);
	ev_timer_stop(l->loop, &l->timer);
	PQclear(l->result);
	l->result = NULL;
	PQfinish(l->pg);
	l->pg = NULL;
	free(l->sql);
	l->sql = NULL;
	l->state = LCONN_CLOSED;
}

/* Ends the statement and closes the connection, which can't be trusted. */
static void lconn_fail(struct lconn *l, enum lconn_end end)
{
	bool busy = l->state == LCONN_BUSY || l->state == LCONN_CONNECTING;
	char text[LOAD_REASON_LEN];

	snprintf(text, sizeof(text), "%s",
		 l->pg && *PQerrorMessage(l->pg) ? PQerrorMessage(l->pg)
						 : "timed out");
	text[strcspn(text, "\n")] = '\0';
	lconn_close(l);
	if (busy)
		l->on_done(l->arg, end, NULL, text);
}

static void lconn_watch(struct lconn *l, int events)
{
	pqw_watch(l->loop, &l->io, l->pg, events);
}

static void lconn_timeout(struct lconn *l, double s)
{
	ev_timer_stop(l->loop, &l->timer);
	ev_timer_set(&l->timer, s, 0);
	ev_timer_start(l->loop, &l->timer);
}

static void lconn_flush(struct lconn *l)
{
	int rc = PQflush(l->pg);

	if (rc < 0)
		lconn_fail(l, LCONN_LOST);
	else
		lconn_watch(l, rc ? EV_READ | EV_WRITE : EV_READ);
}

static void lconn_send(struct lconn *l)
{
	int ok = PQsendQuery(l->pg, l->sql);

	free(l->sql);
	l->sql = NULL;
	l->state = LCONN_BUSY;
	lconn_timeout(l, l->timeout);
	if (ok)
		lconn_flush(l);
	else
		lconn_fail(l, LCONN_LOST);
}

static void lconn_connect_step(struct lconn *l)
{
	switch (PQconnectPoll(l->pg)) {
	case PGRES_POLLING_READING:
		lconn_watch(l, EV_READ);
		return;
	case PGRES_POLLING_WRITING:
		lconn_watch(l, EV_WRITE);
		return;
	case PGRES_POLLING_OK:
		PQsetnonblocking(l->pg, 1);
		lconn_send(l);
		return;
	default:
		lconn_fail(l, LCONN_NOT_SENT);
	}
}

static void lconn_done(struct lconn *l)
{
	PGresult *r = l->result;

	l->result = NULL;
	l->state = LCONN_IDLE;
	ev_timer_stop(l->loop, &l->timer);
	l->on_done(l->arg, LCONN_ANSWERED, r, NULL);
	PQclear(r);
}

static void lconn_read(struct lconn *l)
{
	PGresult *r;

	if (!PQconsumeInput(l->pg)) {
		lconn_fail(l, LCONN_LOST);
		return;
	}
	if (l->state == LCONN_IDLE) {
		/* A message that ends the connection has arrived. */
		if (PQstatus(l->pg) != CONNECTION_OK)
			lconn_close(l);
		return;
	}
	while (!PQisBusy(l->pg)) {
		r = PQgetResult(l->pg);
		if (!r && !l->result) {
			lconn_fail(l, LCONN_LOST);
			return;
		}
		if (!r) {
			lconn_done(l);
			return;
		}
		if (PQstatus(l->pg) != CONNECTION_OK &&
		    !PQresultErrorField(r, PG_DIAG_SQLSTATE)) {
			PQclear(r);
			lconn_fail(l, LCONN_LOST);
			return;
		}
		PQclear(l->result);
		l->result = r;
	}
}

static void lconn_on_io(struct ev_loop *loop, struct ev_io *w, int events)
{
	struct lconn *l = w->data;

	(void)loop;
	if (l->state == LCONN_CONNECTING) {
		lconn_connect_step(l);
		return;
	}
	if (events & EV_WRITE) {
		lconn_flush(l);
		return; /* input is seen in the next turn of the loop */
	}
	lconn_read(l);
}

static void lconn_on_timer(struct ev_loop *loop, struct ev_timer *w, int events)
{
	struct lconn *l = w->data;

	(void)loop;
	(void)events;
	lconn_fail(l,
		   l->state == LCONN_CONNECTING ? LCONN_NOT_SENT : LCONN_LOST);
}

void lconn_init(struct lconn *l, const struct load_options *opt,
		struct ev_loop *loop,
		void (*on_done)(void *arg, enum lconn_end end,
				const PGresult *r, const char *text),
		void *arg)
{
	*l = (struct lconn){
		.opt = opt, .loop = loop, .on_done = on_done, .arg = arg};
	ev_init(&l->io, lconn_on_io);
	ev_init(&l->timer, lconn_on_timer);
	l->io.data = l;
	l->timer.data = l;
}

void lconn_run(struct lconn *l, const char *addr, const char *sql,
	       double timeout)
{
	struct load_params p;

	l->sql = strdup(sql);
	l->timeout = timeout;
	if (l->state == LCONN_IDLE) {
		lconn_send(l);
		return;
	}
	load_params(&p, l->opt, addr);
	l->pg = PQconnectStartParams(p.keys, p.values, 0);
	if (!l->pg)
		abort();
	PQsetNoticeProcessor(l->pg, lconn_ignore_notice, NULL);
	l->state = LCONN_CONNECTING;
	if (PQstatus(l->pg) == CONNECTION_BAD) {
		lconn_fail(l, LCONN_NOT_SENT);
		return;
	}
	lconn_watch(l, EV_WRITE);
	lconn_timeout(l, LCONN_CONNECT_S);
}
