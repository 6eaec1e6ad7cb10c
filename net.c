#include "net.h"

#include <arpa/inet.h>
#include <errno.h>
#include <ev.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "log.h"

enum {
	NET_READ_CHUNK = 16 << 10, /* bytes read at a time */
	NET_READ_MAX = 1 << 20, /* bytes read before on_read is called */
	NET_BACKLOG = 1024, /* connections that wait to be accepted */
	NET_ACCEPT_BATCH = 64 /* connections accepted per event */
};

struct net_listener {
	struct ev_loop *loop;
	ev_io io;
	void (*on_accept)(void *arg, int fd);
	void *arg;
};

struct net_conn {
	struct ev_loop *loop;
	struct net_handler h;
	ev_io io;
	ev_prepare flush_watcher;
	struct buf in;
	struct buf out;
	bool connecting;
	bool paused;
	bool close_when_flushed;
	bool closed; /* the socket is closed */
	bool freed; /* memory is released when callback_depth is 0 */
	int callback_depth; /* event handlers running on this connection */
};

static enum res net_parse_addr(const char *addr, struct sockaddr_in *sa,
			       struct err *e)
{
	char ip[INET_ADDRSTRLEN];
	const char *colon = strrchr(addr, ':');
	long port = colon ? strtol(colon + 1, NULL, 10) : -1;
	size_t len = colon ? (size_t)(colon - addr) : 0;

	memset(sa, 0, sizeof(*sa));
	sa->sin_family = AF_INET;
	if (!colon || port < 0 || port > 65535 || len >= sizeof(ip))
		return err_set(e, RES_BAD_LIST,
			       "address \"%s\": expected ip:port", addr);
	memcpy(ip, addr, len);
	ip[len] = '\0';
	sa->sin_port = htons((uint16_t)port);
	if (inet_pton(AF_INET, ip, &sa->sin_addr) != 1)
		return err_set(e, RES_BAD_LIST,
			       "address \"%s\": expected an IPv4 address",
			       addr);
	return RES_OK;
}

static int net_socket(void)
{
	return socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
}

static void net_on_acceptable(struct ev_loop *loop, ev_io *io, int events)
{
	struct net_listener *l = io->data;

	(void)loop;
	(void)events;
	for (int i = 0; i < NET_ACCEPT_BATCH; i++) {
		int fd = accept4(io->fd, NULL, NULL,
				 SOCK_NONBLOCK | SOCK_CLOEXEC);

		if (fd < 0) {
			if (errno != EAGAIN && errno != ECONNABORTED)
				log_warn("net", "accept failed error=\"%s\"",
					 strerror(errno));
			return;
		}
		l->on_accept(l->arg, fd);
	}
}

enum res net_listen(struct net_listener **out, struct ev_loop *loop,
		    const char *addr, void (*on_accept)(void *arg, int fd),
		    void *arg, struct err *e)
{
	struct net_listener *l;
	struct sockaddr_in sa;
	int one = 1;
	int fd;
	enum res r = net_parse_addr(addr, &sa, e);

	if (r)
		return r;
	fd = net_socket();
	if (fd < 0)
		return err_errno(e, RES_IO, "socket");
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    listen(fd, NET_BACKLOG)) {
		err_errno(e, RES_IO, addr);
		close(fd);
		return RES_IO;
	}
	l = calloc(1, sizeof(*l));
	if (!l)
		abort();
	l->loop = loop;
	l->on_accept = on_accept;
	l->arg = arg;
	ev_io_init(&l->io, net_on_acceptable, fd, EV_READ);
	l->io.data = l;
	ev_io_start(loop, &l->io);
	*out = l;
	return RES_OK;
}

void net_listener_free(struct net_listener *l)
{
	if (!l)
		return;
	ev_io_stop(l->loop, &l->io);
	close(l->io.fd);
	free(l);
}

/* Sets which events the loop watches for. */
static void net_update_events(struct net_conn *c)
{
	int events = 0;

	if (c->closed)
		return;
	if (!c->paused && !c->connecting)
		events |= EV_READ;
	/* A connection with close_when_flushed and no output left is closed
	 * when the socket is reported writable. */
	if (c->connecting || c->close_when_flushed || buf_len(&c->out))
		events |= EV_WRITE;
	if (events == c->io.events && ev_is_active(&c->io))
		return;
	ev_io_stop(c->loop, &c->io);
	ev_io_set(&c->io, c->io.fd, events);
	if (events)
		ev_io_start(c->loop, &c->io);
}

static void net_release(struct net_conn *c)
{
	buf_free(&c->in);
	buf_free(&c->out);
	free(c);
}

static void net_close_socket(struct net_conn *c)
{
	if (c->closed)
		return;
	c->closed = true;
	ev_io_stop(c->loop, &c->io);
	ev_prepare_stop(c->loop, &c->flush_watcher);
	close(c->io.fd);
}

static void net_close_and_report(struct net_conn *c)
{
	if (c->closed)
		return;
	net_close_socket(c);
	c->h.on_close(c->h.arg);
}

static void net_write_output(struct net_conn *c)
{
	bool had_output = buf_len(&c->out) > 0;

	while (buf_len(&c->out)) {
		ssize_t n = send(c->io.fd, buf_data(&c->out), buf_len(&c->out),
				 MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && errno == EAGAIN)
			break;
		if (n < 0) {
			net_close_and_report(c);
			return;
		}
		buf_consume(&c->out, (size_t)n);
	}
	if (buf_len(&c->out) == 0) {
		if (c->close_when_flushed) {
			net_close_and_report(c);
			return;
		}
		if (had_output && c->h.on_drain)
			c->h.on_drain(c->h.arg);
	}
	if (!c->freed)
		net_update_events(c);
}

static void net_read_input(struct net_conn *c)
{
	size_t before = buf_len(&c->in);
	bool at_end = false;

	while (buf_len(&c->in) - before < NET_READ_MAX) {
		char *to = buf_reserve(&c->in, NET_READ_CHUNK);
		ssize_t n = recv(c->io.fd, to, NET_READ_CHUNK, 0);

		if (n < 0 && errno == EINTR)
			continue;
		if (n > 0) {
			buf_commit(&c->in, (size_t)n);
			if (n < NET_READ_CHUNK)
				break;
			continue;
		}
		at_end = n == 0 || errno != EAGAIN;
		break;
	}
	if (buf_len(&c->in) > before)
		c->h.on_read(c->h.arg);
	if (!c->freed && !c->closed && buf_len(&c->in) == 0)
		buf_free(&c->in);
	if (at_end && !c->freed)
		net_close_and_report(c);
}

static void net_on_connected(struct net_conn *c)
{
	int error = 0;
	socklen_t len = sizeof(error);

	getsockopt(c->io.fd, SOL_SOCKET, SO_ERROR, &error, &len);
	if (error) {
		net_close_and_report(c);
		return;
	}
	c->connecting = false;
	net_write_output(c);
}

static void net_on_ready(struct ev_loop *loop, ev_io *io, int events)
{
	struct net_conn *c = io->data;

	(void)loop;
	c->callback_depth++;
	if (c->connecting)
		net_on_connected(c);
	else if (events & EV_READ)
		net_read_input(c);
	if (!c->freed && !c->closed && !c->connecting && (events & EV_WRITE))
		net_write_output(c);
	c->callback_depth--;
	if (c->freed && !c->callback_depth)
		net_release(c);
}

/*
 * True while a prepare watcher writes output. A prepare watcher that is started
 * then would run only after the loop has blocked, so net_flush() waits for the
 * socket to be writable instead.
 */
static bool net_in_prepare;

/* Writes just before the loop blocks, so that all output of one iteration is
 * sent in one segment. */
static void net_on_prepare(struct ev_loop *loop, ev_prepare *p, int events)
{
	struct net_conn *c = p->data;

	(void)events;
	ev_prepare_stop(loop, p);
	net_in_prepare = true;
	c->callback_depth++;
	if (!c->connecting)
		net_write_output(c);
	c->callback_depth--;
	net_in_prepare = false;
	if (c->freed && !c->callback_depth)
		net_release(c);
}

static struct net_conn *net_conn_new(struct ev_loop *loop, int fd,
				     const struct net_handler *h)
{
	struct net_conn *c = calloc(1, sizeof(*c));
	int one = 1;

	if (!c)
		abort();
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
	c->loop = loop;
	c->h = *h;
	ev_io_init(&c->io, net_on_ready, fd, EV_READ);
	c->io.data = c;
	ev_prepare_init(&c->flush_watcher, net_on_prepare);
	c->flush_watcher.data = c;
	return c;
}

struct net_conn *net_from_accepted(struct ev_loop *loop, int fd,
				   const struct net_handler *h)
{
	struct net_conn *c = net_conn_new(loop, fd, h);

	ev_io_start(loop, &c->io);
	return c;
}

struct net_conn *net_connect(struct ev_loop *loop, const char *addr,
			     const struct net_handler *h, struct err *e)
{
	struct net_conn *c;
	struct sockaddr_in sa;
	int fd;

	if (net_parse_addr(addr, &sa, e))
		return NULL;
	fd = net_socket();
	if (fd < 0) {
		err_errno(e, RES_IO, "socket");
		return NULL;
	}
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) &&
	    errno != EINPROGRESS) {
		err_errno(e, RES_UNREACHABLE, addr);
		close(fd);
		return NULL;
	}
	c = net_conn_new(loop, fd, h);
	c->connecting = true;
	net_update_events(c);
	return c;
}

struct buf *net_input(struct net_conn *c)
{
	return &c->in;
}

struct buf *net_output(struct net_conn *c)
{
	return &c->out;
}

void net_flush(struct net_conn *c)
{
	if (c->closed || c->connecting)
		return;
	if (net_in_prepare)
		net_update_events(c);
	else
		ev_prepare_start(c->loop, &c->flush_watcher);
}

void net_set_high_priority(struct net_conn *c)
{
	bool active = ev_is_active(&c->io);

	ev_io_stop(c->loop, &c->io);
	ev_set_priority(&c->io, EV_MAXPRI);
	if (active)
		ev_io_start(c->loop, &c->io);
}

void net_set_peer_timeout(struct net_conn *c, int limit_ms)
{
	unsigned int limit = (unsigned int)limit_ms;
	int one = 1;
	int seconds = limit_ms / 1000 ? limit_ms / 1000 : 1;
	int probes = 2;

	if (setsockopt(c->io.fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit,
		       sizeof(limit)) ||
	    setsockopt(c->io.fd, SOL_SOCKET, SO_KEEPALIVE, &one, sizeof(one)) ||
	    setsockopt(c->io.fd, IPPROTO_TCP, TCP_KEEPIDLE, &seconds,
		       sizeof(seconds)) ||
	    setsockopt(c->io.fd, IPPROTO_TCP, TCP_KEEPINTVL, &seconds,
		       sizeof(seconds)) ||
	    setsockopt(c->io.fd, IPPROTO_TCP, TCP_KEEPCNT, &probes,
		       sizeof(probes)))
		log_warn("net", "event=no_peer_watch error=\"%s\"",
			 strerror(errno));
}

void net_set_read_paused(struct net_conn *c, bool pause)
{
	c->paused = pause;
	net_update_events(c);
}

void net_close_after_flush(struct net_conn *c)
{
	c->close_when_flushed = true;
	c->paused = true;
	net_update_events(c);
	net_flush(c);
}

void net_free(struct net_conn *c)
{
	if (!c || c->freed)
		return;
	net_close_socket(c);
	c->freed = true;
	if (!c->callback_depth)
		net_release(c);
}
