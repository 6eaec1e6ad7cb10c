#include <gtest/gtest.h>

#include <sodium.h>

#include <functional>
#include <string>
#include <vector>

#include "lib_loopback.h"

extern "C" {
#include "link.h"
#include "relay.h"
#include "settings.h"
}

/* A proxy "p1" and its runner "p2", which the test plays. */
struct Relay : testing::Test {
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct settings proxy_settings = {};
	struct settings runner_settings = {};
	struct db *db = nullptr;
	struct relay *relay = nullptr;
	struct link_server *server = nullptr;
	struct link *proxy_link = nullptr;
	std::vector<int64_t> job_numbers; /* of jobs that the runner received */
	struct sctx ctx = {};
	struct db_job job = {};
	std::vector<struct db_result> results;

	static void on_up(void *arg, struct link *l)
	{
		((Relay *)arg)->proxy_link = l;
	}

	static void on_message(void *arg, struct link *, const struct msg *m)
	{
		if (m->type == MSG_JOB)
			((Relay *)arg)
				->job_numbers.push_back(m->u.job.job_number);
	}

	static void on_done(struct db_job *j, const struct db_result *r)
	{
		((Relay *)j->arg)->results.push_back(*r);
	}

	bool run_until(const std::function<bool()> &done)
	{
		return loopback::run_until(loop, done);
	}

	void set_identity(struct settings *s, const char *id)
	{
		snprintf(s->id, ID_LEN, "%s", id);
		snprintf(s->zone, ID_LEN, "za");
		snprintf(s->link, ADDR_LEN, "%s",
			 loopback::free_addr().c_str());
	}

	void SetUp() override
	{
		struct link_handler h = {};
		struct backend_info b = {};
		struct proxy_info list[2] = {};
		struct err e = ERR_INIT;

		ASSERT_GE(sodium_init(), 0);
		set_identity(&proxy_settings, "p1");
		set_identity(&runner_settings, "p2");
		db = db_new(loop);
		snprintf(b.id, ID_LEN, "m0");
		snprintf(b.zone, ID_LEN, "za");
		snprintf(b.addr, ADDR_LEN, "127.0.0.1:1");
		db_update(db, &b, 1);
		h.arg = this;
		h.on_up = on_up;
		h.on_message = on_message;
		ASSERT_EQ(RES_OK, link_listen(&server, loop, &runner_settings,
					      "proxy", 2, &h, &e));
		ASSERT_EQ(RES_OK,
			  relay_new(&relay, loop, &proxy_settings, db, 1, &e));
		for (int i = 0; i < 2; i++) {
			const struct settings *s =
				i ? &runner_settings : &proxy_settings;

			memcpy(list[i].id, s->id, ID_LEN);
			memcpy(list[i].zone, s->zone, ID_LEN);
			memcpy(list[i].addr, s->link, ADDR_LEN);
			list[i].alive = true;
		}
		relay_take_proxies(relay, list, 2, 2);
		job.ctx = &ctx;
		job.done = on_done;
		job.arg = this;
		ASSERT_TRUE(run_until([&] { return proxy_link != nullptr; }));
	}

	void TearDown() override
	{
		relay_free(relay);
		link_server_free(server);
		db_free(db);
		ev_loop_destroy(loop);
	}

	/* Sends the runner's result of the last job that it received. */
	void end_job(enum db_status status, int64_t pin)
	{
		struct msg m;
		struct msg_job_end *out = &m.u.job_end;

		memset(&m, 0, sizeof(m));
		m.type = MSG_JOB_END;
		out->job_number = job_numbers.back();
		out->status = status;
		out->sent = status == DB_DONE;
		out->txn_status_char = pin ? 'T' : 'I';
		out->kept_conn_id = pin;
		for (struct blob *b : {&out->member_error_code,
				       &out->member_error_text, &out->answer})
			*b = {"", 0};
		link_send(proxy_link, &m);
	}

	/* Starts a job and ends it with a kept connection of that number. */
	struct relay_pin *pin_connection(int64_t number)
	{
		EXPECT_TRUE(run_until([&] {
			return !job_numbers.empty() ||
			       relay_start(relay, db_find(db, "m0"), 1, &job,
					   clk_now() + 1000, clk_now());
		}));
		EXPECT_TRUE(run_until([&] { return !job_numbers.empty(); }));
		end_job(DB_DONE, number);
		EXPECT_TRUE(run_until([&] { return results.size() == 1; }));
		return results.back().pin;
	}
};

/* Guards against a segmentation fault of the proxy. Its runner reported that
 * the connection of a transaction was lost while the transaction's next
 * statement was on its way to the runner. The proxy freed its record of the
 * connection at once, and again when the statement ended (Threlfall grown,
 * fresh-c88b). */
TEST_F(Relay, AStatementOutlivesThatItsConnectionWasLost)
{
	struct relay_pin *p = pin_connection(7);
	struct msg m = {};

	ASSERT_NE(nullptr, p);
	relay_continue(p, &job, clk_now() + 1000, clk_now());
	m.type = MSG_PIN_LOST;
	m.u.pin_lost.kept_conn_id = 7;
	link_send(proxy_link, &m);
	ASSERT_TRUE(run_until([&] { return job_numbers.size() == 2; }));
	end_job(DB_LOST, 0);
	ASSERT_TRUE(run_until([&] { return results.size() == 2; }));
	EXPECT_EQ(DB_LOST, results.back().status);
	EXPECT_FALSE(results.back().sent);
	EXPECT_EQ(nullptr, results.back().pin);
}

/* If the connection is lost between two statements, the session is notified
 * immediately. */
TEST_F(Relay, ALostConnectionIsTold)
{
	struct relay_pin *p = pin_connection(7);
	struct msg m = {};
	bool lost = false;

	ASSERT_NE(nullptr, p);
	relay_on_lost(
		p, [](void *arg) { *(bool *)arg = true; }, &lost);
	m.type = MSG_PIN_LOST;
	m.u.pin_lost.kept_conn_id = 7;
	link_send(proxy_link, &m);
	EXPECT_TRUE(run_until([&] { return lost; }));
}
