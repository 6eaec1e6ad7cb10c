#include <gtest/gtest.h>

extern "C" {
#include "sctx.h"
}

static struct span text(const char *s)
{
	return {s, strlen(s)};
}

/*
 * Guards against different statements that get the same name at the backend.
 * When the mode was the seed of the hash, the hashes of READ q27 and WRITE q20
 * collided.
 */
TEST(Sctx, PreparedNamesDifferByModeAndShape)
{
	struct sctx c = {};

	for (int i = 0; i < 256; i++) {
		char shape[8];

		snprintf(shape, sizeof(shape), "q%x", i);
		sctx_prepare(&c, text((std::string("r") + shape).c_str()),
			     false, text(shape));
		sctx_prepare(&c, text((std::string("w") + shape).c_str()), true,
			     text(shape));
	}
	for (size_t i = 0; i < c.nprepared; i++)
		for (size_t j = i + 1; j < c.nprepared; j++)
			EXPECT_STRNE(c.prepared[i].backend_name,
				     c.prepared[j].backend_name)
				<< c.prepared[i].name << " "
				<< c.prepared[j].name;
	sctx_free(&c);
}

TEST(Sctx, PreparingAgainReplacesTheStatement)
{
	struct sctx c = {};

	sctx_prepare(&c, text("s1"), false, text("a"));
	sctx_prepare(&c, text("s1"), true, text("b"));
	ASSERT_EQ(c.nprepared, 1u);
	EXPECT_TRUE(sctx_find(&c, text("s1"))->writes);
	EXPECT_STREQ(sctx_find(&c, text("s1"))->statement_text, "b");
	sctx_deallocate(&c, text("s1"));
	EXPECT_EQ(sctx_find(&c, text("s1")), nullptr);
	sctx_free(&c);
}

TEST(Sctx, HashTellsValuesApartButNotTheirOrder)
{
	struct sctx a = {};
	struct sctx b = {};

	EXPECT_EQ(a.session_values_hash, 0u);
	sctx_set(&a, text("v0"), text("1"));
	sctx_set(&a, text("v1"), text("2"));
	sctx_set(&b, text("v1"), text("2"));
	sctx_set(&b, text("v0"), text("1"));
	EXPECT_EQ(a.session_values_hash, b.session_values_hash);
	sctx_set(&b, text("v0"), text("2"));
	EXPECT_NE(a.session_values_hash, b.session_values_hash);
	sctx_free(&a);
	sctx_free(&b);
}
