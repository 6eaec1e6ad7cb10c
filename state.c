#include "state_priv.h"

#include "id_array.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct state *state_new(void)
{
	struct state *s = calloc(1, sizeof(*s));

	if (!s)
		abort();
	return s;
}

void state_clear(struct state *s)
{
	lst_unref(s->lists);
	for (size_t i = 0; i < s->nrequests; i++)
		free(s->requests[i].text);
	for (size_t i = 0; i < s->ngroups; i++)
		free(s->groups[i].term_starts);
	buf_free(&s->published.text);
	buf_free(&s->published.routes);
	free(s->requests);
	free(s->changes);
	free(s->groups);
	free(s->backends);
	free(s->proxies);
	free(s->ended_logs);
	free(s->orders);
	free(s->delta_groups);
	free(s->delta_backends);
	free(s->delta_proxies);
	memset(s, 0, sizeof(*s));
}

void state_free(struct state *s)
{
	if (!s)
		return;
	state_clear(s);
	free(s);
}

void *state_grow_array(void *list, size_t n, size_t size)
{
	/* The capacity is the next power of two: doubles if n is one. */
	if (n & (n - 1))
		return list;
	list = realloc(list, (n ? 2 * n : 1) * size);
	if (!list)
		abort();
	return list;
}

void state_cmd_apply(struct buf *out, const struct msg_apply *m, int64_t wall)
{
	struct msg cmd = {.type = MSG_APPLY, .u.apply = *m};

	cmd.u.apply.seq = wall;
	msg_encode(&cmd, out);
}

/* Records are encoded in the log as they are sent to proxies, in an ANSWER. */
static void state_cmd_records(struct buf *out, const struct msg_answer *records)
{
	struct msg cmd = {.type = MSG_ANSWER, .u.answer = *records};

	msg_encode(&cmd, out);
}

void state_cmd_group(struct buf *out, const struct group_info *g)
{
	struct group_info copy = *g;

	state_cmd_records(out,
			  &(struct msg_answer){.groups = &copy, .ngroups = 1});
}

void state_cmd_backend(struct buf *out, const struct backend_info *b)
{
	struct backend_info copy = *b;

	state_cmd_records(
		out, &(struct msg_answer){.backends = &copy, .nbackends = 1});
}

void state_cmd_proxy(struct buf *out, const struct proxy_info *p)
{
	struct proxy_info copy = *p;

	state_cmd_records(
		out, &(struct msg_answer){.proxies = &copy, .nproxies = 1});
}

void state_cmd_ended_log(struct buf *out, const struct ended_log *l)
{
	struct ended_log copy = *l;

	state_cmd_records(out, &(struct msg_answer){.ended_logs = &copy,
						    .nended_logs = 1});
}

void state_cmd_orders(struct buf *out, const struct group_orders *o)
{
	struct group_orders copy = *o;

	state_cmd_records(out,
			  &(struct msg_answer){.orders = &copy, .norders = 1});
}

void state_cmd_publish(struct buf *out, const struct msg_publish *p)
{
	struct msg cmd = {.type = MSG_PUBLISH, .u.publish = *p};

	msg_encode(&cmd, out);
}

const struct state_request_result *state_find_request_result(
	const struct state *s, const char *id)
{
	for (size_t i = s->nrequests; i > 0; i--)
		if (!strcmp(s->requests[i - 1].id, id))
			return &s->requests[i - 1];
	return NULL;
}

struct state_request_result *state_add_request(struct state *s)
{
	if (s->nrequests == STATE_MAX_REQUESTS) {
		free(s->requests[0].text);
		memmove(s->requests, s->requests + 1,
			(STATE_MAX_REQUESTS - 1) * sizeof(*s->requests));
		s->nrequests--;
	} else {
		s->requests = state_grow_array(s->requests, s->nrequests,
					       sizeof(*s->requests));
	}
	memset(&s->requests[s->nrequests], 0, sizeof(*s->requests));
	return &s->requests[s->nrequests++];
}

struct state_lists_revision *state_add_change(struct state *s)
{
	if (s->nchanges == STATE_MAX_REVISIONS) {
		memmove(s->changes, s->changes + 1,
			(STATE_MAX_REVISIONS - 1) * sizeof(*s->changes));
		s->nchanges--;
	} else {
		s->changes = state_grow_array(s->changes, s->nchanges,
					      sizeof(*s->changes));
	}
	memset(&s->changes[s->nchanges], 0, sizeof(*s->changes));
	return &s->changes[s->nchanges++];
}

static enum res state_conflict(const struct state *s, const struct lists *l,
			       struct buf *text)
{
	buf_addf(text, "version %lld is in force; entries that differ:\n",
		 (long long)s->version);
	if (s->lists)
		lst_append_diff(s->lists, l, text);
	return RES_CONFLICT;
}

static void state_accept_config(struct state *s, const struct msg_apply *m,
				struct lists *l)
{
	struct state_lists_revision *c = state_add_change(s);

	lst_unref(s->lists);
	s->lists = lst_ref(l);
	s->version = l->version;
	c->version = s->version;
	snprintf(c->digest, ID_LEN, "%s", l->digest);
	snprintf(c->author, ID_LEN, "%s", m->operator_name);
	c->accepted_ms = m->seq;
}

/* Accepts or refuses an operator's lists; text gets the reason of a refusal. */
static enum res state_process_config(struct state *s, const struct msg_apply *m,
				     struct buf *text)
{
	struct err e = ERR_INIT;
	struct lists *l =
		lst_parse(m->lists.data, m->lists.len, s->version + 1, &e);
	enum res r = RES_OK;

	if (!l) {
		buf_addstr(text, e.text);
		return RES_BAD_LIST;
	}
	if (m->base_version != s->version)
		r = state_conflict(s, l, text);
	else
		state_accept_config(s, m, l);
	lst_unref(l);
	return r;
}

static const struct state_request_result *state_apply_config(
	struct state *s, const struct msg_apply *m)
{
	const struct state_request_result *known =
		state_find_request_result(s, m->request_id);
	struct state_request_result *q;
	struct buf text = BUF_INIT;
	enum res r;

	if (known)
		return known;
	r = state_process_config(s, m, &text);
	q = state_add_request(s);
	snprintf(q->id, sizeof(q->id), "%s", m->request_id);
	q->res = r;
	q->version = s->version;
	if (s->nchanges) {
		const struct state_lists_revision *c =
			&s->changes[s->nchanges - 1];

		memcpy(q->digest, c->digest, ID_LEN);
		memcpy(q->version_author, c->author, ID_LEN);
		q->version_written_ms = c->accepted_ms;
	}
	q->text = strndup(buf_str(&text), STATE_MAX_REFUSAL_BYTES);
	buf_free(&text);
	return q;
}

struct group_info *state_find_or_add_group(struct state *s, const char *name)
{
	struct group_info *g =
		id_array_find(s->groups, s->ngroups, sizeof(*g), name);

	if (g)
		return g;
	g = id_array_insert((void **)&s->groups, &s->ngroups, sizeof(*g), name);
	g->term_starts = calloc(GROUP_MAX_TERM_STARTS, sizeof(*g->term_starts));
	if (!g->term_starts)
		abort();
	return g;
}

static void state_add_start(struct group_info *g, const struct term_start *t)
{
	if (g->nterm_starts == GROUP_MAX_TERM_STARTS) {
		memmove(g->term_starts, g->term_starts + 1,
			(GROUP_MAX_TERM_STARTS - 1) * sizeof(*g->term_starts));
		g->nterm_starts--;
	}
	g->term_starts[g->nterm_starts++] = *t;
}

static void state_merge_group(struct state *s, const struct group_info *in)
{
	struct group_info *g = state_find_or_add_group(s, in->name);

	if (in->changing_primary) {
		if (in->change_term <= g->change_term ||
		    in->change_term <= g->term)
			return;
		g->changing_primary = true;
		g->change_term = in->change_term;
		memcpy(g->candidate, in->candidate, ID_LEN);
		memcpy(g->late_call, in->late_call, ID_LEN);
	} else if (!in->nterm_starts) {
		if (in->term <= g->term || in->term <= g->change_term)
			return;
		g->changing_primary = false;
		g->candidate[0] = '\0';
		memcpy(g->late_call, in->late_call, ID_LEN);
		g->term = in->term;
		g->member_term = in->member_term;
		g->member_term_start = in->member_term_start;
		memcpy(g->primary, in->primary, ID_LEN);
	} else {
		if (!g->changing_primary || in->term != g->change_term ||
		    !in->nterm_starts)
			return;
		g->changing_primary = false;
		g->term = in->term;
		memcpy(g->primary, in->primary, ID_LEN);
		state_add_start(g, &in->term_starts[0]);
	}
	g->version = ++s->view_version;
}

bool state_same_backend(const struct backend_info *a,
			const struct backend_info *b)
{
	return !strcmp(a->group, b->group) && !strcmp(a->addr, b->addr) &&
	       !strcmp(a->zone, b->zone) && a->incarnation == b->incarnation &&
	       a->slots == b->slots &&
	       a->connection_limit == b->connection_limit &&
	       a->leaving == b->leaving &&
	       a->announcements_stopped == b->announcements_stopped &&
	       a->announced_primary == b->announced_primary;
}

static void state_merge_backend(struct state *s, const struct backend_info *in)
{
	struct backend_info *b =
		id_array_find(s->backends, s->nbackends, sizeof(*b), in->id);

	if (!in->addr[0] || (b && state_same_backend(b, in))) {
		if (b && !in->addr[0]) {
			state_note_end(s, b, in);
			id_array_remove(s->backends, &s->nbackends, sizeof(*b),
					b);
			s->view_version++;
		}
		return;
	}
	state_note_successor(s, in);
	if (b)
		state_note_restart(s, b, in);
	else
		b = id_array_insert((void **)&s->backends, &s->nbackends,
				    sizeof(*b), in->id);
	*b = *in;
	b->version = ++s->view_version;
}

bool state_same_proxy(const struct proxy_info *a, const struct proxy_info *b)
{
	return !strcmp(a->addr, b->addr) && !strcmp(a->zone, b->zone) &&
	       a->alive == b->alive;
}

static void state_merge_proxy(struct state *s, const struct proxy_info *in)
{
	struct proxy_info *p =
		id_array_find(s->proxies, s->nproxies, sizeof(*p), in->id);

	if (!in->addr[0] || (p && state_same_proxy(p, in))) {
		if (p && !in->addr[0]) {
			id_array_remove(s->proxies, &s->nproxies, sizeof(*p),
					p);
			s->view_version++;
		}
		return;
	}
	if (!p)
		p = id_array_insert((void **)&s->proxies, &s->nproxies,
				    sizeof(*p), in->id);
	*p = *in;
	p->version = ++s->view_version;
}

static void state_merge(struct state *s, const struct msg_answer *a)
{
	for (int64_t i = 0; i < a->ngroups; i++)
		state_merge_group(s, &a->groups[i]);
	for (int64_t i = 0; i < a->nbackends; i++)
		state_merge_backend(s, &a->backends[i]);
	for (int64_t i = 0; i < a->nproxies; i++)
		state_merge_proxy(s, &a->proxies[i]);
	for (int64_t i = 0; i < a->nended_logs; i++)
		state_merge_ended_log(s, &a->ended_logs[i]);
	for (int64_t i = 0; i < a->norders; i++)
		state_merge_orders(s, &a->orders[i]);
}

void state_set_published(struct state *s, const struct msg_publish *m)
{
	struct state_published_config *d = &s->published;

	if (m->version <= d->version)
		return;
	buf_free(&d->text);
	buf_free(&d->routes);
	buf_add(&d->text, m->config_text.data, m->config_text.len);
	buf_add(&d->routes, m->packed_routes.data, m->packed_routes.len);
	d->routes_size = m->unpacked_routes_size;
	d->version = m->version;
}

enum res state_apply(struct state *s, const struct blob *cmd,
		     const struct state_request_result **done, struct err *e)
{
	struct msg m;
	enum res r = msg_decode(&m, cmd->data, cmd->len, e);

	*done = NULL;
	if (r)
		return r;
	if (m.type == MSG_APPLY)
		*done = state_apply_config(s, &m.u.apply);
	else if (m.type == MSG_ANSWER)
		state_merge(s, &m.u.answer);
	else if (m.type == MSG_PUBLISH)
		state_set_published(s, &m.u.publish);
	else
		r = err_set(e, RES_BAD_MESSAGE, "command of unknown type");
	msg_free(&m);
	return r;
}

const struct state_published_config *state_published(const struct state *s)
{
	return &s->published;
}

int64_t state_lists_version(const struct state *s)
{
	return s->version;
}

struct lists *state_lists(const struct state *s)
{
	return s->lists;
}

const struct state_lists_revision *state_lists_history(const struct state *s,
						       size_t *n)
{
	*n = s->nchanges;
	return s->changes;
}

int64_t state_view_version(const struct state *s)
{
	return s->view_version;
}

const struct group_info *state_groups(const struct state *s, size_t *n)
{
	*n = s->ngroups;
	return s->groups;
}

const struct backend_info *state_backends(const struct state *s, size_t *n)
{
	*n = s->nbackends;
	return s->backends;
}

const struct proxy_info *state_proxies(const struct state *s, size_t *n)
{
	*n = s->nproxies;
	return s->proxies;
}

const struct group_info *state_group(const struct state *s, const char *name)
{
	return id_array_find(s->groups, s->ngroups, sizeof(*s->groups), name);
}

const struct backend_info *state_backend(const struct state *s, const char *id)
{
	return id_array_find(s->backends, s->nbackends, sizeof(*s->backends),
			     id);
}

const struct proxy_info *state_proxy(const struct state *s, const char *id)
{
	return id_array_find(s->proxies, s->nproxies, sizeof(*s->proxies), id);
}

const struct ended_log *state_ended_logs(const struct state *s, size_t *n)
{
	*n = s->nended_logs;
	return s->ended_logs;
}

static void *state_resize_delta(void *old, size_t n, size_t size)
{
	void *p = realloc(old, (n ? n : 1) * size);

	if (!p)
		abort();
	return p;
}

void state_fill_newer_records(struct state *s, int64_t since,
			      struct msg_answer *a)
{
	a->view_version = s->view_version;
	if (since >= s->view_version)
		return;
	s->delta_groups = state_resize_delta(s->delta_groups, s->ngroups,
					     sizeof(*s->groups));
	s->delta_backends = state_resize_delta(s->delta_backends, s->nbackends,
					       sizeof(*s->backends));
	s->delta_proxies = state_resize_delta(s->delta_proxies, s->nproxies,
					      sizeof(*s->proxies));
	a->groups = s->delta_groups;
	a->backends = s->delta_backends;
	a->proxies = s->delta_proxies;
	for (size_t i = 0; i < s->ngroups; i++)
		if (s->groups[i].version > since)
			a->groups[a->ngroups++] = s->groups[i];
	for (size_t i = 0; i < s->nbackends; i++)
		if (s->backends[i].version > since)
			a->backends[a->nbackends++] = s->backends[i];
	for (size_t i = 0; i < s->nproxies; i++)
		if (s->proxies[i].version > since)
			a->proxies[a->nproxies++] = s->proxies[i];
}
