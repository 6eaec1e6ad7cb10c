#ifndef FRONT_PRIV_H
#define FRONT_PRIV_H

/*
 * Shared by front.c (connections of callers), front_session.c (what a session
 * answers itself), front_run.c (one statement at the backends), front_try.c
 * (one try of it), front_fallback.c (reads that no replica can serve),
 * front_send.c (running a job here or by another proxy), front_choose_member.c
 * (choice of the member), front_key.c (API keys of callers), front_cap.c (rate
 * limits of tenants) and front_control.c (state received from control and
 * reported to it).
 */

#include "apikey.h"
#include "db.h"
#include "freshness.h"
#include "front.h"
#include "net.h"
#include "ratelim.h"
#include "retry.h"

#include <ev.h>

enum {
	/* interval of the timer for retries and deadlines */
	FRONT_TICK_MS = 10,
	/* connections of each backend that are not assigned to proxies */
	FRONT_SPARE_CONNECTIONS = 2,
	/* share of a replica's connections for the proxies of its own zone */
	FRONT_ZONE_PERCENT = 75,
	/* With fewer connections for each proxy, a connection is often taken
	 * away before it is used again, and a new one occupies a slot for 12
	 * ms. */
	FRONT_OWN_CONNECTIONS = 2,
	/* connections of a runner (relay.h) to a member, so that its
	 * transactions leave some for other jobs */
	FRONT_RUNNER_CONNECTIONS = 4,
	/* the same where there are tenants, each of which needs connections of
	 * its own: a runner then keeps those of most of its tenants open */
	FRONT_TENANT_RUNNER_CONNECTIONS = 16,
	/* share of a member's connections for runners; the rest is for proxies
	 * that can't reach a runner */
	FRONT_RUNNER_PERCENT = 90,
	/* members whose connections the metrics list */
	FRONT_LISTED_MEMBERS = 256,
	/* a group counts as recently read for so long; with many proxies, each
	 * reads a group every few seconds */
	FRONT_GROUP_READ_MS = 15000,
	FRONT_STARTUP_MS = 10000, /* for a caller to send its startup message */
	/* subtracted from the statement's time limit, for the way back to the
	 * caller */
	FRONT_ANSWER_MARGIN_MS = 15,
	/*
	 * Hedging: a read without an answer is sent again after
	 * FRONT_HEDGE_TIMES the average response time, within these bounds,
	 * since its answer was lost or its member hangs. About 2% of statements
	 * take longer.
	 */
	FRONT_HEDGE_TIMES = 6,
	FRONT_HEDGE_MIN_MS = 100,
	FRONT_HEDGE_MAX_MS = 400,
	FRONT_HEDGE_TRIES = 3, /* tries of one statement */
	/* the same for reads that must run on a primary */
	FRONT_HEDGE_TRIES_PRIMARY = 2,
	/* hedging budget before any read was counted; small, because members
	 * are overloaded already when all proxies start at once */
	FRONT_HEDGES_INITIAL = 1,
	/* hedging budget in percent of reads; if more are late, members are
	 * overloaded, and sending reads again would add to it */
	FRONT_HEDGE_PERCENT = 10,
	FRONT_RETRY_PAUSE_MS = 10, /* pause before a statement is tried again */
	/* while one read fetches the group's position from the primary, others
	 * wait for so long; most are answered by then */
	FRONT_POSITION_WAIT_MS = 100,
	/* Positions are exchanged with control every 400 ms. For the first
	 * position of a group this is done at once, but limited in rate and
	 * number, since all proxies may start at once. */
	FRONT_EARLY_ASK_MS = 100,
	FRONT_EARLY_ASKS_MAX = 10, /* maximum since the start of the process */
	/* added to the cost of a member in another zone, because traffic
	 * between zones is paid for: a part of the objective, which still
	 * leaves time for a slower member in the own zone */
	FRONT_OTHER_ZONE_COST_MS = 20, /* at least */
	FRONT_OTHER_ZONE_OBJECTIVE_PART = 8, /* objective divided by this */
	/* added to the cost of a read on the primary, which alone can serve
	 * writes; divided by its slots */
	FRONT_PRIMARY_COST_MS = 60,
	/* members that a read is moved away from after they refused it for
	 * overload; groups have three members */
	FRONT_REFUSALS_MAX = 2,
	/* after so long without a read that no replica could serve, the log
	 * tells that they are over */
	FRONT_FALLBACK_OVER_MS = 1000,
	/* TCP_USER_TIMEOUT of connections of callers */
	FRONT_CALLER_TIMEOUT_MS = 20000
};

enum front_txn {
	FRONT_NONE,
	FRONT_BEGUN, /* begun by the caller; no member knows of it yet */
	FRONT_OPEN, /* open on a backend connection */
	FRONT_FAILED /* failed; the caller has to end it */
};

/* Who holds the connection that a transaction keeps. */
enum front_kept_by {
	FRONT_NOT_KEPT,
	FRONT_KEPT_LOCAL,
	FRONT_KEPT_BY_RUNNER /* by the runner, see relay.h */
};

struct front_kept {
	enum front_kept_by by;
	union {
		struct db_conn *conn;
		struct relay_pin *pin;
	} u;
};

struct front_group {
	char name[ID_LEN];
	char primary[ID_LEN]; /* id of the primary that control recorded */
	int64_t term; /* of that record */
	clk_ms lease_until; /* end of the lease of the group; 0 if none */
	struct db_member **members;
	size_t nmembers;
	struct freshness_samples fresh;
	clk_ms pos_needed_at; /* when a read last needed a position */
	/* smallest age that its reads with bounded staleness allow; 0 before
	 * the first */
	clk_ms min_age_ms;
	/* when a read last went to the primary because no position was known */
	clk_ms primary_read_at;
	/* Reads that no replica could serve since the first of them: how many
	 * were sent to the primary and how many refused; times of the first and
	 * the last, or 0. */
	uint64_t fallback_sent;
	uint64_t fallback_refused;
	clk_ms fallback_first;
	clk_ms fallback_last;
};

/* The statement that a session currently runs. */
struct front_run {
	bool active;
	struct stmt stmt;
	struct buf line; /* bytes that stmt points into */
	bool writes;
	bool commits;
	bool is_read; /* it only reads, so it may be sent again */
	/* a read that runs on the primary inside a transaction */
	bool primary_read;
	clk_ms received_at;
	clk_ms deadline;
	clk_ms retry_at; /* time of the next try; 0 while a job runs */
	int tries;
	bool sent; /* some try was sent and got no answer */
	char avoid_member[ID_LEN]; /* the member that failed last */
	bool placed; /* the last try was a read that any member may serve */
	/* members that refused it for overload, and when to come back */
	char refused_by[FRONT_REFUSALS_MAX][ID_LEN];
	int nrefused;
	clk_ms retry_ms;
	/* bypass the runner, which can't reach the member */
	bool bypass_runner;
	bool hedge_denied; /* a hedge was denied by the budget */
	/* the last try was sent to the primary under a lease of this term of
	 * the group; 0 if it was not */
	int64_t lease_term;
	clk_ms lease_checked_at; /* when that lease held */
	bool commits_writes; /* it succeeded and made writes permanent */
	/* for the log: the sample whose position the last try had to see, and
	 * its age when the read or its transaction came; sent is 0 if there is
	 * none */
	struct freshness_sample required;
	clk_ms required_age_ms;
	/* for the log: position in the last answer, and whether it was taken as
	 * the primary's */
	struct pos answer_pos;
	bool answer_sampled;
	/* a commit that succeeded, whose answer waits for a lease */
	bool answer_held;
	struct buf held_answer;
	struct pos held_pos;
	enum res reason; /* why it was not run so far */
	/* Rate limit of the tenant, see front_cap.c. */
	struct rl_token token; /* for the next try; held until it is sent */
	bool token_asked; /* it was counted */
	bool token_waits; /* waits for a grant of tokens, until: */
	clk_ms token_wait_until;
};

struct front_session {
	struct front_server *server;
	struct net_conn *conn;
	struct front_session *prev;
	struct front_session *next;
	struct front_session *busy_prev;
	struct front_session *busy_next;
	bool busy; /* in the list of sessions that each timer tick checks */
	bool started;
	bool closing;
	clk_ms last_activity;
	char database[RT_DATABASE_NAME_LEN];
	char key_hash[RT_KEY_HASH_HEX]; /* of the API key; empty if none */
	/* whom the current or last transaction or statement runs for; empty if
	 * for no tenant */
	char tenant[ID_LEN];
	char group[ID_LEN]; /* group of the current transaction or statement */
	/* route of the current transaction or statement */
	struct rt_database route;
	struct sctx ctx;
	enum front_txn txn;
	bool txn_read_only;
	bool txn_has_writes;
	clk_ms txn_since; /* when BEGIN was received */
	/* why this proxy failed it; RES_OK once the caller was told */
	enum res txn_failure;
	/* position that covers the session's own commits */
	struct pos own_writes_pos;
	struct pos last_pos; /* last position reported to the caller */
	struct front_kept kept;
	struct db_job job;
	bool job_runs;
	char job_member[ID_LEN]; /* member where the job runs or ran */
	struct front_run run;
	bool processing_input;
};

struct front_server {
	struct ev_loop *loop;
	const struct settings *set;
	struct net_listener *listener;
	struct front_session *sessions;
	/* sessions with a statement or a transaction, or not started yet; few
	 * of many callers */
	struct front_session *busy_sessions;
	size_t count;
	struct route_table *routes;
	struct akey_lease key_lease;
	struct db *db;
	struct relay *relay;
	struct proxy_info *proxy_list;
	size_t nlist;
	int slice_count; /* see relay.h; 0 if each proxy runs its own jobs */
	int proxies; /* proxies that share the connections */
	int zone_proxies; /* proxies in this zone, this one included */
	struct front_group *groups; /* sorted by name */
	size_t ngroups;
	ev_timer tick;
	bool draining;
	bool refuse_statements; /* see front_end_transactions() */
	bool refuse_waiting;
	bool refuse_without_lease;
	void (*on_urgent)(void *arg);
	void *arg;
	/* Rate limits of tenants; NULL if there are none. */
	struct rl_client *caps;
	ev_prepare caps_prepare; /* sends asks once per turn of the loop */
	clk_ms caps_logged_at;
	bool (*on_rate_ask)(void *arg, const struct msg_rate_ask *ask);
	void *rate_arg;
	/* when on_urgent was last called for a suspected primary */
	clk_ms suspect_reported;
	clk_ms early_ask_at; /* when on_urgent was last called for a position */
	int early_asks;
	struct rng *rng; /* spreads the times to come back */
	/* for reads sent again without an answer */
	struct retry_budget hedge_budget;
	struct hist *latency; /* latency of statements at backends in us */
};

/* front.c: has each timer tick check the session until it is idle. */
void front_watch(struct front_session *s);

/* front_control.c: the pointer is valid until the roster is updated. */
struct front_group *front_find_group(struct front_server *f, const char *name);

/* Logs a sample of a member's answer, or of another proxy, that can't be right
 * together with those known. */
void front_check_sample(const struct front_group *g, const char *from,
			const struct freshness_sample *s);

/* Asks control early because a group's first position is missing or was just
 * learned. */
void front_ask_early(struct front_server *f, clk_ms now);

/* front_session.c */
void front_answer_ready(struct front_session *s);
void front_refuse(struct front_session *s, enum res r, const char *text);
void front_process_input(struct front_session *s);

/* front_key.c: keeps the hash of a caller's API key and overwrites the key. */
void front_take_key(struct front_session *s, char *key, size_t len);

/*
 * Decides whether the session's key permits a statement now, and sets the
 * tenant of the session and its job. An open transaction stays with its tenant.
 * A refused one has to be rolled back by the caller of this function.
 */
enum res front_check_key(struct front_session *s, clk_ms now);

/* Rolls back idle transactions whose key was withdrawn or given to another
 * tenant; to be called with a new configuration. */
void front_end_withdrawn(struct front_server *f, clk_ms now);

/* front_run.c */
void front_start_statement(struct front_session *s, clk_ms now);
void front_run_tick(struct front_session *s, clk_ms now);
void front_run_abort(struct front_session *s);

/* Answers the statement with an error of this proxy. */
void front_run_refuse(struct front_session *s, enum res r, const char *member);

/* The same with the time after which the caller should come back. */
void front_run_refuse_retry(struct front_session *s, enum res r,
			    const char *member, clk_ms retry_ms);

/* Has the statement tried again after a pause. */
void front_run_retry(struct front_session *s, clk_ms pause, enum res reason);

/* Returns the error for a statement that was sent and got no answer. */
enum res front_run_lost_reason(const struct front_session *s);

/* Tries a statement again that waits for a token. */
void front_run_on_token(struct front_session *s, clk_ms now);

/* Refuses the statement since its tenant has reached its rate limit. */
void front_run_refuse_rate(struct front_session *s, clk_ms retry_ms);

/* front_fallback.c: records how far the replica that answered is behind. */
void front_record_lag(struct front_session *s, const struct db_result *r);

/*
 * Decides about a read for which the primary was chosen, or no position is
 * known. Returns true if it may run there; otherwise it waits or was refused.
 * Without the setting pacing it always may.
 */
bool front_admit_fallback(struct front_session *s, struct pos need, clk_ms now);
bool front_admit_without_position(struct front_session *s, clk_ms now);

/* Counts a read that no replica could serve. */
void front_count_fallback(struct front_group *g, bool sent, clk_ms now);

/* Logs which groups' replicas can serve reads again. */
void front_fallback_tick(struct front_server *f, clk_ms now);

/* Gives up the statement under way and answers it. */
void front_run_expire(struct front_session *s);

/* front_try.c: starts one try of the session's statement. */
void front_try(struct front_session *s, clk_ms now);

/* front_send.c: runs a job here or by a proxy of the member's zone. */
int front_slice(const struct front_server *f, const char *group);
int front_count_slices(const struct front_server *f, int largest_zone);

/*
 * Sets, for each member, how many connections are this proxy's share and how
 * many proxies share the member. A runner shares it with the other proxies of
 * its slice. Without runners, every proxy needs the primary, while a replica is
 * mostly used by the proxies of its zone and occasionally by others. Some
 * connections are reserved for the control leader, which asks members for their
 * status.
 */
void front_assign_shares(struct front_server *f);
void front_send(struct front_session *s, struct db_member *m, clk_ms now);
void front_send_kept(struct front_session *s, clk_ms now);

/* The member of the session's open transaction; NULL if there is none. */
const struct db_member *front_kept_member(const struct front_session *s);
void front_cancel(struct front_session *s);

/* True if the result comes with the connection of an open transaction. */
bool front_result_keeps_conn(const struct db_result *r);
bool front_keep(struct front_session *s, const struct db_result *r,
		void (*lost)(void *arg));
void front_forget_kept(struct front_session *s);
void front_release_kept(struct front_session *s);
void front_release_result(const struct db_result *r);

/*
 * Ends the transaction of a statement that is given up. If the statement may
 * still be running, its connection is closed, which rolls it back; if it waits
 * to be sent, the transaction is rolled back on the connection.
 */
void front_give_up_kept(struct front_session *s);

/* front_cap.c */
void front_cap_init(struct front_server *f);
void front_cap_free(struct front_server *f);
void front_cap_tick(struct front_server *f, clk_ms now);
void front_cap_take_routes(struct front_server *f);

/* Starts a statement without a token. */
void front_cap_start(struct front_session *s);

/*
 * Takes the token for sending the first statement of an operation, unless the
 * session holds one. If there is none, the statement has been refused or waits
 * for one, and false is returned.
 */
bool front_cap_take(struct front_session *s, clk_ms now);

/* True if another token can be taken, for sending the statement again. */
bool front_cap_may_repeat(const struct front_session *s, clk_ms now);

/* The statement was sent and may have run: its token is used up. */
void front_cap_sent(struct front_session *s);

/* The statement has ended; a token that was not used goes back. */
void front_cap_end(struct front_session *s, clk_ms now);

/* front_choose_member.c */
struct db_member *front_primary(const struct front_group *g);

/* The group's primary if this proxy may use it as such: it has a lease, or
 * needs none. */
struct db_member *front_leased_primary(const struct front_group *g, clk_ms now);

/*
 * True if commits of the group are acknowledged only while a lease covers it.
 * Where the promoter does not depose the old primary, they may have been made
 * there after another member was promoted. With synchronous replicas they may
 * be missing in the log of the next primary, whatever the promoter does.
 */
bool front_commits_need_lease(const struct front_server *f,
			      const struct front_group *g);
struct db_member *front_place_read(struct front_server *f,
				   const struct front_session *s,
				   struct pos need, clk_ms now);

/* True if no replica can serve the read, since they lack the position or
 * refused it for overload. */
bool front_is_fallback(struct front_server *f, const struct front_session *s,
		       struct pos need, clk_ms now);

#endif
