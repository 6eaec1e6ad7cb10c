#ifndef PACE_H
#define PACE_H

/*
 * Decides how many statements one proxy may have in progress at one member, and
 * when a member that fails is tried again (prefix pace_).
 *
 * The load it answers: a member of 4 to 6 slots that has just started,
 * recovered or become primary, while 1 to 85 proxies hold statements for it.
 * Its slots should always be busy and its own queue short. The proxies exchange
 * no message about it; each knows the slots and the number of proxies that
 * send.
 *
 * The limit starts at this proxy's share: slots divided by sending proxies. It
 * grows while answers take no longer than about twice as long as without load,
 * and shrinks by a third when they take longer, are refused for want of a slot
 * or are lost. Up to PACE_FAIR_FACTOR shares it grows fast; it grows beyond,
 * into what other proxies leave idle, only while answers show that hardly any
 * statement waits. Slow answers alone never push it below the share, because
 * all shares together only just fill the slots.
 *
 * A limit need not be whole. Its whole part may be in progress at any time; one
 * more is sent for the fraction, so often that the limit is the average in
 * progress. Statements of open transactions are counted but not held back;
 * the caller doesn't ask for them.
 *
 * Each struct is for one member and belongs to the proxy that holds the
 * connections. Single functions state the events; those that may change what
 * is known of the member return it for a log line. The module does no I/O;
 * the time is passed in. No allocation; about 416 bytes each.
 */

#include "clock.h"

#include <stdbool.h>
#include <stdint.h>

enum {
	/* response time assumed before the first answer */
	PACE_FIRST_RESPONSE_MS = 20,
	/* longest pause between two statements of a limit below one */
	PACE_MAX_INTERVAL_MS = 2000,
	/* shares of the fair limit (less where a share is below one). It is the
	 * number of statements per slot that all proxies together then send:
	 * with one, a slot is idle while its next statement is on the way. */
	PACE_FAIR_FACTOR = 2,
	/* largest limit, in statements per slot; twice what fills the slots */
	PACE_MAX_PER_SLOT = 4,
	/* slots assumed for that where they are unknown */
	PACE_UNKNOWN_SLOTS = 8,
	/* answers over which the unloaded time is averaged: with a log-normal
	 * spread of 0.7 an average of 32 is within 14% (1 sigma) */
	PACE_WINDOW_ANSWERS = 32,
	/* answers after which a first estimate of it is used */
	PACE_FIRST_ANSWERS = 12,
	/* the unloaded time is the smallest average of the last
	 * PACE_PERIODS periods */
	PACE_PERIOD_MS = 10000,
	PACE_PERIODS = 3,
	PACE_PERIOD_ANSWERS = 128,
	/* a limit that was not in use for so long is halved towards what was
	 * used, so that a sudden load does not start from an old limit */
	PACE_UNUSED_MS = 500,
	/* pause after a refusal for want of a slot */
	PACE_BUSY_PAUSE_MS = 20,
	/* A member counts as failing after PACE_FAILURES statements in a row
	 * without success over PACE_FAILING_MS or longer. After occasional lost
	 * statements, others succeed. */
	PACE_FAILURES = 3,
	PACE_FAILING_MS = 500,
	/* failures whose last one is older than this no longer count */
	PACE_FAILURES_EXPIRE_MS = 2000,
	/* between trials of a failing member; doubled each time */
	PACE_TRIAL_MIN_MS = 100,
	PACE_TRIAL_MAX_MS = 300,
	/* without any answer for so long, one more statement is allowed, since
	 * the answer of the last one may be lost */
	PACE_STALL_MS = 500
};

enum pace_state {
	PACE_OPEN,
	PACE_STATEMENTS_FAIL, /* connections open, but statements fail */
	PACE_UNREACHABLE /* connections can't be opened */
};

/* What an event changed, for a log line. */
enum pace_change {
	PACE_UNCHANGED,
	PACE_FAILS, /* is tried with one statement or connection at a time */
	PACE_RECOVERED
};

enum pace_outcome {
	PACE_DONE, /* answered with success */
	PACE_NOT_SERVED, /* refused for a state that is no failure: behind, not
			  * primary */
	PACE_BUSY, /* refused for want of a slot */
	PACE_ERROR, /* failed at the member */
	PACE_LOST, /* the answer or the connection was lost */
	PACE_CANCELED /* no answer is awaited any more; tells nothing */
};

struct pace_end {
	enum pace_outcome outcome;
	clk_ms sent_at;
	double response_ms; /* with PACE_DONE */
	/* Usual cost of such a statement, in any unit that is the same for all
	 * statements of the member, such as the mean response time of its route
	 * or cost_estimate(); the same for all if unknown. Must be above 0. */
	double expected;
	/* statements wait that the limit holds back */
	bool limit_in_use;
};

enum pace_open_result {
	PACE_OPENED,
	PACE_OPEN_FAILED,
	PACE_OPEN_REFUSED /* connection limit; tells nothing about failures */
};

/* Recent answers, the newest with the most weight. */
struct pace_average {
	double response;
	double expected;
	double weight;
};

struct pace {
	int64_t slots; /* at least 1 */
	bool slots_known;
	int senders; /* proxies that send to the member */
	int rank; /* of this one among them, from 0 */

	double limit;
	bool fast; /* doubling up to the fair limit */
	clk_ms cold_until;
	clk_ms judged_from; /* answers to earlier statements are not judged */
	clk_ms shrink_after; /* no shrinking before this time */
	clk_ms paused_until;
	double excess; /* statement time above the limit, in ms */

	int running; /* statements in progress */
	int opening; /* connections being opened */
	clk_ms sent_at; /* newest statement */
	clk_ms answered_at; /* newest answer of any kind */
	clk_ms progress_at; /* the same, or when it ceased to be idle */

	/* time-weighted sum of statements in progress, and what it was when the
	 * limit was last in use */
	double usage;
	clk_ms counted_at;
	double unused_usage;
	clk_ms unused_since;

	double response_ms; /* moving average */
	struct pace_average recent;
	struct pace_average window;
	double unloaded; /* response by expected cost; 0 if unknown */
	bool seen_unloaded; /* not only estimated from the first answers */
	struct pace_average periods[PACE_PERIODS]; /* newest first */
	clk_ms period_since;
	clk_ms raised_at; /* last correction of a wrong unloaded time */

	/* smallest answers compared with their mean: the block being filled,
	 * and moving averages over the complete ones */
	int block_n;
	double block_sum;
	double block_least;
	int blocks;
	double least;
	double mean;

	enum pace_state state;
	clk_ms started_at; /* failures of earlier statements are ignored */
	int failures; /* statements in a row without success */
	clk_ms failed_first;
	clk_ms failed_last;
	clk_ms trial_at;
	clk_ms trial_interval;
	clk_ms opening_since;
};

/* slots is 0 if unknown. */
void pace_init(struct pace *p, int64_t slots, clk_ms now);
void pace_set_slots(struct pace *p, int64_t slots);

/* Number of proxies that send to the member, this one included, and the rank
 * of this one in an order that all of them know. The rank spreads what all
 * would do at the same moment. */
void pace_set_senders(struct pace *p, int senders, int rank);

/* The member started anew or became primary: the limit starts again. After a
 * start, failures are forgotten, too. */
void pace_on_start(struct pace *p, clk_ms now);
void pace_on_promotion(struct pace *p, clk_ms now);

/* Hint that caches are filled only in left_ms: until then the limit does not
 * double. */
void pace_set_cold(struct pace *p, clk_ms left_ms, clk_ms now);

/* A statement was sent, also of an open transaction; each ends once. */
void pace_sent(struct pace *p, clk_ms now);
enum pace_change pace_ended(struct pace *p, const struct pace_end *e,
			    clk_ms now);

/* The opening of a connection started; each ends once. */
void pace_open_started(struct pace *p, clk_ms now);
enum pace_change pace_open_ended(struct pace *p, enum pace_open_result r,
				 clk_ms now);

/* True if one more statement may be sent that is not part of an open
 * transaction. */
bool pace_may_send(const struct pace *p, clk_ms now);

/* True if a connection may be opened. Opening counts like a statement, because
 * it occupies a slot. */
bool pace_may_open(const struct pace *p, clk_ms now);

/* The time from which pace_may_send() is true if no event comes before;
 * CLK_NEVER if one is needed. */
clk_ms pace_next_at(const struct pace *p, clk_ms now);

/* Whether the member should be considered when one is chosen for a
 * statement. */
bool pace_is_usable(const struct pace *p, clk_ms now);

/* When a failing member is tried next; CLK_NEVER if it does not fail. */
clk_ms pace_trial_at(const struct pace *p, clk_ms now);

enum pace_state pace_state(const struct pace *p, clk_ms now);

/* For metrics. */
double pace_limit(const struct pace *p);
/* Response time by time without load; 1 if unknown. */
double pace_slowdown(const struct pace *p);

#endif
