/*
 * Stand-in for the members of many database groups, to measure the control
 * process and its status polls without a backend process for each member. It
 * announces the members and answers the status, fence, promote and follow
 * functions for them, but runs no other statements.
 *
 *   members GROUPS IP PORT PASSWORD ENTRY...
 *
 * ENTRY is the ip:port of an instance that accepts announcements. Member I (1
 * to 3) of every group listens on IP:PORT+I; a connection's startup message
 * names the group as the database.
 */

#include "clock.h"
#include "cluster.h"
#include "net.h"
#include "pgwire.h"

#include <ev.h>
#include <libpq-fe.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
	MEMBERS = 3,
	MAX_GROUPS = 2000,
	MAX_ENTRIES = 64,
	ANNOUNCE_PERIOD_MS = 500
};

/* State of a member. */
struct fake_member {
	int64_t fence;
	int64_t term;
	bool primary;
};

struct fake_conn {
	struct net_conn *net;
	int member_index;
	struct fake_member *member; /* NULL before the startup message */
	char sql[256]; /* last statement that was queried or parsed */
};

static struct fake_member fake_members[MAX_GROUPS][MEMBERS];
static int member_indexes[MEMBERS];
static struct ev_loop *loop;
static int ngroups;
static const char *ip;
static int port;
static const char *password;
static char **entries;
static int nentries;

static const char *const status_columns[] = {
	"incarnation", "role",	 "fence_term",	    "log_term", "held",
	"applied",     "age_ms", "majority_age_ms", "slots",	"connections"};
enum { STATUS_COLUMNS = 10 };

static bool is_status(const char *sql)
{
	return strstr(sql, "_status") || strstr(sql, "_fence");
}

static void put_columns(struct buf *out, const char *sql)
{
	static const char *const one[] = {"result"};

	if (is_status(sql))
		pgw_put_text_row_description(out, status_columns,
					     STATUS_COLUMNS);
	else
		pgw_put_text_row_description(out, one, 1);
}

static void put_status(struct buf *out, const struct fake_member *f)
{
	char fence[24];
	char term[24];
	const char *values[STATUS_COLUMNS] = {
		"1",   f->primary ? "primary" : "replica",
		fence, term,
		"1",   "1",
		"0",   f->primary ? "0" : "-1",
		"5",   "30"};

	snprintf(fence, sizeof(fence), "%lld", (long long)f->fence);
	snprintf(term, sizeof(term), "%lld", (long long)f->term);
	pgw_put_text_data_row(out, values, STATUS_COLUMNS);
}

/* Executes a function call and writes its result row. */
static void run_call(struct fake_conn *c, struct buf *out)
{
	static const char *const one[] = {"1"};
	const char *arg = strchr(c->sql, '(');
	int64_t term = arg ? strtoll(arg + 1, NULL, 10) : 0;
	struct fake_member *f = c->member;

	if (term > f->fence)
		f->fence = term;
	if (strstr(c->sql, "_promote") || strstr(c->sql, "_follow")) {
		f->primary = strstr(c->sql, "_promote") != NULL;
		f->term = term;
	}
	if (is_status(c->sql))
		put_status(out, f);
	else
		pgw_put_text_data_row(out, one, 1);
	pgw_put_command_complete(out, "SELECT 1");
}

static void on_startup(struct fake_conn *c, const struct pgw_msg *m)
{
	struct buf *out = net_output(c->net);
	struct pgw_reader r;
	const char *name;

	if (m->startup_code != PGW_PROTOCOL_3_0) {
		buf_addstr(out, "N");
		return;
	}
	pgw_reader_init(&r, m);
	for (name = pgw_get_string(&r); *name; name = pgw_get_string(&r)) {
		const char *value = pgw_get_string(&r);
		int g = 0;

		if (!strcmp(name, "database") &&
		    sscanf(value, "group%d", &g) == 1 && g >= 0 && g < ngroups)
			c->member = &fake_members[g][c->member_index];
	}
	pgw_put_auth_ok(out);
	pgw_put_parameter_status(out, "server_version", "15.0");
	pgw_put_parameter_status(out, "client_encoding", "UTF8");
	pgw_put_parameter_status(out, "standard_conforming_strings", "on");
	pgw_put_ready_for_query(out, 'I');
}

static void on_message(struct fake_conn *c, const struct pgw_msg *m)
{
	struct buf *out = net_output(c->net);
	struct pgw_reader r;

	pgw_reader_init(&r, m);
	switch (m->type) {
	case 'Q':
		snprintf(c->sql, sizeof(c->sql), "%s", pgw_get_string(&r));
		put_columns(out, c->sql);
		run_call(c, out);
		pgw_put_ready_for_query(out, 'I');
		break;
	case 'P':
		pgw_get_string(&r);
		snprintf(c->sql, sizeof(c->sql), "%s", pgw_get_string(&r));
		pgw_put_bodyless_message(out, '1');
		break;
	case 'B':
		pgw_put_bodyless_message(out, '2');
		break;
	case 'D':
		put_columns(out, c->sql);
		break;
	case 'E':
		run_call(c, out);
		break;
	case 'S':
		pgw_put_ready_for_query(out, 'I');
		break;
	default:
		break;
	}
}

static void on_close(void *arg)
{
	struct fake_conn *c = arg;

	net_free(c->net);
	free(c);
}

static void on_read(void *arg)
{
	struct fake_conn *c = arg;
	struct buf *in = net_input(c->net);
	struct pgw_msg m;

	while (pgw_next_message(in, !c->member, &m, NULL) == 1) {
		size_t total = m.total;

		if (!c->member)
			on_startup(c, &m);
		else
			on_message(c, &m);
		buf_consume(in, total);
	}
	net_flush(c->net);
}

static void on_accept(void *arg, int fd)
{
	struct fake_conn *c = calloc(1, sizeof(*c));
	struct net_handler h = {
		.arg = c, .on_read = on_read, .on_close = on_close};

	if (!c)
		abort();
	c->member_index = *(int *)arg;
	c->net = net_from_accepted(loop, fd, &h);
}

static PGconn *entry_connect(const char *addr)
{
	const char *const keys[] = {"hostaddr",	  "port",     "user",
				    "dbname",	  "password", "sslmode",
				    "gssencmode", NULL};
	char host[ADDR_LEN];
	char *at;

	snprintf(host, sizeof(host), "%s", addr);
	at = strrchr(host, ':');
	*at = '\0';
	const char *const values[] = {
		host,	  at + 1,    "backend", "marjoramlatch",
		password, "disable", "disable", NULL};
	return PQconnectdbParams(keys, values, 0);
}

static void send_announcement(PGconn *pg, int g, int i)
{
	char sql[256];

	snprintf(sql, sizeof(sql),
		 "ANNOUNCE 'group%d' 'group%d-%d' '%s:%d' 'zone%d' 1 5 30", g,
		 g, i + 1, ip, port + 1 + i, i + 1);
	PQclear(PQexec(pg, sql));
}

static void *announce_thread(void *arg)
{
	static PGconn *conns[MAX_ENTRIES];

	(void)arg;
	for (int e = 0; e < nentries; e++)
		conns[e] = entry_connect(entries[e]);
	for (;;) {
		clk_ms from = clk_now();
		clk_ms left;

		for (int g = 0; g < ngroups; g++)
			for (int i = 0; i < MEMBERS; i++)
				send_announcement(
					conns[(g * MEMBERS + i) % nentries], g,
					i);
		left = from + ANNOUNCE_PERIOD_MS - clk_now();
		if (left > 0)
			nanosleep(&(struct timespec){.tv_nsec = left * 1000000},
				  NULL);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	pthread_t thread;

	if (argc < 6) {
		fprintf(stderr, "usage: members GROUPS IP PORT PASSWORD "
				"ENTRY...\n");
		return 129;
	}
	ngroups = atoi(argv[1]);
	ip = argv[2];
	port = atoi(argv[3]);
	password = argv[4];
	entries = argv + 5;
	nentries = argc - 5 < MAX_ENTRIES ? argc - 5 : MAX_ENTRIES;
	if (ngroups < 1 || ngroups > MAX_GROUPS)
		return 129;
	signal(SIGPIPE, SIG_IGN);
	loop = ev_default_loop(0);
	for (int i = 0; i < MEMBERS; i++) {
		struct net_listener *l;
		struct err e = ERR_INIT;
		char addr[ADDR_LEN];

		member_indexes[i] = i;
		snprintf(addr, sizeof(addr), "%s:%d", ip, port + 1 + i);
		if (net_listen(&l, loop, addr, on_accept, &member_indexes[i],
			       &e)) {
			fprintf(stderr, "%s: %s\n", addr, e.text);
			return 1;
		}
	}
	if (pthread_create(&thread, NULL, announce_thread, NULL))
		return 1;
	ev_run(loop, 0);
	return 0;
}
