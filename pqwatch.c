#include "pqwatch.h"

void pqw_watch(struct ev_loop *loop, ev_io *io, const PGconn *pg, int events)
{
	int fd = events ? PQsocket(pg) : -1;

	ev_io_stop(loop, io);
	if (!events)
		return;
	if (fd < 0) {
		ev_feed_event(loop, io, EV_READ);
		return;
	}
	ev_io_set(io, fd, events);
	ev_io_start(loop, io);
}
