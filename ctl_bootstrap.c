#include "ctl_priv.h"

#include "log.h"

#include <stdio.h>
#include <string.h>

/*
 * Bootstrap of a new cluster. Every instance whose data folder is empty asks
 * the other ones with MSG_FORM whether theirs is empty too, and they answer
 * with MSG_FORMED. Once all of them have answered yes within
 * CTL_BOOTSTRAP_REPLY_VALID_MS, the one with the lowest id writes the first log
 * entry, which lists the members. If any of them holds data, it answers no and
 * no cluster is created; an instance that lost its data then joins the existing
 * cluster as a learner. In a seeded cluster, only an instance with the setting
 * "bootstrap" that is one of the seeds may write the first entry.
 */

static bool bootstrap_is_lowest_id(const struct ctl *c)
{
	bool listed = !c->settings->controls_from_seeds;

	if (c->settings->controls_from_seeds && !c->settings->bootstrap)
		return false;
	for (int64_t i = 0; i < c->settings->ncontrols; i++)
		listed |= !strcmp(c->settings->controls[i].id, c->settings->id);
	if (!listed)
		return false;
	for (int64_t i = 0; i < c->settings->ncontrols; i++)
		if (strcmp(c->settings->controls[i].id, c->settings->id) < 0)
			return false;
	return true;
}

static bool bootstrap_collect(const struct ctl *c, struct raft_members *m,
			      clk_ms now)
{
	memset(m, 0, sizeof(*m));
	for (int64_t i = 0; i < c->settings->ncontrols; i++) {
		const struct settings_control *x = &c->settings->controls[i];
		bool self = !strcmp(x->id, c->settings->id);

		if (!self && (!c->empty_peers[i].uuid ||
			      now - c->empty_peers[i].answered_ms >
				      CTL_BOOTSTRAP_REPLY_VALID_MS))
			return false;
		memcpy(m->list[m->n].id, x->id, ID_LEN);
		m->list[m->n].uuid = self ? c->uuid : c->empty_peers[i].uuid;
		m->n++;
	}
	return true;
}

static void bootstrap_ask_peers(struct ctl *c)
{
	for (int64_t i = 0; i < c->settings->ncontrols; i++) {
		const char *id = c->settings->controls[i].id;
		struct ctl_output *o;

		if (!strcmp(id, c->settings->id))
			continue;
		o = ctl_queue_output(c, CTL_SEND);
		memcpy(o->to, id, ID_LEN);
		o->msg.type = MSG_FORM;
		o->msg.u.form.uuid = c->uuid;
		o->msg.u.form.data_dir_empty = true;
	}
}

void ctl_bootstrap_tick(struct ctl *c, clk_ms now)
{
	struct raft_members m;

	if (!raft_is_empty(c->raft) || now < c->next_bootstrap_ms)
		return;
	c->next_bootstrap_ms = now + CTL_BOOTSTRAP_ASK_MS;
	if (bootstrap_is_lowest_id(c) && bootstrap_collect(c, &m, now)) {
		log_info("control", "event=formed members=%d", m.n);
		raft_bootstrap(c->raft, &m, now);
		return;
	}
	bootstrap_ask_peers(c);
}

void ctl_on_bootstrap_message(struct ctl *c, const char *from,
			      const struct msg *m, clk_ms now)
{
	struct ctl_output *o;

	if (m->type == MSG_FORM) {
		o = ctl_queue_output(c, CTL_SEND);
		snprintf(o->to, ID_LEN, "%s", from);
		o->msg.type = MSG_FORMED;
		o->msg.u.formed.uuid = c->uuid;
		o->msg.u.formed.data_dir_empty = raft_is_empty(c->raft);
		if (c->settings->controls_from_seeds) {
			o->names =
				ctl_member_names(c, &o->msg.u.formed.ncontrols);
			o->msg.u.formed.controls = o->names;
		}
		return;
	}
	for (int64_t i = 0; i < c->settings->ncontrols; i++) {
		if (strcmp(c->settings->controls[i].id, from) != 0)
			continue;
		c->empty_peers[i].uuid =
			m->u.formed.data_dir_empty ? m->u.formed.uuid : 0;
		c->empty_peers[i].answered_ms = now;
	}
}
