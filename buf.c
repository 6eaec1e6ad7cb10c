#include "buf.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define BUF_MIN_CAP 512 /* bytes */

char *buf_reserve(struct buf *b, size_t len)
{
	size_t used = buf_len(b);
	char *mem;

	if (b->mem && b->cap - b->end >= len)
		return b->mem + b->end;
	if (b->off) {
		memmove(b->mem, b->mem + b->off, used);
		b->off = 0;
		b->end = used;
	}
	if (b->cap - b->end < len) {
		size_t cap = b->cap ? b->cap : BUF_MIN_CAP;

		while (cap - used < len)
			cap *= 2;
		mem = realloc(b->mem, cap);
		if (!mem)
			abort();
		b->mem = mem;
		b->cap = cap;
	}
	return b->mem + b->end;
}

void buf_commit(struct buf *b, size_t len)
{
	b->end += len;
}

void buf_add(struct buf *b, const void *data, size_t len)
{
	if (!len)
		return;
	memcpy(buf_reserve(b, len), data, len);
	b->end += len;
}

void buf_addstr(struct buf *b, const char *s)
{
	buf_add(b, s, strlen(s));
}

void buf_addf(struct buf *b, const char *fmt, ...)
{
	va_list ap;
	int n;

	va_start(ap, fmt);
	n = vsnprintf(NULL, 0, fmt, ap);
	va_end(ap);
	if (n <= 0)
		return;
	va_start(ap, fmt);
	vsnprintf(buf_reserve(b, (size_t)n + 1), (size_t)n + 1, fmt, ap);
	va_end(ap);
	b->end += (size_t)n;
}

void buf_consume(struct buf *b, size_t len)
{
	b->off += len;
	if (b->off >= b->end)
		buf_free(b);
}

void buf_free(struct buf *b)
{
	free(b->mem);
	*b = (struct buf)BUF_INIT;
}

const char *buf_str(struct buf *b)
{
	*buf_reserve(b, 1) = '\0';
	return buf_data(b);
}
