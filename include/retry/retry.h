#ifndef EGRET_RETRY_RETRY_H
#define EGRET_RETRY_RETRY_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	retry - limits on retried calls
 *
 * DESCRIPTION
 *	retry_count_t is the number of retries that a request has left. A node
 *	passes a part of it on with each call and adds back what the reply
 *	returns; a lost reply returns nothing. The retries of one request
 *	therefore never exceed the count set at the entry, whatever the depth and
 *	fan-out of its calls.
 *
 *	retry_budget_t limits the retries to one service to a ratio of the calls
 *	to it. retry_backoff() is the jittered wait before a retry.
 *
 * THREADS
 *	None of its own; the owner serializes the calls.
 */

typedef struct retry_count {
	uint32_t left;
} retry_count_t;

/* Takes half of the retries left, rounded up, to pass on with a call. */
uint32_t retry_count_lend(retry_count_t *count);

/* Adds back the retries that a reply returned, at most as many as were lent. */
void retry_count_return(retry_count_t *count, uint32_t lent, uint32_t returned);

/* Takes one retry; returns false if none is left. */
bool retry_count_take(retry_count_t *count);

typedef struct retry_budget {
	double tokens;
} retry_budget_t;

#define RETRY_BUDGET_TOKENS_MAX 10.0

/* Adds the retries that one call earns, up to tokens_max in all. */
void retry_budget_deposit(retry_budget_t *budget, double retries_per_call,
			  double tokens_max);

/* The most tokens that one node may accumulate, at least 1. All `nodes` nodes together
 * may make at most min_retries retries in a window in addition to those that calls earn.
 */
double retry_budget_tokens_max(uint32_t min_retries, uint32_t nodes);

/* Takes the token for one retry; returns false if there is less than one. */
bool retry_budget_withdraw(retry_budget_t *budget);

/* Full jitter: a wait in [0, base * 2^attempt), with base 2 ms and at most 6 doublings.
 * `uniform` is a random value in [0, 1). */
usec_t retry_backoff(uint32_t attempt, double uniform);

#endif
