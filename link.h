#ifndef LINK_H
#define LINK_H

/*
 * Links: authenticated TCP connections between proxies and control instances
 * that carry the messages of msg.h.
 *
 * Both sides first exchange HELLO and PROOF. In PROOF each side shows that it
 * has the shared key, by an HMAC over the peer's nonce and its own role and id.
 * After that the link is up and delivers messages. A frame over MSG_MAX_FRAME
 * or a malformed message closes only the link that it came from, with one log
 * line and one increment of the counter links_refused. Traffic is not
 * encrypted.
 *
 * A frame is a length of 4 bytes in network order and as many bytes. Between
 * availability zones, where traffic is paid for, messages are compressed
 * (zstream.h), which the highest bit of the length tells, if the peer's HELLO
 * says that it takes them.
 *
 * Heartbeats: the side that opened the link sends an empty frame (a ping) every
 * LINK_PING_INTERVAL_MS, and the other side returns it. A side that receives
 * nothing for LINK_TIMEOUT_MS closes the link. This replaces a connection that
 * a NAT device or firewall has dropped from its state without closing it.
 */

#include "clock.h"
#include "error.h"
#include "msg.h"

struct ev_loop;
struct settings;
struct link;
struct link_server;

enum {
	LINK_PING_INTERVAL_MS = 250,
	LINK_TIMEOUT_MS = 1000,
	LINK_CONNECT_TIMEOUT_MS =
		300, /* timeout from connecting to the end of the
		      * handshake; the first packet to an instance
		      * that is starting may be lost */
	/*
	 * The same during the first LINK_RESTART_MS without a link. When many
	 * instances start at once, the first attempts find their peers still
	 * down, and no packet is repeated for a second.
	 */
	LINK_RESTART_TIMEOUT_MS = 100,
	LINK_RESTART_MS = 2000,
	LINK_RECONNECT_DELAY_MS = 100 /* between two attempts to connect */
};

/* Callbacks of the user; on_up and on_down may be NULL. */
struct link_handler {
	void *arg;
	void (*on_up)(void *arg, struct link *l);
	void (*on_message)(void *arg, struct link *l, const struct msg *m);
	void (*on_down)(void *arg, struct link *l);
};

/*
 * Opens a link to addr and reconnects whenever it is closed, until link_free().
 * Calls of on_up and on_down alternate.
 */
struct link *link_open(struct ev_loop *loop, const struct settings *set,
		       const char *role, const char *addr, int64_t uuid,
		       const struct link_handler *h);

/*
 * Starts a new attempt to connect at once, unless the peer has already sent
 * something. To be called when the peer is known to run now: an earlier attempt
 * may otherwise hang until LINK_CONNECT_TIMEOUT_MS.
 */
void link_connect_now(struct link *l);

/*
 * Accepts links on the link address of the settings. A link that was accepted
 * is freed after on_down.
 */
enum res link_listen(struct link_server **out, struct ev_loop *loop,
		     const struct settings *set, const char *role, int64_t uuid,
		     const struct link_handler *h, struct err *e);
void link_server_free(struct link_server *s);

/* Sends a message; it is dropped if the link is not up. */
void link_send(struct link *l, const struct msg *m);
bool link_is_up(const struct link *l);

/* When data was last received from the peer, pings included. */
clk_ms link_last_received(const struct link *l);

/* Identity of the peer; authenticated while the link is up. */
const char *link_peer_id(const struct link *l);
const char *link_peer_zone(const struct link *l);
const char *link_peer_role(const struct link *l);
int64_t link_peer_uuid(const struct link *l);

/* A pointer that the user of the link may store in it; NULL at first. */
void link_set_user_data(struct link *l, void *data);
void *link_user_data(const struct link *l);

/* Bytes that are not yet written to the socket, for back pressure. */
size_t link_unsent_bytes(const struct link *l);

void link_free(struct link *l);

#endif
