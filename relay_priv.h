#ifndef RELAY_PRIV_H
#define RELAY_PRIV_H

/* Shared by relay.c (jobs sent to others) and relay_serve.c (jobs run for
 * others). */

#include "link.h"
#include "relay.h"

#include <ev.h>
#include <uthash.h>

/* A proxy that runs jobs for this one. */
struct relay_gate {
	struct relay *relay;
	struct relay_gate *next;
	char id[ID_LEN];
	char addr[ADDR_LEN];
	struct link *link;
	bool up;
	bool chosen; /* else it is closed when nothing runs there */
	size_t load; /* jobs and kept connections */
};

/* A slice in a zone. */
struct relay_place {
	char zone[ID_LEN];
	int slice;
	int runners; /* proxies that hold its connections */
	bool here; /* this one does */
	struct relay_gate *gate; /* NULL if no runner is alive */
};

/* A job that runs elsewhere. */
struct relay_job {
	int64_t number;
	struct relay_gate *gate;
	struct relay_pin *pin; /* it runs on */
	struct db_job *job;
	struct db_member *member;
	clk_ms sent;
	UT_hash_handle hh;
};

struct relay_pin {
	struct relay_gate *gate;
	int64_t number;
	struct db_member *member;
	bool busy; /* a job runs on it, whose end tells what becomes of it */
	void (*lost)(void *arg);
	void *arg;
	UT_hash_handle hh;
};

/* A link that another proxy opened to this one. */
struct relay_client {
	struct relay *relay;
	struct relay_client *next;
	struct link *link;
	struct relay_run *runs;
	struct relay_kept *kept;
};

/* A job that runs here. */
struct relay_run {
	int64_t number;
	struct relay_client *client;
	struct relay_kept *kept; /* it runs on */
	struct db_job job;
	struct sctx ctx;
	struct buf text; /* that the job's spans point into */
	clk_ms limit;
	UT_hash_handle hh;
};

struct relay_kept {
	int64_t number;
	struct relay_client *client;
	struct db_conn *conn;
	UT_hash_handle hh;
};

struct relay {
	struct ev_loop *loop;
	const struct settings *set;
	struct db *db;
	int64_t uuid;
	struct relay_gate *gates;
	struct relay_place *places;
	size_t nplaces;
	struct relay_job *jobs;
	struct relay_pin *pins;
	struct relay_client *clients;
	struct link_server *server;
	ev_timer tick;
	int64_t numbers; /* of jobs and of kept connections */
	size_t load; /* of others, here */
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
