/*
 * Case 6. A service with sync_replicas 1. One replica (i-1) receives nothing for
 * 6.5 s, the other one (i-2) drains before a planned shutdown; then the primary
 * crashes. The draining replica has every acknowledged commit.
 */
#include "../lib-2/world.h"

#include <string.h>


static char acked[2000][64];
static int nacked;

/* One write of a consumer with a session of its own. */
static void write_once(int proxy, int n)
{
	struct w_session s;
	char text[64];
	char id[64];
	char code[64];

	snprintf(text, sizeof(text), "WRITE item%d v%d", n, n);
	if (w_open(&s, proxy, "orders") &&
	    w_query(&s, text, id, code, NULL, 1200) == 'C' && nacked < 2000)
		snprintf(acked[nacked++], sizeof(acked[0]), "%s", id);
	w_close(&s);
}

int main(int argc, char **argv)
{
	int64_t begin;
	int64_t crash;
	int leader;
	int before;
	int lost = 0;
	int n = 0;

	if (argc != 2)
		return 2;
	w.sync_replicas = 1;
	w_start(argv[1]);
	begin = w_now() + 1000;
	w_sleep_until(begin);
	w_leave(2);
	if (w_trouble()) {
		w_lock();
		w_members[1].deaf = true;
		w_log("%s receives nothing from now on", w_members[1].id);
		w_unlock();
	}
	crash = begin + 2000;
	while (w_now() < crash) {
		write_once(n % w.proxies, n);
		n++;
		w_sleep_until(w_now() + 30);
	}
	before = nacked;
	w_log("%d writes are acknowledged", before);
	if (w_trouble())
		w_crash(0);
	while (w_now() < begin + 6400) {
		write_once(n % w.proxies, n);
		n++;
		w_sleep_until(w_now() + 30);
		w_lock();
		leader = w_primary();
		w_unlock();
		if (leader > 0)
			break;
	}
	w_sleep_until(begin + 6500);
	w_lock();
	leader = w_primary();
	for (int i = 0; i < before && leader >= 0; i++)
		lost += !w_has(leader, acked[i]);
	w_log("primary is %s; %d of %d acknowledged writes are not in its log",
	      leader < 0 ? "none" : w_members[leader].id, lost, before);
	if (w_members[1].deaf)
		w_log("%s receives again", w_members[1].id);
	w_members[1].deaf = false;
	w_unlock();
	if (before < 20)
		w_end(2);
	w_end(lost ? 1 : 0);
}
