#ifndef JSON_H
#define JSON_H

/*
 * Reads JSON documents with comments and checks their values, on top of json-c.
 * Names of this module start with "js".
 *
 * An error names the file, the line if it is known, the path of the key, such
 * as "plans[2].connections", what was found and what was expected. Duplicate
 * keys are refused, because json-c would silently keep the last one.
 *
 * The functions that read a value leave the output unchanged if the key is
 * missing, so that callers can set defaults first; js_require_key() refuses a
 * missing key.
 */

#include "error.h"

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum {
	JS_PATH_LEN = 96, /* bytes of a node's path, with the final zero */
	JS_MAX_FILE_BYTES = 64 << 20 /* bytes of a file */
};

struct js_doc;

/* An object or array of a document; valid as long as the document. */
struct js_node {
	struct js_doc *doc;
	struct json_object *obj;
	char path[JS_PATH_LEN]; /* empty for the root */
	/* Errors do not show the values below it, which may be secrets. Nodes
	 * that are read from it inherit this. */
	bool secret;
};

/* Parses a text or a file; NULL on failure. name stands for the file name in
 * errors. */
struct js_doc *js_parse(const char *name, const char *text, size_t len,
			struct err *e);
struct js_doc *js_parse_file(const char *path, struct err *e);
void js_free_doc(struct js_doc *d);

/* Reads a whole file into malloc'ed memory with a final zero; NULL on
 * failure. */
char *js_read_file(const char *path, size_t *len, struct err *e);

/* The root, which must be an object. */
enum res js_get_root(struct js_doc *d, struct js_node *out, struct err *e);

/* Refuses keys that are not in the NULL-terminated list. */
enum res js_check_keys(const struct js_node *n, const char *const *keys,
		       struct err *e);
bool js_has_key(const struct js_node *n, const char *key);
enum res js_require_key(const struct js_node *n, const char *key,
			struct err *e);

/* A string that fits into size bytes with its final zero. */
enum res js_get_string(const struct js_node *n, const char *key, char *out,
		       size_t size, struct err *e);

/* A non-empty name of letters, digits, '_', '-' and '.'. */
enum res js_get_name(const struct js_node *n, const char *key, char *out,
		     size_t size, struct err *e);

/* An integer from min to max; unit is appended to the bounds in errors. */
enum res js_get_int(const struct js_node *n, const char *key, int64_t *out,
		    int64_t min, int64_t max, const char *unit, struct err *e);

/* An integer or a fraction from min to max. */
enum res js_get_number(const struct js_node *n, const char *key, double *out,
		       double min, double max, struct err *e);
enum res js_get_bool(const struct js_node *n, const char *key, bool *out,
		     struct err *e);

/* Index of a string in a NULL-terminated list of choices. */
enum res js_get_choice(const struct js_node *n, const char *key,
		       const char *const *choices, int *out, struct err *e);

/* An object inside the object; out->obj is NULL if the key is missing. */
enum res js_get_object(const struct js_node *n, const char *key,
		       struct js_node *out, struct err *e);

/* An array of at most max entries; its length goes to len (0 if the key is
 * missing). */
enum res js_get_array(const struct js_node *n, const char *key,
		      struct js_node *out, size_t max, size_t *len,
		      struct err *e);

/* Entry i of an array, which must be an object. */
enum res js_get_object_at(const struct js_node *array, size_t i,
			  struct js_node *out, struct err *e);

/* Entry i of an array, which must be a name as for js_get_name(). */
enum res js_get_name_at(const struct js_node *array, size_t i, char *out,
			size_t size, struct err *e);

/* Entry i of an array, which must be a string that fits. */
enum res js_get_string_at(const struct js_node *array, size_t i, char *out,
			  size_t size, struct err *e);

/* Reports an error for a key of n, or for n itself if key is NULL, found by a
 * check of the caller. Returns RES_BAD_LIST. */
enum res js_fail_key(const struct js_node *n, const char *key, struct err *e,
		     const char *fmt, ...)
	__attribute__((format(printf, 4, 5)));

#endif
