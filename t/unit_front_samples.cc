#include <gtest/gtest.h>

#include <functional>
#include <string>

#include "lib_loopback.h"

extern "C" {
#include "front_priv.h"
#include "settings.h"
}

/*
 * Which answers of members a proxy takes as the position of the primary, with
 * the real session and connection code, and members played in the same loop.
 */
namespace
{

constexpr int LEASE_MS = 300;

struct ev_loop *loop;
int member_conns; /* that are open */

struct Member {
	std::string id;
	std::string addr;
	bool leads;
	struct pos pos;
	bool hold_prepare = false; /* leave PREPARE unanswered for now */
	struct net_listener *listener = nullptr;
	struct MemberConn *held = nullptr;
};

struct MemberConn {
	Member *member;
	struct net_conn *net;
	char txn = 'I';
	bool read_only = false;

	void reply(const std::string &line)
	{
		buf_addf(net_output(net), "%s\r\n", line.c_str());
	}

	void ready()
	{
		buf_addf(net_output(net), "READY %c %lld.%lld\r\n", txn,
			 (long long)member->pos.term,
			 (long long)member->pos.number);
		net_flush(net);
	}

	/* True if the member refuses a statement because it does not lead. */
	bool refuses() const
	{
		return txn == 'T' && !read_only && !member->leads;
	}

	void run(const std::string &text)
	{
		if (text == "BEGIN" && !member->leads) {
			reply("ERROR READONLY " + member->id);
			return;
		}
		if (text == "BEGIN" || text == "BEGIN READ") {
			txn = 'T';
			read_only = text != "BEGIN";
		} else if (text == "COMMIT" || text == "ROLLBACK") {
			txn = 'I';
		} else if (refuses()) {
			txn = 'E';
			reply("ERROR READONLY " + member->id);
			return;
		}
		reply("COMPLETE -");
	}

	void handle(std::string line)
	{
		if (line.rfind("QUERY ", 0) == 0) {
			line = line.substr(line.find(' ', 6) + 1);
			if (member->hold_prepare &&
			    line.rfind("PREPARE", 0) == 0) {
				member->held = this;
				return;
			}
			run(line);
		}
		ready();
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

void member_accept(void *arg, int fd)
{
	auto *c = new MemberConn{(Member *)arg};
	struct net_handler h = {
		.arg = c, .on_read = member_read, .on_close = member_closed};

	c->net = net_from_accepted(loop, fd, &h);
	member_conns++;
}

} // namespace

struct FrontSamples : testing::Test {
	struct settings set = {};
	struct err e = ERR_INIT;
	struct front_server *f = nullptr;
	Member m0{"m0", loopback::free_addr(), true, {3, 10}};
	struct net_conn *caller = nullptr;
	std::string received;

	void SetUp() override
	{
		loop = ev_loop_new(EVFLAG_AUTO);
		strcpy(set.id, "p0");
		strcpy(set.zone, "za");
		strcpy(set.link, "127.0.0.1:0");
		snprintf(set.listen, sizeof(set.listen), "%s",
			 loopback::free_addr().c_str());
		set.promoter_deposes = true;
	}

	void start()
	{
		struct backend_info b = {};
		struct group_info g = {};
		struct proxy_info p = {};

		f = front_new(loop, &set);
		ASSERT_EQ(RES_OK, front_link(f, 1, &e)) << e.text;
		ASSERT_EQ(RES_OK, front_listen(f, &e)) << e.text;
		ASSERT_EQ(RES_OK,
			  net_listen(&m0.listener, loop, m0.addr.c_str(),
				     member_accept, &m0, &e))
			<< e.text;
		front_on_urgent(
			f, [](void *) {}, nullptr);
		strcpy(b.id, "m0");
		strcpy(b.group, "g1");
		strcpy(b.zone, "za");
		strcpy(b.addr, m0.addr.c_str());
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
		take_routes();
		connect();
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
		r->ndatabases = 1;
		r->databases = (rt_database *)calloc(1, sizeof(rt_database));
		strcpy(r->databases[0].name, "orders");
		strcpy(r->databases[0].group, "g1");
		r->databases[0].read_freshness = RT_READS_CURRENT;
		r->databases[0].statement_timeout_ms = 3000;
		rt_sort(r);
		front_take_routes(f, r);
		rt_unref(r);
	}

	void connect()
	{
		struct net_handler h = {
			.arg = this,
			.on_read =
				[](void *arg) {
					auto *t = (FrontSamples *)arg;
					struct buf *in = net_input(t->caller);

					t->received.append(buf_data(in),
							   buf_len(in));
					buf_consume(in, buf_len(in));
				},
			.on_close = [](void *) {}};

		caller = net_connect(loop, set.listen, &h, &e);
		ASSERT_NE(nullptr, caller) << e.text;
		exchange("STARTUP orders u");
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

	/* Sends a line and returns the answer. */
	std::string exchange(const std::string &line)
	{
		send(line);
		EXPECT_TRUE(run_until([&] {
			return received.find("READY") != std::string::npos;
		})) << line;
		return received;
	}

	/* When the newest sample was sent; -1 if there is none. */
	clk_ms newest_sample()
	{
		const struct freshness_samples *s =
			&front_find_group(f, "g1")->fresh;

		return s->n ? s->samples[s->n - 1].sent : -1;
	}

	void TearDown() override
	{
		net_free(caller);
		front_free(f);
		EXPECT_TRUE(run_until([] { return !member_conns; }));
		net_listener_free(m0.listener);
		ev_loop_destroy(loop);
	}
};

/* Guards against reads on a log that is older than allowed: a member that was
 * deposed still answers the COMMIT of a transaction that wrote nothing, and its
 * position, sent after the change of primary, was taken as the primary's. */
TEST_F(FrontSamples, ADeposedMembersAnswerToACommitIsNoSample)
{
	start();
	exchange("QUERY 1 BEGIN");
	exchange("QUERY 2 READ a");
	ASSERT_GE(newest_sample(), 0) << "a read that only a primary answers";
	m0.leads = false;
	clk_ms deposed_at = clk_now();
	usleep(2000);
	EXPECT_NE(std::string::npos,
		  exchange("QUERY 3 COMMIT").find("COMPLETE"));
	EXPECT_LE(newest_sample(), deposed_at);
}

/* The same where the COMMIT is the first statement that the member sees. */
TEST_F(FrontSamples, TheCommitOfAnEmptyTransactionIsNoSample)
{
	start();
	exchange("QUERY 1 BEGIN");
	EXPECT_NE(std::string::npos,
		  exchange("QUERY 2 COMMIT").find("COMPLETE"));
	EXPECT_EQ(-1, newest_sample());
}

/* Answers that only a primary gives must still be taken, or all reads would run
 * there for want of a position. */
TEST_F(FrontSamples, AnswersThatOnlyAPrimaryGivesAreSamples)
{
	clk_ms before = -1;
	auto expect_sample = [&](const std::string &statement) {
		usleep(2000);
		exchange("QUERY 1 " + statement);
		EXPECT_GT(newest_sample(), before) << statement;
		before = newest_sample();
	};

	start();
	expect_sample("READ a");
	expect_sample("WRITE a 1");
	exchange("QUERY 1 BEGIN");
	expect_sample("READ a");
	expect_sample("WRITE a 1");
	expect_sample("COMMIT");
}

/* Guards against reads on a log that is older than allowed where a replaced
 * primary goes on until its leases have ended: a statement of a transaction
 * left after the lease had ended, because a prepared statement had to be sent
 * first, and its position counted as asked for at that later time. */
TEST_F(FrontSamples, ASampleIsNoYoungerThanTheLeaseItWasTakenUnder)
{
	set.promoter_deposes = false;
	start();
	struct db_member *m = db_find(f->db, "m0");
	m->lease_until = clk_now() + LEASE_MS;
	exchange("QUERY 1 PREPARE s READ q");
	exchange("QUERY 2 BEGIN");
	exchange("QUERY 3 READ a");
	ASSERT_GE(newest_sample(), 0);
	m0.hold_prepare = true;
	send("QUERY 4 EXECUTE s a");
	ASSERT_TRUE(run_until([&] { return m0.held; }));
	ASSERT_LT(clk_now(), m->lease_until);
	ASSERT_TRUE(run_until([&] { return clk_now() > m->lease_until; }));
	m0.held->reply("COMPLETE -");
	m0.held->ready();
	ASSERT_TRUE(run_until(
		[&] { return received.find("READY") != std::string::npos; }));
	EXPECT_LT(newest_sample(), m->lease_until);
}
