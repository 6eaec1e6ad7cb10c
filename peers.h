#ifndef PEERS_H
#define PEERS_H

/*
 * Links between proxies.
 *
 * A proxy opens one link to every other proxy that is alive according to the
 * view, and accepts the links of the others on its own link address. A request
 * is forwarded over the link that its sender opened, and its answer returns on
 * the same link. Messages about requests are passed to exec_handle_message(). A
 * link that breaks is reported to exec_link_down() and, if this proxy opened
 * it, to view_set_reachable().
 *
 * Proxies also exchange the newest lists (lists.h) with each other: FETCH
 * requests them and CONFIG carries them. This is how a proxy that restarts in
 * a partitioned zone gets lists without the control leader. Each proxy sends
 * FETCH to one peer every PEERS_FETCH_INTERVAL_MS, to each in turn, so that
 * lists that reached one proxy of a partitioned zone spread to the others.
 */

#include "error.h"

#include <stddef.h>
#include <stdint.h>

struct ev_loop;
struct exec;
struct link;
struct peers;
struct settings;
struct view;

enum { PEERS_FETCH_INTERVAL_MS = 1000 /* between two FETCH messages */ };

struct peers_handler {
	void *arg;
	/* A peer sent newer lists, which view_lists() now returns. */
	void (*on_lists_from_peer)(void *arg);
};

/* Starts to accept links on the link address of the settings. */
enum res peers_new(struct peers **out, struct ev_loop *loop,
		   const struct settings *set, struct view *view,
		   struct exec *exec, int64_t uuid,
		   const struct peers_handler *h, struct err *e);
void peers_free(struct peers *p);

/*
 * Opens and closes links so that they match the view; to be called when its
 * proxies changed.
 */
void peers_view_changed(struct peers *p);

/* The link that was opened to a proxy, or NULL while it is down. */
struct link *peers_find_link(struct peers *p, const char *proxy_id);

/* Number of links that this proxy opened and that are up. */
size_t peers_count_up(const struct peers *p);

#endif
