#ifndef PROBE_H
#define PROBE_H

/*
 * Status polls of one backend server, on a connection of their own.
 *
 * A poll that is unanswered for suspect_ms, or a connection that does not open
 * within it, is closed and a new one is tried at once: a middlebox may have
 * forgotten it.
 */

#include "clock.h"
#include "status.h"

struct ev_loop;
struct probe;
struct settings;

struct probe_user {
	void *arg;
	void (*on_status)(void *arg, const struct backend_status *st,
			  int64_t round_trip_us);

	/* A poll or a connection attempt was not answered in time. */
	void (*on_silent)(void *arg);

	/* The connection was refused or closed by the other side. */
	void (*on_refused)(void *arg);
};

struct probe *probe_new(struct ev_loop *loop, const struct settings *set,
			const char *addr, const char *dbname,
			const struct probe_user *user);
void probe_free(struct probe *p);

/* Polls as soon as possible instead of waiting for the next turn. */
void probe_hurry(struct probe *p);

/* When a status last came; the start of the probe before the first. */
clk_ms probe_heard(const struct probe *p);

/* Failed attempts in a row. */
int64_t probe_failures(const struct probe *p);

#endif
