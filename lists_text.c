#include "buf.h"
#include "lists.h"

#include <inttypes.h>
#include <string.h>

/* Writes the canonical text of lists, and the differences between two. */

static const char *lst_durability_name(enum lst_durability d)
{
	return d == LST_DURABILITY_PRIMARY ? "primary" : "majority";
}

static void lst_append_plan(const struct plan *p, struct buf *out)
{
	buf_addf(out, "{\"name\":\"%s\",\"connections\":%" PRId64, p->name,
		 p->connections);
	buf_addf(out, ",\"max_age_ms\":%" PRId64 ",\"max_wait_ms\":%" PRId64,
		 p->max_age_ms, p->max_wait_ms);
	buf_addf(out, ",\"weight\":%" PRId64 ",\"priority\":%" PRId64,
		 p->weight, p->priority);
	buf_addf(out, ",\"retry_percent\":%" PRId64 ",\"durability\":\"%s\"}",
		 p->retry_percent, lst_durability_name(p->durability));
}

static void lst_append_databases(const struct customer *c, struct buf *out)
{
	for (int64_t i = 0; i < c->ndatabases; i++)
		buf_addf(out, "%s\"%s\"", i ? "," : "", c->databases[i]);
}

/* Names and hashes are written unescaped: the checks in lists.c admit none
 * with a character that JSON would escape. */
static void lst_append_customer(const struct lists *l, const struct customer *c,
				struct buf *out)
{
	buf_addf(out, "{\"name\":\"%s\",\"password_hash\":\"%s\"", c->name,
		 c->password_hash);
	buf_addf(out, ",\"plan\":\"%s\"", lst_customer_plan(l, c)->name);
	if (c->ndatabases) {
		buf_addstr(out, ",\"databases\":[");
		lst_append_databases(c, out);
		buf_addstr(out, "]");
	}
	buf_addstr(out, "}");
}

void lst_append_canonical(const struct lists *l, struct buf *out)
{
	buf_addstr(out, "{\"plans\":[");
	for (int64_t i = 0; i < l->nplans; i++) {
		buf_addstr(out, i ? ",\n" : "\n");
		lst_append_plan(&l->plans[i], out);
	}
	buf_addstr(out, "],\n\"customers\":[");
	for (int64_t i = 0; i < l->ncustomers; i++) {
		buf_addstr(out, i ? ",\n" : "\n");
		lst_append_customer(l, &l->customers[i], out);
	}
	buf_addstr(out, "]}\n");
}

static void lst_diff_int(const char *name, const char *key, int64_t from,
			 int64_t to, struct buf *out)
{
	if (from != to)
		buf_addf(out, "~ plan %s %s %" PRId64 " -> %" PRId64 "\n", name,
			 key, from, to);
}

static void lst_diff_plan(const struct plan *a, const struct plan *b,
			  struct buf *out)
{
	lst_diff_int(a->name, "connections", a->connections, b->connections,
		     out);
	lst_diff_int(a->name, "max_age_ms", a->max_age_ms, b->max_age_ms, out);
	lst_diff_int(a->name, "max_wait_ms", a->max_wait_ms, b->max_wait_ms,
		     out);
	lst_diff_int(a->name, "weight", a->weight, b->weight, out);
	lst_diff_int(a->name, "priority", a->priority, b->priority, out);
	lst_diff_int(a->name, "retry_percent", a->retry_percent,
		     b->retry_percent, out);
	if (a->durability != b->durability)
		buf_addf(out, "~ plan %s durability %s -> %s\n", a->name,
			 lst_durability_name(a->durability),
			 lst_durability_name(b->durability));
}

static void lst_diff_databases(const struct customer *a,
			       const struct customer *b, struct buf *out)
{
	if (a->ndatabases == b->ndatabases &&
	    !memcmp(a->databases, b->databases,
		    (size_t)a->ndatabases * sizeof(a->databases[0])))
		return;
	buf_addf(out, "~ customer %s databases %s", a->name,
		 a->ndatabases ? "" : "all");
	lst_append_databases(a, out);
	buf_addf(out, " -> %s", b->ndatabases ? "" : "all");
	lst_append_databases(b, out);
	buf_addstr(out, "\n");
}

static void lst_diff_customer(const struct lists *from,
			      const struct customer *a, const struct lists *to,
			      const struct customer *b, struct buf *out)
{
	const char *plan = lst_customer_plan(from, a)->name;
	const char *new_plan = lst_customer_plan(to, b)->name;

	if (strcmp(plan, new_plan))
		buf_addf(out, "~ customer %s plan %s -> %s\n", a->name, plan,
			 new_plan);
	if (strcmp(a->password_hash, b->password_hash))
		buf_addf(out, "~ customer %s password_hash changed\n", a->name);
	lst_diff_databases(a, b, out);
}

/* Compares the next names of two sorted lists; NULL stands for the end of a
 * list and comes after every name. */
static int lst_compare_names(const char *a, const char *b)
{
	if (!a)
		return 1;
	return b ? strcmp(a, b) : -1;
}

static void lst_diff_plans(const struct lists *from, const struct lists *to,
			   struct buf *out)
{
	int64_t i = 0;
	int64_t j = 0;

	while (i < from->nplans || j < to->nplans) {
		const struct plan *a =
			i < from->nplans ? &from->plans[i] : NULL;
		const struct plan *b = j < to->nplans ? &to->plans[j] : NULL;
		int order = lst_compare_names(a ? a->name : NULL,
					      b ? b->name : NULL);

		if (order < 0)
			buf_addf(out, "- plan %s\n", a->name);
		else if (order > 0)
			buf_addf(out, "+ plan %s\n", b->name);
		else
			lst_diff_plan(a, b, out);
		i += order <= 0;
		j += order >= 0;
	}
}

void lst_append_diff(const struct lists *from, const struct lists *to,
		     struct buf *out)
{
	int64_t i = 0;
	int64_t j = 0;

	lst_diff_plans(from, to, out);
	while (i < from->ncustomers || j < to->ncustomers) {
		const struct customer *a =
			i < from->ncustomers ? &from->customers[i] : NULL;
		const struct customer *b =
			j < to->ncustomers ? &to->customers[j] : NULL;
		int order = lst_compare_names(a ? a->name : NULL,
					      b ? b->name : NULL);

		if (order < 0)
			buf_addf(out, "- customer %s\n", a->name);
		else if (order > 0)
			buf_addf(out, "+ customer %s\n", b->name);
		else
			lst_diff_customer(from, a, to, b, out);
		i += order <= 0;
		j += order >= 0;
	}
}
