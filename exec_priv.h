#ifndef EXEC_PRIV_H
#define EXEC_PRIV_H

/*
 * Internals of exec, shared only by the exec*.c files.
 *
 * exec.c: life of a request, delivery of data and results
 * exec_local.c: requests for a backend that this proxy owns
 * exec_remote.c: forwarding to an owner, and messages from other proxies
 * exec_pin.c: connections that stay reserved for one caller
 * exec_backend.c: the table of backends, their health and suspicion
 */

#include "cost.h"
#include "exec.h"
#include "health.h"
#include "pool.h"
#include "probe.h"
#include "runner.h"
#include "sched.h"

#include <ev.h>
#include <uthash.h>

enum {
	EXEC_DATA_BYTES_MAX = 64 << 10, /* most bytes in one DATA message */
	/* Connections left free for polls and control. */
	EXEC_RESERVED_CONNS = 4,
	EXEC_TICK_MS = 10,
	/* Added to the time limit of a forwarded request. */
	EXEC_OWNER_GRACE_MS = 500,
	/* Longest wait for a replica to catch up. */
	EXEC_CATCH_UP_WAIT_MS = 100,
	EXEC_STATUS_FRESH_MS = 5, /* a status this recent needs no new poll */
	/* Time between deletions of old rows of the request table. */
	EXEC_PRUNE_INTERVAL_MS = 60000
};

struct exec_backend;
struct exec_pin;

enum exec_state {
	EXEC_WAITING, /* queued in the scheduler */
	EXEC_CATCHING_UP, /* waits until the replica has caught up */
	EXEC_CONNECTING,
	EXEC_RUNNING,
	EXEC_FORWARDED,
	/* Freed when its end was delivered and its runner is gone. */
	EXEC_FINISHED
};

struct exec_req {
	int64_t id;
	struct exec *x;
	struct exec_sink sink; /* receives the answer if origin_link is NULL */
	/* To the proxy that forwarded the request; NULL if it started here. */
	struct link *origin_link;
	int64_t origin_run_id; /* run id at the origin proxy */
	struct msg_run run;
	void *run_mem; /* memory that run points to */
	struct exec_backend *b;
	enum exec_state state;
	struct sched_job job;
	bool has_slot;
	struct pool_request conn_request;
	struct pool_conn *conn;
	struct runner *runner;
	struct exec_pin *pin;
	/* To the backend's owner, while the request is forwarded. */
	struct link *owner_link;
	bool abandoned;
	bool ended; /* the result is known and end is set */
	bool end_delivered;
	struct msg_end end;
	char *text; /* memory of the text in end */
	ev_timer limit_timer;
	clk_ms arrived_at;
	int64_t arrived_us;
	int64_t started_us;
	struct exec_req *next_ended;
	bool free_pending;
	struct exec_req *next_to_free;
	UT_hash_handle hh;
};

/* A connection that stays reserved for one caller. */
struct exec_pin {
	int64_t id;
	struct exec *x;
	struct exec_backend *b;
	struct pool_conn *conn;
	/* To the caller's proxy; NULL if it is this one. */
	struct link *origin_link;
	char customer[ID_LEN];
	int64_t term;
	struct exec_req *running_req;
	UT_hash_handle hh;
};

/* Which proxy holds the pinned connection of a caller of this proxy. */
struct exec_route {
	int64_t pin;
	char owner[ID_LEN];
	UT_hash_handle hh;
};

struct exec_backend {
	char id[ID_LEN];
	char group[ID_LEN];
	char addr[ADDR_LEN];
	int64_t incarnation;
	bool owned;
	struct exec *x;
	struct pool *pool;
	struct probe *probe;
	struct sched *sched;
	struct cost *cost;
	struct health health;
	struct backend_status status;
	struct exec_routing_info hint;
	/* Exponentially weighted mean of the wait of forwarded requests. */
	int64_t forwarded_wait_us;
	bool suspect;
	enum suspect_reason reason;
	clk_ms unresponsive_since;
	/* The term in which the view names this backend as primary, and when
	 * the view first did so. */
	int64_t known_primary_term;
	clk_ms known_primary_since;
	clk_ms pruned_at;
	bool dispatching;
	int64_t catching_up; /* requests in EXEC_CATCHING_UP */
	UT_hash_handle hh;
};

struct exec {
	struct ev_loop *loop;
	const struct settings *set;
	struct view *view;
	struct peers *peers;
	struct rng *rng;
	struct exec_req *reqs;
	struct exec_pin *pins;
	struct exec_route *routes;
	struct exec_backend *backends;
	struct exec_req *ended_queue;
	struct exec_req **ended_queue_end;
	struct exec_req *reqs_to_free;
	/* Never started; ev_feed_event() runs it to report the ends. */
	ev_prepare flush;
	ev_timer tick;
	int64_t next_id;
	void (*on_suspect)(void *arg);
	void *suspect_arg;
};

/* exec.c */
struct exec_req *exec_req_new(struct exec *x, const struct msg_run *run);
void exec_end(struct exec_req *r, enum res res, const char *text);
void exec_set_end(struct exec_req *r, const struct msg_end *end);
void exec_deliver_data(struct exec_req *r, const char *bytes, size_t len);
void exec_free_if_finished(struct exec_req *r);
void exec_end_silently(struct exec_req *r);

/* exec_local.c */
void exec_local_start(struct exec_req *r);
void exec_local_cancel(struct exec_req *r);
void exec_local_abandon(struct exec_req *r);
void exec_local_expire(struct exec_req *r);
void exec_tick_req(struct exec_req *r, clk_ms now);
void exec_recheck_catching_up(struct exec_backend *b);
void exec_tick_backend(struct exec_backend *b, clk_ms now);
void exec_dispatch(struct exec_backend *b);
void exec_local_recheck(struct exec_req *r);
/*
 * The backend answers again on a new connection after the connection of the
 * status poll became unresponsive at the given time; see the definition.
 */
void exec_local_check_lost(struct exec_req *r, clk_ms silent_since);
void exec_local_unresponsive(struct exec_req *r, bool certain);

/* exec_pin.c */
struct exec_pin *exec_pin_find(struct exec *x, int64_t id);
struct pool_conn *exec_pin_detach(struct exec_pin *p);
void exec_pin_close(struct exec_pin *p);
void exec_update_health(struct exec_backend *b, enum res res);
void exec_pin_make_idle(struct exec_pin *p);
int64_t exec_pin_update(struct exec_req *r, const struct msg_end *end);

/* exec_backend.c */
struct exec_backend *exec_backend_get(struct exec *x, const char *id);
void exec_backends_update(struct exec *x);
void exec_backends_free(struct exec *x);
void exec_record_status(struct exec_backend *b,
			const struct backend_status *st);
void exec_record_failure(struct exec_backend *b);

/* exec_remote.c */
bool exec_is_local(struct exec *x, const struct msg_run *run,
		   const struct backend_info *b, const char **owner);
void exec_forward(struct exec_req *r, const char *owner);
void exec_remote_cancel(struct exec_req *r);
void exec_remote_abandon(struct exec_req *r);
void exec_remote_expire(struct exec_req *r);
void exec_routes_free(struct exec *x);

#endif
