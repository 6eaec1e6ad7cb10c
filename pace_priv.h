#ifndef PACE_PRIV_H
#define PACE_PRIV_H

/* Shared by pace.c (limit, failures) and pace_unloaded.c (what answers tell of
 * the time without load and of the queue at the member). */

#include "pace.h"

static inline double pace_share(const struct pace *p)
{
	return (double)p->slots / p->senders;
}

/* Takes an answer to a statement that was sent under the present limit. */
void pace_learn(struct pace *p, const struct pace_end *e, clk_ms now);

/* Forgets the recent answers and assumes a slowdown instead. */
void pace_assume(struct pace *p, double slowdown);

/* Forgets the answers of the window, after the limit has changed at once. */
void pace_restart_window(struct pace *p);

/* True if enough answers were compared to say whether statements wait. */
bool pace_knows_queue(const struct pace *p);

/* True if statements seem to wait at the member, or if this is not known. */
bool pace_seems_queued(const struct pace *p);

#endif
