#include "builtin.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Commands that print one table of the admin database of a proxy: status, log
 * and counters.
 */

/*
 * Reads the options. with_table_options adds --groups, --backends and
 * --proxies, each of which replaces *sql by the query for another table.
 */
static int show_options(int argc, char **argv, const char *about,
			struct admin_client *a, bool with_table_options,
			const char **sql)
{
	struct arg_str *to = admin_arg_to();
	struct arg_file *password = admin_arg_password();
	struct arg_lit *groups = arg_lit0(
		NULL, "groups", "show each group's term and primary instead");
	struct arg_lit *backends =
		arg_lit0(NULL, "backends", "show the backend servers instead");
	struct arg_lit *proxies = arg_lit0(
		NULL, "proxies", "show the list of known proxies instead");
	struct arg_end *end = arg_end(8);
	void *all[] = {arg_lit0(NULL, "help", "show this text"),
		       to,
		       password,
		       groups,
		       backends,
		       proxies,
		       end};
	void *without_table_options[] = {all[0], to, password, end};
	struct err e = ERR_INIT;
	int rc = with_table_options
			 ? cmd_parse(argc, argv, all, 7, about)
			 : cmd_parse(argc, argv, without_table_options, 4,
				     about);

	if (rc == CMD_CONTINUE && admin_init(a, to, password, &e))
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
	struct admin_client a;
	struct err e = ERR_INIT;
	PGresult *r;
	int rc = show_options(argc, argv, about, &a, false, &sql);

	if (rc != CMD_CONTINUE)
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

/* Number of proxies in each state. */
struct status_counts {
	int64_t newest; /* version */
	const char *digest; /* of the newest version */
	int in_force;
	int behind;
	int other_digest; /* newest version, but another digest */
	int not_in_contact; /* may be behind */
};

static bool status_in_contact(const PGresult *r, int row)
{
	const char *alive = admin_value(r, row, "alive");

	return !*alive || !strcmp(alive, "yes") || !strcmp(alive, "true");
}

static struct status_counts status_count(const PGresult *r)
{
	struct status_counts c = {.digest = ""};

	for (int i = 0; i < PQntuples(r); i++) {
		if (status_version(r, i) > c.newest) {
			c.newest = status_version(r, i);
			c.digest = admin_value(r, i, "digest");
		}
	}
	for (int i = 0; i < PQntuples(r); i++) {
		if (!status_in_contact(r, i))
			c.not_in_contact++;
		else if (status_version(r, i) < c.newest)
			c.behind++;
		else if (strcmp(admin_value(r, i, "digest"), c.digest) != 0)
			c.other_digest++;
		else
			c.in_force++;
	}
	return c;
}

/* Prints whether every proxy has the newest version with the same digest. */
static void status_summary(const PGresult *r)
{
	struct status_counts c = status_count(r);

	if (!c.newest) {
		printf("no lists are in force yet (%d proxies)\n",
		       PQntuples(r));
		return;
	}
	printf("version %" PRId64 " digest %s: ", c.newest, c.digest);
	if (c.in_force == PQntuples(r)) {
		printf("in force everywhere (%d proxies)\n", c.in_force);
		return;
	}
	printf("in force on %d of %d proxies", c.in_force, PQntuples(r));
	if (c.behind)
		printf(", %d behind", c.behind);
	if (c.other_digest)
		printf(", %d with another digest", c.other_digest);
	if (c.not_in_contact)
		printf(", %d not in contact", c.not_in_contact);
	printf("\n");
}

int cmd_status(int argc, char **argv)
{
	struct admin_client a;
	struct err e = ERR_INIT;
	const char *sql = "SHOW STATUS";
	PGresult *r;
	int rc = show_options(argc, argv,
			      "Shows which version of the lists each proxy has "
			      "in force.",
			      &a, true, &sql);

	if (rc != CMD_CONTINUE)
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
