/*
 * Fault-injecting TCP relay for tests: one process, many routes.
 *
 *   relay --control ip:port [--listen [NAME@]ip:port=ip:port]...
 *
 * Text commands on the control port, one a line, each answered "ok" or
 * "error TEXT". NAME is a shell pattern over the names of routes; a route
 * without a name is called by its listening address.
 *
 *   cut NAME            closes connections and refuses new ones
 *   freeze NAME         forwards nothing; connections stay open, new ones too
 *   forget NAME         existing connections go silent for good
 *   drop NAME up|down   holds back one direction; up is towards the target
 *   delay NAME MS       delays both directions
 *   heal NAME           undoes all but forget
 *   add NAME ip:port ip:port
 */

#include "clock.h"
#include "cluster.h"
#include "log.h"
#include "net.h"

#include <argtable2.h>
#include <ev.h>
#include <fnmatch.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

enum { UP, DOWN, MAX_ROUTES = 256, BACKLOG = 1 << 20 /* bytes */ };

/* Bytes that wait for their delay; none stand for the end of the stream. */
struct chunk {
	struct chunk *next;
	clk_ms due;
	size_t len;
	char data[];
};

struct route {
	struct route *next;
	char name[64];
	char from[ADDR_LEN];
	char to[ADDR_LEN];
	struct net_listener *listener; /* NULL while cut */
	struct pair *pairs;
	bool cut;
	bool frozen;
	bool dropped[2];
	clk_ms delay;
};

struct side {
	struct pair *pair;
	int dir; /* of what is read here */
	struct net_conn *net;
	struct chunk *first;
	struct chunk **last;
	ev_timer timer;
};

struct pair {
	struct pair *next;
	struct route *route;
	struct side side[2]; /* the client's, the target's */
	bool forgotten;
};

struct control {
	struct net_conn *net;
};

static struct ev_loop *loop;
static struct route *routes;

static void pair_free(struct pair *p)
{
	struct pair **at;

	for (at = &p->route->pairs; *at != p; at = &(*at)->next)
		;
	*at = p->next;
	for (int i = 0; i < 2; i++) {
		struct side *s = &p->side[i];

		while (s->first) {
			struct chunk *c = s->first;

			s->first = c->next;
			free(c);
		}
		ev_timer_stop(loop, &s->timer);
		net_free(s->net);
	}
	free(p);
}

static bool held_back(const struct pair *p, int dir)
{
	return p->route->frozen || p->route->dropped[dir];
}

static void pace(struct pair *p)
{
	for (int i = 0; i < 2; i++) {
		struct side *s = &p->side[i];
		struct net_conn *to = p->side[!i].net;
		bool full = to && buf_len(net_out(to)) > BACKLOG;

		if (s->net)
			net_pause(s->net,
				  !p->forgotten && (held_back(p, i) || full));
	}
}

static void deliver(struct side *s, const char *data, size_t len)
{
	struct net_conn *to = s->pair->side[!s->dir].net;

	if (!to)
		return;
	if (!len) {
		net_finish(to);
		return;
	}
	buf_add(net_out(to), data, len);
	net_flush(to);
}

static void arm(struct side *s)
{
	clk_ms left;

	ev_timer_stop(loop, &s->timer);
	if (!s->first || s->pair->forgotten || held_back(s->pair, s->dir))
		return;
	left = s->first->due - clk_now();
	ev_timer_set(&s->timer, left > 0 ? (double)left / 1000.0 : 0, 0);
	ev_timer_start(loop, &s->timer);
}

static void on_timer(struct ev_loop *l, ev_timer *t, int events)
{
	struct side *s = t->data;

	(void)l;
	(void)events;
	while (s->first && s->first->due <= clk_now()) {
		struct chunk *c = s->first;

		s->first = c->next;
		if (!s->first)
			s->last = &s->first;
		deliver(s, c->data, c->len);
		free(c);
	}
	arm(s);
}

static void forward(struct side *s, const char *data, size_t len)
{
	struct chunk *c;

	if (s->pair->forgotten)
		return;
	if (!s->first && !s->pair->route->delay &&
	    !held_back(s->pair, s->dir)) {
		deliver(s, data, len);
		return;
	}
	c = malloc(sizeof(*c) + len);
	*c = (struct chunk){
		.due = clk_now() + s->pair->route->delay,
		.len = len,
	};
	memcpy(c->data, data, len);
	*s->last = c;
	s->last = &c->next;
	arm(s);
}

static void on_read(void *arg)
{
	struct side *s = arg;
	struct buf *in = net_in(s->net);

	forward(s, buf_data(in), buf_len(in));
	buf_consume(in, buf_len(in));
	pace(s->pair);
}

static void on_close(void *arg)
{
	struct side *s = arg;
	struct pair *p = s->pair;

	net_free(s->net);
	s->net = NULL;
	if (!p->side[!s->dir].net)
		pair_free(p);
	else
		forward(s, "", 0);
}

static void on_drain(void *arg)
{
	struct side *s = arg;

	pace(s->pair);
}

static void side_init(struct pair *p, int dir)
{
	struct side *s = &p->side[dir];

	s->pair = p;
	s->dir = dir;
	s->last = &s->first;
	ev_init(&s->timer, on_timer);
	s->timer.data = s;
}

static void on_accept(void *arg, int fd)
{
	struct route *r = arg;
	struct pair *p = calloc(1, sizeof(*p));
	struct net_handler h = {
		.on_read = on_read,
		.on_close = on_close,
		.on_drain = on_drain,
	};

	p->route = r;
	side_init(p, UP);
	side_init(p, DOWN);
	h.arg = &p->side[DOWN];
	p->side[DOWN].net = net_connect(loop, r->to, &h, NULL);
	if (!p->side[DOWN].net) {
		close(fd);
		free(p);
		return;
	}
	p->next = r->pairs;
	r->pairs = p;
	h.arg = &p->side[UP];
	p->side[UP].net = net_accepted(loop, fd, &h);
	pace(p);
}

static bool route_open(struct route *r, struct err *e)
{
	return r->listener ||
	       !net_listen(&r->listener, loop, r->from, on_accept, r, e);
}

static bool route_add(const char *name, const char *from, const char *to,
		      struct err *e)
{
	struct route *r = calloc(1, sizeof(*r));

	snprintf(r->name, sizeof(r->name), "%s", name);
	snprintf(r->from, sizeof(r->from), "%s", from);
	snprintf(r->to, sizeof(r->to), "%s", to);
	if (!route_open(r, e)) {
		free(r);
		return false;
	}
	r->next = routes;
	routes = r;
	return true;
}

static void route_cut(struct route *r)
{
	r->cut = true;
	net_listener_free(r->listener);
	r->listener = NULL;
	while (r->pairs)
		pair_free(r->pairs);
}

static void route_refresh(struct route *r)
{
	for (struct pair *p = r->pairs; p; p = p->next) {
		pace(p);
		arm(&p->side[UP]);
		arm(&p->side[DOWN]);
	}
}

static void route_heal(struct route *r, struct err *e)
{
	r->cut = false;
	r->frozen = false;
	r->dropped[UP] = false;
	r->dropped[DOWN] = false;
	r->delay = 0;
	route_open(r, e);
}

static bool route_command(struct route *r, const char *verb, const char *arg,
			  struct err *e)
{
	if (!strcmp(verb, "cut"))
		route_cut(r);
	else if (!strcmp(verb, "freeze"))
		r->frozen = true;
	else if (!strcmp(verb, "forget"))
		for (struct pair *p = r->pairs; p; p = p->next)
			p->forgotten = true;
	else if (!strcmp(verb, "drop") && !strcmp(arg, "up"))
		r->dropped[UP] = true;
	else if (!strcmp(verb, "drop") && !strcmp(arg, "down"))
		r->dropped[DOWN] = true;
	else if (!strcmp(verb, "delay"))
		r->delay = strtol(arg, NULL, 10);
	else if (!strcmp(verb, "heal"))
		route_heal(r, e);
	else
		err_set(e, RES_BAD_MESSAGE, "unknown command %s %s", verb, arg);
	route_refresh(r);
	return e->code == RES_OK;
}

static void run_command(const char *line, struct err *e)
{
	char verb[16] = "", name[64] = "", a[ADDR_LEN] = "", b[ADDR_LEN] = "";
	int found = 0;

	sscanf(line, "%15s %63s %47s %47s", verb, name, a, b);
	if (!strcmp(verb, "add")) {
		route_add(name, a, b, e);
		return;
	}
	for (struct route *r = routes; r; r = r->next) {
		if (fnmatch(name, r->name, 0))
			continue;
		found++;
		if (!route_command(r, verb, a, e))
			return;
	}
	if (!found)
		err_set(e, RES_BAD_MESSAGE, "no route %s", name);
}

static void on_control_read(void *arg)
{
	struct control *c = arg;
	struct buf *in = net_in(c->net);
	char *end;

	while (buf_len(in) && (end = memchr(buf_data(in), '\n', buf_len(in)))) {
		struct err e = ERR_INIT;

		*end = '\0';
		run_command(buf_data(in), &e);
		if (e.code)
			buf_addf(net_out(c->net), "error %s\n", e.text);
		else
			buf_addstr(net_out(c->net), "ok\n");
		buf_consume(in, (size_t)(end - buf_data(in)) + 1);
	}
	net_flush(c->net);
}

static void on_control_close(void *arg)
{
	struct control *c = arg;

	net_free(c->net);
	free(c);
}

static void on_control(void *arg, int fd)
{
	struct control *c = calloc(1, sizeof(*c));
	struct net_handler h = {
		.arg = c,
		.on_read = on_control_read,
		.on_close = on_control_close,
	};

	(void)arg;
	c->net = net_accepted(loop, fd, &h);
}

static bool add_option(const char *text, struct err *e)
{
	char copy[192];
	char *from = copy;
	char *at, *to;

	snprintf(copy, sizeof(copy), "%s", text);
	at = strchr(copy, '@');
	if (at) {
		*at = '\0';
		from = at + 1;
	}
	to = strchr(from, '=');
	if (!to) {
		err_set(e, RES_BAD_LIST, "%s: expected ip:port=ip:port", text);
		return false;
	}
	*to++ = '\0';
	return route_add(at ? copy : from, from, to, e);
}

int main(int argc, char **argv)
{
	struct arg_str *control =
		arg_str1(NULL, "control", "IP:PORT", "address for commands");
	struct arg_str *listen =
		arg_strn(NULL, "listen", "[NAME@]IP:PORT=IP:PORT", 0,
			 MAX_ROUTES, "route");
	struct arg_end *end = arg_end(8);
	void *table[] = {control, listen, end};
	struct net_listener *l;
	struct err e = ERR_INIT;

	log_init("relay", LOG_INFO);
	signal(SIGPIPE, SIG_IGN);
	if (arg_parse(argc, argv, table)) {
		arg_print_errors(stderr, end, "relay");
		return 129;
	}
	loop = ev_default_loop(0);
	for (int i = 0; i < listen->count && !e.code; i++)
		add_option(listen->sval[i], &e);
	if (e.code ||
	    net_listen(&l, loop, control->sval[0], on_control, NULL, &e)) {
		log_error("relay", "start failed error=\"%s\"", e.text);
		return 1;
	}
	ev_run(loop, 0);
	return 0;
}
