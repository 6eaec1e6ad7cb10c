#ifndef RESULT_H
#define RESULT_H

/*
 * Numbered result codes.
 *
 * Every refusal and failure that a caller, an operator or another process can
 * see has one code. RES_TABLE is the only list of them, and a test checks
 * docs/errors.md against it. Its columns are the name, the number, the
 * SQLSTATE, whether the request was executed, and the text. The fourth column
 * (enum res_ran) is one of:
 *
 *   NOT_RUN  the request was certainly not executed
 *   MAYBE    it may have been executed; retry with the same request id
 *   RAN      it was executed
 *   NONE     the code is not about a request
 */

/* Whether a request with a certain result was executed. */
enum res_ran { RES_RAN_NONE, RES_RAN_NOT_RUN, RES_RAN_MAYBE, RES_RAN_RAN };

/* clang-format off */
#define RES_TABLE(X) \
	X(OK, 0, "00000", RAN, "success") \
	X(BAD_FRAME, 10, "08P01", NOT_RUN, "malformed or oversized frame") \
	X(BAD_MESSAGE, 11, "08P01", NOT_RUN, "malformed message") \
	X(BAD_SQL, 12, "42601", NOT_RUN, "statement can't be parsed") \
	X(BAD_SETTING, 13, "22023", NOT_RUN, "invalid session setting") \
	X(UNSUPPORTED, 14, "0A000", NOT_RUN, "feature not supported") \
	X(TOO_LARGE, 15, "54000", NOT_RUN, "request too large") \
	X(AUTH, 20, "28P01", NOT_RUN, "authentication failed") \
	X(NO_DATABASE, 21, "3D000", NOT_RUN, "database not known or not allowed") \
	X(TOO_MANY_CALLERS, 22, "53300", NOT_RUN, "too many caller connections") \
	X(STOPPING, 23, "57P01", NOT_RUN, "instance is stopping") \
	X(NO_CONFIG, 24, "57P03", NOT_RUN, "no configuration yet") \
	X(PLAN_LIMIT, 30, "53400", NOT_RUN, "plan limit reached within the wait") \
	X(WAIT_EXCEEDED, 31, "53000", NOT_RUN, "no slot within the wait") \
	X(OVERLOAD, 32, "53000", NOT_RUN, "queue estimate exceeds the wait") \
	X(NO_PRIMARY, 33, "57P03", NOT_RUN, "no primary known") \
	X(NO_LEASE, 34, "57P03", NOT_RUN, "no lease for the group's term") \
	X(NO_REPLICA, 35, "57P03", NOT_RUN, "no backend server is fresh enough") \
	X(TOKEN_LOST, 36, "ML001", NOT_RUN, "session token was lost in a failover") \
	X(UNREACHABLE, 37, "08001", NOT_RUN, "backend server unreachable") \
	X(RETRY_BUDGET, 38, "53000", NOT_RUN, "retry budget used up") \
	X(BEHIND, 39, "57P03", NOT_RUN, "backend server does not satisfy the token") \
	X(NOT_OWNER, 40, "57P03", NOT_RUN, "instance can't run on that backend server") \
	X(LEAVING, 41, "57P03", NOT_RUN, "backend server is leaving") \
	X(PRIMARY_CHANGED, 42, "57P03", NOT_RUN, "transaction's primary was replaced") \
	X(TXN_IDLE, 43, "25P03", NOT_RUN, "transaction was idle for too long") \
	X(KEY_UNCONFIRMED, 44, "57P03", NOT_RUN, "API key can't be confirmed") \
	X(RATE_LIMIT, 45, "53400", NOT_RUN, "rate limit of the customer reached") \
	X(UNKNOWN, 50, "08007", MAYBE, "outcome unknown") \
	X(NOT_DURABLE, 51, "08007", MAYBE, "majority did not confirm in time") \
	X(CANCELED, 52, "57014", MAYBE, "canceled") \
	X(IN_PROGRESS, 53, "55006", NOT_RUN, "request id is in progress") \
	X(ANSWER_LOST, 54, "08007", RAN, "ran before; its rows were not kept") \
	X(READ_FAILED, 55, "08006", MAYBE, "read lost its connection") \
	X(SQL_ERROR, 56, "XX000", NOT_RUN, "error from the backend server") \
	X(NOT_LEADER, 60, "57P03", NOT_RUN, "control instance is not the leader") \
	X(CONFLICT, 61, "40001", NOT_RUN, "based on an older configuration") \
	X(NO_QUORUM, 62, "57P03", MAYBE, "no majority of control instances") \
	X(BAD_LIST, 63, "22023", NOT_RUN, "invalid settings or lists") \
	X(IO, 70, "58030", NONE, "input/output error") \
	X(CORRUPT, 71, "XX001", NONE, "checksum mismatch") \
	X(INTERNAL, 72, "XX000", NONE, "internal error") \
	X(CLOSED, 73, "08006", NONE, "connection closed") \
	X(TIMEOUT, 74, "57014", NONE, "timed out")
/* clang-format on */

enum res {
#define X(name, num, state, ran, text) RES_##name = (num),
	RES_TABLE(X)
#undef X
};

/* Upper-case name without prefix, such as "NO_LEASE". */
const char *res_name(enum res r);
const char *res_sqlstate(enum res r);
const char *res_text(enum res r);
enum res_ran res_ran(enum res r);

#endif
