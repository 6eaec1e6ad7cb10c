#include "lib_history.h"

#include <algorithm>
#include <chrono>

namespace history
{

namespace
{

using Keys = std::vector<std::string>;

int64_t now_ms()
{
	using namespace std::chrono;

	return duration_cast<milliseconds>(
		       steady_clock::now().time_since_epoch())
		.count();
}

std::map<std::string, int> count_keys(const Keys &keys)
{
	std::map<std::string, int> out;

	for (const std::string &k : keys)
		out[k]++;
	return out;
}

} // namespace

Outcome outcome_of(const std::string &detail)
{
	if (detail.find("The request was not run.") != std::string::npos)
		return Outcome::NOT_RUN;
	if (detail.find("The request ran.") != std::string::npos)
		return Outcome::ANSWERED;
	return Outcome::UNKNOWN;
}

size_t History::begin_attempt(const std::string &session,
			      const std::string &group, const std::string &key)
{
	std::lock_guard<std::mutex> guard(lock_);

	attempts_.push_back({session, group, key, Outcome::SENT, 0, 0});
	return attempts_.size() - 1;
}

void History::end_attempt(size_t attempt, Outcome outcome, int64_t term)
{
	std::lock_guard<std::mutex> guard(lock_);

	attempts_[attempt].outcome = outcome;
	attempts_[attempt].ended = now_ms();
	attempts_[attempt].term = term;
}

size_t History::read_begin(const std::string &session, const std::string &group)
{
	std::lock_guard<std::mutex> guard(lock_);
	Read r = {session, group, {}, false, {}};

	for (const Attempt &a : attempts_)
		if (a.session == session && a.group == group &&
		    a.outcome == Outcome::ANSWERED)
			r.required_keys.insert(a.key);
	reads_.push_back(r);
	return reads_.size() - 1;
}

void History::read_end(size_t read, const Keys &keys)
{
	std::lock_guard<std::mutex> guard(lock_);

	reads_[read].ended = true;
	reads_[read].keys = keys;
}

void History::record_member_keys(const std::string &group,
				 const std::string &member, const Keys &keys)
{
	std::lock_guard<std::mutex> guard(lock_);

	stored_keys_[{group, member}] = keys;
}

std::map<std::string, History::Order> History::orders() const
{
	std::map<std::string, Order> out;

	for (const Attempt &a : attempts_) {
		Order &o = out[a.key];

		o.group = a.group;
		o.answered |= a.outcome == Outcome::ANSWERED;
		o.may_have_run |= a.outcome != Outcome::NOT_RUN;
	}
	return out;
}

void History::check_reads(const std::map<std::string, Order> &orders,
			  Keys &out) const
{
	for (const Read &r : reads_) {
		std::map<std::string, int> seen = count_keys(r.keys);

		if (!r.ended)
			continue;
		for (const std::string &key : r.required_keys)
			if (!seen.count(key))
				out.push_back("stale own read: session " +
					      r.session + " missed " + key);
		for (const auto &[key, n] : seen) {
			auto o = orders.find(key);

			if (n > 1)
				out.push_back("doubled order in a read: " +
					      key);
			if (o != orders.end() && !o->second.may_have_run)
				out.push_back("order reported as not run was "
					      "read: " +
					      key);
		}
	}
}

void History::check_members(const std::map<std::string, Order> &orders,
			    Keys &out) const
{
	std::map<std::string, Keys> first_member_keys;

	for (const auto &[where, list] : stored_keys_) {
		const auto &[group, member] = where;
		std::map<std::string, int> key_counts = count_keys(list);
		Keys sorted = list;

		std::sort(sorted.begin(), sorted.end());
		if (!first_member_keys.count(group))
			first_member_keys[group] = sorted;
		else if (first_member_keys[group] != sorted)
			out.push_back("members differ: " + member);
		for (const auto &[key, n] : key_counts) {
			auto o = orders.find(key);

			if (n > 1)
				out.push_back("doubled order: " + key + " at " +
					      member);
			if (o == orders.end() || o->second.group != group)
				out.push_back("order of no request: " + key +
					      " at " + member);
			else if (!o->second.may_have_run)
				out.push_back("order reported as not run: " +
					      key + " at " + member);
		}
		for (const auto &[key, o] : orders)
			if (o.answered && o.group == group &&
			    !key_counts.count(key))
				out.push_back("lost acknowledged order: " +
					      key + " at " + member);
	}
}

/* A replaced primary must not acknowledge writes: after an answer with a term,
 * no answer of the same group may have a lower term. */
void History::check_terms(Keys &out) const
{
	std::map<std::string, std::pair<int64_t, std::string>> newest;
	std::vector<const Attempt *> answered;

	for (const Attempt &a : attempts_)
		if (a.outcome == Outcome::ANSWERED && a.term)
			answered.push_back(&a);
	std::stable_sort(answered.begin(), answered.end(),
			 [](const Attempt *a, const Attempt *b) {
				 return a->ended < b->ended;
			 });
	for (const Attempt *a : answered) {
		auto &n = newest[a->group];

		if (a->term < n.first)
			out.push_back("acknowledged by a replaced primary: " +
				      a->key + " in term " +
				      std::to_string(a->term) + " after " +
				      n.second + " in term " +
				      std::to_string(n.first));
		else
			n = {a->term, a->key};
	}
}

Keys History::check() const
{
	std::lock_guard<std::mutex> guard(lock_);
	std::map<std::string, Order> all = orders();
	std::set<std::string> groups;
	Keys out;

	for (const auto &entry : stored_keys_)
		groups.insert(entry.first.first);
	for (const auto &[key, o] : all)
		if (!groups.count(o.group)) {
			out.push_back("no member of " + o.group +
				      " was read at the end");
			groups.insert(o.group);
		}
	check_reads(all, out);
	check_members(all, out);
	check_terms(out);
	return out;
}

int64_t History::count(Outcome outcome) const
{
	std::lock_guard<std::mutex> guard(lock_);

	return std::count_if(
		attempts_.begin(), attempts_.end(),
		[&](const Attempt &a) { return a.outcome == outcome; });
}

std::pair<int64_t, int64_t> History::answers_around(int64_t time) const
{
	std::lock_guard<std::mutex> guard(lock_);
	std::pair<int64_t, int64_t> out = {0, 0};

	for (const Attempt &a : attempts_) {
		if (a.outcome != Outcome::ANSWERED)
			continue;
		if (a.ended <= time)
			out.first = std::max(out.first, a.ended);
		else if (!out.second || a.ended < out.second)
			out.second = a.ended;
	}
	return out;
}

std::map<int64_t, int64_t> History::answers_by_term(int64_t since) const
{
	std::lock_guard<std::mutex> guard(lock_);
	std::map<int64_t, int64_t> out;

	for (const Attempt &a : attempts_)
		if (a.outcome == Outcome::ANSWERED && a.ended >= since)
			out[a.term]++;
	return out;
}

int64_t History::longest_gap(int64_t from, int64_t to) const
{
	std::lock_guard<std::mutex> guard(lock_);
	std::vector<int64_t> times = {from, to};
	int64_t longest = 0;

	for (const Attempt &a : attempts_)
		if (a.outcome == Outcome::ANSWERED && a.ended > from &&
		    a.ended < to)
			times.push_back(a.ended);
	std::sort(times.begin(), times.end());
	for (size_t i = 1; i < times.size(); i++)
		longest = std::max(longest, times[i] - times[i - 1]);
	return longest;
}

} // namespace history
