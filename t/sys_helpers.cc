#include "lib_cluster.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <atomic>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

extern "C" {
#include "pgwire.h"
}

using namespace cluster;

/* Tests of the faults that the relay injects, and of the announcements that
 * the stand-in for a backend sends to the entry instances. */

namespace
{

/* One stand-in for a backend that is reached through the relay, where its
 * link is named "orders-1". */
struct RelayedBackend : Cluster {
	static Spec spec()
	{
		Spec s;

		s.proxies = 0;
		s.controls = 0;
		s.relay = true;
		s.groups[0].members = 1;
		return s;
	}

	RelayedBackend() : Cluster(spec())
	{
		start_members();
	}

	Caller connect_through_relay()
	{
		Caller c;

		c.connect(addr("orders-1"), "marjoramlatch", BACKEND_PASSWORD,
			  "orders", "", 1000);
		return c;
	}
};

/* Waits until the statement that was sent has been answered. */
bool wait_for_answer(Caller &c, int ms)
{
	return wait_until(ms, [&] {
		PQconsumeInput(c.raw());
		return !PQisBusy(c.raw());
	});
}

/* Entry instance that accepts any login and records the last statement it
 * has received. */
class EntryInstance
{
      public:
	EntryInstance() : addr_(free_addr())
	{
		struct sockaddr_in sa = {};
		int one = 1;

		sa.sin_family = AF_INET;
		sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		sa.sin_port = htons((uint16_t)std::stoi(
			addr_.substr(addr_.rfind(':') + 1)));
		fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
		EXPECT_EQ(0, bind(fd_, (struct sockaddr *)&sa, sizeof(sa)));
		EXPECT_EQ(0, listen(fd_, 8));
		thread_ = std::thread([this] { serve(); });
	}

	~EntryInstance()
	{
		stop_ = true;
		shutdown(fd_, SHUT_RDWR);
		shutdown(client_, SHUT_RDWR);
		thread_.join();
		close(fd_);
	}

	std::string last_statement()
	{
		std::lock_guard<std::mutex> guard(lock_);
		return last_statement_;
	}

	std::atomic<bool> silent{false};
	std::string addr_;

      private:
	void serve()
	{
		while (!stop_) {
			client_ = accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
			if (client_ < 0)
				return;
			session();
			close(client_);
		}
	}

	void session()
	{
		struct buf in = BUF_INIT, out = BUF_INIT;
		struct pgw_msg m;
		bool startup = true;
		char bytes[4096];
		ssize_t n;

		while ((n = recv(client_, bytes, sizeof(bytes), 0)) > 0) {
			buf_add(&in, bytes, (size_t)n);
			while (pgw_next_message(&in, startup, &m, nullptr) >
			       0) {
				if (startup)
					pgw_put_auth_ok(&out);
				else
					record_statement(m, &out);
				startup = false;
				pgw_put_ready_for_query(&out, 'I');
				buf_consume(&in, m.total);
			}
			if (!silent)
				send(client_, buf_data(&out), buf_len(&out),
				     MSG_NOSIGNAL);
			buf_consume(&out, buf_len(&out));
		}
		buf_free(&in);
		buf_free(&out);
	}

	void record_statement(const struct pgw_msg &m, struct buf *out)
	{
		std::lock_guard<std::mutex> guard(lock_);

		if (m.type == 'Q' && !silent)
			last_statement_ = m.body;
		pgw_put_command_complete(out, "ANNOUNCE");
	}

	std::thread thread_;
	std::mutex lock_;
	std::string last_statement_;
	std::atomic<bool> stop_{false};
	std::atomic<int> client_{-1};
	int fd_;
};

} // namespace

/* Guards against a freeze that lets data pass, or that loses data which
 * must arrive after the link is healed. */
TEST(Relay, FreezeHoldsDataBack)
{
	RelayedBackend r;
	Caller c = r.connect_through_relay();

	ASSERT_TRUE(c.exec("SELECT 1").ok);
	r.relay_command("freeze test>orders-1");
	ASSERT_TRUE(PQsendQuery(c.raw(), "SELECT 2"));
	EXPECT_FALSE(wait_for_answer(c, 200));
	EXPECT_FALSE(r.connect_through_relay().connected());
	r.relay_command("heal test>orders-1");
	EXPECT_TRUE(wait_for_answer(c, 5000));
	EXPECT_TRUE(r.connect_through_relay().connected());
}

/* Guards against faults that affect other sources or routes than the named
 * ones. */
TEST(Relay, FaultsAreNamedBySource)
{
	RelayedBackend r;

	r.relay_command("cut other>orders-1");
	r.relay_command("freeze *>orders-2");
	EXPECT_TRUE(r.connect_through_relay().exec("SELECT 1").ok);
	r.relay_command("cut orders-1");
	EXPECT_FALSE(r.connect_through_relay().connected());
	r.relay_command("heal *");
	EXPECT_TRUE(r.connect_through_relay().exec("SELECT 1").ok);
}

/* Guards against a forgotten connection that carries data again, or one
 * whose close is passed on to the other side. */
TEST(Relay, ForgottenConnectionsStaySilent)
{
	RelayedBackend r;
	Caller c = r.connect_through_relay();

	ASSERT_TRUE(c.exec("SELECT 1").ok);
	r.relay_command("forget orders-1");
	ASSERT_TRUE(PQsendQuery(c.raw(), "SELECT 2"));
	r.process("orders-1").kill();
	EXPECT_FALSE(wait_for_answer(c, 300));
	EXPECT_TRUE(c.connected());
	r.Cluster::start("orders-1");
	EXPECT_TRUE(wait_until(5000, [&] {
		return r.connect_through_relay().exec("SELECT 3").ok;
	}));
	r.relay_command("heal *");
	EXPECT_FALSE(wait_for_answer(c, 100));
}

/* Guards against one-way faults that also stop the other direction. */
TEST(Relay, DropsOneDirection)
{
	RelayedBackend r;
	Caller c = r.connect_through_relay();

	ASSERT_TRUE(r.promote("orders-1", 1));
	ASSERT_TRUE(c.exec("CREATE TABLE t (a int)").ok);
	r.relay_command("drop orders-1 down");
	ASSERT_TRUE(PQsendQuery(c.raw(), "INSERT INTO t VALUES (1)"));
	EXPECT_TRUE(wait_until(5000, [&] {
		return r.member("orders-1")
			       .exec("SELECT count(*) FROM t")
			       .value() == "1";
	}));
	EXPECT_FALSE(wait_for_answer(c, 100));
	r.relay_command("heal *");
	EXPECT_TRUE(wait_for_answer(c, 5000));
}

TEST(Relay, DelaysBothDirections)
{
	RelayedBackend r;
	Caller c = r.connect_through_relay();
	Result res;

	ASSERT_TRUE(c.exec("SELECT 1").ok);
	r.relay_command("delay orders-1 100");
	res = c.exec("SELECT 2");
	EXPECT_EQ("2", res.value());
	EXPECT_GE(res.ms, 200);
	EXPECT_LT(res.ms, 1000);
}

/* Guards against a stand-in that keeps announcing itself to an unresponsive
 * entry instance instead of the next one, or that stops without sending
 * LEAVE. */
TEST(Announce, MovesOnAndLeaves)
{
	TempDir dir;
	EntryInstance a;
	EntryInstance b;
	std::string addr = free_addr();
	Process p("m",
		  {program("helper/backend"), "--id", "m1", "--group", "orders",
		   "--zone", "za", "--listen", addr, "--data",
		   dir.path() + "/m", "--password", "secret", "--slots", "2",
		   "--connections", "9", "--announce", a.addr_ + "," + b.addr_},
		  dir.path() + "/m.log");
	std::string want = "ANNOUNCE 'orders' 'm1' '" + addr + "' 'za' ";

	p.start();
	ASSERT_TRUE(
		wait_until(5000, [&] { return !a.last_statement().empty(); }));
	EXPECT_EQ(want, a.last_statement().substr(0, want.size()));
	EXPECT_EQ(" 2 9",
		  a.last_statement().substr(a.last_statement().size() - 4));
	EXPECT_EQ("", b.last_statement());
	a.silent = true;
	ASSERT_TRUE(
		wait_until(5000, [&] { return !b.last_statement().empty(); }));
	EXPECT_EQ(want, b.last_statement().substr(0, want.size()));
	p.terminate();
	EXPECT_EQ(0, p.wait(8000));
	EXPECT_EQ("LEAVE 'orders' 'm1'", b.last_statement());
}
