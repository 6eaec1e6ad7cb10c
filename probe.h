#ifndef PROBE_H
#define PROBE_H

/*
 * Polls the status of one backend server every poll_ms, on a connection that is
 * used for nothing else.
 *
 * If a poll is not answered within suspect_ms, or the connection does not open
 * within that time, the connection is closed and a new one is opened at once:
 * a middlebox may have dropped the state of the old one. After a refused or
 * closed connection, the next attempt waits for poll_ms.
 */

#include "clock.h"
#include "status.h"

struct ev_loop;
struct probe;
struct settings;

struct probe_callbacks {
	void *arg;
	/* A status came; round_trip_us is the time that the poll took. */
	void (*on_status)(void *arg, const struct backend_status *st,
			  int64_t round_trip_us);

	/* A poll or a connection attempt was not answered in time. */
	void (*on_silent)(void *arg);

	/* The connection was refused or closed by the other side. */
	void (*on_refused)(void *arg);
};

struct probe *probe_new(struct ev_loop *loop, const struct settings *set,
			const char *addr, const char *dbname,
			const struct probe_callbacks *user);
void probe_free(struct probe *p);

/* Polls as soon as possible, without waiting for the poll interval to end. */
void probe_poll_now(struct probe *p);

/* When the last status came; before the first one, when the probe started. */
clk_ms probe_last_status_at(const struct probe *p);

/* Consecutive failed polls and connection attempts. */
int64_t probe_failures(const struct probe *p);

#endif
