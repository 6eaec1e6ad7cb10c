#ifndef TOKEN_H
#define TOKEN_H

/*
 * Session tokens (prefix tok_). A token names the last write of a session in
 * each database group, as a term and a position in the group's replication
 * log. A read that carries the token is only served by a backend server that
 * has applied these writes; that gives the session read-your-writes.
 *
 * The text form is a comma-separated list of "group/term/position"; callers
 * treat it as opaque.
 */

#include "cluster.h"
#include "error.h"

#include <stddef.h>

enum {
	TOK_MAX_ENTRIES = 8, /* entries of a token */
	TOK_TEXT_LEN = TOK_MAX_ENTRIES * (ID_LEN + 42)
};

struct tok_entry {
	char group[ID_LEN];
	int64_t term;
	int64_t position;
};

struct token {
	struct tok_entry entries[TOK_MAX_ENTRIES];
	int n;
};

/* Parses the text form; leaves the token unchanged on failure. */
enum res tok_parse(struct token *t, const char *text, struct err *e);

/* Writes the text form into out, which must hold TOK_TEXT_LEN bytes. */
void tok_format(const struct token *t, char *out);

/* Returns the entry of a group, or NULL. */
const struct tok_entry *tok_find(const struct token *t, const char *group);

/*
 * Raises the entry of a group to (term, position) if that is newer. If the
 * token is full, the oldest entry is dropped; the caller then loses
 * read-your-writes for a group that it first wrote to before the
 * TOK_MAX_ENTRIES (8) other groups in the token.
 */
void tok_raise(struct token *t, const char *group, int64_t term,
	       int64_t position);

/*
 * True if the log of later_term still contains the position that was written
 * in term, that is, if no change of primary has lost it. Each term after term
 * up to later_term must have started at or after the position. Terms whose
 * start is no longer kept in starts are not checked, so the result then
 * depends on the kept later terms only.
 */
bool tok_contained(const struct term_start *starts, int64_t nstarts,
		   int64_t term, int64_t position, int64_t later_term);

#endif
