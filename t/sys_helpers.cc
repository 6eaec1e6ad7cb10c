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

/* Tests of the relay's faults and of the stand-in's announcements. */

namespace
{

/* One stand-in behind the relay, which calls it "orders-1". */
struct Relayed : Cluster {
	static Spec spec()
	{
		Spec s;

		s.proxies = 0;
		s.controls = 0;
		s.relay = true;
		s.groups[0].members = 1;
		return s;
	}

	Relayed() : Cluster(spec())
	{
		start_members();
	}

	Caller through()
	{
		Caller c;

		c.connect(addr("orders-1"), "marjoramlatch", BACKEND_PASSWORD,
			  "orders", "", 1000);
		return c;
	}
};

/* Waits for the answer to what was sent. */
bool answered(Caller &c, int ms)
{
	return wait_until(ms, [&] {
		PQconsumeInput(c.raw());
		return !PQisBusy(c.raw());
	});
}

/* Entry instance that takes any login and records what it is told. */
class Entry
{
      public:
	Entry() : addr_(free_addr())
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

	~Entry()
	{
		stop_ = true;
		shutdown(fd_, SHUT_RDWR);
		shutdown(client_, SHUT_RDWR);
		thread_.join();
		close(fd_);
	}

	std::string last()
	{
		std::lock_guard<std::mutex> guard(lock_);
		return last_;
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
			while (pgw_next(&in, startup, &m, nullptr) > 0) {
				if (startup)
					pgw_put_auth_ok(&out);
				else
					take(m, &out);
				startup = false;
				pgw_put_ready(&out, 'I');
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

	void take(const struct pgw_msg &m, struct buf *out)
	{
		std::lock_guard<std::mutex> guard(lock_);

		if (m.type == 'Q' && !silent)
			last_ = m.body;
		pgw_put_complete(out, "ANNOUNCE");
	}

	std::thread thread_;
	std::mutex lock_;
	std::string last_;
	std::atomic<bool> stop_{false};
	std::atomic<int> client_{-1};
	int fd_;
};

} // namespace

/* Guards against a freeze that lets data pass, or loses data that must arrive
 * once the link is healed. */
TEST(Relay, FreezeHoldsDataBack)
{
	Relayed r;
	Caller c = r.through();

	ASSERT_TRUE(c.exec("SELECT 1").ok);
	r.fault("freeze test>orders-1");
	ASSERT_TRUE(PQsendQuery(c.raw(), "SELECT 2"));
	EXPECT_FALSE(answered(c, 200));
	EXPECT_FALSE(r.through().connected());
	r.fault("heal test>orders-1");
	EXPECT_TRUE(answered(c, 5000));
	EXPECT_TRUE(r.through().connected());
}

/* Guards against faults that reach other sources or routes than named. */
TEST(Relay, FaultsAreNamedBySource)
{
	Relayed r;

	r.fault("cut other>orders-1");
	r.fault("freeze *>orders-2");
	EXPECT_TRUE(r.through().exec("SELECT 1").ok);
	r.fault("cut orders-1");
	EXPECT_FALSE(r.through().connected());
	r.fault("heal *");
	EXPECT_TRUE(r.through().exec("SELECT 1").ok);
}

/* Guards against a forgotten connection that comes back, or one whose end is
 * told to the other side. */
TEST(Relay, ForgottenConnectionsStaySilent)
{
	Relayed r;
	Caller c = r.through();

	ASSERT_TRUE(c.exec("SELECT 1").ok);
	r.fault("forget orders-1");
	ASSERT_TRUE(PQsendQuery(c.raw(), "SELECT 2"));
	r.process("orders-1").kill();
	EXPECT_FALSE(answered(c, 300));
	EXPECT_TRUE(c.connected());
	r.Cluster::start("orders-1");
	EXPECT_TRUE(wait_until(
		5000, [&] { return r.through().exec("SELECT 3").ok; }));
	r.fault("heal *");
	EXPECT_FALSE(answered(c, 100));
}

/* Guards against one-way faults that also hold the other direction. */
TEST(Relay, DropsOneDirection)
{
	Relayed r;
	Caller c = r.through();

	ASSERT_TRUE(r.promote("orders-1", 1));
	ASSERT_TRUE(c.exec("CREATE TABLE t (a int)").ok);
	r.fault("drop orders-1 down");
	ASSERT_TRUE(PQsendQuery(c.raw(), "INSERT INTO t VALUES (1)"));
	EXPECT_TRUE(wait_until(5000, [&] {
		return r.member("orders-1")
			       .exec("SELECT count(*) FROM t")
			       .value() == "1";
	}));
	EXPECT_FALSE(answered(c, 100));
	r.fault("heal *");
	EXPECT_TRUE(answered(c, 5000));
}

TEST(Relay, DelaysBothDirections)
{
	Relayed r;
	Caller c = r.through();
	Result res;

	ASSERT_TRUE(c.exec("SELECT 1").ok);
	r.fault("delay orders-1 100");
	res = c.exec("SELECT 2");
	EXPECT_EQ("2", res.value());
	EXPECT_GE(res.ms, 200);
	EXPECT_LT(res.ms, 1000);
}

/* Guards against a stand-in that stays with an entry instance that does not
 * answer, or stops without a word. */
TEST(Announce, MovesOnAndLeaves)
{
	TempDir dir;
	Entry a;
	Entry b;
	std::string addr = free_addr();
	Process p("m",
		  {program("helper/backend"), "--id", "m1", "--group", "orders",
		   "--zone", "za", "--listen", addr, "--data",
		   dir.path() + "/m", "--password", "secret", "--slots", "2",
		   "--connections", "9", "--announce", a.addr_ + "," + b.addr_},
		  dir.path() + "/m.log");
	std::string want = "ANNOUNCE 'orders' 'm1' '" + addr + "' 'za' ";

	p.start();
	ASSERT_TRUE(wait_until(5000, [&] { return !a.last().empty(); }));
	EXPECT_EQ(want, a.last().substr(0, want.size()));
	EXPECT_EQ(" 2 9", a.last().substr(a.last().size() - 4));
	EXPECT_EQ("", b.last());
	a.silent = true;
	ASSERT_TRUE(wait_until(5000, [&] { return !b.last().empty(); }));
	EXPECT_EQ(want, b.last().substr(0, want.size()));
	p.terminate();
	EXPECT_EQ(0, p.wait(8000));
	EXPECT_EQ("LEAVE 'orders' 'm1'", b.last());
}
