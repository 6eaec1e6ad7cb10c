#include "quota_priv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

enum {
	QUOTA_MAX_UNACKED = 16, /* unacknowledged answers kept per proxy */
	/* Least time between changes of floors caused by the roster only. */
	QUOTA_ROSTER_INTERVAL_MS = 2000,
	QUOTA_DEMAND_PEAK_MS = 2000 /* how long a peak of the demand counts */
};

/* Grant and floor of a customer in one answer to a proxy. */
struct sent_grant {
	int64_t seq;
	int64_t units;
	int64_t floor;
	clk_ms until; /* the grant has certainly expired by then */
};

/* A customer's units at one proxy. */
struct holder {
	size_t proxy;
	int64_t demand; /* peak of in_use + queued */
	clk_ms demand_at;
	int64_t in_use;
	int64_t reported_held; /* units of grants, as the proxy reported */
	int64_t floor; /* by the current limit and roster */
	int64_t assumed_floor; /* highest floor before the proxy
				* acknowledged one */
	/* Those that may be valid, oldest first. */
	struct sent_grant *sent_grants;
	size_t nsent_grants;
};

struct customer_quota {
	char name[ID_LEN];
	int64_t limit;
	struct holder *holders;
	size_t nholders;
	UT_hash_handle hh;
};

/* An answer that was sent to a proxy. */
struct sent_answer {
	int64_t seq;
	clk_ms sent_at;
	clk_ms ask_sent_after; /* its ask was sent after this */
	bool without_grants; /* carried no grants and no grant_ms */
};

struct proxy_quota {
	char id[ID_LEN];
	clk_ms last_ask; /* when its last ask arrived */
	/* The ask of the last answer that it acknowledged was sent after this;
	 * its use of the floor is counted from that ask. */
	clk_ms ask_sent_after;
	bool acknowledged; /* acknowledged grants of this term */
	bool ask_in_term; /* its last ask was sent in this term */
	struct sent_answer sent_answers[QUOTA_MAX_UNACKED];
	size_t nsent_answers;
	struct customer_quota **customers; /* those with a holder here */
	size_t ncustomers;
};

struct quota_server {
	clk_ms grant_ms;
	clk_ms term_start; /* when this term began */
	int64_t lists_version;
	int64_t roster_version; /* sum of the records' versions, plus
				 * their number */
	uint64_t roster_hash; /* hash of ids and zones */
	clk_ms roster_next_check; /* when its changes are looked for next */
	struct customer_quota *customers;
	struct proxy_quota *proxies;
	size_t nproxies;
	struct quota_grant *grants; /* of the last answer */
};

#define QUOTA_DISTANT_PAST (INT64_MIN / 2)

struct quota_server *quota_server_new(clk_ms grant_ms)
{
	struct quota_server *q = calloc(1, sizeof(*q));

	if (!q)
		abort();
	q->grant_ms = grant_ms;
	q->term_start = QUOTA_DISTANT_PAST;
	q->lists_version = -1;
	return q;
}

static void quota_clear(struct quota_server *q)
{
	struct customer_quota *c;
	struct customer_quota *next;

	HASH_ITER (hh, q->customers, c, next) {
		HASH_DEL(q->customers, c);
		for (size_t i = 0; i < c->nholders; i++)
			free(c->holders[i].sent_grants);
		free(c->holders);
		free(c);
	}
	for (size_t i = 0; i < q->nproxies; i++)
		free(q->proxies[i].customers);
	free(q->proxies);
	q->proxies = NULL;
	q->nproxies = 0;
	q->lists_version = -1;
	q->roster_version = -1;
}

void quota_server_free(struct quota_server *q)
{
	if (!q)
		return;
	quota_clear(q);
	free(q->grants);
	free(q);
}

void quota_server_start_term(struct quota_server *q, clk_ms now)
{
	quota_clear(q);
	q->term_start = now;
}

static size_t quota_proxy(struct quota_server *q, const char *id)
{
	struct proxy_quota *p;

	for (size_t i = 0; i < q->nproxies; i++)
		if (!strcmp(q->proxies[i].id, id))
			return i;
	q->proxies =
		realloc(q->proxies, (q->nproxies + 1) * sizeof(*q->proxies));
	if (!q->proxies)
		abort();
	p = &q->proxies[q->nproxies];
	memset(p, 0, sizeof(*p));
	snprintf(p->id, ID_LEN, "%s", id);
	p->ask_sent_after = QUOTA_DISTANT_PAST;
	p->last_ask = QUOTA_DISTANT_PAST;
	return q->nproxies++;
}

static struct customer_quota *quota_customer(struct quota_server *q,
					     const char *name, bool add)
{
	struct customer_quota *c;

	HASH_FIND_STR(q->customers, name, c);
	if (c || !add)
		return c;
	c = calloc(1, sizeof(*c));
	if (!c)
		abort();
	snprintf(c->name, ID_LEN, "%s", name);
	HASH_ADD_STR(q->customers, name, c);
	return c;
}

static struct holder *quota_holder(struct quota_server *q,
				   struct customer_quota *c, size_t proxy)
{
	struct proxy_quota *p = &q->proxies[proxy];
	struct holder *h;

	for (size_t i = 0; i < c->nholders; i++)
		if (c->holders[i].proxy == proxy)
			return &c->holders[i];
	c->holders =
		realloc(c->holders, (c->nholders + 1) * sizeof(*c->holders));
	p->customers = realloc(p->customers,
			       (p->ncustomers + 1) * sizeof(*p->customers));
	if (!c->holders || !p->customers)
		abort();
	h = &c->holders[c->nholders++];
	memset(h, 0, sizeof(*h));
	h->proxy = proxy;
	h->demand_at = QUOTA_DISTANT_PAST;
	p->customers[p->ncustomers++] = c;
	return h;
}

static void quota_set_floors(struct quota_server *q, struct customer_quota *c,
			     const struct floor_map *m, const size_t *index,
			     int64_t *floors)
{
	quota_floors(m, c->name, c->limit, floors);
	for (size_t i = 0; i < c->nholders; i++)
		c->holders[i].floor = 0;
	for (size_t i = 0; i < m->n; i++) {
		struct holder *h;

		if (!floors[i])
			continue;
		h = quota_holder(q, c, index[i]);
		h->floor = floors[i];
		if (!q->proxies[index[i]].acknowledged &&
		    h->assumed_floor < h->floor)
			h->assumed_floor = h->floor;
	}
}

static void quota_set_all_floors(struct quota_server *q,
				 const struct proxy_info *proxies, size_t n)
{
	int64_t *floors = calloc(n + 1, sizeof(*floors));
	size_t *index = calloc(n + 1, sizeof(*index));
	struct floor_map m;

	if (!floors || !index)
		abort();
	floor_map_init(&m, proxies, n);
	for (size_t i = 0; i < n; i++)
		index[i] = quota_proxy(q, proxies[i].id);
	for (struct customer_quota *c = q->customers; c; c = c->hh.next)
		quota_set_floors(q, c, &m, index, floors);
	floor_map_free(&m);
	free(floors);
	free(index);
}

static void quota_update_limits(struct quota_server *q, const struct lists *l)
{
	for (struct customer_quota *c = q->customers; c; c = c->hh.next)
		c->limit = 0;
	for (int64_t i = 0; i < l->ncustomers; i++)
		quota_customer(q, l->customers[i].name, true)->limit =
			lst_customer_plan(l, &l->customers[i])->connections;
}

static uint64_t hash_roster(const struct proxy_info *p, size_t n)
{
	uint64_t hash = n;

	for (size_t i = 0; i < n; i++) {
		hash = XXH3_64bits_withSeed(p[i].id, strlen(p[i].id), hash);
		hash = XXH3_64bits_withSeed(p[i].zone, strlen(p[i].zone), hash);
	}
	return hash;
}

/*
 * Recomputes the floors if the configuration lists or the roster have changed.
 * If only the roster has changed, this is done at most once in
 * QUOTA_ROSTER_INTERVAL_MS, because all proxies of a zone may start at the same
 * time.
 */
static void quota_refresh(struct quota_server *q, const struct lists *lists,
			  const struct proxy_info *proxies, size_t n,
			  clk_ms now)
{
	int64_t version = (int64_t)n;
	uint64_t roster;

	for (size_t i = 0; i < n; i++)
		version += proxies[i].version;
	if (lists->version == q->lists_version &&
	    (version == q->roster_version || now < q->roster_next_check))
		return;
	roster = hash_roster(proxies, n);
	q->roster_version = version;
	if (lists->version == q->lists_version && roster == q->roster_hash)
		return;
	if (lists->version != q->lists_version)
		quota_update_limits(q, lists);
	q->lists_version = lists->version;
	q->roster_hash = roster;
	q->roster_next_check = now + QUOTA_ROSTER_INTERVAL_MS;
	quota_set_all_floors(q, proxies, n);
}

/* Drops the grants older than the acknowledged answer: it replaced them. */
static void holder_acknowledge(struct holder *h, int64_t seq)
{
	size_t n = 0;

	while (n < h->nsent_grants && h->sent_grants[n].seq < seq)
		n++;
	h->nsent_grants -= n;
	if (h->nsent_grants)
		memmove(h->sent_grants, h->sent_grants + n,
			h->nsent_grants * sizeof(*h->sent_grants));
	h->assumed_floor = 0;
}

static void quota_acknowledge(struct quota_server *q, size_t proxy,
			      const struct sent_answer *s)
{
	struct proxy_quota *p = &q->proxies[proxy];

	if (s->without_grants)
		return;
	p->acknowledged = true;
	if (s->ask_sent_after > p->ask_sent_after)
		p->ask_sent_after = s->ask_sent_after;
	for (size_t i = 0; i < p->ncustomers; i++)
		holder_acknowledge(quota_holder(q, p->customers[i], proxy),
				   s->seq);
}

/* Processes the acknowledgement in an ask. Returns a time after which the ask
 * was certainly sent: when the answer that it names was sent. */
static clk_ms quota_process_acknowledgement(struct quota_server *q,
					    size_t proxy,
					    const struct msg_ask *ask,
					    clk_ms now)
{
	struct proxy_quota *p = &q->proxies[proxy];
	clk_ms sent_after = QUOTA_DISTANT_PAST;
	size_t n = 0;

	p->last_ask = now;
	p->ask_in_term = false;
	while (n < p->nsent_answers &&
	       p->sent_answers[n].seq != ask->last_answer_seq)
		n++;
	if (n == p->nsent_answers)
		return sent_after;
	p->ask_in_term = true;
	sent_after = p->sent_answers[n].sent_at;
	quota_acknowledge(q, proxy, &p->sent_answers[n]);
	p->nsent_answers -= n;
	memmove(p->sent_answers, p->sent_answers + n,
		p->nsent_answers * sizeof(*p->sent_answers));
	return sent_after;
}

static void quota_update_demands(struct quota_server *q, size_t proxy,
				 const struct msg_ask *ask, clk_ms now)
{
	struct proxy_quota *p = &q->proxies[proxy];

	for (size_t i = 0; i < p->ncustomers; i++) {
		struct holder *h = quota_holder(q, p->customers[i], proxy);

		h->in_use = 0;
		h->reported_held = 0;
		if (now - h->demand_at > QUOTA_DEMAND_PEAK_MS)
			h->demand = 0;
	}
	for (int64_t i = 0; i < ask->ndemands; i++) {
		const struct quota_demand *d = &ask->demands[i];
		struct customer_quota *c =
			quota_customer(q, d->customer, false);
		struct holder *h;

		if (!c || d->in_use < 0 || d->queued < 0)
			continue;
		h = quota_holder(q, c, proxy);
		h->in_use = d->in_use;
		h->reported_held = d->held_units;
		if (d->in_use + d->queued < h->demand)
			continue;
		h->demand = d->in_use + d->queued;
		h->demand_at = now;
	}
}

/* Highest floor of all answers that the proxy may have received last. */
static int64_t holder_floor(const struct holder *h)
{
	int64_t floor = h->assumed_floor;

	for (size_t i = 0; i < h->nsent_grants; i++)
		if (h->sent_grants[i].floor > floor)
			floor = h->sent_grants[i].floor;
	return floor;
}

/* Most units that the proxy may use at any time until a grant made now ends. */
static int64_t holder_reserved(const struct quota_server *q,
			       const struct holder *h, clk_ms now)
{
	const struct proxy_quota *p = &q->proxies[h->proxy];
	int64_t units = 0;

	if (now > p->ask_sent_after + q->grant_ms)
		units = holder_floor(h);
	if (now - p->last_ask <= q->grant_ms && h->in_use > units)
		units = h->in_use;
	for (size_t i = 0; i < h->nsent_grants; i++)
		if (h->sent_grants[i].until > now &&
		    h->sent_grants[i].units > units)
			units = h->sent_grants[i].units;
	return units;
}

static bool holder_has_demand(const struct quota_server *q,
			      const struct holder *h, clk_ms now)
{
	return h->demand > 0 &&
	       now - q->proxies[h->proxy].last_ask <= q->grant_ms;
}

/* True if self gets one of the remainder units that remain after every holder
 * has received its demand or level, whichever is less. Only holders whose
 * demand exceeds level get one; the first to get one changes every
 * QUOTA_DEMAND_PEAK_MS. */
static bool quota_gets_remainder(const struct quota_server *q,
				 const struct customer_quota *c,
				 const struct holder *self, int64_t level,
				 int64_t remainder, clk_ms now)
{
	size_t turn = (size_t)(now / QUOTA_DEMAND_PEAK_MS);

	for (size_t i = 0; i < c->nholders && remainder > 0; i++) {
		const struct holder *h = &c->holders[(i + turn) % c->nholders];

		if (!holder_has_demand(q, h, now) || h->demand <= level)
			continue;
		if (h == self)
			return true;
		remainder--;
	}
	return false;
}

/* Max-min fair share of self, for a limit that is less than the sum of the
 * demands. */
static int64_t quota_fair_share(const struct quota_server *q,
				const struct customer_quota *c,
				const struct holder *self, clk_ms now)
{
	int64_t level = 0;
	int64_t remainder = 0;
	int64_t last;

	do {
		int64_t left = c->limit;
		int64_t n = 0;

		last = level;
		for (size_t i = 0; i < c->nholders; i++) {
			const struct holder *h = &c->holders[i];

			if (!holder_has_demand(q, h, now))
				continue;
			if (h->demand <= last)
				left -= h->demand;
			else
				n++;
		}
		level = n ? left / n : last;
		remainder = n ? left % n : 0;
	} while (level > last);
	if (self->demand <= level)
		return self->demand;
	return level + quota_gets_remainder(q, c, self, level, remainder, now);
}

/* Units that the proxy should get, whatever others still hold: its demand and
 * an equal part of the unused units, or its fair share if the limit is too
 * small for all demands. A proxy without demand gets one unit if the unused
 * units suffice for all holders. */
static int64_t quota_target(const struct quota_server *q,
			    const struct customer_quota *c,
			    const struct holder *self, clk_ms now)
{
	int64_t total = 0;
	int64_t n = 0;

	for (size_t i = 0; i < c->nholders; i++) {
		if (!holder_has_demand(q, &c->holders[i], now))
			continue;
		total += c->holders[i].demand;
		n++;
	}
	if (!self->demand)
		return c->limit - total >= (int64_t)c->nholders ? 1 : 0;
	if (total <= c->limit)
		return self->demand + (c->limit - total) / n;
	return quota_fair_share(q, c, self, now);
}

/* Units to grant to the proxy now, without those that others may still use. */
static int64_t quota_units_to_grant(const struct quota_server *q,
				    const struct customer_quota *c,
				    const struct holder *self, clk_ms now)
{
	int64_t left = c->limit;
	int64_t units;

	for (size_t i = 0; i < c->nholders; i++)
		if (&c->holders[i] != self)
			left -= holder_reserved(q, &c->holders[i], now);
	if (now < q->term_start + q->grant_ms)
		units = self->reported_held;
	else
		units = quota_target(q, c, self, now);
	if (units > left)
		units = left;
	return units > 0 ? units : 0;
}

/* Floor to send to the proxy. It may only grow by units that are in no floor
 * that another proxy may still have. */
static int64_t quota_floor_to_send(const struct customer_quota *c,
				   const struct holder *self)
{
	int64_t left = quota_floor_total(c->limit);

	for (size_t i = 0; i < c->nholders; i++)
		if (&c->holders[i] != self)
			left -= holder_floor(&c->holders[i]);
	if (left < 0)
		left = 0;
	return self->floor < left ? self->floor : left;
}

static void holder_add_sent_grant(struct holder *h,
				  const struct sent_grant *grant)
{
	struct sent_grant *p;

	if (h->nsent_grants == QUOTA_MAX_UNACKED) {
		/* Merges the two oldest. The maximum of each field is never
		 * less than what the proxy may have from either of them. */
		p = h->sent_grants;
		if (p[0].units > p[1].units)
			p[1].units = p[0].units;
		if (p[0].floor > p[1].floor)
			p[1].floor = p[0].floor;
		if (p[0].until > p[1].until)
			p[1].until = p[0].until;
		memmove(p, p + 1, --h->nsent_grants * sizeof(*p));
	}
	h->sent_grants = realloc(h->sent_grants, (h->nsent_grants +
						  1) * sizeof(*h->sent_grants));
	if (!h->sent_grants)
		abort();
	h->sent_grants[h->nsent_grants++] = *grant;
}

static void quota_grant(struct quota_server *q, size_t proxy, clk_ms now,
			struct msg_answer *a)
{
	const struct proxy_quota *p = &q->proxies[proxy];

	q->grants =
		realloc(q->grants, (p->ncustomers + 1) * sizeof(*q->grants));
	if (!q->grants)
		abort();
	a->grants = q->grants;
	for (size_t i = 0; i < p->ncustomers; i++) {
		struct customer_quota *c = p->customers[i];
		struct holder *h = quota_holder(q, c, proxy);
		struct sent_grant grant = {
			.seq = a->answer_seq,
			.units = quota_units_to_grant(q, c, h, now),
			.floor = quota_floor_to_send(c, h),
			.until = now + q->grant_ms};
		struct quota_grant *g;

		if (!grant.units && !grant.floor)
			continue;
		holder_add_sent_grant(h, &grant);
		g = &q->grants[a->ngrants++];
		memcpy(g->customer, c->name, ID_LEN);
		g->units = grant.units;
		g->floor = grant.floor;
	}
}

static void quota_record_answer(struct proxy_quota *p,
				const struct sent_answer *s)
{
	if (p->nsent_answers == QUOTA_MAX_UNACKED)
		memmove(p->sent_answers, p->sent_answers + 1,
			--p->nsent_answers * sizeof(*p->sent_answers));
	p->sent_answers[p->nsent_answers++] = *s;
}

void quota_server_handle_ask(struct quota_server *q, const char *proxy,
			     const struct msg_ask *ask,
			     const struct lists *lists,
			     const struct proxy_info *proxies, size_t nproxies,
			     clk_ms now, struct msg_answer *answer)
{
	struct sent_answer s = {.seq = answer->answer_seq, .sent_at = now};
	size_t p;

	quota_refresh(q, lists, proxies, nproxies, now);
	p = quota_proxy(q, proxy);
	s.ask_sent_after = quota_process_acknowledgement(q, p, ask, now);
	quota_update_demands(q, p, ask, now);
	answer->ngrants = 0;
	/*
	 * In the first grant_ms of a term, grants are renewed as the proxy
	 * reports them, but only from an ask that was sent in this term: units
	 * reported earlier may have been granted to others since. Until such an
	 * ask arrives, the answer is empty and the proxy keeps what it has.
	 */
	s.without_grants =
		now < q->term_start + q->grant_ms && !q->proxies[p].ask_in_term;
	answer->grant_ms = s.without_grants ? 0 : q->grant_ms;
	if (!s.without_grants)
		quota_grant(q, p, now, answer);
	quota_record_answer(&q->proxies[p], &s);
}
