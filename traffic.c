#include "traffic.h"

#include <inttypes.h>

enum { TRF_MAX_TYPE = 64 };

static uint64_t trf_sent[TRF_MAX_TYPE][2]; /* by type and other_zone */

void trf_add_sent(int type, bool other_zone, size_t bytes)
{
	if (type >= 0 && type < TRF_MAX_TYPE)
		trf_sent[type][other_zone] += bytes;
}

void trf_print(struct buf *text)
{
	for (int i = 0; i < TRF_MAX_TYPE; i++)
		for (int other = 0; other < 2; other++)
			if (trf_sent[i][other])
				buf_addf(text,
					 "link_sent_bytes{type=\"%s\","
					 "peer=\"%s\"} %" PRIu64 "\n",
					 i ? msg_name((enum msg_type)i)
					   : "PING",
					 other ? "other_zone" : "same_zone",
					 trf_sent[i][other]);
}
