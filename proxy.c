#include "proxy.h"

#include "admin.h"
#include "caller.h"
#include "lists_file.h"
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

/* Interval of checks whether all requests have ended. */
#define PROXY_STOP_CHECK_S 0.02

/* Time in addition to ask_ms (the heartbeat interval of proxies to control)
 * until the other proxies know of the stop and send no more requests to this
 * one. */
#define PROXY_STOP_EXTRA_WAIT_MS 200

struct proxy {
	struct ev_loop *loop;
	const struct settings *set;
	struct view *view;
	struct quota_client *quota;
	struct flt *flt;
	struct exec *exec;
	struct req_engine *req;
	struct peers *peers;
	struct uplink *uplink;
	struct adm *admin;
	struct callers *callers;
	struct net_listener *listener;
	ev_timer stop_timer;
	clk_ms stop_started_at; /* 0 if no stop was requested */
	bool transactions_ended; /* see proxy_end_work() */
	bool requests_ended;
	/* During a stop: since when nothing runs and the stop is reported to
	 * control (or control is unreachable); 0 if that is not so. */
	clk_ms idle_since;
};

/* Saves the lists that are now in force, for a restart without contact to the
 * control instances. */
static void proxy_save_lists(struct proxy *p)
{
	const struct lists *l = view_lists(p->view);
	struct err e = ERR_INIT;

	if (!p->set->data[0] || !l)
		return;
	if (lists_file_save(p->set->data, l, &e) != RES_OK)
		log_error("proxy", "event=lists_not_saved error=\"%s\"",
			  e.text);
}

static void proxy_load_lists(struct proxy *p)
{
	struct err e = ERR_INIT;
	struct lists *l;

	if (!p->set->data[0])
		return;
	l = lists_file_load(p->set->data, &e);
	if (!l) {
		log_info("proxy", "event=no_saved_lists reason=\"%s\"", e.text);
		return;
	}
	view_set_lists(p->view, l);
	log_info("proxy", "event=lists_loaded version=%" PRId64 " digest=%s",
		 l->version, l->digest);
	lst_unref(l);
}

static void proxy_on_lists_changed(void *arg)
{
	struct proxy *p = arg;

	proxy_save_lists(p);
	/* Reports the version that is now in force to control. */
	uplink_report_soon(p->uplink);
	req_recheck_waiting(p->req);
}

static void proxy_on_view_changed(void *arg)
{
	struct proxy *p = arg;

	peers_view_changed(p->peers);
	exec_view_changed(p->exec);
}

static void proxy_on_control_answer(void *arg)
{
	struct proxy *p = arg;

	req_recheck_waiting(p->req);
}

static void proxy_wake_uplink(void *arg)
{
	struct proxy *p = arg;

	if (p->uplink)
		uplink_report_soon(p->uplink);
}

static struct exec_routing_info proxy_backend_hint(void *arg,
						   const char *backend,
						   clk_ms now)
{
	const struct proxy *p = arg;

	return exec_routing_info_of(p->exec, backend, now);
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
	flt_set_hints(p->flt, proxy_backend_hint, p);
	p->req = req_new(p->loop, p->flt, p->exec);
}

static enum res proxy_start_peers(struct proxy *p, int64_t uuid, struct err *e)
{
	struct peers_handler h = {.arg = p,
				  .on_lists_from_peer = proxy_on_lists_changed};
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
				    .on_leader_answer = proxy_on_control_answer,
				    .on_view_changed = proxy_on_view_changed,
				    .on_lists_changed = proxy_on_lists_changed};

	p->uplink = uplink_new(&cfg);
	exec_on_primary_suspected(p->exec, proxy_wake_uplink, p);
	req_on_quota_exhausted(p->req, proxy_wake_uplink, p);
}

static enum res proxy_start_callers(struct proxy *p, struct err *e)
{
	struct adm_config admin = {.set = p->set,
				   .view = p->view,
				   .exec = p->exec,
				   .up = p->uplink};
	struct callers_config cfg = {.loop = p->loop,
				     .set = p->set,
				     .view = p->view,
				     .request_engine = p->req};

	p->admin = adm_new(&admin);
	cfg.admin_database = p->admin;
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
	ev_timer_stop(p->loop, &p->stop_timer);
	net_listener_free(p->listener);
	callers_free(p->callers);
	adm_free(p->admin);
	uplink_free(p->uplink);
	/* exec may still suspect failed primaries while links are closed, and
	 * would call proxy_wake_uplink(). */
	p->uplink = NULL;
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
	return !callers_count_busy(p->callers) && !req_count_running(p->req) &&
	       !exec_count_running(p->exec) && !exec_count_pins(p->exec);
}

/* True if control has announced that this proxy stops, or can't be reached. */
static bool proxy_stop_is_announced(const struct proxy *p, clk_ms now)
{
	const struct proxy_info *self = view_proxy(p->view, p->set->id);
	clk_ms age = uplink_answer_age(p->uplink, now);

	return !self || !self->alive || age < 0 || age > p->set->lease_ms;
}

/* Ends transactions in the second half of stop_ms, and shortly before its end
 * the requests in flight, so that each caller gets an answer. */
static void proxy_end_work(struct proxy *p, clk_ms age)
{
	if (age < p->set->stop_ms / SETTINGS_STOP_TXN_PART)
		return;
	if (!p->transactions_ended)
		callers_end_transactions(p->callers);
	p->transactions_ended = true;
	exec_close_idle_remote_pins(p->exec);
	if (age < p->set->stop_ms - SETTINGS_STOP_RESERVE_MS)
		return;
	if (!p->requests_ended)
		callers_end_requests(p->callers);
	p->requests_ended = true;
}

/*
 * Leaves the event loop when nothing has run for as long as it takes the other
 * proxies to learn of the stop. Until then they may still send requests for
 * backends that this proxy owned. Also leaves it when stop_ms have passed.
 */
static void proxy_check_stop(struct ev_loop *loop, ev_timer *w, int events)
{
	struct proxy *p = w->data;
	clk_ms now = clk_now();
	clk_ms min_idle_ms = p->set->ask_ms + PROXY_STOP_EXTRA_WAIT_MS;

	(void)events;
	proxy_end_work(p, now - p->stop_started_at);
	if (!proxy_is_idle(p) || !proxy_stop_is_announced(p, now))
		p->idle_since = 0;
	else if (!p->idle_since)
		p->idle_since = now;
	if (p->idle_since && now - p->idle_since >= min_idle_ms) {
		log_info("proxy", "event=stopped running=0");
		ev_break(loop, EVBREAK_ALL);
	} else if (now - p->stop_started_at >= p->set->stop_ms) {
		log_warn("proxy",
			 "event=stopped callers=%zu running=%zu pins=%zu",
			 callers_count_busy(p->callers),
			 exec_count_running(p->exec), exec_count_pins(p->exec));
		ev_break(loop, EVBREAK_ALL);
	}
}

void proxy_stop(struct proxy *p)
{
	if (p->stop_started_at)
		return;
	log_info("proxy", "event=stopping callers=%zu running=%zu",
		 callers_count(p->callers), req_count_running(p->req));
	p->stop_started_at = clk_now();
	net_listener_free(p->listener);
	p->listener = NULL;
	uplink_set_stopping(p->uplink);
	callers_start_stop(p->callers);
	ev_timer_init(&p->stop_timer, proxy_check_stop, PROXY_STOP_CHECK_S,
		      PROXY_STOP_CHECK_S);
	p->stop_timer.data = p;
	ev_timer_start(p->loop, &p->stop_timer);
}
