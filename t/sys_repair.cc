/* Control instances that lose their disk, or part of the data on it. */

#include <gtest/gtest.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <thread>
#include <unistd.h>

#include "lib_cluster.h"

using namespace cluster;

namespace
{

constexpr int RECOVERY_LIMIT_MS = 7000;

struct SysRepair : testing::Test {
	std::unique_ptr<Cluster> c;
	std::string text = default_lists();
	int64_t version = 0;

	void begin(bool group)
	{
		Spec s;

		s.proxies = 1;
		s.lists = text;
		if (!group)
			s.groups.clear();
		c = std::make_unique<Cluster>(s);
		ASSERT_TRUE(c->start());
		version = 1;
	}
	Result apply(const std::string &id)
	{
		Result r = c->apply("p1", text, version, id);

		if (r.ok)
			version = r.number("version");
		return r;
	}
	/* Applies five changes, each of which must be accepted. */
	void apply_changes(const std::string &tag)
	{
		for (int i = 0; i < 5; i++) {
			int64_t before = version;

			ASSERT_TRUE(wait_until(RECOVERY_LIMIT_MS, [&] {
				return apply(tag + std::to_string(i)).ok;
			})) << tag;
			ASSERT_EQ(before + 1, version);
		}
	}
	std::string leader()
	{
		std::string id;

		EXPECT_TRUE(wait_until(RECOVERY_LIMIT_MS, [&] {
			id = c->admin("p1")
				     .exec("SHOW VERSION")
				     .value("leader");
			return id != "" && c->process(id).running();
		}));
		return id;
	}
	/* Returns a control instance that is neither a nor b. */
	std::string other(const std::string &a, const std::string &b = "")
	{
		for (auto *id : {"c1", "c2", "c3"})
			if (id != a && id != b)
				return id;
		return "";
	}
	bool logged(const std::string &id, const std::string &what)
	{
		return c->process(id).log().find(what) != std::string::npos;
	}
	/* Waits until the leader has logged that it made the new instance a
	 * voter. */
	void wait_for_voter(const std::string &id, const std::string &by)
	{
		ASSERT_TRUE(wait_until(10000, [&] {
			return logged(by, "member_added id=" + id);
		})) << c->process(by).log();
	}
	/* Checks that an instance counts as a voter: with the third instance
	 * stopped, it and the leader must form a majority. */
	void expect_voter(const std::string &id, const std::string &tag)
	{
		std::string lead = leader();

		ASSERT_NE(id, lead);
		std::string third = other(id, lead);

		c->process(third).kill();
		apply_changes(tag);
		c->start(third);
	}
	std::string log_file(const std::string &id)
	{
		return c->data(id) + "/log-0000000000000001";
	}
	void check_log()
	{
		Result r;

		ASSERT_TRUE(wait_until(RECOVERY_LIMIT_MS, [&] {
			r = c->admin("p1").exec("SHOW LOG");
			return r.ok;
		}));
		ASSERT_EQ((size_t)version, r.rows.size());
		for (int64_t i = 0; i < version; i++)
			EXPECT_EQ(std::to_string(version - i),
				  r.rows[(size_t)i][0]);
	}
};

/* Guards against a repair that is reported before it is complete. Each instance
 * in turn loses its disk, and another one is killed as soon as the repair is
 * reported. In the end every disk has been wiped once. */
TEST_F(SysRepair, EachDiskInTurnAndASecondLossRightAfterTheRepair)
{
	ASSERT_NO_FATAL_FAILURE(begin(true));
	std::atomic<bool> stop{false};
	std::atomic<int64_t> acked{0}, last{now_ms()}, gap{0};

	ASSERT_TRUE(c->customer("p1", "orders")
			    .exec("CREATE TABLE t (n int primary key)")
			    .ok);
	std::thread writer([&] {
		Caller w = c->customer("p1", "orders");

		for (int64_t n = 1; !stop;) {
			std::string id = std::to_string(n);

			if (w.exec("/* marjoramlatch.request_id=w" + id +
				   " */ INSERT INTO t VALUES (" + id + ")")
				    .ok) {
				gap = std::max(gap.load(), now_ms() - last);
				last = now_ms();
				acked = n++;
			} else if (!w.connected()) {
				w = c->customer("p1", "orders");
			}
			usleep(5000);
		}
	});
	for (int round = 0; round < 3 && !HasFatalFailure(); round++) {
		std::string lead = leader();
		std::string lost = "c" + std::to_string(round + 1);

		if (lost == lead) {
			/* A follower is to be repaired, so make another
			 * instance the leader. */
			c->process(lost).kill();
			wait_until(RECOVERY_LIMIT_MS,
				   [&] { return (lead = leader()) != lost; });
		}
		c->kill_and_delete_data(lost);
		c->start(lost);
		wait_for_voter(lost, lead);
		c->process(lead).kill();
		apply_changes("round" + std::to_string(round) + "-");
		c->start(lead);
		leader();
	}
	int64_t before = acked;
	EXPECT_TRUE(wait_until(RECOVERY_LIMIT_MS,
			       [&] { return acked > before + 5; }));
	stop = true;
	writer.join();
	printf("longest pause of writes %lld ms, %lld writes\n", (long long)gap,
	       (long long)acked);
	EXPECT_LE(gap, RECOVERY_LIMIT_MS);
	check_log();
	EXPECT_EQ(std::to_string(acked),
		  c->customer("p1", "orders")
			  .exec("SELECT count(*) FROM t WHERE n <= " +
				std::to_string(acked))
			  .value());
}

/* Guards against an empty instance that counts towards a majority before it
 * holds what the majority had accepted. */
TEST_F(SysRepair, AnInstanceThatIsNotAdmittedNeverCounts)
{
	ASSERT_NO_FATAL_FAILURE(begin(false));
	apply_changes("a");
	std::string lead = leader();
	std::string down = other(lead), lost = other(lead, down);

	c->process(down).kill();
	c->kill_and_delete_data(lost);
	c->start(lost);
	/* This waits long enough for several elections. */
	Result r = apply("alone");
	EXPECT_EQ("57P03", r.sqlstate) << r.message;
	EXPECT_FALSE(logged(lost, "event=leading"));
	EXPECT_FALSE(logged(lead, "member_added"));
	EXPECT_FALSE(logged(lead, "members_changed"));
	c->start(down);
	/* The outcome of "alone" was unknown. Sent again, it must be applied
	 * exactly once. */
	int64_t before = version;
	ASSERT_TRUE(wait_until(RECOVERY_LIMIT_MS,
			       [&] { return apply("alone").ok; }));
	EXPECT_EQ(before + 1, version);
	apply_changes("b");
	wait_for_voter(lost, leader());
	ASSERT_NO_FATAL_FAILURE(expect_voter(lost, "c"));
	check_log();
}

/* Guards against an instance that does not start again, or starts without
 * records that it had acknowledged, because it was killed during a write. */
TEST_F(SysRepair, TornTailIsCutOff)
{
	ASSERT_NO_FATAL_FAILURE(begin(false));
	apply_changes("a");
	std::string torn = other(leader());

	c->process(torn).kill();
	{
		std::ifstream in(log_file(torn), std::ios::binary);
		std::string head(200, '\0');

		/* Append only the beginning of a record. */
		in.read(head.data(), (std::streamsize)head.size());
		std::ofstream(log_file(torn), std::ios::binary | std::ios::app)
			<< head.substr(0, 60);
	}
	c->start(torn);
	EXPECT_TRUE(wait_until(
		5000, [&] { return logged(torn, "event=torn_tail"); }));
	apply_changes("b");
	ASSERT_NO_FATAL_FAILURE(expect_voter(torn, "c"));
	check_log();
}

/*
 * Guards against acknowledged records that are discarded because a record
 * before them is damaged, and against an instance that ends at every start
 * until somebody empties its folder. It rejoins as another voter, so that
 * nothing which it acknowledged before is counted on, and its files are kept as
 * they were.
 */
TEST_F(SysRepair, CorruptRecordInTheMiddleIsNotUsed)
{
	ASSERT_NO_FATAL_FAILURE(begin(false));
	apply_changes("a");
	std::string bad = other(leader());
	std::string file = log_file(bad);

	c->process(bad).kill();
	{
		std::fstream f(file,
			       std::ios::binary | std::ios::in | std::ios::out);

		f.seekp((std::streamoff)std::filesystem::file_size(file) / 2);
		f.put('\x55');
		f.put('\xaa');
	}
	auto size = std::filesystem::file_size(file);
	c->start(bad);
	EXPECT_TRUE(wait_until(5000, [&] {
		return logged(bad, "event=data_damaged");
	})) << c->process(bad).log();
	EXPECT_TRUE(logged(bad, "bad record")) << c->process(bad).log();
	EXPECT_TRUE(logged(bad, "event=recovered term=1 last=0 snapshot=0"))
		<< c->process(bad).log();
	std::filesystem::path aside = c->data(bad) + "/damaged-1";
	EXPECT_EQ(size,
		  std::filesystem::file_size(aside / "log-0000000000000001"));
	EXPECT_TRUE(std::filesystem::exists(aside / "hard"));
	apply_changes("b");
	wait_for_voter(bad, leader());
	ASSERT_NO_FATAL_FAILURE(expect_voter(bad, "c"));
	check_log();
}

/*
 * Guards against a new cluster, without what was acknowledged, that instances
 * form after all of them found their data damaged.
 */
TEST_F(SysRepair, DamageOnAllInstancesFormsNoNewCluster)
{
	ASSERT_NO_FATAL_FAILURE(begin(false));
	apply_changes("a");
	for (std::string id : {"c1", "c2", "c3"})
		c->process(id).kill();
	for (std::string id : {"c1", "c2", "c3"}) {
		std::fstream f(log_file(id),
			       std::ios::binary | std::ios::in | std::ios::out);

		f.seekp((std::streamoff)std::filesystem::file_size(
				log_file(id)) /
			2);
		f.put('\x55');
		f.put('\xaa');
	}
	for (std::string id : {"c1", "c2", "c3"})
		c->start(id);
	for (std::string id : {"c1", "c2", "c3"})
		EXPECT_TRUE(wait_until(5000, [&] {
			return logged(id, "event=data_damaged");
		})) << c->process(id).log();
	/* A new cluster forms within a second where nothing was stored. */
	std::this_thread::sleep_for(std::chrono::milliseconds(3000));
	for (std::string id : {"c1", "c2", "c3"}) {
		std::string logs = c->process(id).log();

		logs = logs.substr(logs.find("event=data_damaged"));
		EXPECT_TRUE(c->process(id).running()) << id;
		EXPECT_EQ(std::string::npos, logs.find("event=formed")) << logs;
		EXPECT_EQ(std::string::npos, logs.find("event=leading"))
			<< logs;
		EXPECT_TRUE(std::filesystem::exists(
			c->data(id) + "/damaged-1/log-0000000000000001"));
	}
}

/* Guards against an instance that acknowledges records that it could not sync.
 * Its next log file is a link to /dev/null, which accepts writes but fails to
 * sync. */
TEST_F(SysRepair, AFolderThatCannotBeSyncedEndsTheProcess)
{
	ASSERT_NO_FATAL_FAILURE(begin(false));
	apply_changes("a");
	std::string bad = other(leader());
	std::string null = c->data(bad) + "/log-0000000000000002";

	c->process(bad).kill();
	std::filesystem::create_symlink("/dev/null", null);
	c->start(bad);
	apply_changes("b");
	EXPECT_EQ(1, c->process(bad).wait(5000));
	EXPECT_TRUE(logged(bad, "event=failed what=sync"))
		<< c->process(bad).log();
	std::filesystem::remove(null);
	c->start(bad);
	apply_changes("c");
	ASSERT_NO_FATAL_FAILURE(expect_voter(bad, "d"));
	check_log();
}

} // namespace
