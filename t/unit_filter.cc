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

/* Tests the request filter (filter.h) as a whole, on a view with one group of
 * three members in two zones. */
class Filter : public ::testing::Test
{
      protected:
	settings set = {};
	view *v = view_new("e1", "z1");
	quota_client *quota = quota_client_new();
	flt *f = nullptr;
	clk_ms now = 100000;
	int64_t term = 1, view_version = 0;
	std::map<std::string, exec_routing_info> hints;
	token tok = {};
	int64_t answer_count = 0;
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
		receive_answer(1, "m1", 2);
	}
	void TearDown() override
	{
		flt_free(f);
		quota_client_free(quota);
		view_free(v);
	}
	/* Receives an answer of the control leader with the lists, the group,
	 * its members, the lease and the customer's quota units. */
	void receive_answer(int64_t new_term, const char *primary,
			    int64_t units, bool changing = false)
	{
		term_start starts[] = {{1, 0}, {2, 50}};
		group_info g = {};
		backend_info b[3] = {};
		quota_grant grant = {};
		name_entry changing_group = {"orders"};
		msg_answer a = {};

		strcpy(g.name, "orders");
		strcpy(g.primary, primary);
		g.term = new_term;
		g.term_starts = starts;
		g.nterm_starts = new_term;
		g.version = ++view_version;
		for (int i = 0; i < 3; i++) {
			snprintf(b[i].id, ID_LEN, "m%d", i + 1);
			strcpy(b[i].group, "orders");
			strcpy(b[i].zone, i == 1 ? "z1" : "z2");
			b[i].version = view_version;
		}
		strcpy(grant.customer, "shop");
		grant.units = units;
		a.answer_seq = ++answer_count;
		a.lease_ms = 1000;
		a.grant_ms = 2000;
		a.current_lists_version = 1;
		a.lists_text = {lists.data(), lists.size()};
		a.view_version = view_version;
		a.groups = &g;
		a.ngroups = 1;
		a.backends = b;
		a.nbackends = 3;
		a.grants = &grant;
		a.ngrants = 1;
		a.changing_groups = &changing_group;
		a.nchanging_groups = changing;
		view_apply_answer(v, &a, now);
		quota_client_apply_answer(quota, &a, now);
		term = new_term;
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
	void end(int64_t id, const char *backend, res r, int64_t write_term = 0)
	{
		msg_end e = {};

		e.res = r;
		e.write_term = write_term;
		flt_attempt_ended(f, id, backend, &e, false, now);
	}
	/* Returns the next action: the backend of an FLT_RUN, "done <code>" for
	 * the end of a request, or "nothing". */
	std::string next_action(int64_t *id = nullptr)
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

/* Guards against reads that go to the primary or another zone without need. */
TEST_F(Filter, ReadGoesToTheLocalReplica)
{
	submit(RUN_READ);
	EXPECT_EQ("m2", next_action());
}

/* Guards against reads that miss the session's own writes: a replica that has
 * not reached the position in the token is not used. */
TEST_F(Filter, ReadWithTokenAvoidsReplicasBehind)
{
	tok_raise(&tok, "orders", 1, 200);
	hints["m2"].applied_age_ms = hints["m3"].applied_age_ms = 900;
	submit(RUN_READ);
	EXPECT_EQ("m1", next_action());
}

TEST_F(Filter, CurrentReadNeedsTheLease)
{
	submit(RUN_READ, 0);
	EXPECT_EQ("m1", next_action());
	now += 1000;
	submit(RUN_READ, 0);
	EXPECT_EQ("nothing", next_action());
	now += 500;
	flt_tick(f, now);
	EXPECT_EQ("done NO_LEASE", next_action());
}

/* Guards against refusing requests during a change of primary that ends within
 * their maximum wait. */
TEST_F(Filter, WriteWaitsForTheNextPrimary)
{
	receive_answer(1, "m1", 2, true);
	submit(RUN_WRITE);
	EXPECT_EQ("nothing", next_action());
	now += 100;
	receive_answer(2, "m3", 2);
	flt_tick(f, now);
	EXPECT_EQ("m3", next_action());
}

TEST_F(Filter, LostTokenIsTold)
{
	receive_answer(2, "m3", 2);
	tok_raise(&tok, "orders", 1, 51);
	submit(RUN_READ);
	EXPECT_EQ("done TOKEN_LOST", next_action());
}

/* Guards against sending a write twice that may have run already. */
TEST_F(Filter, UnknownWriteIsNotRetried)
{
	int64_t id = submit(RUN_WRITE);

	EXPECT_EQ("m1", next_action());
	end(id, "m1", RES_UNKNOWN);
	EXPECT_EQ("done UNKNOWN", next_action());
}

/* Guards against acknowledging a write of a primary that was replaced before
 * its answer arrived. Without flt_acknowledge() this request ended with OK. */
TEST_F(Filter, LateAnswerOfAnOldTermIsUnknown)
{
	int64_t id = submit(RUN_WRITE);

	EXPECT_EQ("m1", next_action());
	receive_answer(2, "m3", 2);
	end(id, "m1", RES_OK, 1);
	EXPECT_EQ("done UNKNOWN", next_action());
}

TEST_F(Filter, AnswerWaitsForARenewedLease)
{
	now += 800;
	int64_t id = submit(RUN_WRITE);
	EXPECT_EQ("m1", next_action());
	now += 300;
	end(id, "m1", RES_OK, 1);
	EXPECT_EQ("nothing", next_action());
	receive_answer(1, "m1", 2);
	flt_tick(f, now);
	EXPECT_EQ("done OK", next_action());
}

TEST_F(Filter, FailedReadMovesToAnotherMember)
{
	int64_t id = submit(RUN_READ);

	EXPECT_EQ("m2", next_action());
	end(id, "m2", RES_BEHIND);
	EXPECT_EQ("m3", next_action());
}

/* Guards against a customer that exceeds the limit of its plan at one proxy. */
TEST_F(Filter, UnitsBoundWhatRuns)
{
	int64_t id;

	submit(RUN_READ);
	submit(RUN_READ);
	submit(RUN_READ);
	EXPECT_EQ("m2", next_action(&id));
	EXPECT_EQ("m2", next_action());
	EXPECT_EQ("nothing", next_action());
	EXPECT_TRUE(flt_wants_quota(f));
	end(id, "m2", RES_OK);
	EXPECT_EQ("done OK", next_action());
	EXPECT_EQ("m2", next_action());
}

/* Guards against queueing requests that can't be served within their maximum
 * wait. */
TEST_F(Filter, RefusesAtOnceWhatCannotBeServedInTime)
{
	for (int i = 0; i < 500; i++)
		submit(RUN_READ);
	std::string last;
	for (std::string s = next_action(); s != "nothing"; s = next_action())
		last = s;
	EXPECT_EQ("done OVERLOAD", last);
}

TEST_F(Filter, QueuedRequestEndsAtItsWait)
{
	receive_answer(1, "m1", 0);
	submit(RUN_READ);
	EXPECT_EQ("nothing", next_action());
	now += 500;
	flt_tick(f, now);
	EXPECT_EQ("done PLAN_LIMIT", next_action());
}

/* Guards against a customer that exceeds its plan because statements still run
 * after their link was lost. Without a record of such statements,
 * their units were available to other requests at once. */
TEST_F(Filter, UnitOfALostStatementIsKept)
{
	int64_t id;

	submit(RUN_WRITE);
	EXPECT_EQ("m1", next_action(&id));
	end(id, "m1", RES_UNKNOWN);
	EXPECT_EQ("done UNKNOWN", next_action());
	submit(RUN_READ);
	submit(RUN_READ);
	EXPECT_EQ("m2", next_action());
	EXPECT_EQ("nothing", next_action());
	flt_abandon(f, id, now);
	receive_answer(1, "m1", 2);
	now = flt_due(f);
	flt_tick(f, now);
	EXPECT_EQ("nothing", next_action());
}

TEST_F(Filter, UnitOfALostStatementComesBack)
{
	int64_t id;
	quota_demand d[4];

	submit(RUN_WRITE);
	EXPECT_EQ("m1", next_action(&id));
	end(id, "m1", RES_UNKNOWN);
	EXPECT_EQ("done UNKNOWN", next_action());
	EXPECT_EQ(1, flt_demands(f, d, 4, now));
	EXPECT_GE(flt_due(f), now + LINK_TIMEOUT_MS);
	now = flt_due(f);
	flt_tick(f, now);
	EXPECT_EQ(0, flt_demands(f, d, 4, now));
}

/* Guards against a customer that exceeds its plan because statements of a
 * disconnected proxy still run when its grants have passed to other proxies.
 * In sys_zone, 7 statements ran at the same time where the plan allows 6. */
TEST_F(Filter, StatementsStopWhenGrantsEnd)
{
	flt_action a;

	submit(RUN_READ);
	EXPECT_EQ("m2", next_action());
	now = flt_due(f);
	EXPECT_LE(now, 100000 + 2000 - QUOTA_CANCEL_MARGIN_MS);
	flt_tick(f, now);
	ASSERT_TRUE(flt_poll(f, &a));
	EXPECT_EQ(FLT_CANCEL, a.kind);
	EXPECT_FALSE(flt_poll(f, &a));
	submit(RUN_READ);
	EXPECT_EQ("nothing", next_action());
}

/* Guards against a unit that is never released after its transaction, which
 * pins a connection and holds the unit. */
TEST_F(Filter, TransactionHoldsItsUnit)
{
	quota_demand d[4];
	msg_end e = {};
	int64_t id = submit(RUN_BEGIN);

	EXPECT_EQ("m1", next_action());
	e.txn_status_char = 'T';
	e.pinned_conn_id = 9;
	flt_attempt_ended(f, id, "m1", &e, false, now);
	EXPECT_EQ("done OK", next_action());
	ASSERT_EQ(1, flt_demands(f, d, 4, now));
	EXPECT_EQ(1, d[0].in_use);
	flt_release_pinned_unit(f, "shop");
	EXPECT_EQ(0, flt_demands(f, d, 4, now));
}

/* Guards against retries that multiply the load when every request fails. */
TEST(Retry, BudgetBoundsRetries)
{
	retry_budget b = retry_budget_init();
	int retries = 0;

	for (int i = 0; i < 1000; i++) {
		retry_budget_deposit(&b, 10);
		retries += retry_budget_withdraw(&b);
	}
	EXPECT_LE(retries, RETRY_MAX_TOKENS + 100);
	EXPECT_GE(retries, 100);
}

TEST(Retry, PauseIsJitteredAndCapped)
{
	rng *r = rng_new(1);

	for (int n = 0; n < 60; n++) {
		clk_ms p = retry_backoff_ms(r, n);

		EXPECT_GE(p, 0);
		EXPECT_LE(p, RETRY_CAP_MS);
	}
	rng_free(r);
}
