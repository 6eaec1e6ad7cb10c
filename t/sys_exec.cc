#include <gtest/gtest.h>

#include "lib_exec.h"

namespace
{

class Exec : public testing::Test, public Deployment
{
};

const int64_t ONCE = RUN_ONCE | RUN_MAJORITY;

/* Guards against answers that lose rows, their description or their tag. */
TEST_F(Exec, ReadAndWriteOnThePrimary)
{
	start("b1", {"--members", "1"});
	lead("b1", 1);
	Answer *a = run(RUN_WRITE, "b1", "CREATE TABLE t (k int, v text)",
			RUN_MAJORITY);
	ASSERT_EQ(RES_OK, a->end.res) << a->text;
	a = run(RUN_WRITE, "b1", "INSERT INTO t VALUES (1, 'x'), (2, NULL)",
		RUN_MAJORITY);
	EXPECT_EQ(RES_OK, a->end.res) << a->text;
	EXPECT_EQ("C", a->types());
	EXPECT_EQ(1, a->end.write_term);
	EXPECT_EQ(2, a->end.write_position);
	a = run(RUN_READ, "b1", "SELECT k, v FROM t ORDER BY k",
		RUN_CURRENT | RUN_DESCRIBED);
	EXPECT_EQ(RES_OK, a->end.res) << a->text;
	EXPECT_EQ("TDDC", a->types());
	EXPECT_EQ((std::vector<std::string>{"1|x", "2|"}), a->rows());
	EXPECT_EQ('I', a->end.txn);
	a = run(RUN_READ, "b1", "SELECT nothing FROM t");
	EXPECT_EQ(RES_SQL_ERROR, a->end.res);
	EXPECT_EQ("E", a->types());
	EXPECT_NE("", std::string(a->end.sqlstate));
	a = run(RUN_DESCRIBE, "b1", "SELECT k FROM t WHERE v = $1");
	EXPECT_EQ("tT", a->types());
	a = run(RUN_READ, "b1", "SELECT 1; SELECT 2", RUN_SIMPLE);
	EXPECT_EQ("TDCTDC", a->types()) << a->text;
	a = run(RUN_WRITE, "b1",
		"INSERT INTO t VALUES (3, 'y'); SELECT max(k) FROM t",
		RUN_SIMPLE | RUN_MAJORITY);
	EXPECT_EQ("CTDC", a->types()) << a->text;
	EXPECT_EQ(3, a->end.write_position);
}

} // namespace
