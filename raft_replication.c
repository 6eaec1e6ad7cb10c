#include "raft_priv.h"

#include <stdlib.h>
#include <string.h>

void raft_start_replication(struct raft *r, clk_ms now)
{
	struct blob none = {"", 0};

	for (int i = 0; i < r->npeers; i++) {
		struct raft_peer_state *p = &r->peers[i];

		p->next_index = rlog_last_index(&r->log) + 1;
		p->match_index = 0;
		p->snapshot_offset = 0;
		p->acked_round_ms = now - 2 * r->cfg.election_min_ms;
		p->answered_ms = 0;
	}
	memset(r->round_sent_ms, 0, sizeof(r->round_sent_ms));
	raft_append_entry(r, RAFT_NOOP, &none);
	r->noop_index = rlog_last_index(&r->log);
	raft_advance_commit(r);
	raft_broadcast(r, now);
}

static void raft_send_snapshot(struct raft *r, struct raft_peer_state *p)
{
	const struct buf *b = &r->log.snapshot;
	struct msg_snapshot *s;
	size_t left;

	if ((size_t)p->snapshot_offset > buf_len(b))
		p->snapshot_offset = 0;
	left = buf_len(b) - (size_t)p->snapshot_offset;
	s = &raft_queue_message(r, p->id, MSG_SNAPSHOT)->u.snapshot;
	s->term = r->term;
	s->uuid = r->cfg.uuid;
	s->heartbeat_round = r->round;
	s->last_index = r->log.snapshot_last;
	s->last_term = r->log.snapshot_term;
	s->offset = p->snapshot_offset;
	s->snapshot_size = (int64_t)buf_len(b);
	s->data.data = buf_data(b) + p->snapshot_offset;
	s->data.len = left < RAFT_SNAPSHOT_CHUNK_BYTES
			      ? left
			      : RAFT_SNAPSHOT_CHUNK_BYTES;
}

static int64_t raft_batch_len(const struct raft *r, int64_t from)
{
	size_t bytes = 0;
	int64_t n = 0;

	while (n < RAFT_BATCH_ENTRIES && from + n <= rlog_last_index(&r->log)) {
		bytes += rlog_at(&r->log, from + n)->data.len;
		if (n > 0 && bytes > RAFT_BATCH_BYTES)
			break;
		n++;
	}
	return n;
}

static void raft_send_entries(struct raft *r, struct raft_peer_state *p)
{
	int64_t n = raft_batch_len(r, p->next_index);
	struct raft_entry *copy = NULL;
	struct msg_append *a;

	if (n > 0) {
		copy = malloc((size_t)n * sizeof(*copy));
		if (!copy)
			abort();
		memcpy(copy, rlog_at(&r->log, p->next_index),
		       (size_t)n * sizeof(*copy));
	}
	a = &raft_queue_message(r, p->id, MSG_APPEND)->u.append;
	a->term = r->term;
	a->uuid = r->cfg.uuid;
	a->heartbeat_round = r->round;
	a->prev_index = p->next_index - 1;
	a->prev_term = rlog_term(&r->log, p->next_index - 1);
	a->commit = r->commit_index;
	a->entries = copy;
	a->nentries = n;
	p->next_index += n;
}

static void raft_send_next(struct raft *r, struct raft_peer_state *p,
			   clk_ms now)
{
	p->last_sent_ms = now;
	if (p->next_index <= r->log.snapshot_last)
		raft_send_snapshot(r, p);
	else
		raft_send_entries(r, p);
}

void raft_broadcast(struct raft *r, clk_ms now)
{
	r->round++;
	r->round_sent_ms[r->round % RAFT_TRACKED_ROUNDS] = now;
	r->next_heartbeat_ms = now + r->cfg.heartbeat_ms;
	for (int i = 0; i < r->npeers; i++)
		raft_send_next(r, &r->peers[i], now);
}

/* Sends new entries to the peers that were already sent all earlier ones. Peers
 * that need a snapshot get it with the heartbeats. */
void raft_replicate(struct raft *r, clk_ms now)
{
	for (int i = 0; i < r->npeers; i++) {
		struct raft_peer_state *p = &r->peers[i];

		if (p->next_index > r->log.snapshot_last &&
		    p->next_index <= rlog_last_index(&r->log))
			raft_send_next(r, p, now);
	}
}

/* Only an entry of the current term is committed by counting the instances that
 * store it; it commits all entries before it. */
void raft_advance_commit(struct raft *r)
{
	int64_t index = rlog_last_index(&r->log);

	while (index > r->commit_index &&
	       rlog_term(&r->log, index) == r->term) {
		if (raft_has_quorum(r, RAFT_QUORUM_MATCH, index)) {
			raft_set_commit(r, index);
			return;
		}
		index--;
	}
}

static void raft_record_ack(struct raft *r, struct raft_peer_state *p,
			    int64_t round)
{
	clk_ms sent;

	if (round <= 0 || round > r->round ||
	    round + RAFT_TRACKED_ROUNDS <= r->round)
		return;
	sent = r->round_sent_ms[round % RAFT_TRACKED_ROUNDS];
	if (sent > p->acked_round_ms)
		p->acked_round_ms = sent;
}

static bool raft_is_current_reply(struct raft *r, int64_t term, clk_ms now)
{
	if (term > r->term)
		raft_become_follower(r, term, "", now);
	return r->role == RAFT_LEADER && term == r->term;
}

/* Notes an answer. A voter's clock may run a tenth faster than this one. */
static void raft_note_answer(struct raft *r, struct raft_peer_state *p,
			     clk_ms now)
{
	clk_ms silent = r->cfg.election_min_ms - r->cfg.election_min_ms / 10;

	if (now - p->answered_ms >= silent)
		r->voter_back_ms = now;
	p->answered_ms = now;
}

void raft_on_appended(struct raft *r, struct raft_peer_state *p,
		      const struct msg_appended *m, clk_ms now)
{
	int64_t match = m->match_index_or_hint;

	if (!raft_is_current_reply(r, m->term, now))
		return;
	raft_note_answer(r, p, now);
	raft_record_ack(r, p, m->heartbeat_round);
	if (match < 0 || match > rlog_last_index(&r->log))
		return;
	if (!m->entries_matched) {
		if (match >= p->match_index && match + 1 < p->next_index) {
			p->next_index = match + 1;
			raft_send_next(r, p, now);
		}
		return;
	}
	if (match > p->match_index)
		p->match_index = match;
	if (p->next_index <= p->match_index)
		p->next_index = p->match_index + 1;
	raft_advance_commit(r);
	if (p->next_index > r->log.snapshot_last &&
	    p->next_index <= rlog_last_index(&r->log))
		raft_send_next(r, p, now);
}

void raft_on_installed(struct raft *r, struct raft_peer_state *p,
		       const struct msg_installed *m, clk_ms now)
{
	if (!raft_is_current_reply(r, m->term, now))
		return;
	raft_note_answer(r, p, now);
	raft_record_ack(r, p, m->heartbeat_round);
	if (m->snapshot_installed) {
		if (m->last_index > p->match_index &&
		    m->last_index <= rlog_last_index(&r->log))
			p->match_index = m->last_index;
		if (p->next_index <= p->match_index)
			p->next_index = p->match_index + 1;
		p->snapshot_offset = 0;
		raft_advance_commit(r);
		raft_send_next(r, p, now);
		return;
	}
	if (m->last_index != r->log.snapshot_last ||
	    m->received_bytes == p->snapshot_offset)
		return;
	p->snapshot_offset = m->received_bytes;
	raft_send_next(r, p, now);
}

static void raft_append_members(struct raft *r, const struct raft_members *m)
{
	struct buf b = BUF_INIT;
	struct blob data;

	rlog_format_members(m, &b);
	data = (struct blob){buf_data(&b), buf_len(&b)};
	raft_append_entry(r, RAFT_MEMBERS, &data);
	buf_free(&b);
}

/* Takes one step to make a learner that has caught up a voter: removes the
 * voter with the same id, or adds the learner if there is no such voter. */
static void raft_promote_learner(struct raft *r,
				 const struct raft_peer_state *p)
{
	struct raft_members m = r->log.members;
	int at = 0;

	while (at < m.n && strcmp(m.list[at].id, p->id))
		at++;
	if (at == RAFT_MAX_MEMBERS)
		return;
	if (at < m.n) {
		m.list[at] = m.list[--m.n];
	} else {
		memcpy(m.list[at].id, p->id, ID_LEN);
		m.list[at].uuid = p->uuid;
		m.n++;
	}
	raft_append_members(r, &m);
}

static bool raft_is_learner(const struct raft *r,
			    const struct raft_peer_state *p)
{
	const struct raft_members *m = &r->log.members;

	for (int i = 0; i < m->n; i++)
		if (!strcmp(m->list[i].id, p->id))
			return m->list[i].uuid != p->uuid;
	return true;
}

static bool raft_is_ready_learner(const struct raft *r,
				  const struct raft_peer_state *p, clk_ms now)
{
	return raft_is_learner(r, p) && p->match_index >= r->commit_index &&
	       now - p->acked_round_ms < r->cfg.election_min_ms;
}

/* How long a voter has not answered this leader; CLK_NEVER if nothing is known
 * of it. */
static clk_ms raft_silent_for(const struct raft *r, const struct raft_member *m,
			      clk_ms now)
{
	if (m->uuid == r->cfg.uuid && !strcmp(m->id, r->cfg.id))
		return 0;
	for (int i = 0; i < r->npeers; i++)
		if (r->peers[i].uuid == m->uuid &&
		    !strcmp(r->peers[i].id, m->id))
			return now - r->peers[i].acked_round_ms;
	return CLK_NEVER;
}

/* True if an answer to the leader is missing for longer than a voter waits
 * before it elects another one. */
static bool raft_some_voter_silent(const struct raft *r, clk_ms now)
{
	const struct raft_members *m = &r->log.members;

	for (int i = 0; i < m->n; i++)
		if (raft_silent_for(r, &m->list[i], now) >=
		    r->cfg.election_min_ms)
			return true;
	return false;
}

/*
 * True if a learner must wait. Added to an odd number of voters, it would raise
 * the majority by one: if one voter is gone, a second loss would then leave no
 * majority. The silent voter must answer or be removed first.
 */
static bool raft_must_wait(const struct raft *r,
			   const struct raft_peer_state *p, clk_ms now)
{
	return r->cfg.replace_ms && !raft_is_member(r, p->id) &&
	       r->log.members.n % 2 && raft_some_voter_silent(r, now);
}

static bool raft_has_ready_learner(const struct raft *r, clk_ms now)
{
	for (int i = 0; i < r->npeers; i++)
		if (raft_is_ready_learner(r, &r->peers[i], now))
			return true;
	return false;
}

/*
 * Removes a voter that has not answered for replace_ms, since its instance is
 * probably gone for good. If it comes back, it is a learner and is added again.
 */
static bool raft_remove_unresponsive(struct raft *r, clk_ms now)
{
	struct raft_members m = r->log.members;

	if (!r->cfg.replace_ms ||
	    now - r->leader_since_ms < r->cfg.replace_ms ||
	    (m.n <= RAFT_MIN_VOTERS && !raft_has_ready_learner(r, now)))
		return false;
	for (int i = 0; i < m.n; i++) {
		if (raft_silent_for(r, &m.list[i], now) < r->cfg.replace_ms)
			continue;
		m.list[i] = m.list[--m.n];
		raft_append_members(r, &m);
		raft_replicate(r, now);
		return true;
	}
	return false;
}

void raft_update_voters(struct raft *r, clk_ms now)
{
	if (r->log.members_index > r->commit_index ||
	    r->commit_index < r->noop_index || r->transferring ||
	    raft_remove_unresponsive(r, now))
		return;
	for (int i = 0; i < r->npeers; i++) {
		struct raft_peer_state *p = &r->peers[i];

		if (!raft_is_ready_learner(r, p, now) ||
		    raft_must_wait(r, p, now))
			continue;
		raft_promote_learner(r, p);
		raft_replicate(r, now);
		return;
	}
}

void raft_transfer_leadership(struct raft *r, clk_ms now)
{
	struct raft_peer_state *best = NULL;

	if (r->role != RAFT_LEADER || r->transferring)
		return;
	for (int i = 0; i < r->npeers; i++) {
		struct raft_peer_state *p = &r->peers[i];

		if (raft_is_learner(r, p) ||
		    p->match_index != rlog_last_index(&r->log) ||
		    now - p->acked_round_ms >= r->cfg.election_min_ms)
			continue;
		if (!best || p->acked_round_ms > best->acked_round_ms)
			best = p;
	}
	r->transferring = true;
	r->next_heartbeat_ms = now + r->cfg.election_min_ms;
	if (!best)
		return;
	raft_send_next(r, best, now);
	r->actions[r->nactions - 1].msg.u.append.start_election_now = true;
}

/* The index that the leader should compare next after a mismatch at prev: the
 * last one before the term of the entry that differs, or the end of the log if
 * that comes first. */
static int64_t raft_conflict_hint(const struct raft *r, int64_t prev)
{
	int64_t last = rlog_last_index(&r->log);
	int64_t term;

	if (prev > last)
		return last;
	term = rlog_term(&r->log, prev);
	while (prev > r->commit_index && rlog_term(&r->log, prev) == term)
		prev--;
	return prev;
}

static void raft_store_entry(struct raft *r, const struct raft_entry *e)
{
	if (e->index <= r->commit_index ||
	    rlog_term(&r->log, e->index) == e->term)
		return;
	rlog_truncate(&r->log, e->index);
	rlog_append(&r->log, e->term, e->kind, &e->data);
	raft_queue_action(r, RAFT_ACTION_STORE_ENTRY)->index = e->index;
}

static void raft_store_batch(struct raft *r, const struct msg_append *m,
			     struct msg_appended *out)
{
	int64_t index = m->prev_index;

	for (int64_t i = 0; i < m->nentries; i++) {
		if (m->entries[i].index != ++index)
			return;
		raft_store_entry(r, &m->entries[i]);
	}
	out->entries_matched = true;
	out->match_index_or_hint = index;
}

void raft_on_append(struct raft *r, const char *from,
		    const struct msg_append *m, clk_ms now)
{
	struct msg_appended out = {.term = r->term,
				   .uuid = r->cfg.uuid,
				   .heartbeat_round = m->heartbeat_round};
	bool known = m->prev_index < r->log.snapshot_last ||
		     rlog_term(&r->log, m->prev_index) == m->prev_term;

	if (m->term < r->term ||
	    (r->role == RAFT_LEADER && m->term == r->term)) {
		raft_queue_message(r, from, MSG_APPENDED)->u.appended = out;
		return;
	}
	raft_become_follower(r, m->term, from, now);
	r->leader_heard_ms = now;
	out.term = r->term;
	out.match_index_or_hint = raft_conflict_hint(r, m->prev_index);
	if (known)
		raft_store_batch(r, m, &out);
	if (out.entries_matched)
		raft_set_commit(r, m->commit < out.match_index_or_hint
					   ? m->commit
					   : out.match_index_or_hint);
	raft_queue_message(r, from, MSG_APPENDED)->u.appended = out;
	if (m->start_election_now && out.entries_matched)
		raft_start_election(r, true, now);
}

static bool raft_receive_chunk(struct raft *r, const struct msg_snapshot *m)
{
	if (r->incoming_index != m->last_index ||
	    r->incoming_term != m->last_term) {
		buf_free(&r->incoming_snapshot);
		r->incoming_index = m->last_index;
		r->incoming_term = m->last_term;
	}
	if (m->offset == (int64_t)buf_len(&r->incoming_snapshot))
		buf_add(&r->incoming_snapshot, m->data.data, m->data.len);
	return (int64_t)buf_len(&r->incoming_snapshot) >= m->snapshot_size;
}

static bool raft_install_snapshot(struct raft *r, const struct msg_snapshot *m)
{
	struct blob data = {buf_data(&r->incoming_snapshot),
			    buf_len(&r->incoming_snapshot)};
	bool keep = rlog_term(&r->log, m->last_index) == m->last_term;
	enum res res = rlog_set_snapshot(&r->log, m->last_index, m->last_term,
					 &data, keep, NULL);
	struct raft_action *a;

	buf_free(&r->incoming_snapshot);
	r->incoming_index = 0;
	if (res)
		return false;
	r->commit_index = m->last_index;
	r->applied_index = m->last_index;
	a = raft_queue_action(r, RAFT_ACTION_SAVE_SNAPSHOT);
	a->index = m->last_index;
	a->term = m->last_term;
	a->discard_later_entries = !keep;
	a->data = (struct blob){buf_data(&r->log.snapshot),
				buf_len(&r->log.snapshot)};
	a = raft_queue_action(r, RAFT_ACTION_RESTORE_STATE);
	a->index = m->last_index;
	a->data = rlog_snapshot_state(&r->log);
	return true;
}

void raft_on_snapshot(struct raft *r, const char *from,
		      const struct msg_snapshot *m, clk_ms now)
{
	struct msg_installed out = {.term = r->term,
				    .uuid = r->cfg.uuid,
				    .heartbeat_round = m->heartbeat_round,
				    .last_index = m->last_index};

	if (m->term > r->term ||
	    (m->term == r->term && r->role != RAFT_LEADER)) {
		raft_become_follower(r, m->term, from, now);
		r->leader_heard_ms = now;
		out.term = r->term;
		if (m->last_index <= r->commit_index)
			out.snapshot_installed = true;
		else if (raft_receive_chunk(r, m))
			out.snapshot_installed = raft_install_snapshot(r, m);
		out.received_bytes = (int64_t)buf_len(&r->incoming_snapshot);
	}
	raft_queue_message(r, from, MSG_INSTALLED)->u.installed = out;
}
