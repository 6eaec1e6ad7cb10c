#include "caller_priv.h"

#include <stdlib.h>
#include <string.h>

/* The prepared statements and portals of a caller. */

struct extended_state *caller_extended_state(struct caller *c)
{
	if (!c->extended_state)
		c->extended_state = calloc(1, sizeof(*c->extended_state));
	if (!c->extended_state)
		abort();
	return c->extended_state;
}

void caller_statement_unref(struct prepared_statement *p)
{
	if (!p || --p->refcount)
		return;
	free(p->sql);
	free(p->param_types);
	free(p);
}

struct prepared_statement *caller_statement_find(struct caller *c,
						 const char *name)
{
	struct named_statement *n;

	if (!c->extended_state)
		return NULL;
	if (!*name)
		return c->extended_state->unnamed_statement;
	HASH_FIND_STR(c->extended_state->named_statements, name, n);
	return n ? n->prep : NULL;
}

static void statement_drop_named(struct extended_state *ext,
				 struct named_statement *n)
{
	HASH_DEL(ext->named_statements, n);
	caller_statement_unref(n->prep);
	free(n->name);
	free(n);
}

void caller_statement_close(struct caller *c, const char *name)
{
	struct extended_state *ext = c->extended_state;
	struct named_statement *n;

	if (!ext)
		return;
	if (!*name) {
		caller_statement_unref(ext->unnamed_statement);
		ext->unnamed_statement = NULL;
		return;
	}
	HASH_FIND_STR(ext->named_statements, name, n);
	if (n)
		statement_drop_named(ext, n);
}

static char *statement_copy_name(const char *name)
{
	char *copy = strdup(name);

	if (!copy)
		abort();
	return copy;
}

enum res caller_statement_store(struct caller *c, const char *name,
				struct prepared_statement *prep, struct err *e)
{
	struct extended_state *ext = caller_extended_state(c);
	struct named_statement *n;

	if (!*name) {
		caller_statement_unref(ext->unnamed_statement);
		ext->unnamed_statement = prep;
		return RES_OK;
	}
	if (HASH_COUNT(ext->named_statements) >= CALLER_MAX_STATEMENTS)
		return err_set(e, RES_TOO_LARGE,
			       "more than %d prepared statements",
			       CALLER_MAX_STATEMENTS);
	n = calloc(1, sizeof(*n));
	if (!n)
		abort();
	n->name = statement_copy_name(name);
	n->prep = prep;
	HASH_ADD_KEYPTR(hh, ext->named_statements, n->name, strlen(n->name), n);
	return RES_OK;
}

struct portal *caller_portal_find(struct caller *c, const char *name)
{
	struct portal *p = NULL;

	if (c->extended_state)
		HASH_FIND_STR(c->extended_state->portals, name, p);
	return p;
}

void caller_portal_free(struct portal *p)
{
	if (!p)
		return;
	for (int i = 0; i < p->nparams; i++)
		free((char *)p->params[i].value.data);
	free(p->params);
	caller_statement_unref(p->prep);
	buf_free(&p->unfetched);
	free(p->name);
	free(p);
}

void caller_portal_close(struct caller *c, const char *name)
{
	struct portal *p = caller_portal_find(c, name);

	if (!p)
		return;
	if (c->extended_state->pending_describe == p)
		c->extended_state->pending_describe = NULL;
	HASH_DEL(c->extended_state->portals, p);
	caller_portal_free(p);
}

enum res caller_portal_store(struct caller *c, const char *name,
			     struct portal *p, struct err *e)
{
	struct extended_state *ext = caller_extended_state(c);

	if (HASH_COUNT(ext->portals) >= CALLER_MAX_PORTALS)
		return err_set(e, RES_TOO_LARGE, "more than %d portals",
			       CALLER_MAX_PORTALS);
	p->name = statement_copy_name(name);
	HASH_ADD_KEYPTR(hh, ext->portals, p->name, strlen(p->name), p);
	return RES_OK;
}

/* Frees all portals, as they last until the end of the transaction. Then frees
 * the state of the extended protocol if it has become empty. */
void caller_portals_free(struct caller *c)
{
	struct portal *p;
	struct portal *next;

	if (!c->extended_state)
		return;
	c->extended_state->pending_describe = NULL;
	HASH_ITER (hh, c->extended_state->portals, p, next) {
		HASH_DEL(c->extended_state->portals, p);
		caller_portal_free(p);
	}
	if (c->extended_state->named_statements ||
	    c->extended_state->unnamed_statement)
		return;
	free(c->extended_state);
	c->extended_state = NULL;
}

void caller_extended_state_free(struct caller *c)
{
	if (!c->extended_state)
		return;
	while (c->extended_state->named_statements)
		statement_drop_named(c->extended_state,
				     c->extended_state->named_statements);
	caller_statement_unref(c->extended_state->unnamed_statement);
	c->extended_state->unnamed_statement = NULL;
	caller_portals_free(c);
}
