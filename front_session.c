#include "front_priv.h"

#include "counter.h"
#include "log.h"
#include "platform/line.h"

#include <stdio.h>
#include <string.h>

static char front_txn_state(const struct front_session *s)
{
	switch (s->txn) {
	case FRONT_NONE:
		return 'I';
	case FRONT_BEGUN:
	case FRONT_OPEN:
		return 'T';
	case FRONT_FAILED:
		break;
	}
	return 'E';
}

void front_answer_ready(struct front_session *s)
{
	line_put_ready(net_output(s->conn), front_txn_state(s), s->last_pos);
	net_flush(s->conn);
}

void front_refuse(struct front_session *s, enum res r, const char *text)
{
	line_put_error(net_output(s->conn), r, text);
	front_answer_ready(s);
}

static void front_answer_locally(struct front_session *s)
{
	line_put_complete(net_output(s->conn));
	front_answer_ready(s);
}

static void front_log_refusal(const struct front_session *s,
			      const struct stmt *st, enum res r)
{
	cnt_add_refusal(r);
	log_info(
		"front",
		"event=refused id=%.*s database=%s kind=%d txn=%d reason=%s "
		"config=%lld tenant=%s",
		(int)st->id.len, st->id.p ? st->id.p : "", s->database,
		st->kind, s->txn, res_name(r),
		(long long)(s->server->routes ? s->server->routes->version : 0),
		s->tenant);
}

static void front_reject(struct front_session *s, const struct stmt *st,
			 enum res r)
{
	front_log_refusal(s, st, r);
	front_refuse(s, r, res_text(r));
}

/* Looks up the current route for a new statement or transaction. */
static bool front_route(struct front_session *s, const struct stmt *st)
{
	const struct rt_database *d =
		rt_find_database(s->server->routes, s->database);

	if (!d) {
		front_reject(s, st, RES_NO_DATABASE);
		return false;
	}
	s->route = *d;
	memcpy(s->group, d->group, ID_LEN);
	return true;
}

static void front_begin(struct front_session *s, const struct stmt *st)
{
	if (s->txn != FRONT_NONE) {
		front_reject(s, st, RES_BAD_SQL);
		return;
	}
	if (!front_route(s, st))
		return;
	s->txn = FRONT_BEGUN;
	front_watch(s);
	s->txn_read_only = st->kind == STMT_BEGIN_READ;
	s->txn_has_writes = false;
	s->txn_since = clk_now();
	front_answer_locally(s);
}

static void front_rollback(struct front_session *s)
{
	front_release_kept(s);
	s->txn = FRONT_NONE;
	s->txn_failure = RES_OK;
	front_answer_locally(s);
}

/* Answers COMMIT of a failed transaction with an error; none of its changes
 * were committed. */
static void front_commit_failed(struct front_session *s, const struct stmt *st)
{
	enum res r = s->txn_failure;

	if (r != RES_STOPPING && r != RES_AUTH)
		r = RES_PRIMARY_CHANGED;
	front_release_kept(s);
	s->txn = FRONT_NONE;
	s->txn_failure = RES_OK;
	front_reject(s, st, r);
}

static void front_run(struct front_session *s, const struct stmt *st,
		      bool writes, const struct sctx_prepared *prepared)
{
	struct front_run *run = &s->run;
	struct buf *in = net_input(s->conn);
	const char *base = buf_data(in);
	size_t len = (size_t)(st->text.p + st->text.len - base);
	const char *copy;

	if (s->txn == FRONT_NONE && !front_route(s, st))
		return;
	/* The caller's bytes are consumed from the input buffer while the
	 * statement runs, so it is copied. */
	buf_free(&run->line);
	buf_add(&run->line, base, len);
	copy = buf_data(&run->line);
	run->stmt = *st;
	run->stmt.id.p = copy + (st->id.p - base);
	run->stmt.text.p = copy + (st->text.p - base);
	if (st->value.p)
		run->stmt.value.p = copy + (st->value.p - base);
	run->active = true;
	run->commits = st->kind == STMT_COMMIT;
	run->writes = writes;
	run->is_read = !writes && !run->commits;
	s->job.prepared = prepared;
	cnt_add(CNT_statements, 1);
	front_start_statement(s, clk_now());
}

static void front_execute(struct front_session *s, const struct stmt *st)
{
	const struct sctx_prepared *p = sctx_find(&s->ctx, st->name);

	if (!p)
		front_reject(s, st, RES_BAD_SQL);
	else
		front_run(s, st, p->writes, p);
}

static void front_commit(struct front_session *s, const struct stmt *st)
{
	if (s->txn == FRONT_NONE)
		front_reject(s, st, RES_BAD_SQL);
	else if (s->txn == FRONT_FAILED)
		front_commit_failed(s, st);
	else
		front_run(s, st, false, NULL);
}

/* Whether the statement is for a member, or begins a transaction. */
static bool front_needs_member(const struct stmt *st)
{
	switch (st->kind) {
	case STMT_READ:
	case STMT_WRITE:
	case STMT_EXECUTE:
	case STMT_BEGIN:
	case STMT_BEGIN_READ:
	case STMT_COMMIT:
		return true;
	case STMT_ROLLBACK:
	case STMT_SET:
	case STMT_PREPARE:
	case STMT_DEALLOCATE:
	case STMT_MALFORMED:
		break;
	}
	return false;
}

/* Whether the statement needs a valid API key: all but a rollback. */
static bool front_needs_key(const struct stmt *st)
{
	return st->kind != STMT_ROLLBACK && st->kind != STMT_MALFORMED;
}

/* Refuses a statement for a reason that ends its transaction. */
static void front_reject_txn(struct front_session *s, const struct stmt *st,
			     enum res r)
{
	if (s->txn != FRONT_NONE) {
		front_release_kept(s);
		s->txn = st->kind == STMT_COMMIT ? FRONT_NONE : FRONT_FAILED;
	}
	front_reject(s, st, r);
}

static void front_statement(struct front_session *s, const struct stmt *st)
{
	if (s->server->refuse_statements && s->txn != FRONT_FAILED &&
	    front_needs_member(st)) {
		front_reject_txn(s, st, RES_STOPPING);
		return;
	}
	if (s->txn == FRONT_FAILED && st->kind != STMT_COMMIT &&
	    st->kind != STMT_ROLLBACK) {
		enum res r = s->txn_failure ? s->txn_failure : RES_BAD_SQL;

		s->txn_failure = RES_OK;
		front_reject(s, st, r);
		return;
	}
	if (s->txn != FRONT_FAILED && front_needs_key(st)) {
		enum res r = front_check_key(s, clk_now());

		if (r) {
			front_reject_txn(s, st, r);
			return;
		}
	}
	switch (st->kind) {
	case STMT_READ:
		front_run(s, st, false, NULL);
		break;
	case STMT_WRITE:
		front_run(s, st, true, NULL);
		break;
	case STMT_EXECUTE:
		front_execute(s, st);
		break;
	case STMT_BEGIN:
	case STMT_BEGIN_READ:
		front_begin(s, st);
		break;
	case STMT_COMMIT:
		front_commit(s, st);
		break;
	case STMT_ROLLBACK:
		front_rollback(s);
		break;
	case STMT_SET:
		sctx_set(&s->ctx, st->name, st->value);
		front_answer_locally(s);
		break;
	case STMT_PREPARE:
		sctx_prepare(&s->ctx, st->name, st->writes, st->value);
		front_answer_locally(s);
		break;
	case STMT_DEALLOCATE:
		sctx_deallocate(&s->ctx, st->name);
		front_answer_locally(s);
		break;
	case STMT_MALFORMED:
		cnt_add(CNT_bad_input, 1);
		front_reject(s, st, RES_BAD_SQL);
		break;
	}
}

/* Refuses a session and closes its connection. */
static void front_refuse_startup(struct front_session *s, enum res r)
{
	struct stmt none = {.kind = STMT_MALFORMED};

	front_log_refusal(s, &none, r);
	line_put_error(net_output(s->conn), r, res_text(r));
	s->closing = true;
	net_close_after_flush(s->conn);
}

static void front_startup(struct front_session *s,
			  const struct line_caller_msg *call)
{
	struct buf *in = net_input(s->conn);
	enum res r;

	front_take_key(s, buf_data(in) + (call->api_key.p - buf_data(in)),
		       call->api_key.len);
	snprintf(s->database, sizeof(s->database), "%.*s",
		 (int)call->database.len, call->database.p);
	if (call->database.len >= sizeof(s->database) ||
	    !rt_find_database(s->server->routes, s->database)) {
		front_refuse_startup(s, RES_NO_DATABASE);
		return;
	}
	r = front_check_key(s, clk_now());
	if (r) {
		front_refuse_startup(s, r);
		return;
	}
	s->started = true;
	front_answer_ready(s);
}

static void front_protocol_error(struct front_session *s)
{
	cnt_add(CNT_bad_input, 1);
	log_warn("front", "event=bad_message database=%s started=%d",
		 s->database, s->started);
	line_put_error(net_output(s->conn), RES_BAD_MESSAGE,
		       res_text(RES_BAD_MESSAGE));
	s->closing = true;
	net_close_after_flush(s->conn);
}

static void front_handle_message(struct front_session *s,
				 const struct line_caller_msg *call)
{
	s->last_activity = clk_now();
	switch (call->type) {
	case LINE_STARTUP:
		if (s->started)
			front_protocol_error(s);
		else
			front_startup(s, call);
		break;
	case LINE_STATEMENT:
		if (s->started)
			front_statement(s, &call->stmt);
		else
			front_protocol_error(s);
		break;
	case LINE_TERMINATE:
		s->closing = true;
		net_close_after_flush(s->conn);
		break;
	}
}

/* Returns whether the session may be closed while draining; its caller then
 * connects to another instance. */
static bool front_is_idle(const struct front_session *s)
{
	return s->started && !s->run.active && s->txn == FRONT_NONE &&
	       !buf_len(net_input(s->conn));
}

/* Handles received messages until one waits for a backend. */
void front_process_input(struct front_session *s)
{
	struct line_caller_msg call;
	enum line_decode_result st;
	size_t used;

	if (s->processing_input)
		return;
	s->processing_input = true;
	while (!s->run.active && !s->closing) {
		st = line_decode_caller_msg(net_input(s->conn), &call, &used);
		if (st == LINE_INVALID)
			front_protocol_error(s);
		if (st != LINE_OK)
			break;
		front_handle_message(s, &call);
		buf_consume(net_input(s->conn), used);
	}
	s->processing_input = false;
	if (s->server->draining && !s->closing && front_is_idle(s)) {
		s->closing = true;
		net_close_after_flush(s->conn);
	}
}
