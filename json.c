#include "json.h"

#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <limits.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

/* The line on which a key of an object stands. */
struct js_key_line {
	const struct json_object *parent;
	uint64_t key_hash;
	int line;
};

struct js_doc {
	char *name;
	struct json_object *root;
	struct js_key_line *lines;
	size_t nlines;
	size_t cap;
};

static uint64_t js_hash_key(const char *key)
{
	return XXH3_64bits(key, strlen(key));
}

static void js_record_line(struct js_doc *d, const struct json_object *parent,
			   const char *key, int line)
{
	if (d->nlines == d->cap) {
		size_t cap = d->cap ? d->cap * 2 : 64;
		struct js_key_line *l = realloc(d->lines, cap * sizeof(*l));

		if (!l)
			abort();
		d->lines = l;
		d->cap = cap;
	}
	d->lines[d->nlines++] = (struct js_key_line){
		.parent = parent, .key_hash = js_hash_key(key), .line = line};
}

/* Line of a key, or else of the first key of the object; 0 if unknown. */
static int js_find_line(const struct js_node *n, const char *key)
{
	uint64_t h = key ? js_hash_key(key) : 0;
	int first = 0;

	for (size_t i = 0; i < n->doc->nlines; i++) {
		const struct js_key_line *l = &n->doc->lines[i];

		if (l->parent != n->obj)
			continue;
		if (key && l->key_hash == h)
			return l->line;
		if (!first)
			first = l->line;
	}
	return first;
}

static enum res js_fail_at(const struct js_doc *d, int line, const char *path,
			   struct err *e, const char *text)
{
	char at[16] = "";

	if (line)
		snprintf(at, sizeof(at), ":%d", line);
	return err_set(e, RES_BAD_LIST, "%s%s: %s%s%s", d->name, at, path,
		       *path ? ": " : "", text);
}

/* Joins a node's path and a key; a result that is too long is cut off. */
static void js_join_path(char *out, size_t size, const struct js_node *n,
			 const char *key)
{
	const char *dot = key && *n->path ? "." : "";

	if (snprintf(out, size, "%s%s%s", n->path, dot, key ? key : "") >=
	    (int)size)
		out[size - 1] = '\0';
}

enum res js_fail_key(const struct js_node *n, const char *key, struct err *e,
		     const char *fmt, ...)
{
	char path[JS_PATH_LEN + 64];
	char text[256];
	va_list ap;

	va_start(ap, fmt);
	vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	js_join_path(path, sizeof(path), n, key);
	return js_fail_at(n->doc, js_find_line(n, key), path, e, text);
}

static int js_count_lines(const char *p, const char *end)
{
	int n = 0;

	while ((p = memchr(p, '\n', (size_t)(end - p)))) {
		n++;
		p++;
	}
	return n;
}

/*
 * Called after the tokener has consumed a ':'. If that ended a key, reports an
 * error if the object already has the key, and records the key's line
 * otherwise. json-c has no function that tells the current key, so this reads
 * the tokener's state, which json-c's header declares.
 */
static enum res js_check_duplicate(struct js_doc *d, struct json_tokener *tok,
				   int line, struct err *e)
{
	const struct json_tokener_srec *top = &tok->stack[tok->depth];
	char text[128];

	if (top->state != json_tokener_state_eatws ||
	    top->saved_state != json_tokener_state_object_value ||
	    !top->obj_field_name)
		return RES_OK;
	if (json_object_object_get_ex(top->current, top->obj_field_name,
				      NULL)) {
		snprintf(text, sizeof(text),
			 "duplicate key \"%.64s\", expected each key once",
			 top->obj_field_name);
		return js_fail_at(d, line, "", e, text);
	}
	js_record_line(d, top->current, top->obj_field_name, line);
	return RES_OK;
}

/* True if the text consists of blanks and comments only. */
static bool js_is_blank(const char *p, size_t len)
{
	struct json_tokener *tok = json_tokener_new();
	bool blank;

	json_object_put(json_tokener_parse_ex(tok, p, (int)len));
	blank = json_tokener_get_error(tok) == json_tokener_continue &&
		tok->depth == 0 &&
		tok->stack[0].saved_state == json_tokener_state_start &&
		(tok->stack[0].state == json_tokener_state_eatws ||
		 tok->stack[0].state == json_tokener_state_comment_eol);
	json_tokener_free(tok);
	return blank;
}

static enum res js_syntax_error(struct js_doc *d, struct json_tokener *tok,
				int line, struct err *e)
{
	enum json_tokener_error err = json_tokener_get_error(tok);
	char text[128];

	if (err == json_tokener_continue)
		return js_fail_at(d, line, "", e,
				  "unexpected end, expected the rest of the "
				  "document");
	snprintf(text, sizeof(text), "not valid JSON: %s",
		 json_tokener_error_desc(err));
	return js_fail_at(d, line, "", e, text);
}

/* Passes the text to the tokener in parts that end with ':', so that every key
 * can be checked when it has been read. */
static enum res js_parse_text(struct js_doc *d, struct json_tokener *tok,
			      const char *text, size_t len, struct err *e)
{
	const char *p = text;
	const char *end = text + len;
	int line = 1;

	do {
		const char *colon = memchr(p, ':', (size_t)(end - p));
		const char *stop = colon ? colon + 1 : end;
		enum json_tokener_error err;
		const char *at;

		d->root = json_tokener_parse_ex(tok, p, (int)(stop - p));
		err = json_tokener_get_error(tok);
		at = p + json_tokener_get_parse_end(tok);
		line += js_count_lines(p, at);
		if (err != json_tokener_success && err != json_tokener_continue)
			return js_syntax_error(d, tok, line, e);
		if (err == json_tokener_continue &&
		    js_check_duplicate(d, tok, line, e))
			return RES_BAD_LIST;
		p = at;
		if (err == json_tokener_success)
			break;
	} while (p < end);
	if (json_tokener_get_error(tok) != json_tokener_success)
		return js_syntax_error(d, tok, line, e);
	if (!js_is_blank(p, (size_t)(end - p)))
		return js_fail_at(d, line, "", e,
				  "text after the end of the document");
	return RES_OK;
}

struct js_doc *js_parse(const char *name, const char *text, size_t len,
			struct err *e)
{
	struct js_doc *d = calloc(1, sizeof(*d));
	struct json_tokener *tok = json_tokener_new();
	enum res r;

	if (!d || !tok)
		abort();
	d->name = strdup(name);
	if (!text)
		text = ""; /* an empty text in a message */
	if (len >= JS_MAX_FILE_BYTES)
		r = js_fail_at(d, 0, "", e, "longer than 64 MB");
	else if (memchr(text, '\0', len))
		r = js_fail_at(d, 0, "", e, "holds a zero byte");
	else
		r = js_parse_text(d, tok, text, len, e);
	json_tokener_free(tok);
	if (!r)
		return d;
	js_free_doc(d);
	return NULL;
}

void js_free_doc(struct js_doc *d)
{
	if (!d)
		return;
	json_object_put(d->root);
	free(d->lines);
	free(d->name);
	free(d);
}

static char *js_read_fd(int fd, const char *path, size_t *len, struct err *e)
{
	size_t cap = 4096;
	char *mem = malloc(cap);
	ssize_t n;

	*len = 0;
	while (mem && (n = read(fd, mem + *len, cap - *len - 1)) > 0) {
		*len += (size_t)n;
		if (*len >= JS_MAX_FILE_BYTES) {
			err_set(e, RES_BAD_LIST, "%s: longer than 64 MB", path);
			free(mem);
			return NULL;
		}
		if (cap - *len < 2) {
			char *more = realloc(mem, cap *= 2);

			if (!more)
				abort();
			mem = more;
		}
	}
	if (!mem)
		abort();
	if (n < 0) {
		err_errno(e, RES_IO, path);
		free(mem);
		return NULL;
	}
	mem[*len] = '\0';
	return mem;
}

char *js_read_file(const char *path, size_t *len, struct err *e)
{
	int fd = open(path, O_RDONLY | O_CLOEXEC);
	char *mem;

	if (fd < 0) {
		err_errno(e, RES_IO, path);
		return NULL;
	}
	mem = js_read_fd(fd, path, len, e);
	close(fd);
	return mem;
}

struct js_doc *js_parse_file(const char *path, struct err *e)
{
	size_t len;
	char *text = js_read_file(path, &len, e);
	struct js_doc *d;

	if (!text)
		return NULL;
	d = js_parse(path, text, len, e);
	free(text);
	return d;
}

/* Describes a value for an error message. */
static const char *js_describe_value(struct json_object *o, char *out,
				     size_t size)
{
	switch (json_object_get_type(o)) {
	case json_type_null:
		return "null";
	case json_type_object:
		return "an object";
	case json_type_array:
		return "an array";
	case json_type_string:
		snprintf(out, size, "\"%.40s\"", json_object_get_string(o));
		return out;
	default:
		snprintf(out, size, "%.40s", json_object_get_string(o));
		return out;
	}
}

static enum res js_value_error(const struct js_node *n, const char *key,
			       struct json_object *o, struct err *e,
			       const char *expected)
{
	char found[64];

	if (n->secret)
		return js_fail_key(n, key, e,
				   "found another value, expected %s",
				   expected);
	return js_fail_key(n, key, e, "found %s, expected %s",
			   js_describe_value(o, found, sizeof(found)),
			   expected);
}

enum res js_get_root(struct js_doc *d, struct js_node *out, struct err *e)
{
	*out = (struct js_node){.doc = d, .obj = d->root};
	if (!json_object_is_type(d->root, json_type_object))
		return js_value_error(out, NULL, d->root, e, "an object");
	return RES_OK;
}

enum res js_check_keys(const struct js_node *n, const char *const *keys,
		       struct err *e)
{
	json_object_object_foreach(n->obj, key, value)
	{
		const char *const *k = keys;

		(void)value;
		while (*k && strcmp(*k, key))
			k++;
		if (!*k)
			return js_fail_key(n, key, e, "unknown key");
	}
	return RES_OK;
}

bool js_has_key(const struct js_node *n, const char *key)
{
	return json_object_object_get_ex(n->obj, key, NULL);
}

enum res js_require_key(const struct js_node *n, const char *key, struct err *e)
{
	if (js_has_key(n, key))
		return RES_OK;
	return js_fail_key(n, key, e, "the key is missing, expected a value");
}

static enum res js_copy_string(const struct js_node *n, const char *key,
			       struct json_object *v, char *out, size_t size,
			       struct err *e)
{
	char expected[64];
	size_t len = 0;

	if (json_object_is_type(v, json_type_string))
		len = (size_t)json_object_get_string_len(v);
	if (!json_object_is_type(v, json_type_string) || len >= size ||
	    strlen(json_object_get_string(v)) != len) {
		snprintf(expected, sizeof(expected),
			 "a string of at most %zu bytes", size - 1);
		return js_value_error(n, key, v, e, expected);
	}
	memcpy(out, json_object_get_string(v), len + 1);
	return RES_OK;
}

static enum res js_copy_id(const struct js_node *n, const char *key,
			   struct json_object *v, char *out, size_t size,
			   struct err *e)
{
	static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
				      "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				      "0123456789_-.";
	const char *s;

	if (js_copy_string(n, key, v, out, size, e))
		return RES_BAD_LIST;
	s = json_object_get_string(v);
	if (!*s || s[strspn(s, allowed)])
		return js_value_error(
			n, key, v, e,
			"a name of letters, digits, '_', '-', '.'");
	return RES_OK;
}

enum res js_get_string(const struct js_node *n, const char *key, char *out,
		       size_t size, struct err *e)
{
	struct json_object *v;

	if (!json_object_object_get_ex(n->obj, key, &v))
		return RES_OK;
	return js_copy_string(n, key, v, out, size, e);
}

enum res js_get_name(const struct js_node *n, const char *key, char *out,
		     size_t size, struct err *e)
{
	struct json_object *v;

	if (!json_object_object_get_ex(n->obj, key, &v))
		return RES_OK;
	return js_copy_id(n, key, v, out, size, e);
}

enum res js_get_int(const struct js_node *n, const char *key, int64_t *out,
		    int64_t min, int64_t max, const char *unit, struct err *e)
{
	struct json_object *v;
	char expected[96];

	if (!json_object_object_get_ex(n->obj, key, &v))
		return RES_OK;
	/* json-c clamps integers of more than 64 bits to the largest or
	 * smallest one; min and max lie within these. */
	if (json_object_is_type(v, json_type_int) &&
	    json_object_get_int64(v) >= min &&
	    json_object_get_int64(v) <= max) {
		*out = json_object_get_int64(v);
		return RES_OK;
	}
	snprintf(expected, sizeof(expected),
		 "an integer from %" PRId64 " to %" PRId64 "%s%s", min, max,
		 *unit ? " " : "", unit);
	return js_value_error(n, key, v, e, expected);
}

enum res js_get_number(const struct js_node *n, const char *key, double *out,
		       double min, double max, struct err *e)
{
	struct json_object *v;
	char expected[96];

	if (!json_object_object_get_ex(n->obj, key, &v))
		return RES_OK;
	if ((json_object_is_type(v, json_type_int) ||
	     json_object_is_type(v, json_type_double)) &&
	    json_object_get_double(v) >= min &&
	    json_object_get_double(v) <= max) {
		*out = json_object_get_double(v);
		return RES_OK;
	}
	snprintf(expected, sizeof(expected), "a number from %g to %g", min,
		 max);
	return js_value_error(n, key, v, e, expected);
}

enum res js_get_bool(const struct js_node *n, const char *key, bool *out,
		     struct err *e)
{
	struct json_object *v;

	if (!json_object_object_get_ex(n->obj, key, &v))
		return RES_OK;
	if (!json_object_is_type(v, json_type_boolean))
		return js_value_error(n, key, v, e, "true or false");
	*out = json_object_get_boolean(v);
	return RES_OK;
}

enum res js_get_choice(const struct js_node *n, const char *key,
		       const char *const *choices, int *out, struct err *e)
{
	struct json_object *v;
	char expected[96] = "one of";

	if (!json_object_object_get_ex(n->obj, key, &v))
		return RES_OK;
	for (int i = 0; choices[i]; i++) {
		size_t len = strlen(expected);

		if (json_object_is_type(v, json_type_string) &&
		    !strcmp(choices[i], json_object_get_string(v))) {
			*out = i;
			return RES_OK;
		}
		snprintf(expected + len, sizeof(expected) - len, "%s \"%s\"",
			 i ? "," : "", choices[i]);
	}
	return js_value_error(n, key, v, e, expected);
}

enum res js_get_array(const struct js_node *n, const char *key,
		      struct js_node *out, size_t max, size_t *len,
		      struct err *e)
{
	struct json_object *v;

	*len = 0;
	*out = (struct js_node){.doc = n->doc, .secret = n->secret};
	if (!json_object_object_get_ex(n->obj, key, &v))
		return RES_OK;
	if (!json_object_is_type(v, json_type_array))
		return js_value_error(n, key, v, e, "an array");
	if (json_object_array_length(v) > max)
		return js_fail_key(n, key, e,
				   "found %zu entries, expected at most %zu",
				   json_object_array_length(v), max);
	js_join_path(out->path, sizeof(out->path), n, key);
	out->obj = v;
	*len = json_object_array_length(v);
	return RES_OK;
}

/* Sets out to entry i of an array, with its path for errors. */
static struct json_object *js_array_entry(const struct js_node *array, size_t i,
					  struct js_node *out)
{
	*out = (struct js_node){.doc = array->doc,
				.obj = json_object_array_get_idx(array->obj, i),
				.secret = array->secret};
	snprintf(out->path, sizeof(out->path), "%.64s[%zu]", array->path, i);
	return out->obj;
}

enum res js_get_object_at(const struct js_node *array, size_t i,
			  struct js_node *out, struct err *e)
{
	struct json_object *v = js_array_entry(array, i, out);

	if (!json_object_is_type(v, json_type_object))
		return js_value_error(out, NULL, v, e, "an object");
	return RES_OK;
}

enum res js_get_object(const struct js_node *n, const char *key,
		       struct js_node *out, struct err *e)
{
	struct json_object *v;

	*out = (struct js_node){.doc = n->doc, .secret = n->secret};
	if (!json_object_object_get_ex(n->obj, key, &v))
		return RES_OK;
	if (!json_object_is_type(v, json_type_object))
		return js_value_error(n, key, v, e, "an object");
	out->obj = v;
	snprintf(out->path, sizeof(out->path), "%.*s%s%s", JS_PATH_LEN / 2,
		 n->path, n->path[0] ? "." : "", key);
	return RES_OK;
}

enum res js_get_string_at(const struct js_node *array, size_t i, char *out,
			  size_t size, struct err *e)
{
	struct js_node n;
	struct json_object *v = js_array_entry(array, i, &n);

	return js_copy_string(&n, NULL, v, out, size, e);
}

enum res js_get_name_at(const struct js_node *array, size_t i, char *out,
			size_t size, struct err *e)
{
	struct js_node n;
	struct json_object *v = js_array_entry(array, i, &n);

	return js_copy_id(&n, NULL, v, out, size, e);
}
