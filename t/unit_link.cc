#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <ev.h>
#include <sodium.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>

extern "C" {
#include "link.h"
#include "settings.h"
}

/* Guards against an election that waits: a peer that had no power took no
 * connection, and once it ran, the attempt from before hung for up to 300 ms
 * more, although the peer's own link was there (Barfani grown, inc-f365: a
 * leader 0.28 s after a majority had started). */
TEST(Link, ConnectsAnewWhenThePeerIsKnownToRun)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct settings own = {};
	struct settings other = {};
	struct sockaddr_in a = {};
	socklen_t len = sizeof(a);
	struct link_server *server = nullptr;
	struct link_handler h = {};
	struct err e = ERR_INIT;
	bool up = false;
	auto turn = [&](int ms, const std::function<bool()> &done) {
		for (int i = 0; i < ms && !done(); i++) {
			ev_run(loop, EVRUN_NOWAIT);
			usleep(1000);
		}
		return done();
	};

	ASSERT_GE(sodium_init(), 0);
	/* It accepts, like the kernel of a peer whose process hangs, and says
	 * nothing. */
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int one = 1;
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	a.sin_family = AF_INET;
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ASSERT_EQ(0, bind(fd, (struct sockaddr *)&a, sizeof(a)));
	ASSERT_EQ(0, listen(fd, 1));
	getsockname(fd, (struct sockaddr *)&a, &len);
	std::string addr = "127.0.0.1:" + std::to_string(ntohs(a.sin_port));
	snprintf(own.id, ID_LEN, "c1");
	snprintf(other.id, ID_LEN, "c2");
	snprintf(other.link, ADDR_LEN, "%s", addr.c_str());
	h.arg = &up;
	h.on_up = [](void *arg, struct link *) { *(bool *)arg = true; };
	struct link *l = link_open(loop, &own, "control", addr.c_str(), 1, &h);
	EXPECT_FALSE(turn(20, [&] { return up; }));
	/* The silent connection stays open, as one to a dark instance does. */
	int held = accept(fd, nullptr, nullptr);
	close(fd);
	struct link_handler quiet = {};
	quiet.on_message = [](void *, struct link *, const struct msg *) {};
	ASSERT_EQ(RES_OK,
		  link_serve(&server, loop, &other, "control", 2, &quiet, &e));
	link_hurry(l);
	EXPECT_TRUE(turn(LINK_CONNECT_MS / 3, [&] { return up; }));
	/* One that is up is left alone. */
	link_hurry(l);
	EXPECT_TRUE(link_is_up(l));
	link_free(l);
	link_server_free(server);
	close(held);
	ev_loop_destroy(loop);
}
