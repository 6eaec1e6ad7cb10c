/*
 * Case 15. A primary is cut off from 2 of 5 proxies, and is replaced. Consumers
 * at a proxy that is not cut off have transactions open on it meanwhile. They
 * set a session value in the transaction, go on, are told that it is aborted,
 * roll back and send reads. A read names the value that was acknowledged; the
 * member compares it with the one that the connection has.
 *
 * Others execute statements in the transaction that they prepared before it,
 * and execute the last one again afterwards, in read transactions.
 *
 * TROUBLE=same: no value is changed and nothing is executed in the transaction.
 */
#include "../lib-2/world.h"

#include <pthread.h>
#include <stdlib.h>
#include <string.h>

extern int w_wrong_values;
extern int w_right_values;

enum {
	SESSIONS = 5,
	SETTING = 3, /* so many change values, the others execute */
	PROXY = 3, /* in the zone of the primary */
	STEPS = 5, /* of a transaction */
	PAUSE_MS = 400,
	STAGGER_MS = 450,
	READS = 8, /* after the transaction */
	CUT_MS = 2000,
	CUT_FOR_MS = 5000,
	END_MS = 15000
};

static bool over;
static int aborted;
static int unknown; /* answers NOSTMT */

/* The value that was acknowledged is the item of each read. */
static char read_tag(struct w_session *s, const char *tag, char *code)
{
	char text[W_TEXT + 8];
	char id[64];

	snprintf(text, sizeof(text), "READ %s", tag);
	return w_query(s, text, id, code, NULL, 1200);
}

static bool set_tag(struct w_session *s, const char *tag)
{
	char text[W_TEXT + 16];
	char id[64];
	char code[64];

	snprintf(text, sizeof(text), "SET tag %s", tag);
	return w_query(s, text, id, code, NULL, 1200) == 'C';
}

static bool changes(void)
{
	const char *t = getenv("TROUBLE");

	return !t || strcmp(t, "same") != 0;
}

/* A transaction in which the value is changed before each read, then single
 * reads. Returns false if the session is to be closed. */
static bool operation(struct w_session *s, char *tag, int who, int n)
{
	char code[64];
	char id[64];
	char r;

	if (w_query(s, "BEGIN", id, code, NULL, 1200) != 'C')
		return false;
	r = read_tag(s, tag, code);
	for (int i = 0; i < STEPS && r == 'C'; i++) {
		w_sleep_until(w_now() + PAUSE_MS);
		if (changes()) {
			snprintf(tag, W_TEXT, "tag-%d.%d.%d", who, n, i);
			if (!set_tag(s, tag))
				return false;
		}
		r = read_tag(s, tag, code);
		if (r == 'E') {
			w_lock();
			aborted++;
			w_unlock();
		}
	}
	if (r == 'X' || w_query(s, "ROLLBACK", id, code, NULL, 1200) != 'C')
		return false;
	for (int i = 0; i < READS; i++) {
		w_sleep_until(w_now() + 30);
		if (read_tag(s, tag, code) == 'X')
			return false;
	}
	return true;
}

/* Counts answers that say that the prepared name is unknown. */
static void note_unknown(char result, const char *code)
{
	w_lock();
	unknown += result == 'E' && !strcmp(code, "NOSTMT");
	w_unlock();
}

/* A transaction that executes statements which were prepared before it, then
 * read transactions that execute the last one. */
static bool execute(struct w_session *s, int who, int n)
{
	char text[W_TEXT];
	char code[64];
	char id[64];
	char r;
	int last = 0;

	for (int i = 0; i < STEPS; i++) {
		snprintf(text, sizeof(text), "PREPARE q%d READ shape-%d.%d.%d",
			 i, who, n, i);
		if (w_query(s, text, id, code, NULL, 1200) != 'C')
			return false;
	}
	if (w_query(s, "BEGIN", id, code, NULL, 1200) != 'C')
		return false;
	r = w_query(s, "READ stock", id, code, NULL, 1200);
	for (int i = 0; i < STEPS && r == 'C'; i++) {
		w_sleep_until(w_now() + PAUSE_MS);
		if (!changes())
			continue;
		last = i;
		snprintf(text, sizeof(text), "EXECUTE q%d stock", i);
		r = w_query(s, text, id, code, NULL, 1200);
		note_unknown(r, code);
	}
	if (r == 'X' || w_query(s, "ROLLBACK", id, code, NULL, 1200) != 'C')
		return false;
	for (int i = 0; i < 3 && changes(); i++) {
		w_sleep_until(w_now() + 30);
		if (w_query(s, "BEGIN READ", id, code, NULL, 1200) != 'C' ||
		    w_query(s, "READ stock", id, code, NULL, 1200) == 'X')
			return false;
		snprintf(text, sizeof(text), "EXECUTE q%d stock", last);
		r = w_query(s, text, id, code, NULL, 1200);
		note_unknown(r, code);
		if (r == 'X' ||
		    w_query(s, "ROLLBACK", id, code, NULL, 1200) != 'C')
			return false;
	}
	return true;
}

static void *consumer(void *arg)
{
	int who = *(int *)arg;
	struct w_session s;
	char tag[W_TEXT];
	int n = 0;

	w_sleep_until(w_now() + who * STAGGER_MS);
	while (!over) {
		if (!w_open(&s, PROXY, "tickets")) {
			w_close(&s);
			w_sleep_until(w_now() + 50);
			continue;
		}
		snprintf(tag, sizeof(tag), "tag-%d.%d", who, n++);
		if (set_tag(&s, tag))
			while (!over &&
			       (who < SETTING ? operation(&s, tag, who, n++)
					      : execute(&s, who, n++)))
				;
		w_close(&s);
	}
	return NULL;
}

/* Writes at a proxy that is cut off from the primary, so that it is missed. */
static void *writer(void *arg)
{
	int proxy = *(int *)arg;
	struct w_session s;
	char id[64];
	char code[64];

	while (!over) {
		w_open(&s, proxy, "orders");
		while (!over && w_query(&s, "WRITE stock v", id, code, NULL,
					1200) == 'C')
			w_sleep_until(w_now() + 50);
		w_close(&s);
		w_sleep_until(w_now() + 20);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	int who[SESSIONS];
	pthread_t t;
	int64_t begin;

	if (argc != 2)
		return 2;
	w.proxies = 5;
	w_start(argv[1]);
	begin = w_now();
	for (int i = 0; i < SESSIONS; i++) {
		who[i] = i;
		if (pthread_create(&t, NULL, consumer, &who[i]))
			w_end(2);
	}
	for (int i = 0; i < 2; i++)
		if (pthread_create(&t, NULL, writer, &who[i]))
			w_end(2);
	w_sleep_until(begin + CUT_MS);
	if (w_trouble())
		w_cut(0, 2, false);
	w_sleep_until(begin + CUT_MS + CUT_FOR_MS);
	if (w_trouble())
		w_heal(0);
	w_sleep_until(begin + END_MS);
	over = true;
	w_lock();
	w_log("%d transactions of those that change values were aborted; %d "
	      "statements ran with other values than acknowledged, %d with the "
	      "same; %d times a prepared name was unknown",
	      aborted, w_wrong_values, w_right_values, unknown);
	w_unlock();
	if (w_right_values < 20)
		w_end(2);
	w_end(w_wrong_values || unknown ? 1 : 0);
}
