#include "lib_load.h"

#include <algorithm>
#include <chrono>

using namespace cluster;

namespace load
{

namespace
{

constexpr int ANSWER_MS = 12000;
constexpr int RECONNECT_EVERY = 25; /* orders, on average */
constexpr int READ_EVERY = 4; /* orders */
constexpr size_t JOIN_LINES = 10;

void pause()
{
	std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

std::string sql_literal(const std::string &s)
{
	return "'" + s + "'";
}

} // namespace

int64_t token_term(const std::string &token, const std::string &group)
{
	size_t at = ("," + token).find("," + group + "/");

	if (at == std::string::npos)
		return 0;
	return strtoll(token.c_str() + at + group.size() + 1, nullptr, 10);
}

Load::Load(Cluster &c, history::History &h, Options o)
    : cluster_(c), history_(h), options_(std::move(o))
{
	for (int i = 0; i < options_.callers; i++)
		threads_.emplace_back([this, i] { run(i); });
}

Load::~Load()
{
	stop();
}

void Load::stop()
{
	stopping_ = true;
	for (std::thread &t : threads_)
		t.join();
	threads_.clear();
}

void Load::record_violation(const std::string &text)
{
	std::lock_guard<std::mutex> guard(lock_);

	violations_.push_back(text);
}

std::vector<std::string> Load::found_violations()
{
	std::lock_guard<std::mutex> guard(lock_);

	return violations_;
}

bool Load::connect(Caller &c, const std::string &token, std::mt19937 &rng)
{
	const std::string &proxy =
		options_.proxies[rng() % options_.proxies.size()];
	std::string options = options_.settings;

	if (!token.empty())
		options += " -c marjoramlatch.session=" + token;
	return c.connect(cluster_.addr(proxy), "shop", "shop-password",
			 options_.group, options, 1000);
}

/* Returns whether the caller is done with the order: it was answered, or it has
 * no request id and so must not be sent again. */
bool Load::place(Caller &c, const std::string &session, const std::string &key,
		 bool with_request_id, std::string &token)
{
	std::string sql = "INSERT INTO " + std::string(TABLE) + " VALUES (" +
			  sql_literal(key) + ", " + sql_literal(session) + ")";
	size_t attempt = history_.begin_attempt(session, options_.group, key);
	history::Outcome outcome = history::Outcome::ANSWERED;
	Result r;

	if (with_request_id)
		sql = "/* marjoramlatch.request_id=" + key + " */ " + sql;
	r = c.exec(sql, ANSWER_MS);
	if (!r.ok)
		outcome = history::outcome_of(r.sqlstate);
	else
		token = c.parameter("marjoramlatch.session");
	history_.end_attempt(attempt, outcome,
			     r.ok ? token_term(token, options_.group) : 0);
	if (r.sqlstate == "ML001" || r.sqlstate == "TIMEOUT")
		record_violation(session + ": " + r.sqlstate + " " + r.message);
	if (r.ok && r.statement_tag != "INSERT 0 1")
		record_violation(key + " was answered " + r.statement_tag);
	return r.ok || !with_request_id;
}

void Load::read(Caller &c, const std::string &session)
{
	size_t number = history_.read_begin(session, options_.group);
	Result r = c.exec("SELECT k FROM " + std::string(TABLE) +
				  " WHERE s = " + sql_literal(session),
			  ANSWER_MS);
	std::vector<std::string> keys;

	for (const auto &row : r.rows)
		keys.push_back(row[0]);
	if (r.ok)
		history_.read_end(number, keys);
	if (r.sqlstate == "ML001")
		record_violation(session + " lost its token: " + r.message);
}

void Load::run(int index)
{
	std::mt19937 rng(options_.seed * 1000 + (unsigned)index);
	std::string session = "s" + std::to_string(options_.seed) + "." +
			      std::to_string(index);
	bool with_request_id = index % 2;
	bool done = true;
	std::string token;
	Caller c;

	for (int n = 0; !stopping_;) {
		if (!c.connected() || rng() % RECONNECT_EVERY == 0)
			if (!connect(c, token, rng)) {
				pause();
				continue;
			}
		n += done;
		done = place(c, session, session + "-" + std::to_string(n),
			     with_request_id, token);
		if (!done)
			pause();
		else if (n % READ_EVERY == 0 && c.connected())
			read(c, session);
	}
}

bool create_table(Cluster &c, const std::string &group)
{
	return wait_until(10000, [&] {
		return c.customer("p1", group)
			.exec("CREATE TABLE IF NOT EXISTS " +
			      std::string(TABLE) + " (k text, s text)")
			.ok;
	});
}

std::vector<std::string> stored_order_keys(Cluster &c,
					   const std::string &member)
{
	Result r = c.member(member).exec("SELECT k FROM " + std::string(TABLE));
	std::vector<std::string> keys;

	for (const auto &row : r.rows)
		keys.push_back(row[0]);
	return keys;
}

namespace
{

/* Returns in what the members differ from one primary and replicas with the
 * same, fully applied log; "" if nothing. */
std::string replication_difference(Cluster &c, const std::string &group)
{
	std::string primary = c.primary(group);
	Result p;

	if (primary.empty())
		return "no primary, or two";
	p = c.member(primary).exec("SELECT * FROM marjoramlatch_status()");
	for (const std::string &id : c.members(group)) {
		Result r = c.member(id).exec(
			"SELECT * FROM marjoramlatch_status()");

		if (!r.ok)
			return id + " does not answer: " + r.message;
		for (const char *col : {"log_term", "held"})
			if (r.value(col) != p.value(col))
				return id + " has " + col + " " + r.value(col) +
				       ", " + primary + " has " + p.value(col);
		if (r.value("applied") != r.value("held"))
			return id + " has not applied its log";
	}
	return "";
}

} // namespace

std::string wait_until_consistent(Cluster &c, history::History &h,
				  const std::string &group, int ms)
{
	std::string unmet_condition = "no write succeeds";

	if (!wait_until(ms, [&] {
		    return c.customer("p1", group)
			    .exec("CREATE TABLE IF NOT EXISTS ready (n bigint)")
			    .ok;
	    }))
		return unmet_condition;
	if (!wait_until(
		    ms,
		    [&] {
			    return (unmet_condition =
					    replication_difference(c, group))
				    .empty();
		    },
		    50))
		return unmet_condition;
	for (const std::string &id : c.members(group))
		h.record_member_keys(group, id, stored_order_keys(c, id));
	return "";
}

namespace
{

/* For each control instance, calls f with its name and its last log line that
 * contains a text; the line starts at that text. */
template <typename F>
void for_each_last_line(Cluster &c, int controls, const std::string &text, F f)
{
	for (int i = 1; i <= controls; i++) {
		std::string id = "c" + std::to_string(i);
		std::string log = c.process(id).log();
		size_t at = log.rfind(text);

		if (at != std::string::npos)
			f(id, log.substr(at, log.find('\n', at) - at));
	}
}

int64_t number_after(const std::string &line, const std::string &key)
{
	size_t at = line.find(key);

	return at == std::string::npos
		       ? -1
		       : strtoll(line.c_str() + at + key.size(), nullptr, 10);
}

} // namespace

std::string control_leader(Cluster &c, int controls)
{
	std::string leader;
	int64_t newest = -1;

	for_each_last_line(c, controls, "event=leading",
			   [&](const std::string &id, const std::string &line) {
				   int64_t term = number_after(line, "term=");

				   if (term > newest) {
					   newest = term;
					   leader = id;
				   }
			   });
	return leader;
}

std::string last_promoted_member(Cluster &c, int controls)
{
	std::string member;
	int64_t newest = -1;

	for_each_last_line(c, controls, "event=promoted",
			   [&](const std::string &, const std::string &line) {
				   int64_t term = number_after(line, "term=");
				   size_t at = line.find("primary=") + 8;

				   if (term > newest) {
					   newest = term;
					   member = line.substr(
						   at, line.find(' ', at) - at);
				   }
			   });
	return member;
}

void cut_all_links(Cluster &c, const std::string &name)
{
	c.relay_command("cut " + name);
	c.relay_command("cut " + name + ">*");
}

std::string shown_value(Cluster &c, const std::string &proxy,
			const std::string &table, const std::string &id,
			const std::string &column)
{
	Result r = c.admin(proxy).exec("SHOW " + table);

	for (const auto &row : r.rows)
		for (size_t i = 0; i < row.size(); i++)
			if (row[0] == id && r.names[i] == column)
				return row[i];
	return "";
}

std::string join(const std::vector<std::string> &lines)
{
	std::string out;
	size_t n = 0;

	for (const std::string &l : lines) {
		if (++n > JOIN_LINES)
			return out + "and " +
			       std::to_string(lines.size() - JOIN_LINES) +
			       " more\n";
		out += l + "\n";
	}
	return out;
}

} // namespace load
