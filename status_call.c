#include "status_call.h"

#include "log.h"
#include "net.h"
#include "platform/line.h"

#include <ev.h>
#include <stdlib.h>

struct status_call {
	struct ev_loop *loop;
	struct net_conn *conn;
	ev_timer timer;
	struct pro_action act;
	bool started; /* the STARTUP message was answered */
	struct pro_status status;
	void (*on_done)(void *arg, int64_t number, const struct pro_status *s);
	void *arg;
};

static void stc_finish(struct status_call *c, enum pro_reply reply)
{
	c->status.reply = reply;
	ev_timer_stop(c->loop, &c->timer);
	log_info("status",
		 "event=member_status group=%s member=%s reply=%d primary=%d "
		 "term=%lld held=%lld.%lld",
		 c->act.group, c->act.member, reply, c->status.primary,
		 (long long)c->status.term,
		 (long long)c->status.received_pos.term,
		 (long long)c->status.received_pos.number);
	c->on_done(c->arg, c->act.action_id, &c->status);
	net_free(c->conn);
	free(c);
}

static void stc_send_command(struct status_call *c)
{
	c->started = true;
	switch (c->act.type) {
	case PRO_STEP_DOWN:
		line_put_step_down(net_output(c->conn), c->act.term);
		break;
	case PRO_RESUME:
		line_put_resume(net_output(c->conn));
		break;
	default:
		line_put_status(net_output(c->conn));
		break;
	}
	net_flush(c->conn);
}

/* Handles one reply; true if the call isn't finished. */
static bool stc_on_reply(struct status_call *c, const struct line_reply *r)
{
	struct line_backend_status st;

	switch (r->type) {
	case LINE_ERROR:
		stc_finish(c, r->error == LINE_E_BUSY ||
					      r->error == LINE_E_CONN_LIMIT
				      ? PRO_BUSY
				      : PRO_FAILED);
		return false;
	case LINE_ROW:
		if (!line_decode_backend_status(r->text, &st)) {
			stc_finish(c, PRO_FAILED);
			return false;
		}
		c->status.primary = st.primary;
		c->status.term = st.term;
		c->status.received_pos = st.received_pos;
		return true;
	case LINE_READY:
		if (!c->started) {
			stc_send_command(c);
			return true;
		}
		stc_finish(c, PRO_OK);
		return false;
	case LINE_COMPLETE:
		break;
	}
	return true;
}

static void stc_on_read(void *arg)
{
	struct status_call *c = arg;
	struct buf *in = net_input(c->conn);
	struct line_reply r;
	enum line_decode_result st;
	size_t used;

	while ((st = line_decode_reply(in, &r, &used)) == LINE_OK) {
		if (!stc_on_reply(c, &r))
			return;
		buf_consume(in, used);
	}
	if (st == LINE_INVALID)
		stc_finish(c, PRO_FAILED);
}

static void stc_on_close(void *arg)
{
	stc_finish(arg, PRO_FAILED);
}

static void stc_on_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	stc_finish(w->data, PRO_FAILED);
}

struct status_call *status_call_start(
	struct ev_loop *loop, const struct pro_action *a,
	void (*on_done)(void *arg, int64_t number, const struct pro_status *s),
	void *arg)
{
	struct status_call *c = calloc(1, sizeof(*c));
	struct net_handler h = {
		.arg = c, .on_read = stc_on_read, .on_close = stc_on_close};
	struct err e = ERR_INIT;

	if (!c)
		abort();
	c->loop = loop;
	c->act = *a;
	c->on_done = on_done;
	c->arg = arg;
	c->conn = net_connect(loop, a->addr, &h, &e);
	if (!c->conn) {
		log_warn("status", "event=connect_failed addr=%s error=\"%s\"",
			 a->addr, e.text);
		free(c);
		return NULL;
	}
	line_put_startup(net_output(c->conn), a->group, "", a->member);
	ev_timer_init(&c->timer, stc_on_timeout, PRO_STATUS_TIMEOUT_MS / 1000.0,
		      0.0);
	c->timer.data = c;
	ev_timer_start(loop, &c->timer);
	return c;
}
