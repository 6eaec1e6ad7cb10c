#include "backend.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum {
	PULL_WAIT_MS = 20, /* until a pull without new entries is answered */
	PULL_CHECK_MS = 5, /* how often waiting functions are checked */
	PULL_ENTRIES = 1000 /* log entries in one answer */
};

static struct fn_wait *waiting;
static ev_timer check;

static const char *const status_names[] = {
	"incarnation", "role",	 "fence_term",	    "log_term", "held",
	"applied",     "age_ms", "majority_age_ms", "slots",	"connections"};
static const char *const promote_names[] = {"marjoramlatch_promote"};
static const char *const follow_names[] = {"marjoramlatch_follow"};
static const char *const await_names[] = {"marjoramlatch_await"};
static const char *const cancel_names[] = {"pg_cancel_backend"};
static const char *const pull_names[] = {"position", "term", "sql"};

int fn_columns(enum fn fn, const char *const **names)
{
	switch (fn) {
	case FN_STATUS:
	case FN_FENCE:
		*names = status_names;
		return 10;
	case FN_PROMOTE:
		*names = promote_names;
		return 1;
	case FN_FOLLOW:
		*names = follow_names;
		return 1;
	case FN_AWAIT:
		*names = await_names;
		return 1;
	case FN_CANCEL:
		*names = cancel_names;
		return 1;
	case FN_PULL:
		*names = pull_names;
		return 3;
	}
	return 0;
}

static void put_number(struct buf *out, int64_t v)
{
	char text[24];
	int n = snprintf(text, sizeof(text), "%lld", (long long)v);

	pgw_put_value(out, text, n);
}

static void put_status(struct buf *out)
{
	const struct member *m = &be.m;
	const char *role = m->role == ROLE_PRIMARY ? "primary" : "replica";
	size_t mark = pgw_begin_data_row(out, 10);

	put_number(out, m->incarnation);
	pgw_put_value(out, role, (int32_t)strlen(role));
	put_number(out, m->fence);
	put_number(out, m->log_term);
	put_number(out, m->last_pos);
	put_number(out, m->applied_pos);
	put_number(out, repl_data_age());
	put_number(out, repl_majority_age());
	put_number(out, be.opt.slots);
	put_number(out, be.opt.connections);
	pgw_end_data_row(out, mark);
}

static void put_number_row(struct buf *out, int64_t v)
{
	size_t mark = pgw_begin_data_row(out, 1);

	put_number(out, v);
	pgw_end_data_row(out, mark);
}

static void put_entry(struct buf *out, int64_t pos, int64_t term,
		      const char *sql)
{
	size_t mark = pgw_begin_data_row(out, 3);

	put_number(out, pos);
	put_number(out, term);
	pgw_put_value(out, sql, (int32_t)strlen(sql));
	pgw_end_data_row(out, mark);
}

/* First row of an answer to a pull: the last position of the log, or -1 if the
 * replica must rebuild; the term; and the position where the term started. */
static void put_pull_header(struct buf *out, int64_t end)
{
	char start[24];

	snprintf(start, sizeof(start), "%lld", (long long)be.m.term_start);
	put_entry(out, end, be.m.term, start);
}

static int64_t int_arg(const struct call *c, int i)
{
	return i < c->nargs ? strtoll(c->args[i], NULL, 10) : 0;
}

static void start_wait(struct fn_wait *w, enum fn fn, int64_t pos)
{
	w->fn = fn;
	w->pos = pos;
	w->due = clk_now() + PULL_WAIT_MS;
	w->active = true;
	w->next = waiting;
	waiting = w;
	ev_timer_again(be.loop, &check);
}

static bool is_ready(const struct fn_wait *w)
{
	if (be.m.role != ROLE_PRIMARY)
		return true;
	if (w->fn == FN_AWAIT)
		return repl_majority_position() >= w->pos;
	return repl_visible_position() > w->pos || clk_now() >= w->due;
}

/*
 * marjoramlatch_pull(id, last_pos, last term, log term, fence, term): the
 * replica's state, where last_pos is the position of its last log entry. The
 * call also acknowledges the entries up to last_pos. If the entry at last_pos
 * has another term here, the logs have diverged and the replica must rebuild.
 */
static enum fn_result call_pull(const struct call *c, struct buf *out,
				int64_t *rows, struct fn_wait *w,
				struct sqlerr *e)
{
	int64_t last_pos = int_arg(c, 1);
	int64_t log_term = int_arg(c, 3);

	if (int_arg(c, 4) > be.m.term)
		repl_fence(int_arg(c, 4));
	if (be.m.role != ROLE_PRIMARY || int_arg(c, 5) != be.m.term) {
		sql_fail(e, "25006", "not the primary of that term");
		return FN_FAILED;
	}
	if (store_entry_term(last_pos) != int_arg(c, 2)) {
		put_pull_header(out, -1);
		*rows = 1;
		return FN_DONE;
	}
	repl_acknowledge(c->args[0], last_pos, log_term);
	start_wait(w, FN_PULL, last_pos);
	/* A replica whose log has reached the start of this term is answered at
	 * once. Its acknowledgements count towards a majority only after it has
	 * learned the term's start and recorded the term. */
	if (log_term < be.m.term && last_pos >= be.m.term_start)
		w->due = 0;
	if (!is_ready(w))
		return FN_WAIT;
	fn_cancel(w);
	*rows = fn_finish(w, out);
	return FN_DONE;
}

static enum fn_result call_await(int64_t commit_pos, struct buf *out,
				 int64_t *rows, struct fn_wait *w,
				 struct sqlerr *e)
{
	if (be.m.role != ROLE_PRIMARY) {
		sql_fail(e, "25006", "this member is not the primary");
		return FN_FAILED;
	}
	start_wait(w, FN_AWAIT, commit_pos);
	if (!is_ready(w))
		return FN_WAIT;
	fn_cancel(w);
	*rows = fn_finish(w, out);
	return FN_DONE;
}

enum fn_result fn_call(const struct call *c, int64_t commit_pos,
		       struct buf *out, int64_t *rows, struct fn_wait *w,
		       struct sqlerr *e)
{
	const char *ok = "ok";
	const char *canceled;

	*rows = 1;
	switch (c->fn) {
	case FN_FENCE:
		repl_fence(int_arg(c, 0));
		put_status(out);
		return FN_DONE;
	case FN_STATUS:
		put_status(out);
		return FN_DONE;
	case FN_PROMOTE:
		if (!repl_promote(int_arg(c, 0), e))
			return FN_FAILED;
		put_number_row(out, be.m.term_start);
		return FN_DONE;
	case FN_FOLLOW:
		if (!repl_follow(int_arg(c, 0), c->nargs > 1 ? c->args[1] : "",
				 e))
			return FN_FAILED;
		pgw_put_text_data_row(out, &ok, 1);
		return FN_DONE;
	case FN_CANCEL:
		canceled = conn_cancel((int32_t)int_arg(c, 0)) ? "t" : "f";
		pgw_put_text_data_row(out, &canceled, 1);
		return FN_DONE;
	case FN_AWAIT:
		return call_await(commit_pos, out, rows, w, e);
	case FN_PULL:
		return call_pull(c, out, rows, w, e);
	}
	return FN_FAILED;
}

struct sending {
	struct buf *out;
	int64_t rows;
};

static void send_entry(void *arg, int64_t pos, int64_t term, const char *sql)
{
	struct sending *s = arg;

	put_entry(s->out, pos, term, sql);
	s->rows++;
}

int64_t fn_finish(struct fn_wait *w, struct buf *out)
{
	struct sending s = {.out = out, .rows = 1};
	int64_t upto = repl_visible_position();

	if (w->fn == FN_AWAIT) {
		put_number_row(out, w->pos);
		return 1;
	}
	if (upto > w->pos + PULL_ENTRIES)
		upto = w->pos + PULL_ENTRIES;
	put_pull_header(out, be.m.last_pos);
	store_entries(w->pos, upto, send_entry, &s);
	return s.rows;
}

void fn_cancel(struct fn_wait *w)
{
	struct fn_wait **p;

	if (!w->active)
		return;
	w->active = false;
	for (p = &waiting; *p; p = &(*p)->next)
		if (*p == w) {
			*p = w->next;
			break;
		}
	if (!waiting)
		ev_timer_stop(be.loop, &check);
}

static struct fn_wait *next_ready(void)
{
	struct fn_wait *w;

	for (w = waiting; w; w = w->next)
		if (is_ready(w))
			return w;
	return NULL;
}

void fn_complete_ready(void)
{
	struct fn_wait *w;
	struct sqlerr e = {0};

	while ((w = next_ready())) {
		fn_cancel(w);
		if (be.m.role == ROLE_PRIMARY) {
			w->done(w->arg, NULL);
			continue;
		}
		sql_fail(&e, "25006", "the primary was replaced");
		w->done(w->arg, &e);
	}
}

static void on_check(struct ev_loop *loop, ev_timer *t, int events)
{
	(void)loop;
	(void)t;
	(void)events;
	fn_complete_ready();
}

void fn_init(void)
{
	ev_init(&check, on_check);
	check.repeat = PULL_CHECK_MS / 1000.0;
}
