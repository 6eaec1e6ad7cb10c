#include "freshness.h"

void frs_add_sample(struct freshness_samples *f, clk_ms sent, struct pos pos)
{
	struct freshness_sample *last = f->n ? &f->samples[f->n - 1] : NULL;

	if (pos_is_none(pos))
		return;
	if (last && sent < last->sent)
		return;
	/* Within the spacing the last sample is overwritten, so that it is
	 * always the most recent position known. */
	if (f->n > 1 && sent - f->samples[f->n - 2].sent < FRS_SPACING_MS) {
		*last = (struct freshness_sample){.sent = sent, .pos = pos};
		return;
	}
	if (f->n == FRS_SAMPLES_MAX) {
		memmove(f->samples, f->samples + 1,
			(FRS_SAMPLES_MAX - 1) * sizeof(f->samples[0]));
		f->n--;
	}
	f->samples[f->n++] =
		(struct freshness_sample){.sent = sent, .pos = pos};
}

void frs_add_remote_sample(struct freshness_samples *f, clk_ms sent,
			   struct pos pos)
{
	if (sent > f->newest_remote)
		f->newest_remote = sent;
	frs_add_sample(f, sent, pos);
}

bool frs_required_position(const struct freshness_samples *f, clk_ms now,
			   clk_ms max_age, struct pos *out)
{
	for (int i = 0; i < f->n; i++) {
		if (f->samples[i].sent < now - max_age)
			continue;
		*out = f->samples[i].pos;
		return true;
	}
	return false;
}
