#ifndef CONTROL_API_H
#define CONTROL_API_H

/*
 * HTTP interface of a control instance, in use with the line protocol: the
 * operator publishes and reads the configuration, backend servers announce
 * themselves or that they leave. An instance that is not the leader redirects
 * to the leader, or answers 503 while it knows of none. A request that changes
 * or reads state gets its answer when struct ctl reports the result.
 *
 * Functions begin with capi_, for control API.
 */

#include "ctl_core.h"

struct ev_loop;
struct control_api;

/*
 * Starts to serve HTTP. Requests become calls of ctl; on_event is called after
 * each, and must have the actions of ctl executed.
 */
enum res capi_new(struct control_api **out, struct ev_loop *loop,
		  const struct settings *set, struct ctl *ctl,
		  void (*on_event)(void *arg), void *arg, struct err *e);
void capi_free(struct control_api *a);

/* Answers the request with a ticket; to be called for a CTL_ANSWER_REQUEST
 * action. */
void capi_finish_request(struct control_api *a, int64_t ticket, enum res r);

#endif
