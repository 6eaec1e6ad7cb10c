#include "front_priv.h"

#include "counter.h"
#include "log.h"
#include "read_fallback.h"
#include "settings.h"

/* When the group's primary had a position: the time of the first sample that
 * covers it. */
static clk_ms fallback_primary_had(const struct front_group *g, struct pos pos,
				   clk_ms now)
{
	for (int i = 0; i < g->fresh.n; i++)
		if (pos_cmp(g->fresh.samples[i].pos, pos) >= 0)
			return g->fresh.samples[i].sent;
	return now;
}

void front_record_lag(struct front_session *s, const struct db_result *r)
{
	const struct front_group *g = front_find_group(s->server, s->group);
	struct db_member *m = db_find(s->server->db, s->job_member);
	clk_ms now = clk_now();

	if (!s->server->set->pacing || !m || m == front_primary(g) ||
	    pos_is_none(r->pos))
		return;
	rdf_record_lag(&m->lag, fallback_primary_had(g, r->pos, now), now);
}

/* Finds when the first replica has the position that the read needs. */
static void fallback_expect(const struct front_session *s,
			    const struct front_group *g, struct rdf_read *read,
			    clk_ms now)
{
	for (size_t i = 0; i < g->nmembers; i++) {
		const struct db_member *m = g->members[i];
		clk_ms at = rdf_expected_at(&m->lag, s->run.required.sent, now);

		if (!at || m == front_primary(g) || !m->in_roster ||
		    m->info.leaving || db_is_unresponsive(m, now) ||
		    (read->expected_at && read->expected_at <= at))
			continue;
		read->expected_at = at;
		read->response_ms = (clk_ms)m->response_ms;
	}
}

void front_count_fallback(struct front_group *g, bool sent, clk_ms now)
{
	if (!g->fallback_first) {
		g->fallback_first = now;
		log_info("front", "event=fallback_begins group=%s", g->name);
	}
	g->fallback_last = now;
	g->fallback_sent += sent;
	g->fallback_refused += !sent;
	cnt_add(sent ? CNT_reads_fallback : CNT_reads_fallback_refused, 1);
}

static bool fallback_decide(struct front_session *s, struct front_group *g,
			    const struct rdf_read *read, clk_ms now)
{
	struct rdf_decision d = rdf_decide(read, s->server->rng, now);

	switch (d.action) {
	case RDF_PRIMARY:
		front_count_fallback(g, true, now);
		s->job.fallback = true;
		return true;
	case RDF_WAIT:
		/* A read that was refused elsewhere is not held back. */
		if (!s->run.nrefused) {
			front_run_retry(s, d.ms, RES_NO_REPLICA);
			return false;
		}
		break;
	case RDF_REFUSE:
		break;
	}
	front_count_fallback(g, false, now);
	if (s->run.nrefused)
		front_run_refuse_retry(s, RES_OVERLOAD, "", s->run.retry_ms);
	else
		front_run_refuse_retry(s, RES_NO_REPLICA, "", d.ms);
	return false;
}

static struct rdf_read fallback_read(const struct front_session *s,
				     const struct db_member *primary,
				     clk_ms now)
{
	return (struct rdf_read){.arrived = s->run.received_at,
				 .deadline = s->run.deadline,
				 .primary_limit = db_limit(primary, now),
				 .primary_reads = primary->fallback_reads};
}

bool front_admit_fallback(struct front_session *s, struct pos need, clk_ms now)
{
	struct front_group *g = front_find_group(s->server, s->group);
	const struct db_member *primary = front_leased_primary(g, now);
	struct rdf_read read;

	if (!s->server->set->pacing || !primary ||
	    !front_is_fallback(s->server, s, need, now))
		return true;
	read = fallback_read(s, primary, now);
	fallback_expect(s, g, &read, now);
	return fallback_decide(s, g, &read, now);
}

bool front_admit_without_position(struct front_session *s, clk_ms now)
{
	struct front_group *g = front_find_group(s->server, s->group);
	const struct db_member *primary = front_leased_primary(g, now);
	struct rdf_read read;

	if (!s->server->set->pacing || !primary)
		return true;
	read = fallback_read(s, primary, now);
	/* If the share is used, those reads will bring a position. */
	read.response_ms = (clk_ms)primary->response_ms;
	read.expected_at = now + read.response_ms + 1;
	return fallback_decide(s, g, &read, now);
}

void front_fallback_tick(struct front_server *f, clk_ms now)
{
	for (size_t i = 0; i < f->ngroups; i++) {
		struct front_group *g = &f->groups[i];

		if (!g->fallback_first ||
		    now - g->fallback_last < FRONT_FALLBACK_OVER_MS)
			continue;
		log_info("front",
			 "event=fallback_over group=%s sent=%llu refused=%llu "
			 "ms=%lld",
			 g->name, (unsigned long long)g->fallback_sent,
			 (unsigned long long)g->fallback_refused,
			 (long long)(g->fallback_last - g->fallback_first));
		g->fallback_first = 0;
		g->fallback_sent = g->fallback_refused = 0;
	}
}
