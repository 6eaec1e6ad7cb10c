#include "quota_priv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <uthash.h>
#include <xxhash.h>

enum {
	QUOTA_PARTS = 16, /* answers remembered until one is acknowledged */
	QUOTA_ROSTER_MS = 2000, /* between changes of floors by the roster */
	QUOTA_PEAK_MS = 2000 /* demand counts at its peak for this long */
};

/* What one answer said about a customer. */
struct part {
	int64_t seq;
	int64_t units;
	int64_t floor;
	clk_ms until; /* when the units have certainly expired */
};

/* A customer's units at one proxy. */
struct holder {
	size_t proxy;
	int64_t want; /* peak of in_use + queued */
	clk_ms want_at;
	int64_t in_use;
	int64_t reported; /* held, as reported */
	int64_t floor; /* by the lists and roster in force */
	int64_t assumed; /* highest such one before the proxy was known */
	struct part *parts; /* those that may be in force, oldest first */
	size_t nparts;
};

struct customer_quota {
	char name[ID_LEN];
	int64_t limit;
	struct holder *holders;
	size_t nholders;
	UT_hash_handle hh;
};

struct sent {
	int64_t seq;
	clk_ms at;
	clk_ms base; /* its ask was sent after this */
	bool empty; /* carried no quota */
};

struct proxy_quota {
	char id[ID_LEN];
	clk_ms heard;
	clk_ms base; /* its last answered ask was sent after this */
	bool known; /* acknowledged quota of this reign */
	bool proven; /* the current ask was sent in this reign */
	struct sent sent[QUOTA_PARTS];
	size_t nsent;
	struct customer_quota **customers; /* those with a holder here */
	size_t ncustomers;
};

struct quota_server {
	clk_ms grant_ms;
	clk_ms led;
	int64_t lists_version;
	int64_t roster_version; /* sum of the records' versions and number */
	uint64_t roster; /* hash of ids and zones */
	clk_ms roster_due; /* when a changed roster is looked at next */
	struct customer_quota *customers;
	struct proxy_quota *proxies;
	size_t nproxies;
	struct quota_grant *grants; /* of the last answer */
};

#define QUOTA_LONG_AGO (INT64_MIN / 2)

struct quota_server *quota_server_new(clk_ms grant_ms)
{
	struct quota_server *q = calloc(1, sizeof(*q));

	if (!q)
		abort();
	q->grant_ms = grant_ms;
	q->led = QUOTA_LONG_AGO;
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
			free(c->holders[i].parts);
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

void quota_server_lead(struct quota_server *q, clk_ms now)
{
	quota_clear(q);
	q->led = now;
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
	p->base = QUOTA_LONG_AGO;
	p->heard = QUOTA_LONG_AGO;
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
	h->want_at = QUOTA_LONG_AGO;
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
		if (!q->proxies[index[i]].known && h->assumed < h->floor)
			h->assumed = h->floor;
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

static void quota_take_limits(struct quota_server *q, const struct lists *l)
{
	for (struct customer_quota *c = q->customers; c; c = c->hh.next)
		c->limit = 0;
	for (int64_t i = 0; i < l->ncustomers; i++)
		quota_customer(q, l->customers[i].name, true)->limit =
			lst_plan_of(l, &l->customers[i])->connections;
}

static uint64_t roster_hash(const struct proxy_info *p, size_t n)
{
	uint64_t hash = n;

	for (size_t i = 0; i < n; i++) {
		hash = XXH3_64bits_withSeed(p[i].id, strlen(p[i].id), hash);
		hash = XXH3_64bits_withSeed(p[i].zone, strlen(p[i].zone), hash);
	}
	return hash;
}

/*
 * Takes over new lists or a changed roster. A changed roster alone waits for
 * QUOTA_ROSTER_MS, since all proxies of a zone may start at the same time.
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
	    (version == q->roster_version || now < q->roster_due))
		return;
	roster = roster_hash(proxies, n);
	q->roster_version = version;
	if (lists->version == q->lists_version && roster == q->roster)
		return;
	if (lists->version != q->lists_version)
		quota_take_limits(q, lists);
	q->lists_version = lists->version;
	q->roster = roster;
	q->roster_due = now + QUOTA_ROSTER_MS;
	quota_set_all_floors(q, proxies, n);
}

static void holder_acknowledge(struct holder *h, int64_t seq)
{
	size_t n = 0;

	while (n < h->nparts && h->parts[n].seq < seq)
		n++;
	h->nparts -= n;
	if (h->nparts)
		memmove(h->parts, h->parts + n, h->nparts * sizeof(*h->parts));
	h->assumed = 0;
}

static void quota_acknowledge(struct quota_server *q, size_t proxy,
			      const struct sent *s)
{
	struct proxy_quota *p = &q->proxies[proxy];

	if (s->empty)
		return;
	p->known = true;
	if (s->base > p->base)
		p->base = s->base;
	for (size_t i = 0; i < p->ncustomers; i++)
		holder_acknowledge(quota_holder(q, p->customers[i], proxy),
				   s->seq);
}

/* Learns from an ask what the proxy holds; returns a time after which the ask
 * was sent. */
static clk_ms quota_hear(struct quota_server *q, size_t proxy,
			 const struct msg_ask *ask, clk_ms now)
{
	struct proxy_quota *p = &q->proxies[proxy];
	clk_ms sent_after = QUOTA_LONG_AGO;
	size_t n = 0;

	p->heard = now;
	p->proven = false;
	while (n < p->nsent && p->sent[n].seq != ask->answer_seen)
		n++;
	if (n == p->nsent)
		return sent_after;
	p->proven = true;
	sent_after = p->sent[n].at;
	quota_acknowledge(q, proxy, &p->sent[n]);
	p->nsent -= n;
	memmove(p->sent, p->sent + n, p->nsent * sizeof(*p->sent));
	return sent_after;
}

static void quota_take_demands(struct quota_server *q, size_t proxy,
			       const struct msg_ask *ask, clk_ms now)
{
	struct proxy_quota *p = &q->proxies[proxy];

	for (size_t i = 0; i < p->ncustomers; i++) {
		struct holder *h = quota_holder(q, p->customers[i], proxy);

		h->in_use = 0;
		h->reported = 0;
		if (now - h->want_at > QUOTA_PEAK_MS)
			h->want = 0;
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
		h->reported = d->held;
		if (d->in_use + d->queued < h->want)
			continue;
		h->want = d->in_use + d->queued;
		h->want_at = now;
	}
}

/* Floor that the proxy may hold by any answer it may have received. */
static int64_t holder_floor(const struct holder *h)
{
	int64_t floor = h->assumed;

	for (size_t i = 0; i < h->nparts; i++)
		if (h->parts[i].floor > floor)
			floor = h->parts[i].floor;
	return floor;
}

/* Units that the proxy may use at some time until a grant made now ends. */
static int64_t holder_reserved(const struct quota_server *q,
			       const struct holder *h, clk_ms now)
{
	const struct proxy_quota *p = &q->proxies[h->proxy];
	int64_t units = 0;

	if (now > p->base + q->grant_ms)
		units = holder_floor(h);
	if (now - p->heard <= q->grant_ms && h->in_use > units)
		units = h->in_use;
	for (size_t i = 0; i < h->nparts; i++)
		if (h->parts[i].until > now && h->parts[i].units > units)
			units = h->parts[i].units;
	return units;
}

static bool holder_wants(const struct quota_server *q, const struct holder *h,
			 clk_ms now)
{
	return h->want > 0 && now - q->proxies[h->proxy].heard <= q->grant_ms;
}

/* Of those whose demand exceeds level, self gets one of the units that level
 * leaves over. Who comes first changes with time. */
static bool quota_gets_rest(const struct quota_server *q,
			    const struct customer_quota *c,
			    const struct holder *self, int64_t level,
			    int64_t rest, clk_ms now)
{
	size_t turn = (size_t)(now / QUOTA_PEAK_MS);

	for (size_t i = 0; i < c->nholders && rest > 0; i++) {
		const struct holder *h = &c->holders[(i + turn) % c->nholders];

		if (!holder_wants(q, h, now) || h->want <= level)
			continue;
		if (h == self)
			return true;
		rest--;
	}
	return false;
}

/* Max-min fair share of a limit that is too small for all demands. */
static int64_t quota_fair(const struct quota_server *q,
			  const struct customer_quota *c,
			  const struct holder *self, clk_ms now)
{
	int64_t level = 0;
	int64_t rest = 0;
	int64_t last;

	do {
		int64_t left = c->limit;
		int64_t n = 0;

		last = level;
		for (size_t i = 0; i < c->nholders; i++) {
			const struct holder *h = &c->holders[i];

			if (!holder_wants(q, h, now))
				continue;
			if (h->want <= last)
				left -= h->want;
			else
				n++;
		}
		level = n ? left / n : last;
		rest = n ? left % n : 0;
	} while (level > last);
	if (self->want <= level)
		return self->want;
	return level + quota_gets_rest(q, c, self, level, rest, now);
}

/* Units that the proxy should have: its demand and a part of what nobody
 * wants, or its fair share. */
static int64_t quota_target(const struct quota_server *q,
			    const struct customer_quota *c,
			    const struct holder *self, clk_ms now)
{
	int64_t total = 0;
	int64_t n = 0;

	for (size_t i = 0; i < c->nholders; i++) {
		if (!holder_wants(q, &c->holders[i], now))
			continue;
		total += c->holders[i].want;
		n++;
	}
	if (!self->want)
		return c->limit - total >= (int64_t)c->nholders ? 1 : 0;
	if (total <= c->limit)
		return self->want + (c->limit - total) / n;
	return quota_fair(q, c, self, now);
}

static int64_t quota_units(const struct quota_server *q,
			   const struct customer_quota *c,
			   const struct holder *self, clk_ms now)
{
	int64_t left = c->limit;
	int64_t units;

	for (size_t i = 0; i < c->nholders; i++)
		if (&c->holders[i] != self)
			left -= holder_reserved(q, &c->holders[i], now);
	if (now < q->led + q->grant_ms)
		units = self->reported;
	else
		units = quota_target(q, c, self, now);
	if (units > left)
		units = left;
	return units > 0 ? units : 0;
}

/* A floor may grow only into what no other proxy may still hold. */
static int64_t quota_new_floor(const struct customer_quota *c,
			       const struct holder *self)
{
	int64_t left = quota_half(c->limit);

	for (size_t i = 0; i < c->nholders; i++)
		if (&c->holders[i] != self)
			left -= holder_floor(&c->holders[i]);
	if (left < 0)
		left = 0;
	return self->floor < left ? self->floor : left;
}

static void holder_add_part(struct holder *h, const struct part *part)
{
	struct part *p;

	if (h->nparts == QUOTA_PARTS) {
		/* Taken together, they are never less than each. */
		p = h->parts;
		if (p[0].units > p[1].units)
			p[1].units = p[0].units;
		if (p[0].floor > p[1].floor)
			p[1].floor = p[0].floor;
		if (p[0].until > p[1].until)
			p[1].until = p[0].until;
		memmove(p, p + 1, --h->nparts * sizeof(*p));
	}
	h->parts = realloc(h->parts, (h->nparts + 1) * sizeof(*h->parts));
	if (!h->parts)
		abort();
	h->parts[h->nparts++] = *part;
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
		struct part part = {.seq = a->answer_seq,
				    .units = quota_units(q, c, h, now),
				    .floor = quota_new_floor(c, h),
				    .until = now + q->grant_ms};
		struct quota_grant *g;

		if (!part.units && !part.floor)
			continue;
		holder_add_part(h, &part);
		g = &q->grants[a->ngrants++];
		memcpy(g->customer, c->name, ID_LEN);
		g->units = part.units;
		g->floor = part.floor;
	}
}

static void quota_note_sent(struct proxy_quota *p, const struct sent *s)
{
	if (p->nsent == QUOTA_PARTS)
		memmove(p->sent, p->sent + 1, --p->nsent * sizeof(*p->sent));
	p->sent[p->nsent++] = *s;
}

void quota_server_ask(struct quota_server *q, const char *proxy,
		      const struct msg_ask *ask, const struct lists *lists,
		      const struct proxy_info *proxies, size_t nproxies,
		      clk_ms now, struct msg_answer *answer)
{
	struct sent s = {.seq = answer->answer_seq, .at = now};
	size_t p;

	quota_refresh(q, lists, proxies, nproxies, now);
	p = quota_proxy(q, proxy);
	s.base = quota_hear(q, p, ask, now);
	quota_take_demands(q, p, ask, now);
	answer->ngrants = 0;
	/*
	 * A renewal rests on the report of an ask that was sent in this reign:
	 * units reported earlier may have been granted to others since. Until
	 * then the proxy keeps what it has.
	 */
	s.empty = now < q->led + q->grant_ms && !q->proxies[p].proven;
	answer->grant_ms = s.empty ? 0 : q->grant_ms;
	if (!s.empty)
		quota_grant(q, p, now, answer);
	quota_note_sent(&q->proxies[p], &s);
}
