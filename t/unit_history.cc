#include "lib_history.h"

#include <gtest/gtest.h>

using history::History;
using history::Outcome;

/* Tests the checker of the system tests (lib_history.h) with histories that
 * contain one fault each. If the checker missed a fault, the system tests would
 * pass in spite of it. */

namespace
{

/* A history of four orders: two were answered, one has an unknown outcome and
 * one was not run. Both members hold the first three. */
struct Sample : History {
	Sample()
	{
		record_order("a1", Outcome::ANSWERED);
		record_order("a2", Outcome::ANSWERED);
		record_order("u1", Outcome::UNKNOWN);
		record_order("n1", Outcome::NOT_RUN);
		set_contents({"a1", "a2", "u1"}, {"u1", "a2", "a1"});
	}

	void record_order(const std::string &key, Outcome o)
	{
		end_attempt(begin_attempt("s", "orders", key), o);
	}

	void set_contents(const std::vector<std::string> &m1,
			  const std::vector<std::string> &m2)
	{
		record_member_keys("orders", "m1", m1);
		record_member_keys("orders", "m2", m2);
	}

	void read(const std::vector<std::string> &keys)
	{
		read_end(read_begin("s", "orders"), keys);
	}

	/* Returns the number of violations whose text starts with prefix. */
	size_t count_violations(const std::string &prefix) const
	{
		size_t n = 0;

		for (const std::string &v : check())
			n += v.compare(0, prefix.size(), prefix) == 0;
		return n;
	}
};

} // namespace

TEST(History, AcceptsACorrectRun)
{
	Sample h;

	h.read({"a2", "a1"});
	/* The request was repeated with its request id. */
	h.record_order("u1", Outcome::ANSWERED);
	h.record_order("n1", Outcome::NOT_RUN);
	EXPECT_EQ(std::vector<std::string>(), h.check());
	EXPECT_EQ(2, h.count(Outcome::NOT_RUN));
}

TEST(History, FindsALostOrder)
{
	Sample h;

	h.set_contents({"a1"}, {"a1"});
	EXPECT_EQ(2u, h.count_violations("lost acknowledged order: a2"));
	h.set_contents({"a1", "a2"}, {"a1"});
	EXPECT_EQ(1u, h.count_violations("lost acknowledged order: a2 at m2"));
	EXPECT_EQ(1u, h.count_violations("members differ: m2"));
}

TEST(History, FindsADoubledOrder)
{
	Sample h;

	h.set_contents({"a1", "a2", "a2"}, {"a1", "a2", "a2"});
	EXPECT_EQ(2u, h.count_violations("doubled order: a2"));
	h.read({"a1", "a2", "a1"});
	EXPECT_EQ(1u, h.count_violations("doubled order in a read: a1"));
}

TEST(History, FindsAStaleOwnRead)
{
	Sample h;
	size_t early = h.read_begin("s", "orders");

	h.read({"a1"});
	EXPECT_EQ(1u,
		  h.count_violations("stale own read: session s missed a2"));
	/* A read need not return orders that were answered after it began, nor
	 * orders of other sessions. */
	h.record_order("a3", Outcome::ANSWERED);
	h.read_end(early, {"a1", "a2"});
	h.read_end(h.read_begin("other", "orders"), {});
	EXPECT_EQ(1u, h.count_violations("stale own read"));
}

TEST(History, FindsAnOrderThatWasReportedAsNotRun)
{
	Sample h;

	h.set_contents({"a1", "a2", "n1"}, {"a1", "a2", "n1"});
	EXPECT_EQ(2u, h.count_violations("order reported as not run: n1"));
	h.read({"a1", "a2", "n1"});
	EXPECT_EQ(1u,
		  h.count_violations("order reported as not run was read: n1"));
	/* The order may be present if at least one attempt may have run. */
	h.record_order("n1", Outcome::UNKNOWN);
	EXPECT_EQ(0u, h.count_violations("order reported as not run"));
}

TEST(History, FindsAnOrderOfNoRequestAndAMissingEnd)
{
	Sample h;

	h.set_contents({"a1", "a2", "zz"}, {"a1", "a2", "zz"});
	EXPECT_EQ(2u, h.count_violations("order of no request: zz"));
	h.end_attempt(h.begin_attempt("s", "stock", "b1"), Outcome::ANSWERED);
	EXPECT_EQ(1u, h.count_violations("no member of stock"));
}

/* Guards against taking an error with an unknown outcome for a refusal, and a
 * refusal for an unknown outcome. */
TEST(History, KnowsWhatErrorsTell)
{
	EXPECT_EQ(Outcome::UNKNOWN, history::outcome_of(""));
	EXPECT_EQ(Outcome::UNKNOWN,
		  history::outcome_of("The request may have run."));
	EXPECT_EQ(Outcome::NOT_RUN,
		  history::outcome_of("The request was not run."));
	EXPECT_EQ(Outcome::ANSWERED, history::outcome_of("The request ran."));
}

TEST(History, FindsAnAnswerOfAReplacedPrimary)
{
	Sample h;

	h.end_attempt(h.begin_attempt("s", "orders", "a1"), Outcome::ANSWERED,
		      2);
	EXPECT_EQ(0u, h.count_violations("acknowledged by a replaced primary"));
	h.end_attempt(h.begin_attempt("s", "orders", "a2"), Outcome::ANSWERED,
		      1);
	EXPECT_EQ(1u,
		  h.count_violations("acknowledged by a replaced primary: a2"));
}

TEST(History, MeasuresGaps)
{
	Sample h;

	EXPECT_EQ(100, h.longest_gap(0, 100));
}
