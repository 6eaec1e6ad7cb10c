#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "apikey.h"
#include "msg.h"
#include "platform/document.h"
}

/* The tenants of a published configuration. */
namespace
{

const unsigned char hash_key[AKEY_SECRET_LEN] = {1, 2, 3};

std::string config(const std::string &tenants, const std::string &route = "")
{
	return "{\"version\":7,\"routes\":[{\"host\":\"shop\",\"timeout_ms\":"
	       "800,\"service\":\"g1\"" +
	       route + "}],\"services\":[{\"name\":\"g1\"}]" +
	       (tenants.empty() ? "" : ",\"tenants\":" + tenants) + "}";
}

struct route_table *parse(const std::string &text, struct err *e = nullptr)
{
	return doc_parse_configuration(text.data(), text.size(), hash_key, e);
}

std::string hash_of(const std::string &key)
{
	char hex[RT_KEY_HASH_HEX];

	akey_hash(hash_key, key.data(), key.size(), hex);
	return hex;
}

/* The tenant that holds a key; "" if none does. */
std::string holder(const struct route_table *r, const std::string &key)
{
	const struct rt_tenant *t = rt_find_key(r, hash_of(key).c_str());

	return t ? t->name : "";
}

} // namespace

TEST(DocumentTenants, DecodesTenantsAndPublicRoutes)
{
	struct err e = {};
	struct route_table *r = parse(
		config("[{\"name\":\"zeta\",\"api_keys\":[\"kz\"],"
		       "\"rate_per_s\":2.5,\"burst\":0.5,\"priority\":3},"
		       "{\"name\":\"acme\",\"api_keys\":[\"k1\",\"k2\",\"k1\"],"
		       "\"rate_per_s\":4},{\"name\":\"none\",\"api_keys\":[]}]",
		       ",\"public\":true"),
		&e);

	ASSERT_TRUE(r) << e.text;
	EXPECT_TRUE(r->has_tenants);
	EXPECT_EQ(3, r->ntenants);
	EXPECT_EQ(3, r->napi_keys) << "a key listed twice counts once";
	EXPECT_EQ("zeta", holder(r, "kz"));
	EXPECT_EQ("acme", holder(r, "k1"));
	EXPECT_EQ("acme", holder(r, "k2"));
	EXPECT_EQ("", holder(r, "k3"));
	EXPECT_TRUE(rt_find_database(r, "shop")->is_public);
	const struct rt_tenant *t = rt_find_tenant(r, "zeta");
	EXPECT_EQ(2500, t->rate_milli);
	EXPECT_EQ(500, t->burst_milli);
	EXPECT_EQ(3, t->priority);
	EXPECT_EQ(4000, rt_find_tenant(r, "acme")->rate_milli);
	EXPECT_EQ(0, rt_find_tenant(r, "acme")->burst_milli);
	EXPECT_EQ(RT_NO_RATE, rt_find_tenant(r, "none")->rate_milli);
	rt_unref(r);
}

/* Guards against a deployment without tenants whose callers are asked for keys,
 * and one with an empty list that is open to all. */
TEST(DocumentTenants, AnEmptyListIsNotTheSameAsNone)
{
	struct route_table *none = parse(config(""));
	struct route_table *empty = parse(config("[]"));

	ASSERT_TRUE(none && empty);
	EXPECT_FALSE(none->has_tenants);
	EXPECT_TRUE(empty->has_tenants);
	EXPECT_FALSE(rt_find_database(none, "shop")->is_public);
	rt_unref(none);
	rt_unref(empty);
}

/* Guards against a configuration that the operator must correct, and against
 * API keys in the log, which contains the errors. */
TEST(DocumentTenants, RefusesWhatCannotBeInForceAndShowsNoKey)
{
	const char *const wrong[] = {
		"\"SECRET\"",
		"null",
		"{\"SECRET\":1}",
		"[\"SECRET\"]",
		"[{\"api_keys\":[\"SECRET\"]}]",
		"[{\"name\":\"a\"}]",
		"[{\"name\":\"\",\"api_keys\":[\"SECRET\"]}]",
		"[{\"name\":\"a b\",\"api_keys\":[\"SECRET\"]}]",
		"[{\"name\":\"a\\r\\nQUERY\",\"api_keys\":[\"SECRET\"]}]",
		"[{\"name\":7,\"api_keys\":[\"SECRET\"]}]",
		"[{\"name\":\"a\",\"api_keys\":\"SECRET\"}]",
		"[{\"name\":\"a\",\"api_keys\":[[\"SECRET\"]]}]",
		"[{\"name\":\"a\",\"api_keys\":[{\"SECRET\":\"SECRET\"}]}]",
		"[{\"name\":\"a\",\"api_keys\":[\"SECRET\",\"\"]}]",
		"[{\"name\":\"a\",\"api_keys\":[\"SECRET\\u0000\"]}]",
		"[{\"name\":\"a\",\"api_keys\":[\"SECRET\",5]}]",
		"[{\"name\":\"a\",\"api_keys\":[],\"rate_per_s\":-0.1}]",
		"[{\"name\":\"a\",\"api_keys\":[],\"rate_per_s\":\"SECRET\"}]",
		"[{\"name\":\"a\",\"api_keys\":[],\"burst\":-1}]",
		"[{\"name\":\"a\",\"api_keys\":[],\"burst\":null}]",
		"[{\"name\":\"a\",\"api_keys\":[],\"burst\":NaN}]",
		"[{\"name\":\"a\",\"api_keys\":[],\"priority\":-1}]",
		"[{\"name\":\"a\",\"api_keys\":[\"SECRET\"]},"
		"{\"name\":\"a\",\"api_keys\":[]}]",
		"[{\"name\":\"a\",\"api_keys\":[\"x\",\"SECRET\"]},"
		"{\"name\":\"b\",\"api_keys\":[\"SECRET\",\"y\"]}]"};

	for (const char *t : wrong) {
		struct err e = {};
		struct route_table *r = parse(config(t), &e);

		EXPECT_FALSE(r) << t;
		EXPECT_NE('\0', e.text[0]) << t;
		EXPECT_FALSE(strstr(e.text, "SECRET")) << e.text;
		rt_unref(r);
	}
	struct err e = {};
	EXPECT_FALSE(parse(config("[]", ",\"public\":1"), &e));
	EXPECT_FALSE(parse(config(std::string("[{\"name\":\"a\",\"api_keys\":"
					      "[\"") +
				  std::string(5000, 'S') + "\"]}]"),
			   &e));
	EXPECT_FALSE(strstr(e.text, "SSSS")) << e.text;
}

/* Guards against proxies that miss a tenant or take a key for that of another
 * one: 84 tenants with 20 keys each and 1,400 routes, as in the sizes that must
 * work. */
TEST(DocumentTenants, ALongListTravelsWhole)
{
	constexpr int TENANTS = 84;
	constexpr int KEYS = 20;
	std::string tenants = "[";
	std::string routes;
	struct buf packed = BUF_INIT;
	int64_t size;
	struct err e = {};

	for (int i = 0; i < TENANTS; i++) {
		tenants += std::string(i ? "," : "") + "{\"name\":\"t" +
			   std::to_string(i) + "\",\"api_keys\":[";
		for (int k = 0; k < KEYS; k++)
			tenants += std::string(k ? "," : "") + "\"key-" +
				   std::to_string(i) + "-" + std::to_string(k) +
				   "\"";
		tenants += "],\"rate_per_s\":" + std::to_string(i) + ".5}";
	}
	for (int i = 1; i < 1400; i++)
		routes += "},{\"host\":\"db" + std::to_string(i) +
			  "\",\"timeout_ms\":800,\"service\":\"g1\"";
	struct route_table *r = parse(config(tenants + "]", routes), &e);
	ASSERT_TRUE(r) << e.text;
	rt_encode(r, &packed, &size);
	EXPECT_EQ(nullptr,
		  memmem(buf_data(&packed), buf_len(&packed), "key-1", 5))
		<< "proxies receive hashes only";
	struct blob b = blob_from_buf(&packed);
	struct route_table *copy = rt_decode(&b, size, &e);
	ASSERT_TRUE(copy) << e.text;
	EXPECT_EQ(1400, copy->ndatabases);
	EXPECT_TRUE(copy->has_tenants);
	for (int i = 0; i < TENANTS; i++)
		for (int k = 0; k < KEYS; k++)
			EXPECT_EQ("t" + std::to_string(i),
				  holder(copy, "key-" + std::to_string(i) +
						       "-" +
						       std::to_string(k)));
	EXPECT_EQ(83500, rt_find_tenant(copy, "t83")->rate_milli);
	rt_unref(copy);
	rt_unref(r);
	buf_free(&packed);
}
