#include "ctl_priv.h"

#include "counter.h"
#include "log.h"
#include "id_array.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Adds the ids of the control members, since the seeds in a proxy's settings
 * may all have been replaced. */
static void ask_fill_controls(struct ctl *c, struct msg_answer *a)
{
	if (!c->settings->controls_from_seeds)
		return;
	free(c->answer_members);
	c->answer_members = ctl_member_names(c, &a->ncontrols);
	a->controls = c->answer_members;
}

/* True if a change of primary may be committed that state does not reflect
 * yet. */
static bool ask_change_pending(const struct ctl *c)
{
	for (int64_t i = c->applied_index + 1; i <= raft_last_index(c->raft);
	     i++) {
		const struct raft_entry *e = raft_entry_at(c->raft, i);
		bool changes = false;
		struct msg m;

		if (!e || e->kind != RAFT_COMMAND)
			continue;
		if (msg_decode(&m, e->data.data, e->data.len, NULL))
			return true;
		for (int64_t j = 0;
		     m.type == MSG_ANSWER && j < m.u.answer.ngroups; j++)
			changes |= m.u.answer.groups[j].changing_primary;
		msg_free(&m);
		if (changes)
			return true;
	}
	return false;
}

/* True if proxies need leases for some group. */
static bool ask_needs_leases(const struct ctl *c)
{
	const struct route_table *r = c->routes;

	if (!c->settings->promoter_deposes)
		return true;
	for (int64_t i = 0; r && i < r->ngroups; i++)
		if (r->groups[i].sync_replicas)
			return true;
	return false;
}

/*
 * Lets the proxy go on using primaries while there is no leader: a change of
 * primary needs a majority, and no member of this one knows of a change. The
 * answer holds the records of changes that are known here.
 */
static void ask_support_lease(struct ctl *c, const struct msg_ask *ask,
			      clk_ms now, struct msg_answer *a)
{
	if (!ask_needs_leases(c) || !c->settings->controls_from_seeds ||
	    !raft_is_leaderless(c->raft, now) || ask_change_pending(c))
		return;
	a->supports_lease = true;
	a->lease_ms = c->settings->lease_ms;
	state_fill_newer_records(c->state, ask->view_version, a);
}

static void ask_not_leader(struct ctl *c, const struct msg_ask *ask, clk_ms now,
			   struct msg_answer *a)
{
	const char *leader = raft_leader(c->raft);

	a->res = RES_NOT_LEADER;
	if (strcmp(leader, c->settings->id) != 0)
		snprintf(a->leader, ID_LEN, "%s", leader);
	ask_fill_controls(c, a);
	ask_support_lease(c, ask, now, a);
	cnt_add_refusal(RES_NOT_LEADER);
}

static void ask_take_reports(struct ctl *c, const char *proxy,
			     const struct msg_ask *ask, clk_ms now)
{
	for (int64_t i = 0; i < ask->nbackend_announcements; i++)
		ctl_update_backend(c, &ask->backend_announcements[i], false,
				   now);
	for (int64_t i = 0;
	     i < ask->nsuspects && c->settings->controls_from_seeds; i++)
		pro_on_suspicion(c->promotion, ask->suspects[i].group,
				 ask->suspects[i].backend, proxy, now);
	for (int64_t i = 0;
	     i < ask->nsuspects && !c->settings->controls_from_seeds; i++)
		fo_on_suspicion(c->failover, ask->suspects[i].group,
				ask->suspects[i].term, now);
}

static void ask_find_changing(struct ctl *c)
{
	size_t n;
	const struct group_info *g = state_groups(c->state, &n);

	c->changing_groups = realloc(c->changing_groups,
				     (n + 1) * sizeof(*c->changing_groups));
	if (!c->changing_groups)
		abort();
	c->nchanging_groups = 0;
	for (size_t i = 0; i < n; i++)
		if (g[i].changing_primary)
			memcpy(c->changing_groups[c->nchanging_groups++].text,
			       g[i].name, ID_LEN);
	c->changing_view = state_view_version(c->state);
}

/* Lists the groups whose primary is being changed; the lease does not cover
 * them. */
static void ask_fill_changing(struct ctl *c, struct msg_answer *a)
{
	if (!c->changing_groups ||
	    c->changing_view != state_view_version(c->state))
		ask_find_changing(c);
	a->changing_groups = c->changing_groups;
	a->nchanging_groups = c->nchanging_groups;
}

static void ask_fill_lists(const struct ctl *c, const struct msg_ask *ask,
			   struct msg_answer *a)
{
	const struct lists *l = state_lists(c->state);

	if (!l)
		return;
	a->current_lists_version = l->version;
	memcpy(a->lists_digest, l->digest, ID_LEN);
	if (ask->known_lists_version < l->version) {
		a->lists_text.data = l->text;
		a->lists_text.len = l->len;
	}
}

/*
 * Adds the published configuration if the proxy has an older one. Its transfer
 * on a slow link may take longer than the interval of the proxy's asks, so it
 * is not sent again on the same link for CTL_CONFIG_RESEND_MS.
 */
static void ask_fill_published(struct ctl *c, struct ctl_proxy *p,
			       int64_t client, const struct msg_ask *ask,
			       clk_ms now, struct msg_answer *a)
{
	const struct state_published_config *d = state_published(c->state);

	a->published_version = d->version;
	if (ask->published_version >= d->version ||
	    (p->config_sent_version == d->version &&
	     p->config_sent_client == client &&
	     now - p->config_sent_ms < CTL_CONFIG_RESEND_MS))
		return;
	p->config_sent_version = d->version;
	p->config_sent_client = client;
	p->config_sent_ms = now;
	a->packed_routes = blob_from_buf(&d->routes);
	a->unpacked_routes_size = d->routes_size;
}

static struct pos_sample *ask_sample(struct ctl *c, const char *group)
{
	struct pos_sample *s =
		id_array_find(c->samples, c->nsamples, sizeof(*s), group);

	if (s)
		return s;
	return id_array_insert((void **)&c->samples, &c->nsamples, sizeof(*s),
			       group);
}

static bool ask_wants(const struct msg_ask *ask, int64_t i)
{
	return (size_t)i / 8 < ask->wanted_groups.len &&
	       (ask->wanted_groups.data[i / 8] >> (i % 8) & 1);
}

/* Sends only the samples that the proxy asked for: the traffic for all groups
 * to all proxies would grow with the square of the deployment's size. */
static void ask_fill_samples(struct ctl *c, const struct msg_ask *ask,
			     struct msg_answer *a)
{
	const struct route_table *r = c->routes;

	if (!r || ask->published_version != r->version)
		return;
	c->answer_samples =
		realloc(c->answer_samples,
			((size_t)r->ngroups + 1) * sizeof(*c->answer_samples));
	if (!c->answer_samples)
		abort();
	a->samples = c->answer_samples;
	for (int64_t i = 0; i < r->ngroups; i++) {
		const struct pos_sample *s;

		if (!ask_wants(ask, i))
			continue;
		s = id_array_find(c->samples, c->nsamples, sizeof(*s),
				  r->groups[i].name);
		if (s)
			c->answer_samples[a->nsamples++] = *s;
	}
}

/* A position can't have been asked for later than now: its time is one of
 * another clock. */
static void ask_log_ahead(const char *proxy, clk_ms ahead_ms)
{
	if (ahead_ms <= 0)
		return;
	cnt_add(CNT_samples_ahead, 1);
	log_info("control", "event=samples_ahead proxy=%s ahead_ms=%lld", proxy,
		 (long long)ahead_ms);
}

/* Passes the positions of primaries from the proxies that use them to the
 * others, which then need not query a primary to learn how fresh a replica must
 * be. */
static void ask_exchange_samples(struct ctl *c, const char *proxy,
				 const struct msg_ask *ask, clk_ms now,
				 struct msg_answer *a)
{
	clk_ms ahead_ms = 0;

	for (int64_t i = 0; i < ask->nsamples; i++) {
		const struct pos_sample *in = &ask->samples[i];
		struct pos_sample *s;

		if (in->sent_at_leader_ms - now > ahead_ms)
			ahead_ms = in->sent_at_leader_ms - now;
		if (!in->group[0] || in->sent_at_leader_ms > now)
			continue;
		s = ask_sample(c, in->group);
		if (in->sent_at_leader_ms > s->sent_at_leader_ms)
			*s = *in;
		pro_on_primary_answer(c->promotion, in->group,
				      in->sent_at_leader_ms);
	}
	ask_log_ahead(proxy, ahead_ms);
	a->leader_clock = now;
	ask_fill_samples(c, ask, a);
}

static void ask_fill_quota(struct ctl *c, const char *proxy,
			   const struct msg_ask *ask, clk_ms now,
			   struct msg_answer *a)
{
	const struct lists *l = state_lists(c->state);
	const struct proxy_info *p;
	size_t n;

	if (!l)
		return;
	p = state_proxies(c->state, &n);
	quota_server_handle_ask(c->quota, proxy, ask, l, p, n, now, a);
}

void ctl_answer_ask(struct ctl *c, int64_t client, const char *proxy,
		    const char *zone, const struct msg_ask *ask, clk_ms now,
		    struct msg *answer)
{
	struct msg_answer *a = &answer->u.answer;
	struct ctl_proxy *p;

	memset(answer, 0, sizeof(*answer));
	answer->type = MSG_ANSWER;
	a->ask_seq = ask->seq;
	if (!ctl_may_act(c, now)) {
		ask_not_leader(c, ask, now, a);
		return;
	}
	p = ctl_update_proxy(c, client, proxy, zone, ask, now);
	ask_take_reports(c, proxy, ask, now);
	a->answer_seq = ++c->last_answer_seq;
	memcpy(a->leader, c->settings->id, ID_LEN);
	a->lease_ms = c->settings->lease_ms;
	pro_on_lease(c->promotion, proxy, ask->view_version, now);
	a->grant_ms = c->settings->grant_ms;
	ask_fill_changing(c, a);
	ask_fill_lists(c, ask, a);
	ask_fill_published(c, p, client, ask, now, a);
	ask_fill_controls(c, a);
	ask_exchange_samples(c, proxy, ask, now, a);
	state_fill_newer_records(c->state, ask->view_version, a);
	ask_fill_quota(c, proxy, ask, now, a);
}

bool ctl_answer_rate_ask(struct ctl *c, int64_t uuid,
			 const struct msg_rate_ask *ask, clk_ms now,
			 struct msg *answer)
{
	struct msg_rate_grant *g = &answer->u.rate_grant;

	memset(answer, 0, sizeof(*answer));
	answer->type = MSG_RATE_GRANT;
	if (c->rates && ctl_may_act(c, now)) {
		cnt_add(CNT_rate_asks, 1);
		return rl_server_handle_ask(c->rates, c->routes, uuid, ask, now,
					    g);
	}
	cnt_add_refusal(RES_NOT_LEADER);
	g->seq = ask->seq;
	g->res = RES_NOT_LEADER;
	return true;
}

/*
 * A pushed answer contains only records and versions. It refers to no ask, so
 * it grants no lease and no quota.
 */
void ctl_push_records(struct ctl *c)
{
	for (size_t i = 0; i < c->nproxies; i++) {
		struct ctl_proxy *p = &c->proxies[i];
		struct ctl_output *o;

		if (!p->client)
			continue;
		o = ctl_queue_output(c, CTL_REPLY);
		o->client = p->client;
		o->msg.type = MSG_ANSWER;
		o->msg.u.answer.published_version =
			state_published(c->state)->version;
		o->known_view_version = p->view_version;
		p->view_version = state_view_version(c->state);
	}
}

static void applied_reply(struct ctl *c, int64_t client, int64_t seq,
			  const struct state_request_result *q)
{
	struct ctl_output *o = ctl_queue_output(c, CTL_REPLY);
	struct msg_applied *a = &o->msg.u.applied;

	o->client = client;
	o->msg.type = MSG_APPLIED;
	o->text = strdup(q->text);
	if (!o->text)
		abort();
	a->seq = seq;
	a->res = q->res;
	a->version = q->version;
	memcpy(a->digest, q->digest, ID_LEN);
	memcpy(a->version_operator, q->version_author, ID_LEN);
	a->version_written_at = q->version_written_ms;
	a->text.data = o->text;
	a->text.len = strlen(o->text);
}

static void applied_refuse(struct ctl *c, int64_t client, int64_t seq,
			   enum res r, const char *text)
{
	struct state_request_result q = {.res = r};
	size_t n;
	const struct state_lists_revision *log =
		state_lists_history(c->state, &n);

	q.text = strdup(text);
	q.version = state_lists_version(c->state);
	if (n) {
		memcpy(q.digest, log[n - 1].digest, ID_LEN);
		memcpy(q.version_author, log[n - 1].author, ID_LEN);
		q.version_written_ms = log[n - 1].accepted_ms;
	}
	cnt_add_refusal(r);
	applied_reply(c, client, seq, &q);
	free(q.text);
}

static bool apply_wait(struct ctl *c, int64_t client, const struct msg_apply *m)
{
	bool pending = false;
	struct ctl_pending_apply *w;

	for (size_t i = 0; i < c->nwaiters; i++)
		pending |= !strcmp(c->waiters[i].request_id, m->request_id);
	c->waiters =
		realloc(c->waiters, (c->nwaiters + 1) * sizeof(*c->waiters));
	if (!c->waiters)
		abort();
	w = &c->waiters[c->nwaiters++];
	w->client = client;
	w->seq = m->seq;
	memcpy(w->request_id, m->request_id, REQUEST_ID_LEN);
	return pending;
}

static bool apply_check(struct ctl *c, int64_t client,
			const struct msg_apply *m)
{
	struct err e = ERR_INIT;
	struct lists *l;

	if (!m->request_id[0] || !m->operator_name[0]) {
		applied_refuse(c, client, m->seq, RES_BAD_LIST,
			       "request id and operator must not be empty");
		return false;
	}
	if (m->lists.len > CTL_MAX_LISTS_BYTES) {
		applied_refuse(c, client, m->seq, RES_TOO_LARGE,
			       res_text(RES_TOO_LARGE));
		return false;
	}
	l = lst_parse(m->lists.data, m->lists.len,
		      state_lists_version(c->state) + 1, &e);
	if (!l) {
		applied_refuse(c, client, m->seq, RES_BAD_LIST, e.text);
		return false;
	}
	lst_unref(l);
	return true;
}

void ctl_apply(struct ctl *c, int64_t client, const struct msg_apply *m,
	       int64_t wall, clk_ms now)
{
	const struct state_request_result *known;
	struct buf cmd = BUF_INIT;

	if (!ctl_may_act(c, now)) {
		applied_refuse(c, client, m->seq, RES_NOT_LEADER,
			       raft_leader(c->raft));
		return;
	}
	known = state_find_request_result(c->state, m->request_id);
	if (known) {
		cnt_add(CNT_cfg_resends, 1);
		applied_reply(c, client, m->seq, known);
		return;
	}
	if (!apply_check(c, client, m) || apply_wait(c, client, m))
		return;
	state_cmd_apply(&cmd, m, wall);
	ctl_propose(c, &cmd);
}

static void applied_log(const struct state_request_result *q)
{
	if (q->res == RES_OK)
		log_info("control",
			 "event=config_accepted version=%lld by=%s digest=%s",
			 (long long)q->version, q->version_author, q->digest);
	else
		log_info("control", "event=config_refused result=%s request=%s",
			 res_name(q->res), q->id);
}

void ctl_applied(struct ctl *c, const struct state_request_result *q)
{
	size_t kept = 0;

	if (c->leading) {
		applied_log(q);
		if (q->res == RES_CONFLICT)
			cnt_add(CNT_cfg_conflicts, 1);
	}
	for (size_t i = 0; i < c->nwaiters; i++) {
		struct ctl_pending_apply w = c->waiters[i];

		if (strcmp(w.request_id, q->id) != 0)
			c->waiters[kept++] = w;
		else
			applied_reply(c, w.client, w.seq, q);
	}
	c->nwaiters = kept;
}

/* The proxy then repeats the request, with the same id, to the next leader. */
void ctl_refuse_waiters(struct ctl *c)
{
	for (size_t i = 0; i < c->nwaiters; i++)
		applied_refuse(c, c->waiters[i].client, c->waiters[i].seq,
			       RES_NOT_LEADER, "");
	c->nwaiters = 0;
}

void ctl_on_client_closed(struct ctl *c, int64_t client)
{
	size_t kept = 0;

	for (size_t i = 0; i < c->nproxies; i++)
		if (c->proxies[i].client == client)
			c->proxies[i].client = 0;
	for (size_t i = 0; i < c->nwaiters; i++)
		if (c->waiters[i].client != client)
			c->waiters[kept++] = c->waiters[i];
	c->nwaiters = kept;
}
