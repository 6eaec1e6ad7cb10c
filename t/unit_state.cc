#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "state.h"
}

struct State : testing::Test {
	struct state *s = state_new();
	const struct state_request_result *done = nullptr;

	void TearDown() override
	{
		state_free(s);
	}
	enum res apply_command(struct buf *cmd, struct state *to = nullptr)
	{
		struct blob b = {buf_data(cmd), buf_len(cmd)};
		enum res r = state_apply(to ? to : s, &b, &done, nullptr);

		buf_free(cmd);
		return r;
	}
	static std::string lists_json(int connections)
	{
		return "{\"plans\": [{\"name\": \"p\", \"connections\": " +
		       std::to_string(connections) +
		       ", \"max_age_ms\": 1, \"max_wait_ms\": 1}], "
		       "\"customers\": []}";
	}
	enum res apply(const std::string &id, const char *by, int64_t base,
		       const std::string &text)
	{
		struct msg_apply m = {};
		struct buf b = BUF_INIT;

		snprintf(m.request_id, REQUEST_ID_LEN, "%s", id.c_str());
		snprintf(m.operator_name, ID_LEN, "%s", by);
		m.base_version = base;
		m.lists = {text.data(), text.size()};
		state_cmd_apply(&b, &m, 1234);
		EXPECT_EQ(RES_OK, apply_command(&b));
		return done ? done->res : RES_INTERNAL;
	}
	void begin_change(int64_t next)
	{
		struct group_info g = {};
		struct buf b = BUF_INIT;

		strcpy(g.name, "orders");
		g.changing_primary = true;
		g.change_term = next;
		state_cmd_group(&b, &g);
		apply_command(&b);
	}
	void record_primary(int64_t term, const char *id, int64_t start)
	{
		struct term_start t = {term, start};
		struct group_info g = {};
		struct buf b = BUF_INIT;

		strcpy(g.name, "orders");
		strcpy(g.primary, id);
		g.term = term;
		g.term_starts = &t;
		g.nterm_starts = 1;
		state_cmd_group(&b, &g);
		apply_command(&b);
	}
	void record_backend(const char *id, const char *addr, bool silent)
	{
		struct backend_info x = {};
		struct buf b = BUF_INIT;

		strcpy(x.id, id);
		strcpy(x.group, "orders");
		strcpy(x.addr, addr);
		x.announcements_stopped = silent;
		state_cmd_backend(&b, &x);
		apply_command(&b);
	}
	/* A backend at an address; with removed, it has ended as planned. */
	void record_start(const char *id, const char *addr, int64_t start,
			  bool removed = false)
	{
		struct backend_info x = {};
		struct buf b = BUF_INIT;

		strcpy(x.id, id);
		strcpy(x.group, "orders");
		strcpy(x.addr, removed ? "" : addr);
		x.incarnation = start;
		x.leaving = removed;
		state_cmd_backend(&b, &x);
		apply_command(&b);
	}
	size_t ended_logs()
	{
		size_t n;

		state_ended_logs(s, &n);
		return n;
	}
	struct ended_log first_ended_log()
	{
		size_t n;

		return *state_ended_logs(s, &n);
	}
	void record_proxy(const char *id, const char *addr)
	{
		struct proxy_info x = {};
		struct buf b = BUF_INIT;

		strcpy(x.id, id);
		strcpy(x.addr, addr);
		state_cmd_proxy(&b, &x);
		apply_command(&b);
	}
	std::string encoded(struct state *from)
	{
		struct buf b = BUF_INIT;

		state_encode(from, &b);
		std::string out(buf_data(&b), buf_len(&b));
		buf_free(&b);
		return out;
	}
};

/* Guards against a log that nobody knows of any more, after its backend was
 * removed and a snapshot was taken (review/7). */
TEST_F(State, TheLogOfARemovedBackendIsKept)
{
	record_start("b1", "10.0.0.1:1", 10);
	record_start("b1", "", 10, true);
	ASSERT_EQ(1u, ended_logs());
	EXPECT_TRUE(first_ended_log().moves);
	EXPECT_STREQ("10.0.0.1:1", first_ended_log().addr);
	std::string text = encoded(s);
	struct blob in = {text.data(), text.size()};
	ASSERT_EQ(RES_OK, state_decode(s, &in, nullptr));
	EXPECT_EQ(1u, ended_logs());
	EXPECT_EQ(nullptr, state_backend(s, "b1"));
}

/* Guards against the log of a backend that counts as the same one after it has
 * started again with nothing (review/14). The primary comes back with its log.
 */
TEST_F(State, TheFormerLogOfARestartedBackendIsKept)
{
	struct group_info g = {};
	struct buf b = BUF_INIT;

	record_start("b1", "10.0.0.1:1", 10);
	record_start("b2", "10.0.0.2:1", 10);
	strcpy(g.name, state_backend(s, "b1")->group);
	strcpy(g.primary, "b2");
	g.term = 1;
	state_cmd_group(&b, &g);
	apply_command(&b);
	record_start("b1", "10.0.0.1:1", 10);
	EXPECT_EQ(0u, ended_logs());
	record_start("b2", "10.0.0.2:1", 20);
	EXPECT_EQ(0u, ended_logs());
	record_start("b1", "10.0.0.1:1", 20);
	ASSERT_EQ(1u, ended_logs());
	EXPECT_STREQ("b1", first_ended_log().id);
	EXPECT_FALSE(first_ended_log().moves);
}

/* It goes to the next backend of the group at its address, whether that
 * registers before or after the removal. */
TEST_F(State, TheLogGoesToTheSuccessorAtItsAddress)
{
	record_start("b1", "10.0.0.1:1", 10);
	record_start("b1", "", 10, true);
	record_start("b2", "10.0.0.2:1", 20);
	EXPECT_EQ(1u, ended_logs());
	record_start("b3", "10.0.0.1:1", 20);
	EXPECT_EQ(0u, ended_logs());
	record_start("b4", "10.0.0.2:1", 30);
	record_start("b2", "", 20, true);
	EXPECT_EQ(0u, ended_logs());
}

/* What later leaders must know of orders that may be under way. */
TEST_F(State, TheStageOfOrdersIsKept)
{
	struct group_orders o = {"orders", ORDERS_UNDER_WAY};
	struct buf b = BUF_INIT;

	EXPECT_EQ(ORDERS_UNKNOWN, state_orders(s, "orders"));
	state_cmd_orders(&b, &o);
	apply_command(&b);
	std::string text = encoded(s);
	struct blob in = {text.data(), text.size()};
	ASSERT_EQ(RES_OK, state_decode(s, &in, nullptr));
	EXPECT_EQ(ORDERS_UNDER_WAY, state_orders(s, "orders"));
	o.stage = ORDERS_SETTLED;
	state_cmd_orders(&b, &o);
	apply_command(&b);
	EXPECT_EQ(ORDERS_SETTLED, state_orders(s, "orders"));
}

/* A backend that was removed for its silence, and had not said that it leaves,
 * has no successor. */
TEST_F(State, TheLogOfASilentBackendDoesNotMove)
{
	record_backend("b1", "10.0.0.1:1", true);
	record_backend("b1", "", true);
	record_start("b3", "10.0.0.1:1", 20);
	ASSERT_EQ(1u, ended_logs());
	EXPECT_TRUE(first_ended_log().silent);
	struct ended_log l = first_ended_log();
	struct buf b = BUF_INIT;
	l.covered = true;
	state_cmd_ended_log(&b, &l);
	apply_command(&b);
	EXPECT_TRUE(first_ended_log().covered);
	l.addr[0] = '\0';
	state_cmd_ended_log(&b, &l);
	apply_command(&b);
	EXPECT_EQ(0u, ended_logs());
}

/* Guards against accepting two configurations with the same base version, and
 * against deciding a resent request a second time. */
TEST_F(State, OneOfTwoWithEqualBaseIsAccepted)
{
	EXPECT_EQ(RES_OK, apply("r1", "anna", 0, lists_json(5)));
	EXPECT_EQ(RES_CONFLICT, apply("r2", "bert", 0, lists_json(8)));
	EXPECT_STREQ("anna", done->version_author);
	EXPECT_EQ(1234, done->version_written_ms);
	EXPECT_NE(nullptr, strstr(done->text, "5 -> 8")) << done->text;
	EXPECT_EQ(RES_OK, apply("r3", "bert", 1, lists_json(8)));
	EXPECT_EQ(RES_CONFLICT, apply("r2", "bert", 2, lists_json(9)));
	EXPECT_EQ(RES_OK, apply("r1", "anna", 0, lists_json(5)));
	EXPECT_EQ(1, done->version);
	EXPECT_EQ(2, state_lists_version(s));
	EXPECT_EQ(RES_BAD_LIST, apply("r4", "bert", 2, "{"));
	EXPECT_EQ(2, state_lists_version(s));
}

/* Guards against memory use that grows with every request. */
TEST_F(State, RequestIdsAndLogAreBounded)
{
	size_t n;

	for (int i = 0; i < STATE_MAX_REQUESTS + 5; i++)
		apply("r" + std::to_string(i), "anna", i,
		      lists_json(1 + i % 9));
	EXPECT_EQ(nullptr, state_find_request_result(s, "r4"));
	EXPECT_NE(nullptr, state_find_request_result(s, "r5"));
	EXPECT_EQ(STATE_MAX_REQUESTS + 5,
		  state_lists_history(s, &n)[STATE_MAX_REVISIONS - 1].version);
	EXPECT_EQ((size_t)STATE_MAX_REVISIONS, n);
}

/* Guards against a delayed command of an older change of primary that ends a
 * newer change. */
TEST_F(State, OnlyTheNewestChangeOfAGroupEnds)
{
	begin_change(1);
	record_primary(1, "a", 0);
	begin_change(3);
	begin_change(2);
	record_primary(2, "b", 10);
	const struct group_info *g = state_group(s, "orders");
	EXPECT_TRUE(g->changing_primary);
	EXPECT_EQ(3, g->change_term);
	EXPECT_STREQ("a", g->primary);
	record_primary(3, "c", 20);
	record_primary(3, "d", 30);
	EXPECT_FALSE(g->changing_primary);
	EXPECT_EQ(3, g->term);
	EXPECT_STREQ("c", g->primary);
	ASSERT_EQ(2, g->nterm_starts);
	EXPECT_EQ(20, g->term_starts[1].start_position);
	for (int t = 4; t < 30; t++) {
		begin_change(t);
		record_primary(t, "a", t * 10);
	}
	EXPECT_EQ(GROUP_MAX_TERM_STARTS, g->nterm_starts);
	EXPECT_EQ(290,
		  g->term_starts[GROUP_MAX_TERM_STARTS - 1].start_position);
}

/* Guards against answers that repeat the whole view, or that omit a part which
 * has changed. */
TEST_F(State, DeltaHoldsWhatIsNewer)
{
	struct msg_answer a = {};

	record_backend("b1", "1:1", false);
	record_proxy("p1", "2:2");
	int64_t since = state_view_version(s);
	record_backend("b1", "1:1", false);
	EXPECT_EQ(since, state_view_version(s)) << "nothing changed";
	record_backend("b2", "1:2", false);
	record_backend("b1", "1:1", true);
	begin_change(1);
	state_fill_newer_records(s, since, &a);
	EXPECT_EQ(2, a.nbackends);
	EXPECT_EQ(1, a.ngroups);
	EXPECT_EQ(0, a.nproxies);
	EXPECT_EQ(since + 3, a.view_version);
	record_proxy("p1", "");
	EXPECT_EQ(nullptr, state_proxy(s, "p1"));
}

/* Guards against an instance that started from a snapshot and decides otherwise
 * than one that has applied every entry. */
TEST_F(State, SnapshotHoldsEverything)
{
	struct state *copy = state_new();

	apply("r1", "anna", 0, lists_json(5));
	apply("r2", "bert", 0, lists_json(8));
	record_backend("b1", "1:1", false);
	record_proxy("p1", "2:2");
	begin_change(1);
	record_primary(1, "b1", 0);
	begin_change(2);
	std::string bytes = encoded(s);
	struct blob b = {bytes.data(), bytes.size()};
	ASSERT_EQ(RES_OK, state_decode(copy, &b, nullptr));
	EXPECT_EQ(bytes, encoded(copy));
	EXPECT_EQ(1, state_lists_version(copy));
	EXPECT_TRUE(state_group(copy, "orders")->changing_primary);
	EXPECT_STREQ("anna",
		     state_find_request_result(copy, "r2")->version_author);
	for (size_t n = 1; n < bytes.size(); n += 7) {
		b.len = n;
		state_decode(copy, &b, nullptr);
	}
	state_free(copy);
}
