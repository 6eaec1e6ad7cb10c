#ifndef HIST_H
#define HIST_H

/*
 * Latency histogram in microseconds with logarithmic buckets, based on GSL's
 * histogram. Each bucket is 5% wider than the one before, so quantiles are
 * accurate to 5%; the maximum is exact.
 */

#include <stdint.h>

struct hist;

struct hist *hist_new(void);
void hist_free(struct hist *h);
void hist_add(struct hist *h, int64_t us);
uint64_t hist_count(const struct hist *h);

/*
 * Upper end of the bucket that holds quantile q in [0, 1], but at most the
 * maximum; 0 if the histogram is empty.
 */
int64_t hist_quantile(const struct hist *h, double q);
int64_t hist_max(const struct hist *h);

#endif
