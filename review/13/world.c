#include "../lib-2/world.h"

/* The first PAUSE to a successor gets no answer and is carried out so much later. */
int w_late_pause_ms;

#include <arpa/inet.h>
#include <ctype.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

/* Where the build of the deploy file puts the programs. */
#ifndef W_BIN
#define W_BIN "target/release/"
#endif

enum { LOG_MAX = 20000, CONNS_MAX = 512 };

struct w_config w = {.controls = 3,
		     .proxies = 2,
		     .members = 3,
		     .sync_replicas = 0,
		     .max_conns = 33,
		     .lag_ms = 8,
		     .promote_ms = 600,
		     .beat_ms = 1200,
		     .drain_ms = 7000};
struct w_member w_members[W_MEMBERS];

static const char service[] = "huvo11a";
static const char *const zones[] = {"coalville", "loughborough", "leicester"};
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static FILE *record;
static int64_t started_ms;
static char folder[128];
static int net_a; /* second byte of the addresses of this run */
static int api_port;
static int link_port;
static int metrics_port;
static int front_port;
static int ready_port;
static char provider_addr[64];
static bool provider_silent;
static int64_t newest_token;
static pid_t control_pids[W_CONTROLS];
static pid_t proxy_pids[W_PROXIES];
static int successor_ms[W_MEMBERS];
static int late_resume_ms[W_MEMBERS]; /* 0 once used */
static bool is_cut[W_MEMBERS];
static int cut_proxies[W_MEMBERS];
static bool cut_control[W_MEMBERS];

/* Open connections to members, so that a crash can end them. */
static struct {
	int fd;
	int member;
} conns[CONNS_MAX];

static int64_t clock_ms(clockid_t id)
{
	struct timespec t;

	clock_gettime(id, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t w_now(void)
{
	return clock_ms(CLOCK_MONOTONIC) - started_ms;
}

static void sleep_ms(int64_t ms)
{
	struct timespec t = {ms / 1000, ms % 1000 * 1000000};

	if (ms > 0)
		nanosleep(&t, NULL);
}

void w_sleep_until(int64_t ms)
{
	while (w_now() < ms)
		sleep_ms(ms - w_now());
}

void w_log(const char *fmt, ...)
{
	va_list ap;

	pthread_mutex_lock(&record_lock);
	fprintf(record, "%7.3f ", (double)w_now() / 1000);
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

bool w_trouble(void)
{
	const char *t = getenv("TROUBLE");

	return !t || strcmp(t, "0") != 0;
}

void w_lock(void)
{
	pthread_mutex_lock(&lock);
}

void w_unlock(void)
{
	pthread_mutex_unlock(&lock);
}

const char *w_folder(void)
{
	return folder;
}

void w_end(int code)
{
	for (int i = 0; i < W_CONTROLS; i++)
		if (control_pids[i] > 0)
			kill(control_pids[i], SIGKILL);
	for (int i = 0; i < W_PROXIES; i++)
		if (proxy_pids[i] > 0)
			kill(proxy_pids[i], SIGKILL);
	while (wait(NULL) > 0)
		;
	if (record)
		w_log("exit %d", code);
	if (!getenv("KEEP")) {
		char cmd[200];

		snprintf(cmd, sizeof(cmd), "rm -rf '%s'", folder);
		if (folder[0] && system(cmd))
			fprintf(stderr, "folder %s stays\n", folder);
	}
	_exit(code);
}

static void cannot_run(const char *why)
{
	fprintf(stderr, "cannot run: %s (%s)\n", why, strerror(errno));
	if (record)
		w_log("cannot run: %s", why);
	w_end(2);
}

/* --- sockets --- */

static struct sockaddr_in parse_addr(const char *addr)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	const char *colon = strrchr(addr, ':');
	char ip[64];

	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - addr), addr);
	inet_pton(AF_INET, ip, &sa.sin_addr);
	sa.sin_port = htons((uint16_t)atoi(colon + 1));
	return sa;
}

static int listen_on(const char *addr)
{
	struct sockaddr_in sa = parse_addr(addr);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(fd, 256)) {
		close(fd);
		return -1;
	}
	return fd;
}

static int connect_to(const char *addr, int ms)
{
	struct sockaddr_in sa = parse_addr(addr);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct pollfd p = {.fd = fd, .events = POLLOUT};
	int error = 0;
	socklen_t len = sizeof(error);

	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) &&
	    errno != EINPROGRESS)
		error = errno;
	else if (poll(&p, 1, ms) <= 0)
		error = ETIMEDOUT;
	else
		getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
	return fd;
}

static void send_all(int fd, const char *p, size_t n)
{
	while (n) {
		ssize_t k = send(fd, p, n, MSG_NOSIGNAL);

		if (k <= 0)
			return;
		p += k;
		n -= (size_t)k;
	}
}

/* A port that is free on all addresses of this run that need it. */
static int free_port(void)
{
	for (;;) {
		char addr[64];
		struct sockaddr_in sa;
		socklen_t len = sizeof(sa);
		int fd;
		int port;
		bool ok = true;

		snprintf(addr, sizeof(addr), "127.%d.1.1:0", net_a);
		fd = listen_on(addr);
		if (fd < 0)
			cannot_run("no port");
		getsockname(fd, (struct sockaddr *)&sa, &len);
		port = ntohs(sa.sin_port);
		close(fd);
		for (int k = 1; k <= 2 && ok; k++)
			for (int i = 1; i <= W_CONTROLS && ok; i++) {
				snprintf(addr, sizeof(addr), "127.%d.%d.%d:%d",
					 net_a, k, i, port);
				fd = listen_on(addr);
				ok = fd >= 0;
				if (ok)
					close(fd);
			}
		if (ok)
			return port;
	}
}

/* --- HTTP --- */

static int http_once(const char *addr, const char *method, const char *path,
		     const char *body, char *answer, size_t size)
{
	int fd = connect_to(addr, 1000);
	int64_t end = clock_ms(CLOCK_MONOTONIC) + 1000;
	char head[512];
	size_t len = 0;
	int status = 0;

	answer[0] = '\0';
	if (fd < 0)
		return 0;
	snprintf(head, sizeof(head),
		 "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: "
		 "application/json\r\nContent-Length: %zu\r\nConnection: "
		 "close\r\n\r\n",
		 method, path, addr, strlen(body));
	send_all(fd, head, strlen(head));
	send_all(fd, body, strlen(body));
	while (len + 1 < size) {
		struct pollfd p = {.fd = fd, .events = POLLIN};
		int64_t left = end - clock_ms(CLOCK_MONOTONIC);
		ssize_t n;

		if (left <= 0 || poll(&p, 1, (int)left) <= 0)
			break;
		n = recv(fd, answer + len, size - len - 1, 0);
		if (n <= 0) {
			if (n == 0 && len > 12)
				status = atoi(answer + 9);
			break;
		}
		len += (size_t)n;
		answer[len] = '\0';
	}
	close(fd);
	return status;
}

int w_http(const char *addr, const char *method, const char *path,
	   const char *body, char *answer, size_t size)
{
	char to[64];
	int status = 0;

	snprintf(to, sizeof(to), "%s", addr);
	for (int i = 0; i < 3; i++) {
		char *at;

		status = http_once(to, method, path, body, answer, size);
		at = strstr(answer, "Location: http://");
		if (status != 307 || !at)
			break;
		sscanf(at + 17, "%63[0-9.:]", to);
	}
	return status;
}

const char *w_control_addr(int i)
{
	static _Thread_local char addrs[W_CONTROLS][64];

	snprintf(addrs[i], sizeof(addrs[i]), "127.%d.1.%d:%d", net_a, i + 1,
		 api_port);
	return addrs[i];
}

/* --- members --- */

int w_primary(void)
{
	for (int i = 0; i < W_MEMBERS; i++)
		if (w_members[i].running && w_members[i].leads)
			return i;
	return -1;
}

bool w_has(int m, const char *id)
{
	for (int i = 0; i < w_members[m].received; i++)
		if (!strcmp(w_members[m].log[i].id, id))
			return true;
	return false;
}

static bool same_entry(const struct w_entry *a, const struct w_entry *b)
{
	return a->term == b->term && !strcmp(a->id, b->id);
}

static void receive(struct w_member *to, const struct w_member *from,
		    int64_t now)
{
	int common = 0;
	int max = to->received < from->received ? to->received : from->received;

	common = max;
	while (common && !same_entry(&to->log[common - 1],
				     &from->log[common - 1]))
		common--;
	if (to->received > common) {
		to->received = common;
		if (to->applied > common)
			to->applied = common;
	}
	while (to->received < from->received) {
		to->log[to->received] = from->log[to->received];
		to->log[to->received++].at_ms = now;
	}
	to->term = from->term;
}

/* Passes commits on to the replicas. */
static void *replicate(void *arg)
{
	(void)arg;
	for (;;) {
		int p;
		int64_t now = w_now();

		w_lock();
		p = w_primary();
		for (int i = 0; i < W_MEMBERS; i++) {
			struct w_member *m = &w_members[i];

			if (p >= 0 && i != p && m->running && !m->deaf &&
			    !m->paused)
				receive(m, &w_members[p], now);
			while (m->applied < m->received &&
			       (m->leads || now - m->log[m->applied].at_ms >=
						    w.lag_ms))
				m->applied++;
		}
		w_unlock();
		sleep_ms(1);
	}
	return NULL;
}

struct txn {
	char state; /* I, T or E */
	bool read_only;
	bool silent; /* nothing more is answered on this connection */
	int term;
	int n;
	struct w_entry writes[16];
	int nprepared;
	char prepared[32][2][W_TEXT]; /* name, mode */
};

struct conn_arg {
	int fd;
	int member;
};

static void spawn(void *(*fn)(void *), void *arg);

void w_late_resume(int m, int ms)
{
	late_resume_ms[m] = ms;
}

struct late_order {
	int member;
	int ms;
};

static void *resume_late(void *arg)
{
	struct late_order o = *(struct late_order *)arg;

	free(arg);
	sleep_ms(o.ms);
	w_lock();
	w_members[o.member].paused = false;
	w_log("%s carries out RESUME, %d ms late", w_members[o.member].id,
	      o.ms);
	w_unlock();
	return NULL;
}

static void *pause_late(void *arg)
{
	struct late_order o = *(struct late_order *)arg;

	free(arg);
	sleep_ms(o.ms);
	w_lock();
	if (!w_members[o.member].leads)
		w_members[o.member].paused = true;
	w_log("%s carries out PAUSE, %d ms late", w_members[o.member].id,
	      o.ms);
	w_unlock();
	return NULL;
}

/* Returns true if the order is left unanswered. */
static bool leave_resume(const struct w_member *m)
{
	int i = (int)(m - w_members);
	struct late_order *o;

	if (!late_resume_ms[i])
		return false;
	o = malloc(sizeof(*o));
	*o = (struct late_order){i, late_resume_ms[i]};
	late_resume_ms[i] = 0;
	w_log("%s leaves RESUME unanswered", m->id);
	spawn(resume_late, o);
	return true;
}

void w_cut(int m, int proxies, bool control)
{
	w_lock();
	is_cut[m] = true;
	cut_proxies[m] = proxies;
	cut_control[m] = control;
	w_log("%s is cut off from %s%d of %d proxies", w_members[m].id,
	      control ? "control and " : "", proxies, w.proxies);
	w_unlock();
}

void w_heal(int m)
{
	w_lock();
	is_cut[m] = false;
	w_members[m].beat_now = true;
	w_log("%s is reached again", w_members[m].id);
	w_unlock();
}

/* The inode of the other end of a connection; 0 if it is not found. */
static unsigned long peer_inode(int fd)
{
	struct sockaddr_in sa;
	socklen_t len = sizeof(sa);
	char line[400];
	unsigned long found = 0;
	FILE *f;

	if (getpeername(fd, (struct sockaddr *)&sa, &len))
		return 0;
	f = fopen("/proc/self/net/tcp", "r");
	while (f && !found && fgets(line, sizeof(line), f)) {
		unsigned ip;
		unsigned port;
		unsigned long inode;

		if (sscanf(line,
			   " %*d: %x:%x %*x:%*x %*x %*x:%*x %*x:%*x %*x %*d "
			   "%*d %lu",
			   &ip, &port, &inode) == 3 &&
		    port == ntohs(sa.sin_port) && ip == sa.sin_addr.s_addr)
			found = inode;
	}
	if (f)
		fclose(f);
	return found;
}

static bool process_has(pid_t pid, unsigned long inode)
{
	char want[64];

	snprintf(want, sizeof(want), "socket:[%lu]", inode);
	for (int fd = 0; pid > 0 && fd < 300; fd++) {
		char path[64];
		char at[64];
		ssize_t n;

		snprintf(path, sizeof(path), "/proc/%d/fd/%d", (int)pid, fd);
		n = readlink(path, at, sizeof(at) - 1);
		if (n > 0 && (at[n] = '\0', !strcmp(at, want)))
			return true;
	}
	return false;
}

/* Which process opened the connection: the number of a proxy, or -1. */
static int proxy_of(int fd)
{
	unsigned long inode = peer_inode(fd);

	for (int i = 0; i < w.proxies; i++)
		if (process_has(proxy_pids[i], inode))
			return i;
	return -1;
}

/* Waits while the member is cut off from the peer. */
static void wait_for_peer(int member, int proxy)
{
	for (;;) {
		bool held;

		w_lock();
		held = is_cut[member] &&
		       (proxy < 0 ? cut_control[member]
				  : proxy < cut_proxies[member]);
		w_unlock();
		if (!held)
			return;
		sleep_ms(5);
	}
}

static void put_pos(char *out, size_t size, const struct w_member *m, int n)
{
	snprintf(out, size, "%d.%d", n ? m->log[n - 1].term : 1, n);
}

static bool reaches(const struct w_member *m, const char *pos)
{
	int term = 0;
	int number = 0;
	int have = m->applied ? m->log[m->applied - 1].term : 1;

	sscanf(pos, "%d.%d", &term, &number);
	return have > term || (have == term && m->applied >= number);
}

/* Commits and, with synchronous replicas, waits until enough have received it.
 * Returns false if the member lost the lead or crashed meanwhile. */
static bool commit(struct w_member *m, const struct w_entry *writes, int n)
{
	int term = m->term;
	int last;

	if (!n)
		return true;
	if (m->received + n >= LOG_MAX)
		return false;
	for (int i = 0; i < n; i++) {
		m->log[m->received] = writes[i];
		m->log[m->received].term = term;
		m->log[m->received++].at_ms = w_now();
	}
	last = m->received;
	m->applied = m->received;
	for (;;) {
		int got = 0;

		if (!m->running || !m->leads || m->term != term)
			return false;
		for (int i = 0; i < W_MEMBERS; i++)
			got += &w_members[i] != m && w_members[i].running &&
			       w_members[i].received >= last;
		if (got >= w.sync_replicas)
			return true;
		w_unlock();
		sleep_ms(1);
		w_lock();
	}
}

static const char *value_of(const struct w_member *m, const char *item)
{
	for (int i = m->applied - 1; i >= 0; i--)
		if (!strcmp(m->log[i].item, item))
			return m->log[i].data;
	return "none";
}

static void say(int fd, const char *fmt, ...)
{
	char line[512];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(line, sizeof(line) - 2, fmt, ap);
	va_end(ap);
	if (n > (int)sizeof(line) - 3)
		n = (int)sizeof(line) - 3;
	memcpy(line + n, "\r\n", 2);
	send_all(fd, line, (size_t)n + 2);
}

static void fail(int fd, struct txn *t, const char *code,
		 const struct w_member *m)
{
	say(fd, "ERROR %s %s", code, m->id);
	if (t->state == 'T')
		t->state = 'E';
}

static bool lost_lead(const struct w_member *m, const struct txn *t)
{
	return !m->leads || m->term != t->term;
}

static void status_row(int fd, const struct w_member *m)
{
	char pos[40];

	put_pos(pos, sizeof(pos), m, m->received);
	say(fd, "DATAROW %s %d %s %d 0 0 1", m->leads ? "primary" : "replica",
	    m->term, pos, m->applied);
	say(fd, "COMPLETE -");
}

/* Runs a statement with the lock held. Returns false if the connection ends
 * without an answer. */
static bool run_text(int fd, struct w_member *m, struct txn *t, const char *id,
		     char *text)
{
	char word[8][W_TEXT] = {{0}};
	struct w_entry e = {0};
	int n = 0;
	char *save = NULL;
	char copy[1024];

	snprintf(copy, sizeof(copy), "%s", text);
	for (char *p = strtok_r(copy, " ", &save); p && n < 8;
	     p = strtok_r(NULL, " ", &save))
		snprintf(word[n++], W_TEXT, "%s", p);
	if (!strcmp(word[0], "WAITPOS")) {
		if (!reaches(m, word[1])) {
			fail(fd, t, "LAGGING", m);
			return true;
		}
		return run_text(fd, m, t, id,
				text + strlen("WAITPOS ") + strlen(word[1]) +
					1);
	}
	if (!strcmp(word[0], "STATUS")) {
		status_row(fd, m);
	} else if (!strcmp(word[0], "PAUSE") && w_late_pause_ms &&
		   strstr(m->id, "-next")) {
		struct late_order *o = malloc(sizeof(*o));

		*o = (struct late_order){(int)(m - w_members), w_late_pause_ms};
		w_late_pause_ms = 0;
		w_log("%s leaves PAUSE unanswered", m->id);
		spawn(pause_late, o);
		t->silent = true;
		return true;
	} else if (!strcmp(word[0], "PAUSE")) {
		if (!m->leads && atoi(word[1]) > m->term)
			m->paused = true;
		w_log("%s PAUSE %s", m->id, word[1]);
		status_row(fd, m);
	} else if (!strcmp(word[0], "RESUME")) {
		if (leave_resume(m)) {
			t->silent = true;
			return true;
		}
		m->paused = false;
		w_log("%s RESUME", m->id);
		status_row(fd, m);
	} else if (!strcmp(word[0], "STEPDOWN")) {
		w_log("%s STEPDOWN %s", m->id, word[1]);
		if (m->leads && atoi(word[1]) > m->term) {
			m->leads = false;
			m->beat_now = true;
		}
		status_row(fd, m);
	} else if (!strcmp(word[0], "RESET")) {
		t->nprepared = 0;
		say(fd, "COMPLETE -");
	} else if (!strcmp(word[0], "SET")) {
		say(fd, "COMPLETE -");
	} else if (!strcmp(word[0], "PREPARE")) {
		if (t->nprepared < 32) {
			snprintf(t->prepared[t->nprepared][0], W_TEXT, "%s",
				 word[1]);
			snprintf(t->prepared[t->nprepared++][1], W_TEXT, "%s",
				 word[2]);
		}
		say(fd, "COMPLETE -");
	} else if (!strcmp(word[0], "BEGIN")) {
		t->read_only = !strcmp(word[1], "READ");
		if (!t->read_only && !m->leads) {
			fail(fd, t, "READONLY", m);
			return true;
		}
		t->state = 'T';
		t->term = m->term;
		t->n = 0;
		say(fd, "COMPLETE -");
	} else if (!strcmp(word[0], "ROLLBACK")) {
		t->state = 'I';
		t->n = 0;
		say(fd, "COMPLETE -");
	} else if (t->state == 'E' && strcmp(word[0], "COMMIT") != 0) {
		say(fd, "ERROR MALFORMED %s", m->id);
	} else if (!strcmp(word[0], "COMMIT")) {
		char was = t->state;
		int k = t->n;

		t->state = 'I';
		t->n = 0;
		if (was != 'T' || (k && lost_lead(m, t))) {
			say(fd, "ERROR READONLY %s", m->id);
			return true;
		}
		if (!commit(m, t->writes, k))
			return false;
		say(fd, "COMPLETE %s.%s", m->id, id);
	} else if (!strcmp(word[0], "READ")) {
		if (t->state == 'T' && !t->read_only && lost_lead(m, t)) {
			fail(fd, t, "READONLY", m);
			return true;
		}
		say(fd, "DATAROW %s", value_of(m, word[1]));
		say(fd, "COMPLETE %s.%s", m->id, id);
	} else if (!strcmp(word[0], "WRITE")) {
		snprintf(e.id, sizeof(e.id), "%s", id);
		snprintf(e.item, sizeof(e.item), "%s", word[1]);
		snprintf(e.data, sizeof(e.data), "%s", word[2]);
		if (!m->leads || (t->state == 'T' && lost_lead(m, t))) {
			fail(fd, t, "READONLY", m);
			return true;
		}
		if (t->state == 'T' && t->n < 16)
			t->writes[t->n++] = e;
		else if (!commit(m, &e, 1))
			return false;
		say(fd, "COMPLETE %s.%s", m->id, id);
	} else {
		say(fd, "ERROR MALFORMED %s", m->id);
	}
	return true;
}

/* Handles one line; returns false if the connection is to be closed. */
static bool member_line(int fd, struct w_member *m, struct txn *t, char *line)
{
	char pos[40];
	char *save = NULL;
	char *word = strtok_r(line, " ", &save);
	char *id;
	bool ok;

	if (!word)
		return false;
	if (!strcmp(word, "STARTUP")) {
		char *name = strtok_r(NULL, " ", &save);
		char *expected;

		strtok_r(NULL, " ", &save);
		expected = strtok_r(NULL, " ", &save);
		ok = name && !strcmp(name, service) &&
		     (!expected || !strcmp(expected, m->id));
		if (!ok) {
			say(fd, "ERROR WRONGNODE %s", m->id);
			return false;
		}
		put_pos(pos, sizeof(pos), m, m->applied);
		say(fd, "READY I %s", pos);
		return true;
	}
	if (strcmp(word, "QUERY") != 0)
		return false;
	id = strtok_r(NULL, " ", &save);
	if (!id)
		return false;
	if (strcmp(id, "-") != 0)
		w_log("%s gets %s %s", m->id, id, save);
	if (!run_text(fd, m, t, id, save))
		return false;
	if (t->silent)
		return true;
	put_pos(pos, sizeof(pos), m, m->applied);
	say(fd, "READY %c %s", t->state, pos);
	return true;
}

static void *member_conn(void *arg)
{
	struct conn_arg c = *(struct conn_arg *)arg;
	struct w_member *m = &w_members[c.member];
	struct txn *t = calloc(1, sizeof(*t));
	char in[8192];
	size_t len = 0;
	bool ok = true;
	int slot = -1;
	int proxy = proxy_of(c.fd);

	free(arg);
	t->state = 'I';
	w_lock();
	for (int i = 0; i < CONNS_MAX && slot < 0; i++)
		if (!conns[i].fd)
			slot = i;
	if (slot >= 0) {
		conns[slot].fd = c.fd;
		conns[slot].member = c.member;
	}
	ok = slot >= 0 && m->running;
	w_unlock();
	while (ok) {
		char *end;
		ssize_t n = recv(c.fd, in + len, sizeof(in) - len - 1, 0);

		if (n <= 0)
			break;
		len += (size_t)n;
		in[len] = '\0';
		while (ok && (end = strstr(in, "\r\n"))) {
			*end = '\0';
			wait_for_peer(c.member, proxy);
			sleep_ms(2); /* work */
			w_lock();
			ok = m->running && member_line(c.fd, m, t, in);
			w_unlock();
			len -= (size_t)(end + 2 - in);
			memmove(in, end + 2, len + 1);
		}
	}
	w_lock();
	if (slot >= 0)
		conns[slot].fd = 0;
	w_unlock();
	close(c.fd);
	free(t);
	return NULL;
}

static void spawn(void *(*fn)(void *), void *arg)
{
	pthread_t id;
	pthread_attr_t a;

	pthread_attr_init(&a);
	pthread_attr_setstacksize(&a, 256 << 10);
	pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
	if (pthread_create(&id, &a, fn, arg))
		cannot_run("thread");
}

static void *member_accept(void *arg)
{
	struct w_member *m = arg;
	int listener = m->listen_fd;

	for (;;) {
		int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
		struct conn_arg *c;

		if (fd < 0)
			return NULL;
		c = malloc(sizeof(*c));
		*c = (struct conn_arg){fd, (int)(m - w_members)};
		spawn(member_conn, c);
	}
}

static void member_listen(struct w_member *m)
{
	for (int i = 0; i < 100 && (m->listen_fd = listen_on(m->addr)) < 0; i++)
		sleep_ms(20);
	if (m->listen_fd < 0)
		cannot_run("member's address is in use");
	spawn(member_accept, m);
}

/* Closes listener and connections; with the lock held. */
static void member_stop(struct w_member *m)
{
	m->running = false;
	m->led = m->leads;
	m->leads = false;
	shutdown(m->listen_fd, SHUT_RDWR);
	close(m->listen_fd);
	for (int i = 0; i < CONNS_MAX; i++)
		if (conns[i].fd && conns[i].member == (int)(m - w_members))
			shutdown(conns[i].fd, SHUT_RDWR);
}

void w_crash(int i)
{
	w_lock();
	w_log("%s crashes, %d commits in its log", w_members[i].id,
	      w_members[i].received);
	member_stop(&w_members[i]);
	w_unlock();
}

void w_crash_in_flight(int i, int replica)
{
	for (int n = 0; n < 2000; n++) {
		w_lock();
		if (w_members[i].received > w_members[replica].received) {
			w_log("%s crashes, %d commits in its log, %d at %s",
			      w_members[i].id, w_members[i].received,
			      w_members[replica].received,
			      w_members[replica].id);
			member_stop(&w_members[i]);
			w_unlock();
			return;
		}
		w_unlock();
		usleep(200);
	}
	w_crash(i);
}

static void member_up(struct w_member *m)
{
	m->running = true;
	m->exists = true;
	m->paused = false;
	m->born_ms = clock_ms(CLOCK_REALTIME);
	m->seq = 0;
	m->beat_now = true;
	m->beat_addr[0] = '\0';
}

void w_restart(int i)
{
	member_listen(&w_members[i]);
	w_lock();
	member_up(&w_members[i]);
	/* A primary comes back as such unless another member was promoted. */
	w_members[i].leads = w_members[i].led && w_primary() < 0;
	w_members[i].led = false;
	w_log("%s is back", w_members[i].id);
	w_unlock();
}

void w_leave(int i)
{
	w_lock();
	w_members[i].draining = true;
	w_members[i].beat_now = true;
	w_log("%s reports draining", w_members[i].id);
	w_unlock();
}

void w_successor_after(int i, int ms)
{
	successor_ms[i] = ms;
}

static void member_exit(struct w_member *m)
{
	char path[128];
	char answer[1024];
	int at = (int)(m - w_members);
	int status;

	snprintf(path, sizeof(path), "/marjoramlatch/instances/%s", m->id);
	status = w_http(m->beat_addr[0] ? m->beat_addr : w_control_addr(0),
			"DELETE", path, "", answer, sizeof(answer));
	w_lock();
	w_log("%s sent DELETE (status %d) and exits", m->id, status);
	member_stop(m);
	w_unlock();
	if (!successor_ms[at])
		return;
	sleep_ms(successor_ms[at]);
	w_lock();
	snprintf(m->id, sizeof(m->id), "i-%d-next", at);
	m->draining = false;
	m->leave_acked_ms = 0;
	w_unlock();
	w_restart(at);
}

/* One check-in; follows what the answer says. */
static void check_in(struct w_member *m)
{
	static int next;
	char body[512];
	char path[128];
	char answer[4096];
	char to[64];
	char *at;
	bool draining;
	int status;

	w_lock();
	m->beat_now = false;
	draining = m->draining;
	snprintf(body, sizeof(body),
		 "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\","
		 "\"version\":\"v1\",\"slots\":5,\"state\":\"%s\","
		 "\"cold_left_ms\":0,\"db_role\":\"%s\",\"born\":%lld,"
		 "\"seq\":%lld}",
		 service, m->addr, m->zone, draining ? "draining" : "ready",
		 m->leads ? "primary" : "replica", (long long)m->born_ms,
		 (long long)++m->seq);
	snprintf(path, sizeof(path), "/marjoramlatch/instances/%s", m->id);
	snprintf(to, sizeof(to), "%s",
		 m->beat_addr[0] ? m->beat_addr
				 : w_control_addr(next++ % w.controls));
	w_unlock();
	status = w_http(to, "PUT", path, body, answer, sizeof(answer));
	w_lock();
	m->beat_addr[0] = '\0';
	if (status == 200) {
		at = strstr(answer, "\"beat_addr\":\"");
		if (at)
			sscanf(at + 13, "%63[0-9.:]", m->beat_addr);
		if (draining && !m->leave_acked_ms) {
			m->leave_acked_ms = w_now();
			w_log("leaving of %s is acknowledged", m->id);
		}
	} else {
		m->beat_now = true;
	}
	w_unlock();
	if (status != 200)
		sleep_ms(50);
}

static void *member_beats(void *arg)
{
	struct w_member *m = arg;
	int64_t last = -100000;

	for (;;) {
		bool due;
		bool over;

		w_lock();
		due = m->running &&
		      !(is_cut[m - w_members] && cut_control[m - w_members]) &&
		      (m->beat_now || w_now() - last >= w.beat_ms);
		over = m->running && m->draining && m->leave_acked_ms &&
		       w_now() - m->leave_acked_ms >= w.drain_ms + 500;
		w_unlock();
		if (over) {
			member_exit(m);
			last = -100000;
		} else if (due) {
			last = w_now();
			check_in(m);
		}
		sleep_ms(5);
	}
	return NULL;
}

/* --- provider --- */

void w_provider_silent(bool silent)
{
	w_log("provider %s", silent ? "answers nothing" : "answers again");
	provider_silent = silent;
}

static void *promote_later(void *arg)
{
	int i = (int)(intptr_t)arg;
	struct w_member *m = &w_members[i];
	int p;

	sleep_ms(w.promote_ms);
	w_lock();
	p = w_primary();
	if (m->running && p != i) {
		int term = 0;

		for (int k = 0; k < W_MEMBERS; k++)
			if (w_members[k].term > term)
				term = w_members[k].term;
		if (p >= 0) {
			w_members[p].leads = false;
			w_members[p].beat_now = true;
		}
		for (int k = 0; k < W_MEMBERS; k++)
			w_members[k].led = false;
		m->leads = true;
		m->paused = false;
		m->term = term + 1;
		m->applied = m->received;
		m->beat_now = true;
		for (int k = 0; k < W_MEMBERS; k++)
			if (k != i && !w_members[k].deaf)
				w_members[k].paused = false;
		w_log("%s leads term %d with %d commits", m->id, m->term,
		      m->received);
	}
	w_unlock();
	return NULL;
}

static int failover(const char *text)
{
	const char *t = strcasestr(text, "X-Fence-Token:");
	const char *id = strstr(text, "\"id\":\"");
	long long token = t ? atoll(t + 14) : 0;
	char name[32] = "";
	int status = 409;

	if (id)
		sscanf(id + 6, "%31[^\"]", name);
	w_lock();
	for (int i = 0; i < W_MEMBERS; i++) {
		if (!w_members[i].running ||
		    strcmp(w_members[i].id, name) != 0 || token < newest_token)
			continue;
		newest_token = token;
		status = 200;
		if (w_primary() != i)
			spawn(promote_later, (void *)(intptr_t)i);
	}
	w_log("POST /failover id=%s token=%lld: %d", name, token, status);
	w_unlock();
	return status;
}

static void *provider_conn(void *arg)
{
	int fd = (int)(intptr_t)arg;
	char in[4096];
	size_t len = 0;
	char *body = NULL;
	const char *l;

	while (len + 1 < sizeof(in)) {
		ssize_t n = recv(fd, in + len, sizeof(in) - len - 1, 0);

		if (n <= 0)
			break;
		len += (size_t)n;
		in[len] = '\0';
		body = strstr(in, "\r\n\r\n");
		l = strcasestr(in, "Content-Length:");
		if (body && l && strlen(body + 4) >= (size_t)atoi(l + 15))
			break;
		body = NULL;
	}
	if (body && provider_silent) {
		w_log("POST /failover is left without an answer");
		sleep_ms(2000);
	} else if (body) {
		int status = failover(in);
		char out[128];

		snprintf(out, sizeof(out),
			 "HTTP/1.1 %d X\r\nContent-Length: 0\r\nConnection: "
			 "close\r\n\r\n",
			 status);
		send_all(fd, out, strlen(out));
	}
	close(fd);
	return NULL;
}

static void *provider(void *arg)
{
	int listener = (int)(intptr_t)arg;

	for (;;) {
		int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);

		if (fd < 0)
			return NULL;
		spawn(provider_conn, (void *)(intptr_t)fd);
	}
}

/* --- operator --- */

bool w_publish(int version, int64_t ms)
{
	char body[4096];
	char answer[8192];
	int64_t end = w_now() + ms;
	int status = 0;

	snprintf(body, sizeof(body),
		 "{\"version\":%d,\"routes\":["
		 "{\"name\":\"r-1\",\"host\":\"orders\",\"path_prefix\":\"/\","
		 "\"kind\":\"primary\",\"timeout_ms\":1000,\"slo_ms\":200,"
		 "\"priority\":1,\"service\":\"%s\",\"max_attempts\":2},"
		 "{\"name\":\"r-2\",\"host\":\"tickets\",\"path_prefix\":"
		 "\"/\",\"kind\":\"read_your_writes\",\"timeout_ms\":1000,"
		 "\"slo_ms\":400,\"priority\":2,\"service\":\"%s\","
		 "\"max_attempts\":2,\"max_staleness_ms\":2500},"
		 "{\"name\":\"r-3\",\"host\":\"catalogue\",\"path_prefix\":"
		 "\"/\",\"kind\":\"bounded_staleness\",\"timeout_ms\":3000,"
		 "\"slo_ms\":800,\"priority\":2,\"service\":\"%s\","
		 "\"max_attempts\":2,\"max_staleness_ms\":1500}],"
		 "\"services\":[{\"name\":\"%s\",\"health_path\":\"/health\","
		 "\"max_conns\":%d,\"protocol\":\"h1\",\"tls\":false,"
		 "\"sync_replicas\":%d}],\"limits\":{\"max_header_bytes\":"
		 "16384,\"max_body_bytes\":262144,\"header_timeout_ms\":3000,"
		 "\"idle_timeout_ms\":15000,\"txn_idle_ms\":3000}}",
		 version, service, service, service, service, w.max_conns,
		 w.sync_replicas);
	for (int i = 0; w_now() < end && status != 200; i++) {
		status = w_http(w_control_addr(i % w.controls), "PUT",
				"/marjoramlatch/config", body, answer,
				sizeof(answer));
		if (status != 200)
			sleep_ms(100);
	}
	w_log("manifest %d: status %d", version, status);
	return status == 200;
}

/* --- processes --- */

static pid_t start(const char *program, const char *settings, const char *log)
{
	pid_t pid = fork();

	if (pid < 0)
		cannot_run("fork");
	if (!pid) {
		int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		/* Ends with this program, however that ends. */
		prctl(PR_SET_PDEATHSIG, SIGKILL);

		dup2(fd, 1);
		dup2(fd, 2);
		execl(program, program, "--settings", settings, (char *)NULL);
		_exit(127);
	}
	return pid;
}

static void put_seeds(FILE *f)
{
	fprintf(f, "\"seeds\": [");
	for (int i = 0; i < 3; i++)
		fprintf(f, "%s\"%s\"", i ? "," : "", w_control_addr(i));
	fprintf(f, "], \"promoter_deposes\": true, \"key_lease_ms\": 0, "
		   "\"rate_window_ms\": 0, \"rate_excess\": 0, \"rate_slack\": "
		   "0, \"key\": \"links-of-one-deployment\", ");
}

void w_start_control(int i, bool bootstrap)
{
	char path[200];
	char log[200];
	FILE *f;

	snprintf(path, sizeof(path), "%s/control-%d.json", folder, i);
	snprintf(log, sizeof(log), "%s/control-%d.log", folder, i);
	f = fopen(path, "w");
	if (!f)
		cannot_run("settings");
	fprintf(f,
		"{\"protocol\": \"line\", \"id\": \"127.%d.1.%d\", \"name\": "
		"\"core-%d\", \"zone\": \"%s\", \"link\": \"127.%d.1.%d:%d\", "
		"\"control_api\": \"%s\", \"promoter\": \"%s\", \"data\": "
		"\"%s/data-%d\", \"metrics\": \"127.%d.1.%d:%d\", ",
		net_a, i + 1, i, zones[i % 3], net_a, i + 1, link_port,
		w_control_addr(i), provider_addr, folder, i, net_a, i + 1,
		metrics_port);
	put_seeds(f);
	fprintf(f,
		"\"bootstrap\": %s, \"silent_ms\": 3600, \"heartbeat_ms\": 60, "
		"\"election_min_ms\": 300}\n",
		bootstrap ? "true" : "false");
	fclose(f);
	control_pids[i] =
		start(W_BIN "marjoramlatch-control", path, log);
}

void w_start_proxy(int i)
{
	char path[200];
	char log[200];
	FILE *f;

	snprintf(path, sizeof(path), "%s/proxy-%d.json", folder, i);
	snprintf(log, sizeof(log), "%s/proxy-%d.log", folder, i);
	f = fopen(path, "w");
	if (!f)
		cannot_run("settings");
	fprintf(f,
		"{\"protocol\": \"line\", \"id\": \"front-%d\", \"zone\": "
		"\"%s\", \"link\": \"127.%d.2.%d:%d\", \"listen\": "
		"\"127.%d.2.%d:%d\", \"ready\": \"127.%d.2.%d:%d\", "
		"\"metrics\": \"127.%d.2.%d:%d\", ",
		i, zones[i % 3], net_a, i + 1, link_port, net_a, i + 1,
		front_port, net_a, i + 1, ready_port, net_a, i + 1,
		metrics_port);
	put_seeds(f);
	fprintf(f, "\"stop_ms\": 6000}\n");
	fclose(f);
	proxy_pids[i] = start(W_BIN "marjoramlatchd", path, log);
	w_log("proxy %d starts", i);
}

pid_t w_control_pid(int i)
{
	return control_pids[i];
}

pid_t w_proxy_pid(int i)
{
	return proxy_pids[i];
}

void w_signal(pid_t pid, int sig)
{
	w_log("signal %d to process %d", sig, (int)pid);
	kill(pid, sig);
}

void w_kill_all(void)
{
	w_log("all proxies and control instances are killed");
	for (int i = 0; i < w.controls; i++)
		kill(control_pids[i], SIGKILL);
	for (int i = 0; i < w.proxies; i++)
		kill(proxy_pids[i], SIGKILL);
	for (int i = 0; i < w.controls; i++)
		waitpid(control_pids[i], NULL, 0);
	for (int i = 0; i < w.proxies; i++)
		waitpid(proxy_pids[i], NULL, 0);
}

void w_start_all(void)
{
	w_log("all proxies and control instances start again");
	for (int i = 0; i < w.controls; i++)
		w_start_control(i, false);
	for (int i = 0; i < w.proxies; i++)
		w_start_proxy(i);
}

static void on_alarm(int sig)
{
	(void)sig;
	w_end(2);
}

static void start_members(void)
{
	for (int i = 0; i < W_MEMBERS; i++)
		w_members[i].log = calloc(LOG_MAX, sizeof(struct w_entry));
	for (int i = 0; i < w.members; i++) {
		struct w_member *m = &w_members[i];

		snprintf(m->id, sizeof(m->id), "i-%d", i);
		snprintf(m->zone, sizeof(m->zone), "%s", zones[i % 3]);
		snprintf(m->addr, sizeof(m->addr), "127.%d.3.%d:%d", net_a,
			 i + 1, api_port);
		m->term = 1;
		m->leads = i == 0;
		member_listen(m);
		w_lock();
		member_up(m);
		w_unlock();
		spawn(member_beats, m);
	}
	spawn(replicate, NULL);
}

void w_start(const char *path)
{
	struct w_session s;
	char code[64];
	char id[64];
	int fd;

	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_alarm);
	alarm(115);
	started_ms = clock_ms(CLOCK_MONOTONIC);
	record = fopen(path, "w");
	if (!record)
		cannot_run("record");
	snprintf(folder, sizeof(folder), "/tmp/review-2-XXXXXX");
	if (!mkdtemp(folder))
		cannot_run("folder");
	net_a = 20 + (int)(getpid() % 200);
	api_port = free_port();
	link_port = free_port();
	metrics_port = free_port();
	front_port = free_port();
	ready_port = free_port();
	snprintf(provider_addr, sizeof(provider_addr), "127.%d.4.1:%d", net_a,
		 api_port);
	fd = listen_on(provider_addr);
	if (fd < 0)
		cannot_run("provider's address");
	spawn(provider, (void *)(intptr_t)fd);
	for (int i = 0; i < w.controls; i++)
		w_start_control(i, true);
	for (int i = 0; i < w.proxies; i++)
		w_start_proxy(i);
	start_members();
	if (!w_publish(1, 10000))
		cannot_run("the first manifest is not accepted");
	for (int i = 0; i < w.proxies; i++) {
		int64_t end = w_now() + 10000;
		bool ok = false;

		while (!ok && w_now() < end) {
			ok = w_open(&s, i, "orders") &&
			     w_query(&s, "WRITE probe x", id, code, NULL,
				     2000) == 'C';
			w_close(&s);
			if (!ok)
				sleep_ms(100);
		}
		if (!ok)
			cannot_run("a proxy does not serve");
	}
	w_log("all proxies serve");
}

/* --- consumers --- */

static bool read_line(struct w_session *s, char *line, size_t size, int64_t end)
{
	for (;;) {
		char *at = strstr(s->in, "\r\n");
		struct pollfd p = {.fd = s->fd, .events = POLLIN};
		int64_t left = end - w_now();
		ssize_t n;

		if (at) {
			snprintf(line, size, "%.*s", (int)(at - s->in), s->in);
			s->len -= (size_t)(at + 2 - s->in);
			memmove(s->in, at + 2, s->len + 1);
			return true;
		}
		if (left <= 0 || poll(&p, 1, (int)left) <= 0)
			return false;
		n = recv(s->fd, s->in + s->len, sizeof(s->in) - s->len - 1, 0);
		if (n <= 0)
			return false;
		s->len += (size_t)n;
		s->in[s->len] = '\0';
	}
}

bool w_open(struct w_session *s, int proxy, const char *database)
{
	char addr[64];
	char line[512];

	s->len = 0;
	s->in[0] = '\0';
	snprintf(addr, sizeof(addr), "127.%d.2.%d:%d", net_a, proxy + 1,
		 front_port);
	s->fd = connect_to(addr, 1000);
	if (s->fd < 0)
		return false;
	say(s->fd, "STARTUP %s u1", database);
	return read_line(s, line, sizeof(line), w_now() + 2000) &&
	       !strncmp(line, "READY", 5);
}

char w_query(struct w_session *s, const char *text, char *id, char *code,
	     char *row, int ms)
{
	static int64_t last;
	int64_t end = w_now() + ms;
	char line[512];
	char result = 'X';

	w_lock();
	sprintf(id, "%x%06llx", (unsigned)getpid(), (long long)++last);
	w_unlock();
	code[0] = '\0';
	w_log("consumer sends %s %s", id, text);
	if (s->fd < 0)
		return 'X';
	say(s->fd, "QUERY %s %s", id, text);
	while (read_line(s, line, sizeof(line), end)) {
		if (!strncmp(line, "READY", 5)) {
			w_log("consumer has %s: %c %s %s", id, result, code,
			      line);
			return result;
		}
		if (!strncmp(line, "DATAROW ", 8) && row)
			snprintf(row, W_TEXT, "%.90s", line + 8);
		if (!strncmp(line, "COMPLETE", 8))
			result = 'C';
		if (!strncmp(line, "ERROR ", 6)) {
			result = 'E';
			sscanf(line + 6, "%63s", code);
		}
	}
	w_log("consumer has %s: connection ended or no answer", id);
	return 'X';
}

void w_close(struct w_session *s)
{
	if (s->fd >= 0)
		close(s->fd);
	s->fd = -1;
}
