#ifndef HTTP_H
#define HTTP_H

/*
 * HTTP/1.1 over net.h: a server with persistent connections that handles one
 * request at a time on each, and a client that makes one request per
 * connection. libhttp-parser does the parsing.
 */

#include "clock.h"
#include "error.h"
#include "net.h"

enum {
	HTTP_PATH_LEN = 256, /* bytes of a path, with the final zero */
	HTTP_MAX_BODY = 3 << 20, /* bytes of a body */
	HTTP_IDLE_TIMEOUT_MS =
		120000, /* an idle connection is closed after that */
	HTTP_MAX_CONNS = 2500 /* of a server; a process usually has 4,096
			       * descriptors, and 560 proxies need one each
			       * for their links */
};

struct http_server;
struct http_client;

struct http_request {
	int64_t request_number; /* identifies the request in http_respond() */
	const char *method; /* such as "GET" */
	char path[HTTP_PATH_LEN];
	const char *body; /* valid during on_request only */
	size_t body_len; /* of the body */
};

/*
 * Starts a server. Each call of on_request must be followed by one call of
 * http_respond(), from inside on_request or later.
 */
enum res http_serve(struct http_server **out, struct ev_loop *loop,
		    const char *addr,
		    void (*on_request)(void *arg, const struct http_request *q),
		    void *arg, struct err *e);
void http_server_free(struct http_server *s);

struct http_response {
	int status;
	const char *content_type; /* Content-Type of the body; NULL if it is
				     empty */
	const char *location; /* target of a redirect, or NULL */
	const char *body;
	size_t body_len; /* of the body */
};

/* Sends a response; does nothing if the connection has been closed. */
void http_respond(struct http_server *s, int64_t number,
		  const struct http_response *a);

/*
 * Sends a request, whose complete text the caller provides, and calls on_done
 * once with the status of the response. The status is 0 if the connection
 * failed, the response was malformed or none came within limit_ms. The client
 * is freed before on_done is called. Returns NULL, without a call of on_done,
 * if the request could not be started.
 */
struct http_client *http_client_send(struct ev_loop *loop, const char *addr,
				     const struct buf *request, clk_ms limit_ms,
				     void (*on_done)(void *arg, int status),
				     void *arg);
/* Cancels the request; on_done is not called. */
void http_client_free(struct http_client *c);

#endif
