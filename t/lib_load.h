#ifndef LIB_LOAD_H
#define LIB_LOAD_H

/*
 * Callers that write and read orders all the time, with a history of what they
 * saw, and helpers for tests that injure a deployment meanwhile.
 */

#include "lib_cluster.h"
#include "lib_history.h"

#include <atomic>
#include <random>
#include <thread>

namespace load
{

constexpr const char *TABLE = "placed";

struct Options {
	std::string group = "orders";
	std::vector<std::string> proxies = {"p1", "p2", "p3"};
	int callers = 8; /* every other one uses request ids */
	unsigned seed = 1;
	std::string settings; /* more settings of each session */
};

/*
 * Each caller is a session that moves between proxies with its token. A caller
 * with request ids sends an order again until it is answered; one without
 * never sends an order twice.
 */
class Load
{
      public:
	Load(cluster::Cluster &c, history::History &h, Options o);
	~Load();
	void stop();

	/* What no caller may see, such as a lost token. */
	std::vector<std::string> complaints();

      private:
	void run(int index);
	bool connect(cluster::Caller &c, const std::string &token,
		     std::mt19937 &rng);
	bool place(cluster::Caller &c, const std::string &session,
		   const std::string &key, bool once, std::string &token);
	void read(cluster::Caller &c, const std::string &session);
	void complain(const std::string &text);

	cluster::Cluster &cluster_;
	history::History &history_;
	Options options_;
	std::atomic<bool> stop_{false};
	std::mutex lock_;
	std::vector<std::string> complaints_;
	std::vector<std::thread> threads_;
};

/* Term of a group in the text of a token; 0 if it has none. */
int64_t term_in(const std::string &token, const std::string &group);

/* Creates the table of orders. */
bool create_table(cluster::Cluster &c, const std::string &group = "orders");

/* Keys of all orders that a member holds. */
std::vector<std::string> held(cluster::Cluster &c, const std::string &member);

/*
 * Waits until a group has one primary, the other members are replicas of its
 * term that have applied the same log, and a write succeeds. Then enters what
 * each member holds into the history. Returns what is wrong, "" if nothing.
 */
std::string settle(cluster::Cluster &c, history::History &h,
		   const std::string &group = "orders", int ms = 20000);

/* The control instance that became leader last. */
std::string control_leader(cluster::Cluster &c, int controls = 3);

/* The member that a control instance promoted last; asks no process. */
std::string promoted_last(cluster::Cluster &c, int controls = 3);

/* Closes and refuses all connections to and from a process. */
void cut_off(cluster::Cluster &c, const std::string &name);

/* A value of SHOW BACKENDS or SHOW GROUPS at a proxy. */
std::string show(cluster::Cluster &c, const std::string &proxy,
		 const std::string &table, const std::string &id,
		 const std::string &column);

std::string join(const std::vector<std::string> &lines);

} // namespace load

#endif
