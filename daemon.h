#ifndef DAEMON_H
#define DAEMON_H

/*
 * The parts that the proxy and control daemons share: command line, settings,
 * log, event loop and signals.
 *
 * SIGTERM and SIGINT start a graceful stop. The settings file is read again on
 * SIGHUP and after it has changed.
 */

#include "settings.h"

struct ev_loop;

/* Describes a daemon and its callbacks. */
struct daemon {
	const char *program; /* name in messages and log lines */
	const char *log_module; /* module name in this module's log lines */
	const char *summary; /* one sentence for --help */
	enum settings_role role;

	/* Creates the daemon's state, with its watchers on the loop. */
	enum res (*start)(void **state, struct ev_loop *loop,
			  const struct settings *set, struct err *e);

	/* Starts a graceful stop, which ends the loop when it is done. */
	void (*stop)(void *state);

	/* Called after the settings were read again. Only the control instances
	 * to connect to may be taken from them; all other changes take effect
	 * at the next start. */
	void (*reload)(void *state, const struct settings *set);

	/* Frees the state after the loop has ended. */
	void (*free_state)(void *state);
};

/* Parses the command line and runs the daemon until it is stopped. Returns the
 * exit status of the process. */
int daemon_main(const struct daemon *d, int argc, char **argv);

#endif
