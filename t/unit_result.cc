#include <gtest/gtest.h>

#include <fstream>
#include <set>
#include <sstream>

extern "C" {
#include "counter.h"
#include "result.h"
}

/* Guards against two result codes with the same number, which callers could not
 * distinguish. */
TEST(Result, NumbersAreUnique)
{
	std::set<int> seen;

#define X(name, num, state, ran, text) \
	EXPECT_TRUE(seen.insert(num).second) << #name;
	RES_TABLE(X)
#undef X
}

TEST(Result, NamesAndStates)
{
	EXPECT_STREQ("UNKNOWN", res_name(RES_UNKNOWN));
	EXPECT_STREQ("08007", res_sqlstate(RES_UNKNOWN));
	EXPECT_EQ(RES_RAN_MAYBE, res_ran(RES_UNKNOWN));
}

TEST(Counter, RefusalsAreCountedByCode)
{
	uint64_t before = cnt_refusal_count(RES_NO_LEASE);

	cnt_add_refusal(RES_NO_LEASE);
	EXPECT_EQ(before + 1, cnt_refusal_count(RES_NO_LEASE));
}
