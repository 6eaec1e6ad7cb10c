#ifndef COVER_H
#define COVER_H

/*
 * Which logs of a group together hold every acknowledged commit, and which
 * member may lead without the loss of one (prefix cov_). For groups whose
 * commits wait for synchronous replicas. No I/O, no clock, no memory of its
 * own: the caller describes all logs of the group.
 *
 * Invariant: each acknowledged commit is held by more logs than there are
 * synchronous replicas: by that of the primary which acknowledged it, and by as
 * many others as the commit waited for. Hence all logs but that many hold it
 * between them, whichever these are. For this to be true, the caller describes
 * each log that may have received a commit, also those of members that don't
 * answer, and of members that have ended.
 *
 * Logs are compared by their last commit, first its term, then its number. Of
 * two logs, the one that ends later holds all acknowledged commits of the
 * other: each primary began with all that was acknowledged before its term, and
 * a commit is only acknowledged in its own term. So a log that ends no earlier
 * than enough others holds them all (cov_holds_all()), even if it also has
 * commits that an earlier promotion discarded; no caller was told of those.
 *
 * No commit may be acknowledged between the time when the positions were read
 * and the promotion; see promote.h for what ensures it.
 *
 * The log of the newest primary itself holds every acknowledged commit, and so
 * does one that ends no earlier. Once it is known, no other log is needed,
 * unless one ends later: then it is not the log that it was.
 *
 * A log that is gone must be waited for until it is covered: until the primary
 * and as many others as there are synchronous replicas hold what it may have
 * had (cov_is_covered()). Then the invariant is true without it.
 */

#include "stmt.h"

#include <stdbool.h>
#include <stdint.h>

enum { COV_NONE = -1 };

struct cov_log {
	struct pos end; /* position of its last commit, if known */
	bool known; /* its position was read, and it does not lead */
	/* That of the primary which acknowledged the newest commits: it holds
	 * all of them, whatever else is known. */
	bool complete;
	bool may_lead; /* can be promoted */
	int last_resort; /* of those that qualify, the lowest is promoted */
};

struct cov_group {
	const struct cov_log *logs;
	int n;
	int others; /* further logs, of which nothing is known */
	int64_t sync_replicas;
};

/* True if a log holds every commit that was acknowledged before the positions
 * were read. */
bool cov_holds_all(const struct cov_group *g, int log);

/* True if a log that is not described and ends no later than end can be left
 * out: enough of the others hold as much. The primary has held it. */
bool cov_is_covered(const struct cov_group *g, struct pos end);

/* The log to promote, or COV_NONE. */
int cov_choose(const struct cov_group *g);

#endif
