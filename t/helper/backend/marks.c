#include "marks.h"

static const struct mark *at(const struct marks *m, unsigned i)
{
	return &m->v[(m->first + i) % MARKS_MAX];
}

static void drop(struct marks *m)
{
	m->first = (m->first + 1) % MARKS_MAX;
	m->n--;
}

void marks_add(struct marks *m, int64_t pos, clk_ms time)
{
	if (m->n < MARKS_MAX)
		m->n++;
	m->v[(m->first + m->n - 1) % MARKS_MAX] = (struct mark){
		.pos = pos,
		.at = time,
	};
}

void marks_clear(struct marks *m)
{
	m->n = 0;
}

void marks_pop_until_time(struct marks *m, clk_ms upto, int64_t *pos)
{
	while (m->n && at(m, 0)->at <= upto) {
		*pos = at(m, 0)->pos;
		drop(m);
	}
}

void marks_pop_until_pos(struct marks *m, int64_t pos, clk_ms *time)
{
	while (m->n && at(m, 0)->pos <= pos) {
		*time = at(m, 0)->at;
		drop(m);
	}
}

clk_ms marks_first_time(const struct marks *m)
{
	return m->n ? at(m, 0)->at : 0;
}

clk_ms marks_last_time(const struct marks *m)
{
	return m->n ? at(m, m->n - 1)->at : 0;
}
