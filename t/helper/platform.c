/*
 * Stand-in for the users' platform: the members of one group, which speak the
 * line protocol and announce themselves, and the promoter.
 *
 *   platform COMMANDS PROMOTER GROUP CONTROL,... MEMBER,...
 *
 * All arguments but GROUP are ip:port; a MEMBER may be followed by =ip:port,
 * which it announces in place of the address that it listens on. The members
 * are called m0, m1, ...; m0 leads at first. COMMANDS takes lines and answers
 * each with "ok" or a value:
 *
 *   crash M, start M     the member's connections are reset, it is gone
 *   mute M, speak M      it answers nothing; connections stay open
 *   leave M              it announces that it leaves
 *   slots N MS           a member runs N statements at a time, each for MS; 16
 *                        wait, others find no slot; 0 is any number
 *   limit N              a member takes N connections; 0 is any number
 *   connections M        how many it has
 *   lag MS               replicas apply commits so much later
 *   lose M N             the answers of the next N statements of callers are
 *                        not sent
 *   cut M                the next statement of a caller runs, then its
 *                        connection is closed without an answer
 *   busy M N             the next N statements of callers find no slot
 *   tire M N             the same, and after the last of them is answered the
 *                        member crashes
 *   fence N              the promoter refuses tokens below N
 *   primary, commits     which member leads; commits held by it
 *   count ITEM           how often ITEM was written by commits that hold
 *   ever ITEM            the same, those that a promotion rolled back included
 *   runs                 statements that ran with an id of a caller
 */
#include "clock.h"
#include "http.h"
#include "log.h"
#include "net.h"
#include "stmt.h"

#include <ev.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>

enum {
	MAX_MEMBERS = 5,
	MAX_COMMITS = 200000,
	MAX_PREPARED = 64,
	TICK_MS = 5,
	ANNOUNCE_MS = 200,
	PROMOTE_MS = 150,
	DEFAULT_SLOTS = 5, /* announced while any number runs */
	MAX_WAITING = 16, /* statements that wait for a slot */
	WORD = 96
};

struct commit {
	char item[WORD];
	char data[WORD];
	clk_ms at;
};

struct member {
	char id[8];
	const char *addr;
	const char *announced_addr;
	struct net_listener *listener;
	bool running;
	bool mute;
	bool leaving;
	int lose;
	int busy;
	bool tired; /* crashes when it is no longer busy */
	bool cut;
	bool lies; /* says it is well, and drops all connections */
	int reads; /* that it ran */
	int held;
	int64_t sequence;
	clk_ms born;
	clk_ms announced;
};

struct prepared {
	char name[WORD];
	bool writes;
};

struct conn {
	struct conn *next;
	struct net_conn *net;
	struct member *member;
	bool started;
	char *work; /* line that waits for a slot or runs */
	int64_t turn; /* when it came */
	clk_ms due; /* until it has run; 0 while it waits */
	char txn; /* I, T or E */
	bool read_only;
	bool losing; /* the answer of this statement */
	int64_t term; /* when the transaction began */
	struct commit writes[16];
	int nwrites;
	struct prepared prepared[MAX_PREPARED];
	int nprepared;
};

static struct ev_loop *loop;
static const char *group;
static char *controls[MAX_MEMBERS];
static int ncontrols;
static struct member members[MAX_MEMBERS];
static int nmembers;
static struct commit *commits;
static int ncommits;
static struct commit *ever; /* never rolled back */
static int never;
static int leader;
static int64_t term = 1;
static int64_t fence;
static clk_ms lag_ms = 5;
static int limit;
static int slots;
static clk_ms work_ms;
static int64_t turns;
static int promoting = -1;
static clk_ms promote_at;
static struct conn *conns;
static int64_t runs;

static bool leads(const struct member *m)
{
	return m == &members[leader];
}

static const char *value_of(const struct member *m, const char *item)
{
	for (int i = m->held - 1; i >= 0; i--)
		if (!strcmp(commits[i].item, item))
			return commits[i].data;
	return "none";
}

static void say(struct conn *c, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void say(struct conn *c, const char *fmt, ...)
{
	char line[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	if (!c->member->mute && !c->losing)
		buf_addf(net_out(c->net), "%s\r\n", line);
}

static void ready(struct conn *c)
{
	say(c, "READY %c %" PRId64 ".%d", c->txn, term, c->member->held);
	net_flush(c->net);
}

static void refuse(struct conn *c, const char *code)
{
	say(c, "ERROR %s %s", code, c->member->id);
	if (c->txn == 'T')
		c->txn = 'E';
}

static void done(struct conn *c, const char *id)
{
	if (strcmp(id, "-") != 0)
		runs++;
	say(c, "COMPLETE %s.%s", c->member->id, id);
}

static void commit_one(struct member *m, const struct commit *w)
{
	if (never == MAX_COMMITS)
		abort();
	ever[never++] = *w;
	commits[ncommits] = *w;
	commits[ncommits].at = clk_now();
	m->held = ++ncommits;
}

static void do_write(struct conn *c, const char *id, const char *item,
		     const char *data)
{
	struct commit w = {0};

	snprintf(w.item, WORD, "%s", item);
	snprintf(w.data, WORD, "%s", data);
	if (!leads(c->member) || (c->txn == 'T' && c->term != term)) {
		refuse(c, "READONLY");
		return;
	}
	if (c->txn == 'T' && c->nwrites < 16)
		c->writes[c->nwrites++] = w;
	else
		commit_one(c->member, &w);
	done(c, id);
}

static void do_read(struct conn *c, const char *id, const char *item)
{
	if (c->txn == 'T' && !c->read_only &&
	    (!leads(c->member) || c->term != term)) {
		refuse(c, "READONLY");
		return;
	}
	say(c, "DATAROW %s", value_of(c->member, item));
	done(c, id);
}

static void do_begin(struct conn *c, bool read_only)
{
	if (!read_only && !leads(c->member)) {
		refuse(c, "READONLY");
		return;
	}
	c->txn = 'T';
	c->read_only = read_only;
	c->term = term;
	c->nwrites = 0;
	say(c, "COMPLETE -");
}

static void do_commit(struct conn *c, const char *id)
{
	bool lost = c->nwrites && (!leads(c->member) || c->term != term);

	if (lost || c->txn != 'T') {
		say(c, "ERROR READONLY %s", c->member->id);
	} else {
		for (int i = 0; i < c->nwrites; i++)
			commit_one(c->member, &c->writes[i]);
		done(c, id);
	}
	c->txn = 'I';
	c->nwrites = 0;
}

static struct prepared *find_prepared(struct conn *c, const char *name)
{
	for (int i = 0; i < c->nprepared; i++)
		if (!strcmp(c->prepared[i].name, name))
			return &c->prepared[i];
	return NULL;
}

static void do_prepare(struct conn *c, char *rest)
{
	char *save;
	const char *name = strtok_r(rest, " ", &save);
	const char *mode = strtok_r(NULL, " ", &save);
	struct prepared *p = find_prepared(c, name);

	if (!p && c->nprepared == MAX_PREPARED)
		abort();
	if (!p)
		p = &c->prepared[c->nprepared++];
	snprintf(p->name, WORD, "%s", name);
	p->writes = !strcmp(mode, "WRITE");
	say(c, "COMPLETE -");
}

static void status_row(struct conn *c)
{
	say(c, "DATAROW %s %" PRId64 " %" PRId64 ".%d 0 0 0 1",
	    leads(c->member) ? "primary" : "replica", term, term,
	    c->member->held);
	say(c, "COMPLETE -");
}

static void statement(struct conn *c, const char *id, char *text);
static void crash_member(struct member *m, struct conn *last);

static void do_wait(struct conn *c, const char *id, char *rest)
{
	char *end;
	long long t = strtoll(rest, &end, 10);
	long n = *end == '.' ? strtol(end + 1, &end, 10) : 0;

	if (t > term || (t == term && n > c->member->held))
		refuse(c, "LAGGING");
	else
		statement(c, id, end + 1);
}

static void do_execute(struct conn *c, const char *id, char *rest)
{
	char *save;
	char *name = strtok_r(rest, " ", &save);
	char *item = strtok_r(NULL, " ", &save);
	const struct prepared *p = find_prepared(c, name);

	if (!p)
		refuse(c, "NOSTMT");
	else if (p->writes)
		do_write(c, id, item, save);
	else
		do_read(c, id, item);
}

/* A statement of a caller that finds no slot; the transaction goes on. */
static bool shed(struct conn *c, const char *id, const char *verb)
{
	if (!c->member->busy || !strcmp(id, "-") || !strcmp(verb, "WAITPOS"))
		return false;
	c->member->busy--;
	say(c, "ERROR BUSY %s", c->member->id);
	return true;
}

static void statement(struct conn *c, const char *id, char *text)
{
	char *save;
	char *verb = strtok_r(text, " ", &save);

	if (shed(c, id, verb))
		return;
	if (!strcmp(verb, "WAITPOS")) {
		do_wait(c, id, save);
	} else if (!strcmp(verb, "READ")) {
		c->member->reads++;
		do_read(c, id, save);
	} else if (!strcmp(verb, "WRITE")) {
		char *item = strtok_r(NULL, " ", &save);

		do_write(c, id, item, save);
	} else if (!strcmp(verb, "EXECUTE")) {
		do_execute(c, id, save);
	} else if (!strcmp(verb, "BEGIN")) {
		do_begin(c, !strcmp(save, "READ"));
	} else if (!strcmp(verb, "COMMIT")) {
		do_commit(c, id);
	} else if (!strcmp(verb, "ROLLBACK")) {
		c->txn = 'I';
		c->nwrites = 0;
		say(c, "COMPLETE -");
	} else if (!strcmp(verb, "PREPARE")) {
		do_prepare(c, save);
	} else if (!strcmp(verb, "RESET")) {
		c->nprepared = 0;
		say(c, "COMPLETE -");
	} else if (!strcmp(verb, "SET")) {
		say(c, "COMPLETE -");
	} else if (!strcmp(verb, "STATUS") || !strcmp(verb, "PAUSE") ||
		   !strcmp(verb, "RESUME")) {
		status_row(c);
	} else if (!strcmp(verb, "STEPDOWN")) {
		if (leads(c->member))
			leader = nmembers; /* nobody leads */
		status_row(c);
	} else {
		refuse(c, "MALFORMED");
	}
}

static void drop(struct conn *c)
{
	struct conn **p = &conns;

	while (*p != c)
		p = &(*p)->next;
	*p = c->next;
	net_free(c->net);
	free(c->work);
	free(c);
}

static int count_connections(const struct member *m)
{
	int n = 0;

	for (const struct conn *c = conns; c; c = c->next)
		n += c->member == m && c->started;
	return n;
}

/* False if the connection is to be closed. */
static bool startup(struct conn *c, char *rest)
{
	char *save;
	const char *name = strtok_r(rest, " ", &save);
	const char *id;

	strtok_r(NULL, " ", &save);
	id = strtok_r(NULL, " ", &save);
	if (limit && count_connections(c->member) >= limit) {
		say(c, "ERROR CONNLIMIT %s", c->member->id);
		net_finish(c->net);
		return false;
	}
	c->started = true;
	if (!strcmp(name, group) && (!id || !strcmp(id, c->member->id))) {
		ready(c);
		return true;
	}
	say(c, "ERROR WRONGNODE %s", c->member->id);
	net_finish(c->net);
	return false;
}

static bool needs_slot(const char *line)
{
	static const char *const verbs[] = {" READ ", " WRITE ", " EXECUTE ",
					    " COMMIT"};

	if (!slots || strncmp(line, "QUERY ", 6) || strstr(line, " BEGIN") ||
	    strstr(line, " PREPARE "))
		return false;
	for (size_t i = 0; i < sizeof(verbs) / sizeof(verbs[0]); i++)
		if (strstr(line, verbs[i]))
			return true;
	return false;
}

/* Lets a line wait for a slot; false if too many do. */
static bool enqueue(struct conn *c, const char *line)
{
	int waiting = 0;

	for (const struct conn *x = conns; x; x = x->next)
		waiting += x->member == c->member && x->work && !x->due;
	if (waiting >= MAX_WAITING)
		return false;
	c->work = strdup(line);
	if (!c->work)
		abort();
	c->turn = ++turns;
	c->due = 0;
	return true;
}

/* False if the connection was closed. */
static bool take_line(struct conn *c, char *line)
{
	char *save;
	char *word = strtok_r(line, " ", &save);
	char *id;

	if (!word)
		return true;
	if (!strcmp(word, "STARTUP"))
		return startup(c, save);
	if (strcmp(word, "QUERY") != 0)
		return true;
	id = strtok_r(NULL, " ", &save);
	c->losing = c->member->lose && strcmp(id, "-") != 0;
	if (c->losing)
		c->member->lose--;
	if (c->member->lies && strcmp(id, "-") != 0) {
		drop(c);
		return false;
	}
	statement(c, id, save);
	if (c->member->cut && strcmp(id, "-") != 0) {
		c->member->cut = false;
		drop(c);
		return false;
	}
	ready(c);
	c->losing = false;
	if (c->member->tired && !c->member->busy) {
		crash_member(c->member, c);
		return false;
	}
	return true;
}

static void on_read(void *arg)
{
	struct conn *c = arg;
	struct buf *in = net_in(c->net);
	char *end;

	while (!c->work && buf_len(in) &&
	       (end = memchr(buf_data(in), '\n', buf_len(in)))) {
		size_t used = (size_t)(end - buf_data(in)) + 1;

		end[-1] = '\0';
		if (needs_slot(buf_data(in))) {
			if (!enqueue(c, buf_data(in))) {
				refuse(c, "BUSY");
				ready(c);
			}
		} else if (!take_line(c, buf_data(in))) {
			return;
		}
		buf_consume(in, used);
	}
}

/* The statement that came first and waits for a slot of the member. */
static struct conn *next_waiting(const struct member *m)
{
	struct conn *first = NULL;

	for (struct conn *c = conns; c; c = c->next)
		if (c->member == m && c->work && !c->due &&
		    (!first || c->turn < first->turn))
			first = c;
	return first;
}

static struct conn *next_done(const struct member *m, clk_ms now, int *running)
{
	struct conn *done = NULL;

	*running = 0;
	for (struct conn *c = conns; c; c = c->next) {
		if (c->member != m || !c->work || !c->due)
			continue;
		if (now >= c->due)
			done = c;
		else
			(*running)++;
	}
	return done;
}

static void work(struct member *m, clk_ms now)
{
	struct conn *c;
	int running;

	while ((c = next_done(m, now, &running))) {
		char *line = c->work;
		bool open;

		c->work = NULL;
		open = take_line(c, line);
		free(line);
		if (open)
			on_read(c);
	}
	while (running < slots && (c = next_waiting(m))) {
		c->due = now + work_ms;
		running++;
	}
}

static void on_close(void *arg)
{
	drop(arg);
}

static void on_accept(void *arg, int fd)
{
	struct conn *c = calloc(1, sizeof(*c));
	struct net_handler h = {
		.arg = c, .on_read = on_read, .on_close = on_close};

	if (!c)
		abort();
	c->member = arg;
	c->txn = 'I';
	c->net = net_accepted(loop, fd, &h);
	c->next = conns;
	conns = c;
}

static void start_member(struct member *m)
{
	struct err e = ERR_INIT;

	m->running = true;
	m->born = clk_wall();
	m->sequence = 0;
	if (net_listen(&m->listener, loop, m->addr, on_accept, m, &e)) {
		fprintf(stderr, "platform: %s\n", e.text);
		exit(1);
	}
}

/* What was said on the connection last, if there is one, still arrives. */
static void crash_member(struct member *m, struct conn *last)
{
	struct conn *next;

	m->running = false;
	m->tired = false;
	net_listener_free(m->listener);
	m->listener = NULL;
	for (struct conn *c = conns; c; c = next) {
		next = c->next;
		if (last && c == last)
			net_finish(c->net);
		else if (c->member == m)
			drop(c);
	}
}

static void tire_member(struct member *m, int statements)
{
	m->busy = statements;
	m->tired = true;
}

struct announce {
	struct member *member;
	int tries;
};

static void announce(struct announce *a);

/* The next instance is tried after a redirect, too. */
static void on_announced(void *arg, int status)
{
	struct announce *a = arg;

	if (status == 200 || ++a->tries >= ncontrols)
		free(a);
	else
		announce(a);
}

static void announce(struct announce *a)
{
	static int next;
	struct member *m = a->member;
	struct buf text = BUF_INIT;
	struct buf body = BUF_INIT;

	if (a->tries)
		next++;
	buf_addf(&body,
		 "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"za\","
		 "\"slots\":%d,\"state\":\"%s\",\"db_role\":\"%s\","
		 "\"born\":%" PRId64 ",\"seq\":%" PRId64 "}",
		 group, m->announced_addr, slots ? slots : DEFAULT_SLOTS,
		 m->leaving ? "draining" : "ready",
		 leads(m) ? "primary" : "replica", m->born, ++m->sequence);
	buf_addf(&text,
		 "PUT /marjoramlatch/instances/%s HTTP/1.1\r\n"
		 "Content-Length: %zu\r\nConnection: close\r\n\r\n",
		 m->id, buf_len(&body));
	buf_add(&text, buf_data(&body), buf_len(&body));
	if (!http_call(loop, controls[next % ncontrols], &text, 1000,
		       on_announced, a))
		free(a);
	buf_free(&body);
	buf_free(&text);
}

static void announce_now(struct member *m, clk_ms now)
{
	struct announce *a = calloc(1, sizeof(*a));

	if (!a)
		abort();
	m->announced = now;
	a->member = m;
	announce(a);
}

static void promote(clk_ms now)
{
	struct member *m = &members[promoting];

	leader = promoting;
	promoting = -1;
	term++;
	ncommits = m->held;
	for (int i = 0; i < nmembers; i++)
		if (members[i].held > ncommits)
			members[i].held = ncommits;
	announce_now(m, now);
}

static void on_tick(struct ev_loop *l, ev_timer *w, int events)
{
	clk_ms now = clk_now();

	(void)l;
	(void)w;
	(void)events;
	if (promoting >= 0 && now >= promote_at)
		promote(now);
	for (int i = 0; i < nmembers; i++) {
		struct member *m = &members[i];

		if (slots)
			work(m, now);
		while (m->held < ncommits && m->running &&
		       now - commits[m->held].at >= lag_ms)
			m->held++;
		if (m->running && !m->mute && now - m->announced >= ANNOUNCE_MS)
			announce_now(m, now);
	}
}

static struct member *member_named(const char *id)
{
	for (int i = 0; id && i < nmembers; i++)
		if (!strcmp(members[i].id, id))
			return &members[i];
	return NULL;
}

/* Headers are not delivered by the server, so the fence is set by "fence". */
static struct http_server *promoter;

static void on_promote(void *arg, const struct http_request *q)
{
	struct json_tokener *tok = json_tokener_new();
	struct json_object *o =
		json_tokener_parse_ex(tok, q->body, (int)q->len);
	struct json_object *id;
	struct member *m = NULL;
	int status = 409;

	(void)arg;
	if (o && json_object_object_get_ex(o, "id", &id))
		m = member_named(json_object_get_string(id));
	if (m && m->running && !fence) {
		status = 200;
		if (!leads(m)) {
			promoting = (int)(m - members);
			promote_at = clk_now() + PROMOTE_MS;
		}
	}
	json_object_put(o);
	json_tokener_free(tok);
	http_answer(promoter, q->number,
		    &(struct http_response){.status = status});
}

static int count_item(const struct commit *list, int len, const char *item)
{
	int n = 0;

	for (int i = 0; i < len; i++)
		n += !strcmp(list[i].item, item);
	return n;
}

static void run_command(struct buf *out, char *line)
{
	char *save;
	const char *verb = strtok_r(line, " ", &save);
	const char *arg = strtok_r(NULL, " ", &save);
	struct member *m = member_named(arg);

	if (m && !strcmp(verb, "crash"))
		crash_member(m, NULL);
	else if (m && !strcmp(verb, "start"))
		start_member(m);
	else if (m && !strcmp(verb, "mute"))
		m->mute = true;
	else if (m && !strcmp(verb, "speak"))
		m->mute = false;
	else if (m && !strcmp(verb, "leave"))
		m->leaving = true;
	else if (m && !strcmp(verb, "lose"))
		m->lose = atoi(save);
	else if (m && !strcmp(verb, "cut"))
		m->cut = true;
	else if (m && !strcmp(verb, "lie"))
		m->lies = atoi(save);
	else if (m && !strcmp(verb, "busy"))
		m->busy = atoi(save);
	else if (m && !strcmp(verb, "tire"))
		tire_member(m, atoi(save));
	else if (arg && !strcmp(verb, "lag"))
		lag_ms = atoi(arg);
	else if (arg && !strcmp(verb, "slots")) {
		slots = atoi(arg);
		work_ms = atoi(save);
	} else if (arg && !strcmp(verb, "limit"))
		limit = atoi(arg);
	else if (arg && !strcmp(verb, "fence"))
		fence = atoi(arg);
	if (!strcmp(verb, "primary"))
		buf_addf(out, "%s\n",
			 leader < nmembers ? members[leader].id : "none");
	else if (!strcmp(verb, "commits"))
		buf_addf(out, "%d\n", ncommits);
	else if (!strcmp(verb, "runs"))
		buf_addf(out, "%" PRId64 "\n", runs);
	else if (m && !strcmp(verb, "connections"))
		buf_addf(out, "%d\n", count_connections(m));
	else if (m && !strcmp(verb, "reads"))
		buf_addf(out, "%d\n", m->reads);
	else if (arg && !strcmp(verb, "count"))
		buf_addf(out, "%d\n", count_item(commits, ncommits, arg));
	else if (arg && !strcmp(verb, "ever"))
		buf_addf(out, "%d\n", count_item(ever, never, arg));
	else
		buf_addstr(out, "ok\n");
}

struct command {
	struct net_conn *net;
};

static void command_read(void *arg)
{
	struct command *c = arg;
	struct buf *in = net_in(c->net);
	char *end;

	while (buf_len(in) && (end = memchr(buf_data(in), '\n', buf_len(in)))) {
		size_t used = (size_t)(end - buf_data(in)) + 1;

		*end = '\0';
		run_command(net_out(c->net), buf_data(in));
		buf_consume(in, used);
		net_flush(c->net);
	}
}

static void command_close(void *arg)
{
	struct command *c = arg;

	net_free(c->net);
	free(c);
}

static void command_accept(void *arg, int fd)
{
	struct command *c = calloc(1, sizeof(*c));
	struct net_handler h = {
		.arg = c, .on_read = command_read, .on_close = command_close};

	(void)arg;
	if (!c)
		abort();
	c->net = net_accepted(loop, fd, &h);
}

int main(int argc, char **argv)
{
	struct net_listener *commands;
	struct err e = ERR_INIT;
	ev_timer tick;
	char *save;

	if (argc != 6)
		return 129;
	signal(SIGPIPE, SIG_IGN);
	loop = ev_default_loop(EVFLAG_AUTO);
	commits = calloc(MAX_COMMITS, sizeof(*commits));
	ever = calloc(MAX_COMMITS, sizeof(*ever));
	if (!commits || !ever)
		abort();
	group = argv[3];
	for (char *a = strtok_r(argv[4], ",", &save); a;
	     a = strtok_r(NULL, ",", &save))
		controls[ncontrols++] = a;
	for (char *a = strtok_r(argv[5], ",", &save); a;
	     a = strtok_r(NULL, ",", &save)) {
		struct member *m = &members[nmembers];

		snprintf(m->id, sizeof(m->id), "m%d", nmembers++);
		m->addr = a;
		m->announced_addr = a;
		if (strchr(a, '=')) {
			m->announced_addr = strchr(a, '=') + 1;
			*strchr(a, '=') = '\0';
		}
		start_member(m);
	}
	if (net_listen(&commands, loop, argv[1], command_accept, NULL, &e) ||
	    http_serve(&promoter, loop, argv[2], on_promote, NULL, &e)) {
		fprintf(stderr, "platform: %s\n", e.text);
		return 1;
	}
	ev_timer_init(&tick, on_tick, 0.0, TICK_MS / 1000.0);
	ev_timer_start(loop, &tick);
	ev_run(loop, 0);
	return 0;
}
