#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "apikey.h"
#include "platform/calls.h"
#include "platform/document.h"
}

static const unsigned char hash_key[AKEY_SECRET_LEN] = {7};

static const char valid_config[] =
	"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":\"shop\","
	"\"path_prefix\":\"/\",\"kind\":\"read_your_writes\","
	"\"timeout_ms\":800,\"priority\":2,\"service\":\"g1\","
	"\"max_staleness_ms\":2500,\"new\":[1]}],"
	"\"services\":[{\"name\":\"g1\",\"max_conns\":30,"
	"\"sync_replicas\":1}],\"limits\":{\"txn_idle_ms\":900}}";

static std::string replace_in_config(const std::string &from,
				     const std::string &to)
{
	std::string s = valid_config;
	size_t at = s.find(from);

	EXPECT_NE(std::string::npos, at) << from;
	return s.replace(at, from.size(), to);
}

static bool accepted(const std::string &s)
{
	struct err e = {};
	struct route_table *r =
		doc_parse_configuration(s.data(), s.size(), hash_key, &e);

	EXPECT_TRUE(r || e.text[0]) << "refused without a reason";
	rt_unref(r);
	return r != NULL;
}

TEST(Document, DecodesAConfiguration)
{
	struct err e = {};
	struct route_table *r = doc_parse_configuration(
		valid_config, strlen(valid_config), hash_key, &e);

	ASSERT_TRUE(r) << e.text;
	EXPECT_EQ(7, r->version);
	EXPECT_EQ(900, r->txn_idle_ms);
	const struct rt_database *d = rt_find_database(r, "shop");
	ASSERT_TRUE(d);
	EXPECT_EQ(RT_READS_OWN_COMMITS, d->read_freshness);
	EXPECT_EQ(2500, d->max_age_ms);
	EXPECT_EQ(800, d->statement_timeout_ms);
	EXPECT_STREQ("g1", d->group);
	EXPECT_EQ(30, rt_find_group(r, "g1")->max_connections);
	EXPECT_EQ(nullptr, rt_find_database(r, "other"));
	rt_unref(r);
}

/* Guards against accepting a configuration that the operator must correct. */
TEST(Document, RefusesWhatCannotBeInForce)
{
	EXPECT_TRUE(accepted(valid_config));
	for (size_t len = 0; len < strlen(valid_config); len += 7)
		EXPECT_FALSE(accepted(std::string(valid_config, len))) << len;
	EXPECT_FALSE(accepted(
		replace_in_config("\"service\":\"g1\"", "\"service\":\"g2\"")));
	EXPECT_FALSE(accepted(
		replace_in_config("\"timeout_ms\":800", "\"timeout_ms\":0")));
	EXPECT_FALSE(
		accepted(replace_in_config("\"timeout_ms\":800", "\"x\":0")));
	EXPECT_FALSE(accepted(
		replace_in_config("\"version\":7", "\"version\":\"7\"")));
	EXPECT_FALSE(accepted(replace_in_config("\"version\":7,", "")));
	EXPECT_FALSE(accepted(replace_in_config(
		"\"new\":[1]}", "\"new\":[1]},{\"host\":\"shop\","
				"\"path_prefix\":\"/\",\"timeout_ms\":1,"
				"\"service\":\"g1\"}")));
	EXPECT_FALSE(accepted(std::string(valid_config) + "x"));
	EXPECT_FALSE(accepted("[]"));
}

TEST(Document, AnUnknownKindGetsTheStrictestReads)
{
	std::string s = replace_in_config("read_your_writes", "eventual");
	struct route_table *r =
		doc_parse_configuration(s.data(), s.size(), hash_key, NULL);

	ASSERT_TRUE(r);
	EXPECT_EQ(RT_READS_CURRENT,
		  rt_find_database(r, "shop")->read_freshness);
	rt_unref(r);
}

static const char valid_announcement[] =
	"{\"service\":\"g1\",\"addr\":\"10.0.0.9:80\",\"zone\":\"z\","
	"\"version\":\"v1\",\"slots\":2,\"state\":\"ready\",\"born\":12,"
	"\"cold_left_ms\":0,\"db_role\":\"replica\",\"seq\":4}";

static bool announcement_accepted(const std::string &text)
{
	struct announcement a;
	struct err e = {};

	return !doc_parse_announcement(&a, "i-1", text.data(), text.size(), &e);
}

TEST(Document, DecodesAnAnnouncement)
{
	struct announcement a;
	struct err e = {};

	ASSERT_EQ(RES_OK,
		  doc_parse_announcement(&a, "i-1", valid_announcement,
					 strlen(valid_announcement), &e))
		<< e.text;
	EXPECT_STREQ("i-1", a.info.id);
	EXPECT_STREQ("g1", a.info.group);
	EXPECT_EQ(12, a.info.incarnation);
	EXPECT_EQ(4, a.sequence);
	EXPECT_FALSE(a.info.leaving);
	EXPECT_FALSE(a.info.announced_primary);
}

/* Guards against using a member because of a malformed announcement that
 * another writer stored. */
TEST(Document, RefusesForeignAnnouncements)
{
	for (const char *part : {"\"ready\"", "\"replica\"", "\"seq\":4",
				 "\"g1\"", "\"10.0.0.9:80\""}) {
		struct announcement a;
		struct err e = {};
		std::string s = valid_announcement;
		s.replace(s.find(part), strlen(part),
			  strchr(part, ':') && part[1] == 's' ? "\"seq\":\"4\""
							      : "17");
		EXPECT_EQ(RES_BAD_LIST,
			  doc_parse_announcement(&a, "i-1", s.data(), s.size(),
						 &e))
			<< s;
		EXPECT_NE('\0', e.text[0]);
	}
}

/* Guards against an entry that another writer left and that takes the place of
 * a member's own, or ends the process that reads it. */
TEST(Document, RefusesOddAnnouncements)
{
	std::string nested;

	for (int depth : {33, 1000, 100000})
		for (const char *key : {"\"version\":", "\"extra\":"}) {
			nested = key + std::string((size_t)depth, '[') +
				 std::string((size_t)depth, ']');
			std::string s = valid_announcement;
			s.replace(s.find("\"version\":\"v1\""),
				  strlen("\"version\":\"v1\""), nested);
			EXPECT_FALSE(announcement_accepted(s)) << depth;
		}
	const std::pair<const char *, std::vector<const char *>> odd[] = {
		{"\"born\":12",
		 {"\"born\":1e400", "\"born\":-1", "\"born\":1.5",
		  "\"born\":99999999999999999999999",
		  "\"born\":9223372036854775807", "\"born\":{}",
		  "\"born\":\"12\"", "\"born\":null", "\"x\":12"}},
		{"\"seq\":4",
		 {"\"seq\":1e400", "\"seq\":-1", "\"seq\":[]",
		  "\"seq\":99999999999999999999999", "\"x\":4"}},
		{"\"slots\":2",
		 {"\"slots\":0", "\"slots\":1000000", "\"slots\":-2",
		  "\"slots\":\"2\"", "\"x\":2"}},
		{"\"zone\":\"z\"", {"\"zone\":1", "\"x\":1"}},
		{"\"version\":\"v1\"",
		 {"\"version\":{}", "\"version\":1", "\"x\":1"}},
		{"\"cold_left_ms\":0",
		 {"\"cold_left_ms\":\"0\"", "\"cold_left_ms\":[]",
		  "\"cold_left_ms\":1e400", "\"x\":0"}},
	};
	for (const auto &[part, values] : odd)
		for (const char *value : values) {
			std::string s = valid_announcement;

			s.replace(s.find(part), strlen(part), value);
			EXPECT_FALSE(announcement_accepted(s)) << s;
		}
}

static enum call call_for(const char *method, const char *path, char *id)
{
	struct http_request q = {};

	q.method = method;
	snprintf(q.path, sizeof(q.path), "%s", path);
	return call_identify(&q, id, ID_LEN);
}

TEST(Calls, AreToldByMethodAndPath)
{
	char id[ID_LEN] = "";

	EXPECT_EQ(CALL_GET_READY, call_for("GET", "/marjoramlatch/ready", id));
	EXPECT_EQ(CALL_PUT_CONFIG,
		  call_for("PUT", "/marjoramlatch/config", id));
	EXPECT_EQ(CALL_GET_CONFIG,
		  call_for("GET", "/marjoramlatch/config", id));
	EXPECT_EQ(CALL_PUT_BACKEND,
		  call_for("PUT", "/marjoramlatch/instances/i-1", id));
	EXPECT_STREQ("i-1", id);
	EXPECT_EQ(CALL_DELETE_BACKEND,
		  call_for("DELETE", "/marjoramlatch/instances/i-2", id));
	for (const char *path :
	     {"/", "/marjoramlatch", "/marjoramlatch/", "/x",
	      "/marjoramlatch/instances/", "/marjoramlatch/instances/a/b",
	      "/marjoramlatch/instances/"
	      "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"})
		EXPECT_EQ(CALL_UNKNOWN, call_for("PUT", path, id)) << path;
}
