#include "lib_front.h"

/*
 * API keys of sessions while configurations change and the lease of keys ends.
 */
namespace
{

constexpr int SHORT_LEASE_MS = 500; /* of tests that wait for its end */

} // namespace

/* Guards against callers that are served without a key, or for whom one is
 * asked where none is needed. */
TEST_F(FrontKey, ASessionNeedsAKnownKey)
{
	publish({{"k-acme", "acme"}});
	EXPECT_EQ("ERROR DENIED", kind(open("orders wrong")));
	EXPECT_TRUE(run_until([&] { return closed; }));
	EXPECT_EQ("ERROR DENIED", kind(open("orders")));
	EXPECT_TRUE(run_until([&] { return closed; }));
	EXPECT_EQ(0u, open("orders k-acme").rfind("READY I", 0));
	EXPECT_TRUE(succeeds("QUERY 1 WRITE a 1"));
	EXPECT_STREQ("acme", f->sessions->tenant);
	EXPECT_STREQ("acme", f->sessions->job.tenant);
	EXPECT_GT(f->sessions->job.authorized_until, 0);
	for (const char *words : {"news", "news wrong"}) {
		EXPECT_EQ(0u, open(words).rfind("READY I", 0)) << words;
		EXPECT_TRUE(succeeds("QUERY 2 WRITE a 1"));
		EXPECT_STREQ("", f->sessions->job.tenant);
		EXPECT_EQ(0, f->sessions->job.authorized_until);
	}
	EXPECT_EQ(0u, open("news k-acme").rfind("READY I", 0));
	EXPECT_TRUE(succeeds("QUERY 3 WRITE a 1"));
	EXPECT_STREQ("acme", f->sessions->job.tenant);
	EXPECT_EQ(0, m.count("k-acme") + m.count("wrong"));
}

/* Guards against other traffic to members where there are no tenants. */
TEST_F(FrontKey, WithoutTenantsMembersReceiveWhatTheyDid)
{
	publish({}, false);
	f->key_lease.until = 0;
	open("orders any");
	EXPECT_TRUE(succeeds("QUERY 1 WRITE a 1"));
	EXPECT_TRUE(succeeds("QUERY 2 BEGIN"));
	EXPECT_TRUE(succeeds("QUERY 3 READ a"));
	EXPECT_TRUE(succeeds("QUERY 4 COMMIT"));
	EXPECT_TRUE(succeeds("QUERY 5 READ a"));
	EXPECT_EQ(
		(std::vector<std::string>{
			"STARTUP g1 marjoramlatch m0", "QUERY 1 WRITE a 1",
			"QUERY - BEGIN", "QUERY 3 READ a", "QUERY 4 COMMIT",
			"QUERY - BEGIN", "QUERY 5 READ a", "QUERY - ROLLBACK"}),
		m.lines);
	EXPECT_EQ(CLK_NEVER, front_key_lease_left(f, clk_now()));
}

/* Guards against a transaction that holds its locks, or goes on, after its key
 * was withdrawn. */
TEST_F(FrontKey, AWithdrawnKeyEndsItsTransaction)
{
	publish({{"k1", "acme"}, {"k2", "acme"}});
	open("orders k1");
	EXPECT_TRUE(succeeds("QUERY 1 BEGIN"));
	EXPECT_TRUE(succeeds("QUERY 2 WRITE a 1"));
	publish({{"k2", "acme"}});
	EXPECT_TRUE(run_until([&] { return m.count("ROLLBACK") == 1; }))
		<< "not only with the next statement";
	EXPECT_EQ("ERROR DENIED", kind(exchange("QUERY 3 WRITE a 2")));
	EXPECT_NE(std::string::npos, received.find("READY E"));
	EXPECT_TRUE(succeeds("QUERY 4 ROLLBACK"));
	EXPECT_EQ("ERROR DENIED", kind(exchange("QUERY 5 READ a")));
	EXPECT_EQ("ERROR DENIED", kind(exchange("QUERY 6 BEGIN")));
	EXPECT_EQ("ERROR DENIED", kind(exchange("QUERY 7 SET a 1")));
	EXPECT_EQ(0, m.count("WRITE a 2") + m.count("QUERY 5"));
	publish({{"k1", "acme"}});
	EXPECT_TRUE(succeeds("QUERY 8 WRITE a 3")) << "the key is back";
}

TEST_F(FrontKey, ACommitAfterTheKeyWasWithdrawnIsRefused)
{
	publish({{"k1", "acme"}});
	open("orders k1");
	EXPECT_TRUE(succeeds("QUERY 1 BEGIN"));
	EXPECT_TRUE(succeeds("QUERY 2 WRITE a 1"));
	publish({});
	EXPECT_EQ("ERROR DENIED", kind(exchange("QUERY 3 COMMIT")));
	EXPECT_NE(std::string::npos, received.find("READY I"));
	EXPECT_EQ(0, m.count("COMMIT"));
}

/* Guards against a change of tenant inside a transaction: its connection to the
 * member was opened under the name of the first one. */
TEST_F(FrontKey, AKeyThatMovesEndsItsTransaction)
{
	publish({{"k1", "acme"}});
	open("orders k1");
	EXPECT_TRUE(succeeds("QUERY 1 BEGIN"));
	EXPECT_TRUE(succeeds("QUERY 2 WRITE a 1"));
	publish({{"k1", "zeta"}, {"k2", "acme"}});
	EXPECT_EQ("ERROR DENIED", kind(exchange("QUERY 3 WRITE a 2")));
	EXPECT_TRUE(succeeds("QUERY 4 ROLLBACK"));
	EXPECT_TRUE(run_until([&] { return m.count("ROLLBACK") == 1; }));
	EXPECT_EQ(0, m.count("WRITE a 2"));
	EXPECT_TRUE(succeeds("QUERY 5 WRITE a 3"));
	EXPECT_STREQ("zeta", f->sessions->job.tenant);
}

/* Guards against a transaction that goes on because its key was withdrawn while
 * a statement of it ran, and against losing that statement's answer. */
TEST_F(FrontKey, AStatementUnderWayIsAnsweredAndTheNextIsRefused)
{
	publish({{"k1", "acme"}});
	open("orders k1");
	EXPECT_TRUE(succeeds("QUERY 1 BEGIN"));
	m.hold = "WRITE";
	send("QUERY 2 WRITE a 1");
	ASSERT_TRUE(run_until([&] { return m.held; }));
	publish({});
	m.hold.clear();
	m.held->answer("QUERY 2 WRITE a 1");
	ASSERT_TRUE(run_until([&] { return answered(); }));
	EXPECT_EQ(0u, received.rfind("COMPLETE", 0));
	EXPECT_EQ("ERROR DENIED", kind(exchange("QUERY 3 READ a")));
	EXPECT_TRUE(run_until([&] { return m.count("ROLLBACK") == 1; }));
	EXPECT_EQ(0, m.count("QUERY 3"));
}

/* Guards against a proxy that is cut off from control and goes on to use keys,
 * and against one that does not serve again afterwards. */
TEST_F(FrontKey, WithoutALeaseNothingRuns)
{
	f->key_lease.duration_ms = SHORT_LEASE_MS;
	publish({{"k1", "acme"}});
	open("orders k1");
	EXPECT_TRUE(succeeds("QUERY 1 WRITE a 1"));
	wait_until_lease_ends();
	EXPECT_EQ("ERROR BUSY", kind(exchange("QUERY 2 WRITE a 2")));
	EXPECT_EQ("ERROR BUSY", kind(exchange("QUERY 3 BEGIN")));
	EXPECT_EQ(0, m.count("QUERY 2"));
	confirm();
	EXPECT_TRUE(succeeds("QUERY 4 WRITE a 4"));
	EXPECT_TRUE(succeeds("QUERY 5 BEGIN"));
	EXPECT_TRUE(succeeds("QUERY 6 WRITE a 5"));
	wait_until_lease_ends();
	EXPECT_EQ("ERROR BUSY", kind(exchange("QUERY 7 COMMIT")));
	EXPECT_NE(std::string::npos, received.find("READY I"));
	EXPECT_TRUE(run_until([&] { return m.count("ROLLBACK") == 1; }));
	EXPECT_EQ(0, m.count("COMMIT"));
	EXPECT_EQ("ERROR BUSY", kind(open("orders k1")));
	EXPECT_EQ("ERROR BUSY", kind(open("orders k-new")))
		<< "a newer configuration may contain the key";
	EXPECT_EQ(0u, open("news").rfind("READY I", 0));
}

/* Guards against a statement that leaves after the lease has ended, because a
 * prepared statement had to be sent first. */
TEST_F(FrontKey, TheLeaseIsCheckedWhenTheStatementIsSent)
{
	uint64_t before = cnt_refusal_count(RES_KEY_UNCONFIRMED);

	f->key_lease.duration_ms = SHORT_LEASE_MS;
	publish({{"k1", "acme"}});
	open("orders k1");
	EXPECT_TRUE(succeeds("QUERY 1 PREPARE s WRITE q"));
	m.hold = "PREPARE";
	send("QUERY 2 EXECUTE s a");
	ASSERT_TRUE(run_until([&] { return m.held; }));
	wait_until_lease_ends();
	m.hold.clear();
	m.held->answer("QUERY - PREPARE");
	ASSERT_TRUE(run_until([&] { return answered(); }));
	EXPECT_EQ("ERROR BUSY", kind(received));
	EXPECT_EQ(0, m.count("EXECUTE"));
	EXPECT_EQ(before + 1, cnt_refusal_count(RES_KEY_UNCONFIRMED));
}

/* Guards against a caller that is refused although the lease was renewed while
 * its statement waited. */
TEST_F(FrontKey, AStatementIsTriedAgainUnderARenewedLease)
{
	f->key_lease.duration_ms = SHORT_LEASE_MS;
	publish({{"k1", "acme"}});
	open("orders k1");
	EXPECT_TRUE(succeeds("QUERY 1 PREPARE s WRITE q"));
	m.hold = "PREPARE";
	send("QUERY 2 EXECUTE s a");
	ASSERT_TRUE(run_until([&] { return m.held; }));
	wait_until_lease_ends();
	confirm();
	m.hold.clear();
	m.held->answer("QUERY - PREPARE");
	ASSERT_TRUE(run_until([&] { return answered(); }));
	EXPECT_EQ(0u, received.rfind("COMPLETE", 0)) << received;
	EXPECT_EQ(1, m.count("EXECUTE"));
}

/* The same inside a transaction, whose connection was rolled back. */
TEST_F(FrontKey, ATransactionEndsWhenItsStatementIsNotSent)
{
	f->key_lease.duration_ms = SHORT_LEASE_MS;
	publish({{"k1", "acme"}});
	open("orders k1");
	EXPECT_TRUE(succeeds("QUERY 1 PREPARE s WRITE q"));
	EXPECT_TRUE(succeeds("QUERY 2 BEGIN"));
	EXPECT_TRUE(succeeds("QUERY 3 WRITE a 1"));
	m.hold = "PREPARE";
	send("QUERY 4 EXECUTE s a");
	ASSERT_TRUE(run_until([&] { return m.held; }));
	wait_until_lease_ends();
	confirm();
	m.hold.clear();
	m.held->answer("QUERY - PREPARE");
	ASSERT_TRUE(run_until([&] { return answered(); }));
	EXPECT_EQ("ERROR BUSY", kind(received));
	EXPECT_NE(std::string::npos, received.find("READY E"));
	EXPECT_TRUE(run_until([&] { return m.count("ROLLBACK") == 1; }));
	EXPECT_EQ(0, m.count("EXECUTE"));
	EXPECT_TRUE(succeeds("QUERY 5 ROLLBACK"));
	EXPECT_TRUE(succeeds("QUERY 6 WRITE a 2"));
}

/* Guards against a job of another proxy that waits here until its key may not
 * be used any more. */
TEST_F(FrontKey, ARunnerChecksTheKeyOfAJob)
{
	struct Origin {
		struct link *link = nullptr;
		std::vector<struct msg_job_end> ends;
	} origin;
	struct link_handler h = {};
	struct settings other = {};
	struct msg job = {};

	strcpy(other.id, "p1");
	strcpy(other.zone, "za");
	h.arg = &origin;
	h.on_up = [](void *arg, struct link *l) { ((Origin *)arg)->link = l; };
	h.on_message = [](void *arg, struct link *, const struct msg *end) {
		if (end->type == MSG_JOB_END)
			((Origin *)arg)->ends.push_back(end->u.job_end);
	};
	h.on_down = [](void *, struct link *) {};
	struct link *l = link_open(loop, &other, "proxy", set.link, 9, &h);
	ASSERT_TRUE(run_until([&] { return origin.link; }));
	job.type = MSG_JOB;
	strcpy(job.u.job.member, "m0");
	strcpy(job.u.job.tenant, "acme");
	job.u.job.send_timeout_ms = 2000;
	job.u.job.job_request_id = {"r1", 2};
	job.u.job.text = {"WRITE a 1", 9};
	job.u.job.prepared_text = {"", 0};
	job.u.job.arguments = {"", 0};
	for (int64_t ms : {(int64_t)-1, (int64_t)1500, (int64_t)0}) {
		job.u.job.job_number++;
		job.u.job.authorized_ms = ms;
		link_send(l, &job);
	}
	ASSERT_TRUE(run_until([&] { return origin.ends.size() == 3; }));
	for (const struct msg_job_end &end : origin.ends) {
		bool expired = end.job_number == 1;

		EXPECT_EQ(expired ? DB_REFUSED : DB_DONE, end.status);
		EXPECT_EQ(!expired, end.sent);
		EXPECT_TRUE(!expired || end.error == LINE_E_KEY_EXPIRED);
	}
	EXPECT_EQ(2, m.count("WRITE a 1"));
	link_free(l);
}

/* Guards against keys that stay in the memory of a proxy. */
TEST_F(FrontKey, OverwritesTheKey)
{
	struct front_session s = {};
	char key[] = "secret-key";

	s.server = f;
	front_take_key(&s, key, strlen(key));
	EXPECT_EQ(std::string(10, '\0'), std::string(key, 10));
	EXPECT_EQ((size_t)RT_KEY_HASH_HEX - 1, strlen(s.key_hash));
}
