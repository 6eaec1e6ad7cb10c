#ifndef UPLINK_PRIV_H
#define UPLINK_PRIV_H

/*
 * Shared by uplink.c (links, ASK messages, forwarded requests) and
 * uplink_answer.c (the parts of an answer that don't go into the view:
 * positions, the published configuration and the list of control instances).
 */

#include "ask.h"
#include "settings.h"
#include "uplink.h"

#include <ev.h>
#include <uthash.h>

enum { UPL_NO_CONTROL = -1 /* in place of an index of a control instance */ };

/* Most entries of each list of an ASK. */
enum {
	UPL_MAX_SAMPLES = 1024, /* groups */
	UPL_MAX_SUSPECTS = 256,
	UPL_MAX_DEMANDS = 20000,
	UPL_MAX_ANNOUNCES = 4096
};

/* A link to a control instance. */
struct upl_control {
	struct uplink *uplink;
	struct link *link;
	int index; /* in the settings */
	bool is_member; /* listed as a control instance in the last answer */
	clk_ms supports_until; /* it supports this proxy's lease until then */
};

/* An announcement of a backend that no leader has acknowledged yet. */
struct upl_announce {
	struct backend_info info;
	clk_ms received_at; /* when the announcement came in */
	int64_t ask_seq; /* number of the last ASK that carried it, 0 if none */
	UT_hash_handle hh;
};

/* A QUERY or APPLY that waits for its answer. */
struct upl_request {
	int64_t id;
	struct msg msg; /* its blob points to text */
	char *text;
	clk_ms deadline;
	clk_ms sent_at; /* when it was last sent, 0 to send it at once */
	void (*on_reply)(void *arg, const struct msg *m);
	void *arg;
	UT_hash_handle hh;
};

/*
 * A reading of the leader's clock: at local_time it showed leader_time or a
 * later time. It says nothing of the clock of another instance, nor of that of
 * the same instance after it started again.
 */
struct upl_clock_reading {
	int control; /* index of the leader; UPL_NO_CONTROL if unknown */
	clk_ms local_time;
	int64_t leader_time;
};

struct uplink {
	struct uplink_config cfg;
	/* Copy of cfg.set, with the control instances that are known now. */
	struct settings live_settings;
	int64_t doc_version; /* of the published configuration held */

	struct upl_clock_reading clock; /* from the last answer of a leader */
	/* The last ASK carried no positions, since the clock of its receiver
	 * was unknown. */
	bool samples_withheld;

	struct ask_schedule *ask;
	struct upl_control controls[SETTINGS_MAX_CONTROLS];
	struct upl_announce *announces;
	struct upl_request *requests;
	int64_t next_request;
	bool stopping;
	clk_ms last_answer_at; /* when a leader last answered, -1 if never */
	ev_timer ask_timer;
	ev_timer request_timer; /* retries requests and ends timed-out ones */
};

/* In uplink.c: */
void upl_open_link(struct uplink *u, int index);

/* In uplink_answer.c: */
void upl_collect_samples(struct uplink *u, int control, struct msg_ask *ask);
void upl_apply_samples(struct uplink *u, int control,
		       const struct msg_answer *a, clk_ms ask_sent_at);

/* Forgets the reading of a control instance's clock: its link is gone, so it
 * may be another process with another clock when it answers again. */
void upl_forget_clock(struct uplink *u, int control);
void upl_apply_routes(struct uplink *u, const struct msg_answer *a);

/* Reports that an answer confirms the version of the configuration. */
void upl_confirm_config(struct uplink *u, const struct msg_answer *a,
			clk_ms ask_sent_at);
void upl_apply_controls(struct uplink *u, const struct msg_answer *a);

/* Takes a voter's support of the lease; extends the lease to the time until
 * which a majority supports it. */
void upl_take_support(struct uplink *u, int control, const struct msg_answer *a,
		      clk_ms ask_sent_at);

#endif
