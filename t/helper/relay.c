/*
 * TCP relay that injects network faults, for tests. One process serves many
 * routes; a route forwards the connections to one listening address to one
 * target address.
 *
 *   relay --control ip:port [--listen [NAME@]ip:port=ip:port]...
 *
 * A connection has the name SOURCE>ROUTE. SOURCE is the name that the command
 * "source" gave to the process that opened the connection, or "?" if it gave
 * none. The process is found by looking for the socket in /proc. A route
 * without a name goes by its listening address.
 *
 * The control port accepts text commands, one a line, and answers each with
 * "ok" or "error TEXT". In the first five, NAME is a shell pattern for names of
 * connections; a pattern without ">" matches the route, whatever the source.
 *
 *   cut NAME            closes connections and refuses new ones
 *   freeze NAME         forwards nothing; old and new connections stay open
 *   forget NAME         discards all data of existing connections from now on
 *                       and forwards no close; can't be undone
 *   drop NAME up|down   holds back the data of one direction; up is towards the
 *                       target
 *   delay NAME MS       delays both directions by MS milliseconds
 *   heal NAME           ends all faults that were given with the same NAME;
 *                       "*" ends all faults except forget
 *   add NAME ip:port ip:port
 *                       adds a route: its name, listening address and target
 *   source NAME PID     gives a process the name NAME
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
	MAX_UNSENT_BYTES = 1 << 20 /* pauses reading above this */
};

enum fault { CUT, FREEZE, DROP, DELAY };

struct rule {
	char pattern[NAME_LEN];
	enum fault fault;
	int dir; /* DROP: which direction */
	clk_ms ms; /* DELAY: how long */
};

struct source {
	char name[NAME_LEN];
	int pid;
};

/* Data that is forwarded after a delay; a chunk without data stands for the end
 * of the stream. */
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

/* One of the two TCP connections of a pair, with the data that was read from it
 * and waits to be forwarded to the other one. */
struct side {
	struct pair *pair;
	int dir; /* direction of the data that is read here */
	struct net_conn *net;
	struct chunk *first_chunk;
	struct chunk **chunk_tail;
	ev_timer timer;
};

/* A relayed connection. */
struct pair {
	struct pair *next;
	struct route *route;
	struct side side[2]; /* UP: client, DOWN: target */
	char name[2 * NAME_LEN];
	bool discard_data;
	bool cut;
	bool hold_back[2]; /* by direction */
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
static int diag_socket = -1; /* netlink socket for socket diagnosis */

/* ---- names ---- */

/* Returns the inode of the socket at the other end of fd, or 0 if it is not
 * found. Uses netlink because reading /proc/net/tcp takes several milliseconds
 * on a machine with many sockets. */
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

	if (diag_socket < 0 ||
	    getpeername(fd, (struct sockaddr *)&peer, &len) ||
	    getsockname(fd, (struct sockaddr *)&self, &len))
		return 0;
	q.req.id.idiag_sport = peer.sin_port;
	q.req.id.idiag_dport = self.sin_port;
	q.req.id.idiag_src[0] = peer.sin_addr.s_addr;
	q.req.id.idiag_dst[0] = self.sin_addr.s_addr;
	memset(q.req.id.idiag_cookie, 0xff, sizeof(q.req.id.idiag_cookie));
	if (send(diag_socket, &q, sizeof(q), 0) != (ssize_t)sizeof(q))
		return 0;
	n = recv(diag_socket, &a, sizeof(a), 0);
	if (n < (ssize_t)NLMSG_LENGTH(sizeof(*m)) ||
	    a.head.nlmsg_type != SOCK_DIAG_BY_FAMILY)
		return 0;
	return m->idiag_inode;
}

static bool process_has_socket(int pid, unsigned long inode)
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
		if (process_has_socket(sources[i].pid, inode))
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

		while (s->first_chunk) {
			struct chunk *c = s->first_chunk;

			s->first_chunk = c->next;
			free(c);
		}
		ev_timer_stop(loop, &s->timer);
		net_free(s->net);
	}
	free(p);
}

static void update_read_pause(struct pair *p)
{
	for (int i = 0; i < 2; i++) {
		struct side *s = &p->side[i];
		struct net_conn *to = p->side[!i].net;
		bool full = to && buf_len(net_output(to)) > MAX_UNSENT_BYTES;

		if (s->net)
			net_set_read_paused(s->net,
					    !p->discard_data &&
						    (p->hold_back[i] || full));
	}
}

static void deliver(struct side *s, const char *data, size_t len)
{
	struct net_conn *to = s->pair->side[!s->dir].net;

	if (!to)
		return;
	if (!len) {
		net_close_after_flush(to);
		return;
	}
	buf_add(net_output(to), data, len);
	net_flush(to);
}

static void start_timer(struct side *s)
{
	clk_ms left;

	ev_timer_stop(loop, &s->timer);
	if (!s->first_chunk || s->pair->discard_data ||
	    s->pair->hold_back[s->dir])
		return;
	left = s->first_chunk->due - clk_now();
	ev_timer_set(&s->timer, left > 0 ? (double)left / 1000.0 : 0, 0);
	ev_timer_start(loop, &s->timer);
}

static void on_timer(struct ev_loop *l, ev_timer *t, int events)
{
	struct side *s = t->data;

	(void)l;
	(void)events;
	while (s->first_chunk && s->first_chunk->due <= clk_now()) {
		struct chunk *c = s->first_chunk;

		s->first_chunk = c->next;
		if (!s->first_chunk)
			s->chunk_tail = &s->first_chunk;
		deliver(s, c->data, c->len);
		free(c);
	}
	start_timer(s);
}

static void forward(struct side *s, const char *data, size_t len)
{
	struct chunk *c;

	if (s->pair->discard_data)
		return;
	if (!s->first_chunk && !s->pair->delay && !s->pair->hold_back[s->dir]) {
		deliver(s, data, len);
		return;
	}
	c = malloc(sizeof(*c) + len);
	*c = (struct chunk){
		.due = clk_now() + s->pair->delay,
		.len = len,
	};
	memcpy(c->data, data, len);
	*s->chunk_tail = c;
	s->chunk_tail = &c->next;
	start_timer(s);
}

static void on_read(void *arg)
{
	struct side *s = arg;
	struct buf *in = net_input(s->net);

	forward(s, buf_data(in), buf_len(in));
	buf_consume(in, buf_len(in));
	update_read_pause(s->pair);
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

	update_read_pause(s->pair);
}

static void side_init(struct pair *p, int dir)
{
	struct side *s = &p->side[dir];

	s->pair = p;
	s->dir = dir;
	s->chunk_tail = &s->first_chunk;
	ev_init(&s->timer, on_timer);
	s->timer.data = s;
}

/* Sets the faults of a pair from the rules that match its name. */
static void pair_apply_rules(struct pair *p)
{
	p->cut = false;
	p->hold_back[UP] = false;
	p->hold_back[DOWN] = false;
	p->delay = 0;
	for (int i = 0; i < nrules; i++) {
		const struct rule *r = &rules[i];

		if (!matches(r->pattern, p))
			continue;
		p->cut |= r->fault == CUT;
		p->hold_back[UP] |= r->fault == FREEZE;
		p->hold_back[DOWN] |= r->fault == FREEZE;
		if (r->fault == DROP)
			p->hold_back[r->dir] = true;
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
	pair_apply_rules(p);
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
	p->side[UP].net = net_from_accepted(loop, fd, &h);
	update_read_pause(p);
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

static void apply_rules(void)
{
	for (struct route *r = routes; r; r = r->next) {
		struct pair *next;

		for (struct pair *p = r->pairs; p; p = next) {
			next = p->next;
			pair_apply_rules(p);
			if (p->cut) {
				pair_free(p);
				continue;
			}
			update_read_pause(p);
			start_timer(&p->side[UP]);
			start_timer(&p->side[DOWN]);
		}
	}
}

static void discard_matching(const char *pattern)
{
	for (struct route *r = routes; r; r = r->next)
		for (struct pair *p = r->pairs; p; p = p->next)
			p->discard_data |= matches(pattern, p);
}

static void remove_rules(const char *pattern)
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
		discard_matching(name);
	else if (!strcmp(verb, "drop") && !strcmp(a, "up"))
		rule_add(name, DROP, UP, 0);
	else if (!strcmp(verb, "drop") && !strcmp(a, "down"))
		rule_add(name, DROP, DOWN, 0);
	else if (!strcmp(verb, "delay"))
		rule_add(name, DELAY, 0, strtol(a, NULL, 10));
	else if (!strcmp(verb, "heal"))
		remove_rules(name);
	else
		err_set(e, RES_BAD_MESSAGE, "unknown command %s %s", verb, a);
	apply_rules();
}

static void on_control_read(void *arg)
{
	struct control *c = arg;
	struct buf *in = net_input(c->net);
	char *end;

	while (buf_len(in) && (end = memchr(buf_data(in), '\n', buf_len(in)))) {
		struct err e = ERR_INIT;

		*end = '\0';
		run_command(buf_data(in), &e);
		if (e.code)
			buf_addf(net_output(c->net), "error %s\n", e.text);
		else
			buf_addstr(net_output(c->net), "ok\n");
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

static void on_control_accept(void *arg, int fd)
{
	struct control *c = calloc(1, sizeof(*c));
	struct net_handler h = {
		.arg = c,
		.on_read = on_control_read,
		.on_close = on_control_close,
	};

	(void)arg;
	c->net = net_from_accepted(loop, fd, &h);
}

static bool add_listen_option(const char *text, struct err *e)
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
	diag_socket = socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC,
			     NETLINK_SOCK_DIAG);
	if (diag_socket < 0)
		log_warn("relay", "no socket diagnosis, sources are unknown");
	loop = ev_default_loop(0);
	for (int i = 0; i < listen->count && !e.code; i++)
		add_listen_option(listen->sval[i], &e);
	if (e.code || net_listen(&l, loop, control->sval[0], on_control_accept,
				 NULL, &e)) {
		log_error("relay", "start failed error=\"%s\"", e.text);
		return 1;
	}
	ev_run(loop, 0);
	return 0;
}
