#include <gtest/gtest.h>

#include <functional>
#include <string>
#include <vector>

#include "lib_loopback.h"

extern "C" {
#include "apikey.h"
#include "front_priv.h"
#include "settings.h"
}

/*
 * Rate limits of tenants in a proxy's sessions, with a member and a control
 * leader played in the same loop.
 */
namespace
{

struct ev_loop *loop;
int member_conns; /* that are open */
int statements; /* READ and WRITE that the member received */
int busy_left; /* statements that it refuses */
bool hold; /* it does not answer statements for now */
struct MemberConn *held; /* the connection of the last one */

struct MemberConn {
	struct net_conn *net;
	char txn = 'I';

	std::string answer(const std::string &text)
	{
		if (text == "ROLLBACK" || text == "COMMIT")
			txn = 'I';
		else if (text.rfind("BEGIN", 0) == 0)
			txn = 'T';
		else if (text.rfind("READ", 0) && text.rfind("WRITE", 0))
			return "COMPLETE -";
		else if (statements++, busy_left > 0) {
			busy_left--;
			return "ERROR BUSY m0";
		}
		return "COMPLETE -";
	}

	void handle(std::string line)
	{
		if (line.rfind("QUERY ", 0) == 0) {
			int before = statements;

			line = answer(line.substr(line.find(' ', 6) + 1));
			if (hold && statements > before) {
				held = this;
				return;
			}
			buf_addf(net_output(net), "%s\r\n", line.c_str());
		}
		ready();
	}

	void ready()
	{
		buf_addf(net_output(net), "READY %c 3.10\r\n", txn);
		net_flush(net);
	}
};

void member_read(void *arg)
{
	auto *c = (MemberConn *)arg;
	struct buf *in = net_input(c->net);
	char *end;

	while (buf_len(in) &&
	       (end = (char *)memchr(buf_data(in), '\n', buf_len(in)))) {
		size_t used = (size_t)(end - buf_data(in)) + 1;
		std::string line(buf_data(in), used - 2);

		buf_consume(in, used);
		c->handle(line);
	}
}

void member_closed(void *arg)
{
	auto *c = (MemberConn *)arg;

	net_free(c->net);
	delete c;
	member_conns--;
}

void member_accept(void *, int fd)
{
	auto *c = new MemberConn{};
	struct net_handler h = {
		.arg = c, .on_read = member_read, .on_close = member_closed};

	c->net = net_from_accepted(loop, fd, &h);
	member_conns++;
}

} // namespace

struct FrontRate : testing::Test {
	struct settings set = {};
	struct err e = ERR_INIT;
	struct front_server *f = nullptr;
	struct net_listener *listener = nullptr;
	struct net_conn *caller = nullptr;
	std::string member_addr = loopback::free_addr();
	std::string received;
	std::vector<struct rate_demand> asks; /* entries received */
	int64_t seq = 0; /* of the newest ask */
	bool has_leader = true;

	void SetUp() override
	{
		loop = ev_loop_new(EVFLAG_AUTO);
		statements = busy_left = 0;
		hold = false;
		strcpy(set.id, "p0");
		strcpy(set.zone, "za");
		strcpy(set.link, "127.0.0.1:0");
		snprintf(set.listen, sizeof(set.listen), "%s",
			 loopback::free_addr().c_str());
		set.promoter_deposes = true;
		set.rate_window_ms = 5000;
		set.rate_slack = 20;
		set.seed = 1;
		f = front_new(loop, &set);
		ASSERT_EQ(RES_OK, front_link(f, 1, &e)) << e.text;
		ASSERT_EQ(RES_OK, front_listen(f, &e)) << e.text;
		ASSERT_EQ(RES_OK,
			  net_listen(&listener, loop, member_addr.c_str(),
				     member_accept, nullptr, &e))
			<< e.text;
		front_on_urgent(
			f, [](void *) {}, nullptr);
		front_on_rate_ask(f, on_ask, this);
		take_roster();
		take_routes();
		connect("orders", "key");
	}

	void TearDown() override
	{
		net_free(caller);
		front_free(f);
		EXPECT_TRUE(run_until([] { return !member_conns; }));
		net_listener_free(listener);
		ev_loop_destroy(loop);
	}

	static bool on_ask(void *arg, const struct msg_rate_ask *ask)
	{
		auto *t = (FrontRate *)arg;

		if (!t->has_leader)
			return false;
		t->seq = ask->seq;
		t->asks.insert(t->asks.end(), ask->demands,
			       ask->demands + ask->ndemands);
		return true;
	}

	void grant(int64_t n, int64_t wait_ms = 0, int64_t valid_ms = 1000)
	{
		struct rate_grant g = {"shop", n, wait_ms, valid_ms, 0, 0};
		struct msg_rate_grant m = {seq, RES_OK, &g, 1};

		front_take_rate_grant(f, &m);
	}

	void take_roster()
	{
		struct backend_info b = {};
		struct group_info g = {};
		struct proxy_info p = {};

		strcpy(b.id, "m0");
		strcpy(b.group, "g1");
		strcpy(b.zone, "za");
		strcpy(b.addr, member_addr.c_str());
		b.slots = 5;
		front_take_backends(f, &b, 1);
		strcpy(g.name, "g1");
		strcpy(g.primary, "m0");
		g.term = 1;
		front_take_groups(f, &g, 1);
		strcpy(p.id, "p0");
		strcpy(p.zone, "za");
		p.alive = true;
		front_take_proxies(f, &p, 1);
	}

	void take_routes()
	{
		struct route_table *r = rt_new();

		r->version = 1;
		r->txn_idle_ms = 9000;
		r->ngroups = 1;
		r->groups = (rt_group *)calloc(1, sizeof(rt_group));
		strcpy(r->groups[0].name, "g1");
		r->groups[0].max_connections = 30;
		r->ndatabases = 2;
		r->databases = (rt_database *)calloc(2, sizeof(rt_database));
		for (int i = 0; i < 2; i++) {
			struct rt_database *d = &r->databases[i];

			strcpy(d->name, i ? "open" : "orders");
			strcpy(d->group, "g1");
			d->read_freshness = RT_READS_CURRENT;
			d->statement_timeout_ms = 3000;
			d->is_public = i;
		}
		r->has_tenants = true;
		r->ntenants = 1;
		r->tenants = (rt_tenant *)calloc(1, sizeof(rt_tenant));
		strcpy(r->tenants[0].name, "shop");
		r->tenants[0].rate_milli = 10000;
		r->tenants[0].burst_milli = 10000;
		r->napi_keys = 1;
		r->api_keys = (rt_api_key *)calloc(1, sizeof(rt_api_key));
		akey_hash(set.key, "key", 3, r->api_keys[0].hash);
		rt_sort(r);
		front_take_routes(f, r);
		rt_unref(r);
	}

	void connect(const std::string &database, const std::string &key)
	{
		struct net_handler h = {
			.arg = this,
			.on_read =
				[](void *arg) {
					auto *t = (FrontRate *)arg;
					struct buf *in = net_input(t->caller);

					t->received.append(buf_data(in),
							   buf_len(in));
					buf_consume(in, buf_len(in));
				},
			.on_close = [](void *) {}};

		caller = net_connect(loop, set.listen, &h, &e);
		ASSERT_NE(nullptr, caller) << e.text;
		exchange("STARTUP " + database + " " + key);
	}

	void send(const std::string &line)
	{
		received.clear();
		buf_addf(net_output(caller), "%s\r\n", line.c_str());
		net_flush(caller);
	}

	bool run_until(const std::function<bool()> &done)
	{
		return loopback::run_until(loop, done);
	}

	std::string wait_answer()
	{
		EXPECT_TRUE(run_until([&] {
			return received.find("READY") != std::string::npos;
		}));
		return received;
	}

	/* Sends a line and returns the answer. */
	std::string exchange(const std::string &line)
	{
		send(line);
		return wait_answer();
	}

	/* Sends a statement and waits until its ask has come. */
	void send_and_ask(const std::string &line)
	{
		size_t before = asks.size();

		send(line);
		EXPECT_TRUE(run_until([&] { return asks.size() > before; }));
	}

	struct rl_stats stats()
	{
		struct rl_stats st = {};

		rl_client_each(
			f->caps, clk_now(),
			[](void *arg, const struct rl_stats *s) {
				*(struct rl_stats *)arg = *s;
			},
			&st);
		return st;
	}
};

/* Guards against operations that are sent without a token, and against a wait
 * for the timer when the grant has come. */
TEST_F(FrontRate, AnOperationWaitsForItsToken)
{
	send_and_ask("QUERY 1 WRITE a 1");
	EXPECT_EQ(1, asks.back().waiting);
	EXPECT_EQ(0, statements);
	grant(1);
	EXPECT_TRUE(f->sessions->job_runs) << "tried at once";
	EXPECT_NE(std::string::npos, wait_answer().find("COMPLETE"));
	EXPECT_EQ(1, statements);
	EXPECT_EQ(1u, stats().asked);
	EXPECT_EQ(1u, stats().served);
}

/* Guards against a transaction that pays for each of its statements. */
TEST_F(FrontRate, ATransactionTakesOneToken)
{
	exchange("QUERY 1 BEGIN");
	send_and_ask("QUERY 2 WRITE a 1");
	grant(1);
	EXPECT_NE(std::string::npos, wait_answer().find("COMPLETE"));
	for (const char *line :
	     {"QUERY 3 WRITE b 1", "QUERY 4 READ a", "QUERY 5 COMMIT"})
		EXPECT_NE(std::string::npos, exchange(line).find("COMPLETE"))
			<< line;
	EXPECT_EQ(3, statements);
	EXPECT_EQ(1u, asks.size());
}

/* Guards against a refusal without the time to retry, and against an operation
 * that waits although the leader has said that there is nothing. */
TEST_F(FrontRate, AtTheCapOperationsAreRefusedAtOnce)
{
	send_and_ask("QUERY 1 WRITE a 1");
	grant(0, 2000);
	EXPECT_EQ(0u, wait_answer().find("ERROR BUSY retry after "))
		<< received;
	clk_ms began = clk_now();
	EXPECT_EQ(0u,
		  exchange("QUERY 2 WRITE a 1").find("ERROR BUSY retry after "))
		<< received;
	EXPECT_LT(clk_now() - began, 100);
	EXPECT_EQ(0, statements);
	EXPECT_EQ(1u, asks.size());
	EXPECT_EQ(2u, stats().refused_limit);
}

/* Guards against callers that wait without end when control is silent. */
TEST_F(FrontRate, WithoutALeaderOperationsAreRefusedAfterAShortWait)
{
	has_leader = false;
	clk_ms began = clk_now();
	EXPECT_EQ(0u,
		  exchange("QUERY 1 WRITE a 1").find("ERROR BUSY retry after "))
		<< received;
	EXPECT_GE(clk_now() - began, RL_MAX_WAIT_MS);
	EXPECT_LT(clk_now() - began, RL_MAX_WAIT_MS + 200);
	EXPECT_EQ(1u, stats().refused_no_answer);
	EXPECT_EQ(0, statements);
}

/* Guards against a statement that pays twice: the limit counts what members
 * run, and this one was refused unrun at first. */
TEST_F(FrontRate, AStatementThatAMemberRefusedKeepsItsToken)
{
	busy_left = 1;
	send_and_ask("QUERY 1 WRITE a 1");
	size_t before = asks.size();
	grant(1);
	EXPECT_EQ(0u, wait_answer().find("COMPLETE")) << received;
	EXPECT_EQ(2, statements);
	EXPECT_EQ(before, asks.size());
	EXPECT_EQ(1u, stats().served);
	EXPECT_EQ(0, stats().left_milli);
}

/* Guards against a statement that loses its token while it waits for a member:
 * its caller sent it before, so it counts in no later window. */
TEST_F(FrontRate, AStatementThatWaitsKeepsItsToken)
{
	busy_left = 60; /* at least 20 ms each */
	send_and_ask("QUERY 1 WRITE a 1");
	size_t before = asks.size();
	clk_ms began = clk_now();
	grant(1);
	EXPECT_EQ(0u, wait_answer().find("COMPLETE")) << received;
	EXPECT_GE(clk_now() - began, RL_TOKEN_MS);
	EXPECT_EQ(before, asks.size());
	EXPECT_EQ(1u, stats().served);
}

/* Guards against a read that is hedged without a token for it, and against one
 * that is given up for a hedge that can't be sent. */
TEST_F(FrontRate, AHedgeTakesAnotherToken)
{
	hold = true;
	send_and_ask("QUERY 1 READ a");
	grant(1);
	ASSERT_TRUE(run_until([] { return statements == 1; }));
	clk_ms began = clk_now();
	run_until([&] { return clk_now() - began > 800; });
	EXPECT_EQ(1, statements) << "no token, no hedge";
	hold = false;
	buf_addf(net_output(held->net), "COMPLETE -\r\n");
	held->ready();
	EXPECT_EQ(0u, wait_answer().find("COMPLETE")) << received;
}

/* Guards against reads that are never hedged where there is a limit. */
TEST_F(FrontRate, AHedgeWithATokenIsSent)
{
	hold = true;
	send_and_ask("QUERY 1 READ a");
	grant(2);
	EXPECT_TRUE(run_until([] { return statements == 2; }));
	EXPECT_EQ(2u, stats().served);
}

/* Guards against tokens that are lost with operations that are refused without
 * having run: here, as the member can't be reached. */
TEST_F(FrontRate, AnUnsentOperationReturnsItsToken)
{
	net_listener_free(listener);
	listener = nullptr;
	send_and_ask("QUERY 1 WRITE a 1");
	grant(1, 0, 100000);
	EXPECT_NE(std::string::npos, wait_answer().find("ERROR")) << received;
	EXPECT_EQ(0u, stats().served);
	EXPECT_EQ(1000, stats().left_milli);
}

/* Guards against limits for callers without a tenant. */
TEST_F(FrontRate, CallersWithoutATenantHaveNoLimit)
{
	net_free(caller);
	connect("open", "other");
	EXPECT_NE(std::string::npos,
		  exchange("QUERY 1 WRITE a 1").find("COMPLETE"));
	EXPECT_EQ(0u, asks.size());
}

/* Guards against metrics without what operators need for each tenant. */
TEST_F(FrontRate, MetricsShowEachTenant)
{
	struct buf text = BUF_INIT;

	send_and_ask("QUERY 1 WRITE a 1");
	grant(3);
	wait_answer();
	front_put_tenant_metrics(f, &text);
	std::string all(buf_data(&text), buf_len(&text));
	for (const char *line :
	     {"tenant_asked{tenant=\"shop\"} 1\n",
	      "tenant_served{tenant=\"shop\"} 1\n",
	      "tenant_refused{tenant=\"shop\",reason=\"limit\"} 0\n",
	      "tenant_refused{tenant=\"shop\",reason=\"no_answer\"} 0\n",
	      "tenant_share_milli{tenant=\"shop\"} 0\n",
	      "tenant_left_milli{tenant=\"shop\"} 2000\n"})
		EXPECT_NE(std::string::npos, all.find(line)) << line << all;
	buf_free(&text);
}
