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
	clk_ms opened;
	bool up;
	bool marked; /* as unreachable in the view */
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
	size_t next_fetch;
	size_t next_dead;
	ev_timer fetch;
};

static struct peer *peers_get(const struct peers *p, const char *id)
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

static int64_t peers_version(const struct peers *p)
{
	const struct lists *l = view_lists(p->view);

	return l ? l->version : 0;
}

static void peers_send_fetch(struct peers *p, struct link *link)
{
	struct msg m = {.type = MSG_FETCH};

	m.u.fetch.cfg_version = peers_version(p);
	link_send(link, &m);
}

static void peers_answer_fetch(struct peers *p, struct link *link,
			       const struct msg_fetch *fetch)
{
	const struct lists *l = view_lists(p->view);
	struct msg m = {.type = MSG_CONFIG};

	if (fetch->cfg_version > peers_version(p))
		peers_send_fetch(p, link);
	if (!l || l->version <= fetch->cfg_version)
		return;
	m.u.config.version = l->version;
	snprintf(m.u.config.digest, ID_LEN, "%s", l->digest);
	m.u.config.lists = (struct blob){.data = l->text, .len = l->len};
	link_send(link, &m);
}

static void peers_take_config(struct peers *p, const struct link *link,
			      const struct msg_config *c)
{
	struct err e = ERR_INIT;
	struct lists *l;

	if (c->version <= peers_version(p)) {
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
	} else if (view_take_lists(p->view, l)) {
		log_info("peers", "event=lists_taken peer=%s version=%" PRId64,
			 link_peer_id(link), c->version);
		cnt_add(CNT_config_applied, 1);
		p->handler.on_lists(p->handler.arg);
	}
	if (l)
		lst_unref(l);
}

static void peers_message(struct peers *p, struct link *link,
			  const struct msg *m)
{
	switch (m->type) {
	case MSG_RUN:
	case MSG_DATA:
	case MSG_END:
	case MSG_CANCEL:
	case MSG_UNPIN:
		exec_message(p->exec, link, m);
		break;
	case MSG_FETCH:
		peers_answer_fetch(p, link, &m->u.fetch);
		break;
	case MSG_CONFIG:
		peers_take_config(p, link, &m->u.config);
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

	/* The address may have passed to another instance meanwhile. */
	if (strcmp(link_peer_id(link), peer->id) != 0 ||
	    strcmp(link_peer_role(link), "proxy") != 0) {
		log_warn("peers", "event=wrong_peer expected=%s found=%s",
			 peer->id, link_peer_id(link));
		return;
	}
	peer->up = true;
	peer->marked = false;
	view_mark_link(peer->peers->view, peer->id, true);
	peers_send_fetch(peer->peers, link);
	exec_view_changed(peer->peers->exec);
}

static void peers_on_message(void *arg, struct link *link, const struct msg *m)
{
	struct peer *peer = arg;

	if (peer->up)
		peers_message(peer->peers, link, m);
}

static void peers_on_down(void *arg, struct link *link)
{
	struct peer *peer = arg;

	if (!peer->up)
		return;
	peer->up = false;
	peer->marked = true;
	view_mark_link(peer->peers->view, peer->id, false);
	exec_link_down(peer->peers->exec, link);
	exec_view_changed(peer->peers->exec);
}

/* A proxy that has just started knows no peers, but they open links to it. */
static void peers_on_accepted(void *arg, struct link *link)
{
	log_debug("peers", "event=accepted peer=%s", link_peer_id(link));
	if (!strcmp(link_peer_role(link), "proxy"))
		peers_send_fetch(arg, link);
}

static void peers_on_accepted_message(void *arg, struct link *link,
				      const struct msg *m)
{
	if (!strcmp(link_peer_role(link), "proxy"))
		peers_message(arg, link, m);
}

static void peers_on_accepted_down(void *arg, struct link *link)
{
	struct peers *p = arg;

	exec_link_down(p->exec, link);
}

static void peers_drop_stale(struct peers *p);
static void peers_try_dead(struct peers *p);

/* A proxy that was never reached from here can't own a backend. */
static void peers_mark_unreached(struct peers *p)
{
	clk_ms now = clk_now();
	bool changed = false;

	for (size_t i = 0; i < p->n; i++) {
		struct peer *peer = p->list[i];

		if (peer->up || peer->marked ||
		    now - peer->opened < LINK_CONNECT_MS)
			continue;
		peer->marked = true;
		view_mark_link(p->view, peer->id, false);
		changed = true;
	}
	if (changed)
		exec_view_changed(p->exec);
}

/* Asks the next peer whose link is up. */
static void peers_on_fetch(struct ev_loop *loop, ev_timer *w, int events)
{
	struct peers *p = w->data;

	(void)loop;
	(void)events;
	peers_drop_stale(p);
	peers_mark_unreached(p);
	peers_try_dead(p);
	for (size_t i = 0; i < p->n; i++) {
		struct peer *peer = p->list[p->next_fetch++ % p->n];

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
				  .on_up = peers_on_accepted,
				  .on_message = peers_on_accepted_message,
				  .on_down = peers_on_accepted_down};
	double period = PEERS_FETCH_MS / 1000.0;
	enum res r;

	if (!p)
		abort();
	p->loop = loop;
	p->set = set;
	p->view = view;
	p->exec = exec;
	p->uuid = uuid;
	p->handler = *h;
	r = link_serve(&p->server, loop, set, "proxy", uuid, &lh, e);
	if (r != RES_OK) {
		free(p);
		return r;
	}
	ev_timer_init(&p->fetch, peers_on_fetch, period, period);
	p->fetch.data = p;
	ev_timer_start(loop, &p->fetch);
	*out = p;
	return RES_OK;
}

static void peers_close(struct peer *peer)
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
	ev_timer_stop(p->loop, &p->fetch);
	for (size_t i = 0; i < p->n; i++)
		peers_close(p->list[i]);
	free(p->list);
	link_server_free(p->server);
	free(p);
}

static struct peer *peers_open(struct peers *p, const struct proxy_info *info)
{
	struct peer *peer = calloc(1, sizeof(*peer));
	struct link_handler lh = {.arg = peer,
				  .on_up = peers_on_up,
				  .on_message = peers_on_message,
				  .on_down = peers_on_down};

	if (!peer)
		abort();
	peer->peers = p;
	peer->opened = clk_now();
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

/* True if the view wants a link to this proxy. */
static bool peers_wanted(const struct peers *p, const struct proxy_info *info)
{
	return info && info->alive && info->addr[0] &&
	       strcmp(info->id, p->set->id) != 0;
}

/*
 * A link to a proxy that is stopping stays while it is up: requests and
 * transactions that run there are to finish.
 */
static bool peers_keep(const struct peers *p, const struct peer *peer)
{
	const struct proxy_info *info = view_proxy(p->view, peer->id);

	if (!info || strcmp(info->addr, peer->addr) != 0)
		return false;
	return peer->up || peers_wanted(p, info);
}

/* Closes links that the view no longer wants, after they left the table, as
 * exec looks peers up when one goes down. */
static void peers_drop_stale(struct peers *p)
{
	struct peer **stale = calloc(p->n + 1, sizeof(*stale));
	size_t nstale = 0;
	size_t kept = 0;

	if (!stale)
		abort();
	for (size_t i = 0; i < p->n; i++) {
		struct peer *peer = p->list[i];

		if (peers_keep(p, peer))
			p->list[kept++] = peer;
		else
			stale[nstale++] = peer;
	}
	p->n = kept;
	for (size_t i = 0; i < nstale; i++)
		peers_close(stale[i]);
	free(stale);
}

void peers_view_changed(struct peers *p)
{
	size_t n;
	size_t opened = 0;
	const struct proxy_info *infos;

	peers_drop_stale(p);
	infos = view_proxies(p->view, &n);
	p->list = realloc(p->list, (p->n + n + 1) * sizeof(*p->list));
	if (!p->list)
		abort();
	for (size_t i = 0; i < n; i++) {
		if (!peers_wanted(p, &infos[i]) || peers_get(p, infos[i].id))
			continue;
		/* peers_get() searches the sorted entries before these. */
		p->list[p->n + opened++] = peers_open(p, &infos[i]);
	}
	p->n += opened;
	qsort(p->list, p->n, sizeof(*p->list), peers_compare);
}

/*
 * Tries one proxy of the own zone that control counts as gone. If the zone is
 * cut off, a proxy that restarts there knows no peer and control can't list
 * it again, so this link is its only way to the lists. One attempt at a time
 * keeps the cost independent of how many are gone; it is dropped by the next
 * fetch unless it is up.
 */
static void peers_try_dead(struct peers *p)
{
	size_t n;
	const struct proxy_info *infos = view_proxies(p->view, &n);

	for (size_t i = 0; i < n; i++) {
		const struct proxy_info *info = &infos[p->next_dead++ % n];

		if (info->alive || !info->addr[0] ||
		    strcmp(info->zone, p->set->zone) != 0 ||
		    !strcmp(info->id, p->set->id) || peers_get(p, info->id))
			continue;
		p->list = realloc(p->list, (p->n + 1) * sizeof(*p->list));
		if (!p->list)
			abort();
		p->list[p->n++] = peers_open(p, info);
		qsort(p->list, p->n, sizeof(*p->list), peers_compare);
		return;
	}
}

struct link *peers_find(struct peers *p, const char *proxy_id)
{
	struct peer *peer = peers_get(p, proxy_id);

	return peer && peer->up ? peer->link : NULL;
}

size_t peers_up(const struct peers *p)
{
	size_t up = 0;

	for (size_t i = 0; i < p->n; i++)
		up += p->list[i]->up;
	return up;
}
