#include "backend.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>

/* Length of a comment, string or quoted name at p; 0 if there is none. */
static size_t skip_quoted(const char *p)
{
	const char *q = p;

	if (!strncmp(p, "--", 2))
		return strcspn(p, "\n");
	if (!strncmp(p, "/*", 2)) {
		q = strstr(p + 2, "*/");
		return q ? (size_t)(q - p) + 2 : strlen(p);
	}
	if (*p != '\'' && *p != '"')
		return 0;
	for (q = p + 1; *q; q++)
		if (*q == *p) {
			if (q[1] != *p)
				return (size_t)(q - p) + 1;
			q++;
		}
	return (size_t)(q - p);
}

size_t text_split(const char *sql)
{
	const char *p = sql;

	while (*p) {
		size_t n = skip_quoted(p);

		p += n ? n : 1;
		if (!n && p[-1] == ';')
			break;
	}
	return (size_t)(p - sql);
}

static const char *skip_space(const char *p)
{
	for (;;) {
		if (isspace((unsigned char)*p) || *p == ';')
			p++;
		else if (!strncmp(p, "--", 2) || !strncmp(p, "/*", 2))
			p += skip_quoted(p);
		else
			return p;
	}
}

static bool is_word_char(char c)
{
	return isalnum((unsigned char)c) || c == '_' || c == '$';
}

/* Moves *p past a word and the space after it; false if it is another word. */
static bool accept_word(const char **p, const char *word)
{
	size_t n = strlen(word);

	if (strncasecmp(*p, word, n) || is_word_char((*p)[n]))
		return false;
	*p = skip_space(*p + n);
	return true;
}

static bool parse_arg(const char **p, char *out)
{
	const char *s = *p;
	size_t n;

	if (*s == '\'') {
		n = skip_quoted(s);
		*p = skip_space(s + n);
		s++;
		n -= 2;
	} else {
		n = strspn(s, "$-0123456789");
		*p = skip_space(s + n);
	}
	if (!n || n >= ARG_LEN)
		return false;
	memcpy(out, s, n);
	out[n] = '\0';
	/* Casts of arguments are ignored. */
	if (!strncmp(*p, "::", 2)) {
		*p += 2;
		while (is_word_char(**p))
			(*p)++;
		*p = skip_space(*p);
	}
	return true;
}

static bool parse_call(struct call *c, const char *p)
{
	static const char *const names[] = {
		[FN_STATUS] = "marjoramlatch_status",
		[FN_FENCE] = "marjoramlatch_fence",
		[FN_PROMOTE] = "marjoramlatch_promote",
		[FN_FOLLOW] = "marjoramlatch_follow",
		[FN_AWAIT] = "marjoramlatch_await",
		[FN_CANCEL] = "pg_cancel_backend",
		[FN_PULL] = "marjoramlatch_pull",
	};
	int fn;

	if (!accept_word(&p, "SELECT"))
		return false;
	if (*p == '*') {
		p = skip_space(p + 1);
		if (!accept_word(&p, "FROM"))
			return false;
	}
	for (fn = FN_STATUS; fn <= FN_PULL; fn++)
		if (accept_word(&p, names[fn]))
			break;
	if (fn > FN_PULL || *p != '(')
		return false;
	p = skip_space(p + 1);
	c->fn = (enum fn)fn;
	c->nargs = 0;
	while (*p && *p != ')') {
		if (c->nargs == MAX_ARGS || !parse_arg(&p, c->args[c->nargs++]))
			return false;
		if (*p == ',')
			p = skip_space(p + 1);
	}
	return *p == ')' && !*skip_space(p + 1);
}

static enum kind classify(struct text *t, const char *p)
{
	static const struct {
		const char *word;
		enum kind kind;
	} words[] = {
		{"BEGIN", K_BEGIN},
		{"START", K_BEGIN},
		{"COMMIT", K_COMMIT},
		{"END", K_COMMIT},
		{"ROLLBACK", K_ROLLBACK},
		{"ABORT", K_ROLLBACK},
		{"SAVEPOINT", K_SAVEPOINT},
		{"RELEASE", K_SAVEPOINT},
		{"SET", K_SET},
		{"SHOW", K_SHOW},
		{"RESET", K_RESET},
		{"DISCARD", K_RESET},
		{"DEALLOCATE", K_RESET},
		{"COPY", K_UNSUPPORTED},
		{"PRAGMA", K_UNSUPPORTED},
		{"ATTACH", K_UNSUPPORTED},
		{"DETACH", K_UNSUPPORTED},
		{"VACUUM", K_UNSUPPORTED},
		{"LISTEN", K_UNSUPPORTED},
	};
	size_t i;

	if (!*p)
		return K_EMPTY;
	for (i = 0; i < sizeof(t->word) - 1 && is_word_char(p[i]); i++)
		t->word[i] = (char)toupper((unsigned char)p[i]);
	if (parse_call(&t->call, p))
		return K_CALL;
	if (!strcmp(t->word, "ROLLBACK")) {
		const char *q = p;

		accept_word(&q, "ROLLBACK");
		if (accept_word(&q, "TO"))
			return K_SAVEPOINT;
	}
	for (i = 0; i < sizeof(words) / sizeof(words[0]); i++)
		if (!strcmp(t->word, words[i].word))
			return words[i].kind;
	return K_SQL;
}

/* Writes the current time as a literal, so that all members that apply the
 * logged statement store the same value. */
static void put_current_time(struct buf *out)
{
	char text[32];
	time_t now = time(NULL);
	struct tm tm;

	gmtime_r(&now, &tm);
	strftime(text, sizeof(text), "'%Y-%m-%d %H:%M:%S'", &tm);
	buf_addstr(out, text);
}

/* Translates one word from PostgreSQL's dialect to SQLite's; returns the number
 * of bytes read. */
static size_t translate_word(struct text *t, const char *p, struct buf *out)
{
	const char *q = p;
	size_t n = 0;

	while (is_word_char(p[n]))
		n++;
	if (accept_word(&q, "SERIAL") || accept_word(&q, "BIGSERIAL")) {
		buf_addstr(out, "INTEGER");
	} else if (accept_word(&q, "CURRENT_TIMESTAMP")) {
		put_current_time(out);
	} else if (accept_word(&q, "now") && !strncmp(q, "()", 2)) {
		put_current_time(out);
		return (size_t)(q - p) + 2;
	} else if (q = p,
		   accept_word(&q, "FOR") && (accept_word(&q, "UPDATE") ||
					      accept_word(&q, "SHARE"))) {
		t->locks = true;
		return (size_t)(q - p);
	} else {
		buf_add(out, p, n);
	}
	return n;
}

static void translate(struct text *t, const char *p, struct buf *out)
{
	if (!strcmp(t->word, "TRUNCATE")) {
		accept_word(&p, "TRUNCATE");
		accept_word(&p, "TABLE");
		buf_addstr(out, "DELETE FROM ");
	}
	while (*p) {
		size_t n = skip_quoted(p);

		if (n) {
			buf_add(out, p, n);
		} else if (is_word_char(*p)) {
			n = translate_word(t, p, out);
		} else if (!strncmp(p, "::", 2)) {
			for (n = 2; is_word_char(p[n]); n++)
				;
		} else {
			n = 1;
			buf_add(out, p, 1);
		}
		p += n;
	}
}

void text_parse(struct text *t, const char *sql, size_t len)
{
	struct buf out = BUF_INIT;
	char *copy = strndup(sql, len);
	const char *cost = strstr(copy, "cost_us=");
	const char *p = skip_space(copy);

	*t = (struct text){.cost_us = -1};
	if (cost)
		t->cost_us = strtoll(cost + strlen("cost_us="), NULL, 10);
	t->kind = classify(t, p);
	if (t->kind == K_SQL || t->kind == K_SAVEPOINT)
		translate(t, p, &out);
	else
		buf_addstr(&out, p);
	t->sql = strdup(buf_str(&out));
	buf_free(&out);
	free(copy);
}

void text_free(struct text *t)
{
	free(t->sql);
	t->sql = NULL;
}

void text_tag(const struct text *t, int64_t rows, char *out, size_t len)
{
	const char *verb = t->word;
	const char *p = t->sql;
	char object[16] = "";

	if (!strcmp(verb, "WITH")) {
		verb = strcasestr(p, "INSERT INTO")   ? "INSERT"
		       : strcasestr(p, "DELETE FROM") ? "DELETE"
						      : "SELECT";
	}
	if (!strcmp(verb, "INSERT") || !strcmp(verb, "REPLACE")) {
		snprintf(out, len, "INSERT 0 %lld", (long long)rows);
	} else if (!strcmp(verb, "TRUNCATE")) {
		snprintf(out, len, "TRUNCATE TABLE");
	} else if (!strcmp(verb, "CREATE") || !strcmp(verb, "DROP") ||
		   !strcmp(verb, "ALTER")) {
		sscanf(p + strcspn(p, " \t\n"), "%15s", object);
		for (char *q = object; *q; q++)
			*q = (char)toupper((unsigned char)*q);
		snprintf(out, len, "%s %s", verb, object);
	} else if (!strcmp(verb, "UPDATE") || !strcmp(verb, "DELETE")) {
		snprintf(out, len, "%s %lld", verb, (long long)rows);
	} else {
		snprintf(out, len, "SELECT %lld", (long long)rows);
	}
}
