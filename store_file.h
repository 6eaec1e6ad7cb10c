#ifndef STORE_FILE_H
#define STORE_FILE_H

/*
 * Files of a data folder; part of store.c, which alone uses it. Functions on
 * whole files begin with sfile_ (store file): reading, atomic replacement and a
 * checksum over the content. Those on single log records begin with srec_
 * (store record).
 */

#include "raft.h"

#include <stdint.h>

/* Most bytes of a record's payload; a longer one counts as bad. */
enum { STORE_RECORD_MAX_BYTES = 64 << 20 };

/* Logs a failed file operation with errno and ends the process. */
void sfile_fail(const char *what, const char *path) __attribute__((noreturn));

/* Appends the content of a file to out; RES_IO if it can't be read. */
enum res sfile_read(int dir, const char *name, struct buf *out, struct err *e);

/*
 * Creates or replaces a file atomically: writes a temporary file, syncs it,
 * renames it and syncs the folder.
 */
void sfile_replace(int dir, const char *name, const struct buf *data);

/* These end the process if they fail. name is for the log. */
void sfile_write(int fd, const char *name, const char *data, size_t len);
void sfile_sync(int fd, const char *name);

/*
 * Encodes and decodes the content of a file: a checksum, then a head of fixed
 * length, then data. Decoding removes checksum and head from in, and fails with
 * RES_CORRUPT if the content is too short or the checksum is wrong.
 */
void sfile_encode(struct buf *out, const void *head, size_t head_len,
		  const struct blob *data);
enum res sfile_decode(struct buf *in, const char *name, void *head,
		      size_t head_len, struct err *e);

/*
 * Appends a log record with an entry to out. batch is the offset in the file at
 * which the record's batch begins.
 */
void srec_append(struct buf *out, int64_t batch, const struct raft_entry *e);

/*
 * Length of the record at the start of data, or 0 if it is not valid. Fills in
 * the offset of its batch and its entry, whose data points into data.
 */
size_t srec_decode(const char *data, size_t len, int64_t *batch,
		   struct raft_entry *e);

/* True if a valid record of a batch that begins after offset bad follows. */
bool srec_has_later_batch(const char *data, size_t len, size_t bad);

#endif
