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
	APPLY_GIVE_UP_MS = 30000,
	APPLY_ANSWER_MS = 8000, /* a change of leader takes less */
	APPLY_PAUSE_MS = 300,
	APPLY_ID_BYTES = 12
};

struct apply {
	struct admin admin;
	char request_id[REQUEST_ID_LEN];
	char operator_name[ID_LEN];
	int64_t base;
	char *text;
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

static void apply_statement(const struct apply *a, struct buf *out)
{
	buf_addstr(out, "APPLY ");
	apply_quote(out, a->request_id);
	buf_addstr(out, " ");
	apply_quote(out, a->operator_name);
	buf_addf(out, " %" PRId64 " ", a->base);
	apply_quote(out, a->text);
}

static void apply_accepted(const PGresult *r)
{
	const char *text = admin_value(r, 0, "differences|text");

	printf("accepted: version %s digest %s\n", admin_value(r, 0, "version"),
	       admin_value(r, 0, "digest"));
	if (*text)
		printf("%s%s", text,
		       text[strlen(text) - 1] == '\n' ? "" : "\n");
}

static const char *apply_field(const PGresult *r, int field)
{
	const char *s = PQresultErrorField(r, field);

	return s ? s : "";
}

static int apply_refused(const struct apply *a, const PGresult *r)
{
	const char *text = apply_field(r, PG_DIAG_MESSAGE_PRIMARY);
	const char *hint = apply_field(r, PG_DIAG_MESSAGE_HINT);
	const char *state = apply_field(r, PG_DIAG_SQLSTATE);
	size_t len = strlen(text);

	fprintf(stderr, "marjoramlatch: refused (SQLSTATE %s): %s%s", state,
		text, len && text[len - 1] == '\n' ? "" : "\n");
	if (*hint)
		fprintf(stderr, "%s\n", hint);
	if (!strcmp(state, res_sqlstate(RES_CONFLICT)))
		fprintf(stderr,
			"This change is based on version %" PRId64
			". Look at marjoramlatch diff, then apply again.\n",
			a->base);
	return CMD_FAILED;
}

/* Errors after which the same request id is sent again. */
static bool apply_is_transient(const PGresult *r)
{
	const char *state = apply_field(r, PG_DIAG_SQLSTATE);

	return !strcmp(state, res_sqlstate(RES_NO_QUORUM)) ||
	       !strcmp(state, res_sqlstate(RES_UNKNOWN)) ||
	       !strcmp(state, res_sqlstate(RES_TIMEOUT)) ||
	       !strcmp(state, res_sqlstate(RES_STOPPING));
}

static int apply_unknown(const struct apply *a, const struct err *e)
{
	fprintf(stderr,
		"marjoramlatch: outcome unknown after %d s (%s)\n"
		"The lists may be in force. Ask again with the same files and "
		"--base %" PRId64 " --request-id %s\n"
		"to get the first answer; nothing is applied twice.\n",
		APPLY_GIVE_UP_MS / 1000, e->text, a->base, a->request_id);
	return CMD_FAILED;
}

static void apply_pause(void)
{
	struct timespec ts = {.tv_nsec = APPLY_PAUSE_MS * 1000000L};

	nanosleep(&ts, NULL);
}

static int apply_send(struct apply *a)
{
	clk_ms deadline = clk_now() + APPLY_GIVE_UP_MS;
	struct buf sql = BUF_INIT;
	struct err e = ERR_INIT;
	bool sent = false;
	int rc = CMD_GO_ON;

	apply_statement(a, &sql);
	while (rc == CMD_GO_ON && clk_now() < deadline) {
		PGresult *r;
		enum admin_outcome o = admin_try(&a->admin, buf_str(&sql),
						 APPLY_ANSWER_MS, &r, &e);

		sent |= o != ADMIN_NOT_SENT;
		if (o == ADMIN_ANSWERED &&
		    PQresultStatus(r) != PGRES_FATAL_ERROR) {
			apply_accepted(r);
			rc = CMD_OK;
		} else if (o == ADMIN_ANSWERED && !apply_is_transient(r)) {
			rc = apply_refused(a, r);
		} else {
			if (o == ADMIN_ANSWERED)
				err_set(&e, RES_UNKNOWN, "%s",
					apply_field(r,
						    PG_DIAG_MESSAGE_PRIMARY));
			apply_pause();
		}
		PQclear(r);
	}
	buf_free(&sql);
	if (rc == CMD_GO_ON)
		rc = sent ? apply_unknown(a, &e) : cmd_fail(&e);
	return rc;
}

/* Takes the version in force as base and shows it with the differences. */
static enum res apply_base(struct apply *a, struct err *e)
{
	struct lists *now = NULL;
	struct lists *next;
	struct buf out = BUF_INIT;

	if (admin_config(&a->admin, &a->base, &now, e))
		return e->code;
	printf("based on version %" PRId64 "%s%s\n", a->base,
	       now ? " digest " : "", now ? now->digest : "");
	next = lst_parse(a->text, strlen(a->text), 0, e);
	if (now && next) {
		lst_diff(now, next, &out);
		printf("%s", buf_str(&out));
		buf_free(&out);
	}
	lst_unref(now);
	lst_unref(next);
	return RES_OK;
}

static enum res apply_names(struct apply *a, const struct arg_str *id,
			    const struct arg_str *operator_name, struct err *e)
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
	a->base = base->count ? base->ival[0] : 0;
	if (!base->count && apply_base(a, &e))
		rc = cmd_fail(&e);
	else
		rc = apply_send(a);
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

	if (rc == CMD_GO_ON && sodium_init() < 0)
		abort();
	if (rc == CMD_GO_ON && (admin_init(&a.admin, to, password, &e) ||
				apply_names(&a, id, operator_name, &e)))
		rc = cmd_fail(&e);
	if (rc == CMD_GO_ON)
		rc = apply_run(&a, base, files);
	arg_freetable(table, 8);
	return rc;
}
