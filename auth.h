#ifndef AUTH_H
#define AUTH_H

/*
 * Password authentication of customers, with a cache.
 *
 * The password hash in the lists is deliberately expensive to compute. Only the
 * first login of a customer computes it. Later logins are compared with a keyed
 * hash (MAC) of the last password that was correct. It is stored in memory
 * only, and its key is generated at start. If the customer's password hash in
 * the lists changes, its cache entry is no longer valid.
 */

#include "lists.h"

#include <stdbool.h>

struct auth;

struct auth *auth_new(void);
void auth_free(struct auth *a);

/* Checks a customer's password; caches it if it is correct. */
bool auth_check_password(struct auth *a, const struct customer *c,
			 const char *password);

/* Compares two passwords in constant time. An empty expected password never
 * matches. */
bool auth_passwords_equal(const char *expected, const char *given);

#endif
