#include "lib_promote_world.h"

struct PromoteRandom : PromoteWorld {
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
	expect_service();
	EXPECT_GT(promotions, 0);
}

INSTANTIATE_TEST_SUITE_P(Seeds, PromoteRandom,
			 testing::Range(1, 1 + promote_seeds()));
