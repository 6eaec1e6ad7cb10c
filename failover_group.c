#include "failover_priv.h"

#include "id_array.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const struct group_info *fo_group_info(const struct fo *f,
				       const struct fo_group *g)
{
	return state_group(f->state, g->name);
}

struct fo_member *fo_find_member(struct fo_group *g, const char *id)
{
	return id_array_find(g->members, g->nmembers, sizeof(*g->members), id);
}

struct fo_group *fo_find_group(struct fo *f, const char *name)
{
	return id_array_find(f->groups, f->ngroups, sizeof(*f->groups), name);
}

static struct fo_group *fo_add_group(struct fo *f, const char *name)
{
	struct fo_group *g = id_array_insert((void **)&f->groups, &f->ngroups,
					     sizeof(*g), name);

	g->suspected_at = INT64_MIN / 2;
	g->no_grants_since = CLK_NEVER;
	return g;
}

static struct fo_member *fo_add_member(struct fo_group *g, const char *id)
{
	struct fo_member *m = id_array_insert((void **)&g->members,
					      &g->nmembers, sizeof(*m), id);

	m->last_call_at = INT64_MIN / 2;
	m->checked_at = INT64_MIN / 2;
	return m;
}

void fo_sync_roster(struct fo *f)
{
	const struct backend_info *b;
	size_t n;

	if (f->view_version == state_view_version(f->state))
		return;
	f->view_version = state_view_version(f->state);
	for (size_t i = 0; i < f->ngroups; i++)
		for (size_t j = 0; j < f->groups[i].nmembers; j++)
			f->groups[i].members[j].in_roster = false;
	b = state_backends(f->state, &n);
	for (size_t i = 0; i < n; i++) {
		struct fo_group *g = fo_find_group(f, b[i].group);
		struct fo_member *m;

		if (!g)
			g = fo_add_group(f, b[i].group);
		m = fo_find_member(g, b[i].id);
		if (!m)
			m = fo_add_member(g, b[i].id);
		memcpy(m->addr, b[i].addr, ADDR_LEN);
		m->leaving = b[i].leaving || b[i].announcements_stopped;
		m->in_roster = true;
	}
	for (size_t i = 0; i < f->ngroups; i++) {
		struct fo_group *g = &f->groups[i];

		for (size_t j = 0; j < g->nmembers;) {
			if (g->members[j].in_roster)
				j++;
			else
				id_array_remove(g->members, &g->nmembers,
						sizeof(*g->members),
						&g->members[j]);
		}
	}
}

size_t fo_majority(const struct fo_group *g)
{
	size_t n = g->nmembers > FO_EXPECTED_MEMBERS ? g->nmembers
						     : FO_EXPECTED_MEMBERS;

	return n / 2 + 1;
}

static bool fo_status_newer(const struct fo_status *a,
			    const struct fo_status *b)
{
	if (a->log_term != b->log_term)
		return a->log_term > b->log_term;
	return a->received_pos > b->received_pos;
}

size_t fo_count_answered(const struct fo_group *g, clk_ms since)
{
	size_t n = 0;

	for (size_t i = 0; i < g->nmembers; i++)
		n += g->members[i].responsive &&
		     g->members[i].checked_at >= since;
	return n;
}

bool fo_has_successor(const struct fo_group *g, int64_t log_term, int64_t held)
{
	for (size_t i = 0; i < g->nmembers; i++) {
		const struct fo_member *m = &g->members[i];

		if (m->responsive && !m->leaving && !m->status.primary &&
		    m->status.log_term >= log_term &&
		    m->status.received_pos >= held)
			return true;
	}
	return false;
}

static bool fo_is_second_choice(const struct fo_group *g,
				const struct fo_member *m)
{
	return m->leaving || !strcmp(m->id, g->avoided_member);
}

size_t fo_count_fenced(const struct fo_group *g, bool count_all)
{
	size_t n = 0;

	for (size_t i = 0; i < g->nmembers; i++)
		n += g->members[i].fenced_term == g->term &&
		     (count_all || !fo_is_second_choice(g, &g->members[i]));
	return n;
}

static const struct fo_member *fo_newest(const struct fo_group *g, bool of_all)
{
	const struct fo_member *best = NULL;

	for (size_t i = 0; i < g->nmembers; i++) {
		const struct fo_member *m = &g->members[i];

		if (m->fenced_term != g->term ||
		    (!of_all && fo_is_second_choice(g, m)))
			continue;
		if (!best || fo_status_newer(&m->status, &best->status) ||
		    (!fo_status_newer(&best->status, &m->status) &&
		     strcmp(m->id, best->id) < 0))
			best = m;
	}
	return best;
}

const struct fo_member *fo_choose_candidate(const struct fo_group *g)
{
	const struct fo_member *all = fo_newest(g, true);
	const struct fo_member *first = fo_newest(g, false);

	if (!first)
		return all;
	if (fo_count_fenced(g, false) >= fo_majority(g) ||
	    !fo_status_newer(&all->status, &first->status))
		return first;
	return all;
}

bool fo_term_outdated(const struct fo_group *g)
{
	for (size_t i = 0; i < g->nmembers; i++)
		if (g->members[i].responsive &&
		    g->members[i].status.fence_term > g->term)
			return true;
	return false;
}
