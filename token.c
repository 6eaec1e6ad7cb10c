#include "token.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static bool tok_parse_number(const char **s, char stop, int64_t *out)
{
	char *end;

	if (**s < '0' || **s > '9')
		return false;
	*out = strtoll(*s, &end, 10);
	if (*end != stop && !(stop == ',' && *end == '\0'))
		return false;
	*s = end + (*end != '\0');
	return true;
}

static bool tok_parse_entry(struct tok_entry *entry, const char **s)
{
	size_t len = strcspn(*s, "/,");

	if (len == 0 || len >= ID_LEN || (*s)[len] != '/')
		return false;
	memcpy(entry->group, *s, len);
	entry->group[len] = '\0';
	*s += len + 1;
	return tok_parse_number(s, '/', &entry->term) &&
	       tok_parse_number(s, ',', &entry->position);
}

enum res tok_parse(struct token *t, const char *text, struct err *e)
{
	struct token parsed = {.n = 0};
	const char *s = text;

	while (*s) {
		struct tok_entry entry;

		if (parsed.n == TOK_MAX_ENTRIES || !tok_parse_entry(&entry, &s))
			return err_set(e, RES_BAD_SETTING,
				       "session token \"%.40s\": expected up "
				       "to %d of group/term/position",
				       text, TOK_MAX_ENTRIES);
		tok_raise(&parsed, entry.group, entry.term, entry.position);
	}
	*t = parsed;
	return RES_OK;
}

void tok_format(const struct token *t, char *out)
{
	size_t n = 0;

	out[0] = '\0';
	for (int i = 0; i < t->n; i++)
		n += (size_t)snprintf(out + n, TOK_TEXT_LEN - n,
				      "%s%s/%lld/%lld", i ? "," : "",
				      t->entries[i].group,
				      (long long)t->entries[i].term,
				      (long long)t->entries[i].position);
}

const struct tok_entry *tok_find(const struct token *t, const char *group)
{
	for (int i = 0; i < t->n; i++)
		if (!strcmp(t->entries[i].group, group))
			return &t->entries[i];
	return NULL;
}

static bool tok_is_newer(const struct tok_entry *old, int64_t term,
			 int64_t position)
{
	if (term != old->term)
		return term > old->term;
	return position > old->position;
}

void tok_raise(struct token *t, const char *group, int64_t term,
	       int64_t position)
{
	struct tok_entry *entry = (struct tok_entry *)tok_find(t, group);

	if (entry && !tok_is_newer(entry, term, position))
		return;
	if (!entry) {
		if (t->n == TOK_MAX_ENTRIES) {
			memmove(&t->entries[0], &t->entries[1],
				sizeof(t->entries[0]) * (TOK_MAX_ENTRIES - 1));
			t->n--;
		}
		entry = &t->entries[t->n++];
		snprintf(entry->group, sizeof(entry->group), "%s", group);
	}
	entry->term = term;
	entry->position = position;
}

bool tok_contained(const struct term_start *starts, int64_t nstarts,
		   int64_t term, int64_t position, int64_t later_term)
{
	for (int64_t i = 0; i < nstarts; i++) {
		if (starts[i].term <= term || starts[i].term > later_term)
			continue;
		if (position > starts[i].start_position)
			return false;
	}
	return true;
}
