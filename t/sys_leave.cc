/* Planned stops of members, proxies and control instances under load, and
 * members whose announcements no longer arrive. */

#include <gtest/gtest.h>

#include <algorithm>
#include <atomic>
#include <mutex>
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
constexpr int MAX_WORK_AFTER_LEAVE_MS = 3000;

enum Kind { STALE, CURRENT, WRITE };

struct Sample {
	Kind kind;
	std::string proxy;
	Result result;
	int64_t ended;
	int64_t ran_us; /* reads: when the member ran it, by its clock */
	std::string addr; /* reads: address of the member */
	int n; /* writes: the number that was inserted */
};

/* Runs three callers at each proxy: one whose reads may be stale, one whose
 * reads must be current, and a writer. Records each result. */
class Load
{
      public:
	explicit Load(Cluster &c)
	{
		for (auto *p : {"p1", "p2", "p3"})
			for (Kind kind : {STALE, CURRENT, WRITE})
				threads_.emplace_back([this, &c, p, kind] {
					run(c, p, kind);
				});
	}
	~Load()
	{
		stop();
	}
	std::vector<Sample> stop()
	{
		stop_ = true;
		for (auto &t : threads_)
			t.join();
		threads_.clear();
		return samples();
	}
	std::vector<Sample> samples()
	{
		std::lock_guard<std::mutex> guard(lock_);
		return samples_;
	}
	/* Counts the statements of a kind that succeeded after a time, at one
	 * member or at any. */
	size_t count_successes(Kind kind, int64_t since,
			       const std::string &addr = "")
	{
		size_t n = 0;

		for (auto &s : samples())
			n += s.kind == kind && s.result.ok && s.ended > since &&
			     (addr.empty() || s.addr == addr);
		return n;
	}

      private:
	static void append_notice(void *arg, const char *text)
	{
		*(std::string *)arg += text;
	}
	void run(Cluster &c, const std::string &proxy, Kind kind)
	{
		const char *read = "SELECT clock_timestamp(), "
				   "inet_server_addr()";
		Caller caller;
		std::string notice;

		while (!stop_) {
			if (!caller.connected()) {
				caller = c.customer(proxy, "orders");
				usleep(5000);
				if (!caller.connected())
					continue;
				notice.clear();
				PQsetNoticeProcessor(caller.raw(),
						     append_notice, &notice);
			}
			int n = kind == WRITE ? ++count_ : 0;
			Result r = caller.exec(
				kind == WRITE ? "INSERT INTO t VALUES (" +
							std::to_string(n) + ")"
				: kind == CURRENT
					? std::string(
						  "/* marjoramlatch.max_age_"
						  "ms=0 */ ") +
						  read
					: read);
			/* libpq passes an error that arrived before the
			 * request was sent to the notice processor. */
			if (r.connection_failed &&
			    notice.find("stopping") != std::string::npos)
				r.sqlstate = "57P01";
			Sample s{kind, proxy, r, now_ms(), 0, "", n};

			if (r.ok && kind != WRITE) {
				s.ran_us = std::stoll(r.value());
				s.addr = r.value(1);
			}
			std::lock_guard<std::mutex> guard(lock_);
			samples_.push_back(s);
			usleep(3000);
		}
	}
	std::atomic<bool> stop_{false};
	std::atomic<int> count_{0};
	std::mutex lock_;
	std::vector<Sample> samples_;
	std::vector<std::thread> threads_;
};

struct SysLeave : testing::Test {
	static Spec spec()
	{
		Spec s;

		s.relay = true;
		return s;
	}
	Cluster c{spec()};
	std::unique_ptr<Load> load;

	void SetUp() override
	{
		ASSERT_TRUE(c.start());
		ASSERT_TRUE(c.customer("p1", "orders")
				    .exec("CREATE TABLE t (n int)")
				    .ok);
		load = std::make_unique<Load>(c);
		wait_for_success(WRITE);
		wait_for_success(CURRENT);
		wait_for_success(STALE);
	}
	void wait_for_success(Kind kind, const std::string &addr = "")
	{
		int64_t since = now_ms();

		ASSERT_TRUE(wait_until(RECOVERY_LIMIT_MS,
				       [&] {
					       return load->count_successes(
							      kind, since,
							      addr) > 5;
				       }))
			<< kind << " " << addr;
	}
	std::string replica()
	{
		std::string p = c.primary("orders");

		return p == "orders-1" ? "orders-2" : "orders-1";
	}
	/* Waits until statements of each kind have succeeded after end. */
	void wait_for_success_after(int64_t end)
	{
		ASSERT_TRUE(wait_until(2 * RECOVERY_LIMIT_MS, [&] {
			return load->count_successes(STALE, end) > 5 &&
			       load->count_successes(CURRENT, end) > 5 &&
			       load->count_successes(WRITE, end) > 5;
		}));
	}
	/* Returns the ms from a time until the last read that a member ran. */
	int64_t ms_until_last_read(const std::vector<Sample> &samples,
				   const std::string &id, clk_ms from)
	{
		int64_t last = 0;

		for (auto &s : samples)
			if (s.addr == c.listen_addr_of(id))
				last = std::max(last, s.ran_us / 1000 - from);
		printf("%s served for another %lld ms\n", id.c_str(),
		       (long long)last);
		return last;
	}
	int64_t longest_pause(const std::vector<Sample> &samples, Kind kind)
	{
		int64_t last = 0, longest = 0;

		for (auto &s : samples) {
			if (s.kind != kind || !s.result.ok)
				continue;
			if (last)
				longest = std::max(longest, s.ended - last);
			last = s.ended;
		}
		return longest;
	}
	/* Checks that each acknowledged write exists exactly once. */
	void check_writes(const std::vector<Sample> &samples)
	{
		std::map<int, int> held;
		Result r = c.customer("p1", "orders")
				   .exec("/* marjoramlatch.max_age_ms=0 */ "
					 "SELECT n FROM t");

		ASSERT_TRUE(r.ok) << r.message;
		for (auto &row : r.rows)
			held[std::stoi(row[0])]++;
		for (auto &s : samples) {
			if (s.kind == WRITE && s.result.ok) {
				EXPECT_EQ(1, held[s.n]) << s.n;
			}
		}
	}
	void expect_no_errors(const std::vector<Sample> &samples,
			      const std::string &stopped = "")
	{
		for (auto &s : samples) {
			bool reported_stop = s.proxy == stopped &&
					     s.result.sqlstate == "57P01";

			EXPECT_TRUE(s.result.ok || reported_stop)
				<< s.proxy << " kind " << s.kind << ": "
				<< s.result.sqlstate << " " << s.result.message;
		}
	}
};

/* Guards against work that is sent to a replica after it announced that it
 * leaves, or after its announcements stopped. */
TEST_F(SysLeave, ReplicaThatLeavesOrFallsSilent)
{
	std::string silent = replica();

	ASSERT_NO_FATAL_FAILURE(
		wait_for_success(STALE, c.listen_addr_of(silent)));
	c.relay_command("freeze " + silent + ">p*");
	clk_ms from = clk_now();
	wait_for_success_after(now_ms() + MAX_WORK_AFTER_LEAVE_MS + 500);
	EXPECT_LT(ms_until_last_read(load->samples(), silent, from),
		  MAX_WORK_AFTER_LEAVE_MS);
	c.relay_command("heal *");
	ASSERT_NO_FATAL_FAILURE(
		wait_for_success(STALE, c.listen_addr_of(silent)));
	/* The replica continues to run and to announce itself. */
	ASSERT_TRUE(c.admin("p1").exec("LEAVE 'orders' '" + silent + "'").ok);
	from = clk_now();
	wait_for_success_after(now_ms() + MAX_WORK_AFTER_LEAVE_MS + 500);
	auto samples = load->stop();
	EXPECT_LT(ms_until_last_read(samples, silent, from),
		  MAX_WORK_AFTER_LEAVE_MS);
	expect_no_errors(samples);
	check_writes(samples);
}

/* Guards against work that is sent to a primary that leaves, and against
 * acknowledged writes that a planned change of primary loses. */
TEST_F(SysLeave, PrimaryThatLeaves)
{
	std::string old = c.primary("orders");

	c.process(old).terminate();
	clk_ms from = clk_now();
	EXPECT_EQ(0, c.process(old).wait(RECOVERY_LIMIT_MS));
	wait_for_success_after(now_ms() + MAX_WORK_AFTER_LEAVE_MS);
	c.start(old);
	auto samples = load->stop();
	EXPECT_LT(ms_until_last_read(samples, old, from),
		  MAX_WORK_AFTER_LEAVE_MS);
	printf("longest pause of writes %lld ms\n",
	       (long long)longest_pause(samples, WRITE));
	EXPECT_LT(longest_pause(samples, WRITE), RECOVERY_LIMIT_MS);
	check_writes(samples);
}

/* Guards against work that is sent to a primary whose announcements stopped. */
TEST_F(SysLeave, PrimaryThatFallsSilent)
{
	std::string old = c.primary("orders");

	c.relay_command("freeze " + old + ">p*");
	clk_ms from = clk_now();
	wait_for_success_after(now_ms() + MAX_WORK_AFTER_LEAVE_MS + 500);
	auto samples = load->stop();
	EXPECT_LT(ms_until_last_read(samples, old, from),
		  MAX_WORK_AFTER_LEAVE_MS);
	EXPECT_LT(longest_pause(samples, WRITE), RECOVERY_LIMIT_MS);
	check_writes(samples);
}

/* Guards against a planned stop of a proxy that breaks off a request in flight,
 * at that proxy or at another one that forwards to it. */
TEST_F(SysLeave, ProxiesStopOneAfterTheOther)
{
	for (auto *id : {"p1", "p2", "p3"}) {
		Caller slow = c.customer(id, "orders");
		int64_t began = now_ms();

		ASSERT_TRUE(PQsendQuery(slow.raw(),
					"SELECT 5 /* cost_us=1000000 */"));
		ASSERT_TRUE(wait_until(1000, [&] {
			for (auto *p : {"p1", "p2", "p3"})
				for (auto &row :
				     c.admin(p).exec("SHOW BACKENDS").rows)
					if (row[12] != "0")
						return true;
			return false;
		}));
		c.process(id).terminate();
		PGresult *r = PQgetResult(slow.raw());
		EXPECT_EQ(PGRES_TUPLES_OK, PQresultStatus(r))
			<< PQerrorMessage(slow.raw());
		PQclear(r);
		EXPECT_EQ(0, c.process(id).wait(6000)) << id;
		printf("%s stopped in %lld ms\n", id,
		       (long long)(now_ms() - began));
		auto samples = load->stop();
		expect_no_errors(samples, id);
		c.start(id);
		ASSERT_TRUE(wait_until(RECOVERY_LIMIT_MS, [&] {
			return c.customer(id, "orders").exec("SELECT 1").ok;
		}));
		load = std::make_unique<Load>(c);
		wait_for_success(WRITE);
	}
	load->stop();
}

/* Guards against a planned stop of the control leader that lets leases
 * expire. */
TEST_F(SysLeave, ControlLeaderHandsOver)
{
	for (int round = 0; round < 3; round++) {
		std::string old, next;

		ASSERT_TRUE(wait_until(RECOVERY_LIMIT_MS, [&] {
			old = c.admin("p1")
				      .exec("SHOW VERSION")
				      .value("leader");
			return old != "";
		}));
		c.process(old).terminate();
		EXPECT_EQ(0, c.process(old).wait(3000));
		EXPECT_TRUE(wait_until(1000, [&] {
			next = c.admin("p1")
				       .exec("SHOW VERSION")
				       .value("leader");
			return next != "" && next != old;
		}));
		ASSERT_NO_FATAL_FAILURE(wait_for_success(WRITE));
		c.start(old);
		ASSERT_TRUE(wait_until(RECOVERY_LIMIT_MS, [&] {
			return c.process(old).log().rfind("event=leader id=" +
							  next) !=
			       std::string::npos;
		}));
	}
	auto samples = load->stop();
	printf("longest pause of writes %lld ms\n",
	       (long long)longest_pause(samples, WRITE));
	EXPECT_LT(longest_pause(samples, WRITE), 1000);
	expect_no_errors(samples);
	check_writes(samples);
}

} // namespace
