#include "conn_choice.h"

#include <string.h>

/* Returns the best idle connection of a tenant, or -1. */
static int cch_find_idle(const struct cch_pool *p, const char *tenant)
{
	int best = -1;

	for (int i = 0; i < p->n; i++) {
		const struct cch_conn *c = &p->conns[i];
		const struct cch_conn *b = best < 0 ? NULL : &p->conns[best];

		if (c->state != CCH_IDLE || strcmp(c->tenant, tenant) != 0)
			continue;
		if (!b || c->values < b->values ||
		    (c->values == b->values && c->idle_since > b->idle_since))
			best = i;
	}
	return best;
}

static int cch_count(const struct cch_pool *p, const char *tenant,
		     enum cch_state state)
{
	int n = 0;

	for (int i = 0; i < p->n; i++)
		n += p->conns[i].state == state &&
		     (!tenant || !strcmp(p->conns[i].tenant, tenant));
	return n;
}

int cch_find_spare(const struct cch_pool *p, const char *except,
		   clk_ms min_idle_ms, clk_ms now)
{
	int best = -1;
	bool best_several = false;

	for (int i = 0; i < p->n; i++) {
		const struct cch_conn *c = &p->conns[i];
		clk_ms idle_ms = now - c->idle_since;
		bool several;

		if (c->state != CCH_IDLE || idle_ms < min_idle_ms ||
		    (!c->used && idle_ms < CCH_UNUSED_MS) ||
		    (except && !strcmp(c->tenant, except)))
			continue;
		several = cch_count(p, c->tenant, CCH_IDLE) > 1;
		if (best >= 0 && (several < best_several ||
				  (several == best_several &&
				   c->idle_since >= p->conns[best].idle_since)))
			continue;
		best = i;
		best_several = several;
	}
	return best;
}

/* True if the job should rather wait for a connection that its tenant has: it
 * is busy or opening, and often free before another one is established. */
static bool cch_should_wait(const struct cch_pool *p, const struct cch_job *j)
{
	int opening = cch_count(p, j->tenant, CCH_OPENING);

	if (!opening && !cch_count(p, j->tenant, CCH_BUSY))
		return false;
	return j->waited_ms < CCH_OPEN_DELAY_MS || p->slots_busy ||
	       opening >= j->waiting;
}

struct cch_choice cch_choose(const struct cch_pool *p, const struct cch_job *j,
			     clk_ms now)
{
	int idle = cch_find_idle(p, j->tenant);
	int spare;

	if (idle >= 0)
		return (struct cch_choice){.action = CCH_USE, .conn = idle};
	if (cch_count(p, NULL, CCH_OPENING) >= p->opening_max ||
	    cch_should_wait(p, j))
		return (struct cch_choice){.action = CCH_WAIT};
	if (p->n < p->share)
		return (struct cch_choice){.action = CCH_OPEN};
	spare = cch_find_spare(p, j->tenant, 0, now);
	if (spare >= 0)
		return (struct cch_choice){.action = CCH_REPLACE,
					   .conn = spare};
	if (p->n < p->share + p->extra)
		return (struct cch_choice){.action = CCH_OPEN};
	return (struct cch_choice){.action = CCH_WAIT};
}
