#include "daemon.h"
#include "entry.h"
#include "proxy.h"

#include <sys/resource.h>

/* File descriptors besides those of callers: for backends, links and files. */
enum { NON_CALLER_DESCRIPTORS = 4096 };

/* Raises the limit of open files to what max_callers needs, as far as the hard
 * limit allows. */
static void raise_descriptor_limit(const struct settings *set)
{
	struct rlimit limit;
	rlim_t want = (rlim_t)set->max_callers + NON_CALLER_DESCRIPTORS;

	if (getrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur >= want)
		return;
	limit.rlim_cur = want < limit.rlim_max ? want : limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

/* The server of this process; the protocol in the settings selects which. */
struct server {
	enum settings_protocol protocol;
	union {
		struct proxy *proxy;
		struct entry *entry;
	} u;
};

static enum res start(void **state, struct ev_loop *loop,
		      const struct settings *set, struct err *e)
{
	static struct server server;
	enum res r = RES_OK;

	raise_descriptor_limit(set);
	server.protocol = set->protocol;
	switch (set->protocol) {
	case SETTINGS_PROTOCOL_POSTGRES:
		r = proxy_new(&server.u.proxy, loop, set, e);
		break;
	case SETTINGS_PROTOCOL_LINE:
		r = entry_new(&server.u.entry, loop, set, e);
		break;
	}
	if (!r)
		*state = &server;
	return r;
}

static void stop(void *state)
{
	struct server *s = state;

	switch (s->protocol) {
	case SETTINGS_PROTOCOL_POSTGRES:
		proxy_stop(s->u.proxy);
		break;
	case SETTINGS_PROTOCOL_LINE:
		entry_stop(s->u.entry);
		break;
	}
}

static void reload(void *state, const struct settings *set)
{
	struct server *s = state;

	/* With the PostgreSQL protocol, control instances come from the fixed
	 * list "controls", so there is nothing to reload. */
	if (s->protocol == SETTINGS_PROTOCOL_LINE)
		entry_add_controls(s->u.entry, set);
}

static void free_state(void *state)
{
	struct server *s = state;

	switch (s->protocol) {
	case SETTINGS_PROTOCOL_POSTGRES:
		proxy_free(s->u.proxy);
		break;
	case SETTINGS_PROTOCOL_LINE:
		entry_free(s->u.entry);
		break;
	}
}

int main(int argc, char **argv)
{
	static const struct daemon d = {
		.program = "marjoramlatchd",
		.log_module = "proxy",
		.summary = "Runs the proxy until it gets SIGTERM.",
		.role = SETTINGS_ROLE_PROXY,
		.start = start,
		.stop = stop,
		.reload = reload,
		.free_state = free_state,
	};

	return daemon_main(&d, argc, argv);
}
