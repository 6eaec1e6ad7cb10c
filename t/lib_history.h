#ifndef LIB_HISTORY_H
#define LIB_HISTORY_H

/*
 * History of orders, as callers saw it, and its check against what the
 * members hold at the end.
 *
 * Each order has a key that is unique in the run and is written once by its
 * request. A request may be sent several times (attempts), with the same
 * request id. Safe to use from several threads.
 */

#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace history
{

enum class Outcome {
	SENT, /* no answer yet; counts as unknown */
	ANSWERED,
	NOT_RUN, /* refused; the system says that it was not run */
	UNKNOWN
};

/* What the DETAIL of an error says of its request. A request that ran counts
 * as answered; no DETAIL, as after a lost connection, tells nothing. */
Outcome outcome_of(const std::string &detail);

class History
{
      public:
	/* An attempt; returns its number for end(). */
	size_t begin(const std::string &session, const std::string &group,
		     const std::string &key);
	/* The term is that of the token that came with the answer. */
	void end(size_t attempt, Outcome outcome, int64_t term = 0);

	/* A read of all orders of a group by a session. The session must see
	 * its own orders that were answered before read_begin(). */
	size_t read_begin(const std::string &session, const std::string &group);
	void read_end(size_t read, const std::vector<std::string> &keys);

	/* Keys that a member holds at the end, as often as it holds them. */
	void holds(const std::string &group, const std::string &member,
		   const std::vector<std::string> &keys);

	/* One line for each violation; empty if all is well. */
	std::vector<std::string> check() const;

	int64_t count(Outcome outcome) const;

	/* When the last attempt was answered before a time, and the first
	 * after it; 0 if none was. */
	std::pair<int64_t, int64_t> answers_around(int64_t time) const;

	/* Answers since a time, by the term of their token. */
	std::map<int64_t, int64_t> answers_by_term(int64_t since) const;

	/* Longest time without an answered attempt between two times of
	 * cluster::now_ms(). */
	int64_t longest_gap(int64_t from, int64_t to) const;

      private:
	struct Attempt {
		std::string session;
		std::string group;
		std::string key;
		Outcome outcome;
		int64_t ended;
		int64_t term;
	};
	struct Read {
		std::string session;
		std::string group;
		std::set<std::string> must; /* own orders answered before */
		bool ended;
		std::vector<std::string> keys;
	};
	struct Order {
		std::string group;
		bool answered;
		bool maybe;
	};

	std::map<std::string, Order> orders() const;
	void check_terms(std::vector<std::string> &out) const;
	void check_reads(const std::map<std::string, Order> &orders,
			 std::vector<std::string> &out) const;
	void check_members(const std::map<std::string, Order> &orders,
			   std::vector<std::string> &out) const;

	mutable std::mutex lock_;
	std::vector<Attempt> attempts_;
	std::vector<Read> reads_;
	std::map<std::pair<std::string, std::string>, std::vector<std::string>>
		held_; /* by group and member */
};

} // namespace history

#endif
