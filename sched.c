#include "sched.h"

#include <stdlib.h>
#include <string.h>

/* Queue of one customer's waiting jobs in one priority class. Short jobs, long
 * jobs and jobs of unmeasured cost have flows of their own. */
struct sched_flow {
	struct sched_flow *next;
	char customer[ID_LEN];
	int64_t priority;
	int64_t weight;
	bool is_long;
	bool unmeasured; /* jobs whose cost was never measured */
	struct sched_job *head;
	struct sched_job *tail;
	int64_t cost_us; /* of the waiting jobs */
	size_t njobs; /* waiting or running jobs of this flow */
	double finish_tag; /* virtual finish time of its last job */
	clk_ms last_start; /* when one of its jobs last started */
};

struct sched {
	int64_t slots;
	bool short_first;
	bool admission;
	struct sched_flow *flows;
	double virtual_time[2]; /* of short [0] and of long flows [1] */
	uint64_t order;
	size_t waiting;
	size_t waiting_short;
	size_t running;
	size_t running_long;
	size_t running_unmeasured;
	int64_t running_us; /* estimated cost of the running jobs */
	clk_ms next_expiry; /* no waiting job expires before this time */
};

struct sched *sched_new(int64_t slots, bool short_first, bool admission)
{
	struct sched *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	s->short_first = short_first;
	s->admission = admission;
	s->next_expiry = CLK_NEVER;
	sched_set_slots(s, slots);
	return s;
}

/* Discards the fair queueing state. Called when the server has become idle:
 * past usage must not count against a customer any more. */
static void sched_reset(struct sched *s)
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
	sched_reset(s);
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
		    f->unmeasured == j->cost_unmeasured &&
		    !strcmp(f->customer, j->customer))
			break;
	if (!f) {
		f = calloc(1, sizeof(*f));
		if (!f)
			abort();
		memcpy(f->customer, j->customer, sizeof(f->customer));
		f->priority = j->priority;
		f->is_long = j->is_long;
		f->unmeasured = j->cost_unmeasured;
		f->next = s->flows;
		s->flows = f;
	}
	f->weight = j->weight > 0 ? j->weight : 1;
	return f;
}

static void sched_attach_flow(struct sched *s, struct sched_job *j)
{
	j->flow = sched_flow_of(s, j);
	j->flow->njobs++;
}

/* Detaches a job from its flow and frees flows without jobs. A flow that has
 * received more than its fair share is kept until the virtual time has caught
 * up with it. */
static void sched_detach_flow(struct sched *s, struct sched_job *j)
{
	struct sched_flow **at = &s->flows;

	j->flow->njobs--;
	j->flow = NULL;
	while (*at) {
		struct sched_flow *f = *at;

		if (f->njobs || f->finish_tag > s->virtual_time[f->is_long]) {
			at = &f->next;
			continue;
		}
		*at = f->next;
		free(f);
	}
}

static void sched_enqueue(struct sched *s, struct sched_job *j)
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
	if (j->start_deadline < s->next_expiry)
		s->next_expiry = j->start_deadline;
}

static void sched_dequeue(struct sched *s, struct sched_job *j)
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

/* Cost of the jobs that are served before a new job of flow own: those of all
 * higher classes, and of the same class those that fair queueing puts first.
 * If own is NULL, all jobs of the same class count. */
static int64_t sched_cost_ahead(const struct sched *s, int64_t priority,
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
		us = sched_cost_ahead(s, j->priority, j->flow) / s->slots;
	return us / 1000;
}

enum res sched_add(struct sched *s, struct sched_job *j, clk_ms now)
{
	j->arrived = now;
	j->order = s->order++;
	j->running = false;
	sched_attach_flow(s, j);
	if (s->admission && now + sched_estimate(s, j) > j->start_deadline) {
		sched_detach_flow(s, j);
		return RES_OVERLOAD;
	}
	sched_enqueue(s, j);
	return RES_OK;
}

static double sched_start_tag(const struct sched *s, const struct sched_flow *f)
{
	double now = s->virtual_time[f->is_long];

	return f->finish_tag > now ? f->finish_tag : now;
}

/* Priority class of a flow after ageing. The age is counted from when the flow
 * was last served: in an overloaded class all jobs have waited long, and that
 * must not put them ahead of the jobs of a customer with less load. */
static int64_t sched_effective_class(const struct sched_flow *f, clk_ms now)
{
	clk_ms since = f->head->arrived;

	if (f->last_start > since)
		since = f->last_start;
	return f->priority - (now - since) / SCHED_AGEING_MS;
}

static bool sched_before(const struct sched *s, const struct sched_flow *a,
			 const struct sched_flow *b, clk_ms now)
{
	int64_t class_a = sched_effective_class(a, now);
	int64_t class_b = sched_effective_class(b, now);
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

/* True if one more job that is long, or may turn out to be long, may run. */
static bool sched_has_long_slot(const struct sched *s)
{
	return s->running_long + s->running_unmeasured < sched_long_max(s);
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
		if (pick == PICK_SHORT && f->unmeasured &&
		    !sched_has_long_slot(s))
			continue;
		if (!best || sched_before(s, f, best, now))
			best = f;
	}
	return best;
}

static struct sched_flow *sched_choose(const struct sched *s, clk_ms now)
{
	clk_ms patience = s->slots > 1 ? SCHED_LONG_MAX_WAIT_MS
				       : SCHED_LONG_MAX_WAIT_ONE_SLOT_MS;
	struct sched_flow *long_flow;

	if (s->running >= (size_t)s->slots)
		return NULL;
	if (!s->short_first)
		return sched_best(s, PICK_ANY, now);
	long_flow =
		sched_has_long_slot(s) ? sched_best(s, PICK_LONG, now) : NULL;
	if (long_flow &&
	    (!s->waiting_short ||
	     (!s->running_long && now - long_flow->head->arrived >= patience)))
		return long_flow;
	return sched_best(s, PICK_SHORT, now);
}

static void sched_start(struct sched *s, struct sched_job *j, clk_ms now)
{
	struct sched_flow *f = j->flow;
	double start = sched_start_tag(s, f);

	f->finish_tag = start + (double)j->cost_us / (double)f->weight;
	f->last_start = now;
	s->virtual_time[f->is_long] = start;
	j->running = true;
	s->running++;
	s->running_long += j->is_long;
	s->running_unmeasured += j->cost_unmeasured;
	s->running_us += j->cost_us;
}

struct sched_job *sched_start_next(struct sched *s, clk_ms now)
{
	struct sched_flow *f = sched_choose(s, now);
	struct sched_job *j;

	if (!f)
		return NULL;
	j = f->head;
	sched_dequeue(s, j);
	sched_start(s, j, now);
	return j;
}

void sched_start_now(struct sched *s, struct sched_job *j, clk_ms now)
{
	j->arrived = now;
	j->order = s->order++;
	sched_attach_flow(s, j);
	sched_start(s, j, now);
}

struct sched_job *sched_remove_expired(struct sched *s, clk_ms now)
{
	if (now < s->next_expiry)
		return NULL;
	s->next_expiry = CLK_NEVER;
	for (struct sched_flow *f = s->flows; f; f = f->next) {
		for (struct sched_job *j = f->head; j; j = j->next) {
			if (j->start_deadline <= now) {
				s->next_expiry = now;
				sched_remove(s, j);
				return j;
			}
			if (j->start_deadline < s->next_expiry)
				s->next_expiry = j->start_deadline;
		}
	}
	return NULL;
}

void sched_remove(struct sched *s, struct sched_job *j)
{
	sched_dequeue(s, j);
	sched_detach_flow(s, j);
}

void sched_finish(struct sched *s, struct sched_job *j, int64_t us)
{
	struct sched_flow *f = j->flow;

	/* Charges the flow the measured cost instead of the estimate. */
	f->finish_tag += (double)(us - j->cost_us) / (double)f->weight;
	j->running = false;
	s->running--;
	s->running_long -= j->is_long;
	s->running_unmeasured -= j->cost_unmeasured;
	s->running_us -= j->cost_us;
	sched_detach_flow(s, j);
	if (!s->waiting && !s->running)
		sched_reset(s);
}

void sched_reclassify(struct sched *s, struct sched_job *j, bool is_long)
{
	if (j->is_long == is_long && !j->cost_unmeasured)
		return;
	if (j->running) {
		s->running_long += is_long - j->is_long;
		s->running_unmeasured -= j->cost_unmeasured;
		j->is_long = is_long;
		j->cost_unmeasured = false;
		return;
	}
	sched_remove(s, j);
	j->is_long = is_long;
	j->cost_unmeasured = false;
	sched_attach_flow(s, j);
	sched_enqueue(s, j);
}

clk_ms sched_wait_ms(const struct sched *s, int64_t priority)
{
	int64_t us = sched_cost_ahead(s, priority, NULL);

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
