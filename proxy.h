#ifndef PROXY_H
#define PROXY_H

/*
 * Assembles marjoramlatchd: the modules of one proxy on one event loop.
 *
 * A graceful stop closes idle callers, tells control, and lets what runs
 * finish for at most stop_ms.
 */

#include "error.h"

struct ev_loop;
struct proxy;
struct settings;

enum res proxy_new(struct proxy **out, struct ev_loop *loop,
		   const struct settings *set, struct err *e);
void proxy_free(struct proxy *p);

/* Starts the graceful stop; the loop is broken when it is over. */
void proxy_stop(struct proxy *p);

#endif
