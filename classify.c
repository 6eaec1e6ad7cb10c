#include "classify.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#define CLS_BUCKETS (CLS_ENTRIES * 2)
#define CLS_NIL UINT32_MAX

struct cls_entry {
	XXH128_hash_t key;
	struct cls value;
	uint32_t next; /* index of the next entry of the bucket */
	uint32_t newer;
	uint32_t older;
};

struct cls_table {
	uint64_t seed;
	uint64_t hits;
	uint32_t used;
	uint32_t newest;
	uint32_t oldest;
	uint32_t buckets[CLS_BUCKETS];
	struct cls_entry entries[CLS_ENTRIES];
};

struct cls_table *cls_new(uint64_t seed)
{
	struct cls_table *t = calloc(1, sizeof(*t));

	if (!t)
		abort();
	t->seed = seed;
	t->newest = CLS_NIL;
	t->oldest = CLS_NIL;
	memset(t->buckets, 0xff, sizeof(t->buckets));
	return t;
}

void cls_free(struct cls_table *t)
{
	free(t);
}

uint64_t cls_hits(const struct cls_table *t)
{
	return t->hits;
}

size_t cls_entries(const struct cls_table *t)
{
	return t->used;
}

static uint32_t *cls_bucket(struct cls_table *t, const XXH128_hash_t *key)
{
	return &t->buckets[key->low64 % CLS_BUCKETS];
}

static void cls_unlink(struct cls_table *t, uint32_t i)
{
	struct cls_entry *entry = &t->entries[i];

	if (entry->newer == CLS_NIL)
		t->newest = entry->older;
	else
		t->entries[entry->newer].older = entry->older;
	if (entry->older == CLS_NIL)
		t->oldest = entry->newer;
	else
		t->entries[entry->older].newer = entry->newer;
}

static void cls_link_newest(struct cls_table *t, uint32_t i)
{
	struct cls_entry *entry = &t->entries[i];

	entry->newer = CLS_NIL;
	entry->older = t->newest;
	if (t->newest == CLS_NIL)
		t->oldest = i;
	else
		t->entries[t->newest].newer = i;
	t->newest = i;
}

static uint32_t cls_find(struct cls_table *t, const XXH128_hash_t *key)
{
	uint32_t i = *cls_bucket(t, key);

	while (i != CLS_NIL && !XXH128_isEqual(t->entries[i].key, *key))
		i = t->entries[i].next;
	return i;
}

/* Removes the least recently used entry from the table and returns its index
 * for reuse. */
static uint32_t cls_evict(struct cls_table *t)
{
	uint32_t i = t->oldest;
	uint32_t *link = cls_bucket(t, &t->entries[i].key);

	while (*link != i)
		link = &t->entries[*link].next;
	*link = t->entries[i].next;
	cls_unlink(t, i);
	return i;
}

static void cls_insert(struct cls_table *t, const XXH128_hash_t *key,
		       const struct cls *value)
{
	uint32_t i = t->used < CLS_ENTRIES ? t->used++ : cls_evict(t);
	uint32_t *bucket = cls_bucket(t, key);

	t->entries[i].key = *key;
	t->entries[i].value = *value;
	t->entries[i].next = *bucket;
	*bucket = i;
	cls_link_newest(t, i);
}

enum res cls_classify(struct cls_table *t, const char *sql, struct cls *out,
		      struct err *e)
{
	const char *text = cls_skip_comments(sql);
	XXH128_hash_t key = XXH3_128bits_withSeed(text, strlen(text), t->seed);
	uint32_t i = cls_find(t, &key);
	enum res r;

	if (i != CLS_NIL) {
		t->hits++;
		cls_unlink(t, i);
		cls_link_newest(t, i);
		*out = t->entries[i].value;
		return RES_OK;
	}
	r = cls_parse(text, out, e);
	if (r == RES_OK)
		cls_insert(t, &key, out);
	return r;
}

/* Returns the end of the comment that starts at s, or NULL if it isn't closed.
 * Comments may be nested. */
static const char *cls_end_comment(const char *s)
{
	int depth = 0;

	do {
		if (s[0] == '/' && s[1] == '*') {
			depth++;
			s += 2;
		} else if (s[0] == '*' && s[1] == '/') {
			depth--;
			s += 2;
		} else if (*s) {
			s++;
		}
	} while (depth && *s);
	return depth ? NULL : s;
}

const char *cls_skip_comments(const char *sql)
{
	const char *s = sql;

	for (;;) {
		const char *end;

		s += strspn(s, " \t\r\n\f\v");
		if (s[0] == '-' && s[1] == '-') {
			s += strcspn(s, "\r\n");
			continue;
		}
		if (s[0] != '/' || s[1] != '*')
			return s;
		end = cls_end_comment(s);
		/* The parser reports the unterminated comment. */
		if (!end)
			return s;
		s = end;
	}
}
