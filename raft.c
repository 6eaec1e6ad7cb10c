#include "raft_priv.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct raft *raft_new(const struct raft_config *cfg, clk_ms now)
{
	struct raft *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->cfg = *cfg;
	/* A leader that was paused must step down before it counts the voters
	 * as silent. */
	if (r->cfg.replace_ms && r->cfg.replace_ms < 2 * cfg->election_min_ms)
		r->cfg.replace_ms = 2 * cfg->election_min_ms;
	/* A restarted voter may have heard from a leader just before the
	 * restart, so it refuses votes as if it had. */
	r->leader_heard_ms = cfg->refuse_votes_after_start
				     ? now
				     : now - cfg->election_min_ms;
	r->started_ms = now;
	r->election_deadline = now + cfg->election_min_ms;
	if (!cfg->refuse_votes_after_start)
		r->election_deadline =
			now + (clk_ms)rng_uniform_int(
				      cfg->rng, (uint64_t)cfg->election_min_ms);
	r->leader_since_ms = CLK_NEVER;
	return r;
}

static void raft_clear_actions(struct raft *r)
{
	for (size_t i = 0; i < r->nactions; i++)
		if (r->actions[i].type == RAFT_ACTION_SEND &&
		    r->actions[i].msg.type == MSG_APPEND)
			free(r->actions[i].msg.u.append.entries);
	r->nactions = 0;
	r->actions_taken = 0;
}

void raft_free(struct raft *r)
{
	if (!r)
		return;
	raft_clear_actions(r);
	rlog_free(&r->log);
	buf_free(&r->incoming_snapshot);
	free(r->actions);
	free(r);
}

struct raft_action *raft_queue_action(struct raft *r,
				      enum raft_action_type type)
{
	struct raft_action *a;

	if (r->nactions == r->actions_cap) {
		r->actions_cap = r->actions_cap ? r->actions_cap * 2 : 16;
		r->actions = realloc(r->actions,
				     r->actions_cap * sizeof(*r->actions));
		if (!r->actions)
			abort();
	}
	a = &r->actions[r->nactions++];
	memset(a, 0, sizeof(*a));
	a->type = type;
	return a;
}

struct msg *raft_queue_message(struct raft *r, const char *to,
			       enum msg_type type)
{
	struct raft_action *a = raft_queue_action(r, RAFT_ACTION_SEND);

	snprintf(a->to, sizeof(a->to), "%s", to);
	a->msg.type = type;
	return &a->msg;
}

bool raft_next_action(struct raft *r, struct raft_action *a)
{
	if (r->actions_taken == r->nactions) {
		raft_clear_actions(r);
		return false;
	}
	*a = r->actions[r->actions_taken++];
	/* Adding to the log can move its array, so the pointer to the entry is
	 * looked up only now. */
	if (a->type == RAFT_ACTION_STORE_ENTRY || a->type == RAFT_ACTION_APPLY)
		a->entry = rlog_at(&r->log, a->index);
	return true;
}

bool raft_has_actions(const struct raft *r)
{
	return r->actions_taken < r->nactions;
}

static void raft_save_hard_state(struct raft *r)
{
	struct raft_action *a =
		raft_queue_action(r, RAFT_ACTION_SAVE_HARD_STATE);

	a->term = r->term;
	snprintf(a->to, sizeof(a->to), "%s", r->voted_for);
}

void raft_load_hard_state(struct raft *r, int64_t term, const char *vote)
{
	r->term = term;
	snprintf(r->voted_for, sizeof(r->voted_for), "%s", vote);
}

enum res raft_load_snapshot(struct raft *r, int64_t index, int64_t term,
			    const struct blob *data, struct err *e)
{
	enum res res = rlog_set_snapshot(&r->log, index, term, data, false, e);
	struct raft_action *a;

	if (res)
		return res;
	r->commit_index = index;
	r->applied_index = index;
	a = raft_queue_action(r, RAFT_ACTION_RESTORE_STATE);
	a->index = index;
	a->data = rlog_snapshot_state(&r->log);
	return RES_OK;
}

void raft_load_entry(struct raft *r, const struct raft_entry *entry)
{
	rlog_truncate(&r->log, entry->index);
	if (entry->index == rlog_last_index(&r->log) + 1)
		rlog_append(&r->log, entry->term, entry->kind, &entry->data);
}

bool raft_is_empty(const struct raft *r)
{
	return r->term == 0 && rlog_last_index(&r->log) == 0;
}

struct raft_peer_state *raft_find_peer(struct raft *r, const char *id)
{
	for (int i = 0; i < r->npeers; i++)
		if (!strcmp(r->peers[i].id, id))
			return &r->peers[i];
	return NULL;
}

static bool raft_is_self(const struct raft *r, const struct raft_member *m)
{
	return m->uuid == r->cfg.uuid && !strcmp(m->id, r->cfg.id);
}

static bool raft_is_voter(const struct raft *r)
{
	for (int i = 0; i < r->log.members.n; i++)
		if (raft_is_self(r, &r->log.members.list[i]))
			return true;
	return false;
}

static bool raft_member_counts(const struct raft *r,
			       const struct raft_member *m,
			       enum raft_quorum_kind what, int64_t arg)
{
	if (raft_is_self(r, m))
		return true;
	for (int i = 0; i < r->npeers; i++) {
		const struct raft_peer_state *p = &r->peers[i];

		if (p->uuid != m->uuid || strcmp(p->id, m->id))
			continue;
		switch (what) {
		case RAFT_QUORUM_VOTES:
			return p->vote_granted;
		case RAFT_QUORUM_MATCH:
			return p->match_index >= arg;
		case RAFT_QUORUM_ROUND:
			return p->acked_round_ms > arg;
		}
	}
	return false;
}

bool raft_has_quorum(const struct raft *r, enum raft_quorum_kind what,
		     int64_t arg)
{
	const struct raft_members *m = &r->log.members;
	int n = 0;

	for (int i = 0; i < m->n; i++)
		n += raft_member_counts(r, &m->list[i], what, arg);
	return n * 2 > m->n;
}

bool raft_has_leader_lease(const struct raft *r, clk_ms now)
{
	/* Voters refuse votes for election_min_ms by their own clocks, which
	 * may run up to a tenth faster than the leader's. */
	clk_ms held = r->cfg.election_min_ms - r->cfg.election_min_ms / 10;

	return r->role == RAFT_LEADER && !r->transferring &&
	       r->commit_index >= r->noop_index &&
	       raft_has_quorum(r, RAFT_QUORUM_ROUND, now - held);
}

bool raft_is_leaderless(const struct raft *r, clk_ms now)
{
	return raft_is_voter(r) && r->role != RAFT_LEADER &&
	       now - r->leader_heard_ms >= r->cfg.election_min_ms &&
	       now - r->started_ms >= r->cfg.election_min_ms;
}

clk_ms raft_voter_back_at(const struct raft *r)
{
	return r->voter_back_ms;
}

void raft_start_leader_check(struct raft *r, clk_ms now)
{
	if (r->role == RAFT_LEADER && !r->transferring)
		raft_broadcast(r, now);
}

bool raft_leader_check_passed(const struct raft *r, clk_ms since)
{
	return r->role == RAFT_LEADER && r->commit_index >= r->noop_index &&
	       raft_has_quorum(r, RAFT_QUORUM_ROUND, since - 1);
}

static void raft_reset_deadline(struct raft *r, clk_ms now)
{
	clk_ms min = r->cfg.election_min_ms;

	r->election_deadline =
		now + min + (clk_ms)rng_uniform_int(r->cfg.rng, (uint64_t)min);
}

/*
 * A pre-vote that fails changes no term and no vote, so it is repeated sooner
 * than an election. After all instances restarted together, the first pre-votes
 * reach too few peers.
 */
static void raft_reset_prevote_deadline(struct raft *r, clk_ms now)
{
	clk_ms min = r->cfg.election_min_ms / RAFT_PREVOTE_DIVISOR;

	r->election_deadline =
		now + min + (clk_ms)rng_uniform_int(r->cfg.rng, (uint64_t)min);
}

void raft_become_follower(struct raft *r, int64_t term, const char *leader,
			  clk_ms now)
{
	bool changed = r->role != RAFT_FOLLOWER || strcmp(r->leader, leader);

	if (term > r->term) {
		r->term = term;
		r->voted_for[0] = '\0';
		raft_save_hard_state(r);
	}
	r->role = RAFT_FOLLOWER;
	r->leader_since_ms = CLK_NEVER;
	r->transferring = false;
	snprintf(r->leader, sizeof(r->leader), "%s", leader);
	raft_reset_deadline(r, now);
	if (changed)
		raft_queue_action(r, RAFT_ACTION_ROLE_CHANGED);
}

void raft_append_entry(struct raft *r, int64_t kind, const struct blob *data)
{
	rlog_append(&r->log, r->term, kind, data);
	raft_queue_action(r, RAFT_ACTION_STORE_ENTRY)->index =
		rlog_last_index(&r->log);
}

void raft_set_commit(struct raft *r, int64_t commit)
{
	if (commit <= r->commit_index)
		return;
	r->commit_index = commit;
	while (r->applied_index < commit)
		raft_queue_action(r, RAFT_ACTION_APPLY)->index =
			++r->applied_index;
}

static void raft_become_leader(struct raft *r, clk_ms now)
{
	r->role = RAFT_LEADER;
	r->leader_since_ms = now;
	snprintf(r->leader, sizeof(r->leader), "%s", r->cfg.id);
	raft_queue_action(r, RAFT_ACTION_ROLE_CHANGED);
	raft_start_replication(r, now);
}

static void raft_request_votes(struct raft *r, bool pre, bool forced)
{
	for (int i = 0; i < r->npeers; i++) {
		struct msg_vote *v;

		r->peers[i].vote_granted = false;
		v = &raft_queue_message(r, r->peers[i].id, MSG_VOTE)->u.vote;
		v->term = pre ? r->term + 1 : r->term;
		v->uuid = r->cfg.uuid;
		v->pre_vote = pre;
		v->leadership_transfer = forced;
		v->last_index = rlog_last_index(&r->log);
		v->last_term = rlog_last_term(&r->log);
	}
}

static void raft_become_candidate(struct raft *r, bool forced, clk_ms now)
{
	r->role = RAFT_CANDIDATE;
	r->leader[0] = '\0';
	r->term++;
	snprintf(r->voted_for, sizeof(r->voted_for), "%s", r->cfg.id);
	raft_save_hard_state(r);
	raft_reset_deadline(r, now);
	raft_queue_action(r, RAFT_ACTION_ROLE_CHANGED);
	raft_request_votes(r, false, forced);
	if (raft_has_quorum(r, RAFT_QUORUM_VOTES, 0))
		raft_become_leader(r, now);
}

void raft_start_election(struct raft *r, bool forced, clk_ms now)
{
	if (!raft_is_voter(r))
		return;
	if (forced) {
		raft_become_candidate(r, true, now);
		return;
	}
	r->role = RAFT_PREVOTE;
	r->leader[0] = '\0';
	raft_reset_prevote_deadline(r, now);
	raft_request_votes(r, true, false);
	if (raft_has_quorum(r, RAFT_QUORUM_VOTES, 0))
		raft_become_candidate(r, false, now);
}

/*
 * True if a leader (this instance or another one) may still rely on this voter
 * not voting for another candidate.
 */
static bool raft_must_refuse_vote(const struct raft *r, clk_ms now)
{
	if (r->role == RAFT_LEADER)
		return raft_has_leader_lease(r, now) ||
		       now < r->leader_since_ms + r->cfg.election_min_ms;
	return now < r->leader_heard_ms + r->cfg.election_min_ms;
}

static bool raft_candidate_log_current(const struct raft *r,
				       const struct msg_vote *m)
{
	int64_t term = rlog_last_term(&r->log);

	return m->last_term > term ||
	       (m->last_term == term &&
		m->last_index >= rlog_last_index(&r->log));
}

static bool raft_may_vote(struct raft *r, const char *from,
			  const struct msg_vote *m)
{
	if (m->pre_vote)
		return m->term > r->term && raft_candidate_log_current(r, m);
	return m->term == r->term &&
	       (!r->voted_for[0] || !strcmp(r->voted_for, from)) &&
	       raft_candidate_log_current(r, m);
}

static void raft_on_vote_request(struct raft *r, const char *from,
				 const struct msg_vote *m, clk_ms now)
{
	bool heard = raft_must_refuse_vote(r, now) && !m->leadership_transfer;
	struct msg_voted *v;
	bool granted;

	if (!m->pre_vote && m->term > r->term && !heard)
		raft_become_follower(r, m->term, "", now);
	granted = !heard && raft_may_vote(r, from, m);
	if (granted && !m->pre_vote && !r->voted_for[0]) {
		snprintf(r->voted_for, sizeof(r->voted_for), "%s", from);
		raft_save_hard_state(r);
		raft_reset_deadline(r, now);
	}
	v = &raft_queue_message(r, from, MSG_VOTED)->u.voted;
	v->term = granted ? m->term : r->term;
	v->uuid = r->cfg.uuid;
	v->pre_vote = m->pre_vote;
	v->granted = granted;
}

static void raft_on_vote_reply(struct raft *r, struct raft_peer_state *p,
			       const struct msg_voted *m, clk_ms now)
{
	int64_t term = m->pre_vote ? r->term + 1 : r->term;

	if (!m->granted) {
		if (m->term > r->term)
			raft_become_follower(r, m->term, "", now);
		return;
	}
	if (m->term != term ||
	    r->role != (m->pre_vote ? RAFT_PREVOTE : RAFT_CANDIDATE))
		return;
	p->vote_granted = true;
	if (!raft_has_quorum(r, RAFT_QUORUM_VOTES, 0))
		return;
	if (m->pre_vote)
		raft_become_candidate(r, false, now);
	else
		raft_become_leader(r, now);
}

static int64_t raft_sender_uuid(const struct msg *m)
{
	switch (m->type) {
	case MSG_VOTE:
		return m->u.vote.uuid;
	case MSG_VOTED:
		return m->u.voted.uuid;
	case MSG_APPEND:
		return m->u.append.uuid;
	case MSG_APPENDED:
		return m->u.appended.uuid;
	case MSG_SNAPSHOT:
		return m->u.snapshot.uuid;
	case MSG_INSTALLED:
		return m->u.installed.uuid;
	default:
		return 0;
	}
}

bool raft_is_member(const struct raft *r, const char *id)
{
	for (int i = 0; i < r->log.members.n; i++)
		if (!strcmp(r->log.members.list[i].id, id))
			return true;
	return false;
}

/*
 * Returns a free slot for a peer. If all are in use, reuses the one of the
 * non-member that has not answered for longest; NULL if all are members.
 */
static struct raft_peer_state *raft_alloc_peer(struct raft *r)
{
	struct raft_peer_state *old = NULL;

	if (r->npeers < RAFT_MAX_MEMBERS)
		return &r->peers[r->npeers++];
	for (int i = 0; i < r->npeers; i++) {
		struct raft_peer_state *p = &r->peers[i];

		if (!raft_is_member(r, p->id) &&
		    (!old || p->acked_round_ms < old->acked_round_ms))
			old = p;
	}
	return old;
}

/*
 * After all instances restarted together nobody leads, and a pre-vote can
 * succeed as soon as a majority of the voters is known, so it is brought
 * forward then. The peers answer on links that they open themselves, so they
 * get RAFT_CONNECT_MS to do that.
 */
static void raft_shorten_deadline(struct raft *r, clk_ms now)
{
	int known = 0;

	if (r->cfg.refuse_votes_after_start || r->leader[0] ||
	    r->role == RAFT_LEADER || r->role == RAFT_CANDIDATE)
		return;
	for (int i = 0; i < r->log.members.n; i++)
		known += raft_is_self(r, &r->log.members.list[i]) ||
			 raft_find_peer(r, r->log.members.list[i].id);
	if (known * 2 > r->log.members.n &&
	    r->election_deadline > now + RAFT_CONNECT_MS)
		r->election_deadline =
			now + RAFT_CONNECT_MS +
			(clk_ms)rng_uniform_int(r->cfg.rng, RAFT_CONNECT_MS);
}

void raft_register_peer(struct raft *r, const char *id, int64_t uuid,
			clk_ms now)
{
	struct raft_peer_state *p = raft_find_peer(r, id);

	if (!strcmp(id, r->cfg.id) || (p && p->uuid == uuid))
		return;
	if (!p) {
		p = raft_alloc_peer(r);
		if (!p)
			return;
	}
	memset(p, 0, sizeof(*p));
	snprintf(p->id, sizeof(p->id), "%s", id);
	p->uuid = uuid;
	p->next_index = rlog_last_index(&r->log) + 1;
	p->acked_round_ms = now - 2 * r->cfg.election_min_ms;
	raft_shorten_deadline(r, now);
}

void raft_receive(struct raft *r, const char *from, const struct msg *m,
		  clk_ms now)
{
	struct raft_peer_state *p = raft_find_peer(r, from);

	if (!p || p->uuid != raft_sender_uuid(m))
		return;
	switch (m->type) {
	case MSG_VOTE:
		raft_on_vote_request(r, from, &m->u.vote, now);
		break;
	case MSG_VOTED:
		raft_on_vote_reply(r, p, &m->u.voted, now);
		break;
	case MSG_APPEND:
		raft_on_append(r, from, &m->u.append, now);
		break;
	case MSG_APPENDED:
		raft_on_appended(r, p, &m->u.appended, now);
		break;
	case MSG_SNAPSHOT:
		raft_on_snapshot(r, from, &m->u.snapshot, now);
		break;
	case MSG_INSTALLED:
		raft_on_installed(r, p, &m->u.installed, now);
		break;
	default:
		break;
	}
}

static void raft_tick_leader(struct raft *r, clk_ms now)
{
	clk_ms limit = 2 * r->cfg.election_min_ms;

	if (r->transferring) {
		if (now >= r->next_heartbeat_ms)
			raft_become_follower(r, r->term, "", now);
		return;
	}
	if (now - r->leader_since_ms > limit &&
	    !raft_has_quorum(r, RAFT_QUORUM_ROUND, now - limit)) {
		raft_become_follower(r, r->term, "", now);
		return;
	}
	raft_update_voters(r, now);
	if (now >= r->next_heartbeat_ms)
		raft_broadcast(r, now);
}

void raft_tick(struct raft *r, clk_ms now)
{
	if (r->role == RAFT_LEADER)
		raft_tick_leader(r, now);
	else if (now >= r->election_deadline)
		raft_start_election(r, false, now);
}

int64_t raft_propose(struct raft *r, const char *data, size_t len)
{
	struct blob b = {data, len};

	if (r->role != RAFT_LEADER || r->transferring)
		return 0;
	raft_append_entry(r, RAFT_COMMAND, &b);
	raft_advance_commit(r);
	return rlog_last_index(&r->log);
}

void raft_send_proposals(struct raft *r, clk_ms now)
{
	if (r->role == RAFT_LEADER)
		raft_replicate(r, now);
}

void raft_bootstrap(struct raft *r, const struct raft_members *m, clk_ms now)
{
	struct buf b = BUF_INIT;
	struct blob data;

	r->term = 1;
	raft_save_hard_state(r);
	rlog_format_members(m, &b);
	data = (struct blob){buf_data(&b), buf_len(&b)};
	raft_append_entry(r, RAFT_MEMBERS, &data);
	buf_free(&b);
	raft_start_election(r, false, now);
}

/* The members as of the last applied entry. A snapshot must not contain a
 * membership change that comes later in the log. */
static const struct raft_members *raft_applied_members(const struct raft *r)
{
	return r->log.members_index <= r->applied_index
		       ? &r->log.members
		       : &r->log.previous_members;
}

void raft_compact(struct raft *r, const char *state, size_t len)
{
	struct buf b = BUF_INIT;
	struct raft_action *a;
	struct blob data;

	if (r->applied_index <= r->log.snapshot_last)
		return;
	rlog_format_members(raft_applied_members(r), &b);
	buf_add(&b, "", 1);
	buf_add(&b, state, len);
	data = (struct blob){buf_data(&b), buf_len(&b)};
	rlog_set_snapshot(&r->log, r->applied_index,
			  rlog_term(&r->log, r->applied_index), &data, true,
			  NULL);
	buf_free(&b);
	a = raft_queue_action(r, RAFT_ACTION_SAVE_SNAPSHOT);
	a->index = r->log.snapshot_last;
	a->term = r->log.snapshot_term;
	a->data = (struct blob){buf_data(&r->log.snapshot),
				buf_len(&r->log.snapshot)};
	for (int i = 0; i < r->npeers; i++)
		r->peers[i].snapshot_offset = 0;
}

enum raft_role raft_role(const struct raft *r)
{
	return r->role;
}

const char *raft_leader(const struct raft *r)
{
	return r->leader;
}

int64_t raft_term(const struct raft *r)
{
	return r->term;
}

int64_t raft_last_index(const struct raft *r)
{
	return rlog_last_index(&r->log);
}

int64_t raft_commit_index(const struct raft *r)
{
	return r->commit_index;
}

int64_t raft_applied_index(const struct raft *r)
{
	return r->applied_index;
}

int64_t raft_snapshot_index(const struct raft *r)
{
	return r->log.snapshot_last;
}

const struct raft_members *raft_voters(const struct raft *r)
{
	return &r->log.members;
}

const struct raft_entry *raft_entry_at(const struct raft *r, int64_t index)
{
	return rlog_at(&r->log, index);
}

clk_ms raft_leader_since(const struct raft *r)
{
	return r->leader_since_ms;
}
