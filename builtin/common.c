#include "builtin.h"
#include "json.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

int cmd_parse(int argc, char **argv, void **table, size_t n, const char *about)
{
	const struct arg_lit *help = table[0];
	struct arg_end *end = table[n - 1];
	int errors;

	if (arg_nullcheck(table))
		abort();
	errors = arg_parse(argc, argv, table);
	if (help->count) {
		printf("usage: marjoramlatch %s", argv[0]);
		arg_print_syntax(stdout, table, "\n\n");
		printf("%s\n\n", about);
		arg_print_glossary(stdout, table, "  %-26s %s\n");
		return CMD_OK;
	}
	if (!errors)
		return CMD_CONTINUE;
	arg_print_errors(stderr, end, "marjoramlatch");
	fprintf(stderr, "marjoramlatch %s --help describes the options.\n",
		argv[0]);
	return CMD_USAGE;
}

int cmd_fail(const struct err *e)
{
	fprintf(stderr, "marjoramlatch: %s\n", e->text);
	return CMD_FAILED;
}

enum res cmd_read_password(const char *path, char *out, size_t size,
			   struct err *e)
{
	size_t len;
	char *text = js_read_file(path, &len, e);

	if (!text)
		return RES_IO;
	len = strcspn(text, "\r\n");
	text[len] = '\0';
	if (len && len < size)
		memcpy(out, text, len + 1);
	free(text);
	if (!len || len >= size)
		return err_set(e, RES_BAD_LIST,
			       "%s: found %zu bytes in the first line, "
			       "expected a password of 1 to %zu bytes",
			       path, len, size - 1);
	return RES_OK;
}

char *cmd_read_lists(const char *const *files, int n, struct err *e)
{
	char *texts[2] = {NULL, NULL};
	char *merged = NULL;
	size_t len;

	texts[0] = js_read_file(files[0], &len, e);
	if (texts[0] && n > 1)
		texts[1] = js_read_file(files[1], &len, e);
	if (texts[0] && (n < 2 || texts[1]))
		merged = lst_merge_texts(texts[0], files[0], texts[1],
					 n > 1 ? files[1] : NULL, e);
	free(texts[0]);
	free(texts[1]);
	if (merged && strlen(merged) > CMD_MAX_LISTS_BYTES) {
		err_set(e, RES_TOO_LARGE,
			"the lists take %zu bytes, but one message can carry "
			"at most %d",
			strlen(merged), CMD_MAX_LISTS_BYTES);
		free(merged);
		return NULL;
	}
	return merged;
}
