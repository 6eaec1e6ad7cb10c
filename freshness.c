#include "freshness.h"

static void frs_add(struct freshness_samples *f,
		    const struct freshness_sample *s)
{
	struct freshness_sample *last = f->n ? &f->samples[f->n - 1] : NULL;

	if (pos_is_none(s->pos))
		return;
	if (last && s->sent < last->sent)
		return;
	/* Within the spacing the last sample is overwritten, so that it is
	 * always the most recent position known. */
	if (f->n > 1 && s->sent - f->samples[f->n - 2].sent < FRS_SPACING_MS) {
		*last = *s;
		return;
	}
	if (f->n == FRS_SAMPLES_MAX) {
		memmove(f->samples, f->samples + 1,
			(FRS_SAMPLES_MAX - 1) * sizeof(f->samples[0]));
		f->n--;
	}
	f->samples[f->n++] = *s;
}

void frs_add_sample(struct freshness_samples *f, clk_ms sent, struct pos pos)
{
	frs_add(f, &(struct freshness_sample){.sent = sent, .pos = pos});
}

void frs_add_remote_sample(struct freshness_samples *f, clk_ms sent,
			   struct pos pos)
{
	if (sent > f->newest_remote)
		f->newest_remote = sent;
	frs_add(f, &(struct freshness_sample){
			   .sent = sent, .pos = pos, .remote = true});
}

bool frs_contradicts(const struct freshness_samples *f,
		     const struct freshness_sample *s)
{
	const struct freshness_sample *last =
		f->n ? &f->samples[f->n - 1] : NULL;

	if (!last || s->sent < last->sent)
		return false;
	if (s->remote || last->remote)
		return s->pos.term < last->pos.term;
	return pos_cmp(s->pos, last->pos) < 0;
}

const struct freshness_sample *frs_required_sample(
	const struct freshness_samples *f, clk_ms now, clk_ms max_age)
{
	for (int i = 0; i < f->n; i++)
		if (f->samples[i].sent >= now - max_age)
			return &f->samples[i];
	return NULL;
}
