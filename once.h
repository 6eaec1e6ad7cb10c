#ifndef ONCE_H
#define ONCE_H

/*
 * Outcomes of requests that carry a request id, as rows of the table
 * marjoramlatch_requests in the group's own database. The row is written in
 * the transaction of the request, so it exists exactly if the request was
 * committed.
 *
 * The text of an outcome is the command tag, a line feed and the answer's
 * messages in base64, or "-" if they were too large to keep. It is empty for
 * an explicit transaction.
 */

#include "buf.h"

#include <stdbool.h>

enum {
	ONCE_MAX_ANSWER = 8192, /* bytes of an answer that are kept */
	ONCE_TAG_LEN = 64,
	ONCE_PRUNE_ROWS = 100 /* rows deleted at a time */
};

#define ONCE_KEEP_MS (7LL * 24 * 3600 * 1000)

#define ONCE_CREATE                                                      \
	"CREATE TABLE IF NOT EXISTS marjoramlatch_requests ("            \
	"customer text, request_id text, outcome text, created bigint, " \
	"PRIMARY KEY (customer, request_id))"
#define ONCE_CLAIM                            \
	"INSERT INTO marjoramlatch_requests " \
	"(customer, request_id, outcome, created) VALUES ($1, $2, '', $3)"
/* The same with literals, in front of a batch of statements. */
#define ONCE_CLAIM_BATCH                                   \
	"BEGIN; INSERT INTO marjoramlatch_requests "       \
	"(customer, request_id, outcome, created) VALUES " \
	"(%s, %s, '', %lld); "
#define ONCE_OUTCOME                                      \
	"UPDATE marjoramlatch_requests SET outcome = $3 " \
	"WHERE customer = $1 AND request_id = $2"
/* The change makes a log entry behind the first commit; once a majority holds
 * it, a majority holds the first commit too. */
#define ONCE_REPLAY                                                \
	"UPDATE marjoramlatch_requests SET created = created + 1 " \
	"WHERE customer = $1 AND request_id = $2 RETURNING outcome"
#define ONCE_PRUNE                                                \
	"DELETE FROM marjoramlatch_requests WHERE request_id IN " \
	"(SELECT request_id FROM marjoramlatch_requests "         \
	"WHERE created < $1 LIMIT 100) AND created < $1"

/* Appends the text of an outcome. */
void once_encode(struct buf *out, const char *tag, const char *answer,
		 size_t len);

/*
 * Reads the text of an outcome: tag (ONCE_TAG_LEN bytes) and the answer's
 * messages, appended to out. Returns false if the answer was not kept.
 */
bool once_decode(const char *text, char *tag, struct buf *out);

#endif
