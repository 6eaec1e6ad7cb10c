#ifndef EXEC_H
#define EXEC_H

/*
 * Runs requests on backend servers.
 *
 * exec_start() takes a request for one backend. If this proxy owns the
 * backend, the request waits for a slot in its scheduler and runs on a pooled
 * libpq connection; otherwise it is forwarded over the link to the owner,
 * whose exec runs it. Either way the answer arrives as zero or more on_data
 * calls with complete PostgreSQL messages for the caller, then exactly one
 * on_end. on_data is not called before it is certain that the answer will be
 * used: status guards and leases are checked first.
 */

#include "clock.h"
#include "msg.h"

struct ev_loop;
struct exec;
struct settings;
struct view;
struct link;
struct peers;
struct buf;

/*
 * An error of the backend server arrives as an ErrorResponse in on_data,
 * followed by RES_SQL_ERROR; other results come without one. on_data is
 * only called from the loop.
 */
struct exec_sink {
	void *arg;
	void (*on_data)(void *arg, const char *bytes, size_t len);
	void (*on_end)(void *arg, const struct msg_end *end);

	/* Bytes of the answer that the caller has not taken yet, for back
	 * pressure on the backend; may be NULL. */
	size_t (*backlog)(void *arg);
};

struct exec *exec_new(struct ev_loop *loop, const struct settings *set,
		      struct view *view);
void exec_free(struct exec *x);

/* Where exec finds the link to an owner; NULL while there are no peers. */
void exec_set_peers(struct exec *x, struct peers *p);

/* Starts a request; run is copied. Returns the run id, never 0. on_end is
 * never called from inside exec_start(). */
int64_t exec_start(struct exec *x, const struct msg_run *run,
		   const struct exec_sink *sink);

/* Asks to cancel; on_end still follows. */
void exec_cancel(struct exec *x, int64_t run_id);

/* The caller has gone: the answer is discarded, on_end is not called. */
void exec_abandon(struct exec *x, int64_t run_id);

/* Gives up a pinned connection outside a request; it is closed. */
void exec_unpin(struct exec *x, const char *backend, int64_t pin);

/* Messages RUN, DATA, END, CANCEL and UNPIN from another proxy. */
void exec_message(struct exec *x, struct link *from, const struct msg *m);
void exec_link_down(struct exec *x, struct link *link);

/* To be called after view_take() returned true. */
void exec_view_changed(struct exec *x);

/* What this proxy knows of a backend, own polls or hints in answers. */
struct exec_hint {
	int64_t log_term;
	int64_t applied;
	clk_ms age_ms; /* of the applied data when heard; -1 unknown */
	clk_ms heard; /* when; 0 is never */
	bool healthy;
	clk_ms queue_ms; /* estimated wait for a slot */
};

struct exec_hint exec_hint_of(const struct exec *x, const char *backend,
			      clk_ms now);

/* Groups whose primary looks failed from here, for the next ask. */
int64_t exec_suspects(struct exec *x, struct suspect *out, int64_t max,
		      clk_ms now);

/* Called when a new suspect is found, so that an ask can be sent at once. */
void exec_on_suspect(struct exec *x, void (*fn)(void *arg), void *arg);

/* Requests that have not ended, for a graceful stop. */
size_t exec_running(const struct exec *x);

/* Connections pinned to callers, here or at other proxies. */
size_t exec_pins(const struct exec *x);

/* Rows for SHOW BACKENDS: one call per owned backend. */
struct exec_backend_stats {
	const char *id;
	int64_t connections;
	int64_t idle;
	int64_t running;
	int64_t waiting;
	struct exec_hint hint;
};
void exec_each_backend(const struct exec *x, clk_ms now,
		       void (*fn)(void *arg,
				  const struct exec_backend_stats *s),
		       void *arg);

#endif
