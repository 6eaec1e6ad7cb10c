#ifndef COMPRESS_H
#define COMPRESS_H

/*
 * zlib compression of texts that are sent to many proxies.
 */

#include "buf.h"
#include "error.h"
#include "msg.h"

/* Appends the compressed text to out. */
void compress_text(const char *text, size_t len, struct buf *out);

/*
 * Appends the decompressed text to out. Fails if it does not have exactly size
 * bytes.
 */
enum res decompress_text(const struct blob *packed, size_t size,
			 struct buf *out, struct err *e);

#endif
