#include "lib_promote_world.h"

/*
 * Random troubles that overlap. No promotion may lose an acknowledged commit,
 * and in the end there is service again. Each test adds one class of trouble to
 * primaries that fail or are cut off from control.
 */
struct PromoteTroubles : PromoteWorld {
	static constexpr int ROUNDS = 12;
	/* On the platform an address is not used again before. */
	static constexpr clk_ms ADDR_REUSE_MS = 2000;

	PromoteTroubles()
	{
		exact_acknowledgements = true;
	}

	/* Draws one number after the other: in an argument list the order would
	 * be up to the compiler. */
	void disturb_for_long(Member *m, bool Member::*flag)
	{
		disturb(m, flag, 500 + pick(7000));
	}

	/* The primary fails, or is cut off from control and some proxies. */
	void lose_the_primary()
	{
		bool Member::*flag = pick(3) ? &Member::dark : &Member::cut;

		disturb_for_long(primary(), flag);
	}

	/* A replica receives nothing for a while. */
	void hinder_a_replica()
	{
		disturb_for_long(any_replica(), &Member::deaf);
	}

	void lose_the_next_primary()
	{
		Member *before = primary();

		for (int i = 0; i < 500 && primary() == before; i++)
			run_for(10);
		run_for(pick(1000));
		if (primary() != before)
			lose_the_primary();
	}

	/* A member leaves, ends, and its successor starts with its log, at any
	 * time later. */
	void replace_one()
	{
		Member &m = members[(size_t)pick(3)];
		clk_ms ends_after = 1000 + pick(6000);
		clk_ms starts_after =
			ADDR_REUSE_MS + pick(pick(2) ? 4000 : 14000);

		if (m.leaving || m.ended)
			return;
		m.leaving = true;
		announce(m);
		after(ends_after, [this, &m, starts_after] {
			end(m);
			after(starts_after, [this, &m] { succeed(m); });
		});
	}

	void change_control_leader()
	{
		if (pick(4) == 0)
			pro_start_leading(pro, ++control_term, now);
	}

	template <class F> void play(F trouble)
	{
		run_for(1000);
		for (int i = 0; i < ROUNDS && !HasFailure(); i++) {
			trouble();
			run_for(pick(2500));
			change_control_leader();
			lose_the_primary();
			if (pick(2))
				lose_the_next_primary();
			run_for(pick(4000));
			change_control_leader();
			run_for(pick(10000));
		}
		expect_service();
		/* Caution may leave a group to the return of its primaries. */
		EXPECT_TRUE(promotions > 0 || late_orders);
	}
};

/* Guards against a member that lacks part of the log and is promoted for it
 * being "kept", or for a higher term: replicas receive nothing for a while, and
 * the next primary fails, too (review/10). */
TEST_P(PromoteTroubles, ReplicasThatReceiveNothing)
{
	play([&] { hinder_a_replica(); });
}

/* Guards against a member that is promoted for not leaving, though it lacks
 * what a leaving one holds, and against a leaving primary that hands over to
 * nobody (review/6). */
TEST_P(PromoteTroubles, MembersThatLeave)
{
	play([&] {
		Member *m = &members[(size_t)pick(3)];

		hinder_a_replica();
		if (m->leaving)
			return;
		m->leaving = true;
		announce(*m);
		after(2000 + pick(7000), [=] {
			m->leaving = false;
			m->incarnation++;
		});
	});
}

/* Guards against an ended member whose log is forgotten, and against a
 * successor that receives while the other replica is paused (review/7). */
TEST_P(PromoteTroubles, SuccessorsAtTheirAddress)
{
	play([&] {
		hinder_a_replica();
		replace_one();
	});
}

/* Guards against a successor that receives what is acknowledged during a change
 * of primary: two members are replaced at overlapping times, control may not
 * hear all proxies, and its leader changes (review/13). */
TEST_P(PromoteTroubles, TwoSuccessorsAndProxiesThatAreCutOff)
{
	play([&] {
		replace_one();
		run_for(pick(3000));
		replace_one();
		run_for(pick(8000));
		change_control_leader();
		for (int i = pick(5); i > 0; i--)
			cut_a_proxy(2000 + pick(5000));
		hinder_a_replica();
	});
}

struct PromoteRestarts : PromoteTroubles {
	void play_restarts()
	{
		play([&] {
			hinder_a_replica();
			run_for(pick(2000));
			Member *m = any_replica();
			clk_ms ms = 200 + pick(2000);

			if (!m)
				return;
			m->dark = true;
			after(ms, [this, m] { start_again(*m); });
			run_for(pick(3000));
		});
	}
};

/* Guards against an empty log that counts as one that holds all there was:
 * replicas start again under their ids, with nothing of before (review/14). */
TEST_P(PromoteRestarts, ReplicasThatStartAgainWithNothing)
{
	play_restarts();
}

/* The same for a member that is promoted by a call which was made before it
 * started again. */
TEST_P(PromoteRestarts, CandidatesThatStartAgainWithNothing)
{
	candidates_start_again = true;
	play_restarts();
}

INSTANTIATE_TEST_SUITE_P(Seeds, PromoteRestarts,
			 testing::Range(1, 1 + promote_seeds()));

/* Guards against a change that relies on orders to members (review/8). */
TEST_P(PromoteTroubles, OrdersCarriedOutLate)
{
	late_orders = 3;
	play([&] { hinder_a_replica(); });
}

/* All of these at once. */
TEST_P(PromoteTroubles, AllTogether)
{
	late_orders = 6;
	play([&] {
		hinder_a_replica();
		promoter_cut = pick(3) == 0;
		replace_one();
		cut_a_proxy(500 + pick(5000));
		run_for(pick(2000));
		promoter_cut = false;
	});
}

INSTANTIATE_TEST_SUITE_P(Seeds, PromoteTroubles,
			 testing::Range(1, 1 + promote_seeds()));
