#ifndef TENANTS_H
#define TENANTS_H

/* The names that proxies gave with the STARTUP of their connections, and how
 * many statements ran under each. */

#include "buf.h"

struct tenant;

/* The entry of a name; a new one is made if needed. */
struct tenant *tenant_named(const char *name);

/* Counts a statement with an id of a caller that has succeeded. */
void tenant_count_statement(struct tenant *t);
int tenant_statements(const char *name);

/* Writes all names, separated by blanks. */
void tenants_list(struct buf *out);

#endif
