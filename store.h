#ifndef STORE_H
#define STORE_H

/*
 * Durable storage of a control instance: its Raft log, snapshots and hard state
 * (the term and vote, which Raft needs after a restart), in a data folder:
 *
 *   lock       locked by the process that uses the folder
 *   hard       hard state and the uuid of the instance
 *   log-N      log records; a new file begins when the last one exceeds a size
 *              limit, and with each snapshot
 *   snap-N     snapshot of the state at log index N
 *
 * The files hard and snap-N are replaced atomically: a temporary file is
 * written, synced and renamed.
 *
 * Records are appended in batches, and store_sync() makes a batch durable. A
 * record holds its length, an XXH3 checksum and the offset at which its batch
 * begins. It replaces all earlier records from its log index on. On recovery,
 * the last log file is truncated at its first bad record if no record of a
 * later batch follows: the batch of the bad record was then never synced, so
 * nothing in it was acknowledged. Any other bad record makes recovery fail with
 * RES_CORRUPT. Such data must not be used, not even in part, since the instance
 * has acknowledged what is missing. The other instances hold it, so the caller
 * sets the data aside and goes on as an instance that lost its disk:
 *
 *   damaged-N  the files that were set aside; the newest two folders are kept
 *
 * A write or sync that fails ends the process, since it is then unknown what
 * the disk holds.
 */

#include "raft.h"

struct store;

/*
 * Opens a data folder and locks it. The folder is created if it doesn't exist,
 * and a uuid is chosen if it holds none. RES_IO if another process uses it.
 */
enum res store_open(struct store **out, const char *folder, struct err *e);
void store_close(struct store *s);

int64_t store_uuid(const struct store *s);

/*
 * Moves the files of a data folder into its subfolder damaged-N and chooses a
 * new uuid. Called after store_open() or store_recover() returned RES_CORRUPT,
 * and after store_close(). The folder does not count as that of a new instance
 * afterwards: it holds a term, so that the instance bootstraps no cluster. A
 * call that is interrupted leaves an old folder with a new uuid, so nothing
 * that the old uuid acknowledged is counted on. Returns N in *number.
 */
enum res store_set_aside(const char *folder, int64_t *number, struct err *e);

/*
 * Loads the stored hard state, snapshot and log into a new struct raft. All
 * that was loaded is durable on return, also what an earlier process wrote but
 * did not sync.
 */
enum res store_recover(struct store *s, struct raft *r, struct err *e);

/* Saves the hard state; it is durable on return. */
void store_save_hard_state(struct store *s, int64_t term, const char *vote);

/* Adds a record with an entry to the current batch. */
void store_append_entry(struct store *s, const struct raft_entry *e);

/* Makes the current batch durable. */
void store_sync(struct store *s);

/*
 * Saves a snapshot of the state at a log index and removes the older one. Also
 * removes the log files that hold only entries which the snapshot covers, or
 * with discard all earlier log files.
 */
void store_save_snapshot(struct store *s, int64_t index, int64_t term,
			 const struct blob *data, bool discard);

#endif
