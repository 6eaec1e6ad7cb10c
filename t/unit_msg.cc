#include <gtest/gtest.h>

extern "C" {
#include "msg.h"
}

static struct msg decode(struct buf *b, enum res expected)
{
	struct msg m = {};
	struct err e = {};

	EXPECT_EQ(expected, msg_decode(&m, buf_data(b), buf_len(b), &e))
		<< e.text;
	return m;
}

TEST(Msg, RoundTripWithNestedLists)
{
	struct term_start starts[] = {{1, 0}, {2, 77}};
	struct group_info g = {};
	struct buf b = BUF_INIT;
	struct msg m = {};

	strcpy(g.name, "orders");
	g.term = 2;
	g.term_starts = starts;
	g.nterm_starts = 2;
	m.type = MSG_ANSWER;
	m.u.answer.lease_ms = 1000;
	m.u.answer.groups = &g;
	m.u.answer.ngroups = 1;
	m.u.answer.lists_text = {"{}", 2};
	msg_encode(&m, &b);
	struct msg out = decode(&b, RES_OK);
	EXPECT_EQ(MSG_ANSWER, out.type);
	ASSERT_EQ(1, out.u.answer.ngroups);
	EXPECT_STREQ("orders", out.u.answer.groups[0].name);
	ASSERT_EQ(2, out.u.answer.groups[0].nterm_starts);
	EXPECT_EQ(77, out.u.answer.groups[0].term_starts[1].start_position);
	EXPECT_STREQ("{}", out.u.answer.lists_text.data);
	msg_free(&out);
	buf_free(&b);
}

/* Guards against a crash or a partly filled message on damaged input. Each
 * truncation must be refused, and each flipped bit must either be refused or
 * give a message that can be freed. */
TEST(Msg, DamagedInputIsRefusedOrDecoded)
{
	struct buf b = BUF_INIT;
	struct msg m = {};

	m.type = MSG_RUN;
	strcpy(m.u.run.group, "orders");
	m.u.run.sql = {"select 1", 8};
	msg_encode(&m, &b);
	for (size_t len = 0; len < buf_len(&b); len++) {
		struct msg out = {};

		EXPECT_EQ(RES_BAD_MESSAGE,
			  msg_decode(&out, buf_data(&b), len, NULL));
	}
	for (size_t i = 0; i < buf_len(&b); i++) {
		for (int bit = 0; bit < 8; bit++) {
			struct msg out = {};

			buf_data(&b)[i] ^= (char)(1 << bit);
			if (!msg_decode(&out, buf_data(&b), buf_len(&b), NULL))
				msg_free(&out);
			buf_data(&b)[i] ^= (char)(1 << bit);
		}
	}
	buf_free(&b);
}

TEST(Msg, RefusesStringOverItsField)
{
	struct buf b = BUF_INIT;
	/* The array [33, "x"]: type CANCEL, with a string where the number
	 * belongs. */
	const char bytes[] = {(char)0x92, 33, (char)0xa1, 'x'};

	buf_add(&b, bytes, sizeof(bytes));
	decode(&b, RES_BAD_MESSAGE);
	buf_free(&b);
}

/* Guards against a report of an unreachable primary (struct suspect_report)
 * that is encoded without the id of the backend. Control then counted no report
 * for the current primary, and never changed a primary. */
TEST(Msg, SuspectsNameTheirBackend)
{
	struct suspect_report s = {};
	struct buf b = BUF_INIT;
	struct msg m = {};

	strcpy(s.group, "orders");
	strcpy(s.backend, "m1");
	m.type = MSG_ASK;
	m.u.ask.suspects = &s;
	m.u.ask.nsuspects = 1;
	msg_encode(&m, &b);
	struct msg out = decode(&b, RES_OK);
	ASSERT_EQ(1, out.u.ask.nsuspects);
	EXPECT_STREQ("m1", out.u.ask.suspects[0].backend);
	msg_free(&out);
	buf_free(&b);
}

/* Guards against fields of an entry that are exchanged or left out, by which a
 * proxy would take a share for tokens. */
TEST(Msg, RateLimitsRoundTrip)
{
	struct rate_demand d = {"shop", 1, 2, 3, 4, 5};
	struct rate_grant g = {"shop", 6, 7, 8, 9, 10};
	struct buf b = BUF_INIT;
	struct msg m = {};

	m.type = MSG_RATE_ASK;
	m.u.rate_ask = {77, &d, 1};
	msg_encode(&m, &b);
	struct msg out = decode(&b, RES_OK);
	EXPECT_EQ(77, out.u.rate_ask.seq);
	ASSERT_EQ(1, out.u.rate_ask.ndemands);
	EXPECT_EQ(0, memcmp(&d, out.u.rate_ask.demands, sizeof(d)));
	msg_free(&out);
	buf_free(&b);
	m.type = MSG_RATE_GRANT;
	m.u.rate_grant = {77, RES_NOT_LEADER, &g, 1, 20};
	msg_encode(&m, &b);
	out = decode(&b, RES_OK);
	EXPECT_EQ(77, out.u.rate_grant.seq);
	EXPECT_EQ(RES_NOT_LEADER, out.u.rate_grant.res);
	EXPECT_EQ(20, out.u.rate_grant.ask_interval_ms);
	ASSERT_EQ(1, out.u.rate_grant.ngrants);
	EXPECT_EQ(0, memcmp(&g, out.u.rate_grant.grants, sizeof(g)));
	msg_free(&out);
	buf_free(&b);
}
