#ifndef EGRET_ADMISSION_LIMIT_H
#define EGRET_ADMISSION_LIMIT_H

#include "common/clock.h"

#include <stdbool.h>
#include <stdint.h>

/*
 * NAME
 *	limit - adaptive concurrency limit of one target
 *
 * DESCRIPTION
 *	A state machine without I/O. The limit stays between 1 and the slots that
 *	the target reported. During a cold start it begins at `cold_slots` and
 *	grows with each successful call, until the first window with overload or
 *	until it reaches the reported slots. Then the chosen algorithm sets it
 *	once per window of 100 ms with at least 8 successful calls:
 *
 *	LIMIT_GRADIENT	moves towards limit * gradient + sqrt(limit), where the
 *			gradient is (2 * base latency / average latency), bounded
 *			to [0.5, 1]
 *	LIMIT_AIMD	adds 1 in a window without overload, multiplies by 0.9
 *			in a window whose average latency exceeds twice the base
 *			latency
 *	LIMIT_SLOTS	stays at 94 % of the reported slots, without a cold
 *			start; for targets whose time in outbound calls is not
 *			known
 *
 *	The first two raise the limit only after a window in which at least half of
 *	it was in use. With them, a window in which the target itself refused calls
 *	multiplies the limit by 0.9 instead.
 *
 *	All latencies are the target's own: the caller subtracts the time spent in
 *	outbound calls. The base latency is the lowest one seen, rises slowly, and
 *	counts as at least 2 ms. A crash, a refused connection or a latency cliff
 *	(an average above 20 ms and above 8 times the base, in two windows in a
 *	row; not detected during a cold start) resets the limit to `cold_slots`.
 */

typedef enum limit_algorithm {
	LIMIT_GRADIENT,
	LIMIT_AIMD,
	LIMIT_SLOTS,
} limit_algorithm_t;

typedef enum limit_outcome {
	LIMIT_SUCCESS,
	LIMIT_OVERLOADED, /* the target itself refused the call */
	LIMIT_IGNORED,	  /* cancelled, or failed for another reason */
} limit_outcome_t;

typedef struct limit limit_t;

limit_t *limit_create(limit_algorithm_t algorithm);
void limit_destroy(limit_t *limit);

/* Begins a cold start of a target. Values of 0 count as 1, and `cold_slots` is bounded
 * by `slots`. */
void limit_start(limit_t *limit, usec_t now, uint32_t slots, uint32_t cold_slots);

/* Changes the bounds without a cold start. */
void limit_set_bounds(limit_t *limit, uint32_t slots, uint32_t cold_slots);

/* Resets the limit to `cold_slots`; LIMIT_SLOTS keeps its limit. */
void limit_reset(limit_t *limit, usec_t now);

/* Records a call that ended after `latency`; `inflight` calls, including this one, were
 * in flight when it ended. Returns true if a latency cliff was detected and the limit was
 * reset. */
bool limit_sample(limit_t *limit, usec_t now, usec_t latency, uint32_t inflight,
		  limit_outcome_t outcome);

uint32_t limit_value(const limit_t *limit);

/* Smoothed latency of successful calls; 0 before the first. */
usec_t limit_latency(const limit_t *limit);
bool limit_is_cold(const limit_t *limit);

#endif
