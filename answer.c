#include "answer.h"
#include "pgwire.h"

#include <stdlib.h>
#include <string.h>

void ans_row_description(struct buf *out, const PGresult *res)
{
	int n = PQnfields(res);
	struct pgw_column *cols = calloc((size_t)n + 1, sizeof(*cols));

	if (!cols)
		abort();
	for (int i = 0; i < n; i++)
		cols[i] = (struct pgw_column){
			.name = PQfname(res, i),
			.type = (int32_t)PQftype(res, i),
			.size = (int16_t)PQfsize(res, i),
			.format = (int16_t)PQfformat(res, i),
			.modifier = PQfmod(res, i),
			.table = (int32_t)PQftable(res, i),
			.number = (int16_t)PQftablecol(res, i),
		};
	pgw_put_row_description(out, cols, n);
	free(cols);
}

static void ans_row(struct buf *out, const PGresult *res, int row)
{
	int n = PQnfields(res);
	size_t mark = pgw_begin_data_row(out, n);

	for (int i = 0; i < n; i++) {
		if (PQgetisnull(res, row, i))
			pgw_put_null(out);
		else
			pgw_put_value(out, PQgetvalue(res, row, i),
				      PQgetlength(res, row, i));
	}
	pgw_end_data_row(out, mark);
}

void ans_rows(struct buf *out, const PGresult *res)
{
	int n = PQntuples(res);

	for (int i = 0; i < n; i++)
		ans_row(out, res, i);
}

void ans_command_complete(struct buf *out, PGresult *res)
{
	if (PQresultStatus(res) == PGRES_EMPTY_QUERY)
		pgw_put_bodyless_message(out, 'I');
	else
		pgw_put_command_complete(out, PQcmdStatus(res));
}

static const char *ans_field(const PGresult *res, int code, const char *missing)
{
	const char *text = PQresultErrorField(res, code);

	return text ? text : missing;
}

const char *ans_sqlstate(const PGresult *res)
{
	return ans_field(res, PG_DIAG_SQLSTATE, "");
}

static struct pgw_error ans_fields(const PGresult *res)
{
	return (struct pgw_error){
		.severity = ans_field(res, PG_DIAG_SEVERITY, "ERROR"),
		.sqlstate = ans_field(res, PG_DIAG_SQLSTATE, "XX000"),
		.message = ans_field(res, PG_DIAG_MESSAGE_PRIMARY, ""),
		.detail = ans_field(res, PG_DIAG_MESSAGE_DETAIL, NULL),
		.hint = ans_field(res, PG_DIAG_MESSAGE_HINT, NULL),
	};
}

void ans_error(struct buf *out, const PGresult *res)
{
	struct pgw_error error = ans_fields(res);

	/*
	 * FATAL ends the connection to the backend, but not the one to the
	 * caller.
	 */
	error.severity = "ERROR";
	pgw_put_error(out, &error);
}

void ans_notice(struct buf *out, const PGresult *res)
{
	struct pgw_error notice = ans_fields(res);

	pgw_put_notice(out, &notice);
}

void ans_statement_description(struct buf *out, const PGresult *res)
{
	int n = PQnparams(res);
	int32_t *types = calloc((size_t)n + 1, sizeof(*types));

	if (!types)
		abort();
	for (int i = 0; i < n; i++)
		types[i] = (int32_t)PQparamtype(res, i);
	pgw_put_parameter_description(out, types, n);
	free(types);
	if (PQnfields(res))
		ans_row_description(out, res);
	else
		pgw_put_bodyless_message(out, 'n');
}
