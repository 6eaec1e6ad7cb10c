#include "admin.h"

#include "buf.h"
#include "counter.h"
#include "log.h"
#include "pgwire.h"
#include "settings.h"
#include "uplink.h"
#include "view.h"

#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <uthash.h>

enum {
	ADM_MAX_WORDS = 9,
	ADM_MAX_BACKEND_SLOTS = 10000,
	ADM_MAX_BACKEND_CONNECTIONS = 100000
};

/* A command split into words. A word in single quotes may hold any text. */
struct adm_words {
	char *text[ADM_MAX_WORDS];
	int n;
	char *mem; /* holds all words */
};

/* A command that was forwarded to the control leader. */
struct adm_request {
	int64_t id; /* from uplink_request() */
	struct adm *adm;
	struct adm_answer_handler sink;
	UT_hash_handle hh;
};

struct adm {
	struct adm_config cfg;
	struct adm_request *requests;
};

struct adm *adm_new(const struct adm_config *cfg)
{
	struct adm *a = calloc(1, sizeof(*a));

	if (!a)
		abort();
	a->cfg = *cfg;
	return a;
}

static void adm_remove_request(struct adm *a, struct adm_request *r)
{
	HASH_DEL(a->requests, r);
	free(r);
}

void adm_free(struct adm *a)
{
	struct adm_request *r;
	struct adm_request *next;

	if (!a)
		return;
	for (r = a->requests; r; r = next) {
		next = r->hh.next;
		uplink_cancel_request(a->cfg.up, r->id);
		adm_remove_request(a, r);
	}
	free(a);
}

static void adm_put_error(struct buf *out, enum res res, const char *text,
			  const char *hint)
{
	static const char *const details[] = {
		[RES_RAN_NONE] = NULL,
		[RES_RAN_NOT_RUN] = "The request was not run.",
		[RES_RAN_MAYBE] = "The request may have run.",
		[RES_RAN_RAN] = "The request ran."};
	struct pgw_error error = {.severity = "ERROR",
				  .sqlstate = res_sqlstate(res),
				  .message = text,
				  .detail = details[res_ran(res)],
				  .hint = hint};

	cnt_add_refusal(res);
	pgw_put_error(out, &error);
}

static void adm_answer(const struct adm_answer_handler *sink, struct buf *out)
{
	sink->on_answer(sink->arg, buf_data(out), buf_len(out));
	buf_free(out);
}

static void adm_answer_error(const struct adm_answer_handler *sink,
			     enum res res, const char *text)
{
	struct buf out = BUF_INIT;

	adm_put_error(&out, res, text, NULL);
	adm_answer(sink, &out);
}

/* Copies a quoted word without its quotes; '' stands for one quote. Returns
 * the text after it, or NULL if the closing quote is missing. */
static const char *adm_copy_quoted(const char *s, char **to)
{
	for (s++; *s; s++) {
		if (*s == '\'' && *++s != '\'') {
			*(*to)++ = '\0';
			return s;
		}
		*(*to)++ = *s;
	}
	return NULL;
}

/* Copies a word without quotes and returns the text after it. */
static const char *adm_copy_word(const char *s, char **to)
{
	while (*s && !strchr(" \t\r\n;'", *s))
		*(*to)++ = *s++;
	*(*to)++ = '\0';
	return s;
}

/* Splits a command at blanks; an optional ';' ends it. False if there are too
 * many words, an open quote, or text after the ';'. */
static bool adm_split(const char *sql, struct adm_words *w)
{
	const char *s = sql;
	char *to;

	w->n = 0;
	w->mem = malloc(strlen(sql) + ADM_MAX_WORDS + 1);
	if (!w->mem)
		abort();
	to = w->mem;
	for (;;) {
		s += strspn(s, " \t\r\n");
		if (*s == ';')
			return s[1 + strspn(s + 1, " \t\r\n;")] == '\0';
		if (!*s)
			return true;
		if (w->n == ADM_MAX_WORDS)
			return false;
		w->text[w->n++] = to;
		s = *s == '\'' ? adm_copy_quoted(s, &to)
			       : adm_copy_word(s, &to);
		if (!s)
			return false;
	}
}

static bool adm_is_command(const struct adm_words *w, const char *command,
			   int n)
{
	return w->n == n && !strcasecmp(w->text[0], command);
}

/* Parses a word that must be an integer from min to max. */
static bool adm_parse_number(const char *text, int64_t min, int64_t max,
			     int64_t *out)
{
	char *end;

	errno = 0;
	*out = strtoll(text, &end, 10);
	return end != text && !*end && !errno && *out >= min && *out <= max;
}

/* Copies a word to out (len bytes); false if it is empty or too long. */
static bool adm_copy_name(const char *text, char *out, size_t len)
{
	if (!*text || strlen(text) >= len)
		return false;
	strcpy(out, text);
	return true;
}

/* Writes the rows that control answered; the first row has the column names. */
static void adm_put_rows(struct buf *out, const struct msg_rows *rows)
{
	int64_t n = rows->ncols;
	char **names = calloc((size_t)n + 1, sizeof(*names));
	int64_t count = n ? rows->ncells / n - 1 : 0;
	char tag[48];

	if (!names)
		abort();
	for (int64_t i = 0; i < n; i++)
		names[i] = strndup(rows->cells[i].text.data,
				   rows->cells[i].text.len);
	pgw_put_text_row_description(out, (const char *const *)names, (int)n);
	for (int64_t row = 1; row <= count; row++) {
		size_t mark = pgw_begin_data_row(out, (int)n);

		for (int64_t i = 0; i < n; i++) {
			const struct blob *b = &rows->cells[row * n + i].text;

			pgw_put_value(out, b->data ? b->data : "",
				      (int32_t)b->len);
		}
		pgw_end_data_row(out, mark);
	}
	snprintf(tag, sizeof(tag), "SELECT %" PRId64, count);
	pgw_put_command_complete(out, tag);
	for (int64_t i = 0; i < n; i++)
		free(names[i]);
	free(names);
}

static void adm_put_applied(struct buf *out, const struct msg_applied *m)
{
	static const char *const columns[] = {"result", "version", "digest",
					      "by",	"at",	   "text"};
	char version[24];
	char at[24];
	char hint[160];
	char *text = strndup(m->text.len ? m->text.data : "", m->text.len);
	const char *values[] = {res_name((enum res)m->res), version, m->digest,
				m->version_operator,	    at,	     text};

	if (!text)
		abort();
	snprintf(version, sizeof(version), "%" PRId64, m->version);
	snprintf(at, sizeof(at), "%" PRId64, m->version_written_at);
	if (m->res == RES_OK) {
		pgw_put_text_row_description(out, columns, 6);
		pgw_put_text_data_row(out, values, 6);
		pgw_put_command_complete(out, "SELECT 1");
	} else {
		snprintf(hint, sizeof(hint),
			 "In force: version %s, digest %s, by %s, at %s.",
			 version, m->digest, m->version_operator, at);
		adm_put_error(out, (enum res)m->res,
			      *text ? text : res_text((enum res)m->res),
			      m->version ? hint : NULL);
	}
	free(text);
}

static void adm_on_reply(void *arg, const struct msg *m)
{
	struct adm_request *r = arg;
	struct adm_answer_handler sink = r->sink;
	struct buf out = BUF_INIT;

	adm_remove_request(r->adm, r);
	if (!m)
		adm_put_error(&out, RES_NO_QUORUM,
			      "no control leader answered in time", NULL);
	else if (m->type == MSG_APPLIED)
		adm_put_applied(&out, &m->u.applied);
	else if (m->u.rows.res != RES_OK)
		adm_put_error(&out, (enum res)m->u.rows.res,
			      res_text((enum res)m->u.rows.res), NULL);
	else
		adm_put_rows(&out, &m->u.rows);
	adm_answer(&sink, &out);
}

static int64_t adm_forward(struct adm *a, const struct msg *m,
			   const struct adm_answer_handler *sink)
{
	struct adm_request *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->adm = a;
	r->sink = *sink;
	r->id = uplink_request(a->cfg.up, m, adm_on_reply, r);
	HASH_ADD(hh, a->requests, id, sizeof(r->id), r);
	return r->id;
}

static int64_t adm_run_show(struct adm *a, char *what,
			    const struct adm_answer_handler *sink)
{
	struct msg m = {.type = MSG_QUERY};
	struct buf out = BUF_INIT;

	for (char *p = what; *p; p++)
		if (*p >= 'A' && *p <= 'Z')
			*p = (char)(*p + 'a' - 'A');
	if (!strcmp(what, "status") || !strcmp(what, "log")) {
		m.u.query.report_name =
			(struct blob){.data = what, .len = strlen(what)};
		return adm_forward(a, &m, sink);
	}
	if (adm_append_table(&a->cfg, what, &out))
		adm_answer(sink, &out);
	else
		adm_answer_error(
			sink, RES_BAD_SQL,
			"unknown table: expected SHOW STATUS, COUNTERS, "
			"BACKENDS, GROUPS, PROXIES, CONFIG, LOG or VERSION");
	return 0;
}

static int64_t adm_run_apply(struct adm *a, const struct adm_words *w,
			     const struct adm_answer_handler *sink)
{
	struct msg m = {.type = MSG_APPLY};
	struct msg_apply *apply = &m.u.apply;

	if (!adm_copy_name(w->text[1], apply->request_id, REQUEST_ID_LEN) ||
	    !adm_copy_name(w->text[2], apply->operator_name, ID_LEN) ||
	    !adm_parse_number(w->text[3], 0, INT64_MAX, &apply->base_version)) {
		adm_answer_error(
			sink, RES_BAD_LIST,
			"APPLY: expected a request id of 1 to 64 bytes, an "
			"operator of 1 to 31 bytes and a base version");
		return 0;
	}
	apply->lists =
		(struct blob){.data = w->text[4], .len = strlen(w->text[4])};
	log_info("admin", "event=apply request_id=%s operator=%s base=%" PRId64,
		 apply->request_id, apply->operator_name, apply->base_version);
	return adm_forward(a, &m, sink);
}

static void adm_answer_complete(const struct adm_answer_handler *sink,
				const char *tag)
{
	struct buf out = BUF_INIT;

	pgw_put_command_complete(&out, tag);
	adm_answer(sink, &out);
}

static int64_t adm_run_announce(struct adm *a, const struct adm_words *w,
				const struct adm_answer_handler *sink)
{
	struct backend_info b = {.version = 0};
	struct err e = ERR_INIT;

	if (!adm_copy_name(w->text[1], b.group, ID_LEN) ||
	    !adm_copy_name(w->text[2], b.id, ID_LEN) ||
	    !adm_copy_name(w->text[3], b.addr, ADDR_LEN) ||
	    !adm_copy_name(w->text[4], b.zone, ID_LEN) ||
	    !adm_parse_number(w->text[5], 0, INT64_MAX, &b.incarnation) ||
	    !adm_parse_number(w->text[6], 1, ADM_MAX_BACKEND_SLOTS, &b.slots) ||
	    !adm_parse_number(w->text[7], 1, ADM_MAX_BACKEND_CONNECTIONS,
			      &b.connection_limit)) {
		adm_answer_error(
			sink, RES_BAD_LIST,
			"ANNOUNCE: expected '<group>' '<id>' '<ip:port>' "
			"'<zone>' <incarnation> <slots> <connections>");
		return 0;
	}
	if (settings_check_peer_addr(b.addr, "ANNOUNCE", &e) != RES_OK) {
		adm_answer_error(sink, e.code, e.text);
		return 0;
	}
	cnt_add(CNT_backends_announced, 1);
	uplink_announce(a->cfg.up, &b);
	adm_answer_complete(sink, "ANNOUNCE");
	return 0;
}

static int64_t adm_run_leave(struct adm *a, const struct adm_words *w,
			     const struct adm_answer_handler *sink)
{
	const struct backend_info *known =
		view_backend(a->cfg.view, w->text[2]);
	struct backend_info b;

	if (!known || strcmp(known->group, w->text[1]) != 0) {
		adm_answer_error(sink, RES_BAD_LIST,
				 "LEAVE: no such backend server in this group");
		return 0;
	}
	b = *known;
	b.leaving = true;
	uplink_announce(a->cfg.up, &b);
	adm_answer_complete(sink, "LEAVE");
	return 0;
}

static int64_t adm_run_words(struct adm *a, enum adm_login_role user,
			     struct adm_words *w,
			     const struct adm_answer_handler *sink)
{
	bool is_operator = user == ADM_LOGIN_OPERATOR;

	if (adm_is_command(w, "SHOW", 2) && is_operator)
		return adm_run_show(a, w->text[1], sink);
	if (adm_is_command(w, "APPLY", 5) && is_operator)
		return adm_run_apply(a, w, sink);
	if (adm_is_command(w, "ANNOUNCE", 8) && !is_operator)
		return adm_run_announce(a, w, sink);
	if (adm_is_command(w, "LEAVE", 3))
		return adm_run_leave(a, w, sink);
	adm_answer_error(
		sink, RES_BAD_SQL,
		is_operator
			? "unknown command: expected SHOW <table>, APPLY "
			  "'<request id>' '<operator>' <base version> "
			  "'<lists>' or LEAVE '<group>' '<id>'"
			: "unknown command: expected ANNOUNCE '<group>' "
			  "'<id>' '<ip:port>' '<zone>' <incarnation> <slots> "
			  "<connections> or LEAVE '<group>' '<id>'");
	return 0;
}

int64_t adm_run(struct adm *a, enum adm_login_role user, const char *sql,
		const struct adm_answer_handler *sink)
{
	struct adm_words w;
	struct buf out = BUF_INIT;
	int64_t id = 0;

	if (!adm_split(sql, &w)) {
		adm_answer_error(
			sink, RES_BAD_SQL,
			"malformed command: expected words and strings in "
			"single quotes");
	} else if (!w.n) {
		pgw_put_bodyless_message(&out, 'I');
		adm_answer(sink, &out);
	} else {
		id = adm_run_words(a, user, &w, sink);
	}
	free(w.mem);
	return id;
}

void adm_abandon(struct adm *a, int64_t id)
{
	struct adm_request *r;

	HASH_FIND(hh, a->requests, &id, sizeof(id), r);
	if (!r)
		return;
	uplink_cancel_request(a->cfg.up, id);
	adm_remove_request(a, r);
}
