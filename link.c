#include "link.h"

#include <arpa/inet.h>
#include <ev.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "counter.h"
#include "log.h"
#include "net.h"
#include "settings.h"
#include "traffic.h"
#include "zstream.h"

enum {
	/* Shorter messages hardly shrink. */
	LINK_COMPRESS_MIN_BYTES = 32
};

/* Bit of a frame's length that marks a compressed message. */
#define LINK_COMPRESSED 0x80000000u

enum link_phase {
	LINK_DISCONNECTED,
	LINK_WAIT_HELLO, /* connecting, or waiting for the peer's HELLO */
	LINK_WAIT_PROOF, /* waiting for the peer's PROOF */
	LINK_UP
};

struct link {
	struct ev_loop *loop;
	const struct settings *set;
	struct link_handler h;
	struct link_server *server; /* NULL if this side opened it */
	struct link *next; /* in the server's list */
	struct net_conn *conn; /* NULL while disconnected */
	ev_timer timer;
	enum link_phase phase;
	clk_ms attempt_started;
	clk_ms down_since; /* when it was opened or last went down */
	clk_ms last_received;
	clk_ms last_ping; /* sent */
	char role[MSG_ROLE_LEN]; /* of this side */
	char addr[ADDR_LEN]; /* of the peer; empty if it was accepted */
	int64_t uuid; /* of this side */
	unsigned char nonce[MSG_NONCE_LEN]; /* sent in HELLO */
	struct msg_hello peer; /* its nonce is NULL: the message is freed */
	struct zs_pair *streams; /* NULL unless messages are compressed */
	void *user_data;
	bool freed; /* memory is released when callback_depth is 0 */
	int callback_depth;
};

struct link_server {
	struct ev_loop *loop;
	const struct settings *set;
	struct link_handler h;
	struct net_listener *listener;
	struct link *links;
	char role[MSG_ROLE_LEN];
	int64_t uuid;
};

static void link_connect(struct link *l);

static void link_release(struct link *l)
{
	zs_free(l->streams);
	free(l);
}

static void link_remove_from_server(struct link *l)
{
	struct link **p;

	if (!l->server)
		return;
	for (p = &l->server->links; *p; p = &(*p)->next) {
		if (*p == l) {
			*p = l->next;
			break;
		}
	}
	l->server = NULL;
}

/* Closes the connection. A link that this side opened reconnects later; an
 * accepted one is freed. */
static void link_drop(struct link *l)
{
	bool was_up = l->phase == LINK_UP;

	if (!l->conn)
		return;
	net_free(l->conn);
	l->conn = NULL;
	zs_free(l->streams);
	l->streams = NULL;
	l->phase = LINK_DISCONNECTED;
	if (was_up)
		l->down_since = clk_now();
	l->callback_depth++;
	if (was_up && l->h.on_down)
		l->h.on_down(l->h.arg, l);
	l->callback_depth--;
	if (l->server && !l->freed) {
		link_free(l);
		return;
	}
	if (l->freed && !l->callback_depth)
		link_release(l);
}

static void link_close_with_error(struct link *l, const struct err *e)
{
	cnt_add(CNT_links_refused, 1);
	log_warn("link", "closing link peer=%s addr=%s reason=\"%s\"",
		 l->peer.id, l->addr, e->text);
	link_drop(l);
}

static void link_compute_mac(const struct link *l, const char *nonce,
			     const char *role, const char *id,
			     unsigned char *mac)
{
	crypto_auth_hmacsha256_state st;

	crypto_auth_hmacsha256_init(&st, l->set->key, SETTINGS_KEY_LEN);
	crypto_auth_hmacsha256_update(&st, (const unsigned char *)nonce,
				      MSG_NONCE_LEN);
	crypto_auth_hmacsha256_update(&st, (const unsigned char *)role,
				      strlen(role) + 1);
	crypto_auth_hmacsha256_update(&st, (const unsigned char *)id,
				      strlen(id) + 1);
	crypto_auth_hmacsha256_final(&st, mac);
}

static void link_count_sent(const struct link *l, int type, size_t bytes)
{
	trf_add_sent(type, strcmp(l->peer.zone, l->set->zone) != 0, bytes);
}

static void link_put_compressed(struct link *l, const struct buf *text)
{
	struct buf *out = net_output(l->conn);
	size_t at = buf_len(out);
	uint32_t len = 0;

	buf_add(out, &len, sizeof(len));
	zs_compress(l->streams, buf_data(text), buf_len(text), out);
	len = htonl((uint32_t)(buf_len(out) - at - sizeof(len)) |
		    LINK_COMPRESSED);
	memcpy(buf_data(out) + at, &len, sizeof(len));
}

static void link_put_frame(struct link *l, const struct msg *m)
{
	struct buf text = BUF_INIT;

	if (!l->streams || l->phase != LINK_UP) {
		msg_encode_frame(m, net_output(l->conn));
		return;
	}
	msg_encode(m, &text);
	if (buf_len(&text) >= LINK_COMPRESS_MIN_BYTES)
		link_put_compressed(l, &text);
	else
		msg_encode_frame(m, net_output(l->conn));
	buf_free(&text);
}

static void link_write_msg(struct link *l, const struct msg *m)
{
	size_t before = buf_len(net_output(l->conn));

	link_put_frame(l, m);
	link_count_sent(l, m->type, buf_len(net_output(l->conn)) - before);
	net_flush(l->conn);
}

static void link_send_hello(struct link *l)
{
	struct msg m = {.type = MSG_HELLO,
			.u.hello = {.version = MSG_VERSION,
				    .uuid = l->uuid,
				    .can_decompress = true}};

	randombytes_buf(l->nonce, sizeof(l->nonce));
	snprintf(m.u.hello.role, sizeof(m.u.hello.role), "%s", l->role);
	snprintf(m.u.hello.id, sizeof(m.u.hello.id), "%s", l->set->id);
	snprintf(m.u.hello.zone, sizeof(m.u.hello.zone), "%s", l->set->zone);
	m.u.hello.nonce =
		(struct blob){.data = (char *)l->nonce, .len = MSG_NONCE_LEN};
	link_write_msg(l, &m);
}

static enum res link_handle_hello(struct link *l, const struct msg *m,
				  struct err *e)
{
	unsigned char mac[MSG_MAC_LEN];
	struct msg proof = {.type = MSG_PROOF};

	if (m->type != MSG_HELLO)
		return err_set(e, RES_BAD_MESSAGE, "%s before HELLO",
			       msg_name(m->type));
	if (m->u.hello.version != MSG_VERSION)
		return err_set(e, RES_BAD_MESSAGE,
			       "unsupported protocol version %lld",
			       (long long)m->u.hello.version);
	if (m->u.hello.nonce.len != MSG_NONCE_LEN)
		return err_set(e, RES_BAD_MESSAGE,
			       "nonce has the wrong length");
	l->peer = m->u.hello;
	/* Without this check a peer that has no key could return this side's
	 * HELLO and PROOF and pass (reflection attack). */
	if (!memcmp(m->u.hello.nonce.data, l->nonce, MSG_NONCE_LEN))
		return err_set(e, RES_AUTH, "peer returned this side's nonce");
	link_compute_mac(l, m->u.hello.nonce.data, l->role, l->set->id, mac);
	l->peer.nonce = (struct blob){.data = NULL, .len = 0};
	if (l->peer.can_decompress && strcmp(l->peer.zone, l->set->zone) != 0)
		l->streams = zs_new();
	proof.u.proof.mac =
		(struct blob){.data = (char *)mac, .len = sizeof(mac)};
	link_write_msg(l, &proof);
	l->phase = LINK_WAIT_PROOF;
	return RES_OK;
}

static enum res link_handle_proof(struct link *l, const struct msg *m,
				  struct err *e)
{
	unsigned char mac[MSG_MAC_LEN];

	if (m->type != MSG_PROOF || m->u.proof.mac.len != MSG_MAC_LEN)
		return err_set(e, RES_BAD_MESSAGE, "%s instead of PROOF",
			       msg_name(m->type));
	link_compute_mac(l, (char *)l->nonce, l->peer.role, l->peer.id, mac);
	if (sodium_memcmp(mac, m->u.proof.mac.data, MSG_MAC_LEN))
		return err_set(e, RES_AUTH,
			       "PROOF does not match the shared key");
	l->phase = LINK_UP;
	l->last_ping = l->last_received;
	if (l->h.on_up)
		l->h.on_up(l->h.arg, l);
	return RES_OK;
}

static enum res link_handle_frame(struct link *l, const char *data, size_t len,
				  struct err *e)
{
	struct msg m;
	enum res r;

	if (len == 0) {
		/* A ping; the side that accepted the link returns it. */
		if (l->server && l->phase == LINK_UP) {
			uint32_t zero = 0;

			buf_add(net_output(l->conn), &zero, sizeof(zero));
			link_count_sent(l, 0, sizeof(zero));
			net_flush(l->conn);
		}
		return RES_OK;
	}
	r = msg_decode(&m, data, len, e);
	if (r)
		return r;
	switch (l->phase) {
	case LINK_WAIT_HELLO:
		r = link_handle_hello(l, &m, e);
		break;
	case LINK_WAIT_PROOF:
		r = link_handle_proof(l, &m, e);
		break;
	case LINK_UP:
		l->h.on_message(l->h.arg, l, &m);
		break;
	case LINK_DISCONNECTED:
		break;
	}
	msg_free(&m);
	return r;
}

static enum res link_handle_compressed(struct link *l, const char *data,
				       size_t len, struct err *e)
{
	struct buf text = BUF_INIT;
	enum res r;

	if (!l->streams || l->phase != LINK_UP)
		return err_set(e, RES_BAD_FRAME,
			       "unexpected compressed message");
	r = zs_decompress(l->streams, data, len, MSG_MAX_FRAME, &text, e);
	if (!r)
		r = link_handle_frame(l, buf_data(&text), buf_len(&text), e);
	buf_free(&text);
	return r;
}

/* Handles one frame. Returns false if there is no complete frame, or if the
 * link was closed. */
static bool link_next_frame(struct link *l)
{
	struct buf *in = net_input(l->conn);
	struct net_conn *conn = l->conn;
	struct err e = ERR_INIT;
	bool compressed;
	uint32_t len;
	enum res r;

	if (buf_len(in) < sizeof(len))
		return false;
	memcpy(&len, buf_data(in), sizeof(len));
	len = ntohl(len);
	compressed = len & LINK_COMPRESSED;
	len &= ~LINK_COMPRESSED;
	if (len > MSG_MAX_FRAME) {
		err_set(&e, RES_BAD_FRAME, "frame of %u bytes", len);
		link_close_with_error(l, &e);
		return false;
	}
	if (buf_len(in) < sizeof(len) + len)
		return false;
	if (compressed)
		r = link_handle_compressed(l, buf_data(in) + sizeof(len), len,
					   &e);
	else
		r = link_handle_frame(l, buf_data(in) + sizeof(len), len, &e);
	if (r) {
		if (l->conn == conn)
			link_close_with_error(l, &e);
		return false;
	}
	if (l->freed || l->conn != conn)
		return false;
	buf_consume(in, sizeof(len) + len);
	return true;
}

static void link_on_read(void *arg)
{
	struct link *l = arg;

	l->last_received = clk_now();
	l->callback_depth++;
	while (l->conn && !l->freed && link_next_frame(l))
		;
	l->callback_depth--;
	if (l->freed && !l->callback_depth)
		link_release(l);
}

static void link_on_close(void *arg)
{
	link_drop(arg);
}

static clk_ms link_connect_timeout(const struct link *l, clk_ms now)
{
	return !l->server && now - l->down_since < LINK_RESTART_MS
		       ? LINK_RESTART_TIMEOUT_MS
		       : LINK_CONNECT_TIMEOUT_MS;
}

static bool link_timed_out(const struct link *l, clk_ms now)
{
	if (l->phase == LINK_UP)
		return now - l->last_received > LINK_TIMEOUT_MS;
	return now - l->attempt_started >= link_connect_timeout(l, now);
}

static void link_ping(struct link *l, clk_ms now)
{
	uint32_t zero = 0;

	if (l->server || l->phase != LINK_UP ||
	    now - l->last_ping < LINK_PING_INTERVAL_MS)
		return;
	l->last_ping = now;
	buf_add(net_output(l->conn), &zero, sizeof(zero));
	link_count_sent(l, 0, sizeof(zero));
	net_flush(l->conn);
}

/* Drops the connection; an attempt that led to no link is repeated at once. */
static void link_on_timeout(struct link *l)
{
	bool again = l->phase != LINK_UP && !l->server;

	if (l->phase == LINK_UP)
		log_warn("link", "link timed out peer=%s addr=%s", l->peer.id,
			 l->addr);
	link_drop(l);
	if (again)
		link_connect(l);
}

static void link_on_timer(struct ev_loop *loop, ev_timer *w, int events)
{
	struct link *l = w->data;
	clk_ms now = clk_now();

	(void)loop;
	(void)events;
	if (!l->conn) {
		if (now - l->attempt_started >= LINK_RECONNECT_DELAY_MS)
			link_connect(l);
		return;
	}
	if (link_timed_out(l, now)) {
		link_on_timeout(l);
		return;
	}
	link_ping(l, now);
}

static struct net_handler link_net_handler(struct link *l)
{
	return (struct net_handler){
		.arg = l, .on_read = link_on_read, .on_close = link_on_close};
}

static void link_connect(struct link *l)
{
	struct net_handler h = link_net_handler(l);
	struct err e = ERR_INIT;

	l->attempt_started = clk_now();
	l->last_received = l->attempt_started;
	l->conn = net_connect(l->loop, l->addr, &h, &e);
	if (!l->conn)
		return;
	net_set_high_priority(l->conn);
	l->phase = LINK_WAIT_HELLO;
	link_send_hello(l);
}

void link_connect_now(struct link *l)
{
	bool nothing_received = l->phase == LINK_WAIT_HELLO &&
				l->last_received == l->attempt_started;

	if (l->freed || l->server || (l->conn && !nothing_received))
		return;
	net_free(l->conn);
	l->conn = NULL;
	zs_free(l->streams);
	l->streams = NULL;
	l->phase = LINK_DISCONNECTED;
	link_connect(l);
}

static struct link *link_new(struct ev_loop *loop, const struct settings *set,
			     const char *role, int64_t uuid,
			     const struct link_handler *h)
{
	struct link *l = calloc(1, sizeof(*l));

	if (!l)
		abort();
	l->loop = loop;
	l->set = set;
	l->h = *h;
	l->uuid = uuid;
	snprintf(l->role, sizeof(l->role), "%s", role);
	ev_timer_init(&l->timer, link_on_timer,
		      LINK_RECONNECT_DELAY_MS / 1000.0,
		      LINK_RECONNECT_DELAY_MS / 1000.0);
	l->timer.data = l;
	ev_timer_start(loop, &l->timer);
	return l;
}

struct link *link_open(struct ev_loop *loop, const struct settings *set,
		       const char *role, const char *addr, int64_t uuid,
		       const struct link_handler *h)
{
	struct link *l = link_new(loop, set, role, uuid, h);

	snprintf(l->addr, sizeof(l->addr), "%s", addr);
	l->down_since = clk_now();
	link_connect(l);
	return l;
}

static void link_accept(void *arg, int fd)
{
	struct link_server *s = arg;
	struct link *l = link_new(s->loop, s->set, s->role, s->uuid, &s->h);
	struct net_handler h = link_net_handler(l);

	l->server = s;
	l->next = s->links;
	s->links = l;
	l->attempt_started = clk_now();
	l->last_received = l->attempt_started;
	l->conn = net_from_accepted(s->loop, fd, &h);
	net_set_high_priority(l->conn);
	l->phase = LINK_WAIT_HELLO;
	link_send_hello(l);
}

enum res link_listen(struct link_server **out, struct ev_loop *loop,
		     const struct settings *set, const char *role, int64_t uuid,
		     const struct link_handler *h, struct err *e)
{
	struct link_server *s = calloc(1, sizeof(*s));
	enum res r;

	if (!s)
		abort();
	s->loop = loop;
	s->set = set;
	s->h = *h;
	s->uuid = uuid;
	snprintf(s->role, sizeof(s->role), "%s", role);
	r = net_listen(&s->listener, loop, set->link, link_accept, s, e);
	if (r) {
		free(s);
		return r;
	}
	*out = s;
	return RES_OK;
}

void link_server_free(struct link_server *s)
{
	if (!s)
		return;
	net_listener_free(s->listener);
	while (s->links)
		link_free(s->links);
	free(s);
}

void link_send(struct link *l, const struct msg *m)
{
	if (l->phase == LINK_UP)
		link_write_msg(l, m);
}

bool link_is_up(const struct link *l)
{
	return l->phase == LINK_UP;
}

clk_ms link_last_received(const struct link *l)
{
	return l->last_received;
}

const char *link_peer_id(const struct link *l)
{
	return l->peer.id;
}

const char *link_peer_zone(const struct link *l)
{
	return l->peer.zone;
}

const char *link_peer_role(const struct link *l)
{
	return l->peer.role;
}

int64_t link_peer_uuid(const struct link *l)
{
	return l->peer.uuid;
}

void link_set_user_data(struct link *l, void *data)
{
	l->user_data = data;
}

void *link_user_data(const struct link *l)
{
	return l->user_data;
}

size_t link_unsent_bytes(const struct link *l)
{
	return l->conn ? buf_len(net_output(l->conn)) : 0;
}

void link_free(struct link *l)
{
	if (!l || l->freed)
		return;
	l->freed = true;
	ev_timer_stop(l->loop, &l->timer);
	link_remove_from_server(l);
	l->phase = LINK_DISCONNECTED;
	if (l->conn)
		net_free(l->conn);
	l->conn = NULL;
	if (!l->callback_depth)
		link_release(l);
}
