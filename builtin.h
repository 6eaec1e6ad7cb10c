#ifndef BUILTIN_H
#define BUILTIN_H

/*
 * Commands of the program marjoramlatch and what they share: command lines
 * on argtable2, a connection to the admin database of a proxy on libpq, and
 * printing of tables.
 */

#include "clock.h"
#include "error.h"
#include "lists.h"

#include <argtable2.h>
#include <libpq-fe.h>
#include <stddef.h>

enum {
	CMD_OK = 0,
	CMD_FAILED = 1, /* refused or failed */
	CMD_USAGE = 129,
	CMD_GO_ON = -1, /* the command line was fine */
	CMD_MAX_TO = 16, /* proxies named by --to */
	CMD_PASSWORD_LEN = 128,
	CMD_MAX_LISTS = (4 << 20) - 4096 /* bytes, below PGW_MAX_MESSAGE */
};

int cmd_apply(int argc, char **argv);
int cmd_check(int argc, char **argv);
int cmd_counters(int argc, char **argv);
int cmd_diff(int argc, char **argv);
int cmd_help(int argc, char **argv);
int cmd_load(int argc, char **argv);
int cmd_log(int argc, char **argv);
int cmd_status(int argc, char **argv);
int cmd_version(int argc, char **argv);

/*
 * Parses the command line into an argtable whose first entry is --help and
 * whose last entry is the arg_end. Returns CMD_GO_ON or the exit status.
 */
int cmd_parse(int argc, char **argv, void **table, size_t n, const char *about);

/* Prints "marjoramlatch: text" to standard error; returns CMD_FAILED. */
int cmd_fail(const struct err *e);

/* Reads a password from a file, without its line end. */
enum res cmd_read_password(const char *path, char *out, size_t size,
			   struct err *e);

/* Reads one or two list files into the canonical text (malloc'ed). */
char *cmd_read_lists(const char *const *files, int n, struct err *e);

/* Where the admin database is and how to log in. */
struct admin {
	const char *to[CMD_MAX_TO];
	int nto;
	int last; /* index of the proxy that answered last */
	char password[CMD_PASSWORD_LEN];
};

/* Command-line options for a struct admin. */
struct arg_str *admin_arg_to(void);
struct arg_file *admin_arg_password(void);
enum res admin_init(struct admin *a, const struct arg_str *to,
		    const struct arg_file *password, struct err *e);

/* What is known after a statement was tried once. */
enum admin_outcome {
	ADMIN_ANSWERED, /* the result is set, possibly to an error */
	ADMIN_NOT_SENT, /* no proxy could be reached */
	ADMIN_LOST /* sent, but the answer did not arrive */
};

/*
 * Runs a statement at the proxies in turn until one can be reached and waits
 * up to timeout for its answer.
 */
enum admin_outcome admin_try(struct admin *a, const char *sql, clk_ms timeout,
			     PGresult **out, struct err *e);

/* A statement that may be run again; NULL with e set on any failure. */
PGresult *admin_query(struct admin *a, const char *sql, struct err *e);

/* Index of the first column that has one of the names, separated by '|'. */
int admin_column(const PGresult *r, const char *names);

/* Value of such a column, or "" if it is missing or null. */
const char *admin_value(const PGresult *r, int row, const char *names);

/* Prints a result as a table with aligned columns. */
void admin_print(const PGresult *r);

/* Version in force (0 before the first) and its lists (NULL then). */
enum res admin_config(struct admin *a, int64_t *version, struct lists **lists,
		      struct err *e);

#endif
