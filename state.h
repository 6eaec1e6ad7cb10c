#ifndef STATE_H
#define STATE_H

/*
 * The replicated state machine of the control instances. It holds:
 *  - the operators' lists of plans and customers (see lists.h), the history of
 *    their versions, and the results of operators' requests by request id,
 *  - the published configuration, a separate document with its own version,
 *  - the view: a record of each group with its terms, each backend server and
 *    each proxy.
 * It changes only by commands that were committed in the replicated log (see
 * raft.h), so it is the same on every instance after the same entry.
 *
 * A command is one encoded message:
 *   MSG_APPLY   an operator's new lists; seq holds the leader's wall-clock
 *               time
 *   MSG_ANSWER  records of groups, backends and proxies to merge:
 *     group     if changing: begins a change of primary to change_term, which
 *               must be higher than any term used before, or names its
 *               candidate;
 *               if not changing, with starts: ends that change with term,
 *               primary and starts[0], unless a newer one was begun;
 *               if not changing, without starts: records a change that was
 *               made outside of this system, if term is higher than those
 *               recorded
 *     backend,  replaces the record with that id; one without an address
 *     proxy     removes it
 *     ended log the same, if there is a record with that id
 *     orders    replaces the record of that group
 *   MSG_PUBLISH replaces the published configuration if its version is higher
 *
 * The log of a backend that is removed, or starts again, is kept as a record of
 * its own, since it may hold commits that others lack (cover.h). The record
 * goes when the next backend of the group registers at the address to which the
 * log moves, or by a command. In a command that removes a backend, "leaving"
 * says that its log moves to the next one, and "announcements_stopped" that it
 * was silent.
 *
 * The view has a version, which each change raises. Each record holds the view
 * version of its last change, so that only newer records need to be sent.
 */

#include "buf.h"
#include "cluster.h"
#include "lists.h"
#include "msg.h"

enum {
	STATE_MAX_REQUESTS = 10000, /* results of requests that are kept */
	STATE_MAX_REVISIONS = 1000, /* accepted versions that are kept */
	STATE_MAX_REFUSAL_BYTES = 2000, /* longer reasons are cut off */
	STATE_MAX_ENDED_LOGS = 4096 /* no more are kept; see state_logs.c */
};

/* Result of an operator's request, kept so that a repeated request gets the
 * same answer. */
struct state_request_result {
	char id[REQUEST_ID_LEN];
	enum res res;
	int64_t version; /* in force after the request */
	char digest[ID_LEN]; /* of that version */
	char version_author[ID_LEN]; /* operator who wrote that version */
	int64_t version_written_ms; /* when it was written, wall-clock ms */
	char *text; /* reason of a refusal */
};

/* An accepted version of the lists. */
struct state_lists_revision {
	int64_t version;
	char digest[ID_LEN];
	char author[ID_LEN]; /* operator who wrote it */
	int64_t accepted_ms; /* wall-clock ms */
};

/* The published configuration. */
struct state_published_config {
	int64_t version; /* 0 if none was published yet */
	struct buf text; /* as its operator wrote it */
	struct buf routes; /* its content, packed by rt_encode() */
	int64_t routes_size; /* bytes of routes when unpacked */
};

struct state;

struct state *state_new(void);
void state_free(struct state *s);

/* These append an encoded command to out. */

/* wall is the wall-clock time at which the request was received. */
void state_cmd_apply(struct buf *out, const struct msg_apply *m, int64_t wall);
void state_cmd_group(struct buf *out, const struct group_info *g);
void state_cmd_backend(struct buf *out, const struct backend_info *b);
void state_cmd_proxy(struct buf *out, const struct proxy_info *p);
void state_cmd_orders(struct buf *out, const struct group_orders *o);
void state_cmd_ended_log(struct buf *out, const struct ended_log *l);
void state_cmd_publish(struct buf *out, const struct msg_publish *p);

/*
 * Applies a committed command. For MSG_APPLY, *done is set to the result of the
 * request, valid until the next call; else to NULL.
 */
enum res state_apply(struct state *s, const struct blob *cmd,
		     const struct state_request_result **done, struct err *e);

/* The result of a request that was applied before; NULL if there is none. */
const struct state_request_result *state_find_request_result(
	const struct state *s, const char *id);

/* Encodes the whole state as a snapshot. */
void state_encode(const struct state *s, struct buf *out);

/* Replaces the state by a snapshot; leaves it unchanged on failure. */
enum res state_decode(struct state *s, const struct blob *in, struct err *e);

const struct state_published_config *state_published(const struct state *s);

int64_t state_lists_version(const struct state *s);
struct lists *state_lists(const struct state *s); /* NULL if there are none */

/* The accepted versions, oldest first. */
const struct state_lists_revision *state_lists_history(const struct state *s,
						       size_t *n);

int64_t state_view_version(const struct state *s);
const struct group_info *state_groups(const struct state *s, size_t *n);
const struct backend_info *state_backends(const struct state *s, size_t *n);
const struct proxy_info *state_proxies(const struct state *s, size_t *n);

const struct ended_log *state_ended_logs(const struct state *s, size_t *n);

/* The stage of a group's orders. */
enum orders_stage state_orders(const struct state *s, const char *group);

/* True if two records are equal except for their versions. */
bool state_same_backend(const struct backend_info *a,
			const struct backend_info *b);
bool state_same_proxy(const struct proxy_info *a, const struct proxy_info *b);

const struct group_info *state_group(const struct state *s, const char *name);
const struct backend_info *state_backend(const struct state *s, const char *id);
const struct proxy_info *state_proxy(const struct state *s, const char *id);

/* Fills in the records that changed after a view version. They are valid until
 * the next call that changes the state or calls this. */
void state_fill_newer_records(struct state *s, int64_t since,
			      struct msg_answer *a);

#endif
