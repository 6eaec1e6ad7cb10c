#include "tenants.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { MAX_TENANTS = 256, NAME_LEN = 64 };

struct tenant {
	char name[NAME_LEN];
	int statements;
};

static struct tenant tenants[MAX_TENANTS];
static int ntenants;

struct tenant *tenant_named(const char *name)
{
	for (int i = 0; i < ntenants; i++)
		if (!strcmp(tenants[i].name, name))
			return &tenants[i];
	if (ntenants == MAX_TENANTS)
		abort();
	snprintf(tenants[ntenants].name, NAME_LEN, "%s", name);
	return &tenants[ntenants++];
}

void tenant_count_statement(struct tenant *t)
{
	t->statements++;
}

int tenant_statements(const char *name)
{
	for (int i = 0; i < ntenants; i++)
		if (!strcmp(tenants[i].name, name))
			return tenants[i].statements;
	return 0;
}

void tenants_list(struct buf *out)
{
	for (int i = 0; i < ntenants; i++)
		buf_addf(out, "%s%s", i ? " " : "", tenants[i].name);
}
