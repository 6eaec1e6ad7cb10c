#include "builtin.h"

#include <stdio.h>
#include <string.h>

/* A subcommand, its function and its line in the help text. */
struct command {
	const char *name;
	int (*run)(int argc, char **argv);
	const char *summary;
};

static const struct command commands[] = {
	{"check", cmd_check, "check settings and lists; hash a password"},
	{"apply", cmd_apply, "put new lists in force"},
	{"diff", cmd_diff, "compare lists with those in force"},
	{"status", cmd_status, "show which version each proxy has in force"},
	{"log", cmd_log, "show who changed the lists and when"},
	{"counters", cmd_counters, "show the counters of a proxy"},
	{"load", cmd_load, "send requests, measure and verify outcomes"},
	{"help", cmd_help, "show this text"},
	{"version", cmd_version, "show the version"},
};

enum { COMMAND_COUNT = sizeof(commands) / sizeof(commands[0]) };

static const struct command *find_command(const char *name)
{
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		if (!strcmp(commands[i].name, name))
			return &commands[i];
	return NULL;
}

static void print_commands(FILE *f)
{
	fprintf(f, "usage: marjoramlatch COMMAND [OPTION]... [FILE]...\n\n");
	for (size_t i = 0; i < COMMAND_COUNT; i++)
		fprintf(f, "  %-9s %s\n", commands[i].name,
			commands[i].summary);
	fprintf(f, "\nmarjoramlatch COMMAND --help describes a command.\n"
		   "Exit status: 0 done, 1 refused or failed, 129 usage.\n");
}

int cmd_help(int argc, char **argv)
{
	const struct command *c = argc > 1 ? find_command(argv[1]) : NULL;
	char help[] = "--help";
	char *args[] = {argv[0], help, NULL};

	if (argc > 1 && !strcmp(argv[1], "--help")) {
		print_commands(stdout);
		return CMD_OK;
	}
	if (c && c->run != cmd_help) {
		args[0] = argv[1];
		return c->run(2, args);
	}
	if (argc > 1 && !c) {
		fprintf(stderr, "marjoramlatch: no command \"%s\"\n", argv[1]);
		return CMD_USAGE;
	}
	print_commands(stdout);
	return CMD_OK;
}

int main(int argc, char **argv)
{
	const struct command *c;

	if (argc < 2) {
		print_commands(stderr);
		return CMD_USAGE;
	}
	if (!strcmp(argv[1], "--help")) {
		print_commands(stdout);
		return CMD_OK;
	}
	if (!strcmp(argv[1], "--version"))
		return cmd_version(1, argv + 1);
	c = find_command(argv[1]);
	if (c)
		return c->run(argc - 1, argv + 1);
	fprintf(stderr, "marjoramlatch: no command \"%s\"\n", argv[1]);
	print_commands(stderr);
	return CMD_USAGE;
}
