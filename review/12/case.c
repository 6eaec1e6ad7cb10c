/*
 * The leading control instance is cut off from the others while eight changes
 * of the manifest are in progress. The cut heals, the changes are sent again and
 * acknowledged. The instance is then restarted as planned, and the day ends with
 * a final fault: one other instance, as many as may be lost, loses its disk.
 */
#include "world.h"

#include <dirent.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

enum {
	ROUTES_MORE = 350, /* the largest "big_config" of the site */
	IN_PROGRESS = 8, /* "up to eight orders may be in progress at once" */
	CUT_MS = 1500,
	RECOVERY_S = 12,
	STARTS = 3
};

static struct group members;
static char *text;
static int version = 7;
static int leader;

static const char *make_manifest(int v, char *to)
{
	int n = sprintf(
		to,
		"{\"version\":%d,\"routes\":["
		"{\"name\":\"r-shop\",\"host\":\"shop\",\"path_prefix\":\"/\","
		"\"kind\":\"primary\",\"timeout_ms\":1000,\"slo_ms\":200,"
		"\"priority\":1,\"service\":\"orders\",\"max_attempts\":2}",
		v);

	for (unsigned i = 0; i < ROUTES_MORE; i++)
		n += sprintf(to + n,
			     ",{\"name\":\"r-%05x\",\"host\":\"more%05x\","
			     "\"path_prefix\":\"/\",\"kind\":\"primary\","
			     "\"timeout_ms\":%u,\"slo_ms\":200,\"priority\":1,"
			     "\"service\":\"orders\",\"max_attempts\":2}",
			     i * 2654435u % 1048576, i * 7654321u % 1048576,
			     900 + ((unsigned)v + i) % 200);
	sprintf(to + n,
		"],\"services\":[{\"name\":\"orders\",\"health_path\":"
		"\"/health\",\"max_conns\":33,\"protocol\":\"h1\","
		"\"tls\":false,\"sync_replicas\":0}],\"limits\":{"
		"\"max_header_bytes\":16384,\"max_body_bytes\":262144,"
		"\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000,"
		"\"txn_idle_ms\":3000}}");
	return to;
}

/* Sends a change until it is acknowledged. */
static bool publish(int v)
{
	for (int i = 0; i < 40; i++) {
		int status = control_call("PUT", "/marjoramlatch/config",
					  make_manifest(v, text));

		rec("manifest %d -> %d", v, status);
		if (status == 200)
			return true;
		sleep_ms(100);
	}
	return false;
}

/* Number of the newest snapshot of the leader; 0 if it has none. */
static long snapshot(void)
{
	char path[256];
	struct dirent *f;
	long newest = 0;
	long n;
	DIR *d;

	data_folder(leader, path, sizeof(path));
	d = opendir(path);
	while (d && (f = readdir(d)))
		if (sscanf(f->d_name, "snap-%ld", &n) == 1 && n > newest)
			newest = n;
	if (d)
		closedir(d);
	return newest;
}

/* Publishes changes until the leader takes a snapshot; returns how many. */
static int publish_until_snapshot(void)
{
	long before = snapshot();
	int n = 0;

	while (snapshot() == before && n < 300) {
		if (!publish(++version))
			finish(2, "a change is not acknowledged");
		n++;
		sleep_ms(60);
	}
	return n;
}

static void *order(void *arg)
{
	int v = (int)(intptr_t)arg;
	char *own = malloc(1 << 18);

	rec("manifest %d to control %d -> %d", v, leader,
	    control_call_at(leader, "PUT", "/marjoramlatch/config",
			    make_manifest(v, own)));
	free(own);
	return NULL;
}

static void cut_in_a_change(void)
{
	int64_t cut = now_ms();
	pthread_t t[IN_PROGRESS];

	cut_control(leader);
	for (int i = 0; i < IN_PROGRESS; i++)
		if (pthread_create(&t[i], NULL, order,
				   (void *)(intptr_t)(version + 1 + i)))
			finish(2, "can't start a thread");
	for (int i = 0; i < IN_PROGRESS; i++)
		pthread_join(t[i], NULL);
	sleep_ms(cut + CUT_MS - now_ms());
	heal_controls();
	sleep_ms(300);
}

int main(int argc, char **argv)
{
	int failed = 0;
	int wiped;
	int every;
	int seen = 0;
	int64_t end;
	char path[256];
	char command[300];

	with_relay = true;
	text = malloc(1 << 18);
	world_start(argc > 1 ? argv[1] : "record.txt", 1, &members);
	end_bootstrap();
	leader = leading_control();
	if (leader < 0)
		finish(2, "no control instance leads");
	publish_until_snapshot();
	every = publish_until_snapshot();
	rec("a snapshot after every %d changes", every);
	/* The middle of the changes that are in progress meets the snapshot. */
	for (int i = 0; i < every - 3; i++)
		publish(++version);
	leader = leading_control();
	if (leader < 0)
		finish(2, "no control instance leads");
	if (trouble)
		cut_in_a_change();
	for (int i = 0; i < IN_PROGRESS; i++) {
		if (!publish(++version))
			finish(2, "a change is not acknowledged");
		sleep_ms(100);
	}
	rec("version %d is acknowledged", version);
	sleep_ms(STABLE_WINDOW_MS);

	rec("control %d is stopped and started, as planned", leader);
	stop_process(&controls[leader], SIGTERM);
	start_process(&controls[leader]);
	for (int i = 1; i <= STARTS; i++) {
		int status;

		sleep_ms(1500);
		if (waitpid(controls[leader].pid, &status, WNOHANG) !=
		    controls[leader].pid)
			break;
		failed++;
		rec("WRONG: control %d ended by itself at start %d, status %d",
		    leader, i, WEXITSTATUS(status));
		controls[leader].pid = 0;
		if (i < STARTS)
			start_process(&controls[leader]);
	}
	rec("version %d is read", read_manifest());

	wiped = (leader + 1) % 3;
	rec("final fault: control %d loses its disk", wiped);
	stop_process(&controls[wiped], SIGKILL);
	data_folder(wiped, path, sizeof(path));
	snprintf(command, sizeof(command), "rm -rf %s", path);
	if (system(command))
		finish(2, "can't empty %s", path);
	start_process(&controls[wiped]);
	if (!controls[leader].pid)
		start_process(&controls[leader]);
	end = now_ms() + RECOVERY_S * 1000 + STABLE_WINDOW_MS;
	while (now_ms() < end && seen < version) {
		sleep_ms(250);
		seen = read_manifest();
	}
	rec("version %d is read back, %d was acknowledged", seen, version);
	if (seen < version)
		finish(1,
		       "LOST: the acknowledged version %d can't be read back; "
		       "control %d ended by itself at %d starts of %d",
		       version, leader, failed, STARTS);
	finish(0, "version %d is read back; failed starts: %d",
	       seen, failed);
}
