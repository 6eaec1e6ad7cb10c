#include "hist.h"

#include <gsl/gsl_histogram.h>
#include <math.h>
#include <stdlib.h>

#define HIST_GROWTH 1.05
#define HIST_MAX_US 1e9 /* longer times are counted in the last bucket */

struct hist {
	gsl_histogram *h;
	uint64_t count;
	int64_t max;
};

struct hist *hist_new(void)
{
	size_t n = (size_t)ceil(log(HIST_MAX_US) / log(HIST_GROWTH)) + 1;
	double *range = calloc(n + 1, sizeof(*range));
	struct hist *h = calloc(1, sizeof(*h));

	if (!range || !h)
		abort();
	for (size_t i = 1; i <= n; i++)
		range[i] = pow(HIST_GROWTH, (double)(i - 1));
	h->h = gsl_histogram_alloc(n);
	if (!h->h)
		abort();
	gsl_histogram_set_ranges(h->h, range, n + 1);
	free(range);
	return h;
}

void hist_free(struct hist *h)
{
	if (!h)
		return;
	gsl_histogram_free(h->h);
	free(h);
}

void hist_add(struct hist *h, int64_t us)
{
	double x = us < 0 ? 0 : (double)us;

	if (x > HIST_MAX_US)
		x = HIST_MAX_US;
	gsl_histogram_increment(h->h, x);
	h->count++;
	if (us > h->max)
		h->max = us;
}

uint64_t hist_count(const struct hist *h)
{
	return h->count;
}

int64_t hist_quantile(const struct hist *h, double q)
{
	double target_count = q * (double)h->count;
	double sum = 0;
	double low;
	double high;

	for (size_t i = 0; i < gsl_histogram_bins(h->h); i++) {
		sum += gsl_histogram_get(h->h, i);
		if (sum < target_count || sum <= 0)
			continue;
		gsl_histogram_get_range(h->h, i, &low, &high);
		/* No value is above the maximum, which is known exactly. */
		return high < (double)h->max ? (int64_t)high : h->max;
	}
	return h->max;
}

int64_t hist_max(const struct hist *h)
{
	return h->max;
}
