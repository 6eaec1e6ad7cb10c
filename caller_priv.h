#ifndef CALLER_PRIV_H
#define CALLER_PRIV_H

/* Shared by the files of the caller module only. */

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
	CALLER_INPUT_MAX = 64 << 10, /* buffered while a request runs */
	CALLER_OUTPUT_MAX = 64 << 20, /* untaken answer bytes of one caller */
	CALLER_STARTUP_MS = 10000, /* to authenticate */
	CALLER_CLOSE_MS = 5000, /* to take the last message */
	CALLER_KEEPALIVE_IDLE_S = 30,
	CALLER_KEEPALIVE_INTERVAL_S = 5,
	CALLER_KEEPALIVE_PROBES = 3,
	CALLER_UNACKED_MS = 120000, /* also bounds how long a caller may read
				     * nothing of an answer */
	CALLER_MAX_STATEMENTS = 1000,
	CALLER_MAX_PORTALS = 100
};

enum caller_phase {
	CALLER_STARTUP,
	CALLER_PASSWORD,
	CALLER_READY,
	CALLER_CLOSING /* the last message is being written */
};

enum caller_role { CALLER_CUSTOMER, CALLER_OPERATOR, CALLER_BACKEND };

/* Text of a prepared statement; portals hold references. */
struct prep {
	int refs;
	struct cls cls;
	char *sql;
	size_t len;
	int32_t *types; /* of parameters, as far as Parse gave them */
	int ntypes;
};

struct prep_named {
	char *name;
	struct prep *prep;
	UT_hash_handle hh;
};

struct portal {
	char *name;
	struct prep *prep;
	struct run_param *params;
	int nparams;
	int result_format;
	bool ran;
	bool suspended; /* rest holds what was not fetched yet */
	struct buf rest;
	UT_hash_handle hh;
};

/* State of the extended protocol, allocated when it is used. */
struct ext {
	struct prep_named *named;
	struct prep *unnamed;
	struct portal *portals;
	struct portal *describe; /* Describe that its Execute answers */
};

/* The request in flight. */
struct caller_run {
	struct ses_statement st;
	struct cls cls;
	char *own_sql; /* of a simple query */
	struct prep *prep; /* of the extended protocol */
	struct portal *portal; /* NULL for a statement's description */
	struct run_param *types; /* parameter types of a description */
	enum run_kind kind;
	bool simple;
	bool describe; /* the portal's row description was asked for */
	bool strip; /* leave out the parameter description */
	bool answered; /* a message of the answer went out */
	bool error_sent;
	int32_t limit; /* rows of this Execute; 0 is all */
	int32_t rows;
	char txn_before;
};

struct caller {
	struct callers *all;
	struct net_conn *conn;
	struct caller *prev;
	struct caller *next;
	struct caller_run *run; /* NULL while idle */
	struct ext *ext;
	int64_t request; /* of the engine, 0 is none */
	int64_t admin; /* of the admin database, 0 is none */
	int64_t pin;
	int64_t pin_term;
	clk_ms since; /* phase began; while ready: last message or answer */
	int32_t pid;
	int32_t secret;
	enum caller_phase phase : 8;
	enum caller_role role : 8;
	char txn; /* 'I' or 'T' */
	bool failed; /* the transaction must be rolled back */
	bool session_pinned;
	bool extended; /* the message at hand is of the extended protocol */
	bool skipping; /* after an error there until Sync */
	bool pumping;
	char customer[ID_LEN];
	char group[ID_LEN];
	char pin_backend[ID_LEN];
	struct ses ses;
	struct tok_entry seen; /* newest token entry of the group */
	clk_ms seen_at; /* when this proxy first saw it */
	UT_hash_handle hh; /* by pid */
};

struct callers {
	struct callers_config cfg;
	struct auth *auth;
	struct cls_table *cls;
	struct caller *list;
	struct caller *by_pid;
	size_t count;
	int32_t next_pid;
	bool stopping;
	ev_timer sweep;
};

/* caller.c */
struct buf *caller_out(struct caller *c);
void caller_pump(struct caller *c);
void caller_ready(struct caller *c);
char caller_status(const struct caller *c);
void caller_report_session(struct caller *c);

/* ErrorResponse for something that was refused here. */
void caller_refuse(struct caller *c, enum res res, const char *text);
void caller_error(struct caller *c, enum res res, const char *sqlstate,
		  const char *text);

/* FATAL, then the connection is closed. */
void caller_fatal(struct caller *c, enum res res, const char *text);

/* caller_login.c */
void caller_startup(struct caller *c, const struct pgw_msg *m);
void caller_password(struct caller *c, const struct pgw_msg *m);

/* caller_run.c: true if the request is in flight, false if it was answered. */
bool caller_start(struct caller *c, struct caller_run *run);
void caller_simple(struct caller *c, const char *sql, size_t len);
struct caller_run *caller_run_new(void);
void caller_run_free(struct caller_run *run);
void caller_drop_pin(struct caller *c);

/* caller_local.c: statements that need no backend. True if answered. */
bool caller_answer_locally(struct caller *c, struct caller_run *run);
bool caller_describe_locally(struct caller *c, const struct cls *cls,
			     const char *sql, bool parameters);

/* caller_ext.c: false if the message has to wait for a request. */
bool caller_extended(struct caller *c, const struct pgw_msg *m);
void caller_run_ended(struct caller *c, const struct caller_run *run, bool ok);

/* caller_prep.c. The store functions take over their argument if they
 * succeed. */
struct ext *caller_ext(struct caller *c);
void caller_ext_free(struct caller *c);
struct prep *caller_prep_find(struct caller *c, const char *name);
enum res caller_prep_store(struct caller *c, const char *name,
			   struct prep *prep, struct err *e);
void caller_prep_close(struct caller *c, const char *name);
void caller_prep_unref(struct prep *p);
struct portal *caller_portal_find(struct caller *c, const char *name);
enum res caller_portal_store(struct caller *c, const char *name,
			     struct portal *p, struct err *e);
void caller_portal_close(struct caller *c, const char *name);
void caller_portal_free(struct portal *p);
void caller_portals_free(struct caller *c);

/* Appends complete messages of an answer, changed as the run asks. */
void caller_relay(struct caller *c, struct caller_run *run, const char *bytes,
		  size_t len);

#endif
