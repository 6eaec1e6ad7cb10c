#ifndef PGWIRE_H
#define PGWIRE_H

/*
 * Server side of PostgreSQL's wire protocol, version 3 (prefix pgw).
 *
 * Debian has no library for the server side, so this module is the only
 * hand-written codec of the project. It splits a byte stream into messages,
 * reads the fields of messages that a client sends, and writes the messages
 * that a server sends. It has no knowledge of sessions. All lengths are
 * bounded. A reader that runs past the end of its message sets its error flag
 * and returns zero values from then on.
 *
 * Input is a struct buf. pgw_next_message() returns one complete message at a
 * time without copying it; the message is valid until the buffer changes. The
 * user of this module consumes pgw_msg.total bytes after handling the message.
 */

#include "buf.h"
#include "error.h"

#include <stdbool.h>
#include <stdint.h>

enum {
	PGW_MAX_STARTUP_LEN = 10000, /* bytes, as in PostgreSQL */
	PGW_MAX_MESSAGE_LEN = 4 << 20, /* bytes of one message */
	PGW_PROTOCOL_3_0 = 196608, /* protocol version 3.0 */
	PGW_CANCEL_REQUEST = 80877102, /* CancelRequest */
	PGW_SSL_REQUEST = 80877103, /* SSLRequest */
	PGW_GSSENC_REQUEST = 80877104, /* GSSENCRequest */
	PGW_MAX_PARAMS = 1024 /* parameters of one statement */
};

struct pgw_msg {
	char type; /* 0 for messages of the startup phase */
	int32_t startup_code; /* startup phase: protocol version or request code
			       */
	const char *body; /* after the length (and code) */
	size_t len; /* bytes of body */
	size_t total; /* bytes to consume from the buffer */
};

/*
 * Reads the next message without consuming it. Returns 1 and fills in m, 0 if
 * more bytes are needed, or -1 with e set if the message is malformed or too
 * long. startup selects the startup phase, whose messages have no type byte.
 */
int pgw_next_message(const struct buf *in, bool startup, struct pgw_msg *m,
		     struct err *e);

/* Reads the fields of one message in order. */
struct pgw_reader {
	const char *p; /* next byte */
	const char *end;
	bool bad; /* a field is invalid or exceeds the message */
};

void pgw_reader_init(struct pgw_reader *r, const struct pgw_msg *m);
int32_t pgw_get_int32(struct pgw_reader *r);
int16_t pgw_get_int16(struct pgw_reader *r);
char pgw_get_byte(struct pgw_reader *r);

/* Returns a zero-terminated string inside the message, or "" on an error. */
const char *pgw_get_string(struct pgw_reader *r);

/* Returns len bytes inside the message, or NULL on an error. */
const char *pgw_get_bytes(struct pgw_reader *r, size_t len);

/* Fields of an ErrorResponse or NoticeResponse. */
struct pgw_error {
	const char *severity; /* "ERROR", "FATAL" or "WARNING" */
	const char *sqlstate;
	const char *message;
	const char *detail; /* may be NULL */
	const char *hint; /* may be NULL */
};

/* Describes one column in a RowDescription. */
struct pgw_column {
	const char *name;
	int32_t type; /* OID; 25 is text */
	int16_t size; /* -1 for variable length */
	int16_t format; /* 0 is text, 1 is binary */
	int32_t modifier; /* -1 for none */
	int32_t table; /* OID of the column's table; 0 for none */
	int16_t number; /* of the column in its table; 0 for none */
};

/* These functions append a message of the server to out. */
void pgw_put_auth_ok(struct buf *out);
void pgw_put_auth_cleartext_password(struct buf *out);
void pgw_put_parameter_status(struct buf *out, const char *name,
			      const char *value);
void pgw_put_backend_key_data(struct buf *out, int32_t pid, int32_t secret);
void pgw_put_ready_for_query(struct buf *out, char txn);
void pgw_put_error(struct buf *out, const struct pgw_error *error);
void pgw_put_notice(struct buf *out, const struct pgw_error *notice);
void pgw_put_row_description(struct buf *out, const struct pgw_column *cols,
			     int ncols);
void pgw_put_command_complete(struct buf *out, const char *tag);

/* A message without a body: '1' ParseComplete, '2' BindComplete, '3'
 * CloseComplete, 'n' NoData, 'I' EmptyQueryResponse, 's' PortalSuspended. */
void pgw_put_bodyless_message(struct buf *out, char type);
void pgw_put_parameter_description(struct buf *out, const int32_t *types,
				   int n);

/* Writes a DataRow in steps: pgw_begin_data_row(), then pgw_put_value() or
 * pgw_put_null() for each column, then pgw_end_data_row() with the value that
 * pgw_begin_data_row() returned. */
size_t pgw_begin_data_row(struct buf *out, int ncols);
void pgw_put_value(struct buf *out, const char *value, int32_t len);
void pgw_put_null(struct buf *out);
void pgw_end_data_row(struct buf *out, size_t mark);

/* Writes a DataRow of text values; NULL entries are SQL nulls. */
void pgw_put_text_data_row(struct buf *out, const char *const *values, int n);

/* Writes a RowDescription of text columns. */
void pgw_put_text_row_description(struct buf *out, const char *const *names,
				  int n);

#endif
