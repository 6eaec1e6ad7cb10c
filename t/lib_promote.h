#ifndef LIB_PROMOTE_H
#define LIB_PROMOTE_H

/* Fixture of the tests of promote.h. */

#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C" {
#include "promote.h"
}

/* A group of three members and the control leader of term 7. requests holds the
 * last request to each member, calls the calls to the promoter, and recorded
 * the members recorded as primary. */
struct Promote : testing::Test {
	struct state *state = state_new();
	struct pro *pro = pro_new(state);
	clk_ms now = 100000;
	std::map<std::string, pro_action> requests; /* by member id */
	std::vector<pro_action> calls;
	std::vector<std::string> recorded;
	int proxy_count = 6;

	void SetUp() override
	{
		pro_start_leading(pro, 7, now);
		announce_member("a", true);
		announce_member("b", false);
		announce_member("c", false);
		add_proxies(proxy_count);
	}

	void TearDown() override
	{
		pro_free(pro);
		state_free(state);
	}

	void apply(struct buf *cmd)
	{
		const struct state_request_result *done;
		struct blob b = {buf_data(cmd), buf_len(cmd)};

		ASSERT_EQ(RES_OK, state_apply(state, &b, &done, NULL));
		buf_free(cmd);
	}

	/* The address is "10.0.0.1:" and a port for each first letter, so that
	 * "b2" succeeds "b" at its address. */
	void announce_member(const char *id, bool primary, bool leaving = false,
			     int64_t incarnation = 0)
	{
		struct backend_info b = {};
		struct buf cmd = BUF_INIT;

		strcpy(b.id, id);
		strcpy(b.group, "orders");
		snprintf(b.addr, ADDR_LEN, "10.0.0.1:%d", id[0]);
		b.incarnation = incarnation;
		b.announced_primary = primary;
		b.leaving = leaving;
		state_cmd_backend(&cmd, &b);
		apply(&cmd);
	}

	/* The member has said that it ended, unless it was removed since it was
	 * silent. Its log moves to the next one if it was leaving. */
	void remove_member(const char *id, bool leaving = false,
			   bool silent = false)
	{
		struct backend_info b = {};
		struct buf cmd = BUF_INIT;

		strcpy(b.id, id);
		b.leaving = leaving;
		b.announcements_stopped = silent;
		state_cmd_backend(&cmd, &b);
		apply(&cmd);
	}

	void add_proxies(int n)
	{
		for (int i = 0; i < n; i++) {
			struct proxy_info p = {};
			struct buf cmd = BUF_INIT;

			snprintf(p.id, ID_LEN, "p%d", i);
			strcpy(p.addr, "10.0.0.2:1");
			p.alive = true;
			state_cmd_proxy(&cmd, &p);
			apply(&cmd);
		}
	}

	void record(const pro_action &a)
	{
		struct group_info g = {};
		struct buf cmd = BUF_INIT;

		strcpy(g.name, a.group);
		strcpy(g.primary, a.member);
		g.term = a.term;
		g.member_term = a.member_term;
		g.member_term_start = a.member_term_start;
		strcpy(g.late_call, a.late_call);
		state_cmd_group(&cmd, &g);
		apply(&cmd);
		recorded.push_back(a.member);
	}

	void record_change(const pro_action &a)
	{
		struct group_info g = {};
		struct buf cmd = BUF_INIT;

		strcpy(g.name, a.group);
		strcpy(g.candidate, a.member);
		g.changing_primary = true;
		g.change_term = a.term;
		strcpy(g.late_call, a.late_call);
		state_cmd_group(&cmd, &g);
		apply(&cmd);
	}

	void record_orders(const pro_action &a)
	{
		struct group_orders o = {};
		struct buf cmd = BUF_INIT;

		strcpy(o.id, a.group);
		o.stage = a.stage;
		state_cmd_orders(&cmd, &o);
		apply(&cmd);
	}

	void record_ended(const pro_action &a)
	{
		struct buf cmd = BUF_INIT;

		state_cmd_ended_log(&cmd, &a.ended_log);
		apply(&cmd);
	}

	void take_actions()
	{
		struct pro_action a;

		while (pro_next_action(pro, &a)) {
			if (a.type == PRO_CALL_PROMOTER)
				calls.push_back(a);
			else if (a.type == PRO_RECORD_PRIMARY)
				record(a);
			else if (a.type == PRO_RECORD_CHANGE)
				record_change(a);
			else if (a.type == PRO_RECORD_ENDED)
				record_ended(a);
			else if (a.type == PRO_RECORD_ORDERS)
				record_orders(a);
			else
				requests[a.member] = a;
		}
	}

	/* The first proxies ask control, and know the newest record of the
	 * group. */
	void grant_leases(int nproxies)
	{
		for (int i = 0; i < nproxies; i++)
			pro_on_lease(pro, ("p" + std::to_string(i)).c_str(),
				     state_view_version(state), now);
	}

	void run(clk_ms ms)
	{
		for (clk_ms end = now + ms; now < end; now += 20) {
			pro_tick(pro, now);
			take_actions();
		}
	}

	void suspect(int nproxies, const char *member)
	{
		for (int i = 0; i < nproxies; i++)
			pro_on_suspicion(pro, "orders", member,
					 ("p" + std::to_string(i)).c_str(),
					 now);
	}

	/* All proxies report "a" as unreachable, and it does not answer
	 * control, so the promoter is called for one of the others. */
	void lose_primary(int64_t held_b, int64_t held_c = -1)
	{
		suspect(6, "a");
		run(40);
		answer("b", false, held_b);
		if (held_c >= 0)
			answer("c", false, held_c);
		suspect(6, "a");
		run(PRO_STATUS_TIMEOUT_MS + 80);
	}

	/* One proxy reports "a" as unreachable, and it does not answer control
	 * in time. */
	void find_primary_unresponsive()
	{
		run(300);
		pro_on_primary_answer(pro, "orders", now);
		suspect(1, "a");
		run(40);
		answer("b", false, 12);
		answer("c", false, 10);
		run(PRO_STATUS_TIMEOUT_MS + 60);
	}

	/* The member's status question fails, as when it is silent. */
	void fail(const char *id)
	{
		struct pro_status s = {.reply = PRO_FAILED};

		ASSERT_TRUE(requests.count(id)) << id << " was not asked";
		int64_t number = requests[id].action_id;
		requests.erase(id);
		pro_on_status(pro, number, &s, now);
		take_actions();
	}

	/* Its position is 1.held, whatever its term. */
	void answer(const char *id, bool primary, int64_t held,
		    int64_t term = 1)
	{
		struct pro_status s = {};

		ASSERT_TRUE(requests.count(id)) << id << " was not asked";
		s.primary = primary;
		s.term = term;
		s.received_pos = {1, held};
		int64_t number = requests[id].action_id;
		requests.erase(id);
		pro_on_status(pro, number, &s, now);
		take_actions();
	}
};

#endif
