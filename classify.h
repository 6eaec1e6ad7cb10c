#ifndef CLASSIFY_H
#define CLASSIFY_H

/*
 * Class and fingerprint of SQL texts, found with libpg_query.
 *
 * A text is a read only if everything in it is known not to write: a SELECT
 * that locks rows, writes in a WITH clause or calls a function that is not in
 * the list of known read-only ones is a write. Results are kept in a bounded
 * table by the hash of the text; leading comments are left out of the hash,
 * because callers put settings of one statement there.
 *
 * No I/O. A table is used by one thread.
 */

#include "error.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	CLS_ENTRIES = 8192, /* texts that a table remembers */
	CLS_MAX_NESTING = 1500, /* levels of a statement's syntax tree */
	CLS_MAX_TEXT = 128 << 10, /* bytes; parsing takes about 1 us a byte and
				   * nothing else runs meanwhile */
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
	CLS_SESSION, /* changes the state of the server's session */
	CLS_COPY,
	CLS_REPLICATION,
	CLS_TWO_PHASE, /* PREPARE TRANSACTION */
	CLS_MIXED /* several statements that can't go together */
};

struct cls {
	enum cls_kind kind;
	bool several; /* more than one statement */
	int64_t fingerprint;
};

struct cls_table;

/* seed makes the hash unpredictable, so that callers can't make texts
 * collide. */
struct cls_table *cls_new(uint64_t seed);
void cls_free(struct cls_table *t);

/* RES_BAD_SQL with the parser's message if the text can't be parsed;
 * RES_TOO_LARGE if it is too long or too deep to be. */
enum res cls_get(struct cls_table *t, const char *sql, struct cls *out,
		 struct err *e);

/* Texts that were found without parsing, and entries in use. */
uint64_t cls_hits(const struct cls_table *t);
size_t cls_entries(const struct cls_table *t);

/* First byte after leading white space and comments. */
const char *cls_skip_comments(const char *sql);

enum cls_setting_op { CLS_SET, CLS_SET_LOCAL, CLS_RESET, CLS_SHOW };

/* A statement of class CLS_SETTING. */
struct cls_setting {
	enum cls_setting_op op;
	char name[CLS_NAME_LEN]; /* without "marjoramlatch." */
	char value[CLS_VALUE_LEN];
};

enum res cls_parse_setting(const char *sql, struct cls_setting *out,
			   struct err *e);

/* For classify.c: class of a text without comments in front, not cached. */
enum res cls_parse(const char *sql, struct cls *out, struct err *e);

/* RES_TOO_LARGE if the syntax tree of the text could be deeper than max. */
enum res cls_check_nesting(const char *sql, int max, struct err *e);

/* True if a function of this lower-case name neither writes nor changes the
 * session. */
bool cls_function_reads(const char *name);

#endif
