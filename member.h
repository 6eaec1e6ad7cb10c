#ifndef MEMBER_H
#define MEMBER_H

/*
 * Carries out the calls that failover.h queues: the control leader asks a
 * member of a database group for its status, or tells it to fence, promote
 * itself or follow a primary. Names begin with
 * member_, or mem_ for private ones.
 *
 * Each member has one libpq connection, which is opened by its first call and
 * kept. A call that fails or gets no answer within MEMBER_CALL_TIMEOUT_MS
 * closes the connection; the next call opens another.
 */

#include "failover.h"

struct ev_loop;
struct settings;
struct member_conns;

enum { MEMBER_CALL_TIMEOUT_MS = 400 /* timeout of a call */ };

/* on_done is called exactly once for each call, after member_call() has
 * returned; not for a call that a later one to the same member replaced. */
struct member_conns *member_conns_new(
	struct ev_loop *loop, const struct settings *set,
	void (*on_done)(void *arg, const struct fo_answer *a), void *arg);
void member_conns_free(struct member_conns *s);

/* Starts a call. An unfinished call to the same member is given up. */
void member_call(struct member_conns *s, const struct fo_action *call);

/* Closes all connections, for an instance that stops leading. */
void member_conns_close(struct member_conns *s);

#endif
