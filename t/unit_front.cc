#include <gtest/gtest.h>

extern "C" {
#include "front_priv.h"
#include "settings.h"
}

/* Guards against statements that run on the members of another group. With more
 * than 256 groups, all groups beyond the size of a table shared its last entry
 * (ROUTE in a sweep with 100 instances). */
TEST(Front, KeepsManyGroupsApart)
{
	constexpr int N = 700; /* more than the 650 groups of the target size */
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct settings set = {};
	struct front_server *f = front_new(loop, &set);
	std::vector<backend_info> backends(N);
	std::vector<group_info> groups(N);

	for (int i = 0; i < N; i++) {
		snprintf(backends[i].id, ID_LEN, "m%d", i);
		snprintf(backends[i].group, ID_LEN, "g%d", i);
		strcpy(backends[i].addr, "127.0.0.1:1");
		strcpy(groups[i].name, backends[i].group);
		strcpy(groups[i].primary, backends[i].id);
	}
	front_take_backends(f, backends.data(), N);
	front_take_groups(f, groups.data(), N);
	for (int i = 0; i < N; i++) {
		struct front_group *g = front_find_group(f, groups[i].name);

		EXPECT_STREQ(g->name, groups[i].name);
		ASSERT_EQ(g->nmembers, 1u) << g->name;
		EXPECT_STREQ(front_primary(g)->info.id, backends[i].id);
	}
	front_free(f);
	ev_loop_destroy(loop);
}

/* Guards against a copy from a null pointer: the sanitizers aborted a proxy
 * whose view contained no proxies yet (sys_platform_soak, SEED=1003). */
TEST(Front, TakesAnEmptyListOfProxies)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct settings set = {};
	struct front_server *f = front_new(loop, &set);

	front_take_proxies(f, nullptr, 0);
	EXPECT_EQ(0, f->proxies);
	front_free(f);
	ev_loop_destroy(loop);
}

/*
 * Guards against the pattern that one proxy serves the callers of all others,
 * which are cut off, and sends a pressed member no more than its own share of
 * statements, while slots of the member are idle (incident of Bung, inc-ed8a
 * at 12 to 15 s).
 */
TEST(Front, ProxiesThatAreDownLeaveTheirStatementsToTheOthers)
{
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct settings set = {};
	struct proxy_info proxies[6] = {};
	struct backend_info b = {};
	struct group_info g = {};
	struct err e = ERR_INIT;

	strcpy(set.id, "p0");
	strcpy(set.zone, "za");
	strcpy(set.link, "127.0.0.1:0");
	struct front_server *f = front_new(loop, &set);
	ASSERT_EQ(RES_OK, front_link(f, 1, &e)) << e.text;
	strcpy(b.id, "m0");
	strcpy(b.group, "orders");
	strcpy(b.zone, "za");
	strcpy(b.addr, "127.0.0.1:1");
	strcpy(g.name, "orders");
	strcpy(g.primary, "m0");
	for (int i = 0; i < 6; i++) {
		snprintf(proxies[i].id, ID_LEN, "p%d", i);
		strcpy(proxies[i].zone, i < 3 ? "za" : "zb");
		proxies[i].alive = true;
	}
	front_take_proxies(f, proxies, 6);
	front_take_backends(f, &b, 1);
	front_take_groups(f, &g, 1);
	EXPECT_EQ(6, db_find(f->db, "m0")->sharing_proxies);
	for (int i = 1; i < 6; i++)
		proxies[i].alive = false;
	front_take_proxies(f, proxies, 6);
	EXPECT_EQ(1, db_find(f->db, "m0")->sharing_proxies);
	front_free(f);
	ev_loop_destroy(loop);
}

/* The sizes of the sites with tenants: 83 proxies in three zones, members with
 * 66 connections. Guards against runners with too few connections to keep those
 * of most of their tenants open, and against shares that together exceed what a
 * member accepts. */
TEST(Front, ARunnerOfTenantsHasConnectionsForMostOfThem)
{
	constexpr int PROXIES = 83;
	struct ev_loop *loop = ev_loop_new(EVFLAG_AUTO);
	struct settings set = {};
	struct proxy_info proxies[PROXIES] = {};
	struct backend_info b = {};
	struct route_table *r = rt_new();
	struct err e = ERR_INIT;

	strcpy(set.id, "p00");
	strcpy(set.zone, "z0");
	strcpy(set.link, "127.0.0.1:0");
	struct front_server *f = front_new(loop, &set);
	ASSERT_EQ(RES_OK, front_link(f, 1, &e)) << e.text;
	strcpy(b.id, "m0");
	strcpy(b.group, "orders");
	strcpy(b.zone, "z0");
	strcpy(b.addr, "127.0.0.1:1");
	for (int i = 0; i < PROXIES; i++) {
		snprintf(proxies[i].id, ID_LEN, "p%02d", i);
		snprintf(proxies[i].zone, ID_LEN, "z%d", i % 3);
		proxies[i].alive = true;
	}
	r->version = 1;
	r->has_tenants = true;
	r->groups = (struct rt_group *)calloc(1, sizeof(*r->groups));
	r->ngroups = 1;
	strcpy(r->groups[0].name, "orders");
	r->groups[0].max_connections = 66;
	front_take_backends(f, &b, 1);
	struct group_info g = {};
	strcpy(g.name, "orders");
	strcpy(g.primary, "m0");
	front_take_groups(f, &g, 1);
	front_take_proxies(f, proxies, PROXIES);
	front_take_routes(f, r);
	struct db_member *m = db_find(f->db, "m0");
	EXPECT_EQ(8, f->slice_count);
	EXPECT_TRUE(m->by_tenant);
	EXPECT_EQ(4, m->sharing_proxies);
	EXPECT_EQ(64 * 90 / 4, m->own_conns_percent);
	EXPECT_LE(4 * (m->own_conns_percent / 100 + DB_EXTRA_CONNS), 66);
	rt_unref(r);
	front_free(f);
	ev_loop_destroy(loop);
}
