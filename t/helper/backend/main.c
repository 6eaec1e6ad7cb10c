#include "backend.h"

#include <argtable2.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "log.h"
#include "net.h"

enum {
	STOP_TIMEOUT_MS = 5000, /* timeout of a graceful stop */
	STOP_QUIET_MS = 500, /* without statements before the process exits */
	STOP_CHECK_MS = 20
};

struct backend be;

static struct net_listener *listener;
static ev_timer stop_check;
static clk_ms stop_since;
static clk_ms last_busy;

static void on_stop_check(struct ev_loop *loop, ev_timer *t, int events)
{
	clk_ms now = clk_now();
	bool quiet;

	(void)t;
	(void)events;
	if (conn_any_busy())
		last_busy = now;
	quiet = announce_left() && now - last_busy >= STOP_QUIET_MS;
	if (!quiet && now - stop_since < STOP_TIMEOUT_MS)
		return;
	log_info("backend", "stopped clean=%d", quiet);
	ev_break(loop, EVBREAK_ALL);
}

/* Announces that the member leaves, and serves until no more work arrives. */
static void on_term(struct ev_loop *loop, ev_signal *w, int events)
{
	(void)w;
	(void)events;
	if (be.stopping)
		return;
	be.stopping = true;
	stop_since = clk_now();
	last_busy = stop_since;
	announce_leave();
	ev_timer_init(&stop_check, on_stop_check, 0, STOP_CHECK_MS / 1000.0);
	ev_timer_start(loop, &stop_check);
}

static void copy_option(char *out, size_t len, const struct arg_str *a,
			const char *default_value)
{
	snprintf(out, len, "%s", a->count ? a->sval[0] : default_value);
}

static int int_option(const struct arg_int *a, int default_value)
{
	return a->count ? a->ival[0] : default_value;
}

static void parse_options(struct options *o, int argc, char **argv)
{
	struct arg_str *id = arg_str1(NULL, "id", "ID", NULL);
	struct arg_str *group = arg_str1(NULL, "group", "NAME", NULL);
	struct arg_str *zone = arg_str0(NULL, "zone", "NAME", NULL);
	struct arg_str *listen = arg_str1(NULL, "listen", "IP:PORT", NULL);
	struct arg_str *adv =
		arg_str0(NULL, "advertise", "IP:PORT", "address to announce");
	struct arg_str *data = arg_str1(NULL, "data", "FOLDER", NULL);
	struct arg_str *pass = arg_str1(NULL, "password", "TEXT", NULL);
	struct arg_str *ann =
		arg_str0(NULL, "announce", "IP:PORT,...", "entry instances");
	struct arg_str *apass =
		arg_str0(NULL, "announce-password", "TEXT", NULL);
	struct arg_int *slots = arg_int0(NULL, "slots", "N", NULL);
	struct arg_int *conns = arg_int0(NULL, "connections", "N", NULL);
	struct arg_int *members = arg_int0(NULL, "members", "N", NULL);
	struct arg_int *connect = arg_int0(NULL, "connect-ms", "N", NULL);
	struct arg_int *cost = arg_int0(NULL, "cost-us", "N", NULL);
	struct arg_int *ship = arg_int0(NULL, "ship-ms", "N", NULL);
	struct arg_int *lag = arg_int0(NULL, "lag-ms", "N", NULL);
	struct arg_end *end = arg_end(8);
	void *table[] = {id,	  listen, group, zone,	adv,   data,
			 pass,	  ann,	  apass, slots, conns, members,
			 connect, cost,	  ship,	 lag,	end};

	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "backend");
		arg_print_syntaxv(stderr, table, "\n");
		exit(129);
	}
	copy_option(o->id, sizeof(o->id), id, "");
	copy_option(o->group, sizeof(o->group), group, "");
	copy_option(o->zone, sizeof(o->zone), zone, "");
	copy_option(o->listen, sizeof(o->listen), listen, "");
	copy_option(o->advertise, sizeof(o->advertise), adv, o->listen);
	copy_option(o->data, sizeof(o->data), data, "");
	copy_option(o->password, sizeof(o->password), pass, "");
	copy_option(o->announce, sizeof(o->announce), ann, "");
	copy_option(o->announce_password, sizeof(o->announce_password), apass,
		    o->password);
	o->slots = int_option(slots, 5);
	o->connections = int_option(conns, 30);
	o->members = int_option(members, 3);
	o->connect_ms = int_option(connect, 10);
	o->cost_us = int_option(cost, 200);
	o->ship_ms = int_option(ship, 0);
	o->lag_ms = int_option(lag, 0);
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
}

int main(int argc, char **argv)
{
	struct err e = ERR_INIT;
	ev_signal term;

	log_init("backend", LOG_INFO);
	parse_options(&be.opt, argc, argv);
	be.loop = ev_default_loop(0);
	signal(SIGPIPE, SIG_IGN);
	store_open();
	sched_init();
	fn_init();
	if (net_listen(&listener, be.loop, be.opt.listen, conn_accept, NULL,
		       &e)) {
		log_error("backend", "listen failed error=\"%s\"", e.text);
		return 1;
	}
	repl_init();
	announce_init();
	ev_signal_init(&term, on_term, SIGTERM);
	ev_signal_start(be.loop, &term);
	log_info("backend", "started id=%s listen=%s incarnation=%lld",
		 be.opt.id, be.opt.listen, (long long)be.m.incarnation);
	ev_run(be.loop, 0);
	conn_close_all();
	net_listener_free(listener);
	store_close();
	return 0;
}
