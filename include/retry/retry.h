#ifndef EGRET_RETRY_RETRY_H
#define EGRET_RETRY_RETRY_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	retry - bounds on repeated calls
 *
 * DESCRIPTION
 *	retry_count_t is the request's one count of retries. A hop lends a part
 *	with each call and takes back what the answer returns; a lost answer
 *	returns nothing. So the retries of one request never exceed the count
 *	minted at the entry, whatever the depth and fan-out.
 *
 *	retry_budget_t caps the retries towards one service to a ratio of its
 *	calls. retry_backoff() is the jittered wait before a retry.
 */

typedef struct retry_count {
	uint32_t left;
} retry_count_t;

/* Takes the half (rounded up) to go with a call. */
uint32_t retry_count_lend(retry_count_t *count);

/* Gives back what an answer returned; at most what was lent. */
void retry_count_return(retry_count_t *count, uint32_t lent, uint32_t returned);

/* Takes one retry; returns false if none is left. */
bool retry_count_take(retry_count_t *count);

typedef struct retry_budget {
	double tokens;
} retry_budget_t;

#define RETRY_BUDGET_TOKENS_MAX 10.0

/* A call was made: adds retries_per_call tokens, up to `most`. */
void retry_budget_deposit(retry_budget_t *budget, double retries_per_call,
			  double tokens_max);

/* One node's part of a budget that all nodes share: tokens that may gather, for a
 * bound of `least` retries in a window beside those that calls earn. */
double retry_budget_tokens_max(uint32_t min_retries, uint32_t nodes);

bool retry_budget_withdraw(retry_budget_t *budget);

/* Full jitter: a wait in [0, base * 2^attempt), from a uniform random value. */
usec_t retry_backoff(uint32_t attempt, double uniform);

#endif
