#include "buf.h"
#include "builtin.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int diff_run(struct admin_client *a, const struct arg_file *files)
{
	struct err e = ERR_INIT;
	char *text = cmd_read_lists(files->filename, files->count, &e);
	struct lists *from_files = NULL;
	struct lists *in_force = NULL;
	struct buf out = BUF_INIT;
	int64_t version;

	if (text)
		from_files = lst_parse(text, strlen(text), 0, &e);
	free(text);
	if (!from_files)
		return cmd_fail(&e);
	if (admin_read_lists(a, &version, &in_force, &e)) {
		lst_unref(from_files);
		return cmd_fail(&e);
	}
	if (!in_force)
		in_force =
			lst_parse("{\"plans\":[],\"customers\":[]}", 27, 0, &e);
	lst_append_diff(in_force, from_files, &out);
	printf("version %" PRId64 " in force%s\n%s", version,
	       buf_len(&out) ? ", the files differ:" : ", no difference",
	       buf_str(&out));
	buf_free(&out);
	lst_unref(in_force);
	lst_unref(from_files);
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
	struct admin_client a;
	struct err e = ERR_INIT;
	int rc = cmd_parse(argc, argv, table, 5,
			   "Compares list files with the lists in force.");

	if (rc == CMD_CONTINUE && admin_init(&a, to, password, &e))
		rc = cmd_fail(&e);
	if (rc == CMD_CONTINUE)
		rc = diff_run(&a, files);
	arg_freetable(table, 5);
	return rc;
}
