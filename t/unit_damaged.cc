#include <gtest/gtest.h>

#include <cstdlib>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "apikey.h"
#include "lists.h"
#include "msg.h"
#include "pgwire.h"
#include "platform/document.h"
#include "platform/line.h"
#include "state.h"
#include "store_file.h"
#include "token.h"
#include "zstream.h"
}

/*
 * Guards against one malformed message, file or document that takes a whole
 * process down. Each decoder gets valid input that was damaged at random; it
 * may refuse it, but must not crash, read outside of it or loop for ever. The
 * build with sanitizers finds the first two.
 *
 * SEED and ROUNDS choose other inputs and more of them.
 */
struct Damaged : testing::Test {
	std::mt19937_64 rng;
	int rounds;

	Damaged()
	{
		const char *seed = getenv("SEED");
		const char *n = getenv("ROUNDS");

		rng.seed(seed ? strtoull(seed, nullptr, 10) : 1);
		rounds = n ? atoi(n) : 3000;
	}

	size_t below(size_t n)
	{
		return n ? rng() % n : 0;
	}

	void damage_once(std::string *s)
	{
		static const unsigned char extremes[] = {0,    1,    0x7f,
							 0x80, 0xff, '\n'};
		size_t at = below(s->size());

		switch (below(6)) {
		case 0:
			if (!s->empty())
				(*s)[at] = (char)rng();
			break;
		case 1:
			if (!s->empty())
				(*s)[at] = (char)extremes[below(6)];
			break;
		case 2:
			s->resize(at);
			break;
		case 3:
			s->insert(at, below(9), (char)rng());
			break;
		case 4:
			s->erase(at, below(9));
			break;
		case 5:
			s->insert(at, s->substr(below(s->size()), below(64)));
			break;
		}
	}

	std::string damage(const std::string &valid)
	{
		std::string s = valid;

		for (size_t n = 1 + below(4); n > 0; n--)
			damage_once(&s);
		return s;
	}

	static struct buf buf_of(const std::string &s)
	{
		struct buf b = BUF_INIT;

		buf_add(&b, s.data(), s.size());
		return b;
	}

	static std::string encoded(const struct msg &m)
	{
		struct buf b = BUF_INIT;

		msg_encode(&m, &b);
		std::string s(buf_data(&b), buf_len(&b));
		buf_free(&b);
		return s;
	}

	/* One message of each type, with entries in some lists. */
	static std::vector<std::string> messages()
	{
		std::vector<std::string> all;
		struct backend_info backend = {};
		struct group_info group = {};
		struct term_start start = {3, 9};
		struct rate_demand demand = {"t", 1, 2, 3, 4, 5};
		struct rate_grant grant = {"t", 1, 2, 3, 4, 5};

		strcpy(backend.id, "m0");
		strcpy(group.name, "g1");
		group.term_starts = &start;
		group.nterm_starts = 1;
		for (int type = 1; type < 64; type++) {
			struct msg m = {};

			m.type = (enum msg_type)type;
			if (!strcmp(msg_name(m.type), "UNKNOWN"))
				continue;
			if (m.type == MSG_ASK) {
				m.u.ask.backend_announcements = &backend;
				m.u.ask.nbackend_announcements = 1;
			}
			if (m.type == MSG_RATE_ASK) {
				m.u.rate_ask.demands = &demand;
				m.u.rate_ask.ndemands = 1;
			}
			if (m.type == MSG_RATE_GRANT) {
				m.u.rate_grant.grants = &grant;
				m.u.rate_grant.ngrants = 1;
			}
			if (m.type == MSG_ANSWER) {
				m.u.answer.groups = &group;
				m.u.answer.ngroups = 1;
				m.u.answer.backends = &backend;
				m.u.answer.nbackends = 1;
			}
			all.push_back(encoded(m));
		}
		return all;
	}
};

TEST_F(Damaged, Messages)
{
	std::vector<std::string> all = messages();

	for (int i = 0; i < rounds * 5; i++) {
		std::string s = damage(all[below(all.size())]);
		struct err e = {};
		struct msg m;

		if (msg_decode(&m, s.data(), s.size(), &e)) {
			EXPECT_NE('\0', e.text[0]);
			continue;
		}
		encoded(m);
		msg_free(&m);
	}
}

TEST_F(Damaged, Commands)
{
	std::vector<std::string> all = messages();
	struct state *state = state_new();

	for (int i = 0; i < rounds; i++) {
		std::string s = damage(all[below(all.size())]);
		struct blob b = {s.data(), s.size()};
		const struct state_request_result *done;
		struct err e = {};

		state_apply(state, &b, &done, &e);
	}
	state_free(state);
}

TEST_F(Damaged, Snapshots)
{
	struct state *state = state_new();
	struct backend_info backend = {};
	const struct state_request_result *done;
	struct buf cmd = BUF_INIT;
	struct buf b = BUF_INIT;

	strcpy(backend.id, "m0");
	strcpy(backend.addr, "10.0.0.1:1");
	state_cmd_backend(&cmd, &backend);
	struct blob c = {buf_data(&cmd), buf_len(&cmd)};
	ASSERT_EQ(RES_OK, state_apply(state, &c, &done, nullptr));
	state_encode(state, &b);
	std::string valid(buf_data(&b), buf_len(&b));
	for (int i = 0; i < rounds; i++) {
		std::string s = damage(valid);
		struct blob in = {s.data(), s.size()};
		struct err e = {};

		state_decode(state, &in, &e);
	}
	buf_free(&b);
	buf_free(&cmd);
	state_free(state);
}

TEST_F(Damaged, LinesOfCallersAndMembers)
{
	static const char *const valid[] = {
		"STARTUP orders u1\r\n",
		"QUERY 5c0e7a21 EXECUTE s1 1a4 xkqp\r\n",
		"QUERY 1 PREPARE s1 WRITE q2c\r\nQUERY 2 SET a b\r\n",
		"QUERY 3 BEGIN READ\r\nTERMINATE\r\n",
		"READY T 3.1209\r\n",
		"DATAROW replica 3 3.1209 0 12 2 17\r\nCOMPLETE -\r\n",
		"ERROR LAGGING i-7f3a91c2 text\r\n"};

	for (int i = 0; i < rounds * 3; i++) {
		struct buf b = buf_of(damage(valid[below(7)]));
		struct line_caller_msg call;
		struct line_reply reply;
		struct line_backend_status status;
		size_t used;

		if (line_decode_caller_msg(&b, &call, &used) == LINE_OK) {
			EXPECT_LE(used, buf_len(&b));
		}
		if (line_decode_reply(&b, &reply, &used) == LINE_OK) {
			EXPECT_LE(used, buf_len(&b));
			line_decode_backend_status(reply.line, &status);
		}
		buf_free(&b);
	}
}

TEST_F(Damaged, Documents)
{
	std::string config =
		"{\"version\":7,\"routes\":[{\"name\":\"r\",\"host\":"
		"\"shop\",\"path_prefix\":\"/\",\"kind\":\"primary\","
		"\"timeout_ms\":800,\"priority\":2,\"service\":\"g1\","
		"\"public\":true}],"
		"\"services\":[{\"name\":\"g1\",\"max_conns\":30}],"
		"\"tenants\":[{\"name\":\"t0\",\"api_keys\":[\"k0\",\"k1\"],"
		"\"rate_per_s\":2.5,\"burst\":3},{\"name\":\"t1\","
		"\"api_keys\":[\"k2\"]}],\"limits\":{\"txn_idle_ms\":900}}";
	const unsigned char hash_key[AKEY_SECRET_LEN] = {};
	std::string announcement =
		"{\"service\":\"g1\",\"addr\":\"10.0.0.9:80\",\"zone\":"
		"\"za\",\"version\":\"v1\",\"cold_left_ms\":0,\"slots\":2,"
		"\"state\":\"ready\",\"db_role\":\"replica\",\"born\":17,"
		"\"seq\":4}";

	for (int i = 0; i < rounds; i++) {
		std::string s = damage(config);
		struct announcement a;
		struct err e = {};

		rt_unref(doc_parse_configuration(s.data(), s.size(), hash_key,
						 &e));
		s = damage(announcement);
		doc_parse_announcement(&a, "m0", s.data(), s.size(), &e);
	}
}

TEST_F(Damaged, Lists)
{
	std::string valid = "{\"plans\":[{\"name\":\"p\",\"connections\":5}],"
			    "\"customers\":[{\"name\":\"c\",\"plan\":\"p\"}]}";

	for (int i = 0; i < rounds; i++) {
		std::string s = damage(valid);
		struct err e = {};

		lst_unref(lst_parse(s.data(), s.size(), 1, &e));
	}
}

TEST_F(Damaged, PostgresMessages)
{
	std::string startup("\0\0\0\x1c\0\3\0\0user\0shop\0database\0g\0\0",
			    28);
	std::string query("Q\0\0\0\x0dSELECT 1\0P\0\0\0\x10s\0SELECT\0\0\0",
			  31);

	for (int i = 0; i < rounds * 3; i++) {
		bool first = below(2);
		struct buf b = buf_of(damage(first ? startup : query));
		struct pgw_msg m;

		if (pgw_next_message(&b, first, &m, nullptr) > 0) {
			struct pgw_reader r;

			EXPECT_LE(m.total, buf_len(&b));
			pgw_reader_init(&r, &m);
			pgw_get_string(&r);
			pgw_get_int16(&r);
			pgw_get_bytes(&r, below(99));
			pgw_get_int32(&r);
			pgw_get_string(&r);
		}
		buf_free(&b);
	}
}

TEST_F(Damaged, LogRecords)
{
	struct raft_entry entry = {};
	struct buf b = BUF_INIT;

	entry.index = 7;
	entry.data = {"command", 7};
	srec_append(&b, 0, &entry);
	srec_append(&b, 0, &entry);
	std::string valid(buf_data(&b), buf_len(&b));
	for (int i = 0; i < rounds; i++) {
		std::string s = damage(valid);
		int64_t batch;
		size_t n = srec_decode(s.data(), s.size(), &batch, &entry);

		EXPECT_LE(n, s.size());
		srec_has_later_batch(s.data(), s.size(), below(s.size()));
	}
	buf_free(&b);
}

TEST_F(Damaged, CompressedMessages)
{
	struct zs_pair *sender = zs_new();
	struct buf b = BUF_INIT;

	zs_compress(sender, "COMPLETE i-7f3a91c2 DATAROW qhzkwmtrbelo", 40, &b);
	std::string valid(buf_data(&b), buf_len(&b));
	for (int i = 0; i < rounds; i++) {
		std::string s = damage(valid);
		struct zs_pair *receiver = zs_new();
		struct buf out = BUF_INIT;
		struct err e = {};

		zs_decompress(receiver, s.data(), s.size(), 4096, &out, &e);
		buf_free(&out);
		zs_free(receiver);
	}
	buf_free(&b);
	zs_free(sender);
}

TEST_F(Damaged, Tokens)
{
	std::string valid = "ml1:orders=3.1209,tickets=4.77";

	for (int i = 0; i < rounds; i++) {
		struct token t = {};
		struct err e = {};

		tok_parse(&t, damage(valid).c_str(), &e);
	}
}
