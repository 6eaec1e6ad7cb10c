/*
 * Fault-injecting TCP relay for tests: one process, many routes.
 *
 *   relay --control ip:port [--listen [NAME@]ip:port=ip:port]...
 *
 * A connection is called SOURCE>ROUTE. The source is the process that opened
 * it, found by its socket in /proc among the processes that were named by the
 * command "source"; "?" if it is none of them. A route without a name is
 * called by its listening address.
 *
 * Text commands on the control port, one a line, each answered "ok" or
 * "error TEXT". NAME is a shell pattern over connection names; one without
 * ">" stands for all sources.
 *
 *   cut NAME            closes connections and refuses new ones
 *   freeze NAME         forwards nothing; connections stay open, new ones too
 *   forget NAME         existing connections go silent for good
 *   drop NAME up|down   holds back one direction; up is towards the target
 *   delay NAME MS       delays both directions
 *   heal NAME           undoes what was done by the same NAME, "*" everything
 *                       but forget
 *   add NAME ip:port ip:port
 *   source NAME PID
 */

#include "clock.h"
#include "cluster.h"
#include "log.h"
#include "net.h"

#include <argtable2.h>
#include <arpa/inet.h>
#include <dirent.h>
#include <ev.h>
#include <fnmatch.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum {
	UP,
	DOWN,
	MAX_ROUTES = 256,
	MAX_SOURCES = 256,
	MAX_RULES = 256,
	NAME_LEN = 64,
	BACKLOG = 1 << 20 /* bytes */
};

enum fault { CUT, FREEZE, DROP, DELAY };

struct rule {
	char pattern[NAME_LEN];
	enum fault fault;
	int dir; /* of DROP */
	clk_ms ms; /* of DELAY */
};

struct source {
	char name[NAME_LEN];
	int pid;
};

/* Bytes that wait for their delay; none stand for the end of the stream. */
struct chunk {
	struct chunk *next;
	clk_ms due;
	size_t len;
	char data[];
};

struct route {
	struct route *next;
	char name[NAME_LEN];
	char from[ADDR_LEN];
	char to[ADDR_LEN];
	struct net_listener *listener;
	struct pair *pairs;
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
	char name[2 * NAME_LEN];
	bool forgotten;
	bool cut;
	bool held[2];
	clk_ms delay;
};

struct control {
	struct net_conn *net;
};

static struct ev_loop *loop;
static struct route *routes;
static struct rule rules[MAX_RULES];
static int nrules;
static struct source sources[MAX_SOURCES];
static int nsources;
static int diag = -1; /* netlink socket */

/* ---- names ---- */

/* Inode of the socket at the other end of fd; 0 if it is not found. Reading
 * /proc/net/tcp instead costs several ms on a machine with many sockets. */
static unsigned long peer_inode(int fd)
{
	struct sockaddr_in peer, self;
	socklen_t len = sizeof(peer);
	struct {
		struct nlmsghdr head;
		struct inet_diag_req_v2 req;
	} q = {
		.head = {.nlmsg_len = sizeof(q),
			 .nlmsg_type = SOCK_DIAG_BY_FAMILY,
			 .nlmsg_flags = NLM_F_REQUEST},
		.req = {.sdiag_family = AF_INET,
			.sdiag_protocol = IPPROTO_TCP,
			.idiag_states = ~0U},
	};
	union {
		struct nlmsghdr head;
		char bytes[1024];
	} a;
	struct inet_diag_msg *m = NLMSG_DATA(&a.head);
	ssize_t n;

	if (diag < 0 || getpeername(fd, (struct sockaddr *)&peer, &len) ||
	    getsockname(fd, (struct sockaddr *)&self, &len))
		return 0;
	q.req.id.idiag_sport = peer.sin_port;
	q.req.id.idiag_dport = self.sin_port;
	q.req.id.idiag_src[0] = peer.sin_addr.s_addr;
	q.req.id.idiag_dst[0] = self.sin_addr.s_addr;
	memset(q.req.id.idiag_cookie, 0xff, sizeof(q.req.id.idiag_cookie));
	if (send(diag, &q, sizeof(q), 0) != (ssize_t)sizeof(q))
		return 0;
	n = recv(diag, &a, sizeof(a), 0);
	if (n < (ssize_t)NLMSG_LENGTH(sizeof(*m)) ||
	    a.head.nlmsg_type != SOCK_DIAG_BY_FAMILY)
		return 0;
	return m->idiag_inode;
}

static bool owns(int pid, unsigned long inode)
{
	char want[64], path[300], link[64];
	struct dirent *entry;
	bool found = false;
	DIR *dir;

	snprintf(want, sizeof(want), "socket:[%lu]", inode);
	snprintf(path, sizeof(path), "/proc/%d/fd", pid);
	dir = opendir(path);
	while (dir && !found && (entry = readdir(dir))) {
		ssize_t n;

		snprintf(path, sizeof(path), "/proc/%d/fd/%s", pid,
			 entry->d_name);
		n = readlink(path, link, sizeof(link) - 1);
		link[n > 0 ? n : 0] = '\0';
		found = !strcmp(link, want);
	}
	if (dir)
		closedir(dir);
	return found;
}

static const char *source_of(int fd)
{
	unsigned long inode = nsources ? peer_inode(fd) : 0;

	for (int i = 0; inode && i < nsources; i++)
		if (owns(sources[i].pid, inode))
			return sources[i].name;
	return "?";
}

static void source_set(const char *name, int pid)
{
	int i;

	for (i = 0; i < nsources && strcmp(sources[i].name, name); i++)
		;
	if (i == MAX_SOURCES)
		return;
	nsources += i == nsources;
	snprintf(sources[i].name, sizeof(sources[i].name), "%s", name);
	sources[i].pid = pid;
}

static bool matches(const char *pattern, const struct pair *p)
{
	const char *name = p->name;

	if (!strchr(pattern, '>'))
		name = strchr(name, '>') + 1;
	return !fnmatch(pattern, name, 0);
}

/* ---- connections ---- */

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

static void pace(struct pair *p)
{
	for (int i = 0; i < 2; i++) {
		struct side *s = &p->side[i];
		struct net_conn *to = p->side[!i].net;
		bool full = to && buf_len(net_out(to)) > BACKLOG;

		if (s->net)
			net_pause(s->net,
				  !p->forgotten && (p->held[i] || full));
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
	if (!s->first || s->pair->forgotten || s->pair->held[s->dir])
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
	if (!s->first && !s->pair->delay && !s->pair->held[s->dir]) {
		deliver(s, data, len);
		return;
	}
	c = malloc(sizeof(*c) + len);
	*c = (struct chunk){
		.due = clk_now() + s->pair->delay,
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

/* Takes over the rules in force. */
static void pair_refresh(struct pair *p)
{
	p->cut = false;
	p->held[UP] = false;
	p->held[DOWN] = false;
	p->delay = 0;
	for (int i = 0; i < nrules; i++) {
		const struct rule *r = &rules[i];

		if (!matches(r->pattern, p))
			continue;
		p->cut |= r->fault == CUT;
		p->held[UP] |= r->fault == FREEZE;
		p->held[DOWN] |= r->fault == FREEZE;
		if (r->fault == DROP)
			p->held[r->dir] = true;
		if (r->fault == DELAY)
			p->delay = r->ms;
	}
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
	snprintf(p->name, sizeof(p->name), "%s>%s", source_of(fd), r->name);
	side_init(p, UP);
	side_init(p, DOWN);
	pair_refresh(p);
	h.arg = &p->side[DOWN];
	if (!p->cut)
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

static bool route_add(const char *name, const char *from, const char *to,
		      struct err *e)
{
	struct route *r = calloc(1, sizeof(*r));

	snprintf(r->name, sizeof(r->name), "%s", name);
	snprintf(r->from, sizeof(r->from), "%s", from);
	snprintf(r->to, sizeof(r->to), "%s", to);
	if (net_listen(&r->listener, loop, r->from, on_accept, r, e)) {
		free(r);
		return false;
	}
	r->next = routes;
	routes = r;
	return true;
}

/* ---- commands ---- */

static void refresh(void)
{
	for (struct route *r = routes; r; r = r->next) {
		struct pair *next;

		for (struct pair *p = r->pairs; p; p = next) {
			next = p->next;
			pair_refresh(p);
			if (p->cut) {
				pair_free(p);
				continue;
			}
			pace(p);
			arm(&p->side[UP]);
			arm(&p->side[DOWN]);
		}
	}
}

static void forget(const char *pattern)
{
	for (struct route *r = routes; r; r = r->next)
		for (struct pair *p = r->pairs; p; p = p->next)
			p->forgotten |= matches(pattern, p);
}

static void heal(const char *pattern)
{
	int kept = 0;

	for (int i = 0; i < nrules; i++)
		if (strcmp(pattern, "*") && strcmp(pattern, rules[i].pattern))
			rules[kept++] = rules[i];
	nrules = kept;
}

static void rule_add(const char *pattern, enum fault fault, int dir, clk_ms ms)
{
	struct rule *r = &rules[nrules];

	if (nrules == MAX_RULES)
		return;
	nrules++;
	*r = (struct rule){.fault = fault, .dir = dir, .ms = ms};
	snprintf(r->pattern, sizeof(r->pattern), "%s", pattern);
}

static void run_command(const char *line, struct err *e)
{
	char verb[16] = "", name[NAME_LEN] = "", a[ADDR_LEN] = "",
	     b[ADDR_LEN] = "";

	sscanf(line, "%15s %63s %47s %47s", verb, name, a, b);
	if (!strcmp(verb, "add"))
		route_add(name, a, b, e);
	else if (!strcmp(verb, "source"))
		source_set(name, atoi(a));
	else if (!strcmp(verb, "cut"))
		rule_add(name, CUT, 0, 0);
	else if (!strcmp(verb, "freeze"))
		rule_add(name, FREEZE, 0, 0);
	else if (!strcmp(verb, "forget"))
		forget(name);
	else if (!strcmp(verb, "drop") && !strcmp(a, "up"))
		rule_add(name, DROP, UP, 0);
	else if (!strcmp(verb, "drop") && !strcmp(a, "down"))
		rule_add(name, DROP, DOWN, 0);
	else if (!strcmp(verb, "delay"))
		rule_add(name, DELAY, 0, strtol(a, NULL, 10));
	else if (!strcmp(verb, "heal"))
		heal(name);
	else
		err_set(e, RES_BAD_MESSAGE, "unknown command %s %s", verb, a);
	refresh();
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
	diag = socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG);
	if (diag < 0)
		log_warn("relay", "no socket diagnosis, sources are unknown");
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
