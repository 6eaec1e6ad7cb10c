#ifndef WORLD_H
#define WORLD_H

/*
 * Stand-ins for the cases of review 2: the members of one service, the
 * provider's failover call, the operator and consumers, as PROTOCOL.md of the
 * users' platform describes them, and the start of the project's own programs.
 * A case is a small program that calls this library. Members and provider run
 * in threads of it; the proxies and control instances are processes of their
 * own, started with the commands of deploy/system.toml.
 *
 * A case writes what happened to the record file and ends with 1 if the rule
 * was broken, 0 if it held, 2 if it could not run.
 */

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

enum { W_MEMBERS = 8, W_CONTROLS = 16, W_PROXIES = 5, W_TEXT = 96 };

struct w_entry { /* a committed write */
	int term;
	int64_t at_ms; /* when it came into this member's log */
	char id[W_TEXT]; /* of the consumer's request */
	char item[W_TEXT];
	char data[W_TEXT];
};

struct w_member {
	char id[32];
	char addr[64];
	char zone[32];
	bool exists; /* has been started at least once */
	bool running;
	bool draining;
	bool deaf; /* receives nothing */
	bool paused; /* by PAUSE */
	bool leads;
	bool led; /* when it crashed, and none was promoted since */
	int term; /* that it counts */
	struct w_entry *log;
	int received;
	int applied;
	int64_t born_ms; /* Unix time */
	int64_t seq;
	int64_t leave_acked_ms; /* 0 until the leaving is acknowledged */
	bool beat_now;
	int listen_fd;
	char beat_addr[64];
};

struct w_config {
	int controls;
	int proxies;
	int members;
	int sync_replicas;
	int max_conns;
	int lag_ms; /* a replica applies so much later */
	int promote_ms;
	int beat_ms;
	int drain_ms;
};

extern struct w_config w;
extern struct w_member w_members[W_MEMBERS];

int64_t w_now(void); /* ms since the start of the case */
void w_sleep_until(int64_t ms);
void w_log(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
bool w_trouble(void); /* false with TROUBLE=0 */

/* Ends all processes and the case. */
void w_end(int code) __attribute__((noreturn));

/* Takes ports, starts members and provider, then the programs, publishes the
 * first manifest and waits until each proxy serves. */
void w_start(const char *record);

/* The folder with settings, logs and data of the processes. */
const char *w_folder(void);

/* A further control instance at an address of its own; i >= w.controls. */
void w_start_control(int i, bool bootstrap);
pid_t w_control_pid(int i);
pid_t w_proxy_pid(int i);
void w_signal(pid_t pid, int sig);
void w_start_proxy(int i); /* again */
void w_kill_all(void); /* all proxies and control instances */
void w_start_all(void);

/* HTTP; returns the status, 0 if there was none. Follows redirects twice. */
int w_http(const char *addr, const char *method, const char *path,
	   const char *body, char *answer, size_t size);
const char *w_control_addr(int i);

/* Sends the manifest until it is accepted, to each control instance in turn;
 * false after ms. */
bool w_publish(int version, int64_t ms);

/* Members. */
void w_lock(void);
void w_unlock(void);
void w_crash(int m); /* it comes back with w_restart() */
/* Crashes under load, with a commit on its way to the replica. */
void w_crash_in_flight(int m, int replica);
void w_restart(int m); /* with its log, as a replica */
void w_leave(int m); /* drains, sends DELETE and exits; see w_successor() */
bool w_has(int m, const char *id); /* its log has the write */
int w_primary(void); /* -1 if none leads */
/* After a leaving member has exited, one with a new id takes over its address
 * and its log. */
void w_successor_after(int m, int ms);
void w_provider_silent(bool silent);
/* The first RESUME that the member gets is left unanswered and carried out ms
 * later. */
void w_late_resume(int m, int ms);
/* Cuts the member off from the first n proxies and, if control is true, from all
 * control instances; what they send is held up until the cut ends. */
void w_cut(int m, int proxies, bool control);
void w_heal(int m);

/* Consumers. */
struct w_session {
	int fd;
	size_t len;
	char in[8192];
};

bool w_open(struct w_session *s, int proxy, const char *database);
/* Sends a statement with a new id, which is put into id. Returns 'C' if it was
 * completed, 'E' for an error, whose code is put into code, and 'X' if the
 * connection ended or nothing came in ms. */
char w_query(struct w_session *s, const char *text, char *id, char *code,
	     char *row, int ms);
void w_close(struct w_session *s);

#endif
