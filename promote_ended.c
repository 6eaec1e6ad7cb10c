#include "promote_priv.h"

#include "buf.h"
#include "id_array.h"
#include "log.h"

#include <string.h>

/* The logs of members that have ended, see promote.h. */

static struct pro_ended *pro_find_or_add_ended(struct pro *p, const char *id,
					       clk_ms now)
{
	struct pro_ended *e =
		id_array_find(p->ended, p->nended, sizeof(*e), id);

	if (e)
		return e;
	e = id_array_insert((void **)&p->ended, &p->nended, sizeof(*e), id);
	e->seen_at = now;
	e->proposed_at = now - PRO_REPROPOSE_MS;
	return e;
}

static void pro_forget_ended(struct pro *p)
{
	size_t n;
	const struct ended_log *l = state_ended_logs(p->state, &n);

	for (size_t i = p->nended; i > 0; i--)
		if (!id_array_find(l, n, sizeof(*l), p->ended[i - 1].id))
			id_array_remove(p->ended, &p->nended, sizeof(*p->ended),
					&p->ended[i - 1]);
}

static void pro_propose_ended(struct pro *p, const struct pro_group *g,
			      struct pro_ended *e, const struct ended_log *l,
			      clk_ms now)
{
	struct pro_action *a;

	if (now - e->proposed_at < PRO_REPROPOSE_MS)
		return;
	e->proposed_at = now;
	log_info("promote",
		 "event=log_forgotten group=%s member=%s end=%lld.%lld",
		 g->name, e->id, (long long)e->end.term,
		 (long long)e->end.number);
	a = pro_queue_act(p, g, PRO_RECORD_ENDED);
	memcpy(a->member, e->id, ID_LEN);
	a->ended_log = *l;
}

void pro_tick_ended(struct pro *p, clk_ms now)
{
	size_t n;
	const struct ended_log *l = state_ended_logs(p->state, &n);

	for (size_t i = 0; i < p->ngroups; i++)
		p->groups[i].has_uncovered_logs = false;
	if (p->nended)
		pro_forget_ended(p);
	for (size_t i = 0; i < n; i++) {
		struct pro_ended *e = pro_find_or_add_ended(p, l[i].id, now);
		struct pro_group *g = pro_get_group(p, l[i].group);
		struct ended_log gone = l[i];

		gone.addr[0] = '\0';
		/* Earlier versions kept a log that was covered. */
		if (!g->sync_replicas || l[i].covered)
			pro_propose_ended(p, g, e, &gone, now);
		else
			g->has_uncovered_logs = true;
	}
}

static void pro_check_ended(struct pro *p, struct pro_group *g,
			    const struct pro_member *primary,
			    struct pro_ended *e, const struct ended_log *l,
			    clk_ms now)
{
	struct cov_log list[PRO_MAX_MEMBERS];
	struct cov_group logs = pro_describe_logs(g, list);
	clk_ms over =
		e->seen_at + (l->silent ? PRO_SILENT_ENDED_MS : PRO_ENDED_MS);
	struct ended_log covered = *l;

	covered.addr[0] = '\0';
	if (pos_is_none(e->end) && primary->request_sent_at >= over)
		e->end = primary->status.received_pos;
	/* The primary itself is no replica. */
	list[primary - g->members].known = false;
	if (!pos_is_none(e->end) && cov_is_covered(&logs, e->end))
		pro_propose_ended(p, g, e, &covered, now);
}

void pro_check_covered(struct pro *p, struct pro_group *g, clk_ms now)
{
	const struct pro_member *primary = pro_find_member(g, g->old_primary);
	size_t n;
	const struct ended_log *l = state_ended_logs(p->state, &n);

	if (!g->has_uncovered_logs || !pro_is_primary(primary))
		return;
	for (size_t i = 0; i < n; i++) {
		struct pro_ended *e =
			id_array_find(p->ended, p->nended, sizeof(*e), l[i].id);

		if (e && !l[i].covered && !strcmp(l[i].group, g->name))
			pro_check_ended(p, g, primary, e, &l[i], now);
	}
}

bool pro_is_succeeded(const struct pro *p, const struct backend_info *b)
{
	size_t n;
	const struct backend_info *list = state_backends(p->state, &n);

	for (size_t i = 0; i < n; i++)
		if (!strcmp(list[i].group, b->group) &&
		    !strcmp(list[i].addr, b->addr) &&
		    !list[i].announcements_stopped &&
		    list[i].incarnation > b->incarnation)
			return true;
	return false;
}

static int pro_count_members(const struct pro *p, const struct pro_group *g,
			     int *unknown)
{
	size_t n;
	const struct backend_info *b = state_backends(p->state, &n);
	int members = 0;

	*unknown = 0;
	for (size_t i = 0; i < n; i++) {
		bool known = false;

		if (strcmp(b[i].group, g->name) != 0 ||
		    pro_is_succeeded(p, &b[i]))
			continue;
		members++;
		for (int j = 0; j < g->nmembers; j++)
			known |= !strcmp(g->members[j].id, b[i].id);
		*unknown += !known;
	}
	return members;
}

int pro_count_other_logs(const struct pro *p, const struct pro_group *g)
{
	size_t n;
	const struct ended_log *l = state_ended_logs(p->state, &n);
	int others;

	pro_count_members(p, g, &others);
	for (size_t i = 0; i < n; i++)
		others += !strcmp(l[i].group, g->name);
	return others;
}

bool pro_logs_changed(const struct pro *p, const struct pro_group *g)
{
	int unknown;

	if (pro_count_members(p, g, &unknown) - unknown != g->nmembers)
		return true;
	/* A successor takes the place of the log that it has. */
	if (unknown && g->nmembers < PRO_MAX_MEMBERS)
		return true;
	return pro_count_other_logs(p, g) != g->other_logs;
}

void pro_log_missing(const struct pro *p, const struct pro_group *g)
{
	size_t n;
	const struct ended_log *l = state_ended_logs(p->state, &n);
	struct buf names = BUF_INIT;

	if (!g->sync_replicas)
		return;
	for (int i = 0; i < g->nmembers; i++)
		if (!pro_is_replica(&g->members[i]))
			buf_addf(&names, ",%s", g->members[i].id);
	for (size_t i = 0; i < n; i++)
		if (!strcmp(l[i].group, g->name))
			buf_addf(&names, ",%s(ended)", l[i].id);
	if (buf_len(&names))
		log_info("promote", "event=waits_for group=%s members=%s",
			 g->name, buf_str(&names) + 1);
	buf_free(&names);
}
