#include "lib_platform.h"

#include <arpa/inet.h>
#include <cstring>
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

using cluster::now_ms;

namespace platform
{

namespace
{

std::string port_of(const std::string &addr)
{
	return addr.substr(addr.rfind(':') + 1);
}

int connect_to(const std::string &addr)
{
	struct sockaddr_in sa = {};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	sa.sin_family = AF_INET;
	sa.sin_port = htons((uint16_t)std::stoi(port_of(addr)));
	inet_pton(AF_INET, addr.substr(0, addr.rfind(':')).c_str(),
		  &sa.sin_addr);
	if (!connect(fd, (struct sockaddr *)&sa, sizeof(sa)))
		return fd;
	::close(fd);
	return -1;
}

/* Waits up to ms for data and reads what has come; false at the end of the
 * connection, after an error or after ms. */
bool read_some(int fd, std::string *in, int ms)
{
	struct pollfd p = {fd, POLLIN, 0};
	char buf[4096];

	if (fd < 0 || poll(&p, 1, ms) <= 0)
		return false;
	ssize_t n = recv(fd, buf, sizeof(buf), 0);
	if (n <= 0)
		return false;
	in->append(buf, (size_t)n);
	return true;
}

} // namespace

Session::~Session()
{
	if (fd_ >= 0)
		::close(fd_);
}

Session::Session(Session &&o) noexcept
    : fd_(o.fd_), received_(o.received_), last_id_(o.last_id_),
      startup_answer_(o.startup_answer_)
{
	o.fd_ = -1;
}

Session &Session::operator=(Session &&o) noexcept
{
	std::swap(fd_, o.fd_);
	std::swap(received_, o.received_);
	std::swap(last_id_, o.last_id_);
	std::swap(startup_answer_, o.startup_answer_);
	return *this;
}

bool Session::open(const std::string &addr, const std::string &database,
		   const std::string &key)
{
	if (fd_ >= 0)
		::close(fd_);
	received_.clear();
	fd_ = connect_to(addr);
	send("STARTUP " + database + " " + key + "\r\n");
	startup_answer_ = read_line();
	return startup_answer_.rfind("READY", 0) == 0;
}

void Session::send(const std::string &bytes)
{
	if (fd_ >= 0)
		(void)!::send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

std::string Session::read_line(int ms)
{
	int64_t end = now_ms() + ms;

	for (;;) {
		size_t at = received_.find("\r\n");

		if (at != std::string::npos) {
			std::string l = received_.substr(0, at);

			received_.erase(0, at + 2);
			return l;
		}
		if (now_ms() >= end ||
		    !read_some(fd_, &received_, (int)(end - now_ms())))
			return "closed";
	}
}

std::string Session::query(const std::string &text, int ms)
{
	static int64_t n = now_ms() << 16;
	std::string answer;
	std::string l;

	last_id_ = std::to_string(++n);
	send("QUERY " + last_id_ + " " + text + "\r\n");
	do {
		l = read_line(ms);
		if (l == "closed")
			return l;
		answer += l + "|";
	} while (l.rfind("READY", 0) != 0);
	return answer;
}

bool Session::wait_until_closed(int ms)
{
	struct pollfd p = {fd_, POLLIN, 0};
	char c;

	return poll(&p, 1, ms) > 0 && recv(fd_, &c, 1, MSG_PEEK) == 0;
}

Response http(const std::string &addr, const std::string &method,
	      const std::string &path, const std::string &body)
{
	Response r;
	std::string in;
	int fd = connect_to(addr);
	std::string q = method + " " + path +
			" HTTP/1.1\r\nConnection: close\r\nContent-Length: " +
			std::to_string(body.size()) + "\r\n\r\n" + body;

	if (fd < 0)
		return r;
	(void)!::send(fd, q.data(), q.size(), MSG_NOSIGNAL);
	while (read_some(fd, &in, 5000))
		continue;
	::close(fd);
	size_t head = in.find("\r\n\r\n");
	if (head == std::string::npos)
		return r;
	r.status = std::stoi(in.substr(9, 3));
	r.body = in.substr(head + 4);
	size_t at = in.find("Location: http://");
	if (at != std::string::npos && at < head)
		r.location = in.substr(at + 17, in.find("\r\n", at) - at - 17);
	return r;
}

Deployment::Deployment(int ncontrols, int nproxies, int nmembers)
{
	std::string api_port = port_of(cluster::free_addr());
	std::string apis;
	std::string members;

	link_port_ = port_of(cluster::free_addr());
	commands_addr_ = cluster::free_addr();
	promoter_addr_ = cluster::free_addr();
	for (int i = 0; i < ncontrols; i++) {
		std::string ip = "127.0.1." + std::to_string(i + 1);

		api_addrs_.push_back(ip + ":" + api_port);
		apis += (i ? "," : "") + api_addrs_[i];
		seeds_ += (i ? ",\"" : "\"") + api_addrs_[i] + "\"";
	}
	for (int i = 0; i < nproxies; i++) {
		client_addrs_.push_back(cluster::free_addr());
		ready_addrs_.push_back(cluster::free_addr());
		metrics_addrs_.push_back(cluster::free_addr());
	}
	for (int i = 0; i < nmembers; i++) {
		member_addrs_.push_back(cluster::free_addr());
		members += (i ? "," : "") + member_addrs_[i];
	}
	members_ = std::make_unique<cluster::Process>(
		"platform",
		std::vector<std::string>{cluster::program("helper/platform"),
					 commands_addr_, promoter_addr_, "g1",
					 apis, members},
		dir_.path() + "/platform.log");
	for (int i = 0; i < ncontrols; i++) {
		std::string name = "c" + std::to_string(i);

		controls_.push_back(std::make_unique<cluster::Process>(
			name,
			std::vector<std::string>{
				cluster::program("marjoramlatch-control"),
				"--settings",
				dir_.write(name + ".json", settings(i, true))},
			dir_.path() + "/" + name + ".log"));
	}
	for (int i = 0; i < nproxies; i++) {
		std::string name = "p" + std::to_string(i);

		proxies_.push_back(std::make_unique<cluster::Process>(
			name,
			std::vector<std::string>{
				cluster::program("marjoramlatchd"),
				"--settings",
				dir_.write(name + ".json", settings(i, false))},
			dir_.path() + "/" + name + ".log"));
	}
}

Deployment::~Deployment()
{
	if (!testing::Test::HasFailure())
		return;
	for (auto *list : {&controls_, &proxies_})
		for (auto &p : *list) {
			std::string log = p->log();

			fprintf(stderr, "--- %s\n%s\n", p->name().c_str(),
				log.substr(log.size() > 6000 ? log.size() - 6000
							     : 0)
					.c_str());
		}
}

std::string Deployment::data(int i) const
{
	return dir_.path() + "/data" + std::to_string(i);
}

std::string Deployment::settings(int i, bool control) const
{
	std::string zone =
		limit_connections_ && !control && i % 2 ? "zb" : "za";
	std::string s = "{\"protocol\": \"line\", \"zone\": \"" + zone +
			"\", "
			"\"key\": \"key of a test deployment\", "
			"\"seeds\": [" +
			seeds_ + "], ";
	std::string n = std::to_string(i);

	if (!promoter_deposes_)
		s += "\"promoter_deposes\": false, ";
	if (key_lease_ms_)
		s += "\"key_lease_ms\": " + std::to_string(key_lease_ms_) +
		     ", ";
	if (control)
		return s + "\"id\": \"127.0.1." + std::to_string(i + 1) +
		       "\", \"name\": \"c" + n + "\", \"link\": \"127.0.1." +
		       std::to_string(i + 1) + ":" + link_port_ +
		       "\", \"control_api\": \"" + api_addrs_[i] +
		       "\", \"promoter\": \"" + promoter_addr_ +
		       "\", \"data\": \"" + data(i) +
		       "\", \"bootstrap\": true, \"replace_ms\": 3000}";
	return s + "\"id\": \"p" + n + "\", \"link\": \"127.0.2." +
	       std::to_string(i + 1) + ":" + link_port_ + "\", \"listen\": \"" +
	       client_addrs_[i] + "\", \"ready\": \"" + ready_addrs_[i] +
	       "\", \"metrics\": \"" + metrics_addrs_[i] +
	       "\", \"stop_ms\": 6000}";
}

void Deployment::rewrite_seed_addrs(int proxy, const std::string &seeds)
{
	std::string all = seeds_;

	seeds_ = seeds;
	dir_.write("p" + std::to_string(proxy) + ".json",
		   settings(proxy, false));
	seeds_ = all;
}

/* The part of a configuration that lists tenants; empty if it has none. */
static std::string tenants_json(bool has_tenants, const Tenants &tenants)
{
	std::string list;

	for (const auto &t : tenants) {
		std::string keys;

		for (const std::string &k : t.second)
			keys += (keys.empty() ? "\"" : ",\"") + k + "\"";
		list += std::string(list.empty() ? "" : ",") + "{\"name\":\"" +
			t.first + "\",\"api_keys\":[" + keys + "]}";
	}
	return has_tenants ? "\"tenants\":[" + list + "]," : "";
}

std::string Deployment::config_document(int version,
					const std::string &more) const
{
	std::string routes;

	for (const char *r : {"orders primary 0",
			      "catalogue bounded_staleness "
			      "1500",
			      "tickets read_your_writes 2500"}) {
		char host[32];
		char kind[32];
		int age;

		sscanf(r, "%31s %31s %d", host, kind, &age);
		routes += std::string(routes.empty() ? "" : ",") +
			  "{\"name\":\"r-" + host + "\",\"host\":\"" + host +
			  "\",\"path_prefix\":\"/\",\"kind\":\"" + kind +
			  "\",\"timeout_ms\":2000,\"service\":\"g1\","
			  "\"max_staleness_ms\":" +
			  std::to_string(age) + "}";
	}
	if (has_tenants_)
		routes += ",{\"name\":\"r-news\",\"host\":\"news\","
			  "\"kind\":\"primary\",\"timeout_ms\":2000,"
			  "\"service\":\"g1\",\"public\":true}";
	return "{\"version\":" + std::to_string(version) + ",\"routes\":[" +
	       routes + more + "]," + tenants_json(has_tenants_, tenants_) +
	       "\"services\":[{\"name\":\"g1\",\"max_conns\":" +
	       std::to_string(connections_) +
	       ",\"sync_replicas\":" + std::to_string(sync_replicas_) +
	       "}],"
	       "\"limits\":{\"txn_idle_ms\":1500}}";
}

/* Sends a request to the control instances in turn, for up to 8 seconds, until
 * one answers. An instance that is not the leader redirects to it, and answers
 * 503 if it knows none. */
static Response call_control_api(const std::vector<std::string> &apis,
				 const std::string &method,
				 const std::string &body)
{
	Response r;

	for (int64_t end = now_ms() + 8000; now_ms() < end;) {
		for (const std::string &api : apis) {
			std::string at = api;

			for (int hop = 0; hop < 3; hop++) {
				r = http(at, method, "/marjoramlatch/config",
					 body);
				if (r.status != 307)
					break;
				at = r.location.substr(0, r.location.find('/'));
			}
			if (r.status >= 200 && r.status < 500 &&
			    r.status != 307)
				return r;
		}
		usleep(50000);
	}
	return r;
}

Response Deployment::publish_config(const std::string &doc)
{
	return call_control_api(api_addrs_, "PUT", doc);
}

Response Deployment::read_config()
{
	return call_control_api(api_addrs_, "GET", "");
}

std::string Deployment::send_platform_command(const std::string &line)
{
	Session s;
	std::string answer;
	int fd = connect_to(commands_addr_);

	(void)!::send(fd, (line + "\n").data(), line.size() + 1, MSG_NOSIGNAL);
	while (answer.find('\n') == std::string::npos &&
	       read_some(fd, &answer, 3000))
		continue;
	::close(fd);
	return answer.substr(0, answer.find('\n'));
}

bool Deployment::wait_until_serving(int proxy, int ms)
{
	return cluster::wait_until(
		ms,
		[&] {
			Session s;

			return s.open(client_addrs_[proxy], "orders",
				      probe_key_) &&
			       s.query("WRITE probe x").rfind("COMPLETE", 0) ==
				       0;
		},
		50);
}

void Deployment::limit_member_connections(int connections)
{
	connections_ = connections;
	limit_connections_ = true;
	for (size_t i = 0; i < proxies_.size(); i++)
		dir_.write("p" + std::to_string(i) + ".json",
			   settings((int)i, false));
}

void Deployment::use_synchronous_replica()
{
	sync_replicas_ = 1;
}

void Deployment::let_replaced_primaries_go_on()
{
	promoter_deposes_ = false;
	rewrite_settings();
}

void Deployment::use_tenants(const Tenants &tenants, int key_lease_ms)
{
	has_tenants_ = true;
	key_lease_ms_ = key_lease_ms;
	tenants_ = tenants;
	probe_key_ = tenants[0].second[0];
	rewrite_settings();
}

void Deployment::set_tenants(const Tenants &tenants)
{
	tenants_ = tenants;
}

void Deployment::rewrite_settings()
{
	for (size_t i = 0; i < proxies_.size(); i++)
		dir_.write("p" + std::to_string(i) + ".json",
			   settings((int)i, false));
	for (size_t i = 0; i < controls_.size(); i++)
		dir_.write("c" + std::to_string(i) + ".json",
			   settings((int)i, true));
}

void Deployment::use_relay()
{
	std::string members;

	relay_ = std::make_unique<cluster::Relay>(dir_);
	for (size_t i = 0; i < member_addrs_.size(); i++)
		members +=
			(i ? "," : "") + member_addrs_[i] + "=" +
			relay_->add("m" + std::to_string(i), member_addrs_[i]);
	members_->argv().back() = members;
}

void Deployment::send_relay_command(const std::string &command)
{
	relay_->command(command);
}

void Deployment::partition_first_primary(const std::vector<int> &proxies)
{
	for (auto &c : controls_)
		send_relay_command("freeze " + c->name() + ">m0");
	for (int i : proxies)
		send_relay_command("freeze " + proxies_[i]->name() + ">m0");
}

bool Deployment::wait_until_replaced(const std::vector<int> &proxies)
{
	return cluster::wait_until(10000, [&] {
		for (int i : proxies) {
			Session s;

			if (s.open(client_addrs_[i], "orders", probe_key_))
				s.query("WRITE report 1", 1000);
		}
		return send_platform_command("primary") != "m0";
	});
}

int Deployment::promote(const std::string &member)
{
	return http(promoter_addr_, "POST", "/failover",
		    "{\"service\":\"g1\",\"id\":\"" + member + "\"}")
		.status;
}

void Deployment::start_process(cluster::Process &p)
{
	p.start([&](pid_t pid) {
		if (relay_)
			relay_->command("source " + p.name() + " " +
					std::to_string(pid));
	});
}

bool Deployment::start()
{
	members_->start();
	for (auto &c : controls_)
		start_process(*c);
	for (auto &p : proxies_)
		start_process(*p);
	if (limit_connections_)
		send_platform_command("limit " + std::to_string(connections_));
	if (!promoter_deposes_)
		send_platform_command("depose 0");
	if (sync_replicas_)
		send_platform_command("sync " + std::to_string(sync_replicas_));
	if (publish_config(config_document(1)).status != 200)
		return false;
	for (size_t i = 0; i < proxies_.size(); i++)
		if (!wait_until_serving((int)i, 10000))
			return false;
	return true;
}

} // namespace platform
