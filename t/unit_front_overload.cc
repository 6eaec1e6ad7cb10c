#include "lib_front.h"

#include <memory>

/*
 * Statements that a member's queue refuses because they can't end in time, from
 * the queue to the caller: at this proxy, and at a runner of another one.
 */
struct FrontOverload : FrontKey {
	struct settings sender_set = {};
	struct front_server *sender = nullptr;
	struct db_member *m0 = nullptr, *m1 = nullptr; /* primary, replica */

	void SetUp() override
	{
		struct backend_info b[2] = {};

		set.pacing = true;
		FrontKey::SetUp();
		fill_backends(b);
		front_take_backends(f, b, 2);
		m0 = db_find(f->db, "m0");
		m1 = db_find(f->db, "m1");
		read_freshness = RT_READS_BOUNDED;
		publish({}, false);
		f->key_lease.until = 0;
	}

	void TearDown() override
	{
		net_free(caller);
		caller = nullptr;
		front_free(sender);
		FrontKey::TearDown();
	}

	void fill_backends(struct backend_info *b)
	{
		for (int i = 0; i < 2; i++) {
			snprintf(b[i].id, ID_LEN, "m%d", i);
			strcpy(b[i].group, "g1");
			strcpy(b[i].zone, "za");
			strcpy(b[i].addr, m.addr.c_str());
			b[i].slots = 5;
		}
	}

	/* Starts the proxy "p1" in another zone, whose jobs "p0" runs, and
	 * opens a session there. */
	void start_sender()
	{
		struct backend_info b[2] = {};
		struct group_info g = {};
		struct proxy_info list[20] = {};

		sender_set = set;
		strcpy(sender_set.id, "p1");
		strcpy(sender_set.zone, "zb");
		for (char *addr : {sender_set.link, sender_set.listen})
			snprintf(addr, ADDR_LEN, "%s",
				 loopback::free_addr().c_str());
		sender = front_new(loop, &sender_set);
		ASSERT_EQ(RES_OK, front_link(sender, 2, &e)) << e.text;
		ASSERT_EQ(RES_OK, front_listen(sender, &e)) << e.text;
		front_on_urgent(
			sender, [](void *) {}, nullptr);
		fill_backends(b);
		front_take_backends(sender, b, 2);
		strcpy(g.name, "g1");
		strcpy(g.primary, "m0");
		g.term = 1;
		front_take_groups(sender, &g, 1);
		for (int i = 0; i < 20; i++) {
			snprintf(list[i].id, ID_LEN, "p%d", i);
			strcpy(list[i].zone, i ? "zb" : "za");
			list[i].alive = i < 2;
		}
		strcpy(list[0].addr, set.link);
		strcpy(list[1].addr, sender_set.link);
		front_take_routes(sender, f->routes);
		front_take_proxies(sender, list, 20);
		ASSERT_GT(sender->slice_count, 0);
		std::swap(set.listen, sender_set.listen);
		open("orders any");
		std::swap(set.listen, sender_set.listen);
		/* Until the link is up, it runs its jobs itself. */
		ASSERT_TRUE(run_until([&] {
			return succeeds("QUERY 0 WRITE first") && m0->nconns;
		}));
	}

	/* Has the member answer slowly by the estimate, with a statement of
	 * this proxy under way, so that it is not idle. */
	void overload(struct db_member *member, clk_ms service_ms)
	{
		for (int i = 0; i < 20; i++)
			jobq_learn(member->queue, 0, service_ms, clk_now());
		busy.push_back(std::make_unique<Busy>());
		m.hold = "held";
		db_start(member, &busy.back()->job, clk_now());
		ASSERT_TRUE(run_until([&] { return m.held; }));
		m.hold.clear();
		m.held = nullptr;
	}

	struct Busy {
		struct sctx ctx = {};
		struct db_job job = {};

		Busy()
		{
			job.ctx = &ctx;
			job.id = {"-", 1};
			job.text = {"READ held", 9};
			job.done = [](struct db_job *,
				      const struct db_result *) {};
		}
	};
	std::vector<std::unique_ptr<Busy>> busy;

	/* The time in "ERROR code retry after N ms"; -1 if it is another
	 * answer.
	 */
	int retry_ms(const char *code)
	{
		std::string start =
			std::string("ERROR ") + code + " retry after ";

		return received.rfind(start, 0)
			       ? -1
			       : atoi(received.c_str() + start.size());
	}
};

/* Guards against a caller that is told at its limit, or not at all, what the
 * runner knew at once; against a refused statement that is tried again at the
 * same member; and against one that runs all the same. */
TEST_F(FrontOverload, ARunnersRefusalReachesTheCaller)
{
	uint64_t refused = cnt_refusal_count(RES_OVERLOAD);

	start_sender();
	overload(m0, 6000);
	overload(m1, 6000);
	for (const char *line :
	     {"WRITE late", "READ late", "BEGIN", "WRITE late", "ROLLBACK"}) {
		clk_ms start = clk_now();

		exchange(std::string("QUERY 1 ") + line);
		EXPECT_LT(clk_now() - start, 1000) << "its limit is 3000";
		if (!strstr(line, "late"))
			continue;
		EXPECT_GE(retry_ms("BUSY"), JOBQ_RETRY_MIN_MS) << received;
		EXPECT_LE(retry_ms("BUSY"), 2 * JOBQ_RETRY_MAX_MS);
	}
	EXPECT_EQ(0, m.count("late"));
	EXPECT_EQ(refused + 3, cnt_refusal_count(RES_OVERLOAD));
	EXPECT_EQ(3u, m0->refusals) << "each was tried once";
	EXPECT_EQ(1u, m1->refusals) << "only the read was tried there";
}

/* Guards against a job that stays in the runner's queue after its caller gave
 * up, and against one that is answered as not run, or runs, after its runner
 * died. */
TEST_F(FrontOverload, JobsThatWaitAtARunnerEndWithIt)
{
	start_sender();
	m0->sharing_proxies = 10; /* one statement at a time */
	overload(m0, 10);
	send("QUERY 1 WRITE waits");
	ASSERT_TRUE(run_until([&] { return db_waiting(m0) == 1; }));
	net_free(caller);
	caller = nullptr;
	EXPECT_TRUE(run_until([&] { return !db_waiting(m0); }));
	std::swap(set.listen, sender_set.listen);
	open("orders any");
	std::swap(set.listen, sender_set.listen);
	send("QUERY 2 WRITE waits");
	ASSERT_TRUE(run_until([&] { return db_waiting(m0) == 1; }));
	front_free(f);
	f = nullptr;
	EXPECT_TRUE(run_until([&] { return answered(); }));
	EXPECT_EQ("ERROR INDOUBT", kind(received)) << "it may have been sent";
	EXPECT_EQ(0, m.count("waits"));
}

/* Guards against a read that is refused although another member can serve it,
 * and against one that is passed on for ever. */
TEST_F(FrontOverload, ARefusedReadMovesToAnotherMember)
{
	open("orders any");
	EXPECT_TRUE(succeeds("QUERY 1 WRITE a 1"));
	overload(m1, 6000);
	EXPECT_TRUE(succeeds("QUERY 2 READ moved"));
	EXPECT_STREQ("m0", f->sessions->job_member);
	EXPECT_EQ(1, f->sessions->run.nrefused);
	overload(m0, 6000);
	exchange("QUERY 3 READ refused");
	EXPECT_GE(retry_ms("BUSY"), JOBQ_RETRY_MIN_MS) << received;
	EXPECT_EQ(0, m.count("refused"));
}

/* Guards against reads that take the primary's time from writes while all
 * replicas are behind, and against reads that then wait for their limit. */
TEST_F(FrontOverload, ReadsGetAShareOfThePrimary)
{
	open("orders any");
	EXPECT_TRUE(succeeds("QUERY 1 WRITE a 1"));
	m1->behind_until = clk_now() + 60000;
	EXPECT_TRUE(succeeds("QUERY 2 READ served"));
	EXPECT_STREQ("m0", f->sessions->job_member);
	EXPECT_EQ(0, m0->fallback_reads);
	m0->fallback_reads = rdf_primary_share(db_limit(m0, clk_now()));
	exchange("QUERY 3 READ refused");
	EXPECT_GE(retry_ms("LAGGING"), RDF_RETRY_MIN_MS) << received;
	EXPECT_EQ(0, f->sessions->run.tries) << "refused at once";
	EXPECT_TRUE(succeeds("QUERY 4 WRITE a 2"));
	/* Guards against a share for each of many proxies: the runner bounds
	 * them together. */
	start_sender();
	db_find(sender->db, "m1")->behind_until = clk_now() + 60000;
	exchange("QUERY 5 READ refused");
	EXPECT_GE(retry_ms("LAGGING"), RDF_RETRY_MIN_MS) << received;
	EXPECT_EQ(1, sender->sessions->run.tries);
	m0->fallback_reads = 0;
	EXPECT_EQ(0, m.count("refused"));
}
