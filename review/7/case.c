/*
 * Case 7. A service with sync_replicas 1. One replica (i-2) is replaced: it
 * drains, sends DELETE and exits, and 2 s later its successor starts at its
 * address, with its log. The other replica (i-1) receives nothing for 6.5 s,
 * and the primary crashes while the successor has not started yet. Every
 * acknowledged commit is in the log that the successor has.
 */
#include "../lib-2/world.h"

#include <string.h>

static char acked[4000][64];
static int nacked;

static void write_once(int proxy, int n)
{
	struct w_session s;
	char text[64];
	char id[64];
	char code[64];

	snprintf(text, sizeof(text), "WRITE item%d v%d", n, n);
	if (w_open(&s, proxy, "orders") &&
	    w_query(&s, text, id, code, NULL, 1200) == 'C' && nacked < 4000)
		snprintf(acked[nacked++], sizeof(acked[0]), "%s", id);
	w_close(&s);
}

static bool exited(int m)
{
	bool gone;

	w_lock();
	gone = !w_members[m].running;
	w_unlock();
	return gone;
}

int main(int argc, char **argv)
{
	int64_t begin;
	int64_t deaf;
	int leader = -1;
	int before;
	int lost = 0;
	int n = 0;

	if (argc != 2)
		return 2;
	w.sync_replicas = 1;
	w_start(argv[1]);
	begin = w_now() + 500;
	w_sleep_until(begin);
	w_successor_after(2, 2000);
	w_leave(2);
	/* It exits 7.5 s after the acknowledgement of its leaving. */
	deaf = begin + 6000;
	while (w_now() < begin + 12000 && !exited(2)) {
		if (w_trouble() && w_now() >= deaf && !w_members[1].deaf) {
			w_lock();
			w_members[1].deaf = true;
			w_log("%s receives nothing from now on",
			      w_members[1].id);
			w_unlock();
		}
		write_once(n % w.proxies, n);
		n++;
		w_sleep_until(w_now() + 30);
	}
	before = nacked;
	w_log("%d writes are acknowledged", before);
	if (w_trouble())
		w_crash(0);
	while (w_now() < deaf + 6400) {
		write_once(n % w.proxies, n);
		n++;
		w_sleep_until(w_now() + 30);
	}
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
