#include "pace_priv.h"

#include <math.h>
#include <string.h>

/* Part of the earlier answers in an average after one more answer: about the
 * last 8 answers count. */
#define PACE_DECAY 0.875

/* Weight, in answers, of the slowdown assumed after a start or a shrinking. One
 * slow statement among a few must not count as a slow member: with a log-normal
 * spread of 0.7, one in 50 takes more than three times the mean. */
#define PACE_PRIOR_ANSWERS 4.0

/* A limit counts as kept down to the share up to so many shares. */
#define PACE_KEPT_DOWN 1.1

/* For the comparison of the smallest answers with their mean: answers in a
 * block, blocks needed, part of the earlier blocks after one more, and the part
 * of the mean above which statements seem to wait. Without a queue, the
 * smallest of six is about 0.3 of the mean (0.1 to 0.2 for a mix of routes). */
enum { PACE_BLOCK_ANSWERS = 6, PACE_MIN_BLOCKS = 2 };
#define PACE_BLOCK_DECAY 0.6
#define PACE_QUEUED_LEAST 0.45

/* The same below which a window counts as unloaded. With 0.45, chance made some
 * windows of a loaded member count, and the queue became part of the unloaded
 * time. */
#define PACE_UNLOADED_LEAST 0.35

/* Growth of a wrong unloaded time in each period in which the limit stays at
 * the share although answers seem slow. */
#define PACE_RAISE 1.1

static void pace_average_add(struct pace_average *a, double response,
			     double expected, double decay)
{
	a->response = a->response * decay + response;
	a->expected = a->expected * decay + expected;
	a->weight = a->weight * decay + 1;
}

static double pace_ratio(const struct pace_average *a)
{
	return a->expected > 0 ? a->response / a->expected : 0;
}

double pace_slowdown(const struct pace *p)
{
	return p->unloaded > 0 && p->recent.weight > 0
		       ? pace_ratio(&p->recent) / p->unloaded
		       : 1;
}

/* Forgets the recent answers and assumes a slowdown instead. The prior is in
 * the units of the average statement. */
void pace_assume(struct pace *p, double slowdown)
{
	double mean = p->recent.weight > 0
			      ? p->recent.expected / p->recent.weight
			      : 0;

	p->recent = (struct pace_average){0};
	if (p->unloaded <= 0 || mean <= 0)
		return;
	p->recent.weight = PACE_PRIOR_ANSWERS;
	p->recent.expected = PACE_PRIOR_ANSWERS * mean;
	p->recent.response = p->recent.expected * p->unloaded * slowdown;
}

void pace_restart_window(struct pace *p)
{
	p->window = (struct pace_average){0};
	p->blocks = 0;
	p->block_n = 0;
	p->block_sum = 0;
}

bool pace_knows_queue(const struct pace *p)
{
	return p->blocks >= PACE_MIN_BLOCKS;
}

bool pace_seems_queued(const struct pace *p)
{
	return !pace_knows_queue(p) || p->least > PACE_QUEUED_LEAST * p->mean;
}

/* Takes a window in which no statements seem to have waited. The unloaded time
 * is the smallest average of the newest periods, so a wrong one lasts no longer
 * than these. Under continuous load there are no such windows, and the earlier
 * periods are kept. */
static void pace_take_window(struct pace *p, clk_ms now)
{
	struct pace_average *newest = &p->periods[0];
	double least = 0;

	if (now - p->period_since >= PACE_PERIOD_MS &&
	    newest->weight >= PACE_PERIOD_ANSWERS) {
		memmove(&p->periods[1], &p->periods[0],
			(PACE_PERIODS - 1) * sizeof(p->periods[0]));
		*newest = (struct pace_average){0};
		p->period_since = now;
	}
	newest->response += p->window.response;
	newest->expected += p->window.expected;
	newest->weight += p->window.weight;
	for (int i = 0; i < PACE_PERIODS; i++) {
		double ratio = pace_ratio(&p->periods[i]);

		if (p->periods[i].weight >= PACE_PERIOD_ANSWERS &&
		    (least <= 0 || ratio < least))
			least = ratio;
	}
	p->unloaded = least > 0 ? least : pace_ratio(newest);
	p->seen_unloaded = true;
}

/* Takes a window in which statements seem to have waited. Their time without
 * load is no longer than that. A limit that stays at the share although this
 * is all it may be is a sign that the unloaded time is wrong. */
static void pace_take_loaded_window(struct pace *p, double ratio, clk_ms now)
{
	if (ratio < p->unloaded)
		p->unloaded = ratio;
	else if (p->limit <= PACE_KEPT_DOWN * pace_share(p) &&
		 now - p->raised_at >= PACE_PERIOD_MS) {
		p->unloaded = fmin(ratio, PACE_RAISE * p->unloaded);
		p->raised_at = now;
	}
}

/* Learns the time without load, from windows in which no statements seem to
 * have waited. */
static void pace_learn_unloaded(struct pace *p, const struct pace_end *e,
				clk_ms now)
{
	double ratio;

	pace_average_add(&p->window, e->response_ms, e->expected, 1);
	if (p->unloaded <= 0 && p->window.weight >= PACE_FIRST_ANSWERS)
		p->unloaded = pace_ratio(&p->window);
	if (p->window.weight < PACE_WINDOW_ANSWERS)
		return;
	ratio = pace_ratio(&p->window);
	if (p->blocks < PACE_MIN_BLOCKS ||
	    p->least > PACE_UNLOADED_LEAST * p->mean)
		pace_take_loaded_window(p, ratio, now);
	else
		pace_take_window(p, now);
	p->window = (struct pace_average){0};
}

/*
 * Compares the smallest of a few answers with their mean. Work varies a lot, so
 * without a queue the smallest of six is about 0.3 of the mean. The time
 * in the member's queue is the same for all.
 */
static void pace_compare_smallest(struct pace *p, double response_ms)
{
	double keep = p->blocks ? PACE_BLOCK_DECAY : 0;

	p->block_sum += response_ms;
	if (!p->block_n || response_ms < p->block_least)
		p->block_least = response_ms;
	if (++p->block_n < PACE_BLOCK_ANSWERS)
		return;
	p->least = keep * p->least + (1 - keep) * p->block_least;
	p->mean =
		keep * p->mean + (1 - keep) * p->block_sum / PACE_BLOCK_ANSWERS;
	p->blocks++;
	p->block_n = 0;
	p->block_sum = 0;
}

void pace_learn(struct pace *p, const struct pace_end *e, clk_ms now)
{
	pace_average_add(&p->recent, e->response_ms, e->expected, PACE_DECAY);
	pace_compare_smallest(p, e->response_ms);
	pace_learn_unloaded(p, e, now);
}
