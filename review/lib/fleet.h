#ifndef FLEET_H
#define FLEET_H

/*
 * Library of the review scripts. It starts the programs of the deploy file as
 * separate processes on loopback addresses, with the settings that the
 * templates in deploy/ give, and stands in for the platform around them:
 * members (database servers) that speak the wire protocol and check in, the
 * provider that promotes, the operator, and consumers.
 *
 * The stand-ins follow ../given/kit/more/system/PROTOCOL.md. What they see is
 * written to the record, one line an event, with the seconds since the start.
 */

#include <pthread.h>
#include <stdbool.h>
#include <stdint.h>

enum {
	FL_MAX_MEMBERS = 12,
	FL_MAX_SERVICES = 4,
	FL_MAX_PROXIES = 24,
	FL_CONTROLS = 3,
	FL_MAX_LOG = 200000,
	FL_MAX_WRITES = 16
};

/* One committed transaction. */
struct fl_entry {
	int64_t term;
	int64_t number; /* position: term.number */
	int64_t serial; /* differs between all commits of a service */
	int64_t at_ms; /* when the primary made it */
	char id[40]; /* of the write or COMMIT */
	int nwrites;
	char item[FL_MAX_WRITES][24];
	char data[FL_MAX_WRITES][24];
};

struct fl_service;

struct fl_member {
	char id[24];
	char zone[16];
	char addr[40];
	struct fl_service *service;
	bool primary;
	bool draining;
	bool paused;
	int64_t pause_term;
	bool deaf; /* receives nothing from the primary */
	bool dark; /* neither reads nor answers; its connections are lost */
	int64_t dark_count; /* number of times it went dark */
	int64_t lag_ms; /* mean replication delay */
	int64_t next_lag_ms; /* that of the next commit */
	int64_t term; /* newest that it knows */
	struct fl_entry **log;
	int64_t nlog;
	int connections;
	int running; /* statements that hold a slot */
	int64_t seq; /* of check-ins */
	int64_t born;
	int64_t last_beat_ms;
	bool beat_now;
	char beat_addr[48];
};

struct fl_service {
	char name[24];
	int sync_replicas;
	int64_t max_conns;
	int slots;
	int64_t work_ms; /* of a read, write or commit */
	struct fl_member *members[FL_MAX_MEMBERS];
	int nmembers;
	int64_t last_serial;
	/* Acknowledged commits: the member has sent the COMPLETE. */
	int64_t *acked; /* by serial: time, or 0 */
	int64_t lost; /* acknowledged commits that a promotion dropped */
};

struct fl_process {
	char name[32];
	char ip[32];
	char zone[16];
	char program[128];
	char settings[256];
	int pid; /* 0 if it does not run */
	bool control;
	char front[48], ready[48], api[48];
};

struct fl_provider {
	int64_t promote_ms;
	/* So many of the next calls get no answer and are carried out late_ms
	 * after they came. */
	int late_calls;
	int64_t late_ms;
	/* Cut off: other calls get no answer and are not carried out. */
	bool cut;
	int64_t fence; /* highest token seen (one service per deployment) */
	int calls;
};

struct fleet {
	char tmp[128];
	int net; /* second byte of all addresses */
	int port; /* base port */
	struct fl_process controls[FL_CONTROLS];
	struct fl_process proxies[FL_MAX_PROXIES];
	int nproxies;
	struct fl_service services[FL_MAX_SERVICES];
	int nservices;
	struct fl_member members[FL_MAX_MEMBERS];
	int nmembers;
	struct fl_provider provider;
	int64_t version; /* of the manifest */
	char routes[4096]; /* JSON of the routes */
};

extern struct fleet fl;
extern pthread_mutex_t fl_mu; /* protects services and members */

int64_t fl_now(void); /* ms since the start */
void fl_sleep_until(int64_t ms);
void fl_record(const char *who, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));

/* True unless TROUBLE=0 is set. */
bool fl_trouble(void);

/* Declare the deployment, before fl_start(). */
void fl_init(const char *record_path);
struct fl_process *fl_add_proxy(const char *zone);
struct fl_service *fl_add_service(const char *name, int64_t max_conns,
				  int slots, int64_t work_ms, int sync);
struct fl_member *fl_add_member(struct fl_service *s, const char *zone,
				bool primary);
void fl_add_route(const char *host, const char *service, const char *kind,
		  int timeout_ms, int max_staleness_ms);

/* Starts everything, publishes the manifest and waits until each proxy is
 * ready; ends the program with 2 if that fails. */
void fl_start(void);
void fl_start_process(struct fl_process *p);
void fl_kill(struct fl_process *p, int sig);
bool fl_wait_exit(struct fl_process *p, int64_t ms);
bool fl_is_ready(const struct fl_process *p);

/* Ends all processes, writes the verdict to the record and ends the program:
 * 1 if the rule was broken, 0 if not, 2 if the case could not run. */
void fl_finish(int code, const char *fmt, ...)
	__attribute__((format(printf, 2, 3), noreturn));

/* Publishes the manifest; returns the HTTP status. */
int fl_publish(void);
int fl_http(const char *addr, const char *method, const char *path,
	    const char *body, int64_t limit_ms, char *out, size_t size,
	    char *location, size_t location_size);

/* A consumer's session. */
struct fl_session {
	char name[24];
	int fd;
	char in[65536];
	size_t nin;
	char last_id[40];
	char rows[256]; /* data of the last answer's row */
	char receipt[96];
	char code[32]; /* of the last answer's ERROR, else empty */
	char state; /* of the last READY; 0 if none came */
	int64_t sent_ms, done_ms;
};

bool fl_open(struct fl_session *c, const char *name, const struct fl_process *p,
	     const char *database);

/* Sends a statement with a new id and waits for its answer. Returns 1 for
 * success, 0 for an ERROR (code), -1 if the connection ended or limit_ms passed
 * without a complete answer. */
int fl_query(struct fl_session *c, int64_t limit_ms, const char *fmt, ...)
	__attribute__((format(printf, 3, 4)));
void fl_send(struct fl_session *c, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
int fl_wait(struct fl_session *c, int64_t limit_ms);
void fl_close(struct fl_session *c);

/*
 * What members saw: for each transaction on a member connection, the sessions
 * whose statements ran in it. Returns the number of transactions with
 * statements of more than one session, and describes the first.
 */
int fl_mixed_transactions(char *first, size_t size);

/* The number of commits of a service that hold a write of the item, in the log
 * of the present primary. */
int fl_count_item(const struct fl_service *s, const char *item);

/* Changes of members at run time. */
void fl_go_dark(struct fl_member *m, bool dark);
void fl_set_draining(struct fl_member *m);
struct fl_member *fl_primary(const struct fl_service *s);

#endif
