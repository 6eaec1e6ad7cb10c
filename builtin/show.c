#include "builtin.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The commands that show one table of a proxy: status, log and counters. */

/* Reads the options; with_choice adds those that select another table. */
static int show_options(int argc, char **argv, const char *about,
			struct admin *a, bool with_choice, const char **sql)
{
	struct arg_str *to = admin_arg_to();
	struct arg_file *password = admin_arg_password();
	struct arg_lit *groups = arg_lit0(
		NULL, "groups", "show each group's term and primary instead");
	struct arg_lit *backends =
		arg_lit0(NULL, "backends", "show the backend servers instead");
	struct arg_lit *proxies =
		arg_lit0(NULL, "proxies", "show the proxies' roster instead");
	struct arg_end *end = arg_end(8);
	void *all[] = {arg_lit0(NULL, "help", "show this text"),
		       to,
		       password,
		       groups,
		       backends,
		       proxies,
		       end};
	void *some[] = {all[0], to, password, end};
	struct err e = ERR_INIT;
	int rc = with_choice ? cmd_parse(argc, argv, all, 7, about)
			     : cmd_parse(argc, argv, some, 4, about);

	if (rc == CMD_GO_ON && admin_init(a, to, password, &e))
		rc = cmd_fail(&e);
	if (groups->count)
		*sql = "SHOW GROUPS";
	if (backends->count)
		*sql = "SHOW BACKENDS";
	if (proxies->count)
		*sql = "SHOW PROXIES";
	/* The strings of --to point into argv and stay valid. */
	arg_freetable(all, 7);
	return rc;
}

static int show_table(int argc, char **argv, const char *about, const char *sql)
{
	struct admin a;
	struct err e = ERR_INIT;
	PGresult *r;
	int rc = show_options(argc, argv, about, &a, false, &sql);

	if (rc != CMD_GO_ON)
		return rc;
	r = admin_query(&a, sql, &e);
	if (!r)
		return cmd_fail(&e);
	admin_print(r);
	PQclear(r);
	return CMD_OK;
}

int cmd_log(int argc, char **argv)
{
	return show_table(argc, argv,
			  "Shows the accepted versions of the lists: who, "
			  "when, version and digest.",
			  "SHOW LOG");
}

int cmd_counters(int argc, char **argv)
{
	return show_table(argc, argv, "Shows the counters of one proxy.",
			  "SHOW COUNTERS");
}

static int64_t status_version(const PGresult *r, int row)
{
	return strtoll(admin_value(r, row, "version|config_version"), NULL, 10);
}

/* Says whether every proxy has the newest version, with one digest. */
static void status_summary(const PGresult *r)
{
	int64_t newest = 0;
	const char *digest = "";
	int behind = 0;
	int differ = 0;

	for (int i = 0; i < PQntuples(r); i++) {
		if (status_version(r, i) > newest) {
			newest = status_version(r, i);
			digest = admin_value(r, i, "digest");
		}
	}
	for (int i = 0; i < PQntuples(r); i++) {
		if (status_version(r, i) < newest)
			behind++;
		else if (strcmp(admin_value(r, i, "digest"), digest))
			differ++;
	}
	if (!newest)
		printf("no lists are in force yet (%d proxies)\n",
		       PQntuples(r));
	else if (differ)
		printf("version %" PRId64 ": %d proxies have another digest\n",
		       newest, differ);
	else if (behind)
		printf("version %" PRId64 " digest %s: %d of %d behind\n",
		       newest, digest, behind, PQntuples(r));
	else
		printf("version %" PRId64
		       " digest %s: in force everywhere (%d proxies)\n",
		       newest, digest, PQntuples(r));
}

int cmd_status(int argc, char **argv)
{
	struct admin a;
	struct err e = ERR_INIT;
	const char *sql = "SHOW STATUS";
	PGresult *r;
	int rc = show_options(argc, argv,
			      "Shows which version of the lists each proxy has "
			      "in force.",
			      &a, true, &sql);

	if (rc != CMD_GO_ON)
		return rc;
	r = admin_query(&a, sql, &e);
	if (!r)
		return cmd_fail(&e);
	admin_print(r);
	if (!strcmp(sql, "SHOW STATUS"))
		status_summary(r);
	PQclear(r);
	return CMD_OK;
}
