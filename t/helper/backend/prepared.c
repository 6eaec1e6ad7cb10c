#include "session.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum { OID_INT8 = 20, OID_TEXT = 25, OID_FLOAT8 = 701 };

static int count_params(const struct pstmt *ps)
{
	int n = 0;
	int i, v;

	if (ps->t.kind == K_CALL) {
		for (i = 0; i < ps->t.call.nargs; i++) {
			const char *arg = ps->t.call.args[i];

			v = *arg == '$' ? atoi(arg + 1) : 0;
			n = v > n ? v : n;
		}
		return n;
	}
	for (i = 1; i <= sqlite3_bind_parameter_count(ps->st); i++) {
		const char *name = sqlite3_bind_parameter_name(ps->st, i);

		v = name ? atoi(name + 1) : i;
		n = v > n ? v : n;
	}
	return n;
}

struct pstmt *ps_new(struct session *s, const char *name, const char *sql,
		     size_t len, struct sqlerr *e)
{
	struct pstmt *ps = calloc(1, sizeof(*ps));

	snprintf(ps->name, sizeof(ps->name), "%s", name);
	text_parse(&ps->t, sql, len);
	if (ps->t.kind == K_SQL &&
	    sqlite3_prepare_v2(s->db, ps->t.sql, -1, &ps->st, NULL)) {
		store_error(s->db, e);
		ps_free(ps);
		return NULL;
	}
	ps->nparams = count_params(ps);
	if (ps->nparams < 0 || ps->nparams > PGW_MAX_PARAMS) {
		sql_fail(e, "54000", "too many parameters");
		ps_free(ps);
		return NULL;
	}
	return ps;
}

void ps_free(struct pstmt *ps)
{
	if (!ps)
		return;
	sqlite3_finalize(ps->st);
	text_free(&ps->t);
	free(ps);
}

struct pstmt *ps_find(struct session *s, const char *name)
{
	struct pstmt *ps;

	for (ps = s->stmts; ps; ps = ps->next)
		if (!strcmp(ps->name, name))
			return ps;
	return NULL;
}

static void portal_free(struct portal *p)
{
	for (int i = 0; i < p->n; i++)
		free(p->values[i]);
	free(p->values);
	free(p);
}

static void close_portals(struct session *s, const struct pstmt *ps,
			  const char *name)
{
	struct portal **p = &s->portals;

	while (*p) {
		struct portal *closed = *p;

		if (closed->ps != ps && (!name || strcmp(closed->name, name))) {
			p = &closed->next;
			continue;
		}
		*p = closed->next;
		portal_free(closed);
	}
}

void ps_close(struct session *s, const char *name)
{
	struct pstmt **p;

	for (p = &s->stmts; *p; p = &(*p)->next) {
		struct pstmt *closed = *p;

		if (strcmp(closed->name, name))
			continue;
		*p = closed->next;
		close_portals(s, closed, NULL);
		ps_free(closed);
		return;
	}
}

void ps_close_all(struct session *s)
{
	while (s->stmts)
		ps_close(s, s->stmts->name);
}

struct portal *portal_find(struct session *s, const char *name)
{
	struct portal *p;

	for (p = s->portals; p; p = p->next)
		if (!strcmp(p->name, name))
			return p;
	return NULL;
}

void portal_close(struct session *s, const char *name)
{
	close_portals(s, NULL, name);
}

/* Reads the parameter values of a Bind message. Binary values are refused. */
static bool read_values(struct portal *p, struct pgw_reader *r, int nformats,
			struct sqlerr *e)
{
	int n = pgw_get_int16(r);

	if (n != p->ps->nparams)
		return sql_fail(e, "08P01",
				"bind message supplies %d parameters, but the "
				"statement requires %d",
				n, p->ps->nparams);
	if (nformats > 0)
		return sql_fail(e, "0A000", "binary parameters");
	p->values = calloc((size_t)n + 1, sizeof(*p->values));
	p->n = n;
	for (int i = 0; i < n; i++) {
		int32_t len = pgw_get_int32(r);
		const char *bytes;

		if (len < 0)
			continue;
		bytes = pgw_get_bytes(r, (size_t)len);
		if (bytes)
			p->values[i] = strndup(bytes, (size_t)len);
	}
	return true;
}

/* Reads a list of format codes; returns how many are not text. */
static int binary_formats(struct pgw_reader *r)
{
	int n = pgw_get_int16(r);
	int binary = 0;

	for (int i = 0; i < n && !r->bad; i++)
		binary += pgw_get_int16(r) != 0;
	return binary;
}

bool portal_bind(struct session *s, struct pgw_reader *r, struct sqlerr *e)
{
	const char *name = pgw_get_string(r);
	struct pstmt *ps = ps_find(s, pgw_get_string(r));
	struct portal *p;

	if (!ps)
		return sql_fail(e, "26000", "no such prepared statement");
	portal_close(s, name);
	p = calloc(1, sizeof(*p));
	snprintf(p->name, sizeof(p->name), "%s", name);
	p->ps = ps;
	p->next = s->portals;
	s->portals = p;
	if (!read_values(p, r, binary_formats(r), e))
		return false;
	if (binary_formats(r))
		return sql_fail(e, "0A000", "binary results");
	return !r->bad || sql_fail(e, "08P01", "malformed bind message");
}

static int32_t column_type(sqlite3_stmt *st, int i)
{
	const char *decl = sqlite3_column_decltype(st, i);

	if (decl && strcasestr(decl, "INT"))
		return OID_INT8;
	if (decl && (strcasestr(decl, "REAL") || strcasestr(decl, "DOUB") ||
		     strcasestr(decl, "FLOA")))
		return OID_FLOAT8;
	return OID_TEXT;
}

static void put_sql_columns(struct session *s, const struct pstmt *ps)
{
	int n = sqlite3_column_count(ps->st);
	struct pgw_column *cols = calloc((size_t)n, sizeof(*cols));

	for (int i = 0; i < n; i++)
		cols[i] = (struct pgw_column){
			.name = sqlite3_column_name(ps->st, i),
			.type = column_type(ps->st, i),
			.size = -1,
			.modifier = -1,
		};
	pgw_put_row_description(s->out, cols, n);
	free(cols);
}

static void put_call_columns(struct session *s, enum fn fn)
{
	const char *const *names;
	int n = fn_columns(fn, &names);
	struct pgw_column cols[16] = {0};

	for (int i = 0; i < n; i++) {
		bool text = !strcmp(names[i], "role") ||
			    !strcmp(names[i], "sql") || fn == FN_FOLLOW;

		cols[i].name = names[i];
		cols[i].type = text ? OID_TEXT : OID_INT8;
		cols[i].size = text ? -1 : 8;
		cols[i].modifier = -1;
	}
	pgw_put_row_description(s->out, cols, n);
}

void ps_put_row_description(struct session *s, const struct pstmt *ps)
{
	const char *setting = "setting";

	if (ps->t.kind == K_CALL)
		put_call_columns(s, ps->t.call.fn);
	else if (ps->t.kind == K_SHOW)
		pgw_put_text_row_description(s->out, &setting, 1);
	else if (ps->st && sqlite3_column_count(ps->st))
		put_sql_columns(s, ps);
	else
		pgw_put_bodyless_message(s->out, 'n');
}

void ps_describe(struct session *s, const struct pstmt *ps)
{
	int32_t types[PGW_MAX_PARAMS];

	for (int i = 0; i < ps->nparams; i++)
		types[i] = OID_TEXT;
	pgw_put_parameter_description(s->out, types, ps->nparams);
	ps_put_row_description(s, ps);
}
