#ifndef CONTROL_H
#define CONTROL_H

/*
 * The control daemon. Several control instances elect a leader, which decides
 * on primaries, leases and quotas. struct ctl (ctl_core.h) holds that logic and
 * is free of I/O; this module feeds it with the events of the libev loop, and
 * executes its actions: messages over links, writes to the data folder
 * (store.h), calls to backends (member.h, status_call.h) and to the promoter,
 * and answers to HTTP requests (control_api.h).
 */

#include "error.h"

struct ev_loop;
struct settings;
struct control;

enum {
	CONTROL_TICK_MS = 20, /* time between calls of ctl_tick() */
	/* A stopping leader waits this long for another one to take over. */
	CONTROL_LEADER_TRANSFER_MS = 500
};

/* Recovers the state from the data folder, opens links and starts to serve. */
enum res control_new(struct control **out, struct ev_loop *loop,
		     const struct settings *set, struct err *e);

/*
 * Opens links to control instances that newer settings name. Does nothing if
 * the settings at the start did not come from seeds.
 */
void control_add_controls(struct control *c, const struct settings *set);

/*
 * Ends the loop; a leader first hands leadership over, for which it waits up to
 * CONTROL_LEADER_TRANSFER_MS.
 */
void control_stop(struct control *c);
void control_free(struct control *c);

#endif
