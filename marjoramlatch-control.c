#include "control.h"
#include "log.h"
#include "settings.h"

#include <argtable2.h>
#include <ev.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>

#define PROGRAM "marjoramlatch-control"
#define EXIT_USAGE 129

static void on_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	(void)loop;
	(void)events;
	control_stop(w->data);
}

static int run(const struct settings *set)
{
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
	struct err e = ERR_INIT;
	struct control *c;
	ev_signal term;
	ev_signal interrupt;

	if (control_new(&c, loop, set, &e) != RES_OK) {
		log_error("control", "event=start_failed error=\"%s\"", e.text);
		return 1;
	}
	ev_signal_init(&term, on_signal, SIGTERM);
	ev_signal_init(&interrupt, on_signal, SIGINT);
	term.data = c;
	interrupt.data = c;
	ev_signal_start(loop, &term);
	ev_signal_start(loop, &interrupt);
	log_info("control", "event=started id=%s zone=%s link=%s", set->id,
		 set->zone, set->link);
	ev_run(loop, 0);
	control_free(c);
	log_info("control", "event=stopped");
	return 0;
}

static int load_and_run(const char *path)
{
	static struct settings set;
	struct err e = ERR_INIT;

	if (sodium_init() < 0 ||
	    set_load(&set, path, SET_CONTROL, &e) != RES_OK) {
		fprintf(stderr, PROGRAM ": %s\n", e.text);
		return 1;
	}
	log_init(PROGRAM, (enum log_level)log_parse_level(set.log_level));
	signal(SIGPIPE, SIG_IGN);
	return run(&set);
}

int main(int argc, char **argv)
{
	struct arg_file *settings =
		arg_file0(NULL, "settings", "FILE", "settings of the instance");
	struct arg_lit *help = arg_lit0(NULL, "help", "show this help");
	struct arg_lit *version = arg_lit0(NULL, "version", "show the version");
	struct arg_end *end = arg_end(4);
	void *table[] = {settings, help, version, end};
	int errors = arg_parse(argc, argv, table);
	int code = EXIT_USAGE;

	if (help->count) {
		printf("Usage: " PROGRAM " --settings FILE\n\n"
		       "Runs a control instance until it gets SIGTERM.\n\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		code = 0;
	} else if (version->count) {
		printf(PROGRAM " 0.1\n");
		code = 0;
	} else if (errors || !settings->count) {
		if (errors)
			arg_print_errors(stderr, end, PROGRAM);
		fprintf(stderr, "Usage: " PROGRAM " --settings FILE\n");
	} else {
		code = load_and_run(settings->filename[0]);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
