#include "buf.h"
#include "builtin.h"
#include "msg.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

enum {
	APPLY_TIMEOUT_MS = 30000, /* for all attempts together */
	APPLY_ATTEMPT_TIMEOUT_MS = 8000, /* a change of leader takes less */
	APPLY_RETRY_MS = 300, /* between attempts */
	APPLY_ID_BYTES = 12
};

/* A request to put new lists in force. */
struct apply {
	struct admin_client admin;
	char request_id[REQUEST_ID_LEN];
	char operator_name[ID_LEN];
	int64_t base_version;
	char *text; /* the new lists */
};

static void apply_random_id(char *out)
{
	unsigned char id[APPLY_ID_BYTES];

	randombytes_buf(id, sizeof(id));
	sodium_bin2hex(out, 2 * sizeof(id) + 1, id, sizeof(id));
}

static void apply_quote(struct buf *out, const char *s)
{
	buf_addstr(out, "'");
	for (; *s; s++)
		buf_add(out, *s == '\'' ? "''" : s, *s == '\'' ? 2 : 1);
	buf_addstr(out, "'");
}

static void apply_build_statement(const struct apply *a, struct buf *out)
{
	buf_addstr(out, "APPLY ");
	apply_quote(out, a->request_id);
	buf_addstr(out, " ");
	apply_quote(out, a->operator_name);
	buf_addf(out, " %" PRId64 " ", a->base_version);
	apply_quote(out, a->text);
}

static void apply_print_accepted(const PGresult *r)
{
	const char *text = admin_value(r, 0, "differences|text");

	printf("accepted: version %s digest %s\n", admin_value(r, 0, "version"),
	       admin_value(r, 0, "digest"));
	if (*text)
		printf("%s%s", text,
		       text[strlen(text) - 1] == '\n' ? "" : "\n");
}

static const char *apply_error_field(const PGresult *r, int field)
{
	const char *s = PQresultErrorField(r, field);

	return s ? s : "";
}

static int apply_print_refused(const struct apply *a, const PGresult *r)
{
	const char *text = apply_error_field(r, PG_DIAG_MESSAGE_PRIMARY);
	const char *hint = apply_error_field(r, PG_DIAG_MESSAGE_HINT);
	const char *state = apply_error_field(r, PG_DIAG_SQLSTATE);
	size_t len = strlen(text);

	fprintf(stderr, "marjoramlatch: refused (SQLSTATE %s): %s%s", state,
		text, len && text[len - 1] == '\n' ? "" : "\n");
	if (*hint)
		fprintf(stderr, "%s\n", hint);
	if (!strcmp(state, res_sqlstate(RES_CONFLICT)))
		fprintf(stderr,
			"This change is based on version %" PRId64
			". Look at marjoramlatch diff, then apply again.\n",
			a->base_version);
	return CMD_FAILED;
}

/* Errors after which the request is sent again with the same request id. */
static bool apply_is_transient(const PGresult *r)
{
	const char *state = apply_error_field(r, PG_DIAG_SQLSTATE);

	return !strcmp(state, res_sqlstate(RES_NO_QUORUM)) ||
	       !strcmp(state, res_sqlstate(RES_UNKNOWN)) ||
	       !strcmp(state, res_sqlstate(RES_TIMEOUT)) ||
	       !strcmp(state, res_sqlstate(RES_STOPPING));
}

static int apply_print_unknown(const struct apply *a, const struct err *e)
{
	fprintf(stderr,
		"marjoramlatch: outcome unknown after %d s (%s)\n"
		"The lists may be in force. Ask again with the same files and "
		"--base %" PRId64 " --request-id %s\n"
		"to get the first answer; nothing is applied twice.\n",
		APPLY_TIMEOUT_MS / 1000, e->text, a->base_version,
		a->request_id);
	return CMD_FAILED;
}

static void apply_wait_for_retry(void)
{
	struct timespec ts = {.tv_nsec = APPLY_RETRY_MS * 1000000L};

	nanosleep(&ts, NULL);
}

/*
 * Sends the request until it is accepted or refused. The request id stays the
 * same, so that control applies it once however often it arrives.
 */
static int apply_send_until_answered(struct apply *a)
{
	clk_ms deadline = clk_now() + APPLY_TIMEOUT_MS;
	struct buf sql = BUF_INIT;
	struct err e = ERR_INIT;
	bool sent = false;
	int rc = CMD_CONTINUE;

	apply_build_statement(a, &sql);
	while (rc == CMD_CONTINUE && clk_now() < deadline) {
		PGresult *r;
		enum admin_outcome outcome =
			admin_try(&a->admin, buf_str(&sql),
				  APPLY_ATTEMPT_TIMEOUT_MS, &r, &e);

		sent |= outcome != ADMIN_NOT_SENT;
		if (outcome == ADMIN_ANSWERED &&
		    PQresultStatus(r) != PGRES_FATAL_ERROR) {
			apply_print_accepted(r);
			rc = CMD_OK;
		} else if (outcome == ADMIN_ANSWERED &&
			   !apply_is_transient(r)) {
			rc = apply_print_refused(a, r);
		} else {
			if (outcome == ADMIN_ANSWERED)
				err_set(&e, RES_UNKNOWN, "%s",
					apply_error_field(
						r, PG_DIAG_MESSAGE_PRIMARY));
			apply_wait_for_retry();
		}
		PQclear(r);
	}
	buf_free(&sql);
	if (rc == CMD_CONTINUE)
		rc = sent ? apply_print_unknown(a, &e) : cmd_fail(&e);
	return rc;
}

/* Sets the base to the version in force; prints it and the differences. */
static enum res apply_read_base(struct apply *a, struct err *e)
{
	struct lists *in_force = NULL;
	struct lists *proposed;
	struct buf out = BUF_INIT;

	if (admin_read_lists(&a->admin, &a->base_version, &in_force, e))
		return e->code;
	printf("based on version %" PRId64 "%s%s\n", a->base_version,
	       in_force ? " digest " : "", in_force ? in_force->digest : "");
	proposed = lst_parse(a->text, strlen(a->text), 0, e);
	if (in_force && proposed) {
		lst_append_diff(in_force, proposed, &out);
		printf("%s", buf_str(&out));
		buf_free(&out);
	}
	lst_unref(in_force);
	lst_unref(proposed);
	return RES_OK;
}

static enum res apply_set_names(struct apply *a, const struct arg_str *id,
				const struct arg_str *operator_name,
				struct err *e)
{
	const char *user = getenv("USER");

	if (operator_name->count)
		user = operator_name->sval[0];
	else if (!user || !*user)
		user = "operator";
	if (strlen(user) >= sizeof(a->operator_name))
		return err_set(e, RES_BAD_LIST,
			       "--operator: found %zu bytes, expected at most "
			       "%d",
			       strlen(user), ID_LEN - 1);
	strcpy(a->operator_name, user);
	if (!id->count)
		apply_random_id(a->request_id);
	else if (!*id->sval[0] || strlen(id->sval[0]) >= REQUEST_ID_LEN)
		return err_set(e, RES_BAD_LIST,
			       "--request-id: found %zu bytes, expected 1 to "
			       "%d",
			       strlen(id->sval[0]), REQUEST_ID_LEN - 1);
	else
		strcpy(a->request_id, id->sval[0]);
	return RES_OK;
}

static int apply_run(struct apply *a, const struct arg_int *base,
		     const struct arg_file *files)
{
	struct err e = ERR_INIT;
	int rc;

	a->text = cmd_read_lists(files->filename, files->count, &e);
	if (!a->text)
		return cmd_fail(&e);
	a->base_version = base->count ? base->ival[0] : 0;
	if (!base->count && apply_read_base(a, &e))
		rc = cmd_fail(&e);
	else
		rc = apply_send_until_answered(a);
	free(a->text);
	return rc;
}

int cmd_apply(int argc, char **argv)
{
	struct arg_str *to = admin_arg_to();
	struct arg_file *password = admin_arg_password();
	struct arg_int *base =
		arg_int0(NULL, "base", "N",
			 "version the change is based on (else the "
			 "one in force)");
	struct arg_str *id =
		arg_str0(NULL, "request-id", "ID", "resend an earlier request");
	struct arg_str *operator_name = arg_str0(NULL, "operator", "NAME",
						 "name for the log (else "
						 "$USER)");
	struct arg_file *files =
		arg_filen(NULL, NULL, "LISTS", 1, 2,
			  "list files: plans and customers, or one with both");
	void *table[] = {arg_lit0(NULL, "help", "show this text"),
			 to,
			 password,
			 base,
			 id,
			 operator_name,
			 files,
			 arg_end(8)};
	struct apply a = {0};
	struct err e = ERR_INIT;
	int rc = cmd_parse(argc, argv, table, 8,
			   "Puts new lists in force on every proxy. After a "
			   "lost answer the request is sent\nagain with the "
			   "same request id for up to 30 s.");

	if (rc == CMD_CONTINUE && sodium_init() < 0)
		abort();
	if (rc == CMD_CONTINUE && (admin_init(&a.admin, to, password, &e) ||
				   apply_set_names(&a, id, operator_name, &e)))
		rc = cmd_fail(&e);
	if (rc == CMD_CONTINUE)
		rc = apply_run(&a, base, files);
	arg_freetable(table, 8);
	return rc;
}
