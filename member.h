#ifndef MEMBER_H
#define MEMBER_H

/*
 * Carries out the calls that failover.h queues: the control leader asks a
 * member of a database group for its status, or tells it to fence, promote
 * itself or follow a primary. Names begin with mem_ for member.
 *
 * Each member has one libpq connection, which is opened by its first call and
 * kept. A call that fails or gets no answer within MEM_CALL_MS closes the
 * connection; the next call opens another.
 */

#include "failover.h"

struct ev_loop;
struct settings;
struct mem_set;

enum { MEM_CALL_MS = 400 /* timeout of a call */ };

/* on_done is called exactly once for each call, after mem_call() has returned;
 * not for a call that a later one to the same member replaced. */
struct mem_set *mem_new(struct ev_loop *loop, const struct settings *set,
			void (*on_done)(void *arg, const struct fo_answer *a),
			void *arg);
void mem_free(struct mem_set *s);

/* Starts a call. An unfinished call to the same member is given up. */
void mem_call(struct mem_set *s, const struct fo_act *call);

/* Closes all connections, for an instance that stops leading. */
void mem_close_all(struct mem_set *s);

#endif
