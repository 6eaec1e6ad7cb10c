#ifndef ZSTREAM_H
#define ZSTREAM_H

/*
 * Compression of the messages on one connection, in both directions. Each
 * message is compressed with the ones before as context, so that what repeats
 * from message to message costs little. Names begin with zs_.
 */

#include "buf.h"
#include "error.h"

#include <stddef.h>

struct zs_pair;

struct zs_pair *zs_new(void);
void zs_free(struct zs_pair *z);

/* Appends the compressed message, which must not be empty, to out. */
void zs_compress(struct zs_pair *z, const char *data, size_t len,
		 struct buf *out);

/*
 * Appends the message to out. Fails if the data is damaged or the message has
 * more than max bytes; the pair can't be used for further messages then.
 */
enum res zs_decompress(struct zs_pair *z, const char *data, size_t len,
		       size_t max, struct buf *out, struct err *e);

#endif
