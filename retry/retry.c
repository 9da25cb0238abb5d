#include "retry/retry.h"

#include <glib.h>

/* The part of min_retries that the nodes together may accumulate as tokens. The other
 * half is a margin: min_retries bounds the retries that arrive at an instance in any
 * window, wherever the window starts, and a retried request makes its outbound calls
 * again. */
#define BUDGET_USED_RATIO 0.5
#define BACKOFF_BASE (2 * USEC_PER_MSEC)
#define BACKOFF_DOUBLINGS_MAX 6

uint32_t retry_count_lend(retry_count_t *count)
{
	uint32_t lent = (count->left + 1) / 2;

	count->left -= lent;
	return lent;
}

void retry_count_return(retry_count_t *count, uint32_t lent, uint32_t returned)
{
	count->left += MIN(lent, returned);
}

bool retry_count_take(retry_count_t *count)
{
	if (count->left == 0)
		return false;
	count->left--;
	return true;
}

void retry_budget_deposit(retry_budget_t *budget, double retries_per_call,
			  double tokens_max)
{
	budget->tokens = MIN(budget->tokens + retries_per_call, tokens_max);
}

double retry_budget_tokens_max(uint32_t min_retries, uint32_t nodes)
{
	return MAX(BUDGET_USED_RATIO * min_retries / MAX(nodes, 1), 1.0);
}

bool retry_budget_withdraw(retry_budget_t *budget)
{
	if (budget->tokens < 1.0)
		return false;
	budget->tokens -= 1.0;
	return true;
}

usec_t retry_backoff(uint32_t attempt, double uniform)
{
	usec_t span = BACKOFF_BASE << MIN(attempt, BACKOFF_DOUBLINGS_MAX);

	return (usec_t)(uniform * (double)span);
}
