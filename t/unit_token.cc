#include <gtest/gtest.h>

extern "C" {
#include "token.h"
}

/* Guards against a token that changes when a caller takes it from one proxy to
 * another. */
TEST(Token, RoundTrip)
{
	struct token t = {};
	char text[TOK_TEXT_LEN];

	ASSERT_EQ(RES_OK, tok_parse(&t, "orders/3/1042,catalogue/1/88", NULL));
	tok_format(&t, text);
	EXPECT_STREQ("orders/3/1042,catalogue/1/88", text);
}

TEST(Token, RefusesMalformedText)
{
	struct token t = {};
	struct err e = {};

	for (const char *bad : {"orders", "orders/1", "orders/x/1", "/1/2",
				"a/1/2/3", "a/1/2;b/1/2", "a/-1/2"})
		EXPECT_EQ(RES_BAD_SETTING, tok_parse(&t, bad, &e)) << bad;
	EXPECT_EQ(0, t.n);
}

/* Guards against reads of older data after an older answer arrives late. */
TEST(Token, RaiseNeverLowers)
{
	struct token t = {};

	tok_raise(&t, "orders", 2, 50);
	tok_raise(&t, "orders", 1, 90);
	tok_raise(&t, "orders", 2, 40);
	EXPECT_EQ(2, tok_find(&t, "orders")->term);
	EXPECT_EQ(50, tok_find(&t, "orders")->position);
}

/* Guards against serving a session although a failover has lost its write. */
TEST(Token, LostWhenLaterTermStartedBelow)
{
	struct term_start starts[] = {{1, 0}, {2, 100}, {3, 90}};

	EXPECT_TRUE(tok_contained(starts, 3, 1, 80, 3));
	EXPECT_TRUE(tok_contained(starts, 3, 1, 100, 2));
	EXPECT_FALSE(tok_contained(starts, 3, 1, 95, 3));
	EXPECT_FALSE(tok_contained(starts, 3, 1, 101, 2));
	EXPECT_TRUE(tok_contained(starts, 3, 3, 500, 3));
}
