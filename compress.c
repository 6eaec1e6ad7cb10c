#include "compress.h"

#include <stdlib.h>
#include <zlib.h>

enum { UNPACK_MAX = 64 << 20 /* bytes of a decompressed text */ };

void compress_text(const char *text, size_t len, struct buf *out)
{
	uLongf size = compressBound(len);
	char *dest = buf_reserve(out, size);

	/* compress() fails only for lack of memory or of output room, and
	 * compressBound() bytes are enough room. */
	if (compress((Bytef *)dest, &size, (const Bytef *)text, len) != Z_OK)
		abort();
	buf_commit(out, size);
}

enum res decompress_text(const struct blob *packed, size_t size,
			 struct buf *out, struct err *e)
{
	uLongf got = size;
	char *dest;
	int z;

	if (size > UNPACK_MAX)
		return err_set(e, RES_TOO_LARGE, "text of %zu bytes", size);
	dest = buf_reserve(out, size + 1);
	z = uncompress((Bytef *)dest, &got, (const Bytef *)packed->data,
		       packed->len);
	if (z != Z_OK || got != size)
		return err_set(
			e, RES_CORRUPT,
			"compressed text: zlib returned %d, %lu bytes of %zu",
			z, got, size);
	buf_commit(out, size);
	return RES_OK;
}
