#define _GNU_SOURCE
#include "fleet.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <math.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum { LINE_MAX_LEN = 4096, QUEUE_MAX = 40, BEAT_MS = 1200 };

struct fleet fl;
pthread_mutex_t fl_mu = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t record_mu = PTHREAD_MUTEX_INITIALIZER;
static FILE *record;
static int64_t started_at;
static volatile bool stopping;

static int64_t mono_ms(void)
{
	struct timespec ts;

	clock_gettime(CLOCK_MONOTONIC, &ts);
	return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

int64_t fl_now(void)
{
	return mono_ms() - started_at;
}

static void nap(int64_t ms)
{
	struct timespec ts = {ms / 1000, ms % 1000 * 1000000};

	nanosleep(&ts, NULL);
}

void fl_sleep_until(int64_t ms)
{
	while (fl_now() < ms)
		nap(ms - fl_now() > 20 ? 20 : ms - fl_now());
}

void fl_record(const char *who, const char *fmt, ...)
{
	int64_t now = fl_now();
	va_list ap;

	pthread_mutex_lock(&record_mu);
	if (record) {
		fprintf(record, "%3lld.%03lld %-10s ", (long long)(now / 1000),
			(long long)(now % 1000), who);
		va_start(ap, fmt);
		vfprintf(record, fmt, ap);
		va_end(ap);
		fputc('\n', record);
		fflush(record);
	}
	pthread_mutex_unlock(&record_mu);
}

bool fl_trouble(void)
{
	const char *t = getenv("TROUBLE");

	return !t || strcmp(t, "0") != 0;
}

/* ---- sockets ---- */

static bool parse_addr(const char *addr, struct sockaddr_in *sa)
{
	char ip[32];
	const char *colon = strrchr(addr, ':');

	memset(sa, 0, sizeof(*sa));
	if (!colon)
		return false;
	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - addr), addr);
	sa->sin_family = AF_INET;
	sa->sin_port = htons((uint16_t)atoi(colon + 1));
	return inet_pton(AF_INET, ip, &sa->sin_addr) == 1;
}

static int listen_on(const char *addr)
{
	struct sockaddr_in sa;
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	parse_addr(addr, &sa);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(fd, 256)) {
		close(fd);
		return -1;
	}
	return fd;
}

static int connect_to(const char *addr, int64_t limit_ms)
{
	struct sockaddr_in sa;
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct pollfd p = {fd, POLLOUT, 0};
	int error = 0;
	socklen_t len = sizeof(error);

	parse_addr(addr, &sa);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) &&
	    errno != EINPROGRESS)
		goto fail;
	if (poll(&p, 1, (int)limit_ms) <= 0)
		goto fail;
	getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error)
		goto fail;
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	return fd;
fail:
	close(fd);
	return -1;
}

static bool send_all(int fd, const char *p, size_t len)
{
	while (len) {
		ssize_t n = send(fd, p, len, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n <= 0)
			return false;
		p += n;
		len -= (size_t)n;
	}
	return true;
}

/* ---- members ---- */

/* A transaction that ran on a member connection, for the checks. */
struct seen_txn {
	char member[24];
	int64_t conn;
	int64_t number;
	char sessions[4][24];
	int nsessions;
};

static struct seen_txn *seen;
static int nseen;
static int64_t last_conn, last_txn;

/* Request ids are SESSION.NUMBER, so that a member's record names the
 * session. */
static void note_txn(const char *member, int64_t conn, int64_t txn,
		     const char *id)
{
	char name[24];
	struct seen_txn *t = NULL;

	snprintf(name, sizeof(name), "%.*s", (int)strcspn(id, "."), id);
	for (int i = nseen - 1; i >= 0 && !t; i--)
		if (seen[i].number == txn)
			t = &seen[i];
	if (!t) {
		if (nseen == 100000)
			return;
		t = &seen[nseen++];
		snprintf(t->member, sizeof(t->member), "%s", member);
		t->conn = conn;
		t->number = txn;
	}
	for (int i = 0; i < t->nsessions; i++)
		if (!strcmp(t->sessions[i], name))
			return;
	if (t->nsessions < 4)
		strcpy(t->sessions[t->nsessions++], name);
}

int fl_mixed_transactions(char *first, size_t size)
{
	int n = 0;

	pthread_mutex_lock(&fl_mu);
	for (int i = 0; i < nseen; i++) {
		if (seen[i].nsessions < 2)
			continue;
		if (!n++)
			snprintf(first, size,
				 "member %s ran statements of %s and %s in one "
				 "transaction of connection %lld",
				 seen[i].member, seen[i].sessions[0],
				 seen[i].sessions[1], (long long)seen[i].conn);
	}
	pthread_mutex_unlock(&fl_mu);
	return n;
}

struct mconn {
	struct fl_member *m;
	int fd;
	int64_t number;
	int64_t opened_dark;
	bool started;
	char txn;
	bool read_only;
	int64_t txn_term;
	int64_t txn_number;
	struct fl_entry pending;
	char prepared[64][2][24]; /* name, mode */
	int nprepared;
	char out[16384];
	size_t nout;
};

static void put(struct mconn *c, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static void put(struct mconn *c, const char *fmt, ...)
{
	va_list ap;

	va_start(ap, fmt);
	c->nout += (size_t)vsnprintf(c->out + c->nout, sizeof(c->out) - c->nout,
				     fmt, ap);
	va_end(ap);
}

static int64_t log_term(const struct fl_member *m)
{
	return m->nlog ? m->log[m->nlog - 1]->term : 1;
}

static void put_ready(struct mconn *c)
{
	put(c, "READY %c %lld.%lld\r\n", c->txn, (long long)log_term(c->m),
	    (long long)c->m->nlog);
}

static void fail_statement(struct mconn *c, const char *code)
{
	put(c, "ERROR %s %s\r\n", code, c->m->id);
	if (c->txn == 'T')
		c->txn = 'E';
}

static void complete(struct mconn *c, const char *id)
{
	put(c, "COMPLETE %s.%s.%lld\r\n", c->m->id, id,
	    (long long)c->number);
}

static const char *value_of(const struct mconn *c, const char *item)
{
	if (c->txn == 'T')
		for (int i = c->pending.nwrites - 1; i >= 0; i--)
			if (!strcmp(c->pending.item[i], item))
				return c->pending.data[i];
	for (int64_t i = c->m->nlog - 1; i >= 0; i--)
		for (int j = 0; j < c->m->log[i]->nwrites; j++)
			if (!strcmp(c->m->log[i]->item[j], item))
				return c->m->log[i]->data[j];
	return "none";
}

/* Called with fl_mu held. Waits for a synchronous replica; false if the member
 * lost the lead meanwhile. */
static bool commit(struct mconn *c, struct fl_entry *e, const char *id)
{
	struct fl_member *m = c->m;
	struct fl_service *s = m->service;
	struct fl_entry *copy = malloc(sizeof(*copy));
	int64_t index = m->nlog;

	*copy = *e;
	copy->term = m->term;
	copy->number = index + 1;
	copy->serial = ++s->last_serial;
	copy->at_ms = fl_now();
	snprintf(copy->id, sizeof(copy->id), "%s", id);
	if (m->nlog == FL_MAX_LOG || s->last_serial == FL_MAX_LOG)
		abort();
	m->log[m->nlog++] = copy;
	while (s->sync_replicas) {
		int held = 0;

		if (stopping || !m->primary || m->nlog <= index ||
		    m->log[index] != copy)
			return false;
		for (int i = 0; i < s->nmembers; i++)
			held += s->members[i] != m &&
				s->members[i]->nlog > index &&
				s->members[i]->log[index] == copy;
		if (held >= s->sync_replicas)
			break;
		pthread_mutex_unlock(&fl_mu);
		nap(1);
		pthread_mutex_lock(&fl_mu);
	}
	if (m->dark)
		return true; /* the answer will not be sent */
	s->acked[copy->serial] = fl_now() + 1;
	fl_record(m->id, "commits %s as %lld.%lld", id, (long long)copy->term,
		  (long long)copy->number);
	return true;
}

static bool may_write(const struct mconn *c)
{
	if (c->txn == 'T')
		return !c->read_only && c->m->primary &&
		       c->txn_term == c->m->term;
	return c->m->primary;
}

static void add_write(struct fl_entry *e, const char *item, const char *data)
{
	if (e->nwrites == FL_MAX_WRITES)
		return;
	snprintf(e->item[e->nwrites], sizeof(e->item[0]), "%s", item);
	snprintf(e->data[e->nwrites++], sizeof(e->data[0]), "%s", data);
}

static void do_write(struct mconn *c, const char *id, const char *item,
		     const char *data)
{
	struct fl_entry one = {0};

	if (!may_write(c)) {
		fail_statement(c, "READONLY");
		return;
	}
	if (c->txn == 'T') {
		add_write(&c->pending, item, data);
	} else {
		add_write(&one, item, data);
		if (!commit(c, &one, id)) {
			fail_statement(c, "TIMEOUT");
			return;
		}
	}
	complete(c, id);
}

static void do_read(struct mconn *c, const char *id, const char *item)
{
	if (c->txn == 'T' && !c->read_only && !may_write(c)) {
		fail_statement(c, "READONLY");
		return;
	}
	put(c, "DATAROW %s\r\n", value_of(c, item));
	complete(c, id);
}

static void do_commit(struct mconn *c, const char *id)
{
	if (c->txn != 'T' || (c->pending.nwrites && !may_write(c)))
		put(c, "ERROR READONLY %s\r\n", c->m->id);
	else if (c->pending.nwrites && !commit(c, &c->pending, id))
		put(c, "ERROR TIMEOUT %s\r\n", c->m->id);
	else
		complete(c, id);
	c->txn = 'I';
	c->pending.nwrites = 0;
}

static void put_status(struct mconn *c)
{
	struct fl_member *m = c->m;

	put(c, "DATAROW %s %lld %lld.%lld %lld %lld %d %d\r\nCOMPLETE -\r\n",
	    m->primary ? "primary" : "replica", (long long)m->term,
	    (long long)log_term(m), (long long)m->nlog,
	    (long long)(m->paused ? m->pause_term : 0), (long long)m->lag_ms,
	    m->running, m->connections);
}

/* Called with fl_mu held. */
static void run_text(struct mconn *c, const char *id, char *text)
{
	struct fl_member *m = c->m;
	char *save;
	char *verb = strtok_r(text, " ", &save);
	char *a, *b;

	if (!verb) {
		fail_statement(c, "MALFORMED");
		return;
	}
	if (!strcmp(verb, "WAITPOS")) {
		long long t = 0, n = 0;

		sscanf(strtok_r(NULL, " ", &save), "%lld.%lld", &t, &n);
		if (t > log_term(m) || (t == log_term(m) && n > m->nlog)) {
			fail_statement(c, "LAGGING");
			return;
		}
		verb = strtok_r(NULL, " ", &save);
	}
	if (strcmp(id, "-") != 0) {
		fl_record(m->id, "runs %s %s %s (connection %lld%s)", id, verb,
			  save ? save : "", (long long)c->number,
			  c->txn == 'T' ? ", in a transaction" : "");
		if (c->txn == 'T')
			note_txn(m->id, c->number, c->txn_number, id);
	}
	if (!strcmp(verb, "READ")) {
		do_read(c, id, strtok_r(NULL, " ", &save));
	} else if (!strcmp(verb, "WRITE")) {
		a = strtok_r(NULL, " ", &save);
		do_write(c, id, a, save);
	} else if (!strcmp(verb, "COMMIT")) {
		do_commit(c, id);
	} else if (!strcmp(verb, "BEGIN")) {
		bool ro = save && !strcmp(save, "READ");

		if (c->txn != 'I') {
			fail_statement(c, "MALFORMED");
		} else if (!ro && !m->primary) {
			fail_statement(c, "READONLY");
		} else {
			c->txn = 'T';
			c->read_only = ro;
			c->txn_term = m->term;
			c->txn_number = ++last_txn;
			c->pending.nwrites = 0;
			put(c, "COMPLETE -\r\n");
		}
	} else if (!strcmp(verb, "ROLLBACK")) {
		c->txn = 'I';
		c->pending.nwrites = 0;
		put(c, "COMPLETE -\r\n");
	} else if (!strcmp(verb, "RESET")) {
		c->nprepared = 0;
		put(c, "COMPLETE -\r\n");
	} else if (!strcmp(verb, "SET")) {
		put(c, "COMPLETE -\r\n");
	} else if (!strcmp(verb, "PREPARE")) {
		a = strtok_r(NULL, " ", &save);
		b = strtok_r(NULL, " ", &save);
		if (c->nprepared < 64) {
			snprintf(c->prepared[c->nprepared][0], 24, "%s", a);
			snprintf(c->prepared[c->nprepared++][1], 24, "%s", b);
		}
		put(c, "COMPLETE -\r\n");
	} else if (!strcmp(verb, "EXECUTE")) {
		int i = c->nprepared - 1;

		a = strtok_r(NULL, " ", &save);
		while (i >= 0 && strcmp(c->prepared[i][0], a) != 0)
			i--;
		b = strtok_r(NULL, " ", &save);
		if (i < 0)
			fail_statement(c, "NOSTMT");
		else if (!strcmp(c->prepared[i][1], "WRITE"))
			do_write(c, id, b, save);
		else
			do_read(c, id, b);
	} else if (!strcmp(verb, "STATUS")) {
		put_status(c);
	} else if (!strcmp(verb, "PAUSE")) {
		long long t = save ? atoll(save) : 0;

		if (t > m->term && !m->primary) {
			m->paused = true;
			m->pause_term = t;
			fl_record(m->id, "paused, term %lld", t);
		}
		put_status(c);
	} else if (!strcmp(verb, "RESUME")) {
		if (m->paused)
			fl_record(m->id, "resumed");
		m->paused = false;
		put_status(c);
	} else if (!strcmp(verb, "STEPDOWN")) {
		if (m->primary && (save ? atoll(save) : 0) > m->term) {
			m->primary = false;
			m->beat_now = true;
			fl_record(m->id, "steps down");
		}
		put_status(c);
	} else {
		fail_statement(c, "MALFORMED");
	}
}

static bool takes_slot(const char *text)
{
	if (!strncmp(text, "WAITPOS ", 8)) {
		const char *p = strchr(text + 8, ' ');

		text = p ? p + 1 : "";
	}
	return !strncmp(text, "READ ", 5) || !strncmp(text, "WRITE ", 6) ||
	       !strncmp(text, "EXECUTE ", 8) || !strcmp(text, "COMMIT");
}

/* Called with fl_mu held. Waits for a slot and works; false if there are too
 * many waiting. */
static bool work(struct fl_member *m)
{
	struct fl_service *s = m->service;

	if (m->running >= s->slots + QUEUE_MAX)
		return false;
	m->running++;
	/* Statements beyond the slots wait for as long as those before them. */
	int64_t wait = s->work_ms * (1 + (m->running - 1) / s->slots);

	pthread_mutex_unlock(&fl_mu);
	if (wait)
		nap(wait);
	pthread_mutex_lock(&fl_mu);
	m->running--;
	return true;
}

/* Waits while the member is dark; false if the connection is lost by that. */
static bool awake(struct mconn *c)
{
	while (c->m->dark && !stopping) {
		pthread_mutex_unlock(&fl_mu);
		nap(5);
		pthread_mutex_lock(&fl_mu);
	}
	return c->m->dark_count == c->opened_dark && !stopping;
}

/* Handles one line with fl_mu held; false to close the connection. */
static bool handle_line(struct mconn *c, char *line)
{
	struct fl_member *m = c->m;
	char *save;
	char *word = strtok_r(line, " ", &save);
	char *id;

	if (!awake(c))
		return false;
	if (!word || !strcmp(word, "TERMINATE"))
		return false;
	if (!strcmp(word, "STARTUP")) {
		char *service = strtok_r(NULL, " ", &save);
		char *expected;

		strtok_r(NULL, " ", &save);
		expected = strtok_r(NULL, " ", &save);
		if (m->connections >= m->service->max_conns) {
			put(c, "ERROR CONNLIMIT %s\r\n", m->id);
			return false;
		}
		if (!service || strcmp(service, m->service->name) != 0 ||
		    (expected && strcmp(expected, m->id) != 0)) {
			put(c, "ERROR WRONGNODE %s\r\n", m->id);
			return false;
		}
		c->started = true;
		m->connections++;
		put_ready(c);
		return true;
	}
	if (!c->started || strcmp(word, "QUERY") != 0)
		return false;
	id = strtok_r(NULL, " ", &save);
	if (c->txn == 'E' && strcmp(save, "ROLLBACK") != 0 &&
	    strcmp(save, "COMMIT") != 0) {
		fail_statement(c, "MALFORMED");
	} else if (strcmp(id, "-") != 0 && takes_slot(save) && !work(m)) {
		put(c, "ERROR BUSY %s\r\n", m->id);
	} else {
		if (!awake(c))
			return false;
		run_text(c, id, save);
		if (!awake(c))
			return false;
	}
	put_ready(c);
	return true;
}

static void *serve_conn(void *arg)
{
	struct mconn *c = arg;
	char *in = malloc(1 << 17);
	size_t nin = 0;
	bool open = true;

	while (open && !stopping) {
		struct pollfd p = {c->fd, POLLIN, 0};
		char *end;
		ssize_t n;

		if (poll(&p, 1, 100) == 0) {
			pthread_mutex_lock(&fl_mu);
			open = awake(c);
			pthread_mutex_unlock(&fl_mu);
			continue;
		}
		n = recv(c->fd, in + nin, (1 << 17) - nin, 0);
		if (n <= 0)
			break;
		nin += (size_t)n;
		while (open && (end = memchr(in, '\n', nin))) {
			size_t used = (size_t)(end - in) + 1;

			end[-1] = '\0';
			pthread_mutex_lock(&fl_mu);
			open = handle_line(c, in);
			pthread_mutex_unlock(&fl_mu);
			if (c->nout && !send_all(c->fd, c->out, c->nout))
				open = false;
			c->nout = 0;
			memmove(in, in + used, nin - used);
			nin -= used;
		}
	}
	close(c->fd);
	pthread_mutex_lock(&fl_mu);
	if (c->started)
		c->m->connections--;
	pthread_mutex_unlock(&fl_mu);
	free(in);
	free(c);
	return NULL;
}

static void spawn(void *(*fn)(void *), void *arg)
{
	pthread_attr_t a;
	pthread_t t;

	pthread_attr_init(&a);
	pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&a, 256 << 10);
	if (pthread_create(&t, &a, fn, arg))
		abort();
	pthread_attr_destroy(&a);
}

static void *serve_member(void *arg)
{
	struct fl_member *m = arg;
	int fd = listen_on(m->addr);

	if (fd < 0)
		fl_finish(2, "member %s can't listen on %s", m->id, m->addr);
	while (!stopping) {
		struct mconn *c;
		int one = 1;
		int x = accept4(fd, NULL, NULL, SOCK_CLOEXEC);

		if (x < 0)
			continue;
		setsockopt(x, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c = calloc(1, sizeof(*c));
		c->m = m;
		c->fd = x;
		c->txn = 'I';
		pthread_mutex_lock(&fl_mu);
		c->number = ++last_conn;
		c->opened_dark = m->dark_count;
		pthread_mutex_unlock(&fl_mu);
		spawn(serve_conn, c);
	}
	return NULL;
}

/* ---- replication ---- */

static struct fl_member *source_of(const struct fl_service *s)
{
	struct fl_member *best = NULL;

	for (int i = 0; i < s->nmembers; i++)
		if (s->members[i]->primary)
			return s->members[i];
	/* After a step down the replicas receive what the old primary holds. */
	for (int i = 0; i < s->nmembers; i++)
		if (!best || s->members[i]->nlog > best->nlog)
			best = s->members[i];
	return best;
}

/* Delays are spread as in the site files: mean, spread 0.6, at most six times
 * the mean. A sum of uniform numbers stands for a normal one. */
static int64_t draw_lag(int64_t mean)
{
	double z = -6;
	double f;

	for (int i = 0; i < 12; i++)
		z += (double)rand() / RAND_MAX;
	f = exp(0.6 * z - 0.18);
	return (int64_t)((double)mean * (f > 6 ? 6 : f));
}

static void replicate(struct fl_service *s, int64_t now)
{
	struct fl_member *p = source_of(s);

	if (!p || p->dark)
		return;
	for (int i = 0; i < s->nmembers; i++) {
		struct fl_member *r = s->members[i];
		int64_t common = 0;

		if (r == p || r->dark || r->deaf || r->paused)
			continue;
		if (r->nlog && (r->nlog > p->nlog ||
				r->log[r->nlog - 1] != p->log[r->nlog - 1])) {
			while (common < r->nlog && common < p->nlog &&
			       r->log[common] == p->log[common])
				common++;
			r->nlog = common;
		}
		while (r->nlog < p->nlog &&
		       now >= p->log[r->nlog]->at_ms + r->next_lag_ms) {
			r->log[r->nlog] = p->log[r->nlog];
			r->nlog++;
			r->next_lag_ms = draw_lag(r->lag_ms);
		}
		if (r->term < p->term)
			r->term = p->term;
	}
}

static void *run_replication(void *arg)
{
	(void)arg;
	while (!stopping) {
		int64_t now = fl_now();

		pthread_mutex_lock(&fl_mu);
		for (int i = 0; i < fl.nservices; i++)
			replicate(&fl.services[i], now);
		pthread_mutex_unlock(&fl_mu);
		nap(1);
	}
	return NULL;
}

/* ---- provider ---- */

struct promotion {
	struct fl_member *m;
	int64_t token;
	int64_t delay_ms;
	int call;
};

/* Called with fl_mu held. */
static void check_lost(struct fl_service *s, struct fl_member *m,
		       struct fl_member *old)
{
	for (int64_t i = 0; old && i < old->nlog; i++) {
		struct fl_entry *e = old->log[i];

		if (!s->acked[e->serial] || (i < m->nlog && m->log[i] == e))
			continue;
		s->lost++;
		fl_record("check",
			  "commit %s at %lld.%lld, acknowledged by %s at "
			  "%lld ms, isn't in the log of %s",
			  e->id, (long long)e->term, (long long)e->number,
			  old->id, (long long)s->acked[e->serial] - 1, m->id);
	}
}

/* Called with fl_mu held. */
static void promote(struct fl_member *m)
{
	struct fl_service *s = m->service;
	struct fl_member *old = NULL;
	int64_t newest = 0;

	for (int i = 0; i < s->nmembers; i++) {
		struct fl_member *x = s->members[i];

		if (x->primary)
			old = x;
		if (x->term > newest)
			newest = x->term;
	}
	fl_record("provider", "promotes %s, which holds %lld.%lld", m->id,
		  (long long)log_term(m), (long long)m->nlog);
	check_lost(s, m, old ? old : source_of(s));
	for (int i = 0; i < s->nmembers; i++) {
		s->members[i]->primary = s->members[i] == m;
		s->members[i]->paused = false;
		s->members[i]->beat_now = true;
	}
	m->term = newest + 1;
}

static int failover_status(struct promotion *p)
{
	if (p->token < fl.provider.fence)
		return 409;
	fl.provider.fence = p->token;
	if (!p->m || p->m->dark)
		return 409;
	return 200;
}

static void *carry_out(void *arg)
{
	struct promotion *p = arg;
	int status;

	if (p->delay_ms)
		nap(p->delay_ms);
	pthread_mutex_lock(&fl_mu);
	status = failover_status(p);
	fl_record("provider", "carries out call %d for %s, token %lld: %d",
		  p->call, p->m ? p->m->id : "?", (long long)p->token, status);
	if (status == 200 && !p->m->primary) {
		pthread_mutex_unlock(&fl_mu);
		nap(fl.provider.promote_ms);
		pthread_mutex_lock(&fl_mu);
		if (!p->m->primary)
			promote(p->m);
	}
	pthread_mutex_unlock(&fl_mu);
	free(p);
	return NULL;
}

static void *serve_call(void *arg)
{
	int fd = (int)(intptr_t)arg;
	char in[8192];
	size_t n = 0;
	char *body = NULL, *h;
	bool dropped = false;
	struct promotion *p = calloc(1, sizeof(*p));
	int status;

	for (;;) {
		ssize_t got = recv(fd, in + n, sizeof(in) - 1 - n, 0);
		size_t need = 0;

		if (got <= 0)
			goto out;
		n += (size_t)got;
		in[n] = '\0';
		body = strstr(in, "\r\n\r\n");
		if (!body)
			continue;
		h = strcasestr(in, "content-length:");
		need = h ? (size_t)atoi(h + 15) : 0;
		if (n >= (size_t)(body + 4 - in) + need)
			break;
	}
	h = strcasestr(in, "x-fence-token:");
	p->token = h ? atoll(h + 14) : 0;
	pthread_mutex_lock(&fl_mu);
	for (int i = 0; i < fl.nmembers; i++) {
		char quoted[40];

		snprintf(quoted, sizeof(quoted), "\"%s\"", fl.members[i].id);
		if (strstr(body, quoted))
			p->m = &fl.members[i];
	}
	p->call = ++fl.provider.calls;
	if (fl.provider.late_calls > 0) {
		fl.provider.late_calls--;
		p->delay_ms = fl.provider.late_ms;
		status = 0;
	} else {
		dropped = fl.provider.cut;
		status = dropped ? 0 : failover_status(p);
	}
	fl_record("provider", "call %d%s: %.60s token %lld", p->call,
		  p->delay_ms ? " (late)"
		  : dropped   ? " (dropped)"
			      : "",
		  body + 4, (long long)p->token);
	pthread_mutex_unlock(&fl_mu);
	if (!dropped) {
		spawn(carry_out, p);
		p = NULL;
	}
	if (status) {
		char out[128];
		int len = snprintf(out, sizeof(out),
				   "HTTP/1.1 %d X\r\nContent-Length: 0\r\n"
				   "Connection: close\r\n\r\n",
				   status);

		send_all(fd, out, (size_t)len);
	} else {
		/* No answer: the caller gives up. */
		while (recv(fd, in, sizeof(in), 0) > 0)
			;
	}
out:
	free(p);
	close(fd);
	return NULL;
}

static char provider_addr[48];

static void *serve_provider(void *arg)
{
	int fd = listen_on(provider_addr);

	(void)arg;
	if (fd < 0)
		fl_finish(2, "the provider can't listen");
	while (!stopping) {
		int x = accept4(fd, NULL, NULL, SOCK_CLOEXEC);

		if (x >= 0)
			spawn(serve_call, (void *)(intptr_t)x);
	}
	return NULL;
}

/* ---- HTTP client, check-ins, operator ---- */

int fl_http(const char *addr, const char *method, const char *path,
	    const char *body, int64_t limit_ms, char *out, size_t size,
	    char *location, size_t location_size)
{
	int64_t end = mono_ms() + limit_ms;
	int fd = connect_to(addr, limit_ms);
	char head[512];
	char *in = malloc(1 << 16);
	size_t n = 0;
	char *b, *h;
	int status = 0;

	if (location_size)
		location[0] = '\0';
	if (size)
		out[0] = '\0';
	if (fd < 0) {
		free(in);
		return 0;
	}
	snprintf(head, sizeof(head),
		 "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: "
		 "application/json\r\nContent-Length: %zu\r\nConnection: "
		 "close\r\n\r\n",
		 method, path, addr, strlen(body));
	send_all(fd, head, strlen(head));
	send_all(fd, body, strlen(body));
	for (;;) {
		struct pollfd p = {fd, POLLIN, 0};
		ssize_t got;

		if (mono_ms() >= end ||
		    poll(&p, 1, (int)(end - mono_ms())) <= 0)
			goto out;
		got = recv(fd, in + n, (1 << 16) - 1 - n, 0);
		if (got > 0)
			n += (size_t)got;
		in[n] = '\0';
		b = strstr(in, "\r\n\r\n");
		h = b ? strcasestr(in, "content-length:") : NULL;
		if (b && h && n >= (size_t)(b + 4 - in) + (size_t)atoi(h + 15))
			break;
		if (got <= 0)
			goto out;
	}
	status = atoi(in + 9);
	if (size)
		snprintf(out, size, "%s", b + 4);
	h = strstr(in, "Location: http://");
	if (h && h < b && location_size)
		snprintf(location, location_size, "%.*s",
			 (int)strcspn(h + 17, "\r"), h + 17);
out:
	close(fd);
	free(in);
	return status;
}

/* Calls control: tries its instances in turn and follows redirects. */
static int call_control(const char *method, const char *path, const char *body,
			const char *first, int64_t limit_ms, char *out,
			size_t size)
{
	static int turn;
	int64_t end = mono_ms() + limit_ms;
	int status = 0;

	for (int i = 0; mono_ms() < end; i++) {
		char addr[48];
		char location[256];

		if (!i && first && first[0])
			snprintf(addr, sizeof(addr), "%s", first);
		else
			snprintf(addr, sizeof(addr), "%s",
				 fl.controls[turn++ % FL_CONTROLS].api);
		for (int hop = 0; hop < 3; hop++) {
			status = fl_http(addr, method, path, body, 1000, out,
					 size, location, sizeof(location));
			if (status != 307)
				break;
			snprintf(addr, sizeof(addr), "%.*s",
				 (int)strcspn(location, "/"), location);
		}
		if (status >= 200 && status < 300)
			return status;
		if (status >= 400 && status < 500)
			return status;
		nap(60);
	}
	return status;
}

static void *beat(void *arg)
{
	struct fl_member *m = arg;

	while (!stopping) {
		char body[512], path[128], out[512], first[48];
		char *b;
		int status;

		pthread_mutex_lock(&fl_mu);
		if (m->dark ||
		    (!m->beat_now && fl_now() - m->last_beat_ms < BEAT_MS)) {
			pthread_mutex_unlock(&fl_mu);
			nap(10);
			continue;
		}
		m->beat_now = false;
		m->last_beat_ms = fl_now();
		snprintf(body, sizeof(body),
			 "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\","
			 "\"version\":\"v1\",\"slots\":%d,\"state\":\"%s\","
			 "\"cold_left_ms\":0,\"db_role\":\"%s\",\"born\":%lld,"
			 "\"seq\":%lld}",
			 m->service->name, m->addr, m->zone, m->service->slots,
			 m->draining ? "draining" : "ready",
			 m->primary ? "primary" : "replica", (long long)m->born,
			 (long long)++m->seq);
		snprintf(first, sizeof(first), "%s", m->beat_addr);
		pthread_mutex_unlock(&fl_mu);
		snprintf(path, sizeof(path), "/marjoramlatch/instances/%s",
			 m->id);
		status = call_control("PUT", path, body, first, 1000, out,
				      sizeof(out));
		b = strstr(out, "\"beat_addr\":\"");
		pthread_mutex_lock(&fl_mu);
		if (status == 200 && b)
			snprintf(m->beat_addr, sizeof(m->beat_addr), "%.*s",
				 (int)strcspn(b + 13, "\""), b + 13);
		else
			m->beat_addr[0] = '\0';
		if (m->draining)
			fl_record(m->id, "reports draining: %d", status);
		pthread_mutex_unlock(&fl_mu);
	}
	return NULL;
}

int fl_publish(void)
{
	char *doc = malloc(1 << 15);
	int status;
	int n = snprintf(doc, 1 << 15,
			 "{\"version\":%lld,\"routes\":[%s],\"services\":[",
			 (long long)++fl.version, fl.routes);

	for (int i = 0; i < fl.nservices; i++)
		n += snprintf(doc + n, (size_t)((1 << 15) - n),
			      "%s{\"name\":\"%s\",\"health_path\":\"/health\","
			      "\"max_conns\":%lld,\"protocol\":\"h1\","
			      "\"tls\":false,\"sync_replicas\":%d}",
			      i ? "," : "", fl.services[i].name,
			      (long long)fl.services[i].max_conns,
			      fl.services[i].sync_replicas);
	snprintf(doc + n, (size_t)((1 << 15) - n),
		 "],\"limits\":{\"max_header_bytes\":16384,"
		 "\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
		 "\"idle_timeout_ms\":15000,\"txn_idle_ms\":3000}}");
	status = call_control("PUT", "/marjoramlatch/config", doc, NULL, 8000,
			      NULL, 0);
	fl_record("operator", "sends manifest %lld: %d", (long long)fl.version,
		  status);
	free(doc);
	return status;
}

/* ---- processes ---- */

static void replace(char *text, size_t size, const char *what,
		    const char *with)
{
	char *at;

	while ((at = strstr(text, what))) {
		size_t tail = strlen(at + strlen(what));

		if (strlen(text) + strlen(with) >= size)
			abort();
		memmove(at + strlen(with), at + strlen(what), tail + 1);
		memcpy(at, with, strlen(with));
	}
}

/* Renders deploy/front.json or deploy/core.json. */
static void write_settings(struct fl_process *p)
{
	char text[8192] = "", seeds[256], ports[2][16], data[256];
	FILE *f = fopen(p->control ? "deploy/core.json" : "deploy/front.json",
			"r");

	if (!f)
		fl_finish(2, "no template in deploy/");
	text[fread(text, 1, sizeof(text) - 1, f)] = '\0';
	fclose(f);
	snprintf(seeds, sizeof(seeds), "[\"%s\",\"%s\",\"%s\"]",
		 fl.controls[0].api, fl.controls[1].api, fl.controls[2].api);
	snprintf(ports[0], 16, "%d", fl.port);
	snprintf(ports[1], 16, "%d", fl.port + 1);
	snprintf(data, sizeof(data), "%s/data-%s", fl.tmp, p->name);
	replace(text, sizeof(text),
		"{{#bounds.fencing}}true{{/bounds.fencing}}"
		"{{^bounds.fencing}}false{{/bounds.fencing}}",
		"true");
	replace(text, sizeof(text), "{{node}}", p->name);
	replace(text, sizeof(text), "{{zone}}", p->zone);
	replace(text, sizeof(text), "{{ip}}", p->ip);
	replace(text, sizeof(text), "{{internal_ports.0}}", ports[0]);
	replace(text, sizeof(text), "{{internal_ports.1}}", ports[1]);
	replace(text, sizeof(text), "{{listen.front}}", p->front);
	replace(text, sizeof(text), "{{listen.ready}}", p->ready);
	replace(text, sizeof(text), "{{listen.control}}", p->api);
	replace(text, sizeof(text), "{{cloud_api.addr}}", provider_addr);
	replace(text, sizeof(text), "{{data_dir}}", data);
	replace(text, sizeof(text), "{{seeds|json}}", seeds);
	replace(text, sizeof(text), "{{bootstrap|json}}", "true");
	replace(text, sizeof(text), "{{bounds.grace_s}}", "6");
	if (strstr(text, "{{"))
		fl_finish(2, "unknown placeholder: %.60s", strstr(text, "{{"));
	f = fopen(p->settings, "w");
	fputs(text, f);
	fclose(f);
}

void fl_start_process(struct fl_process *p)
{
	char out[300];
	int self = getpid();

	snprintf(out, sizeof(out), "%s/%s.out", fl.tmp, p->name);
	p->pid = fork();
	if (p->pid)
		return;
	prctl(PR_SET_PDEATHSIG, SIGKILL);
	if (getppid() != self)
		_exit(1);
	int fd = open(out, O_WRONLY | O_CREAT | O_APPEND, 0600);
	dup2(fd, 1);
	dup2(fd, 2);
	execl(p->program, p->program, "--settings", p->settings, (char *)NULL);
	_exit(127);
}

void fl_kill(struct fl_process *p, int sig)
{
	if (p->pid)
		kill(p->pid, sig);
	if (sig == SIGKILL && p->pid) {
		waitpid(p->pid, NULL, 0);
		p->pid = 0;
	}
}

bool fl_wait_exit(struct fl_process *p, int64_t ms)
{
	for (int64_t end = mono_ms() + ms; p->pid && mono_ms() < end; nap(10))
		if (waitpid(p->pid, NULL, WNOHANG) == p->pid)
			p->pid = 0;
	return !p->pid;
}

bool fl_is_ready(const struct fl_process *p)
{
	return fl_http(p->ready, "GET", "/marjoramlatch/ready", "", 500, NULL,
		       0, NULL, 0) == 200;
}

static void end_processes(void)
{
	for (int i = 0; i < fl.nproxies; i++)
		fl_kill(&fl.proxies[i], SIGKILL);
	for (int i = 0; i < FL_CONTROLS; i++)
		fl_kill(&fl.controls[i], SIGKILL);
}

void fl_finish(int code, const char *fmt, ...)
{
	char text[512];
	char command[200];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	stopping = true;
	end_processes();
	fl_record("verdict", "%s: %s",
		  code == 1   ? "BROKEN"
		  : code == 0 ? "held"
			      : "could not run",
		  text);
	printf("%s: %s\n",
	       code == 1   ? "BROKEN"
	       : code == 0 ? "held"
			   : "could not run",
	       text);
	fflush(stdout);
	if (getenv("KEEP")) {
		printf("kept %s\n", fl.tmp);
	} else if (!strncmp(fl.tmp, "/tmp/review-", 12)) {
		snprintf(command, sizeof(command), "rm -rf %s", fl.tmp);
		(void)!system(command);
	}
	fflush(stdout);
	_exit(code);
}

static void on_signal(int sig)
{
	(void)sig;
	end_processes();
	_exit(2);
}

/* Draws addresses and ports; false if one of the ports is in use. */
static bool choose_ports(void)
{
	fl.net = 20 + rand() % 200;
	fl.port = 20000 + rand() % 8000;
	for (int kind = 1; kind <= 9; kind++)
		for (int i = 0; i < 7; i++) {
			char addr[48];
			int fd;

			snprintf(addr, sizeof(addr), "127.%d.%d.1:%d", fl.net,
				 kind, fl.port + i);
			fd = listen_on(addr);
			if (fd < 0)
				return false;
			close(fd);
		}
	return true;
}

void fl_init(const char *record_path)
{
	started_at = mono_ms();
	record = fopen(record_path, "w");
	if (!record)
		fl_finish(2, "can't write %s", record_path);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	seen = calloc(100000, sizeof(*seen));
	strcpy(fl.tmp, "/tmp/review-XXXXXX");
	if (!mkdtemp(fl.tmp))
		fl_finish(2, "no temporary folder");
	srand((unsigned)(getpid() ^ time(NULL)));
	for (int i = 0; !choose_ports(); i++)
		if (i == 50)
			fl_finish(2, "no free ports");
	fl.provider.promote_ms = 600;
	snprintf(provider_addr, sizeof(provider_addr), "127.%d.9.1:%d", fl.net,
		 fl.port + 2);
	for (int i = 0; i < FL_CONTROLS; i++) {
		struct fl_process *p = &fl.controls[i];

		p->control = true;
		snprintf(p->name, sizeof(p->name), "core-%d", i + 1);
		snprintf(p->ip, sizeof(p->ip), "127.%d.1.%d", fl.net, i + 1);
		snprintf(p->zone, sizeof(p->zone), "z%c", 'a' + i);
		snprintf(p->program, sizeof(p->program),
			 "target/release/marjoramlatch-control");
		snprintf(p->settings, sizeof(p->settings), "%s/%s.toml", fl.tmp,
			 p->name);
		snprintf(p->api, sizeof(p->api), "%s:%d", p->ip, fl.port + 3);
	}
}

struct fl_process *fl_add_proxy(const char *zone)
{
	struct fl_process *p = &fl.proxies[fl.nproxies++];

	snprintf(p->name, sizeof(p->name), "front-%s-%02d", zone, fl.nproxies);
	snprintf(p->ip, sizeof(p->ip), "127.%d.2.%d", fl.net, fl.nproxies);
	snprintf(p->zone, sizeof(p->zone), "%s", zone);
	snprintf(p->program, sizeof(p->program),
		 "target/release/marjoramlatchd");
	snprintf(p->settings, sizeof(p->settings), "%s/%s.toml", fl.tmp,
		 p->name);
	snprintf(p->front, sizeof(p->front), "%s:%d", p->ip, fl.port + 4);
	snprintf(p->ready, sizeof(p->ready), "%s:%d", p->ip, fl.port + 5);
	return p;
}

struct fl_service *fl_add_service(const char *name, int64_t max_conns,
				  int slots, int64_t work_ms, int sync)
{
	struct fl_service *s = &fl.services[fl.nservices++];

	snprintf(s->name, sizeof(s->name), "%s", name);
	s->max_conns = max_conns;
	s->slots = slots;
	s->work_ms = work_ms;
	s->sync_replicas = sync;
	s->acked = calloc(FL_MAX_LOG + 1, sizeof(*s->acked));
	return s;
}

struct fl_member *fl_add_member(struct fl_service *s, const char *zone,
				bool primary)
{
	struct fl_member *m = &fl.members[fl.nmembers++];
	struct timespec ts;

	clock_gettime(CLOCK_REALTIME, &ts);
	snprintf(m->id, sizeof(m->id), "i-%s-%s", s->name, zone);
	snprintf(m->zone, sizeof(m->zone), "%s", zone);
	snprintf(m->addr, sizeof(m->addr), "127.%d.3.%d:%d", fl.net,
		 fl.nmembers, fl.port + 6);
	m->service = s;
	m->primary = primary;
	m->term = 1;
	m->lag_ms = 8;
	m->born = (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
	m->last_beat_ms = -BEAT_MS;
	m->log = calloc(FL_MAX_LOG, sizeof(*m->log));
	s->members[s->nmembers++] = m;
	return m;
}

void fl_add_route(const char *host, const char *service, const char *kind,
		  int timeout_ms, int max_staleness_ms)
{
	size_t n = strlen(fl.routes);
	char stale[48] = "";

	if (max_staleness_ms)
		snprintf(stale, sizeof(stale), ",\"max_staleness_ms\":%d",
			 max_staleness_ms);
	snprintf(fl.routes + n, sizeof(fl.routes) - n,
		 "%s{\"name\":\"r-%s\",\"host\":\"%s\",\"path_prefix\":\"/\","
		 "\"kind\":\"%s\",\"timeout_ms\":%d,\"slo_ms\":200,"
		 "\"priority\":1,\"service\":\"%s\",\"max_attempts\":2%s}",
		 n ? "," : "", host, host, kind, timeout_ms, service, stale);
}

struct fl_member *fl_primary(const struct fl_service *s)
{
	for (int i = 0; i < s->nmembers; i++)
		if (s->members[i]->primary)
			return s->members[i];
	return NULL;
}

void fl_start(void)
{
	int64_t end;

	for (int i = 0; i < FL_CONTROLS; i++)
		write_settings(&fl.controls[i]);
	for (int i = 0; i < fl.nproxies; i++)
		write_settings(&fl.proxies[i]);
	spawn(serve_provider, NULL);
	spawn(run_replication, NULL);
	for (int i = 0; i < fl.nmembers; i++)
		spawn(serve_member, &fl.members[i]);
	for (int i = 0; i < FL_CONTROLS; i++)
		fl_start_process(&fl.controls[i]);
	for (int i = 0; i < fl.nproxies; i++)
		fl_start_process(&fl.proxies[i]);
	for (int i = 0; i < fl.nmembers; i++)
		spawn(beat, &fl.members[i]);
	if (fl_publish() != 200)
		fl_finish(2, "the first manifest was not acknowledged");
	end = mono_ms() + 15000;
	for (int i = 0; i < fl.nproxies;) {
		if (fl_is_ready(&fl.proxies[i])) {
			i++;
			continue;
		}
		if (mono_ms() > end)
			fl_finish(2, "%s is not ready", fl.proxies[i].name);
		nap(50);
	}
	fl_record("fleet", "all proxies are ready");
}

/* ---- consumers ---- */

bool fl_open(struct fl_session *c, const char *name, const struct fl_process *p,
	     const char *database)
{
	memset(c, 0, sizeof(*c));
	snprintf(c->name, sizeof(c->name), "%s", name);
	c->fd = connect_to(p->front, 2000);
	if (c->fd < 0)
		return false;
	fl_send(c, "STARTUP %s u-%s\r\n", database, name);
	return fl_wait(c, 2000) == 1;
}

void fl_send(struct fl_session *c, const char *fmt, ...)
{
	char text[8192];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	c->sent_ms = fl_now();
	send_all(c->fd, text, (size_t)n);
}

/* Takes the lines of an answer; true once READY came. */
static bool take_lines(struct fl_session *c)
{
	char *end;

	while ((end = memchr(c->in, '\n', c->nin))) {
		size_t used = (size_t)(end - c->in) + 1;
		char line[1024];

		snprintf(line, sizeof(line), "%.*s", (int)used - 2, c->in);
		memmove(c->in, c->in + used, c->nin - used);
		c->nin -= used;
		if (!strncmp(line, "DATAROW ", 8))
			snprintf(c->rows, sizeof(c->rows), "%.200s", line + 8);
		else if (!strncmp(line, "COMPLETE ", 9))
			snprintf(c->receipt, sizeof(c->receipt), "%.90s",
				 line + 9);
		else if (!strncmp(line, "ERROR ", 6))
			snprintf(c->code, sizeof(c->code), "%.*s",
				 (int)strcspn(line + 6, " "), line + 6);
		else if (!strncmp(line, "READY ", 6)) {
			c->state = line[6];
			return true;
		}
	}
	return false;
}

int fl_wait(struct fl_session *c, int64_t limit_ms)
{
	int64_t end = fl_now() + limit_ms;

	c->rows[0] = c->receipt[0] = c->code[0] = '\0';
	c->state = 0;
	for (;;) {
		struct pollfd p = {c->fd, POLLIN, 0};
		ssize_t n;

		if (take_lines(c))
			break;
		if (fl_now() >= end ||
		    poll(&p, 1, (int)(end - fl_now())) <= 0) {
			c->done_ms = fl_now();
			fl_record(c->name, "gets no answer to %s in time",
				  c->last_id);
			return -1;
		}
		n = recv(c->fd, c->in + c->nin, sizeof(c->in) - c->nin, 0);
		if (n <= 0) {
			c->done_ms = fl_now();
			fl_record(c->name,
				  "its connection ends without an answer to %s",
				  c->last_id);
			return -1;
		}
		c->nin += (size_t)n;
	}
	c->done_ms = fl_now();
	if (c->last_id[0])
		fl_record(c->name, "gets for %s: %s %s%s%s, READY %c",
			  c->last_id, c->code[0] ? "ERROR" : "COMPLETE",
			  c->code[0] ? c->code : c->receipt,
			  c->rows[0] ? ", row " : "", c->rows, c->state);
	return !c->code[0];
}

int fl_query(struct fl_session *c, int64_t limit_ms, const char *fmt, ...)
{
	static int64_t last;
	char text[4096];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	snprintf(c->last_id, sizeof(c->last_id), "%s.%lld", c->name,
		 (long long)__atomic_add_fetch(&last, 1, __ATOMIC_SEQ_CST));
	fl_record(c->name, "sends %s %s", c->last_id, text);
	fl_send(c, "QUERY %s %s\r\n", c->last_id, text);
	return fl_wait(c, limit_ms);
}

void fl_close(struct fl_session *c)
{
	if (c->fd >= 0)
		close(c->fd);
	c->fd = -1;
}

int fl_count_item(const struct fl_service *s, const char *item)
{
	int n = 0;

	pthread_mutex_lock(&fl_mu);
	struct fl_member *m = fl_primary(s);

	for (int64_t i = 0; m && i < m->nlog; i++)
		for (int j = 0; j < m->log[i]->nwrites; j++)
			n += !strcmp(m->log[i]->item[j], item);
	pthread_mutex_unlock(&fl_mu);
	return n;
}

void fl_go_dark(struct fl_member *m, bool dark)
{
	pthread_mutex_lock(&fl_mu);
	if (dark)
		m->dark_count++;
	m->dark = dark;
	fl_record(m->id, dark ? "goes dark" : "is back");
	pthread_mutex_unlock(&fl_mu);
}

void fl_set_draining(struct fl_member *m)
{
	pthread_mutex_lock(&fl_mu);
	m->draining = true;
	m->beat_now = true;
	pthread_mutex_unlock(&fl_mu);
}
