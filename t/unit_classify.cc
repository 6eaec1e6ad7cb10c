#include <gtest/gtest.h>

#include <cstring>
#include <string>
#include <vector>

extern "C" {
#include "classify.h"
}

static int kind(const std::string &sql)
{
	struct cls c = {};

	return cls_parse(sql.c_str(), &c, NULL) == RES_OK ? c.kind : -1;
}

/* Guards against writes that are sent to a replica. */
TEST(Classify, WritesInsideSelectsAreWrites)
{
	for (const char *sql :
	     {"SELECT * FROM t FOR UPDATE", "SELECT nextval('s')",
	      "SELECT 1 WHERE EXISTS (SELECT setval('s', 1))",
	      "WITH d AS (DELETE FROM t RETURNING *) SELECT * FROM d",
	      "SELECT my_function()", "SELECT other.count(*) FROM t",
	      "SELECT * INTO u FROM t", "EXPLAIN ANALYZE DELETE FROM t",
	      "SELECT * FROM t FOR SHARE", "INSERT INTO t VALUES (1)",
	      "CREATE TABLE t (a int)", "CALL p()", "DO $$ BEGIN END $$",
	      "SELECT pg_advisory_xact_lock(1)", "SELECT 1; DELETE FROM t"})
		EXPECT_EQ(CLS_WRITE, kind(sql)) << sql;
}

/* Guards against reads that are sent to the primary without need. */
TEST(Classify, PlainSelectsAreReads)
{
	for (const char *sql :
	     {"SELECT 1", "SELECT count(*), lower(a) FROM t WHERE b = $1",
	      "VALUES (1), (2)", "TABLE t", "SHOW server_version",
	      "EXPLAIN DELETE FROM t", "SELECT extract(day FROM now())",
	      "SELECT substring(a from 2), coalesce(b, 1) FROM t",
	      "SELECT a FROM t UNION SELECT pg_catalog.upper(b) FROM u",
	      "SELECT 1; SELECT 2", "SET TRANSACTION READ ONLY"})
		EXPECT_EQ(CLS_READ, kind(sql)) << sql;
}

/* Guards against returning a connection to the pool after a statement changed
 * the state of its session. */
TEST(Classify, SessionChanges)
{
	for (const char *sql :
	     {"PREPARE p AS SELECT 1", "LISTEN c", "SET search_path = x",
	      "CREATE TEMP TABLE t (a int)", "SELECT pg_advisory_lock(1)",
	      "SELECT set_config('a.b', 'c', false)", "DISCARD ALL",
	      "DECLARE c CURSOR WITH HOLD FOR SELECT 1", "RESET ALL",
	      "CREATE TEMP TABLE t AS SELECT 1", "SELECT 1 INTO TEMP u",
	      "SET x.y = 1; SELECT 1", "CREATE TEMP VIEW v AS SELECT 1"})
		EXPECT_EQ(CLS_SESSION, kind(sql)) << sql;
}

TEST(Classify, OtherKinds)
{
	const std::vector<std::pair<const char *, int>> cases = {
		{"", CLS_EMPTY},
		{" ; ", CLS_EMPTY},
		{"BEGIN ISOLATION LEVEL SERIALIZABLE", CLS_BEGIN},
		{"START TRANSACTION", CLS_BEGIN},
		{"END", CLS_COMMIT},
		{"ABORT", CLS_ROLLBACK},
		{"ROLLBACK TO s", CLS_SAVEPOINT},
		{"PREPARE TRANSACTION 'x'", CLS_TWO_PHASE},
		{"COPY t FROM STDIN", CLS_COPY},
		{"SELECT 1; COPY t TO STDOUT", CLS_COPY},
		{"IDENTIFY_SYSTEM", CLS_REPLICATION},
		{"START_REPLICATION SLOT s 0/0", CLS_REPLICATION},
		{"SET marjoramlatch.max_age_ms = 5", CLS_SETTING},
		{"BEGIN; SELECT 1; COMMIT", CLS_MIXED},
		{"SELECT 1; COMMIT; SELECT 1", CLS_MIXED},
		{"SELEKT", -1},
		{"SELECT 'x", -1}};

	for (const auto &c : cases)
		EXPECT_EQ(c.second, kind(c.first)) << c.first;
}

/* Guards against a cache that grows without bound, and against cache misses
 * because of settings in leading comments. */
TEST(Classify, CacheIsBoundedAndIgnoresLeadingComments)
{
	struct cls_table *t = cls_new(7);
	struct cls a = {}, b = {};

	for (int i = 0; i < CLS_ENTRIES + 100; i++) {
		std::string sql = "SELECT " + std::to_string(i);
		ASSERT_EQ(RES_OK, cls_classify(t, sql.c_str(), &a, NULL));
	}
	EXPECT_EQ((size_t)CLS_ENTRIES, cls_entries(t));
	EXPECT_EQ(0u, cls_hits(t));
	ASSERT_EQ(RES_OK, cls_classify(t, "SELECT 300", &a, NULL));
	ASSERT_EQ(RES_OK, cls_classify(t,
				       "/* marjoramlatch.max_age_ms=1 */ -- x\n"
				       "SELECT 300",
				       &b, NULL));
	EXPECT_EQ(2u, cls_hits(t));
	EXPECT_EQ(a.fingerprint, b.fingerprint);
	ASSERT_EQ(RES_OK, cls_classify(t, "SELECT 1", &a, NULL));
	EXPECT_EQ(2u, cls_hits(t));
	cls_free(t);
}

/* Guards against deeply nested statements that overflow the parser's stack. */
TEST(Classify, DeepStatementsAreRefusedBeforeParsing)
{
	/* Builds a text just below the maximum length, so that it can be
	 * refused only for its depth. */
	auto repeat = [](std::string head, std::string part, std::string tail) {
		while (head.size() + part.size() + tail.size() < CLS_MAX_TEXT)
			head += part;
		return head + tail;
	};
	struct cls c = {};

	for (const std::string &sql :
	     {repeat("SELECT ", "1+", "1"), repeat("SELECT ", "- ", "1"),
	      repeat("SELECT ", "NOT ", "true"), repeat("SELECT ", "(", "1"),
	      repeat("SELECT 1", " UNION SELECT 1, 2", ""),
	      repeat("SELECT ", "1 BETWEEN 2 AND NOT ", "true"),
	      repeat("SELECT ", "CASE WHEN a AND b THEN c ELSE ", "1"),
	      repeat("SELECT a", "::int", ""),
	      repeat("SELECT ", "f(a, ", "")}) {
		struct err e = {};

		EXPECT_EQ(RES_TOO_LARGE, cls_parse(sql.c_str(), &c, &e));
		EXPECT_TRUE(strstr(e.text, "deeper")) << sql.substr(0, 40);
	}
	EXPECT_EQ(CLS_WRITE, kind(repeat("INSERT INTO t VALUES (0, '')",
					 ", (-1, 'a+b')", "")));
	EXPECT_EQ(CLS_READ,
		  kind(repeat("SELECT 1 WHERE a = 1", " OR a = 1", "")));
	EXPECT_EQ(CLS_WRITE,
		  kind(repeat("INSERT INTO t VALUES (", "-2,", "0)")));
}

TEST(Classify, SettingStatements)
{
	struct cls_setting s = {};

	ASSERT_EQ(RES_OK,
		  cls_parse_setting("SET marjoramlatch.Max_Age_ms TO 20", &s,
				    NULL));
	EXPECT_EQ(CLS_SET, s.op);
	EXPECT_STREQ("max_age_ms", s.name);
	EXPECT_STREQ("20", s.value);
	ASSERT_EQ(RES_OK, cls_parse_setting("SET LOCAL marjoramlatch.session = "
					    "'orders/1/5'",
					    &s, NULL));
	EXPECT_EQ(CLS_SET_LOCAL, s.op);
	EXPECT_STREQ("orders/1/5", s.value);
	ASSERT_EQ(RES_OK, cls_parse_setting("SET marjoramlatch.repeatable = on",
					    &s, NULL));
	EXPECT_STREQ("on", s.value);
	ASSERT_EQ(RES_OK,
		  cls_parse_setting("RESET marjoramlatch.session", &s, NULL));
	EXPECT_EQ(CLS_RESET, s.op);
	ASSERT_EQ(RES_OK,
		  cls_parse_setting("SHOW marjoramlatch.session", &s, NULL));
	EXPECT_EQ(CLS_SHOW, s.op);
	EXPECT_EQ(RES_BAD_SETTING,
		  cls_parse_setting("SET marjoramlatch.session = a, b", &s,
				    NULL));
}
