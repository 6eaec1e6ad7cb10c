#ifndef CALLER_PRIV_H
#define CALLER_PRIV_H

/* Declarations that are shared by the files of the caller module only. */

#include "buf.h"
#include "caller.h"
#include "classify.h"
#include "filter.h"
#include "pgwire.h"
#include "result.h"
#include "session.h"

#include <ev.h>
#include <stdbool.h>
#include <uthash.h>

enum {
	/* Bytes buffered while a request runs before reading pauses. */
	CALLER_INPUT_MAX = 64 << 10,
	/* Bytes of responses, unread by the caller or kept for an Execute. */
	CALLER_OUTPUT_MAX = 64 << 20,
	CALLER_LOGIN_TIMEOUT_MS = 10000,
	/* For the last message to be received by the caller. */
	CALLER_CLOSE_TIMEOUT_MS = 5000,
	CALLER_KEEPALIVE_IDLE_S = 30,
	CALLER_KEEPALIVE_INTERVAL_S = 5,
	CALLER_KEEPALIVE_PROBES = 3,
	/* TCP_USER_TIMEOUT; also limits how long a caller may go without
	 * reading any part of a response. */
	CALLER_TCP_USER_TIMEOUT_MS = 120000,
	CALLER_MAX_STATEMENTS = 1000,
	CALLER_MAX_PORTALS = 100
};

enum caller_phase {
	CALLER_STARTUP,
	CALLER_PASSWORD,
	CALLER_READY,
	CALLER_CLOSING /* closes when the output buffer is written */
};

/* Customers send statements to their databases; operators and backends use
 * the admin database. */
enum caller_role { CALLER_CUSTOMER, CALLER_OPERATOR, CALLER_BACKEND };

/* A prepared statement. It is reference counted, as portals and requests may
 * outlive its name. */
struct prepared_statement {
	int refcount;
	struct cls stmt_class;
	char *sql;
	size_t len;
	int32_t *param_types; /* of the first parameters, from Parse */
	int nparam_types;
};

struct named_statement {
	char *name;
	struct prepared_statement *prep;
	UT_hash_handle hh;
};

/* A portal: a prepared statement with bound parameters. The whole response
 * is read from the backend; rows beyond an Execute's limit are kept. */
struct portal {
	char *name;
	struct prepared_statement *prep;
	struct run_param *params;
	int nparams;
	int result_format;
	bool executed;
	bool suspended; /* unfetched holds rows for a later Execute */
	struct buf unfetched;
	UT_hash_handle hh;
};

/* State of the extended query protocol, allocated on first use. */
struct extended_state {
	struct named_statement *named_statements;
	struct prepared_statement *unnamed_statement;
	struct portal *portals;
	/* Portal with an unanswered Describe; NULL if none. The following
	 * Execute answers it, which saves a request to the backend. */
	struct portal *pending_describe;
};

/* A request: one simple query, one Execute or one Describe. */
struct caller_request {
	struct ses_statement_values session_values;
	struct cls stmt_class;
	char *simple_sql; /* simple query only */
	struct prepared_statement *prep; /* extended protocol only */
	struct portal *portal; /* NULL for a Describe of a statement */
	struct run_param *describe_params; /* parameter types of a Describe */
	enum run_kind kind;
	bool is_simple_query;
	bool row_description_due; /* a Describe is answered by this Execute */
	/* A Describe of a portal: its response has no ParameterDescription. */
	bool portal_describe;
	/* A message of the response was relayed. Only maintained if
	 * row_description_due is set. */
	bool response_started;
	bool error_sent; /* the response contained an ErrorResponse */
	int32_t row_limit; /* maximum rows of this Execute; 0 for all */
	int32_t rows_sent; /* rows sent by this Execute, counted if limited */
	char txn_state_before;
};

struct caller {
	struct callers *callers;
	struct net_conn *conn;
	struct caller *prev;
	struct caller *next;
	struct caller_request *in_flight; /* NULL if none */
	struct extended_state *extended_state;
	int64_t engine_request; /* id in the request engine; 0 for none */
	int64_t admin_query; /* query id in the admin database; 0 for none */
	int64_t pin; /* id of the pinned backend connection; 0 for none */
	int64_t pin_term; /* primary's term when the connection was pinned */
	/* The timeout of the phase counts from here: during login from the
	 * start of the connection, in CALLER_READY from the last message or the
	 * end of the last request, in CALLER_CLOSING from its start. */
	clk_ms timeout_start;
	int32_t pid;
	int32_t secret;
	enum caller_phase phase : 8;
	enum caller_role role : 8;
	char txn_state; /* 'I' (idle) or 'T' (in a transaction) */
	bool txn_failed; /* the transaction can only be rolled back */
	bool session_pinned; /* the pin lasts until the caller disconnects */
	/* The current message belongs to the extended protocol. */
	bool in_extended_message;
	/* After an error in the extended protocol. */
	bool skipping_until_sync;
	/* Prevents recursion of caller_process_input(). */
	bool processing_input;
	char customer[ID_LEN]; /* user name of the startup message */
	char group[ID_LEN]; /* its database name */
	char pin_backend[ID_LEN];
	struct session_settings session;
	struct tok_entry latest_token_entry; /* for the group */
	clk_ms token_entry_seen_at; /* when this proxy first received it */
	UT_hash_handle hh; /* by pid */
};

struct callers {
	struct callers_config cfg;
	struct auth *auth;
	struct cls_table *class_table;
	struct caller *list;
	struct caller *by_pid;
	size_t count;
	int32_t last_pid; /* assigned most recently */
	bool stopping;
	bool transactions_over; /* see callers_end_transactions() */
	ev_timer timeout_check;
};

/* caller.c */

/* Buffer of the bytes to be sent to the caller. */
struct buf *caller_out(struct caller *c);

/* Handles buffered messages until one must wait for a request to end. */
void caller_process_input(struct caller *c);

/* Sends ReadyForQuery. During a graceful stop, it then closes the connection
 * unless a transaction is open. */
void caller_send_ready(struct caller *c);

/* Transaction status for ReadyForQuery: 'I', 'T' or 'E'. */
char caller_txn_status(const struct caller *c);

/* Sends the session token as a ParameterStatus message. */
void caller_report_session(struct caller *c);

/* Sends an ErrorResponse for a request that the proxy itself refuses, and
 * counts the refusal. */
void caller_refuse(struct caller *c, enum res res, const char *text);

/* Sends an ErrorResponse; it also fails an open transaction. */
void caller_error(struct caller *c, enum res res, const char *sqlstate,
		  const char *text);

/* Sends a FATAL error and closes the connection once it is written. */
void caller_fatal(struct caller *c, enum res res, const char *text);

/* caller_login.c */
void caller_handle_startup(struct caller *c, const struct pgw_msg *m);
void caller_handle_password(struct caller *c, const struct pgw_msg *m);

/* caller_request.c */

/* Takes over the request. Returns true if it is in flight, false if it was
 * already answered. */
bool caller_start_request(struct caller *c, struct caller_request *req);
void caller_start_simple_query(struct caller *c, const char *sql, size_t len);
struct caller_request *caller_request_new(void);
void caller_request_free(struct caller_request *req);
void caller_release_pin(struct caller *c);

/* caller_local.c: statements that need no backend. Both functions return true
 * if they have sent the response. */
bool caller_answer_locally(struct caller *c, struct caller_request *req);
bool caller_describe_locally(struct caller *c, const struct cls *cls,
			     const char *sql, bool parameters);

/* caller_extended.c */

/* Handles a message of the extended protocol. Returns false if the message
 * must be handled again, because a pending Describe had to be answered first.
 */
bool caller_handle_extended(struct caller *c, const struct pgw_msg *m);

/* Called when a request of the extended protocol has ended. */
void caller_extended_request_ended(struct caller *c,
				   const struct caller_request *req, bool ok);

/* caller_statement.c. The store functions take ownership of the statement or
 * portal if they succeed. */

/* Returns the state of the extended protocol, allocating it if needed. */
struct extended_state *caller_extended_state(struct caller *c);
void caller_extended_state_free(struct caller *c);
struct prepared_statement *caller_statement_find(struct caller *c,
						 const char *name);
enum res caller_statement_store(struct caller *c, const char *name,
				struct prepared_statement *prep, struct err *e);
void caller_statement_close(struct caller *c, const char *name);
void caller_statement_unref(struct prepared_statement *p);
struct portal *caller_portal_find(struct caller *c, const char *name);
enum res caller_portal_store(struct caller *c, const char *name,
			     struct portal *p, struct err *e);
void caller_portal_close(struct caller *c, const char *name);
void caller_portal_free(struct portal *p);
void caller_portals_free(struct caller *c);

/* caller_request.c */

/* Sends complete messages of a backend's response to the caller. Adapts them
 * to the request: omits or adds descriptions and keeps rows over its limit. */
void caller_relay_response(struct caller *c, struct caller_request *req,
			   const char *bytes, size_t len);

#endif
