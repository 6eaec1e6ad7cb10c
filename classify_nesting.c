#include "classify.h"

#include <pg_query.h>
#include <pg_query/pg_query.pb-c.h>
#include <stdlib.h>
#include <string.h>

/*
 * Computes an upper bound of the depth of a syntax tree from the tokens alone
 * (prefix nst_, for nesting).
 *
 * libpg_query builds and serializes trees recursively and overflows the stack
 * at some 20,000 levels, as in 1+1+1+..., so the depth has to be checked before
 * a text is parsed. Every level of a tree comes from at least one token that is
 * neither a name nor a constant, so counting these tokens gives a bound.
 *
 * Siblings, which are separated by commas, AND or OR, don't add to each other's
 * depth, so the count starts anew after a separator. Set operations, joins and
 * BETWEEN nest across separators, so they count until the enclosing parenthesis
 * is closed.
 */

/* Counts inside one pair of parentheses. */
struct nst_level {
	int since_separator; /* tokens since the last separator */
	int across_separators; /* tokens that nest across separators */
};

struct nst {
	struct nst_level *levels;
	size_t n;
	size_t cap;
	long enclosing_depth; /* depth that the enclosing levels add up to */
	long max_depth;
};

static void nst_open(struct nst *s)
{
	struct nst_level *top = &s->levels[s->n - 1];

	s->enclosing_depth += top->since_separator + top->across_separators + 1;
	if (s->n == s->cap) {
		s->cap *= 2;
		s->levels = realloc(s->levels, s->cap * sizeof(*s->levels));
		if (!s->levels)
			abort();
	}
	s->levels[s->n++] = (struct nst_level){0};
}

static void nst_close(struct nst *s)
{
	const struct nst_level *top;

	if (s->n == 1)
		return;
	s->n--;
	top = &s->levels[s->n - 1];
	s->enclosing_depth -= top->since_separator + top->across_separators + 1;
}

static void nst_token(struct nst *s, PgQuery__Token token)
{
	struct nst_level *top = &s->levels[s->n - 1];

	switch (token) {
	case PG_QUERY__TOKEN__ASCII_40: /* ( */
	case PG_QUERY__TOKEN__ASCII_91: /* [ */
	case PG_QUERY__TOKEN__CASE:
		nst_open(s);
		break;
	case PG_QUERY__TOKEN__ASCII_41: /* ) */
	case PG_QUERY__TOKEN__ASCII_93: /* ] */
	case PG_QUERY__TOKEN__END_P:
		nst_close(s);
		break;
	case PG_QUERY__TOKEN__ASCII_59: /* ; */
		s->n = 1;
		s->enclosing_depth = 0;
		s->levels[0] = (struct nst_level){0};
		break;
	case PG_QUERY__TOKEN__ASCII_44: /* , */
	case PG_QUERY__TOKEN__AND:
	case PG_QUERY__TOKEN__OR:
		top->since_separator = 0;
		break;
	case PG_QUERY__TOKEN__UNION:
	case PG_QUERY__TOKEN__INTERSECT:
	case PG_QUERY__TOKEN__EXCEPT:
	case PG_QUERY__TOKEN__JOIN:
	case PG_QUERY__TOKEN__BETWEEN:
		top->across_separators++;
		break;
	case PG_QUERY__TOKEN__IDENT:
	case PG_QUERY__TOKEN__ICONST:
	case PG_QUERY__TOKEN__FCONST:
	case PG_QUERY__TOKEN__SCONST:
	case PG_QUERY__TOKEN__PARAM:
	case PG_QUERY__TOKEN__SQL_COMMENT:
	case PG_QUERY__TOKEN__C_COMMENT:
		break;
	default:
		top->since_separator++;
	}
	top = &s->levels[s->n - 1];
	if (s->enclosing_depth + top->since_separator + top->across_separators >
	    s->max_depth)
		s->max_depth = s->enclosing_depth + top->since_separator +
			       top->across_separators;
}

static long nst_max_depth(const PgQuery__ScanResult *tokens)
{
	struct nst s = {.n = 1, .cap = 64};

	s.levels = calloc(s.cap, sizeof(*s.levels));
	if (!s.levels)
		abort();
	for (size_t i = 0; i < tokens->n_tokens; i++)
		nst_token(&s, tokens->tokens[i]->token);
	free(s.levels);
	return s.max_depth;
}

enum res cls_check_nesting(const char *sql, int max, struct err *e)
{
	PgQueryScanResult scan = pg_query_scan(sql);
	PgQuery__ScanResult *tokens = NULL;
	enum res r = RES_OK;

	/* A text that the scanner rejects is left to the parser, which reports
	 * the error. */
	if (!scan.error)
		tokens = pg_query__scan_result__unpack(
			NULL, scan.pbuf.len, (const uint8_t *)scan.pbuf.data);
	if (tokens && nst_max_depth(tokens) > max)
		r = err_set(e, RES_TOO_LARGE,
			    "statement nests deeper than %d levels", max);
	if (tokens)
		pg_query__scan_result__free_unpacked(tokens, NULL);
	pg_query_free_scan_result(scan);
	return r;
}
