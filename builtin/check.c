#include "buf.h"
#include "builtin.h"
#include "json.h"
#include "settings.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static int check_print_hash(void)
{
	char password[CMD_PASSWORD_LEN];
	char hash[LST_HASH_LEN];
	struct err e = ERR_INIT;

	if (!fgets(password, sizeof(password), stdin))
		password[0] = '\0';
	if (!password[strcspn(password, "\r\n")] &&
	    strlen(password) == sizeof(password) - 1) {
		err_set(&e, RES_BAD_LIST, "the password is over %d bytes",
			CMD_PASSWORD_LEN - 2);
		return cmd_fail(&e);
	}
	password[strcspn(password, "\r\n")] = '\0';
	if (!*password) {
		err_set(&e, RES_BAD_LIST,
			"standard input holds no password in its first line");
		return cmd_fail(&e);
	}
	if (lst_hash_password(password, hash, &e))
		return cmd_fail(&e);
	printf("%s\n", hash);
	return CMD_OK;
}

static int check_settings(const char *path, enum settings_role role)
{
	static struct settings s;
	struct err e = ERR_INIT;

	if (settings_load(&s, path, role, &e))
		return cmd_fail(&e);
	printf("%s: ok, %s %s in zone %s\n", path,
	       role == SETTINGS_ROLE_PROXY ? "proxy" : "control instance", s.id,
	       s.zone);
	return CMD_OK;
}

static int check_lists(const char *const *files, int n)
{
	struct err e = ERR_INIT;
	char *text = cmd_read_lists(files, n, &e);
	struct lists *l;

	if (!text)
		return cmd_fail(&e);
	l = lst_parse(text, strlen(text), 0, &e);
	free(text);
	if (!l)
		return cmd_fail(&e);
	printf("ok, %" PRId64 " plans, %" PRId64 " customers, digest %s\n",
	       l->nplans, l->ncustomers, l->digest);
	lst_unref(l);
	return CMD_OK;
}

int cmd_check(int argc, char **argv)
{
	struct arg_lit *hash =
		arg_lit0(NULL, "hash-password",
			 "print the hash of the password on standard input");
	struct arg_file *proxy = arg_filen(NULL, "proxy", "FILE", 0, 100,
					   "check settings of a proxy");
	struct arg_file *control =
		arg_filen(NULL, "control", "FILE", 0, 100,
			  "check settings of a control instance");
	struct arg_file *lists =
		arg_filen(NULL, NULL, "LISTS", 0, 2,
			  "list files: plans and customers, or one with both");
	void *table[] = {arg_lit0(NULL, "help", "show this text"),
			 hash,
			 proxy,
			 control,
			 lists,
			 arg_end(8)};
	int rc = cmd_parse(argc, argv, table, 6,
			   "Checks settings and lists without contacting any "
			   "process.");

	if (rc == CMD_CONTINUE && !hash->count && !proxy->count &&
	    !control->count && !lists->count) {
		fprintf(stderr, "marjoramlatch: nothing to check; see "
				"marjoramlatch check --help\n");
		rc = CMD_USAGE;
	}
	if (rc == CMD_CONTINUE) {
		rc = hash->count ? check_print_hash() : CMD_OK;
		for (int i = 0; i < proxy->count; i++)
			rc |= check_settings(proxy->filename[i],
					     SETTINGS_ROLE_PROXY);
		for (int i = 0; i < control->count; i++)
			rc |= check_settings(control->filename[i],
					     SETTINGS_ROLE_CONTROL);
		if (lists->count)
			rc |= check_lists(lists->filename, lists->count);
	}
	arg_freetable(table, 6);
	return rc;
}
