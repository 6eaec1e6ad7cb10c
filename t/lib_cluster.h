#ifndef LIB_CLUSTER_H
#define LIB_CLUSTER_H

/*
 * Library of the system tests. It starts and ends processes, hands out free
 * ports, injects network faults through a relay, connects as a client through
 * libpq, and runs whole deployments on loopback.
 *
 * The environment variable BUILD names the directory of the programs (default
 * build/release). Processes must be started from the main thread, because the
 * kernel kills them when the thread that started them ends.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <libpq-fe.h>
#include <sys/types.h>

namespace cluster
{

/* Path of a program in the build directory. */
std::string program(const std::string &name);

struct ShellResult {
	int status; /* exit status, -1 if a signal ended it */
	std::string out; /* standard output */
};

/* Runs a shell command and waits until it ends. */
ShellResult shell(const std::string &command);

/* Monotonic clock. */
int64_t now_ms();

/* Calls f every step_ms until it returns true; returns false after ms. */
bool wait_until(int ms, const std::function<bool()> &f, int step_ms = 10);

/* "127.0.0.1:port" with a free port that no other test program is given. */
std::string free_addr();

/* A temporary directory, which the destructor removes unless the environment
 * variable KEEP is set. */
class TempDir
{
      public:
	TempDir();
	~TempDir();
	const std::string &path() const
	{
		return path_;
	}

	/* Writes a file that only the owner may read; returns its path. */
	std::string write(const std::string &name, const std::string &text);

      private:
	std::string path_;
};

/*
 * A process that a test starts, ends and restarts. The destructor kills it, and
 * fails the test if the process ended without being told to or if a sanitizer
 * reported an error in its log.
 */
class Process
{
      public:
	/* Standard output and standard error are appended to the file log. */
	Process(std::string name, std::vector<std::string> argv,
		std::string log);
	~Process();
	Process(const Process &) = delete;

	/* Starts or restarts the program; on_pid is called before the program
	 * is executed. */
	void start(const std::function<void(pid_t)> &on_pid = nullptr);
	/* Sends SIGKILL and waits until the process has ended. */
	void kill();

	/* Both send SIGTERM and do not wait. */
	void terminate();
	void send_sigterm();

	/* Suspends the process by SIGSTOP; resumes it by SIGCONT. */
	void suspend_process();
	void resume_process();
	bool running();

	/* The exit status or signal that the process ended with; "" if it
	 * runs, was not started, or was told to end by kill(), terminate() or
	 * send_sigterm(). */
	std::string unexpected_end();

	/* Waits for the end. Returns the exit status, 128 + the signal, or -1
	 * if the process still runs after ms. */
	int wait(int ms);
	pid_t pid() const
	{
		return pid_;
	}
	const std::string &name() const
	{
		return name_;
	}
	std::vector<std::string> &argv()
	{
		return argv_;
	}

	/* Contents of the log file. */
	std::string log() const;

      private:
	/* Fetches the exit status if the process has ended; returns false while
	 * it runs. */
	bool reap();
	std::string name_;
	std::vector<std::string> argv_;
	std::string log_;
	pid_t pid_ = -1;
	int status_ = -1;
	/* Whether the test told the process to end; also true before the first
	 * start. */
	bool end_requested_ = true;
};

/* The relay process, which forwards connections and injects network faults.
 * t/helper/relay.c describes its commands. */
class Relay
{
      public:
	explicit Relay(const TempDir &dir);

	/* Adds a route to an address; returns the address that the relay
	 * listens on for it. */
	std::string add(const std::string &name, const std::string &target);

	/* Sends a command; throws if the relay does not answer "ok". */
	void command(const std::string &line);
	Process &process()
	{
		return process_;
	}

      private:
	std::string control_addr_;
	Process process_;
	int fd_ = -1;
};

/* Result of a statement. */
struct Result {
	bool ok = false;
	bool connection_failed = false; /* the connection failed or timed out */
	std::string sqlstate;
	std::string message;
	std::string detail;
	std::string statement_tag; /* command tag, such as INSERT 0 1 */
	std::vector<std::string> names; /* of the columns */
	std::vector<std::vector<std::string>> rows; /* NULL is "" */
	int64_t ms = 0; /* time until the result was complete */

	/* Value of the first row by column number or name; "" if there is
	 * none. */
	std::string value(size_t col = 0) const;
	std::string value(const std::string &name) const;

	/* The same as a number; INT64_MIN if there is none. */
	int64_t number(const std::string &name) const;
};

/* A client connection through libpq; every wait has a timeout. */
class Caller
{
      public:
	Caller() = default;
	~Caller();
	Caller(Caller &&other) noexcept;
	Caller &operator=(Caller &&other) noexcept;

	bool connect(const std::string &addr, const std::string &user,
		     const std::string &password, const std::string &database,
		     const std::string &options = "", int ms = 5000);
	Result exec(const std::string &sql, int ms = 10000);
	Result exec(const std::string &sql,
		    const std::vector<std::string> &params, int ms = 10000);

	/* Last value that the server reported of a parameter. */
	std::string parameter(const std::string &name) const;
	bool connected() const;
	void close();

	/* Sends a cancel request for the statement that is running. */
	bool cancel();
	PGconn *raw()
	{
		return conn_;
	}

	/* Why connect() failed. */
	const std::string &error() const
	{
		return error_;
	}

      private:
	/* Reads the results of a statement; sent tells whether libpq accepted
	 * it. */
	Result read_results(bool sent, int ms);
	PGconn *conn_ = nullptr;
	std::string error_;
};

/* A replication group of stand-in database servers (t/helper/backend); the
 * fields from slots on are options of each server. */
struct GroupSpec {
	std::string name = "orders";
	int members = 3;
	int slots = 5; /* statements that a server runs at a time */
	int connections = 30;
	int login_delay_ms = 10; /* delay of each login */
	int statement_time_us = 200; /* time that a statement holds its slot */
	int log_send_delay_ms =
		0; /* delay before the primary sends a log entry */
	int log_apply_delay_ms =
		0; /* delay before a replica applies a log entry */
};

/* What a Cluster consists of. Processes are assigned to the zones in turn. */
struct Spec {
	int proxies = 3;
	int controls = 3;
	std::vector<std::string> zones = {"za", "zb", "zc"};
	std::vector<GroupSpec> groups = {GroupSpec()};
	bool relay = false; /* whether the links pass through a Relay */
	/* Additional keys of the settings files; the values are JSON text. */
	std::map<std::string, std::string> settings;
	/* Configuration lists that start() applies; default_lists() if empty.
	 */
	std::string lists;
};

/* Lists with the plan "standard" and the customer "shop", whose password is
 * "shop-password". */
std::string default_lists();

/* JSON text of an entry of the list of customers. */
std::string customer_json(const std::string &name, const std::string &plan,
			  const std::string &password);

/*
 * A deployment on loopback. Proxies are named p1, p2, ..., control instances
 * c1, c2, ..., and the members (database servers) of a group GROUP-1, GROUP-2,
 * .... The relay uses the same names for routes and sources. The links that
 * other proxies open to p1 take the route p1-link.
 */
class Cluster
{
      public:
	explicit Cluster(Spec spec);

	/* Prints the last part of each log if the test has failed. */
	~Cluster();

	/* Starts all processes, applies the lists and waits until each group
	 * accepts a write and each proxy serves a read. */
	bool start(int ms = 20000);

	/* Starts only the members, for tests of the stand-in server itself. */
	void start_members();

	/* Starts one process and tells the relay its name. */
	void start(const std::string &name);

	/* Kills a process and empties its data directory. */
	void kill_and_delete_data(const std::string &name);

	Process &process(const std::string &name);
	Relay &relay()
	{
		return *relay_;
	}

	/* Sends a command to the relay. */
	void relay_command(const std::string &command)
	{
		relay_->command(command);
	}
	std::string zone_of(const std::string &name) const;

	/* Cuts every link between the processes of a zone and those of other
	 * zones, in both directions. The test's own connections still reach
	 * all processes. */
	void cut_zone(const std::string &zone);

	/* The address that a process listens on, and the one to connect to,
	 * which is the relay's if there is a relay. */
	std::string listen_addr_of(const std::string &name) const;
	std::string addr(const std::string &name) const;
	std::string data(const std::string &name) const;
	std::vector<std::string> members(const std::string &group) const;
	const TempDir &dir() const
	{
		return dir_;
	}

	/* Connects as a customer. */
	Caller customer(const std::string &proxy, const std::string &group,
			const std::string &options = "",
			const std::string &name = "shop");

	/* Connects to the admin database as the operator. */
	Caller admin(const std::string &proxy);

	/* Connects directly to a member, without relay and proxy. */
	Caller member(const std::string &id);

	/* Applies configuration lists that are based on version base; without a
	 * request_id a new one is used. */
	Result apply(const std::string &proxy, const std::string &lists,
		     int64_t base, const std::string &request_id = "");

	/* The member that reports that it is the primary; "" if none or more
	 * than one does. */
	std::string primary(const std::string &group);

	/* Promotes a member for a term and makes the others replicate from it,
	 * as the control instances would. */
	bool promote(const std::string &id, int64_t term);

      private:
	struct Node {
		std::string zone;
		std::string listen_addr;
		std::string connect_addr; /* the relay's if there is one */
		std::string data;
		std::string link_listen_addr; /* of a proxy */
		std::string link_connect_addr;
		std::string group; /* of a member */
		std::unique_ptr<Process> process;
	};
	Node &add(const std::string &name, const std::string &zone);
	void add_process(const std::string &name,
			 std::vector<std::string> argv);
	void add_daemon(const std::string &name, bool proxy);
	void add_member(const GroupSpec &g, int index);
	std::string settings(const std::string &name, bool proxy) const;
	bool wait_ready(int ms);

	Spec spec_;
	TempDir dir_;
	std::unique_ptr<Relay> relay_;
	std::map<std::string, Node> nodes_;
};

constexpr const char *BACKEND_PASSWORD = "backend-password";
constexpr const char *OPERATOR_PASSWORD = "operator-password";

} // namespace cluster

#endif
