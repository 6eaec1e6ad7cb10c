#include "clock.h"

#include <time.h>

static int64_t clk_read_us(clockid_t id)
{
	struct timespec ts;

	clock_gettime(id, &ts);
	return (int64_t)ts.tv_sec * 1000000 + ts.tv_nsec / 1000;
}

clk_ms clk_now(void)
{
	return clk_read_us(CLOCK_BOOTTIME) / 1000;
}

clk_ms clk_wall(void)
{
	return clk_read_us(CLOCK_REALTIME) / 1000;
}

clk_ms clk_cpu(void)
{
	return clk_read_us(CLOCK_PROCESS_CPUTIME_ID) / 1000;
}

int64_t clk_now_us(void)
{
	return clk_read_us(CLOCK_BOOTTIME);
}
