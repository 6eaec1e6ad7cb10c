#include "caller_priv.h"

#include "admin.h"
#include "auth.h"
#include "counter.h"
#include "lists.h"
#include "log.h"
#include "net.h"
#include "request.h"
#include "settings.h"
#include "view.h"

#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define ADMIN_DATABASE "marjoramlatch"
#define SETTING_PREFIX "marjoramlatch."

struct startup {
	const char *user;
	const char *database;
	const char *options;
	const char *replication;
	const char *encoding;
	bool extensions; /* protocol options (_pq_.*); none is supported */
};

/* Handles a CancelRequest, which arrives on a connection of its own. */
static void login_cancel(struct caller *c, const struct pgw_msg *m)
{
	struct callers *callers = c->callers;
	struct pgw_reader r;
	struct caller *target;
	int32_t pid;
	int32_t secret;

	pgw_reader_init(&r, m);
	pid = pgw_get_int32(&r);
	secret = pgw_get_int32(&r);
	HASH_FIND(hh, callers->by_pid, &pid, sizeof(pid), target);
	if (!r.bad && target && target->secret == secret &&
	    target->engine_request)
		req_cancel(callers->cfg.request_engine, target->engine_request);
	c->phase = CALLER_CLOSING;
	net_close_after_flush(c->conn);
}

/* Stores one startup parameter. Session settings (marjoramlatch.*) take effect
 * at once. */
static enum res login_read_parameter(struct caller *c, struct startup *s,
				     const char *name, const char *value,
				     struct err *e)
{
	if (!strcmp(name, "user"))
		s->user = value;
	else if (!strcmp(name, "database"))
		s->database = value;
	else if (!strcmp(name, "options"))
		s->options = value;
	else if (!strcmp(name, "replication"))
		s->replication = value;
	else if (!strcmp(name, "client_encoding"))
		s->encoding = value;
	else if (!strncmp(name, "_pq_.", 5))
		s->extensions = true;
	else if (!strncasecmp(name, SETTING_PREFIX, strlen(SETTING_PREFIX)))
		return ses_set(&c->session, name + strlen(SETTING_PREFIX),
			       value, e);
	return RES_OK;
}

static enum res login_read_parameters(struct caller *c, struct startup *s,
				      const struct pgw_msg *m, struct err *e)
{
	struct pgw_reader r;

	pgw_reader_init(&r, m);
	for (;;) {
		const char *name = pgw_get_string(&r);
		const char *value;
		enum res res;

		if (!*name)
			break;
		value = pgw_get_string(&r);
		res = login_read_parameter(c, s, name, value, e);
		if (res != RES_OK)
			return res;
	}
	if (r.bad || r.p != r.end)
		return err_set(e, RES_BAD_MESSAGE, "malformed startup packet");
	if (!*s->user)
		return err_set(e, RES_AUTH, "no user name in startup packet");
	if (!*s->database)
		s->database = s->user;
	return RES_OK;
}

static bool login_is_utf8(const char *encoding)
{
	return !*encoding || !strcasecmp(encoding, "utf8") ||
	       !strcasecmp(encoding, "utf-8") ||
	       !strcasecmp(encoding, "unicode") ||
	       !strcasecmp(encoding, "'utf-8'");
}

static bool login_is_false(const char *value)
{
	return !*value || !strcasecmp(value, "off") ||
	       !strcasecmp(value, "false") || !strcasecmp(value, "no") ||
	       !strcmp(value, "0");
}

static enum res login_check_parameters(struct caller *c,
				       const struct startup *s, struct err *e)
{
	if (!login_is_false(s->replication))
		return err_set(e, RES_UNSUPPORTED,
			       "replication connections are not supported");
	if (!login_is_utf8(s->encoding))
		return err_set(e, RES_BAD_SETTING,
			       "client_encoding \"%.40s\": expected UTF8",
			       s->encoding);
	if (strlen(s->user) >= ID_LEN)
		return err_set(e, RES_AUTH, "user name is too long");
	if (strlen(s->database) >= ID_LEN)
		return err_set(e, RES_NO_DATABASE, "database name is too long");
	return ses_apply_options(&c->session, s->options, e);
}

/* Sends NegotiateProtocolVersion: version 3.0 without protocol options. */
static void login_negotiate(struct caller *c)
{
	static const char message[] = {'v', 0, 0, 0, 12, 0, 0,
				       0,   0, 0, 0, 0,	 0};

	buf_add(caller_out(c), message, sizeof(message));
}

static void login_request_password(struct caller *c, const struct pgw_msg *m)
{
	struct startup s = {.user = "",
			    .database = "",
			    .options = "",
			    .replication = "",
			    .encoding = ""};
	struct err e = ERR_INIT;

	if (c->callers->stopping) {
		caller_fatal(c, RES_STOPPING, res_text(RES_STOPPING));
		return;
	}
	if (c->callers->count > (size_t)c->callers->cfg.set->max_callers) {
		caller_fatal(c, RES_TOO_MANY_CALLERS,
			     res_text(RES_TOO_MANY_CALLERS));
		return;
	}
	if (login_read_parameters(c, &s, m, &e) != RES_OK ||
	    login_check_parameters(c, &s, &e) != RES_OK) {
		cnt_add(CNT_bad_input, 1);
		caller_fatal(c, e.code, e.text);
		return;
	}
	snprintf(c->customer, sizeof(c->customer), "%s", s.user);
	snprintf(c->group, sizeof(c->group), "%s", s.database);
	if (m->startup_code != PGW_PROTOCOL_3_0 || s.extensions)
		login_negotiate(c);
	pgw_put_auth_cleartext_password(caller_out(c));
	c->phase = CALLER_PASSWORD;
}

void caller_handle_startup(struct caller *c, const struct pgw_msg *m)
{
	switch (m->startup_code) {
	case PGW_SSL_REQUEST:
	case PGW_GSSENC_REQUEST:
		buf_add(caller_out(c), "N", 1);
		return;
	case PGW_CANCEL_REQUEST:
		login_cancel(c, m);
		return;
	default:
		break;
	}
	if (m->startup_code >> 16 != PGW_PROTOCOL_3_0 >> 16) {
		cnt_add(CNT_bad_input, 1);
		caller_fatal(c, RES_UNSUPPORTED,
			     "protocol version is not supported, expected 3.0");
		return;
	}
	login_request_password(c, m);
}

static void login_send_parameters(struct caller *c)
{
	static const char *const parameters[][2] = {
		{"server_version", "15.0"},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"application_name", ""},
		{"is_superuser", "off"},
		{"DateStyle", "ISO, MDY"},
		{"IntervalStyle", "postgres"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	};
	struct buf *out = caller_out(c);

	for (size_t i = 0; i < sizeof(parameters) / sizeof(parameters[0]); i++)
		pgw_put_parameter_status(out, parameters[i][0],
					 parameters[i][1]);
	pgw_put_parameter_status(out, "session_authorization", c->customer);
}

static int32_t login_assign_pid(struct callers *callers)
{
	struct caller *taken;

	do {
		callers->last_pid = callers->last_pid == INT32_MAX
					    ? 1
					    : callers->last_pid + 1;
		HASH_FIND(hh, callers->by_pid, &callers->last_pid,
			  sizeof(callers->last_pid), taken);
	} while (taken);
	return callers->last_pid;
}

static void login_complete(struct caller *c)
{
	struct callers *callers = c->callers;

	c->pid = login_assign_pid(callers);
	randombytes_buf(&c->secret, sizeof(c->secret));
	HASH_ADD(hh, callers->by_pid, pid, sizeof(c->pid), c);
	c->phase = CALLER_READY;
	pgw_put_auth_ok(caller_out(c));
	login_send_parameters(c);
	if (c->role == CALLER_CUSTOMER)
		caller_report_session(c);
	pgw_put_backend_key_data(caller_out(c), c->pid, c->secret);
	caller_send_ready(c);
}

static enum res login_check_admin(struct caller *c, const char *password,
				  struct err *e)
{
	const struct settings *set = c->callers->cfg.set;
	bool ok = false;

	if (!c->callers->cfg.admin_database)
		return err_set(e, RES_NO_DATABASE, "no admin database");
	if (!strcmp(c->customer, "operator")) {
		c->role = CALLER_OPERATOR;
		ok = auth_passwords_equal(set->operator_password, password);
	} else if (!strcmp(c->customer, "backend")) {
		c->role = CALLER_BACKEND;
		ok = auth_passwords_equal(set->backend_password, password);
	}
	if (!ok)
		return err_set(e, RES_AUTH,
			       "password authentication failed for user "
			       "\"%s\"",
			       c->customer);
	return RES_OK;
}

static bool login_database_allowed(const struct customer *customer,
				   const char *group)
{
	for (int64_t i = 0; i < customer->ndatabases; i++)
		if (!strcmp(customer->databases[i], group))
			return true;
	return customer->ndatabases == 0;
}

static enum res login_check_customer(struct caller *c, const char *password,
				     struct err *e)
{
	struct view *view = c->callers->cfg.view;
	const struct lists *lists = view_lists(view);
	const struct customer *customer;
	size_t groups;

	/* Groups are unknown until control was reached for the first time. */
	view_groups(view, &groups);
	if (!lists || !groups)
		return err_set(e, RES_NO_CONFIG, "%s", res_text(RES_NO_CONFIG));
	customer = lst_find_customer(lists, c->customer);
	if (!customer ||
	    !auth_check_password(c->callers->auth, customer, password))
		return err_set(e, RES_AUTH,
			       "password authentication failed for user "
			       "\"%s\"",
			       c->customer);
	if (!login_database_allowed(customer, c->group))
		return err_set(e, RES_NO_DATABASE,
			       "database \"%s\" is not allowed for user "
			       "\"%s\"",
			       c->group, c->customer);
	if (!view_group(view, c->group))
		return err_set(e, RES_NO_DATABASE,
			       "database \"%s\" does not exist", c->group);
	return RES_OK;
}

void caller_handle_password(struct caller *c, const struct pgw_msg *m)
{
	struct err e = ERR_INIT;
	struct pgw_reader r;
	const char *password;
	enum res res;

	pgw_reader_init(&r, m);
	password = pgw_get_string(&r);
	if (m->type == 'X') {
		c->phase = CALLER_CLOSING;
		net_close_after_flush(c->conn);
		return;
	}
	if (m->type != 'p' || r.bad) {
		cnt_add(CNT_bad_input, 1);
		caller_fatal(c, RES_BAD_MESSAGE, "expected a password message");
		return;
	}
	if (!strcmp(c->group, ADMIN_DATABASE))
		res = login_check_admin(c, password, &e);
	else
		res = login_check_customer(c, password, &e);
	if (res != RES_OK)
		caller_fatal(c, res, e.text);
	else
		login_complete(c);
}
