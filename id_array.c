#include "id_array.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Index of the first entry whose id is not less than id. */
static size_t tab_lower_bound(const char *base, size_t n, size_t size,
			      const char *id)
{
	size_t low = 0;

	while (low < n) {
		size_t mid = low + (n - low) / 2;

		if (strcmp(base + mid * size, id) < 0)
			low = mid + 1;
		else
			n = mid;
	}
	return low;
}

void *id_array_find(const void *base, size_t n, size_t size, const char *id)
{
	size_t at = tab_lower_bound(base, n, size, id);
	char *entry = (char *)base + at * size;

	return at < n && !strcmp(entry, id) ? entry : NULL;
}

void *id_array_insert(void **base, size_t *n, size_t size, const char *id)
{
	size_t at = tab_lower_bound(*base, *n, size, id);
	char *entry;

	/* The capacity is not stored: it is n rounded up to a power of two, so
	 * the array is full when n is 0 or a power of two. */
	if (!(*n & (*n - 1))) {
		*base = realloc(*base, (*n ? 2 * *n : 1) * size);
		if (!*base)
			abort();
	}
	entry = (char *)*base + at * size;
	memmove(entry + size, entry, (*n - at) * size);
	memset(entry, 0, size);
	snprintf(entry, ID_LEN, "%s", id);
	(*n)++;
	return entry;
}

void id_array_remove(void *base, size_t *n, size_t size, void *entry)
{
	char *end = (char *)base + *n * size;
	char *next = (char *)entry + size;

	memmove(entry, next, (size_t)(end - next));
	(*n)--;
}
