#ifndef STALL_H
#define STALL_H

/*
 * The file operation of this process that took longest since the last report.
 * Writes to files and changes of folders block the event loop while the file
 * system is busy, for seconds at times; daemon.c names the operation when the
 * loop was held up. Names begin with stl_.
 */

#include "clock.h"

struct stl_operation {
	const char *name; /* "" if there was none */
	clk_ms ms;
};

/* Records an operation that began at a time of clk_now_us(). The name must stay
 * valid. */
void stl_record(const char *name, int64_t began_us);

/* Returns the longest operation since the last call. */
struct stl_operation stl_take_longest(void);

#endif
