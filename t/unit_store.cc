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
		close_store();
		rng_free(rng);
		fs::remove_all(folder);
	}
	void close_store()
	{
		store_close(s);
		raft_free(r);
		s = nullptr;
		r = nullptr;
	}
	enum res open()
	{
		struct raft_config c = {};

		close_store();
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
	void write_entry(int64_t index, int64_t term, const std::string &text)
	{
		struct raft_entry x = {};

		x.index = index;
		x.term = term;
		x.kind = RAFT_COMMAND;
		x.data = {text.data(), text.size()};
		store_append_entry(s, &x);
	}
	std::string entry_text(int64_t index)
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
	static std::string read_file(const std::string &path)
	{
		std::ifstream in(path, std::ios::binary);

		return std::string(std::istreambuf_iterator<char>(in), {});
	}
	static void write_file(const std::string &path,
			       const std::string &bytes)
	{
		std::ofstream(path, std::ios::binary | std::ios::trunc)
			<< bytes;
	}
};

/* Guards against a record that is incomplete after a power loss and makes the
 * log unreadable or loses the records before it. The record is truncated at
 * each byte in turn. */
TEST_F(Store, TornTailIsCutAtEveryByte)
{
	ASSERT_EQ(RES_OK, open());
	write_entry(1, 1, "first");
	store_sync(s);
	size_t valid_size = fs::file_size(file("log-"));
	write_entry(2, 1, "second");
	store_sync(s);
	close_store();
	std::string path = file("log-"), whole = read_file(path);

	for (size_t n = valid_size; n < whole.size(); n++) {
		write_file(path, whole.substr(0, n));
		ASSERT_EQ(RES_OK, open()) << n << " " << e.text;
		EXPECT_EQ(1, raft_last_index(r));
		EXPECT_EQ("first", entry_text(1));
		EXPECT_EQ(valid_size, fs::file_size(path));
		write_entry(2, 2, "again");
		store_sync(s);
		ASSERT_EQ(RES_OK, open());
		EXPECT_EQ("again", entry_text(2));
	}
}

/* Guards against treating damage in acknowledged records as an incomplete write
 * at the end of the log, which would silently drop them. */
TEST_F(Store, CorruptMiddleIsRefused)
{
	ASSERT_EQ(RES_OK, open());
	for (int i = 1; i <= 3; i++) {
		write_entry(i, 1, "entry");
		store_sync(s);
	}
	close_store();
	std::string path = file("log-"), whole = read_file(path);
	for (size_t i = 0; i < whole.size() * 2 / 3; i++) {
		std::string damaged = whole;

		damaged[i] = (char)(damaged[i] ^ 0x10);
		write_file(path, damaged);
		ASSERT_EQ(RES_CORRUPT, open()) << "byte " << i;
	}
}

/* Guards against a crash while several records are written in one batch: the
 * disk may then hold later records but not earlier ones. */
TEST_F(Store, UnsyncedBatchIsCutAsAWhole)
{
	ASSERT_EQ(RES_OK, open());
	write_entry(1, 1, "first");
	store_sync(s);
	size_t valid_size = fs::file_size(file("log-"));
	write_entry(2, 1, "second");
	write_entry(3, 1, "third");
	store_sync(s);
	close_store();
	std::string path = file("log-"), damaged = read_file(path);
	damaged[valid_size + 40] = (char)(damaged[valid_size + 40] ^ 1);
	write_file(path, damaged);
	ASSERT_EQ(RES_OK, open());
	EXPECT_EQ(1, raft_last_index(r));
}

/* Guards against losing or repeating an entry at a restart after hundreds of
 * changes, and against a wrong uuid, term or vote. */
TEST_F(Store, RecoversSnapshotAndTail)
{
	struct blob snap = {"c0 1\n\0state", 11};

	ASSERT_EQ(RES_OK, open());
	int64_t uuid = store_uuid(s);
	for (int i = 1; i <= 700; i++) {
		write_entry(i, 1, "entry " + std::to_string(i));
		store_sync(s);
		if (i % 200 == 0)
			store_save_snapshot(s, i - 10, 1, &snap, false);
	}
	write_entry(700, 2, "replaced");
	store_sync(s);
	store_save_hard_state(s, 9, "c2");
	ASSERT_EQ(RES_OK, open()) << e.text;
	EXPECT_EQ(uuid, store_uuid(s));
	EXPECT_EQ(9, raft_term(r));
	EXPECT_EQ(590, raft_snapshot_index(r));
	EXPECT_EQ(700, raft_last_index(r));
	for (int i = 591; i < 700; i++)
		ASSERT_EQ("entry " + std::to_string(i), entry_text(i));
	EXPECT_EQ("replaced", entry_text(700));
	store_save_snapshot(s, 900, 3, &snap, true);
	ASSERT_EQ(RES_OK, open());
	EXPECT_EQ(900, raft_last_index(r));
	close_store();
	std::string path = file("snap-"), damaged = read_file(path);
	damaged[damaged.size() - 1] ^= 1;
	write_file(path, damaged);
	EXPECT_EQ(RES_CORRUPT, open());
}

/*
 * Guards against damaged data that are used in part, lost, or piled up, and
 * against an instance that counts as a new one after it set them aside.
 */
TEST_F(Store, DamagedDataAreSetAside)
{
	int64_t number;

	for (int round = 1; round <= 4; round++) {
		ASSERT_EQ(RES_OK, open()) << e.text;
		int64_t uuid = store_uuid(s);
		for (int i = 1; i <= 3; i++) {
			write_entry(i, 1, "entry");
			store_sync(s);
		}
		close_store();
		std::string path = file("log-"), damaged = read_file(path);
		damaged[damaged.size() / 2] ^= 1;
		write_file(path, damaged);
		ASSERT_EQ(RES_CORRUPT, open());
		close_store();
		ASSERT_EQ(RES_OK, store_set_aside(folder.c_str(), &number, &e))
			<< e.text;
		EXPECT_EQ(round, number);
		ASSERT_EQ(RES_OK, open()) << e.text;
		EXPECT_EQ(0, raft_last_index(r));
		EXPECT_FALSE(raft_is_empty(r));
		EXPECT_NE(uuid, store_uuid(s));
		fs::path aside = folder + "/damaged-" + std::to_string(round);
		EXPECT_EQ(damaged,
			  read_file(aside / fs::path(path).filename()));
		EXPECT_TRUE(fs::exists(aside / "hard"));
		EXPECT_EQ(round > 1, fs::exists(folder + "/damaged-" +
						std::to_string(round - 1)));
		EXPECT_FALSE(fs::exists(folder + "/damaged-" +
					std::to_string(round - 2)));
	}
}

/* Guards against two processes that write to the same data folder. */
TEST_F(Store, FolderInUseIsRefused)
{
	struct store *other = nullptr;

	ASSERT_EQ(RES_OK, open());
	EXPECT_EQ(RES_IO, store_open(&other, folder.c_str(), nullptr));
}
