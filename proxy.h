#ifndef PROXY_H
#define PROXY_H

/*
 * A proxy process (marjoramlatchd): creates the modules of the proxy on one
 * event loop, connects them, and stops them.
 *
 * A graceful stop closes idle client connections, reports the stop to the
 * control instances, and waits for requests in progress to finish, for at most
 * stop_ms.
 */

#include "error.h"

struct ev_loop;
struct proxy;
struct settings;

enum res proxy_new(struct proxy **out, struct ev_loop *loop,
		   const struct settings *set, struct err *e);
void proxy_free(struct proxy *p);

/* Starts a graceful stop. The event loop is left when the stop is complete. */
void proxy_stop(struct proxy *p);

#endif
