#include <gtest/gtest.h>

#include <cstdio>
#include <cstdlib>
#include <string>

#include "lib_cluster.h"

using namespace cluster;

/* Tests of the command line of marjoramlatch without a deployment. They run
 * in the root of the repository. */

static ShellResult run(const std::string &args, const std::string &before = "")
{
	return shell(before + program("marjoramlatch") + " " + args + " 2>&1");
}

/* Guards against an exit status by which scripts can't tell a wrong command
 * line from a refused change. */
TEST(Cli, HelpAndUsage)
{
	for (const char *c : {"apply", "check", "counters", "diff", "load",
			      "log", "status", "version"}) {
		ShellResult help = run(std::string(c) + " --help");

		EXPECT_EQ(0, help.status) << c;
		EXPECT_NE(std::string::npos, help.out.find("usage:")) << c;
		EXPECT_EQ(help.out, run(std::string("help ") + c).out);
		EXPECT_EQ(129, run(std::string(c) + " --no-such").status) << c;
	}
	EXPECT_EQ(0, run("--help").status);
	EXPECT_EQ(0, run("help").status);
	EXPECT_EQ(129, run("").status);
	EXPECT_EQ(129, run("no-such").status);
	EXPECT_EQ(129, run("help no-such").status);
	EXPECT_EQ(129, run("check").status);
	EXPECT_EQ(129, run("apply --to 127.0.0.1:1").status);
}

/* Guards against sample files and documented examples that the program
 * refuses. */
TEST(Cli, ChecksSamples)
{
	for (const char *d : {"threlfall", "barfani"}) {
		std::string dir = std::string("samples/") + d;
		ShellResult two = run("check " + dir + "/plans.json " + dir +
				      "/customers.json");

		EXPECT_EQ(0, two.status) << two.out;
		EXPECT_EQ(1, run("check " + dir + "/plans.json").status);
	}
	/* The key file that the samples name does not exist here. */
	for (const char *role : {"proxy", "control"}) {
		ShellResult r = run(std::string("check --") + role +
				    " samples/" + role + ".json");

		EXPECT_EQ(1, r.status);
		EXPECT_NE(std::string::npos, r.out.find("key_file: ")) << r.out;
	}
}

TEST(Cli, HashesPasswords)
{
	ShellResult r = run("check --hash-password", "echo secret123 | ");

	EXPECT_EQ(0, r.status);
	EXPECT_EQ(0u, r.out.find("$argon2id$")) << r.out;
	EXPECT_EQ(1, run("check --hash-password", "echo | ").status);
}

/* Guards against commands that hang or report success although no proxy is
 * reachable. */
TEST(Cli, FailsWithoutProxy)
{
	const std::string env = "MARJORAMLATCH_PASSWORD=operator1 ";

	for (const char *c : {"status", "log", "counters"}) {
		ShellResult r = run(std::string(c) + " --to 127.0.0.1:1", env);

		EXPECT_EQ(1, r.status) << c;
		EXPECT_NE(std::string::npos, r.out.find("127.0.0.1:1")) << c;
	}
	EXPECT_EQ(1, run("status --to 127.0.0.1:1").status);
	EXPECT_EQ(1, run("status --to localhost:1", env).status);
}
