#include "ask.h"

#include <stdlib.h>
#include <string.h>

/* An ASK that was sent. */
struct ask_sent {
	int64_t seq;
	int control;
	clk_ms sent_at;
	bool answered; /* or no answer can come any more */
};

struct ask_control {
	bool link_up;
	int64_t answer_seen; /* number of its newest answer on this link */
	/* When the first unanswered ASK was sent, CLK_NEVER if none is. */
	clk_ms unanswered_since;
};

struct ask_schedule {
	const struct settings *set;
	struct ask_control controls[SETTINGS_MAX_CONTROLS];
	struct ask_sent sent[ASK_MAX_SENT];
	int ncontrols;
	int target; /* control instance that gets the next ASK */
	bool target_leads; /* it last answered as the leader */
	bool wake_pending; /* ask_set_due_now() was called since the last ASK */
	int64_t last_seq;
	clk_ms last_sent_at;
	clk_ms due; /* see ask_next_due() */
};

struct ask_schedule *ask_new(const struct settings *set, int first)
{
	struct ask_schedule *a = calloc(1, sizeof(*a));

	if (!a)
		abort();
	a->set = set;
	a->ncontrols = (int)set->ncontrols;
	a->target = first % a->ncontrols;
	a->due = CLK_NEVER;
	a->last_sent_at = -ASK_MIN_INTERVAL_MS;
	for (int i = 0; i < SETTINGS_MAX_CONTROLS; i++)
		a->controls[i].unanswered_since = CLK_NEVER;
	return a;
}

void ask_free(struct ask_schedule *a)
{
	free(a);
}

void ask_on_controls_added(struct ask_schedule *a)
{
	a->ncontrols = (int)a->set->ncontrols;
}

/* Makes the next ASK due at a time, unless it is due earlier. */
static void ask_set_due_by(struct ask_schedule *a, clk_ms at)
{
	if (at < a->last_sent_at + ASK_MIN_INTERVAL_MS)
		at = a->last_sent_at + ASK_MIN_INTERVAL_MS;
	if (at < a->due)
		a->due = at;
}

void ask_set_due_now(struct ask_schedule *a, clk_ms now)
{
	a->wake_pending = true;
	ask_set_due_by(a, now);
}

void ask_on_link_up(struct ask_schedule *a, int control, clk_ms now)
{
	a->controls[control].link_up = true;
	a->controls[control].unanswered_since = CLK_NEVER;
	a->controls[control].answer_seen = 0;
	if (!a->target_leads)
		ask_set_due_by(a, now);
}

/*
 * Starts or continues the search for the leader: the next ASK goes to the next
 * instance whose link is up.
 */
static void ask_try_next(struct ask_schedule *a, clk_ms now)
{
	a->target_leads = false;
	for (int i = 1; i <= a->ncontrols; i++) {
		int next = (a->target + i) % a->ncontrols;

		if (a->controls[next].link_up) {
			a->target = next;
			break;
		}
	}
	ask_set_due_by(a, now);
}

void ask_on_link_down(struct ask_schedule *a, int control, clk_ms now)
{
	a->controls[control].link_up = false;
	a->controls[control].unanswered_since = CLK_NEVER;
	/* Answers come on the link of the ASK only, so none will follow. */
	for (int i = 0; i < ASK_MAX_SENT; i++)
		if (a->sent[i].control == control)
			a->sent[i].answered = true;
	if (a->target == control)
		ask_try_next(a, now);
}

clk_ms ask_next_due(const struct ask_schedule *a)
{
	return a->due;
}

static bool ask_is_unresponsive(const struct ask_schedule *a, int control,
				clk_ms now)
{
	clk_ms unanswered_since = a->controls[control].unanswered_since;

	return unanswered_since != CLK_NEVER &&
	       now - unanswered_since >= ASK_UNRESPONSIVE_MS;
}

static void ask_schedule_next(struct ask_schedule *a, clk_ms now)
{
	if (!a->target_leads)
		a->due = now + ASK_SEARCH_INTERVAL_MS;
	else if (a->controls[a->target].unanswered_since == CLK_NEVER)
		a->due = now + a->set->ask_ms;
	else
		/* Then ask_pick_control() notices that the leader is
		 * unresponsive. */
		a->due = a->controls[a->target].unanswered_since +
			 ASK_UNRESPONSIVE_MS;
}

static void ask_record_sent(struct ask_schedule *a, clk_ms now, int64_t *seq)
{
	struct ask_control *c = &a->controls[a->target];
	struct ask_sent *s = &a->sent[++a->last_seq % ASK_MAX_SENT];

	*s = (struct ask_sent){
		.seq = a->last_seq, .control = a->target, .sent_at = now};
	if (c->unanswered_since == CLK_NEVER)
		c->unanswered_since = now;
	a->last_sent_at = now;
	a->wake_pending = false;
	*seq = a->last_seq;
}

int ask_pick_control(struct ask_schedule *a, clk_ms now, int64_t *seq,
		     int64_t *answer_seen)
{
	int control;

	if (now < a->due)
		return -1;
	if (ask_is_unresponsive(a, a->target, now) ||
	    !a->controls[a->target].link_up)
		ask_try_next(a, now);
	control = a->target;
	if (!a->controls[control].link_up) {
		a->due = CLK_NEVER;
		return -1;
	}
	*answer_seen = a->controls[control].answer_seen;
	ask_record_sent(a, now, seq);
	/* During a search, each ASK goes to another instance. */
	if (!a->target_leads)
		ask_try_next(a, now);
	ask_schedule_next(a, now);
	return control;
}

/* Makes the instance that an answer named as the leader the next target. */
static void ask_follow_hint(struct ask_schedule *a, const char *leader,
			    clk_ms now)
{
	for (int i = 0; i < a->ncontrols; i++) {
		if (strcmp(a->set->controls[i].id, leader) != 0)
			continue;
		if (!a->controls[i].link_up || ask_is_unresponsive(a, i, now))
			return;
		a->target = i;
		ask_set_due_by(a, now);
		return;
	}
}

/* When the first unanswered ASK was sent to an instance, or CLK_NEVER. */
static clk_ms ask_oldest_unanswered(const struct ask_schedule *a, int control)
{
	clk_ms oldest = CLK_NEVER;

	for (int i = 0; i < ASK_MAX_SENT; i++) {
		const struct ask_sent *s = &a->sent[i];

		if (s->seq && !s->answered && s->control == control &&
		    s->sent_at < oldest)
			oldest = s->sent_at;
	}
	return oldest;
}

bool ask_on_answer(struct ask_schedule *a, int control,
		   const struct msg_answer *answer, clk_ms now,
		   clk_ms *ask_sent_at)
{
	struct ask_sent *s = &a->sent[answer->ask_seq % ASK_MAX_SENT];
	struct ask_control *c = &a->controls[control];

	if (answer->ask_seq <= 0 || s->seq != answer->ask_seq ||
	    s->control != control || s->answered) {
		*ask_sent_at = CLK_NEVER;
		return false;
	}
	*ask_sent_at = s->sent_at;
	s->answered = true;
	c->unanswered_since = ask_oldest_unanswered(a, control);
	if (answer->res != RES_OK) {
		if (a->target_leads && a->target == control)
			ask_try_next(a, now);
		if (!a->target_leads)
			ask_follow_hint(a, answer->leader, now);
		return false;
	}
	if (answer->answer_seq > c->answer_seen)
		c->answer_seen = answer->answer_seq;
	a->target = control;
	a->target_leads = true;
	if (!a->wake_pending)
		a->due = a->last_sent_at + a->set->ask_ms;
	if (c->unanswered_since != CLK_NEVER)
		ask_set_due_by(a, c->unanswered_since + ASK_UNRESPONSIVE_MS);
	return true;
}

int ask_leader(const struct ask_schedule *a)
{
	return a->target_leads ? a->target : -1;
}
