#include "pool.h"

#include "cancel.h"
#include "counter.h"
#include "log.h"
#include "settings.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum pool_state { POOL_CONNECTING, POOL_IDLE, POOL_LENT };

struct pool_conn {
	struct pool *pool;
	struct pool_conn *next;
	PGconn *pg;
	enum pool_state state;
	bool close_on_release;
	clk_ms opened_at;
	clk_ms state_since; /* time of the last state change */
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
	struct pool_request *requests;
	struct pool_request **requests_end;
	ev_timer timer;
	struct cancel_sender canceler;
	int64_t failures;
	clk_ms retry_at;
	char error[160];
};

#define POOL_TICK_S 0.05

static void pool_assign_idle(struct pool *p);

PGconn *pool_start_connect(const struct settings *set, const char *addr,
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

static void pool_update_watcher(struct pool_conn *c, int events)
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

static void pool_ignore_notice(void *arg, const PGresult *res)
{
	(void)arg;
	(void)res;
}

static void pool_make_idle(struct pool_conn *c)
{
	c->state = POOL_IDLE;
	c->state_since = clk_now();
	pool_set_io_handler(c, NULL, NULL);
	pool_update_watcher(c, EV_READ);
}

static struct pool_request *pool_next_request(struct pool *p)
{
	struct pool_request *w = p->requests;

	if (!w)
		return NULL;
	p->requests = w->next;
	if (!p->requests)
		p->requests_end = &p->requests;
	w->queued = false;
	return w;
}

static void pool_fail_requests(struct pool *p)
{
	struct pool_request *w = p->requests;

	/* Requests that on_fail() adds belong to the next attempt. */
	p->requests = NULL;
	p->requests_end = &p->requests;
	while (w) {
		struct pool_request *next = w->next;

		w->queued = false;
		w->on_fail(w->arg, p->error);
		w = next;
	}
}

/*
 * True if the server refused because it has no connection slot left; queued
 * requests then wait for the next attempt. The SQLSTATE can be found in the
 * message because pool_start_connect() sets verbose errors.
 */
static bool pool_is_full(const char *error)
{
	return strstr(error, "53300:") != NULL;
}

static void pool_connect_failed(struct pool_conn *c, const char *error)
{
	struct pool *p = c->pool;
	bool full = pool_is_full(error);

	snprintf(p->error, sizeof(p->error), "%.*s", (int)strcspn(error, "\n"),
		 error);
	if (!p->failures++)
		log_warn("pool", "addr=%s connect failed: %s", p->addr,
			 p->error);
	cnt_add(full ? CNT_backend_full : CNT_backend_connect_failures, 1);
	p->retry_at = clk_now() + POOL_RETRY_DELAY_MS;
	pool_close(c);
	/*
	 * While a connection is left, it serves the queued requests when its
	 * user returns it.
	 */
	if (!p->conns && !full)
		pool_fail_requests(p);
}

static void pool_connect_step(struct pool_conn *c)
{
	switch (PQconnectPoll(c->pg)) {
	case PGRES_POLLING_READING:
		pool_update_watcher(c, EV_READ);
		break;
	case PGRES_POLLING_WRITING:
		pool_update_watcher(c, EV_WRITE);
		break;
	case PGRES_POLLING_OK:
		c->pool->failures = 0;
		c->opened_at = clk_now();
		PQsetnonblocking(c->pg, 1);
		PQsetErrorVerbosity(c->pg, PQERRORS_DEFAULT);
		cnt_add(CNT_backend_connects, 1);
		pool_make_idle(c);
		pool_assign_idle(c->pool);
		break;
	default:
		pool_connect_failed(c, PQerrorMessage(c->pg));
	}
}

/*
 * A backend sends no results on an idle connection, so readability is checked
 * only to detect that it was closed.
 */
static void pool_idle_step(struct pool_conn *c)
{
	if (!PQconsumeInput(c->pg) || PQstatus(c->pg) != CONNECTION_OK)
		pool_close(c);
}

static void pool_io_cb(struct ev_loop *loop, ev_io *w, int revents)
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
	case POOL_LENT:
		if (c->on_io)
			c->on_io(c->arg, revents);
		break;
	}
}

static void pool_open_one(struct pool *p)
{
	PGconn *pg = pool_start_connect(p->set, p->addr, p->dbname);
	struct pool_conn *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->pool = p;
	c->pg = pg;
	c->state = POOL_CONNECTING;
	c->state_since = clk_now();
	c->opened_at = c->state_since;
	ev_init(&c->io, pool_io_cb);
	c->io.fd = -1;
	c->io.data = c;
	c->next = p->conns;
	p->conns = c;
	if (!pg || PQstatus(pg) == CONNECTION_BAD)
		pool_connect_failed(c, pg ? PQerrorMessage(pg)
					  : "invalid address");
	else
		pool_update_watcher(c, EV_WRITE);
}

static int64_t pool_count(const struct pool *p, enum pool_state state)
{
	int64_t n = 0;

	for (const struct pool_conn *c = p->conns; c; c = c->next)
		n += c->state == state;
	return n;
}

static void pool_open_needed(struct pool *p)
{
	int64_t wanted = 0;
	int64_t connecting = pool_count(p, POOL_CONNECTING);
	int64_t open = pool_count_open(p);

	if (p->failures && (connecting || clk_now() < p->retry_at))
		return;
	for (const struct pool_request *w = p->requests; w; w = w->next)
		wanted++;
	while (connecting < wanted && open < p->limit) {
		int64_t failed = p->failures;

		pool_open_one(p);
		if (p->failures != failed)
			return;
		connecting++;
		open++;
	}
}

static struct pool_conn *pool_find_idle(struct pool *p)
{
	struct pool_conn *best = NULL;

	/*
	 * Reusing the most recently used one lets the others reach the idle
	 * timeout.
	 */
	for (struct pool_conn *c = p->conns; c; c = c->next)
		if (c->state == POOL_IDLE &&
		    (!best || c->state_since > best->state_since))
			best = c;
	return best;
}

static void pool_assign_idle(struct pool *p)
{
	struct pool_conn *c;

	while (p->requests && (c = pool_find_idle(p))) {
		struct pool_request *w = pool_next_request(p);

		c->state = POOL_LENT;
		c->state_since = clk_now();
		w->on_conn(w->arg, c);
	}
	if (p->requests)
		pool_open_needed(p);
}

/* Closes connections that were not opened in time or were idle too long. */
static void pool_tick(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct pool *p = t->data;
	clk_ms now = clk_now();
	struct pool_conn *next;

	(void)loop;
	(void)revents;
	for (struct pool_conn *c = p->conns; c; c = next) {
		next = c->next;
		if (c->state == POOL_IDLE &&
		    now - c->state_since > POOL_IDLE_TIMEOUT_MS)
			pool_close(c);
	}
	for (struct pool_conn *c = p->conns; c; c = c->next) {
		if (c->state != POOL_CONNECTING ||
		    now - c->state_since <= POOL_CONNECT_TIMEOUT_MS)
			continue;
		/*
		 * on_fail() may change the list, so any further timeouts are
		 * handled on the next tick.
		 */
		pool_connect_failed(c, "connect timed out");
		break;
	}
	if (p->requests)
		pool_assign_idle(p);
}

struct pool *pool_new(struct ev_loop *loop, const struct settings *set,
		      const char *addr, const char *dbname, int64_t limit)
{
	struct pool *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	p->loop = loop;
	p->set = set;
	p->requests_end = &p->requests;
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
	cancel_drop_all(&p->canceler);
	free(p);
}

void pool_set_limit(struct pool *p, int64_t limit)
{
	p->limit = limit > 0 ? limit : 1;
}

void pool_acquire(struct pool *p, struct pool_request *w)
{
	w->next = NULL;
	w->queued = true;
	*p->requests_end = w;
	p->requests_end = &w->next;
	if (!p->failures || clk_now() >= p->retry_at)
		pool_assign_idle(p);
}

void pool_withdraw_request(struct pool *p, struct pool_request *w)
{
	struct pool_request **at = &p->requests;

	if (!w->queued)
		return;
	while (*at && *at != w)
		at = &(*at)->next;
	if (*at)
		*at = w->next;
	w->queued = false;
	p->requests_end = &p->requests;
	while (*p->requests_end)
		p->requests_end = &(*p->requests_end)->next;
}

void pool_release(struct pool_conn *c, bool clean)
{
	struct pool *p = c->pool;

	if (clean && !c->close_on_release && PQstatus(c->pg) == CONNECTION_OK &&
	    PQtransactionStatus(c->pg) == PQTRANS_IDLE)
		pool_make_idle(c);
	else
		pool_close(c);
	if (p->requests)
		pool_assign_idle(p);
}

void pool_cancel(struct pool_conn *c)
{
	struct pool *p = c->pool;

	cancel_send(&p->canceler, p->loop, p->set, p->addr, p->dbname,
		    PQbackendPID(c->pg));
}

void pool_close_on_release(struct pool_conn *c)
{
	c->close_on_release = true;
}

void pool_close_idle(struct pool *p, clk_ms opened_before)
{
	struct pool_conn *next;

	for (struct pool_conn *c = p->conns; c; c = next) {
		next = c->next;
		if (c->state == POOL_IDLE && c->opened_at < opened_before)
			pool_close(c);
	}
}

void pool_set_io_handler(struct pool_conn *c,
			 void (*fn)(void *arg, int revents), void *arg)
{
	c->on_io = fn;
	c->arg = arg;
	/*
	 * The notice receiver of the previous user may point to freed memory.
	 */
	PQsetNoticeReceiver(c->pg, pool_ignore_notice, NULL);
}

void pool_watch(struct pool_conn *c, int events)
{
	pool_update_watcher(c, events);
}

PGconn *pool_conn_pg(struct pool_conn *c)
{
	return c->pg;
}

int64_t pool_count_open(const struct pool *p)
{
	int64_t n = 0;

	for (const struct pool_conn *c = p->conns; c; c = c->next)
		n++;
	return n;
}

int64_t pool_count_idle(const struct pool *p)
{
	return pool_count(p, POOL_IDLE);
}
