#ifndef LIB_LOAD_H
#define LIB_LOAD_H

/*
 * Continuous load for system tests: clients that write and read orders and
 * record the results in a history (lib_history.h). Also helpers for tests that
 * inject faults into a deployment under this load.
 */

#include "lib_cluster.h"
#include "lib_history.h"

#include <atomic>
#include <random>
#include <thread>

namespace load
{

constexpr const char *TABLE = "placed"; /* of the orders */

struct Options {
	std::string group = "orders";
	std::vector<std::string> proxies = {"p1", "p2", "p3"};
	int callers = 8; /* every second one uses request ids */
	unsigned seed = 1;
	std::string settings; /* connection options of each session */
};

/*
 * Each caller is a session in a thread of its own that reconnects to proxies
 * chosen at random and passes its session token along. A caller with request
 * ids sends an order again until it is answered; one without request ids never
 * sends an order twice. The load starts with the constructor.
 */
class Load
{
      public:
	Load(cluster::Cluster &c, history::History &h, Options o);
	~Load();

	/* Waits until each caller has finished its current statement. */
	void stop();

	/* One line for each result that no caller may get, such as an error
	 * that the session token was lost. */
	std::vector<std::string> found_violations();

      private:
	void run(int index);
	bool connect(cluster::Caller &c, const std::string &token,
		     std::mt19937 &rng);
	bool place(cluster::Caller &c, const std::string &session,
		   const std::string &key, bool with_request_id,
		   std::string &token);
	void read(cluster::Caller &c, const std::string &session);
	void record_violation(const std::string &text);

	cluster::Cluster &cluster_;
	history::History &history_;
	Options options_;
	std::atomic<bool> stopping_{false};
	std::mutex lock_; /* guards violations_ */
	std::vector<std::string> violations_;
	std::vector<std::thread> threads_;
};

/* Term of a group in a session token; 0 if the token has none. */
int64_t token_term(const std::string &token, const std::string &group);

/* Creates the table of orders. */
bool create_table(cluster::Cluster &c, const std::string &group = "orders");

/* Keys of all orders that a member stores. */
std::vector<std::string> stored_order_keys(cluster::Cluster &c,
					   const std::string &member);

/*
 * Waits until a group has one primary, the other members are replicas of its
 * term that have applied the same log, and a write succeeds. Then records in
 * the history which orders each member stores. Returns which condition was not
 * met in time, "" if all were.
 */
std::string wait_until_consistent(cluster::Cluster &c, history::History &h,
				  const std::string &group = "orders",
				  int ms = 20000);

/* The control instance that became leader last, according to the logs. */
std::string control_leader(cluster::Cluster &c, int controls = 3);

/* The member that a control instance promoted last, according to the logs;
 * sends no request to any process. */
std::string last_promoted_member(cluster::Cluster &c, int controls = 3);

/* Closes and refuses all connections to and from a process. */
void cut_all_links(cluster::Cluster &c, const std::string &name);

/* Value of a column in the row of SHOW BACKENDS or SHOW GROUPS that begins with
 * id, as a proxy reports it; "" if there is none. */
std::string shown_value(cluster::Cluster &c, const std::string &proxy,
			const std::string &table, const std::string &id,
			const std::string &column);

/* Joins the first lines for a report and tells how many more there are. */
std::string join(const std::vector<std::string> &lines);

} // namespace load

#endif
