#ifndef LIB_EXEC_H
#define LIB_EXEC_H

/* An exec inside the test process, with backend servers as processes. */

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lib_cluster.h"

/* exec.h names a function like a struct, as C allows. */
#pragma GCC diagnostic ignored "-Wshadow"

extern "C" {
#include "exec.h"
#include "peers.h"
#include "settings.h"
#include "view.h"
}

/* What a request's sink received. */
struct Answer {
	std::string data;
	std::string text;
	struct msg_end end = {};
	int ends = 0;
	int64_t id = 0;

	/* Values of the DataRow messages, columns joined by "|". */
	std::vector<std::string> rows() const;

	/* Types of the messages in order, such as "TDC". */
	std::string types() const;
};

struct Proxy {
	struct settings set = {};
	struct view *view = NULL;
	struct exec *exec = NULL;
	struct peers *peers = NULL;
};

class Deployment
{
      public:
	Deployment();
	~Deployment();

	void start(const char *id, const std::vector<std::string> &more = {});
	void stop(const char *id);

	/* Lets exec reach a server by another address. */
	void reach_by(const char *id, const std::string &addr);
	std::string addr(const char *id)
	{
		return addrs[id];
	}
	cluster::Process &process(const char *id)
	{
		return *processes[id];
	}

	/* Makes one server lead a term and the others follow it, and tells
	 * exec. */
	void lead(const char *id, int64_t term);

	/* Changes what exec's proxy knows without the servers. */
	void view_term(const char *id, int64_t term, int64_t start);
	void lease(clk_ms ms);
	void leaving(const char *id);

	/* Runs SQL directly on a server; the first value or "error STATE". */
	std::string sql(const char *id, const std::string &sql);

	/* Runs the loop until the condition holds; false after 10 s. */
	bool until(const std::function<bool()> &condition);

	struct msg_run request(int64_t kind, const char *backend,
			       const std::string &sql, int64_t flags = 0);
	Answer *begin(const struct msg_run &run);
	Answer *run(int64_t kind, const char *backend, const std::string &sql,
		    int64_t flags = 0);
	Answer *run(const struct msg_run &run);

	/* Adds a second proxy with links between the two and makes the one
	 * that does not own the server the current one. */
	void add_proxy(const char *backend);

	/* Closes the links of the current proxy. */
	void break_links();

	cluster::TempDir dir;
	struct ev_loop *loop;
	struct settings &set; /* of the first proxy */
	struct view *view; /* of the current proxy, like exec */
	struct exec *exec;
	Proxy *owner; /* the other one */
	int slots = 5; /* of servers that are started */
	int connections = 30;

      private:
	void open_proxy(Proxy *p, const char *id);
	void tell();
	Proxy proxies[2];
	int nproxies = 1;
	std::map<std::string, std::unique_ptr<cluster::Process>> processes;
	std::map<std::string, std::string> addrs;
	std::map<std::string, struct backend_info> infos;
	struct group_info group = {};
	std::vector<struct term_start> starts;
	int64_t version = 0;
	clk_ms lease_ms = 600000;
	std::vector<Answer *> answers;
	std::vector<std::string *> texts;
};

#endif
