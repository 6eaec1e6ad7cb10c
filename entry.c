#include "entry.h"

#include "apikey.h"
#include "counter.h"
#include "front.h"
#include "http.h"
#include "log.h"
#include "metrics.h"
#include "platform/calls.h"
#include "rotation.h"
#include "settings.h"
#include "uplink.h"
#include "view.h"

#include <ev.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

enum {
	ENTRY_STOP_CHECK_MS = 20,
	/* interval between checks whether this instance is cut off */
	ENTRY_CUT_OFF_CHECK_MS = 100
};

struct entry {
	struct ev_loop *loop;
	const struct settings *set;
	struct view *view;
	struct uplink *uplink;
	struct front_server *fronts;
	struct http_server *probe;
	struct metrics *metrics;
	int64_t uuid;
	ev_timer stop_timer;
	clk_ms stop_began; /* 0 while running */
	bool draining;
	bool txns_ended;
	bool closing;
	bool was_ready;
	bool listening;
	bool key_lease_ended;
	struct rotation rotation;
	ev_timer cut_off_timer;
};

static bool entry_has_state(const struct entry *p)
{
	size_t n;

	view_backends(p->view, &n);
	return n > 0 && front_routes(p->fronts);
}

/* Accepts callers only once they can be served: a caller whose connection is
 * refused tries another instance at once. */
static void entry_listen(struct entry *p)
{
	struct err e = ERR_INIT;

	if (p->listening || !entry_has_state(p))
		return;
	p->listening = true;
	if (!front_listen(p->fronts, &e)) {
		log_info("entry", "event=listening addr=%s", p->set->listen);
		return;
	}
	log_error("entry", "event=listen_failed error=\"%s\"", e.text);
	ev_break(p->loop, EVBREAK_ALL);
}

static bool entry_is_ready(struct entry *p)
{
	return p->listening && !p->stop_began && rot_answer_probe(&p->rotation);
}

static void entry_on_probe(void *arg, const struct http_request *q)
{
	struct entry *p = arg;
	char id[ID_LEN];
	int status = 404;

	if (call_identify(q, id, sizeof(id)) == CALL_GET_READY)
		status = entry_is_ready(p) ? 200 : 503;
	if ((status == 200) != p->was_ready) {
		p->was_ready = status == 200;
		log_info("entry",
			 "event=probe_changed status=%d listening=%d "
			 "stopping=%d cut_off=%d",
			 status, p->listening, p->stop_began != 0,
			 p->rotation.cut_off_since != 0);
	}
	http_respond(p->probe, q->request_number,
		     &(struct http_response){.status = status});
}

static void entry_on_view(void *arg)
{
	struct entry *p = arg;
	const struct backend_info *backends;
	const struct proxy_info *proxies;
	const struct group_info *groups;
	size_t n;

	proxies = view_proxies(p->view, &n);
	front_take_proxies(p->fronts, proxies, n);
	backends = view_backends(p->view, &n);
	front_take_backends(p->fronts, backends, n);
	groups = view_groups(p->view, &n);
	front_take_groups(p->fronts, groups, n);
	front_take_leases(p->fronts, p->view);
	entry_listen(p);
}

static void entry_on_leader_answer(void *arg)
{
	struct entry *p = arg;

	front_take_leases(p->fronts, p->view);
}

static void entry_on_routes(void *arg, struct route_table *r)
{
	struct entry *p = arg;

	log_info("entry",
		 "event=config_taken version=%" PRId64 " databases=%" PRId64,
		 r->version, r->ndatabases);
	front_take_routes(p->fronts, r);
	entry_listen(p);
}

static void entry_on_config_confirmed(void *arg, int64_t version,
				      clk_ms asked_at)
{
	struct entry *p = arg;

	front_confirm_config(p->fronts, version, asked_at);
}

static int64_t entry_suspected_primaries(void *arg, struct suspect_report *out,
					 int64_t max, clk_ms now)
{
	struct entry *p = arg;

	return front_suspected_primaries(p->fronts, out, max, now);
}

static int64_t entry_own_samples(void *arg, struct pos_sample *out, int64_t max)
{
	struct entry *p = arg;

	return front_own_samples(p->fronts, out, max);
}

static void entry_on_sample(void *arg, const struct pos_sample *s)
{
	struct entry *p = arg;

	front_take_sample(p->fronts, s);
}

static void entry_put_wanted_groups(void *arg, struct buf *out, clk_ms now)
{
	struct entry *p = arg;

	front_put_wanted_groups(p->fronts, out, now);
}

static void entry_on_rate_grant(void *arg, const struct msg_rate_grant *g)
{
	struct entry *p = arg;

	front_take_rate_grant(p->fronts, g);
}

static bool entry_send_rate_ask(void *arg, const struct msg_rate_ask *ask)
{
	struct entry *p = arg;

	return uplink_ask_rate(p->uplink, ask);
}

static void entry_on_urgent(void *arg)
{
	struct entry *p = arg;

	uplink_report_soon(p->uplink);
}

static void entry_start_uplink(struct entry *p)
{
	struct uplink_config cfg = {
		.loop = p->loop,
		.set = p->set,
		.view = p->view,
		.arg = p,
		.on_view_changed = entry_on_view,
		.on_leader_answer = entry_on_leader_answer,
		.collect_suspects = entry_suspected_primaries,
		.collect_samples = entry_own_samples,
		.on_peer_sample = entry_on_sample,
		.append_wanted_groups = entry_put_wanted_groups,
		.on_rate_grant = entry_on_rate_grant,
		.on_new_routes = entry_on_routes,
		.on_config_confirmed = entry_on_config_confirmed};

	cfg.uuid = p->uuid;
	p->uplink = uplink_new(&cfg);
	front_on_urgent(p->fronts, entry_on_urgent, p);
	front_on_rate_ask(p->fronts, entry_send_rate_ask, p);
}

static void entry_add_key_lease(const struct entry *p, struct buf *text)
{
	clk_ms left = front_key_lease_left(p->fronts, clk_now());

	if (left != CLK_NEVER)
		buf_addf(text, "key_lease_left_ms %lld\n", (long long)left);
}

static void entry_metrics(void *arg, struct buf *text)
{
	struct entry *p = arg;

	buf_addf(text, "sessions %zu\nbackend_connections %zu\n",
		 front_count(p->fronts), front_connections(p->fronts));
	front_put_connections(p->fronts, text);
	entry_add_key_lease(p, text);
	metrics_add_histogram(text, "statement_latency",
			      front_latency(p->fronts));
	front_put_tenant_metrics(p->fronts, text);
}

/* Logs when API keys may no longer be used, and when they may be again. */
static void entry_watch_key_lease(struct entry *p, clk_ms left)
{
	bool ended = left <= 0;

	if (ended == p->key_lease_ended)
		return;
	p->key_lease_ended = ended;
	if (ended)
		cnt_add(CNT_key_lease_ended, 1);
	log_info("entry", "event=%s config=%" PRId64,
		 ended ? "key_lease_ended" : "key_lease_valid",
		 front_routes(p->fronts)->version);
}

static void entry_check_cut_off(struct entry *p, clk_ms now)
{
	clk_ms age = uplink_answer_age(p->uplink, now);
	clk_ms keys_left = front_key_lease_left(p->fronts, now);
	clk_ms since = p->rotation.cut_off_since;
	struct rot_connectivity look = {
		.control_doubtful = !uplink_majority_heard(
			p->uplink, ROT_CONTROL_DOUBTFUL_MS, now),
		.control_lost = !uplink_majority_heard(
			p->uplink, ROT_CONTROL_LOST_MS, now),
		.leader_answers = age < ROT_LEADER_MAX_AGE_MS,
		.key_lease_ending = keys_left < AKEY_ENDING_MS};
	struct suspect_report missed = {0};

	if (!p->listening)
		return;
	entry_watch_key_lease(p, keys_left);
	look.primary_unusable =
		front_suspected_primaries(p->fronts, &missed, 1, now) ||
		(!p->set->promoter_deposes &&
		 now >= view_lease_expires_at(p->view));
	switch (rot_update(&p->rotation, &look, now)) {
	case ROT_CONNECTED:
		log_info("entry", "event=connected ms=%lld",
			 (long long)(now - since));
		front_refuse_waiting(p->fronts, false);
		front_refuse_without_lease(p->fronts, false);
		front_drain(p->fronts, p->draining);
		break;
	case ROT_CUT_OFF:
		log_warn("entry",
			 "event=cut_off control_age_ms=%lld group=%s "
			 "key_lease_ending=%d",
			 (long long)age, missed.group, look.key_lease_ending);
		front_refuse_without_lease(p->fronts, true);
		break;
	case ROT_UNCHANGED:
		break;
	}
	if (rot_removed_by_balancer(&p->rotation, now)) {
		front_refuse_waiting(p->fronts, true);
		front_drain(p->fronts, true);
	}
}

static void entry_on_cut_off_timer(struct ev_loop *loop, ev_timer *w,
				   int events)
{
	(void)loop;
	(void)events;
	entry_check_cut_off(w->data, clk_now());
}

static enum res entry_serve(struct entry *p, struct err *e)
{
	enum res r = front_link(p->fronts, p->uuid, e);

	if (!r)
		r = http_serve(&p->probe, p->loop, p->set->ready,
			       entry_on_probe, p, e);
	if (!r && p->set->metrics[0])
		r = metrics_serve(&p->metrics, p->loop, p->set->metrics,
				  entry_metrics, p, e);
	return r;
}

enum res entry_new(struct entry **out, struct ev_loop *loop,
		   const struct settings *set, struct err *e)
{
	struct entry *p = calloc(1, sizeof(*p));
	enum res r;

	if (!p)
		abort();
	p->loop = loop;
	p->set = set;
	p->view = view_new(set->id, set->zone);
	p->fronts = front_new(loop, set);
	randombytes_buf(&p->uuid, sizeof(p->uuid));
	r = entry_serve(p, e);
	if (r) {
		entry_free(p);
		return r;
	}
	entry_start_uplink(p);
	ev_timer_init(&p->cut_off_timer, entry_on_cut_off_timer,
		      ENTRY_CUT_OFF_CHECK_MS / 1000.0,
		      ENTRY_CUT_OFF_CHECK_MS / 1000.0);
	p->cut_off_timer.data = p;
	ev_timer_start(loop, &p->cut_off_timer);
	*out = p;
	return RES_OK;
}

void entry_add_controls(struct entry *p, const struct settings *set)
{
	uplink_add_controls(p->uplink, set);
}

void entry_free(struct entry *p)
{
	if (!p)
		return;
	ev_timer_stop(p->loop, &p->stop_timer);
	ev_timer_stop(p->loop, &p->cut_off_timer);
	http_server_free(p->probe);
	metrics_free(p->metrics);
	uplink_free(p->uplink);
	front_free(p->fronts);
	view_free(p->view);
	free(p);
}

static void entry_on_stop(struct ev_loop *loop, ev_timer *w, int events)
{
	struct entry *p = w->data;
	clk_ms age = clk_now() - p->stop_began;

	(void)events;
	if (!p->draining && age >= ROT_BALANCER_REMOVAL_MS) {
		p->draining = true;
		log_info("entry", "event=draining sessions=%zu",
			 front_count(p->fronts));
		front_drain(p->fronts, true);
	}
	if (!p->txns_ended && age >= p->set->stop_ms / SETTINGS_STOP_TXN_PART) {
		p->txns_ended = true;
		log_info("entry", "event=transactions_end sessions=%zu",
			 front_count(p->fronts));
		front_end_transactions(p->fronts);
	}
	if (!p->closing && age >= p->set->stop_ms - SETTINGS_STOP_RESERVE_MS) {
		p->closing = true;
		front_close_rest(p->fronts);
	}
	if ((p->draining && !front_load(p->fronts)) || age >= p->set->stop_ms) {
		log_info("entry", "event=stopped sessions=%zu ms=%lld",
			 front_count(p->fronts), (long long)age);
		ev_break(loop, EVBREAK_ALL);
	}
}

void entry_stop(struct entry *p)
{
	if (p->stop_began)
		return;
	p->stop_began = clk_now();
	log_info("entry", "event=stopping sessions=%zu",
		 front_count(p->fronts));
	uplink_set_stopping(p->uplink);
	ev_timer_init(&p->stop_timer, entry_on_stop,
		      ENTRY_STOP_CHECK_MS / 1000.0,
		      ENTRY_STOP_CHECK_MS / 1000.0);
	p->stop_timer.data = p;
	ev_timer_start(p->loop, &p->stop_timer);
}
