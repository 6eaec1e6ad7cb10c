#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

extern "C" {
#include "counter.h"
#include "result.h"
}

static std::string read_page(const char *path)
{
	std::ifstream file(path);
	std::stringstream page;

	EXPECT_TRUE(file) << path << " can't be read";
	page << file.rdbuf();
	return page.str();
}

/* Guards against error codes that docs/errors.md does not list, or lists with
 * another number, SQLSTATE or outcome. Tests run in the root directory of the
 * repository. */
TEST(ErrorsDoc, ListsEveryCode)
{
	static const char *const outcome_texts[] = {"not about a request", "no",
						    "may have", "yes"};
	const std::string page = read_page("docs/errors.md");

#define X(name, num, state, r, text)                                       \
	EXPECT_NE(std::string::npos,                                       \
		  page.find("| " + std::to_string(num) +                   \
			    " | " #name " | " state " | " +                \
			    outcome_texts[RES_RAN_##r] + " | "))           \
		<< #name " is missing or has another number, SQLSTATE or " \
			 "outcome";
	RES_TABLE(X)
#undef X
}

/* Guards against counters that docs/OPERATIONS.md does not explain. */
TEST(OperatorsDoc, ListsEveryCounter)
{
	const std::string page = read_page("docs/OPERATIONS.md");

#define X(name)                                                \
	EXPECT_NE(std::string::npos, page.find("`" #name "`")) \
		<< #name << " is missing";
	CNT_TABLE(X)
#undef X
}

/* Guards against settings that docs/OPERATIONS.md does not explain. */
TEST(OperatorsDoc, ListsEverySetting)
{
	const std::string page = read_page("docs/OPERATIONS.md");
	std::ifstream code("settings.c");
	std::string line;
	int n = 0;

	while (std::getline(code, line) &&
	       line.find("set_keys[] = {") == std::string::npos)
		continue;
	do {
		size_t from = line.find('"');
		size_t to = line.find('"', from + 1);

		if (from == std::string::npos)
			break;
		std::string key = line.substr(from + 1, to - from - 1);
		EXPECT_NE(std::string::npos, page.find("| `" + key + "` |"))
			<< key << " is missing";
		n++;
	} while (std::getline(code, line));
	EXPECT_GE(n, 24);
}
