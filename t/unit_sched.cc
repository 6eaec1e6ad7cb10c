#include <gtest/gtest.h>

#include <map>
#include <memory>
#include <string.h>
#include <string>
#include <vector>

extern "C" {
#include "cost.h"
#include "health.h"
#include "request_outcome.h"
#include "rng.h"
#include "sched.h"
}

namespace
{

/* Runs jobs in simulated time. A job runs for real_us, which is its estimated
 * cost unless the test sets another value. */
class Sim
{
      public:
	struct Job {
		struct sched_job job = {};
		int64_t real_us;
		clk_ms end = -1;
		clk_ms started = -1;
		bool refused = false;
		bool expired = false;
	};

	explicit Sim(int64_t slots, bool short_first = true,
		     bool admission = false)
	    : s(sched_new(slots, short_first, admission))
	{
	}
	~Sim()
	{
		sched_free(s);
	}

	Job *add(const char *customer, int64_t us, bool is_long = false,
		 int64_t priority = 0, int64_t weight = 1, clk_ms wait = 60000,
		 bool unproven = false)
	{
		jobs.push_back(std::make_unique<Job>());
		Job *j = jobs.back().get();

		snprintf(j->job.customer, sizeof(j->job.customer), "%s",
			 customer);
		j->job.priority = priority;
		j->job.weight = weight;
		j->job.cost_us = us;
		j->job.is_long = is_long;
		j->job.cost_unmeasured = unproven;
		j->job.start_deadline = now + wait;
		j->real_us = us;
		j->refused = sched_add(s, &j->job, now) == RES_OVERLOAD;
		return j;
	}

	void step()
	{
		for (auto &j : jobs)
			if (j->end >= 0 && j->end <= now && j->job.running) {
				sched_finish(s, &j->job, j->real_us);
				served[j->job.customer] += j->real_us;
			}
		while (struct sched_job *e = sched_remove_expired(s, now))
			find_job(e)->expired = true;
		while (struct sched_job *t = sched_start_next(s, now)) {
			Job *j = find_job(t);

			j->started = now;
			j->end = now + (j->real_us + 999) / 1000;
		}
		now++;
	}

	void run(clk_ms ms)
	{
		for (clk_ms end = now + ms; now < end;)
			step();
	}

	size_t running_long() const
	{
		size_t n = 0;

		for (auto &j : jobs)
			n += j->job.running && j->job.is_long;
		return n;
	}

	struct sched *s;
	clk_ms now = 1000;
	std::map<std::string, int64_t> served;
	std::vector<std::unique_ptr<Job>> jobs;

      private:
	Job *find_job(struct sched_job *t)
	{
		for (auto &j : jobs)
			if (&j->job == t)
				return j.get();
		return NULL;
	}
};

/* Guards against long statements that occupy all slots. */
TEST(Sched, LongWorkHoldsAtMostHalfOfTheSlots)
{
	for (int64_t slots : {1, 2, 5}) {
		Sim sim(slots);
		size_t bound = slots == 1 ? 1 : (size_t)slots / 2;
		size_t max_running_long = 0;

		for (int i = 0; i < 20; i++)
			sim.add("batch", 500000, true);
		for (int i = 0; i < 300; i++) {
			sim.add("shop", 2000);
			sim.run(10);
			max_running_long =
				std::max(max_running_long, sim.running_long());
		}
		EXPECT_EQ(bound, max_running_long) << slots;
		/* Short jobs may use all slots that long ones leave free. */
		Sim short_only(slots);
		for (int i = 0; i < 10; i++)
			short_only.add("shop", 1000);
		short_only.step();
		EXPECT_EQ((size_t)slots, sched_running(short_only.s));
	}
}

/* Guards against long jobs that never start while short ones keep arriving. */
TEST(Sched, LongWorkAlwaysProgresses)
{
	for (int64_t slots : {1, 2, 5}) {
		Sim sim(slots);
		Sim::Job *job = sim.add("batch", 300000, true, 9);

		for (int i = 0; i < 3000 && job->started < 0; i++) {
			for (int k = 0; k < slots + 1; k++)
				sim.add("shop", 2000);
			sim.run(2);
		}
		EXPECT_GE(job->started, 0) << slots;
		EXPECT_LE(job->started - 1000,
			  SCHED_LONG_MAX_WAIT_ONE_SLOT_MS + 50);
	}
}

/* Guards against short statements that wait behind long ones. */
TEST(Sched, ShortBeforeLong)
{
	Sim sim(2);
	Sim::Job *worst = NULL;

	for (int i = 0; i < 8; i++)
		sim.add("batch", 400000, true);
	for (int i = 0; i < 100; i++) {
		Sim::Job *j = sim.add("shop", 2000);

		sim.run(10);
		if (!worst || j->started - j->job.arrived >
				      worst->started - worst->job.arrived)
			worst = j;
	}
	EXPECT_LE(worst->started - worst->job.arrived, 4);
	/* In order of arrival, short statements wait for long ones. */
	Sim fifo(2, false);
	for (int i = 0; i < 8; i++)
		fifo.add("batch", 400000, true);
	Sim::Job *last = fifo.add("shop", 2000);
	fifo.run(2000);
	EXPECT_GE(last->started - last->job.arrived, 1000);
}

/* Guards against a customer that gets more than its share by sending more
 * statements. */
TEST(Sched, CustomersShareByWeight)
{
	Sim sim(2);

	for (int i = 0; i < 3000; i++)
		sim.add("a", 2000, false, 0, 3);
	for (int i = 0; i < 1000; i++)
		sim.add("b", 4000, false, 0, 1);
	sim.run(1000);
	double share = (double)sim.served["a"] / (double)sim.served["b"];
	EXPECT_NEAR(3.0, share, 0.2);
	/* A customer that arrives later is served without delay, but gets no
	 * credit for the time before. */
	Sim::Job *late = sim.add("c", 2000);
	sim.run(20);
	EXPECT_GE(late->started, 0);
}

/* Guards against a customer that gets a larger share because the cost of its
 * statements is underestimated. */
TEST(Sched, ShareIsChargedWithTheMeasuredCost)
{
	Sim sim(1);

	for (int i = 0; i < 600; i++) {
		sim.add("liar", 1000)->real_us = 4000;
		sim.add("honest", 4000);
	}
	sim.run(1000);
	EXPECT_NEAR(1.0,
		    (double)sim.served["liar"] / (double)sim.served["honest"],
		    0.1);
}

/* Guards against a priority class that starves the ones below it. */
TEST(Sched, PriorityWithAgeing)
{
	Sim sim(1);
	Sim::Job *low = sim.add("browse", 5000, false, 3);
	Sim::Job *high = sim.add("order", 5000, false, 0);

	sim.step();
	EXPECT_GE(high->started, 0);
	EXPECT_LT(low->started, 0);
	for (int i = 0; i < 2000 && low->started < 0; i++) {
		sim.add("order", 5000, false, 0);
		sim.run(4);
	}
	EXPECT_GE(low->started, 0);
	EXPECT_LE(low->started - low->job.arrived, 5 * SCHED_AGEING_MS);
}

/* Guards against requests that wait until they expire instead of being refused
 * at once, and against a customer with little load that is refused because of
 * the queue of a customer with much load. */
TEST(Sched, WaitIsBounded)
{
	Sim sim(2, true, true);
	int refused = 0;

	for (int i = 0; i < 200; i++)
		refused += sim.add("heavy", 10000, false, 0, 1, 500)->refused;
	EXPECT_NEAR(100, refused, 2);
	EXPECT_FALSE(sim.add("light", 10000, false, 0, 1, 100)->refused);
	EXPECT_FALSE(sim.add("order", 10000, false, -1, 1, 5)->refused);
	sim.run(600);
	int expired = 0;
	for (auto &j : sim.jobs)
		expired += j->expired;
	EXPECT_LE(expired, 3);
	EXPECT_EQ(0u, sched_waiting(sim.s));
	Sim off(1);
	for (int i = 0; i < 50; i++)
		EXPECT_FALSE(off.add("x", 10000, false, 0, 1, 100)->refused);
	off.run(200);
	EXPECT_EQ(0u, sched_waiting(off.s));
}

/* Guards against slots that are never released or are counted twice. */
TEST(Sched, ForcedAndReclassifiedJobs)
{
	Sim sim(2);
	struct sched_job forced = {};

	sim.add("a", 50000);
	Sim::Job *b = sim.add("a", 50000);
	sim.step();
	forced.weight = 1;
	sched_start_now(sim.s, &forced, sim.now);
	EXPECT_EQ(3u, sched_running(sim.s));
	sched_reclassify(sim.s, &b->job, true);
	sim.add("a", 1000, true);
	sched_finish(sim.s, &forced, 10);
	sim.run(20);
	/* The reclassified job occupies the only slot for long jobs. */
	EXPECT_EQ(2u, sched_running(sim.s));
	EXPECT_EQ(1u, sched_waiting(sim.s));
	sim.run(100);
	EXPECT_EQ(0u, sched_running(sim.s));
	EXPECT_EQ(0u, sched_waiting(sim.s));
}

/* Guards against statements of unknown cost that occupy all slots before they
 * turn out to be long, and against statements that keep waiting as unproven
 * after their cost became known. */
TEST(Sched, UnprovenJobsHoldAtMostHalfOfTheSlots)
{
	Sim sim(5);
	Sim::Job *unproven[4];

	for (Sim::Job *&u : unproven) {
		u = sim.add("a", 1000, false, 0, 1, 60000, true);
		u->real_us = 200000;
	}
	sim.step();
	EXPECT_EQ(2u, sched_running(sim.s));
	Sim::Job *known = sim.add("b", 1000);
	sim.step();
	EXPECT_TRUE(known->job.running);
	sched_reclassify(sim.s, &unproven[0]->job, true);
	sched_reclassify(sim.s, &unproven[1]->job, false);
	sim.step();
	/* One long and one unproven job run now; the job that was reclassified
	 * as short no longer counts towards the limit. */
	EXPECT_TRUE(unproven[2]->job.running);
	EXPECT_FALSE(unproven[3]->job.running);
	sched_reclassify(sim.s, &unproven[3]->job, false);
	sim.step();
	EXPECT_TRUE(unproven[3]->job.running);
	sim.run(500);
	EXPECT_EQ(0u, sched_running(sim.s));
	EXPECT_EQ(0u, sched_waiting(sim.s));
}

/* Guards against unknown statements that wait because they are treated as long,
 * and against estimates that never change. */
TEST(Cost, LearnsAndForgets)
{
	struct cost *c = cost_new(4);

	EXPECT_EQ(COST_INITIAL_MEDIAN_US, cost_estimate(c, 1));
	for (int i = 0; i < 40; i++)
		cost_record(c, 1, 2000);
	EXPECT_EQ(2000, cost_median(c));
	EXPECT_EQ(2000, cost_estimate(c, 99));
	EXPECT_FALSE(cost_is_long(c, cost_estimate(c, 99)));
	cost_record(c, 2, 500000);
	EXPECT_TRUE(cost_is_long(c, cost_estimate(c, 2)));
	for (int i = 0; i < 40; i++)
		cost_record(c, 2, 3000);
	EXPECT_FALSE(cost_is_long(c, cost_estimate(c, 2)));
	EXPECT_TRUE(cost_exceeds_estimate(c, 2000, 400000));
	EXPECT_FALSE(cost_exceeds_estimate(c, 200000, 400000));
	EXPECT_FALSE(cost_exceeds_estimate(c, 2000, 9000));
	/* A statement that became long is treated as long immediately. */
	cost_record(c, 2, 600000);
	EXPECT_TRUE(cost_is_long(c, cost_estimate(c, 2)));
	cost_raise_estimate(c, 2, 700000);
	EXPECT_EQ(700000, cost_estimate(c, 2));
	EXPECT_TRUE(cost_is_known(c, 2));
	EXPECT_FALSE(cost_is_known(c, 77));
	/* Fingerprint 1 was used least recently and is evicted. */
	cost_estimate(c, 2);
	for (int64_t f = 3; f <= 5; f++)
		cost_record(c, f, 7000);
	EXPECT_EQ(cost_median(c), cost_estimate(c, 1));
	EXPECT_NE(cost_median(c), cost_estimate(c, 2));
	for (int64_t f = 0; f < 1000; f++)
		cost_record(c, f, 100 + f);
	EXPECT_EQ(1099, cost_estimate(c, 999));
	cost_free(c);
}

/* Guards against requests that are still sent to a failed server, and against a
 * server that is never tried again. */
TEST(Health, PutsAsideAndTriesAgain)
{
	struct rng *rng = rng_new(7);
	struct health h = {};
	clk_ms now = 1000;
	clk_ms last = 0;

	health_failure(&h, rng, now);
	health_failure(&h, rng, now);
	EXPECT_TRUE(health_allows_request(&h, now));
	health_failure(&h, rng, now);
	EXPECT_FALSE(health_allows_request(&h, now));
	for (int i = 0; i < 8; i++) {
		clk_ms from = now;

		while (!health_allows_request(&h, now))
			now++;
		EXPECT_FALSE(health_allows_request(&h, now)) << "one at a time";
		EXPECT_LE(now - from, HEALTH_MAX_RETRY_MS);
		EXPECT_GT(now - from, i < 3 ? last / 2 : 0);
		last = now - from;
		health_failure(&h, rng, now);
	}
	EXPECT_GE(last, HEALTH_MAX_RETRY_MS / 2);
	health_success(&h);
	EXPECT_TRUE(health_allows_request(&h, now));
	for (int i = 0; i < 20; i++)
		health_on_round_trip(&h, 20000, 500, rng, now);
	EXPECT_TRUE(health_allows_request(&h, now));
	for (int i = 0; i < 20; i++)
		health_on_round_trip(&h, 300000, 500, rng, now);
	EXPECT_FALSE(health_allows_request(&h, now));
	rng_free(rng);
}

/* Guards against repeating only a part of the first answer when a request is
 * sent again. */
TEST(Once, OutcomeRoundTrip)
{
	std::string answer("T\0\0\0\4\xff\n-", 8);
	struct buf text = BUF_INIT;
	struct buf out = BUF_INIT;
	char tag[OUTCOME_TAG_LEN];

	outcome_encode(&text, "INSERT 0 1", answer.data(), answer.size());
	ASSERT_TRUE(outcome_decode(buf_str(&text), tag, &out));
	EXPECT_STREQ("INSERT 0 1", tag);
	EXPECT_EQ(answer, std::string(buf_data(&out), buf_len(&out)));
	buf_free(&out);
	buf_free(&text);
	answer.assign(OUTCOME_MAX_ANSWER + 1, 'x');
	outcome_encode(&text, "SELECT 5", answer.data(), answer.size());
	EXPECT_FALSE(outcome_decode(buf_str(&text), tag, &out));
	EXPECT_STREQ("SELECT 5", tag);
	EXPECT_FALSE(outcome_decode("", tag, &out));
	EXPECT_STREQ("", tag);
	EXPECT_FALSE(outcome_decode("INSERT 0 1\n*", tag, &out));
	buf_free(&out);
	buf_free(&text);
}

} // namespace
