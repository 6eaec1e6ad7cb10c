#include "lease.h"

#include "id_array.h"

#include <stdlib.h>

enum {
	/* Added to the duration of a lease: a proxy's clock may run slower. */
	LSE_CLOCK_MARGIN_PERCENT = 10
};

void lse_start(struct lse_table *t, clk_ms lease_ms, clk_ms overlap_ms,
	       clk_ms now)
{
	lse_free(t);
	t->longest_ms = lease_ms + lease_ms * LSE_CLOCK_MARGIN_PERCENT / 100;
	t->unknown_until = now + overlap_ms + t->longest_ms;
}

void lse_free(struct lse_table *t)
{
	free(t->grants);
	*t = (struct lse_table){0};
}

void lse_note_support(struct lse_table *t, clk_ms until)
{
	if (until + t->longest_ms > t->unknown_until)
		t->unknown_until = until + t->longest_ms;
}

void lse_record(struct lse_table *t, const char *proxy, int64_t view_version,
		clk_ms now)
{
	struct lse_grant *g = id_array_find(t->grants, t->n, sizeof(*g), proxy);

	if (!g)
		g = id_array_insert((void **)&t->grants, &t->n, sizeof(*g),
				    proxy);
	g->granted_at = now;
	g->view_version = view_version;
}

clk_ms lse_over_at(const struct lse_table *t, int64_t change_version,
		   clk_ms since)
{
	clk_ms all = since + t->longest_ms;
	clk_ms over = t->unknown_until;

	for (size_t i = 0; i < t->n; i++) {
		const struct lse_grant *g = &t->grants[i];

		if (g->view_version < change_version &&
		    g->granted_at + t->longest_ms > over)
			over = g->granted_at + t->longest_ms;
	}
	return over < all ? over : all;
}

clk_ms lse_majority_supports_until(const struct lse_supporter *list, int n)
{
	clk_ms best = 0;
	int voters = 0;

	for (int i = 0; i < n; i++)
		voters += list[i].voter;
	for (int i = 0; i < n; i++) {
		clk_ms until = list[i].supports_until;
		int supporters = 0;

		for (int j = 0; j < n; j++)
			supporters += list[j].voter &&
				      list[j].supports_until >= until;
		if (2 * supporters > voters && until > best)
			best = until;
	}
	return best;
}
