#ifndef CLOCK_H
#define CLOCK_H

/*
 * Time in milliseconds.
 *
 * All durations and points in time of the library are of type clk_ms. Points
 * in time come from the monotonic clock of this process and are never sent to
 * another process; messages carry durations only. Decision modules take the
 * time as an argument; only daemons and I/O modules call clk_now().
 */

#include <stdint.h>

typedef int64_t clk_ms;

#define CLK_NEVER INT64_MAX

/* Monotonic time. Includes time spent suspended, so that leases lapse. */
clk_ms clk_now(void);

/* Wall-clock time since 1970, for people: logs and the configuration log. */
clk_ms clk_wall(void);

/* Monotonic time in microseconds, for measuring statement cost. */
int64_t clk_now_us(void);

/* Processor time that this process has used. */
clk_ms clk_cpu(void);

#endif
