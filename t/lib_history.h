#ifndef LIB_HISTORY_H
#define LIB_HISTORY_H

/*
 * Records which orders clients wrote and read, and checks this history against
 * the orders that the members (database servers) store at the end of a test.
 *
 * Each order has a key that is unique in the run, and its request must write it
 * only once. A request may be sent several times with the same request id; each
 * time is an attempt. All methods may be called from several threads.
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
	SENT, /* not answered yet; treated like UNKNOWN */
	ANSWERED,
	NOT_RUN, /* refused with the statement that it was not run */
	UNKNOWN /* failed; it may have been run */
};

/* The outcome that the DETAIL of an error reports for its request: ANSWERED if
 * the request ran, and UNKNOWN if there is no DETAIL, as after a lost
 * connection. */
Outcome outcome_of(const std::string &detail);

class History
{
      public:
	/* Records that an attempt is sent; returns its number for end(). */
	size_t begin_attempt(const std::string &session,
			     const std::string &group, const std::string &key);

	/* Records the outcome of an attempt. The term is that of the session
	 * token that came with the answer; 0 if there was none. */
	void end_attempt(size_t attempt, Outcome outcome, int64_t term = 0);

	/* Record the start and the result of a read by a session of a group's
	 * orders. The read must return all orders of the session that were
	 * answered before read_begin(). A read that fails has no read_end(). */
	size_t read_begin(const std::string &session, const std::string &group);
	void read_end(size_t read, const std::vector<std::string> &keys);

	/* Records the keys that a member stores at the end; a key that it
	 * stores several times is listed as often. */
	void record_member_keys(const std::string &group,
				const std::string &member,
				const std::vector<std::string> &keys);

	/* Returns one line for each violation; none if there is no violation.
	 */
	std::vector<std::string> check() const;

	/* Number of attempts with an outcome. */
	int64_t count(Outcome outcome) const;

	/* When the last attempt before or at a time was answered, and the first
	 * one after it; 0 if there was none. */
	std::pair<int64_t, int64_t> answers_around(int64_t time) const;

	/* Number of answers since a time, by the term of their token. */
	std::map<int64_t, int64_t> answers_by_term(int64_t since) const;

	/* Longest time between two answers in the period from..to, which are
	 * times of cluster::now_ms(). The ends of the period count as answers.
	 */
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
		/* Keys of the session's orders answered before the read. */
		std::set<std::string> required_keys;
		bool ended;
		std::vector<std::string> keys;
	};
	struct Order {
		std::string group;
		bool answered; /* by any attempt */
		bool may_have_run; /* an attempt was not refused */
	};

	std::map<std::string, Order> orders() const;
	void check_terms(std::vector<std::string> &out) const;
	void check_reads(const std::map<std::string, Order> &orders,
			 std::vector<std::string> &out) const;
	void check_members(const std::map<std::string, Order> &orders,
			   std::vector<std::string> &out) const;

	mutable std::mutex lock_; /* guards all members below */
	std::vector<Attempt> attempts_;
	std::vector<Read> reads_;
	std::map<std::pair<std::string, std::string>, std::vector<std::string>>
		stored_keys_; /* by group and member */
};

} // namespace history

#endif
