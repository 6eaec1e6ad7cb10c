#ifndef CLOCK_H
#define CLOCK_H

/*
 * Clocks. Durations and points in time have the type clk_ms (milliseconds).
 *
 * Points in time come from this machine's monotonic clock and mean nothing to
 * another process, so messages carry durations instead. Modules that make
 * decisions but do no I/O take the time as an argument; only daemons and I/O
 * modules call clk_now().
 */

#include <stdint.h>

typedef int64_t clk_ms;

#define CLK_NEVER INT64_MAX

/*
 * Monotonic time. It goes on while the machine is suspended, so that leases
 * expire meanwhile.
 */
clk_ms clk_now(void);

/*
 * Wall-clock time since 1970, only for people to read: in logs and in the
 * history of the configuration.
 */
clk_ms clk_wall(void);

/* Monotonic time in microseconds, for measuring statement cost. */
int64_t clk_now_us(void);

/* Processor time that this process has used. */
clk_ms clk_cpu(void);

#endif
