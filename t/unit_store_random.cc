#include <gtest/gtest.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <random>
#include <string>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <unistd.h>
#include <vector>

extern "C" {
#include "store.h"
}

namespace fs = std::filesystem;

/* Replaces the library's fsync() in this program, to know which bytes of a file
 * a power loss can't take. */
static bool track_syncs, lose_syncs;
static std::map<ino_t, off_t> synced_size;

extern "C" int fsync(int fd)
{
	struct stat st;

	if (!track_syncs)
		return (int)syscall(SYS_fsync, fd);
	if (!lose_syncs && !fstat(fd, &st))
		synced_size[st.st_ino] = st.st_size;
	return 0;
}

/*
 * Changes a log at random and compares what is recovered after each kind of
 * restart with a list in memory. Each seed is a history of its own; SEEDS sets
 * how many are played.
 */
struct StoreRandom : testing::Test {
	struct Entry {
		int64_t term, kind;
		std::string text;
	};
	/* What a log holds. entries[0] has the index snapshot_index + 1. */
	struct Log {
		int64_t snapshot_index = 0, snapshot_term = 0;
		std::string state, snapshot_members;
		std::vector<Entry> entries;

		int64_t last() const
		{
			return snapshot_index + (int64_t)entries.size();
		}
		int64_t term(int64_t index) const
		{
			return index == snapshot_index
				       ? snapshot_term
				       : entries[index - snapshot_index - 1]
						 .term;
		}
		std::string members(int64_t index) const
		{
			std::string m = snapshot_members;

			for (int64_t i = 0; i < index - snapshot_index; i++)
				if (entries[i].kind == RAFT_MEMBERS)
					m = entries[i].text;
			return m;
		}
		void put(int64_t index, const Entry &x)
		{
			entries.resize(index - snapshot_index - 1);
			entries.push_back(x);
		}
	};

	static constexpr int STEPS = 120;
	std::mt19937_64 rng;
	std::string folder, history;
	struct rng *raft_rng = rng_new(1);
	struct store *s = nullptr;
	struct raft *r = nullptr;
	struct err e = {};
	Log log; /* with all that was appended */
	std::vector<Log> synced_or_later; /* the states since the last sync */
	int64_t commit = 0, vote = 0;

	void SetUp() override
	{
		char name[] = "/tmp/ml-store-XXXXXX";

		folder = mkdtemp(name);
		track_syncs = true;
	}

	void TearDown() override
	{
		close_store();
		track_syncs = lose_syncs = false;
		rng_free(raft_rng);
		fs::remove_all(folder);
	}

	int64_t pick(int64_t n)
	{
		return (int64_t)(rng() % (uint64_t)n);
	}

	void note(const std::string &what)
	{
		history += " " + what;
	}

	void close_store()
	{
		store_close(s);
		raft_free(r);
		s = nullptr;
		r = nullptr;
	}

	void start()
	{
		struct raft_config c = {};

		snprintf(c.id, ID_LEN, "c0");
		c.election_min_ms = 500;
		c.heartbeat_ms = 100;
		c.rng = raft_rng;
		ASSERT_EQ(RES_OK, store_open(&s, folder.c_str(), &e)) << e.text;
		c.uuid = store_uuid(s);
		r = raft_new(&c, 0);
		ASSERT_EQ(RES_OK, store_recover(s, r, &e)) << e.text;
	}

	/* What the recovered instance counts as its log. */
	Log recovered()
	{
		struct raft_action a;
		Log l;

		l.snapshot_index = raft_snapshot_index(r);
		while (raft_next_action(r, &a))
			if (a.type == RAFT_ACTION_RESTORE_STATE)
				l.state = {a.data.data, a.data.len};
		for (int64_t i = l.snapshot_index + 1; i <= raft_last_index(r);
		     i++) {
			const struct raft_entry *x = raft_entry_at(r, i);

			l.entries.push_back({x->term,
					     x->kind,
					     {x->data.data, x->data.len}});
		}
		return l;
	}

	bool same(const Log &a, const Log &b)
	{
		if (a.snapshot_index != b.snapshot_index ||
		    a.state != b.state || a.last() != b.last())
			return false;
		for (size_t i = 0; i < a.entries.size(); i++)
			if (a.entries[i].term != b.entries[i].term ||
			    a.entries[i].text != b.entries[i].text)
				return false;
		return true;
	}

	std::string voters()
	{
		std::string text;

		for (int i = 0; i < raft_voters(r)->n; i++)
			text += std::string(raft_voters(r)->list[i].id) + " " +
				std::to_string(raft_voters(r)->list[i].uuid) +
				"\n";
		return text;
	}

	/* Starts again. What was synced must be there, and of what came later
	 * only a prefix may be. All that is there is acknowledged from then
	 * on. */
	void restart()
	{
		ASSERT_NO_FATAL_FAILURE(start());
		Log now = recovered();
		size_t i = 0;

		while (i < synced_or_later.size() &&
		       !same(synced_or_later[i], now))
			i++;
		ASSERT_LT(i, synced_or_later.size())
			<< "last " << now.last() << " snapshot "
			<< now.snapshot_index << ", expected last "
			<< synced_or_later[0].last() << " snapshot "
			<< synced_or_later[0].snapshot_index;
		log = synced_or_later[i];
		EXPECT_EQ(vote, raft_term(r));
		if (!log.members(log.last()).empty()) {
			EXPECT_EQ(log.members(log.last()), voters());
		}
		synced_or_later = {log};
	}

	void append(int64_t index)
	{
		struct raft_entry x = {};
		Entry y;

		y.term = log.term(index - 1) + (pick(4) ? 0 : pick(4));
		y.kind = pick(8) ? RAFT_COMMAND : RAFT_MEMBERS;
		y.text = "c0 1\nc" + std::to_string(rng() % 1000) + " 2\n";
		/* Some are long, so that a new file begins. */
		if (y.kind == RAFT_COMMAND && pick(60) == 0)
			y.text.append(3 << 20, 'x');
		x.index = index;
		x.term = y.term;
		x.kind = y.kind;
		x.data = {y.text.data(), y.text.size()};
		store_append_entry(s, &x);
		log.put(index, y);
		synced_or_later.push_back(log);
		note(std::to_string(index) + "t" + std::to_string(y.term));
	}

	void sync()
	{
		store_sync(s);
		synced_or_later = {log};
		note("sync");
	}

	void append_batch(int64_t index)
	{
		for (int64_t n = 1 + pick(5); n > 0; n--)
			append(index++);
		if (pick(3))
			sync();
	}

	void save_snapshot(int64_t index, int64_t term,
			   const std::string &members, bool discard)
	{
		std::string state = "state " + std::to_string(rng());
		std::string data = members + std::string(1, '\0') + state;
		struct blob b = {data.data(), data.size()};
		Log next;

		next.snapshot_index = index;
		next.snapshot_term = term;
		next.snapshot_members = members;
		next.state = state;
		if (!discard)
			next.entries.assign(
				log.entries.begin() +
					(index - log.snapshot_index),
				log.entries.end());
		note((discard ? "received-" : "snapshot-") +
		     std::to_string(index));
		store_save_snapshot(s, index, term, &b, discard);
		log = next;
		commit = std::max(commit, index);
		synced_or_later = {log};
	}

	/* The own state is saved; an entry that was replaced may have had any
	 * index, also one that is now covered. */
	void compact()
	{
		if (commit > log.snapshot_index)
			save_snapshot(commit, log.term(commit),
				      log.members(commit), false);
	}

	/* The leader's snapshot is taken over. */
	void receive_snapshot()
	{
		int64_t index = commit + 1 + pick(6);
		int64_t term = log.term(commit) + pick(3);
		bool keep = index <= log.last() && log.term(index) == term;

		save_snapshot(index, term,
			      keep ? log.members(index) : "c0 1\nc7 7\n",
			      !keep);
	}

	std::string last_log_file()
	{
		std::string last;

		for (auto &f : fs::directory_iterator(folder))
			if (!f.path().filename().string().rfind("log-", 0) &&
			    f.path().string() > last)
				last = f.path();
		return last;
	}

	/* The process ends in the middle of a sync: all was written, and the
	 * next process reads it. */
	void end_before_sync()
	{
		note("end-unsynced");
		lose_syncs = true;
		store_sync(s);
		lose_syncs = false;
		close_store();
		restart();
	}

	/* The machine loses power: bytes that were not synced are cut off or
	 * damaged. */
	void lose_power(bool written)
	{
		note(written ? "power-unsynced" : "power");
		lose_syncs = true;
		if (written)
			store_sync(s);
		lose_syncs = false;
		close_store();
		std::string path = last_log_file();
		struct stat st;

		ASSERT_EQ(0, stat(path.c_str(), &st));
		off_t kept = synced_size[st.st_ino];
		off_t lost = st.st_size - kept;
		if (lost > 0 && pick(2)) {
			fs::resize_file(path, (uintmax_t)(kept + pick(lost)));
		} else if (lost > 0) {
			std::fstream f(path, std::ios::binary | std::ios::in |
						     std::ios::out);

			f.seekp(kept + pick(lost));
			f.put('\x5a');
			f.put('\xa5');
			f.close();
			fs::resize_file(path, (uintmax_t)st.st_size);
		}
		restart();
	}

	void step()
	{
		switch (pick(12)) {
		case 0:
		case 1:
		case 2:
		case 3:
			return append_batch(log.last() + 1);
		case 4:
		case 5:
			if (log.last() > commit)
				append_batch(commit + 1 +
					     pick(log.last() - commit));
			return;
		case 6:
			commit += pick(synced_or_later[0].last() == log.last()
					       ? log.last() - commit + 1
					       : 1);
			return;
		case 7:
			return compact();
		case 8:
			return pick(3) ? (void)0 : receive_snapshot();
		case 9:
			vote++;
			return store_save_hard_state(s, vote, "c1");
		case 10:
			if (pick(2))
				return end_before_sync();
			sync();
			note("restart");
			close_store();
			return restart();
		case 11:
			return lose_power(pick(2));
		}
	}

	void play(uint64_t seed)
	{
		rng.seed(seed);
		log = {};
		commit = 0;
		vote = 0;
		history.clear();
		synced_or_later = {log};
		ASSERT_NO_FATAL_FAILURE(start());
		for (int i = 0; i < STEPS && !HasFailure(); i++)
			step();
		close_store();
		if (!HasFailure())
			restart();
		close_store();
		EXPECT_FALSE(HasFailure()) << "seed " << seed << ":" << history;
		fs::remove_all(folder);
		fs::create_directory(folder);
	}
};

/* Guards against a restart that brings back replaced entries, loses
 * acknowledged ones, or finds damage where there is none, after whatever
 * history of entries, snapshots, crashes and losses of power. */
TEST_F(StoreRandom, WhatIsReplayedIsWhatWasAcknowledged)
{
	const char *n = getenv("SEEDS");
	uint64_t seeds = n ? strtoull(n, nullptr, 10) : 40;

	for (uint64_t seed = 1; seed <= seeds && !HasFailure(); seed++)
		play(seed);
}
