#ifndef LIB_PLATFORM_H
#define LIB_PLATFORM_H

/*
 * Library of the system tests for the line protocol. It runs a deployment on
 * loopback: control instances on 127.0.1.x, proxies, and t/helper/platform, a
 * stand-in for the members (database servers) of the group g1 and for the
 * promoter.
 */

#include "lib_cluster.h"

namespace platform
{

/* A client connection; every wait has a timeout. */
class Session
{
      public:
	Session() = default;
	~Session();
	Session(Session &&o) noexcept;
	Session &operator=(Session &&o) noexcept;

	/* Connects and logs in; returns whether the proxy answered READY. */
	bool open(const std::string &addr, const std::string &database,
		  const std::string &key = "test");

	/* The answer to the last open(). */
	const std::string &startup_answer() const
	{
		return startup_answer_;
	}

	/* Sends a statement with a new request id. Returns the lines of the
	 * answer up to and including READY, each followed by "|", or "closed"
	 * if the answer is not complete in time or the connection is closed. */
	std::string query(const std::string &text, int ms = 5000);

	/* Sends bytes as they are. */
	void send(const std::string &bytes);

	/* Next line of the answer; "closed" as above. */
	std::string read_line(int ms = 5000);

	/* Waits for the proxy to close the connection; false if data comes
	 * first or nothing comes in ms. */
	bool wait_until_closed(int ms);

	/* Request id of the last query(). */
	const std::string &last_id() const
	{
		return last_id_;
	}

      private:
	int fd_ = -1;
	std::string received_; /* not returned by line() yet */
	std::string last_id_;
	std::string startup_answer_;
};

/* Tenants of a configuration: name and API keys. */
using Tenants = std::vector<std::pair<std::string, std::vector<std::string>>>;

/* Whether an answer of Session::query() reports success. */
inline bool statement_succeeded(const std::string &answer)
{
	return answer.find("COMPLETE") != std::string::npos;
}

struct Response {
	int status = 0; /* HTTP status; 0 if there was no answer */
	std::string body;
	std::string location; /* ADDRESS/PATH of a redirect */
};

/* Sends an HTTP request and doesn't follow redirects. */
Response http(const std::string &addr, const std::string &method,
	      const std::string &path, const std::string &body = "");

class Deployment
{
      public:
	explicit Deployment(int controls = 3, int proxies = 2, int members = 3);

	/* Limits the connections that each member accepts, and puts every
	 * second proxy into another zone than the other processes. Must be
	 * called before start(). */
	void limit_member_connections(int connections);

	/* Prints the last part of each log if the test has failed. */
	~Deployment();

	/* Lets the promoter not depose the primary that it replaces, which goes
	 * on until it is told to step down. Must be called before start(). */
	void let_replaced_primaries_go_on();

	/* To be called before start(): a commit is answered once one replica
	 * holds it. */
	void use_synchronous_replica();

	/* Gives the configuration tenants, and the public database "news"; API
	 * keys need a lease of key_lease_ms. The first key of the first tenant
	 * is used to see whether the proxies serve. Must be called before
	 * start(). */
	void use_tenants(const Tenants &tenants, int key_lease_ms);

	/* The tenants that config_document() contains from now on. */
	void set_tenants(const Tenants &tenants);

	/* Lets all connections to the members pass through the relay of
	 * lib_cluster.h. Its routes are named m0, m1, ..., its sources c0, c1,
	 * ... and p0, p1, .... Must be called before start(). */
	void use_relay();

	/* Sends a command to the relay. */
	void send_relay_command(const std::string &command);

	/* Holds back all data between m0 and control and the given proxies.
	 * Needs the relay. */
	void partition_first_primary(const std::vector<int> &proxies);

	/* Writes through the given proxies, which then report a primary that
	 * doesn't answer, until m0 is replaced; false after 10 s. */
	bool wait_until_replaced(const std::vector<int> &proxies);

	/* Calls the promoter as control does; returns the HTTP status. */
	int promote(const std::string &member);

	/* Starts or restarts a process and tells the relay its name. */
	void start_process(cluster::Process &p);

	/* Starts all processes, publishes a configuration and waits until each
	 * proxy serves. */
	bool start();

	/* Publish and read the configuration through any control instance,
	 * following redirects. */
	Response publish_config(const std::string &doc);
	Response read_config();

	/* A configuration document; more is JSON text added to the routes. */
	std::string config_document(int version,
				    const std::string &more = "") const;

	/* Sends a command to t/helper/platform; returns its answer. */
	std::string send_platform_command(const std::string &line);

	cluster::Process &control(int i)
	{
		return *controls_[i];
	}
	cluster::Process &proxy(int i)
	{
		return *proxies_[i];
	}

	/* Addresses of proxy i: for clients, of its readiness check and of its
	 * metrics. */
	std::string client_addr(int i) const
	{
		return client_addrs_[i];
	}
	std::string ready_check_addr(int i) const
	{
		return ready_addrs_[i];
	}
	std::string metrics_http_addr(int i) const
	{
		return metrics_addrs_[i];
	}

	/* Address of the HTTP API of control instance i. */
	std::string control_api_addr(int i) const
	{
		return api_addrs_[i];
	}

	/* Data directory of control instance i. */
	std::string data(int i) const;

	/* Waits until a write through a proxy succeeds; false after ms. */
	bool wait_until_serving(int proxy, int ms);

	/* Rewrites the settings file of a proxy with other seeds: JSON strings
	 * of control addresses, separated by commas. */
	void rewrite_seed_addrs(int proxy, const std::string &seeds);

      private:
	std::string settings(int i, bool control) const;
	void rewrite_settings();
	cluster::TempDir dir_;
	std::vector<std::string> api_addrs_;
	std::vector<std::string> client_addrs_;
	std::vector<std::string> ready_addrs_;
	std::vector<std::string> metrics_addrs_;
	std::string link_port_;
	int connections_ = 30; /* of each member */
	int sync_replicas_ = 0;
	bool limit_connections_ = false; /* see limit_member_connections() */
	bool promoter_deposes_ = true;
	bool has_tenants_ = false; /* see use_tenants() */
	int key_lease_ms_ = 0;
	std::string probe_key_ = "test";
	Tenants tenants_;
	std::string commands_addr_;
	std::string promoter_addr_;
	std::string seeds_;
	std::vector<std::unique_ptr<cluster::Process>> controls_;
	std::vector<std::unique_ptr<cluster::Process>> proxies_;
	std::unique_ptr<cluster::Process> members_;
	std::unique_ptr<cluster::Relay> relay_;
	std::vector<std::string> member_addrs_;
};

} // namespace platform

#endif
