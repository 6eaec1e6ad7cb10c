#ifndef LIB_ORDERS_H
#define LIB_ORDERS_H

/*
 * Load for system tests: sessions that write orders and read their own orders
 * back, each time through a proxy chosen at random, and pass the session token
 * along. All writes and reads are recorded in a history (lib_history.h).
 *
 * An order whose outcome is unknown is sent again with the same request id
 * until the outcome is known, for at most 20 seconds.
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

	/* Creates the table of orders; must be called before start(). */
	bool create_orders_table();

	/* Starts a thread for each session. */
	void start(int sessions);

	/* Waits until each session has finished its current order and read. */
	void stop();

	/* Waits until all members have applied the same log and records the
	 * orders that they store; false after ms. The caller must end network
	 * faults before. */
	bool record_member_orders(int ms);

	history::History &recorded_history()
	{
		return history_;
	}

	/* Text with the number of errors and the last message of each SQLSTATE.
	 */
	std::string errors();

      private:
	struct Session {
		std::string name;
		std::string token;
		std::mt19937_64 rng;
		std::map<std::string, cluster::Caller> callers;
		int orders; /* number of orders so far */
	};
	cluster::Caller *random_connection(Session &s);
	void run(Session &s);
	void place(Session &s);
	bool try_place(Session &s, const std::string &key);
	void read(Session &s);
	void record_error(const cluster::Result &r);

	cluster::Cluster &cluster_;
	std::vector<std::string> proxies_;
	std::string group_;
	uint64_t seed_;
	history::History history_;
	std::vector<std::thread> threads_;
	std::vector<std::unique_ptr<Session>> sessions_;
	std::atomic<bool> stopping_{false};
	std::mutex lock_; /* guards errors_ */
	std::map<std::string, std::pair<int, std::string>> errors_;
};

#endif
