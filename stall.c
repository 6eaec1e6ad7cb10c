#include "stall.h"

static const char *stl_longest_name = "";
static int64_t stl_longest_us;

void stl_record(const char *name, int64_t began_us)
{
	int64_t us = clk_now_us() - began_us;

	if (us <= stl_longest_us)
		return;
	stl_longest_name = name;
	stl_longest_us = us;
}

struct stl_operation stl_take_longest(void)
{
	struct stl_operation op = {.name = stl_longest_name,
				   .ms = stl_longest_us / 1000};

	stl_longest_name = "";
	stl_longest_us = 0;
	return op;
}
