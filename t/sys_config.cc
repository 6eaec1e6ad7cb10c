/* Changes of the configuration during failures: an accepted configuration must
 * be in force within 2 s (7 s at most) on every proxy that can be reached, and
 * must never be reverted. */

#include <gtest/gtest.h>

#include <atomic>
#include <mutex>
#include <thread>
#include <unistd.h>

#include "lib_cluster.h"

using namespace cluster;

namespace
{

constexpr int MAX_APPLY_MS = 7000;
constexpr int EXPECTED_APPLY_MS = 2000;

/* Returns lists whose additional plans have this connection limit. A higher
 * number of plans makes the text longer. */
std::string lists(int n, int plans = 0)
{
	static const std::string base = default_lists();
	std::string text = base, add;
	std::string head = "\"plans\": [";

	for (int i = 0; i <= plans; i++)
		add += "{\"name\": \"extra" + std::to_string(i) +
		       "\", \"connections\": " + std::to_string(n) +
		       ", \"max_age_ms\": 0, \"max_wait_ms\": 1000}, ";
	return text.insert(text.find(head) + head.size(), add);
}

std::string apply_sql(const std::string &id, const std::string &by,
		      int64_t base, const std::string &text)
{
	return "APPLY '" + id + "' '" + by + "' " + std::to_string(base) +
	       " '" + text + "'";
}

/* Polls the configuration version of each proxy; its destructor fails the test
 * if a proxy went back to an older one. */
class VersionMonitor
{
      public:
	VersionMonitor(Cluster &c, int proxies)
	{
		for (int i = 1; i <= proxies; i++)
			threads_.emplace_back([this, &c, i] {
				watch(c, "p" + std::to_string(i));
			});
	}
	~VersionMonitor()
	{
		stop_ = true;
		for (auto &t : threads_)
			t.join();
		EXPECT_EQ("", reverted_);
	}
	int64_t version(const std::string &proxy)
	{
		std::lock_guard<std::mutex> guard(lock_);
		return newest_[proxy];
	}

      private:
	void watch(Cluster &c, const std::string &proxy)
	{
		while (!stop_) {
			Caller admin = c.admin(proxy);

			while (!stop_) {
				Result r = admin.exec("SHOW CONFIG", 2000);

				if (!r.ok)
					break;
				record_version(proxy, r.number("version"));
				usleep(10000);
			}
			usleep(10000);
		}
	}
	/* Version 0 is skipped: a proxy that has just started has no
	 * configuration yet. */
	void record_version(const std::string &proxy, int64_t version)
	{
		std::lock_guard<std::mutex> guard(lock_);
		if (version && version < newest_[proxy])
			reverted_ += proxy + ": " +
				     std::to_string(newest_[proxy]) + " to " +
				     std::to_string(version) + "\n";
		if (version > newest_[proxy])
			newest_[proxy] = version;
	}
	std::atomic<bool> stop_{false};
	std::mutex lock_;
	std::map<std::string, int64_t> newest_;
	std::string reverted_;
	std::vector<std::thread> threads_;
};

struct SysConfig : testing::Test {
	static Spec spec()
	{
		Spec s;

		s.relay = true;
		s.proxies = 4; /* two of them in zone za */
		return s;
	}
	Cluster c{spec()};
	std::unique_ptr<VersionMonitor> watch;

	void SetUp() override
	{
		ASSERT_TRUE(c.start());
		watch = std::make_unique<VersionMonitor>(c, 4);
	}
	void TearDown() override
	{
		watch.reset();
	}
	int64_t version(const std::string &proxy)
	{
		return c.admin(proxy)
			.exec("SHOW CONFIG", 2000)
			.number("version");
	}
	std::string leader(const std::string &proxy)
	{
		return c.admin(proxy)
			.exec("SHOW VERSION", 2000)
			.value("leader");
	}
	Result apply(const std::string &proxy, const std::string &id,
		     const std::string &by, int64_t base, int n, int plans = 0)
	{
		return c.admin(proxy).exec(
			apply_sql(id, by, base, lists(n, plans)), 8000);
	}
	/* Sends the same request again until it is accepted or refused with a
	 * conflict, as an operator does whose answer was lost. */
	Result apply_until_answered(const std::string &proxy,
				    const std::string &id, int64_t base, int n)
	{
		Result r;

		wait_until(20000, [&] {
			r = apply(proxy, id, "anna", base, n);
			return r.ok || r.sqlstate == "40001";
		});
		return r;
	}
	/* Waits until the proxies have at least version v; returns how long it
	 * took, in ms. */
	int64_t wait_for_version(const std::vector<std::string> &proxies,
				 int64_t v)
	{
		int64_t began = now_ms();

		for (auto &p : proxies)
			EXPECT_TRUE(wait_until(
				(int)(began + MAX_APPLY_MS - now_ms()),
				[&] { return version(p) >= v; }))
				<< p << " has " << version(p) << " not " << v;
		return now_ms() - began;
	}
};

/* Guards against two operators who are both told that their change is in
 * force, and against a different result for a request that is sent again. */
TEST_F(SysConfig, TwoOperatorsAtTheSameMomentAndLostAnswers)
{
	for (int round = 0; round < 3; round++) {
		int64_t base = version("p1");
		std::string tag = std::to_string(round);
		std::string names[] = {"anna", "bert"};
		std::string at[] = {"p1", "p2"};
		Caller admins[] = {c.admin("p1"), c.admin("p2")};
		Result first[2], again[2];

		for (int i = 0; i < 2; i++)
			c.relay_command("drop test>" + at[i] + " down");
		for (int i = 0; i < 2; i++)
			ASSERT_TRUE(PQsendQuery(
				admins[i].raw(),
				apply_sql(names[i] + tag, names[i], base,
					  lists(100 + 2 * round + i))
					.c_str()));
		wait_for_version({"p3", "p4"}, base + 1);
		for (int i = 0; i < 2; i++) {
			admins[i].close();
			c.relay_command("heal test>" + at[i]);
		}
		for (int i = 0; i < 2; i++)
			first[i] = apply(at[1 - i], names[i] + tag, names[i],
					 base, 100 + 2 * round + i);
		for (int i = 0; i < 2; i++)
			again[i] = apply("p3", names[i] + tag, names[i], base,
					 100 + 2 * round + i);
		ASSERT_NE(first[0].ok, first[1].ok)
			<< first[0].message << first[1].message;
		int won = first[0].ok ? 0 : 1;
		EXPECT_EQ(base + 1, first[won].number("version"));
		EXPECT_EQ("40001", first[1 - won].sqlstate);
		EXPECT_EQ("40001", again[1 - won].sqlstate);
		EXPECT_EQ(first[won].rows, again[won].rows);
		EXPECT_EQ(first[1 - won].message, again[1 - won].message);
		EXPECT_NE(std::string::npos,
			  first[1 - won].message.find("by " + names[won]))
			<< first[1 - won].message;
		EXPECT_NE(std::string::npos,
			  first[1 - won].message.find("extra"))
			<< first[1 - won].message;
		EXPECT_NE(std::string::npos,
			  first[1 - won].message.find(" at "))
			<< first[1 - won].message;
		EXPECT_LE(wait_for_version({"p1", "p2", "p3", "p4"}, base + 1),
			  EXPECTED_APPLY_MS);
		EXPECT_EQ(base + 1, version("p4"));
	}
}

/* Guards against an accepted change that is lost, or applied twice, when the
 * leader fails before its answer arrives. */
TEST_F(SysConfig, LeaderKilledDuringApply)
{
	for (int round = 0; round < 4; round++) {
		int64_t base = version("p1");
		std::string id = "kill-" + std::to_string(round);
		std::string old;
		Caller admin = c.admin("p1");

		ASSERT_TRUE(wait_until(5000, [&] {
			old = leader("p1");
			return old != "";
		}));
		ASSERT_TRUE(
			PQsendQuery(admin.raw(), apply_sql(id, "anna", base,
							   lists(200 + round))
							 .c_str()));
		usleep((useconds_t)(round * round * 1000)); /* 0 to 9 ms */
		c.process(old).kill();
		int64_t began = now_ms();
		Result r = apply_until_answered("p2", id, base, 200 + round);
		ASSERT_TRUE(r.ok) << r.message;
		EXPECT_EQ(base + 1, r.number("version"));
		EXPECT_LT(now_ms() - began, MAX_APPLY_MS);
		wait_for_version({"p1", "p2", "p3", "p4"}, base + 1);
		r = c.admin("p3").exec("SHOW LOG");
		EXPECT_EQ(std::to_string(base + 1), r.value("version"));
		c.start(old);
	}
}

/* Guards against a proxy, a control instance or a whole deployment that returns
 * with an older configuration after many changes. */
TEST_F(SysConfig, ManyChangesPastCutInstancesAndARestartOfAll)
{
	/* 300 lists of 24 KB exceed the 4 MB of log that cause a snapshot, and
	 * leave further records after it. */
	enum { CHANGES = 300, CUT = 100, PLANS = 300 };
	int64_t base = version("p1");
	std::string old, silent;
	int64_t v = base;
	auto change = [&] {
		Result r = apply("p1", "many-" + std::to_string(v), "anna", v,
				 (int)v + 1, PLANS);

		ASSERT_TRUE(r.ok) << r.message;
		v = r.number("version");
	};

	ASSERT_TRUE(
		wait_until(5000, [&] { return (old = leader("p1")) != ""; }));
	/* The instance still sends but receives nothing; its connections stay
	 * open. */
	silent = old == "c3" ? "c2" : "c3";
	c.relay_command("freeze *>" + silent);
	c.relay_command("cut p4>*");
	c.relay_command("cut *>p4-link");
	while (v < base + CUT)
		ASSERT_NO_FATAL_FAILURE(change());
	EXPECT_LE(wait_for_version({"p1", "p2", "p3"}, v), EXPECTED_APPLY_MS);
	EXPECT_LT(version("p4"), v);
	c.relay_command("heal p4>*");
	c.relay_command("heal *>p4-link");
	printf("rejoined proxy after %lld ms\n",
	       (long long)wait_for_version({"p4"}, v));
	EXPECT_EQ(old, leader("p1")) << "the silent instance took over";
	c.relay_command("heal *>" + silent);
	/* Now only its messages to the other control instances are held
	 * back. */
	c.relay_command("freeze " + silent + ">c*");
	while (v < base + 2 * CUT)
		ASSERT_NO_FATAL_FAILURE(change());
	c.relay_command("heal " + silent + ">c*");
	EXPECT_EQ(old, leader("p1")) << "the silent instance took over";
	while (v < base + CHANGES)
		ASSERT_NO_FATAL_FAILURE(change());
	/* The majority now consists of the instance that was cut off and one
	 * other. */
	c.process(old).kill();
	wait_for_version({"p1", "p2", "p3", "p4"}, v);
	ASSERT_NO_FATAL_FAILURE(change());
	for (auto *id : {"c1", "c2", "c3", "p1", "p2", "p3", "p4"})
		c.process(id).kill();
	for (auto *id : {"c1", "c2", "c3", "p1", "p2", "p3", "p4"})
		c.start(id);
	printf("in force after a restart of all in %lld ms\n",
	       (long long)wait_for_version({"p1", "p2", "p3", "p4"}, v));
	Result r = c.admin("p1").exec("SHOW LOG");
	EXPECT_EQ(std::to_string(v), r.value("version"));
	EXPECT_EQ((size_t)v, r.rows.size());
	std::string log = c.process(old).log();
	size_t at = log.rfind("event=recovered");
	ASSERT_NE(std::string::npos, at);
	EXPECT_NE(0, atoi(log.c_str() + log.find("snapshot=", at) + 9))
		<< "recovered without a snapshot";
	r = apply("p2", "many-" + std::to_string(base), "anna", base,
		  (int)base + 1, PLANS);
	EXPECT_TRUE(r.ok) << "resent after the restart: " << r.message;
	EXPECT_EQ(base + 1, r.number("version"));
}

/* Guards against a proxy that starts without a connection to control and then
 * serves nothing, or uses older limits, although another proxy of its zone has
 * the current lists. */
TEST_F(SysConfig, RestartInACutZoneTakesListsFromAPeer)
{
	int64_t v = version("p1");

	c.process("p4").kill();
	ASSERT_TRUE(apply("p1", "zone", "anna", v, 7).ok);
	wait_for_version({"p1"}, v + 1);
	/* Wait until control considers p4 as stopped. */
	ASSERT_TRUE(wait_until(10000, [&] {
		for (auto &row : c.admin("p1").exec("SHOW PROXIES").rows)
			if (row[0] == "p4")
				return row[3] == "false";
		return false;
	}));
	c.cut_zone("za");
	/* Wait until the control instance of the cut zone does not lead any
	 * more either. */
	ASSERT_TRUE(wait_until(10000, [&] {
		return c.admin("p1")
			       .exec("SHOW VERSION")
			       .number("leader_age_ms") > 1500;
	}));
	c.start("p4");
	printf("lists from a peer after %lld ms\n",
	       (long long)wait_for_version({"p4"}, v + 1));
	c.relay_command("heal *");
	ASSERT_TRUE(apply_until_answered("p2", "healed", v + 1, 8).ok);
	wait_for_version({"p1", "p2", "p3", "p4"}, v + 2);
}

} // namespace
