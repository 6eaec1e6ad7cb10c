#ifndef COUNTER_H
#define COUNTER_H

/*
 * Event counters of this process (prefix cnt_), which metrics.h publishes. They
 * only grow. CNT_TABLE lists the counters of retries and other events; their
 * names are also the published names. Refusals and failures are counted by
 * result code, so that a new code in result.h has a counter automatically.
 */

#include "result.h"

#include <stdint.h>

/* clang-format off */
#define CNT_TABLE(X) \
	X(callers_accepted) X(callers_closed) X(statements) \
	X(reads_replica) X(reads_primary) X(reads_replica_eligible) \
	X(reads_eligible_primary) X(writes) X(forwarded) X(config_applied) X(config_ignored_older) \
	X(lease_granted) X(backend_connects) X(backend_conn_found) \
	X(backend_conn_replaced) \
	X(backend_connect_failures) X(backend_full) \
	X(backend_silent) X(late_answers) \
	X(token_lost) X(dedup_hits) X(links_refused) \
	X(retry_unreachable) X(retry_behind) X(retry_no_primary) \
	X(retry_no_lease) X(retry_read_failed) X(retry_not_owner) \
	X(retry_leaving) X(retry_slow) X(retry_unknown) X(retry_denied) \
	X(elections) X(leader_changes) X(promotions) X(snapshots) \
	X(log_synced) X(log_torn) X(data_damaged) X(cfg_conflicts) X(cfg_resends) \
	X(backends_announced) X(backends_silenced) X(bad_input) \
	X(http_evicted) X(held_up) X(slow_syncs) X(positions_contradicted) \
	X(samples_ahead) X(key_expired_unsent) X(key_lease_ended) \
	X(key_withdrawn_txns) X(rate_asks) \
	X(queue_refused_arrived) X(queue_refused_waiting) \
	X(queue_refused_fallback) X(reads_moved) \
	X(reads_fallback) X(reads_fallback_refused)
/* clang-format on */

enum cnt {
#define X(name) CNT_##name,
	CNT_TABLE(X)
#undef X
		CNT_MAX
};

void cnt_add(enum cnt c, uint64_t n);

/* Counts a refusal or failure by its result code. */
void cnt_add_refusal(enum res r);

uint64_t cnt_refusal_count(enum res r);

/* Calls fn for every counter, refusals as "refused_<code name>". */
void cnt_each(void (*fn)(void *arg, const char *name, uint64_t value),
	      void *arg);

#endif
