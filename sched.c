#include "sched.h"

#include <stdlib.h>
#include <string.h>

/* Waiting jobs of one customer in one priority class, short or long. */
struct sched_flow {
	struct sched_flow *next;
	char customer[ID_LEN];
	int64_t priority;
	int64_t weight;
	bool is_long;
	bool unproven;
	struct sched_job *head;
	struct sched_job *tail;
	int64_t cost_us; /* of the waiting jobs */
	size_t users; /* jobs that point here */
	double finish; /* virtual time when its last job is done */
	clk_ms served; /* when its last job started */
};

struct sched {
	int64_t slots;
	bool short_first;
	bool admission;
	struct sched_flow *flows;
	double virtual_time[2]; /* of short and of long flows */
	uint64_t order;
	size_t waiting;
	size_t waiting_short;
	size_t running;
	size_t running_long;
	size_t running_unproven;
	int64_t running_us; /* estimated cost of the running jobs */
	clk_ms due; /* no wait ends before */
};

struct sched *sched_new(int64_t slots, bool short_first, bool admission)
{
	struct sched *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	s->short_first = short_first;
	s->admission = admission;
	s->due = CLK_NEVER;
	sched_set_slots(s, slots);
	return s;
}

/* A server that has become idle owes nobody anything. */
static void sched_forget(struct sched *s)
{
	while (s->flows) {
		struct sched_flow *f = s->flows;

		s->flows = f->next;
		free(f);
	}
	s->virtual_time[0] = 0;
	s->virtual_time[1] = 0;
}

void sched_free(struct sched *s)
{
	if (!s)
		return;
	sched_forget(s);
	free(s);
}

void sched_set_slots(struct sched *s, int64_t slots)
{
	s->slots = slots > 0 ? slots : 1;
}

static size_t sched_long_max(const struct sched *s)
{
	return s->slots > 1 ? (size_t)s->slots / 2 : 1;
}

static struct sched_flow *sched_flow_of(struct sched *s,
					const struct sched_job *j)
{
	struct sched_flow *f;

	for (f = s->flows; f; f = f->next)
		if (f->priority == j->priority && f->is_long == j->is_long &&
		    f->unproven == j->unproven &&
		    !strcmp(f->customer, j->customer))
			break;
	if (!f) {
		f = calloc(1, sizeof(*f));
		if (!f)
			abort();
		memcpy(f->customer, j->customer, sizeof(f->customer));
		f->priority = j->priority;
		f->is_long = j->is_long;
		f->unproven = j->unproven;
		f->next = s->flows;
		s->flows = f;
	}
	f->weight = j->weight > 0 ? j->weight : 1;
	return f;
}

static void sched_hold_flow(struct sched *s, struct sched_job *j)
{
	j->flow = sched_flow_of(s, j);
	j->flow->users++;
}

/* A flow without jobs is kept only while it is ahead of its fair share. */
static void sched_drop_flow(struct sched *s, struct sched_job *j)
{
	struct sched_flow **at = &s->flows;

	j->flow->users--;
	j->flow = NULL;
	while (*at) {
		struct sched_flow *f = *at;

		if (f->users || f->finish > s->virtual_time[f->is_long]) {
			at = &f->next;
			continue;
		}
		*at = f->next;
		free(f);
	}
}

static void sched_push(struct sched *s, struct sched_job *j)
{
	struct sched_flow *f = j->flow;

	j->next = NULL;
	j->prev = f->tail;
	if (f->tail)
		f->tail->next = j;
	else
		f->head = j;
	f->tail = j;
	f->cost_us += j->cost_us;
	s->waiting++;
	s->waiting_short += !j->is_long;
	if (j->give_up < s->due)
		s->due = j->give_up;
}

static void sched_pull(struct sched *s, struct sched_job *j)
{
	struct sched_flow *f = j->flow;

	if (j->prev)
		j->prev->next = j->next;
	else
		f->head = j->next;
	if (j->next)
		j->next->prev = j->prev;
	else
		f->tail = j->prev;
	f->cost_us -= j->cost_us;
	s->waiting--;
	s->waiting_short -= !j->is_long;
}

/* Cost that is served before a new job of this flow: all higher classes, and
 * of its own class what fair sharing lets go first. */
static int64_t sched_ahead(const struct sched *s, int64_t priority,
			   const struct sched_flow *own)
{
	int64_t higher = 0;
	int64_t same = 0;
	int64_t weights = 0;

	for (const struct sched_flow *f = s->flows; f; f = f->next) {
		if (!f->head || f->is_long || f->priority > priority)
			continue;
		if (f->priority < priority) {
			higher += f->cost_us;
			continue;
		}
		same += f->cost_us;
		weights += f->weight;
	}
	if (own) {
		int64_t share = own->cost_us / own->weight * weights;

		if (share < same)
			same = share;
	}
	return higher + same;
}

static clk_ms sched_estimate(const struct sched *s, const struct sched_job *j)
{
	int64_t us;

	if (j->is_long)
		us = j->flow->cost_us / (int64_t)sched_long_max(s);
	else
		us = sched_ahead(s, j->priority, j->flow) / s->slots;
	return us / 1000;
}

enum res sched_add(struct sched *s, struct sched_job *j, clk_ms now)
{
	j->arrived = now;
	j->order = s->order++;
	j->running = false;
	sched_hold_flow(s, j);
	if (s->admission && now + sched_estimate(s, j) > j->give_up) {
		sched_drop_flow(s, j);
		return RES_OVERLOAD;
	}
	sched_push(s, j);
	return RES_OK;
}

static double sched_start_tag(const struct sched *s, const struct sched_flow *f)
{
	double now = s->virtual_time[f->is_long];

	return f->finish > now ? f->finish : now;
}

/* A flow ages only while it is not served: in an overloaded class all jobs
 * are old, which must not put them before those of a lighter customer. */
static int64_t sched_class(const struct sched_flow *f, clk_ms now)
{
	clk_ms since = f->head->arrived;

	if (f->served > since)
		since = f->served;
	return f->priority - (now - since) / SCHED_AGEING_MS;
}

static bool sched_before(const struct sched *s, const struct sched_flow *a,
			 const struct sched_flow *b, clk_ms now)
{
	int64_t class_a = sched_class(a, now);
	int64_t class_b = sched_class(b, now);
	double tag_a = sched_start_tag(s, a);
	double tag_b = sched_start_tag(s, b);

	if (!s->short_first)
		return a->head->order < b->head->order;
	if (class_a != class_b)
		return class_a < class_b;
	if (tag_a != tag_b)
		return tag_a < tag_b;
	return a->head->order < b->head->order;
}

enum sched_pick { PICK_SHORT, PICK_LONG, PICK_ANY };

/* Is there room for a job that is long, or may turn out so? */
static bool sched_long_room(const struct sched *s)
{
	return s->running_long + s->running_unproven < sched_long_max(s);
}

static struct sched_flow *sched_best(const struct sched *s,
				     enum sched_pick pick, clk_ms now)
{
	struct sched_flow *best = NULL;

	for (struct sched_flow *f = s->flows; f; f = f->next) {
		if (!f->head)
			continue;
		if (pick != PICK_ANY && f->is_long != (pick == PICK_LONG))
			continue;
		if (pick == PICK_SHORT && f->unproven && !sched_long_room(s))
			continue;
		if (!best || sched_before(s, f, best, now))
			best = f;
	}
	return best;
}

static struct sched_flow *sched_choose(const struct sched *s, clk_ms now)
{
	clk_ms patience =
		s->slots > 1 ? SCHED_PATIENCE_MS : SCHED_PATIENCE_ONE_MS;
	struct sched_flow *lng;

	if (s->running >= (size_t)s->slots)
		return NULL;
	if (!s->short_first)
		return sched_best(s, PICK_ANY, now);
	lng = sched_long_room(s) ? sched_best(s, PICK_LONG, now) : NULL;
	if (lng && (!s->waiting_short ||
		    (!s->running_long && now - lng->head->arrived >= patience)))
		return lng;
	return sched_best(s, PICK_SHORT, now);
}

static void sched_begin(struct sched *s, struct sched_job *j, clk_ms now)
{
	struct sched_flow *f = j->flow;
	double start = sched_start_tag(s, f);

	f->finish = start + (double)j->cost_us / (double)f->weight;
	f->served = now;
	s->virtual_time[f->is_long] = start;
	j->running = true;
	s->running++;
	s->running_long += j->is_long;
	s->running_unproven += j->unproven;
	s->running_us += j->cost_us;
}

struct sched_job *sched_take(struct sched *s, clk_ms now)
{
	struct sched_flow *f = sched_choose(s, now);
	struct sched_job *j;

	if (!f)
		return NULL;
	j = f->head;
	sched_pull(s, j);
	sched_begin(s, j, now);
	return j;
}

void sched_force(struct sched *s, struct sched_job *j, clk_ms now)
{
	j->arrived = now;
	j->order = s->order++;
	sched_hold_flow(s, j);
	sched_begin(s, j, now);
}

struct sched_job *sched_expired(struct sched *s, clk_ms now)
{
	if (now < s->due)
		return NULL;
	s->due = CLK_NEVER;
	for (struct sched_flow *f = s->flows; f; f = f->next) {
		for (struct sched_job *j = f->head; j; j = j->next) {
			if (j->give_up <= now) {
				s->due = now;
				sched_remove(s, j);
				return j;
			}
			if (j->give_up < s->due)
				s->due = j->give_up;
		}
	}
	return NULL;
}

void sched_remove(struct sched *s, struct sched_job *j)
{
	sched_pull(s, j);
	sched_drop_flow(s, j);
}

void sched_finish(struct sched *s, struct sched_job *j, int64_t us)
{
	struct sched_flow *f = j->flow;

	/* The share is charged with what the job really took. */
	f->finish += (double)(us - j->cost_us) / (double)f->weight;
	j->running = false;
	s->running--;
	s->running_long -= j->is_long;
	s->running_unproven -= j->unproven;
	s->running_us -= j->cost_us;
	sched_drop_flow(s, j);
	if (!s->waiting && !s->running)
		sched_forget(s);
}

void sched_reclassify(struct sched *s, struct sched_job *j, bool is_long)
{
	if (j->is_long == is_long && !j->unproven)
		return;
	if (j->running) {
		s->running_long += is_long - j->is_long;
		s->running_unproven -= j->unproven;
		j->is_long = is_long;
		j->unproven = false;
		return;
	}
	sched_remove(s, j);
	j->is_long = is_long;
	j->unproven = false;
	sched_hold_flow(s, j);
	sched_push(s, j);
}

clk_ms sched_wait_ms(const struct sched *s, int64_t priority)
{
	int64_t us = sched_ahead(s, priority, NULL);

	if (s->running >= (size_t)s->slots)
		us += s->running_us / 2;
	return us / s->slots / 1000;
}

size_t sched_waiting(const struct sched *s)
{
	return s->waiting;
}

size_t sched_running(const struct sched *s)
{
	return s->running;
}
