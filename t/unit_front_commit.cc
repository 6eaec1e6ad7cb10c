#include "lib_front.h"

/*
 * A proxy whose promoter deposes the old primary, and a group with synchronous
 * replicas. m0 is the primary, and answers each statement with success.
 */
struct FrontCommit : FrontKey {
	void SetUp() override
	{
		FrontKey::SetUp();
		set.key_lease_ms = 0;
		publish({}, false);
		f->routes->groups[0].sync_replicas = 1;
		lease(true);
		ASSERT_NE(std::string::npos, open("orders u1").find("READY I"));
	}

	struct front_group *group()
	{
		return front_find_group(f, "g1");
	}

	void lease(bool covered)
	{
		group()->lease_until = covered ? clk_now() + 60000 : 0;
	}

	/* Sends a statement whose answer the member holds back. */
	void start(const std::string &statement, const std::string &text)
	{
		m.hold = text;
		send("QUERY 9 " + statement);
		ASSERT_TRUE(run_until([&] { return m.held; }));
	}

	void let_the_member_answer()
	{
		m.hold.clear();
		m.held->answer("QUERY");
		m.held = nullptr;
	}

	/* True if an answer comes within a time in which one would have come.
	 */
	bool answered_soon()
	{
		clk_ms end = clk_now() + 200;

		run_until([&] { return answered() || clk_now() >= end; });
		return answered();
	}
};

/* Guards against a commit that is acknowledged after another member was
 * promoted that has not received it (review/13): the record of the change has
 * come, or the lease has ended, while the member made the commit. */
TEST_F(FrontCommit, ACommitIsAcknowledgedOnlyUnderALease)
{
	start("WRITE a 1", "WRITE");
	lease(false);
	let_the_member_answer();
	EXPECT_FALSE(answered_soon()) << received;
	lease(true);
	EXPECT_TRUE(answered_soon());
	EXPECT_EQ(0u, received.find("COMPLETE")) << received;
}

/* The same for a transaction. */
TEST_F(FrontCommit, ACommitOfATransactionIsAcknowledgedOnlyUnderALease)
{
	exchange("QUERY 1 BEGIN");
	lease(false);
	EXPECT_EQ(0u, exchange("QUERY 2 WRITE a 1").find("COMPLETE"));
	lease(true);
	start("COMMIT", "COMMIT");
	lease(false);
	let_the_member_answer();
	EXPECT_FALSE(answered_soon()) << received;
}

/* Guards against a commit of the old primary that is acknowledged under a lease
 * of the next one, and against a caller that is told that nothing was kept. */
TEST_F(FrontCommit, ACommitOfAnEarlierTermIsInDoubt)
{
	start("WRITE a 1", "WRITE");
	lease(false);
	let_the_member_answer();
	EXPECT_FALSE(answered_soon()) << received;
	group()->term++;
	lease(true);
	EXPECT_TRUE(answered_soon());
	EXPECT_EQ(0u, received.find("ERROR INDOUBT")) << received;
}

/* Guards against writes that are sent though they can't be acknowledged. */
TEST_F(FrontCommit, AWriteIsNotSentWithoutALease)
{
	lease(false);
	send("QUERY 1 WRITE a 1");
	EXPECT_FALSE(answered_soon()) << received;
	EXPECT_EQ(0, m.count("WRITE"));
	lease(true);
	EXPECT_TRUE(answered_soon());
	EXPECT_EQ(1, m.count("WRITE"));
}

/* Guards against a lease that is asked for where none is needed. */
TEST_F(FrontCommit, ReadsAndOtherGroupsNeedNoLease)
{
	lease(false);
	EXPECT_EQ(0u, exchange("QUERY 1 READ a").find("COMPLETE"));
	f->routes->groups[0].sync_replicas = 0;
	EXPECT_EQ(0u, exchange("QUERY 2 WRITE a 1").find("COMPLETE"));
}
