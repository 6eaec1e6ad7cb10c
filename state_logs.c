#include "state_priv.h"

#include "id_array.h"

#include <string.h>

/* What is recorded for changes of primary: the logs of backends that were
 * removed, and orders to replicas. */

static struct ended_log *state_find_ended_log(struct state *s, const char *id)
{
	return id_array_find(s->ended_logs, s->nended_logs,
			     sizeof(*s->ended_logs), id);
}

static void state_drop_ended_log(struct state *s, struct ended_log *l)
{
	id_array_remove(s->ended_logs, &s->nended_logs, sizeof(*l), l);
}

/* True if a backend of the group has registered at the address before the one
 * that used it was removed. */
static bool state_has_successor(const struct state *s,
				const struct backend_info *have)
{
	for (size_t i = 0; i < s->nbackends; i++) {
		const struct backend_info *b = &s->backends[i];

		if (!strcmp(b->group, have->group) &&
		    !strcmp(b->addr, have->addr) &&
		    b->incarnation > have->incarnation)
			return true;
	}
	return false;
}

static void state_add_ended_log(struct state *s,
				const struct backend_info *have, bool moves,
				bool silent)
{
	struct ended_log *l = state_find_ended_log(s, have->id);

	if (!l) {
		if (s->nended_logs == STATE_MAX_ENDED_LOGS)
			return;
		l = id_array_insert((void **)&s->ended_logs, &s->nended_logs,
				    sizeof(*l), have->id);
	}
	memcpy(l->group, have->group, ID_LEN);
	memcpy(l->addr, have->addr, ADDR_LEN);
	l->moves = moves;
	l->silent = silent;
	l->covered = false;
}

void state_note_end(struct state *s, const struct backend_info *have,
		    const struct backend_info *in)
{
	if (!in->leaving || !state_has_successor(s, have))
		state_add_ended_log(s, have, in->leaving,
				    in->announcements_stopped);
}

void state_note_restart(struct state *s, const struct backend_info *have,
			const struct backend_info *in)
{
	const struct group_info *g = state_group(s, have->group);

	if (have->incarnation == in->incarnation ||
	    strcmp(have->group, in->group) != 0 ||
	    (g && !strcmp(g->primary, have->id)))
		return;
	state_add_ended_log(s, have, false, false);
}

void state_note_successor(struct state *s, const struct backend_info *in)
{
	for (size_t i = 0; i < s->nended_logs; i++) {
		struct ended_log *l = &s->ended_logs[i];

		if (l->moves && !strcmp(l->group, in->group) &&
		    !strcmp(l->addr, in->addr)) {
			state_drop_ended_log(s, l);
			return;
		}
	}
}

void state_merge_ended_log(struct state *s, const struct ended_log *in)
{
	struct ended_log *l = state_find_ended_log(s, in->id);

	if (!l)
		return;
	if (in->addr[0])
		l->covered = in->covered;
	else
		state_drop_ended_log(s, l);
}

void state_merge_orders(struct state *s, const struct group_orders *in)
{
	struct group_orders *o = id_array_find(s->orders, s->norders,
					       sizeof(*s->orders), in->id);

	if (!o)
		o = id_array_insert((void **)&s->orders, &s->norders,
				    sizeof(*o), in->id);
	o->stage = in->stage;
}

enum orders_stage state_orders(const struct state *s, const char *group)
{
	const struct group_orders *o =
		id_array_find(s->orders, s->norders, sizeof(*o), group);

	return o ? (enum orders_stage)o->stage : ORDERS_UNKNOWN;
}
