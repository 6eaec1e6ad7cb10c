#ifndef TOKEN_H
#define TOKEN_H

/*
 * Session tokens: what a session has written, as positions in the logs of
 * database groups. The text form is a comma-separated list of
 * "group/term/position"; callers treat it as opaque.
 */

#include "cluster.h"
#include "error.h"

#include <stddef.h>

enum {
	TOK_MAX = 8, /* entries of a token */
	TOK_TEXT_LEN = TOK_MAX * (ID_LEN + 42)
};

struct tok_entry {
	char group[ID_LEN];
	int64_t term;
	int64_t position;
};

struct token {
	struct tok_entry entries[TOK_MAX];
	int n;
};

/* Parses the text form; the token is unchanged on failure. */
enum res tok_parse(struct token *t, const char *text, struct err *e);

/* Writes the text form into out, which holds TOK_TEXT_LEN bytes. */
void tok_format(const struct token *t, char *out);

/* The entry of a group, or NULL. */
const struct tok_entry *tok_find(const struct token *t, const char *group);

/*
 * Raises the entry of a group to (term, position) if that is newer. When the
 * token is full, the oldest entry makes room; the caller then loses
 * read-your-writes for a group it wrote before eight others.
 */
void tok_raise(struct token *t, const char *group, int64_t term,
	       int64_t position);

/*
 * Tells whether the log of a later term contains position p of term t, by the
 * starts of the terms in between. A term whose start is no longer kept counts
 * as containing it only if every kept later term does.
 */
bool tok_contained(const struct term_start *starts, int64_t nstarts,
		   int64_t term, int64_t position, int64_t later_term);

#endif
