#include <gtest/gtest.h>

#include <atomic>
#include <sstream>
#include <thread>

#include "lib_platform.h"

using namespace platform;
using cluster::now_ms;
using cluster::wait_until;

namespace
{

constexpr int LEASE_MS = 3000;
/* A proxy in contact uses a new configuration within this time
 * (docs/tenants-and-load.md). */
constexpr int APPLY_MS = 4000;

const char *const KEY_ACME = "key-of-acme-1";
const char *const KEY_ACME_2 = "key-of-acme-2";
const char *const KEY_ZETA = "key-of-zeta";

} // namespace

/* A deployment with tenants; see lib_platform.h. */
struct SysTenants : testing::Test {
	Deployment d;
	int version = 1;

	void SetUp() override
	{
		d.use_tenants({{"acme", {KEY_ACME, KEY_ACME_2}},
			       {"zeta", {KEY_ZETA}}},
			      LEASE_MS);
		ASSERT_TRUE(d.start());
	}

	int publish(const Tenants &tenants)
	{
		d.set_tenants(tenants);
		return d.publish_config(d.config_document(++version)).status;
	}

	/* Keys appear in no log line, and members are told names of tenants
	 * only. */
	void TearDown() override
	{
		std::istringstream names(d.send_platform_command("tenants"));
		std::string name;

		while (names >> name)
			EXPECT_TRUE(name == "marjoramlatch" || name == "acme" ||
				    name == "zeta")
				<< name;
		for (cluster::Process *p :
		     {&d.proxy(0), &d.proxy(1), &d.control(0), &d.control(1),
		      &d.control(2)})
			EXPECT_EQ(std::string::npos, p->log().find("key-of"))
				<< p->name();
	}

	void set_controls_suspended(bool suspended)
	{
		for (int i = 0; i < 3; i++) {
			if (suspended)
				d.control(i).suspend_process();
			else
				d.control(i).resume_process();
		}
	}
};

/* Guards against callers with a wrong key that are served, and callers of a
 * public database that are not. */
TEST_F(SysTenants, AnUnknownKeyIsDenied)
{
	Session s;

	EXPECT_FALSE(s.open(d.client_addr(0), "orders", "key-of-nobody"));
	EXPECT_EQ(0u, s.startup_answer().rfind("ERROR DENIED ", 0))
		<< s.startup_answer();
	EXPECT_TRUE(s.wait_until_closed(1000));
	EXPECT_FALSE(s.open(d.client_addr(0), "orders", ""));
	ASSERT_TRUE(s.open(d.client_addr(0), "news", "key-of-nobody"));
	EXPECT_TRUE(statement_succeeded(s.query("WRITE a 1")));
	ASSERT_TRUE(s.open(d.client_addr(0), "orders", KEY_ZETA));
	EXPECT_TRUE(statement_succeeded(s.query("WRITE a 1")));
}

/* Guards against a configuration that is refused and changes something, and one
 * that is not read back as it was written. */
TEST_F(SysTenants, AnInvalidConfigurationChangesNothing)
{
	Session s;
	std::string before = d.read_config().body;

	EXPECT_NE(std::string::npos, before.find(KEY_ACME));
	EXPECT_EQ(400, publish({{"acme", {KEY_ACME}}, {"zeta", {KEY_ACME}}}));
	EXPECT_EQ(before, d.read_config().body);
	ASSERT_TRUE(s.open(d.client_addr(0), "orders", KEY_ZETA));
	EXPECT_TRUE(statement_succeeded(s.query("WRITE a 1")));
}

/* Guards against a withdrawn key that goes on being used by open sessions, and
 * against sessions of other keys that end with it. */
TEST_F(SysTenants, AWithdrawnKeyIsRefusedEverywhere)
{
	Session idle[2];
	Session in_txn;
	Session other;

	for (int i = 0; i < 2; i++) {
		ASSERT_TRUE(idle[i].open(d.client_addr(i), "orders", KEY_ACME));
		EXPECT_TRUE(statement_succeeded(idle[i].query("WRITE a 1")));
	}
	ASSERT_TRUE(in_txn.open(d.client_addr(0), "orders", KEY_ACME));
	ASSERT_TRUE(other.open(d.client_addr(0), "orders", KEY_ACME_2));
	EXPECT_TRUE(statement_succeeded(in_txn.query("BEGIN")));
	EXPECT_TRUE(statement_succeeded(in_txn.query("WRITE withdrawn 1")));
	ASSERT_EQ(200, publish({{"acme", {KEY_ACME_2}}, {"zeta", {KEY_ZETA}}}));
	int64_t published_at = now_ms();
	for (Session &s : idle)
		EXPECT_TRUE(wait_until(APPLY_MS, [&] {
			return s.query("WRITE a 2").rfind("ERROR DENIED", 0) ==
			       0;
		}));
	EXPECT_LT(now_ms() - published_at, APPLY_MS);
	EXPECT_EQ(0u, in_txn.query("COMMIT").rfind("ERROR DENIED", 0));
	EXPECT_EQ("0", d.send_platform_command("ever withdrawn"));
	EXPECT_EQ("0", d.send_platform_command("transactions m0"));
	EXPECT_TRUE(statement_succeeded(other.query("WRITE a 3")));
}

/* Guards against a proxy that uses a withdrawn key because it has not heard of
 * the change: without control it stops within key_lease_ms, and refuses as not
 * run. */
TEST_F(SysTenants, WithoutControlKeysAreUsedNoLongerThanTheLease)
{
	Session s;
	bool open = false;
	int64_t last_ok = 0;
	int acknowledged = 0;

	set_controls_suspended(true);
	int64_t cut_at = now_ms();
	while (now_ms() < cut_at + LEASE_MS + 1000) {
		int64_t sent_at = now_ms();

		if (!open)
			open = s.open(d.client_addr(0), "orders", KEY_ACME);
		std::string answer = open ? s.query("WRITE cut 1") : "";
		if (statement_succeeded(answer)) {
			last_ok = sent_at;
			acknowledged++;
		}
		/* Once it is out of the rotation, it closes idle sessions. */
		open = open && answer != "closed";
		usleep(5000);
	}
	printf("keys used for %lld ms after control was lost\n",
	       (long long)(last_ok - cut_at));
	EXPECT_GT(last_ok, cut_at) << "they are used for a while";
	EXPECT_LT(last_ok, cut_at + LEASE_MS);
	EXPECT_FALSE(s.open(d.client_addr(0), "orders", KEY_ACME));
	EXPECT_EQ(0u, s.startup_answer().rfind("ERROR BUSY ", 0))
		<< s.startup_answer();
	EXPECT_EQ(std::to_string(acknowledged),
		  d.send_platform_command("ever cut"));
	EXPECT_NE(std::string::npos,
		  d.proxy(0).log().find("event=key_lease_ended"));
	set_controls_suspended(false);
	EXPECT_TRUE(d.wait_until_serving(0, 10000));
}

/* Guards against an instance that stays in the balancer's rotation until it
 * refuses all keys: its lease has less than 2 s left and control is silent. */
TEST_F(SysTenants, LeavesTheRotationBeforeTheLeaseEnds)
{
	auto probe = [&] {
		return http(d.ready_check_addr(0), "GET",
			    "/marjoramlatch/ready")
			.status;
	};

	EXPECT_EQ(200, probe());
	set_controls_suspended(true);
	int64_t cut_at = now_ms();
	EXPECT_TRUE(wait_until(LEASE_MS, [&] {
		return d.proxy(0).log().find("event=cut_off") !=
		       std::string::npos;
	}));
	printf("left the rotation %lld ms after control was lost\n",
	       (long long)(now_ms() - cut_at));
	EXPECT_LT(now_ms(), cut_at + LEASE_MS);
	for (int i = 0; i < 3; i++)
		EXPECT_EQ(503, probe());
	set_controls_suspended(false);
	EXPECT_TRUE(wait_until(10000, [&] { return probe() == 200; }));
}

/* Guards against a proxy that uses its keys again after it was suspended: the
 * key was withdrawn meanwhile, what callers sent waits to be read, and control
 * can't be reached. */
TEST_F(SysTenants, AResumedProxyRunsNothingWithAWithdrawnKey)
{
	Session s;

	ASSERT_TRUE(s.open(d.client_addr(0), "orders", KEY_ACME));
	EXPECT_TRUE(statement_succeeded(s.query("WRITE a 1")));
	d.proxy(0).suspend_process();
	ASSERT_EQ(200, publish({{"acme", {KEY_ACME_2}}, {"zeta", {KEY_ZETA}}}));
	usleep((LEASE_MS + 200) * 1000);
	s.send("QUERY late WRITE late 1\r\n");
	usleep(100000);
	set_controls_suspended(true);
	d.proxy(0).resume_process();
	std::string answer = s.read_line();
	EXPECT_EQ(0u, answer.rfind("ERROR BUSY ", 0)) << answer;
	EXPECT_EQ("0", d.send_platform_command("ever late"));
	set_controls_suspended(false);
}

/* A job that another proxy runs is refused there, too: members accept so few
 * connections that proxies run jobs for each other. */
TEST(SysTenantsRelay, RunnersServeTenants)
{
	Deployment d{3, 5, 3};
	Session s;

	d.limit_member_connections(5);
	d.use_tenants({{"acme", {KEY_ACME}}}, LEASE_MS);
	ASSERT_TRUE(d.start());
	for (int i = 0; i < 5; i++) {
		ASSERT_TRUE(s.open(d.client_addr(i), "orders", KEY_ACME));
		EXPECT_TRUE(statement_succeeded(s.query("WRITE a 1")));
		EXPECT_TRUE(statement_succeeded(s.query("BEGIN")));
		EXPECT_TRUE(statement_succeeded(s.query("WRITE b 1")));
		EXPECT_TRUE(statement_succeeded(s.query("COMMIT")));
	}
}
