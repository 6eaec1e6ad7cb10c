#ifndef STMT_H
#define STMT_H

/*
 * Statements of a session and positions in a group's log, independent of the
 * protocol in which they are sent.
 *
 * A span is a piece of text that is not copied: it points into the input buffer
 * of the connection that received it and is valid until that buffer changes.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

enum {
	STMT_REQUEST_ID_LEN =
		64, /* bytes of a request id, with the final zero */
	STMT_MAX_MESSAGE_LEN = 1 << 20 /* bytes of one message */
};

struct span {
	const char *p;
	size_t len;
};

static inline bool span_is(struct span s, const char *text)
{
	return s.len == strlen(text) && !memcmp(s.p, text, s.len);
}

/* A position in a group's log. Those of a later term are higher. */
struct pos {
	int64_t term;
	int64_t number;
};

/* Negative, 0 or positive, like strcmp(). */
static inline int pos_cmp(struct pos a, struct pos b)
{
	if (a.term != b.term)
		return a.term < b.term ? -1 : 1;
	if (a.number != b.number)
		return a.number < b.number ? -1 : 1;
	return 0;
}

static inline struct pos pos_max(struct pos a, struct pos b)
{
	return pos_cmp(a, b) < 0 ? b : a;
}

static inline bool pos_is_none(struct pos p)
{
	return p.term == 0 && p.number == 0;
}

enum stmt_kind {
	STMT_READ,
	STMT_WRITE,
	STMT_BEGIN,
	STMT_BEGIN_READ,
	STMT_COMMIT,
	STMT_ROLLBACK,
	STMT_SET,
	STMT_PREPARE,
	STMT_EXECUTE,
	STMT_DEALLOCATE,
	STMT_MALFORMED
};

struct stmt {
	enum stmt_kind kind;
	struct span id; /* request id of the caller */
	struct span text; /* as the caller wrote it */
	struct span name; /* of the setting (SET) or of the prepared statement
			   * (PREPARE, EXECUTE, DEALLOCATE) */
	struct span value; /* SET: value; PREPARE: text of the prepared
			    * statement; EXECUTE: arguments */
	bool writes; /* PREPARE: the prepared statement writes */
};

#endif
