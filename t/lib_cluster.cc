#include "lib_cluster.h"

#include <cstdlib>
#include <filesystem>
#include <gtest/gtest.h>
#include <sodium.h>
#include <stdexcept>
#include <sys/stat.h>

namespace cluster
{

namespace
{

std::string json_string(const std::string &s)
{
	return "\"" + s + "\"";
}

std::string sql_literal(const std::string &s)
{
	std::string out = "'";

	for (char c : s) {
		if (c == '\'')
			out += c;
		out += c;
	}
	return out + "'";
}

} // namespace

std::string customer_json(const std::string &name, const std::string &plan,
			  const std::string &password)
{
	char hash[crypto_pwhash_STRBYTES];

	if (sodium_init() < 0 ||
	    crypto_pwhash_str(hash, password.c_str(), password.size(),
			      crypto_pwhash_OPSLIMIT_MIN,
			      crypto_pwhash_MEMLIMIT_MIN))
		throw std::runtime_error("hashing a password");
	return "{\"name\": " + json_string(name) +
	       ", \"plan\": " + json_string(plan) +
	       ", \"password_hash\": " + json_string(hash) + "}";
}

std::string default_lists()
{
	return "{\"plans\": [{\"name\": \"standard\", \"connections\": 30, "
	       "\"max_age_ms\": 5000, \"max_wait_ms\": 5000}],\n"
	       "\"customers\": [" +
	       customer_json("shop", "standard", "shop-password") + "]}\n";
}

Cluster::Cluster(Spec spec) : spec_(std::move(spec))
{
	dir_.write("key", "the shared key of this test deployment\n");
	if (spec_.relay)
		relay_ = std::make_unique<Relay>(dir_);
	auto zone = [&](int i) {
		return spec_.zones[(size_t)i % spec_.zones.size()];
	};
	for (int i = 0; i < spec_.controls; i++)
		add("c" + std::to_string(i + 1), zone(i));
	for (int i = 0; i < spec_.proxies; i++) {
		std::string id = "p" + std::to_string(i + 1);
		Node &n = add(id, zone(i));

		n.link_listen_addr = free_addr();
		n.link_connect_addr =
			relay_ ? relay_->add(id + "-link", n.link_listen_addr)
			       : n.link_listen_addr;
	}
	for (int i = 0; i < spec_.controls; i++)
		add_daemon("c" + std::to_string(i + 1), false);
	for (int i = 0; i < spec_.proxies; i++)
		add_daemon("p" + std::to_string(i + 1), true);
	for (const GroupSpec &g : spec_.groups)
		for (int i = 0; i < g.members; i++)
			add_member(g, i);
}

Cluster::~Cluster()
{
	constexpr size_t LOG_TAIL_BYTES = 1500;

	if (!::testing::Test::HasFailure())
		return;
	for (auto &[name, node] : nodes_) {
		std::string text = node.process->log();

		if (text.size() > LOG_TAIL_BYTES)
			text = text.substr(
				text.find('\n', text.size() - LOG_TAIL_BYTES));
		fprintf(stderr, "--- %s %s\n%s\n", name.c_str(),
			node.process->unexpected_end().c_str(), text.c_str());
	}
}

Cluster::Node &Cluster::add(const std::string &name, const std::string &zone)
{
	Node &n = nodes_[name];

	n.zone = zone;
	n.listen_addr = free_addr();
	n.connect_addr =
		relay_ ? relay_->add(name, n.listen_addr) : n.listen_addr;
	n.data = dir_.path() + "/" + name + ".data";
	return n;
}

void Cluster::add_process(const std::string &name,
			  std::vector<std::string> argv)
{
	nodes_[name].process = std::make_unique<Process>(
		name, std::move(argv), dir_.path() + "/" + name + ".log");
}

/* A proxy has an address for clients and another one for its link. A control
 * instance has only its link. */
std::string Cluster::settings(const std::string &name, bool proxy) const
{
	const Node &n = nodes_.at(name);
	std::string link = proxy ? free_addr() : n.listen_addr;
	std::map<std::string, std::string> keys = {
		{"id", json_string(name)},
		{"zone", json_string(n.zone)},
		{"link",
		 json_string(proxy ? n.link_listen_addr : n.listen_addr)},
		{"key_file", json_string(dir_.path() + "/key")},
		{"log_level", json_string("info")},
		{"backend_password", json_string(BACKEND_PASSWORD)},
		{"operator_password", json_string(OPERATOR_PASSWORD)},
	};
	std::string controls;
	std::string out;

	if (proxy) {
		keys["listen"] = json_string(n.listen_addr);
		keys["link_advertise"] = json_string(n.link_connect_addr);
	} else
		keys["data"] = json_string(n.data);
	for (int i = 1; i <= spec_.controls; i++) {
		std::string id = "c" + std::to_string(i);

		controls += (i > 1 ? ", " : "") +
			    ("{\"id\": " + json_string(id)) +
			    ", \"addr\": " + json_string(addr(id)) + "}";
	}
	keys["controls"] = "[" + controls + "]";
	for (const auto &[key, value] : spec_.settings)
		keys[key] = value;
	for (const auto &[key, value] : keys)
		out += (out.empty() ? "{" : ",\n ") + json_string(key) + ": " +
		       value;
	return out + "}\n";
}

void Cluster::add_daemon(const std::string &name, bool proxy)
{
	std::string file = dir_.write(name + ".json", settings(name, proxy));

	if (!proxy)
		mkdir(data(name).c_str(), 0700);
	add_process(name, {program(proxy ? "marjoramlatchd"
					 : "marjoramlatch-control"),
			   "--settings", file});
}

void Cluster::add_member(const GroupSpec &g, int index)
{
	std::string id = g.name + "-" + std::to_string(index + 1);
	Node &n = add(id, spec_.zones[(size_t)index % spec_.zones.size()]);
	std::vector<std::string> argv = {program("helper/backend")};
	std::string announce_addrs;

	n.group = g.name;
	/* Each member announces itself first at a different proxy. */
	for (int i = 0; i < spec_.proxies; i++)
		announce_addrs +=
			(i ? "," : "") +
			addr("p" +
			     std::to_string((index + i) % spec_.proxies + 1));
	const std::map<std::string, std::string> options = {
		{"id", id},
		{"group", g.name},
		{"zone", n.zone},
		{"listen", n.listen_addr},
		{"advertise", n.connect_addr},
		{"data", n.data},
		{"password", BACKEND_PASSWORD},
		{"members", std::to_string(g.members)},
		{"slots", std::to_string(g.slots)},
		{"connections", std::to_string(g.connections)},
		{"connect-ms", std::to_string(g.login_delay_ms)},
		{"cost-us", std::to_string(g.statement_time_us)},
		{"ship-ms", std::to_string(g.log_send_delay_ms)},
		{"lag-ms", std::to_string(g.log_apply_delay_ms)},
	};
	for (const auto &[key, value] : options)
		argv.insert(argv.end(), {"--" + key, value});
	if (!announce_addrs.empty())
		argv.insert(argv.end(), {"--announce", announce_addrs});
	add_process(id, argv);
}

Process &Cluster::process(const std::string &name)
{
	return *nodes_.at(name).process;
}

std::string Cluster::zone_of(const std::string &name) const
{
	return nodes_.at(name).zone;
}

void Cluster::cut_zone(const std::string &zone)
{
	for (const auto &[a, inside] : nodes_)
		for (const auto &[b, outside] : nodes_) {
			if (inside.zone != zone || outside.zone == zone)
				continue;
			relay_command("cut " + a + ">" + b + "*");
			relay_command("cut " + b + ">" + a + "*");
		}
}

std::string Cluster::listen_addr_of(const std::string &name) const
{
	return nodes_.at(name).listen_addr;
}

std::string Cluster::addr(const std::string &name) const
{
	return nodes_.at(name).connect_addr;
}

std::string Cluster::data(const std::string &name) const
{
	return nodes_.at(name).data;
}

std::vector<std::string> Cluster::members(const std::string &group) const
{
	std::vector<std::string> out;

	for (const auto &[name, node] : nodes_)
		if (node.group == group)
			out.push_back(name);
	return out;
}

void Cluster::start(const std::string &name)
{
	process(name).start([&](pid_t pid) {
		if (relay_)
			relay_->command("source " + name + " " +
					std::to_string(pid));
	});
}

void Cluster::kill_and_delete_data(const std::string &name)
{
	process(name).kill();
	std::filesystem::remove_all(data(name));
	mkdir(data(name).c_str(), 0700);
}

void Cluster::start_members()
{
	for (auto &[name, node] : nodes_)
		if (!node.group.empty())
			start(name);
	for (auto &[name, node] : nodes_)
		if (!node.group.empty() &&
		    !wait_until(5000, [&] { return member(name).connected(); }))
			throw std::runtime_error(node.process->log());
}

bool Cluster::start(int ms)
{
	int64_t end = now_ms() + ms;

	for (auto &[name, node] : nodes_)
		if (node.group.empty())
			start(name);
	start_members();
	if (spec_.lists.empty())
		spec_.lists = default_lists();
	return wait_until(
		       (int)(end - now_ms()),
		       [&] { return apply("p1", spec_.lists, 0, "start").ok; },
		       50) &&
	       wait_ready((int)(end - now_ms()));
}

bool Cluster::wait_ready(int ms)
{
	int64_t end = now_ms() + ms;

	for (const GroupSpec &g : spec_.groups) {
		bool written = wait_until(
			(int)(end - now_ms()),
			[&] {
				Caller c = customer("p1", g.name);

				return c.exec("CREATE TABLE IF NOT EXISTS "
					      "ready (n bigint)")
					.ok;
			},
			50);

		if (!written)
			return false;
		for (int i = 1; i <= spec_.proxies; i++)
			if (!wait_until(
				    (int)(end - now_ms()),
				    [&] {
					    return customer(
							   "p" + std::to_string(
									 i),
							   g.name)
						    .exec("SELECT 1")
						    .ok;
				    },
				    50))
				return false;
	}
	return true;
}

Caller Cluster::customer(const std::string &proxy, const std::string &group,
			 const std::string &options, const std::string &name)
{
	Caller c;

	c.connect(addr(proxy), name, name + "-password", group, options);
	return c;
}

Caller Cluster::admin(const std::string &proxy)
{
	Caller c;

	c.connect(addr(proxy), "operator", OPERATOR_PASSWORD, "marjoramlatch");
	return c;
}

Caller Cluster::member(const std::string &id)
{
	Caller c;

	c.connect(listen_addr_of(id), "marjoramlatch", BACKEND_PASSWORD,
		  nodes_.at(id).group, "", 1000);
	return c;
}

Result Cluster::apply(const std::string &proxy, const std::string &lists,
		      int64_t base, const std::string &request_id)
{
	static int count;
	std::string id = request_id.empty() ? "test-" + std::to_string(++count)
					    : request_id;

	return admin(proxy).exec("APPLY " + sql_literal(id) + " 'test' " +
				 std::to_string(base) + " " +
				 sql_literal(lists));
}

std::string Cluster::primary(const std::string &group)
{
	std::string found;

	for (const std::string &id : members(group)) {
		Result r = member(id).exec(
			"SELECT * FROM marjoramlatch_status()", 1000);

		if (r.value("role") != "primary")
			continue;
		if (!found.empty())
			return "";
		found = id;
	}
	return found;
}

bool Cluster::promote(const std::string &id, int64_t term)
{
	std::string n = std::to_string(term);

	if (!member(id).exec("SELECT marjoramlatch_promote(" + n + ")").ok)
		return false;
	for (const std::string &other : members(nodes_.at(id).group))
		if (other != id)
			member(other).exec("SELECT marjoramlatch_follow(" + n +
					   ", '" + addr(id) + "')");
	return true;
}

} // namespace cluster
