#include "rng.h"

#include <gsl/gsl_rng.h>
#include <stdlib.h>

struct rng {
	gsl_rng *gen;
};

struct rng *rng_new(uint64_t seed)
{
	struct rng *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->gen = gsl_rng_alloc(gsl_rng_taus2);
	gsl_rng_set(r->gen, (unsigned long)seed);
	return r;
}

void rng_free(struct rng *r)
{
	if (!r)
		return;
	gsl_rng_free(r->gen);
	free(r);
}

uint64_t rng_uniform_int(struct rng *r, uint64_t n)
{
	return n ? (uint64_t)(gsl_rng_uniform(r->gen) * (double)n) : 0;
}

double rng_uniform_unit(struct rng *r)
{
	return gsl_rng_uniform(r->gen);
}
