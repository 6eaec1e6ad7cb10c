#ifndef RNG_H
#define RNG_H

/*
 * Seeded pseudo-random numbers, from GSL's taus2 generator. Modules that make
 * decisions are given a generator, so that a run can be repeated with the same
 * seed. Secrets and instance identities come from libsodium instead.
 */

#include <stdint.h>

struct rng;

struct rng *rng_new(uint64_t seed);
void rng_free(struct rng *r);

/* Uniform integer in [0, n); 0 if n is 0. */
uint64_t rng_uniform_int(struct rng *r, uint64_t n);

/* Uniform number in [0, 1). */
double rng_uniform_unit(struct rng *r);

#endif
