#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <ev.h>
#include <sodium.h>
#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

extern "C" {
#include "link.h"
#include "settings.h"
#include "traffic.h"
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
	/* Less than it takes until the attempt is repeated anyway. */
	EXPECT_TRUE(run_loop_until(LINK_RESTART_TIMEOUT_MS / 2,
				   [&] { return up; }));
	/* An established link is not reconnected. */
	link_connect_now(l);
	EXPECT_TRUE(link_is_up(l));
	link_free(l);
	link_server_free(server);
	close(silent_fd);
	ev_loop_destroy(loop);
}

/* Guards against a link that comes up long after its peer has started. After a
 * loss of all power, attempts to instances that were still down hung for 300 ms
 * and were repeated 100 to 200 ms later, so that most proxies served 0.34 s
 * after a majority of control had started. */
TEST(Link, RepeatsAttemptsSoonWhileThePeerStarts)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct settings set = {};
	struct sockaddr_in a = {};
	socklen_t len = sizeof(a);
	struct link_handler h = {};
	std::vector<int> accepted;

	ASSERT_GE(sodium_init(), 0);
	int listen_fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	a.sin_family = AF_INET;
	a.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ASSERT_EQ(0, bind(listen_fd, (struct sockaddr *)&a, sizeof(a)));
	ASSERT_EQ(0, listen(listen_fd, 16));
	getsockname(listen_fd, (struct sockaddr *)&a, &len);
	std::string addr = "127.0.0.1:" + std::to_string(ntohs(a.sin_port));
	snprintf(set.id, ID_LEN, "c1");
	struct link *l = link_open(loop, &set, "control", addr.c_str(), 1, &h);
	clk_ms opened = clk_now();
	/* Three attempts take two time-outs, and up to 100 ms each until the
	 * timer notices; repeated as later on they would take 800 ms. */
	while (accepted.size() < 3 &&
	       clk_now() - opened < 2 * LINK_CONNECT_TIMEOUT_MS) {
		ev_run(loop, EVRUN_NOWAIT);
		int fd = accept(listen_fd, nullptr, nullptr);
		if (fd >= 0)
			accepted.push_back(fd);
		usleep(1000);
	}
	EXPECT_EQ(3u, accepted.size());
	link_free(l);
	for (int fd : accepted)
		close(fd);
	close(listen_fd);
	ev_loop_destroy(loop);
}

/* Two sides of a link, in given zones. */
struct LinkZones : testing::Test {
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct settings sets[2] = {};
	struct link_server *server = nullptr;
	struct link *l = nullptr;
	std::string received;

	void connect(const char *zone, const char *peer_zone)
	{
		struct link_handler h = {};
		struct err e = ERR_INIT;

		ASSERT_GE(sodium_init(), 0);
		strcpy(sets[0].id, "p1");
		strcpy(sets[0].zone, zone);
		strcpy(sets[1].id, "p2");
		strcpy(sets[1].zone, peer_zone);
		snprintf(sets[1].link, ADDR_LEN, "127.0.0.1:%d",
			 20000 + (int)(getpid() % 10000));
		h.arg = this;
		h.on_message = [](void *arg, struct link *,
				  const struct msg *m) {
			((LinkZones *)arg)
				->received.assign(m->u.job_end.answer.data,
						  m->u.job_end.answer.len);
		};
		ASSERT_EQ(RES_OK, link_listen(&server, loop, &sets[1], "proxy",
					      2, &h, &e))
			<< e.text;
		l = link_open(loop, &sets[0], "proxy", sets[1].link, 1, &h);
		EXPECT_TRUE(run_until([&] { return link_is_up(l); }));
	}

	bool run_until(const std::function<bool()> &done)
	{
		for (int i = 0; i < 2000 && !done(); i++) {
			ev_run(loop, EVRUN_NOWAIT);
			usleep(1000);
		}
		return done();
	}

	/* Sends an answer; returns the bytes on the wire that it took. */
	size_t send_answer(const std::string &text, const char *peer)
	{
		struct msg m = {};
		size_t before = sent_bytes(peer);

		m.type = MSG_JOB_END;
		m.u.job_end.answer = {text.data(), text.size()};
		link_send(l, &m);
		EXPECT_TRUE(run_until([&] { return received == text; }));
		return sent_bytes(peer) - before;
	}

	static size_t sent_bytes(const char *peer)
	{
		struct buf text = BUF_INIT;
		std::string key = "link_sent_bytes{type=\"JOB_END\",peer=\"" +
				  std::string(peer) + "\"} ";

		trf_print(&text);
		std::string all(buf_data(&text) ? buf_data(&text) : "",
				buf_len(&text));
		buf_free(&text);
		size_t at = all.find(key);
		return at == std::string::npos
			       ? 0
			       : std::stoul(all.substr(at + key.size()));
	}

	void TearDown() override
	{
		link_free(l);
		link_server_free(server);
		ev_loop_destroy(loop);
	}
};

/* Guards against the pattern that answers from other availability zones are
 * most of the paid traffic (Threlfall large, quiet-1: 10.5 of 18.8 MB). */
TEST_F(LinkZones, MessagesToOtherZonesAreCompressed)
{
	std::string text;

	connect("za", "zb");
	for (int i = 0; i < 2000; i++)
		text += (char)('a' + (i * i * 7 + i) % 23);
	EXPECT_LT(send_answer(text, "other_zone"), text.size() * 3 / 4);
	EXPECT_LT(send_answer("short", "other_zone"), 64u);
	EXPECT_LT(send_answer(text + text, "other_zone"), text.size() * 3 / 2);
}

/* Guards against processor time that is spent where traffic costs nothing. */
TEST_F(LinkZones, MessagesInTheOwnZoneAreNot)
{
	connect("za", "za");
	EXPECT_GT(send_answer(std::string(2000, 'x'), "same_zone"), 2000u);
}
