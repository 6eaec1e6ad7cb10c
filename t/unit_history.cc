#include "lib_history.h"

#include <gtest/gtest.h>

using history::History;
using history::Outcome;

/* The checker of the system tests: each fault is planted once. A checker that
 * finds nothing would make those tests pass for nothing. */

namespace
{

/* Two answered orders, one unknown and one not run, held by two members. */
struct Sample : History {
	Sample()
	{
		order("a1", Outcome::ANSWERED);
		order("a2", Outcome::ANSWERED);
		order("u1", Outcome::UNKNOWN);
		order("n1", Outcome::NOT_RUN);
		hold({"a1", "a2", "u1"}, {"u1", "a2", "a1"});
	}

	void order(const std::string &key, Outcome o)
	{
		end(begin("s", "orders", key), o);
	}

	void hold(const std::vector<std::string> &m1,
		  const std::vector<std::string> &m2)
	{
		holds("orders", "m1", m1);
		holds("orders", "m2", m2);
	}

	void read(const std::vector<std::string> &keys)
	{
		read_end(read_begin("s", "orders"), keys);
	}

	/* Violations with the given start. */
	size_t found(const std::string &what) const
	{
		size_t n = 0;

		for (const std::string &v : check())
			n += v.compare(0, what.size(), what) == 0;
		return n;
	}
};

} // namespace

TEST(History, AcceptsACorrectRun)
{
	Sample h;

	h.read({"a2", "a1"});
	h.order("u1", Outcome::ANSWERED); /* resent with its request id */
	h.order("n1", Outcome::NOT_RUN);
	EXPECT_EQ(std::vector<std::string>(), h.check());
	EXPECT_EQ(2, h.count(Outcome::NOT_RUN));
}

TEST(History, FindsALostOrder)
{
	Sample h;

	h.hold({"a1"}, {"a1"});
	EXPECT_EQ(2u, h.found("lost acknowledged order: a2"));
	h.hold({"a1", "a2"}, {"a1"});
	EXPECT_EQ(1u, h.found("lost acknowledged order: a2 at m2"));
	EXPECT_EQ(1u, h.found("members differ: m2"));
}

TEST(History, FindsADoubledOrder)
{
	Sample h;

	h.hold({"a1", "a2", "a2"}, {"a1", "a2", "a2"});
	EXPECT_EQ(2u, h.found("doubled order: a2"));
	h.read({"a1", "a2", "a1"});
	EXPECT_EQ(1u, h.found("doubled order in a read: a1"));
}

TEST(History, FindsAStaleOwnRead)
{
	Sample h;
	size_t early = h.read_begin("s", "orders");

	h.read({"a1"});
	EXPECT_EQ(1u, h.found("stale own read: session s missed a2"));
	/* What was answered during a read need not be seen by it, nor what
	 * other sessions wrote. */
	h.order("a3", Outcome::ANSWERED);
	h.read_end(early, {"a1", "a2"});
	h.read_end(h.read_begin("other", "orders"), {});
	EXPECT_EQ(1u, h.found("stale own read"));
}

TEST(History, FindsAnOrderThatWasReportedAsNotRun)
{
	Sample h;

	h.hold({"a1", "a2", "n1"}, {"a1", "a2", "n1"});
	EXPECT_EQ(2u, h.found("order reported as not run: n1"));
	h.read({"a1", "a2", "n1"});
	EXPECT_EQ(1u, h.found("order reported as not run was read: n1"));
	/* One attempt that may have run is enough to allow it. */
	h.order("n1", Outcome::UNKNOWN);
	EXPECT_EQ(0u, h.found("order reported as not run"));
}

TEST(History, FindsAnOrderOfNoRequestAndAMissingEnd)
{
	Sample h;

	h.hold({"a1", "a2", "zz"}, {"a1", "a2", "zz"});
	EXPECT_EQ(2u, h.found("order of no request: zz"));
	h.end(h.begin("s", "stock", "b1"), Outcome::ANSWERED);
	EXPECT_EQ(1u, h.found("no member of stock"));
}

/* Guards against errors that leave the outcome open being taken as a refusal,
 * and the other way round. */
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

	h.end(h.begin("s", "orders", "a1"), Outcome::ANSWERED, 2);
	EXPECT_EQ(0u, h.found("acknowledged by a replaced primary"));
	h.end(h.begin("s", "orders", "a2"), Outcome::ANSWERED, 1);
	EXPECT_EQ(1u, h.found("acknowledged by a replaced primary: a2"));
}

TEST(History, MeasuresGaps)
{
	Sample h;

	EXPECT_EQ(100, h.longest_gap(0, 100));
}
