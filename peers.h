#ifndef PEERS_H
#define PEERS_H

/*
 * Links between proxies.
 *
 * A proxy opens one link to every other proxy that the view names as alive and
 * accepts theirs on its own link address. Requests are forwarded over the link
 * that the origin opened; answers return on it. Messages of exec are handed to
 * exec_message(); a link that breaks is reported to exec_link_down() and, if
 * it was opened here, to view_mark_link().
 *
 * FETCH and CONFIG exchange the newest lists, so that a proxy that restarts in
 * a partitioned zone gets them from a peer. Each proxy also asks one peer
 * after the other every PEERS_FETCH_MS, so that lists that reached one proxy
 * of a partitioned zone reach the others.
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

enum { PEERS_FETCH_MS = 1000 };

/* Called when newer lists came from a peer; view_lists() returns them. */
struct peers_handler {
	void *arg;
	void (*on_lists)(void *arg);
};

/* Starts to accept links on the link address of the settings. */
enum res peers_new(struct peers **out, struct ev_loop *loop,
		   const struct settings *set, struct view *view,
		   struct exec *exec, int64_t uuid,
		   const struct peers_handler *h, struct err *e);
void peers_free(struct peers *p);

/* Opens and closes links so that they match the view. */
void peers_view_changed(struct peers *p);

/* The link that was opened to a proxy, or NULL while it is down. */
struct link *peers_find(struct peers *p, const char *proxy_id);

/* Links that are up, opened here. */
size_t peers_up(const struct peers *p);

#endif
