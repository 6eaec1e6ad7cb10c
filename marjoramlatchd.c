#include "daemon.h"
#include "proxy.h"

#include <sys/resource.h>

/* Descriptors besides those of callers: backends, links, files. */
enum { OTHER_DESCRIPTORS = 4096 };

static void raise_limit(const struct settings *set)
{
	struct rlimit limit;
	rlim_t want = (rlim_t)set->max_callers + OTHER_DESCRIPTORS;

	if (getrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur >= want)
		return;
	limit.rlim_cur = want < limit.rlim_max ? want : limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static enum res start(void **state, struct ev_loop *loop,
		      const struct settings *set, struct err *e)
{
	struct proxy *p;
	enum res r;

	raise_limit(set);
	r = proxy_new(&p, loop, set, e);
	if (!r)
		*state = p;
	return r;
}

static void stop(void *state)
{
	proxy_stop(state);
}

static void finish(void *state)
{
	proxy_free(state);
}

int main(int argc, char **argv)
{
	static const struct daemon d = {
		.program = "marjoramlatchd",
		.module = "proxy",
		.summary = "Runs the proxy until it gets SIGTERM.",
		.role = SET_PROXY,
		.start = start,
		.stop = stop,
		.finish = finish,
	};

	return daemon_main(&d, argc, argv);
}
