#ifndef MSG_LENGTHS_H
#define MSG_LENGTHS_H

/*
 * Check of encoded messages before they are decoded; part of msg.c, which alone
 * uses it.
 *
 * The msgpack library allocates an array as long as its header says, before it
 * has seen the elements. A damaged header of five bytes could ask for 256 GB.
 */

#include <stdbool.h>
#include <stddef.h>

/* True if no array, map, string or binary is longer than the bytes that follow
 * its header. */
bool msg_lengths_fit(const char *data, size_t len);

#endif
