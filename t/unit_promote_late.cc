#include "lib_promote.h"

#include <algorithm>
#include <functional>
#include <random>

/*
 * A group of three members with one synchronous replica, a promoter that loses
 * answers and carries calls out late, and control, whose leader may change. The
 * primary commits all the time; a commit is acknowledged once another member
 * holds it.
 */
struct PromoteRandom : Promote, testing::WithParamInterface<int> {
	static constexpr clk_ms STEP_MS = 10;
	static constexpr clk_ms LATE_MAX_MS = 12000; /* of the platform */

	struct Member {
		std::string id;
		bool dark = false;
		bool leads = false;
		bool paused = false;
		int64_t term = 1;
		std::vector<int> log; /* numbers of commits, rising */
	};

	struct Event {
		clk_ms at;
		std::function<void()> run;
	};

	std::mt19937_64 rng{(uint64_t)GetParam()};
	std::vector<Member> members = {{"a"}, {"b"}, {"c"}};
	Member *source = &members[0]; /* replicas receive its log */
	std::vector<Event> events;
	std::vector<int> acknowledged; /* commits, rising */
	int commits = 0;
	int promotions = 0;
	int64_t highest_token = 0;
	int64_t control_term = 7;
	bool promoter_cut = false;

	int pick(int n)
	{
		return (int)(rng() % (uint64_t)n);
	}

	void SetUp() override
	{
		pro_set_sync_replicas(pro, "orders", 1);
		Promote::SetUp();
		members[0].leads = true;
	}

	Member &member(const std::string &id)
	{
		return members[(size_t)(id[0] - 'a')];
	}

	Member *primary()
	{
		for (Member &m : members)
			if (m.leads)
				return &m;
		return nullptr;
	}

	void after(clk_ms ms, std::function<void()> f)
	{
		events.push_back({now + ms, std::move(f)});
	}

	/* Carries out a call of the promoter; returns the HTTP status. */
	int promote(const std::string &id, int64_t token)
	{
		Member &m = member(id);
		int64_t newest = 0;

		if (token < highest_token || m.dark)
			return 409;
		highest_token = token;
		if (m.leads)
			return 200;
		promotions++;
		EXPECT_TRUE(std::includes(m.log.begin(), m.log.end(),
					  acknowledged.begin(),
					  acknowledged.end()))
			<< "at " << now << " ms by the promotion of " << id;
		for (Member &x : members) {
			newest = std::max(newest, x.term);
			x.leads = x.paused = false;
		}
		m.leads = true;
		source = &m;
		m.term = newest + 1;
		for (Member &x : members)
			announce_member(x.id.c_str(), x.leads);
		return 200;
	}

	void call_promoter(const pro_action &a)
	{
		std::string id = a.member;
		int64_t token = a.promoter_token;
		int64_t number = a.action_id;
		bool late = pick(3) == 0;

		if (late)
			after(2000 + pick(LATE_MAX_MS - 2000),
			      [=] { promote(id, token); });
		if (late || promoter_cut || pick(4) == 0) {
			/* No answer; some of these calls are carried out. */
			if (!late && !promoter_cut && pick(2))
				after(10, [=] { promote(id, token); });
			after(PRO_CALL_TIMEOUT_MS, [=] {
				pro_on_promoter_reply(pro, number, 0, now);
			});
			return;
		}
		after(10, [=] {
			int status = promote(id, token);

			pro_on_promoter_reply(pro, number, status, now);
		});
	}

	/* A command to a member, and its answer. */
	void call_member(const pro_action &a)
	{
		after(5 + pick(20), [=] {
			Member &m = member(a.member);
			struct pro_status s = {};

			if (m.dark) {
				s.reply = PRO_FAILED;
				after(PRO_STATUS_TIMEOUT_MS - 30, [=] {
					pro_on_status(pro, a.action_id, &s,
						      now);
				});
				return;
			}
			if (a.type == PRO_PAUSE && !m.leads && a.term > m.term)
				m.paused = true;
			if (a.type == PRO_RESUME)
				m.paused = false;
			if (a.type == PRO_STEP_DOWN && a.term > m.term)
				m.leads = false;
			s.primary = m.leads;
			s.term = m.term;
			s.received_pos = {m.term, (int64_t)m.log.size()};
			pro_on_status(pro, a.action_id, &s, now);
		});
	}

	void take_all_actions()
	{
		struct pro_action a;

		while (pro_next_action(pro, &a)) {
			switch (a.type) {
			case PRO_CALL_PROMOTER:
				call_promoter(a);
				break;
			case PRO_RECORD_PRIMARY:
				record(a);
				break;
			case PRO_RECORD_CHANGE:
				record_change(a);
				break;
			default:
				call_member(a);
			}
		}
	}

	/* The replica receives a part of what it lacks. */
	void receive(Member &m, const Member &p)
	{
		size_t common = std::min(m.log.size(), p.log.size());
		size_t upto;

		while (common && m.log[common - 1] != p.log[common - 1])
			common--;
		m.log.resize(common);
		upto = p.log.size() -
		       std::min(p.log.size() - common, (size_t)pick(4));
		for (size_t i = common; i < upto; i++) {
			m.log.push_back(p.log[i]);
			if (acknowledged.empty() ||
			    acknowledged.back() < p.log[i])
				acknowledged.push_back(p.log[i]);
		}
		m.term = std::max(m.term, p.term);
	}

	void replicate()
	{
		Member *p = source;

		if (p->dark)
			return;
		if (p->leads)
			p->log.push_back(++commits);
		for (Member &m : members)
			if (&m != p && !m.dark && !m.paused && pick(4))
				receive(m, *p);
	}

	void step()
	{
		std::vector<Event> due;

		now += STEP_MS;
		for (size_t i = 0; i < events.size();)
			if (events[i].at <= now) {
				due.push_back(events[i]);
				events.erase(events.begin() + (long)i);
			} else {
				i++;
			}
		for (Event &e : due)
			e.run();
		replicate();
		if (now % 400 == 0 && primary()) {
			if (primary()->dark)
				suspect(6, primary()->id.c_str());
			else
				pro_on_primary_answer(pro, "orders", now);
		}
		pro_tick(pro, now);
		take_all_actions();
	}

	void run_for(clk_ms ms)
	{
		for (clk_ms end = now + ms; now < end && !HasFailure();)
			step();
	}
};

/* Guards against commits that are acknowledged and then lost, because a call to
 * the promoter is carried out after control has changed its mind. */
TEST_P(PromoteRandom, NoAcknowledgedCommitIsLost)
{
	run_for(1000);
	for (int i = 0; i < 20 && !HasFailure(); i++) {
		Member *p = primary();

		promoter_cut = pick(2);
		if (p)
			p->dark = true;
		run_for(500 + pick(4000));
		if (p)
			p->dark = false;
		run_for(pick(4000));
		promoter_cut = false;
		if (pick(3) == 0)
			pro_start_leading(pro, ++control_term, now);
		run_for(pick(6000));
	}
	run_for(30000);
	ASSERT_NE(nullptr, primary());
	size_t before = acknowledged.size();
	run_for(1000);
	EXPECT_GT(acknowledged.size(), before) << "commits hang";
	for (Member &m : members)
		EXPECT_FALSE(m.paused) << m.id;
	EXPECT_GT(promotions, 0);
}

static int promote_seeds()
{
	const char *n = getenv("SEEDS");

	return n ? atoi(n) : 40;
}

INSTANTIATE_TEST_SUITE_P(Seeds, PromoteRandom,
			 testing::Range(1, 1 + promote_seeds()));
