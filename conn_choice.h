#ifndef CONN_CHOICE_H
#define CONN_CHOICE_H

/*
 * Choice of a connection to a member for a job of a tenant (prefix cch_). Each
 * connection belongs to one tenant, whose name the member was told when the
 * connection was opened, so the tenants of a proxy compete for its connections.
 *
 * The load that this answers: 84 tenants of very uneven size (Zipf
 * distribution, exponent 1.2) on 16 connections, where opening one takes 12 ms
 * of a slot of the member, and where a few tenants run several statements at a
 * time.
 *
 * Connections are opened on demand, never ahead of it. They stay open for the
 * next job of their tenant until another tenant needs a place. The functions
 * take the time and tables and return a choice; they do no I/O and keep no
 * state.
 */

#include "clock.h"

#include <stdbool.h>

enum {
	/* How long a job waits for a busy connection of its tenant before
	 * another one is opened for it; opening takes as long. */
	CCH_OPEN_DELAY_MS = 10,
	/* Connections that may be opening at a time. Each one occupies a slot
	 * of the member; after the failure of a runner, all tenants that moved
	 * need one at once. */
	CCH_OPENING_MAX = 2,
	/* A new connection is not taken from its tenant before it was used,
	 * for so long: it was opened for a job that may wait for a slot. */
	CCH_UNUSED_MS = 100
};

enum cch_state {
	CCH_IDLE,
	CCH_OPENING,
	CCH_BUSY, /* has a statement in progress and is free after it */
	CCH_IN_TXN /* belongs to a transaction */
};

/* How much of the session's values a connection already has, best first. */
enum cch_values {
	CCH_VALUES_SAME,
	CCH_VALUES_NONE,
	CCH_VALUES_OTHER /* they have to be reset first */
};

struct cch_conn {
	const char *tenant; /* name; empty for jobs without a tenant */
	enum cch_state state;
	clk_ms idle_since; /* with CCH_IDLE */
	bool used; /* it has run a statement since it was opened */
	enum cch_values values; /* compared with those of the job */
};

struct cch_pool {
	const struct cch_conn *conns;
	int n;
	int share; /* connections that this proxy may hold */
	int extra; /* and so many more while all of the share are in use */
	int opening_max; /* that may be opening now; 0 if none may be opened */
	bool slots_busy; /* this proxy uses all slots of the member */
};

struct cch_job {
	const char *tenant;
	clk_ms waited_ms; /* since the tenant's oldest waiting job was queued */
	int waiting; /* jobs of the tenant that wait, this one included */
};

enum cch_action {
	CCH_USE, /* conn */
	CCH_OPEN,
	CCH_REPLACE, /* close conn, then open one for the tenant */
	CCH_WAIT
};

struct cch_choice {
	enum cch_action action;
	int conn; /* index into the pool's table, with USE and REPLACE */
};

/* Never returns a connection that is not idle, for USE one of another tenant,
 * or for REPLACE one of the same tenant. */
struct cch_choice cch_choose(const struct cch_pool *p, const struct cch_job *j,
			     clk_ms now);

/*
 * Returns the idle connection that is the least useful, or -1 if there is none:
 * the least recently used one of the tenants with several idle connections, or
 * else of all. Those of the tenant except (may be NULL) and those not idle
 * for min_idle_ms are left out.
 */
int cch_find_spare(const struct cch_pool *p, const char *except,
		   clk_ms min_idle_ms, clk_ms now);

#endif
