#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

extern "C" {
#include "quota.h"
#include "rng.h"
}

/* Simulates proxies and successive leaders. The links between them delay
 * messages and break, which loses the messages on the way. */
struct Quota {
	static constexpr int GRANT_MS = 2000, CUSTOMERS = 3;
	struct Message {
		clk_ms at, ask_sent;
		int connection;
		msg_ask ask;
		quota_demand demand[CUSTOMERS];
		msg_answer answer;
		std::vector<quota_grant> grants;
	};
	struct Proxy {
		proxy_info info = {};
		struct quota_client *client = quota_client_new();
		int64_t newest_answer = 0, seq = 0;
		int connection = 0;
		clk_ms next_ask = 0, cut_until = 0, last_contact = 0;
		int64_t demand[CUSTOMERS] = {};
		std::deque<Message> asks, answers;
	};
	std::vector<Proxy> proxies;
	struct quota_server *server = quota_server_new(GRANT_MS);
	struct plan plans[CUSTOMERS] = {};
	struct customer customers[CUSTOMERS] = {};
	struct lists lists = {};
	std::vector<std::pair<clk_ms, int64_t>> limits[CUSTOMERS];
	struct rng *rng;
	clk_ms now = 100000, leader_ready_at = 0;
	int64_t answers = 0;
	clk_ms delay = 10;
	double loss = 0;

	Quota(int n, uint64_t seed) : proxies(n), rng(rng_new(seed))
	{
		for (int i = 0; i < n; i++) {
			snprintf(proxies[i].info.id, ID_LEN, "p%d", i);
			snprintf(proxies[i].info.zone, ID_LEN, "z%d", i % 3);
			proxies[i].next_ask = now + 50 * i;
		}
		for (int c = 0; c < CUSTOMERS; c++) {
			snprintf(customers[c].name, ID_LEN, "c%d", c);
			customers[c].plan_index = c;
			set_limit(c, 10 - 3 * c);
		}
		lists.plans = plans;
		lists.nplans = CUSTOMERS;
		lists.customers = customers;
		lists.ncustomers = CUSTOMERS;
		change_leader();
	}
	~Quota()
	{
		for (auto &p : proxies)
			quota_client_free(p.client);
		quota_server_free(server);
		rng_free(rng);
	}
	int64_t random_below(int64_t n)
	{
		return (int64_t)rng_uniform_int(rng, (uint64_t)n);
	}
	void set_limit(int c, int64_t units)
	{
		plans[c].connections = units;
		lists.version++;
		limits[c].push_back({now, units});
	}
	void change_leader()
	{
		quota_server_start_term(server, now);
		leader_ready_at = now;
		answers += 1000000;
	}
	int64_t units(int p, int c)
	{
		return quota_client_units(proxies[p].client, customers[c].name,
					  now);
	}
	void reconnect(Proxy &p)
	{
		p.asks.clear();
		p.answers.clear();
		p.connection++;
		p.newest_answer = 0;
	}
	void ask(int i)
	{
		Proxy &p = proxies[i];
		Message m = {};

		m.ask_sent = now;
		m.at = std::max(now + 1 + random_below(delay),
				p.asks.empty() ? 0 : p.asks.back().at);
		m.connection = p.connection;
		m.ask.seq = ++p.seq;
		m.ask.last_answer_seq = p.newest_answer;
		for (int c = 0; c < CUSTOMERS; c++) {
			quota_demand &d = m.demand[c];
			const char *name = customers[c].name;

			strcpy(d.customer, name);
			d.held_units =
				quota_client_granted_units(p.client, name, now);
			d.in_use = std::min(units(i, c), p.demand[c]);
			d.queued = p.demand[c] - d.in_use;
		}
		p.asks.push_back(m);
	}
	void answer_ask(Proxy &p, Message m)
	{
		std::vector<proxy_info> roster;

		for (auto &x : proxies)
			roster.push_back(x.info);
		m.ask.demands = m.demand;
		m.ask.ndemands = CUSTOMERS;
		m.answer.answer_seq = ++answers;
		quota_server_handle_ask(server, p.info.id, &m.ask, &lists,
					roster.data(), roster.size(), now,
					&m.answer);
		m.grants.assign(m.answer.grants,
				m.answer.grants + m.answer.ngrants);
		m.at = std::max(now + 1 + random_below(delay),
				p.answers.empty() ? 0 : p.answers.back().at);
		p.answers.push_back(m);
	}
	void take_answer(Proxy &p, Message &m)
	{
		m.answer.grants = m.grants.data();
		quota_client_apply_answer(p.client, &m.answer, m.ask_sent);
		p.newest_answer =
			std::max(p.newest_answer, m.answer.answer_seq);
		if (m.answer.grant_ms)
			p.last_contact = m.ask_sent;
	}
	void step()
	{
		now += 10;
		for (size_t i = 0; i < proxies.size(); i++) {
			Proxy &p = proxies[i];

			if (loss > 0 && rng_uniform_unit(rng) < loss)
				reconnect(p);
			if (now < p.cut_until) {
				reconnect(p);
				continue;
			}
			if (now >= p.next_ask) {
				p.next_ask = now + 400;
				ask((int)i);
			}
			while (!p.asks.empty() && p.asks.front().at <= now) {
				Message m = p.asks.front();

				p.asks.pop_front();
				if (now >= leader_ready_at)
					answer_ask(p, m);
			}
			while (!p.answers.empty() &&
			       p.answers.front().at <= now) {
				take_answer(p, p.answers.front());
				p.answers.pop_front();
			}
		}
	}
	/* Highest limit in effect since the oldest answer that a unit in use
	 * now may come from, as part of a grant or of a floor. */
	int64_t highest_valid_limit(int c)
	{
		clk_ms since = now - GRANT_MS;
		int64_t max = limits[c].back().second;

		for (auto &p : proxies)
			since = std::min(since, p.last_contact);
		for (size_t i = 0; i < limits[c].size(); i++)
			if (i + 1 == limits[c].size() ||
			    limits[c][i + 1].first >= since)
				max = std::max(max, limits[c][i].second);
		return max;
	}
	int64_t total_units(int c)
	{
		int64_t n = 0;

		for (size_t i = 0; i < proxies.size(); i++)
			n += units((int)i, c);
		return n;
	}
};

class QuotaSeeds : public testing::TestWithParam<int>
{
};

/* Guards against a customer that uses more than its plan allows while messages
 * are lost or late, proxies lose contact and reconnect, and leaders and limits
 * change. */
TEST_P(QuotaSeeds, NeverMoreUnitsThanTheLimit)
{
	Quota q(3 + GetParam() % 4, (uint64_t)GetParam());
	bool limit_reached = false;

	q.delay = GetParam() % 2 ? 300 : 1800;
	q.loss = 0.002;
	for (int i = 0; i < 20000 && !HasFailure(); i++) {
		auto &p = q.proxies[q.random_below((int64_t)q.proxies.size())];

		if (q.random_below(100) == 0)
			p.demand[q.random_below(q.CUSTOMERS)] =
				q.random_below(16);
		if (q.random_below(600) == 0)
			p.cut_until = q.now + q.random_below(12000);
		if (q.random_below(1000) == 0)
			q.set_limit((int)q.random_below(q.CUSTOMERS),
				    1 + q.random_below(12));
		if (q.random_below(500) == 0) {
			q.now += q.random_below(2000);
			q.change_leader();
		}
		q.step();
		for (int c = 0; c < q.CUSTOMERS; c++) {
			ASSERT_LE(q.total_units(c), q.highest_valid_limit(c))
				<< "seed " << GetParam() << " step " << i;
			limit_reached |=
				q.total_units(c) > 1 &&
				q.total_units(c) == q.limits[c].back().second;
		}
	}
	EXPECT_TRUE(limit_reached) << "no limit was ever used up";
}

static int quota_seed_count()
{
	const char *n = getenv("SEEDS");

	return n ? atoi(n) : 20;
}

INSTANTIATE_TEST_SUITE_P(Seeds, QuotaSeeds,
			 testing::Range(1, 1 + quota_seed_count()));

/* Guards against unused units: the floors of idle proxies must be granted to
 * proxies with demand. */
TEST(Quota, OneProxyWithDemandUsesTheWholeLimit)
{
	Quota q(5, 1);

	q.proxies[2].demand[0] = 30;
	for (int i = 0; i < 600; i++)
		q.step();
	EXPECT_EQ(10, q.units(2, 0));
	q.proxies[0].demand[0] = 30;
	for (int i = 0; i < 400; i++)
		q.step();
	EXPECT_EQ(5, q.units(0, 0));
	EXPECT_EQ(5, q.units(2, 0));
}

/* Guards against a partition that leaves a proxy without any units, and against
 * a proxy without contact that uses its floor while grants of these units to
 * other proxies are still valid. */
TEST(Quota, ProxyWithoutContactUsesItsFloorAfterTwoGrants)
{
	Quota q(3, 3);
	std::vector<proxy_info> roster;
	int64_t total = 0;

	for (auto &p : q.proxies) {
		roster.push_back(p.info);
		p.demand[0] = 10;
	}
	for (int i = 0; i < 600; i++)
		q.step();
	for (auto &p : q.proxies)
		total += quota_floor("c0", 10, p.info.id, roster.data(), 3);
	EXPECT_EQ(5, total);
	auto &cut = q.proxies[1];
	cut.cut_until = INT64_MAX;
	while (q.now < cut.last_contact + 2 * q.GRANT_MS) {
		EXPECT_TRUE(q.now < cut.last_contact + q.GRANT_MS ||
			    !q.units(1, 0));
		q.step();
	}
	int64_t floor = quota_floor("c0", 10, cut.info.id, roster.data(), 3);
	EXPECT_EQ(floor, q.units(1, 0));
	for (int i = 0; i < 300; i++)
		q.step();
	EXPECT_EQ(10, q.total_units(0)) << "the others use the rest";
}

/* Guards against a change of leader that takes units from a busy proxy. */
TEST(Quota, NewLeaderRenewsWhatIsHeld)
{
	Quota q(3, 5);

	q.proxies[0].demand[1] = 7;
	for (int i = 0; i < 600; i++)
		q.step();
	EXPECT_EQ(7, q.units(0, 1));
	q.now += 700;
	q.change_leader();
	for (int i = 0; i < 400; i++) {
		q.step();
		EXPECT_GE(q.units(0, 1), 3) << i;
	}
	EXPECT_EQ(7, q.units(0, 1));
}

/* Guards against renewing units that were granted to another proxy while the
 * ask that reports them was in transit. Only an ask that was sent after an
 * answer of the new leader is used. */
TEST(Quota, NewLeaderRenewsOnlyWhatAnAskOfItsReignReports)
{
	Quota q(3, 6);
	Quota::Message m = {};

	strcpy(m.demand[0].customer, "c0");
	m.demand[0].in_use = m.demand[0].held_units = 8;
	m.ask.last_answer_seq = q.answers;
	q.change_leader();
	q.answer_ask(q.proxies[0], m);
	EXPECT_EQ(0, q.proxies[0].answers.back().answer.grant_ms);
	m.ask.last_answer_seq = q.answers;
	q.answer_ask(q.proxies[0], m);
	EXPECT_EQ(q.GRANT_MS, q.proxies[0].answers.back().answer.grant_ms);
	EXPECT_GT(q.proxies[0].answers.back().grants[0].units, 0);
}
