#ifndef FRONT_PRIV_H
#define FRONT_PRIV_H

/*
 * Shared by front.c (callers), front_session.c (what a session answers by
 * itself), front_run.c (one statement at the backends), front_send.c (here or
 * by another proxy), front_place.c (which member) and front_view.c (what
 * control told, and what it is told).
 */

#include "db.h"
#include "fresh.h"
#include "front.h"
#include "net.h"
#include "retry.h"

#include <ev.h>

enum {
	FRONT_TICK_MS = 10, /* retries and limits are looked at this often */
	FRONT_SPARE_CONNECTIONS = 2, /* of each backend, not shared out */
	FRONT_ZONE_PERCENT = 75, /* of a replica's connections, for the proxies
				  * of its zone */
	/* With fewer for each proxy, a connection is often taken away before it
	 * is used again, and a new one takes a slot for 12 ms. */
	FRONT_OWN_CONNECTIONS = 2,
	FRONT_RUNNER_CONNECTIONS = 4, /* that a runner holds to a member, so
				       * that its transactions leave some */
	FRONT_RUNNER_PERCENT = 90, /* of a member's connections; the rest is for
				    * when a runner can't be reached */
	FRONT_WANTED_MS = 3000, /* a group counts as read for so long: the ages
				 * that plans allow are shorter */
	FRONT_LEARNED_MS = 400, /* an own position is young: as often as
				 * control is asked */
	FRONT_STARTUP_MS = 10000, /* for a caller to start its session */
	FRONT_ANSWER_MARGIN_MS = 15, /* before the limit: for the way back */
	/* A read without an answer is sent again after FRONT_HEDGE_TIMES the
	 * average response time, within these bounds: its answer was lost, or
	 * its member is stuck. About 2% of works take longer. */
	FRONT_HEDGE_TIMES = 6,
	FRONT_HEDGE_MIN_MS = 100,
	FRONT_HEDGE_MAX_MS = 400,
	FRONT_HEDGE_TRIES = 3, /* of one statement */
	FRONT_HEDGE_TRIES_PRIMARY = 2, /* the same on a primary */
	FRONT_HEDGES_FIRST = 1, /* before any read was counted: where all
				 * proxies start at once, members have too much
				 * to do already */
	FRONT_HEDGE_PERCENT = 10, /* of reads; more are late because members
				   * have too much to do, and sending them
				   * again adds to it */
	FRONT_PAUSE_MS = 10, /* before a statement is tried again */
	FRONT_LEARN_MS = 100, /* reads without a position wait for that of the
			       * first one: most are answered by then */
	/* Positions are told and asked for every 400 ms; for the first one of a
	 * group this does not wait, but no more often, since all proxies may
	 * start at once. */
	FRONT_HURRY_MS = 100,
	FRONT_HURRIES = 10, /* since the start of the process */
	FRONT_REMOTE_MS = 20, /* as if a member elsewhere were slower: bytes
			       * between zones are paid for */
	FRONT_PRIMARY_MS = 60, /* the same for reads on the primary, which
				* alone can write; divided by its slots */
	FRONT_CALLER_TIMEOUT_MS = 20000 /* TCP_USER_TIMEOUT of callers */
};

enum front_txn {
	FRONT_NONE,
	FRONT_BEGUN, /* answered here, no member has heard of it */
	FRONT_OPEN, /* on a connection */
	FRONT_FAILED /* has to be ended by the caller */
};

/* The connection that a transaction keeps. */
enum front_keeper {
	FRONT_KEPT_NOT,
	FRONT_KEPT_HERE,
	FRONT_KEPT_THERE /* by the proxy that runs the jobs */
};

struct front_kept {
	enum front_keeper by;
	union {
		struct db_conn *conn;
		struct relay_pin *pin;
	} u;
};

struct front_group {
	char name[ID_LEN];
	char primary[ID_LEN]; /* as control recorded it */
	struct db_member **members;
	size_t nmembers;
	struct frs fresh;
	clk_ms wanted; /* a read needed a position */
	clk_ms learned; /* own position, when what it answered was sent */
	clk_ms asked; /* a read went to the primary for want of a position */
};

/* The statement in hand. */
struct front_run {
	bool active;
	struct stmt stmt;
	struct buf line; /* that stmt points into */
	bool writes;
	bool commits;
	bool reads; /* may be repeated */
	bool current; /* a read that runs on the primary in a transaction */
	clk_ms since;
	clk_ms limit; /* when to give up */
	clk_ms retry_at; /* waits for this; 0 while a job runs */
	int tries;
	bool sent; /* some try was sent and has no answer */
	char avoid[ID_LEN]; /* member that failed last */
	bool direct; /* its runner does not reach the member */
	bool denied; /* it would have been sent again, but for the budget */
	enum res reason; /* why it was not run, so far */
};

struct front {
	struct fronts *all;
	struct net_conn *conn;
	struct front *prev;
	struct front *next;
	struct front *busy_prev;
	struct front *busy_next;
	bool busy; /* looked at in each tick */
	bool started;
	bool closing;
	clk_ms since; /* last activity */
	char database[RT_NAME_LEN];
	char group[ID_LEN]; /* of the transaction or statement */
	struct rt_database route; /* the same */
	struct sctx ctx;
	enum front_txn txn;
	bool txn_read; /* begun as read-only */
	bool txn_wrote;
	clk_ms txn_since; /* when its first byte came */
	enum res txn_lost; /* why it failed here, until that is told */
	struct pos own; /* covers the session's commits */
	struct pos last; /* last position told to the caller */
	struct front_kept kept;
	struct db_job job;
	bool job_runs;
	char job_member[ID_LEN]; /* where it runs or ran */
	struct front_run run;
	bool pumping;
};

struct fronts {
	struct ev_loop *loop;
	const struct settings *set;
	struct net_listener *listener;
	struct front *list;
	struct front *busy; /* those with a statement, a transaction or no
			     * start yet: few of many callers */
	size_t count;
	struct routes *routes;
	struct db *db;
	struct relay *relay;
	struct proxy_info *proxy_list;
	size_t nlist;
	int slices; /* see relay.h; 0: each proxy runs its jobs */
	int proxies; /* that share the connections */
	int neighbours; /* those in the own zone, this one included */
	struct front_group *groups; /* sorted by name */
	size_t ngroups;
	ev_timer tick;
	bool draining;
	bool refuse_waiting;
	void (*on_urgent)(void *arg);
	void *arg;
	clk_ms suspected; /* on_urgent was called for a primary */
	clk_ms hurried; /* the same for a position */
	int hurries;
	struct retry_budget hedges; /* for reads sent again without an answer */
	struct hist *latency; /* of statements at backends, us */
};

/* front.c: looked at in each tick, until it is idle. */
void front_watch(struct front *s);

/* front_view.c. The pointer is valid until the roster is taken anew. */
struct front_group *front_find_group(struct fronts *f, const char *name);

/* The first position of a group is missed, or was learned here. */
void front_hurry(struct fronts *f, clk_ms now);

/* front_session.c */
void front_answer_ready(struct front *s);
void front_refuse(struct front *s, enum res r, const char *text);
void front_pump(struct front *s);

/* front_run.c */
void front_start(struct front *s, clk_ms now);
void front_run_tick(struct front *s, clk_ms now);
void front_run_drop(struct front *s);

/* front_send.c: a job runs here, or by a proxy of the member's zone. */
int front_slice(const struct fronts *f, const char *group);
int front_count_slices(const struct fronts *f, int largest_zone);

/*
 * Sets for each member how many connections are this proxy's, and how many
 * proxies share it. A runner shares with those of its slice. Without runners
 * every proxy needs the primary; a replica is used by the proxies of its zone,
 * others come now and then. Some connections are left for the control leader,
 * which asks members for their status.
 */
void front_share_out(struct fronts *f);
void front_send(struct front *s, struct db_member *m, clk_ms now);
void front_send_kept(struct front *s, clk_ms now);
void front_cancel(struct front *s);

/* True if the result comes with the connection of a transaction. */
bool front_keeps(const struct db_result *r);
bool front_keep(struct front *s, const struct db_result *r,
		void (*lost)(void *arg));
void front_forget_kept(struct front *s);
void front_release_kept(struct front *s);
void front_release_result(const struct db_result *r);

/* Ends the transaction of a statement that is given up: what may still run is
 * rolled back with its connection, what waits to be sent is not. */
void front_give_up_kept(struct front *s);

/* front_place.c */
struct db_member *front_primary(const struct front_group *g);
struct db_member *front_place_read(struct fronts *f, const struct front *s,
				   struct pos need, clk_ms now);

#endif
