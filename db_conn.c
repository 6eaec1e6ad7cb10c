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
		db_statement_ended(m);
	db_forget_conn(c);
	net_free(c->net);
	buf_free(&c->answer);
	free(c->context.prepared_keys);
	free(c);
}

static void db_phase(struct db_conn *c, enum db_phase phase, clk_ms now)
{
	c->phase = phase;
	c->phase_since = now;
	c->failed = false;
}

struct db_conn *db_open(struct db_member *m, const char *tenant, clk_ms now)
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
	c->context.known = true;
	snprintf(c->tenant, ID_LEN, "%s", tenant);
	c->net = net_connect(m->db->loop, m->info.addr, &h, &e);
	if (!c->net) {
		log_warn("db", "event=connect_failed member=%s error=\"%s\"",
			 m->info.id, e.text);
		free(c);
		db_connect_failed(m, now);
		return NULL;
	}
	net_set_peer_timeout(c->net, DB_USER_TIMEOUT_MS);
	m->conns[m->nconns++] = c;
	m->opening++;
	db_phase(c, DB_CONNECTING, now);
	c->ready_expected = 1;
	cnt_add(CNT_backend_connects, 1);
	line_put_startup(net_output(c->net), m->info.group, c->tenant,
			 m->info.id);
	return c;
}

static bool db_has_prepared(const struct db_context *x, uint64_t key)
{
	for (size_t i = 0; i < x->nprepared; i++)
		if (x->prepared_keys[i] == key)
			return true;
	return false;
}

static void db_forget_context(struct db_conn *c)
{
	c->context.known = false;
	c->context.changed_in_txn = false;
	c->context.nprepared = 0;
}

/* All that was sent to change the context was answered without an error. */
static void db_confirm_context(struct db_conn *c)
{
	struct db_context *x = &c->context;

	x->known = true;
	x->values_hash = x->next_values_hash;
	if (!x->next_is_prepared)
		return;
	x->prepared_keys =
		realloc(x->prepared_keys,
			(x->nprepared + 1) * sizeof(*x->prepared_keys));
	if (!x->prepared_keys)
		abort();
	x->prepared_keys[x->nprepared++] = x->next_prepared_key;
}

/* The db_put functions return how many READY messages to expect. */
static int db_put_values(struct db_conn *c, const struct sctx *ctx)
{
	struct buf *out = net_output(c->net);
	struct db_context *x = &c->context;
	int n = 0;

	x->next_values_hash = ctx->session_values_hash;
	if (x->known && x->values_hash == ctx->session_values_hash)
		return 0;
	/* Inside a transaction the values are those of the same session, and
	 * what is set replaces them. */
	if (!x->known || (x->values_hash && c->txn == 'I')) {
		line_put_reset(out);
		x->nprepared = 0;
		n++;
	}
	for (size_t i = 0; i < ctx->nvalues; i++, n++)
		line_put_set(out, ctx->values[i].name, ctx->values[i].value);
	return n;
}

static int db_put_prepared(struct db_conn *c, const struct sctx_prepared *p)
{
	struct db_context *x = &c->context;

	x->next_is_prepared = p && !db_has_prepared(x, p->content_hash);
	if (!x->next_is_prepared)
		return 0;
	x->next_prepared_key = p->content_hash;
	line_put_prepare(net_output(c->net), p->backend_name, p->writes,
			 p->statement_text);
	return 1;
}

/* Sends what the connection lacks of a job's context. */
static int db_put_context(struct db_conn *c, const struct db_job *j)
{
	struct db_context *x = &c->context;
	int n = db_put_values(c, j->ctx);

	n += db_put_prepared(c, j->prepared);
	x->answers_expected = n;
	x->known = x->known && !n;
	x->changed_in_txn |= n && c->txn != 'I';
	return n;
}

static int db_put_begin(struct db_conn *c, const struct db_job *j)
{
	struct pos none = {0};

	if (!j->begin || c->txn != 'I')
		return 0;
	line_put_begin(net_output(c->net), j->begin_read_only,
		       j->begin_read_only ? j->required_pos : none);
	return 1;
}

static void db_answered(struct db_conn *c, clk_ms now);

void db_log_without_lease(const struct db_member *m, const struct db_job *j,
			  clk_ms now)
{
	log_info("db", "event=no_lease member=%s id=%.*s ended_ms=%lld",
		 m->info.id, (int)j->id.len, j->id.p,
		 (long long)(m->lease_until ? now - m->lease_until : -1));
	cnt_add(CNT_retry_no_lease, 1);
}

static bool db_is_authorized(const struct db_job *j, clk_ms now)
{
	return !j->authorized_until || now < j->authorized_until;
}

static void db_log_key_expired(const struct db_member *m,
			       const struct db_job *j, clk_ms now)
{
	log_info("db",
		 "event=key_expired member=%s tenant=%s id=%.*s ended_ms=%lld",
		 m->info.id, j->tenant, (int)j->id.len, j->id.p,
		 (long long)(now - j->authorized_until));
	cnt_add(CNT_key_expired_unsent, 1);
}

/* Ends a job before its statement was sent, because the lease of the member or
 * the time for which the caller's API key may be used ended while the job
 * waited or the connection was prepared. */
static void db_refuse_unsent(struct db_conn *c, enum line_error error,
			     clk_ms now)
{
	c->failed = true;
	c->error = error;
	c->code[0] = '\0';
	c->text[0] = '\0';
	db_answered(c, now);
}

static void db_send(struct db_conn *c, clk_ms now)
{
	struct db_job *j = c->job;
	struct buf *out = net_output(c->net);
	struct pos wait = {0};

	if (!db_has_lease(c->member, j, now)) {
		db_log_without_lease(c->member, j, now);
		db_refuse_unsent(c, LINE_E_NOT_PRIMARY, now);
		return;
	}
	if (!db_is_authorized(j, now)) {
		db_log_key_expired(c->member, j, now);
		db_refuse_unsent(c, LINE_E_KEY_EXPIRED, now);
		return;
	}
	j->sent = true;

	/* Inside a transaction the position was checked when it began. */
	if (!j->begin && c->txn == 'I')
		wait = j->required_pos;
	db_phase(c, DB_RUNNING, now);
	c->sent_at = now;
	c->ready_expected = 1;
	c->rollback = j->rollback;
	if (j->prepared)
		line_put_execute(out, j->id, wait, j->prepared->backend_name,
				 j->arguments);
	else
		line_put_statement(out, j->id, wait, j->text);
	if (j->rollback) {
		line_put_rollback(out);
		c->ready_expected = 2;
	}
	net_flush(c->net);
}

void db_run(struct db_conn *c, struct db_job *j, clk_ms now)
{
	struct db_member *m = c->member;

	c->job = j;
	c->priority = j->priority;
	c->used = true;
	j->conn = c;
	j->member = m;
	j->started_at = now;
	j->sent = false;
	db_statement_started(m, now);
	buf_free(&c->answer);
	db_phase(c, DB_PREPARING, now);
	c->ready_expected = db_put_context(c, j);
	c->ready_expected += db_put_begin(c, j);
	if (c->ready_expected)
		net_flush(c->net);
	else
		db_send(c, now);
}

/* Marks the connection as free for the next job. */
static void db_make_idle(struct db_conn *c, clk_ms now)
{
	struct db_member *m = c->member;

	db_phase(c, DB_IDLE, now);
	c->job = NULL;
	if (!m->in_roster)
		db_conn_free(c);
	db_dispatch(m, now);
}

static void db_roll_back(struct db_conn *c, clk_ms now)
{
	if (c->context.changed_in_txn)
		db_forget_context(c);
	line_put_rollback(net_output(c->net));
	net_flush(c->net);
	db_phase(c, DB_ENDING, now);
	c->ready_expected = 1;
	c->job = NULL;
}

void db_roll_back_kept(struct db_conn *c)
{
	c->on_lost = NULL;
	db_roll_back(c, clk_now());
}

void db_close_kept(struct db_conn *c)
{
	c->on_lost = NULL;
	db_conn_free(c);
}

/* Handles what the outcome of a statement tells of the context. */
static void db_check_context(struct db_conn *c, enum db_status status)
{
	if (status != DB_DONE &&
	    (c->error == LINE_E_OTHER || c->error == LINE_E_NO_STATEMENT))
		db_forget_context(c);
	if (c->txn != 'I' || !c->context.changed_in_txn)
		return;
	/* Only a COMMIT ends a transaction with success. */
	if (status != DB_DONE)
		db_forget_context(c);
	c->context.changed_in_txn = false;
}

/* Keeps the connection, rolls it back or frees it for the next job. Called
 * before the job's callback, which may start another job. */
static void db_after_answer(struct db_conn *c, bool keep, clk_ms now)
{
	if (keep)
		db_phase(c, DB_KEPT, now);
	else if (c->txn != 'I')
		db_roll_back(c, now);
	else
		db_make_idle(c, now);
}

/* Handles the complete answer to the statement, or a failure of what had to
 * precede it. */
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

	if (r.sent && (r.status == DB_DONE || c->error == LINE_E_OTHER))
		db_learn(c, j, now);
	if (r.status == DB_DONE)
		db_record_response_time(c->member, now - c->sent_at);
	db_check_context(c, r.status);
	if (c->failed) {
		memcpy(code, c->code, sizeof(code));
		memcpy(text, c->text, sizeof(text));
		r.code = (struct span){.p = code, .len = strlen(code)};
		r.text = (struct span){.p = text, .len = strlen(text)};
	} else if (answer.mem) {
		r.answer = (struct span){.p = buf_data(&answer),
					 .len = buf_len(&answer)};
	}
	db_statement_ended(c->member);
	c->answer = (struct buf)BUF_INIT;
	c->job = NULL;
	r.conn = keep ? c : NULL;
	db_after_answer(c, keep, now);
	if (j)
		db_end_job(j, &r);
	buf_free(&answer);
}

/* Handles the last READY message of a phase. */
static void db_phase_over(struct db_conn *c, clk_ms now)
{
	struct db_member *m = c->member;

	switch (c->phase) {
	case DB_CONNECTING:
		m->opening--;
		m->backoff = DB_BACKOFF_MS;
		m->conn_limit_reached = false;
		db_make_idle(c, now);
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
			db_make_idle(c, now);
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

/* Handles that the backend refused the connection, which it will close. */
static void db_refused(struct db_conn *c, clk_ms now)
{
	struct db_member *m = c->member;

	log_info("db", "event=connection_refused member=%s code=%s text=\"%s\"",
		 m->info.id, c->code, c->text);
	if (c->error == LINE_E_CONN_LIMIT || c->error == LINE_E_BUSY) {
		cnt_add(CNT_backend_full, 1);
		m->conn_limit_reached = true;
		m->conn_limit_until =
			now + (m->by_tenant || m->own_conns_percent < 200
				       ? DB_SCARCE_CONN_LIMIT_PAUSE_MS
				       : DB_CONN_LIMIT_PAUSE_MS);
		db_conn_free(c);
		db_dispatch(m, now);
		return;
	}
	db_conn_free(c);
	db_connect_failed(m, now);
}

/* Handles one reply. Returns false if the connection was freed or must not be
 * read further. */
static bool db_handle_reply(struct db_conn *c, const struct line_reply *r,
			    clk_ms now)
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
		/* The completion of the appended rollback is not passed to the
		 * caller. */
		if (c->phase == DB_RUNNING &&
		    c->ready_expected == (c->rollback ? 2 : 1))
			buf_add(&c->answer, r->line.p, r->line.len);
		break;
	case LINE_READY:
		if (c->phase == DB_RUNNING && c->rollback &&
		    c->ready_expected == 1) {
			/* keep the position of the statement */
			c->txn = r->txn_state;
		} else {
			c->txn = r->txn_state;
			c->pos = r->pos;
			c->member->pos = pos_max(c->member->pos, r->pos);
		}
		c->ready_expected--;
		if (c->phase == DB_PREPARING && c->context.answers_expected &&
		    !--c->context.answers_expected && !c->failed)
			db_confirm_context(c);
		break;
	}
	return true;
}

static void db_conn_lost(struct db_conn *c)
{
	struct db_member *m = c->member;
	struct db_job *j = c->job;
	bool connecting = c->phase == DB_CONNECTING;
	clk_ms since = c->phase_since;
	struct db_result r = {.status = DB_LOST,
			      .sent = c->phase == DB_RUNNING,
			      .sent_at = c->sent_at};
	void (*lost)(void *arg) = c->phase == DB_KEPT ? c->on_lost : NULL;
	void *arg = c->lost_arg;
	clk_ms now = clk_now();

	if (c->phase != DB_IDLE)
		log_info("db",
			 "event=connection_lost member=%s phase=%d ms=%lld",
			 m->info.id, c->phase,
			 (long long)(now - c->phase_since));
	db_conn_free(c);
	if (j)
		db_end_job(j, &r);
	if (lost)
		lost(arg);
	/* An overloaded member may leave a new connection unanswered while it
	 * answers on others; this is not a failure of the member. */
	if (connecting && m->last_received > since)
		m->conn_limit_until = now + DB_CONN_LIMIT_PAUSE_MS;
	else if (connecting)
		db_connect_failed(m, now);
}

static void db_on_close(void *arg)
{
	db_conn_lost(arg);
}

/* Handles one message at a time: handling it may free the connection, which
 * must not be used afterwards. */
static void db_on_read(void *arg)
{
	struct db_conn *c = arg;
	struct buf *in = net_input(c->net);
	clk_ms now = clk_now();
	struct line_reply r;
	enum line_decode_result st;
	size_t used;

	db_note_received(c->member, now);
	while ((st = line_decode_reply(in, &r, &used)) == LINE_OK) {
		bool ready = r.type == LINE_READY;

		if (!db_handle_reply(c, &r, now)) {
			if (r.type != LINE_ERROR)
				db_conn_lost(c);
			return;
		}
		buf_consume(in, used);
		if (!ready || c->ready_expected > 0)
			continue;
		if (buf_len(in) == 0) {
			db_phase_over(c, now);
			return;
		}
		db_conn_lost(c);
		return;
	}
	if (st == LINE_INVALID) {
		cnt_add(CNT_bad_input, 1);
		log_warn("db", "event=bad_reply member=%s", c->member->info.id);
		db_conn_lost(c);
	}
}

static clk_ms db_idle_limit(const struct db_conn *c)
{
	const struct db_member *m = c->member;

	if (m->info.leaving)
		return DB_LEAVING_IDLE_MS;
	if (m->own_conns_percent < 200)
		return (clk_ms)m->own_conns_percent * DB_SCARCE_IDLE_MS / 100;
	if (m->by_tenant)
		return DB_IDLE_MS; /* see db_close_extra() */
	if (m->nconns > db_own_connections(m))
		return DB_EXTRA_IDLE_MS;
	return m->nconns > DB_LONG_IDLE_CONNS ? DB_SPARE_IDLE_MS : DB_IDLE_MS;
}

/* True if no job waits for what the connection does. */
static bool db_is_abandoned(const struct db_conn *c)
{
	return c->phase == DB_ENDING ||
	       ((c->phase == DB_RUNNING || c->phase == DB_PREPARING) &&
		!c->job);
}

void db_conn_tick(struct db_conn *c, clk_ms now)
{
	clk_ms age = now - c->phase_since;

	if (c->phase == DB_CONNECTING && age >= DB_CONNECT_TIMEOUT_MS)
		db_conn_lost(c);
	else if (c->phase == DB_IDLE && age >= db_idle_limit(c))
		db_conn_free(c);
	else if (db_is_abandoned(c) && age >= DB_ABANDONED_TIMEOUT_MS)
		db_conn_lost(c);
}
