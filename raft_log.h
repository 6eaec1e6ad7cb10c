#ifndef RAFT_LOG_H
#define RAFT_LOG_H

/*
 * In-memory part of the replicated log: the entries after the last snapshot,
 * and the members as of the last membership entry. Used by raft.c alone.
 */

#include "raft.h"

struct raft_log {
	struct raft_entry *entries; /* entries[0] has index base + 1 */
	int64_t n;
	int64_t cap;
	int64_t base; /* last index of the snapshot */
	int64_t base_term;
	struct buf snapshot; /* members, zero byte, state */
	struct raft_members base_members;
	struct raft_members members; /* newest, used at once */
	struct raft_members before; /* those before the newest change */
	int64_t members_index; /* entry of the newest change */
};

int64_t rlog_last(const struct raft_log *l);
int64_t rlog_last_term(const struct raft_log *l);

/* Term of an entry; -1 if it is not held. */
int64_t rlog_term(const struct raft_log *l, int64_t index);
const struct raft_entry *rlog_at(const struct raft_log *l, int64_t index);
const struct raft_entry *rlog_add(struct raft_log *l, int64_t term,
				  int64_t kind, const struct blob *data);
void rlog_truncate(struct raft_log *l, int64_t from);

/* Replaces everything up to index by a snapshot; keeps later entries only if
 * keep is set. */
enum res rlog_snapshot(struct raft_log *l, int64_t index, int64_t term,
		       const struct blob *data, bool keep, struct err *e);

/* The state in the snapshot, behind its members. */
struct blob rlog_state(const struct raft_log *l);
void rlog_free(struct raft_log *l);

void rlog_pack_members(const struct raft_members *m, struct buf *out);
enum res rlog_parse_members(struct raft_members *m, const char *text,
			    struct err *e);

#endif
