#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "ratelim.h"
#include "rng.h"
}

namespace
{

constexpr int64_t OPERATION = 1000000;

/* A configuration, as the leader and the proxies get it. */
struct Limits {
	struct route_table *table = rt_new();

	Limits(int64_t version, const std::vector<rt_tenant> &tenants)
	{
		table->version = version;
		table->has_tenants = true;
		table->ntenants = (int64_t)tenants.size();
		table->tenants = (struct rt_tenant *)calloc(
			tenants.size() + 1, sizeof(struct rt_tenant));
		std::copy(tenants.begin(), tenants.end(), table->tenants);
		rt_sort(table);
	}
	~Limits()
	{
		rt_unref(table);
	}
};

rt_tenant tenant(const std::string &name, int64_t rate_milli,
		 int64_t burst_milli)
{
	rt_tenant t = {};

	snprintf(t.name, ID_LEN, "%s", name.c_str());
	t.rate_milli = rate_milli;
	t.burst_milli = burst_milli;
	return t;
}

/* An operation that waits at a proxy. */
struct Waiting {
	std::string tenant;
	clk_ms since;
};

/* An operation that has a token but was not sent yet. */
struct Queued {
	std::string tenant;
	struct rl_token token;
	clk_ms send_at;
};

struct Proxy {
	struct rl_client *client = nullptr;
	int64_t uuid = 0;
	clk_ms suspended_until = 0;
	std::shared_ptr<Limits> limits;
	clk_ms limits_since = 0;
	std::deque<Waiting> waiting;
	std::vector<Queued> queued;
};

/* A message on its way. */
struct Packet {
	clk_ms at;
	bool to_leader;
	size_t proxy;
	int64_t uuid;
	int leader; /* index of the leader that it was sent to */
	struct msg_rate_ask ask;
	std::vector<struct rate_demand> demands;
	struct msg_rate_grant grant;
	std::vector<struct rate_grant> grants;
};

/* Outcomes of the operations of one tenant. */
struct Outcome {
	std::vector<clk_ms> sent;
	int asked = 0, refused = 0;
	clk_ms longest_wait = 0;
	std::vector<clk_ms> refused_at;
};

/* Proxies and a leader at a time, with the real modules, on a simulated
 * network. */
struct World {
	struct rl_config cfg = {5000, 0.1, 20};
	struct rng *rng;
	clk_ms now = 100000;
	struct rl_server *server = nullptr; /* NULL: there is no leader */
	int leader = 0;
	std::shared_ptr<Limits> limits; /* those in force at the leader */
	std::vector<Proxy> proxies;
	std::multimap<clk_ms, Packet> net;
	std::map<std::string, Outcome> outcomes;
	int64_t last_uuid = 0;
	int asks = 0;
	/* Faults, in percent of the messages. */
	unsigned lose = 0, duplicate = 0, delay = 0;
	unsigned queue_percent = 0; /* operations that wait to be sent */

	World(uint64_t seed, size_t nproxies, std::shared_ptr<Limits> l)
	    : rng(rng_new(seed)), limits(std::move(l)), proxies(nproxies)
	{
		for (Proxy &p : proxies)
			start(p);
		elect();
	}
	~World()
	{
		for (Proxy &p : proxies)
			rl_client_free(p.client);
		rl_server_free(server);
		rng_free(rng);
	}
	uint64_t below(uint64_t n)
	{
		return rng_uniform_int(rng, n);
	}
	void start(Proxy &p)
	{
		rl_client_free(p.client);
		p.client = rl_client_new(below(1000000));
		p.uuid = ++last_uuid;
		p.waiting.clear();
		p.queued.clear();
		take_limits(p);
	}
	void take_limits(Proxy &p)
	{
		p.limits = limits;
		p.limits_since = now;
		rl_client_set_limits(p.client, limits->table, now);
	}
	void depose()
	{
		rl_server_free(server);
		server = nullptr;
	}
	void elect()
	{
		depose();
		server = rl_server_new(&cfg);
		rl_server_start_term(server, now);
		leader++;
	}
	void post(Packet p)
	{
		clk_ms ms = 2 + (clk_ms)below(4);

		if (below(100) < lose)
			return;
		if (below(100) < delay)
			ms += (clk_ms)below(below(4) ? 300 : 3000);
		p.at = now + ms;
		net.emplace(p.at, p);
		if (below(100) < duplicate) {
			p.at += (clk_ms)below(500);
			net.emplace(p.at, p);
		}
	}
	void send_ask(size_t i)
	{
		Packet out = {};

		if (!rl_client_next_ask(proxies[i].client, now, &out.ask))
			return;
		if (!server) {
			rl_client_ask_failed(proxies[i].client, out.ask.seq);
			return;
		}
		asks++;
		out.demands.assign(out.ask.demands,
				   out.ask.demands + out.ask.ndemands);
		out.to_leader = true;
		out.proxy = i;
		out.uuid = proxies[i].uuid;
		out.leader = leader;
		post(out);
	}
	void deliver_ask(Packet &p)
	{
		Packet out = {};

		/* An instance that no longer leads doesn't answer; one that
		 * became the leader answers late asks, too. */
		if (!server)
			return;
		p.ask.demands = p.demands.data();
		if (!rl_server_handle_ask(server, limits->table, p.uuid, &p.ask,
					  now, &out.grant))
			return;
		out.grants.assign(out.grant.grants,
				  out.grant.grants + out.grant.ngrants);
		out.proxy = p.proxy;
		out.uuid = p.uuid;
		post(out);
	}
	void deliver_grant(Packet &p)
	{
		Proxy &x = proxies[p.proxy];

		if (p.uuid != x.uuid)
			return;
		p.grant.grants = p.grants.data();
		if (!rl_client_take_grant(x.client, &p.grant, now))
			return;
		retry_waiting(x);
	}
	void retry_waiting(Proxy &x)
	{
		for (size_t n = x.waiting.size(); n; n--) {
			Waiting w = x.waiting.front();

			x.waiting.pop_front();
			rl_client_end_wait(x.client, w.tenant.c_str());
			attempt(x, w);
		}
	}
	void attempt(Proxy &x, const Waiting &w)
	{
		Outcome &o = outcomes[w.tenant];
		struct rl_token token;
		clk_ms retry_ms;

		switch (rl_client_take(x.client, w.tenant.c_str(), now, &token,
				       &retry_ms)) {
		case RL_GO:
			o.longest_wait =
				std::max(o.longest_wait, now - w.since);
			send(x, w.tenant, token);
			return;
		case RL_WAIT:
			if (now - w.since < RL_MAX_WAIT_MS) {
				rl_client_wait(x.client, w.tenant.c_str());
				x.waiting.push_back(w);
				return;
			}
			rl_client_refuse_waiting(x.client, w.tenant.c_str(),
						 now);
			break;
		case RL_REFUSE:
			EXPECT_GT(retry_ms, 0);
			break;
		}
		o.refused++;
		o.refused_at.push_back(now);
	}
	void send(Proxy &x, const std::string &name, struct rl_token token)
	{
		if (below(100) >= queue_percent) {
			outcomes[name].sent.push_back(now);
			return;
		}
		x.queued.push_back({name, token, now + (clk_ms)below(1500)});
	}
	/* Sends the operations whose time has come. Those whose token ends
	 * before are sent just before, the worst case, or are not sent and
	 * return their token. */
	void send_queued(Proxy &x)
	{
		std::vector<Queued> left;

		for (Queued &q : x.queued) {
			bool last = now + 10 >= q.token.until;

			if (now >= q.token.until)
				continue;
			if (now < q.send_at && !last)
				left.push_back(q);
			else if (below(4))
				outcomes[q.tenant].sent.push_back(now);
			else
				rl_client_return(x.client, q.tenant.c_str(),
						 &q.token, now);
		}
		x.queued.swap(left);
	}
	void operation(size_t i, const std::string &name)
	{
		Proxy &x = proxies[i];

		if (now < x.suspended_until)
			return;
		outcomes[name].asked++;
		rl_client_count_asked(x.client, name.c_str(), now);
		attempt(x, {name, now});
	}
	void step(clk_ms ms = 10)
	{
		now += ms;
		for (auto it = net.begin();
		     it != net.end() && it->first <= now;) {
			Packet p = it->second;

			if (!p.to_leader &&
			    now < proxies[p.proxy].suspended_until) {
				++it;
				continue;
			}
			it = net.erase(it);
			if (p.to_leader)
				deliver_ask(p);
			else
				deliver_grant(p);
		}
		for (size_t i = 0; i < proxies.size(); i++) {
			Proxy &x = proxies[i];

			if (now < x.suspended_until)
				continue;
			send_queued(x);
			if (!x.waiting.empty())
				retry_waiting(x);
			send_ask(i);
		}
	}
	/* Number of operations in a Poisson process. */
	int arrivals(double per_s, clk_ms ms)
	{
		double limit = exp(-per_s * (double)ms / 1000);
		double product = rng_uniform_unit(rng);
		int n = 0;

		for (; product > limit; n++)
			product *= rng_uniform_unit(rng);
		return n;
	}
};

/* Limits in force from a time on. */
struct Epoch {
	clk_ms since;
	std::shared_ptr<Limits> limits;
};

/* The highest bound of a tenant that an operation sent in (from, to] may have
 * been allowed by, in operations. */
int64_t highest_bound(const World &w, const std::string &name,
		      const std::vector<Epoch> &epochs, clk_ms from, clk_ms to)
{
	int64_t most = 0;

	for (const Epoch &e : epochs)
		if (e.since <= to && from <= e.since + 1000000) {
			const struct rt_tenant *t =
				rt_find_tenant(e.limits->table, name.c_str());

			if (t)
				most = std::max(most, rl_bound(&w.cfg, t));
		}
	return most / OPERATION;
}

int seeds(int normal)
{
	const char *text = getenv("SEEDS");

	return text ? atoi(text) : normal;
}

/* One random run; returns the number of operations sent. */
size_t run_random(uint64_t seed)
{
	static const char *const names[] = {"big", "small", "bursty", "tight"};
	std::vector<Epoch> epochs;
	int64_t version = 1;
	size_t sent = 0;
	struct rng *r = rng_new(seed * 7919 + 1);
	auto below = [&](uint64_t n) { return rng_uniform_int(r, n); };
	auto random_limits = [&] {
		std::vector<rt_tenant> list;

		for (const char *name : names)
			if (below(20))
				list.push_back(tenant(name,
						      (int64_t)below(200000),
						      (int64_t)below(200000)));
		list.push_back(tenant("fixed", 20000, 10000));
		return std::make_shared<Limits>(version++, list);
	};
	World w(seed, 1 + below(6), random_limits());
	/* Time from which each limit is no longer in force at any proxy. */
	std::vector<clk_ms> ended;
	std::map<std::string, double> load;
	clk_ms end;
	clk_ms next_leader = w.now + 500;

	if (below(4) == 0)
		w.cfg = {(clk_ms)(1000 + below(9000)), (double)below(30) / 100,
			 (int64_t)below(40)};
	w.elect();
	w.lose = below(3) ? 0 : (unsigned)below(20);
	w.duplicate = below(3) ? 0 : (unsigned)below(30);
	w.delay = below(3) ? 0 : (unsigned)below(30);
	w.queue_percent = below(2) ? 0 : (unsigned)below(100);
	epochs.push_back({w.now, w.limits});
	ended.push_back(CLK_NEVER);
	end = w.now + 15000;
	bool config_changes = below(3) == 0;
	clk_ms next_config = w.now + 2000 + (clk_ms)below(4000);

	while (w.now < end) {
		if (!below(50))
			for (const char *name :
			     {"big", "small", "bursty", "tight", "fixed"})
				load[name] =
					(double)below(below(3) ? 60 : 2000);
		for (auto &l : load) {
			int n = w.arrivals(l.second / 10, 100) / 10;

			n += below(100) < (uint64_t)(l.second) % 100;
			for (int i = 0; i < std::min(n, 40); i++)
				w.operation(below(3) ? 0
						     : below(w.proxies.size()),
					    l.first);
		}
		w.step();
		if (w.now >= next_leader && w.server && !below(150)) {
			w.depose();
			next_leader =
				w.now + (below(3) ? (clk_ms)below(1500) : 0);
		} else if (!w.server && w.now >= next_leader) {
			w.elect();
			next_leader = w.now + (clk_ms)below(3000);
		}
		Proxy &x = w.proxies[below(w.proxies.size())];
		if (!below(400)) {
			w.start(x);
		} else if (!below(400)) {
			x.suspended_until = w.now + (clk_ms)below(6000);
		}
		if (config_changes && w.now >= next_config) {
			w.limits = random_limits();
			epochs.push_back({w.now, w.limits});
			ended.push_back(CLK_NEVER);
			next_config = w.now + 1000 + (clk_ms)below(5000);
		}
		if (!below(30) && w.now >= x.suspended_until &&
		    x.limits != w.limits)
			w.take_limits(x);
		for (size_t i = 0; i < epochs.size(); i++) {
			bool held = epochs[i].limits == w.limits;

			for (const Proxy &p : w.proxies)
				held |= p.limits == epochs[i].limits;
			if (held)
				ended[i] = CLK_NEVER;
			else if (ended[i] == CLK_NEVER)
				ended[i] = w.now;
		}
	}
	for (auto &o : w.outcomes) {
		std::vector<clk_ms> &at = o.second.sent;
		bool listed = true;

		for (const Epoch &e : epochs)
			listed &= rt_find_tenant(e.limits->table,
						 o.first.c_str()) != nullptr;
		if (!listed) /* it was without a limit for a time */
			continue;
		sent += at.size();
		for (size_t i = 0, first = 0; i < at.size(); i++) {
			int64_t most = 0;

			while (at[first] <= at[i] - w.cfg.window_ms)
				first++;
			/* Operations may hold tokens of a limit that has just
			 * ended; those have a validity. */
			for (size_t k = 0; k < epochs.size(); k++)
				if (epochs[k].since <= at[i] &&
				    (ended[k] == CLK_NEVER ||
				     at[i] - w.cfg.window_ms <=
					     ended[k] + RL_TOKEN_MS))
					most = std::max(
						most,
						highest_bound(w, o.first,
							      {epochs[k]}, 0,
							      CLK_NEVER));
			EXPECT_LE((int64_t)(i - first + 1), most)
				<< "seed " << seed << " tenant " << o.first
				<< " at " << at[i];
			if ((int64_t)(i - first + 1) > most)
				break;
		}
	}
	rng_free(r);
	return sent;
}

} // namespace

/*
 * Guards against more operations of a tenant in any sliding window than its
 * bound: with lost, late and repeated messages, changes of the leader, restarts
 * and suspensions of proxies, and changed limits. SEEDS sets the number of
 * runs.
 */
TEST(RateLimRandom, NoWindowHasMoreThanItsBound)
{
	size_t sent = 0;

	for (int seed = 1; seed <= seeds(150); seed++) {
		sent += run_random((uint64_t)seed);
		ASSERT_FALSE(HasFailure()) << "SEED " << seed;
	}
	EXPECT_GT(sent, 10000u);
}

namespace
{

/* The size of the users' deployment: 83 proxies, 84 tenants of very uneven size
 * (Zipf, exponent 1.2) and 1,080 operations a second. */
struct Deployment {
	std::vector<double> rates;
	std::unique_ptr<World> w;
	std::vector<double> factor; /* of the usual load, by tenant */

	explicit Deployment(double headroom)
	{
		std::vector<rt_tenant> list;
		double sum = 0;

		for (int i = 0; i < 84; i++)
			sum += pow(i + 1, -1.2);
		for (int i = 0; i < 84; i++) {
			double rate = 1080 * pow(i + 1, -1.2) / sum;

			rates.push_back(rate);
			list.push_back(tenant(
				name(i),
				(int64_t)(rate * headroom * 1000) + 2000,
				(int64_t)(rate * headroom * 1000) + 2000));
		}
		factor.assign(84, 1.0);
		w = std::make_unique<World>(7, 83,
					    std::make_shared<Limits>(1, list));
		/* The first leader was elected a while ago. */
		for (int i = 0; i < 600; i++)
			w->step();
	}
	static std::string name(int i)
	{
		return "tenant" + std::to_string(i);
	}
	void run(clk_ms ms)
	{
		for (clk_ms end = w->now + ms; w->now < end; w->step())
			for (int i = 0; i < 84; i++)
				for (int n = w->arrivals(rates[i] * factor[i],
							 10);
				     n; n--)
					w->operation(w->below(83), name(i));
	}
	int refused() const
	{
		int n = 0;

		for (const auto &o : w->outcomes)
			n += o.second.refused;
		return n;
	}
};

struct RateLim : testing::Test {
	std::unique_ptr<World> w;

	void start(size_t proxies, int64_t rate_milli, int64_t burst_milli)
	{
		w = std::make_unique<World>(
			3, proxies,
			std::make_shared<Limits>(
				1, std::vector<rt_tenant>{tenant(
					   "t", rate_milli, burst_milli)}));
	}
	void wait(clk_ms ms)
	{
		for (clk_ms end = w->now + ms; w->now < end;)
			w->step();
	}
	/* A load of so many operations a second at one proxy. */
	void load(size_t proxy, double per_s, clk_ms ms)
	{
		double due = 0;

		for (clk_ms end = w->now + ms; w->now < end; w->step())
			for (due += per_s / 100; due >= 1; due--)
				w->operation(proxy, "t");
	}
	Outcome &outcome()
	{
		return w->outcomes["t"];
	}
	/* The share of a proxy, in thousandths of an operation a second. */
	int64_t share(size_t proxy)
	{
		int64_t n = 0;

		rl_client_each(
			w->proxies[proxy].client, w->now,
			[](void *arg, const struct rl_stats *st) {
				*(int64_t *)arg += st->share_milli;
			},
			&n);
		return n;
	}
};

} // namespace

/* Guards against callers that are refused although their tenant is below its
 * limit, and against a load of control that grows with the operations. */
TEST(RateLimDeployment, ServesAllBelowTheirLimits)
{
	Deployment d(2);

	d.run(5000);
	int before = d.refused();
	d.w->asks = 0;
	d.run(20000);
	EXPECT_EQ(0, d.refused() - before);
	EXPECT_LE(d.w->asks / 20, 600);
}

/* Guards against a storm of messages, and against other tenants that pay, when
 * the largest tenant sends 7.5 times its usual load. */
TEST(RateLimDeployment, BoundsATenantAtManyTimesItsLoad)
{
	Deployment d(1.2);

	d.run(5000);
	d.factor[0] = 7.5;
	d.run(5000);
	int before = d.refused() - d.w->outcomes[d.name(0)].refused;
	size_t sent = d.w->outcomes[d.name(0)].sent.size();
	d.w->asks = 0;
	d.run(10000);
	EXPECT_EQ(before, d.refused() - d.w->outcomes[d.name(0)].refused);
	EXPECT_LE(d.w->asks / 10, 900);
	sent = d.w->outcomes[d.name(0)].sent.size() - sent;
	EXPECT_GE((double)sent / 10, d.rates[0] * 1.2 * 0.9);
	EXPECT_LE((double)sent / 10, d.rates[0] * 1.2 * 1.1 + 10);
}

/* Guards against callers that are refused long after a change of the leader:
 * for RL_SHARE_MS the new one has half of each rate, the other half is shares.
 */
TEST(RateLimDeployment, ServesSoonAfterALeaderChange)
{
	Deployment d(2);

	d.run(5000);
	d.w->depose();
	d.run(700);
	d.w->elect();
	d.run(1000);
	int before = d.refused();
	d.run(4000);
	EXPECT_LE(d.refused() - before, 1080 * 4 / 20);
	before = d.refused();
	d.run(5000);
	EXPECT_EQ(0, d.refused() - before);
}

/* Guards against a tenant with a single caller that is refused because its
 * operation comes through a proxy that holds no tokens. */
TEST_F(RateLim, ServesASmallTenantThroughAnyProxy)
{
	start(83, 2000, 2000);
	wait(3000);
	for (int i = 0; i < 60; i++) {
		w->operation(w->below(83), "t");
		wait(550);
	}
	EXPECT_EQ(0, outcome().refused);
	EXPECT_LE(outcome().longest_wait, 40);
}

/* Guards against a tenant that is refused for more than a second after its
 * callers have moved to another proxy. */
TEST_F(RateLim, FollowsATenantThatMoves)
{
	start(10, 200000, 200000);
	wait(6000);
	load(0, 180, 5000);
	for (size_t to = 1; to < 10; to++) {
		clk_ms moved = w->now;

		load(to, 180, 4000);
		for (clk_ms at : outcome().refused_at)
			EXPECT_LE(at, moved + 1000) << to;
		outcome().refused_at.clear();
	}
}

/* Guards against tenants that are refused at once when the leader is gone, and
 * against shares that are used for longer than they are valid. */
TEST_F(RateLim, SharesServeWithoutALeader)
{
	start(2, 100000, 100000);
	wait(6000);
	load(0, 60, 5000);
	EXPECT_GE(share(0), 25000);
	w->depose();
	clk_ms since = w->now;
	size_t before = outcome().sent.size();
	load(0, 60, 3000);
	/* Half of its demand by the share, for three seconds. */
	EXPECT_GE(outcome().sent.size() - before, 60u);
	load(0, 60, 4000);
	EXPECT_EQ(0, share(0));
	EXPECT_LE(outcome().sent.back(), since + RL_SHARE_MS);
	EXPECT_GT(outcome().refused, 0);
	w->elect();
	load(0, 60, 3000);
	before = outcome().sent.size();
	load(0, 60, 2000);
	EXPECT_GE(outcome().sent.size() - before, 90u);
}

/* Guards against an ask for each operation of a steady load. */
TEST_F(RateLim, AsksInAdvanceForASteadyLoad)
{
	start(1, 200000, 200000);
	wait(6000);
	load(0, 100, 3000);
	w->asks = 0;
	load(0, 100, 3000);
	EXPECT_LE(w->asks, 30);
	EXPECT_EQ(0, outcome().refused);
}

/* Guards against asks for a tenant that the leader has nothing for. */
TEST_F(RateLim, RefusesWithoutAskingAtTheCap)
{
	start(1, 2000, 0);
	wait(6000);
	load(0, 200, 3000);
	w->asks = 0;
	load(0, 200, 3000);
	EXPECT_LE(w->asks, 20);
	EXPECT_GT(outcome().refused, 500);
}
