#ifndef EXEC_H
#define EXEC_H

/*
 * Executes requests on backend servers.
 *
 * exec_start() takes a request for one backend. Each backend has one owner
 * among the proxies, which schedules all requests for it. If this proxy is the
 * owner, the request waits for a slot in the scheduler and runs on a pooled
 * libpq connection. Otherwise it is forwarded over the link to the owner, whose
 * exec runs it. Either way the answer arrives as zero or more on_data calls,
 * each with complete PostgreSQL messages for the caller, then exactly one
 * on_end. on_data is called only when the answer is certain to be used: the
 * backend's status and the lease are checked first.
 *
 * A connection that stays reserved for one caller, because of an open
 * transaction or changed session state, is called pinned. Its pin is a number
 * that the caller passes with its next request to get the same connection.
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
 * Receives the answer to one request. An error from the backend server arrives
 * as an ErrorResponse in on_data, followed by RES_SQL_ERROR in on_end; other
 * failures come without an ErrorResponse. on_data is called only from the event
 * loop.
 */
struct exec_sink {
	void *arg;
	void (*on_data)(void *arg, const char *bytes, size_t len);
	void (*on_end)(void *arg, const struct msg_end *end);

	/*
	 * Returns the bytes of the answer that the caller has not read yet;
	 * used to slow down reading from the backend. May be NULL.
	 */
	size_t (*backlog)(void *arg);
};

struct exec *exec_new(struct ev_loop *loop, const struct settings *set,
		      struct view *view);
void exec_free(struct exec *x);

/*
 * Sets where exec looks up the link to an owner; NULL while there are no peers.
 */
void exec_set_peers(struct exec *x, struct peers *p);

/*
 * Starts a request; run is copied. Returns the run id, never 0. on_end is never
 * called before this function returns.
 */
int64_t exec_start(struct exec *x, const struct msg_run *run,
		   const struct exec_sink *sink);

/* Asks to cancel a request; on_end is still called. */
void exec_cancel(struct exec *x, int64_t run_id);

/*
 * The caller has disconnected: the answer is discarded and on_end is not
 * called.
 */
void exec_abandon(struct exec *x, int64_t run_id);

/* Closes the pinned connection of a caller that gives it up. */
void exec_release_pin(struct exec *x, const char *backend, int64_t pin);

/* Handles a message RUN, DATA, END, CANCEL or UNPIN from another proxy. */
void exec_handle_message(struct exec *x, struct link *from,
			 const struct msg *m);
void exec_link_down(struct exec *x, struct link *link);

/* Must be called after view_apply_answer() returned true. */
void exec_view_changed(struct exec *x);

/*
 * What this proxy knows about a backend, for routing. The owner learns it by
 * polling the backend; other proxies learn it from the owner, which attaches it
 * to its answers.
 */
struct exec_routing_info {
	int64_t log_term;
	int64_t applied;
	/* Age of the applied data at the time heard; -1 if unknown. */
	clk_ms applied_age_ms;
	clk_ms info_received_at; /* when this was received; 0 if never */
	bool healthy;
	clk_ms slot_wait_ms; /* estimated wait for a slot */
};

struct exec_routing_info exec_routing_info_of(const struct exec *x,
					      const char *backend, clk_ms now);

/*
 * Lists the groups whose primary this proxy suspects to have failed, to be
 * reported in the next ask.
 */
int64_t exec_list_suspected_primaries(struct exec *x,
				      struct suspect_report *out, int64_t max,
				      clk_ms now);

/*
 * Sets a function that is called when a primary is newly suspected, so that an
 * ask can be sent at once.
 */
void exec_on_primary_suspected(struct exec *x, void (*fn)(void *arg),
			       void *arg);

/* Number of requests that have not ended; a graceful stop waits for them. */
size_t exec_count_running(const struct exec *x);

/*
 * Number of pinned connections held here, for callers of this or of other
 * proxies.
 */
size_t exec_count_pins(const struct exec *x);

/* Closes the pinned connections of callers of other proxies on which nothing
 * runs, which rolls their transactions back. */
void exec_close_idle_remote_pins(struct exec *x);

/* Data for SHOW BACKENDS; fn is called once for each owned backend. */
struct exec_backend_stats {
	const char *id;
	int64_t connections;
	int64_t idle;
	int64_t running;
	int64_t waiting;
	struct exec_routing_info routing_info;
};
void exec_each_backend(const struct exec *x, clk_ms now,
		       void (*fn)(void *arg,
				  const struct exec_backend_stats *s),
		       void *arg);

#endif
