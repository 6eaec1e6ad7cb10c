#include "quota.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct quota_client {
	struct quota_grant *grants; /* sorted by customer */
	size_t n;
	clk_ms ask_sent; /* when the ask of the last answer was sent */
	clk_ms grant_ms; /* 0 before the first answer */
};

struct quota_client *quota_client_new(void)
{
	struct quota_client *q = calloc(1, sizeof(*q));

	if (!q)
		abort();
	return q;
}

void quota_client_free(struct quota_client *q)
{
	if (!q)
		return;
	free(q->grants);
	free(q);
}

static int grant_compare(const void *a, const void *b)
{
	const struct quota_grant *x = a;
	const struct quota_grant *y = b;

	return strcmp(x->customer, y->customer);
}

void quota_client_apply_answer(struct quota_client *q,
			       const struct msg_answer *a, clk_ms ask_sent)
{
	size_t n = (size_t)a->ngrants;

	/* Ignores an answer that arrives after the answer to a later ask. */
	if (a->res || !a->grant_ms || (q->grant_ms && ask_sent < q->ask_sent))
		return;
	free(q->grants);
	q->grants = malloc((n ? n : 1) * sizeof(*q->grants));
	if (!q->grants)
		abort();
	if (n) {
		memcpy(q->grants, a->grants, n * sizeof(*q->grants));
		qsort(q->grants, n, sizeof(*q->grants), grant_compare);
	}
	q->n = n;
	q->ask_sent = ask_sent;
	q->grant_ms = a->grant_ms;
}

static const struct quota_grant *grant_find(const struct quota_client *q,
					    const char *customer)
{
	struct quota_grant key = {0};

	if (!q->n)
		return NULL;
	snprintf(key.customer, ID_LEN, "%s", customer);
	return bsearch(&key, q->grants, q->n, sizeof(*q->grants),
		       grant_compare);
}

int64_t quota_client_granted_units(const struct quota_client *q,
				   const char *customer, clk_ms now)
{
	const struct quota_grant *g = grant_find(q, customer);

	return g && now < quota_client_expiry(q) ? g->units : 0;
}

clk_ms quota_client_expiry(const struct quota_client *q)
{
	return q->grant_ms ? q->ask_sent + q->grant_ms - QUOTA_CANCEL_MARGIN_MS
			   : 0;
}

int64_t quota_client_units(const struct quota_client *q, const char *customer,
			   clk_ms now)
{
	const struct quota_grant *g = grant_find(q, customer);

	if (!g)
		return 0;
	if (now < quota_client_expiry(q))
		return g->units;
	return now >= q->ask_sent + 2 * q->grant_ms ? g->floor : 0;
}
