#include "lib_orders.h"

#include <chrono>

using namespace cluster;
using history::Outcome;

namespace
{

constexpr int ANSWER_MS = 8000;
constexpr int PAUSE_MS = 10; /* between two orders of a session */
constexpr int RESEND_MS = 50;
constexpr int RESEND_TIMEOUT_MS = 20000; /* for each order */

void pause_ms(int ms)
{
	std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

std::vector<std::string> first_column(const Result &r)
{
	std::vector<std::string> out;

	for (const auto &row : r.rows)
		out.push_back(row[0]);
	return out;
}

} // namespace

Orders::Orders(Cluster &c, std::vector<std::string> proxies, std::string group,
	       uint64_t seed)
    : cluster_(c), proxies_(std::move(proxies)), group_(std::move(group)),
      seed_(seed)
{
}

Orders::~Orders()
{
	stop();
}

bool Orders::create_orders_table()
{
	return wait_until(10000, [&] {
		return cluster_.customer(proxies_[0], group_)
			.exec("CREATE TABLE IF NOT EXISTS orders "
			      "(key text, session text)")
			.ok;
	});
}

void Orders::start(int sessions)
{
	stopping_ = false;
	for (int i = 0; i < sessions; i++) {
		auto s = std::make_unique<Session>();

		s->name = "s" + std::to_string(i);
		s->rng.seed(seed_ * 1000 + (uint64_t)i);
		s->orders = 0;
		sessions_.push_back(std::move(s));
		threads_.emplace_back(&Orders::run, this,
				      std::ref(*sessions_.back()));
	}
}

void Orders::stop()
{
	stopping_ = true;
	for (std::thread &t : threads_)
		t.join();
	threads_.clear();
}

void Orders::record_error(const Result &r)
{
	std::lock_guard<std::mutex> guard(lock_);

	if (r.ok)
		return;
	errors_[r.sqlstate].first++;
	errors_[r.sqlstate].second = r.message + " " + r.detail;
}

std::string Orders::errors()
{
	std::lock_guard<std::mutex> guard(lock_);
	std::string out;

	for (const auto &[state, e] : errors_)
		out += state + " x" + std::to_string(e.first) + ": " +
		       e.second + "\n";
	return out;
}

/* Returns a connection to a proxy chosen at random; nullptr if that proxy can't
 * be reached now. */
Caller *Orders::random_connection(Session &s)
{
	const std::string &proxy = proxies_[s.rng() % proxies_.size()];
	Caller &c = s.callers[proxy];

	if (!c.connected() && !c.connect(cluster_.addr(proxy), "shop",
					 "shop-password", group_, "", 1000))
		return nullptr;
	return &c;
}

/* Sends an order once; returns whether its outcome is known. */
bool Orders::try_place(Session &s, const std::string &key)
{
	Caller *c = random_connection(s);
	Outcome outcome;
	size_t attempt;
	Result r;

	if (!c)
		return false;
	attempt = history_.begin_attempt(s.name, group_, key);
	r = c->exec("/* marjoramlatch.request_id=" + key +
			    " marjoramlatch.session=" + s.token +
			    " */ INSERT INTO orders VALUES ('" + key + "', '" +
			    s.name + "')",
		    ANSWER_MS);
	outcome = r.ok ? Outcome::ANSWERED : history::outcome_of(r.detail);
	history_.end_attempt(attempt, outcome);
	record_error(r);
	if (r.ok && !c->parameter("marjoramlatch.session").empty())
		s.token = c->parameter("marjoramlatch.session");
	if (!r.ok)
		c->close();
	return outcome != Outcome::UNKNOWN;
}

void Orders::place(Session &s)
{
	std::string key = s.name + "-" + std::to_string(s.orders++);
	int64_t end = now_ms() + RESEND_TIMEOUT_MS;

	while (!try_place(s, key) && now_ms() < end)
		pause_ms(RESEND_MS);
}

void Orders::read(Session &s)
{
	Caller *c = random_connection(s);
	size_t read;
	Result r;

	if (!c)
		return;
	read = history_.read_begin(s.name, group_);
	r = c->exec("/* marjoramlatch.session=" + s.token +
			    " */ SELECT key FROM orders WHERE session = '" +
			    s.name + "'",
		    ANSWER_MS);
	record_error(r);
	if (r.ok)
		history_.read_end(read, first_column(r));
	else
		c->close();
}

void Orders::run(Session &s)
{
	while (!stopping_) {
		place(s);
		read(s);
		pause_ms(PAUSE_MS);
	}
}

bool Orders::record_member_orders(int ms)
{
	std::vector<std::string> members = cluster_.members(group_);
	auto members_agree = [&] {
		std::string first;

		for (const std::string &id : members) {
			Result r = cluster_.member(id).exec(
				"SELECT * FROM marjoramlatch_status()", 1000);
			std::string position =
				r.value("log_term") + "/" + r.value("applied");

			if (!r.ok || r.value("held") != r.value("applied") ||
			    (!first.empty() && position != first))
				return false;
			first = position;
		}
		return true;
	};

	if (!wait_until(ms, members_agree, 50))
		return false;
	for (const std::string &id : members) {
		Result r = cluster_.member(id).exec("SELECT key FROM orders");

		if (!r.ok)
			return false;
		history_.record_member_keys(group_, id, first_column(r));
	}
	return true;
}
