#include "member.h"

#include "counter.h"
#include "log.h"
#include "pool.h"
#include "pqwatch.h"
#include "status.h"

#include <ev.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct member {
	struct member_conns *set;
	struct member *next;
	char group[ID_LEN];
	char id[ID_LEN];
	char addr[ADDR_LEN];
	PGconn *pg;
	bool ready; /* connected and ready for a query */
	bool busy;
	struct fo_action call; /* the call in progress, while busy */
	struct fo_answer answer;
	ev_io io;
	ev_timer timer; /* timeout of the call */
};

struct member_conns {
	struct ev_loop *loop;
	const struct settings *settings;
	void (*on_done)(void *arg, const struct fo_answer *a);
	void *arg;
	struct member *members;
};

static void member_on_io(struct ev_loop *loop, ev_io *w, int events);
static void member_on_timer(struct ev_loop *loop, ev_timer *w, int events);

struct member_conns *member_conns_new(
	struct ev_loop *loop, const struct settings *set,
	void (*on_done)(void *arg, const struct fo_answer *a), void *arg)
{
	struct member_conns *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	s->loop = loop;
	s->settings = set;
	s->on_done = on_done;
	s->arg = arg;
	return s;
}

static void member_close(struct member *m)
{
	ev_io_stop(m->set->loop, &m->io);
	if (m->pg)
		PQfinish(m->pg);
	m->pg = NULL;
	m->ready = false;
}

/* Reports the end of the call. The callback may start another call. */
static void member_done(struct member *m)
{
	struct fo_answer a = m->answer;

	ev_timer_stop(m->set->loop, &m->timer);
	m->busy = false;
	a.group = m->group;
	a.member = m->id;
	a.call_id = m->call.call_id;
	m->set->on_done(m->set->arg, &a);
}

static void member_fail(struct member *m, const char *why)
{
	log_debug("member", "event=call_failed group=%s member=%s error=\"%s\"",
		  m->group, m->id, why);
	member_close(m);
	m->answer.ok = false;
	if (m->busy)
		member_done(m);
}

static void member_watch(struct member *m, int events)
{
	pqw_watch(m->set->loop, &m->io, m->pg, events);
}

static void member_format_sql(const struct fo_action *call, char *sql,
			      size_t len)
{
	switch (call->type) {
	case FO_PROBE:
		snprintf(sql, len, STATUS_SQL);
		break;
	case FO_FENCE:
		snprintf(sql, len,
			 "SELECT * FROM marjoramlatch_fence(%" PRId64 ")",
			 call->term);
		break;
	case FO_PROMOTE:
		snprintf(sql, len, "SELECT marjoramlatch_promote(%" PRId64 ")",
			 call->term);
		break;
	case FO_FOLLOW:
		snprintf(sql, len,
			 "SELECT marjoramlatch_follow(%" PRId64 ", '%s')",
			 call->term, call->primary);
		break;
	case FO_COMMIT:
		abort();
	}
}

static void member_flush(struct member *m)
{
	int unsent = PQflush(m->pg);

	if (unsent < 0)
		member_fail(m, PQerrorMessage(m->pg));
	else
		member_watch(m, unsent ? EV_READ | EV_WRITE : EV_READ);
}

static void member_query(struct member *m)
{
	char sql[192];

	member_format_sql(&m->call, sql, sizeof(sql));
	if (!PQsendQuery(m->pg, sql))
		member_fail(m, PQerrorMessage(m->pg));
	else
		member_flush(m);
}

static void member_connect_step(struct member *m)
{
	switch (PQconnectPoll(m->pg)) {
	case PGRES_POLLING_READING:
		member_watch(m, EV_READ);
		break;
	case PGRES_POLLING_WRITING:
		member_watch(m, EV_WRITE);
		break;
	case PGRES_POLLING_OK:
		m->ready = true;
		PQsetnonblocking(m->pg, 1);
		member_query(m);
		break;
	default:
		member_fail(m, PQerrorMessage(m->pg));
		break;
	}
}

static bool member_take_status(struct member *m, const PGresult *res)
{
	struct backend_status st;

	if (!status_parse(&st, res))
		return false;
	m->answer.status = (struct fo_status){
		.incarnation = st.incarnation,
		.primary = st.primary,
		.fence_term = st.fence_term,
		.log_term = st.log_term,
		.received_pos = st.received_pos,
		.applied_pos = st.applied_pos,
		.data_age_ms = st.data_age_ms,
		.majority_age_ms = st.majority_age_ms,
	};
	return true;
}

static void member_take_result(struct member *m, const PGresult *res)
{
	if (PQresultStatus(res) != PGRES_TUPLES_OK || PQntuples(res) != 1) {
		log_warn("member",
			 "event=call_refused group=%s member=%s call=%d "
			 "error=\"%s\"",
			 m->group, m->id, m->call.type,
			 PQresultErrorMessage(res));
		return;
	}
	switch (m->call.type) {
	case FO_PROBE:
	case FO_FENCE:
		m->answer.ok = member_take_status(m, res);
		break;
	case FO_PROMOTE:
		m->answer.term_start_pos =
			strtoll(PQgetvalue(res, 0, 0), NULL, 10);
		m->answer.ok = true;
		break;
	case FO_FOLLOW:
		m->answer.ok = true;
		break;
	case FO_COMMIT:
		break;
	}
}

static void member_query_step(struct member *m, int events)
{
	if ((events & EV_WRITE) && PQflush(m->pg) == 0)
		member_watch(m, EV_READ);
	if (!PQconsumeInput(m->pg)) {
		member_fail(m, PQerrorMessage(m->pg));
		return;
	}
	while (!PQisBusy(m->pg)) {
		PGresult *res = PQgetResult(m->pg);

		if (!res) {
			if (m->busy)
				member_done(m);
			return;
		}
		if (m->busy)
			member_take_result(m, res);
		PQclear(res);
	}
}

static void member_on_io(struct ev_loop *loop, ev_io *w, int events)
{
	struct member *m = w->data;

	(void)loop;
	if (m->ready)
		member_query_step(m, events);
	else
		member_connect_step(m);
}

static void member_on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	member_fail(w->data, "no answer in time");
}

static struct member *member_get(struct member_conns *s,
				 const struct fo_action *call)
{
	struct member *m;

	for (m = s->members; m; m = m->next)
		if (!strcmp(m->group, call->group) &&
		    !strcmp(m->id, call->member))
			return m;
	m = calloc(1, sizeof(*m));
	if (!m)
		abort();
	m->set = s;
	memcpy(m->group, call->group, ID_LEN);
	memcpy(m->id, call->member, ID_LEN);
	ev_init(&m->io, member_on_io);
	ev_init(&m->timer, member_on_timer);
	m->io.data = m;
	m->timer.data = m;
	m->next = s->members;
	s->members = m;
	return m;
}

static void member_connect(struct member *m)
{
	memcpy(m->addr, m->call.addr, ADDR_LEN);
	m->pg = pool_start_connect(m->set->settings, m->addr, m->group);
	cnt_add(CNT_backend_connects, 1);
	if (m->pg && PQstatus(m->pg) != CONNECTION_BAD)
		member_watch(m, EV_WRITE);
	else
		/* The timer reports it, so that on_done isn't called from
		 * within member_call(). */
		ev_timer_set(&m->timer, 0.0, 0.0);
}

void member_call(struct member_conns *s, const struct fo_action *call)
{
	struct member *m = member_get(s, call);

	/* A new call for a busy member means that the caller has given up the
	 * one in progress. */
	if (m->busy || strcmp(m->addr, call->addr) != 0)
		member_close(m);
	ev_timer_stop(s->loop, &m->timer);
	m->busy = true;
	m->call = *call;
	m->answer = (struct fo_answer){0};
	ev_now_update(s->loop);
	ev_timer_set(&m->timer, MEMBER_CALL_TIMEOUT_MS / 1000.0, 0.0);
	if (m->ready)
		member_query(m);
	else
		member_connect(m);
	if (m->busy)
		ev_timer_start(s->loop, &m->timer);
}

void member_conns_close(struct member_conns *s)
{
	while (s->members) {
		struct member *m = s->members;

		s->members = m->next;
		ev_timer_stop(s->loop, &m->timer);
		member_close(m);
		free(m);
	}
}

void member_conns_free(struct member_conns *s)
{
	if (!s)
		return;
	member_conns_close(s);
	free(s);
}
