#include "caller_priv.h"

#include <stdlib.h>
#include <string.h>

/* Prepared statements and portals of one caller. */

struct ext *caller_ext(struct caller *c)
{
	if (!c->ext)
		c->ext = calloc(1, sizeof(*c->ext));
	if (!c->ext)
		abort();
	return c->ext;
}

void caller_prep_unref(struct prep *p)
{
	if (!p || --p->refs)
		return;
	free(p->sql);
	free(p->types);
	free(p);
}

struct prep *caller_prep_find(struct caller *c, const char *name)
{
	struct prep_named *n;

	if (!c->ext)
		return NULL;
	if (!*name)
		return c->ext->unnamed;
	HASH_FIND_STR(c->ext->named, name, n);
	return n ? n->prep : NULL;
}

static void prep_drop_named(struct ext *ext, struct prep_named *n)
{
	HASH_DEL(ext->named, n);
	caller_prep_unref(n->prep);
	free(n->name);
	free(n);
}

void caller_prep_close(struct caller *c, const char *name)
{
	struct ext *ext = c->ext;
	struct prep_named *n;

	if (!ext)
		return;
	if (!*name) {
		caller_prep_unref(ext->unnamed);
		ext->unnamed = NULL;
		return;
	}
	HASH_FIND_STR(ext->named, name, n);
	if (n)
		prep_drop_named(ext, n);
}

static char *prep_copy_name(const char *name)
{
	char *copy = strdup(name);

	if (!copy)
		abort();
	return copy;
}

enum res caller_prep_store(struct caller *c, const char *name,
			   struct prep *prep, struct err *e)
{
	struct ext *ext = caller_ext(c);
	struct prep_named *n;

	if (!*name) {
		caller_prep_unref(ext->unnamed);
		ext->unnamed = prep;
		return RES_OK;
	}
	if (HASH_COUNT(ext->named) >= CALLER_MAX_STATEMENTS)
		return err_set(e, RES_TOO_LARGE,
			       "more than %d prepared statements",
			       CALLER_MAX_STATEMENTS);
	n = calloc(1, sizeof(*n));
	if (!n)
		abort();
	n->name = prep_copy_name(name);
	n->prep = prep;
	HASH_ADD_KEYPTR(hh, ext->named, n->name, strlen(n->name), n);
	return RES_OK;
}

struct portal *caller_portal_find(struct caller *c, const char *name)
{
	struct portal *p = NULL;

	if (c->ext)
		HASH_FIND_STR(c->ext->portals, name, p);
	return p;
}

void caller_portal_free(struct portal *p)
{
	if (!p)
		return;
	for (int i = 0; i < p->nparams; i++)
		free((char *)p->params[i].value.data);
	free(p->params);
	caller_prep_unref(p->prep);
	buf_free(&p->rest);
	free(p->name);
	free(p);
}

void caller_portal_close(struct caller *c, const char *name)
{
	struct portal *p = caller_portal_find(c, name);

	if (!p)
		return;
	if (c->ext->describe == p)
		c->ext->describe = NULL;
	HASH_DEL(c->ext->portals, p);
	caller_portal_free(p);
}

enum res caller_portal_store(struct caller *c, const char *name,
			     struct portal *p, struct err *e)
{
	struct ext *ext = caller_ext(c);

	if (HASH_COUNT(ext->portals) >= CALLER_MAX_PORTALS)
		return err_set(e, RES_TOO_LARGE, "more than %d portals",
			       CALLER_MAX_PORTALS);
	p->name = prep_copy_name(name);
	HASH_ADD_KEYPTR(hh, ext->portals, p->name, strlen(p->name), p);
	return RES_OK;
}

/* Portals end with their transaction. */
void caller_portals_free(struct caller *c)
{
	struct portal *p;
	struct portal *next;

	if (!c->ext)
		return;
	c->ext->describe = NULL;
	HASH_ITER (hh, c->ext->portals, p, next) {
		HASH_DEL(c->ext->portals, p);
		caller_portal_free(p);
	}
	if (c->ext->named || c->ext->unnamed)
		return;
	free(c->ext);
	c->ext = NULL;
}

void caller_ext_free(struct caller *c)
{
	if (!c->ext)
		return;
	while (c->ext->named)
		prep_drop_named(c->ext, c->ext->named);
	caller_prep_unref(c->ext->unnamed);
	c->ext->unnamed = NULL;
	caller_portals_free(c);
}
