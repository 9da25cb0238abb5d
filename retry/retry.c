#include "retry/retry.h"

#include <glib.h>

/* Part of the shared bound that nodes use: an instance counts arrivals in sliding
 * windows, and a repeated request repeats its calls. */
#define BUDGET_SHARE 0.5
#define BACKOFF_BASE (2 * USEC_PER_MSEC)
#define BACKOFF_DOUBLINGS_MAX 6

uint32_t retry_lend(retry_count_t *count)
{
	uint32_t lent = (count->left + 1) / 2;

	count->left -= lent;
	return lent;
}

void retry_return(retry_count_t *count, uint32_t lent, uint32_t returned)
{
	count->left += MIN(lent, returned);
}

bool retry_take(retry_count_t *count)
{
	if (count->left == 0)
		return false;
	count->left--;
	return true;
}

void retry_ratio_call(retry_ratio_t *ratio, double retries_per_call, double most)
{
	ratio->tokens = MIN(ratio->tokens + retries_per_call, most);
}

double retry_tokens_part(uint32_t least, uint32_t nodes)
{
	return MAX(BUDGET_SHARE * least / MAX(nodes, 1), 1.0);
}

bool retry_ratio_take(retry_ratio_t *ratio)
{
	if (ratio->tokens < 1.0)
		return false;
	ratio->tokens -= 1.0;
	return true;
}

usec_t retry_backoff(uint32_t attempt, double uniform)
{
	usec_t span = BACKOFF_BASE << MIN(attempt, BACKOFF_DOUBLINGS_MAX);

	return (usec_t)(uniform * (double)span);
}
