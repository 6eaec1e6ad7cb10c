#ifndef LINK_H
#define LINK_H

/*
 * Authenticated links between the system's processes.
 *
 * A link exchanges HELLO and PROOF and then delivers messages. Each side
 * proves that it holds the shared key by an HMAC over the peer's nonce, its
 * own role and id. Frames over MSG_MAX_FRAME and malformed messages close
 * that link alone, with one log line and one counter. Traffic is not
 * encrypted.
 *
 * A link that hears nothing for LINK_SILENT_MS is closed: the side that opened
 * it sends an empty frame every LINK_PING_MS, the other echoes it. So a
 * connection that a middlebox has forgotten is replaced although neither side
 * sees it close.
 */

#include "clock.h"
#include "error.h"
#include "msg.h"

struct ev_loop;
struct settings;
struct link;
struct link_server;

enum {
	LINK_PING_MS = 250,
	LINK_SILENT_MS = 1000,
	LINK_CONNECT_MS = 300, /* to connect and be admitted; the first packet
				* to an instance that starts may be lost */
	LINK_RECONNECT_MS = 100 /* pause before a new attempt */
};

struct link_handler {
	void *arg;
	void (*on_up)(void *arg, struct link *l);
	void (*on_message)(void *arg, struct link *l, const struct msg *m);
	void (*on_down)(void *arg, struct link *l);
};

/*
 * Opens a link to addr and keeps reopening it until link_free(). on_up and
 * on_down alternate.
 */
struct link *link_open(struct ev_loop *loop, const struct settings *set,
		       const char *role, const char *addr, int64_t uuid,
		       const struct link_handler *h);

/* Connects anew at once where nothing has been heard yet: the peer is known to
 * run now, and an attempt from before may hang until LINK_CONNECT_MS. */
void link_hurry(struct link *l);

/* Accepts links; each struct link handed to on_up dies after on_down. */
enum res link_serve(struct link_server **out, struct ev_loop *loop,
		    const struct settings *set, const char *role, int64_t uuid,
		    const struct link_handler *h, struct err *e);
void link_server_free(struct link_server *s);

void link_send(struct link *l, const struct msg *m);
bool link_is_up(const struct link *l);

/* When something came from the peer last, pings included. */
clk_ms link_heard(const struct link *l);

/* Identity that the peer has proved. */
const char *link_peer_id(const struct link *l);
const char *link_peer_zone(const struct link *l);
const char *link_peer_role(const struct link *l);
int64_t link_peer_uuid(const struct link *l);

/* For the user of the link; NULL at first. */
void link_set_data(struct link *l, void *data);
void *link_data(const struct link *l);

/* Bytes that wait to be written, for back pressure. */
size_t link_backlog(const struct link *l);

void link_free(struct link *l);

#endif
