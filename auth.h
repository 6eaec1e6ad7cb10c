#ifndef AUTH_H
#define AUTH_H

/*
 * Password check of customers with a memory of the last success.
 *
 * The password hash of the lists is expensive on purpose. The first login of
 * a customer pays for it; later ones are compared with a keyed hash that is
 * kept in memory only, under a key that is made at start. A changed entry in
 * the lists makes the memory void.
 */

#include "lists.h"

#include <stdbool.h>

struct auth;

struct auth *auth_new(void);
void auth_free(struct auth *a);

bool auth_check(struct auth *a, const struct customer *c, const char *password);

/* Compares in constant time; an empty expected password never matches. */
bool auth_equal(const char *expected, const char *given);

#endif
