/*
 * LOST: a call to the provider gets no answer and is carried out seconds later.
 * Meanwhile the primary is back, and the system lets the replicas receive
 * again.
 *
 * The service has one synchronous replica. Consumers write single statements
 * all the time, through two of seven proxies. The primary goes dark for 3 s.
 * Of the calls that control makes meanwhile, the provider leaves the first
 * without an answer and carries it out 4 s later; then it is cut off. Whether
 * the member that it promotes lacks a commit at that moment is chance, so this
 * is repeated until one is lost, nine times at most.
 */
#include "fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	WRITERS = 12,
	MAX_ACKED = 20000,
	ROUNDS = 9,
	ROUND_MS = 11000,
	DARK_MS = 3000, /* of the primary */
	CUT_MS = 5500, /* of the provider */
	LATE_MS = 4000, /* for one of its calls */
	LAG_MS = 60 /* mean replication delay */
};

static char acked[MAX_ACKED][24];
static int nacked;
static volatile bool done;
static pthread_mutex_t acked_mu = PTHREAD_MUTEX_INITIALIZER;

struct writer {
	int number;
	const struct fl_process *proxy;
};

/* Writes with pauses of a few ms, and connects anew when its session ends. */
static void *write_items(void *arg)
{
	struct writer *w = arg;
	struct fl_session *c = calloc(1, sizeof(*c));
	char name[16];
	char item[24];

	snprintf(name, sizeof(name), "w%d", w->number);
	c->fd = -1;
	for (int i = 0; !done; i++) {
		if (c->fd < 0 && !fl_open(c, name, w->proxy, "orders")) {
			fl_close(c);
			fl_sleep_until(fl_now() + 100);
			continue;
		}
		snprintf(item, sizeof(item), "w%d-%d", w->number, i);
		switch (fl_query(c, 3000, "WRITE %s x", item)) {
		case 1:
			pthread_mutex_lock(&acked_mu);
			if (nacked < MAX_ACKED)
				strcpy(acked[nacked++], item);
			pthread_mutex_unlock(&acked_mu);
			break;
		case 0:
			fl_sleep_until(fl_now() + 50);
			break;
		default:
			fl_close(c);
		}
	}
	fl_close(c);
	free(c);
	return NULL;
}

/* The primary goes dark and comes back, while the provider has trouble. */
static void trouble(struct fl_member *primary)
{
	int64_t t = fl_now();

	if (!primary)
		fl_finish(2, "there is no primary");
	pthread_mutex_lock(&fl_mu);
	fl.provider.late_calls = 1;
	fl.provider.late_ms = LATE_MS;
	fl.provider.cut = true;
	pthread_mutex_unlock(&fl_mu);
	fl_record("provider", "carries out one call late, then is cut off");
	fl_go_dark(primary, true);
	fl_sleep_until(t + DARK_MS);
	fl_go_dark(primary, false);
	fl_sleep_until(t + CUT_MS);
	pthread_mutex_lock(&fl_mu);
	fl.provider.cut = false;
	fl.provider.late_calls = 0;
	pthread_mutex_unlock(&fl_mu);
	fl_record("provider", "is reachable again");
	fl_sleep_until(t + ROUND_MS);
}

static int count_missing(const struct fl_service *s)
{
	int n;
	int missing = 0;

	pthread_mutex_lock(&acked_mu);
	n = nacked;
	pthread_mutex_unlock(&acked_mu);
	for (int i = 0; i < n; i++)
		if (!fl_count_item(s, acked[i]) && missing++ < 20)
			fl_record("check",
				  "the write of %s was acknowledged to its "
				  "consumer and isn't in the log of the primary",
				  acked[i]);
	return missing;
}

int main(void)
{
	static struct writer writers[WRITERS];
	pthread_t threads[WRITERS];
	struct fl_service *s;
	int missing = 0;

	fl_init("review/3/record.txt");
	for (int i = 0; i < 7; i++)
		fl_add_proxy(i % 3 == 0 ? "za" : i % 3 == 1 ? "zb" : "zc");
	s = fl_add_service("db", 30, 5, 5, 1);
	fl_add_member(s, "za", true);
	fl_add_member(s, "zb", false);
	fl_add_member(s, "zc", false);
	for (int i = 0; i < s->nmembers; i++)
		s->members[i]->lag_ms = s->members[i]->next_lag_ms =
			LAG_MS;
	fl_add_route("orders", "db", "primary", 1000, 0);
	fl_start();
	fl_sleep_until(fl_now() + 2500);
	for (int i = 0; i < WRITERS; i++) {
		writers[i] = (struct writer){i, &fl.proxies[i % 2]};
		pthread_create(&threads[i], NULL, write_items, &writers[i]);
	}
	fl_sleep_until(fl_now() + 2000);
	for (int i = 0; i < ROUNDS && !missing; i++) {
		if (fl_trouble())
			trouble(fl_primary(s));
		else
			fl_sleep_until(fl_now() + 1000);
		missing = count_missing(s);
	}
	done = true;
	for (int i = 0; i < WRITERS; i++)
		pthread_join(threads[i], NULL);
	fl_sleep_until(fl_now() + 300);

	if (!nacked)
		fl_finish(2, "no write was acknowledged");
	if (missing)
		fl_finish(1, "LOST: %d of %d acknowledged writes are missing "
			     "in the log of the promoted member",
			  missing, nacked);
	fl_finish(0, "all %d acknowledged writes are in the log", nacked);
}
