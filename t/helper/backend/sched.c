#include "backend.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/timerfd.h>
#include <unistd.h>

/*
 * Slots are given out first come, first served. The end of a statement's cost
 * is timed by a timerfd, because libev's own timers have a resolution of a
 * millisecond and statements cost less.
 */

struct queue {
	struct wait *head;
	struct wait **tail;
};

static struct queue waiting; /* for a slot */
static struct queue running; /* hold a slot, unordered */
static struct queue lockers; /* for the writer lock */
static struct wait *lock_holder;
static int nrunning;
static int timer_fd;
static ev_io timer_io;
static int64_t armed_us = INT64_MAX; /* next expiry of the timer */

static void push(struct queue *q, struct wait *w)
{
	w->next = NULL;
	*q->tail = w;
	q->tail = &w->next;
}

static bool pull(struct queue *q, struct wait *w)
{
	struct wait **p;

	for (p = &q->head; *p; p = &(*p)->next) {
		if (*p != w)
			continue;
		*p = w->next;
		if (q->tail == &w->next)
			q->tail = p;
		return true;
	}
	return false;
}

/* An earlier expiry that is already set leads here again. */
static void arm(void)
{
	struct itimerspec at = {0};
	int64_t due = INT64_MAX;
	int64_t left;
	struct wait *w;

	for (w = running.head; w; w = w->next)
		if (w->due_us < due)
			due = w->due_us;
	if (due >= armed_us)
		return;
	left = due - clk_now_us();
	if (left <= 0) {
		ev_feed_event(be.loop, &timer_io, EV_READ);
		return;
	}
	at.it_value.tv_sec = left / 1000000;
	at.it_value.tv_nsec = left % 1000000 * 1000;
	timerfd_settime(timer_fd, 0, &at, NULL);
	armed_us = due;
}

static void fill_slots(void)
{
	while (waiting.head && nrunning < be.opt.slots) {
		struct wait *w = waiting.head;

		pull(&waiting, w);
		w->queued = false;
		w->held = true;
		w->due_us = clk_now_us() + w->cost_us;
		nrunning++;
		push(&running, w);
	}
	arm();
}

static struct wait *next_due(void)
{
	int64_t now = clk_now_us();
	struct wait *w;

	for (w = running.head; w; w = w->next)
		if (w->due_us <= now)
			return w;
	return NULL;
}

static void on_timer(struct ev_loop *loop, ev_io *io, int events)
{
	uint64_t expired;
	struct wait *w;

	(void)loop;
	(void)events;
	if (read(io->fd, &expired, sizeof(expired)) == sizeof(expired))
		armed_us = INT64_MAX;
	else if (errno != EAGAIN)
		abort();
	while ((w = next_due())) {
		slot_drop(w);
		w->fn(w->arg);
	}
	fill_slots();
}

void sched_init(void)
{
	waiting.tail = &waiting.head;
	running.tail = &running.head;
	lockers.tail = &lockers.head;
	timer_fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (timer_fd < 0)
		abort();
	ev_io_init(&timer_io, on_timer, timer_fd, EV_READ);
	ev_io_start(be.loop, &timer_io);
}

void slot_take(struct wait *w, int64_t cost_us)
{
	w->cost_us = cost_us;
	w->queued = true;
	push(&waiting, w);
	fill_slots();
}

void slot_drop(struct wait *w)
{
	if (w->queued)
		pull(&waiting, w);
	if (w->held) {
		pull(&running, w);
		nrunning--;
	}
	w->queued = false;
	w->held = false;
	fill_slots();
}

bool lock_take(struct wait *w)
{
	if (w->held)
		return true;
	if (!lock_holder) {
		lock_holder = w;
		w->held = true;
		return true;
	}
	w->queued = true;
	push(&lockers, w);
	return false;
}

void lock_drop(struct wait *w)
{
	struct wait *next = lockers.head;

	if (w->queued)
		pull(&lockers, w);
	w->queued = false;
	if (!w->held)
		return;
	w->held = false;
	lock_holder = NULL;
	next = lockers.head;
	if (!next)
		return;
	pull(&lockers, next);
	next->queued = false;
	next->held = true;
	lock_holder = next;
	next->fn(next->arg);
}
