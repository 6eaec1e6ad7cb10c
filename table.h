#ifndef TABLE_H
#define TABLE_H

/*
 * Sorted arrays of structs that begin with a zero-terminated id of ID_LEN
 * bytes. Pointers to entries are valid until the next insertion or removal.
 */

#include "cluster.h"

#include <stddef.h>

/* The entry with an id, or NULL. */
void *tab_find(const void *base, size_t n, size_t size, const char *id);

/*
 * Inserts a zeroed entry with an id that is not there yet and returns it;
 * *base must come from malloc() or be NULL.
 */
void *tab_insert(void **base, size_t *n, size_t size, const char *id);

/* Removes an entry of the array. */
void tab_remove(void *base, size_t *n, size_t size, void *entry);

#endif
