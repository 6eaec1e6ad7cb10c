#include "http.h"

#include "counter.h"
#include "log.h"

#include <ev.h>
#include <http_parser.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

struct http_conn {
	struct http_server *server;
	struct http_conn *prev;
	struct http_conn *next;
	UT_hash_handle hh; /* in the server's awaiting_response, by number */
	struct net_conn *conn;
	http_parser parser;
	int64_t number; /* of the request that is being handled; 0 if none */
	char path[HTTP_PATH_LEN];
	size_t path_len;
	bool path_too_long;
	struct buf body;
	bool request_complete; /* a whole request was parsed */
	bool keep_alive; /* keep the connection open after the response */
	bool parsing; /* http_on_read() is running */
	clk_ms last_activity;
};

struct http_server {
	struct ev_loop *loop;
	struct net_listener *listener;
	struct http_conn *conns; /* least recently used first */
	int nconns;
	struct http_conn *awaiting_response; /* hash by number */
	ev_timer idle_timer;
	int64_t last_number; /* of a request */
	void (*on_request)(void *arg, const struct http_request *q);
	void *arg;
};

static void http_clear_request(struct http_conn *c)
{
	if (c->number)
		HASH_DEL(c->server->awaiting_response, c);
	c->number = 0;
}

static void http_touch(struct http_conn *c)
{
	c->last_activity = clk_now();
	DL_DELETE(c->server->conns, c);
	DL_APPEND(c->server->conns, c);
}

static void http_drop(struct http_conn *c)
{
	http_clear_request(c);
	DL_DELETE(c->server->conns, c);
	c->server->nconns--;
	net_free(c->conn);
	buf_free(&c->body);
	free(c);
}

static int http_on_begin(http_parser *p)
{
	struct http_conn *c = p->data;

	c->path_len = 0;
	c->path_too_long = false;
	buf_free(&c->body);
	return 0;
}

static int http_on_url(http_parser *p, const char *at, size_t len)
{
	struct http_conn *c = p->data;

	if (c->path_len + len >= sizeof(c->path)) {
		c->path_too_long = true;
		return 0;
	}
	memcpy(c->path + c->path_len, at, len);
	c->path_len += len;
	c->path[c->path_len] = '\0';
	return 0;
}

static int http_on_body(http_parser *p, const char *at, size_t len)
{
	struct http_conn *c = p->data;

	if (buf_len(&c->body) + len > HTTP_MAX_BODY)
		return 1;
	buf_add(&c->body, at, len);
	return 0;
}

static int http_on_complete(http_parser *p)
{
	struct http_conn *c = p->data;

	c->request_complete = true;
	c->keep_alive = http_should_keep_alive(p);
	http_parser_pause(p, 1);
	return 0;
}

static const http_parser_settings http_callbacks = {
	.on_message_begin = http_on_begin,
	.on_url = http_on_url,
	.on_body = http_on_body,
	.on_message_complete = http_on_complete,
};

static const char *http_reason_phrase(int status)
{
	switch (status) {
	case 200:
		return "OK";
	case 307:
		return "Temporary Redirect";
	case 400:
		return "Bad Request";
	case 404:
		return "Not Found";
	case 413:
		return "Payload Too Large";
	default:
		return "Service Unavailable";
	}
}

static void http_write_response(struct http_conn *c,
				const struct http_response *a)
{
	struct buf *out = net_output(c->conn);

	buf_addf(out, "HTTP/1.1 %d %s\r\n", a->status,
		 http_reason_phrase(a->status));
	if (a->content_type)
		buf_addf(out, "Content-Type: %s\r\n", a->content_type);
	if (a->location)
		buf_addf(out, "Location: %s\r\n", a->location);
	buf_addf(out, "Content-Length: %zu\r\n%s\r\n", a->body_len,
		 c->keep_alive ? "" : "Connection: close\r\n");
	if (a->body_len)
		buf_add(out, a->body, a->body_len);
	http_clear_request(c);
	http_touch(c);
	if (c->keep_alive)
		net_flush(c->conn);
	else
		net_close_after_flush(c->conn);
}

static void http_dispatch(struct http_conn *c)
{
	struct http_request q = {.request_number = ++c->server->last_number};

	c->request_complete = false;
	c->number = q.request_number;
	HASH_ADD(hh, c->server->awaiting_response, number, sizeof(c->number),
		 c);
	q.method = http_method_str((enum http_method)c->parser.method);
	memcpy(q.path, c->path, sizeof(q.path));
	q.body = c->body.mem ? buf_data(&c->body) : "";
	q.body_len = buf_len(&c->body);
	if (c->path_too_long) {
		http_write_response(c, &(struct http_response){.status = 404});
		return;
	}
	c->server->on_request(c->server->arg, &q);
}

static bool http_parse(struct http_conn *c)
{
	struct buf *in = net_input(c->conn);
	enum http_errno error;
	size_t n;

	if (c->number || !buf_len(in))
		return true;
	n = http_parser_execute(&c->parser, &http_callbacks, buf_data(in),
				buf_len(in));
	error = HTTP_PARSER_ERRNO(&c->parser);
	buf_consume(in, n);
	if (error != HPE_OK && error != HPE_PAUSED) {
		cnt_add(CNT_bad_input, 1);
		log_warn("http", "event=bad_request error=\"%s\"",
			 http_errno_description(error));
		c->keep_alive = false;
		http_write_response(c, &(struct http_response){.status = 400});
		return false;
	}
	if (error == HPE_PAUSED)
		http_parser_pause(&c->parser, 0);
	return true;
}

/* Handles requests until one has to wait for its response. */
static void http_on_read(void *arg)
{
	struct http_conn *c = arg;

	http_touch(c);
	if (c->parsing)
		return;
	c->parsing = true;
	while (!c->number && buf_len(net_input(c->conn)) && http_parse(c) &&
	       c->request_complete)
		http_dispatch(c);
	c->parsing = false;
}

static void http_on_close(void *arg)
{
	http_drop(arg);
}

/* At HTTP_MAX_CONNS, closes the least recently used idle connection, so that
 * the server does not run out of descriptors. */
static void http_evict_idle(struct http_server *s)
{
	struct http_conn *c = s->conns;

	if (s->nconns < HTTP_MAX_CONNS)
		return;
	while (c && c->number)
		c = c->next;
	if (c) {
		cnt_add(CNT_http_evicted, 1);
		http_drop(c);
	}
}

static void http_on_accept(void *arg, int fd)
{
	struct http_server *s = arg;
	struct http_conn *c = calloc(1, sizeof(*c));
	struct net_handler h = {
		.arg = c, .on_read = http_on_read, .on_close = http_on_close};

	if (!c)
		abort();
	http_evict_idle(s);
	c->server = s;
	c->last_activity = clk_now();
	http_parser_init(&c->parser, HTTP_REQUEST);
	c->parser.data = c;
	DL_APPEND(s->conns, c);
	s->nconns++;
	c->conn = net_from_accepted(s->loop, fd, &h);
}

static void http_on_idle_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct http_server *s = w->data;
	struct http_conn *next;
	clk_ms now = clk_now();

	(void)loop;
	(void)events;
	for (struct http_conn *c = s->conns;
	     c && now - c->last_activity > HTTP_IDLE_TIMEOUT_MS; c = next) {
		next = c->next;
		http_drop(c);
	}
}

enum res http_serve(struct http_server **out, struct ev_loop *loop,
		    const char *addr,
		    void (*on_request)(void *arg, const struct http_request *q),
		    void *arg, struct err *e)
{
	struct http_server *s = calloc(1, sizeof(*s));
	enum res r;

	if (!s)
		abort();
	s->loop = loop;
	s->on_request = on_request;
	s->arg = arg;
	r = net_listen(&s->listener, loop, addr, http_on_accept, s, e);
	if (r) {
		free(s);
		return r;
	}
	ev_timer_init(&s->idle_timer, http_on_idle_timer,
		      HTTP_IDLE_TIMEOUT_MS / 4000.0,
		      HTTP_IDLE_TIMEOUT_MS / 4000.0);
	s->idle_timer.data = s;
	ev_timer_start(loop, &s->idle_timer);
	*out = s;
	return RES_OK;
}

void http_server_free(struct http_server *s)
{
	if (!s)
		return;
	ev_timer_stop(s->loop, &s->idle_timer);
	net_listener_free(s->listener);
	while (s->conns)
		http_drop(s->conns);
	free(s);
}

void http_respond(struct http_server *s, int64_t number,
		  const struct http_response *a)
{
	struct http_conn *c;

	HASH_FIND(hh, s->awaiting_response, &number, sizeof(number), c);
	if (!c)
		return;
	http_write_response(c, a);
	if (c->keep_alive)
		http_on_read(c);
}

struct http_client {
	struct ev_loop *loop;
	struct net_conn *conn;
	http_parser parser;
	ev_timer timer;
	void (*on_done)(void *arg, int status);
	void *arg;
};

void http_client_free(struct http_client *c)
{
	if (!c)
		return;
	ev_timer_stop(c->loop, &c->timer);
	net_free(c->conn);
	free(c);
}

/* Frees the client before on_done is called, so that on_done may start another
 * request. */
static void http_client_end(struct http_client *c, int status)
{
	void (*on_done)(void *arg, int status) = c->on_done;
	void *arg = c->arg;

	http_client_free(c);
	on_done(arg, status);
}

static int http_client_complete(http_parser *p)
{
	*(bool *)p->data = true;
	return 0;
}

static void http_client_read(void *arg)
{
	static const http_parser_settings callbacks = {
		.on_message_complete = http_client_complete};
	struct http_client *c = arg;
	struct buf *in = net_input(c->conn);
	bool complete = false;
	size_t n;

	c->parser.data = &complete;
	n = http_parser_execute(&c->parser, &callbacks, buf_data(in),
				buf_len(in));
	buf_consume(in, n);
	if (complete)
		http_client_end(c, c->parser.status_code);
	else if (HTTP_PARSER_ERRNO(&c->parser) != HPE_OK)
		http_client_end(c, 0);
}

static void http_client_close(void *arg)
{
	http_client_end(arg, 0);
}

static void http_client_timeout(struct ev_loop *loop, ev_timer *w, int events)
{
	(void)loop;
	(void)events;
	http_client_end(w->data, 0);
}

struct http_client *http_client_send(struct ev_loop *loop, const char *addr,
				     const struct buf *request, clk_ms limit_ms,
				     void (*on_done)(void *arg, int status),
				     void *arg)
{
	struct http_client *c = calloc(1, sizeof(*c));
	struct net_handler h = {.arg = c,
				.on_read = http_client_read,
				.on_close = http_client_close};
	struct err e = ERR_INIT;

	if (!c)
		abort();
	c->loop = loop;
	c->on_done = on_done;
	c->arg = arg;
	http_parser_init(&c->parser, HTTP_RESPONSE);
	c->conn = net_connect(loop, addr, &h, &e);
	if (!c->conn) {
		log_warn("http", "event=call_failed addr=%s error=\"%s\"", addr,
			 e.text);
		free(c);
		return NULL;
	}
	buf_add(net_output(c->conn), buf_data(request), buf_len(request));
	ev_timer_init(&c->timer, http_client_timeout, (double)limit_ms / 1000.0,
		      0.0);
	c->timer.data = c;
	ev_timer_start(loop, &c->timer);
	return c;
}
