#ifndef RELAY_PRIV_H
#define RELAY_PRIV_H

/* Shared by relay.c (jobs sent to other proxies) and relay_serve.c (jobs run
 * for other proxies). */

#include "link.h"
#include "relay.h"

#include <ev.h>
#include <uthash.h>

/* Link to a proxy that runs jobs for this one. */
struct relay_runner {
	struct relay *relay;
	struct relay_runner *next;
	char id[ID_LEN];
	char addr[ADDR_LEN];
	struct link *link;
	bool up;
	/* a slice uses it; otherwise its link is closed when nothing runs there
	 * any more */
	bool in_use;
	/* until when its link is kept for jobs of tenants */
	clk_ms keep_until;
	size_t load; /* number of jobs and kept connections */
	struct relay_forwarded_job *jobs; /* that run there */
	struct relay_pin *pins; /* its numbers are unique to this runner */
};

/* A proxy that may run the jobs of a slice in a zone. */
struct relay_candidate {
	char id[ID_LEN];
	char addr[ADDR_LEN];
};

/* The proxies of one slice in one zone. */
struct relay_slice_zone {
	char zone[ID_LEN];
	int slice;
	int runners; /* number of proxies that hold its connections */
	struct relay_candidate *live; /* those of them that are alive */
	int live_runners;
	bool runs_here; /* this proxy is one of them */
	struct relay_runner *runner; /* NULL if no runner is alive */
};

/* A job that another proxy runs for this one. */
struct relay_forwarded_job {
	int64_t number;
	struct relay_runner *runner;
	struct relay_pin *pin; /* kept connection on which it runs, or NULL */
	struct db_job *job;
	struct db_member *member;
	clk_ms sent;
	UT_hash_handle hh;
};

struct relay_pin {
	struct relay_runner *runner;
	int64_t number; /* given by the runner */
	struct db_member *member;
	/* a job runs on it, and its result will say whether the connection is
	 * still kept */
	bool busy;
	void (*lost)(void *arg);
	void *arg;
	UT_hash_handle hh;
};

/* A link that another proxy opened to this one, and the work of that proxy. */
struct relay_client {
	struct relay *relay;
	struct relay_client *next;
	struct link *link;
	struct relay_served_job *runs;
	struct relay_kept_conn *kept;
};

/* A job that runs here for another proxy. */
struct relay_served_job {
	int64_t number;
	struct relay_client *client;
	/* kept connection on which it runs, or NULL */
	struct relay_kept_conn *kept;
	struct db_job job;
	struct sctx ctx;
	struct buf text; /* bytes that the job's spans point into */
	clk_ms limit;
	UT_hash_handle hh;
};

struct relay_kept_conn {
	int64_t number;
	struct relay_client *client;
	struct db_conn *conn;
	bool busy; /* a job runs on it */
	UT_hash_handle hh;
};

struct relay {
	struct ev_loop *loop;
	const struct settings *set;
	struct db *db;
	int64_t uuid;
	struct relay_runner *runners;
	struct relay_slice_zone *slice_zones;
	size_t nslice_zones;
	struct relay_client *clients;
	struct link_server *server;
	ev_timer tick;
	/* last number given to a job or a kept connection */
	int64_t last_number;
	/* number of jobs and kept connections here for other proxies */
	size_t remote_work;
	bool ends_kept; /* see relay_end_kept() */
};

/* Messages hold blobs, jobs hold spans; neither owns its bytes. */
static inline struct span relay_span(const struct blob *b)
{
	struct span s = {.p = b->data, .len = b->len};

	return s;
}

static inline struct blob relay_blob(struct span s)
{
	struct blob b = {.data = s.p ? s.p : "", .len = s.len};

	return b;
}

/* relay_serve.c */
enum res relay_serve(struct relay *r, struct err *e);
void relay_serve_end(struct relay *r);
void relay_serve_tick(struct relay *r, clk_ms now);

#endif
