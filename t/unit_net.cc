#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>

extern "C" {
#include "net.h"
}

struct FinishState {
	net_conn *finished;
	bool closed = false;
};

/* Guards against a connection that is never closed. net_close_after_flush() was
 * called on a connection without output while another connection was flushed.
 * It waited for a write event without having requested one. In sys_conn, a
 * member therefore kept the lock of a caller that had disconnected. */
TEST(Net, FinishFromInsideAFlush)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	int a[2], b[2];
	FinishState state;
	net_handler h = {};
	char byte;

	ASSERT_EQ(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, a));
	ASSERT_EQ(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, b));
	h.arg = &state;
	h.on_read = [](void *) {};
	h.on_close = [](void *arg) { ((FinishState *)arg)->closed = true; };
	state.finished = net_from_accepted(loop, b[0], &h);
	h.on_drain = [](void *arg) {
		net_close_after_flush(((FinishState *)arg)->finished);
	};
	net_conn *flushed = net_from_accepted(loop, a[0], &h);
	buf_addstr(net_output(flushed), "x");
	net_flush(flushed);
	for (int i = 0; i < 5 && !state.closed; i++)
		ev_run(loop, EVRUN_NOWAIT);
	EXPECT_TRUE(state.closed);
	EXPECT_EQ(0, read(b[1], &byte, 1)) << "the peer sees the end";
	net_free(state.finished);
	net_free(flushed);
	close(a[1]);
	close(b[1]);
	ev_loop_destroy(loop);
}
