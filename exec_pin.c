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

struct pool_conn *exec_pin_detach(struct exec_pin *p)
{
	struct pool_conn *c = p->conn;

	HASH_DEL(p->x->pins, p);
	free(p);
	return c;
}

void exec_pin_close(struct exec_pin *p)
{
	/*
	 * While a statement runs, the runner still uses the connection and
	 * releases it at the end.
	 */
	if (p->running_req) {
		p->running_req->pin = NULL;
		pool_close_on_release(exec_pin_detach(p));
		return;
	}
	pool_release(exec_pin_detach(p), false);
}

/*
 * A backend sends no results on an idle connection, so readability is checked
 * only to detect that it was closed.
 */
static void exec_pin_io(void *arg, int revents)
{
	struct exec_pin *p = arg;

	(void)revents;
	if (!PQconsumeInput(pool_conn_pg(p->conn)) ||
	    PQstatus(pool_conn_pg(p->conn)) != CONNECTION_OK)
		exec_pin_close(p);
}

void exec_pin_make_idle(struct exec_pin *p)
{
	p->running_req = NULL;
	pool_set_io_handler(p->conn, exec_pin_io, p);
	pool_watch(p->conn, EV_READ);
}

static struct exec_pin *exec_pin_new(struct exec_req *r)
{
	struct exec_pin *p = calloc(1, sizeof(*p));

	if (!p)
		abort();
	/*
	 * The id must be unpredictable, and unique among the pins of all
	 * owners.
	 */
	randombytes_buf(&p->id, sizeof(p->id));
	p->id = (p->id & INT64_MAX) | 1;
	p->x = r->x;
	p->b = r->b;
	p->conn = r->conn;
	p->origin_link = r->origin_link;
	p->term = r->run.term;
	memcpy(p->customer, r->run.customer, sizeof(p->customer));
	p->running_req = r;
	r->pin = p;
	HASH_ADD(hh, r->x->pins, id, sizeof(p->id), p);
	return p;
}

/*
 * Decides at the end of a request whether its connection stays reserved for the
 * caller. Returns the pin's id, or 0 if it does not.
 */
int64_t exec_pin_update(struct exec_req *r, const struct msg_end *end)
{
	bool keep =
		end->pinned_conn_id && !r->abandoned &&
		(end->txn_status_char != 'I' || r->run.flags & RUN_PIN_CONN);

	/* The session state has changed permanently. */
	if (r->run.flags & RUN_PIN_CONN)
		pool_close_on_release(r->conn);
	if (keep)
		return r->pin ? r->pin->id : exec_pin_new(r)->id;
	if (r->pin) {
		exec_pin_detach(r->pin);
		r->pin = NULL;
	}
	return 0;
}
