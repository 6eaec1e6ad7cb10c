#include <gtest/gtest.h>

extern "C" {
#include "lease.h"
}

enum { LEASE_MS = 1000, LONGEST_MS = 1100, OVERLAP_MS = 300 };

/* A leader since 0 whose predecessors' leases have expired. */
struct Lease : testing::Test {
	struct lse_table t = {};
	clk_ms now = 10000;

	void SetUp() override
	{
		lse_start(&t, LEASE_MS, OVERLAP_MS, 0);
	}

	void TearDown() override
	{
		lse_free(&t);
	}
};

/* Guards against a promotion while a proxy that did not hear of the change may
 * still send writes to the old primary. */
TEST_F(Lease, LastsUntilItExpiresAtAProxyThatDoesNotKnow)
{
	lse_record(&t, "p1", 7, now - 400);
	lse_record(&t, "p2", 8, now + 10);
	EXPECT_EQ(now - 400 + LONGEST_MS, lse_over_at(&t, 8, now));
}

/* Guards against a group without a primary for a whole lease although all
 * proxies have confirmed that they no longer use the old one. */
TEST_F(Lease, IsOverOnceAllProxiesKnow)
{
	lse_record(&t, "p1", 7, now - 400);
	lse_record(&t, "p2", 7, now - 100);
	EXPECT_GT(lse_over_at(&t, 8, now), now);
	lse_record(&t, "p1", 8, now + 10);
	lse_record(&t, "p2", 9, now + 20);
	EXPECT_LE(lse_over_at(&t, 8, now), now + 20);
}

/* Guards against a change that never ends because a proxy asks again and again
 * with an old view: answers since the change cover the group no more. */
TEST_F(Lease, IsOverOneLeaseAfterTheChangeAtTheLatest)
{
	lse_record(&t, "p1", 7, now + 5000);
	EXPECT_EQ(now + LONGEST_MS, lse_over_at(&t, 8, now));
}

/* Guards against a new leader that promotes a member while a proxy holds a
 * lease of the former leader. */
TEST_F(Lease, ThoseOfEarlierLeadersAreWaitedFor)
{
	lse_start(&t, LEASE_MS, OVERLAP_MS, now);
	lse_record(&t, "p1", 8, now + 10);
	EXPECT_EQ(now + 20 + LONGEST_MS, lse_over_at(&t, 8, now + 20));
	EXPECT_EQ(now + OVERLAP_MS + LONGEST_MS, lse_over_at(&t, 8, now + 600));
}

/* Guards against a promotion while a proxy uses the old primary under a lease
 * that voters supported before they heard this leader. */
TEST_F(Lease, ThoseThatVotersSupportedAreWaitedFor)
{
	lse_record(&t, "p1", 8, now + 10);
	lse_note_support(&t, now - 200);
	EXPECT_EQ(now - 200 + LONGEST_MS, lse_over_at(&t, 8, now));
}

/* Guards against leases that go on although a majority can replace a primary
 * without the supporters' knowledge: half of the voters is too few. */
TEST(LeaseSupport, NeedsAMajority)
{
	struct lse_supporter list[] = {{true, 100}, {true, 300}, {true, 200},
				       {true, 0},   {true, 0},	 {true, 0}};

	EXPECT_EQ(0, lse_majority_supports_until(list, 6));
	list[3].supports_until = 150;
	EXPECT_EQ(100, lse_majority_supports_until(list, 6));
	list[4].supports_until = 250;
	EXPECT_EQ(150, lse_majority_supports_until(list, 6));
}

/* Guards against counting the support of instances that only learn. */
TEST(LeaseSupport, CountsOnlyVoters)
{
	struct lse_supporter list[] = {
		{true, 100}, {false, 300}, {true, 0}, {true, 0}};

	EXPECT_EQ(0, lse_majority_supports_until(list, 4));
	list[2].supports_until = 90;
	EXPECT_EQ(90, lse_majority_supports_until(list, 4));
}
