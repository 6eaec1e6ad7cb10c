#ifndef TRAFFIC_H
#define TRAFFIC_H

/*
 * Bytes that this process sent on links, by type of message and by whether the
 * peer is in another availability zone, where traffic is paid for. Published
 * with the metrics. Names begin with trf_.
 */

#include "buf.h"
#include "msg.h"

#include <stdbool.h>

/* Adds bytes of a message; type 0 stands for pings. */
void trf_add_sent(int type, bool other_zone, size_t bytes);

/* Appends one line for each type that was sent. */
void trf_print(struct buf *text);

#endif
