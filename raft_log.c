#include "raft_log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int64_t rlog_last_index(const struct raft_log *l)
{
	return l->snapshot_last + l->n;
}

int64_t rlog_last_term(const struct raft_log *l)
{
	return rlog_term(l, rlog_last_index(l));
}

int64_t rlog_term(const struct raft_log *l, int64_t index)
{
	const struct raft_entry *e;

	if (index == l->snapshot_last)
		return l->snapshot_term;
	e = rlog_at(l, index);
	return e ? e->term : -1;
}

const struct raft_entry *rlog_at(const struct raft_log *l, int64_t index)
{
	if (index <= l->snapshot_last || index > rlog_last_index(l))
		return NULL;
	return &l->entries[index - l->snapshot_last - 1];
}

void rlog_format_members(const struct raft_members *m, struct buf *out)
{
	for (int i = 0; i < m->n; i++)
		buf_addf(out, "%s %lld\n", m->list[i].id,
			 (long long)m->list[i].uuid);
}

enum res rlog_parse_members(struct raft_members *m, const char *text,
			    struct err *e)
{
	memset(m, 0, sizeof(*m));
	while (*text) {
		struct raft_member *x = &m->list[m->n];
		long long uuid;
		int used = 0;

		if (m->n == RAFT_MAX_MEMBERS ||
		    sscanf(text, "%31s %lld\n%n", x->id, &uuid, &used) != 2)
			return err_set(e, RES_CORRUPT,
				       "malformed list of control members");
		x->uuid = uuid;
		m->n++;
		text += used;
	}
	return RES_OK;
}

/* Searches the log for the two newest lists of members. */
static void rlog_find_members(struct raft_log *l)
{
	l->members = l->snapshot_members;
	l->previous_members = l->snapshot_members;
	l->members_index = l->snapshot_last;
	for (int64_t i = 0; i < l->n; i++) {
		struct raft_members m;

		if (l->entries[i].kind != RAFT_MEMBERS ||
		    rlog_parse_members(&m, l->entries[i].data.data, NULL))
			continue;
		l->previous_members = l->members_index == 0 ? m : l->members;
		l->members = m;
		l->members_index = l->entries[i].index;
	}
}

const struct raft_entry *rlog_append(struct raft_log *l, int64_t term,
				     int64_t kind, const struct blob *data)
{
	struct raft_entry *e;
	char *copy = malloc(data->len + 1);

	if (l->n == l->cap) {
		l->cap = l->cap ? l->cap * 2 : 64;
		l->entries = realloc(l->entries,
				     (size_t)l->cap * sizeof(*l->entries));
	}
	if (!copy || !l->entries)
		abort();
	if (data->len)
		memcpy(copy, data->data, data->len);
	copy[data->len] = '\0';
	e = &l->entries[l->n++];
	*e = (struct raft_entry){.index = rlog_last_index(l),
				 .term = term,
				 .kind = kind,
				 .data = {copy, data->len}};
	if (kind == RAFT_MEMBERS)
		rlog_find_members(l);
	return e;
}

void rlog_truncate(struct raft_log *l, int64_t from)
{
	while (l->n > 0 && rlog_last_index(l) >= from)
		free((char *)l->entries[--l->n].data.data);
	rlog_find_members(l);
}

static void rlog_drop_front(struct raft_log *l, int64_t n)
{
	for (int64_t i = 0; i < n; i++)
		free((char *)l->entries[i].data.data);
	memmove(l->entries, l->entries + n,
		(size_t)(l->n - n) * sizeof(*l->entries));
	l->n -= n;
}

enum res rlog_set_snapshot(struct raft_log *l, int64_t index, int64_t term,
			   const struct blob *data, bool keep, struct err *e)
{
	struct raft_members m;

	if (!data->len || !memchr(data->data, 0, data->len))
		return err_set(e, RES_CORRUPT, "snapshot without members");
	if (rlog_parse_members(&m, data->data, e))
		return RES_CORRUPT;
	if (!keep || index > rlog_last_index(l))
		rlog_truncate(l, 0);
	else if (index > l->snapshot_last)
		rlog_drop_front(l, index - l->snapshot_last);
	l->snapshot_last = index;
	l->snapshot_term = term;
	l->snapshot_members = m;
	buf_free(&l->snapshot);
	buf_add(&l->snapshot, data->data, data->len);
	rlog_find_members(l);
	return RES_OK;
}

struct blob rlog_snapshot_state(const struct raft_log *l)
{
	size_t head;

	if (!buf_len(&l->snapshot))
		return (struct blob){"", 0};
	head = strlen(buf_data(&l->snapshot)) + 1;
	return (struct blob){buf_data(&l->snapshot) + head,
			     buf_len(&l->snapshot) - head};
}

void rlog_free(struct raft_log *l)
{
	rlog_truncate(l, 0);
	free(l->entries);
	buf_free(&l->snapshot);
}
