#ifndef LIB_ORDERS_H
#define LIB_ORDERS_H

/*
 * Sessions that place orders through the proxies of a deployment and read
 * their own back through other proxies, carrying the session token. What they
 * see is recorded in a history.
 *
 * An order whose outcome is unknown is sent again with its request id until
 * the outcome is known.
 */

#include "lib_cluster.h"
#include "lib_history.h"

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

class Orders
{
      public:
	Orders(cluster::Cluster &c, std::vector<std::string> proxies,
	       std::string group, uint64_t seed);
	~Orders();

	/* Creates the table; call it before start(). */
	bool prepare();
	void start(int sessions);

	/* Lets each session finish what it is doing. */
	void stop();

	/* Heals all links, waits until the members agree and records what
	 * they hold. */
	bool collect(int ms);

	history::History &seen()
	{
		return history_;
	}

	/* Errors by SQLSTATE with one message each, for reports. */
	std::string errors();

      private:
	struct Session {
		std::string name;
		std::string token;
		std::mt19937_64 rng;
		std::map<std::string, cluster::Caller> callers;
		int orders;
	};
	cluster::Caller *caller(Session &s);
	void run(Session &s);
	void place(Session &s);
	bool try_place(Session &s, const std::string &key);
	void read(Session &s);
	void note(const cluster::Result &r);

	cluster::Cluster &cluster_;
	std::vector<std::string> proxies_;
	std::string group_;
	uint64_t seed_;
	history::History history_;
	std::vector<std::thread> threads_;
	std::vector<std::unique_ptr<Session>> sessions_;
	std::atomic<bool> stop_{false};
	std::mutex lock_;
	std::map<std::string, std::pair<int, std::string>> errors_;
};

#endif
