#include "caller_priv.h"

#include "net.h"
#include "request.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct caller_request *caller_request_new(void)
{
	struct caller_request *req = calloc(1, sizeof(*req));

	if (!req)
		abort();
	return req;
}

void caller_request_free(struct caller_request *req)
{
	if (!req)
		return;
	caller_statement_unref(req->prep);
	free(req->describe_params);
	free(req->simple_sql);
	free(req);
}

void caller_release_pin(struct caller *c)
{
	if (c->pin)
		req_release_pin(c->callers->cfg.request_engine, c->customer,
				c->pin_backend, c->pin);
	c->pin = 0;
}

/* Length of the message at p, including its type byte. */
static size_t relay_length(const char *p)
{
	uint32_t len;

	memcpy(&len, p + 1, sizeof(len));
	return (size_t)ntohl(len) + 1;
}

/* Applies the row limit of an Execute. Returns true if the message is sent to
 * the caller now, false if it is kept for a later Execute. */
static bool relay_within_limit(struct caller_request *req, char type)
{
	if (!req->row_limit)
		return true;
	if (req->portal->suspended)
		return false;
	if (type == 'D')
		req->rows_sent++;
	if (type == 'D' && req->rows_sent == req->row_limit)
		req->portal->suspended = true;
	return true;
}

/*
 * Relays a RowDescription. For a Describe of a portal, it sets the format code
 * of each column to the portal's result format, because the backend described
 * the statement, where format codes are always zero.
 */
static void relay_description(struct caller *c, struct caller_request *req,
			      const char *p, size_t len)
{
	struct buf *out = caller_out(c);
	size_t mark = buf_len(out);
	char *at;
	char *end;

	buf_add(out, p, len);
	if (!req->portal_describe || !req->portal ||
	    !req->portal->result_format)
		return;
	at = buf_data(out) + mark + 7;
	end = buf_data(out) + buf_len(out);
	while (at < end) {
		at += strlen(at) + 1 + 18;
		at[-1] = (char)req->portal->result_format;
	}
}

static void relay_message(struct caller *c, struct caller_request *req,
			  const char *p, size_t len)
{
	if (req->row_description_due && !req->response_started && *p != 'N') {
		/* The Describe must be answered with NoData if the statement
		 * returns no rows. */
		if (*p == 'D' || *p == 'C' || *p == 'I')
			pgw_put_bodyless_message(caller_out(c), 'n');
		req->response_started = true;
	}
	switch (*p) {
	case 't':
		if (!req->portal_describe)
			buf_add(caller_out(c), p, len);
		return;
	case 'T':
		relay_description(c, req, p, len);
		return;
	case 'E':
		req->error_sent = true;
		break;
	case 'D':
	case 'C':
		if (!relay_within_limit(req, *p)) {
			buf_add(&req->portal->unfetched, p, len);
			return;
		}
		break;
	default:
		break;
	}
	buf_add(caller_out(c), p, len);
}

void caller_relay_response(struct caller *c, struct caller_request *req,
			   const char *bytes, size_t len)
{
	size_t at = 0;

	while (at + 5 <= len) {
		size_t n = relay_length(bytes + at);

		if (n > len - at)
			break;
		relay_message(c, req, bytes + at, n);
		at += n;
	}
}

static void request_on_data(void *arg, const char *bytes, size_t len)
{
	struct caller *c = arg;
	size_t kept = c->in_flight->portal
			      ? buf_len(&c->in_flight->portal->unfetched)
			      : 0;

	if (c->phase == CALLER_CLOSING)
		return;
	caller_relay_response(c, c->in_flight, bytes, len);
	if (buf_len(caller_out(c)) + kept > CALLER_OUTPUT_MAX)
		caller_fatal(c, RES_TOO_LARGE,
			     "answer is not being read fast enough");
	else
		net_flush(c->conn);
}

/* True if the statement may have reached a backend, so that the reported
 * transaction state is valid. */
static bool request_reached_backend(const struct msg_end *end)
{
	return end->res == RES_OK || end->res == RES_SQL_ERROR ||
	       res_ran((enum res)end->res) != RES_RAN_NOT_RUN;
}

static bool request_ends_transaction(const struct caller_request *req)
{
	return req->stmt_class.kind == CLS_COMMIT ||
	       req->stmt_class.kind == CLS_ROLLBACK;
}

static void request_clear_transaction(struct caller *c)
{
	c->txn_state = 'I';
	c->txn_failed = false;
	ses_end_transaction(&c->session);
}

/* Updates the state when the caller has no pinned connection after a request:
 * the transaction has ended or the connection was lost. */
static void request_pin_ended(struct caller *c,
			      const struct caller_request *req,
			      const struct msg_end *end)
{
	bool had_pin = c->pin != 0;

	c->pin = 0;
	if (req->txn_state_before == 'I' || request_ends_transaction(req)) {
		request_clear_transaction(c);
	} else if (had_pin) {
		/* Statements that follow belong to the lost transaction and
		 * must not run outside of it. They are refused until ROLLBACK
		 * or COMMIT. */
		c->txn_state = 'T';
		c->txn_failed = true;
	}
	if (c->session_pinned && (had_pin || end->res == RES_OK))
		caller_fatal(c, RES_CLOSED,
			     "the server connection that held this session's "
			     "state was lost");
	c->session_pinned = false;
}

/* Updates the state when the caller has a pinned connection after a request. */
static void request_pin_continues(struct caller *c, const struct msg_end *end)
{
	if (c->pin != end->pinned_conn_id) {
		snprintf(c->pin_backend, sizeof(c->pin_backend), "%s",
			 req_last_backend(c->callers->cfg.request_engine));
		c->pin_term = req_last_term(c->callers->cfg.request_engine);
	}
	c->pin = end->pinned_conn_id;
	if (!request_reached_backend(end)) {
		/* The statement was refused before it was sent. The
		 * transaction is still open on the backend, but must not
		 * commit without this statement. */
		c->txn_failed |= c->txn_state != 'I';
		return;
	}
	if (end->txn_status_char == 'I') {
		request_clear_transaction(c);
		return;
	}
	c->txn_state = 'T';
	c->txn_failed = end->txn_status_char == 'E' || end->res != RES_OK;
}

static void request_update_txn_state(struct caller *c,
				     const struct caller_request *req,
				     const struct msg_end *end)
{
	if (req->kind == RUN_DESCRIBE && !c->pin)
		return;
	if (end->pinned_conn_id)
		request_pin_continues(c, end);
	else
		request_pin_ended(c, req, end);
}

/* Records when this proxy first received the group's token entry, which says
 * what the statement must see. */
static void request_note_token_entry(struct caller *c,
				     const struct token *token)
{
	const struct tok_entry *e = tok_find(token, c->group);

	if (!e || (e->term == c->latest_token_entry.term &&
		   e->position == c->latest_token_entry.position))
		return;
	c->latest_token_entry = *e;
	c->token_entry_seen_at = clk_now();
}

static void request_report_write(struct caller *c, const struct msg_end *end)
{
	if (!end->write_term)
		return;
	if (ses_record_write(&c->session, c->group, end->write_term,
			     end->write_position))
		caller_report_session(c);
	if (c->session.token)
		request_note_token_entry(c, c->session.token);
}

static void request_report_error(struct caller *c,
				 const struct caller_request *req,
				 const struct msg_end *end)
{
	enum res res = (enum res)end->res;
	const char *state = end->sqlstate;
	char text[512];

	if (res == RES_OK || req->error_sent)
		return;
	if (res != RES_SQL_ERROR || !*state)
		state = res_sqlstate(res);
	if (end->text.len)
		snprintf(text, sizeof(text), "%.*s", (int)end->text.len,
			 end->text.data);
	else
		snprintf(text, sizeof(text), "%s", res_text(res));
	caller_error(c, res, state, text);
}

static void request_on_end(void *arg, const struct msg_end *end)
{
	struct caller *c = arg;
	struct caller_request *req = c->in_flight;
	bool ok = end->res == RES_OK;

	c->in_flight = NULL;
	c->engine_request = 0;
	c->timeout_start =
		c->phase == CALLER_READY ? clk_now() : c->timeout_start;
	if (c->phase == CALLER_CLOSING) {
		request_update_txn_state(c, req, end);
		caller_request_free(req);
		return;
	}
	request_report_error(c, req, end);
	request_report_write(c, end);
	request_update_txn_state(c, req, end);
	if (c->phase != CALLER_CLOSING) {
		if (req->is_simple_query)
			caller_send_ready(c);
		else
			caller_extended_request_ended(c, req, ok);
	}
	caller_request_free(req);
	caller_process_input(c);
}

static enum run_kind request_kind(const struct caller *c,
				  const struct caller_request *req)
{
	if (c->txn_state != 'I')
		return RUN_IN_TXN;
	switch (req->stmt_class.kind) {
	case CLS_BEGIN:
		return RUN_BEGIN;
	case CLS_READ:
		return RUN_READ;
	default:
		return RUN_WRITE;
	}
}

static int64_t request_flags(const struct caller *c,
			     const struct caller_request *req)
{
	int64_t flags = 0;

	if (req->is_simple_query)
		flags |= RUN_SIMPLE_QUERY;
	if (req->row_description_due)
		flags |= RUN_ROW_DESCRIPTION;
	if (c->session_pinned)
		flags |= RUN_PIN_CONN;
	return flags;
}

static void request_set_sql(const struct caller *c,
			    const struct caller_request *req,
			    struct flt_request *rq)
{
	const char *sql =
		req->is_simple_query ? req->simple_sql : req->prep->sql;

	/* COMMIT of a failed transaction rolls it back, as in PostgreSQL. */
	if (c->txn_failed && req->stmt_class.kind == CLS_COMMIT)
		sql = "ROLLBACK";
	rq->sql = (struct blob){.data = sql, .len = strlen(sql)};
	rq->fingerprint = req->stmt_class.fingerprint;
}

static void request_set_params(struct caller_request *req,
			       struct flt_request *rq)
{
	if (req->portal && !req->portal_describe) {
		rq->params = req->portal->params;
		rq->nparams = req->portal->nparams;
		rq->result_format = req->portal->result_format;
	} else if (req->prep && req->prep->nparam_types) {
		int n = req->prep->nparam_types;

		req->describe_params =
			calloc((size_t)n, sizeof(*req->describe_params));
		if (!req->describe_params)
			abort();
		for (int i = 0; i < n; i++)
			req->describe_params[i] = (struct run_param){
				.null = true,
				.type = req->prep->param_types[i]};
		rq->params = req->describe_params;
		rq->nparams = n;
	}
}

static void request_set_session(struct caller *c,
				const struct caller_request *req,
				struct flt_request *rq)
{
	const struct ses_statement_values *st = &req->session_values;

	request_note_token_entry(c, &st->token);
	rq->token = &st->token;
	rq->token_first_seen = c->token_entry_seen_at;
	rq->session_unknown = st->token_unknown;
	rq->max_age_ms = st->max_age_ms;
	rq->max_wait_ms = st->max_wait_ms;
	rq->repeatable = req->stmt_class.kind == CLS_READ
				 ? st->repeatable != SES_NOTHING_REPEATABLE
				 : st->repeatable == SES_ALL_REPEATABLE;
	rq->request_id = "";
	if (req->kind == RUN_WRITE || req->kind == RUN_BEGIN)
		rq->request_id = st->request_id;
	rq->pin = c->pin;
	snprintf(rq->pin_backend, sizeof(rq->pin_backend), "%s",
		 c->pin_backend);
	rq->pin_term = c->pin_term;
}

/* The session's request id is valid for one write or transaction only. */
static void request_consume_request_id(struct caller *c,
				       const struct caller_request *req)
{
	if (!req->session_values.request_id_from_comment &&
	    req->session_values.request_id[0] &&
	    (req->kind == RUN_WRITE || req->kind == RUN_BEGIN))
		ses_clear_request_id(&c->session);
}

/* Number of bytes that the caller has not read yet, so that a caller that reads
 * slowly causes back pressure on the backend. */
static size_t request_output_backlog(void *arg)
{
	return buf_len(caller_out(arg));
}

static void request_submit(struct caller *c, struct caller_request *req)
{
	struct flt_request rq = {.kind = req->kind};
	struct exec_sink sink = {.arg = c,
				 .on_data = request_on_data,
				 .on_end = request_on_end,
				 .backlog = request_output_backlog};

	snprintf(rq.customer, sizeof(rq.customer), "%s", c->customer);
	snprintf(rq.group, sizeof(rq.group), "%s", c->group);
	rq.flags = request_flags(c, req);
	request_set_sql(c, req, &rq);
	request_set_params(req, &rq);
	request_set_session(c, req, &rq);
	request_consume_request_id(c, req);
	req->txn_state_before = c->txn_state;
	c->in_flight = req;
	c->engine_request =
		req_start(c->callers->cfg.request_engine, &rq, &sink);
}

bool caller_start_request(struct caller *c, struct caller_request *req)
{
	const char *sql =
		req->is_simple_query ? req->simple_sql : req->prep->sql;
	struct err e = ERR_INIT;
	bool describes = req->kind == RUN_DESCRIBE;

	if (ses_resolve_statement(&c->session, sql, &req->session_values, &e) !=
	    RES_OK) {
		caller_refuse(c, e.code, e.text);
		caller_request_free(req);
		return false;
	}
	if (!describes && caller_answer_locally(c, req)) {
		caller_request_free(req);
		return false;
	}
	if (!describes) {
		if (req->stmt_class.kind == CLS_SESSION)
			c->session_pinned = true;
		req->kind = request_kind(c, req);
	}
	request_submit(c, req);
	return true;
}

void caller_start_simple_query(struct caller *c, const char *sql, size_t len)
{
	struct caller_request *req = caller_request_new();
	struct err e = ERR_INIT;

	req->is_simple_query = true;
	req->simple_sql = strndup(sql, len);
	if (!req->simple_sql)
		abort();
	if (cls_classify(c->callers->class_table, req->simple_sql,
			 &req->stmt_class, &e) != RES_OK) {
		caller_refuse(c, e.code, e.text);
		caller_request_free(req);
		caller_send_ready(c);
		return;
	}
	if (!caller_start_request(c, req))
		caller_send_ready(c);
}
