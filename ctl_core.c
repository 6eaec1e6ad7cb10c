#include "ctl_priv.h"

#include "counter.h"
#include "log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct ctl *ctl_new(const struct settings *set, int64_t uuid, struct rng *rng,
		    clk_ms now)
{
	struct fo_config fo = {.lease_ms = set->lease_ms,
			       .max_majority_age_ms = set->suspect_ms};
	struct raft_config rc = {
		.uuid = uuid,
		.election_min_ms = set->election_min_ms,
		.heartbeat_ms = set->heartbeat_ms,
		.refuse_votes_after_start = !set->controls_from_seeds,
		.replace_ms = set->controls_from_seeds ? set->replace_ms : 0,
		.rng = rng};
	struct ctl *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	memcpy(rc.id, set->id, ID_LEN);
	c->settings = set;
	c->uuid = uuid;
	c->raft = raft_new(&rc, now);
	c->state = state_new();
	c->failover = fo_new(&fo, c->state);
	c->quota = quota_server_new(set->grant_ms);
	c->promotion = pro_new(c->state);
	if (set->rate_window_ms)
		c->rates = rl_server_new(
			&(struct rl_config){.window_ms = set->rate_window_ms,
					    .excess = set->rate_excess,
					    .slack = set->rate_slack});
	/* A voter may restart and vote for another leader while the old one
	 * still counts its answer. */
	if (set->controls_from_seeds)
		pro_use_leases(c->promotion,
			       set->promoter_deposes ? PRO_LEASED_SYNC
						     : PRO_LEASED_ALL,
			       set->lease_ms, set->election_min_ms);
	c->next_bootstrap_ms = now;
	return c;
}

static void ctl_free_out(struct ctl_output *o)
{
	free(o->text);
	free(o->cells);
	free(o->names);
}

void ctl_free(struct ctl *c)
{
	if (!c)
		return;
	for (size_t i = c->outputs_taken ? c->outputs_taken - 1 : 0;
	     i < c->noutputs; i++)
		ctl_free_out(&c->outputs[i]);
	ctl_registry_clear(c);
	free(c->outputs);
	free(c->waiters);
	free(c->changing_groups);
	free(c->answer_members);
	free(c->tickets);
	free(c->samples);
	free(c->answer_samples);
	rt_unref(c->routes);
	pro_free(c->promotion);
	quota_server_free(c->quota);
	rl_server_free(c->rates);
	fo_free(c->failover);
	state_free(c->state);
	raft_free(c->raft);
	free(c);
}

struct raft *ctl_raft(struct ctl *c)
{
	return c->raft;
}

const struct state *ctl_state(const struct ctl *c)
{
	return c->state;
}

bool ctl_may_act(const struct ctl *c, clk_ms now)
{
	return c->leading && raft_has_leader_lease(c->raft, now);
}

struct ctl_output *ctl_queue_output(struct ctl *c, enum ctl_action_type type)
{
	struct ctl_output *o;

	c->outputs =
		realloc(c->outputs, (c->noutputs + 1) * sizeof(*c->outputs));
	if (!c->outputs)
		abort();
	o = &c->outputs[c->noutputs++];
	memset(o, 0, sizeof(*o));
	o->type = type;
	return o;
}

int64_t ctl_propose(struct ctl *c, struct buf *cmd)
{
	int64_t index = raft_propose(c->raft, buf_data(cmd), buf_len(cmd));

	buf_free(cmd);
	c->unsent_proposals = true;
	return index;
}

struct name_entry *ctl_member_names(const struct ctl *c, int64_t *n)
{
	const struct raft_members *m = raft_voters(c->raft);
	struct name_entry *names = calloc((size_t)m->n + 1, sizeof(*names));

	if (!names)
		abort();
	for (int i = 0; i < m->n; i++)
		memcpy(names[i].text, m->list[i].id, ID_LEN);
	*n = m->n;
	return names;
}

static void ctl_keep_link(struct ctl *c, const char *id)
{
	struct ctl_output *o;

	if (!c->settings->controls_from_seeds || !strcmp(id, c->settings->id))
		return;
	o = ctl_queue_output(c, CTL_KEEP_LINK);
	snprintf(o->to, ID_LEN, "%s", id);
}

static void ctl_keep_member_links(struct ctl *c)
{
	const struct raft_members *m = raft_voters(c->raft);

	for (int i = 0; i < m->n; i++)
		ctl_keep_link(c, m->list[i].id);
}

void ctl_on_peer_linked(struct ctl *c, const char *id, int64_t uuid, clk_ms now)
{
	if (c->settings->controls_from_seeds) {
		ctl_keep_link(c, id);
		raft_register_peer(c->raft, id, uuid, now);
		return;
	}
	for (int64_t i = 0; i < c->settings->ncontrols; i++)
		if (!strcmp(c->settings->controls[i].id, id))
			raft_register_peer(c->raft, id, uuid, now);
}

/* Aborts if actions were not fetched: they may point to log entries that the
 * next event frees, and would send or store garbage. */
static void ctl_check_actions_taken(const struct ctl *c)
{
	if (!raft_has_actions(c->raft))
		return;
	log_error("control", "event=actions_not_taken");
	abort();
}

void ctl_receive(struct ctl *c, const char *from, const struct msg *m,
		 clk_ms now)
{
	ctl_check_actions_taken(c);
	if (m->type == MSG_FORM || m->type == MSG_FORMED) {
		ctl_on_bootstrap_message(c, from, m, now);
		for (int64_t i = 0;
		     m->type == MSG_FORMED && i < m->u.formed.ncontrols; i++)
			ctl_keep_link(c, m->u.formed.controls[i].text);
	} else
		raft_receive(c->raft, from, m, now);
}

void ctl_on_failover_reply(struct ctl *c, const struct fo_answer *a, clk_ms now)
{
	if (ctl_may_act(c, now))
		fo_on_answer(c->failover, a, now);
}

/* Loads the published configuration and passes its settings for changes of
 * primary on. */
static void ctl_load_routes(struct ctl *c)
{
	const struct state_published_config *d = state_published(c->state);
	struct blob packed = blob_from_buf(&d->routes);
	struct err e = ERR_INIT;
	struct route_table *r;

	if (!d->version)
		return;
	r = rt_decode(&packed, d->routes_size, &e);
	if (!r) {
		log_error("control",
			  "event=routes_damaged version=%lld error=\"%s\"",
			  (long long)d->version, e.text);
		return;
	}
	for (int64_t i = 0; i < r->ngroups; i++)
		pro_set_sync_replicas(c->promotion, r->groups[i].name,
				      r->groups[i].sync_replicas);
	rt_unref(c->routes);
	c->routes = r;
}

void ctl_on_backend_status(struct ctl *c, int64_t number,
			   const struct pro_status *s, clk_ms now)
{
	if (!ctl_may_act(c, now))
		return;
	pro_on_lease_support(c->promotion, raft_voter_back_at(c->raft));
	pro_on_status(c->promotion, number, s, now);
}

void ctl_on_promoter_reply(struct ctl *c, int64_t number, int status,
			   clk_ms now)
{
	if (ctl_may_act(c, now))
		pro_on_promoter_reply(c->promotion, number, status, now);
}

static void ctl_start_leading(struct ctl *c, clk_ms now)
{
	c->leading = true;
	/* Those from an earlier term as leader are older than what proxies
	 * report now. */
	c->nsamples = 0;
	c->leader_since_ms = raft_leader_since(c->raft);
	c->last_answer_seq = raft_term(c->raft) << 32;
	ctl_registry_start(c, now);
	quota_server_start_term(c->quota, c->leader_since_ms);
	if (c->rates)
		rl_server_start_term(c->rates, c->leader_since_ms);
	if (c->settings->controls_from_seeds)
		pro_start_leading(c->promotion, raft_term(c->raft), now);
	else
		fo_start_leading(c->failover, c->leader_since_ms, now);
	log_info("control", "event=leading term=%lld",
		 (long long)raft_term(c->raft));
}

static void ctl_stop_leading(struct ctl *c)
{
	if (!c->leading)
		return;
	c->leading = false;
	fo_stop_leading(c->failover);
	pro_stop_leading(c->promotion);
	ctl_refuse_waiters(c);
	log_info("control", "event=not_leading term=%lld",
		 (long long)raft_term(c->raft));
}

static void ctl_on_role(struct ctl *c)
{
	enum raft_role role = raft_role(c->raft);

	if (role != RAFT_LEADER)
		ctl_stop_leading(c);
	if (role == RAFT_CANDIDATE && c->last_role != role) {
		cnt_add(CNT_elections, 1);
		log_info("control", "event=election term=%lld",
			 (long long)raft_term(c->raft));
	}
	if (raft_leader(c->raft)[0]) {
		cnt_add(CNT_leader_changes, 1);
		log_info("control", "event=leader id=%s term=%lld",
			 raft_leader(c->raft), (long long)raft_term(c->raft));
	}
	c->last_role = role;
}

static bool ctl_groups_changed(const struct ctl *c, int64_t since)
{
	size_t n;
	const struct group_info *g = state_groups(c->state, &n);

	for (size_t i = 0; i < n; i++)
		if (g[i].version > since)
			return true;
	return false;
}

/* Proxies of a seeded cluster hold no lease that would expire, so every change
 * of the view or of the published configuration is pushed to them. */
static bool ctl_view_or_config_changed(const struct ctl *c, int64_t view,
				       int64_t doc)
{
	return state_view_version(c->state) > view ||
	       state_published(c->state)->version > doc;
}

/* Logs a committed membership change. The current members are its result, since
 * only one change is made at a time. */
static void ctl_log_members(const struct ctl *c)
{
	const struct raft_members *m = raft_voters(c->raft);
	const char *last = m->n ? m->list[m->n - 1].id : "";

	if (m->n == c->settings->ncontrols)
		log_info("control", "event=member_added id=%s voters=%d", last,
			 m->n);
	else
		log_info("control", "event=members_changed voters=%d", m->n);
}

static void ctl_apply_entry(struct ctl *c, const struct raft_entry *entry,
			    clk_ms now)
{
	const struct state_request_result *done = NULL;
	int64_t view = state_view_version(c->state);
	int64_t doc = state_published(c->state)->version;
	struct err e = ERR_INIT;

	c->applied_bytes += entry->data.len;
	c->applied_index = entry->index;
	/* The first entry is written by the bootstrap. */
	if (entry->kind == RAFT_MEMBERS && entry->index > 1)
		ctl_log_members(c);
	if (entry->kind == RAFT_MEMBERS)
		ctl_keep_member_links(c);
	if (entry->kind == RAFT_COMMAND &&
	    state_apply(c->state, &entry->data, &done, &e))
		log_error("control", "event=bad_entry index=%lld error=\"%s\"",
			  (long long)entry->index, e.text);
	if (done)
		ctl_applied(c, done);
	if (state_published(c->state)->version != doc)
		ctl_load_routes(c);
	if (raft_role(c->raft) == RAFT_LEADER && !c->leading &&
	    entry->term == raft_term(c->raft))
		ctl_start_leading(c, now);
	else if (c->leading && !c->settings->controls_from_seeds)
		fo_tick(c->failover, now);
	if (c->leading && (c->settings->controls_from_seeds
				   ? ctl_view_or_config_changed(c, view, doc)
				   : ctl_groups_changed(c, view)))
		c->push_pending = true;
}

static void ctl_restore(struct ctl *c, const struct blob *data)
{
	struct err e = ERR_INIT;

	c->applied_bytes = 0;
	c->applied_index = raft_snapshot_index(c->raft);
	ctl_keep_member_links(c);
	if (!data->len)
		return;
	/* The snapshot passed its checksum, so this can only fail if another
	 * version wrote it in a newer format. Continuing would make this state
	 * diverge from that of the other instances. */
	if (state_decode(c->state, data, &e)) {
		log_error("control", "event=bad_snapshot error=\"%s\"", e.text);
		abort();
	}
	ctl_load_routes(c);
}

/* Executes one action of the log; returns true if the daemon must do it, with
 * the action in a. */
static bool ctl_handle_raft(struct ctl *c, const struct raft_action *r,
			    struct ctl_action *a, clk_ms now)
{
	switch (r->type) {
	case RAFT_ACTION_SAVE_HARD_STATE:
		a->type = CTL_SAVE_HARD_STATE;
		break;
	case RAFT_ACTION_STORE_ENTRY:
		a->type = CTL_STORE_ENTRY;
		break;
	case RAFT_ACTION_SAVE_SNAPSHOT:
		a->type = CTL_SAVE_SNAPSHOT;
		break;
	case RAFT_ACTION_SEND:
		a->type = CTL_SEND;
		memcpy(a->to, r->to, ID_LEN);
		a->msg = r->msg;
		break;
	case RAFT_ACTION_APPLY:
		ctl_apply_entry(c, r->entry, now);
		return false;
	case RAFT_ACTION_RESTORE_STATE:
		ctl_restore(c, &r->data);
		return false;
	case RAFT_ACTION_ROLE_CHANGED:
		ctl_on_role(c);
		return false;
	}
	a->raft = *r;
	return true;
}

static bool ctl_next_output(struct ctl *c, struct ctl_action *a)
{
	struct ctl_output *o;

	if (c->outputs_taken > 0)
		ctl_free_out(&c->outputs[c->outputs_taken - 1]);
	if (c->outputs_taken == c->noutputs) {
		c->outputs_taken = 0;
		c->noutputs = 0;
		return false;
	}
	o = &c->outputs[c->outputs_taken++];
	a->type = o->type;
	memcpy(a->to, o->to, ID_LEN);
	a->link_or_ticket = o->client;
	a->msg = o->msg;
	a->res = o->res;
	if (a->msg.type == MSG_ANSWER)
		state_fill_newer_records(c->state, o->known_view_version,
					 &a->msg.u.answer);
	return true;
}

/* Records a change of primary that failover.h made; returns true if the action
 * is another one, which the daemon must execute. */
static bool ctl_handle_failover(struct ctl *c, struct fo_action *f,
				struct ctl_action *a)
{
	struct buf cmd = BUF_INIT;

	if (f->type != FO_COMMIT) {
		a->type = CTL_FAILOVER_CALL;
		a->call = *f;
		return true;
	}
	state_cmd_group(&cmd, &f->record);
	ctl_propose(c, &cmd);
	return false;
}

/* Records a primary that promote.h found; returns true if the action is another
 * one, which the daemon must execute. */
static bool ctl_handle_promotion(struct ctl *c, struct ctl_action *a)
{
	struct group_info g = {0};
	struct group_orders orders = {0};
	struct buf cmd = BUF_INIT;

	memcpy(g.name, a->promoter.group, ID_LEN);
	memcpy(g.late_call, a->promoter.late_call, ID_LEN);
	switch (a->promoter.type) {
	case PRO_RECORD_ENDED:
		state_cmd_ended_log(&cmd, &a->promoter.ended_log);
		ctl_propose(c, &cmd);
		return false;
	case PRO_RECORD_ORDERS:
		memcpy(orders.id, a->promoter.group, ID_LEN);
		orders.stage = a->promoter.stage;
		state_cmd_orders(&cmd, &orders);
		ctl_propose(c, &cmd);
		return false;
	case PRO_RECORD_PRIMARY:
		g.term = a->promoter.term;
		g.member_term = a->promoter.member_term;
		g.member_term_start = a->promoter.member_term_start;
		memcpy(g.primary, a->promoter.member, ID_LEN);
		break;
	case PRO_RECORD_CHANGE:
		g.changing_primary = true;
		g.change_term = a->promoter.term;
		memcpy(g.candidate, a->promoter.member, ID_LEN);
		break;
	case PRO_GET_STATUS:
	case PRO_STEP_DOWN:
	case PRO_RESUME:
	case PRO_CALL_PROMOTER:
		a->type = CTL_PROMOTION_CALL;
		return true;
	}
	state_cmd_group(&cmd, &g);
	ctl_propose(c, &cmd);
	return false;
}

bool ctl_next_action(struct ctl *c, struct ctl_action *a, clk_ms now)
{
	struct raft_action r;
	struct fo_action f;

	memset(a, 0, sizeof(*a));
	for (;;) {
		if (raft_next_action(c->raft, &r)) {
			if (ctl_handle_raft(c, &r, a, now))
				return true;
			continue;
		}
		if (ctl_next_output(c, a))
			return true;
		if (pro_next_action(c->promotion, &a->promoter)) {
			if (ctl_handle_promotion(c, a))
				return true;
			continue;
		}
		if (fo_next_action(c->failover, &f)) {
			if (ctl_handle_failover(c, &f, a))
				return true;
			continue;
		}
		/* Last, so that all proposals are sent together. */
		if (c->unsent_proposals) {
			c->unsent_proposals = false;
			raft_send_proposals(c->raft, now);
			continue;
		}
		ctl_finish_tickets(c, now);
		if (!c->noutputs)
			return false;
	}
}

static void ctl_compact(struct ctl *c)
{
	int64_t n = raft_commit_index(c->raft) - raft_snapshot_index(c->raft);
	struct buf b = BUF_INIT;

	if (n < CTL_COMPACT_ENTRIES && c->applied_bytes < CTL_COMPACT_BYTES)
		return;
	state_encode(c->state, &b);
	raft_compact(c->raft, buf_data(&b), buf_len(&b));
	buf_free(&b);
	c->applied_bytes = 0;
}

void ctl_tick(struct ctl *c, clk_ms now)
{
	ctl_check_actions_taken(c);
	/* First, because no queued action points to log entries yet. */
	ctl_compact(c);
	ctl_bootstrap_tick(c, now);
	raft_tick(c->raft, now);
	if (c->push_pending && c->leading)
		ctl_push_records(c);
	c->push_pending = false;
	if (ctl_may_act(c, now)) {
		ctl_registry_tick(c, now);
		pro_on_lease_support(c->promotion, raft_voter_back_at(c->raft));
		if (c->settings->controls_from_seeds)
			pro_tick(c->promotion, now);
		else
			fo_tick(c->failover, now);
	}
}

bool ctl_transfer_leadership(struct ctl *c, clk_ms now)
{
	bool led = raft_role(c->raft) == RAFT_LEADER;

	raft_transfer_leadership(c->raft, now);
	return led;
}
