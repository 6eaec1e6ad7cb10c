#include "retry.h"

#include "counter.h"
#include "rng.h"

struct retry_budget retry_budget_init(void)
{
	return (struct retry_budget){.tokens = RETRY_MAX_TOKENS};
}

void retry_budget_deposit(struct retry_budget *b, int64_t percent)
{
	b->tokens += (double)percent / 100.0;
	if (b->tokens > RETRY_MAX_TOKENS)
		b->tokens = RETRY_MAX_TOKENS;
}

bool retry_budget_withdraw(struct retry_budget *b)
{
	if (b->tokens < 1.0)
		return false;
	b->tokens -= 1.0;
	return true;
}

clk_ms retry_backoff_ms(struct rng *r, int n)
{
	clk_ms bound = RETRY_CAP_MS;

	/* 10 ms * 2^6 already exceeds the cap. */
	if (n < 6 && ((clk_ms)RETRY_BASE_MS << n) < bound)
		bound = (clk_ms)RETRY_BASE_MS << n;
	return (clk_ms)rng_uniform_int(r, (uint64_t)bound + 1);
}

bool retry_allowed(enum res res, enum run_kind kind, int64_t pin,
		   bool repeatable)
{
	if (pin)
		return false;
	switch (res) {
	case RES_UNREACHABLE:
	case RES_BEHIND:
	case RES_NO_PRIMARY:
	case RES_NO_LEASE:
	case RES_NOT_OWNER:
	case RES_LEAVING:
		return true;
	case RES_READ_FAILED:
		return kind == RUN_DESCRIBE || (kind == RUN_READ && repeatable);
	case RES_UNKNOWN:
	case RES_NOT_DURABLE:
		return repeatable && kind == RUN_WRITE;
	default:
		return false;
	}
}

bool retry_takes_no_token(enum res res)
{
	return retry_waits_for_primary(res) || res == RES_BEHIND ||
	       res == RES_UNREACHABLE || res == RES_NOT_OWNER;
}

bool retry_waits_for_primary(enum res res)
{
	return res == RES_NO_PRIMARY || res == RES_NO_LEASE ||
	       res == RES_LEAVING;
}

void retry_count(enum res res)
{
	switch (res) {
	case RES_UNREACHABLE:
		cnt_add(CNT_retry_unreachable, 1);
		break;
	case RES_BEHIND:
		cnt_add(CNT_retry_behind, 1);
		break;
	case RES_NO_PRIMARY:
		cnt_add(CNT_retry_no_primary, 1);
		break;
	case RES_NO_LEASE:
		cnt_add(CNT_retry_no_lease, 1);
		break;
	case RES_NOT_OWNER:
		cnt_add(CNT_retry_not_owner, 1);
		break;
	case RES_LEAVING:
		cnt_add(CNT_retry_leaving, 1);
		break;
	case RES_READ_FAILED:
		cnt_add(CNT_retry_read_failed, 1);
		break;
	default:
		cnt_add(CNT_retry_unknown, 1);
		break;
	}
}
