#include "load.h"

#include "pqwatch.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LOAD_CONNECT_TIMEOUT_S 3.0

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

PGconn *load_connect(const struct load_options *opt, int index)
{
	struct load_params p;
	PGconn *c;

	load_params(&p, opt, opt->proxies[index % opt->nproxies]);
	c = PQconnectdbParams(p.keys, p.values, 0);
	if (PQstatus(c) == CONNECTION_OK)
		return c;
	PQfinish(c);
	return NULL;
}

/*
 * Keeps notices out of the report. Nothing is lost, since failures are counted
 * by their SQLSTATE.
 */
static void load_conn_ignore_notice(void *arg, const char *text)
{
	(void)arg;
	(void)text;
}

void load_conn_close(struct load_conn *l)
{
	ev_io_stop(l->loop, &l->io);
	ev_timer_stop(l->loop, &l->timer);
	PQclear(l->result);
	l->result = NULL;
	PQfinish(l->pg);
	l->pg = NULL;
	free(l->sql);
	l->sql = NULL;
	l->state = LOAD_CONN_CLOSED;
}

/*
 * Reports the failure of the running statement, if any, and closes the
 * connection, which may not be usable any more.
 */
static void load_conn_fail(struct load_conn *l, enum load_conn_outcome outcome)
{
	bool busy =
		l->state == LOAD_CONN_BUSY || l->state == LOAD_CONN_CONNECTING;
	char text[LOAD_REASON_LEN];

	snprintf(text, sizeof(text), "%s",
		 l->pg && *PQerrorMessage(l->pg) ? PQerrorMessage(l->pg)
						 : "timed out");
	text[strcspn(text, "\n")] = '\0';
	load_conn_close(l);
	if (busy)
		l->on_done(l->arg, outcome, NULL, text);
}

static void load_conn_watch(struct load_conn *l, int events)
{
	pqw_watch(l->loop, &l->io, l->pg, events);
}

static void load_conn_set_timeout(struct load_conn *l, double s)
{
	ev_timer_stop(l->loop, &l->timer);
	ev_timer_set(&l->timer, s, 0);
	ev_timer_start(l->loop, &l->timer);
}

static void load_conn_flush(struct load_conn *l)
{
	int rc = PQflush(l->pg);

	if (rc < 0)
		load_conn_fail(l, LOAD_CONN_ANSWER_LOST);
	else
		load_conn_watch(l, rc ? EV_READ | EV_WRITE : EV_READ);
}

static void load_conn_send(struct load_conn *l)
{
	int ok = PQsendQuery(l->pg, l->sql);

	free(l->sql);
	l->sql = NULL;
	l->state = LOAD_CONN_BUSY;
	load_conn_set_timeout(l, l->answer_timeout_s);
	if (ok)
		load_conn_flush(l);
	else
		load_conn_fail(l, LOAD_CONN_ANSWER_LOST);
}

static void load_conn_connect_step(struct load_conn *l)
{
	switch (PQconnectPoll(l->pg)) {
	case PGRES_POLLING_READING:
		load_conn_watch(l, EV_READ);
		return;
	case PGRES_POLLING_WRITING:
		load_conn_watch(l, EV_WRITE);
		return;
	case PGRES_POLLING_OK:
		PQsetnonblocking(l->pg, 1);
		load_conn_send(l);
		return;
	default:
		load_conn_fail(l, LOAD_CONN_NOT_SENT);
	}
}

/* Reports the result of the statement. */
static void load_conn_finish(struct load_conn *l)
{
	PGresult *r = l->result;

	l->result = NULL;
	l->state = LOAD_CONN_IDLE;
	ev_timer_stop(l->loop, &l->timer);
	l->on_done(l->arg, LOAD_CONN_ANSWERED, r, NULL);
	PQclear(r);
}

static void load_conn_read(struct load_conn *l)
{
	PGresult *r;

	if (!PQconsumeInput(l->pg)) {
		load_conn_fail(l, LOAD_CONN_ANSWER_LOST);
		return;
	}
	if (l->state == LOAD_CONN_IDLE) {
		/* Input while idle: close if it ended the connection. */
		if (PQstatus(l->pg) != CONNECTION_OK)
			load_conn_close(l);
		return;
	}
	while (!PQisBusy(l->pg)) {
		r = PQgetResult(l->pg);
		if (!r && !l->result) {
			load_conn_fail(l, LOAD_CONN_ANSWER_LOST);
			return;
		}
		if (!r) {
			load_conn_finish(l);
			return;
		}
		if (PQstatus(l->pg) != CONNECTION_OK &&
		    !PQresultErrorField(r, PG_DIAG_SQLSTATE)) {
			PQclear(r);
			load_conn_fail(l, LOAD_CONN_ANSWER_LOST);
			return;
		}
		PQclear(l->result);
		l->result = r;
	}
}

static void load_conn_on_io(struct ev_loop *loop, struct ev_io *w, int events)
{
	struct load_conn *l = w->data;

	(void)loop;
	if (l->state == LOAD_CONN_CONNECTING) {
		load_conn_connect_step(l);
		return;
	}
	if (events & EV_WRITE) {
		load_conn_flush(l);
		return; /* pending input is read in the next loop iteration */
	}
	load_conn_read(l);
}

static void load_conn_on_timer(struct ev_loop *loop, struct ev_timer *w,
			       int events)
{
	struct load_conn *l = w->data;

	(void)loop;
	(void)events;
	load_conn_fail(l, l->state == LOAD_CONN_CONNECTING
				  ? LOAD_CONN_NOT_SENT
				  : LOAD_CONN_ANSWER_LOST);
}

void load_conn_init(struct load_conn *l, const struct load_options *opt,
		    struct ev_loop *loop,
		    void (*on_done)(void *arg, enum load_conn_outcome outcome,
				    const PGresult *r, const char *text),
		    void *arg)
{
	*l = (struct load_conn){
		.opt = opt, .loop = loop, .on_done = on_done, .arg = arg};
	ev_init(&l->io, load_conn_on_io);
	ev_init(&l->timer, load_conn_on_timer);
	l->io.data = l;
	l->timer.data = l;
}

void load_conn_run(struct load_conn *l, const char *addr, const char *sql,
		   double answer_timeout_s)
{
	struct load_params p;

	l->sql = strdup(sql);
	l->answer_timeout_s = answer_timeout_s;
	if (l->state == LOAD_CONN_IDLE) {
		load_conn_send(l);
		return;
	}
	load_params(&p, l->opt, addr);
	l->pg = PQconnectStartParams(p.keys, p.values, 0);
	if (!l->pg)
		abort();
	PQsetNoticeProcessor(l->pg, load_conn_ignore_notice, NULL);
	l->state = LOAD_CONN_CONNECTING;
	if (PQstatus(l->pg) == CONNECTION_BAD) {
		load_conn_fail(l, LOAD_CONN_NOT_SENT);
		return;
	}
	load_conn_watch(l, EV_WRITE);
	load_conn_set_timeout(l, LOAD_CONNECT_TIMEOUT_S);
}
