#ifndef MEMBER_H
#define MEMBER_H

/*
 * Calls of the control leader to members of database groups, over one libpq
 * connection for each member. A call that fails or gets no answer within
 * MEM_CALL_MS closes its connection; the next one opens another.
 */

#include "failover.h"

struct ev_loop;
struct settings;
struct mem_set;

enum { MEM_CALL_MS = 400 };

/* on_done is called exactly once for each call that was made, later. */
struct mem_set *mem_new(struct ev_loop *loop, const struct settings *set,
			void (*on_done)(void *arg, const struct fo_answer *a),
			void *arg);
void mem_free(struct mem_set *s);

void mem_call(struct mem_set *s, const struct fo_act *call);

/* Closes all connections, when this instance does not lead any more. */
void mem_close_all(struct mem_set *s);

#endif
