#include <gtest/gtest.h>

#include <map>
#include <string>

extern "C" {
#include "counter.h"
#include "exec.h"
#include "filter.h"
#include "link.h"
#include "lists.h"
#include "quota.h"
#include "retry.h"
#include "rng.h"
#include "route.h"
#include "settings.h"
#include "view.h"
}

static std::string make_lists()
{
	char hash[LST_HASH_LEN];

	lst_hash_password("secret", hash, NULL);
	return std::string(
		       "{\"plans\": [{\"name\": \"p\", \"connections\": 2, "
		       "\"max_age_ms\": 5000, \"max_wait_ms\": 500}], "
		       "\"customers\": [{\"name\": \"shop\", \"plan\": \"p\", "
		       "\"password_hash\": \"") +
	       hash + "\"}]}";
}

/* A chain over a view with one group of three members in two zones. */
class Filter : public ::testing::Test
{
      protected:
	settings set = {};
	view *v = view_new("e1", "z1");
	quota_client *quota = quota_client_new();
	flt *f = nullptr;
	clk_ms now = 100000;
	int64_t term = 1, view_version = 0;
	std::map<std::string, exec_hint> hints;
	token tok = {};
	int64_t answers = 0;
	std::string lists = make_lists();

	void SetUp() override
	{
		strcpy(set.zone, "z1");
		set.admission = true;
		f = flt_new(&set, v, quota, 7);
		flt_set_hints(
			f,
			[](void *arg, const char *b, clk_ms) {
				return ((Filter *)arg)->hints[b];
			},
			this);
		for (const char *id : {"m1", "m2", "m3"})
			hints[id] = {1, 100, 0, now, true, 0};
		answer(1, "m1", 2);
	}
	void TearDown() override
	{
		flt_free(f);
		quota_client_free(quota);
		view_free(v);
	}
	/* An answer of control: lists, group, members, lease and quota. */
	void answer(int64_t t, const char *primary, int64_t units,
		    bool changing = false)
	{
		term_start starts[] = {{1, 0}, {2, 50}};
		group_info g = {};
		backend_info b[3] = {};
		quota_grant grant = {};
		name listed = {"orders"};
		msg_answer a = {};

		strcpy(g.name, "orders");
		strcpy(g.primary, primary);
		g.term = t;
		g.starts = starts;
		g.nstarts = t;
		g.version = ++view_version;
		for (int i = 0; i < 3; i++) {
			snprintf(b[i].id, ID_LEN, "m%d", i + 1);
			strcpy(b[i].group, "orders");
			strcpy(b[i].zone, i == 1 ? "z1" : "z2");
			b[i].version = view_version;
		}
		strcpy(grant.customer, "shop");
		grant.units = units;
		a.answer_seq = ++answers;
		a.lease_ms = 1000;
		a.grant_ms = 2000;
		a.cfg_version = 1;
		a.cfg = {lists.data(), lists.size()};
		a.view_version = view_version;
		a.groups = &g;
		a.ngroups = 1;
		a.backends = b;
		a.nbackends = 3;
		a.grants = &grant;
		a.ngrants = 1;
		a.changing = &listed;
		a.nchanging = changing;
		view_take(v, &a, now);
		quota_client_take(quota, &a, now);
		term = t;
	}
	int64_t submit(run_kind kind, clk_ms max_age = -1)
	{
		flt_request rq = {};

		strcpy(rq.customer, "shop");
		strcpy(rq.group, "orders");
		rq.kind = kind;
		rq.token = &tok;
		rq.max_age_ms = max_age;
		rq.max_wait_ms = -1;
		rq.request_id = "";
		rq.sql = {"x", 1};
		return flt_submit(f, &rq, now);
	}
	void end(int64_t id, const char *backend, res r, int64_t wrote = 0)
	{
		msg_end e = {};

		e.res = r;
		e.write_term = wrote;
		flt_ended(f, id, backend, &e, false, now);
	}
	/* The backend of the next FLT_RUN, "done <code>", or "nothing". */
	std::string next(int64_t *id = nullptr)
	{
		flt_action a;

		if (!flt_poll(f, &a))
			return "nothing";
		if (id)
			*id = a.id;
		return a.kind == FLT_RUN ? a.u.run.backend
					 : std::string("done ") +
						   res_name((res)a.u.end.res);
	}
};

/* Guards against reads that burden the primary or another zone without need. */
TEST_F(Filter, ReadGoesToTheLocalReplica)
{
	submit(RUN_READ);
	EXPECT_EQ("m2", next());
}

/* Guards against stale own reads: a replica short of the token is passed by. */
TEST_F(Filter, ReadWithTokenAvoidsReplicasBehind)
{
	tok_raise(&tok, "orders", 1, 200);
	hints["m2"].age_ms = hints["m3"].age_ms = 900;
	submit(RUN_READ);
	EXPECT_EQ("m1", next());
}

TEST_F(Filter, CurrentReadNeedsTheLease)
{
	submit(RUN_READ, 0);
	EXPECT_EQ("m1", next());
	now += 1000;
	submit(RUN_READ, 0);
	EXPECT_EQ("nothing", next());
	now += 500;
	flt_tick(f, now);
	EXPECT_EQ("done NO_LEASE", next());
}

/* Guards against requests lost in a change of primary that they could wait
 * for. */
TEST_F(Filter, WriteWaitsForTheNextPrimary)
{
	answer(1, "m1", 2, true);
	submit(RUN_WRITE);
	EXPECT_EQ("nothing", next());
	now += 100;
	answer(2, "m3", 2);
	flt_tick(f, now);
	EXPECT_EQ("m3", next());
}

TEST_F(Filter, LostTokenIsTold)
{
	answer(2, "m3", 2);
	tok_raise(&tok, "orders", 1, 51);
	submit(RUN_READ);
	EXPECT_EQ("done TOKEN_LOST", next());
}

/* Guards against a write that may have run being sent twice. */
TEST_F(Filter, UnknownWriteIsNotRetried)
{
	int64_t id = submit(RUN_WRITE);

	EXPECT_EQ("m1", next());
	end(id, "m1", RES_UNKNOWN);
	EXPECT_EQ("done UNKNOWN", next());
}

/* Guards against acknowledging a write of a replaced primary when the answer
 * was long on its way: seen to answer OK without flt_acknowledge(). */
TEST_F(Filter, LateAnswerOfAnOldTermIsUnknown)
{
	int64_t id = submit(RUN_WRITE);

	EXPECT_EQ("m1", next());
	answer(2, "m3", 2);
	end(id, "m1", RES_OK, 1);
	EXPECT_EQ("done UNKNOWN", next());
}

TEST_F(Filter, AnswerWaitsForARenewedLease)
{
	now += 800;
	int64_t id = submit(RUN_WRITE);
	EXPECT_EQ("m1", next());
	now += 300;
	end(id, "m1", RES_OK, 1);
	EXPECT_EQ("nothing", next());
	answer(1, "m1", 2);
	flt_tick(f, now);
	EXPECT_EQ("done OK", next());
}

TEST_F(Filter, FailedReadMovesToAnotherMember)
{
	int64_t id = submit(RUN_READ);

	EXPECT_EQ("m2", next());
	end(id, "m2", RES_BEHIND);
	EXPECT_EQ("m3", next());
}

/* Guards against a customer that takes more than its plan at one proxy. */
TEST_F(Filter, UnitsBoundWhatRuns)
{
	int64_t id;

	submit(RUN_READ);
	submit(RUN_READ);
	submit(RUN_READ);
	EXPECT_EQ("m2", next(&id));
	EXPECT_EQ("m2", next());
	EXPECT_EQ("nothing", next());
	EXPECT_TRUE(flt_wants_quota(f));
	end(id, "m2", RES_OK);
	EXPECT_EQ("done OK", next());
	EXPECT_EQ("m2", next());
}

/* Guards against callers that wait for what can't be served in time. */
TEST_F(Filter, RefusesAtOnceWhatCannotBeServedInTime)
{
	for (int i = 0; i < 500; i++)
		submit(RUN_READ);
	std::string last;
	for (std::string s = next(); s != "nothing"; s = next())
		last = s;
	EXPECT_EQ("done OVERLOAD", last);
}

TEST_F(Filter, QueuedRequestEndsAtItsWait)
{
	answer(1, "m1", 0);
	submit(RUN_READ);
	EXPECT_EQ("nothing", next());
	now += 500;
	flt_tick(f, now);
	EXPECT_EQ("done PLAN_LIMIT", next());
}

/* Guards against a customer that exceeds its plan because statements of a lost
 * link still run: seen to hand the units out again at once without doubts. */
TEST_F(Filter, UnitOfALostStatementIsKept)
{
	int64_t id;

	submit(RUN_WRITE);
	EXPECT_EQ("m1", next(&id));
	end(id, "m1", RES_UNKNOWN);
	EXPECT_EQ("done UNKNOWN", next());
	submit(RUN_READ);
	submit(RUN_READ);
	EXPECT_EQ("m2", next());
	EXPECT_EQ("nothing", next());
	flt_abandon(f, id, now);
	answer(1, "m1", 2);
	now = flt_due(f);
	flt_tick(f, now);
	EXPECT_EQ("nothing", next());
}

TEST_F(Filter, UnitOfALostStatementComesBack)
{
	int64_t id;
	quota_demand d[4];

	submit(RUN_WRITE);
	EXPECT_EQ("m1", next(&id));
	end(id, "m1", RES_UNKNOWN);
	EXPECT_EQ("done UNKNOWN", next());
	EXPECT_EQ(1, flt_demands(f, d, 4, now));
	EXPECT_GE(flt_due(f), now + LINK_SILENT_MS);
	now = flt_due(f);
	flt_tick(f, now);
	EXPECT_EQ(0, flt_demands(f, d, 4, now));
}

/* Guards against a customer that exceeds its plan because statements go on
 * after the grants of a cut proxy have passed to others: sys_zone saw 7 of 6.
 */
TEST_F(Filter, StatementsStopWhenGrantsEnd)
{
	flt_action a;

	submit(RUN_READ);
	EXPECT_EQ("m2", next());
	now = flt_due(f);
	EXPECT_LE(now, 100000 + 2000 - QUOTA_STOP_MS);
	flt_tick(f, now);
	ASSERT_TRUE(flt_poll(f, &a));
	EXPECT_EQ(FLT_STOP, a.kind);
	EXPECT_FALSE(flt_poll(f, &a));
	submit(RUN_READ);
	EXPECT_EQ("nothing", next());
}

/* Guards against a pinned unit that is never given back. */
TEST_F(Filter, TransactionHoldsItsUnit)
{
	quota_demand d[4];
	msg_end e = {};
	int64_t id = submit(RUN_BEGIN);

	EXPECT_EQ("m1", next());
	e.txn = 'T';
	e.pin = 9;
	flt_ended(f, id, "m1", &e, false, now);
	EXPECT_EQ("done OK", next());
	ASSERT_EQ(1, flt_demands(f, d, 4, now));
	EXPECT_EQ(1, d[0].in_use);
	flt_unpin(f, "shop");
	EXPECT_EQ(0, flt_demands(f, d, 4, now));
}

/* Guards against retries that multiply load when everything fails. */
TEST(Retry, BudgetBoundsRetries)
{
	retry_budget b = retry_new();
	int retries = 0;

	for (int i = 0; i < 1000; i++) {
		retry_earn(&b, 10);
		retries += retry_spend(&b);
	}
	EXPECT_LE(retries, RETRY_BURST + 100);
	EXPECT_GE(retries, 100);
}

TEST(Retry, PauseIsJitteredAndCapped)
{
	rng *r = rng_new(1);

	for (int n = 0; n < 60; n++) {
		clk_ms p = retry_pause(r, n);

		EXPECT_GE(p, 0);
		EXPECT_LE(p, RETRY_CAP_MS);
	}
	rng_free(r);
}
