#ifndef MARKS_H
#define MARKS_H

/*
 * A bounded queue of marks. A mark is a log position and the time at which the
 * log ended there; both ascend from mark to mark. repl.c uses such queues to
 * delay entries and to compute how stale a replica's data is. When the queue is
 * full, a new mark replaces the newest one.
 */

#include "clock.h"

enum { MARKS_MAX = 16384 };

struct mark {
	int64_t pos;
	clk_ms at;
};

struct marks {
	struct mark v[MARKS_MAX];
	unsigned first;
	unsigned n;
};

void marks_add(struct marks *m, int64_t pos, clk_ms at);
void marks_clear(struct marks *m);

/* Removes all marks up to a time, and sets *pos to the position of the last one
 * removed. Leaves *pos alone if there is none. */
void marks_pop_until_time(struct marks *m, clk_ms upto, int64_t *pos);

/* Removes all marks up to a position, and sets *at to the time of the last one
 * removed. Leaves *at alone if there is none. */
void marks_pop_until_pos(struct marks *m, int64_t pos, clk_ms *at);

/* Times of the oldest and the newest mark; 0 if there is none. */
clk_ms marks_first_time(const struct marks *m);
clk_ms marks_last_time(const struct marks *m);

#endif
