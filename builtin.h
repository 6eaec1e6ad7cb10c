#ifndef BUILTIN_H
#define BUILTIN_H

/*
 * Subcommands of the program marjoramlatch and the functions that they share.
 *
 * cmd_ functions are the subcommands themselves and helpers for their command
 * lines, which argtable2 parses. admin_ functions talk to the admin database
 * of a proxy through libpq and print the results as tables. The subcommand
 * load has a header of its own, builtin/load.h.
 */

#include "clock.h"
#include "error.h"
#include "lists.h"

#include <argtable2.h>
#include <libpq-fe.h>
#include <stddef.h>

enum {
	/* Exit statuses. */
	CMD_OK = 0,
	CMD_FAILED = 1, /* refused or failed */
	CMD_USAGE = 129, /* invalid command line */

	CMD_CONTINUE = -1, /* not an exit status: carry on with the command */
	CMD_MAX_PROXIES = 16, /* how often --to may be given */
	CMD_PASSWORD_LEN = 128, /* bytes, with the final zero */
	CMD_MAX_LISTS_BYTES = (4 << 20) - 4096 /* fits in PGW_MAX_MESSAGE_LEN */
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
 * Parses the command line into an argtable of n entries, the first of which
 * must be --help and the last the arg_end. about describes the command in the
 * help text. Returns CMD_CONTINUE, or the exit status after the help text or
 * the errors were printed.
 */
int cmd_parse(int argc, char **argv, void **table, size_t n, const char *about);

/* Prints "marjoramlatch: text" to standard error; returns CMD_FAILED. */
int cmd_fail(const struct err *e);

/* Reads a password from the first line of a file. */
enum res cmd_read_password(const char *path, char *out, size_t size,
			   struct err *e);

/*
 * Reads one or two list files and merges them into the canonical text, which
 * the caller frees. Returns NULL with e set on an error.
 */
char *cmd_read_lists(const char *const *files, int n, struct err *e);

/* Addresses and password for the admin database of the proxies. */
struct admin_client {
	const char *proxies[CMD_MAX_PROXIES];
	int nproxies;
	/*
	 * Index of the proxy that answered last, or of the one after a proxy
	 * whose answer was lost.
	 */
	int first_to_try;
	char password[CMD_PASSWORD_LEN];
};

/* Options --to and --password-file, and a struct admin_client set from them. */
struct arg_str *admin_arg_to(void);
struct arg_file *admin_arg_password(void);
enum res admin_init(struct admin_client *a, const struct arg_str *to,
		    const struct arg_file *password, struct err *e);

/* Outcome of one attempt to run a statement. */
enum admin_outcome {
	ADMIN_ANSWERED, /* the result is set; it may be an error */
	ADMIN_NOT_SENT, /* no proxy could be reached */
	ADMIN_ANSWER_LOST /* sent, but the answer did not arrive */
};

/*
 * Sends a statement to the first proxy that can be reached and waits up to
 * timeout for its answer. After a lost answer the next call starts with the
 * next proxy.
 */
enum admin_outcome admin_try(struct admin_client *a, const char *sql,
			     clk_ms timeout, PGresult **out, struct err *e);

/*
 * Runs a statement that may safely run more than once, at another proxy if an
 * answer was lost. Returns NULL with e set on any failure.
 */
PGresult *admin_query(struct admin_client *a, const char *sql, struct err *e);

/*
 * Returns the index of the first column that exists of names, which are
 * separated by '|', or -1.
 */
int admin_column(const PGresult *r, const char *names);

/* Returns the value of that column, or "" if it is missing or null. */
const char *admin_value(const PGresult *r, int row, const char *names);

/* Prints a result as a table with aligned columns. */
void admin_print(const PGresult *r);

/*
 * Reads the version of the lists in force and the lists themselves; 0 and NULL
 * if no version has been accepted yet.
 */
enum res admin_read_lists(struct admin_client *a, int64_t *version,
			  struct lists **lists, struct err *e);

#endif
