#include <gtest/gtest.h>

#include <unistd.h>

#include "lib_platform.h"

using namespace platform;
using cluster::now_ms;
using cluster::wait_until;

namespace
{

/*
 * Reads that may be ALLOWED_AGE_MS old, after a change of primary. There are
 * two members: m0, the first primary, which is deposed and does not hear of it,
 * and m1, which replaces it. So m0 is the only replica, and its log lacks all
 * that m1 commits.
 */
struct Stale : testing::Test {
	static constexpr int ALLOWED_AGE_MS = 1500; /* database "catalogue" */
	static constexpr int MARGIN_MS = 100;
	static constexpr int READ_EVERY_MS = 10;

	/* Starts all processes and waits until proxies 0 and 1 use the
	 * configuration. */
	static bool start(Deployment &d)
	{
		return d.start() &&
		       d.publish_config(patient_config(d)).status == 200 &&
		       wait_until(3000, [&] {
			       return Session().open(d.client_addr(0),
						     "patient") &&
				      Session().open(d.client_addr(1),
						     "patient");
		       });
	}

	/* Transactions may be idle, and statements may take, longer than a
	 * change of primary and the allowed age. "patient" tells whether it is
	 * in force. */
	static std::string patient_config(const Deployment &d)
	{
		std::string doc = d.config_document(
			2, ",{\"host\":\"patient\",\"timeout_ms\":20000,"
			   "\"service\":\"g1\"}");
		std::string idle = "\"txn_idle_ms\":";

		return doc.replace(doc.find(idle), idle.size() + 4,
				   idle + "20000");
	}

	/* Deposes m0, which does not hear of it. */
	static bool replace_primary(Deployment &d)
	{
		d.send_platform_command("deaf m0");
		return d.promote("m1") == 200 && wait_until(2000, [&] {
			       return d.send_platform_command("primary") ==
				      "m1";
		       });
	}

	/* Writes through a proxy, once it knows the new primary, and waits
	 * until no read may miss the write. */
	static bool write_and_age(Deployment &d, int proxy)
	{
		bool written = wait_until(7000, [&] {
			Session s;

			return s.open(d.client_addr(proxy), "orders") &&
			       statement_succeeded(s.query("WRITE item new"));
		});

		usleep((ALLOWED_AGE_MS + MARGIN_MS) * 1000);
		return written;
	}

	/* Reads for longer than the allowed age, so that each position that the
	 * proxy learned before becomes the one that a read needs. Answers that
	 * lack the write are errors; refusals are not. */
	static void expect_fresh_reads(Deployment &d, int proxy)
	{
		int64_t end = now_ms() + ALLOWED_AGE_MS + 5 * MARGIN_MS;
		std::string first_stale;
		int served = 0;
		int stale = 0;
		Session s;

		ASSERT_TRUE(s.open(d.client_addr(proxy), "catalogue"));
		while (now_ms() < end) {
			std::string a = s.query("READ item");

			usleep(READ_EVERY_MS * 1000);
			if (a.rfind("DATAROW ", 0) != 0)
				continue;
			served++;
			if (a.rfind("DATAROW new|", 0) == 0)
				continue;
			if (!stale++)
				first_stale = a;
		}
		EXPECT_GT(served, 0);
		EXPECT_EQ(0, stale) << "of " << served << ": " << first_stale;
	}
};

} // namespace

/* Guards against reads that are older than allowed because the answer of a
 * deposed primary to the COMMIT of a transaction that only read was taken as
 * the position of the group. */
TEST_F(Stale, CommitOfAReadAtADeposedPrimary)
{
	Deployment d{3, 3, 2};
	Session s;

	d.use_relay();
	ASSERT_TRUE(start(d));
	ASSERT_TRUE(s.open(d.client_addr(0), "orders"));
	ASSERT_TRUE(statement_succeeded(s.query("WRITE item old")));
	ASSERT_TRUE(statement_succeeded(s.query("BEGIN")));
	ASSERT_EQ(0u, s.query("READ item").rfind("DATAROW old|", 0));
	d.send_platform_command("deaf m0");
	d.partition_first_primary({1, 2});
	ASSERT_TRUE(d.wait_until_replaced({1, 2}));
	ASSERT_TRUE(write_and_age(d, 1));
	std::string a = s.query("COMMIT");
	ASSERT_EQ(0u, a.rfind("COMPLETE m0.", 0)) << a;
	expect_fresh_reads(d, 0);
}

/* Guards against the same for a transaction without statements: the primary is
 * deposed after it has run BEGIN, which the proxy sends with the COMMIT. */
TEST_F(Stale, CommitOfNothingAtADeposedPrimary)
{
	Deployment d{3, 2, 2};
	Session s;

	d.use_relay();
	ASSERT_TRUE(start(d));
	ASSERT_TRUE(s.open(d.client_addr(0), "patient"));
	ASSERT_TRUE(statement_succeeded(s.query("WRITE item old")));
	ASSERT_TRUE(statement_succeeded(s.query("BEGIN")));
	/* Holds back the answer to BEGIN, and so the COMMIT. */
	d.send_relay_command("drop p0>m0 down");
	s.send("QUERY 1 COMMIT\r\n");
	ASSERT_TRUE(wait_until(3000, [&] {
		return d.send_platform_command("transactions m0") == "1";
	}));
	ASSERT_TRUE(replace_primary(d));
	ASSERT_TRUE(write_and_age(d, 1));
	d.send_relay_command("heal p0>m0");
	std::string a = s.read_line();
	ASSERT_EQ(0u, a.rfind("COMPLETE m0.", 0)) << a;
	expect_fresh_reads(d, 0);
}

/* Guards against the same where the transaction runs at another proxy, the
 * runner, which passes the position on. */
TEST_F(Stale, CommitOfAReadThroughARunner)
{
	Deployment d{3, 4, 2};
	Session s;

	d.limit_member_connections(5);
	ASSERT_TRUE(start(d));
	ASSERT_TRUE(s.open(d.client_addr(1), "orders"));
	ASSERT_TRUE(statement_succeeded(s.query("WRITE item old")));
	ASSERT_TRUE(statement_succeeded(s.query("BEGIN")));
	ASSERT_EQ(0u, s.query("READ item").rfind("DATAROW old|", 0));
	ASSERT_TRUE(replace_primary(d));
	ASSERT_TRUE(write_and_age(d, 2));
	std::string a = s.query("COMMIT");
	ASSERT_EQ(0u, a.rfind("COMPLETE m0.", 0)) << a;
	expect_fresh_reads(d, 1);
}

/* Guards against a deposed primary that leads again with what its replacement
 * had discarded, because no other member answers for a while: what was
 * acknowledged after the replacement would be lost. */
TEST_F(Stale, ADiscardedLogDoesNotLeadAgain)
{
	constexpr int SILENT_MS = 4000; /* a replacement takes 2 s at most */
	Deployment d{3, 3, 3};
	Session s;

	d.use_relay();
	ASSERT_TRUE(start(d));
	ASSERT_TRUE(s.open(d.client_addr(0), "orders"));
	d.send_platform_command("deaf m1");
	d.send_platform_command("deaf m2");
	for (int i = 0; i < 10; i++)
		ASSERT_TRUE(statement_succeeded(s.query("WRITE lost 1")));
	d.send_platform_command("deaf m0");
	d.partition_first_primary({1, 2});
	ASSERT_TRUE(d.wait_until_replaced({1, 2}));
	d.send_platform_command("hear m1");
	d.send_platform_command("hear m2");
	ASSERT_TRUE(write_and_age(d, 1));
	d.send_relay_command("heal *");
	d.send_platform_command("mute m1");
	d.send_platform_command("mute m2");
	bool led_again = false;
	for (int64_t end = now_ms() + SILENT_MS; now_ms() < end;) {
		Session w;

		if (w.open(d.client_addr(1), "orders"))
			w.query("WRITE report 1", 1000);
		led_again |= d.send_platform_command("primary") == "m0";
	}
	EXPECT_FALSE(led_again);
	d.send_platform_command("speak m1");
	d.send_platform_command("speak m2");
	EXPECT_TRUE(d.wait_until_serving(1, 7000));
	ASSERT_TRUE(s.open(d.client_addr(1), "orders"));
	std::string a = s.query("READ item");
	EXPECT_EQ(0u, a.rfind("DATAROW new|", 0)) << a;
}
