/*
 * Measurements for t/bench.sh.
 *
 *   measure rtt IP              prints the median round-trip time, in
 *                               microseconds, of 64 bytes over loopback TCP
 *                               between two threads
 *   measure idle IP:PORT N USER DATABASE PASSWORD
 *                               opens N connections, prints "ready" and keeps
 *                               them open until the end of standard input
 */

#include "clock.h"
#include "hist.h"

#include <arpa/inet.h>
#include <libpq-fe.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

enum { RTT_BYTES = 64, RTT_ROUNDS = 20000, MAX_IDLE_CONNECTIONS = 100000 };

static void fail(const char *what)
{
	perror(what);
	exit(1);
}

static void send_and_receive(int fd, bool first)
{
	char bytes[RTT_BYTES] = {0};

	if (first && send(fd, bytes, sizeof(bytes), 0) != sizeof(bytes))
		fail("send");
	if (recv(fd, bytes, sizeof(bytes), MSG_WAITALL) != sizeof(bytes))
		fail("recv");
	if (!first && send(fd, bytes, sizeof(bytes), 0) != sizeof(bytes))
		fail("send");
}

static void *echo_thread(void *arg)
{
	int fd = *(int *)arg;

	for (int i = 0; i < RTT_ROUNDS; i++)
		send_and_receive(fd, false);
	return NULL;
}

static int measure_rtt(const char *ip)
{
	struct sockaddr_in sa = {.sin_family = AF_INET};
	socklen_t len = sizeof(sa);
	struct hist *h = hist_new();
	int listener = socket(AF_INET, SOCK_STREAM, 0);
	int out = socket(AF_INET, SOCK_STREAM, 0);
	int in;
	int one = 1;
	pthread_t thread;

	if (inet_pton(AF_INET, ip, &sa.sin_addr) != 1 ||
	    bind(listener, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(listener, 1) ||
	    getsockname(listener, (struct sockaddr *)&sa, &len) ||
	    connect(out, (struct sockaddr *)&sa, sizeof(sa)))
		fail(ip);
	in = accept(listener, NULL, NULL);
	setsockopt(in, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	setsockopt(out, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	if (pthread_create(&thread, NULL, echo_thread, &in))
		fail("thread");
	for (int i = 0; i < RTT_ROUNDS; i++) {
		int64_t from = clk_now_us();

		send_and_receive(out, true);
		hist_add(h, clk_now_us() - from);
	}
	pthread_join(thread, NULL);
	printf("%lld\n", (long long)hist_quantile(h, 0.5));
	return 0;
}

static int measure_idle(char **argv)
{
	char *port = strrchr(argv[0], ':');
	int n = atoi(argv[1]);
	struct rlimit files;

	if (!port || n < 1 || n > MAX_IDLE_CONNECTIONS)
		return 129;
	getrlimit(RLIMIT_NOFILE, &files);
	files.rlim_cur = files.rlim_max;
	setrlimit(RLIMIT_NOFILE, &files);
	*port++ = '\0';
	for (int i = 0; i < n; i++) {
		const char *const keys[] = {"hostaddr",	  "port",     "user",
					    "dbname",	  "password", "sslmode",
					    "gssencmode", NULL};
		const char *const values[] = {argv[0],	 port,	  argv[2],
					      argv[3],	 argv[4], "disable",
					      "disable", NULL};
		PGconn *c = PQconnectdbParams(keys, values, 0);

		if (PQstatus(c) != CONNECTION_OK) {
			fprintf(stderr, "%d: %s", i, PQerrorMessage(c));
			return 1;
		}
	}
	printf("ready\n");
	fflush(stdout);
	while (getchar() != EOF)
		;
	return 0;
}

int main(int argc, char **argv)
{
	if (argc == 3 && !strcmp(argv[1], "rtt"))
		return measure_rtt(argv[2]);
	if (argc == 7 && !strcmp(argv[1], "idle"))
		return measure_idle(argv + 2);
	fprintf(stderr, "usage: measure rtt IP\n"
			"       measure idle IP:PORT N USER DATABASE "
			"PASSWORD\n");
	return 129;
}
