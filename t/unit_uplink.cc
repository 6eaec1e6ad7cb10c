#include <gtest/gtest.h>

#include <functional>
#include <sodium.h>
#include <vector>

#include "lib_loopback.h"

extern "C" {
#include "link.h"
#include "settings.h"
#include "uplink.h"
#include "view.h"
}

/*
 * A proxy's uplink and two control instances, played in the same loop, whose
 * clocks differ.
 */
namespace
{

struct ev_loop *loop;

struct Control {
	struct settings set = {};
	struct link_server *server = nullptr;
	bool leads = false;
	clk_ms clock_ahead_ms = 0; /* of the proxy's clock */
	int answers = 0;
	int64_t published = 0; /* version of the configuration that it names */
	int asks = 0;
	struct link *last_link = nullptr; /* of the last ask */
	int samples = 0;
	int rate_asks = 0;
	/* the latest time of a sample received, by the proxy's clock */
	clk_ms newest_sample = -1;

	Control(const char *id, clk_ms ahead) : clock_ahead_ms(ahead)
	{
		strcpy(set.id, id);
		snprintf(set.link, ADDR_LEN, "%s",
			 loopback::free_addr().c_str());
	}

	void start()
	{
		struct err e = ERR_INIT;
		struct link_handler h = {.arg = this, .on_message = on_message};

		ASSERT_EQ(RES_OK, link_listen(&server, loop, &set, "control", 1,
					      &h, &e))
			<< e.text;
	}

	void stop()
	{
		if (server)
			link_server_free(server);
		server = nullptr;
		leads = false;
	}

	static void on_message(void *arg, struct link *l, const struct msg *m)
	{
		if (m->type == MSG_ASK)
			((Control *)arg)->answer(l, &m->u.ask);
		if (m->type == MSG_RATE_ASK)
			((Control *)arg)->grant(l, &m->u.rate_ask);
	}

	void grant(struct link *l, const struct msg_rate_ask *ask)
	{
		struct rate_grant g = {"shop", ask->demands[0].tokens};
		struct msg m = {};

		m.type = MSG_RATE_GRANT;
		m.u.rate_grant = {ask->seq, RES_OK, &g, 1};
		rate_asks++;
		link_send(l, &m);
	}

	/* Sends an answer on its own initiative. */
	void push(struct link *l)
	{
		struct msg m = {};

		m.type = MSG_ANSWER;
		m.u.answer.published_version = published;
		link_send(l, &m);
	}

	void answer(struct link *l, const struct msg_ask *ask)
	{
		asks++;
		last_link = l;
		struct msg m = {};
		struct msg_answer *a = &m.u.answer;

		m.type = MSG_ANSWER;
		a->ask_seq = ask->seq;
		if (!leads) {
			a->res = RES_NOT_LEADER;
			link_send(l, &m);
			return;
		}
		for (int64_t i = 0; i < ask->nsamples; i++) {
			clk_ms at = ask->samples[i].sent_at_leader_ms -
				    clock_ahead_ms;

			samples++;
			newest_sample = at > newest_sample ? at : newest_sample;
		}
		a->answer_seq = ++answers;
		a->published_version = published;
		strcpy(a->leader, set.id);
		a->lease_ms = 1000;
		a->leader_clock = clk_now() + clock_ahead_ms;
		link_send(l, &m);
	}
};

} // namespace

struct Uplink : testing::Test {
	struct settings set = {};
	struct uplink *u = nullptr;
	struct view *view = nullptr;
	int64_t granted_seq = 0; /* of the newest grant of tokens */
	int64_t granted = 0;
	clk_ms learned_at = 0; /* time of the sample that the proxy reports */
	struct Confirmed {
		int64_t version;
		clk_ms asked_at;
		clk_ms at;
	};
	std::vector<Confirmed> confirmed;

	void SetUp() override
	{
		ASSERT_GE(sodium_init(), 0);
		loop = ev_loop_new(EVFLAG_AUTO);
		strcpy(set.id, "p1");
		set.ask_ms = 20;
	}

	void start(std::initializer_list<Control *> controls)
	{
		struct uplink_config cfg = {.loop = loop, .set = &set};

		for (Control *c : controls) {
			struct settings_control *to =
				&set.controls[set.ncontrols++];

			strcpy(to->id, c->set.id);
			strcpy(to->addr, c->set.link);
		}
		view = view_new(set.id, set.zone);
		cfg.view = view;
		cfg.arg = this;
		cfg.on_view_changed = [](void *) {};
		cfg.collect_suspects = [](void *, struct suspect_report *,
					  int64_t,
					  clk_ms) -> int64_t { return 0; };
		cfg.collect_samples = [](void *arg, struct pos_sample *out,
					 int64_t) -> int64_t {
			*out = {};
			strcpy(out->group, "g1");
			out->term = 1;
			out->number = 5;
			out->sent_at_leader_ms = ((Uplink *)arg)->learned_at;
			return 1;
		};
		cfg.on_peer_sample = [](void *, const struct pos_sample *) {};
		cfg.on_config_confirmed = [](void *arg, int64_t version,
					     clk_ms asked_at) {
			((Uplink *)arg)
				->confirmed.push_back(
					{version, asked_at, clk_now()});
		};
		cfg.on_rate_grant = [](void *arg,
				       const struct msg_rate_grant *g) {
			((Uplink *)arg)->granted_seq = g->seq;
			((Uplink *)arg)->granted = g->grants[0].tokens;
		};
		u = uplink_new(&cfg);
	}

	bool run_until(const std::function<bool()> &done)
	{
		return loopback::run_until(loop, done);
	}

	void TearDown() override
	{
		uplink_free(u);
		view_free(view);
		ev_loop_destroy(loop);
	}
};

/* Guards against positions that look younger than they are: after a change of
 * the control leader, their times were those of the old leader's clock. */
struct UplinkLeader : Uplink, testing::WithParamInterface<bool> {
};

TEST_P(UplinkLeader, TimesOfOneLeadersClockAreNotSentToAnother)
{
	Control a("a", 5300);
	Control b("b", 5000);

	a.leads = true;
	a.start();
	b.start();
	start({&a, &b});
	ASSERT_TRUE(run_until([&] { return a.answers >= 2; }));
	learned_at = clk_now();
	ASSERT_TRUE(run_until([&] { return a.samples > 0; }));
	EXPECT_LE(a.newest_sample, learned_at);
	if (GetParam())
		a.stop();
	a.leads = false;
	b.leads = true;
	ASSERT_TRUE(run_until([&] { return b.answers >= 3; }));
	EXPECT_LE(b.newest_sample, learned_at);
	learned_at = clk_now();
	b.samples = 0;
	b.newest_sample = -1;
	ASSERT_TRUE(run_until([&] { return b.samples > 1; }))
		<< "positions are reported again once the clock is known";
	EXPECT_LE(b.newest_sample, learned_at);
	a.stop();
	b.stop();
}

INSTANTIATE_TEST_SUITE_P(OldLeader, UplinkLeader, testing::Bool(),
			 [](const testing::TestParamInfo<bool> &stopped) {
				 return stopped.param ? "Stopped" : "Runs";
			 });

/* Guards against reads that go to primaries for a whole interval between two
 * reports, because proxies could not tell a new leader their positions before
 * they knew its clock. */
TEST_F(Uplink, PositionsAreToldAsSoonAsTheClockIsKnown)
{
	Control a("a", 5300);

	set.ask_ms = 2000;
	a.leads = true;
	learned_at = clk_now();
	a.start();
	start({&a});
	ASSERT_TRUE(run_until([&] { return a.answers == 1; }));
	clk_ms answered_at = clk_now();
	EXPECT_EQ(0, a.samples);
	EXPECT_TRUE(run_until([&] { return a.samples > 0; }));
	EXPECT_LT(clk_now() - answered_at, set.ask_ms / 2);
	a.stop();
}

/* The same where the leader started again under its id, with another clock. */
TEST_F(Uplink, TimesOfAClockThatEndedAreNotSent)
{
	Control a("a", 5300);

	a.leads = true;
	a.start();
	start({&a});
	ASSERT_TRUE(run_until([&] { return a.answers >= 2; }));
	learned_at = clk_now();
	ASSERT_TRUE(run_until([&] { return a.samples > 0; }));
	a.stop();
	a.clock_ahead_ms = 5000;
	a.newest_sample = -1;
	a.start();
	a.leads = true;
	int before = a.answers;
	ASSERT_TRUE(run_until([&] { return a.answers >= before + 3; }));
	EXPECT_LE(a.newest_sample, learned_at);
	a.stop();
}

/* Guards against API keys that are used for longer than allowed: a
 * configuration is confirmed only by answers to asks, as of the time of the
 * ask, and only by an instance that leads. */
TEST_F(Uplink, OnlyAnswersOfALeaderConfirmAConfiguration)
{
	Control a("a", 0);

	a.published = 3;
	a.start();
	start({&a});
	ASSERT_TRUE(run_until([&] { return a.asks >= 3; }));
	EXPECT_TRUE(confirmed.empty());
	a.leads = true;
	clk_ms led_at = clk_now();
	ASSERT_TRUE(run_until([&] { return confirmed.size() >= 2; }));
	for (const Confirmed &c : confirmed) {
		EXPECT_EQ(3, c.version);
		EXPECT_LE(c.asked_at, c.at);
		EXPECT_GE(c.asked_at, led_at - 1000);
	}
	a.leads = false;
	int asks = a.asks;
	ASSERT_TRUE(run_until([&] { return a.asks >= asks + 2; }));
	size_t before = confirmed.size();
	a.published = 4;
	a.push(a.last_link);
	asks = a.asks;
	ASSERT_TRUE(run_until([&] { return a.asks >= asks + 3; }));
	EXPECT_EQ(before, confirmed.size());
	a.stop();
}

/* Guards against asks for tokens that go to an instance that does not lead, and
 * against an ask that counts as sent while no leader is known. */
TEST_F(Uplink, AsksForTokensGoToTheLeader)
{
	Control a("a", 0);
	Control b("b", 0);
	struct rate_demand d = {"shop", 3};
	struct msg_rate_ask ask = {7, &d, 1};

	a.start();
	b.start();
	start({&a, &b});
	EXPECT_FALSE(uplink_ask_rate(u, &ask));
	b.leads = true;
	ASSERT_TRUE(run_until([&] { return b.answers > 0; }));
	ASSERT_TRUE(run_until([&] { return uplink_ask_rate(u, &ask); }));
	ASSERT_TRUE(run_until([&] { return granted_seq == 7; }));
	EXPECT_EQ(3, granted);
	EXPECT_EQ(0, a.rate_asks);
	b.leads = false;
	ASSERT_TRUE(run_until([&] { return !uplink_ask_rate(u, &ask); }));
	a.stop();
	b.stop();
}
