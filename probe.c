#include "probe.h"

#include "pool.h"
#include "pqwatch.h"
#include "settings.h"

#include <ev.h>
#include <stdio.h>
#include <stdlib.h>

enum probe_state { PROBE_CLOSED, PROBE_CONNECTING, PROBE_IDLE, PROBE_QUERIED };

struct probe {
	struct ev_loop *loop;
	const struct settings *set;
	struct probe_callbacks user;
	char addr[ADDR_LEN];
	char dbname[ID_LEN];
	PGconn *pg;
	enum probe_state state;
	bool poll_now; /* don't wait for the next interval */
	ev_io io;
	ev_timer timer;
	clk_ms state_since;
	clk_ms last_status_at;
	int64_t query_sent_us;
	int64_t failures;
};

static void probe_set_timer(struct probe *p, clk_ms ms)
{
	ev_timer_stop(p->loop, &p->timer);
	ev_now_update(p->loop);
	ev_timer_set(&p->timer, (double)ms / 1000.0, 0.);
	ev_timer_start(p->loop, &p->timer);
}

static void probe_watch(struct probe *p, int events)
{
	pqw_watch(p->loop, &p->io, p->pg, events);
}

static void probe_set_state(struct probe *p, enum probe_state state)
{
	p->state = state;
	p->state_since = clk_now();
}

static void probe_close(struct probe *p)
{
	probe_watch(p, 0);
	PQfinish(p->pg);
	p->pg = NULL;
	probe_set_state(p, PROBE_CLOSED);
}

static void probe_refused(struct probe *p)
{
	probe_close(p);
	p->failures++;
	probe_set_timer(p, p->set->poll_ms);
	p->user.on_refused(p->user.arg);
}

static void probe_open(struct probe *p)
{
	p->pg = pool_start_connect(p->set, p->addr, p->dbname);
	if (!p->pg || PQstatus(p->pg) == CONNECTION_BAD) {
		probe_refused(p);
		return;
	}
	probe_set_state(p, PROBE_CONNECTING);
	probe_watch(p, EV_WRITE);
	probe_set_timer(p, p->set->suspect_ms);
}

static void probe_send_query(struct probe *p)
{
	p->poll_now = false;
	p->query_sent_us = clk_now_us();
	if (!PQsendQuery(p->pg, STATUS_SQL)) {
		probe_refused(p);
		return;
	}
	probe_set_state(p, PROBE_QUERIED);
	probe_watch(p, PQflush(p->pg) ? EV_READ | EV_WRITE : EV_READ);
	probe_set_timer(p, p->set->suspect_ms);
}

static void probe_connect_step(struct probe *p)
{
	switch (PQconnectPoll(p->pg)) {
	case PGRES_POLLING_READING:
		probe_watch(p, EV_READ);
		break;
	case PGRES_POLLING_WRITING:
		probe_watch(p, EV_WRITE);
		break;
	case PGRES_POLLING_OK:
		PQsetnonblocking(p->pg, 1);
		probe_send_query(p);
		break;
	default:
		probe_refused(p);
	}
}

static void probe_answered(struct probe *p, const struct backend_status *st)
{
	clk_ms spent = clk_now() - p->state_since;
	clk_ms pause = p->set->poll_ms - spent;

	p->last_status_at = clk_now();
	p->failures = 0;
	probe_set_state(p, PROBE_IDLE);
	probe_set_timer(p, p->poll_now || pause < 1 ? 1 : pause);
	p->user.on_status(p->user.arg, st, clk_now_us() - p->query_sent_us);
}

static void probe_read_result(struct probe *p)
{
	struct backend_status st;
	bool good = false;
	PGresult *res;

	while (!PQisBusy(p->pg)) {
		res = PQgetResult(p->pg);
		if (!res) {
			if (good)
				probe_answered(p, &st);
			else
				probe_refused(p);
			return;
		}
		good = PQresultStatus(res) == PGRES_TUPLES_OK &&
		       status_parse(&st, res);
		PQclear(res);
	}
}

static void probe_io(struct ev_loop *loop, ev_io *w, int revents)
{
	struct probe *p = w->data;

	(void)loop;
	if (p->state == PROBE_CONNECTING) {
		probe_connect_step(p);
		return;
	}
	if (revents & EV_WRITE && !PQflush(p->pg))
		probe_watch(p, EV_READ);
	if (!(revents & EV_READ))
		return;
	if (!PQconsumeInput(p->pg)) {
		probe_refused(p);
		return;
	}
	if (p->state == PROBE_QUERIED)
		probe_read_result(p);
}

static void probe_timer(struct ev_loop *loop, ev_timer *t, int revents)
{
	struct probe *p = t->data;

	(void)loop;
	(void)revents;
	switch (p->state) {
	case PROBE_CLOSED:
		probe_open(p);
		break;
	case PROBE_IDLE:
		probe_send_query(p);
		break;
	case PROBE_CONNECTING:
	case PROBE_QUERIED:
		probe_close(p);
		p->failures++;
		p->user.on_silent(p->user.arg);
		probe_open(p);
		break;
	}
}

struct probe *probe_new(struct ev_loop *loop, const struct settings *set,
			const char *addr, const char *dbname,
			const struct probe_callbacks *user)
{
	struct probe *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	p->loop = loop;
	p->set = set;
	p->user = *user;
	snprintf(p->addr, sizeof(p->addr), "%s", addr);
	snprintf(p->dbname, sizeof(p->dbname), "%s", dbname);
	ev_init(&p->io, probe_io);
	p->io.data = p;
	ev_init(&p->timer, probe_timer);
	p->timer.data = p;
	p->last_status_at = clk_now();
	probe_set_timer(p, 1);
	return p;
}

void probe_free(struct probe *p)
{
	if (!p)
		return;
	probe_close(p);
	ev_timer_stop(p->loop, &p->timer);
	free(p);
}

void probe_poll_now(struct probe *p)
{
	p->poll_now = true;
	if (p->state == PROBE_IDLE)
		probe_set_timer(p, 1);
}

clk_ms probe_last_status_at(const struct probe *p)
{
	return p->last_status_at;
}

int64_t probe_failures(const struct probe *p)
{
	return p->failures;
}
