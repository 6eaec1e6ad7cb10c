#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <vector>

extern "C" {
#include "ratelim.h"
#include "rng.h"
}

/*
 * The leader's side of the rate limits, with proxies that use as much as the
 * rules in ratelim.h allow: they ask for more than they need, keep tokens until
 * shortly before their end, and use all that they have at the same time.
 */
namespace
{

constexpr int64_t OPERATION = 1000000;

struct Lot {
	int64_t n;
	clk_ms until;
};

/* What all proxies do: wait while the buckets fill, gather tokens, use all. */
enum Phase { IDLE, HOARD, USE };

struct Greedy {
	int64_t uuid;
	int64_t seq = 0;
	bool in_flight = false;
	clk_ms sent_at = 0;
	clk_ms next_ask = 0;
	std::vector<Lot> lots;
	int64_t share = 0, burst = 0, level = 0;
	clk_ms share_until = 0;
	clk_ms valid_ms = 0;
	int64_t demand = 500000;
};

struct Packet {
	clk_ms at;
	size_t proxy;
	int64_t uuid;
	bool to_leader;
	int64_t seq;
	struct rate_demand demand;
	struct rate_grant grant;
};

struct Run {
	struct rng *rng;
	struct rl_config cfg = {};
	struct route_table *table = rt_new();
	struct rl_plan plan = {};
	struct rl_server *server = nullptr;
	std::vector<Greedy> proxies;
	std::vector<Packet> net;
	std::vector<std::pair<clk_ms, int64_t>> sent;
	clk_ms now = 50000;
	int64_t last_uuid = 0;
	enum Phase phase = IDLE;
	unsigned faults = 0; /* percent of the messages */

	explicit Run(uint64_t seed) : rng(rng_new(seed))
	{
		struct rt_tenant *t;

		cfg = {(clk_ms)(500 + below(8000)), (double)below(30) / 100,
		       (int64_t)below(40)};
		table->version = 1;
		table->has_tenants = true;
		table->ntenants = 1;
		t = table->tenants = (struct rt_tenant *)calloc(1, sizeof(*t));
		strcpy(t->name, "t");
		t->rate_milli = (int64_t)below(below(2) ? 10000 : 300000);
		t->burst_milli =
			(int64_t)below((uint64_t)t->rate_milli * 2 + 1);
		rl_make_plan(&cfg, t, &plan);
		faults = below(3) ? 0 : (unsigned)below(30);
		proxies.resize(1 + below(5));
		for (Greedy &p : proxies)
			p.uuid = ++last_uuid;
	}
	~Run()
	{
		rl_server_free(server);
		rt_unref(table);
		rng_free(rng);
	}
	uint64_t below(uint64_t n)
	{
		return rng_uniform_int(rng, n);
	}
	void elect()
	{
		rl_server_free(server);
		server = rl_server_new(&cfg);
		rl_server_start_term(server, now);
	}
	void post(Packet p)
	{
		int copies = below(100) >= faults ? 1 : (int)below(3);

		for (int i = 0; i < copies; i++) {
			p.at = now + 1 +
			       (clk_ms)below(below(100) >= faults ? 5 : 400);
			net.push_back(p);
		}
	}
	void ask(size_t i)
	{
		Greedy &p = proxies[i];
		Packet out = {};

		if ((p.in_flight && now - p.sent_at < RL_ASK_LOST_MS) ||
		    now < p.next_ask)
			return;
		if (p.share_until - now < RL_ASK_LOST_MS || !below(1000))
			p.share = p.burst = p.level = 0;
		p.in_flight = true;
		p.sent_at = now;
		p.next_ask = now + (clk_ms)below(below(100) ? 40 : 1500);
		out.proxy = i;
		out.uuid = p.uuid;
		out.to_leader = true;
		out.seq = ++p.seq;
		strcpy(out.demand.tenant, "t");
		if (phase != IDLE) {
			out.demand.waiting =
				(int64_t)below(below(4) ? 1000 : 5);
			out.demand.tokens = (int64_t)below(1000);
		}
		if (!below(100))
			p.demand = (int64_t)below(1000000);
		out.demand.demand_milli = p.demand;
		out.demand.share_milli = p.share;
		out.demand.share_burst = p.burst;
		post(out);
	}
	void answer(const Packet &in)
	{
		struct rate_demand d = in.demand;
		struct msg_rate_ask ask = {in.seq, &d, 1};
		struct msg_rate_grant g;
		Packet out = in;

		if (!server || !rl_server_handle_ask(server, table, in.uuid,
						     &ask, now, &g))
			return;
		out.to_leader = false;
		out.grant = g.grants[0];
		post(out);
	}
	void take(const Packet &in)
	{
		Greedy &p = proxies[in.proxy];

		if (in.uuid != p.uuid || in.seq != p.seq || !p.in_flight)
			return;
		p.in_flight = false;
		if (now - p.sent_at >= RL_ASK_LOST_MS || !in.grant.valid_ms)
			return;
		p.lots.push_back(
			{in.grant.tokens, p.sent_at + in.grant.valid_ms});
		p.valid_ms = in.grant.valid_ms;
		p.share = in.grant.share_milli;
		p.burst = in.grant.share_burst;
		p.level = std::min(p.level, p.burst);
		p.share_until = p.sent_at + RL_SHARE_MS;
	}
	/* Drops what has ended, and uses the rest if it is time for that. */
	void use(Greedy &p)
	{
		int64_t n = 0;

		if (now >= p.share_until)
			p.share = p.burst = p.level = 0;
		p.level = std::min(p.burst, p.level + p.share * 5);
		/* What is taken from a local bucket may be used later, too. */
		if (phase == HOARD && p.level >= OPERATION) {
			p.lots.push_back(
				{p.level / OPERATION, now + p.valid_ms});
			p.level %= OPERATION;
		}
		for (Lot &l : p.lots) {
			if (now >= l.until)
				l.n = 0;
			if (phase == USE) {
				n += l.n;
				l.n = 0;
			}
		}
		p.lots.erase(
			std::remove_if(p.lots.begin(), p.lots.end(),
				       [](const Lot &l) { return l.n == 0; }),
			p.lots.end());
		if (phase == USE) {
			n += p.level / OPERATION;
			p.level %= OPERATION;
		}
		if (n)
			sent.push_back({now, n});
	}
	void step()
	{
		std::vector<Packet> due;

		now += 5;
		for (size_t i = 0; i < net.size();) {
			if (net[i].at > now) {
				i++;
				continue;
			}
			due.push_back(net[i]);
			net[i] = net.back();
			net.pop_back();
		}
		for (const Packet &p : due)
			p.to_leader ? answer(p) : take(p);
		for (size_t i = 0; i < proxies.size(); i++) {
			if (!below(4000)) {
				proxies[i] = Greedy();
				proxies[i].uuid = ++last_uuid;
			}
			ask(i);
			use(proxies[i]);
		}
	}
	/* Operations of the worst window as a part of those that the plan
	 * allows, which RateLimPlan compares with the bound. */
	double most_used() const
	{
		const struct rl_plan &p = plan;
		double allowed;
		double most = 0;

		allowed = (double)((p.refill * (cfg.window_ms + p.valid_ms) +
				    p.bucket + p.share_burst) /
				   OPERATION);
		int64_t n = 0;

		for (size_t i = 0, first = 0; i < sent.size(); i++) {
			n += sent[i].second;
			while (sent[first].first <=
			       sent[i].first - cfg.window_ms)
				n -= sent[first++].second;
			most = std::max(most, (double)n / allowed);
		}
		return most;
	}
};

double run_greedy(uint64_t seed)
{
	Run r(seed);
	clk_ms end = r.now + 30000;
	clk_ms next_leader = r.now;
	clk_ms phase_end = 0;
	bool changes = r.below(2);

	while (r.now < end) {
		if (r.now >= phase_end) {
			r.phase = (enum Phase)((r.phase + 1) % 3);
			phase_end = r.now + (clk_ms)r.below(10000);
			if (r.phase == HOARD)
				phase_end = r.now + r.plan.valid_ms - 5 -
					    (clk_ms)r.below(60);
			if (r.phase == USE)
				phase_end = r.now + r.cfg.window_ms;
		}
		if (!r.server && r.now >= next_leader)
			r.elect();
		else if (changes && r.server && !r.below(1200)) {
			rl_server_free(r.server);
			r.server = nullptr;
			next_leader = r.now + (clk_ms)r.below(2) *
						      (clk_ms)r.below(1000);
		}
		r.step();
	}
	return r.most_used();
}

struct RateLimServer : testing::Test {
	struct rl_config cfg = {5000, 0.1, 20};
	struct route_table *table = rt_new();
	struct rl_server *s = rl_server_new(&cfg);
	clk_ms now = 100000;
	int64_t seq = 0;

	void SetUp() override
	{
		table->version = 1;
		table->ntenants = 1;
		table->tenants =
			(struct rt_tenant *)calloc(1, sizeof(struct rt_tenant));
		strcpy(table->tenants[0].name, "t");
		table->tenants[0].rate_milli = 100000;
		table->tenants[0].burst_milli = 100000;
		rl_server_start_term(s, now);
	}
	void TearDown() override
	{
		rl_server_free(s);
		rt_unref(table);
	}
	struct rl_plan plan()
	{
		struct rl_plan p = {};

		EXPECT_TRUE(rl_make_plan(&cfg, &table->tenants[0], &p));
		return p;
	}
	struct rate_grant ask(int64_t proxy, int64_t waiting,
			      int64_t demand_milli = 0, int64_t share = 0,
			      int64_t burst = 0)
	{
		struct rate_demand d = {"t",	      waiting, waiting,
					demand_milli, share,   burst};
		struct msg_rate_ask a = {++seq, &d, 1};
		struct msg_rate_grant g;

		EXPECT_TRUE(rl_server_handle_ask(s, table, proxy, &a, now, &g));
		return g.grants[0];
	}
};

} // namespace

/*
 * Guards against more operations in a window than the bound, whatever the
 * proxies ask for and whenever they use it, with lost, late and repeated
 * messages, changes of the leader and restarts. SEEDS sets the number of runs.
 */
TEST(RateLimGreedy, NoWindowHasMoreThanItsBound)
{
	const char *text = getenv("SEEDS");
	int n = text ? atoi(text) : 600;
	int close = 0;

	for (int seed = 1; seed <= n; seed++) {
		double used = run_greedy((uint64_t)seed);

		ASSERT_LE(used, 1) << "SEED " << seed;
		close += used > 0.95;
	}
	/* Many runs come close to the bound, so that they would show a fault.
	 */
	EXPECT_GE(close, n / 30);
}

/* Guards against plans that allow more than the bound, for limits of all sizes.
 */
TEST(RateLimPlan, NeverExceedsTheBound)
{
	static const int64_t sizes[] = {0,	   1,	     999,     1000,
					2000,	   20000,    1000000, 50000000,
					1LL << 40, INT64_MAX};
	static const struct rl_config configs[] = {{5000, 0.1, 20},
						   {1, 0, 0},
						   {600000, 10, 1000000},
						   {1000, 0, 1},
						   {100, 0.5, 0}};

	for (const struct rl_config &cfg : configs)
		for (int64_t rate : sizes)
			for (int64_t burst : sizes) {
				struct rt_tenant t = {"t", rate, burst, 0};
				struct rl_plan p;

				ASSERT_TRUE(rl_make_plan(&cfg, &t, &p));
				EXPECT_GE(p.bucket, 0);
				EXPECT_GE(p.refill, 0);
				EXPECT_LE(p.refill * (cfg.window_ms +
						      p.valid_ms) +
						  p.bucket + p.share_burst,
					  rl_bound(&cfg, &t))
					<< rate << " " << burst;
				EXPECT_LE(p.share_rate, p.refill / 2);
			}
}

/* Guards against a limit where the configuration names none. */
TEST(RateLimPlan, KnowsTenantsWithoutALimit)
{
	struct rl_config cfg = {5000, 0.1, 20};
	struct rl_config off = {0, 0.1, 20};
	struct rt_tenant t = {"t", RT_NO_RATE, 0, 0};
	struct rl_plan p;

	EXPECT_FALSE(rl_make_plan(&cfg, &t, &p));
	t.rate_milli = 1000;
	EXPECT_TRUE(rl_make_plan(&cfg, &t, &p));
	EXPECT_FALSE(rl_make_plan(&off, &t, &p));
}

/* Guards against a new leader that gives what its predecessor has given. */
TEST_F(RateLimServer, StartsEmptyAndCountsOlderShares)
{
	EXPECT_EQ(0, ask(1, 1).tokens);
	now += 500;
	/* The refill without the part that may be leased, and no share. */
	struct rl_plan p = plan();
	struct rate_grant g = ask(1, 1000, 50000);
	EXPECT_EQ((p.refill - p.share_rate) * 500 / OPERATION, g.tokens);
	EXPECT_EQ(0, g.share_milli);
	/* A share that a proxy reports is renewed. */
	g = ask(2, 0, 50000, 10000, 2 * OPERATION);
	EXPECT_EQ(10000, g.share_milli);
	EXPECT_EQ(2 * OPERATION, g.share_burst);
	now += RL_SHARE_MS;
	g = ask(1, 0, 50000);
	EXPECT_GT(g.share_milli, 0);
}

/* Guards against tokens that are given twice for a repeated ask. */
TEST_F(RateLimServer, IgnoresLateAndRepeatedAsks)
{
	struct rate_demand d = {"t", 1, 1, 0, 0, 0};
	struct msg_rate_ask a = {5, &d, 1};
	struct msg_rate_grant g;

	EXPECT_TRUE(rl_server_handle_ask(s, table, 1, &a, now, &g));
	EXPECT_FALSE(rl_server_handle_ask(s, table, 1, &a, now, &g));
	a.seq = 4;
	EXPECT_FALSE(rl_server_handle_ask(s, table, 1, &a, now, &g));
	EXPECT_TRUE(rl_server_handle_ask(s, table, 2, &a, now, &g));
}

/* Guards against a share that is given to another proxy before the proxy that
 * has it confirmed that it was lowered. */
TEST_F(RateLimServer, RaisesAShareOnlyWhenOthersAreConfirmed)
{
	now += RL_SHARE_MS;
	struct rate_grant a = ask(1, 0, 1000000);
	EXPECT_EQ(plan().share_rate, a.share_milli); /* all that is leased */
	struct rate_grant b = ask(2, 0, 1000000);
	EXPECT_EQ(0, b.share_milli);
	struct rate_grant lower =
		ask(1, 0, 1000000, a.share_milli, a.share_burst);
	EXPECT_LT(lower.share_milli, a.share_milli);
	EXPECT_EQ(0, ask(2, 0, 1000000).share_milli);
	ask(1, 0, 1000000, lower.share_milli, lower.share_burst);
	EXPECT_GT(ask(2, 0, 1000000).share_milli, 0);
}

/* Guards against a share of a proxy that is gone that is never given again. */
TEST_F(RateLimServer, GivesAnEndedShareToOthers)
{
	now += RL_SHARE_MS;
	EXPECT_EQ(plan().share_rate, ask(1, 0, 1000000).share_milli);
	now += RL_SHARE_MS;
	EXPECT_EQ(plan().share_rate, ask(2, 0, 1000000).share_milli);
}

/* Guards against a bucket that keeps the level of a higher limit. */
TEST_F(RateLimServer, CutsTheBucketWithTheLimit)
{
	now += 60000;
	EXPECT_EQ(1, ask(1, 1).tokens - 1); /* one more, as it is full */
	table->version = 2;
	table->tenants[0].rate_milli = 1000;
	table->tenants[0].burst_milli = 1000;
	EXPECT_LE(ask(1, 1000).tokens, 20);
}

/* Guards against a wait that is shorter than the time in which the limit allows
 * the operations. */
TEST_F(RateLimServer, SaysWhenMoreCanBeHad)
{
	now += 60000;
	while (ask(1, 10).tokens >= 10)
		;
	struct rate_grant g = ask(1, 50);
	EXPECT_EQ(0, g.tokens);
	EXPECT_GE(g.wait_ms, 49 * OPERATION / plan().refill);
	now += g.wait_ms;
	EXPECT_GE(ask(1, 50).tokens, 50);
}
