#ifndef STATUS_CALL_H
#define STATUS_CALL_H

/*
 * Carries out calls of promote.h to a backend server that speaks the line
 * protocol (platform/line.h): asks for its status, or tells it to step down,
 * pause or resume. Each call opens a connection and closes it after the answer.
 * Names begin with status_call_, or stc_ for private ones.
 */

#include "promote.h"

struct ev_loop;
struct status_call;

/* on_done is called once, from the loop, after at most PRO_STATUS_TIMEOUT_MS.
 * Returns NULL, without a call of on_done, if no connection could be started.
 */
struct status_call *status_call_start(
	struct ev_loop *loop, const struct pro_action *a,
	void (*on_done)(void *arg, int64_t number, const struct pro_status *s),
	void *arg);

#endif
