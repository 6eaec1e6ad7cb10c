#include "control.h"
#include "daemon.h"

static enum res start(void **state, struct ev_loop *loop,
		      const struct settings *set, struct err *e)
{
	struct control *c;
	enum res r = control_new(&c, loop, set, e);

	if (!r)
		*state = c;
	return r;
}

static void stop(void *state)
{
	control_stop(state);
}

static void reload(void *state, const struct settings *set)
{
	control_add_controls(state, set);
}

static void free_state(void *state)
{
	control_free(state);
}

int main(int argc, char **argv)
{
	static const struct daemon d = {
		.program = "marjoramlatch-control",
		.log_module = "control",
		.summary = "Runs a control instance until it gets SIGTERM.",
		.role = SETTINGS_ROLE_CONTROL,
		.start = start,
		.stop = stop,
		.reload = reload,
		.free_state = free_state,
	};

	return daemon_main(&d, argc, argv);
}
