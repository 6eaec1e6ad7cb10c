#include <gtest/gtest.h>

#include <fcntl.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

/* In exec.h a function has the same name as a struct. C allows this, but the
 * C++ compiler warns about it. */
#pragma GCC diagnostic ignored "-Wshadow"

extern "C" {
#include "caller.h"
#include "exec.h"
#include "filter.h"
#include "quota.h"
#include "request.h"
#include "settings.h"
#include "view.h"
}

#include <ev.h>

static std::string be32(uint32_t v)
{
	return {(char)(v >> 24), (char)(v >> 16), (char)(v >> 8), (char)v};
}

static std::string be16(uint16_t v)
{
	return {(char)(v >> 8), (char)v};
}

static std::string cstring(const std::string &s)
{
	return s + std::string(1, '\0');
}

/* Encodes a message of the PostgreSQL protocol: its type, length and body.
 * Startup messages have no type byte; type 0 stands for them. */
static std::string message(char type, const std::string &body)
{
	std::string out = be32((uint32_t)body.size() + 4) + body;

	return type ? std::string(1, type) + out : out;
}

static std::string startup(const std::string &pairs)
{
	return message(0, be32(196608) + pairs + std::string(1, '\0'));
}

static std::string query(const std::string &sql)
{
	return message('Q', cstring(sql));
}

static std::string parse(const std::string &name, const std::string &sql)
{
	return message('P', cstring(name) + cstring(sql) + be16(0));
}

static std::string bind(const std::string &portal, const std::string &name)
{
	return message('B', cstring(portal) + cstring(name) + be16(0) +
				    be16(0) + be16(0));
}

static std::string execute(const std::string &portal, uint32_t limit = 0)
{
	return message('E', cstring(portal) + be32(limit));
}

static const std::string sync_message = message('S', "");

/* Sends protocol bytes to a proxy without backend servers on one client
 * connection. Such a connection is a "caller" in caller.h. */
struct CallerBytes : testing::Test {
	struct ev_loop *loop = ev_loop_new(0);
	struct settings set = {};
	struct view *view = view_new("p1", "za");
	struct quota_client *quota = quota_client_new();
	struct exec *exec = nullptr;
	struct flt *flt = nullptr;
	struct req_engine *req = nullptr;
	struct callers *callers = nullptr;
	int fd = -1;
	std::string received;
	bool closed = false;

	void SetUp() override
	{
		set.max_callers = 10;
		set.ask_ms = 400;
		set.poll_ms = 100;
		set.suspect_ms = 500;
		set.admission = true;
		snprintf(set.id, sizeof(set.id), "p1");
		snprintf(set.zone, sizeof(set.zone), "za");
		exec = exec_new(loop, &set, view);
		flt = flt_new(&set, view, quota, 1);
		req = req_new(loop, flt, exec);
		struct callers_config cfg = {.loop = loop,
					     .set = &set,
					     .view = view,
					     .request_engine = req};
		callers = callers_new(&cfg);
		load_lists_and_quota();
		connect();
	}
	void TearDown() override
	{
		close(fd);
		callers_free(callers);
		req_free(req);
		exec_free(exec);
		flt_free(flt);
		quota_client_free(quota);
		view_free(view);
		ev_loop_destroy(loop);
	}
	void load_lists_and_quota()
	{
		char hash[LST_HASH_LEN];
		struct msg_answer a = {};
		struct group_info g = {};

		ASSERT_EQ(RES_OK, lst_hash_password("secret", hash, NULL));
		std::string text =
			"{\"plans\": [{\"name\": \"p\", \"connections\": 5, "
			"\"max_age_ms\": 1000, \"max_wait_ms\": 30}], "
			"\"customers\": [{\"name\": \"shop\", \"plan\": \"p\", "
			"\"databases\": [\"orders\", \"ghost\"], "
			"\"password_hash\": \"" +
			std::string(hash) + "\"}]}";
		struct err e = {};
		struct lists *l = lst_parse(text.data(), text.size(), 1, &e);
		ASSERT_TRUE(l) << e.text;
		view_set_lists(view, l);
		lst_unref(l);
		snprintf(g.name, sizeof(g.name), "orders");
		g.version = 1;
		a.groups = &g;
		a.ngroups = 1;
		a.view_version = 1;
		view_apply_answer(view, &a, clk_now());
		/* Grant quota units, so that requests are refused because there
		 * is no backend server and not because of the quota. */
		struct quota_grant grant = {};
		snprintf(grant.customer, sizeof(grant.customer), "shop");
		grant.units = 5;
		a.grants = &grant;
		a.ngrants = 1;
		a.grant_ms = 600000;
		a.answer_seq = 1;
		quota_client_apply_answer(quota, &a, clk_now());
	}
	void connect()
	{
		int pair[2];

		if (fd >= 0)
			close(fd);
		ASSERT_EQ(0, socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0,
					pair));
		fd = pair[0];
		received.clear();
		closed = false;
		callers_accept(callers, pair[1]);
	}
	void receive()
	{
		char buf[4096];
		ssize_t n;

		ev_run(loop, EVRUN_NOWAIT);
		while ((n = read(fd, buf, sizeof(buf))) > 0)
			received.append(buf, (size_t)n);
		closed |= n == 0;
	}
	/* Returns the type bytes of the complete messages in received. */
	std::string response_types() const
	{
		std::string out;

		for (size_t at = 0; at + 5 <= received.size();) {
			const unsigned char *p =
				(const unsigned char *)received.data() + at;

			out += received[at];
			at += 1 + ((size_t)p[1] << 24 | (size_t)p[2] << 16 |
				   (size_t)p[3] << 8 | p[4]);
		}
		return out;
	}
	/* Sends bytes, in pieces of step bytes unless step is 0, and receives
	 * until a message of last_type arrives, the connection is closed or
	 * 5 s have passed. Returns the types of the received messages. */
	std::string send(const std::string &bytes, char last_type,
			 size_t step = 0)
	{
		clk_ms until = clk_now() + 5000;

		received.clear();
		for (size_t at = 0; at < bytes.size();) {
			size_t n = step ? step : bytes.size();

			n = std::min(n, bytes.size() - at);
			EXPECT_EQ((ssize_t)n, write(fd, bytes.data() + at, n));
			at += n;
			receive();
		}
		while (!closed &&
		       response_types().find(last_type) == std::string::npos &&
		       clk_now() < until)
			receive();
		return response_types();
	}
	void login(const std::string &more = "", size_t step = 0)
	{
		send(startup(cstring("user") + cstring("shop") +
			     cstring("database") + cstring("orders") + more),
		     'R', step);
		std::string got =
			send(message('p', cstring("secret")), 'Z', step);
		ASSERT_EQ('R', got[0]) << received;
		ASSERT_NE(std::string::npos, got.find("KZ"));
	}
	bool response_contains(const std::string &text) const
	{
		return received.find(text) != std::string::npos;
	}
};

TEST_F(CallerBytes, LoginInPiecesOfAnySize)
{
	for (size_t step : {0, 1, 3, 7}) {
		connect();
		if (step % 2 == 0) {
			ASSERT_EQ(8,
				  write(fd, message(0, be32(80877103)).data(),
					8));
			for (int i = 0; i < 1000 && received.empty(); i++)
				receive();
			EXPECT_EQ("N", received);
		}
		login("", step);
		EXPECT_TRUE(response_contains("server_version"));
		EXPECT_EQ("IZ", send(query(""), 'Z', step));
	}
	EXPECT_EQ(1u, callers_count(callers));
}

/* Guards against a malformed startup message that affects more than its own
 * connection. */
TEST_F(CallerBytes, MalformedStartupsAreRefused)
{
	const std::pair<std::string, std::string> cases[] = {
		{be32(4), "08P01"},
		{be32(0xffffffff), "08P01"},
		{be32(1 << 20), "08P01"},
		{message(0, be32(131072) + cstring("")), "0A000"},
		{message(0, be32(196608) + "user"), "08P01"},
		{startup(cstring("user")), "08P01"},
		{startup(""), "28P01"},
		{startup(cstring("user") + cstring("shop") +
			 cstring("replication") + cstring("true")),
		 "0A000"},
		{startup(cstring("user") + cstring("shop") +
			 cstring("client_encoding") + cstring("LATIN1")),
		 "22023"},
		{startup(cstring("user") + cstring("shop") +
			 cstring("options") + cstring("-c search_path=x")),
		 "22023"},
		{startup(cstring("user") + cstring(std::string(40, 'x'))),
		 "28P01"}};

	for (const auto &c : cases) {
		connect();
		EXPECT_EQ("E", send(c.first, 'Z')) << c.second;
		EXPECT_TRUE(response_contains(c.second))
			<< c.second << " in " << received;
		EXPECT_TRUE(closed);
	}
	connect();
	EXPECT_EQ("",
		  send(message(0, be32(80877102) + be32(1) + be32(2)), 'Z'));
	EXPECT_TRUE(closed);
	connect();
	login();
}

TEST_F(CallerBytes, WrongPasswordOrDatabase)
{
	send(startup(cstring("user") + cstring("shop") + cstring("database") +
		     cstring("orders")),
	     'R');
	send(message('p', cstring("wrong")), 'Z');
	EXPECT_TRUE(response_contains("28P01") && closed);
	for (const char *db : {"tickets", "ghost", "marjoramlatch"}) {
		connect();
		send(startup(cstring("user") + cstring("shop") +
			     cstring("database") + cstring(db)),
		     'R');
		send(message('p', cstring("secret")), 'Z');
		EXPECT_TRUE(response_contains("3D000") && closed) << db;
	}
	for (const std::string &bad :
	     {query("SELECT 1"),
	      "p" + be32(1 << 20) + std::string(20000, 'x')}) {
		connect();
		send(startup(cstring("user") + cstring("shop") +
			     cstring("database") + cstring("orders")),
		     'R');
		send(bad, 'Z');
		EXPECT_TRUE(response_contains("08P01") && closed);
	}
}

TEST_F(CallerBytes, RefusalsLeaveTheSessionUsable)
{
	login();
	for (const char *sql : {"COPY t FROM STDIN", "IDENTIFY_SYSTEM",
				"PREPARE TRANSACTION 'a'", "BEGIN; COMMIT"}) {
		EXPECT_EQ("EZ", send(query(sql), 'Z')) << sql;
		EXPECT_TRUE(response_contains("0A000") &&
			    response_contains("was not run"))
			<< sql;
	}
	EXPECT_EQ("EZ", send(query("SELEKT"), 'Z'));
	EXPECT_TRUE(response_contains("42601"));
	EXPECT_EQ("EZ", send(query("SELECT 1"), 'Z'));
	EXPECT_TRUE(response_contains("57P03") &&
		    response_contains("The request was not run."))
		<< received;
	EXPECT_EQ("CSZ",
		  send(query("SET marjoramlatch.session = 'orders/1/2'"), 'Z'));
	EXPECT_EQ("TDCZ", send(query("SHOW marjoramlatch.session"), 'Z'));
	EXPECT_TRUE(response_contains("orders/1/2"));
	EXPECT_EQ("NCZ", send(query("COMMIT"), 'Z'));
	EXPECT_FALSE(closed);
}

TEST_F(CallerBytes, ExtendedQueries)
{
	login();
	EXPECT_EQ("12TDCZ",
		  send(parse("", "SHOW marjoramlatch.max_age_ms") +
			       bind("", "") + message('D', cstring("P")) +
			       execute("") + sync_message,
		       'Z', 5));
	EXPECT_EQ("1tTZ",
		  send(parse("s", "SHOW marjoramlatch.session") +
			       message('D', cstring("Ss")) + sync_message,
		       'Z'));
	/* A portal that is described but never executed. */
	EXPECT_EQ("2T3Z",
		  send(bind("p", "s") + message('D', cstring("Pp")) +
			       message('C', cstring("Pp")) + sync_message,
		       'Z'));
	EXPECT_EQ("2DCEZ", send(bind("p", "s") + execute("p") + execute("p") +
					execute("p") + sync_message,
				'Z'));
	EXPECT_TRUE(response_contains("55000"));
	EXPECT_EQ("EZ",
		  send(bind("", "none") + execute("") + sync_message, 'Z'));
	EXPECT_EQ("EZ", send(parse("s", "SELECT 1") + sync_message, 'Z'));
	EXPECT_EQ("EZ",
		  send(parse("", "SELECT 1; SELECT 2") + sync_message, 'Z'));
	EXPECT_EQ("3Z", send(message('C', cstring("Ss")) + sync_message, 'Z'));
	EXPECT_EQ("EZ", send(bind("", "s") + sync_message, 'Z'));
}

/* Guards against executing later messages of a pipeline after one of them
 * failed: everything up to Sync must be skipped. */
TEST_F(CallerBytes, EverythingIsSkippedUntilSync)
{
	login();
	std::string set = parse("", "SET marjoramlatch.max_age_ms = 7") +
			  bind("", "") + execute("");

	EXPECT_EQ("12EZ", send(parse("", "SELECT 1") + bind("", "") +
				       execute("") + set + sync_message,
			       'Z'));
	send(query("SHOW marjoramlatch.max_age_ms"), 'Z');
	EXPECT_TRUE(response_contains("plan")) << received;
	EXPECT_EQ("12CZ", send(set + sync_message, 'Z'));
	send(query("SHOW marjoramlatch.max_age_ms"), 'Z');
	EXPECT_FALSE(response_contains("plan"));
}

TEST_F(CallerBytes, MalformedMessagesCloseTheConnection)
{
	const std::string cases[] = {"?",
				     message('Q', "no end"),
				     message('P', "x"),
				     message('B', cstring("")),
				     message('D', cstring("X")),
				     message('p', ""),
				     "Q" + be32(3),
				     "Q" + be32(0x7fffffff)};

	for (const auto &bytes : cases) {
		connect();
		login();
		EXPECT_EQ("E", send(bytes + sync_message, 'Z'));
		EXPECT_TRUE(response_contains("08P01") && closed) << bytes;
	}
}

TEST_F(CallerBytes, TooManyCallersAndStop)
{
	login();
	set.max_callers = 1;
	int first = fd;
	fd = -1;
	connect();
	send(startup(cstring("user") + cstring("shop")), 'Z');
	EXPECT_TRUE(response_contains("53300") && closed);
	close(fd);
	fd = first;
	closed = false;
	callers_start_stop(callers);
	send("", 'Z');
	EXPECT_TRUE(response_contains("57P01") && closed);
	EXPECT_EQ(0u, callers_count_busy(callers));
}
