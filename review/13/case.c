/*
 * Case 13. A service with sync_replicas 1. Replica i-2 is replaced: it drains,
 * sends DELETE and exits; its successor starts at its address some seconds later.
 * Shortly before that the primary is cut off from control and from 2 of 5
 * proxies, so that control pauses i-1 and calls the provider for it. The successor
 * starts to receive before i-1 leads; the order to pause it gets no answer and is
 * carried out late.
 */
#include "../lib-2/world.h"

#include <pthread.h>
#include <string.h>

extern int w_late_pause_ms;

enum { SUCCESSOR_MS = 9000, AHEAD_MS = 1300 };

static char acked[8000][64];
static int nacked;
static bool over;

/* A consumer at a proxy: one write after the other. */
static void *consumer(void *arg)
{
	int proxy = *(int *)arg;
	struct w_session s;
	char text[64];
	char id[64];
	char code[64];

	w_open(&s, proxy, "orders");
	for (int n = 0; !over; n++) {
		snprintf(text, sizeof(text), "WRITE item%d.%d v", proxy, n);
		if (w_query(&s, text, id, code, NULL, 1200) == 'C') {
			w_lock();
			if (nacked < 8000)
				snprintf(acked[nacked++], sizeof(acked[0]),
					 "%s", id);
			w_unlock();
		} else {
			w_close(&s);
			w_sleep_until(w_now() + 20);
			w_open(&s, proxy, "orders");
		}
		w_sleep_until(w_now() + 30);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	int proxy[] = {0, 1, 2, 3, 4};
	pthread_t t;
	int64_t begin;
	int64_t exited;
	bool running = true;
	int leader;
	int lost = 0;

	if (argc != 2)
		return 2;
	w.sync_replicas = 1;
	w.proxies = 5;
	w_start(argv[1]);
	begin = w_now();
	for (int i = 0; i < 5; i++)
		if (pthread_create(&t, NULL, consumer, &proxy[i]))
			w_end(2);
	w_sleep_until(begin + 500);
	w_successor_after(2, SUCCESSOR_MS);
	w_leave(2);
	while (running && w_now() < begin + 15000) {
		w_sleep_until(w_now() + 10);
		w_lock();
		running = w_members[2].running;
		w_unlock();
	}
	exited = w_now();
	w_sleep_until(exited + SUCCESSOR_MS - AHEAD_MS);
	if (w_trouble()) {
		w_late_pause_ms = 5000;
		w_cut(0, 2, true);
	}
	w_sleep_until(exited + SUCCESSOR_MS + 3000);
	if (w_trouble())
		w_heal(0);
	w_sleep_until(exited + SUCCESSOR_MS + 5500);
	over = true;
	w_sleep_until(exited + SUCCESSOR_MS + 7000);
	w_lock();
	leader = w_primary();
	for (int i = 0; i < nacked && leader >= 0; i++)
		lost += !w_has(leader, acked[i]);
	w_log("primary is %s; %d of %d acknowledged writes are not in its log",
	      leader < 0 ? "none" : w_members[leader].id, lost, nacked);
	w_unlock();
	if (nacked < 20 || leader < 0)
		w_end(2);
	w_end(lost ? 1 : 0);
}
