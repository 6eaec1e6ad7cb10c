#ifndef ANSWER_H
#define ANSWER_H

/*
 * Converts results of libpq to the PostgreSQL messages that a caller gets.
 * All functions append to out.
 */

#include "buf.h"

#include <libpq-fe.h>
#include <stdbool.h>

void ans_row_description(struct buf *out, const PGresult *res);
void ans_rows(struct buf *out, const PGresult *res);

/* CommandComplete, or EmptyQueryResponse for an empty statement. */
void ans_complete(struct buf *out, PGresult *res);

/* ErrorResponse or NoticeResponse with SQLSTATE, detail and hint. */
void ans_error(struct buf *out, const PGresult *res);
void ans_notice(struct buf *out, const PGresult *res);

/* ParameterDescription and RowDescription or NoData. */
void ans_describe(struct buf *out, const PGresult *res);

/* SQLSTATE of an error result, "" if it has none. */
const char *ans_sqlstate(const PGresult *res);

#endif
