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

/* Guards against a delayed election. While a peer was powered off, it accepted
 * no connection, and after its start the earlier attempt hung for up to 300 ms
 * more, although the peer had opened its own link by then. A leader was
 * elected only 0.28 s after a majority had started (enlarged Barfani
 * deployment, run inc-f365). */
TEST(Link, ConnectsAnewWhenThePeerIsKnownToRun)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct settings client_set = {};
	struct settings peer_set = {};
	struct sockaddr_in a = {};
	socklen_t len = sizeof(a);
	struct link_server *server = nullptr;
	struct link_handler h = {};
	struct err e = ERR_INIT;
	bool up = false;
	auto run_loop_until = [&](int ms, const std::function<bool()> &done) {
		for (int i = 0; i < ms && !done(); i++) {
			ev_run(loop, EVRUN_NOWAIT);
			usleep(1000);
		}
		return done();
	};

	ASSERT_GE(sodium_init(), 0);
	/* This socket accepts connections but sends nothing, like the kernel of
	 * a peer whose process hangs. */
	int listen_fd = socket(AF_INET, SOCK_STREAM, 0);
	int reuse = 1;
	setsockopt(listen_fd, SOL_SOCKET, SO_REUSEADDR, &reuse, sizeof(reuse));
	a.sin_family = AF_INET;
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ASSERT_EQ(0, bind(listen_fd, (struct sockaddr *)&a, sizeof(a)));
	ASSERT_EQ(0, listen(listen_fd, 1));
	getsockname(listen_fd, (struct sockaddr *)&a, &len);
	std::string addr = "127.0.0.1:" + std::to_string(ntohs(a.sin_port));
	snprintf(client_set.id, ID_LEN, "c1");
	snprintf(peer_set.id, ID_LEN, "c2");
	snprintf(peer_set.link, ADDR_LEN, "%s", addr.c_str());
	h.arg = &up;
	h.on_up = [](void *arg, struct link *) { *(bool *)arg = true; };
	struct link *l =
		link_open(loop, &client_set, "control", addr.c_str(), 1, &h);
	EXPECT_FALSE(run_loop_until(20, [&] { return up; }));
	/* The connection that sends nothing stays open, like one to an instance
	 * without power. */
	int silent_fd = accept(listen_fd, nullptr, nullptr);
	close(listen_fd);
	struct link_handler server_handler = {};
	server_handler.on_message = [](void *, struct link *,
				       const struct msg *) {};
	ASSERT_EQ(RES_OK, link_listen(&server, loop, &peer_set, "control", 2,
				      &server_handler, &e));
	link_connect_now(l);
	EXPECT_TRUE(run_loop_until(LINK_CONNECT_TIMEOUT_MS / 3,
				   [&] { return up; }));
	/* An established link is not reconnected. */
	link_connect_now(l);
	EXPECT_TRUE(link_is_up(l));
	link_free(l);
	link_server_free(server);
	close(silent_fd);
	ev_loop_destroy(loop);
}
