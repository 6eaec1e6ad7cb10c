/*
 * Stand-in for the users' platform, for tests: all members (database servers)
 * of one group, which speak the line protocol and announce themselves, and the
 * promoter, the HTTP service that makes a member the primary.
 *
 *   platform COMMANDS PROMOTER GROUP CONTROL,... MEMBER,...
 *
 * All arguments but GROUP are ip:port; a MEMBER may be followed by =ip:port,
 * which it announces in place of the address that it listens on. The members
 * are called m0, m1, ...; m0 is the first primary.
 *
 * A statement carries the id of a caller's request, or "-" if the proxy sends
 * it for its own purposes. Faults that count statements count only those with
 * an id.
 *
 * An item may be written as ITEM~TAG, where TAG is the value that the caller
 * was told for the session value "tag", or "none". A statement that runs with
 * another one on its connection is counted.
 *
 * COMMANDS is the address that accepts these commands, one a line, and answers
 * each with "ok" or a value:
 *
 *   crash M, start M     closes all connections of the member and stops it;
 *                        starts it again
 *   mute M, speak M      the member sends no answers and no announcements,
 *                        while its connections stay open; ends that
 *   leave M              the member announces that it leaves
 *   slots N MS           each member runs N statements at a time, each for MS
 *                        milliseconds; up to 16 wait for a slot, and further
 *                        ones are refused with BUSY; 0 stands for no limit
 *   limit N              each member accepts N connections; 0 for no limit
 *   connections M        prints how many connections the member has
 *   transactions M       prints how many of them are in a transaction
 *   lag MS               replicas apply a commit MS milliseconds later
 *   deaf M, hear M       the member receives no commits and hears of no
 *                        promotion of another member, so that it stays at the
 *                        position of its own log; ends that, and rolls back
 *                        what a promotion has discarded in the meantime
 *   end M, succeed M     the member says that it has ended, and stops; a member
 *                        with a new id starts at its address, with its log.
 *                        Commands call it M, too
 *   sync N               a commit is answered once N replicas hold it
 *   late M N MS          leaves the next N orders to the member unanswered and
 *                        carries them out MS milliseconds later
 *   lose M N             runs the next N statements, but sends no answers
 *   cut M                runs the next statement, then closes its connection
 *                        without an answer
 *   lie M 0|1            1: the member announces itself as before, but closes
 *                        the connection on each statement without running it;
 *                        0 ends that
 *   busy M N             refuses the next N statements with BUSY
 *   tire M N             the same, and the member crashes after it has
 *                        answered the last of them
 *   fence N              unless N is 0, the promoter refuses all promotions
 *   depose 0|1           0: a primary that is replaced goes on in its own term,
 *                        from its own log, until it is told to step down; 1
 *                        (the start): it is deposed by the promotion
 *   wrong_values         prints how many statements ran with another session
 *                        value than their caller was told
 *   strays ITEM          prints how many commits that wrote ITEM a primary made
 *                        after it was replaced
 *   primary              prints which member is the primary
 *   commits              prints the number of commits that were not rolled back
 *   count ITEM           prints how many of these wrote ITEM
 *   ever ITEM            the same, including commits that a promotion has
 *                        rolled back
 *   runs                 prints how many statements with an id have succeeded
 *   reads M              prints how many READ statements the member has run
 *   tenants              prints the names that were given at STARTUP
 *   statements NAME      prints how many statements with an id have succeeded
 * on connections that gave this name
 */
#include "clock.h"
#include "http.h"
#include "log.h"
#include "net.h"
#include "stmt.h"
#include "tenants.h"

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
	DEFAULT_SLOTS = 5, /* announced if the number of slots isn't limited */
	MAX_WAITING = 16, /* statements of a member that wait for a slot */
	MAX_PROMOTIONS = 1000,
	MAX_LATE_ORDERS = 100,
	WORD_LEN = 96
};

struct commit {
	char item[WORD_LEN];
	char data[WORD_LEN];
	clk_ms at;
	int64_t serial; /* differs between all commits */
};

/* A promotion that is part of the log. */
struct promotion {
	int64_t term;
	int after; /* number of commits before it */
};

struct member {
	char name[8]; /* in commands */
	char id[16]; /* differs from the name after "succeed" */
	unsigned char successors; /* members at its address before it */
	const char *addr;
	const char *announced_addr;
	struct net_listener *listener;
	bool running;
	bool unresponsive;
	bool leaving;
	bool ended; /* until its successor starts */
	bool paused; /* receives nothing, by an order */
	int late_orders; /* orders that are carried out late */
	clk_ms late_ms;
	int answers_to_suppress; /* statements whose answers are not sent */
	int busy_answers_left; /* statements that are refused with BUSY */
	bool crash_after_busy; /* crash when none of these are left */
	bool close_after_next; /* close after the next statement */
	/* Close the connection on each statement, but announce as before. */
	bool close_on_statement;
	int reads; /* READ statements that it ran */
	int applied; /* commits that it has applied */
	bool deaf;
	int64_t deaf_term; /* of its log, while it is deaf */
	/* Its log if it was deaf during a promotion; else NULL, and the log is
	 * the first part of "commits". */
	struct commit *own_log;
	int64_t own_term; /* of a replaced primary that goes on; else 0 */
	int64_t sequence; /* of its announcements */
	clk_ms started_at;
	clk_ms announced_at;
};

struct prepared {
	char name[WORD_LEN];
	bool writes;
};

struct conn {
	struct conn *next;
	struct net_conn *net;
	struct member *member;
	struct tenant *tenant; /* named at STARTUP */
	bool started;
	char *pending_line; /* line that waits for a slot or runs */
	int64_t arrival; /* order in which lines arrived */
	clk_ms due; /* when the line has run; 0 while it waits */
	char txn; /* idle (I), in a transaction (T) or failed (E) */
	bool read_only;
	bool suppress_answer; /* do not send the answer of this statement */
	int64_t term; /* in which the transaction began */
	struct commit writes[16];
	int nwrites;
	/* Commit whose answer waits for replicas; 0 if there is none. */
	int awaited;
	int64_t awaited_serial;
	int64_t awaited_term;
	char awaited_id[WORD_LEN];
	struct prepared prepared[MAX_PREPARED];
	int nprepared;
	char tag[WORD_LEN]; /* session value; empty if it is not set */
};

static struct ev_loop *loop;
static const char *group;
static char *controls[MAX_MEMBERS];
static int ncontrols;
static int wrong_values;
static struct member members[MAX_MEMBERS];
static int nmembers;
static struct commit *commits;
static int ncommits;
/* All commits, including those that a promotion has rolled back. */
static struct commit *all_commits;
static int nall_commits;
static int primary_index;
static int64_t term = 1;
/* Promotions in the log of the primary, oldest first. */
static struct promotion promotions[MAX_PROMOTIONS] = {{.term = 1}};
static int npromotions = 1;
static int64_t fence;
static bool promotion_deposes = true;
/* Commits that replaced primaries have made. */
static struct commit *strays;
static int nstrays;
static clk_ms lag_ms = 5;
static int max_connections;
static int slots;
static clk_ms statement_ms;
static int64_t last_arrival;
static int promotion_index = -1;
static clk_ms promote_at;
static struct conn *conns;
static int64_t runs;
static int sync_replicas;

struct late_order {
	struct member *member;
	char text[WORD_LEN];
	clk_ms at;
};

static struct late_order late_orders[MAX_LATE_ORDERS];
static int nlate_orders;

/* Whether the member leads, or goes on as if it did. */
static bool is_primary(const struct member *m)
{
	return m == &members[primary_index] || m->own_term;
}

/* Term of the last commit or promotion in the member's log. */
static int64_t log_term_of(const struct member *m)
{
	int last = npromotions - 1;

	if (m->deaf)
		return m->deaf_term;
	while (last && promotions[last].after > m->applied)
		last--;
	return promotions[last].term;
}

static int64_t term_of(const struct member *m)
{
	return m->own_term ? m->own_term : log_term_of(m);
}

static const struct commit *log_of(const struct member *m)
{
	return m->own_log ? m->own_log : commits;
}

static const char *value_of(const struct member *m, const char *item)
{
	const struct commit *log = log_of(m);

	for (int i = m->applied - 1; i >= 0; i--)
		if (!strcmp(log[i].item, item))
			return log[i].data;
	return "none";
}

static void send_line(struct conn *c, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void send_line(struct conn *c, const char *fmt, ...)
{
	char line[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(line, sizeof(line), fmt, ap);
	va_end(ap);
	if (!c->member->unresponsive && !c->suppress_answer)
		buf_addf(net_output(c->net), "%s\r\n", line);
}

static void send_ready(struct conn *c)
{
	send_line(c, "READY %c %" PRId64 ".%d", c->txn, term_of(c->member),
		  c->member->applied);
	net_flush(c->net);
}

static void send_error(struct conn *c, const char *code)
{
	send_line(c, "ERROR %s %s", code, c->member->id);
	if (c->txn == 'T')
		c->txn = 'E';
}

static void send_complete(struct conn *c, const char *id)
{
	if (strcmp(id, "-") != 0) {
		runs++;
		tenant_count_statement(c->tenant);
	}
	send_line(c, "COMPLETE %s.%s", c->member->id, id);
}

static void commit_one(struct member *m, const struct commit *w)
{
	if (m->own_term) {
		if (nstrays == MAX_COMMITS)
			abort();
		strays[nstrays++] = *w;
		return;
	}
	if (nall_commits == MAX_COMMITS)
		abort();
	all_commits[nall_commits++] = *w;
	commits[ncommits] = *w;
	commits[ncommits].at = clk_now();
	commits[ncommits].serial = nall_commits;
	m->applied = ++ncommits;
}

/* Answers a commit, or lets it wait for the replicas. */
static void answer_commit(struct conn *c, const char *id)
{
	if (!sync_replicas || c->member->own_term) {
		send_complete(c, id);
		return;
	}
	c->awaited = ncommits;
	c->awaited_serial = commits[ncommits - 1].serial;
	c->awaited_term = term;
	snprintf(c->awaited_id, WORD_LEN, "%s", id);
}

static bool holds(const struct member *m, int number, int64_t serial)
{
	return m->applied >= number && log_of(m)[number - 1].serial == serial;
}

static bool is_replicated(const struct conn *c)
{
	int holders = 0;

	for (int i = 0; i < nmembers; i++)
		holders += &members[i] != c->member && members[i].running &&
			   holds(&members[i], c->awaited, c->awaited_serial);
	return holders >= sync_replicas;
}

/* True in a transaction that may write and whose member has lost the lead. */
static bool is_deposed(const struct conn *c)
{
	return c->txn == 'T' && !c->read_only &&
	       (!is_primary(c->member) || c->term != term_of(c->member));
}

/* Copies the item without its tag, which is compared with the value of the
 * connection. */
static void take_item(const struct conn *c, const char *word, char *item)
{
	const char *tag = strchr(word, '~');
	const char *have = c->tag[0] ? c->tag : "none";

	snprintf(item, WORD_LEN, "%.*s", (int)strcspn(word, "~"), word);
	if (!tag || !strcmp(tag + 1, have))
		return;
	wrong_values++;
	fprintf(stderr, "%s ran with tag %s at %s\n", word, have,
		c->member->name);
}

static void do_write(struct conn *c, const char *id, const char *item,
		     const char *data)
{
	struct commit w = {0};

	if (!is_primary(c->member) || is_deposed(c)) {
		send_error(c, "READONLY");
		return;
	}
	take_item(c, item, w.item);
	snprintf(w.data, WORD_LEN, "%s", data);
	if (c->txn == 'T' && c->nwrites < 16) {
		c->writes[c->nwrites++] = w;
		send_complete(c, id);
		return;
	}
	commit_one(c->member, &w);
	answer_commit(c, id);
}

static void do_read(struct conn *c, const char *id, const char *word)
{
	char item[WORD_LEN];

	if (is_deposed(c)) {
		send_error(c, "READONLY");
		return;
	}
	take_item(c, word, item);
	send_line(c, "DATAROW %s", value_of(c->member, item));
	send_complete(c, id);
}

static void do_begin(struct conn *c, bool read_only)
{
	if (!read_only && !is_primary(c->member)) {
		send_error(c, "READONLY");
		return;
	}
	c->txn = 'T';
	c->read_only = read_only;
	c->term = term_of(c->member);
	c->nwrites = 0;
	send_line(c, "COMPLETE -");
}

static void do_commit(struct conn *c, const char *id)
{
	bool lost = c->nwrites &&
		    (!is_primary(c->member) || c->term != term_of(c->member));

	if (lost || c->txn != 'T') {
		send_line(c, "ERROR READONLY %s", c->member->id);
	} else {
		for (int i = 0; i < c->nwrites; i++)
			commit_one(c->member, &c->writes[i]);
		if (c->nwrites)
			answer_commit(c, id);
		else
			send_complete(c, id);
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
	snprintf(p->name, WORD_LEN, "%s", name);
	p->writes = !strcmp(mode, "WRITE");
	send_line(c, "COMPLETE -");
}

static void send_status(struct conn *c)
{
	send_line(c, "DATAROW %s %" PRId64 " %" PRId64 ".%d 0 0 0 1",
		  is_primary(c->member) ? "primary" : "replica",
		  term_of(c->member), term_of(c->member), c->member->applied);
	send_line(c, "COMPLETE -");
}

/* PAUSE, RESUME or STEPDOWN. */
static void carry_out(struct member *m, const char *text)
{
	if (!strncmp(text, "PAUSE ", 6))
		m->paused |= !is_primary(m) && atoll(text + 6) > term_of(m);
	else if (!strncmp(text, "RESUME", 6))
		m->paused = false;
	else if (m->own_term)
		m->own_term = 0;
	else if (is_primary(m))
		primary_index = nmembers; /* no primary */
}

static void do_order(struct conn *c, const char *verb, const char *rest)
{
	struct member *m = c->member;
	struct late_order o = {.member = m, .at = clk_now() + m->late_ms};

	snprintf(o.text, WORD_LEN, "%s %s", verb, rest ? rest : "");
	if (m->late_orders && nlate_orders < MAX_LATE_ORDERS) {
		m->late_orders--;
		late_orders[nlate_orders++] = o;
		c->suppress_answer = true;
		return;
	}
	carry_out(m, o.text);
	send_status(c);
}

static void run_late_orders(clk_ms now)
{
	int kept = 0;

	for (int i = 0; i < nlate_orders; i++)
		if (now < late_orders[i].at)
			late_orders[kept++] = late_orders[i];
		else if (late_orders[i].member->running)
			carry_out(late_orders[i].member, late_orders[i].text);
	nlate_orders = kept;
}

static void run_statement(struct conn *c, const char *id, char *text);
static void crash_member(struct member *m, struct conn *last);

static void do_wait(struct conn *c, const char *id, char *rest)
{
	char *end;
	long long t = strtoll(rest, &end, 10);
	long n = *end == '.' ? strtol(end + 1, &end, 10) : 0;

	if (t > term_of(c->member) ||
	    (t == term_of(c->member) && n > c->member->applied))
		send_error(c, "LAGGING");
	else
		run_statement(c, id, end + 1);
}

static void do_execute(struct conn *c, const char *id, char *rest)
{
	char *save;
	char *name = strtok_r(rest, " ", &save);
	char *item = strtok_r(NULL, " ", &save);
	const struct prepared *p = find_prepared(c, name);

	if (!p)
		send_error(c, "NOSTMT");
	else if (p->writes)
		do_write(c, id, item, save);
	else
		do_read(c, id, item);
}

/* Refuses a statement with BUSY if the command "busy" or "tire" asks for it. An
 * open transaction can continue. */
static bool refuse_if_busy(struct conn *c, const char *id, const char *verb)
{
	if (!c->member->busy_answers_left || !strcmp(id, "-") ||
	    !strcmp(verb, "WAITPOS"))
		return false;
	c->member->busy_answers_left--;
	send_line(c, "ERROR BUSY %s", c->member->id);
	return true;
}

/* Changes what a session depends on. Returns false for other verbs. */
static bool change_context(struct conn *c, const char *verb, char *rest)
{
	char *save;
	bool prepare = !strcmp(verb, "PREPARE");
	bool reset = !strcmp(verb, "RESET");

	if (!prepare && !reset && strcmp(verb, "SET") != 0)
		return false;
	if (c->txn == 'E') {
		send_error(c, "MALFORMED");
	} else if (is_deposed(c)) {
		send_error(c, "READONLY");
	} else if (prepare) {
		do_prepare(c, rest);
	} else {
		if (reset)
			c->nprepared = 0;
		if (reset)
			c->tag[0] = '\0';
		else if (!strcmp(strtok_r(rest, " ", &save), "tag"))
			snprintf(c->tag, WORD_LEN, "%s", save);
		send_line(c, "COMPLETE -");
	}
	return true;
}

static void run_statement(struct conn *c, const char *id, char *text)
{
	char *save;
	char *verb = strtok_r(text, " ", &save);

	if (refuse_if_busy(c, id, verb) || change_context(c, verb, save))
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
		send_line(c, "COMPLETE -");
	} else if (!strcmp(verb, "STATUS")) {
		send_status(c);
	} else if (!strcmp(verb, "PAUSE") || !strcmp(verb, "RESUME") ||
		   !strcmp(verb, "STEPDOWN")) {
		do_order(c, verb, save);
	} else {
		send_error(c, "MALFORMED");
	}
}

static void conn_free(struct conn *c)
{
	struct conn **p = &conns;

	while (*p != c)
		p = &(*p)->next;
	*p = c->next;
	net_free(c->net);
	free(c->pending_line);
	free(c);
}

static int count_connections(const struct member *m)
{
	int n = 0;

	for (const struct conn *c = conns; c; c = c->next)
		n += c->member == m && c->started;
	return n;
}

static int count_transactions(const struct member *m)
{
	int n = 0;

	for (const struct conn *c = conns; c; c = c->next)
		n += c->member == m && c->txn == 'T';
	return n;
}

/* Returns false if the connection is refused and will be closed. */
static bool startup(struct conn *c, char *rest)
{
	char *save;
	const char *name = strtok_r(rest, " ", &save);
	const char *tenant = strtok_r(NULL, " ", &save);
	const char *id;

	c->tenant = tenant_named(tenant ? tenant : "");
	id = strtok_r(NULL, " ", &save);
	if (max_connections &&
	    count_connections(c->member) >= max_connections) {
		send_line(c, "ERROR CONNLIMIT %s", c->member->id);
		net_close_after_flush(c->net);
		return false;
	}
	c->started = true;
	if (!strcmp(name, group) && (!id || !strcmp(id, c->member->id))) {
		send_ready(c);
		return true;
	}
	send_line(c, "ERROR WRONGNODE %s", c->member->id);
	net_close_after_flush(c->net);
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

/* Queues a line for a slot; returns false if too many wait already. */
static bool enqueue(struct conn *c, const char *line)
{
	int waiting = 0;

	for (const struct conn *x = conns; x; x = x->next)
		waiting += x->member == c->member && x->pending_line && !x->due;
	if (waiting >= MAX_WAITING)
		return false;
	c->pending_line = strdup(line);
	if (!c->pending_line)
		abort();
	c->arrival = ++last_arrival;
	c->due = 0;
	return true;
}

/* Handles a line; returns false if this closed the connection. */
static bool handle_line(struct conn *c, char *line)
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
	c->suppress_answer =
		c->member->answers_to_suppress && strcmp(id, "-") != 0;
	if (c->suppress_answer)
		c->member->answers_to_suppress--;
	if (c->member->close_on_statement && strcmp(id, "-") != 0) {
		conn_free(c);
		return false;
	}
	run_statement(c, id, save);
	if (c->member->close_after_next && strcmp(id, "-") != 0) {
		c->member->close_after_next = false;
		conn_free(c);
		return false;
	}
	if (c->awaited)
		return true;
	send_ready(c);
	c->suppress_answer = false;
	if (c->member->crash_after_busy && !c->member->busy_answers_left) {
		crash_member(c->member, c);
		return false;
	}
	return true;
}

static void on_read(void *arg)
{
	struct conn *c = arg;
	struct buf *in = net_input(c->net);
	char *end;

	while (!c->pending_line && !c->awaited && buf_len(in) &&
	       (end = memchr(buf_data(in), '\n', buf_len(in)))) {
		size_t used = (size_t)(end - buf_data(in)) + 1;

		end[-1] = '\0';
		if (needs_slot(buf_data(in))) {
			if (!enqueue(c, buf_data(in))) {
				send_error(c, "BUSY");
				send_ready(c);
			}
		} else if (!handle_line(c, buf_data(in))) {
			return;
		}
		buf_consume(in, used);
	}
}

/* Answers commits that replicas have received. Connections whose member has
 * lost the lead meanwhile are closed, since their commits may be discarded. */
static void answer_replicated_commits(void)
{
	struct conn *next;

	for (struct conn *c = conns; c; c = next) {
		next = c->next;
		if (!c->awaited)
			continue;
		if (c->member != &members[primary_index] ||
		    term != c->awaited_term) {
			conn_free(c);
		} else if (is_replicated(c)) {
			c->awaited = 0;
			send_complete(c, c->awaited_id);
			send_ready(c);
			c->suppress_answer = false;
			on_read(c);
			return; /* it may have freed other connections */
		}
	}
}

/* Returns the connection whose line has waited longest for a slot. */
static struct conn *next_waiting(const struct member *m)
{
	struct conn *first = NULL;

	for (struct conn *c = conns; c; c = c->next)
		if (c->member == m && c->pending_line && !c->due &&
		    (!first || c->arrival < first->arrival))
			first = c;
	return first;
}

static struct conn *next_done(const struct member *m, clk_ms now, int *running)
{
	struct conn *done = NULL;

	*running = 0;
	for (struct conn *c = conns; c; c = c->next) {
		if (c->member != m || !c->pending_line || !c->due)
			continue;
		if (now >= c->due)
			done = c;
		else
			(*running)++;
	}
	return done;
}

static void run_statements(struct member *m, clk_ms now)
{
	struct conn *c;
	int running;

	while ((c = next_done(m, now, &running))) {
		char *line = c->pending_line;
		bool open;

		c->pending_line = NULL;
		open = handle_line(c, line);
		free(line);
		if (open)
			on_read(c);
	}
	while (running < slots && (c = next_waiting(m))) {
		c->due = now + statement_ms;
		running++;
	}
}

static void on_close(void *arg)
{
	conn_free(arg);
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
	c->net = net_from_accepted(loop, fd, &h);
	c->next = conns;
	conns = c;
}

static void start_member(struct member *m)
{
	struct err e = ERR_INIT;

	if (m->running || m->ended)
		return;
	m->running = true;
	m->paused = false;
	m->started_at = clk_wall();
	m->sequence = 0;
	if (net_listen(&m->listener, loop, m->addr, on_accept, m, &e)) {
		fprintf(stderr, "platform: %s\n", e.text);
		exit(1);
	}
}

/* Stops a member and closes its connections. Output that is pending on the
 * connection "last" is still sent, unless it is NULL. */
static void crash_member(struct member *m, struct conn *last)
{
	struct conn *next;

	m->running = false;
	m->own_term = 0;
	m->crash_after_busy = false;
	net_listener_free(m->listener);
	m->listener = NULL;
	for (struct conn *c = conns; c; c = next) {
		next = c->next;
		if (last && c == last)
			net_close_after_flush(c->net);
		else if (c->member == m)
			conn_free(c);
	}
}

static void crash_member_after_busy(struct member *m, int statements)
{
	m->busy_answers_left = statements;
	m->crash_after_busy = true;
}

struct announce {
	struct member *member;
	int tries;
};

static void announce(struct announce *a);

/* Tries the next instance if the request failed or was redirected. */
static void on_announce_answer(void *arg, int status)
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
		 "\"version\":\"v1\",\"cold_left_ms\":0,"
		 "\"slots\":%d,\"state\":\"%s\",\"db_role\":\"%s\","
		 "\"born\":%" PRId64 ",\"seq\":%" PRId64 "}",
		 group, m->announced_addr, slots ? slots : DEFAULT_SLOTS,
		 m->leaving ? "draining" : "ready",
		 is_primary(m) ? "primary" : "replica", m->started_at,
		 ++m->sequence);
	buf_addf(&text,
		 "PUT /marjoramlatch/instances/%s HTTP/1.1\r\n"
		 "Content-Length: %zu\r\nConnection: close\r\n\r\n",
		 m->id, buf_len(&body));
	buf_add(&text, buf_data(&body), buf_len(&body));
	if (!http_client_send(loop, controls[next % ncontrols], &text, 1000,
			      on_announce_answer, a))
		free(a);
	buf_free(&body);
	buf_free(&text);
}

static void on_removal_answer(void *arg, int status)
{
	(void)arg;
	(void)status;
}

/* The member ends as planned. All instances are told, since only the leader
 * takes it. */
static void end_member(struct member *m)
{
	if (!m->running)
		return;
	m->ended = true;
	for (int i = 0; i < ncontrols; i++) {
		struct buf text = BUF_INIT;

		buf_addf(&text,
			 "DELETE /marjoramlatch/instances/%s HTTP/1.1\r\n"
			 "Content-Length: 0\r\nConnection: close\r\n\r\n",
			 m->id);
		http_client_send(loop, controls[i], &text, 1000,
				 on_removal_answer, NULL);
		buf_free(&text);
	}
	crash_member(m, NULL);
}

static void succeed_member(struct member *m)
{
	m->leaving = false;
	if (!m->ended)
		return;
	m->ended = false;
	m->successors = (m->successors + 1) % 100;
	snprintf(m->id, sizeof(m->id), "%s-%u", m->name, m->successors);
	start_member(m);
}

static void announce_now(struct member *m, clk_ms now)
{
	struct announce *a = calloc(1, sizeof(*a));

	if (!a)
		abort();
	m->announced_at = now;
	a->member = m;
	announce(a);
}

/* Rolls back the commits of a member that are not in the log of the primary. */
static void roll_back(struct member *m)
{
	const struct commit *log = log_of(m);
	int common = 0;

	while (common < m->applied && common < ncommits &&
	       log[common].serial == commits[common].serial)
		common++;
	m->applied = common;
	free(m->own_log);
	m->own_log = NULL;
}

static void start_deafness(struct member *m)
{
	if (m->deaf)
		return;
	m->deaf_term = log_term_of(m);
	m->deaf = true;
}

static void end_deafness(struct member *m)
{
	m->deaf = false;
	roll_back(m);
}

/* Gives each member its own log before "commits" becomes that of another
 * primary. */
static void separate_logs(void)
{
	for (int i = 0; i < nmembers; i++) {
		struct member *m = &members[i];
		size_t size = (size_t)m->applied * sizeof(*commits);

		if (m->own_log)
			continue;
		m->own_log = malloc(size + 1);
		if (!m->own_log)
			abort();
		memcpy(m->own_log, commits, size);
	}
}

/* Makes the log of a member that of the group, with a promotion at its end. */
static void lead_log(struct member *m)
{
	while (promotions[npromotions - 1].term > log_term_of(m))
		npromotions--;
	if (npromotions == MAX_PROMOTIONS)
		abort();
	separate_logs();
	ncommits = m->applied;
	memcpy(commits, m->own_log, (size_t)ncommits * sizeof(*commits));
	term++;
	promotions[npromotions++] =
		(struct promotion){.term = term, .after = ncommits};
	m->deaf_term = term;
	for (int i = 0; i < nmembers; i++)
		if (!members[i].deaf || &members[i] == m) {
			members[i].paused = false;
			roll_back(&members[i]);
		}
}

static void promote(clk_ms now)
{
	struct member *m = &members[promotion_index];

	if (!promotion_deposes && primary_index < nmembers &&
	    members[primary_index].running)
		members[primary_index].own_term = term;
	m->own_term = 0;
	primary_index = promotion_index;
	promotion_index = -1;
	lead_log(m);
	announce_now(m, now);
}

/* With synchronous replicas, what a primary that has crashed did not send stays
 * with it. */
static bool primary_sends(void)
{
	return !sync_replicas || primary_index == nmembers ||
	       members[primary_index].running;
}

static void on_tick(struct ev_loop *l, ev_timer *w, int events)
{
	clk_ms now = clk_now();

	(void)l;
	(void)w;
	(void)events;
	if (promotion_index >= 0 && now >= promote_at)
		promote(now);
	run_late_orders(now);
	for (int i = 0; i < nmembers; i++) {
		struct member *m = &members[i];

		if (slots)
			run_statements(m, now);
		while (m->applied < ncommits && m->running && !m->own_term &&
		       !m->deaf && !m->paused && primary_sends() &&
		       now - commits[m->applied].at >= lag_ms)
			m->applied++;
		if (m->running && !m->unresponsive &&
		    now - m->announced_at >= ANNOUNCE_MS)
			announce_now(m, now);
	}
	answer_replicated_commits();
}

static struct member *member_named(const char *id)
{
	for (int i = 0; id && i < nmembers; i++)
		if (!strcmp(members[i].name, id))
			return &members[i];
	return NULL;
}

static struct member *member_with_id(const char *id)
{
	for (int i = 0; id && i < nmembers; i++)
		if (!strcmp(members[i].id, id))
			return &members[i];
	return NULL;
}

/* The HTTP server does not deliver headers, so the promoter can't compare the
 * token of a request. The command "fence" makes it refuse requests instead. */
static struct http_server *promoter;

static void on_promote(void *arg, const struct http_request *q)
{
	struct json_tokener *tok = json_tokener_new();
	struct json_object *o =
		json_tokener_parse_ex(tok, q->body, (int)q->body_len);
	struct json_object *id;
	struct member *m = NULL;
	int status = 409;

	(void)arg;
	if (o && json_object_object_get_ex(o, "id", &id))
		m = member_with_id(json_object_get_string(id));
	if (m && m->running && !fence) {
		status = 200;
		if (m != &members[primary_index]) {
			promotion_index = (int)(m - members);
			promote_at = clk_now() + PROMOTE_MS;
		}
	}
	json_object_put(o);
	json_tokener_free(tok);
	http_respond(promoter, q->request_number,
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
		m->unresponsive = true;
	else if (m && !strcmp(verb, "speak"))
		m->unresponsive = false;
	else if (m && !strcmp(verb, "deaf"))
		start_deafness(m);
	else if (m && !strcmp(verb, "hear"))
		end_deafness(m);
	else if (m && !strcmp(verb, "leave"))
		m->leaving = true;
	else if (m && !strcmp(verb, "end"))
		end_member(m);
	else if (m && !strcmp(verb, "succeed"))
		succeed_member(m);
	else if (m && !strcmp(verb, "late")) {
		m->late_orders = atoi(strtok_r(NULL, " ", &save));
		m->late_ms = atoi(save);
	} else if (arg && !strcmp(verb, "sync"))
		sync_replicas = atoi(arg);
	else if (m && !strcmp(verb, "lose"))
		m->answers_to_suppress = atoi(save);
	else if (m && !strcmp(verb, "cut"))
		m->close_after_next = true;
	else if (m && !strcmp(verb, "lie"))
		m->close_on_statement = atoi(save);
	else if (m && !strcmp(verb, "busy"))
		m->busy_answers_left = atoi(save);
	else if (m && !strcmp(verb, "tire"))
		crash_member_after_busy(m, atoi(save));
	else if (arg && !strcmp(verb, "lag"))
		lag_ms = atoi(arg);
	else if (arg && !strcmp(verb, "slots")) {
		slots = atoi(arg);
		statement_ms = atoi(save);
	} else if (arg && !strcmp(verb, "limit"))
		max_connections = atoi(arg);
	else if (arg && !strcmp(verb, "fence"))
		fence = atoi(arg);
	else if (arg && !strcmp(verb, "depose"))
		promotion_deposes = atoi(arg);
	if (!strcmp(verb, "primary"))
		buf_addf(out, "%s\n",
			 primary_index < nmembers ? members[primary_index].name
						  : "none");
	else if (!strcmp(verb, "commits"))
		buf_addf(out, "%d\n", ncommits);
	else if (!strcmp(verb, "wrong_values"))
		buf_addf(out, "%d\n", wrong_values);
	else if (!strcmp(verb, "runs"))
		buf_addf(out, "%" PRId64 "\n", runs);
	else if (arg && !strcmp(verb, "statements"))
		buf_addf(out, "%d\n", tenant_statements(arg));
	else if (!strcmp(verb, "tenants")) {
		tenants_list(out);
		buf_addstr(out, "\n");
	} else if (m && !strcmp(verb, "connections"))
		buf_addf(out, "%d\n", count_connections(m));
	else if (m && !strcmp(verb, "transactions"))
		buf_addf(out, "%d\n", count_transactions(m));
	else if (m && !strcmp(verb, "reads"))
		buf_addf(out, "%d\n", m->reads);
	else if (arg && !strcmp(verb, "count"))
		buf_addf(out, "%d\n", count_item(commits, ncommits, arg));
	else if (arg && !strcmp(verb, "strays"))
		buf_addf(out, "%d\n", count_item(strays, nstrays, arg));
	else if (arg && !strcmp(verb, "ever"))
		buf_addf(out, "%d\n",
			 count_item(all_commits, nall_commits, arg));
	else
		buf_addstr(out, "ok\n");
}

struct command {
	struct net_conn *net;
};

static void command_read(void *arg)
{
	struct command *c = arg;
	struct buf *in = net_input(c->net);
	char *end;

	while (buf_len(in) && (end = memchr(buf_data(in), '\n', buf_len(in)))) {
		size_t used = (size_t)(end - buf_data(in)) + 1;

		*end = '\0';
		run_command(net_output(c->net), buf_data(in));
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
	c->net = net_from_accepted(loop, fd, &h);
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
	all_commits = calloc(MAX_COMMITS, sizeof(*all_commits));
	strays = calloc(MAX_COMMITS, sizeof(*strays));
	if (!commits || !all_commits || !strays)
		abort();
	group = argv[3];
	for (char *a = strtok_r(argv[4], ",", &save); a;
	     a = strtok_r(NULL, ",", &save))
		controls[ncontrols++] = a;
	for (char *a = strtok_r(argv[5], ",", &save); a;
	     a = strtok_r(NULL, ",", &save)) {
		struct member *m = &members[nmembers];

		snprintf(m->name, sizeof(m->name), "m%d", nmembers++);
		memcpy(m->id, m->name, sizeof(m->name));
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
