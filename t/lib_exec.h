#ifndef LIB_EXEC_H
#define LIB_EXEC_H

/*
 * Library of the tests of exec (exec.h), which runs statements on backends. One
 * or two proxies' exec modules run inside the test process, in one event loop;
 * the backends are processes of the stand-in t/helper/backend and belong to one
 * group.
 */

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "lib_cluster.h"

/* exec.h gives a function and a struct the same name, as C allows. */
#pragma GCC diagnostic ignored "-Wshadow"

extern "C" {
#include "exec.h"
#include "peers.h"
#include "settings.h"
#include "view.h"
}

/* What exec passed to the sink of a request. */
struct Answer {
	std::string data; /* messages to the client, as on the wire */
	std::string text; /* of the end message */
	struct msg_end end = {};
	int ends = 0; /* number of on_end() calls */
	int64_t id = 0; /* request id of exec_start() */

	/* Values of the DataRow messages, columns joined by "|". */
	std::vector<std::string> rows() const;

	/* Types of the messages in order, such as "TDC". */
	std::string types() const;
};

/* The modules of a proxy that execute requests. */
struct Proxy {
	struct settings set = {};
	struct view *view = NULL;
	struct exec *exec = NULL;
	struct peers *peers = NULL;
};

/* Backends and one proxy, or two after add_proxy(). Requests are started at the
 * current proxy. */
class Deployment
{
      public:
	Deployment();
	~Deployment();

	/* Starts a backend with additional options and waits until it answers.
	 */
	void start(const char *id, const std::vector<std::string> &more = {});

	/* Kills a backend. */
	void stop(const char *id);

	/* Makes exec connect to a backend by another address, from the next
	 * change of the view on. */
	void set_backend_addr(const char *id, const std::string &addr);
	std::string addr(const char *id)
	{
		return addrs[id];
	}
	cluster::Process &process(const char *id)
	{
		return *processes[id];
	}

	/* Makes a backend the primary of a term and the others its replicas,
	 * and passes this to exec in a new view. */
	void make_primary(const char *id, int64_t term);

	/* Change the proxies' view without any change to the backends: the
	 * primary, its term and the term's first log position; the lease; and a
	 * backend that is about to leave. A lease of 0 also marks the group as
	 * changing its primary. */
	void set_view_primary(const char *id, int64_t term, int64_t start);
	void set_view_lease(clk_ms ms);
	void set_view_leaving(const char *id);

	/* Runs SQL directly on a backend; returns the first value, "error
	 * SQLSTATE" or "unreachable". */
	std::string sql(const char *id, const std::string &sql);

	/* Runs the event loop until the condition holds; false after 10 s. */
	bool run_event_loop_until(const std::function<bool()> &condition);

	/* Builds a request with the default limits. */
	struct msg_run request(int64_t kind, const char *backend,
			       const std::string &sql, int64_t flags = 0);

	/* Starts a request; run() also waits for its end. */
	Answer *start_request(const struct msg_run &run);
	Answer *run(int64_t kind, const char *backend, const std::string &sql,
		    int64_t flags = 0);
	Answer *run(const struct msg_run &run);

	/* Adds a second proxy, links the two, and makes the one that does not
	 * own the backend the current one. */
	void add_proxy(const char *backend);

	/* Closes the links of the current proxy. */
	void close_peer_links();

	cluster::TempDir dir;
	struct ev_loop *loop;
	struct settings &set; /* of the first proxy */
	struct view *view; /* of the current proxy */
	struct exec *exec; /* of the current proxy */
	Proxy *owner; /* the proxy that owns the backend */
	int slots = 5; /* of backends that start() starts */
	int connections = 30; /* likewise */

      private:
	void open_proxy(Proxy *p, const char *id);

	/* Passes a new version of the view to all proxies. */
	void update_views();
	Proxy proxies[2];
	int nproxies = 1;
	std::map<std::string, std::unique_ptr<cluster::Process>> processes;
	std::map<std::string, std::string> addrs;
	std::map<std::string, struct backend_info> backend_infos;
	struct group_info group = {};
	std::vector<struct term_start> term_starts;
	int64_t version = 0;
	clk_ms lease_ms = 600000;
	std::vector<Answer *> answers;
	std::vector<std::string *> sql_texts;
};

#endif
