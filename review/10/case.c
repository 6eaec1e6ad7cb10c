/*
 * Case 10. A service with sync_replicas 1. Replica i-2 receives nothing for
 * 6.5 s. The primary i-0 crashes with a commit on its way, i-1 is promoted and
 * crashes as well, and i-0 is back with its log.
 */
#include "../lib-2/world.h"

#include <pthread.h>
#include <string.h>

static char acked[8000][64];
static int nacked;
static bool over;

static void *consumer(void *arg)
{
	int n = *(int *)arg;
	struct w_session s;
	char text[64];
	char id[64];
	char code[64];

	while (!over) {
		snprintf(text, sizeof(text), "WRITE item%d v", n);
		if (w_open(&s, n % w.proxies, "orders") &&
		    w_query(&s, text, id, code, NULL, 1200) == 'C') {
			w_lock();
			if (nacked < 8000)
				snprintf(acked[nacked++], sizeof(acked[0]),
					 "%s", id);
			w_unlock();
		}
		w_close(&s);
		w_sleep_until(w_now() + 30);
	}
	return NULL;
}

static int leader(void)
{
	int p;

	w_lock();
	p = w_primary();
	w_unlock();
	return p;
}

int main(int argc, char **argv)
{
	int number[] = {0, 1, 2, 3, 4, 5};
	pthread_t t;
	int64_t deaf;
	int64_t led;
	int p;
	int before;
	int lost = 0;

	if (argc != 2)
		return 2;
	w.sync_replicas = 1;
	w_start(argv[1]);
	for (int i = 0; i < 6; i++)
		if (pthread_create(&t, NULL, consumer, &number[i]))
			w_end(2);
	deaf = w_now() + 1000;
	w_sleep_until(deaf);
	if (w_trouble()) {
		w_lock();
		w_members[2].deaf = true;
		w_log("%s receives nothing from now on", w_members[2].id);
		w_unlock();
		w_sleep_until(deaf + 1000);
		w_crash_in_flight(0, 1);
		while (leader() != 1 && w_now() < deaf + 5000)
			w_sleep_until(w_now() + 10);
		led = w_now();
		if (leader() != 1)
			w_end(2);
		w_sleep_until(led + 200);
		w_crash(1);
		w_sleep_until(led + 500);
		w_restart(0);
	}
	w_lock();
	before = nacked;
	w_unlock();
	w_sleep_until(deaf + 6500);
	w_lock();
	p = w_primary();
	if (w_members[2].deaf)
		w_log("%s receives again", w_members[2].id);
	w_members[2].deaf = false;
	w_unlock();
	if (p < 0 && w_trouble()) {
		/* Nobody is promoted: i-1 comes back with its log, too. */
		w_restart(1);
		w_sleep_until(deaf + 12000);
	}
	over = true;
	w_sleep_until(w_now() + 1500);
	w_lock();
	p = w_primary();
	if (!before)
		before = nacked;
	for (int i = 0; i < before && p >= 0; i++)
		lost += !w_has(p, acked[i]);
	w_log("primary is %s; %d of %d acknowledged writes are not in its log",
	      p < 0 ? "none" : w_members[p].id, lost, before);
	w_unlock();
	if (before < 20)
		w_end(2);
	w_end(lost ? 1 : 0);
}
