#include <gtest/gtest.h>

#include <string>

extern "C" {
#include "msg.h"
#include "route_table.h"
}

namespace
{

struct route_table *make_table(int databases)
{
	struct route_table *r = rt_new();

	r->version = 7;
	r->txn_idle_ms = 3000;
	r->ndatabases = databases;
	r->databases = (struct rt_database *)calloc((size_t)databases,
						    sizeof(*r->databases));
	for (int i = 0; i < databases; i++) {
		struct rt_database *d = &r->databases[i];

		snprintf(d->name, sizeof(d->name), "db%d", i);
		strcpy(d->group, "g1");
		d->read_freshness =
			i % 2 ? RT_READS_OWN_COMMITS : RT_READS_BOUNDED;
		d->max_age_ms = 1500;
		d->statement_timeout_ms = 800 + i;
		d->priority = 2;
	}
	rt_sort(r);
	r->ngroups = 1;
	r->groups = (struct rt_group *)calloc(1, sizeof(*r->groups));
	strcpy(r->groups[0].name, "g1");
	r->groups[0].max_connections = 30;
	r->groups[0].sync_replicas = 1;
	return r;
}

} // namespace

/* Guards against a table that reaches the proxies incomplete: they must apply
 * exactly what control accepted. */
TEST(Routes, TravelWhole)
{
	struct route_table *r = make_table(1400);
	struct buf packed = BUF_INIT;
	int64_t size;

	rt_encode(r, &packed, &size);
	EXPECT_LT(buf_len(&packed), (size_t)size / 4);
	struct blob b = blob_from_buf(&packed);
	struct route_table *copy = rt_decode(&b, size, NULL);
	ASSERT_TRUE(copy);
	EXPECT_EQ(7, copy->version);
	EXPECT_EQ(3000, copy->txn_idle_ms);
	ASSERT_EQ(1400, copy->ndatabases);
	const struct rt_database *d = rt_find_database(copy, "db701");
	ASSERT_TRUE(d);
	EXPECT_STREQ("g1", d->group);
	EXPECT_EQ(RT_READS_OWN_COMMITS, d->read_freshness);
	EXPECT_EQ(1500, d->max_age_ms);
	EXPECT_EQ(1501, d->statement_timeout_ms);
	EXPECT_EQ(2, d->priority);
	EXPECT_FALSE(rt_find_database(copy, "db1400"));
	ASSERT_TRUE(rt_find_group(copy, "g1"));
	EXPECT_EQ(30, rt_find_group(copy, "g1")->max_connections);
	EXPECT_EQ(1, rt_find_group(copy, "g1")->sync_replicas);
	rt_unref(copy);
	rt_unref(r);
	buf_free(&packed);
}

TEST(Routes, RefusesDamagedTables)
{
	struct route_table *r = make_table(3);
	struct buf packed = BUF_INIT;
	struct err e = {};
	int64_t size;

	rt_encode(r, &packed, &size);
	struct blob b = blob_from_buf(&packed);
	b.len--;
	EXPECT_FALSE(rt_decode(&b, size, &e));
	EXPECT_NE('\0', e.text[0]);
	b.len++;
	EXPECT_FALSE(rt_decode(&b, size - 1, &e));
	EXPECT_FALSE(rt_decode(&b, -1, &e));
	rt_unref(r);
	buf_free(&packed);
}

TEST(Routes, AnEmptyTableTravelsToo)
{
	struct route_table *r = rt_new();
	struct buf packed = BUF_INIT;
	int64_t size;

	rt_encode(r, &packed, &size);
	struct blob b = blob_from_buf(&packed);
	struct route_table *copy = rt_decode(&b, size, NULL);
	ASSERT_TRUE(copy);
	EXPECT_EQ(0, copy->ndatabases);
	EXPECT_FALSE(rt_find_database(copy, "db"));
	rt_unref(copy);
	rt_unref(r);
	buf_free(&packed);
}
