#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <ev.h>

extern "C" {
#include "net.h"
}

struct Ends {
	net_conn *finished;
	bool closed = false;
};

/* Guards against a connection that stays open for good: net_finish() called
 * while another connection is flushed, with nothing left to write, waited for
 * an event that it had not asked for. sys_conn saw a member keep the lock of a
 * caller that had gone. */
TEST(Net, FinishFromInsideAFlush)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	int a[2], b[2];
	Ends ends;
	net_handler h = {};
	char byte;

	ASSERT_EQ(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, a));
	ASSERT_EQ(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, b));
	h.arg = &ends;
	h.on_read = [](void *) {};
	h.on_close = [](void *arg) { ((Ends *)arg)->closed = true; };
	ends.finished = net_accepted(loop, b[0], &h);
	h.on_drain = [](void *arg) { net_finish(((Ends *)arg)->finished); };
	net_conn *flushed = net_accepted(loop, a[0], &h);
	buf_addstr(net_out(flushed), "x");
	net_flush(flushed);
	for (int i = 0; i < 5 && !ends.closed; i++)
		ev_run(loop, EVRUN_NOWAIT);
	EXPECT_TRUE(ends.closed);
	EXPECT_EQ(0, read(b[1], &byte, 1)) << "the peer sees the end";
	net_free(ends.finished);
	net_free(flushed);
	close(a[1]);
	close(b[1]);
	ev_loop_destroy(loop);
}
