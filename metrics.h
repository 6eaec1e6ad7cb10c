#ifndef METRICS_H
#define METRICS_H

/*
 * Serves the counters of counter.h and latency quantiles as text over HTTP, one
 * "name value" per line.
 */

#include "buf.h"
#include "error.h"

struct ev_loop;
struct hist;
struct metrics;

/*
 * Starts the server. add_lines appends the lines of the calling program; it may
 * be NULL.
 */
enum res metrics_serve(struct metrics **out, struct ev_loop *loop,
		       const char *addr,
		       void (*add_lines)(void *arg, struct buf *text),
		       void *arg, struct err *e);
void metrics_free(struct metrics *m);

/* Appends the count, quantiles and maximum of a histogram of microseconds. */
void metrics_add_histogram(struct buf *text, const char *name,
			   const struct hist *h);

#endif
