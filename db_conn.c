#include "db_priv.h"

#include "counter.h"
#include "log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void db_on_read(void *arg);
static void db_on_close(void *arg);

void db_conn_free(struct db_conn *c)
{
	struct db_member *m = c->member;

	if (c->phase == DB_CONNECTING)
		m->opening--;
	if (c->phase == DB_PREPARING || c->phase == DB_RUNNING)
		db_ended(m);
	db_forget_conn(c);
	net_free(c->net);
	buf_free(&c->answer);
	free(c->prepared);
	free(c);
}

static void db_phase(struct db_conn *c, enum db_phase phase, clk_ms now)
{
	c->phase = phase;
	c->since = now;
	c->failed = false;
}

struct db_conn *db_open(struct db_member *m, clk_ms now)
{
	struct db_conn *c = calloc(1, sizeof(*c));
	struct net_handler h = {
		.arg = c, .on_read = db_on_read, .on_close = db_on_close};
	struct err e = ERR_INIT;

	m->conns =
		realloc(m->conns, (size_t)(m->nconns + 1) * sizeof(*m->conns));
	if (!c || !m->conns)
		abort();
	c->member = m;
	c->net = net_connect(m->db->loop, m->info.addr, &h, &e);
	if (!c->net) {
		log_warn("db", "event=connect_failed member=%s error=\"%s\"",
			 m->info.id, e.text);
		free(c);
		db_failed(m, now);
		return NULL;
	}
	net_watch_peer(c->net, DB_USER_TIMEOUT_MS);
	m->conns[m->nconns++] = c;
	m->opening++;
	db_phase(c, DB_CONNECTING, now);
	c->expected = 1;
	cnt_add(CNT_backend_connects, 1);
	line_put_startup(net_out(c->net), m->info.group, m->info.id);
	return c;
}

static bool db_has_prepared(const struct db_conn *c, uint64_t key)
{
	for (size_t i = 0; i < c->nprepared; i++)
		if (c->prepared[i] == key)
			return true;
	return false;
}

/* Each function that puts statements returns how many answers to expect. */
static int db_put_values(struct db_conn *c, const struct sctx *ctx)
{
	struct buf *out = net_out(c->net);
	int n = 0;

	if (c->values == ctx->hash)
		return 0;
	if (c->values && c->txn == 'I') {
		line_put_reset(out);
		c->nprepared = 0;
		n++;
	}
	for (size_t i = 0; i < ctx->nvalues; i++, n++)
		line_put_set(out, ctx->values[i].name, ctx->values[i].value);
	c->values = ctx->hash;
	return n;
}

static int db_put_prepared(struct db_conn *c, const struct sctx_prepared *p)
{
	if (!p || db_has_prepared(c, p->key))
		return 0;
	c->prepared =
		realloc(c->prepared, (c->nprepared + 1) * sizeof(*c->prepared));
	if (!c->prepared)
		abort();
	c->prepared[c->nprepared++] = p->key;
	line_put_prepare(net_out(c->net), p->shared, p->writes, p->shape);
	return 1;
}

static int db_put_begin(struct db_conn *c, const struct db_job *j)
{
	struct pos none = {0};

	if (!j->begin || c->txn != 'I')
		return 0;
	line_put_begin(net_out(c->net), j->begin_read,
		       j->begin_read ? j->wait : none);
	return 1;
}

static void db_send(struct db_conn *c, clk_ms now)
{
	struct db_job *j = c->job;
	struct buf *out = net_out(c->net);
	struct pos wait = {0};

	j->sent = true;

	/* In a transaction the position was checked when it began. */
	if (!j->begin && c->txn == 'I')
		wait = j->wait;
	db_phase(c, DB_RUNNING, now);
	c->sent_at = now;
	c->expected = 1;
	c->rollback = j->rollback;
	if (j->prepared)
		line_put_execute(out, j->id, wait, j->prepared->shared,
				 j->arguments);
	else
		line_put_statement(out, j->id, wait, j->text);
	if (j->rollback) {
		line_put_rollback(out);
		c->expected = 2;
	}
	net_flush(c->net);
}

void db_run(struct db_conn *c, struct db_job *j, clk_ms now)
{
	struct db_member *m = c->member;

	c->job = j;
	j->conn = c;
	j->member = m;
	j->started = now;
	j->sent = false;
	db_began(m, now);
	buf_free(&c->answer);
	db_phase(c, DB_PREPARING, now);
	c->expected = db_put_values(c, j->ctx);
	c->expected += db_put_prepared(c, j->prepared);
	c->expected += db_put_begin(c, j);
	if (c->expected)
		net_flush(c->net);
	else
		db_send(c, now);
}

/* The connection is free for the next job. */
static void db_idle_now(struct db_conn *c, clk_ms now)
{
	struct db_member *m = c->member;

	db_phase(c, DB_IDLE, now);
	c->job = NULL;
	if (!m->known)
		db_conn_free(c);
	db_next(m, now);
}

static void db_roll_back(struct db_conn *c, clk_ms now)
{
	line_put_rollback(net_out(c->net));
	net_flush(c->net);
	db_phase(c, DB_ENDING, now);
	c->expected = 1;
	c->job = NULL;
}

void db_release(struct db_conn *c)
{
	c->lost = NULL;
	db_roll_back(c, clk_now());
}

void db_close(struct db_conn *c)
{
	c->lost = NULL;
	db_conn_free(c);
}

/* What the connection holds is not certain after a failed SET or PREPARE. */
static void db_doubt_context(struct db_conn *c)
{
	c->nprepared = 0;
	if (c->phase == DB_PREPARING)
		c->values = ~c->values | 1;
}

/* Hands the connection on before the job's user may start another one. */
static void db_settle(struct db_conn *c, bool keep, clk_ms now)
{
	if (keep)
		db_phase(c, DB_KEPT, now);
	else if (c->txn != 'I')
		db_roll_back(c, now);
	else
		db_idle_now(c, now);
}

/* The statement, or what had to precede it, has been answered. */
static void db_answered(struct db_conn *c, clk_ms now)
{
	struct db_job *j = c->job;
	struct db_result r = {.status = c->failed ? DB_REFUSED : DB_DONE,
			      .sent = c->phase == DB_RUNNING,
			      .error = c->error,
			      .pos = c->pos,
			      .sent_at = c->sent_at,
			      .txn = c->txn};
	bool keep = j && r.sent && c->txn != 'I';
	struct buf answer = c->answer;
	char code[sizeof(c->code)] = "";
	char text[sizeof(c->text)] = "";

	if (r.status == DB_DONE)
		db_learn_time(c->member, now - c->sent_at);
	else if (c->error == LINE_E_OTHER || c->error == LINE_E_NO_STATEMENT)
		db_doubt_context(c);
	if (c->failed) {
		memcpy(code, c->code, sizeof(code));
		memcpy(text, c->text, sizeof(text));
		r.code = (struct span){.p = code, .len = strlen(code)};
		r.text = (struct span){.p = text, .len = strlen(text)};
	} else if (answer.mem) {
		r.answer = (struct span){.p = buf_data(&answer),
					 .len = buf_len(&answer)};
	}
	db_ended(c->member);
	c->answer = (struct buf)BUF_INIT;
	c->job = NULL;
	r.conn = keep ? c : NULL;
	db_settle(c, keep, now);
	if (j)
		db_end_job(j, &r);
	buf_free(&answer);
}

/* A phase's last READY came. */
static void db_phase_over(struct db_conn *c, clk_ms now)
{
	struct db_member *m = c->member;

	switch (c->phase) {
	case DB_CONNECTING:
		m->opening--;
		m->backoff = DB_BACKOFF_MS;
		m->full = false;
		db_idle_now(c, now);
		break;
	case DB_PREPARING:
		if (!c->failed && c->job)
			db_send(c, now);
		else
			db_answered(c, now);
		break;
	case DB_RUNNING:
		db_answered(c, now);
		break;
	case DB_ENDING:
		if (c->txn != 'I')
			db_conn_free(c);
		else
			db_idle_now(c, now);
		break;
	case DB_IDLE:
	case DB_KEPT:
		break;
	}
}

static void db_take_error(struct db_conn *c, const struct line_reply *r)
{
	if (c->failed)
		return;
	c->failed = true;
	c->error = r->error;
	snprintf(c->code, sizeof(c->code), "%.*s", (int)r->code.len, r->code.p);
	snprintf(c->text, sizeof(c->text), "%.*s", (int)r->text.len, r->text.p);
}

/* The backend refused the connection and will close it. */
static void db_refused(struct db_conn *c, clk_ms now)
{
	struct db_member *m = c->member;

	log_info("db", "event=connection_refused member=%s code=%s text=\"%s\"",
		 m->info.id, c->code, c->text);
	if (c->error == LINE_E_CONN_LIMIT || c->error == LINE_E_BUSY) {
		cnt_add(CNT_backend_full, 1);
		m->full = true;
		m->full_until =
			now + (m->share < 200 ? DB_TURN_FULL_MS : DB_FULL_MS);
		db_conn_free(c);
		db_next(m, now);
		return;
	}
	db_conn_free(c);
	db_failed(m, now);
}

/* False if the connection is gone or must not be read further. */
static bool db_take(struct db_conn *c, const struct line_reply *r, clk_ms now)
{
	if (c->phase == DB_IDLE || c->phase == DB_KEPT)
		return false;
	switch (r->type) {
	case LINE_ERROR:
		db_take_error(c, r);
		if (c->phase == DB_CONNECTING) {
			db_refused(c, now);
			return false;
		}
		break;
	case LINE_ROW:
	case LINE_COMPLETE:
		/* The completion of an added rollback is not the caller's. */
		if (c->phase == DB_RUNNING &&
		    c->expected == (c->rollback ? 2 : 1))
			buf_add(&c->answer, r->line.p, r->line.len);
		break;
	case LINE_READY:
		if (c->phase == DB_RUNNING && c->rollback && c->expected == 1) {
			c->txn = r->txn; /* pos is that of the statement */
		} else {
			c->txn = r->txn;
			c->pos = r->pos;
			c->member->pos = pos_max(c->member->pos, r->pos);
		}
		c->expected--;
		break;
	}
	return true;
}

static void db_fail(struct db_conn *c)
{
	struct db_member *m = c->member;
	struct db_job *j = c->job;
	bool connecting = c->phase == DB_CONNECTING;
	clk_ms since = c->since;
	struct db_result r = {.status = DB_LOST,
			      .sent = c->phase == DB_RUNNING,
			      .sent_at = c->sent_at};
	void (*lost)(void *arg) = c->phase == DB_KEPT ? c->lost : NULL;
	void *arg = c->lost_arg;
	clk_ms now = clk_now();

	if (c->phase != DB_IDLE)
		log_info("db",
			 "event=connection_lost member=%s phase=%d ms=%lld",
			 m->info.id, c->phase, (long long)(now - c->since));
	db_conn_free(c);
	if (j)
		db_end_job(j, &r);
	if (lost)
		lost(arg);
	/* A member that is full of work may leave a new connection waiting
	 * while it answers on others. */
	if (connecting && m->heard > since)
		m->full_until = now + DB_FULL_MS;
	else if (connecting)
		db_failed(m, now);
}

static void db_on_close(void *arg)
{
	db_fail(arg);
}

/*
 * Takes one message at a time: the connection may be freed by what follows
 * from a message, and is then not touched again.
 */
static void db_on_read(void *arg)
{
	struct db_conn *c = arg;
	struct buf *in = net_in(c->net);
	clk_ms now = clk_now();
	struct line_reply r;
	enum line_status st;
	size_t used;

	db_heard(c->member, now);
	while ((st = line_decode_reply(in, &r, &used)) == LINE_OK) {
		bool ready = r.type == LINE_READY;

		if (!db_take(c, &r, now)) {
			if (r.type != LINE_ERROR)
				db_fail(c);
			return;
		}
		buf_consume(in, used);
		if (!ready || c->expected > 0)
			continue;
		if (buf_len(in) == 0) {
			db_phase_over(c, now);
			return;
		}
		db_fail(c);
		return;
	}
	if (st == LINE_BAD) {
		cnt_add(CNT_bad_input, 1);
		log_warn("db", "event=bad_reply member=%s", c->member->info.id);
		db_fail(c);
	}
}

static clk_ms db_idle_limit(const struct db_conn *c)
{
	const struct db_member *m = c->member;

	if (m->info.leaving)
		return DB_LEAVING_IDLE_MS;
	if (m->share < 200)
		return (clk_ms)m->share * DB_TURN_MS / 100;
	if (m->nconns > db_own(m))
		return DB_EXTRA_IDLE_MS;
	return m->nconns > DB_KEEP ? DB_SPARE_IDLE_MS : DB_IDLE_MS;
}

/* Nobody waits for what the connection does. */
static bool db_is_abandoned(const struct db_conn *c)
{
	return c->phase == DB_ENDING ||
	       ((c->phase == DB_RUNNING || c->phase == DB_PREPARING) &&
		!c->job);
}

void db_conn_tick(struct db_conn *c, clk_ms now)
{
	clk_ms age = now - c->since;

	if (c->phase == DB_CONNECTING && age >= DB_CONNECT_MS)
		db_fail(c);
	else if (c->phase == DB_IDLE && age >= db_idle_limit(c))
		db_conn_free(c);
	else if (db_is_abandoned(c) && age >= DB_ABANDONED_MS)
		db_fail(c);
}
