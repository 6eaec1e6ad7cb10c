#include <gtest/gtest.h>

#include "lib_exec.h"

extern "C" {
#include "request_outcome.h"
}

#include <set>
#include <string.h>

namespace
{

class Exec : public testing::Test, public Deployment
{
};

const int64_t ONCE_AND_MAJORITY = RUN_RECORD_REQUEST_ID | RUN_WAIT_MAJORITY;

/* Guards against answers that lack rows, the row description or the command
 * tag. */
TEST_F(Exec, ReadAndWriteOnThePrimary)
{
	start("b1", {"--members", "1"});
	make_primary("b1", 1);
	Answer *a = run(RUN_WRITE, "b1", "CREATE TABLE t (k int, v text)",
			RUN_WAIT_MAJORITY);
	ASSERT_EQ(RES_OK, a->end.res) << a->text;
	a = run(RUN_WRITE, "b1", "INSERT INTO t VALUES (1, 'x'), (2, NULL)",
		RUN_WAIT_MAJORITY);
	EXPECT_EQ(RES_OK, a->end.res) << a->text;
	EXPECT_EQ("C", a->types());
	EXPECT_EQ(1, a->end.write_term);
	EXPECT_EQ(2, a->end.write_position);
	a = run(RUN_READ, "b1", "SELECT k, v FROM t ORDER BY k",
		RUN_REQUIRE_LEASE | RUN_ROW_DESCRIPTION);
	EXPECT_EQ(RES_OK, a->end.res) << a->text;
	EXPECT_EQ("TDDC", a->types());
	EXPECT_EQ((std::vector<std::string>{"1|x", "2|"}), a->rows());
	EXPECT_EQ('I', a->end.txn_status_char);
	a = run(RUN_READ, "b1", "SELECT nothing FROM t");
	EXPECT_EQ(RES_SQL_ERROR, a->end.res);
	EXPECT_EQ("E", a->types());
	EXPECT_NE("", std::string(a->end.sqlstate));
	a = run(RUN_DESCRIBE, "b1", "SELECT k FROM t WHERE v = $1");
	EXPECT_EQ("tT", a->types());
	/* A setting made in one caller's transaction must not affect the
	 * next caller. */
	Answer *t = run(RUN_BEGIN, "b1", "BEGIN");
	for (const char *text : {"SET statement_timeout = 77", "COMMIT"}) {
		struct msg_run r = request(RUN_IN_TXN, "b1", text);
		r.pinned_conn_id = t->end.pinned_conn_id;
		EXPECT_EQ(RES_OK, run(r)->end.res);
	}
	for (int i = 0; i < 5; i++)
		EXPECT_EQ("0ms", run(RUN_READ, "b1", "SHOW statement_timeout")
					 ->rows()[0]);
	a = run(RUN_READ, "b1", "SELECT 1; SELECT 2", RUN_SIMPLE_QUERY);
	EXPECT_EQ("TDCTDC", a->types()) << a->text;
	a = run(RUN_WRITE, "b1",
		"INSERT INTO t VALUES (3, 'y'); SELECT max(k) FROM t",
		RUN_SIMPLE_QUERY | RUN_WAIT_MAJORITY);
	EXPECT_EQ("CTDC", a->types()) << a->text;
	EXPECT_EQ(3, a->end.write_position);
}

/* Guards against a read that returns data older than the session's own
 * write. */
TEST_F(Exec, ReplicaBehindTheTokenIsNotServed)
{
	start("b1");
	start("b2", {"--lag-ms", "300"});
	start("b3");
	make_primary("b1", 1);
	Answer *w = run(RUN_WRITE, "b1", "CREATE TABLE t (k int)",
			RUN_WAIT_MAJORITY);
	ASSERT_EQ(RES_OK, w->end.res) << w->text;
	struct msg_run read = request(RUN_READ, "b2", "SELECT count(*) FROM t");
	read.min_term = w->end.write_term;
	read.min_position = w->end.write_position;
	Answer *a = run(read);
	EXPECT_EQ(RES_BEHIND, a->end.res) << a->text;
	EXPECT_EQ("", a->data);
	EXPECT_TRUE(run_event_loop_until(
		[&] { return run(read)->end.res == RES_OK; }));
	/* The token names an entry of term 2, but the replica's log has
	 * reached term 1 only. */
	set_view_primary("b1", 1, 0);
	read.min_term = 2;
	EXPECT_EQ(RES_BEHIND, run(read)->end.res);
	/* Data older than max_age_ms isn't served either. */
	read.min_term = 0;
	read.max_age_ms = 50;
	run(RUN_WRITE, "b1", "INSERT INTO t VALUES (1)", RUN_WAIT_MAJORITY);
	EXPECT_TRUE(run_event_loop_until(
		[&] { return run(read)->end.res == RES_BEHIND; }));
	read.max_age_ms = 5000;
	EXPECT_EQ(RES_OK, run(read)->end.res);
	EXPECT_EQ(RES_NO_PRIMARY,
		  run(RUN_WRITE, "b2", "INSERT INTO t VALUES (1)")->end.res);
}

/* Guards against a read that isn't served by a replica although the replica
 * is only a few milliseconds behind. */
TEST_F(Exec, ReadWaitsForAReplicaThatCatchesUp)
{
	start("b1");
	start("b2", {"--lag-ms", "20"});
	start("b3");
	make_primary("b1", 1);
	run(RUN_WRITE, "b1", "CREATE TABLE t (k int)", RUN_WAIT_MAJORITY);
	int good = 0;
	for (int i = 0; i < 20; i++) {
		Answer *w = run(RUN_WRITE, "b1", "INSERT INTO t VALUES (1)",
				RUN_WAIT_MAJORITY);
		struct msg_run read =
			request(RUN_READ, "b2", "SELECT count(*) FROM t");
		read.min_term = w->end.write_term;
		read.min_position = w->end.write_position;
		Answer *a = run(read);
		if (a->end.res != RES_OK)
			continue;
		good++;
		EXPECT_EQ(std::to_string(i + 1), a->rows()[0]);
	}
	EXPECT_GE(good, 18);
}

/* Guards against a request that runs twice when its caller retries it. */
TEST_F(Exec, RequestIdGivesTheFirstAnswer)
{
	start("b1", {"--members", "1"});
	make_primary("b1", 1);
	run(RUN_WRITE, "b1", "CREATE TABLE t (k int primary key)",
	    RUN_WAIT_MAJORITY);
	struct msg_run r =
		request(RUN_WRITE, "b1", "INSERT INTO t VALUES (7) RETURNING k",
			ONCE_AND_MAJORITY | RUN_ROW_DESCRIPTION);
	strcpy(r.request_id, "order-1");
	Answer *first = run(r);
	ASSERT_EQ(RES_OK, first->end.res) << first->text;
	EXPECT_EQ("TDC", first->types());
	Answer *again = run(r);
	EXPECT_EQ(RES_OK, again->end.res) << again->text;
	EXPECT_EQ(first->data, again->data);
	EXPECT_GT(again->end.write_position, first->end.write_position);
	r.flags = ONCE_AND_MAJORITY;
	EXPECT_EQ("DC", run(r)->types());
	/* A failed request stores no row, so its id can be used again. */
	strcpy(r.request_id, "order-2");
	EXPECT_EQ(RES_SQL_ERROR, run(r)->end.res);
	EXPECT_EQ("1",
		  sql("b1", "SELECT count(*) FROM marjoramlatch_requests"));
	struct msg_run b = request(RUN_WRITE, "b1",
				   "INSERT INTO t VALUES (8); SELECT 'done'",
				   ONCE_AND_MAJORITY | RUN_SIMPLE_QUERY);
	strcpy(b.request_id, "order-2");
	EXPECT_EQ("CTDC", run(b)->types());
	EXPECT_EQ("CTDC", run(b)->types());
	EXPECT_EQ("2", sql("b1", "SELECT count(*) FROM t"));
	/* An answer that is too large is not kept. */
	struct msg_run l = request(
		RUN_WRITE, "b1",
		"INSERT INTO t VALUES (9) RETURNING hex(zeroblob(9000))",
		ONCE_AND_MAJORITY);
	strcpy(l.request_id, "order-3");
	EXPECT_EQ(RES_OK, run(l)->end.res);
	Answer *lost = run(l);
	EXPECT_EQ(RES_ANSWER_LOST, lost->end.res);
	EXPECT_EQ("INSERT 0 1", lost->text);
	/* Only the rows that are too old are deleted. */
	run(RUN_WRITE, "b1",
	    "INSERT INTO marjoramlatch_requests VALUES ('shop', 'old', '', 5)");
	struct run_param before = {};
	before.value = {"1000", 4};
	struct msg_run prune = request(RUN_WRITE, "b1", OUTCOME_DELETE_OLD_SQL);
	prune.params = &before;
	prune.nparams = 1;
	Answer *pruned = run(prune);
	EXPECT_EQ(RES_OK, pruned->end.res) << pruned->text;
	EXPECT_EQ("3",
		  sql("b1", "SELECT count(*) FROM marjoramlatch_requests"));
}

/* Guards against a second order when the answer to the first is lost and
 * the caller retries. */
TEST_F(Exec, RequestIdAfterTheAnswerWasCut)
{
	start("b1", {"--members", "1"});
	cluster::Relay relay(dir);
	set_backend_addr("b1", relay.add("b", addr("b1")));
	make_primary("b1", 1);
	ASSERT_EQ(RES_OK, run(RUN_WRITE, "b1", "CREATE TABLE t (k int)",
			      RUN_WAIT_MAJORITY)
				  ->end.res);
	struct msg_run r =
		request(RUN_WRITE, "b1",
			"INSERT INTO t VALUES (1) /* cost_us=100000 */",
			ONCE_AND_MAJORITY);
	strcpy(r.request_id, "order-1");
	ASSERT_EQ(RES_OK, run(r)->end.res);
	strcpy(r.request_id, "order-2");
	r.answer_timeout_ms = 1000;
	Answer *unanswered = start_request(r);
	/* The relay drops the answers, so the first attempt's row is
	 * committed but its answer doesn't arrive. */
	relay.command("drop b down");
	EXPECT_TRUE(run_event_loop_until([&] { return unanswered->ends > 0; }));
	EXPECT_TRUE(unanswered->end.res == RES_UNKNOWN ||
		    unanswered->end.res == RES_NOT_DURABLE)
		<< res_name((enum res)unanswered->end.res);
	relay.command("cut b");
	relay.command("heal b");
	r.answer_timeout_ms = 5000;
	Answer *again;
	EXPECT_TRUE(run_event_loop_until([&] {
		again = run(r);
		return again->end.res == RES_OK;
	}));
	EXPECT_EQ("C", again->types());
	EXPECT_EQ("2", sql("b1", "SELECT count(*) FROM t"));
}

/* Guards against statements of two transactions that mix on one connection. */
TEST_F(Exec, TransactionsOnOneSlotStayApart)
{
	slots = 1;
	start("b1", {"--members", "1"});
	make_primary("b1", 1);
	run(RUN_WRITE, "b1", "CREATE TABLE t (k int)", RUN_WAIT_MAJORITY);
	std::vector<Answer *> begun;
	for (int i = 0; i < 6; i++)
		begun.push_back(
			start_request(request(RUN_BEGIN, "b1", "BEGIN")));
	for (Answer *a : begun) {
		ASSERT_TRUE(run_event_loop_until([&] { return a->ends > 0; }));
		ASSERT_EQ(RES_OK, a->end.res) << a->text;
		EXPECT_EQ('T', a->end.txn_status_char);
		ASSERT_NE(0, a->end.pinned_conn_id);
	}
	/* All write at the same time; the writer lock admits one at a time. */
	std::vector<Answer *> ends;
	for (int i = 0; i < 6; i++) {
		struct msg_run r = request(RUN_IN_TXN, "b1",
					   "INSERT INTO t VALUES (" +
						   std::to_string(i) + ")");
		r.pinned_conn_id = begun[i]->end.pinned_conn_id;
		ends.push_back(start_request(r));
	}
	std::set<int> open = {0, 1, 2, 3, 4, 5};
	int committed = 0;
	while (!open.empty()) {
		int i = -1;
		ASSERT_TRUE(run_event_loop_until([&] {
			for (int k : open)
				if (ends[k]->ends)
					i = k;
			return i >= 0;
		}));
		open.erase(i);
		ASSERT_EQ(RES_OK, ends[i]->end.res) << ends[i]->text;
		struct msg_run r =
			request(RUN_IN_TXN, "b1", i % 2 ? "COMMIT" : "ROLLBACK",
				RUN_WAIT_MAJORITY);
		r.pinned_conn_id = begun[i]->end.pinned_conn_id;
		Answer *a = run(r);
		EXPECT_EQ(RES_OK, a->end.res) << a->text;
		EXPECT_EQ(0, a->end.pinned_conn_id);
		committed += i % 2;
		EXPECT_EQ(i % 2 ? 1 + committed : 0, a->end.write_position);
	}
	EXPECT_EQ("1|3|5", sql("b1", "SELECT group_concat(k, '|') FROM "
				     "(SELECT k FROM t ORDER BY k)"));
	/* Releasing a pin rolls its transaction back; later requests with
	 * this pin fail. */
	Answer *a = run(RUN_BEGIN, "b1", "BEGIN");
	struct msg_run r =
		request(RUN_IN_TXN, "b1", "INSERT INTO t VALUES (9)");
	r.pinned_conn_id = a->end.pinned_conn_id;
	EXPECT_EQ(RES_OK, run(r)->end.res);
	exec_release_pin(exec, "b1", r.pinned_conn_id);
	EXPECT_EQ(RES_UNREACHABLE, run(r)->end.res);
	EXPECT_EQ("3", sql("b1", "SELECT count(*) FROM t"));
	EXPECT_EQ(RES_OK, run(RUN_WRITE, "b1", "INSERT INTO t VALUES (10)",
			      RUN_WAIT_MAJORITY)
				  ->end.res);
}

/* Guards against a late answer to a canceled or timed out request that
 * reaches the next caller. */
TEST_F(Exec, CancelledAndLateAnswersReachNobodyElse)
{
	start("b1", {"--members", "1"});
	make_primary("b1", 1);
	std::vector<Answer *> all;
	for (int i = 0; i < 120; i++) {
		std::string n = std::to_string(i);
		struct msg_run r =
			request(RUN_READ, "b1",
				"SELECT " + n + " /* cost_us=" +
					std::to_string(i % 7 * 3000) + " */");
		r.answer_timeout_ms = i % 5 == 4 ? 10 : 8000;
		all.push_back(start_request(r));
		if (i % 3 == 2)
			exec_cancel(exec, all[i - 1]->id);
		if (i % 11 == 10)
			exec_abandon(exec, all[i]->id);
		run_event_loop_until(
			[&] { return exec_count_running(exec) < 8; });
	}
	ASSERT_TRUE(run_event_loop_until(
		[&] { return exec_count_running(exec) == 0; }));
	for (int i = 0; i < 120; i++) {
		if (i % 11 == 10) {
			EXPECT_EQ(0, all[i]->ends);
			continue;
		}
		ASSERT_EQ(1, all[i]->ends) << i;
		if (all[i]->end.res == RES_OK)
			EXPECT_EQ(std::to_string(i), all[i]->rows()[0]);
		else
			EXPECT_TRUE(all[i]->rows().empty()) << i;
	}
}

/* Guards against a write that is acknowledged without a lease, or on behalf
 * of a replaced primary. */
TEST_F(Exec, NoAcknowledgementWithoutTheLease)
{
	start("b1", {"--members", "1"});
	make_primary("b1", 1);
	run(RUN_WRITE, "b1", "CREATE TABLE t (k int)", RUN_WAIT_MAJORITY);
	Answer *w = start_request(request(RUN_WRITE, "b1",
					  "INSERT INTO t VALUES (1)"
					  " /* cost_us=50000 */",
					  RUN_WAIT_MAJORITY));
	set_view_lease(0);
	EXPECT_EQ(RES_NO_LEASE,
		  run(RUN_WRITE, "b1", "INSERT INTO t VALUES (2)")->end.res);
	EXPECT_TRUE(run_event_loop_until(
		[&] { return sql("b1", "SELECT count(*) FROM t") == "1"; }));
	EXPECT_EQ(0, w->ends);
	/* The write is acknowledged once the proxy has its lease again. */
	set_view_lease(1);
	EXPECT_TRUE(run_event_loop_until([&] { return w->ends > 0; }));
	EXPECT_EQ(RES_OK, w->end.res);
	w = start_request(
		request(RUN_WRITE, "b1",
			"INSERT INTO t VALUES (3) /* cost_us=100000 */",
			RUN_WAIT_MAJORITY));
	Answer *t = run(RUN_BEGIN, "b1", "BEGIN");
	set_view_primary("b2", 2, 9);
	EXPECT_TRUE(run_event_loop_until([&] { return w->ends > 0; }));
	EXPECT_EQ(RES_UNKNOWN, w->end.res);
	struct msg_run r = request(RUN_IN_TXN, "b1", "SELECT 1");
	r.pinned_conn_id = t->end.pinned_conn_id;
	r.term = 1;
	EXPECT_EQ(RES_PRIMARY_CHANGED, run(r)->end.res);
	EXPECT_EQ(0u, exec_count_pins(exec));
	r = request(RUN_READ, "b1", "SELECT 1", RUN_REQUIRE_LEASE);
	EXPECT_EQ(RES_NO_PRIMARY, run(r)->end.res);
}

/* Guards against a write that is reported as durable although no majority
 * holds it. */
TEST_F(Exec, WriteWithoutAMajorityIsNotDurable)
{
	start("b1");
	start("b2");
	start("b3");
	make_primary("b1", 1);
	ASSERT_EQ(RES_OK, run(RUN_WRITE, "b1", "CREATE TABLE t (k int)",
			      RUN_WAIT_MAJORITY)
				  ->end.res);
	stop("b2");
	stop("b3");
	struct msg_run r = request(RUN_WRITE, "b1", "INSERT INTO t VALUES (1)",
				   RUN_WAIT_MAJORITY);
	r.answer_timeout_ms = 300;
	EXPECT_EQ(RES_NOT_DURABLE, run(r)->end.res);
	struct suspect_report s = {};
	EXPECT_TRUE(run_event_loop_until([&] {
		return exec_list_suspected_primaries(exec, &s, 1, clk_now()) ==
		       1;
	}));
	EXPECT_EQ(SUSPECT_NO_MAJORITY, s.reason);
}

static void increment(void *arg)
{
	++*(int *)arg;
}

/* Guards against a failed primary that is suspected too late. */
TEST_F(Exec, FrozenAndKilledPrimariesAreSuspected)
{
	struct suspect_report s = {};
	int notified = 0;

	exec_on_primary_suspected(exec, increment, &notified);
	start("b1", {"--members", "1"});
	make_primary("b1", 1);
	ASSERT_EQ(RES_OK, run(RUN_READ, "b1", "SELECT 1")->end.res);
	EXPECT_EQ(0, exec_list_suspected_primaries(exec, &s, 1, clk_now()));
	process("b1").suspend_process();
	clk_ms from = clk_now();
	Answer *a = start_request(request(RUN_READ, "b1", "SELECT 1"));
	ASSERT_TRUE(run_event_loop_until([&] { return notified > 0; }));
	EXPECT_LT(clk_now() - from, 900);
	ASSERT_EQ(1, exec_list_suspected_primaries(exec, &s, 1, clk_now()));
	EXPECT_EQ(SUSPECT_UNREACHABLE, s.reason);
	EXPECT_STREQ("orders", s.group);
	EXPECT_TRUE(run_event_loop_until([&] { return a->ends > 0; }));
	EXPECT_EQ(RES_READ_FAILED, a->end.res);
	EXPECT_LT(clk_now() - from, 1500);
	process("b1").resume_process();
	EXPECT_TRUE(run_event_loop_until([&] {
		return !exec_list_suspected_primaries(exec, &s, 1, clk_now());
	}));
	EXPECT_TRUE(run_event_loop_until([&] {
		return run(RUN_READ, "b1", "SELECT 1")->end.res == RES_OK;
	}));
	notified = 0;
	stop("b1");
	from = clk_now();
	ASSERT_TRUE(run_event_loop_until([&] { return notified > 0; }));
	EXPECT_LT(clk_now() - from, 600);
	a = run(RUN_READ, "b1", "SELECT 1");
	EXPECT_EQ(RES_UNREACHABLE, a->end.res) << a->text;
}

/* Guards against connections whose state a middlebox has dropped: they
 * accept data but never deliver an answer. */
TEST_F(Exec, ForgottenConnectionsAreReplaced)
{
	start("b1", {"--members", "1"});
	cluster::Relay relay(dir);
	set_backend_addr("b1", relay.add("b", addr("b1")));
	make_primary("b1", 1);
	EXPECT_TRUE(run_event_loop_until([&] {
		return run(RUN_READ, "b1", "SELECT 1")->end.res == RES_OK;
	}));
	relay.command("forget b");
	clk_ms from = clk_now();
	EXPECT_TRUE(run_event_loop_until([&] {
		return run(RUN_READ, "b1", "SELECT 1")->end.res == RES_OK;
	}));
	EXPECT_LT(clk_now() - from, 1500);
	/* The same for writes, on a connection that was used immediately
	 * before. */
	for (int64_t flags : {(int64_t)RUN_WAIT_MAJORITY, ONCE_AND_MAJORITY}) {
		struct msg_run r =
			request(RUN_WRITE, "b1",
				"CREATE TABLE IF NOT EXISTS t (k int)", flags);
		snprintf(r.request_id, sizeof(r.request_id), "r%lld",
			 (long long)flags);
		EXPECT_TRUE(run_event_loop_until(
			[&] { return run(r)->end.res == RES_OK; }));
		relay.command("forget b");
		from = clk_now();
		EXPECT_EQ(RES_UNKNOWN, run(r)->end.res);
		EXPECT_TRUE(run_event_loop_until(
			[&] { return run(r)->end.res == RES_OK; }));
		EXPECT_LT(clk_now() - from, 1500);
	}
}

/* Guards against new requests on a backend that is leaving, and against
 * requests that wait longer than their wait_ms. */
TEST_F(Exec, LeavingAndWaiting)
{
	slots = 1;
	set.admission = false;
	start("b1", {"--members", "1"});
	make_primary("b1", 1);
	std::string slow = "SELECT 1 /* cost_us=300000 */";
	ASSERT_EQ(RES_OK, run(RUN_READ, "b1", slow)->end.res);
	Answer *runs = start_request(request(RUN_READ, "b1", slow));
	std::vector<Answer *> queue;
	for (int i = 0; i < 8; i++) {
		struct msg_run r = request(RUN_READ, "b1", "SELECT 2");
		r.wait_limit_ms = 50;
		queue.push_back(start_request(r));
	}
	EXPECT_TRUE(
		run_event_loop_until([&] { return queue.back()->ends > 0; }));
	EXPECT_EQ(RES_WAIT_EXCEEDED, queue.back()->end.res);
	Answer *waits = start_request(request(RUN_READ, "b1", "SELECT 3"));
	EXPECT_EQ(0, runs->ends);
	set_view_leaving("b1");
	EXPECT_EQ(RES_LEAVING, run(RUN_READ, "b1", "SELECT 1")->end.res);
	EXPECT_TRUE(run_event_loop_until(
		[&] { return !exec_count_running(exec); }));
	EXPECT_EQ(RES_OK, runs->end.res);
	EXPECT_EQ(RES_LEAVING, waits->end.res);
}

/* Guards against answers that are lost, mixed up or truncated on the link
 * between two proxies. */
TEST_F(Exec, RequestsAreForwardedToTheOwner)
{
	start("b1", {"--members", "1"});
	make_primary("b1", 1);
	add_proxy("b1");
	ASSERT_EQ(RES_OK, run(RUN_WRITE, "b1", "CREATE TABLE t (k int, v text)",
			      RUN_WAIT_MAJORITY)
				  ->end.res);
	std::vector<Answer *> all;
	for (int i = 0; i < 50; i++)
		all.push_back(start_request(
			request(RUN_READ, "b1", "SELECT " + std::to_string(i),
				RUN_REQUIRE_LEASE)));
	for (int i = 0; i < 50; i++) {
		ASSERT_TRUE(
			run_event_loop_until([&] { return all[i]->ends > 0; }));
		ASSERT_EQ(RES_OK, all[i]->end.res) << all[i]->text;
		EXPECT_EQ(std::to_string(i), all[i]->rows()[0]);
	}
	/* An answer that is transferred in several chunks. */
	Answer *a =
		run(RUN_READ, "b1",
		    "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1"
		    " FROM n WHERE i < 300) SELECT hex(zeroblob(2000)) FROM n");
	EXPECT_EQ(300u, a->rows().size());
	/* A forwarded transaction: the first is committed, the second is
	 * released while it is open. */
	Answer *b = run(RUN_BEGIN, "b1", "BEGIN");
	ASSERT_EQ(RES_OK, b->end.res) << b->text;
	struct msg_run r =
		request(RUN_IN_TXN, "b1", "INSERT INTO t VALUES (1, 'x')");
	r.pinned_conn_id = b->end.pinned_conn_id;
	EXPECT_EQ(RES_OK, run(r)->end.res);
	r = request(RUN_IN_TXN, "b1", "COMMIT", RUN_WAIT_MAJORITY);
	r.pinned_conn_id = b->end.pinned_conn_id;
	a = run(r);
	EXPECT_EQ(RES_OK, a->end.res) << a->text;
	EXPECT_EQ(2, a->end.write_position);
	b = run(RUN_BEGIN, "b1", "BEGIN");
	r = request(RUN_IN_TXN, "b1", "INSERT INTO t VALUES (2, 'x')");
	r.pinned_conn_id = b->end.pinned_conn_id;
	EXPECT_EQ(RES_OK, run(r)->end.res);
	exec_release_pin(exec, "b1", r.pinned_conn_id);
	EXPECT_EQ(RES_OK, run(RUN_WRITE, "b1", "UPDATE t SET v = 'y'",
			      RUN_WAIT_MAJORITY)
				  ->end.res);
	EXPECT_EQ("1", sql("b1", "SELECT count(*) FROM t"));
	a = start_request(
		request(RUN_READ, "b1", "SELECT 1 /* cost_us=3000000 */"));
	run_event_loop_until(
		[&] { return exec_count_running(owner->exec) == 1; });
	exec_cancel(exec, a->id);
	EXPECT_TRUE(run_event_loop_until([&] { return a->ends > 0; }));
	EXPECT_STREQ("57014", a->end.sqlstate);
	EXPECT_TRUE(run_event_loop_until(
		[&] { return !exec_count_running(owner->exec); }));
}

/* Guards against requests that are forwarded although scheduling uses
 * pools, and against pools that open more connections than their share. */
TEST_F(Exec, PoolsRunWithoutAnOwner)
{
	connections = 12;
	start("b1", {"--members", "1"});
	set.scheduling = SETTINGS_SCHEDULING_POOLS;
	make_primary("b1", 1);
	std::vector<Answer *> all;
	for (int i = 0; i < 40; i++)
		all.push_back(start_request(request(
			RUN_READ, "b1", "SELECT 1 /* cost_us=5000 */")));
	EXPECT_TRUE(run_event_loop_until(
		[&] { return !exec_count_running(exec); }));
	for (Answer *a : all)
		EXPECT_EQ(RES_OK, a->end.res) << a->text;
	int64_t open = 0;
	exec_each_backend(
		exec, clk_now(),
		[](void *arg, const struct exec_backend_stats *s) {
			*(int64_t *)arg = s->connections;
		},
		&open);
	EXPECT_EQ(8, open);
}

/* Guards against locks that remain when the connection to the proxy a
 * request came from is lost, and against requests that never end when the
 * connection to the owner is lost. */
TEST_F(Exec, LinkBreaksInTheMiddle)
{
	start("b1", {"--members", "1"});
	make_primary("b1", 1);
	add_proxy("b1");
	run(RUN_WRITE, "b1", "CREATE TABLE t (k int)", RUN_WAIT_MAJORITY);
	/* Opens enough connections for the following requests to start
	 * immediately. */
	for (int i = 0; i < 5; i++)
		start_request(request(RUN_READ, "b1",
				      "SELECT 1 /* cost_us=50000 */"));
	EXPECT_TRUE(run_event_loop_until(
		[&] { return !exec_count_running(exec); }));
	Answer *b = run(RUN_BEGIN, "b1", "BEGIN");
	struct msg_run r =
		request(RUN_IN_TXN, "b1", "INSERT INTO t VALUES (1)");
	r.pinned_conn_id = b->end.pinned_conn_id;
	EXPECT_EQ(RES_OK, run(r)->end.res);
	Answer *read = start_request(
		request(RUN_READ, "b1", "SELECT 1 /* cost_us=500000 */"));
	Answer *write = start_request(request(RUN_WRITE, "b1",
					      "INSERT INTO t VALUES (2)",
					      RUN_WAIT_MAJORITY));
	EXPECT_TRUE(run_event_loop_until(
		[&] { return exec_count_running(owner->exec) == 2; }));
	close_peer_links();
	EXPECT_TRUE(run_event_loop_until(
		[&] { return read->ends && write->ends; }));
	EXPECT_EQ(RES_READ_FAILED, read->end.res);
	EXPECT_EQ(RES_UNKNOWN, write->end.res);
	/* The transaction was rolled back; the write that nobody waits for
	 * any more was completed. */
	EXPECT_TRUE(run_event_loop_until([&] {
		return sql("b1", "SELECT sum(k) FROM t") == "2";
	})) << sql("b1", "SELECT group_concat(k) FROM t");
	/* The proxy that forwarded the requests has become the owner. */
	EXPECT_EQ(RES_OK, run(RUN_READ, "b1", "SELECT 1")->end.res);
}

} // namespace
