#include <gtest/gtest.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <random>
#include <thread>

#include "lib_keys.h"
#include "lib_platform.h"

using namespace platform;
using cluster::now_ms;

/*
 * Injects random faults from outside the processes while callers write and
 * read. The guarantees are then checked against what callers and members saw:
 *
 *   A write that was acknowledged was committed exactly once; one that was
 *   refused as not run was never committed; one of unknown outcome was
 *   committed at most once.
 *   A session reads its own last write, unless a promotion discarded it.
 *   A read that may be ALLOWED_AGE_MS old does not miss a write that was
 *   acknowledged longer ago, unless a promotion discarded it.
 *   The configuration that is read back is not older than the last one
 *   acknowledged.
 *   With a synchronous replica, each promotion keeps the acknowledged writes.
 *   A statement runs with the session values that its caller was told, and no
 *   name is unknown that it has prepared. Callers change values and prepare
 * names in and outside of transactions. Service is restored within 7 s of the
 * last fault; where orders to members were carried out late, within 7 s of the
 * time when none can be any more. With tenants: nothing that was sent with an
 * API key later than the bound after the key's withdrawal was acknowledged was
 * committed, and a key that is in force is not denied.
 *
 * Two threads inject faults at the same time, so that their faults overlap:
 * one into the control instances and their disks, the other into proxies,
 * members and the connections between them. For every odd seed, members accept
 * few connections, so that proxies run jobs for each other. Some seeds have a
 * synchronous replica, and then a third thread replaces members, which leave,
 * end and are succeeded at their address, while orders are carried out late.
 * Transactions that only read stay open across the faults at a proxy that
 * learns few positions. No clocks are changed, because the system uses the time
 * of day for log lines only.
 *
 * SEED runs that one seed; SEEDS runs that many, starting at FIRST. The default
 * is the short run that CI uses, to which a seed that fails is to be added.
 * Seed 119, which is not in that run yet, has failed once; the cause has not
 * been traced, see KNOWN-RED.txt.
 */

namespace
{

constexpr int FAULT_MS = 6000; /* how long faults are injected */
constexpr int CALLERS = 6;
constexpr int RECOVER_MS = 7000; /* users' limit for a change of primary */
constexpr int ALLOWED_AGE_MS = 1500; /* of reads of database "catalogue" */
/* Time for a replacement, and for reads of the allowed age after it. */
constexpr int ISOLATE_MS = 2500 + ALLOWED_AGE_MS;

/* Seeds that have failed, which the default run adds to the first three. 13 and
 * 61 lose acknowledged writes on 2a2392c (review/6, /7 and /10). */
const std::vector<uint64_t> KEPT_SEEDS = {14, 16, 20, 26, 28, 13, 61};

enum Outcome { ACKNOWLEDGED, NOT_RUN, UNKNOWN };

struct Write {
	std::string item;
	Outcome outcome;
	int64_t answered_at;
	std::string key; /* API key of the session */
	int64_t sent_at; /* when its last statement was sent */
};

Outcome outcome_of(const std::string &answer)
{
	if (answer.rfind("COMPLETE", 0) == 0)
		return ACKNOWLEDGED;
	for (const char *p :
	     {"ERROR BUSY", "ERROR ABORTED", "ERROR LAGGING", "ERROR READONLY",
	      "ERROR NODB", "ERROR MALFORMED", "ERROR DENIED"})
		if (answer.rfind(p, 0) == 0)
			return NOT_RUN;
	return UNKNOWN;
}

constexpr int PROXIES = 5;
/* No writes go through this proxy, so that it learns few positions. */
constexpr int QUIET_PROXY = PROXIES - 1;
constexpr int CONNECTIONS_PER_MEMBER = 5; /* limit for odd seeds */
/* In seeds that this divides, a replaced primary goes on. */
constexpr int GOES_ON_EVERY = 3;
/* Seeds with this remainder have tenants whose API keys are withdrawn. None of
 * KEPT_SEEDS is one of them, so that they still run as when they failed. */
constexpr int TENANTS_EVERY = 5;
constexpr int TENANTS_REMAINDER = 2;
/* Seeds with this remainder have a synchronous replica, unless a replaced
 * primary goes on. None of KEPT_SEEDS is one of them. */
constexpr int SYNC_EVERY = 4;
constexpr int SYNC_REMAINDER = 1;
constexpr int ADDR_REUSE_MS = 2000; /* platform: until a successor starts */
constexpr int LATE_ORDER_MS = 13000; /* platform: 12 s, and a margin */
constexpr int KEY_LEASE_MS = 1500; /* also the bound after a withdrawal */
constexpr int KEY_CHANGE_MS = 300; /* pause between two withdrawals */

struct Soak {
	Deployment d{3, PROXIES, 3};
	std::mt19937_64 rng;
	uint64_t soak_seed;
	std::atomic<bool> stop_callers{false};
	std::atomic<bool> control_faults_done{false};
	std::atomic<bool> checks_done{false};
	std::mutex lock;
	std::vector<Write> writes;
	std::atomic<int> stale_reads{0};
	std::atomic<int> aged_reads{0};
	std::atomic<int> too_old_reads{0};
	std::atomic<int> unknown_names{0};
	std::atomic<int> changed_values{0};
	/* Incremented around each fault of a member or its connections, since
	 * a promotion that it causes may discard writes. */
	std::atomic<int> possible_promotions{0};
	std::atomic<int> acknowledged_version{1};
	int acknowledged_writes = 0;
	bool with_tenants;
	bool with_sync;
	/* All writes are in transactions with pauses and changed values. */
	bool long_txns = false;
	std::mutex publish_lock;
	int attempted_version = 1;
	Keys keys{CALLERS};
	std::atomic<int> denied_wrongly{0};

	explicit Soak(uint64_t n)
	    : rng(n), soak_seed(n),
	      with_tenants(n % TENANTS_EVERY == TENANTS_REMAINDER),
	      with_sync(n % SYNC_EVERY == SYNC_REMAINDER && n % GOES_ON_EVERY)
	{
	}

	std::string key_of(int caller)
	{
		return with_tenants ? keys.key_of(caller) : LASTING_KEY;
	}

	/* Publishes a configuration with another key for a caller. An attempt
	 * without an answer may have succeeded, so the next version is higher.
	 */
	void change_key(int caller)
	{
		std::lock_guard<std::mutex> publishing(publish_lock);
		int v = ++attempted_version;

		keys.replace(caller);
		d.set_tenants(keys.tenants());
		if (d.publish_config(d.config_document(v)).status != 200)
			return;
		keys.acknowledged();
		acknowledged_version = v;
	}

	void change_keys(uint64_t seed)
	{
		std::mt19937_64 r(seed);

		while (!stop_callers) {
			change_key((int)(r() % CALLERS));
			usleep(KEY_CHANGE_MS * 1000);
		}
	}

	/* A caller's session, with what it was told of its values and names.
	 */
	struct Values {
		std::string tag = "none", name;
		int next = 0;
	};

	/* Sometimes changes the session's value or prepares a name. Returns
	 * false if that was refused. */
	bool change_values(Session &s, Values &v, std::mt19937_64 &r)
	{
		std::string next = std::to_string(++v.next);
		std::string a = "COMPLETE";

		if (r() % (long_txns ? 2 : 4) == 0) {
			a = s.query("SET tag t" + next);
			v.tag = "t" + next;
			changed_values++;
		} else if (long_txns || r() % 8 == 0) {
			a = s.query("PREPARE q" + next + " WRITE shape" + next);
			v.name = "q" + next;
		}
		return a.rfind("COMPLETE", 0) == 0;
	}

	std::string write_one(Session &s, const Values &v,
			      const std::string &item, std::mt19937_64 &r)
	{
		bool execute = !v.name.empty() && r() % 2;
		std::string a =
			s.query((execute ? "EXECUTE " + v.name : "WRITE") +
				" " + item + "~" + v.tag + " " + item);

		unknown_names += a.rfind("ERROR NOSTMT", 0) == 0;
		return a;
	}

	/* Lets the transaction begin at a member, which may be replaced in the
	 * pause. */
	void pause_in_txn(Session &s, const Values &v, std::mt19937_64 &r)
	{
		s.query("READ values~" + v.tag);
		usleep((useconds_t)(r() % 800) * 1000);
	}

	/* Writes one item, in a transaction or as a single statement. Sets when
	 * the last statement was sent. */
	std::string write(Session &s, Values &v, const std::string &item,
			  std::mt19937_64 &r, int64_t *sent_at)
	{
		bool txn = long_txns || r() % 3 == 0;

		*sent_at = now_ms();
		if (!txn) {
			if (!change_values(s, v, r))
				return "ERROR ABORTED";
			*sent_at = now_ms();
			return write_one(s, v, item, r);
		}
		std::string a = s.query("BEGIN");
		if (a.rfind("COMPLETE", 0) != 0)
			return a == "closed" ? "ERROR ABORTED" : a;
		if (long_txns || r() % 3 == 0)
			pause_in_txn(s, v, r);
		if (!change_values(s, v, r))
			return "ERROR ABORTED";
		a = write_one(s, v, item, r);
		if (a.rfind("COMPLETE", 0) != 0) {
			/* Without a commit the write is not kept. */
			bool rolled_back =
				s.query("ROLLBACK").find("READY I") !=
				std::string::npos;
			if (!rolled_back)
				return "ERROR ABORTED";
			read_values(s, v);
			return "ERROR ABORTED READY I";
		}
		*sent_at = now_ms();
		return s.query("COMMIT");
	}

	/* Reads of the same session after its transaction was rolled back: they
	 * often use the same connection. */
	void read_values(Session &s, const Values &v)
	{
		for (int i = 0; i < 8; i++) {
			s.query("READ values~" + v.tag);
			usleep(long_txns ? 30000 : 0);
		}
	}

	void run_caller(int caller, uint64_t seed)
	{
		std::mt19937_64 r(seed);
		Session s;
		Values values;
		bool open = false;
		std::string key = key_of(caller);
		int64_t sent_at;

		for (int i = 0; !stop_callers; i++) {
			std::string item = "w" + std::to_string(caller) + "-" +
					   std::to_string(i);

			if (!open) {
				values = Values();
				open = s.open(
					d.client_addr((int)(r() % QUIET_PROXY)),
					"tickets", key);
			}
			if (with_tenants && !open && r() % 20 == 0)
				key = key_of(caller);
			if (!open) {
				usleep(20000);
				continue;
			}
			std::string a = write(s, values, item, r, &sent_at);
			{
				std::lock_guard<std::mutex> g(lock);
				writes.push_back({item, outcome_of(a), now_ms(),
						  key, sent_at});
				acknowledged_writes +=
					outcome_of(a) == ACKNOWLEDGED;
			}
			if (outcome_of(a) == ACKNOWLEDGED)
				read_back(s, values, item);
			open = a != "closed" &&
			       a.find("READY I") != std::string::npos;
			/* A withdrawn key is tried for longer than the bound.
			 */
			if (a.rfind("ERROR DENIED", 0) == 0 && r() % 400 == 0)
				open = false;
			usleep((useconds_t)(r() % 8000));
		}
	}

	/* Counts a read that misses a committed write of its own session. A
	 * write that a promotion discarded does not count. */
	void read_back(Session &s, const Values &v, const std::string &item)
	{
		int before = possible_promotions;
		std::string a = s.query("READ " + item + "~" + v.tag);

		if (a.rfind("DATAROW none", 0) == 0 &&
		    possible_promotions == before && is_kept(item))
			stale_reads++;
	}

	/* Whether all promotions have kept a write. */
	bool is_kept(const std::string &item)
	{
		return d.send_platform_command("ever " + item) ==
		       d.send_platform_command("count " + item);
	}

	/* Keeps transactions of the quiet proxy that only read open across
	 * faults. */
	void hold_transactions(uint64_t seed)
	{
		std::mt19937_64 r(seed);
		Session s;

		while (!stop_callers) {
			if (!s.open(d.client_addr(QUIET_PROXY), "orders") ||
			    !statement_succeeded(s.query("BEGIN")) ||
			    !statement_succeeded(s.query("READ held"))) {
				usleep(20000);
				continue;
			}
			usleep((useconds_t)(r() % 1400) * 1000);
			s.query("COMMIT");
		}
	}

	/* Newest write that a read of limited age must not miss; "" if there is
	 * none. */
	std::string newest_aged_write()
	{
		std::lock_guard<std::mutex> g(lock);
		int64_t limit = now_ms() - ALLOWED_AGE_MS;

		for (auto w = writes.rbegin(); w != writes.rend(); ++w)
			if (w->outcome == ACKNOWLEDGED &&
			    w->answered_at < limit)
				return w->item;
		return "";
	}

	/* Reads writes of the allowed age, and counts those that are missing.
	 */
	void read_aged(int proxy)
	{
		Session s;
		std::string answer = "closed";

		while (!stop_callers) {
			std::string item = newest_aged_write();

			usleep(5000);
			if (answer == "closed" &&
			    !s.open(d.client_addr(proxy), "catalogue"))
				continue;
			if (item.empty())
				continue;
			answer = s.query("READ " + item);
			denied_wrongly += answer.rfind("ERROR DENIED", 0) == 0;
			aged_reads += answer.rfind("DATAROW ", 0) == 0;
			if (answer.rfind("DATAROW none", 0) == 0 &&
			    is_kept(item) && !too_old_reads++)
				printf("%s missed: %s\n", item.c_str(),
				       answer.c_str());
		}
	}

	/* The state of one fault injecting thread, with its own generator. */
	struct FaultThread {
		std::mt19937_64 rng;
		bool disk_wiped = false;

		int pick(int n)
		{
			return (int)(rng() % (uint64_t)n);
		}
	};

	void publish(FaultThread &r)
	{
		std::lock_guard<std::mutex> publishing(publish_lock);
		int v = acknowledged_version + 1 + r.pick(3);

		if (with_tenants)
			v = attempted_version += 1 + r.pick(3);
		if (d.publish_config(d.config_document(v)).status == 200)
			acknowledged_version = v;
	}

	/* Begins a fault and ends it after 100 to 1599 ms. */
	template <class A, class B>
	void inject_for_a_while(FaultThread &r, A begin, B end)
	{
		begin();
		usleep((useconds_t)(100000 + r.pick(1500) * 1000));
		end();
	}

	/* Appends an incomplete record to the log, as a power failure during a
	 * write leaves it. */
	void append_torn_record(int c)
	{
		for (const auto &f :
		     std::filesystem::directory_iterator(d.data(c))) {
			auto size = std::filesystem::file_size(f.path());

			if (f.path().filename().string().rfind("log", 0) == 0 &&
			    size > 64)
				std::ofstream(f.path(), std::ios::app)
					<< "torn";
		}
	}

	void inject_control_fault(FaultThread &r)
	{
		int c = r.pick(3);
		bool wipe = !r.disk_wiped && r.pick(4) == 0;

		switch (r.pick(5)) {
		case 0:
			inject_for_a_while(
				r, [&] { d.control(c).kill(); },
				[&] { d.start_process(d.control(c)); });
			break;
		case 1:
			inject_for_a_while(
				r, [&] { d.control(c).suspend_process(); },
				[&] { d.control(c).resume_process(); });
			break;
		case 2:
			inject_for_a_while(
				r, [&] { d.control(c).send_sigterm(); },
				[&] {
					d.control(c).kill();
					d.start_process(d.control(c));
				});
			break;
		case 3:
			/* The control group tolerates the loss of one disk, but
			 * not of a second one before the first instance has
			 * recovered all data. So only one disk is wiped. */
			d.control(c).kill();
			if (wipe) {
				std::filesystem::remove_all(d.data(c));
				r.disk_wiped = true;
			} else {
				append_torn_record(c);
			}
			d.start_process(d.control(c));
			usleep(wipe ? 3000000 : 300000);
			break;
		case 4:
			publish(r);
			break;
		}
	}

	/* Disturbs the connections of one or all proxies to a member. */
	void inject_connection_fault(FaultThread &r, const std::string &m)
	{
		static const char *const relay_commands[] = {
			"cut %s",     "freeze %s",    "forget %s",
			"drop %s up", "drop %s down", "delay %s 40"};
		int proxy = r.pick(PROXIES + 1);
		std::string name =
			(proxy < PROXIES ? "p" + std::to_string(proxy) : "*") +
			">" + m;
		char command[128];

		snprintf(command, sizeof(command), relay_commands[r.pick(6)],
			 name.c_str());
		possible_promotions++;
		inject_for_a_while(
			r, [&] { d.send_relay_command(command); },
			[&] { d.send_relay_command("heal " + name); });
		possible_promotions++;
	}

	/* Lets the primary receive nothing, and only the quiet proxy reach it,
	 * so that it is replaced and does not hear of it. */
	void isolate_primary()
	{
		std::string m = d.send_platform_command("primary");

		possible_promotions++;
		d.send_platform_command("deaf " + m);
		d.send_relay_command("freeze c*>" + m);
		for (int i = 0; i < QUIET_PROXY; i++)
			d.send_relay_command("freeze p" + std::to_string(i) +
					     ">" + m);
		usleep(ISOLATE_MS * 1000);
		d.send_relay_command("heal c*>" + m);
		for (int i = 0; i < QUIET_PROXY; i++)
			d.send_relay_command("heal p" + std::to_string(i) +
					     ">" + m);
		d.send_platform_command("hear " + m);
		possible_promotions++;
	}

	/* Two proxies of other zones can't reach the primary, so it is
	 * replaced. Those of its zone have transactions open on it, and read
	 * there when it is a replica. */
	void cut_primary_from_some()
	{
		std::string m = d.send_platform_command("primary");
		int zone = m[1] - '0';

		possible_promotions++;
		for (int i = 1; i < 3; i++)
			d.send_relay_command("freeze p" +
					     std::to_string((zone + i) % 3) +
					     ">" + m);
		usleep(ISOLATE_MS * 1000);
		for (int i = 1; i < 3; i++)
			d.send_relay_command("heal p" +
					     std::to_string((zone + i) % 3) +
					     ">" + m);
		usleep(500000);
		possible_promotions++;
	}

	/* Callers change values in transactions while primaries are replaced.
	 */
	void run_replaced_primaries(int rounds)
	{
		std::vector<std::thread> callers;

		long_txns = true;
		d.use_relay();
		ASSERT_TRUE(d.start());
		for (int i = 0; i < 4 * CALLERS; i++)
			callers.emplace_back(
				[this, i, n = rng()] { run_caller(i, n); });
		std::string first = d.send_platform_command("primary");
		bool replaced = false;
		for (int i = 0; i < rounds; i++) {
			cut_primary_from_some();
			replaced |= d.send_platform_command("primary") != first;
		}
		EXPECT_TRUE(replaced);
		check(callers);
	}

	/* A member leaves, ends, and is succeeded at its address. */
	void replace_member(FaultThread &r)
	{
		std::string m = "m" + std::to_string(r.pick(3));

		possible_promotions++;
		d.send_platform_command("leave " + m);
		usleep((useconds_t)(300 + r.pick(1500)) * 1000);
		d.send_platform_command("end " + m);
		usleep((useconds_t)(ADDR_REUSE_MS + r.pick(1000)) * 1000);
		d.send_platform_command("succeed " + m);
		possible_promotions++;
	}

	/* Orders to one member are left unanswered and carried out late. */
	void delay_orders(FaultThread &r)
	{
		d.send_platform_command("late m" + std::to_string(r.pick(3)) +
					" " + std::to_string(1 + r.pick(3)) +
					" " +
					std::to_string(2000 + r.pick(4000)));
	}

	/* A replica receives nothing, the primary crashes meanwhile, and so
	 * does the next one at times, while another member may be leaving. */
	void lose_primaries(FaultThread &r)
	{
		std::string deaf = "m" + std::to_string(r.pick(3));
		std::string first = d.send_platform_command("primary");

		possible_promotions++;
		d.send_platform_command("deaf " + deaf);
		usleep((useconds_t)(300 + r.pick(1000)) * 1000);
		d.send_platform_command("crash " + first);
		usleep((useconds_t)(600 + r.pick(1400)) * 1000);
		std::string next = d.send_platform_command("primary");
		if (r.pick(2))
			d.send_platform_command("crash " + next);
		usleep((useconds_t)r.pick(500) * 1000);
		d.send_platform_command("start " + first);
		usleep((useconds_t)(500 + r.pick(1000)) * 1000);
		d.send_platform_command("hear " + deaf);
		d.send_platform_command("start " + next);
		possible_promotions++;
	}

	void inject_service_fault(FaultThread &r)
	{
		int p = r.pick(PROXIES);
		std::string m = "m" + std::to_string(r.pick(3));

		if (with_sync && r.pick(5) == 0)
			delay_orders(r);
		if (with_sync && r.pick(2)) {
			lose_primaries(r);
			return;
		}
		switch (r.pick(13)) {
		case 0:
			inject_for_a_while(
				r, [&] { d.proxy(p).kill(); },
				[&] { d.start_process(d.proxy(p)); });
			break;
		case 1:
			inject_for_a_while(
				r, [&] { d.proxy(p).suspend_process(); },
				[&] { d.proxy(p).resume_process(); });
			break;
		case 2:
			inject_for_a_while(
				r, [&] { d.proxy(p).send_sigterm(); },
				[&] {
					d.proxy(p).kill();
					d.start_process(d.proxy(p));
				});
			break;
		case 3:
			possible_promotions++;
			inject_for_a_while(
				r,
				[&] { d.send_platform_command("crash " + m); },
				[&] { d.send_platform_command("start " + m); });
			possible_promotions++;
			break;
		case 4:
			possible_promotions++;
			inject_for_a_while(
				r,
				[&] { d.send_platform_command("mute " + m); },
				[&] { d.send_platform_command("speak " + m); });
			possible_promotions++;
			break;
		case 5:
			d.send_platform_command("lose " + m + " 3");
			break;
		case 6:
			inject_for_a_while(
				r, [&] { d.send_platform_command("lag 400"); },
				[&] { d.send_platform_command("lag 5"); });
			break;
		case 7:
			possible_promotions++;
			inject_for_a_while(
				r,
				[&] { d.send_platform_command("deaf " + m); },
				[&] { d.send_platform_command("hear " + m); });
			possible_promotions++;
			break;
		case 8:
		case 9:
		case 10:
			isolate_primary();
			break;
		default:
			inject_connection_fault(r, m);
			break;
		}
	}

	void check_writes()
	{
		for (const Write &w : writes) {
			int n = std::stoi(
				d.send_platform_command("ever " + w.item));
			int strays = std::stoi(
				d.send_platform_command("strays " + w.item));

			switch (w.outcome) {
			case ACKNOWLEDGED:
				EXPECT_EQ(1, n) << w.item << " acknowledged";
				if (with_sync) {
					EXPECT_EQ("1",
						  d.send_platform_command(
							  "count " + w.item))
						<< w.item << " lost";
				}
				break;
			case NOT_RUN:
				EXPECT_EQ(0, n + strays)
					<< w.item << " refused";
				break;
			case UNKNOWN:
				EXPECT_LE(n + strays, 1)
					<< w.item << " unknown";
				break;
			}
		}
	}

	/* Nothing was committed for a key that was withdrawn too long ago. */
	void check_withdrawn_keys()
	{
		int late = 0;

		for (const Write &w : writes) {
			int64_t at = keys.withdrawn_at(w.key);

			if (at < 0 || w.sent_at <= at + KEY_LEASE_MS)
				continue;
			late++;
			EXPECT_EQ("0",
				  d.send_platform_command("ever " + w.item))
				<< w.item << " sent " << w.sent_at - at
				<< " ms after its key was withdrawn";
			EXPECT_NE(ACKNOWLEDGED, w.outcome) << w.item;
		}
		EXPECT_EQ(0, denied_wrongly);
		EXPECT_EQ(std::string::npos,
			  d.send_platform_command("tenants").find("key-"))
			<< "members are told no keys";
		printf("%zu keys withdrawn, %d writes later than the bound\n",
		       keys.withdrawn(), late);
	}

	void run()
	{
		std::vector<std::thread> callers;

		if (soak_seed % 2)
			d.limit_member_connections(CONNECTIONS_PER_MEMBER);
		/* Acknowledged writes of a replaced primary count as lost. */
		if (soak_seed % GOES_ON_EVERY == 0)
			d.let_replaced_primaries_go_on();
		if (with_tenants)
			d.use_tenants(keys.tenants(), KEY_LEASE_MS);
		if (with_sync)
			d.use_synchronous_replica();
		d.use_relay();
		ASSERT_TRUE(d.start());
		for (int i = 0; i < CALLERS; i++)
			callers.emplace_back(
				[this, i, n = rng()] { run_caller(i, n); });
		/* With few connections the writes need the others. */
		for (int i = 0; i < (soak_seed % 2 ? 1 : 3); i++)
			callers.emplace_back(
				[this, n = rng()] { hold_transactions(n); });
		for (int i = 0; i < PROXIES; i++)
			callers.emplace_back([this, i] { read_aged(i); });
		if (with_tenants)
			callers.emplace_back(
				[this, n = rng()] { change_keys(n); });
		FaultThread control{std::mt19937_64(rng())};
		FaultThread service{std::mt19937_64(rng())};
		int64_t end = now_ms() + FAULT_MS;
		/* A process is killed when the thread that started it exits, so
		 * this thread stays until the checks are done. */
		std::thread control_faults([&] {
			while (now_ms() < end)
				inject_control_fault(control);
			control_faults_done = true;
			while (!checks_done)
				usleep(10000);
		});
		std::thread replacements([&, n = rng()] {
			FaultThread r{std::mt19937_64(n)};

			while (with_sync && now_ms() < end)
				replace_member(r);
		});
		while (now_ms() < end)
			inject_service_fault(service);
		replacements.join();
		while (!control_faults_done)
			usleep(10000);
		check(callers);
		for (int i = 0; i < 3; i++)
			d.control(i).kill();
		checks_done = true;
		control_faults.join();
	}

	void check(std::vector<std::thread> &callers)
	{
		int ms = RECOVER_MS + (with_sync ? LATE_ORDER_MS : 0);

		for (int i = 0; i < PROXIES; i++)
			EXPECT_TRUE(d.wait_until_serving(i, ms))
				<< "proxy " << i;
		stop_callers = true;
		for (std::thread &t : callers)
			t.join();
		check_writes();
		if (with_tenants)
			check_withdrawn_keys();
		EXPECT_EQ("0", d.send_platform_command("wrong_values"))
			<< "statements with other session values, of "
			<< changed_values << " changes";
		EXPECT_EQ(0, unknown_names);
		EXPECT_EQ(0, stale_reads) << "own reads that missed a write";
		EXPECT_EQ(0, too_old_reads) << "of " << aged_reads;
		std::string doc = d.read_config().body;
		EXPECT_GE(atoi(doc.c_str() + doc.find(':') + 1),
			  acknowledged_version.load())
			<< doc;
		printf("%zu writes, %d acknowledged, %d aged reads\n",
		       writes.size(), acknowledged_writes, aged_reads.load());
	}
};

uint64_t number_from(const char *name, uint64_t fallback)
{
	const char *text = getenv(name);

	return text ? strtoull(text, nullptr, 10) : fallback;
}

} // namespace

TEST(PlatformSoak, PromisesHoldUnderRandomFaults)
{
	uint64_t first = number_from("SEED", number_from("FIRST", 1));
	uint64_t n = getenv("SEED") ? 1 : number_from("SEEDS", 3);
	std::vector<uint64_t> seeds;

	for (uint64_t i = 0; i < n; i++)
		seeds.push_back(first + i);
	if (!getenv("SEED") && !getenv("SEEDS"))
		seeds.insert(seeds.end(), KEPT_SEEDS.begin(), KEPT_SEEDS.end());
	for (uint64_t seed : seeds) {
		SCOPED_TRACE("SEED=" + std::to_string(seed));
		Soak soak(seed);

		soak.run();
		if (HasFailure()) {
			printf("failed with SEED=%llu\n",
			       (unsigned long long)seed);
			return;
		}
	}
}

/* Guards against statements that run with other session values than their
 * caller was told, or unknown names, since a member that has lost the lead
 * refused a SET or PREPARE (review/15). */
TEST(PlatformSoak, ValuesHoldWhilePrimariesAreReplaced)
{
	/* A seed without tenants, whose callers each have a key of their own.
	 */
	Soak(4).run_replaced_primaries(3);
}
