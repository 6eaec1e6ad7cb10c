#include "promote_priv.h"

#include <stdio.h>
#include <string.h>

/* What proxies report of the primaries, see promote.h. */

void pro_on_suspicion(struct pro *p, const char *group, const char *backend,
		      const char *proxy, clk_ms now)
{
	struct pro_group *g = pro_get_group(p, group);
	struct pro_report *r = NULL;

	if (strcmp(g->suspected_member, backend) != 0) {
		snprintf(g->suspected_member, ID_LEN, "%s", backend);
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
		r->first_at = now;
	}
	r->last_at = now;
}

void pro_on_primary_answer(struct pro *p, const char *group, clk_ms at)
{
	struct pro_group *g = pro_get_group(p, group);

	if (at > g->primary_heard_at)
		g->primary_heard_at = at;
}

void pro_expire_reports(struct pro_group *g, clk_ms now)
{
	int kept = 0;

	for (int i = 0; i < g->nreports; i++)
		if (now - g->reports[i].last_at < PRO_REPORT_VALID_MS)
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

bool pro_many_suspect(const struct pro *p, const struct pro_group *g,
		      clk_ms long_ms, clk_ms now)
{
	int live = pro_live_proxies(p);
	int n = 0;

	for (int i = 0; i < g->nreports; i++)
		n += now - g->reports[i].first_at >= long_ms;
	return 3 * n >= live && (n > 1 || (n == 1 && live == 1));
}

bool pro_primary_failed(struct pro *p, struct pro_group *g, clk_ms now)
{
	/* A new leader is told only some 100 ms later what proxies heard. */
	clk_ms heard_at = g->primary_heard_at > p->leading_since
				  ? g->primary_heard_at
				  : p->leading_since;
	bool unheard =
		g->nreports > 0 && now - heard_at >= PRO_NO_PROXY_ANSWER_MS;

	return unheard || pro_many_suspect(p, g, 0, now);
}
