#include <gtest/gtest.h>

extern "C" {
#include "session.h"
}

struct Session : testing::Test {
	struct session_settings s;
	struct err e = {};
	struct ses_statement_values st = {};

	void SetUp() override
	{
		ses_init(&s);
	}
	void TearDown() override
	{
		ses_free(&s);
	}
	std::string show(const char *name)
	{
		char out[TOK_TEXT_LEN];

		EXPECT_EQ(RES_OK, ses_show(&s, name, out, &e));
		return out;
	}
};

TEST_F(Session, StartupOptions)
{
	ASSERT_EQ(RES_OK,
		  ses_apply_options(&s,
				    "-c marjoramlatch.session=orders/3/7,b/1/2 "
				    "--marjoramlatch.max_age_ms=50 "
				    "-cmarjoramlatch.repeatable=on",
				    &e))
		<< e.text;
	EXPECT_EQ("orders/3/7,b/1/2", show("session"));
	EXPECT_EQ(50, s.max_age_ms);
	EXPECT_EQ(SES_ALL_REPEATABLE, s.repeatable);
	for (const char *bad :
	     {"-c search_path=x", "marjoramlatch.session=a",
	      "-c marjoramlatch.session", "-c", "--marjoramlatch.nothing=1"})
		EXPECT_EQ(RES_BAD_SETTING, ses_apply_options(&s, bad, &e))
			<< bad;
}

/* Guards against invalid values that silently change the consistency guarantees
 * of a session. */
TEST_F(Session, ValuesAreChecked)
{
	const char *bad[][2] = {{"max_age_ms", "-1"},
				{"max_age_ms", "5s"},
				{"max_age_ms", ""},
				{"max_wait_ms", "99999999999999999999"},
				{"repeatable", "maybe"},
				{"request_id", "a b"},
				{"session", "orders/x/1"},
				{"session", "a b"},
				{"colour", "red"}};

	for (auto &b : bad) {
		EXPECT_EQ(RES_BAD_SETTING, ses_set(&s, b[0], b[1], &e))
			<< b[0] << "=" << b[1];
		EXPECT_NE(std::string(e.text).find(b[0]), std::string::npos)
			<< e.text;
	}
	EXPECT_EQ(RES_BAD_SETTING,
		  ses_set(&s, "request_id", std::string(65, 'x').c_str(), &e));
}

/* Guards against stale reads in a session that is named by an id. Its writes
 * through other proxies are not known here, even after it has written through
 * this proxy. */
TEST_F(Session, SessionIdStaysUnknown)
{
	ASSERT_EQ(RES_OK, ses_set(&s, "session", "basket-17", &e));
	ASSERT_EQ(RES_OK, ses_resolve_statement(&s, "SELECT 1", &st, &e));
	EXPECT_TRUE(st.token_unknown);
	EXPECT_FALSE(ses_record_write(&s, "orders", 1, 5));
	ASSERT_EQ(RES_OK, ses_resolve_statement(&s, "SELECT 1", &st, &e));
	EXPECT_TRUE(st.token_unknown);
	EXPECT_EQ(1, st.token.n);
	EXPECT_EQ("basket-17", show("session"));
	ASSERT_EQ(RES_OK, ses_set(&s, "session", "", &e));
	EXPECT_TRUE(ses_record_write(&s, "orders", 1, 6));
	EXPECT_EQ("orders/1/6", show("session"));
}

TEST_F(Session, CommentHoldsForItsStatement)
{
	ASSERT_EQ(RES_OK, ses_set(&s, "request_id", "outer", &e));
	ASSERT_EQ(RES_OK, ses_resolve_statement(
				  &s,
				  "-- x\n/* other */ /* marjoramlatch.session="
				  "a/1/2,b/3/4 marjoramlatch.request_id=r-1*/ "
				  "/*marjoramlatch.max_wait_ms=9 */SELECT 1",
				  &st, &e))
		<< e.text;
	EXPECT_EQ(2, st.token.n);
	EXPECT_STREQ("r-1", st.request_id);
	EXPECT_TRUE(st.request_id_from_comment);
	EXPECT_EQ(9, st.max_wait_ms);
	ASSERT_EQ(RES_OK,
		  ses_resolve_statement(&s, "SELECT '/* marjoramlatch.x=1 */'",
					&st, &e));
	EXPECT_STREQ("outer", st.request_id);
	EXPECT_FALSE(st.request_id_from_comment);
	EXPECT_EQ(RES_BAD_SETTING,
		  ses_resolve_statement(
			  &s, "/* marjoramlatch.max_age_ms 5 */ SELECT 1", &st,
			  &e));
}

/* Guards against a SET LOCAL that stays in effect after its transaction, or
 * whose end removes the transaction's own write from the token. */
TEST_F(Session, SetLocalEndsWithTheTransaction)
{
	ASSERT_EQ(RES_OK, ses_set(&s, "max_age_ms", "5", &e));
	ASSERT_EQ(RES_OK, ses_set_local(&s, "max_age_ms", "7", &e));
	ASSERT_EQ(RES_OK, ses_set_local(&s, "max_wait_ms", "8", &e));
	EXPECT_EQ(7, s.max_age_ms);
	EXPECT_TRUE(ses_record_write(&s, "orders", 2, 9));
	ses_end_transaction(&s);
	EXPECT_EQ(5, s.max_age_ms);
	EXPECT_EQ(-1, s.max_wait_ms);
	EXPECT_EQ("orders/2/9", show("session"));
	ASSERT_EQ(RES_OK, ses_reset(&s, "max_age_ms", &e));
	EXPECT_EQ("plan", show("max_age_ms"));
}
