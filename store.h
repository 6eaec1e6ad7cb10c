#ifndef STORE_H
#define STORE_H

/*
 * Durable files of a control instance in its data folder:
 *
 *   lock       held while a process uses the folder
 *   hard       uuid, term and vote; replaced by rename
 *   log-N      log records; a new file begins at a size limit and with each
 *              snapshot
 *   snap-N     snapshot as of log index N; written aside, synced, renamed
 *
 * A record has its length, an XXH3 checksum and the offset at which the batch
 * that was synced with it begins. A record replaces all earlier ones from its
 * index on. When the folder is opened, the last log file is cut at its first
 * bad record if no record of a later batch follows: that batch was never
 * synced, so nothing in it was acknowledged. Any other bad record is refused
 * with RES_CORRUPT.
 *
 * A write or sync that fails ends the process, since what the disk holds is
 * then unknown.
 */

#include "raft.h"

struct store;

/* Opens a data folder, creating it and its uuid if it is empty. */
enum res store_open(struct store **out, const char *folder, struct err *e);
void store_close(struct store *s);

int64_t store_uuid(const struct store *s);

/* Loads what is stored into a new struct raft. */
enum res store_recover(struct store *s, struct raft *r, struct err *e);

void store_hard(struct store *s, int64_t term, const char *vote);

/* Adds an entry to the current batch. */
void store_write(struct store *s, const struct raft_entry *e);

/* Makes the current batch durable. */
void store_sync(struct store *s);

/* Saves a snapshot and removes log files it makes useless, or all of them. */
void store_snapshot(struct store *s, int64_t index, int64_t term,
		    const struct blob *data, bool discard);

#endif
