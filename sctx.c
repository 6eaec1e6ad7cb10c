#include "sctx.h"

#include "buf.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <xxhash.h>

static char *sctx_copy(struct span s)
{
	char *p = malloc(s.len + 1);

	if (!p)
		abort();
	memcpy(p, s.p, s.len);
	p[s.len] = '\0';
	return p;
}

static bool sctx_equals(const char *text, struct span s)
{
	return strlen(text) == s.len && !memcmp(text, s.p, s.len);
}

static void *sctx_grow(void *list, size_t n, size_t size)
{
	list = realloc(list, (n + 1) * size);
	if (!list)
		abort();
	return list;
}

/* Hashes both parts as one text. Using one part as the hash seed does not keep
 * short texts apart. */
static uint64_t sctx_hash(const char *a, size_t alen, const char *b,
			  size_t blen)
{
	struct buf both = BUF_INIT;
	uint64_t hash;

	buf_add(&both, a, alen);
	buf_add(&both, "", 1);
	buf_add(&both, b, blen);
	hash = XXH3_64bits(buf_data(&both), buf_len(&both));
	buf_free(&both);
	return hash;
}

/* Computes a hash that does not depend on the order in which values were
 * set. */
static void sctx_rehash(struct sctx *c)
{
	c->session_values_hash = 0;
	for (size_t i = 0; i < c->nvalues; i++) {
		const struct sctx_value *v = &c->values[i];

		c->session_values_hash += sctx_hash(v->name, strlen(v->name),
						    v->value, strlen(v->value));
	}
	if (c->nvalues && !c->session_values_hash)
		c->session_values_hash = 1;
}

void sctx_set(struct sctx *c, struct span name, struct span value)
{
	struct sctx_value *v = NULL;

	for (size_t i = 0; i < c->nvalues; i++)
		if (sctx_equals(c->values[i].name, name))
			v = &c->values[i];
	if (!v) {
		c->values = sctx_grow(c->values, c->nvalues, sizeof(*v));
		v = &c->values[c->nvalues++];
		v->name = sctx_copy(name);
		v->value = NULL;
	}
	free(v->value);
	v->value = sctx_copy(value);
	sctx_rehash(c);
}

static void sctx_remove_prepared(struct sctx *c, size_t i)
{
	free(c->prepared[i].name);
	free(c->prepared[i].statement_text);
	c->prepared[i] = c->prepared[--c->nprepared];
}

void sctx_deallocate(struct sctx *c, struct span name)
{
	for (size_t i = 0; i < c->nprepared; i++)
		if (sctx_equals(c->prepared[i].name, name)) {
			sctx_remove_prepared(c, i);
			return;
		}
}

void sctx_prepare(struct sctx *c, struct span name, bool writes,
		  struct span shape)
{
	struct sctx_prepared *p;

	sctx_deallocate(c, name);
	c->prepared = sctx_grow(c->prepared, c->nprepared, sizeof(*p));
	p = &c->prepared[c->nprepared++];
	p->name = sctx_copy(name);
	p->statement_text = sctx_copy(shape);
	p->writes = writes;
	p->content_hash = sctx_hash(writes ? "W" : "R", 1, shape.p, shape.len);
	snprintf(p->backend_name, sizeof(p->backend_name), "p%016" PRIx64,
		 p->content_hash);
}

const struct sctx_prepared *sctx_find(const struct sctx *c, struct span name)
{
	for (size_t i = 0; i < c->nprepared; i++)
		if (sctx_equals(c->prepared[i].name, name))
			return &c->prepared[i];
	return NULL;
}

void sctx_free(struct sctx *c)
{
	for (size_t i = 0; i < c->nvalues; i++) {
		free(c->values[i].name);
		free(c->values[i].value);
	}
	while (c->nprepared)
		sctx_remove_prepared(c, c->nprepared - 1);
	free(c->values);
	free(c->prepared);
	memset(c, 0, sizeof(*c));
}
