#include <gtest/gtest.h>

#include <cstdio>
#include <cstring>
#include <string>
#include <thread>

#include "lib_cluster.h"

using namespace cluster;

/* Tests of the subcommands of marjoramlatch against a running deployment. */

static ShellResult run(const std::string &args)
{
	return shell(
		"MARJORAMLATCH_PASSWORD=" + std::string(OPERATOR_PASSWORD) +
		" " + program("marjoramlatch") + " " + args + " 2>&1");
}

static void expect_text(const ShellResult &r, const std::string &text)
{
	EXPECT_NE(std::string::npos, r.out.find(text))
		<< "missing: " << text << "\n"
		<< r.out;
}

class Tools : public testing::Test
{
      protected:
	Cluster cluster{Spec()};
	std::string to_options;

	void SetUp() override
	{
		ASSERT_TRUE(cluster.start());
		for (const char *p : {"p1", "p2", "p3"})
			to_options += " --to " + cluster.listen_addr_of(p);
	}
	/* Writes a file with the plan and customer that a deployment starts
	 * with, but with this limit of connections and max_age_ms 0. */
	std::string write_lists(const std::string &name, int connections)
	{
		std::string file = cluster.dir().path() + "/" + name;
		FILE *f = fopen(file.c_str(), "w");

		fprintf(f,
			"{\"plans\": [{\"name\": \"standard\", "
			"\"connections\": %d, \"max_age_ms\": 0, "
			"\"max_wait_ms\": 5000}],\n\"customers\": [%s]}",
			connections,
			customer_json("shop", "standard", "shop-password")
				.c_str());
		fclose(f);
		return file;
	}
	std::string load(const std::string &args)
	{
		std::string file = cluster.dir().path() + "/shop.password";
		FILE *f = fopen(file.c_str(), "w");

		fputs("shop-password\n", f);
		fclose(f);
		return "load" + to_options +
		       " --user shop --database orders --password-file " +
		       file + " " + args;
	}
};

/* Guards against a change of the lists that overwrites another operator's
 * change, is applied twice after a lost answer, or is not in force at every
 * proxy. */
TEST_F(Tools, AppliesAndShowsLists)
{
	std::string a = write_lists("a.json", 11);
	std::string b = write_lists("b.json", 12);
	ShellResult first =
		run("apply" + to_options +
		    " --operator anna --base 1 --request-id r1 " + a);

	ASSERT_EQ(0, first.status) << first.out;
	expect_text(first, "accepted: version 2");
	ShellResult again =
		run("apply" + to_options +
		    " --operator anna --base 1 --request-id r1 " + a);
	EXPECT_EQ(0, again.status);
	expect_text(again, "accepted: version 2");
	ShellResult conflict =
		run("apply" + to_options + " --operator bob --base 1 " + b);
	EXPECT_EQ(1, conflict.status);
	expect_text(conflict, "SQLSTATE 40001");
	expect_text(conflict, "anna");
	expect_text(conflict, "connections");
	ShellResult diff = run("diff" + to_options + " " + b);
	EXPECT_EQ(0, diff.status);
	expect_text(diff, "~ plan standard connections 11 -> 12");
	ShellResult base = run("apply" + to_options + " --operator bob " + b);
	EXPECT_EQ(0, base.status);
	expect_text(base, "based on version 2");
	expect_text(base, "accepted: version 3");
	EXPECT_TRUE(wait_until(7000, [&] {
		return run("status" + to_options)
			       .out.find("in force everywhere (3 proxies)") !=
		       std::string::npos;
	}));
	expect_text(run("log" + to_options), "bob");
	expect_text(run("counters" + to_options), "config_applied");
	expect_text(run("status --groups" + to_options), "orders");
}

/* Guards against a command that fails when one of the proxies is down. */
TEST_F(Tools, TriesTheNextProxy)
{
	cluster.process("p1").kill();
	EXPECT_EQ(0, run("log" + to_options).status);
	EXPECT_EQ(0, run("apply" + to_options + " --operator anna " +
			 write_lists("a.json", 11))
			     .status);
	EXPECT_TRUE(wait_until(10000, [&] {
		return run("status" + to_options)
			       .out.find("1 not in contact") !=
		       std::string::npos;
	}));
}

/* Guards against a load client that reports success whatever happened to
 * the orders: it must accept a correct run, and detect a row that was lost
 * or duplicated. */
TEST_F(Tools, LoadVerifiesOrders)
{
	ShellResult sound = run(load("--seconds 2 --callers 6 "
				     "--mix order:2,order_read:1,browse:2"));

	EXPECT_EQ(0, sound.status) << sound.out;
	expect_text(sound, " 0 lost, 0 doubled");
	for (std::string change :
	     {"DELETE FROM load_%s WHERE n = 3",
	      "INSERT INTO load_%s SELECT run, caller, n FROM load_%s "
	      "WHERE n = 3"}) {
		bool gone = change[0] == 'D';
		std::string table = gone ? "load_gone" : "load_doubled";
		std::string sql = change;
		ShellResult r;
		std::thread t([&] {
			r = run(load("--seconds 3 --callers 2 --rate 40 "
				     "--mix order:1 --table " +
				     table));
		});
		Caller c = cluster.member(cluster.primary("orders"));

		for (size_t at; (at = sql.find("load_%s")) != sql.npos;)
			sql.replace(at, strlen("load_%s"), table);
		/* Waits until both callers have placed order 3, while the
		 * run continues. */
		EXPECT_TRUE(wait_until(3000, [&] {
			return c.exec("SELECT count(*) FROM " + table +
				      " WHERE n = 3")
				       .value() == "2";
		}));
		EXPECT_TRUE(c.exec(sql).ok);
		t.join();
		EXPECT_EQ(1, r.status) << sql << "\n" << r.out;
		expect_text(r, gone ? "found 0 times" : "found 2 times");
	}
}
