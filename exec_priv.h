#ifndef EXEC_PRIV_H
#define EXEC_PRIV_H

/* Internals of exec, shared by the exec_*.c files only. */

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
	EXEC_CHUNK = 64 << 10, /* bytes of one DATA message */
	EXEC_RESERVE = 4, /* connections kept for polls and control */
	EXEC_TICK_MS = 10,
	EXEC_GRACE_MS = 500, /* an owner may answer this much late */
	EXEC_BEHIND_MS = 100, /* longest wait for a replica to catch up */
	EXEC_POLL_FRESH_MS = 5, /* age of a hint that needs no new poll */
	EXEC_PRUNE_MS = 60000 /* between deletions of old request rows */
};

struct exec_backend;
struct exec_pin;

enum exec_state {
	EXEC_WAITING, /* in the scheduler */
	EXEC_BEHIND, /* until the replica has caught up */
	EXEC_CONNECTING,
	EXEC_RUNNING,
	EXEC_FORWARDED,
	EXEC_OVER /* freed once its end is delivered and its runner gone */
};

struct exec_req {
	int64_t id;
	struct exec *x;
	struct exec_sink sink; /* if from is NULL */
	struct link *from; /* origin proxy */
	int64_t remote_id; /* run id there */
	struct msg_run run;
	void *mem; /* of run */
	struct exec_backend *b;
	enum exec_state state;
	struct sched_job job;
	bool has_slot;
	struct pool_want want;
	struct pool_conn *conn;
	struct runner *runner;
	struct exec_pin *pin;
	struct link *to; /* owner */
	bool abandoned;
	bool ended; /* end is set */
	bool delivered;
	struct msg_end end;
	char *text; /* of end */
	ev_timer limit;
	clk_ms arrived;
	int64_t arrived_us;
	int64_t started_us;
	struct exec_req *next_ended;
	bool dead;
	struct exec_req *next_dead;
	UT_hash_handle hh;
};

/* A connection that is kept for one caller. */
struct exec_pin {
	int64_t id;
	struct exec *x;
	struct exec_backend *b;
	struct pool_conn *conn;
	struct link *from; /* NULL for an own caller */
	char customer[ID_LEN];
	int64_t term;
	struct exec_req *busy;
	UT_hash_handle hh;
};

/* Where a pin of an own caller is held. */
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
	struct exec_hint hint;
	int64_t waited_us; /* decaying mean, of forwarded requests */
	bool suspect;
	enum suspect_reason reason;
	clk_ms silent_since;
	int64_t led_term; /* as the view has it */
	clk_ms led_since; /* when the view first had it */
	clk_ms pruned;
	bool dispatching;
	int64_t behind; /* requests in EXEC_BEHIND */
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
	struct exec_req *ended;
	struct exec_req **ended_end;
	struct exec_req *dead;
	ev_prepare flush; /* only fed with events */
	ev_timer tick;
	int64_t next_id;
	void (*on_suspect)(void *arg);
	void *suspect_arg;
};

/* exec.c */
struct exec_req *exec_req_new(struct exec *x, const struct msg_run *run);
void exec_end(struct exec_req *r, enum res res, const char *text);
void exec_take_end(struct exec_req *r, const struct msg_end *end);
void exec_data(struct exec_req *r, const char *bytes, size_t len);
void exec_settle(struct exec_req *r);
void exec_drop(struct exec_req *r);

/* exec_local.c */
void exec_local_start(struct exec_req *r);
void exec_local_cancel(struct exec_req *r);
void exec_local_abandon(struct exec_req *r);
void exec_local_expire(struct exec_req *r);
void exec_tick_req(struct exec_req *r, clk_ms now);
void exec_recheck_behind(struct exec_backend *b);
void exec_tick_backend(struct exec_backend *b, clk_ms now);
void exec_dispatch(struct exec_backend *b);
void exec_local_recheck(struct exec_req *r);
/* A new connection answers where an older one went silent at a time. */
void exec_local_lost(struct exec_req *r, clk_ms silent_since);
void exec_local_silent(struct exec_req *r, bool certain);

/* exec_pin.c */
struct exec_pin *exec_pin_find(struct exec *x, int64_t id);
struct pool_conn *exec_pin_take_out(struct exec_pin *p);
void exec_pin_close(struct exec_pin *p);
void exec_judge(struct exec_backend *b, enum res res);
void exec_pin_rest(struct exec_pin *p);
int64_t exec_pin_update(struct exec_req *r, const struct msg_end *end);

/* exec_backend.c */
struct exec_backend *exec_backend_get(struct exec *x, const char *id);
void exec_backends_update(struct exec *x);
void exec_backends_free(struct exec *x);
void exec_heard(struct exec_backend *b, const struct backend_status *st);
void exec_failed(struct exec_backend *b);

/* exec_remote.c */
bool exec_is_own(struct exec *x, const struct msg_run *run,
		 const struct backend_info *b, const char **owner);
void exec_forward(struct exec_req *r, const char *owner);
void exec_remote_cancel(struct exec_req *r);
void exec_remote_abandon(struct exec_req *r);
void exec_remote_expire(struct exec_req *r);
void exec_routes_free(struct exec *x);

#endif
