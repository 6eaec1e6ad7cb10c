#ifndef NET_H
#define NET_H

/*
 * Buffered, non-blocking TCP over libev. Addresses are "ip:port" with an IPv4
 * address; host names are not resolved.
 *
 * A net_conn calls on_read after bytes were added to its input buffer, and
 * on_close once when the connection failed or the peer closed it. The owner
 * must call net_free() after on_close, and may call it inside any callback.
 * To send, append to the buffer that net_output() returns and call net_flush();
 * the data is written at the end of the current event loop iteration.
 */

#include "buf.h"
#include "error.h"

#include <stdbool.h>

struct ev_loop;
struct net_conn;
struct net_listener;

struct net_handler {
	void *arg;
	void (*on_read)(void *arg);
	void (*on_close)(void *arg);
	void (*on_drain)(void *arg); /* all output was written; may be NULL */
};

/* Calls on_accept with the descriptor of each connection, which it then owns.
 */
enum res net_listen(struct net_listener **out, struct ev_loop *loop,
		    const char *addr, void (*on_accept)(void *arg, int fd),
		    void *arg, struct err *e);
void net_listener_free(struct net_listener *l);

/* Takes over an accepted non-blocking socket. */
struct net_conn *net_from_accepted(struct ev_loop *loop, int fd,
				   const struct net_handler *h);

/*
 * Starts to connect. Returns NULL if that fails at once; a later failure is
 * reported by on_close.
 */
struct net_conn *net_connect(struct ev_loop *loop, const char *addr,
			     const struct net_handler *h, struct err *e);

/* Received bytes; the owner consumes them. */
struct buf *net_input(struct net_conn *c);

/* Buffer to append output to. */
struct buf *net_output(struct net_conn *c);

/* Schedules the output buffer to be written. */
void net_flush(struct net_conn *c);

/*
 * Sets socket options so that the kernel closes the connection when sent data
 * is not acknowledged for limit_ms, or when two keep-alive probes of an idle
 * connection are not answered.
 */
void net_set_peer_timeout(struct net_conn *c, int limit_ms);

/*
 * Gives the connection the highest event priority, so that it is read before
 * timers and other connections are handled. A process that was suspended or
 * blocked must read what arrived meanwhile before it decides that its peers
 * timed out.
 */
void net_set_high_priority(struct net_conn *c);

/* Stops (true) or resumes (false) reading, for back pressure. */
void net_set_read_paused(struct net_conn *c, bool pause);

/* Stops reading, writes the buffered output, closes and calls on_close. */
void net_close_after_flush(struct net_conn *c);

/* Closes the connection without writing buffered output or calling on_close. */
void net_free(struct net_conn *c);

#endif
