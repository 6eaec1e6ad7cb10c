#ifndef CLUSTER_H
#define CLUSTER_H

/*
 * Types that describe the deployment: groups, backend servers and proxies.
 *
 * A group is a set of backends that replicate one log; one backend is its
 * primary. The control instances store these records; proxies receive them in
 * messages and keep a copy, the view. version is the view version in which a
 * record last changed, so that only changed records are sent.
 */

#include <stdbool.h>
#include <stdint.h>

enum {
	ID_LEN = 32, /* bytes of an id or name, with the final zero */
	ADDR_LEN = 48, /* bytes of "ip:port", with the final zero */
	GROUP_MAX_TERM_STARTS =
		16 /* newest terms of a group whose start is kept */
};

/* Log position at which the primary of a term started. */
struct term_start {
	int64_t term;
	int64_t start_position;
};

struct group_info {
	char name[ID_LEN];
	int64_t term; /* 0 before the first primary */
	char primary[ID_LEN]; /* backend id; empty while there is none */
	bool changing_primary; /* the primary is being replaced */
	struct term_start *term_starts; /* of the newest terms, newest last */
	int64_t nterm_starts;
	int64_t version;
	int64_t change_term; /* term of the newest change of primary, finished
			      * or not */
	/* With a promoter outside this system; the candidate and the late call
	 * only if changes of the group's primary wait for leases (promote.h):
	 */
	char candidate[ID_LEN]; /* while changing: member that the promoter is
				 * asked to promote; empty before that */
	int64_t member_term; /* the primary's own term, or the newest earlier
			      * one known of a member; 0 if unknown */
	char late_call[ID_LEN]; /* member for which an earlier call may still
				 * be carried out; empty if none can */
	int64_t member_term_start; /* commits that the log had at least when
				    * member_term began; 0 if unknown */
};

struct backend_info {
	char id[ID_LEN];
	char group[ID_LEN];
	char addr[ADDR_LEN];
	char zone[ID_LEN];
	int64_t incarnation; /* grows with each start of the server */
	int64_t slots; /* statements that it runs at once */
	int64_t connection_limit; /* that it accepts */
	bool leaving; /* announced that it will stop */
	bool announcements_stopped; /* its announcements stopped */
	int64_t version;
	bool announced_primary; /* announced that it is the primary */
};

/* The log of a backend that was removed, or that has started again and may hold
 * nothing of before. It may be the only one beside the primary's that holds
 * some acknowledged commit. */
struct ended_log {
	char id[ID_LEN]; /* of the backend */
	char group[ID_LEN];
	char addr[ADDR_LEN]; /* empty in a command that removes the record */
	bool moves; /* the next backend at its address has the log */
	bool silent; /* removed since it was silent; it may go on for a while */
	/* Enough others hold its commits. Earlier versions kept such records.
	 */
	bool covered;
};

/* Orders to the replicas of a group to receive or not to, which earlier
 * versions gave. */
enum orders_stage {
	ORDERS_UNKNOWN, /* none is under way; some replicas may be paused */
	ORDERS_UNDER_WAY, /* some may still be carried out */
	ORDERS_SETTLED, /* none is under way, and all replicas receive */
	ORDERS_PAUSING /* only orders to pause may still be carried out */
};

struct group_orders {
	char id[ID_LEN]; /* of the group */
	int64_t stage; /* enum orders_stage */
};

struct proxy_info {
	char id[ID_LEN];
	char addr[ADDR_LEN]; /* of the link between proxies */
	char zone[ID_LEN];
	bool alive;
	int64_t version;
};

#endif
