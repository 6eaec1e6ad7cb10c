#include "caller_priv.h"

#include "net.h"
#include "request.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct caller_run *caller_run_new(void)
{
	struct caller_run *run = calloc(1, sizeof(*run));

	if (!run)
		abort();
	return run;
}

void caller_run_free(struct caller_run *run)
{
	if (!run)
		return;
	caller_prep_unref(run->prep);
	free(run->types);
	free(run->own_sql);
	free(run);
}

void caller_drop_pin(struct caller *c)
{
	if (c->pin)
		req_unpin(c->all->cfg.req, c->customer, c->pin_backend, c->pin);
	c->pin = 0;
}

/* Length of the message at p, with its type byte. */
static size_t relay_length(const char *p)
{
	uint32_t len;

	memcpy(&len, p + 1, sizeof(len));
	return (size_t)ntohl(len) + 1;
}

/* True if the row goes to the caller now, false if it is kept for a later
 * Execute. */
static bool relay_fits(struct caller_run *run, char type)
{
	if (!run->limit)
		return true;
	if (run->portal->suspended)
		return false;
	if (type == 'D')
		run->rows++;
	if (type == 'D' && run->rows == run->limit)
		run->portal->suspended = true;
	return true;
}

/* RowDescription of a portal's description: its columns are sent in the
 * portal's format, which the description of a statement leaves out. */
static void relay_description(struct caller *c, struct caller_run *run,
			      const char *p, size_t len)
{
	struct buf *out = caller_out(c);
	size_t mark = buf_len(out);
	char *at;
	char *end;

	buf_add(out, p, len);
	if (!run->strip || !run->portal || !run->portal->result_format)
		return;
	at = buf_data(out) + mark + 7;
	end = buf_data(out) + buf_len(out);
	while (at < end) {
		at += strlen(at) + 1 + 18;
		at[-1] = (char)run->portal->result_format;
	}
}

static void relay_one(struct caller *c, struct caller_run *run, const char *p,
		      size_t len)
{
	if (run->describe && !run->answered && *p != 'N') {
		/* The Describe has to be answered even if there are no rows. */
		if (*p == 'D' || *p == 'C' || *p == 'I')
			pgw_put_empty(caller_out(c), 'n');
		run->answered = true;
	}
	switch (*p) {
	case 't':
		if (!run->strip)
			buf_add(caller_out(c), p, len);
		return;
	case 'T':
		relay_description(c, run, p, len);
		return;
	case 'E':
		run->error_sent = true;
		break;
	case 'D':
	case 'C':
		if (!relay_fits(run, *p)) {
			buf_add(&run->portal->rest, p, len);
			return;
		}
		break;
	default:
		break;
	}
	buf_add(caller_out(c), p, len);
}

void caller_relay(struct caller *c, struct caller_run *run, const char *bytes,
		  size_t len)
{
	size_t at = 0;

	while (at + 5 <= len) {
		size_t n = relay_length(bytes + at);

		if (n > len - at)
			break;
		relay_one(c, run, bytes + at, n);
		at += n;
	}
}

static void run_on_data(void *arg, const char *bytes, size_t len)
{
	struct caller *c = arg;
	size_t kept = c->run->portal ? buf_len(&c->run->portal->rest) : 0;

	if (c->phase == CALLER_CLOSING)
		return;
	caller_relay(c, c->run, bytes, len);
	if (buf_len(caller_out(c)) + kept > CALLER_OUTPUT_MAX)
		caller_fatal(c, RES_TOO_LARGE,
			     "answer is not being read fast enough");
	else
		net_flush(c->conn);
}

/* Did the statement reach a backend, so that its transaction state counts? */
static bool run_reached(const struct msg_end *end)
{
	return end->res == RES_OK || end->res == RES_SQL_ERROR ||
	       res_ran((enum res)end->res) != RES_RAN_NOT_RUN;
}

static bool run_ends_transaction(const struct caller_run *run)
{
	return run->cls.kind == CLS_COMMIT || run->cls.kind == CLS_ROLLBACK;
}

static void run_transaction_over(struct caller *c)
{
	c->txn = 'I';
	c->failed = false;
	ses_end_transaction(&c->ses);
}

/* The connection is no longer this caller's. */
static void run_pin_lost(struct caller *c, const struct caller_run *run,
			 const struct msg_end *end)
{
	bool had = c->pin != 0;

	c->pin = 0;
	if (run->txn_before == 'I' || run_ends_transaction(run)) {
		run_transaction_over(c);
	} else if (had) {
		/* What follows belongs to the lost transaction and must not
		 * run on its own; ROLLBACK or COMMIT ends this state. */
		c->txn = 'T';
		c->failed = true;
	}
	if (c->session_pinned && (had || end->res == RES_OK))
		caller_fatal(c, RES_CLOSED,
			     "the server connection that held this session's "
			     "state was lost");
	c->session_pinned = false;
}

static void run_pin_kept(struct caller *c, const struct msg_end *end)
{
	if (c->pin != end->pin) {
		snprintf(c->pin_backend, sizeof(c->pin_backend), "%s",
			 req_backend(c->all->cfg.req));
		c->pin_term = req_term(c->all->cfg.req);
	}
	c->pin = end->pin;
	if (!run_reached(end)) {
		/* Refused before it was sent: the transaction goes on, but
		 * without this statement it must not commit. */
		c->failed |= c->txn != 'I';
		return;
	}
	if (end->txn == 'I') {
		run_transaction_over(c);
		return;
	}
	c->txn = 'T';
	c->failed = end->txn == 'E' || end->res != RES_OK;
}

static void run_settle(struct caller *c, const struct caller_run *run,
		       const struct msg_end *end)
{
	if (run->kind == RUN_DESCRIBE && !c->pin)
		return;
	if (end->pin)
		run_pin_kept(c, end);
	else
		run_pin_lost(c, run, end);
}

/* Since when this proxy knows what the statement must see. */
static void run_note_token(struct caller *c, const struct token *token)
{
	const struct tok_entry *e = tok_find(token, c->group);

	if (!e || (e->term == c->seen.term && e->position == c->seen.position))
		return;
	c->seen = *e;
	c->seen_at = clk_now();
}

static void run_report_write(struct caller *c, const struct msg_end *end)
{
	if (!end->write_term)
		return;
	if (ses_wrote(&c->ses, c->group, end->write_term, end->write_position))
		caller_report_session(c);
	if (c->ses.token)
		run_note_token(c, c->ses.token);
}

static void run_report_error(struct caller *c, const struct caller_run *run,
			     const struct msg_end *end)
{
	enum res res = (enum res)end->res;
	const char *state = end->sqlstate;
	char text[512];

	if (res == RES_OK || run->error_sent)
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

static void run_on_end(void *arg, const struct msg_end *end)
{
	struct caller *c = arg;
	struct caller_run *run = c->run;
	bool ok = end->res == RES_OK;

	c->run = NULL;
	c->request = 0;
	c->since = c->phase == CALLER_READY ? clk_now() : c->since;
	if (c->phase == CALLER_CLOSING) {
		run_settle(c, run, end);
		caller_run_free(run);
		return;
	}
	run_report_error(c, run, end);
	run_report_write(c, end);
	run_settle(c, run, end);
	if (c->phase != CALLER_CLOSING) {
		if (run->simple)
			caller_ready(c);
		else
			caller_run_ended(c, run, ok);
	}
	caller_run_free(run);
	caller_pump(c);
}

static enum run_kind run_kind_of(const struct caller *c,
				 const struct caller_run *run)
{
	if (c->txn != 'I')
		return RUN_TXN;
	switch (run->cls.kind) {
	case CLS_BEGIN:
		return RUN_BEGIN;
	case CLS_READ:
		return RUN_READ;
	default:
		return RUN_WRITE;
	}
}

static int64_t run_flags(const struct caller *c, const struct caller_run *run)
{
	int64_t flags = 0;

	if (run->simple)
		flags |= RUN_SIMPLE;
	if (run->describe)
		flags |= RUN_DESCRIBED;
	if (c->session_pinned)
		flags |= RUN_PIN;
	return flags;
}

static void run_set_sql(const struct caller *c, const struct caller_run *run,
			struct flt_request *rq)
{
	const char *sql = run->simple ? run->own_sql : run->prep->sql;

	/* COMMIT of a failed transaction rolls it back, as at a server. */
	if (c->failed && run->cls.kind == CLS_COMMIT)
		sql = "ROLLBACK";
	rq->sql = (struct blob){.data = sql, .len = strlen(sql)};
	rq->fingerprint = run->cls.fingerprint;
}

static void run_set_params(struct caller_run *run, struct flt_request *rq)
{
	if (run->portal && !run->strip) {
		rq->params = run->portal->params;
		rq->nparams = run->portal->nparams;
		rq->result_format = run->portal->result_format;
	} else if (run->prep && run->prep->ntypes) {
		int n = run->prep->ntypes;

		run->types = calloc((size_t)n, sizeof(*run->types));
		if (!run->types)
			abort();
		for (int i = 0; i < n; i++)
			run->types[i] = (struct run_param){
				.null = true, .type = run->prep->types[i]};
		rq->params = run->types;
		rq->nparams = n;
	}
}

static void run_set_session(struct caller *c, const struct caller_run *run,
			    struct flt_request *rq)
{
	const struct ses_statement *st = &run->st;

	run_note_token(c, &st->token);
	rq->token = &st->token;
	rq->token_since = c->seen_at;
	rq->session_unknown = st->session_unknown;
	rq->max_age_ms = st->max_age_ms;
	rq->max_wait_ms = st->max_wait_ms;
	rq->repeatable = run->cls.kind == CLS_READ
				 ? st->repeatable != SES_ONCE
				 : st->repeatable == SES_REPEATABLE;
	rq->request_id = "";
	if (run->kind == RUN_WRITE || run->kind == RUN_BEGIN)
		rq->request_id = st->request_id;
	rq->pin = c->pin;
	snprintf(rq->pin_backend, sizeof(rq->pin_backend), "%s",
		 c->pin_backend);
	rq->pin_term = c->pin_term;
}

/* The session's request id serves one write or transaction. */
static void run_use_request_id(struct caller *c, const struct caller_run *run)
{
	if (!run->st.own_request_id && run->st.request_id[0] &&
	    (run->kind == RUN_WRITE || run->kind == RUN_BEGIN))
		ses_clear_request_id(&c->ses);
}

/* What the caller has not taken yet, so that a slow one slows its backend. */
static size_t run_backlog(void *arg)
{
	return buf_len(caller_out(arg));
}

static void run_submit(struct caller *c, struct caller_run *run)
{
	struct flt_request rq = {.kind = run->kind};
	struct exec_sink sink = {.arg = c,
				 .on_data = run_on_data,
				 .on_end = run_on_end,
				 .backlog = run_backlog};

	snprintf(rq.customer, sizeof(rq.customer), "%s", c->customer);
	snprintf(rq.group, sizeof(rq.group), "%s", c->group);
	rq.flags = run_flags(c, run);
	run_set_sql(c, run, &rq);
	run_set_params(run, &rq);
	run_set_session(c, run, &rq);
	run_use_request_id(c, run);
	run->txn_before = c->txn;
	c->run = run;
	c->request = req_start(c->all->cfg.req, &rq, &sink);
}

bool caller_start(struct caller *c, struct caller_run *run)
{
	const char *sql = run->simple ? run->own_sql : run->prep->sql;
	struct err e = ERR_INIT;
	bool describes = run->kind == RUN_DESCRIBE;

	if (ses_for_statement(&c->ses, sql, &run->st, &e) != RES_OK) {
		caller_refuse(c, e.code, e.text);
		caller_run_free(run);
		return false;
	}
	if (!describes && caller_answer_locally(c, run)) {
		caller_run_free(run);
		return false;
	}
	if (!describes) {
		if (run->cls.kind == CLS_SESSION)
			c->session_pinned = true;
		run->kind = run_kind_of(c, run);
	}
	run_submit(c, run);
	return true;
}

void caller_simple(struct caller *c, const char *sql, size_t len)
{
	struct caller_run *run = caller_run_new();
	struct err e = ERR_INIT;

	run->simple = true;
	run->own_sql = strndup(sql, len);
	if (!run->own_sql)
		abort();
	if (cls_get(c->all->cls, run->own_sql, &run->cls, &e) != RES_OK) {
		caller_refuse(c, e.code, e.text);
		caller_run_free(run);
		caller_ready(c);
		return;
	}
	if (!caller_start(c, run))
		caller_ready(c);
}
