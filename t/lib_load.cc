#include "lib_load.h"

#include <algorithm>
#include <chrono>

using namespace cluster;

namespace load
{

namespace
{

constexpr int ANSWER_MS = 12000;
constexpr int MOVE_EVERY = 25; /* statements between two moves, on average */
constexpr int READ_EVERY = 4;
constexpr size_t JOIN_LINES = 10;

void pause()
{
	std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

std::string literal(const std::string &s)
{
	return "'" + s + "'";
}

} // namespace

int64_t term_in(const std::string &token, const std::string &group)
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
	stop_ = true;
	for (std::thread &t : threads_)
		t.join();
	threads_.clear();
}

void Load::complain(const std::string &text)
{
	std::lock_guard<std::mutex> guard(lock_);

	complaints_.push_back(text);
}

std::vector<std::string> Load::complaints()
{
	std::lock_guard<std::mutex> guard(lock_);

	return complaints_;
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

/* Returns whether the order is decided: answered, or refused for good. */
bool Load::place(Caller &c, const std::string &session, const std::string &key,
		 bool once, std::string &token)
{
	std::string sql = "INSERT INTO " + std::string(TABLE) + " VALUES (" +
			  literal(key) + ", " + literal(session) + ")";
	size_t attempt = history_.begin(session, options_.group, key);
	history::Outcome outcome = history::Outcome::ANSWERED;
	Result r;

	if (once)
		sql = "/* marjoramlatch.request_id=" + key + " */ " + sql;
	r = c.exec(sql, ANSWER_MS);
	if (!r.ok)
		outcome = history::outcome_of(r.sqlstate);
	else
		token = c.parameter("marjoramlatch.session");
	history_.end(attempt, outcome,
		     r.ok ? term_in(token, options_.group) : 0);
	if (r.sqlstate == "ML001" || r.sqlstate == "TIMEOUT")
		complain(session + ": " + r.sqlstate + " " + r.message);
	if (r.ok && r.tag != "INSERT 0 1")
		complain(key + " was answered " + r.tag);
	return r.ok || !once;
}

void Load::read(Caller &c, const std::string &session)
{
	size_t number = history_.read_begin(session, options_.group);
	Result r = c.exec("SELECT k FROM " + std::string(TABLE) +
				  " WHERE s = " + literal(session),
			  ANSWER_MS);
	std::vector<std::string> keys;

	for (const auto &row : r.rows)
		keys.push_back(row[0]);
	if (r.ok)
		history_.read_end(number, keys);
	if (r.sqlstate == "ML001")
		complain(session + " lost its token: " + r.message);
}

void Load::run(int index)
{
	std::mt19937 rng(options_.seed * 1000 + (unsigned)index);
	std::string session = "s" + std::to_string(options_.seed) + "." +
			      std::to_string(index);
	bool once = index % 2;
	bool decided = true;
	std::string token;
	Caller c;

	for (int n = 0; !stop_;) {
		if (!c.connected() || rng() % MOVE_EVERY == 0)
			if (!connect(c, token, rng)) {
				pause();
				continue;
			}
		n += decided;
		decided = place(c, session, session + "-" + std::to_string(n),
				once, token);
		if (!decided)
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

std::vector<std::string> held(Cluster &c, const std::string &member)
{
	Result r = c.member(member).exec("SELECT k FROM " + std::string(TABLE));
	std::vector<std::string> keys;

	for (const auto &row : r.rows)
		keys.push_back(row[0]);
	return keys;
}

namespace
{

/* What keeps the members from being one primary and its equal replicas. */
std::string differences(Cluster &c, const std::string &group)
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

std::string settle(Cluster &c, history::History &h, const std::string &group,
		   int ms)
{
	std::string why = "no write succeeds";

	if (!wait_until(ms, [&] {
		    return c.customer("p1", group)
			    .exec("CREATE TABLE IF NOT EXISTS ready (n bigint)")
			    .ok;
	    }))
		return why;
	if (!wait_until(
		    ms, [&] { return (why = differences(c, group)).empty(); },
		    50))
		return why;
	for (const std::string &id : c.members(group))
		h.holds(group, id, held(c, id));
	return "";
}

namespace
{

/* Of the control instances' log lines with a mark, calls f for the last one of
 * each; it gets the instance and the line from the mark on. */
template <typename F>
void last_lines(Cluster &c, int controls, const std::string &mark, F f)
{
	for (int i = 1; i <= controls; i++) {
		std::string id = "c" + std::to_string(i);
		std::string log = c.process(id).log();
		size_t at = log.rfind(mark);

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

	last_lines(c, controls, "event=leading",
		   [&](const std::string &id, const std::string &line) {
			   int64_t term = number_after(line, "term=");

			   if (term > newest) {
				   newest = term;
				   leader = id;
			   }
		   });
	return leader;
}

std::string promoted_last(Cluster &c, int controls)
{
	std::string member;
	int64_t newest = -1;

	last_lines(c, controls, "event=promoted",
		   [&](const std::string &, const std::string &line) {
			   int64_t term = number_after(line, "term=");
			   size_t at = line.find("primary=") + 8;

			   if (term > newest) {
				   newest = term;
				   member = line.substr(at, line.find(' ', at) -
								    at);
			   }
		   });
	return member;
}

void cut_off(Cluster &c, const std::string &name)
{
	c.fault("cut " + name);
	c.fault("cut " + name + ">*");
}

std::string show(Cluster &c, const std::string &proxy, const std::string &table,
		 const std::string &id, const std::string &column)
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
