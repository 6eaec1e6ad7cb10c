#include "ratelim.h"

#include <stdlib.h>
#include <string.h>
#include <uthash.h>

enum {
	RLS_OPERATION = 1000000, /* one operation in units of a level */
	RLS_MAX_ASKED = 1000000, /* operations that one entry can ask for */
	RLS_SHORT_MS = 1000,
	RLS_UNMET_MS = 100, /* unmet demand is added up over this time */
	/* A tenant that is in no configuration is forgotten if nothing was
	 * asked for it for the window and this time. */
	RLS_FORGET_MS = 60000,
	RLS_FORGET_PROXY_MS = 60000
};

#define RLS_MAX_RATE 100000000000LL /* 10^8 operations a second */
#define RLS_MAX_BURST 100000000000LL /* 10^8 operations */

/* A share that a proxy may have. */
struct rls_share {
	int64_t uuid;
	int64_t rate;
	int64_t burst;
	int64_t demand; /* thousandths of an operation a second */
	clk_ms until;
};

struct rls_tenant {
	char name[ID_LEN];
	bool limited; /* in the configuration in force, with a rate */
	struct rl_plan plan;
	int64_t level;
	clk_ms level_at;
	struct rls_share *shares;
	size_t nshares;
	int64_t unmet; /* operations that waited in vain since unmet_since */
	clk_ms unmet_since;
	/* Asks that got less than they needed, in this second and before. */
	int64_t short_asks;
	int64_t short_asks_before;
	clk_ms short_since;
	UT_hash_handle hh;
};

/* A process of a proxy. */
struct rls_proxy {
	int64_t uuid;
	int64_t last_seq;
	clk_ms last_ask;
	UT_hash_handle hh;
};

struct rl_server {
	struct rl_config cfg;
	clk_ms term_start;
	int64_t limits_version;
	struct rls_tenant *tenants;
	struct rls_proxy *proxies;
	clk_ms proxies_checked_at;
	struct rate_grant *grants; /* of the last answer */
};

static int64_t rls_min(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t rls_max(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

static int64_t rls_rate(const struct rt_tenant *t)
{
	return rls_max(0, rls_min(t->rate_milli, RLS_MAX_RATE));
}

static int64_t rls_burst(const struct rt_tenant *t)
{
	return rls_max(0, rls_min(t->burst_milli, RLS_MAX_BURST)) * 1000;
}

int64_t rl_bound(const struct rl_config *cfg, const struct rt_tenant *t)
{
	int64_t limit = rls_rate(t) * cfg->window_ms + rls_burst(t);

	return limit + (int64_t)((double)limit * cfg->excess) +
	       cfg->slack * RLS_OPERATION;
}

/*
 * The limit is a number of operations in a window, so a tenant may use more
 * than its rate all the time: half of the burst is given as a higher refill
 * rate, and what the bound leaves then as capacity of the buckets.
 */
bool rl_make_plan(const struct rl_config *cfg, const struct rt_tenant *t,
		  struct rl_plan *out)
{
	int64_t bound = rl_bound(cfg, t);
	clk_ms taken_in = cfg->window_ms + RL_TOKEN_MS;
	int64_t all;

	if (!cfg->window_ms || t->rate_milli < 0)
		return false;
	out->valid_ms = RL_TOKEN_MS;
	out->refill = rls_rate(t) + rls_burst(t) / (2 * cfg->window_ms);
	if (out->refill * taken_in > bound / 10 * 9)
		out->refill = bound / 10 * 9 / taken_in;
	all = rls_min(bound - out->refill * taken_in,
		      rls_max(rls_burst(t), cfg->slack * RLS_OPERATION));
	if (all < RLS_OPERATION) {
		all = rls_min(RLS_OPERATION, bound);
		out->refill = (bound - all) / taken_in;
	}
	out->share_burst = all / 4;
	if (out->share_burst < RLS_OPERATION)
		out->share_burst = 0;
	out->share_rate =
		out->share_burst ? out->refill * RL_SHARE_PERCENT / 100 : 0;
	out->bucket = all - out->share_burst;
	return true;
}

struct rl_server *rl_server_new(const struct rl_config *cfg)
{
	struct rl_server *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	s->cfg = *cfg;
	s->limits_version = -1;
	return s;
}

static void rls_free_tenant(struct rl_server *s, struct rls_tenant *t)
{
	HASH_DEL(s->tenants, t);
	free(t->shares);
	free(t);
}

static void rls_clear(struct rl_server *s)
{
	struct rls_tenant *t;
	struct rls_tenant *next_tenant;
	struct rls_proxy *p;
	struct rls_proxy *next;

	for (t = s->tenants; t; t = next_tenant) {
		next_tenant = t->hh.next;
		rls_free_tenant(s, t);
	}
	for (p = s->proxies; p; p = next) {
		next = p->hh.next;
		HASH_DEL(s->proxies, p);
		free(p);
	}
	s->limits_version = -1;
}

void rl_server_free(struct rl_server *s)
{
	if (!s)
		return;
	rls_clear(s);
	free(s->grants);
	free(s);
}

void rl_server_start_term(struct rl_server *s, clk_ms now)
{
	rls_clear(s);
	s->term_start = now;
	s->proxies_checked_at = now;
}

/* True while proxies may have shares of an older leader. */
static bool rls_older_shares(const struct rl_server *s, clk_ms now)
{
	return now < s->term_start + RL_SHARE_MS;
}

static void rls_sum_shares(const struct rls_tenant *t, int64_t *rate,
			   int64_t *burst)
{
	*rate = 0;
	*burst = 0;
	for (size_t i = 0; i < t->nshares; i++) {
		*rate += t->shares[i].rate;
		*burst += t->shares[i].burst;
	}
}

/* Refill rate of the leader's bucket: what is not leased. */
static int64_t rls_refill(const struct rl_server *s, const struct rls_tenant *t,
			  clk_ms now)
{
	int64_t leased;
	int64_t burst;

	rls_sum_shares(t, &leased, &burst);
	if (rls_older_shares(s, now))
		leased = rls_max(leased, t->plan.share_rate);
	return rls_max(0, t->plan.refill - leased);
}

static void rls_add(struct rls_tenant *t, int64_t refill, clk_ms ms)
{
	int64_t room = t->plan.bucket - t->level;

	if (refill > 0 && ms > room / refill)
		t->level = t->plan.bucket;
	else
		t->level += refill * ms;
}

static void rls_drop_ended_shares(struct rls_tenant *t, clk_ms now)
{
	size_t kept = 0;

	for (size_t i = 0; i < t->nshares; i++)
		if (now < t->shares[i].until)
			t->shares[kept++] = t->shares[i];
	t->nshares = kept;
}

/* Refills the bucket; shares that ended meanwhile count as leased until now. */
static void rls_advance(const struct rl_server *s, struct rls_tenant *t,
			clk_ms now)
{
	if (now <= t->level_at)
		return;
	rls_add(t, rls_refill(s, t, t->level_at), now - t->level_at);
	t->level_at = now;
	rls_drop_ended_shares(t, now);
}

static void rls_set_limit(struct rl_server *s, struct rls_tenant *t,
			  const struct route_table *limits)
{
	const struct rt_tenant *limit = rt_find_tenant(limits, t->name);

	t->limited = limit && rl_make_plan(&s->cfg, limit, &t->plan);
	if (t->limited)
		t->level = rls_min(t->level, t->plan.bucket);
}

static void rls_set_limits(struct rl_server *s,
			   const struct route_table *limits, clk_ms now)
{
	struct rls_tenant *t;
	struct rls_tenant *next;

	if (limits->version == s->limits_version)
		return;
	s->limits_version = limits->version;
	for (t = s->tenants; t; t = next) {
		next = t->hh.next;
		if (!t->limited &&
		    now - t->level_at > s->cfg.window_ms + RLS_FORGET_MS) {
			rls_free_tenant(s, t);
			continue;
		}
		rls_advance(s, t, now);
		rls_set_limit(s, t, limits);
	}
}

/* A bucket is empty when the term starts; one that nothing was taken from is
 * made when it is first needed. */
static struct rls_tenant *rls_tenant(struct rl_server *s,
				     const struct route_table *limits,
				     const char *name, clk_ms now)
{
	struct rls_tenant *t;

	HASH_FIND_STR(s->tenants, name, t);
	if (t)
		return t->limited ? t : NULL;
	if (!rt_find_tenant(limits, name))
		return NULL;
	t = calloc(1, sizeof(*t));
	if (!t)
		abort();
	memcpy(t->name, name, ID_LEN);
	rls_set_limit(s, t, limits);
	if (!t->limited) {
		free(t);
		return NULL;
	}
	t->level_at = s->term_start;
	rls_advance(s, t, rls_min(now, s->term_start + RL_SHARE_MS));
	rls_advance(s, t, now);
	HASH_ADD_STR(s->tenants, name, t);
	return t;
}

static struct rls_share *rls_share(struct rls_tenant *t, int64_t uuid)
{
	struct rls_share *sh;

	for (size_t i = 0; i < t->nshares; i++)
		if (t->shares[i].uuid == uuid)
			return &t->shares[i];
	t->shares = realloc(t->shares, (t->nshares + 1) * sizeof(*t->shares));
	if (!t->shares)
		abort();
	sh = &t->shares[t->nshares++];
	*sh = (struct rls_share){.uuid = uuid};
	return sh;
}

/* The share that a proxy should have by its part of the demand. At most half of
 * what it needs, so that its local bucket rarely overflows. */
static int64_t rls_wanted_share(const struct rls_tenant *t, int64_t demand)
{
	double all = 0;
	double part;

	for (size_t i = 0; i < t->nshares; i++)
		all += (double)t->shares[i].demand;
	if (demand < RL_SHARE_MIN_DEMAND || all <= 0)
		return 0;
	part = (double)t->plan.share_rate * ((double)demand / all);
	if (part > (double)(demand / 2))
		part = (double)(demand / 2);
	return part < RL_SHARE_MIN_DEMAND / 2 ? 0 : (int64_t)part;
}

static int64_t rls_share_burst(int64_t rate)
{
	return rate ? rls_max(rate * RL_SHARE_BURST_MS, RLS_OPERATION) : 0;
}

/*
 * Renews, raises or lowers the share of the proxy that sent d. Until its next
 * ask it may have the share that it reported or the new one.
 */
static void rls_lease_share(const struct rl_server *s, struct rls_tenant *t,
			    int64_t uuid, const struct rate_demand *d,
			    clk_ms now, struct rate_grant *g)
{
	bool takeover = rls_older_shares(s, now);
	struct rls_share *sh = rls_share(t, uuid);
	int64_t held = rls_max(0, d->share_milli);
	int64_t held_burst = rls_max(0, d->share_burst);
	int64_t free_rate;
	int64_t free_burst;
	int64_t rate;
	int64_t burst;

	if (!takeover) {
		held = rls_min(held, sh->rate);
		held_burst = rls_min(held_burst, sh->burst);
	}
	sh->rate = 0;
	sh->burst = 0;
	sh->demand = rls_max(0, rls_min(d->demand_milli, RLS_MAX_RATE));
	rls_sum_shares(t, &free_rate, &free_burst);
	free_rate = rls_max(0, t->plan.share_rate - free_rate);
	free_burst = rls_max(0, t->plan.share_burst - free_burst);
	held = rls_min(held, takeover ? free_rate : held);
	held_burst = rls_min(held_burst, takeover ? free_burst : held_burst);
	rate = rls_min(free_rate, rls_wanted_share(t, sh->demand));
	if (takeover)
		rate = rls_min(rate, held);
	burst = rls_min(free_burst, rls_share_burst(rate));
	if (takeover)
		burst = rls_min(burst, held_burst);
	if (burst < RLS_OPERATION)
		rate = burst = 0;
	g->share_milli = rate;
	g->share_burst = burst;
	sh->rate = rls_max(rate, held);
	sh->burst = rls_max(burst, held_burst);
	sh->until = now + RL_SHARE_MS;
	if (!sh->rate && !sh->burst && !sh->demand)
		*sh = t->shares[--t->nshares];
}

/* Tokens beyond those that are waited for, only while enough are left for the
 * operations that wait at other proxies. */
static int64_t rls_prefetch(const struct rls_tenant *t, int64_t wanted,
			    int64_t waiting)
{
	int64_t more = (t->level - t->plan.bucket / 4 * 3) / RLS_OPERATION;
	int64_t spare =
		wanted <= 1 ? more
			    : (t->level - t->plan.bucket / 4) / RLS_OPERATION;

	/* One more for each that waits, while most of the bucket is full: the
	 * next one is then served without an ask. */
	if (wanted < waiting && more > 0)
		wanted = rls_min(waiting, more);
	return rls_max(0, rls_min(wanted, spare));
}

/* Counts the asks that got less than they needed, by seconds. */
static void rls_count_short(struct rls_tenant *t, bool is_short, clk_ms now)
{
	if (now - t->short_since >= RLS_SHORT_MS) {
		t->short_asks_before = now - t->short_since < 2 * RLS_SHORT_MS
					       ? t->short_asks
					       : 0;
		t->short_asks = 0;
		t->short_since = now;
	}
	t->short_asks += is_short;
}

/* For how long a proxy should not ask again for a tenant at its limit. */
static clk_ms rls_pause_ms(const struct rls_tenant *t)
{
	int64_t n = rls_max(t->short_asks, t->short_asks_before);

	return rls_min(n * RL_PAUSE_PER_ASK_MS, RL_PAUSE_MAX_MS);
}

/* Time until the operations that waited in vain can be served. */
static clk_ms rls_wait_ms(const struct rl_server *s, struct rls_tenant *t,
			  int64_t unmet, clk_ms now)
{
	int64_t refill = rls_refill(s, t, now);

	if (now - t->unmet_since >= RLS_UNMET_MS) {
		t->unmet_since = now;
		t->unmet = 0;
	}
	t->unmet = rls_min(t->unmet + unmet, RLS_MAX_ASKED);
	if (!refill)
		return RL_REFUSE_MAX_MS;
	return rls_min((t->unmet * RLS_OPERATION - t->level) / refill + 1,
		       RL_REFUSE_MAX_MS);
}

/* Operations that a proxy may send in a time, by its part of the demand. */
static int64_t rls_fair_tokens(const struct rl_server *s,
			       const struct rls_tenant *t,
			       const struct rate_demand *d, clk_ms ms,
			       clk_ms now)
{
	double all = 0;

	for (size_t i = 0; i < t->nshares; i++)
		all += (double)t->shares[i].demand;
	if (all <= 0 || d->demand_milli <= 0)
		return 0;
	return (int64_t)((double)rls_refill(s, t, now) * (double)ms /
			 RLS_OPERATION * (double)d->demand_milli / all);
}

/*
 * Grants tokens. While a tenant is at its limit, its proxies ask only after a
 * pause, and each gets its part of what comes in during one. If they got just
 * the tokens for what waits, few operations would be served between two asks.
 */
static void rls_grant_tokens(const struct rl_server *s, struct rls_tenant *t,
			     const struct rate_demand *d, clk_ms now,
			     struct rate_grant *g)
{
	int64_t waiting = rls_max(0, rls_min(d->waiting, RLS_MAX_ASKED));
	int64_t wanted = rls_max(0, rls_min(d->tokens, RLS_MAX_ASKED));
	int64_t left = t->level / RLS_OPERATION;
	clk_ms pause;

	rls_count_short(t, waiting > left, now);
	pause = rls_pause_ms(t);
	if (waiting > left)
		g->wait_ms =
			rls_max(pause, rls_wait_ms(s, t, waiting - left, now));
	else if (pause && wanted)
		g->wait_ms = pause;
	g->tokens = waiting;
	if (pause)
		g->tokens = rls_max(
			waiting,
			rls_min(wanted, rls_fair_tokens(s, t, d, pause, now)));
	g->tokens = rls_min(g->tokens, left);
	t->level -= g->tokens * RLS_OPERATION;
	if (!pause && waiting <= left) {
		int64_t more =
			rls_prefetch(t, rls_max(0, wanted - waiting), waiting);

		t->level -= more * RLS_OPERATION;
		g->tokens += more;
	}
}

static void rls_answer(struct rl_server *s, const struct route_table *limits,
		       int64_t uuid, const struct rate_demand *d, clk_ms now,
		       struct rate_grant *g)
{
	struct rls_tenant *t = rls_tenant(s, limits, d->tenant, now);

	*g = (struct rate_grant){0};
	memcpy(g->tenant, d->tenant, ID_LEN);
	if (!t)
		return;
	rls_advance(s, t, now);
	rls_lease_share(s, t, uuid, d, now, g);
	rls_grant_tokens(s, t, d, now, g);
	g->valid_ms = t->plan.valid_ms;
}

static void rls_forget_proxies(struct rl_server *s, clk_ms now)
{
	struct rls_proxy *p;
	struct rls_proxy *next;

	if (now - s->proxies_checked_at < RLS_FORGET_PROXY_MS)
		return;
	s->proxies_checked_at = now;
	for (p = s->proxies; p; p = next) {
		next = p->hh.next;
		if (now - p->last_ask < RLS_FORGET_PROXY_MS)
			continue;
		HASH_DEL(s->proxies, p);
		free(p);
	}
}

/* Returns whether the ask is newer than all others of its process. */
static bool rls_is_newer(struct rl_server *s, int64_t uuid, int64_t seq,
			 clk_ms now)
{
	struct rls_proxy *p;

	rls_forget_proxies(s, now);
	HASH_FIND(hh, s->proxies, &uuid, sizeof(uuid), p);
	if (!p) {
		p = calloc(1, sizeof(*p));
		if (!p)
			abort();
		p->uuid = uuid;
		HASH_ADD(hh, s->proxies, uuid, sizeof(p->uuid), p);
	} else if (seq <= p->last_seq) {
		return false;
	}
	p->last_seq = seq;
	p->last_ask = now;
	return true;
}

bool rl_server_handle_ask(struct rl_server *s, const struct route_table *limits,
			  int64_t uuid, const struct msg_rate_ask *ask,
			  clk_ms now, struct msg_rate_grant *answer)
{
	*answer = (struct msg_rate_grant){.seq = ask->seq, .res = RES_OK};
	if (!rls_is_newer(s, uuid, ask->seq, now))
		return false;
	answer->ask_interval_ms =
		rls_min(HASH_COUNT(s->proxies) * 1000 / RL_MAX_ASKS_PER_S,
			RL_ASK_MIN_MAX_MS);
	if (!limits)
		return true;
	rls_set_limits(s, limits, now);
	s->grants = realloc(s->grants,
			    ((size_t)ask->ndemands + 1) * sizeof(*s->grants));
	if (!s->grants)
		abort();
	answer->grants = s->grants;
	for (int64_t i = 0; i < ask->ndemands; i++)
		rls_answer(s, limits, uuid, &ask->demands[i], now,
			   &s->grants[answer->ngrants++]);
	return true;
}
