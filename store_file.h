#ifndef STORE_FILE_H
#define STORE_FILE_H

/* Files of a data folder: reading, atomic replacement, records. Used by
 * store.c alone. */

#include "raft.h"

#include <stdint.h>

enum { STORE_MAX_RECORD = 64 << 20 };

/* Reports a failed file operation and ends the process. */
void sfile_die(const char *what, const char *path) __attribute__((noreturn));

/* Reads a whole file; RES_IO if it can't be read. */
enum res sfile_read(int dir, const char *name, struct buf *out, struct err *e);

/* Writes a file aside, syncs it, renames it and syncs the folder. */
void sfile_replace(int dir, const char *name, const struct buf *data);
void sfile_write(int fd, const char *name, const char *data, size_t len);
void sfile_sync(int fd, const char *name);

/* Content with a checksum in front. */
void sfile_seal(struct buf *out, const void *head, size_t head_len,
		const struct blob *data);
enum res sfile_unseal(struct buf *in, const char *name, void *head,
		      size_t head_len, struct err *e);

/* Log records. batch is the offset where the record's batch begins. */
void srec_add(struct buf *out, int64_t batch, const struct raft_entry *e);

/* Length of the valid record at the start of data, or 0. */
size_t srec_check(const char *data, size_t len, int64_t *batch,
		  struct raft_entry *e);

/* True if a record of a batch that begins after offset bad follows it. */
bool srec_follows(const char *data, size_t len, size_t bad);

#endif
