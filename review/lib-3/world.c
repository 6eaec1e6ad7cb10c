#include "world.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <ftw.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

bool trouble = true;
struct process controls[3];
struct process proxies[MAX_PROXIES];
int nproxies;
char proxy_addr[MAX_PROXIES][32];
int promoter_down;
bool with_relay;
pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static FILE *record;
static char temp[64];
static char net_prefix[16]; /* "127.A.B." */
static char link_prefix[16]; /* where links listen, behind the relay */
static struct process relay;
static char relay_addr[32];
static char relay_routes[3][80];
static char control_addr[3][32];
static char provider_addr[32];
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static int64_t started_at;
static struct group *main_group;
static int64_t last_fence;
static __thread int last_version; /* in the last body that was read */

static int64_t clock_ms(clockid_t id)
{
	struct timespec t;

	clock_gettime(id, &t);
	return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

int64_t now_ms(void)
{
	return clock_ms(CLOCK_MONOTONIC) - started_at;
}

int64_t wall_ms(void)
{
	return clock_ms(CLOCK_REALTIME);
}

void sleep_ms(int64_t ms)
{
	struct timespec t = {ms / 1000, ms % 1000 * 1000000};

	while (ms > 0 && nanosleep(&t, &t) && errno == EINTR)
		continue;
}

void rec(const char *fmt, ...)
{
	va_list ap;

	if (!record)
		return;
	pthread_mutex_lock(&record_lock);
	fprintf(record, "%8.3f ", (double)now_ms() / 1000);
	va_start(ap, fmt);
	vfprintf(record, fmt, ap);
	va_end(ap);
	fputc('\n', record);
	fflush(record);
	pthread_mutex_unlock(&record_lock);
}

static int remove_one(const char *path, const struct stat *st, int flag,
		      struct FTW *f)
{
	(void)st;
	(void)flag;
	(void)f;
	return remove(path);
}

static void end_all(void)
{
	for (int i = 0; i < 3; i++)
		if (controls[i].pid > 0)
			kill(controls[i].pid, SIGKILL);
	for (int i = 0; i < nproxies; i++)
		if (proxies[i].pid > 0)
			kill(proxies[i].pid, SIGKILL);
	if (relay.pid > 0)
		kill(relay.pid, SIGKILL);
	while (wait(NULL) > 0)
		continue;
	if (temp[0] && !getenv("KEEP"))
		nftw(temp, remove_one, 16, FTW_DEPTH | FTW_PHYS);
}

void finish(int code, const char *fmt, ...)
{
	char text[512];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	rec("verdict %d: %s", code, text);
	printf("%d: %s\n", code, text);
	fflush(stdout);
	end_all();
	_exit(code);
}

static void on_alarm(int sig)
{
	(void)sig;
	end_all();
	_exit(2);
}

/* Network helpers. */

static struct sockaddr_in parse(const char *addr)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	char ip[32];
	const char *colon = strrchr(addr, ':');

	snprintf(ip, sizeof(ip), "%.*s", (int)(colon - addr), addr);
	sa.sin_port = htons((uint16_t)atoi(colon + 1));
	inet_pton(AF_INET, ip, &sa.sin_addr);
	return sa;
}

static int listen_at(const char *addr)
{
	struct sockaddr_in sa = parse(addr);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int one = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) || listen(fd, 256))
		finish(2, "can't listen at %s", addr);
	return fd;
}

static int free_port(void)
{
	struct sockaddr_in sa = {.sin_family = AF_INET,
				 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(sa);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int port;

	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    getsockname(fd, (struct sockaddr *)&sa, &len))
		finish(2, "no free port");
	port = ntohs(sa.sin_port);
	close(fd);
	return port;
}

static int connect_to(const char *addr, int ms)
{
	struct sockaddr_in sa = parse(addr);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	struct pollfd p = {.fd = fd, .events = POLLOUT};
	int error = 0;
	socklen_t len = sizeof(error);
	int one = 1;

	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) &&
	    (errno != EINPROGRESS || poll(&p, 1, ms) <= 0 ||
	     getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &len) || error)) {
		close(fd);
		return -1;
	}
	fcntl(fd, F_SETFL, 0);
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	return fd;
}

static bool put(int fd, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

static bool put(int fd, const char *fmt, ...)
{
	char text[8192];
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	return send(fd, text, (size_t)n, MSG_NOSIGNAL) == n;
}

static ssize_t get(int fd, char *to, size_t size, int64_t ms)
{
	struct pollfd p = {.fd = fd, .events = POLLIN};

	if (ms < 0 || poll(&p, 1, (int)ms) <= 0)
		return -1;
	return recv(fd, to, size, 0);
}

/* The relay. */

static void relay_command(const char *fmt, ...)
	__attribute__((format(printf, 1, 2)));

static void relay_command(const char *fmt, ...)
{
	char text[128];
	char answer[128] = "";
	va_list ap;
	int fd;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	fd = connect_to(relay_addr, 1000);
	if (fd < 0 || !put(fd, "%s\n", text) ||
	    get(fd, answer, sizeof(answer) - 1, 1000) <= 0 ||
	    strncmp(answer, "ok", 2) != 0)
		finish(2, "relay: \"%s\": %s", text, answer);
	close(fd);
}

void cut_control(int i)
{
	rec("control %d is cut off from the others", i);
	relay_command("freeze c%d>c*", i);
	relay_command("freeze c*>c%d", i);
}

void heal_controls(void)
{
	rec("the cut heals");
	relay_command("heal *");
}

void data_folder(int i, char *path, size_t size)
{
	snprintf(path, size, "%s/data%d", temp, i);
}

void end_bootstrap(void)
{
	for (int i = 0; i < 3; i++) {
		char text[4096];
		char *at;
		FILE *f = fopen(controls[i].settings, "r");
		size_t n = f ? fread(text, 1, sizeof(text) - 1, f) : 0;

		if (f)
			fclose(f);
		text[n] = '\0';
		at = strstr(text, "\"bootstrap\":true,");
		if (!at)
			continue;
		memcpy(at + 12, "false", 5);
		memmove(at + 18, at + 17, strlen(at + 17) + 1);
		at[17] = ',';
		/* "true," was 5 characters, "false," is 6 */
		f = fopen(controls[i].settings, "w");
		if (!f)
			finish(2, "can't write settings");
		fputs(text, f);
		fclose(f);
	}
}

/* Processes. */

void start_process(struct process *p)
{
	pid_t parent = getpid();

	p->pid = fork();
	if (p->pid < 0)
		finish(2, "can't start a process");
	if (!p->pid) {
		int fd = open(p->log, O_WRONLY | O_CREAT | O_APPEND, 0600);

		prctl(PR_SET_PDEATHSIG, SIGKILL);
		if (getppid() != parent)
			_exit(127);
		dup2(fd, 1);
		dup2(fd, 2);
		execv(p->argv[0], (char *const *)p->argv);
		_exit(127);
	}
	if (with_relay && p->source[0])
		relay_command("source %s %d", p->source, (int)p->pid);
}

void stop_process(struct process *p, int sig)
{
	kill(p->pid, sig);
	waitpid(p->pid, NULL, 0);
	p->pid = 0;
}

static void prepare_process(struct process *p, const char *program,
			    const char *name, const char *settings)
{
	FILE *f;

	snprintf(p->log, sizeof(p->log), "%s/%s.log", temp, name);
	snprintf(p->settings, sizeof(p->settings), "%s/%s.json", temp, name);
	f = fopen(p->settings, "w");
	if (!f)
		finish(2, "can't write settings");
	fputs(settings, f);
	fclose(f);
	p->argv[0] = program;
	p->argv[1] = "--settings";
	p->argv[2] = p->settings;
	p->argv[3] = NULL;
}

/* HTTP. */

/* Returns the status, 0 without a response. */
static int http_call(const char *addr, const char *method, const char *path,
		     const char *body, char *location)
{
	char in[8192];
	size_t len = 0;
	int64_t end = now_ms() + 1000;
	int fd = connect_to(addr, 1000);
	int status = 0;
	ssize_t n;

	location[0] = '\0';
	if (fd < 0)
		return 0;
	put(fd,
	    "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
	    "Connection: close\r\nContent-Length: %zu\r\n\r\n",
	    method, path, addr, strlen(body));
	for (const char *p = body; *p;) {
		ssize_t sent = send(fd, p, strlen(p), MSG_NOSIGNAL);

		if (sent <= 0)
			break;
		p += sent;
	}
	while (len < sizeof(in) - 1 &&
	       (n = get(fd, in + len, sizeof(in) - 1 - len, end - now_ms())) >
		       0)
		len += (size_t)n;
	close(fd);
	in[len] = '\0';
	if (sscanf(in, "HTTP/1.1 %d", &status) != 1 || !strstr(in, "\r\n\r\n"))
		return 0;
	if (status == 200 && strstr(in, "{\"version\":"))
		last_version = atoi(strstr(in, "{\"version\":") + 11);
	if (strstr(in, "Location: http://"))
		sscanf(strstr(in, "Location: http://") + 17, "%63[^/\r]",
		       location);
	return status;
}

int control_call(const char *method, const char *path, const char *body)
{
	static unsigned pick;
	char addr[64];
	char next[64];
	int status = 0;

	for (int tries = 0; tries < 3; tries++) {
		snprintf(addr, sizeof(addr), "%s",
			 control_addr[__sync_fetch_and_add(&pick, 1) % 3]);
		for (int hops = 0; hops < 3; hops++) {
			status = http_call(addr, method, path, body, next);
			if (status != 307 || !next[0])
				break;
			memcpy(addr, next, sizeof(addr));
		}
		if (status && status != 307 && status < 500 && status != 408 &&
		    status != 429)
			return status;
		sleep_ms(20);
	}
	return status;
}

int control_call_at(int i, const char *method, const char *path,
		    const char *body)
{
	char next[64];

	return http_call(control_addr[i], method, path, body, next);
}

int leading_control(void)
{
	for (int i = 0; i < 3; i++)
		if (control_call_at(i, "GET", "/marjoramlatch/config", "") ==
		    200)
			return i;
	return -1;
}

int read_manifest(void)
{
	for (int i = 0; i < 3; i++)
		if (control_call_at(i, "GET", "/marjoramlatch/config", "") ==
		    200)
			return last_version;
	return 0;
}

/* Provider. */

static void *provider_conn(void *arg)
{
	int fd = (int)(intptr_t)arg;
	char in[4096];
	size_t len = 0;
	char id[64] = "";
	int64_t token = 0;
	int status = 409;
	const char *p;
	ssize_t n;

	while (len < sizeof(in) - 1 &&
	       (n = get(fd, in + len, sizeof(in) - 1 - len, 1000)) > 0) {
		len += (size_t)n;
		in[len] = '\0';
		p = strstr(in, "\r\n\r\n");
		if (p && strchr(p, '}'))
			break;
	}
	in[len] = '\0';
	p = strstr(in, "X-Fence-Token: ");
	if (p)
		token = atoll(p + 15);
	p = strstr(in, "\"id\"");
	if (p)
		sscanf(p + 4, " : \"%63[^\"]", id);
	if (promoter_down) {
		sleep_ms(2000);
		close(fd);
		return NULL;
	}
	pthread_mutex_lock(&lock);
	for (int i = 0; i < main_group->nmembers; i++) {
		struct member *m = main_group->members[i];

		if (strcmp(m->id, id) != 0 || !m->running ||
		    token < last_fence)
			continue;
		last_fence = token;
		status = 200;
	}
	pthread_mutex_unlock(&lock);
	rec("provider: failover to %s token %lld -> %d", id, (long long)token,
	    status);
	put(fd, "HTTP/1.1 %d X\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
	    status);
	close(fd);
	if (status != 200)
		return NULL;
	sleep_ms(PROMOTE_MS);
	pthread_mutex_lock(&lock);
	for (int i = 0; i < main_group->nmembers; i++) {
		struct member *m = main_group->members[i];

		if (strcmp(m->id, id) != 0 || main_group->primary == i ||
		    !m->running)
			continue;
		if (main_group->primary >= 0)
			main_group->members[main_group->primary]->beat_now =
				true;
		main_group->primary = i;
		main_group->term++;
		m->beat_now = true;
		rec("provider: %s leads term %lld", id,
		    (long long)main_group->term);
	}
	pthread_mutex_unlock(&lock);
	return NULL;
}

static void spawn(void *(*fn)(void *), void *arg)
{
	pthread_attr_t a;
	pthread_t t;

	pthread_attr_init(&a);
	pthread_attr_setdetachstate(&a, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&a, 1 << 18);
	if (pthread_create(&t, &a, fn, arg))
		finish(2, "can't start a thread");
}

static void *provider(void *arg)
{
	int listener = (int)(intptr_t)arg;
	int fd;

	while ((fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC)) >= 0)
		spawn(provider_conn, (void *)(intptr_t)fd);
	return NULL;
}

/* Members. */

void group_init(struct group *g, const char *service, int64_t term)
{
	memset(g, 0, sizeof(*g));
	g->service = service;
	g->term = term;
	g->primary = -1;
}

static bool leads(const struct member *m)
{
	return m->group->primary == m->index;
}

/* How many commits the member holds (received) or has applied. */
static int held(const struct member *m, bool applied)
{
	const struct group *g = m->group;
	int n = g->ncommits;

	while (applied && !leads(m) && n > 0 &&
	       now_ms() - g->commits[n - 1].at < LAG_MS)
		n--;
	return n;
}

struct member_conn {
	struct member *m;
	int fd;
	char txn;
	bool read_only;
	int64_t term; /* in which the transaction began */
	struct commit writes[16];
	int nwrites;
	struct {
		char name[64];
		bool writes;
	} prepared[256];
	int nprepared;
	bool dead;
};

static void ready(struct member_conn *c)
{
	if (!put(c->fd, "READY %c %lld.%d\r\n", c->txn,
		 (long long)c->m->group->term, held(c->m, true)))
		c->dead = true;
}

static void error(struct member_conn *c, const char *code)
{
	put(c->fd, "ERROR %s %s\r\n", code, c->m->id);
	if (c->txn == 'T')
		c->txn = 'E';
}

static void receipt(struct member_conn *c, const char *id)
{
	put(c->fd, "COMPLETE %s.%s\r\n", c->m->id, id);
}

static void log_run(struct member_conn *c, const char *id, const char *text,
		    const char *result)
{
	if (strcmp(id, "-") != 0)
		rec("member %s: %s %s -> %s", c->m->id, id, text, result);
}

static void do_read(struct member_conn *c, const char *id, const char *item)
{
	const struct group *g = c->m->group;
	const char *data = "none";

	if (c->txn == 'T' && !c->read_only &&
	    (!leads(c->m) || c->term != g->term)) {
		error(c, "READONLY");
		log_run(c, id, "READ", "READONLY");
		return;
	}
	for (int i = held(c->m, true) - 1; i >= 0; i--)
		if (!strcmp(g->commits[i].item, item)) {
			data = g->commits[i].data;
			break;
		}
	log_run(c, id, item, data);
	put(c->fd, "DATAROW %s\r\n", data);
	receipt(c, id);
}

static void do_write(struct member_conn *c, const char *id, const char *rest)
{
	struct group *g = c->m->group;
	struct commit w = {.at = now_ms()};

	sscanf(rest, "%63s %63s", w.item, w.data);
	if (!leads(c->m) || (c->txn == 'T' && c->term != g->term) ||
	    (c->txn == 'T' && c->nwrites == 16) || g->ncommits == MAX_COMMITS) {
		error(c, "READONLY");
		log_run(c, id, rest, "READONLY");
		return;
	}
	if (c->txn == 'T')
		c->writes[c->nwrites++] = w;
	else
		g->commits[g->ncommits++] = w;
	log_run(c, id, rest, "written");
	receipt(c, id);
}

static void do_commit(struct member_conn *c, const char *id)
{
	struct group *g = c->m->group;

	if (c->txn != 'T' ||
	    (c->nwrites && (!leads(c->m) || c->term != g->term))) {
		put(c->fd, "ERROR READONLY %s\r\n", c->m->id);
		log_run(c, id, "COMMIT", "READONLY");
	} else {
		for (int i = 0; i < c->nwrites; i++) {
			c->writes[i].at = now_ms();
			g->commits[g->ncommits++] = c->writes[i];
		}
		log_run(c, id, "COMMIT", "committed");
		receipt(c, id);
	}
	c->txn = 'I';
	c->nwrites = 0;
}

static void do_status(struct member_conn *c)
{
	const struct group *g = c->m->group;

	put(c->fd, "DATAROW %s %lld %lld.%d %lld 0 0 1\r\n",
	    leads(c->m) ? "primary" : "replica", (long long)g->term,
	    (long long)g->term, held(c->m, false), (long long)g->term);
	put(c->fd, "COMPLETE -\r\n");
}

static void do_execute(struct member_conn *c, const char *id, char *rest)
{
	char *args = strchr(rest, ' ');

	if (args)
		*args++ = '\0';
	for (int i = 0; i < c->nprepared; i++)
		if (!strcmp(c->prepared[i].name, rest)) {
			if (c->prepared[i].writes)
				do_write(c, id, args ? args : "");
			else
				do_read(c, id, args ? args : "");
			return;
		}
	error(c, "NOSTMT");
}

static void do_prepare(struct member_conn *c, const char *rest)
{
	char name[64] = "";
	char mode[16] = "";

	sscanf(rest, "%63s %15s", name, mode);
	if (c->nprepared < 256) {
		memcpy(c->prepared[c->nprepared].name, name, sizeof(name));
		c->prepared[c->nprepared++].writes = !strcmp(mode, "WRITE");
	}
	put(c->fd, "COMPLETE -\r\n");
}

static void run(struct member_conn *c, const char *id, char *text)
{
	struct group *g = c->m->group;
	char *rest = strchr(text, ' ');

	if (rest)
		*rest++ = '\0';
	if (c->txn == 'E' && strcmp(text, "ROLLBACK") != 0 &&
	    strcmp(text, "COMMIT") != 0) {
		put(c->fd, "ERROR MALFORMED %s\r\n", c->m->id);
	} else if (!strcmp(text, "WAITPOS") && rest) {
		long long term = atoll(rest);
		int number = strchr(rest, '.') ? atoi(strchr(rest, '.') + 1) : 0;
		char *stmt = strchr(rest, ' ');

		if (term > g->term || (term == g->term &&
				       number > held(c->m, true)))
			error(c, "LAGGING");
		else if (stmt)
			run(c, id, stmt + 1);
	} else if (!strcmp(text, "BEGIN")) {
		c->read_only = rest && !strcmp(rest, "READ");
		c->term = g->term;
		if (!c->read_only && !leads(c->m)) {
			error(c, "READONLY");
		} else {
			c->txn = 'T';
			c->nwrites = 0;
			put(c->fd, "COMPLETE -\r\n");
		}
	} else if (!strcmp(text, "COMMIT")) {
		do_commit(c, id);
	} else if (!strcmp(text, "ROLLBACK")) {
		c->txn = 'I';
		c->nwrites = 0;
		put(c->fd, "COMPLETE -\r\n");
	} else if (!strcmp(text, "READ") && rest) {
		do_read(c, id, rest);
	} else if (!strcmp(text, "WRITE") && rest) {
		do_write(c, id, rest);
	} else if (!strcmp(text, "EXECUTE") && rest) {
		do_execute(c, id, rest);
	} else if (!strcmp(text, "PREPARE") && rest) {
		do_prepare(c, rest);
	} else if (!strcmp(text, "STATUS")) {
		do_status(c);
	} else if (!strcmp(text, "STEPDOWN") && rest) {
		if (leads(c->m) && atoll(rest) > g->term) {
			g->primary = -1;
			c->m->beat_now = true;
			rec("member %s: steps down", c->m->id);
		}
		do_status(c);
	} else if (!strcmp(text, "PAUSE") || !strcmp(text, "RESUME")) {
		do_status(c);
	} else {
		if (!strcmp(text, "RESET"))
			c->nprepared = 0;
		put(c->fd, "COMPLETE -\r\n");
	}
}

static bool start_session(struct member_conn *c, const char *rest)
{
	char service[64] = "";
	char who[64] = "";
	char id[64] = "";

	sscanf(rest, "%63s %63s %63s", service, who, id);
	if (strcmp(service, c->m->group->service) != 0 ||
	    (id[0] && strcmp(id, c->m->id) != 0)) {
		put(c->fd, "ERROR WRONGNODE %s\r\n", c->m->id);
		return false;
	}
	ready(c);
	return true;
}

static bool handle_line(struct member_conn *c, char *line)
{
	char id[64] = "";
	char *text;
	bool slot;

	if (!strncmp(line, "STARTUP ", 8))
		return start_session(c, line + 8);
	if (strncmp(line, "QUERY ", 6) != 0)
		return false;
	text = strchr(line + 6, ' ');
	if (!text)
		return false;
	snprintf(id, sizeof(id), "%.*s", (int)(text - line - 6), line + 6);
	text++;
	slot = strstr(text, "READ ") || strstr(text, "WRITE ") ||
	       strstr(text, "EXECUTE") || strstr(text, "COMMIT");
	if (slot)
		sleep_ms(WORK_MS);
	pthread_mutex_lock(&lock);
	if (c->m->running) {
		run(c, id, text);
		ready(c);
	}
	pthread_mutex_unlock(&lock);
	return c->m->running && !c->dead;
}

static void *member_conn(void *arg)
{
	struct member_conn *c = arg;
	static __thread char in[1 << 15];
	size_t len = 0;
	bool open = true;
	ssize_t n;
	int slot = -1;

	pthread_mutex_lock(&lock);
	for (int i = 0; i < 64 && slot < 0; i++)
		if (!c->m->fds[i]) {
			c->m->fds[i] = c->fd;
			slot = i;
		}
	pthread_mutex_unlock(&lock);
	while (open && (n = recv(c->fd, in + len, sizeof(in) - len, 0)) > 0) {
		char *end;

		len += (size_t)n;
		while (open && (end = memmem(in, len, "\r\n", 2))) {
			size_t used = (size_t)(end - in) + 2;

			*end = '\0';
			open = handle_line(c, in);
			len -= used;
			memmove(in, in + used, len);
		}
		open &= len < sizeof(in);
	}
	pthread_mutex_lock(&lock);
	if (slot >= 0)
		c->m->fds[slot] = 0;
	close(c->fd);
	pthread_mutex_unlock(&lock);
	free(c);
	return NULL;
}

static void *member_accept(void *arg)
{
	struct member *m = arg;
	int fd;

	while ((fd = accept4(m->listener, NULL, NULL, SOCK_CLOEXEC)) >= 0) {
		struct member_conn *c = calloc(1, sizeof(*c));
		int one = 1;

		if (!m->running) {
			close(fd);
			free(c);
			continue;
		}
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
		c->m = m;
		c->fd = fd;
		c->txn = 'I';
		spawn(member_conn, c);
	}
	return NULL;
}

static void beat(struct member *m)
{
	char path[96];
	char body[512];
	char version[32] = "\"version\":\"v1\",";
	bool draining;
	int status;

	pthread_mutex_lock(&lock);
	m->beat_now = false;
	draining = m->draining;
	if (m->omit_version)
		version[0] = '\0';
	snprintf(path, sizeof(path), "/marjoramlatch/instances/%s", m->id);
	snprintf(body, sizeof(body),
		 "{\"service\":\"%s\",\"addr\":\"%s\",\"zone\":\"%s\",%s"
		 "\"slots\":5,\"state\":\"%s\",\"cold_left_ms\":0,"
		 "\"db_role\":\"%s\",\"seq\":%lld,\"born\":%lld}",
		 m->group->service, m->addr, m->zone, version,
		 draining ? "draining" : "ready",
		 leads(m) ? "primary" : "replica", (long long)++m->seq,
		 (long long)m->born);
	pthread_mutex_unlock(&lock);
	status = control_call("PUT", path, body);
	rec("check-in %s -> %d", body, status);
	if (draining && status / 100 == 2 && !m->draining_acked) {
		m->draining_acked = now_ms();
		rec("member %s: draining is acknowledged", m->id);
	}
}

static void *member_beats(void *arg)
{
	struct member *m = arg;

	for (;;) {
		int64_t next = now_ms() + HEARTBEAT_MS;

		if (m->beats && m->running)
			beat(m);
		while (now_ms() < next && !m->beat_now)
			sleep_ms(10);
	}
	return NULL;
}

struct member *member_start(struct group *g, const char *id, const char *zone,
			    bool is_primary)
{
	struct member *m = calloc(1, sizeof(*m));

	m->group = g;
	m->index = g->nmembers;
	snprintf(m->id, sizeof(m->id), "%s", id);
	m->port = free_port();
	m->zone = zone;
	snprintf(m->addr, sizeof(m->addr), "127.0.0.1:%d", m->port);
	m->running = true;
	m->beats = true;
	m->born = wall_ms();
	m->listener = listen_at(m->addr);
	pthread_mutex_lock(&lock);
	g->members[g->nmembers++] = m;
	if (is_primary)
		g->primary = m->index;
	pthread_mutex_unlock(&lock);
	spawn(member_accept, m);
	spawn(member_beats, m);
	return m;
}

void member_crash(struct member *m)
{
	pthread_mutex_lock(&lock);
	m->running = false;
	if (leads(m))
		m->group->primary = -1;
	for (int i = 0; i < 64; i++)
		if (m->fds[i])
			shutdown(m->fds[i], SHUT_RDWR);
	shutdown(m->listener, SHUT_RDWR);
	close(m->listener);
	pthread_mutex_unlock(&lock);
	rec("member %s: has ended", m->id);
}

/* Consumers. */

void session_close(struct session *s)
{
	if (s->fd > 0)
		close(s->fd);
	s->fd = 0;
	s->len = 0;
}

static bool session_line(struct session *s, int64_t end, char *line)
{
	for (;;) {
		char *at = memmem(s->in, s->len, "\r\n", 2);
		ssize_t n;

		if (at) {
			size_t used = (size_t)(at - s->in) + 2;

			snprintf(line, 512, "%.*s", (int)(at - s->in), s->in);
			s->len -= used;
			memmove(s->in, s->in + used, s->len);
			return true;
		}
		n = get(s->fd, s->in + s->len, sizeof(s->in) - s->len,
			end - now_ms());
		if (n <= 0)
			return false;
		s->len += (size_t)n;
	}
}

bool session_open(struct session *s, int proxy, const char *database)
{
	char line[512];

	s->proxy = proxy;
	s->len = 0;
	s->fd = connect_to(proxy_addr[proxy], 1000);
	if (s->fd < 0) {
		s->fd = 0;
		return false;
	}
	put(s->fd, "STARTUP %s consumer\r\n", database);
	if (session_line(s, now_ms() + 2000, line) &&
	    !strncmp(line, "READY", 5))
		return true;
	session_close(s);
	return false;
}

const char *session_query(struct session *s, const char *text, int ms,
			  char *row, char *rcpt)
{
	static __thread char outcome[64];
	int64_t end = now_ms() + ms;
	uint64_t id;
	char line[512];

	if (getrandom(&id, sizeof(id), 0) != sizeof(id))
		finish(2, "no random numbers");
	snprintf(s->last_id, sizeof(s->last_id), "%016llx",
		 (unsigned long long)id);
	snprintf(outcome, sizeof(outcome), "NONE");
	row[0] = rcpt[0] = '\0';
	rec("consumer -> proxy %d: %s %s", s->proxy, s->last_id, text);
	put(s->fd, "QUERY %s %s\r\n", s->last_id, text);
	for (;;) {
		if (!session_line(s, end, line)) {
			snprintf(outcome, sizeof(outcome), "NONE");
			break;
		}
		if (!strncmp(line, "DATAROW ", 8))
			snprintf(row, 128, "%.127s", line + 8);
		if (!strncmp(line, "COMPLETE ", 9)) {
			snprintf(rcpt, 128, "%.127s", line + 9);
			snprintf(outcome, sizeof(outcome), "COMPLETE");
		}
		if (!strncmp(line, "ERROR ", 6))
			sscanf(line + 6, "%63s", outcome);
		if (!strncmp(line, "READY", 5))
			break;
	}
	rec("consumer <- proxy %d: %s %s %s %s", s->proxy, s->last_id, outcome,
	    row, rcpt);
	return outcome;
}

/* The deployment. */

static void write_settings(int internal, int internal2, int control_port)
{
	static const char *const zones[] = {"za", "zb", "zc"};
	char seeds[128];
	char text[2048];

	snprintf(seeds, sizeof(seeds), "[\"%s\",\"%s\",\"%s\"]",
		 control_addr[0], control_addr[1], control_addr[2]);
	for (int i = 0; i < 3; i++) {
		char name[32];

		snprintf(name, sizeof(name), "core-%s-1", zones[i]);
		snprintf(text, sizeof(text),
			 "{\"protocol\":\"line\",\"id\":\"%s%d\",\"name\":\"%s\","
			 "\"zone\":\"%s\",\"link\":\"%s%d:%d\","
			 "\"control_api\":\"%s%d:%d\",\"promoter\":\"%s\","
			 "\"data\":\"%s/data%d\",\"metrics\":\"%s%d:%d\","
			 "\"seeds\":%s,\"bootstrap\":true,"
			 "\"promoter_deposes\":true,\"key_lease_ms\":0,"
			 "\"rate_window_ms\":0,\"rate_excess\":0,"
			 "\"rate_slack\":0,\"key\":\"links-of-one-deployment\","
			 "\"silent_ms\":3600,\"heartbeat_ms\":60,"
			 "\"election_min_ms\":300}\n",
			 net_prefix, i + 1, name, zones[i],
			 with_relay ? link_prefix : net_prefix, i + 1, internal,
			 net_prefix, i + 1, control_port,
			 provider_addr, temp, i, net_prefix, i + 1, internal2,
			 seeds);
		prepare_process(&controls[i],
				"target/release/marjoramlatch-control", name,
				text);
		snprintf(controls[i].source, sizeof(controls[i].source), "c%d",
			 i);
		snprintf(relay_routes[i], sizeof(relay_routes[i]),
			 "c%d@%s%d:%d=%s%d:%d", i, net_prefix, i + 1, internal,
			 link_prefix, i + 1, internal);
	}
	for (int i = 0; i < nproxies; i++) {
		char name[32];

		snprintf(name, sizeof(name), "front-%s-1", zones[i % 3]);
		snprintf(text, sizeof(text),
			 "{\"protocol\":\"line\",\"id\":\"%s\",\"zone\":\"%s\","
			 "\"link\":\"%s%d:%d\",\"listen\":\"%s\","
			 "\"ready\":\"%s%d:%d\",\"metrics\":\"%s%d:%d\","
			 "\"seeds\":%s,\"promoter_deposes\":true,"
			 "\"key_lease_ms\":0,\"rate_window_ms\":0,"
			 "\"rate_excess\":0,\"rate_slack\":0,"
			 "\"key\":\"links-of-one-deployment\","
			 "\"stop_ms\":6000}\n",
			 name, zones[i % 3], net_prefix, 10 + i, internal,
			 proxy_addr[i], net_prefix, 10 + i, control_port,
			 net_prefix, 10 + i, internal2, seeds);
		prepare_process(&proxies[i], "target/release/marjoramlatchd",
				name, text);
	}
}

static void start_relay(void)
{
	int n = 0;

	snprintf(relay_addr, sizeof(relay_addr), "127.0.0.1:%d", free_port());
	snprintf(relay.log, sizeof(relay.log), "%s/relay.log", temp);
	relay.argv[n++] = "target/release/helper/relay";
	relay.argv[n++] = "--control";
	relay.argv[n++] = relay_addr;
	for (int i = 0; i < 3; i++) {
		relay.argv[n++] = "--listen";
		relay.argv[n++] = relay_routes[i];
	}
	relay.argv[n] = NULL;
	start_process(&relay);
	for (int i = 0; i < 100; i++) {
		int fd = connect_to(relay_addr, 100);

		if (fd >= 0) {
			close(fd);
			return;
		}
		sleep_ms(20);
	}
	finish(2, "the relay does not start");
}

static const char manifest[] =
	"{\"version\":7,\"routes\":["
	"{\"name\":\"r-shop\",\"host\":\"shop\",\"path_prefix\":\"/\","
	"\"kind\":\"primary\",\"timeout_ms\":1000,\"slo_ms\":200,"
	"\"priority\":1,\"service\":\"orders\",\"max_attempts\":2},"
	"{\"name\":\"r-browse\",\"host\":\"browse\",\"path_prefix\":\"/\","
	"\"kind\":\"bounded_staleness\",\"timeout_ms\":3000,\"slo_ms\":800,"
	"\"priority\":2,\"service\":\"orders\",\"max_attempts\":2,"
	"\"max_staleness_ms\":1500}],\"services\":[{\"name\":\"orders\","
	"\"health_path\":\"/health\",\"max_conns\":33,\"protocol\":\"h1\","
	"\"tls\":false,\"sync_replicas\":0}],\"limits\":{"
	"\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
	"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
	"\"txn_idle_ms\":3000}}";

static void wait_until_serving(int proxy)
{
	int64_t end = now_ms() + 20000;
	struct session s = {0};
	char row[128];
	char rcpt[128];

	while (now_ms() < end) {
		if (session_open(&s, proxy, "shop") &&
		    !strcmp(session_query(&s, "WRITE start x", 2000, row, rcpt),
			    "COMPLETE")) {
			session_close(&s);
			return;
		}
		session_close(&s);
		sleep_ms(100);
	}
	finish(2, "proxy %d does not serve", proxy);
}

void world_start(const char *record_path, int want_proxies, struct group *g)
{
	unsigned char r[2];
	int internal;
	int internal2;
	int control_port;
	int front_port;
	int status = 0;

	started_at = clock_ms(CLOCK_MONOTONIC);
	trouble = !(getenv("TROUBLE") && !strcmp(getenv("TROUBLE"), "0"));
	signal(SIGPIPE, SIG_IGN);
	signal(SIGALRM, on_alarm);
	alarm(110);
	record = fopen(record_path, "w");
	snprintf(temp, sizeof(temp), "/tmp/review-3-XXXXXX");
	if (!record || !mkdtemp(temp) || getrandom(r, 2, 0) != 2)
		finish(2, "no temporary folder");
	snprintf(net_prefix, sizeof(net_prefix), "127.%d.%d.", 10 + r[0] % 200,
		 r[1]);
	snprintf(link_prefix, sizeof(link_prefix), "127.%d.%d.", 10 + r[0] % 200,
		 (r[1] + 1) % 256);
	internal = free_port();
	internal2 = free_port();
	control_port = free_port();
	front_port = free_port();
	nproxies = want_proxies;
	for (int i = 0; i < 3; i++)
		snprintf(control_addr[i], 32, "%s%d:%d", net_prefix, i + 1,
			 control_port);
	for (int i = 0; i < nproxies; i++)
		snprintf(proxy_addr[i], 32, "%s%d:%d", net_prefix, 10 + i,
			 front_port);
	snprintf(provider_addr, sizeof(provider_addr), "127.0.0.1:%d",
		 free_port());
	rec("trouble=%d", trouble);
	main_group = g;
	group_init(g, "orders", 1);
	spawn(provider, (void *)(intptr_t)listen_at(provider_addr));
	write_settings(internal, internal2, control_port);
	if (with_relay)
		start_relay();
	for (int i = 0; i < 3; i++)
		start_process(&controls[i]);
	for (int i = 0; i < nproxies; i++)
		start_process(&proxies[i]);
	member_start(g, "i-m0", "za", true);
	member_start(g, "i-m1", "zb", false);
	member_start(g, "i-m2", "zc", false);
	for (int i = 0; i < 40 && status != 200; i++) {
		status = control_call("PUT", "/marjoramlatch/config", manifest);
		rec("manifest 7 -> %d", status);
		if (status != 200)
			sleep_ms(250);
	}
	for (int i = 0; i < nproxies; i++)
		wait_until_serving(i);
	rec("all proxies serve");
}
