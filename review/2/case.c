/*
 * PINNED: a proxy that holds the connections of others is killed and started
 * again while consumers of another proxy are inside transactions.
 *
 * Seven proxies share 13 connections of each member, so only some proxies hold
 * connections ("runners") and run the statements of the others. The consumers
 * use one proxy in zone zc. Those of database da have their transactions at a
 * primary in zone za, those of db at a primary in zone zb; each is run by
 * another proxy.
 */
#include "fleet.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

enum { N = 5, STATEMENT_MS = 3000 };

static struct fl_session old_a[N], old_b[N], new_a[N];

/* Opens a session, begins a transaction and writes in it. */
static bool begin(struct fl_session *c, const char *prefix, int i,
		  const struct fl_process *p, const char *database)
{
	char name[16];

	snprintf(name, sizeof(name), "%s%d", prefix, i);
	return fl_open(c, name, p, database) &&
	       fl_query(c, STATEMENT_MS, "BEGIN") == 1 &&
	       fl_query(c, STATEMENT_MS, "WRITE %s-1 x", name) == 1;
}

/* The only proxy that the primaries' zones can have as their runner for a
 * service: services are dealt out to two slices by name, and so are the proxies
 * of each zone. */
static struct fl_process *runner_of_da;

int main(void)
{
	struct fl_process *front = NULL;
	struct fl_service *da, *db;
	char first[256] = "";
	int mixed, begun = 0, continued = 0, refused = 0;

	fl_init("review/2/record.txt");
	runner_of_da = fl_add_proxy("za");
	fl_add_proxy("za");
	fl_add_proxy("zb");
	fl_add_proxy("zb");
	front = fl_add_proxy("zc");
	fl_add_proxy("zc");
	fl_add_proxy("zc");
	da = fl_add_service("da", 13, 5, 5, 0);
	db = fl_add_service("db", 13, 5, 5, 0);
	fl_add_member(da, "za", true);
	fl_add_member(da, "zb", false);
	fl_add_member(da, "zc", false);
	fl_add_member(db, "za", false);
	fl_add_member(db, "zb", true);
	fl_add_member(db, "zc", false);
	fl_add_route("shop-a", "da", "primary", 1000, 0);
	fl_add_route("shop-b", "db", "primary", 1000, 0);
	fl_start();
	fl_sleep_until(fl_now() + 2500);

	for (int i = 0; i < N; i++)
		begun += begin(&old_a[i], "a", i, front, "shop-a");
	for (int i = 0; i < N; i++)
		begun += begin(&old_b[i], "b", i, front, "shop-b");
	if (begun < 2 * N)
		fl_finish(2, "only %d transactions began", begun);
	int64_t at = fl_now();

	if (fl_trouble()) {
		fl_kill(runner_of_da, SIGKILL);
		fl_record("fleet", "%s is killed", runner_of_da->name);
		fl_sleep_until(at + 200);
		fl_start_process(runner_of_da);
		fl_record("fleet", "%s is started again", runner_of_da->name);
	}
	fl_sleep_until(at + 2000);
	/* Other consumers begin transactions at the same primary. */
	for (int i = 0; i < N; i++)
		begun += begin(&new_a[i], "n", i, front, "shop-a");
	/* The first ones go on after a pause of less than txn_idle_ms. */
	for (int i = 0; i < N; i++) {
		int r = fl_query(&old_a[i], STATEMENT_MS, "WRITE a%d-2 x", i);

		continued += r == 1;
		refused += r == 0;
	}
	for (int i = 0; i < N; i++)
		fl_query(&new_a[i], STATEMENT_MS, "COMMIT");
	for (int i = 0; i < N; i++)
		fl_query(&old_a[i], STATEMENT_MS, "COMMIT");
	for (int i = 0; i < N; i++)
		fl_query(&old_b[i], STATEMENT_MS, "COMMIT");
	fl_sleep_until(fl_now() + 300);

	mixed = fl_mixed_transactions(first, sizeof(first));
	for (int i = 0; i < N; i++) {
		char item[2][16];

		snprintf(item[0], 16, "a%d-1", i);
		snprintf(item[1], 16, "a%d-2", i);
		if (!fl_count_item(da, item[0]) && fl_count_item(da, item[1]))
			fl_record("check",
				  "of the transaction of a%d, whose second "
				  "write is committed, the first is missing",
				  i);
	}
	(void)db;
	if (mixed)
		fl_finish(1, "PINNED: %d transactions with statements of two "
			     "consumers; %s; %d statements went on, %d were "
			     "refused",
			  mixed, first, continued, refused);
	fl_finish(0, "no transaction held statements of two consumers; %d "
		     "statements went on, %d were refused",
		  continued, refused);
}
