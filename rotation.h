#ifndef ROTATION_H
#define ROTATION_H

/*
 * Decides whether the load balancer may send callers to this instance. Does no
 * I/O. Names begin with rot_ for rotation.
 *
 * The balancer sends a health probe each second and takes an instance out of
 * the rotation after two consecutive refusals. An instance that reaches neither
 * most control instances nor a primary is cut off, alone or with its whole
 * zone, and other instances serve its callers better. So is one that reaches
 * primaries but has lost the lease to use them, or whose lease to use API keys
 * ends soon (apikey.h). It refuses probes. Once
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
	ROT_CONTROL_DOUBTFUL_MS =
		400, /* most control instances unheard: refuse a probe */
	ROT_CONTROL_LOST_MS =
		500, /* same, and a primary doesn't answer: cut off */
	/* Consecutive checks that must find ROT_CONTROL_LOST_MS exceeded. A
	 * process that was held up reads what arrived meanwhile between two
	 * checks. */
	ROT_LOST_CHECKS = 2,
	/* Oldest answer of the control leader with which an instance counts as
	 * connected again: requests to the leader are sent every 400 ms. */
	ROT_LEADER_MAX_AGE_MS = 1000,
	ROT_PROBE_INTERVAL_MS = 1000, /* interval of the balancer's probes */
	ROT_BALANCER_REMOVAL_MS = 2300 /* two probes and their transit time */
};

struct rotation {
	clk_ms control_doubtful_since; /* when most of control became unheard; 0
					  if heard */
	bool probe_refused_in_advance; /* last probe was refused, but the
					  instance not cut off */
	int lost_checks; /* consecutive checks that found most of control lost
			  */
	clk_ms cut_off_since; /* when it was cut off; 0 while connected */
	clk_ms refusing_since; /* since when all probes have been refused */
};

/* Which connections of the instance work. */
struct rot_connectivity {
	bool control_doubtful; /* most of control unheard for
				  ROT_CONTROL_DOUBTFUL_MS */
	bool control_lost; /* most of control unheard for ROT_CONTROL_LOST_MS */
	bool primary_unusable; /* a primary has not answered for a long time, or
				* the lease to use primaries has expired */
	bool leader_answers; /* the control leader answered within
				ROT_LEADER_MAX_AGE_MS */
	bool key_lease_ending; /* API keys may be used for less than
				* AKEY_ENDING_MS */
};

enum rot_event { ROT_UNCHANGED, ROT_CUT_OFF, ROT_CONNECTED };

/* To be called at regular intervals with the state of the connections; returns
 * what has changed. */
enum rot_event rot_update(struct rotation *r, const struct rot_connectivity *l,
			  clk_ms now);

/* The answer to a probe of the balancer: true if it may send callers. */
bool rot_answer_probe(struct rotation *r);

/* True once the balancer must have taken this cut-off instance out. */
bool rot_removed_by_balancer(const struct rotation *r, clk_ms now);

#endif
