#include "lib_platform.h"

#include <atomic>
#include <gtest/gtest.h>
#include <thread>
#include <unistd.h>

using platform::Deployment;
using platform::Session;
using platform::statement_succeeded;

/*
 * A deployment whose promoter does not depose the primary that it replaces. The
 * old one goes on in its own term until it is told to step down; what it
 * commits then (a stray commit) is lost.
 */
struct SysLease : testing::Test {
	Deployment d{3, 3, 3};

	void SetUp() override
	{
		d.let_replaced_primaries_go_on();
		d.use_relay();
		ASSERT_TRUE(d.start());
	}

	/* Partitions m0 from control and from proxies 1 and 2; proxy 0 still
	 * reaches it. */
	void partition_primary()
	{
		d.partition_first_primary({1, 2});
	}

	bool wait_until_replaced()
	{
		return d.wait_until_replaced({1, 2});
	}
};

/*
 * Guards against a proxy that was suspended while the primary was replaced, and
 * that sends a waiting write to the old one as soon as it runs again: its
 * caller was told that the write succeeded, and it was lost (Bung trouble-3).
 */
TEST_F(SysLease, ASuspendedProxyDoesNotUseAReplacedPrimary)
{
	Session s;

	ASSERT_TRUE(s.open(d.client_addr(0), "orders"));
	ASSERT_TRUE(statement_succeeded(s.query("WRITE before 1")));
	d.proxy(0).suspend_process();
	partition_primary();
	ASSERT_TRUE(wait_until_replaced());
	s.send("QUERY 77 WRITE waiting 1\r\n");
	d.proxy(0).resume_process();
	std::string first = s.read_line(8000);
	EXPECT_EQ("0", d.send_platform_command("strays waiting")) << first;
	if (first.rfind("COMPLETE", 0) == 0) {
		EXPECT_EQ("1", d.send_platform_command("count waiting"));
	}
}

/*
 * Guards against acknowledged writes that a replaced primary made: proxy 0
 * reaches both it and control while the others don't reach it, and it has
 * statements running when the other member is promoted.
 */
TEST_F(SysLease, NoAcknowledgedWriteIsMadeByAReplacedPrimary)
{
	std::atomic<bool> stop{false};
	std::vector<std::string> acknowledged;
	std::thread load([&] {
		Session s;
		bool open = false;

		for (int i = 0; !stop; i++) {
			std::string item = "order" + std::to_string(i);
			std::string a;

			if (!open)
				open = s.open(d.client_addr(0), "orders");
			a = open ? s.query("WRITE " + item + " 1") : "closed";
			if (statement_succeeded(a))
				acknowledged.push_back(item);
			open = open && a != "closed";
		}
	});

	usleep(300000);
	partition_primary();
	EXPECT_TRUE(wait_until_replaced());
	EXPECT_TRUE(d.wait_until_serving(0, 7000));
	usleep(500000);
	stop = true;
	load.join();
	EXPECT_GT(acknowledged.size(), 10u);
	for (const std::string &item : acknowledged)
		EXPECT_EQ("0", d.send_platform_command("strays " + item))
			<< item;
}

/*
 * Guards against a transaction that was open when its primary was replaced and
 * that is committed there, and against a refusal that does not say that it was
 * rolled back.
 */
TEST_F(SysLease, ATransactionEndsWithItsPrimary)
{
	Session s;

	ASSERT_TRUE(s.open(d.client_addr(0), "orders"));
	ASSERT_TRUE(statement_succeeded(s.query("BEGIN")));
	ASSERT_TRUE(statement_succeeded(s.query("WRITE open 1")));
	partition_primary();
	ASSERT_TRUE(wait_until_replaced());
	ASSERT_TRUE(d.wait_until_serving(0, 7000));
	std::string a = s.query("COMMIT");
	EXPECT_EQ(0u, a.rfind("ERROR ABORTED", 0)) << a;
	EXPECT_EQ("0", d.send_platform_command("strays open"));
	EXPECT_EQ("0", d.send_platform_command("ever open"));
}

/*
 * Guards against leases that expire, and writes that are refused, because the
 * control leader is replaced.
 */
TEST_F(SysLease, WritesGoOnWhileTheControlLeaderIsReplaced)
{
	Session s;
	std::string a;

	ASSERT_TRUE(s.open(d.client_addr(0), "orders"));
	for (int i = 0; i < 3; i++) {
		d.control(i).kill();
		for (int j = 0; j < 20; j++) {
			a = s.query("WRITE w 1");
			EXPECT_TRUE(statement_succeeded(a)) << a;
			usleep(100000);
		}
		d.control(i).start();
		usleep(1000000);
	}
}
