#include "cover.h"

/* A log that ends before another one was cut back, or is not the one that it
 * was. */
static bool cov_is_complete(const struct cov_group *g, int log)
{
	const struct cov_log *c = &g->logs[log];

	if (!c->complete || !c->known)
		return false;
	for (int i = 0; i < g->n; i++)
		if (g->logs[i].known && pos_cmp(g->logs[i].end, c->end) > 0)
			return false;
	return true;
}

bool cov_holds_all(const struct cov_group *g, int log)
{
	const struct cov_log *c = &g->logs[log];
	int covered = 0;

	if (!c->known)
		return false;
	for (int i = 0; i < g->n; i++)
		if (cov_is_complete(g, i) &&
		    pos_cmp(g->logs[i].end, c->end) <= 0)
			return true;
	for (int i = 0; i < g->n; i++)
		covered += g->logs[i].known &&
			   pos_cmp(g->logs[i].end, c->end) <= 0;
	return covered >= g->n + g->others - g->sync_replicas;
}

bool cov_is_covered(const struct cov_group *g, struct pos end)
{
	int64_t holders = 0;

	for (int i = 0; i < g->n; i++)
		holders +=
			g->logs[i].known && pos_cmp(g->logs[i].end, end) >= 0;
	return holders >= g->sync_replicas;
}

static bool cov_is_better(const struct cov_log *a, const struct cov_log *than)
{
	if (a->last_resort != than->last_resort)
		return a->last_resort < than->last_resort;
	return pos_cmp(a->end, than->end) > 0;
}

int cov_choose(const struct cov_group *g)
{
	int best = COV_NONE;

	for (int i = 0; i < g->n; i++) {
		if (!g->logs[i].may_lead || !cov_holds_all(g, i))
			continue;
		if (best == COV_NONE ||
		    cov_is_better(&g->logs[i], &g->logs[best]))
			best = i;
	}
	return best;
}
