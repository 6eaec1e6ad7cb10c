#include "pool.h"

#include "cancel.h"
#include "counter.h"
#include "log.h"
#include "settings.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum pool_state { POOL_CONNECTING, POOL_IDLE, POOL_USED };

struct pool_conn {
	struct pool *pool;
	struct pool_conn *next;
	PGconn *pg;
	enum pool_state state;
	bool tainted;
	clk_ms opened;
	clk_ms since; /* of the state */
	ev_io io;
	int events;
	void (*on_io)(void *arg, int revents);
	void *arg;
};

struct pool {
	struct ev_loop *loop;
	const struct settings *set;
	char addr[ADDR_LEN];
	char dbname[ID_LEN];
	int64_t limit;
	struct pool_conn *conns;
	struct pool_want *wants;
	struct pool_want **wants_end;
	ev_timer timer;
	struct cancel_list cancels;
	int64_t failures;
	clk_ms retry_at;
	char error[160];
};

#define POOL_TICK_S 0.05

static void pool_serve(struct pool *p);

PGconn *pool_connect(const struct settings *set, const char *addr,
		     const char *dbname)
{
	char host[ADDR_LEN];
	char *colon;
	PGconn *pg;
	const char *keys[] = {"hostaddr", "port",	"user",
			      "password", "dbname",	"application_name",
			      "sslmode",  "gssencmode", NULL};
	const char *values[] = {host,
				NULL,
				"marjoramlatch",
				set->backend_password,
				dbname,
				"marjoramlatch",
				"disable",
				"disable",
				NULL};

	snprintf(host, sizeof(host), "%s", addr);
	colon = strrchr(host, ':');
	if (!colon)
		return NULL;
	*colon = '\0';
	values[1] = colon + 1;
	pg = PQconnectStartParams(keys, values, 0);
	if (pg)
		PQsetErrorVerbosity(pg, PQERRORS_VERBOSE);
	return pg;
}

static void pool_set_events(struct pool_conn *c, int events)
{
	int fd = PQsocket(c->pg);

	if (c->events == events && c->io.fd == fd)
		return;
	if (c->events)
		ev_io_stop(c->pool->loop, &c->io);
	c->events = fd < 0 ? 0 : events;
	if (!c->events)
		return;
	ev_io_set(&c->io, fd, events);
	ev_io_start(c->pool->loop, &c->io);
}

static void pool_close(struct pool_conn *c)
{
	struct pool_conn **at = &c->pool->conns;

	while (*at != c)
		at = &(*at)->next;
	*at = c->next;
	if (c->events)
		ev_io_stop(c->pool->loop, &c->io);
	PQfinish(c->pg);
	free(c);
}

static void pool_notice(void *arg, const PGresult *res)
{
	(void)arg;
	(void)res;
}

static void pool_make_idle(struct pool_conn *c)
{
	c->state = POOL_IDLE;
	c->since = clk_now();
	pool_on_io(c, NULL, NULL);
	pool_set_events(c, EV_READ);
}

static struct pool_want *pool_next_want(struct pool *p)
{
	struct pool_want *w = p->wants;

	if (!w)
		return NULL;
	p->wants = w->next;
	if (!p->wants)
		p->wants_end = &p->wants;
	w->queued = false;
	return w;
}

static void pool_fail_wants(struct pool *p)
{
	struct pool_want *w = p->wants;

	/* Wishes that on_fail() adds are for the next attempt. */
	p->wants = NULL;
	p->wants_end = &p->wants;
	while (w) {
		struct pool_want *next = w->next;

		w->queued = false;
		w->on_fail(w->arg, p->error);
		w = next;
	}
}

/* The server has no connection left: the wishes wait for the next attempt.
 * pool_connect() makes libpq put the SQLSTATE into the message. */
static bool pool_is_full(const char *error)
{
	return strstr(error, "53300:") != NULL;
}

static void pool_failed(struct pool_conn *c, const char *error)
{
	struct pool *p = c->pool;
	bool full = pool_is_full(error);

	snprintf(p->error, sizeof(p->error), "%.*s", (int)strcspn(error, "\n"),
		 error);
	if (!p->failures++)
		log_warn("pool", "addr=%s connect failed: %s", p->addr,
			 p->error);
	cnt_add(full ? CNT_backend_full : CNT_backend_connect_failures, 1);
	p->retry_at = clk_now() + POOL_RETRY_MS;
	pool_close(c);
	/* A connection that is in use serves them when it comes back. */
	if (!p->conns && !full)
		pool_fail_wants(p);
}

static void pool_connect_step(struct pool_conn *c)
{
	switch (PQconnectPoll(c->pg)) {
	case PGRES_POLLING_READING:
		pool_set_events(c, EV_READ);
		break;
	case PGRES_POLLING_WRITING:
		pool_set_events(c, EV_WRITE);
		break;
	case PGRES_POLLING_OK:
		c->pool->failures = 0;
		c->opened = clk_now();
		PQsetnonblocking(c->pg, 1);
		PQsetErrorVerbosity(c->pg, PQERRORS_DEFAULT);
		cnt_add(CNT_backend_connects, 1);
		pool_make_idle(c);
		pool_serve(c->pool);
		break;
	default:
		pool_failed(c, PQerrorMessage(c->pg));
	}
}

/* An idle connection has nothing to say but that it was closed. */
static void pool_idle_step(struct pool_conn *c)
{
	if (!PQconsumeInput(c->pg) || PQstatus(c->pg) != CONNECTION_OK)
		pool_close(c);
}

static void pool_io(struct ev_loop *loop, ev_io *w, int revents)
{
	struct pool_conn *c = w->data;

	(void)loop;
	switch (c->state) {
	case POOL_CONNECTING:
		pool_connect_step(c);
		break;
	case POOL_IDLE:
		pool_idle_step(c);
		break;
	case POOL_USED:
		if (c->on_io)
			c->on_io(c->arg, revents);
		break;
	}
}

static void pool_start_one(struct pool *p)
{
	PGconn *pg = pool_connect(p->set, p->addr, p->dbname);
	struct pool_conn *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->pool = p;
	c->pg = pg;
	c->state = POOL_CONNECTING;
	c->since = clk_now();
	c->opened = c->since;
	ev_init(&c->io, pool_io);
	c->io.fd = -1;
	c->io.data = c;
	c->next = p->conns;
	p->conns = c;
	if (!pg || PQstatus(pg) == CONNECTION_BAD)
		pool_failed(c, pg ? PQerrorMessage(pg) : "bad address");
	else
		pool_set_events(c, EV_WRITE);
}

static int64_t pool_count(const struct pool *p, enum pool_state state)
{
	int64_t n = 0;

	for (const struct pool_conn *c = p->conns; c; c = c->next)
		n += c->state == state;
	return n;
}

static void pool_grow(struct pool *p)
{
	int64_t wanted = 0;
	int64_t connecting = pool_count(p, POOL_CONNECTING);
	int64_t open = pool_open(p);

	if (p->failures && (connecting || clk_now() < p->retry_at))
		return;
	for (const struct pool_want *w = p->wants; w; w = w->next)
		wanted++;
	while (connecting < wanted && open < p->limit) {
		int64_t failed = p->failures;

		pool_start_one(p);
		if (p->failures != failed)
			return;
		connecting++;
		open++;
	}
}

static struct pool_conn *pool_find_idle(struct pool *p)
{
	struct pool_conn *best = NULL;

	/* The one used last stays warm; the others can time out. */
	for (struct pool_conn *c = p->conns; c; c = c->next)
		if (c->state == POOL_IDLE && (!best || c->since > best->since))
			best = c;
	return best;
}

static void pool_serve(struct pool *p)
{
	struct pool_conn *c;

	while (p->wants && (c = pool_find_idle(p))) {
		struct pool_want *w = pool_next_want(p);

		c->state = POOL_USED;
		c->since = clk_now();
		w->on_conn(w->arg, c);
	}
	if (p->wants)
		pool_grow(p);
}

/* Closes what took too long to open or was idle too long. */
static void pool_tick(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct pool *p = t->data;
	clk_ms now = clk_now();
	struct pool_conn *next;

	(void)loop;
	(void)revents;
	for (struct pool_conn *c = p->conns; c; c = next) {
		next = c->next;
		if (c->state == POOL_IDLE && now - c->since > POOL_IDLE_MS)
			pool_close(c);
	}
	for (struct pool_conn *c = p->conns; c; c = c->next) {
		if (c->state != POOL_CONNECTING ||
		    now - c->since <= POOL_CONNECT_MS)
			continue;
		/* on_fail() may change the list; the rest waits a tick. */
		pool_failed(c, "connect timed out");
		break;
	}
	if (p->wants)
		pool_serve(p);
}

struct pool *pool_new(struct ev_loop *loop, const struct settings *set,
		      const char *addr, const char *dbname, int64_t limit)
{
	struct pool *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	p->loop = loop;
	p->set = set;
	p->wants_end = &p->wants;
	snprintf(p->addr, sizeof(p->addr), "%s", addr);
	snprintf(p->dbname, sizeof(p->dbname), "%s", dbname);
	pool_set_limit(p, limit);
	ev_timer_init(&p->timer, pool_tick, POOL_TICK_S, POOL_TICK_S);
	p->timer.data = p;
	ev_timer_start(loop, &p->timer);
	return p;
}

void pool_free(struct pool *p)
{
	if (!p)
		return;
	ev_timer_stop(p->loop, &p->timer);
	while (p->conns)
		pool_close(p->conns);
	cancel_stop(&p->cancels);
	free(p);
}

void pool_set_limit(struct pool *p, int64_t limit)
{
	p->limit = limit > 0 ? limit : 1;
}

void pool_acquire(struct pool *p, struct pool_want *w)
{
	w->next = NULL;
	w->queued = true;
	*p->wants_end = w;
	p->wants_end = &w->next;
	if (!p->failures || clk_now() >= p->retry_at)
		pool_serve(p);
}

void pool_forget(struct pool *p, struct pool_want *w)
{
	struct pool_want **at = &p->wants;

	if (!w->queued)
		return;
	while (*at && *at != w)
		at = &(*at)->next;
	if (*at)
		*at = w->next;
	w->queued = false;
	p->wants_end = &p->wants;
	while (*p->wants_end)
		p->wants_end = &(*p->wants_end)->next;
}

void pool_release(struct pool_conn *c, bool clean)
{
	struct pool *p = c->pool;

	if (clean && !c->tainted && PQstatus(c->pg) == CONNECTION_OK &&
	    PQtransactionStatus(c->pg) == PQTRANS_IDLE)
		pool_make_idle(c);
	else
		pool_close(c);
	if (p->wants)
		pool_serve(p);
}

void pool_cancel(struct pool_conn *c)
{
	struct pool *p = c->pool;

	cancel_send(&p->cancels, p->loop, p->set, p->addr, p->dbname,
		    PQbackendPID(c->pg));
}

void pool_taint(struct pool_conn *c)
{
	c->tainted = true;
}

void pool_drop_idle(struct pool *p, clk_ms opened_before)
{
	struct pool_conn *next;

	for (struct pool_conn *c = p->conns; c; c = next) {
		next = c->next;
		if (c->state == POOL_IDLE && c->opened < opened_before)
			pool_close(c);
	}
}

void pool_on_io(struct pool_conn *c, void (*fn)(void *arg, int revents),
		void *arg)
{
	c->on_io = fn;
	c->arg = arg;
	/* The receiver of the previous user may be gone. */
	PQsetNoticeReceiver(c->pg, pool_notice, NULL);
}

void pool_watch(struct pool_conn *c, int events)
{
	pool_set_events(c, events);
}

PGconn *pool_pg(struct pool_conn *c)
{
	return c->pg;
}

int64_t pool_open(const struct pool *p)
{
	int64_t n = 0;

	for (const struct pool_conn *c = p->conns; c; c = c->next)
		n++;
	return n;
}

int64_t pool_idle(const struct pool *p)
{
	return pool_count(p, POOL_IDLE);
}
