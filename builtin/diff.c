#include "buf.h"
#include "builtin.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int diff_run(struct admin *a, const struct arg_file *files)
{
	struct err e = ERR_INIT;
	char *text = cmd_read_lists(files->filename, files->count, &e);
	struct lists *next = NULL;
	struct lists *now = NULL;
	struct buf out = BUF_INIT;
	int64_t version;

	if (text)
		next = lst_parse(text, strlen(text), 0, &e);
	free(text);
	if (!next)
		return cmd_fail(&e);
	if (admin_config(a, &version, &now, &e)) {
		lst_unref(next);
		return cmd_fail(&e);
	}
	if (!now)
		now = lst_parse("{\"plans\":[],\"customers\":[]}", 27, 0, &e);
	lst_diff(now, next, &out);
	printf("version %" PRId64 " in force%s\n%s", version,
	       buf_len(&out) ? ", the files differ:" : ", no difference",
	       buf_str(&out));
	buf_free(&out);
	lst_unref(now);
	lst_unref(next);
	return CMD_OK;
}

int cmd_diff(int argc, char **argv)
{
	struct arg_str *to = admin_arg_to();
	struct arg_file *password = admin_arg_password();
	struct arg_file *files =
		arg_filen(NULL, NULL, "LISTS", 1, 2,
			  "list files: plans and customers, or one with both");
	void *table[] = {arg_lit0(NULL, "help", "show this text"), to, password,
			 files, arg_end(8)};
	struct admin a;
	struct err e = ERR_INIT;
	int rc = cmd_parse(argc, argv, table, 5,
			   "Compares list files with the lists in force.");

	if (rc == CMD_GO_ON && admin_init(&a, to, password, &e))
		rc = cmd_fail(&e);
	if (rc == CMD_GO_ON)
		rc = diff_run(&a, files);
	arg_freetable(table, 5);
	return rc;
}
