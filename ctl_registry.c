#include "ctl_priv.h"

#include "counter.h"
#include "log.h"
#include "id_array.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static struct ctl_proxy *ctl_find_or_add_proxy(struct ctl *c, const char *id,
					       clk_ms now)
{
	struct ctl_proxy *p =
		id_array_find(c->proxies, c->nproxies, sizeof(*p), id);

	if (p)
		return p;
	p = id_array_insert((void **)&c->proxies, &c->nproxies, sizeof(*p), id);
	p->last_heard_ms = now;
	return p;
}

struct ctl_backend *ctl_find_or_add_backend(struct ctl *c, const char *id,
					    clk_ms now)
{
	const struct backend_info *have = state_backend(c->state, id);
	struct ctl_backend *b =
		id_array_find(c->backends, c->nbackends, sizeof(*b), id);

	if (b)
		return b;
	b = id_array_insert((void **)&c->backends, &c->nbackends, sizeof(*b),
			    id);
	b->last_heard_ms = now;
	b->accepted_ms = now;
	if (have)
		b->incarnation = have->incarnation;
	return b;
}

void ctl_assign_addr(struct ctl *c, const struct backend_info *b)
{
	struct ctl_addr *a;

	HASH_FIND_STR(c->newest_at_addr, b->addr, a);
	if (!a) {
		a = calloc(1, sizeof(*a));
		if (!a)
			abort();
		memcpy(a->addr, b->addr, ADDR_LEN);
		HASH_ADD_STR(c->newest_at_addr, addr, a);
	}
	memcpy(a->id, b->id, ID_LEN);
	a->incarnation = b->incarnation;
}

void ctl_record_addr(struct ctl *c, const struct backend_info *b)
{
	const struct ctl_addr *a;

	HASH_FIND_STR(c->newest_at_addr, b->addr, a);
	if (!a || b->incarnation >= a->incarnation)
		ctl_assign_addr(c, b);
}

const char *ctl_replaced_by(const struct ctl *c, const struct backend_info *b)
{
	const struct ctl_addr *a;

	HASH_FIND_STR(c->newest_at_addr, b->addr, a);
	return a && a->incarnation > b->incarnation && strcmp(a->id, b->id) != 0
		       ? a->id
		       : NULL;
}

static void ctl_free_addrs(struct ctl *c)
{
	struct ctl_addr *a;
	struct ctl_addr *next;

	for (a = c->newest_at_addr; a; a = next) {
		next = a->hh.next;
		HASH_DEL(c->newest_at_addr, a);
		free(a);
	}
}

void ctl_registry_clear(struct ctl *c)
{
	ctl_free_addrs(c);
	free(c->proxies);
	free(c->backends);
	c->proxies = NULL;
	c->nproxies = 0;
	c->backends = NULL;
	c->nbackends = 0;
}

/* A new leader treats every recorded proxy and backend as just heard from. */
void ctl_registry_start(struct ctl *c, clk_ms now)
{
	const struct proxy_info *p;
	const struct backend_info *b;
	size_t n;

	ctl_registry_clear(c);
	p = state_proxies(c->state, &n);
	for (size_t i = 0; i < n; i++)
		ctl_find_or_add_proxy(c, p[i].id, now);
	b = state_backends(c->state, &n);
	for (size_t i = 0; i < n; i++) {
		ctl_find_or_add_backend(c, b[i].id, now);
		ctl_record_addr(c, &b[i]);
	}
}

static void ctl_propose_proxy(struct ctl *c, struct ctl_proxy *p,
			      const struct proxy_info *want, clk_ms now)
{
	const struct proxy_info *have = state_proxy(c->state, p->id);
	struct buf cmd = BUF_INIT;

	if (have && state_same_proxy(have, want))
		return;
	if (p->proposed.id[0] && state_same_proxy(&p->proposed, want) &&
	    now - p->proposed_ms < CTL_REPROPOSE_MS)
		return;
	p->proposed = *want;
	p->proposed_ms = now;
	state_cmd_proxy(&cmd, want);
	ctl_propose(c, &cmd);
}

/* Returns the index of the entry that records the backend; 0 if it is recorded
 * already. */
static int64_t ctl_propose_backend(struct ctl *c, struct ctl_backend *b,
				   const struct backend_info *want, clk_ms now)
{
	const struct backend_info *have = state_backend(c->state, b->id);
	struct buf cmd = BUF_INIT;

	if (have && state_same_backend(have, want))
		return 0;
	if (b->proposed.id[0] && state_same_backend(&b->proposed, want) &&
	    now - b->proposed_ms < CTL_REPROPOSE_MS)
		return b->proposed_index;
	b->proposed = *want;
	b->proposed_ms = now;
	log_info("control",
		 "event=backend id=%s group=%s addr=%s primary=%d leaving=%d "
		 "silent=%d incarnation=%lld",
		 want->id, want->group, want->addr, want->announced_primary,
		 want->leaving, want->announcements_stopped,
		 (long long)want->incarnation);
	state_cmd_backend(&cmd, want);
	b->proposed_index = ctl_propose(c, &cmd);
	return b->proposed_index;
}

struct ctl_proxy *ctl_update_proxy(struct ctl *c, int64_t client,
				   const char *id, const char *zone,
				   const struct msg_ask *ask, clk_ms now)
{
	struct ctl_proxy *p = ctl_find_or_add_proxy(c, id, now);
	struct proxy_info want = {.alive = !ask->stopping};

	/* Records that were pushed on the same link since the proxy sent this
	 * ask are still on their way, so the higher version stays. */
	if (p->client != client || ask->view_version > p->view_version)
		p->view_version = ask->view_version;
	p->client = client;
	p->last_heard_ms = now;
	p->cfg_version = ask->known_lists_version;
	memcpy(p->cfg_digest, ask->lists_digest, ID_LEN);
	snprintf(want.id, ID_LEN, "%s", id);
	snprintf(want.zone, ID_LEN, "%s", zone);
	memcpy(want.addr, ask->addr, ADDR_LEN);
	if (want.addr[0])
		ctl_propose_proxy(c, p, &want, now);
	return p;
}

int64_t ctl_update_backend(struct ctl *c, const struct backend_info *info,
			   bool goes_on, clk_ms now)
{
	const struct backend_info *have = state_backend(c->state, info->id);
	struct backend_info want = *info;
	struct ctl_backend *b;

	if (!info->id[0] || !info->group[0] || !info->addr[0])
		return 0;
	b = ctl_find_or_add_backend(c, info->id, now);
	b->last_heard_ms = now;
	want.announcements_stopped = false;
	want.version = 0;
	/* An announcement that was sent before the backend announced its
	 * leaving does not undo that; one after a restart does. */
	if (have && have->leaving && !goes_on &&
	    have->incarnation == info->incarnation)
		want.leaving = true;
	if (!have)
		cnt_add(CNT_backends_announced, 1);
	return ctl_propose_backend(c, b, &want, now);
}

int64_t ctl_propose_removal(struct ctl *c, const char *id, clk_ms now)
{
	const struct backend_info *have = state_backend(c->state, id);
	struct backend_info want = *have;

	log_info("control", "event=backend_left id=%s group=%s", id,
		 have->group);
	want.addr[0] = '\0';
	/* Backends that crash don't say so: it has ended as planned, and its
	 * log moves to its successor. */
	want.leaving = true;
	want.announcements_stopped = false;
	return ctl_propose_backend(c, ctl_find_or_add_backend(c, id, now),
				   &want, now);
}

static void ctl_check_proxy(struct ctl *c, const struct proxy_info *have,
			    clk_ms now)
{
	struct ctl_proxy *p = ctl_find_or_add_proxy(c, have->id, now);
	struct proxy_info want = *have;
	clk_ms silent = now - p->last_heard_ms;

	if (silent >= CTL_REMOVE_UNRESPONSIVE_MS)
		want.addr[0] = '\0';
	else if (silent >= CTL_PROXY_TIMEOUT_MS && have->alive)
		want.alive = false;
	else
		return;
	log_info("control", "event=proxy_silent id=%s silent_ms=%lld", have->id,
		 (long long)silent);
	ctl_propose_proxy(c, p, &want, now);
}

static void ctl_check_backend(struct ctl *c, const struct backend_info *have,
			      clk_ms now)
{
	struct ctl_backend *b = ctl_find_or_add_backend(c, have->id, now);
	clk_ms gone = have->leaving ? CTL_REMOVE_LEAVING_MS
				    : CTL_REMOVE_UNRESPONSIVE_MS;
	const struct group_info *g = state_group(c->state, have->group);
	struct backend_info want = *have;
	clk_ms silent = now - b->last_heard_ms;

	if (silent >= gone && !(g && !strcmp(g->primary, have->id)))
		want.addr[0] = '\0';
	else if (silent >= c->settings->silent_ms &&
		 !have->announcements_stopped)
		want.announcements_stopped = true;
	else
		return;
	if (want.announcements_stopped &&
	    now - b->proposed_ms >= CTL_REPROPOSE_MS) {
		cnt_add(CNT_backends_silenced, 1);
		log_info("control", "event=backend_silent id=%s silent_ms=%lld",
			 have->id, (long long)silent);
	}
	ctl_propose_backend(c, b, &want, now);
}

/* Where control changes primaries itself, a majority of the members answers for
 * the logs of those that were removed, so their records are not needed. */
static void ctl_forget_ended_log(struct ctl *c)
{
	size_t n;
	const struct ended_log *l = state_ended_logs(c->state, &n);
	struct ended_log gone;
	struct buf cmd = BUF_INIT;

	if (!n || c->settings->controls_from_seeds)
		return;
	gone = l[0];
	gone.addr[0] = '\0';
	state_cmd_ended_log(&cmd, &gone);
	ctl_propose(c, &cmd);
}

void ctl_registry_tick(struct ctl *c, clk_ms now)
{
	const struct backend_info *b;
	const struct proxy_info *p;
	size_t n;

	if (now < c->next_liveness_ms)
		return;
	c->next_liveness_ms = now + CTL_LIVENESS_CHECK_MS;
	p = state_proxies(c->state, &n);
	for (size_t i = 0; i < n; i++)
		ctl_check_proxy(c, &p[i], now);
	b = state_backends(c->state, &n);
	for (size_t i = 0; i < n; i++)
		ctl_check_backend(c, &b[i], now);
	ctl_forget_ended_log(c);
}
