#include "lib_cluster.h"

#include <gtest/gtest.h>

#include <thread>

using namespace cluster;

/* Tests of the stand-in for a backend server, without proxies. A stand-in
 * that is more lenient than a real server would hide faults of the proxy. */

namespace
{

const char STATUS[] = "SELECT * FROM marjoramlatch_status()";

Spec members_only(GroupSpec g = GroupSpec())
{
	Spec s;

	s.proxies = 0;
	s.controls = 0;
	s.groups = {g};
	s.relay = true;
	return s;
}

struct Group : Cluster {
	explicit Group(GroupSpec g = GroupSpec()) : Cluster(members_only(g))
	{
		start_members();
	}

	int64_t status(const std::string &id, const std::string &column)
	{
		return member(id).exec(STATUS, 2000).number(column);
	}

	bool wait_for_status(const std::string &id, const std::string &column,
			     int64_t value)
	{
		return wait_until(5000,
				  [&] { return status(id, column) == value; });
	}

	Result run(const std::string &id, const std::string &sql)
	{
		return member(id).exec(sql);
	}
};

GroupSpec single_member()
{
	GroupSpec g;

	g.members = 1;
	return g;
}

} // namespace

/* Guards against replicas that make data visible before the configured lag
 * has passed, or that report an age below the real age of their data. */
TEST(Backend, ReplicatesWithLag)
{
	GroupSpec spec;
	spec.log_apply_delay_ms = 400;
	Group g(spec);
	int64_t t0;

	ASSERT_TRUE(g.promote("orders-1", 1));
	ASSERT_TRUE(g.run("orders-1", "CREATE TABLE t (a int)").ok);
	ASSERT_TRUE(g.wait_for_status("orders-2", "applied", 1));
	t0 = now_ms();
	ASSERT_TRUE(g.run("orders-1", "INSERT INTO t VALUES (7)").ok);
	ASSERT_TRUE(g.wait_for_status("orders-2", "held", 2));
	EXPECT_EQ("0", g.run("orders-2", "SELECT count(*) FROM t").value());
	EXPECT_LT(now_ms() - t0, 400) << "the machine was too slow to tell";
	ASSERT_TRUE(g.wait_for_status("orders-2", "applied", 2));
	EXPECT_GE(now_ms() - t0, 400);
	EXPECT_EQ("7", g.run("orders-2", "SELECT a FROM t").value());
	EXPECT_EQ("25006", g.run("orders-2", "DELETE FROM t").sqlstate);
	EXPECT_LT(g.status("orders-2", "age_ms"), 400);

	/* Without contact to the primary the reported age grows. */
	g.relay_command("freeze orders-2>*");
	EXPECT_TRUE(wait_until(
		5000, [&] { return g.status("orders-2", "age_ms") > 600; }));
}

/* Guards against an await that returns before a majority holds the commit. */
TEST(Backend, AwaitsMajority)
{
	Group g;
	Caller c = g.member("orders-1");

	ASSERT_TRUE(g.promote("orders-1", 1));
	ASSERT_TRUE(c.exec("CREATE TABLE t (a int)").ok);
	EXPECT_EQ("1", c.exec("SELECT marjoramlatch_await()").value());
	g.relay_command("freeze orders-2>*");
	ASSERT_TRUE(c.exec("INSERT INTO t VALUES (1)").ok);
	EXPECT_EQ("2", c.exec("SELECT marjoramlatch_await()").value());
	g.relay_command("freeze orders-3>*");
	/* A replica's pull that was answered before the freeze may still
	 * count towards the majority. */
	ASSERT_TRUE(wait_until(5000, [&] {
		return c.exec(STATUS).number("majority_age_ms") > 100;
	}));
	ASSERT_TRUE(c.exec("INSERT INTO t VALUES (2)").ok);
	ASSERT_TRUE(c.exec("SET statement_timeout = 200").ok);
	EXPECT_EQ("57014", c.exec("SELECT marjoramlatch_await()").sqlstate);
	g.relay_command("heal orders-3>*");
	ASSERT_TRUE(c.exec("SET statement_timeout = 5000").ok);
	EXPECT_EQ("3", c.exec("SELECT marjoramlatch_await()").value());
	EXPECT_EQ("57014", [&] {
		g.relay_command("freeze *");
		c.exec("INSERT INTO t VALUES (3)");
		c.exec("SET statement_timeout = 100");
		return c.exec("SELECT marjoramlatch_await()").sqlstate;
	}());
}

/* Guards against a primary that accepts writes after it was fenced, and
 * against a promotion to a term below the fence. */
TEST(Backend, FenceStopsThePrimary)
{
	Group g;
	Caller c = g.member("orders-1");
	Caller idle = g.member("orders-1");
	Result r;

	ASSERT_TRUE(g.promote("orders-1", 1));
	ASSERT_TRUE(c.exec("CREATE TABLE t (a int)").ok);
	ASSERT_TRUE(g.wait_for_status("orders-2", "held", 1));
	EXPECT_EQ("55000",
		  g.run("orders-2", "SELECT marjoramlatch_promote(1)").sqlstate)
		<< "one term must not have two primaries";
	ASSERT_TRUE(c.exec("BEGIN").ok);
	ASSERT_TRUE(c.exec("INSERT INTO t VALUES (1)").ok);
	r = idle.exec("SELECT marjoramlatch_fence(3)");
	EXPECT_EQ(3, r.number("fence_term"));
	EXPECT_EQ("replica", r.value("role"));
	EXPECT_EQ("25006", c.exec("COMMIT").sqlstate);
	EXPECT_EQ("25006", c.exec("INSERT INTO t VALUES (2)").sqlstate);
	EXPECT_EQ("55000", c.exec("SELECT marjoramlatch_promote(2)").sqlstate);
	EXPECT_EQ("55000",
		  c.exec("SELECT marjoramlatch_follow(2, '127.0.0.1:1')")
			  .sqlstate);
	EXPECT_EQ(3,
		  c.exec("SELECT marjoramlatch_fence(2)").number("fence_term"));
	EXPECT_EQ("0", c.exec("SELECT count(*) FROM t").value());

	/* A fenced replica acknowledges no entries on behalf of a lower
	 * term. */
	g.run("orders-2", "SELECT marjoramlatch_fence(3)");
	ASSERT_TRUE(c.exec("SELECT marjoramlatch_promote(3)").ok);
	ASSERT_TRUE(c.exec("INSERT INTO t VALUES (3)").ok);
	ASSERT_TRUE(c.exec("SET statement_timeout = 200").ok);
	EXPECT_EQ("57014", c.exec("SELECT marjoramlatch_await()").sqlstate);
	EXPECT_EQ(1, g.status("orders-2", "held"));
}

/* Guards against a replaced primary that can't apply the new primary's log
 * because of a transaction that a client has left open. */
TEST(Backend, OpenTransactionEndsWithTheTerm)
{
	Group g;
	Caller c = g.member("orders-1");

	ASSERT_TRUE(g.promote("orders-1", 1));
	ASSERT_TRUE(c.exec("CREATE TABLE t (a int)").ok);
	ASSERT_TRUE(g.wait_for_status("orders-2", "held", 1));
	ASSERT_TRUE(c.exec("BEGIN; INSERT INTO t VALUES (1)").ok);
	g.run("orders-1", "SELECT marjoramlatch_fence(2)");
	ASSERT_TRUE(g.promote("orders-2", 2));
	ASSERT_TRUE(g.run("orders-2", "INSERT INTO t VALUES (2)").ok);
	EXPECT_TRUE(g.wait_for_status("orders-1", "applied", 2));
	EXPECT_EQ(PQTRANS_INTRANS, PQtransactionStatus(c.raw()));
	EXPECT_EQ("25P02", c.exec("SELECT 1").sqlstate);
	EXPECT_EQ("25006", c.exec("COMMIT").sqlstate);
	EXPECT_EQ("2", c.exec("SELECT group_concat(a) FROM t").value());
}

/* Guards against a member that keeps log entries which the group's new
 * primary doesn't have. */
TEST(Backend, RebuildsAfterDivergence)
{
	Group g;
	Caller old = g.member("orders-1");
	int64_t incarnation;

	ASSERT_TRUE(g.promote("orders-1", 1));
	ASSERT_TRUE(old.exec("CREATE TABLE t (a int)").ok);
	ASSERT_TRUE(g.wait_for_status("orders-2", "held", 1));
	ASSERT_TRUE(g.wait_for_status("orders-3", "held", 1));
	g.relay_command("cut orders-2>orders-1");
	g.relay_command("cut orders-3>orders-1");
	ASSERT_TRUE(old.exec("INSERT INTO t VALUES (1)").ok);
	incarnation = g.status("orders-1", "incarnation");
	ASSERT_TRUE(g.promote("orders-2", 2));
	ASSERT_TRUE(g.run("orders-2", "INSERT INTO t VALUES (2)").ok);
	ASSERT_TRUE(g.run("orders-2", "INSERT INTO t VALUES (3)").ok);
	ASSERT_TRUE(g.wait_for_status("orders-1", "applied", 3));
	ASSERT_TRUE(g.wait_for_status("orders-3", "applied", 3));
	EXPECT_GT(g.status("orders-1", "incarnation"), incarnation);
	EXPECT_EQ(2, g.status("orders-1", "log_term"));
	EXPECT_TRUE(old.exec("SELECT 1").connection_failed);
	EXPECT_EQ("2,3",
		  g.run("orders-1", "SELECT group_concat(a) FROM t").value());
	EXPECT_EQ(2, g.status("orders-3", "log_term"));
}

/* Guards against a promotion that loses log entries which the replica has
 * stored but not yet applied. */
TEST(Backend, PromotionAppliesWhatIsHeld)
{
	GroupSpec spec;
	spec.log_apply_delay_ms = 60000;
	Group g(spec);
	Result r;

	ASSERT_TRUE(g.promote("orders-1", 1));
	ASSERT_TRUE(g.run("orders-1", "CREATE TABLE t (a int)").ok);
	ASSERT_TRUE(g.run("orders-1", "INSERT INTO t VALUES (5)").ok);
	ASSERT_TRUE(g.wait_for_status("orders-2", "held", 2));
	EXPECT_EQ(0, g.status("orders-2", "applied"));
	r = g.run("orders-2", "SELECT marjoramlatch_promote(2)");
	EXPECT_EQ("2", r.value());
	EXPECT_EQ("5", g.run("orders-2", "SELECT a FROM t").value());
}

/* Guards against commits or fences that are lost when the process is
 * killed, and against a restarted process that reuses its incarnation
 * number. */
TEST(Backend, KilledMemberKeepsItsState)
{
	Group g;
	int64_t incarnation;

	ASSERT_TRUE(g.promote("orders-1", 1));
	ASSERT_TRUE(g.run("orders-1", "CREATE TABLE t (a int)").ok);
	for (int i = 0; i < 20; i++)
		ASSERT_TRUE(g.run("orders-1", "INSERT INTO t VALUES (1)").ok);
	g.run("orders-3", "SELECT marjoramlatch_fence(9)");
	incarnation = g.status("orders-1", "incarnation");
	for (const char *id : {"orders-1", "orders-3"}) {
		g.process(id).kill();
		g.Cluster::start(id);
		ASSERT_TRUE(wait_until(
			5000, [&] { return g.member(id).connected(); }));
	}
	EXPECT_EQ("20", g.run("orders-1", "SELECT count(*) FROM t").value());
	EXPECT_EQ(21, g.status("orders-1", "held"));
	EXPECT_EQ("orders-1", g.primary("orders"));
	EXPECT_GT(g.status("orders-1", "incarnation"), incarnation);
	EXPECT_EQ(9, g.status("orders-3", "fence_term"));
	ASSERT_TRUE(g.wait_for_status("orders-2", "applied", 21));

	g.kill_and_delete_data("orders-2");
	g.Cluster::start("orders-2");
	ASSERT_TRUE(wait_until(
		5000, [&] { return g.member("orders-2").connected(); }));
	g.run("orders-2",
	      "SELECT marjoramlatch_follow(1, '" + g.addr("orders-1") + "')");
	EXPECT_TRUE(g.wait_for_status("orders-2", "applied", 21));
}

/* Guards against a pipeline that, after a failed statement, runs the
 * statements up to the next Sync. */
TEST(Backend, PipelineSkipsToSync)
{
	Group g(single_member());
	Caller c = g.member("orders-1");
	std::vector<std::string> states;

	ASSERT_TRUE(g.promote("orders-1", 1));
	ASSERT_TRUE(c.exec("CREATE TABLE t (a int unique)").ok);
	ASSERT_TRUE(PQenterPipelineMode(c.raw()));
	for (const char *sql :
	     {"INSERT INTO t VALUES (1)", "INSERT INTO t VALUES (1)",
	      "INSERT INTO t VALUES (2)", "", "INSERT INTO t VALUES (3)",
	      "SELECT marjoramlatch_await()", "SELECT a FROM t", ""}) {
		if (*sql)
			ASSERT_TRUE(PQsendQueryParams(c.raw(), sql, 0, nullptr,
						      nullptr, nullptr, nullptr,
						      0));
		else
			ASSERT_TRUE(PQpipelineSync(c.raw()));
	}
	for (int syncs = 0; syncs < 2;) {
		PGresult *r = PQgetResult(c.raw());

		if (!r)
			continue;
		syncs += PQresultStatus(r) == PGRES_PIPELINE_SYNC;
		states.push_back(PQresStatus(PQresultStatus(r)));
		if (PQntuples(r))
			states.back() = PQgetvalue(r, 0, 0);
		PQclear(r);
	}
	EXPECT_EQ((std::vector<std::string>{
			  "PGRES_COMMAND_OK", "PGRES_FATAL_ERROR",
			  "PGRES_PIPELINE_ABORTED", "PGRES_PIPELINE_SYNC",
			  "PGRES_COMMAND_OK", "2", "3", "PGRES_PIPELINE_SYNC"}),
		  states);
	ASSERT_TRUE(PQexitPipelineMode(c.raw()));
	EXPECT_EQ("3", c.exec("SELECT group_concat(a) FROM t").value());
}

/* Guards against transactions that see uncommitted rows of another
 * transaction, or that end in the wrong transaction state. */
TEST(Backend, Transactions)
{
	Group g(single_member());
	Caller a = g.member("orders-1");
	Caller b = g.member("orders-1");
	Result waited;

	ASSERT_TRUE(g.promote("orders-1", 1));
	ASSERT_TRUE(a.exec("CREATE TABLE t (a int primary key)").ok);
	ASSERT_TRUE(a.exec("BEGIN; INSERT INTO t VALUES (1)").ok);
	EXPECT_EQ(PQTRANS_INTRANS, PQtransactionStatus(a.raw()));
	EXPECT_EQ("0", b.exec("SELECT count(*) FROM t").value());
	std::thread writer([&] {
		waited = b.exec("INSERT INTO t VALUES ($1) RETURNING a", {"2"});
	});
	EXPECT_EQ("23505", a.exec("INSERT INTO t VALUES (1)").sqlstate);
	EXPECT_EQ(PQTRANS_INERROR, PQtransactionStatus(a.raw()));
	EXPECT_EQ("25P02", a.exec("SELECT 1").sqlstate);
	EXPECT_EQ("ROLLBACK", a.exec("COMMIT").statement_tag);
	writer.join();
	EXPECT_EQ("2", waited.value()) << waited.message;
	EXPECT_EQ("2", a.exec("SELECT group_concat(a) FROM t").value());
	/* A simple query of several statements without BEGIN is one
	 * transaction. */
	EXPECT_EQ(
		"42P01",
		a.exec("INSERT INTO t VALUES (8); SELECT * FROM no").sqlstate);
	EXPECT_EQ("2", a.exec("SELECT group_concat(a) FROM t").value());
	EXPECT_EQ("42601", a.exec("SELEC").sqlstate);
	EXPECT_EQ("0A000", a.exec("COPY t FROM STDIN").sqlstate);
}

/* Guards against a stand-in whose slots don't limit the number of
 * concurrent statements. */
TEST(Backend, SlotsLimitWhatRuns)
{
	GroupSpec spec = single_member();
	spec.slots = 2;
	Group g(spec);
	std::vector<Caller> callers;
	std::vector<std::thread> threads;
	int64_t t0;

	for (int i = 0; i < 4; i++)
		callers.push_back(g.member("orders-1"));
	t0 = now_ms();
	for (Caller &c : callers)
		threads.emplace_back(
			[&c] { c.exec("SELECT 1 /* cost_us=300000 */"); });
	/* A status query takes no slot. */
	EXPECT_TRUE(g.run("orders-1", STATUS).ok);
	EXPECT_LT(now_ms() - t0, 300);
	for (std::thread &t : threads)
		t.join();
	EXPECT_GE(now_ms() - t0, 600);
	EXPECT_LT(now_ms() - t0, 1200);
}

/* Guards against a stand-in that drops a running statement when its client
 * disconnects. It would hide requests that the proxy runs twice. */
TEST(Backend, StatementOutlivesItsClient)
{
	Group g(single_member());
	Caller c = g.member("orders-1");

	ASSERT_TRUE(g.promote("orders-1", 1));
	ASSERT_TRUE(c.exec("CREATE TABLE t (a int)").ok);
	ASSERT_TRUE(PQsendQuery(
		c.raw(), "INSERT INTO t VALUES (1) /* cost_us=200000 */"));
	c.close();
	EXPECT_TRUE(g.wait_for_status("orders-1", "held", 2));

	/* A canceled statement has no effect. */
	c = g.member("orders-1");
	ASSERT_TRUE(PQsendQuery(
		c.raw(), "INSERT INTO t VALUES (2) /* cost_us=5000000 */"));
	ASSERT_TRUE(g.run("orders-1", STATUS).ok);
	EXPECT_TRUE(c.cancel());
	EXPECT_TRUE(wait_until(2000, [&] {
		PQconsumeInput(c.raw());
		return !PQisBusy(c.raw());
	}));
	EXPECT_EQ("1", g.run("orders-1", "SELECT count(*) FROM t").value());
}

/* Guards against a stand-in that accepts more connections than its limit,
 * or a wrong password. */
TEST(Backend, RefusesConnections)
{
	GroupSpec spec = single_member();
	spec.connections = 1;
	Group g(spec);
	Caller a;
	Caller b;

	ASSERT_TRUE(wait_until(5000, [&] {
		a = g.member("orders-1");
		return a.connected();
	}));
	b = g.member("orders-1");
	EXPECT_FALSE(b.connected());
	EXPECT_NE(std::string::npos, b.error().find("too many connections"));
	a.close();
	EXPECT_FALSE(b.connect(g.listen_addr_of("orders-1"), "marjoramlatch",
			       "wrong", "orders"));
	EXPECT_NE(std::string::npos, b.error().find("password"));
}

/* Guards against a planned stop that aborts a statement in flight. */
TEST(Backend, TermLetsStatementsFinish)
{
	Group g(single_member());
	Caller c = g.member("orders-1");
	PGresult *r;

	ASSERT_TRUE(PQsendQuery(c.raw(), "SELECT 5 /* cost_us=800000 */"));
	/* Once this is answered, the stand-in has read the statement sent
	 * before it. */
	ASSERT_TRUE(g.run("orders-1", STATUS).ok);
	g.process("orders-1").terminate();
	r = PQgetResult(c.raw());
	EXPECT_STREQ("5", PQgetvalue(r, 0, 0)) << PQresultErrorMessage(r);
	PQclear(r);
	EXPECT_EQ(0, g.process("orders-1").wait(6000));
}
