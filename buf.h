#ifndef BUF_H
#define BUF_H

/*
 * A growable byte buffer with a read offset. buf_consume() frees the memory
 * when it removes the last byte, so that the buffers of idle connections take
 * up no memory.
 */

#include <stddef.h>

struct buf {
	char *mem;
	size_t off; /* first unread byte */
	size_t end; /* end of the data */
	size_t cap; /* bytes allocated at mem */
};

#define BUF_INIT  \
	{         \
		0 \
	}

static inline size_t buf_len(const struct buf *b)
{
	return b->end - b->off;
}

static inline char *buf_data(const struct buf *b)
{
	return b->mem + b->off;
}

void buf_add(struct buf *b, const void *data, size_t len);
void buf_addstr(struct buf *b, const char *s);
void buf_addf(struct buf *b, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/*
 * Makes room for len bytes at the end and returns a pointer to it. Call
 * buf_commit() after writing there.
 */
char *buf_reserve(struct buf *b, size_t len);

/* Appends len bytes that were written to the reserved room. */
void buf_commit(struct buf *b, size_t len);

/* Removes len bytes from the front. */
void buf_consume(struct buf *b, size_t len);
void buf_free(struct buf *b);

/* The contents as a string; valid until the buffer changes. */
const char *buf_str(struct buf *b);

#endif
