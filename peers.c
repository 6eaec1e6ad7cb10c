#include "peers.h"

#include "counter.h"
#include "exec.h"
#include "link.h"
#include "lists.h"
#include "log.h"
#include "settings.h"
#include "view.h"

#include <ev.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A link that was opened to another proxy. */
struct peer {
	struct peers *peers;
	char id[ID_LEN];
	char addr[ADDR_LEN];
	struct link *link;
	clk_ms opened_at;
	bool up;
	bool marked_down; /* view_set_reachable() marked the proxy as
			     unreachable */
};

struct peers {
	struct ev_loop *loop;
	const struct settings *set;
	struct view *view;
	struct exec *exec;
	int64_t uuid;
	struct peers_handler handler;
	struct link_server *server;
	struct peer **list; /* sorted by id */
	size_t n;

	/* Counters, taken modulo the length of the array. */
	size_t next_fetch_peer; /* in list, for peers_on_fetch() */
	size_t next_dead_proxy; /* in the view, for peers_open_to_dead() */

	ev_timer fetch_timer;
};

static struct peer *peers_find_entry(const struct peers *p, const char *id)
{
	size_t low = 0;
	size_t high = p->n;

	while (low < high) {
		size_t mid = (low + high) / 2;
		int cmp = strcmp(p->list[mid]->id, id);

		if (!cmp)
			return p->list[mid];
		if (cmp < 0)
			low = mid + 1;
		else
			high = mid;
	}
	return NULL;
}

static int64_t peers_lists_version(const struct peers *p)
{
	const struct lists *l = view_lists(p->view);

	return l ? l->version : 0;
}

static void peers_send_fetch(struct peers *p, struct link *link)
{
	struct msg m = {.type = MSG_FETCH};

	m.u.fetch.known_lists_version = peers_lists_version(p);
	link_send(link, &m);
}

static void peers_answer_fetch(struct peers *p, struct link *link,
			       const struct msg_fetch *fetch)
{
	const struct lists *l = view_lists(p->view);
	struct msg m = {.type = MSG_CONFIG};

	if (fetch->known_lists_version > peers_lists_version(p))
		peers_send_fetch(p, link);
	if (!l || l->version <= fetch->known_lists_version)
		return;
	m.u.config.version = l->version;
	snprintf(m.u.config.digest, ID_LEN, "%s", l->digest);
	m.u.config.lists = (struct blob){.data = l->text, .len = l->len};
	link_send(link, &m);
}

static void peers_apply_config(struct peers *p, const struct link *link,
			       const struct msg_config *c)
{
	struct err e = ERR_INIT;
	struct lists *l;

	if (c->version <= peers_lists_version(p)) {
		cnt_add(CNT_config_ignored_older, 1);
		return;
	}
	l = lst_parse(c->lists.data, c->lists.len, c->version, &e);
	if (!l || strcmp(l->digest, c->digest) != 0) {
		log_warn("peers",
			 "event=lists_refused peer=%s version=%" PRId64
			 " error=\"%s\"",
			 link_peer_id(link), c->version,
			 l ? "digest differs" : e.text);
		cnt_add(CNT_bad_input, 1);
	} else if (view_set_lists(p->view, l)) {
		log_info("peers", "event=lists_taken peer=%s version=%" PRId64,
			 link_peer_id(link), c->version);
		cnt_add(CNT_config_applied, 1);
		p->handler.on_lists_from_peer(p->handler.arg);
	}
	if (l)
		lst_unref(l);
}

static void peers_on_any_message(struct peers *p, struct link *link,
				 const struct msg *m)
{
	switch (m->type) {
	case MSG_RUN:
	case MSG_DATA:
	case MSG_END:
	case MSG_CANCEL:
	case MSG_UNPIN:
		exec_handle_message(p->exec, link, m);
		break;
	case MSG_FETCH:
		peers_answer_fetch(p, link, &m->u.fetch);
		break;
	case MSG_CONFIG:
		peers_apply_config(p, link, &m->u.config);
		break;
	default:
		cnt_add(CNT_bad_input, 1);
		log_warn("peers", "event=unexpected_message peer=%s type=%s",
			 link_peer_id(link), msg_name(m->type));
	}
}

static void peers_on_up(void *arg, struct link *link)
{
	struct peer *peer = arg;

	/* The address may belong to another instance by now. */
	if (strcmp(link_peer_id(link), peer->id) != 0 ||
	    strcmp(link_peer_role(link), "proxy") != 0) {
		log_warn("peers", "event=wrong_peer expected=%s found=%s",
			 peer->id, link_peer_id(link));
		return;
	}
	peer->up = true;
	peer->marked_down = false;
	view_set_reachable(peer->peers->view, peer->id, true);
	peers_send_fetch(peer->peers, link);
	exec_view_changed(peer->peers->exec);
}

static void peers_on_message(void *arg, struct link *link, const struct msg *m)
{
	struct peer *peer = arg;

	if (peer->up)
		peers_on_any_message(peer->peers, link, m);
}

static void peers_on_down(void *arg, struct link *link)
{
	struct peer *peer = arg;

	if (!peer->up)
		return;
	peer->up = false;
	peer->marked_down = true;
	view_set_reachable(peer->peers->view, peer->id, false);
	exec_link_down(peer->peers->exec, link);
	exec_view_changed(peer->peers->exec);
}

/*
 * Sends FETCH on a link that a peer opened: a proxy that has just started knows
 * no peers to connect to, but they open links to it.
 */
static void peers_on_accepted_up(void *arg, struct link *link)
{
	log_debug("peers", "event=accepted peer=%s", link_peer_id(link));
	if (!strcmp(link_peer_role(link), "proxy"))
		peers_send_fetch(arg, link);
}

static void peers_on_accepted_message(void *arg, struct link *link,
				      const struct msg *m)
{
	if (!strcmp(link_peer_role(link), "proxy"))
		peers_on_any_message(arg, link, m);
}

static void peers_on_accepted_down(void *arg, struct link *link)
{
	struct peers *p = arg;

	exec_link_down(p->exec, link);
}

static void peers_close_unneeded(struct peers *p);
static void peers_open_to_dead(struct peers *p);

/*
 * Marks peers as unreachable to which no link came up within
 * LINK_CONNECT_TIMEOUT_MS: without a link, this proxy can't forward requests to
 * them, so it must not choose them as owners of backends.
 */
static void peers_mark_unreached(struct peers *p)
{
	clk_ms now = clk_now();
	bool changed = false;

	for (size_t i = 0; i < p->n; i++) {
		struct peer *peer = p->list[i];

		if (peer->up || peer->marked_down ||
		    now - peer->opened_at < LINK_CONNECT_TIMEOUT_MS)
			continue;
		peer->marked_down = true;
		view_set_reachable(p->view, peer->id, false);
		changed = true;
	}
	if (changed)
		exec_view_changed(p->exec);
}

/* Updates the links, then sends FETCH to the next peer whose link is up. */
static void peers_on_fetch(struct ev_loop *loop, ev_timer *w, int events)
{
	struct peers *p = w->data;

	(void)loop;
	(void)events;
	peers_close_unneeded(p);
	peers_mark_unreached(p);
	peers_open_to_dead(p);
	for (size_t i = 0; i < p->n; i++) {
		struct peer *peer = p->list[p->next_fetch_peer++ % p->n];

		if (!peer->up)
			continue;
		peers_send_fetch(p, peer->link);
		return;
	}
}

enum res peers_new(struct peers **out, struct ev_loop *loop,
		   const struct settings *set, struct view *view,
		   struct exec *exec, int64_t uuid,
		   const struct peers_handler *h, struct err *e)
{
	struct peers *p = calloc(1, sizeof(*p));
	struct link_handler lh = {.arg = p,
				  .on_up = peers_on_accepted_up,
				  .on_message = peers_on_accepted_message,
				  .on_down = peers_on_accepted_down};
	double period = PEERS_FETCH_INTERVAL_MS / 1000.0;
	enum res r;

	if (!p)
		abort();
	p->loop = loop;
	p->set = set;
	p->view = view;
	p->exec = exec;
	p->uuid = uuid;
	p->handler = *h;
	r = link_listen(&p->server, loop, set, "proxy", uuid, &lh, e);
	if (r != RES_OK) {
		free(p);
		return r;
	}
	ev_timer_init(&p->fetch_timer, peers_on_fetch, period, period);
	p->fetch_timer.data = p;
	ev_timer_start(loop, &p->fetch_timer);
	*out = p;
	return RES_OK;
}

static void peers_close_entry(struct peer *peer)
{
	if (peer->link) {
		struct link *link = peer->link;

		peers_on_down(peer, link);
		peer->link = NULL;
		link_free(link);
	}
	free(peer);
}

void peers_free(struct peers *p)
{
	if (!p)
		return;
	ev_timer_stop(p->loop, &p->fetch_timer);
	for (size_t i = 0; i < p->n; i++)
		peers_close_entry(p->list[i]);
	free(p->list);
	link_server_free(p->server);
	free(p);
}

static struct peer *peers_open_entry(struct peers *p,
				     const struct proxy_info *info)
{
	struct peer *peer = calloc(1, sizeof(*peer));
	struct link_handler lh = {.arg = peer,
				  .on_up = peers_on_up,
				  .on_message = peers_on_message,
				  .on_down = peers_on_down};

	if (!peer)
		abort();
	peer->peers = p;
	peer->opened_at = clk_now();
	snprintf(peer->id, sizeof(peer->id), "%s", info->id);
	snprintf(peer->addr, sizeof(peer->addr), "%s", info->addr);
	peer->link =
		link_open(p->loop, p->set, "proxy", info->addr, p->uuid, &lh);
	return peer;
}

static int peers_compare(const void *a, const void *b)
{
	const struct peer *const *x = a;
	const struct peer *const *y = b;

	return strcmp((*x)->id, (*y)->id);
}

/* True if a link to this proxy should be open according to the view. */
static bool peers_is_needed(const struct peers *p,
			    const struct proxy_info *info)
{
	return info && info->alive && info->addr[0] &&
	       strcmp(info->id, p->set->id) != 0;
}

/*
 * True if a link is to stay open. A link to a proxy that is stopping stays as
 * long as it is up, so that requests and transactions running there can finish.
 */
static bool peers_stays_open(const struct peers *p, const struct peer *peer)
{
	const struct proxy_info *info = view_proxy(p->view, peer->id);

	if (!info || strcmp(info->addr, peer->addr) != 0)
		return false;
	return peer->up || peers_is_needed(p, info);
}

/*
 * Closes links that are not to stay open. They are removed from the list before
 * any is closed, since exec looks peers up when a link goes down.
 */
static void peers_close_unneeded(struct peers *p)
{
	struct peer **closing = calloc(p->n + 1, sizeof(*closing));
	size_t nclosing = 0;
	size_t kept = 0;

	if (!closing)
		abort();
	for (size_t i = 0; i < p->n; i++) {
		struct peer *peer = p->list[i];

		if (peers_stays_open(p, peer))
			p->list[kept++] = peer;
		else
			closing[nclosing++] = peer;
	}
	p->n = kept;
	for (size_t i = 0; i < nclosing; i++)
		peers_close_entry(closing[i]);
	free(closing);
}

void peers_view_changed(struct peers *p)
{
	size_t n;
	size_t opened = 0;
	const struct proxy_info *infos;

	peers_close_unneeded(p);
	infos = view_proxies(p->view, &n);
	p->list = realloc(p->list, (p->n + n + 1) * sizeof(*p->list));
	if (!p->list)
		abort();
	for (size_t i = 0; i < n; i++) {
		if (!peers_is_needed(p, &infos[i]) ||
		    peers_find_entry(p, infos[i].id))
			continue;
		/* peers_find_entry() searches only the n sorted entries. */
		p->list[p->n + opened++] = peers_open_entry(p, &infos[i]);
	}
	p->n += opened;
	qsort(p->list, p->n, sizeof(*p->list), peers_compare);
}

/*
 * Opens a link to one proxy of the own zone that is not alive according to the
 * control leader. If the zone is partitioned from the leader, a proxy that
 * restarts there knows no peers, and the leader can't report it as alive again,
 * so this link is its only way to get the lists. One attempt at a time keeps
 * the cost independent of the number of such proxies; the next call of
 * peers_on_fetch() closes the link unless it is up.
 */
static void peers_open_to_dead(struct peers *p)
{
	size_t n;
	const struct proxy_info *infos = view_proxies(p->view, &n);

	for (size_t i = 0; i < n; i++) {
		const struct proxy_info *info =
			&infos[p->next_dead_proxy++ % n];

		if (info->alive || !info->addr[0] ||
		    strcmp(info->zone, p->set->zone) != 0 ||
		    !strcmp(info->id, p->set->id) ||
		    peers_find_entry(p, info->id))
			continue;
		p->list = realloc(p->list, (p->n + 1) * sizeof(*p->list));
		if (!p->list)
			abort();
		p->list[p->n++] = peers_open_entry(p, info);
		qsort(p->list, p->n, sizeof(*p->list), peers_compare);
		return;
	}
}

struct link *peers_find_link(struct peers *p, const char *proxy_id)
{
	struct peer *peer = peers_find_entry(p, proxy_id);

	return peer && peer->up ? peer->link : NULL;
}

size_t peers_count_up(const struct peers *p)
{
	size_t up = 0;

	for (size_t i = 0; i < p->n; i++)
		up += p->list[i]->up;
	return up;
}
