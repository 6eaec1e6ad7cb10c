#include "read_fallback.h"

#include "rng.h"

#include <stdbool.h>

void rdf_record_lag(struct rdf_lag *l, clk_ms primary_had_it, clk_ms now)
{
	l->ms = now > primary_had_it ? now - primary_had_it : 0;
	l->measured_at = now;
}

clk_ms rdf_expected_at(const struct rdf_lag *l, clk_ms primary_had_it,
		       clk_ms now)
{
	clk_ms at = primary_had_it + l->ms;

	if (!l->measured_at || now - l->measured_at >= RDF_LAG_AGE_MS)
		return 0;
	return at > now ? at : 0;
}

int rdf_primary_share(int primary_limit)
{
	int share = primary_limit / RDF_PRIMARY_PART;

	return share > 0 ? share : 1;
}

static bool rdf_may_wait(const struct rdf_read *r)
{
	if (!r->expected_at || r->expected_at - r->arrived > RDF_WAIT_MS)
		return false;
	return !r->deadline || r->expected_at + r->response_ms <= r->deadline;
}

static clk_ms rdf_retry_ms(const struct rdf_read *r, struct rng *rng,
			   clk_ms now)
{
	clk_ms ms = r->expected_at ? r->expected_at - now : RDF_RETRY_MS;

	if (ms < RDF_RETRY_MIN_MS)
		ms = RDF_RETRY_MIN_MS;
	if (ms > RDF_RETRY_MAX_MS)
		ms = RDF_RETRY_MAX_MS;
	return ms + (clk_ms)rng_uniform_int(rng, (uint64_t)ms + 1);
}

struct rdf_decision rdf_decide(const struct rdf_read *r, struct rng *rng,
			       clk_ms now)
{
	if (r->primary_reads < rdf_primary_share(r->primary_limit))
		return (struct rdf_decision){.action = RDF_PRIMARY};
	if (rdf_may_wait(r) && r->expected_at > now)
		return (struct rdf_decision){.action = RDF_WAIT,
					     .ms = r->expected_at - now};
	return (struct rdf_decision){.action = RDF_REFUSE,
				     .ms = rdf_retry_ms(r, rng, now)};
}
