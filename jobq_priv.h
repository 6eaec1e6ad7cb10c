#ifndef JOBQ_PRIV_H
#define JOBQ_PRIV_H

/* Shared by jobq.c (queue and order) and jobq_late.c (service times, and which
 * jobs are late). */

#include "jobq.h"

#include <uthash.h>

/* Service time of a class or of the whole member, in ms. */
struct jobq_estimate {
	double mean;
	double dev; /* mean deviation */
	int n;
	clk_ms at; /* when the last answer came */
};

/* Jobs that were queued in the interval at hand and the ones before it. */
struct jobq_rate {
	clk_ms interval; /* number of the interval at hand */
	double count[3]; /* newest first */
};

/* What runs before a job: work that waits now, in ms, and the share of the
 * member that goes to work which arrives later. */
struct jobq_ahead {
	double ms;
	double later;
};

struct jobq_tenant {
	UT_hash_handle hh;
	char name[ID_LEN];
	/* The member's time that it used, decayed. The stored value is larger
	 * by jobq_usage_scale(), so that it changes only when the tenant is
	 * served, and so does the order of tenants. */
	double usage;
	uint64_t skipped_round;
	struct jobq_flow *flows; /* one for each class it used */
	size_t nwaiting;
};

/* Waiting jobs of one tenant and class, oldest first. */
struct jobq_flow {
	struct jobq_tenant *tenant;
	struct jobq_class *class;
	struct jobq_flow *tenant_next;
	/* in the class's list while it has jobs */
	struct jobq_flow *prev;
	struct jobq_flow *next;
	struct jobq_job *jobs;
	size_t n;
	struct jobq_rate rate;
};

/* The jobs of one priority. */
struct jobq_class {
	struct jobq_class *next; /* the next less urgent one */
	int64_t priority;
	/* those with jobs, least used tenant first */
	struct jobq_flow *flows;
	size_t n;
	struct jobq_estimate service;
	struct jobq_rate rate;
	/* since when more urgent jobs run and none of this class; 0 if not */
	clk_ms passed_since;
	clk_ms last_waiting; /* when it last had a waiting or refused job */
	/* All flows before this one are skipped in this round. */
	struct jobq_flow *resume;
	uint64_t resume_round;
};

struct jobq {
	struct jobq_class *classes; /* most urgent first */
	struct jobq_tenant *tenants;
	struct jobq_job *refused;
	size_t n;
	struct jobq_estimate service;
	int limit;
	int running;
	uint64_t round;
	clk_ms usage_since; /* when the scale of usage was 1 */
	struct rng *rng;
};

/* jobq_late.c */
bool jobq_est_is_known(const struct jobq_estimate *e, clk_ms now);
void jobq_est_learn(struct jobq_estimate *e, clk_ms ms, clk_ms now);
/* The service time of a class, or of the member while the class is unknown. */
const struct jobq_estimate *jobq_estimate(const struct jobq *q,
					  const struct jobq_class *c,
					  clk_ms now);
void jobq_rate_add(struct jobq_rate *r, clk_ms now);

/* True if the newest job of the flow is served first. */
bool jobq_newest_first(const struct jobq_flow *f, clk_ms now);

/* What the classes that are more urgent than c have and will have. */
struct jobq_ahead jobq_urgent_ahead(const struct jobq *q,
				    const struct jobq_class *c, clk_ms now);

/*
 * The number of jobs of the same class that run before a job which has n others
 * of its own flow ahead. Those of another tenant run first while that one used
 * less.
 */
double jobq_jobs_ahead(const struct jobq *q, const struct jobq_flow *f,
		       size_t n, clk_ms now);

/* True if the job can't end in time. urgent is what more urgent classes have,
 * jobs how many of its own class run before it, newest_first whether later ones
 * of its flow f do. */
bool jobq_is_late(const struct jobq *q, const struct jobq_job *j,
		  const struct jobq_flow *f, const struct jobq_ahead *urgent,
		  double jobs, bool newest_first, clk_ms now);

/* jobq.c */
struct jobq_class *jobq_class_of(struct jobq *q, int64_t priority);
/* Factor between the stored usage of tenants and the decayed one. */
double jobq_usage_scale(const struct jobq *q, clk_ms now);

#endif
