#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <random>
#include <vector>

extern "C" {
#include "pace.h"
}

namespace
{

constexpr double STEP_MS = 0.5;
constexpr double ONE_WAY_MS = 1; /* between zones, platform.md */
constexpr size_t QUEUE_PLACES = 48;
/* Mean work of the statements of four routes in ms. */
constexpr double WORK_MS[] = {2.5, 8, 20, 55};
constexpr double SPREAD = 0.7; /* of the log-normal work */

struct Statement {
	size_t proxy;
	double sent, work, mean;
	double due; /* end of its work, or delivery of its answer */
	enum pace_outcome outcome;
};

struct Sender {
	struct pace p;
	double per_s; /* statements that callers ask for; below 0: always one */
	double waiting;

	/* the rule of db.c that pace replaces */
	double response, unloaded, overloaded_until, busy_until;

	bool fixed_may_send(double slots, double proxies, double now) const
	{
		bool overloaded =
			now < overloaded_until || response > 3 * unloaded;

		if (now < busy_until)
			return false;
		if (2 * slots < proxies && !overloaded)
			return true;
		return !p.running || p.running * proxies < 2 * slots;
	}

	void fixed_ended(const struct pace_end &e, double now)
	{
		if (e.outcome == PACE_BUSY) {
			busy_until = now + 20;
			overloaded_until = now + 500;
		} else if (e.outcome == PACE_DONE) {
			response += (e.response_ms - response) * 0.1;
			unloaded = std::min(response,
					    unloaded + (response - unloaded) *
							       0.001);
		}
	}
};

/* One member with slots and a queue, and the proxies that send to it. */
struct Member {
	size_t slots = 6;
	double slowness = 1; /* factor of the work */
	bool failing = false; /* statements fail, whatever its health */
	bool one_route = false; /* in place of four */
	bool expects = true; /* the caller knows the expected cost */
	bool fixed = false; /* the rule of db.c in place of pace */

	std::vector<Sender> senders;
	std::vector<Statement> running, answers;
	std::deque<Statement> queue;
	std::mt19937 rng{7};
	double now = 100000;
	double busy_ms = 0; /* time that slots were busy */
	double queue_sum = 0;
	size_t queue_max = 0;
	int refused = 0, failed = 0, served = 0;
	double since = now;

	Member(size_t n, double per_s, size_t nslots = 6) : slots(nslots)
	{
		for (size_t i = 0; i < n; i++) {
			Sender s = {{}, per_s, 0, 10, 10, 0, 0};

			pace_init(&s.p, (int64_t)slots, clock());
			pace_set_senders(&s.p, (int)n, (int)i);
			pace_on_start(&s.p, clock());
			senders.push_back(s);
		}
	}

	clk_ms clock() const
	{
		return (clk_ms)now;
	}

	void ask(double per_s)
	{
		for (Sender &s : senders)
			s.per_s = per_s;
	}

	double unit(const Statement &s) const
	{
		return expects ? s.mean : 1;
	}

	bool may_send(const Sender &s) const
	{
		return fixed ? s.fixed_may_send((double)slots,
						(double)senders.size(), now)
			     : pace_may_send(&s.p, clock());
	}

	void send(size_t i)
	{
		std::lognormal_distribution<> spread(-SPREAD * SPREAD / 2,
						     SPREAD);
		double mean = one_route ? 20 : WORK_MS[rng() % 4];
		Statement s = {i, now, mean * spread(rng), mean, 0, PACE_DONE};

		pace_sent(&senders[i].p, clock());
		if (failing || queue.size() >= QUEUE_PLACES) {
			s.outcome = failing ? PACE_ERROR : PACE_BUSY;
			s.due = now + 2 * ONE_WAY_MS;
			answers.push_back(s);
		} else {
			queue.push_back(s);
		}
	}

	void answer(const Statement &s)
	{
		Sender &to = senders[s.proxy];
		struct pace_end e = {s.outcome, (clk_ms)s.sent, now - s.sent,
				     unit(s), to.waiting >= 1};

		refused += s.outcome == PACE_BUSY;
		failed += s.outcome == PACE_ERROR;
		served += s.outcome == PACE_DONE;
		if (s.outcome == PACE_BUSY)
			to.waiting++;
		to.fixed_ended(e, now);
		pace_ended(&to.p, &e, clock());
	}

	template <typename F> void end_due(std::vector<Statement> &v, F f)
	{
		for (size_t i = v.size(); i-- > 0;) {
			Statement s = v[i];

			if (s.due > now)
				continue;
			v.erase(v.begin() + (long)i);
			f(s);
		}
	}

	void step()
	{
		now += STEP_MS;
		end_due(running, [this](Statement s) {
			s.due = now + ONE_WAY_MS;
			answers.push_back(s);
		});
		end_due(answers, [this](const Statement &s) { answer(s); });
		for (size_t i = 0; i < senders.size(); i++) {
			Sender &s = senders[i];
			double p = s.per_s * STEP_MS / 1000;

			if (s.per_s < 0)
				s.waiting = 100;
			else
				s.waiting +=
					(double)rng() / (double)rng.max() < p;
			while (s.waiting >= 1 && may_send(s)) {
				s.waiting--;
				send(i);
			}
		}
		while (running.size() < slots && !queue.empty() &&
		       queue.front().sent + ONE_WAY_MS <= now) {
			Statement s = queue.front();

			queue.pop_front();
			s.due = now + s.work * slowness;
			running.push_back(s);
		}
		busy_ms += STEP_MS * (double)running.size();
		queue_sum += STEP_MS * (double)queue.size();
		queue_max = std::max(queue_max, queue.size());
	}

	void run(double ms)
	{
		busy_ms = queue_sum = 0;
		queue_max = 0;
		refused = failed = served = 0;
		since = now;
		while (now < since + ms)
			step();
	}

	/* Part of the slots' time that was used; all that it can serve is 1. */
	double used() const
	{
		return busy_ms / (now - since) / (double)slots;
	}

	void report(const char *what) const
	{
		if (getenv("VERBOSE"))
			printf("%zu proxies, others %g/s, %s, %s: used %.2f, "
			       "waiting %.1f, at most %zu, refused %d of %d\n",
			       senders.size(), senders.back().per_s,
			       fixed ? "fixed" : "pace", what, used(),
			       mean_queue(), queue_max, refused,
			       refused + served);
	}

	double mean_queue() const
	{
		return queue_sum / (now - since);
	}
};

/* Statements that may wait at a member of 6 slots: their wait is then half of
 * the shortest objective, 150 ms, at the mean work of 21.4 ms. */
constexpr size_t MAX_WAITING = 21;
/* Part of the slots' time that counts as all that a member can serve. */
constexpr double FULL = 0.9;

/* A member that no proxy knows, and callers that ask for more than it can do.
 * Guards against a flood, and against slots that stay idle. 10 proxies are the
 * runners of a group. */
TEST(Pace, ColdStart)
{
	for (size_t n : {3, 10}) {
		Member m(n, -1);

		m.run(1000);
		EXPECT_LE(m.queue_max, MAX_WAITING) << n;
		m.run(1000);
		EXPECT_GE(m.used(), FULL) << n;
		EXPECT_LE(m.queue_max, MAX_WAITING) << n;
		m.run(20000);
		EXPECT_GE(m.used(), FULL) << n;
		/* no more than two statements a slot, which pace replaces */
		EXPECT_LE(m.mean_queue(), 2 * (double)m.slots) << n;
	}
}

/* The same with empty caches, and a hint that says so: work takes three times
 * as long. Guards against a hint that keeps the limit low: one proxy of three
 * still gets all, without a flood. */
TEST(Pace, ColdHintDoesNotKeepTheLimitLow)
{
	Member m(3, 0);

	m.slowness = 3;
	m.senders[0].per_s = -1;
	for (Sender &s : m.senders)
		pace_set_cold(&s.p, 60000, m.clock());
	m.run(5000);
	EXPECT_LE(m.queue_max, MAX_WAITING);
	m.run(5000);
	EXPECT_GE(m.used(), FULL);
	EXPECT_LE(m.queue_max, MAX_WAITING);
}

/* Answers take about twice as long as without load: as many wait as run. */
TEST(Pace, QueueIsShortAtAMemberThatIsKnown)
{
	for (size_t n : {1, 3, 10}) {
		Member m(n, 120.0 / (double)n);

		m.expects = n != 3;
		m.run(15000);
		EXPECT_LE(m.mean_queue(), 1) << n << ": less than half in use";
		m.ask(-1);
		m.run(30000);
		EXPECT_GE(m.used(), FULL) << n;
		EXPECT_LE(m.mean_queue(), 1.2 * (double)m.slots) << n;
		EXPECT_EQ(0, m.refused) << n;
	}
}

/* Statements fail for 3 s while callers ask for all that the member can do; its
 * connections and its status are fine. Guards against statements that are sent
 * to it meanwhile, and against a slow return. */
TEST(Pace, RecoversUnderFullLoad)
{
	for (size_t n : {1, 10}) {
		Member m(n, -1);

		m.run(5000);
		m.failing = true;
		m.run(1000);
		m.run(2000);
		/* one trial in half of PACE_TRIAL_MAX_MS, or more rarely */
		EXPECT_LE(m.failed,
			  (int)n * (1 + 2 * 2000 / PACE_TRIAL_MAX_MS));
		EXPECT_EQ(PACE_STATEMENTS_FAIL,
			  pace_state(&m.senders[0].p, m.clock()));
		m.failing = false;
		m.run(1000);
		EXPECT_LE(m.queue_max, MAX_WAITING) << n;
		m.run(1000);
		EXPECT_GE(m.used(), FULL) << n;
		EXPECT_EQ(PACE_OPEN, pace_state(&m.senders[0].p, m.clock()));
	}
}

/* Work takes three times as long for good. Guards against a limit that shrinks
 * until slots are idle, although less can't make the member faster. */
TEST(Pace, MemberThatIsSlowForGood)
{
	for (size_t n : {1, 10}) {
		Member m(n, -1);

		m.run(5000);
		m.slowness = 3;
		m.run(60000);
		EXPECT_GE(m.used(), FULL) << n;
		EXPECT_LE(m.queue_max, MAX_WAITING) << n;
	}
}

/* One proxy has callers, the others none, as when a tenant's callers are at one
 * proxy: it gets all that the member can serve. */
TEST(Pace, TakesWhatOthersLeave)
{
	for (bool one_route : {false, true})
		for (size_t n : {3, 10}) {
			Member m(n, 0);

			m.one_route = one_route;
			m.senders[0].per_s = -1;
			m.run(10000);
			m.run(20000);
			EXPECT_GE(m.used(), FULL) << n << one_route;
			EXPECT_LE(m.queue_max, MAX_WAITING) << n;
			m.ask(-1);
			m.run(10000);
			/* gives back once the others have callers, too */
			EXPECT_LE(m.mean_queue(), 2 * (double)m.slots) << n;
		}
}

/* 85 proxies without runners start at once, with 6 slots: less than a tenth of
 * a statement for each. Guards against a member that refuses for want of a slot
 * (it has 48 places), and against idle slots. */
TEST(Pace, EightyFiveProxiesAtOnce)
{
	Member m(85, -1);
	int refused;

	m.run(1000);
	refused = m.refused;
	m.run(5000);
	EXPECT_GE(m.used(), FULL);
	EXPECT_LE(refused + m.refused, m.served / 100);
}

/* A replica becomes primary, and all proxies that used others send to it;
 * before, the load was low. */
TEST(Pace, ReplicaThatBecamePrimary)
{
	Member m(10, 12);

	m.run(5000);
	for (size_t i = 0; i < m.senders.size(); i++) {
		pace_on_promotion(&m.senders[i].p, m.clock());
		EXPECT_LE(pace_limit(&m.senders[i].p), 1);
	}
	m.ask(-1);
	m.run(1000);
	EXPECT_LE(m.queue_max, MAX_WAITING);
	m.run(1000);
	EXPECT_GE(m.used(), FULL);
}

/* Guards against doing worse than two statements per slot divided by the
 * proxies, the rule which pace replaces. VERBOSE=1 prints the figures
 * of docs/design/pace.md. */
TEST(Pace, ServesAsMuchAsAFixedLimit)
{
	for (double others : {-1, 0})
		for (size_t n : {1, 3, 10, 30, 85}) {
			double used[2];

			for (int fixed = 0; fixed < 2; fixed++) {
				Member m(n, others);

				m.senders[0].per_s = -1;
				m.fixed = fixed;
				m.run(2000);
				m.report("start");
				m.run(30000);
				m.report("later");
				used[fixed] = m.used();
			}
			EXPECT_GE(used[0], FULL * used[1]) << n;
		}
}

/* Tests one struct with single events. */
struct PaceEvents : testing::Test {
	struct pace p = {};
	clk_ms now = 100000;

	void SetUp() override
	{
		pace_init(&p, 6, now);
	}

	enum pace_change statement(enum pace_outcome outcome, clk_ms ms = 10)
	{
		struct pace_end e = {outcome, now, (double)ms, 1, true};

		pace_sent(&p, now);
		now += ms;
		return pace_ended(&p, &e, now);
	}

	enum pace_change open(enum pace_open_result r)
	{
		pace_open_started(&p, now);
		now += 10;
		return pace_open_ended(&p, r, now);
	}
};

/* The member's health is reported as bad, or a connection fails, while its
 * statements succeed: only answers count. */
TEST_F(PaceEvents, StatementsThatSucceedCountMoreThanHealth)
{
	pace_open_started(&p, now);
	now += 1;
	statement(PACE_DONE);
	EXPECT_EQ(PACE_UNCHANGED, pace_open_ended(&p, PACE_OPEN_FAILED, now));
	EXPECT_TRUE(pace_is_usable(&p, now));
	EXPECT_TRUE(pace_may_send(&p, now));
}

/* A member that can't be reached is tried with one connection at a time, in
 * intervals up to PACE_TRIAL_MAX_MS, and one that opens is enough. */
TEST_F(PaceEvents, UnreachableMemberIsTriedAndUsedAgain)
{
	EXPECT_EQ(PACE_FAILS, open(PACE_OPEN_FAILED));
	for (int i = 0; i < 5; i++) {
		clk_ms due = pace_trial_at(&p, now);

		EXPECT_FALSE(pace_is_usable(&p, due - 1));
		EXPECT_GT(due, now);
		EXPECT_LE(due, now + PACE_TRIAL_MAX_MS);
		now = due;
		EXPECT_TRUE(pace_may_open(&p, now));
		pace_open_started(&p, now);
		EXPECT_FALSE(pace_may_open(&p, now));
		now += 10;
		EXPECT_EQ(PACE_UNCHANGED,
			  pace_open_ended(&p, PACE_OPEN_FAILED, now));
	}
	now = pace_trial_at(&p, now);
	EXPECT_EQ(PACE_RECOVERED, open(PACE_OPENED));
	EXPECT_EQ(CLK_NEVER, pace_trial_at(&p, now));
	EXPECT_TRUE(pace_may_send(&p, now));
}

/* Connections open, but statements fail: a connection does not count as a
 * success, nor does a statement that was sent before the first failure; a
 * restart does. Statements that are lost after it were sent before it. */
TEST_F(PaceEvents, OpenConnectionsDoNotHideFailingStatements)
{
	struct pace_end late = {PACE_LOST, now, 0, 1, true};
	struct pace_end slow = {PACE_DONE, now, 900, 1, true};

	pace_sent(&p, now);
	pace_sent(&p, now);
	now += 1;
	for (int i = 0; i < 3; i++)
		statement(PACE_LOST, 300);
	EXPECT_EQ(PACE_UNCHANGED, pace_ended(&p, &slow, now));
	EXPECT_EQ(PACE_STATEMENTS_FAIL, pace_state(&p, now));
	EXPECT_EQ(PACE_UNCHANGED, open(PACE_OPENED));
	EXPECT_FALSE(pace_is_usable(&p, now));
	pace_on_start(&p, now);
	EXPECT_TRUE(pace_is_usable(&p, now));
	now += 1;
	EXPECT_EQ(PACE_UNCHANGED, pace_ended(&p, &late, now));
	EXPECT_EQ(6, pace_limit(&p));
}

/* Slow answers lower the limit to the share, and not below it; after a success
 * that ends failures it starts at the share. */
TEST_F(PaceEvents, LimitFollowsAnswers)
{
	for (int i = 0; i < 100; i++)
		statement(PACE_DONE);
	EXPECT_GE(pace_limit(&p), 12);
	for (int i = 0; i < 100; i++)
		statement(PACE_DONE, 100);
	EXPECT_EQ(6, pace_limit(&p));
	for (int i = 0; i < 100; i++)
		statement(PACE_DONE);
	EXPECT_GE(pace_limit(&p), 12);
	for (int i = 0; i < 3; i++)
		statement(PACE_ERROR, 300);
	EXPECT_EQ(PACE_RECOVERED, statement(PACE_DONE));
	EXPECT_EQ(6, pace_limit(&p));
}

/* Guards against a sudden load that starts from the limit of an earlier one:
 * after 5 s without use it is no more than two statements a slot. */
TEST_F(PaceEvents, UnusedLimitIsLowered)
{
	for (int i = 0; i < 1000; i++)
		statement(PACE_DONE, i % 6 ? 12 : 2);
	EXPECT_GE(pace_limit(&p), 18);
	now += 5000;
	pace_sent(&p, now);
	EXPECT_LE(pace_limit(&p), 12.1);
}

/* Guards against a proxy with a limit of one that waits for a lost answer until
 * the statement's limit, and against shrinking for each of several refusals
 * that belong to the same moment. */
TEST_F(PaceEvents, LostAnswersAndRefusals)
{
	pace_set_senders(&p, 6, 0);
	EXPECT_EQ(1, pace_limit(&p));
	pace_sent(&p, now);
	EXPECT_FALSE(pace_may_send(&p, now + PACE_STALL_MS - 1));
	EXPECT_TRUE(pace_may_send(&p, now + PACE_STALL_MS));
	pace_set_senders(&p, 1, 0);
	EXPECT_EQ(6, pace_limit(&p)) << "the others are gone";
	for (int i = 0; i < 5; i++)
		statement(PACE_BUSY, 1);
	EXPECT_NEAR(4, pace_limit(&p), 0.01);
	EXPECT_FALSE(pace_is_usable(&p, now + PACE_BUSY_PAUSE_MS - 1));
	EXPECT_TRUE(pace_is_usable(&p, now + PACE_BUSY_PAUSE_MS));
}

} // namespace
