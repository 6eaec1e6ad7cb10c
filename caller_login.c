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
	bool extensions; /* protocol options, none of which is supported */
};

static void login_cancel(struct caller *c, const struct pgw_msg *m)
{
	struct callers *all = c->all;
	struct pgw_reader r;
	struct caller *target;
	int32_t pid;
	int32_t secret;

	pgw_read(&r, m);
	pid = pgw_get_int32(&r);
	secret = pgw_get_int32(&r);
	HASH_FIND(hh, all->by_pid, &pid, sizeof(pid), target);
	if (!r.bad && target && target->secret == secret && target->request)
		req_cancel(all->cfg.req, target->request);
	c->phase = CALLER_CLOSING;
	net_finish(c->conn);
}

/* Takes one startup parameter; settings apply to the session at once. */
static enum res login_parameter(struct caller *c, struct startup *s,
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
		return ses_set(&c->ses, name + strlen(SETTING_PREFIX), value,
			       e);
	return RES_OK;
}

static enum res login_parameters(struct caller *c, struct startup *s,
				 const struct pgw_msg *m, struct err *e)
{
	struct pgw_reader r;

	pgw_read(&r, m);
	for (;;) {
		const char *name = pgw_get_string(&r);
		const char *value;
		enum res res;

		if (!*name)
			break;
		value = pgw_get_string(&r);
		res = login_parameter(c, s, name, value, e);
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

static enum res login_check(struct caller *c, const struct startup *s,
			    struct err *e)
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
	return ses_options(&c->ses, s->options, e);
}

/* NegotiateProtocolVersion: 3.0 and no protocol option. */
static void login_negotiate(struct caller *c)
{
	static const char message[] = {'v', 0, 0, 0, 12, 0, 0,
				       0,   0, 0, 0, 0,	 0};

	buf_add(caller_out(c), message, sizeof(message));
}

static void login_begin(struct caller *c, const struct pgw_msg *m)
{
	struct startup s = {.user = "",
			    .database = "",
			    .options = "",
			    .replication = "",
			    .encoding = ""};
	struct err e = ERR_INIT;

	if (c->all->stopping) {
		caller_fatal(c, RES_STOPPING, res_text(RES_STOPPING));
		return;
	}
	if (c->all->count > (size_t)c->all->cfg.set->max_callers) {
		caller_fatal(c, RES_TOO_MANY_CALLERS,
			     res_text(RES_TOO_MANY_CALLERS));
		return;
	}
	if (login_parameters(c, &s, m, &e) != RES_OK ||
	    login_check(c, &s, &e) != RES_OK) {
		cnt_add(CNT_bad_input, 1);
		caller_fatal(c, e.code, e.text);
		return;
	}
	snprintf(c->customer, sizeof(c->customer), "%s", s.user);
	snprintf(c->group, sizeof(c->group), "%s", s.database);
	if (m->code != PGW_VERSION_3 || s.extensions)
		login_negotiate(c);
	pgw_put_auth_cleartext(caller_out(c));
	c->phase = CALLER_PASSWORD;
}

void caller_startup(struct caller *c, const struct pgw_msg *m)
{
	switch (m->code) {
	case PGW_SSL:
	case PGW_GSS:
		buf_add(caller_out(c), "N", 1);
		return;
	case PGW_CANCEL:
		login_cancel(c, m);
		return;
	default:
		break;
	}
	if (m->code >> 16 != PGW_VERSION_3 >> 16) {
		cnt_add(CNT_bad_input, 1);
		caller_fatal(c, RES_UNSUPPORTED,
			     "protocol version is not supported, expected 3.0");
		return;
	}
	login_begin(c, m);
}

static void login_parameters_out(struct caller *c)
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
		pgw_put_parameter(out, parameters[i][0], parameters[i][1]);
	pgw_put_parameter(out, "session_authorization", c->customer);
}

static int32_t login_pid(struct callers *all)
{
	struct caller *taken;

	do {
		all->next_pid =
			all->next_pid == INT32_MAX ? 1 : all->next_pid + 1;
		HASH_FIND(hh, all->by_pid, &all->next_pid,
			  sizeof(all->next_pid), taken);
	} while (taken);
	return all->next_pid;
}

static void login_accept(struct caller *c)
{
	struct callers *all = c->all;

	c->pid = login_pid(all);
	randombytes_buf(&c->secret, sizeof(c->secret));
	HASH_ADD(hh, all->by_pid, pid, sizeof(c->pid), c);
	c->phase = CALLER_READY;
	pgw_put_auth_ok(caller_out(c));
	login_parameters_out(c);
	if (c->role == CALLER_CUSTOMER)
		caller_report_session(c);
	pgw_put_key_data(caller_out(c), c->pid, c->secret);
	caller_ready(c);
}

static enum res login_admin(struct caller *c, const char *password,
			    struct err *e)
{
	const struct settings *set = c->all->cfg.set;
	bool ok = false;

	if (!c->all->cfg.adm)
		return err_set(e, RES_NO_DATABASE, "no admin database");
	if (!strcmp(c->customer, "operator")) {
		c->role = CALLER_OPERATOR;
		ok = auth_equal(set->operator_password, password);
	} else if (!strcmp(c->customer, "backend")) {
		c->role = CALLER_BACKEND;
		ok = auth_equal(set->backend_password, password);
	}
	if (!ok)
		return err_set(e, RES_AUTH,
			       "password authentication failed for user "
			       "\"%s\"",
			       c->customer);
	return RES_OK;
}

static bool login_allowed(const struct customer *customer, const char *group)
{
	for (int64_t i = 0; i < customer->ndatabases; i++)
		if (!strcmp(customer->databases[i], group))
			return true;
	return customer->ndatabases == 0;
}

static enum res login_customer(struct caller *c, const char *password,
			       struct err *e)
{
	struct view *view = c->all->cfg.view;
	const struct lists *lists = view_lists(view);
	const struct customer *customer;
	size_t groups;

	/* Without contact to control since the start, no group is known. */
	view_groups(view, &groups);
	if (!lists || !groups)
		return err_set(e, RES_NO_CONFIG, "%s", res_text(RES_NO_CONFIG));
	customer = lst_customer(lists, c->customer);
	if (!customer || !auth_check(c->all->auth, customer, password))
		return err_set(e, RES_AUTH,
			       "password authentication failed for user "
			       "\"%s\"",
			       c->customer);
	if (!login_allowed(customer, c->group))
		return err_set(e, RES_NO_DATABASE,
			       "database \"%s\" is not allowed for user "
			       "\"%s\"",
			       c->group, c->customer);
	if (!view_group(view, c->group))
		return err_set(e, RES_NO_DATABASE,
			       "database \"%s\" does not exist", c->group);
	return RES_OK;
}

void caller_password(struct caller *c, const struct pgw_msg *m)
{
	struct err e = ERR_INIT;
	struct pgw_reader r;
	const char *password;
	enum res res;

	pgw_read(&r, m);
	password = pgw_get_string(&r);
	if (m->type == 'X') {
		c->phase = CALLER_CLOSING;
		net_finish(c->conn);
		return;
	}
	if (m->type != 'p' || r.bad) {
		cnt_add(CNT_bad_input, 1);
		caller_fatal(c, RES_BAD_MESSAGE, "expected a password message");
		return;
	}
	if (!strcmp(c->group, ADMIN_DATABASE))
		res = login_admin(c, password, &e);
	else
		res = login_customer(c, password, &e);
	if (res != RES_OK)
		caller_fatal(c, res, e.text);
	else
		login_accept(c);
}
