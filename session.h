#ifndef SESSION_H
#define SESSION_H

/*
 * Settings of one caller's session and its token.
 *
 * marjoramlatch.session     token, or the id of a session whose token is not
 *                           known; '' starts a new session
 * marjoramlatch.max_age_ms  how old the data of reads may be
 * marjoramlatch.max_wait_ms how long a request may wait
 * marjoramlatch.repeatable  the request may run more than once
 * marjoramlatch.request_id  makes the next write or transaction idempotent
 *
 * They come from startup parameters, SET, or a leading comment that holds for
 * its statement only: blank-separated marjoramlatch.name=value. A session that
 * uses no setting owns no memory besides its struct. No I/O.
 */

#include "clock.h"
#include "error.h"
#include "msg.h"
#include "token.h"

#include <stdbool.h>
#include <stddef.h>

enum {
	SES_ID_LEN = 65, /* bytes of a session id, with the final zero */
	SES_MAX_AGE_MS = 86400000,
	SES_MAX_WAIT_MS = 600000
};

enum ses_repeatable { SES_BY_CLASS, SES_REPEATABLE, SES_ONCE };

struct ses {
	clk_ms max_age_ms; /* -1: as the plan says */
	clk_ms max_wait_ms; /* -1: as the plan says */
	enum ses_repeatable repeatable;
	struct token *token; /* NULL is the empty token */
	char *session_id; /* of a session whose token is not known */
	char *request_id;
	struct ses *outer; /* values before the transaction's SET LOCAL */
};

/* What holds for one statement. */
struct ses_statement {
	struct token token;
	bool session_unknown;
	clk_ms max_age_ms;
	clk_ms max_wait_ms;
	enum ses_repeatable repeatable;
	char request_id[REQUEST_ID_LEN];
	bool own_request_id; /* from the comment */
};

void ses_init(struct ses *s);
void ses_free(struct ses *s);

/* name is without "marjoramlatch." and may be in any case. */
enum res ses_set(struct ses *s, const char *name, const char *value,
		 struct err *e);
enum res ses_reset(struct ses *s, const char *name, struct err *e);

/* Like ses_set(); ses_end_transaction() restores the value. */
enum res ses_set_local(struct ses *s, const char *name, const char *value,
		       struct err *e);
void ses_end_transaction(struct ses *s);

/* Text of a setting; out holds TOK_TEXT_LEN bytes. */
enum res ses_show(const struct ses *s, const char *name, char *out,
		  struct err *e);

/* The startup parameter "options": -c name=value or --name=value. */
enum res ses_options(struct ses *s, const char *options, struct err *e);

/* The session's values with those of a leading comment of sql on top. */
enum res ses_for_statement(const struct ses *s, const char *sql,
			   struct ses_statement *out, struct err *e);

/* The request id was used by a write. */
void ses_clear_request_id(struct ses *s);

/* Notes a write. True if the session has a token that changed. */
bool ses_wrote(struct ses *s, const char *group, int64_t term,
	       int64_t position);

#endif
