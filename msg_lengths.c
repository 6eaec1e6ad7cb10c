#include "msg_lengths.h"

#include <stdint.h>

/* What follows the type byte of an element. */
struct element {
	size_t header; /* bytes of its length, or of its value */
	size_t payload; /* bytes of a string or binary of fixed length */
	bool has_length; /* the header is a length */
	bool is_container; /* the length counts elements, not bytes */
};

/* Type bytes of msgpack with a length or a value behind them, from 0xc0. */
static const struct element after_0xc0[] = {
	[0xc4 - 0xc0] = {.header = 1, .has_length = true}, /* bin */
	[0xc5 - 0xc0] = {.header = 2, .has_length = true},
	[0xc6 - 0xc0] = {.header = 4, .has_length = true},
	[0xc7 - 0xc0] = {.header = 1, .payload = 1, .has_length = true},
	[0xc8 - 0xc0] = {.header = 2, .payload = 1, .has_length = true},
	[0xc9 - 0xc0] = {.header = 4, .payload = 1, .has_length = true},
	[0xca - 0xc0] = {.header = 4}, /* float */
	[0xcb - 0xc0] = {.header = 8},
	[0xcc - 0xc0] = {.header = 1}, /* integers */
	[0xcd - 0xc0] = {.header = 2},
	[0xce - 0xc0] = {.header = 4},
	[0xcf - 0xc0] = {.header = 8},
	[0xd0 - 0xc0] = {.header = 1},
	[0xd1 - 0xc0] = {.header = 2},
	[0xd2 - 0xc0] = {.header = 4},
	[0xd3 - 0xc0] = {.header = 8},
	[0xd4 - 0xc0] = {.payload = 2}, /* ext of fixed length */
	[0xd5 - 0xc0] = {.payload = 3},
	[0xd6 - 0xc0] = {.payload = 5},
	[0xd7 - 0xc0] = {.payload = 9},
	[0xd8 - 0xc0] = {.payload = 17},
	[0xd9 - 0xc0] = {.header = 1, .has_length = true}, /* str */
	[0xda - 0xc0] = {.header = 2, .has_length = true},
	[0xdb - 0xc0] = {.header = 4, .has_length = true},
	[0xdc - 0xc0] = {.header = 2, .has_length = true, .is_container = true},
	[0xdd - 0xc0] = {.header = 4, .has_length = true, .is_container = true},
	[0xde - 0xc0] = {.header = 2, .has_length = true, .is_container = true},
	[0xdf - 0xc0] = {.header = 4, .has_length = true, .is_container = true},
};

static struct element element_of(unsigned char type)
{
	if (type >= 0xc0 && type <= 0xdf)
		return after_0xc0[type - 0xc0];
	if (type >= 0xa0 && type < 0xc0) /* short string */
		return (struct element){.payload = type & 0x1f};
	/* A short array or map has at most 15 entries, which its elements
	 * show; the rest are small integers. */
	return (struct element){0};
}

bool msg_lengths_fit(const char *data, size_t len)
{
	size_t at = 0;

	while (at < len) {
		struct element e = element_of((unsigned char)data[at++]);
		uint64_t n = 0;

		if (e.header > len - at)
			return false;
		for (size_t i = 0; i < e.header; i++)
			n = n << 8 | (unsigned char)data[at + i];
		at += e.header;
		if (e.has_length && n > len - at)
			return false;
		if (e.has_length && !e.is_container)
			e.payload += (size_t)n;
		if (e.payload > len - at)
			return false;
		at += e.payload;
	}
	return true;
}
