#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <string>
#include <vector>

extern "C" {
#include "jobq.h"
#include "read_fallback.h"
#include "rng.h"
}

/* Compares jobq with the order that db.c had before it. */
namespace
{

/* db_enqueue() and db_next_job() of that order. */
struct OldQueue {
	std::vector<struct jobq_job *> jobs;

	void add(struct jobq_job *j, clk_ms now)
	{
		auto p = jobs.begin();

		while (p != jobs.end() && (*p)->priority <= j->priority)
			p++;
		jobs.insert(p, j);
		j->arrived = now;
	}
	struct jobq_job *next(clk_ms now) const
	{
		auto p = jobs.begin();

		if (jobs.empty())
			return nullptr;
		if (!(*p)->objective_ms ||
		    now - (*p)->arrived < (*p)->objective_ms / 2)
			return *p;
		while (p + 1 != jobs.end() &&
		       p[1]->priority == jobs[0]->priority)
			p++;
		return *p;
	}
	void remove(struct jobq_job *j)
	{
		jobs.erase(std::find(jobs.begin(), jobs.end(), j));
	}
};

/* Guards against a change of behaviour in deployments without tenants while
 * service times are unknown: the order is the old one, with cancellations. */
TEST(JobqOrder, WithoutTenantsAndEstimatesIsTheOldOne)
{
	struct rng *rng = rng_new(1);
	struct jobq *q = jobq_new(rng);
	std::deque<struct jobq_job> jobs;
	OldQueue old;
	clk_ms now = 1000000;
	clk_ms retry;

	for (int i = 0; i < 20000; i++) {
		uint64_t what = rng_uniform_int(rng, 20);
		struct jobq_job *j = old.next(now += (clk_ms)what / 2);

		if (what < 10) {
			jobs.push_back({(int64_t)rng_uniform_int(rng, 4), "",
					50 * (clk_ms)rng_uniform_int(rng, 5),
					now + 10000000});
			j = &jobs.back();
			ASSERT_EQ(RES_OK, jobq_add(q, j, now, &retry));
			old.add(j, now);
		} else if (what < 19) {
			jobq_start_round(q);
			ASSERT_EQ(j, jobq_next(q, now)) << "step " << i;
			if (!j)
				continue;
			jobq_take(q, j, now);
			old.remove(j);
		} else if (j) {
			j = old.jobs[rng_uniform_int(rng, old.jobs.size())];
			jobq_remove(q, j, now);
			old.remove(j);
		}
		ASSERT_EQ(old.jobs.size(), jobq_waiting(q));
	}
	jobq_free(q);
	rng_free(rng);
}

/* Service time in ms: log-normal of spread 0.7, 1% five times as long. */
const double MEAN_TO_MEDIAN = std::exp(0.7 * 0.7 / 2) * 1.04;

clk_ms draw_service(struct rng *r, double median)
{
	double u = rng_uniform_unit(r);
	double v = rng_uniform_unit(r);
	double x = std::exp(0.7 * std::sqrt(-2 * std::log(1 - u)) *
			    std::cos(2 * M_PI * v));

	if (rng_uniform_unit(r) < 0.01)
		x *= 5;
	return std::max<clk_ms>(1, std::lround(median * x));
}

/* Guards against a few very slow answers raising the estimate, and against one
 * that does not follow a member that became slow. */
TEST(JobqEstimate, WithHeavyTailsIsNearTheMeanAndFollows)
{
	struct rng *rng = rng_new(1);
	struct jobq *q = jobq_new(rng);
	double sum = 0;
	double worst = 0;

	for (int i = 0; i < 5000; i++) {
		jobq_learn(q, 1, draw_service(rng, 20), 1000);
		if (i < 100)
			continue;
		sum += jobq_service_ms(q, 1, 1000);
		worst = std::max(worst, jobq_service_ms(q, 1, 1000));
	}
	EXPECT_NEAR(1, sum / 4900 / (20 * MEAN_TO_MEDIAN), 0.1);
	EXPECT_LT(worst, 2 * 20 * MEAN_TO_MEDIAN);
	for (int i = 0; i <= 100; i++)
		jobq_learn(q, 2, i == 100 ? 5000 : 20, 1000);
	EXPECT_LT(jobq_service_ms(q, 2, 1000), 25);
	for (int i = 0; i < 100; i++)
		jobq_learn(q, 1, 200, 1000);
	EXPECT_GT(jobq_service_ms(q, 1, 1000), 150);
	jobq_free(q);
	rng_free(rng);
}

enum Order { OLD, NEW };

/* Calls of one kind. Their rate is multiplied from second 2 to 6. */
struct Stream {
	int64_t priority;
	const char *tenant;
	double per_s;
	double factor;
	size_t at_once; /* calls that arrive in the first ms */
	bool fallback; /* reads that no replica can serve */

	clk_ms objective() const
	{
		return 100 << priority;
	}
	clk_ms limit() const
	{
		return priority < 2 ? 1000 : 2000;
	}
};

struct Call {
	struct jobq_job job; /* first member */
	const Stream *s;
	size_t id;
	clk_ms arrived;
	clk_ms service;
	clk_ms ends = 0;
	clk_ms answered = CLK_NEVER;
	int tries = 0;
	bool refused = false;

	clk_ms limit() const
	{
		return arrived + s->limit();
	}
	bool in_time() const
	{
		return answered <= limit();
	}
	bool in_objective() const
	{
		return answered <= arrived + s->objective();
	}
};

/*
 * One proxy before one member, in steps of 1 ms: callers, the queue, and slots.
 * Refused callers come back up to twice within their time limit, after the time
 * they were told.
 */
struct Model {
	static constexpr clk_ms START = 1000000;
	double slots;
	double capacity; /* calls per second */
	std::vector<Stream> streams;
	uint64_t seed = 1;
	bool refuses = true; /* else callers just leave at their limit */
	bool bounded = true; /* apply read_fallback */

	/* results */
	std::deque<Call> calls;
	std::vector<size_t> refused; /* ids, of first attempts */
	double waited = 0; /* sum of the parts of the limit until refusal */
	int most_fallback = 0;
	int answers = 0;
	int answers_before_refusal = 0;

	explicit Model(int n)
	    : slots(n), capacity(n * 1000 / (20 * MEAN_TO_MEDIAN))
	{
	}
	/* Adds calls of a class, at a part of the capacity. */
	Stream &add(int64_t priority, double part, const char *tenant = "",
		    double factor = 1)
	{
		streams.push_back(
			{priority, tenant, part * capacity, factor, 0, false});
		return streams.back();
	}
	/* Number of calls that arrived in [from, to) for which f is true. */
	template <typename F>
	double count(F f, clk_ms from = 0, clk_ms to = 8000) const
	{
		double n = 0;

		for (const Call &c : calls)
			n += c.arrived >= START + from &&
			     c.arrived < START + to && f(c);
		return n;
	}
	/* Share of calls of streams [first, last] answered within objective. */
	double share(size_t first, size_t last, clk_ms from = 0,
		     clk_ms to = 8000) const
	{
		auto is_one = [&](const Call &c) {
			return c.s >= &streams[first] && c.s <= &streams[last];
		};

		return count(
			       [&](const Call &c) {
				       return is_one(c) && c.in_objective();
			       },
			       from, to) /
		       count(is_one, from, to);
	}
	/* Answers within the objective, weighted by priority. */
	double goodput() const
	{
		double n = 0;

		for (const Call &c : calls)
			n += c.in_objective() ? 4 >> c.s->priority : 0;
		return n;
	}
	void run(Order o)
	{
		struct rng *arrivals = rng_new(seed);

		own = rng_new(seed + 1000);
		q = jobq_new(own);
		order = o;
		calls.clear();
		refused.clear();
		old.jobs.clear();
		running.clear();
		later.clear();
		waited = 0;
		most_fallback = answers = answers_before_refusal = fallback = 0;
		for (now = START; now < START + 11000; now++) {
			for (const Stream &s : streams)
				arrive(s, arrivals);
			finish();
			retry();
			dispatch();
		}
		jobq_free(q);
		rng_free(arrivals);
		rng_free(own);
	}

      private:
	Order order = OLD;
	clk_ms now = 0;
	struct jobq *q = nullptr;
	struct rng *own = nullptr;
	OldQueue old;
	std::vector<Call *> running;
	std::vector<std::pair<clk_ms, Call *>> later;
	int fallback = 0; /* such reads at the member */

	void arrive(const Stream &s, struct rng *r)
	{
		bool burst = now >= START + 2000 && now < START + 6000;
		double none =
			std::exp(-s.per_s / 1000 * (burst ? s.factor : 1));
		size_t n = now == START ? s.at_once : 0;

		for (double u = rng_uniform_unit(r); u > none;
		     u *= rng_uniform_unit(r))
			n++;
		while (n--) {
			calls.push_back({{s.priority, s.tenant, s.objective(),
					  refuses ? now + s.limit() : 0},
					 &s,
					 calls.size(),
					 now,
					 draw_service(r, 20)});
			submit(&calls.back());
		}
	}
	/* False if the call may not run on the primary. */
	bool admit_read(Call *c)
	{
		struct rdf_read r = {};
		struct rdf_decision d;

		if (!c->s->fallback || !bounded)
			return true;
		r.arrived = now;
		r.primary_limit = (int)slots;
		r.primary_reads = fallback;
		d = rdf_decide(&r, own, now);
		if (d.action != RDF_PRIMARY)
			refuse(c, d.ms);
		return d.action == RDF_PRIMARY;
	}
	void submit(Call *c)
	{
		clk_ms ms = 0;

		if (order == OLD) {
			old.add(&c->job, now);
			return;
		}
		if (!admit_read(c))
			return;
		jobq_set_load(q, (int)slots, (int)running.size());
		if (jobq_add(q, &c->job, now, &ms) != RES_OK) {
			refuse(c, ms);
			return;
		}
		fallback += c->s->fallback;
		most_fallback = std::max(most_fallback, fallback);
	}
	void refuse(Call *c, clk_ms ms)
	{
		if (refused.empty())
			answers_before_refusal = answers;
		if (!c->tries) {
			refused.push_back(c->id);
			waited += (double)(now - c->arrived) /
				  (double)c->s->limit();
		}
		c->refused = true;
		if (c->tries++ < 2 && now + ms < c->limit())
			later.push_back({now + ms, c});
	}
	void retry()
	{
		for (size_t i = 0; i < later.size(); i++) {
			Call *c = later[i].second;

			if (later[i].first > now)
				continue;
			later.erase(later.begin() + (ptrdiff_t)i--);
			submit(c);
		}
	}
	void finish()
	{
		for (size_t i = 0; i < running.size(); i++) {
			Call *c = running[i];

			if (c->ends > now)
				continue;
			running.erase(running.begin() + (ptrdiff_t)i--);
			if (order == NEW)
				jobq_answered(q, &c->job, c->service, now);
			fallback -= c->s->fallback;
			c->answered = now;
			answers++;
		}
	}
	/* Callers whose limit has passed are gone. */
	Call *next()
	{
		struct jobq_job *j;

		if (order == OLD) {
			while ((j = old.next(now)) &&
			       (old.remove(j), now >= ((Call *)j)->limit()))
				;
			return (Call *)j;
		}
		jobq_set_load(q, (int)slots, (int)running.size());
		jobq_start_round(q);
		while ((j = jobq_next(q, now)) && now >= ((Call *)j)->limit())
			jobq_remove(q, j, now);
		if (j)
			jobq_take(q, j, now);
		return (Call *)j;
	}
	void dispatch()
	{
		clk_ms ms;

		if (order == NEW && now % 10 == 0) {
			jobq_set_load(q, (int)slots, (int)running.size());
			jobq_expire(q, now);
		}
		while (running.size() < slots) {
			Call *c = next();

			if (!c)
				break;
			c->ends = now + c->service;
			running.push_back(c);
		}
		while (struct jobq_job *j = jobq_pop_refused(q, now, &ms)) {
			fallback -= ((Call *)j)->s->fallback;
			refuse((Call *)j, ms);
		}
	}
};

/*
 * Bounds of refusals, from the rules in jobq.h and the requirement that a
 * refusal comes as soon as it is known. One in five at most was wrong: it would
 * have ended in time if none had been refused. Hardly any job (the 1% very slow
 * ones, and as many again) is kept and ends late. The caller has time left for
 * another attempt within the objective, a tenth to a fifth of the limit.
 */
void expect_good_refusals(Model &m, const std::string &what)
{
	std::vector<size_t> ids;
	double wrong = 0;
	double late;
	double waited;

	m.run(NEW);
	ids = m.refused;
	m.refuses = false;
	m.run(NEW);
	for (size_t id : ids)
		wrong += m.calls[id].in_time() / (double)ids.size();
	m.refuses = true;
	m.run(NEW);
	late = m.count([](const Call &c) {
		return !c.refused && !c.in_time();
	}) / m.count([](const Call &c) { return !c.refused; });
	waited = m.waited / (double)ids.size();
	EXPECT_LE(wrong, 0.2) << what;
	EXPECT_LE(late, 0.02) << what;
	EXPECT_LE(waited, 0.8) << what;
	printf("%s: refused %.3f after %.2f of the limit, wrongly %.3f, kept "
	       "and late %.4f\n",
	       what.c_str(), (double)ids.size() / (double)m.calls.size(),
	       waited, wrong, late);
}

/* Returns the goodput of three seeds as a part of that with the old order. */
double goodput_to_old(Model m)
{
	double before = 0;
	double after = 0;

	for (m.seed = 1; m.seed <= 3; m.seed++) {
		m.run(OLD);
		before += m.goodput();
		m.run(NEW);
		after += m.goodput();
	}
	printf("goodput %.3f of the old order's; ", after / before);
	return after / before;
}

/* Guards against idle slots in the burst: 0.9 of the capacity is the target at
 * a surge of load (docs/design.md). */
void expect_no_idle_slots(const Model &m)
{
	EXPECT_GE(
		m.count([](const Call &c) { return c.in_time(); }, 2000, 6000),
		0.9 * 4 * m.capacity);
}

/*
 * A burst of 1.7 to 2.5 times of one class at a primary with 4 or 6 slots.
 * Guards against less goodput than with the old order, except for what the
 * protection against starvation gives to the two less urgent classes (a job
 * each per 4 objectives, which may make another one late).
 */
TEST(JobqLoad, BurstOfOneClassAtAPrimary)
{
	double protected_per_s = 1000 / (4 * 200.) + 1000 / (4 * 400.);

	for (int i = 0; i < 12; i++) {
		Model m(i % 2 ? 4 : 6);
		double factor = i / 2 % 2 ? 1.7 : 2.5;
		int burst = i / 4;
		std::string what = std::to_string((int)m.slots) +
				   " slots, class " + std::to_string(burst) +
				   (i / 2 % 2 ? " times 1.7" : " times 2.5");

		for (int p = 0; p < 3; p++)
			m.add(p, p == burst ? 0.6 : 0.15, "",
			      p == burst ? factor : 1);
		EXPECT_GE(goodput_to_old(m),
			  1 - 2 * protected_per_s / m.capacity)
			<< what;
		expect_good_refusals(m, what);
		expect_no_idle_slots(m);
	}
}

/* One tenant at 7.5 times its usual load beside nine others. Guards against
 * others that pay for it: they stay as in calm, within the 1% very slow answers
 * and as many again. */
TEST(JobqLoad, TenantAtManyTimesItsUsual)
{
	std::string names[10];
	Model m(4);
	auto others = [&](Order o, double factor) {
		m.streams[0].factor = factor;
		m.run(o);
		printf("tenant %.3f, others %.3f; ", m.share(0, 0, 2000, 6000),
		       m.share(1, 9, 2000, 6000));
		return m.share(1, 9, 2000, 6000);
	};
	double calm;
	double before;
	double after;

	for (size_t i = 0; i < 10; i++) {
		names[i] = "t" + std::to_string(i);
		m.add(1, i ? 0.07 : 0.2, names[i].c_str());
	}
	others(OLD, 1);
	calm = others(NEW, 1);
	before = others(OLD, 7.5);
	after = others(NEW, 7.5);
	EXPECT_GE(after, calm - 0.02);
	EXPECT_GE(after, before);
	expect_no_idle_slots(m);
	expect_good_refusals(m, "tenant");
}

/*
 * All callers back at once after a loss of power: what gathered in a second
 * arrives in the first millisecond. Guards against refusals before anything is
 * known, or on the few answers that are known then, and against less goodput
 * than with the old order.
 */
TEST(JobqLoad, AllCallersBackAtOnce)
{
	Model m(4);

	for (int p = 0; p < 3; p++)
		m.add(p, 0.25).at_once = (size_t)(0.7 * m.capacity);
	EXPECT_GE(goodput_to_old(m), 1);
	for (m.seed = 1; m.seed <= 8; m.seed++)
		expect_good_refusals(m, "power");
	EXPECT_GE(m.answers_before_refusal, JOBQ_MIN_ANSWERS);
	/* normal within 2 s is the target, docs/design.md */
	EXPECT_GE(m.share(0, 0, 2000), 0.9);
	EXPECT_GE(m.share(1, 1, 2000), 0.9);
}

/* Replicas 60 to 110 times behind: urgent reads at 1.5 times the capacity of
 * the primary turn to it, beside writes. Guards against writes that find no
 * slot, and against more such reads there than the share. */
TEST(JobqLoad, ReplicasFarBehind)
{
	Model m(6);
	double unbounded;

	m.add(1, 0.5);
	m.add(0, 1.5).fallback = true;
	m.bounded = false;
	m.run(NEW);
	unbounded = m.share(0, 0);
	m.bounded = true;
	m.run(NEW);
	EXPECT_GE(m.share(0, 0), 0.9);
	EXPECT_EQ(rdf_primary_share(6), m.most_fallback);
	EXPECT_GT(m.share(1, 1), 0) << "some reads are served";
	printf("writes %.3f, unbounded %.3f; reads %.3f\n", m.share(0, 0),
	       unbounded, m.share(1, 1));
}

} // namespace
