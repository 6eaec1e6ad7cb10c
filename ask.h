#ifndef ASK_H
#define ASK_H

/*
 * Schedule of a proxy's ASK messages: when the next one is sent, and to which
 * control instance. uplink.c sends them; an ASK reports to the control leader
 * and is answered with the proxy's lease and newer state.
 *
 * The leader gets an ASK every ask_ms, and at once when something changed, but
 * never two within ASK_MIN_INTERVAL_MS. If it does not answer within
 * ASK_UNRESPONSIVE_MS, if its link breaks or if it answers that it is not the
 * leader, the proxy searches for the leader: it sends an ASK to one instance
 * after the other, every ASK_SEARCH_INTERVAL_MS, until one answers as the
 * leader. If an instance names the leader in its answer, that one is next,
 * unless it is unresponsive.
 *
 * Free of I/O; the time is passed in. Control instances are given by their
 * index in the settings.
 */

#include "clock.h"
#include "msg.h"
#include "settings.h"

#include <stdbool.h>

enum {
	ASK_MIN_INTERVAL_MS = 20, /* least time between two messages */
	/* An instance that doesn't answer for this long is unresponsive. */
	ASK_UNRESPONSIVE_MS = 200,
	ASK_SEARCH_INTERVAL_MS = 50, /* between two messages during a search */
	ASK_MAX_SENT = 64 /* messages kept to match answers to them */
};

struct ask_schedule;

/* first is the control instance to begin with. */
struct ask_schedule *ask_new(const struct settings *set, int first);
void ask_free(struct ask_schedule *a);

/* To be called when the settings list more control instances than before. */
void ask_on_controls_added(struct ask_schedule *a);

/* The link to a control instance came up or broke. */
void ask_on_link_up(struct ask_schedule *a, int control, clk_ms now);
void ask_on_link_down(struct ask_schedule *a, int control, clk_ms now);

/* Makes an ASK due at once, since something changed that it should report. */
void ask_set_due_now(struct ask_schedule *a, clk_ms now);

/* When to call ask_pick_control() next, CLK_NEVER if no instance is linked. */
clk_ms ask_next_due(const struct ask_schedule *a);

/*
 * Returns the control instance to send an ASK to now, or -1. Fills in the
 * number of the ASK, and that of the newest answer of this instance.
 */
int ask_pick_control(struct ask_schedule *a, clk_ms now, int64_t *seq,
		     int64_t *answer_seen);

/*
 * Handles an answer. Returns true if it comes from the leader and is to be
 * applied. ask_sent_at is the time at which its ASK was sent; CLK_NEVER if the
 * answer belongs to none.
 */
bool ask_on_answer(struct ask_schedule *a, int control,
		   const struct msg_answer *answer, clk_ms now,
		   clk_ms *ask_sent_at);

/* The instance that last answered as the leader, or -1 during a search. */
int ask_leader(const struct ask_schedule *a);

#endif
