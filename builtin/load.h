#ifndef BUILTIN_LOAD_H
#define BUILTIN_LOAD_H

/*
 * The command load: a load generator that sends requests of several kinds as
 * many callers (simulated clients), measures the latencies and verifies that
 * each acknowledged order was written exactly once.
 *
 * load.c reads the options and runs the steps. load_verify.c creates the table
 * before the run and looks up each order after it; load_run.c runs the
 * callers, over the connections of load_conn.c; load_report.c prints the
 * results.
 *
 * In a closed loop each caller sends its next request once the last one has
 * ended. In an open loop requests arrive at a given rate and wait in a queue
 * while no caller is idle; latencies are counted from the arrival.
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
	LOAD_SHAPE_BITS = 10, /* operators of a long read's expression */
	LOAD_MAX_SHAPES = 1 << LOAD_SHAPE_BITS,
	LOAD_SETTLE_MS = 30000 /* to resolve unknown outcomes after the run */
};

/* Kinds of requests. */
enum load_kind {
	LOAD_BROWSE, /* read that may be stale */
	LOAD_ORDER, /* write that must be applied exactly once */
	LOAD_ORDER_READ, /* the same, then LOAD_OWN_READ elsewhere */
	LOAD_TICKET, /* read that must be current */
	LOAD_LONG, /* expensive read */
	LOAD_MIX_KINDS, /* number of kinds that --mix can name */
	LOAD_OWN_READ = LOAD_MIX_KINDS, /* reads the order just written */
	LOAD_KINDS
};

/* Option --swing: multiplies the rate for some time. */
struct load_swing {
	double start_s; /* from the start of the run */
	double length_s;
	double factor;
};

struct load_options {
	const char *proxies[CMD_MAX_PROXIES];
	int nproxies;
	const char *user;
	const char *database;
	const char *table;
	char password[CMD_PASSWORD_LEN];
	int ncallers;
	double seconds;
	double rate; /* requests per second; 0 selects a closed loop */
	int weights[LOAD_MIX_KINDS];
	uint64_t seed;
	bool json;
	int64_t long_cost_us; /* cost of a long read at the server */
	int64_t short_cost_us; /* of browse and ticket; -1: server's default */
	int long_shapes; /* long reads that differ in fingerprint */
	int64_t max_age_ms; /* allowed age of browse and long reads */
	int64_t replica_lag_ms; /* -1: unknown */
	int64_t max_wait_ms; /* -1: the plan's */
	struct load_swing swings[LOAD_MAX_SWINGS];
	int nswings;
};

/* Counts for one kind of request. */
struct load_stats {
	uint64_t sent; /* requests, without retries */
	uint64_t ok;
	uint64_t ok_before_end; /* successes before the end of the run */
	uint64_t refused; /* known not to have run */
	uint64_t failed; /* reads whose answer was lost */
	uint64_t unknown; /* answers that left the outcome unknown */
	uint64_t given_up; /* never sent: queued here for over max_wait_ms */
	struct hist *latency; /* of successes, in us */
};

/* Number of failures of a kind with the same error. */
struct load_reason {
	enum load_kind kind;
	char text[LOAD_REASON_LEN]; /* "SQLSTATE message" */
	uint64_t count;
};

enum load_order_state {
	ORDER_PENDING, /* not known whether it ran */
	ORDER_ACKED,
	ORDER_NOT_RUN
};

/* Result of looking up all orders after the run. */
struct load_verdict {
	bool complete; /* every order was looked up */
	uint64_t acked;
	uint64_t lost; /* acknowledged but absent */
	uint64_t doubled; /* present more than once */
	uint64_t not_run_but_present; /* reported as not run, but present */
	uint64_t unresolved; /* outcome still unknown */
};

enum load_conn_state {
	LOAD_CONN_CLOSED,
	LOAD_CONN_CONNECTING,
	LOAD_CONN_IDLE,
	LOAD_CONN_BUSY
};

/* Outcome of a statement. */
enum load_conn_outcome {
	LOAD_CONN_ANSWERED, /* the result is set */
	LOAD_CONN_NOT_SENT, /* no connection; text says why */
	LOAD_CONN_ANSWER_LOST /* sent, but no answer arrived */
};

/*
 * Asynchronous connection that runs one statement at a time. on_done is called
 * with the outcome of each; text describes a failure without a result.
 */
struct load_conn {
	const struct load_options *opt;
	struct ev_loop *loop;
	PGconn *pg;
	struct ev_io io;
	struct ev_timer timer;
	enum load_conn_state state;
	char *sql; /* sent as soon as the connection is up */
	double answer_timeout_s;
	PGresult *result;
	void *arg;
	void (*on_done)(void *arg, enum load_conn_outcome outcome,
			const PGresult *r, const char *text);
};

void load_conn_init(struct load_conn *l, const struct load_options *opt,
		    struct ev_loop *loop,
		    void (*on_done)(void *arg, enum load_conn_outcome outcome,
				    const PGresult *r, const char *text),
		    void *arg);

/*
 * Runs sql, connecting to addr first if there is no connection, and waits up
 * to answer_timeout_s for the answer.
 */
void load_conn_run(struct load_conn *l, const char *addr, const char *sql,
		   double answer_timeout_s);
void load_conn_close(struct load_conn *l);

struct load;

/* A simulated client. */
struct load_caller {
	struct load *load;
	int id;
	int home_proxy; /* index of the proxy that conn leads to */
	int other_offset; /* selects the proxy in caller_other_proxy() */
	struct load_conn conn;
	struct load_conn other_conn; /* to another proxy, for own reads */
	struct ev_timer pause; /* before a retry or the next request */
	bool busy;
	bool reading_own_order; /* LOAD_OWN_READ is in progress */
	int64_t last_ack_us; /* time of the last acknowledged order */
	bool may_have_run; /* an attempt of the order may have run */
	enum load_kind kind;
	int64_t intended_us; /* when the request was due to be sent */
	int64_t own_read_start_us;
	uint8_t *orders; /* enum load_order_state of each order */
	int norders;
	int orders_cap;
};

/* A request of the open loop that waits for an idle caller. */
struct load_arrival {
	enum load_kind kind;
	int64_t intended_us;
};

/* A run of the command. */
struct load {
	struct load_options opt;
	char run_id[LOAD_RUN_LEN]; /* stored in each row of this run */
	struct ev_loop *loop;
	struct rng *rng;
	uint32_t nlong_sent; /* long reads sent */
	struct load_caller *callers;
	struct load_caller **idle; /* stack */
	int nidle;
	struct load_arrival *queue; /* of the open loop */
	size_t queue_head;
	size_t queue_tail;
	size_t queue_cap;
	struct ev_timer arrival_timer; /* next request of the open loop */
	struct ev_timer stop_timer; /* end of the run */
	struct ev_timer settle_timer; /* unknown outcomes stay unresolved */
	int64_t start_us;
	int64_t end_us;
	int64_t next_arrival_us; /* of the open loop */
	bool stopping; /* no new requests are started */
	int64_t last_order_us;
	int64_t longest_gap_us; /* between successful orders */
	uint64_t replica_eligible; /* see caller_replica_eligible() */
	uint64_t stale_own_reads; /* read-your-writes violations */
	uint64_t *ok_per_s;
	uint64_t *orders_per_s;
	struct load_stats stats[LOAD_KINDS];
	struct load_reason reasons[LOAD_MAX_REASONS];
	int nreasons;
	struct load_verdict verdict;
};

const char *load_kind_name(enum load_kind k);

/*
 * Opens a blocking connection to a proxy, for load_setup() and load_verify().
 * index is taken modulo the number of proxies. Returns NULL on failure.
 */
PGconn *load_connect(const struct load_options *opt, int index);

/* libpq parameters of a connection to a proxy; a NULL key ends the list. */
enum { LOAD_PARAMS = 12 };
struct load_params {
	const char *keys[LOAD_PARAMS];
	const char *values[LOAD_PARAMS];
	char host[ADDR_LEN];
	char options[64];
};
void load_params(struct load_params *p, const struct load_options *opt,
		 const char *addr);

/* Steps of the command, in this order. */
enum res load_setup(struct load *l, struct err *e); /* creates the table */
void load_run(struct load *l); /* runs the callers until the end */
void load_verify(struct load *l); /* sets the verdict */
void load_report(const struct load *l); /* prints the results */

#endif
