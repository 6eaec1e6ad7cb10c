#include "result.h"

#include <stddef.h>

struct res_row {
	enum res code;
	const char *name;
	const char *sqlstate;
	enum res_ran ran;
	const char *text;
};

static const struct res_row rows[] = {
#define X(n, num, state, r, t) {RES_##n, #n, state, RES_RAN_##r, t},
	RES_TABLE(X)
#undef X
};

static const struct res_row *res_find(enum res r)
{
	for (size_t i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		if (rows[i].code == r)
			return &rows[i];
	return res_find(RES_INTERNAL);
}

const char *res_name(enum res r)
{
	return res_find(r)->name;
}

const char *res_sqlstate(enum res r)
{
	return res_find(r)->sqlstate;
}

const char *res_text(enum res r)
{
	return res_find(r)->text;
}

enum res_ran res_ran(enum res r)
{
	return res_find(r)->ran;
}
