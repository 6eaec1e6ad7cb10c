#include "classify.h"

#include <pg_query.h>
#include <pg_query/pg_query.pb-c.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#define CLS_SETTING_PREFIX "marjoramlatch."
#define CLS_CURSOR_HOLD 0x0020 /* CURSOR_OPT_HOLD of PostgreSQL 15 */

/* Texts up to this size in bytes can't be nested so deeply that the parser's
 * stack overflows, so their nesting isn't checked. */
#define CLS_UNCHECKED_TEXT 2048

/* Longer texts, such as inserts of many rows, get the hash of their first
 * CLS_FINGERPRINT_PREFIX bytes as the fingerprint, because libpg_query would
 * parse the text a second time for its fingerprint. */
#define CLS_MAX_FINGERPRINT_TEXT 8192
#define CLS_FINGERPRINT_PREFIX 64 /* bytes */

/* Effects of a statement, found by a walk over its syntax tree. */
struct cls_effects {
	bool writes;
	bool session; /* changes the state of the session */
};

static void cls_walk(const ProtobufCMessage *m, struct cls_effects *effects);

static void cls_walk_function(const PgQuery__FuncCall *call,
			      struct cls_effects *effects)
{
	const PgQuery__Node *last;
	const char *name;

	if (!call->n_funcname)
		return;
	last = call->funcname[call->n_funcname - 1];
	if (last->node_case != PG_QUERY__NODE__NODE_STRING)
		return;
	name = last->string->sval;
	if (!strcmp(name, "set_config") ||
	    (strstr(name, "advisory_lock") && !strstr(name, "xact")) ||
	    strstr(name, "advisory_unlock"))
		effects->session = true;
	if (call->n_funcname > 1 &&
	    strcmp(call->funcname[0]->string->sval, "pg_catalog") != 0)
		effects->writes = true;
	else if (!cls_function_is_read_only(name))
		effects->writes = true;
}

static void cls_walk_relation(const PgQuery__RangeVar *v,
			      struct cls_effects *effects)
{
	if (!strcmp(v->relpersistence, "t") ||
	    !strncmp(v->schemaname, "pg_temp", 7))
		effects->session = true;
}

/* Records the effects of one message of the tree, without its children. */
static void cls_note_effects(const ProtobufCMessage *m,
			     struct cls_effects *effects)
{
	const ProtobufCMessageDescriptor *d = m->descriptor;

	if (d == &pg_query__func_call__descriptor) {
		cls_walk_function((const PgQuery__FuncCall *)m, effects);
	} else if (d == &pg_query__range_var__descriptor) {
		cls_walk_relation((const PgQuery__RangeVar *)m, effects);
	} else if (d == &pg_query__select_stmt__descriptor) {
		const PgQuery__SelectStmt *s = (const PgQuery__SelectStmt *)m;

		if (s->n_locking_clause || s->into_clause)
			effects->writes = true;
	} else if (d == &pg_query__insert_stmt__descriptor ||
		   d == &pg_query__update_stmt__descriptor ||
		   d == &pg_query__delete_stmt__descriptor ||
		   d == &pg_query__merge_stmt__descriptor) {
		effects->writes = true;
	}
}

static void cls_walk_field(const ProtobufCMessage *m,
			   const ProtobufCFieldDescriptor *f,
			   struct cls_effects *effects)
{
	const char *base = (const char *)m;

	if (f->type != PROTOBUF_C_TYPE_MESSAGE)
		return;
	if (f->label == PROTOBUF_C_LABEL_REPEATED) {
		size_t n = *(const size_t *)(base + f->quantifier_offset);
		ProtobufCMessage *const *list =
			*(ProtobufCMessage *const *const *)(base + f->offset);

		for (size_t i = 0; i < n; i++)
			cls_walk(list[i], effects);
		return;
	}
	if ((f->flags & PROTOBUF_C_FIELD_FLAG_ONEOF) &&
	    *(const uint32_t *)(base + f->quantifier_offset) != f->id)
		return;
	const ProtobufCMessage *child =
		*(ProtobufCMessage *const *)(base + f->offset);

	if (child)
		cls_walk(child, effects);
}

/* Visits a tree recursively; cls_check_nesting() has bounded its depth. */
static void cls_walk(const ProtobufCMessage *m, struct cls_effects *effects)
{
	const ProtobufCMessageDescriptor *d = m->descriptor;

	cls_note_effects(m, effects);
	if (d == &pg_query__node__descriptor) {
		/* A node has 230 fields of which only one is set, so the others
		 * are not visited. */
		const ProtobufCFieldDescriptor *f =
			protobuf_c_message_descriptor_get_field(
				d, ((const PgQuery__Node *)m)->node_case);

		if (f)
			cls_walk_field(m, f, effects);
		return;
	}
	for (unsigned int i = 0; i < d->n_fields; i++)
		cls_walk_field(m, &d->fields[i], effects);
}

static enum cls_kind cls_kind_by_effects(const PgQuery__Node *node, bool write)
{
	struct cls_effects effects = {.writes = write};

	cls_walk(&node->base, &effects);
	if (effects.session)
		return CLS_SESSION;
	return effects.writes ? CLS_WRITE : CLS_READ;
}

static enum cls_kind cls_kind_of_transaction(const PgQuery__TransactionStmt *t)
{
	switch (t->kind) {
	case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_BEGIN:
	case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_START:
		return CLS_BEGIN;
	case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_COMMIT:
		return CLS_COMMIT;
	case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_ROLLBACK:
		return CLS_ROLLBACK;
	case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_SAVEPOINT:
	case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_RELEASE:
	case PG_QUERY__TRANSACTION_STMT_KIND__TRANS_STMT_ROLLBACK_TO:
		return CLS_SAVEPOINT;
	default:
		return CLS_TWO_PHASE;
	}
}

static bool cls_is_own_setting(const char *name)
{
	return !strncasecmp(name, CLS_SETTING_PREFIX,
			    strlen(CLS_SETTING_PREFIX));
}

static enum cls_kind cls_kind_of_set(const PgQuery__VariableSetStmt *v)
{
	if (cls_is_own_setting(v->name))
		return CLS_SETTING;
	/* These settings end with the transaction, and a transaction has a
	 * connection of its own. */
	if (v->is_local || !strcmp(v->name, "TRANSACTION"))
		return CLS_READ;
	return CLS_SESSION;
}

/* True if EXPLAIN runs its statement, which it does only with ANALYZE. */
static bool cls_explain_runs(const PgQuery__ExplainStmt *x)
{
	bool runs = false;

	for (size_t i = 0; i < x->n_options; i++) {
		const PgQuery__DefElem *o = x->options[i]->def_elem;

		if (x->options[i]->node_case == PG_QUERY__NODE__NODE_DEF_ELEM &&
		    !strcasecmp(o->defname, "analyze"))
			runs = true;
	}
	return runs;
}

static enum cls_kind cls_kind_of_statement(const PgQuery__Node *node)
{
	switch (node->node_case) {
	case PG_QUERY__NODE__NODE_SELECT_STMT:
		return cls_kind_by_effects(node, false);
	case PG_QUERY__NODE__NODE_TRANSACTION_STMT:
		return cls_kind_of_transaction(node->transaction_stmt);
	case PG_QUERY__NODE__NODE_VARIABLE_SET_STMT:
		return cls_kind_of_set(node->variable_set_stmt);
	case PG_QUERY__NODE__NODE_VARIABLE_SHOW_STMT:
		return cls_is_own_setting(node->variable_show_stmt->name)
			       ? CLS_SETTING
			       : CLS_READ;
	case PG_QUERY__NODE__NODE_EXPLAIN_STMT:
		if (!cls_explain_runs(node->explain_stmt))
			return CLS_READ;
		return cls_kind_of_statement(node->explain_stmt->query);
	case PG_QUERY__NODE__NODE_COPY_STMT:
		return CLS_COPY;
	case PG_QUERY__NODE__NODE_DECLARE_CURSOR_STMT:
		if (node->declare_cursor_stmt->options & CLS_CURSOR_HOLD)
			return CLS_SESSION;
		return cls_kind_by_effects(node, false);
	case PG_QUERY__NODE__NODE_FETCH_STMT:
	case PG_QUERY__NODE__NODE_CLOSE_PORTAL_STMT:
		return CLS_READ;
	case PG_QUERY__NODE__NODE_PREPARE_STMT:
	case PG_QUERY__NODE__NODE_LISTEN_STMT:
	case PG_QUERY__NODE__NODE_UNLISTEN_STMT:
	case PG_QUERY__NODE__NODE_DISCARD_STMT:
	case PG_QUERY__NODE__NODE_LOAD_STMT:
		return CLS_SESSION;
	default:
		return cls_kind_by_effects(node, true);
	}
}

/* Class of a text with two statements: the first class in order that one of
 * them has, or CLS_MIXED if b is none of these classes. */
static enum cls_kind cls_combine(enum cls_kind a, enum cls_kind b)
{
	static const enum cls_kind order[] = {CLS_COPY, CLS_SESSION, CLS_WRITE,
					      CLS_READ};
	bool known = false;

	for (size_t i = 0; i < sizeof(order) / sizeof(order[0]); i++)
		known |= order[i] == b;
	if (!known)
		return CLS_MIXED;
	for (size_t i = 0; i < sizeof(order) / sizeof(order[0]); i++)
		if (order[i] == a || order[i] == b)
			return order[i];
	return CLS_MIXED;
}

static void cls_statements(const PgQuery__ParseResult *tree, struct cls *out)
{
	out->kind = CLS_EMPTY;
	out->multiple_statements = tree->n_stmts > 1;
	for (size_t i = 0; i < tree->n_stmts; i++) {
		enum cls_kind kind =
			cls_kind_of_statement(tree->stmts[i]->stmt);

		if (i == 0)
			out->kind = kind;
		else if (out->kind != CLS_MIXED)
			out->kind = cls_combine(kind, out->kind);
		if (i && out->kind != CLS_MIXED)
			out->kind = cls_combine(out->kind, kind);
	}
}

/* True for a command of the replication protocol. The parser rejects these
 * because they are not SQL. */
static bool cls_is_replication(const char *sql)
{
	static const char *const commands[] = {"IDENTIFY_SYSTEM",
					       "START_REPLICATION",
					       "CREATE_REPLICATION_SLOT",
					       "DROP_REPLICATION_SLOT",
					       "READ_REPLICATION_SLOT",
					       "TIMELINE_HISTORY",
					       "BASE_BACKUP"};

	for (size_t i = 0; i < sizeof(commands) / sizeof(commands[0]); i++)
		if (!strncasecmp(sql, commands[i], strlen(commands[i])))
			return true;
	return false;
}

static enum res cls_parse_tree(const char *sql, PgQuery__ParseResult **tree,
			       struct err *e)
{
	PgQueryProtobufParseResult parsed;
	enum res r = RES_OK;

	*tree = NULL;
	if (strlen(sql) > CLS_MAX_TEXT)
		return err_set(e, RES_TOO_LARGE,
			       "statement is longer than %d bytes; pass large "
			       "values as parameters",
			       CLS_MAX_TEXT);
	if (strlen(sql) > CLS_UNCHECKED_TEXT &&
	    cls_check_nesting(sql, CLS_MAX_NESTING, e) != RES_OK)
		return RES_TOO_LARGE;
	parsed = pg_query_parse_protobuf(sql);
	if (parsed.error)
		r = err_set(e, RES_BAD_SQL, "%s", parsed.error->message);
	else
		*tree = pg_query__parse_result__unpack(
			NULL, parsed.parse_tree.len,
			(const uint8_t *)parsed.parse_tree.data);
	pg_query_free_protobuf_parse_result(parsed);
	if (r == RES_OK && !*tree)
		r = err_set(e, RES_BAD_SQL, "statement can't be analysed");
	return r;
}

static int64_t cls_fingerprint(const char *sql)
{
	PgQueryFingerprintResult result;
	int64_t fingerprint = 0;

	if (strlen(sql) > CLS_MAX_FINGERPRINT_TEXT)
		return (int64_t)XXH3_64bits(sql, CLS_FINGERPRINT_PREFIX);
	result = pg_query_fingerprint(sql);
	if (!result.error)
		fingerprint = (int64_t)result.fingerprint;
	pg_query_free_fingerprint_result(result);
	return fingerprint;
}

enum res cls_parse(const char *sql, struct cls *out, struct err *e)
{
	PgQuery__ParseResult *tree;
	enum res r;

	*out = (struct cls){.kind = CLS_REPLICATION};
	if (cls_is_replication(sql))
		return RES_OK;
	r = cls_parse_tree(sql, &tree, e);
	if (r != RES_OK)
		return r;
	cls_statements(tree, out);
	pg_query__parse_result__free_unpacked(tree, NULL);
	out->fingerprint = cls_fingerprint(sql);
	return RES_OK;
}

static enum res cls_constant(const PgQuery__Node *node, char *out)
{
	const PgQuery__AConst *c = node->a_const;
	int n = -1;

	if (node->node_case != PG_QUERY__NODE__NODE_A_CONST)
		return RES_BAD_SETTING;
	switch (c->val_case) {
	case PG_QUERY__A__CONST__VAL_IVAL:
		n = snprintf(out, CLS_VALUE_LEN, "%d", c->ival->ival);
		break;
	case PG_QUERY__A__CONST__VAL_FVAL:
		n = snprintf(out, CLS_VALUE_LEN, "%s", c->fval->fval);
		break;
	case PG_QUERY__A__CONST__VAL_SVAL:
		n = snprintf(out, CLS_VALUE_LEN, "%s", c->sval->sval);
		break;
	case PG_QUERY__A__CONST__VAL_BOOLVAL:
		n = snprintf(out, CLS_VALUE_LEN, "%s",
			     c->boolval->boolval ? "on" : "off");
		break;
	default:
		break;
	}
	return n >= 0 && n < CLS_VALUE_LEN ? RES_OK : RES_BAD_SETTING;
}

static enum res cls_set_statement(const PgQuery__VariableSetStmt *v,
				  struct cls_setting *out, struct err *e)
{
	snprintf(out->name, sizeof(out->name), "%s",
		 v->name + strlen(CLS_SETTING_PREFIX));
	if (v->kind != PG_QUERY__VARIABLE_SET_KIND__VAR_SET_VALUE) {
		out->op = CLS_RESET;
		return RES_OK;
	}
	out->op = v->is_local ? CLS_SET_LOCAL : CLS_SET;
	if (v->n_args != 1 || cls_constant(v->args[0], out->value) != RES_OK)
		return err_set(e, RES_BAD_SETTING,
			       "setting %s: expected one value of at most %d "
			       "bytes",
			       v->name, CLS_VALUE_LEN - 1);
	return RES_OK;
}

enum res cls_parse_setting(const char *sql, struct cls_setting *out,
			   struct err *e)
{
	PgQuery__ParseResult *tree;
	const PgQuery__Node *node;
	enum res r = cls_parse_tree(sql, &tree, e);

	*out = (struct cls_setting){.op = CLS_SHOW};
	if (r != RES_OK)
		return r;
	node = tree->n_stmts ? tree->stmts[0]->stmt : NULL;
	if (node && node->node_case == PG_QUERY__NODE__NODE_VARIABLE_SET_STMT &&
	    cls_is_own_setting(node->variable_set_stmt->name))
		r = cls_set_statement(node->variable_set_stmt, out, e);
	else if (node &&
		 node->node_case == PG_QUERY__NODE__NODE_VARIABLE_SHOW_STMT &&
		 cls_is_own_setting(node->variable_show_stmt->name))
		snprintf(out->name, sizeof(out->name), "%s",
			 node->variable_show_stmt->name +
				 strlen(CLS_SETTING_PREFIX));
	else
		r = err_set(e, RES_BAD_SETTING,
			    "not a statement on a marjoramlatch setting");
	pg_query__parse_result__free_unpacked(tree, NULL);
	return r;
}
