/*
 * LOST: a proxy gets SIGTERM while consumers are inside transactions. It takes
 * statements of these transactions, and passes them on, until it closes their
 * connections without an answer.
 *
 * The consumers' transactions have 12 statements, with pauses between them. The
 * members work 150 ms on a statement.
 */
#include "fleet.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	CONSUMERS = 5,
	STATEMENTS = 12,
	PAUSE_MS = 400,
	WORK_MS = 150,
	TIMEOUT_MS = 1000, /* of the route */
	GRACE_MS = 6000,
	LOSS_SLACK_MS = 200
};

static int64_t term_at; /* when SIGTERM was sent */
static int lost;
static char first[160];
static struct fl_process *front;
static pthread_mutex_t mu = PTHREAD_MUTEX_INITIALIZER;

/*
 * The rule: the process has read a whole request, and the connection ends
 * without a complete answer. Not counted: the route's timeout was reached; the
 * member was still at work in the last sixth of grace_s on a request that was
 * sent no later than 3 s after the SIGTERM.
 */
static void judge(const struct fl_session *c, bool ran)
{
	int64_t sent = c->sent_ms - term_at;
	int64_t end = c->done_ms - term_at;

	if (!ran || end - sent >= TIMEOUT_MS || end > GRACE_MS + 1000)
		return;
	if (sent <= 3000 && end >= GRACE_MS - GRACE_MS / 6)
		return;
	pthread_mutex_lock(&mu);
	if (!lost++)
		snprintf(first, sizeof(first),
			 "%s was sent %lld ms after SIGTERM and its connection "
			 "ended %lld ms later",
			 c->last_id, (long long)sent, (long long)(end - sent));
	pthread_mutex_unlock(&mu);
}

/* True if the record of a member says that it got the statement. */
static bool member_ran(const char *id);

static void *run_transaction(void *arg)
{
	int number = (int)(intptr_t)arg;
	struct fl_session *c = calloc(1, sizeof(*c));
	char name[16];
	int r = 1;

	snprintf(name, sizeof(name), "t%d", number);
	if (!fl_open(c, name, front, "orders"))
		return NULL;
	/* The transactions begin around the time of the SIGTERM. */
	fl_sleep_until(term_at - 300 + number * 110);
	r = fl_query(c, 3000, "BEGIN");
	for (int i = 0; i < STATEMENTS - 2 && r == 1; i++) {
		fl_sleep_until(fl_now() + PAUSE_MS);
		r = fl_query(c, 3000, "WRITE %s-%d x", name, i);
	}
	if (r == 1) {
		fl_sleep_until(fl_now() + PAUSE_MS);
		r = fl_query(c, 3000, "COMMIT");
	}
	if (r == -1)
		judge(c, member_ran(c->last_id));
	fl_close(c);
	free(c);
	return NULL;
}

static bool member_ran(const char *id)
{
	char line[512], want[64];
	FILE *f;
	bool found = false;

	/* A member records a statement once it has worked on it. */
	fl_sleep_until(fl_now() + 500);
	f = fopen("review/4/record.txt", "r");
	snprintf(want, sizeof(want), " runs %s ", id);
	while (f && fgets(line, sizeof(line), f))
		found |= strstr(line, want) != NULL;
	if (f)
		fclose(f);
	return found;
}

int main(void)
{
	pthread_t threads[CONSUMERS];
	struct fl_service *s;

	fl_init("review/4/record.txt");
	for (int i = 0; i < 7; i++)
		fl_add_proxy(i % 3 == 0 ? "za" : i % 3 == 1 ? "zb" : "zc");
	s = fl_add_service("db", 33, 5, WORK_MS, 0);
	fl_add_member(s, "za", true);
	fl_add_member(s, "zb", false);
	fl_add_member(s, "zc", false);
	fl_add_route("orders", "db", "read_your_writes", TIMEOUT_MS, 2500);
	fl_start();
	fl_sleep_until(fl_now() + 2500);
	front = &fl.proxies[1];
	term_at = fl_now() + 1500;
	for (int i = 0; i < CONSUMERS; i++)
		pthread_create(&threads[i], NULL, run_transaction,
			       (void *)(intptr_t)i);
	fl_sleep_until(term_at);
	if (fl_trouble()) {
		fl_kill(front, SIGTERM);
		fl_record("fleet", "SIGTERM to %s", front->name);
		if (!fl_wait_exit(front, GRACE_MS))
			fl_kill(front, SIGKILL);
		fl_record("fleet", "%s has ended", front->name);
	}
	for (int i = 0; i < CONSUMERS; i++)
		pthread_join(threads[i], NULL);
	if (lost)
		fl_finish(1, "LOST: %d statements were passed on to a member "
			     "and their connections ended without an answer; "
			     "%s",
			  lost, first);
	fl_finish(0, "no statement that was passed on went without an answer");
}
