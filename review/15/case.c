/*
 * Both replicas of a service have crashed, so that no other member can lead.
 * The primary announces that it drains. A proxy is restarted some seconds
 * later; it counts the time for which it may use the draining primary from its
 * own start.
 *
 * TROUBLE=replicas: without the restart.
 */
#include "world.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	RESTART_MS = 3700, /* after the draining was acknowledged */
	LONGER_MS = 4000 /* "a little longer (at times many seconds)" */
};

static struct group members;

int main(int argc, char **argv)
{
	const char *mode = getenv("TROUBLE");
	bool restarts;
	struct session s[MAX_PROXIES] = {0};
	struct member *m;
	int64_t restarted = 0;
	int64_t began;
	char text[160];
	char row[128];
	char rcpt[128];
	int served = 0;
	int late = 0;

	world_start(argc > 1 ? argv[1] : "record.txt", 2, &members);
	restarts = trouble && !(mode && !strcmp(mode, "replicas"));
	m = members.members[0];
	sleep_ms(STABLE_WINDOW_MS);
	if (trouble) {
		member_crash(members.members[1]);
		member_crash(members.members[2]);
		sleep_ms(1000);
	}
	pthread_mutex_lock(&lock);
	m->draining = true;
	m->beat_now = true;
	pthread_mutex_unlock(&lock);
	rec("member %s: drains", m->id);
	began = now_ms();
	while (!m->draining_acked && now_ms() - began < 5000)
		sleep_ms(5);
	if (!m->draining_acked)
		finish(2, "the draining was not acknowledged");
	for (int n = 0; now_ms() < m->draining_acked + DRAIN_MS + LONGER_MS;
	     n++) {
		/* Proxy 0 holds each request until it refuses it. */
		int p = restarted ? 1 : n % nproxies;
		int64_t sent;

		if (restarts && !restarted &&
		    now_ms() >= m->draining_acked + RESTART_MS) {
			rec("proxy 1 is killed and started again");
			stop_process(&proxies[1], SIGKILL);
			session_close(&s[1]);
			start_process(&proxies[1]);
			restarted = now_ms();
		}
		sleep_ms(20);
		if (!s[p].fd && !session_open(&s[p], p, "shop"))
			continue;
		snprintf(text, sizeof(text), "WRITE order%d paid", n);
		sent = now_ms();
		if (strcmp(session_query(&s[p], text, 2000, row, rcpt),
			   "COMPLETE") != 0) {
			session_close(&s[p]);
			continue;
		}
		served++;
		/* Proxy 1 is in touch again once it has run for as long. */
		if (!strncmp(rcpt, "i-m0.", 5) &&
		    sent > m->draining_acked + DRAIN_MS &&
		    (p != 1 || !restarted ||
		     sent > restarted + STABLE_WINDOW_MS)) {
			late++;
			rec("WRONG: sent and run at %s %lld ms after its "
			    "draining was acknowledged, by proxy %d",
			    m->id, (long long)(sent - m->draining_acked), p);
		}
	}
	member_crash(m);
	control_call("DELETE", "/marjoramlatch/instances/i-m0", "");
	if (!served)
		finish(2, "nothing was served");
	if (late)
		finish(1,
		       "DRAIN: %d requests were sent and run at a member later "
		       "than %d ms after its draining was acknowledged (%d "
		       "served)",
		       late, DRAIN_MS, served);
	finish(0, "%d served; none at the member later than %d ms", served,
	       DRAIN_MS);
}
