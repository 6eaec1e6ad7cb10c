#include "uplink_priv.h"

#include "counter.h"
#include "lease.h"
#include "link.h"
#include "log.h"
#include "route_table.h"
#include "view.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The leader's time at a local time, or an earlier one. */
static int64_t upl_leader_time(const struct upl_clock_reading *c, clk_ms local)
{
	return c->leader_time + (local - c->local_time);
}

/* Reports times only to the instance whose clock they are translated to: read
 * as times of another clock, they would make positions look younger. */
void upl_collect_samples(struct uplink *u, int control, struct msg_ask *ask)
{
	int64_t n;

	if (!u->cfg.collect_samples)
		return;
	ask->samples = calloc(UPL_MAX_SAMPLES, sizeof(*ask->samples));
	if (!ask->samples)
		abort();
	n = u->cfg.collect_samples(u->cfg.arg, ask->samples, UPL_MAX_SAMPLES);
	u->samples_withheld = n && u->clock.control != control;
	for (int64_t i = 0; i < n && !u->samples_withheld; i++) {
		struct pos_sample s = ask->samples[i];

		s.sent_at_leader_ms =
			upl_leader_time(&u->clock, s.sent_at_leader_ms);
		if (s.sent_at_leader_ms > 0)
			ask->samples[ask->nsamples++] = s;
	}
}

static void upl_read_clock(struct uplink *u, int control,
			   const struct msg_answer *a)
{
	clk_ms now = clk_now();

	if (u->clock.control != control)
		log_info("uplink", "event=leader_clock leader=%s ahead_ms=%lld",
			 a->leader, (long long)(a->leader_clock - now));
	u->clock = (struct upl_clock_reading){.control = control,
					      .local_time = now,
					      .leader_time = a->leader_clock};
	if (u->samples_withheld)
		uplink_report_soon(u);
}

void upl_forget_clock(struct uplink *u, int control)
{
	if (u->clock.control == control)
		u->clock.control = UPL_NO_CONTROL;
}

/*
 * Passes the positions of an answer on, with local times. The leader read its
 * clock after the ASK was sent, so what happened at the leader's time t
 * happened, by the local clock, at ask_sent_at - (clock - t) or later.
 */
void upl_apply_samples(struct uplink *u, int control,
		       const struct msg_answer *a, clk_ms ask_sent_at)
{
	if (!u->cfg.on_peer_sample || !a->leader_clock)
		return;
	upl_read_clock(u, control, a);
	for (int64_t i = 0; i < a->nsamples; i++) {
		struct pos_sample s = a->samples[i];

		s.sent_at_leader_ms =
			ask_sent_at - (a->leader_clock - s.sent_at_leader_ms);
		u->cfg.on_peer_sample(u->cfg.arg, &s);
	}
}

void upl_apply_routes(struct uplink *u, const struct msg_answer *a)
{
	struct err e = ERR_INIT;
	struct route_table *r;

	if (!u->cfg.on_new_routes || a->published_version <= u->doc_version ||
	    !a->packed_routes.len)
		return;
	r = rt_decode(&a->packed_routes, a->unpacked_routes_size, &e);
	if (!r) {
		log_error("uplink",
			  "event=config_damaged version=%lld error=\"%s\"",
			  (long long)a->published_version, e.text);
		return;
	}
	u->doc_version = a->published_version;
	cnt_add(CNT_config_applied, 1);
	u->cfg.on_new_routes(u->cfg.arg, r);
	rt_unref(r);
}

void upl_confirm_config(struct uplink *u, const struct msg_answer *a,
			clk_ms ask_sent_at)
{
	if (u->cfg.on_config_confirmed && a->res == RES_OK && a->lease_ms > 0)
		u->cfg.on_config_confirmed(u->cfg.arg, a->published_version,
					   ask_sent_at);
}

static bool upl_is_listed(const struct msg_answer *a, const char *id)
{
	for (int64_t i = 0; i < a->ncontrols; i++)
		if (!strcmp(a->controls[i].text, id))
			return true;
	return false;
}

/*
 * Index for one more control instance: a new one, or else that of an instance
 * which the answer a does not list, whose link is closed. -1 if there is none.
 */
static int upl_get_slot(struct uplink *u, const struct msg_answer *a)
{
	if (u->live_settings.ncontrols < SETTINGS_MAX_CONTROLS) {
		u->live_settings.ncontrols++;
		ask_on_controls_added(u->ask);
		return (int)u->live_settings.ncontrols - 1;
	}
	for (int i = 0; a && i < SETTINGS_MAX_CONTROLS; i++)
		if (!upl_is_listed(a, u->live_settings.controls[i].id)) {
			link_free(u->controls[i].link);
			upl_forget_clock(u, i);
			ask_on_link_down(u->ask, i, clk_now());
			return i;
		}
	return -1;
}

static void upl_add_control(struct uplink *u, const char *id,
			    const struct msg_answer *a)
{
	struct settings_control *c = u->live_settings.controls;
	int slot;

	for (int64_t i = 0; i < u->live_settings.ncontrols; i++)
		if (!strcmp(c[i].id, id))
			return;
	slot = upl_get_slot(u, a);
	if (slot < 0) {
		log_warn("uplink", "event=control_not_linked id=%s", id);
		return;
	}
	snprintf(c[slot].id, ID_LEN, "%s", id);
	settings_control_addr(&u->live_settings, id, c[slot].addr);
	log_info("uplink", "event=control_known id=%s", id);
	upl_open_link(u, slot);
}

/*
 * Opens links to the control instances that an answer lists: their set may
 * change, and seeds in the settings name only some of them.
 */
void upl_apply_controls(struct uplink *u, const struct msg_answer *a)
{
	if (!u->live_settings.controls_from_seeds || !a->ncontrols)
		return;
	for (int64_t i = 0; i < a->ncontrols; i++)
		upl_add_control(u, a->controls[i].text, a);
	for (int64_t i = 0; i < u->live_settings.ncontrols; i++)
		u->controls[i].is_member =
			upl_is_listed(a, u->live_settings.controls[i].id);
}

static clk_ms upl_majority_supports_until(const struct uplink *u)
{
	struct lse_supporter list[SETTINGS_MAX_CONTROLS];
	int n = (int)u->live_settings.ncontrols;

	for (int i = 0; i < n; i++)
		list[i] = (struct lse_supporter){
			.voter = u->controls[i].is_member,
			.supports_until = u->controls[i].supports_until};
	return lse_majority_supports_until(list, n);
}

void upl_take_support(struct uplink *u, int control, const struct msg_answer *a,
		      clk_ms ask_sent_at)
{
	struct msg_answer records = *a;

	records.res = RES_OK;
	records.lease_ms = 0;
	if (view_apply_answer(u->cfg.view, &records, 0))
		u->cfg.on_view_changed(u->cfg.arg);
	u->controls[control].supports_until = ask_sent_at + a->lease_ms;
	view_extend_lease(u->cfg.view, upl_majority_supports_until(u));
	if (u->cfg.on_leader_answer)
		u->cfg.on_leader_answer(u->cfg.arg);
}

void uplink_add_controls(struct uplink *u, const struct settings *set)
{
	for (int64_t i = 0;
	     u->live_settings.controls_from_seeds && i < set->ncontrols; i++)
		upl_add_control(u, set->controls[i].id, NULL);
}
