#include "log.h"
#include "proxy.h"
#include "settings.h"
#include "version.h"

#include <argtable2.h>
#include <ev.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>

#define PROGRAM "marjoramlatchd"
#define EXIT_USAGE 129

static void on_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	(void)loop;
	(void)events;
	proxy_stop(w->data);
}

/* One descriptor for each caller, and some for backends and links. */
static void raise_limit(const struct settings *set)
{
	struct rlimit limit;
	rlim_t want = (rlim_t)set->max_callers + 4096;

	if (getrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur >= want)
		return;
	limit.rlim_cur = want < limit.rlim_max ? want : limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static int run(const struct settings *set)
{
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
	struct err e = ERR_INIT;
	struct proxy *p;
	ev_signal term;
	ev_signal interrupt;

	raise_limit(set);
	if (proxy_new(&p, loop, set, &e) != RES_OK) {
		log_error("proxy", "event=start_failed error=\"%s\"", e.text);
		return 1;
	}
	ev_signal_init(&term, on_signal, SIGTERM);
	ev_signal_init(&interrupt, on_signal, SIGINT);
	term.data = p;
	interrupt.data = p;
	ev_signal_start(loop, &term);
	ev_signal_start(loop, &interrupt);
	log_info("proxy", "event=started id=%s zone=%s listen=%s link=%s",
		 set->id, set->zone, set->listen, set->link);
	ev_run(loop, 0);
	proxy_free(p);
	return 0;
}

static int load_and_run(const char *path)
{
	static struct settings set;
	struct err e = ERR_INIT;

	if (sodium_init() < 0 ||
	    set_load(&set, path, SET_PROXY, &e) != RES_OK) {
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
		arg_file0(NULL, "settings", "FILE", "settings of the proxy");
	struct arg_lit *help = arg_lit0(NULL, "help", "show this help");
	struct arg_lit *version = arg_lit0(NULL, "version", "show the version");
	struct arg_end *end = arg_end(4);
	void *table[] = {settings, help, version, end};
	int errors = arg_parse(argc, argv, table);
	int code = EXIT_USAGE;

	if (help->count) {
		printf("Usage: " PROGRAM " --settings FILE\n\n"
		       "Runs the proxy until it gets SIGTERM.\n\n");
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		code = 0;
	} else if (version->count) {
		printf(PROGRAM " %s\n", MARJORAMLATCH_VERSION);
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
