#include "backend.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/timerfd.h>
#include <unistd.h>

/*
 * Slots and the writer lock are granted first come, first served. A timerfd
 * tells when a statement's cost has passed, because libev's own timers have a
 * resolution of one millisecond and statements cost less.
 */

struct queue {
	struct wait *head;
	struct wait **tail;
};

static struct queue slot_queue; /* for a slot */
static struct queue running; /* hold a slot, unordered */
static struct queue lock_queue; /* for the writer lock */
static struct wait *lock_holder;
static int nrunning;
static int timer_fd;
static ev_io timer_io;
static int64_t armed_us = INT64_MAX; /* next expiry of the timer */

static void queue_append(struct queue *q, struct wait *w)
{
	w->next = NULL;
	*q->tail = w;
	q->tail = &w->next;
}

static bool queue_remove(struct queue *q, struct wait *w)
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

/* Sets the timer to the next due statement. If it is already set to an earlier
 * time, nothing needs to be done: on_timer() calls this function again. */
static void set_timer(void)
{
	struct itimerspec at = {0};
	int64_t due = INT64_MAX;
	int64_t delay_us;
	struct wait *w;

	for (w = running.head; w; w = w->next)
		if (w->due_us < due)
			due = w->due_us;
	if (due >= armed_us)
		return;
	delay_us = due - clk_now_us();
	if (delay_us <= 0) {
		ev_feed_event(be.loop, &timer_io, EV_READ);
		return;
	}
	at.it_value.tv_sec = delay_us / 1000000;
	at.it_value.tv_nsec = delay_us % 1000000 * 1000;
	timerfd_settime(timer_fd, 0, &at, NULL);
	armed_us = due;
}

static void fill_slots(void)
{
	while (slot_queue.head && nrunning < be.opt.slots) {
		struct wait *w = slot_queue.head;

		queue_remove(&slot_queue, w);
		w->queued = false;
		w->held = true;
		w->due_us = clk_now_us() + w->cost_us;
		nrunning++;
		queue_append(&running, w);
	}
	set_timer();
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
		slot_release(w);
		w->fn(w->arg);
	}
	fill_slots();
}

void sched_init(void)
{
	slot_queue.tail = &slot_queue.head;
	running.tail = &running.head;
	lock_queue.tail = &lock_queue.head;
	timer_fd = timerfd_create(CLOCK_MONOTONIC, TFD_NONBLOCK | TFD_CLOEXEC);
	if (timer_fd < 0)
		abort();
	ev_io_init(&timer_io, on_timer, timer_fd, EV_READ);
	ev_io_start(be.loop, &timer_io);
}

void slot_acquire(struct wait *w, int64_t cost_us)
{
	w->cost_us = cost_us;
	w->queued = true;
	queue_append(&slot_queue, w);
	fill_slots();
}

void slot_release(struct wait *w)
{
	if (w->queued)
		queue_remove(&slot_queue, w);
	if (w->held) {
		queue_remove(&running, w);
		nrunning--;
	}
	w->queued = false;
	w->held = false;
	fill_slots();
}

bool lock_acquire(struct wait *w)
{
	if (w->held)
		return true;
	if (!lock_holder) {
		lock_holder = w;
		w->held = true;
		return true;
	}
	w->queued = true;
	queue_append(&lock_queue, w);
	return false;
}

void lock_release(struct wait *w)
{
	struct wait *next = lock_queue.head;

	if (w->queued)
		queue_remove(&lock_queue, w);
	w->queued = false;
	if (!w->held)
		return;
	w->held = false;
	lock_holder = NULL;
	next = lock_queue.head;
	if (!next)
		return;
	queue_remove(&lock_queue, next);
	next->queued = false;
	next->held = true;
	lock_holder = next;
	next->fn(next->arg);
}
