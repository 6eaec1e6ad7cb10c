#include <gtest/gtest.h>

#include <algorithm>

extern "C" {
#include "read_fallback.h"
#include "rng.h"
}

struct ReadFallback : testing::Test {
	struct rng *rng = rng_new(1);
	clk_ms now = 100000;
	struct rdf_read r = {};

	ReadFallback()
	{
		r.arrived = now;
		r.deadline = now + 1000;
		r.response_ms = 10;
		r.primary_limit = 12;
	}
	~ReadFallback() override
	{
		rng_free(rng);
	}
	enum rdf_action decide()
	{
		return rdf_decide(&r, rng, now).action;
	}
};

/* Guards against reads that take a primary's slots from writes while replicas
 * are 60 to 110 times behind, and against no read being served at all. */
TEST_F(ReadFallback, PrimaryGetsABoundedShare)
{
	for (int limit = 0; limit < 50; limit++) {
		r.primary_limit = limit;
		for (r.primary_reads = 0; decide() == RDF_PRIMARY;)
			r.primary_reads++;
		EXPECT_EQ(std::max(1, limit / 4), r.primary_reads) << limit;
	}
}

/* Guards against reads that wait for a position which comes too late for them,
 * and against refusals just before it arrives. */
TEST_F(ReadFallback, WaitsOnlyForAPositionThatArrivesSoon)
{
	r.primary_reads = 3;
	EXPECT_EQ(RDF_REFUSE, decide()) << "unknown";
	r.expected_at = now + RDF_WAIT_MS;
	EXPECT_EQ(RDF_WAIT, decide());
	EXPECT_EQ(RDF_WAIT_MS, rdf_decide(&r, rng, now).ms);
	r.expected_at++;
	EXPECT_EQ(RDF_REFUSE, decide()) << "too late";
	r.expected_at = now + 50;
	r.deadline = now + 55;
	EXPECT_EQ(RDF_REFUSE, decide()) << "its answer would miss the deadline";
	r.deadline = now + 60;
	EXPECT_EQ(RDF_WAIT, decide());
	now += 50;
	EXPECT_EQ(RDF_REFUSE, decide()) << "it should have arrived";
}

/* Guards against callers that come back long before a replica can serve them,
 * and against all of them coming back at once. */
TEST_F(ReadFallback, TellsWhenToComeBack)
{
	clk_ms least = CLK_NEVER;
	clk_ms most = 0;

	r.primary_reads = 3;
	r.expected_at = now + 1200;
	for (int i = 0; i < 200; i++) {
		clk_ms ms = rdf_decide(&r, rng, now).ms;

		least = std::min(least, ms);
		most = std::max(most, ms);
	}
	EXPECT_GE(least, 1200);
	EXPECT_LE(most, 2400);
	EXPECT_GT(most - least, 600);
	r.expected_at = 0;
	EXPECT_GE(rdf_decide(&r, rng, now).ms, RDF_RETRY_MS);
}

/* Guards against trust in a lag measured long ago, and in one that has proved
 * too small. */
TEST_F(ReadFallback, ExpectsAPositionByTheMeasuredLag)
{
	struct rdf_lag l = {};

	EXPECT_EQ(0, rdf_expected_at(&l, now, now));
	rdf_record_lag(&l, now - 1300, now);
	EXPECT_EQ(now + 1000, rdf_expected_at(&l, now - 300, now));
	EXPECT_EQ(0, rdf_expected_at(&l, now - 1300, now));
	EXPECT_EQ(0, rdf_expected_at(&l, now + RDF_LAG_AGE_MS - 300,
				     now + RDF_LAG_AGE_MS));
}
