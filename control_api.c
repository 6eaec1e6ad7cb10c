#include "control_api.h"

#include "counter.h"
#include "http.h"
#include "log.h"
#include "platform/calls.h"
#include "platform/document.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* A request that waits for CTL_ANSWER_REQUEST. */
struct capi_request {
	struct capi_request *next;
	int64_t number; /* given by the HTTP server; also the ticket for ctl */
	enum call call;
	char path[HTTP_PATH_LEN];
	char subject[ID_LEN]; /* backend or version, for the log */
	clk_ms received_at;
};

struct control_api {
	const struct settings *set;
	struct ctl *ctl;
	struct http_server *server;
	struct capi_request *requests;
	void (*on_event)(void *arg);
	void *arg;
};

static const char capi_json[] = "application/json";

static void capi_answer_status(struct control_api *a, int64_t number,
			       int status)
{
	http_respond(a->server, number,
		     &(struct http_response){.status = status});
}

static void capi_refuse(struct control_api *a, const struct http_request *q,
			int status, const char *why)
{
	cnt_add(CNT_bad_input, 1);
	log_warn("control_api",
		 "event=refused method=%s path=%s status=%d bytes=%zu "
		 "reason=\"%s\"",
		 q->method, q->path, status, q->body_len, why);
	http_respond(a->server, q->request_number,
		     &(struct http_response){.status = status,
					     .content_type = "text/plain",
					     .body = why,
					     .body_len = strlen(why)});
}

/*
 * Writes the HTTP address of a control instance to out. All control instances
 * serve HTTP on the same port.
 */
static void capi_addr(const struct control_api *a, const char *id, char *out)
{
	snprintf(out, ADDR_LEN, "%.*s%s", ID_LEN - 1, id,
		 strrchr(a->set->control_api, ':'));
}

static void capi_redirect(struct control_api *a, const struct capi_request *q)
{
	const char *leader = raft_leader(ctl_raft(a->ctl));
	char addr[ADDR_LEN];
	char location[ADDR_LEN + HTTP_PATH_LEN + 8];

	if (!leader[0] || !strcmp(leader, a->set->id)) {
		capi_answer_status(a, q->number, 503);
		return;
	}
	capi_addr(a, leader, addr);
	snprintf(location, sizeof(location), "http://%s%s", addr, q->path);
	http_respond(
		a->server, q->number,
		&(struct http_response){.status = 307, .location = location});
}

static void capi_answer(struct control_api *a, const struct capi_request *q)
{
	const struct state_published_config *doc =
		state_published(ctl_state(a->ctl));
	struct http_response ok = {.status = 200, .content_type = capi_json};
	struct buf body = BUF_INIT;
	char addr[ADDR_LEN];

	switch (q->call) {
	case CALL_GET_CONFIG:
		ok.body = buf_data(&doc->text);
		ok.body_len = buf_len(&doc->text);
		if (!doc->version)
			ok = (struct http_response){.status = 503};
		break;
	case CALL_PUT_BACKEND:
		capi_addr(a, a->set->id, addr);
		call_put_announce_reply(&body, addr);
		ok.body = buf_data(&body);
		ok.body_len = buf_len(&body);
		break;
	default:
		ok.content_type = NULL;
		break;
	}
	http_respond(a->server, q->number, &ok);
	buf_free(&body);
}

void capi_finish_request(struct control_api *a, int64_t ticket, enum res r)
{
	struct capi_request **p = &a->requests;
	struct capi_request *q;

	while (*p && (*p)->number != ticket)
		p = &(*p)->next;
	q = *p;
	if (!q)
		return;
	*p = q->next;
	/*
	 * Successful and redirected announcements are not logged: a thousand
	 * backends may be redirected to a new leader at once.
	 */
	if (q->call != CALL_PUT_BACKEND || (r && r != RES_NOT_LEADER))
		log_info("control_api",
			 "event=answered call=%d what=%s result=%s ms=%lld "
			 "held=%lld leader=%s",
			 q->call, q->subject, res_name(r),
			 (long long)(clk_now() - q->received_at),
			 (long long)state_published(ctl_state(a->ctl))->version,
			 raft_leader(ctl_raft(a->ctl)));
	if (r == RES_OK)
		capi_answer(a, q);
	else if (r == RES_NOT_LEADER)
		capi_redirect(a, q);
	else if (r == RES_BAD_LIST)
		capi_answer_status(a, q->number, 400);
	else
		capi_answer_status(a, q->number, 503);
	free(q);
}

static struct capi_request *capi_add_request(struct control_api *a,
					     const struct http_request *q,
					     enum call call)
{
	struct capi_request *r = calloc(1, sizeof(*r));

	if (!r)
		abort();
	r->number = q->request_number;
	r->call = call;
	r->received_at = clk_now();
	memcpy(r->path, q->path, sizeof(r->path));
	r->next = a->requests;
	a->requests = r;
	return r;
}

static void capi_publish(struct control_api *a, const struct http_request *q)
{
	struct err e = ERR_INIT;
	struct route_table *r =
		doc_parse_configuration(q->body, q->body_len, a->set->key, &e);
	struct msg_publish p = {.config_text = {q->body, q->body_len}};
	struct buf routes = BUF_INIT;

	if (!r) {
		capi_refuse(a, q, 400, e.text);
		return;
	}
	p.version = r->version;
	rt_encode(r, &routes, &p.unpacked_routes_size);
	p.packed_routes = blob_from_buf(&routes);
	rt_unref(r);
	snprintf(capi_add_request(a, q, CALL_PUT_CONFIG)->subject, ID_LEN,
		 "%lld", (long long)p.version);
	ctl_publish(a->ctl, q->request_number, &p, clk_now());
	buf_free(&routes);
}

static void capi_announce(struct control_api *a, const struct http_request *q,
			  const char *id)
{
	struct announcement n;
	struct err e = ERR_INIT;
	struct capi_request *request;

	if (doc_parse_announcement(&n, id, q->body, q->body_len, &e) ||
	    settings_check_peer_addr(n.info.addr, "addr", &e)) {
		capi_refuse(a, q, 400, e.text);
		return;
	}
	request = capi_add_request(a, q, CALL_PUT_BACKEND);
	snprintf(request->subject, ID_LEN, "%s", id);
	ctl_announce(a->ctl, q->request_number, &n.info, n.sequence, clk_wall(),
		     clk_now());
}

static void capi_on_request(void *arg, const struct http_request *q)
{
	struct control_api *a = arg;
	char id[ID_LEN] = "";
	enum call call = call_identify(q, id, sizeof(id));

	switch (call) {
	case CALL_PUT_CONFIG:
		capi_publish(a, q);
		break;
	case CALL_GET_CONFIG:
		capi_add_request(a, q, call);
		ctl_confirm_leadership(a->ctl, q->request_number, clk_now());
		break;
	case CALL_PUT_BACKEND:
		capi_announce(a, q, id);
		break;
	case CALL_DELETE_BACKEND:
		snprintf(capi_add_request(a, q, call)->subject, ID_LEN, "%s",
			 id);
		ctl_remove_backend(a->ctl, q->request_number, id, clk_now());
		break;
	case CALL_GET_READY:
	case CALL_UNKNOWN:
		capi_refuse(a, q, 404, "no such call");
		break;
	}
	a->on_event(a->arg);
}

enum res capi_new(struct control_api **out, struct ev_loop *loop,
		  const struct settings *set, struct ctl *ctl,
		  void (*on_event)(void *arg), void *arg, struct err *e)
{
	struct control_api *a = calloc(1, sizeof(*a));
	enum res r;

	if (!a)
		abort();
	a->set = set;
	a->ctl = ctl;
	a->on_event = on_event;
	a->arg = arg;
	r = http_serve(&a->server, loop, set->control_api, capi_on_request, a,
		       e);
	if (r) {
		free(a);
		return r;
	}
	*out = a;
	return RES_OK;
}

void capi_free(struct control_api *a)
{
	if (!a)
		return;
	http_server_free(a->server);
	while (a->requests) {
		struct capi_request *q = a->requests;

		a->requests = q->next;
		free(q);
	}
	free(a);
}
