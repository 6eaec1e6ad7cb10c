#ifndef CLASSIFY_H
#define CLASSIFY_H

/*
 * Classification of SQL texts (prefix cls_): whether a text reads, writes,
 * controls a transaction or changes the session, and its fingerprint. The
 * texts are parsed with libpg_query.
 *
 * A text is a read only if everything in it is known not to write. A SELECT
 * that locks rows, writes in a WITH clause or calls a function that is not in
 * the list of read-only functions is a write.
 *
 * Results are cached in a bounded table under the hash of the text; the least
 * recently used entry is replaced. Leading comments are left out of the hash
 * because callers put settings for a single statement there.
 *
 * The module does no I/O. A table may be used by one thread only.
 */

#include "error.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	CLS_ENTRIES = 8192, /* texts that a table can hold */
	CLS_MAX_NESTING = 1500, /* maximum depth of a syntax tree */
	CLS_MAX_TEXT = 128 << 10, /* bytes; parsing takes about 1 us per byte
				   * and blocks everything else meanwhile */
	CLS_NAME_LEN = 64,
	CLS_VALUE_LEN = 1024
};

enum cls_kind {
	CLS_EMPTY, /* no statement at all */
	CLS_READ,
	CLS_WRITE,
	CLS_BEGIN,
	CLS_COMMIT,
	CLS_ROLLBACK,
	CLS_SAVEPOINT, /* SAVEPOINT, RELEASE, ROLLBACK TO */
	CLS_SETTING, /* SET, RESET or SHOW of a marjoramlatch setting */
	CLS_SESSION, /* changes the state of the session at the backend */
	CLS_COPY,
	CLS_REPLICATION,
	CLS_TWO_PHASE, /* PREPARE TRANSACTION */
	CLS_MIXED /* several statements that can't run as one request */
};

struct cls {
	enum cls_kind kind;
	bool multiple_statements; /* more than one statement */
	int64_t fingerprint;
};

struct cls_table;

/* seed makes the hash unpredictable, so that callers can't construct texts
 * that collide. */
struct cls_table *cls_new(uint64_t seed);
void cls_free(struct cls_table *t);

/* Classifies a text. Returns RES_BAD_SQL with the parser's message if the text
 * can't be parsed, RES_TOO_LARGE if it is too long or nested too deeply to be
 * parsed. */
enum res cls_classify(struct cls_table *t, const char *sql, struct cls *out,
		      struct err *e);

/* Number of cache hits, and of entries in use. */
uint64_t cls_hits(const struct cls_table *t);
size_t cls_entries(const struct cls_table *t);

/* Returns the first byte after leading white space and comments. */
const char *cls_skip_comments(const char *sql);

enum cls_setting_op { CLS_SET, CLS_SET_LOCAL, CLS_RESET, CLS_SHOW };

/* A statement of class CLS_SETTING. */
struct cls_setting {
	enum cls_setting_op op;
	char name[CLS_NAME_LEN]; /* without "marjoramlatch." */
	char value[CLS_VALUE_LEN];
};

/* Parses a statement of class CLS_SETTING. */
enum res cls_parse_setting(const char *sql, struct cls_setting *out,
			   struct err *e);

/* Used by classify.c: classifies a text without leading comments, without the
 * cache. */
enum res cls_parse(const char *sql, struct cls *out, struct err *e);

/* Returns RES_TOO_LARGE if the syntax tree of the text could be deeper than
 * max levels. */
enum res cls_check_nesting(const char *sql, int max, struct err *e);

/* True if the function of this name (in lower case) is known neither to write
 * nor to change the session. */
bool cls_function_is_read_only(const char *name);

#endif
