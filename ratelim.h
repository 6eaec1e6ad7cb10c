#ifndef RATELIM_H
#define RATELIM_H

/*
 * Rate limits of tenants over all proxies (prefix rl_).
 *
 * Answers the load of tenants that send more operations than their rate and
 * burst allow, up to 7.5 times their usual load, and of small tenants whose few
 * operations may come through any of many proxies. The bound is
 *
 *   N <= (rate * window + burst) * (1 + excess) + slack
 *
 * for the operations of a tenant that callers send, and that all proxies
 * together send to members, in any interval of the length window. What a tenant
 * sends below that is not refused.
 *
 * The control leader (struct rl_server) keeps a token bucket for each tenant;
 * one token is one operation. A proxy (struct rl_client) asks for tokens
 * (MSG_RATE_ASK) and gets them (MSG_RATE_GRANT). In addition, a part of a
 * tenant's rate is leased to the proxies as shares, so that tenants are served
 * while there is no leader. A share is the refill rate of a local bucket at the
 * proxy.
 *
 * Both sides do no I/O and read no clock. Levels of buckets are in millionths
 * of an operation, since a rate in thousandths of operations a second times
 * milliseconds gives them without rounding.
 *
 * Why the bound holds. For a tenant, let R be the refill rate, W the window, V
 * the validity of tokens, B the capacity of the leader's bucket and K the
 * largest sum of the capacities of local buckets; rl_make_plan() chooses them
 * such that R * (W + V) + B + K is at most the bound.
 *  - An operation takes its token after its caller sent it and before it is
 * sent to a member, so it counts only in intervals in which its token was taken
 *    from the proxy's stock. A granted token ends V after its ask was sent,
 *    which was before the leader granted it. So all operations of an interval
 *    of the length W are paid by tokens taken from buckets in an interval of
 *    the length W + V, however long they wait for a member.
 *  - At any time, the leader's bucket is refilled with R - S, where S is at
 *    least the sum of all shares that may still be valid. So all buckets
 *    together are refilled with at most R, and what is taken in an interval of
 *    the length W + V is at most R * (W + V) plus what the buckets held at its
 *    start, which is at most B + K.
 *  - S and K: a share ends RL_SHARE_MS after its ask was sent; the leader
 *    counts it until RL_SHARE_MS after it received the ask. While a proxy may
 *    have either its old or its new share, the larger one counts. Which one it
 *    has is told by its next ask: a proxy that sends an ask never applies the
 *    grant of an earlier one. A larger share is only given from what is not
 *    counted.
 *  - Lost messages: a lost ask changes nothing. Tokens of a lost grant are not
 *    given again. A share of a lost grant goes on to count until the next
 *    ask or its end.
 *  - Duplicate and late messages: the leader ignores asks that are not newer
 *    than the last one of the same process, and a proxy takes only the grant of
 *    its newest ask, once, and up to RL_ASK_LOST_MS after it was sent.
 *  - Change of the leader: the older leader has lost its authority before the
 *    newer one is elected, so the intervals in which they grant don't overlap.
 *    The newer one starts with an empty bucket and the largest S and K
 *    for RL_SHARE_MS; older shares have ended then. Until then it gives no new
 *    shares and renews those that proxies report. A proxy reports a share only
 *    if that is valid for at least RL_ASK_LOST_MS more. So it was still valid,
 *    and not given to another proxy, when the newer leader renewed it in a
 *    grant that the proxy accepts.
 *  - Restart of a proxy: it starts with nothing. The leader knows it under
 *    another uuid, and the share of the former process counts until its end.
 *  - Suspended process: its clock goes on, so tokens and shares end
 *    meanwhile. A suspended leader may send a grant late; its tokens end no
 *    later.
 *  - Lowered limit: a proxy that takes it drops the tokens and the share that
 *    it holds and ignores the grant that is on its way. Only operations that
 *    have their token already are paid by the higher limit, for V at most.
 *  - Proxies and the leader measure durations with their own clocks. The bound
 *    assumes that these run at the same rate; a difference of 0.1% adds 0.1%.
 *
 * While a new leader starts, a tenant has the tokens and shares held by the
 * proxies and the part of its rate that can't be leased.
 */

#include "clock.h"
#include "cluster.h"
#include "msg.h"
#include "route_table.h"

#include <stdbool.h>
#include <stddef.h>

enum {
	/* Validity of a token, counted from when its ask was sent. The shorter
	 * it is, the more of the bound is left for refill and buckets. */
	RL_TOKEN_MS = 500,
	/* Part of the refill rate that may be leased as shares. A new leader
	 * has only the rest for the time in which older shares may be valid. */
	RL_SHARE_PERCENT = 30,
	RL_SHARE_MS =
		4000, /* validity of a share, from when the ask was sent */
	/* An ask without an answer counts as lost. */
	RL_ASK_LOST_MS = 300,
	/* Least time between two asks of a proxy: the first one, or more where
	 * there are many proxies. The leader answers RL_MAX_ASKS_PER_S at most
	 * then; the upper bound is below the longest wait for a grant. */
	RL_ASK_MIN_MS = 30,
	RL_ASK_MIN_MAX_MS = 200,
	RL_MAX_ASKS_PER_S = 4000,
	/* A proxy asks for what it needs in so long a time. */
	RL_PREFETCH_MS = 400,
	RL_PREFETCH_PAUSE_MS = 200, /* between asks that only prefetch */
	/* From this demand on, in thousandths of operations a second, a proxy
	 * asks for a token in advance if it sends an ask anyway. */
	RL_SPARE_MIN_DEMAND = 400,
	/* A share is reported with other entries after the first time, and with
	 * an ask of its own after the second. */
	RL_SHARE_REPORT_MS = 500,
	RL_SHARE_RENEW_MS = 1500,
	/* A share is given for at least half of this demand, in thousandths of
	 * operations a second: with less, a proxy would rarely have a whole
	 * operation in its local bucket. */
	RL_SHARE_MIN_DEMAND = 1000,
	/* A local bucket holds what its share gives in this time, and at least
	 * one operation. */
	RL_SHARE_BURST_MS = 250,
	/* Operations that can be served within this time wait for it; others
	 * are refused. */
	RL_SHORT_WAIT_MS = 100,
	RL_REFUSE_MAX_MS = 10000,
	/* While a tenant is at its limit, a proxy asks for it after a pause of
	 * this time for each ask of the last second that got less than it
	 * needed. With 83 proxies at most 208 asks a second remain for one
	 * tenant. The tokens of a grant must not end before the pause. */
	RL_PAUSE_PER_ASK_MS = 5,
	RL_PAUSE_MAX_MS = 400,
	RL_MAX_WAIT_MS = 300, /* longest wait of an operation for a grant */
	RL_RETRY_MS = 300 /* told to callers if no leader answers */
};

struct rl_config {
	clk_ms window_ms;
	double excess;
	int64_t slack; /* operations */
};

/* How the bound of a tenant is divided. */
struct rl_plan {
	int64_t refill; /* thousandths of an operation a second */
	int64_t bucket; /* capacity at the leader, millionths of an operation */
	int64_t share_rate; /* sum of all shares, as refill */
	int64_t share_burst; /* sum of the local buckets, as bucket */
	clk_ms valid_ms; /* validity of a token */
};

/* Returns false if the tenant has no limit. */
bool rl_make_plan(const struct rl_config *cfg, const struct rt_tenant *t,
		  struct rl_plan *out);

/* The bound on the operations in a window, in millionths. */
int64_t rl_bound(const struct rl_config *cfg, const struct rt_tenant *t);

/* The control leader's side. */
struct rl_server;

struct rl_server *rl_server_new(const struct rl_config *cfg);
void rl_server_free(struct rl_server *s);

/* Starts a term as leader, which began at now, with nothing but the time at
 * which older shares have ended. */
void rl_server_start_term(struct rl_server *s, clk_ms now);

/*
 * Answers an ask of the proxy process with a uuid by the limits in the table.
 * To be called only while this instance may act as the leader at now. Returns
 * false, without an answer, for a late or repeated ask. The memory of the
 * answer is valid until the next call.
 */
bool rl_server_handle_ask(struct rl_server *s, const struct route_table *limits,
			  int64_t uuid, const struct msg_rate_ask *ask,
			  clk_ms now, struct msg_rate_grant *answer);

/* A proxy's side. */
struct rl_client;

/* The seed spreads the times at which refused callers should ask again. */
struct rl_client *rl_client_new(uint64_t seed);
void rl_client_free(struct rl_client *c);

/* Takes the limits of a published configuration. */
void rl_client_set_limits(struct rl_client *c, const struct route_table *limits,
			  clk_ms now);

/* Permission to send one operation. */
struct rl_token {
	bool held; /* false where there is no limit, too */
	clk_ms until; /* when it ends if it is given back */
	int64_t epoch; /* of the limit that it was taken under */
};

enum rl_verdict {
	RL_GO,
	RL_WAIT, /* for a grant, see rl_client_wait() */
	RL_REFUSE
};

/* Takes a token of a tenant for one operation. For RL_REFUSE, retry_ms is when
 * the caller should ask again. An empty name has no limit. */
enum rl_verdict rl_client_take(struct rl_client *c, const char *tenant,
			       clk_ms now, struct rl_token *token,
			       clk_ms *retry_ms);

/* True if the tenant has a token now, or no limit. */
bool rl_client_has_token(struct rl_client *c, const char *tenant, clk_ms now);

/* Gives the token of an operation that was not sent back to the stock. */
void rl_client_return(struct rl_client *c, const char *tenant,
		      struct rl_token *token, clk_ms now);

/* Counts an operation that asks for its first token. */
void rl_client_count_asked(struct rl_client *c, const char *tenant, clk_ms now);

/* An operation begins to wait for a grant, or no longer waits. */
void rl_client_wait(struct rl_client *c, const char *tenant);
void rl_client_end_wait(struct rl_client *c, const char *tenant);

/* Counts an operation that is refused after it waited, and returns when its
 * caller should ask again. */
clk_ms rl_client_refuse_waiting(struct rl_client *c, const char *tenant,
				clk_ms now);

/*
 * Returns true if an ask is to be sent now. It is then filled in, with memory
 * that is valid until the next call, and counts as sent.
 */
bool rl_client_next_ask(struct rl_client *c, clk_ms now,
			struct msg_rate_ask *ask);

/* No leader is known, or the one asked does not lead: the ask is lost. */
void rl_client_ask_failed(struct rl_client *c, int64_t seq);

/* Takes a grant; false if it is ignored. Operations that wait should then be
 * tried again. */
bool rl_client_take_grant(struct rl_client *c, const struct msg_rate_grant *g,
			  clk_ms now);

/* What a tenant asked for and got at this proxy since it started. */
struct rl_stats {
	char tenant[ID_LEN];
	uint64_t asked; /* operations */
	uint64_t served; /* tokens used, those of repeated attempts included */
	uint64_t refused_limit; /* the leader said that there are no tokens */
	uint64_t refused_no_answer; /* no grant came in time */
	int64_t share_milli; /* share, thousandths of an operation a second */
	int64_t left_milli; /* tokens and local bucket, thousandths */
};

/* Calls fn for each tenant with a limit that was used here. */
void rl_client_each(struct rl_client *c, clk_ms now,
		    void (*fn)(void *arg, const struct rl_stats *st),
		    void *arg);

/* A tenant reached its limit at this proxy, or was not refused for
 * RL_LIMIT_OVER_MS. */
struct rl_change {
	char tenant[ID_LEN];
	bool limited;
	uint64_t refused; /* since it reached the limit */
	clk_ms ms; /* since then */
};

enum { RL_LIMIT_OVER_MS = 2000 };

/* Returns the next change that was not returned yet; false if there is none. */
bool rl_client_next_change(struct rl_client *c, clk_ms now,
			   struct rl_change *out);

#endif
