#ifndef REQUEST_OUTCOME_H
#define REQUEST_OUTCOME_H

/*
 * Recorded outcomes of requests that carry a request id. They make a write
 * idempotent: a request that is sent again gets the recorded outcome instead
 * of running again, so it takes effect at most once.
 *
 * An outcome is a row of the table marjoramlatch_requests in the group's own
 * database. It is written in the transaction of the request, so it exists if
 * and only if the request was committed. The statements below create the
 * table, insert the row, store its outcome, read it for a repeated request and
 * delete old rows.
 *
 * The outcome column holds the command tag, a line feed and the messages of
 * the answer in base64, or "-" in their place if they were too large to keep.
 * It is empty for an explicit transaction.
 */

#include "buf.h"

#include <stdbool.h>

enum {
	OUTCOME_MAX_ANSWER = 8192, /* bytes; longer answers are not kept */
	OUTCOME_TAG_LEN = 64,
	OUTCOME_DELETE_ROWS = 100 /* rows deleted by one statement */
};

/* How long an outcome is kept: 7 days. */
#define OUTCOME_RETENTION_MS (7LL * 24 * 3600 * 1000)

#define OUTCOME_CREATE_TABLE_SQL                                         \
	"CREATE TABLE IF NOT EXISTS marjoramlatch_requests ("            \
	"customer text, request_id text, outcome text, created bigint, " \
	"PRIMARY KEY (customer, request_id))"
/* Run before the request. The insert fails if the request id was committed
 * before. */
#define OUTCOME_INSERT_SQL                    \
	"INSERT INTO marjoramlatch_requests " \
	"(customer, request_id, outcome, created) VALUES ($1, $2, '', $3)"
/* The same with literals instead of parameters, to be put in front of a batch
 * of statements. */
#define OUTCOME_INSERT_BATCH_SQL                           \
	"BEGIN; INSERT INTO marjoramlatch_requests "       \
	"(customer, request_id, outcome, created) VALUES " \
	"(%s, %s, '', %lld); "
#define OUTCOME_UPDATE_SQL                                \
	"UPDATE marjoramlatch_requests SET outcome = $3 " \
	"WHERE customer = $1 AND request_id = $2"
/* Reads the outcome of an earlier run. It is an update because that writes a
 * log entry after the one of the first commit: once a majority of the members
 * holds this entry, a majority holds the first commit too. */
#define OUTCOME_READ_SQL                                           \
	"UPDATE marjoramlatch_requests SET created = created + 1 " \
	"WHERE customer = $1 AND request_id = $2 RETURNING outcome"
#define OUTCOME_DELETE_OLD_SQL                                    \
	"DELETE FROM marjoramlatch_requests WHERE request_id IN " \
	"(SELECT request_id FROM marjoramlatch_requests "         \
	"WHERE created < $1 LIMIT 100) AND created < $1"

/* Appends the text of the outcome column to out. */
void outcome_encode(struct buf *out, const char *tag, const char *answer,
		    size_t len);

/*
 * Parses the text of the outcome column: writes the command tag into tag, which
 * must hold OUTCOME_TAG_LEN bytes, and appends the messages of the answer to
 * out. Returns false if the answer was not kept.
 */
bool outcome_decode(const char *text, char *tag, struct buf *out);

#endif
