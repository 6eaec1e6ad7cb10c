/*
 * Injects random faults under load and checks the recorded history at the end.
 * The environment variable SEED selects one seed; without it, the fixed seeds
 * of the ordinary test run are used. "make soak SEEDS=200" runs 200 seeds.
 */

#include "lib_load.h"

#include <gtest/gtest.h>

using namespace cluster;
using namespace load;

namespace
{

constexpr int FAULT_TIME_MS = 5000;
constexpr int MAX_CONCURRENT_FAULTS = 2;
constexpr int SETTLE_MS = 15000;

struct Fault {
	std::string name; /* of a process; "" for a fault of the relay */
	std::string undo; /* "start", "thaw" or a command to the relay */
	std::string text;
	int64_t until; /* time at which it is repaired, in ms */
};

class Soak : public testing::TestWithParam<int>
{
      protected:
	static Spec spec()
	{
		Spec s;

		s.relay = true;
		return s;
	}
	Cluster c{spec()};
	history::History h;
	std::mt19937 rng{(unsigned)GetParam()};
	std::vector<Fault> faults;
	int64_t began = 0;

	int pick(int n)
	{
		return (int)(rng() % (unsigned)n);
	}
	std::string process(const char *kind)
	{
		return kind + std::to_string(pick(3) + 1);
	}
	/* Returns the primary in half of the cases, because a fault of a
	 * replica seldom has an effect. */
	std::string any_member()
	{
		std::string primary = last_promoted_member(c);

		return pick(2) && !primary.empty() ? primary
						   : process("orders-");
	}
	std::string any_process()
	{
		switch (pick(4)) {
		case 0:
			return process("p");
		case 1:
			return process("c");
		default:
			return any_member();
		}
	}
	/* Returns the relay's name of a link between two random processes. */
	std::string any_link()
	{
		switch (pick(5)) {
		case 0:
			return process("p") + ">" + any_member();
		case 1:
			return process("orders-") + ">" + any_member();
		case 2:
			return process("p") + ">" + process("c");
		case 3:
			return process("c") + ">" + process("c");
		default:
			return process("p") + ">" + process("p") + "-link";
		}
	}
	void relay(const std::string &command, const std::string &pattern,
		   const std::string &rest, int64_t until)
	{
		std::string line = command + " " + pattern + rest;

		c.relay_command(line);
		if (command != "forget")
			faults.push_back({"", "heal " + pattern, line, until});
		print_event(line);
	}
	void print_event(const std::string &text)
	{
		printf("%5lld ms: %s\n", (long long)(now_ms() - began),
		       text.c_str());
	}
	bool has_fault(const std::string &name)
	{
		for (const Fault &f : faults)
			if (f.name == name)
				return true;
		return false;
	}
	void stop(const std::string &name, bool kill, int64_t until)
	{
		if (has_fault(name))
			return;
		if (kill)
			c.process(name).kill();
		else
			c.process(name).suspend_process();
		faults.push_back({name, kill ? "start" : "thaw", "", until});
		print_event((kill ? "kill " : "freeze ") + name);
	}
	void inject_fault()
	{
		int64_t until = now_ms() + 200 + pick(2500);
		std::string name;

		switch (pick(11)) {
		case 0:
		case 1:
			stop(any_process(), true, until);
			break;
		case 2:
		case 3:
			stop(any_process(), false, until);
			break;
		case 4:
			name = any_process();
			relay("cut", name, "", until);
			relay("cut", name + ">*", "", until);
			break;
		case 5:
			relay("cut", any_link(), "", until);
			break;
		case 6:
			relay("forget", any_link(), "", until);
			break;
		case 7:
			relay("drop", any_link(), pick(2) ? " up" : " down",
			      until);
			break;
		case 8:
			name = any_member();
			relay("cut", "orders-*>" + name, "", until);
			break;
		case 9:
			name = any_member();
			relay("drop", "p*>" + name, " down", until);
			break;
		case 10:
			relay("delay", any_link(),
			      " " + std::to_string(5 + pick(100)), until);
			break;
		}
	}
	void repair(const Fault &f)
	{
		if (f.undo == "start")
			c.start(f.name);
		else if (f.undo == "thaw")
			c.process(f.name).resume_process();
		else
			c.relay_command(f.undo);
		print_event(f.name.empty() ? f.undo : f.undo + " " + f.name);
	}
	void repair_due(int64_t now)
	{
		for (size_t i = 0; i < faults.size();)
			if (faults[i].until <= now) {
				repair(faults[i]);
				faults.erase(faults.begin() + (long)i);
			} else {
				i++;
			}
	}
	void run_faults()
	{
		int64_t next = 0;

		began = now_ms();
		while (now_ms() < began + FAULT_TIME_MS) {
			repair_due(now_ms());
			if (now_ms() >= next &&
			    faults.size() < MAX_CONCURRENT_FAULTS) {
				inject_fault();
				next = now_ms() + 100 + pick(900);
			}
			std::this_thread::sleep_for(
				std::chrono::milliseconds(10));
		}
		repair_due(INT64_MAX);
		c.relay_command("heal *");
	}
};

/* Guards against failures that occur only when several faults coincide, which
 * the tests of single faults don't cover. */
TEST_P(Soak, KeepsItsGuaranteesUnderRandomFaults)
{
	Options o;
	std::string wrong;

	o.seed = (unsigned)GetParam();
	o.callers = 6;
	ASSERT_TRUE(c.start()) << "seed " << o.seed;
	ASSERT_TRUE(create_table(c));
	Load l(c, h, o);
	ASSERT_TRUE(wait_until(5000, [&] {
		return h.count(history::Outcome::ANSWERED) > 50;
	}));
	run_faults();
	int64_t before = h.count(history::Outcome::ANSWERED);
	EXPECT_TRUE(wait_until(SETTLE_MS, [&] {
		return h.count(history::Outcome::ANSWERED) > before + 20;
	})) << "no service after the faults";
	l.stop();
	EXPECT_EQ("", wait_until_consistent(c, h, "orders", SETTLE_MS));
	EXPECT_EQ("", join(h.check()));
	EXPECT_EQ("", join(l.found_violations()));
	printf("seed=%u answered=%lld unknown=%lld not_run=%lld %s\n", o.seed,
	       (long long)h.count(history::Outcome::ANSWERED),
	       (long long)h.count(history::Outcome::UNKNOWN),
	       (long long)h.count(history::Outcome::NOT_RUN),
	       HasFailure() ? "FAILED" : "passed");
}

std::vector<int> seeds()
{
	const char *one = getenv("SEED");

	return one ? std::vector<int>{atoi(one)} : std::vector<int>{1, 2, 3, 4};
}

INSTANTIATE_TEST_SUITE_P(Seeds, Soak, testing::ValuesIn(seeds()),
			 testing::PrintToStringParamName());

} // namespace
