#ifndef UPLINK_PRIV_H
#define UPLINK_PRIV_H

/* Shared by uplink.c (links, asks, requests) and uplink_take.c (what the
 * answers carry beside the view). */

#include "ask.h"
#include "settings.h"
#include "uplink.h"

#include <ev.h>
#include <uthash.h>

enum {
	UPL_MAX_SAMPLES = 1024, /* groups */
	UPL_MAX_SUSPECTS = 256,
	UPL_MAX_DEMANDS = 20000,
	UPL_MAX_ANNOUNCES = 4096
};

struct upl_control {
	struct uplink *up;
	struct link *link;
	int index;
	bool member; /* of control, as its leader said last */
};

struct upl_announce {
	struct backend_info info;
	clk_ms heard;
	int64_t sent; /* number of the ask that carried it, 0 for none */
	UT_hash_handle hh;
};

struct upl_request {
	int64_t id;
	struct msg msg; /* its blob points to text */
	char *text;
	clk_ms deadline;
	clk_ms sent;
	void (*on_reply)(void *arg, const struct msg *m);
	void *arg;
	UT_hash_handle hh;
};

/* The leader's clock was at clock or later at a local time. */
struct upl_clock {
	clk_ms local;
	int64_t clock; /* 0 is unknown */
};

struct uplink {
	struct uplink_config cfg;
	struct settings own; /* the control instances as known now */
	int64_t doc_version;
	char clock_of[ID_LEN]; /* leader that the clocks are of */
	struct upl_clock clocks[2]; /* of the last two answers, newest first */
	struct ask *ask;
	struct upl_control controls[SET_MAX_CONTROLS];
	struct upl_announce *announces;
	struct upl_request *requests;
	int64_t next_request;
	bool stopping;
	clk_ms answered; /* last answer of a leader */
	ev_timer ask_timer;
	ev_timer tick;
};

/* uplink.c */
void upl_open(struct uplink *u, int index);

/* uplink_take.c */
void upl_collect_samples(struct uplink *u, struct msg_ask *ask);
void upl_take_samples(struct uplink *u, const struct msg_answer *a,
		      clk_ms asked);
void upl_take_routes(struct uplink *u, const struct msg_answer *a);
void upl_take_controls(struct uplink *u, const struct msg_answer *a);

#endif
