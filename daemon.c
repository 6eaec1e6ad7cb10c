#include "daemon.h"

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "stall.h"
#include "version.h"

#include <argtable2.h>
#include <ev.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <sys/stat.h>

enum { EXIT_USAGE = 129 };

/* Interval at which the settings file is checked for a change. */
#define DAEMON_SETTINGS_CHECK_S 2.0

enum {
	DAEMON_LOOP_CHECK_MS = 250, /* interval of the delay timer */
	/* Delay of the event loop that is reported. Other instances consider
	 * one unresponsive after 500 ms without its messages. */
	DAEMON_LOOP_BLOCKED_MS = 500
};

struct daemon_run {
	const struct daemon *d;
	const char *settings_path;
	void *state;
	struct timespec settings_mtime; /* of the file as last read */
	clk_ms loop_checked_at; /* last run of the delay timer */
	clk_ms cpu_ms; /* processor time of the process at that time */
};

static void daemon_on_stop_signal(struct ev_loop *loop, ev_signal *w,
				  int events)
{
	const struct daemon_run *run = w->data;

	(void)loop;
	(void)events;
	run->d->stop(run->state);
}

/* Modification time of the file; zero if it can't be read. */
static struct timespec daemon_settings_mtime(const char *path)
{
	struct timespec never = {0};
	struct stat st;

	if (stat(path, &st))
		return never;
	return st.st_mtim;
}

static void daemon_reload(struct daemon_run *run, const char *why)
{
	struct settings set;
	struct err e = ERR_INIT;

	run->settings_mtime = daemon_settings_mtime(run->settings_path);
	if (settings_load(&set, run->settings_path, run->d->role, &e)) {
		log_warn(run->d->log_module,
			 "event=reload_failed why=%s error=\"%s\"", why,
			 e.text);
		return;
	}
	log_info(run->d->log_module, "event=reloaded why=%s controls=%lld", why,
		 (long long)set.ncontrols);
	run->d->reload(run->state, &set);
}

static void daemon_on_hup(struct ev_loop *loop, ev_signal *w, int events)
{
	(void)loop;
	(void)events;
	daemon_reload(w->data, "signal");
}

static void daemon_on_settings_check(struct ev_loop *loop, ev_timer *w,
				     int events)
{
	struct daemon_run *run = w->data;
	struct timespec now = daemon_settings_mtime(run->settings_path);

	(void)loop;
	(void)events;
	if (now.tv_sec != run->settings_mtime.tv_sec ||
	    now.tv_nsec != run->settings_mtime.tv_nsec)
		daemon_reload(run, "file");
}

/*
 * Logs that the event loop was blocked, how much processor time the process
 * used meanwhile, and which file operation took longest. If that does not
 * account for the time, the process was stopped.
 */
static void daemon_on_loop_check(struct ev_loop *loop, ev_timer *w, int events)
{
	struct daemon_run *run = w->data;
	clk_ms now = clk_now();
	clk_ms cpu = clk_cpu();
	clk_ms late = now - run->loop_checked_at - DAEMON_LOOP_CHECK_MS;
	struct stl_operation op = stl_take_longest();

	(void)loop;
	(void)events;
	if (late >= DAEMON_LOOP_BLOCKED_MS) {
		cnt_add(CNT_held_up, 1);
		log_warn(run->d->log_module,
			 "event=held_up ms=%lld cpu_ms=%lld file_op=%s "
			 "file_ms=%lld",
			 (long long)late, (long long)(cpu - run->cpu_ms),
			 op.name, (long long)op.ms);
	}
	run->loop_checked_at = now;
	run->cpu_ms = cpu;
}

static void daemon_start_timer(struct ev_loop *loop, ev_timer *w,
			       double seconds,
			       void (*fn)(struct ev_loop *, ev_timer *, int),
			       struct daemon_run *run)
{
	ev_timer_init(w, fn, seconds, seconds);
	w->data = run;
	ev_timer_start(loop, w);
}

static void daemon_start_signal(struct ev_loop *loop, ev_signal *w, int number,
				void (*fn)(struct ev_loop *, ev_signal *, int),
				struct daemon_run *run)
{
	ev_signal_init(w, fn, number);
	w->data = run;
	ev_signal_start(loop, w);
}

static int daemon_run(const struct daemon *d, const struct settings *set,
		      const char *path)
{
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
	struct daemon_run run = {.d = d, .settings_path = path};
	struct err e = ERR_INIT;
	ev_signal term;
	ev_signal interrupt;
	ev_signal hup;
	ev_timer settings_check;
	ev_timer loop_check;

	run.settings_mtime = daemon_settings_mtime(path);
	if (d->start(&run.state, loop, set, &e)) {
		log_error(d->log_module, "event=start_failed error=\"%s\"",
			  e.text);
		return 1;
	}
	daemon_start_signal(loop, &term, SIGTERM, daemon_on_stop_signal, &run);
	daemon_start_signal(loop, &interrupt, SIGINT, daemon_on_stop_signal,
			    &run);
	daemon_start_signal(loop, &hup, SIGHUP, daemon_on_hup, &run);
	daemon_start_timer(loop, &settings_check, DAEMON_SETTINGS_CHECK_S,
			   daemon_on_settings_check, &run);
	run.loop_checked_at = clk_now();
	run.cpu_ms = clk_cpu();
	daemon_start_timer(loop, &loop_check, DAEMON_LOOP_CHECK_MS / 1000.0,
			   daemon_on_loop_check, &run);
	log_info(d->log_module, "event=started id=%s zone=%s listen=%s link=%s",
		 set->id, set->zone, set->listen, set->link);
	ev_run(loop, 0);
	d->free_state(run.state);
	log_info(d->log_module, "event=exit status=0");
	return 0;
}

static int daemon_load_and_run(const struct daemon *d, const char *path)
{
	static struct settings set;
	struct err e = ERR_INIT;

	if (sodium_init() < 0 || settings_load(&set, path, d->role, &e)) {
		fprintf(stderr, "%s: %s\n", d->program, e.text);
		return 1;
	}
	log_init(d->program, (enum log_level)log_parse_level(set.log_level));
	signal(SIGPIPE, SIG_IGN);
	return daemon_run(d, &set, path);
}

int daemon_main(const struct daemon *d, int argc, char **argv)
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
		printf("Usage: %s --settings FILE\n\n%s\n\n", d->program,
		       d->summary);
		arg_print_glossary(stdout, table, "  %-20s %s\n");
		code = 0;
	} else if (version->count) {
		printf("%s %s\n", d->program, MARJORAMLATCH_VERSION);
		code = 0;
	} else if (errors || !settings->count) {
		if (errors)
			arg_print_errors(stderr, end, d->program);
		fprintf(stderr, "Usage: %s --settings FILE\n", d->program);
	} else {
		code = daemon_load_and_run(d, settings->filename[0]);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
