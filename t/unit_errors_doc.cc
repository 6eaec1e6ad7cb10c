#include <gtest/gtest.h>

#include <fstream>
#include <sstream>
#include <string>

extern "C" {
#include "result.h"
}

/* Guards against a code that callers can get and that docs/errors.md does not
 * explain, or explains with another number, SQLSTATE or outcome. Tests run in
 * the root of the repository. */
TEST(ErrorsDoc, ListsEveryCode)
{
	static const char *const ran[] = {"not about a request", "no",
					  "may have", "yes"};
	std::ifstream file("docs/errors.md");
	std::stringstream page;

	ASSERT_TRUE(file) << "docs/errors.md can't be read";
	page << file.rdbuf();
#define X(name, num, state, r, text)                                       \
	EXPECT_NE(std::string::npos,                                       \
		  page.str().find("| " + std::to_string(num) +             \
				  " | " #name " | " state " | " +          \
				  ran[RES_RAN_##r] + " | "))               \
		<< #name " is missing or has another number, SQLSTATE or " \
			 "outcome";
	RES_TABLE(X)
#undef X
}
