#include "lib_exec.h"

#include <arpa/inet.h>
#include <ev.h>
#include <gtest/gtest.h>
#include <libpq-fe.h>
#include <string.h>
#include <sys/stat.h>

#define GROUP "orders"
#define PASSWORD "backend-password"

static uint32_t read_uint32(const std::string &s, size_t at)
{
	uint32_t v;

	memcpy(&v, s.data() + at, 4);
	return ntohl(v);
}

std::string Answer::types() const
{
	std::string out;

	for (size_t at = 0; at + 5 <= data.size();
	     at += 1 + read_uint32(data, at + 1))
		out += data[at];
	return out;
}

std::vector<std::string> Answer::rows() const
{
	std::vector<std::string> out;

	for (size_t at = 0; at + 5 <= data.size();
	     at += 1 + read_uint32(data, at + 1)) {
		std::string row;
		size_t p = at + 7;
		int n;

		if (data[at] != 'D')
			continue;
		n = (unsigned char)data[at + 5] << 8 |
		    (unsigned char)data[at + 6];
		for (int i = 0; i < n; i++) {
			uint32_t len = read_uint32(data, p);

			p += 4;
			row += i ? "|" : "";
			if (len == UINT32_MAX)
				continue;
			row += data.substr(p, len);
			p += len;
		}
		out.push_back(row);
	}
	return out;
}

void Deployment::open_proxy(Proxy *p, const char *id)
{
	struct settings &o = p->set;
	struct err e = ERR_INIT;
	struct peers_handler none = {};

	snprintf(o.id, sizeof(o.id), "%s", id);
	snprintf(o.zone, sizeof(o.zone), "z1");
	snprintf(o.link, sizeof(o.link), "%s", cluster::free_addr().c_str());
	snprintf(o.backend_password, sizeof(o.backend_password), PASSWORD);
	o.admission = true;
	o.short_first = true;
	o.poll_ms = 100;
	o.suspect_ms = 500;
	o.seed = 1;
	p->view = view_new(id, "z1");
	p->exec = exec_new(loop, &o, p->view);
	none.on_lists_from_peer = [](void *) {};
	EXPECT_EQ(RES_OK, peers_new(&p->peers, loop, &o, p->view, p->exec,
				    p - proxies + 1, &none, &e))
		<< e.text;
	exec_set_peers(p->exec, p->peers);
}

Deployment::Deployment() : set(proxies[0].set)
{
	loop = ev_loop_new(EVFLAG_AUTO);
	open_proxy(&proxies[0], "p1");
	view = proxies[0].view;
	exec = proxies[0].exec;
	owner = &proxies[0];
	snprintf(group.name, sizeof(group.name), GROUP);
}

Deployment::~Deployment()
{
	for (int i = 0; i < nproxies; i++) {
		peers_free(proxies[i].peers);
		exec_set_peers(proxies[i].exec, NULL);
		exec_free(proxies[i].exec);
		view_free(proxies[i].view);
	}
	ev_loop_destroy(loop);
	for (Answer *a : answers)
		delete a;
	for (std::string *s : sql_texts)
		delete s;
}

void Deployment::add_proxy(const char *backend)
{
	open_proxy(&proxies[1], "p2");
	nproxies = 2;
	update_views();
	EXPECT_TRUE(run_event_loop_until([&] {
		return peers_count_up(proxies[0].peers) +
			       peers_count_up(proxies[1].peers) ==
		       2;
	}));
	std::string id = view_backend_owner(view, view_backend(view, backend));
	Proxy *origin = id == "p1" ? &proxies[1] : &proxies[0];
	owner = id == "p1" ? &proxies[0] : &proxies[1];
	view = origin->view;
	exec = origin->exec;
}

void Deployment::close_peer_links()
{
	Proxy *origin = owner == proxies ? &proxies[1] : &proxies[0];

	peers_free(origin->peers);
	origin->peers = NULL;
	exec_set_peers(exec, NULL);
}

void Deployment::start(const char *id, const std::vector<std::string> &more)
{
	struct backend_info b = {};
	std::string data = dir.path() + "/" + id;
	std::vector<std::string> args = {cluster::program("helper/backend"),
					 "--id",
					 id,
					 "--group",
					 GROUP,
					 "--password",
					 PASSWORD,
					 "--data",
					 data,
					 "--slots",
					 std::to_string(slots),
					 "--connections",
					 std::to_string(connections),
					 "--listen"};

	if (addrs[id].empty())
		addrs[id] = cluster::free_addr();
	args.push_back(addrs[id]);
	args.insert(args.end(), more.begin(), more.end());
	mkdir(data.c_str(), 0700);
	processes[id].reset(new cluster::Process(id, args, data + ".log"));
	processes[id]->start();
	snprintf(b.id, sizeof(b.id), "%s", id);
	snprintf(b.group, sizeof(b.group), GROUP);
	snprintf(b.zone, sizeof(b.zone), "z1");
	snprintf(b.addr, sizeof(b.addr), "%s", addrs[id].c_str());
	b.slots = slots;
	b.connection_limit = connections;
	backend_infos[id] = b;
	EXPECT_TRUE(run_event_loop_until([&] {
		return sql(id, "SELECT 1") == "1";
	})) << id;
}

void Deployment::set_backend_addr(const char *id, const std::string &addr)
{
	snprintf(backend_infos[id].addr, sizeof(backend_infos[id].addr), "%s",
		 addr.c_str());
}

void Deployment::stop(const char *id)
{
	processes.erase(id);
}

std::string Deployment::sql(const char *id, const std::string &text)
{
	std::string port = addrs[id].substr(addrs[id].find(':') + 1);
	std::string conninfo =
		"hostaddr=127.0.0.1 user=marjoramlatch password=" PASSWORD
		" dbname=" GROUP " sslmode=disable port=" +
		port;
	PGconn *c = PQconnectdb(conninfo.c_str());
	PGresult *r = PQexec(c, text.c_str());
	const char *state = PQresultErrorField(r, PG_DIAG_SQLSTATE);
	std::string out;

	if (PQstatus(c) != CONNECTION_OK)
		out = "unreachable";
	else if (PQresultStatus(r) == PGRES_TUPLES_OK)
		out = PQntuples(r) ? PQgetvalue(r, 0, 0) : "";
	else
		out = state ? std::string("error ") + state : "";
	PQclear(r);
	PQfinish(c);
	return out;
}

void Deployment::update_views()
{
	std::vector<struct backend_info> backends;
	struct proxy_info proxy_infos[2] = {};
	struct msg_answer a = {};

	version++;
	for (auto &i : backend_infos) {
		i.second.version = version;
		backends.push_back(i.second);
	}
	for (int i = 0; i < nproxies; i++) {
		struct proxy_info *p = &proxy_infos[i];

		snprintf(p->id, sizeof(p->id), "%s", proxies[i].set.id);
		snprintf(p->zone, sizeof(p->zone), "z1");
		snprintf(p->addr, sizeof(p->addr), "%s", proxies[i].set.link);
		p->alive = true;
		p->version = version;
	}
	group.version = version;
	group.term_starts = term_starts.data();
	group.nterm_starts = (int64_t)term_starts.size();
	a.view_version = version;
	a.lease_ms = lease_ms;
	a.groups = &group;
	a.ngroups = 1;
	a.backends = backends.data();
	a.nbackends = (int64_t)backends.size();
	a.proxies = proxy_infos;
	a.nproxies = nproxies;
	for (int i = 0; i < nproxies; i++) {
		view_apply_answer(proxies[i].view, &a, clk_now());
		peers_view_changed(proxies[i].peers);
		exec_view_changed(proxies[i].exec);
	}
}

void Deployment::make_primary(const char *id, int64_t term)
{
	std::string t = std::to_string(term);
	std::string start = sql(id, "SELECT marjoramlatch_promote(" + t + ")");

	for (auto &p : processes) {
		if (p.first == id)
			continue;
		EXPECT_EQ("ok", sql(p.first.c_str(),
				    "SELECT marjoramlatch_follow(" + t + ", '" +
					    addrs[id] + "')"));
	}
	set_view_primary(id, term, atoll(start.c_str()));
}

void Deployment::set_view_primary(const char *id, int64_t term, int64_t start)
{
	group.term = term;
	snprintf(group.primary, sizeof(group.primary), "%s", id);
	term_starts.push_back({.term = term, .start_position = start});
	update_views();
}

/* The new view replaces the old one, so the lease can also become shorter. */
void Deployment::set_view_lease(clk_ms ms)
{
	struct msg_answer a = {};
	struct name_entry changing = {GROUP};

	a.lease_ms = 600000;
	if (!ms) {
		a.changing_groups = &changing;
		a.nchanging_groups = 1;
	}
	for (int i = 0; i < nproxies; i++)
		view_apply_answer(proxies[i].view, &a, clk_now() + 1);
}

void Deployment::set_view_leaving(const char *id)
{
	backend_infos[id].leaving = true;
	update_views();
}

static void on_wake(struct ev_loop *, ev_timer *, int)
{
}

bool Deployment::run_event_loop_until(const std::function<bool()> &condition)
{
	clk_ms end = clk_now() + 10000;
	ev_timer wake;
	bool met;

	ev_timer_init(&wake, on_wake, 0.005, 0.005);
	ev_timer_start(loop, &wake);
	while (!(met = condition()) && clk_now() < end)
		ev_run(loop, EVRUN_ONCE);
	ev_timer_stop(loop, &wake);
	return met;
}

struct msg_run Deployment::request(int64_t kind, const char *backend,
				   const std::string &text, int64_t flags)
{
	struct msg_run run = {};

	sql_texts.push_back(new std::string(text));
	run.kind = kind;
	run.flags = flags;
	snprintf(run.group, sizeof(run.group), GROUP);
	snprintf(run.backend, sizeof(run.backend), "%s", backend);
	snprintf(run.customer, sizeof(run.customer), "shop");
	run.weight = 1;
	run.term = group.term;
	run.max_age_ms = -1;
	run.wait_limit_ms = 5000;
	run.answer_timeout_ms = 9000;
	run.fingerprint = (int64_t)std::hash<std::string>()(text);
	run.sql = {sql_texts.back()->data(), sql_texts.back()->size()};
	return run;
}

static void on_data(void *arg, const char *bytes, size_t len)
{
	((Answer *)arg)->data.append(bytes, len);
}

static void on_end(void *arg, const struct msg_end *end)
{
	Answer *a = (Answer *)arg;

	a->end = *end;
	a->text.assign(end->text.data, end->text.len);
	a->ends++;
}

Answer *Deployment::start_request(const struct msg_run &run)
{
	struct exec_sink sink = {};
	Answer *a = new Answer;

	answers.push_back(a);
	sink.arg = a;
	sink.on_data = on_data;
	sink.on_end = on_end;
	a->id = exec_start(exec, &run, &sink);
	EXPECT_EQ(0, a->ends) << "on_end was called from inside exec_start()";
	return a;
}

Answer *Deployment::run(const struct msg_run &r)
{
	Answer *a = start_request(r);

	EXPECT_TRUE(run_event_loop_until([&] { return a->ends > 0; }));
	return a;
}

Answer *Deployment::run(int64_t kind, const char *backend,
			const std::string &text, int64_t flags)
{
	return run(request(kind, backend, text, flags));
}
