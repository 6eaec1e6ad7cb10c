#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "pgwire.h"
}

namespace
{

int next(const std::string &bytes, bool startup, struct pgw_msg *m,
	 struct buf *b)
{
	struct err e = ERR_INIT;
	int rc;

	buf_free(b);
	buf_add(b, bytes.data(), bytes.size());
	rc = pgw_next_message(b, startup, m, &e);
	EXPECT_EQ(rc < 0 ? RES_BAD_FRAME : RES_OK, e.code);
	return rc;
}

std::string be32(uint32_t v)
{
	return {(char)(v >> 24), (char)(v >> 16), (char)(v >> 8), (char)v};
}

} // namespace

/* Guards against a length field from a client that makes the proxy buffer
 * without limit or read outside the buffer. */
TEST(Pgwire, RefusesMalformedLengths)
{
	struct pgw_msg m;
	struct buf b = BUF_INIT;

	for (uint32_t len : {0u, 4u, 7u, PGW_MAX_STARTUP_LEN + 1u, 0xffffffffu})
		EXPECT_EQ(-1, next(be32(len), true, &m, &b)) << len;
	for (uint32_t len : {0u, 3u, PGW_MAX_MESSAGE_LEN + 1u, 0x80000000u})
		EXPECT_EQ(-1, next("Q" + be32(len), false, &m, &b)) << len;
	for (const char *type : {"!", "Z", "\x01"})
		EXPECT_EQ(-1, next(type + be32(4), false, &m, &b)) << type;
	EXPECT_EQ(-1, next(std::string(1, '\0') + be32(4), false, &m, &b));
	buf_free(&b);
}

/* Guards against processing a message before all of its bytes have arrived. */
TEST(Pgwire, WaitsForTruncatedMessages)
{
	std::string start =
		be32(13) + be32(PGW_PROTOCOL_3_0) + std::string("user\0", 5);
	std::string query = "Q" + be32(4 + 9) + std::string("SELECT 1\0", 9);
	struct pgw_msg m;
	struct buf b = BUF_INIT;

	for (size_t n = 0; n < start.size(); n++)
		EXPECT_EQ(0, next(start.substr(0, n), true, &m, &b)) << n;
	ASSERT_EQ(1, next(start + "rest", true, &m, &b));
	EXPECT_EQ(PGW_PROTOCOL_3_0, m.startup_code);
	EXPECT_EQ(start.size(), m.total);
	for (size_t n = 0; n < query.size(); n++)
		EXPECT_EQ(0, next(query.substr(0, n), false, &m, &b)) << n;
	ASSERT_EQ(1, next(query + "Q", false, &m, &b));
	EXPECT_EQ('Q', m.type);
	EXPECT_EQ(query.size(), m.total);
	EXPECT_STREQ("SELECT 1", m.body);
	buf_free(&b);
}

/* Guards against field readers that read past the end of the message, and that
 * still return values from the message after an error. */
TEST(Pgwire, ReadersStopAtTheEnd)
{
	const char body[] = {0, 0, 0, 7, 0, 9, 'x', 'a', 'b', 0, 'c'};
	struct pgw_msg m = {'P', 0, body, sizeof(body), 0};
	struct pgw_reader r;

	pgw_reader_init(&r, &m);
	EXPECT_EQ(7, pgw_get_int32(&r));
	EXPECT_EQ(9, pgw_get_int16(&r));
	EXPECT_EQ('x', pgw_get_byte(&r));
	EXPECT_STREQ("ab", pgw_get_string(&r));
	EXPECT_FALSE(r.bad);
	EXPECT_STREQ("", pgw_get_string(&r)); /* no terminating zero */
	EXPECT_TRUE(r.bad);
	EXPECT_EQ(0, pgw_get_byte(&r)); /* not 'c': the reader has failed */

	for (int field = 0; field < 5; field++) {
		m.len = 0;
		pgw_reader_init(&r, &m);
		switch (field) {
		case 0:
			EXPECT_EQ(0, pgw_get_int32(&r));
			break;
		case 1:
			EXPECT_EQ(0, pgw_get_int16(&r));
			break;
		case 2:
			EXPECT_EQ(0, pgw_get_byte(&r));
			break;
		case 3:
			EXPECT_STREQ("", pgw_get_string(&r));
			break;
		case 4:
			EXPECT_EQ(nullptr, pgw_get_bytes(&r, SIZE_MAX));
			break;
		}
		EXPECT_TRUE(r.bad) << field;
	}
}

/* Guards against wrong length fields when the output buffer already holds data
 * or has been partly consumed. */
TEST(Pgwire, WritesLengths)
{
	const char *const names[] = {"a"};
	const char *const values[] = {"xyz", NULL};
	struct buf b = BUF_INIT;

	buf_addstr(&b, "--");
	buf_consume(&b, 1);
	pgw_put_text_row_description(&b, names, 1);
	pgw_put_text_data_row(&b, values, 2);
	pgw_put_ready_for_query(&b, 'T');
	EXPECT_EQ("-T" + be32(26) + std::string("\0\1a\0", 4) + be32(0) +
			  std::string(2, '\0') + be32(25) + "\xff\xff" +
			  be32(0xffffffff) + std::string(2, '\0') + "D" +
			  be32(17) + std::string("\0\2", 2) + be32(3) + "xyz" +
			  be32(0xffffffff) + "Z" + be32(5) + "T",
		  std::string(buf_data(&b), buf_len(&b)));
	buf_free(&b);
}
