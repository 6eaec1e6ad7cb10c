#ifndef RELAY_H
#define RELAY_H

/*
 * Relaying: jobs (db.h) of this proxy that other proxies run, and the other way
 * round.
 *
 * Where members have too few connections for each proxy to hold some, only some
 * proxies of the members' zone hold connections to them. Groups are distributed
 * over a number of slices, and so are the proxies of each zone. A proxy sends
 * the jobs for members of a slice and zone to one proxy of that slice and zone,
 * its runner: the one with the highest rendezvous hash of both ids among those
 * alive. A job of a tenant goes to the proxy with the highest hash of the
 * tenant's name and the proxy's id instead, so that all connections of the
 * tenant to a member are at one proxy, which may be this one. Links to such
 * runners are opened when first needed and closed after RELAY_LINK_IDLE_MS
 * without use; until one is up, the job goes to the runner of the sender. The
 * runner runs the job like its own ones, by priority, and keeps the
 * connection of a transaction (a pin, on the sender's side). If no runner can
 * be reached, the sender starts the job on the member directly.
 *
 * The sender counts a job as sent from the start. The runner gives up a job
 * that it could not send in time, and reports that it was not sent.
 */

#include "db.h"
#include "error.h"

struct ev_loop;
struct relay;
struct relay_pin;
struct settings;

enum {
	/* two ping intervals of a link; a runner from which nothing was
	 * received for so long is not used */
	RELAY_RUNNER_SILENT_MS = 500,
	/* A link that only tenants use is closed after so long without a job.
	 * Handshakes are rare then, and links to runners of tenants that are
	 * not active here cost no pings. */
	RELAY_LINK_IDLE_MS = 30000,
	/* part of a job's time limit that is kept for the way back */
	RELAY_RETURN_MARGIN_MS = 20,
	/* interval between checks for expired jobs */
	RELAY_CHECK_INTERVAL_MS = 10
};

/* Starts to accept links on the link address of the settings. */
enum res relay_new(struct relay **out, struct ev_loop *loop,
		   const struct settings *set, struct db *db, int64_t uuid,
		   struct err *e);
void relay_free(struct relay *r);

/* Takes the proxies, sorted by id, and the number of slices; 0 if relaying is
 * not needed. */
void relay_take_proxies(struct relay *r, const struct proxy_info *list,
			size_t n, int slices);

/* The number of proxies that hold the connections of a slice in a zone, how
 * many of them are alive, and whether this proxy is one of them. */
int relay_count_runners(const struct relay *r, const char *zone, int slice);
int relay_count_live_runners(const struct relay *r, const char *zone,
			     int slice);
bool relay_runs_here(const struct relay *r, const char *zone, int slice);

/* Has a job run by the runner of the member's zone and slice. Returns false if
 * it is to be run here: this proxy is the runner, or none can be reached. limit
 * is the time by which the answer must have arrived here. */
bool relay_start(struct relay *r, struct db_member *m, int slice,
		 struct db_job *j, clk_ms limit, clk_ms now);

/* Has a job run on the connection that a transaction keeps. */
void relay_continue(struct relay_pin *p, struct db_job *j, clk_ms limit,
		    clk_ms now);

/* Cancels a job and gives up the connection of its transaction; the done
 * callback is not called. */
void relay_cancel(struct db_job *j);

/* Ends a kept transaction by a rollback. */
void relay_release(struct relay_pin *p);
struct db_member *relay_member_of(const struct relay_pin *p);

/* Sets the callback for a kept connection that fails while no job runs on
 * it. */
void relay_on_lost(struct relay_pin *p, void (*lost)(void *arg), void *arg);

/* Ends the transactions that run here for other proxies, each after the
 * statement that is under way. Their proxies are told that it is lost. */
void relay_end_kept(struct relay *r);

/* Number of jobs and transactions that run here for other proxies. */
size_t relay_load(const struct relay *r);

#endif
