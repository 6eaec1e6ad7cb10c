#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

extern "C" {
#include "apikey.h"
}

/* The lease of API keys and the decisions about statements. */
namespace
{

constexpr clk_ms LEASE = 5000;

struct Apikey : testing::Test {
	struct akey_lease l = {.duration_ms = LEASE};
	struct route_table *table = rt_new();

	void SetUp() override
	{
		table->version = 1;
		table->has_tenants = true;
		table->tenants = (rt_tenant *)calloc(2, sizeof(rt_tenant));
		table->ntenants = 2;
		strcpy(table->tenants[0].name, "acme");
		strcpy(table->tenants[1].name, "zeta");
		table->api_keys = (rt_api_key *)calloc(2, sizeof(rt_api_key));
		table->napi_keys = 2;
		strcpy(table->api_keys[0].hash, "aa");
		strcpy(table->api_keys[1].hash, "cc");
		table->api_keys[1].tenant = 1;
		rt_sort(table);
	}

	void TearDown() override
	{
		rt_unref(table);
	}

	enum res check(const char *hash, clk_ms now, bool is_public = false,
		       const char *txn = nullptr)
	{
		struct akey_request q = {hash, is_public, txn};

		return akey_check(&l, table, &q, now).res;
	}

	std::string tenant(const char *hash, clk_ms now, bool is_public = false)
	{
		struct akey_request q = {hash, is_public, nullptr};

		return akey_check(&l, table, &q, now).tenant;
	}
};

} // namespace

/* Guards against keys that are equal under all deployments, so that a hash read
 * on one could be compared with those of another. */
TEST_F(Apikey, TheHashDependsOnKeyAndSecret)
{
	unsigned char secret[AKEY_SECRET_LEN] = {1};
	unsigned char other[AKEY_SECRET_LEN] = {2};
	char a[RT_KEY_HASH_HEX];
	char b[RT_KEY_HASH_HEX];

	akey_hash(secret, "key", 3, a);
	akey_hash(secret, "key-and-more", 3, b);
	EXPECT_STREQ(a, b);
	EXPECT_EQ((size_t)RT_KEY_HASH_HEX - 1, strlen(a));
	akey_hash(other, "key", 3, b);
	EXPECT_STRNE(a, b);
	akey_hash(secret, "kez", 3, b);
	EXPECT_STRNE(a, b);
}

TEST_F(Apikey, DecidesByKeyAndRoute)
{
	akey_on_answer(&l, {1000, 1}, 1);
	EXPECT_EQ(RES_OK, check("aa", 1001));
	EXPECT_EQ("acme", tenant("aa", 1001));
	EXPECT_EQ("zeta", tenant("cc", 1001));
	EXPECT_EQ(RES_AUTH, check("bb", 1001));
	EXPECT_EQ(RES_AUTH, check("", 1001)) << "no key";
	EXPECT_EQ(RES_OK, check("", 1001, true));
	EXPECT_EQ(RES_OK, check("bb", 1001, true));
	EXPECT_EQ("", tenant("bb", 1001, true));
	EXPECT_EQ("acme", tenant("aa", 1001, true)) << "a known key counts";
	struct akey_request q = {"aa", false, nullptr};
	EXPECT_EQ(1000 + LEASE, akey_check(&l, table, &q, 1001).until);
}

/* Guards against a caller that is refused, or a member that is told another
 * name, on a deployment without tenants. */
TEST_F(Apikey, WithoutTenantsEverythingIsPermitted)
{
	struct akey_request q = {"", false, nullptr};

	table->has_tenants = false;
	for (const struct route_table *t : {(const struct route_table *)table,
					    (const route_table *)nullptr}) {
		struct akey_permit p = akey_check(&l, t, &q, 77);

		EXPECT_EQ(RES_OK, p.res);
		EXPECT_STREQ("", p.tenant);
		EXPECT_EQ(0, p.until);
	}
}

TEST_F(Apikey, WithoutLeaseDurationKeysAreUsedForEver)
{
	l.duration_ms = 0;
	EXPECT_EQ(RES_OK, check("aa", 1 << 30));
	EXPECT_EQ(RES_AUTH, check("bb", 1 << 30));
	struct akey_request q = {"aa", false, nullptr};
	EXPECT_EQ(0, akey_check(&l, table, &q, 1 << 30).until);
}

/* Guards against a transaction that goes on after its key was withdrawn or
 * given to another tenant. */
TEST_F(Apikey, ATransactionStaysWithItsTenant)
{
	akey_on_answer(&l, {1000, 1}, 1);
	EXPECT_EQ(RES_OK, check("aa", 1001, false, "acme"));
	EXPECT_EQ(RES_AUTH, check("aa", 1001, false, "zeta"));
	EXPECT_EQ(RES_AUTH, check("bb", 1001, false, "acme"));
	EXPECT_EQ(RES_AUTH, check("bb", 1001, true, "acme"))
		<< "withdrawn, on a public route";
	EXPECT_EQ(RES_AUTH, check("aa", 1001, true, ""))
		<< "begun without a tenant";
	EXPECT_EQ(RES_OK, check("bb", 1001, true, ""));
	table->has_tenants = false;
	EXPECT_EQ(RES_OK, check("aa", 1001, false, "acme"));
}

/* Guards against a lease that outlasts its proof, also after a suspension,
 * during which the clock goes on. */
TEST_F(Apikey, TheLeaseCountsFromTheAsk)
{
	EXPECT_EQ(RES_KEY_UNCONFIRMED, check("aa", 10)) << "no proof yet";
	EXPECT_EQ(RES_KEY_UNCONFIRMED, check("bb", 10))
		<< "a newer configuration may contain it";
	EXPECT_EQ(RES_OK, check("bb", 10, true)) << "uses no key";
	akey_on_answer(&l, {1000, 1}, 1);
	EXPECT_EQ(RES_OK, check("aa", 1000 + LEASE - 1));
	EXPECT_EQ(RES_KEY_UNCONFIRMED, check("aa", 1000 + LEASE));
	EXPECT_EQ(RES_KEY_UNCONFIRMED, check("aa", 1000 + LEASE, true));
	EXPECT_EQ(RES_KEY_UNCONFIRMED, check("aa", 1000 + 100 * LEASE));
	akey_on_answer(&l, {1500, 1}, 1);
	EXPECT_EQ(RES_KEY_UNCONFIRMED, check("aa", 1000 + 100 * LEASE))
		<< "an answer that came late proves nothing about now";
	akey_on_answer(&l, {1000 + 100 * LEASE, 1}, 1);
	EXPECT_EQ(RES_OK, check("aa", 1001 + 100 * LEASE));
	akey_on_answer(&l, {1600, 1}, 1);
	EXPECT_EQ(RES_OK, check("aa", 1001 + 100 * LEASE))
		<< "an older answer shortens nothing";
}

/* Guards against a key that is used by a configuration that is known to be old:
 * its successor was lost on the way. */
TEST_F(Apikey, ANewerVersionProvesNothingUntilItIsHeld)
{
	akey_on_answer(&l, {1000, 1}, 1);
	for (clk_ms t = 1400; t < 1000 + 2 * LEASE; t += 400)
		akey_on_answer(&l, {t, 2}, 1);
	EXPECT_EQ(RES_OK, check("aa", 1000 + LEASE - 1));
	EXPECT_EQ(RES_KEY_UNCONFIRMED, check("aa", 1000 + LEASE));
	clk_ms last = l.pending.asked_at;
	akey_on_config(&l, 2);
	EXPECT_EQ(RES_OK, check("aa", last + LEASE - 1));
	EXPECT_EQ(RES_KEY_UNCONFIRMED, check("aa", last + LEASE));
}

TEST_F(Apikey, AVersionBetweenTwoProvesNothingOfTheNewest)
{
	akey_on_answer(&l, {1000, 2}, 1);
	akey_on_answer(&l, {2000, 3}, 1);
	akey_on_config(&l, 2);
	EXPECT_EQ(RES_KEY_UNCONFIRMED, check("aa", 2001 + LEASE));
	EXPECT_LE(l.until, 1000 + LEASE);
	akey_on_config(&l, 3);
	EXPECT_EQ(RES_OK, check("aa", 1999 + LEASE));
}

/*
 * Seeded schedules. A leader acknowledges versions; a proxy asks, and answers
 * and configurations are delayed, reordered or lost, links are cut, and the
 * proxy is suspended. Version v contains the key if v is odd. The model knows
 * when each version was acknowledged, so it knows whether the bound holds:
 * never is the key used later than LEASE after a version without it was
 * acknowledged, unless one with it was acknowledged in between.
 */
TEST(ApikeyRandom, AWithdrawnKeyIsNeverUsedLaterThanTheBound)
{
	struct Answer {
		clk_ms at;
		struct akey_proof proof;
		bool brings_config;
	};
	const char *seeds = getenv("SEEDS");
	int used = 0;
	int refused = 0;

	for (int seed = 1; seed <= (seeds ? atoi(seeds) : 300); seed++) {
		std::mt19937_64 r((uint64_t)seed);
		struct akey_lease l = {.duration_ms = LEASE};
		std::vector<clk_ms> acked = {0, 0}; /* by version */
		std::vector<Answer> on_the_way;
		int64_t held = 0;
		clk_ms suspended_until = 0;
		clk_ms cut_until = 0;

		for (clk_ms now = 0; now < 60000; now += 20) {
			int64_t newest = (int64_t)acked.size() - 1;

			if (r() % 300 == 0)
				acked.push_back(now);
			if (r() % 400 == 0)
				suspended_until = now + (clk_ms)(r() % 9000);
			if (r() % 400 == 0)
				cut_until = now + (clk_ms)(r() % 9000);
			if (now < suspended_until)
				continue;
			/* The leader answers between the ask and now. */
			if (r() % 10 == 0 && now >= cut_until) {
				clk_ms delay = (clk_ms)(r() % 10 ? r() % 60
								 : r() % 8000);

				on_the_way.push_back({now + delay,
						      {now, newest},
						      r() % 4 != 0});
			}
			std::shuffle(on_the_way.begin(), on_the_way.end(), r);
			for (size_t i = 0; i < on_the_way.size();) {
				Answer a = on_the_way[i];

				if (a.at > now) {
					i++;
					continue;
				}
				on_the_way.erase(on_the_way.begin() +
						 (ptrdiff_t)i);
				if (r() % 20 == 0)
					continue; /* lost */
				if (a.brings_config && a.proof.version > held) {
					held = a.proof.version;
					akey_on_config(&l, held);
				}
				akey_on_answer(&l, a.proof, held);
			}
			if (held % 2 == 0 || !akey_is_valid(&l, now)) {
				refused++;
				continue;
			}
			used++;
			/* The key is in force, or was withdrawn just now. */
			newest = (int64_t)acked.size() - 1;
			ASSERT_TRUE(newest % 2 ||
				    now < acked[(size_t)newest] + LEASE)
				<< "seed " << seed << " at " << now << " held "
				<< held << " newest " << newest;
			for (int64_t v = held + 1; v <= newest; v++)
				ASSERT_LT(now, acked[(size_t)v] + LEASE)
					<< "seed " << seed << ": version " << v
					<< " unknown for too long";
		}
	}
	EXPECT_GT(used, refused / 10) << "the schedules use keys, too";
}
