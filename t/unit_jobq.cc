#include <gtest/gtest.h>

#include <deque>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "jobq.h"
#include "rng.h"
}

namespace
{

struct Jobq : testing::Test {
	struct rng *rng = rng_new(1);
	struct jobq *q = jobq_new(rng);
	std::deque<struct jobq_job> jobs;
	clk_ms now = 1000000;
	clk_ms retry = 0;

	~Jobq() override
	{
		jobq_free(q);
		rng_free(rng);
	}
	struct jobq_job *add(int64_t priority, const char *tenant = "",
			     clk_ms objective = 0, clk_ms limit = 0)
	{
		jobs.push_back(
			{priority, tenant, objective, limit ? now + limit : 0});
		return jobq_add(q, &jobs.back(), now, &retry) == RES_OK
			       ? &jobs.back()
			       : nullptr;
	}
	struct jobq_job *take()
	{
		struct jobq_job *j;

		jobq_start_round(q);
		j = jobq_next(q, now);
		if (j)
			jobq_take(q, j, now);
		return j;
	}
	void learn(int64_t priority, clk_ms ms, int n = 50)
	{
		while (n--)
			jobq_learn(q, priority, ms, now);
	}
};

/* Guards against a job that has no connection blocking jobs of other tenants
 * behind it, and against a tenant being offered twice in a round. */
TEST_F(Jobq, SkipsTenantsWithoutConnection)
{
	std::vector<std::string> names;
	std::map<std::string, int> offered;

	for (int i = 0; i < 300; i++)
		names.push_back("t" + std::to_string(i));
	for (int i = 0; i < 600; i++)
		add(i % 2, names[(size_t)i / 2].c_str());
	jobq_start_round(q);
	for (struct jobq_job *j; (j = jobq_next(q, now));) {
		EXPECT_EQ(0, j->priority);
		offered[j->tenant]++;
		jobq_skip_tenant(q, j);
	}
	EXPECT_EQ(300u, offered.size());
	for (auto &o : offered)
		EXPECT_EQ(1, o.second) << o.first;
	EXPECT_TRUE(take()) << "a new round offers all of them again";
}

/* Guards against a tenant with many waiting jobs, or with long ones, taking the
 * member's time from tenants of the same priority. */
TEST_F(Jobq, TenantsTakeTurnsByTheTimeTheyUsed)
{
	std::map<std::string, double> used;

	for (int i = 0; i < 300; i++) {
		add(1, "many");
		add(1, "long");
		add(1, "few");
	}
	for (int i = 0; i < 300; i++) {
		struct jobq_job *j = take();
		clk_ms ms = !strcmp(j->tenant, "long") ? 40 : 10;

		now += ms;
		used[j->tenant] += (double)ms;
		jobq_answered(q, j, ms, now);
	}
	for (auto &u : used)
		EXPECT_NEAR(u.second, used["few"], 100) << u.first;
	now += 40 * JOBQ_USAGE_HALF_MS;
	used.clear();
	for (int i = 0; i < 20; i++)
		add(1, "new");
	for (int i = 0; i < 20; i++)
		used[take()->tenant]++;
	EXPECT_NEAR(5, used["new"], 1) << "usage long ago does not count";
}

/* Guards against refusals on a guess after a start, against a crowd that is
 * taken for a lasting rate in the time to come back, and against a member that
 * is refused for good because its last answers were slow. */
TEST_F(Jobq, RefusesNothingBeforeAnswersOrAfterOldOnes)
{
	jobq_set_load(q, 4, 4);
	for (int i = 0; i < 300; i++)
		ASSERT_TRUE(add(1, "", 100, 50));
	learn(1, 20);
	EXPECT_FALSE(add(1, "", 100, 50));
	EXPECT_GE(retry, 300 * 20 / 4);
	EXPECT_LE(retry, 2 * (304 * 20 / 4));
	jobq_expire(q, now);
	EXPECT_LE(jobq_waiting(q), 12u) << "50 ms for 4 slots at 20 ms";
	while (jobq_pop_refused(q, now, &retry))
		EXPECT_LE(retry, 2 * 100);
	while (jobq_waiting(q))
		take();
	jobq_set_load(q, 4, 0);
	EXPECT_TRUE(add(1, "", 100, 5)) << "an idle member is tried";
	EXPECT_TRUE(take());
	jobq_set_load(q, 4, 4);
	EXPECT_FALSE(add(1, "", 100, 5));
	now += JOBQ_ESTIMATE_AGE_MS;
	EXPECT_TRUE(add(1, "", 100, 5));
}

/* Guards against many wrong refusals at once while the mean service time is
 * known from few answers only, and against none when it is known well. */
TEST_F(Jobq, AllowsForTheErrorOfTheEstimate)
{
	jobq_set_load(q, 1, 1);
	for (int i = 0; i < JOBQ_MIN_ANSWERS; i++)
		learn(1, i % 2 ? 10 : 30, 1);
	for (int i = 0; i < 20; i++)
		add(1);
	EXPECT_TRUE(add(1, "", 0, 350)) << "440 ms expected, give or take 150";
	EXPECT_FALSE(add(1, "", 0, 200));
	learn(1, 20, 200);
	EXPECT_FALSE(add(1, "", 0, 350));
}

/* Guards against a class that never runs while a more urgent one uses the whole
 * member, and against running a job there that can't end in time. */
TEST_F(Jobq, StarvedClassIsServedIfItEndsInTime)
{
	struct jobq_job *low;

	jobq_set_load(q, 1, 1);
	learn(0, 10);
	learn(2, 10);
	low = add(2, "", 50, 400);
	add(2, "", 50, 205);
	for (int ms = 0; ms < 200; ms += 10) {
		add(0, "", 1000, 5000);
		EXPECT_EQ(0, take()->priority) << ms;
		now += 10;
		learn(0, 10, 1);
		learn(2, 10, 1);
	}
	add(0, "", 1000, 5000);
	EXPECT_EQ(low, take());
	EXPECT_EQ(0, take()->priority);
	EXPECT_TRUE(jobq_pop_refused(q, now, &retry)) << "205 ms were over";
}

} // namespace
