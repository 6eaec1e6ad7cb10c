#include "ratelim.h"
#include "rng.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <utlist.h>

enum {
	RLC_OPERATION = 1000000, /* one operation in units of a level */
	/* A token is not taken later than this before its end, since the
	 * statement may wait for a connection. */
	RLC_RESERVE_MS = 30,
	RLC_LOTS = 8, /* lots of tokens that are kept apart */
	/* The demand is averaged over this time. */
	RLC_DEMAND_MS = 2000,
	/* A share that is not used is given back after the first time, and
	 * after that in which so many operations would have come. */
	RLC_SHARE_IDLE_MS = 500,
	RLC_SHARE_IDLE_OPERATIONS = 3,
	/* A tenant that is not used for so long is not looked at any more. */
	RLC_ACTIVE_MS = 10000,
	RLC_CHECK_MS = 50 /* between checks whether to prefetch or to renew */
};

/* Tokens that end at the same time. */
struct rlc_lot {
	int64_t n;
	clk_ms until;
};

struct rlc_tenant {
	char name[ID_LEN];
	struct rt_tenant limit;
	bool listed; /* in the configuration in force */
	struct rlc_lot lots[RLC_LOTS]; /* those that end first come first */
	int nlots;
	int64_t share; /* thousandths of an operation a second */
	int64_t share_burst; /* capacity of the local bucket */
	int64_t level; /* of the local bucket */
	clk_ms level_at;
	clk_ms share_until;
	clk_ms valid_ms; /* of tokens, as in the last grant */
	int64_t epoch; /* counts lowered limits */
	bool report_share; /* it was given back; the leader should know */
	clk_ms reported_at; /* when the share was last reported */
	int64_t waiting; /* operations that wait for a grant */
	bool asked_tokens; /* in the newest ask */
	clk_ms no_ask_until; /* the leader said that there are no tokens */
	clk_ms refuse_until; /* and that operations should be refused */
	clk_ms no_prefetch_until;
	int64_t ignored_seq; /* grants of this ask and older ones don't count */
	double demand; /* operations, decaying in RLC_DEMAND_MS */
	clk_ms demand_at;
	clk_ms last_asked; /* when its last operation came */
	bool active; /* in the list of active tenants */
	struct rlc_tenant *prev;
	struct rlc_tenant *next;
	bool limited; /* reached its limit */
	bool limited_told;
	clk_ms limited_since;
	clk_ms last_refused;
	uint64_t refused_in_a_row;
	struct rl_stats stats;
	UT_hash_handle hh;
};

struct rl_client {
	struct rng *rng;
	struct rlc_tenant *tenants;
	struct rlc_tenant *active;
	int64_t seq; /* of the newest ask */
	bool in_flight;
	clk_ms sent_at; /* of the newest ask */
	clk_ms interval_ms; /* least time between two asks */
	clk_ms next_check;
	bool wanted; /* operations wait that no ask was sent for */
	struct rate_demand *demands; /* of the newest ask */
	size_t max_demands;
};

static int64_t rlc_min(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

struct rl_client *rl_client_new(uint64_t seed)
{
	struct rl_client *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->interval_ms = RL_ASK_MIN_MS;
	c->rng = rng_new(seed);
	return c;
}

void rl_client_free(struct rl_client *c)
{
	struct rlc_tenant *t;
	struct rlc_tenant *next;

	if (!c)
		return;
	for (t = c->tenants; t; t = next) {
		next = t->hh.next;
		HASH_DEL(c->tenants, t);
		free(t);
	}
	free(c->demands);
	rng_free(c->rng);
	free(c);
}

static struct rlc_tenant *rlc_find(const struct rl_client *c, const char *name)
{
	struct rlc_tenant *t;

	HASH_FIND_STR(c->tenants, name, t);
	return t && t->listed && t->limit.rate_milli >= 0 ? t : NULL;
}

static void rlc_activate(struct rl_client *c, struct rlc_tenant *t)
{
	if (t->active)
		return;
	t->active = true;
	DL_APPEND(c->active, t);
}

static void rlc_drop_share(struct rlc_tenant *t)
{
	t->share = 0;
	t->share_burst = 0;
	t->level = 0;
}

static bool rlc_is_lower(const struct rt_tenant *before,
			 const struct rt_tenant *after)
{
	if (after->rate_milli < 0)
		return false;
	return before->rate_milli < 0 ||
	       after->rate_milli < before->rate_milli ||
	       after->burst_milli < before->burst_milli;
}

static void rlc_set_limit(struct rl_client *c, const struct rt_tenant *limit,
			  clk_ms now)
{
	struct rlc_tenant *t;

	HASH_FIND_STR(c->tenants, limit->name, t);
	if (!t) {
		t = calloc(1, sizeof(*t));
		if (!t)
			abort();
		memcpy(t->name, limit->name, ID_LEN);
		memcpy(t->stats.tenant, limit->name, ID_LEN);
		t->valid_ms = RL_TOKEN_MS;
		t->demand_at = t->level_at = now;
		HASH_ADD_STR(c->tenants, name, t);
	} else if (!t->listed || rlc_is_lower(&t->limit, limit)) {
		t->nlots = 0;
		t->epoch++;
		rlc_drop_share(t);
		t->ignored_seq = c->seq;
	}
	t->limit = *limit;
	t->listed = true;
}

static void rlc_drop_unlisted(struct rl_client *c)
{
	struct rlc_tenant *t;
	struct rlc_tenant *next;

	for (t = c->tenants; t; t = next) {
		next = t->hh.next;
		if (t->listed || t->waiting)
			continue;
		if (t->active)
			DL_DELETE(c->active, t);
		HASH_DEL(c->tenants, t);
		free(t);
	}
}

void rl_client_set_limits(struct rl_client *c, const struct route_table *limits,
			  clk_ms now)
{
	struct rlc_tenant *t;

	for (t = c->tenants; t; t = t->hh.next)
		if (!rt_find_tenant(limits, t->name))
			t->listed = false;
	for (int64_t i = 0; i < limits->ntenants; i++)
		rlc_set_limit(c, &limits->tenants[i], now);
	rlc_drop_unlisted(c);
}

/* Drops lapsed tokens and brings the local bucket up to date. */
static void rlc_advance(struct rlc_tenant *t, clk_ms now)
{
	int gone = 0;

	while (gone < t->nlots &&
	       (now >= t->lots[gone].until - RLC_RESERVE_MS ||
		!t->lots[gone].n))
		gone++;
	t->nlots -= gone;
	if (gone)
		memmove(t->lots, t->lots + gone,
			(size_t)t->nlots * sizeof(t->lots[0]));
	if (t->share_burst && now >= t->share_until)
		rlc_drop_share(t);
	if (now > t->level_at)
		t->level = rlc_min(t->share_burst,
				   t->level + t->share * (now - t->level_at));
	t->level_at = now;
}

/* Adds tokens. If there are too many lots, the first two become one that ends
 * as early as the first of them. */
static void rlc_add_tokens(struct rlc_tenant *t, int64_t n, clk_ms until)
{
	int at = t->nlots;

	if (n <= 0)
		return;
	for (int i = 0; i < t->nlots; i++) {
		if (t->lots[i].until == until) {
			t->lots[i].n += n;
			return;
		}
	}
	if (t->nlots == RLC_LOTS) {
		t->lots[0].n += t->lots[1].n;
		t->nlots--;
		memmove(t->lots + 1, t->lots + 2,
			(size_t)(t->nlots - 1) * sizeof(t->lots[0]));
		at = t->nlots;
	}
	while (at && t->lots[at - 1].until > until) {
		t->lots[at] = t->lots[at - 1];
		at--;
	}
	t->lots[at] = (struct rlc_lot){.n = n, .until = until};
	t->nlots++;
}

static int64_t rlc_tokens(const struct rlc_tenant *t)
{
	int64_t n = 0;

	for (int i = 0; i < t->nlots; i++)
		n += t->lots[i].n;
	return n;
}

/* Operations a second. */
static double rlc_demand(struct rlc_tenant *t, clk_ms now)
{
	if (now > t->demand_at) {
		t->demand *= exp(-(double)(now - t->demand_at) / RLC_DEMAND_MS);
		t->demand_at = now;
	}
	return t->demand * 1000 / RLC_DEMAND_MS;
}

void rl_client_count_asked(struct rl_client *c, const char *tenant, clk_ms now)
{
	struct rlc_tenant *t = rlc_find(c, tenant);

	if (!t)
		return;
	rlc_demand(t, now);
	t->demand += 1;
	t->last_asked = now;
	t->stats.asked++;
	rlc_activate(c, t);
}

static clk_ms rlc_spread(struct rl_client *c, clk_ms ms)
{
	return ms + (clk_ms)rng_uniform_int(c->rng, (uint64_t)ms + 1);
}

static void rlc_count_refusal(struct rlc_tenant *t, clk_ms now)
{
	if (!t->limited) {
		t->limited = true;
		t->limited_told = false;
		t->limited_since = now;
		t->refused_in_a_row = 0;
	}
	t->refused_in_a_row++;
	t->last_refused = now;
}

/* Takes from the local bucket, but leaves half of it for the time without a
 * leader while there are tokens, which lapse sooner. */
static bool rlc_take_share(struct rlc_tenant *t, clk_ms now,
			   struct rl_token *token)
{
	if (t->level < RLC_OPERATION ||
	    (t->nlots && t->level <= t->share_burst / 2))
		return false;
	t->level -= RLC_OPERATION;
	*token = (struct rl_token){
		.held = true, .until = now + t->valid_ms, .epoch = t->epoch};
	return true;
}

enum rl_verdict rl_client_take(struct rl_client *c, const char *tenant,
			       clk_ms now, struct rl_token *token,
			       clk_ms *retry_ms)
{
	struct rlc_tenant *t = rlc_find(c, tenant);

	*token = (struct rl_token){.until = CLK_NEVER};
	if (!t)
		return RL_GO;
	rlc_activate(c, t);
	rlc_advance(t, now);
	if (rlc_take_share(t, now, token)) {
		t->stats.served++;
		return RL_GO;
	}
	if (t->nlots) {
		*token = (struct rl_token){.held = true,
					   .until = t->lots[0].until,
					   .epoch = t->epoch};
		t->lots[0].n--;
		t->stats.served++;
		rlc_advance(t, now);
		return RL_GO;
	}
	if (now >= t->refuse_until)
		return RL_WAIT;
	*retry_ms = rlc_spread(c, t->refuse_until - now);
	t->stats.refused_limit++;
	rlc_count_refusal(t, now);
	return RL_REFUSE;
}

void rl_client_return(struct rl_client *c, const char *tenant,
		      struct rl_token *token, clk_ms now)
{
	struct rlc_tenant *t = rlc_find(c, tenant);
	struct rl_token back = *token;

	*token = (struct rl_token){.until = CLK_NEVER};
	if (!t || !back.held)
		return;
	rlc_advance(t, now);
	if (t->stats.served)
		t->stats.served--;
	if (now < back.until && back.epoch == t->epoch)
		rlc_add_tokens(t, 1, back.until);
}

bool rl_client_has_token(struct rl_client *c, const char *tenant, clk_ms now)
{
	struct rlc_tenant *t = rlc_find(c, tenant);

	if (!t)
		return true;
	rlc_advance(t, now);
	return t->nlots || t->level >= RLC_OPERATION;
}

void rl_client_wait(struct rl_client *c, const char *tenant)
{
	struct rlc_tenant *t = rlc_find(c, tenant);

	if (!t)
		return;
	t->waiting++;
	c->wanted = true;
}

void rl_client_end_wait(struct rl_client *c, const char *tenant)
{
	struct rlc_tenant *t;

	HASH_FIND_STR(c->tenants, tenant, t);
	if (t && t->waiting)
		t->waiting--;
}

clk_ms rl_client_refuse_waiting(struct rl_client *c, const char *tenant,
				clk_ms now)
{
	struct rlc_tenant *t = rlc_find(c, tenant);

	if (t) {
		t->stats.refused_no_answer++;
		rlc_count_refusal(t, now);
	}
	return rlc_spread(c, RL_RETRY_MS);
}

/* A share that is about to end is not reported: the leader could renew it after
 * it has ended, see the header. */
static void rlc_check_share(struct rlc_tenant *t, clk_ms now)
{
	double demand = rlc_demand(t, now);
	clk_ms idle = RLC_SHARE_IDLE_MS;

	if (!t->share_burst)
		return;
	if (t->share_until - now < RL_ASK_LOST_MS) {
		rlc_drop_share(t);
		return;
	}
	if (demand * RL_SHARE_MS > RLC_SHARE_IDLE_OPERATIONS * 1000.0)
		idle += (clk_ms)(RLC_SHARE_IDLE_OPERATIONS * 1000 / demand);
	else
		idle = RL_SHARE_MS;
	if (now - t->last_asked < idle)
		return;
	rlc_drop_share(t);
	t->demand = 0;
	t->report_share = true;
}

static int64_t rlc_prefetch_need(struct rlc_tenant *t, clk_ms now)
{
	clk_ms ahead = rlc_min(RL_PREFETCH_MS, t->valid_ms);
	double need = rlc_demand(t, now) * (double)ahead / 1000;

	need -= (double)t->share * (double)ahead / 1e6;
	need -= (double)t->level / RLC_OPERATION;
	return need < 1 ? 0 : (int64_t)need;
}

/* Whether an ask must be sent for a tenant now. */
static bool rlc_must_ask(struct rlc_tenant *t, clk_ms now)
{
	int64_t need = rlc_prefetch_need(t, now);

	if (t->report_share)
		return true;
	if (t->share_burst && now - t->reported_at >= RL_SHARE_RENEW_MS)
		return true;
	if (now < t->no_ask_until)
		return false;
	return t->waiting > 0 ||
	       (now >= t->no_prefetch_until && rlc_tokens(t) * 2 < need);
}

/* A token that will probably be used before it ends saves an ask. */
static bool rlc_may_need_one(struct rlc_tenant *t, clk_ms now)
{
	return !t->nlots && t->level < RLC_OPERATION &&
	       rlc_demand(t, now) * 1000 >= RL_SPARE_MIN_DEMAND;
}

/* Whether a tenant has an entry in an ask that is sent anyway. */
static bool rlc_may_ask(struct rlc_tenant *t, clk_ms now)
{
	if (rlc_must_ask(t, now) ||
	    (t->share_burst && now - t->reported_at >= RL_SHARE_REPORT_MS))
		return true;
	return now >= t->no_ask_until && now >= t->no_prefetch_until &&
	       (rlc_tokens(t) < rlc_prefetch_need(t, now) ||
		rlc_may_need_one(t, now));
}

static void rlc_add_demand(struct rl_client *c, struct rlc_tenant *t,
			   struct msg_rate_ask *ask, clk_ms now)
{
	double demand = rlc_demand(t, now) * 1000;
	int64_t need = rlc_prefetch_need(t, now) - rlc_tokens(t);
	struct rate_demand *d;

	if (need < 1 && rlc_may_need_one(t, now))
		need = 1;
	if ((size_t)ask->ndemands == c->max_demands) {
		c->max_demands = c->max_demands * 2 + 16;
		c->demands = realloc(c->demands,
				     c->max_demands * sizeof(*c->demands));
		if (!c->demands)
			abort();
	}
	d = &c->demands[ask->ndemands++];
	*d = (struct rate_demand){.share_milli = t->share,
				  .share_burst = t->share_burst};
	memcpy(d->tenant, t->name, ID_LEN);
	if (demand >= RL_SHARE_MIN_DEMAND)
		d->demand_milli = (int64_t)demand;
	if (now >= t->no_ask_until) {
		d->waiting = t->waiting;
		d->tokens = (need > 0 ? need : 0) + t->waiting;
	}
	t->asked_tokens = d->tokens > 0;
	t->reported_at = now;
	t->report_share = false;
	t->no_prefetch_until = now + RL_PREFETCH_PAUSE_MS;
}

static void rlc_deactivate_idle(struct rl_client *c, clk_ms now)
{
	struct rlc_tenant *t;
	struct rlc_tenant *next;

	for (t = c->active; t; t = next) {
		next = t->next;
		if (t->waiting || t->share_burst || t->report_share ||
		    t->limited || now - t->last_asked < RLC_ACTIVE_MS)
			continue;
		t->active = false;
		DL_DELETE(c->active, t);
	}
}

static bool rlc_due(struct rl_client *c, clk_ms now)
{
	struct rlc_tenant *t;
	bool due = false;

	if (c->in_flight && now - c->sent_at >= RL_ASK_LOST_MS)
		c->in_flight = false;
	if (c->in_flight || (c->seq && now - c->sent_at < c->interval_ms))
		return false;
	if (!c->wanted && now < c->next_check)
		return false;
	c->next_check = now + RLC_CHECK_MS;
	c->wanted = false;
	rlc_deactivate_idle(c, now);
	for (t = c->active; t; t = t->next) {
		rlc_advance(t, now);
		rlc_check_share(t, now);
		due |= rlc_must_ask(t, now);
	}
	return due;
}

bool rl_client_next_ask(struct rl_client *c, clk_ms now,
			struct msg_rate_ask *ask)
{
	struct rlc_tenant *t;

	if (!rlc_due(c, now))
		return false;
	*ask = (struct msg_rate_ask){.seq = ++c->seq};
	for (t = c->active; t; t = t->next) {
		if (rlc_may_ask(t, now) && ask->ndemands < MSG_MAX_LIST)
			rlc_add_demand(c, t, ask, now);
	}
	ask->demands = c->demands;
	c->in_flight = true;
	c->sent_at = now;
	return true;
}

void rl_client_ask_failed(struct rl_client *c, int64_t seq)
{
	if (seq == c->seq)
		c->in_flight = false;
}

static void rlc_take_entry(struct rl_client *c, const struct rate_grant *g,
			   clk_ms now)
{
	struct rlc_tenant *t = rlc_find(c, g->tenant);

	if (!t || t->ignored_seq >= c->seq || !g->valid_ms)
		return;
	rlc_advance(t, now);
	t->valid_ms = g->valid_ms;
	rlc_add_tokens(t, g->tokens, c->sent_at + g->valid_ms);
	rlc_activate(c, t);
	t->share = g->share_milli;
	t->share_burst = g->share_burst;
	t->level = rlc_min(t->level, t->share_burst);
	t->share_until = c->sent_at + RL_SHARE_MS;
	if (!t->asked_tokens)
		return;
	t->no_ask_until = now + g->wait_ms;
	if (g->wait_ms > RL_SHORT_WAIT_MS)
		t->refuse_until = now + g->wait_ms;
	else
		t->refuse_until = 0;
}

bool rl_client_take_grant(struct rl_client *c, const struct msg_rate_grant *g,
			  clk_ms now)
{
	if (!c->in_flight || g->seq != c->seq)
		return false;
	c->in_flight = false;
	if (g->res != RES_OK || now - c->sent_at >= RL_ASK_LOST_MS)
		return false;
	c->interval_ms = g->ask_interval_ms;
	if (c->interval_ms < RL_ASK_MIN_MS)
		c->interval_ms = RL_ASK_MIN_MS;
	if (c->interval_ms > RL_ASK_MIN_MAX_MS)
		c->interval_ms = RL_ASK_MIN_MAX_MS;
	for (int64_t i = 0; i < g->ngrants; i++)
		rlc_take_entry(c, &g->grants[i], now);
	c->wanted = true;
	return true;
}

void rl_client_each(struct rl_client *c, clk_ms now,
		    void (*fn)(void *arg, const struct rl_stats *st), void *arg)
{
	struct rlc_tenant *t;

	for (t = c->tenants; t; t = t->hh.next) {
		if (!t->stats.asked || !rlc_find(c, t->name))
			continue;
		rlc_advance(t, now);
		t->stats.share_milli = t->share;
		t->stats.left_milli = rlc_tokens(t) * 1000 + t->level / 1000;
		fn(arg, &t->stats);
	}
}

bool rl_client_next_change(struct rl_client *c, clk_ms now,
			   struct rl_change *out)
{
	struct rlc_tenant *t;

	for (t = c->active; t; t = t->next) {
		bool over = now - t->last_refused >= RL_LIMIT_OVER_MS;

		if (!t->limited || (t->limited_told && !over))
			continue;
		*out = (struct rl_change){.limited = !t->limited_told,
					  .refused = t->refused_in_a_row,
					  .ms = now - t->limited_since};
		memcpy(out->tenant, t->name, ID_LEN);
		if (t->limited_told)
			t->limited = false;
		t->limited_told = true;
		return true;
	}
	return false;
}
