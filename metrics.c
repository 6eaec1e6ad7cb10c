#include "metrics.h"

#include "counter.h"
#include "hist.h"
#include "http.h"
#include "traffic.h"

#include <inttypes.h>
#include <stdlib.h>

struct metrics {
	struct http_server *server;
	void (*add_lines)(void *arg, struct buf *text);
	void *arg;
};

static void metrics_add_counter(void *arg, const char *name, uint64_t value)
{
	buf_addf(arg, "%s %" PRIu64 "\n", name, value);
}

void metrics_add_histogram(struct buf *text, const char *name,
			   const struct hist *h)
{
	static const double quantiles[] = {0.5, 0.9, 0.99, 0.999};

	buf_addf(text, "%s_count %" PRIu64 "\n", name, hist_count(h));
	for (size_t i = 0; i < sizeof(quantiles) / sizeof(quantiles[0]); i++)
		buf_addf(text, "%s_us{q=\"%g\"} %" PRId64 "\n", name,
			 quantiles[i], hist_quantile(h, quantiles[i]));
	buf_addf(text, "%s_us{q=\"1\"} %" PRId64 "\n", name, hist_max(h));
}

static void metrics_on_request(void *arg, const struct http_request *q)
{
	struct metrics *m = arg;
	struct buf text = BUF_INIT;

	cnt_each(metrics_add_counter, &text);
	trf_print(&text);
	if (m->add_lines)
		m->add_lines(m->arg, &text);
	http_respond(m->server, q->request_number,
		     &(struct http_response){.status = 200,
					     .content_type = "text/plain",
					     .body = buf_data(&text),
					     .body_len = buf_len(&text)});
	buf_free(&text);
}

enum res metrics_serve(struct metrics **out, struct ev_loop *loop,
		       const char *addr,
		       void (*add_lines)(void *arg, struct buf *text),
		       void *arg, struct err *e)
{
	struct metrics *m = calloc(1, sizeof(*m));
	enum res r;

	if (!m)
		abort();
	m->add_lines = add_lines;
	m->arg = arg;
	r = http_serve(&m->server, loop, addr, metrics_on_request, m, e);
	if (r) {
		free(m);
		return r;
	}
	*out = m;
	return RES_OK;
}

void metrics_free(struct metrics *m)
{
	if (!m)
		return;
	http_server_free(m->server);
	free(m);
}
