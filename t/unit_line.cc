#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "platform/line.h"
}

static std::string str(struct span s)
{
	return std::string(s.p, s.len);
}

struct Line : testing::Test {
	struct buf in = BUF_INIT;
	struct line_caller_msg call = {};
	struct line_reply reply = {};
	size_t used = 0;

	void TearDown() override
	{
		buf_free(&in);
	}

	enum line_decode_result decode(const std::string &s)
	{
		buf_free(&in);
		buf_add(&in, s.data(), s.size());
		return line_decode_caller_msg(&in, &call, &used);
	}

	enum stmt_kind kind(const std::string &text)
	{
		EXPECT_EQ(LINE_OK, decode("QUERY ab12 " + text + "\r\n"));
		return call.stmt.kind;
	}

	enum line_decode_result decode_reply(const std::string &s)
	{
		buf_free(&in);
		buf_add(&in, s.data(), s.size());
		return line_decode_reply(&in, &reply, &used);
	}
};

TEST_F(Line, DecodesStatements)
{
	EXPECT_EQ(STMT_READ, kind("READ 1a4"));
	EXPECT_EQ("ab12", str(call.stmt.id));
	EXPECT_EQ("READ 1a4", str(call.stmt.text));
	EXPECT_EQ(STMT_WRITE, kind("WRITE 1a4 some data"));
	EXPECT_EQ("WRITE 1a4 some data", str(call.stmt.text));
	EXPECT_EQ(STMT_BEGIN, kind("BEGIN"));
	EXPECT_EQ(STMT_BEGIN_READ, kind("BEGIN READ"));
	EXPECT_EQ(STMT_COMMIT, kind("COMMIT"));
	EXPECT_EQ(STMT_ROLLBACK, kind("ROLLBACK"));
	EXPECT_EQ(STMT_SET, kind("SET v0 a b"));
	EXPECT_EQ("a b", str(call.stmt.value));
	EXPECT_EQ(STMT_PREPARE, kind("PREPARE s1 WRITE q2c"));
	EXPECT_TRUE(call.stmt.writes);
	EXPECT_EQ("q2c", str(call.stmt.value));
	EXPECT_EQ(STMT_EXECUTE, kind("EXECUTE s1 1a4 data"));
	EXPECT_EQ("1a4 data", str(call.stmt.value));
	EXPECT_EQ(STMT_DEALLOCATE, kind("DEALLOC s1"));
}

/* Guards against a statement that the backend interprets differently from the
 * proxy: a text that does not match a known form exactly is refused. */
TEST_F(Line, RefusesUnknownStatements)
{
	for (const char *text :
	     {"", "READ", "WRITE", "read 1", "BEGIN WRITE", "COMMIT 1",
	      "ROLLBACK x", "PREPARE s1 q", "PREPARE s1 UPDATE q", "EXECUTE",
	      "SET", "STATUS", "RESET", "PAUSE 3", "STEPDOWN 3",
	      "WAITPOS 3.1 READ 1"})
		EXPECT_EQ(STMT_MALFORMED, kind(text)) << text;
	EXPECT_EQ(LINE_OK, decode("QUERY - READ 1\r\n"));
	EXPECT_EQ(STMT_MALFORMED, call.stmt.kind) << "id of the system";
	EXPECT_EQ(LINE_OK,
		  decode("QUERY " + std::string(64, 'a') + " READ 1\r\n"));
	EXPECT_EQ(STMT_MALFORMED, call.stmt.kind) << "id too long";
}

/* Guards against injecting a second line by a stray line break, and against
 * lines of unlimited length. */
TEST_F(Line, RefusesBrokenLines)
{
	EXPECT_EQ(LINE_INCOMPLETE, decode("QUERY a READ 1"));
	EXPECT_EQ(LINE_INCOMPLETE, decode("QUERY a READ 1\r"));
	EXPECT_EQ(LINE_INVALID, decode("QUERY a READ 1\n"));
	EXPECT_EQ(LINE_INVALID,
		  decode("QUERY a READ 1\rQUERY b WRITE 1 x\r\n"));
	EXPECT_EQ(LINE_INVALID,
		  decode(std::string("QUERY a READ 1\0\r\n", 17)));
	EXPECT_EQ(LINE_INVALID, decode("HELLO\r\n"));
	EXPECT_EQ(LINE_INVALID, decode("\r\n"));
	EXPECT_EQ(LINE_INVALID, decode("STARTUP\r\n"));
	EXPECT_EQ(LINE_INVALID,
		  decode(std::string(STMT_MAX_MESSAGE_LEN + 2, 'x')));
	EXPECT_EQ(LINE_INVALID,
		  decode("QUERY a READ " +
			 std::string(STMT_MAX_MESSAGE_LEN, 'x') + "\r\n"));
}

TEST_F(Line, DecodesReplies)
{
	EXPECT_EQ(LINE_OK, decode_reply("READY T 3.1207\r\n"));
	EXPECT_EQ('T', reply.txn_state);
	EXPECT_EQ(3, reply.pos.term);
	EXPECT_EQ(1207, reply.pos.number);
	EXPECT_EQ(LINE_OK, decode_reply("READY I -\r\n"));
	EXPECT_TRUE(pos_is_none(reply.pos));
	EXPECT_EQ(LINE_OK, decode_reply("ERROR READONLY i-7f\r\n"));
	EXPECT_EQ(LINE_E_NOT_PRIMARY, reply.error);
	EXPECT_EQ("READONLY", str(reply.code));
	EXPECT_EQ(LINE_OK, decode_reply("ERROR NEWCODE\r\n"));
	EXPECT_EQ(LINE_E_OTHER, reply.error);
	EXPECT_EQ(LINE_OK, decode_reply("DATAROW a b\r\n"));
	EXPECT_EQ("DATAROW a b\r\n", str(reply.line));
	for (const char *bad : {"READY X 3.1\r\n", "READY I 3\r\n",
				"READY I 3.x\r\n", "READY\r\n", "OK\r\n"})
		EXPECT_EQ(LINE_INVALID, decode_reply(bad)) << bad;
}

TEST_F(Line, DecodesTheStatusOfABackend)
{
	struct line_backend_status st;
	const char *row = "replica 3 3.1209 0 12 2 17";

	ASSERT_TRUE(line_decode_backend_status({row, strlen(row)}, &st));
	EXPECT_FALSE(st.primary);
	EXPECT_EQ(3, st.term);
	EXPECT_EQ(1209, st.received_pos.number);
	for (const char *bad :
	     {"", "leader 3 3.1", "primary x 3.1", "primary 3", "primary 3 3"})
		EXPECT_FALSE(
			line_decode_backend_status({bad, strlen(bad)}, &st))
			<< bad;
}

static bool reports_not_run(enum res r)
{
	struct buf out = BUF_INIT;
	bool not_run = false;

	line_put_error(&out, r, "x");
	std::string s(buf_data(&out), buf_len(&out));
	for (const char *p : {"BUSY", "ABORTED", "LAGGING", "DENIED"})
		not_run |= s.find(p) != std::string::npos;
	buf_free(&out);
	return not_run;
}

/* Guards against callers that repeat requests with a key that is refused. */
TEST_F(Line, TellsAnUnknownKeyFromOneThatCannotBeConfirmed)
{
	struct buf out = BUF_INIT;

	line_put_error(&out, RES_AUTH, "x");
	line_put_error(&out, RES_KEY_UNCONFIRMED, "y");
	EXPECT_EQ("ERROR DENIED x\r\nERROR BUSY y\r\n",
		  std::string(buf_data(&out), buf_len(&out)));
	buf_free(&out);
}

/* Guards against a key that is read with what follows it. */
TEST_F(Line, TheSecondWordOfAStartupIsTheKey)
{
	ASSERT_EQ(LINE_OK, decode("STARTUP shop key-1 more\r\n"));
	EXPECT_EQ("key-1", str(call.api_key));
	ASSERT_EQ(LINE_OK, decode("STARTUP shop\r\n"));
	EXPECT_EQ(0u, call.api_key.len);
}

/* Guards against reporting that nothing ran for a code whose request may have
 * run. RES_READ_FAILED is exempt: a read changes nothing, so that it can be
 * repeated safely. */
TEST_F(Line, OnlyRefusalsPromiseThatNothingRan)
{
#define X(name, num, state, ran, text)                        \
	EXPECT_TRUE(res_ran(RES_##name) == RES_RAN_NOT_RUN || \
		    RES_##name == RES_READ_FAILED ||          \
		    !reports_not_run(RES_##name))             \
		<< #name;
	RES_TABLE(X)
#undef X
}
