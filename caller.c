#include "caller_priv.h"

#include "admin.h"
#include "auth.h"
#include "counter.h"
#include "log.h"
#include "net.h"
#include "request.h"
#include "settings.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utlist.h>

/* Connections beyond max_callers are still accepted, up to this number, to
 * send them an error that says why they are refused. Further connections are
 * closed at once. */
#define CALLERS_MAX_BEING_REFUSED 1024

#define CALLERS_TIMEOUT_CHECK_S 0.5

struct buf *caller_out(struct caller *c)
{
	return net_output(c->conn);
}

char caller_txn_status(const struct caller *c)
{
	if (c->txn_state == 'I')
		return 'I';
	return c->txn_failed ? 'E' : 'T';
}

static void caller_enter_phase(struct caller *c, enum caller_phase phase)
{
	c->phase = phase;
	c->timeout_start = clk_now();
}

/* DETAIL of the error: says whether the request was executed. */
static const char *caller_execution_detail(enum res res)
{
	switch (res_ran(res)) {
	case RES_RAN_NOT_RUN:
		return "The request was not run.";
	case RES_RAN_MAYBE:
		return "The request may have run.";
	case RES_RAN_RAN:
		return "The request ran.";
	case RES_RAN_NONE:
		break;
	}
	return NULL;
}

void caller_error(struct caller *c, enum res res, const char *sqlstate,
		  const char *text)
{
	struct pgw_error error = {.severity = "ERROR",
				  .sqlstate = sqlstate,
				  .message = text,
				  .detail = caller_execution_detail(res)};

	pgw_put_error(caller_out(c), &error);
	c->skipping_until_sync |= c->in_extended_message;
	/* As in PostgreSQL, an error fails the whole transaction. */
	if (c->txn_state != 'I')
		c->txn_failed = true;
}

void caller_refuse(struct caller *c, enum res res, const char *text)
{
	cnt_add_refusal(res);
	caller_error(c, res, res_sqlstate(res), text);
}

void caller_fatal(struct caller *c, enum res res, const char *text)
{
	struct pgw_error error = {.severity = "FATAL",
				  .sqlstate = res_sqlstate(res),
				  .message = text};

	if (c->phase == CALLER_CLOSING)
		return;
	cnt_add_refusal(res);
	pgw_put_error(caller_out(c), &error);
	caller_enter_phase(c, CALLER_CLOSING);
	net_close_after_flush(c->conn);
}

void caller_report_session(struct caller *c)
{
	char text[TOK_TEXT_LEN];

	ses_show(&c->session, "session", text, NULL);
	pgw_put_parameter_status(caller_out(c), "marjoramlatch.session", text);
}

/* Rolls back the transaction of a caller without a request in flight because
 * this instance stops. */
static void caller_end_transaction(struct caller *c)
{
	caller_release_pin(c);
	caller_fatal(c, RES_STOPPING, res_text(RES_STOPPING));
	net_flush(c->conn);
}

void caller_send_ready(struct caller *c)
{
	if (c->phase == CALLER_CLOSING)
		return;
	pgw_put_ready_for_query(caller_out(c), caller_txn_status(c));
	if (c->callers->stopping && c->txn_state == 'I')
		caller_fatal(c, RES_STOPPING, res_text(RES_STOPPING));
	else if (c->callers->transactions_over)
		caller_end_transaction(c);
}

/* Gives up the request in flight, if there is one. */
static void caller_abandon_request(struct caller *c)
{
	const struct callers_config *cfg = &c->callers->cfg;

	if (c->engine_request)
		req_abandon(cfg->request_engine, c->engine_request);
	if (c->admin_query)
		adm_abandon(cfg->admin_database, c->admin_query);
	c->engine_request = 0;
	c->admin_query = 0;
	caller_request_free(c->in_flight);
	c->in_flight = NULL;
}

static void caller_free(struct caller *c)
{
	struct callers *callers = c->callers;

	caller_abandon_request(c);
	caller_release_pin(c);
	caller_extended_state_free(c);
	ses_free(&c->session);
	if (c->pid)
		HASH_DEL(callers->by_pid, c);
	DL_DELETE(callers->list, c);
	callers->count--;
	net_free(c->conn);
	free(c);
	cnt_add(CNT_callers_closed, 1);
}

static bool caller_busy(const struct caller *c)
{
	return c->engine_request || c->admin_query;
}

static void caller_on_admin_response(void *arg, const char *bytes, size_t len)
{
	struct caller *c = arg;

	c->admin_query = 0;
	buf_add(caller_out(c), bytes, len);
	caller_send_ready(c);
	caller_process_input(c);
}

static void caller_start_admin_query(struct caller *c, const char *sql)
{
	struct adm_answer_handler sink = {
		.arg = c, .on_answer = caller_on_admin_response};
	enum adm_login_role user = c->role == CALLER_OPERATOR
					   ? ADM_LOGIN_OPERATOR
					   : ADM_LOGIN_BACKEND;

	c->admin_query =
		adm_run(c->callers->cfg.admin_database, user, sql, &sink);
}

static void caller_handle_query(struct caller *c, const struct pgw_msg *m)
{
	struct pgw_reader r;
	const char *sql;

	pgw_reader_init(&r, m);
	sql = pgw_get_string(&r);
	if (r.bad || r.p != r.end) {
		cnt_add(CNT_bad_input, 1);
		caller_fatal(c, RES_BAD_MESSAGE, "malformed Query message");
		return;
	}
	if (c->role == CALLER_CUSTOMER)
		caller_start_simple_query(c, sql, strlen(sql));
	else
		caller_start_admin_query(c, sql);
}

static bool caller_handle_message(struct caller *c, const struct pgw_msg *m)
{
	switch (c->phase) {
	case CALLER_STARTUP:
		caller_handle_startup(c, m);
		return true;
	case CALLER_PASSWORD:
		caller_handle_password(c, m);
		return true;
	case CALLER_READY:
		break;
	case CALLER_CLOSING:
		return true;
	}
	c->timeout_start = clk_now();
	c->in_extended_message = m->type != 'Q';
	switch (m->type) {
	case 'X':
		caller_enter_phase(c, CALLER_CLOSING);
		net_close_after_flush(c->conn);
		return true;
	case 'd':
	case 'c':
	case 'f':
		/* Copy data that was already sent when COPY was refused. */
		return true;
	case 'Q':
		if (!c->skipping_until_sync)
			caller_handle_query(c, m);
		return true;
	default:
		return caller_handle_extended(c, m);
	}
}

/* Pauses reading while a request runs and the input buffer is over its limit;
 * otherwise resumes it. */
static void caller_update_read_pause(struct caller *c)
{
	bool full = buf_len(net_input(c->conn)) > CALLER_INPUT_MAX;

	if (c->phase == CALLER_CLOSING)
		return;
	net_set_read_paused(c->conn, full && caller_busy(c));
}

void caller_process_input(struct caller *c)
{
	if (c->processing_input)
		return;
	c->processing_input = true;
	while (!caller_busy(c) && c->phase != CALLER_CLOSING) {
		struct err e = ERR_INIT;
		struct pgw_msg m;
		int n = pgw_next_message(net_input(c->conn),
					 c->phase == CALLER_STARTUP, &m, &e);

		if (n == 0 && c->phase == CALLER_PASSWORD &&
		    buf_len(net_input(c->conn)) > PGW_MAX_STARTUP_LEN) {
			err_set(&e, RES_BAD_FRAME,
				"password message is too long");
			n = -1;
		}
		if (n < 0) {
			cnt_add(CNT_bad_input, 1);
			caller_fatal(c, e.code, e.text);
		}
		if (n <= 0)
			break;
		if (caller_handle_message(c, &m))
			buf_consume(net_input(c->conn), m.total);
	}
	c->processing_input = false;
	caller_update_read_pause(c);
	net_flush(c->conn);
}

/*
 * Lets the kernel detect callers that disappeared without closing the
 * connection, as they may hold a transaction open. If an option can't be set,
 * the connection works without it.
 */
static void caller_keepalive(int fd)
{
	const int on = 1;
	const int idle = CALLER_KEEPALIVE_IDLE_S;
	const int interval = CALLER_KEEPALIVE_INTERVAL_S;
	const int probes = CALLER_KEEPALIVE_PROBES;
	const unsigned int unread = CALLER_TCP_USER_TIMEOUT_MS;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unread, sizeof(unread));
}

static void caller_on_read(void *arg)
{
	caller_process_input(arg);
}

static void caller_on_close(void *arg)
{
	caller_free(arg);
}

/*
 * Ends a transaction that was idle for txn_idle_ms. A caller that stops sending
 * while its connection stays open can't be detected in another way, and its
 * transaction would hold its locks forever.
 */
static void caller_check_txn_idle(struct caller *c, clk_ms now)
{
	if (c->txn_state == 'I' || caller_busy(c) ||
	    now - c->timeout_start < c->callers->cfg.set->txn_idle_ms)
		return;
	caller_release_pin(c);
	caller_fatal(c, RES_TXN_IDLE, res_text(RES_TXN_IDLE));
	net_flush(c->conn);
}

/* Closes connections that don't authenticate in time, that don't read the last
 * message in time, or that leave a transaction idle for too long. */
static void callers_check_timeouts(struct ev_loop *loop, ev_timer *w,
				   int events)
{
	struct callers *callers = w->data;
	struct caller *c;
	struct caller *next;
	clk_ms now = clk_now();

	(void)loop;
	(void)events;
	for (c = callers->list; c; c = next) {
		clk_ms age = now - c->timeout_start;

		next = c->next;
		if (c->phase == CALLER_READY) {
			caller_check_txn_idle(c, now);
			continue;
		}
		if (age > (c->phase == CALLER_CLOSING
				   ? CALLER_CLOSE_TIMEOUT_MS
				   : CALLER_LOGIN_TIMEOUT_MS))
			caller_free(c);
	}
}

struct callers *callers_new(const struct callers_config *cfg)
{
	struct callers *callers = calloc(1, sizeof(*callers));
	uint64_t seed;

	if (!callers)
		abort();
	randombytes_buf(&seed, sizeof(seed));
	callers->cfg = *cfg;
	callers->auth = auth_new();
	callers->class_table = cls_new(seed);
	ev_timer_init(&callers->timeout_check, callers_check_timeouts,
		      CALLERS_TIMEOUT_CHECK_S, CALLERS_TIMEOUT_CHECK_S);
	callers->timeout_check.data = callers;
	ev_timer_start(cfg->loop, &callers->timeout_check);
	return callers;
}

void callers_free(struct callers *callers)
{
	if (!callers)
		return;
	ev_timer_stop(callers->cfg.loop, &callers->timeout_check);
	while (callers->list)
		caller_free(callers->list);
	auth_free(callers->auth);
	cls_free(callers->class_table);
	free(callers);
}

void callers_accept(void *arg, int fd)
{
	struct callers *callers = arg;
	struct caller *c;
	struct net_handler h = {.on_read = caller_on_read,
				.on_close = caller_on_close};

	if (callers->count >=
	    (size_t)callers->cfg.set->max_callers + CALLERS_MAX_BEING_REFUSED) {
		cnt_add_refusal(RES_TOO_MANY_CALLERS);
		close(fd);
		return;
	}
	c = calloc(1, sizeof(*c));
	if (!c)
		abort();
	h.arg = c;
	c->callers = callers;
	c->txn_state = 'I';
	caller_keepalive(fd);
	ses_init(&c->session);
	caller_enter_phase(c, CALLER_STARTUP);
	c->conn = net_from_accepted(callers->cfg.loop, fd, &h);
	DL_APPEND(callers->list, c);
	callers->count++;
	cnt_add(CNT_callers_accepted, 1);
}

size_t callers_count(const struct callers *callers)
{
	return callers->count;
}

size_t callers_count_busy(const struct callers *callers)
{
	size_t busy = 0;

	for (const struct caller *c = callers->list; c; c = c->next)
		busy += caller_busy(c) || c->txn_state != 'I';
	return busy;
}

void callers_start_stop(struct callers *callers)
{
	callers->stopping = true;
	for (struct caller *c = callers->list; c; c = c->next) {
		if (caller_busy(c) || c->txn_state != 'I')
			continue;
		caller_fatal(c, RES_STOPPING, res_text(RES_STOPPING));
		net_flush(c->conn);
	}
}

void callers_end_transactions(struct callers *callers)
{
	callers->transactions_over = true;
	for (struct caller *c = callers->list; c; c = c->next)
		if (!caller_busy(c) && c->txn_state != 'I')
			caller_end_transaction(c);
}

void callers_end_requests(struct callers *callers)
{
	for (struct caller *c = callers->list; c; c = c->next) {
		bool read =
			c->in_flight && (c->in_flight->kind == RUN_READ ||
					 c->in_flight->kind == RUN_DESCRIBE);
		enum res res = read ? RES_READ_FAILED : RES_UNKNOWN;

		if (!caller_busy(c))
			continue;
		caller_abandon_request(c);
		caller_fatal(c, res, res_text(res));
		net_flush(c->conn);
	}
}
