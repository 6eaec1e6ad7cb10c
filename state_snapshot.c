#include "state_priv.h"

#include "id_array.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * A snapshot is a sequence of framed messages:
 *  - CONFIG with the lists in force (version 0 if there are none),
 *  - ANSWER with the view,
 *  - PUBLISH if a configuration was published,
 *  - a CONFIG without lists for each accepted version that is kept,
 *  - for each request whose result is kept, APPLY with its id and APPLIED with
 *    its result.
 */

static void snap_config(const struct state *s, struct buf *out)
{
	struct msg m = {.type = MSG_CONFIG};

	if (s->lists) {
		m.u.config.version = s->version;
		m.u.config.lists.data = s->lists->text;
		m.u.config.lists.len = s->lists->len;
	}
	msg_encode_frame(&m, out);
}

static void snap_view(const struct state *s, struct buf *out)
{
	struct msg m = {.type = MSG_ANSWER};

	m.u.answer.view_version = s->view_version;
	m.u.answer.groups = s->groups;
	m.u.answer.ngroups = (int64_t)s->ngroups;
	m.u.answer.backends = s->backends;
	m.u.answer.nbackends = (int64_t)s->nbackends;
	m.u.answer.proxies = s->proxies;
	m.u.answer.nproxies = (int64_t)s->nproxies;
	m.u.answer.ended_logs = s->ended_logs;
	m.u.answer.nended_logs = (int64_t)s->nended_logs;
	m.u.answer.orders = s->orders;
	m.u.answer.norders = (int64_t)s->norders;
	msg_encode_frame(&m, out);
}

static void snap_published(const struct state *s, struct buf *out)
{
	struct msg m = {.type = MSG_PUBLISH};

	const struct state_published_config *d = &s->published;

	m.u.publish.version = d->version;
	m.u.publish.config_text = blob_from_buf(&d->text);
	m.u.publish.packed_routes = blob_from_buf(&d->routes);
	m.u.publish.unpacked_routes_size = d->routes_size;
	msg_encode_frame(&m, out);
}

static void snap_change(const struct state_lists_revision *c, struct buf *out)
{
	struct msg m = {.type = MSG_CONFIG};

	m.u.config.version = c->version;
	memcpy(m.u.config.digest, c->digest, ID_LEN);
	memcpy(m.u.config.version_operator, c->author, ID_LEN);
	m.u.config.version_written_at = c->accepted_ms;
	msg_encode_frame(&m, out);
}

static void snap_request(const struct state_request_result *q, struct buf *out)
{
	struct msg m = {.type = MSG_APPLY};

	memcpy(m.u.apply.request_id, q->id, REQUEST_ID_LEN);
	msg_encode_frame(&m, out);
	m = (struct msg){.type = MSG_APPLIED};
	m.u.applied.res = q->res;
	m.u.applied.version = q->version;
	memcpy(m.u.applied.digest, q->digest, ID_LEN);
	memcpy(m.u.applied.version_operator, q->version_author, ID_LEN);
	m.u.applied.version_written_at = q->version_written_ms;
	m.u.applied.text.data = q->text;
	m.u.applied.text.len = strlen(q->text);
	msg_encode_frame(&m, out);
}

void state_encode(const struct state *s, struct buf *out)
{
	snap_config(s, out);
	snap_view(s, out);
	if (s->published.version)
		snap_published(s, out);
	for (size_t i = 0; i < s->nchanges; i++)
		snap_change(&s->changes[i], out);
	for (size_t i = 0; i < s->nrequests; i++)
		snap_request(&s->requests[i], out);
}

static enum res load_config(struct state *s, const struct msg_config *c,
			    struct err *e)
{
	s->version = c->version;
	if (!c->version)
		return RES_OK;
	s->lists = lst_parse(c->lists.data, c->lists.len, c->version, e);
	return s->lists ? RES_OK : RES_CORRUPT;
}

static void load_change(struct state *s, const struct msg_config *c)
{
	struct state_lists_revision *x = state_add_change(s);

	x->version = c->version;
	memcpy(x->digest, c->digest, ID_LEN);
	memcpy(x->author, c->version_operator, ID_LEN);
	x->accepted_ms = c->version_written_at;
}

static void load_view(struct state *s, const struct msg_answer *a)
{
	s->view_version = a->view_version;
	for (int64_t i = 0; i < a->ngroups; i++) {
		struct group_info *g =
			state_find_or_add_group(s, a->groups[i].name);
		struct term_start *starts = g->term_starts;
		int64_t n = a->groups[i].nterm_starts;

		*g = a->groups[i];
		g->term_starts = starts;
		g->nterm_starts =
			n < GROUP_MAX_TERM_STARTS ? n : GROUP_MAX_TERM_STARTS;
		if (g->nterm_starts)
			memcpy(starts, a->groups[i].term_starts,
			       (size_t)g->nterm_starts * sizeof(*starts));
	}
	for (int64_t i = 0; i < a->nbackends; i++)
		*(struct backend_info *)id_array_insert(
			(void **)&s->backends, &s->nbackends,
			sizeof(*s->backends), a->backends[i].id) =
			a->backends[i];
	for (int64_t i = 0; i < a->nproxies; i++)
		*(struct proxy_info *)id_array_insert(
			(void **)&s->proxies, &s->nproxies, sizeof(*s->proxies),
			a->proxies[i].id) = a->proxies[i];
	for (int64_t i = 0; i < a->nended_logs; i++)
		*(struct ended_log *)id_array_insert(
			(void **)&s->ended_logs, &s->nended_logs,
			sizeof(*s->ended_logs), a->ended_logs[i].id) =
			a->ended_logs[i];
	for (int64_t i = 0; i < a->norders; i++)
		state_merge_orders(s, &a->orders[i]);
}

static void load_result(struct state *s, const struct msg_applied *a)
{
	struct state_request_result *q;

	if (!s->nrequests)
		return;
	q = &s->requests[s->nrequests - 1];
	q->res = (enum res)a->res;
	q->version = a->version;
	memcpy(q->digest, a->digest, ID_LEN);
	memcpy(q->version_author, a->version_operator, ID_LEN);
	q->version_written_ms = a->version_written_at;
	free(q->text);
	q->text = strndup(a->text.data ? a->text.data : "", a->text.len);
}

static enum res load_frame(struct state *s, const struct msg *m, bool first,
			   struct err *e)
{
	struct state_request_result *q;

	switch (m->type) {
	case MSG_CONFIG:
		if (first)
			return load_config(s, &m->u.config, e);
		load_change(s, &m->u.config);
		return RES_OK;
	case MSG_ANSWER:
		load_view(s, &m->u.answer);
		return RES_OK;
	case MSG_PUBLISH:
		state_set_published(s, &m->u.publish);
		return RES_OK;
	case MSG_APPLY:
		q = state_add_request(s);
		memcpy(q->id, m->u.apply.request_id, REQUEST_ID_LEN);
		q->text = strdup("");
		return RES_OK;
	case MSG_APPLIED:
		load_result(s, &m->u.applied);
		return RES_OK;
	default:
		return err_set(e, RES_CORRUPT, "snapshot with a message %s",
			       msg_name(m->type));
	}
}

static enum res state_decode_frames(struct state *s, const struct blob *in,
				    struct err *e)
{
	size_t at = 0;
	enum res r = RES_OK;

	while (at < in->len && !r) {
		uint32_t len;
		struct msg m;

		if (in->len - at < sizeof(len))
			return err_set(e, RES_CORRUPT, "snapshot is cut off");
		memcpy(&len, in->data + at, sizeof(len));
		len = ntohl(len);
		if (len > in->len - at - sizeof(len))
			return err_set(e, RES_CORRUPT, "snapshot is cut off");
		r = msg_decode(&m, in->data + at + sizeof(len), len, e);
		if (r)
			return r;
		r = load_frame(s, &m, at == 0, e);
		msg_free(&m);
		at += sizeof(len) + len;
	}
	return r;
}

enum res state_decode(struct state *s, const struct blob *in, struct err *e)
{
	struct state fresh = {0};
	enum res r = state_decode_frames(&fresh, in, e);

	if (r) {
		state_clear(&fresh);
		return r;
	}
	state_clear(s);
	*s = fresh;
	return RES_OK;
}
