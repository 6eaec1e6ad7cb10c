#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>
#include <string>

extern "C" {
#include "store.h"
}

namespace fs = std::filesystem;

struct Store : testing::Test {
	std::string folder;
	struct rng *rng = rng_new(1);
	struct store *s = nullptr;
	struct raft *r = nullptr;
	struct err e = {};

	void SetUp() override
	{
		char name[] = "/tmp/ml-store-XXXXXX";

		folder = mkdtemp(name);
	}
	void TearDown() override
	{
		shut();
		rng_free(rng);
		fs::remove_all(folder);
	}
	void shut()
	{
		store_close(s);
		raft_free(r);
		s = nullptr;
		r = nullptr;
	}
	enum res open()
	{
		struct raft_config c = {};

		shut();
		snprintf(c.id, ID_LEN, "c0");
		c.election_min_ms = 500;
		c.heartbeat_ms = 100;
		c.rng = rng;
		enum res res = store_open(&s, folder.c_str(), &e);
		if (res)
			return res;
		c.uuid = store_uuid(s);
		r = raft_new(&c, 0);
		return store_recover(s, r, &e);
	}
	void write(int64_t index, int64_t term, const std::string &text)
	{
		struct raft_entry x = {};

		x.index = index;
		x.term = term;
		x.kind = RAFT_COMMAND;
		x.data = {text.data(), text.size()};
		store_write(s, &x);
	}
	std::string text(int64_t index)
	{
		const raft_entry *x = raft_entry_at(r, index);

		return x ? std::string(x->data.data, x->data.len) : "";
	}
	std::string file(const std::string &prefix)
	{
		for (auto &f : fs::directory_iterator(folder))
			if (!f.path().filename().string().rfind(prefix, 0))
				return f.path();
		return "";
	}
	static std::string slurp(const std::string &path)
	{
		std::ifstream in(path, std::ios::binary);

		return std::string(std::istreambuf_iterator<char>(in), {});
	}
	static void spill(const std::string &path, const std::string &bytes)
	{
		std::ofstream(path, std::ios::binary | std::ios::trunc)
			<< bytes;
	}
};

/* Guards against a record that was being written at a power loss, cut at any
 * byte, making the log unreadable or losing the records before it. */
TEST_F(Store, TornTailIsCutAtEveryByte)
{
	ASSERT_EQ(RES_OK, open());
	write(1, 1, "first");
	store_sync(s);
	size_t keep = fs::file_size(file("log-"));
	write(2, 1, "second");
	store_sync(s);
	shut();
	std::string path = file("log-"), whole = slurp(path);

	for (size_t n = keep; n < whole.size(); n++) {
		spill(path, whole.substr(0, n));
		ASSERT_EQ(RES_OK, open()) << n << " " << e.text;
		EXPECT_EQ(1, raft_last_index(r));
		EXPECT_EQ("first", text(1));
		EXPECT_EQ(keep, fs::file_size(path));
		write(2, 2, "again");
		store_sync(s);
		ASSERT_EQ(RES_OK, open());
		EXPECT_EQ("again", text(2));
	}
}

/* Guards against damage in records that were acknowledged being taken for a
 * torn tail, which would drop them silently. */
TEST_F(Store, CorruptMiddleIsRefused)
{
	ASSERT_EQ(RES_OK, open());
	for (int i = 1; i <= 3; i++) {
		write(i, 1, "entry");
		store_sync(s);
	}
	shut();
	std::string path = file("log-"), whole = slurp(path);
	for (size_t i = 0; i < whole.size() * 2 / 3; i++) {
		std::string bad = whole;

		bad[i] = (char)(bad[i] ^ 0x10);
		spill(path, bad);
		ASSERT_EQ(RES_CORRUPT, open()) << "byte " << i;
	}
}

/* Guards against a crash while several records are written at once, where
 * the disk may hold later ones and not earlier ones. */
TEST_F(Store, UnsyncedBatchIsCutAsAWhole)
{
	ASSERT_EQ(RES_OK, open());
	write(1, 1, "first");
	store_sync(s);
	size_t keep = fs::file_size(file("log-"));
	write(2, 1, "second");
	write(3, 1, "third");
	store_sync(s);
	shut();
	std::string path = file("log-"), bad = slurp(path);
	bad[keep + 40] = (char)(bad[keep + 40] ^ 1);
	spill(path, bad);
	ASSERT_EQ(RES_OK, open());
	EXPECT_EQ(1, raft_last_index(r));
}

/* Guards against a restart after hundreds of changes losing or repeating
 * one, and against a wrong uuid, term or vote. */
TEST_F(Store, RecoversSnapshotAndTail)
{
	struct blob snap = {"c0 1\n\0state", 11};

	ASSERT_EQ(RES_OK, open());
	int64_t uuid = store_uuid(s);
	for (int i = 1; i <= 700; i++) {
		write(i, 1, "entry " + std::to_string(i));
		store_sync(s);
		if (i % 200 == 0)
			store_snapshot(s, i - 10, 1, &snap, false);
	}
	write(700, 2, "replaced");
	store_sync(s);
	store_hard(s, 9, "c2");
	ASSERT_EQ(RES_OK, open()) << e.text;
	EXPECT_EQ(uuid, store_uuid(s));
	EXPECT_EQ(9, raft_term(r));
	EXPECT_EQ(590, raft_snapshot_index(r));
	EXPECT_EQ(700, raft_last_index(r));
	for (int i = 591; i < 700; i++)
		ASSERT_EQ("entry " + std::to_string(i), text(i));
	EXPECT_EQ("replaced", text(700));
	store_snapshot(s, 900, 3, &snap, true);
	ASSERT_EQ(RES_OK, open());
	EXPECT_EQ(900, raft_last_index(r));
	shut();
	std::string path = file("snap-"), bad = slurp(path);
	bad[bad.size() - 1] ^= 1;
	spill(path, bad);
	EXPECT_EQ(RES_CORRUPT, open());
}

/* Guards against two processes writing one data folder. */
TEST_F(Store, FolderInUseIsRefused)
{
	struct store *other = nullptr;

	ASSERT_EQ(RES_OK, open());
	EXPECT_EQ(RES_IO, store_open(&other, folder.c_str(), nullptr));
}
