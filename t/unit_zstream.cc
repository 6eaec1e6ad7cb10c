#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "zstream.h"
}

struct Zstream : testing::Test {
	struct zs_pair *sender = zs_new();
	struct zs_pair *receiver = zs_new();
	struct err e = {};

	void TearDown() override
	{
		zs_free(sender);
		zs_free(receiver);
	}

	std::string compress(const std::string &text)
	{
		struct buf out = BUF_INIT;

		zs_compress(sender, text.data(), text.size(), &out);
		std::string s(buf_data(&out), buf_len(&out));
		buf_free(&out);
		return s;
	}

	enum res decompress(const std::string &packed, std::string *text,
			    size_t max = 1 << 20)
	{
		struct buf out = BUF_INIT;
		enum res r = zs_decompress(receiver, packed.data(),
					   packed.size(), max, &out, &e);

		text->assign(buf_data(&out) ? buf_data(&out) : "",
			     buf_len(&out));
		buf_free(&out);
		return r;
	}
};

TEST_F(Zstream, GivesMessagesBackInTheirOrder)
{
	std::string text;

	for (size_t n : {1u, 40u, 5000u, 300000u, 7u}) {
		std::string sent;

		for (size_t i = 0; i < n; i++)
			sent += (char)('a' + (i * i + n) % 26);
		ASSERT_EQ(RES_OK, decompress(compress(sent), &text));
		EXPECT_EQ(sent, text);
	}
}

/* Guards against compression that does not use the messages before as context:
 * most messages are short. */
TEST_F(Zstream, ARepeatedMessageCostsLittle)
{
	std::string m = "COMPLETE i-7f3a91c2 huvo11a marjoramlatch.max_age";

	compress(m);
	EXPECT_LT(compress(m).size(), m.size() / 4);
}

/* Guards against a small message that takes all memory when it is expanded. */
TEST_F(Zstream, RefusesAMessageThatIsTooLong)
{
	std::string text;

	EXPECT_EQ(RES_BAD_FRAME,
		  decompress(compress(std::string(200000, 'x')), &text, 9999));
	EXPECT_LT(text.size(), 20000u);
}

/* Guards against damaged data that is taken for a message, or that ends the
 * process. */
TEST_F(Zstream, RefusesDamagedData)
{
	std::string text;
	int refused = 0;

	for (int i = 0; i < 256; i++) {
		std::string bytes;

		for (int j = 0; j < 64; j++)
			bytes += (char)(i * 31 + j * j * 7 + i * j);
		refused += decompress(bytes, &text) != RES_OK;
	}
	EXPECT_GT(refused, 200);
}
