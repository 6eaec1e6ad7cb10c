#ifndef SCTX_H
#define SCTX_H

/*
 * Session context (prefix sctx_): the session values (SET) and prepared
 * statements that a session's statements depend on. A backend connection is
 * brought to this context before it runs a statement of the session.
 */

#include "stmt.h"

enum { SCTX_BACKEND_NAME_LEN = 20 /* bytes, with the terminating zero */ };

struct sctx_value {
	char *name;
	char *value;
};

/* A prepared statement of a session. The name under which backends know it is
 * derived from its content, so that sessions with the same statement share it,
 * and names of different sessions never collide. */
struct sctx_prepared {
	char *name; /* name that the session gave it */
	char *statement_text;
	bool writes;
	uint64_t content_hash;
	char backend_name[SCTX_BACKEND_NAME_LEN];
};

struct sctx {
	struct sctx_value *values;
	size_t nvalues;
	uint64_t session_values_hash; /* hash of the values; 0 if there are none
				       */
	struct sctx_prepared *prepared;
	size_t nprepared;
};

void sctx_set(struct sctx *c, struct span name, struct span value);
void sctx_prepare(struct sctx *c, struct span name, bool writes,
		  struct span shape);
const struct sctx_prepared *sctx_find(const struct sctx *c, struct span name);
void sctx_deallocate(struct sctx *c, struct span name);
void sctx_free(struct sctx *c);

#endif
