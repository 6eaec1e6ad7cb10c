#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "compress.h"
}

TEST(Pack, GivesTheTextBack)
{
	std::string text;
	struct buf packed = BUF_INIT;
	struct buf out = BUF_INIT;

	for (int i = 0; i < 2000; i++)
		text += "{\"host\":\"h" + std::to_string(i) + "\"},";
	compress_text(text.data(), text.size(), &packed);
	struct blob b = {buf_data(&packed), buf_len(&packed)};
	EXPECT_LT(b.len, text.size() / 4);
	ASSERT_EQ(RES_OK, decompress_text(&b, text.size(), &out, NULL));
	EXPECT_EQ(text, std::string(buf_data(&out), buf_len(&out)));
	buf_free(&out);
	buf_free(&packed);
}

TEST(Pack, RefusesDamagedTexts)
{
	std::string text(500, 'x');
	struct buf packed = BUF_INIT;
	struct buf out = BUF_INIT;
	struct err e = {};

	compress_text(text.data(), text.size(), &packed);
	struct blob b = {buf_data(&packed), buf_len(&packed) - 1};
	EXPECT_NE(RES_OK, decompress_text(&b, 500, &out, &e));
	b.len++;
	EXPECT_NE(RES_OK, decompress_text(&b, 499, &out, &e));
	EXPECT_NE(RES_OK, decompress_text(&b, 501, &out, &e));
	EXPECT_NE(RES_OK, decompress_text(&b, (size_t)-1, &out, &e));
	EXPECT_NE('\0', e.text[0]);
	buf_free(&out);
	buf_free(&packed);
}
