#include <gtest/gtest.h>

extern "C" {
#include "hist.h"
}

/* Guards against quantiles that hide slow requests: a quantile must not be
 * below the exact value, and at most one bucket (5%) above it. */
TEST(Hist, QuantilesWithinOneBucket)
{
	struct hist *h = hist_new();

	for (int64_t us = 1; us <= 100000; us++)
		hist_add(h, us);
	EXPECT_EQ(100000u, hist_count(h));
	for (double q : {0.01, 0.5, 0.9, 0.99}) {
		double exact = q * 100000;

		EXPECT_GE(hist_quantile(h, q), (int64_t)exact) << q;
		EXPECT_LE(hist_quantile(h, q), (int64_t)(exact * 1.051)) << q;
	}
	EXPECT_EQ(100000, hist_quantile(h, 1));
	hist_free(h);
}

/* Guards against losing values outside the range of the histogram, which GSL
 * does not count. */
TEST(Hist, CountsValuesOutsideTheRange)
{
	struct hist *h = hist_new();

	EXPECT_EQ(0, hist_quantile(h, 0.5));
	hist_add(h, -5);
	hist_add(h, 0);
	hist_add(h, INT64_C(5000000000));
	EXPECT_EQ(3u, hist_count(h));
	EXPECT_EQ(INT64_C(5000000000), hist_max(h));
	EXPECT_GE(hist_quantile(h, 1), 1000000000);
	EXPECT_LE(hist_quantile(h, 0.5), 1);
	hist_free(h);
}
