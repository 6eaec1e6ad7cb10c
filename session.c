#include "session.h"

#include "classify.h"

#include <ctype.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define SES_PREFIX "marjoramlatch."

enum ses_setting {
	SES_SETTING_SESSION,
	SES_SETTING_MAX_AGE,
	SES_SETTING_MAX_WAIT,
	SES_SETTING_REPEATABLE,
	SES_SETTING_REQUEST_ID,
	SES_SETTING_COUNT
};

static const char *const ses_setting_names[SES_SETTING_COUNT] = {
	[SES_SETTING_SESSION] = "session",
	[SES_SETTING_MAX_AGE] = "max_age_ms",
	[SES_SETTING_MAX_WAIT] = "max_wait_ms",
	[SES_SETTING_REPEATABLE] = "repeatable",
	[SES_SETTING_REQUEST_ID] = "request_id",
};

/* Returns SES_SETTING_COUNT and sets an error if there is no such setting. */
static enum ses_setting ses_find_setting(const char *name, struct err *e)
{
	int i = 0;

	while (i < SES_SETTING_COUNT &&
	       strcasecmp(ses_setting_names[i], name) != 0)
		i++;
	if (i == SES_SETTING_COUNT)
		err_set(e, RES_BAD_SETTING,
			"unknown setting " SES_PREFIX
			"%.40s: expected session, max_age_ms, max_wait_ms, "
			"repeatable or request_id",
			name);
	return (enum ses_setting)i;
}

void ses_init(struct session_settings *s)
{
	*s = (struct session_settings){.max_age_ms = -1, .max_wait_ms = -1};
}

void ses_free(struct session_settings *s)
{
	if (s->before_set_local) {
		ses_free(s->before_set_local);
		free(s->before_set_local);
	}
	free(s->token);
	free(s->session_id);
	free(s->request_id);
	ses_init(s);
}

static char *ses_copy_string(const char *text)
{
	char *copy = strdup(text);

	if (!copy)
		abort();
	return copy;
}

static struct token *ses_copy_token(const struct token *t)
{
	struct token *copy = malloc(sizeof(*copy));

	if (!copy)
		abort();
	*copy = *t;
	return copy;
}

/* True if text is a valid id: 1 to 64 letters, digits or ._:- bytes, because
 * ids are sent in messages and written to log lines. */
static bool ses_is_id(const char *text)
{
	size_t len = strlen(text);

	for (size_t i = 0; i < len; i++)
		if (!isalnum((unsigned char)text[i]) &&
		    !strchr("._:-", text[i]))
			return false;
	return len > 0 && len < SES_ID_SIZE;
}

static enum res ses_parse_ms(const char *name, const char *value, clk_ms max,
			     clk_ms *out, struct err *e)
{
	char *end;
	long long n;

	errno = 0;
	n = strtoll(value, &end, 10);
	if (end == value || *end || errno || n < 0 || n > max)
		return err_set(e, RES_BAD_SETTING,
			       SES_PREFIX "%s = \"%.40s\": expected a whole "
					  "number of milliseconds from 0 to "
					  "%lld",
			       name, value, (long long)max);
	*out = n;
	return RES_OK;
}

static enum res ses_parse_repeatable(const char *value,
				     enum ses_repeatable *out, struct err *e)
{
	static const char *const yes[] = {"on", "true", "yes", "1"};
	static const char *const no[] = {"off", "false", "no", "0"};

	for (int i = 0; i < 4; i++) {
		if (!strcasecmp(value, yes[i])) {
			*out = SES_ALL_REPEATABLE;
			return RES_OK;
		}
		if (!strcasecmp(value, no[i])) {
			*out = SES_NOTHING_REPEATABLE;
			return RES_OK;
		}
	}
	return err_set(e, RES_BAD_SETTING,
		       SES_PREFIX "repeatable = \"%.40s\": expected on or off",
		       value);
}

static enum res ses_check_request_id(const char *value, struct err *e)
{
	if (!*value || ses_is_id(value))
		return RES_OK;
	return err_set(e, RES_BAD_SETTING,
		       SES_PREFIX "request_id = \"%.70s\": expected 1 to 64 "
				  "letters, digits or ._:-",
		       value);
}

/* Parses the session setting. A text that is a valid id is taken as a session
 * id, any other text is parsed as a token. */
static enum res ses_parse_session(const char *value, struct token *token,
				  bool *is_id, struct err *e)
{
	*is_id = *value && ses_is_id(value);
	if (*is_id) {
		token->n = 0;
		return RES_OK;
	}
	return tok_parse(token, value, e);
}

static enum res ses_set_session(struct session_settings *s, const char *value,
				struct err *e)
{
	struct token token = {.n = 0};
	bool is_id;
	enum res r = ses_parse_session(value, &token, &is_id, e);

	if (r != RES_OK)
		return r;
	free(s->token);
	free(s->session_id);
	s->token = token.n ? ses_copy_token(&token) : NULL;
	s->session_id = is_id ? ses_copy_string(value) : NULL;
	return RES_OK;
}

static enum res ses_set_request_id(struct session_settings *s,
				   const char *value, struct err *e)
{
	enum res r = ses_check_request_id(value, e);

	if (r != RES_OK)
		return r;
	free(s->request_id);
	s->request_id = *value ? ses_copy_string(value) : NULL;
	return RES_OK;
}

enum res ses_set(struct session_settings *s, const char *name,
		 const char *value, struct err *e)
{
	switch (ses_find_setting(name, e)) {
	case SES_SETTING_SESSION:
		return ses_set_session(s, value, e);
	case SES_SETTING_MAX_AGE:
		return ses_parse_ms(name, value, SES_MAX_AGE_MS, &s->max_age_ms,
				    e);
	case SES_SETTING_MAX_WAIT:
		return ses_parse_ms(name, value, SES_MAX_WAIT_MS,
				    &s->max_wait_ms, e);
	case SES_SETTING_REPEATABLE:
		return ses_parse_repeatable(value, &s->repeatable, e);
	case SES_SETTING_REQUEST_ID:
		return ses_set_request_id(s, value, e);
	case SES_SETTING_COUNT:
		break;
	}
	return RES_BAD_SETTING;
}

enum res ses_reset(struct session_settings *s, const char *name, struct err *e)
{
	switch (ses_find_setting(name, e)) {
	case SES_SETTING_MAX_AGE:
		s->max_age_ms = -1;
		break;
	case SES_SETTING_MAX_WAIT:
		s->max_wait_ms = -1;
		break;
	case SES_SETTING_REPEATABLE:
		s->repeatable = SES_READS_REPEATABLE;
		break;
	case SES_SETTING_SESSION:
	case SES_SETTING_REQUEST_ID:
		return ses_set(s, name, "", e);
	case SES_SETTING_COUNT:
		return RES_BAD_SETTING;
	}
	return RES_OK;
}

static struct session_settings *ses_snapshot(const struct session_settings *s)
{
	struct session_settings *copy = malloc(sizeof(*copy));

	if (!copy)
		abort();
	*copy = *s;
	copy->before_set_local = NULL;
	if (s->token)
		copy->token = ses_copy_token(s->token);
	if (s->session_id)
		copy->session_id = ses_copy_string(s->session_id);
	if (s->request_id)
		copy->request_id = ses_copy_string(s->request_id);
	return copy;
}

enum res ses_set_local(struct session_settings *s, const char *name,
		       const char *value, struct err *e)
{
	struct session_settings *before =
		s->before_set_local ? NULL : ses_snapshot(s);
	enum res r = ses_set(s, name, value, e);

	if (!before)
		return r;
	if (r == RES_OK) {
		s->before_set_local = before;
	} else {
		ses_free(before);
		free(before);
	}
	return r;
}

void ses_end_transaction(struct session_settings *s)
{
	struct session_settings *before = s->before_set_local;

	if (!before)
		return;
	s->before_set_local = NULL;
	ses_free(s);
	*s = *before;
	free(before);
}

enum res ses_show(const struct session_settings *s, const char *name, char *out,
		  struct err *e)
{
	static const char *const repeatable[] = {
		[SES_READS_REPEATABLE] = "reads",
		[SES_ALL_REPEATABLE] = "on",
		[SES_NOTHING_REPEATABLE] = "off",
	};
	clk_ms ms = -1;

	out[0] = '\0';
	switch (ses_find_setting(name, e)) {
	case SES_SETTING_SESSION:
		if (s->session_id)
			snprintf(out, TOK_TEXT_LEN, "%s", s->session_id);
		else if (s->token)
			tok_format(s->token, out);
		return RES_OK;
	case SES_SETTING_REPEATABLE:
		snprintf(out, TOK_TEXT_LEN, "%s", repeatable[s->repeatable]);
		return RES_OK;
	case SES_SETTING_REQUEST_ID:
		snprintf(out, TOK_TEXT_LEN, "%s",
			 s->request_id ? s->request_id : "");
		return RES_OK;
	case SES_SETTING_MAX_AGE:
		ms = s->max_age_ms;
		break;
	case SES_SETTING_MAX_WAIT:
		ms = s->max_wait_ms;
		break;
	case SES_SETTING_COUNT:
		return RES_BAD_SETTING;
	}
	if (ms >= 0)
		snprintf(out, TOK_TEXT_LEN, "%lld", (long long)ms);
	else
		snprintf(out, TOK_TEXT_LEN, "plan");
	return RES_OK;
}

/* Copies the next word of s to out. A backslash escapes the next byte. Returns
 * the start of the following word, or NULL if the word is too long. */
static const char *ses_next_word(const char *s, char *out, size_t len)
{
	size_t n = 0;

	while (*s && !isspace((unsigned char)*s)) {
		if (*s == '\\' && s[1])
			s++;
		if (n + 1 == len)
			return NULL;
		out[n++] = *s++;
	}
	out[n] = '\0';
	return s + strspn(s, " \t\r\n");
}

/* Splits "marjoramlatch.name=value". Returns the value, or NULL if the word has
 * another form. */
static char *ses_split_setting(char *word, const char **name)
{
	char *equals = strchr(word, '=');

	if (!equals || strncasecmp(word, SES_PREFIX, strlen(SES_PREFIX)) != 0)
		return NULL;
	*equals = '\0';
	*name = word + strlen(SES_PREFIX);
	return equals + 1;
}

enum res ses_apply_options(struct session_settings *s, const char *options,
			   struct err *e)
{
	char word[CLS_VALUE_LEN];
	const char *at = options + strspn(options, " \t\r\n");

	while (*at) {
		const char *name;
		char *setting = word;
		char *value;
		enum res r;

		if (!strncmp(at, "-c", 2)) {
			at += 2;
			at += strspn(at, " \t\r\n");
		} else if (!strncmp(at, "--", 2)) {
			at += 2;
		} else {
			break;
		}
		at = ses_next_word(at, word, sizeof(word));
		value = at ? ses_split_setting(setting, &name) : NULL;
		if (!value)
			return err_set(e, RES_BAD_SETTING,
				       "startup options: only " SES_PREFIX
				       "* settings can be given, not "
				       "\"%.40s\"",
				       word);
		r = ses_set(s, name, value, e);
		if (r != RES_OK)
			return r;
	}
	if (*at)
		return err_set(e, RES_BAD_SETTING,
			       "startup options: expected -c name=value or "
			       "--name=value at \"%.40s\"",
			       at);
	return RES_OK;
}

static enum res ses_set_for_statement(struct ses_statement_values *out,
				      const char *name, const char *value,
				      struct err *e)
{
	switch (ses_find_setting(name, e)) {
	case SES_SETTING_SESSION:
		return ses_parse_session(value, &out->token,
					 &out->token_unknown, e);
	case SES_SETTING_MAX_AGE:
		return ses_parse_ms(name, value, SES_MAX_AGE_MS,
				    &out->max_age_ms, e);
	case SES_SETTING_MAX_WAIT:
		return ses_parse_ms(name, value, SES_MAX_WAIT_MS,
				    &out->max_wait_ms, e);
	case SES_SETTING_REPEATABLE:
		return ses_parse_repeatable(value, &out->repeatable, e);
	case SES_SETTING_REQUEST_ID:
		if (ses_check_request_id(value, e) != RES_OK)
			return RES_BAD_SETTING;
		snprintf(out->request_id, sizeof(out->request_id), "%s", value);
		out->request_id_from_comment = *value != '\0';
		return RES_OK;
	case SES_SETTING_COUNT:
		break;
	}
	return RES_BAD_SETTING;
}

/* Applies the settings of one comment to out. s points behind the comment's
 * opening. */
static enum res ses_parse_comment(const char *s,
				  struct ses_statement_values *out,
				  struct err *e)
{
	char word[CLS_VALUE_LEN];

	for (;;) {
		const char *name;
		char *value;
		size_t n;
		enum res r;

		s += strspn(s, " \t\r\n");
		if (!strncmp(s, "*/", 2))
			return RES_OK;
		n = strcspn(s, " \t\r\n");
		for (size_t i = 0; i < n; i++)
			if (!strncmp(s + i, "*/", 2))
				n = i;
		snprintf(word, sizeof(word), "%.*s", (int)n, s);
		value = n < sizeof(word) ? ses_split_setting(word, &name)
					 : NULL;
		if (!value)
			return err_set(e, RES_BAD_SETTING,
				       "comment with settings: expected "
				       "blank-separated " SES_PREFIX
				       "name=value, not \"%.40s\"",
				       word);
		r = ses_set_for_statement(out, name, value, e);
		if (r != RES_OK)
			return r;
		s += n;
	}
}

enum res ses_resolve_statement(const struct session_settings *s,
			       const char *sql,
			       struct ses_statement_values *out, struct err *e)
{
	const char *end = cls_skip_comments(sql);

	out->token.n = 0;
	if (s->token)
		out->token = *s->token;
	out->token_unknown = s->session_id != NULL;
	out->max_age_ms = s->max_age_ms;
	out->max_wait_ms = s->max_wait_ms;
	out->repeatable = s->repeatable;
	out->request_id_from_comment = false;
	snprintf(out->request_id, sizeof(out->request_id), "%s",
		 s->request_id ? s->request_id : "");
	for (const char *at = sql; at + 2 < end; at++) {
		const char *text = at + 2 + strspn(at + 2, " \t\r\n");
		enum res r;

		if (strncmp(at, "/*", 2) != 0 ||
		    strncasecmp(text, SES_PREFIX, strlen(SES_PREFIX)) != 0)
			continue;
		r = ses_parse_comment(text, out, e);
		if (r != RES_OK)
			return r;
	}
	return RES_OK;
}

void ses_clear_request_id(struct session_settings *s)
{
	free(s->request_id);
	s->request_id = NULL;
	if (s->before_set_local)
		ses_clear_request_id(s->before_set_local);
}

bool ses_record_write(struct session_settings *s, const char *group,
		      int64_t term, int64_t position)
{
	if (s->before_set_local)
		ses_record_write(s->before_set_local, group, term, position);
	if (!s->token)
		s->token = ses_copy_token(&(struct token){.n = 0});
	tok_raise(s->token, group, term, position);
	/* The session with this id may have writes that the token lacks. */
	return !s->session_id;
}
