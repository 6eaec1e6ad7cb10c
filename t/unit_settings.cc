#include <gtest/gtest.h>

#include <fstream>
#include <string>
#include <sys/stat.h>
#include <unistd.h>

extern "C" {
#include "json.h"
#include "settings.h"
}

static std::string parse_error(const std::string &text)
{
	struct err e = {};
	struct js_doc *d = js_parse("f.json", text.data(), text.size(), &e);

	EXPECT_EQ(nullptr, d);
	js_free_doc(d);
	return e.text;
}

/* Guards against a mistyped file that json-c accepts while it drops a part of
 * it. */
TEST(Json, RefusesWhatJsonCWouldAccept)
{
	EXPECT_EQ("f.json:3: duplicate key \"a\", expected each key once",
		  parse_error("{\"a\": 1, // x: \"a\": 2\n\"b\": {\"a\": 1},\n"
			      "\"a\" : 3}"));
	EXPECT_EQ("f.json:2: text after the end of the document",
		  parse_error("{}\n{}"));
	EXPECT_EQ("f.json:2: unexpected end, expected the rest of the document",
		  parse_error("{\"a\": [1,\n2"));
	EXPECT_EQ(0u, parse_error("{\n\"a\" 1}").find("f.json:2: not valid"));
	EXPECT_EQ("f.json: holds a zero byte",
		  parse_error(std::string("{}\0", 3)));
	EXPECT_NE("", parse_error(""));
}

TEST(Json, AcceptsCommentsAndTellsLineAndPath)
{
	const std::string text =
		"/* head */ {\n// a: b\n\"n\": [ {\"x\": \"a:b\"},\n"
		"{\"x\": 1} ] } // tail\n/* end */\n";
	struct err e = {};
	struct js_doc *d = js_parse("f.json", text.data(), text.size(), &e);
	struct js_node root, list, item;
	char out[8] = "";
	size_t n;

	ASSERT_NE(nullptr, d) << e.text;
	ASSERT_EQ(RES_OK, js_get_root(d, &root, &e));
	ASSERT_EQ(RES_OK, js_get_array(&root, "n", &list, 9, &n, &e));
	ASSERT_EQ(2u, n);
	ASSERT_EQ(RES_OK, js_get_object_at(&list, 0, &item, &e));
	EXPECT_EQ(RES_OK, js_get_string(&item, "x", out, sizeof(out), &e));
	EXPECT_STREQ("a:b", out);
	ASSERT_EQ(RES_OK, js_get_object_at(&list, 1, &item, &e));
	EXPECT_EQ(RES_BAD_LIST,
		  js_get_string(&item, "x", out, sizeof(out), &e));
	EXPECT_STREQ("f.json:4: n[1].x: found 1, expected a string of at most "
		     "7 bytes",
		     e.text);
	js_free_doc(d);
}

class Settings : public testing::Test
{
      protected:
	std::string dir, file, key;
	struct settings s = {};
	struct err e = {};

	void SetUp() override
	{
		char name[] = "/tmp/mlset.XXXXXX";

		dir = mkdtemp(name);
		file = dir + "/s.json";
		key = dir + "/key";
		std::ofstream(key) << "0123456789abcdef";
		chmod(key.c_str(), 0600);
	}
	void TearDown() override
	{
		unlink(file.c_str());
		unlink(key.c_str());
		rmdir(dir.c_str());
	}
	enum res load(const std::string &more,
		      enum settings_role role = SETTINGS_ROLE_PROXY)
	{
		std::ofstream(file)
			<< "{ // proxy\n\"id\": \"e1\", \"zone\": \"z\", "
			   "\"link\": \"127.0.0.1:1\",\n\"key_file\": \""
			<< key
			<< "\",\n\"controls\": [{\"id\": \"c1\", \"addr\": "
			   "\"127.0.0.1:2\"}],\n"
			   "\"backend_password\": \"backend1\""
			<< more << "\n}\n";
		e = {};
		return settings_load(&s, file.c_str(), role, &e);
	}
	const std::string proxy = ",\n\"listen\": \"127.0.0.1:3\", "
				  "\"operator_password\": \"operator\"";
	void expect_refused(const std::string &more, const std::string &text)
	{
		EXPECT_EQ(RES_BAD_LIST, load(proxy + more)) << more;
		EXPECT_NE(std::string::npos, std::string(e.text).find(text))
			<< e.text;
	}
};

TEST_F(Settings, DefaultsAndKey)
{
	ASSERT_EQ(RES_OK, load(proxy)) << e.text;
	EXPECT_EQ(400, s.ask_ms);
	EXPECT_EQ(1000, s.lease_ms);
	EXPECT_EQ(10000, s.max_callers);
	EXPECT_TRUE(s.admission);
	EXPECT_EQ(SETTINGS_SCHEDULING_OWNER, s.scheduling);
	EXPECT_STREQ("c1", s.controls[0].id);
	EXPECT_NE(0, s.key[0] | s.key[1] | s.key[2]);
	ASSERT_EQ(RES_OK, load(proxy + ", \"scheduling\": \"pools\""));
	EXPECT_EQ(SETTINGS_SCHEDULING_POOLS, s.scheduling);
}

/* Guards against a process that starts with other settings than those in its
 * file. */
TEST_F(Settings, RefusesEachKindOfError)
{
	expect_refused(",\n\"ask_mss\": 1", ":7: ask_mss: unknown key");
	expect_refused(", \"ask_ms\": \"4\"",
		       "ask_ms: found \"4\", expected an "
		       "integer from 10 to 600000 ms");
	expect_refused(", \"ask_ms\": 1", "found 1, expected");
	expect_refused(", \"ask_ms\": 99999999999999999999",
		       "expected an integer");
	expect_refused(", \"ask_ms\": 600",
		       "lease_ms: found 1000 ms, expected at "
		       "least twice ask_ms");
	expect_refused(", \"admission\": 1", "expected true or false");
	expect_refused(", \"scheduling\": \"x\"", "expected one of \"owner\"");
	expect_refused(", \"log_level\": \"loud\"",
		       "log_level: found \"loud\"");
	expect_refused(", \"data\": 1", "data: found 1, expected a string");
	expect_refused(", \"id\": \"x\"", "duplicate key \"id\"");
	EXPECT_EQ(RES_BAD_LIST, load(""));
	EXPECT_NE(nullptr, strstr(e.text, "listen: the key is missing"));
	EXPECT_EQ(RES_BAD_LIST, load("", SETTINGS_ROLE_CONTROL));
	EXPECT_NE(nullptr, strstr(e.text, "data: the key is missing"));
	EXPECT_EQ(RES_BAD_LIST,
		  load(",\"data\": \"/d\"", SETTINGS_ROLE_CONTROL));
	EXPECT_NE(nullptr, strstr(e.text, "own id \"e1\" is missing"));
	EXPECT_EQ(RES_BAD_LIST, load(",\n\"listen\": \"localhost:3\", "
				     "\"operator_password\": \"operator\""));
	EXPECT_NE(nullptr, strstr(e.text, "listen: found \"localhost:3\""));
}

TEST_F(Settings, RefusesWeakKeyFile)
{
	chmod(key.c_str(), 0644);
	expect_refused("", "mode 0644");
	chmod(key.c_str(), 0600);
	std::ofstream(key) << "short";
	expect_refused("", "holds 5 bytes, expected at least 16");
	unlink(key.c_str());
	expect_refused("", "No such file");
}

TEST_F(Settings, Addresses)
{
	for (const char *bad : {"1.2.3.4", "a:1", ":1", "1.2.3.4:", "1.2.3:5",
				"1.2.3.4:70000", "1.2.3.4:1x", "1.2.3.4:-1"})
		EXPECT_EQ(RES_BAD_LIST, settings_check_addr(bad, "k", &e))
			<< bad;
	EXPECT_EQ(RES_OK, settings_check_addr("127.0.0.1:0", "k", &e));
	EXPECT_EQ(RES_OK, settings_check_peer_addr("127.0.0.1:1", "k", &e));
	/* Nothing listens on port 0, so a backend server can't be there. */
	for (const char *addr :
	     {"127.0.0.1:0", "127.0.0.1:00", "127.0.0.1",
	      "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:-1",
	      "127.0.0.1:99999999999999999999", "127.0.0.1:1e3", "0.0.0.0:80",
	      "256.0.0.1:80"})
		EXPECT_EQ(RES_BAD_LIST, settings_check_peer_addr(addr, "k", &e))
			<< addr;
}
