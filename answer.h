#ifndef ANSWER_H
#define ANSWER_H

/*
 * Converts libpq results to the PostgreSQL protocol messages that are sent to
 * the caller as the answer (ans_). All functions append to out.
 */

#include "buf.h"

#include <libpq-fe.h>
#include <stdbool.h>

void ans_row_description(struct buf *out, const PGresult *res);
void ans_rows(struct buf *out, const PGresult *res);

/* CommandComplete, or EmptyQueryResponse for an empty statement. */
void ans_command_complete(struct buf *out, PGresult *res);

/* ErrorResponse or NoticeResponse with SQLSTATE, detail and hint. */
void ans_error(struct buf *out, const PGresult *res);
void ans_notice(struct buf *out, const PGresult *res);

/*
 * ParameterDescription, then RowDescription, or NoData if there are no columns.
 */
void ans_statement_description(struct buf *out, const PGresult *res);

/* The SQLSTATE of an error result, or "" if it has none. */
const char *ans_sqlstate(const PGresult *res);

#endif
