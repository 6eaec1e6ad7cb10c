#ifndef SESSION_H
#define SESSION_H

/*
 * Settings of one caller's session, and its session token (prefix ses).
 *
 * The token records the positions of the session's writes, so that its later
 * reads see them on any backend.
 *
 * marjoramlatch.session     the token, or the id of a session whose token is
 *                           not known; '' starts a new session
 * marjoramlatch.max_age_ms  maximum age of the data that reads may return
 * marjoramlatch.max_wait_ms maximum time that a request may wait
 * marjoramlatch.repeatable  the request may run more than once
 * marjoramlatch.request_id  makes the next write or transaction idempotent
 *
 * Settings come from startup parameters, from SET, or from a comment at the
 * start of a statement, which applies to this statement only and contains
 * blank-separated marjoramlatch.name=value. A session that uses no setting
 * allocates no memory besides its struct. This module does no I/O.
 */

#include "clock.h"
#include "error.h"
#include "msg.h"
#include "token.h"

#include <stdbool.h>
#include <stddef.h>

enum {
	SES_ID_SIZE = 65, /* bytes of a session id, including the final zero */
	SES_MAX_AGE_MS = 86400000, /* largest value of max_age_ms */
	SES_MAX_WAIT_MS = 600000 /* largest value of max_wait_ms */
};

/* Which requests may run more than once. */
enum ses_repeatable {
	SES_READS_REPEATABLE, /* default: reads only */
	SES_ALL_REPEATABLE, /* reads and writes */
	SES_NOTHING_REPEATABLE /* none */
};

struct session_settings {
	clk_ms max_age_ms; /* -1: the value of the customer's plan */
	clk_ms max_wait_ms; /* -1: the value of the customer's plan */
	enum ses_repeatable repeatable;
	struct token *token; /* NULL for the empty token */
	char *session_id; /* id of a session whose token is not known */
	char *request_id; /* for the next write or transaction, or NULL */
	/* Values before the transaction's first SET LOCAL, or NULL. */
	struct session_settings *before_set_local;
};

/* The setting values that apply to one statement. */
struct ses_statement_values {
	struct token token;
	/* A session id was given, but its token is not known. */
	bool token_unknown;
	clk_ms max_age_ms;
	clk_ms max_wait_ms;
	enum ses_repeatable repeatable;
	char request_id[REQUEST_ID_LEN];
	bool request_id_from_comment; /* request_id comes from the comment */
};

void ses_init(struct session_settings *s);
void ses_free(struct session_settings *s);

/* name is the setting's name without "marjoramlatch.", in upper or lower
 * case. */
enum res ses_set(struct session_settings *s, const char *name,
		 const char *value, struct err *e);
enum res ses_reset(struct session_settings *s, const char *name, struct err *e);

/* Sets a value for the current transaction; ses_end_transaction() restores the
 * previous one. */
enum res ses_set_local(struct session_settings *s, const char *name,
		       const char *value, struct err *e);
void ses_end_transaction(struct session_settings *s);

/* Writes the text of a setting to out, which has TOK_TEXT_LEN bytes. */
enum res ses_show(const struct session_settings *s, const char *name, char *out,
		  struct err *e);

/* Applies the startup parameter "options", which may contain -c name=value and
 * --name=value. */
enum res ses_apply_options(struct session_settings *s, const char *options,
			   struct err *e);

/* Returns the values for a statement: those of the session, overridden by those
 * of a comment at the start of sql. */
enum res ses_resolve_statement(const struct session_settings *s,
			       const char *sql,
			       struct ses_statement_values *out, struct err *e);

/* Clears the request id after a write or transaction has used it. */
void ses_clear_request_id(struct session_settings *s);

/* Adds the position of a write to the token. Returns false if a session id is
 * set: the token is then incomplete and must not be reported to the caller. */
bool ses_record_write(struct session_settings *s, const char *group,
		      int64_t term, int64_t position);

#endif
