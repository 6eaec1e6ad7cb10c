#include "relay_priv.h"

#include "counter.h"
#include "log.h"

#include <stdlib.h>
#include <string.h>

static void serve_forget_run(struct relay_served_job *run)
{
	struct relay_client *c = run->client;

	c->relay->remote_work--;
	HASH_DEL(c->runs, run);
	sctx_free(&run->ctx);
	buf_free(&run->text);
	free(run);
}

static void serve_forget_kept(struct relay_kept_conn *k)
{
	struct relay_client *c = k->client;

	c->relay->remote_work--;
	HASH_DEL(c->kept, k);
	free(k);
}

static struct relay_kept_conn *serve_find_kept(struct relay_client *c,
					       int64_t number)
{
	struct relay_kept_conn *k;

	HASH_FIND(hh, c->kept, &number, sizeof(number), k);
	return k;
}

/* Called when a kept connection failed between two jobs. */
static void serve_lost(void *arg)
{
	struct relay_kept_conn *k = arg;
	struct msg m = {.type = MSG_PIN_LOST};

	m.u.pin_lost.kept_conn_id = k->number;
	link_send(k->client->link, &m);
	serve_forget_kept(k);
}

/* Returns the number of the connection that the transaction keeps; 0 if the
 * transaction is over. */
static int64_t serve_keep_conn(struct relay_served_job *run,
			       struct db_conn *conn)
{
	struct relay_client *c = run->client;
	struct relay_kept_conn *k = run->kept;

	if (!conn) {
		if (k)
			serve_forget_kept(k);
		return 0;
	}
	if (!k) {
		k = calloc(1, sizeof(*k));
		if (!k)
			abort();
		k->number = ++c->relay->last_number;
		k->client = c;
		c->relay->remote_work++;
		HASH_ADD(hh, c->kept, number, sizeof(k->number), k);
	}
	k->conn = conn;
	k->busy = false;
	db_on_lost(conn, serve_lost, k);
	return k->number;
}

/* Rolls back the transaction of a kept connection that no job uses. */
static void serve_end_kept(struct relay_kept_conn *k)
{
	db_roll_back_kept(k->conn);
	serve_lost(k);
}

static void serve_done(struct db_job *j, const struct db_result *r)
{
	struct relay_served_job *run = j->arg;
	struct msg m = {.type = MSG_JOB_END};
	struct msg_job_end *end = &m.u.job_end;

	end->job_number = run->number;
	end->status = r->status;
	end->sent = r->sent;
	end->error = r->error;
	end->member_error_code = relay_blob(r->code);
	end->member_error_text = relay_blob(r->text);
	end->answer = relay_blob(r->answer);
	end->term = r->pos.term;
	end->position = r->pos.number;
	end->txn_status_char = r->txn;
	end->retry_ms = r->retry_ms;
	end->kept_conn_id = serve_keep_conn(run, r->conn);
	link_send(run->client->link, &m);
	if (end->kept_conn_id && run->client->relay->ends_kept)
		serve_end_kept(serve_find_kept(run->client, end->kept_conn_id));
	serve_forget_run(run);
}

/* Copies what the job needs until it ends. */
static void serve_copy_job(struct relay_served_job *run,
			   const struct msg_job *m, clk_ms now)
{
	struct db_job *j = &run->job;
	struct span shape = relay_span(&m->prepared_text);
	const char *p;

	for (int64_t i = 0; i < m->nsession_settings; i++) {
		const struct session_setting *v = &m->session_settings[i];

		sctx_set(&run->ctx, relay_span(&v->name),
			 relay_span(&v->value));
	}
	if (m->prepared) {
		sctx_prepare(&run->ctx, shape, m->prepared_writes, shape);
		j->prepared = sctx_find(&run->ctx, shape);
	}
	buf_add(&run->text, m->job_request_id.data, m->job_request_id.len);
	buf_add(&run->text, m->text.data, m->text.len);
	buf_add(&run->text, m->arguments.data, m->arguments.len);
	p = buf_data(&run->text);
	j->id = (struct span){.p = p, .len = m->job_request_id.len};
	j->text = (struct span){.p = p + m->job_request_id.len,
				.len = m->text.len};
	j->arguments =
		(struct span){.p = p + m->job_request_id.len + m->text.len,
			      .len = m->arguments.len};
	j->ctx = &run->ctx;
	j->begin = m->begin_txn;
	j->begin_read_only = m->begin_read_only;
	j->rollback = m->rollback_after;
	j->needs_lease = m->needs_lease;
	j->required_pos =
		(struct pos){.term = m->min_term, .number = m->min_position};
	j->priority = m->priority;
	j->objective_ms = m->objective_ms;
	/* Proxies of earlier versions don't tell. */
	j->deadline =
		m->answer_timeout_ms ? now + m->answer_timeout_ms : run->limit;
	j->fallback = m->fallback;
	memcpy(j->tenant, m->tenant, ID_LEN);
	if (m->authorized_ms)
		j->authorized_until = now + m->authorized_ms;
	j->done = serve_done;
	j->arg = run;
}

static void serve_job(struct relay_client *c, const struct msg_job *m)
{
	struct db_result gone = {.status = DB_LOST};
	struct relay_served_job *run = calloc(1, sizeof(*run));
	struct db_member *member = db_find(c->relay->db, m->member);
	clk_ms now = clk_now();

	if (!run)
		abort();
	run->number = m->job_number;
	run->client = c;
	run->limit = now + m->send_timeout_ms;
	HASH_ADD(hh, c->runs, number, sizeof(run->number), run);
	c->relay->remote_work++;
	serve_copy_job(run, m, now);
	if (m->kept_conn_id) {
		run->kept = serve_find_kept(c, m->kept_conn_id);
		if (run->kept) {
			run->kept->busy = true;
			db_continue(run->kept->conn, &run->job, now);
		} else {
			serve_done(&run->job, &gone);
		}
	} else if (member && member->in_roster) {
		db_start(member, &run->job, now);
	} else {
		log_info("relay", "event=member_unknown id=%s from=%s",
			 m->member, link_peer_id(c->link));
		serve_done(&run->job, &gone);
	}
}

/* Cancels a job. If it runs in a transaction, its connection is closed, which
 * rolls the transaction back. */
static void serve_give_up(struct relay_served_job *run)
{
	struct relay_kept_conn *k = run->kept;

	db_cancel(&run->job);
	if (k) {
		db_close_kept(k->conn);
		serve_forget_kept(k);
	}
	serve_forget_run(run);
}

static void serve_cancel(struct relay_client *c, const struct msg_job_cancel *m)
{
	struct relay_served_job *run;

	HASH_FIND(hh, c->runs, &m->job_number, sizeof(m->job_number), run);
	if (run)
		serve_give_up(run);
}

static void serve_end_pin(struct relay_client *c, const struct msg_pin_end *m)
{
	struct relay_kept_conn *k = serve_find_kept(c, m->kept_conn_id);

	if (!k)
		return;
	db_roll_back_kept(k->conn);
	serve_forget_kept(k);
}

static void serve_on_up(void *arg, struct link *l)
{
	struct relay *r = arg;
	struct relay_client *c = calloc(1, sizeof(*c));

	if (!c)
		abort();
	c->relay = r;
	c->link = l;
	c->next = r->clients;
	r->clients = c;
	link_set_user_data(l, c);
	log_info("relay", "event=origin_up id=%s zone=%s", link_peer_id(l),
		 link_peer_zone(l));
}

static void serve_on_message(void *arg, struct link *l, const struct msg *m)
{
	struct relay_client *c = link_user_data(l);

	(void)arg;
	switch (m->type) {
	case MSG_JOB:
		serve_job(c, &m->u.job);
		break;
	case MSG_JOB_CANCEL:
		serve_cancel(c, &m->u.job_cancel);
		break;
	case MSG_PIN_END:
		serve_end_pin(c, &m->u.pin_end);
		break;
	default:
		cnt_add(CNT_bad_input, 1);
		log_warn("relay", "event=unexpected_message type=%s from=%s",
			 msg_name(m->type), link_peer_id(l));
	}
}

static void serve_drop_client(struct relay_client *c)
{
	struct relay *r = c->relay;
	struct relay_client **p = &r->clients;

	while (c->runs)
		serve_give_up(c->runs);
	while (c->kept) {
		db_roll_back_kept(c->kept->conn);
		serve_forget_kept(c->kept);
	}
	while (*p != c)
		p = &(*p)->next;
	*p = c->next;
	free(c);
}

static void serve_on_down(void *arg, struct link *l)
{
	struct relay_client *c = link_user_data(l);

	(void)arg;
	log_info("relay", "event=origin_down id=%s", link_peer_id(l));
	serve_drop_client(c);
}

/* Ends jobs that found no free slot before their limit. They were not run, and
 * their sender is told in time to answer its caller. */
void relay_serve_tick(struct relay *r, clk_ms now)
{
	struct db_result late = {.status = DB_REFUSED, .error = LINE_E_BUSY};

	for (struct relay_client *c = r->clients; c; c = c->next) {
		struct relay_served_job *next;

		for (struct relay_served_job *run = c->runs; run; run = next) {
			next = run->hh.next;
			if (run->kept || run->job.sent || now < run->limit)
				continue;
			db_cancel(&run->job);
			serve_done(&run->job, &late);
		}
	}
}

void relay_end_kept(struct relay *r)
{
	r->ends_kept = true;
	for (struct relay_client *c = r->clients; c; c = c->next) {
		struct relay_kept_conn *next;

		for (struct relay_kept_conn *k = c->kept; k; k = next) {
			next = k->hh.next;
			if (!k->busy)
				serve_end_kept(k);
		}
	}
}

enum res relay_serve(struct relay *r, struct err *e)
{
	struct link_handler h = {.arg = r,
				 .on_up = serve_on_up,
				 .on_message = serve_on_message,
				 .on_down = serve_on_down};

	return link_listen(&r->server, r->loop, r->set, "proxy", r->uuid, &h,
			   e);
}

void relay_serve_end(struct relay *r)
{
	while (r->clients)
		serve_drop_client(r->clients);
	if (r->server)
		link_server_free(r->server);
}
