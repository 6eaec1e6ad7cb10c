#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "buf.h"
#include "lists.h"
}

static const std::string &hash()
{
	static std::string h;
	char out[LST_HASH_LEN];

	if (h.empty() && !lst_hash_password("secret", out, NULL))
		h = out;
	return h;
}

static std::string plan_text(const std::string &name,
			     const std::string &extra_keys = "")
{
	return "{\"name\": \"" + name +
	       "\", \"connections\": 5, \"max_age_ms\": 0, "
	       "\"max_wait_ms\": 100" +
	       extra_keys + "}";
}

static std::string customer_text(const std::string &name, const std::string &p,
				 const std::string &extra_keys = "")
{
	return "{\"name\": \"" + name + "\", \"plan\": \"" + p +
	       "\", \"password_hash\": \"" + hash() + "\"" + extra_keys + "}";
}

static std::string lists_text(const std::string &plans,
			      const std::string &customers)
{
	return "{\"plans\": [" + plans + "],\n\"customers\": [" + customers +
	       "]}";
}

static struct lists *parse(const std::string &text, struct err *e)
{
	return lst_parse(text.data(), text.size(), 7, e);
}

static void expect_refused(const std::string &text,
			   const std::string &expected_text)
{
	struct err e = {};
	struct lists *l = parse(text, &e);

	EXPECT_EQ(nullptr, l) << text;
	EXPECT_EQ(RES_BAD_LIST, e.code);
	EXPECT_NE(std::string::npos, std::string(e.text).find(expected_text))
		<< e.text;
	lst_unref(l);
}

static std::string diff(const std::string &a, const std::string &b)
{
	struct lists *from = parse(a, NULL);
	struct lists *to = parse(b, NULL);
	struct buf out = BUF_INIT;

	lst_append_diff(from, to, &out);
	std::string text = buf_str(&out);
	buf_free(&out);
	lst_unref(from);
	lst_unref(to);
	return text;
}

TEST(Lists, ParsesWithDefaults)
{
	struct err e = {};
	std::string text = lists_text(
		plan_text("b") + "," +
			plan_text("a", ", \"durability\": \"primary\""),
		customer_text("z", "b") + "," +
			customer_text("y", "a",
				      ", \"databases\": [\"orders\"]"));
	struct lists *l = parse(text, &e);

	ASSERT_NE(nullptr, l) << e.text;
	const struct customer *z = lst_find_customer(l, "z");
	ASSERT_NE(nullptr, z);
	EXPECT_EQ(nullptr, lst_find_customer(l, "x"));
	EXPECT_EQ(nullptr, lst_find_customer(l, std::string(99, 'x').c_str()));
	EXPECT_STREQ("b", lst_customer_plan(l, z)->name);
	EXPECT_EQ(1, lst_customer_plan(l, z)->weight);
	EXPECT_EQ(5, lst_customer_plan(l, z)->priority);
	EXPECT_EQ(10, lst_customer_plan(l, z)->retry_percent);
	EXPECT_EQ(LST_DURABILITY_MAJORITY, lst_customer_plan(l, z)->durability);
	EXPECT_EQ(0, z->ndatabases);
	EXPECT_EQ(1, lst_find_customer(l, "y")->ndatabases);
	EXPECT_EQ(7, l->version);
	EXPECT_EQ(text, l->text);
	EXPECT_TRUE(lst_check_password(z, "secret"));
	EXPECT_FALSE(lst_check_password(z, "Secret"));
	lst_unref(lst_ref(l));
	lst_unref(l);
}

/* Guards against lists that take effect with another meaning than the operator
 * intended: each kind of mistake is refused, and the error tells its place. */
TEST(Lists, RefusesEachKindOfError)
{
	expect_refused("[]", "lists: found an array, expected an object");
	expect_refused("{\"plans\": []}", "customers: the key is missing");
	expect_refused("{\"customers\": []}", "plans: the key is missing");
	expect_refused("{\"plans\": [], \"customer\": []}",
		       "lists:1: customer: unknown key");
	expect_refused(lists_text("1", ""),
		       "plans[0]: found 1, expected an object");
	expect_refused(lists_text(plan_text("a", ", \"conections\": 1"), ""),
		       "plans[0].conections: unknown key");
	expect_refused(lists_text("{\"name\": \"a\"}", ""),
		       "plans[0].connections: the key is missing");
	expect_refused(
		lists_text("\n" + plan_text("a", ",\n\"weight\": 0"), ""),
		"lists:3: plans[0].weight: found 0, expected an integer from "
		"1 to 1000");
	expect_refused(lists_text(plan_text("a", ", \"priority\": 10"), ""),
		       "from 0 to 9");
	expect_refused(
		lists_text(plan_text("a", ", \"retry_percent\": 1.5"), ""),
		"found 1.5, expected an integer from 0 to 100");
	expect_refused(
		lists_text(plan_text("a", ", \"durability\": \"disk\""), ""),
		"expected one of \"majority\", \"primary\"");
	expect_refused(lists_text(plan_text("a", ", \"name\": \"b\""), ""),
		       "duplicate key");
	expect_refused(lists_text(plan_text("a b"), ""),
		       "expected a name of letters");
	expect_refused(lists_text(plan_text("a") + "," + plan_text("b") + "," +
					  plan_text("a"),
				  ""),
		       "plans[2].name: \"a\" is listed twice");
	expect_refused(
		lists_text(plan_text("a"), customer_text("c", "b")),
		"customers[0].plan: found \"b\", expected the name of a plan");
	expect_refused(
		lists_text(plan_text("a"), customer_text("c", "a") + "," +
						   customer_text("c", "a")),
		"customers[1].name: \"c\" is listed twice");
	expect_refused(lists_text(plan_text("a"),
				  "{\"name\": \"c\", \"plan\": \"a\", "
				  "\"password_hash\": \"secret\"}"),
		       "customers[0].password_hash: not a usable hash");
	expect_refused(
		lists_text(plan_text("a"),
			   customer_text("c", "a", ", \"databases\": []")),
		"customers[0].databases: found no entry");
	expect_refused(
		lists_text(plan_text("a"),
			   customer_text("c", "a",
					 ", \"databases\": [\"x\", \"x\"]")),
		"\"x\" is listed twice");
	expect_refused(lists_text(plan_text("a"),
				  customer_text("c", "a",
						", \"databases\": "
						"[\"marjoramlatch\"]")),
		       "admin database");
}

TEST(Lists, MergeIsCanonical)
{
	struct err e = {};
	std::string plans = "{ // plans\n\"plans\": [" + plan_text("b") + "," +
			    plan_text("a") + "]}";
	std::string customers =
		"{\"customers\": [" + customer_text("c", "a") + "]}";
	char *one =
		lst_merge_texts(plans.c_str(), "p", customers.c_str(), "c", &e);
	char *two =
		lst_merge_texts(customers.c_str(), "c", plans.c_str(), "p", &e);
	ASSERT_NE(nullptr, one) << e.text;
	ASSERT_NE(nullptr, two) << e.text;
	EXPECT_STREQ(one, two);
	char *again = lst_merge_texts(one, "o", NULL, NULL, &e);
	ASSERT_NE(nullptr, again) << e.text;
	EXPECT_STREQ(one, again);
	EXPECT_EQ("",
		  diff(one, lists_text(plan_text("a") + "," + plan_text("b"),
				       customer_text("c", "a"))));
	free(one);
	free(two);
	free(again);
	EXPECT_EQ(nullptr,
		  lst_merge_texts(plans.c_str(), "p", plans.c_str(), "q", &e));
	EXPECT_STREQ("q:2: customers: the key is missing, expected a value",
		     e.text);
	std::string bad = "{\"plans\": [1], \"customers\": []}";
	EXPECT_EQ(nullptr,
		  lst_merge_texts(plans.c_str(), "p", bad.c_str(), "q", &e));
	EXPECT_EQ(0, strncmp(e.text, "q: plans[0]: found 1", 20)) << e.text;
}

TEST(Lists, DiffNamesEachChange)
{
	std::string a = lists_text(plan_text("a") + "," + plan_text("b"),
				   customer_text("c", "a") + "," +
					   customer_text("d", "b"));
	std::string b = lists_text(
		plan_text("b", ", \"weight\": 3, \"durability\": \"primary\"") +
			"," + plan_text("x"),
		customer_text("d", "x", ", \"databases\": [\"orders\"]") + "," +
			customer_text("e", "x"));

	EXPECT_EQ("- plan a\n~ plan b weight 1 -> 3\n"
		  "~ plan b durability majority -> primary\n+ plan x\n"
		  "- customer c\n~ customer d plan b -> x\n"
		  "~ customer d databases all -> \"orders\"\n+ customer e\n",
		  diff(a, b));
	EXPECT_EQ("", diff(a, a));
}
