#include "proxy.h"

#include "admin.h"
#include "caller.h"
#include "cfgfile.h"
#include "exec.h"
#include "filter.h"
#include "log.h"
#include "net.h"
#include "peers.h"
#include "quota.h"
#include "request.h"
#include "settings.h"
#include "uplink.h"
#include "view.h"

#include <errno.h>
#include <ev.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#define PROXY_STOP_CHECK_S 0.02 /* between looks whether all has ended */

/* Beyond ask_ms, until the other proxies have asked control and send nothing
 * more here. */
#define PROXY_STOP_LINGER_MS 200

struct proxy {
	struct ev_loop *loop;
	const struct settings *set;
	struct view *view;
	struct quota_client *quota;
	struct flt *flt;
	struct exec *exec;
	struct req_engine *req;
	struct peers *peers;
	struct uplink *up;
	struct adm *adm;
	struct callers *callers;
	struct net_listener *listener;
	ev_timer stop;
	clk_ms stop_began; /* 0 while running */
	clk_ms quiet_since; /* nothing runs and control knows; 0 before */
};

/* Newer lists are in force: keep them for a restart without contact. */
static void proxy_save_lists(struct proxy *p)
{
	const struct lists *l = view_lists(p->view);
	struct err e = ERR_INIT;

	if (!p->set->data[0] || !l)
		return;
	if (cfg_save(p->set->data, l, &e) != RES_OK)
		log_error("proxy", "event=lists_not_saved error=\"%s\"",
			  e.text);
}

static void proxy_load_lists(struct proxy *p)
{
	struct err e = ERR_INIT;
	struct lists *l;

	if (!p->set->data[0])
		return;
	l = cfg_load(p->set->data, &e);
	if (!l) {
		log_info("proxy", "event=no_saved_lists reason=\"%s\"", e.text);
		return;
	}
	view_take_lists(p->view, l);
	log_info("proxy", "event=lists_loaded version=%" PRId64 " digest=%s",
		 l->version, l->digest);
	lst_unref(l);
}

static void proxy_on_lists(void *arg)
{
	struct proxy *p = arg;

	proxy_save_lists(p);
	/* So that control learns which version is in force here. */
	uplink_wake(p->up);
	req_kick(p->req);
}

static void proxy_on_view(void *arg)
{
	struct proxy *p = arg;

	peers_view_changed(p->peers);
	exec_view_changed(p->exec);
}

static void proxy_on_answer(void *arg)
{
	struct proxy *p = arg;

	req_kick(p->req);
}

static void proxy_on_wake(void *arg)
{
	struct proxy *p = arg;

	if (p->up)
		uplink_wake(p->up);
}

static struct exec_hint proxy_hint(void *arg, const char *backend, clk_ms now)
{
	const struct proxy *p = arg;

	return exec_hint_of(p->exec, backend, now);
}

static uint64_t proxy_seed(const struct settings *set)
{
	uint64_t seed = (uint64_t)set->seed;

	if (!seed)
		randombytes_buf(&seed, sizeof(seed));
	return seed;
}

static void proxy_start_requests(struct proxy *p)
{
	p->view = view_new(p->set->id, p->set->zone);
	p->quota = quota_client_new();
	p->exec = exec_new(p->loop, p->set, p->view);
	p->flt = flt_new(p->set, p->view, p->quota, proxy_seed(p->set));
	flt_set_hints(p->flt, proxy_hint, p);
	p->req = req_new(p->loop, p->flt, p->exec);
}

static enum res proxy_start_peers(struct proxy *p, int64_t uuid, struct err *e)
{
	struct peers_handler h = {.arg = p, .on_lists = proxy_on_lists};
	enum res r = peers_new(&p->peers, p->loop, p->set, p->view, p->exec,
			       uuid, &h, e);

	if (r == RES_OK)
		exec_set_peers(p->exec, p->peers);
	return r;
}

static void proxy_start_uplink(struct proxy *p, int64_t uuid)
{
	struct uplink_config cfg = {.loop = p->loop,
				    .set = p->set,
				    .view = p->view,
				    .quota = p->quota,
				    .flt = p->flt,
				    .exec = p->exec,
				    .uuid = uuid,
				    .arg = p,
				    .on_answer = proxy_on_answer,
				    .on_view = proxy_on_view,
				    .on_lists = proxy_on_lists};

	p->up = uplink_new(&cfg);
	exec_on_suspect(p->exec, proxy_on_wake, p);
	req_on_quota(p->req, proxy_on_wake, p);
}

static enum res proxy_start_callers(struct proxy *p, struct err *e)
{
	struct adm_config admin = {
		.set = p->set, .view = p->view, .exec = p->exec, .up = p->up};
	struct callers_config cfg = {
		.loop = p->loop, .set = p->set, .view = p->view, .req = p->req};

	p->adm = adm_new(&admin);
	cfg.adm = p->adm;
	p->callers = callers_new(&cfg);
	return net_listen(&p->listener, p->loop, p->set->listen, callers_accept,
			  p->callers, e);
}

enum res proxy_new(struct proxy **out, struct ev_loop *loop,
		   const struct settings *set, struct err *e)
{
	struct proxy *p = calloc(1, sizeof(*p));
	int64_t uuid;
	enum res r;

	if (!p)
		abort();
	randombytes_buf(&uuid, sizeof(uuid));
	p->loop = loop;
	p->set = set;
	proxy_start_requests(p);
	proxy_load_lists(p);
	r = proxy_start_peers(p, uuid, e);
	if (r == RES_OK) {
		proxy_start_uplink(p, uuid);
		r = proxy_start_callers(p, e);
	}
	if (r != RES_OK) {
		proxy_free(p);
		return r;
	}
	*out = p;
	return RES_OK;
}

void proxy_free(struct proxy *p)
{
	if (!p)
		return;
	ev_timer_stop(p->loop, &p->stop);
	net_listener_free(p->listener);
	callers_free(p->callers);
	adm_free(p->adm);
	uplink_free(p->up);
	p->up = NULL; /* exec may still find suspects while links close */
	if (p->exec)
		exec_set_peers(p->exec, NULL);
	peers_free(p->peers);
	req_free(p->req);
	exec_free(p->exec);
	flt_free(p->flt);
	quota_client_free(p->quota);
	view_free(p->view);
	free(p);
}

static bool proxy_is_idle(const struct proxy *p)
{
	return !callers_busy(p->callers) && !req_running(p->req) &&
	       !exec_running(p->exec) && !exec_pins(p->exec);
}

/* True once control has told, or can't be asked, that this proxy stops. */
static bool proxy_is_announced(const struct proxy *p, clk_ms now)
{
	const struct proxy_info *self = view_proxy(p->view, p->set->id);
	clk_ms age = uplink_age(p->up, now);

	return !self || !self->alive || age < 0 || age > p->set->lease_ms;
}

/*
 * Ends the loop when nothing has run for as long as it takes the other proxies
 * to learn of the stop: until then they may still send requests for backends
 * that this proxy owned.
 */
static void proxy_on_stop(struct ev_loop *loop, ev_timer *w, int events)
{
	struct proxy *p = w->data;
	clk_ms now = clk_now();
	clk_ms linger = p->set->ask_ms + PROXY_STOP_LINGER_MS;

	(void)events;
	if (!proxy_is_idle(p) || !proxy_is_announced(p, now))
		p->quiet_since = 0;
	else if (!p->quiet_since)
		p->quiet_since = now;
	if (p->quiet_since && now - p->quiet_since >= linger) {
		log_info("proxy", "event=stopped running=0");
		ev_break(loop, EVBREAK_ALL);
	} else if (now - p->stop_began >= p->set->stop_ms) {
		log_warn("proxy",
			 "event=stopped callers=%zu running=%zu pins=%zu",
			 callers_busy(p->callers), exec_running(p->exec),
			 exec_pins(p->exec));
		ev_break(loop, EVBREAK_ALL);
	}
}

void proxy_stop(struct proxy *p)
{
	if (p->stop_began)
		return;
	log_info("proxy", "event=stopping callers=%zu running=%zu",
		 callers_count(p->callers), req_running(p->req));
	p->stop_began = clk_now();
	net_listener_free(p->listener);
	p->listener = NULL;
	uplink_stopping(p->up);
	callers_stop(p->callers);
	ev_timer_init(&p->stop, proxy_on_stop, PROXY_STOP_CHECK_S,
		      PROXY_STOP_CHECK_S);
	p->stop.data = p;
	ev_timer_start(p->loop, &p->stop);
}
