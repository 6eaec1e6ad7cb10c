#include "exec_priv.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

struct exec_pin *exec_pin_find(struct exec *x, int64_t id)
{
	struct exec_pin *p;

	HASH_FIND(hh, x->pins, &id, sizeof(id), p);
	return p;
}

struct pool_conn *exec_pin_take_out(struct exec_pin *p)
{
	struct pool_conn *c = p->conn;

	HASH_DEL(p->x->pins, p);
	free(p);
	return c;
}

void exec_pin_close(struct exec_pin *p)
{
	/* The runner releases the connection of a statement that runs. */
	if (p->busy) {
		p->busy->pin = NULL;
		pool_taint(exec_pin_take_out(p));
		return;
	}
	pool_release(exec_pin_take_out(p), false);
}

/* An idle pinned connection has nothing to say but that it was closed. */
static void exec_pin_io(void *arg, int revents)
{
	struct exec_pin *p = arg;

	(void)revents;
	if (!PQconsumeInput(pool_pg(p->conn)) ||
	    PQstatus(pool_pg(p->conn)) != CONNECTION_OK)
		exec_pin_close(p);
}

void exec_pin_rest(struct exec_pin *p)
{
	p->busy = NULL;
	pool_on_io(p->conn, exec_pin_io, p);
	pool_watch(p->conn, EV_READ);
}

static struct exec_pin *exec_pin_new(struct exec_req *r)
{
	struct exec_pin *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	/* Unpredictable, and unique among the pins of all owners. */
	randombytes_buf(&p->id, sizeof(p->id));
	p->id = (p->id & INT64_MAX) | 1;
	p->x = r->x;
	p->b = r->b;
	p->conn = r->conn;
	p->from = r->from;
	p->term = r->run.term;
	memcpy(p->customer, r->run.customer, sizeof(p->customer));
	p->busy = r;
	r->pin = p;
	HASH_ADD(hh, r->x->pins, id, sizeof(p->id), p);
	return p;
}

/* Decides at a request's end whether its connection stays with its caller. */
int64_t exec_pin_update(struct exec_req *r, const struct msg_end *end)
{
	bool keep = end->pin && !r->abandoned &&
		    (end->txn != 'I' || r->run.flags & RUN_PIN);

	/* Its session state has changed for good. */
	if (r->run.flags & RUN_PIN)
		pool_taint(r->conn);
	if (keep)
		return r->pin ? r->pin->id : exec_pin_new(r)->id;
	if (r->pin) {
		exec_pin_take_out(r->pin);
		r->pin = NULL;
	}
	return 0;
}
