#include "zstream.h"

#include <stdlib.h>
#include <string.h>
#include <zlib.h>

enum {
	/* A window of 2 KB and little memory: rows hardly repeat, so larger
	 * ones save no more, and control has a link to each proxy. */
	ZS_WINDOW_BITS = -11, /* negative: no header and checksum */
	ZS_MEM_LEVEL = 3,
	ZS_LEVEL = 1, /* higher levels save less than 1% on rows */
	ZS_CHUNK = 4096 /* bytes of output that are made room for */
};

/* A message ends with an empty block, whose last bytes are always these. They
 * are not sent. */
static const char zs_tail[4] = {0, 0, (char)0xff, (char)0xff};

struct zs_pair {
	z_stream deflate;
	z_stream inflate;
};

struct zs_pair *zs_new(void)
{
	struct zs_pair *z = calloc(1, sizeof(*z));

	if (!z ||
	    deflateInit2(&z->deflate, ZS_LEVEL, Z_DEFLATED, ZS_WINDOW_BITS,
			 ZS_MEM_LEVEL, Z_DEFAULT_STRATEGY) != Z_OK ||
	    inflateInit2(&z->inflate, ZS_WINDOW_BITS) != Z_OK)
		abort();
	return z;
}

void zs_free(struct zs_pair *z)
{
	if (!z)
		return;
	deflateEnd(&z->deflate);
	inflateEnd(&z->inflate);
	free(z);
}

void zs_compress(struct zs_pair *z, const char *data, size_t len,
		 struct buf *out)
{
	z_stream *s = &z->deflate;
	struct buf packed = BUF_INIT;

	/* zlib would flush nothing a second time. */
	if (!len)
		abort();
	s->next_in = (Bytef *)data;
	s->avail_in = (uInt)len;
	do {
		s->next_out = (Bytef *)buf_reserve(&packed, ZS_CHUNK);
		s->avail_out = ZS_CHUNK;
		if (deflate(s, Z_SYNC_FLUSH) == Z_STREAM_ERROR)
			abort();
		buf_commit(&packed, ZS_CHUNK - s->avail_out);
	} while (!s->avail_out);
	buf_add(out, buf_data(&packed), buf_len(&packed) - sizeof(zs_tail));
	buf_free(&packed);
}

static enum res zs_inflate(z_stream *s, const char *data, size_t len,
			   size_t max, struct buf *out, size_t before,
			   struct err *e)
{
	s->next_in = (Bytef *)data;
	s->avail_in = (uInt)len;
	do {
		int r;

		s->next_out = (Bytef *)buf_reserve(out, ZS_CHUNK);
		s->avail_out = ZS_CHUNK;
		r = inflate(s, Z_SYNC_FLUSH);
		buf_commit(out, ZS_CHUNK - s->avail_out);
		if (r != Z_OK && r != Z_BUF_ERROR)
			return err_set(e, RES_BAD_FRAME,
				       "compressed message: zlib returned %d",
				       r);
		if (buf_len(out) - before > max)
			return err_set(e, RES_BAD_FRAME,
				       "message of more than %zu bytes", max);
	} while (s->avail_in || !s->avail_out);
	return RES_OK;
}

enum res zs_decompress(struct zs_pair *z, const char *data, size_t len,
		       size_t max, struct buf *out, struct err *e)
{
	size_t before = buf_len(out);
	enum res r = zs_inflate(&z->inflate, data, len, max, out, before, e);

	if (!r)
		r = zs_inflate(&z->inflate, zs_tail, sizeof(zs_tail), max, out,
			       before, e);
	return r;
}
