#include "counter.h"

#include <ctype.h>
#include <stdio.h>

#define RES_CODE_LIMIT 100

static uint64_t counters[CNT_MAX];
static uint64_t refusals[RES_CODE_LIMIT];

static const char *const names[] = {
#define X(name) #name,
	CNT_TABLE(X)
#undef X
};

void cnt_add(enum cnt c, uint64_t n)
{
	counters[c] += n;
}

void cnt_add_refusal(enum res r)
{
	refusals[r]++;
}

uint64_t cnt_refusal_count(enum res r)
{
	return refusals[r];
}

static void cnt_report_refusal(void (*fn)(void *, const char *, uint64_t),
			       void *arg, enum res r)
{
	char name[48];
	int n = snprintf(name, sizeof(name), "refused_%s", res_name(r));

	for (int i = 0; i < n; i++)
		name[i] = (char)tolower((unsigned char)name[i]);
	fn(arg, name, refusals[r]);
}

void cnt_each(void (*fn)(void *arg, const char *name, uint64_t value),
	      void *arg)
{
	static const enum res codes[] = {
#define X(name, num, state, ran, text) RES_##name,
		RES_TABLE(X)
#undef X
	};

	for (int c = 0; c < CNT_MAX; c++)
		fn(arg, names[c], counters[c]);
	for (size_t i = 0; i < sizeof(codes) / sizeof(codes[0]); i++)
		if (codes[i] != RES_OK)
			cnt_report_refusal(fn, arg, codes[i]);
}
