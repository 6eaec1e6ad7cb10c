#ifndef ENTRY_H
#define ENTRY_H

/*
 * Assembles the proxy process marjoramlatchd for the line protocol: sessions of
 * callers, backend connections, links to the control instances, the readiness
 * probe for the load balancer, and the metrics address.
 */

#include "error.h"

struct entry;
struct ev_loop;
struct settings;

enum res entry_new(struct entry **out, struct ev_loop *loop,
		   const struct settings *set, struct err *e);

/*
 * Starts a graceful stop. The readiness probe fails at once; new callers are
 * accepted until the load balancer has noticed. Then idle sessions are closed,
 * and the others may finish until stop_ms is nearly over.
 */
void entry_stop(struct entry *p);
/* Also connects to the control instances that the reloaded settings name. */
void entry_add_controls(struct entry *p, const struct settings *set);
void entry_free(struct entry *p);

#endif
