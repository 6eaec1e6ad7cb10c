/* A zone without connections to the other zones, and customers' limits while
 * proxies are stopped and started. A customer's limit is divided into units
 * that proxies hold as grants of control or as floors, see quota.h. */

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <thread>
#include <unistd.h>

#include "lib_cluster.h"

extern "C" {
#include "clock.h"
}

using namespace cluster;

namespace
{

constexpr int RECOVERY_LIMIT_MS = 7000;
constexpr int GRANT_MS = 2000;
constexpr int STATEMENT_MS = 100;
constexpr int CONNECTION_LIMIT = 6;

std::string lists(int connections)
{
	static const std::string customers =
		customer_json("shop", "standard", "shop-password");

	return "{\"plans\": [{\"name\": \"standard\", \"connections\": " +
	       std::to_string(connections) +
	       ", \"max_age_ms\": 5000, \"max_wait_ms\": 1500}], "
	       "\"customers\": [" +
	       customers + "]}";
}

/* The callers of one proxy. Those of all proxies together always have more
 * statements waiting than the plan allows to run. Each answer says when its
 * statement ran on the member, so that the statements that ran at the same time
 * can be counted exactly. */
class Load
{
      public:
	Load(Cluster &c, const std::string &proxy)
	{
		for (int i = 0; i < CONNECTION_LIMIT; i++)
			threads_.emplace_back([this, &c, proxy, i] {
				run(c, proxy, end_times_[i]);
			});
	}
	~Load()
	{
		stop();
	}
	void stop()
	{
		stop_ = true;
		for (auto &t : threads_)
			t.join();
		threads_.clear();
	}
	int64_t last_answer_ms() const
	{
		return last_answer_;
	}
	/* Appends the times in microseconds at which statements ended. */
	void append_end_times(std::vector<int64_t> &out) const
	{
		for (auto &t : end_times_)
			out.insert(out.end(), t.begin(), t.end());
	}

      private:
	void run(Cluster &c, const std::string &proxy,
		 std::vector<int64_t> &times)
	{
		Caller caller;

		while (!stop_) {
			if (!caller.connected())
				caller = c.customer(
					proxy, "orders",
					"-c marjoramlatch.max_age_ms=60000");
			Result r = caller.exec(
				"SELECT clock_timestamp() /* cost_us=" +
				std::to_string(STATEMENT_MS * 1000) + " */");
			if (r.ok) {
				times.push_back(std::stoll(r.value()));
				last_answer_ = now_ms();
			} else {
				usleep(20000);
			}
		}
	}
	std::atomic<bool> stop_{false};
	std::atomic<int64_t> last_answer_{0};
	std::vector<int64_t> end_times_[CONNECTION_LIMIT];
	std::vector<std::thread> threads_;
};

/* Returns the highest number of statements that ran at the same time, of those
 * that started at from_ms or later. */
int max_concurrent(std::vector<int64_t> ends, int64_t from_ms)
{
	int64_t cost = STATEMENT_MS * 1000;
	int best = 0;
	size_t first = 0;

	std::sort(ends.begin(), ends.end());
	for (size_t i = 0; i < ends.size(); i++) {
		if (ends[i] - cost < from_ms * 1000) {
			first = i + 1;
			continue;
		}
		while (ends[first] <= ends[i] - cost)
			first++;
		best = std::max(best, (int)(i - first + 1));
	}
	return best;
}

struct SysZone : testing::Test {
	static Spec spec()
	{
		Spec s;

		s.relay = true;
		s.lists = lists(CONNECTION_LIMIT);
		s.groups[0].slots = 20;
		s.groups[0].connections = 60;
		return s;
	}
	Cluster c{spec()};
	std::vector<std::unique_ptr<Load>> load;

	void SetUp() override
	{
		ASSERT_TRUE(c.start());
		ASSERT_TRUE(c.customer("p1", "orders")
				    .exec("CREATE TABLE t (n int)")
				    .ok);
	}
	void start_load()
	{
		for (auto *p : {"p1", "p2", "p3"})
			load.push_back(std::make_unique<Load>(c, p));
		wait_for_answer(0);
		wait_for_answer(1);
		wait_for_answer(2);
	}
	/* Waits for an answer that arrives after now. */
	void wait_for_answer(int proxy)
	{
		int64_t since = now_ms();

		ASSERT_TRUE(wait_until(
			RECOVERY_LIMIT_MS,
			[&] {
				return load[(size_t)proxy]->last_answer_ms() >
				       since;
			}))
			<< "p" << proxy + 1 << " serves nothing";
	}
	std::vector<int64_t> stop_load()
	{
		std::vector<int64_t> ends;

		for (auto &l : load) {
			l->stop();
			l->append_end_times(ends);
		}
		return ends;
	}
	/* Returns the index of the zone that has the primary, or of one that
	 * has not. */
	int zone_index(bool with_primary)
	{
		std::string p = c.primary("orders");
		int n = p.empty() ? 0 : p.back() - '1';

		return with_primary ? n : (n + 1) % 3;
	}
	int64_t version(const std::string &proxy)
	{
		return c.admin(proxy)
			.exec("SHOW CONFIG", 2000)
			.number("version");
	}
};

/* Guards against a zone that, while it is cut off, stops serving stale reads,
 * acknowledges writes that will be lost, or uses more than its part of the
 * limit, and against one that restores old state when it is connected again. */
TEST_F(SysZone, CutOffWithAReplica)
{
	int z = zone_index(false);
	std::string cut = "p" + std::to_string(z + 1);
	std::string other = "p" + std::to_string((z + 1) % 3 + 1);

	ASSERT_NO_FATAL_FAILURE(start_load());
	c.cut_zone(c.zone_of(cut));
	int64_t began = now_ms();

	/* The grants of the cut-off proxy expire, then it uses its floor. */
	ASSERT_TRUE(wait_until(RECOVERY_LIMIT_MS, [&] {
		return c.admin(cut)
			       .exec("SHOW VERSION")
			       .number("leader_age_ms") > 2 * GRANT_MS;
	}));
	ASSERT_NO_FATAL_FAILURE(wait_for_answer(z));
	printf("floor in use %lld ms after the cut\n",
	       (long long)(now_ms() - began));
	EXPECT_LT(now_ms() - began, RECOVERY_LIMIT_MS);
	Result r = c.customer(cut, "orders")
			   .exec("/* marjoramlatch.max_age_ms=60000 */ "
				 "SELECT count(*) FROM t");
	EXPECT_TRUE(r.ok) << r.message;
	for (auto *sql : {"INSERT INTO t VALUES (-1)",
			  "/* marjoramlatch.max_age_ms=0 */ SELECT 1",
			  "/* marjoramlatch.max_age_ms=1000 */ SELECT 1"}) {
		r = c.customer(cut, "orders").exec(sql);
		EXPECT_FALSE(r.ok) << sql;
		EXPECT_NE(std::string::npos,
			  r.message.find("The request was not run."))
			<< sql << ": " << r.sqlstate << " " << r.message;
	}
	/* Meanwhile the other zones serve and change the lists. */
	ASSERT_TRUE(c.customer(other, "orders")
			    .exec("INSERT INTO t VALUES (1)")
			    .ok);
	ASSERT_TRUE(c.apply(other, lists(CONNECTION_LIMIT), 1).ok);
	ASSERT_TRUE(c.apply(other, lists(CONNECTION_LIMIT), 2).ok);
	EXPECT_EQ(1, version(cut));
	c.relay_command("heal *");
	began = now_ms();
	EXPECT_TRUE(wait_until(RECOVERY_LIMIT_MS,
			       [&] { return version(cut) == 3; }));
	EXPECT_TRUE(wait_until(RECOVERY_LIMIT_MS, [&] {
		return c.customer(cut, "orders")
			.exec("INSERT INTO t VALUES (2)")
			.ok;
	}));
	printf("rejoined after %lld ms\n", (long long)(now_ms() - began));
	EXPECT_EQ(3, version(other));
	for (int i = 0; i < 3; i++)
		ASSERT_NO_FATAL_FAILURE(wait_for_answer(i));
	auto ends = stop_load();
	printf("most at once %d of %zu\n", max_concurrent(ends, 0),
	       ends.size());
	EXPECT_LE(max_concurrent(ends, 0), CONNECTION_LIMIT);
	EXPECT_GE(max_concurrent(ends, 0), CONNECTION_LIMIT - 1) << "no load";
	EXPECT_EQ("0", c.customer(other, "orders")
			       .exec("/* marjoramlatch.max_age_ms=0 */ SELECT "
				     "count(*) FROM t WHERE n = -1")
			       .value());
}

/* Guards against writes that the primary in the cut-off zone acknowledges
 * although it is being replaced. */
TEST_F(SysZone, CutOffWithThePrimary)
{
	int z = zone_index(true);
	std::string cut = "p" + std::to_string(z + 1);
	std::string other = "p" + std::to_string((z + 1) % 3 + 1);
	std::atomic<bool> stop{false};
	std::vector<int> acked[2];
	std::vector<std::thread> writers;

	for (int i = 0; i < 2; i++)
		writers.emplace_back([&, i] {
			Caller w;

			for (int n = i; !stop; n += 2) {
				if (!w.connected())
					w = c.customer(i ? cut : other,
						       "orders");
				if (w.exec("INSERT INTO t VALUES (" +
					   std::to_string(n) + ")")
					    .ok)
					acked[i].push_back(n);
				usleep(5000);
			}
		});
	EXPECT_TRUE(wait_until(RECOVERY_LIMIT_MS, [&] {
		return acked[0].size() > 10 && acked[1].size() > 10;
	}));
	c.cut_zone(c.zone_of(cut));
	int64_t began = now_ms();
	EXPECT_TRUE(wait_until(RECOVERY_LIMIT_MS, [&] {
		Caller w = c.customer(other, "orders");
		return w.exec("INSERT INTO t VALUES (-2)", 1000).ok &&
		       now_ms() - began > 1000;
	}));
	printf("writes elsewhere %lld ms after the cut\n",
	       (long long)(now_ms() - began));
	size_t had = acked[1].size();
	EXPECT_FALSE(
		c.customer(cut, "orders").exec("INSERT INTO t VALUES (-1)").ok);
	/* When the proxy has units again, its floor, it serves stale reads, but
	 * a current read must fail: the data of the old primary is no longer
	 * current. */
	EXPECT_TRUE(wait_until(RECOVERY_LIMIT_MS, [&] {
		return c.customer(cut, "orders")
			.exec("/* marjoramlatch.max_age_ms=60000 */ SELECT 1")
			.ok;
	}));
	EXPECT_EQ("57P03", c.customer(cut, "orders")
				   .exec("/* marjoramlatch.max_age_ms=0 */ "
					 "SELECT count(*) FROM t")
				   .sqlstate);
	EXPECT_EQ(had, acked[1].size()) << "acknowledged in the cut zone";
	c.relay_command("heal *");
	EXPECT_TRUE(wait_until(RECOVERY_LIMIT_MS,
			       [&] { return acked[1].size() > had; }));
	stop = true;
	for (auto &w : writers)
		w.join();
	Result r;
	EXPECT_TRUE(wait_until(RECOVERY_LIMIT_MS, [&] {
		r = c.customer(other, "orders")
			    .exec("/* marjoramlatch.max_age_ms=0 */ SELECT n "
				  "FROM t");
		return r.ok;
	}));
	std::vector<int> held;
	for (auto &row : r.rows)
		held.push_back(std::stoi(row[0]));
	for (auto &list : acked)
		for (int n : list)
			EXPECT_EQ(1, std::count(held.begin(), held.end(), n))
				<< n;
}

/* Guards against units that are used twice when proxies restart, and against a
 * lowered limit that is not in force after the grants have expired. */
TEST_F(SysZone, LimitsHoldOverRestartsAndListChanges)
{
	ASSERT_NO_FATAL_FAILURE(start_load());
	for (auto *p : {"p2", "p3", "p2"}) {
		c.process(p).kill();
		ASSERT_NO_FATAL_FAILURE(wait_for_answer(0));
		c.start(p);
		ASSERT_NO_FATAL_FAILURE(wait_for_answer(p[1] - '1'));
	}
	c.process(c.admin("p1").exec("SHOW VERSION").value("leader")).kill();
	for (int i = 0; i < 3; i++)
		ASSERT_NO_FATAL_FAILURE(wait_for_answer(i));
	Result r;
	ASSERT_TRUE(wait_until(RECOVERY_LIMIT_MS, [&] {
		r = c.apply("p1", lists(CONNECTION_LIMIT / 2), 1, "lower");
		return r.ok;
	})) << r.message;
	int64_t lowered = now_ms(), from = clk_now() + GRANT_MS;
	ASSERT_TRUE(wait_until(2 * RECOVERY_LIMIT_MS, [&] {
		return load[0]->last_answer_ms() > lowered + 2 * GRANT_MS;
	}));
	auto ends = stop_load();
	printf("most at once %d, after lowering %d, of %zu\n",
	       max_concurrent(ends, 0), max_concurrent(ends, from),
	       ends.size());
	EXPECT_LE(max_concurrent(ends, 0), CONNECTION_LIMIT);
	EXPECT_GE(max_concurrent(ends, 0), CONNECTION_LIMIT - 1) << "no load";
	EXPECT_LE(max_concurrent(ends, from), CONNECTION_LIMIT / 2);
}

} // namespace
