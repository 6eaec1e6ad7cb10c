#ifndef LIB_PROMOTE_WORLD_H
#define LIB_PROMOTE_WORLD_H

#include "lib_promote.h"

#include <algorithm>
#include <functional>
#include <random>
#include <set>

/*
 * A group of three members with one synchronous replica, a promoter that loses
 * answers and carries calls out late, and control, whose leader may change. The
 * primary commits all the time, each commit for a proxy that reaches it. The
 * proxy acknowledges the commit once another member holds it, if a lease covers
 * the group then. A test may also cut members or proxies off, let members
 * receive nothing, or leave and be succeeded at their address, and let orders
 * be carried out late.
 */
struct PromoteWorld : Promote, testing::WithParamInterface<int> {
	static constexpr clk_ms STEP_MS = 10;
	static constexpr clk_ms LATE_MAX_MS = 12000; /* of the platform */
	static constexpr clk_ms ANNOUNCE_MS = 400;
	/* A member receives as soon as it starts. Control hears of it later, at
	 * the latest after an announcement that got no answer. */
	static constexpr clk_ms REGISTER_MAX_MS = 1100;
	/* Longer than PRO_JOIN_MS: that wait does not stand in for a lease's.
	 */
	static constexpr clk_ms LEASE_MS = 2500;
	static constexpr clk_ms ASK_MS = 200; /* between a proxy's asks */

	struct Member {
		std::string id;
		bool dark = false; /* neither answers nor receives */
		bool cut = false; /* control and some proxies can't reach it */
		bool deaf = false; /* receives nothing */
		bool leaving = false;
		bool ended = false; /* until its successor starts */
		bool leads = false;
		int64_t term = 1;
		int64_t incarnation = 0;
		clk_ms registers_at = 0; /* control hears of it */
		clk_ms called_until = 0; /* a call for it may be carried out */
		std::vector<int> log; /* numbers of commits, rising */

		bool runs() const
		{
			return !dark && !ended;
		}
	};

	/* What a proxy knows of the group, and its lease. */
	struct Proxy {
		std::string id, primary;
		bool cut = false; /* from control */
		int64_t view = 0, term = 0;
		bool covered = false;
		clk_ms lease_until = 0;
	};

	/* A commit that a proxy has not acknowledged yet. */
	struct Open {
		Proxy *proxy;
		std::string member; /* that made it */
		int64_t term; /* of the record that the proxy knew then */
		bool held; /* by another member, too */
	};

	struct Event {
		clk_ms at;
		std::function<void()> run;
	};

	std::mt19937_64 rng{(uint64_t)GetParam()};
	std::vector<Member> members = {{"a"}, {"b"}, {"c"}};
	Member *source = &members[0]; /* replicas receive its log */
	std::vector<Proxy> proxies;
	std::vector<Event> events;
	std::map<int, Open> open; /* by commit */
	std::set<int> acknowledged; /* commits */
	std::vector<int64_t> commit_term{0}; /* by number; the first is 1 */
	int promotions = 0;
	int64_t highest_token = 0;
	int64_t control_term = 7;
	bool promoter_cut = false;
	/* Also members for which a call is under way, which control can't take
	 * back. */
	bool candidates_start_again = false;
	int late_orders = 0; /* one of so many gets no answer and is late */
	/* A commit is only acknowledged if its primary still leads as another
	 * member receives it. */
	bool exact_acknowledgements = false;

	int pick(int n)
	{
		return (int)(rng() % (uint64_t)n);
	}

	void SetUp() override
	{
		pro_use_leases(pro, PRO_LEASED_SYNC, LEASE_MS, 300);
		pro_set_sync_replicas(pro, "orders", 1);
		Promote::SetUp();
		members[0].leads = true;
		for (int i = 0; i < proxy_count; i++)
			proxies.push_back({.id = "p" + std::to_string(i)});
	}

	/* The member with that first letter; see is_current(). */
	Member &member(const std::string &id)
	{
		return members[(size_t)(id[0] - 'a')];
	}

	bool is_current(const std::string &id)
	{
		return member(id).id == id;
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

	/* Prints all members if TRACE is set. */
	void trace(const std::string &event)
	{
		static const bool on = getenv("TRACE");

		if (!on)
			return;
		fprintf(stderr, "%lld %s, %zu acknowledged\n", (long long)now,
			event.c_str(), acknowledged.size());
		for (const Member &m : members)
			fprintf(stderr, "  %s end=%lld.%lld%s%s%s%s%s%s\n",
				m.id.c_str(), (long long)end_of(m).term,
				(long long)end_of(m).number,
				m.leads ? " leads" : "", m.dark ? " dark" : "",
				m.cut ? " cut" : "", m.deaf ? " deaf" : "",
				m.leaving ? " leaving" : "",
				m.ended ? " ended" : "");
	}

	/* Carries out a call of the promoter; returns the HTTP status. */
	int promote(const std::string &id, int64_t token)
	{
		Member &m = member(id);
		int64_t newest = 0;

		if (token < highest_token || !m.runs() || !is_current(id))
			return 409;
		highest_token = token;
		if (m.leads)
			return 200;
		promotions++;
		trace("promote " + id);
		EXPECT_TRUE(std::includes(m.log.begin(), m.log.end(),
					  acknowledged.begin(),
					  acknowledged.end()))
			<< "at " << now << " ms by the promotion of " << id;
		for (Member &x : members) {
			newest = std::max(newest, x.term);
			x.leads = false;
		}
		m.leads = true;
		source = &m;
		m.term = newest + 1;
		for (Member &x : members)
			announce(x);
		return 200;
	}

	/* The member's next announcement, unless it can't be heard. */
	void announce(const Member &m)
	{
		if (m.runs() && !m.cut && now >= m.registers_at)
			announce_member(m.id.c_str(), m.leads, m.leaving,
					m.incarnation);
	}

	void call_promoter(const pro_action &a)
	{
		std::string id = a.member;
		int64_t token = a.promoter_token;
		int64_t number = a.action_id;
		bool late = pick(3) == 0;

		if (late) {
			clk_ms ms = 2000 + pick(LATE_MAX_MS - 2000);

			after(ms, [=] { promote(id, token); });
			member(id).called_until =
				std::max(member(id).called_until, now + ms);
		}
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

	void carry_out(const pro_action &a)
	{
		Member &m = member(a.member);

		if (!m.runs() || !is_current(a.member))
			return;
		if (a.type != PRO_GET_STATUS)
			trace("order " + std::to_string(a.type) + " to " +
			      a.member);
		if (a.type == PRO_STEP_DOWN && a.term > m.term && m.leads) {
			m.leads = false;
			announce(m);
		}
	}

	void answer_failed(const pro_action &a)
	{
		int64_t number = a.action_id;

		after(PRO_STATUS_TIMEOUT_MS - 30, [=] {
			struct pro_status s = {};

			s.reply = PRO_FAILED;
			pro_on_status(pro, number, &s, now);
		});
	}

	/* A command to a member, and its answer. */
	void call_member(const pro_action &a)
	{
		if (late_orders && a.type != PRO_GET_STATUS &&
		    pick(late_orders) == 0) {
			after(2000 + pick(LATE_MAX_MS - 2000),
			      [=] { carry_out(a); });
			answer_failed(a);
			return;
		}
		after(5 + pick(20), [=] {
			Member &m = member(a.member);
			struct pro_status s = {};

			if (!m.runs() || m.cut || !is_current(a.member)) {
				answer_failed(a);
				return;
			}
			carry_out(a);
			s.primary = m.leads;
			s.term = m.term;
			s.received_pos = end_of(m);
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
			case PRO_RECORD_ENDED:
				record_ended(a);
				break;
			case PRO_RECORD_ORDERS:
				record_orders(a);
				break;
			default:
				call_member(a);
			}
		}
	}

	/* The proxies that reach a member. One that is cut off from control is
	 * cut off from some of them, too. */
	bool reaches(const Proxy &p, const Member &m)
	{
		return m.runs() && !(m.cut && &p < &proxies[3]);
	}

	void commit(Member &m)
	{
		int number = (int)commit_term.size();
		Proxy &p = proxies[(size_t)pick((int)proxies.size())];

		m.log.push_back(number);
		commit_term.push_back(m.term);
		if (p.primary == m.id && reaches(p, m))
			open[number] = {&p, m.id, p.term, false};
	}

	/* Asks control for the records and a lease. */
	void ask(Proxy &p)
	{
		const struct group_info *g = state_group(state, "orders");
		clk_ms asked_at = now;

		if (p.cut || !g)
			return;
		pro_on_lease(pro, p.id.c_str(), p.view, now);
		std::string primary = g->primary;
		int64_t term = g->term, view = state_view_version(state);
		bool covered = !g->changing_primary;
		after(10 + pick(30), [=, &p] {
			p.primary = primary;
			p.term = term;
			p.view = std::max(p.view, view);
			p.covered = covered;
			p.lease_until = asked_at + LEASE_MS;
		});
	}

	void acknowledge_commits()
	{
		for (auto it = open.begin(); it != open.end();) {
			const Open &o = it->second;
			const Proxy &p = *o.proxy;

			if (p.term != o.term) {
				it = open.erase(it);
			} else if (o.held && p.covered && now < p.lease_until &&
				   p.primary == o.member) {
				acknowledged.insert(it->first);
				it = open.erase(it);
			} else {
				it++;
			}
		}
	}

	/* The position of the member's last commit. */
	struct pos end_of(const Member &m)
	{
		return {m.log.empty() ? 1 : commit_term[(size_t)m.log.back()],
			(int64_t)m.log.size()};
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
			if (exact_acknowledgements &&
			    (!p.leads ||
			     commit_term[(size_t)p.log[i]] != p.term))
				continue;
			if (open.count(p.log[i]))
				open[p.log[i]].held = true;
		}
		m.term = std::max(m.term, p.term);
	}

	void replicate()
	{
		Member *p = source;

		if (!p->runs())
			return;
		if (p->leads)
			commit(*p);
		for (Member &m : members)
			if (&m != p && m.runs() && !m.deaf && pick(4))
				receive(m, *p);
	}

	void report_primary(const Member &m)
	{
		for (const Proxy &p : proxies) {
			if (p.cut)
				continue;
			if (reaches(p, m))
				pro_on_primary_answer(pro, "orders", now);
			else
				pro_on_suspicion(pro, "orders", m.id.c_str(),
						 p.id.c_str(), now);
		}
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
		acknowledge_commits();
		for (size_t i = 0; i < proxies.size(); i++)
			if (now % ASK_MS == (clk_ms)i * STEP_MS)
				ask(proxies[i]);
		if (now % 400 == 0 && primary())
			report_primary(*primary());
		if (now % ANNOUNCE_MS == 0)
			for (Member &m : members)
				announce(m);
		pro_tick(pro, now);
		take_all_actions();
	}

	/* Lets a member, if any, be in a state for some time, from now on. */
	void disturb(Member *m, bool Member::*flag, clk_ms ms)
	{
		if (!m || m->*flag)
			return;
		m->*flag = true;
		after(ms, [=] { m->*flag = false; });
	}

	/* A replica that runs and is not leaving, or none. */
	Member *any_replica()
	{
		Member &m = members[(size_t)pick((int)members.size())];

		return m.leads || m.leaving || !m.runs() ? nullptr : &m;
	}

	/* A primary, and commits that are acknowledged. */
	void expect_service()
	{
		run_for(30000);
		ASSERT_NE(nullptr, primary());
		size_t before = acknowledged.size();
		run_for(1000);
		EXPECT_GT(acknowledged.size(), before) << "commits hang";
	}

	/* The member exits; it says so if it can be heard. */
	void end(Member &m)
	{
		if (!m.dark && !m.cut)
			remove_member(m.id.c_str(), true);
		m.ended = true;
		m.leads = false;
		trace("end of " + m.id);
	}

	/* Its successor starts at its address, with its log. */
	void succeed(Member &m)
	{
		m.ended = m.leaving = false;
		m.incarnation++;
		m.registers_at = now + pick(REGISTER_MAX_MS);
		m.id = m.id.substr(0, 1) + std::to_string(m.incarnation);
		trace("start of " + m.id);
		after(m.registers_at - now, [this, &m] { announce(m); });
	}

	/* A replica that was dark starts again under its id, and holds nothing
	 * of before. */
	void start_again(Member &m)
	{
		m.dark = false;
		if (m.leads || m.ended || source == &m ||
		    (now < m.called_until && !candidates_start_again))
			return;
		m.log.clear();
		m.term = 1;
		m.incarnation++;
		m.registers_at = now + pick(REGISTER_MAX_MS);
		trace("start again of " + m.id);
		after(m.registers_at - now, [this, &m] { announce(m); });
		disturb(&m, &Member::deaf, 1 + pick(2000));
	}

	/* A proxy that control does not hear, but that goes on. */
	void cut_a_proxy(clk_ms ms)
	{
		Proxy &p = proxies[(size_t)pick((int)proxies.size())];

		p.cut = true;
		after(ms, [&p] { p.cut = false; });
	}

	void run_for(clk_ms ms)
	{
		for (clk_ms end = now + ms; now < end && !HasFailure();)
			step();
	}
};

/* Seeds of a random test: 1 to 40, or as many as SEEDS says. */
inline int promote_seeds()
{
	const char *n = getenv("SEEDS");

	return n ? atoi(n) : 40;
}

#endif
