#include "promote_priv.h"

#include "log.h"
#include "table.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct pro *pro_new(const struct state *state)
{
	struct pro *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	p->state = state;
	return p;
}

void pro_free(struct pro *p)
{
	if (!p)
		return;
	free(p->groups);
	free(p->acts);
	free(p);
}

void pro_stop(struct pro *p)
{
	p->leading = false;
	/* Only what the configuration says of a group is kept. */
	for (size_t i = 0; i < p->ngroups; i++) {
		struct pro_group fresh = {.sync = p->groups[i].sync};

		memcpy(fresh.name, p->groups[i].name, ID_LEN);
		/* A leader before may have left replicas paused. */
		fresh.paused = fresh.sync > 0;
		p->groups[i] = fresh;
	}
	p->nacts = 0;
	p->taken = 0;
	p->scanned = -1;
}

void pro_lead(struct pro *p, int64_t term)
{
	pro_stop(p);
	p->leading = true;
	p->term = term;
	p->calls = 0;
}

struct pro_act *pro_act(struct pro *p, const struct pro_group *g,
			enum pro_act_type type)
{
	struct pro_act *a;

	p->acts = realloc(p->acts, (p->nacts + 1) * sizeof(*p->acts));
	if (!p->acts)
		abort();
	a = &p->acts[p->nacts++];
	memset(a, 0, sizeof(*a));
	a->type = type;
	a->number = ++p->numbers;
	memcpy(a->group, g->name, ID_LEN);
	return a;
}

bool pro_next(struct pro *p, struct pro_act *a)
{
	if (p->taken == p->nacts) {
		p->nacts = 0;
		p->taken = 0;
		return false;
	}
	*a = p->acts[p->taken++];
	return true;
}

static struct pro_group *pro_group(struct pro *p, const char *name)
{
	struct pro_group *g = tab_find(p->groups, p->ngroups, sizeof(*g), name);

	if (!g)
		g = tab_insert((void **)&p->groups, &p->ngroups, sizeof(*g),
			       name);
	return g;
}

void pro_set_sync(struct pro *p, const char *group, int64_t replicas)
{
	struct pro_group *g = pro_group(p, group);

	if (replicas > 0 && !g->sync)
		g->paused = true;
	g->sync = replicas;
}

struct pro_member *pro_member(struct pro_group *g, const char *id)
{
	for (int i = 0; i < g->nmembers; i++)
		if (!strcmp(g->members[i].id, id))
			return &g->members[i];
	return NULL;
}

void pro_phase(struct pro_group *g, enum pro_phase phase, clk_ms now)
{
	g->phase = phase;
	g->since = now;
}

void pro_rest(struct pro_group *g, clk_ms now, const char *why)
{
	log_info("promote", "event=rest group=%s reason=\"%s\"", g->name, why);
	g->wait_until = now + PRO_RETRY_MS;
	pro_phase(g, PRO_IDLE, now);
}

static void pro_ask(struct pro *p, struct pro_group *g, struct pro_member *m,
		    clk_ms now)
{
	struct pro_act *a = pro_act(p, g, PRO_STATUS);

	memcpy(a->member, m->id, ID_LEN);
	memcpy(a->addr, m->addr, ADDR_LEN);
	m->number = a->number;
	m->asked = true;
	m->asked_at = now;
}

/* Takes the members from the roster, keeping who was refused. */
static void pro_collect(struct pro *p, struct pro_group *g)
{
	struct pro_member old[PRO_MAX_MEMBERS];
	int nold = g->nmembers;
	size_t n;
	const struct backend_info *b = state_backends(p->state, &n);

	memcpy(old, g->members, sizeof(old));
	g->nmembers = 0;
	for (size_t i = 0; i < n && g->nmembers < PRO_MAX_MEMBERS; i++) {
		struct pro_member *m = &g->members[g->nmembers];

		if (strcmp(b[i].group, g->name) != 0)
			continue;
		memset(m, 0, sizeof(*m));
		memcpy(m->id, b[i].id, ID_LEN);
		memcpy(m->addr, b[i].addr, ADDR_LEN);
		m->leaving = b[i].leaving;
		for (int j = 0; j < nold; j++)
			if (!strcmp(old[j].id, m->id))
				m->refused = old[j].refused;
		g->nmembers++;
	}
}

/* The member that leads as control has recorded it, if it still is there. */
static const struct backend_info *pro_recorded(const struct pro *p,
					       const struct pro_group *g)
{
	const struct group_info *info = state_group(p->state, g->name);
	const struct backend_info *b =
		info ? state_backend(p->state, info->primary) : NULL;

	return b && !strcmp(b->group, g->name) ? b : NULL;
}

/* A member that says it leads, other than the recorded one. */
static const struct backend_info *pro_claimant(const struct pro *p,
					       const struct pro_group *g)
{
	return g->claimant[0] ? state_backend(p->state, g->claimant) : NULL;
}

/* Finds the groups and their claimants; one pass over all members, since they
 * are looked at in each tick. */
static void pro_scan(struct pro *p)
{
	size_t n;
	const struct backend_info *b = state_backends(p->state, &n);

	p->scanned = state_view_version(p->state);
	for (size_t i = 0; i < p->ngroups; i++)
		p->groups[i].claimant[0] = '\0';
	for (size_t i = 0; i < n; i++) {
		struct pro_group *g = pro_group(p, b[i].group);

		if (b[i].primary && !b[i].silent && !g->claimant[0] &&
		    &b[i] != pro_recorded(p, g))
			memcpy(g->claimant, b[i].id, ID_LEN);
	}
}

static void pro_record(struct pro *p, struct pro_group *g, const char *member,
		       clk_ms now)
{
	const struct group_info *info = state_group(p->state, g->name);
	struct pro_act *a = pro_act(p, g, PRO_RECORD);

	snprintf(a->member, ID_LEN, "%s", member);
	a->term = (info ? info->term : 0) + 1;
	log_info("promote", "event=primary group=%s member=%s term=%lld",
		 g->name, member, (long long)a->term);
	for (int i = 0; i < g->nmembers; i++)
		g->members[i].refused = false;
	g->nreports = 0;
	g->paused = false; /* a promotion ends it */
	g->token = 0;
	g->wait_until = now + PRO_RETRY_MS;
	pro_phase(g, PRO_IDLE, now);
}

static void pro_probe(struct pro *p, struct pro_group *g, clk_ms now)
{
	const struct backend_info *primary = pro_recorded(p, g);

	snprintf(g->primary, ID_LEN, "%s", primary ? primary->id : "");
	g->planned = primary && primary->leaving;
	g->tries = 0;
	pro_collect(p, g);
	for (int i = 0; i < g->nmembers; i++)
		pro_ask(p, g, &g->members[i], now);
	pro_phase(g, PRO_PROBING, now);
	log_info("promote",
		 "event=probe group=%s primary=%s leaving=%d reports=%d "
		 "members=%d",
		 g->name, g->primary, g->planned, g->nreports, g->nmembers);
}

void pro_suspect(struct pro *p, const char *group, const char *backend,
		 const char *proxy, clk_ms now)
{
	struct pro_group *g = pro_group(p, group);
	struct pro_report *r = NULL;

	if (strcmp(g->suspected, backend) != 0) {
		snprintf(g->suspected, ID_LEN, "%s", backend);
		g->nreports = 0;
	}
	for (int i = 0; i < g->nreports; i++)
		if (!strcmp(g->reports[i].proxy, proxy))
			r = &g->reports[i];
	if (!r) {
		if (g->nreports == PRO_MAX_REPORTS)
			return;
		r = &g->reports[g->nreports++];
		snprintf(r->proxy, ID_LEN, "%s", proxy);
		r->first = now;
	}
	r->at = now;
}

void pro_heard(struct pro *p, const char *group, clk_ms at)
{
	struct pro_group *g = pro_group(p, group);

	if (at > g->heard)
		g->heard = at;
}

static void pro_forget_reports(struct pro_group *g, clk_ms now)
{
	int kept = 0;

	for (int i = 0; i < g->nreports; i++)
		if (now - g->reports[i].at < PRO_SUSPECT_MS)
			g->reports[kept++] = g->reports[i];
	g->nreports = kept;
}

static int pro_live_proxies(const struct pro *p)
{
	size_t n;
	const struct proxy_info *list = state_proxies(p->state, &n);
	int live = 0;

	for (size_t i = 0; i < n; i++)
		live += list[i].alive;
	return live;
}

/*
 * At least a third of the proxies have missed the primary for long: fewer may
 * be cut off themselves. One of several may just wait for a lost answer.
 */
static bool pro_many_suspect(const struct pro *p, const struct pro_group *g,
			     clk_ms long_ms, clk_ms now)
{
	int live = pro_live_proxies(p);
	int n = 0;

	for (int i = 0; i < g->nreports; i++)
		n += now - g->reports[i].first >= long_ms;
	return 3 * n >= live && (n > 1 || (n == 1 && live == 1));
}

static bool pro_leads(const struct pro_member *m)
{
	return m && !m->asked && m->reply == PRO_OK && m->status.primary;
}

static bool pro_answered(const struct pro_member *m)
{
	return m && !m->asked && m->reply != PRO_FAILED;
}

static struct pro_member *pro_other_primary(struct pro_group *g)
{
	for (int i = 0; i < g->nmembers; i++)
		if (strcmp(g->members[i].id, g->primary) != 0 &&
		    pro_leads(&g->members[i]))
			return &g->members[i];
	return NULL;
}

/*
 * The primary did not answer, but too few proxies miss it yet. It is asked on,
 * and the others again, so that a decision finds what they hold now.
 */
static void pro_watch(struct pro *p, struct pro_group *g, clk_ms now)
{
	if (!g->nreports) {
		pro_rest(g, now, "no proxy misses the primary any more");
		return;
	}
	if (now - g->since >= PRO_WATCH_MS) {
		pro_rest(g, now, "other proxies reach the primary");
		return;
	}
	for (int i = 0; i < g->nmembers; i++) {
		struct pro_member *m = &g->members[i];
		bool primary = !strcmp(m->id, g->primary);
		clk_ms pause = primary ? PRO_STATUS_MS : PRO_RETRY_MS;

		/* Replicas that are silent, too, would hold the decision up. */
		if (now - m->asked_at >= pause &&
		    (primary || (!m->asked && m->reply == PRO_OK)))
			pro_ask(p, g, m, now);
	}
}

/* All have answered, or their time is over. */
static void pro_decide(struct pro *p, struct pro_group *g, clk_ms now)
{
	struct pro_member *primary = pro_member(g, g->primary);
	struct pro_member *best = pro_best(g);
	struct pro_member *other = pro_other_primary(g);
	bool lasting;
	bool quiet;
	bool many;

	pro_forget_reports(g, now);
	many = pro_many_suspect(p, g, 0, now);
	quiet = g->nreports > 0 && now - g->heard >= PRO_QUIET_MS;
	lasting = pro_many_suspect(p, g, PRO_PERSIST_MS, now);
	if (other && !(pro_leads(primary) &&
		       primary->status.term >= other->status.term)) {
		pro_record(p, g, other->id, now);
	} else if (!best) {
		for (int i = 0; i < g->nmembers; i++)
			g->members[i].refused = false;
		pro_rest(g, now, "no member can be promoted");
	} else if (pro_leads(primary) && (g->planned || lasting)) {
		pro_step_down(p, g, primary, now);
	} else if (pro_answered(primary) && pro_leads(primary)) {
		pro_resume(p, g, now);
		pro_rest(g, now, "primary answers");
	} else if (pro_answered(primary) && primary->reply == PRO_BUSY) {
		pro_rest(g, now, "primary is busy");
	} else if (!primary || pro_answered(primary) || g->planned || many ||
		   quiet) {
		/* Gone, deposed, or out of reach. */
		pro_take_over(p, g, best, now);
	} else {
		pro_watch(p, g, now);
	}
}

/* Whether an answer may still come; a primary that is watched is not waited
 * for. */
static bool pro_waiting(const struct pro_group *g, clk_ms now)
{
	bool watched =
		g->phase == PRO_PROBING && now - g->since >= PRO_STATUS_MS;

	for (int i = 0; i < g->nmembers; i++) {
		const struct pro_member *m = &g->members[i];

		if (m->asked && now - m->asked_at < PRO_STATUS_MS &&
		    !(watched && !strcmp(m->id, g->primary)))
			return true;
	}
	return false;
}

static void pro_tick_drain(struct pro *p, struct pro_group *g, clk_ms now)
{
	struct pro_member *best = pro_best(g);

	/* Without synchronous replicas a late commit may be given up. */
	if (best && (pos_cmp(best->status.held, g->goal) >= 0 ||
		     (!g->sync && now - g->since >= PRO_DRAIN_MS))) {
		pro_call(p, g, best, now);
		return;
	}
	if (now - g->since >= PRO_DRAIN_MS) {
		pro_rest(g, now, "no replica to take over");
		return;
	}
	for (int i = 0; i < g->nmembers; i++) {
		struct pro_member *m = &g->members[i];

		if (strcmp(m->id, g->primary) != 0 &&
		    now - m->asked_at >=
			    (m->asked ? PRO_STATUS_MS : PRO_POLL_MS))
			pro_ask(p, g, m, now);
	}
}

static void pro_tick_pause(struct pro *p, struct pro_group *g, clk_ms now)
{
	struct pro_member *best;

	if (pro_waiting(g, now))
		return;
	best = pro_best(g);
	if (best && pro_knows_all(g))
		pro_call(p, g, best, now);
	else
		pro_rest(g, now, "too few replicas were paused");
}

static void pro_tick_step(struct pro *p, struct pro_group *g, clk_ms now)
{
	struct pro_member *primary = pro_member(g, g->primary);
	struct pro_member *best;

	if (primary && primary->asked &&
	    now - primary->asked_at < PRO_STATUS_MS)
		return;
	if (primary && primary->reply == PRO_OK && !primary->asked) {
		g->goal = primary->status.held;
		pro_phase(g, PRO_DRAINING, now);
		pro_tick_drain(p, g, now);
		return;
	}
	/* Nobody gets an answer there, and proxies have missed it for long. */
	best = pro_best(g);
	if (!g->planned && best && pro_many_suspect(p, g, PRO_PERSIST_MS, now))
		pro_take_over(p, g, best, now);
	else
		pro_rest(g, now, "step down was not answered");
}

static bool pro_target_leads(const struct pro *p, const struct pro_group *g)
{
	const struct backend_info *b = state_backend(p->state, g->target);

	return b && b->primary;
}

static void pro_tick_settle(struct pro *p, struct pro_group *g, clk_ms now)
{
	if (pro_target_leads(p, g))
		pro_record(p, g, g->target, now);
	else if (now - g->since >= PRO_SETTLE_MS)
		pro_rest(g, now, "the new primary does not say that it leads");
}

/* Whether a group without a recorded primary waits for its members' first
 * announcements, or takes the one that leads. */
static bool pro_find_first(struct pro *p, struct pro_group *g, clk_ms now)
{
	const struct group_info *info = state_group(p->state, g->name);
	const struct backend_info *claimant = pro_claimant(p, g);

	if (claimant && (!info || !info->primary[0])) {
		pro_record(p, g, claimant->id, now);
		return false;
	}
	/* The recorded one has left, or no member has ever led. */
	if (info && info->primary[0])
		return true;
	if (!g->missing_since)
		g->missing_since = now;
	return now - g->missing_since >= PRO_MISSING_MS;
}

static bool pro_needs_probe(struct pro *p, struct pro_group *g, clk_ms now)
{
	const struct backend_info *primary = pro_recorded(p, g);

	pro_forget_reports(g, now);
	if (now < g->wait_until)
		return false;
	if (!primary)
		return pro_find_first(p, g, now);
	g->missing_since = 0;
	if (primary->leaving || pro_claimant(p, g) || g->paused)
		return true;
	return g->nreports > 0 && !strcmp(g->suspected, primary->id);
}

static void pro_tick_group(struct pro *p, struct pro_group *g, clk_ms now)
{
	switch (g->phase) {
	case PRO_IDLE:
		if (pro_needs_probe(p, g, now))
			pro_probe(p, g, now);
		break;
	case PRO_PROBING:
		if (!pro_waiting(g, now))
			pro_decide(p, g, now);
		break;
	case PRO_STEPPING:
		pro_tick_step(p, g, now);
		break;
	case PRO_DRAINING:
		pro_tick_drain(p, g, now);
		break;
	case PRO_PAUSING:
		pro_tick_pause(p, g, now);
		break;
	case PRO_CALLING:
		/* An earlier call may have been carried out late. */
		if (pro_target_leads(p, g))
			pro_record(p, g, g->target, now);
		break;
	case PRO_SETTLING:
		pro_tick_settle(p, g, now);
		break;
	}
}

void pro_tick(struct pro *p, clk_ms now)
{
	if (!p->leading)
		return;
	if (p->scanned != state_view_version(p->state))
		pro_scan(p);
	for (size_t i = 0; i < p->ngroups; i++)
		pro_tick_group(p, &p->groups[i], now);
}

void pro_on_status(struct pro *p, int64_t number, const struct pro_status *s,
		   clk_ms now)
{
	for (size_t i = 0; i < p->ngroups; i++) {
		struct pro_group *g = &p->groups[i];

		for (int j = 0; j < g->nmembers; j++) {
			struct pro_member *m = &g->members[j];

			if (!m->asked || m->number != number)
				continue;
			m->asked = false;
			m->reply = s->reply;
			m->status = *s;
			pro_tick_group(p, g, now);
			return;
		}
	}
}

void pro_on_call(struct pro *p, int64_t number, int status, clk_ms now)
{
	for (size_t i = 0; i < p->ngroups; i++) {
		struct pro_group *g = &p->groups[i];
		struct pro_member *m;

		if (g->phase != PRO_CALLING || g->call != number)
			continue;
		log_info("promote",
			 "event=call_answered group=%s member=%s "
			 "status=%d",
			 g->name, g->target, status);
		if (status == 200) {
			pro_phase(g, PRO_SETTLING, now);
			return;
		}
		m = pro_member(g, g->target);
		if (m && !status && ++g->tries < PRO_CALL_TRIES) {
			pro_call(p, g, m, now);
			return;
		}
		if (m && status == 409)
			m->refused = true;
		pro_rest(g, now, "the promoter did not confirm");
		return;
	}
}
