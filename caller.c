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

/* Beyond max_callers, connections still get to hear why they are refused; a
 * flood of them is closed at once. */
#define CALLERS_OVER_MAX 1024

#define CALLERS_SWEEP_S 0.5

struct buf *caller_out(struct caller *c)
{
	return net_out(c->conn);
}

char caller_status(const struct caller *c)
{
	if (c->txn == 'I')
		return 'I';
	return c->failed ? 'E' : 'T';
}

static void caller_enter(struct caller *c, enum caller_phase phase)
{
	c->phase = phase;
	c->since = clk_now();
}

/* States plainly whether the request was run. */
static const char *caller_detail(enum res res)
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
				  .detail = caller_detail(res)};

	pgw_put_error(caller_out(c), &error);
	c->skipping |= c->extended;
	/* As at a server, an error fails the whole transaction. */
	if (c->txn != 'I')
		c->failed = true;
}

void caller_refuse(struct caller *c, enum res res, const char *text)
{
	cnt_refusal(res);
	caller_error(c, res, res_sqlstate(res), text);
}

void caller_fatal(struct caller *c, enum res res, const char *text)
{
	struct pgw_error error = {.severity = "FATAL",
				  .sqlstate = res_sqlstate(res),
				  .message = text};

	if (c->phase == CALLER_CLOSING)
		return;
	cnt_refusal(res);
	pgw_put_error(caller_out(c), &error);
	caller_enter(c, CALLER_CLOSING);
	net_finish(c->conn);
}

void caller_report_session(struct caller *c)
{
	char text[TOK_TEXT_LEN];

	ses_show(&c->ses, "session", text, NULL);
	pgw_put_parameter(caller_out(c), "marjoramlatch.session", text);
}

void caller_ready(struct caller *c)
{
	if (c->phase == CALLER_CLOSING)
		return;
	pgw_put_ready(caller_out(c), caller_status(c));
	if (c->all->stopping && c->txn == 'I')
		caller_fatal(c, RES_STOPPING, res_text(RES_STOPPING));
}

static void caller_free(struct caller *c)
{
	struct callers *all = c->all;

	if (c->request)
		req_abandon(all->cfg.req, c->request);
	if (c->admin)
		adm_abandon(all->cfg.adm, c->admin);
	caller_drop_pin(c);
	caller_run_free(c->run);
	caller_ext_free(c);
	ses_free(&c->ses);
	if (c->pid)
		HASH_DEL(all->by_pid, c);
	DL_DELETE(all->list, c);
	all->count--;
	net_free(c->conn);
	free(c);
	cnt_add(CNT_callers_closed, 1);
}

static bool caller_busy(const struct caller *c)
{
	return c->request || c->admin;
}

static void caller_on_admin(void *arg, const char *bytes, size_t len)
{
	struct caller *c = arg;

	c->admin = 0;
	buf_add(caller_out(c), bytes, len);
	caller_ready(c);
	caller_pump(c);
}

static void caller_admin(struct caller *c, const char *sql)
{
	struct adm_sink sink = {.arg = c, .on_answer = caller_on_admin};
	enum adm_user user =
		c->role == CALLER_OPERATOR ? ADM_OPERATOR : ADM_BACKEND;

	c->admin = adm_run(c->all->cfg.adm, user, sql, &sink);
}

static void caller_query(struct caller *c, const struct pgw_msg *m)
{
	struct pgw_reader r;
	const char *sql;

	pgw_read(&r, m);
	sql = pgw_get_string(&r);
	if (r.bad || r.p != r.end) {
		cnt_add(CNT_bad_input, 1);
		caller_fatal(c, RES_BAD_MESSAGE, "malformed Query message");
		return;
	}
	if (c->role == CALLER_CUSTOMER)
		caller_simple(c, sql, strlen(sql));
	else
		caller_admin(c, sql);
}

static bool caller_message(struct caller *c, const struct pgw_msg *m)
{
	switch (c->phase) {
	case CALLER_STARTUP:
		caller_startup(c, m);
		return true;
	case CALLER_PASSWORD:
		caller_password(c, m);
		return true;
	case CALLER_READY:
		break;
	case CALLER_CLOSING:
		return true;
	}
	c->since = clk_now();
	c->extended = m->type != 'Q';
	switch (m->type) {
	case 'X':
		caller_enter(c, CALLER_CLOSING);
		net_finish(c->conn);
		return true;
	case 'd':
	case 'c':
	case 'f':
		/* Copy data that was under way when COPY was refused. */
		return true;
	case 'Q':
		if (!c->skipping)
			caller_query(c, m);
		return true;
	default:
		return caller_extended(c, m);
	}
}

/* Reading stops while a request runs and enough waits behind it. */
static void caller_balance(struct caller *c)
{
	bool full = buf_len(net_in(c->conn)) > CALLER_INPUT_MAX;

	if (c->phase == CALLER_CLOSING)
		return;
	net_pause(c->conn, full && caller_busy(c));
}

void caller_pump(struct caller *c)
{
	if (c->pumping)
		return;
	c->pumping = true;
	while (!caller_busy(c) && c->phase != CALLER_CLOSING) {
		struct err e = ERR_INIT;
		struct pgw_msg m;
		int n = pgw_next(net_in(c->conn), c->phase == CALLER_STARTUP,
				 &m, &e);

		if (n == 0 && c->phase == CALLER_PASSWORD &&
		    buf_len(net_in(c->conn)) > PGW_MAX_STARTUP) {
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
		if (caller_message(c, &m))
			buf_consume(net_in(c->conn), m.total);
	}
	c->pumping = false;
	caller_balance(c);
	net_flush(c->conn);
}

/*
 * Lets the kernel find callers that vanished without closing, as they may hold
 * a transaction. Failure leaves the connection without that.
 */
static void caller_keepalive(int fd)
{
	const int on = 1;
	const int idle = CALLER_KEEPALIVE_IDLE_S;
	const int interval = CALLER_KEEPALIVE_INTERVAL_S;
	const int probes = CALLER_KEEPALIVE_PROBES;
	const unsigned int unread = CALLER_UNACKED_MS;

	setsockopt(fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof(idle));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof(interval));
	setsockopt(fd, IPPROTO_TCP, TCP_KEEPCNT, &probes, sizeof(probes));
	setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &unread, sizeof(unread));
}

static void caller_on_read(void *arg)
{
	caller_pump(arg);
}

static void caller_on_close(void *arg)
{
	caller_free(arg);
}

/*
 * A caller whose connection went silent leaves no other trace. Its transaction
 * would keep its locks for ever.
 */
static void caller_check_idle(struct caller *c, clk_ms now)
{
	if (c->txn == 'I' || caller_busy(c) ||
	    now - c->since < c->all->cfg.set->txn_idle_ms)
		return;
	caller_drop_pin(c);
	caller_fatal(c, RES_TXN_IDLE, res_text(RES_TXN_IDLE));
	net_flush(c->conn);
}

/* Closes connections that don't authenticate or don't take their end, and
 * those that hold a transaction open and send nothing. */
static void callers_sweep(struct ev_loop *loop, ev_timer *w, int events)
{
	struct callers *all = w->data;
	struct caller *c;
	struct caller *next;
	clk_ms now = clk_now();

	(void)loop;
	(void)events;
	for (c = all->list; c; c = next) {
		clk_ms age = now - c->since;

		next = c->next;
		if (c->phase == CALLER_READY) {
			caller_check_idle(c, now);
			continue;
		}
		if (age > (c->phase == CALLER_CLOSING ? CALLER_CLOSE_MS
						      : CALLER_STARTUP_MS))
			caller_free(c);
	}
}

struct callers *callers_new(const struct callers_config *cfg)
{
	struct callers *all = calloc(1, sizeof(*all));
	uint64_t seed;

	if (!all)
		abort();
	randombytes_buf(&seed, sizeof(seed));
	all->cfg = *cfg;
	all->auth = auth_new();
	all->cls = cls_new(seed);
	ev_timer_init(&all->sweep, callers_sweep, CALLERS_SWEEP_S,
		      CALLERS_SWEEP_S);
	all->sweep.data = all;
	ev_timer_start(cfg->loop, &all->sweep);
	return all;
}

void callers_free(struct callers *all)
{
	if (!all)
		return;
	ev_timer_stop(all->cfg.loop, &all->sweep);
	while (all->list)
		caller_free(all->list);
	auth_free(all->auth);
	cls_free(all->cls);
	free(all);
}

void callers_accept(void *arg, int fd)
{
	struct callers *all = arg;
	struct caller *c;
	struct net_handler h = {.on_read = caller_on_read,
				.on_close = caller_on_close};

	if (all->count >=
	    (size_t)all->cfg.set->max_callers + CALLERS_OVER_MAX) {
		cnt_refusal(RES_TOO_MANY_CALLERS);
		close(fd);
		return;
	}
	c = calloc(1, sizeof(*c));
	if (!c)
		abort();
	h.arg = c;
	c->all = all;
	c->txn = 'I';
	caller_keepalive(fd);
	ses_init(&c->ses);
	caller_enter(c, CALLER_STARTUP);
	c->conn = net_accepted(all->cfg.loop, fd, &h);
	DL_APPEND(all->list, c);
	all->count++;
	cnt_add(CNT_callers_accepted, 1);
}

size_t callers_count(const struct callers *all)
{
	return all->count;
}

size_t callers_busy(const struct callers *all)
{
	size_t busy = 0;

	for (const struct caller *c = all->list; c; c = c->next)
		busy += caller_busy(c) || c->txn != 'I';
	return busy;
}

void callers_stop(struct callers *all)
{
	all->stopping = true;
	for (struct caller *c = all->list; c; c = c->next) {
		if (caller_busy(c) || c->txn != 'I')
			continue;
		caller_fatal(c, RES_STOPPING, res_text(RES_STOPPING));
		net_flush(c->conn);
	}
}
