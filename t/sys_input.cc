/* Bad input must get one clear error and increment one counter, without
 * affecting other callers. */

#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <fstream>
#include <map>
#include <memory>
#include <cstring>
#include <sys/stat.h>
#include <netinet/in.h>
#include <sstream>
#include <sys/socket.h>
#include <unistd.h>

#include "lib_cluster.h"

using namespace cluster;

namespace
{

std::string encode_int32(uint32_t n)
{
	n = htonl(n);
	return std::string((char *)&n, sizeof(n));
}

/* Encodes a message of PostgreSQL's protocol 3; type 0 gives a startup
 * packet. */
std::string message(char type, const std::string &body)
{
	std::string out = encode_int32((uint32_t)body.size() + 4) + body;

	return type ? type + out : out;
}

std::string encode_string(const char *s)
{
	return std::string(s) + '\0';
}

class Socket
{
      public:
	explicit Socket(const std::string &addr)
	{
		struct sockaddr_in sa = {};
		struct timeval limit = {3, 0};

		fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
		sa.sin_family = AF_INET;
		sa.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
		sa.sin_port = htons(
			(uint16_t)std::stoi(addr.substr(addr.find(':') + 1)));
		setsockopt(fd_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
		EXPECT_EQ(0, connect(fd_, (struct sockaddr *)&sa, sizeof(sa)));
	}
	~Socket()
	{
		close(fd_);
	}
	void send_all(const std::string &bytes)
	{
		EXPECT_EQ((ssize_t)bytes.size(),
			  send(fd_, bytes.data(), bytes.size(), MSG_NOSIGNAL));
	}
	/* Reads until the peer closes, or, with until_ready, until a
	 * ReadyForQuery. */
	std::string receive(bool until_ready = false)
	{
		std::string in;
		char buf[4096];
		ssize_t n;

		while ((n = recv(fd_, buf, sizeof(buf), 0)) > 0) {
			in.append(buf, (size_t)n);
			if (until_ready && in.size() > 6 &&
			    in[in.size() - 6] == 'Z')
				return in;
		}
		closed_ = n == 0 || errno == ECONNRESET;
		return in;
	}
	void login()
	{
		send_all(message(0, encode_int32(196608) +
					    encode_string("user") +
					    encode_string("shop") +
					    encode_string("database") +
					    encode_string("orders") + '\0'));
		send_all(message('p', encode_string("shop-password")));
		EXPECT_NE("", receive(true));
	}
	bool closed() const
	{
		return closed_;
	}

      private:
	int fd_;
	bool closed_ = false;
};

/* Returns the SQLSTATE of each ErrorResponse. */
std::vector<std::string> sqlstates(const std::string &bytes)
{
	std::vector<std::string> out;

	for (size_t at = 0; at + 5 <= bytes.size();) {
		uint32_t len;

		memcpy(&len, bytes.data() + at + 1, 4);
		len = ntohl(len);
		if (bytes[at] == 'E')
			for (size_t f = at + 5; f < at + len && bytes[f];
			     f += strlen(&bytes[f]) + 1)
				if (bytes[f] == 'C')
					out.push_back(&bytes[f + 1]);
		at += len + 1;
	}
	return out;
}

/* Bytes to send and the counter of their refusal: FRAME_COUNTER if they
 * can't be split into messages, FIELDS_COUNTER if they can but a message
 * lacks its fields. */
struct BadInput {
	const char *counter;
	std::string bytes;
};
constexpr const char *FRAME_COUNTER = "refused_bad_frame";
constexpr const char *FIELDS_COUNTER = "refused_bad_message";

struct SysInput : testing::Test {
	static std::unique_ptr<Cluster> c;
	static Caller bystander;
	Caller admin = c->admin("p1");
	std::map<std::string, int64_t> before = counters();

	static void SetUpTestSuite()
	{
		Spec s;

		s.proxies = 1;
		s.controls = 1;
		c = std::make_unique<Cluster>(s);
		ASSERT_TRUE(c->start());
		bystander = c->customer("p1", "orders");
		ASSERT_TRUE(bystander.exec("BEGIN").ok);
	}
	static void TearDownTestSuite()
	{
		EXPECT_EQ("COMMIT", bystander.exec("COMMIT").statement_tag);
		bystander.close();
		c.reset();
	}
	std::map<std::string, int64_t> counters()
	{
		std::map<std::string, int64_t> out;

		for (auto &row : admin.exec("SHOW COUNTERS").rows)
			out[row[0]] = std::stoll(row[1]);
		return out;
	}
	/* Checks that this counter grew by one, that of all refusal
	 * counters only it and `refused` grew, and that a transaction that
	 * was open before continues. */
	void expect_only_counted(const std::string &name,
				 const std::string &what,
				 const std::string &refused = "")
	{
		auto after = counters();

		EXPECT_EQ(before[name] + 1, after[name]) << what << " " << name;
		for (auto &[key, value] : after) {
			if (key.rfind("refused_", 0) || key == name)
				continue;
			EXPECT_EQ(before[key] + (key == refused), value)
				<< what << " " << key;
		}
		EXPECT_EQ("1", bystander.exec("SELECT 1").value()) << what;
		before = counters();
	}
	/* Returns the value of a key in the settings file of a process of
	 * the deployment. */
	std::string setting(const std::string &id, const std::string &key)
	{
		std::ifstream f(c->dir().path() + "/" + id + ".json");
		std::stringstream s;

		s << f.rdbuf();
		size_t at =
			s.str().find("\"" + key + "\": \"") + key.size() + 5;
		return s.str().substr(at, s.str().find('"', at) - at);
	}
};

std::unique_ptr<Cluster> SysInput::c;
Caller SysInput::bystander;

/* Guards against startup bytes that crash the process or get no answer. */
TEST_F(SysInput, Startup)
{
	std::string version = encode_int32(196608);
	std::string long_name(70000, 'x');

	for (auto &[what, bad] : std::map<std::string, BadInput>{
		     {"length 3", {FRAME_COUNTER, encode_int32(3) + "x"}},
		     {"length 2 GB",
		      {FRAME_COUNTER, encode_int32(0x7fffffff) + version}},
		     {"HTTP", {FRAME_COUNTER, "GET / HTTP/1.1\r\n\r\n"}},
		     {"no end", {FIELDS_COUNTER, message(0, version + "user")}},
		     {"name without value",
		      {FIELDS_COUNTER,
		       message(0, version + encode_string("user"))}},
		     {"long",
		      {FRAME_COUNTER,
		       message(0, version + encode_string("user") +
					  encode_string(long_name.c_str()) +
					  '\0')}},
		     {"protocol 2",
		      {"refused_unsupported",
		       message(0,
			       encode_int32(131072) + encode_string("x"))}}}) {
		Socket s(c->addr("p1"));

		s.send_all(bad.bytes);
		std::string in = s.receive();
		EXPECT_EQ(1u, sqlstates(in).size()) << what << ": " << in;
		EXPECT_TRUE(s.closed()) << what;
		EXPECT_EQ(std::string::npos, in.find('Z')) << what;
		auto state = sqlstates(in).empty() ? "" : sqlstates(in)[0];
		EXPECT_TRUE(state == "08P01" || state == "0A000" ||
			    state == "54000")
			<< what << " " << state;
		expect_only_counted("bad_input", what, bad.counter);
	}
}

/* Guards against a malformed message of one caller that affects other
 * callers. */
TEST_F(SysInput, Messages)
{
	for (auto &[what, bad] : std::map<std::string, BadInput>{
		     {"200 MB", {FRAME_COUNTER, "Q" + encode_int32(200 << 20)}},
		     {"length 0", {FRAME_COUNTER, "Q" + encode_int32(0)}},
		     {"unknown type", {FRAME_COUNTER, message('!', "x")}},
		     {"query without end",
		      {FIELDS_COUNTER, message('Q', "SELECT 1")}},
		     {"parse cut short",
		      {FIELDS_COUNTER, message('P', encode_string("s"))}},
		     {"bind of a negative count",
		      {FIELDS_COUNTER,
		       message('P', encode_string("") +
					    encode_string("SELECT $1") +
					    std::string(2, '\0')) +
			       message('B', encode_string("") +
						    encode_string("") +
						    "\xff\xff" +
						    "\xff\xff\xff")}}}) {
		Socket s(c->addr("p1"));

		s.login();
		s.send_all(bad.bytes);
		std::string in = s.receive();
		ASSERT_EQ(1u, sqlstates(in).size()) << what << ": " << in;
		EXPECT_EQ("08P01", sqlstates(in)[0]) << what;
		EXPECT_TRUE(s.closed()) << what;
		expect_only_counted("bad_input", what, bad.counter);
	}
}

/* Guards against a statement or list that is refused without a reason, or
 * whose refusal ends the session. */
TEST_F(SysInput, StatementsAndLists)
{
	Caller x = c->customer("p1", "orders");

	EXPECT_EQ("42601", x.exec("SELEKT 1").sqlstate);
	expect_only_counted("refused_bad_sql", "SELEKT");
	EXPECT_EQ("22023",
		  x.exec("SET marjoramlatch.max_age_ms = -5").sqlstate);
	expect_only_counted("refused_bad_setting", "SET");
	EXPECT_EQ("1", x.exec("SELECT 1").value());
	for (auto &[list, hint] : std::map<std::string, std::string>{
		     {"{", "lists:1: "},
		     {"[]", "expected"},
		     {"{\"plans\": [], \"customers\": [], \"x\": 1}",
		      "x: unknown key"},
		     {"{\"plans\": [{\"name\": \"a\", \"connections\": 0, "
		      "\"max_age_ms\": 1, \"max_wait_ms\": 1}], "
		      "\"customers\": []}",
		      "connections"}}) {
		Result r = c->apply("p1", list, 1);

		EXPECT_EQ("22023", r.sqlstate) << list;
		EXPECT_NE(std::string::npos, r.message.find(hint))
			<< list << ": " << r.message;
		expect_only_counted("refused_bad_list", list);
	}
	EXPECT_EQ("1", admin.exec("SHOW CONFIG").value());
}

/* Guards against a link that accepts messages before the peer has proved
 * that it knows the key. */
TEST_F(SysInput, LinkFramesAndAWrongKey)
{
	std::string link = setting("p1", "link");

	for (auto &[what, bytes] : std::map<std::string, std::string>{
		     {"oversized", encode_int32(5 << 20) + "x"},
		     {"not msgpack", encode_int32(4) + "\xc1\xc1\xc1\xc1"},
		     {"array cut short", encode_int32(2) + "\x93\x01"},
		     {"not an array", encode_int32(1) + "\x01"},
		     {"unknown type", encode_int32(3) + "\x92\x7f\x01"},
		     {"text", "GET / HTTP/1.1\r\n\r\n"}}) {
		Socket s(link);

		s.send_all(bytes);
		s.receive();
		EXPECT_TRUE(s.closed()) << what;
		expect_only_counted("links_refused", what);
	}
	/* A proxy with another key, whose settings name p1's link as the
	 * address of control instance c1. */
	std::string dir = c->dir().path(), own_link = free_addr();
	std::string key = dir + "/key2", file = dir + "/p9.json";
	std::ofstream(key) << "another shared key of another deployment\n";
	ASSERT_EQ(0, chmod(key.c_str(), 0600));
	std::ofstream(file)
		<< "{\"id\": \"p9\", \"zone\": \"za\", \"link\": \"" << own_link
		<< "\", \"listen\": \"" << free_addr() << "\", \"key_file\": \""
		<< key << "\", \"backend_password\": \"" << BACKEND_PASSWORD
		<< "\", \"operator_password\": \"" << OPERATOR_PASSWORD
		<< "\", \"controls\": [{\"id\": \"c1\", \"addr\": \"" << link
		<< "\"}, {\"id\": \"c2\", \"addr\": \"" << c->addr("c1")
		<< "\"}]}";
	Process p9("p9", {program("marjoramlatchd"), "--settings", file},
		   dir + "/p9.log");
	p9.start();
	EXPECT_TRUE(wait_until(5000, [&] {
		return counters()["links_refused"] >
		       before["links_refused"] + 2;
	}));
	for (auto *id : {"p1", "c1"})
		EXPECT_TRUE(wait_until(5000, [&] {
			return c->process(id).log().find("peer=p9") !=
			       std::string::npos;
		})) << id;
	EXPECT_EQ(1u, admin.exec("SHOW PROXIES").rows.size());
	EXPECT_EQ("1", bystander.exec("SELECT 1").value());
}

} // namespace
