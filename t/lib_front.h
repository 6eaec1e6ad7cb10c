#ifndef LIB_FRONT_H
#define LIB_FRONT_H

/* A proxy's sessions with the real session and connection code, and members
 * that are played in the same loop. */

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <sodium.h>
#include <string>
#include <vector>

#include "lib_loopback.h"

extern "C" {
#include "counter.h"
#include "front_priv.h"
#include "link.h"
#include "settings.h"
}

namespace front_key
{

constexpr int LEASE_MS = 60000;

/* A member that leads and answers each statement with success. */
struct Member {
	std::string addr = loopback::free_addr();
	std::vector<std::string> lines; /* received, without the end of line */
	std::string hold; /* lines with this text wait for release() */
	struct net_listener *listener = nullptr;
	struct MemberConn *held = nullptr;
	int conns = 0;

	/* How many of the received lines contain a text. */
	int count(const std::string &text) const
	{
		int n = 0;

		for (const std::string &l : lines)
			n += l.find(text) != std::string::npos;
		return n;
	}
};

struct MemberConn {
	Member *member;
	struct net_conn *net;
	char txn = 'I';

	void answer(const std::string &line)
	{
		if (line.find(" BEGIN") != std::string::npos)
			txn = 'T';
		if (line.find(" COMMIT") != std::string::npos ||
		    line.find(" ROLLBACK") != std::string::npos)
			txn = 'I';
		if (line.rfind("QUERY", 0) == 0)
			buf_addstr(net_output(net), "COMPLETE -\r\n");
		buf_addf(net_output(net), "READY %c 1.1\r\n", txn);
		net_flush(net);
	}
};

inline void member_read(void *arg)
{
	auto *c = (MemberConn *)arg;
	struct buf *in = net_input(c->net);
	char *end;

	while (buf_len(in) &&
	       (end = (char *)memchr(buf_data(in), '\n', buf_len(in)))) {
		size_t used = (size_t)(end - buf_data(in)) + 1;
		std::string line(buf_data(in), used - 2);
		Member *m = c->member;

		buf_consume(in, used);
		m->lines.push_back(line);
		if (!m->hold.empty() && line.find(m->hold) != std::string::npos)
			m->held = c;
		else
			c->answer(line);
	}
}

inline void member_closed(void *arg)
{
	auto *c = (MemberConn *)arg;

	c->member->conns--;
	net_free(c->net);
	delete c;
}

} // namespace front_key

struct FrontKey : testing::Test {
	using Member = front_key::Member;
	using MemberConn = front_key::MemberConn;
	using Keys = std::map<std::string, std::string>; /* key to tenant */

	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct settings set = {};
	struct err e = ERR_INIT;
	struct front_server *f = nullptr;
	Member m;
	struct net_conn *caller = nullptr;
	std::string received;
	bool closed = false;
	int version = 0;
	int64_t read_freshness = RT_READS_CURRENT;

	static void member_accept(void *arg, int fd)
	{
		auto *t = (FrontKey *)arg;
		auto *c = new MemberConn{&t->m, nullptr};
		struct net_handler h = {.arg = c,
					.on_read = front_key::member_read,
					.on_close = front_key::member_closed};

		c->net = net_from_accepted(t->loop, fd, &h);
		t->m.conns++;
	}

	void SetUp() override
	{
		struct backend_info b = {};
		struct group_info g = {};

		ASSERT_GE(sodium_init(), 0);
		strcpy(set.id, "p0");
		strcpy(set.zone, "za");
		snprintf(set.link, sizeof(set.link), "%s",
			 loopback::free_addr().c_str());
		snprintf(set.listen, sizeof(set.listen), "%s",
			 loopback::free_addr().c_str());
		set.promoter_deposes = true;
		set.key_lease_ms = front_key::LEASE_MS;
		f = front_new(loop, &set);
		ASSERT_EQ(RES_OK, front_link(f, 1, &e)) << e.text;
		ASSERT_EQ(RES_OK, front_listen(f, &e)) << e.text;
		ASSERT_EQ(RES_OK, net_listen(&m.listener, loop, m.addr.c_str(),
					     member_accept, this, &e))
			<< e.text;
		front_on_urgent(
			f, [](void *) {}, nullptr);
		strcpy(b.id, "m0");
		strcpy(b.group, "g1");
		strcpy(b.zone, "za");
		strcpy(b.addr, m.addr.c_str());
		b.slots = 5;
		front_take_backends(f, &b, 1);
		strcpy(g.name, "g1");
		strcpy(g.primary, "m0");
		g.term = 1;
		front_take_groups(f, &g, 1);
	}

	/* Publishes a configuration with these keys, confirmed from now on. */
	void publish(const Keys &keys, bool has_tenants = true)
	{
		struct route_table *r = rt_new();
		size_t n = keys.size() + 1;

		r->version = ++version;
		r->txn_idle_ms = 9000;
		r->ngroups = 1;
		r->groups = (rt_group *)calloc(1, sizeof(rt_group));
		strcpy(r->groups[0].name, "g1");
		r->groups[0].max_connections = 30;
		r->ndatabases = 2;
		r->databases = (rt_database *)calloc(2, sizeof(rt_database));
		for (int i = 0; i < 2; i++) {
			struct rt_database *d = &r->databases[i];

			strcpy(d->name, i ? "news" : "orders");
			strcpy(d->group, "g1");
			d->read_freshness = read_freshness;
			d->max_age_ms = 60000;
			d->statement_timeout_ms = 3000;
			d->is_public = i == 1;
		}
		r->has_tenants = has_tenants;
		r->tenants = (rt_tenant *)calloc(n, sizeof(rt_tenant));
		r->api_keys = (rt_api_key *)calloc(n, sizeof(rt_api_key));
		for (const auto &k : keys) {
			rt_api_key *out = &r->api_keys[r->napi_keys++];

			out->tenant = r->ntenants;
			for (int64_t i = 0; i < r->ntenants; i++)
				if (k.second == r->tenants[i].name)
					out->tenant = i;
			if (out->tenant == r->ntenants)
				strcpy(r->tenants[r->ntenants++].name,
				       k.second.c_str());
			akey_hash(set.key, k.first.data(), k.first.size(),
				  out->hash);
		}
		rt_sort(r);
		front_take_routes(f, r);
		rt_unref(r);
		confirm();
	}

	/* A control leader answers that the configuration held is the newest.
	 */
	void confirm()
	{
		front_confirm_config(f, version, clk_now());
	}

	void wait_until_lease_ends()
	{
		ASSERT_TRUE(run_until([&] {
			return front_key_lease_left(f, clk_now()) <= 0;
		}));
	}

	/* Opens a session; returns the answer to STARTUP. */
	std::string open(const std::string &words)
	{
		struct net_handler h = {
			.arg = this,
			.on_read =
				[](void *arg) {
					auto *t = (FrontKey *)arg;
					struct buf *in = net_input(t->caller);

					t->received.append(buf_data(in),
							   buf_len(in));
					buf_consume(in, buf_len(in));
				},
			.on_close =
				[](void *arg) {
					((FrontKey *)arg)->closed = true;
				}};

		net_free(caller);
		closed = false;
		caller = net_connect(loop, set.listen, &h, &e);
		EXPECT_NE(nullptr, caller) << e.text;
		return exchange("STARTUP " + words);
	}

	void send(const std::string &line)
	{
		received.clear();
		buf_addf(net_output(caller), "%s\r\n", line.c_str());
		net_flush(caller);
	}

	bool answered()
	{
		return closed || received.find("READY") != std::string::npos;
	}

	std::string exchange(const std::string &line)
	{
		send(line);
		EXPECT_TRUE(run_until([&] { return answered(); })) << line;
		return received;
	}

	bool run_until(const std::function<bool()> &done)
	{
		return loopback::run_until(loop, done);
	}

	/* The first word or two of an answer, such as "ERROR DENIED". */
	static std::string kind(const std::string &answer)
	{
		size_t n = answer.find(' ', 6);

		return answer.substr(0, n);
	}

	bool succeeds(const std::string &line)
	{
		return exchange(line).rfind("COMPLETE", 0) == 0;
	}

	void TearDown() override
	{
		net_free(caller);
		front_free(f);
		EXPECT_TRUE(run_until([&] { return !m.conns; }));
		net_listener_free(m.listener);
		ev_loop_destroy(loop);
	}
};

#endif
