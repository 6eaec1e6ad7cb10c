#include "backend.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "log.h"
#include "net.h"

enum phase { P_STARTUP, P_PASSWORD, P_CONNECT_DELAY, P_READY };

/* Messages that are handled before other connections get a turn. */
enum { MESSAGE_BATCH = 64 };

struct conn {
	struct conn *next;
	struct net_conn *net; /* NULL after the peer has closed */
	struct buf in;
	struct buf discarded; /* output after the peer has closed */
	struct session *ses;
	enum phase phase;
	bool replica; /* the client is a replica that polls the log */
	bool closing;
	bool counted; /* counts against the limit */
	int32_t pid;
	int32_t secret;
	ev_timer delay;
	ev_prepare wake; /* never started; see conn_wake() */
};

static struct conn *conns;
static int ncounted;
static int32_t last_pid;

static void conn_free(struct conn *c)
{
	struct conn **p;

	for (p = &conns; *p != c; p = &(*p)->next)
		;
	*p = c->next;
	ses_free(c->ses);
	ncounted -= c->counted;
	ev_timer_stop(be.loop, &c->delay);
	ev_clear_pending(be.loop, &c->wake);
	net_free(c->net);
	buf_free(&c->in);
	buf_free(&c->discarded);
	free(c);
}

void conn_wake(struct conn *c)
{
	ev_feed_event(be.loop, &c->wake, EV_CUSTOM);
}

static struct buf *output_of(struct conn *c)
{
	return c->net ? net_output(c->net) : &c->discarded;
}

static void close_with_error(struct conn *c, const char *state,
			     const char *text)
{
	struct pgw_error e = {
		.severity = "FATAL",
		.sqlstate = state,
		.message = text,
	};

	c->closing = true;
	if (!c->net)
		return;
	pgw_put_error(output_of(c), &e);
	net_close_after_flush(c->net);
}

static void on_cancel_request(const struct pgw_msg *m)
{
	struct pgw_reader r;
	int32_t pid, secret;
	struct conn *c;

	pgw_reader_init(&r, m);
	pid = pgw_get_int32(&r);
	secret = pgw_get_int32(&r);
	for (c = conns; c; c = c->next)
		if (c->ses && c->pid == pid && c->secret == secret && !r.bad)
			ses_cancel(c->ses);
}

bool conn_cancel(int32_t pid)
{
	struct conn *c = conns;

	while (c && (c->pid != pid || !c->ses))
		c = c->next;
	if (c)
		ses_cancel(c->ses);
	return c != NULL;
}

static void on_startup(struct conn *c, const struct pgw_msg *m)
{
	struct pgw_reader r;
	const char *name;
	const char *user = "";

	switch (m->startup_code) {
	case PGW_SSL_REQUEST:
	case PGW_GSSENC_REQUEST:
		buf_addstr(output_of(c), "N");
		return;
	case PGW_CANCEL_REQUEST:
		on_cancel_request(m);
		c->closing = true;
		if (c->net)
			net_close_after_flush(c->net);
		return;
	case PGW_PROTOCOL_3_0:
		break;
	default:
		close_with_error(c, "0A000", "unsupported protocol version");
		return;
	}
	pgw_reader_init(&r, m);
	for (name = pgw_get_string(&r); *name; name = pgw_get_string(&r)) {
		const char *value = pgw_get_string(&r);

		if (!strcmp(name, "user"))
			user = value;
	}
	if (strcmp(user, "marjoramlatch") && strcmp(user, "replica")) {
		close_with_error(c, "28000", "unknown user");
		return;
	}
	c->replica = !strcmp(user, "replica");
	c->phase = P_PASSWORD;
	pgw_put_auth_cleartext_password(output_of(c));
}

static void start_session(struct conn *c)
{
	struct buf *out = output_of(c);

	c->phase = P_READY;
	c->ses = ses_new(c, out);
	pgw_put_auth_ok(out);
	pgw_put_parameter_status(out, "server_version", "15.0");
	pgw_put_parameter_status(out, "server_encoding", "UTF8");
	pgw_put_parameter_status(out, "client_encoding", "UTF8");
	pgw_put_parameter_status(out, "DateStyle", "ISO, MDY");
	pgw_put_parameter_status(out, "integer_datetimes", "on");
	pgw_put_parameter_status(out, "standard_conforming_strings", "on");
	pgw_put_backend_key_data(out, c->pid, c->secret);
	pgw_put_ready_for_query(out, 'I');
}

static void on_delay(struct ev_loop *loop, ev_timer *t, int events)
{
	struct conn *c = t->data;

	(void)loop;
	(void)events;
	start_session(c);
	conn_wake(c);
}

static void on_password(struct conn *c, const struct pgw_msg *m)
{
	struct pgw_reader r;

	pgw_reader_init(&r, m);
	if (m->type != 'p' || strcmp(pgw_get_string(&r), be.opt.password)) {
		close_with_error(c, "28P01", "password authentication failed");
		return;
	}
	if (c->replica) {
		start_session(c);
		return;
	}
	if (ncounted >= be.opt.connections) {
		close_with_error(c, "53300", "too many connections");
		return;
	}
	ncounted++;
	c->counted = true;
	c->phase = P_CONNECT_DELAY;
	ev_timer_set(&c->delay, be.opt.connect_ms / 1000.0, 0);
	ev_timer_start(be.loop, &c->delay);
}

static void on_message(struct conn *c, const struct pgw_msg *m)
{
	struct pgw_reader r;

	switch (m->type) {
	case 'X':
		c->closing = true;
		if (c->net)
			net_close_after_flush(c->net);
		break;
	case 'Q':
		pgw_reader_init(&r, m);
		ses_simple(c->ses, pgw_get_string(&r));
		break;
	default:
		ses_message(c->ses, m);
	}
}

static bool conn_step(struct conn *c)
{
	struct pgw_msg m;
	struct err e;
	int rc;

	if (c->closing || c->phase == P_CONNECT_DELAY ||
	    (c->ses && ses_busy(c->ses)))
		return false;
	rc = pgw_next_message(&c->in, c->phase == P_STARTUP, &m, &e);
	if (rc < 0)
		close_with_error(c, "08P01", e.text);
	if (rc <= 0)
		return false;
	if (c->phase == P_STARTUP)
		on_startup(c, &m);
	else if (c->phase == P_PASSWORD)
		on_password(c, &m);
	else
		on_message(c, &m);
	buf_consume(&c->in, m.total);
	return true;
}

/*
 * Messages that arrived before the peer closed are still handled, as
 * PostgreSQL does: a statement in flight commits although its client is gone.
 */
static void conn_run(struct conn *c)
{
	bool more = true;
	int i;

	if (c->ses)
		ses_step(c->ses);
	for (i = 0; i < MESSAGE_BATCH && more; i++)
		more = conn_step(c);
	if (c->net) {
		net_flush(c->net);
		if (more)
			conn_wake(c);
	} else if (more) {
		conn_wake(c);
	} else if (!c->ses || !ses_busy(c->ses)) {
		conn_free(c);
	} else {
		buf_free(&c->discarded);
	}
}

static void on_wake(struct ev_loop *loop, ev_prepare *p, int events)
{
	(void)loop;
	if (events & EV_CUSTOM)
		conn_run(p->data);
}

static void on_read(void *arg)
{
	struct conn *c = arg;
	struct buf *in = net_input(c->net);

	buf_add(&c->in, buf_data(in), buf_len(in));
	buf_consume(in, buf_len(in));
	conn_run(c);
}

static void on_close(void *arg)
{
	struct conn *c = arg;

	net_free(c->net);
	c->net = NULL;
	if (c->ses)
		ses_set_output(c->ses, &c->discarded);
	conn_wake(c);
}

void conn_accept(void *arg, int fd)
{
	struct conn *c = calloc(1, sizeof(*c));
	struct net_handler h = {
		.arg = c,
		.on_read = on_read,
		.on_close = on_close,
	};

	(void)arg;
	c->pid = ++last_pid;
	c->secret = (int32_t)(clk_now_us() & 0x7fffffff);
	ev_init(&c->delay, on_delay);
	c->delay.data = c;
	ev_init(&c->wake, on_wake);
	c->wake.data = c;
	c->next = conns;
	conns = c;
	c->net = net_from_accepted(be.loop, fd, &h);
}

void conn_close_all(void)
{
	while (conns)
		conn_free(conns);
}

void conn_abort_writers(void)
{
	struct conn *c;

	for (c = conns; c; c = c->next)
		if (c->ses)
			ses_abort_writer(c->ses);
}

bool conn_any_busy(void)
{
	struct conn *c;

	for (c = conns; c; c = c->next)
		if (c->ses && !c->replica &&
		    (ses_busy(c->ses) || ses_in_transaction(c->ses)))
			return true;
	return false;
}
