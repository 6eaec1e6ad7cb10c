#ifndef ROTATION_H
#define ROTATION_H

/*
 * Whether the balancer may send callers to this instance. Free of I/O.
 *
 * The balancer probes each second and takes an instance out of the rotation
 * after two refusals in a row. An instance that reaches neither most of control
 * nor a primary is cut off, with its zone or alone; others serve its callers
 * better. It refuses probes, and once the balancer has noticed it closes idle
 * sessions and refuses what waits, so that callers go there.
 *
 * Being sure takes until a statement to a primary has waited. So an instance
 * that only misses most of control refuses one probe in advance: that alone
 * changes nothing, and one that is cut off leaves up to a second earlier.
 */

#include "clock.h"

#include <stdbool.h>

enum {
	/* Links are pinged every 250 ms by a timer of 100 ms. */
	ROT_DOUBT_MS = 400, /* unheard for as long: one probe is refused */
	ROT_LOST_MS = 500, /* the same: cut off, if a primary is missed, too */
	ROT_LOOKS = 2, /* in a row that must say so: a process that was held up
			* reads what came meanwhile between them */
	/* Age of the leader's newest answer when an instance counts as
	 * connected again: asks are sent each 400 ms. */
	ROT_LEADER_MS = 1000,
	ROT_PROBE_MS = 1000, /* between two probes */
	ROT_NOTICE_MS = 2300 /* two probes, and some for their way */
};

struct rotation {
	clk_ms doubt; /* most of control is unheard since; 0 if it is heard */
	bool warned; /* the last probe was refused for doubt alone */
	int lost; /* looks in a row that found most of control unreachable */
	clk_ms cut_off; /* since when; 0 while connected */
	clk_ms leaves; /* all probes from then on are refused */
};

/* What an instance knows of its connections. */
struct rot_seen {
	bool doubtful; /* most of control was not heard for ROT_DOUBT_MS */
	bool lost; /* the same for ROT_LOST_MS */
	bool misses_primary; /* a primary has not answered for long */
	bool leader; /* control's leader has answered within ROT_LEADER_MS */
};

enum rot_event { ROT_NOTHING, ROT_CUT_OFF, ROT_CONNECTED };

enum rot_event rot_look(struct rotation *r, const struct rot_seen *l,
			clk_ms now);

/* The answer to a probe: true if callers may come. */
bool rot_probe(struct rotation *r);

/* True once the balancer has noticed that this instance is cut off. */
bool rot_is_out(const struct rotation *r, clk_ms now);

#endif
