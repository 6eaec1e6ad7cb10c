#include "lib_cluster.h"

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <cstring>
#include <fstream>
#include <memory>
#include <sys/socket.h>
#include <unistd.h>

using namespace cluster;

namespace
{

/* One deployment for all tests of this program. */
class SysCaller : public testing::Test
{
      protected:
	static std::unique_ptr<Cluster> c;

	static void SetUpTestSuite()
	{
		Spec spec;

		spec.proxies = 2;
		spec.controls = 1;
		spec.lists =
			"{\"plans\": [{\"name\": \"standard\", "
			"\"connections\": 30, \"max_age_ms\": 5000, "
			"\"max_wait_ms\": 5000}, {\"name\": \"one\", "
			"\"connections\": 1, \"max_age_ms\": 5000, "
			"\"max_wait_ms\": 5000}], \"customers\": [" +
			customer_json("shop", "standard", "shop-password") +
			", " + customer_json("tiny", "one", "tiny-password") +
			"]}\n";
		c = std::make_unique<Cluster>(spec);
		ASSERT_TRUE(c->start());
	}
	static void TearDownTestSuite()
	{
		c.reset();
	}
	void SetUp() override
	{
		ASSERT_TRUE(a.connect(c->addr("p1"), "shop", "shop-password",
				      "orders"))
			<< a.error();
	}
	void create_table(const std::string &name)
	{
		Result r = a.exec("CREATE TABLE " + name + " (a int, b text)");

		ASSERT_TRUE(r.ok) << r.message;
	}
	std::string count(Caller &x, const std::string &name)
	{
		Result r = x.exec("SELECT count(*) FROM " + name);

		return r.ok ? r.value() : r.sqlstate + " " + r.message;
	}
	Caller a;
};

std::unique_ptr<Cluster> SysCaller::c;

TEST_F(SysCaller, SimpleAndExtendedQueries)
{
	create_table("simple");
	EXPECT_EQ("INSERT 0 1",
		  a.exec("INSERT INTO simple VALUES (1, 'x')").statement_tag);
	EXPECT_EQ("INSERT 0 1",
		  a.exec("INSERT INTO simple VALUES ($1, $2)", {"2", "it's"})
			  .statement_tag);
	Result r = a.exec("SELECT a, b FROM simple ORDER BY a");
	ASSERT_EQ(2u, r.rows.size()) << r.message;
	EXPECT_EQ("it's", r.rows[1][1]);
	r = a.exec("SELECT b FROM simple WHERE a = $1", {"1"});
	EXPECT_EQ("x", r.value("b")) << r.message;
	EXPECT_EQ("42601", a.exec("SELEKT").sqlstate);
	EXPECT_FALSE(a.exec("SELECT * FROM missing").ok);
	EXPECT_EQ("2", count(a, "simple"));
	/* Several statements in one query; libpq returns the result of
	 * the last one. */
	EXPECT_EQ("7", a.exec("SELECT 6; SELECT 7").value());
}

/* Guards against descriptions of prepared statements that lack the
 * parameters or columns which a driver needs. */
TEST_F(SysCaller, PreparedStatements)
{
	create_table("prepared");
	PGconn *pg = a.raw();
	PGresult *r = PQprepare(pg, "ins",
				"INSERT INTO prepared VALUES ($1, "
				"$2)",
				0, NULL);
	ASSERT_EQ(PGRES_COMMAND_OK, PQresultStatus(r)) << PQerrorMessage(pg);
	PQclear(r);
	r = PQdescribePrepared(pg, "ins");
	EXPECT_EQ(PGRES_COMMAND_OK, PQresultStatus(r)) << PQerrorMessage(pg);
	EXPECT_EQ(2, PQnparams(r));
	EXPECT_EQ(0, PQnfields(r));
	PQclear(r);
	for (const char *v : {"1", "2", "3"}) {
		const char *values[] = {v, NULL};

		r = PQexecPrepared(pg, "ins", 2, values, NULL, NULL, 0);
		EXPECT_STREQ("INSERT 0 1", PQcmdStatus(r))
			<< PQerrorMessage(pg);
		PQclear(r);
	}
	r = PQprepare(pg, "sel", "SELECT a, b FROM prepared", 0, NULL);
	PQclear(r);
	r = PQdescribePrepared(pg, "sel");
	EXPECT_EQ(2, PQnfields(r)) << PQerrorMessage(pg);
	PQclear(r);
	r = PQexecPrepared(pg, "sel", 0, NULL, NULL, NULL, 0);
	EXPECT_EQ(3, PQntuples(r)) << PQerrorMessage(pg);
	EXPECT_TRUE(PQgetisnull(r, 0, 1));
	PQclear(r);
}

/* Guards against pipeline answers out of order, and against statements that
 * run although an earlier one before the same Sync failed. */
TEST_F(SysCaller, PipelineOfSeveralExecutes)
{
	create_table("piped");
	PGconn *pg = a.raw();
	auto send = [&](const char *sql) {
		EXPECT_TRUE(PQsendQueryParams(pg, sql, 0, NULL, NULL, NULL,
					      NULL, 0));
	};
	auto take = [&](bool aborted = false) {
		PGresult *r = PQgetResult(pg);
		std::string out = !r	    ? "none"
				  : aborted ? PQresStatus(PQresultStatus(r))
				  : PQntuples(r) ? PQgetvalue(r, 0, 0)
						 : PQcmdStatus(r);

		PQclear(r);
		while (r && (r = PQgetResult(pg)))
			PQclear(r);
		return out;
	};

	ASSERT_TRUE(PQenterPipelineMode(pg));
	send("INSERT INTO piped VALUES (1, 'a')");
	send("SELECT count(*) FROM piped");
	send("INSERT INTO piped VALUES (2, 'b')");
	send("SELECT count(*) FROM piped");
	PQpipelineSync(pg);
	send("SELECT * FROM missing");
	send("INSERT INTO piped VALUES (3, 'c')");
	PQpipelineSync(pg);
	EXPECT_EQ("INSERT 0 1", take());
	EXPECT_EQ("1", take());
	EXPECT_EQ("INSERT 0 1", take());
	EXPECT_EQ("2", take());
	PQclear(PQgetResult(pg));
	EXPECT_EQ("PGRES_FATAL_ERROR", take(true));
	EXPECT_EQ("PGRES_PIPELINE_ABORTED", take(true));
	PQclear(PQgetResult(pg));
	ASSERT_TRUE(PQexitPipelineMode(pg)) << PQerrorMessage(pg);
	EXPECT_EQ("2", count(a, "piped"));
}

TEST_F(SysCaller, Transactions)
{
	create_table("txn");
	Caller b = c->customer("p2", "orders");
	ASSERT_TRUE(a.exec("BEGIN").ok);
	EXPECT_EQ(PQTRANS_INTRANS, PQtransactionStatus(a.raw()));
	ASSERT_TRUE(a.exec("INSERT INTO txn VALUES (1, 'x')").ok);
	EXPECT_EQ("1", count(a, "txn"));
	EXPECT_EQ("0", count(b, "txn"));
	EXPECT_EQ("COMMIT", a.exec("COMMIT").statement_tag);
	EXPECT_EQ(PQTRANS_IDLE, PQtransactionStatus(a.raw()));
	EXPECT_EQ("1", count(a, "txn"));

	ASSERT_TRUE(a.exec("BEGIN").ok);
	ASSERT_TRUE(a.exec("INSERT INTO txn VALUES (2, 'y')").ok);
	EXPECT_EQ("ROLLBACK", a.exec("ROLLBACK").statement_tag);
	EXPECT_EQ("1", count(a, "txn"));
	EXPECT_EQ("COMMIT", a.exec("COMMIT").statement_tag);
}

/* Guards against a partial commit: the proxy refuses one statement of a
 * transaction, but commits the others. */
TEST_F(SysCaller, RefusalFailsTheTransaction)
{
	create_table("refused");
	for (const char *bad :
	     {"COPY refused TO STDOUT", "SELEKT", "SELECT * FROM missing",
	      "SET marjoramlatch.max_age_ms = 'x'"}) {
		ASSERT_TRUE(a.exec("BEGIN").ok);
		ASSERT_TRUE(a.exec("INSERT INTO refused VALUES (1, 'x')").ok);
		EXPECT_FALSE(a.exec(bad).ok);
		EXPECT_EQ(PQTRANS_INERROR, PQtransactionStatus(a.raw())) << bad;
		EXPECT_EQ("25P02", a.exec("SELECT 1").sqlstate) << bad;
		EXPECT_EQ("ROLLBACK", a.exec("COMMIT").statement_tag) << bad;
		EXPECT_EQ("0", count(a, "refused")) << bad;
	}
}

/* Guards against a transaction that stays open after its caller has
 * disconnected. */
TEST_F(SysCaller, CallerThatLeavesIsRolledBack)
{
	create_table("leaver");
	{
		Caller b = c->customer("p2", "orders");

		ASSERT_TRUE(b.exec("BEGIN").ok);
		ASSERT_TRUE(b.exec("INSERT INTO leaver VALUES (1, 'x')").ok);
	}
	/* The rolled back transaction must have released its writer lock. */
	ASSERT_TRUE(a.exec("INSERT INTO leaver VALUES (2, 'y')").ok);
	EXPECT_EQ("1", count(a, "leaver"));
}

TEST_F(SysCaller, CopyIsRefusedAndTheSessionGoesOn)
{
	EXPECT_EQ("0A000", a.exec("COPY t FROM STDIN").sqlstate);
	EXPECT_EQ("1", a.exec("SELECT 1").value());
	EXPECT_EQ("0A000", a.exec("IDENTIFY_SYSTEM").sqlstate);
	EXPECT_EQ("1", a.exec("SELECT 1").value());
}

TEST_F(SysCaller, CancelEndsALongStatement)
{
	int64_t began = now_ms();

	ASSERT_TRUE(PQsendQuery(a.raw(), "SELECT 1 /* cost_us=20000000 */"));
	usleep(100000); /* cancel while the statement runs */
	ASSERT_TRUE(a.cancel());
	PGresult *r = PQgetResult(a.raw());
	EXPECT_STREQ("57014", PQresultErrorField(r, PG_DIAG_SQLSTATE))
		<< PQerrorMessage(a.raw());
	PQclear(r);
	while ((r = PQgetResult(a.raw())))
		PQclear(r);
	EXPECT_LT(now_ms() - began, 5000);
	EXPECT_EQ("1", a.exec("SELECT 1").value());
}

/* Guards against a cancel request that has no effect while the request
 * waits because its customer is at the limit of its plan. */
TEST_F(SysCaller, CancelEndsAWaitingRequest)
{
	Caller x, y;

	ASSERT_TRUE(
		x.connect(c->addr("p1"), "tiny", "tiny-password", "orders"));
	ASSERT_TRUE(
		y.connect(c->addr("p1"), "tiny", "tiny-password", "orders"));
	ASSERT_TRUE(wait_until(5000, [&] { return x.exec("BEGIN").ok; }));
	ASSERT_TRUE(PQsendQuery(y.raw(), "SELECT 1"));
	int64_t began = now_ms();
	usleep(50000); /* cancel while the request waits */
	ASSERT_TRUE(y.cancel());
	PGresult *r = PQgetResult(y.raw());
	EXPECT_STREQ("57014", PQresultErrorField(r, PG_DIAG_SQLSTATE))
		<< PQerrorMessage(y.raw());
	PQclear(r);
	while ((r = PQgetResult(y.raw())))
		PQclear(r);
	EXPECT_LT(now_ms() - began, 2000);
	EXPECT_TRUE(x.exec("COMMIT").ok);
	EXPECT_EQ("1", y.exec("SELECT 1").value());
}

/* Guards against stale reads after a session has moved to another proxy
 * with its token. */
TEST_F(SysCaller, SessionMovesWithItsToken)
{
	create_table("moved");
	for (int i = 1; i <= 20; i++) {
		ASSERT_TRUE(a.exec("INSERT INTO moved VALUES (1, 'x')").ok);
		std::string token = a.parameter("marjoramlatch.session");
		ASSERT_NE("", token);
		Caller b = c->customer("p2", "orders",
				       "-c marjoramlatch.session=" + token);
		EXPECT_EQ(std::to_string(i), count(b, "moved"));
	}
	Caller id = c->customer("p2", "orders",
				"-c marjoramlatch.session=basket-1");
	EXPECT_EQ("20", count(id, "moved"));
	EXPECT_EQ("basket-1", id.exec("SHOW marjoramlatch.session").value());
}

TEST_F(SysCaller, RequestIdIsUsedOnce)
{
	create_table("once");
	Caller b = c->customer("p2", "orders");
	for (Caller *x : {&a, &b}) {
		ASSERT_TRUE(x->exec("SET marjoramlatch.request_id = 'r-1'").ok);
		Result r = x->exec("INSERT INTO once VALUES (1, 'x')");
		EXPECT_TRUE(r.ok) << r.sqlstate << " " << r.message;
		EXPECT_EQ("", x->exec("SHOW marjoramlatch.request_id").value());
	}
	Result r = b.exec("/* marjoramlatch.request_id=r-1 */ "
			  "INSERT INTO once VALUES (1, 'x')");
	EXPECT_TRUE(r.ok) << r.sqlstate << " " << r.message;
	EXPECT_EQ("1", count(a, "once"));
}

/* Guards against session state, such as a temporary table, that is visible
 * to another caller or lost between two statements. */
TEST_F(SysCaller, SessionStatePinsItsConnection)
{
	Result r = a.exec("CREATE TEMP TABLE mine (a int)");
	ASSERT_TRUE(r.ok) << r.sqlstate << r.message;
	for (int i = 1; i <= 5; i++) {
		r = a.exec("INSERT INTO mine VALUES (1)");
		EXPECT_TRUE(r.ok) << r.sqlstate << r.message;
		EXPECT_EQ(std::to_string(i), count(a, "mine"));
	}
	Caller b = c->customer("p1", "orders");
	EXPECT_FALSE(b.exec("SELECT * FROM mine").ok);
}

TEST_F(SysCaller, WrongPasswordAndUnknownDatabase)
{
	Caller x;

	EXPECT_FALSE(x.connect(c->addr("p1"), "shop", "wrong", "orders"));
	EXPECT_FALSE(x.connect(c->addr("p1"), "nobody", "x", "orders"));
	EXPECT_FALSE(x.connect(c->addr("p1"), "shop", "shop-password", "none"));
	EXPECT_FALSE(
		x.connect(c->addr("p1"), "operator", "x", "marjoramlatch"));
	EXPECT_EQ("1", a.exec("SELECT 1").value());
}

TEST_F(SysCaller, AdminDatabase)
{
	Caller x = c->admin("p1");

	for (const char *what : {"STATUS", "COUNTERS", "BACKENDS", "GROUPS",
				 "PROXIES", "CONFIG", "LOG", "VERSION"}) {
		Result r = x.exec(std::string("SHOW ") + what);

		EXPECT_TRUE(r.ok && !r.rows.empty()) << what << r.message;
	}
	EXPECT_EQ("42601", x.exec("SELECT 1").sqlstate);
	Result config = x.exec("SHOW CONFIG");
	EXPECT_EQ("40001", c->apply("p2", config.value("lists"), 0).sqlstate);
	EXPECT_EQ("0A000", x.exec("SHOW CONFIG", {"x"}).sqlstate);
}

int64_t rss_bytes(pid_t pid)
{
	std::ifstream f("/proc/" + std::to_string(pid) + "/statm");
	int64_t size = 0, resident = 0;

	f >> size >> resident;
	return resident * sysconf(_SC_PAGESIZE);
}

std::string with_length(const std::string &body)
{
	uint32_t len = htonl((uint32_t)body.size() + 4);

	return std::string((char *)&len, 4) + body;
}

/* Reads up to ReadyForQuery and returns the types of the messages; "" if
 * the connection ends or times out before. */
std::string read_until_ready(int fd)
{
	std::string in, types;
	char buf[2048];
	size_t at = 0;

	while (types.empty() || types.back() != 'Z') {
		ssize_t n = read(fd, buf, sizeof(buf));

		if (n <= 0)
			return "";
		in.append(buf, (size_t)n);
		while (at + 5 <= in.size()) {
			uint32_t len;

			memcpy(&len, in.data() + at + 1, sizeof(len));
			if (at + 1 + ntohl(len) > in.size())
				break;
			types += in[at];
			at += 1 + ntohl(len);
		}
	}
	return types;
}

/* Logs in over a plain socket, without the cost of libpq, and sets the
 * session token. Returns the descriptor, or -1 on failure. */
int login_socket(const std::string &addr, const std::string &token)
{
	struct sockaddr_in sa = {};
	uint32_t version = htonl(196608);
	const char pairs[] = "user\0shop\0database\0orders\0";
	std::string bytes = with_length(std::string((char *)&version, 4) +
					std::string(pairs, sizeof(pairs))) +
			    "p" + with_length(std::string("shop-password", 14));
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	sa.sin_family = AF_INET;
	sa.sin_port =
		htons((uint16_t)std::stoi(addr.substr(addr.find(':') + 1)));
	sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	struct timeval limit = {10, 0};
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) ||
	    write(fd, bytes.data(), bytes.size()) < 0 ||
	    read_until_ready(fd).empty())
		return -1;
	bytes = "Q" + with_length(std::string("SET marjoramlatch.session = '" +
					      token + "'") +
				  '\0');
	if (write(fd, bytes.data(), bytes.size()) < 0 ||
	    read_until_ready(fd).empty())
		return -1;
	return fd;
}

/* Guards against an Execute with a row limit (a driver's fetch size) that
 * loses rows or runs the statement again. */
TEST_F(SysCaller, ExecuteWithARowLimit)
{
	create_table("limited");
	ASSERT_TRUE(a.exec("INSERT INTO limited VALUES (1, 'x'), (2, 'y'), "
			   "(3, 'z')")
			    .ok);
	auto m = [](char type, const std::string &body) {
		return std::string(1, type) + with_length(body);
	};
	const std::string zero(1, '\0'), none(2, '\0');
	const std::string execute = m('E', zero + std::string("\0\0\0\2", 4));
	const std::string bytes =
		m('P',
		  zero + "SELECT b FROM limited ORDER BY a" + zero + none) +
		m('B', zero + zero + none + none + none) + m('D', "P" + zero) +
		execute + execute + m('S', "");
	int fd = login_socket(c->addr("p1"), a.parameter("marjoramlatch."
							 "session"));
	ASSERT_GE(fd, 0);
	ASSERT_EQ((ssize_t)bytes.size(), write(fd, bytes.data(), bytes.size()));
	EXPECT_EQ("12TDDsDCZ", read_until_ready(fd));
	close(fd);
}

/* Guards against growing memory use of idle callers: at most 8 KB each. */
TEST_F(SysCaller, IdleCallersAreCheap)
{
	enum { CALLERS = 2000, BYTES = 8192 };
	std::vector<int> fds;
	pid_t pid = c->process("p1").pid();
	int64_t before = rss_bytes(pid);

	for (int i = 0; i < CALLERS; i++) {
		fds.push_back(login_socket(c->addr("p1"), "orders/1/1"));
		ASSERT_GE(fds.back(), 0) << i;
	}
	int64_t each = (rss_bytes(pid) - before) / CALLERS;
	RecordProperty("bytes_per_idle_caller", std::to_string(each));
	printf("bytes per idle caller: %lld\n", (long long)each);
	/* Not checked with sanitizers, as they keep freed memory. */
	if (program("").find("san") == std::string::npos) {
		EXPECT_LE(each, BYTES);
	}
	for (int fd : fds)
		close(fd);
	EXPECT_EQ("1", a.exec("SELECT 1").value());
}

/* Guards against a planned stop of a proxy that aborts requests in flight:
 * those of its own callers, and those that other proxies forward to it
 * because it owns the primary. This test comes last, as it stops a proxy of
 * the shared deployment. */
TEST_F(SysCaller, ZGracefulStop)
{
	Result groups = c->admin("p1").exec("SHOW GROUPS");
	std::string primary = groups.value("primary");
	std::string stopping_proxy;
	for (const auto &row : c->admin("p1").exec("SHOW BACKENDS").rows)
		if (row[0] == primary)
			stopping_proxy = row[9];
	ASSERT_TRUE(stopping_proxy == "p1" || stopping_proxy == "p2")
		<< stopping_proxy;
	std::string other_proxy = stopping_proxy == "p1" ? "p2" : "p1";
	Caller idle = c->customer(stopping_proxy, "orders");
	Caller busy = c->customer(stopping_proxy, "orders");
	Caller txn = c->customer(stopping_proxy, "orders");
	Caller remote_busy = c->customer(other_proxy, "orders");
	Caller remote_txn = c->customer(other_proxy, "orders");
	Caller remote = c->customer(other_proxy, "orders");

	ASSERT_TRUE(remote.exec("CREATE TABLE stopping (a int)").ok);
	ASSERT_TRUE(txn.exec("BEGIN").ok);
	ASSERT_TRUE(txn.exec("SELECT 1").ok);
	ASSERT_TRUE(remote_txn.exec("BEGIN").ok);
	ASSERT_TRUE(remote_txn.exec("SELECT 1").ok);
	for (Caller *x : {&busy, &remote_busy})
		ASSERT_TRUE(PQsendQuery(x->raw(),
					"INSERT INTO stopping VALUES (1) "
					"/* cost_us=300000 */"));
	usleep(50000); /* stop the proxy while the statements run */
	/* libpq passes an error that arrives on an idle connection to the
	 * notice processor. */
	std::string notice;
	PQsetNoticeProcessor(
		idle.raw(),
		[](void *arg, const char *text) {
			*(std::string *)arg += text;
		},
		&notice);
	c->process(stopping_proxy).terminate();
	EXPECT_TRUE(wait_until(5000, [&] {
		bool open = PQconsumeInput(idle.raw());

		PQisBusy(idle.raw());
		return !open;
	}));
	EXPECT_NE(std::string::npos, notice.find("stopping")) << notice;
	for (Caller *x : {&busy, &remote_busy}) {
		PGresult *r = PQgetResult(x->raw());

		EXPECT_EQ(PGRES_COMMAND_OK, PQresultStatus(r))
			<< PQerrorMessage(x->raw());
		PQclear(r);
	}
	for (Caller *x : {&txn, &remote_txn}) {
		ASSERT_TRUE(x->exec("INSERT INTO stopping VALUES (2)").ok);
		EXPECT_EQ("COMMIT", x->exec("COMMIT").statement_tag);
	}
	int wrote = 0;
	EXPECT_TRUE(wait_until(10000, [&] {
		Result r = remote.exec("INSERT INTO stopping VALUES (3)");

		EXPECT_TRUE(r.ok) << r.sqlstate << " " << r.message;
		wrote += r.ok;
		return !c->process(stopping_proxy).running();
	}));
	EXPECT_EQ(0, c->process(stopping_proxy).wait(10000));
	EXPECT_TRUE(remote.exec("INSERT INTO stopping VALUES (4)").ok);
	EXPECT_EQ(std::to_string(wrote + 5), count(remote, "stopping"));
}

} // namespace
