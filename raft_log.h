#ifndef RAFT_LOG_H
#define RAFT_LOG_H

/*
 * The replicated log in memory (prefix rlog_): the last snapshot, the entries
 * after it, and the voters as of the last membership entry. Used only by raft.c
 * and raft_replication.c.
 */

#include "raft.h"

struct raft_log {
	struct raft_entry *entries; /* entries[0] has index snapshot_last + 1 */
	int64_t n;
	int64_t cap;
	int64_t snapshot_last; /* index of its last entry; 0 if there is none */
	int64_t snapshot_term;
	struct buf snapshot; /* members as text, a zero byte, the state */
	struct raft_members snapshot_members;
	/* A membership change takes effect when it is appended, not when it is
	 * committed. */
	struct raft_members members;
	struct raft_members previous_members; /* before the newest change */
	int64_t members_index; /* index of the newest change */
};

int64_t rlog_last_index(const struct raft_log *l);
int64_t rlog_last_term(const struct raft_log *l);

/* Term of an entry; -1 if the entry is not in memory. */
int64_t rlog_term(const struct raft_log *l, int64_t index);

/* An entry; NULL if it is not in memory. */
const struct raft_entry *rlog_at(const struct raft_log *l, int64_t index);
const struct raft_entry *rlog_append(struct raft_log *l, int64_t term,
				     int64_t kind, const struct blob *data);

/* Deletes the entries from an index on. */
void rlog_truncate(struct raft_log *l, int64_t from);

/* Replaces the entries up to index by a snapshot. Entries after it stay only if
 * keep is set. */
enum res rlog_set_snapshot(struct raft_log *l, int64_t index, int64_t term,
			   const struct blob *data, bool keep, struct err *e);

/* The encoded state machine in the snapshot, which follows the members. */
struct blob rlog_snapshot_state(const struct raft_log *l);
void rlog_free(struct raft_log *l);

/* Members are stored as one line "ID UUID" for each. */
void rlog_format_members(const struct raft_members *m, struct buf *out);
enum res rlog_parse_members(struct raft_members *m, const char *text,
			    struct err *e);

#endif
