#include "pace_priv.h"

#include <math.h>
#include <string.h>

/* Slowdown assumed after the limit shrank by a third from twice the slots. */
#define PACE_PRIOR_AFTER_SHRINK 1.33

/* Slowdown above which the limit shrinks. It stands for about twice the
 * unloaded time: the smallest of several averages lies below their mean. */
#define PACE_SLOW 2.2

#define PACE_SHRINK (2.0 / 3.0)

/* Slowdown up to which a limit above the fair one grows, and above which it
 * gives back if statements seem to wait. */
#define PACE_SPARE 1.35
#define PACE_GIVE_BACK 1.15

/* Shares of the fair limit where a share is far below one statement. All
 * proxies together then send evenly, and only a few statements per slot more
 * are needed to keep the slots busy. */
#define PACE_FAIR_SMALL 1.25

/* Shares up to which growth does not wait for the first unloaded time: with
 * less, the first answers take seconds. */
#define PACE_SMALL_SHARE 0.5

/* Smallest limit after refusals and losses, in shares. */
#define PACE_MIN_SHARES 0.125

/* Fractions of a limit below this are not used. */
#define PACE_MIN_FRACTION 0.0001

/* Weight of an answer in the moving average that bounds the excess. With 0.1,
 * 85 proxies left a quarter of the slots idle after a queue at the start. */
#define PACE_RESPONSE_WEIGHT 0.05

/* Limit up to which growth is fast. */
static double pace_fair(const struct pace *p)
{
	double share = pace_share(p);
	double factor = PACE_FAIR_SMALL +
			(PACE_FAIR_FACTOR - PACE_FAIR_SMALL) * fmin(share, 1);

	return share * factor;
}

static double pace_max(const struct pace *p)
{
	return (double)(PACE_MAX_PER_SLOT *
			(p->slots_known ? p->slots : PACE_UNKNOWN_SLOTS));
}

static int pace_in_progress(const struct pace *p)
{
	return p->running + p->opening;
}

/*
 * Excess of statement time at a later time. It grows while more statements are
 * in progress than the limit, by the part that is above it, and is paid off
 * while fewer are. One more statement than the whole part of the limit may be
 * sent without excess; so the average in progress is the limit, whatever the
 * response times are.
 */
static double pace_excess_at(const struct pace *p, clk_ms now)
{
	double over = pace_in_progress(p) - p->limit;
	double excess = p->excess + over * (double)(now - p->counted_at);
	double most = fmin(p->limit * PACE_MAX_INTERVAL_MS, p->response_ms);

	return fmax(0, fmin(excess, most));
}

static void pace_count(struct pace *p, clk_ms now)
{
	p->usage += (double)(now - p->counted_at) * pace_in_progress(p);
	p->excess = pace_excess_at(p, now);
	p->counted_at = now;
}

static void pace_start_limit(struct pace *p, clk_ms now)
{
	p->limit = pace_share(p);
	p->fast = now >= p->cold_until;
	p->judged_from = now;
	p->shrink_after = now;
	p->paused_until = 0;
	pace_count(p, now);
	p->unused_usage = p->usage;
	p->unused_since = now;
	pace_assume(p, 1);
	pace_restart_window(p);
}

/* Lets the proxies begin one after the other where a share is less than one
 * statement, at the rate at which the slots serve. */
static void pace_spread_start(struct pace *p)
{
	p->excess =
		pace_share(p) < 1 ? p->response_ms * p->rank / p->senders : 0;
}

void pace_init(struct pace *p, int64_t slots, clk_ms now)
{
	memset(p, 0, sizeof(*p));
	p->slots = 1;
	p->senders = 1;
	p->response_ms = PACE_FIRST_RESPONSE_MS;
	p->trial_interval = PACE_TRIAL_MIN_MS;
	p->period_since = now;
	p->counted_at = now;
	pace_set_slots(p, slots);
	pace_start_limit(p, now);
	pace_spread_start(p);
}

/* Keeps the limit in proportion when the share changes. It falls with the
 * share, since the others send, too; a larger share may be used at once. */
static void pace_share_changed(struct pace *p, double before)
{
	double share = pace_share(p);

	if (share < before)
		p->limit *= share / before;
	else if (share > before)
		p->fast = true;
	if (p->limit < share)
		p->limit = share;
	if (p->limit > pace_max(p))
		p->limit = pace_max(p);
}

void pace_set_slots(struct pace *p, int64_t slots)
{
	double before = pace_share(p);

	p->slots_known = slots > 0;
	p->slots = slots > 0 ? slots : 1;
	pace_share_changed(p, before);
}

void pace_set_senders(struct pace *p, int senders, int rank)
{
	double before = pace_share(p);

	p->senders = senders > 0 ? senders : 1;
	p->rank = rank >= 0 ? rank % p->senders : 0;
	pace_share_changed(p, before);
}

void pace_on_start(struct pace *p, clk_ms now)
{
	p->state = PACE_OPEN;
	p->started_at = now;
	p->failures = 0;
	p->trial_interval = PACE_TRIAL_MIN_MS;
	p->cold_until = 0;
	pace_start_limit(p, now);
	pace_spread_start(p);
}

void pace_on_promotion(struct pace *p, clk_ms now)
{
	if (p->state != PACE_OPEN)
		p->trial_at = now;
	pace_start_limit(p, now);
	pace_spread_start(p);
}

void pace_set_cold(struct pace *p, clk_ms left_ms, clk_ms now)
{
	p->cold_until = left_ms > 0 ? now + left_ms : 0;
	if (left_ms > 0)
		p->fast = false;
}

/* Statements in progress on average since a time at which the sum was
 * before. */
static double pace_used(const struct pace *p, double before, clk_ms since)
{
	clk_ms age = p->counted_at - since;

	return age > 0 ? (p->usage - before) / (double)age : 0;
}

/* Lowers a limit that was not in use towards what was used. */
static void pace_decay_unused(struct pace *p, clk_ms now)
{
	double keep;
	clk_ms age = now - p->unused_since;

	pace_count(p, now);
	if (age < PACE_UNUSED_MS)
		return;
	keep = PACE_FAIR_FACTOR *
	       fmax(pace_used(p, p->unused_usage, p->unused_since),
		    pace_share(p));
	if (p->limit > keep)
		p->limit = keep + (p->limit - keep) *
					  exp2(-(double)age / PACE_UNUSED_MS);
	p->unused_usage = p->usage;
	p->unused_since = now;
}

static void pace_shrink(struct pace *p, double least_shares, clk_ms now)
{
	double least = least_shares * pace_share(p);

	p->fast = false;
	if (now < p->shrink_after)
		return;
	if (p->limit * PACE_SHRINK > least)
		p->limit *= PACE_SHRINK;
	else if (p->limit > least)
		p->limit = least;
	p->shrink_after = now + (clk_ms)ceil(p->response_ms);
	p->judged_from = now;
	pace_restart_window(p);
	pace_assume(p, PACE_PRIOR_AFTER_SHRINK);
}

/*
 * Growth for one answer. Doubling adds one for each answer, or doubles a
 * fraction. Otherwise one is added for a limit's worth of answers; less where
 * the share or the limit is small, since all proxies grow at the same time and
 * a slowdown is noticed only after about 8 answers.
 */
static double pace_step(const struct pace *p)
{
	double step;

	if (p->fast)
		return fmin(p->limit, 1);
	step = fmin(fmax(pace_share(p), p->limit / 8), 1);
	return step / fmax(p->limit, 1);
}

/* Changes a limit above the fair one, which takes what other proxies leave: it
 * grows only into idle slots, and gives back once statements wait. */
static void pace_adapt_above_fair(struct pace *p)
{
	double slowdown = pace_slowdown(p);

	p->fast = false;
	if (!pace_knows_queue(p))
		return;
	if (pace_seems_queued(p) &&
	    (!p->seen_unloaded || slowdown >= PACE_GIVE_BACK))
		p->limit = fmax(p->limit - pace_step(p) / 2, pace_fair(p));
	else if (slowdown < PACE_SPARE)
		p->limit = fmin(p->limit + pace_step(p) / 2, pace_max(p));
}

/* Changes the limit where it holds back statements. */
static void pace_adapt(struct pace *p)
{
	double fair = pace_fair(p);
	double headroom = PACE_SLOW - pace_slowdown(p);

	if (p->limit >= fair)
		pace_adapt_above_fair(p);
	else if (headroom > 0 &&
		 (p->unloaded > 0 || pace_share(p) < PACE_SMALL_SHARE))
		p->limit =
			fmin(p->limit + pace_step(p) * fmin(headroom, 1), fair);
}

/* Adapts the limit to an answer of a statement that was sent under it. */
static void pace_judge(struct pace *p, const struct pace_end *e, clk_ms now)
{
	pace_learn(p, e, now);
	if (pace_slowdown(p) > PACE_SLOW && pace_seems_queued(p))
		pace_shrink(p, 1, now);
	else if (e->limit_in_use)
		pace_adapt(p);
}

static bool pace_failures_expired(const struct pace *p, clk_ms now)
{
	return now - p->failed_last >= PACE_FAILURES_EXPIRE_MS;
}

enum pace_state pace_state(const struct pace *p, clk_ms now)
{
	if (p->state == PACE_STATEMENTS_FAIL && pace_failures_expired(p, now))
		return PACE_OPEN;
	return p->state;
}

/* Plans the next trial. The rank spreads the trials of all proxies over half of
 * the interval. */
static void pace_plan_trial(struct pace *p, clk_ms now)
{
	clk_ms half = p->trial_interval / 2;

	p->trial_at = now + half + half * p->rank / p->senders;
	p->trial_interval *= 2;
	if (p->trial_interval > PACE_TRIAL_MAX_MS)
		p->trial_interval = PACE_TRIAL_MAX_MS;
}

static enum pace_change pace_fail(struct pace *p, enum pace_state state,
				  clk_ms now)
{
	bool failed = pace_state(p, now) != PACE_OPEN;

	if (!failed)
		p->trial_interval = PACE_TRIAL_MIN_MS;
	p->state = state;
	pace_plan_trial(p, now);
	return failed ? PACE_UNCHANGED : PACE_FAILS;
}

static enum pace_change pace_count_failure(struct pace *p, clk_ms now)
{
	p->state = pace_state(p, now);
	if (!p->failures || pace_failures_expired(p, now)) {
		p->failures = 0;
		p->failed_first = now;
	}
	p->failures++;
	p->failed_last = now;
	if (p->state != PACE_OPEN)
		return pace_fail(p, p->state, now);
	if (p->failures >= PACE_FAILURES &&
	    now - p->failed_first >= PACE_FAILING_MS)
		return pace_fail(p, PACE_STATEMENTS_FAIL, now);
	return PACE_UNCHANGED;
}

static enum pace_change pace_recover(struct pace *p, clk_ms now)
{
	p->failures = 0;
	p->trial_interval = PACE_TRIAL_MIN_MS;
	if (p->state == PACE_OPEN)
		return PACE_UNCHANGED;
	p->state = PACE_OPEN;
	pace_start_limit(p, now);
	p->excess = 0;
	return PACE_RECOVERED;
}

void pace_sent(struct pace *p, clk_ms now)
{
	pace_decay_unused(p, now);
	if (!p->running && !p->opening)
		p->progress_at = now;
	p->running++;
	p->sent_at = now;
}

static enum pace_change pace_done(struct pace *p, const struct pace_end *e,
				  clk_ms now)
{
	/* A success of a statement that was sent before the first failure does
	 * not end a series of failures. */
	bool later = !p->failures || e->sent_at >= p->failed_first;
	enum pace_change c = later ? pace_recover(p, now) : PACE_UNCHANGED;

	p->response_ms +=
		(e->response_ms - p->response_ms) * PACE_RESPONSE_WEIGHT;
	if (e->sent_at >= p->judged_from)
		pace_judge(p, e, now);
	return c;
}

enum pace_change pace_ended(struct pace *p, const struct pace_end *e,
			    clk_ms now)
{
	pace_count(p, now);
	if (e->limit_in_use) {
		p->unused_since = now;
		p->unused_usage = p->usage;
	}
	p->running--;
	if (e->outcome != PACE_LOST && e->outcome != PACE_CANCELED)
		p->progress_at = p->answered_at = now;
	if (e->sent_at < p->started_at && e->outcome != PACE_DONE)
		return PACE_UNCHANGED;
	switch (e->outcome) {
	case PACE_DONE:
		return pace_done(p, e, now);
	case PACE_LOST:
		pace_shrink(p, PACE_MIN_SHARES, now);
		return pace_count_failure(p, now);
	case PACE_ERROR:
		return pace_count_failure(p, now);
	case PACE_BUSY:
		pace_shrink(p, PACE_MIN_SHARES, now);
		p->paused_until = now + PACE_BUSY_PAUSE_MS;
		p->excess += p->response_ms;
		break;
	case PACE_NOT_SERVED:
	case PACE_CANCELED:
		break;
	}
	/* The trial told nothing; the next one follows after the interval. */
	if (pace_state(p, now) != PACE_OPEN)
		pace_plan_trial(p, now);
	return PACE_UNCHANGED;
}

void pace_open_started(struct pace *p, clk_ms now)
{
	pace_count(p, now);
	if (!p->running && !p->opening)
		p->progress_at = now;
	if (!p->opening++)
		p->opening_since = now;
}

enum pace_change pace_open_ended(struct pace *p, enum pace_open_result r,
				 clk_ms now)
{
	pace_count(p, now);
	p->opening--;
	switch (r) {
	case PACE_OPENED:
		p->progress_at = p->answered_at = now;
		/* A statement has yet to show that statements succeed. */
		if (p->state == PACE_UNREACHABLE)
			return pace_recover(p, now);
		break;
	case PACE_OPEN_FAILED:
		/* An overloaded member may leave a new connection unanswered
		 * while it answers on others. */
		if (p->answered_at <= p->opening_since)
			return pace_fail(p, PACE_UNREACHABLE, now);
		break;
	case PACE_OPEN_REFUSED:
		p->answered_at = now;
		break;
	}
	if (pace_state(p, now) != PACE_OPEN && r != PACE_OPENED)
		pace_plan_trial(p, now);
	return PACE_UNCHANGED;
}

/* When one more statement is allowed although answers are missing. */
static clk_ms pace_stalled_at(const struct pace *p)
{
	return (p->progress_at > p->sent_at ? p->progress_at : p->sent_at) +
	       PACE_STALL_MS;
}

static clk_ms pace_later(clk_ms a, clk_ms b)
{
	return a > b ? a : b;
}

/* When a statement may be sent with so many in progress, if none ends before;
 * CLK_NEVER if one has to end first. */
static clk_ms pace_room_at(const struct pace *p, clk_ms now)
{
	int used = pace_in_progress(p);
	double below = p->limit - used;

	if (below >= 1)
		return now;
	if (below < PACE_MIN_FRACTION)
		return CLK_NEVER;
	return now + (clk_ms)ceil(pace_excess_at(p, now) / below);
}

clk_ms pace_next_at(const struct pace *p, clk_ms now)
{
	clk_ms room = pace_room_at(p, now);

	if (pace_state(p, now) != PACE_OPEN)
		return pace_in_progress(p)
			       ? pace_later(p->trial_at, pace_stalled_at(p))
			       : p->trial_at;
	if (pace_in_progress(p) && room > pace_stalled_at(p))
		room = pace_stalled_at(p);
	return room == CLK_NEVER ? room : pace_later(room, p->paused_until);
}

bool pace_may_send(const struct pace *p, clk_ms now)
{
	return now >= pace_next_at(p, now);
}

bool pace_may_open(const struct pace *p, clk_ms now)
{
	if (pace_state(p, now) != PACE_OPEN && p->opening)
		return false;
	return pace_may_send(p, now);
}

bool pace_is_usable(const struct pace *p, clk_ms now)
{
	if (pace_state(p, now) != PACE_OPEN)
		return now >= pace_next_at(p, now);
	return now >= p->paused_until;
}

clk_ms pace_trial_at(const struct pace *p, clk_ms now)
{
	return pace_state(p, now) == PACE_OPEN ? CLK_NEVER
					       : pace_next_at(p, now);
}

double pace_limit(const struct pace *p)
{
	return p->limit;
}
