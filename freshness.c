#include "freshness.h"

void frs_add_sample(struct freshness_samples *f,
		    const struct freshness_sample *s)
{
	struct freshness_sample *last = f->n ? &f->samples[f->n - 1] : NULL;

	if (s->remote && s->sent > f->newest_remote)
		f->newest_remote = s->sent;
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

bool frs_contradicts(const struct freshness_samples *f,
		     const struct freshness_sample *s)
{
	const struct freshness_sample *last =
		f->n ? &f->samples[f->n - 1] : NULL;

	return last && s->sent >= last->received &&
	       pos_cmp(s->pos, last->pos) < 0;
}

const struct freshness_sample *frs_required_sample(
	const struct freshness_samples *f, clk_ms now, clk_ms max_age)
{
	for (int i = 0; i < f->n; i++)
		if (f->samples[i].sent >= now - max_age)
			return &f->samples[i];
	return NULL;
}
