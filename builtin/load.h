#ifndef BUILTIN_LOAD_H
#define BUILTIN_LOAD_H

/*
 * Parts of the command load.
 *
 * load.c reads the options and runs the steps: set up the table, run the
 * callers (load_run.c, over the connections of load_conn.c), verify each
 * order (load_verify.c) and report (load_report.c).
 */

#include "builtin.h"
#include "hist.h"
#include "rng.h"

#include <ev.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	LOAD_MAX_SWINGS = 8,
	LOAD_MAX_REASONS = 64,
	LOAD_REASON_LEN = 96,
	LOAD_RUN_LEN = 32,
	LOAD_SHAPE_BITS = 10,
	LOAD_MAX_SHAPES = 1 << LOAD_SHAPE_BITS,
	LOAD_SETTLE_MS = 30000 /* for unknown outcomes after the run */
};

enum load_kind {
	LOAD_BROWSE, /* read that may be stale */
	LOAD_ORDER, /* write that must be applied exactly once */
	LOAD_ORDER_READ, /* the same, followed by an own read elsewhere */
	LOAD_TICKET, /* read that must be current */
	LOAD_LONG, /* long read */
	LOAD_MIX, /* number of kinds that a mix names */
	LOAD_OWN_READ = LOAD_MIX, /* the read of LOAD_ORDER_READ */
	LOAD_KINDS
};

/* Multiplies the rate for a time. */
struct load_swing {
	double at; /* s from the start */
	double len; /* s */
	double factor;
};

struct load_options {
	const char *to[CMD_MAX_TO];
	int nto;
	const char *user;
	const char *database;
	const char *table;
	char password[CMD_PASSWORD_LEN];
	int callers;
	double seconds;
	double rate; /* requests per second; 0 is a closed loop */
	int weights[LOAD_MIX];
	uint64_t seed;
	bool json;
	int64_t long_us;
	int64_t short_us; /* -1: what the server takes */
	int long_shapes; /* statements that differ in fingerprint */
	int64_t max_age_ms;
	int64_t lag_ms; /* of the replicas; -1 is unknown */
	int64_t max_wait_ms;
	struct load_swing swings[LOAD_MAX_SWINGS];
	int nswings;
};

struct load_stats {
	uint64_t sent; /* requests, without retries */
	uint64_t ok;
	uint64_t in_time; /* answered with success before the end */
	uint64_t refused; /* certainly not run */
	uint64_t failed; /* reads whose answer was lost */
	uint64_t unknown; /* answers that left the outcome unknown */
	uint64_t given_up; /* waited in this client over max_wait_ms */
	struct hist *latency; /* us, of successes */
};

struct load_reason {
	enum load_kind kind;
	char text[LOAD_REASON_LEN]; /* "SQLSTATE message" */
	uint64_t count;
};

enum load_order_state {
	ORDER_PENDING, /* not known to have run or not */
	ORDER_ACKED,
	ORDER_NOT_RUN
};

/* What the check after the run found. */
struct load_verdict {
	bool complete; /* every order was looked up */
	uint64_t acked;
	uint64_t lost; /* acknowledged and absent */
	uint64_t doubled; /* present more than once */
	uint64_t ghosts; /* reported as not run and present */
	uint64_t unresolved; /* outcome still unknown */
};

enum lconn_state { LCONN_CLOSED, LCONN_CONNECTING, LCONN_IDLE, LCONN_BUSY };

enum lconn_end {
	LCONN_ANSWERED, /* the result is set */
	LCONN_NOT_SENT, /* no connection; text says why */
	LCONN_LOST /* sent, but the answer did not arrive */
};

/* An asynchronous connection that runs one statement at a time. */
struct lconn {
	const struct load_options *opt;
	struct ev_loop *loop;
	PGconn *pg;
	struct ev_io io;
	struct ev_timer timer;
	enum lconn_state state;
	char *sql; /* waits for the connection */
	double timeout; /* s, for the answer */
	PGresult *result;
	void *arg;
	void (*on_done)(void *arg, enum lconn_end end, const PGresult *r,
			const char *text);
};

void lconn_init(struct lconn *l, const struct load_options *opt,
		struct ev_loop *loop,
		void (*on_done)(void *arg, enum lconn_end end,
				const PGresult *r, const char *text),
		void *arg);

/* Runs sql, connecting to addr first if there is no connection. */
void lconn_run(struct lconn *l, const char *addr, const char *sql,
	       double timeout);
void lconn_close(struct lconn *l);

struct load;

struct load_caller {
	struct load *load;
	int id;
	int home; /* index of the proxy it is connected to */
	int away_shift; /* see caller_away() */
	struct lconn conn;
	struct lconn away; /* to another proxy, for own reads */
	struct ev_timer pause; /* before a retry or the next request */
	bool busy;
	bool reading; /* the own read of LOAD_ORDER_READ runs */
	int64_t wrote_us; /* last acknowledged order */
	bool was_unknown; /* an attempt of the order may have run */
	enum load_kind kind;
	int64_t intended_us;
	int64_t read_us;
	uint8_t *orders; /* enum load_order_state of each order */
	int norders;
	int cap;
};

struct load_arrival {
	enum load_kind kind;
	int64_t intended_us;
};

struct load {
	struct load_options opt;
	char run[LOAD_RUN_LEN]; /* marks the rows of this run */
	struct ev_loop *loop;
	struct rng *rng;
	uint32_t nlong; /* long reads sent */
	struct load_caller *callers;
	struct load_caller **idle; /* stack */
	int nidle;
	struct load_arrival *queue; /* of the open loop */
	size_t head;
	size_t tail;
	size_t cap;
	struct ev_timer tick;
	struct ev_timer stop;
	struct ev_timer settle;
	int64_t start_us;
	int64_t end_us;
	int64_t next_us; /* when the next request of the open loop is due */
	bool stopping;
	int64_t last_order_us;
	int64_t longest_gap_us; /* between successful orders */
	uint64_t eligible; /* reads that a replica with lag_ms may serve */
	uint64_t stale_reads; /* read-your-writes violations */
	uint64_t *ok_per_s;
	uint64_t *orders_per_s;
	struct load_stats stats[LOAD_KINDS];
	struct load_reason reasons[LOAD_MAX_REASONS];
	int nreasons;
	struct load_verdict verdict;
};

const char *load_kind_name(enum load_kind k);

/* A blocking connection for setting up and verifying, or NULL. */
PGconn *load_connect(const struct load_options *opt, int to);

/* Parameters of a connection; the arrays hold LOAD_PARAMS entries. */
enum { LOAD_PARAMS = 12 };
struct load_params {
	const char *keys[LOAD_PARAMS];
	const char *values[LOAD_PARAMS];
	char host[ADDR_LEN];
	char options[64];
};
void load_params(struct load_params *p, const struct load_options *opt,
		 const char *addr);

enum res load_setup(struct load *l, struct err *e);
void load_run(struct load *l);
void load_verify(struct load *l);
void load_report(const struct load *l);

#endif
