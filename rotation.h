#ifndef ROTATION_H
#define ROTATION_H

/*
 * Decides whether the load balancer may send callers to this instance. Does no
 * I/O. Names begin with rot_ for rotation.
 *
 * The balancer sends a health probe each second and takes an instance out of
 * the rotation after two consecutive refusals. An instance that reaches neither
 * most control instances nor a primary is cut off, alone or with its whole
 * zone, and other instances serve its callers better. It refuses probes. Once
 * the balancer has taken it out, it closes idle sessions and refuses waiting
 * statements, so that its callers connect to other instances.
 *
 * That a primary is unreachable is known only after a statement to it has
 * waited. Therefore an instance that has lost only most control instances
 * refuses one probe in advance. One refusal alone has no effect, and an
 * instance that proves to be cut off leaves the rotation up to a second
 * earlier.
 */

#include "clock.h"

#include <stdbool.h>

enum {
	/* Links are pinged every 250 ms, by a timer that runs every 100 ms. */
	ROT_DOUBT_MS = 400, /* most control instances unheard: refuse a probe */
	ROT_LOST_MS = 500, /* same, and a primary doesn't answer: cut off */
	/* Consecutive checks that must find ROT_LOST_MS exceeded. A process
	 * that was held up reads what arrived meanwhile between two checks. */
	ROT_LOOKS = 2,
	/* Oldest answer of the control leader with which an instance counts as
	 * connected again: requests to the leader are sent every 400 ms. */
	ROT_LEADER_MS = 1000,
	ROT_PROBE_MS = 1000, /* interval of the balancer's probes */
	ROT_NOTICE_MS = 2300 /* two probes and their transit time */
};

struct rotation {
	clk_ms doubt; /* when most of control became unheard; 0 if heard */
	bool warned; /* last probe was refused, but the instance not cut off */
	int lost; /* consecutive checks that found most of control lost */
	clk_ms cut_off; /* when it was cut off; 0 while connected */
	clk_ms leaves; /* since when all probes have been refused */
};

/* Which connections of the instance work. */
struct rot_seen {
	bool doubtful; /* most of control unheard for ROT_DOUBT_MS */
	bool lost; /* most of control unheard for ROT_LOST_MS */
	bool misses_primary; /* a primary has not answered for a long time */
	bool leader; /* the control leader answered within ROT_LEADER_MS */
};

enum rot_event { ROT_NOTHING, ROT_CUT_OFF, ROT_CONNECTED };

/* To be called at regular intervals with the state of the connections; returns
 * what has changed. */
enum rot_event rot_look(struct rotation *r, const struct rot_seen *l,
			clk_ms now);

/* The answer to a probe of the balancer: true if it may send callers. */
bool rot_probe(struct rotation *r);

/* True once the balancer must have taken this cut-off instance out. */
bool rot_is_out(const struct rotation *r, clk_ms now);

#endif
