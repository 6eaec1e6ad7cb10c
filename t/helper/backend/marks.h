#ifndef MARKS_H
#define MARKS_H

/*
 * A bounded queue of (log position, time), both ascending. When it is full the
 * newest mark is moved instead of adding one.
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

/* Takes all marks up to a time; *pos becomes the last one's position. */
void marks_take(struct marks *m, clk_ms upto, int64_t *pos);

/* Takes all marks up to a position; *at becomes the last one's time. */
void marks_reach(struct marks *m, int64_t pos, clk_ms *at);

/* Times of the first and the last mark; 0 if there is none. */
clk_ms marks_first(const struct marks *m);
clk_ms marks_last(const struct marks *m);

#endif
