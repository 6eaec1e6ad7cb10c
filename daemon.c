#include "daemon.h"

#include "clock.h"
#include "counter.h"
#include "log.h"
#include "version.h"

#include <argtable2.h>
#include <ev.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <sys/stat.h>

enum { EXIT_USAGE = 129 };

/* How often the settings file is looked at. */
#define DAEMON_WATCH_S 2.0

enum {
	DAEMON_PULSE_MS = 250, /* between looks whether the loop turns */
	/* A loop that is late by as much missed what its peers wait for: they
	 * take an instance for silent after 500 ms. */
	DAEMON_HELD_UP_MS = 500
};

struct daemon_run {
	const struct daemon *d;
	const char *path; /* of the settings */
	void *state;
	struct timespec changed; /* of the file that was read last */
	clk_ms pulse; /* last look whether the loop turns */
	clk_ms cpu; /* processor time of the process then */
};

static void daemon_on_signal(struct ev_loop *loop, ev_signal *w, int events)
{
	const struct daemon_run *run = w->data;

	(void)loop;
	(void)events;
	run->d->stop(run->state);
}

static struct timespec daemon_changed(const char *path)
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

	run->changed = daemon_changed(run->path);
	if (set_load(&set, run->path, run->d->role, &e)) {
		log_warn(run->d->module,
			 "event=reload_failed why=%s error=\"%s\"", why,
			 e.text);
		return;
	}
	log_info(run->d->module, "event=reloaded why=%s controls=%lld", why,
		 (long long)set.ncontrols);
	run->d->reload(run->state, &set);
}

static void daemon_on_hup(struct ev_loop *loop, ev_signal *w, int events)
{
	(void)loop;
	(void)events;
	daemon_reload(w->data, "signal");
}

static void daemon_on_watch(struct ev_loop *loop, ev_timer *w, int events)
{
	struct daemon_run *run = w->data;
	struct timespec now = daemon_changed(run->path);

	(void)loop;
	(void)events;
	if (now.tv_sec != run->changed.tv_sec ||
	    now.tv_nsec != run->changed.tv_nsec)
		daemon_reload(run, "file");
}

/*
 * Tells that the loop did not turn, and how much of that time the process
 * itself computed: the rest it was stopped, or waited for the disk.
 */
static void daemon_on_pulse(struct ev_loop *loop, ev_timer *w, int events)
{
	struct daemon_run *run = w->data;
	clk_ms now = clk_now();
	clk_ms cpu = clk_cpu();
	clk_ms late = now - run->pulse - DAEMON_PULSE_MS;

	(void)loop;
	(void)events;
	if (late >= DAEMON_HELD_UP_MS) {
		cnt_add(CNT_held_up, 1);
		log_warn(run->d->module, "event=held_up ms=%lld cpu_ms=%lld",
			 (long long)late, (long long)(cpu - run->cpu));
	}
	run->pulse = now;
	run->cpu = cpu;
}

static void daemon_every(struct ev_loop *loop, ev_timer *w, double seconds,
			 void (*fn)(struct ev_loop *, ev_timer *, int),
			 struct daemon_run *run)
{
	ev_timer_init(w, fn, seconds, seconds);
	w->data = run;
	ev_timer_start(loop, w);
}

static void daemon_catch(struct ev_loop *loop, ev_signal *w, int number,
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
	struct daemon_run run = {.d = d, .path = path};
	struct err e = ERR_INIT;
	ev_signal term;
	ev_signal interrupt;
	ev_signal hup;
	ev_timer watch;
	ev_timer pulse;

	run.changed = daemon_changed(path);
	if (d->start(&run.state, loop, set, &e)) {
		log_error(d->module, "event=start_failed error=\"%s\"", e.text);
		return 1;
	}
	daemon_catch(loop, &term, SIGTERM, daemon_on_signal, &run);
	daemon_catch(loop, &interrupt, SIGINT, daemon_on_signal, &run);
	daemon_catch(loop, &hup, SIGHUP, daemon_on_hup, &run);
	daemon_every(loop, &watch, DAEMON_WATCH_S, daemon_on_watch, &run);
	run.pulse = clk_now();
	run.cpu = clk_cpu();
	daemon_every(loop, &pulse, DAEMON_PULSE_MS / 1000.0, daemon_on_pulse,
		     &run);
	log_info(d->module, "event=started id=%s zone=%s listen=%s link=%s",
		 set->id, set->zone, set->listen, set->link);
	ev_run(loop, 0);
	d->finish(run.state);
	log_info(d->module, "event=exit status=0");
	return 0;
}

static int daemon_load(const struct daemon *d, const char *path)
{
	static struct settings set;
	struct err e = ERR_INIT;

	if (sodium_init() < 0 || set_load(&set, path, d->role, &e)) {
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
		code = daemon_load(d, settings->filename[0]);
	}
	arg_freetable(table, sizeof(table) / sizeof(table[0]));
	return code;
}
