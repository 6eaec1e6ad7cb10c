#ifndef ID_ARRAY_H
#define ID_ARRAY_H

/*
 * Arrays of structs sorted by id (prefix id_array_). Each struct must begin
 * with a zero-terminated id of ID_LEN bytes. n is the number of entries and
 * size the bytes of one. Pointers to entries are valid until the next insertion
 * or removal.
 */

#include "cluster.h"

#include <stddef.h>

/* Returns the entry with an id, or NULL. */
void *id_array_find(const void *base, size_t n, size_t size, const char *id);

/*
 * Inserts an entry, zeroed except for its id, and returns it. No entry may have
 * that id already. *base must come from malloc() or be NULL.
 */
void *id_array_insert(void **base, size_t *n, size_t size, const char *id);

/* Removes an entry; the array is not reallocated. */
void id_array_remove(void *base, size_t *n, size_t size, void *entry);

#endif
