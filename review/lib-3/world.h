#ifndef WORLD_H
#define WORLD_H

/*
 * A small deployment on loopback for the scripts of the third review: the
 * project's programs as processes, and stand-ins for members, provider,
 * operator and consumers, all in threads of one process. Written only from the
 * users' pages (PROTOCOL.md, DEPLOY.md).
 */

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

enum {
	MAX_PROXIES = 4,
	MAX_MEMBERS = 4,
	MAX_COMMITS = 20000,
	HEARTBEAT_MS = 1200, /* as on the sites */
	PROMOTE_MS = 300,
	WORK_MS = 8,
	LAG_MS = 8,
	DRAIN_MS = 7000,
	STABLE_WINDOW_MS = 4000
};

struct commit {
	char item[64];
	char data[64];
	int64_t at;
};

/* The members of one service. */
struct group {
	const char *service;
	int64_t term;
	int ncommits;
	struct commit commits[MAX_COMMITS];
	int primary; /* index of the member that leads; -1 if none does */
	int nmembers;
	struct member *members[MAX_MEMBERS];
};

struct member {
	struct group *group;
	int index; /* in the group */
	char id[32];
	char addr[32];
	char ip[20];
	int port;
	const char *zone;
	bool foreign; /* a server that is no member */
	bool running; /* accepts and answers */
	bool draining;
	bool beats; /* sends check-ins */
	bool omit_version; /* its check-ins lack the field "version" */
	int64_t born;
	int64_t seq;
	int64_t draining_acked; /* time of the first 200 to "draining"; or 0 */
	bool beat_now;
	int listener;
	int nopen; /* open connections */
	int fds[64];
};

struct process {
	pid_t pid;
	const char *argv[12];
	char log[256];
	char settings[256];
	char source[16]; /* its name for the relay */
};

struct session {
	int fd;
	char in[1 << 16];
	size_t len;
	int proxy;
	char last_id[24];
};

extern bool trouble; /* false with TROUBLE=0 */
extern struct process controls[3];
extern struct process proxies[MAX_PROXIES];
extern int nproxies;
extern char proxy_addr[MAX_PROXIES][32];
extern int promoter_down;
/* Set before world_start(): links between control instances pass through the
 * project's relay (t/helper/relay.c), which can cut them. */
extern bool with_relay;
extern pthread_mutex_t lock; /* of all that is shared by the threads */

int64_t now_ms(void); /* since the start */
int64_t wall_ms(void);
void sleep_ms(int64_t ms);

/* Writes a line to record.txt. */
void rec(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/* Prints the verdict, ends all processes and exits. */
void finish(int code, const char *fmt, ...)
	__attribute__((format(printf, 2, 3), noreturn));

/* Starts controls, proxies, provider and the members of service "orders"
 * (i-m0 leads, i-m1, i-m2), publishes a manifest and waits until each proxy
 * serves. Writes to the file record_path. Routes: host "shop" (primary), "browse" (bounded staleness). */
void world_start(const char *record_path, int want_proxies, struct group *g);

/* Cuts control instance i off from the two others, silently for what is on its
 * way; heal ends all cuts. Needs the relay. */
void cut_control(int i);
void heal_controls(void);

/* Data folder of control instance i. */
void data_folder(int i, char *path, size_t size);

/* Index of the control instance that answers as the leader; -1 for none. */
int leading_control(void);

/* Sends a call to control instance i only; returns its status, 0 for none. */
int control_call_at(int i, const char *method, const char *path,
		    const char *body);

/* GET of the manifest from any instance; returns its version, 0 for none. */
int read_manifest(void);

/* From now on control instances start with "bootstrap" false, as the pages say
 * for all starts but the first. */
void end_bootstrap(void);

void start_process(struct process *p);
void stop_process(struct process *p, int sig); /* and waits for its end */

void group_init(struct group *g, const char *service, int64_t term);
struct member *member_start(struct group *g, const char *id, const char *zone,
			    bool leads);
void member_crash(struct member *m);

/* Sends an HTTP call to the control API: picks an instance, follows redirects
 * and moves on after a failure, as the pages say. Returns the status. */
int control_call(const char *method, const char *path, const char *body);

/* Opens a session; false if it isn't READY in 2 s. */
bool session_open(struct session *s, int proxy, const char *database);
/* Sends a statement; returns the first word of the outcome: "COMPLETE", the
 * code of an error, or "NONE". answer gets receipt, row or text. */
const char *session_query(struct session *s, const char *text, int ms,
			  char *row, char *receipt);
void session_close(struct session *s);

#endif
